#include "upstream/upd.h"

#include <glib.h>
#include <string.h>

#include "daemon/dfr.h"
#include "program/prg.h"
#include "sched/sched.h"
#include "upstream/ups.h"

#define TICK_S	       0.1
#define MAX_HOLDERS    64
#define MAX_STARTS     64
#define LOAD_MS	       ((clk_ms)500)
#define LOAD_TIMEOUT   ((clk_ms)1000)
#define EVENTS_MS      ((clk_ms)1000)
#define CONNECT_MS     ((clk_ms)1000)
#define QUEUE_DEADLINE (30 * CLK_SECOND)
/* Longest silence of an engine in the middle of an answer. */
#define MODEL_IDLE	(20 * CLK_SECOND)
#define MODEL_TIMEOUT	(15 * CLK_MINUTE)
#define CANCEL_TIMEOUT	(2 * CLK_SECOND)
#define RELEASE_TIMEOUT (2 * CLK_SECOND)
/* How long a crash is told to peers. */
#define CRASH_NEWS (60 * CLK_SECOND)

struct upd_call {
	struct upd *upd;
	struct upd_request request; /* strings below are its copies */
	char *strings[10];
	unsigned n_strings;
	GBytes *body;
	const struct upd_events *events;
	void *arg;
	bool submitted;
	bool dropped; /* cancelled before its submission */
	struct sched_handle handle;
	struct hcl_call *http;
	struct ups_handle upstream;
	char *upstream_name; /* of the last attempt */
	char *upstream_url;
	double queue_tokens;
	clk_ms started_at;
	clk_ms first_data_at; /* 0: none yet */
	clk_ms last_data_at;
	bool may_have_run;
	bool busy; /* the upstream said that it takes no more */
	int status;
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t answer_tokens;
};

/* What this driver asks of one upstream from time to time. */
struct probe {
	struct upd *upd;
	char *name;
	clk_ms load_at;
	clk_ms events_at;
	int64_t events_next;
	struct hcl_call *load;
	struct hcl_call *events;
};

struct upd {
	struct dmn *dmn;
	ev_timer tick;
	bool pump_deferred;
	GHashTable *probes; /* name -> struct probe */
	GHashTable *releases; /* program/engine in progress */
	struct cnt_metric *started;
	struct cnt_metric *retried;
	struct cnt_metric *refused;
	struct cnt_metric *cached;
	struct cnt_metric *prompt;
	struct cnt_metric *first_token;
	struct cnt_metric *queue_time;
};

static const char *
keep(struct upd_call *call, const char *text)
{
	char *copy = g_strdup(text != NULL ? text : "");

	g_assert(call->n_strings < G_N_ELEMENTS(call->strings));
	call->strings[call->n_strings++] = copy;
	return (copy);
}

static void
call_free(struct upd_call *call)
{
	for (unsigned i = 0; i < call->n_strings; i++)
		g_free(call->strings[i]);
	g_bytes_unref(call->body);
	g_free(call->upstream_name);
	g_free(call->upstream_url);
	g_free(call);
}

static void pump_later(struct upd *upd);

static void
call_done(struct upd_call *call, const struct vd *vd)
{
	call->events->done(vd, call->upstream_name, call->arg);
	call_free(call);
}

/* One attempt. */

static void
on_head(int status, const char *content_type, void *arg)
{
	struct upd_call *call = arg;

	call->status = status;
	/* Engines answer so before they begin; a service may mean anything. */
	call->busy =
	    !call->request.is_service && (status == 429 || status == 503);
	if (!call->busy)
		call->events->head(status, content_type, call->arg);
}

static void
on_data(const void *data, size_t len, void *arg)
{
	struct upd_call *call = arg;
	struct upd *upd = call->upd;

	if (call->busy)
		return;
	call->last_data_at = dmn_now(upd->dmn);
	if (call->first_data_at == 0) {
		call->first_data_at = call->last_data_at;
		sched_report_first_token(upd->dmn->sch, call->handle);
		cnt_observe(
		    upd->first_token, call->first_data_at - call->started_at);
	}
	call->events->data(data, len, call->arg);
}

static enum sched_outcome
outcome_of(const struct upd_call *call, const struct hcl_result *result)
{
	if (result->sent == HCL_NOT_SENT)
		return (SCHED_CONNECT_FAILED);
	if (result->sent == HCL_MAYBE_SENT)
		return (result->timed_out ? SCHED_TIMED_OUT : SCHED_CRASHED);
	return (call->busy ? SCHED_BUSY : SCHED_SUCCEEDED);
}

static void
reply_fill(const struct upd_call *call, struct ups_reply *reply)
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
call_succeeded(struct upd_call *call)
{
	struct upd *upd = call->upd;
	struct dmn *dmn = upd->dmn;
	struct sched_result result = {.outcome = SCHED_SUCCEEDED};
	struct vd ignored, vd = vd_ok();

	/* The receiver reports the usage of the answer by upd_used(). */
	call->events->done(&vd, call->upstream_name, call->arg);
	reply_fill(call, &result.reply);
	(void)sched_finish(
	    dmn->sch, call->handle, &result, dmn_now(dmn), &ignored);
	if (call->request.program[0] != '\0' && !call->request.is_service)
		ups_program_cached(dmn->ups, call->request.program,
		    call->upstream, call->prompt_tokens + call->answer_tokens);
	call_free(call);
	pump_later(upd);
}

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct upd_call *call = arg;
	struct upd *upd = call->upd;
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
	lg_event(upd->dmn->lg, LG_WARNING, "upstream_failed",
	    "request=%s upstream=%s status=%d sent=%d error=%s",
	    call->request.request_id, call->upstream_name, result->status,
	    (int)result->sent, lg_quote(buf, sizeof(buf), result->error));
	if (sched_finish(upd->dmn->sch, call->handle, &finished,
		dmn_now(upd->dmn), &vd) == SCHED_REQUEUED)
		cnt_add(upd->retried, 1);
	else
		call_done(call, &vd);
	pump_later(upd);
}

static void
headers_fill(const struct upd_call *call, GPtrArray *headers)
{
	const struct upd_request *request = &call->request;

	/* The caller's Authorization header is never among them. */
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
		/* Keys of two organisations must not meet at an upstream. */
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
attempt_start(struct upd_call *call, const struct sched_start *start)
{
	struct dmn *dmn = call->upd->dmn;
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *url = NULL;
	struct ups_view view;
	struct hcl_request http = {.method = call->request.method,
	    .connect_timeout = CONNECT_MS,
	    .on_head = on_head,
	    .on_data = on_data,
	    .on_done = on_done,
	    .arg = call};
	clk_ms now = dmn_now(dmn);

	(void)ups_view(dmn->ups, start->upstream, now, &view);
	call->upstream = start->upstream;
	g_free(call->upstream_name);
	g_free(call->upstream_url);
	call->upstream_name = g_strdup(view.name);
	call->upstream_url = g_strdup(view.url);
	call->queue_tokens = view.queue_tokens;
	call->busy = false;
	call->status = 0;
	if (start->attempt == 1)
		cnt_observe(call->upd->queue_time, now - call->started_at);
	call->started_at = now;
	url = g_strdup_printf("%s%s", view.url, call->request.path);
	http.url = url;
	headers_fill(call, headers);
	http.headers = (const char *const *)headers->pdata;
	if (call->request.body_len > 0)
		http.body = g_bytes_get_data(call->body, &http.body_len);
	http.timeout =
	    call->request.timeout > 0 ? call->request.timeout : MODEL_TIMEOUT;
	http.idle_timeout = call->request.is_service ? 0 : MODEL_IDLE;
	cnt_add(call->upd->started, 1);
	call->http = hcl_start(dmn->hcl, &http);
	g_ptr_array_unref(headers);
}

/* Start every call that may start now. */
static void
pump(void *arg)
{
	struct upd *upd = arg;
	struct sched_start starts[MAX_STARTS];
	size_t n;

	upd->pump_deferred = false;
	do {
		n = sched_dispatch(
		    upd->dmn->sch, dmn_now(upd->dmn), starts, MAX_STARTS);
		for (size_t i = 0; i < n; i++)
			attempt_start(starts[i].arg, &starts[i]);
	} while (n == MAX_STARTS);
}

static void
pump_later(struct upd *upd)
{
	if (upd->pump_deferred)
		return;
	upd->pump_deferred = true;
	dfr_add(upd->dmn->dfr, pump, upd);
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
fingerprint_of(const struct upd_call *call,
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
	struct upd_call *call = arg;
	struct upd *upd = call->upd;
	const struct upd_request *request = &call->request;
	const struct cfg_organisation *organisation =
	    cfg_organisation_find(upd->dmn->cfg, request->organisation);
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	clk_ms now = dmn_now(upd->dmn);
	struct sched_call submit = {.organisation = request->organisation,
	    .weight = organisation != NULL ? organisation->weight : 1.0,
	    .program = request->program,
	    .program_started = request->program_created,
	    .kind = request->is_service ? UPS_SERVICE : UPS_MODEL,
	    .model = request->target,
	    .urgency = urgency_of(request->urgency),
	    .prompt_tokens = request->prompt_tokens,
	    .max_tokens = request->answer_tokens,
	    .fingerprint = fingerprint,
	    .deadline = now + QUEUE_DEADLINE,
	    .arg = call};
	struct vd vd;

	if (call->dropped) {
		call_free(call);
		return;
	}
	fingerprint_of(call, fingerprint);
	call->submitted = true;
	call->started_at = now;
	vd = sched_submit(upd->dmn->sch, &submit, now, &call->handle);
	if (!vd_is_ok(&vd)) {
		cnt_add(upd->refused, 1);
		call_done(call, &vd);
		return;
	}
	pump_later(upd);
}

struct upd_call *
upd_start(struct upd *upd, const struct upd_request *request,
    const struct upd_events *events, void *arg)
{
	struct upd_call *call = g_new0(struct upd_call, 1);
	struct upd_request *copy = &call->request;

	call->upd = upd;
	call->events = events;
	call->arg = arg;
	*copy = *request;
	copy->target = keep(call, request->target);
	copy->organisation = keep(call, request->organisation);
	copy->program = keep(call, request->program);
	copy->urgency = keep(call, request->urgency);
	copy->request_id = keep(call, request->request_id);
	copy->traceparent = keep(call, request->traceparent);
	copy->method = keep(call, request->method);
	copy->path = keep(call, request->path);
	copy->content_type = keep(call, request->content_type);
	copy->idempotency_key = keep(call, request->idempotency_key);
	call->body = g_bytes_new(request->body, request->body_len);
	copy->body = NULL;
	dfr_add(upd->dmn->dfr, call_submit, call);
	return (call);
}

/* Tell an engine that nobody waits for the answer. */
static void
engine_cancel(struct upd_call *call)
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
	    .timeout = CANCEL_TIMEOUT};

	(void)hcl_start(call->upd->dmn->hcl, &http);
}

enum vd_ran
upd_cancel(struct upd_call *call)
{
	struct upd *upd = call->upd;
	struct sched_result result = {.outcome = SCHED_CANCELLED};
	enum vd_ran ran = call->may_have_run ? VD_MAYBE : VD_NOT_RUN;
	struct vd vd;

	if (!call->submitted) {
		call->dropped = true;
		return (VD_NOT_RUN);
	}
	if (call->http == NULL) {
		(void)sched_cancel(upd->dmn->sch, call->handle);
	} else {
		ran = VD_MAYBE;
		hcl_cancel(call->http);
		if (!call->request.is_service)
			engine_cancel(call);
		(void)sched_finish(upd->dmn->sch, call->handle, &result,
		    dmn_now(upd->dmn), &vd);
		pump_later(upd);
	}
	call_free(call);
	return (ran);
}

const char *
upd_upstream(const struct upd_call *call)
{
	return (call->upstream_name);
}

void
upd_used(struct upd *upd, struct upd_call *call, int64_t prompt, int64_t cached,
    int64_t completion)
{
	call->prompt_tokens = prompt;
	call->cached_tokens = cached;
	call->answer_tokens = completion;
	cnt_add(upd->prompt, prompt);
	cnt_add(upd->cached, cached);
}

/* Load reports and cache events. */

static void
on_load(const struct hcl_result *result, void *arg)
{
	struct probe *probe = arg;
	struct dmn *dmn = probe->upd->dmn;
	struct ups_handle handle = ups_find(dmn->ups, probe->name);
	json_int_t active, waiting, capacity, age = 0;
	struct ups_load load;
	json_t *body;

	probe->load = NULL;
	if (result->status != 200 || handle.generation == 0)
		return;
	body = json_loadb(result->body, result->body_len, 0, NULL);
	if (json_unpack(body, "{s:I,s:I,s:I,s?I}", "active", &active, "waiting",
		&waiting, "capacity", &capacity, "age_ms", &age) == 0 &&
	    active >= 0 && waiting >= 0 && capacity >= 0 && age >= 0) {
		load = (struct ups_load){.active = (unsigned)active,
		    .waiting = (unsigned)waiting,
		    .capacity = (unsigned)capacity,
		    .age = (clk_ms)age};
		ups_load_set(dmn->ups, handle, &load, dmn_now(dmn));
		pump_later(probe->upd);
	}
	json_decref(body);
}

static void
on_cache_events(const struct hcl_result *result, void *arg)
{
	struct probe *probe = arg;
	struct dmn *dmn = probe->upd->dmn;
	struct ups_handle handle = ups_find(dmn->ups, probe->name);
	json_t *body, *event;
	size_t i;

	probe->events = NULL;
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
		ups_cache_event(dmn->ups, handle, (int64_t)number,
		    strcmp(kind, "insert") == 0, program, (int64_t)tokens);
	}
	if (json_is_integer(json_object_get(body, "next")))
		probe->events_next =
		    (int64_t)json_integer_value(json_object_get(body, "next"));
	json_decref(body);
}

static struct hcl_call *
probe_get(struct probe *probe, const char *url, hcl_on_done *done)
{
	struct hcl_request http = {.method = "GET",
	    .url = url,
	    .connect_timeout = CONNECT_MS,
	    .timeout = LOAD_TIMEOUT,
	    .on_done = done,
	    .arg = probe};

	return (hcl_start(probe->upd->dmn->hcl, &http));
}

static void
probe_run(struct probe *probe, const struct ups_view *view, clk_ms now)
{
	if (probe->load == NULL && now - probe->load_at >= LOAD_MS) {
		g_autofree char *url = g_strdup_printf("%s/load", view->url);

		probe->load_at = now;
		probe->load = probe_get(probe, url, on_load);
	}
	if (probe->events == NULL && now - probe->events_at >= EVENTS_MS) {
		g_autofree char *url =
		    g_strdup_printf("%s/cache/events?from=%lld", view->url,
			(long long)probe->events_next);

		probe->events_at = now;
		probe->events = probe_get(probe, url, on_cache_events);
	}
}

static void
probe_free(void *data)
{
	struct probe *probe = data;

	if (probe->load != NULL)
		hcl_cancel(probe->load);
	if (probe->events != NULL)
		hcl_cancel(probe->events);
	g_free(probe->name);
	g_free(probe);
}

static void
probes_run(struct upd *upd, clk_ms now)
{
	struct dmn *dmn = upd->dmn;

	for (unsigned i = 0; i < ups_count(dmn->ups); i++) {
		struct ups_view view;
		struct probe *probe;

		if (!ups_view(dmn->ups, ups_at(dmn->ups, i), now, &view) ||
		    view.kind != UPS_MODEL || view.removed)
			continue;
		probe = g_hash_table_lookup(upd->probes, view.name);
		if (probe == NULL) {
			probe = g_new0(struct probe, 1);
			probe->upd = upd;
			probe->name = g_strdup(view.name);
			probe->events_next = 1;
			g_hash_table_insert(upd->probes, probe->name, probe);
		}
		probe_run(probe, &view, now);
	}
}

/* Releases of prefixes. */

struct release {
	struct upd *upd;
	struct prg *prg;
	char *program;
	char *engine;
	char *key; /* in upd->releases */
	unsigned waiting; /* engines that have not answered */
	bool failed;
};

static void
release_end(struct release *release)
{
	(void)g_hash_table_remove(release->upd->releases, release->key);
	if (!release->failed) {
		ups_program_forget(release->upd->dmn->ups, release->program);
		prg_released(release->prg, release->program, release->engine);
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
	    .connect_timeout = CONNECT_MS,
	    .timeout = RELEASE_TIMEOUT,
	    .on_done = on_released,
	    .arg = release};

	release->waiting++;
	(void)hcl_start(release->upd->dmn->hcl, &http);
}

/* Whether a call of the program started at the upstream, however it ended. */
static bool
is_holder(const struct ups *ups, const char *program, const char *name)
{
	struct ups_holder holders[MAX_HOLDERS];
	struct ups_handle handle = ups_find(ups, name);
	size_t n = ups_program_holders(ups, program, holders, MAX_HOLDERS);

	for (size_t i = 0; i < MIN(n, MAX_HOLDERS); i++) {
		if (holders[i].upstream.index == handle.index &&
		    holders[i].upstream.generation == handle.generation)
			return (true);
	}
	return (false);
}

void
upd_release(
    struct upd *upd, struct prg *prg, const char *program, const char *engine)
{
	struct dmn *dmn = upd->dmn;
	char *key = g_strdup_printf("%s %s", program, engine);
	bool any = strcmp(engine, "*") == 0;
	struct release *release;

	if (!g_hash_table_add(upd->releases, g_strdup(key))) {
		g_free(key);
		return;
	}
	release = g_new0(struct release, 1);
	release->upd = upd;
	release->prg = prg;
	release->program = g_strdup(program);
	release->engine = g_strdup(engine);
	release->key = key;
	/* This one ends later, so that prg is not entered from its own hook. */
	release->waiting = 1;
	for (unsigned i = 0; i < ups_count(dmn->ups); i++) {
		struct ups_view view;

		if (ups_view(
			dmn->ups, ups_at(dmn->ups, i), dmn_now(dmn), &view) &&
		    view.kind == UPS_MODEL && !view.removed &&
		    (any || strcmp(view.name, engine) == 0 ||
			is_holder(dmn->ups, program, view.name)))
			release_send(release, view.url);
	}
	dfr_add(dmn->dfr, release_deferred_end, release);
}

/* The configuration. */

static void
on_upstream(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct upd *upd = arg;
	const struct cfg_upstream *upstream =
	    cfg_upstream_find(upd->dmn->cfg, name);
	const char *service[2] = {NULL, NULL};
	struct ups_config config = {.name = name};

	(void)kind;
	(void)version;
	if (upstream == NULL) {
		ups_remove(upd->dmn->ups, name);
		(void)g_hash_table_remove(upd->probes, name);
		return;
	}
	config.kind = upstream->is_service ? UPS_SERVICE : UPS_MODEL;
	config.url = upstream->url;
	config.datacentre = upstream->datacentre;
	config.models = upstream->models;
	if (upstream->is_service) {
		service[0] = upstream->service;
		config.models = service;
	}
	config.checks_fencing = upstream->checks_fencing;
	config.leaving = upstream->leaving;
	(void)ups_set(upd->dmn->ups, &config);
	pump_later(upd);
}

void
upd_hint(struct upd *upd, const char *name, bool leaving)
{
	ups_hint(upd->dmn->ups, name, leaving);
}

static unsigned
instances_here(const struct dmn *dmn)
{
	struct member_info *infos =
	    g_new(struct member_info, MEMBER_MAX_SESSIONS);
	size_t n = member_info_list(dmn->mem, infos, MEMBER_MAX_SESSIONS);
	unsigned here = 0;

	for (size_t i = 0; i < n; i++) {
		if (infos[i].state == MEMBER_LIVE &&
		    infos[i].identity.datacentre == dmn->set->datacentre_number)
			here++;
	}
	g_free(infos);
	return (MAX(here, 1));
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct upd *upd = timer->data;
	struct dmn *dmn = upd->dmn;
	struct sched_dropped ends[MAX_STARTS];
	clk_ms now = dmn_now(dmn);
	size_t n;

	(void)loop;
	(void)events;
	ups_share_set(dmn->ups, instances_here(dmn));
	ups_tick(dmn->ups, now);
	probes_run(upd, now);
	n = sched_expire(dmn->sch, now, ends, MAX_STARTS);
	for (size_t i = 0; i < n; i++)
		call_done(ends[i].arg, &ends[i].vd);
	pump_later(upd);
}

size_t
upd_crashes(struct upd *upd, struct sched_crash *crashes, size_t max)
{
	return (sched_crash_list(
	    upd->dmn->sch, dmn_now(upd->dmn) - CRASH_NEWS, crashes, max));
}

size_t
upd_queued(const struct upd *upd)
{
	return (sched_waiting_count(upd->dmn->sch));
}

json_t *
upd_list(const struct upd *upd)
{
	static const char *const states[] = {
	    [UPS_ACTIVE] = "active",
	    [UPS_LEAVING] = "leaving",
	    [UPS_DOWN] = "down",
	};
	struct dmn *dmn = upd->dmn;
	json_t *list = json_array();

	for (unsigned i = 0; i < ups_count(dmn->ups); i++) {
		struct ups_view view;

		if (!ups_view(
			dmn->ups, ups_at(dmn->ups, i), dmn_now(dmn), &view))
			continue;
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:f,s:I}", "name",
			view.name, "kind",
			view.kind == UPS_SERVICE ? "service" : "model",
			"datacentre", view.datacentre, "state",
			states[view.state], "url", view.url, "checks_fencing",
			(int)view.checks_fencing, "in_flight",
			(int)view.in_flight, "window", view.window,
			"load_age_ms", (json_int_t)view.load_age));
	}
	return (list);
}

struct upd *
upd_open(struct dmn *dmn)
{
	struct upd *upd = g_new0(struct upd, 1);
	struct ups_options ups_options = {.datacentre = dmn->set->datacentre};
	struct sched_options sch_options = {.policy = NULL};

	upd->dmn = dmn;
	dmn->ups = ups_open(&ups_options);
	dmn->sch = sched_open(dmn->ups, &sch_options);
	upd->probes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, probe_free);
	upd->releases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	upd->started = cnt_counter(dmn->cnt, "upstream_calls_total",
	    "Calls started at upstreams.", NULL, NULL);
	upd->retried = cnt_counter(dmn->cnt, "upstream_retries_total",
	    "Calls that wait for another upstream.", NULL, NULL);
	upd->refused = cnt_counter(dmn->cnt, "upstream_refused_total",
	    "Calls refused before they were queued.", NULL, NULL);
	upd->prompt = cnt_counter(dmn->cnt, "prompt_tokens_total",
	    "Prompt tokens that engines reported.", NULL, NULL);
	upd->cached = cnt_counter(dmn->cnt, "cached_tokens_total",
	    "Prompt tokens that engines took from their cache.", NULL, NULL);
	upd->first_token = cnt_histogram(dmn->cnt, "upstream_first_seconds",
	    "Time from the start at an upstream to its first data.", NULL,
	    NULL);
	upd->queue_time = cnt_histogram(dmn->cnt, "upstream_queue_seconds",
	    "Time that a call waited for an upstream.", NULL, NULL);
	cfg_watch(dmn->cfg, CFG_UPSTREAM, on_upstream, upd);
	ev_timer_init(&upd->tick, on_tick, TICK_S, TICK_S);
	upd->tick.data = upd;
	ev_timer_start(dmn->loop, &upd->tick);
	return (upd);
}

void
upd_close(struct upd *upd)
{
	if (upd == NULL)
		return;
	ev_timer_stop(upd->dmn->loop, &upd->tick);
	sched_close(upd->dmn->sch);
	ups_close(upd->dmn->ups);
	g_hash_table_destroy(upd->probes);
	g_hash_table_destroy(upd->releases);
	g_free(upd);
}
