/*
 * Budgets of programs over several sessions, with appends that the store
 * refuses or executes late, lost replies, and sessions that crash.
 */
#include <glib.h>
#include <string.h>

#include "budget/budget.h"

#define SESSIONS 3
#define ORDERS	 20000
#define STEPS	 60
#define TURN_MAX 60
/* Budgets of which little, or all, is used in an order. */
#define AMPLE  600
#define SCARCE 150

/* An append whose reply was lost and that may still be executed. */
struct late_append {
	char *value;
	int64_t end;
};

struct world {
	GRand *rand;
	struct budgets *sessions[SESSIONS];
	int64_t running[SESSIONS]; /* reserved by the running turn */
	unsigned starts;
	char *ledger; /* nil: none */
	int64_t end;
	GPtrArray *late;
	int64_t budget;
	int64_t used; /* tokens sent to callers */
	unsigned turns;
	bool unconditional; /* the store ignores the expected end */
	bool overdraws; /* sessions sometimes take an overdraft */
};

static bool
chance(struct world *w, double probability)
{
	return (g_rand_double(w->rand) < probability);
}

static void
session_start(struct world *w, int i)
{
	g_autofree char *name = g_strdup_printf("s%d/%u", i, ++w->starts);

	w->sessions[i] = budget_open(name, 60000);
	w->running[i] = 0;
}

/* Appends the ledger if the expected end matches. */
static bool
store_append(struct world *w, const char *value, int64_t end)
{
	if (end != w->end && !w->unconditional)
		return (false);
	g_free(w->ledger);
	w->ledger = g_strdup(value);
	w->end++;
	return (true);
}

static void
late_append_free(void *data)
{
	struct late_append *late = data;

	g_free(late->value);
	g_free(late);
}

/* Appends a ledger to the store; request or reply may be lost. */
static void
ledger_write(struct world *w, int i, const char *value, int64_t end)
{
	struct store_record record = {"p", value, strlen(value)};

	if (chance(w, 0.1)) {
		budget_ledger_invalidate(w->sessions[i], "p");
		return;
	}
	if (chance(w, 0.2)) {
		/* Executed now or later, or not at all; the reply is lost. */
		if (chance(w, 0.5)) {
			(void)store_append(w, value, end);
		} else {
			struct late_append *late =
			    g_new0(struct late_append, 1);

			late->value = g_strdup(value);
			late->end = end;
			g_ptr_array_add(w->late, late);
		}
		budget_append_unsettled(w->sessions[i], "p", end);
		budget_ledger_invalidate(w->sessions[i], "p");
		return;
	}
	if (store_append(w, value, end))
		budget_ledger_set(w->sessions[i], "p", &record, w->end, 0);
	else
		budget_ledger_invalidate(w->sessions[i], "p");
}

static void
ledger_read(struct world *w, int i)
{
	struct store_record record = {
	    "p", w->ledger, w->ledger != NULL ? strlen(w->ledger) : 0};

	if (!chance(w, 0.1))
		budget_ledger_set(w->sessions[i], "p",
		    w->ledger != NULL ? &record : NULL, w->end, 0);
}

static void
grant_take(struct world *w, int i)
{
	g_autofree char *value = NULL;
	int64_t end = 0;
	int64_t overdraft = w->overdraws && chance(w, 0.5) ? TURN_MAX : 0;

	switch (budget_grant_take(w->sessions[i], "p", w->budget, TURN_MAX,
	    overdraft, &value, &end, 0, 0)) {
	case BUDGET_READ_LEDGER:
		ledger_read(w, i);
		break;
	case BUDGET_WRITE_LEDGER:
		ledger_write(w, i, value, end);
		break;
	case BUDGET_GRANT_SUFFICES:
	case BUDGET_NO_TOKENS:
	case BUDGET_HELD_ELSEWHERE:
		break;
	}
}

static void
grant_return(struct world *w, int i)
{
	g_autofree char *value = NULL;
	int64_t end = 0;

	switch (budget_grant_return(w->sessions[i], "p", &value, &end, 0)) {
	case BUDGET_READ_LEDGER:
		ledger_read(w, i);
		break;
	case BUDGET_WRITE_LEDGER:
		ledger_write(w, i, value, end);
		break;
	default:
		break;
	}
}

static void
grant_ahead(struct world *w, int i)
{
	g_autofree char *value = NULL;
	int64_t end = 0;

	if (budget_grant_ahead(w->sessions[i], "p", &value, &end, 0) ==
	    BUDGET_WRITE_LEDGER)
		ledger_write(w, i, value, end);
}

static void
step(struct world *w)
{
	int i = g_rand_int_range(w->rand, 0, SESSIONS);

	if (w->late->len > 0 && chance(w, 0.2)) {
		guint which =
		    (guint)g_rand_int_range(w->rand, 0, (gint)w->late->len);
		const struct late_append *late = w->late->pdata[which];

		(void)store_append(w, late->value, late->end);
		(void)g_ptr_array_remove_index(w->late, which);
	}
	if (chance(w, 0.03)) {
		/* The running turn may have sent all of its tokens. */
		w->used += w->running[i];
		budget_close(w->sessions[i]);
		session_start(w, i);
		return;
	}
	if (w->running[i] > 0) {
		int64_t used = g_rand_int_range(w->rand, 0, TURN_MAX + 1);

		budget_settle(w->sessions[i], "p", w->running[i], used, 0);
		w->used += used;
		w->running[i] = 0;
		if (chance(w, 0.5))
			grant_ahead(w, i);
		return;
	}
	if (chance(w, 0.3)) {
		grant_return(w, i);
		return;
	}
	switch (budget_reserve(w->sessions[i], "p", TURN_MAX, 0)) {
	case BUDGET_RESERVED:
		w->running[i] = TURN_MAX;
		w->turns++;
		break;
	case BUDGET_GRANT_NEEDED:
		grant_take(w, i);
		break;
	case BUDGET_SPENT:
		break;
	}
}

/* Runs random events; returns false if the budget was exceeded. */
static bool
run_events(guint32 seed, int64_t budget, bool unconditional, bool overdraws,
    unsigned *turns)
{
	struct world w = {.rand = g_rand_new_with_seed(seed),
	    .budget = budget,
	    .unconditional = unconditional,
	    .overdraws = overdraws};
	int64_t most = w.budget + (overdraws ? TURN_MAX : 0);
	bool holds = true;

	w.late = g_ptr_array_new_with_free_func(late_append_free);
	for (int i = 0; i < SESSIONS; i++)
		session_start(&w, i);
	for (int n = 0; n < STEPS && holds; n++) {
		step(&w);
		holds = w.used <= most;
	}
	*turns += w.turns;
	for (int i = 0; i < SESSIONS; i++)
		budget_close(w.sessions[i]);
	g_ptr_array_free(w.late, TRUE);
	g_free(w.ledger);
	g_rand_free(w.rand);
	return (holds);
}

/* Runs all orders with the budget. */
static void
orders_run(int64_t budget, bool overdraws)
{
	unsigned turns = 0;

	for (guint32 seed = 1; seed <= ORDERS; seed++) {
		if (!run_events(seed, budget, false, overdraws, &turns))
			g_error("seed %u: budget exceeded", seed);
	}
	g_print("# figure: %d orders, %u turns, 0 above the budget%s\n", ORDERS,
	    turns, overdraws ? " and one turn" : "");
	g_assert_cmpuint(turns, >, 2 * ORDERS);
}

/*
 * Property: the tokens sent to callers never exceed the budget, in any order
 * of turns, store requests, lost and late appends and crashes.
 */
static void
test_orders(void)
{
	orders_run(AMPLE, false);
}

/*
 * Guards against a grant that is used while its return may still take effect:
 * the same property where others take at once what was returned.
 */
static void
test_orders_scarce(void)
{
	orders_run(SCARCE, false);
}

/*
 * Guards against the same, step by step: a return has no answer, the ledger is
 * as before, and a turn comes.  The grant is written again before it is used.
 */
static void
test_return_unsettled(void)
{
	const char *ledger = "{\"budget\":600,\"grants\":{\"a/1\":180}}";
	struct store_record record = {"p", ledger, strlen(ledger)};
	struct budgets *budgets = budget_open("a/1", 60000);
	g_autofree char *value = NULL;
	int64_t end = 0;

	budget_ledger_set(budgets, "p", NULL, 6, 0);
	budget_ledger_set(budgets, "p", &record, 7, 0);
	g_assert_cmpint(
	    budget_reserve(budgets, "p", TURN_MAX, 0), ==, BUDGET_RESERVED);
	budget_settle(budgets, "p", TURN_MAX, TURN_MAX, 0);
	g_assert_cmpint(budget_grant_return(budgets, "p", &value, &end, 0), ==,
	    BUDGET_WRITE_LEDGER);
	g_assert_cmpint(end, ==, 7);
	budget_append_unsettled(budgets, "p", end);
	budget_ledger_invalidate(budgets, "p");
	budget_ledger_set(budgets, "p", &record, 7, 0);
	g_assert_cmpint(
	    budget_reserve(budgets, "p", TURN_MAX, 0), ==, BUDGET_GRANT_NEEDED);
	g_clear_pointer(&value, g_free);
	g_assert_cmpint(budget_grant_take(
			    budgets, "p", 600, TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	g_assert_cmpint(end, ==, 7);
	record = (struct store_record){"p", value, strlen(value)};
	budget_ledger_set(budgets, "p", &record, 8, 0);
	g_assert_cmpint(
	    budget_reserve(budgets, "p", TURN_MAX, 0), ==, BUDGET_RESERVED);
	budget_close(budgets);
}

/*
 * Property: sessions that take others for crashed, rightly or not, exceed the
 * budget by one turn at most.
 */
static void
test_orders_overdraft(void)
{
	orders_run(AMPLE, true);
}

/*
 * Guards against a program that has no grant left when the store falls silent,
 * and against grants taken ahead that no turn could use: the rest covers
 * another turn, or the budget does not.
 */
static void
test_grant_ahead(void)
{
	struct budgets *budgets = budget_open("a/1", 60000);
	struct store_record record = {.key = "p"};
	char *value;
	int64_t end;

	budget_ledger_set(budgets, "p", NULL, 0, 0);
	g_assert_cmpint(
	    budget_reserve(budgets, "p", TURN_MAX, 0), ==, BUDGET_GRANT_NEEDED);
	/* Nothing is granted yet: a turn has to ask first. */
	g_assert_cmpint(budget_grant_ahead(budgets, "p", &value, &end, 0), ==,
	    BUDGET_NO_TOKENS);
	g_assert_cmpint(budget_grant_take(budgets, "p", 5 * TURN_MAX + 10,
			    TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	record.value = value;
	record.len = strlen(value);
	budget_ledger_set(budgets, "p", &record, 1, 0);
	g_free(value);
	for (int turn = 1; turn <= 5; turn++) {
		g_assert_cmpint(budget_reserve(budgets, "p", TURN_MAX, 0), ==,
		    BUDGET_RESERVED);
		budget_settle(budgets, "p", TURN_MAX, TURN_MAX, 0);
		if (turn != 3) {
			g_assert_cmpint(
			    budget_grant_ahead(budgets, "p", &value, &end, 0),
			    ==, BUDGET_NO_TOKENS);
			continue;
		}
		g_assert_cmpint(
		    budget_grant_ahead(budgets, "p", &value, &end, 0), ==,
		    BUDGET_WRITE_LEDGER);
		g_assert_cmpint(end, ==, 1);
		record.value = value;
		record.len = strlen(value);
		budget_ledger_set(budgets, "p", &record, 2, 0);
		g_free(value);
	}
	/* A smaller turn still gets the rest. */
	g_assert_cmpint(
	    budget_reserve(budgets, "p", 10, 0), ==, BUDGET_RESERVED);
	budget_close(budgets);
}

/* A crashed session held all tokens: an overdraft covers one turn only. */
static void
test_overdraft(void)
{
	struct budgets *crashed = budget_open("a/1", 60000);
	struct budgets *alive = budget_open("b/1", 60000);
	struct store_record record = {.key = "p"};
	char *value;
	int64_t end;

	budget_ledger_set(crashed, "p", NULL, 0, 0);
	g_assert_cmpint(budget_grant_take(
			    crashed, "p", 100, TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	record.value = value;
	record.len = strlen(value);
	budget_ledger_set(alive, "p", &record, 1, 0);
	g_free(value);
	g_assert_cmpint(
	    budget_grant_take(alive, "p", 100, TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BUDGET_HELD_ELSEWHERE);
	g_assert_cmpint(budget_grant_take(alive, "p", 100, TURN_MAX, TURN_MAX,
			    &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	record.value = value;
	record.len = strlen(value);
	budget_ledger_set(alive, "p", &record, 2, 0);
	g_free(value);
	g_assert_cmpint(
	    budget_reserve(alive, "p", TURN_MAX, 0), ==, BUDGET_RESERVED);
	budget_settle(alive, "p", TURN_MAX, TURN_MAX, 0);
	g_assert_cmpint(budget_grant_take(alive, "p", 100, TURN_MAX, TURN_MAX,
			    &value, &end, 0, 0),
	    ==, BUDGET_HELD_ELSEWHERE);
	budget_close(crashed);
	budget_close(alive);
}

/*
 * Guards against a property test that can't fail: the budget is exceeded if
 * the store ignores the expected end.
 */
static void
test_orders_unconditional(void)
{
	unsigned turns = 0;
	unsigned exceeded = 0;

	for (guint32 seed = 1; seed <= 2000; seed++)
		exceeded += !run_events(seed, AMPLE, true, false, &turns);
	g_assert_cmpuint(exceeded, >, 0);
}

/* A program that moves gets what the previous instance has returned. */
static void
test_moved_program(void)
{
	struct world w = {.rand = g_rand_new_with_seed(1), .budget = 120};
	g_autofree char *value = NULL;
	int64_t end = 0;

	w.late = g_ptr_array_new_with_free_func(late_append_free);
	for (int i = 0; i < 2; i++)
		session_start(&w, i);
	budget_ledger_set(w.sessions[0], "p", NULL, 0, 0);
	g_assert_cmpint(budget_grant_take(w.sessions[0], "p", 120, TURN_MAX, 0,
			    &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	g_assert_true(store_append(&w, value, end));
	budget_ledger_set(w.sessions[0], "p",
	    &(struct store_record){"p", w.ledger, strlen(w.ledger)}, w.end, 0);
	g_assert_cmpint(budget_reserve(w.sessions[0], "p", TURN_MAX, 0), ==,
	    BUDGET_RESERVED);
	budget_settle(w.sessions[0], "p", TURN_MAX, 20, 0);
	/* The other session finds all tokens granted ... */
	budget_ledger_set(w.sessions[1], "p",
	    &(struct store_record){"p", w.ledger, strlen(w.ledger)}, w.end, 0);
	g_clear_pointer(&value, g_free);
	g_assert_cmpint(budget_grant_take(w.sessions[1], "p", 120, TURN_MAX, 0,
			    &value, &end, 0, 0),
	    ==, BUDGET_HELD_ELSEWHERE);
	/* ... until the rest is returned. */
	g_assert_cmpint(
	    budget_grant_return(w.sessions[0], "p", &value, &end, 0), ==,
	    BUDGET_WRITE_LEDGER);
	g_assert_true(store_append(&w, value, end));
	g_clear_pointer(&value, g_free);
	budget_ledger_set(w.sessions[1], "p",
	    &(struct store_record){"p", w.ledger, strlen(w.ledger)}, w.end, 0);
	g_assert_cmpint(budget_grant_take(w.sessions[1], "p", 120, TURN_MAX, 0,
			    &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	for (int i = 0; i < 2; i++)
		budget_close(w.sessions[i]);
	g_ptr_array_free(w.late, TRUE);
	g_free(w.ledger);
	g_rand_free(w.rand);
}

/* Guards against a later turn that raises the budget. */
static void
test_first_budget_binds(void)
{
	struct budgets *budgets = budget_open("s", 1000);
	const char *ledger = "{\"budget\":100,\"grants\":{\"old/1\":80}}";
	char *value = NULL;
	int64_t end = 0;

	budget_ledger_set(budgets, "p",
	    &(struct store_record){"p", ledger, strlen(ledger)}, 1, 0);
	g_assert_cmpint(budget_grant_take(budgets, "p", 100000, TURN_MAX, 0,
			    &value, &end, 0, 0),
	    ==, BUDGET_HELD_ELSEWHERE);
	g_assert_null(value);
	budget_close(budgets);
}

static void
test_expiry(void)
{
	struct budgets *budgets = budget_open("s", 1000);

	g_assert_cmpint(
	    budget_reserve(budgets, "p", 10, 0), ==, BUDGET_GRANT_NEEDED);
	budget_expire(budgets, 999);
	g_assert_cmpuint(budget_program_count(budgets), ==, 1);
	budget_expire(budgets, 1000);
	g_assert_cmpuint(budget_program_count(budgets), ==, 0);
	budget_close(budgets);
}

/*
 * Guards against tokens that are spent twice: a program comes again after the
 * instance that holds its grant has forgotten it.
 */
static void
test_forgotten(void)
{
	const clk_ms retention = 1000;
	struct budgets *budgets = budget_open("a/1", retention);
	struct store_record record = {.key = "p"};
	g_autofree char *value = NULL;
	g_autofree char *none = NULL;
	int64_t end = 0;

	budget_ledger_set(budgets, "p", NULL, 0, 0);
	g_assert_cmpint(budget_grant_take(budgets, "p", 3 * TURN_MAX, TURN_MAX,
			    0, &value, &end, 0, 0),
	    ==, BUDGET_WRITE_LEDGER);
	record.value = value;
	record.len = strlen(value);
	budget_ledger_set(budgets, "p", &record, 1, 0);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpint(budget_reserve(budgets, "p", TURN_MAX, 0), ==,
		    BUDGET_RESERVED);
		budget_settle(budgets, "p", TURN_MAX, TURN_MAX, 0);
	}
	budget_expire(budgets, retention);
	g_assert_cmpuint(budget_program_count(budgets), ==, 0);
	budget_ledger_set(budgets, "p", &record, 1, retention);
	g_assert_cmpint(budget_reserve(budgets, "p", TURN_MAX, retention), !=,
	    BUDGET_RESERVED);
	g_assert_cmpint(budget_grant_take(budgets, "p", 3 * TURN_MAX, TURN_MAX,
			    0, &none, &end, retention, 0),
	    ==, BUDGET_NO_TOKENS);
	budget_close(budgets);
}

/* A ledger expires later than its program, at every instance. */
static void
test_ledger_expiry(void)
{
	struct budgets *budgets = budget_open("s", 60000);
	char *value = NULL;
	int64_t end = 0;
	struct store_record record;

	budget_ledger_set(budgets, "p", NULL, 0, 0);
	g_assert_cmpint(budget_grant_take(budgets, "p", 600, TURN_MAX, 0,
			    &value, &end, 0, 1000000),
	    ==, BUDGET_WRITE_LEDGER);
	record = (struct store_record){"p", value, strlen(value)};
	g_assert_false(
	    budget_ledger_is_expired(&record, 60000, 1000000 + 60000));
	g_assert_true(
	    budget_ledger_is_expired(&record, 60000, 1000000 + 200000));
	g_free(value);
	budget_close(budgets);
}

/*
 * Guards against a program that gets its budget twice: its ledger is dropped
 * when its route has gone from the configuration, or was written by an earlier
 * version, which states no retention.
 */
static void
test_ledger_retention(void)
{
	const char *earlier =
	    "{\"budget\":600,\"grants\":{\"s\":100},\"time\":1000000}";
	struct store_record record = {"p", earlier, strlen(earlier)};
	struct budgets *budgets = budget_open("s", 60000);
	g_autofree char *value = NULL;
	g_autofree char *next = NULL;
	int64_t end = 0;

	g_assert_false(budget_ledger_is_expired(&record, 0, 1600000));
	g_assert_true(budget_ledger_is_expired(&record, 0, 86400000));
	budget_ledger_set(budgets, "p", &record, 1, 0);
	budget_retention_set(budgets, "p", 300000, 0);
	g_assert_cmpint(budget_grant_take(budgets, "p", 600, TURN_MAX, 0,
			    &value, &end, 0, 1000000),
	    ==, BUDGET_WRITE_LEDGER);
	record = (struct store_record){"p", value, strlen(value)};
	g_assert_false(budget_ledger_is_expired(&record, 1000, 1300000));
	g_assert_true(budget_ledger_is_expired(&record, 1000, 1700000));
	g_assert_false(budget_ledger_is_expired(&record, 600000, 1700000));
	budget_close(budgets);
	/* Another instance, which knows of a shorter one, keeps it. */
	budgets = budget_open("other", 60000);
	budget_retention_set(budgets, "p", 1000, 0);
	budget_ledger_set(budgets, "p", &record, 2, 0);
	g_assert_cmpint(budget_grant_take(budgets, "p", 600, TURN_MAX, 0, &next,
			    &end, 0, 1000000),
	    ==, BUDGET_WRITE_LEDGER);
	record = (struct store_record){"p", next, strlen(next)};
	g_assert_false(budget_ledger_is_expired(&record, 1000, 1300000));
	budget_close(budgets);
}

/*
 * A ledger with numbers that no instance writes neither grants more than its
 * budget nor expires.
 */
static void
test_odd_ledger(void)
{
	const char *const odd[] = {
	    "{\"budget\": 9223372036854775807, \"grants\": "
	    "{\"a\": 9223372036854775807, \"b\": 9223372036854775807}, "
	    "\"time\": -9223372036854775807}",
	    "{\"budget\": -9223372036854775807, \"grants\": "
	    "{\"a\": -9223372036854775807, \"s\": -9223372036854775807}, "
	    "\"time\": 9223372036854775807}",
	    "{\"budget\": 9223372036854775807, \"grants\": "
	    "{\"s\": 9223372036854775807}, \"time\": -1}"};

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		struct budgets *budgets = budget_open("s", 60000);
		struct store_record record = {"p", odd[i], strlen(odd[i])};
		g_autofree char *value = NULL;
		int64_t end = 0;

		g_assert_false(
		    budget_ledger_is_expired(&record, 60000, 1000000));
		budget_ledger_set(budgets, "p", &record, 1, 0);
		(void)budget_grant_take(budgets, "p", INT64_MAX, TURN_MAX,
		    TURN_MAX, &value, &end, 0, 1000000);
		g_free(budget_largest_holder(budgets, "p"));
		budget_close(budgets);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bgt/orders", test_orders);
	g_test_add_func("/bgt/orders-scarce", test_orders_scarce);
	g_test_add_func("/bgt/return-unsettled", test_return_unsettled);
	g_test_add_func("/bgt/orders-overdraft", test_orders_overdraft);
	g_test_add_func("/bgt/grant-ahead", test_grant_ahead);
	g_test_add_func("/bgt/overdraft", test_overdraft);
	g_test_add_func("/bgt/orders-unconditional", test_orders_unconditional);
	g_test_add_func("/bgt/moves", test_moved_program);
	g_test_add_func("/bgt/first-budget-binds", test_first_budget_binds);
	g_test_add_func("/bgt/forgotten", test_forgotten);
	g_test_add_func("/bgt/ledger-expiry", test_ledger_expiry);
	g_test_add_func("/bgt/ledger-retention", test_ledger_retention);
	g_test_add_func("/bgt/odd-ledger", test_odd_ledger);
	g_test_add_func("/bgt/expiry", test_expiry);
	return (g_test_run());
}
