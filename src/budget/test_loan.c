/*
 * Loans of tokens: invalid messages, datagrams that are lost, duplicated or
 * late, and the budget over all loans.
 */
#include <glib.h>
#include <string.h>

#include "budget/budget.h"
#include "budget/loan.h"

#define ORDERS	 20000
#define STEPS	 80
#define TURN_MAX 60
#define BUDGET	 600

static void
test_message(void)
{
	const struct loan_message message = {LOAN_REPLY, (char *)"front-1/5f",
	    1ULL << 40, (char *)"p1", 576, 4608, LOAN_SPENT};
	struct loan_message decoded;
	char buf[LOAN_MESSAGE_MAX];
	size_t len = loan_encode(buf, sizeof(buf), &message);

	g_assert_cmpuint(len, >, 0);
	g_assert_true(loan_is_message(buf, len));
	g_assert_true(loan_decode(buf, len, &decoded));
	g_assert_cmpuint(decoded.kind, ==, LOAN_REPLY);
	g_assert_cmpstr(decoded.sender, ==, "front-1/5f");
	g_assert_cmpuint(decoded.serial, ==, 1ULL << 40);
	g_assert_cmpstr(decoded.program, ==, "p1");
	g_assert_cmpint(decoded.tokens, ==, 576);
	g_assert_cmpint(decoded.budget, ==, 4608);
	g_assert_cmpuint(decoded.outcome, ==, LOAN_SPENT);
	loan_message_clear(&decoded);
}

/* Guards against truncated messages, other versions and invalid values. */
static void
test_invalid_message(void)
{
	struct loan_message message = {
	    LOAN_REPAY, (char *)"a/1", 1, (char *)"p", 60, 0, LOAN_GRANTED};
	struct loan_message decoded;
	char buf[LOAN_MESSAGE_MAX];
	size_t len = loan_encode(buf, sizeof(buf), &message);

	for (size_t cut = 0; cut < len; cut++)
		g_assert_false(loan_decode(buf, cut, &decoded));
	buf[3]++;
	g_assert_false(loan_is_message(buf, len));
	g_assert_false(loan_decode(buf, len, &decoded));
	message.tokens = -1;
	len = loan_encode(buf, sizeof(buf), &message);
	g_assert_false(loan_decode(buf, len, &decoded));
	message.tokens = 1;
	message.kind = LOAN_REPAY + 1;
	len = loan_encode(buf, sizeof(buf), &message);
	g_assert_false(loan_decode(buf, len, &decoded));
}

/* Guards against corrupted bytes, such as huge lengths. */
static void
test_corrupted_message(void)
{
	const struct loan_message message = {
	    LOAN_REQUEST, (char *)"a/1", 1, (char *)"p", 60, 0, LOAN_GRANTED};
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);

	for (int i = 0; i < 20000; i++) {
		char buf[LOAN_MESSAGE_MAX];
		size_t len = loan_encode(buf, sizeof(buf), &message);
		struct loan_message decoded;

		/* The version is left intact, so that the rest is decoded. */
		for (int k = g_rand_int_range(rand, 1, 8); k > 0; k--)
			buf[g_rand_int_range(rand, 4, (gint)len)] =
			    (char)g_rand_int(rand);
		if (loan_decode(buf, len, &decoded))
			loan_message_clear(&decoded);
	}
}

static void
test_book(void)
{
	struct loan_book *book = loan_book_open();
	struct loan *loan;

	g_assert_true(loan_book_add(book, "a/1", 7, "p", 60, 100));
	g_assert_false(loan_book_add(book, "a/1", 7, "p", 60, 110));
	g_assert_true(loan_book_add(book, "b/1", 7, "p", 50, 200));
	/* Another session of the same instance has other loans. */
	g_assert_null(loan_book_repay(book, "a/2", 7));
	loan = loan_book_repay(book, "a/1", 7);
	g_assert_cmpint(loan->tokens, ==, 60);
	loan_free(loan);
	g_assert_null(loan_book_repay(book, "a/1", 7));
	g_assert_null(loan_book_take_expired(book, 200));
	loan = loan_book_take_expired(book, 201);
	g_assert_cmpint(loan->tokens, ==, 50);
	loan_free(loan);
	loan_book_close(book);
}

struct world {
	GRand *rand;
	struct budgets *lender;
	struct loan_book *book;
	char *ledger;
	int64_t end;
	uint64_t serial;
	GArray *running; /* serials of loans with a running turn */
	int64_t used; /* tokens sent to callers */
	unsigned turns;
	bool unchecked; /* the lender accepts any repayment */
};

static bool
chance(struct world *w, double probability)
{
	return (g_rand_double(w->rand) < probability);
}

static void
grant_take(struct world *w)
{
	g_autofree char *value = NULL;
	struct store_record record;
	int64_t end;

	switch (budget_grant_take(
	    w->lender, "p", BUDGET, TURN_MAX, 0, &value, &end, 0, 0)) {
	case BUDGET_READ_LEDGER:
		budget_ledger_set(w->lender, "p", NULL, w->end, 0);
		break;
	case BUDGET_WRITE_LEDGER:
		record = (struct store_record){"p", value, strlen(value)};
		budget_ledger_set(w->lender, "p", &record, ++w->end, 0);
		break;
	default:
		break;
	}
}

/* Handles a request for a loan; returns whether it was granted. */
static bool
lend(struct world *w, uint64_t serial)
{
	enum budget_verdict verdict =
	    budget_reserve(w->lender, "p", TURN_MAX, 0);

	if (verdict == BUDGET_GRANT_NEEDED)
		grant_take(w);
	if (verdict != BUDGET_RESERVED)
		return (false);
	if (!loan_book_add(w->book, "b/1", serial, "p", TURN_MAX, 0)) {
		budget_settle(w->lender, "p", TURN_MAX, 0, 0);
		return (false);
	}
	return (true);
}

static void
repay(struct world *w, uint64_t serial, int64_t unused)
{
	struct loan *loan = loan_book_repay(w->book, "b/1", serial);

	if (loan != NULL)
		budget_settle(
		    w->lender, "p", loan->tokens, loan->tokens - unused, 0);
	else if (w->unchecked)
		budget_settle(w->lender, "p", 0, -unused, 0);
	loan_free(loan);
}

static void
turn_end(struct world *w)
{
	guint which =
	    (guint)g_rand_int_range(w->rand, 0, (gint)w->running->len);
	uint64_t serial = g_array_index(w->running, uint64_t, which);
	int64_t used = g_rand_int_range(w->rand, 0, TURN_MAX + 1);
	unsigned copies = chance(w, 0.15) ? 0 : chance(w, 0.2) ? 2 : 1;

	(void)g_array_remove_index_fast(w->running, which);
	w->used += used;
	while (copies-- > 0)
		repay(w, serial, TURN_MAX - used);
}

static void
step(struct world *w)
{
	struct loan *loan;

	if (w->running->len > 0 && chance(w, 0.5)) {
		turn_end(w);
	} else if (w->serial > 0 && chance(w, 0.1)) {
		/* A duplicate request. */
		(void)lend(w,
		    1 +
			(uint64_t)g_rand_int_range(
			    w->rand, 0, (gint)w->serial));
	} else if (chance(w, 0.02)) {
		loan = loan_book_take_expired(w->book, 1);
		if (loan != NULL)
			budget_settle(
			    w->lender, "p", loan->tokens, loan->tokens, 0);
		loan_free(loan);
	} else if (lend(w, ++w->serial) && !chance(w, 0.1)) {
		g_array_append_val(w->running, w->serial);
		w->turns++;
	}
}

/* Runs random events; returns false if the budget was exceeded. */
static bool
run_events(guint32 seed, bool unchecked, unsigned *turns)
{
	struct world w = {.rand = g_rand_new_with_seed(seed),
	    .lender = budget_open("a/1", 60000),
	    .book = loan_book_open(),
	    .running = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	    .unchecked = unchecked};
	bool holds = true;

	for (int n = 0; n < STEPS && holds; n++) {
		step(&w);
		holds = w.used <= BUDGET;
	}
	*turns += w.turns;
	budget_close(w.lender);
	loan_book_close(w.book);
	g_array_free(w.running, TRUE);
	g_rand_free(w.rand);
	return (holds);
}

/*
 * Property: the tokens that turns generate from loans never exceed the budget,
 * in any order of requests and repayments, with datagrams that are lost,
 * duplicated or belong to an expired loan.
 */
static void
test_orders(void)
{
	unsigned turns = 0;

	for (guint32 seed = 1; seed <= ORDERS; seed++) {
		if (!run_events(seed, false, &turns))
			g_error("seed %u: budget exceeded", seed);
	}
	g_print("# figure: %d orders, %u turns, 0 above the budget\n", ORDERS,
	    turns);
	g_assert_cmpuint(turns, >, 5 * ORDERS);
}

/*
 * Guards against a property test that can't fail: the budget is exceeded if
 * the lender accepts any repayment.
 */
static void
test_orders_unchecked(void)
{
	unsigned turns = 0;
	unsigned exceeded = 0;

	for (guint32 seed = 1; seed <= 2000; seed++)
		exceeded += !run_events(seed, true, &turns);
	g_assert_cmpuint(exceeded, >, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loan/message", test_message);
	g_test_add_func("/loan/message-refused", test_invalid_message);
	g_test_add_func("/loan/noise", test_corrupted_message);
	g_test_add_func("/loan/book", test_book);
	g_test_add_func("/loan/orders", test_orders);
	g_test_add_func("/loan/orders-trusting", test_orders_unchecked);
	return (g_test_run());
}
