/*
 * The choice of upstreams: speed, load, prompts, failures, entries that lapse.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "place/plc.h"

#define INSTANCES 9

static struct plc_entry
entry(const char *id, int port, unsigned slots)
{
	return ((struct plc_entry){.id = id,
	    .service = "pool",
	    .datacentre = "a",
	    .address = {.sin_family = AF_INET, .sin_port = htons(port)},
	    .slots = slots,
	    .is_ready = true});
}

static void
add(struct plc *plc, const char *id, int port)
{
	struct plc_entry e = entry(id, port, 64);

	plc_update(plc, &e, 0);
}

static const char *
choose(struct plc *plc, const struct plc_part *parts, size_t n, clk_ms now,
    struct plc_handle *handle)
{
	const struct plc_request request = {.service = "pool",
	    .parts = parts,
	    .part_count = n,
	    .output_tokens = 256};

	if (!plc_choose(plc, &request, now, handle))
		return (NULL);
	return (plc_get(plc, *handle)->id);
}

/* Time events of every upstream: the one named is three times as fast. */
static void
learn_speeds(struct plc *plc, const char *fast)
{
	const struct plc_part part = {1000, 10};
	struct plc_handle tried[16];
	struct plc_request request = {.service = "pool",
	    .parts = &part,
	    .part_count = 1,
	    .output_tokens = 256,
	    .tried = tried};

	while (plc_choose(plc, &request, 0, &tried[request.tried_count]))
		request.tried_count++;
	for (size_t i = 0; i < request.tried_count; i++) {
		const char *id = plc_get(plc, tried[i])->id;
		double token_ms = strcmp(id, fast) == 0 ? 0.6 : 1.8;

		for (int n = 0; n < 100; n++)
			plc_gap(plc, tried[i], token_ms * 14, 14);
		plc_done(plc, tried[i], PLC_SERVED, 0);
	}
}

/* A line stays where its prompt is, unless that engine is overloaded. */
static void
test_locality(void)
{
	struct plc *plc = plc_open("a");
	const struct plc_part parts[] = {{1, 12600}, {2, 8000}};
	struct plc_handle handle;
	const char *first;
	int stays = 0;

	add(plc, "u1", 1);
	add(plc, "u2", 2);
	add(plc, "u3", 3);
	first = choose(plc, parts, 2, 0, &handle);
	plc_done(plc, handle, PLC_SERVED, 0);
	g_assert_cmpstr(choose(plc, parts, 2, 0, &handle), ==, first);
	/* Locality may not load one engine without a bound. */
	while (g_strcmp0(choose(plc, parts, 2, 0, &handle), first) == 0)
		g_assert_cmpint(++stays, <, 64);
	plc_close(plc);
}

/* The line moves to another instance, which was told of its prompt. */
static void
test_locality_heard(void)
{
	struct plc *a = plc_open("a");
	struct plc *b = plc_open("a");
	const struct plc_part parts[] = {{1, 12600}, {2, 8000}};
	struct plc_handle handle;
	struct plc_kept kept[4];
	const char *first;
	size_t n;

	for (int i = 1; i <= 5; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(a, id, i);
		add(b, id, i);
	}
	first = choose(a, parts, 2, 0, &handle);
	n = plc_news(a, kept, 4);
	g_assert_cmpuint(n, ==, 2);
	plc_heard(b, "a", NULL, 0, kept, n, 0);
	g_assert_cmpstr(choose(b, parts, 2, 0, &handle), ==, first);
	plc_close(a);
	plc_close(b);
}

/*
 * Load pattern: a fleet so large that an instance has sent the shared part
 * of few programs to few engines.  A line is told by its last part only once
 * its other parts are known; it must stay at its engine nevertheless.
 */
static void
test_last_part_heard(void)
{
	struct plc *plc = plc_open("a");

	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(plc, id, 1 + i);
	}
	for (uint64_t line = 0; line < 16; line++) {
		g_autofree char *id = g_strdup_printf("u%d", (int)line % 8);
		const struct plc_part parts[] = {
		    {1, 12600}, {100 + line, 8000}, {200 + line, 800}};
		const struct plc_kept kept = {
		    parts[1].id, (uint32_t)g_str_hash(id)};
		struct plc_handle handle;

		plc_heard(plc, "peer", NULL, 0, &kept, 1, 0);
		g_assert_cmpstr(choose(plc, parts, 3, 0, &handle), ==, id);
		plc_done(plc, handle, PLC_SERVED, 0);
	}
	plc_close(plc);
}

/*
 * Guards against a part shared by many programs that each instance has every
 * engine read anew, because nobody tells where it is kept.
 */
static void
test_shared_part_heard(void)
{
	struct plc *a = plc_open("a");
	struct plc *b = plc_open("a");
	struct plc_kept kept[8];
	struct plc_handle handle;
	const char *first;
	size_t n;

	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(a, id, 1 + i);
		add(b, id, 1 + i);
	}
	first = choose(
	    a, (const struct plc_part[]){{1, 12600}, {2, 800}}, 2, 0, &handle);
	n = plc_news(a, kept, 8);
	/* Ties are broken in turn: b would not choose as a did. */
	g_assert_nonnull(choose(b, NULL, 0, 0, &handle));
	plc_done(b, handle, PLC_SERVED, 0);
	plc_heard(b, "a", NULL, 0, kept, n, 0);
	for (uint64_t line = 0; line < 8; line++) {
		const struct plc_part parts[] = {{1, 12600}, {10 + line, 800}};

		g_assert_cmpstr(choose(b, parts, 2, 0, &handle), ==, first);
		plc_done(b, handle, PLC_SERVED, 0);
	}
	plc_close(a);
	plc_close(b);
}

/*
 * Load pattern: one engine is three times as fast, and all instances know.
 * Between two datagrams they may not all choose it.
 */
static void
test_no_herd(void)
{
	struct plc *instances[INSTANCES];
	int fast = 0;
	const int requests = 10;

	for (int i = 0; i < INSTANCES; i++) {
		instances[i] = plc_open("a");
		add(instances[i], "fast", 1);
		for (int k = 0; k < 8; k++) {
			g_autofree char *id = g_strdup_printf("slow%d", k);

			add(instances[i], id, 2 + k);
		}
		learn_speeds(instances[i], "fast");
		plc_fleet_set(instances[i], INSTANCES);
	}
	for (int i = 0; i < INSTANCES; i++) {
		for (int n = 0; n < requests; n++) {
			const struct plc_part part = {(uint64_t)n + 1, 1000};
			struct plc_handle handle;

			fast +=
			    strcmp(choose(instances[i], &part, 1, 0, &handle),
				"fast") == 0;
		}
	}
	/* More than its share of one in nine, and not all. */
	g_assert_cmpint(fast, >, INSTANCES * requests / 9);
	g_assert_cmpint(fast, <, INSTANCES * requests * 8 / 10);
	for (int i = 0; i < INSTANCES; i++)
		plc_close(instances[i]);
}

/* What the others run at an upstream counts, until they are silent. */
static void
test_loads_heard(void)
{
	struct plc *plc = plc_open("a");
	const struct plc_part part = {7, 100};
	const struct plc_load load = {(uint32_t)g_str_hash("u1"), 60};
	struct plc_handle handle;
	const char *first;

	add(plc, "u1", 1);
	add(plc, "u2", 2);
	plc_heard(plc, "peer", &load, 1, NULL, 0, 0);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpstr(choose(plc, &part, 1, 10, &handle), ==, "u2");
		plc_done(plc, handle, PLC_SERVED, 10);
	}
	/* Without the peer's load, two requests go to both. */
	plc_expire(plc, 5000);
	first = choose(plc, &(struct plc_part){8, 100}, 1, 5000, &handle);
	g_assert_cmpstr(
	    choose(plc, &(struct plc_part){9, 100}, 1, 5000, &handle), !=,
	    first);
	plc_close(plc);
}

/* An upstream that fails is avoided, and one is better than none. */
static void
test_failures(void)
{
	struct plc *plc = plc_open("a");
	struct plc_handle handle;
	const char *first;

	add(plc, "u1", 1);
	add(plc, "u2", 2);
	first = choose(plc, NULL, 0, 0, &handle);
	plc_done(plc, handle, PLC_UNREACHABLE, 0);
	for (int i = 0; i < 4; i++) {
		g_assert_cmpstr(choose(plc, NULL, 0, 100, &handle), !=, first);
		plc_done(plc, handle, PLC_SERVED, 100);
	}
	plc_remove(plc, strcmp(first, "u1") == 0 ? "u2" : "u1");
	g_assert_cmpstr(choose(plc, NULL, 0, 100, &handle), ==, first);
	plc_close(plc);
}

static void
test_tried_and_connections(void)
{
	struct plc *plc = plc_open("a");
	struct plc_handle tried[2];
	struct plc_request request = {
	    .service = "pool", .tried = tried, .max_connections = 1};

	add(plc, "u1", 1);
	add(plc, "u2", 2);
	g_assert_true(plc_choose(plc, &request, 0, &tried[0]));
	request.tried_count = 1;
	g_assert_true(plc_choose(plc, &request, 0, &tried[1]));
	g_assert_cmpuint(tried[0].index, !=, tried[1].index);
	request.tried_count = 2;
	g_assert_false(plc_choose(plc, &request, 0, &tried[1]));
	/* Both upstreams have the one connection that they may. */
	request.tried_count = 0;
	g_assert_false(plc_choose(plc, &request, 0, &tried[1]));
	plc_close(plc);
}

/*
 * An entry that lapses while the store is away is used until its time; one
 * that comes back stays; one that is leaving or removed gets nothing.
 */
static void
test_entries(void)
{
	struct plc *plc = plc_open("a");
	struct plc_entry leaving = entry("u1", 1, 64);
	struct plc_handle handle;

	add(plc, "u1", 1);
	plc_lapse(plc, "u1", 2000);
	plc_expire(plc, 1999);
	g_assert_nonnull(choose(plc, NULL, 0, 1999, &handle));
	add(plc, "u1", 1);
	plc_expire(plc, 3000);
	g_assert_nonnull(choose(plc, NULL, 0, 3000, &handle));
	plc_lapse(plc, "u1", 4000);
	plc_expire(plc, 4000);
	g_assert_null(choose(plc, NULL, 0, 4000, &handle));
	add(plc, "u1", 1);
	leaving.is_ready = false;
	plc_update(plc, &leaving, 0);
	g_assert_null(choose(plc, NULL, 0, 5000, &handle));
	plc_close(plc);
}

/* Guards against what was learned of an upstream that started anew. */
static void
test_started_anew(void)
{
	struct plc *plc = plc_open("a");
	struct plc_entry again = entry("u1", 1, 64);
	struct plc_handle old, handle;

	add(plc, "u1", 1);
	g_assert_nonnull(choose(plc, NULL, 0, 0, &old));
	again.started = 17;
	plc_update(plc, &again, 0);
	g_assert_null(plc_get(plc, old));
	g_assert_nonnull(choose(plc, NULL, 0, 0, &handle));
	g_assert_nonnull(plc_get(plc, handle));
	/* The request at the old one ends without an effect on the new. */
	plc_done(plc, old, PLC_FAILED, 0);
	g_assert_nonnull(plc_get(plc, handle));
	g_assert_cmpuint(plc_count(plc), ==, 1);
	plc_close(plc);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plc/locality", test_locality);
	g_test_add_func("/plc/locality-heard", test_locality_heard);
	g_test_add_func("/plc/last-part-heard", test_last_part_heard);
	g_test_add_func("/plc/shared-part-heard", test_shared_part_heard);
	g_test_add_func("/plc/no-herd", test_no_herd);
	g_test_add_func("/plc/loads-heard", test_loads_heard);
	g_test_add_func("/plc/failures", test_failures);
	g_test_add_func(
	    "/plc/tried-and-connections", test_tried_and_connections);
	g_test_add_func("/plc/entries", test_entries);
	g_test_add_func("/plc/started-anew", test_started_anew);
	return (g_test_run());
}
