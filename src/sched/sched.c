#include "sched/sched.h"

#include <glib.h>
#include <string.h>

#include "sched/crash_table.h"
#include "upstream/heap.h"

/* A request is blocked after it has crashed this many upstreams. */
#define BLOCKING_CRASHES    2
#define DEFAULT_MAX_WAITING 4096
#define DEFAULT_AGE_MS	    (2 * CLK_SECOND)
#define DEFAULT_OVERDUE_MS  (10 * CLK_SECOND)
#define DEFAULT_RETRY_SHARE 0.1
#define RETRY_BUDGET_MAX    10.0
#define ATTEMPTS_MAX	    4
/* One start in this many goes to an overdue call. */
#define OVERDUE_INTERVAL 4
#define OVERDUE		 0 /* level of overdue calls; the classes follow it */
#define LEVELS		 4 /* OVERDUE and three classes */
/*
 * Service charged for a call in addition to its tokens.  Calls of services
 * have no tokens; without this charge an organisation that makes many of them
 * would always have the least service and get every start.
 */
#define CALL_COST_TOKENS      100.0
#define ANSWER_INITIAL_TOKENS 128.0 /* expected before the first answer */
#define ANSWER_SMOOTHING      0.1
#define START_RATE_WINDOW_MS  (5 * CLK_SECOND)
#define RETRY_AFTER_MAX_MS    (30 * CLK_SECOND)
#define BUSY_RETRY_AFTER_MS   CLK_SECOND

enum call_state { CALL_WAITING, CALL_RUNNING, CALL_BLOCKED };

struct organisation {
	char *name;
	double weight;
	double served; /* tokens divided by weight; never decreases */
	double credit; /* tokens overcharged for earlier calls */
	unsigned waiting;
	unsigned running;
	struct lane *lanes;
};

/* The waiting calls of one organisation at one level of a queue. */
struct lane {
	struct heap_item item; /* in the level, by service */
	struct organisation *organisation;
	struct queue *queue;
	unsigned level;
	struct heap calls; /* by the policy's key */
	struct lane *next; /* in organisation->lanes */
};

/* The waiting calls of one pool. */
struct queue {
	uint32_t pool;
	struct heap lanes[LEVELS]; /* none at the level OVERDUE */
	GQueue entered[LEVELS]; /* struct call, by time of entry */
	GQueue arrivals; /* struct call below OVERDUE, the oldest first */
	unsigned waiting;
	uint64_t starts;
	double virtual_service; /* highest service of an organisation served */
	double mean_answer; /* moving average of an answer's tokens */
};

struct call {
	struct sched_handle handle;
	enum call_state state;
	struct sched_request request;
	struct organisation *organisation;
	struct queue *queue;
	struct lane *lane; /* NULL unless waiting below OVERDUE */
	unsigned level;
	clk_ms entered; /* when it entered its level */
	GList entered_link;
	GList arrival_link;
	struct heap_item item; /* in the lane */
	struct heap_item expiry; /* in sched->expiries */
	char *program;
	bool has_fingerprint;
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	int64_t max_tokens;
	clk_ms deadline;
	void *arg;

	unsigned attempt;
	bool may_have_run; /* in an earlier attempt */
	struct upstream_handle upstream;
	int64_t uncached;
	double queue_tokens; /* ahead of it when it started */
	double charged; /* tokens */
	bool prefilled;
};

struct slot {
	struct call *call;
	uint32_t generation;
};

struct sched {
	struct upstream_table *upstreams;
	struct sched_options options;
	GArray *slots; /* struct slot */
	GArray *free_slots; /* uint32_t */
	GHashTable *organisations; /* name -> struct organisation */
	struct organisation *shared; /* its lanes, if not by organisation */
	GPtrArray *queues; /* struct queue, by pool */
	guint first_queue; /* served first by the next sched_dispatch() */
	struct heap expiries; /* struct call with a deadline */
	GQueue blocked; /* struct call, to be dropped by sched_expire() */
	struct crash_table *crashes;
	unsigned waiting;
	unsigned running;
	uint64_t sequence;
	uint64_t start_count;
	double retry_budget; /* retries allowed now */
	clk_ms rate_start; /* start of the current window */
	unsigned rate_starts; /* calls started in it */
	double start_rate; /* calls per second in the previous window */
};

static struct call *
call_get(const struct sched *sched, struct sched_handle handle)
{
	const struct slot *slot;

	if (handle.generation == 0 || handle.index >= sched->slots->len)
		return (NULL);
	slot = &g_array_index(sched->slots, struct slot, handle.index);
	return (slot->generation == handle.generation ? slot->call : NULL);
}

/* ---- opening and closing ---- */

static struct organisation *
organisation_new(const char *name)
{
	struct organisation *organisation = g_new0(struct organisation, 1);

	organisation->name = g_strdup(name);
	organisation->weight = 1.0;
	return (organisation);
}

struct sched *
sched_open(
    struct upstream_table *upstreams, const struct sched_options *options)
{
	struct sched *sched = g_new0(struct sched, 1);
	struct sched_options *o = &sched->options;

	sched->upstreams = upstreams;
	*o = *options;
	if (o->policy == NULL)
		o->policy = &sched_policy_least_program_first;
	if (o->max_waiting == 0)
		o->max_waiting = DEFAULT_MAX_WAITING;
	if (o->max_waiting_per_organisation == 0)
		o->max_waiting_per_organisation = MAX(1, o->max_waiting / 4);
	if (o->age_ms == 0)
		o->age_ms = DEFAULT_AGE_MS;
	if (o->overdue_ms == 0)
		o->overdue_ms = DEFAULT_OVERDUE_MS;
	if (o->retry_share <= 0)
		o->retry_share = DEFAULT_RETRY_SHARE;
	sched->slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	sched->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	sched->organisations = g_hash_table_new(g_str_hash, g_str_equal);
	sched->shared = organisation_new("");
	sched->queues = g_ptr_array_new();
	heap_init(&sched->expiries);
	sched->crashes = crash_table_open(BLOCKING_CRASHES);
	sched->retry_budget = RETRY_BUDGET_MAX;
	return (sched);
}

static void
lane_free(struct lane *lane)
{
	heap_clear(&lane->calls);
	g_free(lane);
}

static void
organisation_free(struct organisation *organisation)
{
	struct lane *lane = organisation->lanes;

	while (lane != NULL) {
		struct lane *next = lane->next;

		lane_free(lane);
		lane = next;
	}
	g_free(organisation->name);
	g_free(organisation);
}

static void
queue_free(struct queue *queue)
{
	for (unsigned level = 0; level < LEVELS; level++)
		heap_clear(&queue->lanes[level]);
	g_free(queue);
}

static void
call_free(struct call *call)
{
	g_free(call->program);
	g_free(call);
}

void
sched_close(struct sched *sched)
{
	GHashTableIter iter;
	gpointer organisation;

	if (sched == NULL)
		return;
	for (guint i = 0; i < sched->slots->len; i++) {
		struct call *call =
		    g_array_index(sched->slots, struct slot, i).call;

		if (call != NULL)
			call_free(call);
	}
	g_hash_table_iter_init(&iter, sched->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &organisation))
		organisation_free(organisation);
	organisation_free(sched->shared);
	for (guint i = 0; i < sched->queues->len; i++)
		queue_free(g_ptr_array_index(sched->queues, i));
	g_array_free(sched->slots, TRUE);
	g_array_free(sched->free_slots, TRUE);
	g_hash_table_destroy(sched->organisations);
	g_ptr_array_free(sched->queues, TRUE);
	heap_clear(&sched->expiries);
	g_queue_clear(&sched->blocked);
	crash_table_close(sched->crashes);
	g_free(sched);
}

/* ---- lanes and levels ---- */

static struct lane *
lane_ensure(
    struct organisation *organisation, struct queue *queue, unsigned level)
{
	struct lane *lane;

	for (lane = organisation->lanes; lane != NULL; lane = lane->next) {
		if (lane->queue == queue && lane->level == level)
			return (lane);
	}
	lane = g_new0(struct lane, 1);
	lane->organisation = organisation;
	lane->queue = queue;
	lane->level = level;
	heap_init(&lane->calls);
	lane->next = organisation->lanes;
	organisation->lanes = lane;
	heap_push(&queue->lanes[level], &lane->item, organisation->served);
	return (lane);
}

static void
lane_drop(struct lane *lane)
{
	struct lane **link = &lane->organisation->lanes;

	while (*link != lane)
		link = &(*link)->next;
	*link = lane->next;
	heap_remove(&lane->queue->lanes[lane->level], &lane->item);
	lane_free(lane);
}

static void
call_enter_level(
    struct sched *sched, struct call *call, unsigned level, clk_ms now)
{
	struct organisation *organisation =
	    sched->options.policy->by_organisation ? call->organisation
						   : sched->shared;

	call->level = level;
	call->entered = now;
	call->entered_link.data = call;
	g_queue_push_tail_link(
	    &call->queue->entered[level], &call->entered_link);
	if (level == OVERDUE)
		return;
	call->lane = lane_ensure(organisation, call->queue, level);
	call->item.tie = call->request.sequence;
	heap_push(&call->lane->calls, &call->item,
	    sched->options.policy->call_key(&call->request));
}

static void
call_leave_level(struct call *call)
{
	g_queue_unlink(&call->queue->entered[call->level], &call->entered_link);
	if (call->lane == NULL)
		return;
	heap_remove(&call->lane->calls, &call->item);
	if (heap_count(&call->lane->calls) == 0)
		lane_drop(call->lane);
	call->lane = NULL;
}

static void
call_enqueue(struct sched *sched, struct call *call, clk_ms now)
{
	unsigned level = sched->options.policy->by_urgency
	    ? (unsigned)call->request.urgency + 1
	    : 1;

	call->state = CALL_WAITING;
	call->organisation->waiting++;
	call->queue->waiting++;
	sched->waiting++;
	call_enter_level(sched, call, level, now);
	call->arrival_link.data = call;
	/* A retried call is older than those that are waiting. */
	if (call->attempt > 0)
		g_queue_push_head_link(
		    &call->queue->arrivals, &call->arrival_link);
	else
		g_queue_push_tail_link(
		    &call->queue->arrivals, &call->arrival_link);
	call->expiry.tie = call->request.sequence;
	if (call->deadline != 0)
		heap_push(
		    &sched->expiries, &call->expiry, (double)call->deadline);
}

static void
call_dequeue(struct sched *sched, struct call *call)
{
	if (call->level != OVERDUE)
		g_queue_unlink(&call->queue->arrivals, &call->arrival_link);
	call_leave_level(call);
	heap_remove(&sched->expiries, &call->expiry);
	call->organisation->waiting--;
	call->queue->waiting--;
	sched->waiting--;
}

static void
queue_promote(struct sched *sched, struct queue *queue, clk_ms now)
{
	struct call *call;

	if (!sched->options.policy->by_urgency)
		return;
	while ((call = g_queue_peek_head(&queue->arrivals)) != NULL &&
	    now - call->request.submitted >= sched->options.overdue_ms) {
		g_queue_unlink(&queue->arrivals, &call->arrival_link);
		call_leave_level(call);
		call_enter_level(sched, call, OVERDUE, now);
	}
	for (unsigned level = 2; level < LEVELS; level++) {
		while ((call = g_queue_peek_head(&queue->entered[level])) !=
			NULL &&
		    now - call->entered >= sched->options.age_ms) {
			call_leave_level(call);
			call_enter_level(sched, call, level - 1, now);
		}
	}
}

/* ---- submitting ---- */

static struct queue *
queue_ensure(struct sched *sched, uint32_t pool)
{
	while (sched->queues->len <= pool) {
		struct queue *queue = g_new0(struct queue, 1);

		queue->pool = sched->queues->len;
		queue->mean_answer = ANSWER_INITIAL_TOKENS;
		for (unsigned level = 0; level < LEVELS; level++)
			heap_init(&queue->lanes[level]);
		g_ptr_array_add(sched->queues, queue);
	}
	return (g_ptr_array_index(sched->queues, pool));
}

static struct organisation *
organisation_ensure(struct sched *sched, const char *name)
{
	struct organisation *organisation =
	    g_hash_table_lookup(sched->organisations, name);

	if (organisation == NULL) {
		organisation = organisation_new(name);
		(void)g_hash_table_insert(
		    sched->organisations, organisation->name, organisation);
	}
	return (organisation);
}

static void
call_assign_slot(struct sched *sched, struct call *call)
{
	struct slot fresh = {.call = NULL, .generation = 0};
	guint count = sched->free_slots->len;
	struct slot *slot;
	uint32_t index = sched->slots->len;

	if (count > 0) {
		index = g_array_index(sched->free_slots, uint32_t, count - 1);
		g_array_set_size(sched->free_slots, count - 1);
	} else {
		g_array_append_val(sched->slots, fresh);
	}
	slot = &g_array_index(sched->slots, struct slot, index);
	slot->generation++;
	slot->call = call;
	call->handle.index = index;
	call->handle.generation = slot->generation;
}

/* Frees a call that has been removed from all lists. */
static void
call_drop(struct sched *sched, struct call *call)
{
	g_array_index(sched->slots, struct slot, call->handle.index).call =
	    NULL;
	g_array_append_val(sched->free_slots, call->handle.index);
	call_free(call);
}

static void
update_start_rate(struct sched *sched, clk_ms now, unsigned starts)
{
	clk_ms passed = now - sched->rate_start;

	if (passed >= START_RATE_WINDOW_MS) {
		sched->start_rate =
		    (double)sched->rate_starts * 1000.0 / (double)passed;
		sched->rate_start = now;
		sched->rate_starts = 0;
	}
	sched->rate_starts += starts;
}

/* Estimates the time in which the given number of calls will start. */
static clk_ms
estimate_retry_after(const struct sched *sched, unsigned calls)
{
	double wait;

	if (sched->start_rate <= 0.0)
		return (CLK_SECOND);
	wait = (double)calls * 1000.0 / sched->start_rate;
	return ((clk_ms)CLAMP(
	    wait, (double)CLK_SECOND, (double)RETRY_AFTER_MAX_MS));
}

static struct vd
queue_full_verdict(
    const struct sched *sched, unsigned waiting, const char *what)
{
	struct vd vd = vd_make(VD_NOT_RUN, VD_QUEUE_FULL,
	    "%u calls of %s are waiting", waiting, what);

	vd.retry_after = estimate_retry_after(sched, waiting);
	return (vd);
}

static struct vd
blocked_verdict(enum vd_ran ran)
{
	return (vd_make(ran, VD_REQUEST_CRASHES_UPSTREAM,
	    "upstreams crashed while running this request"));
}

static struct vd
check_submit(const struct sched *sched, const struct sched_call *call,
    uint32_t pool, clk_ms now)
{
	const struct organisation *organisation;

	if (pool == UPSTREAM_NO_POOL && call->kind == UPSTREAM_MODEL)
		return (vd_make(VD_NOT_RUN, VD_UNKNOWN_MODEL,
		    "no upstream serves the model"));
	if (pool == UPSTREAM_NO_POOL)
		return (vd_make(VD_NOT_RUN, VD_NO_UPSTREAM,
		    "no upstream serves the service"));
	if (call->fingerprint != NULL &&
	    crash_table_is_blocked(sched->crashes, call->fingerprint, now))
		return (blocked_verdict(VD_NOT_RUN));
	if (sched->waiting >= sched->options.max_waiting)
		return (queue_full_verdict(
		    sched, sched->waiting, "all organisations"));
	organisation =
	    g_hash_table_lookup(sched->organisations, call->organisation);
	if (organisation != NULL &&
	    organisation->waiting >=
		sched->options.max_waiting_per_organisation)
		return (queue_full_verdict(
		    sched, organisation->waiting, "the organisation"));
	return (vd_ok());
}

struct vd
sched_submit(struct sched *sched, const struct sched_call *call, clk_ms now,
    struct sched_handle *handle)
{
	uint32_t pool =
	    upstream_pool_find(sched->upstreams, call->kind, call->model);
	struct vd vd = check_submit(sched, call, pool, now);
	struct organisation *organisation;
	struct call *c;

	if (!vd_is_ok(&vd))
		return (vd);
	organisation = organisation_ensure(sched, call->organisation);
	organisation->weight = call->weight > 0 ? call->weight : 1.0;
	c = g_new0(struct call, 1);
	c->organisation = organisation;
	c->queue = queue_ensure(sched, pool);
	c->program = g_strdup(call->program != NULL ? call->program : "");
	c->request.urgency = call->urgency;
	c->request.submitted = now;
	c->request.program_started = call->program_started;
	c->request.sequence = ++sched->sequence;
	c->request.pool = pool;
	c->request.program = c->program;
	c->request.prompt_tokens = MAX(0, call->prompt_tokens);
	c->max_tokens = call->max_tokens;
	c->deadline = call->deadline;
	c->arg = call->arg;
	if (call->fingerprint != NULL) {
		c->has_fingerprint = true;
		memcpy(
		    c->fingerprint, call->fingerprint, SCHED_FINGERPRINT_SIZE);
	}
	/*
	 * An organisation that was idle starts with the service of those that
	 * are served now; otherwise it would get all starts until it has made
	 * up for its idle time.
	 */
	if (organisation->waiting == 0 && organisation->running == 0)
		organisation->served =
		    MAX(organisation->served, c->queue->virtual_service);
	call_assign_slot(sched, c);
	call_enqueue(sched, c, now);
	*handle = c->handle;
	return (vd);
}

/* ---- starting ---- */

static struct call *
queue_pick_by_service(struct sched *sched, struct queue *queue, unsigned level)
{
	struct heap *lanes = &queue->lanes[level];

	for (;;) {
		struct heap_item *top = heap_top(lanes);
		struct lane *lane = HEAP_CONTAINER(top, struct lane, item);
		double served = lane->organisation->served;

		/* Service never decreases, so an outdated key is too low. */
		if (top->key < served) {
			heap_rekey(lanes, top, served);
			continue;
		}
		if (sched->options.policy->by_organisation)
			queue->virtual_service =
			    MAX(queue->virtual_service, served);
		return (
		    HEAP_CONTAINER(heap_top(&lane->calls), struct call, item));
	}
}

static struct call *
queue_pick(struct sched *sched, struct queue *queue)
{
	struct call *overdue = g_queue_peek_head(&queue->entered[OVERDUE]);

	if (overdue != NULL &&
	    queue->starts % OVERDUE_INTERVAL == OVERDUE_INTERVAL - 1)
		return (overdue);
	for (unsigned level = 1; level < LEVELS; level++) {
		if (heap_count(&queue->lanes[level]) > 0)
			return (queue_pick_by_service(sched, queue, level));
	}
	return (overdue);
}

static void
call_charge(struct call *call, double tokens)
{
	struct organisation *organisation = call->organisation;
	double used = MIN(tokens, organisation->credit);

	organisation->credit -= used;
	organisation->served += (tokens - used) / organisation->weight;
}

static void
call_start(struct sched *sched, struct call *call,
    struct upstream_handle upstream, int64_t cached, struct sched_start *out)
{
	double answer =
	    MIN(call->queue->mean_answer, (double)MAX(0, call->max_tokens));

	call_dequeue(sched, call);
	call->state = CALL_RUNNING;
	call->organisation->running++;
	sched->running++;
	call->attempt++;
	call->upstream = upstream;
	call->uncached = call->request.prompt_tokens - cached;
	call->queue_tokens = upstream_queue_tokens(sched->upstreams, upstream);
	call->prefilled = false;
	call->charged = CALL_COST_TOKENS + (double)call->uncached + answer;
	call_charge(call, call->charged);
	call->queue->starts++;
	sched->start_count++;
	if (call->attempt == 1)
		sched->retry_budget = MIN(RETRY_BUDGET_MAX,
		    sched->retry_budget + sched->options.retry_share);
	upstream_call_begin(sched->upstreams, upstream, call->uncached);
	if (call->program[0] != '\0' &&
	    upstream_is_in_pool(sched->upstreams, upstream, call->request.pool))
		upstream_prefix_add(sched->upstreams, call->program, upstream);
	out->call = call->handle;
	out->upstream = upstream;
	out->attempt = call->attempt;
	out->cached_tokens = cached;
	out->arg = call->arg;
}

/* Starts at most one call; returns false if none can start. */
static bool
queue_start_one(struct sched *sched, struct queue *queue, clk_ms now,
    struct sched_start *out)
{
	while (queue->waiting > 0) {
		struct call *call = queue_pick(sched, queue);
		struct upstream_handle upstream;
		int64_t cached = 0;

		if (call->has_fingerprint &&
		    crash_table_is_blocked(
			sched->crashes, call->fingerprint, now)) {
			call_dequeue(sched, call);
			call->state = CALL_BLOCKED;
			g_queue_push_tail(&sched->blocked, call);
			continue;
		}
		upstream = sched->options.policy->choose(sched->upstreams,
		    &call->request, sched->start_count, &cached);
		if (upstream.generation == 0)
			return (false);
		call_start(sched, call, upstream, cached, out);
		return (true);
	}
	return (false);
}

size_t
sched_dispatch(
    struct sched *sched, clk_ms now, struct sched_start *starts, size_t max)
{
	guint count = sched->queues->len;
	size_t n = 0;

	for (guint i = 0; i < count && n < max; i++) {
		struct queue *queue = g_ptr_array_index(
		    sched->queues, (sched->first_queue + i) % count);

		if (queue->waiting == 0)
			continue;
		queue_promote(sched, queue, now);
		while (n < max &&
		    upstream_pool_open_count(sched->upstreams, queue->pool) >
			0 &&
		    queue_start_one(sched, queue, now, &starts[n]))
			n++;
	}
	if (count > 0)
		sched->first_queue = (sched->first_queue + 1) % count;
	update_start_rate(sched, now, (unsigned)n);
	return (n);
}

/* ---- ending ---- */

static enum vd_ran
call_ran(const struct call *call)
{
	return (call->may_have_run ? VD_MAYBE : VD_NOT_RUN);
}

static void
call_drop_with_verdict(struct sched *sched, struct call *call, struct vd vd,
    struct sched_dropped *end)
{
	end->call = call->handle;
	end->vd = vd;
	end->arg = call->arg;
	call_drop(sched, call);
}

size_t
sched_expire(
    struct sched *sched, clk_ms now, struct sched_dropped *ends, size_t max)
{
	struct heap_item *top;
	struct call *call;
	size_t n = 0;

	while (n < max && (call = g_queue_pop_head(&sched->blocked)) != NULL)
		call_drop_with_verdict(
		    sched, call, blocked_verdict(call_ran(call)), &ends[n++]);
	while (n < max && (top = heap_top(&sched->expiries)) != NULL &&
	    top->key <= (double)now) {
		struct vd vd;

		call = HEAP_CONTAINER(top, struct call, expiry);
		call_dequeue(sched, call);
		vd = vd_make(call_ran(call), VD_QUEUE_FULL,
		    "not started within its deadline");
		vd.retry_after = estimate_retry_after(sched, sched->waiting);
		call_drop_with_verdict(sched, call, vd, &ends[n++]);
	}
	return (n);
}

bool
sched_cancel(struct sched *sched, struct sched_handle handle)
{
	struct call *call = call_get(sched, handle);

	if (call == NULL || call->state == CALL_RUNNING)
		return (false);
	if (call->state == CALL_BLOCKED)
		(void)g_queue_remove(&sched->blocked, call);
	else
		call_dequeue(sched, call);
	call_drop(sched, call);
	return (true);
}

void
sched_report_first_token(struct sched *sched, struct sched_handle handle)
{
	struct call *call = call_get(sched, handle);

	if (call == NULL || call->state != CALL_RUNNING || call->prefilled)
		return;
	call->prefilled = true;
	upstream_call_prefilled(
	    sched->upstreams, call->upstream, call->uncached);
}

static void
call_settle(struct sched *sched, struct call *call,
    const struct upstream_reply *reply, clk_ms now)
{
	double used = CALL_COST_TOKENS + (double)reply->answer_tokens +
	    (double)MAX(0, reply->prompt_tokens - reply->cached_tokens);

	if (used > call->charged)
		call_charge(call, used - call->charged);
	else
		call->organisation->credit += call->charged - used;
	call->queue->mean_answer +=
	    ((double)reply->answer_tokens - call->queue->mean_answer) *
	    ANSWER_SMOOTHING;
	if (call->program[0] != '\0' && reply->prompt_tokens > 0)
		upstream_prefix_update(sched->upstreams, call->program,
		    call->upstream,
		    reply->prompt_tokens + reply->answer_tokens);
	upstream_call_succeed(
	    sched->upstreams, call->upstream, call->queue_tokens, reply, now);
}

static void
record_crash(struct sched *sched, const struct call *call, clk_ms now)
{
	struct upstream_info info;

	if (call->has_fingerprint &&
	    upstream_get_info(sched->upstreams, call->upstream, now, &info))
		crash_table_add(
		    sched->crashes, call->fingerprint, info.name, true, now);
}

/*
 * Updates the upstream with the attempt's outcome; returns the verdict for the
 * case that the call is not retried.
 */
static struct vd
apply_outcome(struct sched *sched, struct call *call,
    const struct sched_result *result, clk_ms now)
{
	struct vd vd;

	switch (result->outcome) {
	case SCHED_SUCCEEDED:
		call_settle(sched, call, &result->reply, now);
		return (vd_ok());
	case SCHED_CANCELLED:
		call->may_have_run = true;
		upstream_call_cancel(sched->upstreams, call->upstream);
		return (vd_make(VD_MAYBE, VD_CANCELLED, "cancelled"));
	case SCHED_CONNECT_FAILED:
		upstream_call_fail(
		    sched->upstreams, call->upstream, UPSTREAM_REFUSED, now);
		return (vd_make(call_ran(call), VD_UPSTREAM_FAILED,
		    "could not connect to the upstream"));
	case SCHED_BUSY:
		upstream_call_fail(
		    sched->upstreams, call->upstream, UPSTREAM_BUSY, now);
		vd = vd_make(
		    call_ran(call), VD_NO_UPSTREAM, "the upstream is busy");
		vd.retry_after = BUSY_RETRY_AFTER_MS;
		return (vd);
	case SCHED_CRASHED:
		call->may_have_run = true;
		record_crash(sched, call, now);
		upstream_call_fail(
		    sched->upstreams, call->upstream, UPSTREAM_CRASHED, now);
		return (vd_make(VD_MAYBE, VD_UPSTREAM_FAILED,
		    "the upstream closed the connection"));
	case SCHED_TIMED_OUT:
	default:
		call->may_have_run = true;
		upstream_call_fail(
		    sched->upstreams, call->upstream, UPSTREAM_TIMED_OUT, now);
		return (vd_make(VD_MAYBE, VD_UPSTREAM_TIMEOUT,
		    "the upstream did not answer in time"));
	}
}

static bool
may_retry(struct sched *sched, const struct call *call,
    const struct sched_result *result, clk_ms now)
{
	switch (result->outcome) {
	case SCHED_SUCCEEDED:
	case SCHED_CANCELLED:
		return (false);
	case SCHED_CONNECT_FAILED:
	case SCHED_BUSY:
		break;
	default:
		if (!result->repeatable)
			return (false);
		break;
	}
	if (call->attempt >= ATTEMPTS_MAX || sched->retry_budget < 1.0)
		return (false);
	if (call->deadline != 0 && now >= call->deadline)
		return (false);
	return (!call->has_fingerprint ||
	    !crash_table_is_blocked(sched->crashes, call->fingerprint, now));
}

enum sched_disposition
sched_finish(struct sched *sched, struct sched_handle handle,
    const struct sched_result *result, clk_ms now, struct vd *vd)
{
	struct call *call = call_get(sched, handle);

	if (call == NULL || call->state != CALL_RUNNING) {
		*vd = vd_make(VD_MAYBE, VD_INTERNAL, "the call is not running");
		return (SCHED_DONE);
	}
	sched_report_first_token(sched, handle);
	*vd = apply_outcome(sched, call, result, now);
	/* An attempt that did not run is not charged. */
	if (result->outcome == SCHED_CONNECT_FAILED ||
	    result->outcome == SCHED_BUSY)
		call->organisation->credit += call->charged;
	call->organisation->running--;
	sched->running--;
	if (may_retry(sched, call, result, now)) {
		sched->retry_budget -= 1.0;
		call->request.avoid = call->upstream;
		call_enqueue(sched, call, now);
		return (SCHED_REQUEUED);
	}
	if (result->outcome == SCHED_CRASHED && call->has_fingerprint &&
	    crash_table_is_blocked(sched->crashes, call->fingerprint, now))
		*vd = blocked_verdict(VD_MAYBE);
	call_drop(sched, call);
	return (SCHED_DONE);
}

unsigned
sched_waiting_count(const struct sched *sched)
{
	return (sched->waiting);
}

unsigned
sched_running_count(const struct sched *sched)
{
	return (sched->running);
}

bool
sched_crash_is_blocked(
    const struct sched *sched, const unsigned char *fingerprint, clk_ms now)
{
	return (crash_table_is_blocked(sched->crashes, fingerprint, now));
}

void
sched_crash_add(struct sched *sched, const unsigned char *fingerprint,
    const char *upstream, clk_ms now)
{
	crash_table_add(sched->crashes, fingerprint, upstream, false, now);
}

size_t
sched_crash_list(const struct sched *sched, clk_ms since,
    struct sched_crash *crashes, size_t max)
{
	return (crash_table_list(sched->crashes, since, crashes, max));
}
