/*
 * Quotas over a fleet of instances with lost gossip messages, partitions and
 * restarts, and the active programs.
 */
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "quota/active_programs.h"
#include "quota/quota.h"
#include "quota/token.h"

#define FLEET	  9
#define FLEET_MAX 67
#define TICK_MS	  200
#define RATE	  200.0
#define BURST	  200.0
#define WINDOW_MS 5000
/* Counts of a gossip message. */
#define COUNTS_MAX 70

static const struct quota_tolerance tolerance = {5, 0.1, 20};

struct fleet {
	struct roster *rosters[FLEET_MAX];
	struct quota *instances[FLEET_MAX];
	uint64_t incarnation[FLEET_MAX];
	int size;
	double rate;
	double burst;
	GRand *rand;
	GPtrArray *names; /* of the organisations */
	GArray **admitted; /* times, for each organisation */
	double lost; /* fraction of the datagrams */
	int cut; /* first instance of the other partition; size: none */
	int first; /* instance that gets requests */
	guint32 hot; /* the first organisations, which send half of all */
	bool is_size_unknown; /* to instances that start */
	unsigned refused;
};

/* A fleet of size instances, before organisations with the same limit. */
static void
fleet_open_size(struct fleet *f, guint32 seed, int size, int organisations,
    double rate, double burst)
{
	memset(f, 0, sizeof(*f));
	f->size = size;
	f->rate = rate;
	f->burst = burst;
	f->rand = g_rand_new_with_seed(seed);
	f->names = g_ptr_array_new_with_free_func(g_free);
	f->admitted = g_new0(GArray *, organisations);
	for (int i = 0; i < organisations; i++) {
		g_ptr_array_add(f->names, g_strdup_printf("o%d", i));
		f->admitted[i] = g_array_new(FALSE, FALSE, sizeof(clk_ms));
	}
	f->cut = size;
	for (int i = 0; i < size; i++) {
		g_autofree char *name = g_strdup_printf("i%d", i);

		f->rosters[i] = roster_open(name);
		f->instances[i] = quota_open(f->rosters[i], &tolerance, 0);
		roster_size_set(f->rosters[i], (unsigned)size, 0);
	}
}

static void
fleet_open(struct fleet *f, guint32 seed)
{
	fleet_open_size(f, seed, FLEET, 1, RATE, BURST);
}

static void
fleet_close(struct fleet *f)
{
	for (int i = 0; i < f->size; i++) {
		quota_close(f->instances[i]);
		roster_close(f->rosters[i]);
	}
	for (guint i = 0; i < f->names->len; i++)
		g_array_free(f->admitted[i], TRUE);
	g_free(f->admitted);
	g_ptr_array_free(f->names, TRUE);
	g_rand_free(f->rand);
}

static void
gossip(struct fleet *f, clk_ms now)
{
	for (int i = 0; i < f->size; i++) {
		struct quota_count counts[COUNTS_MAX];
		g_autofree char *name = g_strdup_printf("i%d", i);
		size_t n =
		    quota_report(f->instances[i], counts, COUNTS_MAX, now);

		n = MIN(n, COUNTS_MAX);
		for (int j = 0; j < f->size; j++) {
			if (j == i || (i >= f->cut) != (j >= f->cut) ||
			    g_rand_double(f->rand) < f->lost)
				continue;
			roster_peer_heard(f->rosters[j], name, now);
			quota_gossip_merge(f->instances[j], name,
			    f->incarnation[i], counts, n, now);
		}
	}
}

static void
restart(struct fleet *f, int i, clk_ms now)
{
	g_autofree char *name = g_strdup_printf("i%d", i);

	quota_close(f->instances[i]);
	roster_close(f->rosters[i]);
	f->rosters[i] = roster_open(name);
	f->instances[i] = quota_open(f->rosters[i], &tolerance, now);
	if (!f->is_size_unknown)
		roster_size_set(f->rosters[i], (unsigned)f->size, now);
	f->incarnation[i]++;
}

/* Whether a question and its answer cross a partition, or one is lost. */
static bool
is_unanswered(struct fleet *f, int i, int j)
{
	return ((i >= f->cut) != (j >= f->cut) ||
	    g_rand_double(f->rand) < f->lost ||
	    g_rand_double(f->rand) < f->lost);
}

/* A request at instance i, which asks the homes if it must. */
static bool
admit(struct fleet *f, int i, const char *organisation,
    enum quota_priority priority, clk_ms now)
{
	const struct quota_limit limit =
	    quota_limit_make(organisation, f->rate, f->burst);
	clk_ms wait;
	enum quota_answer answer =
	    quota_admit(f->instances[i], &limit, priority, now, &wait);

	for (unsigned rank = 0; answer == QUOTA_ASK && rank < ROSTER_HOMES;
	     rank++) {
		const char *home =
		    roster_home(f->rosters[i], limit.organisation, rank, now);
		int j = home != NULL ? atoi(home + 1) : i;

		if (home != NULL && !is_unanswered(f, i, j) &&
		    quota_grant(f->instances[j], &limit, priority, now, &wait))
			answer = QUOTA_ADMITTED;
	}
	return (answer == QUOTA_ADMITTED);
}

/*
 * Sends per_s requests a second, more of them to the first instances and each
 * of a random organisation.  One in ten is the first of a program.
 */
static void
send_requests(struct fleet *f, clk_ms from, clk_ms to, double per_s)
{
	for (clk_ms now = from; now < to; now++) {
		/* Rounds up or down at random, so that the mean is per_s. */
		int due = (int)(per_s / 1000.0 + g_rand_double(f->rand));

		if (now % TICK_MS == 0)
			gossip(f, now);
		for (; due > 0; due--) {
			double skew = g_rand_double(f->rand);
			int i = f->first +
			    (int)(skew * skew * (f->size - f->first));
			guint32 some = f->hot > 0 && g_rand_boolean(f->rand)
			    ? f->hot
			    : f->names->len;
			guint o =
			    (guint)g_rand_int_range(f->rand, 0, (gint32)some);

			if (admit(f, i, f->names->pdata[o],
				g_rand_int_range(f->rand, 0, 10) == 0
				    ? QUOTA_NEW_PROGRAM
				    : QUOTA_ACTIVE_PROGRAM,
				now))
				g_array_append_val(f->admitted[o], now);
			else
				f->refused++;
		}
	}
}

/* Returns the most requests of an organisation admitted in any window. */
static unsigned
worst_window_of(const GArray *admitted)
{
	unsigned worst = 0;
	guint first = 0;

	for (guint last = 0; last < admitted->len; last++) {
		while (g_array_index(admitted, clk_ms, last) -
			g_array_index(admitted, clk_ms, first) >=
		    WINDOW_MS)
			first++;
		worst = MAX(worst, last - first + 1);
	}
	return (worst);
}

static unsigned
worst_window(const struct fleet *f)
{
	unsigned worst = 0;

	for (guint i = 0; i < f->names->len; i++)
		worst = MAX(worst, worst_window_of(f->admitted[i]));
	return (worst);
}

static unsigned
window_limit(const struct fleet *f)
{
	return ((unsigned)((f->rate * WINDOW_MS / 1000 + f->burst) *
		(1 + tolerance.fraction) +
	    tolerance.requests));
}

/* An organisation sends five times its rate, and gossip gets lost. */
static void
test_overload(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open(&f, seed);
		f.lost = 0.05;
		send_requests(&f, 0, 20000, 5 * RATE);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		/* Most of the rate is granted. */
		g_assert_cmpuint(f.admitted[0]->len, >=, 20 * RATE * 0.8);
		fleet_close(&f);
	}
}

/* Guards against refusals below the rate if the load is uneven. */
static void
test_below_rate(void)
{
	unsigned refused = 0;
	unsigned total = 0;

	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open(&f, seed);
		send_requests(&f, 3000, 20000, RATE / 1.6);
		refused += f.refused;
		total += f.admitted[0]->len + f.refused;
		fleet_close(&f);
	}
	/* The target is under 1 in 1,000. */
	g_assert_cmpfloat(refused, <=, total / 1000.0);
}

/* Both sides of a partition together stay within the rate. */
static void
test_partition(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open(&f, seed);
		send_requests(&f, 0, 8000, 5 * RATE);
		f.cut = 1 + (int)(seed % (FLEET - 1));
		send_requests(&f, 8000, 16000, 5 * RATE);
		f.cut = FLEET;
		send_requests(&f, 16000, 22000, 5 * RATE);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/* Guards against a second burst after a restart of all processes. */
static void
test_restart(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open(&f, seed);
		send_requests(&f, 0, 8000, 5 * RATE);
		for (int i = 0; i < FLEET; i++)
			restart(&f, i, 8700);
		send_requests(&f, 8700, 14000, 5 * RATE);
		/* Then one after the other, as in a rolling restart. */
		for (int i = 0; i < FLEET; i++) {
			clk_ms at = 14000 + 1300 * i;

			restart(&f, i, at);
			send_requests(&f, at, at + 1300, 5 * RATE);
		}
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Guards against an organisation that exceeds its limit because its counts
 * are left out of the messages: there are more organisations than counts in a
 * message.
 */
static void
test_more_organisations_than_counts(void)
{
	for (guint32 seed = 1; seed <= 2; seed++) {
		struct fleet f;

		fleet_open_size(&f, seed, 30, COUNTS_MAX + 6, 20, 20);
		send_requests(&f, 0, 8000, 3.0 * 20 * (COUNTS_MAX + 6));
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Guards against the same at the size that the design is for: most of the
 * organisations with news don't fit a report.
 */
static void
test_organisations_of_target(void)
{
	struct fleet f;
	unsigned served = 0;

	fleet_open_size(&f, 1, 12, 38000, 5, 5);
	f.hot = 40;
	send_requests(&f, 0, 8000, 12000);
	g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
	/* Those that send little are served. */
	for (guint o = f.hot; o < f.names->len; o++)
		served += f.admitted[o]->len;
	g_assert_cmpuint(served, >=, 8 * 6000 * 0.95);
	fleet_close(&f);
}

/*
 * Guards against an organisation that exceeds its limit because each of many
 * instances admits one of its requests before it hears of the others.
 */
static void
test_many_instances(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open_size(&f, seed, FLEET_MAX, 1, 10, 10);
		send_requests(&f, 0, 3000, 8);
		send_requests(&f, 3000, 12000, 600);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * The same, if the organisation's requests grow over seconds, so that the
 * instances know of the others' before they reach the limit.
 */
static void
test_many_instances_growing(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open_size(&f, seed, FLEET_MAX, 1, 10, 10);
		send_requests(&f, 0, 3000, 8);
		for (int step = 1; step <= 10; step++)
			send_requests(&f, 2800 + 200 * step, 3000 + 200 * step,
			    60 * step);
		send_requests(&f, 5000, 12000, 600);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Guards against the whole rate at each instance that doesn't know how many
 * there are: it has read a configuration but no other record, and hears nobody.
 */
static void
test_unknown_fleet(void)
{
	struct fleet f;

	fleet_open(&f, 1);
	f.lost = 1.0;
	f.is_size_unknown = true;
	for (int i = 0; i < FLEET; i++)
		restart(&f, i, 0);
	send_requests(&f, 0, 12000, 5 * RATE);
	g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
	fleet_close(&f);
}

/*
 * Guards against parts of the bucket that add up to more than the whole: above
 * its rate, an organisation has more requests than admissions.
 */
static void
test_pause_above_rate(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open(&f, seed);
		send_requests(&f, 0, 5000, 15 * RATE);
		send_requests(&f, 5000, 6400, 0);
		send_requests(&f, 6400, 10000, 15 * RATE);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Guards against both sides of a partition using the whole rate: of an
 * organisation with few requests an instance hears more often than it is
 * asked.
 */
static void
test_partition_of_many_instances(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open_size(&f, seed, 30, 1, 20, 20);
		send_requests(&f, 0, 4000, 60);
		f.cut = 15;
		send_requests(&f, 4000, 16000, 60);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Guards against a full bucket at an instance that gets an organisation's
 * first request while others have used the bucket up.
 */
static void
test_first_request_at_instance(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open_size(&f, seed, 30, 1, 100, 100);
		send_requests(&f, 0, 20000, 0);
		f.first = 15;
		send_requests(&f, 20000, 24000, 500);
		f.first = 0;
		send_requests(&f, 24000, 28000, 1000);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Guards against a second bucket for instances that get an organisation's
 * requests only now, while those that got them before use the first one.
 */
static void
test_traffic_spreads(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet f;

		fleet_open(&f, seed);
		f.first = FLEET / 2;
		send_requests(&f, 0, 5000, RATE / 2);
		f.first = 0;
		send_requests(&f, 5000, 5200, 15 * RATE);
		send_requests(&f, 5200, 10000, 5 * RATE);
		g_assert_cmpuint(worst_window(&f), <=, window_limit(&f));
		fleet_close(&f);
	}
}

/*
 * Plays all sources of excess together, in random order: partitions, restarts,
 * lost messages, pauses, and traffic that grows and moves.  Returns whether
 * the limit was kept.
 */
static bool
order_play(guint32 seed)
{
	static const int sizes[] = {3, 9, 30, FLEET_MAX};
	static const double rates[] = {5, 10, 40, 200};
	static const double loads[] = {0, 0.5, 2, 5, 12};
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	int size = sizes[g_rand_int_range(rand, 0, 4)];
	double rate = rates[g_rand_int_range(rand, 0, 4)];
	struct fleet f;
	clk_ms now = 0;
	bool kept;

	fleet_open_size(&f, seed, size, 1, rate, rate);
	f.lost = g_rand_double_range(rand, 0, 0.05);
	for (int phase = 0; phase < 8; phase++) {
		clk_ms end = now + g_rand_int_range(rand, 400, 4000);
		double load = loads[g_rand_int_range(rand, 0, 5)];

		switch (g_rand_int_range(rand, 0, 5)) {
		case 0:
			f.cut = g_rand_int_range(rand, 1, size + 1);
			break;
		case 1:
			f.cut = size;
			break;
		case 2:
			restart(&f, g_rand_int_range(rand, 0, size), now);
			break;
		case 3:
			f.first = g_rand_int_range(rand, 0, size);
			break;
		default:
			break;
		}
		send_requests(&f, now, end, load * rate);
		now = end;
	}
	kept = worst_window(&f) <= window_limit(&f);
	g_test_message("seed %u: %d instances, rate %.0f, at most %u of %u",
	    seed, size, rate, worst_window(&f), window_limit(&f));
	fleet_close(&f);
	return (kept);
}

static void
test_orders(void)
{
	for (guint32 seed = 1; seed <= 60; seed++)
		g_assert_true(order_play(seed));
}

/*
 * Orders that cut a fleet of three while a full bucket is being spent: the
 * sides spend what they have not heard of until the share falls.
 */
static void
test_orders_of_three_instances(void)
{
	g_assert_true(order_play(295));
	g_assert_true(order_play(1327));
	g_assert_true(order_play(1390));
}

/*
 * Guards against programs that are refused after their first turn: above the
 * rate, new programs are refused before requests of active ones.
 */
static void
test_active_programs_first(void)
{
	struct roster *roster = roster_open("i0");
	struct quota *quota = quota_open(roster, &tolerance, 0);
	const struct quota_limit limit = quota_limit_make("o", 250, 250);
	struct quota_count counts[4];
	unsigned refused[2] = {0, 0};
	unsigned asked[2] = {0, 0};
	clk_ms wait;

	roster_size_set(roster, 1, 0);
	for (clk_ms now = 1; now < 30000; now += 5) {
		/* 400 requests a second, half of them of new programs. */
		for (int i = 0; i < 2; i++) {
			enum quota_priority priority =
			    i == 0 ? QUOTA_NEW_PROGRAM : QUOTA_ACTIVE_PROGRAM;

			asked[i]++;
			refused[i] += quota_admit(quota, &limit, priority, now,
					  &wait) != QUOTA_ADMITTED;
		}
		if (now % TICK_MS == 1)
			(void)quota_report(quota, counts, 4, now);
	}
	g_assert_cmpuint(refused[1], <=, asked[1] / 50);
	g_assert_cmpuint(refused[0], >=, asked[0] / 2);
	quota_close(quota);
	roster_close(roster);
}

/* After the wait that a refusal states, a request is admitted. */
static void
test_wait(void)
{
	struct roster *roster = roster_open("i0");
	struct quota *quota = quota_open(roster, &tolerance, 0);
	const struct quota_limit limit = quota_limit_make("o", 10, 10);
	const struct quota_limit none = quota_limit_make("free", 0, 0);
	struct quota_count counts[4];
	clk_ms wait;

	roster_size_set(roster, 1, 0);
	while (quota_admit(quota, &limit, QUOTA_ACTIVE_PROGRAM, 1000, &wait) ==
	    QUOTA_ADMITTED)
		continue;
	g_assert_cmpint(wait, >, 0);
	(void)quota_report(quota, counts, 4, 1000);
	g_assert_cmpint(quota_admit(quota, &limit, QUOTA_ACTIVE_PROGRAM,
			    1000 + wait, &wait),
	    ==, QUOTA_ADMITTED);
	g_assert_cmpint(
	    quota_admit(quota, &none, QUOTA_ACTIVE_PROGRAM, 1, &wait), ==,
	    QUOTA_ADMITTED);
	quota_close(quota);
	roster_close(roster);
}

/*
 * Guards against requests that do not run but use up the rate, such as those
 * of a program whose budget is spent.
 */
static void
test_refund(void)
{
	struct roster *roster = roster_open("i0");
	struct quota *quota = quota_open(roster, &tolerance, 0);
	const struct quota_limit limit = quota_limit_make("o", 10, 10);
	clk_ms wait;

	roster_size_set(roster, 1, 0);
	for (int i = 0; i < 1000; i++) {
		g_assert_cmpint(quota_admit(quota, &limit, QUOTA_ACTIVE_PROGRAM,
				    1000, &wait),
		    ==, QUOTA_ADMITTED);
		quota_refund(quota, limit.organisation);
	}
	quota_close(quota);
	roster_close(roster);
}

/*
 * All instances name the same homes of an organisation, and the homes are
 * spread over the instances.
 */
static void
test_homes(void)
{
	struct fleet f;
	int homes[FLEET] = {0};

	fleet_open(&f, 1);
	gossip(&f, 1);
	for (uint32_t organisation = 1; organisation <= 900; organisation++) {
		const char *home = NULL;

		for (int i = 0; i < FLEET; i++) {
			const char *name =
			    roster_home(f.rosters[i], organisation, 0, 1);

			/* One instance, which is the home, names none. */
			if (name != NULL && home != NULL)
				g_assert_cmpstr(name, ==, home);
			if (name != NULL)
				home = name;
		}
		g_assert_nonnull(home);
		homes[atoi(home + 1)]++;
		g_assert_null(
		    roster_home(f.rosters[atoi(home + 1)], organisation, 0, 1));
	}
	for (int i = 0; i < FLEET; i++)
		g_assert_cmpint(homes[i], >=, 50);
	fleet_close(&f);
}

/* A program is active at the instances that got its gossip, and expires. */
static void
test_active_programs(void)
{
	struct active_programs *a = active_programs_open(1000);
	struct active_programs *b = active_programs_open(1000);
	uint64_t hashes[4];
	size_t n;

	active_programs_add(a, "p1", 0);
	active_programs_add(a, "p1", 10);
	n = active_programs_collect(a, hashes, 4);
	g_assert_cmpuint(n, ==, 1);
	/* The first datagram is lost; each program is sent twice. */
	n = active_programs_collect(a, hashes, 4);
	g_assert_cmpuint(n, ==, 1);
	active_programs_merge(b, "a", hashes, n, 20);
	g_assert_true(active_programs_contains(b, "p1"));
	g_assert_false(active_programs_contains(b, "p2"));
	g_assert_cmpuint(active_programs_collect(a, hashes, 4), ==, 0);
	g_assert_cmpuint(active_programs_collect(b, hashes, 4), ==, 0);
	active_programs_expire(b, 1020);
	g_assert_false(active_programs_contains(b, "p1"));
	active_programs_close(a);
	active_programs_close(b);
}

/*
 * Guards against programs that the other instances never hear of, because more
 * began than a message has room for.
 */
static void
test_more_programs_than_message(void)
{
	struct active_programs *a = active_programs_open(1000);
	struct active_programs *b = active_programs_open(1000);
	uint64_t hashes[4];

	for (int i = 0; i < 20; i++) {
		g_autofree char *program = g_strdup_printf("p%d", i);

		active_programs_add(a, program, 0);
	}
	for (int message = 0; message < 10; message++) {
		size_t n = active_programs_collect(a, hashes, 4);

		active_programs_merge(b, "a", hashes, MIN(n, 4), 0);
	}
	for (int i = 0; i < 20; i++) {
		g_autofree char *program = g_strdup_printf("p%d", i);

		g_assert_true(active_programs_contains(b, program));
	}
	active_programs_close(a);
	active_programs_close(b);
}

/* Token messages, and malformed ones. */
static void
test_token_message(void)
{
	const struct token_message message = {TOKEN_ANSWER, 9,
	    quota_limit_make("o", 7, 8), QUOTA_NEW_PROGRAM, 77, 78, true, 250};
	struct token_message read;
	char buf[TOKEN_MESSAGE_MAX];
	size_t len = token_encode(buf, sizeof(buf), &message);

	g_assert_cmpuint(len, >, 0);
	g_assert_true(token_is_message(buf, len));
	g_assert_true(token_decode(buf, len, &read));
	g_assert_cmpuint(read.kind, ==, TOKEN_ANSWER);
	g_assert_cmpuint(read.serial, ==, 9);
	g_assert_cmpuint(read.limit.organisation, ==, quota_hash("o"));
	g_assert_cmpuint(read.limit.rate, ==, 7000);
	g_assert_cmpuint(read.limit.burst, ==, 8000);
	g_assert_cmpuint(read.priority, ==, QUOTA_NEW_PROGRAM);
	g_assert_true(read.is_granted);
	g_assert_cmpuint(read.wait_ms, ==, 250);
	for (size_t cut = 0; cut < len; cut++) {
		g_assert_false(token_decode(buf, cut, &read));
		g_assert_cmpuint(token_encode(buf, cut, &message), ==, 0);
	}
	/* An unknown kind. */
	buf[7] = 9;
	g_assert_false(token_decode(buf, len, &read));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/qta/hot", test_overload);
	g_test_add_func("/qta/inside", test_below_rate);
	g_test_add_func("/qta/partition", test_partition);
	g_test_add_func("/qta/restart", test_restart);
	g_test_add_func("/qta/more-organisations-than-counts",
	    test_more_organisations_than_counts);
	g_test_add_func(
	    "/qta/organisations-of-target", test_organisations_of_target);
	g_test_add_func("/qta/many-instances", test_many_instances);
	g_test_add_func(
	    "/qta/many-instances-growing", test_many_instances_growing);
	g_test_add_func("/qta/unknown-fleet", test_unknown_fleet);
	g_test_add_func("/qta/orders", test_orders);
	g_test_add_func(
	    "/qta/orders-of-three-instances", test_orders_of_three_instances);
	g_test_add_func("/qta/pause-above-rate", test_pause_above_rate);
	g_test_add_func("/qta/partition-of-many-instances",
	    test_partition_of_many_instances);
	g_test_add_func(
	    "/qta/first-request-at-instance", test_first_request_at_instance);
	g_test_add_func("/qta/traffic-spreads", test_traffic_spreads);
	g_test_add_func("/qta/under-way-first", test_active_programs_first);
	g_test_add_func("/qta/wait", test_wait);
	g_test_add_func("/qta/refund", test_refund);
	g_test_add_func("/qta/homes", test_homes);
	g_test_add_func("/qta/token-message", test_token_message);
	g_test_add_func("/qta/active-programs", test_active_programs);
	g_test_add_func(
	    "/qta/more-programs-than-message", test_more_programs_than_message);
	return (g_test_run());
}
