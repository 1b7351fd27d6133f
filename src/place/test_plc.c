/*
 * The choice of upstreams by speed, load, cached prompts and failures, and
 * the expiry of their entries.
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
add(struct plc *place, const char *id, int port)
{
	struct plc_entry e = entry(id, port, 64);

	plc_update(place, &e, 0);
}

static const char *
choose(struct plc *place, const struct plc_part *parts, size_t n, clk_ms now,
    struct plc_handle *handle)
{
	const struct plc_request request = {.service = "pool",
	    .parts = parts,
	    .part_count = n,
	    .output_tokens = 256};

	if (!plc_choose(place, &request, now, handle))
		return (NULL);
	return (plc_get(place, *handle)->id);
}

/* Adds samples for every upstream: the one named is three times as fast. */
static void
add_speed_samples(struct plc *place, const char *fast)
{
	const struct plc_part part = {1000, 10};
	struct plc_handle tried[16];
	struct plc_request request = {.service = "pool",
	    .parts = &part,
	    .part_count = 1,
	    .output_tokens = 256,
	    .tried = tried};

	while (plc_choose(place, &request, 0, &tried[request.tried_count]))
		request.tried_count++;
	for (size_t i = 0; i < request.tried_count; i++) {
		const char *id = plc_get(place, tried[i])->id;
		double token_ms = strcmp(id, fast) == 0 ? 0.6 : 1.8;

		for (int n = 0; n < 100; n++)
			plc_gap(place, tried[i], token_ms * 14, 14);
		plc_done(place, tried[i], PLC_SERVED, 0);
	}
}

/* A program stays where its prompt is cached, up to a limit of the load. */
static void
test_locality(void)
{
	struct plc *place = plc_open("a");
	const struct plc_part parts[] = {{1, 12600}, {2, 8000}};
	struct plc_handle handle;
	const char *first;
	int stays = 0;

	add(place, "u1", 1);
	add(place, "u2", 2);
	add(place, "u3", 3);
	first = choose(place, parts, 2, 0, &handle);
	plc_done(place, handle, PLC_SERVED, 0);
	g_assert_cmpstr(choose(place, parts, 2, 0, &handle), ==, first);
	/* Other engines are chosen before this one is full. */
	while (g_strcmp0(choose(place, parts, 2, 0, &handle), first) == 0)
		g_assert_cmpint(++stays, <, 64);
	plc_close(place);
}

/* A program moves to another instance, which got its parts by gossip. */
static void
test_locality_gossip(void)
{
	struct plc *a = plc_open("a");
	struct plc *b = plc_open("a");
	const struct plc_part parts[] = {{1, 12600}, {2, 8000}};
	struct plc_handle handle;
	struct plc_kept cached[4];
	const char *first;
	size_t n;

	for (int i = 1; i <= 5; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(a, id, i);
		add(b, id, i);
	}
	first = choose(a, parts, 2, 0, &handle);
	n = plc_news(a, cached, 4);
	g_assert_cmpuint(n, ==, 2);
	plc_heard(b, "a", NULL, 0, cached, n, 0);
	g_assert_cmpstr(choose(b, parts, 2, 0, &handle), ==, first);
	plc_close(a);
	plc_close(b);
}

/*
 * Guards against a program that changes its engine because the gossip names
 * only the last part of its prompt.  This happens in large fleets, where an
 * instance has sent the shared first part to few engines itself.
 */
static void
test_last_part_gossip(void)
{
	struct plc *place = plc_open("a");

	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(place, id, 1 + i);
	}
	for (uint64_t program = 0; program < 16; program++) {
		g_autofree char *id = g_strdup_printf("u%d", (int)program % 8);
		const struct plc_part parts[] = {
		    {1, 12600}, {100 + program, 8000}, {200 + program, 800}};
		const struct plc_kept cached = {
		    parts[1].id, (uint32_t)g_str_hash(id)};
		struct plc_handle handle;

		plc_heard(place, "peer", NULL, 0, &cached, 1, 0);
		g_assert_cmpstr(choose(place, parts, 3, 0, &handle), ==, id);
		plc_done(place, handle, PLC_SERVED, 0);
	}
	plc_close(place);
}

/*
 * Guards against a shared part that every engine reads once for each
 * instance, because the gossip doesn't name the engine that has it cached.
 */
static void
test_shared_part_gossip(void)
{
	struct plc *a = plc_open("a");
	struct plc *b = plc_open("a");
	struct plc_kept cached[8];
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
	n = plc_news(a, cached, 8);
	/* Ties are broken round robin: b would choose another engine than a. */
	g_assert_nonnull(choose(b, NULL, 0, 0, &handle));
	plc_done(b, handle, PLC_SERVED, 0);
	plc_heard(b, "a", NULL, 0, cached, n, 0);
	for (uint64_t program = 0; program < 8; program++) {
		const struct plc_part parts[] = {
		    {1, 12600}, {10 + program, 800}};

		g_assert_cmpstr(choose(b, parts, 2, 0, &handle), ==, first);
		plc_done(b, handle, PLC_SERVED, 0);
	}
	plc_close(a);
	plc_close(b);
}

/*
 * Guards against all instances choosing the same engine between two gossip
 * messages, because they all know that it is three times as fast.
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
		add_speed_samples(instances[i], "fast");
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
	/* More than one request in nine, but not all. */
	g_assert_cmpint(fast, >, INSTANCES * requests / 9);
	g_assert_cmpint(fast, <, INSTANCES * requests * 8 / 10);
	for (int i = 0; i < INSTANCES; i++)
		plc_close(instances[i]);
}

/* Loads of peers count until the peer times out. */
static void
test_loads_gossip(void)
{
	struct plc *place = plc_open("a");
	const struct plc_part part = {7, 100};
	const struct plc_load load = {(uint32_t)g_str_hash("u1"), 60};
	struct plc_handle handle;
	const char *first;

	add(place, "u1", 1);
	add(place, "u2", 2);
	plc_heard(place, "peer", &load, 1, NULL, 0, 0);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpstr(choose(place, &part, 1, 10, &handle), ==, "u2");
		plc_done(place, handle, PLC_SERVED, 10);
	}
	/* Without the peer's load, two requests go to different upstreams. */
	plc_expire(place, 5000);
	first = choose(place, &(struct plc_part){8, 100}, 1, 5000, &handle);
	g_assert_cmpstr(
	    choose(place, &(struct plc_part){9, 100}, 1, 5000, &handle), !=,
	    first);
	plc_close(place);
}

/* An upstream in backoff is chosen only if there is no other. */
static void
test_failures(void)
{
	struct plc *place = plc_open("a");
	struct plc_handle handle;
	const char *first;

	add(place, "u1", 1);
	add(place, "u2", 2);
	first = choose(place, NULL, 0, 0, &handle);
	plc_done(place, handle, PLC_UNREACHABLE, 0);
	for (int i = 0; i < 4; i++) {
		g_assert_cmpstr(
		    choose(place, NULL, 0, 100, &handle), !=, first);
		plc_done(place, handle, PLC_SERVED, 100);
	}
	plc_remove(place, strcmp(first, "u1") == 0 ? "u2" : "u1");
	g_assert_cmpstr(choose(place, NULL, 0, 100, &handle), ==, first);
	plc_close(place);
}

static void
test_tried_and_connections(void)
{
	struct plc *place = plc_open("a");
	struct plc_handle tried[2];
	struct plc_request request = {
	    .service = "pool", .tried = tried, .max_connections = 1};

	add(place, "u1", 1);
	add(place, "u2", 2);
	g_assert_true(plc_choose(place, &request, 0, &tried[0]));
	request.tried_count = 1;
	g_assert_true(plc_choose(place, &request, 0, &tried[1]));
	g_assert_cmpuint(tried[0].index, !=, tried[1].index);
	request.tried_count = 2;
	g_assert_false(plc_choose(place, &request, 0, &tried[1]));
	/* Both upstreams have their one connection. */
	request.tried_count = 0;
	g_assert_false(plc_choose(place, &request, 0, &tried[1]));
	plc_close(place);
}

/*
 * An entry that expires while the store is unavailable is used until its
 * removal time, and stays if it is updated before.  An upstream that is
 * stopping or removed gets no requests.
 */
static void
test_entries(void)
{
	struct plc *place = plc_open("a");
	struct plc_entry leaving = entry("u1", 1, 64);
	struct plc_handle handle;

	add(place, "u1", 1);
	plc_lapse(place, "u1", 2000);
	plc_expire(place, 1999);
	g_assert_nonnull(choose(place, NULL, 0, 1999, &handle));
	add(place, "u1", 1);
	plc_expire(place, 3000);
	g_assert_nonnull(choose(place, NULL, 0, 3000, &handle));
	plc_lapse(place, "u1", 4000);
	plc_expire(place, 4000);
	g_assert_null(choose(place, NULL, 0, 4000, &handle));
	add(place, "u1", 1);
	leaving.is_ready = false;
	plc_update(place, &leaving, 0);
	g_assert_null(choose(place, NULL, 0, 5000, &handle));
	plc_close(place);
}

/* Guards against state of an upstream that outlives its restart. */
static void
test_restarted_upstream(void)
{
	struct plc *place = plc_open("a");
	struct plc_entry again = entry("u1", 1, 64);
	struct plc_handle old, handle;

	add(place, "u1", 1);
	g_assert_nonnull(choose(place, NULL, 0, 0, &old));
	again.started = 17;
	plc_update(place, &again, 0);
	g_assert_null(plc_get(place, old));
	g_assert_nonnull(choose(place, NULL, 0, 0, &handle));
	g_assert_nonnull(plc_get(place, handle));
	/* The end of a request before the restart has no effect on it. */
	plc_done(place, old, PLC_FAILED, 0);
	g_assert_nonnull(plc_get(place, handle));
	g_assert_cmpuint(plc_count(place), ==, 1);
	plc_close(place);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plc/locality", test_locality);
	g_test_add_func("/plc/locality-heard", test_locality_gossip);
	g_test_add_func("/plc/last-part-heard", test_last_part_gossip);
	g_test_add_func("/plc/shared-part-heard", test_shared_part_gossip);
	g_test_add_func("/plc/no-herd", test_no_herd);
	g_test_add_func("/plc/loads-heard", test_loads_gossip);
	g_test_add_func("/plc/failures", test_failures);
	g_test_add_func(
	    "/plc/tried-and-connections", test_tried_and_connections);
	g_test_add_func("/plc/entries", test_entries);
	g_test_add_func("/plc/started-anew", test_restarted_upstream);
	return (g_test_run());
}
