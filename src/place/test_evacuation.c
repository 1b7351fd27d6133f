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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/order", test_order);
	g_test_add_func("/evacuation/absent", test_absent);
	g_test_add_func("/evacuation/topic-anew", test_topic_anew);
	g_test_add_func("/evacuation/stale", test_stale);
	g_test_add_func("/evacuation/orders", test_orders);
	return (g_test_run());
}
