#include "place/plc.h"

#include <math.h>
#include <string.h>

/*
 * Until events have been timed: ms a token of an engine without load, the
 * order of size in the users' deployment sheets.
 */
#define INITIAL_TOKEN_MS     1.5
/* Until answers have been timed: ms of an answer of a plain service. */
#define INITIAL_ANSWER_MS    20.0
/* Prompt tokens that an engine reads in 1 ms (the users' sheets: 199, 247). */
#define PREFILL_TOKENS_PER_MS 200.0
/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT	     0.1
/* Growth of an engine's time for a token from no load to all slots taken. */
#define BATCH_SLOWDOWN	     0.5
/* Time that a request to another data centre adds, there and back, in ms. */
#define CROSS_MS	     2.0
/* Time that a request waits for each one ahead of it in a queue, in ms. */
#define QUEUE_MS	     25.0
/* An upstream that failed is avoided for a time that doubles up to a bound. */
#define AVOID_FIRST_MS	     500
#define AVOID_MAX_MS	     8000
/* An upstream that rejected a request as full is avoided for this time. */
#define AVOID_FULL_MS	     50
/* A part of a prompt is taken as kept by an engine for this time. */
#define PART_KEPT_MS	     (60 * CLK_SECOND)
/* Parts remembered of one upstream. */
#define PARTS_MAX	     8192

struct upstream {
	struct plc_entry entry;
	char *id;
	char *service;
	char *datacentre;
	uint32_t generation;
	bool in_use;
	bool is_gone; /* requests may still run there */
	unsigned running; /* requests of this instance */
	double token_ms; /* moving average; 0: no sample */
	double answer_ms; /* moving average of the first byte; 0: no sample */
	clk_ms avoid_until;
	clk_ms gone_at; /* its entry has lapsed; 0: it has not */
	unsigned failures; /* in a row */
	GHashTable *parts; /* part id -> time of its last use */
};

struct plc {
	char *datacentre;
	GPtrArray *table; /* struct upstream */
	GHashTable *by_id; /* id -> struct upstream, unless gone */
	unsigned instances;
	uint64_t draws;
};

struct plc *
plc_open(const char *datacentre)
{
	struct plc *plc = g_new0(struct plc, 1);

	plc->datacentre = g_strdup(datacentre);
	plc->table = g_ptr_array_new();
	plc->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	plc->instances = 1;
	return (plc);
}

static void
upstream_clear(struct upstream *upstream)
{
	g_clear_pointer(&upstream->id, g_free);
	g_clear_pointer(&upstream->service, g_free);
	g_clear_pointer(&upstream->datacentre, g_free);
	g_clear_pointer(&upstream->parts, g_hash_table_destroy);
	upstream->in_use = false;
}

void
plc_close(struct plc *plc)
{
	if (plc == NULL)
		return;
	for (guint i = 0; i < plc->table->len; i++) {
		upstream_clear(plc->table->pdata[i]);
		g_free(plc->table->pdata[i]);
	}
	g_ptr_array_free(plc->table, TRUE);
	g_hash_table_destroy(plc->by_id);
	g_free(plc->datacentre);
	g_free(plc);
}

static struct upstream *
upstream_new(struct plc *plc)
{
	struct upstream *upstream = NULL;

	for (guint i = 0; i < plc->table->len && upstream == NULL; i++) {
		struct upstream *candidate = plc->table->pdata[i];

		if (!candidate->in_use)
			upstream = candidate;
	}
	if (upstream == NULL) {
		upstream = g_new0(struct upstream, 1);
		g_ptr_array_add(plc->table, upstream);
	}
	*upstream = (struct upstream){.generation = upstream->generation + 1,
	    .in_use = true,
	    .parts = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free)};
	return (upstream);
}

static void
retire(struct plc *plc, struct upstream *upstream)
{
	(void)g_hash_table_remove(plc->by_id, upstream->id);
	upstream->is_gone = true;
	if (upstream->running == 0)
		upstream_clear(upstream);
}

static bool
is_same_run(const struct upstream *upstream, const struct plc_entry *entry)
{
	return (strcmp(upstream->service, entry->service) == 0 &&
	    upstream->entry.started == entry->started &&
	    upstream->entry.address.sin_port == entry->address.sin_port &&
	    upstream->entry.address.sin_addr.s_addr ==
		entry->address.sin_addr.s_addr);
}

void
plc_update(struct plc *plc, const struct plc_entry *entry, clk_ms now)
{
	struct upstream *upstream =
	    g_hash_table_lookup(plc->by_id, entry->id);

	(void)now;
	if (upstream != NULL && !is_same_run(upstream, entry)) {
		retire(plc, upstream);
		upstream = NULL;
	}
	if (upstream == NULL) {
		upstream = upstream_new(plc);
		upstream->id = g_strdup(entry->id);
		upstream->service = g_strdup(entry->service);
		upstream->datacentre = g_strdup(entry->datacentre);
		(void)g_hash_table_insert(plc->by_id, upstream->id, upstream);
	}
	upstream->gone_at = 0;
	upstream->entry = *entry;
	upstream->entry.id = upstream->id;
	upstream->entry.service = upstream->service;
	upstream->entry.datacentre = upstream->datacentre;
}

void
plc_remove(struct plc *plc, const char *id)
{
	struct upstream *upstream = g_hash_table_lookup(plc->by_id, id);

	if (upstream != NULL)
		retire(plc, upstream);
}

void
plc_lapse(struct plc *plc, const char *id, clk_ms until)
{
	struct upstream *upstream = g_hash_table_lookup(plc->by_id, id);

	if (upstream != NULL && upstream->gone_at == 0)
		upstream->gone_at = until;
}

void
plc_expire(struct plc *plc, clk_ms now)
{
	for (guint i = 0; i < plc->table->len; i++) {
		struct upstream *upstream = plc->table->pdata[i];

		if (upstream->in_use && !upstream->is_gone &&
		    upstream->gone_at > 0 && now >= upstream->gone_at)
			retire(plc, upstream);
	}
}

void
plc_fleet_set(struct plc *plc, unsigned instances)
{
	plc->instances = MAX(instances, 1U);
}

unsigned
plc_count(const struct plc *plc)
{
	return (g_hash_table_size(plc->by_id));
}

GPtrArray *
plc_ids(const struct plc *plc)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, plc->by_id);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(ids, g_strdup(key));
	return (ids);
}

static struct upstream *
lookup(const struct plc *plc, struct plc_handle handle)
{
	struct upstream *upstream;

	if (handle.index >= plc->table->len)
		return (NULL);
	upstream = plc->table->pdata[handle.index];
	if (!upstream->in_use || upstream->generation != handle.generation)
		return (NULL);
	return (upstream);
}

const struct plc_entry *
plc_get(const struct plc *plc, struct plc_handle handle)
{
	const struct upstream *upstream = lookup(plc, handle);

	return (upstream != NULL && !upstream->is_gone ? &upstream->entry
						       : NULL);
}

/* Prompt tokens that the upstream would have to read. */
static double
uncached_tokens(const struct upstream *upstream,
    const struct plc_request *request, clk_ms now)
{
	double tokens = 0;
	bool is_kept = true;

	for (size_t i = 0; i < request->part_count; i++) {
		const struct plc_part *part = &request->parts[i];
		const clk_ms *used =
		    g_hash_table_lookup(upstream->parts, &part->id);

		/* A part is kept only with all parts before it. */
		is_kept = is_kept && used != NULL &&
		    now - *used < PART_KEPT_MS;
		if (!is_kept)
			tokens += part->tokens;
	}
	return (tokens);
}

/* The least of the moving averages, for upstreams without a sample. */
static double
best_sample(const struct plc *plc, const char *service, bool is_engine)
{
	double best = 0;

	for (guint i = 0; i < plc->table->len; i++) {
		const struct upstream *upstream = plc->table->pdata[i];
		double sample;

		if (!upstream->in_use || upstream->is_gone ||
		    strcmp(upstream->service, service) != 0)
			continue;
		sample = is_engine ? upstream->token_ms : upstream->answer_ms;
		if (sample > 0 && (best == 0 || sample < best))
			best = sample;
	}
	if (best > 0)
		return (best);
	return (is_engine ? INITIAL_TOKEN_MS : INITIAL_ANSWER_MS);
}

/* Expected time of the request at the upstream, in ms. */
static double
expected_ms(const struct plc *plc, const struct upstream *upstream,
    const struct plc_request *request, double best, clk_ms now)
{
	double slots = MAX(upstream->entry.slots, 1U);
	double load = (double)upstream->running * plc->instances;
	double ms;

	if (request->part_count > 0) {
		double token_ms =
		    upstream->token_ms > 0 ? upstream->token_ms : best;

		ms = token_ms * request->output_tokens *
		    (1.0 + BATCH_SLOWDOWN * fmin(load / slots, 1.0));
		ms += uncached_tokens(upstream, request, now) /
		    PREFILL_TOKENS_PER_MS * (token_ms / best);
	} else {
		ms = upstream->answer_ms > 0 ? upstream->answer_ms : best;
		/* Requests of this instance alone: the others spread theirs. */
		ms *= 1.0 + (double)upstream->running;
	}
	if (load >= slots)
		ms += QUEUE_MS * (load - slots + 1.0);
	if (strcmp(upstream->datacentre, plc->datacentre) != 0)
		ms += CROSS_MS;
	return (ms);
}

static bool
was_tried(const struct plc_request *request, guint index, uint32_t generation)
{
	for (size_t i = 0; i < request->tried_count; i++) {
		if (request->tried[i].index == index &&
		    request->tried[i].generation == generation)
			return (true);
	}
	return (false);
}

static void
remember_parts(struct upstream *upstream, const struct plc_request *request,
    clk_ms now)
{
	if (g_hash_table_size(upstream->parts) >= PARTS_MAX)
		g_hash_table_remove_all(upstream->parts);
	for (size_t i = 0; i < request->part_count; i++) {
		uint64_t *id = g_new(uint64_t, 1);
		clk_ms *used = g_new(clk_ms, 1);

		*id = request->parts[i].id;
		*used = now;
		(void)g_hash_table_replace(upstream->parts, id, used);
	}
}

bool
plc_choose(struct plc *plc, const struct plc_request *request, clk_ms now,
    struct plc_handle *handle)
{
	double best_sample_ms =
	    best_sample(plc, request->service, request->part_count > 0);
	struct upstream *best = NULL;
	double best_ms = 0;
	guint start = plc->table->len > 0
	    ? (guint)(plc->draws++ % plc->table->len)
	    : 0;

	for (guint n = 0; n < plc->table->len; n++) {
		guint i = (start + n) % plc->table->len;
		struct upstream *upstream = plc->table->pdata[i];
		double ms;

		if (!upstream->in_use || upstream->is_gone ||
		    !upstream->entry.is_ready ||
		    strcmp(upstream->service, request->service) != 0 ||
		    was_tried(request, i, upstream->generation) ||
		    (request->max_connections > 0 &&
			upstream->running >= request->max_connections))
			continue;
		ms = expected_ms(plc, upstream, request, best_sample_ms, now);
		/* One that is avoided is still better than none. */
		if (now < upstream->avoid_until)
			ms += 1e6;
		if (best == NULL || ms < best_ms) {
			best = upstream;
			best_ms = ms;
			handle->index = i;
			handle->generation = upstream->generation;
		}
	}
	if (best == NULL)
		return (false);
	best->running++;
	remember_parts(best, request, now);
	return (true);
}

void
plc_done(struct plc *plc, struct plc_handle handle, enum plc_outcome outcome,
    clk_ms now)
{
	struct upstream *upstream = lookup(plc, handle);
	clk_ms avoid;

	if (upstream == NULL)
		return;
	upstream->running--;
	switch (outcome) {
	case PLC_SERVED:
		upstream->failures = 0;
		break;
	case PLC_REJECTED:
		upstream->avoid_until = now + AVOID_FULL_MS;
		break;
	case PLC_UNREACHABLE:
	case PLC_FAILED:
	case PLC_MISDIRECTED:
		avoid = AVOID_FIRST_MS
		    << MIN(upstream->failures, 4U);
		upstream->failures++;
		if (outcome != PLC_FAILED || upstream->failures > 1)
			upstream->avoid_until = now + MIN(avoid, AVOID_MAX_MS);
		break;
	case PLC_CANCELLED:
		break;
	}
	if (upstream->is_gone && upstream->running == 0)
		upstream_clear(upstream);
}

static void
average(double *value, double sample)
{
	*value = *value == 0 ? sample
			     : *value + SAMPLE_WEIGHT * (sample - *value);
}

void
plc_first(struct plc *plc, struct plc_handle handle, double delay)
{
	struct upstream *upstream = lookup(plc, handle);

	if (upstream != NULL)
		average(&upstream->answer_ms, fmax(delay, 0.1));
}

void
plc_gap(
    struct plc *plc, struct plc_handle handle, double gap, unsigned tokens)
{
	struct upstream *upstream = lookup(plc, handle);

	if (upstream != NULL && tokens > 0)
		average(
		    &upstream->token_ms, fmax(gap, 0.01) / (double)tokens);
}
