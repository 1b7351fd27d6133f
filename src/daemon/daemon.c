#include "daemon/daemon.h"

#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "config/schema.h"
#include "daemon/config.h"
#include "daemon/defer.h"
#include "daemon/cluster.h"
#include "daemon/grants.h"
#include "daemon/repl.h"
#include "daemon/state.h"
#include "gate/call.h"
#include "gate/forward.h"
#include "gate/gate.h"
#include "lib/web.h"
#include "ops/ops.h"
#include "program/replica.h"
#include "program/program.h"
#include "upstream/dispatch.h"

/* Data centres of a deployment; the largest planned one has 6. */
#define MAX_DATACENTRES	  8
#define TRACE_SPANS	  8192
#define STOP_TICK_S	  0.1
#define EXPORT_TICK_S	  1.0
#define EXPORT_SPANS	  512
#define EXPORT_TIMEOUT_MS (5 * CLK_SECOND)

/* The daemon with the watchers of its signals and timers. */
struct run {
	struct daemon daemon;
	ev_signal term;
	ev_signal interrupt;
	ev_timer stop_tick;
	ev_timer export_tick;
	struct hcl_call *export_call;
	bool forced; /* a second signal ended it at once */
};

const char *
daemon_peer_address(struct daemon *daemon, uint64_t session)
{
	struct member_info info;

	if (!member_info_get(daemon->members, session, &info))
		return (NULL);
	(void)g_strlcpy(daemon->peer_address, info.identity.address,
	    sizeof(daemon->peer_address));
	return (daemon->peer_address);
}

void
daemon_stop(struct daemon *daemon)
{
	if (daemon->stopping)
		return;
	daemon->stopping = true;
	lg_event(daemon->log, LG_NOTICE, "stop_begin", "shards=%u requests=%u",
	    own_owned_count(daemon->own), gate_request_count(daemon->gate));
	gate_stop(daemon->gate);
	cluster_stop(daemon->cluster);
}

static bool
is_stopped(const struct daemon *daemon)
{
	return (cluster_is_stopped(daemon->cluster) &&
	    gate_request_count(daemon->gate) == 0 &&
	    forward_count(daemon->forward) == 0 &&
	    call_set_count(daemon->calls) == 0 && ops_active(daemon->ops) == 0);
}

static void
on_stop_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct run *run = timer->data;

	(void)events;
	if (!run->daemon.stopping || !is_stopped(&run->daemon))
		return;
	if (cluster_leave(run->daemon.cluster))
		ev_break(loop, EVBREAK_ALL);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct run *run = watcher->data;

	(void)events;
	if (run->daemon.stopping) {
		run->forced = true;
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	daemon_stop(&run->daemon);
}

static void
on_exported(const struct hcl_result *result, void *arg)
{
	struct run *run = arg;

	run->export_call = NULL;
	if (result->status < 200 || result->status >= 300)
		lg_event(run->daemon.log, LG_WARNING, "trace_export_failed",
		    "status=%d", result->status);
}

static void
on_export_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct run *run = timer->data;
	struct hcl_request request = {.method = "POST",
	    .url = run->daemon.settings->trace_url,
	    .headers = headers,
	    .timeout = EXPORT_TIMEOUT_MS,
	    .on_done = on_exported,
	    .arg = run};
	json_t *spans;
	char *text;

	(void)loop;
	(void)events;
	if (run->export_call != NULL)
		return;
	spans = trc_take(run->daemon.tracer, EXPORT_SPANS);
	if (spans == NULL)
		return;
	text = json_dumps(spans, JSON_COMPACT);
	request.body = text;
	request.body_len = strlen(text);
	run->export_call = hcl_start(run->daemon.http, &request);
	free(text);
	json_decref(spans);
}

/* Handlers of the peers' messages. */

static void
handle_heartbeat(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	cluster_heartbeat_handle(daemon->cluster, request, args);
}

static void
handle_replicate(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	repl_replicate_handle(daemon->repl, request, args);
}

static void
handle_fetch(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	repl_fetch_handle(daemon->repl, request, args);
}

static void
handle_forward(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	forward_on_forward(daemon->forward, request, args);
}

static void
handle_cancel(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	forward_on_cancel(daemon->forward, request, args);
}

static void
handle_stream(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	forward_on_stream(daemon->forward, request, args);
}

static void
handle_grant(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	grants_handle(daemon->grants, request, args);
}

static void
handle_sync(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;
	const struct peer_sync_args *sync = args;
	struct peer_sync_reply reply = {0};

	if (strcmp(sync->stream, "fleet") == 0)
		cluster_sync_handle(daemon->cluster, sync, &reply);
	else if (strcmp(sync->stream, "config") == 0)
		config_sync_handle(daemon->config, sync, &reply);
	rpc_request_reply(request, &reply);
}

static void
handle_withdraw(struct rpc_request *request, const void *args, void *arg)
{
	struct daemon *daemon = arg;

	config_withdraw_handle(daemon->config, request, args);
}

static bool
peers_open(struct daemon *daemon, char **error)
{
	const struct settings *set = daemon->settings;
	struct rpc_options options = {.address = set->peers_listen.ip,
	    .port = set->peers_listen.port,
	    .psk = set->fleet_key,
	    .psk_len = sizeof(set->fleet_key),
	    .clk = daemon->clock,
	    .log = daemon->log,
	    .counters = daemon->cnt,
	    .handlers = {[PEER_HEARTBEAT] = handle_heartbeat,
		[PEER_REPLICATE] = handle_replicate,
		[PEER_FETCH] = handle_fetch,
		[PEER_FORWARD] = handle_forward,
		[PEER_CANCEL] = handle_cancel,
		[PEER_STREAM] = handle_stream,
		[PEER_GRANT] = handle_grant,
		[PEER_SYNC] = handle_sync,
		[PEER_WITHDRAW] = handle_withdraw},
	    .arg = daemon};

	daemon->peers = rpc_open(daemon->loop, &options, error);
	if (daemon->peers == NULL)
		return (false);
	(void)g_snprintf(daemon->address, sizeof(daemon->address), "%s:%u",
	    set->peers_listen.ip, (unsigned)rpc_port(daemon->peers));
	return (true);
}

static bool
check_object(enum cfg_kind kind, const char *name, const json_t *value,
    char **error, void *arg)
{
	g_autofree char *object =
	    g_strdup_printf("%s/%s", cfg_kind_name(kind), name);

	(void)arg;
	return (schema_check(object, value, error));
}

static void
identity_fill(struct daemon *daemon)
{
	const struct settings *set = daemon->settings;
	struct member_identity *self = &daemon->identity;

	/* 0 stands for no session. */
	do
		randombytes_buf(&daemon->session, sizeof(daemon->session));
	while (daemon->session == 0);
	self->session = daemon->session;
	self->datacentre = set->datacentre_number;
	self->weight = set->weight;
	(void)g_strlcpy(self->instance, set->instance, sizeof(self->instance));
	(void)g_strlcpy(self->address, daemon->address, sizeof(self->address));
}

static void
membership_open(struct daemon *daemon)
{
	const struct settings_timings *timings = &daemon->settings->timings;
	struct member_settings members = {.heartbeat_ms = timings->heartbeat_ms,
	    .heartbeat_other_ms = timings->heartbeat_across_ms,
	    .suspicion_ms = timings->suspicion_ms,
	    .peers_other = 2};
	struct own_settings own = {.datacentres = MAX_DATACENTRES,
	    .shards = daemon->settings->shards,
	    .takeover_ms = timings->takeover_ms,
	    .takeover_other_ms = timings->takeover_other_ms,
	    .takeover_datacentre_ms = timings->takeover_datacentre_ms,
	    .drift_permille = (int)(timings->lease_drift_ppm / 1000)};

	daemon->members = member_table_open(&members, &daemon->identity);
	daemon->own = own_open(&own, &daemon->identity);
}

static void
log_open(struct daemon *daemon)
{
	struct plog_settings settings = {.url = daemon->settings->log_url,
	    .session = daemon->session,
	    .seed = daemon->session};

	daemon->plog = plog_open(daemon->loop, daemon->http, daemon->clock,
	    &settings, daemon->cnt, daemon->log);
}

/* Hooks of module program. */

struct program_hook {
	struct daemon *daemon;
	unsigned datacentre;
};

static void
hook_record(const struct prog_record *record, void *arg)
{
	struct program_hook *hook = arg;

	repl_record_add(hook->daemon->repl, record);
}

static void
hook_start(prog_handle handle, void *arg)
{
	struct program_hook *hook = arg;

	call_on_start(handle, hook->daemon->programs[hook->datacentre],
	    hook->daemon->calls);
}

static void
hook_answer(prog_handle handle, const struct prog_answer *answer, void *arg)
{
	struct program_hook *hook = arg;

	call_on_answer(handle, answer, hook->daemon->programs[hook->datacentre],
	    hook->daemon->calls);
}

static void
hook_release(const char *program, const char *engine, void *arg)
{
	struct program_hook *hook = arg;

	dispatch_release_prefix(hook->daemon->dispatch,
	    hook->daemon->programs[hook->datacentre], program, engine);
}

static void
hook_random(void *buf, size_t len, void *arg)
{
	(void)arg;
	randombytes_buf(buf, len);
}

static void
programs_open(struct daemon *daemon, struct program_hook hooks[MAX_DATACENTRES])
{
	const struct settings *set = daemon->settings;

	daemon->n_datacentres = MAX_DATACENTRES;
	daemon->replicas = replica_set_new();
	for (unsigned d = 0; d < MAX_DATACENTRES; d++) {
		struct prog_options options = {.datacentre = (uint8_t)d,
		    .idle_timeout = set->timings.idle_ms,
		    .reply_retention = set->timings.intent_keep_ms,
		    .turn_limit = set->limits.max_turns};
		struct prog_hooks functions = {.on_record = hook_record,
		    .on_start = hook_start,
		    .on_answer = hook_answer,
		    .on_release = hook_release,
		    .random = hook_random,
		    .arg = &hooks[d]};

		hooks[d].daemon = daemon;
		hooks[d].datacentre = d;
		daemon->programs[d] = prog_set_new(&options, &functions);
	}
}

/* Append to the stream "fleet" that an operator marked a data centre lost. */
static void
on_datacentre(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct daemon *daemon = arg;
	const struct cfg_datacentre *datacentre =
	    cfg_datacentre_find(daemon->cfg, name);

	(void)kind;
	(void)version;
	/* Every instance appends it; the shard map ignores repeats. */
	if (datacentre != NULL && datacentre->lost &&
	    datacentre->number != daemon->settings->datacentre_number)
		(void)plog_append(daemon->plog, "fleet",
		    own_datacentre_lost_record(
			daemon->own, datacentre->number, true),
		    NULL, NULL);
}

static bool
servers_open(struct daemon *daemon, char **error)
{
	daemon->gate = gate_open(daemon, error);
	if (daemon->gate == NULL)
		return (false);
	daemon->ops = ops_open(daemon, error);
	return (daemon->ops != NULL);
}

static void
watchers_start(struct run *run)
{
	struct ev_loop *loop = run->daemon.loop;

	ev_signal_init(&run->term, on_signal, SIGTERM);
	ev_signal_init(&run->interrupt, on_signal, SIGINT);
	ev_timer_init(&run->stop_tick, on_stop_tick, STOP_TICK_S, STOP_TICK_S);
	ev_timer_init(
	    &run->export_tick, on_export_tick, EXPORT_TICK_S, EXPORT_TICK_S);
	run->term.data = run->interrupt.data = run;
	run->stop_tick.data = run->export_tick.data = run;
	ev_signal_start(loop, &run->term);
	ev_signal_start(loop, &run->interrupt);
	ev_timer_start(loop, &run->stop_tick);
	if (run->daemon.settings->trace_url != NULL)
		ev_timer_start(loop, &run->export_tick);
}

static void
run_close(struct run *run)
{
	struct daemon *daemon = &run->daemon;

	if (run->export_call != NULL)
		hcl_cancel(run->export_call);
	ops_close(daemon->ops);
	gate_close(daemon->gate);
	/* Calls in flight refer to the drivers, so they are ended first. */
	if (daemon->peers != NULL)
		rpc_close(daemon->peers);
	forward_close(daemon->forward);
	call_set_close(daemon->calls);
	grants_close(daemon->grants);
	dispatch_close(daemon->dispatch);
	repl_close(daemon->repl);
	config_close(daemon->config);
	cluster_close(daemon->cluster);
	for (unsigned d = 0; d < daemon->n_datacentres; d++)
		prog_set_free(daemon->programs[d]);
	if (daemon->replicas != NULL)
		replica_set_free(daemon->replicas);
	if (daemon->own != NULL)
		own_close(daemon->own);
	if (daemon->members != NULL)
		member_table_close(daemon->members);
	if (daemon->cfg != NULL)
		cfg_close(daemon->cfg);
	if (daemon->plog != NULL)
		plog_close(daemon->plog);
	hcl_close(daemon->http);
	defer_close(daemon->defer);
	trc_close(daemon->tracer);
	cnt_close(daemon->cnt);
	lg_close(daemon->log);
	ev_loop_destroy(daemon->loop);
}

int
daemon_run(const struct settings *set)
{
	struct run run = {
	    .daemon = {.settings = set, .clock = clk_monotonic()}};
	struct daemon *daemon = &run.daemon;
	struct program_hook hooks[MAX_DATACENTRES];
	struct cfg_options cfg_options = {.check = check_object};
	g_autofree char *error = NULL;
	int result = 1;

	if (sodium_init() < 0)
		return (1);
	(void)signal(SIGPIPE, SIG_IGN);
	daemon->loop = ev_loop_new(EVFLAG_AUTO);
	daemon->log = lg_open(daemon->clock, set->log_level);
	lg_field_set(daemon->log, "instance", set->instance);
	daemon->cnt = cnt_open();
	daemon->tracer = trc_open("samphireshed", set->instance, TRACE_SPANS);
	daemon->defer = defer_open(daemon->loop);
	daemon->http = hcl_open(daemon->loop);
	cfg_options.log = daemon->log;
	cfg_options.counters = daemon->cnt;
	daemon->cfg = cfg_open(&cfg_options);
	if (!peers_open(daemon, &error))
		goto out;
	identity_fill(daemon);
	membership_open(daemon);
	log_open(daemon);
	programs_open(daemon, hooks);
	daemon->repl = repl_open(daemon);
	daemon->config = config_open(daemon);
	daemon->cluster = cluster_open(daemon);
	daemon->grants = grants_open(daemon);
	daemon->dispatch = dispatch_open(daemon);
	daemon->calls = call_set_open(daemon);
	daemon->forward = forward_open(daemon);
	if (!servers_open(daemon, &error))
		goto out;
	cfg_watch(daemon->cfg, CFG_DATACENTRE, on_datacentre, daemon);
	watchers_start(&run);
	lg_event(daemon->log, LG_NOTICE, "start",
	    "datacentre=%s peers=%s session=%016llx", set->datacentre,
	    daemon->address, (unsigned long long)daemon->session);
	ev_run(daemon->loop, 0);
	lg_event(
	    daemon->log, LG_NOTICE, "stop_end", "at_once=%d", (int)run.forced);
	result = run.forced ? 1 : 0;
out:
	if (error != NULL)
		lg_event(
		    daemon->log, LG_ERR, "start_failed", "error=\"%s\"", error);
	run_close(&run);
	return (result);
}
