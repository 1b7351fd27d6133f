#include "edge/edge.h"

#include <string.h>

#include "edge/edge_internal.h"

#define HOUSEKEEPING_PERIOD_S 0.25
/*
 * Bounds of the Retry-After while the store is unreachable.  Callers follow a
 * Retry-After of up to a third of their remaining time, which is 1 to 1.7 s.
 */
#define RETRY_STORE_MIN_MS 400
#define RETRY_STORE_MAX_MS 1500
/*
 * Time after which the load balancer sends callers to other instances: two
 * probes, 1 s apart, and what they take.
 */
#define ROTATION_MS 2300
/* Lowest Retry-After of a request that is better served by another instance. */
#define RETRY_ELSEWHERE_MIN_MS 200
/*
 * Callers abandon a stream after a gap of 2 s, or of a multiple of the first
 * event's objective or of the longest pause between events, whichever is
 * longest.
 */
#define CALLER_GAP_MS	      2000
#define CALLER_GAP_OBJECTIVES 4
#define CALLER_GAP_PAUSES     8
/* Timeout of a request if neither its caller nor its route states one. */
#define DEFAULT_TIMEOUT_MS (30 * CLK_SECOND)

clk_ms
edge_now(const struct edge *edge)
{
	return (clk_now(&edge->deps.clk));
}

clk_ms
edge_store_retry_after(const struct edge *edge)
{
	clk_ms now = edge_now(edge);

	if (edge->worse_since > 0)
		return (MAX(ROTATION_MS - (now - edge->worse_since),
		    RETRY_ELSEWHERE_MIN_MS));
	return (CLAMP(edge_now(edge) - edge->confirmed, RETRY_STORE_MIN_MS,
	    RETRY_STORE_MAX_MS));
}

clk_ms
edge_caller_gap(const struct catalogue_route *route)
{
	clk_ms objective = CALLER_GAP_OBJECTIVES * route->target_latency;
	clk_ms pauses = CALLER_GAP_PAUSES * route->target_gap;

	return (MAX(CALLER_GAP_MS, MAX(objective, pauses)));
}

struct edge_call *
edge_call_ref(struct edge_call *call)
{
	call->refs++;
	return (call);
}

void
edge_call_unref(struct edge_call *call)
{
	if (--call->refs > 0)
		return;
	edge_copies_release(call);
	turn_unref(call->turn);
	edge_checkpoint_free(call);
	call->edge->reply_bytes -= call->held_bytes;
	if (call->turns_read != NULL)
		g_ptr_array_unref(call->turns_read);
	if (call->history != NULL)
		(void)g_byte_array_unref(call->history);
	if (call->reply_fields != NULL)
		(void)g_string_free(call->reply_fields, TRUE);
	edge_reply_clear(call);
	if (call->reply_body != NULL)
		(void)g_byte_array_unref(call->reply_body);
	sse_clear(&call->sse);
	if (call->last_id != NULL)
		(void)g_string_free(call->last_id, TRUE);
	g_free(call->program);
	g_free(call->turn_id);
	g_free(call->previous_turn);
	g_free(call->lender);
	g_free(call->version);
	g_free(call->recorded);
	g_free(call->request.parts);
	catalogue_unref(call->catalogue);
	g_free(call);
}

void
edge_call_end(struct edge_call *call, const char *outcome, int status)
{
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);
	char id[80];
	char program[80];
	char resumes[80];
	char route[80];
	char organisation[80];

	ev_timer_stop(edge->deps.loop, &call->timer);
	edge_outage_cancel(call);
	(void)edge_admission_cancel(call);
	edge_upstream_cancel(call);
	edge_budget_settle(call);
	lg_event(edge->deps.lg, LG_INFO, "request",
	    "request=%s route=%s organisation=%s program=%s outcome=%s "
	    "status=%d upstream=%s tries=%u runs=%u events=%" G_GINT64_FORMAT
	    " took_ms=%" G_GINT64_FORMAT " first_ms=%" G_GINT64_FORMAT
	    " upstream_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
	    " catalogue=%" G_GINT64_FORMAT " catalogue_age_ms=%" G_GINT64_FORMAT
	    " rate_level=%.1f rate_unreported=%u resumed=%d resumes=%s"
	    " lost=%u queued_ms=%" G_GINT64_FORMAT,
	    lg_quote(id, sizeof(id),
		call->request.id != NULL ? call->request.id : "-"),
	    lg_quote(route, sizeof(route),
		call->route != NULL ? call->route->name : "-"),
	    lg_quote(organisation, sizeof(organisation),
		call->organisation != NULL ? call->organisation->name : "-"),
	    lg_quote(program, sizeof(program),
		call->request.program != NULL ? call->request.program : "-"),
	    outcome, status,
	    call->upstream_id[0] != '\0' ? call->upstream_id : "-",
	    call->attempts, call->runs, call->events, now - call->arrived,
	    call->first_event_ms, call->sent_at > 0 ? now - call->sent_at : 0,
	    call->deadline - now,
	    call->catalogue != NULL ? catalogue_version(call->catalogue) : 0,
	    now - edge->confirmed, call->rate.level, call->rate.unreported,
	    call->request.is_resumed,
	    lg_quote(resumes, sizeof(resumes),
		call->request.resumes != NULL ? call->request.resumes : "-"),
	    call->lost, call->waited);
	if (strcmp(outcome, "served") == 0)
		edge_outage_ran(call);
	cnt_observe(edge->latency, now - call->arrived);
	cnt_add(cnt_counter(edge->deps.cnt, "requests_total",
		    "Requests by outcome.", "outcome", outcome),
	    1);
	/* The request's strings point into the head that the client owns. */
	call->client = NULL;
	g_queue_unlink(&edge->calls, &call->link);
	edge_call_unref(call);
}

void
edge_refuse(struct edge_call *call, const struct vd *verdict)
{
	struct hsv_call *client = call->client;
	g_autoptr(GString) fields = g_string_new(NULL);
	g_autofree char *body = NULL;

	if (client == NULL)
		return;
	if (hsv_is_streaming(client)) {
		/* The stream has begun, and no other upstream can go on. */
		edge_call_end(call, "stream_cut", 0);
		hsv_abort(client);
		return;
	}
	if (verdict->ran == VD_NOT_RUN)
		edge_rate_refund(call);
	body = vd_body(verdict, call->request.id);
	call->edge->deps.wire->verdict_encode(
	    fields, verdict, call->request.id);
	edge_call_end(call, vd_code_name(verdict->code), verdict->status);
	hsv_answer(client, verdict->status, fields->str, body, strlen(body));
}

void
edge_refuse_not_run(struct edge_call *call, enum vd_code code,
    clk_ms retry_after, const char *detail)
{
	struct vd verdict = vd_make(VD_NOT_RUN, code, "%s", detail);

	verdict.retry_after = retry_after;
	edge_refuse(call, &verdict);
}

void
edge_refuse_unless_run(
    struct edge_call *call, clk_ms retry_after, const char *detail)
{
	struct vd verdict;

	if (call->runs == 0) {
		edge_refuse_not_run(call, VD_NO_UPSTREAM, retry_after, detail);
		return;
	}
	verdict = vd_make(VD_MAYBE, VD_UPSTREAM_FAILED,
	    "the upstream failed and there is no other");
	edge_refuse(call, &verdict);
}

/* End a request that has no more time. */
static void
call_expire(struct edge_call *call)
{
	struct hsv_call *client = call->client;
	struct vd verdict;

	if (hsv_is_streaming(client)) {
		edge_call_end(call, "stream_timeout", 0);
		hsv_abort(client);
		return;
	}
	if (call->runs > 0 || call->upstream != NULL)
		verdict = vd_make(VD_MAYBE, VD_UPSTREAM_TIMEOUT,
		    "the upstream did not answer in time");
	else if (call->attempts > 0 || call->waiting != NULL)
		verdict = vd_make(VD_NOT_RUN, VD_NO_UPSTREAM,
		    "no upstream accepted the request in time");
	else
		verdict = vd_make(VD_NOT_RUN, VD_HISTORY_UNPROVEN,
		    "the store did not answer in time");
	edge_refuse(call, &verdict);
}

static void
deadline_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	call_expire(watcher->data);
}

static void request_match(struct edge_call *call);

/* Look up the organisation of the key; refuse the request if none has it. */
static bool
authenticate(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const char *key = call->request.key;

	if (call->route->is_public ||
	    !catalogue_has_organisations(call->catalogue))
		return (true);
	if (edge_now(edge) - edge->confirmed >
	    edge->settings.max_catalogue_age) {
		/* It is matched again once the configuration is confirmed. */
		(void)edge_outage_hold(call, NULL, request_match);
		return (false);
	}
	if (key != NULL)
		call->organisation = catalogue_key_find(call->catalogue, key);
	if (call->organisation == NULL) {
		edge_refuse_not_run(call, VD_UNAUTHORIZED, 0, "unknown key");
		return (false);
	}
	return (true);
}

/*
 * The length of the name keeps two pairs of name and id apart.  An id that is
 * no key of the store is replaced by its digest, which no other id can be.
 */
char *
edge_scoped_id(const struct edge_call *call, const char *id, size_t max)
{
	const char *name =
	    call->organisation != NULL ? call->organisation->name : "";
	g_autofree char *scoped = NULL;
	g_autofree char *digest = NULL;

	if (id == NULL)
		return (NULL);
	scoped = g_strdup_printf("%zu/%s/%s", strlen(name), name, id);
	if (strlen(scoped) <= max && g_utf8_validate(scoped, -1, NULL))
		return (g_steal_pointer(&scoped));
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, scoped, -1);
	return (g_strconcat("#", digest, NULL));
}

/*
 * Callers choose their ids, and two organisations may choose the same: they
 * must not share a program's budget or overwrite each other's turns.
 */
static void
scope_ids(struct edge_call *call)
{
	call->program =
	    edge_scoped_id(call, call->request.program, STORE_KEY_MAX);
	call->turn_id = edge_scoped_id(call, call->request.id, TURN_ID_MAX);
	call->previous_turn =
	    edge_scoped_id(call, call->request.previous_turn, TURN_ID_MAX);
}

static void
set_deadline(struct edge_call *call)
{
	clk_ms timeout = call->route->timeout;

	if (call->request.timeout > 0 &&
	    (timeout == 0 || call->request.timeout < timeout))
		timeout = call->request.timeout;
	if (timeout == 0)
		timeout = DEFAULT_TIMEOUT_MS;
	call->deadline = call->arrived + timeout;
	timeout = MAX(call->deadline - edge_now(call->edge), 1);
	ev_timer_stop(call->edge->deps.loop, &call->timer);
	ev_timer_set(&call->timer, (double)timeout / 1000.0, 0.0);
	ev_timer_start(call->edge->deps.loop, &call->timer);
}

/* Find the route and the organisation in the newest configuration. */
static void
request_match(struct edge_call *call)
{
	struct edge *edge = call->edge;

	catalogue_unref(call->catalogue);
	call->catalogue = catalogue_ref(edge->catalogue);
	call->route = catalogue_route_find(call->catalogue, call->request.host,
	    hsv_head(call->client)->target->str);
	if (call->route == NULL) {
		edge_refuse_not_run(call, VD_NOT_FOUND, 0, "no route");
		return;
	}
	set_deadline(call);
	if (!authenticate(call))
		return;
	scope_ids(call);
	edge_rate_admit(call);
}

static void
request_handle(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const struct hmsg_head *head = hsv_head(call->client);
	const char *problem =
	    edge->deps.wire->request_decode(head, &call->request);

	if (edge->catalogue == NULL) {
		edge_refuse_not_run(call, VD_CONFIG_STALE,
		    edge_store_retry_after(edge),
		    "no configuration is known yet");
		return;
	}
	call->catalogue = catalogue_ref(edge->catalogue);
	if (problem != NULL) {
		edge_refuse_not_run(call, VD_BAD_REQUEST, 0, problem);
		return;
	}
	request_match(call);
}

void
edge_call_admitted(struct edge_call *call)
{
	struct edge *edge = call->edge;

	if (hsv_is_early(call->client)) {
		/* The rate had room again a moment later. */
		edge_refuse_not_run(call, VD_RATE_EXCEEDED,
		    RETRY_ELSEWHERE_MIN_MS, "above the organisation's rate");
		return;
	}
	call->service_name =
	    catalogue_service_pick(call->route, edge_version_draw(call));
	call->service =
	    catalogue_service_find(call->catalogue, call->service_name);
	if (edge->is_stopped && call->deadline > edge->stop_at) {
		edge_refuse_not_run(call, VD_STOPPING, RETRY_ELSEWHERE_MIN_MS,
		    "the instance stops before the request's time is over");
		return;
	}
	if (!edge_admission_begin(call))
		return;
	if (call->program != NULL)
		active_programs_add(
		    edge->deps.activity, call->program, call->arrived);
	if (edge_version_admit(call))
		edge_history_load(call);
}

static void
on_request(void *arg, struct hsv_call *client)
{
	struct edge *edge = arg;
	struct edge_call *call = g_new0(struct edge_call, 1);

	call->edge = edge;
	call->refs = 1;
	call->client = client;
	call->arrived = edge_now(edge);
	call->deadline = call->arrived;
	ev_timer_init(&call->timer, deadline_cb, 0.0, 0.0);
	call->timer.data = call;
	hsv_arg_set(client, call);
	call->link.data = call;
	g_queue_push_tail_link(&edge->calls, &call->link);
	/* request_handle() may end and free the call. */
	request_handle(call);
}

static void
on_client_closed(void *arg, struct hsv_call *client)
{
	struct edge_call *call = hsv_arg(client);

	(void)arg;
	if (call != NULL)
		edge_call_end(call, "caller_left", 0);
}

bool
edge_is_worse_off(const struct edge *edge)
{
	return (edge->worse_since > 0);
}

/*
 * Callers are better served elsewhere as long as the store answers others and
 * not this instance.  If it answers nobody, they may as well stay.
 */
static void
worse_off_check(struct edge *edge)
{
	clk_ms now = edge_now(edge);
	clk_ms age = now - edge->store_answered;
	bool was = edge->worse_since > 0;
	bool is = reach_is_worse_off(edge->deps.reach, age, now);

	if (is == was)
		return;
	edge->worse_since = is ? now : 0;
	lg_event(edge->deps.lg, LG_NOTICE, "worse_off",
	    "worse=%d store_age_ms=%" G_GINT64_FORMAT, is, age);
}

void
edge_tick(struct edge *edge)
{
	worse_off_check(edge);
	/*
	 * Connections are drained: callers reconnect through the load balancer
	 * to another instance.
	 */
	hsv_drain_set(edge->hsv, edge->draining || !edge_is_ready(edge));
	edge_probes_tick(edge);
	edge_outage_tick(edge);
	edge_admission_tick(edge);
}

static void
housekeeping_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge *edge = watcher->data;
	clk_ms now = edge_now(edge);

	(void)loop;
	(void)events;
	turn_cache_expire(edge->turns, now);
	edge_loan_expire(edge);
	budget_expire(edge->budgets, now);
	active_programs_expire(edge->deps.activity, now);
	cnt_set(cnt_gauge(edge->deps.cnt, "turn_cache_bytes",
		    "Turns kept in memory.", NULL, NULL),
	    (int64_t)turn_cache_bytes(edge->turns));
	cnt_set(cnt_gauge(edge->deps.cnt, "upstreams_limited",
		    "Upstreams that name the rate they take.", NULL, NULL),
	    throttle_limited(edge->deps.throttle));
	cnt_set(cnt_gauge(edge->deps.cnt, "upstream_connections_opened",
		    "Connections opened to upstreams.", NULL, NULL),
	    (int64_t)hcp_opened(edge->hcp));
	cnt_set(
	    cnt_gauge(edge->deps.cnt, "unsent_bytes",
		"Bytes of answers that callers have not read yet.", NULL, NULL),
	    (int64_t)hsv_unsent(edge->hsv));
	cnt_set(cnt_gauge(edge->deps.cnt, "requests_active",
		    "Requests in progress.", NULL, NULL),
	    (int64_t)hsv_active(edge->hsv));
	edge_intake_tick(edge);
}

struct edge *
edge_open(const struct edge_deps *deps, const struct edge_settings *settings)
{
	struct edge *edge = g_new0(struct edge, 1);
	const struct hsv_handler handler = {on_request, on_client_closed, edge};
	const struct catalogue_limits *limits;
	struct catalogue *defaults = catalogue_new(0);
	struct hsv_limits server;

	limits = catalogue_limits(defaults);
	server = (struct hsv_limits){limits->max_head, limits->max_body,
	    limits->head_timeout, limits->idle_timeout,
	    settings->max_connections};
	catalogue_unref(defaults);
	edge->deps = *deps;
	edge->settings = *settings;
	edge->session = g_strdup(settings->session);
	edge->store_answered = clk_now(&deps->clk);
	edge->settings.session = edge->session;
	edge->hsv = hsv_open(deps->loop, &settings->listen, &server, &handler);
	if (edge->hsv == NULL) {
		g_free(edge->session);
		g_free(edge);
		return (NULL);
	}
	edge->hcp = hcp_open(deps->loop);
	edge_intake_open(edge);
	edge->budgets = budget_open(settings->session, settings->retention);
	edge->turns =
	    turn_cache_open(settings->cache_bytes, settings->retention);
	edge_outage_open(edge);
	edge_budget_open(edge);
	edge_loan_open(edge);
	edge_rate_open(edge);
	edge_throttle_open(edge);
	edge_reach_open(edge);
	edge_rollout_open(edge);
	edge_history_open(edge);
	edge_checkpoint_open(edge);
	edge_admission_open(edge);
	edge->rand = g_rand_new();
	edge->instances = 1;
	edge->latency = cnt_histogram(deps->cnt, "request_seconds",
	    "Time from a request's arrival to its end.", NULL, NULL);
	ev_timer_init(&edge->housekeeping, housekeeping_cb,
	    HOUSEKEEPING_PERIOD_S, HOUSEKEEPING_PERIOD_S);
	edge->housekeeping.data = edge;
	ev_timer_start(deps->loop, &edge->housekeeping);
	return (edge);
}

/* Free the requests in progress, whose connections are closed. */
static void
calls_drop(struct edge *edge)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&edge->calls)) != NULL) {
		struct edge_call *call = link->data;

		ev_timer_stop(edge->deps.loop, &call->timer);
		call->client = NULL;
		edge_call_unref(call);
	}
}

void
edge_close(struct edge *edge)
{
	if (edge == NULL)
		return;
	ev_timer_stop(edge->deps.loop, &edge->housekeeping);
	hsv_close(edge->hsv);
	hcp_close(edge->hcp);
	edge_loan_close(edge);
	edge_rate_close(edge);
	edge_throttle_close(edge);
	edge_reach_close(edge);
	edge_rollout_close(edge);
	edge_history_close(edge);
	edge_checkpoint_close(edge);
	edge_admission_close(edge);
	edge_budget_close(edge);
	edge_outage_close(edge);
	calls_drop(edge);
	budget_close(edge->budgets);
	turn_cache_close(edge->turns);
	g_rand_free(edge->rand);
	catalogue_unref(edge->catalogue);
	g_free(edge->session);
	g_free(edge);
}

void
edge_catalogue_set(struct edge *edge, struct catalogue *catalogue)
{
	const struct catalogue_limits *limits = catalogue_limits(catalogue);
	struct hsv_limits server = {limits->max_head, limits->max_body,
	    limits->head_timeout, limits->idle_timeout,
	    edge->settings.max_connections};

	if (edge->catalogue != NULL &&
	    catalogue_version(catalogue) <= catalogue_version(edge->catalogue))
		return;
	lg_event(edge->deps.lg, LG_NOTICE, "catalogue",
	    "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
	    " routes=%u",
	    catalogue_version(catalogue),
	    edge->catalogue != NULL ? catalogue_version(edge->catalogue) : 0,
	    catalogue_route_count(catalogue));
	catalogue_unref(edge->catalogue);
	edge->catalogue = catalogue_ref(catalogue);
	edge_rollout_timeout_set(edge, catalogue_stream_timeout(catalogue));
	hsv_limits_set(edge->hsv, &server);
	edge_admission_catalogue(edge);
}

void
edge_catalogue_confirm(struct edge *edge, clk_ms when)
{
	edge->confirmed = MAX(edge->confirmed, when);
}

bool
edge_is_current(const struct edge *edge)
{
	return (edge->catalogue != NULL &&
	    edge_now(edge) - edge->confirmed <=
		edge->settings.max_catalogue_age);
}

bool
edge_is_ready(const struct edge *edge)
{
	return (!edge->draining && edge_is_current(edge) &&
	    rollout_is_read(edge->rollout) && edge->worse_since == 0);
}

void
edge_drain(struct edge *edge, clk_ms stop_at)
{
	edge->draining = true;
	edge->stop_at = stop_at;
	hsv_drain_set(edge->hsv, true);
	edge_budget_drain(edge);
}

void
edge_stop(struct edge *edge)
{
	edge->is_stopped = true;
	hsv_stop(edge->hsv);
	edge_admission_stop(edge);
	if (edge_now(edge) < edge->stop_at)
		return;
	/* A call is unlinked when it ends. */
	while (!g_queue_is_empty(&edge->calls))
		call_expire(g_queue_peek_head(&edge->calls));
}

size_t
edge_active_count(const struct edge *edge)
{
	return (hsv_active(edge->hsv));
}

bool
edge_is_settled(const struct edge *edge)
{
	return (edge_budget_is_settled(edge));
}

void
edge_fleet_size_set(struct edge *edge, unsigned instances)
{
	edge->instances = MAX(instances, 1U);
	place_instances_set(edge->deps.place, edge->instances);
}
