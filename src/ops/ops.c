#include "ops/ops.h"

#include <glib.h>
#include <string.h>

#include "config/schema.h"
#include "daemon/config.h"
#include "daemon/cluster.h"
#include "gate/call.h"
#include "gate/gate.h"
#include "lib/web.h"
#include "program/replica.h"
#include "upstream/dispatch.h"

#define MAX_BODY	    ((size_t)1024 * 1024)
#define MAX_CONNECTIONS	    64
#define IDLE_S		    60
#define MAX_PROGRAMS_LISTED 1000
#define MAX_HISTORY	    200

struct ops {
	struct daemon *daemon;
	struct web *web;
};

typedef void
ops_handler(struct ops *ops, struct web_req *req, const char *rest);

struct ops_route {
	const char *method;
	const char *path; /* one that ends in "/" matches as a prefix */
	ops_handler *handler;
};

static void
reply_json(struct web_req *req, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	web_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

static void
reply_error(struct web_req *req, enum vd_code code, const char *detail)
{
	struct vd vd = vd_make(VD_NOT_RUN, code, "%s", detail);

	web_reply_verdict(req, &vd, "");
}

static void
health_show(struct ops *ops, struct web_req *req, const char *rest)
{
	(void)ops;
	(void)rest;
	web_reply(req, 200, "text/plain", "ok\n", 3);
}

static bool
is_ready(const struct daemon *daemon)
{
	return (config_is_ready(daemon->config) &&
	    cluster_is_ready(daemon->cluster) && !daemon->stopping);
}

static void
ready_show(struct ops *ops, struct web_req *req, const char *rest)
{
	(void)rest;
	if (is_ready(ops->daemon))
		web_reply(req, 200, "text/plain", "ready\n", 6);
	else
		web_reply(req, 503, "text/plain", "not ready\n", 10);
}

static void
gauges_update(struct daemon *daemon)
{
	struct prog_counts total = {0};

	for (unsigned d = 0; d < daemon->n_datacentres; d++) {
		struct prog_counts counts;

		prog_counts_get(daemon->programs[d], &counts);
		total.programs += counts.programs;
		total.queued += counts.queued;
		total.in_progress += counts.in_progress;
		total.bytes += counts.bytes;
		total.releases += counts.releases;
	}
#define GAUGE(name, help, value) \
	cnt_set( \
	    cnt_gauge(daemon->cnt, name, help, NULL, NULL), (int64_t)(value))
	GAUGE("programs", "Open programs owned here.", total.programs);
	GAUGE("program_calls_queued", "Calls queued behind their program.",
	    total.queued);
	GAUGE("program_calls_in_progress", "Calls in progress.",
	    total.in_progress);
	GAUGE("program_bytes", "History and stored replies owned here.",
	    total.bytes);
	GAUGE("prefix_releases_pending",
	    "Programs whose engine memory is not yet released.",
	    total.releases);
	GAUGE("replica_bytes", "Replicas held for other owners.",
	    replica_bytes(daemon->replicas));
	GAUGE("replica_programs", "Programs held for other owners.",
	    replica_programs(daemon->replicas));
	GAUGE("requests_active", "Callers' requests not yet answered.",
	    gate_request_count(daemon->gate));
	GAUGE("upstream_queue", "Calls waiting for an upstream.",
	    dispatch_queued(daemon->dispatch));
	GAUGE("ready", "Whether the instance is ready.", is_ready(daemon));
#undef GAUGE
}

static void
metrics_show(struct ops *ops, struct web_req *req, const char *rest)
{
	char *text;

	(void)rest;
	gauges_update(ops->daemon);
	text = cnt_text(ops->daemon->cnt);
	web_reply(req, 200, "text/plain; version=0.0.4", text, strlen(text));
	g_free(text);
}

static json_t *
session_json(uint64_t session)
{
	char buf[PLOG_SESSION_SIZE];

	return (json_string(plog_session_format(buf, session)));
}

static void
status_show(struct ops *ops, struct web_req *req, const char *rest)
{
	struct daemon *daemon = ops->daemon;
	clk_ms now = daemon_now(daemon);

	(void)rest;
	reply_json(req, 200,
	    json_pack("{s:s,s:s,s:o,s:b,s:b,s:i,s:I,s:I,s:b,s:I,s:I,s:i,s:i}",
		"instance", daemon->settings->instance, "datacentre",
		daemon->settings->datacentre, "session",
		session_json(daemon->session), "ready", (int)is_ready(daemon),
		"draining", (int)daemon->stopping, "shards_owned",
		(int)own_owned_count(daemon->own), "config_frontier",
		(json_int_t)cfg_frontier(daemon->cfg), "config_age_ms",
		(json_int_t)config_read_age(daemon->config), "config_stale",
		(int)config_is_stale(daemon->config), "fleet_next",
		(json_int_t)own_next_offset(daemon->own), "fleet_age_ms",
		(json_int_t)own_log_age(daemon->own, now), "requests_active",
		(int)gate_request_count(daemon->gate), "calls_active",
		(int)call_set_count(daemon->calls)));
}

/* Configuration. */

static json_t *
object_json(const struct daemon *daemon, const char *object)
{
	const char *value = cfg_object_value(daemon->cfg, object);

	return (json_pack("{s:s,s:I,s:o*}", "object", object, "version",
	    (json_int_t)cfg_object_version(daemon->cfg, object), "value",
	    value != NULL ? json_loads(value, 0, NULL) : NULL));
}

static void
objects_list(struct ops *ops, struct web_req *req, const char *rest)
{
	const char *only = web_query(req, "kind");
	json_t *list = json_array();

	(void)rest;
	for (int kind = 0; kind < CFG_KINDS; kind++) {
		const char *kind_name = cfg_kind_name((enum cfg_kind)kind);
		GPtrArray *names;

		if (only != NULL && strcmp(only, kind_name) != 0)
			continue;
		names = cfg_object_names(ops->daemon->cfg, (enum cfg_kind)kind);
		for (guint i = 0; i < names->len; i++) {
			g_autofree char *object =
			    g_strdup_printf("%s/%s", kind_name,
				(const char *)g_ptr_array_index(names, i));

			(void)json_array_append_new(
			    list, object_json(ops->daemon, object));
		}
		g_ptr_array_unref(names);
	}
	reply_json(req, 200, json_pack("{s:o}", "objects", list));
}

static void
object_show(struct ops *ops, struct web_req *req, const char *rest)
{
	if (cfg_object_version(ops->daemon->cfg, rest) == 0)
		reply_error(req, VD_NOT_FOUND, "the object does not exist");
	else
		reply_json(req, 200, object_json(ops->daemon, rest));
}

static json_t *
history_json(const struct cfg_history_entry *entry)
{
	return (json_pack("{s:I,s:s,s:s,s:I,s:s,s:s,s:I,s:s}", "offset",
	    (json_int_t)entry->offset, "object", entry->object, "actor",
	    entry->actor, "base", (json_int_t)entry->base, "outcome",
	    cfg_outcome_name(entry->outcome), "reason", entry->reason, "winner",
	    (json_int_t)entry->current_version, "winner_actor",
	    entry->current_actor));
}

static void
history_show(struct ops *ops, struct web_req *req, const char *rest)
{
	json_t *list = json_array();
	unsigned n = MIN(cfg_history_count(ops->daemon->cfg), MAX_HISTORY);

	(void)rest;
	for (unsigned i = 0; i < n; i++)
		(void)json_array_append_new(
		    list, history_json(cfg_history_get(ops->daemon->cfg, i)));
	reply_json(req, 200, json_pack("{s:o}", "history", list));
}

struct change {
	struct ops *ops;
	struct web_req *req;
	char *object;
};

static json_t *
error_json(enum vd_code code, const char *detail, const char *ran)
{
	return (json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "code",
	    vd_code_name(code), "message", detail, "ran", ran, "request_id",
	    ""));
}

static void
on_changed(
    const struct vd *vd, const struct cfg_history_entry *entry, void *arg)
{
	struct change *change = arg;
	json_t *body;

	if (!vd_is_ok(vd)) {
		web_reply_verdict(change->req, vd, "");
	} else if (entry == NULL || entry->outcome == CFG_DUPLICATE ||
	    entry->outcome == CFG_ACCEPTED) {
		reply_json(change->req, 200,
		    json_pack("{s:s,s:I}", "object", change->object, "version",
			(json_int_t)cfg_object_version(
			    change->ops->daemon->cfg, change->object)));
	} else if (entry->outcome == CFG_CONFLICT) {
		body = error_json(VD_TURN_MISMATCH,
		    "another change of the object came first", "no");
		(void)json_object_set_new(body, "version",
		    json_integer((json_int_t)entry->current_version));
		(void)json_object_set_new(
		    body, "winner", json_string(entry->current_actor));
		reply_json(change->req, 409, body);
	} else {
		reply_json(change->req, 422,
		    error_json(VD_BAD_REQUEST, entry->reason, "no"));
	}
	g_free(change->object);
	g_free(change);
}

static void
object_change(struct ops *ops, struct web_req *req, const char *rest)
{
	size_t len;
	const char *text = web_body(req, &len);
	json_t *body = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	const char *object = json_string_value(json_object_get(body, "object"));
	const char *actor = json_string_value(json_object_get(body, "by"));
	const json_t *value = json_object_get(body, "value");
	const json_t *base = json_object_get(body, "base");
	g_autofree char *error = NULL;
	struct change *change;

	(void)rest;
	if (object == NULL || !json_is_integer(base) || value == NULL) {
		reply_error(
		    req, VD_BAD_REQUEST, "object, base and value are needed");
		goto out;
	}
	if (!json_is_null(value) && !schema_check(object, value, &error)) {
		reply_error(req, VD_BAD_REQUEST, error);
		goto out;
	}
	change = g_new0(struct change, 1);
	change->ops = ops;
	change->req = req;
	change->object = g_strdup(object);
	config_object_change(ops->daemon->config, object,
	    (uint64_t)json_integer_value(base), value,
	    actor != NULL ? actor : "operator", on_changed, change);
out:
	json_decref(body);
}

static void
where_show(struct ops *ops, struct web_req *req, const char *rest)
{
	const char *text = web_query(req, "offset");
	struct member_info *infos =
	    g_new(struct member_info, MEMBER_MAX_SESSIONS);
	size_t n =
	    member_info_list(ops->daemon->members, infos, MEMBER_MAX_SESSIONS);
	json_t *list = json_array();
	int64_t offset;

	(void)rest;
	offset = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
	for (size_t i = 0; i < n; i++) {
		int64_t next = infos[i].self
		    ? (int64_t)cfg_frontier(ops->daemon->cfg) + 1
		    : infos[i].report.config_next;
		const char *in_force = next > offset ? "yes" : "no";

		if (infos[i].state == MEMBER_REPLACED)
			continue;
		if (!infos[i].self &&
		    (infos[i].answered_at < 0 || infos[i].state != MEMBER_LIVE))
			in_force = "unknown";
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:i,s:I,s:s}", "instance",
			infos[i].identity.instance, "datacentre",
			(int)infos[i].identity.datacentre, "frontier",
			(json_int_t)(next - 1), "in_force", in_force));
	}
	g_free(infos);
	reply_json(req, 200, json_pack("{s:o}", "instances", list));
}

static void
key_withdraw(struct ops *ops, struct web_req *req, const char *rest)
{
	g_autofree char *id = g_strdup(rest);
	char *slash = strchr(id, '/');

	if (slash == NULL || strcmp(slash, "/withdraw") != 0) {
		reply_error(req, VD_NOT_FOUND, "no such route");
		return;
	}
	*slash = '\0';
	if (!schema_name_is_valid(id)) {
		reply_error(req, VD_BAD_REQUEST, "not a valid key id");
		return;
	}
	config_key_withdraw(ops->daemon->config, id, "operator");
	reply_json(req, 200, json_pack("{s:s,s:b}", "key", id, "withdrawn", 1));
}

/* Programs. */

static void
programs_list(struct ops *ops, struct web_req *req, const char *rest)
{
	json_t *all = json_array();

	(void)rest;
	for (unsigned d = 0; d < ops->daemon->n_datacentres; d++) {
		json_t *list = prog_list(ops->daemon->programs[d],
		    web_query(req, "organisation"), web_query(req, "after"),
		    MAX_PROGRAMS_LISTED);

		(void)json_array_extend(all, list);
		json_decref(list);
	}
	reply_json(req, 200, json_pack("{s:o}", "programs", all));
}

/* Find the owned programs of an id's data centre; nil after an error reply. */
static struct prog_set *
owned_programs_find(struct ops *ops, struct web_req *req, const char *program)
{
	struct daemon *daemon = ops->daemon;
	struct own_shard_id shard;
	struct own_shard info;
	struct member_info owner;
	struct prog_id id;
	g_autofree char *detail = NULL;

	if (!prog_id_parse(program, &id) ||
	    id.datacentre >= daemon->n_datacentres) {
		reply_error(req, VD_UNKNOWN_PROGRAM, "not a valid program id");
		return (NULL);
	}
	shard.datacentre = id.datacentre;
	shard.shard = id.shard;
	if (own_may_act(daemon->own, shard, daemon_now(daemon)))
		return (daemon->programs[id.datacentre]);
	if (own_shard_get(daemon->own, shard, &info) &&
	    member_info_get(daemon->members, info.owner, &owner))
		detail = g_strdup_printf(
		    "the program's owner is %s", owner.identity.instance);
	reply_error(req, VD_NOT_OWNER,
	    detail != NULL ? detail : "the program has no owner at present");
	return (NULL);
}

static void
program_show(struct ops *ops, struct web_req *req, const char *rest)
{
	struct prog_set *programs = owned_programs_find(ops, req, rest);
	json_t *program;

	if (programs == NULL)
		return;
	program = prog_show(programs, rest);
	if (program == NULL)
		reply_error(req, VD_UNKNOWN_PROGRAM, "no such program");
	else
		reply_json(req, 200, program);
}

static void
program_cancel(struct ops *ops, struct web_req *req, const char *rest)
{
	struct prog_set *programs = owned_programs_find(ops, req, rest);
	struct vd vd;

	if (programs == NULL)
		return;
	vd = prog_close(programs, daemon_now(ops->daemon), NULL, rest);
	if (!vd_is_ok(&vd))
		web_reply_verdict(req, &vd, "");
	else
		reply_json(req, 200,
		    json_pack("{s:s,s:b}", "program", rest, "closed", 1));
}

/* Upstreams and instances. */

static void
upstreams_list(struct ops *ops, struct web_req *req, const char *rest)
{
	(void)rest;
	reply_json(req, 200,
	    json_pack("{s:o}", "upstreams",
		dispatch_list_upstreams(ops->daemon->dispatch)));
}

static void
instances_list(struct ops *ops, struct web_req *req, const char *rest)
{
	static const char *const states[] = {
	    [MEMBER_UNKNOWN] = "unknown",
	    [MEMBER_LIVE] = "live",
	    [MEMBER_SUSPECTED] = "suspected",
	    [MEMBER_REPLACED] = "replaced",
	};
	struct member_info *infos =
	    g_new(struct member_info, MEMBER_MAX_SESSIONS);
	size_t n =
	    member_info_list(ops->daemon->members, infos, MEMBER_MAX_SESSIONS);
	json_t *list = json_array();

	(void)rest;
	for (size_t i = 0; i < n; i++)
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:i,s:s,s:o,s:s,s:b}", "instance",
			infos[i].identity.instance, "datacentre",
			(int)infos[i].identity.datacentre, "address",
			infos[i].identity.address, "session",
			session_json(infos[i].identity.session), "state",
			states[infos[i].state], "draining",
			infos[i].self ? (int)ops->daemon->stopping
				      : (int)infos[i].report.draining));
	g_free(infos);
	reply_json(req, 200, json_pack("{s:o}", "instances", list));
}

static void
shards_list(struct ops *ops, struct web_req *req, const char *rest)
{
	struct daemon *daemon = ops->daemon;
	json_t *list = json_array();

	(void)rest;
	for (unsigned d = 0; d < daemon->n_datacentres; d++) {
		for (unsigned s = 0; s < daemon->settings->shards; s++) {
			struct own_shard_id id = {
			    .datacentre = (uint16_t)d, .shard = (uint16_t)s};
			struct own_shard info;

			if (!own_shard_get(daemon->own, id, &info) ||
			    info.epoch == 0)
				continue;
			(void)json_array_append_new(list,
			    json_pack("{s:i,s:i,s:I,s:o,s:o,s:o,s:i}",
				"datacentre", (int)d, "shard", (int)s, "epoch",
				(json_int_t)info.epoch, "owner",
				session_json(info.owner), "holder",
				session_json(info.holders[0]), "holder_other",
				session_json(info.holders[1]), "phase",
				(int)info.phase));
		}
	}
	reply_json(req, 200, json_pack("{s:o}", "shards", list));
}

static void
drain_start(struct ops *ops, struct web_req *req, const char *rest)
{
	(void)rest;
	reply_json(req, 202, json_pack("{s:b}", "draining", 1));
	daemon_stop(ops->daemon);
}

static void
trace_show(struct ops *ops, struct web_req *req, const char *rest)
{
	reply_json(req, 200,
	    json_pack("{s:o}", "spans", trc_find(ops->daemon->tracer, rest)));
}

static const struct ops_route routes[] = {
    {"GET", "/healthz", health_show},
    {"GET", "/readyz", ready_show},
    {"GET", "/metrics", metrics_show},
    {"GET", "/ctl/status", status_show},
    {"GET", "/ctl/objects", objects_list},
    {"GET", "/ctl/objects/", object_show},
    {"POST", "/ctl/objects", object_change},
    {"GET", "/ctl/history", history_show},
    {"GET", "/ctl/where", where_show},
    {"POST", "/ctl/keys/", key_withdraw},
    {"GET", "/ctl/programs", programs_list},
    {"GET", "/ctl/programs/", program_show},
    {"DELETE", "/ctl/programs/", program_cancel},
    {"GET", "/ctl/upstreams", upstreams_list},
    {"GET", "/ctl/instances", instances_list},
    {"GET", "/ctl/shards", shards_list},
    {"POST", "/ctl/drain", drain_start},
    {"GET", "/ctl/traces/", trace_show},
};

static void
on_request(struct web_req *req, void *arg)
{
	const char *path = web_path(req);
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const struct ops_route *route = &routes[i];
		size_t len = strlen(route->path);
		bool matches = route->path[len - 1] == '/'
		    ? strncmp(path, route->path, len) == 0 && path[len] != '\0'
		    : strcmp(path, route->path) == 0;

		if (!matches)
			continue;
		known = true;
		if (strcmp(web_method(req), route->method) == 0) {
			route->handler(arg, req, path + len);
			return;
		}
	}
	reply_error(req, known ? VD_METHOD_NOT_ALLOWED : VD_NOT_FOUND,
	    known ? "the route does not allow this method" : "no such route");
}

struct ops *
ops_open(struct daemon *daemon, char **error)
{
	struct ops *ops = g_new0(struct ops, 1);
	struct web_options options = {
	    .address = daemon->settings->operators_listen.ip,
	    .port = daemon->settings->operators_listen.port,
	    .max_body = MAX_BODY,
	    .max_connections = MAX_CONNECTIONS,
	    .idle_s = IDLE_S};

	ops->daemon = daemon;
	ops->web = web_open(daemon->loop, &options, on_request, ops, error);
	if (ops->web == NULL) {
		g_free(ops);
		return (NULL);
	}
	return (ops);
}

unsigned
ops_active(const struct ops *ops)
{
	return (web_active(ops->web));
}

void
ops_close(struct ops *ops)
{
	if (ops == NULL)
		return;
	web_close(ops->web);
	g_free(ops);
}
