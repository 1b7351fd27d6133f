/*
 * Upstreams that leave, over several instances with lost messages, restarts,
 * freezes, a store that turns instances away, and upstreams that start again
 * under their id: random orders of these events.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lib/test_orders.h"
#include "place/place.h"

#define INSTANCES_MAX 5
#define UPSTREAMS     3
#define GOSSIP_MS     200
#define STEP_MS	      10
#define ORDER_MS      12000
/* The platform's time for which an upstream that leaves may get requests. */
#define DRAIN_MS       2000
#define LAST_RESORT_MS 500
/* Longest time until an instance in touch has read an entry. */
#define FEED_MS 900
#define NEVER	INT64_MAX
/* Time after which an upstream that has started again must be used. */
#define USED_MS 15000

enum {
	RULES_ALL,
	RULE_ANSWERS_UNREAD, /* what answers say is not taken */
	RULE_ENTRIES_DECIDE, /* an entry that says ready ends a departure */
	RULE_RUNS_UNTOLD /* runs of an upstream are not told apart */
};

struct entry_news {
	int upstream;
	int64_t started;
	bool is_ready;
	bool is_removed;
	clk_ms written;
};

/* A run of an upstream, as it really is. */
struct run {
	int64_t started;
	clk_ms leaving; /* or NEVER */
	clk_ms ended; /* or NEVER */
};

struct instance {
	struct place *place;
	guint read; /* entries read so far */
	clk_ms store_away_until;
	clk_ms frozen_until;
	/* When it passed on the word of a run: "upstream/started" -> time. */
	GHashTable *passed_on;
};

struct answer {
	int instance;
	unsigned incarnation; /* of the instance */
	int upstream;
	int64_t started;
	struct place_handle handle;
	bool is_leaving;
	clk_ms due;
};

struct order {
	GRand *rand;
	int variant;
	int instances;
	clk_ms now;
	struct instance all[INSTANCES_MAX];
	unsigned incarnations[INSTANCES_MAX];
	struct run runs[UPSTREAMS];
	GArray *entries; /* struct entry_news, as written */
	GArray *answers; /* struct answer, under way */
	int64_t starts;
	bool is_violated;
};

static bool
chance(struct order *o, double per_s)
{
	return (g_rand_double(o->rand) < per_s * STEP_MS / (double)CLK_SECOND);
}

static void
entry_write(struct order *o, int u, bool is_ready, bool is_removed)
{
	struct entry_news news = {
	    u, o->runs[u].started, is_ready, is_removed, o->now};

	g_array_append_val(o->entries, news);
}

static void
instance_open(struct order *o, int i)
{
	struct instance *instance = &o->all[i];

	instance->place = place_open("a");
	place_last_resort_set(instance->place, LAST_RESORT_MS);
	instance->read = 0;
	instance->passed_on =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->incarnations[i]++;
}

static void
instance_close(struct instance *instance)
{
	place_close(instance->place);
	g_hash_table_destroy(instance->passed_on);
}

static void
entry_apply(
    struct order *o, struct instance *instance, const struct entry_news *news)
{
	char id[8];
	struct place_entry entry = {.id = id,
	    .service = "pool",
	    .datacentre = "a",
	    .version = "v1",
	    .address = {.sin_family = AF_INET, .sin_port = htons(80)},
	    .slots = 8,
	    .is_ready = news->is_ready,
	    .started = o->variant == RULE_RUNS_UNTOLD ? 1 : news->started,
	    .sequence = 1};

	(void)g_snprintf(id, sizeof(id), "u%d", news->upstream);
	if (news->is_removed || o->variant == RULE_ENTRIES_DECIDE)
		place_upstream_remove(instance->place, id);
	if (news->is_removed)
		return;
	if (o->variant == RULE_ENTRIES_DECIDE)
		entry.started = (int64_t)o->entries->len * 1000 + o->now;
	(void)place_upstream_update(instance->place, &entry, o->now);
}

static void
feed_read(struct order *o, int i)
{
	struct instance *instance = &o->all[i];
	const struct entry_news *news;

	if (o->now < instance->store_away_until)
		return;
	while (instance->read < o->entries->len) {
		news = &g_array_index(
		    o->entries, struct entry_news, instance->read);
		/* A read takes up to FEED_MS. */
		if (o->now - news->written < FEED_MS && !chance(o, 5))
			return;
		entry_apply(o, instance, news);
		instance->read++;
	}
	place_entries_confirm(instance->place, o->now);
}

static void
gossip_send(struct order *o, int from)
{
	struct departure departures[30];
	size_t n = MIN(departures_collect(place_departures(o->all[from].place),
			   departures, 30, o->now),
	    30);

	for (int i = 0; i < o->instances; i++) {
		if (i != from && o->now >= o->all[i].frozen_until &&
		    g_rand_double(o->rand) > 0.1)
			(void)place_leaving_merge(
			    o->all[i].place, departures, n, o->now);
	}
}

static char *
run_key(int upstream, int64_t started)
{
	return (g_strdup_printf("%d/%" G_GINT64_FORMAT, upstream, started));
}

/* A request at the instance; bound ones may go to a leaving upstream. */
static void
request_send(struct order *o, int i)
{
	struct instance *instance = &o->all[i];
	bool is_bound = g_rand_boolean(o->rand);
	const struct place_request request = {
	    .service = "pool", .version = is_bound ? "v1" : NULL};
	struct answer answer = {i, o->incarnations[i], 0, 0, {0, 0}, false,
	    o->now + g_rand_int_range(o->rand, 1, 400)};
	g_autofree char *key = NULL;
	const clk_ms *passed_on;
	const struct run *run;

	if (!place_choose(instance->place, &request, o->now, &answer.handle))
		return;
	answer.upstream =
	    place_entry_get(instance->place, answer.handle)->id[1] - '0';
	run = &o->runs[answer.upstream];
	answer.started = run->started;
	key = run_key(answer.upstream, run->started);
	passed_on = g_hash_table_lookup(instance->passed_on, key);
	if (passed_on != NULL &&
	    o->now - *passed_on >= (is_bound ? LAST_RESORT_MS : 0))
		o->is_violated = true;
	if (run->ended != NEVER) {
		place_request_end(
		    instance->place, answer.handle, PLACE_UNREACHABLE, o->now);
		return;
	}
	g_array_append_val(o->answers, answer);
}

/* The word is of the run that answered, at the time of its answer. */
static void
answers_deliver(struct order *o)
{
	for (guint k = o->answers->len; k > 0; k--) {
		struct answer answer =
		    g_array_index(o->answers, struct answer, k - 1);
		struct instance *instance = &o->all[answer.instance];
		const struct run *run = &o->runs[answer.upstream];

		if (o->now < answer.due || o->now < instance->frozen_until)
			continue;
		(void)g_array_remove_index_fast(o->answers, k - 1);
		if (o->incarnations[answer.instance] != answer.incarnation)
			continue;
		answer.is_leaving = run->started == answer.started &&
		    run->leaving <= answer.due;
		if (answer.is_leaving) {
			g_autofree char *key =
			    run_key(answer.upstream, answer.started);

			if (o->variant != RULE_ANSWERS_UNREAD)
				(void)place_leaving_record(
				    instance->place, answer.handle, o->now);
			if (!g_hash_table_contains(instance->passed_on, key))
				(void)g_hash_table_insert(instance->passed_on,
				    g_steal_pointer(&key),
				    g_memdup2(&o->now, sizeof(o->now)));
		}
		place_request_end(
		    instance->place, answer.handle, PLACE_SERVED, o->now);
	}
}

static void
run_start(struct order *o, int u)
{
	o->runs[u] = (struct run){++o->starts, NEVER, NEVER};
	entry_write(o, u, true, false);
}

/* The life of an upstream: it leaves, ends, and starts again under its id. */
static void
upstream_step(struct order *o, int u)
{
	struct run *run = &o->runs[u];

	if (run->ended != NEVER) {
		if (o->now - run->ended > 500 && chance(o, 1))
			run_start(o, u);
	} else if (run->leaving != NEVER) {
		/* Late heartbeats, of before, say that it is ready. */
		if (o->now - run->leaving < 1000 && chance(o, 2))
			entry_write(o, u, true, false);
		if (o->now - run->leaving > 3000 && chance(o, 1)) {
			run->ended = o->now;
			entry_write(o, u, false, true);
		}
	} else if (chance(o, 0.3)) {
		run->leaving = o->now;
		if (g_rand_boolean(o->rand))
			entry_write(o, u, false, false);
	} else if (chance(o, 0.1)) {
		/* It crashes: nothing is written before it is back. */
		run->ended = o->now;
	} else if (chance(o, 0.5)) {
		entry_write(o, u, true, false);
	}
}

static void
instance_step(struct order *o, int i)
{
	struct instance *instance = &o->all[i];

	if (chance(o, 0.05)) {
		instance_close(instance);
		instance_open(o, i);
	}
	if (chance(o, 0.1))
		instance->frozen_until =
		    o->now + g_rand_int_range(o->rand, 100, 4000);
	if (chance(o, 0.1))
		instance->store_away_until =
		    o->now + g_rand_int_range(o->rand, 1000, 6000);
	if (o->now < instance->frozen_until)
		return;
	feed_read(o, i);
	if ((o->now + 40 * i) % GOSSIP_MS == 0)
		gossip_send(o, i);
	if (chance(o, 20))
		request_send(o, i);
}

/* All instances with all entries use the upstreams that don't leave. */
static void
check_used(struct order *o)
{
	const struct place_request request = {.service = "pool"};

	for (int u = 0; u < UPSTREAMS; u++) {
		if (o->runs[u].ended != NEVER || o->runs[u].leaving != NEVER)
			run_start(o, u);
	}
	for (int i = 0; i < o->instances; i++) {
		struct instance *instance = &o->all[i];
		struct place_handle handles[UPSTREAMS];
		struct place_request each = request;
		clk_ms now;

		for (; instance->read < o->entries->len; instance->read++)
			entry_apply(o, instance,
			    &g_array_index(
				o->entries, struct entry_news, instance->read));
		each.tried = handles;
		now = o->now + USED_MS;
		while (each.tried_count < UPSTREAMS &&
		    place_choose(instance->place, &each, now,
			&handles[each.tried_count]))
			each.tried_count++;
		if (each.tried_count < UPSTREAMS)
			o->is_violated = true;
	}
}

static bool
order_play(guint32 seed, int variant)
{
	struct order o = {.variant = variant};

	o.rand = g_rand_new_with_seed(seed);
	o.instances = g_rand_int_range(o.rand, 2, INSTANCES_MAX + 1);
	o.entries = g_array_new(FALSE, FALSE, sizeof(struct entry_news));
	o.answers = g_array_new(FALSE, FALSE, sizeof(struct answer));
	for (int u = 0; u < UPSTREAMS; u++)
		run_start(&o, u);
	for (int i = 0; i < o.instances; i++)
		instance_open(&o, i);
	for (o.now = STEP_MS; o.now < ORDER_MS; o.now += STEP_MS) {
		for (int u = 0; u < UPSTREAMS; u++)
			upstream_step(&o, u);
		answers_deliver(&o);
		for (int i = 0; i < o.instances; i++)
			instance_step(&o, i);
	}
	check_used(&o);
	for (int i = 0; i < o.instances; i++)
		instance_close(&o.all[i]);
	g_array_free(o.entries, TRUE);
	g_array_free(o.answers, TRUE);
	g_rand_free(o.rand);
	return (o.is_violated);
}

static unsigned
orders_violated(uint32_t seed, unsigned orders, int variant)
{
	unsigned violated = 0;

	for (unsigned i = 0; i < orders; i++)
		violated += order_play(seed + i, variant);
	return (violated);
}

static unsigned
orders_count(unsigned fallback)
{
	const char *text = g_getenv("SAMPHIRESHED_ORDERS");

	return (text != NULL ? (unsigned)strtoul(text, NULL, 10) : fallback);
}

/*
 * Guards against a request to an upstream whose word this instance has passed
 * on, and against an upstream that has started again and is never used.
 */
static void
test_orders(void)
{
	unsigned orders = orders_count(300);
	unsigned violated = orders_violated(orders_seed(), orders, RULES_ALL);

	g_print("# figure departure orders=%u orders_violated=%u seed=%u\n",
	    orders, violated, orders_seed());
	g_assert_cmpuint(violated, ==, 0);
}

static void
test_variants(void)
{
	const struct orders_variant variants[] = {
	    {RULE_ANSWERS_UNREAD, "answers_read"},
	    {RULE_ENTRIES_DECIDE, "memory"},
	    {RULE_RUNS_UNTOLD, "runs"},
	};

	orders_variants_check(
	    "departure", 40, variants, G_N_ELEMENTS(variants), orders_violated);
}

/* A bound on what is remembered: the oldest are forgotten, and time does. */
static void
test_memory(void)
{
	struct departures *departures = departures_open();
	struct departure told[4];

	for (uint32_t i = 0; i <= DEPARTURES_MAX; i++)
		g_assert_true(departures_add(departures, i, 7, 10, 10));
	g_assert_cmpint(departures_since(departures, 0, 7), ==, DEPARTURE_NONE);
	g_assert_cmpint(departures_since(departures, 1, 7), ==, 10);
	g_assert_cmpint(departures_since(departures, 1, 8), ==, DEPARTURE_NONE);
	/* The latest come first; what does not fit is counted. */
	g_assert_cmpuint(
	    departures_collect(departures, told, 4, 30), ==, DEPARTURES_MAX);
	g_assert_cmpuint(told[0].upstream, ==, DEPARTURES_MAX);
	g_assert_cmpuint(told[0].age, ==, 20);
	/* An earlier word counts from its time, and isn't news. */
	g_assert_false(departures_add(departures, 1, 7, 5, 40));
	g_assert_cmpint(departures_since(departures, 1, 7), ==, 5);
	g_assert_true(departures_add(departures, 1, 9, 700000, 700000));
	g_assert_cmpint(departures_since(departures, 1, 7), ==, DEPARTURE_NONE);
	g_assert_cmpuint(
	    departures_collect(departures, told, 4, 700000), ==, 1);
	departures_close(departures);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/departure/orders", test_orders);
	g_test_add_func("/departure/variants", test_variants);
	g_test_add_func("/departure/memory", test_memory);
	return (g_test_run());
}
