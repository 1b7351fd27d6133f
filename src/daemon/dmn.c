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
#include "gate/fwd.h"
#include "gate/gate.h"
#include "lib/web.h"
#include "ops/ops.h"
#include "program/cpy.h"
#include "program/prg.h"
#include "upstream/upd.h"

/* Data centres of a deployment; the largest planned one has 6. */
#define MAX_DATACENTRES	  8
#define TRACE_SPANS	  8192
#define STOP_TICK_S	  0.1
#define EXPORT_TICK_S	  1.0
#define EXPORT_SPANS	  512
#define EXPORT_TIMEOUT_MS (5 * CLK_SECOND)

/* The daemon with the watchers of its signals and timers. */
struct run {
	struct dmn dmn;
	ev_signal term;
	ev_signal interrupt;
	ev_timer stop_tick;
	ev_timer export_tick;
	struct hcl_call *export_call;
	bool forced; /* a second signal ended it at once */
};

const char *
dmn_address(struct dmn *dmn, uint64_t session)
{
	struct mem_info info;

	if (!mem_info(dmn->mem, session, &info))
		return (NULL);
	(void)g_strlcpy(dmn->peer_address, info.identity.address,
	    sizeof(dmn->peer_address));
	return (dmn->peer_address);
}

void
dmn_stop(struct dmn *dmn)
{
	if (dmn->stopping)
		return;
	dmn->stopping = true;
	lg_event(dmn->lg, LG_NOTICE, "stop_begin", "shards=%u requests=%u",
	    own_owned(dmn->own), gate_active(dmn->gate));
	gate_stop(dmn->gate);
	flt_stop(dmn->flt);
}

static bool
is_stopped(const struct dmn *dmn)
{
	return (flt_is_stopped(dmn->flt) && gate_active(dmn->gate) == 0 &&
	    fwd_count(dmn->fwd) == 0 && call_set_count(dmn->calls) == 0 &&
	    ops_active(dmn->ops) == 0);
}

static void
on_stop_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct run *run = timer->data;

	(void)events;
	if (!run->dmn.stopping || !is_stopped(&run->dmn))
		return;
	if (flt_leave(run->dmn.flt))
		ev_break(loop, EVBREAK_ALL);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct run *run = watcher->data;

	(void)events;
	if (run->dmn.stopping) {
		run->forced = true;
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	dmn_stop(&run->dmn);
}

static void
on_exported(const struct hcl_result *result, void *arg)
{
	struct run *run = arg;

	run->export_call = NULL;
	if (result->status < 200 || result->status >= 300)
		lg_event(run->dmn.lg, LG_WARNING, "trace_export_failed",
		    "status=%d", result->status);
}

static void
on_export_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct run *run = timer->data;
	struct hcl_request request = {.method = "POST",
	    .url = run->dmn.set->trace_url,
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
	spans = trc_take(run->dmn.trc, EXPORT_SPANS);
	if (spans == NULL)
		return;
	text = json_dumps(spans, JSON_COMPACT);
	request.body = text;
	request.body_len = strlen(text);
	run->export_call = hcl_start(run->dmn.hcl, &request);
	free(text);
	json_decref(spans);
}

/* Handlers of the peers' messages. */

static void
handle_heartbeat(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	flt_heartbeat(dmn->flt, request, args);
}

static void
handle_replicate(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	rpl_replicate(dmn->rpl, request, args);
}

static void
handle_fetch(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	rpl_fetch(dmn->rpl, request, args);
}

static void
handle_forward(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	fwd_forward(dmn->fwd, request, args);
}

static void
handle_cancel(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	fwd_cancelled(dmn->fwd, request, args);
}

static void
handle_stream(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	fwd_stream(dmn->fwd, request, args);
}

static void
handle_grant(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	grn_handler(dmn->grn, request, args);
}

static void
handle_sync(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;
	const struct peer_sync_args *sync = args;
	struct peer_sync_reply reply = {0};

	if (strcmp(sync->stream, "fleet") == 0)
		flt_sync(dmn->flt, sync, &reply);
	else if (strcmp(sync->stream, "config") == 0)
		cnf_sync(dmn->cnf, sync, &reply);
	pr_reply(request, &reply);
}

static void
handle_withdraw(struct pr_request *request, const void *args, void *arg)
{
	struct dmn *dmn = arg;

	cnf_withdrawn(dmn->cnf, request, args);
}

static bool
peers_open(struct dmn *dmn, char **error)
{
	const struct set *set = dmn->set;
	struct pr_options options = {.address = set->peers_listen.ip,
	    .port = set->peers_listen.port,
	    .psk = set->fleet_key,
	    .psk_len = sizeof(set->fleet_key),
	    .clk = dmn->clk,
	    .log = dmn->lg,
	    .counters = dmn->cnt,
	    .handlers = {[PEER_HEARTBEAT] = handle_heartbeat,
		[PEER_REPLICATE] = handle_replicate,
		[PEER_FETCH] = handle_fetch,
		[PEER_FORWARD] = handle_forward,
		[PEER_CANCEL] = handle_cancel,
		[PEER_STREAM] = handle_stream,
		[PEER_GRANT] = handle_grant,
		[PEER_SYNC] = handle_sync,
		[PEER_WITHDRAW] = handle_withdraw},
	    .arg = dmn};

	dmn->pr = pr_open(dmn->loop, &options, error);
	if (dmn->pr == NULL)
		return (false);
	(void)g_snprintf(dmn->address, sizeof(dmn->address), "%s:%u",
	    set->peers_listen.ip, (unsigned)pr_port(dmn->pr));
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
identity_fill(struct dmn *dmn)
{
	const struct set *set = dmn->set;
	struct mem_identity *self = &dmn->identity;

	/* 0 stands for no session. */
	do
		randombytes_buf(&dmn->session, sizeof(dmn->session));
	while (dmn->session == 0);
	self->session = dmn->session;
	self->datacentre = set->datacentre_number;
	self->weight = set->weight;
	(void)g_strlcpy(self->instance, set->instance, sizeof(self->instance));
	(void)g_strlcpy(self->address, dmn->address, sizeof(self->address));
}

static void
membership_open(struct dmn *dmn)
{
	const struct set_timings *timings = &dmn->set->timings;
	struct mem_settings mem = {.heartbeat_ms = timings->heartbeat_ms,
	    .heartbeat_other_ms = timings->heartbeat_across_ms,
	    .suspicion_ms = timings->suspicion_ms,
	    .peers_other = 2};
	struct own_settings own = {.datacentres = MAX_DATACENTRES,
	    .shards = dmn->set->shards,
	    .takeover_ms = timings->takeover_ms,
	    .takeover_other_ms = timings->takeover_other_ms,
	    .takeover_datacentre_ms = timings->takeover_datacentre_ms,
	    .drift_permille = (int)(timings->lease_drift_ppm / 1000)};

	dmn->mem = mem_open(&mem, &dmn->identity);
	dmn->own = own_open(&own, &dmn->identity);
}

static void
log_open(struct dmn *dmn)
{
	struct plg_settings settings = {.url = dmn->set->log_url,
	    .session = dmn->session,
	    .seed = dmn->session};

	dmn->plg = plg_open(
	    dmn->loop, dmn->hcl, dmn->clk, &settings, dmn->cnt, dmn->lg);
}

/* Hooks of module prg. */

struct prg_hook {
	struct dmn *dmn;
	unsigned datacentre;
};

static void
hook_record(const struct prg_record *record, void *arg)
{
	struct prg_hook *hook = arg;

	rpl_record(hook->dmn->rpl, record);
}

static void
hook_start(prg_handle handle, void *arg)
{
	struct prg_hook *hook = arg;

	call_on_start(
	    handle, hook->dmn->prg[hook->datacentre], hook->dmn->calls);
}

static void
hook_answer(prg_handle handle, const struct prg_answer *answer, void *arg)
{
	struct prg_hook *hook = arg;

	call_on_answer(
	    handle, answer, hook->dmn->prg[hook->datacentre], hook->dmn->calls);
}

static void
hook_release(const char *program, const char *engine, void *arg)
{
	struct prg_hook *hook = arg;

	upd_release(
	    hook->dmn->upd, hook->dmn->prg[hook->datacentre], program, engine);
}

static void
hook_random(void *buf, size_t len, void *arg)
{
	(void)arg;
	randombytes_buf(buf, len);
}

static void
programs_open(struct dmn *dmn, struct prg_hook hooks[MAX_DATACENTRES])
{
	const struct set *set = dmn->set;

	dmn->n_datacentres = MAX_DATACENTRES;
	dmn->cpy = cpy_new();
	for (unsigned d = 0; d < MAX_DATACENTRES; d++) {
		struct prg_options options = {.datacentre = (uint8_t)d,
		    .idle = set->timings.idle_ms,
		    .keep = set->timings.intent_keep_ms,
		    .turn_limit = set->limits.max_turns};
		struct prg_hooks functions = {.on_record = hook_record,
		    .on_start = hook_start,
		    .on_answer = hook_answer,
		    .on_release = hook_release,
		    .random = hook_random,
		    .arg = &hooks[d]};

		hooks[d].dmn = dmn;
		hooks[d].datacentre = d;
		dmn->prg[d] = prg_new(&options, &functions);
	}
}

/* Append a data centre that an operator marked lost to the stream "fleet". */
static void
on_datacentre(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct dmn *dmn = arg;
	const struct cfg_datacentre *datacentre =
	    cfg_datacentre_find(dmn->cfg, name);

	(void)kind;
	(void)version;
	/* Every instance appends it; the map ignores repeats. */
	if (datacentre != NULL && datacentre->lost &&
	    datacentre->number != dmn->set->datacentre_number)
		(void)plg_append(dmn->plg, "fleet",
		    own_record_datacentre_lost(
			dmn->own, datacentre->number, true),
		    NULL, NULL);
}

static bool
servers_open(struct dmn *dmn, char **error)
{
	dmn->gate = gate_open(dmn, error);
	if (dmn->gate == NULL)
		return (false);
	dmn->ops = ops_open(dmn, error);
	return (dmn->ops != NULL);
}

static void
watchers_start(struct run *run)
{
	struct ev_loop *loop = run->dmn.loop;

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
	if (run->dmn.set->trace_url != NULL)
		ev_timer_start(loop, &run->export_tick);
}

static void
run_close(struct run *run)
{
	struct dmn *dmn = &run->dmn;

	if (run->export_call != NULL)
		hcl_cancel(run->export_call);
	ops_close(dmn->ops);
	gate_close(dmn->gate);
	/* Calls in flight refer to the drivers, which are closed after it. */
	if (dmn->pr != NULL)
		pr_close(dmn->pr);
	fwd_close(dmn->fwd);
	call_set_close(dmn->calls);
	grn_close(dmn->grn);
	upd_close(dmn->upd);
	rpl_close(dmn->rpl);
	cnf_close(dmn->cnf);
	flt_close(dmn->flt);
	for (unsigned d = 0; d < dmn->n_datacentres; d++)
		prg_free(dmn->prg[d]);
	if (dmn->cpy != NULL)
		cpy_free(dmn->cpy);
	if (dmn->own != NULL)
		own_close(dmn->own);
	if (dmn->mem != NULL)
		mem_close(dmn->mem);
	if (dmn->cfg != NULL)
		cfg_close(dmn->cfg);
	if (dmn->plg != NULL)
		plg_close(dmn->plg);
	hcl_close(dmn->hcl);
	dfr_close(dmn->dfr);
	trc_close(dmn->trc);
	cnt_close(dmn->cnt);
	lg_close(dmn->lg);
	ev_loop_destroy(dmn->loop);
}

int
dmn_run(const struct set *set)
{
	struct run run = {.dmn = {.set = set, .clk = clk_monotonic()}};
	struct dmn *dmn = &run.dmn;
	struct prg_hook hooks[MAX_DATACENTRES];
	struct cfg_options cfg_options = {.check = check_object};
	g_autofree char *error = NULL;
	int result = 1;

	if (sodium_init() < 0)
		return (1);
	(void)signal(SIGPIPE, SIG_IGN);
	dmn->loop = ev_loop_new(EVFLAG_AUTO);
	dmn->lg = lg_open(dmn->clk, set->log_level);
	lg_field_set(dmn->lg, "instance", set->instance);
	dmn->cnt = cnt_open();
	dmn->trc = trc_open("samphireshed", set->instance, TRACE_SPANS);
	dmn->dfr = dfr_open(dmn->loop);
	dmn->hcl = hcl_open(dmn->loop);
	cfg_options.log = dmn->lg;
	cfg_options.counters = dmn->cnt;
	dmn->cfg = cfg_open(&cfg_options);
	if (!peers_open(dmn, &error))
		goto out;
	identity_fill(dmn);
	membership_open(dmn);
	log_open(dmn);
	programs_open(dmn, hooks);
	dmn->rpl = rpl_open(dmn);
	dmn->cnf = cnf_open(dmn);
	dmn->flt = flt_open(dmn);
	dmn->grn = grn_open(dmn);
	dmn->upd = upd_open(dmn);
	dmn->calls = call_set_open(dmn);
	dmn->fwd = fwd_open(dmn);
	if (!servers_open(dmn, &error))
		goto out;
	cfg_watch(dmn->cfg, CFG_DATACENTRE, on_datacentre, dmn);
	watchers_start(&run);
	lg_event(dmn->lg, LG_NOTICE, "start",
	    "datacentre=%s peers=%s session=%016llx", set->datacentre,
	    dmn->address, (unsigned long long)dmn->session);
	ev_run(dmn->loop, 0);
	lg_event(dmn->lg, LG_NOTICE, "stop_end", "at_once=%d", (int)run.forced);
	result = run.forced ? 1 : 0;
out:
	if (error != NULL)
		lg_event(
		    dmn->lg, LG_ERR, "start_failed", "error=\"%s\"", error);
	run_close(&run);
	return (result);
}
