/*
 * edg: callers' requests from their arrival to the end of their answer.
 *
 * A request is matched with a route and an organisation, counted against the
 * organisation's rate, given its history and a part of its program's budget,
 * placed at an upstream, and answered with what the upstream says.
 */
#ifndef SAMPHIRESHED_EDG_H
#define SAMPHIRESHED_EDG_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "catalogue/cat.h"
#include "edge/wire.h"
#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/lg.h"
#include "place/place.h"
#include "quota/active_programs.h"
#include "quota/quota.h"
#include "sched/crash_table.h"
#include "store/sto.h"

struct edg;

struct edg_settings {
	struct sockaddr_in listen;
	const char *session; /* names this run of the instance */
	/*
	 * A catalogue that was last confirmed longer ago admits no request
	 * with a key: the key may have been withdrawn since.
	 */
	clk_ms max_catalogue_age;
	clk_ms retention; /* of turns and budgets that are idle here */
	size_t cache_bytes; /* of turns kept in memory */
	size_t max_connections; /* of callers */
};

struct edg_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct cnt *cnt;
	const struct edg_wire *wire;
	struct sto sto;
	struct place *plc;
	struct quota *qta;
	struct active_programs *act;
	struct crash_table *crashes;
	/* Address of another instance by name; false if it is not known. */
	bool (*instance_address)(
	    void *arg, const char *name, struct sockaddr_in *address);
	/* Send a datagram; false if that is not possible. */
	bool (*instance_send)(void *arg, const struct sockaddr_in *to,
	    const void *data, size_t len);
	void *arg;
};

/* edg_open(deps, settings): returns nil and sets errno on failure. */
struct edg *
edg_open(const struct edg_deps *deps, const struct edg_settings *settings);
void edg_close(struct edg *edg);

/*
 * edg_catalogue_set(edg, cat)
 *	Put a version into force for requests that arrive from now on.  The
 *	edge takes a reference.  A version not newer than the present one is
 *	ignored.
 * edg_catalogue_confirm(edg, when)
 *	The version in force was the newest one at the time when.
 */
void edg_catalogue_set(struct edg *edg, struct cat *cat);
void edg_catalogue_confirm(struct edg *edg, clk_ms when);

/* edg_is_ready(edg): whether callers should be sent here. */
bool edg_is_ready(const struct edg *edg);

/*
 * edg_drain(edg), edg_stop(edg), edg_active(edg)
 *	A planned stop: first announce the end of each connection with its
 *	next answer, then take no more, and wait until none is active.
 * edg_is_settled(edg)
 *	Whether what this instance holds of programs' budgets is given back.
 */
void edg_drain(struct edg *edg);
void edg_stop(struct edg *edg);
size_t edg_active(const struct edg *edg);
bool edg_is_settled(const struct edg *edg);

/* edg_loan_received(edg, from, data, len): another instance's message. */
void edg_loan_received(
    struct edg *edg, const struct sockaddr_in *from, char *data, size_t len);

/* edg_fleet_set(edg, instances): how many instances share the upstreams. */
void edg_fleet_set(struct edg *edg, unsigned instances);

#endif
