/*
 * Checkpoints of streams that callers may take up and whose turns are kept.
 * An event is recorded before its caller gets it, so that the turn that goes
 * on after it, at any instance, has the whole output.  If the store is slow
 * later on, events don't wait; then the stream can't be taken up.
 */
#include <string.h>

#include "edge/edge_internal.h"
#include "turn/checkpoint.h"

/* After the first record, events wait for theirs for this time at most. */
#define HOLD_MS 100
/* Other records that are not answered in this time are retried. */
#define STORE_TIMEOUT_MS 400
/* Time before the first record is tried again. */
#define RETRY_MS 50
/* Records are kept for this time, or twice the route's timeout if longer. */
#define LIFE_MIN_MS   (120 * CLK_SECOND)
#define LIFE_TIMEOUTS 2

struct edge_checkpoint {
	char *stream; /* its key */
	char *began; /* id of the request that began it; nil: not known */
	uint32_t generation;
	GPtrArray *events; /* struct checkpoint_event, not recorded yet */
	unsigned first; /* place of the first of these in the stream */
	unsigned number; /* of the next record */
	GByteArray *held; /* events that wait for their record */
	struct ev_timer retry; /* of the first record */
	bool is_taken; /* the events before the request's are known */
	bool is_appending;
	bool is_claimed; /* a record of this run is acknowledged */
	bool is_behind; /* the last append failed: events don't wait */
	bool is_given_up; /* the rest of the stream can't be recorded */
};

/* An append of records with the first events that are not recorded. */
struct checkpoint_op {
	struct edge_call *call;
	GPtrArray *records;
	guint appended; /* of these, so far */
	guint appending;
	guint events; /* in them */
	guint held; /* bytes that wait for them */
};

static void append_start(struct edge_call *call);

static void
retry_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	append_start(watcher->data);
}

static char *
stream_key(const struct edge_call *call)
{
	const GByteArray *body = hsv_body(call->client);
	const char *texts[] = {
	    call->organisation != NULL ? call->organisation->name : "",
	    hsv_head(call->client)->target->str,
	    call->program != NULL ? call->program : "",
	    call->previous_turn != NULL ? call->previous_turn : "",
	};
	GBytes *parts[G_N_ELEMENTS(texts) + 1];
	char *key;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		parts[i] = g_bytes_new_static(texts[i], strlen(texts[i]));
	parts[G_N_ELEMENTS(texts)] = g_bytes_new_static(body->data, body->len);
	key = checkpoint_stream_key(
	    (const GBytes *const *)parts, G_N_ELEMENTS(parts));
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		g_bytes_unref(parts[i]);
	return (key);
}

void
edge_checkpoint_begin(struct edge_call *call)
{
	struct edge_checkpoint *checkpoint;

	if (!call->route->resumable && !call->request.is_resumed)
		return;
	checkpoint = g_new0(struct edge_checkpoint, 1);
	checkpoint->stream = stream_key(call);
	checkpoint->events =
	    g_ptr_array_new_with_free_func(checkpoint_event_free);
	checkpoint->held = g_byte_array_new();
	ev_timer_init(&checkpoint->retry, retry_cb,
	    (double)RETRY_MS / (double)CLK_SECOND, 0.0);
	checkpoint->retry.data = call;
	if (!call->request.is_resumed)
		checkpoint->began = g_strdup(call->request.id);
	call->checkpoint = checkpoint;
}

void
edge_checkpoint_free(struct edge_call *call)
{
	struct edge_checkpoint *checkpoint = call->checkpoint;

	if (checkpoint == NULL)
		return;
	ev_timer_stop(call->edge->deps.loop, &checkpoint->retry);
	g_ptr_array_unref(checkpoint->events);
	(void)g_byte_array_unref(checkpoint->held);
	g_free(checkpoint->stream);
	g_free(checkpoint->began);
	g_free(checkpoint);
}

const char *
edge_checkpoint_slot(const struct edge_call *call)
{
	return (call->checkpoint != NULL && call->request.is_resumed &&
		    !call->checkpoint->is_taken
		? call->checkpoint->stream
		: NULL);
}

const char *
edge_checkpoint_began(const struct edge_call *call)
{
	return (call->checkpoint != NULL ? call->checkpoint->began : NULL);
}

bool
edge_checkpoint_take(struct edge_call *call, const struct store_reply *reply)
{
	struct edge_checkpoint *checkpoint = call->checkpoint;
	struct checkpoint_run run;
	GPtrArray *events = checkpoint_find(reply, checkpoint->stream,
	    call->request.resumes, call->request.resume_after, &run);

	if (events == NULL)
		return (false);
	checkpoint->began = run.began;
	checkpoint->generation = run.generation;
	for (guint i = 0; i < events->len; i++) {
		const struct checkpoint_event *event = events->pdata[i];

		(void)g_byte_array_append(call->turn->output,
		    (const guint8 *)event->data, event->len);
	}
	/* They are recorded once more, with this run's first event. */
	g_ptr_array_unref(checkpoint->events);
	checkpoint->events = events;
	checkpoint->is_taken = true;
	return (true);
}

size_t
edge_checkpoint_bytes(const struct edge_call *call)
{
	return (call->checkpoint != NULL ? call->checkpoint->held->len : 0);
}

/* Send the first bytes of the events that wait. */
static void
held_send(struct edge_call *call, guint len)
{
	GByteArray *held = call->checkpoint->held;
	g_autofree guint8 *data = g_memdup2(held->data, len);

	if (len == 0 || call->client == NULL)
		return;
	(void)g_byte_array_remove_range(held, 0, len);
	hsv_stream_data(call->client, data, len);
}

static void
held_flush(struct edge_call *call)
{
	held_send(call, call->checkpoint->held->len);
}

static void
op_free(void *data)
{
	struct checkpoint_op *op = data;

	edge_call_unref(op->call);
	g_ptr_array_unref(op->records);
	g_free(op);
}

static void
op_end(struct checkpoint_op *op)
{
	(void)g_hash_table_remove(op->call->edge->checkpoint_ops, op);
}

void
edge_checkpoint_open(struct edge *edge)
{
	edge->checkpoint_ops = g_hash_table_new_full(NULL, NULL, op_free, NULL);
}

void
edge_checkpoint_close(struct edge *edge)
{
	g_hash_table_destroy(edge->checkpoint_ops);
}

/* The rest of the stream is sent without records: it can't be taken up. */
static void
give_up(struct edge_call *call, const char *why)
{
	struct edge *edge = call->edge;

	call->checkpoint->is_given_up = true;
	g_ptr_array_set_size(call->checkpoint->events, 0);
	lg_event(edge->deps.lg, LG_WARNING, "checkpoint_given_up",
	    "request=%s why=%s events=%" G_GINT64_FORMAT, call->request.id, why,
	    call->events);
	cnt_add(cnt_counter(edge->deps.cnt, "checkpoints_given_up_total",
		    "Streams that can't be taken up, by reason.", "why", why),
	    1);
}

/* What there is to record: also that the run has begun. */
static bool
is_append_due(const struct edge_checkpoint *checkpoint)
{
	return (!checkpoint->is_appending &&
	    (!checkpoint->is_claimed ||
		(!checkpoint->is_given_up && checkpoint->events->len > 0)));
}

static void
append_failed(struct edge_call *call, enum store_status status)
{
	struct edge_checkpoint *checkpoint = call->checkpoint;

	lg_event(call->edge->deps.lg, LG_INFO, "checkpoint_failed",
	    "request=%s status=%d first=%u claimed=%d", call->request.id,
	    status, checkpoint->first, checkpoint->is_claimed);
	if (!checkpoint->is_claimed) {
		ev_timer_start(call->edge->deps.loop, &checkpoint->retry);
		return;
	}
	checkpoint->is_behind = true;
	held_flush(call);
}

static void
on_appended(void *arg, const struct store_reply *reply)
{
	struct checkpoint_op *op = arg;
	struct edge_call *call = op->call;
	struct edge_checkpoint *checkpoint = call->checkpoint;

	if (call->client == NULL) {
		op_end(op);
		return;
	}
	op->appended += op->appending;
	if (reply->status == STORE_OK && op->appended < op->records->len) {
		op->appending = edge_records_append(call->edge,
		    checkpoint->stream, op->records, op->appended,
		    STORE_TIMEOUT_MS, on_appended, op);
		return;
	}
	checkpoint->is_appending = false;
	if (reply->status != STORE_OK) {
		append_failed(call, reply->status);
	} else {
		checkpoint->is_claimed = true;
		checkpoint->is_behind = false;
		g_ptr_array_remove_range(checkpoint->events, 0,
		    MIN(op->events, checkpoint->events->len));
		checkpoint->first += op->events;
		held_send(call,
		    checkpoint->is_given_up ? checkpoint->held->len : op->held);
	}
	if (call->client != NULL && !ev_is_active(&checkpoint->retry) &&
	    is_append_due(checkpoint))
		append_start(call);
	edge_turn_finish(call);
	op_end(op);
}

/*
 * Record the events that are not recorded yet.  Each append has keys of its
 * own, because one that had no answer may take effect after a later one.
 */
static void
append_start(struct edge_call *call)
{
	struct edge_checkpoint *checkpoint = call->checkpoint;
	const char *id = call->request.id;
	const struct checkpoint_run run = {
	    .id = (char *)id,
	    .began = checkpoint->began != NULL ? checkpoint->began : (char *)id,
	    .generation = checkpoint->generation,
	    .recorded = (uint64_t)clk_wall_ms(),
	    .life = (uint64_t)MAX(
		LIFE_TIMEOUTS * call->route->timeout, LIFE_MIN_MS),
	};
	size_t record_max = call->edge->deps.store.record_max;
	GPtrArray *records =
	    checkpoint_split(checkpoint->stream, &run, checkpoint->number,
		checkpoint->first, checkpoint->events, record_max);
	struct checkpoint_op *op;

	if (records == NULL) {
		give_up(call, "too_large");
		if (checkpoint->is_claimed) {
			held_flush(call);
			return;
		}
		records = checkpoint_split(checkpoint->stream, &run,
		    checkpoint->number, checkpoint->first, checkpoint->events,
		    0);
	}
	op = g_new0(struct checkpoint_op, 1);
	op->call = edge_call_ref(call);
	op->records = records;
	op->events = checkpoint->events->len;
	op->held = checkpoint->held->len;
	(void)g_hash_table_add(call->edge->checkpoint_ops, op);
	checkpoint->number += records->len;
	checkpoint->is_appending = true;
	op->appending = edge_records_append(call->edge, checkpoint->stream,
	    records, 0,
	    checkpoint->is_claimed && !checkpoint->is_behind ? HOLD_MS
							     : STORE_TIMEOUT_MS,
	    on_appended, op);
}

/* Note an event for the next record; returns false if it has no id. */
static bool
event_note(struct edge_checkpoint *checkpoint, const char *event, size_t len)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	size_t id_len;
	const char *id = sse_id_find(event, len, &id_len);

	if (id == NULL)
		return (false);
	sse_data_append(data, event, len);
	g_ptr_array_add(checkpoint->events,
	    checkpoint_event_new(id, id_len, data->data, data->len));
	return (true);
}

void
edge_event_send(struct edge_call *call, const char *event, size_t len)
{
	struct edge_checkpoint *checkpoint = call->checkpoint;

	if (checkpoint == NULL) {
		hsv_stream_data(call->client, event, len);
		return;
	}
	if (!checkpoint->is_given_up && !event_note(checkpoint, event, len))
		give_up(call, "no_id");
	(void)g_byte_array_append(
	    checkpoint->held, (const guint8 *)event, (guint)len);
	if (checkpoint->is_claimed &&
	    (checkpoint->is_given_up || checkpoint->is_behind))
		held_flush(call);
	if (call->client != NULL && !ev_is_active(&checkpoint->retry) &&
	    is_append_due(checkpoint))
		append_start(call);
}
