/*
 * Grants from programs' budgets: one exchange with the store at a time for
 * each program, and the turns and loans that wait for it.
 */
#include <string.h>

#include "edge/edg_impl.h"

/* One read or append that is not answered in this time is repeated. */
#define STORE_TIMEOUT_MS 400
/* Pause before an exchange begins again; it doubles up to a bound. */
#define STORE_PAUSE_MS	   30
#define STORE_PAUSE_MAX_MS 400
/* Turns that got no grant in this time are refused. */
#define TAKE_PATIENCE_MS 1200
/*
 * A program without a turn here for this time gives its grant back.  The
 * first session lends what others need and gives back when the program has
 * ended, or waits longer than the longest call of a tool, 2 s on the users'
 * sheets.  Others, which do not lend, keep the rest of a grant as long as a
 * sub-agent takes to follow.
 */
#define IDLE_RETURN_FIRST_MS 4000
#define IDLE_RETURN_MS	     100
#define IDLE_PERIOD_S	     0.05
/* Time and number of attempts to wait for what other sessions give back. */
#define HELD_PAUSE_MS 150
#define HELD_ATTEMPTS 3
/* Time in which further turns of such a program are refused unread. */
#define HELD_REFUSE_MS 500

struct edg_ledger {
	struct edg *edg;
	char *program;
	GQueue waiting; /* struct wish */
	clk_ms begun;
	char *value; /* record that is being appended */
	clk_ms pause; /* before the next attempt after a failure */
	unsigned held; /* times that other sessions held what was left */
	struct ev_timer timer;
};

/* What waits for a grant: a turn here, or a loan to another instance. */
struct wish {
	struct edg_call *call; /* with a reference; nil: a loan */
	struct edg_loan loan;
	int64_t tokens;
	int64_t budget;
};

static void ledger_proceed(struct edg_ledger *ledger);

static void
wish_free(struct wish *wish)
{
	if (wish->call != NULL)
		edg_call_unref(wish->call);
	g_free(wish->loan.borrower);
	g_free(wish);
}

static void
ledger_free(void *data)
{
	struct edg_ledger *ledger = data;
	struct wish *wish;

	while ((wish = g_queue_pop_head(&ledger->waiting)) != NULL)
		wish_free(wish);
	ev_timer_stop(ledger->edg->deps.loop, &ledger->timer);
	g_free(ledger->program);
	g_free(ledger->value);
	g_free(ledger);
}

/* The next wish whose caller is still there, or nil. */
static struct wish *
first_waiting(struct edg_ledger *ledger)
{
	struct wish *wish;

	while ((wish = g_queue_peek_head(&ledger->waiting)) != NULL &&
	    wish->call != NULL && wish->call->client == NULL) {
		(void)g_queue_pop_head(&ledger->waiting);
		wish_free(wish);
	}
	return (wish);
}

/* The tokens of the wish are reserved. */
static void
wish_grant(struct edg *edg, const char *program, struct wish *wish)
{
	if (wish->call != NULL) {
		wish->call->reserved = wish->tokens;
		edg_send(wish->call);
	} else {
		edg_loan_give(edg, &wish->loan, program, wish->tokens);
	}
}

static void
wish_refuse(struct edg *edg, const char *program, struct wish *wish,
    enum vd_code code, clk_ms retry_after, const char *detail)
{
	if (wish->call != NULL)
		edg_refuse_not_run(wish->call, code, retry_after, detail);
	else
		edg_loan_refuse(edg, &wish->loan, program,
		    code == VD_BUDGET_EXCEEDED ? LOAN_SPENT : LOAN_UNAVAILABLE);
}

static void
refuse_waiting(struct edg_ledger *ledger, enum vd_code code, clk_ms retry_after,
    const char *detail)
{
	struct wish *wish;

	while ((wish = g_queue_pop_head(&ledger->waiting)) != NULL) {
		wish_refuse(ledger->edg, ledger->program, wish, code,
		    retry_after, detail);
		wish_free(wish);
	}
}

/* Serve the wishes for which the grant suffices. */
static void
ledger_continue(struct edg_ledger *ledger)
{
	struct edg *edg = ledger->edg;
	struct wish *wish;

	while ((wish = first_waiting(ledger)) != NULL) {
		enum budget_verdict verdict = budget_reserve(
		    edg->bgt, ledger->program, wish->tokens, edg_now(edg));

		if (verdict == BUDGET_GRANT_NEEDED) {
			ledger_proceed(ledger);
			return;
		}
		(void)g_queue_pop_head(&ledger->waiting);
		if (verdict == BUDGET_RESERVED)
			wish_grant(edg, ledger->program, wish);
		else
			wish_refuse(edg, ledger->program, wish,
			    VD_BUDGET_EXCEEDED, 0,
			    "the program's budget is spent");
		wish_free(wish);
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
	ledger_proceed(watcher->data);
}

static void
ledger_pause(struct edg_ledger *ledger, clk_ms pause)
{
	struct ev_loop *loop = ledger->edg->deps.loop;

	ev_timer_stop(loop, &ledger->timer);
	ev_timer_set(&ledger->timer, (double)pause / 1000.0, 0.0);
	ev_timer_start(loop, &ledger->timer);
}

/* Read the ledger again, unless the exchange has taken too long. */
static void
ledger_again(struct edg_ledger *ledger, clk_ms pause)
{
	struct edg *edg = ledger->edg;

	budget_ledger_invalidate(edg->bgt, ledger->program);
	if (first_waiting(ledger) != NULL &&
	    edg_now(edg) - ledger->begun >= TAKE_PATIENCE_MS) {
		ledger_fail(ledger, VD_HISTORY_UNPROVEN, edg_store_retry(edg),
		    "the program's budget can't be read now");
		return;
	}
	ledger_pause(ledger, pause);
}

static clk_ms
next_pause(struct edg_ledger *ledger)
{
	clk_ms pause = ledger->pause;

	ledger->pause = MIN(2 * pause, STORE_PAUSE_MAX_MS);
	return (pause);
}

static void
on_appended(void *arg, const struct sto_reply *reply)
{
	struct edg_ledger *ledger = arg;
	struct edg *edg = ledger->edg;
	struct sto_record record = {
	    ledger->program, ledger->value, strlen(ledger->value)};

	if (reply->status == STO_OK) {
		budget_ledger_set(edg->bgt, ledger->program, &record,
		    reply->end, edg_now(edg));
		ledger_continue(ledger);
	} else {
		/* Also when the outcome is unknown: the ledger tells. */
		ledger_again(ledger,
		    reply->status == STO_CONFLICT ? 0 : next_pause(ledger));
	}
}

static void
on_read(void *arg, const struct sto_reply *reply)
{
	struct edg_ledger *ledger = arg;
	struct edg *edg = ledger->edg;

	if (reply->status != STO_OK) {
		ledger_again(ledger, next_pause(ledger));
		return;
	}
	budget_ledger_set(edg->bgt, ledger->program,
	    sto_find(reply, ledger->program), reply->end, edg_now(edg));
	ledger_proceed(ledger);
}

/* Let the turns that wait ask the session that holds most for a loan. */
static void
borrow_waiting(struct edg_ledger *ledger)
{
	g_autofree char *holder =
	    budget_largest_holder(ledger->edg->bgt, ledger->program);
	GList *next;

	if (holder == NULL)
		return;
	for (GList *l = ledger->waiting.head; l != NULL; l = next) {
		struct wish *wish = l->data;

		next = l->next;
		if (wish->call == NULL || wish->call->client == NULL ||
		    !edg_loan_ask(wish->call, holder))
			continue;
		g_queue_delete_link(&ledger->waiting, l);
		wish_free(wish);
	}
}

/* Other sessions hold what is left: they lend it, or give it back. */
static void
ledger_held(struct edg_ledger *ledger)
{
	struct edg *edg = ledger->edg;

	borrow_waiting(ledger);
	if (first_waiting(ledger) == NULL) {
		(void)g_hash_table_remove(edg->ledgers, ledger->program);
		return;
	}
	if (++ledger->held < HELD_ATTEMPTS) {
		budget_ledger_invalidate(edg->bgt, ledger->program);
		ledger_pause(ledger, HELD_PAUSE_MS);
		return;
	}
	budget_refuse_until(
	    edg->bgt, ledger->program, edg_now(edg) + HELD_REFUSE_MS);
	ledger_fail(ledger, VD_BUDGET_EXCEEDED, 0,
	    "the program's budget is spent by turns that run");
}

/*
 * A lender that does not answer may have died with tokens that nobody used.
 * The platform allows a program one turn more than its budget.
 */
static int64_t
overdraft_of(const struct wish *wish)
{
	return (wish->call != NULL && wish->call->is_lender_silent
		? wish->tokens
		: 0);
}

/* Do what the ledger, as far as it is known, calls for. */
static void
ledger_proceed(struct edg_ledger *ledger)
{
	struct edg *edg = ledger->edg;
	const struct sto *sto = &edg->deps.sto;
	const struct wish *wish = first_waiting(ledger);
	struct sto_place place = {STO_BUDGETS, sto_slot(ledger->program)};
	struct sto_record record;
	enum budget_step taken;
	int64_t end = 0;

	g_clear_pointer(&ledger->value, g_free);
	if (wish != NULL)
		taken = budget_grant_take(edg->bgt, ledger->program,
		    wish->budget, wish->tokens, overdraft_of(wish),
		    &ledger->value, &end, edg_now(edg), clk_wall_ms());
	else
		taken = budget_grant_return(edg->bgt, ledger->program,
		    &ledger->value, &end, clk_wall_ms());
	switch (taken) {
	case BUDGET_GRANT_SUFFICES:
		ledger_continue(ledger);
		break;
	case BUDGET_READ_LEDGER:
		sto->ops->read(
		    sto->store, &place, STORE_TIMEOUT_MS, on_read, ledger);
		break;
	case BUDGET_WRITE_LEDGER:
		record = (struct sto_record){
		    ledger->program, ledger->value, strlen(ledger->value)};
		sto->ops->append(sto->store, &place, end, &record, 1,
		    STORE_TIMEOUT_MS, on_appended, ledger);
		break;
	case BUDGET_NO_TOKENS:
		ledger_fail(ledger, VD_BUDGET_EXCEEDED, 0,
		    "the program's budget is spent");
		break;
	case BUDGET_HELD_ELSEWHERE:
		ledger_held(ledger);
		break;
	}
}

static struct edg_ledger *
ledger_begin(struct edg *edg, const char *program)
{
	struct edg_ledger *ledger = g_new0(struct edg_ledger, 1);

	ledger->edg = edg;
	ledger->program = g_strdup(program);
	ledger->begun = edg_now(edg);
	ledger->pause = STORE_PAUSE_MS;
	ev_timer_init(&ledger->timer, pause_cb, 0.0, 0.0);
	ledger->timer.data = ledger;
	(void)g_hash_table_insert(edg->ledgers, ledger->program, ledger);
	return (ledger);
}

/* ---- Giving back ---- */

/* A program whose last turn here ended at the time since. */
struct idle {
	char *program;
	clk_ms since;
};

static void
idle_free(struct idle *idle)
{
	g_free(idle->program);
	g_free(idle);
}

static void
idle_return(struct edg *edg, GQueue *queue, clk_ms due)
{
	struct idle *idle;

	while (
	    (idle = g_queue_peek_head(queue)) != NULL && idle->since <= due) {
		(void)g_queue_pop_head(queue);
		if (budget_is_idle(edg->bgt, idle->program, due) &&
		    !g_hash_table_contains(edg->ledgers, idle->program))
			ledger_proceed(ledger_begin(edg, idle->program));
		idle_free(idle);
	}
}

static void
idle_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edg *edg = watcher->data;
	clk_ms now = edg_now(edg);

	(void)events;
	idle_return(edg, &edg->idle, now - IDLE_RETURN_MS);
	idle_return(edg, &edg->idle_first, now - IDLE_RETURN_FIRST_MS);
	if (g_queue_is_empty(&edg->idle) && g_queue_is_empty(&edg->idle_first))
		ev_timer_stop(loop, watcher);
}

void
edg_budget_open(struct edg *edg)
{
	edg->ledgers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_free);
	ev_timer_init(&edg->idle_timer, idle_cb, IDLE_PERIOD_S, IDLE_PERIOD_S);
	edg->idle_timer.data = edg;
}

void
edg_budget_close(struct edg *edg)
{
	struct idle *idle;

	ev_timer_stop(edg->deps.loop, &edg->idle_timer);
	while ((idle = g_queue_pop_head(&edg->idle)) != NULL)
		idle_free(idle);
	while ((idle = g_queue_pop_head(&edg->idle_first)) != NULL)
		idle_free(idle);
	g_hash_table_destroy(edg->ledgers);
}

void
edg_budget_drain(struct edg *edg)
{
	idle_return(edg, &edg->idle, INT64_MAX);
	idle_return(edg, &edg->idle_first, INT64_MAX);
}

bool
edg_budget_is_settled(const struct edg *edg)
{
	return (g_hash_table_size(edg->ledgers) == 0 && edg->idle.length == 0 &&
	    edg->idle_first.length == 0 && loan_book_is_empty(edg->loans));
}

static void
idle_add(struct edg *edg, const char *program)
{
	struct idle *idle;
	GQueue *queue =
	    budget_is_first_holder(edg->bgt, program) && !edg->draining
	    ? &edg->idle_first
	    : &edg->idle;

	if (!budget_is_idle(edg->bgt, program, INT64_MAX))
		return;
	idle = g_new0(struct idle, 1);
	idle->program = g_strdup(program);
	idle->since = edg_now(edg);
	g_queue_push_tail(queue, idle);
	if (!ev_is_active(&edg->idle_timer)) {
		ev_timer_set(&edg->idle_timer, IDLE_PERIOD_S, IDLE_PERIOD_S);
		ev_timer_start(edg->deps.loop, &edg->idle_timer);
	}
}

void
edg_budget_free(
    struct edg *edg, const char *program, int64_t reserved, int64_t used)
{
	budget_settle(edg->bgt, program, reserved, used, edg_now(edg));
	idle_add(edg, program);
}

/* ---- Taking ---- */

/* Serve the wish now, or let it wait for an exchange with the ledger. */
static void
wish_begin(struct edg *edg, const char *program, struct wish *wish)
{
	struct edg_ledger *ledger = g_hash_table_lookup(edg->ledgers, program);

	if (ledger != NULL) {
		g_queue_push_tail(&ledger->waiting, wish);
		return;
	}
	switch (budget_reserve(edg->bgt, program, wish->tokens, edg_now(edg))) {
	case BUDGET_RESERVED:
		wish_grant(edg, program, wish);
		break;
	case BUDGET_SPENT:
		wish_refuse(edg, program, wish, VD_BUDGET_EXCEEDED, 0,
		    "the program's budget is spent");
		break;
	case BUDGET_GRANT_NEEDED:
		ledger = ledger_begin(edg, program);
		g_queue_push_tail(&ledger->waiting, wish);
		ledger_proceed(ledger);
		return;
	}
	wish_free(wish);
}

void
edg_budget_take_own(struct edg_call *call)
{
	struct wish *wish = g_new0(struct wish, 1);

	*wish = (struct wish){.call = edg_call_ref(call),
	    .tokens = call->request.turn_max,
	    .budget = call->request.budget};
	wish_begin(call->edg, call->request.program, wish);
}

void
edg_budget_lend(struct edg *edg, const struct edg_loan *loan,
    const char *program, int64_t tokens, int64_t budget)
{
	struct wish *wish = g_new0(struct wish, 1);

	wish->loan = *loan;
	wish->loan.borrower = g_strdup(loan->borrower);
	wish->tokens = tokens;
	wish->budget = budget;
	wish_begin(edg, program, wish);
}

void
edg_budget_take(struct edg_call *call)
{
	const char *program = call->request.program;
	const char *home;

	if (call->request.budget == EDG_NO_BUDGET || program == NULL ||
	    call->request.turn_max <= 0) {
		edg_send(call);
		return;
	}
	home = active_programs_home(call->edg->deps.act, program);
	if (home == NULL || !edg_loan_ask(call, home))
		edg_budget_take_own(call);
}

void
edg_budget_settle(struct edg_call *call)
{
	int64_t tokens_per_event =
	    call->service != NULL ? call->service->tokens_per_event : 0;
	int64_t reserved = call->reserved;
	int64_t used;

	if (reserved == 0)
		return;
	used = call->events * MAX(tokens_per_event, 1);
	call->reserved = 0;
	if (call->loan_serial != 0)
		edg_loan_repay(call, MAX(reserved - used, 0));
	else
		edg_budget_free(
		    call->edg, call->request.program, reserved, used);
}
