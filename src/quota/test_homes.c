/*
 * Quotas of a large fleet: the homes admit all requests of an organisation,
 * with lost messages, cut data centres, instances that stand still, and
 * restarts.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lib/test_orders.h"
#include "quota/quota.h"
#include "relay/test_fleet.h"

#define WINDOW_MS  5000
#define COUNTS_MAX 8
#define RATE	   100.0
#define BURST	   100.0
/* Time in which a fleet that has lost a home admits again. */
#define HOME_END_MS 1600

static const struct quota_tolerance tolerance = {5, 0.1, 20};

struct homes {
	struct fleet fleet;
	struct quota *quotas[FLEET_MAX];
	uint64_t incarnations[FLEET_MAX];
	struct quota_limit limit;
	double rate;
	double burst;
	GArray *admitted; /* clk_ms */
	unsigned refused;
};

static void
quota_restart(struct homes *h, int i)
{
	quota_close(h->quotas[i]);
	h->quotas[i] =
	    quota_open(h->fleet.instances[i].roster, &tolerance, h->fleet.now);
	h->incarnations[i]++;
}

static void
homes_open(struct homes *h, guint32 seed, int size, double rate, double burst)
{
	memset(h, 0, sizeof(*h));
	fleet_open(&h->fleet, seed, size);
	for (int i = 0; i < size; i++)
		quota_restart(h, i);
	h->rate = rate;
	h->burst = burst;
	h->limit = quota_limit_make("o", rate, burst);
	h->admitted = g_array_new(FALSE, FALSE, sizeof(clk_ms));
}

static void
homes_close(struct homes *h)
{
	for (int i = 0; i < h->fleet.size; i++)
		quota_close(h->quotas[i]);
	g_array_free(h->admitted, TRUE);
	fleet_close(&h->fleet);
}

static void
instance_end(struct homes *h, int i)
{
	if (h->fleet.instances[i].is_dead)
		return;
	quota_close(h->quotas[i]);
	h->quotas[i] = NULL;
	fleet_instance_end(&h->fleet, i);
}

static void
instance_start(struct homes *h, int i)
{
	instance_end(h, i);
	fleet_instance_start(&h->fleet, i);
	quota_restart(h, i);
}

static bool
is_lost(struct homes *h, int from, int to)
{
	struct fleet *f = &h->fleet;

	return (!fleet_is_running(f, to) || !fleet_is_connected(f, from, to) ||
	    g_rand_double(f->rand) < f->lost);
}

/* What an instance has admitted, to the homes as it knows them. */
static void
report(struct homes *h, int i)
{
	struct fleet *f = &h->fleet;
	struct quota_count counts[COUNTS_MAX];
	size_t n = quota_report(h->quotas[i], counts, COUNTS_MAX, f->now);

	if (n == 0)
		return;
	for (unsigned rank = 0; rank < ROSTER_HOMES; rank++) {
		const char *home = roster_home(f->instances[i].roster,
		    h->limit.organisation, rank, f->now);

		if (home != NULL && !is_lost(h, i, fleet_index(home)))
			quota_gossip_merge(h->quotas[fleet_index(home)],
			    f->instances[i].name, h->incarnations[i], counts, n,
			    f->now);
	}
}

/* A request at instance i, which asks the homes in turn. */
static bool
admit(struct homes *h, int i)
{
	struct fleet *f = &h->fleet;
	clk_ms wait;
	enum quota_answer answer = quota_admit(
	    h->quotas[i], &h->limit, QUOTA_ACTIVE_PROGRAM, f->now, &wait);

	for (unsigned rank = 0; answer == QUOTA_ASK && rank < ROSTER_HOMES;
	     rank++) {
		const char *home = roster_home(f->instances[i].roster,
		    h->limit.organisation, rank, f->now);
		int j = home != NULL ? fleet_index(home) : i;

		if (home == NULL || is_lost(h, i, j))
			continue;
		answer = quota_grant(h->quotas[j], &h->limit,
			     QUOTA_ACTIVE_PROGRAM, f->now, &wait)
		    ? QUOTA_ADMITTED
		    : QUOTA_REFUSED;
		/* An answer that is lost leaves the token unused. */
		if (is_lost(h, j, i))
			answer = QUOTA_ASK;
	}
	return (answer == QUOTA_ADMITTED);
}

/* Sends per_s requests a second, each to a random instance. */
static void
homes_run(struct homes *h, clk_ms time, double per_s)
{
	struct fleet *f = &h->fleet;

	for (clk_ms until = f->now + time; f->now < until;) {
		int due = (int)(per_s * FLEET_STEP_MS / 1000.0 +
		    g_rand_double(f->rand));

		fleet_step(f);
		for (int i = 0; i < f->size; i++) {
			if (fleet_is_running(f, i) && fleet_is_due(f, i))
				report(h, i);
		}
		for (; due > 0; due--) {
			int i = g_rand_int_range(f->rand, 0, f->size);

			if (!fleet_is_running(f, i))
				continue;
			if (admit(h, i))
				g_array_append_val(h->admitted, f->now);
			else
				h->refused++;
		}
	}
}

/* The most requests that were admitted in any window. */
static unsigned
worst_window(const struct homes *h)
{
	unsigned worst = 0;
	guint first = 0;

	for (guint last = 0; last < h->admitted->len; last++) {
		while (g_array_index(h->admitted, clk_ms, last) -
			g_array_index(h->admitted, clk_ms, first) >=
		    WINDOW_MS)
			first++;
		worst = MAX(worst, last - first + 1);
	}
	return (worst);
}

static unsigned
window_limit(const struct homes *h)
{
	return ((unsigned)((h->rate * WINDOW_MS / 1000 + h->burst) *
		(1 + tolerance.fraction) +
	    tolerance.requests));
}

/* The instance that takes itself for the first home. */
static int
first_home(const struct homes *h)
{
	const struct fleet *f = &h->fleet;

	for (int i = 0; i < f->size; i++) {
		if (fleet_is_running(f, i) &&
		    roster_is_home(f->instances[i].roster,
			h->limit.organisation, 0, f->now))
			return (i);
	}
	/* It has just ended, or stands still. */
	return (0);
}

/* Three times the rate: what the limit allows is admitted, and no more. */
static void
test_overload(void)
{
	struct homes h;

	homes_open(&h, orders_seed(), 195, RATE, BURST);
	homes_run(&h, 1000, 0);
	homes_run(&h, 20000, 3 * RATE);
	g_print("# figure homes_overload admitted=%u worst_window=%u of=%u\n",
	    h.admitted->len, worst_window(&h), window_limit(&h));
	g_assert_cmpuint(worst_window(&h), <=, window_limit(&h));
	g_assert_cmpuint(h.admitted->len, >=, (guint)(0.95 * RATE * 20));
	homes_close(&h);
}

/* Below the rate nobody is refused, however many instances there are. */
static void
test_below_rate(void)
{
	struct homes h;

	homes_open(&h, orders_seed(), 195, RATE, BURST);
	homes_run(&h, 1000, 0);
	homes_run(&h, 10000, 0.8 * RATE);
	g_assert_cmpuint(h.refused, ==, 0);
	homes_close(&h);
}

/*
 * The first home ends; the second one stands in for what the tolerance allows
 * and then admits all, so that the organisation loses little.
 */
static void
test_home_ends(void)
{
	struct homes h;
	unsigned refused;

	homes_open(&h, orders_seed(), 195, RATE, BURST);
	homes_run(&h, 3000, 0.5 * RATE);
	instance_end(&h, first_home(&h));
	homes_run(&h, HOME_END_MS, 0.5 * RATE);
	refused = h.refused;
	homes_run(&h, 3000, 0.5 * RATE);
	g_print("# figure homes_home_ends refused=%u of=%.0f\n", refused,
	    0.5 * RATE * HOME_END_MS / 1000);
	g_assert_cmpuint(h.refused, ==, refused);
	g_assert_cmpuint(worst_window(&h), <=, window_limit(&h));
	homes_close(&h);
}

static void
disturb(struct homes *h)
{
	struct fleet *f = &h->fleet;
	int i = g_rand_int_range(f->rand, 0, f->size);

	switch (g_rand_int_range(f->rand, 0, 7)) {
	case 0:
		instance_end(h, first_home(h));
		break;
	case 1:
		for (int j = i; j < f->size; j += 7)
			instance_end(h, j);
		break;
	case 2:
		for (int j = 0; j < f->size; j++) {
			if (f->instances[j].is_dead)
				instance_start(h, j);
		}
		break;
	case 3:
		f->cut = g_rand_int_range(f->rand, 0, FLEET_DATACENTRES);
		break;
	case 4:
		f->cut = -1;
		break;
	case 5:
		f->instances[first_home(h)].frozen_until =
		    f->now + g_rand_int_range(f->rand, 100, 4000);
		break;
	default:
		for (int j = i; j < f->size; j += 11)
			f->instances[j].frozen_until =
			    f->now + g_rand_int_range(f->rand, 100, 4000);
		break;
	}
}

/* Random deaths, restarts, cuts and freezes under random load. */
static bool
order_play(guint32 seed)
{
	static const int sizes[] = {25, 40, 67, 195};
	static const double rates[] = {10, 40, 200};
	static const double loads[] = {0.5, 2, 5, 12};
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	int size = sizes[g_rand_int_range(rand, 0, 16) / 5];
	double rate = rates[g_rand_int_range(rand, 0, 3)];
	struct homes h;
	unsigned worst, limit;

	homes_open(&h, seed, size, rate, rate);
	h.fleet.lost = g_rand_double_range(rand, 0, 0.05);
	for (int phase = 0; phase < 8; phase++) {
		homes_run(&h, g_rand_int_range(rand, 200, 3000),
		    rate * loads[g_rand_int_range(rand, 0, 4)]);
		disturb(&h);
	}
	worst = worst_window(&h);
	limit = window_limit(&h);
	if (worst > limit)
		g_print("# figure homes_order_violated seed=%u size=%d "
			"rate=%.0f worst_window=%u of=%u\n",
		    seed, size, rate, worst, limit);
	homes_close(&h);
	return (worst > limit);
}

static void
test_orders(void)
{
	const char *text = g_getenv("SAMPHIRESHED_ORDERS");
	unsigned orders = text != NULL ? (unsigned)strtoul(text, NULL, 10) : 40;
	unsigned violated = 0;

	for (unsigned i = 0; i < orders; i++)
		violated += order_play(orders_seed() + i);
	g_print("# figure homes orders=%u orders_violated=%u seed=%u\n", orders,
	    violated, orders_seed());
	g_assert_cmpuint(violated, ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/homes/overload", test_overload);
	g_test_add_func("/homes/below_rate", test_below_rate);
	g_test_add_func("/homes/home_ends", test_home_ends);
	g_test_add_func("/homes/orders", test_orders);
	return (g_test_run());
}
