/*
 * Which data centres are evacuated, as read from the store and as heard from
 * other instances, in any order.
 */
#include <glib.h>
#include <string.h>

#include "place/evacuation.h"

static bool
merge(
    struct evacuations *evacuations, uint64_t end, const char *name, clk_ms now)
{
	char *names[] = {(char *)name};
	const struct evacuation_news news = {
	    .end = end, .names = names, .name_len = name != NULL ? 1 : 0};

	return (evacuations_merge(evacuations, &news, now));
}

/*
 * Guards against older news, from an instance that reads late, that undoes
 * newer: a message that is late or doubled begins or ends nothing.
 */
static void
test_order(void)
{
	struct evacuations *evacuations = evacuations_open(0);

	g_assert_true(merge(evacuations, 10, "z1", 0));
	g_assert_false(merge(evacuations, 9, NULL, 1));
	g_assert_false(merge(evacuations, 10, NULL, 2));
	g_assert_true(evacuations_has(evacuations, "z1"));
	g_assert_false(evacuations_has(evacuations, "z2"));
	g_assert_true(merge(evacuations, 11, NULL, 3));
	g_assert_false(merge(evacuations, 10, "z1", 4));
	g_assert_false(evacuations_has(evacuations, "z1"));
	/* The store's own records are behind what was heard. */
	evacuations_set(evacuations, "z1", true);
	evacuations_confirm(evacuations, 10, 2);
	g_assert_false(evacuations_has(evacuations, "z1"));
	evacuations_set(evacuations, "z1", false);
	evacuations_set(evacuations, "z2", true);
	evacuations_confirm(evacuations, 12, 5);
	g_assert_true(evacuations_has(evacuations, "z2"));
	g_assert_false(merge(evacuations, 11, NULL, 6));
	g_assert_cmpuint(evacuations_count(evacuations), ==, 1);
	evacuations_close(evacuations);
}

/*
 * Guards against an evacuation whose end was missed with the record that is
 * absent from a complete read, and one that ends because it was left out of a
 * message without room.
 */
static void
test_absent(void)
{
	struct evacuations *evacuations = evacuations_open(0);
	g_autoptr(GHashTable) kept = g_hash_table_new(g_str_hash, g_str_equal);
	const struct evacuation_news partial = {.end = 30, .is_partial = 1};
	struct evacuation_news news;
	char *names[EVACUATION_NAMES_MAX];

	for (int i = 0; i < EVACUATION_NAMES_MAX + 2; i++) {
		g_autofree char *name = g_strdup_printf("z%d", i);

		g_assert_true(evacuations_set(evacuations, name, true));
		g_assert_false(evacuations_set(evacuations, name, true));
	}
	evacuations_confirm(evacuations, 20, 0);
	evacuations_collect(evacuations, &news, names);
	g_assert_cmpuint(news.name_len, ==, EVACUATION_NAMES_MAX);
	g_assert_true(news.is_partial);
	g_assert_false(evacuations_merge(evacuations, &partial, 1));
	g_assert_cmpuint(
	    evacuations_count(evacuations), ==, EVACUATION_NAMES_MAX + 2);
	(void)g_hash_table_add(kept, "z3");
	g_assert_true(evacuations_retain(evacuations, kept));
	evacuations_confirm(evacuations, 31, 2);
	g_assert_cmpuint(evacuations_count(evacuations), ==, 1);
	g_assert_true(evacuations_has(evacuations, "z3"));
	evacuations_collect(evacuations, &news, names);
	g_assert_cmpuint(news.end, ==, 31);
	g_assert_cmpuint(news.name_len, ==, 1);
	g_assert_false(news.is_partial);
	evacuations_close(evacuations);
}

/*
 * Guards against a topic that was made anew and whose evacuations are ignored
 * because its offsets are lower than those heard before.
 */
static void
test_topic_anew(void)
{
	struct evacuations *evacuations = evacuations_open(0);

	g_assert_true(merge(evacuations, 1000, "z1", 100));
	/* Asked before the message came: it may be older. */
	evacuations_confirm(evacuations, 3, 90);
	g_assert_true(evacuations_has(evacuations, "z1"));
	evacuations_set(evacuations, "z2", true);
	evacuations_confirm(evacuations, 3, 110);
	g_assert_false(evacuations_has(evacuations, "z1"));
	g_assert_true(evacuations_has(evacuations, "z2"));
	evacuations_close(evacuations);
}

/*
 * Guards against an instance that was suspended, or that the store turns away,
 * and sends to a data centre whose evacuation it has not heard of.
 */
static void
test_stale(void)
{
	struct evacuations *evacuations = evacuations_open(4800);

	g_assert_true(evacuations_is_stale(evacuations, 10000));
	evacuations_confirm(evacuations, 5, 10000);
	g_assert_false(evacuations_is_stale(evacuations, 14799));
	g_assert_true(evacuations_is_stale(evacuations, 14800));
	/* What is heard may have been on its way for long. */
	g_assert_true(merge(evacuations, 6, "z1", 14800));
	g_assert_true(evacuations_is_stale(evacuations, 14800));
	evacuations_confirm(evacuations, 6, 14800);
	g_assert_false(evacuations_is_stale(evacuations, 14800));
	evacuations_max_age_set(evacuations, 0);
	g_assert_false(evacuations_is_stale(evacuations, 1000000));
	evacuations_close(evacuations);
}

#define INSTANCES 12
#define STEPS	  400
#define ORDERS	  200

static bool
is_as_of(const struct evacuations *evacuations, uint64_t end, unsigned state)
{
	bool is_same = evacuations_end(evacuations) == end;

	for (unsigned i = 0; i < 4; i++) {
		g_autofree char *name = g_strdup_printf("z%u", i);

		is_same = is_same &&
		    evacuations_has(evacuations, name) ==
			((state >> i & 1) != 0);
	}
	return (is_same);
}

static void
records_read(
    struct evacuations *evacuations, unsigned state, uint64_t end, clk_ms now)
{
	for (unsigned i = 0; i < 4; i++) {
		g_autofree char *name = g_strdup_printf("z%u", i);

		(void)evacuations_set(evacuations, name, (state >> i & 1) != 0);
	}
	evacuations_confirm(evacuations, end, now);
}

/*
 * Guards against an instance that believes a set of evacuations which never
 * was: records, reads and messages come in random orders, some of them late,
 * and what each instance believes is what the topic held at the offset that it
 * names, which never falls.
 */
static void
order_play(guint32 seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autoptr(GArray) states = g_array_new(FALSE, FALSE, sizeof(unsigned));
	struct evacuations *instances[INSTANCES];
	unsigned state = 0;

	g_array_append_val(states, state);
	for (int i = 0; i < INSTANCES; i++)
		instances[i] = evacuations_open(0);
	for (clk_ms now = 1; now <= STEPS; now++) {
		int i = g_rand_int_range(rand, 0, INSTANCES);
		int j = g_rand_int_range(rand, 0, INSTANCES);
		uint64_t before = evacuations_end(instances[i]);
		struct evacuation_news news;
		char *names[EVACUATION_NAMES_MAX];
		uint64_t end;

		switch (g_rand_int_range(rand, 0, 3)) {
		case 0:
			state ^= 1U << g_rand_int_range(rand, 0, 4);
			g_array_append_val(states, state);
			break;
		case 1:
			records_read(instances[i], state, states->len - 1, now);
			break;
		default:
			evacuations_collect(instances[j], &news, names);
			(void)evacuations_merge(instances[i], &news, now);
			break;
		}
		end = evacuations_end(instances[i]);
		g_assert_cmpuint(end, >=, before);
		if (!is_as_of(instances[i], end,
			g_array_index(states, unsigned, end)))
			g_error("seed %u, step %d: instance %d at %u", seed,
			    (int)now, i, (unsigned)end);
	}
	for (int i = 0; i < INSTANCES; i++)
		evacuations_close(instances[i]);
}

static void
test_orders(void)
{
	for (guint32 seed = 1; seed <= ORDERS; seed++)
		order_play(seed);
	g_test_message("seeds 1 to %d", ORDERS);
}

/* ---- The bound of the time ---- */

#define FLEET_MAX 195
#define STEP_MS	  10
#define PLAY_MS	  30000
/* bounds.evacuate_ms, and the part of it that is left for the way. */
#define BOUND_MS  5000
#define MARGIN_MS 200

/* A message, or an answer of the store, on its way or in a socket. */
struct arrival {
	int to;
	clk_ms at;
	clk_ms asked; /* of an answer; a message: -1 */
	uint64_t end;
	bool is_evacuated; /* z1 */
};

struct fleet {
	GRand *rand;
	struct evacuations *instances[FLEET_MAX];
	clk_ms frozen_until[FLEET_MAX];
	clk_ms turned_away_until[FLEET_MAX]; /* by the store */
	clk_ms read_at[FLEET_MAX];
	GQueue *arrivals; /* struct arrival */
	int size;
	uint64_t end; /* of the topic */
	bool is_evacuated;
	clk_ms acknowledged; /* the last change */
	unsigned late; /* requests after the bound */
	unsigned sent;
	unsigned refused; /* for the age of what is known */
};

static void
arrival_add(struct fleet *f, int to, clk_ms at, clk_ms asked, uint64_t end,
    bool is_evacuated)
{
	struct arrival *arrival = g_new(struct arrival, 1);

	*arrival = (struct arrival){to, at, asked, end, is_evacuated};
	g_queue_push_tail(f->arrivals, arrival);
}

/* Hands over what has arrived; an instance that is frozen takes it later. */
static void
arrivals_take(struct fleet *f, clk_ms now)
{
	GList *next;

	for (GList *l = f->arrivals->head; l != NULL; l = next) {
		struct arrival *arrival = l->data;
		struct evacuations *to = f->instances[arrival->to];

		next = l->next;
		if (now < arrival->at || now < f->frozen_until[arrival->to])
			continue;
		if (arrival->asked < 0) {
			(void)merge(to, arrival->end,
			    arrival->is_evacuated ? "z1" : NULL, now);
		} else {
			(void)evacuations_set(to, "z1", arrival->is_evacuated);
			evacuations_confirm(to, arrival->end, arrival->asked);
			f->read_at[arrival->to] = now;
		}
		g_free(arrival);
		g_queue_delete_link(f->arrivals, l);
	}
}

static void
instance_step(struct fleet *f, int i, clk_ms now)
{
	struct evacuations *self = f->instances[i];
	bool is_stale = evacuations_is_stale(self, now);

	if (now < f->frozen_until[i])
		return;
	f->refused += is_stale;
	if (!is_stale && !evacuations_has(self, "z1")) {
		f->sent++;
		f->late += f->is_evacuated &&
		    now + MARGIN_MS > f->acknowledged + BOUND_MS;
	}
	if (f->read_at[i] <= now && now >= f->turned_away_until[i]) {
		clk_ms time = g_rand_int_range(f->rand, 1, 900);

		/* The state when it was asked for: the answer may be late. */
		arrival_add(f, i, now + time, now, f->end, f->is_evacuated);
		f->read_at[i] = now + time + 1000;
	}
	if (g_rand_int_range(f->rand, 0, 20) == 0) {
		struct evacuation_news news;
		char *names[EVACUATION_NAMES_MAX];

		evacuations_collect(self, &news, names);
		arrival_add(f, g_rand_int_range(f->rand, 0, f->size),
		    now + g_rand_int_range(f->rand, 1, 3000), -1, news.end,
		    news.name_len > 0);
	}
}

static void
fault_begin(struct fleet *f, clk_ms now)
{
	int i = g_rand_int_range(f->rand, 0, f->size);
	clk_ms until = now + g_rand_int_range(f->rand, 500, 9000);

	if (g_rand_boolean(f->rand))
		f->frozen_until[i] = until;
	else
		f->turned_away_until[i] = until;
}

/* Returns the number of requests that were sent after the bound. */
static unsigned
bound_play(guint32 seed, int size, clk_ms max_age, unsigned *sent)
{
	struct fleet f = {.rand = g_rand_new_with_seed(seed),
	    .arrivals = g_queue_new(),
	    .size = size,
	    .end = 1};
	clk_ms change = 1000;

	for (int i = 0; i < size; i++)
		f.instances[i] = evacuations_open(max_age);
	for (clk_ms now = 1; now < PLAY_MS; now += STEP_MS) {
		if (now >= change) {
			f.is_evacuated = !f.is_evacuated;
			f.end++;
			f.acknowledged = now;
			change = now + g_rand_int_range(f.rand, 2000, 12000);
		}
		/* Half of the fleet has a fault at a time. */
		if (g_rand_int_range(f.rand, 0, 180) < size)
			fault_begin(&f, now);
		arrivals_take(&f, now);
		for (int i = 0; i < size; i++)
			instance_step(&f, i, now);
	}
	for (int i = 0; i < size; i++)
		evacuations_close(f.instances[i]);
	g_queue_free_full(f.arrivals, g_free);
	g_rand_free(f.rand);
	*sent += f.sent;
	return (f.late);
}

#define BOUND_SEEDS 20

/*
 * Guards against a request to an evacuated data centre after the bound, while
 * instances are frozen, turned away by the store, and get messages that are
 * old: none in random orders; and some where there is no limit of age, so that
 * the check can fail.
 */
static void
test_bound(void)
{
	static const int sizes[] = {9, 62, FLEET_MAX};

	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		unsigned late = 0, unlimited = 0, sent = 0, any = 0;

		for (guint32 seed = 1; seed <= BOUND_SEEDS; seed++) {
			late += bound_play(
			    seed, sizes[s], BOUND_MS - MARGIN_MS, &sent);
			unlimited += bound_play(seed, sizes[s], 0, &any);
		}
		g_test_message("%d instances, seeds 1 to %d: %u of %u requests "
			       "late; %u of %u without a limit of age",
		    sizes[s], BOUND_SEEDS, late, sent, unlimited, any);
		g_assert_cmpuint(late, ==, 0);
		g_assert_cmpuint(unlimited, >, 0);
		g_assert_cmpuint(sent, >, any / 2);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/order", test_order);
	g_test_add_func("/evacuation/absent", test_absent);
	g_test_add_func("/evacuation/topic-anew", test_topic_anew);
	g_test_add_func("/evacuation/stale", test_stale);
	g_test_add_func("/evacuation/orders", test_orders);
	g_test_add_func("/evacuation/bound", test_bound);
	return (g_test_run());
}
