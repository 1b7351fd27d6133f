/*
 * Software versions of streams that callers may take up again: the plans in
 * the store, and the records of single streams, see rollout/rollout.h.
 */
#include <string.h>

#include "edge/edge_internal.h"
#include "lib/fnv.h"

/* Time between two reads of the plans: a third of the age they may have. */
#define READ_PERIOD_MS 2000
/* The same after a read that failed, or found no plan. */
#define READ_RETRY_MS 500
/* Time after a step of a plan that didn't follow on the newest one. */
#define CONFLICT_RETRY_MS 100
/*
 * What instances other than the first home of a service add to the waits of
 * its plan, so that one of them makes a step.
 */
#define SECOND_HOME_DELAY_MS (10 * CLK_SECOND)
#define OTHERS_DELAY_MS	     (20 * CLK_SECOND)
/* Streams are taken up within so many times the timeout of their route. */
#define LIFE_TIMEOUTS 2

#define STORE_TIMEOUT_MS 400
/* Exponential backoff between attempts. */
#define STORE_BACKOFF_MIN_MS 40
#define STORE_BACKOFF_MAX_MS 320
/* A stream whose version is not found or recorded in this time is refused. */
#define STORE_DEADLINE_MS 800
/*
 * What the record of a stream costs, as a delay of its first event: it takes
 * 10 ms, and a write of the store, of which all instances share few.
 */
#define RECORD_COST_MS 50.0
/* The same while records are put off: only if there is no other way. */
#define RECORD_PAUSED_COST_MS 1e5
/*
 * For this time after one could not be recorded, and when the store has been
 * silent for longer than a read of the configuration takes, streams are not
 * recorded if they can do without, and new ones that can't are refused.
 */
#define RECORD_PAUSE_MS 800
#define STORE_SILENT_MS 1500

static const struct store_partition plans_partition = {STORE_ROLLOUTS, 0};

/* ---- Plans ---- */

static void
read_schedule(struct edge *edge, clk_ms delay)
{
	ev_timer_stop(edge->deps.loop, &edge->rollout_timer);
	ev_timer_set(
	    &edge->rollout_timer, (double)delay / (double)CLK_SECOND, 0.0);
	ev_timer_start(edge->deps.loop, &edge->rollout_timer);
}

static void
on_plans_written(void *arg, const struct store_reply *reply)
{
	struct edge *edge = arg;

	lg_event(edge->deps.lg, LG_NOTICE, "rollout_step", "status=%d",
	    reply->status);
	read_schedule(edge, reply->status == STORE_OK ? 0 : CONFLICT_RETRY_MS);
}

static clk_ms
step_delay(const struct edge *edge, const char *service, clk_ms now)
{
	uint32_t key = roster_hash(service);

	if (roster_is_home(edge->deps.roster, key, 0, now))
		return (0);
	return (roster_is_home(edge->deps.roster, key, 1, now)
		? SECOND_HOME_DELAY_MS
		: OTHERS_DELAY_MS);
}

/* Makes the steps of all plans that are due; returns whether any is. */
static bool
plans_change(struct edge *edge, int64_t end)
{
	clk_ms now = edge_now(edge);
	g_autoptr(GArray) versions = place_versions_collect(edge->deps.place);
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) values =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	g_autoptr(GArray) records =
	    g_array_new(FALSE, FALSE, sizeof(struct store_record));

	for (guint i = 0; i < versions->len; i++) {
		const char *service =
		    g_array_index(versions, struct place_version, i).service;
		g_autofree char *before = NULL;
		struct store_record record = {.key = service};
		GByteArray *value;

		if (!g_hash_table_add(seen, (void *)service))
			continue;
		value = rollout_change(edge->rollout, service,
		    (const struct place_version *)(void *)versions->data,
		    versions->len, step_delay(edge, service, now), now);
		if (value == NULL)
			continue;
		before = rollout_text(edge->rollout, service);
		lg_event(edge->deps.lg, LG_NOTICE, "rollout_due",
		    "service=%s before=%s end=%" G_GINT64_FORMAT, service,
		    before, end);
		record.value = value->data;
		record.len = value->len;
		g_ptr_array_add(values, value);
		g_array_append_val(records, record);
	}
	if (records->len == 0)
		return (false);
	edge->deps.store.ops->append(edge->deps.store.impl, &plans_partition,
	    end, (const struct store_record *)(void *)records->data,
	    records->len, STORE_TIMEOUT_MS, on_plans_written, edge);
	return (true);
}

/* Logs the plans that differ from those before. */
static void
plans_log(struct edge *edge, const struct store_reply *reply, GPtrArray *before)
{
	for (size_t i = 0; i < reply->count; i++) {
		g_autofree char *text =
		    rollout_text(edge->rollout, reply->records[i].key);

		if (strcmp(text, before->pdata[i]) != 0)
			lg_event(edge->deps.lg, LG_NOTICE, "rollout",
			    "service=%s cohorts=%s", reply->records[i].key,
			    text);
	}
}

static void
on_plans_read(void *arg, const struct store_reply *reply)
{
	struct edge *edge = arg;
	g_autoptr(GPtrArray) before = g_ptr_array_new_with_free_func(g_free);

	if (reply->status != STORE_OK) {
		read_schedule(edge, READ_RETRY_MS);
		return;
	}
	for (size_t i = 0; i < reply->count; i++)
		g_ptr_array_add(
		    before, rollout_text(edge->rollout, reply->records[i].key));
	rollout_plans_set(edge->rollout, reply->records, reply->count,
	    edge->rollout_asked, edge_now(edge));
	plans_log(edge, reply, before);
	if (!plans_change(edge, reply->end))
		read_schedule(
		    edge, reply->count > 0 ? READ_PERIOD_MS : READ_RETRY_MS);
}

static void
timer_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge *edge = watcher->data;

	(void)loop;
	(void)events;
	edge->rollout_asked = edge_now(edge);
	edge->deps.store.ops->read(edge->deps.store.impl, &plans_partition,
	    STORE_TIMEOUT_MS, on_plans_read, edge);
}

void
edge_rollout_timeout_set(struct edge *edge, clk_ms timeout)
{
	rollout_stream_life_set(edge->rollout, LIFE_TIMEOUTS * timeout);
}

static void op_free(void *data);

void
edge_rollout_open(struct edge *edge)
{
	edge->rollout = rollout_open();
	edge->version_ops = g_hash_table_new_full(NULL, NULL, op_free, NULL);
	ev_timer_init(&edge->rollout_timer, timer_cb, 0.0, 0.0);
	edge->rollout_timer.data = edge;
	read_schedule(edge, 0);
}

void
edge_rollout_close(struct edge *edge)
{
	ev_timer_stop(edge->deps.loop, &edge->rollout_timer);
	g_hash_table_destroy(edge->version_ops);
	rollout_close(edge->rollout);
}

/* ---- Streams ---- */

/* A store call for a stream, with retries. */
struct edge_version_op {
	struct edge_call *call;
	char *key; /* of the stream's record */
	GByteArray *value; /* of the record; nil: it is read */
	char *version; /* that is recorded */
	clk_ms started;
	clk_ms backoff; /* before the next attempt */
	struct ev_timer timer;
};

static void op_start(struct edge_version_op *op);

/* Whether callers may go on with the stream at another upstream. */
static bool
is_bound(const struct edge_call *call)
{
	return (
	    call->route->kind == CATALOGUE_STREAM && call->route->resumable);
}

/* The request that began the stream; nil: it is not named. */
static const char *
stream_id(const struct edge_call *call)
{
	if (!call->request.is_resumed)
		return (call->request.id);
	return (call->request.resumes != NULL ? call->request.resumes
					      : edge_checkpoint_began(call));
}

/* What is the same for all requests of a stream and decides on its cohort. */
static const char *
stream_key(const struct edge_call *call)
{
	return (call->request.program != NULL ? call->request.program
					      : stream_id(call));
}

/* The id is the caller's, so the record's key has the organisation too. */
static char *
record_key(const struct edge_call *call)
{
	return (edge_scoped_id(call, stream_id(call), STORE_KEY_MAX));
}

static void
version_log(const struct edge_call *call, const char *outcome,
    const char *version, clk_ms waited)
{
	struct edge *edge = call->edge;
	char quoted[80];
	char began[80];

	lg_event(edge->deps.lg, LG_INFO, "stream_version",
	    "request=%s began=%s outcome=%s version=%s waited_ms=%" G_GINT64_FORMAT
	    " plan_age_ms=%" G_GINT64_FORMAT,
	    call->request.id,
	    lg_quote(began, sizeof(began),
		stream_id(call) != NULL ? stream_id(call) : "-"),
	    outcome,
	    lg_quote(quoted, sizeof(quoted), version != NULL ? version : "-"),
	    waited, rollout_age(edge->rollout, edge_now(edge)));
	cnt_add(cnt_counter(edge->deps.cnt, "stream_versions_total",
		    "Streams that were recorded or taken up, by outcome.",
		    "outcome", outcome),
	    1);
}

static void
op_free(void *data)
{
	struct edge_version_op *op = data;

	ev_timer_stop(op->call->edge->deps.loop, &op->timer);
	edge_call_unref(op->call);
	if (op->value != NULL)
		(void)g_byte_array_unref(op->value);
	g_free(op->key);
	g_free(op->version);
	g_free(op);
}

static void
op_end(struct edge_version_op *op)
{
	(void)g_hash_table_remove(op->call->edge->version_ops, op);
}

static struct edge_version_op *
op_new(struct edge_call *call)
{
	struct edge_version_op *op = g_new0(struct edge_version_op, 1);

	op->call = edge_call_ref(call);
	op->key = record_key(call);
	op->started = edge_now(call->edge);
	op->backoff = STORE_BACKOFF_MIN_MS;
	call->version_op = op;
	(void)g_hash_table_add(call->edge->version_ops, op);
	return (op);
}

static void
retry_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge_version_op *op = watcher->data;

	(void)loop;
	(void)events;
	if (op->call->version_op == op)
		op_start(op);
	else
		op_end(op);
}

/* Tries again, unless the time for it is over. */
static bool
op_retry(struct edge_version_op *op)
{
	struct edge *edge = op->call->edge;

	if (edge_now(edge) - op->started >= STORE_DEADLINE_MS)
		return (false);
	ev_timer_init(&op->timer, retry_cb,
	    (double)op->backoff / (double)CLK_SECOND, 0.0);
	op->backoff = MIN(2 * op->backoff, STORE_BACKOFF_MAX_MS);
	op->timer.data = op;
	ev_timer_start(edge->deps.loop, &op->timer);
	return (true);
}

void
edge_version_bind(struct edge_call *call, const char *version)
{
	g_free(call->version);
	call->version = g_strdup(version);
}

/*
 * The version at which the stream may begin as things stand, or nil; it can be
 * taken up only with a record if *is_wanted.
 */
static const char *
version_unrecorded(const struct edge_call *call, bool *is_wanted)
{
	*is_wanted = false;
	if (call->recorded != NULL)
		return (call->recorded);
	return (rollout_unrecorded(call->edge->rollout, call->service_name,
	    stream_key(call), edge_now(call->edge), is_wanted));
}

/* Whether records are put off, because the store is silent or refuses them. */
static bool
is_record_paused(const struct edge *edge)
{
	clk_ms now = edge_now(edge);

	return (now - edge->confirmed > STORE_SILENT_MS ||
	    (edge->record_failed > 0 &&
		now - edge->record_failed < RECORD_PAUSE_MS));
}

static void
on_recorded(struct edge_version_op *op, enum store_status status)
{
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;
	clk_ms waited = edge_now(edge) - op->started;
	bool is_wanted;
	const char *unrecorded = version_unrecorded(call, &is_wanted);

	if (status != STORE_OK)
		edge->record_failed = edge_now(edge);
	if (status == STORE_UNKNOWN)
		call->is_record_unknown = true;
	if (status == STORE_OK || g_strcmp0(unrecorded, op->version) == 0) {
		call->version_op = NULL;
		if (status == STORE_OK) {
			g_free(call->recorded);
			call->recorded = g_strdup(op->version);
		}
		/* An append without an answer may still take effect. */
		if (call->is_record_unknown)
			edge_version_bind(call, op->version);
		version_log(call,
		    status == STORE_OK ? "recorded" : "unrecorded", op->version,
		    waited);
		edge_throttle_acquire(call);
	} else if (call->is_record_unknown) {
		if (op_retry(op))
			return;
		version_log(call, "record_unknown", op->version, waited);
		edge_refuse_unless_run(call, edge_store_retry_after(edge),
		    "the stream's version can't be recorded now");
	} else {
		call->version_op = NULL;
		call->is_unrecordable = true;
		version_log(call, "record_refused", op->version, waited);
		edge_upstream_refused(call);
	}
	op_end(op);
}

/* Returns the version at which the stream began, or nil; *outcome says how. */
static char *
version_of_stream(const struct edge_call *call,
    const struct store_record *record, const char **outcome)
{
	const struct edge *edge = call->edge;
	struct rollout_stream stream;
	char *version = NULL;

	*outcome = "unknown";
	if (record == NULL) {
		version = g_strdup(rollout_began(edge->rollout,
		    call->service_name, stream_key(call), edge_now(edge)));
		if (version != NULL)
			*outcome = "planned";
		return (version);
	}
	if (!rollout_stream_decode(record, &stream))
		return (NULL);
	if (strcmp(stream.service, call->service_name) == 0) {
		version = g_strdup(stream.version);
		*outcome = "found";
	}
	rollout_stream_clear(&stream);
	return (version);
}

static void
refuse_unknown(struct edge_call *call)
{
	edge_refuse_not_run(call, VD_HISTORY_UNPROVEN,
	    edge_store_retry_after(call->edge),
	    "the version at which the stream began is not known now");
}

static void
on_found(struct edge_version_op *op, const struct store_reply *reply)
{
	struct edge_call *call = op->call;
	clk_ms waited = edge_now(call->edge) - op->started;
	g_autofree char *version = NULL;
	const char *outcome = "unread";

	if (reply->status != STORE_OK && op_retry(op))
		return;
	call->version_op = NULL;
	if (reply->status == STORE_OK)
		version = version_of_stream(
		    call, store_reply_find(reply, op->key), &outcome);
	version_log(call, outcome, version, waited);
	if (version != NULL) {
		edge_version_bind(call, version);
		edge_upstream_send(call);
	} else {
		refuse_unknown(call);
	}
	op_end(op);
}

static void
on_op_done(void *arg, const struct store_reply *reply)
{
	struct edge_version_op *op = arg;

	if (op->call->version_op != op)
		op_end(op);
	else if (op->value != NULL)
		on_recorded(op, reply->status);
	else
		on_found(op, reply);
}

static void
op_start(struct edge_version_op *op)
{
	const struct store *store = &op->call->edge->deps.store;
	const struct store_partition partition = {
	    STORE_STREAMS, store_stream_slot(op->key)};
	struct store_record record = {.key = op->key};

	if (op->value == NULL) {
		store->ops->read(
		    store->impl, &partition, STORE_TIMEOUT_MS, on_op_done, op);
		return;
	}
	record.value = op->value->data;
	record.len = op->value->len;
	store->ops->append(store->impl, &partition, STORE_ANY_END, &record, 1,
	    STORE_TIMEOUT_MS, on_op_done, op);
}

uint32_t
edge_version_draw(const struct edge_call *call)
{
	const char *key = is_bound(call) ? stream_key(call) : NULL;

	/* The cohort is taken from the other half of the hash. */
	return (key != NULL ? (uint32_t)(fnv_hash(key) >> 32)
			    : g_rand_int(call->edge->rand));
}

bool
edge_version_admit(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const char *unrecorded;
	bool is_wanted;

	if (!is_bound(call) || call->request.is_resumed ||
	    !is_record_paused(edge))
		return (true);
	unrecorded = version_unrecorded(call, &is_wanted);
	if (unrecorded != NULL &&
	    place_is_served(edge->deps.place, call->service_name, unrecorded))
		return (true);
	version_log(call, "record_paused", NULL, 0);
	edge_refuse_not_run(call, VD_NO_UPSTREAM,
	    (clk_ms)g_rand_int_range(
		edge->rand, RECORD_PAUSE_MS, 2 * RECORD_PAUSE_MS),
	    "the stream's version can't be recorded now");
	return (false);
}

void
edge_version_find(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const char *only;

	/* The store may have fallen silent since the turn was admitted. */
	if (call->turn != NULL &&
	    edge_outage_hold(call, NULL, edge_version_find))
		return;
	if (!is_bound(call) || !call->request.is_resumed) {
		edge_upstream_send(call);
		return;
	}
	if (stream_id(call) != NULL) {
		op_start(op_new(call));
		return;
	}
	only = rollout_only(edge->rollout, call->service_name, edge_now(edge));
	version_log(call, only != NULL ? "only" : "unnamed", only, 0);
	if (only != NULL) {
		edge_version_bind(call, only);
		edge_upstream_send(call);
	} else {
		refuse_unknown(call);
	}
}

bool
edge_version_request(
    const struct edge_call *call, struct place_request *request)
{
	const char *unrecorded;
	bool is_wanted;

	if (call->version != NULL || !is_bound(call)) {
		request->version = call->version;
		return (true);
	}
	unrecorded = version_unrecorded(call, &is_wanted);
	if (call->is_unrecordable) {
		request->version = unrecorded;
		return (unrecorded != NULL);
	}
	request->preferred_version = unrecorded;
	request->other_version_ms = is_record_paused(call->edge)
	    ? RECORD_PAUSED_COST_MS
	    : RECORD_COST_MS;
	return (true);
}

static bool
needs_record(const struct edge_call *call, const char *version)
{
	bool is_wanted;
	const char *unrecorded;

	/* A stream that goes on was recorded when it began, if at all. */
	if (!is_bound(call) || call->request.is_resumed || call->events > 0)
		return (false);
	unrecorded = version_unrecorded(call, &is_wanted);
	return (g_strcmp0(unrecorded, version) != 0 ||
	    (is_wanted && !call->is_unrecordable &&
		!is_record_paused(call->edge)));
}

void
edge_version_record(struct edge_call *call, const char *version)
{
	const struct rollout_stream stream = {
	    .service = (char *)call->service_name,
	    .version = (char *)version,
	    .recorded = (uint64_t)clk_wall_ms(),
	    .life = (uint64_t)(LIFE_TIMEOUTS * call->route->timeout),
	};
	g_autoptr(GByteArray) value = NULL;
	struct edge_version_op *op;

	if (!needs_record(call, version)) {
		edge_throttle_acquire(call);
		return;
	}
	value = rollout_stream_encode(&stream);
	if (value == NULL) {
		/* Names that are too long for a record. */
		call->is_unrecordable = true;
		edge_upstream_refused(call);
		return;
	}
	op = op_new(call);
	op->value = g_steal_pointer(&value);
	op->version = g_strdup(version);
	op_start(op);
}

bool
edge_version_cancel(struct edge_call *call)
{
	const struct edge_version_op *op = call->version_op;

	/* The call in progress ends without an effect on the request. */
	call->version_op = NULL;
	return (op != NULL && op->value != NULL);
}
