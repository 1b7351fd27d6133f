/*
 * A model of instances, engines and plain services under load, in steps of a
 * ms, which drives the real place and admission modules.  Upstreams admit in
 * order of arrival; engines slow down with each request that they run.
 */
#ifndef SAMPHIRESHED_TEST_LOAD_H
#define SAMPHIRESHED_TEST_LOAD_H

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission.h"
#include "place/place.h"

#define LOAD_INSTANCES	   10
#define LOAD_ENGINES	   12
#define LOAD_PLAINS	   4
#define LOAD_UPSTREAMS	   (LOAD_ENGINES + LOAD_PLAINS)
#define LOAD_ORGANISATIONS 8
#define LOAD_SLOTS_MAX	   16
#define LOAD_PLAIN_SLOTS   6
#define LOAD_QUEUE_MAX	   30
#define LOAD_GOSSIP_MS	   200
#define LOAD_TICK_MS	   10
#define LOAD_STEP_GROWTH   0.026
#define LOAD_TURNS_MAX	   5
#define LOAD_TURN_MS	   3000
#define LOAD_PLAIN_MS	   1000
#define LOAD_PLAIN_WORK	   20.0
#define LOAD_START_MS	   1000 /* of the pattern */
#define LOAD_BURST_MS	   5000
#define LOAD_ARRIVALS_MS   8000
#define LOAD_END_MS	   14000
#define LOAD_USUAL	   0.5 /* of the capacity */
#define LOAD_ENGINE_MS	   1.2 /* a token at a usual idle engine */

enum load_policy {
	LOAD_LEAST, /* least outstanding requests, order of arrival */
	LOAD_DIRECT, /* place_choose(), sent at once */
	LOAD_ADMISSION,
	LOAD_POLICIES
};

enum load_pattern {
	LOAD_BURST,
	LOAD_ORGANISATION, /* one at 6 times its usual */
	LOAD_SLOW, /* engines 5 times slower, in turns */
	LOAD_CRASH, /* engines crash and return, in turns */
	LOAD_CUT, /* a third of the engines is out of reach */
	LOAD_PATTERNS
};

/* What requests are counted by: programs by size, plain calls by priority. */
enum load_kind { LOAD_SMALL, LOAD_LARGE, LOAD_ROUTINE, LOAD_KINDS };

struct load_result {
	unsigned offered[LOAD_KINDS][LOAD_ORGANISATIONS];
	unsigned in_time[LOAD_KINDS][LOAD_ORGANISATIONS];
	double work_offered; /* tokens of programs */
	double work_in_time;
	unsigned refused;
	unsigned waited;
};

struct load_job;

/* A program, or a routine plain call. */
struct load_task {
	enum load_kind kind;
	unsigned organisation;
	unsigned turns;
	unsigned turn; /* in progress, or next */
	bool is_call; /* in progress: the plain call between two turns */
	bool is_known; /* not a new program */
	bool is_over;
	uint64_t id;
	double tokens[LOAD_TURNS_MAX];
	clk_ms deadline; /* of the program; 0: a plain call */
	clk_ms request_deadline;
	struct load_job *job;
	struct load_task *next_due;
	struct load_task *next_all;
};

/* A request. */
struct load_job {
	struct load_task *task;
	unsigned instance;
	int upstream; /* -1: it waits for a place */
	double left; /* tokens, or ms of a plain call */
	clk_ms started; /* 0: in the upstream's queue */
	struct place_handle handle;
	struct admission_ticket ticket;
	bool is_left; /* its caller has left */
};

struct load_upstream {
	bool is_engine;
	unsigned slots;
	double token_ms;
	bool is_down;
	unsigned running;
	struct load_job *jobs[LOAD_SLOTS_MAX];
	GQueue queue; /* struct load_job */
	char id[16];
};

struct load {
	enum load_policy policy;
	enum load_pattern pattern;
	double ratio;
	GRand *rand;
	clk_ms now;
	struct load_upstream upstreams[LOAD_UPSTREAMS];
	struct place *places[LOAD_INSTANCES];
	struct admission *admissions[LOAD_INSTANCES];
	unsigned own[LOAD_INSTANCES][LOAD_UPSTREAMS];
	unsigned told[LOAD_INSTANCES][LOAD_UPSTREAMS];
	struct load_task *due[LOAD_END_MS + 1];
	struct load_task *all;
	uint64_t ids;
	double programs_per_ms; /* capacity */
	struct load_result result;
};

static const char *const load_services[] = {"plain", "pool"};

static inline void
load_due(struct load *load, struct load_task *task, clk_ms when)
{
	if (when > LOAD_END_MS)
		return;
	task->next_due = load->due[when];
	load->due[when] = task;
}

/* ---- The end of a task's request ---- */

static inline void
load_task_end(struct load *load, struct load_task *task, bool is_in_time)
{
	if (task->is_over)
		return;
	task->is_over = true;
	if (!is_in_time)
		return;
	load->result.in_time[task->kind][task->organisation]++;
	for (unsigned i = 0; i < task->turns; i++)
		load->result.work_in_time += task->tokens[i];
}

static inline void
load_job_served(struct load *load, struct load_task *task)
{
	clk_ms now = load->now;

	task->job = NULL;
	task->request_deadline = 0;
	if (task->turns == 0) {
		load_task_end(load, task, true);
		return;
	}
	if (task->is_call) {
		task->is_call = false;
		load_due(load, task, now + 1);
		return;
	}
	if (++task->turn == task->turns) {
		load_task_end(load, task, now <= task->deadline);
		return;
	}
	task->is_call = true;
	load_due(load, task, now + 5);
}

/* The caller follows a Retry-After of up to a third of its time. */
static inline void
load_job_refused(struct load *load, struct load_task *task, clk_ms retry_after)
{
	clk_ms left = task->request_deadline - load->now;

	task->job = NULL;
	load->result.refused++;
	if (retry_after * 3 > left)
		load_task_end(load, task, false);
	else
		load_due(load, task, load->now + retry_after);
}

/* ---- Upstreams ---- */

static inline void
load_upstream_fill(struct load *load, struct load_upstream *upstream)
{
	while (upstream->running < upstream->slots &&
	    !g_queue_is_empty(&upstream->queue)) {
		struct load_job *job = g_queue_pop_head(&upstream->queue);

		job->started = load->now;
		upstream->jobs[upstream->running++] = job;
	}
}

static void load_queue_run(struct load *load, unsigned instance);

static inline void
load_job_end(
    struct load *load, struct load_job *job, enum place_outcome outcome)
{
	unsigned instance = job->instance;
	unsigned index = (unsigned)job->upstream;
	const struct load_upstream *upstream = &load->upstreams[index];

	load->own[instance][index]--;
	if (load->policy != LOAD_LEAST)
		place_request_end(
		    load->places[instance], job->handle, outcome, load->now);
	if (outcome == PLACE_SERVED && upstream->is_engine &&
	    load->policy != LOAD_LEAST)
		place_event_gap_record(load->places[instance], job->handle,
		    (double)(load->now - job->started),
		    (unsigned)job->task->tokens[job->task->turn]);
	if (load->policy == LOAD_ADMISSION)
		admission_ended(load->admissions[instance],
		    load_services[upstream->is_engine], load->now);
	if (!job->is_left) {
		job->task->job = NULL;
		if (outcome == PLACE_SERVED)
			load_job_served(load, job->task);
		else
			load_task_end(load, job->task, false);
	}
	g_free(job);
	if (load->policy == LOAD_ADMISSION)
		load_queue_run(load, instance);
}

static inline void
load_upstream_step(struct load *load, struct load_upstream *upstream)
{
	double step = 1.0;

	if (upstream->is_engine)
		step = 1.0 /
		    (upstream->token_ms *
			(1.0 + LOAD_STEP_GROWTH * upstream->running));
	for (unsigned i = 0; i < upstream->running;) {
		struct load_job *job = upstream->jobs[i];

		job->left -= step;
		if (job->left > 0 && !job->is_left) {
			i++;
			continue;
		}
		upstream->jobs[i] = upstream->jobs[--upstream->running];
		load_job_end(
		    load, job, job->is_left ? PLACE_CANCELLED : PLACE_SERVED);
	}
	load_upstream_fill(load, upstream);
}

static inline void
load_upstream_down(struct load *load, unsigned index, bool is_down)
{
	struct load_upstream *upstream = &load->upstreams[index];
	struct load_job *job;

	if (upstream->is_down == is_down)
		return;
	upstream->is_down = is_down;
	while (is_down && upstream->running > 0)
		load_job_end(
		    load, upstream->jobs[--upstream->running], PLACE_FAILED);
	while (is_down && (job = g_queue_pop_head(&upstream->queue)) != NULL)
		load_job_end(load, job, PLACE_FAILED);
}

static inline void
load_entry_put(struct load *load, unsigned index)
{
	const struct load_upstream *upstream = &load->upstreams[index];
	struct place_entry entry = {.id = upstream->id,
	    .service = load_services[upstream->is_engine],
	    .datacentre = "a",
	    .address = {.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(index + 1))},
	    .slots = upstream->slots,
	    .is_ready = true,
	    .started = 1 + load->now};

	for (unsigned i = 0; i < LOAD_INSTANCES; i++)
		(void)place_upstream_update(load->places[i], &entry, load->now);
}

/* ---- Instances ---- */

static inline struct place_request
load_place_request(const struct load_task *task, const struct place_part *part)
{
	bool is_engine = task->turns > 0 && !task->is_call;

	return ((struct place_request){.service = load_services[is_engine],
	    .parts = part,
	    .part_count = is_engine,
	    .output_tokens =
		is_engine ? (unsigned)task->tokens[task->turn] : 0});
}

static inline struct admission_request
load_request(const struct load_task *task, clk_ms now)
{
	bool is_engine = task->turns > 0 && !task->is_call;
	struct admission_request request = {.service = load_services[is_engine],
	    .kind = ADMISSION_PLAIN,
	    .priority = task->turns > 0 ? 0 : 2,
	    .organisation = task->organisation + 1,
	    .program = task->turns > 0 ? task->id : 0,
	    .deadline = task->request_deadline,
	    .program_deadline = task->deadline,
	    .bytes = 10000};

	if (is_engine) {
		request.kind = task->turn == 0 && !task->is_known
		    ? ADMISSION_NEW_PROGRAM
		    : ADMISSION_TURN;
		request.expected = (clk_ms)(0.77 * task->tokens[task->turn]);
	}
	/* A deadline that is over is not stated. */
	if (request.program_deadline <= now)
		request.program_deadline = task->turns > 0 ? now : 0;
	return (request);
}

static inline struct admission_state
load_state(struct load *load, unsigned instance, const struct load_task *task)
{
	const struct place_part part = {1, 2000};
	struct place_request request = load_place_request(task, &part);
	struct place_service_load sum =
	    place_service_load(load->places[instance], &request, load->now);

	return ((struct admission_state){
	    sum.places, sum.running, sum.own, LOAD_INSTANCES});
}

/* The upstream with the least outstanding requests for its slots. */
static inline int
load_least_choose(
    const struct load *load, unsigned instance, const struct load_task *task)
{
	bool is_engine = task->turns > 0 && !task->is_call;
	unsigned start = (unsigned)task->id;
	double best_load = 0;
	int best = -1;

	for (unsigned n = 0; n < LOAD_UPSTREAMS; n++) {
		unsigned k = (start + n) % LOAD_UPSTREAMS;
		const struct load_upstream *upstream = &load->upstreams[k];
		double known = load->own[instance][k];

		if (upstream->is_engine != is_engine || upstream->is_down)
			continue;
		for (unsigned i = 0; i < LOAD_INSTANCES; i++) {
			if (i != instance)
				known += load->told[i][k];
		}
		known /= upstream->slots;
		if (best < 0 || known < best_load) {
			best = (int)k;
			best_load = known;
		}
	}
	return (best);
}

static inline int
load_choose(struct load *load, struct load_job *job)
{
	const struct place_part part = {1, 2000};
	struct place_request request = load_place_request(job->task, &part);
	struct place *place = load->places[job->instance];

	if (load->policy == LOAD_LEAST)
		return (load_least_choose(load, job->instance, job->task));
	if (!place_choose(place, &request, load->now, &job->handle))
		return (-1);
	place_parts_record(
	    place, job->handle, &part, request.part_count, load->now);
	return (atoi(&place_entry_get(place, job->handle)->id[1]));
}

/* Sends a job to an upstream that is chosen now, of four at most. */
static inline void
load_job_send(struct load *load, struct load_job *job)
{
	struct load_task *task = job->task;

	for (unsigned tries = 0; tries < 4; tries++) {
		int index = load_choose(load, job);
		struct load_upstream *upstream;

		if (index < 0)
			break;
		upstream = &load->upstreams[index];
		if (upstream->queue.length < LOAD_QUEUE_MAX) {
			job->upstream = index;
			load->own[job->instance][index]++;
			g_queue_push_tail(&upstream->queue, job);
			load_upstream_fill(load, upstream);
			return;
		}
		if (load->policy != LOAD_LEAST)
			place_request_end(load->places[job->instance],
			    job->handle, PLACE_REJECTED, load->now);
	}
	g_free(job);
	load_job_refused(load, task, 300);
}

static inline void
load_ticket_refuse(struct load *load, struct admission_ticket *ticket)
{
	struct load_job *job = ticket->arg;
	struct load_task *task = job->task;
	clk_ms retry = admission_retry_after(
	    load->admissions[job->instance], &ticket->request, load->now);

	g_free(job);
	load_job_refused(load, task, retry);
}

static void
load_queue_run(struct load *load, unsigned instance)
{
	struct admission *admission = load->admissions[instance];
	struct admission_ticket *ticket;

	if (admission_waiting(admission) == 0)
		return;
	for (unsigned s = 0; s < G_N_ELEMENTS(load_services); s++) {
		const struct admission_ticket *any;

		while ((any = admission_first(admission, load_services[s])) !=
		    NULL) {
			const struct load_job *job = any->arg;
			struct admission_state state =
			    load_state(load, instance, job->task);

			ticket = admission_next(
			    admission, &state, load_services[s], load->now);
			if (ticket == NULL)
				break;
			load_job_send(load, ticket->arg);
		}
	}
}

/* A task's next request arrives at an instance. */
static inline void
load_arrive(struct load *load, struct load_task *task)
{
	bool is_engine = task->turns > 0 && !task->is_call;
	unsigned instance =
	    (unsigned)g_rand_int_range(load->rand, 0, LOAD_INSTANCES);
	struct admission *admission = load->admissions[instance];
	struct load_job *job;
	struct admission_request request;
	struct admission_state state;
	struct admission_verdict verdict;
	struct admission_ticket *displaced;

	if (task->is_over)
		return;
	if (task->request_deadline == 0)
		task->request_deadline =
		    load->now + (is_engine ? LOAD_TURN_MS : LOAD_PLAIN_MS);
	job = g_new0(struct load_job, 1);
	job->task = task;
	job->instance = instance;
	job->upstream = -1;
	job->left = is_engine ? task->tokens[task->turn] : LOAD_PLAIN_WORK;
	task->job = job;
	if (load->policy != LOAD_ADMISSION) {
		load_job_send(load, job);
		return;
	}
	request = load_request(task, load->now);
	state = load_state(load, instance, task);
	verdict = admission_decide(admission, &state, &request, load->now);
	switch (verdict.answer) {
	case ADMISSION_SEND:
		admission_sent(admission, &request, load->now);
		if (is_engine)
			task->is_known = true;
		load_job_send(load, job);
		break;
	case ADMISSION_WAIT:
		load->result.waited++;
		job->ticket.arg = job;
		displaced = admission_wait(
		    admission, &job->ticket, &request, load->now);
		if (displaced != NULL)
			load_ticket_refuse(load, displaced);
		break;
	case ADMISSION_REFUSE:
		g_free(job);
		load_job_refused(load, task, verdict.retry_after);
		break;
	}
}

static inline void
load_gossip(struct load *load, unsigned instance)
{
	/* Also of upstreams that have returned and still run old requests. */
	struct place_load loads[4 * LOAD_UPSTREAMS];
	g_autofree char *name = g_strdup_printf("i%u", instance);
	size_t n;

	memcpy(load->told[instance], load->own[instance],
	    sizeof(load->told[instance]));
	n = place_loads_collect(
	    load->places[instance], loads, G_N_ELEMENTS(loads));
	g_assert_cmpuint(n, <=, G_N_ELEMENTS(loads));
	for (unsigned i = 0; i < LOAD_INSTANCES; i++) {
		if (i != instance)
			place_gossip_merge(
			    load->places[i], name, loads, n, load->now);
	}
}

/* ---- Arrivals ---- */

static inline bool
load_is_in_pattern(const struct load *load)
{
	return (load->now >= LOAD_START_MS &&
	    load->now < LOAD_START_MS + LOAD_BURST_MS);
}

static inline unsigned
load_organisation_draw(struct load *load)
{
	/* One of them sends 6 times its usual, the others theirs. */
	if (load->pattern == LOAD_ORGANISATION && load_is_in_pattern(load) &&
	    g_rand_int_range(load->rand, 0, LOAD_ORGANISATIONS + 5) < 6)
		return (0);
	return ((unsigned)g_rand_int_range(load->rand, 0, LOAD_ORGANISATIONS));
}

static inline struct load_task *
load_task_new(struct load *load, enum load_kind kind)
{
	struct load_task *task = g_new0(struct load_task, 1);

	task->kind = kind;
	task->organisation = load_organisation_draw(load);
	task->id = ++load->ids;
	task->next_all = load->all;
	load->all = task;
	load->result.offered[kind][task->organisation]++;
	return (task);
}

static inline void
load_program_new(struct load *load)
{
	bool is_large = g_rand_int_range(load->rand, 0, 2) == 1;
	struct load_task *task =
	    load_task_new(load, is_large ? LOAD_LARGE : LOAD_SMALL);
	double idle = 0;

	task->turns = (unsigned)(is_large
		? g_rand_int_range(load->rand, 3, LOAD_TURNS_MAX + 1)
		: g_rand_int_range(load->rand, 1, 3));
	for (unsigned i = 0; i < task->turns; i++) {
		task->tokens[i] = g_rand_int_range(load->rand, 100, 400);
		idle += task->tokens[i] * LOAD_ENGINE_MS + 30;
		load->result.work_offered += task->tokens[i];
	}
	task->deadline = load->now +
	    (clk_ms)(idle * g_rand_double_range(load->rand, 1.3, 1.6));
	load_arrive(load, task);
}

static inline unsigned
load_poisson(struct load *load, double mean)
{
	double limit = exp(-mean), product = g_rand_double(load->rand);
	unsigned n = 0;

	while (product > limit) {
		n++;
		product *= g_rand_double(load->rand);
	}
	return (n);
}

static inline void
load_arrivals(struct load *load)
{
	double ratio = load_is_in_pattern(load) ? load->ratio : LOAD_USUAL;
	unsigned n;

	if (load->now >= LOAD_ARRIVALS_MS)
		return;
	n = load_poisson(load, ratio * load->programs_per_ms);
	while (n-- > 0)
		load_program_new(load);
	/* Half of the capacity of plain services is used by these. */
	n = load_poisson(load,
	    ratio * 0.5 * LOAD_PLAINS * LOAD_PLAIN_SLOTS / LOAD_PLAIN_WORK);
	while (n-- > 0)
		load_arrive(load, load_task_new(load, LOAD_ROUTINE));
}

/* What happens to the upstreams. */
static inline void
load_upstreams_change(struct load *load)
{
	clk_ms at = load->now - LOAD_START_MS;
	unsigned period = (unsigned)(at / 1500);

	if (at < 0 || at % 1500 != 0)
		return;
	for (unsigned i = 0; i < LOAD_ENGINES; i++) {
		bool is_hit = at < LOAD_BURST_MS && i % 4 == period % 4;

		if (load->pattern == LOAD_CUT)
			is_hit = at < LOAD_BURST_MS && i % 3 == 0;
		if (load->pattern == LOAD_SLOW)
			load->upstreams[i].token_ms =
			    (0.77 + 0.93 * i / LOAD_ENGINES) *
			    (is_hit ? 5.0 : 1.0);
		if (load->pattern != LOAD_CRASH && load->pattern != LOAD_CUT)
			continue;
		for (unsigned k = 0; k < LOAD_INSTANCES; k++) {
			if (is_hit)
				place_upstream_remove(
				    load->places[k], load->upstreams[i].id);
		}
		load_upstream_down(load, i, is_hit);
		if (!is_hit)
			load_entry_put(load, i);
	}
}

/* Callers leave at the deadlines of their requests. */
static inline void
load_deadlines(struct load *load)
{
	for (struct load_task *task = load->all; task; task = task->next_all) {
		struct load_job *job = task->job;

		if (task->is_over || task->request_deadline == 0 ||
		    load->now < task->request_deadline)
			continue;
		load_task_end(load, task, false);
		task->job = NULL;
		if (job == NULL)
			continue;
		job->is_left = true;
		if (job->upstream < 0) {
			admission_cancel(
			    load->admissions[job->instance], &job->ticket);
			g_free(job);
		} else if (job->started == 0) {
			(void)g_queue_remove(
			    &load->upstreams[job->upstream].queue, job);
			load_job_end(load, job, PLACE_CANCELLED);
		}
	}
}

static inline void
load_open(struct load *load, uint32_t seed)
{
	double turns_per_ms = 0;

	load->rand = g_rand_new_with_seed(seed);
	for (unsigned i = 0; i < LOAD_INSTANCES; i++) {
		load->places[i] = place_open("a");
		place_instances_set(load->places[i], LOAD_INSTANCES);
		load->admissions[i] = admission_open(seed + i);
	}
	for (unsigned i = 0; i < LOAD_UPSTREAMS; i++) {
		struct load_upstream *upstream = &load->upstreams[i];

		upstream->is_engine = i < LOAD_ENGINES;
		upstream->slots =
		    upstream->is_engine ? 8 + 4 * (i % 3) : LOAD_PLAIN_SLOTS;
		upstream->token_ms = 0.77 + 0.93 * i / LOAD_ENGINES;
		(void)g_snprintf(upstream->id, sizeof(upstream->id), "u%u", i);
		load_entry_put(load, i);
		if (upstream->is_engine)
			turns_per_ms += upstream->slots /
			    (250 * upstream->token_ms *
				(1.0 + LOAD_STEP_GROWTH * upstream->slots));
	}
	load->programs_per_ms = turns_per_ms / 2.75;
}

static inline void
load_close(struct load *load)
{
	for (unsigned i = 0; i < LOAD_UPSTREAMS; i++) {
		struct load_upstream *upstream = &load->upstreams[i];

		while (upstream->running > 0)
			g_free(upstream->jobs[--upstream->running]);
		g_queue_clear_full(&upstream->queue, g_free);
	}
	for (struct load_task *task = load->all, *next; task; task = next) {
		next = task->next_all;
		if (task->job != NULL && task->job->upstream < 0) {
			admission_cancel(load->admissions[task->job->instance],
			    &task->job->ticket);
			g_free(task->job);
		}
		g_free(task);
	}
	for (unsigned i = 0; i < LOAD_INSTANCES; i++) {
		admission_close(load->admissions[i]);
		place_close(load->places[i]);
	}
	g_rand_free(load->rand);
}

static inline void
load_step(struct load *load)
{
	struct load_task *task, *next;

	load_upstreams_change(load);
	for (unsigned i = 0; i < LOAD_UPSTREAMS; i++)
		load_upstream_step(load, &load->upstreams[i]);
	for (unsigned i = 0; i < LOAD_INSTANCES; i++) {
		struct admission *admission = load->admissions[i];
		struct admission_ticket *ticket;

		if ((load->now + (clk_ms)i * 20) % LOAD_GOSSIP_MS == 0)
			load_gossip(load, i);
		if ((load->now + (clk_ms)i) % LOAD_TICK_MS != 0 ||
		    load->policy != LOAD_ADMISSION)
			continue;
		while ((ticket = admission_expired(admission, load->now)))
			load_ticket_refuse(load, ticket);
		load_queue_run(load, i);
	}
	for (task = load->due[load->now]; task != NULL; task = next) {
		next = task->next_due;
		load_arrive(load, task);
	}
	load_arrivals(load);
	if (load->now % LOAD_TICK_MS == 0)
		load_deadlines(load);
}

/* Runs a pattern; returns what was served in time. */
static inline struct load_result
load_run(enum load_policy policy, enum load_pattern pattern, double ratio,
    uint32_t seed)
{
	struct load *load = g_new0(struct load, 1);
	struct load_result result;

	load->policy = policy;
	load->pattern = pattern;
	load->ratio = ratio;
	load_open(load, seed);
	for (load->now = 0; load->now < LOAD_END_MS; load->now++)
		load_step(load);
	result = load->result;
	load_close(load);
	g_free(load);
	return (result);
}

#endif
