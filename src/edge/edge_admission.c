/*
 * Admission to services whose upstreams may all be full, see
 * admission/admission.h: immediately before the choice of an upstream, and for
 * new programs before the request costs a call of the store.
 */
#include "admission/admission.h"

#include <math.h>

#include "edge/edge_internal.h"
#include "lib/fnv.h"

/* Period in which the queue is looked at, besides events. */
#define TICK_S 0.01
/* Time to generate a token at the fastest idle engine in use. */
#define FASTEST_TOKEN_MS 0.77
/* Retry-After of a request that waited at an instance that stops. */
#define RETRY_STOPPING_MS 200
/* Period in which what is not used any more is forgotten. */
#define EXPIRE_PERIOD_MS 1000

struct edge_admission {
	struct admission *admission;
	GQueue waiting; /* struct edge_waiting */
	struct ev_timer tick; /* while requests wait */
	clk_ms expired;
};

/* A request that waits. */
struct edge_waiting {
	struct admission_ticket ticket;
	struct edge_call *call; /* holds a reference */
	struct admission_state state; /* when it began to wait */
	clk_ms since;
	GList link;
};

static const char *const kind_names[] = {
    [ADMISSION_PLAIN] = "plain",
    [ADMISSION_TURN] = "turn",
    [ADMISSION_NEW_PROGRAM] = "new_program",
};

static struct admission_state
state_get(const struct edge_call *call, const struct place_request *request)
{
	struct edge *edge = call->edge;
	struct place_service_load load =
	    place_service_load(edge->deps.place, request, edge_now(edge));

	return ((struct admission_state){
	    load.places, load.running, load.own, edge->instances});
}

/* Upstreams of each software version are a service of their own. */
static char *
service_key(const struct edge_call *call, const char *version)
{
	return (version != NULL
		? g_strdup_printf("%s@%s", call->service_name, version)
		: g_strdup(call->service_name));
}

static enum admission_kind
kind_of(const struct edge_call *call)
{
	if (call->route->kind != CATALOGUE_STREAM)
		return (ADMISSION_PLAIN);
	return (call->is_new_program ? ADMISSION_NEW_PROGRAM : ADMISSION_TURN);
}

static struct admission_request
request_make(const struct edge_call *call, const char *service)
{
	const struct catalogue_organisation *organisation = call->organisation;
	const GByteArray *body = hsv_body(call->client);
	struct admission_request request = {
	    .service = service,
	    .kind = kind_of(call),
	    .priority = call->route->priority,
	    .organisation = call->limit.organisation,
	    .deadline = call->deadline,
	    .bytes = sizeof(*call) + body->len +
		(call->history != NULL ? call->history->len : 0),
	};

	if (organisation != NULL && organisation->priority >= 0)
		request.priority = organisation->priority;
	if (call->program != NULL)
		request.program = active_programs_hash(call->program);
	if (call->request.program_time_left > 0)
		request.program_deadline =
		    call->arrived + call->request.program_time_left;
	if (call->route->kind == CATALOGUE_STREAM)
		request.expected =
		    (clk_ms)(FASTEST_TOKEN_MS * call->request.length_hint);
	return (request);
}

static void
outcome_record(const struct edge_call *call, enum admission_kind kind,
    const struct admission_state *state, const char *outcome, clk_ms waited)
{
	struct edge *edge = call->edge;
	char service[80];

	lg_event(edge->deps.lg, LG_INFO, "admission",
	    "request=%s service=%s kind=%s outcome=%s places=%.1f "
	    "running=%.1f own=%.1f waiting=%u waited_ms=%" G_GINT64_FORMAT
	    " left_ms=%" G_GINT64_FORMAT,
	    call->request.id,
	    lg_quote(service, sizeof(service), call->service_name),
	    kind_names[kind], outcome, state->places, state->running,
	    state->own, admission_waiting(edge->admission->admission), waited,
	    call->deadline - edge_now(edge));
	cnt_add(
	    cnt_counter(edge->deps.cnt, "admission_total",
		"Requests to full services, by outcome.", "outcome", outcome),
	    1);
}

static void
gauges_set(struct edge *edge)
{
	const struct admission *admission = edge->admission->admission;

	cnt_set(
	    cnt_gauge(edge->deps.cnt, "admission_waiting",
		"Requests that wait for a place at an upstream.", NULL, NULL),
	    admission_waiting(admission));
	cnt_set(cnt_gauge(edge->deps.cnt, "admission_waiting_bytes",
		    "Bytes of the requests that wait for a place.", NULL, NULL),
	    (int64_t)admission_bytes(admission));
}

static void
call_refuse(struct edge_call *call, clk_ms retry_after)
{
	if (call->runs > 0)
		edge_refuse_unless_run(call, retry_after, "");
	else
		edge_refuse_not_run(
		    call, VD_QUEUE_FULL, retry_after, "all upstreams are full");
}

/*
 * Ends the wait of a call whose ticket is not in the queue any more.  The
 * caller of this function holds a reference to the call.
 */
static void
waiting_end(struct edge_call *call)
{
	struct edge *edge = call->edge;
	struct edge_waiting *waiting = call->waiting;
	clk_ms waited = edge_now(edge) - waiting->since;

	call->waited += waited;
	cnt_observe(
	    cnt_histogram(edge->deps.cnt, "admission_wait_seconds",
		"Time for which requests waited for a place.", NULL, NULL),
	    waited);
	call->waiting = NULL;
	g_queue_unlink(&edge->admission->waiting, &waiting->link);
	g_free(waiting);
	gauges_set(edge);
	if (g_queue_is_empty(&edge->admission->waiting))
		ev_timer_stop(edge->deps.loop, &edge->admission->tick);
	edge_call_unref(call);
}

bool
edge_admission_cancel(struct edge_call *call)
{
	struct edge_waiting *waiting = call->waiting;

	if (waiting == NULL)
		return (false);
	admission_cancel(call->edge->admission->admission, &waiting->ticket);
	outcome_record(call, waiting->ticket.request.kind, &waiting->state,
	    "cancelled", edge_now(call->edge) - waiting->since);
	waiting_end(call);
	return (true);
}

/* Refuses a request whose ticket is not in the queue any more. */
static void
ticket_refuse(struct admission_ticket *ticket, enum admission_reason reason)
{
	struct edge_waiting *waiting = ticket->arg;
	struct edge_call *call = edge_call_ref(waiting->call);
	struct edge *edge = call->edge;
	clk_ms retry_after = admission_retry_after(
	    edge->admission->admission, &ticket->request, edge_now(edge));

	outcome_record(call, ticket->request.kind, &waiting->state,
	    admission_reason_name(reason), edge_now(edge) - waiting->since);
	waiting_end(call);
	call_refuse(call, retry_after);
	edge_call_unref(call);
}

/*
 * Whether the request's key still holds in the newest configuration, and that
 * is not too old: it was checked when the request arrived.  Otherwise refuses
 * the request, which does not wait any more.
 */
static bool
is_still_allowed(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const struct catalogue_organisation *organisation;

	if (call->organisation == NULL)
		return (true);
	if (edge_now(edge) - edge->confirmed >
	    edge->settings.max_catalogue_age) {
		edge_refuse_not_run(call, VD_CONFIG_STALE,
		    edge_store_retry_after(edge),
		    "keys can't be checked: the configuration is too old");
		return (false);
	}
	if (edge->catalogue == call->catalogue)
		return (true);
	organisation = catalogue_key_find(edge->catalogue, call->request.key);
	if (organisation != NULL &&
	    g_strcmp0(organisation->name, call->organisation->name) == 0)
		return (true);
	edge_refuse_not_run(call, VD_UNAUTHORIZED, 0, "unknown key");
	return (false);
}

static void
ticket_send(
    struct admission_ticket *ticket, const struct admission_state *state)
{
	struct edge_waiting *waiting = ticket->arg;
	struct edge_call *call = edge_call_ref(waiting->call);

	outcome_record(call, ticket->request.kind, state, "sent",
	    edge_now(call->edge) - waiting->since);
	waiting_end(call);
	call->is_admitted = true;
	if (call->runs > 0 || is_still_allowed(call))
		edge_upstream_send(call);
	edge_call_unref(call);
}

/* Sends what may be sent of one service. */
static void
service_run(struct edge *edge, const char *service)
{
	struct admission *admission = edge->admission->admission;
	const struct admission_ticket *any;

	while ((any = admission_first(admission, service)) != NULL) {
		const struct edge_waiting *waiting = any->arg;
		struct place_request request =
		    edge_place_request(waiting->call);
		struct admission_state state;
		struct admission_ticket *next;

		request.tried_count = 0;
		if (!edge_version_request(waiting->call, &request))
			request.version = NULL;
		state = state_get(waiting->call, &request);
		next =
		    admission_next(admission, &state, service, edge_now(edge));
		if (next == NULL)
			break;
		ticket_send(next, &state);
	}
}

static void
queue_run(struct edge *edge)
{
	struct admission *admission = edge->admission->admission;
	struct admission_ticket *ticket;
	g_autoptr(GPtrArray) services = NULL;

	if (admission_waiting(admission) == 0)
		return;
	while ((ticket = admission_expired(admission, edge_now(edge))) != NULL)
		ticket_refuse(ticket, ADMISSION_TIMED_OUT);
	services = admission_services(admission);
	for (guint i = 0; i < services->len; i++)
		service_run(edge, services->pdata[i]);
}

static void
tick_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	queue_run(watcher->data);
}

static void
wait_begin(struct edge_call *call, const struct admission_request *request,
    const struct admission_state *state)
{
	struct edge *edge = call->edge;
	struct edge_waiting *waiting = g_new0(struct edge_waiting, 1);
	struct admission_ticket *displaced;

	waiting->call = edge_call_ref(call);
	waiting->state = *state;
	waiting->since = edge_now(edge);
	waiting->link.data = waiting;
	waiting->ticket.arg = waiting;
	call->waiting = waiting;
	g_queue_push_tail_link(&edge->admission->waiting, &waiting->link);
	if (!ev_is_active(&edge->admission->tick))
		ev_timer_again(edge->deps.loop, &edge->admission->tick);
	displaced = admission_wait(edge->admission->admission, &waiting->ticket,
	    request, edge_now(edge));
	gauges_set(edge);
	if (displaced != NULL)
		ticket_refuse(displaced, ADMISSION_NO_ROOM);
}

static void
decision_refuse(struct edge_call *call, enum admission_kind kind,
    const struct admission_state *state,
    const struct admission_verdict *verdict)
{
	outcome_record(
	    call, kind, state, admission_reason_name(verdict->reason), 0);
	call_refuse(call, verdict->retry_after);
}

/*
 * Whether this is the first request of a program.  In a large fleet the
 * organisation's home knows better than this instance, and has named the
 * instance to which the first one came.
 */
static bool
is_new_program(const struct edge_call *call)
{
	const struct edge *edge = call->edge;
	const char *home;

	if (call->route->kind != CATALOGUE_STREAM || call->program == NULL ||
	    call->request.previous_turn != NULL || call->request.is_resumed)
		return (false);
	if (call->organisation == NULL)
		return (!active_programs_contains(
		    edge->deps.activity, call->program));
	if (call->priority != QUOTA_NEW_PROGRAM)
		return (false);
	home = active_programs_home(edge->deps.activity, call->program);
	return (home == NULL ||
	    roster_hash(home) == roster_own_hash(edge->deps.roster));
}

bool
edge_admission_begin(struct edge_call *call)
{
	struct edge *edge = call->edge;
	struct place_request place_request;
	struct admission_request request;
	struct admission_state state;
	struct admission_verdict verdict;

	call->is_new_program = is_new_program(call);
	if (!call->is_new_program)
		return (true);
	place_request = edge_place_request(call);
	request = request_make(call, call->service_name);
	state = state_get(call, &place_request);
	verdict = admission_decide(
	    edge->admission->admission, &state, &request, edge_now(edge));
	if (verdict.answer != ADMISSION_REFUSE)
		return (true);
	decision_refuse(call, request.kind, &state, &verdict);
	return (false);
}

bool
edge_admission_pass(struct edge_call *call)
{
	struct edge *edge = call->edge;
	struct admission *admission = edge->admission->admission;
	struct place_request place_request;
	struct admission_request request;
	struct admission_state state;
	struct admission_verdict verdict;
	g_autofree char *service = NULL;

	/* The caller of a stream that has begun does not wait. */
	if (call->is_admitted || call->events > 0) {
		call->is_admitted = false;
		return (true);
	}
	place_request = edge_place_request(call);
	if (!edge_version_request(call, &place_request))
		return (true);
	service = service_key(call, place_request.version);
	request = request_make(call, service);
	state = state_get(call, &place_request);
	verdict = admission_decide(admission, &state, &request, edge_now(edge));
	switch (verdict.answer) {
	case ADMISSION_SEND:
		admission_sent(admission, &request, edge_now(edge));
		return (true);
	case ADMISSION_WAIT:
		wait_begin(call, &request, &state);
		break;
	case ADMISSION_REFUSE:
		decision_refuse(call, request.kind, &state, &verdict);
		break;
	}
	return (false);
}

void
edge_admission_ended(struct edge_call *call)
{
	struct edge *edge = call->edge;
	g_autofree char *service = service_key(call, call->version);

	admission_ended(edge->admission->admission, service, edge_now(edge));
	/* The queue is looked at once this request is done with. */
	if (admission_waiting(edge->admission->admission) > 0)
		ev_feed_event(
		    edge->deps.loop, &edge->admission->tick, EV_TIMER);
}

void
edge_admission_tick(struct edge *edge)
{
	struct edge_admission *step = edge->admission;
	clk_ms now = edge_now(edge);

	if (now - step->expired >= EXPIRE_PERIOD_MS) {
		step->expired = now;
		admission_expire(step->admission, now);
	}
	queue_run(edge);
}

/* Calls each() for all that wait; each of them may end. */
static void
waiting_foreach(struct edge *edge, void (*each)(struct edge_call *call))
{
	GList *link = edge->admission->waiting.head;

	while (link != NULL) {
		struct edge_call *call =
		    edge_call_ref(((struct edge_waiting *)link->data)->call);

		link = link->next;
		each(call);
		edge_call_unref(call);
	}
}

static void
allowed_check(struct edge_call *call)
{
	if (call->runs == 0)
		(void)is_still_allowed(call);
}

void
edge_admission_catalogue(struct edge *edge)
{
	waiting_foreach(edge, allowed_check);
}

static void
stop_check(struct edge_call *call)
{
	if (call->deadline <= call->edge->stop_at)
		return;
	if (call->runs > 0)
		edge_refuse_unless_run(call, RETRY_STOPPING_MS, "");
	else
		edge_refuse_not_run(call, VD_STOPPING, RETRY_STOPPING_MS,
		    "the instance stops before the request's time is over");
}

void
edge_admission_stop(struct edge *edge)
{
	waiting_foreach(edge, stop_check);
}

void
edge_admission_open(struct edge *edge)
{
	struct edge_admission *step = g_new0(struct edge_admission, 1);

	step->admission = admission_open(g_random_int());
	ev_timer_init(&step->tick, tick_cb, TICK_S, TICK_S);
	step->tick.data = edge;
	edge->admission = step;
}

void
edge_admission_close(struct edge *edge)
{
	struct edge_admission *step = edge->admission;

	ev_timer_stop(edge->deps.loop, &step->tick);
	admission_close(step->admission);
	g_free(step);
}
