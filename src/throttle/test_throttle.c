/*
 * The rates that upstreams name, over fleets of instances with lost messages,
 * restarts, partitions and limits that change.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "throttle/cold.h"
#include "throttle/throttle.h"

#define SIZE_MAX_TEST 195
#define GOSSIP_MS     200
#define UPSTREAM      4711U
/* Time of a message between two instances. */
#define MESSAGE_MS 2
#define LIMITS_MAX 40
/*
 * The rule of the users: in any window, at most a limit's requests, half as
 * many again, and five.
 */
#define WINDOW_MS      4000
#define TOLERANCE_PART 0.5
#define TOLERANCE      5.0

struct instance {
	struct roster *roster;
	struct throttle *throttle;
};

struct fleet {
	struct instance instances[SIZE_MAX_TEST];
	int size;
	GRand *rand;
	double lost; /* fraction of the messages */
	int cut; /* first instance of the other side; size: none */
	clk_ms frozen_until; /* of instance 0 */
	double rate; /* that the upstream names; 0: none */
	clk_ms changed; /* when the upstream last changed what it names */
	GArray *sent; /* times */
	unsigned asked; /* questions to the home */
	double cold_per_s; /* the upstream is cold and takes these; 0: not */
	bool is_link_cut; /* between the first two of three data centres */
};

static const struct cold_tolerance tolerance = {1.5, 5.0};
/* The upstream stays cold for the whole of a test. */
#define COLD_MS (600 * CLK_SECOND)
/* A token of a cold upstream reaches it so much later at most. */
#define COLD_LATE_MS 120
#define DATACENTRES  3

/* Age of what a relay says of its data centre, at most: four intervals. */
#define RELAY_AGE_MS 400

/*
 * The instances of a cold upstream's large fleet know each other by the relays
 * of their data centres, later than they would by their own messages.
 */
static bool
is_relayed(const struct fleet *f)
{
	return (f->cold_per_s > 0 && f->size > ROSTER_MESH_MAX);
}

static void
instance_open(struct fleet *f, int i, clk_ms now)
{
	g_autofree char *name = g_strdup_printf("i%d", i);
	struct instance *instance = &f->instances[i];

	instance->roster = roster_open(name);
	instance->throttle = throttle_open(instance->roster);
	roster_size_set(instance->roster, (unsigned)f->size, now);
	for (int j = 0; j < f->size && is_relayed(f); j++) {
		static const char *const datacentres[] = {"a", "b", "c"};
		g_autofree char *peer = g_strdup_printf("i%d", j);

		if (j != i)
			roster_peer_known(instance->roster, peer,
			    datacentres[j % DATACENTRES], now);
	}
	if (f->cold_per_s > 0) {
		const struct throttle_cold cold = {
		    throttle_rate(cold_rate(f->cold_per_s, &tolerance)),
		    now + COLD_MS, now, 0};

		throttle_cold_set(instance->throttle, UPSTREAM, &cold, now);
	}
}

static void
instance_close(struct fleet *f, int i)
{
	throttle_close(f->instances[i].throttle);
	roster_close(f->instances[i].roster);
}

static void
fleet_open(struct fleet *f, guint32 seed, int size, double rate)
{
	memset(f, 0, sizeof(*f));
	f->size = size;
	f->cut = size;
	f->rate = rate;
	f->rand = g_rand_new_with_seed(seed);
	f->sent = g_array_new(FALSE, FALSE, sizeof(clk_ms));
	for (int i = 0; i < size; i++)
		instance_open(f, i, 0);
}

static void
fleet_close(struct fleet *f)
{
	for (int i = 0; i < f->size; i++)
		instance_close(f, i);
	g_array_free(f->sent, TRUE);
	g_rand_free(f->rand);
}

static bool
is_frozen(const struct fleet *f, int i, clk_ms now)
{
	return (i == 0 && now < f->frozen_until);
}

static bool
is_delivered(struct fleet *f, int i, int j, clk_ms now)
{
	if (f->is_link_cut && i % DATACENTRES + j % DATACENTRES == 1)
		return (false);
	return ((i >= f->cut) == (j >= f->cut) && !is_frozen(f, i, now) &&
	    !is_frozen(f, j, now) && g_rand_double(f->rand) >= f->lost);
}

static void
relay_send(struct fleet *f, int relay, const char *datacentre, clk_ms now)
{
	uint32_t hashes[SIZE_MAX_TEST];
	struct roster_members members = {.datacentre = datacentre,
	    .hashes = hashes,
	    .age = g_rand_int_range(f->rand, 0, RELAY_AGE_MS + 1),
	    .relay = roster_own_hash(f->instances[relay].roster)};

	for (int i = relay % DATACENTRES; i < f->size; i += DATACENTRES) {
		if (i == relay || is_delivered(f, i, relay, now))
			hashes[members.n++] =
			    roster_own_hash(f->instances[i].roster);
	}
	for (int j = 0; j < f->size; j++) {
		if (j == relay || is_delivered(f, relay, j, now))
			(void)roster_members_heard(
			    f->instances[j].roster, &members, now);
	}
}

/* Two relays for each data centre: the first members that aren't frozen. */
static void
relays_send(struct fleet *f, clk_ms now)
{
	static const char *const datacentres[DATACENTRES] = {"a", "b", "c"};

	for (int d = 0; d < DATACENTRES; d++) {
		int relays = 0;

		for (int i = d; i < f->size && relays < 2; i += DATACENTRES) {
			if (is_frozen(f, i, now))
				continue;
			relay_send(f, i, datacentres[d], now);
			relays++;
		}
	}
}

static void
gossip(struct fleet *f, clk_ms now)
{
	if (is_relayed(f))
		relays_send(f, now);
	for (int i = 0; i < f->size; i++) {
		struct throttle_limit limits[LIMITS_MAX];
		g_autofree char *name = g_strdup_printf("i%d", i);
		size_t n;

		if (is_frozen(f, i, now))
			continue;
		n = throttle_collect(
		    f->instances[i].throttle, limits, LIMITS_MAX, now);
		for (int j = 0; j < f->size; j++) {
			if (j == i || !is_delivered(f, i, j, now))
				continue;
			if (!is_relayed(f))
				roster_peer_heard(
				    f->instances[j].roster, name, now);
			throttle_merge(f->instances[j].throttle, limits,
			    MIN(n, LIMITS_MAX), now);
		}
	}
}

/* A request at instance i; returns whether it was sent to the upstream. */
static bool
request_send(struct fleet *f, int i, clk_ms now)
{
	struct instance *self = &f->instances[i];
	enum throttle_answer answer;
	clk_ms wait;

	if (now < throttle_held_until(self->throttle, UPSTREAM))
		return (false);
	answer = throttle_take(self->throttle, UPSTREAM, 0, now, &wait);
	if (answer == THROTTLE_ASK) {
		const char *home = roster_home(self->roster, UPSTREAM, 0, now);
		int j = atoi(home + 1);
		struct throttle_limit limit =
		    throttle_get(self->throttle, UPSTREAM, now);

		f->asked++;
		wait = 100;
		answer = THROTTLE_REFUSED;
		if (is_delivered(f, i, j, now)) {
			enum throttle_answer granted =
			    throttle_grant(f->instances[j].throttle, &limit, 0,
				now + MESSAGE_MS, &wait);

			limit = throttle_get(f->instances[j].throttle, UPSTREAM,
			    now + MESSAGE_MS);
			if (is_delivered(f, i, j, now)) {
				answer = granted;
				throttle_merge(self->throttle, &limit, 1, now);
			}
		}
	}
	if (answer == THROTTLE_REFUSED) {
		throttle_hold(self->throttle, UPSTREAM, now + wait);
		return (false);
	}
	if (f->cold_per_s > 0 && g_rand_boolean(f->rand))
		now += g_rand_int_range(f->rand, 0, COLD_LATE_MS + 1);
	g_array_append_val(f->sent, now);
	(void)throttle_observe(
	    self->throttle, UPSTREAM, throttle_rate(f->rate), now, now);
	return (true);
}

/* per_s requests a second at random instances; returns how many were sent. */
static unsigned
requests_send(struct fleet *f, clk_ms from, clk_ms to, double per_s)
{
	unsigned sent = 0;

	for (clk_ms now = from; now < to; now++) {
		int due = (int)(per_s / 1000.0 + g_rand_double(f->rand));

		if (now % GOSSIP_MS == 0)
			gossip(f, now);
		for (; due > 0; due--) {
			int i = g_rand_int_range(f->rand, 0, f->size);

			if (!is_frozen(f, i, now))
				sent += request_send(f, i, now);
		}
	}
	return (sent);
}

static int
compare_times(const void *a, const void *b)
{
	clk_ms one = *(const clk_ms *)a;
	clk_ms other = *(const clk_ms *)b;

	return ((one > other) - (one < other));
}

/* The most requests of a window that were sent after from. */
static unsigned
worst_window_of(const struct fleet *f, clk_ms from, clk_ms window)
{
	unsigned worst = 0;
	guint first = 0;

	g_array_sort(f->sent, compare_times);

	for (guint i = 0; i < f->sent->len; i++) {
		clk_ms at = g_array_index(f->sent, clk_ms, i);

		while (g_array_index(f->sent, clk_ms, first) < from ||
		    at - g_array_index(f->sent, clk_ms, first) >= window) {
			if (first++ == i)
				break;
		}
		if (first <= i)
			worst = MAX(worst, i - first + 1);
	}
	return (worst);
}

static unsigned
worst_window(const struct fleet *f, clk_ms from)
{
	return (worst_window_of(f, from, WINDOW_MS));
}

static double
allowed(double rate)
{
	return (rate * WINDOW_MS / 1000.0 * (1.0 + TOLERANCE_PART) + TOLERANCE);
}

static const double rates[] = {1.1, 3.0, 6.2, 17.5, 120.0};
static const int sizes[] = {1, 9, 67};

/*
 * Guards against an upstream that gets more than the rate that it named, and
 * against one that gets much less while more is asked for.
 */
static void
test_kept_and_used(void)
{
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		for (size_t r = 0; r < G_N_ELEMENTS(rates); r++) {
			struct fleet f;
			unsigned sent;

			fleet_open(&f, 1, sizes[s], rates[r]);
			f.lost = 0.02;
			(void)requests_send(&f, 0, 500, 20 * rates[r]);
			sent = requests_send(&f, 500, 20500, 20 * rates[r]);
			g_assert_cmpfloat(
			    worst_window(&f, 500), <=, allowed(rates[r]));
			g_assert_cmpfloat(sent, >=, 20 * rates[r] * 0.8);
			fleet_close(&f);
		}
	}
}

/*
 * Guards against limits that outlive what the upstream says, also where no
 * request has been sent to it in between.
 */
static void
test_ends(void)
{
	struct fleet f;
	unsigned sent;

	fleet_open(&f, 2, 9, 3.0);
	(void)requests_send(&f, 0, 3000, 100);
	f.rate = 0;
	(void)requests_send(&f, 3000, 13000, 0);
	(void)requests_send(&f, 13000, 13400, 1000);
	sent = requests_send(&f, 13400, 14400, 1000);
	g_assert_cmpuint(sent, >=, 900);
	/* And it holds again once it is named anew. */
	f.rate = 3.0;
	(void)requests_send(&f, 14400, 14900, 100);
	(void)requests_send(&f, 14900, 24900, 100);
	g_assert_cmpfloat(worst_window(&f, 14900), <=, allowed(3.0));
	fleet_close(&f);
}

/* Guards against a limit that falls and is kept at its higher value. */
static void
test_falls(void)
{
	struct fleet f;

	fleet_open(&f, 3, 67, 30.0);
	(void)requests_send(&f, 0, 5000, 200);
	f.rate = 3.0;
	(void)requests_send(&f, 5000, 5500, 200);
	(void)requests_send(&f, 5500, 20000, 200);
	g_assert_cmpfloat(worst_window(&f, 5500), <=, allowed(3.0));
	fleet_close(&f);
}

/*
 * Guards against an answer on its way that ends a limit which was named after
 * its request was sent.
 */
static void
test_late_answer(void)
{
	struct roster *roster = roster_open("i0");
	struct throttle *throttle = throttle_open(roster);

	roster_size_set(roster, 1, 0);
	(void)throttle_observe(throttle, UPSTREAM, throttle_rate(5.0), 50, 100);
	g_assert_cmpuint(
	    throttle_observe(throttle, UPSTREAM, 0, 90, 200), ==, 5000);
	g_assert_cmpuint(throttle_get(throttle, UPSTREAM, 200).rate, ==, 5000);
	(void)throttle_observe(throttle, UPSTREAM, 0, 101, 200);
	g_assert_cmpuint(throttle_get(throttle, UPSTREAM, 200).rate, ==, 0);
	throttle_close(throttle);
	roster_close(roster);
}

/* Guards against tokens that every new home grants anew. */
static void
test_homes_replaced(void)
{
	for (size_t s = 1; s < G_N_ELEMENTS(sizes); s++) {
		for (size_t r = 0; r < G_N_ELEMENTS(rates); r++) {
			struct fleet f;
			clk_ms now = 500;

			fleet_open(&f, 4, sizes[s], rates[r]);
			f.lost = 0.02;
			(void)requests_send(&f, 0, now, 20 * rates[r]);
			for (int i = 0; i < 20; i++, now += 700) {
				const char *home = roster_home(
				    f.instances[0].roster, UPSTREAM, 0, now);
				int j = home != NULL ? atoi(home + 1) : 0;

				instance_close(&f, j);
				instance_open(&f, j, now);
				(void)requests_send(
				    &f, now, now + 700, 20 * rates[r]);
			}
			g_assert_cmpfloat(
			    worst_window(&f, 500), <=, allowed(rates[r]));
			fleet_close(&f);
		}
	}
}

/*
 * Guards against instances that all ask for the same token: those that are
 * refused come back one after the other, or after a second.
 */
static void
test_questions(void)
{
	static const double limits[] = {3.0, 17.5};
	const int seconds = 10;

	for (size_t r = 0; r < G_N_ELEMENTS(limits); r++) {
		struct fleet f;

		fleet_open(&f, 5, 67, limits[r]);
		(void)requests_send(&f, 0, 500, 500);
		f.asked = 0;
		(void)requests_send(&f, 500, 500 + seconds * CLK_SECOND, 500);
		g_assert_cmpfloat(
		    f.asked, <=, (f.size + 2 * limits[r]) * seconds);
		fleet_close(&f);
	}
}

/* A token of the near future is reserved, and the wait of a refusal holds. */
static void
test_wait(void)
{
	struct roster *roster = roster_open("i0");
	struct throttle *throttle = throttle_open(roster);
	clk_ms wait, refused;

	roster_size_set(roster, 1, 0);
	(void)throttle_observe(throttle, UPSTREAM, throttle_rate(5.0), 0, 0);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 0, &refused), ==,
	    THROTTLE_REFUSED);
	g_assert_cmpint(refused, ==, 200);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 300, 0, &wait), ==,
	    THROTTLE_GRANTED);
	g_assert_cmpint(wait, ==, 200);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 300, 0, &wait), ==,
	    THROTTLE_REFUSED);
	g_assert_cmpint(wait, ==, 400);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 399, &wait), ==,
	    THROTTLE_REFUSED);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 400, &wait), ==,
	    THROTTLE_GRANTED);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM + 1, 0, 400, &wait),
	    ==, THROTTLE_FREE);
	throttle_close(throttle);
	roster_close(roster);
}

/* What there is no room for in a message comes in a later one. */
static void
test_more_limits_than_room(void)
{
	struct roster *roster = roster_open("i0");
	struct throttle *throttle = throttle_open(roster);
	struct throttle_limit limits[LIMITS_MAX];
	g_autoptr(GHashTable) told = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 1; i <= 3 * LIMITS_MAX; i++)
		(void)throttle_observe(throttle, i, throttle_rate(2.0), 0, 0);
	for (clk_ms now = 0; now < 3; now++) {
		g_assert_cmpuint(
		    throttle_collect(throttle, limits, LIMITS_MAX, now), ==,
		    3 * LIMITS_MAX);
		for (int i = 0; i < LIMITS_MAX; i++)
			(void)g_hash_table_add(
			    told, GUINT_TO_POINTER(limits[i].upstream));
	}
	g_assert_cmpuint(g_hash_table_size(told), ==, 3 * LIMITS_MAX);
	throttle_close(throttle);
	roster_close(roster);
}

/*
 * A random order of restarts, a freeze, a partition, lost messages and
 * changes of what is asked for.  The limit holds from half a second after it
 * was named.  Returns whether it did.
 */
static bool
order_play(guint32 seed, int size, double rate)
{
	struct fleet f;
	clk_ms now = 500;
	bool is_kept;

	fleet_open(&f, seed, size, rate);
	f.lost = g_rand_double_range(f.rand, 0, 0.1);
	(void)requests_send(&f, 0, now, 10 * rate + 2 * size);
	for (int step = 0; step < 8; step++) {
		clk_ms until = now + g_rand_int_range(f.rand, 100, 1500);
		int i;

		switch (g_rand_int_range(f.rand, 0, 5)) {
		case 0:
			i = g_rand_int_range(f.rand, 0, size);
			instance_close(&f, i);
			instance_open(&f, i, now);
			break;
		case 1:
			f.cut = g_rand_int_range(f.rand, 1, size + 1);
			break;
		case 2:
			f.cut = size;
			break;
		case 3:
			f.frozen_until = until;
			break;
		default:
			break;
		}
		(void)requests_send(&f, now, until,
		    g_rand_double_range(f.rand, 0, 10 * rate + 2 * size));
		now = until;
	}
	is_kept = worst_window(&f, 500) <= allowed(rate);
	if (!is_kept)
		g_test_message("seed %u, %d instances, %.1f a second: %u in a "
			       "window, %.1f allowed",
		    seed, size, rate, worst_window(&f, 500), allowed(rate));
	fleet_close(&f);
	return (is_kept);
}

#define ORDERS 120

/*
 * Guards against tokens of two homes at once, and of one that has been
 * replaced: the limit holds over random orders of faults.
 */
static void
test_orders(void)
{
	unsigned broken = 0;

	for (guint32 seed = 1; seed <= ORDERS; seed++) {
		for (size_t r = 0; r < G_N_ELEMENTS(rates); r++)
			broken +=
			    !order_play(seed, sizes[1 + seed % 2], rates[r]);
	}
	g_test_message("%u orders, %u broken",
	    (unsigned)(ORDERS * G_N_ELEMENTS(rates)), broken);
	g_assert_cmpuint(broken, ==, 0);
}

/*
 * The check of the orders can fail: an upstream whose limit the instances do
 * not know gets more.
 */
static void
test_check_can_fail(void)
{
	struct fleet f;

	fleet_open(&f, 1, 9, 0);
	(void)requests_send(&f, 0, 5000, 30);
	g_assert_cmpfloat(worst_window(&f, 0), >, allowed(3.0));
	fleet_close(&f);
}

/* ---- Cold upstreams ---- */

static const int cold_sizes[] = {9, 62, 195};
static const double cold_rates[] = {2.0, 21.0, 60.0};

static unsigned
cold_allowed(double per_s)
{
	return ((unsigned)(per_s * tolerance.overage + tolerance.slack));
}

/* Opens a fleet whose instances hear each other, and of an idle upstream. */
static void
cold_fleet_open(struct fleet *f, guint32 seed, int size, double per_s)
{
	fleet_open(f, seed, size, 0);
	f->cold_per_s = per_s;
	for (int i = 0; i < size; i++) {
		instance_close(f, i);
		instance_open(f, i, 0);
	}
}

/*
 * Guards against a cold upstream that gets more than it takes in any one
 * second from a fleet of any size, and against one that gets nearly nothing.
 */
static void
test_cold_kept_and_used(void)
{
	for (size_t s = 0; s < G_N_ELEMENTS(cold_sizes); s++) {
		for (size_t r = 0; r < G_N_ELEMENTS(cold_rates); r++) {
			double per_s = cold_rates[r];
			double rate = cold_rate(per_s, &tolerance);
			struct fleet f;
			unsigned sent;

			cold_fleet_open(&f, 11, cold_sizes[s], per_s);
			(void)requests_send(&f, 0, 500, 20 * per_s);
			sent = requests_send(&f, 500, 10500, 20 * per_s);
			g_assert_cmpuint(worst_window_of(&f, 0, CLK_SECOND), <=,
			    cold_allowed(per_s));
			g_assert_cmpfloat(sent, >=, 10 * rate * 0.8);
			g_test_message("%d instances, %.0f a second: %u in 10 "
				       "s, %u in a second, %u allowed",
			    cold_sizes[s], per_s, sent,
			    worst_window_of(&f, 0, CLK_SECOND),
			    cold_allowed(per_s));
			fleet_close(&f);
		}
	}
}

/*
 * A random order of restarts, freezes, partitions, a cut between two of three
 * data centres, lost messages and tokens that are used late.  Returns the most
 * requests of any second.
 */
static unsigned
cold_order_play(guint32 seed, int size, double per_s)
{
	struct fleet f;
	clk_ms now = 500;
	unsigned worst;

	cold_fleet_open(&f, seed, size, per_s);
	f.lost = g_rand_double_range(f.rand, 0, 0.1);
	(void)requests_send(&f, 0, now, 10 * per_s + 2 * size);
	for (int step = 0; step < 8; step++) {
		clk_ms until = now + g_rand_int_range(f.rand, 100, 1500);
		int i;

		switch (g_rand_int_range(f.rand, 0, 7)) {
		case 0:
			i = g_rand_int_range(f.rand, 0, size);
			instance_close(&f, i);
			instance_open(&f, i, now);
			break;
		case 1:
			f.cut = g_rand_int_range(f.rand, 1, size + 1);
			break;
		case 2:
			f.cut = size;
			f.is_link_cut = false;
			break;
		case 3:
			f.frozen_until = until;
			break;
		case 4:
			f.is_link_cut = true;
			break;
		default:
			break;
		}
		(void)requests_send(&f, now, until,
		    g_rand_double_range(f.rand, 0, 10 * per_s + 2 * size));
		now = until;
	}
	worst = worst_window_of(&f, 0, CLK_SECOND);
	if (worst > cold_allowed(per_s))
		g_test_message("seed %u, %d instances, %.1f a second: %u in a "
			       "second, %u allowed",
		    seed, size, per_s, worst, cold_allowed(per_s));
	fleet_close(&f);
	return (worst);
}

#define COLD_ORDERS 60

/*
 * Guards against tokens of several homes at once, of a home that was replaced,
 * of sides of a partition, and against tokens that are used late: the bound of
 * any one second holds over random orders of faults.
 */
static void
test_cold_orders(void)
{
	for (size_t s = 0; s < G_N_ELEMENTS(cold_sizes); s++) {
		/* A large fleet takes longer to play. */
		guint32 orders = COLD_ORDERS * 9 / (guint32)cold_sizes[s];
		unsigned broken = 0;

		for (size_t r = 0; r < G_N_ELEMENTS(cold_rates); r++) {
			unsigned worst = 0;

			for (guint32 seed = 1; seed <= MAX(orders, 8); seed++) {
				unsigned got = cold_order_play(
				    seed, cold_sizes[s], cold_rates[r]);

				worst = MAX(worst, got);
				broken += got > cold_allowed(cold_rates[r]);
			}
			g_test_message("%d instances, %.0f a second, seeds 1 "
				       "to %u: %u at most, %u allowed",
			    cold_sizes[s], cold_rates[r], MAX(orders, 8), worst,
			    cold_allowed(cold_rates[r]));
		}
		g_assert_cmpuint(broken, ==, 0);
	}
}

/* The check of cold upstreams can fail: without tokens they get more. */
static void
test_cold_check_can_fail(void)
{
	struct fleet f;

	fleet_open(&f, 1, 9, 0);
	(void)requests_send(&f, 0, 3000, 60);
	g_assert_cmpuint(
	    worst_window_of(&f, 0, CLK_SECOND), >, cold_allowed(21.0));
	fleet_close(&f);
}

/*
 * Guards against a cold rate that hides the rate which the upstream names, or
 * the other way round: the lower one applies, and each ends by itself.
 */
static void
test_cold_and_named(void)
{
	struct roster *roster = roster_open("i0");
	struct throttle *throttle = throttle_open(roster);
	struct throttle_limit limits[LIMITS_MAX];
	const struct throttle_cold cold = {throttle_rate(10.0), 5000, 0, 0};
	clk_ms wait;

	roster_size_set(roster, 1, 0);
	throttle_cold_set(throttle, UPSTREAM, &cold, 0);
	g_assert_true(throttle_is_cold(throttle, UPSTREAM));
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 0, &wait), ==,
	    THROTTLE_REFUSED);
	g_assert_cmpint(wait, ==, 100);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 100, &wait), ==,
	    THROTTLE_GRANTED);
	/* Its bucket holds two tokens, however long it has been filling. */
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 1100, &wait), ==,
	    THROTTLE_GRANTED);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 1100, &wait), ==,
	    THROTTLE_GRANTED);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 1100, &wait), ==,
	    THROTTLE_REFUSED);
	/* An answer without a limit doesn't make it warm. */
	(void)throttle_observe(throttle, UPSTREAM, 0, 1200, 1200);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 1100, &wait), ==,
	    THROTTLE_REFUSED);
	(void)throttle_observe(
	    throttle, UPSTREAM, throttle_rate(2.0), 1200, 1200);
	g_assert_cmpint(throttle_take(throttle, UPSTREAM, 0, 1300, &wait), ==,
	    THROTTLE_REFUSED);
	g_assert_cmpint(wait, >=, 300);
	/* Warm: the named rate is left. */
	(void)throttle_collect(throttle, limits, LIMITS_MAX, 5100);
	g_assert_false(throttle_is_cold(throttle, UPSTREAM));
	g_assert_true(throttle_is_limited(throttle, UPSTREAM));
	(void)throttle_observe(throttle, UPSTREAM, 0, 5200, 5200);
	g_assert_false(throttle_is_limited(throttle, UPSTREAM));
	g_assert_cmpuint(throttle_limited(throttle), ==, 0);
	throttle_close(throttle);
	roster_close(roster);
}

static size_t
tell(struct throttle *from, struct throttle *to, clk_ms now)
{
	struct throttle_limit limits[LIMITS_MAX];
	size_t n = throttle_collect(from, limits, LIMITS_MAX, now);

	throttle_merge(to, limits, n, now + MESSAGE_MS);
	return (n);
}

/*
 * Guards against instances that don't know that an upstream is cold, or warm,
 * because the store turns them away, also behind a relay that it turns away;
 * and against older knowledge, which one of them tells on, that undoes newer.
 */
static void
test_cold_heard(void)
{
	const struct throttle_cold cold = {throttle_rate(10.0), 9000, 1, 0};
	const struct throttle_cold warm = {throttle_rate(10.0), 0, 3000, 0};
	struct roster *roster = roster_open("i0");
	struct throttle *reads = throttle_open(roster);
	struct throttle *relay = throttle_open(roster);
	struct throttle *member = throttle_open(roster);

	roster_size_set(roster, 1, 0);
	throttle_cold_set(reads, UPSTREAM, &cold, 1);
	g_assert_cmpuint(tell(reads, relay, 100), ==, 1);
	g_assert_true(throttle_is_cold(relay, UPSTREAM));
	g_assert_cmpuint(throttle_get(relay, UPSTREAM, 102).cold, ==, 8900);
	g_assert_cmpuint(tell(relay, member, 200), ==, 1);
	g_assert_true(throttle_is_cold(member, UPSTREAM));
	/* Its entry says that it is warm, earlier than it said before. */
	throttle_cold_set(reads, UPSTREAM, &warm, 3000);
	g_assert_false(throttle_is_cold(reads, UPSTREAM));
	g_assert_cmpuint(tell(member, reads, 3100), ==, 1);
	g_assert_false(throttle_is_cold(reads, UPSTREAM));
	g_assert_cmpuint(tell(reads, relay, 3200), ==, 1);
	g_assert_cmpuint(tell(relay, member, 3300), ==, 1);
	g_assert_false(throttle_is_cold(member, UPSTREAM));
	g_assert_cmpuint(throttle_limited(member), ==, 0);
	/* What is no news any more is not told. */
	g_assert_cmpuint(tell(reads, relay, 9000), ==, 0);
	throttle_close(reads);
	throttle_close(relay);
	throttle_close(member);
	roster_close(roster);
}

/*
 * Guards against a home that grants without a limit to an instance which
 * doubts that the upstream is warm, and against a doubt that is told on.
 */
static void
test_cold_doubted(void)
{
	const struct throttle_cold doubted = {throttle_rate(10.0), 0, 1, 2000};
	const struct throttle_cold warm = {throttle_rate(10.0), 0, 1, 0};
	struct roster *roster = roster_open("i0");
	struct throttle *asker = throttle_open(roster);
	struct throttle *home = throttle_open(roster);
	struct throttle_limit limit;
	clk_ms wait;

	roster_size_set(roster, 1, 0);
	throttle_cold_set(home, UPSTREAM, &warm, 1);
	throttle_cold_set(asker, UPSTREAM, &doubted, 1);
	g_assert_true(throttle_is_cold(asker, UPSTREAM));
	limit = throttle_get(asker, UPSTREAM, 10);
	g_assert_cmpuint(limit.cold_age, ==, THROTTLE_COLD_DOUBTED);
	g_assert_cmpuint(tell(asker, home, 20), ==, 0);
	g_assert_false(throttle_is_cold(home, UPSTREAM));
	g_assert_cmpint(
	    throttle_grant(home, &limit, 0, 30, &wait), ==, THROTTLE_REFUSED);
	g_assert_cmpint(wait, ==, 100);
	g_assert_true(throttle_is_cold(home, UPSTREAM));
	g_assert_cmpuint(tell(home, asker, 40), ==, 0);
	/* An answer of the home renews no doubt that has ended. */
	throttle_cold_set(asker, UPSTREAM, &warm, 50);
	limit = throttle_get(home, UPSTREAM, 60);
	throttle_merge(asker, &limit, 1, 60);
	g_assert_false(throttle_is_cold(asker, UPSTREAM));
	(void)throttle_collect(home, &limit, 1, 2100);
	g_assert_false(throttle_is_cold(home, UPSTREAM));
	throttle_close(asker);
	throttle_close(home);
	roster_close(roster);
}

static void
test_message(void)
{
	const struct throttle_message message = {
	    .kind = THROTTLE_MESSAGE_ANSWER,
	    .serial = 77,
	    .limit = {UPSTREAM, 3500, 120, 14000, 9000, 70},
	    .max_wait = 9,
	    .is_granted = true,
	    .wait = 150};
	struct throttle_message decoded;
	char buf[THROTTLE_MESSAGE_MAX];
	size_t len = throttle_message_encode(buf, sizeof(buf), &message);

	g_assert_cmpuint(len, >, 0);
	g_assert_true(throttle_is_message(buf, len));
	g_assert_true(throttle_message_decode(buf, len, &decoded));
	g_assert_cmpuint(decoded.limit.rate, ==, 3500);
	g_assert_cmpuint(decoded.limit.age, ==, 120);
	g_assert_cmpuint(decoded.limit.cold_rate, ==, 14000);
	g_assert_cmpuint(decoded.limit.cold, ==, 9000);
	g_assert_cmpuint(decoded.limit.cold_age, ==, 70);
	g_assert_cmpuint(decoded.serial, ==, 77);
	g_assert_true(decoded.is_granted);
	g_assert_cmpuint(decoded.wait, ==, 150);
	g_assert_false(throttle_message_decode(buf, len - 1, &decoded));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/throttle/kept-and-used", test_kept_and_used);
	g_test_add_func("/throttle/ends", test_ends);
	g_test_add_func("/throttle/falls", test_falls);
	g_test_add_func("/throttle/late-answer", test_late_answer);
	g_test_add_func("/throttle/homes-replaced", test_homes_replaced);
	g_test_add_func("/throttle/questions", test_questions);
	g_test_add_func("/throttle/wait", test_wait);
	g_test_add_func(
	    "/throttle/more-limits-than-room", test_more_limits_than_room);
	g_test_add_func("/throttle/orders", test_orders);
	g_test_add_func("/throttle/check-can-fail", test_check_can_fail);
	g_test_add_func(
	    "/throttle/cold-kept-and-used", test_cold_kept_and_used);
	g_test_add_func("/throttle/cold-orders", test_cold_orders);
	g_test_add_func(
	    "/throttle/cold-check-can-fail", test_cold_check_can_fail);
	g_test_add_func("/throttle/cold-and-named", test_cold_and_named);
	g_test_add_func("/throttle/cold-heard", test_cold_heard);
	g_test_add_func("/throttle/cold-doubted", test_cold_doubted);
	g_test_add_func("/throttle/message", test_message);
	return (g_test_run());
}
