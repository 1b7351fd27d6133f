/*
 * What calls of the store say about it, and the order and pace of the requests
 * that wait for it.
 */
#include <glib.h>
#include <string.h>

#include "outage/hold.h"
#include "outage/outage.h"

static const struct store_partition one = {STORE_TURNS, 1};
static const struct store_partition two = {STORE_TURNS, 2};
static const struct store_partition three = {STORE_TURNS, 3};
static const struct store_partition ledger = {STORE_BUDGETS, 1};

/* A call with this outcome. */
static void
call(struct outage *outage, const struct store_partition *partition,
    enum store_status status, clk_ms from, clk_ms until)
{
	outage_call_end(
	    outage, outage_call_begin(outage, partition, from), status, until);
}

/*
 * Guards against requests that are delayed while the store works: answers that
 * take 200 ms, one lost and one refused call among others that are answered.
 */
static void
test_healthy(void)
{
	struct outage *outage = outage_open(0);
	struct outage_call *lost;

	for (clk_ms now = 0; now < 5000; now += 100) {
		lost = outage_call_begin(outage, &two, now);
		g_assert_cmpint(outage_verdict(outage, &one, now + 200), ==,
		    OUTAGE_ANSWERS);
		outage_call_end(outage, lost, STORE_OK, now + 200);
	}
	lost = outage_call_begin(outage, &two, 6000);
	for (clk_ms now = 6010; now < 6400; now += 10) {
		call(outage, &three, STORE_OK, now - 5, now);
		g_assert_cmpint(
		    outage_verdict(outage, &one, now), ==, OUTAGE_ANSWERS);
		/* Of its own partition it is not known. */
		g_assert_cmpint(outage_verdict(outage, &two, now), ==,
		    now - 6000 < OUTAGE_OVERDUE_MS ? OUTAGE_ANSWERS
						   : OUTAGE_UNKNOWN);
	}
	outage_call_end(outage, lost, STORE_UNKNOWN, 6400);
	call(outage, &three, STORE_OK, 6395, 6400);
	g_assert_cmpint(outage_verdict(outage, &one, 6400), ==, OUTAGE_ANSWERS);
	call(outage, &two, STORE_CONFLICT, 6400, 6405);
	g_assert_cmpint(outage_verdict(outage, &two, 6405), ==, OUTAGE_ANSWERS);
	outage_close(outage);
}

/*
 * Guards against an outage that is noticed only when calls time out, and one
 * that is not noticed because no call is made: the readers fall silent too.
 */
static void
test_silent(void)
{
	struct outage *outage = outage_open(0);
	struct outage_call *first, *second;

	outage_reader_report(outage, true, 1000);
	g_assert_cmpint(outage_verdict(outage, &one, 1700), ==, OUTAGE_ANSWERS);
	g_assert_cmpint(outage_verdict(outage, &one, 1900), ==, OUTAGE_UNKNOWN);
	outage_reader_report(outage, true, 2000);
	first = outage_call_begin(outage, &one, 2100);
	second = outage_call_begin(outage, &ledger, 2150);
	g_assert_cmpint(
	    outage_verdict(outage, &three, 2340), ==, OUTAGE_ANSWERS);
	g_assert_cmpint(
	    outage_verdict(outage, &three, 2360), ==, OUTAGE_UNKNOWN);
	g_assert_cmpint(outage_verdict(outage, &three, 2400), ==, OUTAGE_FAILS);
	g_assert_cmpint(outage_store_verdict(outage, 2400), ==, OUTAGE_FAILS);
	outage_call_end(outage, first, STORE_UNKNOWN, 2500);
	outage_call_end(outage, second, STORE_UNKNOWN, 2550);
	outage_reader_report(outage, false, 2900);
	g_assert_cmpint(outage_verdict(outage, &three, 2900), ==, OUTAGE_FAILS);
	/* It answers again, and then doesn't. */
	outage_reader_report(outage, true, 3000);
	g_assert_cmpint(
	    outage_verdict(outage, &three, 3000), ==, OUTAGE_ANSWERS);
	g_assert_cmpint(outage_verdict(outage, &one, 3000), ==, OUTAGE_UNKNOWN);
	call(outage, &one, STORE_OK, 3000, 3005);
	g_assert_cmpint(outage_verdict(outage, &one, 3005), ==, OUTAGE_ANSWERS);
	call(outage, &one, STORE_REFUSED, 3100, 3101);
	call(outage, &two, STORE_REFUSED, 3100, 3101);
	g_assert_cmpint(outage_verdict(outage, &three, 3101), ==, OUTAGE_FAILS);
	outage_close(outage);
}

/*
 * Guards against one partition that stops the others, and against a topic of
 * which each partition has to fail by itself: a space that refuses two of its
 * partitions and answers none fails, the other spaces don't.
 */
static void
test_partitions(void)
{
	struct outage *outage = outage_open(0);

	for (clk_ms now = 0; now < 3000; now += 100) {
		call(outage, &one, STORE_REFUSED, now, now);
		call(outage, &ledger, STORE_OK, now, now + 10);
		call(outage, &two, STORE_OK, now, now + 10);
		/* Also in the moments in which no other call was answered. */
		call(outage, &one, STORE_REFUSED, now + 20, now + 20);
		g_assert_cmpint(
		    outage_verdict(outage, &one, now + 20), ==, OUTAGE_FAILS);
		g_assert_cmpint(outage_verdict(outage, &three, now + 20), ==,
		    OUTAGE_ANSWERS);
	}
	call(outage, &one, STORE_OK, 3000, 3001);
	g_assert_cmpint(outage_verdict(outage, &one, 3001), ==, OUTAGE_ANSWERS);
	call(outage, &one, STORE_REFUSED, 4000, 4001);
	call(outage, &two, STORE_REFUSED, 4000, 4001);
	call(outage, &ledger, STORE_OK, 4000, 4002);
	g_assert_cmpint(outage_verdict(outage, &three, 4002), ==, OUTAGE_FAILS);
	g_assert_cmpint(
	    outage_verdict(outage, &ledger, 4002), ==, OUTAGE_ANSWERS);
	/* A failure that nobody has seen again for long says nothing. */
	outage_reader_report(outage, true, 20000);
	g_assert_cmpint(
	    outage_verdict(outage, &one, 20000), ==, OUTAGE_ANSWERS);
	outage_close(outage);
}

static bool
is_true(void *arg)
{
	(void)arg;
	return (true);
}

static bool
is_not_blocked(void *arg)
{
	return (strcmp(arg, "blocked") != 0);
}

static void
add(struct hold *hold, const char *name, clk_ms program_deadline)
{
	const struct hold_request request = {.route = "r",
	    .deadline = 10000,
	    .timeout = 3000,
	    .program_deadline = program_deadline,
	    .bytes = 10,
	    .arg = (void *)name};

	g_assert_nonnull(hold_add(hold, &request, 0));
}

static void
expect_next(
    struct hold *hold, hold_is_ready *ready, clk_ms now, const char *name)
{
	struct hold_entry *entry = hold_next(hold, ready, now);

	g_assert_nonnull(entry);
	g_assert_cmpstr(hold_arg(entry), ==, name);
	hold_remove(hold, entry);
}

/*
 * Guards against programs that end late because others were sent first that
 * are late anyway or have more time, and a request that blocks the others.
 */
static void
test_order(void)
{
	struct hold *hold = hold_open(10, 1000);

	add(hold, "late", 1100);
	add(hold, "blocked", 1900);
	add(hold, "later", 9000);
	add(hold, "soon", 2000);
	add(hold, "none", 0);
	/* A turn takes 800 ms as long as nothing is known. */
	expect_next(hold, is_not_blocked, 1000, "soon");
	expect_next(hold, is_not_blocked, 1000, "later");
	expect_next(hold, is_not_blocked, 1000, "none");
	expect_next(hold, is_not_blocked, 1000, "late");
	g_assert_null(hold_next(hold, is_not_blocked, 1000));
	expect_next(hold, is_true, 1000, "blocked");
	hold_close(hold);
}

/* Guards against an instance that fills its memory with what waits. */
static void
test_bounds(void)
{
	struct hold *hold = hold_open(3, 1000);
	struct hold_request request = {
	    .route = "r", .deadline = 10000, .timeout = 3000, .bytes = 400};
	struct hold_entry *first = hold_add(hold, &request, 0);

	g_assert_nonnull(first);
	g_assert_nonnull(hold_add(hold, &request, 0));
	g_assert_null(hold_add(hold, &request, 0));
	request.bytes = SIZE_MAX;
	g_assert_null(hold_add(hold, &request, 0));
	request.bytes = 0;
	g_assert_nonnull(hold_add(hold, &request, 0));
	g_assert_null(hold_add(hold, &request, 0));
	hold_remove(hold, first);
	g_assert_cmpuint(hold_bytes(hold), ==, 400);
	g_assert_nonnull(hold_add(hold, &request, 0));
	hold_close(hold);
}

/*
 * Guards against requests that wait until they can't end in time, or are given
 * up although they could: the time is that which the route takes.
 */
static void
test_latest(void)
{
	struct hold *hold = hold_open(10, 1000);
	const struct hold_request request = {
	    .route = "r", .deadline = 3000, .timeout = 3000};
	const struct hold_request small = {
	    .route = "s", .deadline = 400, .timeout = 400};

	g_assert_false(hold_is_too_late(hold, &request, 2000));
	g_assert_true(hold_is_too_late(hold, &request, 2300));
	/* At first half of the timeout. */
	g_assert_false(hold_is_too_late(hold, &small, 100));
	g_assert_true(hold_is_too_late(hold, &small, 160));
	for (int i = 0; i < 100; i++)
		hold_duration_record(hold, "r", 300);
	g_assert_false(hold_is_too_late(hold, &request, 2600));
	g_assert_nonnull(hold_add(hold, &request, 1000));
	g_assert_null(hold_expired(hold, 2600));
	g_assert_nonnull(hold_expired(hold, 2700));
	for (int i = 0; i < 100; i++)
		hold_duration_record(hold, "r", i % 2 == 0 ? 800 : 1200);
	g_assert_true(hold_is_too_late(hold, &request, 2000));
	g_assert_cmpint(hold_duration(hold, "r", 3000), <, 1500);
	hold_close(hold);
}

/*
 * Guards against a stream that waits until its caller abandons it for want of
 * a first event, although the attempt would have more time.
 */
static void
test_first_event(void)
{
	struct hold *hold = hold_open(4, 1000);
	const struct hold_request request = {.route = "r",
	    .deadline = 3000,
	    .timeout = 3000,
	    .first_event_by = 2000};

	hold_duration_record(hold, "r", 300);
	g_assert_false(hold_is_too_late(hold, &request, 1500));
	g_assert_true(hold_is_too_late(hold, &request, 1800));
	hold_close(hold);
}

/*
 * Guards against all instances that send at once what waits when the store
 * returns, and against a delay of requests that waited for a moment only.
 */
static void
test_pace(void)
{
	static const unsigned counts[] = {1, 7, 40, 200};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct hold *hold = hold_open(1000, 1000);
		const struct hold_request request = {
		    .route = "r", .deadline = 10000, .timeout = 3000};
		double total = 0;

		for (unsigned n = 0; n < counts[i]; n++)
			g_assert_nonnull(hold_add(hold, &request, 0));
		g_assert_cmpint(hold_release_begin(hold, 1.0, 100), ==, 0);
		g_assert_cmpint(hold_pace(hold, 1.0), ==, 0);
		g_assert_cmpint(hold_release_begin(hold, 1.0, 3000), <=, 100);
		for (unsigned n = 0; n < counts[i]; n++)
			total += (double)hold_pace(hold, 0.5);
		g_assert_cmpfloat(total, <=, 500);
		g_assert_cmpfloat(total, >=, MIN(counts[i] * 50, 399));
		hold_close(hold);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outage/healthy", test_healthy);
	g_test_add_func("/outage/silent", test_silent);
	g_test_add_func("/outage/partitions", test_partitions);
	g_test_add_func("/outage/order", test_order);
	g_test_add_func("/outage/bounds", test_bounds);
	g_test_add_func("/outage/latest", test_latest);
	g_test_add_func("/outage/first-event", test_first_event);
	g_test_add_func("/outage/pace", test_pace);
	return (g_test_run());
}
