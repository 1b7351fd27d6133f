/*
 * edge: handles callers' requests from arrival to the end of the response.
 *
 * A request is matched with a route and an organisation, counted against the
 * organisation's rate, completed with the history of its program, charged to
 * the program's token budget and sent to an upstream, whose response is
 * returned to the caller.
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
	const char *session; /* identifies this run of the instance */
	/*
	 * Requests with a key are refused when the catalogue was last
	 * confirmed longer ago than this: the key may have been revoked.
	 */
	clk_ms max_catalogue_age;
	clk_ms retention; /* of idle turns and budgets */
	size_t cache_bytes; /* size of the turn cache */
	size_t max_connections; /* from callers */
};

struct edg_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct cnt *cnt;
	const struct edg_wire *wire;
	struct sto store;
	struct place *place;
	struct quota *quota;
	struct active_programs *activity;
	struct crash_table *crashes;
	/* Look up an instance's address by name; false if unknown. */
	bool (*instance_address)(
	    void *arg, const char *name, struct sockaddr_in *address);
	/* Send a datagram; false if it can't be sent. */
	bool (*instance_send)(void *arg, const struct sockaddr_in *to,
	    const void *data, size_t len);
	void *arg;
};

/*
 * edg_open(deps, settings)
 *	Returns nil and sets errno on failure.
 */
struct edg *
edg_open(const struct edg_deps *deps, const struct edg_settings *settings);
void edg_close(struct edg *edge);

/*
 * edg_catalogue_set(edge, catalogue)
 *	Use this version for requests that arrive from now on.  The edge takes
 *	a reference.  A version that isn't newer than the current one is
 *	ignored.
 * edg_catalogue_confirm(edge, when)
 *	The current version was still the newest one at the time when.
 */
void edg_catalogue_set(struct edg *edge, struct cat *catalogue);
void edg_catalogue_confirm(struct edg *edge, clk_ms when);

/* edg_is_ready(edge): whether this instance can serve requests. */
bool edg_is_ready(const struct edg *edge);

/*
 * edg_drain(edge), edg_stop(edge), edg_active(edge)
 *	The steps of a planned stop: edg_drain() closes each connection with
 *	its next response, edg_stop() stops accepting connections, and
 *	edg_active() returns the number of requests in progress.
 * edg_is_settled(edge)
 *	Whether this instance has returned all its grants from programs'
 *	budgets.
 */
void edg_drain(struct edg *edge);
void edg_stop(struct edg *edge);
size_t edg_active(const struct edg *edge);
bool edg_is_settled(const struct edg *edge);

/*
 * edg_loan_received(edge, from, data, len)
 *	Handle a loan message of another instance.
 */
void edg_loan_received(
    struct edg *edge, const struct sockaddr_in *from, char *data, size_t len);

/*
 * edg_fleet_set(edge, instances)
 *	Set the number of instances that share the upstreams.
 */
void edg_fleet_set(struct edg *edge, unsigned instances);

#endif
