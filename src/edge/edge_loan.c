/*
 * Loans of tokens between instances: the messages of borrowers and lenders.
 */
#include <string.h>

#include "edge/edge_internal.h"

/*
 * Timeout of a loan request.  An answer takes 3 ms between data centres, and
 * some tens of ms from an instance with a tenth of a core that reads the
 * ledger first.
 */
#define LENDER_TIMEOUT_MS 100
/*
 * Lenders asked for one turn: the instance where the program began, and the
 * session with the largest grant.
 */
#define MAX_LENDERS 2
/* A loan not repaid in this time counts as spent; no turn takes longer. */
#define LOAN_LIFETIME_MS (60 * CLK_SECOND)

/* Return the name of the instance from a session, "NAME/START". */
static char *
session_instance_name(const char *session)
{
	const char *end = strrchr(session, '/');

	return (end != NULL ? g_strndup(session, (gsize)(end - session))
			    : g_strdup(session));
}

static bool
message_send(struct edge *edge, const struct sockaddr_in *to,
    struct loan_message *message)
{
	char buf[LOAN_MESSAGE_MAX];
	size_t len;

	message->sender = edge->session;
	len = loan_encode(buf, sizeof(buf), message);
	return (
	    len > 0 && edge->deps.instance_send(edge->deps.arg, to, buf, len));
}

static void
repayment_send(struct edge *edge, const struct sockaddr_in *lender,
    uint64_t serial, const char *program, int64_t tokens)
{
	struct loan_message message = {.kind = LOAN_REPAY,
	    .serial = serial,
	    .program = (char *)program,
	    .tokens = tokens};

	if (!message_send(edge, lender, &message))
		lg_event(edge->deps.lg, LG_INFO, "loan_not_repaid",
		    "serial=%" G_GUINT64_FORMAT " tokens=%" G_GINT64_FORMAT,
		    serial, tokens);
}

/* ---- The borrower ---- */

static void
borrowing_free(void *data)
{
	struct edge_call *call = data;

	ev_timer_stop(call->edge->deps.loop, &call->loan_timer);
	edge_call_unref(call);
}

static void
borrow_finish(struct edge_call *call, enum loan_outcome outcome)
{
	static const char *const names[] = {[LOAN_GRANTED] = "granted",
	    [LOAN_SPENT] = "spent",
	    [LOAN_UNAVAILABLE] = "unavailable",
	    [LOAN_TIMED_OUT] = "timed_out"};
	struct edge *edge = call->edge;

	lg_event(edge->deps.lg, LG_INFO, "loan",
	    "request=%s lender=%s serial=%" G_GUINT64_FORMAT
	    " tokens=%" G_GINT64_FORMAT
	    " outcome=%s waited_ms=%" G_GINT64_FORMAT,
	    call->request.id, call->lender, call->loan_serial,
	    call->request.turn_max_tokens, names[outcome],
	    edge_now(edge) - call->loan_asked_at);
	cnt_add(cnt_counter(edge->deps.cnt, "loans_total",
		    "Loans asked for, by outcome.", "outcome", names[outcome]),
	    1);
	if (outcome == LOAN_GRANTED) {
		call->reserved = call->request.turn_max_tokens;
		edge_version_find(call);
		return;
	}
	call->loan_serial = 0;
	call->is_lender_silent |= outcome == LOAN_TIMED_OUT;
	if (outcome == LOAN_SPENT) {
		edge_refuse_not_run(call, VD_BUDGET_EXCEEDED, 0,
		    "the program's budget is spent");
		return;
	}
	active_programs_home_clear(edge->deps.activity, call->program);
	edge_budget_reserve_own(call);
}

static void
timeout_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge_call *call = edge_call_ref(watcher->data);

	(void)loop;
	(void)events;
	(void)g_hash_table_remove(call->edge->borrowing, &call->loan_serial);
	if (call->client != NULL)
		borrow_finish(call, LOAN_TIMED_OUT);
	edge_call_unref(call);
}

bool
edge_loan_request(struct edge_call *call, const char *lender)
{
	struct edge *edge = call->edge;
	struct loan_message message = {.kind = LOAN_REQUEST,
	    .serial = edge->loan_serial + 1,
	    .program = (char *)call->program,
	    .tokens = call->request.turn_max_tokens,
	    .budget = call->request.budget};
	struct sockaddr_in address = {0};
	bool is_known =
	    edge->deps.instance_address(edge->deps.arg, lender, &address);
	g_autofree char *name =
	    is_known ? g_strdup(lender) : session_instance_name(lender);

	if (call->loan_requests == MAX_LENDERS ||
	    g_strcmp0(call->lender, name) == 0)
		return (false);
	if (!is_known)
		is_known =
		    edge->deps.instance_address(edge->deps.arg, name, &address);
	call->lender_address = address;
	if (!is_known || !message_send(edge, &call->lender_address, &message)) {
		call->is_lender_silent = true;
		return (false);
	}
	g_free(call->lender);
	call->lender = g_steal_pointer(&name);
	call->loan_serial = ++edge->loan_serial;
	call->loan_requests++;
	call->loan_asked_at = edge_now(edge);
	ev_timer_init(&call->loan_timer, timeout_cb,
	    (double)LENDER_TIMEOUT_MS / 1000.0, 0.0);
	call->loan_timer.data = call;
	ev_timer_start(edge->deps.loop, &call->loan_timer);
	(void)g_hash_table_insert(
	    edge->borrowing, &call->loan_serial, edge_call_ref(call));
	return (true);
}

void
edge_loan_repay(struct edge_call *call, int64_t tokens)
{
	repayment_send(call->edge, &call->lender_address, call->loan_serial,
	    call->program, tokens);
}

static void
on_reply(struct edge *edge, const struct sockaddr_in *from,
    const struct loan_message *message)
{
	struct edge_call *call =
	    g_hash_table_lookup(edge->borrowing, &message->serial);

	if (call != NULL) {
		call = edge_call_ref(call);
		(void)g_hash_table_remove(edge->borrowing, &message->serial);
		if (call->client != NULL) {
			borrow_finish(
			    call, (enum loan_outcome)message->outcome);
			edge_call_unref(call);
			return;
		}
		edge_call_unref(call);
	}
	/* The request timed out, or the caller has disconnected. */
	if (message->outcome == LOAN_GRANTED)
		repayment_send(edge, from, message->serial, message->program,
		    message->tokens);
}

/* ---- The lender ---- */

static void
loan_reply_send(struct edge *edge, const struct edge_loan *loan,
    const char *program, int64_t tokens, enum loan_outcome outcome)
{
	struct loan_message message = {.kind = LOAN_REPLY,
	    .serial = loan->serial,
	    .program = (char *)program,
	    .tokens = tokens,
	    .outcome = outcome};

	/* If the answer isn't sent, the borrower's request times out. */
	(void)message_send(edge, &loan->address, &message);
}

void
edge_loan_grant(struct edge *edge, const struct edge_loan *loan,
    const char *program, int64_t tokens)
{
	if (!loan_book_add(edge->loans, loan->borrower, loan->serial, program,
		tokens, edge_now(edge))) {
		/* A duplicate of the request. */
		edge_budget_release(edge, program, tokens, 0);
		return;
	}
	loan_reply_send(edge, loan, program, tokens, LOAN_GRANTED);
}

void
edge_loan_refuse(struct edge *edge, const struct edge_loan *loan,
    const char *program, enum loan_outcome outcome)
{
	loan_reply_send(edge, loan, program, 0, outcome);
}

static void
on_request(struct edge *edge, const struct sockaddr_in *from,
    const struct loan_message *message)
{
	const struct edge_loan loan = {message->sender, *from, message->serial};

	if (edge->draining || message->tokens <= 0)
		edge_loan_refuse(
		    edge, &loan, message->program, LOAN_UNAVAILABLE);
	else
		edge_budget_lend(edge, &loan, message->program, message->tokens,
		    message->budget);
}

static void
loan_settle(struct edge *edge, struct loan *loan, int64_t unused)
{
	edge_budget_release(edge, loan->program, loan->tokens,
	    loan->tokens - CLAMP(unused, 0, loan->tokens));
	loan_free(loan);
}

static void
on_repay(struct edge *edge, const struct loan_message *message)
{
	struct loan *loan =
	    loan_book_repay(edge->loans, message->sender, message->serial);

	/* A loan of a previous session, or an expired one, stays spent. */
	if (loan != NULL)
		loan_settle(edge, loan, message->tokens);
}

void
edge_loan_expire(struct edge *edge)
{
	struct loan *loan;

	while ((loan = loan_book_take_expired(
		    edge->loans, edge_now(edge) - LOAN_LIFETIME_MS)) != NULL) {
		lg_event(edge->deps.lg, LG_INFO, "loan_expired",
		    "tokens=%" G_GINT64_FORMAT, loan->tokens);
		loan_settle(edge, loan, 0);
	}
}

void
edge_loan_receive(
    struct edge *edge, const struct sockaddr_in *from, char *data, size_t len)
{
	struct loan_message message;

	if (!loan_decode(data, len, &message)) {
		lg_event(edge->deps.lg, LG_WARNING, "datagram_refused",
		    "bytes=%zu", len);
		return;
	}
	switch ((enum loan_kind)message.kind) {
	case LOAN_REQUEST:
		on_request(edge, from, &message);
		break;
	case LOAN_REPLY:
		on_reply(edge, from, &message);
		break;
	case LOAN_REPAY:
		on_repay(edge, &message);
		break;
	}
	loan_message_clear(&message);
}

void
edge_loan_open(struct edge *edge)
{
	edge->loans = loan_book_open();
	edge->borrowing = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, borrowing_free);
}

void
edge_loan_close(struct edge *edge)
{
	g_hash_table_destroy(edge->borrowing);
	loan_book_close(edge->loans);
}
