#include "throttle/cold.h"

#include <glib.h>
#include <math.h>

/*
 * The bound of any one second, see docs/design/cold-upstreams.md: two homes at
 * once for all of it, a smaller side with a quarter of its share, and 0.12 s
 * in which a token that was granted before is still used.
 */
#define HOMES	      2.0
#define SMALLER_SIDES 0.125
#define LATE_S	      0.12
/*
 * Tokens in the buckets of two homes and of a smaller side at its beginning:
 * one each, and what the two homes get in 0.1 s.
 */
#define LEVELS	 3.0
#define LEVELS_S 0.2

/*
 * Longest time for which all upstreams are doubted: entries are read again
 * within 0.8 s, unless the store is away, when the others tell.
 */
#define DOUBT_ALL_MS 3000

/*
 * Time of what was learned from an entry that was there when this instance
 * started: it may be old, and all that others have learned is newer.
 */
#define LEARNED_EARLIER 1

struct service {
	clk_ms start;
	double per_s;
};

struct upstream {
	uint32_t hash;
	const char *service; /* interned: a configuration has few */
	int64_t started;
	int64_t sequence;
	clk_ms remaining; /* as last stated */
	bool is_stated;
	clk_ms seen; /* when the run was first seen */
	clk_ms until; /* as its entry says, if it does */
	clk_ms learned; /* when its entry was read */
	clk_ms doubted_since;
	clk_ms doubted_until;
};

struct colds {
	struct throttle *throttle;
	struct cold_tolerance tolerance;
	GHashTable *services; /* name -> struct service */
	GHashTable *upstreams; /* hash of the id -> struct upstream */
	clk_ms confirmed; /* all entries written before are known */
	clk_ms all_doubted_since;
	clk_ms all_doubted_until; /* 0: they are not */
};

double
cold_rate(double per_s, const struct cold_tolerance *tolerance)
{
	double allowed = per_s * tolerance->overage + tolerance->slack;
	double rate = (allowed - LEVELS) /
	    ((HOMES + SMALLER_SIDES) * (1.0 + LATE_S) + LEVELS_S);

	return (fmax(fmin(rate, per_s), 0));
}

struct colds *
cold_open(struct throttle *throttle, const struct cold_tolerance *tolerance)
{
	struct colds *colds = g_new0(struct colds, 1);

	colds->throttle = throttle;
	colds->tolerance = *tolerance;
	colds->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	colds->upstreams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return (colds);
}

void
cold_close(struct colds *colds)
{
	if (colds == NULL)
		return;
	g_hash_table_destroy(colds->services);
	g_hash_table_destroy(colds->upstreams);
	g_free(colds);
}

/* Tells the throttle; returns whether the upstream's state has changed. */
static bool
upstream_apply(struct colds *colds, struct upstream *upstream, clk_ms now)
{
	const struct service *service =
	    g_hash_table_lookup(colds->services, upstream->service);
	bool was_cold = throttle_is_cold(colds->throttle, upstream->hash);
	struct throttle_cold cold = {.learned = upstream->learned};

	if (service != NULL && service->per_s > 0) {
		cold.until = upstream->is_stated
		    ? upstream->until
		    : upstream->seen + service->start;
		/* A rate of 0 would be no limit. */
		cold.rate = MAX(
		    throttle_rate(cold_rate(service->per_s, &colds->tolerance)),
		    1U);
		cold.doubted_until = upstream->doubted_until;
		if (service->start > 0 && colds->all_doubted_until > now)
			cold.doubted_until =
			    MAX(cold.doubted_until, colds->all_doubted_until);
	}
	throttle_cold_set(colds->throttle, upstream->hash, &cold, now);
	return (throttle_is_cold(colds->throttle, upstream->hash) != was_cold);
}

void
cold_services_clear(struct colds *colds)
{
	g_hash_table_remove_all(colds->services);
}

void
cold_service_set(
    struct colds *colds, const char *name, clk_ms start, double per_s)
{
	const struct service service = {start, per_s};

	(void)g_hash_table_replace(colds->services, g_strdup(name),
	    g_memdup2(&service, sizeof(service)));
}

void
cold_services_apply(struct colds *colds, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, colds->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		(void)upstream_apply(colds, value, now);
}

static bool
is_same_run(const struct upstream *upstream, const struct cold_entry *entry)
{
	return (upstream->started == entry->started &&
	    (entry->started != 0 || upstream->sequence <= entry->sequence) &&
	    upstream->service == g_intern_string(entry->service));
}

static bool
is_read_again(const struct upstream *upstream, const struct cold_entry *entry)
{
	return (upstream->sequence == entry->sequence &&
	    upstream->is_stated == entry->is_stated &&
	    upstream->remaining == entry->remaining);
}

bool
cold_entry_set(struct colds *colds, const struct cold_entry *entry, clk_ms now)
{
	void *key = GUINT_TO_POINTER(entry->upstream);
	struct upstream *upstream = g_hash_table_lookup(colds->upstreams, key);
	bool is_new = upstream == NULL || !is_same_run(upstream, entry);

	if (upstream == NULL) {
		upstream = g_new0(struct upstream, 1);
		upstream->hash = entry->upstream;
		(void)g_hash_table_insert(colds->upstreams, key, upstream);
	}
	if (is_new) {
		upstream->service = g_intern_string(entry->service);
		upstream->started = entry->started;
		upstream->seen = now;
		upstream->is_stated = false;
	} else if (is_read_again(upstream, entry)) {
		return (false);
	}
	upstream->learned = colds->confirmed > 0 ? now : LEARNED_EARLIER;
	upstream->sequence = entry->sequence;
	upstream->remaining = entry->remaining;
	if (entry->is_stated) {
		upstream->is_stated = true;
		upstream->until = now + entry->remaining;
		/* One that was written before the doubt ends none. */
		if (is_new || colds->confirmed >= upstream->doubted_since)
			upstream->doubted_until = 0;
	}
	return (upstream_apply(colds, upstream, now));
}

void
cold_upstream_remove(struct colds *colds, uint32_t upstream)
{
	(void)g_hash_table_remove(colds->upstreams, GUINT_TO_POINTER(upstream));
}

bool
cold_upstream_doubt(
    struct colds *colds, uint32_t upstream_hash, clk_ms time, clk_ms now)
{
	struct upstream *upstream = g_hash_table_lookup(
	    colds->upstreams, GUINT_TO_POINTER(upstream_hash));
	const struct service *service;

	if (upstream == NULL)
		return (false);
	service = g_hash_table_lookup(colds->services, upstream->service);
	if (service == NULL || service->start == 0)
		return (false);
	upstream->doubted_since = now;
	upstream->doubted_until =
	    MAX(upstream->doubted_until, now + MIN(time, service->start));
	return (upstream_apply(colds, upstream, now));
}

void
cold_doubt_all(struct colds *colds, clk_ms now)
{
	colds->all_doubted_since = now;
	colds->all_doubted_until = now + DOUBT_ALL_MS;
	cold_services_apply(colds, now);
}

void
cold_entries_confirm(struct colds *colds, clk_ms when, clk_ms now)
{
	colds->confirmed = MAX(colds->confirmed, when);
	if (colds->all_doubted_until == 0 || when < colds->all_doubted_since)
		return;
	colds->all_doubted_until = 0;
	cold_services_apply(colds, now);
}
