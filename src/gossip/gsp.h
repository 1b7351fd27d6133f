/*
 * gsp: what the instances of a fleet tell each other, by datagrams.
 *
 * Each instance keeps a record with its address in the store, and finds the
 * others there.  Several times a second it tells each of them how many
 * requests of each organisation it has admitted, which programs have begun
 * there, what it runs at each upstream, which prompts it sent there and
 * which requests crashed an upstream.  A lost
 * datagram does no harm: the numbers are totals, and each program is told
 * twice.
 */
#ifndef SAMPHIRESHED_GSP_H
#define SAMPHIRESHED_GSP_H

#include <ev.h>
#include <netinet/in.h>

#include "lib/clk.h"
#include "lib/lg.h"
#include "place/place.h"
#include "quota/active_programs.h"
#include "quota/quota.h"
#include "sched/crash_table.h"
#include "store/sto.h"

struct gsp;

struct gsp_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct sto sto;
	struct quota *qta;
	struct active_programs *act;
	struct place *plc;
	struct crash_table *crashes;
	/*
	 * The instances of the fleet have been counted; rank is this one's
	 * among them by name, from 0.
	 */
	void (*on_fleet)(void *arg, unsigned instances, unsigned rank);
	/* A message about a loan has come, see budget/loan.h. */
	void (*on_loan)(
	    void *arg, const struct sockaddr_in *from, char *data, size_t len);
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

/*
 * gsp_address(gsp, name, address)
 *	The address of another instance; false if it is not known or is dead.
 * gsp_send(gsp, to, data, len)
 *	Send a datagram, which may be lost.  Returns false if it can't be sent.
 */
bool gsp_address(
    const struct gsp *gsp, const char *name, struct sockaddr_in *address);
bool gsp_send(struct gsp *gsp, const struct sockaddr_in *to, const void *data,
    size_t len);

/* gsp_leave(gsp): drop this instance's record; it is about to stop. */
void gsp_leave(struct gsp *gsp);

/* What one instance tells.  A decoded one is to be cleared. */
struct gsp_news {
	char *name;
	uint64_t incarnation;
	struct quota_count *counts;
	unsigned count_len;
	uint64_t *programs; /* hashes, see act.h */
	unsigned program_len;
	struct place_load *loads;
	unsigned load_len;
	struct place_cached_part *kept;
	unsigned kept_len;
	struct sched_crash *crashes; /* their time is not told */
	unsigned crash_len;
};

/*
 * gsp_encode(buf, size, news)
 *	Write a datagram; returns its length, or 0 if it does not fit.
 * gsp_decode(buf, len, news), gsp_news_clear(news)
 *	Read one.  Returns false for a datagram that is not of this protocol.
 */
size_t gsp_encode(char *buf, size_t size, const struct gsp_news *news);
bool gsp_decode(char *buf, size_t len, struct gsp_news *news);
void gsp_news_clear(struct gsp_news *news);

#endif
