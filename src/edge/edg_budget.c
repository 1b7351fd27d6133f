/*
 * Grants from programs' budgets: one exchange with the store at a time for
 * each program, and the turns that wait for it.
 */
#include <string.h>

#include "edge/edg_impl.h"

/* One read or append that is not answered in this time is repeated. */
#define STORE_TIMEOUT_MS  400
/* Pause before an exchange begins again. */
#define STORE_PAUSE_MS	  30
/* Turns that got no grant in this time are refused. */
#define TAKE_PATIENCE_MS  1200
/* Retry-After while the store is away, or other instances hold the rest. */
#define RETRY_STORE_MS	  400
#define RETRY_HELD_MS	  300

struct edg_ledger {
	struct edg *edg;
	char *program;
	GQueue waiting; /* struct edg_call, each with a reference */
	clk_ms begun;
	char *value; /* record that is being appended */
	struct ev_timer timer;
};

static void ledger_read(struct edg_ledger *ledger);

void
edg_ledger_free(void *data)
{
	struct edg_ledger *ledger = data;
	struct edg_call *call;

	while ((call = g_queue_pop_head(&ledger->waiting)) != NULL)
		edg_call_unref(call);
	ev_timer_stop(ledger->edg->deps.loop, &ledger->timer);
	g_free(ledger->program);
	g_free(ledger->value);
	g_free(ledger);
}

static void
refuse(struct edg_call *call, enum vd_code code, clk_ms retry_after,
    const char *detail)
{
	struct vd verdict = vd_make(VD_NOT_RUN, code, "%s", detail);

	verdict.retry_after = retry_after;
	edg_refuse(call, &verdict);
}

/* The next turn that waits and whose caller is still there, or nil. */
static struct edg_call *
first_waiting(struct edg_ledger *ledger)
{
	struct edg_call *call;

	while ((call = g_queue_peek_head(&ledger->waiting)) != NULL &&
	    call->client == NULL) {
		(void)g_queue_pop_head(&ledger->waiting);
		edg_call_unref(call);
	}
	return (call);
}

static void
refuse_waiting(struct edg_ledger *ledger, enum vd_code code,
    clk_ms retry_after, const char *detail)
{
	struct edg_call *call;

	while ((call = g_queue_pop_head(&ledger->waiting)) != NULL) {
		refuse(call, code, retry_after, detail);
		edg_call_unref(call);
	}
}

/* Serve the turns for which the grant suffices. */
static void
ledger_continue(struct edg_ledger *ledger)
{
	struct edg *edg = ledger->edg;
	struct edg_call *call;

	while ((call = first_waiting(ledger)) != NULL) {
		enum bgt_verdict verdict = bgt_reserve(edg->bgt,
		    ledger->program, call->request.turn_max, edg_now(edg));

		if (verdict == BGT_TAKE) {
			ledger_read(ledger);
			return;
		}
		(void)g_queue_pop_head(&ledger->waiting);
		if (verdict == BGT_RUN) {
			call->reserved = call->request.turn_max;
			edg_send(call);
		} else {
			refuse(call, VD_BUDGET_EXCEEDED, 0,
			    "the program's budget is spent");
		}
		edg_call_unref(call);
	}
	(void)g_hash_table_remove(edg->ledgers, ledger->program);
}

static void
ledger_fail(struct edg_ledger *ledger, enum vd_code code, clk_ms retry_after,
    const char *detail)
{
	refuse_waiting(ledger, code, retry_after, detail);
	(void)g_hash_table_remove(ledger->edg->ledgers, ledger->program);
}

static void
pause_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	ledger_read(watcher->data);
}

/* Begin the exchange again, unless it has taken too long. */
static void
ledger_again(struct edg_ledger *ledger)
{
	struct edg *edg = ledger->edg;

	if (edg_now(edg) - ledger->begun >= TAKE_PATIENCE_MS) {
		ledger_fail(ledger, VD_HISTORY_UNPROVEN, RETRY_STORE_MS,
		    "the program's budget can't be read now");
		return;
	}
	ev_timer_stop(edg->deps.loop, &ledger->timer);
	ev_timer_set(
	    &ledger->timer, (double)STORE_PAUSE_MS / 1000.0, 0.0);
	ev_timer_start(edg->deps.loop, &ledger->timer);
}

static void
on_appended(void *arg, const struct sto_reply *reply)
{
	struct edg_ledger *ledger = arg;
	struct edg *edg = ledger->edg;

	if (reply->status != STO_OK) {
		/* Also when the outcome is unknown: the ledger tells. */
		ledger_again(ledger);
		return;
	}
	bgt_written(
	    edg->bgt, ledger->program, ledger->value, edg_now(edg));
	ledger_continue(ledger);
}

static void
on_read(void *arg, const struct sto_reply *reply)
{
	struct edg_ledger *ledger = arg;
	struct edg *edg = ledger->edg;
	struct edg_call *call = first_waiting(ledger);
	struct sto_place place = {STO_BUDGETS, sto_slot(ledger->program)};
	struct sto_record record;

	if (call == NULL) {
		ledger_continue(ledger);
		return;
	}
	if (reply->status != STO_OK) {
		ledger_again(ledger);
		return;
	}
	g_clear_pointer(&ledger->value, g_free);
	switch (bgt_take(edg->bgt, ledger->program, call->request.budget,
	    call->request.turn_max, sto_find(reply, ledger->program),
	    &ledger->value, edg_now(edg))) {
	case BGT_TAKEN:
		ledger_continue(ledger);
		return;
	case BGT_NONE:
		ledger_fail(ledger, VD_BUDGET_EXCEEDED, 0,
		    "the program's budget is spent");
		return;
	case BGT_HELD:
		ledger_fail(ledger, VD_HISTORY_UNPROVEN, RETRY_HELD_MS,
		    "other instances hold the rest of the budget");
		return;
	case BGT_WRITE:
		break;
	}
	record = (struct sto_record){
	    ledger->program, ledger->value, strlen(ledger->value)};
	edg->deps.sto.ops->append(edg->deps.sto.store, &place, reply->end,
	    &record, STORE_TIMEOUT_MS, on_appended, ledger);
}

static void
ledger_read(struct edg_ledger *ledger)
{
	struct edg *edg = ledger->edg;
	struct sto_place place = {STO_BUDGETS, sto_slot(ledger->program)};

	edg->deps.sto.ops->read(edg->deps.sto.store, &place, STORE_TIMEOUT_MS,
	    on_read, ledger);
}

void
edg_budget_take(struct edg_call *call)
{
	struct edg *edg = call->edg;
	const char *program = call->request.program;
	struct edg_ledger *ledger;

	if (call->request.budget == EDG_NO_BUDGET || program == NULL ||
	    call->request.turn_max <= 0) {
		edg_send(call);
		return;
	}
	ledger = g_hash_table_lookup(edg->ledgers, program);
	if (ledger == NULL) {
		switch (bgt_reserve(edg->bgt, program, call->request.turn_max,
		    edg_now(edg))) {
		case BGT_RUN:
			call->reserved = call->request.turn_max;
			edg_send(call);
			return;
		case BGT_SPENT:
			refuse(call, VD_BUDGET_EXCEEDED, 0,
			    "the program's budget is spent");
			return;
		case BGT_TAKE:
			break;
		}
		ledger = g_new0(struct edg_ledger, 1);
		ledger->edg = edg;
		ledger->program = g_strdup(program);
		ledger->begun = edg_now(edg);
		ev_timer_init(&ledger->timer, pause_cb, 0.0, 0.0);
		ledger->timer.data = ledger;
		(void)g_hash_table_insert(
		    edg->ledgers, ledger->program, ledger);
		g_queue_push_tail(&ledger->waiting, edg_call_ref(call));
		ledger_read(ledger);
		return;
	}
	g_queue_push_tail(&ledger->waiting, edg_call_ref(call));
}

void
edg_budget_settle(struct edg_call *call)
{
	int64_t tokens_per_event =
	    call->service != NULL ? call->service->tokens_per_event : 0;
	int64_t used;

	if (call->reserved == 0)
		return;
	used = call->events * MAX(tokens_per_event, 1);
	bgt_settle(call->edg->bgt, call->request.program, call->reserved,
	    used, edg_now(call->edg));
	call->reserved = 0;
}
