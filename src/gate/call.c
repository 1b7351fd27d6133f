#include "gate/call.h"

#include <glib.h>
#include <string.h>

#include "daemon/defer.h"
#include "daemon/repl.h"
#include "gate/answer.h"
#include "upstream/dispatch.h"

#define DEFAULT_BUDGET_TOKENS ((int64_t)2 * 1000 * 1000)
#define DEFAULT_ANSWER_TOKENS ((int64_t)1024)
#define SERVICE_TIMEOUT_MS    (30 * CLK_SECOND)
#define MAX_REPLY_BYTES	      ((size_t)8 * 1024 * 1024)
/* Tokens that a chat template adds to each message. */
#define TOKENS_PER_MESSAGE 16

enum phase {
	STARTING, /* not yet submitted to the program */
	WAITING, /* queued in the program, or joined to a call by its key */
	BEGINNING, /* the begin record awaits its acknowledgement */
	RUNNING, /* at an upstream, or queued for one */
	ENDING /* the end record awaits its acknowledgement */
};

struct call {
	struct call_set *calls;
	enum phase phase;
	enum call_kind kind;
	struct own_shard_id shard;
	bool has_shard;
	char *organisation;
	char *request_id;
	char *method;
	char *path;
	char *key;
	char *content_type;
	GBytes *body;
	char program[PROG_ID_SIZE];
	const struct call_sink *sink; /* nil after the caller disconnected */
	void *sink_arg;
	bool head_sent;
	struct trc_span *span;
	struct trc_span *upstream_span;

	/* A chat request. */
	json_t *chat;
	json_t *messages; /* of this request, without the history */
	char *model;
	bool stream;
	int64_t answer_tokens;
	struct answer_stream *assembly;

	/* A service call. */
	enum prog_call_kind prog_kind;

	struct prog_set *programs; /* nil: no program */
	prog_handle handle;
	unsigned turn;
	struct dispatch_call *upstream;
	int status;
	char *reply_type;
	GString *reply;
	struct vd vd;
	clk_ms started_at;
};

struct call_set {
	struct daemon *dmn;
	GHashTable *all; /* set of struct call */
	GHashTable *handles; /* struct handle_key -> struct call */
	struct cnt_metric *ended[VD_INTERNAL + 1];
	struct cnt_metric *duration;
	struct cnt_metric *tokens;
};

struct handle_key {
	const struct prog_set *programs;
	prog_handle handle;
};

static guint
handle_hash(gconstpointer data)
{
	const struct handle_key *key = data;

	return (g_int64_hash(&key->handle) ^ g_direct_hash(key->programs));
}

static gboolean
handle_equal(gconstpointer a, gconstpointer b)
{
	const struct handle_key *left = a, *right = b;

	return (
	    left->handle == right->handle && left->programs == right->programs);
}

static void
handle_set(struct call *call, prog_handle handle)
{
	struct handle_key *key = g_new0(struct handle_key, 1);

	key->programs = call->programs;
	key->handle = handle;
	call->handle = handle;
	g_hash_table_insert(call->calls->handles, key, call);
}

static void
handle_clear(struct call *call)
{
	struct handle_key key = {
	    .programs = call->programs, .handle = call->handle};

	if (call->handle != 0)
		(void)g_hash_table_remove(call->calls->handles, &key);
	call->handle = 0;
}

static void
call_free(struct call *call)
{
	handle_clear(call);
	(void)g_hash_table_remove(call->calls->all, call);
	trc_end(call->upstream_span, vd_is_ok(&call->vd));
	trc_end(call->span, vd_is_ok(&call->vd));
	answer_close(call->assembly);
	json_decref(call->chat);
	json_decref(call->messages);
	g_bytes_unref(call->body);
	g_string_free(call->reply, TRUE);
	g_free(call->organisation);
	g_free(call->request_id);
	g_free(call->method);
	g_free(call->path);
	g_free(call->key);
	g_free(call->content_type);
	g_free(call->model);
	g_free(call->reply_type);
	g_free(call);
}

static struct daemon *
call_dmn(const struct call *call)
{
	return (call->calls->dmn);
}

/* Pass the end on to the caller and free the call. */
static void
call_end(struct call *call, const struct vd *vd)
{
	struct call_set *calls = call->calls;
	clk_ms duration = daemon_now(calls->dmn) - call->started_at;

	call->vd = *vd;
	cnt_add(calls->ended[vd->code], 1);
	cnt_observe(calls->duration, duration);
	lg_event(calls->dmn->log, vd_is_ok(vd) ? LG_DEBUG : LG_INFO, "call_end",
	    "request=%s program=%s code=%s ran=%s ms=%lld", call->request_id,
	    call->program[0] != '\0' ? call->program : "-",
	    vd_code_name(vd->code), vd_ran_name(vd->ran), (long long)duration);
	if (call->sink != NULL)
		call->sink->end(vd, call->sink_arg);
	call_free(call);
}

static void
call_refuse(struct call *call, enum vd_code code, const char *detail)
{
	struct vd vd = vd_make(VD_NOT_RUN, code, "%s", detail);

	call_end(call, &vd);
}

static void
sink_head(struct call *call, int status, const char *content_type)
{
	if (call->sink == NULL || call->head_sent)
		return;
	call->head_sent = true;
	call->sink->head(
	    status, content_type, call->program, call->turn, call->sink_arg);
}

static void
sink_data(struct call *call, const void *data, size_t len)
{
	if (call->sink != NULL)
		call->sink->data(data, len, call->sink_arg);
}

static void
sink_event(struct call *call, const char *text)
{
	g_autofree char *event = g_strdup_printf("data: %s\n\n", text);

	sink_head(call, 200, "text/event-stream");
	sink_data(call, event, strlen(event));
}

/* Send the last chunk (program, turn and usage) and the [DONE] event. */
static void
stream_end(struct call *call, const json_t *completion)
{
	json_t *chunk = json_pack("{s:s,s:s,s:i,s:[],s:O*}", "object",
	    "chat.completion.chunk", "program_id", call->program, "turn",
	    (int)call->turn, "choices", "usage",
	    json_object_get(completion, "usage"));
	char *text = json_dumps(chunk, JSON_COMPACT);

	sink_event(call, text);
	sink_event(call, "[DONE]");
	free(text);
	json_decref(chunk);
}

/* Send a stored answer as a stream, the whole message in one chunk. */
static void
stream_stored(struct call *call, const char *reply, size_t len)
{
	json_t *completion = json_loadb(reply, len, 0, NULL);
	json_t *choice =
	    json_array_get(json_object_get(completion, "choices"), 0);
	json_t *chunk = json_pack("{s:s,s:[{s:i,s:O*,s:O*}]}", "object",
	    "chat.completion.chunk", "choices", "index", 0, "delta",
	    json_object_get(choice, "message"), "finish_reason",
	    json_object_get(choice, "finish_reason"));
	char *text = json_dumps(chunk, JSON_COMPACT);

	sink_event(call, text);
	stream_end(call, completion);
	free(text);
	json_decref(chunk);
	json_decref(completion);
}

/* End a call with a stored reply or a refusal of the program. */
static void
call_end_stored(struct call *call, const struct prog_answer *answer)
{
	struct vd vd = answer->vd;

	if (answer->turn != 0)
		call->turn = answer->turn;
	if (vd_is_ok(&vd) && answer->status == 0) {
		vd = vd_make(VD_RAN, VD_OUTCOME_UNKNOWN,
		    "the call ran, but its reply was too large to store");
	} else if (vd_is_ok(&vd) && call->kind == CALL_CHAT && call->stream) {
		stream_stored(call, answer->reply, answer->reply_len);
	} else if (vd_is_ok(&vd)) {
		sink_head(call, answer->status, answer->content_type);
		sink_data(call, answer->reply, answer->reply_len);
	}
	call_end(call, &vd);
}

/* The end of a call. */

static void
on_end_acked(bool acked, void *arg)
{
	struct call *call = arg;
	struct vd vd = call->vd;
	prog_handle handle = call->handle;

	if (handle != 0) {
		handle_clear(call);
		prog_call_ended(
		    call->programs, daemon_now(call_dmn(call)), handle, acked);
	}
	if (!acked && vd.code != VD_OWNER_LOST) {
		vd = vd_make(vd.ran == VD_NOT_RUN ? VD_NOT_RUN : VD_MAYBE,
		    VD_COPIES_UNAVAILABLE,
		    "the end of the call could not be replicated");
		vd.retry_after = CLK_SECOND;
	}
	if (vd_is_ok(&vd) && call->kind == CALL_CHAT) {
		json_t *completion =
		    json_loadb(call->reply->str, call->reply->len, 0, NULL);

		if (call->stream) {
			stream_end(call, completion);
		} else {
			sink_head(call, 200, "application/json");
			sink_data(call, call->reply->str, call->reply->len);
		}
		json_decref(completion);
	} else if (vd_is_ok(&vd)) {
		sink_head(call, call->status, call->reply_type);
		sink_data(call, call->reply->str, call->reply->len);
	}
	call_end(call, &vd);
}

static void
chat_result(struct call *call, struct prog_result *result)
{
	struct answer_usage usage;
	json_t *completion;
	char *text;

	if (call->assembly == NULL)
		return;
	answer_usage(call->assembly, &usage);
	if (!vd_is_ok(&result->vd)) {
		/* The usage of an incomplete answer is unknown (-1). */
		result->tokens = result->vd.ran == VD_NOT_RUN ? 0 : -1;
		return;
	}
	result->tokens =
	    usage.reported ? usage.prompt_tokens + usage.completion_tokens : -1;
	result->context_tokens = usage.reported ? result->tokens : 0;
	result->messages = json_array();
	(void)json_array_append_new(
	    result->messages, answer_message(call->assembly));
	completion = answer_completion(call->assembly, call->request_id,
	    call->model, call->program, call->turn);
	text = json_dumps(completion, JSON_COMPACT);
	g_string_assign(call->reply, text);
	free(text);
	json_decref(completion);
	result->status = 200;
	result->content_type = "application/json";
	cnt_add(call->calls->tokens, usage.completion_tokens);
}

/* Record the end of a call that the upstream has finished. */
static void
call_finish(struct call *call, const struct vd *vd, const char *upstream)
{
	struct daemon *dmn = call_dmn(call);
	struct prog_result result = {.vd = *vd,
	    .status = call->status,
	    .content_type = call->reply_type,
	    .engine = upstream};

	call->vd = *vd;
	trc_end(call->upstream_span, vd_is_ok(vd));
	call->upstream_span = NULL;
	if (call->programs == NULL) {
		on_end_acked(true, call);
		return;
	}
	if (call->kind == CALL_CHAT)
		chat_result(call, &result);
	result.reply = call->reply->str;
	result.reply_len = call->reply->len;
	call->phase = ENDING;
	if (call->handle == 0 ||
	    !prog_call_finish(
		call->programs, daemon_now(dmn), call->handle, &result)) {
		/* The shard moved; its new owner has only the begin record. */
		handle_clear(call);
		call->vd =
		    vd_make(vd->ran == VD_NOT_RUN ? VD_NOT_RUN : VD_MAYBE,
			VD_OWNER_LOST, "the shard moved while the call ran");
	}
	repl_ack_wait(dmn->repl, call->shard, on_end_acked, call);
	json_decref(result.messages);
}

/* The upstream's answer. */

static void
on_chunk(const char *text, size_t len, void *arg)
{
	struct call *call = arg;
	g_autofree char *copy = NULL;

	if (!call->stream)
		return;
	copy = g_strndup(text, len);
	sink_event(call, copy);
}

static void
on_upstream_head(int status, const char *content_type, void *arg)
{
	struct call *call = arg;

	call->status = status;
	g_free(call->reply_type);
	call->reply_type =
	    g_strdup(content_type[0] != '\0' ? content_type
					     : "application/octet-stream");
	/* A retry at another upstream starts the answer again. */
	g_string_set_size(call->reply, 0);
	if (call->kind == CALL_CHAT && status == 200 && call->assembly == NULL)
		call->assembly = answer_open(on_chunk, call);
}

static void
on_upstream_data(const void *data, size_t len, void *arg)
{
	struct call *call = arg;

	if (call->kind == CALL_CHAT && call->assembly != NULL) {
		(void)answer_feed(call->assembly, data, len);
		return;
	}
	if (call->reply->len + len <= MAX_REPLY_BYTES)
		g_string_append_len(call->reply, data, (gssize)len);
}

/* The verdict on a call that follows from the engine's reply. */
static struct vd
chat_verdict(const struct call *call)
{
	if (call->status != 200) {
		enum vd_ran ran = call->status < 500 || call->status == 503
		    ? VD_NOT_RUN
		    : VD_MAYBE;

		return (vd_make(ran, VD_UPSTREAM_FAILED,
		    "the engine answered with status %d", call->status));
	}
	if (call->assembly == NULL || !answer_is_complete(call->assembly))
		return (vd_make(VD_MAYBE, VD_UPSTREAM_FAILED,
		    "the engine's answer is incomplete"));
	return (vd_ok());
}

static void
on_upstream_done(const struct vd *vd, const char *upstream, void *arg)
{
	struct call *call = arg;
	struct vd verdict = *vd;
	struct answer_usage usage;

	if (vd_is_ok(vd) && call->kind == CALL_CHAT)
		verdict = chat_verdict(call);
	if (call->assembly != NULL) {
		answer_usage(call->assembly, &usage);
		dispatch_set_usage(call_dmn(call)->dispatch, call->upstream,
		    usage.prompt_tokens, usage.cached_tokens,
		    usage.completion_tokens);
	}
	call->upstream = NULL;
	if (upstream != NULL && call->upstream_span != NULL)
		trc_set(call->upstream_span, "upstream", upstream);
	call_finish(call, &verdict, upstream);
}

static const struct dispatch_callbacks upstream_callbacks = {
    .head = on_upstream_head,
    .data = on_upstream_data,
    .done = on_upstream_done,
};

/* The request body for the engine: the whole history, always streamed. */
static char *
engine_body(struct call *call, const char *messages)
{
	static const char *const own_fields[] = {"program_id", "turn",
	    "program", "messages", "max_tokens", "max_completion_tokens"};
	json_t *body = json_copy(call->chat);
	char *text, *whole;

	for (size_t i = 0; i < G_N_ELEMENTS(own_fields); i++)
		(void)json_object_del(body, own_fields[i]);
	(void)json_object_set_new(body, "stream", json_true());
	(void)json_object_set_new(
	    body, "stream_options", json_pack("{s:b}", "include_usage", 1));
	(void)json_object_set_new(
	    body, "max_tokens", json_integer(call->answer_tokens));
	text = json_dumps(body, JSON_COMPACT);
	/* The history is JSON text already and is not decoded again. */
	whole = g_strdup_printf("{\"messages\":%s,%s", messages, text + 1);
	free(text);
	json_decref(body);
	return (whole);
}

static void
upstream_start(struct call *call, struct dispatch_request *request)
{
	struct daemon *dmn = call_dmn(call);
	char parent[TRC_PARENT_SIZE];

	call->phase = RUNNING;
	call->upstream_span = trc_child(call->span, "upstream");
	request->organisation = call->organisation;
	request->program = call->program;
	request->request_id = call->request_id;
	request->traceparent = trc_parent(call->upstream_span, parent);
	call->upstream =
	    dispatch_start(dmn->dispatch, request, &upstream_callbacks, call);
}

static void
chat_run(struct call *call, const struct prog_call_info *info)
{
	struct dispatch_request request = {.target = call->model,
	    .urgency = info->urgency,
	    .program_created = info->created,
	    .method = "POST",
	    .path = "/v1/chat/completions",
	    .content_type = "application/json",
	    .idempotency_key = "",
	    .answer_tokens = call->answer_tokens,
	    .prompt_tokens = MAX(info->reserve - call->answer_tokens, 0),
	    .repeatable = true};
	g_autofree char *messages =
	    prog_call_messages_text(call->programs, call->handle);
	g_autofree char *body = engine_body(call, messages);

	request.body = body;
	request.body_len = strlen(body);
	upstream_start(call, &request);
}

/*
 * The path at the upstream: what follows "/v1/services/NAME".  Any other path
 * is passed on unchanged.
 */
static const char *
service_path(const char *path)
{
	static const char prefix[] = "/v1/services/";
	const char *rest;

	if (!g_str_has_prefix(path, prefix))
		return (path);
	rest = strchr(path + sizeof(prefix) - 1, '/');
	return (rest != NULL ? rest : "/");
}

static void
service_run(struct call *call, const struct prog_call_info *info)
{
	struct daemon *dmn = call_dmn(call);
	g_autofree char *path = g_strdup(call->path);
	const struct cfg_route *route;
	struct dispatch_request request = {.is_service = true,
	    .method = call->method,
	    .content_type = call->content_type,
	    .idempotency_key = call->key,
	    .repeatable = call->prog_kind != PROG_CALL_ONCE};
	size_t len;

	if (strchr(path, '?') != NULL)
		*strchr(path, '?') = '\0';
	route = cfg_route_match(dmn->cfg, path);
	if (route == NULL) {
		struct vd vd = vd_make(
		    VD_NOT_RUN, VD_NOT_FOUND, "no route matches the path");

		call_finish(call, &vd, NULL);
		return;
	}
	request.target = route->service;
	request.timeout =
	    route->timeout > 0 ? route->timeout : SERVICE_TIMEOUT_MS;
	request.path = service_path(call->path);
	request.body = g_bytes_get_data(call->body, &len);
	request.body_len = len;
	if (info != NULL) {
		request.urgency = info->urgency;
		request.program_created = info->created;
	} else {
		request.urgency = "";
		request.program_created = call->started_at;
	}
	upstream_start(call, &request);
}

/* The begin record was acknowledged, or replication failed. */
static void
on_begin_acked(bool acked, void *arg)
{
	struct call *call = arg;
	struct daemon *dmn = call_dmn(call);
	struct prog_call_info info;
	struct vd vd;

	if (call->handle == 0) {
		/* The shard moved in the meantime. */
		vd = vd_make(VD_NOT_RUN, VD_NOT_OWNER,
		    "the shard moved to another instance");
		call_end(call, &vd);
		return;
	}
	vd = prog_call_begun(
	    call->programs, daemon_now(dmn), call->handle, acked);
	if (!vd_is_ok(&vd)) {
		handle_clear(call);
		if (vd.retry_after == 0)
			vd.retry_after = CLK_SECOND;
		call_end(call, &vd);
		return;
	}
	/* A process that was suspended may have lost the shard since. */
	if (!own_may_act(dmn->own, call->shard, daemon_now(dmn))) {
		vd = vd_make(VD_NOT_RUN, VD_NOT_OWNER,
		    "this instance's lease of the shard has expired");
		call_finish(call, &vd, NULL);
		return;
	}
	if (call->sink == NULL && call->prog_kind != PROG_CALL_ONCE) {
		vd = vd_make(
		    VD_NOT_RUN, VD_CANCELLED, "the caller disconnected");
		call_finish(call, &vd, NULL);
		return;
	}
	(void)prog_call_get(call->programs, call->handle, &info);
	call->turn = info.turn;
	if (call->kind == CALL_CHAT)
		chat_run(call, &info);
	else
		service_run(call, &info);
}

static void
call_begin(struct call *call)
{
	call->phase = BEGINNING;
	repl_ack_wait(call_dmn(call)->repl, call->shard, on_begin_acked, call);
}

void
call_on_start(
    prog_handle handle, struct prog_set *programs, struct call_set *calls)
{
	struct handle_key key = {.programs = programs, .handle = handle};
	struct call *call = g_hash_table_lookup(calls->handles, &key);

	if (call != NULL)
		call_begin(call);
}

void
call_on_answer(prog_handle handle, const struct prog_answer *answer,
    struct prog_set *programs, struct call_set *calls)
{
	struct handle_key key = {.programs = programs, .handle = handle};
	struct call *call = g_hash_table_lookup(calls->handles, &key);

	if (call == NULL)
		return;
	handle_clear(call);
	switch (call->phase) {
	case RUNNING:
		if (call->upstream != NULL && call->kind == CALL_CHAT)
			(void)dispatch_cancel(call->upstream);
		else if (call->upstream != NULL)
			return; /* on_upstream_done() ends it */
		break;
	case BEGINNING:
	case ENDING:
		return; /* the callback of repl_ack_wait() ends it */
	default:
		break;
	}
	call_end_stored(call, answer);
}

/* Parsing a chat request. */

static bool
chat_refuse(struct call *call, enum vd_code code, const char *detail)
{
	call_refuse(call, code, detail);
	return (false);
}

static bool
chat_check_messages(struct call *call)
{
	const json_t *message;
	size_t i;

	call->messages = json_incref(json_object_get(call->chat, "messages"));
	if (!json_is_array(call->messages) ||
	    json_array_size(call->messages) == 0)
		return (chat_refuse(call, VD_BAD_REQUEST,
		    "messages: an array with at least one message is needed"));
	json_array_foreach(call->messages, i, message)
	{
		if (!json_is_string(json_object_get(message, "role")))
			return (chat_refuse(call, VD_BAD_REQUEST,
			    "messages: each message needs a role"));
	}
	return (true);
}

static bool
chat_check_limits(struct call *call)
{
	const struct cfg_model *model;
	const json_t *limit = json_object_get(call->chat, "max_tokens");

	call->model =
	    g_strdup(json_string_value(json_object_get(call->chat, "model")));
	if (call->model == NULL)
		return (chat_refuse(call, VD_BAD_REQUEST,
		    "model: the name of a model is needed"));
	model = cfg_model_find(call_dmn(call)->cfg, call->model);
	if (model == NULL)
		return (chat_refuse(
		    call, VD_UNKNOWN_MODEL, "the model is not configured"));
	if (limit == NULL)
		limit = json_object_get(call->chat, "max_completion_tokens");
	if (limit != NULL &&
	    (!json_is_integer(limit) || json_integer_value(limit) < 1))
		return (chat_refuse(call, VD_BAD_REQUEST,
		    "max_tokens: a positive integer is needed"));
	call->answer_tokens =
	    limit != NULL ? json_integer_value(limit) : DEFAULT_ANSWER_TOKENS;
	if (model->max_output_tokens > 0)
		call->answer_tokens =
		    MIN(call->answer_tokens, model->max_output_tokens);
	return (true);
}

static bool
chat_parse(struct call *call)
{
	size_t len;
	const char *text = g_bytes_get_data(call->body, &len);
	json_error_t error;
	const json_t *stream;

	call->chat = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(call->chat)) {
		struct vd vd = vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
		    "the body is not a JSON object: line %d column %d: %s",
		    call->chat == NULL ? error.line : 1,
		    call->chat == NULL ? error.column : 1,
		    call->chat == NULL ? error.text : "another type");

		call_end(call, &vd);
		return (false);
	}
	stream = json_object_get(call->chat, "stream");
	if (stream != NULL && !json_is_boolean(stream))
		return (chat_refuse(
		    call, VD_BAD_REQUEST, "stream: true or false is needed"));
	call->stream = json_is_true(stream);
	return (chat_check_messages(call) && chat_check_limits(call));
}

/* Programs. */

static int64_t
default_budget(const struct call *call)
{
	const struct cfg_organisation *organisation =
	    cfg_organisation_find(call_dmn(call)->cfg, call->organisation);

	if (organisation != NULL && organisation->budget_tokens > 0)
		return (organisation->budget_tokens);
	return (DEFAULT_BUDGET_TOKENS);
}

/*
 * The first unknown field of the object, or nil.  Ignoring a misspelt limit
 * would leave the program without it.
 */
static const char *
unknown_field(json_t *object)
{
	static const char *const known[] = {
	    "name", "budget_tokens", "urgency", "parent", NULL};
	const char *field;
	json_t *value;

	json_object_foreach(object, field, value)
	{
		if (!g_strv_contains(known, field))
			return (field);
	}
	return (NULL);
}

/*
 * Create a program from an object with the optional fields name,
 * budget_tokens, urgency and parent; name is a program of the configuration.
 */
static struct vd
program_create(struct call *call, json_t *object)
{
	static const char *const classes[] = {"urgent", "normal", "batch"};
	struct daemon *dmn = call_dmn(call);
	const char *name = json_string_value(json_object_get(object, "name"));
	const char *urgency =
	    json_string_value(json_object_get(object, "urgency"));
	const json_t *budget = json_object_get(object, "budget_tokens");
	const char *unknown = unknown_field(object);
	const struct cfg_program *program = NULL;
	struct prog_new_program new_program = {
	    .organisation = call->organisation,
	    .parent = json_string_value(json_object_get(object, "parent")),
	    .shard = call->shard.shard,
	    .budget = default_budget(call)};

	if (object != NULL && !json_is_object(object))
		return (vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
		    "program: an object is needed"));
	if (unknown != NULL)
		return (vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
		    "program: the field %.40s is not known", unknown));
	if (name != NULL) {
		program = cfg_program_find(dmn->cfg, name);
		if (program == NULL)
			return (vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
			    "program: the name is not configured"));
		if (program->budget_tokens > 0)
			new_program.budget = program->budget_tokens;
		if (urgency == NULL)
			urgency = classes[program->urgency];
	}
	if (budget != NULL) {
		if (!json_is_integer(budget) || json_integer_value(budget) < 1)
			return (vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
			    "budget_tokens: a positive integer is needed"));
		new_program.budget = json_integer_value(budget);
	}
	new_program.urgency = urgency != NULL ? urgency : "normal";
	if (!g_strv_contains(
		(const char *const[]){"urgent", "normal", "batch", NULL},
		new_program.urgency))
		return (vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
		    "urgency: urgent, normal or batch is needed"));
	return (prog_create(
	    call->programs, daemon_now(dmn), &new_program, call->program));
}

/* Whether the call's program id is the one derived from its key. */
static bool
is_program_implicit(const struct call *call)
{
	struct prog_id id;
	char derived[PROG_ID_SIZE];

	if (call->key[0] == '\0')
		return (false);
	prog_id_derive((uint8_t)call->shard.datacentre,
	    call_dmn(call)->settings->shards, call->organisation, call->key,
	    &id);
	prog_id_format(&id, derived);
	return (strcmp(derived, call->program) == 0);
}

static void
digest_request(const struct call *call, uint8_t digest[PROG_DIGEST_SIZE])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = PROG_DIGEST_SIZE, len;
	const guchar *body = g_bytes_get_data(call->body, &len);

	/* The terminating zero bytes separate method, path and body. */
	g_checksum_update(checksum, (const guchar *)call->method,
	    (gssize)strlen(call->method) + 1);
	g_checksum_update(checksum, (const guchar *)call->path,
	    (gssize)strlen(call->path) + 1);
	g_checksum_update(checksum, body, (gssize)len);
	g_checksum_get_digest(checksum, digest, &size);
	g_checksum_free(checksum);
}

/* Upper bound for the tokens of the new messages: one token per byte. */
static int64_t
prompt_bound(const struct call *call)
{
	gsize len = g_bytes_get_size(call->body);

	return ((int64_t)len +
	    TOKENS_PER_MESSAGE * (int64_t)json_array_size(call->messages));
}

static void
call_submit(struct call *call)
{
	struct prog_call submit = {.program = call->program,
	    .organisation = call->organisation,
	    .kind = call->prog_kind,
	    .implicit = is_program_implicit(call),
	    .implicit_budget = default_budget(call),
	    .key = call->key[0] != '\0' ? call->key : NULL};
	struct prog_answer answer;
	prog_handle handle;
	const json_t *turn;

	digest_request(call, submit.digest);
	if (call->kind == CALL_CHAT) {
		submit.messages = call->messages;
		submit.prompt_tokens = prompt_bound(call);
		submit.answer_tokens = call->answer_tokens;
		turn = json_object_get(call->chat, "turn");
		if (json_is_integer(turn) && json_integer_value(turn) > 0)
			submit.turn = (uint32_t)json_integer_value(turn);
	}
	switch (prog_call_submit(call->programs, daemon_now(call_dmn(call)),
	    &submit, &handle, &answer)) {
	case PROG_SUBMIT_START:
		handle_set(call, handle);
		call_begin(call);
		break;
	case PROG_SUBMIT_QUEUED:
	case PROG_SUBMIT_JOIN:
		handle_set(call, handle);
		call->phase = WAITING;
		break;
	case PROG_SUBMIT_REPLAY:
	case PROG_SUBMIT_REFUSED:
		call_end_stored(call, &answer);
		break;
	}
}

/* End the call unless this instance may begin calls of the shard. */
static bool
owner_check(struct call *call)
{
	struct daemon *dmn = call_dmn(call);
	struct vd vd;

	if (call->shard.datacentre < dmn->n_datacentres &&
	    own_may_begin_calls(dmn->own, call->shard, daemon_now(dmn))) {
		call->programs = dmn->programs[call->shard.datacentre];
		return (true);
	}
	vd = vd_make(VD_NOT_RUN, VD_NOT_OWNER,
	    "this instance may not begin calls of the shard");
	vd.retry_after = CLK_SECOND;
	call_end(call, &vd);
	return (false);
}

static void
chat_start(struct call *call)
{
	struct vd vd;

	if (!chat_parse(call) || !owner_check(call))
		return;
	call->prog_kind = PROG_CALL_MODEL;
	if (call->program[0] == '\0') {
		vd = program_create(
		    call, json_object_get(call->chat, "program"));
		if (!vd_is_ok(&vd)) {
			call_end(call, &vd);
			return;
		}
	}
	trc_set(call->span, "program", call->program);
	call_submit(call);
}

static void
service_start(struct call *call)
{
	struct daemon *dmn = call_dmn(call);
	g_autofree char *path = g_strdup(call->path);
	const struct cfg_route *route;

	if (strchr(path, '?') != NULL)
		*strchr(path, '?') = '\0';
	route = cfg_route_match(dmn->cfg, path);
	if (route == NULL) {
		call_refuse(call, VD_NOT_FOUND, "no route matches the path");
		return;
	}
	call->prog_kind =
	    route->idempotent ? PROG_CALL_IDEMPOTENT : PROG_CALL_ONCE;
	if (!call->has_shard) {
		service_run(call, NULL);
		return;
	}
	if (!owner_check(call))
		return;
	trc_set(call->span, "program", call->program);
	call_submit(call);
}

/* Programs as resources. */

static void
on_created(bool acked, void *arg)
{
	struct call *call = arg;
	struct vd vd = vd_ok();
	g_autofree char *text = NULL;

	if (!acked) {
		(void)prog_close(call->programs, daemon_now(call_dmn(call)),
		    NULL, call->program);
		vd = vd_make(VD_NOT_RUN, VD_COPIES_UNAVAILABLE,
		    "the program could not be replicated");
		vd.retry_after = CLK_SECOND;
	} else {
		text =
		    g_strdup_printf("{\"program_id\":\"%s\"}", call->program);
		sink_head(call, 201, "application/json");
		sink_data(call, text, strlen(text));
	}
	call_end(call, &vd);
}

static void
create_start(struct call *call)
{
	size_t len;
	const char *text = g_bytes_get_data(call->body, &len);
	json_t *object = len > 0
	    ? json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL)
	    : json_object();
	struct vd vd;

	if (!json_is_object(object)) {
		json_decref(object);
		call_refuse(
		    call, VD_BAD_REQUEST, "the body is not a JSON object");
		return;
	}
	if (!owner_check(call)) {
		json_decref(object);
		return;
	}
	vd = program_create(call, object);
	json_decref(object);
	if (!vd_is_ok(&vd)) {
		call_end(call, &vd);
		return;
	}
	call->phase = ENDING;
	repl_ack_wait(call_dmn(call)->repl, call->shard, on_created, call);
}

static void
show_start(struct call *call)
{
	json_t *program;
	char *text;
	struct vd vd = vd_ok();

	if (!owner_check(call))
		return;
	program = prog_show(call->programs, call->program);
	if (program == NULL ||
	    g_strcmp0(
		json_string_value(json_object_get(program, "organisation")),
		call->organisation) != 0) {
		json_decref(program);
		call_refuse(call, VD_UNKNOWN_PROGRAM, "no such program");
		return;
	}
	text = json_dumps(program, JSON_COMPACT);
	json_decref(program);
	sink_head(call, 200, "application/json");
	sink_data(call, text, strlen(text));
	free(text);
	call_end(call, &vd);
}

static void
on_closed(bool acked, void *arg)
{
	struct call *call = arg;
	struct vd vd = vd_ok();
	static const char text[] = "{\"closed\":true}";

	if (!acked) {
		vd = vd_make(VD_MAYBE, VD_COPIES_UNAVAILABLE,
		    "the end of the program could not be replicated");
		vd.retry_after = CLK_SECOND;
	} else {
		sink_head(call, 200, "application/json");
		sink_data(call, text, sizeof(text) - 1);
	}
	call_end(call, &vd);
}

static void
close_start(struct call *call)
{
	struct vd vd;

	if (!owner_check(call))
		return;
	vd = prog_close(call->programs, daemon_now(call_dmn(call)),
	    call->organisation, call->program);
	if (!vd_is_ok(&vd)) {
		call_end(call, &vd);
		return;
	}
	call->phase = ENDING;
	repl_ack_wait(call_dmn(call)->repl, call->shard, on_closed, call);
}

static void
call_run(void *arg)
{
	struct call *call = arg;

	if (call->sink == NULL) {
		call_free(call);
		return;
	}
	switch (call->kind) {
	case CALL_CHAT:
		chat_start(call);
		break;
	case CALL_SERVICE:
		service_start(call);
		break;
	case CALL_PROGRAM_CREATE:
		create_start(call);
		break;
	case CALL_PROGRAM_SHOW:
		show_start(call);
		break;
	case CALL_PROGRAM_CLOSE:
		close_start(call);
		break;
	}
}

struct call *
call_start(struct call_set *calls, const struct call_request *request,
    const struct call_sink *sink, void *arg)
{
	struct call *call = g_new0(struct call, 1);

	call->calls = calls;
	call->kind = request->kind;
	call->shard = request->shard;
	call->has_shard = request->has_shard;
	call->organisation = g_strdup(request->organisation);
	call->request_id = g_strdup(request->request_id);
	call->method = g_strdup(request->method);
	call->path = g_strdup(request->path);
	call->key = g_strdup(request->idempotency_key);
	call->content_type = g_strdup(request->content_type);
	call->body = g_bytes_new(request->body, request->body_len);
	(void)g_strlcpy(call->program, request->program, sizeof(call->program));
	call->sink = sink;
	call->sink_arg = arg;
	call->reply = g_string_new(NULL);
	call->reply_type = g_strdup("application/octet-stream");
	call->started_at = daemon_now(calls->dmn);
	call->span =
	    trc_start(calls->dmn->tracer, "owner", request->traceparent);
	trc_set(call->span, "request", request->request_id);
	trc_set(call->span, "organisation", request->organisation);
	(void)g_hash_table_add(calls->all, call);
	defer_add(calls->dmn->defer, call_run, call);
	return (call);
}

void
call_cancel(struct call *call)
{
	g_autofree char *upstream = NULL;
	struct vd vd;

	call->sink = NULL;
	switch (call->phase) {
	case STARTING:
	case BEGINNING:
	case ENDING:
		return; /* a pending callback ends the call */
	case WAITING:
		if (prog_call_cancel(call->programs, call->handle))
			call_free(call);
		return;
	case RUNNING:
		break;
	}
	if (call->upstream == NULL || call->prog_kind == PROG_CALL_ONCE)
		return;
	/* An engine that started the call may cache the program's prefix. */
	upstream = g_strdup(dispatch_call_upstream(call->upstream));
	vd = vd_make(dispatch_cancel(call->upstream), VD_CANCELLED,
	    "the caller disconnected");
	call->upstream = NULL;
	call_finish(call, &vd, upstream);
}

struct call_set *
call_set_open(struct daemon *dmn)
{
	struct call_set *calls = g_new0(struct call_set, 1);

	calls->dmn = dmn;
	calls->all = g_hash_table_new(NULL, NULL);
	calls->handles =
	    g_hash_table_new_full(handle_hash, handle_equal, g_free, NULL);
	for (int code = VD_OK; code <= VD_INTERNAL; code++)
		calls->ended[code] = cnt_counter(dmn->cnt, "calls_total",
		    "Calls that ended at this owner, by code.", "code",
		    vd_code_name((enum vd_code)code));
	calls->duration = cnt_histogram(dmn->cnt, "call_seconds",
	    "Time of a call at its owner.", NULL, NULL);
	calls->tokens = cnt_counter(dmn->cnt, "generated_tokens_total",
	    "Tokens generated by engines for calls of this owner.", NULL, NULL);
	return (calls);
}

void
call_set_close(struct call_set *calls)
{
	GList *all;

	if (calls == NULL)
		return;
	all = g_hash_table_get_keys(calls->all);
	for (GList *l = all; l != NULL; l = l->next) {
		struct call *call = l->data;

		if (call->upstream != NULL)
			(void)dispatch_cancel(call->upstream);
		call_free(call);
	}
	g_list_free(all);
	g_hash_table_destroy(calls->all);
	g_hash_table_destroy(calls->handles);
	g_free(calls);
}

unsigned
call_set_count(const struct call_set *calls)
{
	return (g_hash_table_size(calls->all));
}
