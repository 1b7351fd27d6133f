/*
 * The budget of what callers hold, driven without a network.
 */
#include <glib.h>
#include <string.h>

#include "intake/intake.h"

#define MB	 ((size_t)1 << 20)
#define ORDERS	 200
#define CONNS	 60
#define STEPS	 3000
#define BODY_MAX (4 * MB)
#define READ	 ((size_t)16384)
#define STEP_MS	 50

static const struct intake_limits small = {6 * MB, 12 * MB, 24 * MB, 36 * MB};

/* The limits follow the memory, and an unknown one has those of a small one. */
static void
test_limits(void)
{
	struct intake_limits limits = intake_limits_of(96 * MB);

	g_assert_cmpuint(limits.total, ==, 48 * MB);
	g_assert_cmpuint(limits.answered, ==, 72 * MB);
	g_assert_cmpuint(limits.input, ==, 24 * MB);
	/* As much as there was before the budget. */
	g_assert_cmpuint(intake_limits_of(88 * MB).answers, >, 24 * MB);
	g_assert_cmpuint(
	    intake_limits_of(0).total, ==, intake_limits_of(88 * MB).total);
}

/* A body of the legal size is read while others fill the budget. */
static void
test_oldest_fits(void)
{
	struct intake *intake = intake_open(&small);
	struct intake_conn body = {0};
	struct intake_conn other = {0};

	intake_add(intake, &body, &body, 1, 10);
	intake_add(intake, &other, &other, 2, 10);
	intake_set(intake, &body, INTAKE_INPUT, MB);
	intake_set(intake, &other, INTAKE_INPUT, 7 * MB);
	g_assert_false(intake_may_read(intake, &other, 20));
	for (size_t len = MB; len <= BODY_MAX; len += READ) {
		g_assert_true(intake_may_read(intake, &body, 20));
		intake_set(intake, &body, INTAKE_INPUT, len);
	}
	intake_remove(intake, &body);
	intake_remove(intake, &other);
	g_assert_cmpuint(intake_total(intake), ==, 0);
	intake_close(intake);
}

/*
 * Under pressure the caller that sends nothing goes first, not the one that
 * sends slowly; without pressure nobody does.
 */
static void
test_progress(void)
{
	struct intake *intake = intake_open(&small);
	struct intake_conn stalled = {0};
	struct intake_conn slow = {0};
	struct intake_conn waiting = {0};
	enum intake_reason reason;

	intake_add(intake, &slow, &slow, 1, 10);
	intake_add(intake, &stalled, &stalled, 1, 10);
	intake_add(intake, &waiting, &waiting, 2, 10);
	intake_set(intake, &slow, INTAKE_INPUT, 4 * MB);
	intake_set(intake, &stalled, INTAKE_INPUT, 2 * MB);
	intake_received(&slow, 64 << 10);
	g_assert_null(intake_victim(intake, 1000, &reason));
	g_assert_false(intake_may_read(intake, &waiting, 1000));
	g_assert_true(intake_victim(intake, 1000, &reason) == &stalled);
	g_assert_cmpint(reason, ==, INTAKE_STALLED);
	intake_remove(intake, &stalled);
	g_assert_null(intake_victim(intake, 1000, &reason));
	g_assert_true(intake_may_read(intake, &waiting, 1000));
	intake_close(intake);
}

/* The caller with most unread answers goes, and only while they are too many.
 */
static void
test_unread(void)
{
	struct intake *intake = intake_open(&small);
	struct intake_conn most = {0};
	struct intake_conn less = {0};
	enum intake_reason reason;

	intake_add(intake, &less, &less, 1, 10);
	intake_add(intake, &most, &most, 1, 10);
	intake_set(intake, &less, INTAKE_ANSWER, 5 * MB);
	intake_set(intake, &most, INTAKE_ANSWER, 8 * MB);
	g_assert_true(intake_victim(intake, 10, &reason) == &most);
	g_assert_cmpint(reason, ==, INTAKE_UNREAD);
	intake_remove(intake, &most);
	g_assert_null(intake_victim(intake, 10, &reason));
	intake_close(intake);
}

/* Answers are bounded with all that is held beside them, too. */
static void
test_answered(void)
{
	struct intake *intake = intake_open(&small);
	struct intake_conn conn = {0};
	enum intake_reason reason;

	intake_add(intake, &conn, &conn, 1, 10);
	intake_set(intake, &conn, INTAKE_REQUEST, 23 * MB);
	g_assert_true(intake_answer_fits(intake, 0, 12 * MB));
	g_assert_false(intake_answer_fits(intake, MB, 12 * MB));
	intake_other_set(intake, 10 * MB);
	g_assert_false(intake_answer_fits(intake, 0, 4 * MB));
	intake_set(intake, &conn, INTAKE_ANSWER, 2 * MB);
	g_assert_null(intake_victim(intake, 10, &reason));
	intake_set(intake, &conn, INTAKE_ANSWER, 4 * MB);
	g_assert_true(intake_victim(intake, 10, &reason) == &conn);
	intake_remove(intake, &conn);
	intake_close(intake);
}

/* Of callers that stall, those of the address that holds most go first. */
static void
test_sources(void)
{
	struct intake *intake = intake_open(&small);
	struct intake_conn alone = {0};
	struct intake_conn many[8] = {0};
	struct intake_conn waiting = {0};
	enum intake_reason reason;

	intake_add(intake, &alone, &alone, 1, 10);
	intake_set(intake, &alone, INTAKE_INPUT, 2 * MB);
	for (size_t i = 0; i < G_N_ELEMENTS(many); i++) {
		intake_add(intake, &many[i], &many[i], 2, 10);
		intake_set(intake, &many[i], INTAKE_INPUT, MB);
	}
	intake_add(intake, &waiting, &waiting, 3, 10);
	g_assert_false(intake_may_read(intake, &waiting, 1000));
	g_assert_true(intake_victim(intake, 1000, &reason) != &alone);
	for (size_t i = 0; i < G_N_ELEMENTS(many); i++)
		intake_remove(intake, &many[i]);
	g_assert_true(intake_victim(intake, 1000, &reason) == &alone);
	intake_remove(intake, &alone);
	intake_remove(intake, &waiting);
	g_assert_cmpuint(intake_total(intake), ==, 0);
	intake_close(intake);
}

/* A copy fits where there is room, and for the only request always. */
static void
test_fits(void)
{
	struct intake *intake = intake_open(&small);
	struct intake_conn conn = {0};

	intake_add(intake, &conn, &conn, 1, 10);
	intake_set(intake, &conn, INTAKE_REQUEST, 23 * MB);
	g_assert_true(intake_fits(intake, 4 * MB, 0));
	intake_other_set(intake, MB);
	g_assert_true(intake_fits(intake, 4 * MB, MB));
	g_assert_false(intake_fits(intake, 4 * MB, 0));
	intake_set(intake, &conn, INTAKE_REQUEST, 10 * MB);
	g_assert_true(intake_fits(intake, 4 * MB, 0));
	intake_remove(intake, &conn);
	intake_close(intake);
}

struct caller {
	struct intake_conn conn;
	size_t len; /* of its body */
	size_t stop; /* where it stops sending */
	size_t sent;
	bool is_open;
};

static void
caller_begin(
    struct intake *intake, struct caller *caller, GRand *rand, clk_ms now)
{
	memset(caller, 0, sizeof(*caller));
	caller->len = (size_t)g_rand_int_range(rand, 1, (gint32)BODY_MAX);
	caller->stop = g_rand_boolean(rand) ? caller->len : caller->len - 1;
	caller->is_open = true;
	intake_add(intake, &caller->conn, caller, 1, now);
	intake_begin(intake, &caller->conn, now);
}

static void
caller_step(struct intake *intake, struct caller *caller, clk_ms now)
{
	size_t n;

	if (caller->conn.paused > 0)
		return;
	n = MIN(READ, caller->stop - caller->sent);
	if (n == 0 || !intake_may_read(intake, &caller->conn, now))
		return;
	caller->sent += n;
	intake_received(&caller->conn, n);
	intake_set(intake, &caller->conn, INTAKE_INPUT, caller->sent);
}

/*
 * Random callers, half of whom stop short: what they hold is within the
 * limits, and bodies go on to be completed.  Without the budget the same
 * callers exceed them.
 */
static void
run_orders(guint32 seed, bool has_budget, size_t *peak, unsigned *complete)
{
	struct intake *intake = intake_open(&small);
	GRand *rand = g_rand_new_with_seed(seed);
	struct caller callers[CONNS] = {0};
	enum intake_reason reason;
	struct intake_conn *conn;

	for (int step = 0; step < STEPS; step++) {
		struct caller *caller =
		    &callers[g_rand_int_range(rand, 0, CONNS)];
		clk_ms now = 1 + step * STEP_MS / 10;
		size_t promised = 0;

		if (!caller->is_open)
			caller_begin(intake, caller, rand, now);
		for (int i = 0; i < 8; i++) {
			if (!has_budget)
				caller->conn.paused = 0;
			caller_step(intake, caller, now);
			if (!has_budget && caller->sent < caller->stop)
				intake_set(intake, &caller->conn, INTAKE_INPUT,
				    caller->sent =
					MIN(caller->sent + READ, caller->stop));
		}
		*peak = MAX(*peak, intake_held(intake, INTAKE_INPUT));
		if (caller->sent == caller->len) {
			(*complete)++;
			intake_remove(intake, &caller->conn);
			caller->is_open = false;
		}
		while (has_budget && step % 10 == 0 &&
		    (conn = intake_victim(intake, now, &reason)) != NULL) {
			intake_remove(intake, conn);
			((struct caller *)conn->owner)->is_open = false;
		}
		while (has_budget && step % 10 == 0 &&
		    intake_resume(intake, &promised, now) != NULL)
			continue;
	}
	g_rand_free(rand);
	intake_close(intake);
}

static void
test_orders(void)
{
	guint32 seed = g_test_rand_int();
	size_t bound = small.input + BODY_MAX + READ;
	size_t unbounded = 0;
	unsigned ignored = 0;

	g_print("# seed %u, %d orders\n", seed, ORDERS);
	for (guint32 i = 0; i < ORDERS; i++) {
		size_t peak = 0;
		unsigned complete = 0;

		run_orders(seed + i, true, &peak, &complete);
		g_assert_cmpuint(peak, <=, bound);
		g_assert_cmpuint(complete, >, 0);
	}
	run_orders(seed, false, &unbounded, &ignored);
	g_assert_cmpuint(unbounded, >, bound);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/intake/limits", test_limits);
	g_test_add_func("/intake/oldest-fits", test_oldest_fits);
	g_test_add_func("/intake/progress", test_progress);
	g_test_add_func("/intake/unread", test_unread);
	g_test_add_func("/intake/answered", test_answered);
	g_test_add_func("/intake/sources", test_sources);
	g_test_add_func("/intake/fits", test_fits);
	g_test_add_func("/intake/orders", test_orders);
	return (g_test_run());
}
