#include "daemon/dmn.h"

#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "config/obj.h"
#include "daemon/cnf.h"
#include "daemon/dfr.h"
#include "daemon/flt.h"
#include "daemon/grn.h"
#include "daemon/rpl.h"
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
	struct dmn daemon;
	ev_signal term;
	ev_signal interrupt;
	ev_timer stop_tick;
	ev_timer export_tick;
	struct hcl_call *export_call;
	bool forced; /* a second signal ended it at once */
};

const char *
dmn_address(struct dmn *daemon, uint64_t session)
{
	struct member_info info;

	if (!member_info_get(daemon->mem, session, &info))
		return (NULL);
	(void)g_strlcpy(daemon->peer_address, info.identity.address,
	    sizeof(daemon->peer_address));
	return (daemon->peer_address);
}

void
dmn_stop(struct dmn *daemon)
{
	if (daemon->stopping)
		return;
	daemon->stopping = true;
	lg_event(daemon->lg, LG_NOTICE, "stop_begin", "shards=%u requests=%u",
	    own_owned_count(daemon->own), gate_request_count(daemon->gate));
	gate_stop(daemon->gate);
	flt_stop(daemon->flt);
}

static bool
is_stopped(const struct dmn *daemon)
{
	return (flt_is_stopped(daemon->flt) &&
	    gate_request_count(daemon->gate) == 0 &&
	    forward_count(daemon->fwd) == 0 &&
	    call_set_count(daemon->calls) == 0 && ops_active(daemon->ops) == 0);
}

static void
on_stop_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct run *run = timer->data;

	(void)events;
	if (!run->daemon.stopping || !is_stopped(&run->daemon))
		return;
	if (flt_leave(run->daemon.flt))
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
	dmn_stop(&run->daemon);
}

static void
on_exported(const struct hcl_result *result, void *arg)
{
	struct run *run = arg;

	run->export_call = NULL;
	if (result->status < 200 || result->status >= 300)
		lg_event(run->daemon.lg, LG_WARNING, "trace_export_failed",
		    "status=%d", result->status);
}

static void
on_export_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct run *run = timer->data;
	struct hcl_request request = {.method = "POST",
	    .url = run->daemon.set->trace_url,
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
	spans = trc_take(run->daemon.trc, EXPORT_SPANS);
	if (spans == NULL)
		return;
	text = json_dumps(spans, JSON_COMPACT);
	request.body = text;
	request.body_len = strlen(text);
	run->export_call = hcl_start(run->daemon.hcl, &request);
	free(text);
	json_decref(spans);
}

/* Handlers of the peers' messages. */

static void
handle_heartbeat(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	flt_heartbeat(daemon->flt, request, args);
}

static void
handle_replicate(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	rpl_replicate(daemon->rpl, request, args);
}

static void
handle_fetch(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	rpl_fetch(daemon->rpl, request, args);
}

static void
handle_forward(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	forward_on_forward(daemon->fwd, request, args);
}

static void
handle_cancel(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	forward_on_cancel(daemon->fwd, request, args);
}

static void
handle_stream(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	forward_on_stream(daemon->fwd, request, args);
}

static void
handle_grant(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	grn_handler(daemon->grn, request, args);
}

static void
handle_sync(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;
	const struct peer_sync_args *sync = args;
	struct peer_sync_reply reply = {0};

	if (strcmp(sync->stream, "fleet") == 0)
		flt_sync(daemon->flt, sync, &reply);
	else if (strcmp(sync->stream, "config") == 0)
		cnf_sync(daemon->cnf, sync, &reply);
	pr_reply(request, &reply);
}

static void
handle_withdraw(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *daemon = arg;

	cnf_withdrawn(daemon->cnf, request, args);
}

static bool
peers_open(struct dmn *daemon, char **error)
{
	const struct set *set = daemon->set;
	struct pr_options options = {.address = set->peers_listen.ip,
	    .port = set->peers_listen.port,
	    .psk = set->fleet_key,
	    .psk_len = sizeof(set->fleet_key),
	    .clk = daemon->clk,
	    .log = daemon->lg,
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

	daemon->pr = pr_open(daemon->loop, &options, error);
	if (daemon->pr == NULL)
		return (false);
	(void)g_snprintf(daemon->address, sizeof(daemon->address), "%s:%u",
	    set->peers_listen.ip, (unsigned)pr_port(daemon->pr));
	return (true);
}

static bool
check_object(enum cfg_kind kind, const char *name, const json_t *value,
    char **error, void *arg)
{
	g_autofree char *object =
	    g_strdup_printf("%s/%s", cfg_kind_name(kind), name);

	(void)arg;
	return (obj_check(object, value, error));
}

static void
identity_fill(struct dmn *daemon)
{
	const struct set *set = daemon->set;
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
membership_open(struct dmn *daemon)
{
	const struct set_timings *timings = &daemon->set->timings;
	struct member_settings mem = {.heartbeat_ms = timings->heartbeat_ms,
	    .heartbeat_other_ms = timings->heartbeat_across_ms,
	    .suspicion_ms = timings->suspicion_ms,
	    .peers_other = 2};
	struct own_settings own = {.datacentres = MAX_DATACENTRES,
	    .shards = daemon->set->shards,
	    .takeover_ms = timings->takeover_ms,
	    .takeover_other_ms = timings->takeover_other_ms,
	    .takeover_datacentre_ms = timings->takeover_datacentre_ms,
	    .drift_permille = (int)(timings->lease_drift_ppm / 1000)};

	daemon->mem = member_table_open(&mem, &daemon->identity);
	daemon->own = own_open(&own, &daemon->identity);
}

static void
log_open(struct dmn *daemon)
{
	struct plg_settings settings = {.url = daemon->set->log_url,
	    .session = daemon->session,
	    .seed = daemon->session};

	daemon->plg = plg_open(daemon->loop, daemon->hcl, daemon->clk,
	    &settings, daemon->cnt, daemon->lg);
}

/* Hooks of module prg. */

struct prg_hook {
	struct dmn *daemon;
	unsigned datacentre;
};

static void
hook_record(const struct prog_record *record, void *arg)
{
	struct prg_hook *hook = arg;

	rpl_record(hook->daemon->rpl, record);
}

static void
hook_start(prog_handle handle, void *arg)
{
	struct prg_hook *hook = arg;

	call_on_start(
	    handle, hook->daemon->prg[hook->datacentre], hook->daemon->calls);
}

static void
hook_answer(prog_handle handle, const struct prog_answer *answer, void *arg)
{
	struct prg_hook *hook = arg;

	call_on_answer(handle, answer, hook->daemon->prg[hook->datacentre],
	    hook->daemon->calls);
}

static void
hook_release(const char *program, const char *engine, void *arg)
{
	struct prg_hook *hook = arg;

	dispatch_release_prefix(hook->daemon->upd,
	    hook->daemon->prg[hook->datacentre], program, engine);
}

static void
hook_random(void *buf, size_t len, void *arg)
{
	(void)arg;
	randombytes_buf(buf, len);
}

static void
programs_open(struct dmn *daemon, struct prg_hook hooks[MAX_DATACENTRES])
{
	const struct set *set = daemon->set;

	daemon->n_datacentres = MAX_DATACENTRES;
	daemon->cpy = replica_set_new();
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
		daemon->prg[d] = prog_set_new(&options, &functions);
	}
}

/* Append a data centre that an operator marked lost to the stream "fleet". */
static void
on_datacentre(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct dmn *daemon = arg;
	const struct cfg_datacentre *datacentre =
	    cfg_datacentre_find(daemon->cfg, name);

	(void)kind;
	(void)version;
	/* Every instance appends it; the map ignores repeats. */
	if (datacentre != NULL && datacentre->lost &&
	    datacentre->number != daemon->set->datacentre_number)
		(void)plg_append(daemon->plg, "fleet",
		    own_datacentre_lost_record(
			daemon->own, datacentre->number, true),
		    NULL, NULL);
}

static bool
servers_open(struct dmn *daemon, char **error)
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
	if (run->daemon.set->trace_url != NULL)
		ev_timer_start(loop, &run->export_tick);
}

static void
run_close(struct run *run)
{
	struct dmn *daemon = &run->daemon;

	if (run->export_call != NULL)
		hcl_cancel(run->export_call);
	ops_close(daemon->ops);
	gate_close(daemon->gate);
	/* Calls in flight refer to the drivers, which are closed after it. */
	if (daemon->pr != NULL)
		pr_close(daemon->pr);
	forward_close(daemon->fwd);
	call_set_close(daemon->calls);
	grn_close(daemon->grn);
	dispatch_close(daemon->upd);
	rpl_close(daemon->rpl);
	cnf_close(daemon->cnf);
	flt_close(daemon->flt);
	for (unsigned d = 0; d < daemon->n_datacentres; d++)
		prog_set_free(daemon->prg[d]);
	if (daemon->cpy != NULL)
		replica_set_free(daemon->cpy);
	if (daemon->own != NULL)
		own_close(daemon->own);
	if (daemon->mem != NULL)
		member_table_close(daemon->mem);
	if (daemon->cfg != NULL)
		cfg_close(daemon->cfg);
	if (daemon->plg != NULL)
		plg_close(daemon->plg);
	hcl_close(daemon->hcl);
	dfr_close(daemon->dfr);
	trc_close(daemon->trc);
	cnt_close(daemon->cnt);
	lg_close(daemon->lg);
	ev_loop_destroy(daemon->loop);
}

int
dmn_run(const struct set *set)
{
	struct run run = {.daemon = {.set = set, .clk = clk_monotonic()}};
	struct dmn *daemon = &run.daemon;
	struct prg_hook hooks[MAX_DATACENTRES];
	struct cfg_options cfg_options = {.check = check_object};
	g_autofree char *error = NULL;
	int result = 1;

	if (sodium_init() < 0)
		return (1);
	(void)signal(SIGPIPE, SIG_IGN);
	daemon->loop = ev_loop_new(EVFLAG_AUTO);
	daemon->lg = lg_open(daemon->clk, set->log_level);
	lg_field_set(daemon->lg, "instance", set->instance);
	daemon->cnt = cnt_open();
	daemon->trc = trc_open("samphireshed", set->instance, TRACE_SPANS);
	daemon->dfr = dfr_open(daemon->loop);
	daemon->hcl = hcl_open(daemon->loop);
	cfg_options.log = daemon->lg;
	cfg_options.counters = daemon->cnt;
	daemon->cfg = cfg_open(&cfg_options);
	if (!peers_open(daemon, &error))
		goto out;
	identity_fill(daemon);
	membership_open(daemon);
	log_open(daemon);
	programs_open(daemon, hooks);
	daemon->rpl = rpl_open(daemon);
	daemon->cnf = cnf_open(daemon);
	daemon->flt = flt_open(daemon);
	daemon->grn = grn_open(daemon);
	daemon->upd = dispatch_open(daemon);
	daemon->calls = call_set_open(daemon);
	daemon->fwd = forward_open(daemon);
	if (!servers_open(daemon, &error))
		goto out;
	cfg_watch(daemon->cfg, CFG_DATACENTRE, on_datacentre, daemon);
	watchers_start(&run);
	lg_event(daemon->lg, LG_NOTICE, "start",
	    "datacentre=%s peers=%s session=%016llx", set->datacentre,
	    daemon->address, (unsigned long long)daemon->session);
	ev_run(daemon->loop, 0);
	lg_event(
	    daemon->lg, LG_NOTICE, "stop_end", "at_once=%d", (int)run.forced);
	result = run.forced ? 1 : 0;
out:
	if (error != NULL)
		lg_event(
		    daemon->lg, LG_ERR, "start_failed", "error=\"%s\"", error);
	run_close(&run);
	return (result);
}
