#include "daemon/flt.h"

#include <glib.h>
#include <string.h>

#include "daemon/cnf.h"
#include "daemon/rpl.h"
#include "sched/sch.h"
#include "upstream/upd.h"

#define STREAM		     "fleet"
#define TICK_S		     0.05
#define DECIDE_INTERVAL_MS   100
#define LIST_INTERVAL_MS     1000
#define HEARTBEAT_TIMEOUT_MS (2 * CLK_SECOND)
#define SYNC_TIMEOUT_MS	     (2 * CLK_SECOND)
/* Log records kept for peers that can't reach the log. */
#define MAX_KEPT_RECORDS 2048
/* A snapshot of the map is appended after so many records or this time. */
#define SNAPSHOT_RECORDS     1024
#define SNAPSHOT_INTERVAL_MS (10 * CLK_MINUTE)
/*
 * Records are requested from a peer when the last read of the log is older
 * than twice this time and the peer's read is newer by this time.
 */
#define RELAY_AGE_MS (500)
/* How long a planned stop waits for an unreachable log. */
#define STOP_LOG_TIMEOUT_MS (3 * CLK_SECOND)

#define WATCH_INTERVAL_MS 1000
#define MAX_WATCHED	  256
#define MAX_PINGS	  64
#define MAX_CRASHES	  64
#define MAX_ACTIONS	  64

struct kept_record {
	int64_t offset;
	char *text;
};

struct flt {
	struct dmn *dmn;
	struct plg_follow *follow;
	ev_timer tick;
	GQueue *kept; /* struct kept_record, ascending offsets */
	char peer_address[MEM_ADDRESS_SIZE];
	bool open_sent;
	bool sync_pending;
	clk_ms decided_at;
	clk_ms listed_at;
	clk_ms watched_at;
	clk_ms snapshot_at;
	unsigned since_snapshot;
	clk_ms stop_at; /* 0: no planned stop */
	clk_ms leave_at; /* of the first flt_leave(); 0: none */
	bool closed; /* the append of the close record has ended */
	struct hcl_call *list_call;
	struct sch_crash crashes[MAX_CRASHES];
	struct peer_fingerprint fingerprints[MAX_CRASHES];
	GPtrArray *withdrawn; /* key ids in the last flt_state() */
	json_t *snapshot; /* answered to peers in parts */
	GArray *sync_records; /* struct peer_log_record of the last reply */
	GPtrArray *sync_texts;
	struct cnt_metric *owned;
	struct cnt_metric *heartbeats;
	struct cnt_metric *heartbeats_failed;
	struct cnt_metric *records;
};

static void
kept_free(void *data)
{
	struct kept_record *kept = data;

	g_free(kept->text);
	g_free(kept);
}

/* Apply a record read from the log or received from a peer. */
static void
record_apply(struct flt *flt, int64_t offset, const json_t *record)
{
	struct dmn *dmn = flt->dmn;
	struct kept_record *kept;
	char *text;

	if (offset < own_next(dmn->own))
		return;
	switch (own_apply(dmn->own, offset, record, dmn_now(dmn))) {
	case OWN_APPLIED:
		/* A late duplicate must not reopen a closed session. */
		mem_apply(dmn->mem, record, dmn_now(dmn));
		break;
	case OWN_UNDECODABLE:
		lg_event(dmn->lg, LG_WARNING, "fleet_record_undecodable",
		    "offset=%lld", (long long)offset);
		break;
	default:
		break;
	}
	cnt_add(flt->records, 1);
	flt->since_snapshot++;
	if (g_strcmp0(
		json_string_value(json_object_get(record, "kind")), "map") == 0)
		flt->since_snapshot = 0;
	text = json_dumps(record, JSON_COMPACT);
	kept = g_new0(struct kept_record, 1);
	kept->offset = offset;
	kept->text = g_strdup(text);
	free(text);
	g_queue_push_tail(flt->kept, kept);
	if (g_queue_get_length(flt->kept) > MAX_KEPT_RECORDS)
		kept_free(g_queue_pop_head(flt->kept));
}

static void
add_session(const struct mem_identity *identity, void *arg)
{
	struct dmn *dmn = arg;

	mem_session_add(dmn->mem, identity, dmn_now(dmn));
}

/* Apply a part of a snapshot; true once the map is complete. */
static bool
map_restore(struct flt *flt, const json_t *record)
{
	struct dmn *dmn = flt->dmn;

	if (!own_restore(dmn->own, record, dmn_now(dmn)))
		return (false);
	own_sessions(dmn->own, add_session, dmn);
	lg_event(dmn->lg, LG_NOTICE, "fleet_map_restored", "next=%lld",
	    (long long)own_next(dmn->own));
	return (true);
}

static void
on_record(int64_t offset, int64_t time_ms, json_t *data, void *arg)
{
	struct flt *flt = arg;
	bool complete = own_is_complete(flt->dmn->own);

	(void)time_ms;
	record_apply(flt, offset, data);
	if (!complete && own_is_complete(flt->dmn->own)) {
		own_sessions(flt->dmn->own, add_session, flt->dmn);
		plg_follow_seek(flt->follow, own_next(flt->dmn->own));
	}
}

/* The next offset to read; offsets of the log start at 1. */
static int64_t
fleet_next(const struct flt *flt)
{
	return (MAX(own_next(flt->dmn->own), 1));
}

static void
on_tail(int64_t next, clk_ms started_at, void *arg)
{
	struct flt *flt = arg;

	own_advance(flt->dmn->own, next);
	own_log_read(flt->dmn->own, started_at);
}

static void
on_gap(int64_t from, int64_t first, int64_t next, void *arg)
{
	struct flt *flt = arg;

	lg_event(flt->dmn->lg, LG_WARNING, "fleet_log_gap",
	    "from=%lld first=%lld next=%lld", (long long)from, (long long)first,
	    (long long)next);
	own_gap(flt->dmn->own, first);
}

static void
on_opened(enum plg_outcome outcome, int64_t offset, void *arg)
{
	struct flt *flt = arg;

	lg_event(flt->dmn->lg, LG_NOTICE, "session_open",
	    "outcome=%d offset=%lld session=%016llx", (int)outcome,
	    (long long)offset, (unsigned long long)flt->dmn->session);
	/* A second record of the same session is harmless to mem_apply(). */
	if (outcome != PLG_APPENDED)
		flt->open_sent = false;
}

static void
session_open(struct flt *flt)
{
	struct dmn *dmn = flt->dmn;

	if (flt->open_sent || flt->stop_at != 0 ||
	    own_log_age(dmn->own, dmn_now(dmn)) < 0)
		return;
	flt->open_sent =
	    plg_append(dmn->plg, STREAM, mem_record_open(&dmn->identity),
		on_opened, flt) > 0;
}

struct pending_append {
	struct flt *flt;
	uint64_t ref;
};

static void
on_appended(enum plg_outcome outcome, int64_t offset, void *arg)
{
	struct pending_append *append = arg;
	static const enum own_append outcomes[] = {
	    [PLG_APPENDED] = OWN_APPENDED,
	    [PLG_REFUSED] = OWN_REFUSED,
	    [PLG_UNKNOWN] = OWN_UNKNOWN,
	};

	(void)offset;
	own_append_done(append->flt->dmn->own, append->ref, outcomes[outcome]);
	g_free(append);
}

static void
action_append(struct flt *flt, const struct own_action *action)
{
	struct pending_append *append = g_new0(struct pending_append, 1);

	append->flt = flt;
	append->ref = action->ref;
	if (plg_append(flt->dmn->plg, STREAM, action->record, on_appended,
		append) == 0) {
		own_append_done(flt->dmn->own, action->ref, OWN_REFUSED);
		g_free(append);
	}
}

static void
decide(struct flt *flt, clk_ms now)
{
	struct own_action actions[MAX_ACTIONS];
	struct dmn *dmn = flt->dmn;
	size_t n;

	if (now - flt->decided_at < DECIDE_INTERVAL_MS)
		return;
	flt->decided_at = now;
	n = own_decide(dmn->own, dmn->mem, now, actions, MAX_ACTIONS);
	for (size_t i = 0; i < n; i++) {
		const struct own_action *action = &actions[i];

		switch (action->act) {
		case OWN_ACT_APPEND:
			action_append(flt, action);
			break;
		case OWN_ACT_RECOVER:
			rpl_recover(dmn->rpl, action->id, action->epoch,
			    action->sources);
			break;
		case OWN_ACT_PREPARE:
			rpl_prepare(dmn->rpl, action->id, action->epoch,
			    action->session);
			break;
		case OWN_ACT_COPY:
			rpl_copy(dmn->rpl, action->id, action->epoch);
			break;
		}
	}
	cnt_set(flt->owned, own_owned(dmn->own));
}

static clk_ms
age_or_max(clk_ms age)
{
	return (age < 0 ? G_MAXINT32 : age);
}

/* Requests that recently crashed upstreams, so that no peer runs them. */
static void
fingerprints_fill(struct flt *flt, struct peer_state *state)
{
	struct dmn *dmn = flt->dmn;
	size_t n;

	if (dmn->upd == NULL)
		return;
	n = upd_crashes(dmn->upd, flt->crashes, MAX_CRASHES);
	for (size_t i = 0; i < n; i++) {
		struct peer_fingerprint *out = &flt->fingerprints[i];

		memcpy(out->hash, flt->crashes[i].fingerprint,
		    PEER_FINGERPRINT_SIZE);
		out->upstream = flt->crashes[i].upstream;
		out->age_ms =
		    (u_int)MAX(dmn_now(dmn) - flt->crashes[i].time, 0);
	}
	state->fingerprints.fingerprints_len = (u_int)n;
	state->fingerprints.fingerprints_val = flt->fingerprints;
}

static void
fingerprints_apply(struct flt *flt, const struct peer_state *state)
{
	struct dmn *dmn = flt->dmn;
	clk_ms now = dmn_now(dmn);

	if (dmn->sch == NULL)
		return;
	for (u_int i = 0; i < state->fingerprints.fingerprints_len; i++) {
		const struct peer_fingerprint *in =
		    &state->fingerprints.fingerprints_val[i];

		sch_crash_note(dmn->sch, (const unsigned char *)in->hash,
		    in->upstream, now - (clk_ms)in->age_ms);
	}
}

void
flt_state(struct flt *flt, struct peer_state *state)
{
	struct dmn *dmn = flt->dmn;

	g_ptr_array_unref(flt->withdrawn);
	flt->withdrawn = cfg_withdrawn(dmn->cfg, true);
	memset(state, 0, sizeof(*state));
	state->session = dmn->session;
	state->name = dmn->set->instance;
	state->datacentre = dmn->set->datacentre;
	state->address = dmn->address;
	state->config_position = cfg_frontier(dmn->cfg);
	state->fleet_position = (uint64_t)own_next(dmn->own);
	state->log_age_ms =
	    (uint64_t)MAX(age_or_max(own_log_age(dmn->own, dmn_now(dmn))),
		age_or_max(cnf_age(dmn->cnf)));
	state->draining = flt->stop_at != 0;
	fingerprints_fill(flt, state);
	state->withdrawn.withdrawn_len =
	    MIN(flt->withdrawn->len, PEER_MAX_WITHDRAWN);
	state->withdrawn.withdrawn_val = (peer_key_id *)flt->withdrawn->pdata;
}

static void
report_fill(const struct peer_state *state, struct mem_report *report)
{
	memset(report, 0, sizeof(*report));
	report->draining = state->draining;
	report->fleet_next = (int64_t)state->fleet_position;
	report->config_next = (int64_t)state->config_position + 1;
	report->fleet_age = (clk_ms)state->log_age_ms;
	report->config_age = (clk_ms)state->log_age_ms;
}

void
flt_heartbeat(struct flt *flt, struct pr_request *request,
    const struct peer_heartbeat_args *args)
{
	struct dmn *dmn = flt->dmn;
	struct peer_heartbeat_reply reply = {0};
	struct own_pending pending;
	struct mem_report report;
	struct peer_claim claims[OWN_PENDING_MAX];

	report_fill(&args->state, &report);
	mem_heard(dmn->mem, args->state.session, false, &report, dmn_now(dmn));
	for (u_int i = 0; i < args->state.withdrawn.withdrawn_len; i++)
		(void)cfg_withdraw(
		    dmn->cfg, args->state.withdrawn.withdrawn_val[i]);
	fingerprints_apply(flt, &args->state);
	flt_state(flt, &reply.state);
	reply.sent_at = args->sent_at;
	own_pending_get(dmn->own, &pending);
	for (unsigned i = 0; i < pending.n; i++)
		claims[i] = (struct peer_claim){
		    .datacentre = pending.shards[i].datacentre,
		    .shard = pending.shards[i].shard};
	reply.claims.claims_len = pending.n;
	reply.claims.claims_val = claims;
	reply.claimed_at = pending.claimed_at;
	reply.more = pending.more;
	pr_reply(request, &reply);
}

struct ping {
	struct flt *flt;
	uint64_t session;
	clk_ms sent_at;
};

static void
pending_fill(
    const struct peer_heartbeat_reply *reply, struct own_pending *pending)
{
	memset(pending, 0, sizeof(*pending));
	pending->claimed_at = reply->claimed_at;
	pending->more =
	    reply->more || reply->claims.claims_len > OWN_PENDING_MAX;
	for (u_int i = 0; i < reply->claims.claims_len && i < OWN_PENDING_MAX;
	     i++) {
		const struct peer_claim *claim = &reply->claims.claims_val[i];

		pending->shards[pending->n++] = (struct own_shard_id){
		    .datacentre = (uint16_t)claim->datacentre,
		    .shard = (uint16_t)claim->shard};
	}
}

static void
on_heartbeat_reply(const struct pr_result *result, void *arg)
{
	struct ping *ping = arg;
	struct dmn *dmn = ping->flt->dmn;
	const struct peer_heartbeat_reply *reply = result->reply;
	struct own_pending pending;
	struct mem_report report;

	if (result->sent == PR_DROPPED) {
		g_free(ping);
		return;
	}
	/* Another session may use the address by now. */
	if (result->sent != PR_REPLIED ||
	    reply->state.session != ping->session) {
		cnt_add(ping->flt->heartbeats_failed, 1);
		g_free(ping);
		return;
	}
	report_fill(&reply->state, &report);
	mem_heard(dmn->mem, ping->session, true, &report, dmn_now(dmn));
	pending_fill(reply, &pending);
	own_heartbeat_answered(
	    dmn->own, ping->session, ping->sent_at, &pending);
	fingerprints_apply(ping->flt, &reply->state);
	cnf_heard(dmn->cnf, ping->sent_at, &reply->state);
	g_free(ping);
}

static void
send_heartbeats(struct flt *flt, clk_ms now)
{
	struct mem_ping pings[MAX_PINGS];
	struct dmn *dmn = flt->dmn;
	struct peer_heartbeat_args args = {0};
	size_t n = mem_heartbeats(dmn->mem, now, pings, MAX_PINGS);

	if (n == 0)
		return;
	flt_state(flt, &args.state);
	for (size_t i = 0; i < n; i++) {
		struct ping *ping = g_new0(struct ping, 1);

		ping->flt = flt;
		ping->session = pings[i].session;
		ping->sent_at = dmn_now(dmn);
		args.sent_at = ping->sent_at;
		if (pings[i].new_connection)
			pr_reconnect(dmn->pr, pings[i].address);
		(void)pr_call(dmn->pr, pings[i].address, PEER_HEARTBEAT, &args,
		    HEARTBEAT_TIMEOUT_MS, on_heartbeat_reply, ping);
		cnt_add(flt->heartbeats, 1);
	}
}

/* Apply the platform's list of instances and upstreams. */
static void
on_platform_list(const struct hcl_result *result, void *arg)
{
	struct flt *flt = arg;
	json_t *list, *entry;
	struct mem_member *members;
	size_t i, n = 0;

	flt->list_call = NULL;
	if (result->sent != HCL_REPLIED || result->status != 200)
		return;
	list = json_loadb(result->body, result->body_len, 0, NULL);
	members = g_new0(struct mem_member,
	    json_array_size(json_object_get(list, "instances")) + 1);
	json_array_foreach(json_object_get(list, "instances"), i, entry)
	{
		const char *name =
		    json_string_value(json_object_get(entry, "name"));
		const char *state =
		    json_string_value(json_object_get(entry, "state"));

		if (name == NULL)
			continue;
		members[n].instance = name;
		members[n].listed = g_strcmp0(state, "leaving") == 0
		    ? MEM_LISTED_LEAVING
		    : MEM_LISTED_LIVE;
		n++;
	}
	json_array_foreach(json_object_get(list, "upstreams"), i, entry)
	{
		const char *name =
		    json_string_value(json_object_get(entry, "name"));

		if (name != NULL && flt->dmn->upd != NULL)
			upd_hint(flt->dmn->upd, name,
			    g_strcmp0(json_string_value(
					  json_object_get(entry, "state")),
				"leaving") == 0);
	}
	/* Ignore an empty list: the service may have just started. */
	if (n > 0)
		mem_member_list(flt->dmn->mem, members, n, dmn_now(flt->dmn));
	g_free(members);
	json_decref(list);
}

static void
platform_list_read(struct flt *flt, clk_ms now)
{
	g_autofree char *url = NULL;
	struct hcl_request request = {.method = "GET",
	    .timeout = LIST_INTERVAL_MS,
	    .on_done = on_platform_list,
	    .arg = flt};

	if (flt->dmn->set->members_url == NULL || flt->list_call != NULL ||
	    now - flt->listed_at < LIST_INTERVAL_MS)
		return;
	flt->listed_at = now;
	url = g_strdup_printf("%s/instances", flt->dmn->set->members_url);
	request.url = url;
	flt->list_call = hcl_start(flt->dmn->hcl, &request);
}

bool
flt_is_first(const struct flt *flt)
{
	struct mem_info *infos = g_new(struct mem_info, MEM_MAX_SESSIONS);
	size_t n = mem_list(flt->dmn->mem, infos, MEM_MAX_SESSIONS);
	bool first = true;

	for (size_t i = 0; i < n; i++) {
		if (infos[i].state == MEM_LIVE &&
		    infos[i].identity.session < flt->dmn->session)
			first = false;
	}
	g_free(infos);
	return (first);
}

static void
append_snapshot(struct flt *flt, clk_ms now)
{
	struct dmn *dmn = flt->dmn;
	json_t *parts, *part;
	size_t i;

	if (flt->since_snapshot < SNAPSHOT_RECORDS &&
	    (flt->since_snapshot == 0 ||
		now - flt->snapshot_at < SNAPSHOT_INTERVAL_MS))
		return;
	flt->snapshot_at = now;
	if (!flt_is_first(flt))
		return;
	parts = own_snapshot(dmn->own, now);
	json_array_foreach(parts, i, part)(void)
	    plg_append(dmn->plg, STREAM, json_incref(part), NULL, NULL);
	lg_event(dmn->lg, LG_INFO, "fleet_snapshot", "parts=%zu",
	    json_array_size(parts));
	json_decref(parts);
}

struct sync {
	struct flt *flt;
	clk_ms requested_at;
	char *address;
};

static void sync_part(struct flt *flt, const char *address, unsigned part);

static void
on_sync_reply(const struct pr_result *result, void *arg)
{
	struct sync *sync = arg;
	struct flt *flt = sync->flt;
	struct dmn *dmn = flt->dmn;
	const struct peer_sync_reply *reply = result->reply;
	bool restored = false;

	if (result->sent == PR_DROPPED)
		goto out;
	flt->sync_pending = false;
	if (result->sent != PR_REPLIED)
		goto out;
	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct peer_log_record *record =
		    &reply->records.records_val[i];
		json_t *data = json_loadb(
		    record->data.data_val, record->data.data_len, 0, NULL);

		if (data != NULL && reply->parts > 0)
			restored = map_restore(flt, data) || restored;
		else if (data != NULL &&
		    (int64_t)record->offset >= own_next(dmn->own))
			record_apply(flt, (int64_t)record->offset, data);
		json_decref(data);
	}
	if (reply->parts > 0 && !restored && reply->first + 1 < reply->parts) {
		sync_part(flt, sync->address, (unsigned)reply->first + 1);
		goto out;
	}
	if (own_is_complete(dmn->own) && reply->read_age_ms < G_MAXINT32 &&
	    (uint64_t)own_next(dmn->own) >= reply->next)
		own_peer_read(
		    dmn->own, sync->requested_at, (clk_ms)reply->read_age_ms);
	if (plg_follow_next(flt->follow) < own_next(dmn->own))
		plg_follow_seek(flt->follow, own_next(dmn->own));
out:
	g_free(sync->address);
	g_free(sync);
}

static void
sync_part(struct flt *flt, const char *address, unsigned part)
{
	struct dmn *dmn = flt->dmn;
	struct peer_sync_args args = {.session = dmn->session,
	    .stream = (char *)(uintptr_t)STREAM,
	    .from =
		own_is_complete(dmn->own) ? (uint64_t)own_next(dmn->own) : 0,
	    .part = part};
	struct sync *sync = g_new0(struct sync, 1);

	sync->flt = flt;
	sync->requested_at = dmn_now(dmn);
	sync->address = g_strdup(address);
	flt->sync_pending = true;
	(void)pr_call(dmn->pr, address, PEER_SYNC, &args, SYNC_TIMEOUT_MS,
	    on_sync_reply, sync);
}

static const char *
peer_address(struct flt *flt, const struct set_peer *peer)
{
	(void)g_snprintf(flt->peer_address, sizeof(flt->peer_address), "%s:%u",
	    peer->address.ip, (unsigned)peer->address.port);
	return (flt->peer_address);
}

/* The peer with the newest read of the log, or one of the settings. */
static const char *
relay_address(struct flt *flt, clk_ms own_age)
{
	static const size_t max = MEM_MAX_SESSIONS;
	struct mem_info *infos = g_new(struct mem_info, max);
	size_t n = mem_list(flt->dmn->mem, infos, max);
	const char *address = NULL;
	clk_ms best = own_age;
	uint64_t session = 0;

	for (size_t i = 0; i < n; i++) {
		if (infos[i].self || infos[i].state != MEM_LIVE ||
		    infos[i].answered_at < 0 ||
		    infos[i].report.fleet_age >= best)
			continue;
		best = infos[i].report.fleet_age;
		session = infos[i].identity.session;
	}
	g_free(infos);
	if (session != 0)
		return (dmn_address(flt->dmn, session));
	if (!own_is_complete(flt->dmn->own) || own_next(flt->dmn->own) <= 1) {
		const GPtrArray *peers = flt->dmn->set->peers;
		guint pick;

		if (peers->len == 0)
			return (NULL);
		/* A different peer each time, as one may be down. */
		pick = (guint)(dmn_now(flt->dmn) / RELAY_AGE_MS) % peers->len;
		address = peer_address(flt, g_ptr_array_index(peers, pick));
	}
	return (address);
}

/* Request records from a peer while the log can't be read here. */
static void
records_request(struct flt *flt, clk_ms now)
{
	struct dmn *dmn = flt->dmn;
	clk_ms age = own_log_age(dmn->own, now);
	const char *address;

	if (flt->sync_pending || (age >= 0 && age < 2 * RELAY_AGE_MS))
		return;
	address = relay_address(flt, age < 0 ? G_MAXINT32 : age - RELAY_AGE_MS);
	if (address != NULL)
		sync_part(flt, address, 0);
}

/* Update which owners and holders in other data centres get heartbeats. */
static void
watch_update(struct flt *flt, clk_ms now)
{
	uint64_t watched[MAX_WATCHED];

	if (now - flt->watched_at < WATCH_INTERVAL_MS)
		return;
	flt->watched_at = now;
	mem_watch(flt->dmn->mem, watched,
	    own_watched(flt->dmn->own, watched, MAX_WATCHED));
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct flt *flt = timer->data;
	clk_ms now = dmn_now(flt->dmn);

	(void)loop;
	(void)events;
	watch_update(flt, now);
	send_heartbeats(flt, now);
	session_open(flt);
	decide(flt, now);
	platform_list_read(flt, now);
	append_snapshot(flt, now);
	records_request(flt, now);
}

void
flt_sync(struct flt *flt, const struct peer_sync_args *args,
    struct peer_sync_reply *reply)
{
	struct dmn *dmn = flt->dmn;
	const struct kept_record *head = g_queue_peek_head(flt->kept);
	struct peer_log_record record;

	g_array_set_size(flt->sync_records, 0);
	g_ptr_array_set_size(flt->sync_texts, 0);
	reply->session = dmn->session;
	reply->next = (uint64_t)own_next(dmn->own);
	reply->read_age_ms =
	    (uint64_t)age_or_max(own_log_age(dmn->own, dmn_now(dmn)));
	if (args->from > 0 && head != NULL &&
	    (int64_t)args->from >= head->offset) {
		reply->first = args->from;
		for (GList *l = flt->kept->head; l != NULL; l = l->next) {
			const struct kept_record *kept = l->data;

			if ((uint64_t)kept->offset < args->from)
				continue;
			record.offset = (uint64_t)kept->offset;
			record.data.data_val = kept->text;
			record.data.data_len = (u_int)strlen(kept->text);
			g_array_append_val(flt->sync_records, record);
		}
	} else if (args->from < reply->next && own_is_complete(dmn->own)) {
		char *text;

		if (args->part == 0 || flt->snapshot == NULL) {
			json_decref(flt->snapshot);
			flt->snapshot = own_snapshot(dmn->own, dmn_now(dmn));
		}
		reply->parts = (u_int)json_array_size(flt->snapshot);
		reply->first = args->part;
		text = json_dumps(
		    json_array_get(flt->snapshot, args->part), JSON_COMPACT);
		if (text != NULL) {
			g_ptr_array_add(flt->sync_texts, g_strdup(text));
			record.offset = args->part;
			record.data.data_val =
			    g_ptr_array_index(flt->sync_texts, 0);
			record.data.data_len = (u_int)strlen(text);
			g_array_append_val(flt->sync_records, record);
		}
		free(text);
	}
	reply->records.records_len = flt->sync_records->len;
	reply->records.records_val =
	    (struct peer_log_record *)(void *)flt->sync_records->data;
}

static void
follow_start(struct flt *flt)
{
	struct plg_follow_events events = {
	    .record = on_record, .tail = on_tail, .gap = on_gap, .arg = flt};

	flt->follow =
	    plg_follow(flt->dmn->plg, STREAM, fleet_next(flt), &events);
}

struct flt *
flt_open(struct dmn *dmn)
{
	struct flt *flt = g_new0(struct flt, 1);

	flt->dmn = dmn;
	flt->kept = g_queue_new();
	flt->withdrawn = g_ptr_array_new();
	flt->sync_records =
	    g_array_new(FALSE, FALSE, sizeof(struct peer_log_record));
	flt->sync_texts = g_ptr_array_new_with_free_func(g_free);
	flt->owned = cnt_gauge(dmn->cnt, "shards_owned",
	    "Shards that this instance owns.", NULL, NULL);
	flt->heartbeats = cnt_counter(
	    dmn->cnt, "heartbeats_total", "Heartbeats sent.", NULL, NULL);
	flt->heartbeats_failed =
	    cnt_counter(dmn->cnt, "heartbeats_failed_total",
		"Heartbeats without an answer.", NULL, NULL);
	flt->records = cnt_counter(dmn->cnt, "fleet_records_total",
	    "Records of the stream fleet applied.", NULL, NULL);
	flt->snapshot_at = dmn_now(dmn);
	follow_start(flt);
	ev_timer_init(&flt->tick, on_tick, TICK_S, TICK_S);
	flt->tick.data = flt;
	ev_timer_start(dmn->loop, &flt->tick);
	return (flt);
}

void
flt_close(struct flt *flt)
{
	if (flt == NULL)
		return;
	ev_timer_stop(flt->dmn->loop, &flt->tick);
	plg_follow_stop(flt->follow);
	if (flt->list_call != NULL)
		hcl_cancel(flt->list_call);
	/* pr_close() has ended the heartbeats in flight. */
	g_queue_free_full(flt->kept, kept_free);
	g_ptr_array_unref(flt->withdrawn);
	g_array_unref(flt->sync_records);
	g_ptr_array_unref(flt->sync_texts);
	json_decref(flt->snapshot);
	g_free(flt);
}

bool
flt_is_ready(const struct flt *flt)
{
	return (own_is_complete(flt->dmn->own) &&
	    mem_state(flt->dmn->mem, flt->dmn->session) == MEM_LIVE);
}

void
flt_stop(struct flt *flt)
{
	if (flt->stop_at != 0)
		return;
	flt->stop_at = dmn_now(flt->dmn);
	own_stop(flt->dmn->own);
}

static void
on_closed(enum plg_outcome outcome, int64_t offset, void *arg)
{
	struct flt *flt = arg;

	(void)outcome;
	(void)offset;
	flt->closed = true;
}

/* Whether another session of the data centre could take over the shards. */
static bool
has_successor(const struct flt *flt)
{
	uint64_t first[2];
	size_t n = mem_rank(
	    flt->dmn->mem, flt->dmn->set->datacentre_number, 0, true, first, 2);

	for (size_t i = 0; i < n; i++) {
		if (first[i] != flt->dmn->session)
			return (true);
	}
	return (false);
}

bool
flt_is_stopped(const struct flt *flt)
{
	struct dmn *dmn = flt->dmn;
	clk_ms now = dmn_now(dmn);
	bool log_unreachable;

	if (flt->closed || own_is_stopped(dmn->own))
		return (true);
	if (flt->stop_at == 0)
		return (false);
	log_unreachable = own_log_age(dmn->own, now) < 0 ||
	    own_log_age(dmn->own, now) > STOP_LOG_TIMEOUT_MS;
	return (now - flt->stop_at > STOP_LOG_TIMEOUT_MS &&
	    (log_unreachable || !has_successor(flt)));
}

bool
flt_leave(struct flt *flt)
{
	struct dmn *dmn = flt->dmn;

	if (flt->closed || own_is_stopped(dmn->own))
		return (true);
	if (flt->leave_at == 0) {
		flt->leave_at = dmn_now(dmn);
		own_leave(dmn->own);
		if (plg_append(dmn->plg, STREAM, own_record_close(dmn->session),
			on_closed, flt) == 0)
			flt->closed = true;
	}
	return (
	    flt->closed || dmn_now(dmn) - flt->leave_at > STOP_LOG_TIMEOUT_MS);
}
