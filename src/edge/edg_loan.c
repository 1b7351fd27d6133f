/*
 * Loans of tokens between instances: the messages of borrower and lender.
 */
#include <string.h>

#include "edge/edg_impl.h"

/*
 * Time after which the lender counts as not answering.  An answer takes 3 ms
 * between data centres and, on an instance of a tenth of a core that reads a
 * ledger first, some tens of ms.
 */
#define ANSWER_TIMEOUT_MS 100
/* Lenders asked for one turn: where the program began, and who holds most. */
#define MAX_LOANS 2
/* A loan that is not repaid in this time is spent: longer than any turn. */
#define LOAN_LIFETIME_MS (60 * CLK_SECOND)

/* The name of the instance: a session is "NAME/START". */
static char *
instance_of(const char *session)
{
	return (g_strndup(session, strcspn(session, "/")));
}

static bool
message_send(
    struct edg *edg, const struct sockaddr_in *to, struct loan_message *message)
{
	char buf[LOAN_MESSAGE_MAX];
	size_t len;

	message->sender = edg->session;
	len = loan_encode(buf, sizeof(buf), message);
	return (
	    len > 0 && edg->deps.instance_send(edg->deps.arg, to, buf, len));
}

static void
repay(struct edg *edg, const struct sockaddr_in *lender, uint64_t serial,
    const char *program, int64_t tokens)
{
	struct loan_message message = {.kind = LOAN_REPAY,
	    .serial = serial,
	    .program = (char *)program,
	    .tokens = tokens};

	if (!message_send(edg, lender, &message))
		lg_event(edg->deps.lg, LG_INFO, "loan_not_repaid",
		    "serial=%" G_GUINT64_FORMAT " tokens=%" G_GINT64_FORMAT,
		    serial, tokens);
}

/* ---- The borrower ---- */

static void
asked_free(void *data)
{
	struct edg_call *call = data;

	ev_timer_stop(call->edg->deps.loop, &call->loan_timer);
	edg_call_unref(call);
}

static void
answered(struct edg_call *call, enum loan_outcome outcome)
{
	static const char *const names[] = {[LOAN_GRANTED] = "granted",
	    [LOAN_SPENT] = "spent",
	    [LOAN_UNAVAILABLE] = "unavailable",
	    [LOAN_TIMED_OUT] = "timed_out"};
	struct edg *edg = call->edg;

	lg_event(edg->deps.lg, LG_INFO, "loan",
	    "request=%s lender=%s serial=%" G_GUINT64_FORMAT
	    " tokens=%" G_GINT64_FORMAT
	    " outcome=%s waited_ms=%" G_GINT64_FORMAT,
	    call->request.id, call->lender, call->loan_serial,
	    call->request.turn_max, names[outcome],
	    edg_now(edg) - call->loan_asked);
	cnt_add(cnt_counter(edg->deps.cnt, "loans_total",
		    "Loans asked for, by outcome.", "outcome", names[outcome]),
	    1);
	if (outcome == LOAN_GRANTED) {
		call->reserved = call->request.turn_max;
		edg_send(call);
		return;
	}
	call->loan_serial = 0;
	call->is_lender_silent |= outcome == LOAN_TIMED_OUT;
	if (outcome == LOAN_SPENT) {
		edg_refuse_not_run(call, VD_BUDGET_EXCEEDED, 0,
		    "the program's budget is spent");
		return;
	}
	active_programs_home_clear(edg->deps.act, call->request.program);
	edg_budget_take_own(call);
}

static void
timeout_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edg_call *call = edg_call_ref(watcher->data);

	(void)loop;
	(void)events;
	(void)g_hash_table_remove(call->edg->borrowing, &call->loan_serial);
	if (call->client != NULL)
		answered(call, LOAN_TIMED_OUT);
	edg_call_unref(call);
}

bool
edg_loan_ask(struct edg_call *call, const char *lender)
{
	struct edg *edg = call->edg;
	struct loan_message message = {.kind = LOAN_REQUEST,
	    .serial = edg->loan_serial + 1,
	    .program = (char *)call->request.program,
	    .tokens = call->request.turn_max,
	    .budget = call->request.budget};
	g_autofree char *name = instance_of(lender);

	if (call->loans_asked == MAX_LOANS ||
	    g_strcmp0(call->lender, name) == 0)
		return (false);
	if (!edg->deps.instance_address(
		edg->deps.arg, name, &call->lender_address) ||
	    !message_send(edg, &call->lender_address, &message)) {
		call->is_lender_silent = true;
		return (false);
	}
	g_free(call->lender);
	call->lender = g_steal_pointer(&name);
	call->loan_serial = ++edg->loan_serial;
	call->loans_asked++;
	call->loan_asked = edg_now(edg);
	ev_timer_init(&call->loan_timer, timeout_cb,
	    (double)ANSWER_TIMEOUT_MS / 1000.0, 0.0);
	call->loan_timer.data = call;
	ev_timer_start(edg->deps.loop, &call->loan_timer);
	(void)g_hash_table_insert(
	    edg->borrowing, &call->loan_serial, edg_call_ref(call));
	return (true);
}

void
edg_loan_repay(struct edg_call *call, int64_t tokens)
{
	repay(call->edg, &call->lender_address, call->loan_serial,
	    call->request.program, tokens);
}

static void
on_answer(struct edg *edg, const struct sockaddr_in *from,
    const struct loan_message *message)
{
	struct edg_call *call =
	    g_hash_table_lookup(edg->borrowing, &message->serial);

	if (call != NULL) {
		call = edg_call_ref(call);
		(void)g_hash_table_remove(edg->borrowing, &message->serial);
		if (call->client != NULL) {
			answered(call, (enum loan_outcome)message->outcome);
			edg_call_unref(call);
			return;
		}
		edg_call_unref(call);
	}
	/* Too late, or the caller has left. */
	if (message->outcome == LOAN_GRANTED)
		repay(edg, from, message->serial, message->program,
		    message->tokens);
}

/* ---- The lender ---- */

static void
answer(struct edg *edg, const struct edg_loan *loan, const char *program,
    int64_t tokens, enum loan_outcome outcome)
{
	struct loan_message message = {.kind = LOAN_REPLY,
	    .serial = loan->serial,
	    .program = (char *)program,
	    .tokens = tokens,
	    .outcome = outcome};

	/* The borrower's time-out makes up for an answer that is not sent. */
	(void)message_send(edg, &loan->address, &message);
}

void
edg_loan_give(struct edg *edg, const struct edg_loan *loan, const char *program,
    int64_t tokens)
{
	if (!loan_book_add(edg->loans, loan->borrower, loan->serial, program,
		tokens, edg_now(edg))) {
		/* The datagram came twice. */
		edg_budget_free(edg, program, tokens, 0);
		return;
	}
	answer(edg, loan, program, tokens, LOAN_GRANTED);
}

void
edg_loan_refuse(struct edg *edg, const struct edg_loan *loan,
    const char *program, enum loan_outcome outcome)
{
	answer(edg, loan, program, 0, outcome);
}

static void
on_ask(struct edg *edg, const struct sockaddr_in *from,
    const struct loan_message *message)
{
	const struct edg_loan loan = {message->sender, *from, message->serial};

	if (edg->draining || message->tokens <= 0)
		edg_loan_refuse(edg, &loan, message->program, LOAN_UNAVAILABLE);
	else
		edg_budget_lend(edg, &loan, message->program, message->tokens,
		    message->budget);
}

static void
loan_end(struct edg *edg, struct loan *loan, int64_t unused)
{
	edg_budget_free(edg, loan->program, loan->tokens,
	    loan->tokens - CLAMP(unused, 0, loan->tokens));
	loan_free(loan);
}

static void
on_repay(struct edg *edg, const struct loan_message *message)
{
	struct loan *loan =
	    loan_book_repay(edg->loans, message->sender, message->serial);

	/* A loan of a former run, or one that expired, stays spent. */
	if (loan != NULL)
		loan_end(edg, loan, message->tokens);
}

void
edg_loan_expire(struct edg *edg)
{
	struct loan *loan;

	while ((loan = loan_book_expired(
		    edg->loans, edg_now(edg) - LOAN_LIFETIME_MS)) != NULL) {
		lg_event(edg->deps.lg, LG_INFO, "loan_expired",
		    "tokens=%" G_GINT64_FORMAT, loan->tokens);
		loan_end(edg, loan, 0);
	}
}

void
edg_loan_received(
    struct edg *edg, const struct sockaddr_in *from, char *data, size_t len)
{
	struct loan_message message;

	if (!loan_decode(data, len, &message)) {
		lg_event(edg->deps.lg, LG_WARNING, "datagram_refused",
		    "bytes=%zu", len);
		return;
	}
	switch ((enum loan_kind)message.kind) {
	case LOAN_REQUEST:
		on_ask(edg, from, &message);
		break;
	case LOAN_REPLY:
		on_answer(edg, from, &message);
		break;
	case LOAN_REPAY:
		on_repay(edg, &message);
		break;
	}
	loan_message_clear(&message);
}

void
edg_loan_open(struct edg *edg)
{
	edg->loans = loan_book_open();
	edg->borrowing = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, asked_free);
}

void
edg_loan_close(struct edg *edg)
{
	g_hash_table_destroy(edg->borrowing);
	loan_book_close(edg->loans);
}
