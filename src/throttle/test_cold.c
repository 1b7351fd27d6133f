/*
 * Which upstreams are cold: by their entries, by the time that their service
 * names, and by doubt.
 */
#include <glib.h>

#include "throttle/cold.h"

#define UPSTREAM 4711U

static const struct cold_tolerance tolerance = {1.5, 5.0};

struct fixture {
	struct roster *roster;
	struct throttle *throttle;
	struct colds *colds;
};

static void
setup(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->roster = roster_open("i0");
	roster_size_set(f->roster, 1, 0);
	f->throttle = throttle_open(f->roster);
	f->colds = cold_open(f->throttle, &tolerance);
	cold_service_set(f->colds, "pool", 8000, 21.0);
	cold_service_set(f->colds, "plain", 0, 0);
	cold_services_apply(f->colds, 0);
}

static void
teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	cold_close(f->colds);
	throttle_close(f->throttle);
	roster_close(f->roster);
}

static void
entry_set(struct fixture *f, int64_t started, int64_t sequence,
    clk_ms remaining, clk_ms now)
{
	const struct cold_entry entry = {UPSTREAM, "pool", started, sequence,
	    MAX(remaining, 0), remaining >= 0};

	(void)cold_entry_set(f->colds, &entry, now);
}

/* How much longer it is cold, in ms. */
static uint32_t
cold_ms(const struct fixture *f, clk_ms now)
{
	return (throttle_is_cold(f->throttle, UPSTREAM)
		? throttle_get(f->throttle, UPSTREAM, now).cold
		: 0);
}

/*
 * Guards against a bucket whose rate breaks the bound: two homes for a whole
 * second, a smaller side, tokens of before that are late, and full buckets.
 */
static void
test_rate(void)
{
	static const double rates[] = {0.5, 1, 2, 5, 21, 60, 300};
	static const struct cold_tolerance tolerances[] = {
	    {1.5, 5}, {1.0, 5}, {1.2, 0}, {3.0, 50}, {0.5, 1}};

	for (size_t t = 0; t < G_N_ELEMENTS(tolerances); t++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
			double allowed = rates[i] * tolerances[t].overage +
			    tolerances[t].slack;
			double rate = cold_rate(rates[i], &tolerances[t]);

			g_assert_cmpfloat(rate, >=, 0);
			g_assert_cmpfloat(rate, <=, rates[i]);
			if (rate == 0)
				continue;
			g_assert_cmpfloat(
			    2.125 * 1.12 * rate + 2 * (1 + 0.1 * rate) + 1, <=,
			    allowed + 1e-9);
		}
	}
	g_assert_cmpfloat(cold_rate(21, &tolerance), >, 12.9);
	g_assert_cmpfloat(cold_rate(21, &tolerance), <, 13.0);
}

/*
 * Guards against an upstream that stays cold, or isn't, against its entry: it
 * may say another time at any moment, and one that is read again says nothing.
 */
static void
test_entry(struct fixture *f, gconstpointer data)
{
	(void)data;
	entry_set(f, 100, 1, 5000, 0);
	g_assert_cmpuint(cold_ms(f, 0), ==, 5000);
	entry_set(f, 100, 1, 5000, 3000);
	g_assert_cmpuint(cold_ms(f, 3000), ==, 2000);
	entry_set(f, 100, 2, 9000, 4000);
	g_assert_cmpuint(cold_ms(f, 4000), ==, 9000);
	entry_set(f, 100, 3, 0, 4500);
	g_assert_cmpuint(cold_ms(f, 4500), ==, 0);
	entry_set(f, 100, 4, 1000, 5000);
	g_assert_cmpuint(cold_ms(f, 5000), ==, 1000);
	/* An entry that says nothing leaves what the one before said. */
	entry_set(f, 100, 5, -1, 5500);
	g_assert_cmpuint(cold_ms(f, 5500), ==, 500);
}

/* Guards against a new run that is taken for warm because it says nothing. */
static void
test_new_run(struct fixture *f, gconstpointer data)
{
	const struct cold_entry plain = {
	    UPSTREAM + 1, "plain", 100, 1, 0, false};

	(void)data;
	entry_set(f, 100, 7, 0, 0);
	g_assert_cmpuint(cold_ms(f, 0), ==, 0);
	entry_set(f, 200, 1, -1, 1000);
	g_assert_cmpuint(cold_ms(f, 1000), ==, 8000);
	entry_set(f, 200, 2, -1, 2000);
	g_assert_cmpuint(cold_ms(f, 2000), ==, 7000);
	entry_set(f, 200, 3, 100, 2000);
	g_assert_cmpuint(cold_ms(f, 2000), ==, 100);
	/* Without a start time, a sequence that begins anew tells. */
	entry_set(f, 0, 9, 0, 3000);
	entry_set(f, 0, 1, -1, 4000);
	g_assert_cmpuint(cold_ms(f, 4000), ==, 8000);
	(void)cold_entry_set(f->colds, &plain, 0);
	g_assert_false(throttle_is_cold(f->throttle, UPSTREAM + 1));
	/* The configuration names no rate any more. */
	cold_services_clear(f->colds);
	cold_services_apply(f->colds, 4000);
	g_assert_cmpuint(cold_ms(f, 4000), ==, 0);
	g_assert_cmpuint(throttle_limited(f->throttle), ==, 0);
}

/*
 * Guards against an upstream that has started again unnoticed and gets all
 * requests: it is cold until its entry is written anew, for the time at most.
 */
static void
test_doubt(struct fixture *f, gconstpointer data)
{
	const struct cold_entry plain = {
	    UPSTREAM + 1, "plain", 100, 1, 0, false};
	struct throttle_limit limit;

	(void)data;
	g_assert_false(cold_upstream_doubt(f->colds, UPSTREAM, 2000, 0));
	entry_set(f, 100, 1, 0, 0);
	g_assert_true(cold_upstream_doubt(f->colds, UPSTREAM, 2000, 1000));
	g_assert_cmpuint(cold_ms(f, 1000), ==, 2000);
	/* The others have no reason to doubt. */
	g_assert_cmpuint(throttle_collect(f->throttle, &limit, 1, 1100), ==, 0);
	entry_set(f, 100, 1, 0, 1200);
	g_assert_cmpuint(cold_ms(f, 1200), ==, 1800);
	/* Written before the doubt, and read since. */
	entry_set(f, 100, 2, 0, 1250);
	g_assert_cmpuint(cold_ms(f, 1250), ==, 1750);
	cold_entries_confirm(f->colds, 1000, 1260);
	entry_set(f, 100, 3, 0, 1300);
	g_assert_cmpuint(cold_ms(f, 1300), ==, 0);
	(void)cold_upstream_doubt(f->colds, UPSTREAM, INT32_MAX, 2000);
	g_assert_cmpuint(cold_ms(f, 2000), ==, 8000);
	entry_set(f, 200, 1, 4000, 2100);
	g_assert_cmpuint(cold_ms(f, 2100), ==, 4000);
	/* A service whose upstreams are never cold raises no doubt. */
	(void)cold_entry_set(f->colds, &plain, 0);
	g_assert_false(cold_upstream_doubt(f->colds, UPSTREAM + 1, 2000, 2000));
	cold_upstream_remove(f->colds, UPSTREAM);
	g_assert_false(cold_upstream_doubt(f->colds, UPSTREAM, 2000, 3000));
}

/*
 * Guards against an instance that starts, reads an entry which was written long
 * ago, and makes the others take a warm upstream for cold again.
 */
static void
test_old_entry(struct fixture *f, gconstpointer data)
{
	struct throttle *other = throttle_open(f->roster);
	const struct throttle_cold warm = {throttle_rate(10.0), 0, 5000, 0};
	struct throttle_limit limit;

	(void)data;
	throttle_cold_set(other, UPSTREAM, &warm, 5000);
	entry_set(f, 100, 1, 8000, 20000);
	g_assert_cmpuint(cold_ms(f, 20000), ==, 8000);
	g_assert_cmpuint(
	    throttle_collect(f->throttle, &limit, 1, 20000), ==, 1);
	throttle_merge(other, &limit, 1, 20000);
	g_assert_false(throttle_is_cold(other, UPSTREAM));
	/* What it reads from then on is news. */
	cold_entries_confirm(f->colds, 20000, 20100);
	entry_set(f, 100, 2, 7000, 21000);
	g_assert_cmpuint(
	    throttle_collect(f->throttle, &limit, 1, 21000), ==, 1);
	throttle_merge(other, &limit, 1, 21000);
	g_assert_true(throttle_is_cold(other, UPSTREAM));
	throttle_close(other);
}

/*
 * Guards against an instance that was suspended and sends to an upstream which
 * has started again meanwhile: all are cold until the entries are read again.
 */
static void
test_doubt_all(struct fixture *f, gconstpointer data)
{
	const struct cold_entry plain = {
	    UPSTREAM + 1, "plain", 100, 1, 0, false};

	(void)data;
	entry_set(f, 100, 1, 0, 0);
	(void)cold_entry_set(f->colds, &plain, 0);
	cold_doubt_all(f->colds, 6000);
	g_assert_cmpuint(cold_ms(f, 6000), ==, 3000);
	g_assert_false(throttle_is_cold(f->throttle, UPSTREAM + 1));
	/* Asked before, and answered since. */
	cold_entries_confirm(f->colds, 5999, 6100);
	g_assert_cmpuint(cold_ms(f, 6100), ==, 2900);
	/* An entry that was written before is no answer for the others. */
	entry_set(f, 100, 2, 0, 6200);
	g_assert_cmpuint(cold_ms(f, 6200), ==, 2800);
	cold_entries_confirm(f->colds, 6000, 6300);
	g_assert_cmpuint(cold_ms(f, 6300), ==, 0);
	g_assert_cmpuint(throttle_limited(f->throttle), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cold/rate", test_rate);
	g_test_add(
	    "/cold/entry", struct fixture, NULL, setup, test_entry, teardown);
	g_test_add("/cold/new-run", struct fixture, NULL, setup, test_new_run,
	    teardown);
	g_test_add(
	    "/cold/doubt", struct fixture, NULL, setup, test_doubt, teardown);
	g_test_add("/cold/doubt-all", struct fixture, NULL, setup,
	    test_doubt_all, teardown);
	g_test_add("/cold/old-entry", struct fixture, NULL, setup,
	    test_old_entry, teardown);
	return (g_test_run());
}
