/*
 * The table of upstreams: states, concurrency windows, failures, the order by
 * waiting time and the prefix index.
 */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "upstream/heap.h"
#include "upstream/upstream.h"

static const struct upstream_handle no_upstream = {0};

static struct upstream_table *
table_new(void)
{
	struct upstream_options options = {.datacentre = "d1"};

	return (upstream_open(&options));
}

static struct upstream_handle
upstream_add(struct upstream_table *table, const char *name, double speed)
{
	const char *models[] = {"m", NULL};
	struct upstream_config config = {.name = name,
	    .url = "http://127.0.0.1:1",
	    .datacentre = "d1",
	    .models = models,
	    .speed = speed};

	return (upstream_set(table, &config));
}

static uint32_t
test_pool(const struct upstream_table *table)
{
	return (upstream_pool_find(table, UPSTREAM_MODEL, "m"));
}

static struct upstream_info
get_info(const struct upstream_table *table, struct upstream_handle handle,
    clk_ms now)
{
	struct upstream_info info;

	g_assert_true(upstream_get_info(table, handle, now, &info));
	return (info);
}

/* One call that ends after first_token ms. */
static void
run_call(struct upstream_table *table, struct upstream_handle handle,
    clk_ms first_token, clk_ms now)
{
	struct upstream_reply reply = {.first_token = first_token,
	    .token_gap = 10,
	    .prompt_tokens = 800,
	    .answer_tokens = 10};

	upstream_call_begin(table, handle, 800);
	upstream_call_prefilled(table, handle, 800);
	upstream_call_succeed(table, handle, 0.0, &reply, now);
}

static bool
is_equal(struct upstream_handle a, struct upstream_handle b)
{
	return (a.index == b.index && a.generation == b.generation);
}

/* Guards against a heap that loses or misorders items after removals. */
static void
test_heap(void)
{
	enum { COUNT = 300, STEPS = 20000 };
	struct heap heap;
	struct heap_item items[COUNT] = {{0}};
	GRand *rand = g_rand_new_with_seed(11);

	heap_init(&heap);
	for (int step = 0; step < STEPS; step++) {
		struct heap_item *item =
		    &items[g_rand_int_range(rand, 0, COUNT)];
		double key = g_rand_int_range(rand, 0, 50);
		const struct heap_item *least = NULL;
		unsigned count = 0;

		item->tie = (uint64_t)(item - items);
		if (item->position == 0)
			heap_push(&heap, item, key);
		else if (g_rand_boolean(rand))
			heap_remove(&heap, item);
		else
			heap_rekey(&heap, item, key);
		for (int i = 0; i < COUNT; i++) {
			if (items[i].position == 0)
				continue;
			count++;
			if (least == NULL || items[i].key < least->key)
				least = &items[i];
		}
		g_assert_cmpuint(heap_count(&heap), ==, count);
		g_assert_true(heap_top(&heap) == least);
	}
	heap_clear(&heap);
	g_rand_free(rand);
}

/* Guards against more calls at an upstream than its window allows. */
static void
test_window(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 10000);
	clk_ms now = 1000;
	double window;

	for (int i = 0; i < 4; i++) {
		g_assert_true(upstream_is_open(table, a));
		upstream_call_begin(table, a, 100);
	}
	g_assert_false(upstream_is_open(table, a));
	g_assert_cmpuint(
	    upstream_pool_open_count(table, test_pool(table)), ==, 0);
	for (int i = 0; i < 4; i++) {
		upstream_call_prefilled(table, a, 100);
		upstream_call_cancel(table, a);
	}
	g_assert_true(upstream_is_open(table, a));
	for (int i = 0; i < 20; i++)
		run_call(table, a, 100, now);
	window = get_info(table, a, now).window;
	g_assert_cmpfloat(window, >, 6.0);
	/* Several late calls within a second shrink the window once. */
	for (int i = 0; i < 5; i++)
		run_call(table, a, 5000, now);
	g_assert_cmpfloat(
	    fabs(get_info(table, a, now).window - window * 0.7), <, 1.0);
	for (int i = 0; i < 50; i++)
		run_call(table, a, 5000000, now + i * 1001);
	g_assert_cmpfloat(get_info(table, a, now).window, ==, 1.0);
	upstream_close(table);
}

/* Guards against instances that together exceed an engine's capacity. */
static void
test_window_shares_capacity(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 10000);
	struct upstream_load load = {.capacity = 9, .age = 100};

	upstream_set_instances(table, 4);
	upstream_set_load(table, a, &load, 1000);
	g_assert_cmpfloat(get_info(table, a, 1000).window, ==, 2.0);
	g_assert_cmpint(get_info(table, a, 1000).load_age, ==, 100);
	upstream_set_instances(table, 100);
	g_assert_cmpfloat(get_info(table, a, 1000).window, ==, 1.0);
	/* An expired report is ignored. */
	upstream_tick(table, 1000 + 6000);
	g_assert_cmpint(get_info(table, a, 7000).load_age, ==, -1);
	g_assert_cmpfloat(get_info(table, a, 7000).window, ==, 4.0);
	/* So is one that was too old on arrival, or arrived out of order. */
	load.age = 5001;
	upstream_set_load(table, a, &load, 8000);
	g_assert_cmpint(get_info(table, a, 8000).load_age, ==, -1);
	load.age = 10;
	load.waiting = 7;
	upstream_set_load(table, a, &load, 8000);
	load.age = 500;
	load.waiting = 0;
	upstream_set_load(table, a, &load, 8001);
	g_assert_cmpfloat(get_info(table, a, 8001).queue_tokens, >, 0.0);
	upstream_close(table);
}

/* Guards against new calls to an upstream that is leaving. */
static void
test_leaving(void)
{
	const char *models[] = {"m", NULL};
	struct upstream_config config = {.name = "a", .models = models};
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_set(table, &config);
	double wait;

	upstream_set_leaving(table, "a", true);
	g_assert_cmpint(get_info(table, a, 0).state, ==, UPSTREAM_LEAVING);
	g_assert_cmpuint(upstream_pool_least_wait(
			     table, test_pool(table), 1, no_upstream, &wait)
			     .generation,
	    ==, 0);
	upstream_set_leaving(table, "a", false);
	g_assert_true(upstream_is_open(table, a));
	/* A stale member list does not override the configuration. */
	config.leaving = true;
	(void)upstream_set(table, &config);
	upstream_set_leaving(table, "a", true);
	upstream_set_leaving(table, "a", false);
	g_assert_false(upstream_is_open(table, a));
	g_assert_cmpuint(
	    upstream_pool_active_count(table, test_pool(table)), ==, 0);
	upstream_close(table);
}

/* A removed upstream finishes its calls, and its handle is not reused. */
static void
test_remove(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 10000);
	struct upstream_handle b;
	struct upstream_info info;

	upstream_call_begin(table, a, 10);
	upstream_remove(table, "a");
	g_assert_cmpint(get_info(table, a, 0).state, ==, UPSTREAM_LEAVING);
	upstream_call_prefilled(table, a, 10);
	upstream_call_cancel(table, a);
	g_assert_false(upstream_get_info(table, a, 0, &info));
	b = upstream_add(table, "b", 10000);
	g_assert_false(is_equal(a, b));
	g_assert_false(upstream_get_info(table, a, 0, &info));
	/* Late events for the handle of a removed upstream have no effect. */
	upstream_call_begin(table, a, 10);
	upstream_call_fail(table, a, UPSTREAM_CRASHED, 0);
	upstream_cache_event(table, a, 1, true, "p", 10);
	g_assert_true(upstream_is_open(table, b));
	g_assert_cmpuint(upstream_count(table), ==, 1);
	upstream_close(table);
}

/* Guards against a burst of calls to a reactivated upstream. */
static void
test_down_and_probe(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 10000);
	clk_ms now = 1000;

	/* The failures of calls in progress count as one. */
	for (int i = 0; i < 3; i++)
		upstream_call_begin(table, a, 10);
	for (int i = 0; i < 3; i++) {
		upstream_call_prefilled(table, a, 10);
		upstream_call_fail(table, a, UPSTREAM_CRASHED, now);
	}
	g_assert_cmpint(get_info(table, a, now).state, ==, UPSTREAM_DOWN);
	upstream_tick(table, now + 999);
	g_assert_cmpint(get_info(table, a, now).state, ==, UPSTREAM_DOWN);
	now += 1000;
	upstream_tick(table, now);
	g_assert_cmpfloat(get_info(table, a, now).window, ==, 1.0);
	upstream_call_begin(table, a, 10);
	g_assert_false(upstream_is_open(table, a));
	upstream_call_prefilled(table, a, 10);
	upstream_call_fail(table, a, UPSTREAM_REFUSED, now);
	upstream_tick(table, now + 1500);
	g_assert_cmpint(get_info(table, a, now).state, ==, UPSTREAM_DOWN);
	now += 2000;
	upstream_tick(table, now);
	run_call(table, a, 100, now);
	g_assert_true(upstream_is_open(table, a));
	/* An upstream that hangs is marked down after 3 timeouts. */
	for (int i = 0; i < 3; i++) {
		g_assert_true(upstream_is_open(table, a));
		upstream_call_begin(table, a, 10);
		upstream_call_prefilled(table, a, 10);
		upstream_call_fail(table, a, UPSTREAM_TIMED_OUT, now);
	}
	g_assert_cmpint(get_info(table, a, now).state, ==, UPSTREAM_DOWN);
	upstream_close(table);
}

static double
least_wait_by_scan(const struct upstream_table *table, int64_t tokens)
{
	double least = INFINITY;

	for (unsigned i = 0; i < upstream_count(table); i++) {
		struct upstream_handle handle = upstream_at(table, i);

		if (upstream_is_open(table, handle) &&
		    upstream_is_in_pool(table, handle, test_pool(table)))
			least =
			    MIN(least, upstream_wait_ms(table, handle, tokens));
	}
	return (least);
}

/*
 * Guards against heaps that disagree with the table.  After each of many random
 * changes the choice has to equal the result of a scan.  Speeds are powers of
 * two, for which the choice is exact.
 */
static void
test_least_wait_equals_scan(void)
{
	enum { COUNT = 60, STEPS = 20000 };
	struct upstream_table *table = table_new();
	GRand *rand = g_rand_new_with_seed(7);
	unsigned running[COUNT] = {0};
	clk_ms now = 0;

	for (int step = 0; step < STEPS; step++) {
		int i = g_rand_int_range(rand, 0, COUNT);
		g_autofree char *name = g_strdup_printf("u%d", i);
		struct upstream_handle handle = upstream_find(table, name);
		int64_t tokens = g_rand_int_range(rand, 0, 50000);
		struct upstream_load load = {
		    .waiting = (unsigned)g_rand_int_range(rand, 0, 5),
		    .capacity = 8};
		unsigned open = 0;
		double wait, scan;

		now += 10;
		if (handle.generation == 0) {
			handle = upstream_add(
			    table, name, (double)(1024 << (i % 6)));
			running[i] = 0;
		}
		switch (g_rand_int_range(rand, 0, 7)) {
		case 0:
		case 1:
			if (!upstream_is_open(table, handle))
				break;
			upstream_call_begin(table, handle, 1000);
			running[i]++;
			break;
		case 2:
			if (running[i] == 0)
				break;
			running[i]--;
			upstream_call_prefilled(table, handle, 1000);
			upstream_call_cancel(table, handle);
			break;
		case 3:
			if (running[i] == 0)
				break;
			running[i]--;
			upstream_call_prefilled(table, handle, 1000);
			upstream_call_fail(
			    table, handle, UPSTREAM_CRASHED, now);
			break;
		case 4:
			upstream_set_leaving(table, name, g_rand_boolean(rand));
			break;
		case 5:
			upstream_set_load(table, handle, &load, now);
			break;
		default:
			if (running[i] == 0)
				upstream_remove(table, name);
			break;
		}
		upstream_tick(table, now);
		for (unsigned k = 0; k < upstream_count(table); k++)
			open += upstream_is_open(table, upstream_at(table, k));
		g_assert_cmpuint(
		    upstream_pool_open_count(table, test_pool(table)), ==,
		    open);
		scan = least_wait_by_scan(table, tokens);
		handle = upstream_pool_least_wait(
		    table, test_pool(table), tokens, no_upstream, &wait);
		if (open == 0)
			g_assert_cmpuint(handle.generation, ==, 0);
		else
			g_assert_cmpfloat(fabs(wait - scan), <, 1e-6);
	}
	g_rand_free(rand);
	upstream_close(table);
}

/* Remote members get a penalty but are still used. */
static void
test_remote_penalty(void)
{
	const char *models[] = {"m", NULL};
	struct upstream_config config = {.name = "far",
	    .datacentre = "d2",
	    .models = models,
	    .speed = 10000};
	struct upstream_table *table = table_new();
	struct upstream_handle near = upstream_add(table, "near", 10000);
	struct upstream_handle far = upstream_set(table, &config);
	double wait;

	g_assert_true(is_equal(upstream_pool_least_wait(table, test_pool(table),
				   100, no_upstream, &wait),
	    near));
	upstream_call_begin(table, near, 1000);
	g_assert_true(is_equal(upstream_pool_least_wait(table, test_pool(table),
				   100, no_upstream, &wait),
	    far));
	/* The upstream to avoid is used if there is no other. */
	upstream_set_leaving(table, "near", true);
	g_assert_true(is_equal(
	    upstream_pool_least_wait(table, test_pool(table), 100, far, &wait),
	    far));
	upstream_close(table);
}

static void
test_overload_bound(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 10000);

	for (int i = 0; i < 9; i++) {
		g_autofree char *name = g_strdup_printf("b%d", i);
		struct upstream_handle b = upstream_add(table, name, 10000);

		for (int k = 0; k < 3; k++)
			upstream_call_begin(table, b, 10);
	}
	/* 27 calls at 10 upstreams: a's share is 3, times 1.25 at most 4. */
	for (int i = 0; i < 4; i++) {
		g_assert_false(
		    upstream_is_overloaded(table, a, test_pool(table), 1.25));
		upstream_call_begin(table, a, 10);
	}
	g_assert_true(upstream_is_overloaded(table, a, test_pool(table), 1.25));
	upstream_close(table);
}

static int64_t
cached_at(const struct upstream_table *table, const char *program,
    struct upstream_handle handle)
{
	struct upstream_holder holders[8];
	size_t count = upstream_prefix_holders(table, program, holders, 8);

	for (size_t i = 0; i < count; i++) {
		if (is_equal(holders[i].upstream, handle))
			return (holders[i].tokens);
	}
	return (-1);
}

/* Guards against estimates that stay too high after lost or repeated events. */
static void
test_prefix_index(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 10000);
	struct upstream_handle b = upstream_add(table, "b", 10000);

	upstream_cache_event(table, a, 1, true, "unknown", 100);
	g_assert_cmpint(cached_at(table, "unknown", a), ==, -1);
	upstream_prefix_add(table, "p", a);
	g_assert_cmpint(cached_at(table, "p", a), ==, 0);
	upstream_cache_event(table, a, 2, true, "p", 100);
	upstream_cache_event(table, a, 3, true, "p", 50);
	g_assert_cmpint(cached_at(table, "p", a), ==, 150);
	/* A reply includes the tokens of insert events that arrive later. */
	upstream_prefix_update(table, "p", a, 400);
	upstream_cache_event(table, a, 4, true, "p", 250);
	g_assert_cmpint(cached_at(table, "p", a), ==, 400);
	upstream_cache_event(table, a, 5, false, "p", 100);
	g_assert_cmpint(cached_at(table, "p", a), ==, 300);
	/* Event 6 is missing: it may have been an eviction. */
	upstream_cache_event(table, a, 7, true, "q", 10);
	g_assert_cmpint(cached_at(table, "p", a), ==, 150);
	upstream_prefix_update(table, "p", a, 500);
	g_assert_cmpint(cached_at(table, "p", a), ==, 500);
	/* A crash empties the cache; the holder stays recorded. */
	upstream_prefix_add(table, "p", b);
	upstream_call_begin(table, a, 1);
	upstream_call_prefilled(table, a, 1);
	upstream_call_fail(table, a, UPSTREAM_CRASHED, 0);
	g_assert_cmpint(cached_at(table, "p", a), ==, 0);
	upstream_cache_event(table, a, 1, true, "p", 30);
	g_assert_cmpint(cached_at(table, "p", a), ==, 30);
	g_assert_cmpint(cached_at(table, "p", b), ==, 0);
	upstream_prefix_remove(table, "p");
	g_assert_cmpint(cached_at(table, "p", a), ==, -1);
	upstream_close(table);
}

/* Guards against newer holders that hide one with more tokens. */
static void
test_holders_by_tokens(void)
{
	struct upstream_table *table = table_new();
	struct upstream_holder holders[2];

	for (int i = 0; i < 10; i++) {
		g_autofree char *name = g_strdup_printf("u%d", i);

		upstream_prefix_update(table, "p",
		    upstream_add(table, name, 1000), i == 3 ? 500 : i);
	}
	g_assert_cmpuint(
	    upstream_prefix_holders(table, "p", holders, 2), ==, 10);
	g_assert_cmpint(holders[0].tokens, ==, 500);
	g_assert_cmpint(holders[1].tokens, ==, 9);
	g_assert_cmpuint(upstream_prefix_holders(table, "p", NULL, 0), ==, 10);
	upstream_close(table);
}

/*
 * The speed converges to the engine's measured one, so that slow engines get
 * fewer calls.
 */
static void
test_speed(void)
{
	struct upstream_table *table = table_new();
	struct upstream_handle a = upstream_add(table, "a", 0);
	double wait;

	for (int i = 0; i < 40; i++)
		run_call(table, a, 500, i);
	/* 1,000 tokens of work in 500 ms. */
	g_assert_cmpfloat(get_info(table, a, 0).speed, >, 1900);
	g_assert_cmpfloat(get_info(table, a, 0).speed, <, 2100);
	(void)upstream_pool_least_wait(
	    table, test_pool(table), 800, no_upstream, &wait);
	g_assert_cmpfloat(wait, >, 450);
	g_assert_cmpfloat(wait, <, 550);
	upstream_close(table);
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
