/*
 * catalogue: one version of the configuration that operators publish for a
 * fleet: routes, services, organisations and their keys, and limits.
 *
 * A catalogue is immutable once built.  Requests in progress hold a reference
 * to the version under which they were admitted.
 */
#ifndef SAMPHIRESHED_CAT_H
#define SAMPHIRESHED_CAT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

enum cat_kind {
	CAT_SAFE, /* may run more than once */
	CAT_UNSAFE, /* runs at most once */
	CAT_STREAM /* event stream; runs at most once unless resumable */
};

struct cat_share {
	char *service;
	unsigned weight;
};

struct cat_route {
	char *name;
	char *host;
	char *path_prefix;
	enum cat_kind kind;
	bool resumable;
	bool stateful; /* the chain of turns is recorded */
	bool is_public; /* open to callers without a key */
	bool sticky; /* requests state the parts of their prompt */
	clk_ms timeout; /* upper bound of a request's time; 0: none */
	clk_ms target_latency;
	clk_ms longest_gap; /* target for the time between two events */
	clk_ms retention; /* of a turn, from its end */
	int priority; /* 0 is the most urgent */
	unsigned max_attempts; /* upstreams that may get one request */
	GArray *shares; /* struct cat_share, at least one */
};

struct cat_service {
	char *name;
	unsigned max_connections; /* to one upstream, over the fleet */
	bool has_engine;
	unsigned slots; /* requests that an engine runs concurrently */
	unsigned tokens_per_event;
	unsigned long kv_tokens; /* size of an engine's KV cache */
};

struct cat_organisation {
	char *name;
	int priority;
	double rate; /* requests per second over the fleet; 0: no limit */
	double burst;
};

struct cat_limits {
	size_t max_head;
	size_t max_body;
	clk_ms head_timeout;
	clk_ms idle_timeout;
};

struct cat;

struct cat *cat_new(int64_t version);
struct cat *cat_ref(struct cat *catalogue);
void cat_unref(struct cat *catalogue);

/* The catalogue takes ownership of the strings and arrays added. */
void cat_route_add(struct cat *catalogue, const struct cat_route *route);
void cat_service_add(struct cat *catalogue, const struct cat_service *service);
void cat_organisation_add(
    struct cat *catalogue, const struct cat_organisation *organisation);

/*
 * cat_key_add(catalogue, key, name)
 *	Add a key of the organisation with that name.
 */
void cat_key_add(struct cat *catalogue, const char *key, const char *name);

void cat_limits_set(struct cat *catalogue, const struct cat_limits *limits);

int64_t cat_version(const struct cat *catalogue);
const struct cat_limits *cat_limits(const struct cat *catalogue);
bool cat_has_organisations(const struct cat *catalogue);
guint cat_route_count(const struct cat *catalogue);

/*
 * cat_retention(catalogue)
 *	Return the longest retention of all routes.
 */
clk_ms cat_retention(const struct cat *catalogue);

/*
 * cat_route_find(catalogue, host, path)
 *	Return the route of that host with the longest matching path prefix,
 *	or nil.  A port in host is ignored, and so is a query in path.
 */
const struct cat_route *
cat_route_find(const struct cat *catalogue, const char *host, const char *path);

const struct cat_service *
cat_service_find(const struct cat *catalogue, const char *name);
const struct cat_organisation *
cat_key_find(const struct cat *catalogue, const char *key);

/*
 * cat_service_pick(route, draw)
 *	Choose a service of the route at random, by weight; draw is a random
 *	number.
 */
const char *cat_service_pick(const struct cat_route *route, uint32_t draw);

#endif
