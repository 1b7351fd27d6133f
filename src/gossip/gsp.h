/*
 * gsp: what the instances of a fleet tell each other, by datagrams.
 *
 * Each instance keeps a record with its address in the store, and finds the
 * others there.  Several times a second it tells each of them how many
 * requests of each organisation it has admitted.  A lost datagram does no
 * harm: the numbers are totals.
 */
#ifndef SAMPHIRESHED_GSP_H
#define SAMPHIRESHED_GSP_H

#include <ev.h>
#include <netinet/in.h>

#include "lib/clk.h"
#include "lib/lg.h"
#include "quota/qta.h"
#include "store/sto.h"

struct gsp;

struct gsp_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct sto sto;
	struct qta *qta;
	/* The number of instances in the fleet has been counted. */
	void (*on_fleet)(void *arg, unsigned instances);
	void *arg;
};

/*
 * gsp_open(deps, name, incarnation, address)
 *	name is the instance's, the same after a restart; incarnation grows
 *	with each start.  Returns nil and sets errno on failure.
 */
struct gsp *gsp_open(const struct gsp_deps *deps, const char *name,
    uint64_t incarnation, const struct sockaddr_in *address);
void gsp_close(struct gsp *gsp);

/* gsp_leave(gsp): drop this instance's record; it is about to stop. */
void gsp_leave(struct gsp *gsp);

/*
 * gsp_encode(buf, size, name, incarnation, counts, n)
 *	Write a datagram; returns its length, or 0 if it does not fit.
 * gsp_decode(buf, len, name, incarnation, counts, n)
 *	Read one.  *name and *counts are to be freed by g_free().  Returns
 *	false for a datagram that is not of this protocol.
 */
size_t gsp_encode(char *buf, size_t size, const char *name,
    uint64_t incarnation, const struct qta_count *counts, unsigned n);
bool gsp_decode(char *buf, size_t len, char **name, uint64_t *incarnation,
    struct qta_count **counts, unsigned *n);

#endif
