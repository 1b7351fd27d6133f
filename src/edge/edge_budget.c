/*
 * Grants from programs' budgets.  For each program there is at most one store
 * call in flight on its ledger; turns and loans wait in a queue for it.
 */
#include <string.h>

#include "edge/edge_internal.h"

/* A read or append that is not answered in this time is retried. */
#define STORE_TIMEOUT_MS 400
/* Exponential backoff between attempts. */
#define STORE_BACKOFF_MIN_MS 30
#define STORE_BACKOFF_MAX_MS 400
/* Turns that get no grant in this time are refused. */
#define GRANT_TIMEOUT_MS 1200
/*
 * A grant is returned when its program had no turn here for this time.  The
 * program's first session lends to the others, so it keeps its grant until
 * the program has ended or waits longer than the longest tool call (2 s).
 * Other sessions don't lend and keep the rest of a grant only for the time in
 * which a sub-agent may follow.
 */
#define IDLE_RETURN_FIRST_MS 4000
#define IDLE_RETURN_MS	     100
#define IDLE_CHECK_PERIOD_S  0.05
/* Retries while other sessions hold the rest of the budget. */
#define HELD_RETRY_MS 150
#define HELD_ATTEMPTS 3
/*
 * After the last retry, turns of the program are refused for this time without
 * a read of the ledger.
 */
#define HELD_REFUSE_MS 500

struct edge_ledger {
	struct edge *edge;
	char *program;
	GQueue waiting; /* struct reservation */
	clk_ms started;
	char *value; /* record that is being appended */
	int64_t end; /* end offset that this append expects */
	clk_ms backoff; /* before the next attempt */
	bool is_ahead; /* begun before a turn needs the grant */
	unsigned held; /* attempts that found the rest held by other sessions */
	struct ev_timer timer;
};

/* A reservation that waits for a grant: for a turn, or for a loan. */
struct reservation {
	struct edge_call *call; /* with a reference; nil: for a loan */
	struct edge_loan loan;
	int64_t tokens;
	int64_t budget;
};

static void ledger_advance(struct edge_ledger *ledger);
static void idle_add(struct edge *edge, const char *program);

static struct store_partition
ledger_partition(const char *program)
{
	return ((struct store_partition){STORE_BUDGETS, store_slot(program)});
}

static void
reservation_free(struct reservation *reservation)
{
	if (reservation->call != NULL)
		edge_call_unref(reservation->call);
	g_free(reservation->loan.borrower);
	g_free(reservation);
}

static void
ledger_free(void *data)
{
	struct edge_ledger *ledger = data;
	struct reservation *reservation;

	while ((reservation = g_queue_pop_head(&ledger->waiting)) != NULL)
		reservation_free(reservation);
	ev_timer_stop(ledger->edge->deps.loop, &ledger->timer);
	g_free(ledger->program);
	g_free(ledger->value);
	g_free(ledger);
}

/* Return the next reservation whose caller is still connected, or nil. */
static struct reservation *
first_waiting(struct edge_ledger *ledger)
{
	struct reservation *reservation;

	while ((reservation = g_queue_peek_head(&ledger->waiting)) != NULL &&
	    reservation->call != NULL && reservation->call->client == NULL) {
		(void)g_queue_pop_head(&ledger->waiting);
		reservation_free(reservation);
	}
	return (reservation);
}

/* Continue a turn, or give a loan, whose tokens are reserved. */
static void
reservation_grant(
    struct edge *edge, const char *program, struct reservation *reservation)
{
	if (reservation->call != NULL) {
		reservation->call->reserved = reservation->tokens;
		edge_version_find(reservation->call);
	} else {
		edge_loan_grant(
		    edge, &reservation->loan, program, reservation->tokens);
	}
}

static void
reservation_refuse(struct edge *edge, const char *program,
    struct reservation *reservation, enum vd_code code, clk_ms retry_after,
    const char *detail)
{
	if (reservation->call != NULL)
		edge_refuse_not_run(
		    reservation->call, code, retry_after, detail);
	else
		edge_loan_refuse(edge, &reservation->loan, program,
		    code == VD_BUDGET_EXCEEDED ? LOAN_SPENT : LOAN_UNAVAILABLE);
}

static void
refuse_waiting(struct edge_ledger *ledger, enum vd_code code,
    clk_ms retry_after, const char *detail)
{
	const struct store_partition partition =
	    ledger_partition(ledger->program);
	struct reservation *reservation;

	while ((reservation = g_queue_pop_head(&ledger->waiting)) != NULL) {
		/* Turns wait for the store if the ledger can't be read. */
		if (code != VD_HISTORY_UNPROVEN || reservation->call == NULL ||
		    reservation->call->client == NULL ||
		    !edge_outage_hold(
			reservation->call, &partition, edge_budget_reserve_own))
			reservation_refuse(ledger->edge, ledger->program,
			    reservation, code, retry_after, detail);
		reservation_free(reservation);
	}
}

/* Serve waiting reservations as far as the grant suffices. */
static void
ledger_serve_waiting(struct edge_ledger *ledger)
{
	struct edge *edge = ledger->edge;
	struct reservation *reservation;

	while ((reservation = first_waiting(ledger)) != NULL) {
		enum budget_verdict verdict = budget_reserve(edge->budgets,
		    ledger->program, reservation->tokens, edge_now(edge));

		if (verdict == BUDGET_GRANT_NEEDED) {
			ledger_advance(ledger);
			return;
		}
		(void)g_queue_pop_head(&ledger->waiting);
		if (verdict == BUDGET_RESERVED)
			reservation_grant(edge, ledger->program, reservation);
		else
			reservation_refuse(edge, ledger->program, reservation,
			    VD_BUDGET_EXCEEDED, 0,
			    "the program's budget is spent");
		reservation_free(reservation);
	}
	(void)g_hash_table_remove(edge->ledgers, ledger->program);
}

static void
ledger_fail(struct edge_ledger *ledger, enum vd_code code, clk_ms retry_after,
    const char *detail)
{
	refuse_waiting(ledger, code, retry_after, detail);
	(void)g_hash_table_remove(ledger->edge->ledgers, ledger->program);
}

static void
retry_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	ledger_advance(watcher->data);
}

static void
ledger_retry_after(struct edge_ledger *ledger, clk_ms delay)
{
	struct ev_loop *loop = ledger->edge->deps.loop;

	ev_timer_stop(loop, &ledger->timer);
	ev_timer_set(&ledger->timer, (double)delay / 1000.0, 0.0);
	ev_timer_start(loop, &ledger->timer);
}

/* Read the ledger again, unless the time limit is reached. */
static void
ledger_reread(struct edge_ledger *ledger, clk_ms delay)
{
	struct edge *edge = ledger->edge;
	const struct store_partition partition =
	    ledger_partition(ledger->program);

	budget_ledger_invalidate(edge->budgets, ledger->program);
	if (ledger->is_ahead && first_waiting(ledger) == NULL) {
		(void)g_hash_table_remove(edge->ledgers, ledger->program);
		return;
	}
	if (first_waiting(ledger) != NULL &&
	    (edge_is_worse_off(edge) ||
		!edge_outage_is_expected(edge, &partition) ||
		edge_now(edge) - ledger->started >= GRANT_TIMEOUT_MS)) {
		ledger_fail(ledger, VD_HISTORY_UNPROVEN,
		    edge_store_retry_after(edge),
		    "the program's budget can't be read now");
		return;
	}
	ledger_retry_after(ledger, delay);
}

static clk_ms
backoff_next(struct edge_ledger *ledger)
{
	clk_ms backoff = ledger->backoff;

	ledger->backoff = MIN(2 * backoff, STORE_BACKOFF_MAX_MS);
	return (backoff);
}

/* The append failed, or its outcome is unknown. */
static void
append_failed(struct edge_ledger *ledger, enum store_status status)
{
	struct edge *edge = ledger->edge;
	char quoted[80];

	lg_event(edge->deps.lg, LG_INFO, "ledger_not_written",
	    "program=%s status=%d expected_end=%" G_GINT64_FORMAT " waiting=%u",
	    lg_quote(quoted, sizeof(quoted), ledger->program), status,
	    ledger->end, ledger->waiting.length);
	if (status == STORE_UNKNOWN)
		budget_append_unsettled(
		    edge->budgets, ledger->program, ledger->end);
	ledger_reread(
	    ledger, status == STORE_CONFLICT ? 0 : backoff_next(ledger));
}

static void
on_appended(void *arg, const struct store_reply *reply)
{
	struct edge_ledger *ledger = arg;
	struct edge *edge = ledger->edge;
	struct store_record record = {
	    ledger->program, ledger->value, strlen(ledger->value)};

	if (reply->status != STORE_OK) {
		append_failed(ledger, reply->status);
		return;
	}
	budget_ledger_set(edge->budgets, ledger->program, &record, reply->end,
	    edge_now(edge));
	/* The program is known since now: its rest is returned from now on. */
	if (ledger->is_ahead)
		idle_add(edge, ledger->program);
	ledger_serve_waiting(ledger);
}

static void
on_read(void *arg, const struct store_reply *reply)
{
	struct edge_ledger *ledger = arg;
	struct edge *edge = ledger->edge;

	if (reply->status != STORE_OK) {
		ledger_reread(ledger, backoff_next(ledger));
		return;
	}
	budget_ledger_set(edge->budgets, ledger->program,
	    store_reply_find(reply, ledger->program), reply->end,
	    edge_now(edge));
	ledger_advance(ledger);
}

/* Ask the session with the largest grant to lend to the waiting turns. */
static void
borrow_waiting(struct edge_ledger *ledger)
{
	g_autofree char *holder =
	    budget_largest_holder(ledger->edge->budgets, ledger->program);
	GList *next;

	if (holder == NULL)
		return;
	for (GList *l = ledger->waiting.head; l != NULL; l = next) {
		struct reservation *reservation = l->data;

		next = l->next;
		if (reservation->call == NULL ||
		    reservation->call->client == NULL ||
		    !edge_loan_request(reservation->call, holder))
			continue;
		g_queue_delete_link(&ledger->waiting, l);
		reservation_free(reservation);
	}
}

/* Other sessions hold the rest of the budget: borrow, or wait for returns. */
static void
ledger_handle_held(struct edge_ledger *ledger)
{
	struct edge *edge = ledger->edge;

	borrow_waiting(ledger);
	if (first_waiting(ledger) == NULL) {
		(void)g_hash_table_remove(edge->ledgers, ledger->program);
		return;
	}
	if (++ledger->held < HELD_ATTEMPTS) {
		budget_ledger_invalidate(edge->budgets, ledger->program);
		ledger_retry_after(ledger, HELD_RETRY_MS);
		return;
	}
	budget_refuse_until(
	    edge->budgets, ledger->program, edge_now(edge) + HELD_REFUSE_MS);
	ledger_fail(ledger, VD_BUDGET_EXCEEDED, 0,
	    "the program's budget is reserved by running turns");
}

/*
 * Tokens by which the turn may exceed the budget.  A lender that does not
 * answer may have crashed while it held unused tokens; the platform allows a
 * program one turn more than its budget.
 */
static int64_t
overdraft_of(const struct reservation *reservation)
{
	return (reservation->call != NULL && reservation->call->is_lender_silent
		? reservation->tokens
		: 0);
}

/* Read the ledger, append to it, or serve the waiting reservations. */
static void
ledger_advance(struct edge_ledger *ledger)
{
	struct edge *edge = ledger->edge;
	const struct store *store = &edge->deps.store;
	const struct reservation *reservation = first_waiting(ledger);
	const struct store_partition partition =
	    ledger_partition(ledger->program);
	struct store_record record;
	enum budget_step step;

	g_clear_pointer(&ledger->value, g_free);
	if (reservation != NULL)
		step = budget_grant_take(edge->budgets, ledger->program,
		    reservation->budget, reservation->tokens,
		    overdraft_of(reservation), &ledger->value, &ledger->end,
		    edge_now(edge), clk_wall_ms());
	else if (ledger->is_ahead)
		step = budget_grant_ahead(edge->budgets, ledger->program,
		    &ledger->value, &ledger->end, clk_wall_ms());
	else
		step = budget_grant_return(edge->budgets, ledger->program,
		    &ledger->value, &ledger->end, clk_wall_ms());
	switch (step) {
	case BUDGET_GRANT_SUFFICES:
		ledger_serve_waiting(ledger);
		break;
	case BUDGET_READ_LEDGER:
		store->ops->read(
		    store->impl, &partition, STORE_TIMEOUT_MS, on_read, ledger);
		break;
	case BUDGET_WRITE_LEDGER:
		record = (struct store_record){
		    ledger->program, ledger->value, strlen(ledger->value)};
		store->ops->append(store->impl, &partition, ledger->end,
		    &record, 1, STORE_TIMEOUT_MS, on_appended, ledger);
		break;
	case BUDGET_NO_TOKENS:
		ledger_fail(ledger, VD_BUDGET_EXCEEDED, 0,
		    "the program's budget is spent");
		break;
	case BUDGET_HELD_ELSEWHERE:
		ledger_handle_held(ledger);
		break;
	}
}

static struct edge_ledger *
ledger_start(struct edge *edge, const char *program)
{
	struct edge_ledger *ledger = g_new0(struct edge_ledger, 1);

	ledger->edge = edge;
	ledger->program = g_strdup(program);
	ledger->started = edge_now(edge);
	ledger->backoff = STORE_BACKOFF_MIN_MS;
	ev_timer_init(&ledger->timer, retry_cb, 0.0, 0.0);
	ledger->timer.data = ledger;
	(void)g_hash_table_insert(edge->ledgers, ledger->program, ledger);
	return (ledger);
}

/* ---- Returning grants ---- */

/* A program without a running turn. */
struct idle_program {
	char *program;
	clk_ms since; /* end of its last turn here */
};

static void
idle_free(struct idle_program *idle)
{
	g_free(idle->program);
	g_free(idle);
}

static void
idle_return(struct edge *edge, GQueue *queue, clk_ms due)
{
	struct idle_program *idle;

	while (
	    (idle = g_queue_peek_head(queue)) != NULL && idle->since <= due) {
		(void)g_queue_pop_head(queue);
		if (budget_is_idle(edge->budgets, idle->program, due) &&
		    !g_hash_table_contains(edge->ledgers, idle->program))
			ledger_advance(ledger_start(edge, idle->program));
		idle_free(idle);
	}
}

static void
idle_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge *edge = watcher->data;
	clk_ms now = edge_now(edge);

	(void)events;
	idle_return(edge, &edge->idle, now - IDLE_RETURN_MS);
	idle_return(edge, &edge->idle_first, now - IDLE_RETURN_FIRST_MS);
	if (g_queue_is_empty(&edge->idle) &&
	    g_queue_is_empty(&edge->idle_first))
		ev_timer_stop(loop, watcher);
}

void
edge_budget_open(struct edge *edge)
{
	edge->ledgers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_free);
	ev_timer_init(&edge->idle_timer, idle_cb, IDLE_CHECK_PERIOD_S,
	    IDLE_CHECK_PERIOD_S);
	edge->idle_timer.data = edge;
}

void
edge_budget_close(struct edge *edge)
{
	struct idle_program *idle;

	ev_timer_stop(edge->deps.loop, &edge->idle_timer);
	while ((idle = g_queue_pop_head(&edge->idle)) != NULL)
		idle_free(idle);
	while ((idle = g_queue_pop_head(&edge->idle_first)) != NULL)
		idle_free(idle);
	g_hash_table_destroy(edge->ledgers);
}

void
edge_budget_drain(struct edge *edge)
{
	idle_return(edge, &edge->idle, INT64_MAX);
	idle_return(edge, &edge->idle_first, INT64_MAX);
}

bool
edge_budget_is_settled(const struct edge *edge)
{
	return (g_hash_table_size(edge->ledgers) == 0 &&
	    edge->idle.length == 0 && edge->idle_first.length == 0 &&
	    loan_book_is_empty(edge->loans));
}

static void
idle_add(struct edge *edge, const char *program)
{
	struct idle_program *idle;
	GQueue *queue =
	    budget_is_first_holder(edge->budgets, program) && !edge->draining
	    ? &edge->idle_first
	    : &edge->idle;

	if (!budget_is_idle(edge->budgets, program, INT64_MAX))
		return;
	idle = g_new0(struct idle_program, 1);
	idle->program = g_strdup(program);
	idle->since = edge_now(edge);
	g_queue_push_tail(queue, idle);
	if (!ev_is_active(&edge->idle_timer)) {
		ev_timer_set(&edge->idle_timer, IDLE_CHECK_PERIOD_S,
		    IDLE_CHECK_PERIOD_S);
		ev_timer_start(edge->deps.loop, &edge->idle_timer);
	}
}

/*
 * Take a grant ahead of the program's next turn, which then needs no call of
 * the store: it may come while the store is unresponsive.
 */
static void
ledger_extend(struct edge *edge, const char *program)
{
	const struct store_partition partition = ledger_partition(program);
	struct edge_ledger *ledger;

	if (edge->draining || edge_is_worse_off(edge) ||
	    g_hash_table_contains(edge->ledgers, program) ||
	    !edge_outage_is_expected(edge, &partition))
		return;
	ledger = ledger_start(edge, program);
	ledger->is_ahead = true;
	ledger_advance(ledger);
}

void
edge_budget_release(
    struct edge *edge, const char *program, int64_t reserved, int64_t used)
{
	budget_settle(edge->budgets, program, reserved, used, edge_now(edge));
	idle_add(edge, program);
	ledger_extend(edge, program);
}

/* ---- Reserving tokens ---- */

/* Serve the reservation now, or queue it until the ledger was read. */
static void
reservation_begin(
    struct edge *edge, const char *program, struct reservation *reservation)
{
	const struct store_partition partition = ledger_partition(program);
	struct edge_ledger *ledger =
	    g_hash_table_lookup(edge->ledgers, program);

	/* A grant that is taken ahead delays no turn that doesn't need it. */
	if (ledger != NULL &&
	    !(ledger->is_ahead &&
		budget_is_granted(
		    edge->budgets, program, reservation->tokens))) {
		g_queue_push_tail(&ledger->waiting, reservation);
		return;
	}
	switch (budget_reserve(
	    edge->budgets, program, reservation->tokens, edge_now(edge))) {
	case BUDGET_RESERVED:
		reservation_grant(edge, program, reservation);
		break;
	case BUDGET_SPENT:
		reservation_refuse(edge, program, reservation,
		    VD_BUDGET_EXCEEDED, 0, "the program's budget is spent");
		break;
	case BUDGET_GRANT_NEEDED:
		/* A borrower has no time to wait for the store. */
		if (edge_is_worse_off(edge) ||
		    (reservation->call == NULL &&
			!edge_outage_is_expected(edge, &partition))) {
			reservation_refuse(edge, program, reservation,
			    VD_HISTORY_UNPROVEN, edge_store_retry_after(edge),
			    "the program's budget can't be read here now");
			break;
		}
		ledger = ledger_start(edge, program);
		g_queue_push_tail(&ledger->waiting, reservation);
		ledger_advance(ledger);
		return;
	}
	reservation_free(reservation);
}

void
edge_budget_reserve_own(struct edge_call *call)
{
	const struct store_partition partition =
	    ledger_partition(call->program);
	struct reservation *reservation;

	if (!budget_is_granted(call->edge->budgets, call->program,
		call->request.turn_max_tokens) &&
	    edge_outage_hold(call, &partition, edge_budget_reserve_own))
		return;
	budget_retention_set(call->edge->budgets, call->program,
	    MAX(call->route->retention, catalogue_retention(call->catalogue)),
	    edge_now(call->edge));
	reservation = g_new0(struct reservation, 1);
	*reservation = (struct reservation){.call = edge_call_ref(call),
	    .tokens = call->request.turn_max_tokens,
	    .budget = call->request.budget};
	reservation_begin(call->edge, call->program, reservation);
}

void
edge_budget_lend(struct edge *edge, const struct edge_loan *loan,
    const char *program, int64_t tokens, int64_t budget)
{
	struct reservation *reservation = g_new0(struct reservation, 1);

	if (edge->catalogue != NULL)
		budget_retention_set(edge->budgets, program,
		    catalogue_retention(edge->catalogue), edge_now(edge));
	reservation->loan = *loan;
	reservation->loan.borrower = g_strdup(loan->borrower);
	reservation->tokens = tokens;
	reservation->budget = budget;
	reservation_begin(edge, program, reservation);
}

void
edge_budget_acquire(struct edge_call *call)
{
	const char *program = call->program;
	const char *home;

	if (call->request.budget == EDGE_NO_BUDGET || program == NULL ||
	    call->request.turn_max_tokens <= 0) {
		edge_version_find(call);
		return;
	}
	home = active_programs_home(call->edge->deps.activity, program);
	if (home == NULL || !edge_loan_request(call, home))
		edge_budget_reserve_own(call);
}

void
edge_budget_settle(struct edge_call *call)
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
		edge_loan_repay(call, MAX(reserved - used, 0));
	else
		edge_budget_release(call->edge, call->program, reserved, used);
}
