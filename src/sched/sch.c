#include "sched/sch.h"

#include <glib.h>
#include <string.h>

#include "sched/crash.h"
#include "upstream/heap.h"

/* Different upstreams that a request may crash. */
#define CRASHES_TO_BLOCK 2
#define MAX_WAITING	 4096
#define AGE_MS		 (2 * CLK_SECOND)
#define OVERDUE_MS	 (10 * CLK_SECOND)
#define RETRY_SHARE	 0.1
#define RETRY_MAX	 10.0
#define MAX_ATTEMPTS	 4
/* One start in so many goes to the calls that have waited too long. */
#define OVERDUE_SHARE 4
#define OVERDUE	      0 /* level of these calls; the classes follow it */
#define LEVELS	      4
/*
 * Service counted for a call besides its tokens.  Calls of services have no
 * tokens; without this an organisation with many of them would keep the least
 * service and get every start.
 */
#define CALL_COST      100.0
#define ANSWER_START   128.0 /* tokens, until answers have been seen */
#define ANSWER_SMOOTH  0.1
#define RATE_WINDOW    (5 * CLK_SECOND)
#define MAX_RETRY_WAIT (30 * CLK_SECOND)
#define BUSY_WAIT      CLK_SECOND

enum state { WAITING, RUNNING, BLOCKED };

struct organisation {
	char *name;
	double weight;
	double served; /* tokens for its weight; never falls */
	double credit; /* tokens charged too much for earlier calls */
	unsigned waiting;
	unsigned running;
	struct lane *lanes;
};

/* The waiting calls of one organisation at one level of a queue. */
struct lane {
	struct ups_heap_item item; /* in the level, by service */
	struct organisation *organisation;
	struct queue *queue;
	unsigned level;
	struct ups_heap calls; /* by the policy's key */
	struct lane *next; /* of the organisation */
};

/* The waiting calls of one pool. */
struct queue {
	uint32_t pool;
	struct ups_heap lanes[LEVELS]; /* none at the level OVERDUE */
	GQueue entered[LEVELS]; /* struct call, the longest there first */
	GQueue arrivals; /* struct call below OVERDUE, the oldest first */
	unsigned waiting;
	uint64_t starts;
	double virtual; /* service of the organisation served last */
	double answer; /* mean tokens of an answer */
};

struct call {
	struct sch_handle handle;
	enum state state;
	struct sch_request request;
	struct organisation *organisation;
	struct queue *queue;
	struct lane *lane; /* nil unless waiting below OVERDUE */
	unsigned level;
	clk_ms entered; /* its level */
	GList entered_link;
	GList arrival_link;
	struct ups_heap_item item; /* in the lane */
	struct ups_heap_item expiry; /* in sch->expiries */
	char *program;
	bool has_fingerprint;
	unsigned char fingerprint[SCH_FINGERPRINT_SIZE];
	int64_t max_tokens;
	clk_ms deadline;
	void *arg;

	unsigned attempt;
	bool may_have_run; /* at an earlier attempt */
	struct ups_handle upstream;
	int64_t uncached;
	double queue_tokens; /* ahead of it at the start */
	double charged; /* tokens */
	bool prefilled;
};

struct slot {
	struct call *call;
	uint32_t generation;
};

struct sch {
	struct ups *ups;
	struct sch_options options;
	GArray *slots; /* struct slot */
	GArray *free_slots; /* uint32_t */
	GHashTable *organisations; /* name -> struct organisation */
	struct organisation *shared; /* lanes, if not by organisation */
	GPtrArray *queues; /* struct queue, by pool */
	guint first_queue; /* the next to be asked first */
	struct ups_heap expiries; /* struct call with a deadline */
	GQueue blocked; /* struct call */
	struct sch_crash_table *crashes;
	unsigned waiting;
	unsigned running;
	uint64_t number;
	uint64_t turn;
	double retries; /* allowed now */
	clk_ms rate_start; /* of the window that starts are counted in */
	unsigned rate_starts;
	double start_rate; /* per second, of the window before */
};

static struct call *
call_get(const struct sch *sch, struct sch_handle handle)
{
	const struct slot *slot;

	if (handle.generation == 0 || handle.index >= sch->slots->len)
		return (NULL);
	slot = &g_array_index(sch->slots, struct slot, handle.index);
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

struct sch *
sch_open(struct ups *ups, const struct sch_options *options)
{
	struct sch *sch = g_new0(struct sch, 1);
	struct sch_options *o = &sch->options;

	sch->ups = ups;
	*o = *options;
	if (o->policy == NULL)
		o->policy = &sch_policy_least_program_first;
	if (o->max_waiting == 0)
		o->max_waiting = MAX_WAITING;
	if (o->max_waiting_per_organisation == 0)
		o->max_waiting_per_organisation = MAX(1, o->max_waiting / 4);
	if (o->age_ms == 0)
		o->age_ms = AGE_MS;
	if (o->overdue_ms == 0)
		o->overdue_ms = OVERDUE_MS;
	if (o->retry_share <= 0)
		o->retry_share = RETRY_SHARE;
	sch->slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	sch->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	sch->organisations = g_hash_table_new(g_str_hash, g_str_equal);
	sch->shared = organisation_new("");
	sch->queues = g_ptr_array_new();
	ups_heap_init(&sch->expiries);
	sch->crashes = sch_crash_open(CRASHES_TO_BLOCK);
	sch->retries = RETRY_MAX;
	return (sch);
}

static void
lane_free(struct lane *lane)
{
	ups_heap_clear(&lane->calls);
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
		ups_heap_clear(&queue->lanes[level]);
	g_free(queue);
}

static void
call_free(struct call *call)
{
	g_free(call->program);
	g_free(call);
}

void
sch_close(struct sch *sch)
{
	GHashTableIter iter;
	gpointer organisation;

	if (sch == NULL)
		return;
	for (guint i = 0; i < sch->slots->len; i++) {
		struct call *call =
		    g_array_index(sch->slots, struct slot, i).call;

		if (call != NULL)
			call_free(call);
	}
	g_hash_table_iter_init(&iter, sch->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &organisation))
		organisation_free(organisation);
	organisation_free(sch->shared);
	for (guint i = 0; i < sch->queues->len; i++)
		queue_free(g_ptr_array_index(sch->queues, i));
	g_array_free(sch->slots, TRUE);
	g_array_free(sch->free_slots, TRUE);
	g_hash_table_destroy(sch->organisations);
	g_ptr_array_free(sch->queues, TRUE);
	ups_heap_clear(&sch->expiries);
	g_queue_clear(&sch->blocked);
	sch_crash_close(sch->crashes);
	g_free(sch);
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
	ups_heap_init(&lane->calls);
	lane->next = organisation->lanes;
	organisation->lanes = lane;
	ups_heap_push(&queue->lanes[level], &lane->item, organisation->served);
	return (lane);
}

static void
lane_drop(struct lane *lane)
{
	struct lane **link = &lane->organisation->lanes;

	while (*link != lane)
		link = &(*link)->next;
	*link = lane->next;
	ups_heap_remove(&lane->queue->lanes[lane->level], &lane->item);
	lane_free(lane);
}

static void
level_enter(struct sch *sch, struct call *call, unsigned level, clk_ms now)
{
	struct organisation *organisation = sch->options.policy->by_organisation
	    ? call->organisation
	    : sch->shared;

	call->level = level;
	call->entered = now;
	call->entered_link.data = call;
	g_queue_push_tail_link(
	    &call->queue->entered[level], &call->entered_link);
	if (level == OVERDUE)
		return;
	call->lane = lane_ensure(organisation, call->queue, level);
	call->item.tie = call->request.number;
	ups_heap_push(&call->lane->calls, &call->item,
	    sch->options.policy->call_key(&call->request));
}

static void
level_leave(struct call *call)
{
	g_queue_unlink(&call->queue->entered[call->level], &call->entered_link);
	if (call->lane == NULL)
		return;
	ups_heap_remove(&call->lane->calls, &call->item);
	if (ups_heap_count(&call->lane->calls) == 0)
		lane_drop(call->lane);
	call->lane = NULL;
}

static void
wait_begin(struct sch *sch, struct call *call, clk_ms now)
{
	unsigned level = sch->options.policy->by_urgency
	    ? (unsigned)call->request.urgency + 1
	    : 1;

	call->state = WAITING;
	call->organisation->waiting++;
	call->queue->waiting++;
	sch->waiting++;
	level_enter(sch, call, level, now);
	call->arrival_link.data = call;
	/* A call that waits again is older than those that wait already. */
	if (call->attempt > 0)
		g_queue_push_head_link(
		    &call->queue->arrivals, &call->arrival_link);
	else
		g_queue_push_tail_link(
		    &call->queue->arrivals, &call->arrival_link);
	call->expiry.tie = call->request.number;
	if (call->deadline != 0)
		ups_heap_push(
		    &sch->expiries, &call->expiry, (double)call->deadline);
}

static void
wait_end(struct sch *sch, struct call *call)
{
	if (call->level != OVERDUE)
		g_queue_unlink(&call->queue->arrivals, &call->arrival_link);
	level_leave(call);
	ups_heap_remove(&sch->expiries, &call->expiry);
	call->organisation->waiting--;
	call->queue->waiting--;
	sch->waiting--;
}

static void
promote(struct sch *sch, struct queue *queue, clk_ms now)
{
	struct call *call;

	if (!sch->options.policy->by_urgency)
		return;
	while ((call = g_queue_peek_head(&queue->arrivals)) != NULL &&
	    now - call->request.submitted >= sch->options.overdue_ms) {
		g_queue_unlink(&queue->arrivals, &call->arrival_link);
		level_leave(call);
		level_enter(sch, call, OVERDUE, now);
	}
	for (unsigned level = 2; level < LEVELS; level++) {
		while ((call = g_queue_peek_head(&queue->entered[level])) !=
			NULL &&
		    now - call->entered >= sch->options.age_ms) {
			level_leave(call);
			level_enter(sch, call, level - 1, now);
		}
	}
}

/* ---- submitting ---- */

static struct queue *
queue_ensure(struct sch *sch, uint32_t pool)
{
	while (sch->queues->len <= pool) {
		struct queue *queue = g_new0(struct queue, 1);

		queue->pool = sch->queues->len;
		queue->answer = ANSWER_START;
		for (unsigned level = 0; level < LEVELS; level++)
			ups_heap_init(&queue->lanes[level]);
		g_ptr_array_add(sch->queues, queue);
	}
	return (g_ptr_array_index(sch->queues, pool));
}

static struct organisation *
organisation_ensure(struct sch *sch, const char *name)
{
	struct organisation *organisation =
	    g_hash_table_lookup(sch->organisations, name);

	if (organisation == NULL) {
		organisation = organisation_new(name);
		(void)g_hash_table_insert(
		    sch->organisations, organisation->name, organisation);
	}
	return (organisation);
}

static void
take_slot(struct sch *sch, struct call *call)
{
	struct slot fresh = {.call = NULL, .generation = 0};
	guint count = sch->free_slots->len;
	struct slot *slot;
	uint32_t index = sch->slots->len;

	if (count > 0) {
		index = g_array_index(sch->free_slots, uint32_t, count - 1);
		g_array_set_size(sch->free_slots, count - 1);
	} else {
		g_array_append_val(sch->slots, fresh);
	}
	slot = &g_array_index(sch->slots, struct slot, index);
	slot->generation++;
	slot->call = call;
	call->handle.index = index;
	call->handle.generation = slot->generation;
}

/* Free a call that is in no list any more. */
static void
call_drop(struct sch *sch, struct call *call)
{
	g_array_index(sch->slots, struct slot, call->handle.index).call = NULL;
	g_array_append_val(sch->free_slots, call->handle.index);
	call_free(call);
}

static void
count_rate(struct sch *sch, clk_ms now, unsigned starts)
{
	clk_ms passed = now - sch->rate_start;

	if (passed >= RATE_WINDOW) {
		sch->start_rate =
		    (double)sch->rate_starts * 1000.0 / (double)passed;
		sch->rate_start = now;
		sch->rate_starts = 0;
	}
	sch->rate_starts += starts;
}

/* When about so many calls will have started. */
static clk_ms
retry_after(const struct sch *sch, unsigned calls)
{
	double wait;

	if (sch->start_rate <= 0.0)
		return (CLK_SECOND);
	wait = (double)calls * 1000.0 / sch->start_rate;
	return (
	    (clk_ms)CLAMP(wait, (double)CLK_SECOND, (double)MAX_RETRY_WAIT));
}

static struct vd
refuse_full(const struct sch *sch, unsigned waiting, const char *what)
{
	struct vd vd = vd_make(VD_NOT_RUN, VD_QUEUE_FULL,
	    "%u calls of %s are waiting", waiting, what);

	vd.retry_after = retry_after(sch, waiting);
	return (vd);
}

static struct vd
blocked_vd(enum vd_ran ran)
{
	return (vd_make(ran, VD_REQUEST_CRASHES_UPSTREAM,
	    "upstreams crashed while running this request"));
}

static struct vd
check_submit(const struct sch *sch, const struct sch_call *call, uint32_t pool,
    clk_ms now)
{
	const struct organisation *organisation;

	if (pool == UPS_NO_POOL && call->kind == UPS_MODEL)
		return (vd_make(VD_NOT_RUN, VD_UNKNOWN_MODEL,
		    "no upstream serves the model"));
	if (pool == UPS_NO_POOL)
		return (vd_make(VD_NOT_RUN, VD_NO_UPSTREAM,
		    "no upstream serves the service"));
	if (call->fingerprint != NULL &&
	    sch_crash_is_blocked(sch->crashes, call->fingerprint, now))
		return (blocked_vd(VD_NOT_RUN));
	if (sch->waiting >= sch->options.max_waiting)
		return (refuse_full(sch, sch->waiting, "all organisations"));
	organisation =
	    g_hash_table_lookup(sch->organisations, call->organisation);
	if (organisation != NULL &&
	    organisation->waiting >= sch->options.max_waiting_per_organisation)
		return (refuse_full(
		    sch, organisation->waiting, "the organisation"));
	return (vd_ok());
}

struct vd
sch_submit(struct sch *sch, const struct sch_call *call, clk_ms now,
    struct sch_handle *handle)
{
	uint32_t pool = ups_pool_find(sch->ups, call->kind, call->model);
	struct vd vd = check_submit(sch, call, pool, now);
	struct organisation *organisation;
	struct call *c;

	if (!vd_is_ok(&vd))
		return (vd);
	organisation = organisation_ensure(sch, call->organisation);
	organisation->weight = call->weight > 0 ? call->weight : 1.0;
	c = g_new0(struct call, 1);
	c->organisation = organisation;
	c->queue = queue_ensure(sch, pool);
	c->program = g_strdup(call->program != NULL ? call->program : "");
	c->request.urgency = call->urgency;
	c->request.submitted = now;
	c->request.program_started = call->program_started;
	c->request.number = ++sch->number;
	c->request.pool = pool;
	c->request.program = c->program;
	c->request.prompt_tokens = MAX(0, call->prompt_tokens);
	c->max_tokens = call->max_tokens;
	c->deadline = call->deadline;
	c->arg = call->arg;
	if (call->fingerprint != NULL) {
		c->has_fingerprint = true;
		memcpy(c->fingerprint, call->fingerprint, SCH_FINGERPRINT_SIZE);
	}
	/*
	 * An organisation that was idle starts level with those that are
	 * served now; otherwise it would get all starts until it has caught
	 * up on the time that it asked for nothing.
	 */
	if (organisation->waiting == 0 && organisation->running == 0)
		organisation->served =
		    MAX(organisation->served, c->queue->virtual);
	take_slot(sch, c);
	wait_begin(sch, c, now);
	*handle = c->handle;
	return (vd);
}

/* ---- starting ---- */

static struct call *
pick_by_service(struct sch *sch, struct queue *queue, unsigned level)
{
	struct ups_heap *lanes = &queue->lanes[level];

	for (;;) {
		struct ups_heap_item *top = ups_heap_top(lanes);
		struct lane *lane = UPS_HEAP_OWNER(top, struct lane, item);
		double served = lane->organisation->served;

		/* Keys only grow, so a key that is out of date is too low. */
		if (top->key < served) {
			ups_heap_rekey(lanes, top, served);
			continue;
		}
		if (sch->options.policy->by_organisation)
			queue->virtual = MAX(queue->virtual, served);
		return (UPS_HEAP_OWNER(
		    ups_heap_top(&lane->calls), struct call, item));
	}
}

static struct call *
pick(struct sch *sch, struct queue *queue)
{
	struct call *overdue = g_queue_peek_head(&queue->entered[OVERDUE]);

	if (overdue != NULL &&
	    queue->starts % OVERDUE_SHARE == OVERDUE_SHARE - 1)
		return (overdue);
	for (unsigned level = 1; level < LEVELS; level++) {
		if (ups_heap_count(&queue->lanes[level]) > 0)
			return (pick_by_service(sch, queue, level));
	}
	return (overdue);
}

static void
charge(struct call *call, double tokens)
{
	struct organisation *organisation = call->organisation;
	double used = MIN(tokens, organisation->credit);

	organisation->credit -= used;
	organisation->served += (tokens - used) / organisation->weight;
}

static void
start(struct sch *sch, struct call *call, struct ups_handle upstream,
    int64_t cached, struct sch_start *out)
{
	double answer =
	    MIN(call->queue->answer, (double)MAX(0, call->max_tokens));

	wait_end(sch, call);
	call->state = RUNNING;
	call->organisation->running++;
	sch->running++;
	call->attempt++;
	call->upstream = upstream;
	call->uncached = call->request.prompt_tokens - cached;
	call->queue_tokens = ups_queue_tokens(sch->ups, upstream);
	call->prefilled = false;
	call->charged = CALL_COST + (double)call->uncached + answer;
	charge(call, call->charged);
	call->queue->starts++;
	sch->turn++;
	if (call->attempt == 1)
		sch->retries =
		    MIN(RETRY_MAX, sch->retries + sch->options.retry_share);
	ups_begin(sch->ups, upstream, call->uncached);
	if (call->program[0] != '\0' &&
	    ups_in_pool(sch->ups, upstream, call->request.pool))
		ups_program_hold(sch->ups, call->program, upstream);
	out->call = call->handle;
	out->upstream = upstream;
	out->attempt = call->attempt;
	out->cached_tokens = cached;
	out->arg = call->arg;
}

/* Start at most one call; return false if none can start. */
static bool
start_one(
    struct sch *sch, struct queue *queue, clk_ms now, struct sch_start *out)
{
	while (queue->waiting > 0) {
		struct call *call = pick(sch, queue);
		struct ups_handle upstream;
		int64_t cached = 0;

		if (call->has_fingerprint &&
		    sch_crash_is_blocked(
			sch->crashes, call->fingerprint, now)) {
			wait_end(sch, call);
			call->state = BLOCKED;
			g_queue_push_tail(&sch->blocked, call);
			continue;
		}
		upstream = sch->options.policy->choose(
		    sch->ups, &call->request, sch->turn, &cached);
		if (upstream.generation == 0)
			return (false);
		start(sch, call, upstream, cached, out);
		return (true);
	}
	return (false);
}

size_t
sch_next(struct sch *sch, clk_ms now, struct sch_start *starts, size_t max)
{
	guint count = sch->queues->len;
	size_t n = 0;

	for (guint i = 0; i < count && n < max; i++) {
		struct queue *queue = g_ptr_array_index(
		    sch->queues, (sch->first_queue + i) % count);

		if (queue->waiting == 0)
			continue;
		promote(sch, queue, now);
		while (n < max && ups_pool_open(sch->ups, queue->pool) > 0 &&
		    start_one(sch, queue, now, &starts[n]))
			n++;
	}
	if (count > 0)
		sch->first_queue = (sch->first_queue + 1) % count;
	count_rate(sch, now, (unsigned)n);
	return (n);
}

/* ---- ending ---- */

static enum vd_ran
ran_of(const struct call *call)
{
	return (call->may_have_run ? VD_MAYBE : VD_NOT_RUN);
}

static void
end_waiting(
    struct sch *sch, struct call *call, struct vd vd, struct sch_end *end)
{
	end->call = call->handle;
	end->vd = vd;
	end->arg = call->arg;
	call_drop(sch, call);
}

size_t
sch_expire(struct sch *sch, clk_ms now, struct sch_end *ends, size_t max)
{
	struct ups_heap_item *top;
	struct call *call;
	size_t n = 0;

	while (n < max && (call = g_queue_pop_head(&sch->blocked)) != NULL)
		end_waiting(sch, call, blocked_vd(ran_of(call)), &ends[n++]);
	while (n < max && (top = ups_heap_top(&sch->expiries)) != NULL &&
	    top->key <= (double)now) {
		struct vd vd;

		call = UPS_HEAP_OWNER(top, struct call, expiry);
		wait_end(sch, call);
		vd = vd_make(ran_of(call), VD_QUEUE_FULL,
		    "not started within its deadline");
		vd.retry_after = retry_after(sch, sch->waiting);
		end_waiting(sch, call, vd, &ends[n++]);
	}
	return (n);
}

bool
sch_cancel(struct sch *sch, struct sch_handle handle)
{
	struct call *call = call_get(sch, handle);

	if (call == NULL || call->state == RUNNING)
		return (false);
	if (call->state == BLOCKED)
		(void)g_queue_remove(&sch->blocked, call);
	else
		wait_end(sch, call);
	call_drop(sch, call);
	return (true);
}

void
sch_first_token(struct sch *sch, struct sch_handle handle)
{
	struct call *call = call_get(sch, handle);

	if (call == NULL || call->state != RUNNING || call->prefilled)
		return;
	call->prefilled = true;
	ups_prefilled(sch->ups, call->upstream, call->uncached);
}

static void
settle(struct sch *sch, struct call *call, const struct ups_reply *reply,
    clk_ms now)
{
	double used = CALL_COST + (double)reply->answer_tokens +
	    (double)MAX(0, reply->prompt_tokens - reply->cached_tokens);

	if (used > call->charged)
		charge(call, used - call->charged);
	else
		call->organisation->credit += call->charged - used;
	call->queue->answer +=
	    ((double)reply->answer_tokens - call->queue->answer) *
	    ANSWER_SMOOTH;
	if (call->program[0] != '\0' && reply->prompt_tokens > 0)
		ups_program_cached(sch->ups, call->program, call->upstream,
		    reply->prompt_tokens + reply->answer_tokens);
	ups_end(sch->ups, call->upstream, call->queue_tokens, reply, now);
}

static void
note_crash(struct sch *sch, const struct call *call, clk_ms now)
{
	struct ups_view view;

	if (call->has_fingerprint &&
	    ups_view(sch->ups, call->upstream, now, &view))
		sch_crash_add(
		    sch->crashes, call->fingerprint, view.name, true, now);
}

/* Tell the table of upstreams; return the verdict of a call that ends here. */
static struct vd
apply_outcome(struct sch *sch, struct call *call,
    const struct sch_result *result, clk_ms now)
{
	struct vd vd;

	switch (result->outcome) {
	case SCH_SUCCEEDED:
		settle(sch, call, &result->reply, now);
		return (vd_ok());
	case SCH_CANCELLED:
		call->may_have_run = true;
		ups_cancelled(sch->ups, call->upstream);
		return (vd_make(VD_MAYBE, VD_CANCELLED, "cancelled"));
	case SCH_REFUSED:
		ups_fail(sch->ups, call->upstream, UPS_REFUSED, now);
		return (vd_make(ran_of(call), VD_UPSTREAM_FAILED,
		    "the upstream took no connection"));
	case SCH_BUSY:
		ups_fail(sch->ups, call->upstream, UPS_BUSY, now);
		vd = vd_make(ran_of(call), VD_NO_UPSTREAM,
		    "the upstream takes no more calls");
		vd.retry_after = BUSY_WAIT;
		return (vd);
	case SCH_CRASHED:
		call->may_have_run = true;
		note_crash(sch, call, now);
		ups_fail(sch->ups, call->upstream, UPS_CRASHED, now);
		return (vd_make(VD_MAYBE, VD_UPSTREAM_FAILED,
		    "the upstream closed the connection"));
	case SCH_TIMED_OUT:
	default:
		call->may_have_run = true;
		ups_fail(sch->ups, call->upstream, UPS_TIMED_OUT, now);
		return (vd_make(VD_MAYBE, VD_UPSTREAM_TIMEOUT,
		    "the upstream did not answer in time"));
	}
}

static bool
may_retry(struct sch *sch, const struct call *call,
    const struct sch_result *result, clk_ms now)
{
	switch (result->outcome) {
	case SCH_SUCCEEDED:
	case SCH_CANCELLED:
		return (false);
	case SCH_REFUSED:
	case SCH_BUSY:
		break;
	default:
		if (!result->repeatable)
			return (false);
		break;
	}
	if (call->attempt >= MAX_ATTEMPTS || sch->retries < 1.0)
		return (false);
	if (call->deadline != 0 && now >= call->deadline)
		return (false);
	return (!call->has_fingerprint ||
	    !sch_crash_is_blocked(sch->crashes, call->fingerprint, now));
}

enum sch_next_step
sch_finished(struct sch *sch, struct sch_handle handle,
    const struct sch_result *result, clk_ms now, struct vd *vd)
{
	struct call *call = call_get(sch, handle);

	if (call == NULL || call->state != RUNNING) {
		*vd = vd_make(VD_MAYBE, VD_INTERNAL, "the call does not run");
		return (SCH_DONE);
	}
	sch_first_token(sch, handle);
	*vd = apply_outcome(sch, call, result, now);
	/* Nothing was served by an attempt that did not run. */
	if (result->outcome == SCH_REFUSED || result->outcome == SCH_BUSY)
		call->organisation->credit += call->charged;
	call->organisation->running--;
	sch->running--;
	if (may_retry(sch, call, result, now)) {
		sch->retries -= 1.0;
		call->request.avoid = call->upstream;
		wait_begin(sch, call, now);
		return (SCH_WAITS_AGAIN);
	}
	if (result->outcome == SCH_CRASHED && call->has_fingerprint &&
	    sch_crash_is_blocked(sch->crashes, call->fingerprint, now))
		*vd = blocked_vd(VD_MAYBE);
	call_drop(sch, call);
	return (SCH_DONE);
}

unsigned
sch_waiting(const struct sch *sch)
{
	return (sch->waiting);
}

unsigned
sch_running(const struct sch *sch)
{
	return (sch->running);
}

bool
sch_is_blocked(
    const struct sch *sch, const unsigned char *fingerprint, clk_ms now)
{
	return (sch_crash_is_blocked(sch->crashes, fingerprint, now));
}

void
sch_crash_note(struct sch *sch, const unsigned char *fingerprint,
    const char *upstream, clk_ms now)
{
	sch_crash_add(sch->crashes, fingerprint, upstream, false, now);
}

size_t
sch_crashes(
    const struct sch *sch, clk_ms since, struct sch_crash *crashes, size_t max)
{
	return (sch_crash_list(sch->crashes, since, crashes, max));
}
