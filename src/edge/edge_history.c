/*
 * The history of a turn.  It is read from the store before the turn runs, and
 * the records of it that would expire before the turn does are rewritten while
 * it runs.  The turn itself is recorded before the end of its response is
 * sent, so that every turn that a caller received completely survives, with
 * its history, a power loss of all instances.
 */
#include <string.h>

#include "edge/edge_internal.h"

/* A read or append that is not answered in this time is retried. */
#define STORE_TIMEOUT_MS 400
/* Exponential backoff between attempts. */
#define STORE_BACKOFF_MIN_MS 40
#define STORE_BACKOFF_MAX_MS 320
/* A turn whose history can't be read in this time is refused. */
#define READ_DEADLINE_MS 1200
/* A stream whose turn can't be recorded is aborted before its caller leaves. */
#define RECORD_MARGIN_MS 200
/* Bytes of a record in an append beside its key and value. */
#define RECORD_OVERHEAD 5

struct history_op;

/* Start, or start again, the store call of an operation. */
typedef void history_op_start(struct history_op *op);

/* A store call with retries: reads a turn of the chain, or writes one. */
struct history_op {
	struct edge_call *call;
	history_op_start *start;
	char *id; /* turn to read or renew; nil: record the call's turn */
	unsigned round; /* of the call's reads */
	GPtrArray *records; /* struct turn_record, to append */
	guint appended; /* of these, so far */
	guint appending;
	clk_ms recorded; /* time of day in these records */
	clk_ms retention; /* that they state */
	clk_ms started;
	clk_ms backoff; /* before the next attempt */
	struct ev_timer timer;
};

static history_op_start read_turn;
static history_op_start renew_turn;
static history_op_start record_turn;

static void
op_free(void *data)
{
	struct history_op *op = data;

	ev_timer_stop(op->call->edge->deps.loop, &op->timer);
	edge_call_unref(op->call);
	if (op->records != NULL)
		g_ptr_array_unref(op->records);
	g_free(op->id);
	g_free(op);
}

static void
history_op_free(struct history_op *op)
{
	(void)g_hash_table_remove(op->call->edge->history_ops, op);
}

void
edge_history_open(struct edge *edge)
{
	edge->history_ops = g_hash_table_new_full(NULL, NULL, op_free, NULL);
}

void
edge_history_close(struct edge *edge)
{
	g_hash_table_destroy(edge->history_ops);
}

static void
retry_cb(struct ev_loop *loop, struct ev_timer *watcher, int events);

static struct history_op *
history_op_new(struct edge_call *call, history_op_start *start, const char *id)
{
	struct history_op *op = g_new0(struct history_op, 1);

	op->call = edge_call_ref(call);
	op->start = start;
	op->id = g_strdup(id);
	op->round = call->wait.round;
	op->started = edge_now(call->edge);
	op->backoff = STORE_BACKOFF_MIN_MS;
	ev_timer_init(&op->timer, retry_cb, 0.0, 0.0);
	op->timer.data = op;
	(void)g_hash_table_add(call->edge->history_ops, op);
	return (op);
}

static void
retry_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct history_op *op = watcher->data;

	(void)loop;
	(void)events;
	op->start(op);
}

static void
history_op_retry(struct history_op *op)
{
	ev_timer_set(&op->timer, (double)op->backoff / 1000.0, 0.0);
	op->backoff = MIN(2 * op->backoff, STORE_BACKOFF_MAX_MS);
	ev_timer_start(op->call->edge->deps.loop, &op->timer);
}

/*
 * The ancestors of a turn have to be kept as long as the turn itself: rewrite
 * the record of one that would expire earlier.
 */
static void
renew_if_needed(struct edge_call *call, const struct turn *turn)
{
	clk_ms wall = clk_wall_ms();
	clk_ms left = call->deadline - edge_now(call->edge);
	struct history_op *op;
	struct turn again;

	/* The turn ends at its deadline at the latest. */
	if (!turn_needs_renewal(turn, call->route->retention, wall + left))
		return;
	again = *turn;
	again.recorded = wall;
	again.retention = MAX(turn->retention, call->route->retention);
	op = history_op_new(call, renew_turn, turn->id);
	op->records = turn_split(&again, call->edge->deps.store.record_max);
	op->recorded = wall;
	op->retention = again.retention;
	call->renewals++;
	renew_turn(op);
}

/*
 * Find a turn of the chain.  What was read for the request is kept apart from
 * the cache, which may be too small for the chain.
 */
static const struct turn *
turn_find(struct edge_call *call, const char *id)
{
	for (guint i = 0; call->turns_read != NULL && i < call->turns_read->len;
	     i++) {
		const struct turn *turn = call->turns_read->pdata[i];

		if (strcmp(turn->id, id) == 0)
			return (turn);
	}
	return (turn_cache_get(call->edge->turns, id, edge_now(call->edge)));
}

/*
 * Assemble the history from the cache.  Reads missing turns first; continues
 * with the budget when all turns of the chain are found.
 */
static void
history_assemble(struct edge_call *call)
{
	const struct turn *previous = turn_find(call, call->previous_turn);
	g_autoptr(GPtrArray) chain = g_ptr_array_new();

	if (previous == NULL) {
		call->turns_missing = 1;
		read_turn(history_op_new(call, read_turn, call->previous_turn));
		return;
	}
	if (strcmp(previous->organisation, call->turn->organisation) != 0) {
		edge_refuse_not_run(
		    call, VD_UNKNOWN_PROGRAM, 0, "no such turn");
		return;
	}
	for (guint i = 0; i < previous->ancestors->len; i++) {
		const char *id = previous->ancestors->pdata[i];
		const struct turn *turn = turn_find(call, id);

		if (turn != NULL) {
			g_ptr_array_add(chain, (void *)turn);
			continue;
		}
		call->turns_missing++;
		read_turn(history_op_new(call, read_turn, id));
	}
	if (call->turns_missing > 0)
		return;
	g_ptr_array_add(chain, (void *)previous);
	call->history = g_byte_array_new();
	for (guint i = 0; i < chain->len; i++) {
		const struct turn *turn = chain->pdata[i];

		(void)g_byte_array_append(
		    call->history, turn->input->data, turn->input->len);
		(void)g_byte_array_append(
		    call->history, turn->output->data, turn->output->len);
		g_ptr_array_add(call->turn->ancestors, g_strdup(turn->id));
		renew_if_needed(call, turn);
	}
	if (call->turns_read != NULL)
		g_ptr_array_unref(call->turns_read);
	call->turns_read = NULL;
	edge_budget_acquire(call);
}

static history_op_start read_checkpoint;

/* Read the history, or what is still missing of it. */
static void
history_begin(struct edge_call *call)
{
	const char *slot = edge_checkpoint_slot(call);

	call->wait.round++;
	call->turns_missing = 0;
	if (slot != NULL)
		read_checkpoint(history_op_new(call, read_checkpoint, slot));
	else if (call->previous_turn == NULL)
		edge_budget_acquire(call);
	else
		history_assemble(call);
}

/* A read has failed: wait for the store, try again, or refuse the request. */
static void
read_failed(struct history_op *op)
{
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;
	const struct store_partition partition = {
	    STORE_TURNS, store_slot(op->id)};

	/* Reads that are in progress belong to an earlier round. */
	if (edge_outage_hold(call, &partition, history_begin)) {
		call->wait.round++;
		history_op_free(op);
		return;
	}
	if (edge_now(edge) - op->started < READ_DEADLINE_MS &&
	    !edge_is_worse_off(edge)) {
		history_op_retry(op);
		return;
	}
	edge_refuse_not_run(call, VD_HISTORY_UNPROVEN,
	    edge_store_retry_after(edge),
	    "the program's history can't be read now");
	history_op_free(op);
}

/* Returns false if the operation has ended, or is tried again. */
static bool
read_succeeded(struct history_op *op, const struct store_reply *reply)
{
	const struct edge_call *call = op->call;

	if (call->client == NULL || op->round != call->wait.round) {
		history_op_free(op);
		return (false);
	}
	if (reply->status != STORE_OK) {
		read_failed(op);
		return (false);
	}
	return (true);
}

static void
on_turn_read(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);
	struct turn *turn;

	if (!read_succeeded(op, reply))
		return;
	turn = turn_join(op->id, reply);
	if (turn != NULL) {
		if (call->turns_read == NULL)
			call->turns_read = g_ptr_array_new_with_free_func(
			    (GDestroyNotify)turn_unref);
		g_ptr_array_add(call->turns_read, turn_ref(turn));
		turn_cache_put(edge->turns, turn, now);
		if (--call->turns_missing == 0)
			history_assemble(call);
	} else {
		lg_event(edge->deps.lg, LG_WARNING, "turn_missing",
		    "request=%s turn=%s found=%d end=%" G_GINT64_FORMAT,
		    call->request.id, op->id,
		    store_reply_find(reply, op->id) != NULL, reply->end);
		/* An unreadable record may be one of that turn. */
		if (strcmp(op->id, call->previous_turn) == 0 &&
		    store_reply_find(reply, op->id) == NULL)
			edge_refuse_not_run(
			    call, VD_UNKNOWN_PROGRAM, 0, "no such turn");
		else
			edge_refuse_not_run(call, VD_HISTORY_UNPROVEN,
			    edge_store_retry_after(edge),
			    "a part of the program's history is missing");
	}
	history_op_free(op);
}

/* Read the slot of the operation's id. */
static void
slot_read(struct history_op *op, store_done_cb *done)
{
	struct store *store = &op->call->edge->deps.store;
	const struct store_partition partition = {
	    STORE_TURNS, store_slot(op->id)};

	if (op->call->client == NULL || op->round != op->call->wait.round) {
		history_op_free(op);
		return;
	}
	store->ops->read(store->impl, &partition, STORE_TIMEOUT_MS, done, op);
}

static void
read_turn(struct history_op *op)
{
	slot_read(op, on_turn_read);
}

static void
on_checkpoint_read(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge_call *call = op->call;

	if (!read_succeeded(op, reply))
		return;
	if (edge_checkpoint_take(call, reply)) {
		history_begin(call);
	} else {
		lg_event(call->edge->deps.lg, LG_WARNING, "checkpoint_missing",
		    "request=%s end=%" G_GINT64_FORMAT, call->request.id,
		    reply->end);
		edge_refuse_not_run(call, VD_HISTORY_UNPROVEN, 0,
		    "the events before this one are not known");
	}
	history_op_free(op);
}

static void
read_checkpoint(struct history_op *op)
{
	slot_read(op, on_checkpoint_read);
}

void
edge_history_load(struct edge_call *call)
{
	const GByteArray *input = hsv_body(call->client);
	struct store_partition needed = {STORE_TURNS, 0};
	const char *slot;

	if (!call->route->stateful) {
		edge_budget_acquire(call);
		return;
	}
	call->turn = turn_new(call->turn_id,
	    call->organisation != NULL ? call->organisation->name : "");
	(void)g_byte_array_append(call->turn->input, input->data, input->len);
	edge_copies_count(call);
	edge_checkpoint_begin(call);
	slot = edge_checkpoint_slot(call);
	if (slot == NULL && call->previous_turn != NULL &&
	    turn_find(call, call->previous_turn) == NULL)
		slot = call->previous_turn;
	if (slot != NULL)
		needed.slot = store_slot(slot);
	if (!edge_outage_hold(
		call, slot != NULL ? &needed : NULL, history_begin))
		history_begin(call);
}

/* The longest time for which a turn's end waits for its record. */
static clk_ms
record_deadline(const struct edge_call *call)
{
	return (edge_caller_gap(call->route) - RECORD_MARGIN_MS);
}

static void
finish_stream(struct edge_call *call)
{
	struct hsv_call *client = call->client;

	if (client == NULL)
		return;
	edge_call_end(call, "served", 200);
	hsv_stream_end(client);
}

void
edge_turn_finish(struct edge_call *call)
{
	if (call->record_since > 0 && call->turn == NULL &&
	    call->renewals == 0 && edge_checkpoint_bytes(call) == 0)
		finish_stream(call);
}

/*
 * Try again, as long as the caller may wait for the end of the turn.  Frees
 * the operation otherwise.
 */
static void
write_retry(struct history_op *op)
{
	struct edge_call *call = op->call;
	struct hsv_call *client = call->client;

	if (call->record_since == 0 ||
	    edge_now(call->edge) - call->record_since < record_deadline(call)) {
		history_op_retry(op);
		return;
	}
	edge_call_end(call, "turn_not_recorded", 0);
	hsv_abort(client);
	history_op_free(op);
}

guint
edge_records_append(struct edge *edge, const char *id, const GPtrArray *records,
    guint from, clk_ms timeout, store_done_cb *done, void *arg)
{
	const struct store *store = &edge->deps.store;
	const struct store_partition partition = {STORE_TURNS, store_slot(id)};
	g_autoptr(GArray) batch =
	    g_array_new(FALSE, FALSE, sizeof(struct store_record));
	size_t bytes = 0;

	for (guint i = from; i < records->len; i++) {
		const struct turn_record *record = records->pdata[i];
		const struct store_record next = {
		    record->key, record->value->data, record->value->len};

		bytes += RECORD_OVERHEAD + strlen(next.key) + next.len;
		if (batch->len > 0 && store->append_max > 0 &&
		    bytes > store->append_max)
			break;
		g_array_append_val(batch, next);
	}
	store->ops->append(store->impl, &partition, STORE_ANY_END,
	    (const struct store_record *)(void *)batch->data, batch->len,
	    timeout, done, arg);
	return (batch->len);
}

/*
 * Append the next records of the operation.  Idempotent: a retry appends the
 * same keys and values.
 */
static void
records_append(struct history_op *op, const char *id, store_done_cb *done)
{
	op->appending = edge_records_append(op->call->edge, id, op->records,
	    op->appended, STORE_TIMEOUT_MS, done, op);
}

/* Count what was appended; returns whether it was the last of the records. */
static bool
records_appended(struct history_op *op)
{
	op->appended += op->appending;
	return (op->appended == op->records->len);
}

static void
on_renewed(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;

	bool is_done = reply->status == STORE_OK && records_appended(op);

	if (is_done)
		turn_cache_renewed(
		    edge->turns, op->id, op->recorded, op->retention);
	if (call->client == NULL) {
		history_op_free(op);
		return;
	}
	if (reply->status == STORE_OK && !is_done) {
		renew_turn(op);
		return;
	}
	if (reply->status != STORE_OK) {
		lg_event(edge->deps.lg, LG_WARNING, "turn_not_renewed",
		    "request=%s turn=%s status=%d waited_ms=%" G_GINT64_FORMAT,
		    call->request.id, op->id, reply->status,
		    edge_now(edge) - op->started);
		write_retry(op);
		return;
	}
	call->renewals--;
	edge_turn_finish(call);
	history_op_free(op);
}

static void
renew_turn(struct history_op *op)
{
	if (op->call->client == NULL)
		history_op_free(op);
	else
		records_append(op, op->id, on_renewed);
}

static void
on_turn_recorded(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;

	if (call->client == NULL) {
		history_op_free(op);
	} else if (reply->status != STORE_OK) {
		write_retry(op);
	} else if (!records_appended(op)) {
		record_turn(op);
	} else {
		turn_cache_put(edge->turns, call->turn, edge_now(edge));
		call->turn = NULL;
		edge_turn_finish(call);
		history_op_free(op);
	}
}

static void
record_turn(struct history_op *op)
{
	struct edge_call *call = op->call;

	if (call->client == NULL)
		history_op_free(op);
	else
		records_append(op, call->turn->id, on_turn_recorded);
}

void
edge_turn_record(struct edge_call *call)
{
	struct history_op *op;

	if (call->turn == NULL) {
		finish_stream(call);
		return;
	}
	call->record_since = edge_now(call->edge);
	call->turn->recorded = clk_wall_ms();
	call->turn->retention = call->route->retention;
	op = history_op_new(call, record_turn, NULL);
	op->records = turn_split(call->turn, call->edge->deps.store.record_max);
	record_turn(op);
}
