/*
 * Admission to full services: the order of what waits and its bounds, and the
 * load patterns of docs/planned-work.md compared with other rules.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "admission/test_load.h"

#define SEED  4711
#define SEEDS 20
/* A rule may be worse than the best of the others by this, in points. */
#define TOLERANCE 5.0

static const char *const policy_names[] = {
    "least_outstanding", "send_at_once", "admission"};
static const char *const pattern_names[] = {
    "burst", "one_organisation", "slow_engines", "crashes", "cut_off"};
static const double ratios[] = {0.8, 1.5, 2.5};

static void
result_add(struct load_result *sum, const struct load_result *result)
{
	for (unsigned k = 0; k < LOAD_KINDS; k++) {
		for (unsigned o = 0; o < LOAD_ORGANISATIONS; o++) {
			sum->offered[k][o] += result->offered[k][o];
			sum->in_time[k][o] += result->in_time[k][o];
		}
	}
	sum->work_offered += result->work_offered;
	sum->work_in_time += result->work_in_time;
	sum->refused += result->refused;
	sum->waited += result->waited;
}

/* Percentage of a kind's requests that were served in time. */
static double
kind_percent(const struct load_result *result, unsigned kind)
{
	unsigned offered = 0, in_time = 0;

	for (unsigned o = 0; o < LOAD_ORGANISATIONS; o++) {
		offered += result->offered[kind][o];
		in_time += result->in_time[kind][o];
	}
	return (offered > 0 ? 100.0 * in_time / offered : 100.0);
}

/* The same of an organisation's programs. */
static double
organisation_percent(const struct load_result *result, unsigned organisation)
{
	unsigned offered = 0, in_time = 0;

	for (unsigned k = 0; k < LOAD_ROUTINE; k++) {
		offered += result->offered[k][organisation];
		in_time += result->in_time[k][organisation];
	}
	return (offered > 0 ? 100.0 * in_time / offered : 100.0);
}

static double
work_percent(const struct load_result *result)
{
	return (100.0 * result->work_in_time / result->work_offered);
}

/* Guards against a part of the load that pays for the rest. */
static void
fairness_check(const struct load_result *results)
{
	const struct load_result *own = &results[LOAD_ADMISSION];

	for (unsigned p = 0; p < LOAD_ADMISSION; p++) {
		const struct load_result *other = &results[p];

		for (unsigned k = 0; k < LOAD_KINDS; k++)
			g_assert_cmpfloat(kind_percent(own, k), >=,
			    kind_percent(other, k) - TOLERANCE);
		for (unsigned o = 0; o < LOAD_ORGANISATIONS; o++)
			g_assert_cmpfloat(organisation_percent(own, o), >=,
			    organisation_percent(other, o) - TOLERANCE);
	}
}

/* Guards against less work in time than under another rule. */
static void
work_check(const struct load_result *results, double ratio)
{
	double tolerance = ratio > 1.0 ? 0 : TOLERANCE;

	for (unsigned p = 0; p < LOAD_ADMISSION; p++)
		g_assert_cmpfloat(work_percent(&results[LOAD_ADMISSION]), >=,
		    work_percent(&results[p]) - tolerance);
}

static json_t *
row_print(unsigned pattern, double ratio, unsigned policy,
    const struct load_result *result)
{
	double least = 100;

	for (unsigned o = 0; o < LOAD_ORGANISATIONS; o++)
		least = MIN(least, organisation_percent(result, o));
	printf("# figure: %-16s %.1f %-17s work=%5.1f small=%5.1f large=%5.1f "
	       "routine=%5.1f least_organisation=%5.1f refused=%u waited=%u\n",
	    pattern_names[pattern], ratio, policy_names[policy],
	    work_percent(result), kind_percent(result, LOAD_SMALL),
	    kind_percent(result, LOAD_LARGE),
	    kind_percent(result, LOAD_ROUTINE), least, result->refused / SEEDS,
	    result->waited / SEEDS);
	return (json_pack("{s:s,s:f,s:s,s:f,s:f,s:f,s:f,s:f}", "pattern",
	    pattern_names[pattern], "ratio", ratio, "rule",
	    policy_names[policy], "work_percent", work_percent(result),
	    "small_percent", kind_percent(result, LOAD_SMALL), "large_percent",
	    kind_percent(result, LOAD_LARGE), "routine_percent",
	    kind_percent(result, LOAD_ROUTINE), "least_organisation_percent",
	    least));
}

static void
test_baselines(void)
{
	const char *path = g_getenv("ADMISSION_JSON");
	json_t *rows = json_array();

	printf("# seed: %d, %d seeds\n", SEED, SEEDS);
	for (unsigned pattern = 0; pattern < LOAD_PATTERNS; pattern++) {
		for (unsigned r = 0; r < G_N_ELEMENTS(ratios); r++) {
			struct load_result sums[LOAD_POLICIES] = {0};

			for (unsigned p = 0; p < LOAD_POLICIES; p++) {
				for (unsigned s = 0; s < SEEDS; s++) {
					struct load_result result = load_run(p,
					    pattern, ratios[r], SEED + s * 100);

					result_add(&sums[p], &result);
				}
				(void)json_array_append_new(rows,
				    row_print(pattern, ratios[r], p, &sums[p]));
			}
			fairness_check(sums);
			work_check(sums, ratios[r]);
		}
	}
	if (path != NULL)
		g_assert_cmpint(
		    json_dump_file(rows, path, JSON_INDENT(1)), ==, 0);
	json_decref(rows);
}

#define ORDINARY_SEEDS 10

/*
 * Guards against requests that wait or are refused while half of the places
 * are taken: nothing may change there.
 */
static void
test_ordinary_load(void)
{
	for (unsigned s = 0; s < ORDINARY_SEEDS; s++) {
		struct load_result own =
		    load_run(LOAD_ADMISSION, LOAD_BURST, LOAD_USUAL, SEED + s);
		struct load_result direct =
		    load_run(LOAD_DIRECT, LOAD_BURST, LOAD_USUAL, SEED + s);

		g_assert_cmpuint(own.waited, ==, 0);
		g_assert_cmpuint(own.refused, ==, 0);
		g_assert_cmpfloat(own.work_in_time, ==, direct.work_in_time);
	}
}

/* A service whose upstreams are full, of which this instance has its part. */
static const struct admission_state full = {100, 320, 32, 10};
static const struct admission_state with_room = {100, 100, 10, 10};

static struct admission_request
request_make(enum admission_kind kind, uint32_t organisation, clk_ms deadline)
{
	return ((struct admission_request){.service = "s",
	    .kind = kind,
	    .organisation = organisation,
	    .deadline = 10000,
	    .program_deadline = kind == ADMISSION_PLAIN ? 0 : deadline,
	    .expected = 100,
	    .bytes = 1000});
}

static void
wait_add(struct admission *admission, struct admission_ticket *ticket,
    const struct admission_request *request, clk_ms now)
{
	g_assert_cmpint(admission_decide(admission, &full, request, now).answer,
	    ==, ADMISSION_WAIT);
	g_assert_null(admission_wait(admission, ticket, request, now));
}

/* Takes the next request; there has to be one. */
static struct admission_ticket *
take(struct admission *admission, clk_ms now)
{
	/* None of this instance's requests run. */
	const struct admission_state idle = {100, 0, 0, 10};
	struct admission_ticket *ticket =
	    admission_next(admission, &idle, "s", now);

	g_assert_nonnull(ticket);
	return (ticket);
}

/*
 * Guards against another order than: turns of programs that can still be on
 * time, the earliest deadline first; late ones; new programs.
 */
static void
test_order_turns(void)
{
	struct admission *admission = admission_open(SEED);
	struct admission_ticket tickets[4] = {0};
	const struct admission_request requests[] = {
	    request_make(ADMISSION_NEW_PROGRAM, 1, 5000),
	    request_make(ADMISSION_TURN, 2, 1050), /* late */
	    request_make(ADMISSION_TURN, 3, 1700),
	    request_make(ADMISSION_TURN, 4, 1300),
	};

	for (unsigned i = 0; i < G_N_ELEMENTS(tickets); i++)
		wait_add(admission, &tickets[i], &requests[i], 1000);
	for (unsigned i = G_N_ELEMENTS(tickets); i > 0; i--)
		g_assert_true(take(admission, 1000) == &tickets[i - 1]);
	g_assert_cmpuint(admission_waiting(admission), ==, 0);
	g_assert_cmpuint(admission_bytes(admission), ==, 0);
	admission_close(admission);
}

/* Guards against routine plain calls that go before urgent ones. */
static void
test_order_plain(void)
{
	struct admission *admission = admission_open(SEED);
	struct admission_ticket tickets[3] = {0};
	struct admission_request request = request_make(ADMISSION_PLAIN, 1, 0);

	for (unsigned i = 0; i < G_N_ELEMENTS(tickets); i++) {
		request.priority = 2 - (int)i;
		wait_add(admission, &tickets[i], &request, 1000);
	}
	for (unsigned i = G_N_ELEMENTS(tickets); i > 0; i--)
		g_assert_true(take(admission, 1000) == &tickets[i - 1]);
	/* A routine call that has waited goes before a new urgent one. */
	request.priority = 2;
	wait_add(admission, &tickets[0], &request, 1000);
	request.priority = 0;
	wait_add(admission, &tickets[1], &request, 1500);
	g_assert_true(take(admission, 1500) == &tickets[0]);
	admission_cancel(admission, &tickets[1]);
	admission_cancel(admission, &tickets[1]);
	g_assert_cmpuint(admission_waiting(admission), ==, 0);
	admission_close(admission);
}

/* Guards against an organisation that starves because another sends more. */
static void
test_order_organisations(void)
{
	struct admission *admission = admission_open(SEED);
	struct admission_ticket tickets[5] = {0};
	struct admission_request busy = request_make(ADMISSION_TURN, 1, 2000);
	struct admission_request other = request_make(ADMISSION_TURN, 2, 2010);

	for (unsigned i = 0; i < 20; i++)
		admission_sent(admission, &busy, 1000);
	for (unsigned i = 0; i < 4; i++)
		wait_add(admission, &tickets[i], &busy, 1000);
	wait_add(admission, &tickets[4], &other, 1000);
	g_assert_true(take(admission, 1000) == &tickets[4]);
	/* Among its own, in order of arrival. */
	for (unsigned i = 0; i < 4; i++)
		g_assert_true(take(admission, 1000) == &tickets[i]);
	admission_close(admission);
}

/* Guards against a queue without bounds in number, bytes or time. */
static void
test_bounds(void)
{
	struct admission *admission = admission_open(SEED);
	struct admission_request request =
	    request_make(ADMISSION_TURN, 1, 9000);
	struct admission_request late = request_make(ADMISSION_TURN, 1, 1000);
	struct admission_ticket *tickets = g_new0(struct admission_ticket, 600);
	unsigned n = 0;

	wait_add(admission, &tickets[n++], &late, 1000);
	while (n < 512)
		wait_add(admission, &tickets[n++], &request, 1000);
	/* The one that would go last makes room. */
	g_assert_true(admission_wait(admission, &tickets[n++], &request,
			  1000) == &tickets[0]);
	g_assert_cmpuint(admission_waiting(admission), ==, 512);
	request.bytes = (size_t)8 << 20;
	g_assert_true(admission_wait(admission, &tickets[n], &request, 1000) ==
	    &tickets[n]);
	g_assert_null(admission_expired(admission, 1999));
	for (n = 0; admission_expired(admission, 2000) != NULL; n++)
		;
	g_assert_cmpuint(n, ==, 512);
	g_assert_cmpuint(admission_bytes(admission), ==, 0);
	g_free(tickets);
	admission_close(admission);
}

/*
 * Guards against instances that send all that they hold when they learn that
 * some places are free, and against one whose part is too small to begin.
 */
static void
test_part(void)
{
	struct admission *admission = admission_open(SEED);
	struct admission_ticket tickets[40] = {0};
	struct admission_state state = with_room;
	struct admission_request request =
	    request_make(ADMISSION_TURN, 1, 9000);
	unsigned sent = 0;

	for (clk_ms now = 0; now <= 1300; now += 50)
		(void)admission_decide(admission, &with_room, &request, now);
	for (unsigned i = 0; i < G_N_ELEMENTS(tickets); i++)
		g_assert_null(
		    admission_wait(admission, &tickets[i], &request, 1300));
	while (admission_next(admission, &state, "s", 1300) != NULL) {
		state.own++;
		state.running++;
		sent++;
	}
	/* A tenth of the places, and of the queue at the upstreams. */
	g_assert_cmpuint(sent, >=, 2);
	g_assert_cmpuint(sent, <=, 4);
	/* One that has none may send one, if it has waited. */
	state = (struct admission_state){100, 200, 0, 1000};
	g_assert_nonnull(admission_next(admission, &state, "s", 1600));
	/* Without an upstream nothing waits: the next step refuses it. */
	state = (struct admission_state){0, 0, 0, 10};
	while (admission_next(admission, &state, "s", 1600) != NULL)
		;
	g_assert_cmpuint(admission_waiting(admission), ==, 0);
	admission_close(admission);
}

/*
 * Guards against new programs that take the places of programs under way, that
 * are kept until they can't be on time, and that all return at once.
 */
static void
test_new_programs(void)
{
	struct admission *admission = admission_open(SEED);
	struct admission_request request =
	    request_make(ADMISSION_NEW_PROGRAM, 1, 3000);
	struct admission_request turn = request_make(ADMISSION_TURN, 1, 3000);
	const struct admission_state nearly_full = {100, 110, 11, 10};
	struct admission_ticket ticket = {0};
	struct admission_verdict first, second;

	g_assert_cmpint(
	    admission_decide(admission, &nearly_full, &turn, 1000).answer, ==,
	    ADMISSION_SEND);
	wait_add(admission, &ticket, &request, 1000);
	g_assert_null(admission_expired(admission, 1099));
	g_assert_true(admission_expired(admission, 1100) == &ticket);
	/* Requests end, 10 in 100 ms: 20 that wait are too many. */
	for (unsigned i = 0; i < 100; i++)
		admission_ended(admission, "s", 1000 + i * 10);
	for (unsigned i = 0; i < 20; i++)
		g_assert_null(admission_wait(admission,
		    g_new0(struct admission_ticket, 1), &turn, 2000));
	first = admission_decide(admission, &full, &request, 2000);
	second = admission_decide(admission, &full, &request, 2000);
	g_assert_cmpint(first.answer, ==, ADMISSION_REFUSE);
	g_assert_cmpint(first.reason, ==, ADMISSION_NO_ROOM);
	g_assert_cmpint(first.retry_after, >=, 50);
	g_assert_cmpint(first.retry_after, !=, second.retry_after);
	/* A turn that would not be served in its time is refused at once. */
	turn.deadline = 2150;
	g_assert_cmpint(admission_decide(admission, &full, &turn, 2000).reason,
	    ==, ADMISSION_NO_TIME);
	for (struct admission_ticket *t;
	     (t = admission_expired(admission, 9000)) != NULL;)
		g_free(t);
	admission_close(admission);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/order-turns", test_order_turns);
	g_test_add_func("/admission/order-plain", test_order_plain);
	g_test_add_func(
	    "/admission/order-organisations", test_order_organisations);
	g_test_add_func("/admission/bounds", test_bounds);
	g_test_add_func("/admission/part", test_part);
	g_test_add_func("/admission/new-programs", test_new_programs);
	g_test_add_func("/admission/ordinary-load", test_ordinary_load);
	g_test_add_func("/admission/baselines", test_baselines);
	return (g_test_run());
}
