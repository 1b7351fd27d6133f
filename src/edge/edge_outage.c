/*
 * Requests that wait for the store before they are sent to an upstream, see
 * outage/outage.h and outage/hold.h.
 *
 * Each store call of the edge passes through a table of functions put around
 * the deployment's, so that its partition and outcome are seen.  While requests
 * wait, partitions that they need are probed.
 */
#include <string.h>

#include "edge/edge_internal.h"
#include "outage/outage.h"

/*
 * Requests that may wait, and bytes of their bodies: what a busy instance
 * receives in 10 s, and a tenth of the memory of the smallest one.
 */
#define HOLD_COUNT_MAX 256
#define HOLD_BYTES_MAX ((size_t)8 << 20)
/* Period of the checks while requests wait. */
#define CHECK_PERIOD_S 0.02
/*
 * Time between two probes of a partition.  While the whole store is away an
 * instance sends one probe in this time: 195 instances send 1,000 a second.
 */
#define PROBE_PERIOD_MS 200
#define PROBES_MAX	4
/* Callers follow a Retry-After of up to this part of the time they have. */
#define FOLLOW_PART   3
#define RETRY_MIN_MS  50
#define RETRY_MAX_MS  1500
#define RETRY_BUSY_MS 500
/*
 * Time for which the others have to be better off before requests are turned
 * away.  When the store falls silent for all, those that had its last answer
 * earliest count as worse off for up to 150 ms.
 */
#define WORSE_OFF_MS 150
/*
 * A probe deletes this key, which nobody writes, expecting an empty partition:
 * it is refused as a conflict and changes nothing.  In an empty partition it
 * adds a record without a value.
 */
#define PROBE_KEY "-probe"
#define PROBE_END 0

struct edge_outage {
	struct edge *edge;
	struct outage *outage;
	struct hold *hold;
	struct store inner; /* the deployment's */
	GHashTable *calls; /* struct watched_call in progress */
	GHashTable *probes; /* struct probe, by partition */
	struct ev_timer timer;
	clk_ms probed; /* time of the last probe */
	unsigned pending; /* probes in progress */
	clk_ms next_send; /* while is_releasing */
	bool is_releasing;
	enum outage_verdict logged;
};

/* ---- Observing the store ---- */

struct watched_call {
	struct edge_outage *outage;
	struct outage_call *call;
	store_done_cb *done;
	void *arg;
};

static void outage_advance(struct edge_outage *outage);

static struct watched_call *
watched_call_new(struct edge_outage *outage,
    const struct store_partition *partition, store_done_cb *done, void *arg)
{
	struct watched_call *watched = g_new0(struct watched_call, 1);

	watched->outage = outage;
	watched->call = outage_call_begin(
	    outage->outage, partition, edge_now(outage->edge));
	watched->done = done;
	watched->arg = arg;
	(void)g_hash_table_add(outage->calls, watched);
	return (watched);
}

static void
on_watched_end(void *arg, const struct store_reply *reply)
{
	struct watched_call *watched = arg;
	struct edge_outage *outage = watched->outage;
	store_done_cb *done = watched->done;
	void *done_arg = watched->arg;

	outage_call_end(outage->outage, watched->call, reply->status,
	    edge_now(outage->edge));
	(void)g_hash_table_remove(outage->calls, watched);
	done(done_arg, reply);
	outage_advance(outage);
}

static void
watched_append(void *impl, const struct store_partition *partition, int64_t end,
    const struct store_record *records, size_t count, clk_ms timeout,
    store_done_cb *done, void *arg)
{
	struct edge_outage *outage = impl;
	struct watched_call *watched =
	    watched_call_new(outage, partition, done, arg);

	outage->inner.ops->append(outage->inner.impl, partition, end, records,
	    count, timeout, on_watched_end, watched);
}

static void
watched_read(void *impl, const struct store_partition *partition,
    clk_ms timeout, store_done_cb *done, void *arg)
{
	struct edge_outage *outage = impl;
	struct watched_call *watched =
	    watched_call_new(outage, partition, done, arg);

	outage->inner.ops->read(
	    outage->inner.impl, partition, timeout, on_watched_end, watched);
}

static const struct store_ops watched_ops = {watched_append, watched_read};

/* ---- What a request waits for ---- */

static bool
is_answering(
    const struct edge_outage *outage, const struct store_partition *partition)
{
	return (outage_verdict(outage->outage, partition,
		    edge_now(outage->edge)) == OUTAGE_ANSWERS);
}

bool
edge_outage_is_expected(
    const struct edge *edge, const struct store_partition *partition)
{
	return (is_answering(edge->outage, partition));
}

bool
edge_outage_store_answers(const struct edge *edge)
{
	return (outage_store_verdict(edge->outage->outage, edge_now(edge)) ==
	    OUTAGE_ANSWERS);
}

/* Whether the call's key can't be checked: the configuration is too old. */
static bool
is_unconfirmed(const struct edge_call *call)
{
	const struct edge *edge = call->edge;

	return (!call->route->is_public &&
	    catalogue_has_organisations(call->catalogue) &&
	    edge_now(edge) - edge->confirmed >
		edge->settings.max_catalogue_age);
}

/*
 * Finds a partition that the call needs and whose answer can't be expected.
 * Returns false if there is none.
 */
static bool
missing_part(const struct edge_call *call, struct store_partition *partition)
{
	const struct edge_outage *outage = call->edge->outage;

	if (call->turn != NULL) {
		*partition = (struct store_partition){
		    STORE_TURNS, store_slot(call->turn->id)};
		if (!is_answering(outage, partition))
			return (true);
	}
	*partition = call->wait.needed;
	return (call->wait.is_needed && !is_answering(outage, partition));
}

static bool
is_ready(void *arg)
{
	const struct edge_call *call = arg;
	struct store_partition partition;

	return (!is_unconfirmed(call) && !missing_part(call, &partition));
}

static bool
is_unready(void *arg)
{
	return (!is_ready(arg));
}

/* ---- Probes ---- */

struct probe {
	struct edge_outage *outage;
	struct store_partition partition;
	clk_ms sent;
	bool is_pending;
};

static guint
probe_hash(gconstpointer key)
{
	const struct store_partition *partition = key;

	return ((guint)partition->space << 16 | partition->slot);
}

static gboolean
probe_equal(gconstpointer a, gconstpointer b)
{
	return (probe_hash(a) == probe_hash(b));
}

static void
on_probed(void *arg, const struct store_reply *reply)
{
	struct probe *probe = arg;

	(void)reply;
	probe->is_pending = false;
	probe->outage->pending--;
}

static bool
is_probe_due(void *arg)
{
	const struct edge_call *call = arg;
	const struct edge_outage *outage = call->edge->outage;
	struct store_partition partition;
	const struct probe *probe;

	if (!missing_part(call, &partition))
		return (false);
	probe = g_hash_table_lookup(outage->probes, &partition);
	return (probe == NULL ||
	    (!probe->is_pending &&
		edge_now(call->edge) - probe->sent >= PROBE_PERIOD_MS));
}

static void
probe_send(struct edge_outage *outage, const struct store_partition *partition)
{
	const struct store *store = &outage->edge->deps.store;
	const struct store_record record = {PROBE_KEY, NULL, 0};
	struct probe *probe = g_hash_table_lookup(outage->probes, partition);

	if (probe == NULL) {
		probe = g_new0(struct probe, 1);
		probe->outage = outage;
		probe->partition = *partition;
		(void)g_hash_table_insert(
		    outage->probes, &probe->partition, probe);
	}
	probe->sent = edge_now(outage->edge);
	probe->is_pending = true;
	outage->probed = probe->sent;
	outage->pending++;
	cnt_add(
	    cnt_counter(outage->edge->deps.cnt, "store_probes_total",
		"Probes of partitions that waiting requests need.", NULL, NULL),
	    1);
	store->ops->append(store->impl, partition, PROBE_END, &record, 1,
	    OUTAGE_OVERDUE_MS, on_probed, probe);
}

static void
probes_advance(struct edge_outage *outage)
{
	clk_ms now = edge_now(outage->edge);
	bool is_lost =
	    outage_store_verdict(outage->outage, now) == OUTAGE_FAILS;
	struct store_partition partition;
	struct hold_entry *entry;

	while (outage->pending < PROBES_MAX &&
	    (!is_lost || now - outage->probed >= PROBE_PERIOD_MS) &&
	    (entry = hold_next(outage->hold, is_probe_due, now)) != NULL &&
	    missing_part(hold_arg(entry), &partition))
		probe_send(outage, &partition);
}

/* ---- Waiting requests ---- */

static void
held_record(const struct edge_call *call, const char *outcome, clk_ms waited)
{
	const struct edge *edge = call->edge;
	const struct hold *hold = edge->outage->hold;
	char id[80];
	char route[80];

	lg_event(edge->deps.lg, LG_INFO, "held",
	    "request=%s route=%s outcome=%s waited_ms=%" G_GINT64_FORMAT
	    " left_ms=%" G_GINT64_FORMAT " program_left_ms=%" G_GINT64_FORMAT
	    " waiting=%u waiting_bytes=%zu",
	    lg_quote(id, sizeof(id), call->request.id),
	    lg_quote(route, sizeof(route), call->route->name), outcome, waited,
	    call->deadline - edge_now(edge),
	    call->request.program_time_left > 0 ? call->arrived +
		    call->request.program_time_left - edge_now(edge)
						: 0,
	    hold_count(hold), hold_bytes(hold));
	cnt_add(cnt_counter(edge->deps.cnt, "held_total",
		    "Requests that waited for the store, by outcome.",
		    "outcome", outcome),
	    1);
}

static void
held_remove(struct edge_call *call, const char *outcome)
{
	struct edge_outage *outage = call->edge->outage;
	clk_ms waited = edge_now(call->edge) - hold_since(call->wait.entry);

	hold_remove(outage->hold, call->wait.entry);
	call->wait.entry = NULL;
	held_record(call, outcome, waited);
}

/*
 * Refuse the call with a Retry-After that its caller can follow in the time
 * it has left.
 */
static void
held_refuse(struct edge_call *call, clk_ms retry_after, const char *detail)
{
	clk_ms left = call->deadline - edge_now(call->edge);
	bool is_key = call->turn_id == NULL;

	edge_refuse_not_run(call,
	    is_key ? VD_CONFIG_STALE : VD_HISTORY_UNPROVEN,
	    CLAMP(retry_after, RETRY_MIN_MS,
		MAX(left / FOLLOW_PART, RETRY_MIN_MS)),
	    is_key ? "keys can't be checked: the configuration is too old"
		   : detail);
}

/* Whether the key that the call came with is still its organisation's. */
static bool
is_key_valid(const struct edge_call *call)
{
	const struct edge *edge = call->edge;
	const struct catalogue_organisation *organisation;

	if (call->organisation == NULL || edge->catalogue == call->catalogue)
		return (true);
	organisation = catalogue_key_find(edge->catalogue, call->request.key);
	return (organisation != NULL &&
	    strcmp(organisation->name, call->organisation->name) == 0);
}

static void
held_send(struct edge_call *call)
{
	held_remove(call, "sent");
	if (is_key_valid(call))
		call->wait.next(call);
	else
		edge_refuse_not_run(call, VD_UNAUTHORIZED, 0, "unknown key");
}

static void
held_end(struct edge_call *call)
{
	if (is_ready(call)) {
		held_send(call);
		return;
	}
	held_remove(call, "refused");
	held_refuse(call, RETRY_MAX_MS,
	    "the store does not answer, and the request could not end in time");
}

/* Callers are better served by the instances that the store answers. */
static bool
is_better_elsewhere(const struct edge *edge)
{
	return (edge->worse_since > 0 &&
	    edge_now(edge) - edge->worse_since >= WORSE_OFF_MS);
}

static void
held_turn_away(struct edge_outage *outage)
{
	struct edge *edge = outage->edge;
	struct hold_entry *entry;

	while ((entry = hold_next(outage->hold, is_unready, edge_now(edge))) !=
	    NULL) {
		struct edge_call *call = hold_arg(entry);

		held_remove(call, "elsewhere");
		held_refuse(call, edge_store_retry_after(edge),
		    "the store does not answer this instance");
	}
}

static void
held_release(struct edge_outage *outage, clk_ms now)
{
	struct hold *hold = outage->hold;
	GRand *rand = outage->edge->rand;
	struct hold_entry *entry = hold_next(hold, is_ready, now);

	if (entry == NULL) {
		outage->is_releasing = false;
		return;
	}
	if (!outage->is_releasing) {
		outage->is_releasing = true;
		outage->next_send =
		    now + hold_release_begin(hold, g_rand_double(rand), now);
	}
	while (entry != NULL && now >= outage->next_send) {
		held_send(hold_arg(entry));
		outage->next_send += hold_pace(hold, g_rand_double(rand));
		entry = hold_next(hold, is_ready, now);
	}
}

/* Send, refuse or keep what waits, and probe what it waits for. */
static void
outage_advance(struct edge_outage *outage)
{
	struct edge *edge = outage->edge;
	clk_ms now = edge_now(edge);
	struct hold_entry *entry;

	if (hold_count(outage->hold) == 0) {
		outage->is_releasing = false;
		ev_timer_stop(edge->deps.loop, &outage->timer);
		return;
	}
	if (is_better_elsewhere(edge))
		held_turn_away(outage);
	while ((entry = hold_expired(outage->hold, now)) != NULL)
		held_end(hold_arg(entry));
	held_release(outage, now);
	probes_advance(outage);
}

static void
timer_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	outage_advance(watcher->data);
}

bool
edge_outage_hold(struct edge_call *call, const struct store_partition *needed,
    edge_stage *next)
{
	struct edge *edge = call->edge;
	struct edge_outage *outage = edge->outage;
	clk_ms now = edge_now(edge);
	const struct hold_request request = {
	    .route = call->route->name,
	    .deadline = call->deadline,
	    .first_event_by = call->route->kind == CATALOGUE_STREAM
		? call->arrived + edge_caller_gap(call->route)
		: 0,
	    .timeout = call->deadline - call->arrived,
	    .program_deadline = call->request.program_time_left > 0
		? call->arrived + call->request.program_time_left
		: 0,
	    .bytes = hsv_body(call->client)->len +
		(call->turn != NULL ? call->turn->input->len : 0) +
		(call->history != NULL ? call->history->len : 0),
	    .arg = call,
	};

	call->wait.next = next;
	call->wait.is_needed = needed != NULL;
	if (needed != NULL)
		call->wait.needed = *needed;
	if (is_ready(call))
		return (false);
	if (is_better_elsewhere(edge)) {
		held_record(call, "elsewhere", 0);
		held_refuse(call, edge_store_retry_after(edge),
		    "the store does not answer this instance");
		return (true);
	}
	if (hold_is_too_late(outage->hold, &request, now)) {
		held_record(call, "refused", 0);
		held_refuse(call, RETRY_MAX_MS,
		    "the store does not answer, and the request could not end "
		    "in time");
		return (true);
	}
	call->wait.entry = hold_add(outage->hold, &request, now);
	if (call->wait.entry == NULL) {
		held_record(call, "no_room", 0);
		held_refuse(call, RETRY_BUSY_MS,
		    "too many requests wait for the store");
		return (true);
	}
	if (!ev_is_active(&outage->timer)) {
		ev_timer_set(&outage->timer, CHECK_PERIOD_S, CHECK_PERIOD_S);
		ev_timer_start(edge->deps.loop, &outage->timer);
	}
	probes_advance(outage);
	return (true);
}

void
edge_outage_cancel(struct edge_call *call)
{
	if (call->wait.entry != NULL)
		held_remove(call, "ended");
}

void
edge_outage_ran(const struct edge_call *call)
{
	clk_ms end =
	    call->record_since > 0 ? call->record_since : edge_now(call->edge);

	if (call->sent_at > 0)
		hold_duration_record(call->edge->outage->hold,
		    call->route->name, end - call->sent_at);
}

void
edge_outage_tick(struct edge *edge)
{
	struct edge_outage *outage = edge->outage;
	enum outage_verdict verdict =
	    outage_store_verdict(outage->outage, edge_now(edge));

	if (verdict != OUTAGE_UNKNOWN && verdict != outage->logged) {
		lg_event(edge->deps.lg, LG_NOTICE, "store_state",
		    "answers=%d waiting=%u", verdict == OUTAGE_ANSWERS,
		    hold_count(outage->hold));
		outage->logged = verdict;
	}
	cnt_set(cnt_gauge(edge->deps.cnt, "held_requests",
		    "Requests that wait for the store.", NULL, NULL),
	    hold_count(outage->hold));
	outage_advance(outage);
}

void
edge_store_failed(struct edge *edge, clk_ms when)
{
	outage_reader_report(edge->outage->outage, false, when);
}

void
edge_store_answered(struct edge *edge, clk_ms when)
{
	edge->store_answered = MAX(edge->store_answered, when);
	outage_reader_report(edge->outage->outage, true, when);
	outage_advance(edge->outage);
}

void
edge_outage_open(struct edge *edge)
{
	struct edge_outage *outage = g_new0(struct edge_outage, 1);

	outage->edge = edge;
	outage->outage = outage_open(edge_now(edge));
	outage->hold = hold_open(HOLD_COUNT_MAX, HOLD_BYTES_MAX);
	outage->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	outage->probes =
	    g_hash_table_new_full(probe_hash, probe_equal, NULL, g_free);
	ev_timer_init(&outage->timer, timer_cb, CHECK_PERIOD_S, CHECK_PERIOD_S);
	outage->timer.data = outage;
	outage->inner = edge->deps.store;
	edge->deps.store.ops = &watched_ops;
	edge->deps.store.impl = outage;
	edge->outage = outage;
}

void
edge_outage_close(struct edge *edge)
{
	struct edge_outage *outage = edge->outage;

	ev_timer_stop(edge->deps.loop, &outage->timer);
	g_hash_table_destroy(outage->probes);
	g_hash_table_destroy(outage->calls);
	hold_close(outage->hold);
	outage_close(outage->outage);
	g_free(outage);
	edge->outage = NULL;
}
