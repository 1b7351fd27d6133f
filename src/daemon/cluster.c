#include "daemon/cluster.h"

#include <glib.h>
#include <string.h>

#include "daemon/config.h"
#include "daemon/repl.h"
#include "sched/sched.h"
#include "upstream/dispatch.h"

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

struct cluster {
	struct daemon *daemon;
	struct plog_follower *follow;
	ev_timer tick;
	GQueue *kept; /* struct kept_record, ascending offsets */
	char peer_address[MEMBER_ADDRESS_SIZE];
	bool open_sent;
	bool sync_pending;
	clk_ms decided_at;
	clk_ms listed_at;
	clk_ms watched_at;
	clk_ms snapshot_at;
	unsigned since_snapshot;
	clk_ms stop_at; /* 0: no planned stop */
	clk_ms leave_at; /* of the first cluster_leave(); 0: none */
	bool closed; /* the append of the close record has ended */
	struct hcl_call *list_call;
	struct sched_crash crashes[MAX_CRASHES];
	struct peer_fingerprint fingerprints[MAX_CRASHES];
	GPtrArray *withdrawn; /* key ids in the last cluster_state_fill() */
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
record_apply(struct cluster *cluster, int64_t offset, const json_t *record)
{
	struct daemon *daemon = cluster->daemon;
	struct kept_record *kept;
	char *text;

	if (offset < own_next_offset(daemon->own))
		return;
	switch (own_apply(daemon->own, offset, record, daemon_now(daemon))) {
	case OWN_APPLIED:
		/* A late duplicate must not reopen a closed session. */
		member_apply(daemon->members, record, daemon_now(daemon));
		break;
	case OWN_UNDECODABLE:
		lg_event(daemon->log, LG_WARNING, "fleet_record_undecodable",
		    "offset=%lld", (long long)offset);
		break;
	default:
		break;
	}
	cnt_add(cluster->records, 1);
	cluster->since_snapshot++;
	if (g_strcmp0(
		json_string_value(json_object_get(record, "kind")), "map") == 0)
		cluster->since_snapshot = 0;
	text = json_dumps(record, JSON_COMPACT);
	kept = g_new0(struct kept_record, 1);
	kept->offset = offset;
	kept->text = g_strdup(text);
	free(text);
	g_queue_push_tail(cluster->kept, kept);
	if (g_queue_get_length(cluster->kept) > MAX_KEPT_RECORDS)
		kept_free(g_queue_pop_head(cluster->kept));
}

static void
add_session(const struct member_identity *identity, void *arg)
{
	struct daemon *daemon = arg;

	member_session_add(daemon->members, identity, daemon_now(daemon));
}

/* Apply a part of a snapshot; true once the map is complete. */
static bool
map_restore(struct cluster *cluster, const json_t *record)
{
	struct daemon *daemon = cluster->daemon;

	if (!own_restore(daemon->own, record, daemon_now(daemon)))
		return (false);
	own_sessions_foreach(daemon->own, add_session, daemon);
	lg_event(daemon->log, LG_NOTICE, "fleet_map_restored", "next=%lld",
	    (long long)own_next_offset(daemon->own));
	return (true);
}

static void
on_record(int64_t offset, int64_t time_ms, json_t *data, void *arg)
{
	struct cluster *cluster = arg;
	bool complete = own_is_complete(cluster->daemon->own);

	(void)time_ms;
	record_apply(cluster, offset, data);
	if (!complete && own_is_complete(cluster->daemon->own)) {
		own_sessions_foreach(
		    cluster->daemon->own, add_session, cluster->daemon);
		plog_follower_seek(
		    cluster->follow, own_next_offset(cluster->daemon->own));
	}
}

/* The next offset to read; offsets of the log start at 1. */
static int64_t
fleet_next(const struct cluster *cluster)
{
	return (MAX(own_next_offset(cluster->daemon->own), 1));
}

static void
on_tail(int64_t next, clk_ms started_at, void *arg)
{
	struct cluster *cluster = arg;

	own_skip_dropped(cluster->daemon->own, next);
	own_log_read_done(cluster->daemon->own, started_at);
}

static void
on_gap(int64_t from, int64_t first, int64_t next, void *arg)
{
	struct cluster *cluster = arg;

	lg_event(cluster->daemon->log, LG_WARNING, "fleet_log_gap",
	    "from=%lld first=%lld next=%lld", (long long)from, (long long)first,
	    (long long)next);
	own_gap_set(cluster->daemon->own, first);
}

static void
on_opened(enum plog_outcome outcome, int64_t offset, void *arg)
{
	struct cluster *cluster = arg;

	lg_event(cluster->daemon->log, LG_NOTICE, "session_open",
	    "outcome=%d offset=%lld session=%016llx", (int)outcome,
	    (long long)offset, (unsigned long long)cluster->daemon->session);
	/* A second record of the same session is harmless to member_apply(). */
	if (outcome != PLOG_APPENDED)
		cluster->open_sent = false;
}

static void
session_open(struct cluster *cluster)
{
	struct daemon *daemon = cluster->daemon;

	if (cluster->open_sent || cluster->stop_at != 0 ||
	    own_log_age(daemon->own, daemon_now(daemon)) < 0)
		return;
	cluster->open_sent = plog_append(daemon->plog, STREAM,
				 member_session_open_record(&daemon->identity),
				 on_opened, cluster) > 0;
}

struct pending_append {
	struct cluster *cluster;
	uint64_t ref;
};

static void
on_appended(enum plog_outcome outcome, int64_t offset, void *arg)
{
	struct pending_append *append = arg;
	static const enum own_append_outcome outcomes[] = {
	    [PLOG_APPENDED] = OWN_APPENDED,
	    [PLOG_REFUSED] = OWN_REFUSED,
	    [PLOG_UNKNOWN] = OWN_UNKNOWN,
	};

	(void)offset;
	own_append_done(
	    append->cluster->daemon->own, append->ref, outcomes[outcome]);
	g_free(append);
}

static void
action_append(struct cluster *cluster, const struct own_action *action)
{
	struct pending_append *append = g_new0(struct pending_append, 1);

	append->cluster = cluster;
	append->ref = action->ref;
	if (plog_append(cluster->daemon->plog, STREAM, action->record,
		on_appended, append) == 0) {
		own_append_done(cluster->daemon->own, action->ref, OWN_REFUSED);
		g_free(append);
	}
}

static void
decide(struct cluster *cluster, clk_ms now)
{
	struct own_action actions[MAX_ACTIONS];
	struct daemon *daemon = cluster->daemon;
	size_t n;

	if (now - cluster->decided_at < DECIDE_INTERVAL_MS)
		return;
	cluster->decided_at = now;
	n = own_decide(daemon->own, daemon->members, now, actions, MAX_ACTIONS);
	for (size_t i = 0; i < n; i++) {
		const struct own_action *action = &actions[i];

		switch (action->kind) {
		case OWN_ACT_APPEND:
			action_append(cluster, action);
			break;
		case OWN_ACT_RECOVER:
			repl_shard_recover(daemon->repl, action->id,
			    action->epoch, action->sources);
			break;
		case OWN_ACT_PREPARE:
			repl_handover_prepare(daemon->repl, action->id,
			    action->epoch, action->session);
			break;
		case OWN_ACT_COPY:
			repl_holders_update(
			    daemon->repl, action->id, action->epoch);
			break;
		}
	}
	cnt_set(cluster->owned, own_owned_count(daemon->own));
}

static clk_ms
age_or_max(clk_ms age)
{
	return (age < 0 ? G_MAXINT32 : age);
}

/* Requests that recently crashed upstreams, so that no peer runs them. */
static void
fingerprints_fill(struct cluster *cluster, struct peer_state *state)
{
	struct daemon *daemon = cluster->daemon;
	size_t n;

	if (daemon->dispatch == NULL)
		return;
	n = dispatch_crashes(daemon->dispatch, cluster->crashes, MAX_CRASHES);
	for (size_t i = 0; i < n; i++) {
		struct peer_fingerprint *out = &cluster->fingerprints[i];

		memcpy(out->hash, cluster->crashes[i].fingerprint,
		    PEER_FINGERPRINT_SIZE);
		out->upstream = cluster->crashes[i].upstream;
		out->age_ms = (u_int)MAX(
		    daemon_now(daemon) - cluster->crashes[i].time, 0);
	}
	state->fingerprints.fingerprints_len = (u_int)n;
	state->fingerprints.fingerprints_val = cluster->fingerprints;
}

static void
fingerprints_apply(struct cluster *cluster, const struct peer_state *state)
{
	struct daemon *daemon = cluster->daemon;
	clk_ms now = daemon_now(daemon);

	if (daemon->sched == NULL)
		return;
	for (u_int i = 0; i < state->fingerprints.fingerprints_len; i++) {
		const struct peer_fingerprint *in =
		    &state->fingerprints.fingerprints_val[i];

		sched_crash_add(daemon->sched, (const unsigned char *)in->hash,
		    in->upstream, now - (clk_ms)in->age_ms);
	}
}

void
cluster_state_fill(struct cluster *cluster, struct peer_state *state)
{
	struct daemon *daemon = cluster->daemon;

	g_ptr_array_unref(cluster->withdrawn);
	cluster->withdrawn = cfg_withdrawn_keys(daemon->cfg, true);
	memset(state, 0, sizeof(*state));
	state->session = daemon->session;
	state->name = daemon->settings->instance;
	state->datacentre = daemon->settings->datacentre;
	state->address = daemon->address;
	state->config_position = cfg_frontier(daemon->cfg);
	state->fleet_position = (uint64_t)own_next_offset(daemon->own);
	state->log_age_ms = (uint64_t)MAX(
	    age_or_max(own_log_age(daemon->own, daemon_now(daemon))),
	    age_or_max(config_read_age(daemon->config)));
	state->draining = cluster->stop_at != 0;
	fingerprints_fill(cluster, state);
	state->withdrawn.withdrawn_len =
	    MIN(cluster->withdrawn->len, PEER_MAX_WITHDRAWN);
	state->withdrawn.withdrawn_val =
	    (peer_key_id *)cluster->withdrawn->pdata;
}

static void
report_fill(const struct peer_state *state, struct member_report *report)
{
	memset(report, 0, sizeof(*report));
	report->draining = state->draining;
	report->fleet_next = (int64_t)state->fleet_position;
	report->config_next = (int64_t)state->config_position + 1;
	report->fleet_age = (clk_ms)state->log_age_ms;
	report->config_age = (clk_ms)state->log_age_ms;
}

void
cluster_heartbeat_handle(struct cluster *cluster, struct rpc_request *request,
    const struct peer_heartbeat_args *args)
{
	struct daemon *daemon = cluster->daemon;
	struct peer_heartbeat_reply reply = {0};
	struct own_pending_claims pending;
	struct member_report report;
	struct peer_claim claims[OWN_PENDING_MAX];

	report_fill(&args->state, &report);
	member_heartbeat_received(daemon->members, args->state.session, false,
	    &report, daemon_now(daemon));
	for (u_int i = 0; i < args->state.withdrawn.withdrawn_len; i++)
		(void)cfg_key_withdraw(
		    daemon->cfg, args->state.withdrawn.withdrawn_val[i]);
	fingerprints_apply(cluster, &args->state);
	cluster_state_fill(cluster, &reply.state);
	reply.sent_at = args->sent_at;
	own_pending_get(daemon->own, &pending);
	for (unsigned i = 0; i < pending.n; i++)
		claims[i] = (struct peer_claim){
		    .datacentre = pending.shards[i].datacentre,
		    .shard = pending.shards[i].shard};
	reply.claims.claims_len = pending.n;
	reply.claims.claims_val = claims;
	reply.claimed_at = pending.last_claim_offset;
	reply.more = pending.truncated;
	rpc_request_reply(request, &reply);
}

struct ping {
	struct cluster *cluster;
	uint64_t session;
	clk_ms sent_at;
};

static void
pending_fill(const struct peer_heartbeat_reply *reply,
    struct own_pending_claims *pending)
{
	memset(pending, 0, sizeof(*pending));
	pending->last_claim_offset = reply->claimed_at;
	pending->truncated =
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
on_heartbeat_reply(const struct rpc_result *result, void *arg)
{
	struct ping *ping = arg;
	struct daemon *daemon = ping->cluster->daemon;
	const struct peer_heartbeat_reply *reply = result->reply;
	struct own_pending_claims pending;
	struct member_report report;

	if (result->sent == RPC_CLOSED) {
		g_free(ping);
		return;
	}
	/* Another session may use the address by now. */
	if (result->sent != RPC_REPLIED ||
	    reply->state.session != ping->session) {
		cnt_add(ping->cluster->heartbeats_failed, 1);
		g_free(ping);
		return;
	}
	report_fill(&reply->state, &report);
	member_heartbeat_received(
	    daemon->members, ping->session, true, &report, daemon_now(daemon));
	pending_fill(reply, &pending);
	own_heartbeat_answered(
	    daemon->own, ping->session, ping->sent_at, &pending);
	fingerprints_apply(ping->cluster, &reply->state);
	config_heartbeat_reply(daemon->config, ping->sent_at, &reply->state);
	g_free(ping);
}

static void
send_heartbeats(struct cluster *cluster, clk_ms now)
{
	struct member_heartbeat pings[MAX_PINGS];
	struct daemon *daemon = cluster->daemon;
	struct peer_heartbeat_args args = {0};
	size_t n =
	    member_heartbeats_due(daemon->members, now, pings, MAX_PINGS);

	if (n == 0)
		return;
	cluster_state_fill(cluster, &args.state);
	for (size_t i = 0; i < n; i++) {
		struct ping *ping = g_new0(struct ping, 1);

		ping->cluster = cluster;
		ping->session = pings[i].session;
		ping->sent_at = daemon_now(daemon);
		args.sent_at = ping->sent_at;
		if (pings[i].new_connection)
			rpc_link_reconnect(daemon->peers, pings[i].address);
		(void)rpc_call_start(daemon->peers, pings[i].address,
		    PEER_HEARTBEAT, &args, HEARTBEAT_TIMEOUT_MS,
		    on_heartbeat_reply, ping);
		cnt_add(cluster->heartbeats, 1);
	}
}

/* Apply the platform's list of instances and upstreams. */
static void
on_platform_list(const struct hcl_result *result, void *arg)
{
	struct cluster *cluster = arg;
	json_t *list, *entry;
	struct member_list_entry *members;
	size_t i, n = 0;

	cluster->list_call = NULL;
	if (result->sent != HCL_REPLIED || result->status != 200)
		return;
	list = json_loadb(result->body, result->body_len, 0, NULL);
	members = g_new0(struct member_list_entry,
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
		    ? MEMBER_LISTED_LEAVING
		    : MEMBER_LISTED_LIVE;
		n++;
	}
	json_array_foreach(json_object_get(list, "upstreams"), i, entry)
	{
		const char *name =
		    json_string_value(json_object_get(entry, "name"));

		if (name != NULL && cluster->daemon->dispatch != NULL)
			dispatch_set_leaving(cluster->daemon->dispatch, name,
			    g_strcmp0(json_string_value(
					  json_object_get(entry, "state")),
				"leaving") == 0);
	}
	/* Ignore an empty list: the service may have just started. */
	if (n > 0)
		member_list_apply(cluster->daemon->members, members, n,
		    daemon_now(cluster->daemon));
	g_free(members);
	json_decref(list);
}

static void
platform_list_read(struct cluster *cluster, clk_ms now)
{
	g_autofree char *url = NULL;
	struct hcl_request request = {.method = "GET",
	    .timeout = LIST_INTERVAL_MS,
	    .on_done = on_platform_list,
	    .arg = cluster};

	if (cluster->daemon->settings->members_url == NULL ||
	    cluster->list_call != NULL ||
	    now - cluster->listed_at < LIST_INTERVAL_MS)
		return;
	cluster->listed_at = now;
	url = g_strdup_printf(
	    "%s/instances", cluster->daemon->settings->members_url);
	request.url = url;
	cluster->list_call = hcl_start(cluster->daemon->http, &request);
}

bool
cluster_is_snapshot_writer(const struct cluster *cluster)
{
	struct member_info *infos =
	    g_new(struct member_info, MEMBER_MAX_SESSIONS);
	size_t n = member_info_list(
	    cluster->daemon->members, infos, MEMBER_MAX_SESSIONS);
	bool first = true;

	for (size_t i = 0; i < n; i++) {
		if (infos[i].state == MEMBER_LIVE &&
		    infos[i].identity.session < cluster->daemon->session)
			first = false;
	}
	g_free(infos);
	return (first);
}

static void
append_snapshot(struct cluster *cluster, clk_ms now)
{
	struct daemon *daemon = cluster->daemon;
	json_t *parts, *part;
	size_t i;

	if (cluster->since_snapshot < SNAPSHOT_RECORDS &&
	    (cluster->since_snapshot == 0 ||
		now - cluster->snapshot_at < SNAPSHOT_INTERVAL_MS))
		return;
	cluster->snapshot_at = now;
	if (!cluster_is_snapshot_writer(cluster))
		return;
	parts = own_snapshot(daemon->own, now);
	json_array_foreach(parts, i, part)(void)
	    plog_append(daemon->plog, STREAM, json_incref(part), NULL, NULL);
	lg_event(daemon->log, LG_INFO, "fleet_snapshot", "parts=%zu",
	    json_array_size(parts));
	json_decref(parts);
}

struct sync {
	struct cluster *cluster;
	clk_ms requested_at;
	char *address;
};

static void
sync_part(struct cluster *cluster, const char *address, unsigned part);

static void
on_sync_reply(const struct rpc_result *result, void *arg)
{
	struct sync *sync = arg;
	struct cluster *cluster = sync->cluster;
	struct daemon *daemon = cluster->daemon;
	const struct peer_sync_reply *reply = result->reply;
	bool restored = false;

	if (result->sent == RPC_CLOSED)
		goto out;
	cluster->sync_pending = false;
	if (result->sent != RPC_REPLIED)
		goto out;
	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct peer_log_record *record =
		    &reply->records.records_val[i];
		json_t *data = json_loadb(
		    record->data.data_val, record->data.data_len, 0, NULL);

		if (data != NULL && reply->parts > 0)
			restored = map_restore(cluster, data) || restored;
		else if (data != NULL &&
		    (int64_t)record->offset >= own_next_offset(daemon->own))
			record_apply(cluster, (int64_t)record->offset, data);
		json_decref(data);
	}
	if (reply->parts > 0 && !restored && reply->first + 1 < reply->parts) {
		sync_part(cluster, sync->address, (unsigned)reply->first + 1);
		goto out;
	}
	if (own_is_complete(daemon->own) && reply->read_age_ms < G_MAXINT32 &&
	    (uint64_t)own_next_offset(daemon->own) >= reply->next)
		own_peer_read_done(daemon->own, sync->requested_at,
		    (clk_ms)reply->read_age_ms);
	if (plog_follower_next(cluster->follow) < own_next_offset(daemon->own))
		plog_follower_seek(
		    cluster->follow, own_next_offset(daemon->own));
out:
	g_free(sync->address);
	g_free(sync);
}

static void
sync_part(struct cluster *cluster, const char *address, unsigned part)
{
	struct daemon *daemon = cluster->daemon;
	struct peer_sync_args args = {.session = daemon->session,
	    .stream = (char *)(uintptr_t)STREAM,
	    .from = own_is_complete(daemon->own)
		? (uint64_t)own_next_offset(daemon->own)
		: 0,
	    .part = part};
	struct sync *sync = g_new0(struct sync, 1);

	sync->cluster = cluster;
	sync->requested_at = daemon_now(daemon);
	sync->address = g_strdup(address);
	cluster->sync_pending = true;
	(void)rpc_call_start(daemon->peers, address, PEER_SYNC, &args,
	    SYNC_TIMEOUT_MS, on_sync_reply, sync);
}

static const char *
peer_address(struct cluster *cluster, const struct settings_peer *peer)
{
	(void)g_snprintf(cluster->peer_address, sizeof(cluster->peer_address),
	    "%s:%u", peer->address.ip, (unsigned)peer->address.port);
	return (cluster->peer_address);
}

/* The peer with the newest read of the log, or one of the settings. */
static const char *
relay_address(struct cluster *cluster, clk_ms own_age)
{
	static const size_t max = MEMBER_MAX_SESSIONS;
	struct member_info *infos = g_new(struct member_info, max);
	size_t n = member_info_list(cluster->daemon->members, infos, max);
	const char *address = NULL;
	clk_ms best = own_age;
	uint64_t session = 0;

	for (size_t i = 0; i < n; i++) {
		if (infos[i].self || infos[i].state != MEMBER_LIVE ||
		    infos[i].answered_at < 0 ||
		    infos[i].report.fleet_age >= best)
			continue;
		best = infos[i].report.fleet_age;
		session = infos[i].identity.session;
	}
	g_free(infos);
	if (session != 0)
		return (daemon_peer_address(cluster->daemon, session));
	if (!own_is_complete(cluster->daemon->own) ||
	    own_next_offset(cluster->daemon->own) <= 1) {
		const GPtrArray *peers = cluster->daemon->settings->peers;
		guint pick;

		if (peers->len == 0)
			return (NULL);
		/* A different peer each time, as one may be down. */
		pick = (guint)(daemon_now(cluster->daemon) / RELAY_AGE_MS) %
		    peers->len;
		address = peer_address(cluster, g_ptr_array_index(peers, pick));
	}
	return (address);
}

/* Request records from a peer while the log can't be read here. */
static void
records_request(struct cluster *cluster, clk_ms now)
{
	struct daemon *daemon = cluster->daemon;
	clk_ms age = own_log_age(daemon->own, now);
	const char *address;

	if (cluster->sync_pending || (age >= 0 && age < 2 * RELAY_AGE_MS))
		return;
	address =
	    relay_address(cluster, age < 0 ? G_MAXINT32 : age - RELAY_AGE_MS);
	if (address != NULL)
		sync_part(cluster, address, 0);
}

/* Update which owners and holders in other data centres get heartbeats. */
static void
watch_update(struct cluster *cluster, clk_ms now)
{
	uint64_t watched[MAX_WATCHED];

	if (now - cluster->watched_at < WATCH_INTERVAL_MS)
		return;
	cluster->watched_at = now;
	member_watch_set(cluster->daemon->members, watched,
	    own_watched_get(cluster->daemon->own, watched, MAX_WATCHED));
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cluster *cluster = timer->data;
	clk_ms now = daemon_now(cluster->daemon);

	(void)loop;
	(void)events;
	watch_update(cluster, now);
	send_heartbeats(cluster, now);
	session_open(cluster);
	decide(cluster, now);
	platform_list_read(cluster, now);
	append_snapshot(cluster, now);
	records_request(cluster, now);
}

void
cluster_sync_handle(struct cluster *cluster, const struct peer_sync_args *args,
    struct peer_sync_reply *reply)
{
	struct daemon *daemon = cluster->daemon;
	const struct kept_record *head = g_queue_peek_head(cluster->kept);
	struct peer_log_record record;

	g_array_set_size(cluster->sync_records, 0);
	g_ptr_array_set_size(cluster->sync_texts, 0);
	reply->session = daemon->session;
	reply->next = (uint64_t)own_next_offset(daemon->own);
	reply->read_age_ms =
	    (uint64_t)age_or_max(own_log_age(daemon->own, daemon_now(daemon)));
	if (args->from > 0 && head != NULL &&
	    (int64_t)args->from >= head->offset) {
		reply->first = args->from;
		for (GList *l = cluster->kept->head; l != NULL; l = l->next) {
			const struct kept_record *kept = l->data;

			if ((uint64_t)kept->offset < args->from)
				continue;
			record.offset = (uint64_t)kept->offset;
			record.data.data_val = kept->text;
			record.data.data_len = (u_int)strlen(kept->text);
			g_array_append_val(cluster->sync_records, record);
		}
	} else if (args->from < reply->next && own_is_complete(daemon->own)) {
		char *text;

		if (args->part == 0 || cluster->snapshot == NULL) {
			json_decref(cluster->snapshot);
			cluster->snapshot =
			    own_snapshot(daemon->own, daemon_now(daemon));
		}
		reply->parts = (u_int)json_array_size(cluster->snapshot);
		reply->first = args->part;
		text = json_dumps(json_array_get(cluster->snapshot, args->part),
		    JSON_COMPACT);
		if (text != NULL) {
			g_ptr_array_add(cluster->sync_texts, g_strdup(text));
			record.offset = args->part;
			record.data.data_val =
			    g_ptr_array_index(cluster->sync_texts, 0);
			record.data.data_len = (u_int)strlen(text);
			g_array_append_val(cluster->sync_records, record);
		}
		free(text);
	}
	reply->records.records_len = cluster->sync_records->len;
	reply->records.records_val =
	    (struct peer_log_record *)(void *)cluster->sync_records->data;
}

static void
follow_start(struct cluster *cluster)
{
	struct plog_follower_events events = {.record = on_record,
	    .tail = on_tail,
	    .gap = on_gap,
	    .arg = cluster};

	cluster->follow = plog_follow_start(
	    cluster->daemon->plog, STREAM, fleet_next(cluster), &events);
}

struct cluster *
cluster_open(struct daemon *daemon)
{
	struct cluster *cluster = g_new0(struct cluster, 1);

	cluster->daemon = daemon;
	cluster->kept = g_queue_new();
	cluster->withdrawn = g_ptr_array_new();
	cluster->sync_records =
	    g_array_new(FALSE, FALSE, sizeof(struct peer_log_record));
	cluster->sync_texts = g_ptr_array_new_with_free_func(g_free);
	cluster->owned = cnt_gauge(daemon->cnt, "shards_owned",
	    "Shards that this instance owns.", NULL, NULL);
	cluster->heartbeats = cnt_counter(
	    daemon->cnt, "heartbeats_total", "Heartbeats sent.", NULL, NULL);
	cluster->heartbeats_failed =
	    cnt_counter(daemon->cnt, "heartbeats_failed_total",
		"Heartbeats without an answer.", NULL, NULL);
	cluster->records = cnt_counter(daemon->cnt, "fleet_records_total",
	    "Records of the stream fleet applied.", NULL, NULL);
	cluster->snapshot_at = daemon_now(daemon);
	follow_start(cluster);
	ev_timer_init(&cluster->tick, on_tick, TICK_S, TICK_S);
	cluster->tick.data = cluster;
	ev_timer_start(daemon->loop, &cluster->tick);
	return (cluster);
}

void
cluster_close(struct cluster *cluster)
{
	if (cluster == NULL)
		return;
	ev_timer_stop(cluster->daemon->loop, &cluster->tick);
	plog_follower_stop(cluster->follow);
	if (cluster->list_call != NULL)
		hcl_cancel(cluster->list_call);
	/* rpc_close() has ended the heartbeats in flight. */
	g_queue_free_full(cluster->kept, kept_free);
	g_ptr_array_unref(cluster->withdrawn);
	g_array_unref(cluster->sync_records);
	g_ptr_array_unref(cluster->sync_texts);
	json_decref(cluster->snapshot);
	g_free(cluster);
}

bool
cluster_is_ready(const struct cluster *cluster)
{
	return (own_is_complete(cluster->daemon->own) &&
	    member_state_get(cluster->daemon->members,
		cluster->daemon->session) == MEMBER_LIVE);
}

void
cluster_stop(struct cluster *cluster)
{
	if (cluster->stop_at != 0)
		return;
	cluster->stop_at = daemon_now(cluster->daemon);
	own_stop_begin(cluster->daemon->own);
}

static void
on_closed(enum plog_outcome outcome, int64_t offset, void *arg)
{
	struct cluster *cluster = arg;

	(void)outcome;
	(void)offset;
	cluster->closed = true;
}

/* Whether another session of the data centre could take over the shards. */
static bool
has_successor(const struct cluster *cluster)
{
	uint64_t first[2];
	size_t n = member_rank(cluster->daemon->members,
	    cluster->daemon->settings->datacentre_number, 0, true, first, 2);

	for (size_t i = 0; i < n; i++) {
		if (first[i] != cluster->daemon->session)
			return (true);
	}
	return (false);
}

bool
cluster_is_stopped(const struct cluster *cluster)
{
	struct daemon *daemon = cluster->daemon;
	clk_ms now = daemon_now(daemon);
	bool log_unreachable;

	if (cluster->closed || own_session_is_closed(daemon->own))
		return (true);
	if (cluster->stop_at == 0)
		return (false);
	log_unreachable = own_log_age(daemon->own, now) < 0 ||
	    own_log_age(daemon->own, now) > STOP_LOG_TIMEOUT_MS;
	return (now - cluster->stop_at > STOP_LOG_TIMEOUT_MS &&
	    (log_unreachable || !has_successor(cluster)));
}

bool
cluster_leave(struct cluster *cluster)
{
	struct daemon *daemon = cluster->daemon;

	if (cluster->closed || own_session_is_closed(daemon->own))
		return (true);
	if (cluster->leave_at == 0) {
		cluster->leave_at = daemon_now(daemon);
		own_release_all(daemon->own);
		if (plog_append(daemon->plog, STREAM,
			own_session_close_record(daemon->session), on_closed,
			cluster) == 0)
			cluster->closed = true;
	}
	return (cluster->closed ||
	    daemon_now(daemon) - cluster->leave_at > STOP_LOG_TIMEOUT_MS);
}
