/*
 * The table of upstreams: who may get a call, windows, failures, the order by
 * waiting time and the prefix index.
 */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "upstream/heap.h"
#include "upstream/ups.h"

static const struct ups_handle nobody = {0};

static struct ups *
open_table(void)
{
	struct ups_options options = {.datacentre = "d1"};

	return (ups_open(&options));
}

static struct ups_handle
add(struct ups *ups, const char *name, double speed)
{
	const char *models[] = {"m", NULL};
	struct ups_config config = {.name = name,
	    .url = "http://127.0.0.1:1",
	    .datacentre = "d1",
	    .models = models,
	    .speed = speed};

	return (ups_set(ups, &config));
}

static uint32_t
pool_of(const struct ups *ups)
{
	return (ups_pool_find(ups, UPS_MODEL, "m"));
}

static struct ups_view
view_of(const struct ups *ups, struct ups_handle handle, clk_ms now)
{
	struct ups_view view;

	g_assert_true(ups_view(ups, handle, now, &view));
	return (view);
}

/* One call that ends after first_token ms. */
static void
run_call(
    struct ups *ups, struct ups_handle handle, clk_ms first_token, clk_ms now)
{
	struct ups_reply reply = {.first_token = first_token,
	    .token_gap = 10,
	    .prompt_tokens = 800,
	    .answer_tokens = 10};

	ups_begin(ups, handle, 800);
	ups_prefilled(ups, handle, 800);
	ups_end(ups, handle, 0.0, &reply, now);
}

static bool
is_equal(struct ups_handle a, struct ups_handle b)
{
	return (a.index == b.index && a.generation == b.generation);
}

/* Guards against a heap that loses or misorders items after removals. */
static void
test_heap(void)
{
	enum { COUNT = 300, STEPS = 20000 };
	struct ups_heap heap;
	struct ups_heap_item items[COUNT] = {{0}};
	GRand *rand = g_rand_new_with_seed(11);

	ups_heap_init(&heap);
	for (int step = 0; step < STEPS; step++) {
		struct ups_heap_item *item =
		    &items[g_rand_int_range(rand, 0, COUNT)];
		double key = g_rand_int_range(rand, 0, 50);
		const struct ups_heap_item *least = NULL;
		unsigned count = 0;

		item->tie = (uint64_t)(item - items);
		if (item->place == 0)
			ups_heap_push(&heap, item, key);
		else if (g_rand_boolean(rand))
			ups_heap_remove(&heap, item);
		else
			ups_heap_rekey(&heap, item, key);
		for (int i = 0; i < COUNT; i++) {
			if (items[i].place == 0)
				continue;
			count++;
			if (least == NULL || items[i].key < least->key)
				least = &items[i];
		}
		g_assert_cmpuint(ups_heap_count(&heap), ==, count);
		g_assert_true(ups_heap_top(&heap) == least);
	}
	ups_heap_clear(&heap);
	g_rand_free(rand);
}

/* Guards against more calls at an upstream than its window allows. */
static void
test_window(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 10000);
	clk_ms now = 1000;
	double window;

	for (int i = 0; i < 4; i++) {
		g_assert_true(ups_is_open(ups, a));
		ups_begin(ups, a, 100);
	}
	g_assert_false(ups_is_open(ups, a));
	g_assert_cmpuint(ups_pool_open(ups, pool_of(ups)), ==, 0);
	for (int i = 0; i < 4; i++) {
		ups_prefilled(ups, a, 100);
		ups_cancelled(ups, a);
	}
	g_assert_true(ups_is_open(ups, a));
	for (int i = 0; i < 20; i++)
		run_call(ups, a, 100, now);
	window = view_of(ups, a, now).window;
	g_assert_cmpfloat(window, >, 6.0);
	/* Calls that are late together shrink it once. */
	for (int i = 0; i < 5; i++)
		run_call(ups, a, 5000, now);
	g_assert_cmpfloat(
	    fabs(view_of(ups, a, now).window - window * 0.7), <, 1.0);
	for (int i = 0; i < 50; i++)
		run_call(ups, a, 5000000, now + i * 1001);
	g_assert_cmpfloat(view_of(ups, a, now).window, ==, 1.0);
	ups_close(ups);
}

/* Guards against instances that together exceed an engine's capacity. */
static void
test_window_shares_capacity(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 10000);
	struct ups_load load = {.capacity = 9, .age = 100};

	ups_share_set(ups, 4);
	ups_load_set(ups, a, &load, 1000);
	g_assert_cmpfloat(view_of(ups, a, 1000).window, ==, 2.0);
	g_assert_cmpint(view_of(ups, a, 1000).load_age, ==, 100);
	ups_share_set(ups, 100);
	g_assert_cmpfloat(view_of(ups, a, 1000).window, ==, 1.0);
	/* A report that has grown old says nothing. */
	ups_tick(ups, 1000 + 6000);
	g_assert_cmpint(view_of(ups, a, 7000).load_age, ==, -1);
	g_assert_cmpfloat(view_of(ups, a, 7000).window, ==, 4.0);
	/* Nor does one that was old when it arrived, or was overtaken. */
	load.age = 5001;
	ups_load_set(ups, a, &load, 8000);
	g_assert_cmpint(view_of(ups, a, 8000).load_age, ==, -1);
	load.age = 10;
	load.waiting = 7;
	ups_load_set(ups, a, &load, 8000);
	load.age = 500;
	load.waiting = 0;
	ups_load_set(ups, a, &load, 8001);
	g_assert_cmpfloat(view_of(ups, a, 8001).queue_tokens, >, 0.0);
	ups_close(ups);
}

/* P12: guards against new work for an upstream that is leaving. */
static void
test_leaving(void)
{
	const char *models[] = {"m", NULL};
	struct ups_config config = {.name = "a", .models = models};
	struct ups *ups = open_table();
	struct ups_handle a = ups_set(ups, &config);
	double wait;

	ups_hint(ups, "a", true);
	g_assert_cmpint(view_of(ups, a, 0).state, ==, UPS_LEAVING);
	g_assert_cmpuint(
	    ups_pool_least_wait(ups, pool_of(ups), 1, nobody, &wait).generation,
	    ==, 0);
	ups_hint(ups, "a", false);
	g_assert_true(ups_is_open(ups, a));
	/* A hint that lags does not undo the configuration. */
	config.leaving = true;
	(void)ups_set(ups, &config);
	ups_hint(ups, "a", true);
	ups_hint(ups, "a", false);
	g_assert_false(ups_is_open(ups, a));
	g_assert_cmpuint(ups_pool_members(ups, pool_of(ups)), ==, 0);
	ups_close(ups);
}

/* A removed upstream finishes its calls; its handle is not reused for it. */
static void
test_remove(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 10000);
	struct ups_handle b;
	struct ups_view view;

	ups_begin(ups, a, 10);
	ups_remove(ups, "a");
	g_assert_cmpint(view_of(ups, a, 0).state, ==, UPS_LEAVING);
	ups_prefilled(ups, a, 10);
	ups_cancelled(ups, a);
	g_assert_false(ups_view(ups, a, 0, &view));
	b = add(ups, "b", 10000);
	g_assert_false(is_equal(a, b));
	g_assert_false(ups_view(ups, a, 0, &view));
	/* Late events for a handle that is gone have no effect. */
	ups_begin(ups, a, 10);
	ups_fail(ups, a, UPS_CRASHED, 0);
	ups_cache_event(ups, a, 1, true, "p", 10);
	g_assert_true(ups_is_open(ups, b));
	g_assert_cmpuint(ups_count(ups), ==, 1);
	ups_close(ups);
}

/* Guards against a flood of calls to an upstream that comes back. */
static void
test_down_and_probe(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 10000);
	clk_ms now = 1000;

	/* The calls in progress fail together; that is one failure. */
	for (int i = 0; i < 3; i++)
		ups_begin(ups, a, 10);
	for (int i = 0; i < 3; i++) {
		ups_prefilled(ups, a, 10);
		ups_fail(ups, a, UPS_CRASHED, now);
	}
	g_assert_cmpint(view_of(ups, a, now).state, ==, UPS_DOWN);
	ups_tick(ups, now + 999);
	g_assert_cmpint(view_of(ups, a, now).state, ==, UPS_DOWN);
	now += 1000;
	ups_tick(ups, now);
	g_assert_cmpfloat(view_of(ups, a, now).window, ==, 1.0);
	ups_begin(ups, a, 10);
	g_assert_false(ups_is_open(ups, a));
	ups_prefilled(ups, a, 10);
	ups_fail(ups, a, UPS_REFUSED, now);
	ups_tick(ups, now + 1500);
	g_assert_cmpint(view_of(ups, a, now).state, ==, UPS_DOWN);
	now += 2000;
	ups_tick(ups, now);
	run_call(ups, a, 100, now);
	g_assert_true(ups_is_open(ups, a));
	/* An upstream that hangs is found out by its timeouts. */
	for (int i = 0; i < 3; i++) {
		g_assert_true(ups_is_open(ups, a));
		ups_begin(ups, a, 10);
		ups_prefilled(ups, a, 10);
		ups_fail(ups, a, UPS_TIMED_OUT, now);
	}
	g_assert_cmpint(view_of(ups, a, now).state, ==, UPS_DOWN);
	ups_close(ups);
}

static double
least_wait_by_scan(const struct ups *ups, int64_t tokens)
{
	double least = INFINITY;

	for (unsigned i = 0; i < ups_count(ups); i++) {
		struct ups_handle handle = ups_at(ups, i);

		if (ups_is_open(ups, handle) &&
		    ups_in_pool(ups, handle, pool_of(ups)))
			least = MIN(least, ups_wait(ups, handle, tokens));
	}
	return (least);
}

/*
 * Guards against heaps that fall out of step with the table: after each of
 * many random changes the choice has to be the one that a scan finds.  Speeds
 * are powers of two, for which the choice is exact.
 */
static void
test_least_wait_equals_scan(void)
{
	enum { COUNT = 60, STEPS = 20000 };
	struct ups *ups = open_table();
	GRand *rand = g_rand_new_with_seed(7);
	unsigned running[COUNT] = {0};
	clk_ms now = 0;

	for (int step = 0; step < STEPS; step++) {
		int i = g_rand_int_range(rand, 0, COUNT);
		g_autofree char *name = g_strdup_printf("u%d", i);
		struct ups_handle handle = ups_find(ups, name);
		int64_t tokens = g_rand_int_range(rand, 0, 50000);
		struct ups_load load = {
		    .waiting = (unsigned)g_rand_int_range(rand, 0, 5),
		    .capacity = 8};
		unsigned open = 0;
		double wait, scan;

		now += 10;
		if (handle.generation == 0) {
			handle = add(ups, name, (double)(1024 << (i % 6)));
			running[i] = 0;
		}
		switch (g_rand_int_range(rand, 0, 7)) {
		case 0:
		case 1:
			if (!ups_is_open(ups, handle))
				break;
			ups_begin(ups, handle, 1000);
			running[i]++;
			break;
		case 2:
			if (running[i] == 0)
				break;
			running[i]--;
			ups_prefilled(ups, handle, 1000);
			ups_cancelled(ups, handle);
			break;
		case 3:
			if (running[i] == 0)
				break;
			running[i]--;
			ups_prefilled(ups, handle, 1000);
			ups_fail(ups, handle, UPS_CRASHED, now);
			break;
		case 4:
			ups_hint(ups, name, g_rand_boolean(rand));
			break;
		case 5:
			ups_load_set(ups, handle, &load, now);
			break;
		default:
			if (running[i] == 0)
				ups_remove(ups, name);
			break;
		}
		ups_tick(ups, now);
		for (unsigned k = 0; k < ups_count(ups); k++)
			open += ups_is_open(ups, ups_at(ups, k));
		g_assert_cmpuint(ups_pool_open(ups, pool_of(ups)), ==, open);
		scan = least_wait_by_scan(ups, tokens);
		handle = ups_pool_least_wait(
		    ups, pool_of(ups), tokens, nobody, &wait);
		if (open == 0)
			g_assert_cmpuint(handle.generation, ==, 0);
		else
			g_assert_cmpfloat(fabs(wait - scan), <, 1e-6);
	}
	g_rand_free(rand);
	ups_close(ups);
}

/* Local members are preferred by the penalty, not at any price. */
static void
test_remote_penalty(void)
{
	const char *models[] = {"m", NULL};
	struct ups_config config = {.name = "far",
	    .datacentre = "d2",
	    .models = models,
	    .speed = 10000};
	struct ups *ups = open_table();
	struct ups_handle near = add(ups, "near", 10000);
	struct ups_handle far = ups_set(ups, &config);
	double wait;

	g_assert_true(is_equal(
	    ups_pool_least_wait(ups, pool_of(ups), 100, nobody, &wait), near));
	ups_begin(ups, near, 1000);
	g_assert_true(is_equal(
	    ups_pool_least_wait(ups, pool_of(ups), 100, nobody, &wait), far));
	/* An upstream to be avoided is still better than none. */
	ups_hint(ups, "near", true);
	g_assert_true(is_equal(
	    ups_pool_least_wait(ups, pool_of(ups), 100, far, &wait), far));
	ups_close(ups);
}

static void
test_overload_bound(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 10000);

	for (int i = 0; i < 9; i++) {
		g_autofree char *name = g_strdup_printf("b%d", i);
		struct ups_handle b = add(ups, name, 10000);

		for (int k = 0; k < 3; k++)
			ups_begin(ups, b, 10);
	}
	/* 27 calls at 10 upstreams: a's part grows to 3 and at most 4. */
	for (int i = 0; i < 4; i++) {
		g_assert_false(ups_is_overloaded(ups, a, pool_of(ups), 1.25));
		ups_begin(ups, a, 10);
	}
	g_assert_true(ups_is_overloaded(ups, a, pool_of(ups), 1.25));
	ups_close(ups);
}

static int64_t
cached_at(const struct ups *ups, const char *program, struct ups_handle handle)
{
	struct ups_holder holders[8];
	size_t count = ups_program_holders(ups, program, holders, 8);

	for (size_t i = 0; i < count; i++) {
		if (is_equal(holders[i].upstream, handle))
			return (holders[i].tokens);
	}
	return (-1);
}

/* Guards against estimates that lost or repeated events leave too high. */
static void
test_prefix_index(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 10000);
	struct ups_handle b = add(ups, "b", 10000);

	ups_cache_event(ups, a, 1, true, "unknown", 100);
	g_assert_cmpint(cached_at(ups, "unknown", a), ==, -1);
	ups_program_hold(ups, "p", a);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 0);
	ups_cache_event(ups, a, 2, true, "p", 100);
	ups_cache_event(ups, a, 3, true, "p", 50);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 150);
	/* The reply counts what late insert events will tell again. */
	ups_program_cached(ups, "p", a, 400);
	ups_cache_event(ups, a, 4, true, "p", 250);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 400);
	ups_cache_event(ups, a, 5, false, "p", 100);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 300);
	/* Event 6 is missing: it may have been an eviction. */
	ups_cache_event(ups, a, 7, true, "q", 10);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 150);
	ups_program_cached(ups, "p", a, 500);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 500);
	/* A crash empties the cache; the record for the release remains. */
	ups_program_hold(ups, "p", b);
	ups_begin(ups, a, 1);
	ups_prefilled(ups, a, 1);
	ups_fail(ups, a, UPS_CRASHED, 0);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 0);
	ups_cache_event(ups, a, 1, true, "p", 30);
	g_assert_cmpint(cached_at(ups, "p", a), ==, 30);
	g_assert_cmpint(cached_at(ups, "p", b), ==, 0);
	ups_program_forget(ups, "p");
	g_assert_cmpint(cached_at(ups, "p", a), ==, -1);
	ups_close(ups);
}

/* Guards against a holder that is crowded out by newer, empty ones. */
static void
test_holders_by_tokens(void)
{
	struct ups *ups = open_table();
	struct ups_holder holders[2];

	for (int i = 0; i < 10; i++) {
		g_autofree char *name = g_strdup_printf("u%d", i);

		ups_program_cached(
		    ups, "p", add(ups, name, 1000), i == 3 ? 500 : i);
	}
	g_assert_cmpuint(ups_program_holders(ups, "p", holders, 2), ==, 10);
	g_assert_cmpint(holders[0].tokens, ==, 500);
	g_assert_cmpint(holders[1].tokens, ==, 9);
	g_assert_cmpuint(ups_program_holders(ups, "p", NULL, 0), ==, 10);
	ups_close(ups);
}

/* The measured speed follows the engine, so that slow ones get less. */
static void
test_speed(void)
{
	struct ups *ups = open_table();
	struct ups_handle a = add(ups, "a", 0);
	double wait;

	for (int i = 0; i < 40; i++)
		run_call(ups, a, 500, i);
	/* 1,000 tokens of work in 500 ms. */
	g_assert_cmpfloat(view_of(ups, a, 0).speed, >, 1900);
	g_assert_cmpfloat(view_of(ups, a, 0).speed, <, 2100);
	(void)ups_pool_least_wait(ups, pool_of(ups), 800, nobody, &wait);
	g_assert_cmpfloat(wait, >, 450);
	g_assert_cmpfloat(wait, <, 550);
	ups_close(ups);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ups/heap", test_heap);
	g_test_add_func("/ups/window", test_window);
	g_test_add_func(
	    "/ups/window-shares-capacity", test_window_shares_capacity);
	g_test_add_func("/ups/leaving", test_leaving);
	g_test_add_func("/ups/remove", test_remove);
	g_test_add_func("/ups/down-and-probe", test_down_and_probe);
	g_test_add_func(
	    "/ups/least-wait-equals-scan", test_least_wait_equals_scan);
	g_test_add_func("/ups/remote-penalty", test_remote_penalty);
	g_test_add_func("/ups/overload-bound", test_overload_bound);
	g_test_add_func("/ups/prefix-index", test_prefix_index);
	g_test_add_func("/ups/holders-by-tokens", test_holders_by_tokens);
	g_test_add_func("/ups/speed", test_speed);
	return (g_test_run());
}
