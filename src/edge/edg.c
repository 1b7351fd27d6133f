#include "edge/edg.h"

#include <string.h>

#include "edge/edg_impl.h"

/* Period of expiry and gauges, in s. */
#define HOUSEKEEPING_S 0.25
/*
 * An instance whose catalogue was last confirmed longer ago has lost the
 * store; others may not have.  A confirmation is up to two calls old, each of
 * which may wait for 0.5 s and take 0.4 s.
 */
#define STORE_LOST_MS 2000
/*
 * Bounds of the Retry-After while the store is away.  Callers follow it up to
 * a third of their time left, which is 1 to 1.7 s on the users' sheets.
 */
#define RETRY_STORE_MIN_MS 400
#define RETRY_STORE_MAX_MS 1500
/* The least Retry-After of a request above the rate of its organisation. */
#define RETRY_RATE_MIN_MS 100
/* The same for a new program: a turn of another one has ended by then. */
#define RETRY_NEW_PROGRAM_MS 250
/* In force for callers that state no timeout on a route that has none. */
#define DEFAULT_TIMEOUT_MS (30 * CLK_SECOND)

clk_ms
edg_now(const struct edg *edg)
{
	return (clk_now(&edg->deps.clk));
}

clk_ms
edg_store_retry(const struct edg *edg)
{
	return (CLAMP(edg_now(edg) - edg->confirmed, RETRY_STORE_MIN_MS,
	    RETRY_STORE_MAX_MS));
}

struct edg_call *
edg_call_ref(struct edg_call *call)
{
	call->refs++;
	return (call);
}

void
edg_call_unref(struct edg_call *call)
{
	if (--call->refs > 0)
		return;
	turn_free(call->turn);
	if (call->history != NULL)
		(void)g_byte_array_unref(call->history);
	if (call->reply_fields != NULL)
		(void)g_string_free(call->reply_fields, TRUE);
	if (call->reply_body != NULL)
		(void)g_byte_array_unref(call->reply_body);
	sse_clear(&call->sse);
	g_free(call->lender);
	g_free(call->request.parts);
	cat_unref(call->cat);
	g_free(call);
}

void
edg_end(struct edg_call *call, const char *outcome, int status)
{
	struct edg *edg = call->edg;
	clk_ms now = edg_now(edg);
	char id[80];
	char program[80];

	ev_timer_stop(edg->deps.loop, &call->timer);
	edg_send_cancel(call);
	edg_budget_settle(call);
	lg_event(edg->deps.lg, LG_INFO, "request",
	    "request=%s route=%s organisation=%s program=%s outcome=%s "
	    "status=%d upstream=%s tries=%u runs=%u events=%" G_GINT64_FORMAT
	    " took_ms=%" G_GINT64_FORMAT " first_ms=%" G_GINT64_FORMAT
	    " upstream_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
	    " catalogue=%" G_GINT64_FORMAT
	    " catalogue_age_ms=%" G_GINT64_FORMAT,
	    lg_quote(id, sizeof(id),
		call->request.id != NULL ? call->request.id : "-"),
	    call->route != NULL ? call->route->name : "-",
	    call->organisation != NULL ? call->organisation->name : "-",
	    lg_quote(program, sizeof(program),
		call->request.program != NULL ? call->request.program : "-"),
	    outcome, status,
	    call->upstream_id[0] != '\0' ? call->upstream_id : "-", call->tries,
	    call->runs, call->events, now - call->arrived, call->first,
	    call->sent > 0 ? now - call->sent : 0, call->deadline - now,
	    call->cat != NULL ? cat_version(call->cat) : 0,
	    now - edg->confirmed);
	cnt_observe(edg->latency, now - call->arrived);
	cnt_add(cnt_counter(edg->deps.cnt, "requests_total",
		    "Requests by outcome.", "outcome", outcome),
	    1);
	/* The head that the request's strings point into is the client's. */
	call->client = NULL;
	edg_call_unref(call);
}

void
edg_refuse(struct edg_call *call, const struct vd *verdict)
{
	struct hsv_call *client = call->client;
	g_autoptr(GString) fields = g_string_new(NULL);
	g_autofree char *body = NULL;

	if (client == NULL)
		return;
	if (call->is_counted && call->organisation != NULL &&
	    verdict->ran == VD_NOT_RUN)
		quota_refund(call->edg->deps.qta, call->organisation->name);
	body = vd_body(verdict, call->request.id);
	call->edg->deps.wire->verdict_encode(fields, verdict, call->request.id);
	edg_end(call, vd_code_name(verdict->code), verdict->status);
	hsv_answer(client, verdict->status, fields->str, body, strlen(body));
}

void
edg_refuse_not_run(struct edg_call *call, enum vd_code code, clk_ms retry_after,
    const char *detail)
{
	struct vd verdict = vd_make(VD_NOT_RUN, code, "%s", detail);

	verdict.retry_after = retry_after;
	edg_refuse(call, &verdict);
}

static void
deadline_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edg_call *call = watcher->data;
	struct hsv_call *client = call->client;
	struct vd verdict;

	(void)loop;
	(void)events;
	if (call->is_streaming) {
		edg_end(call, "stream_timeout", 0);
		hsv_abort(client);
		return;
	}
	if (call->runs > 0 || call->upstream != NULL)
		verdict = vd_make(VD_MAYBE, VD_UPSTREAM_TIMEOUT,
		    "the upstream did not answer in time");
	else if (call->tries > 0)
		verdict = vd_make(VD_NOT_RUN, VD_NO_UPSTREAM,
		    "no upstream took the request in time");
	else
		verdict = vd_make(VD_NOT_RUN, VD_HISTORY_UNPROVEN,
		    "the store did not answer in time");
	edg_refuse(call, &verdict);
}

/* The organisation that the key belongs to; refuses if there is none. */
static bool
authenticate(struct edg_call *call)
{
	struct edg *edg = call->edg;
	const char *key = call->request.key;

	if (call->route->is_public || !cat_has_organisations(call->cat))
		return (true);
	if (edg_now(edg) - edg->confirmed > edg->settings.max_catalogue_age) {
		edg_refuse_not_run(call, VD_CONFIG_STALE, edg_store_retry(edg),
		    "keys can't be checked: the configuration is too old");
		return (false);
	}
	if (key != NULL)
		call->organisation = cat_key_find(call->cat, key);
	if (call->organisation == NULL) {
		edg_refuse_not_run(call, VD_UNAUTHORIZED, 0, "unknown key");
		return (false);
	}
	return (true);
}

static enum quota_priority
rank_of(const struct edg_call *call)
{
	const char *program = call->request.program;

	if (call->route->kind != CAT_STREAM || program == NULL ||
	    call->request.previous != NULL ||
	    active_programs_contains(call->edg->deps.act, program))
		return (QUOTA_ACTIVE_PROGRAM);
	return (QUOTA_NEW_PROGRAM);
}

static bool
admit_by_rate(struct edg_call *call)
{
	const struct cat_organisation *organisation = call->organisation;
	const struct edg_deps *deps = &call->edg->deps;
	clk_ms now = edg_now(call->edg);
	enum quota_priority rank;
	struct quota_state state;
	clk_ms wait;

	if (organisation == NULL)
		return (true);
	rank = rank_of(call);
	call->is_counted = quota_admit(deps->qta, organisation->name,
	    organisation->rate, organisation->burst, rank, now, &wait);
	if (call->is_counted)
		return (true);
	state = quota_state(deps->qta, organisation->name, now);
	lg_event(deps->lg, LG_INFO, "rate",
	    "request=%s organisation=%s rate=%.0f burst=%.0f new_program=%d "
	    "level=%.1f expected=%.1f part=%.3f share=%.3f own_tick=%u "
	    "wait_ms=%" G_GINT64_FORMAT,
	    call->request.id, organisation->name, organisation->rate,
	    organisation->burst, rank == QUOTA_NEW_PROGRAM, state.level,
	    state.expected, state.part, state.share, state.own_tick, wait);
	edg_refuse_not_run(call, VD_RATE_EXCEEDED,
	    MAX(wait,
		rank == QUOTA_NEW_PROGRAM ? RETRY_NEW_PROGRAM_MS
					  : RETRY_RATE_MIN_MS),
	    "above the organisation's rate");
	return (false);
}

static void
set_deadline(struct edg_call *call)
{
	clk_ms timeout = call->route->timeout;

	if (call->request.timeout > 0 &&
	    (timeout == 0 || call->request.timeout < timeout))
		timeout = call->request.timeout;
	if (timeout == 0)
		timeout = DEFAULT_TIMEOUT_MS;
	call->deadline = call->arrived + timeout;
	ev_timer_set(&call->timer, (double)timeout / 1000.0, 0.0);
	ev_timer_start(call->edg->deps.loop, &call->timer);
}

static void
handle(struct edg_call *call)
{
	struct edg *edg = call->edg;
	const struct hmsg_head *head = hsv_head(call->client);
	const char *problem =
	    edg->deps.wire->request_decode(head, &call->request);

	if (edg->cat == NULL) {
		edg_refuse_not_run(call, VD_CONFIG_STALE, edg_store_retry(edg),
		    "no configuration is known yet");
		return;
	}
	call->cat = cat_ref(edg->cat);
	if (problem != NULL) {
		edg_refuse_not_run(call, VD_BAD_REQUEST, 0, problem);
		return;
	}
	call->route =
	    cat_route_find(call->cat, call->request.host, head->target->str);
	if (call->route == NULL) {
		edg_refuse_not_run(call, VD_NOT_FOUND, 0, "no route");
		return;
	}
	if (!authenticate(call) || !admit_by_rate(call))
		return;
	if (call->request.program != NULL)
		active_programs_add(
		    edg->deps.act, call->request.program, call->arrived);
	call->service_name =
	    cat_service_pick(call->route, g_rand_int(edg->rand));
	call->service = cat_service_find(call->cat, call->service_name);
	set_deadline(call);
	edg_history_load(call);
}

static void
on_request(void *arg, struct hsv_call *client)
{
	struct edg *edg = arg;
	struct edg_call *call = g_new0(struct edg_call, 1);

	call->edg = edg;
	call->refs = 1;
	call->client = client;
	call->arrived = edg_now(edg);
	call->deadline = call->arrived;
	ev_timer_init(&call->timer, deadline_cb, 0.0, 0.0);
	call->timer.data = call;
	hsv_arg_set(client, call);
	/* The call may be over, and freed, when handle() returns. */
	handle(call);
}

static void
on_gone(void *arg, struct hsv_call *client)
{
	struct edg_call *call = hsv_arg(client);

	(void)arg;
	if (call != NULL)
		edg_end(call, "caller_left", 0);
}

static bool
is_store_lost(const struct edg *edg)
{
	return (edg_now(edg) - edg->confirmed > STORE_LOST_MS);
}

static void
housekeeping_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edg *edg = watcher->data;
	clk_ms now = edg_now(edg);

	(void)loop;
	(void)events;
	/* Callers come back through the balancer, to an instance in touch. */
	hsv_drain_set(edg->hsv, edg->draining || is_store_lost(edg));
	turn_cache_expire(edg->turns, now);
	edg_loan_expire(edg);
	budget_expire(edg->bgt, now);
	active_programs_expire(edg->deps.act, now);
	cnt_set(cnt_gauge(edg->deps.cnt, "turn_cache_bytes",
		    "Turns kept in memory.", NULL, NULL),
	    (int64_t)turn_cache_bytes(edg->turns));
	cnt_set(cnt_gauge(edg->deps.cnt, "upstream_connections_opened",
		    "Connections opened to upstreams.", NULL, NULL),
	    (int64_t)hcp_opened(edg->hcp));
	cnt_set(cnt_gauge(edg->deps.cnt, "requests_active",
		    "Requests in progress.", NULL, NULL),
	    (int64_t)hsv_active(edg->hsv));
}

struct edg *
edg_open(const struct edg_deps *deps, const struct edg_settings *settings)
{
	struct edg *edg = g_new0(struct edg, 1);
	const struct hsv_handler handler = {on_request, on_gone, edg};
	const struct cat_limits *limits;
	struct cat *defaults = cat_new(0);
	struct hsv_limits server;

	limits = cat_limits(defaults);
	server = (struct hsv_limits){limits->max_head, limits->max_body,
	    limits->head_timeout, limits->idle_timeout,
	    settings->max_connections};
	cat_unref(defaults);
	edg->deps = *deps;
	edg->settings = *settings;
	edg->session = g_strdup(settings->session);
	edg->settings.session = edg->session;
	edg->hsv = hsv_open(deps->loop, &settings->listen, &server, &handler);
	if (edg->hsv == NULL) {
		g_free(edg->session);
		g_free(edg);
		return (NULL);
	}
	edg->hcp = hcp_open(deps->loop);
	edg->bgt = budget_open(settings->session, settings->retention);
	edg->turns =
	    turn_cache_open(settings->cache_bytes, settings->retention);
	edg_budget_open(edg);
	edg_loan_open(edg);
	edg->rand = g_rand_new();
	edg->instances = 1;
	edg->latency = cnt_histogram(deps->cnt, "request_seconds",
	    "Time from a request's arrival to its end.", NULL, NULL);
	ev_timer_init(&edg->housekeeping, housekeeping_cb, HOUSEKEEPING_S,
	    HOUSEKEEPING_S);
	edg->housekeeping.data = edg;
	ev_timer_start(deps->loop, &edg->housekeeping);
	return (edg);
}

void
edg_close(struct edg *edg)
{
	if (edg == NULL)
		return;
	ev_timer_stop(edg->deps.loop, &edg->housekeeping);
	hsv_close(edg->hsv);
	hcp_close(edg->hcp);
	edg_loan_close(edg);
	edg_budget_close(edg);
	budget_close(edg->bgt);
	turn_cache_close(edg->turns);
	g_rand_free(edg->rand);
	cat_unref(edg->cat);
	g_free(edg->session);
	g_free(edg);
}

void
edg_catalogue_set(struct edg *edg, struct cat *cat)
{
	const struct cat_limits *limits = cat_limits(cat);
	struct hsv_limits server = {limits->max_head, limits->max_body,
	    limits->head_timeout, limits->idle_timeout,
	    edg->settings.max_connections};

	if (edg->cat != NULL && cat_version(cat) <= cat_version(edg->cat))
		return;
	lg_event(edg->deps.lg, LG_NOTICE, "catalogue",
	    "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
	    " routes=%u",
	    cat_version(cat), edg->cat != NULL ? cat_version(edg->cat) : 0,
	    cat_route_count(cat));
	cat_unref(edg->cat);
	edg->cat = cat_ref(cat);
	hsv_limits_set(edg->hsv, &server);
}

void
edg_catalogue_confirm(struct edg *edg, clk_ms when)
{
	edg->confirmed = MAX(edg->confirmed, when);
}

bool
edg_is_ready(const struct edg *edg)
{
	return (!edg->draining && edg->cat != NULL && !is_store_lost(edg));
}

void
edg_drain(struct edg *edg)
{
	edg->draining = true;
	hsv_drain_set(edg->hsv, true);
	edg_budget_drain(edg);
}

void
edg_stop(struct edg *edg)
{
	hsv_stop(edg->hsv);
}

size_t
edg_active(const struct edg *edg)
{
	return (hsv_active(edg->hsv));
}

bool
edg_is_settled(const struct edg *edg)
{
	return (edg_budget_is_settled(edg));
}

void
edg_fleet_set(struct edg *edg, unsigned instances)
{
	edg->instances = MAX(instances, 1U);
	place_instances_set(edg->deps.plc, edg->instances);
}
