/*
 * The choice of upstreams by speed, load, cached prompts and failures, and
 * the expiry of their entries.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "place/place.h"

#define INSTANCES 9

static struct place_entry
entry(const char *id, int port, unsigned slots)
{
	return ((struct place_entry){.id = id,
	    .service = "pool",
	    .datacentre = "a",
	    .address = {.sin_family = AF_INET, .sin_port = htons(port)},
	    .slots = slots,
	    .is_ready = true});
}

static void
add(struct place *place, const char *id, int port)
{
	struct place_entry e = entry(id, port, 64);

	place_upstream_update(place, &e, 0);
}

static const char *
choose(struct place *place, const struct place_part *parts, size_t n,
    clk_ms now, struct place_handle *handle)
{
	const struct place_request request = {.service = "pool",
	    .parts = parts,
	    .part_count = n,
	    .output_tokens = 256};

	if (!place_choose(place, &request, now, handle))
		return (NULL);
	place_parts_record(place, *handle, parts, n, now);
	return (place_entry_get(place, *handle)->id);
}

/* Adds samples for every upstream: the one named is three times as fast. */
static void
add_speed_samples(struct place *place, const char *fast)
{
	const struct place_part part = {1000, 10};
	struct place_handle tried[16];
	struct place_request request = {.service = "pool",
	    .parts = &part,
	    .part_count = 1,
	    .output_tokens = 256,
	    .tried = tried};

	while (place_choose(place, &request, 0, &tried[request.tried_count]))
		request.tried_count++;
	for (size_t i = 0; i < request.tried_count; i++) {
		const char *id = place_entry_get(place, tried[i])->id;
		double token_ms = strcmp(id, fast) == 0 ? 0.6 : 1.8;

		for (int n = 0; n < 100; n++)
			place_event_gap_record(
			    place, tried[i], token_ms * 14, 14);
		place_request_end(place, tried[i], PLACE_SERVED, 0);
	}
}

/* A program stays where its prompt is cached, up to a load limit. */
static void
test_locality(void)
{
	struct place *place = place_open("a");
	const struct place_part parts[] = {{1, 12600}, {2, 8000}};
	struct place_handle handle;
	const char *first;
	int stays = 0;

	add(place, "u1", 1);
	add(place, "u2", 2);
	add(place, "u3", 3);
	first = choose(place, parts, 2, 0, &handle);
	place_request_end(place, handle, PLACE_SERVED, 0);
	g_assert_cmpstr(choose(place, parts, 2, 0, &handle), ==, first);
	/* Other engines are chosen before this one is full. */
	while (g_strcmp0(choose(place, parts, 2, 0, &handle), first) == 0)
		g_assert_cmpint(++stays, <, 64);
	place_close(place);
}

static const char *
choose_for(struct place *place, uint32_t object, struct place_handle *handle)
{
	const struct place_request request = {
	    .service = "pool", .object = object};

	if (!place_choose(place, &request, 0, handle))
		return (NULL);
	return (place_entry_get(place, *handle)->id);
}

/*
 * Guards against requests for one object that two instances send to different
 * upstreams, against objects that move although their upstream stays, and
 * against an upstream that gets more of them than it can serve.
 */
static void
test_object(void)
{
	enum { UPSTREAMS = 5, OBJECTS = 1000 };
	struct place *a = place_open("a");
	struct place *b = place_open("a");
	char chosen[OBJECTS][8];
	unsigned share[UPSTREAMS] = {0}, stays = 0, smallest = OBJECTS;
	struct place_handle handle;
	const char *id;

	for (int i = 0; i < UPSTREAMS; i++) {
		g_autofree char *first = g_strdup_printf("u%d", i);
		g_autofree char *last =
		    g_strdup_printf("u%d", UPSTREAMS - 1 - i);

		add(a, first, 1 + i);
		add(b, last, UPSTREAMS - i);
	}
	for (uint32_t i = 0; i < OBJECTS; i++) {
		id = choose_for(a, i + 1, &handle);
		place_request_end(a, handle, PLACE_SERVED, 0);
		(void)g_strlcpy(chosen[i], id, sizeof(chosen[i]));
		share[id[1] - '0']++;
		g_assert_cmpstr(choose_for(b, i + 1, &handle), ==, id);
		place_request_end(b, handle, PLACE_SERVED, 0);
	}
	for (int i = 0; i < UPSTREAMS; i++)
		smallest = MIN(smallest, share[i]);
	g_assert_cmpuint(smallest, >=, OBJECTS / UPSTREAMS / 2);
	place_upstream_remove(b, "u2");
	for (uint32_t i = 0; i < OBJECTS; i++) {
		id = choose_for(b, i + 1, &handle);
		place_request_end(b, handle, PLACE_SERVED, 0);
		if (strcmp(chosen[i], "u2") != 0)
			g_assert_cmpstr(id, ==, chosen[i]);
	}
	/* At most half of the slots for one object before another takes it. */
	while (strcmp(choose_for(a, 1, &handle), chosen[0]) == 0)
		g_assert_cmpuint(++stays, <=, 32);
	g_assert_cmpuint(stays, >=, 16);
	place_close(a);
	place_close(b);
}

/* A program's turns move to another instance, which got its parts by gossip. */
static void
test_locality_gossip(void)
{
	struct place *a = place_open("a");
	struct place *b = place_open("a");
	const struct place_part parts[] = {{1, 12600}, {2, 8000}};
	struct place_handle handle;
	struct place_cached_part cached[4];
	const char *first;
	size_t n;

	for (int i = 1; i <= 5; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(a, id, i);
		add(b, id, i);
	}
	first = choose(a, parts, 2, 0, &handle);
	n = place_cached_parts_collect(a, cached, 4);
	g_assert_cmpuint(n, ==, 2);
	(void)place_cached_parts_merge(b, cached, n, 0);
	g_assert_cmpstr(choose(b, parts, 2, 0, &handle), ==, first);
	place_close(a);
	place_close(b);
}

/*
 * Guards against a program that changes its engine because the gossip names
 * only the last part of its prompt.  This happens in large fleets, where an
 * instance has sent the shared first part to few engines itself.
 */
static void
test_last_part_gossip(void)
{
	struct place *place = place_open("a");

	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(place, id, 1 + i);
	}
	for (uint64_t program = 0; program < 16; program++) {
		g_autofree char *id = g_strdup_printf("u%d", (int)program % 8);
		const struct place_part parts[] = {
		    {1, 12600}, {100 + program, 8000}, {200 + program, 800}};
		struct place_cached_part cached = {
		    parts[1].id, (uint32_t)g_str_hash(id)};
		struct place_handle handle;

		(void)place_cached_parts_merge(place, &cached, 1, 0);
		g_assert_cmpstr(choose(place, parts, 3, 0, &handle), ==, id);
		place_request_end(place, handle, PLACE_SERVED, 0);
	}
	place_close(place);
}

/*
 * Guards against a shared part that every engine reads once for each
 * instance, because the gossip doesn't name the engine that has it cached.
 */
static void
test_shared_part_gossip(void)
{
	struct place *a = place_open("a");
	struct place *b = place_open("a");
	struct place_cached_part cached[8];
	struct place_handle handle;
	const char *first;
	size_t n;

	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(a, id, 1 + i);
		add(b, id, 1 + i);
	}
	first = choose(a, (const struct place_part[]){{1, 12600}, {2, 800}}, 2,
	    0, &handle);
	n = place_cached_parts_collect(a, cached, 8);
	/* Ties are broken round robin: b would choose another engine than a. */
	g_assert_nonnull(choose(b, NULL, 0, 0, &handle));
	place_request_end(b, handle, PLACE_SERVED, 0);
	(void)place_cached_parts_merge(b, cached, n, 0);
	for (uint64_t program = 0; program < 8; program++) {
		const struct place_part parts[] = {
		    {1, 12600}, {10 + program, 800}};

		g_assert_cmpstr(choose(b, parts, 2, 0, &handle), ==, first);
		place_request_end(b, handle, PLACE_SERVED, 0);
	}
	place_close(a);
	place_close(b);
}

/*
 * Guards against all instances choosing the same engine between two gossip
 * messages, because they all know that it is three times as fast.
 */
static void
test_no_herd(void)
{
	struct place *instances[INSTANCES];
	int fast = 0;
	const int requests = 10;

	for (int i = 0; i < INSTANCES; i++) {
		instances[i] = place_open("a");
		add(instances[i], "fast", 1);
		for (int k = 0; k < 8; k++) {
			g_autofree char *id = g_strdup_printf("slow%d", k);

			add(instances[i], id, 2 + k);
		}
		add_speed_samples(instances[i], "fast");
		place_instances_set(instances[i], INSTANCES);
	}
	for (int i = 0; i < INSTANCES; i++) {
		for (int n = 0; n < requests; n++) {
			const struct place_part part = {(uint64_t)n + 1, 1000};
			struct place_handle handle;

			fast +=
			    strcmp(choose(instances[i], &part, 1, 0, &handle),
				"fast") == 0;
		}
	}
	/* More than one request in nine, but not all. */
	g_assert_cmpint(fast, >, INSTANCES * requests / 9);
	g_assert_cmpint(fast, <, INSTANCES * requests * 8 / 10);
	for (int i = 0; i < INSTANCES; i++)
		place_close(instances[i]);
}

/* Loads of peers count until the peer times out. */
static void
test_loads_gossip(void)
{
	struct place *place = place_open("a");
	const struct place_part part = {7, 100};
	const struct place_load load = {(uint32_t)g_str_hash("u1"), 60};
	struct place_handle handle;
	const char *first;

	add(place, "u1", 1);
	add(place, "u2", 2);
	place_gossip_merge(place, "peer", &load, 1, 0);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpstr(choose(place, &part, 1, 10, &handle), ==, "u2");
		place_request_end(place, handle, PLACE_SERVED, 10);
	}
	/* Without the peer's load, two requests go to different upstreams. */
	place_expire(place, 5000);
	first = choose(place, &(struct place_part){8, 100}, 1, 5000, &handle);
	g_assert_cmpstr(
	    choose(place, &(struct place_part){9, 100}, 1, 5000, &handle), !=,
	    first);
	place_close(place);
}

/* An upstream in backoff is chosen only if there is no other. */
static void
test_failures(void)
{
	struct place *place = place_open("a");
	struct place_handle handle;
	const char *first;

	add(place, "u1", 1);
	add(place, "u2", 2);
	first = choose(place, NULL, 0, 0, &handle);
	place_request_end(place, handle, PLACE_UNREACHABLE, 0);
	for (int i = 0; i < 4; i++) {
		g_assert_cmpstr(
		    choose(place, NULL, 0, 100, &handle), !=, first);
		place_request_end(place, handle, PLACE_SERVED, 100);
	}
	place_upstream_remove(place, strcmp(first, "u1") == 0 ? "u2" : "u1");
	g_assert_cmpstr(choose(place, NULL, 0, 100, &handle), ==, first);
	place_close(place);
}

static void
test_tried_and_connections(void)
{
	struct place *place = place_open("a");
	struct place_handle tried[2];
	struct place_request request = {
	    .service = "pool", .tried = tried, .max_connections = 1};

	add(place, "u1", 1);
	add(place, "u2", 2);
	g_assert_true(place_choose(place, &request, 0, &tried[0]));
	request.tried_count = 1;
	g_assert_true(place_choose(place, &request, 0, &tried[1]));
	g_assert_cmpuint(tried[0].index, !=, tried[1].index);
	request.tried_count = 2;
	g_assert_false(place_choose(place, &request, 0, &tried[1]));
	/* Both upstreams have their one connection. */
	request.tried_count = 0;
	g_assert_false(place_choose(place, &request, 0, &tried[1]));
	place_close(place);
}

/*
 * Guards against requests that are sent to an upstream whose limit is reached,
 * and against ones that are refused while another upstream can take them: one
 * without a token is used last, and only if its next token comes in time.
 */
static void
test_no_token(void)
{
	struct roster *roster = roster_open("i0");
	struct throttle *throttle = throttle_open(roster);
	struct place *place = place_open("a");
	struct place_handle handle;
	struct place_request request = {
	    .service = "pool", .throttle = throttle, .max_wait = 100};

	add(place, "u1", 1);
	add(place, "u2", 2);
	for (int i = 0; i < 2; i++) {
		const char *id = i == 0 ? "u1" : "u2";

		(void)throttle_observe(
		    throttle, roster_hash(id), throttle_rate(3.0), 0, 0);
		throttle_hold(throttle, roster_hash(id), 400 + 100 * i);
		if (i > 0)
			break;
		g_assert_cmpint(place_held_until(place, &request, 0), ==, 400);
		for (int n = 0; n < 20; n++) {
			g_assert_true(
			    place_choose(place, &request, 350, &handle));
			g_assert_cmpstr(
			    place_entry_get(place, handle)->id, ==, "u2");
		}
		request.is_unlimited_only = true;
		g_assert_true(place_choose(place, &request, 500, &handle));
		g_assert_cmpstr(place_entry_get(place, handle)->id, ==, "u2");
		request.is_unlimited_only = false;
	}
	g_assert_false(place_choose(place, &request, 299, &handle));
	g_assert_cmpint(place_held_until(place, &request, 299), ==, 400);
	g_assert_true(place_choose(place, &request, 300, &handle));
	g_assert_cmpstr(place_entry_get(place, handle)->id, ==, "u1");
	/* The limits end. */
	(void)throttle_observe(throttle, roster_hash("u2"), 0, 300, 300);
	g_assert_true(place_choose(place, &request, 300, &handle));
	g_assert_cmpstr(place_entry_get(place, handle)->id, ==, "u2");
	place_close(place);
	throttle_close(throttle);
	roster_close(roster);
}

/*
 * An entry that expires while the store is unavailable is used until its
 * removal time, and stays if it is updated before.  An upstream that is
 * stopping or removed gets no requests.
 */
static void
test_entries(void)
{
	struct place *place = place_open("a");
	struct place_entry stopping = entry("u1", 1, 64);
	struct place_handle handle;

	add(place, "u1", 1);
	place_upstream_remove_at(place, "u1", 2000);
	place_expire(place, 1999);
	g_assert_nonnull(choose(place, NULL, 0, 1999, &handle));
	add(place, "u1", 1);
	place_expire(place, 3000);
	g_assert_nonnull(choose(place, NULL, 0, 3000, &handle));
	place_upstream_remove_at(place, "u1", 4000);
	place_expire(place, 4000);
	g_assert_null(choose(place, NULL, 0, 4000, &handle));
	add(place, "u1", 1);
	stopping.is_ready = false;
	place_upstream_update(place, &stopping, 0);
	g_assert_null(choose(place, NULL, 0, 5000, &handle));
	place_close(place);
}

/* Guards against state of an upstream that outlives its restart. */
static void
test_restarted_upstream(void)
{
	struct place *place = place_open("a");
	struct place_entry again = entry("u1", 1, 64);
	struct place_handle old, handle;

	add(place, "u1", 1);
	g_assert_nonnull(choose(place, NULL, 0, 0, &old));
	again.started = 17;
	place_upstream_update(place, &again, 0);
	g_assert_null(place_entry_get(place, old));
	g_assert_nonnull(choose(place, NULL, 0, 0, &handle));
	g_assert_nonnull(place_entry_get(place, handle));
	/* A request from before the restart ends: no effect on the new run. */
	place_request_end(place, old, PLACE_FAILED, 0);
	g_assert_nonnull(place_entry_get(place, handle));
	g_assert_cmpuint(place_upstream_count(place), ==, 1);
	place_close(place);
}

/*
 * Guards against upstreams whose load the peers never hear of, because more
 * are in use than a message has room for.
 */
static void
test_loads_take_turns(void)
{
	struct place *place = place_open("a");
	struct place_load loads[4];
	struct place_handle handle;
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);

	for (int i = 1; i <= 10; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		add(place, id, i);
	}
	for (int i = 0; i < 10; i++)
		g_assert_nonnull(choose(place, NULL, 0, 0, &handle));
	for (int message = 0; message < 3; message++) {
		g_assert_cmpuint(place_loads_collect(place, loads, 4), ==, 10);
		for (int i = 0; i < 4; i++)
			(void)g_hash_table_add(
			    seen, GUINT_TO_POINTER(loads[i].upstream));
	}
	g_assert_cmpuint(g_hash_table_size(seen), ==, 10);
	place_close(place);
}

/*
 * Guards against a stream that is sent to another software version than the
 * one that it needs, and against one that leaves the one that costs less.
 */
static void
test_versions(void)
{
	struct place *place = place_open("a");
	struct place_request request = {.service = "pool"};
	struct place_handle handle;
	g_autoptr(GArray) versions = NULL;

	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);
		struct place_entry e = entry(id, i + 1, 4);

		e.version = i == 0 ? "v1" : "v2";
		e.is_ready = i < 3;
		g_assert_true(place_upstream_update(place, &e, 0));
		g_assert_false(place_upstream_update(place, &e, 0));
	}
	versions = place_versions_collect(place);
	g_assert_cmpuint(versions->len, ==, 2);
	g_assert_cmpuint(
	    g_array_index(versions, struct place_version, 1).slots, ==, 8);
	g_assert_true(place_is_served(place, "pool", "v2"));
	g_assert_false(place_is_served(place, "pool", "v3"));
	for (int n = 0; n < 40; n++) {
		request.version = n < 20 ? "v1" : "v3";
		g_assert_cmpint(
		    place_choose(place, &request, 0, &handle), ==, n < 20);
	}
	/* The one that costs less has 20 requests in 4 slots. */
	request.version = NULL;
	request.preferred_version = "v1";
	request.other_version_ms = 1e6;
	g_assert_true(place_choose(place, &request, 0, &handle));
	g_assert_cmpstr(place_entry_get(place, handle)->version, ==, "v1");
	request.other_version_ms = 10;
	g_assert_true(place_choose(place, &request, 0, &handle));
	g_assert_cmpstr(place_entry_get(place, handle)->version, ==, "v2");
	place_close(place);
}

/*
 * Guards against requests that cross to another data centre for a gain below
 * what it costs, and against requests that stay when home has no upstream.
 */
static void
test_spill(void)
{
	const struct spill_settings settings = {SPILL_GB_PRICE_S};
	struct spill *spill = spill_open(&settings);
	struct place *place = place_open("a");
	struct place_entry away = entry("away", 2, 64);
	struct place_handle handle;

	away.datacentre = "b";
	place_spill_set(place, spill);
	place_instances_set(place, 1);
	add(place, "home", 1);
	(void)place_upstream_update(place, &away, 0);
	/* A load difference of one request at home is less than the way. */
	for (int i = 0; i < 2; i++)
		g_assert_cmpstr(choose(place, NULL, 0, 0, &handle), ==, "home");
	for (int i = 0; i < 2; i++)
		place_request_end(place, handle, PLACE_UNREACHABLE, 0);
	g_assert_cmpstr(choose(place, NULL, 0, 1, &handle), ==, "away");
	place_upstream_remove(place, "home");
	g_assert_cmpstr(choose(place, NULL, 0, 10000, &handle), ==, "away");
	g_assert_cmpuint(spill_count(spill, SPILL_UNAVAILABLE), ==, 1);
	place_close(place);
	spill_close(spill);
}

static void
count_doubt(void *arg, uint32_t upstream, bool is_failure)
{
	unsigned *doubts = arg;

	(void)upstream;
	doubts[is_failure]++;
}

/*
 * Guards against requests for upstreams of an evacuated data centre: chosen,
 * or chosen before and not sent yet; also for an upstream that registers
 * meanwhile, and one that is the only one with a software version.  At the end
 * they may have started again.
 */
static void
test_evacuated(void)
{
	struct place *place = place_open("a");
	struct evacuations *evacuations = place_evacuations(place);
	struct place_request request = {.service = "pool"};
	struct place_handle handle;
	unsigned doubts[2] = {0};

	place_doubt_set(place, count_doubt, doubts);
	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);
		struct place_entry e = entry(id, i + 1, 4);

		e.version = i == 0 ? "v1" : "v2";
		e.datacentre = i < 2 ? "a" : "b";
		if (i == 1) {
			(void)evacuations_set(evacuations, "a", true);
			g_assert_true(place_evacuations_apply(place));
		}
		g_assert_true(place_upstream_update(place, &e, 0));
	}
	for (int n = 0; n < 20; n++) {
		g_assert_true(place_choose(place, &request, 0, &handle));
		g_assert_cmpstr(
		    place_entry_get(place, handle)->datacentre, ==, "b");
	}
	request.version = "v1";
	g_assert_false(place_choose(place, &request, 0, &handle));
	g_assert_false(place_is_served(place, "pool", "v1"));
	request.version = "v2";
	g_assert_true(place_choose(place, &request, 0, &handle));
	g_assert_true(place_is_open(place, handle, true, 0));
	(void)evacuations_set(evacuations, "b", true);
	(void)evacuations_set(evacuations, "unknown", true);
	g_assert_true(place_evacuations_apply(place));
	g_assert_false(place_evacuations_apply(place));
	g_assert_false(place_is_open(place, handle, true, 0));
	g_assert_false(place_choose(place, &request, 0, &handle));
	g_assert_cmpuint(doubts[0], ==, 0);
	(void)evacuations_set(evacuations, "a", false);
	g_assert_true(place_evacuations_apply(place));
	g_assert_cmpuint(doubts[0], ==, 2);
	request.version = NULL;
	g_assert_true(place_choose(place, &request, 0, &handle));
	g_assert_cmpstr(place_entry_get(place, handle)->datacentre, ==, "a");
	place_close(place);
}

/*
 * Guards against an upstream that is avoided, or gets too much, after it has
 * become warm because of what was measured while it was cold; and against a
 * crash that raises no doubt about whether it has started again.
 */
static void
test_cold(void)
{
	struct roster *roster = roster_open("i0");
	struct throttle *throttle = throttle_open(roster);
	struct place *place = place_open("a");
	const struct place_request request = {
	    .service = "pool", .throttle = throttle};
	unsigned doubts[2] = {0}, chosen = 0;
	struct place_handle handles[2], handle;
	uint32_t cold = roster_hash("u1");
	struct throttle_cold known = {throttle_rate(100.0), 5000, 0, 0};

	roster_size_set(roster, 1, 0);
	place_throttle_set(place, throttle);
	place_doubt_set(place, count_doubt, doubts);
	add(place, "u1", 1);
	add(place, "u2", 2);
	for (int i = 0; i < 2; i++)
		g_assert_true(place_choose(place, &request, 0, &handles[i]));
	throttle_cold_set(throttle, cold, &known, 0);
	for (int i = 0; i < 2; i++) {
		bool is_cold =
		    strcmp(place_entry_get(place, handles[i])->id, "u1") == 0;

		for (int n = 0; n < 50; n++)
			place_first_byte_record(
			    place, handles[i], is_cold ? 500 : 20);
		place_request_end(place, handles[i], PLACE_SERVED, 0);
	}
	for (int n = 0; n < 20; n++) {
		g_assert_true(place_choose(place, &request, 0, &handle));
		chosen += handle.index == 0;
		place_request_end(place, handle, PLACE_SERVED, 0);
	}
	g_assert_cmpuint(chosen, ==, 0);
	known.until = 0;
	known.learned = 1000;
	throttle_cold_set(throttle, cold, &known, 1000);
	for (int n = 0; n < 20; n++) {
		g_assert_true(place_choose(place, &request, 1000, &handle));
		chosen += handle.index == 0;
		place_request_end(place, handle, PLACE_SERVED, 1000);
	}
	g_assert_cmpuint(chosen, >=, 8);
	for (int n = 0; n < 3; n++) {
		const enum place_outcome outcomes[] = {
		    PLACE_FAILED, PLACE_FAILED, PLACE_UNREACHABLE};

		g_assert_true(place_choose(place, &request, 1000, &handle));
		place_request_end(place, handle, outcomes[n], 1000);
	}
	g_assert_cmpuint(doubts[1], >=, 1);
	place_close(place);
	throttle_close(throttle);
	roster_close(roster);
}

static GPtrArray *
regions(const char *one, const char *other)
{
	GPtrArray *list = g_ptr_array_new();

	if (one != NULL)
		g_ptr_array_add(list, (void *)g_intern_string(one));
	if (other != NULL)
		g_ptr_array_add(list, (void *)g_intern_string(other));
	return (list);
}

/*
 * Guards against a request that runs in a region where it may not: by its
 * route, by its organisation, or where the region isn't known; also for one
 * that is to go to the upstream of its object.
 */
static void
test_regions(void)
{
	static const struct {
		const char *route, *organisation, *datacentre;
	} cases[] = {
	    {"eu", NULL, "a"},
	    {NULL, "us", "b"},
	    {"eu", "eu", "a"},
	    {"eu", "us", NULL},
	    {"nowhere", NULL, NULL},
	    {NULL, "nowhere", NULL},
	};
	struct place *place = place_open("a");
	unsigned any = 0;
	struct place_handle handle;

	place_region_set(place, "a", "eu");
	place_region_set(place, "b", "us");
	g_assert_true(place_has_region(place, "us"));
	g_assert_false(place_has_region(place, "a"));
	for (int i = 0; i < 3; i++) {
		static const char *const datacentres[] = {"a", "b", "c"};
		g_autofree char *id = g_strdup_printf("u%d", i);
		struct place_entry e = entry(id, i + 1, 64);

		e.datacentre = datacentres[i];
		(void)place_upstream_update(place, &e, 0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GPtrArray) route = regions(cases[i].route, NULL);
		g_autoptr(GPtrArray) organisation =
		    regions(cases[i].organisation, "unused");
		struct place_request request = {.service = "pool"};

		if (cases[i].route != NULL)
			request.route_regions = route;
		if (cases[i].organisation != NULL)
			request.organisation_regions = organisation;
		for (uint32_t n = 0; n < 20; n++) {
			request.object = n;
			g_assert_cmpint(
			    place_choose(place, &request, 0, &handle), ==,
			    cases[i].datacentre != NULL);
			if (cases[i].datacentre == NULL)
				continue;
			g_assert_cmpstr(
			    place_entry_get(place, handle)->datacentre, ==,
			    cases[i].datacentre);
			place_request_end(place, handle, PLACE_SERVED, 0);
		}
	}
	for (int n = 0; n < 60; n++) {
		const struct place_request request = {.service = "pool"};

		g_assert_true(place_choose(place, &request, 0, &handle));
		any |= 1U << handle.index;
	}
	g_assert_cmpuint(any, ==, 7);
	place_close(place);
}

static struct place_service_load
service_load(struct place *place, const struct place_part *part, clk_ms now)
{
	const struct place_request request = {
	    .service = "pool", .parts = part, .part_count = part != NULL};

	return (place_service_load(place, &request, now));
}

/*
 * Guards against a service that counts as full, or as free, because of
 * upstreams that get nothing: those that leave, fail or are gone; because of
 * what this instance guesses of the others; and because of free places of
 * engines that are slow.
 */
static void
test_service_load(void)
{
	struct place *place = place_open("a");
	const struct place_part part = {1000, 10};
	struct place_load told;
	struct place_service_load load;
	struct place_handle handle;
	struct place_entry e;

	g_assert_cmpuint(service_load(place, NULL, 0).upstreams, ==, 0);
	add(place, "u1", 1);
	add(place, "u2", 2);
	place_instances_set(place, INSTANCES);
	told = (struct place_load){roster_hash("u1"), 5};
	place_gossip_merge(place, "peer", &told, 1, 0);
	g_assert_nonnull(choose(place, NULL, 0, 0, &handle));
	load = service_load(place, NULL, 0);
	g_assert_cmpuint(load.upstreams, ==, 2);
	g_assert_cmpfloat(load.places, ==, 128);
	g_assert_cmpfloat(load.running, ==, 6);
	g_assert_cmpfloat(load.own, ==, 1);
	/* One that has just refused a request as full has no place. */
	place_request_end(place, handle, PLACE_REJECTED, 0);
	load = service_load(place, NULL, 0);
	g_assert_cmpfloat(load.places, ==, 128);
	g_assert_cmpfloat(load.running, >=, 64);
	g_assert_cmpfloat(service_load(place, NULL, 60).running, ==, 5);
	/* One that is leaving, and one that can't be reached. */
	e = entry("u3", 3, 64);
	e.is_ready = false;
	place_upstream_update(place, &e, 60);
	g_assert_cmpuint(service_load(place, NULL, 60).upstreams, ==, 2);
	g_assert_nonnull(choose(place, NULL, 0, 60, &handle));
	place_request_end(place, handle, PLACE_UNREACHABLE, 60);
	g_assert_cmpuint(service_load(place, NULL, 60).upstreams, ==, 1);
	g_assert_cmpuint(service_load(place, NULL, 10000).upstreams, ==, 2);
	/* An engine at a third of the other's speed. */
	place_gossip_merge(place, "peer", NULL, 0, 10000);
	add_speed_samples(place, "u1");
	load = service_load(place, &part, 10000);
	g_assert_cmpfloat(load.places, >, 64 + 20);
	g_assert_cmpfloat(load.places, <, 64 + 23);
	place_close(place);
}

/*
 * Guards against an upstream that has stopped to serve while it is reached and
 * its health checks pass: until the first of its requests is given up, nothing
 * told it from one with a short queue, so that it went on getting requests,
 * here and from the other instances.
 */
static void
test_overdue(void)
{
	struct place *place = place_open("a");
	struct place *peer = place_open("a");
	struct place_handle hung, other;
	struct place_load loads[2];

	place_instances_set(place, 1);
	place_instances_set(peer, 1);
	for (int i = 0; i < 2; i++) {
		add(i == 0 ? place : peer, "u1", 1);
		add(i == 0 ? place : peer, "u2", 2);
	}
	g_assert_nonnull(choose(place, NULL, 0, 0, &hung));
	g_assert_cmpint(place_overdue_after(place, hung), ==, 500);
	place_first_byte_record(place, hung, 200);
	g_assert_cmpint(place_overdue_after(place, hung), ==, 1000);
	place_overdue_set(place, hung, true);
	/* 64 more than run there count. */
	for (int i = 0; i < 40; i++) {
		g_assert_nonnull(choose(place, NULL, 0, 0, &other));
		g_assert_cmpuint(other.index, !=, hung.index);
	}
	g_assert_cmpuint(place_loads_collect(place, loads, 2), ==, 2);
	place_gossip_merge(peer, "place", loads, 2, 0);
	for (int i = 0; i < 20; i++) {
		g_assert_nonnull(choose(peer, NULL, 0, 0, &other));
		g_assert_cmpuint(other.index, !=, hung.index);
	}
	place_overdue_set(place, hung, false);
	place_request_end(place, hung, PLACE_SILENT, 0);
	for (int i = 0; i < 40; i++) {
		g_assert_nonnull(choose(place, NULL, 0, 100, &other));
		g_assert_cmpuint(other.index, !=, hung.index);
	}
	place_close(peer);
	place_close(place);
}

/*
 * Guards against an upstream that fails a part of its requests with errors of
 * its own, quickly, and so looks like the fastest one.
 */
static void
test_errors(void)
{
	struct place *place = place_open("a");
	struct place_handle handle;
	clk_ms now = 0;

	place_instances_set(place, 1);
	add(place, "grey", 1);
	add(place, "sound", 2);
	for (int i = 0; i < 20; i++) {
		bool is_grey;

		is_grey =
		    strcmp(choose(place, NULL, 0, now, &handle), "grey") == 0;
		place_first_byte_record(place, handle, is_grey ? 5 : 30);
		place_request_end(
		    place, handle, is_grey ? PLACE_ERROR : PLACE_SERVED, now);
		now += 10;
		g_assert_true(i < 4 || !is_grey);
	}
	/* It gets requests again when the errors are long ago. */
	now += 60000;
	g_assert_cmpstr(choose(place, NULL, 0, now, &handle), ==, "grey");
	place_close(place);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plc/no-token", test_no_token);
	g_test_add_func("/plc/versions", test_versions);
	g_test_add_func("/plc/evacuated", test_evacuated);
	g_test_add_func("/plc/cold", test_cold);
	g_test_add_func("/plc/regions", test_regions);
	g_test_add_func("/plc/locality", test_locality);
	g_test_add_func("/plc/object", test_object);
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
	g_test_add_func("/plc/loads-take-turns", test_loads_take_turns);
	g_test_add_func("/plc/spill", test_spill);
	g_test_add_func("/plc/overdue", test_overdue);
	g_test_add_func("/plc/errors", test_errors);
	g_test_add_func("/place/service-load", test_service_load);
	return (g_test_run());
}
