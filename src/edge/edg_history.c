/*
 * The history of a turn: read before it runs, and recorded before the end of
 * its answer goes out, so that every turn that a caller has seen whole is
 * found again after all instances have lost power.
 */
#include <string.h>

#include "edge/edg_impl.h"

/* One read or append that is not answered in this time is repeated. */
#define STORE_TIMEOUT_MS 400
/* Pause before a store call is repeated; it doubles up to a bound. */
#define STORE_PAUSE_MS	   40
#define STORE_PAUSE_MAX_MS 320
/* A turn whose history can't be read in this time is refused. */
#define READ_PATIENCE_MS 1200
/*
 * A turn that can't be recorded in this time is broken off; callers abandon
 * a stream after a gap of 2 s.
 */
#define RECORD_PATIENCE_MS 1700

/* A read of one turn of the chain, or a repeat of the record. */
struct step {
	struct edg_call *call;
	char *id; /* of the turn to read; nil: record */
	clk_ms begun;
	clk_ms pause; /* before the next repeat */
	struct ev_timer timer;
};

static void read_turn(struct step *step);
static void record_turn(struct step *step);

static void
step_free(struct step *step)
{
	edg_call_unref(step->call);
	g_free(step->id);
	g_free(step);
}

static struct step *
step_new(struct edg_call *call, const char *id)
{
	struct step *step = g_new0(struct step, 1);

	step->call = edg_call_ref(call);
	step->id = g_strdup(id);
	step->begun = edg_now(call->edg);
	step->pause = STORE_PAUSE_MS;
	return (step);
}

static void
repeat_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct step *step = watcher->data;

	(void)loop;
	(void)events;
	if (step->id != NULL)
		read_turn(step);
	else
		record_turn(step);
}

static void
step_repeat(struct step *step)
{
	ev_timer_init(
	    &step->timer, repeat_cb, (double)step->pause / 1000.0, 0.0);
	step->pause = MIN(2 * step->pause, STORE_PAUSE_MAX_MS);
	step->timer.data = step;
	ev_timer_start(step->call->edg->deps.loop, &step->timer);
}

/*
 * Go on with what is in memory: read what is missing, or take the next stage
 * when the chain is whole.
 */
static void
assemble(struct edg_call *call)
{
	struct edg *edg = call->edg;
	clk_ms now = edg_now(edg);
	const struct turn *previous =
	    turn_cache_get(edg->turns, call->request.previous, now);
	g_autoptr(GPtrArray) chain = g_ptr_array_new();

	if (previous == NULL) {
		call->turns_missing = 1;
		read_turn(step_new(call, call->request.previous));
		return;
	}
	if (call->organisation != NULL &&
	    strcmp(previous->organisation, call->organisation->name) != 0) {
		edg_refuse_not_run(call, VD_UNKNOWN_PROGRAM, 0, "no such turn");
		return;
	}
	for (guint i = 0; i < previous->ancestors->len; i++) {
		const char *id = previous->ancestors->pdata[i];
		const struct turn *turn = turn_cache_get(edg->turns, id, now);

		if (turn != NULL) {
			g_ptr_array_add(chain, (void *)turn);
			continue;
		}
		call->turns_missing++;
		read_turn(step_new(call, id));
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
	edg_budget_take(call);
}

static void
on_turn_read(void *arg, const struct sto_reply *reply)
{
	struct step *step = arg;
	struct edg_call *call = step->call;
	struct edg *edg = call->edg;
	clk_ms now = edg_now(edg);
	const struct sto_record *record;
	struct turn *turn;

	if (call->client == NULL) {
		step_free(step);
		return;
	}
	if (reply->status != STO_OK) {
		if (now - step->begun < READ_PATIENCE_MS) {
			step_repeat(step);
			return;
		}
		edg_refuse_not_run(call, VD_HISTORY_UNPROVEN,
		    edg_store_retry(edg),
		    "the program's history can't be read now");
		step_free(step);
		return;
	}
	record = sto_find(reply, step->id);
	turn = record != NULL ? turn_decode(step->id, record) : NULL;
	if (turn != NULL) {
		turn_cache_put(edg->turns, turn, now);
		if (--call->turns_missing == 0)
			assemble(call);
	} else {
		lg_event(edg->deps.lg, LG_WARNING, "turn_missing",
		    "request=%s turn=%s found=%d end=%" G_GINT64_FORMAT,
		    call->request.id, step->id, record != NULL, reply->end);
		if (strcmp(step->id, call->request.previous) == 0)
			edg_refuse_not_run(
			    call, VD_UNKNOWN_PROGRAM, 0, "no such turn");
		else
			edg_refuse_not_run(call, VD_HISTORY_UNPROVEN,
			    edg_store_retry(edg),
			    "a part of the program's history is missing");
	}
	step_free(step);
}

static void
read_turn(struct step *step)
{
	struct sto *sto = &step->call->edg->deps.sto;
	const struct sto_place place = {STO_TURNS, sto_slot(step->id)};

	sto->ops->read(
	    sto->store, &place, STORE_TIMEOUT_MS, on_turn_read, step);
}

void
edg_history_load(struct edg_call *call)
{
	const GByteArray *input = hsv_body(call->client);

	if (!call->route->stateful) {
		edg_budget_take(call);
		return;
	}
	call->turn = turn_new(call->request.id,
	    call->organisation != NULL ? call->organisation->name : "");
	(void)g_byte_array_append(call->turn->input, input->data, input->len);
	if (call->request.previous == NULL)
		edg_budget_take(call);
	else
		assemble(call);
}

static void
on_renewed(void *arg, const struct sto_reply *reply)
{
	struct step *step = arg;
	struct edg *edg = step->call->edg;

	if (reply->status == STO_OK)
		turn_cache_renewed(edg->turns, step->id, clk_wall_ms());
	else
		/* The next turn of the chain tries again. */
		lg_event(edg->deps.lg, LG_WARNING, "turn_not_renewed",
		    "turn=%s status=%d", step->id, reply->status);
	step_free(step);
}

/*
 * The turns before a kept turn are kept as long: write those again whose
 * records would expire first.
 */
static void
renew_ancestors(struct edg_call *call)
{
	struct edg *edg = call->edg;
	const struct sto *sto = &edg->deps.sto;
	const GPtrArray *ancestors = call->turn->ancestors;
	clk_ms wall = clk_wall_ms();

	for (guint i = 0; i < ancestors->len; i++) {
		const char *id = ancestors->pdata[i];
		const struct turn *turn =
		    turn_cache_get(edg->turns, id, edg_now(edg));
		const struct sto_place place = {STO_TURNS, sto_slot(id)};
		g_autoptr(GByteArray) value = NULL;
		struct sto_record record;
		struct turn again;

		if (turn == NULL ||
		    !turn_needs_renewal(turn, call->route->retention, wall))
			continue;
		again = *turn;
		again.recorded = wall;
		value = turn_encode(&again);
		record = (struct sto_record){id, value->data, value->len};
		sto->ops->append(sto->store, &place, STO_ANY_END, &record, 1,
		    STORE_TIMEOUT_MS, on_renewed, step_new(call, id));
	}
}

static void
finish_stream(struct edg_call *call)
{
	struct hsv_call *client = call->client;

	if (client == NULL)
		return;
	edg_end(call, "served", 200);
	hsv_stream_end(client);
}

static void
on_turn_recorded(void *arg, const struct sto_reply *reply)
{
	struct step *step = arg;
	struct edg_call *call = step->call;
	struct edg *edg = call->edg;
	struct hsv_call *client = call->client;
	clk_ms now = edg_now(edg);

	if (client == NULL) {
		step_free(step);
		return;
	}
	if (reply->status == STO_OK) {
		turn_cache_put(edg->turns, call->turn, now);
		call->turn = NULL;
		finish_stream(call);
	} else if (now - call->record_since < RECORD_PATIENCE_MS) {
		step_repeat(step);
		return;
	} else {
		edg_end(call, "turn_not_recorded", 0);
		hsv_abort(client);
	}
	step_free(step);
}

static void
record_turn(struct step *step)
{
	struct edg_call *call = step->call;
	struct sto *sto = &call->edg->deps.sto;
	g_autoptr(GByteArray) value = NULL;
	struct sto_place place;
	struct sto_record record;

	if (call->client == NULL) {
		step_free(step);
		return;
	}
	call->turn->recorded = clk_wall_ms();
	value = turn_encode(call->turn);
	place = (struct sto_place){STO_TURNS, sto_slot(call->turn->id)};
	record = (struct sto_record){call->turn->id, value->data, value->len};
	/* The same key and value: a second append does no harm. */
	sto->ops->append(sto->store, &place, STO_ANY_END, &record, 1,
	    STORE_TIMEOUT_MS, on_turn_recorded, step);
}

void
edg_turn_record(struct edg_call *call)
{
	if (call->turn == NULL) {
		finish_stream(call);
		return;
	}
	call->record_since = edg_now(call->edg);
	renew_ancestors(call);
	record_turn(step_new(call, NULL));
}
