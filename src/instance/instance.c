#include "instance/instance.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "budget/budget.h"
#include "budget/loan.h"
#include "edge/edge.h"
#include "gossip/gossip.h"
#include "http/hsv.h"
#include "intake/intake.h"
#include "lib/cnt.h"
#include "quota/quota.h"
#include "quota/token.h"
#include "reach/reach.h"
#include "rollout/rollout.h"
#include "roster/roster.h"
#include "spill/spill.h"
#include "store/sweeper.h"
#include "throttle/cold.h"
#include "throttle/throttle.h"
#include "turn/checkpoint.h"
#include "turn/turn.h"

/*
 * After the end of a store outage, upstreams whose entries lapsed are still
 * used for this time; the platform states about 2 s.
 */
#define LAPSE_GRACE_MS 2200
/* The store counts as unreachable after calls have failed for this time. */
#define STORE_UNREACHABLE_MS 1000
/*
 * New connections are accepted for this time after the stop signal: the load
 * balancer needs two probes, 1 s apart, to remove the instance.
 */
#define DRAIN_ACCEPT_MS 2500
/* The process exits this long before the end of the grace period. */
#define GRACE_MARGIN_MS 400
/* Time before that in which the answers of a stop leave the process. */
#define LAST_ANSWERS_MS 200
/*
 * A request is blocked after it has crashed this many different upstreams.  The
 * platform allows three; fewer failures may be due to lost responses.
 */
#define CRASHES_TO_BLOCK 3
/* Period of the checks of lapsed entries and of a planned stop. */
#define TICK_PERIOD_S 0.1
/*
 * Part of the time for which leaving upstreams may get requests that they get
 * here: other instances, and the registrations, have their word earlier.
 */
#define DRAIN_PART 0.25
/*
 * Time for which an upstream that failed is taken for one that has started
 * again: its entry is read within 0.8 s, and a crash takes about 1 s to end.
 */
#define DOUBT_FAILED_MS 2000
/*
 * Time without a turn of the loop after which the process was suspended: its
 * tick comes ten times as often.
 */
#define SUSPENDED_MS 1000
/* Limits of the servers for readiness probes and metrics. */
#define OPS_MAX_HEAD	    8192
#define OPS_MAX_BODY	    1024
#define OPS_TIMEOUT_MS	    (10 * CLK_SECOND)
#define OPS_MAX_CONNECTIONS 64
#define EXPLAIN_PATH	    "/explain"

static bool
is_history_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall)
{
	return (turn_is_expired(record, retention, wall) ||
	    checkpoint_is_expired(record, wall));
}

static const struct sweeper_rule sweep_rules[] = {
    {STORE_TURNS, STORE_SLOT_COUNT, is_history_expired},
    {STORE_BUDGETS, STORE_SLOT_COUNT, budget_ledger_is_expired},
    {STORE_STREAMS, STORE_STREAM_SLOT_COUNT, rollout_stream_is_expired},
};

struct inst {
	struct inst_deps deps;
	struct inst_settings settings;
	struct cnt *cnt;
	struct place *place;
	struct spill *spill;
	struct roster *roster;
	struct quota *quota;
	struct throttle *throttle;
	struct colds *colds;
	struct active_programs *activity;
	struct crash_table *crashes;
	struct reach *reach;
	struct intake *intake;
	struct edge *edge;
	struct gossip *gossip;
	struct sweeper *sweeper;
	struct hsv *ready;
	struct hsv *metrics;
	struct ev_timer tick;
	struct ev_check turn;
	clk_ms turn_at; /* last turn of the loop */
	int64_t catalogue_version;
	clk_ms stop_begun; /* 0: not stopping */
	clk_ms store_answered; /* last answer of the store */
	clk_ms store_outage_end; /* end of the last outage; 0: none */
	bool is_store_unreachable;
	bool was_ready;
};

static clk_ms
instance_now(const struct inst *instance)
{
	return (clk_now(&instance->deps.clk));
}

static void
ops_answer(
    struct hsv_call *call, int status, const char *type, const char *body)
{
	g_autofree char *fields = g_strdup_printf("Content-Type: %s\r\n", type);

	hsv_answer(call, status, fields, body, strlen(body));
}

static void
spill_part_report(void *arg, const char *service, double part)
{
	struct inst *instance = arg;

	cnt_set(cnt_gauge(instance->cnt, "spill_part_percent",
		    "Part of the requests that leave the data centre for load.",
		    "service", service),
	    (int64_t)(100.0 * part));
}

/* Bring metrics up to date that are kept elsewhere. */
static void
metrics_collect(struct inst *instance)
{
	for (int i = 0; i < SPILL_REASONS; i++) {
		enum spill_reason reason = (enum spill_reason)i;

		cnt_set(cnt_gauge(instance->cnt, "spill_decisions",
			    "Requests that left the data centre, or stayed.",
			    "reason", spill_reason_name(reason)),
		    (int64_t)spill_count(instance->spill, reason));
	}
	spill_each(instance->spill, spill_part_report, instance);
}

/* GET /explain?host=HOST&path=PATH[&organisation=NAME] */
static void
explain_answer(struct inst *instance, struct hsv_call *call, const char *query)
{
	g_autoptr(GHashTable) fields =
	    g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
	const char *host = NULL, *path = NULL;
	const char *problem = "host and path are needed";
	g_autofree char *error = NULL;
	char *text = NULL;

	if (fields != NULL) {
		host = g_hash_table_lookup(fields, "host");
		path = g_hash_table_lookup(fields, "path");
	}
	if (host != NULL && path != NULL)
		text = edge_explain(instance->edge, host, path,
		    g_hash_table_lookup(fields, "organisation"), &problem);
	if (text != NULL) {
		ops_answer(call, 200, "application/json", text);
		free(text);
		return;
	}
	error = g_strdup_printf("{\"error\":{\"code\":\"not_found\","
				"\"message\":\"%s\",\"ran\":\"no\"}}",
	    problem);
	ops_answer(call, 404, "application/json", error);
}

static void
on_ops_request(void *arg, struct hsv_call *call)
{
	struct inst *instance = arg;
	const char *path = hsv_head(call)->target->str;

	if (strcmp(path, "/readyz") == 0) {
		bool ready =
		    instance->stop_begun == 0 && edge_is_ready(instance->edge);

		if (ready != instance->was_ready)
			lg_event(instance->deps.lg, LG_NOTICE, "readiness",
			    "ready=%d stopping=%d", ready,
			    instance->stop_begun > 0);
		instance->was_ready = ready;
		ops_answer(call, ready ? 200 : 503, "text/plain",
		    ready ? "ready\n" : "not ready\n");
	} else if (strcmp(path, "/healthz") == 0) {
		ops_answer(call, 200, "text/plain", "ok\n");
	} else if (g_str_has_prefix(path, EXPLAIN_PATH "?")) {
		explain_answer(instance, call, path + strlen(EXPLAIN_PATH "?"));
	} else if (strcmp(path, "/metrics") == 0) {
		g_autofree char *text = NULL;

		metrics_collect(instance);
		text = cnt_text(instance->cnt);
		ops_answer(call, 200, "text/plain; version=0.0.4", text);
	} else {
		ops_answer(call, 404, "text/plain", "not found\n");
	}
}

static void
on_ops_closed(void *arg, struct hsv_call *call)
{
	(void)arg;
	(void)call;
}

static void
stop_advance(struct inst *instance, clk_ms now)
{
	clk_ms since = now - instance->stop_begun;

	if (since < DRAIN_ACCEPT_MS)
		return;
	edge_stop(instance->edge);
	if ((edge_active_count(instance->edge) == 0 &&
		edge_is_settled(instance->edge)) ||
	    since >= instance->settings.grace - GRACE_MARGIN_MS) {
		lg_event(instance->deps.lg, LG_NOTICE, "stopped",
		    "after_ms=%lld active=%zu", (long long)since,
		    edge_active_count(instance->edge));
		ev_break(instance->deps.loop, EVBREAK_ALL);
	}
}

static void
tick_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct inst *instance = watcher->data;
	clk_ms now = instance_now(instance);

	(void)loop;
	(void)events;
	place_expire(instance->place, now);
	reach_tick(instance->reach, gossip_is_told(instance->gossip), now);
	edge_tick(instance->edge);
	sweeper_pause_set(instance->sweeper, !edge_is_current(instance->edge));
	if (instance->stop_begun > 0)
		stop_advance(instance, now);
}

/* Called first in each turn of the loop, before what has arrived is handled. */
static void
turn_cb(struct ev_loop *loop, struct ev_check *watcher, int events)
{
	struct inst *instance = watcher->data;
	clk_ms now = instance_now(instance);

	(void)loop;
	(void)events;
	if (now - instance->turn_at >= SUSPENDED_MS) {
		lg_event(instance->deps.lg, LG_NOTICE, "suspended",
		    "for_ms=%lld", (long long)(now - instance->turn_at));
		cold_doubt_all(instance->colds, now);
	}
	instance->turn_at = now;
}

static void
on_fleet(void *arg, unsigned instances, unsigned rank)
{
	struct inst *instance = arg;

	edge_fleet_size_set(instance->edge, instances);
	sweeper_fleet_set(instance->sweeper, instances, rank);
}

static bool
on_datagram(void *arg, const struct sockaddr_in *from, char *data, size_t len)
{
	struct inst *instance = arg;

	if (loan_is_message(data, len))
		edge_loan_receive(instance->edge, from, data, len);
	else if (token_is_message(data, len))
		edge_rate_receive(instance->edge, from, data, len);
	else if (throttle_is_message(data, len))
		edge_throttle_receive(instance->edge, from, data, len);
	else
		return (false);
	return (true);
}

static bool
lookup_instance_address(
    void *arg, const char *name, struct sockaddr_in *address)
{
	const struct inst *instance = arg;

	return (instance->gossip != NULL &&
	    gossip_peer_address(instance->gossip, name, address));
}

static bool
send_to_instance(
    void *arg, const struct sockaddr_in *to, const void *data, size_t len)
{
	const struct inst *instance = arg;

	return (instance->gossip != NULL &&
	    gossip_send(instance->gossip, to, data, len));
}

static clk_ms
store_age(void *arg)
{
	const struct inst *instance = arg;

	return (instance_now(instance) - instance->store_answered);
}

static void
cold_log(const struct inst *instance, uint32_t upstream, const char *by)
{
	const struct throttle_limit limit =
	    throttle_get(instance->throttle, upstream, instance_now(instance));

	lg_event(instance->deps.lg, LG_INFO, "upstream_cold",
	    "hash=%08x by=%s cold_ms=%u limit_per_s=%.1f", upstream, by,
	    limit.cold, limit.cold_rate / 1000.0);
	cnt_add(
	    cnt_counter(instance->cnt, "upstreams_cold_total",
		"Upstreams that became cold or warm, by source.", "source", by),
	    1);
}

static void
on_doubt(void *arg, uint32_t upstream, bool is_failure)
{
	struct inst *instance = arg;

	if (cold_upstream_doubt(instance->colds, upstream,
		is_failure ? DOUBT_FAILED_MS : INT32_MAX,
		instance_now(instance)))
		cold_log(instance, upstream,
		    is_failure ? "failure" : "evacuation_end");
}

static void
regions_set(struct place *place, GHashTable *regions)
{
	GHashTableIter iter;
	void *key, *value;

	if (regions == NULL)
		return;
	g_hash_table_iter_init(&iter, regions);
	while (g_hash_table_iter_next(&iter, &key, &value))
		place_region_set(place, key, value);
}

/* A region without a data centre allows nothing: it may be misspelt. */
static void
regions_check(struct inst *instance, const struct catalogue *catalogue)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, catalogue_regions(catalogue));
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		char quoted[128];

		if (place_has_region(instance->place, key))
			continue;
		lg_event(instance->deps.lg, LG_WARNING, "region_unknown",
		    "region=%s catalogue=%" G_GINT64_FORMAT,
		    lg_quote(quoted, sizeof(quoted), key),
		    catalogue_version(catalogue));
		cnt_add(cnt_counter(instance->cnt, "regions_unknown_total",
			    "Allowed regions without a data centre, by version "
			    "of the configuration.",
			    NULL, NULL),
		    1);
	}
}

static struct hsv *
ops_open(struct inst *instance, const struct sockaddr_in *address)
{
	const struct hsv_limits limits = {OPS_MAX_HEAD, OPS_MAX_BODY,
	    OPS_TIMEOUT_MS, OPS_TIMEOUT_MS, OPS_MAX_CONNECTIONS};
	const struct hsv_handler handler = {
	    on_ops_request, on_ops_closed, instance};
	struct hsv *hsv =
	    hsv_open(instance->deps.loop, address, &limits, &handler);

	if (hsv != NULL)
		hsv_intake_set(hsv, instance->intake, instance->deps.clk);
	return (hsv);
}

struct inst *
inst_open(const struct inst_deps *deps, const struct inst_settings *settings)
{
	struct inst *instance = g_new0(struct inst, 1);
	clk_ms now = clk_now(&deps->clk);
	const struct intake_limits limits = intake_limits_of(settings->memory);
	uint64_t incarnation = (uint64_t)clk_wall_ms();
	g_autofree char *session = g_strdup_printf(
	    "%s/%llx", settings->name, (unsigned long long)incarnation);
	struct edge_deps edge_deps;
	struct edge_settings edge_settings;
	struct gossip_deps gossip_deps;

	instance->deps = *deps;
	instance->settings = *settings;
	instance->cnt = cnt_open();
	instance->spill = spill_open(&settings->spill);
	instance->place = place_open(settings->datacentre);
	place_spill_set(instance->place, instance->spill);
	place_last_resort_set(instance->place,
	    (clk_ms)(DRAIN_PART * (double)settings->upstream_drain));
	evacuations_max_age_set(
	    place_evacuations(instance->place), settings->max_evacuation_age);
	instance->roster = roster_open(settings->name);
	instance->quota =
	    quota_open(instance->roster, &settings->rate_tolerance, now);
	instance->throttle = throttle_open(instance->roster);
	instance->colds =
	    cold_open(instance->throttle, &settings->cold_tolerance);
	place_throttle_set(instance->place, instance->throttle);
	regions_set(instance->place, settings->regions);
	place_doubt_set(instance->place, on_doubt, instance);
	instance->activity = active_programs_open(settings->retention);
	instance->crashes = crash_table_open(CRASHES_TO_BLOCK);
	instance->reach = reach_open(settings->datacentre);
	instance->intake = intake_open(&limits);
	instance->store_answered = now;
	instance->sweeper = sweeper_open(deps->loop, deps->lg, &deps->store,
	    sweep_rules, G_N_ELEMENTS(sweep_rules));
	edge_deps =
	    (struct edge_deps){deps->loop, deps->clk, deps->lg, instance->cnt,
		deps->wire, deps->store, instance->place, instance->roster,
		instance->quota, instance->throttle, instance->activity,
		instance->crashes, instance->reach, instance->intake,
		lookup_instance_address, send_to_instance, instance};
	edge_settings = (struct edge_settings){settings->callers, session,
	    settings->max_catalogue_age, settings->retention,
	    settings->turn_cache, settings->max_connections};
	gossip_deps = (struct gossip_deps){deps->loop, deps->clk, deps->lg,
	    instance->cnt, deps->store, instance->roster, instance->quota,
	    instance->throttle, instance->activity, instance->place,
	    instance->crashes, instance->reach, settings->datacentre,
	    settings->weight, store_age, on_fleet, on_datagram, instance};
	instance->edge = edge_open(&edge_deps, &edge_settings);
	if (instance->edge == NULL)
		goto fail;
	instance->ready = ops_open(instance, &settings->ready);
	if (instance->ready == NULL)
		goto fail;
	if (settings->metrics.sin_port != 0) {
		instance->metrics = ops_open(instance, &settings->metrics);
		if (instance->metrics == NULL)
			goto fail;
	}
	instance->gossip = gossip_open(
	    &gossip_deps, settings->name, incarnation, &settings->gossip);
	if (instance->gossip == NULL)
		goto fail;
	ev_timer_init(&instance->tick, tick_cb, TICK_PERIOD_S, TICK_PERIOD_S);
	instance->tick.data = instance;
	ev_timer_start(deps->loop, &instance->tick);
	instance->turn_at = now;
	ev_check_init(&instance->turn, turn_cb);
	ev_set_priority(&instance->turn, EV_MAXPRI);
	instance->turn.data = instance;
	ev_check_start(deps->loop, &instance->turn);
	lg_event(deps->lg, LG_NOTICE, "started", "session=%s datacentre=%s",
	    session, settings->datacentre);
	return (instance);
fail:
	lg_event(
	    deps->lg, LG_ERR, "start_failed", "error=\"%s\"", strerror(errno));
	inst_close(instance);
	return (NULL);
}

void
inst_close(struct inst *instance)
{
	if (instance == NULL)
		return;
	ev_timer_stop(instance->deps.loop, &instance->tick);
	ev_check_stop(instance->deps.loop, &instance->turn);
	gossip_close(instance->gossip);
	instance->gossip = NULL;
	sweeper_close(instance->sweeper);
	hsv_close(instance->ready);
	hsv_close(instance->metrics);
	edge_close(instance->edge);
	cold_close(instance->colds);
	intake_close(instance->intake);
	throttle_close(instance->throttle);
	quota_close(instance->quota);
	roster_close(instance->roster);
	active_programs_close(instance->activity);
	crash_table_close(instance->crashes);
	reach_close(instance->reach);
	place_close(instance->place);
	spill_close(instance->spill);
	cnt_close(instance->cnt);
	g_free(instance);
}

static void
on_service(void *arg, const struct catalogue_service *service)
{
	cold_service_set(
	    arg, service->name, service->cold_start, service->cold_per_s);
}

void
inst_catalogue_set(struct inst *instance, struct catalogue *catalogue)
{
	edge_catalogue_set(instance->edge, catalogue);
	if (catalogue_version(catalogue) > instance->catalogue_version) {
		instance->catalogue_version = catalogue_version(catalogue);
		cold_services_clear(instance->colds);
		catalogue_services_each(catalogue, on_service, instance->colds);
		cold_services_apply(instance->colds, instance_now(instance));
		regions_check(instance, catalogue);
		sweeper_retention_set(
		    instance->sweeper, catalogue_retention(catalogue));
	}
}

void
inst_catalogue_confirm(struct inst *instance, clk_ms when)
{
	edge_catalogue_confirm(instance->edge, when);
}

static void
cold_entry_take(struct inst *instance, const struct place_entry *entry)
{
	const struct cold_entry cold = {
	    .upstream = roster_hash(entry->id),
	    .service = entry->service,
	    .started = entry->started,
	    .sequence = entry->sequence,
	    .remaining = entry->cold_remaining,
	    .is_stated = entry->is_cold_stated,
	};

	if (entry->is_cold_odd) {
		lg_event(instance->deps.lg, LG_WARNING, "cold_unreadable",
		    "upstream=%s", entry->id);
		cnt_add(cnt_counter(instance->cnt, "cold_unreadable_total",
			    "Entries whose time until warm is no time.", NULL,
			    NULL),
		    1);
	}
	if (cold_entry_set(instance->colds, &cold, instance_now(instance)))
		cold_log(instance, cold.upstream, "entry");
}

void
inst_upstream_update(struct inst *instance, const struct place_entry *entry)
{
	char version[80];

	cold_entry_take(instance, entry);
	if (!place_upstream_update(
		instance->place, entry, instance_now(instance)))
		return;
	lg_event(instance->deps.lg, LG_INFO, "upstream_found",
	    "upstream=%s service=%s datacentre=%s version=%s slots=%u ready=%d",
	    entry->id, entry->service, entry->datacentre,
	    lg_quote(version, sizeof(version), entry->version), entry->slots,
	    entry->is_ready);
}

/* Whether entries may have lapsed only because of a store outage. */
static bool
is_lapse_likely(const struct inst *instance, clk_ms now)
{
	return (instance->is_store_unreachable ||
	    (instance->store_outage_end > 0 &&
		now - instance->store_outage_end < LAPSE_GRACE_MS));
}

void
inst_upstream_remove(struct inst *instance, const char *id)
{
	clk_ms now = instance_now(instance);
	bool lapse = is_lapse_likely(instance, now);

	cold_upstream_remove(instance->colds, roster_hash(id));
	lg_event(instance->deps.lg, LG_INFO, "upstream_gone",
	    "upstream=%s lapse=%d", id, lapse);
	if (lapse)
		place_upstream_remove_at(instance->place, id,
		    instance->store_outage_end + LAPSE_GRACE_MS);
	else
		place_upstream_remove(instance->place, id);
}

void
inst_upstreams_retain(struct inst *instance, GHashTable *ids)
{
	g_autoptr(GPtrArray) known = place_upstream_ids(instance->place);

	for (guint i = 0; i < known->len; i++) {
		if (!g_hash_table_contains(ids, known->pdata[i]))
			inst_upstream_remove(instance, known->pdata[i]);
	}
}

void
inst_upstreams_confirm(struct inst *instance, clk_ms when)
{
	place_entries_confirm(instance->place, when);
	cold_entries_confirm(instance->colds, when, instance_now(instance));
}

/* Applies what the store said of evacuations; logs a change. */
static void
evacuations_apply(struct inst *instance)
{
	const struct evacuations *evacuations =
	    place_evacuations(instance->place);
	g_autofree char *names = NULL;
	char quoted[256];

	if (!place_evacuations_apply(instance->place))
		return;
	names = evacuations_text(evacuations);
	lg_event(instance->deps.lg, LG_NOTICE, "evacuation",
	    "by=store evacuated=%s", lg_quote(quoted, sizeof(quoted), names));
	cnt_add(cnt_counter(instance->cnt, "evacuation_changes_total",
		    "Changes of the evacuated data centres, by source.",
		    "source", "store"),
	    1);
	cnt_set(cnt_gauge(instance->cnt, "evacuated_datacentres",
		    "Data centres that are evacuated.", NULL, NULL),
	    evacuations_count(evacuations));
}

void
inst_evacuation_set(
    struct inst *instance, const char *datacentre, bool is_evacuated)
{
	if (datacentre[0] == '\0') {
		lg_event(instance->deps.lg, LG_WARNING, "evacuation_unnamed",
		    "evacuated=%d", is_evacuated);
		cnt_add(cnt_counter(instance->cnt, "evacuation_unnamed_total",
			    "Evacuations without a data centre, skipped.", NULL,
			    NULL),
		    1);
		return;
	}
	(void)evacuations_set(
	    place_evacuations(instance->place), datacentre, is_evacuated);
	evacuations_apply(instance);
}

void
inst_evacuations_retain(struct inst *instance, GHashTable *datacentres)
{
	(void)evacuations_retain(
	    place_evacuations(instance->place), datacentres);
	evacuations_apply(instance);
}

void
inst_evacuations_confirm(struct inst *instance, uint64_t end, clk_ms when)
{
	evacuations_confirm(place_evacuations(instance->place), end, when);
	evacuations_apply(instance);
}

void
inst_store_report(struct inst *instance, bool ok)
{
	clk_ms now = instance_now(instance);

	if (!ok) {
		edge_store_failed(instance->edge, now);
		if (!instance->is_store_unreachable &&
		    now - instance->store_answered >= STORE_UNREACHABLE_MS) {
			instance->is_store_unreachable = true;
			lg_event(instance->deps.lg, LG_WARNING, "store_lost",
			    "silent_ms=%lld",
			    (long long)(now - instance->store_answered));
		}
		return;
	}
	if (instance->is_store_unreachable) {
		instance->is_store_unreachable = false;
		instance->store_outage_end = now;
		lg_event(instance->deps.lg, LG_NOTICE, "store_regained",
		    "after_ms=%lld",
		    (long long)(now - instance->store_answered));
	}
	instance->store_answered = now;
	edge_store_answered(instance->edge, now);
}

void
inst_stop(struct inst *instance)
{
	if (instance->stop_begun > 0)
		return;
	instance->stop_begun = instance_now(instance);
	lg_event(instance->deps.lg, LG_NOTICE, "stopping", "active=%zu",
	    edge_active_count(instance->edge));
	edge_drain(instance->edge,
	    instance->stop_begun + instance->settings.grace - GRACE_MARGIN_MS -
		LAST_ANSWERS_MS);
	gossip_leave(instance->gossip);
}
