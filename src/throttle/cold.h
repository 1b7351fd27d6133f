/*
 * cold: which upstreams have started so lately that they take few requests.
 *
 * Addresses a data centre that returns, and upstreams that start again, under
 * the load of a whole fleet: a cold upstream crashes at rates well above the
 * one that its service names, and the next ones after it.  An upstream is cold
 * for as long as its entry says; one whose entry says nothing is cold for the
 * time that its service names, from when its run was first seen.  One that may
 * have started again unnoticed is taken for cold until its entry is written
 * anew.  The tokens of cold upstreams come from throttle.h.
 */
#ifndef SAMPHIRESHED_COLD_H
#define SAMPHIRESHED_COLD_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "throttle/throttle.h"

struct colds;

/* Requests that a cold upstream may get in any one second, over all instances:
 * the rate that its service names, times overage, plus slack. */
struct cold_tolerance {
	double overage;
	double slack;
};

/*
 * cold_rate(per_s, tolerance)
 *	Return the rate of the bucket with which that bound holds, in requests
 *	a second; 0: none does.  Derived in docs/design/cold-upstreams.md.
 */
double cold_rate(double per_s, const struct cold_tolerance *tolerance);

struct colds *
cold_open(struct throttle *throttle, const struct cold_tolerance *tolerance);
void cold_close(struct colds *colds);

/*
 * cold_services_clear(colds), cold_service_set(colds, name, start, per_s)
 *	Replace what the configuration says of the services: an upstream is cold
 *	for the time start after its start, and takes per_s requests a second
 *	meanwhile.  0: its upstreams are never cold.
 * cold_services_apply(colds, now)
 *	All services have been set.
 */
void cold_services_clear(struct colds *colds);
void cold_service_set(
    struct colds *colds, const char *name, clk_ms start, double per_s);
void cold_services_apply(struct colds *colds, clk_ms now);

/* What the entry of an upstream says. */
struct cold_entry {
	uint32_t upstream; /* roster_hash() of its id */
	const char *service;
	int64_t started;
	int64_t sequence; /* of the entry, within a run */
	clk_ms remaining; /* how much longer it is cold */
	bool is_stated; /* the entry says how much longer */
};

/*
 * cold_entry_set(colds, entry, now)
 *	The entry was read; one that is read again changes nothing.
 * cold_upstream_remove(colds, upstream): it has no entry any more.
 * cold_upstream_doubt(colds, upstream, time, now)
 *	The upstream may have started again.  It is taken for cold for this
 *	time, or the one that its service names if that is shorter, unless its
 *	entry is written anew before.
 * cold_doubt_all(colds, now)
 *	This instance was suspended: any upstream may have started again, until
 *	the entries have been read anew, or for 3 s.
 * cold_entries_confirm(colds, when, now)
 *	All entries that were written before the time when are known.
 *	cold_entry_set() and cold_upstream_doubt() return whether the upstream
 *was taken for cold or warm before, and is not now.
 */
bool
cold_entry_set(struct colds *colds, const struct cold_entry *entry, clk_ms now);
void cold_upstream_remove(struct colds *colds, uint32_t upstream);
bool cold_upstream_doubt(
    struct colds *colds, uint32_t upstream, clk_ms time, clk_ms now);
void cold_doubt_all(struct colds *colds, clk_ms now);
void cold_entries_confirm(struct colds *colds, clk_ms when, clk_ms now);

#endif
