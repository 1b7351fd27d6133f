/*
 * What calls of the store say about it, and the order and pace of the requests
 * that wait for it.
 */
#include <glib.h>
#include <string.h>

#include "outage/hold.h"
#include "outage/outage.h"

static const struct store_partition one = {STORE_TURNS, 1};
static const struct store_partition two = {STORE_TURNS, 2};
static const struct store_partition three = {STORE_TURNS, 3};
static const struct store_partition ledger = {STORE_BUDGETS, 1};

/* A call with this outcome. */
static void
call(struct outage *outage, const struct store_partition *partition,
    enum store_status status, clk_ms from, clk_ms until)
{
	outage_call_end(
	    outage, outage_call_begin(outage, partition, from), status, until);
}

/*
 * Guards against requests that are delayed while the store works: answers that
 * take 200 ms, one lost and one refused call among others that are answered.
 */
static void
test_healthy(void)
{
	struct outage *outage = outage_open(0);
	struct outage_call *lost;

	for (clk_ms now = 0; now < 5000; now += 100) {
		lost = outage_call_begin(outage, &two, now);
		g_assert_cmpint(outage_verdict(outage, &one, now + 200), ==,
		    OUTAGE_ANSWERS);
		outage_call_end(outage, lost, STORE_OK, now + 200);
	}
	lost = outage_call_begin(outage, &two, 6000);
	for (clk_ms now = 6010; now < 6400; now += 10) {
		call(outage, &three, STORE_OK, now - 5, now);
		g_assert_cmpint(
		    outage_verdict(outage, &one, now), ==, OUTAGE_ANSWERS);
		/* Of its own partition it is not known. */
		g_assert_cmpint(outage_verdict(outage, &two, now), ==,
		    now - 6000 < OUTAGE_OVERDUE_MS ? OUTAGE_ANSWERS
						   : OUTAGE_UNKNOWN);
	}
	outage_call_end(outage, lost, STORE_UNKNOWN, 6400);
	call(outage, &three, STORE_OK, 6395, 6400);
	g_assert_cmpint(outage_verdict(outage, &one, 6400), ==, OUTAGE_ANSWERS);
	call(outage, &two, STORE_CONFLICT, 6400, 6405);
	g_assert_cmpint(outage_verdict(outage, &two, 6405), ==, OUTAGE_ANSWERS);
	outage_close(outage);
}

/*
 * Guards against an outage that is noticed only when calls time out, and one
 * that is not noticed because no call is made: the readers fall silent too.
 */
static void
test_silent(void)
{
	struct outage *outage = outage_open(0);
	struct outage_call *first, *second;

	outage_reader_report(outage, true, 1000);
	g_assert_cmpint(outage_verdict(outage, &one, 1700), ==, OUTAGE_ANSWERS);
	g_assert_cmpint(outage_verdict(outage, &one, 1900), ==, OUTAGE_UNKNOWN);
	outage_reader_report(outage, true, 2000);
	first = outage_call_begin(outage, &one, 2100);
	second = outage_call_begin(outage, &ledger, 2150);
	g_assert_cmpint(
	    outage_verdict(outage, &three, 2340), ==, OUTAGE_ANSWERS);
	g_assert_cmpint(
	    outage_verdict(outage, &three, 2360), ==, OUTAGE_UNKNOWN);
	g_assert_cmpint(outage_verdict(outage, &three, 2400), ==, OUTAGE_FAILS);
	g_assert_cmpint(outage_store_verdict(outage, 2400), ==, OUTAGE_FAILS);
	outage_call_end(outage, first, STORE_UNKNOWN, 2500);
	outage_call_end(outage, second, STORE_UNKNOWN, 2550);
	outage_reader_report(outage, false, 2900);
	g_assert_cmpint(outage_verdict(outage, &three, 2900), ==, OUTAGE_FAILS);
	/* It answers again, and then doesn't. */
	outage_reader_report(outage, true, 3000);
	g_assert_cmpint(
	    outage_verdict(outage, &three, 3000), ==, OUTAGE_ANSWERS);
	g_assert_cmpint(outage_verdict(outage, &one, 3000), ==, OUTAGE_UNKNOWN);
	call(outage, &one, STORE_OK, 3000, 3005);
	g_assert_cmpint(outage_verdict(outage, &one, 3005), ==, OUTAGE_ANSWERS);
	call(outage, &one, STORE_REFUSED, 3100, 3101);
	call(outage, &two, STORE_REFUSED, 3100, 3101);
	g_assert_cmpint(outage_verdict(outage, &three, 3101), ==, OUTAGE_FAILS);
	outage_close(outage);
}

/*
 * Guards against one partition that stops the others, and against a topic of
 * which each partition has to fail by itself: a space that refuses two of its
 * partitions and answers none fails, the other spaces don't.
 */
static void
test_partitions(void)
{
	struct outage *outage = outage_open(0);

	for (clk_ms now = 0; now < 3000; now += 100) {
		call(outage, &one, STORE_REFUSED, now, now);
		call(outage, &ledger, STORE_OK, now, now + 10);
		call(outage, &two, STORE_OK, now, now + 10);
		/* Also in the moments in which no other call was answered. */
		call(outage, &one, STORE_REFUSED, now + 20, now + 20);
		g_assert_cmpint(
		    outage_verdict(outage, &one, now + 20), ==, OUTAGE_FAILS);
		g_assert_cmpint(outage_verdict(outage, &three, now + 20), ==,
		    OUTAGE_ANSWERS);
	}
	call(outage, &one, STORE_OK, 3000, 3001);
	g_assert_cmpint(outage_verdict(outage, &one, 3001), ==, OUTAGE_ANSWERS);
	call(outage, &one, STORE_REFUSED, 4000, 4001);
	call(outage, &two, STORE_REFUSED, 4000, 4001);
	call(outage, &ledger, STORE_OK, 4000, 4002);
	g_assert_cmpint(outage_verdict(outage, &three, 4002), ==, OUTAGE_FAILS);
	g_assert_cmpint(
	    outage_verdict(outage, &ledger, 4002), ==, OUTAGE_ANSWERS);
	/* A failure that nobody has seen again for long says nothing. */
	outage_reader_report(outage, true, 20000);
	g_assert_cmpint(
	    outage_verdict(outage, &one, 20000), ==, OUTAGE_ANSWERS);
	outage_close(outage);
}

static bool
is_true(void *arg)
{
	(void)arg;
	return (true);
}

static bool
is_not_blocked(void *arg)
{
	return (strcmp(arg, "blocked") != 0);
}

static void
add(struct hold *hold, const char *name, clk_ms program_deadline)
{
	const struct hold_request request = {.route = "r",
	    .deadline = 10000,
	    .timeout = 3000,
	    .program_deadline = program_deadline,
	    .bytes = 10,
	    .arg = (void *)name};

	g_assert_nonnull(hold_add(hold, &request, 0));
}

static void
expect_next(
    struct hold *hold, hold_is_ready *ready, clk_ms now, const char *name)
{
	struct hold_entry *entry = hold_next(hold, ready, now);

	g_assert_nonnull(entry);
	g_assert_cmpstr(hold_arg(entry), ==, name);
	hold_remove(hold, entry);
}

/*
 * Guards against programs that end late because others were sent first that
 * are late anyway or have more time, and a request that blocks the others.
 */
static void
test_order(void)
{
	struct hold *hold = hold_open(10, 1000);

	add(hold, "late", 1100);
	add(hold, "blocked", 1900);
	add(hold, "later", 9000);
	add(hold, "soon", 2000);
	add(hold, "none", 0);
	/* A turn takes 600 ms as long as nothing is known. */
	expect_next(hold, is_not_blocked, 1000, "soon");
	expect_next(hold, is_not_blocked, 1000, "later");
	expect_next(hold, is_not_blocked, 1000, "none");
	expect_next(hold, is_not_blocked, 1000, "late");
	g_assert_null(hold_next(hold, is_not_blocked, 1000));
	expect_next(hold, is_true, 1000, "blocked");
	hold_close(hold);
}

/* Guards against an instance that fills its memory with what waits. */
static void
test_bounds(void)
{
	struct hold *hold = hold_open(3, 1000);
	struct hold_request request = {
	    .route = "r", .deadline = 10000, .timeout = 3000, .bytes = 400};
	struct hold_entry *first = hold_add(hold, &request, 0);

	g_assert_nonnull(first);
	g_assert_nonnull(hold_add(hold, &request, 0));
	g_assert_null(hold_add(hold, &request, 0));
	request.bytes = SIZE_MAX;
	g_assert_null(hold_add(hold, &request, 0));
	request.bytes = 0;
	g_assert_nonnull(hold_add(hold, &request, 0));
	g_assert_null(hold_add(hold, &request, 0));
	hold_remove(hold, first);
	g_assert_cmpuint(hold_bytes(hold), ==, 400);
	g_assert_nonnull(hold_add(hold, &request, 0));
	hold_close(hold);
}

/*
 * Guards against requests that wait until they can't end in time, or are given
 * up although they could: the time is that which the route takes.
 */
static void
test_latest(void)
{
	struct hold *hold = hold_open(10, 1000);
	const struct hold_request request = {
	    .route = "r", .deadline = 3000, .timeout = 3000};
	const struct hold_request small = {
	    .route = "s", .deadline = 400, .timeout = 400};

	g_assert_false(hold_is_too_late(hold, &request, 2340));
	g_assert_true(hold_is_too_late(hold, &request, 2360));
	/* At first half of the timeout. */
	g_assert_false(hold_is_too_late(hold, &small, 100));
	g_assert_true(hold_is_too_late(hold, &small, 160));
	for (int i = 0; i < 100; i++)
		hold_duration_record(hold, "r", 300);
	g_assert_false(hold_is_too_late(hold, &request, 2600));
	g_assert_nonnull(hold_add(hold, &request, 1000));
	g_assert_null(hold_expired(hold, 2600));
	g_assert_nonnull(hold_expired(hold, 2700));
	for (int i = 0; i < 100; i++)
		hold_duration_record(hold, "r", i % 2 == 0 ? 800 : 1200);
	g_assert_false(hold_is_too_late(hold, &request, 1800));
	g_assert_true(hold_is_too_late(hold, &request, 2100));
	hold_close(hold);
}

/*
 * Guards against a stream that waits until its caller abandons it for want of
 * a first event, although the attempt would have more time.
 */
static void
test_first_event(void)
{
	struct hold *hold = hold_open(4, 1000);
	const struct hold_request request = {.route = "r",
	    .deadline = 3000,
	    .timeout = 3000,
	    .first_event_by = 2000};

	hold_duration_record(hold, "r", 300);
	g_assert_false(hold_is_too_late(hold, &request, 1500));
	g_assert_true(hold_is_too_late(hold, &request, 1800));
	hold_close(hold);
}

/*
 * Guards against all instances that send at once what waits when the store
 * returns, and against a delay of requests that waited for a moment only.
 */
static void
test_pace(void)
{
	static const unsigned counts[] = {1, 7, 40, 200};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct hold *hold = hold_open(1000, 1000);
		const struct hold_request request = {
		    .route = "r", .deadline = 10000, .timeout = 3000};
		double total = 0;

		for (unsigned n = 0; n < counts[i]; n++)
			g_assert_nonnull(hold_add(hold, &request, 0));
		g_assert_cmpint(hold_release_begin(hold, 1.0, 100), ==, 0);
		g_assert_cmpint(hold_pace(hold, 1.0), ==, 0);
		g_assert_cmpint(hold_release_begin(hold, 1.0, 3000), <=, 100);
		for (unsigned n = 0; n < counts[i]; n++)
			total += (double)hold_pace(hold, 0.5);
		g_assert_cmpfloat(total, <=, 500);
		g_assert_cmpfloat(total, >=, MIN(counts[i] * 50, 399));
		hold_close(hold);
	}
}

/* ---- Load: turns that arrive while the store is unresponsive ---- */

#define SEEDS	  20
#define STEP_MS	  5
#define INSTANCES 61
/*
 * Turns of all instances in a second, and places of engines for them: two
 * thirds are in use.
 */
#define TURNS_PER_S 240
#define PLACES	    240
#define OUTAGE_FROM 3000
#define DAY_MS	    13000
#define TIMEOUT_MS  3000
/* Of a turn at an engine. */
#define DURATION_MIN  300
#define DURATION_MAX  1000
#define DURATION_MEAN ((DURATION_MIN + DURATION_MAX) / 2)
/* As in edge_history.c: timeout of a call, backoff, and time for the record. */
#define CALL_TIMEOUT_MS 400
#define BACKOFF_MIN_MS	40
#define BACKOFF_MAX_MS	320
#define RECORD_MS	1800
#define ANSWER_MS	10
#define READER_MS	500
#define PROBE_MS	200

enum sim_state {
	SIM_NEW,
	SIM_HELD,
	SIM_QUEUED,
	SIM_RUNS,
	SIM_RECORDS,
	SIM_OVER
};

struct sim_turn {
	unsigned instance;
	struct store_partition partition;
	clk_ms arrived;
	clk_ms duration;
	enum sim_state state;
	clk_ms ended; /* at the engine */
	struct outage_call *call;
	clk_ms called; /* when the call began; 0: none in progress */
	clk_ms retry; /* when the next one begins */
	clk_ms backoff;
	struct hold_entry *entry;
};

struct sim_instance {
	struct outage *outage;
	struct hold *hold;
	clk_ms read; /* last report of the reader */
	clk_ms probed;
	struct outage_call *probe;
	struct store_partition probe_partition;
	clk_ms next_send;
	bool is_releasing;
};

enum sim_rule {
	SIM_AT_ONCE, /* as before: each turn is sent when it arrives */
	SIM_HOLD, /* it waits, and is refused when it could not end in time */
	/*
	 * It waits until its end could be withheld for the rest of its time,
	 * and is then sent in any case: not done, for comparison.
	 */
	SIM_HOLD_SOME,
	SIM_RULES
};

struct sim {
	enum sim_rule rule;
	clk_ms outage_until;
	GRand *rand;
	struct sim_instance instances[INSTANCES];
	GArray *turns;
	GQueue queue; /* struct sim_turn at the engines, in order of arrival */
	unsigned running;
	clk_ms now;
	struct sim_result *result;
};

struct sim_result {
	unsigned turns;
	unsigned served;
	unsigned refused; /* not run */
	unsigned cut; /* ran in vain */
	unsigned peak; /* most turns that waited at the engines */
	double wasted_s; /* of the engines */
};

static bool
sim_is_away(const struct sim *sim, clk_ms when)
{
	return (when >= OUTAGE_FROM && when < sim->outage_until);
}

static void
sim_cut(struct sim *sim, struct sim_turn *turn)
{
	if (turn->call != NULL)
		outage_call_end(sim->instances[turn->instance].outage,
		    turn->call, STORE_UNKNOWN, sim->now);
	turn->call = NULL;
	turn->state = SIM_OVER;
	sim->result->cut++;
	sim->result->wasted_s += (double)turn->duration / 1000.0;
}

static void
sim_send(struct sim *sim, struct sim_turn *turn)
{
	turn->state = SIM_QUEUED;
	g_queue_push_tail(&sim->queue, turn);
	sim->result->peak = MAX(sim->result->peak, sim->queue.length);
}

static bool
sim_is_ready(void *arg)
{
	const struct sim_turn *turn = ((void **)arg)[0];
	const struct sim *sim = ((void **)arg)[1];

	return (outage_verdict(sim->instances[turn->instance].outage,
		    &turn->partition, sim->now) == OUTAGE_ANSWERS);
}

static void
sim_arrive(struct sim *sim, struct sim_turn *turn, void **arg)
{
	struct sim_instance *instance = &sim->instances[turn->instance];
	const struct hold_request request = {.route = "r",
	    .deadline = turn->arrived + TIMEOUT_MS,
	    .timeout = TIMEOUT_MS,
	    .bytes = 100,
	    .arg = arg};

	sim->result->turns++;
	arg[0] = turn;
	arg[1] = sim;
	if (sim->rule == SIM_AT_ONCE || sim_is_ready(arg)) {
		sim_send(sim, turn);
		return;
	}
	turn->entry = hold_add(instance->hold, &request, sim->now);
	g_assert_nonnull(turn->entry);
	turn->state = SIM_HELD;
}

static void
sim_leave(struct sim *sim, struct hold_entry *entry, bool is_sent)
{
	struct sim_turn *turn = ((void **)hold_arg(entry))[0];

	hold_remove(sim->instances[turn->instance].hold, entry);
	turn->entry = NULL;
	if (is_sent) {
		sim_send(sim, turn);
		return;
	}
	turn->state = SIM_OVER;
	sim->result->refused++;
}

/* What edge_outage.c does in a moment. */
static void
sim_instance_step(struct sim *sim, struct sim_instance *instance)
{
	struct hold_entry *entry;
	clk_ms now = sim->now;

	if (now - instance->read >= READER_MS) {
		instance->read = now;
		outage_reader_report(
		    instance->outage, !sim_is_away(sim, now), now);
	}
	if (instance->probe != NULL && now - instance->probed >= ANSWER_MS &&
	    (!sim_is_away(sim, instance->probed) ||
		now - instance->probed >= OUTAGE_OVERDUE_MS)) {
		outage_call_end(instance->outage, instance->probe,
		    sim_is_away(sim, instance->probed) ? STORE_UNKNOWN
						       : STORE_OK,
		    now);
		instance->probe = NULL;
	}
	while ((entry = hold_expired(instance->hold, now)) != NULL)
		sim_leave(sim, entry, sim_is_ready(hold_arg(entry)));
	entry = hold_next(instance->hold, sim_is_ready, now);
	if (entry != NULL && !instance->is_releasing)
		instance->next_send = now +
		    hold_release_begin(
			instance->hold, g_rand_double(sim->rand), now);
	instance->is_releasing = entry != NULL;
	while (entry != NULL && now >= instance->next_send) {
		sim_leave(sim, entry, true);
		instance->next_send +=
		    hold_pace(instance->hold, g_rand_double(sim->rand));
		entry = hold_next(instance->hold, sim_is_ready, now);
	}
	if (hold_count(instance->hold) > 0 && instance->probe == NULL &&
	    !instance->is_releasing && now - instance->probed >= PROBE_MS) {
		entry = hold_next(instance->hold, is_true, now);
		instance->probe_partition =
		    ((struct sim_turn *)((void **)hold_arg(entry))[0])
			->partition;
		instance->probed = now;
		instance->probe = outage_call_begin(
		    instance->outage, &instance->probe_partition, now);
	}
}

static void
sim_turn_step(struct sim *sim, struct sim_turn *turn)
{
	struct sim_instance *instance = &sim->instances[turn->instance];
	clk_ms now = sim->now;

	switch (turn->state) {
	case SIM_RUNS:
		if (now >= turn->ended) {
			sim->running--;
			turn->state = SIM_RECORDS;
			turn->retry = now;
			turn->backoff = BACKOFF_MIN_MS;
			hold_duration_record(
			    instance->hold, "r", turn->duration);
		}
		break;
	case SIM_RECORDS:
		if (now >= turn->arrived + TIMEOUT_MS) {
			sim_cut(sim, turn);
		} else if (turn->call == NULL && now >= turn->retry) {
			turn->call = outage_call_begin(
			    instance->outage, &turn->partition, now);
			turn->called = now;
		} else if (turn->call != NULL &&
		    !sim_is_away(sim, turn->called) &&
		    now - turn->called >= ANSWER_MS) {
			outage_call_end(
			    instance->outage, turn->call, STORE_OK, now);
			turn->call = NULL;
			turn->state = SIM_OVER;
			sim->result->served++;
		} else if (turn->call != NULL &&
		    now - turn->called >= CALL_TIMEOUT_MS) {
			outage_call_end(
			    instance->outage, turn->call, STORE_UNKNOWN, now);
			turn->call = NULL;
			turn->retry = now + turn->backoff;
			turn->backoff = MIN(2 * turn->backoff, BACKOFF_MAX_MS);
			if (now - turn->ended >= RECORD_MS)
				sim_cut(sim, turn);
		}
		break;
	case SIM_HELD:
		if (sim->rule == SIM_HOLD_SOME &&
		    now >=
			turn->arrived + TIMEOUT_MS - RECORD_MS - DURATION_MEAN)
			sim_leave(sim, turn->entry, true);
		break;
	case SIM_NEW:
	case SIM_QUEUED:
	case SIM_OVER:
		break;
	}
}

static void
sim_engines_step(struct sim *sim)
{
	struct sim_turn *turn;

	while (sim->running < PLACES &&
	    (turn = g_queue_pop_head(&sim->queue)) != NULL) {
		if (sim->now >= turn->arrived + TIMEOUT_MS) {
			turn->state = SIM_OVER;
			sim->result->cut++;
			continue;
		}
		turn->state = SIM_RUNS;
		turn->ended = sim->now + turn->duration;
		sim->running++;
	}
}

static int
by_arrival(gconstpointer a, gconstpointer b)
{
	const struct sim_turn *x = a;
	const struct sim_turn *y = b;

	return ((x->arrived > y->arrived) - (x->arrived < y->arrived));
}

/* The same turns for all rules. */
static void
sim_run(
    guint32 seed, clk_ms outage, enum sim_rule rule, struct sim_result *result)
{
	struct sim sim = {.rule = rule,
	    .outage_until = OUTAGE_FROM + outage,
	    .result = result};
	GRand *arrivals = g_rand_new_with_seed(seed);
	unsigned count = TURNS_PER_S * (DAY_MS - 2 * TIMEOUT_MS) / 1000;
	g_autofree void **args = g_new0(void *, 2 * (gsize)count);
	unsigned first = 0, next = 0;

	sim.rand = g_rand_new_with_seed(seed + 1000);
	sim.turns = g_array_new(FALSE, TRUE, sizeof(struct sim_turn));
	for (unsigned i = 0; i < INSTANCES; i++) {
		sim.instances[i].outage = outage_open(0);
		sim.instances[i].hold = hold_open(256, 1 << 20);
		sim.instances[i].read =
		    g_rand_int_range(arrivals, -READER_MS, 0);
	}
	for (unsigned i = 0; i < count; i++) {
		const struct sim_turn turn = {
		    .instance =
			(unsigned)g_rand_int_range(arrivals, 0, INSTANCES),
		    .partition = {STORE_TURNS,
			(uint32_t)g_rand_int_range(
			    arrivals, 0, STORE_SLOT_COUNT)},
		    .arrived =
			g_rand_int_range(arrivals, 0, DAY_MS - 2 * TIMEOUT_MS),
		    .duration = g_rand_int_range(
			arrivals, DURATION_MIN, DURATION_MAX + 1)};

		g_array_append_val(sim.turns, turn);
	}
	g_array_sort(sim.turns, by_arrival);
	for (sim.now = 0; sim.now < DAY_MS; sim.now += STEP_MS) {
		while (next < count &&
		    g_array_index(sim.turns, struct sim_turn, next).arrived <=
			sim.now) {
			sim_arrive(&sim,
			    &g_array_index(sim.turns, struct sim_turn, next),
			    &args[2 * (gsize)next]);
			next++;
		}
		for (unsigned i = 0; rule != SIM_AT_ONCE && i < INSTANCES; i++)
			sim_instance_step(&sim, &sim.instances[i]);
		for (unsigned i = first; i < next; i++)
			sim_turn_step(&sim,
			    &g_array_index(sim.turns, struct sim_turn, i));
		while (first < next &&
		    g_array_index(sim.turns, struct sim_turn, first).state ==
			SIM_OVER)
			first++;
		sim_engines_step(&sim);
	}
	g_assert_cmpuint(
	    result->served + result->refused + result->cut, ==, result->turns);
	for (unsigned i = 0; i < INSTANCES; i++) {
		outage_close(sim.instances[i].outage);
		hold_close(sim.instances[i].hold);
	}
	g_array_free(sim.turns, TRUE);
	g_rand_free(sim.rand);
	g_rand_free(arrivals);
}

/*
 * Guards against a rule that delays turns while the store works, that runs
 * turns in vain at engines, or by which notably fewer end in time than if each
 * is sent at once.  An outage that ends soon costs no turn.
 */
static void
test_load(void)
{
	static const clk_ms outages[] = {0, 600, 1500, 2500, 3000, 4600};
	static const char *const names[] = {"at_once", "hold", "hold_some"};

	for (size_t i = 0; i < G_N_ELEMENTS(outages); i++) {
		struct sim_result results[SIM_RULES] = {0};
		const struct sim_result *before = &results[SIM_AT_ONCE];
		const struct sim_result *after = &results[SIM_HOLD];

		for (int rule = 0; rule < SIM_RULES; rule++) {
			struct sim_result *result = &results[rule];

			for (guint32 seed = 1; seed <= SEEDS; seed++)
				sim_run(seed, outages[i], (enum sim_rule)rule,
				    result);
			g_print("# figure: seeds 1 to %d, outage_ms=%d rule=%s "
				"turns=%u served=%u cut=%u refused=%u "
				"wasted_s=%.0f queue=%u\n",
			    SEEDS, (int)outages[i], names[rule], result->turns,
			    result->served, result->cut, result->refused,
			    result->wasted_s, result->peak);
		}
		if (outages[i] <= 600)
			g_assert_cmpuint(after->served, ==, after->turns);
		if (outages[i] >= 4000)
			g_assert_cmpfloat(
			    after->wasted_s, <, before->wasted_s / 2);
		g_assert_cmpfloat(
		    after->served, >=, 0.95 * (double)before->served);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outage/healthy", test_healthy);
	g_test_add_func("/outage/silent", test_silent);
	g_test_add_func("/outage/partitions", test_partitions);
	g_test_add_func("/outage/order", test_order);
	g_test_add_func("/outage/bounds", test_bounds);
	g_test_add_func("/outage/latest", test_latest);
	g_test_add_func("/outage/first-event", test_first_event);
	g_test_add_func("/outage/pace", test_pace);
	g_test_add_func("/outage/load", test_load);
	return (g_test_run());
}
