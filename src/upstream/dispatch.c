#include "upstream/dispatch.h"

#include <glib.h>
#include <string.h>

#include "daemon/defer.h"
#include "program/program.h"
#include "sched/sched.h"
#include "upstream/upstream.h"

#define TICK_S		   0.1
#define MAX_HOLDERS	   64
#define MAX_STARTS	   64
#define LOAD_INTERVAL_MS   ((clk_ms)500)
#define POLL_TIMEOUT_MS	   ((clk_ms)1000)
#define EVENTS_INTERVAL_MS ((clk_ms)1000)
#define CONNECT_TIMEOUT_MS ((clk_ms)1000)
#define QUEUE_TIMEOUT_MS   (30 * CLK_SECOND)
/* Longest pause of an engine within an answer. */
#define MODEL_IDLE_TIMEOUT_MS (20 * CLK_SECOND)
#define MODEL_TIMEOUT_MS      (15 * CLK_MINUTE)
#define CANCEL_TIMEOUT_MS     (2 * CLK_SECOND)
#define RELEASE_TIMEOUT_MS    (2 * CLK_SECOND)
/* How long a crash is reported to peers. */
#define CRASH_REPORT_MS (60 * CLK_SECOND)

struct dispatch_call {
	struct dispatch *dispatch;
	struct dispatch_request request; /* its strings are in strings */
	char *strings[10];
	unsigned n_strings;
	GBytes *body;
	const struct dispatch_callbacks *callbacks;
	void *arg;
	bool submitted;
	bool dropped; /* cancelled before its submission */
	struct sched_handle handle;
	struct hcl_call *http;
	struct upstream_handle upstream;
	char *upstream_name; /* of the last attempt */
	char *upstream_url;
	double queue_tokens;
	clk_ms started_at;
	clk_ms first_data_at; /* 0: none yet */
	clk_ms last_data_at;
	bool may_have_run;
	bool busy; /* the upstream refused the call as overloaded */
	int status;
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t answer_tokens;
};

/* Periodic requests to an engine: load report and cache events. */
struct poller {
	struct dispatch *dispatch;
	char *name;
	clk_ms load_at;
	clk_ms events_at;
	int64_t events_next;
	struct hcl_call *load;
	struct hcl_call *events;
};

struct dispatch {
	struct daemon *dmn;
	ev_timer tick;
	bool start_deferred;
	GHashTable *pollers; /* name -> struct poller */
	GHashTable *releases; /* set of "program engine", in progress */
	struct cnt_metric *started;
	struct cnt_metric *retried;
	struct cnt_metric *refused;
	struct cnt_metric *cached;
	struct cnt_metric *prompt;
	struct cnt_metric *first_token;
	struct cnt_metric *queue_time;
};

static const char *
copy_string(struct dispatch_call *call, const char *text)
{
	char *copy = g_strdup(text != NULL ? text : "");

	g_assert(call->n_strings < G_N_ELEMENTS(call->strings));
	call->strings[call->n_strings++] = copy;
	return (copy);
}

static void
call_free(struct dispatch_call *call)
{
	for (unsigned i = 0; i < call->n_strings; i++)
		g_free(call->strings[i]);
	g_bytes_unref(call->body);
	g_free(call->upstream_name);
	g_free(call->upstream_url);
	g_free(call);
}

static void start_ready_later(struct dispatch *dispatch);

static void
call_done(struct dispatch_call *call, const struct vd *vd)
{
	call->callbacks->done(vd, call->upstream_name, call->arg);
	call_free(call);
}

/* One attempt. */

static void
on_head(int status, const char *content_type, void *arg)
{
	struct dispatch_call *call = arg;

	call->status = status;
	/* An engine sends these before it begins; a service at any time. */
	call->busy =
	    !call->request.is_service && (status == 429 || status == 503);
	if (!call->busy)
		call->callbacks->head(status, content_type, call->arg);
}

static void
on_data(const void *data, size_t len, void *arg)
{
	struct dispatch_call *call = arg;
	struct dispatch *dispatch = call->dispatch;

	if (call->busy)
		return;
	call->last_data_at = daemon_now(dispatch->dmn);
	if (call->first_data_at == 0) {
		call->first_data_at = call->last_data_at;
		sched_report_first_token(dispatch->dmn->sched, call->handle);
		cnt_observe(dispatch->first_token,
		    call->first_data_at - call->started_at);
	}
	call->callbacks->data(data, len, call->arg);
}

static enum sched_outcome
outcome_of(const struct dispatch_call *call, const struct hcl_result *result)
{
	if (result->sent == HCL_NOT_SENT)
		return (SCHED_CONNECT_FAILED);
	if (result->sent == HCL_MAYBE_SENT)
		return (result->timed_out ? SCHED_TIMED_OUT : SCHED_CRASHED);
	return (call->busy ? SCHED_BUSY : SCHED_SUCCEEDED);
}

static void
reply_fill(const struct dispatch_call *call, struct upstream_reply *reply)
{
	reply->first_token = call->first_data_at == 0
	    ? -1
	    : call->first_data_at - call->started_at;
	reply->token_gap = -1;
	if (call->answer_tokens > 1)
		reply->token_gap = (call->last_data_at - call->first_data_at) /
		    (call->answer_tokens - 1);
	reply->prompt_tokens = call->prompt_tokens;
	reply->cached_tokens = call->cached_tokens;
	reply->answer_tokens = call->answer_tokens;
}

static void
call_succeeded(struct dispatch_call *call)
{
	struct dispatch *dispatch = call->dispatch;
	struct daemon *dmn = dispatch->dmn;
	struct sched_result result = {.outcome = SCHED_SUCCEEDED};
	struct vd ignored, vd = vd_ok();

	/* The callback sets the usage that reply_fill() needs. */
	call->callbacks->done(&vd, call->upstream_name, call->arg);
	reply_fill(call, &result.reply);
	(void)sched_finish(
	    dmn->sched, call->handle, &result, daemon_now(dmn), &ignored);
	if (call->request.program[0] != '\0' && !call->request.is_service)
		upstream_prefix_update(dmn->upstreams, call->request.program,
		    call->upstream, call->prompt_tokens + call->answer_tokens);
	call_free(call);
	start_ready_later(dispatch);
}

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct dispatch_call *call = arg;
	struct dispatch *dispatch = call->dispatch;
	struct sched_result finished = {.outcome = outcome_of(call, result),
	    .repeatable = call->request.repeatable && call->first_data_at == 0};
	struct vd vd;
	char buf[128];

	call->http = NULL;
	if (finished.outcome == SCHED_SUCCEEDED) {
		call_succeeded(call);
		return;
	}
	if (result->sent != HCL_NOT_SENT && !call->busy)
		call->may_have_run = true;
	lg_event(dispatch->dmn->log, LG_WARNING, "upstream_failed",
	    "request=%s upstream=%s status=%d sent=%d error=%s",
	    call->request.request_id, call->upstream_name, result->status,
	    (int)result->sent, lg_quote(buf, sizeof(buf), result->error));
	if (sched_finish(dispatch->dmn->sched, call->handle, &finished,
		daemon_now(dispatch->dmn), &vd) == SCHED_REQUEUED)
		cnt_add(dispatch->retried, 1);
	else
		call_done(call, &vd);
	start_ready_later(dispatch);
}

static void
headers_fill(const struct dispatch_call *call, GPtrArray *headers)
{
	const struct dispatch_request *request = &call->request;

	/* The caller's Authorization header is never passed on. */
	g_ptr_array_add(
	    headers, g_strdup_printf("X-Request-Id: %s", request->request_id));
	if (request->content_type[0] != '\0')
		g_ptr_array_add(headers,
		    g_strdup_printf("Content-Type: %s", request->content_type));
	if (request->traceparent[0] != '\0')
		g_ptr_array_add(headers,
		    g_strdup_printf("traceparent: %s", request->traceparent));
	if (request->program[0] != '\0')
		g_ptr_array_add(headers,
		    g_strdup_printf(
			"Samphireshed-Program: %s", request->program));
	if (request->idempotency_key[0] != '\0') {
		/* Makes equal keys of two organisations differ. */
		g_autofree char *joined = g_strdup_printf(
		    "%s %s", request->organisation, request->idempotency_key);
		g_autofree char *digest = g_compute_checksum_for_string(
		    G_CHECKSUM_SHA256, joined, -1);

		g_ptr_array_add(
		    headers, g_strdup_printf("Idempotency-Key: %s", digest));
	}
	g_ptr_array_add(headers, NULL);
}

static void
attempt_start(struct dispatch_call *call, const struct sched_start *start)
{
	struct daemon *dmn = call->dispatch->dmn;
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *url = NULL;
	struct upstream_info info;
	struct hcl_request http = {.method = call->request.method,
	    .connect_timeout = CONNECT_TIMEOUT_MS,
	    .on_head = on_head,
	    .on_data = on_data,
	    .on_done = on_done,
	    .arg = call};
	clk_ms now = daemon_now(dmn);

	(void)upstream_get_info(dmn->upstreams, start->upstream, now, &info);
	call->upstream = start->upstream;
	g_free(call->upstream_name);
	g_free(call->upstream_url);
	call->upstream_name = g_strdup(info.name);
	call->upstream_url = g_strdup(info.url);
	call->queue_tokens = info.queue_tokens;
	call->busy = false;
	call->status = 0;
	if (start->attempt == 1)
		cnt_observe(call->dispatch->queue_time, now - call->started_at);
	call->started_at = now;
	url = g_strdup_printf("%s%s", info.url, call->request.path);
	http.url = url;
	headers_fill(call, headers);
	http.headers = (const char *const *)headers->pdata;
	if (call->request.body_len > 0)
		http.body = g_bytes_get_data(call->body, &http.body_len);
	http.timeout = call->request.timeout > 0 ? call->request.timeout
						 : MODEL_TIMEOUT_MS;
	http.idle_timeout =
	    call->request.is_service ? 0 : MODEL_IDLE_TIMEOUT_MS;
	cnt_add(call->dispatch->started, 1);
	call->http = hcl_start(dmn->http, &http);
	g_ptr_array_unref(headers);
}

/* Start all calls that the scheduler releases now. */
static void
start_ready(void *arg)
{
	struct dispatch *dispatch = arg;
	struct sched_start starts[MAX_STARTS];
	size_t n;

	dispatch->start_deferred = false;
	do {
		n = sched_dispatch(dispatch->dmn->sched,
		    daemon_now(dispatch->dmn), starts, MAX_STARTS);
		for (size_t i = 0; i < n; i++)
			attempt_start(starts[i].arg, &starts[i]);
	} while (n == MAX_STARTS);
}

static void
start_ready_later(struct dispatch *dispatch)
{
	if (dispatch->start_deferred)
		return;
	dispatch->start_deferred = true;
	defer_add(dispatch->dmn->defer, start_ready, dispatch);
}

/* Submission. */

static enum sched_class
urgency_of(const char *name)
{
	if (strcmp(name, "urgent") == 0)
		return (SCHED_CLASS_URGENT);
	if (strcmp(name, "batch") == 0)
		return (SCHED_CLASS_BACKGROUND);
	return (SCHED_CLASS_NORMAL);
}

static void
fingerprint_fill(const struct dispatch_call *call,
    unsigned char fingerprint[SCHED_FINGERPRINT_SIZE])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = SCHED_FINGERPRINT_SIZE, len;
	const guchar *body = g_bytes_get_data(call->body, &len);

	g_checksum_update(checksum, (const guchar *)call->request.organisation,
	    (gssize)strlen(call->request.organisation) + 1);
	g_checksum_update(checksum, body, (gssize)len);
	g_checksum_get_digest(checksum, fingerprint, &size);
	g_checksum_free(checksum);
}

static void
call_submit(void *arg)
{
	struct dispatch_call *call = arg;
	struct dispatch *dispatch = call->dispatch;
	const struct dispatch_request *request = &call->request;
	const struct cfg_organisation *organisation =
	    cfg_organisation_find(dispatch->dmn->cfg, request->organisation);
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	clk_ms now = daemon_now(dispatch->dmn);
	struct sched_call submit = {.organisation = request->organisation,
	    .weight = organisation != NULL ? organisation->weight : 1.0,
	    .program = request->program,
	    .program_started = request->program_created,
	    .kind = request->is_service ? UPSTREAM_SERVICE : UPSTREAM_MODEL,
	    .model = request->target,
	    .urgency = urgency_of(request->urgency),
	    .prompt_tokens = request->prompt_tokens,
	    .max_tokens = request->answer_tokens,
	    .fingerprint = fingerprint,
	    .deadline = now + QUEUE_TIMEOUT_MS,
	    .arg = call};
	struct vd vd;

	if (call->dropped) {
		call_free(call);
		return;
	}
	fingerprint_fill(call, fingerprint);
	call->submitted = true;
	call->started_at = now;
	vd = sched_submit(dispatch->dmn->sched, &submit, now, &call->handle);
	if (!vd_is_ok(&vd)) {
		cnt_add(dispatch->refused, 1);
		call_done(call, &vd);
		return;
	}
	start_ready_later(dispatch);
}

struct dispatch_call *
dispatch_start(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_callbacks *callbacks, void *arg)
{
	struct dispatch_call *call = g_new0(struct dispatch_call, 1);
	struct dispatch_request *copy = &call->request;

	call->dispatch = dispatch;
	call->callbacks = callbacks;
	call->arg = arg;
	*copy = *request;
	copy->target = copy_string(call, request->target);
	copy->organisation = copy_string(call, request->organisation);
	copy->program = copy_string(call, request->program);
	copy->urgency = copy_string(call, request->urgency);
	copy->request_id = copy_string(call, request->request_id);
	copy->traceparent = copy_string(call, request->traceparent);
	copy->method = copy_string(call, request->method);
	copy->path = copy_string(call, request->path);
	copy->content_type = copy_string(call, request->content_type);
	copy->idempotency_key = copy_string(call, request->idempotency_key);
	call->body = g_bytes_new(request->body, request->body_len);
	copy->body = NULL;
	defer_add(dispatch->dmn->defer, call_submit, call);
	return (call);
}

/* Ask an engine to cancel the call. */
static void
engine_cancel(struct dispatch_call *call)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	g_autofree char *url = g_strdup_printf("%s/cancel", call->upstream_url);
	g_autofree char *body = g_strdup_printf(
	    "{\"request_id\":\"%s\"}", call->request.request_id);
	struct hcl_request http = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .body_len = strlen(body),
	    .timeout = CANCEL_TIMEOUT_MS};

	(void)hcl_start(call->dispatch->dmn->http, &http);
}

enum vd_ran
dispatch_cancel(struct dispatch_call *call)
{
	struct dispatch *dispatch = call->dispatch;
	struct sched_result result = {.outcome = SCHED_CANCELLED};
	enum vd_ran ran = call->may_have_run ? VD_MAYBE : VD_NOT_RUN;
	struct vd vd;

	if (!call->submitted) {
		call->dropped = true;
		return (VD_NOT_RUN);
	}
	if (call->http == NULL) {
		(void)sched_cancel(dispatch->dmn->sched, call->handle);
	} else {
		ran = VD_MAYBE;
		hcl_cancel(call->http);
		if (!call->request.is_service)
			engine_cancel(call);
		(void)sched_finish(dispatch->dmn->sched, call->handle, &result,
		    daemon_now(dispatch->dmn), &vd);
		start_ready_later(dispatch);
	}
	call_free(call);
	return (ran);
}

const char *
dispatch_call_upstream(const struct dispatch_call *call)
{
	return (call->upstream_name);
}

void
dispatch_set_usage(struct dispatch *dispatch, struct dispatch_call *call,
    int64_t prompt, int64_t cached, int64_t completion)
{
	call->prompt_tokens = prompt;
	call->cached_tokens = cached;
	call->answer_tokens = completion;
	cnt_add(dispatch->prompt, prompt);
	cnt_add(dispatch->cached, cached);
}

/* Load reports and cache events. */

static void
on_load(const struct hcl_result *result, void *arg)
{
	struct poller *poller = arg;
	struct daemon *dmn = poller->dispatch->dmn;
	struct upstream_handle handle =
	    upstream_find(dmn->upstreams, poller->name);
	json_int_t active, waiting, capacity, age = 0;
	struct upstream_load load;
	json_t *body;

	poller->load = NULL;
	if (result->status != 200 || handle.generation == 0)
		return;
	body = json_loadb(result->body, result->body_len, 0, NULL);
	if (json_unpack(body, "{s:I,s:I,s:I,s?I}", "active", &active, "waiting",
		&waiting, "capacity", &capacity, "age_ms", &age) == 0 &&
	    active >= 0 && waiting >= 0 && capacity >= 0 && age >= 0) {
		load = (struct upstream_load){.active = (unsigned)active,
		    .waiting = (unsigned)waiting,
		    .capacity = (unsigned)capacity,
		    .age = (clk_ms)age};
		upstream_set_load(
		    dmn->upstreams, handle, &load, daemon_now(dmn));
		start_ready_later(poller->dispatch);
	}
	json_decref(body);
}

static void
on_cache_events(const struct hcl_result *result, void *arg)
{
	struct poller *poller = arg;
	struct daemon *dmn = poller->dispatch->dmn;
	struct upstream_handle handle =
	    upstream_find(dmn->upstreams, poller->name);
	json_t *body, *event;
	size_t i;

	poller->events = NULL;
	if (result->status != 200 || handle.generation == 0)
		return;
	body = json_loadb(result->body, result->body_len, 0, NULL);
	json_array_foreach(json_object_get(body, "events"), i, event)
	{
		const char *kind, *program;
		json_int_t number, tokens;

		if (json_unpack(event, "{s:I,s:s,s:s,s:I}", "number", &number,
			"kind", &kind, "program", &program, "tokens",
			&tokens) != 0)
			continue;
		upstream_cache_event(dmn->upstreams, handle, (int64_t)number,
		    strcmp(kind, "insert") == 0, program, (int64_t)tokens);
	}
	if (json_is_integer(json_object_get(body, "next")))
		poller->events_next =
		    (int64_t)json_integer_value(json_object_get(body, "next"));
	json_decref(body);
}

static struct hcl_call *
poller_get(struct poller *poller, const char *url, hcl_on_done *done)
{
	struct hcl_request http = {.method = "GET",
	    .url = url,
	    .connect_timeout = CONNECT_TIMEOUT_MS,
	    .timeout = POLL_TIMEOUT_MS,
	    .on_done = done,
	    .arg = poller};

	return (hcl_start(poller->dispatch->dmn->http, &http));
}

static void
poller_run(struct poller *poller, const struct upstream_info *info, clk_ms now)
{
	if (poller->load == NULL && now - poller->load_at >= LOAD_INTERVAL_MS) {
		g_autofree char *url = g_strdup_printf("%s/load", info->url);

		poller->load_at = now;
		poller->load = poller_get(poller, url, on_load);
	}
	if (poller->events == NULL &&
	    now - poller->events_at >= EVENTS_INTERVAL_MS) {
		g_autofree char *url =
		    g_strdup_printf("%s/cache/events?from=%lld", info->url,
			(long long)poller->events_next);

		poller->events_at = now;
		poller->events = poller_get(poller, url, on_cache_events);
	}
}

static void
poller_free(void *data)
{
	struct poller *poller = data;

	if (poller->load != NULL)
		hcl_cancel(poller->load);
	if (poller->events != NULL)
		hcl_cancel(poller->events);
	g_free(poller->name);
	g_free(poller);
}

static void
pollers_run(struct dispatch *dispatch, clk_ms now)
{
	struct daemon *dmn = dispatch->dmn;

	for (unsigned i = 0; i < upstream_count(dmn->upstreams); i++) {
		struct upstream_info info;
		struct poller *poller;

		if (!upstream_get_info(dmn->upstreams,
			upstream_at(dmn->upstreams, i), now, &info) ||
		    info.kind != UPSTREAM_MODEL || info.removed)
			continue;
		poller = g_hash_table_lookup(dispatch->pollers, info.name);
		if (poller == NULL) {
			poller = g_new0(struct poller, 1);
			poller->dispatch = dispatch;
			poller->name = g_strdup(info.name);
			poller->events_next = 1;
			g_hash_table_insert(
			    dispatch->pollers, poller->name, poller);
		}
		poller_run(poller, &info, now);
	}
}

/* Releases of prefixes. */

struct release {
	struct dispatch *dispatch;
	struct prog_set *programs;
	char *program;
	char *engine;
	char *key; /* in dispatch->releases */
	unsigned waiting; /* outstanding replies */
	bool failed;
};

static void
release_end(struct release *release)
{
	(void)g_hash_table_remove(release->dispatch->releases, release->key);
	if (!release->failed) {
		upstream_prefix_remove(
		    release->dispatch->dmn->upstreams, release->program);
		prog_release_done(
		    release->programs, release->program, release->engine);
	}
	g_free(release->program);
	g_free(release->engine);
	g_free(release->key);
	g_free(release);
}

static void
on_released(const struct hcl_result *result, void *arg)
{
	struct release *release = arg;

	if (result->status != 200)
		release->failed = true;
	if (--release->waiting == 0)
		release_end(release);
}

static void
release_deferred_end(void *arg)
{
	struct release *release = arg;

	if (--release->waiting == 0)
		release_end(release);
}

static void
release_send(struct release *release, const char *url)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	g_autofree char *target = g_strdup_printf("%s/cache/release", url);
	g_autofree char *body =
	    g_strdup_printf("{\"program\":\"%s\"}", release->program);
	struct hcl_request http = {.method = "POST",
	    .url = target,
	    .headers = headers,
	    .body = body,
	    .body_len = strlen(body),
	    .connect_timeout = CONNECT_TIMEOUT_MS,
	    .timeout = RELEASE_TIMEOUT_MS,
	    .on_done = on_released,
	    .arg = release};

	release->waiting++;
	(void)hcl_start(release->dispatch->dmn->http, &http);
}

/* Whether a call of the program ever started at the upstream. */
static bool
is_holder(
    const struct upstream_table *table, const char *program, const char *name)
{
	struct upstream_holder holders[MAX_HOLDERS];
	struct upstream_handle handle = upstream_find(table, name);
	size_t n =
	    upstream_prefix_holders(table, program, holders, MAX_HOLDERS);

	for (size_t i = 0; i < MIN(n, MAX_HOLDERS); i++) {
		if (holders[i].upstream.index == handle.index &&
		    holders[i].upstream.generation == handle.generation)
			return (true);
	}
	return (false);
}

void
dispatch_release_prefix(struct dispatch *dispatch, struct prog_set *programs,
    const char *program, const char *engine)
{
	struct daemon *dmn = dispatch->dmn;
	char *key = g_strdup_printf("%s %s", program, engine);
	bool all = strcmp(engine, "*") == 0;
	struct release *release;

	if (!g_hash_table_add(dispatch->releases, g_strdup(key))) {
		g_free(key);
		return;
	}
	release = g_new0(struct release, 1);
	release->dispatch = dispatch;
	release->programs = programs;
	release->program = g_strdup(program);
	release->engine = g_strdup(engine);
	release->key = key;
	/*
	 * Keeps the release until release_deferred_end(), because on_release
	 * must not call back into the programs.
	 */
	release->waiting = 1;
	for (unsigned i = 0; i < upstream_count(dmn->upstreams); i++) {
		struct upstream_info info;

		if (upstream_get_info(dmn->upstreams,
			upstream_at(dmn->upstreams, i), daemon_now(dmn),
			&info) &&
		    info.kind == UPSTREAM_MODEL && !info.removed &&
		    (all || strcmp(info.name, engine) == 0 ||
			is_holder(dmn->upstreams, program, info.name)))
			release_send(release, info.url);
	}
	defer_add(dmn->defer, release_deferred_end, release);
}

/* The configuration. */

static void
on_upstream(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct dispatch *dispatch = arg;
	const struct cfg_upstream *upstream =
	    cfg_upstream_find(dispatch->dmn->cfg, name);
	const char *service[2] = {NULL, NULL};
	struct upstream_config config = {.name = name};

	(void)kind;
	(void)version;
	if (upstream == NULL) {
		upstream_remove(dispatch->dmn->upstreams, name);
		(void)g_hash_table_remove(dispatch->pollers, name);
		return;
	}
	config.kind = upstream->is_service ? UPSTREAM_SERVICE : UPSTREAM_MODEL;
	config.url = upstream->url;
	config.datacentre = upstream->datacentre;
	config.models = upstream->models;
	if (upstream->is_service) {
		service[0] = upstream->service;
		config.models = service;
	}
	config.checks_fencing = upstream->checks_fencing;
	config.leaving = upstream->leaving;
	(void)upstream_set(dispatch->dmn->upstreams, &config);
	start_ready_later(dispatch);
}

void
dispatch_set_leaving(struct dispatch *dispatch, const char *name, bool leaving)
{
	upstream_set_leaving(dispatch->dmn->upstreams, name, leaving);
}

static unsigned
datacentre_instances(const struct daemon *dmn)
{
	struct member_info *infos =
	    g_new(struct member_info, MEMBER_MAX_SESSIONS);
	size_t n = member_info_list(dmn->members, infos, MEMBER_MAX_SESSIONS);
	unsigned here = 0;

	for (size_t i = 0; i < n; i++) {
		if (infos[i].state == MEMBER_LIVE &&
		    infos[i].identity.datacentre ==
			dmn->settings->datacentre_number)
			here++;
	}
	g_free(infos);
	return (MAX(here, 1));
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct dispatch *dispatch = timer->data;
	struct daemon *dmn = dispatch->dmn;
	struct sched_dropped ends[MAX_STARTS];
	clk_ms now = daemon_now(dmn);
	size_t n;

	(void)loop;
	(void)events;
	upstream_set_instances(dmn->upstreams, datacentre_instances(dmn));
	upstream_tick(dmn->upstreams, now);
	pollers_run(dispatch, now);
	n = sched_expire(dmn->sched, now, ends, MAX_STARTS);
	for (size_t i = 0; i < n; i++)
		call_done(ends[i].arg, &ends[i].vd);
	start_ready_later(dispatch);
}

size_t
dispatch_crashes(
    struct dispatch *dispatch, struct sched_crash *crashes, size_t max)
{
	return (sched_crash_list(dispatch->dmn->sched,
	    daemon_now(dispatch->dmn) - CRASH_REPORT_MS, crashes, max));
}

size_t
dispatch_queued(const struct dispatch *dispatch)
{
	return (sched_waiting_count(dispatch->dmn->sched));
}

json_t *
dispatch_list_upstreams(const struct dispatch *dispatch)
{
	static const char *const states[] = {
	    [UPSTREAM_ACTIVE] = "active",
	    [UPSTREAM_LEAVING] = "leaving",
	    [UPSTREAM_DOWN] = "down",
	};
	struct daemon *dmn = dispatch->dmn;
	json_t *list = json_array();

	for (unsigned i = 0; i < upstream_count(dmn->upstreams); i++) {
		struct upstream_info info;

		if (!upstream_get_info(dmn->upstreams,
			upstream_at(dmn->upstreams, i), daemon_now(dmn), &info))
			continue;
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:f,s:I}", "name",
			info.name, "kind",
			info.kind == UPSTREAM_SERVICE ? "service" : "model",
			"datacentre", info.datacentre, "state",
			states[info.state], "url", info.url, "checks_fencing",
			(int)info.checks_fencing, "in_flight",
			(int)info.in_flight, "window", info.window,
			"load_age_ms", (json_int_t)info.load_age));
	}
	return (list);
}

struct dispatch *
dispatch_open(struct daemon *dmn)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);
	struct upstream_options table_options = {
	    .datacentre = dmn->settings->datacentre};
	struct sched_options sched_options = {.policy = NULL};

	dispatch->dmn = dmn;
	dmn->upstreams = upstream_open(&table_options);
	dmn->sched = sched_open(dmn->upstreams, &sched_options);
	dispatch->pollers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, poller_free);
	dispatch->releases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dispatch->started = cnt_counter(dmn->cnt, "upstream_calls_total",
	    "Calls started at upstreams.", NULL, NULL);
	dispatch->retried = cnt_counter(dmn->cnt, "upstream_retries_total",
	    "Calls that wait for another upstream.", NULL, NULL);
	dispatch->refused = cnt_counter(dmn->cnt, "upstream_refused_total",
	    "Calls refused before they were queued.", NULL, NULL);
	dispatch->prompt = cnt_counter(dmn->cnt, "prompt_tokens_total",
	    "Prompt tokens that engines reported.", NULL, NULL);
	dispatch->cached = cnt_counter(dmn->cnt, "cached_tokens_total",
	    "Prompt tokens that engines took from their cache.", NULL, NULL);
	dispatch->first_token =
	    cnt_histogram(dmn->cnt, "upstream_first_seconds",
		"Time from the start at an upstream to its first data.", NULL,
		NULL);
	dispatch->queue_time = cnt_histogram(dmn->cnt, "upstream_queue_seconds",
	    "Time that a call waited for an upstream.", NULL, NULL);
	cfg_watch(dmn->cfg, CFG_UPSTREAM, on_upstream, dispatch);
	ev_timer_init(&dispatch->tick, on_tick, TICK_S, TICK_S);
	dispatch->tick.data = dispatch;
	ev_timer_start(dmn->loop, &dispatch->tick);
	return (dispatch);
}

void
dispatch_close(struct dispatch *dispatch)
{
	if (dispatch == NULL)
		return;
	ev_timer_stop(dispatch->dmn->loop, &dispatch->tick);
	sched_close(dispatch->dmn->sched);
	upstream_close(dispatch->dmn->upstreams);
	g_hash_table_destroy(dispatch->pollers);
	g_hash_table_destroy(dispatch->releases);
	g_free(dispatch);
}
