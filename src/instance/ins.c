#include "instance/ins.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "budget/budget.h"
#include "edge/edg.h"
#include "gossip/gsp.h"
#include "http/hsv.h"
#include "lib/cnt.h"
#include "quota/quota.h"
#include "store/swp.h"
#include "turn/turn.h"

/* Bytes of turns that an instance keeps in memory. */
#define TURN_CACHE_BYTES ((size_t)12 << 20)
/*
 * Time after the return of the store in which upstreams whose entries lapsed
 * are still used; the platform states about 2 s.
 */
#define LAPSE_GRACE_MS 2200
/* The store counts as lost after calls failed for this time. */
#define STORE_LOST_MS 1000
/*
 * Time from a signal to stop during which connections are still accepted:
 * the balancer needs two probes, 1 s apart, to take the instance out.
 */
#define DRAIN_ACCEPT_MS 2500
/* Time before the end of the grace period at which the process ends. */
#define GRACE_MARGIN_MS 400
/*
 * Different upstreams that a request may crash.  The platform allows three;
 * fewer could be answers that were lost.
 */
#define CRASHES_TO_BLOCK 3
/* Period of the checks of a planned stop, and of lapsed entries, in s. */
#define TICK_S 0.1
/* Limits of the operators' server. */
#define OPS_MAX_HEAD	    8192
#define OPS_MAX_BODY	    1024
#define OPS_TIMEOUT_MS	    (10 * CLK_SECOND)
#define OPS_MAX_CONNECTIONS 64

static const struct swp_rule sweep_rules[] = {
    {STO_TURNS, turn_is_expired},
    {STO_BUDGETS, budget_ledger_is_expired},
};

struct ins {
	struct ins_deps deps;
	struct ins_settings settings;
	struct cnt *cnt;
	struct place *plc;
	struct quota *qta;
	struct active_programs *act;
	struct crash_table *crashes;
	struct edg *edg;
	struct gsp *gsp;
	struct swp *swp;
	struct hsv *ready;
	struct hsv *metrics;
	struct ev_timer tick;
	clk_ms stop_begun; /* 0: runs */
	clk_ms store_answered; /* last answer of the store */
	clk_ms store_back; /* end of the last outage; 0: none */
	bool store_lost;
	bool was_ready;
};

static clk_ms
now_of(const struct ins *ins)
{
	return (clk_now(&ins->deps.clk));
}

static void
answer(struct hsv_call *call, int status, const char *type, const char *body)
{
	g_autofree char *fields = g_strdup_printf("Content-Type: %s\r\n", type);

	hsv_answer(call, status, fields, body, strlen(body));
}

static void
on_ops_request(void *arg, struct hsv_call *call)
{
	struct ins *ins = arg;
	const char *path = hsv_head(call)->target->str;

	if (strcmp(path, "/readyz") == 0) {
		bool ready = ins->stop_begun == 0 && edg_is_ready(ins->edg);

		if (ready != ins->was_ready)
			lg_event(ins->deps.lg, LG_NOTICE, "readiness",
			    "ready=%d stopping=%d", ready, ins->stop_begun > 0);
		ins->was_ready = ready;
		answer(call, ready ? 200 : 503, "text/plain",
		    ready ? "ready\n" : "not ready\n");
	} else if (strcmp(path, "/healthz") == 0) {
		answer(call, 200, "text/plain", "ok\n");
	} else if (strcmp(path, "/metrics") == 0) {
		g_autofree char *text = cnt_text(ins->cnt);

		answer(call, 200, "text/plain; version=0.0.4", text);
	} else {
		answer(call, 404, "text/plain", "not found\n");
	}
}

static void
on_ops_gone(void *arg, struct hsv_call *call)
{
	(void)arg;
	(void)call;
}

static void
stop_proceed(struct ins *ins, clk_ms now)
{
	clk_ms since = now - ins->stop_begun;

	if (since < DRAIN_ACCEPT_MS)
		return;
	edg_stop(ins->edg);
	if ((edg_active(ins->edg) == 0 && edg_is_settled(ins->edg)) ||
	    since >= ins->settings.grace - GRACE_MARGIN_MS) {
		lg_event(ins->deps.lg, LG_NOTICE, "stopped",
		    "after_ms=%lld active=%zu", (long long)since,
		    edg_active(ins->edg));
		ev_break(ins->deps.loop, EVBREAK_ALL);
	}
}

static void
tick_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct ins *ins = watcher->data;
	clk_ms now = now_of(ins);

	(void)loop;
	(void)events;
	place_expire(ins->plc, now);
	if (ins->stop_begun > 0)
		stop_proceed(ins, now);
}

static void
on_fleet(void *arg, unsigned instances, unsigned rank)
{
	struct ins *ins = arg;

	edg_fleet_set(ins->edg, instances);
	swp_fleet_set(ins->swp, instances, rank);
}

static void
on_loan(void *arg, const struct sockaddr_in *from, char *data, size_t len)
{
	struct ins *ins = arg;

	edg_loan_received(ins->edg, from, data, len);
}

static bool
instance_address(void *arg, const char *name, struct sockaddr_in *address)
{
	const struct ins *ins = arg;

	return (ins->gsp != NULL && gsp_address(ins->gsp, name, address));
}

static bool
instance_send(
    void *arg, const struct sockaddr_in *to, const void *data, size_t len)
{
	const struct ins *ins = arg;

	return (ins->gsp != NULL && gsp_send(ins->gsp, to, data, len));
}

static struct hsv *
ops_open(struct ins *ins, const struct sockaddr_in *address)
{
	const struct hsv_limits limits = {OPS_MAX_HEAD, OPS_MAX_BODY,
	    OPS_TIMEOUT_MS, OPS_TIMEOUT_MS, OPS_MAX_CONNECTIONS};
	const struct hsv_handler handler = {on_ops_request, on_ops_gone, ins};

	return (hsv_open(ins->deps.loop, address, &limits, &handler));
}

struct ins *
ins_open(const struct ins_deps *deps, const struct ins_settings *settings)
{
	struct ins *ins = g_new0(struct ins, 1);
	clk_ms now = clk_now(&deps->clk);
	uint64_t incarnation = (uint64_t)clk_wall_ms();
	g_autofree char *session = g_strdup_printf(
	    "%s/%llx", settings->name, (unsigned long long)incarnation);
	struct edg_deps edge;
	struct edg_settings edge_settings;
	struct gsp_deps gossip;

	ins->deps = *deps;
	ins->settings = *settings;
	ins->cnt = cnt_open();
	ins->plc = place_open(settings->datacentre);
	ins->qta = quota_open(&settings->rate_tolerance, now);
	ins->act = active_programs_open(settings->retention);
	ins->crashes = crash_table_open(CRASHES_TO_BLOCK);
	ins->store_answered = now;
	ins->swp = swp_open(deps->loop, deps->lg, &deps->sto, sweep_rules,
	    G_N_ELEMENTS(sweep_rules));
	edge = (struct edg_deps){deps->loop, deps->clk, deps->lg, ins->cnt,
	    deps->wire, deps->sto, ins->plc, ins->qta, ins->act, ins->crashes,
	    instance_address, instance_send, ins};
	edge_settings = (struct edg_settings){settings->callers, session,
	    settings->max_catalogue_age, settings->retention, TURN_CACHE_BYTES,
	    settings->max_connections};
	gossip = (struct gsp_deps){deps->loop, deps->clk, deps->lg, deps->sto,
	    ins->qta, ins->act, ins->plc, ins->crashes, on_fleet, on_loan, ins};
	ins->edg = edg_open(&edge, &edge_settings);
	if (ins->edg == NULL)
		goto fail;
	ins->ready = ops_open(ins, &settings->ready);
	if (ins->ready == NULL)
		goto fail;
	if (settings->metrics.sin_port != 0) {
		ins->metrics = ops_open(ins, &settings->metrics);
		if (ins->metrics == NULL)
			goto fail;
	}
	ins->gsp =
	    gsp_open(&gossip, settings->name, incarnation, &settings->gossip);
	if (ins->gsp == NULL)
		goto fail;
	ev_timer_init(&ins->tick, tick_cb, TICK_S, TICK_S);
	ins->tick.data = ins;
	ev_timer_start(deps->loop, &ins->tick);
	lg_event(deps->lg, LG_NOTICE, "started", "session=%s datacentre=%s",
	    session, settings->datacentre);
	return (ins);
fail:
	lg_event(
	    deps->lg, LG_ERR, "start_failed", "error=\"%s\"", strerror(errno));
	ins_close(ins);
	return (NULL);
}

void
ins_close(struct ins *ins)
{
	if (ins == NULL)
		return;
	ev_timer_stop(ins->deps.loop, &ins->tick);
	gsp_close(ins->gsp);
	ins->gsp = NULL;
	swp_close(ins->swp);
	hsv_close(ins->ready);
	hsv_close(ins->metrics);
	edg_close(ins->edg);
	quota_close(ins->qta);
	active_programs_close(ins->act);
	crash_table_close(ins->crashes);
	place_close(ins->plc);
	cnt_close(ins->cnt);
	g_free(ins);
}

void
ins_catalogue(struct ins *ins, struct cat *cat)
{
	edg_catalogue_set(ins->edg, cat);
	swp_retention_set(ins->swp, cat_retention(cat));
}

void
ins_catalogue_confirmed(struct ins *ins, clk_ms when)
{
	edg_catalogue_confirm(ins->edg, when);
}

void
ins_upstream(struct ins *ins, const struct place_entry *entry)
{
	place_upstream_update(ins->plc, entry, now_of(ins));
}

/* Whether entries may be missing only because the store was away. */
static bool
is_lapse_likely(const struct ins *ins, clk_ms now)
{
	return (ins->store_lost ||
	    (ins->store_back > 0 && now - ins->store_back < LAPSE_GRACE_MS));
}

void
ins_upstream_gone(struct ins *ins, const char *id)
{
	clk_ms now = now_of(ins);
	bool lapse = is_lapse_likely(ins, now);

	lg_event(ins->deps.lg, LG_INFO, "upstream_gone", "upstream=%s lapse=%d",
	    id, lapse);
	if (lapse)
		place_upstream_remove_at(
		    ins->plc, id, ins->store_back + LAPSE_GRACE_MS);
	else
		place_upstream_remove(ins->plc, id);
}

void
ins_upstreams_known(struct ins *ins, GHashTable *ids)
{
	g_autoptr(GPtrArray) known = place_upstream_ids(ins->plc);

	for (guint i = 0; i < known->len; i++) {
		if (!g_hash_table_contains(ids, known->pdata[i]))
			ins_upstream_gone(ins, known->pdata[i]);
	}
}

void
ins_store_reached(struct ins *ins, bool ok)
{
	clk_ms now = now_of(ins);

	if (!ok) {
		if (!ins->store_lost &&
		    now - ins->store_answered >= STORE_LOST_MS) {
			ins->store_lost = true;
			lg_event(ins->deps.lg, LG_WARNING, "store_lost",
			    "silent_ms=%lld",
			    (long long)(now - ins->store_answered));
		}
		return;
	}
	if (ins->store_lost) {
		ins->store_lost = false;
		ins->store_back = now;
		lg_event(ins->deps.lg, LG_NOTICE, "store_regained",
		    "after_ms=%lld", (long long)(now - ins->store_answered));
	}
	ins->store_answered = now;
}

void
ins_stop(struct ins *ins)
{
	if (ins->stop_begun > 0)
		return;
	ins->stop_begun = now_of(ins);
	lg_event(ins->deps.lg, LG_NOTICE, "stopping", "active=%zu",
	    edg_active(ins->edg));
	edg_drain(ins->edg);
	gsp_leave(ins->gsp);
}
