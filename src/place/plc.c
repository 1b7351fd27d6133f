#include "place/plc.h"

#include <math.h>
#include <string.h>

/*
 * Until events have been timed: ms a token of an engine without load, the
 * order of size in the users' deployment sheets (1.29 and 0.77).
 */
#define INITIAL_TOKEN_MS 1.3
/* Until answers have been timed: ms of an answer of a plain service. */
#define INITIAL_ANSWER_MS 20.0
/*
 * Time to read a prompt token in units of the time to generate one.  In the
 * users' sheets 1.29 ms a step against 199 tokens read in 1 ms, and 0.772 ms
 * against 247.
 */
#define PREFILL_COST 0.0045
/*
 * Growth of an engine's step by each request that runs: the sheets' 0.00918
 * ms, and 0.00122 ms for each 1,000 tokens of a 20,000-token context, of a
 * step of 1.29 ms.
 */
#define STEP_GROWTH 0.026
/* Weight of the time by which a request delays the others of its engine. */
#define OTHERS_WEIGHT 0.5
/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.1
/* Time that a request to another data centre adds, there and back, in ms. */
#define CROSS_MS 2.0
/* Time that a request waits for each one ahead of it in a queue, in ms. */
#define QUEUE_MS 25.0
/* An upstream that failed is avoided for a time that doubles up to a bound. */
#define AVOID_FIRST_MS 500
#define AVOID_MAX_MS   8000
/* An upstream that rejected a request as full is avoided for this time. */
#define AVOID_FULL_MS 50
/* A part of a prompt is taken as kept by an engine for this time. */
#define PART_KEPT_MS (60 * CLK_SECOND)
/*
 * A part that was used at an engine after this time is told again: often
 * enough that instances that started meanwhile learn of it.
 */
#define PART_TELL_MS (10 * CLK_SECOND)
/* What a peer told is dropped if it was not heard for this time. */
#define PEER_SILENT_MS 1000
/* Parts remembered of one upstream. */
#define PARTS_MAX 8192

struct upstream {
	struct plc_entry entry;
	char *id;
	char *service;
	char *datacentre;
	uint32_t generation;
	bool in_use;
	bool is_gone; /* requests may still run there */
	uint32_t hash; /* of its id */
	unsigned running; /* requests of this instance */
	unsigned others; /* requests of the other instances, as told */
	unsigned fresh; /* requests of this instance since it told */
	double token_ms; /* without load, moving average; 0: no sample */
	double answer_ms; /* moving average of the first byte; 0: no sample */
	clk_ms avoid_until;
	clk_ms gone_at; /* its entry has lapsed; 0: it has not */
	unsigned failures; /* in a row */
	GHashTable *parts; /* part id -> time of its last use */
};

/* What a peer told last. */
struct peer {
	GArray *loads; /* struct plc_load */
	clk_ms heard;
};

struct plc {
	char *datacentre;
	GHashTable *peers; /* name -> struct peer */
	GArray *news; /* struct plc_kept, not told yet */
	GArray *told; /* told once */
	GPtrArray *table; /* struct upstream */
	GHashTable *by_id; /* id -> struct upstream, unless gone */
	GHashTable *by_hash; /* hash of the id -> struct upstream, as by_id */
	bool others_changed; /* since others_count() */
	unsigned instances;
	uint64_t draws;
};

static void
peer_free(void *data)
{
	struct peer *peer = data;

	g_array_free(peer->loads, TRUE);
	g_free(peer);
}

struct plc *
plc_open(const char *datacentre)
{
	struct plc *plc = g_new0(struct plc, 1);

	plc->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	plc->news = g_array_new(FALSE, FALSE, sizeof(struct plc_kept));
	plc->told = g_array_new(FALSE, FALSE, sizeof(struct plc_kept));

	plc->datacentre = g_strdup(datacentre);
	plc->table = g_ptr_array_new();
	plc->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	plc->by_hash = g_hash_table_new(NULL, NULL);
	plc->instances = 1;
	return (plc);
}

static void
upstream_clear(struct upstream *upstream)
{
	g_clear_pointer(&upstream->id, g_free);
	g_clear_pointer(&upstream->service, g_free);
	g_clear_pointer(&upstream->datacentre, g_free);
	if (upstream->parts != NULL)
		g_hash_table_destroy(upstream->parts);
	upstream->parts = NULL;
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
	g_hash_table_destroy(plc->by_hash);
	g_hash_table_destroy(plc->peers);
	g_array_free(plc->news, TRUE);
	g_array_free(plc->told, TRUE);
	g_free(plc->datacentre);
	g_free(plc);
}

static struct upstream *
upstream_new(struct plc *plc)
{
	struct upstream *upstream = NULL;
	uint32_t generation;

	for (guint i = 0; i < plc->table->len && upstream == NULL; i++) {
		struct upstream *candidate = plc->table->pdata[i];

		if (!candidate->in_use)
			upstream = candidate;
	}
	if (upstream == NULL) {
		upstream = g_new0(struct upstream, 1);
		g_ptr_array_add(plc->table, upstream);
	}
	generation = upstream->generation + 1;
	*upstream = (struct upstream){.generation = generation,
	    .in_use = true,
	    .parts = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free)};
	return (upstream);
}

static void
retire(struct plc *plc, struct upstream *upstream)
{
	(void)g_hash_table_remove(plc->by_id, upstream->id);
	(void)g_hash_table_remove(
	    plc->by_hash, GUINT_TO_POINTER(upstream->hash));
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
	struct upstream *upstream = g_hash_table_lookup(plc->by_id, entry->id);

	(void)now;
	if (upstream != NULL && !is_same_run(upstream, entry)) {
		retire(plc, upstream);
		upstream = NULL;
	}
	if (upstream == NULL) {
		upstream = upstream_new(plc);
		upstream->id = g_strdup(entry->id);
		upstream->hash = (uint32_t)g_str_hash(entry->id);
		upstream->service = g_strdup(entry->service);
		upstream->datacentre = g_strdup(entry->datacentre);
		(void)g_hash_table_insert(plc->by_id, upstream->id, upstream);
		(void)g_hash_table_insert(
		    plc->by_hash, GUINT_TO_POINTER(upstream->hash), upstream);
		plc->others_changed = true;
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

static struct upstream *
find_hash(const struct plc *plc, uint32_t hash)
{
	return (g_hash_table_lookup(plc->by_hash, GUINT_TO_POINTER(hash)));
}

void
plc_lapse(struct plc *plc, const char *id, clk_ms until)
{
	struct upstream *upstream = g_hash_table_lookup(plc->by_id, id);

	if (upstream != NULL && upstream->gone_at == 0)
		upstream->gone_at = until;
}

/*
 * Count what all peers told, at each upstream.  In a large fleet peers tell
 * far more often than this instance chooses, so it is done for a choice.
 */
static void
others_count(struct plc *plc)
{
	GHashTableIter iter;
	void *value;

	if (!plc->others_changed)
		return;
	plc->others_changed = false;
	for (guint i = 0; i < plc->table->len; i++)
		((struct upstream *)plc->table->pdata[i])->others = 0;
	g_hash_table_iter_init(&iter, plc->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GArray *loads = ((const struct peer *)value)->loads;

		for (guint i = 0; i < loads->len; i++) {
			const struct plc_load *load =
			    &g_array_index(loads, struct plc_load, i);
			struct upstream *upstream =
			    find_hash(plc, load->upstream);

			if (upstream != NULL)
				upstream->others += load->running;
		}
	}
}

static void
peers_expire(struct plc *plc, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, plc->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((const struct peer *)value)->heard < PEER_SILENT_MS)
			continue;
		g_hash_table_iter_remove(&iter);
		plc->others_changed = true;
	}
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
	peers_expire(plc, now);
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

	return (
	    upstream != NULL && !upstream->is_gone ? &upstream->entry : NULL);
}

/*
 * Prompt tokens that the upstream would have to read.  Parts yield in the
 * order of their last use, and the use of a part uses all parts before it:
 * where a part is kept, those before it are kept too, also if this instance
 * was told of the last one only.
 */
static double
uncached_tokens(const struct upstream *upstream,
    const struct plc_request *request, clk_ms now)
{
	double tokens = 0;

	for (size_t i = request->part_count; i > 0; i--) {
		const struct plc_part *part = &request->parts[i - 1];
		const clk_ms *used =
		    g_hash_table_lookup(upstream->parts, &part->id);

		if (used != NULL && now - *used < PART_KEPT_MS)
			break;
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

/*
 * Requests that run at the upstream.  Until the others tell again they are
 * taken to have sent there what this instance has.
 */
static double
load_of(const struct plc *plc, const struct upstream *upstream)
{
	return (upstream->running + upstream->others +
	    (double)upstream->fresh * (plc->instances - 1));
}

/* Expected time of a request at an engine and delay of the others there. */
static double
engine_ms(const struct upstream *upstream, const struct plc_request *request,
    double best, double load, clk_ms now)
{
	double token_ms = upstream->token_ms > 0 ? upstream->token_ms : best;
	double prefill =
	    uncached_tokens(upstream, request, now) * PREFILL_COST * token_ms;
	double decode = token_ms * request->output_tokens;

	return (decode * (1.0 + STEP_GROWTH * load) + prefill +
	    OTHERS_WEIGHT * load * (prefill + decode * STEP_GROWTH));
}

/* Cost of running the request at the upstream, in ms. */
static double
cost_ms(const struct plc *plc, const struct upstream *upstream,
    const struct plc_request *request, double best, clk_ms now)
{
	double slots = MAX(upstream->entry.slots, 1U);
	double load = load_of(plc, upstream);
	double ms;

	if (request->part_count > 0)
		ms = engine_ms(upstream, request, best, load, now);
	else
		ms = (upstream->answer_ms > 0 ? upstream->answer_ms : best) *
		    (1.0 + load / slots);
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

/* Returns whether the part was not known, or not used for a while. */
static bool
remember_part(struct upstream *upstream, uint64_t part, clk_ms now)
{
	clk_ms *used = g_hash_table_lookup(upstream->parts, &part);
	bool is_news;

	if (used != NULL) {
		is_news = now - *used >= PART_TELL_MS;
		*used = now;
		return (is_news);
	}
	if (g_hash_table_size(upstream->parts) >= PARTS_MAX)
		g_hash_table_remove_all(upstream->parts);
	(void)g_hash_table_insert(upstream->parts,
	    g_memdup2(&part, sizeof(part)), g_memdup2(&now, sizeof(now)));
	return (true);
}

/*
 * The request is about to be sent: what will be kept, and told.  The parts
 * that many programs share stand at the front and are never the last one.
 */
static void
remember_parts(struct plc *plc, struct upstream *upstream,
    const struct plc_request *request, clk_ms now)
{
	for (size_t i = 0; i < request->part_count; i++) {
		const struct plc_kept kept = {
		    request->parts[i].id, upstream->hash};

		if (remember_part(upstream, kept.part, now))
			g_array_append_val(plc->news, kept);
	}
}

size_t
plc_loads(struct plc *plc, struct plc_load *loads, size_t max)
{
	size_t n = 0;

	for (guint i = 0; i < plc->table->len; i++) {
		struct upstream *upstream = plc->table->pdata[i];

		upstream->fresh = 0;
		if (upstream->in_use && upstream->running > 0 && n < max)
			loads[n++] = (struct plc_load){
			    upstream->hash, upstream->running};
	}
	return (n);
}

size_t
plc_news(struct plc *plc, struct plc_kept *kept, size_t max)
{
	GArray *told = plc->told;
	size_t n = 0;

	for (guint i = 0; i < plc->news->len && n < max; i++)
		kept[n++] = g_array_index(plc->news, struct plc_kept, i);
	for (guint i = 0; i < told->len && n < max; i++)
		kept[n++] = g_array_index(told, struct plc_kept, i);
	g_array_set_size(told, 0);
	plc->told = plc->news;
	plc->news = told;
	return (n);
}

void
plc_heard(struct plc *plc, const char *name, const struct plc_load *loads,
    size_t n, const struct plc_kept *kept, size_t kept_n, clk_ms now)
{
	struct peer *peer = g_hash_table_lookup(plc->peers, name);

	if (peer == NULL) {
		peer = g_new0(struct peer, 1);
		peer->loads =
		    g_array_new(FALSE, FALSE, sizeof(struct plc_load));
		(void)g_hash_table_insert(plc->peers, g_strdup(name), peer);
	}
	peer->heard = now;
	g_array_set_size(peer->loads, 0);
	(void)g_array_append_vals(peer->loads, loads, (guint)n);
	plc->others_changed = true;
	for (size_t i = 0; i < kept_n; i++) {
		struct upstream *upstream = find_hash(plc, kept[i].upstream);

		if (upstream != NULL)
			(void)remember_part(upstream, kept[i].part, now);
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
	guint start =
	    plc->table->len > 0 ? (guint)(plc->draws++ % plc->table->len) : 0;

	others_count(plc);
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
		ms = cost_ms(plc, upstream, request, best_sample_ms, now);
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
	best->fresh++;
	remember_parts(plc, best, request, now);
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
		avoid = AVOID_FIRST_MS << MIN(upstream->failures, 4U);
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
	*value =
	    *value == 0 ? sample : *value + SAMPLE_WEIGHT * (sample - *value);
}

void
plc_first(struct plc *plc, struct plc_handle handle, double delay)
{
	struct upstream *upstream = lookup(plc, handle);

	if (upstream != NULL)
		average(&upstream->answer_ms, fmax(delay, 0.1));
}

void
plc_gap(struct plc *plc, struct plc_handle handle, double gap, unsigned tokens)
{
	struct upstream *upstream = lookup(plc, handle);

	if (upstream == NULL || tokens == 0)
		return;
	gap /= 1.0 + STEP_GROWTH * (upstream->running + upstream->others);
	average(&upstream->token_ms, fmax(gap, 0.01) / (double)tokens);
}
