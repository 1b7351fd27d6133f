/*
 * Tests of the scheduler: order, fairness, retries, verdicts, requests that
 * crash upstreams, and a randomised run with each policy that checks the
 * invariants that hold for any order of events.
 */
#include <glib.h>
#include <string.h>

#include "sched/sched.h"

struct fixture {
	struct upstream_table *upstreams;
	struct sched *sched;
};

static struct upstream_handle
add_upstream(
    struct upstream_table *upstreams, const char *name, const char *model)
{
	const char *models[] = {model, NULL};
	struct upstream_config config = {
	    .name = name, .datacentre = "d1", .models = models, .speed = 10000};

	return (upstream_set(upstreams, &config));
}

static void
setup(struct fixture *f, const struct sched_policy *policy, unsigned window)
{
	struct upstream_options table_options = {
	    .datacentre = "d1", .window_start = window, .window_max = window};
	struct sched_options options = {.policy = policy};

	f->upstreams = upstream_open(&table_options);
	f->sched = sched_open(f->upstreams, &options);
}

static void
teardown(struct fixture *f)
{
	sched_close(f->sched);
	upstream_close(f->upstreams);
}

static struct sched_call
make_call(const char *organisation, const char *program)
{
	struct sched_call call = {.organisation = organisation,
	    .program = program,
	    .kind = UPSTREAM_MODEL,
	    .model = "m",
	    .urgency = SCHED_CLASS_NORMAL,
	    .prompt_tokens = 1000,
	    .max_tokens = 100};

	return (call);
}

static struct sched_handle
submit(struct fixture *f, const struct sched_call *call, clk_ms now)
{
	struct sched_handle handle = {0};
	struct vd vd = sched_submit(f->sched, call, now, &handle);

	g_assert_true(vd_is_ok(&vd));
	g_assert_cmpuint(handle.generation, >, 0);
	return (handle);
}

static bool
handle_equal(struct sched_handle a, struct sched_handle b)
{
	return (a.index == b.index && a.generation == b.generation);
}

static struct sched_start
start_one(struct fixture *f, clk_ms now)
{
	struct sched_start start;

	g_assert_cmpuint(sched_dispatch(f->sched, now, &start, 1), ==, 1);
	return (start);
}

static enum sched_disposition
finish(struct fixture *f, struct sched_handle call, enum sched_outcome outcome,
    bool repeatable, clk_ms now, struct vd *vd)
{
	struct sched_result result = {.outcome = outcome,
	    .repeatable = repeatable,
	    .reply = {.first_token = 50,
		.token_gap = 10,
		.prompt_tokens = 1000,
		.answer_tokens = 100}};

	return (sched_finish(f->sched, call, &result, now, vd));
}

static void
succeed(struct fixture *f, struct sched_handle call, clk_ms now)
{
	struct vd vd;

	g_assert_cmpint(
	    finish(f, call, SCHED_SUCCEEDED, true, now, &vd), ==, SCHED_DONE);
	g_assert_true(vd_is_ok(&vd));
}

/* Guards against urgent calls that wait behind less urgent ones. */
static void
test_urgent_first(void)
{
	struct fixture f;
	struct sched_call call = make_call("o", "");
	struct sched_handle background, normal, urgent;

	setup(&f, NULL, 3);
	(void)add_upstream(f.upstreams, "a", "m");
	call.urgency = SCHED_CLASS_BACKGROUND;
	background = submit(&f, &call, 0);
	call.urgency = SCHED_CLASS_NORMAL;
	normal = submit(&f, &call, 1);
	call.urgency = SCHED_CLASS_URGENT;
	urgent = submit(&f, &call, 2);
	g_assert_true(handle_equal(start_one(&f, 3).call, urgent));
	g_assert_true(handle_equal(start_one(&f, 3).call, normal));
	g_assert_true(handle_equal(start_one(&f, 3).call, background));
	teardown(&f);
}

/*
 * Guards against starvation by more urgent calls: a waiting call moves up one
 * class at a time and finally becomes overdue.
 */
static void
test_ageing(void)
{
	struct fixture f;
	struct sched_call old = make_call("o", "");
	struct sched_call fresh = make_call("o2", "");
	struct sched_handle first;
	int started = 0;

	setup(&f, NULL, 1);
	(void)add_upstream(f.upstreams, "a", "m");
	old.urgency = SCHED_CLASS_BACKGROUND;
	fresh.urgency = SCHED_CLASS_URGENT;
	first = submit(&f, &old, 0);
	/* A steady load of urgent calls of another organisation. */
	for (clk_ms now = 0; now < 20000; now += 100) {
		struct sched_start start;

		(void)submit(&f, &fresh, now);
		start = start_one(&f, now);
		if (handle_equal(start.call, first)) {
			g_assert_cmpint(now, >=, 4000);
			g_assert_cmpint(now, <=, 10400);
			started = 1;
			break;
		}
		succeed(&f, start.call, now);
	}
	g_assert_cmpint(started, ==, 1);
	teardown(&f);
}

/* Guards against an organisation that gets more service by sending more. */
static void
test_fair_by_weight(void)
{
	struct fixture f;
	struct sched_call a = make_call("flood", "");
	struct sched_call b = make_call("small", "");
	struct sched_call c = make_call("double", "");
	int served[3] = {0};

	setup(&f, NULL, 1);
	(void)add_upstream(f.upstreams, "u", "m");
	c.weight = 2;
	a.arg = &served[0];
	b.arg = &served[1];
	c.arg = &served[2];
	for (int i = 0; i < 400; i++) {
		(void)submit(&f, &a, 0);
		if (i < 100)
			(void)submit(&f, &b, 0);
		if (i < 200)
			(void)submit(&f, &c, 0);
	}
	for (int i = 0; i < 200; i++) {
		struct sched_start start = start_one(&f, 1);

		(*(int *)start.arg)++;
		succeed(&f, start.call, 1);
	}
	g_assert_cmpint(ABS(served[0] - 50), <=, 2);
	g_assert_cmpint(ABS(served[1] - 50), <=, 2);
	g_assert_cmpint(ABS(served[2] - 100), <=, 2);
	teardown(&f);
}

/* Guards against an organisation that accumulates service while idle. */
static void
test_idle_earns_no_credit(void)
{
	struct fixture f;
	struct sched_call a = make_call("busy", "");
	struct sched_call b = make_call("late", "");
	int served[2] = {0};

	setup(&f, NULL, 1);
	(void)add_upstream(f.upstreams, "u", "m");
	a.arg = &served[0];
	b.arg = &served[1];
	for (int i = 0; i < 200; i++) {
		(void)submit(&f, &a, 0);
		if (i < 100)
			succeed(&f, start_one(&f, 0).call, 0);
	}
	for (int i = 0; i < 100; i++)
		(void)submit(&f, &b, 0);
	for (int i = 0; i < 40; i++) {
		struct sched_start start = start_one(&f, 1);

		(*(int *)start.arg)++;
		succeed(&f, start.call, 1);
	}
	g_assert_cmpint(ABS(served[0] - 20), <=, 2);
	teardown(&f);
}

/*
 * Guards against one organisation that gets all starts of services, whose
 * calls have no tokens.
 */
static void
test_fair_without_tokens(void)
{
	const char *names[] = {"orders", NULL};
	struct upstream_config config = {.name = "s",
	    .kind = UPSTREAM_SERVICE,
	    .datacentre = "d1",
	    .models = names};
	struct upstream_reply none = {.first_token = -1, .token_gap = -1};
	struct sched_result result = {
	    .outcome = SCHED_SUCCEEDED, .reply = none};
	struct sched_call call = make_call("a", "");
	struct fixture f;
	int served[2] = {0};

	setup(&f, NULL, 1);
	(void)upstream_set(f.upstreams, &config);
	call.kind = UPSTREAM_SERVICE;
	call.model = "orders";
	call.prompt_tokens = call.max_tokens = 0;
	for (int i = 0; i < 100; i++) {
		call.organisation = "a";
		call.arg = &served[0];
		(void)submit(&f, &call, 0);
		call.organisation = "b";
		call.arg = &served[1];
		(void)submit(&f, &call, 0);
	}
	for (int i = 0; i < 40; i++) {
		struct sched_start start = start_one(&f, 1);
		struct vd vd;

		(*(int *)start.arg)++;
		(void)sched_finish(f.sched, start.call, &result, 1, &vd);
	}
	g_assert_cmpint(ABS(served[0] - served[1]), <=, 2);
	teardown(&f);
}

/* Within an organisation, calls of the oldest program start first. */
static void
test_oldest_program_first(void)
{
	struct fixture f;
	struct sched_call call = make_call("o", "p-young");
	struct sched_handle old;

	setup(&f, NULL, 1);
	(void)add_upstream(f.upstreams, "u", "m");
	call.program_started = 500;
	(void)submit(&f, &call, 1000);
	call.program = "p-old";
	call.program_started = 100;
	old = submit(&f, &call, 1001);
	g_assert_true(handle_equal(start_one(&f, 1002).call, old));
	teardown(&f);
}

/*
 * The upstream that caches a prefix is chosen while its load is within the
 * bound; the policy without a bound starts every call there.
 */
static void
check_locality(const struct sched_policy *policy, unsigned least, unsigned most)
{
	struct fixture f;
	struct sched_call call = make_call("o", "p-1");
	struct upstream_handle holder;
	unsigned at_holder = 0;

	setup(&f, policy, 40);
	holder = add_upstream(f.upstreams, "holder", "m");
	for (int i = 0; i < 9; i++) {
		g_autofree char *name = g_strdup_printf("other%d", i);

		(void)add_upstream(f.upstreams, name, "m");
	}
	upstream_prefix_update(f.upstreams, "p-1", holder, 900);
	for (int i = 0; i < 40; i++) {
		struct sched_start start;

		(void)submit(&f, &call, 0);
		start = start_one(&f, 0);
		if (start.upstream.index != holder.index)
			continue;
		at_holder++;
		g_assert_cmpint(start.cached_tokens, ==, 900);
	}
	g_assert_cmpuint(at_holder, >=, least);
	g_assert_cmpuint(at_holder, <=, most);
	teardown(&f);
}

static void
test_locality_bound(void)
{
	/* 40 calls over 10 upstreams: 1.25 times 4. */
	check_locality(&sched_policy_least_program_first, 4, 5);
	check_locality(&sched_policy_locality_unbounded, 40, 40);
}

/* Guards against locality that prefers a long queue over a cache miss. */
static void
test_locality_busy_holder(void)
{
	struct fixture f;
	struct sched_call call = make_call("o", "p-1");
	struct upstream_handle holder, other;

	setup(&f, NULL, 10);
	holder = add_upstream(f.upstreams, "holder", "m");
	other = add_upstream(f.upstreams, "other", "m");
	/* Other calls of this instance fill the holder's queue. */
	for (int i = 0; i < 3; i++) {
		upstream_call_begin(f.upstreams, holder, 5000);
		upstream_call_begin(f.upstreams, other, 0);
	}
	upstream_prefix_update(f.upstreams, "p-1", holder, 900);
	(void)submit(&f, &call, 0);
	g_assert_cmpuint(start_one(&f, 0).upstream.index, ==, other.index);
	teardown(&f);
}

/*
 * Only a call that did not run, or is repeatable, is retried; a call that may
 * have run is never reported as not run.
 */
static void
test_retries(void)
{
	struct fixture f;
	struct sched_call call = make_call("o", "");
	struct sched_handle handle;
	struct sched_start start;
	struct vd vd;

	setup(&f, NULL, 4);
	(void)add_upstream(f.upstreams, "a", "m");
	(void)add_upstream(f.upstreams, "b", "m");
	handle = submit(&f, &call, 0);
	start = start_one(&f, 0);
	g_assert_cmpint(finish(&f, handle, SCHED_CONNECT_FAILED, false, 0, &vd),
	    ==, SCHED_REQUEUED);
	/* It is retried, at the other upstream. */
	g_assert_cmpuint(
	    start_one(&f, 0).upstream.index, !=, start.upstream.index);
	g_assert_cmpint(
	    finish(&f, handle, SCHED_CRASHED, false, 0, &vd), ==, SCHED_DONE);
	g_assert_cmpint(vd.ran, ==, VD_MAYBE);
	g_assert_cmpint(vd.code, ==, VD_UPSTREAM_FAILED);
	upstream_tick(f.upstreams, 1000);
	handle = submit(&f, &call, 1000);
	(void)start_one(&f, 1000);
	g_assert_cmpint(finish(&f, handle, SCHED_TIMED_OUT, false, 1000, &vd),
	    ==, SCHED_DONE);
	g_assert_cmpint(vd.ran, ==, VD_MAYBE);
	/* A retried call that may have run is never reported as not run. */
	handle = submit(&f, &call, 1000);
	(void)start_one(&f, 1000);
	g_assert_cmpint(finish(&f, handle, SCHED_TIMED_OUT, true, 1000, &vd),
	    ==, SCHED_REQUEUED);
	while (finish(&f, start_one(&f, 1000).call, SCHED_BUSY, false, 1000,
		   &vd) == SCHED_REQUEUED)
		;
	g_assert_cmpint(vd.ran, ==, VD_MAYBE);
	/* The handle of a call that has ended has no effect. */
	g_assert_cmpint(finish(&f, handle, SCHED_SUCCEEDED, true, 1000, &vd),
	    ==, SCHED_DONE);
	g_assert_false(vd_is_ok(&vd));
	g_assert_cmpuint(
	    sched_running_count(f.sched) + sched_waiting_count(f.sched), ==, 0);
	teardown(&f);
}

/* Guards against retries that multiply the load when upstreams fail. */
static void
test_retry_budget(void)
{
	struct fixture f;
	struct sched_call call = make_call("o", "");
	unsigned attempts = 0;
	enum { CALLS = 2000 };

	setup(&f, NULL, 1);
	(void)add_upstream(f.upstreams, "a", "m");
	for (int i = 0; i < CALLS; i++) {
		struct sched_handle handle = submit(&f, &call, i);
		struct vd vd;

		do {
			(void)start_one(&f, i);
			attempts++;
		} while (finish(&f, handle, SCHED_BUSY, false, i, &vd) ==
		    SCHED_REQUEUED);
		g_assert_cmpint(vd.ran, ==, VD_NOT_RUN);
	}
	/* One retry for ten calls, and a budget of up to 10. */
	g_assert_cmpuint(attempts, <=, CALLS + CALLS / 10 + 10);
	g_assert_cmpuint(attempts, >, CALLS + CALLS / 20);
	teardown(&f);
}

/* A request that crashes upstreams is blocked after the second one. */
static void
test_crashing_request(void)
{
	struct fixture f;
	unsigned char bad[SCHED_FINGERPRINT_SIZE] = "bad";
	unsigned char other[SCHED_FINGERPRINT_SIZE] = "other";
	struct sched_call call = make_call("o", "");
	struct sched_handle handle, queued;
	struct sched_crash crashes[4];
	struct sched_dropped ends[4];
	struct sched_start start;
	struct vd vd;

	setup(&f, NULL, 1);
	for (int i = 0; i < 3; i++) {
		g_autofree char *name = g_strdup_printf("u%d", i);

		(void)add_upstream(f.upstreams, name, "m");
	}
	call.fingerprint = bad;
	handle = submit(&f, &call, 0);
	(void)start_one(&f, 0);
	g_assert_cmpint(finish(&f, handle, SCHED_CRASHED, true, 0, &vd), ==,
	    SCHED_REQUEUED);
	(void)start_one(&f, 0);
	/* A copy waits while the first call crashes its second upstream. */
	queued = submit(&f, &call, 0);
	g_assert_cmpint(
	    finish(&f, handle, SCHED_CRASHED, true, 0, &vd), ==, SCHED_DONE);
	g_assert_cmpint(vd.code, ==, VD_REQUEST_CRASHES_UPSTREAM);
	g_assert_cmpint(vd.ran, ==, VD_MAYBE);
	g_assert_cmpuint(sched_dispatch(f.sched, 0, &start, 1), ==, 0);
	g_assert_cmpuint(sched_expire(f.sched, 0, ends, 4), ==, 1);
	g_assert_true(handle_equal(ends[0].call, queued));
	g_assert_cmpint(ends[0].vd.code, ==, VD_REQUEST_CRASHES_UPSTREAM);
	g_assert_cmpint(ends[0].vd.ran, ==, VD_NOT_RUN);
	vd = sched_submit(f.sched, &call, 599999, &handle);
	g_assert_cmpint(vd.code, ==, VD_REQUEST_CRASHES_UPSTREAM);
	/* Other requests are served, and this one after 10 minutes. */
	upstream_tick(f.upstreams, 600000);
	call.fingerprint = other;
	succeed(&f,
	    submit(&f, &call, 600000).generation > 0
		? start_one(&f, 600000).call
		: (struct sched_handle){0},
	    600000);
	g_assert_false(sched_crash_is_blocked(f.sched, bad, 600000));
	g_assert_cmpuint(sched_crash_list(f.sched, 0, crashes, 4), ==, 2);
	g_assert_cmpuint(sched_crash_list(f.sched, 1, crashes, 4), ==, 0);
	teardown(&f);
}

/* A crash at the same upstream that peers report twice counts once. */
static void
test_crashes_of_peers(void)
{
	struct fixture f;
	unsigned char bad[SCHED_FINGERPRINT_SIZE] = "bad";
	struct sched_crash crashes[4];

	setup(&f, NULL, 1);
	sched_crash_add(f.sched, bad, "u1", 0);
	sched_crash_add(f.sched, bad, "u1", 1);
	g_assert_false(sched_crash_is_blocked(f.sched, bad, 1));
	sched_crash_add(f.sched, bad, "u2", 2);
	g_assert_true(sched_crash_is_blocked(f.sched, bad, 2));
	/* Heartbeats that repeat it don't extend the block. */
	sched_crash_add(f.sched, bad, "u2", 500000);
	g_assert_false(sched_crash_is_blocked(f.sched, bad, 600002));
	/* Crashes reported by peers are not listed for the heartbeat. */
	g_assert_cmpuint(sched_crash_list(f.sched, 0, crashes, 4), ==, 0);
	teardown(&f);
}

/*
 * Guards against an unbounded queue, and against a queue that a single
 * organisation fills.
 */
static void
test_queue_bounds(void)
{
	struct fixture f;
	struct sched_call call = make_call("flood", "");
	struct sched_handle handle;
	struct vd vd;
	int accepted = 0;

	setup(&f, NULL, 1);
	(void)add_upstream(f.upstreams, "u", "m");
	for (int i = 0; i < 5000; i++) {
		vd = sched_submit(f.sched, &call, 0, &handle);
		accepted += vd_is_ok(&vd);
	}
	g_assert_cmpint(accepted, ==, 1024);
	g_assert_cmpint(vd.ran, ==, VD_NOT_RUN);
	g_assert_cmpint(vd.code, ==, VD_QUEUE_FULL);
	g_assert_cmpint(vd.retry_after, >, 0);
	for (int i = 0; i < 5000; i++) {
		g_autofree char *name = g_strdup_printf("o%d", i % 100);

		call.organisation = name;
		vd = sched_submit(f.sched, &call, 0, &handle);
		accepted += vd_is_ok(&vd);
	}
	g_assert_cmpint(accepted, ==, 4096);
	call.model = "unknown";
	vd = sched_submit(f.sched, &call, 0, &handle);
	g_assert_cmpint(vd.code, ==, VD_UNKNOWN_MODEL);
	g_assert_cmpint(vd.ran, ==, VD_NOT_RUN);
	teardown(&f);
}

/*
 * Guards against calls that wait beyond their deadline, and against calls that
 * start after they expired or were cancelled.
 */
static void
test_deadline_and_cancel(void)
{
	struct fixture f;
	struct sched_call call = make_call("o", "");
	struct sched_handle late, cancelled, kept;
	struct sched_start start;
	struct sched_dropped ends[4];

	setup(&f, NULL, 4);
	(void)add_upstream(f.upstreams, "u", "m");
	call.deadline = 500;
	late = submit(&f, &call, 0);
	call.deadline = 0;
	cancelled = submit(&f, &call, 0);
	kept = submit(&f, &call, 0);
	g_assert_cmpuint(sched_expire(f.sched, 499, ends, 4), ==, 0);
	g_assert_cmpuint(sched_expire(f.sched, 500, ends, 4), ==, 1);
	g_assert_true(handle_equal(ends[0].call, late));
	g_assert_cmpint(ends[0].vd.ran, ==, VD_NOT_RUN);
	g_assert_true(sched_cancel(f.sched, cancelled));
	g_assert_false(sched_cancel(f.sched, cancelled));
	g_assert_false(sched_cancel(f.sched, late));
	g_assert_true(handle_equal(start_one(&f, 500).call, kept));
	g_assert_false(sched_cancel(f.sched, kept));
	g_assert_cmpuint(sched_dispatch(f.sched, 500, &start, 1), ==, 0);
	teardown(&f);
}

/* ---- randomised run ---- */

#define CALLS_MAX	40000
#define UPSTREAM_COUNT	12
#define UPSTREAM_WINDOW 3
#define QUEUE_SIZE	64
#define OVERDUE_MS	1000
#define CALL_MAX_MS	100
/*
 * The longest possible wait: overdue_ms, then at most QUEUE_SIZE overdue calls
 * ahead of it that get one start in four.  Each model keeps 2 upstreams with a
 * window of at least 1, so there are at least 2 starts per CALL_MAX_MS.
 */
#define WAIT_MAX_MS (OVERDUE_MS + QUEUE_SIZE * 4 * CALL_MAX_MS / 2)

enum call_phase { NEW, QUEUED, STARTED, ENDED };

struct random_call {
	struct sched_handle handle;
	enum call_phase phase;
	bool repeatable;
	bool may_have_run;
	clk_ms submitted;
	clk_ms deadline;
	clk_ms ends; /* if started */
	unsigned upstream; /* if started */
};

struct random_run {
	struct fixture f;
	GRand *rand;
	struct random_call *calls;
	unsigned count;
	GPtrArray *live; /* struct random_call that wait or run */
	unsigned in_flight[UPSTREAM_COUNT];
	bool leaving[UPSTREAM_COUNT];
	clk_ms now;
	clk_ms longest_wait;
};

static void
random_submit(struct random_run *run)
{
	g_autofree char *organisation = NULL;
	g_autofree char *program = NULL;
	struct random_call *state = &run->calls[run->count];
	struct sched_call call;
	struct vd vd;
	/* One organisation sends half of all calls. */
	int o =
	    g_rand_boolean(run->rand) ? 0 : g_rand_int_range(run->rand, 1, 30);

	organisation = g_strdup_printf("o%d", o);
	program =
	    g_strdup_printf("p%d-%d", o, g_rand_int_range(run->rand, 0, 9));
	call = make_call(organisation, program);
	/* The urgent calls alone exceed the capacity. */
	call.urgency = g_rand_int_range(run->rand, 0, 10) < 8
	    ? SCHED_CLASS_URGENT
	    : (enum sched_class)g_rand_int_range(run->rand, 1, 3);
	if (g_rand_int_range(run->rand, 0, 10) == 0)
		call.deadline = run->now + g_rand_int_range(run->rand, 1, 3000);
	call.model = g_rand_boolean(run->rand) ? "m" : "m2";
	call.program_started = run->now - g_rand_int_range(run->rand, 0, 9999);
	call.weight = g_rand_int_range(run->rand, 1, 4);
	call.prompt_tokens = g_rand_int_range(run->rand, 1, 4000);
	call.arg = state;
	vd = sched_submit(run->f.sched, &call, run->now, &state->handle);
	if (!vd_is_ok(&vd)) {
		g_assert_cmpint(vd.code, ==, VD_QUEUE_FULL);
		return;
	}
	state->phase = QUEUED;
	state->submitted = run->now;
	state->deadline = call.deadline;
	state->repeatable = g_rand_boolean(run->rand);
	g_ptr_array_add(run->live, state);
	run->count++;
}

static unsigned
upstream_number(const struct random_run *run, struct upstream_handle handle)
{
	struct upstream_info info;

	g_assert_true(
	    upstream_get_info(run->f.upstreams, handle, run->now, &info));
	return ((unsigned)g_ascii_strtoull(info.name + 1, NULL, 10));
}

static void
random_start(struct random_run *run)
{
	struct sched_start starts[8];
	size_t n;

	do {
		n = sched_dispatch(run->f.sched, run->now, starts, 8);
		for (size_t i = 0; i < n; i++) {
			struct random_call *state = starts[i].arg;
			unsigned u = upstream_number(run, starts[i].upstream);

			/* No call starts twice, or after it has ended. */
			g_assert_cmpint(state->phase, ==, QUEUED);
			g_assert_true(
			    handle_equal(state->handle, starts[i].call));
			/* No retry after a run unless repeatable. */
			g_assert_true(
			    state->repeatable || !state->may_have_run);
			g_assert_false(run->leaving[u]);
			run->in_flight[u]++;
			g_assert_cmpuint(
			    run->in_flight[u], <=, UPSTREAM_WINDOW);
			state->phase = STARTED;
			state->upstream = u;
			state->ends = run->now +
			    g_rand_int_range(run->rand, 20, CALL_MAX_MS);
			run->longest_wait =
			    MAX(run->longest_wait, run->now - state->submitted);
			if (g_rand_int_range(run->rand, 0, 2) == 0)
				sched_report_first_token(
				    run->f.sched, state->handle);
		}
	} while (n == 8);
}

/* Ends a started call with a random outcome. */
static void
random_finish(struct random_run *run, struct random_call *state)
{
	static const enum sched_outcome failures[] = {SCHED_CANCELLED,
	    SCHED_CONNECT_FAILED, SCHED_BUSY, SCHED_CRASHED, SCHED_TIMED_OUT};
	struct sched_result result = {.outcome = SCHED_SUCCEEDED,
	    .repeatable = state->repeatable,
	    .reply = {.first_token = g_rand_int_range(run->rand, 1, 300),
		.token_gap = g_rand_int_range(run->rand, 1, 40),
		.prompt_tokens = g_rand_int_range(run->rand, 1, 4000),
		.answer_tokens = g_rand_int_range(run->rand, 1, 200)}};
	struct vd vd;

	if (g_rand_int_range(run->rand, 0, 50) == 0)
		result.outcome = failures[g_rand_int_range(
		    run->rand, 0, G_N_ELEMENTS(failures))];
	if (result.outcome != SCHED_CONNECT_FAILED &&
	    result.outcome != SCHED_BUSY)
		state->may_have_run = true;
	run->in_flight[state->upstream]--;
	if (sched_finish(run->f.sched, state->handle, &result, run->now, &vd) ==
	    SCHED_REQUEUED) {
		state->phase = QUEUED;
		state->submitted = run->now;
		return;
	}
	/* A call that is reported as not run has not run. */
	if (vd.ran == VD_NOT_RUN)
		g_assert_false(state->may_have_run);
	state->phase = ENDED;
}

static void
random_expire(struct random_run *run)
{
	struct sched_dropped ends[8];
	size_t n;

	while ((n = sched_expire(run->f.sched, run->now, ends, 8)) > 0) {
		for (size_t i = 0; i < n; i++) {
			struct random_call *state = ends[i].arg;

			g_assert_cmpint(state->phase, ==, QUEUED);
			g_assert_cmpint(state->deadline, >, 0);
			g_assert_cmpint(state->deadline, <=, run->now);
			g_assert_cmpint(ends[i].vd.ran, ==,
			    state->may_have_run ? VD_MAYBE : VD_NOT_RUN);
			state->phase = ENDED;
		}
	}
}

static void
random_end_calls(struct random_run *run)
{
	for (guint i = 0; i < run->live->len;) {
		struct random_call *state = g_ptr_array_index(run->live, i);

		if (state->phase == STARTED && state->ends <= run->now)
			random_finish(run, state);
		if (state->phase == QUEUED &&
		    g_rand_int_range(run->rand, 0, 20000) == 0) {
			g_assert_true(
			    sched_cancel(run->f.sched, state->handle));
			state->phase = ENDED;
		}
		if (state->phase == QUEUED)
			g_assert_cmpint(
			    run->now - state->submitted, <=, WAIT_MAX_MS);
		if (state->phase == ENDED)
			(void)g_ptr_array_remove_index_fast(run->live, i);
		else
			i++;
	}
}

static void
random_upstreams(struct random_run *run)
{
	/* The first two of each model are kept, so that calls can start. */
	unsigned u = (unsigned)g_rand_int_range(run->rand, 4, UPSTREAM_COUNT);
	g_autofree char *name = g_strdup_printf("u%u", u);

	if (g_rand_int_range(run->rand, 0, 20) != 0)
		return;
	run->leaving[u] = !run->leaving[u];
	upstream_set_leaving(run->f.upstreams, name, run->leaving[u]);
}

/*
 * Submits random calls for 30 s, faster than they can run, then waits until all
 * have ended.
 */
static void
random_run(const struct sched_policy *policy, guint32 seed)
{
	struct random_run run = {.now = 1000};
	struct upstream_options table_options = {.datacentre = "d1",
	    .window_start = UPSTREAM_WINDOW,
	    .window_max = UPSTREAM_WINDOW};
	struct sched_options options = {.policy = policy,
	    .max_waiting = QUEUE_SIZE,
	    .max_waiting_per_organisation = QUEUE_SIZE * 3 / 4,
	    .age_ms = OVERDUE_MS / 5,
	    .overdue_ms = OVERDUE_MS};

	run.f.upstreams = upstream_open(&table_options);
	run.f.sched = sched_open(run.f.upstreams, &options);
	run.rand = g_rand_new_with_seed(seed);
	run.calls = g_new0(struct random_call, CALLS_MAX);
	run.live = g_ptr_array_new();
	for (unsigned u = 0; u < UPSTREAM_COUNT; u++) {
		g_autofree char *name = g_strdup_printf("u%u", u);

		(void)add_upstream(
		    run.f.upstreams, name, u % 2 == 0 ? "m" : "m2");
	}
	while (run.now < 30 * CLK_SECOND) {
		int burst = g_rand_int_range(run.rand, 0, 24);

		for (int i = 0; i < burst && run.count < CALLS_MAX; i++)
			random_submit(&run);
		random_upstreams(&run);
		random_expire(&run);
		random_start(&run);
		run.now += 20;
		random_end_calls(&run);
		upstream_tick(run.f.upstreams, run.now);
	}
	while (run.live->len > 0) {
		random_expire(&run);
		random_start(&run);
		run.now += 20;
		random_end_calls(&run);
		upstream_tick(run.f.upstreams, run.now);
	}
	g_assert_cmpuint(run.count, >, 1000);
	g_assert_cmpuint(sched_waiting_count(run.f.sched), ==, 0);
	g_assert_cmpuint(sched_running_count(run.f.sched), ==, 0);
	for (unsigned u = 0; u < UPSTREAM_COUNT; u++)
		g_assert_cmpuint(run.in_flight[u], ==, 0);
	g_test_message("%s seed %u: %u calls, longest wait %" G_GINT64_FORMAT
		       " ms",
	    policy->name, seed, run.count, (gint64)run.longest_wait);
	g_ptr_array_free(run.live, TRUE);
	g_free(run.calls);
	g_rand_free(run.rand);
	teardown(&run.f);
}

/* Guards against an order of events that violates an invariant. */
static void
test_random(gconstpointer policy)
{
	for (guint32 seed = 1; seed <= 10; seed++)
		random_run(policy, seed);
}

/* Measures the time of a decision, in us. */
static double
decision_us(int upstreams, int organisations)
{
	enum { DECISIONS = 20000 };
	struct fixture f;
	struct sched_options options = {.max_waiting = 1000000};
	struct upstream_options table_options = {.datacentre = "d1"};
	struct sched_call call = make_call("", "");
	gint64 start;

	f.upstreams = upstream_open(&table_options);
	f.sched = sched_open(f.upstreams, &options);
	for (int i = 0; i < upstreams; i++) {
		g_autofree char *name = g_strdup_printf("u%d", i);
		g_autofree char *model = g_strdup_printf("m%d", i % 13);

		(void)add_upstream(f.upstreams, name, model);
	}
	for (int i = 0; i < organisations; i++) {
		g_autofree char *name = g_strdup_printf("o%d", i);
		g_autofree char *model = g_strdup_printf("m%d", i % 13);

		call.organisation = name;
		call.model = model;
		(void)submit(&f, &call, 0);
	}
	start = g_get_monotonic_time();
	for (int i = 0; i < DECISIONS; i++) {
		g_autofree char *name =
		    g_strdup_printf("o%d", (i * 7919) % organisations);
		g_autofree char *model = g_strdup_printf("m%d", i % 13);
		struct sched_start one;

		call.organisation = name;
		call.model = model;
		(void)submit(&f, &call, 1);
		one = start_one(&f, 1);
		succeed(&f, one.call, 2);
	}
	start = g_get_monotonic_time() - start;
	teardown(&f);
	return ((double)start / DECISIONS);
}

/*
 * Compares the time of a decision at the target size and at a tenth of it.
 * Guards against decisions that visit all upstreams or all organisations, which
 * would take ten times as long.
 */
static void
test_decision_cost(void)
{
	double small = decision_us(1200, 3800);
	double large = decision_us(12000, 38000);

	g_print("# figure sch decision_us upstreams=1200 organisations=3800 "
		"%.2f, upstreams=12000 organisations=38000 %.2f\n",
	    small, large);
	g_assert_cmpfloat(large, <, 5.0 * small);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sch/urgent-first", test_urgent_first);
	g_test_add_func("/sch/ageing", test_ageing);
	g_test_add_func("/sch/fair-by-weight", test_fair_by_weight);
	g_test_add_func("/sch/idle-earns-no-credit", test_idle_earns_no_credit);
	g_test_add_func("/sch/fair-without-tokens", test_fair_without_tokens);
	g_test_add_func("/sch/oldest-program-first", test_oldest_program_first);
	g_test_add_func("/sch/locality-bound", test_locality_bound);
	g_test_add_func("/sch/locality-busy-holder", test_locality_busy_holder);
	g_test_add_func("/sch/retries", test_retries);
	g_test_add_func("/sch/retry-budget", test_retry_budget);
	g_test_add_func("/sch/crashing-request", test_crashing_request);
	g_test_add_func("/sch/crashes-of-peers", test_crashes_of_peers);
	g_test_add_func("/sch/queue-bounds", test_queue_bounds);
	g_test_add_func("/sch/deadline-and-cancel", test_deadline_and_cancel);
	g_test_add_data_func("/sch/random/least-program-first",
	    &sched_policy_least_program_first, test_random);
	g_test_add_data_func("/sch/random/locality-unbounded",
	    &sched_policy_locality_unbounded, test_random);
	g_test_add_data_func("/sch/random/least-outstanding",
	    &sched_policy_least_outstanding, test_random);
	g_test_add_data_func(
	    "/sch/random/round-robin", &sched_policy_round_robin, test_random);
	g_test_add_func("/sch/decision-cost", test_decision_cost);
	return (g_test_run());
}
