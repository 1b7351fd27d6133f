/*
 * The versions of streams, with several instances that read the plans late,
 * not at all, or start again: alone, and through random orders of events.
 */
#include <glib.h>
#include <string.h>

#include "lib/test_orders.h"
#include "rollout/rollout.h"

#define SERVICE "pool"
#define START	(1000 * CLK_SECOND)
/* As edge_rollout.c reads and gives them. */
#define READ_PERIOD_MS 2000
#define LIFE_MS	       (10 * CLK_SECOND)
/* As in rollout.c, for the variants without the waits. */
#define PLAN_MAX_AGE_MS (5 * CLK_SECOND)

#define INSTANCES     5
#define VERSIONS      4
#define STEP_MS	      250
#define ORDER_MS      (240 * CLK_SECOND)
#define ORDERS	      60
#define RELEASE_MS    (15 * CLK_SECOND)
#define LATE_MAX_MS   3000
#define READ_DELAY_MS 400

static const char *const names[VERSIONS] = {"v1", "v1.1", "v2", "v3"};

/* Rules that are left out to show that the check can fail. */
enum {
	WITH_ALL,
	WITHOUT_RECORDS,
	WITHOUT_PLAN_AGE,
	WITHOUT_MOVING_WAIT,
	WITHOUT_ADOPTING_WAIT
};

static const struct orders_variant variants[] = {
    {WITHOUT_RECORDS, "records"},
    {WITHOUT_PLAN_AGE, "plan_age"},
    {WITHOUT_MOVING_WAIT, "moving_wait"},
    {WITHOUT_ADOPTING_WAIT, "adopting_wait"},
};

struct stream {
	char id[16];
	char key[16];
	unsigned version;
	clk_ms began;
};

struct instance {
	struct rollout *rollout;
	clk_ms next_read;
	double failing; /* part of its store calls that fail */
	/* A step that takes effect later, if nothing else does before. */
	GByteArray *late;
	clk_ms late_at;
	int64_t late_end;
};

struct sim {
	GRand *rand;
	int variant;
	clk_ms now;
	/* The store. */
	GByteArray *plan;
	int64_t end;
	GHashTable *records; /* id of a stream -> version + 1 */
	unsigned slots[VERSIONS];
	struct instance instances[INSTANCES];
	GArray *streams;
	clk_ms next_release;
	bool has_faults;
	bool is_always_served; /* each version has some upstream */
	unsigned serial;
	unsigned joined;
	unsigned taken_up;
	unsigned unknown;
	unsigned recorded;
};

static bool
is_drawn(struct sim *sim, double probability)
{
	return (g_rand_double(sim->rand) < probability);
}

static unsigned
version_index(const char *name)
{
	unsigned i = 0;

	while (strcmp(names[i], name) != 0)
		i++;
	return (i);
}

static void
plan_write(struct sim *sim, const GByteArray *value)
{
	if (sim->plan != NULL)
		(void)g_byte_array_unref(sim->plan);
	sim->plan =
	    g_byte_array_append(g_byte_array_new(), value->data, value->len);
	sim->end++;
}

static void
plan_append(
    struct sim *sim, struct instance *instance, GByteArray *value, int64_t end)
{
	if (sim->has_faults && instance->late == NULL && is_drawn(sim, 0.2)) {
		instance->late = g_byte_array_ref(value);
		instance->late_end = end;
		instance->late_at =
		    sim->now + g_rand_int_range(sim->rand, 0, LATE_MAX_MS);
	} else if (end == sim->end) {
		plan_write(sim, value);
	}
}

static clk_ms
step_delay(const struct sim *sim, int i)
{
	/* The instances 0 and 1 are the homes. */
	clk_ms delay = i == 0 ? 0 : (clk_ms)(i == 1 ? 10 : 20) * CLK_SECOND;

	if (sim->variant == WITHOUT_MOVING_WAIT)
		return (-PLAN_MAX_AGE_MS - LIFE_MS);
	if (sim->variant == WITHOUT_ADOPTING_WAIT)
		return (-PLAN_MAX_AGE_MS);
	return (delay);
}

static void
instance_read(struct sim *sim, int i)
{
	struct instance *instance = &sim->instances[i];
	struct store_record record = {.key = SERVICE};
	struct place_version versions[VERSIONS];
	clk_ms asked = sim->now;
	int64_t end = sim->end;
	GByteArray *value;
	size_t count = 0;

	if (sim->has_faults)
		asked -= g_rand_int_range(sim->rand, 0, READ_DELAY_MS);
	if (sim->plan != NULL) {
		record.value = sim->plan->data;
		record.len = sim->plan->len;
	}
	rollout_plans_set(
	    instance->rollout, &record, sim->plan != NULL, asked, sim->now);
	for (unsigned v = 0; v < VERSIONS; v++) {
		if (sim->slots[v] > 0)
			versions[count++] = (struct place_version){
			    SERVICE, names[v], sim->slots[v]};
	}
	value = rollout_change(instance->rollout, SERVICE, versions, count,
	    step_delay(sim, i), sim->now);
	if (value == NULL)
		return;
	plan_append(sim, instance, value, sim->end);
	(void)g_byte_array_unref(value);
	if (sim->end > end)
		instance_read(sim, i);
}

static void
instance_start(struct instance *instance)
{
	rollout_close(instance->rollout);
	instance->rollout = rollout_open();
	rollout_stream_life_set(instance->rollout, LIFE_MS);
	instance->next_read = 0;
}

/* The time at which an instance's plans are looked at. */
static clk_ms
plan_time(const struct sim *sim, const struct instance *instance)
{
	return (sim->variant == WITHOUT_PLAN_AGE
		? sim->now - rollout_age(instance->rollout, sim->now)
		: sim->now);
}

static unsigned
version_draw(struct sim *sim)
{
	unsigned total = 0;
	unsigned at;
	unsigned v = 0;

	for (unsigned i = 0; i < VERSIONS; i++)
		total += sim->slots[i];
	at = g_rand_int(sim->rand) % total;
	while (at >= sim->slots[v])
		at -= sim->slots[v++];
	return (v);
}

static void
stream_begin(struct sim *sim, struct instance *instance)
{
	struct stream stream = {
	    .version = version_draw(sim), .began = sim->now};
	const char *unrecorded;
	bool is_wanted, is_needed, is_recorded;

	(void)g_snprintf(stream.id, sizeof(stream.id), "r%u", sim->serial);
	(void)g_snprintf(
	    stream.key, sizeof(stream.key), "p%u", sim->serial++ / 3);
	unrecorded = rollout_unrecorded(instance->rollout, SERVICE, stream.key,
	    plan_time(sim, instance), &is_wanted);
	if (unrecorded != NULL && is_drawn(sim, 0.5) &&
	    sim->slots[version_index(unrecorded)] > 0)
		stream.version = version_index(unrecorded);
	is_needed =
	    unrecorded == NULL || version_index(unrecorded) != stream.version;
	is_recorded = (is_needed || is_wanted) &&
	    sim->variant != WITHOUT_RECORDS &&
	    !is_drawn(sim, instance->failing);
	if (is_needed && !is_recorded && sim->variant != WITHOUT_RECORDS)
		return;
	if (is_recorded)
		(void)g_hash_table_insert(sim->records, g_strdup(stream.id),
		    GUINT_TO_POINTER(stream.version + 1));
	sim->recorded += is_needed || is_wanted;
	g_array_append_val(sim->streams, stream);
}

static void
stream_take_up(
    struct sim *sim, struct instance *instance, const struct stream *stream)
{
	unsigned recorded =
	    GPOINTER_TO_UINT(g_hash_table_lookup(sim->records, stream->id));
	const char *version;

	if (is_drawn(sim, instance->failing))
		return;
	version = recorded > 0 ? names[recorded - 1]
			       : rollout_began(instance->rollout, SERVICE,
				     stream->key, plan_time(sim, instance));
	sim->joined +=
	    version != NULL && version_index(version) != stream->version;
	/* Nobody could go on with it otherwise. */
	if (sim->slots[stream->version] > 0) {
		sim->taken_up++;
		sim->unknown += version == NULL;
	}
}

static void
release_draw(struct sim *sim)
{
	for (unsigned v = 0; v < VERSIONS; v++)
		sim->slots[v] = sim->is_always_served;
	do {
		sim->slots[g_rand_int_range(sim->rand, 0, VERSIONS)] +=
		    (unsigned)g_rand_int_range(sim->rand, 1, 64);
	} while (is_drawn(sim, 0.6));
	sim->next_release =
	    sim->now + g_rand_int_range(sim->rand, 1000, 4 * RELEASE_MS);
}

static void
faults_draw(struct sim *sim)
{
	static const double rates[] = {0, 0, 0.7, 1};
	struct instance *instance =
	    &sim->instances[g_rand_int_range(sim->rand, 0, INSTANCES)];

	if (is_drawn(sim, 0.1))
		instance->failing =
		    rates[g_rand_int_range(sim->rand, 0, G_N_ELEMENTS(rates))];
	if (is_drawn(sim, 0.02))
		instance_start(instance);
}

static void
sim_step(struct sim *sim)
{
	sim->now += STEP_MS;
	if (sim->now >= sim->next_release)
		release_draw(sim);
	if (sim->has_faults)
		faults_draw(sim);
	/* All instances are killed at once. */
	for (int i = 0; i < INSTANCES && is_drawn(sim, 0.01); i = INSTANCES) {
		for (int k = 0; k < INSTANCES; k++)
			instance_start(&sim->instances[k]);
	}
	for (int i = 0; i < INSTANCES; i++) {
		struct instance *instance = &sim->instances[i];

		if (instance->late != NULL && sim->now >= instance->late_at) {
			if (instance->late_end == sim->end)
				plan_write(sim, instance->late);
			(void)g_byte_array_unref(instance->late);
			instance->late = NULL;
		}
		if (sim->now >= instance->next_read) {
			instance->next_read = sim->now + READ_PERIOD_MS;
			if (!is_drawn(sim, instance->failing))
				instance_read(sim, i);
		}
		stream_begin(sim, instance);
	}
	for (guint i = sim->streams->len; i > 0; i--) {
		const struct stream *stream =
		    &g_array_index(sim->streams, struct stream, i - 1);

		if (sim->now - stream->began > LIFE_MS)
			g_array_remove_index_fast(sim->streams, i - 1);
		else if (is_drawn(sim, 0.05))
			stream_take_up(sim,
			    &sim->instances[g_rand_int_range(
				sim->rand, 0, INSTANCES)],
			    stream);
	}
}

static void
sim_open(struct sim *sim, uint32_t seed, int variant, bool has_faults)
{
	*sim = (struct sim){.rand = g_rand_new_with_seed(seed),
	    .variant = variant,
	    .now = START,
	    .has_faults = has_faults,
	    .records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	    .streams = g_array_new(FALSE, FALSE, sizeof(struct stream))};
	release_draw(sim);
	for (int i = 0; i < INSTANCES; i++)
		instance_start(&sim->instances[i]);
}

static void
sim_close(struct sim *sim)
{
	for (int i = 0; i < INSTANCES; i++) {
		rollout_close(sim->instances[i].rollout);
		if (sim->instances[i].late != NULL)
			(void)g_byte_array_unref(sim->instances[i].late);
	}
	if (sim->plan != NULL)
		(void)g_byte_array_unref(sim->plan);
	g_hash_table_destroy(sim->records);
	g_array_free(sim->streams, TRUE);
	g_rand_free(sim->rand);
}

static unsigned
orders_violated(uint32_t seed, unsigned orders, int variant)
{
	unsigned violated = 0;

	for (unsigned i = 0; i < orders; i++) {
		struct sim sim;

		sim_open(&sim, seed + i, variant, true);
		while (sim.now < START + ORDER_MS)
			sim_step(&sim);
		violated += sim.joined > 0;
		g_assert_cmpuint(sim.taken_up, >, 0);
		sim_close(&sim);
	}
	return (violated);
}

/*
 * Guards against a stream that goes on at another version than the one that
 * began it: plans and records read late or not at all, steps of a plan that
 * take effect late, and instances that start again, one or all.
 */
static void
test_orders(void)
{
	g_assert_cmpuint(
	    orders_violated(orders_seed(), ORDERS, WITH_ALL), ==, 0);
	orders_variants_check("streams_joined", ORDERS, variants,
	    G_N_ELEMENTS(variants), orders_violated);
}

/*
 * Guards against streams that can't go on although the store and upstreams of
 * their version serve: in releases, and after all instances were killed.  If
 * versions go and return, half of the streams have to go on.
 */
static void
test_known(void)
{
	for (unsigned i = 0; i < ORDERS; i++) {
		struct sim sim;

		sim_open(&sim, orders_seed() + i, WITH_ALL, false);
		sim.is_always_served = i % 2 == 0;
		release_draw(&sim);
		while (sim.now < START + ORDER_MS)
			sim_step(&sim);
		g_assert_cmpuint(sim.joined, ==, 0);
		g_assert_cmpuint(sim.taken_up, >, 0);
		if (sim.is_always_served)
			g_assert_cmpuint(sim.unknown, ==, 0);
		else
			g_assert_cmpuint(2 * sim.unknown, <, sim.taken_up);
		sim_close(&sim);
	}
}

/*
 * Guards against records where there is one version, and against a release
 * whose streams are recorded for ever.
 */
static void
test_cost(void)
{
	struct sim sim;
	unsigned before;

	sim_open(&sim, orders_seed(), WITH_ALL, false);
	sim.next_release = INT64_MAX;
	memset(sim.slots, 0, sizeof(sim.slots));
	sim.slots[0] = 64;
	while (sim.now < START + 60 * CLK_SECOND)
		sim_step(&sim);
	/* Before the first read only. */
	g_assert_cmpuint(sim.recorded, <=, INSTANCES);
	g_assert_cmpint(sim.end, ==, 1);
	sim.slots[0] = 0;
	sim.slots[1] = 64;
	while (sim.now < START + 110 * CLK_SECOND)
		sim_step(&sim);
	before = sim.recorded;
	while (sim.now < START + 160 * CLK_SECOND)
		sim_step(&sim);
	g_assert_cmpuint(sim.recorded, ==, before);
	g_assert_cmpuint(sim.joined, ==, 0);
	sim_close(&sim);
}

/*
 * Guards against a change of the plan that never ends, because its waits begin
 * anew whenever all instances are killed.
 */
static void
test_killed_often(void)
{
	struct sim sim;
	g_autofree char *text = NULL;

	sim_open(&sim, orders_seed(), WITH_ALL, false);
	memset(sim.slots, 0, sizeof(sim.slots));
	sim.slots[0] = 64;
	instance_read(&sim, 0);
	sim.slots[0] = 0;
	sim.slots[1] = 64;
	for (int i = 0; i < 80 * CLK_SECOND / READ_PERIOD_MS; i++) {
		if (i % 5 == 0)
			instance_start(&sim.instances[0]);
		instance_read(&sim, 0);
		sim.now += READ_PERIOD_MS;
	}
	text = rollout_text(sim.instances[0].rollout, SERVICE);
	g_assert_cmpstr(text, ==, "v1.1:32/0/0/0");
	sim_close(&sim);
}

/* Returns the cohorts' versions in words, after the waits of a change. */
static char *
plan_after(struct sim *sim, unsigned first, unsigned second)
{
	clk_ms end = sim->now + 180 * CLK_SECOND;

	sim->slots[0] = first;
	sim->slots[1] = second;
	for (; sim->now < end; sim->now += READ_PERIOD_MS)
		instance_read(sim, 0);
	return (rollout_text(sim->instances[0].rollout, SERVICE));
}

/*
 * Guards against a plan that follows each crash of an engine, and one that
 * leaves many streams to versions that few engines have.
 */
static void
test_balance(void)
{
	static const struct {
		unsigned first, second;
		const char *text;
	} cases[] = {
	    {64, 0, "v1:32/0/0/0"},
	    {60, 4, "v1:32/0/0/0"},
	    {32, 32, "v1.1:16/0/0/0,v1:16/0/0/0"},
	    {24, 32, "v1.1:16/0/0/0,v1:16/0/0/0"},
	    {8, 56, "v1.1:24/0/0/0,v1:8/0/0/0"},
	    {0, 0, "v1.1:24/0/0/0,v1:8/0/0/0"},
	    {0, 64, "v1.1:32/0/0/0"},
	};
	struct sim sim;

	sim_open(&sim, orders_seed(), WITH_ALL, false);
	memset(sim.slots, 0, sizeof(sim.slots));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
		    plan_after(&sim, cases[i].first, cases[i].second);

		g_assert_cmpstr(text, ==, cases[i].text);
	}
	sim_close(&sim);
}

/*
 * Guards against a stream whose version is forgotten while it may be taken up:
 * its route has a long timeout, and has gone from the configuration.
 */
static void
test_stream_life(void)
{
	const struct rollout_stream stream = {.service = (char *)SERVICE,
	    .version = (char *)"v1",
	    .recorded = 7,
	    .life = 400000};
	g_autoptr(GByteArray) value = rollout_stream_encode(&stream);
	const struct store_record record = {"r1", value->data, value->len};
	struct rollout_stream decoded;

	g_assert_true(rollout_stream_decode(&record, &decoded));
	g_assert_cmpuint(decoded.life, ==, 400000);
	g_assert_cmpstr(decoded.version, ==, "v1");
	rollout_stream_clear(&decoded);
	g_assert_false(rollout_stream_is_expired(&record, 1000, 400007));
	g_assert_true(rollout_stream_is_expired(&record, 1000, 900000));
}

/* Guards against records of other writers, or cut ones, that are used. */
static void
test_records(void)
{
	struct rollout_stream stream = {
	    .service = (char *)SERVICE, .version = (char *)"v1", .recorded = 7};
	g_autoptr(GByteArray) value = rollout_stream_encode(&stream);
	g_autoptr(GByteArray) unnamed = NULL;
	g_autoptr(GByteArray) odd = NULL;
	g_autofree char *longer = g_strnfill(ROLLOUT_NAME_MAX + 1, 'v');
	struct store_record record = {"r1", value->data, value->len};
	struct rollout_stream decoded;
	struct rollout_plan plan;

	g_assert_true(rollout_stream_decode(&record, &decoded));
	g_assert_cmpstr(decoded.service, ==, SERVICE);
	g_assert_cmpstr(decoded.version, ==, "v1");
	rollout_stream_clear(&decoded);
	g_assert_false(rollout_plan_decode(&record, &plan));
	g_assert_false(rollout_stream_is_expired(&record, 60000, 120007));
	g_assert_true(rollout_stream_is_expired(&record, 60000, 120008));
	stream.recorded = (uint64_t)INT64_MIN;
	odd = rollout_stream_encode(&stream);
	record = (struct store_record){"r1", odd->data, odd->len};
	g_assert_false(rollout_stream_is_expired(&record, 60000, 120008));
	g_assert_false(rollout_stream_decode(&record, &decoded));
	for (record.len = 0; record.len < value->len; record.len++)
		g_assert_false(rollout_stream_decode(&record, &decoded));
	decoded = stream;
	decoded.version = longer;
	g_assert_null(rollout_stream_encode(&decoded));
	/* A cohort's version that the plan doesn't name. */
	plan = (struct rollout_plan){.versions = (char *[]){(char *)"v1"},
	    .version_count = 1,
	    .cohorts = {{1, ROLLOUT_STABLE}}};
	unnamed = rollout_plan_encode(&plan);
	record = (struct store_record){SERVICE, unnamed->data, unnamed->len};
	g_assert_false(rollout_plan_decode(&record, &plan));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout/orders", test_orders);
	g_test_add_func("/rollout/known", test_known);
	g_test_add_func("/rollout/cost", test_cost);
	g_test_add_func("/rollout/killed-often", test_killed_often);
	g_test_add_func("/rollout/balance", test_balance);
	g_test_add_func("/rollout/records", test_records);
	g_test_add_func("/rollout/stream-life", test_stream_life);
	return (g_test_run());
}
