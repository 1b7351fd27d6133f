/*
 * The history of a turn.  It is read from the store before the turn runs.
 * The turn itself is recorded before the end of its response is sent, so that
 * every turn that a caller received completely survives a power loss of all
 * instances.
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
/*
 * A stream whose turn can't be recorded is aborted before its caller abandons
 * it: callers do after a gap of 2 s, or of a multiple of the first event's
 * objective or of the longest pause between events, whichever is longest.
 */
#define CALLER_GAP_MS	      2000
#define CALLER_GAP_OBJECTIVES 4
#define CALLER_GAP_PAUSES     8
#define RECORD_MARGIN_MS      200

/* A store call with retries: reads a turn of the chain, or writes one. */
struct history_op {
	struct edge_call *call;
	char *id; /* turn to read or renew; nil: record the call's turn */
	clk_ms started;
	clk_ms backoff; /* before the next attempt */
	struct ev_timer timer;
};

static void read_turn(struct history_op *op);
static void record_turn(struct history_op *op);

static void
history_op_free(struct history_op *op)
{
	edge_call_unref(op->call);
	g_free(op->id);
	g_free(op);
}

static struct history_op *
history_op_new(struct edge_call *call, const char *id)
{
	struct history_op *op = g_new0(struct history_op, 1);

	op->call = edge_call_ref(call);
	op->id = g_strdup(id);
	op->started = edge_now(call->edge);
	op->backoff = STORE_BACKOFF_MIN_MS;
	return (op);
}

static void
retry_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct history_op *op = watcher->data;

	(void)loop;
	(void)events;
	if (op->id != NULL)
		read_turn(op);
	else
		record_turn(op);
}

static void
history_op_retry(struct history_op *op)
{
	ev_timer_init(&op->timer, retry_cb, (double)op->backoff / 1000.0, 0.0);
	op->backoff = MIN(2 * op->backoff, STORE_BACKOFF_MAX_MS);
	op->timer.data = op;
	ev_timer_start(op->call->edge->deps.loop, &op->timer);
}

/*
 * Assemble the history from the cache.  Reads missing turns first; continues
 * with the budget when all turns of the chain are cached.
 */
static void
history_assemble(struct edge_call *call)
{
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);
	const struct turn *previous =
	    turn_cache_get(edge->turns, call->request.previous_turn, now);
	g_autoptr(GPtrArray) chain = g_ptr_array_new();

	if (previous == NULL) {
		call->turns_missing = 1;
		read_turn(history_op_new(call, call->request.previous_turn));
		return;
	}
	if (call->organisation != NULL &&
	    strcmp(previous->organisation, call->organisation->name) != 0) {
		edge_refuse_not_run(
		    call, VD_UNKNOWN_PROGRAM, 0, "no such turn");
		return;
	}
	for (guint i = 0; i < previous->ancestors->len; i++) {
		const char *id = previous->ancestors->pdata[i];
		const struct turn *turn = turn_cache_get(edge->turns, id, now);

		if (turn != NULL) {
			g_ptr_array_add(chain, (void *)turn);
			continue;
		}
		call->turns_missing++;
		read_turn(history_op_new(call, id));
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
	}
	edge_budget_acquire(call);
}

static void
on_turn_read(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);
	const struct store_record *record;
	struct turn *turn;

	if (call->client == NULL) {
		history_op_free(op);
		return;
	}
	if (reply->status != STORE_OK) {
		if (now - op->started < READ_DEADLINE_MS &&
		    !edge_is_worse_off(edge)) {
			history_op_retry(op);
			return;
		}
		edge_refuse_not_run(call, VD_HISTORY_UNPROVEN,
		    edge_store_retry_after(edge),
		    "the program's history can't be read now");
		history_op_free(op);
		return;
	}
	record = store_reply_find(reply, op->id);
	turn = record != NULL ? turn_decode(op->id, record) : NULL;
	if (turn != NULL) {
		turn_cache_put(edge->turns, turn, now);
		if (--call->turns_missing == 0)
			history_assemble(call);
	} else {
		lg_event(edge->deps.lg, LG_WARNING, "turn_missing",
		    "request=%s turn=%s found=%d end=%" G_GINT64_FORMAT,
		    call->request.id, op->id, record != NULL, reply->end);
		if (strcmp(op->id, call->request.previous_turn) == 0)
			edge_refuse_not_run(
			    call, VD_UNKNOWN_PROGRAM, 0, "no such turn");
		else
			edge_refuse_not_run(call, VD_HISTORY_UNPROVEN,
			    edge_store_retry_after(edge),
			    "a part of the program's history is missing");
	}
	history_op_free(op);
}

static void
read_turn(struct history_op *op)
{
	struct store *store = &op->call->edge->deps.store;
	const struct store_partition partition = {
	    STORE_TURNS, store_slot(op->id)};

	store->ops->read(
	    store->impl, &partition, STORE_TIMEOUT_MS, on_turn_read, op);
}

void
edge_history_load(struct edge_call *call)
{
	const GByteArray *input = hsv_body(call->client);

	if (!call->route->stateful) {
		edge_budget_acquire(call);
		return;
	}
	if (edge_is_worse_off(call->edge)) {
		edge_refuse_not_run(call, VD_HISTORY_UNPROVEN,
		    edge_store_retry_after(call->edge),
		    "the turn can't be recorded here now");
		return;
	}
	call->turn = turn_new(call->request.id,
	    call->organisation != NULL ? call->organisation->name : "");
	(void)g_byte_array_append(call->turn->input, input->data, input->len);
	if (call->request.previous_turn == NULL)
		edge_budget_acquire(call);
	else
		history_assemble(call);
}

static void
on_renewed(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge *edge = op->call->edge;

	if (reply->status == STORE_OK)
		turn_cache_renewed(edge->turns, op->id, clk_wall_ms());
	else
		/* The next turn of the chain retries. */
		lg_event(edge->deps.lg, LG_WARNING, "turn_not_renewed",
		    "turn=%s status=%d", op->id, reply->status);
	history_op_free(op);
}

/*
 * The ancestors of a turn have to be kept as long as the turn itself: rewrite
 * those whose records would expire earlier.
 */
static void
renew_ancestors(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const struct store *store = &edge->deps.store;
	const GPtrArray *ancestors = call->turn->ancestors;
	clk_ms wall = clk_wall_ms();

	for (guint i = 0; i < ancestors->len; i++) {
		const char *id = ancestors->pdata[i];
		const struct turn *turn =
		    turn_cache_get(edge->turns, id, edge_now(edge));
		const struct store_partition partition = {
		    STORE_TURNS, store_slot(id)};
		g_autoptr(GByteArray) value = NULL;
		struct store_record record;
		struct turn again;

		if (turn == NULL ||
		    !turn_needs_renewal(turn, call->route->retention, wall))
			continue;
		again = *turn;
		again.recorded = wall;
		value = turn_encode(&again);
		record = (struct store_record){id, value->data, value->len};
		store->ops->append(store->impl, &partition, STORE_ANY_END,
		    &record, 1, STORE_TIMEOUT_MS, on_renewed,
		    history_op_new(call, id));
	}
}

/* The longest time for which a turn's end waits for its record. */
static clk_ms
record_deadline(const struct edge_call *call)
{
	clk_ms objective = CALLER_GAP_OBJECTIVES * call->route->target_latency;
	clk_ms pauses = CALLER_GAP_PAUSES * call->route->target_gap;

	return (MAX(CALLER_GAP_MS, MAX(objective, pauses)) - RECORD_MARGIN_MS);
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

static void
on_turn_recorded(void *arg, const struct store_reply *reply)
{
	struct history_op *op = arg;
	struct edge_call *call = op->call;
	struct edge *edge = call->edge;
	struct hsv_call *client = call->client;
	clk_ms now = edge_now(edge);

	if (client == NULL) {
		history_op_free(op);
		return;
	}
	if (reply->status == STORE_OK) {
		turn_cache_put(edge->turns, call->turn, now);
		call->turn = NULL;
		finish_stream(call);
	} else if (now - call->record_since < record_deadline(call)) {
		history_op_retry(op);
		return;
	} else {
		edge_call_end(call, "turn_not_recorded", 0);
		hsv_abort(client);
	}
	history_op_free(op);
}

static void
record_turn(struct history_op *op)
{
	struct edge_call *call = op->call;
	struct store *store = &call->edge->deps.store;
	g_autoptr(GByteArray) value = NULL;
	struct store_partition partition;
	struct store_record record;

	if (call->client == NULL) {
		history_op_free(op);
		return;
	}
	call->turn->recorded = clk_wall_ms();
	value = turn_encode(call->turn);
	partition =
	    (struct store_partition){STORE_TURNS, store_slot(call->turn->id)};
	record = (struct store_record){call->turn->id, value->data, value->len};
	/* Idempotent: a retry appends the same key and value. */
	store->ops->append(store->impl, &partition, STORE_ANY_END, &record, 1,
	    STORE_TIMEOUT_MS, on_turn_recorded, op);
}

void
edge_turn_record(struct edge_call *call)
{
	if (call->turn == NULL) {
		finish_stream(call);
		return;
	}
	call->record_since = edge_now(call->edge);
	renew_ancestors(call);
	record_turn(history_op_new(call, NULL));
}
