#include "place/place.h"

#include <math.h>
#include <string.h>

#include "lib/outbox.h"
#include "lib/rdv.h"

/*
 * Time to generate a token at an idle engine, until there is a sample.
 * Engines in use need 0.77 to 1.29 ms.
 */
#define INITIAL_TOKEN_MS 1.3
/* Time in which a service without prompts answers, until there is a sample. */
#define INITIAL_ANSWER_MS 20.0
/*
 * Time to read a prompt token as a fraction of the time to generate one.
 * Engines in use read 199 tokens a ms at 1.29 ms a step, and 247 at 0.772.
 */
#define PREFILL_COST 0.0045
/*
 * Fraction by which each running request lengthens an engine's step.  A step
 * of 1.29 ms grows by 0.00918 ms, plus 0.00122 ms for each 1,000 tokens of the
 * request's context, here 20,000 tokens.
 */
#define STEP_GROWTH 0.026
/* Weight of the delay that a request causes to others at its engine. */
#define OTHERS_WEIGHT 0.5
/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.1
/* Cost of another data centre, unless spill/spill.h has one. */
#define CROSS_DATACENTRE_MS 2.0
/* Wait for each request ahead in an upstream's queue. */
#define QUEUE_WAIT_MS 25.0
/*
 * Part of the time of an answer that an upstream saves which has handled the
 * request's object lately.  It also bounds the load that it gets for that.
 */
#define OBJECT_GAIN 0.5
/*
 * Cost of a recent error of the upstream's own, and the time in which most of
 * it is forgotten.  An upstream that fails a part of its requests while its
 * health checks pass comes after all that are not overloaded; a single error,
 * which may be due to the request, moves few requests.
 */
#define ERROR_COST_MS	100.0
#define ERROR_MEMORY_MS 5000.0
/* Backoff after a failure; it doubles up to the maximum. */
#define BACKOFF_FIRST_MS 500
#define BACKOFF_MAX_MS	 8000
/* Backoff after a request was rejected because the upstream is full. */
#define BACKOFF_FULL_MS 50
/* Added to the cost of an upstream in backoff: it is used as a last resort. */
#define BACKOFF_COST_MS 1e6
/*
 * Cost of each ms until an upstream may have a token: those without one come
 * after all others, the earliest first.
 */
#define HELD_COST_MS 1e7
/* Added to the cost of an upstream in a data centre that is cut off. */
#define CUT_COST_MS 1e6
/* Added to the cost of an upstream that is leaving: it comes after these. */
#define LEAVING_COST_MS 1e13
/*
 * A request without a byte of its answer is overdue after so many times the
 * upstream's usual time, and after no less than the second figure, which is
 * above a full engine's time for the first byte.
 */
#define OVERDUE_FACTOR 5.0
#define OVERDUE_MIN_MS 500
/* Time after which a prompt part counts as evicted from an engine's cache. */
#define PART_CACHED_MS (60 * CLK_SECOND)
/*
 * A cached part that is used again after this time is sent again, so that
 * instances that started meanwhile learn of it.
 */
#define PART_RESEND_MS (10 * CLK_SECOND)
/* Loads of a peer that sent no gossip message for this time are dropped. */
#define PEER_TIMEOUT_MS 1000
/* Cached parts that wait to be sent, some seconds of the busiest instance. */
#define UNSENT_PARTS_MAX 8192
/*
 * An upstream that started again just before it was heard that it leaves may
 * be the one that said so: its answers don't tell its runs apart.  It is not
 * used for this time, in which it would be gone.
 */
#define DOUBT_MS (15 * CLK_SECOND)
/* Maximum number of cached parts that are recorded for one upstream. */
#define PARTS_MAX 8192

struct upstream {
	struct place_entry entry;
	char *id;
	char *service;
	char *datacentre;
	char *version;
	const char *region; /* interned; nil: not known */
	uint32_t generation;
	bool in_use;
	bool is_removed; /* requests may still run there */
	bool is_evacuated; /* its data centre is */
	uint32_t hash; /* of its id */
	unsigned running; /* requests of this instance */
	unsigned overdue; /* of these, see place_overdue_after() */
	unsigned peers_running; /* requests of the peers, by their gossip */
	unsigned unsent; /* requests of this instance since its last gossip */
	unsigned told; /* requests of this instance in its last gossip */
	double token_ms; /* without load, moving average; 0: no sample */
	double answer_ms; /* moving average of the first byte; 0: no sample */
	double cold_token_ms; /* the same while it is cold */
	double cold_answer_ms;
	double errors; /* its own, decaying, as of errors_at */
	clk_ms errors_at;
	clk_ms backoff_until;
	clk_ms remove_at; /* its entry has expired; 0: it has not */
	clk_ms leaving_since; /* or DEPARTURE_NONE */
	clk_ms doubted_until; /* see DOUBT_MS; 0: it is not */
	unsigned failures; /* consecutive */
	GHashTable *parts; /* part id -> time of its last use */
};

/* The last gossip message of a peer, or of a data centre. */
struct peer {
	GArray *loads; /* struct place_load */
	clk_ms received;
	bool is_own_sum; /* with the requests of this instance */
};

struct place {
	char *datacentre;
	GHashTable *peers; /* name -> struct peer */
	struct outbox *parts; /* struct place_cached_part */
	struct departures *departures; /* also of upstreams without an entry */
	struct spill *spill; /* see place_spill_set() */
	struct evacuations *evacuations;
	char *evacuated; /* names, as applied */
	GHashTable *regions; /* data centre -> interned name of its region */
	const struct throttle *throttle; /* nil: no upstream is cold */
	place_on_doubt *on_doubt;
	void *on_doubt_arg;
	clk_ms last_resort; /* see place_last_resort_set() */
	clk_ms confirmed; /* see place_entries_confirm() */
	guint first_load; /* upstream at which the next message begins */
	GPtrArray *upstreams; /* struct upstream */
	GHashTable *by_id; /* id -> struct upstream, unless removed */
	GHashTable *by_hash; /* hash of the id -> struct upstream, as by_id */
	bool peer_loads_changed; /* since peer_loads_sum() */
	unsigned instances;
	uint64_t choices;
};

static void
peer_free(void *data)
{
	struct peer *peer = data;

	g_array_free(peer->loads, TRUE);
	g_free(peer);
}

struct place *
place_open(const char *datacentre)
{
	struct place *place = g_new0(struct place, 1);

	place->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	place->parts =
	    outbox_open(sizeof(struct place_cached_part), UNSENT_PARTS_MAX);
	place->departures = departures_open();
	place->evacuations = evacuations_open(0);
	place->evacuated = g_strdup("");
	place->regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	place->datacentre = g_strdup(datacentre);
	place->upstreams = g_ptr_array_new();
	place->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	place->by_hash = g_hash_table_new(NULL, NULL);
	place->instances = 1;
	return (place);
}

static void
upstream_clear(struct upstream *upstream)
{
	g_clear_pointer(&upstream->id, g_free);
	g_clear_pointer(&upstream->service, g_free);
	g_clear_pointer(&upstream->datacentre, g_free);
	g_clear_pointer(&upstream->version, g_free);
	if (upstream->parts != NULL)
		g_hash_table_destroy(upstream->parts);
	upstream->parts = NULL;
	upstream->in_use = false;
}

void
place_close(struct place *place)
{
	if (place == NULL)
		return;
	for (guint i = 0; i < place->upstreams->len; i++) {
		upstream_clear(place->upstreams->pdata[i]);
		g_free(place->upstreams->pdata[i]);
	}
	g_ptr_array_free(place->upstreams, TRUE);
	g_hash_table_destroy(place->by_id);
	g_hash_table_destroy(place->by_hash);
	g_hash_table_destroy(place->peers);
	outbox_close(place->parts);
	departures_close(place->departures);
	evacuations_close(place->evacuations);
	g_free(place->evacuated);
	g_hash_table_destroy(place->regions);
	g_free(place->datacentre);
	g_free(place);
}

static struct upstream *
upstream_new(struct place *place)
{
	struct upstream *upstream = NULL;
	uint32_t generation;

	for (guint i = 0; i < place->upstreams->len && upstream == NULL; i++) {
		struct upstream *candidate = place->upstreams->pdata[i];

		if (!candidate->in_use)
			upstream = candidate;
	}
	if (upstream == NULL) {
		upstream = g_new0(struct upstream, 1);
		g_ptr_array_add(place->upstreams, upstream);
	}
	generation = upstream->generation + 1;
	*upstream = (struct upstream){.generation = generation,
	    .in_use = true,
	    .parts = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free)};
	return (upstream);
}

static void
upstream_remove(struct place *place, struct upstream *upstream)
{
	(void)g_hash_table_remove(place->by_id, upstream->id);
	(void)g_hash_table_remove(
	    place->by_hash, GUINT_TO_POINTER(upstream->hash));
	upstream->is_removed = true;
	if (upstream->running == 0)
		upstream_clear(upstream);
}

static bool
is_same_run(const struct upstream *upstream, const struct place_entry *entry)
{
	return (strcmp(upstream->service, entry->service) == 0 &&
	    g_strcmp0(upstream->version, entry->version) == 0 &&
	    upstream->entry.started == entry->started &&
	    (entry->started != 0 ||
		upstream->entry.sequence <= entry->sequence) &&
	    upstream->entry.address.sin_port == entry->address.sin_port &&
	    upstream->entry.address.sin_addr.s_addr ==
		entry->address.sin_addr.s_addr);
}

bool
place_upstream_update(
    struct place *place, const struct place_entry *entry, clk_ms now)
{
	struct upstream *upstream =
	    g_hash_table_lookup(place->by_id, entry->id);
	uint32_t hash = roster_hash(entry->id);
	bool is_new;

	if (upstream != NULL && !is_same_run(upstream, entry)) {
		if (entry->started == upstream->entry.started)
			departures_forget(
			    place->departures, hash, (uint64_t)entry->started);
		upstream_remove(place, upstream);
		upstream = NULL;
	}
	if (!entry->is_ready)
		(void)departures_add(place->departures, hash,
		    (uint64_t)entry->started, now, now);
	is_new = upstream == NULL;
	if (is_new) {
		upstream = upstream_new(place);
		upstream->id = g_strdup(entry->id);
		upstream->hash = hash;
		if (departures_is_heard(
			place->departures, hash, place->confirmed))
			upstream->doubted_until = now + DOUBT_MS;
		upstream->service = g_strdup(entry->service);
		upstream->datacentre = g_strdup(entry->datacentre);
		upstream->version = g_strdup(entry->version);
		upstream->region =
		    g_hash_table_lookup(place->regions, entry->datacentre);
		upstream->is_evacuated =
		    evacuations_has(place->evacuations, upstream->datacentre);
		(void)g_hash_table_insert(place->by_id, upstream->id, upstream);
		(void)g_hash_table_insert(
		    place->by_hash, GUINT_TO_POINTER(upstream->hash), upstream);
		place->peer_loads_changed = true;
	}
	upstream->remove_at = 0;
	upstream->leaving_since =
	    departures_since(place->departures, hash, (uint64_t)entry->started);
	upstream->entry = *entry;
	upstream->entry.id = upstream->id;
	upstream->entry.service = upstream->service;
	upstream->entry.datacentre = upstream->datacentre;
	upstream->entry.version = upstream->version;
	return (is_new);
}

void
place_upstream_remove(struct place *place, const char *id)
{
	struct upstream *upstream = g_hash_table_lookup(place->by_id, id);

	if (upstream != NULL)
		upstream_remove(place, upstream);
}

static struct upstream *
find_by_hash(const struct place *place, uint32_t hash)
{
	return (g_hash_table_lookup(place->by_hash, GUINT_TO_POINTER(hash)));
}

void
place_entries_confirm(struct place *place, clk_ms when)
{
	place->confirmed = MAX(place->confirmed, when);
}

void
place_upstream_remove_at(struct place *place, const char *id, clk_ms until)
{
	struct upstream *upstream = g_hash_table_lookup(place->by_id, id);

	if (upstream != NULL && upstream->remove_at == 0)
		upstream->remove_at = until;
}

static void
loads_add(struct place *place, const struct peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		const struct place_load *load =
		    &g_array_index(peer->loads, struct place_load, i);
		struct upstream *upstream = find_by_hash(place, load->upstream);
		unsigned own;

		if (upstream == NULL)
			continue;
		own = peer->is_own_sum ? upstream->told : 0;
		upstream->peers_running +=
		    load->running - MIN(own, load->running);
	}
}

/*
 * Sums the peers' loads of each upstream.  Called from place_choose(): in a
 * large fleet gossip messages are far more frequent than choices.
 */
static void
peer_loads_sum(struct place *place)
{
	GHashTableIter iter;
	void *value;

	if (!place->peer_loads_changed)
		return;
	place->peer_loads_changed = false;
	for (guint i = 0; i < place->upstreams->len; i++)
		((struct upstream *)place->upstreams->pdata[i])->peers_running =
		    0;
	g_hash_table_iter_init(&iter, place->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		loads_add(place, value);
}

static void
peers_expire(struct place *place, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, place->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((const struct peer *)value)->received <
		    PEER_TIMEOUT_MS)
			continue;
		g_hash_table_iter_remove(&iter);
		place->peer_loads_changed = true;
	}
}

void
place_expire(struct place *place, clk_ms now)
{
	for (guint i = 0; i < place->upstreams->len; i++) {
		struct upstream *upstream = place->upstreams->pdata[i];

		if (upstream->in_use && !upstream->is_removed &&
		    upstream->remove_at > 0 && now >= upstream->remove_at)
			upstream_remove(place, upstream);
	}
	peers_expire(place, now);
}

void
place_spill_set(struct place *place, struct spill *spill)
{
	place->spill = spill;
}

double
place_spill_part(const struct place *place, const char *service)
{
	return (place->spill != NULL ? spill_part(place->spill, service) : 1.0);
}

void
place_instances_set(struct place *place, unsigned instances)
{
	place->instances = MAX(instances, 1U);
}

static bool
is_leaving(const struct upstream *upstream)
{
	return (upstream->leaving_since != DEPARTURE_NONE);
}

/*
 * Whether the upstream takes new requests.  One that is leaving takes those
 * that are bound to a version, for a while.
 */
static bool
is_open(const struct place *place, const struct upstream *upstream,
    bool is_bound, clk_ms now)
{
	if (now < upstream->doubted_until ||
	    evacuations_is_stale(place->evacuations, now) ||
	    upstream->is_evacuated)
		return (false);
	return (!is_leaving(upstream) ||
	    (is_bound && now - upstream->leaving_since < place->last_resort));
}

struct evacuations *
place_evacuations(struct place *place)
{
	return (place->evacuations);
}

bool
place_evacuations_apply(struct place *place)
{
	char *names = evacuations_text(place->evacuations);
	bool is_changed = strcmp(names, place->evacuated) != 0;

	g_free(place->evacuated);
	place->evacuated = names;
	for (guint i = 0; is_changed && i < place->upstreams->len; i++) {
		struct upstream *upstream = place->upstreams->pdata[i];
		bool was_evacuated = upstream->is_evacuated;

		if (!upstream->in_use)
			continue;
		upstream->is_evacuated =
		    evacuations_has(place->evacuations, upstream->datacentre);
		if (was_evacuated && !upstream->is_evacuated &&
		    place->on_doubt != NULL)
			place->on_doubt(
			    place->on_doubt_arg, upstream->hash, false);
	}
	return (is_changed);
}

void
place_region_set(
    struct place *place, const char *datacentre, const char *region)
{
	(void)g_hash_table_replace(place->regions, g_strdup(datacentre),
	    (void *)g_intern_string(region));
}

bool
place_has_region(const struct place *place, const char *region)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, place->regions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (strcmp(value, region) == 0)
			return (true);
	}
	return (false);
}

void
place_doubt_set(struct place *place, place_on_doubt *on_doubt, void *arg)
{
	place->on_doubt = on_doubt;
	place->on_doubt_arg = arg;
}

void
place_throttle_set(struct place *place, const struct throttle *throttle)
{
	place->throttle = throttle;
}

void
place_last_resort_set(struct place *place, clk_ms time)
{
	place->last_resort = time;
}

const struct departures *
place_departures(const struct place *place)
{
	return (place->departures);
}

GArray *
place_versions_collect(const struct place *place)
{
	GArray *versions =
	    g_array_new(FALSE, FALSE, sizeof(struct place_version));

	for (guint i = 0; i < place->upstreams->len; i++) {
		const struct upstream *upstream = place->upstreams->pdata[i];
		struct place_version row = {upstream->service,
		    upstream->version, upstream->entry.slots};
		bool is_known = false;

		if (!upstream->in_use || upstream->is_removed ||
		    is_leaving(upstream))
			continue;
		for (guint k = 0; k < versions->len && !is_known; k++) {
			struct place_version *other =
			    &g_array_index(versions, struct place_version, k);

			is_known = strcmp(other->service, row.service) == 0 &&
			    g_strcmp0(other->version, row.version) == 0;
			if (is_known)
				other->slots += row.slots;
		}
		if (!is_known)
			g_array_append_val(versions, row);
	}
	return (versions);
}

bool
place_is_served(
    const struct place *place, const char *service, const char *version)
{
	for (guint i = 0; i < place->upstreams->len; i++) {
		const struct upstream *upstream = place->upstreams->pdata[i];

		if (upstream->in_use && !upstream->is_removed &&
		    !is_leaving(upstream) && !upstream->is_evacuated &&
		    strcmp(upstream->service, service) == 0 &&
		    g_strcmp0(upstream->version, version) == 0)
			return (true);
	}
	return (false);
}

unsigned
place_upstream_count(const struct place *place)
{
	return (g_hash_table_size(place->by_id));
}

GPtrArray *
place_upstream_ids(const struct place *place)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, place->by_id);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(ids, g_strdup(key));
	return (ids);
}

static struct upstream *
lookup(const struct place *place, struct place_handle handle)
{
	struct upstream *upstream;

	if (handle.index >= place->upstreams->len)
		return (NULL);
	upstream = place->upstreams->pdata[handle.index];
	if (!upstream->in_use || upstream->generation != handle.generation)
		return (NULL);
	return (upstream);
}

const struct place_entry *
place_entry_get(const struct place *place, struct place_handle handle)
{
	const struct upstream *upstream = lookup(place, handle);

	return (upstream != NULL && !upstream->is_removed ? &upstream->entry
							  : NULL);
}

bool
place_is_open(const struct place *place, struct place_handle handle,
    bool is_bound, clk_ms now)
{
	const struct upstream *upstream = lookup(place, handle);

	return (upstream != NULL && !upstream->is_removed &&
	    is_open(place, upstream, is_bound, now));
}

unsigned
place_leaving_record(
    struct place *place, struct place_handle handle, clk_ms now)
{
	const struct upstream *upstream = lookup(place, handle);
	struct departure departure;
	struct upstream *next;

	if (upstream == NULL)
		return (0);
	next = find_by_hash(place, upstream->hash);
	if (next != NULL && next != upstream)
		next->doubted_until = now + DOUBT_MS;
	departure = (struct departure){
	    (uint64_t)upstream->entry.started, upstream->hash, 0};
	return (place_leaving_merge(place, &departure, 1, now));
}

unsigned
place_leaving_merge(struct place *place, const struct departure *departures,
    size_t n, clk_ms now)
{
	unsigned news = 0;

	for (size_t i = 0; i < n; i++) {
		const struct departure *departure = &departures[i];
		struct upstream *upstream =
		    find_by_hash(place, departure->upstream);

		news += departures_add(place->departures, departure->upstream,
		    departure->started, now - (clk_ms)departure->age, now);
		if (upstream != NULL &&
		    (uint64_t)upstream->entry.started == departure->started)
			upstream->leaving_since =
			    departures_since(place->departures,
				departure->upstream, departure->started);
	}
	return (news);
}

/*
 * Prompt tokens that the upstream would have to read.  Engines evict the
 * least recently used part, and the use of a part uses all parts before it:
 * if a part is cached, those before it are too, even if the gossip named
 * only the last one.
 */
static double
uncached_tokens(const struct upstream *upstream,
    const struct place_request *request, clk_ms now)
{
	double tokens = 0;

	for (size_t i = request->part_count; i > 0; i--) {
		const struct place_part *part = &request->parts[i - 1];
		const clk_ms *used =
		    g_hash_table_lookup(upstream->parts, &part->id);

		if (used != NULL && now - *used < PART_CACHED_MS)
			break;
		tokens += part->tokens;
	}
	return (tokens);
}

/*
 * Returns the lowest moving average of the service's upstreams, which stands
 * in for the average of an upstream without a sample.
 */
static double
best_sample(const struct place *place, const char *service, bool is_engine)
{
	double best = 0;

	for (guint i = 0; i < place->upstreams->len; i++) {
		const struct upstream *upstream = place->upstreams->pdata[i];
		double sample;

		if (!upstream->in_use || upstream->is_removed ||
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

/* Requests of this instance there; as many as it runs if one is overdue. */
static unsigned
reported_load(const struct upstream *upstream)
{
	return (upstream->running +
	    (upstream->overdue > 0 ? upstream->entry.slots : 0));
}

/*
 * Returns the estimated number of requests that run at the upstream.  Each
 * other instance is assumed to have sent as many requests there since the
 * last gossip as this one.
 */
static double
estimated_load(const struct place *place, const struct upstream *upstream)
{
	return (reported_load(upstream) + (double)upstream->peers_running +
	    (double)upstream->unsent * (place->instances - 1));
}

/* Time in which an engine reads the parts of the prompt that it doesn't hold.
 */
static double
prefill_ms(const struct upstream *upstream, const struct place_request *request,
    double token_ms, clk_ms now)
{
	return (
	    uncached_tokens(upstream, request, now) * PREFILL_COST * token_ms);
}

/*
 * Expected time of the request at an engine, plus the weighted delay that it
 * causes to the requests that run there.
 */
static double
engine_ms(const struct upstream *upstream, const struct place_request *request,
    double token_ms, double load, clk_ms now)
{
	double prefill = prefill_ms(upstream, request, token_ms, now);
	double decode = token_ms * request->output_tokens;

	return (decode * (1.0 + STEP_GROWTH * load) + prefill +
	    OTHERS_WEIGHT * load * (prefill + decode * STEP_GROWTH));
}

static bool
is_home(const struct place *place, const struct upstream *upstream)
{
	return (strcmp(upstream->datacentre, place->datacentre) == 0);
}

/* What an upstream in another data centre costs in addition. */
static double
cross_ms(const struct place *place, const struct place_request *request)
{
	return (place->spill != NULL
		? spill_charge_ms(place->spill, request->bytes)
		: CROSS_DATACENTRE_MS);
}

/* Whether it is slower, and takes fewer requests, than it will in a while. */
static bool
is_cold(const struct place *place, const struct upstream *upstream)
{
	return (place->throttle != NULL &&
	    throttle_is_cold(place->throttle, upstream->hash));
}

/*
 * The moving average that applies now; 0: no sample.  An upstream that is only
 * suspected to be cold has no samples of a cold time.
 */
static double
speed_sample(
    const struct place *place, const struct upstream *upstream, bool is_engine)
{
	double cold =
	    is_engine ? upstream->cold_token_ms : upstream->cold_answer_ms;

	if (cold > 0 && is_cold(place, upstream))
		return (cold);
	return (is_engine ? upstream->token_ms : upstream->answer_ms);
}

/* Time to generate a token there; best stands in if there is no sample. */
static double
token_ms_of(
    const struct place *place, const struct upstream *upstream, double best)
{
	double sample = speed_sample(place, upstream, true);

	return (sample > 0 ? sample : best);
}

static double
recent_errors(const struct upstream *upstream, clk_ms now)
{
	if (upstream->errors == 0)
		return (0);
	return (upstream->errors *
	    exp(-(double)(now - upstream->errors_at) / ERROR_MEMORY_MS));
}

/* Cost of running the request at the upstream, in ms. */
static double
cost_ms(const struct place *place, const struct upstream *upstream,
    const struct place_request *request, double best, clk_ms now)
{
	double slots = MAX(upstream->entry.slots, 1U);
	double load = estimated_load(place, upstream);
	double sample = speed_sample(place, upstream, request->part_count > 0);
	double ms;

	if (request->part_count > 0)
		ms = engine_ms(upstream, request,
		    token_ms_of(place, upstream, best), load, now);
	else
		ms = (sample > 0 ? sample : best) * (1.0 + load / slots);
	if (load >= slots)
		ms += QUEUE_WAIT_MS * (load - slots + 1.0);
	if (!is_home(place, upstream))
		ms += cross_ms(place, request);
	return (ms + ERROR_COST_MS * recent_errors(upstream, now));
}

static bool
was_tried(const struct place_request *request, guint index, uint32_t generation)
{
	for (size_t i = 0; i < request->tried_count; i++) {
		if (request->tried[i].index == index &&
		    request->tried[i].generation == generation)
			return (true);
	}
	return (false);
}

/* Records a part as cached; returns whether it is to be sent to the peers. */
static bool
part_record(struct upstream *upstream, uint64_t part, clk_ms now)
{
	clk_ms *used = g_hash_table_lookup(upstream->parts, &part);
	bool is_due;

	if (used != NULL) {
		is_due = now - *used >= PART_RESEND_MS;
		*used = now;
		return (is_due);
	}
	if (g_hash_table_size(upstream->parts) >= PARTS_MAX)
		g_hash_table_remove_all(upstream->parts);
	(void)g_hash_table_insert(upstream->parts,
	    g_memdup2(&part, sizeof(part)), g_memdup2(&now, sizeof(now)));
	return (true);
}

/*
 * Records all parts of the prompt as cached, not only the last one: parts
 * that many programs share come first and are never the last.
 */
void
place_parts_record(struct place *place, struct place_handle handle,
    const struct place_part *parts, size_t count, clk_ms now)
{
	struct upstream *upstream = lookup(place, handle);

	for (size_t i = 0; upstream != NULL && i < count; i++) {
		const struct place_cached_part cached = {
		    parts[i].id, upstream->hash};

		if (part_record(upstream, cached.part, now))
			outbox_add(place->parts, &cached);
	}
}

size_t
place_loads_collect(struct place *place, struct place_load *loads, size_t max)
{
	guint len = place->upstreams->len;
	guint first = len > 0 ? place->first_load % len : 0;
	size_t n = 0;

	for (guint k = 0; k < len; k++) {
		guint i = (first + k) % len;
		struct upstream *upstream = place->upstreams->pdata[i];

		upstream->unsent = 0;
		upstream->told = reported_load(upstream);
		if (!upstream->in_use || upstream->running == 0)
			continue;
		/* What is left out comes first in the next message. */
		if (n == max)
			place->first_load = i;
		if (n++ < max)
			loads[n - 1] =
			    (struct place_load){upstream->hash, upstream->told};
	}
	return (n);
}

size_t
place_cached_parts_collect(
    struct place *place, struct place_cached_part *cached, size_t max)
{
	return (outbox_take(place->parts, cached, max));
}

static struct peer *
peer_loads_set(struct place *place, const char *name,
    const struct place_load *loads, size_t n, clk_ms now)
{
	struct peer *peer = g_hash_table_lookup(place->peers, name);

	if (peer == NULL) {
		peer = g_new0(struct peer, 1);
		peer->loads =
		    g_array_new(FALSE, FALSE, sizeof(struct place_load));
		(void)g_hash_table_insert(place->peers, g_strdup(name), peer);
	}
	peer->received = now;
	g_array_set_size(peer->loads, 0);
	(void)g_array_append_vals(peer->loads, loads, (guint)n);
	place->peer_loads_changed = true;
	return (peer);
}

void
place_sum_merge(struct place *place, const char *datacentre,
    const struct place_load *loads, size_t n, clk_ms now)
{
	/* No instance has such a name. */
	g_autofree char *name = g_strdup_printf("/%s", datacentre);

	peer_loads_set(place, name, loads, n, now)->is_own_sum =
	    strcmp(datacentre, place->datacentre) == 0;
}

size_t
place_cached_parts_merge(
    struct place *place, struct place_cached_part *cached, size_t n, clk_ms now)
{
	size_t news = 0;

	for (size_t i = 0; i < n; i++) {
		const struct place_cached_part part = cached[i];
		struct upstream *upstream = find_by_hash(place, part.upstream);

		if (upstream != NULL && part_record(upstream, part.part, now))
			cached[news++] = part;
	}
	return (news);
}

void
place_gossip_merge(struct place *place, const char *name,
    const struct place_load *loads, size_t n, clk_ms now)
{
	(void)peer_loads_set(place, name, loads, n, now);
}

static bool
is_limited(const struct place_request *request, const struct upstream *upstream)
{
	return (request->throttle != NULL &&
	    throttle_is_limited(request->throttle, upstream->hash));
}

static bool
is_allowed(const GPtrArray *regions, const char *region)
{
	bool is_listed = regions == NULL;

	for (guint i = 0; !is_listed && i < regions->len; i++)
		is_listed = regions->pdata[i] == region;
	return (is_listed);
}

/* Why an upstream of the service can't run the request; nil: it can. */
static const char *
excluded_because(const struct place *place, const struct place_request *request,
    guint index, clk_ms now)
{
	const struct upstream *upstream = place->upstreams->pdata[index];

	if (upstream->is_evacuated)
		return ("evacuated");
	if (evacuations_is_stale(place->evacuations, now))
		return ("evacuations are not known");
	if (!is_open(place, upstream, request->version != NULL, now))
		return ("leaving");
	if (request->version != NULL &&
	    g_strcmp0(upstream->version, request->version) != 0)
		return ("software version");
	if (!is_allowed(request->route_regions, upstream->region) ||
	    !is_allowed(request->organisation_regions, upstream->region))
		return ("region");
	if (was_tried(request, index, upstream->generation))
		return ("tried");
	if (request->max_connections > 0 &&
	    upstream->running >= request->max_connections)
		return ("connections");
	return (NULL);
}

static bool
serves(const struct upstream *upstream, const char *service)
{
	return (upstream->in_use && !upstream->is_removed &&
	    strcmp(upstream->service, service) == 0);
}

/* Whether the upstream could run the request, if it has a token. */
static bool
is_eligible(const struct place *place, const struct place_request *request,
    guint index, clk_ms now)
{
	return (serves(place->upstreams->pdata[index], request->service) &&
	    excluded_because(place, request, index, now) == NULL);
}

/* The time before which the upstream has no token; 0: there may be one. */
static clk_ms
held_until(const struct upstream *upstream, const struct place_request *request,
    clk_ms now)
{
	clk_ms until = request->throttle != NULL
	    ? throttle_held_until(request->throttle, upstream->hash)
	    : 0;

	return (until > now ? until : 0);
}

clk_ms
place_held_until(
    const struct place *place, const struct place_request *request, clk_ms now)
{
	clk_ms earliest = 0;

	for (guint i = 0; i < place->upstreams->len; i++) {
		clk_ms until;

		if (!is_eligible(place, request, i, now))
			continue;
		until = held_until(place->upstreams->pdata[i], request, now);
		if (until > 0 && (earliest == 0 || until < earliest))
			earliest = until;
	}
	return (earliest);
}

/* Whether the last upstream that was looked at is cut off, for the next. */
struct cut {
	const char *datacentre; /* nil: none was looked at */
	bool is_cut;
};

static bool
is_cut(const struct place_request *request, const struct upstream *upstream,
    struct cut *last, clk_ms now)
{
	if (request->reach == NULL)
		return (false);
	if (last->datacentre == NULL ||
	    strcmp(last->datacentre, upstream->datacentre) != 0)
		*last = (struct cut){upstream->datacentre,
		    reach_is_cut(request->reach, upstream->datacentre, now)};
	return (last->is_cut);
}

/* Part of an idle engine's speed that the upstream has, the fastest 1. */
static double
relative_speed(const struct upstream *upstream, double best)
{
	if (upstream->token_ms <= 0)
		return (1.0);
	return (fmin(best / upstream->token_ms, 1.0));
}

struct place_service_load
place_service_load(
    struct place *place, const struct place_request *request, clk_ms now)
{
	bool is_engine = request->part_count > 0;
	double best =
	    is_engine ? best_sample(place, request->service, true) : 0;
	struct place_service_load load = {0};
	struct cut cut = {0};

	peer_loads_sum(place);
	for (guint i = 0; i < place->upstreams->len; i++) {
		const struct upstream *upstream = place->upstreams->pdata[i];
		bool is_in_backoff = now < upstream->backoff_until;
		/*
		 * Where entry and configuration differ, a wait for a place
		 * that exists would cost more than a queue at the engine.
		 */
		double slots = MAX(upstream->entry.slots, request->slots);
		double running = upstream->running + upstream->peers_running;
		double weight;

		if (!is_eligible(place, request, i, now) ||
		    (is_in_backoff && upstream->failures > 0) ||
		    held_until(upstream, request, now) > 0 ||
		    is_cut(request, upstream, &cut, now))
			continue;
		weight = is_engine ? relative_speed(upstream, best) : 1.0;
		/* It has just refused a request because it is full. */
		if (is_in_backoff)
			running = fmax(running, slots);
		load.upstreams++;
		load.places += weight * slots;
		load.running += weight * running;
		load.own += weight * upstream->running;
	}
	return (load);
}

/* The upstream of the request's object; nil: none. */
static const struct upstream *
object_upstream(
    const struct place *place, const struct place_request *request, clk_ms now)
{
	const struct upstream *best = NULL;
	uint32_t best_score = 0;

	if (request->object == 0 || request->part_count > 0)
		return (NULL);
	for (guint i = 0; i < place->upstreams->len; i++) {
		const struct upstream *upstream = place->upstreams->pdata[i];
		uint32_t score = rdv_score(request->object, upstream->hash);

		if (!is_eligible(place, request, i, now) ||
		    is_leaving(upstream) || now < upstream->backoff_until)
			continue;
		if (best == NULL || score > best_score) {
			best = upstream;
			best_score = score;
		}
	}
	return (best);
}

/* Cost of an upstream with what speaks against it, or for it. */
static double
total_ms(const struct place *place, const struct upstream *upstream,
    const struct place_request *request, const struct upstream *object,
    double best, struct cut *cut, clk_ms now)
{
	clk_ms until = held_until(upstream, request, now);
	double ms = cost_ms(place, upstream, request, best, now);

	if (request->preferred_version != NULL &&
	    g_strcmp0(upstream->version, request->preferred_version) != 0)
		ms += request->other_version_ms;
	if (upstream == object)
		ms -= OBJECT_GAIN * best;
	if (now < upstream->backoff_until)
		ms += BACKOFF_COST_MS;
	if (until > 0)
		ms += HELD_COST_MS * (double)(until - now);
	if (is_leaving(upstream))
		ms += LEAVING_COST_MS;
	if (is_cut(request, upstream, cut, now))
		ms += CUT_COST_MS;
	return (ms);
}

/* The cheapest upstream of this data centre, or of the others. */
struct candidate {
	struct upstream *upstream; /* nil: there is none */
	double ms;
	guint index;
};

/* Whether the request goes to the cheapest upstream of another data centre. */
static bool
leaves(struct place *place, const struct place_request *request,
    const struct candidate *home, const struct candidate *away, double best,
    clk_ms now)
{
	struct spill_choice choice = {
	    .service = request->service,
	    .home_ms = home->ms,
	    .away_ms = away->ms,
	    .left_ms = (double)request->left,
	};

	if (home->upstream == NULL || away->upstream == NULL)
		return (home->upstream == NULL);
	if (place->spill == NULL)
		return (away->ms < home->ms);
	choice.charge_ms = cross_ms(place, request);
	if (request->part_count > 0)
		choice.parts_ms =
		    prefill_ms(home->upstream, request,
			token_ms_of(place, home->upstream, best), now) -
		    prefill_ms(away->upstream, request,
			token_ms_of(place, away->upstream, best), now);
	return (spill_decide(place->spill, &choice, now) != SPILL_STAYS);
}

bool
place_choose(struct place *place, const struct place_request *request,
    clk_ms now, struct place_handle *handle)
{
	const struct upstream *object = object_upstream(place, request, now);
	double best_sample_ms =
	    best_sample(place, request->service, request->part_count > 0);
	struct candidate home = {0};
	struct candidate away = {0};
	const struct candidate *best;
	struct cut cut = {0};
	guint start = place->upstreams->len > 0
	    ? (guint)(place->choices++ % place->upstreams->len)
	    : 0;

	peer_loads_sum(place);
	for (guint n = 0; n < place->upstreams->len; n++) {
		guint i = (start + n) % place->upstreams->len;
		struct upstream *upstream = place->upstreams->pdata[i];
		struct candidate *side;
		clk_ms until;
		double ms;

		if (!is_eligible(place, request, i, now))
			continue;
		if (request->is_unlimited_only && is_limited(request, upstream))
			continue;
		until = held_until(upstream, request, now);
		if (until > 0 && until - now > request->max_wait)
			continue;
		ms = total_ms(place, upstream, request, object, best_sample_ms,
		    &cut, now);
		side = is_home(place, upstream) ? &home : &away;
		if (side->upstream == NULL || ms < side->ms)
			*side = (struct candidate){upstream, ms, i};
	}
	best = leaves(place, request, &home, &away, best_sample_ms, now)
	    ? &away
	    : &home;
	if (best->upstream == NULL)
		return (false);
	*handle =
	    (struct place_handle){best->index, best->upstream->generation};
	best->upstream->running++;
	best->upstream->unsent++;
	return (true);
}

void
place_explain(struct place *place, const struct place_request *request,
    clk_ms now, place_visit *visit, void *arg)
{
	const struct upstream *object = object_upstream(place, request, now);
	bool is_engine = request->part_count > 0;
	double best = best_sample(place, request->service, is_engine);
	struct cut cut = {0};

	peer_loads_sum(place);
	for (guint i = 0; i < place->upstreams->len; i++) {
		const struct upstream *upstream = place->upstreams->pdata[i];
		struct place_candidate candidate;

		if (!serves(upstream, request->service))
			continue;
		candidate = (struct place_candidate){
		    .entry = &upstream->entry,
		    .excluded = excluded_because(place, request, i, now),
		    .is_home = is_home(place, upstream),
		    .is_in_backoff = now < upstream->backoff_until,
		    .running = upstream->running,
		    .peers_running = upstream->peers_running,
		    .cost_ms = total_ms(
			place, upstream, request, object, best, &cut, now),
		    .read_ms = is_engine
			? prefill_ms(upstream, request,
			      token_ms_of(place, upstream, best), now)
			: 0,
		    .errors = recent_errors(upstream, now),
		};
		if (!candidate.is_home)
			candidate.cross_ms = cross_ms(place, request);
		if (candidate.excluded == NULL &&
		    held_until(upstream, request, now) > 0)
			candidate.excluded = "no token";
		else if (candidate.excluded == NULL &&
		    is_cut(request, upstream, &cut, now))
			candidate.excluded = "cut off";
		visit(arg, &candidate);
	}
}

clk_ms
place_overdue_after(const struct place *place, struct place_handle handle)
{
	const struct upstream *upstream = lookup(place, handle);

	if (upstream == NULL)
		return (OVERDUE_MIN_MS);
	return (
	    MAX((clk_ms)(OVERDUE_FACTOR * speed_sample(place, upstream, false)),
		OVERDUE_MIN_MS));
}

void
place_overdue_set(
    struct place *place, struct place_handle handle, bool is_overdue)
{
	struct upstream *upstream = lookup(place, handle);

	if (upstream == NULL)
		return;
	if (is_overdue)
		upstream->overdue++;
	else if (upstream->overdue > 0)
		upstream->overdue--;
}

void
place_request_end(struct place *place, struct place_handle handle,
    enum place_outcome outcome, clk_ms now)
{
	struct upstream *upstream = lookup(place, handle);
	clk_ms backoff;

	if (upstream == NULL)
		return;
	upstream->running--;
	switch (outcome) {
	case PLACE_SERVED:
		upstream->failures = 0;
		break;
	case PLACE_ERROR:
		upstream->failures = 0;
		upstream->errors = 1.0 + recent_errors(upstream, now);
		upstream->errors_at = now;
		break;
	case PLACE_REJECTED:
		upstream->backoff_until = now + BACKOFF_FULL_MS;
		break;
	case PLACE_UNREACHABLE:
	case PLACE_SILENT:
	case PLACE_FAILED:
	case PLACE_MISDIRECTED:
		backoff = BACKOFF_FIRST_MS << MIN(upstream->failures, 4U);
		upstream->failures++;
		/* A single failure may be due to the request. */
		if (outcome == PLACE_FAILED && upstream->failures == 1)
			break;
		upstream->backoff_until = now + MIN(backoff, BACKOFF_MAX_MS);
		if (outcome != PLACE_MISDIRECTED && outcome != PLACE_SILENT &&
		    !upstream->is_removed && place->on_doubt != NULL)
			place->on_doubt(
			    place->on_doubt_arg, upstream->hash, true);
		break;
	case PLACE_CANCELLED:
		break;
	}
	if (upstream->is_removed && upstream->running == 0)
		upstream_clear(upstream);
}

static void
average_update(double *value, double sample)
{
	*value =
	    *value == 0 ? sample : *value + SAMPLE_WEIGHT * (sample - *value);
}

void
place_first_byte_record(
    struct place *place, struct place_handle handle, double delay)
{
	struct upstream *upstream = lookup(place, handle);

	if (upstream != NULL)
		average_update(is_cold(place, upstream)
			? &upstream->cold_answer_ms
			: &upstream->answer_ms,
		    fmax(delay, 0.1));
}

void
place_event_gap_record(struct place *place, struct place_handle handle,
    double gap, unsigned tokens)
{
	struct upstream *upstream = lookup(place, handle);

	if (upstream == NULL || tokens == 0)
		return;
	gap /=
	    1.0 + STEP_GROWTH * (upstream->running + upstream->peers_running);
	average_update(is_cold(place, upstream) ? &upstream->cold_token_ms
						: &upstream->token_ms,
	    fmax(gap, 0.01) / (double)tokens);
}
