/*
 * cat: one version of the configuration that operators publish for a fleet:
 * routes, services, organisations and their keys, and limits.
 *
 * A catalogue is built once, then only read.  Requests in progress hold a
 * reference to the version under which they were admitted.
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
	CAT_STREAM /* answered by events; at most once unless resumable */
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
	bool stateful; /* the system keeps the chain of turns */
	bool is_public; /* open to callers without a key */
	bool sticky; /* requests name the parts of their prompt */
	clk_ms timeout; /* longest time to keep a caller waiting; 0: none */
	clk_ms target_latency;
	clk_ms longest_gap; /* between events that are on time */
	clk_ms retention; /* of a turn, after its end */
	int priority; /* 0 is the most urgent */
	unsigned max_attempts; /* upstreams that may get one request */
	GArray *shares; /* struct cat_share, at least one */
};

struct cat_service {
	char *name;
	unsigned max_connections; /* to one upstream, all callers together */
	bool has_engine;
	unsigned slots; /* requests that an engine runs at once */
	unsigned tokens_per_event;
	unsigned long kv_tokens; /* memory of an engine */
};

struct cat_organisation {
	char *name;
	int priority;
	double rate; /* requests a second over the fleet; 0: no limit */
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
struct cat *cat_ref(struct cat *cat);
void cat_unref(struct cat *cat);

/* The catalogue takes over the strings and arrays of what is added. */
void cat_route_add(struct cat *cat, const struct cat_route *route);
void cat_service_add(struct cat *cat, const struct cat_service *service);
void cat_organisation_add(
    struct cat *cat, const struct cat_organisation *organisation);

/* cat_key_add(cat, key, name): key belongs to the organisation name. */
void cat_key_add(struct cat *cat, const char *key, const char *name);

void cat_limits_set(struct cat *cat, const struct cat_limits *limits);

int64_t cat_version(const struct cat *cat);
const struct cat_limits *cat_limits(const struct cat *cat);
bool cat_has_organisations(const struct cat *cat);
guint cat_route_count(const struct cat *cat);

/* cat_retention(cat): the longest time for which a route's turns are kept. */
clk_ms cat_retention(const struct cat *cat);

/*
 * cat_route_find(cat, host, path)
 *	Return the route of that host with the longest prefix that begins the
 *	path, or nil.  A port in host is ignored, and so is a query in path.
 */
const struct cat_route *
cat_route_find(const struct cat *cat, const char *host, const char *path);

const struct cat_service *
cat_service_find(const struct cat *cat, const char *name);
const struct cat_organisation *
cat_key_find(const struct cat *cat, const char *key);

/*
 * cat_service_pick(route, draw)
 *	Return the service for a request by the weights of the route; draw is
 *	a random number.
 */
const char *cat_service_pick(const struct cat_route *route, uint32_t draw);

#endif
