/*
 * catalogue: one version of the configuration that operators publish for a
 * fleet: routes, services, organisations and their keys, and limits.
 *
 * A catalogue is immutable once built.  Requests in progress hold a reference
 * to the version under which they were admitted.
 */
#ifndef SAMPHIRESHED_CATALOGUE_H
#define SAMPHIRESHED_CATALOGUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

enum catalogue_kind {
	CATALOGUE_SAFE, /* may run more than once */
	CATALOGUE_UNSAFE, /* runs at most once */
	CATALOGUE_STREAM /* event stream; runs at most once unless resumable */
};

struct catalogue_share {
	char *service;
	unsigned weight;
};

struct catalogue_route {
	char *name;
	char *host;
	char *path_prefix;
	enum catalogue_kind kind;
	bool resumable;
	bool stateful; /* the chain of turns is recorded */
	bool is_public; /* open to callers without a key */
	/* Requests state what they share: parts of a prompt, or an object. */
	bool sticky;
	clk_ms timeout; /* upper bound of a request's time; 0: none */
	clk_ms target_latency;
	clk_ms target_gap; /* target for the time between two events */
	clk_ms retention; /* of a turn, from its end */
	int priority; /* 0 is the most urgent */
	unsigned max_attempts; /* upstreams that may get one request */
	GArray *shares; /* struct catalogue_share, at least one */
	/*
	 * Regions in which its requests may run, interned strings; nil: any;
	 * empty: none.
	 */
	GPtrArray *allowed_regions;
};

struct catalogue_service {
	char *name;
	unsigned max_connections; /* to one upstream, over the fleet */
	bool has_engine;
	unsigned slots; /* requests that an engine runs concurrently */
	unsigned tokens_per_event;
	unsigned long kv_tokens; /* size of an engine's KV cache */
	/* Time from its start in which an upstream takes few requests. */
	clk_ms cold_start;
	double cold_per_s; /* requests a second that it takes then; 0: any */
};

struct catalogue_organisation {
	char *name;
	int priority; /* overrides that of the route; -1: does not */
	double rate; /* requests per second over the fleet; 0: no limit */
	double burst;
	GPtrArray *allowed_regions; /* as of a route; both apply */
};

struct catalogue_limits {
	size_t max_head;
	size_t max_body;
	clk_ms head_timeout;
	clk_ms idle_timeout;
};

struct catalogue;

struct catalogue *catalogue_new(int64_t version);
struct catalogue *catalogue_ref(struct catalogue *catalogue);
void catalogue_unref(struct catalogue *catalogue);

/* The catalogue takes ownership of the strings and arrays added. */
void catalogue_route_add(
    struct catalogue *catalogue, const struct catalogue_route *route);
void catalogue_service_add(
    struct catalogue *catalogue, const struct catalogue_service *service);
void catalogue_organisation_add(struct catalogue *catalogue,
    const struct catalogue_organisation *organisation);

/*
 * catalogue_key_add(catalogue, key, name)
 *	Add a key of the organisation with that name.
 */
void catalogue_key_add(
    struct catalogue *catalogue, const char *key, const char *name);

void catalogue_limits_set(
    struct catalogue *catalogue, const struct catalogue_limits *limits);

int64_t catalogue_version(const struct catalogue *catalogue);
const struct catalogue_limits *
catalogue_limits(const struct catalogue *catalogue);
bool catalogue_has_organisations(const struct catalogue *catalogue);
guint catalogue_route_count(const struct catalogue *catalogue);

/*
 * catalogue_regions(catalogue)
 *	Return the names of all regions that routes or organisations allow, a
 *	set of interned strings.
 */
GHashTable *catalogue_regions(const struct catalogue *catalogue);

/*
 * catalogue_retention(catalogue)
 *	Return the longest retention of all routes.
 */
clk_ms catalogue_retention(const struct catalogue *catalogue);

/*
 * catalogue_stream_timeout(catalogue)
 *	Return the longest timeout of all routes whose streams may be taken up.
 */
clk_ms catalogue_stream_timeout(const struct catalogue *catalogue);

/*
 * catalogue_route_find(catalogue, host, path)
 *	Return the route of that host with the longest matching path prefix,
 *	or nil.  A port in host is ignored, and so is a query in path.
 */
const struct catalogue_route *catalogue_route_find(
    const struct catalogue *catalogue, const char *host, const char *path);

const struct catalogue_service *
catalogue_service_find(const struct catalogue *catalogue, const char *name);

/*
 * catalogue_services_each(catalogue, visit, arg)
 *	Call visit() for each service.
 */
void catalogue_services_each(const struct catalogue *catalogue,
    void (*visit)(void *arg, const struct catalogue_service *service),
    void *arg);

const struct catalogue_organisation *catalogue_organisation_find(
    const struct catalogue *catalogue, const char *name);
const struct catalogue_organisation *
catalogue_key_find(const struct catalogue *catalogue, const char *key);

/*
 * catalogue_service_pick(route, draw)
 *	Choose a service of the route by weight; draw is a random number, or
 *	the same hash for requests that are to have the same service.
 */
const char *
catalogue_service_pick(const struct catalogue_route *route, uint32_t draw);

#endif
