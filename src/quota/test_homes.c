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

/* Time from the signal of a planned stop to the exit, and to the next start. */
#define STOP_MS	   2500
#define RESTART_MS 3000
/* What an instance does for a request that no home decides, see silence.h. */
#define AGAIN_MS   40
#define GIVE_UP_MS 1000

/* Planned stops, one each 1.2 s. */
#define STOPS 12
/* Kinds of events, and those without planned stops. */
#define UNPLANNED_KINDS 7
#define ALL_KINDS	11

/* A request that asks again. */
struct waiting {
	int instance;
	enum quota_priority priority;
	clk_ms next;
	clk_ms until;
};

struct homes {
	struct fleet fleet;
	struct quota *quotas[FLEET_MAX];
	uint64_t incarnations[FLEET_MAX];
	struct quota_limit limit;
	double rate;
	double burst;
	GArray *admitted; /* clk_ms */
	unsigned refused; /* as above the rate */
	unsigned undecided; /* no home has answered */
	bool has_programs; /* one request in eight begins one */
	bool is_asked_once; /* today's rule: both homes, once */
	GArray *waiting; /* struct waiting */
	clk_ms stopped[FLEET_MAX]; /* signal of a planned stop; 0: none */
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
	h->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
}

static void
homes_close(struct homes *h)
{
	for (int i = 0; i < h->fleet.size; i++)
		quota_close(h->quotas[i]);
	g_array_free(h->admitted, TRUE);
	g_array_free(h->waiting, TRUE);
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

		if (home == NULL || is_lost(h, i, fleet_index(home)))
			continue;
		(void)roster_absences_merge(
		    f->instances[fleet_index(home)].roster,
		    (const struct roster_absence *)(void *)f->instances[i]
			.absences->data,
		    f->instances[i].absences->len, f->now);
		quota_gossip_merge(h->quotas[fleet_index(home)],
		    f->instances[i].name, h->incarnations[i], counts, n,
		    f->now);
	}
}

/* What a home says; QUOTA_ASK: nothing, or that it may not say. */
static enum quota_answer
home_ask(struct homes *h, int i, int home, enum quota_priority priority)
{
	struct fleet *f = &h->fleet;
	clk_ms wait;
	bool granted;

	if (is_lost(h, i, home))
		return (QUOTA_ASK);
	granted =
	    quota_grant(h->quotas[home], &h->limit, priority, f->now, &wait);
	/* An answer that is lost leaves the token unused. */
	if (is_lost(h, home, i))
		return (QUOTA_ASK);
	if (granted)
		return (QUOTA_ADMITTED);
	return (wait > 0 ? QUOTA_REFUSED : QUOTA_ASK);
}

/* A request at instance i, which asks the homes in turn. */
static enum quota_answer
admit(struct homes *h, int i, enum quota_priority priority)
{
	struct fleet *f = &h->fleet;
	clk_ms wait;
	enum quota_answer answer =
	    quota_admit(h->quotas[i], &h->limit, priority, f->now, &wait);
	unsigned ranks = h->is_asked_once ? ROSTER_HOMES : ROSTER_RANKS;

	for (unsigned rank = 0; answer == QUOTA_ASK && rank < ranks; rank++) {
		const char *home = roster_home(f->instances[i].roster,
		    h->limit.organisation, rank, f->now);

		if (home != NULL)
			answer = home_ask(h, i, fleet_index(home), priority);
		else if (!h->is_asked_once &&
		    quota_grant(
			h->quotas[i], &h->limit, priority, f->now, &wait))
			answer = QUOTA_ADMITTED;
	}
	return (answer);
}

/* Counts what became of a request; returns whether it is to ask again. */
static bool
request_try(struct homes *h, int i, enum quota_priority priority, bool is_last)
{
	struct fleet *f = &h->fleet;

	switch (admit(h, i, priority)) {
	case QUOTA_ADMITTED:
		g_array_append_val(h->admitted, f->now);
		return (false);
	case QUOTA_REFUSED:
		h->refused++;
		return (false);
	case QUOTA_ASK:
		break;
	}
	if (h->is_asked_once)
		h->refused++;
	else if (is_last)
		h->undecided++;
	else
		return (true);
	return (false);
}

static void
request_begin(struct homes *h, int i)
{
	clk_ms now = h->fleet.now;
	enum quota_priority priority =
	    h->has_programs && g_rand_int_range(h->fleet.rand, 0, 8) == 0
	    ? QUOTA_NEW_PROGRAM
	    : QUOTA_ACTIVE_PROGRAM;
	const struct waiting waiting = {
	    i, priority, now + AGAIN_MS, now + GIVE_UP_MS};

	if (request_try(h, i, priority, false))
		g_array_append_val(h->waiting, waiting);
}

static void
waiting_try(struct homes *h)
{
	struct fleet *f = &h->fleet;

	for (guint k = h->waiting->len; k > 0; k--) {
		struct waiting *waiting =
		    &g_array_index(h->waiting, struct waiting, k - 1);

		if (f->now < waiting->next)
			continue;
		waiting->next = f->now + AGAIN_MS;
		if (!fleet_is_running(f, waiting->instance) ||
		    !request_try(h, waiting->instance, waiting->priority,
			f->now + AGAIN_MS > waiting->until))
			g_array_remove_index_fast(h->waiting, k - 1);
	}
}

/* The signal of a planned stop: the instance says so, and what it knows. */
static void
instance_stop(struct homes *h, int i)
{
	struct fleet *f = &h->fleet;

	if (!fleet_is_running(f, i) || h->stopped[i] > 0)
		return;
	h->stopped[i] = f->now;
	if (f->is_untold)
		return;
	f->instances[i].is_stopping = true;
	fleet_instance_send(f, i);
	report(h, i);
}

/* Ends and starts those that stop as planned. */
static void
stops_advance(struct homes *h)
{
	for (int i = 0; i < h->fleet.size; i++) {
		clk_ms time = h->fleet.now - h->stopped[i];

		if (h->stopped[i] == 0)
			continue;
		if (time >= STOP_MS)
			instance_end(h, i);
		if (time < RESTART_MS)
			continue;
		h->stopped[i] = 0;
		instance_start(h, i);
	}
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
		stops_advance(h);
		for (int i = 0; i < f->size; i++) {
			if (fleet_is_running(f, i) && fleet_is_due(f, i))
				report(h, i);
		}
		waiting_try(h);
		for (; due > 0; due--) {
			int i = g_rand_int_range(f->rand, 0, f->size);

			if (fleet_is_running(f, i))
				request_begin(h, i);
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

/*
 * Below the rate, with homes that stop as planned and start again while a data
 * centre is cut off and comes back: the first home is stopped each time.  Few
 * are refused, and nobody as above the rate.
 */
static void
planned_stops_run(int size, bool is_today)
{
	struct homes h;

	homes_open(&h, orders_seed(), size, RATE, BURST);
	h.is_asked_once = is_today;
	h.fleet.is_untold = is_today;
	h.fleet.lost = 0.01;
	homes_run(&h, 3000, 0.5 * RATE);
	for (int i = 0; i < STOPS; i++) {
		if (i == STOPS / 3)
			h.fleet.cut = 0;
		if (i == STOPS / 3 * 2)
			h.fleet.cut = -1;
		instance_stop(&h, first_home(&h));
		homes_run(&h, 1200, 0.5 * RATE);
	}
	homes_run(&h, 4000, 0.5 * RATE);
	g_print("# figure homes_planned_stops rule=%s size=%d stops=%d "
		"admitted=%u refused=%u undecided=%u worst_window=%u of=%u\n",
	    is_today ? "today" : "told", size, STOPS, h.admitted->len,
	    h.refused, h.undecided, worst_window(&h), window_limit(&h));
	g_assert_cmpuint(worst_window(&h), <=, window_limit(&h));
	if (!is_today)
		g_assert_cmpuint(
		    h.refused + h.undecided, <=, h.admitted->len / 100);
	homes_close(&h);
}

static void
test_planned_stops(void)
{
	static const int sizes[] = {30, 195};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		planned_stops_run(sizes[i], true);
		planned_stops_run(sizes[i], false);
	}
}

/*
 * Below the rate, with homes that die without notice, one each 2 s, and start
 * again: those that have just begun refuse no more than a few, new programs
 * included.
 */
static void
deaths_run(int size, bool is_today)
{
	struct homes h;
	int died = -1;

	homes_open(&h, orders_seed(), size, RATE, BURST);
	h.has_programs = true;
	h.is_asked_once = is_today;
	h.fleet.is_untold = is_today;
	h.fleet.lost = 0.01;
	homes_run(&h, 3000, 0.5 * RATE);
	for (int i = 0; i < STOPS; i++) {
		int home = first_home(&h);

		instance_end(&h, home);
		homes_run(&h, 2000, 0.5 * RATE);
		if (died >= 0)
			instance_start(&h, died);
		died = home;
	}
	homes_run(&h, 3000, 0.5 * RATE);
	g_print("# figure homes_deaths rule=%s size=%d deaths=%d admitted=%u "
		"refused=%u undecided=%u worst_window=%u of=%u\n",
	    is_today ? "today" : "told", size, STOPS, h.admitted->len,
	    h.refused, h.undecided, worst_window(&h), window_limit(&h));
	g_assert_cmpuint(worst_window(&h), <=, window_limit(&h));
	if (!is_today)
		g_assert_cmpuint(
		    h.refused + h.undecided, <=, h.admitted->len / 50);
	homes_close(&h);
}

static void
test_deaths(void)
{
	static const int sizes[] = {30, 195};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		deaths_run(sizes[i], true);
		deaths_run(sizes[i], false);
	}
}

static void
disturb(struct homes *h, int kinds)
{
	struct fleet *f = &h->fleet;
	int i = g_rand_int_range(f->rand, 0, f->size);

	switch (g_rand_int_range(f->rand, 0, kinds)) {
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
	case 7:
		instance_stop(h, first_home(h));
		break;
	case 8:
		for (int j = i; j < f->size; j += 7)
			instance_stop(h, j);
		break;
	case 9:
		for (int j = i % 2; j < f->size; j += 2)
			instance_stop(h, j);
		break;
	default:
		for (int j = i; j < f->size; j += 11)
			f->instances[j].frozen_until =
			    f->now + g_rand_int_range(f->rand, 100, 4000);
		break;
	}
}

/*
 * Random deaths, restarts, cuts and freezes under random load; with all kinds
 * of events, planned stops too.
 */
static bool
order_play(guint32 seed, int kinds)
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
		disturb(&h, kinds);
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
orders_run(const char *name, int kinds)
{
	const char *text = g_getenv("SAMPHIRESHED_ORDERS");
	unsigned orders = text != NULL ? (unsigned)strtoul(text, NULL, 10) : 40;
	unsigned violated = 0;

	for (unsigned i = 0; i < orders; i++)
		violated += order_play(orders_seed() + i, kinds);
	g_print("# figure %s orders=%u orders_violated=%u seed=%u\n", name,
	    orders, violated, orders_seed());
	g_assert_cmpuint(violated, ==, 0);
}

static void
test_orders(void)
{
	orders_run("homes", UNPLANNED_KINDS);
}

static void
test_orders_planned(void)
{
	orders_run("homes_planned", ALL_KINDS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/homes/overload", test_overload);
	g_test_add_func("/homes/below_rate", test_below_rate);
	g_test_add_func("/homes/home_ends", test_home_ends);
	g_test_add_func("/homes/planned_stops", test_planned_stops);
	g_test_add_func("/homes/deaths", test_deaths);
	g_test_add_func("/homes/orders", test_orders);
	g_test_add_func("/homes/orders_planned", test_orders_planned);
	return (g_test_run());
}
