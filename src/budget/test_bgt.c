/*
 * Budgets of programs over several sessions, with a store that refuses,
 * loses answers, carries appends out late, and sessions that die.
 */
#include <glib.h>
#include <string.h>

#include "budget/bgt.h"

#define SESSIONS 3
#define ORDERS	 20000
#define STEPS	 60
#define TURN_MAX 60

/* An append whose answer was lost and that may still be carried out. */
struct late {
	char *value;
	int64_t end;
};

struct world {
	GRand *rand;
	struct bgt *sessions[SESSIONS];
	int64_t running[SESSIONS]; /* reserved by the turn that runs */
	unsigned starts;
	char *ledger; /* nil: none */
	int64_t end;
	GPtrArray *late;
	int64_t budget;
	int64_t used; /* tokens handed to callers */
	unsigned turns;
	bool unconditional; /* a store that ignores the expected end */
	bool overdraws; /* sessions that find others silent now and then */
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

	w->sessions[i] = bgt_open(name, 60000);
	w->running[i] = 0;
}

/* Carry out an append if its condition holds. */
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
late_free(void *data)
{
	struct late *late = data;

	g_free(late->value);
	g_free(late);
}

/* One exchange with the store; its answer may be lost. */
static void
exchange_write(struct world *w, int i, const char *value, int64_t end)
{
	struct sto_record record = {"p", value, strlen(value)};

	if (chance(w, 0.1)) {
		bgt_ledger_forget(w->sessions[i], "p");
		return;
	}
	if (chance(w, 0.2)) {
		/* Done, not done, or done later; nobody is told. */
		if (chance(w, 0.5)) {
			(void)store_append(w, value, end);
		} else {
			struct late *late = g_new0(struct late, 1);

			late->value = g_strdup(value);
			late->end = end;
			g_ptr_array_add(w->late, late);
		}
		bgt_ledger_forget(w->sessions[i], "p");
		return;
	}
	if (store_append(w, value, end))
		bgt_ledger_set(w->sessions[i], "p", &record, w->end, 0);
	else
		bgt_ledger_forget(w->sessions[i], "p");
}

static void
exchange_read(struct world *w, int i)
{
	struct sto_record record = {
	    "p", w->ledger, w->ledger != NULL ? strlen(w->ledger) : 0};

	if (!chance(w, 0.1))
		bgt_ledger_set(w->sessions[i], "p",
		    w->ledger != NULL ? &record : NULL, w->end, 0);
}

static void
step_take(struct world *w, int i)
{
	g_autofree char *value = NULL;
	int64_t end = 0;
	int64_t overdraft = w->overdraws && chance(w, 0.5) ? TURN_MAX : 0;

	switch (bgt_take(w->sessions[i], "p", w->budget, TURN_MAX, overdraft,
	    &value, &end, 0, 0)) {
	case BGT_READ:
		exchange_read(w, i);
		break;
	case BGT_WRITE:
		exchange_write(w, i, value, end);
		break;
	case BGT_TAKEN:
	case BGT_NONE:
	case BGT_HELD:
		break;
	}
}

static void
step_return(struct world *w, int i)
{
	g_autofree char *value = NULL;
	int64_t end = 0;

	switch (bgt_return(w->sessions[i], "p", &value, &end, 0)) {
	case BGT_READ:
		exchange_read(w, i);
		break;
	case BGT_WRITE:
		exchange_write(w, i, value, end);
		break;
	default:
		break;
	}
}

static void
step(struct world *w)
{
	int i = g_rand_int_range(w->rand, 0, SESSIONS);

	if (w->late->len > 0 && chance(w, 0.2)) {
		guint which =
		    (guint)g_rand_int_range(w->rand, 0, (gint)w->late->len);
		const struct late *late = w->late->pdata[which];

		(void)store_append(w, late->value, late->end);
		(void)g_ptr_array_remove_index(w->late, which);
	}
	if (chance(w, 0.03)) {
		/* Tokens of the turn that ran may have reached the caller. */
		w->used += w->running[i];
		bgt_close(w->sessions[i]);
		session_start(w, i);
		return;
	}
	if (w->running[i] > 0) {
		int64_t used = g_rand_int_range(w->rand, 0, TURN_MAX + 1);

		bgt_settle(w->sessions[i], "p", w->running[i], used, 0);
		w->used += used;
		w->running[i] = 0;
		return;
	}
	if (chance(w, 0.3)) {
		step_return(w, i);
		return;
	}
	switch (bgt_reserve(w->sessions[i], "p", TURN_MAX, 0)) {
	case BGT_RUN:
		w->running[i] = TURN_MAX;
		w->turns++;
		break;
	case BGT_TAKE:
		step_take(w, i);
		break;
	case BGT_SPENT:
		break;
	}
}

/* Play an order of events; returns false if the budget was exceeded. */
static bool
play(guint32 seed, bool unconditional, bool overdraws, unsigned *turns)
{
	struct world w = {.rand = g_rand_new_with_seed(seed),
	    .budget = 600,
	    .unconditional = unconditional,
	    .overdraws = overdraws};
	int64_t most = w.budget + (overdraws ? TURN_MAX : 0);
	bool kept = true;

	w.late = g_ptr_array_new_with_free_func(late_free);
	for (int i = 0; i < SESSIONS; i++)
		session_start(&w, i);
	for (int n = 0; n < STEPS && kept; n++) {
		step(&w);
		kept = w.used <= most;
	}
	*turns += w.turns;
	for (int i = 0; i < SESSIONS; i++)
		bgt_close(w.sessions[i]);
	g_ptr_array_free(w.late, TRUE);
	g_free(w.ledger);
	g_rand_free(w.rand);
	return (kept);
}

/*
 * The property: tokens handed to callers never exceed the budget, in any
 * order of turns, exchanges, lost and late appends and deaths.
 */
static void
test_orders(void)
{
	unsigned turns = 0;

	for (guint32 seed = 1; seed <= ORDERS; seed++) {
		if (!play(seed, false, false, &turns))
			g_error("seed %u: budget exceeded", seed);
	}
	g_print("# figure: %d orders, %u turns, 0 above the budget\n", ORDERS,
	    turns);
	g_assert_cmpuint(turns, >, 2 * ORDERS);
}

/*
 * The property with sessions that take others for dead, rightly or not: one
 * turn more than the budget at most.
 */
static void
test_orders_overdraft(void)
{
	unsigned turns = 0;

	for (guint32 seed = 1; seed <= ORDERS; seed++) {
		if (!play(seed, false, true, &turns))
			g_error("seed %u: budget exceeded", seed);
	}
	g_print("# figure: %d orders, %u turns, 0 above the budget and one "
		"turn\n",
	    ORDERS, turns);
	g_assert_cmpuint(turns, >, 2 * ORDERS);
}

/* A session that died held all: one turn more, and no second one. */
static void
test_overdraft(void)
{
	struct bgt *dead = bgt_open("a/1", 60000);
	struct bgt *alive = bgt_open("b/1", 60000);
	struct sto_record record = {.key = "p"};
	char *value;
	int64_t end;

	bgt_ledger_set(dead, "p", NULL, 0, 0);
	g_assert_cmpint(
	    bgt_take(dead, "p", 100, TURN_MAX, 0, &value, &end, 0, 0), ==,
	    BGT_WRITE);
	record.value = value;
	record.len = strlen(value);
	bgt_ledger_set(alive, "p", &record, 1, 0);
	g_free(value);
	g_assert_cmpint(
	    bgt_take(alive, "p", 100, TURN_MAX, 0, &value, &end, 0, 0), ==,
	    BGT_HELD);
	g_assert_cmpint(
	    bgt_take(alive, "p", 100, TURN_MAX, TURN_MAX, &value, &end, 0, 0),
	    ==, BGT_WRITE);
	record.value = value;
	record.len = strlen(value);
	bgt_ledger_set(alive, "p", &record, 2, 0);
	g_free(value);
	g_assert_cmpint(bgt_reserve(alive, "p", TURN_MAX, 0), ==, BGT_RUN);
	bgt_settle(alive, "p", TURN_MAX, TURN_MAX, 0);
	g_assert_cmpint(
	    bgt_take(alive, "p", 100, TURN_MAX, TURN_MAX, &value, &end, 0, 0),
	    ==, BGT_HELD);
	bgt_close(dead);
	bgt_close(alive);
}

/* The property's check can fail: a store that appends unconditionally. */
static void
test_orders_unconditional(void)
{
	unsigned turns = 0;
	unsigned exceeded = 0;

	for (guint32 seed = 1; seed <= 2000; seed++)
		exceeded += !play(seed, true, false, &turns);
	g_assert_cmpuint(exceeded, >, 0);
}

/* A line that moves finds what the instance before it has given back. */
static void
test_moves(void)
{
	struct world w = {.rand = g_rand_new_with_seed(1), .budget = 120};
	g_autofree char *value = NULL;
	int64_t end = 0;

	w.late = g_ptr_array_new_with_free_func(late_free);
	for (int i = 0; i < 2; i++)
		session_start(&w, i);
	bgt_ledger_set(w.sessions[0], "p", NULL, 0, 0);
	g_assert_cmpint(
	    bgt_take(w.sessions[0], "p", 120, TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BGT_WRITE);
	g_assert_true(store_append(&w, value, end));
	bgt_ledger_set(w.sessions[0], "p",
	    &(struct sto_record){"p", w.ledger, strlen(w.ledger)}, w.end, 0);
	g_assert_cmpint(
	    bgt_reserve(w.sessions[0], "p", TURN_MAX, 0), ==, BGT_RUN);
	bgt_settle(w.sessions[0], "p", TURN_MAX, 20, 0);
	/* The other session finds all of it granted ... */
	bgt_ledger_set(w.sessions[1], "p",
	    &(struct sto_record){"p", w.ledger, strlen(w.ledger)}, w.end, 0);
	g_clear_pointer(&value, g_free);
	g_assert_cmpint(
	    bgt_take(w.sessions[1], "p", 120, TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BGT_HELD);
	/* ... until it is given back. */
	g_assert_cmpint(
	    bgt_return(w.sessions[0], "p", &value, &end, 0), ==, BGT_WRITE);
	g_assert_true(store_append(&w, value, end));
	g_clear_pointer(&value, g_free);
	bgt_ledger_set(w.sessions[1], "p",
	    &(struct sto_record){"p", w.ledger, strlen(w.ledger)}, w.end, 0);
	g_assert_cmpint(
	    bgt_take(w.sessions[1], "p", 120, TURN_MAX, 0, &value, &end, 0, 0),
	    ==, BGT_WRITE);
	for (int i = 0; i < 2; i++)
		bgt_close(w.sessions[i]);
	g_ptr_array_free(w.late, TRUE);
	g_free(w.ledger);
	g_rand_free(w.rand);
}

/* Guards against a later turn that states a larger budget. */
static void
test_first_budget_binds(void)
{
	struct bgt *bgt = bgt_open("s", 1000);
	const char *ledger = "{\"budget\":100,\"grants\":{\"old/1\":80}}";
	char *value = NULL;
	int64_t end = 0;

	bgt_ledger_set(
	    bgt, "p", &(struct sto_record){"p", ledger, strlen(ledger)}, 1, 0);
	g_assert_cmpint(
	    bgt_take(bgt, "p", 100000, TURN_MAX, 0, &value, &end, 0, 0), ==,
	    BGT_HELD);
	g_assert_null(value);
	bgt_close(bgt);
}

static void
test_expiry(void)
{
	struct bgt *bgt = bgt_open("s", 1000);

	g_assert_cmpint(bgt_reserve(bgt, "p", 10, 0), ==, BGT_TAKE);
	bgt_expire(bgt, 999);
	g_assert_cmpuint(bgt_programs(bgt), ==, 1);
	bgt_expire(bgt, 1000);
	g_assert_cmpuint(bgt_programs(bgt), ==, 0);
	bgt_close(bgt);
}

/* A ledger is kept for as long as its program can come back. */
static void
test_ledger_expiry(void)
{
	struct bgt *bgt = bgt_open("s", 60000);
	char *value = NULL;
	int64_t end = 0;
	struct sto_record record;

	bgt_ledger_set(bgt, "p", NULL, 0, 0);
	g_assert_cmpint(
	    bgt_take(bgt, "p", 600, TURN_MAX, 0, &value, &end, 0, 1000000), ==,
	    BGT_WRITE);
	record = (struct sto_record){"p", value, strlen(value)};
	g_assert_false(bgt_is_expired(&record, 60000, 1000000 + 60000));
	g_assert_true(bgt_is_expired(&record, 60000, 1000000 + 200000));
	g_free(value);
	bgt_close(bgt);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bgt/orders", test_orders);
	g_test_add_func("/bgt/orders-overdraft", test_orders_overdraft);
	g_test_add_func("/bgt/overdraft", test_overdraft);
	g_test_add_func("/bgt/orders-unconditional", test_orders_unconditional);
	g_test_add_func("/bgt/moves", test_moves);
	g_test_add_func("/bgt/first-budget-binds", test_first_budget_binds);
	g_test_add_func("/bgt/ledger-expiry", test_ledger_expiry);
	g_test_add_func("/bgt/expiry", test_expiry);
	return (g_test_run());
}
