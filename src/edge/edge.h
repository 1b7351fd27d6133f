/*
 * edge: handles callers' requests from arrival to the end of the response.
 *
 * A request is matched with a route and an organisation, counted against the
 * organisation's rate, completed with the history of its program, charged to
 * the program's token budget and sent to an upstream, whose response is
 * returned to the caller.
 */
#ifndef SAMPHIRESHED_EDGE_H
#define SAMPHIRESHED_EDGE_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "catalogue/catalogue.h"
#include "edge/wire.h"
#include "lib/clk.h"
#include "lib/cnt.h"
#include "intake/intake.h"
#include "lib/lg.h"
#include "place/place.h"
#include "quota/active_programs.h"
#include "quota/quota.h"
#include "reach/reach.h"
#include "roster/roster.h"
#include "sched/crash_table.h"
#include "store/store.h"
#include "throttle/throttle.h"

struct edge;

struct edge_settings {
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

struct edge_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct cnt *cnt;
	const struct edge_wire *wire;
	struct store store;
	struct place *place;
	struct roster *roster;
	struct quota *quota;
	struct throttle *throttle;
	struct active_programs *activity;
	struct crash_table *crashes;
	struct reach *reach;
	struct intake *intake;
	/* Look up an instance's address by name; false if unknown. */
	bool (*instance_address)(
	    void *arg, const char *name, struct sockaddr_in *address);
	/* Send a datagram; false if it can't be sent. */
	bool (*instance_send)(void *arg, const struct sockaddr_in *to,
	    const void *data, size_t len);
	void *arg;
};

/*
 * edge_open(deps, settings)
 *	Returns nil and sets errno on failure.
 */
struct edge *
edge_open(const struct edge_deps *deps, const struct edge_settings *settings);
void edge_close(struct edge *edge);

/*
 * edge_catalogue_set(edge, catalogue)
 *	Use this version for requests that arrive from now on.  The edge takes
 *	a reference.  A version that isn't newer than the current one is
 *	ignored.
 * edge_catalogue_confirm(edge, when)
 *	The current version was still the newest one at the time when.
 */
void edge_catalogue_set(struct edge *edge, struct catalogue *catalogue);
void edge_catalogue_confirm(struct edge *edge, clk_ms when);

/*
 * edge_store_answered(edge, when), edge_store_failed(edge, when)
 *	A call to the store was answered, or not, at the time when.
 * edge_tick(edge)
 *	To be called several times a second: decides whether callers are better
 *	served elsewhere, and ends the attempts at upstreams that are out of
 *	reach.
 */
void edge_store_answered(struct edge *edge, clk_ms when);
void edge_store_failed(struct edge *edge, clk_ms when);
void edge_tick(struct edge *edge);

/*
 * edge_is_current(edge)
 *	Whether the configuration is known to be recent enough to check keys.
 * edge_is_ready(edge)
 *	Whether callers should come to this instance: it can serve requests,
 *	as well as the others.
 */
bool edge_is_current(const struct edge *edge);
bool edge_is_ready(const struct edge *edge);

/*
 * edge_drain(edge, stop_at), edge_stop(edge), edge_active_count(edge)
 *	The steps of a planned stop: edge_drain() closes each connection with
 *	its next response.  edge_stop(), to be called again until the end, stops
 *	accepting connections; requests that arrive later are refused unless
 *	their time ends before stop_at, when edge_stop() ends all that are left.
 *	edge_active_count() returns the number of requests in progress.
 * edge_is_settled(edge)
 *	Whether this instance has returned all its grants from programs'
 *	budgets.
 */
void edge_drain(struct edge *edge, clk_ms stop_at);
void edge_stop(struct edge *edge);
size_t edge_active_count(const struct edge *edge);
bool edge_is_settled(const struct edge *edge);

/*
 * edge_loan_receive(edge, from, data, len)
 *	Handle a loan message of another instance.
 */
void edge_loan_receive(
    struct edge *edge, const struct sockaddr_in *from, char *data, size_t len);

/*
 * edge_rate_receive(edge, from, data, len)
 *	Handle a token message of another instance, see quota/token.h.
 */
void edge_rate_receive(
    struct edge *edge, const struct sockaddr_in *from, char *data, size_t len);

/*
 * edge_throttle_receive(edge, from, data, len)
 *	Handle a message of another instance about an upstream's limit, see
 *	throttle/throttle.h.
 */
void edge_throttle_receive(
    struct edge *edge, const struct sockaddr_in *from, char *data, size_t len);

/*
 * edge_explain(edge, host, path, organisation, problem)
 *	Return, as JSON to be freed by free(), where a request of the
 *	organisation (nil: none) would go now, and why; nil and *problem if
 *	there is no route or organisation.  Nothing is sent or taken.
 */
char *edge_explain(struct edge *edge, const char *host, const char *path,
    const char *organisation, const char **problem);

/*
 * edge_fleet_size_set(edge, instances)
 *	Set the number of instances that share the upstreams.
 */
void edge_fleet_size_set(struct edge *edge, unsigned instances);

#endif
