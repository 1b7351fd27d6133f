#include "gate/gate.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "daemon/config.h"
#include "daemon/grants.h"
#include "gate/call.h"
#include "gate/forward.h"
#include "lib/web.h"

/* How long a request is retried while its shard has no live owner. */
#define DISPATCH_TIMEOUT_MS (8 * CLK_SECOND)
#define RETRY_INTERVAL_S    0.1
#define CONNECTION_IDLE_S   120
#define MAX_KEY_BYTES	    255
#define MAX_PATH_BYTES	    4096
#define REQUEST_ID_SIZE	    20

enum state {
	RATE_WAIT, /* for a token of the organisation's bucket */
	OWNER_WAIT, /* for a live owner of the shard */
	LOCAL, /* runs here */
	REMOTE /* runs at the owner */
};

/* A caller's request. */
struct entry {
	struct gate *gate;
	struct web_req *req;
	enum state state;
	enum call_kind kind;
	char request_id[REQUEST_ID_SIZE];
	char *organisation;
	char *key_id;
	char *path; /* with the query string */
	char *program;
	char *key; /* Idempotency-Key or "" */
	struct own_shard_id shard;
	bool has_shard;
	bool any_shard; /* new program: any shard of this data centre */
	clk_ms started_at;
	clk_ms deadline;
	ev_timer retry;
	struct call *call;
	struct forward_call *forward;
	struct trc_span *span;
	bool head_sent;
	bool streaming;
	int status;
	char *content_type;
	GByteArray *body;
	struct vd last_verdict; /* of the last attempt */
	bool may_have_run; /* an earlier attempt may have run */
};

struct gate {
	struct daemon *dmn;
	struct web *web;
	GHashTable *entries; /* set of struct entry */
	unsigned next_shard;
	bool stopping;
	struct cnt_metric *answered[VD_INTERNAL + 1];
	struct cnt_metric *duration;
	struct cnt_metric *first_byte;
	struct cnt_metric *retries;
};

static void entry_dispatch(struct entry *entry);

static void
entry_free(struct entry *entry)
{
	(void)g_hash_table_remove(entry->gate->entries, entry);
	ev_timer_stop(entry->gate->dmn->loop, &entry->retry);
	g_free(entry->organisation);
	g_free(entry->key_id);
	g_free(entry->path);
	g_free(entry->program);
	g_free(entry->key);
	g_free(entry->content_type);
	g_byte_array_unref(entry->body);
	g_free(entry);
}

static void
entry_record(struct entry *entry, const struct vd *vd)
{
	struct gate *gate = entry->gate;
	clk_ms duration = daemon_now(gate->dmn) - entry->started_at;
	char buf[128];

	cnt_add(gate->answered[vd->code], 1);
	cnt_observe(gate->duration, duration);
	trc_set(entry->span, "code", vd_code_name(vd->code));
	trc_end(entry->span, vd_is_ok(vd));
	lg_event(gate->dmn->log, LG_INFO, "request_end",
	    "request=%s organisation=%s key=%s code=%s ran=%s ms=%lld",
	    entry->request_id,
	    lg_quote(buf, sizeof(buf),
		entry->organisation != NULL ? entry->organisation : "-"),
	    entry->key_id != NULL && entry->key_id[0] != '\0' ? entry->key_id
							      : "-",
	    vd_code_name(vd->code), vd_ran_name(vd->ran), (long long)duration);
}

static void
add_headers(struct entry *entry, const char *program, unsigned turn)
{
	char text[16];

	web_header_add(entry->req, "X-Request-Id", entry->request_id);
	if (entry->gate->stopping)
		web_header_add(entry->req, "Connection", "close");
	if (program[0] != '\0')
		web_header_add(entry->req, "Samphireshed-Program", program);
	if (turn == 0)
		return;
	(void)g_snprintf(text, sizeof(text), "%u", turn);
	web_header_add(entry->req, "Samphireshed-Turn", text);
}

/* Reply with an error, or end a stream with an error event. */
static void
entry_fail(struct entry *entry, const struct vd *refusal)
{
	struct vd copy = *refusal;
	const struct vd *vd = &copy;

	/* An earlier attempt may have run even if the last one did not. */
	if (entry->may_have_run && copy.ran == VD_NOT_RUN)
		copy.ran = VD_MAYBE;
	entry_record(entry, vd);
	if (entry->streaming) {
		g_autofree char *body = vd_body(vd, entry->request_id);
		g_autofree char *event = g_strdup_printf("data: %s\n\n", body);

		web_stream_write(entry->req, event, strlen(event));
		web_stream_end(entry->req);
	} else {
		if (!entry->head_sent)
			add_headers(entry, "", 0);
		web_reply_verdict(entry->req, vd, entry->request_id);
	}
	entry_free(entry);
}

static void
entry_refuse(struct entry *entry, enum vd_code code, const char *detail)
{
	struct vd vd = vd_make(VD_NOT_RUN, code, "%s", detail);

	entry_fail(entry, &vd);
}

/* Callbacks of the call. */

static void
on_head(int status, const char *content_type, const char *program,
    unsigned turn, void *arg)
{
	struct entry *entry = arg;

	entry->head_sent = true;
	entry->status = status;
	entry->content_type = g_strdup(content_type);
	add_headers(entry, program, turn);
	cnt_observe(entry->gate->first_byte,
	    daemon_now(entry->gate->dmn) - entry->started_at);
	trc_set(entry->span, "program", program);
	if (g_str_has_prefix(content_type, "text/event-stream")) {
		entry->streaming = true;
		web_header_add(entry->req, "Cache-Control", "no-store");
		web_stream_begin(entry->req, status, content_type);
	}
}

static void
on_data(const void *data, size_t len, void *arg)
{
	struct entry *entry = arg;

	if (entry->streaming)
		web_stream_write(entry->req, data, len);
	else
		g_byte_array_append(entry->body, data, (guint)len);
}

/* Whether the request may be retried after this verdict. */
static bool
is_retryable(const struct entry *entry, const struct vd *vd)
{
	if (entry->head_sent || daemon_now(entry->gate->dmn) >= entry->deadline)
		return (false);
	if (vd->ran == VD_NOT_RUN &&
	    (vd->code == VD_NOT_OWNER || vd->code == VD_OWNER_UNREACHABLE))
		return (true);
	/* The new owner finds the outcome of the first attempt by its key. */
	return (vd->code == VD_OWNER_LOST && entry->key[0] != '\0');
}

static void
entry_retry_later(struct entry *entry)
{
	entry->state = OWNER_WAIT;
	ev_timer_stop(entry->gate->dmn->loop, &entry->retry);
	ev_timer_set(&entry->retry, RETRY_INTERVAL_S, 0.0);
	ev_timer_start(entry->gate->dmn->loop, &entry->retry);
}

static void
on_end(const struct vd *vd, void *arg)
{
	struct entry *entry = arg;

	entry->call = NULL;
	entry->forward = NULL;
	if (!vd_is_ok(vd)) {
		if (is_retryable(entry, vd)) {
			entry->last_verdict = *vd;
			entry->may_have_run =
			    entry->may_have_run || vd->ran != VD_NOT_RUN;
			cnt_add(entry->gate->retries, 1);
			entry_retry_later(entry);
		} else {
			entry_fail(entry, vd);
		}
		return;
	}
	entry_record(entry, vd);
	if (entry->streaming)
		web_stream_end(entry->req);
	else
		web_reply(entry->req, entry->status, entry->content_type,
		    entry->body->data, entry->body->len);
	entry_free(entry);
}

static const struct call_sink entry_sink = {
    .head = on_head,
    .data = on_data,
    .end = on_end,
};

/* Cancel the work for a request without sending a reply. */
static void
entry_cancel(struct entry *entry)
{
	switch (entry->state) {
	case RATE_WAIT:
		grants_cancel(
		    entry->gate->dmn->grants, entry->organisation, entry);
		break;
	case LOCAL:
		if (entry->call != NULL)
			call_cancel(entry->call);
		break;
	case REMOTE:
		if (entry->forward != NULL)
			forward_cancel(entry->forward);
		break;
	case OWNER_WAIT:
		break;
	}
	entry->call = NULL;
	entry->forward = NULL;
}

static void
on_disconnect(void *arg)
{
	struct entry *entry = arg;
	struct vd vd =
	    vd_make(VD_MAYBE, VD_CANCELLED, "the caller disconnected");

	entry_cancel(entry);
	entry_fail(entry, &vd);
}

/* Finding the owner. */

static bool
is_served_here(const struct daemon *dmn, struct own_shard_id id)
{
	return (own_may_begin_calls(dmn->own, id, daemon_now(dmn)));
}

/* Choose a shard of this data centre, served here if possible. */
static bool
choose_shard(struct gate *gate, struct own_shard_id *id)
{
	struct daemon *dmn = gate->dmn;
	struct own_shard info;
	bool found = false;

	for (unsigned i = 0; i < dmn->settings->shards; i++) {
		struct own_shard_id shard = {
		    .datacentre = (uint16_t)dmn->settings->datacentre_number,
		    .shard = (uint16_t)((gate->next_shard + i) %
			dmn->settings->shards)};

		if (is_served_here(dmn, shard)) {
			*id = shard;
			gate->next_shard = shard.shard + 1u;
			return (true);
		}
		if (!found && own_shard_get(dmn->own, shard, &info) &&
		    info.owner != 0 && info.owner != dmn->session &&
		    member_state_get(dmn->members, info.owner) == MEMBER_LIVE) {
			*id = shard;
			found = true;
		}
	}
	gate->next_shard++;
	return (found);
}

static void
request_fill(
    const struct entry *entry, struct call_request *request, char *parent)
{
	const char *content_type = web_header(entry->req, "Content-Type");

	memset(request, 0, sizeof(*request));
	request->kind = entry->kind;
	request->shard = entry->shard;
	request->has_shard = entry->has_shard;
	request->organisation = entry->organisation;
	request->key_id = entry->key_id;
	request->request_id = entry->request_id;
	request->traceparent = trc_parent(entry->span, parent);
	request->method = web_method(entry->req);
	request->path = entry->path;
	request->program = entry->program;
	request->idempotency_key = entry->key;
	request->content_type = content_type != NULL ? content_type : "";
	request->body = web_body(entry->req, &request->body_len);
}

static void
entry_retry_or_fail(struct entry *entry)
{
	struct vd vd = entry->last_verdict;

	if (daemon_now(entry->gate->dmn) < entry->deadline) {
		entry_retry_later(entry);
		return;
	}
	if (vd.code == VD_OK) {
		vd = vd_make(VD_NOT_RUN, VD_OWNER_UNREACHABLE,
		    "no owner of the program's shard can be reached");
		vd.retry_after = 2 * CLK_SECOND;
	}
	entry_fail(entry, &vd);
}

static void
entry_dispatch(struct entry *entry)
{
	struct gate *gate = entry->gate;
	struct daemon *dmn = gate->dmn;
	struct call_request request;
	char parent[TRC_PARENT_SIZE];
	struct own_shard info;

	entry->state = OWNER_WAIT;
	if (entry->any_shard && !choose_shard(gate, &entry->shard)) {
		entry_retry_or_fail(entry);
		return;
	}
	request_fill(entry, &request, parent);
	if (!entry->has_shard || is_served_here(dmn, entry->shard)) {
		entry->state = LOCAL;
		entry->call =
		    call_start(dmn->calls, &request, &entry_sink, entry);
		return;
	}
	if (!own_shard_get(dmn->own, entry->shard, &info) || info.owner == 0 ||
	    info.owner == dmn->session ||
	    member_state_get(dmn->members, info.owner) != MEMBER_LIVE) {
		entry_retry_or_fail(entry);
		return;
	}
	entry->state = REMOTE;
	entry->forward = forward_start(
	    dmn->forward, info.owner, &request, &entry_sink, entry);
}

static void
on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	entry_dispatch(timer->data);
}

static void
on_rate_granted(const struct vd *vd, void *waiter)
{
	struct entry *entry = waiter;

	if (!vd_is_ok(vd)) {
		entry_fail(entry, vd);
		return;
	}
	entry_dispatch(entry);
}

/* Checking a request. */

/* The data centre of an organisation's calls without a program. */
static uint16_t
home_datacentre(const struct gate *gate, const char *organisation)
{
	struct daemon *dmn = gate->dmn;
	const struct cfg_organisation *config =
	    cfg_organisation_find(dmn->cfg, organisation);
	const struct cfg_datacentre *home = NULL;
	GPtrArray *names;
	uint16_t number = (uint16_t)dmn->settings->datacentre_number;
	guint i;

	if (config != NULL && config->home[0] != '\0')
		home = cfg_datacentre_find(dmn->cfg, config->home);
	if (home != NULL)
		return ((uint16_t)home->number);
	names = cfg_object_names(dmn->cfg, CFG_DATACENTRE);
	if (names->len > 0) {
		i = g_str_hash(organisation) % names->len;
		home =
		    cfg_datacentre_find(dmn->cfg, g_ptr_array_index(names, i));
		if (home != NULL)
			number = (uint16_t)home->number;
	}
	g_ptr_array_unref(names);
	return (number);
}

/* Set the shard by the program id.  Returns false if it was refused. */
static bool
locate_program(struct entry *entry, const char *program)
{
	struct prog_id id;

	if (!prog_id_parse(program, &id) ||
	    id.datacentre >= entry->gate->dmn->n_datacentres ||
	    id.shard >= entry->gate->dmn->settings->shards) {
		entry_refuse(
		    entry, VD_UNKNOWN_PROGRAM, "this is not a program id");
		return (false);
	}
	g_free(entry->program);
	entry->program = g_strdup(program);
	entry->shard.datacentre = id.datacentre;
	entry->shard.shard = id.shard;
	entry->has_shard = true;
	return (true);
}

/* A call with a key but no program uses the program derived from the key. */
static bool
locate_implicit(struct entry *entry)
{
	struct prog_id id;
	char text[PROG_ID_SIZE];

	prog_id_derive(
	    (uint8_t)home_datacentre(entry->gate, entry->organisation),
	    entry->gate->dmn->settings->shards, entry->organisation, entry->key,
	    &id);
	prog_id_format(&id, text);
	return (locate_program(entry, text));
}

static bool
locate_chat(struct entry *entry)
{
	size_t len;
	const char *text = web_body(entry->req, &len);
	json_error_t error;
	json_t *body = json_loadb(text, len, 0, &error);
	const json_t *id = json_object_get(body, "program_id");
	const char *parent;
	bool located = true;

	if (!json_is_object(body)) {
		struct vd vd = vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
		    "the body is not a JSON object: line %d column %d: %s",
		    body == NULL ? error.line : 1,
		    body == NULL ? error.column : 1,
		    body == NULL ? error.text : "another type");

		json_decref(body);
		entry_fail(entry, &vd);
		return (false);
	}
	parent = json_string_value(
	    json_object_get(json_object_get(body, "program"), "parent"));
	if (id != NULL && !json_is_string(id)) {
		entry_refuse(
		    entry, VD_BAD_REQUEST, "program_id: must be a string");
		located = false;
	} else if (id != NULL) {
		located = locate_program(entry, json_string_value(id));
	} else if (entry->key[0] != '\0') {
		located = locate_implicit(entry);
	} else if (parent != NULL) {
		/* A sub-agent runs in its parent's shard. */
		located = locate_program(entry, parent);
		if (located)
			entry->program[0] = '\0';
	} else {
		entry->any_shard = entry->has_shard = true;
	}
	json_decref(body);
	return (located);
}

static bool
locate_create(struct entry *entry)
{
	size_t len;
	const char *text = web_body(entry->req, &len);
	json_t *body = json_loadb(text, len, 0, NULL);
	const char *parent = json_string_value(json_object_get(body, "parent"));
	bool located = true;

	if (parent != NULL) {
		located = locate_program(entry, parent);
		if (located)
			entry->program[0] = '\0';
	} else {
		entry->any_shard = entry->has_shard = true;
	}
	json_decref(body);
	return (located);
}

static bool
locate_service(struct entry *entry, const struct cfg_route *route)
{
	const char *program = web_header(entry->req, "Samphireshed-Program");

	if (!route->idempotent && entry->key[0] == '\0') {
		entry_refuse(entry, VD_KEY_REQUIRED,
		    "this route requires an Idempotency-Key");
		return (false);
	}
	if (program != NULL)
		return (locate_program(entry, program));
	if (entry->key[0] != '\0')
		return (locate_implicit(entry));
	return (true);
}

static bool
is_method_allowed(const struct cfg_route *route, const char *method)
{
	return (route->methods[0] == NULL ||
	    g_strv_contains(route->methods, method));
}

/*
 * Set the organisation by the key of the request.  Returns a refusal if the
 * key is missing or not valid.
 */
static struct vd
authenticate(struct entry *entry)
{
	static const char scheme[] = "Bearer ";
	struct daemon *dmn = entry->gate->dmn;
	const char *header = web_header(entry->req, "Authorization");
	const struct cfg_organisation *organisation;
	const struct cfg_key *key;
	uint8_t digest[CFG_DIGEST_SIZE];

	if (header == NULL ||
	    g_ascii_strncasecmp(header, scheme, sizeof(scheme) - 1) != 0)
		return (vd_make(VD_NOT_RUN, VD_UNAUTHORIZED,
		    "a key is required: Authorization: Bearer KEY"));
	header += sizeof(scheme) - 1;
	(void)crypto_hash_sha256(
	    digest, (const unsigned char *)header, strlen(header));
	key = cfg_key_find(dmn->cfg, digest);
	if (key == NULL)
		return (vd_make(VD_NOT_RUN, VD_UNAUTHORIZED, "unknown key"));
	if (key->withdrawn)
		return (vd_make(
		    VD_NOT_RUN, VD_KEY_WITHDRAWN, "the key was withdrawn"));
	if (key->expires != 0 && clk_wall_ms() >= key->expires)
		return (vd_make(
		    VD_NOT_RUN, VD_UNAUTHORIZED, "the key has expired"));
	organisation = cfg_organisation_find(dmn->cfg, key->organisation);
	if (organisation == NULL)
		return (vd_make(VD_NOT_RUN, VD_FORBIDDEN,
		    "the key's organisation does not exist"));
	if (organisation->refuse_when_stale && config_is_stale(dmn->config)) {
		struct vd vd = vd_make(VD_NOT_RUN, VD_CONFIG_STALE,
		    "this instance's list of withdrawn keys is out of date");

		vd.retry_after = 2 * CLK_SECOND;
		return (vd);
	}
	entry->organisation = g_strdup(organisation->name);
	entry->key_id = g_strdup(key->id);
	return (vd_ok());
}

static char *
path_with_query(struct web_req *req)
{
	const char *query = web_query_string(req);

	if (query == NULL)
		return (g_strdup(web_path(req)));
	return (g_strdup_printf("%s?%s", web_path(req), query));
}

static void
show_models(struct entry *entry)
{
	GPtrArray *names = cfg_object_names(entry->gate->dmn->cfg, CFG_MODEL);
	json_t *list = json_array();
	json_t *body;
	char *text;
	struct vd vd = vd_ok();

	for (guint i = 0; i < names->len; i++)
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:s}", "id", g_ptr_array_index(names, i),
			"object", "model"));
	body = json_pack("{s:s,s:o}", "object", "list", "data", list);
	text = json_dumps(body, JSON_COMPACT);
	on_head(200, "application/json", "", 0, entry);
	on_data(text, strlen(text), entry);
	free(text);
	json_decref(body);
	g_ptr_array_unref(names);
	on_end(&vd, entry);
}

/* Find the route.  Returns false if a reply was sent already. */
static bool
route_request(struct entry *entry)
{
	static const char programs[] = "/v1/programs";
	const char *path = web_path(entry->req);
	const char *method = web_method(entry->req);
	const struct cfg_route *route;

	if (strcmp(path, "/v1/chat/completions") == 0) {
		entry->kind = CALL_CHAT;
		if (strcmp(method, "POST") == 0)
			return (locate_chat(entry));
	} else if (strcmp(path, programs) == 0) {
		entry->kind = CALL_PROGRAM_CREATE;
		if (strcmp(method, "POST") == 0)
			return (locate_create(entry));
	} else if (g_str_has_prefix(path, "/v1/programs/")) {
		entry->kind = strcmp(method, "DELETE") == 0 ? CALL_PROGRAM_CLOSE
							    : CALL_PROGRAM_SHOW;
		if (strcmp(method, "GET") == 0 || strcmp(method, "DELETE") == 0)
			return (locate_program(entry, path + sizeof(programs)));
	} else if (strcmp(path, "/v1/models") == 0) {
		if (strcmp(method, "GET") == 0) {
			show_models(entry);
			return (false);
		}
	} else {
		route = cfg_route_match(entry->gate->dmn->cfg, path);
		if (route == NULL) {
			entry_refuse(
			    entry, VD_NOT_FOUND, "no route matches the path");
			return (false);
		}
		entry->kind = CALL_SERVICE;
		if (is_method_allowed(route, method))
			return (locate_service(entry, route));
	}
	entry_refuse(entry, VD_METHOD_NOT_ALLOWED,
	    "the route does not allow this method");
	return (false);
}

static bool
is_public_route(const struct gate *gate, const char *path)
{
	const struct cfg_route *route = cfg_route_match(gate->dmn->cfg, path);

	return (route != NULL && route->open);
}

static struct entry *
entry_new(struct gate *gate, struct web_req *req)
{
	struct entry *entry = g_new0(struct entry, 1);
	unsigned char random[8];
	char hex[2 * sizeof(random) + 1];

	entry->gate = gate;
	entry->req = req;
	randombytes_buf(random, sizeof(random));
	(void)sodium_bin2hex(hex, sizeof(hex), random, sizeof(random));
	(void)g_snprintf(
	    entry->request_id, sizeof(entry->request_id), "r-%s", hex);
	entry->path = path_with_query(req);
	entry->program = g_strdup("");
	entry->key = g_strdup("");
	entry->body = g_byte_array_new();
	entry->started_at = daemon_now(gate->dmn);
	entry->deadline = entry->started_at + DISPATCH_TIMEOUT_MS;
	entry->span = trc_start(
	    gate->dmn->tracer, "entry", web_header(req, "traceparent"));
	trc_set(entry->span, "request", entry->request_id);
	entry->last_verdict = vd_ok();
	ev_init(&entry->retry, on_retry);
	entry->retry.data = entry;
	(void)g_hash_table_add(gate->entries, entry);
	web_on_gone(req, on_disconnect, entry);
	return (entry);
}

static bool
check_key_header(struct entry *entry)
{
	const char *key = web_header(entry->req, "Idempotency-Key");

	if (key == NULL)
		return (true);
	if (key[0] == '\0' || strlen(key) > MAX_KEY_BYTES ||
	    !g_utf8_validate(key, -1, NULL)) {
		entry_refuse(entry, VD_BAD_REQUEST,
		    "Idempotency-Key: must be 1 to 255 bytes of UTF-8");
		return (false);
	}
	g_free(entry->key);
	entry->key = g_strdup(key);
	return (true);
}

static void
on_request(struct web_req *req, void *arg)
{
	struct gate *gate = arg;
	struct entry *entry = entry_new(gate, req);
	struct vd vd;

	if (strlen(entry->path) > MAX_PATH_BYTES) {
		entry_refuse(entry, VD_BAD_REQUEST, "the path is too long");
		return;
	}
	if (!config_is_ready(gate->dmn->config)) {
		vd = vd_make(VD_NOT_RUN, VD_CONFIG_STALE,
		    "this instance has no configuration yet");
		vd.retry_after = CLK_SECOND;
		entry_fail(entry, &vd);
		return;
	}
	vd = authenticate(entry);
	if (!vd_is_ok(&vd)) {
		if (!is_public_route(gate, web_path(req))) {
			entry_fail(entry, &vd);
			return;
		}
		/* An open route also serves requests without a valid key. */
		entry->organisation = g_strdup("");
		entry->key_id = g_strdup("");
	}
	if (!check_key_header(entry) || !route_request(entry))
		return;
	if (entry->organisation[0] == '\0') {
		entry_dispatch(entry);
		return;
	}
	entry->state = RATE_WAIT;
	vd = grants_take(
	    gate->dmn->grants, entry->organisation, on_rate_granted, entry);
	if (vd_is_ok(&vd) && vd.ran == VD_MAYBE)
		return;
	on_rate_granted(&vd, entry);
}

/* End the requests in progress of a withdrawn key. */
static void
on_key_change(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct gate *gate = arg;
	GList *entries;

	(void)kind;
	(void)version;
	if (!cfg_key_is_withdrawn(gate->dmn->cfg, name))
		return;
	entries = g_hash_table_get_keys(gate->entries);
	for (GList *l = entries; l != NULL; l = l->next) {
		struct entry *entry = l->data;
		bool waiting;
		struct vd vd;

		if (g_strcmp0(entry->key_id, name) != 0)
			continue;
		waiting =
		    (entry->state == RATE_WAIT || entry->state == OWNER_WAIT) &&
		    !entry->may_have_run;
		vd = vd_make(waiting ? VD_NOT_RUN : VD_MAYBE, VD_KEY_WITHDRAWN,
		    "the key was withdrawn");
		entry_cancel(entry);
		entry_fail(entry, &vd);
	}
	g_list_free(entries);
}

struct gate *
gate_open(struct daemon *dmn, char **error)
{
	struct gate *gate = g_new0(struct gate, 1);
	const struct settings *set = dmn->settings;
	struct web_options options = {.address = set->callers.listen.ip,
	    .port = set->callers.listen.port,
	    .max_body = set->limits.max_body,
	    .max_header = set->limits.max_header,
	    .max_connections = set->limits.max_connections,
	    .idle_s = CONNECTION_IDLE_S,
	    .tls_certificate = set->callers.tls_certificate,
	    .tls_key = set->callers.tls_key};

	gate->dmn = dmn;
	gate->entries = g_hash_table_new(NULL, NULL);
	gate->web = web_open(dmn->loop, &options, on_request, gate, error);
	if (gate->web == NULL) {
		g_hash_table_destroy(gate->entries);
		g_free(gate);
		return (NULL);
	}
	for (int code = VD_OK; code <= VD_INTERNAL; code++)
		gate->answered[code] = cnt_counter(dmn->cnt, "requests_total",
		    "Callers' requests answered, by code.", "code",
		    vd_code_name((enum vd_code)code));
	gate->duration = cnt_histogram(dmn->cnt, "request_seconds",
	    "Time from a caller's request to the end of its answer.", NULL,
	    NULL);
	gate->first_byte = cnt_histogram(dmn->cnt, "first_byte_seconds",
	    "Time from a caller's request to the head of its answer.", NULL,
	    NULL);
	gate->retries = cnt_counter(dmn->cnt, "dispatch_retries_total",
	    "Requests tried again because their shard was moving.", NULL, NULL);
	cfg_watch(dmn->cfg, CFG_KEY, on_key_change, gate);
	return (gate);
}

void
gate_close(struct gate *gate)
{
	GList *entries;

	if (gate == NULL)
		return;
	entries = g_hash_table_get_keys(gate->entries);
	for (GList *l = entries; l != NULL; l = l->next) {
		struct entry *entry = l->data;
		struct vd vd = vd_make(
		    VD_MAYBE, VD_STOPPING, "the instance is shutting down");

		entry_cancel(entry);
		entry_fail(entry, &vd);
	}
	g_list_free(entries);
	web_close(gate->web);
	g_hash_table_destroy(gate->entries);
	g_free(gate);
}

void
gate_stop(struct gate *gate)
{
	if (gate->stopping)
		return;
	gate->stopping = true;
	web_quiesce(gate->web);
}

unsigned
gate_request_count(const struct gate *gate)
{
	return (g_hash_table_size(gate->entries));
}
