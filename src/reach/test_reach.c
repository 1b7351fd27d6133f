/*
 * Data centres that are cut off, a store that serves some instances only, and
 * pauses of the process that looks.
 */
#include <glib.h>

#include "reach/reach.h"

#define GOSSIP_MS 200

static const char *const names[] = {"a1", "a2", "b1", "b2", "c1", "c2"};
static const char *const datacentres[] = {"a", "a", "b", "b", "c", "c"};

/* What the peers of a1 send from the time from until the time until. */
static void
hear(struct reach *reach, unsigned silent, unsigned without_store, clk_ms from,
    clk_ms until)
{
	for (clk_ms now = from; now < until; now += GOSSIP_MS / 2) {
		reach_tick(reach, true, now);
		for (unsigned i = 1;
		     now % GOSSIP_MS == 0 && i < G_N_ELEMENTS(names); i++) {
			if ((silent & 1U << i) == 0)
				reach_heard(reach,
				    &(struct reach_news){names[i],
					datacentres[i], 1,
					(without_store & 1U << i) == 0, 300},
				    now);
		}
	}
}

#define B    (1U << 2 | 1U << 3)
#define C    (1U << 4 | 1U << 5)
#define NONE 0U
#define A2   (1U << 1)

/* One data centre falls silent, and is heard again. */
static void
test_datacentre_cut(void)
{
	struct reach *reach = reach_open("a");

	g_assert_false(reach_is_cut(reach, "b", 0));
	hear(reach, NONE, NONE, 0, 2000);
	g_assert_false(reach_is_cut(reach, "b", 2000));
	hear(reach, B, NONE, 2000, 3000);
	g_assert_true(reach_is_cut(reach, "b", 3000));
	g_assert_false(reach_is_cut(reach, "c", 3000));
	g_assert_false(reach_is_cut(reach, "a", 3000));
	/* The store answers this one, and then doesn't: it is still better. */
	g_assert_false(reach_is_worse_off(reach, 100, 3000));
	hear(reach, NONE, NONE, 3000, 3300);
	g_assert_false(reach_is_cut(reach, "b", 3300));
	/* One lost message of each is no cut. */
	hear(reach, B, NONE, 3300, 3400);
	g_assert_false(reach_is_cut(reach, "b", 3400));
	hear(reach, NONE, NONE, 3400, 3800);
	/* One instance of it is enough. */
	hear(reach, 1U << 2, NONE, 3800, 5000);
	g_assert_false(reach_is_cut(reach, "b", 5000));
	reach_close(reach);
}

/* This data centre is the one that is cut off. */
static void
test_own_datacentre_cut(void)
{
	struct reach *reach = reach_open("a");

	hear(reach, NONE, NONE, 0, 2000);
	hear(reach, B | C, A2, 2000, 3000);
	g_assert_true(reach_is_cut(reach, "b", 3000));
	g_assert_true(reach_is_cut(reach, "c", 3000));
	g_assert_true(reach_is_worse_off(reach, 1000, 3000));
	/* The store still answers: nobody is better off. */
	g_assert_false(reach_is_worse_off(reach, 500, 3000));
	hear(reach, NONE, NONE, 3000, 3300);
	g_assert_false(reach_is_worse_off(reach, 500, 3300));
	reach_close(reach);
}

/* The store answers some only; if it answers nobody, callers may stay. */
static void
test_store(void)
{
	struct reach *reach = reach_open("a");

	hear(reach, NONE, NONE, 0, 2000);
	g_assert_true(reach_is_worse_off(reach, 1000, 2000));
	hear(reach, NONE, A2, 2000, 4000);
	g_assert_true(reach_is_worse_off(reach, 1000, 4000));
	hear(reach, NONE, A2 | B | C, 4000, 6000);
	g_assert_false(reach_is_worse_off(reach, 3000, 6000));
	reach_close(reach);
}

/* Guards against a process that stood still and takes all others for cut. */
static void
test_pause(void)
{
	struct reach *reach = reach_open("a");

	hear(reach, NONE, NONE, 0, 2000);
	reach_tick(reach, true, 6000);
	g_assert_false(reach_is_cut(reach, "b", 6000));
	g_assert_false(reach_is_worse_off(reach, 4000, 6000));
	hear(reach, B, NONE, 6000, 6200);
	g_assert_false(reach_is_cut(reach, "b", 6200));
	hear(reach, B, NONE, 6200, 7000);
	g_assert_true(reach_is_cut(reach, "b", 7000));
	reach_close(reach);
}

/*
 * Guards against a member of a large fleet that takes all data centres for cut
 * off because its own relays are gone: what it knows of them is old.
 */
static void
test_not_told(void)
{
	struct reach *reach = reach_open("a");
	const struct reach_news news = {"b", "b", 20, 20, 700};

	reach_heard(reach, &news, 100);
	for (clk_ms now = 100; now < 3000; now += 100) {
		reach_tick(reach, false, now);
		g_assert_false(reach_is_cut(reach, "b", now));
	}
	for (clk_ms now = 3000; now <= 4000; now += 100)
		reach_tick(reach, true, now);
	g_assert_true(reach_is_cut(reach, "b", 4000));
	/* Most of a summary's members are answered by the store. */
	reach_heard(reach, &(struct reach_news){"c", "c", 20, 11, 700}, 4000);
	g_assert_true(reach_is_worse_off(reach, 1000, 4000));
	reach_heard(reach, &(struct reach_news){"c", "c", 20, 9, 700}, 4001);
	g_assert_false(reach_is_worse_off(reach, 1000, 4001));
	reach_close(reach);
}

/* Instances that have left for good cut nothing off. */
static void
test_left(void)
{
	struct reach *reach = reach_open("a");

	hear(reach, NONE, NONE, 0, 2000);
	hear(reach, B, NONE, 2000, 40000);
	g_assert_false(reach_is_cut(reach, "b", 40000));
	reach_close(reach);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reach/datacentre-cut", test_datacentre_cut);
	g_test_add_func("/reach/own-datacentre-cut", test_own_datacentre_cut);
	g_test_add_func("/reach/store", test_store);
	g_test_add_func("/reach/pause", test_pause);
	g_test_add_func("/reach/not-told", test_not_told);
	g_test_add_func("/reach/left", test_left);
	return (g_test_run());
}
