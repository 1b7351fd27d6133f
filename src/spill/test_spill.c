/*
 * When requests leave their data centre: the load patterns that the decision
 * answers, beside the two simple rules.
 */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "spill/spill.h"

#define REQUEST_BYTES 60000

static struct spill *
open_default(void)
{
	const struct spill_settings settings = {SPILL_GB_PRICE_S};

	return (spill_open(&settings));
}

static struct spill_choice
choice(const struct spill *spill, double home_ms, double away_ms)
{
	double charge_ms = spill_charge_ms(spill, REQUEST_BYTES);

	return ((struct spill_choice){.service = "pool",
	    .home_ms = home_ms,
	    .away_ms = away_ms + charge_ms,
	    .charge_ms = charge_ms});
}

/* Guards against bytes that cross for nothing: they are charged by size. */
static void
test_charge(void)
{
	struct spill *spill = open_default();
	const struct spill_settings free_of_charge = {0};
	struct spill *free_spill = spill_open(&free_of_charge);
	double small = spill_charge_ms(spill, 1000);

	g_assert_cmpfloat(small, >, spill_charge_ms(spill, 0));
	g_assert_cmpfloat_with_epsilon(
	    spill_charge_ms(spill, 1001000) - small, 50.0, 0.01);
	g_assert_cmpfloat(spill_charge_ms(free_spill, 0), ==,
	    spill_charge_ms(free_spill, 1000000));
	spill_close(free_spill);
	spill_close(spill);
}

/*
 * Guards against requests that stay while home has no usable upstream, while
 * they would miss their deadline there, or while their prompt is elsewhere;
 * none of this is load, so it doesn't wait for the part to follow.
 */
static void
test_at_once(void)
{
	struct spill *spill = open_default();
	struct spill_choice c = choice(spill, 1e6, 300);

	g_assert_cmpint(spill_decide(spill, &c, 0), ==, SPILL_UNAVAILABLE);
	c = choice(spill, 300, 1e6);
	g_assert_cmpint(spill_decide(spill, &c, 0), ==, SPILL_STAYS);
	c = choice(spill, 900, 300);
	c.left_ms = 800;
	g_assert_cmpint(spill_decide(spill, &c, 0), ==, SPILL_DEADLINE);
	c = choice(spill, 330, 300);
	c.parts_ms = 30;
	g_assert_cmpint(spill_decide(spill, &c, 0), ==, SPILL_PARTS);
	c.parts_ms = c.charge_ms / 2;
	g_assert_cmpint(spill_decide(spill, &c, 0), ==, SPILL_STAYS);
	g_assert_cmpuint(spill_count(spill, SPILL_STAYS), ==, 2);
	spill_close(spill);
}

/* ---- Two data centres, whose instances see loads of 200 ms ago ---- */

#define INSTANCES  20 /* of each data centre */
#define STEP_MS	   10
#define GOSSIP_MS  200
#define SERVICE_MS 300
#define RUN_MS	   12000
/* Requests that run at once in each data centre before one waits. */
#define PLACES 60
#define SEEDS  20

enum rule {
	RULE_HOME, /* never leave */
	RULE_CHEAPEST, /* leave for any difference */
	RULE_SPILL,
	RULES
};

static const char *const rule_names[RULES] = {"home", "cheapest", "spill"};

struct result {
	double left; /* part of the requests that left */
	double wait_ms; /* mean time that requests waited for a place */
	double swing; /* mean change of the load between two gossip periods */
};

/* Arrivals a second in each data centre at that time. */
typedef void load_pattern(clk_ms now, double rates[2]);

/* 150 a second are three quarters of the places. */
static void
even_load(clk_ms now, double rates[2])
{
	(void)now;
	rates[0] = rates[1] = 150;
}

/* One data centre has more than its places serve, the other is half idle. */
static void
uneven_load(clk_ms now, double rates[2])
{
	(void)now;
	rates[0] = 260;
	rates[1] = 90;
}

static void
burst_load(clk_ms now, double rates[2])
{
	rates[0] = now >= 4000 && now < 8000 ? 300 : 120;
	rates[1] = 80;
}

/* A request's time at a data centre with that many running, in ms. */
static double
expected_ms(double running)
{
	return (SERVICE_MS +
	    MAX(running - PLACES, 0) * (double)SERVICE_MS / PLACES);
}

static bool
does_leave(
    enum rule rule, struct spill *spill, double home, double away, clk_ms now)
{
	struct spill_choice c =
	    choice(spill, expected_ms(home), expected_ms(away));

	switch (rule) {
	case RULE_CHEAPEST:
		return (c.away_ms < c.home_ms);
	case RULE_SPILL:
		return (spill_decide(spill, &c, now) != SPILL_STAYS);
	default:
		return (false);
	}
}

static struct result
play(load_pattern *pattern, enum rule rule, uint32_t seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	struct spill *spills[2][INSTANCES];
	double running[2] = {0}, seen[2] = {0}, rates[2];
	double arrived = 0, left = 0, waited = 0, swing = 0;

	for (int k = 0; k < 2 * INSTANCES; k++)
		spills[k / INSTANCES][k % INSTANCES] = open_default();
	for (clk_ms now = 0; now < RUN_MS; now += STEP_MS) {
		if (now % GOSSIP_MS == 0) {
			swing += fabs(running[0] - seen[0]) +
			    fabs(running[1] - seen[1]);
			memcpy(seen, running, sizeof(seen));
		}
		pattern(now, rates);
		for (int dc = 0; dc < 2; dc++) {
			double due = rates[dc] * STEP_MS / 1000.0;
			int n =
			    (int)due + (g_rand_double(rand) < due - floor(due));

			for (int i = 0; i < n; i++) {
				struct spill *spill =
				    spills[dc][g_rand_int_range(
					rand, 0, INSTANCES)];
				bool leaves = does_leave(
				    rule, spill, seen[dc], seen[1 - dc], now);
				int to = leaves ? 1 - dc : dc;

				waited += expected_ms(running[to]) - SERVICE_MS;
				running[to]++;
				arrived++;
				left += leaves;
			}
		}
		/* Each place serves one request in SERVICE_MS. */
		for (int dc = 0; dc < 2; dc++)
			running[dc] -= MIN(running[dc], PLACES) *
			    (double)STEP_MS / SERVICE_MS;
	}
	for (int k = 0; k < 2 * INSTANCES; k++)
		spill_close(spills[k / INSTANCES][k % INSTANCES]);
	return ((struct result){left / arrived, waited / arrived,
	    swing / (RUN_MS / (double)GOSSIP_MS)});
}

static void
play_all(const char *name, load_pattern *pattern, struct result results[RULES])
{
	for (int rule = 0; rule < RULES; rule++) {
		struct result sum = {0};

		for (uint32_t seed = 1; seed <= SEEDS; seed++) {
			struct result one =
			    play(pattern, (enum rule)rule, seed);

			sum.left += one.left / SEEDS;
			sum.wait_ms += one.wait_ms / SEEDS;
			sum.swing += one.swing / SEEDS;
		}
		results[rule] = sum;
		g_test_message("figure: spill load=%s rule=%s left=%.3f "
			       "wait_ms=%.1f swing=%.1f seeds=1..%d",
		    name, rule_names[rule], sum.left, sum.wait_ms, sum.swing,
		    SEEDS);
	}
}

/* Guards against traffic between data centres that serves nobody better. */
static void
test_even(void)
{
	struct result results[RULES];

	play_all("even", even_load, results);
	g_assert_cmpfloat(results[RULE_SPILL].left, <, 0.02);
	g_assert_cmpfloat(results[RULE_SPILL].wait_ms, <=,
	    results[RULE_CHEAPEST].wait_ms + 1.0);
}

/* Guards against callers that wait at home while others' upstreams idle. */
static void
test_uneven(void)
{
	struct result results[RULES];

	play_all("uneven", uneven_load, results);
	g_assert_cmpfloat(
	    results[RULE_SPILL].wait_ms, <, results[RULE_HOME].wait_ms / 4);
	g_assert_cmpfloat(
	    results[RULE_SPILL].wait_ms, <, results[RULE_CHEAPEST].wait_ms);
}

/*
 * Guards against many instances that move their load at the same moment, and
 * back when they see what they did.
 */
static void
test_burst(void)
{
	struct result results[RULES];

	play_all("burst", burst_load, results);
	g_assert_cmpfloat(
	    results[RULE_SPILL].wait_ms, <, results[RULE_HOME].wait_ms / 4);
	g_assert_cmpfloat(
	    results[RULE_SPILL].swing, <, results[RULE_CHEAPEST].swing);
}

/* The part that leaves falls back when its cause has ended. */
static void
test_returns(void)
{
	struct spill *spill = open_default();
	struct spill_choice loaded = choice(spill, 400, 300);
	struct spill_choice idle = choice(spill, 300, 300);
	clk_ms now = 0;

	for (; now < 3000; now += 20)
		(void)spill_decide(spill, &loaded, now);
	g_assert_cmpfloat(spill_part(spill, "pool"), >, 0.95);
	for (; now < 6000; now += 20)
		(void)spill_decide(spill, &idle, now);
	g_assert_cmpfloat(spill_part(spill, "pool"), <, 0.05);
	g_assert_cmpfloat(spill_part(spill, "other"), ==, 0);
	spill_close(spill);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spill/charge", test_charge);
	g_test_add_func("/spill/at-once", test_at_once);
	g_test_add_func("/spill/even", test_even);
	g_test_add_func("/spill/uneven", test_uneven);
	g_test_add_func("/spill/burst", test_burst);
	g_test_add_func("/spill/returns", test_returns);
	return (g_test_run());
}
