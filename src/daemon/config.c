#include "daemon/config.h"

#include <glib.h>
#include <string.h>

#include "daemon/cluster.h"

#define STREAM		"config"
#define TICK_S		0.25
#define SYNC_TIMEOUT_MS (2 * CLK_SECOND)
#define CALL_TIMEOUT_MS (2 * CLK_SECOND)
/* From the append of a change until it is read back from the log. */
#define CHANGE_TIMEOUT_MS    (15 * CLK_SECOND)
#define SNAPSHOT_RECORDS     4096
#define SNAPSHOT_INTERVAL_MS (10 * CLK_MINUTE)
#define PART_BYTES	     ((size_t)256 * 1024)

/* A change made here that has not been read back from the log yet. */
struct change {
	struct config *config;
	uint64_t number; /* of the append */
	clk_ms deadline;
	config_change_cb *on_done;
	void *arg;
};

struct config {
	struct daemon *daemon;
	struct plog_follower *follow;
	ev_timer tick;
	int64_t next; /* offset of the log's next record; 0: unknown */
	clk_ms read_at; /* start of the last read of the tail; -1: none */
	bool sync_pending;
	GHashTable *changes; /* number -> struct change */
	GHashTable *appended; /* key ids whose withdrawal has been queued */
	clk_ms snapshot_at;
	GPtrArray *export; /* parts answered to peers */
	GArray *sync_records;
	struct cnt_metric *records;
	struct cnt_metric *rejected;
	struct cnt_metric *age;
};

static void
change_complete(struct config *config, struct change *change,
    const struct vd *vd, const struct cfg_history_entry *entry)
{
	(void)g_hash_table_steal(config->changes, &change->number);
	if (change->on_done != NULL)
		change->on_done(vd, entry, change->arg);
	g_free(change);
}

/* Complete the change that the record belongs to, if it was made here. */
static void
change_match(struct config *config, const json_t *record)
{
	struct vd vd = vd_ok();
	uint64_t session, number;
	struct change *change;

	if (!plog_session_parse(
		json_string_value(json_object_get(record, "session")),
		&session) ||
	    session != config->daemon->session)
		return;
	number =
	    (uint64_t)json_integer_value(json_object_get(record, "number"));
	change = g_hash_table_lookup(config->changes, &number);
	if (change != NULL)
		change_complete(config, change, &vd,
		    cfg_history_find(config->daemon->cfg, session, number));
}

static void
on_record(int64_t offset, int64_t time_ms, json_t *data, void *arg)
{
	struct config *config = arg;
	enum cfg_outcome outcome;

	(void)time_ms;
	/* The follower skips duplicate appends, which leaves gaps. */
	if (config->next > 0 && offset > config->next)
		cfg_skip_offsets(config->daemon->cfg, (uint64_t)config->next,
		    (uint64_t)offset);
	config->next = offset + 1;
	outcome = cfg_apply_json(config->daemon->cfg, (uint64_t)offset, data);
	cnt_add(config->records, 1);
	if (outcome == CFG_CONFLICT || outcome == CFG_INVALID) {
		cnt_add(config->rejected, 1);
		lg_event(config->daemon->log, LG_WARNING,
		    "config_change_rejected", "offset=%lld outcome=%s",
		    (long long)offset, cfg_outcome_name(outcome));
	}
	change_match(config, data);
}

static void
on_tail(int64_t next, clk_ms started_at, void *arg)
{
	struct config *config = arg;

	if (cfg_frontier(config->daemon->cfg) + 1 >= (uint64_t)next)
		config->read_at = MAX(config->read_at, started_at);
}

static void
on_gap(int64_t from, int64_t first, int64_t next, void *arg)
{
	struct config *config = arg;

	config->next = first;
	lg_event(config->daemon->log, LG_WARNING, "config_log_gap",
	    "from=%lld first=%lld next=%lld", (long long)from, (long long)first,
	    (long long)next);
}

/*
 * A request for the configuration of a peer, sent by a new instance and
 * after a gap in the log.
 */
struct sync {
	struct config *config;
	clk_ms requested_at;
	char *address;
};

static void
sync_part(struct config *config, const char *address, unsigned part);

static void
on_sync(const struct rpc_result *result, void *arg)
{
	struct sync *sync = arg;
	struct config *config = sync->config;
	struct cfg *cfg = config->daemon->cfg;
	const struct peer_sync_reply *reply = result->reply;
	uint64_t frontier;

	if (result->sent == RPC_CLOSED)
		goto out;
	frontier = cfg_frontier(cfg);
	config->sync_pending = false;
	if (result->sent != RPC_REPLIED)
		goto out;
	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct peer_log_record *record =
		    &reply->records.records_val[i];

		(void)cfg_import(
		    cfg, record->data.data_val, record->data.data_len);
	}
	if (reply->parts > 0 && reply->first + 1 < reply->parts) {
		sync_part(config, sync->address, (unsigned)reply->first + 1);
		goto out;
	}
	if (cfg_frontier(cfg) > frontier) {
		lg_event(config->daemon->log, LG_NOTICE, "config_from_peer",
		    "frontier=%llu", (unsigned long long)cfg_frontier(cfg));
		config->next = 0;
		plog_follower_seek(
		    config->follow, (int64_t)cfg_frontier(cfg) + 1);
	}
	if (reply->next == cfg_frontier(cfg) + 1)
		config->read_at = MAX(config->read_at,
		    sync->requested_at - (clk_ms)reply->read_age_ms);
out:
	g_free(sync->address);
	g_free(sync);
}

static void
sync_part(struct config *config, const char *address, unsigned part)
{
	struct daemon *daemon = config->daemon;
	struct peer_sync_args args = {.session = daemon->session,
	    .stream = (char *)(uintptr_t)STREAM,
	    .from = cfg_frontier(daemon->cfg) + 1,
	    .part = part};
	struct sync *sync = g_new0(struct sync, 1);

	sync->config = config;
	sync->requested_at = daemon_now(daemon);
	sync->address = g_strdup(address);
	config->sync_pending = true;
	(void)rpc_call_start(daemon->peers, address, PEER_SYNC, &args,
	    SYNC_TIMEOUT_MS, on_sync, sync);
}

void
config_heartbeat_reply(
    struct config *config, clk_ms sent_at, const struct peer_state *state)
{
	struct daemon *daemon = config->daemon;
	uint64_t frontier = cfg_frontier(daemon->cfg);

	for (u_int i = 0; i < state->withdrawn.withdrawn_len; i++)
		(void)cfg_key_withdraw(
		    daemon->cfg, state->withdrawn.withdrawn_val[i]);
	/*
	 * The peer had read up to its frontier when it answered, so that a
	 * frontier equal to this one's confirms this configuration as of the
	 * peer's last read.
	 */
	if (state->config_position == frontier && frontier > 0)
		config->read_at =
		    MAX(config->read_at, sent_at - (clk_ms)state->log_age_ms);
	if (state->config_position > frontier && !config->sync_pending &&
	    config_read_age(config) > CLK_SECOND)
		sync_part(config, state->address, 0);
}

void
config_sync_handle(struct config *config, const struct peer_sync_args *args,
    struct peer_sync_reply *reply)
{
	struct daemon *daemon = config->daemon;
	struct peer_log_record record;
	clk_ms age = config_read_age(config);

	g_array_set_size(config->sync_records, 0);
	reply->session = daemon->session;
	reply->next = cfg_frontier(daemon->cfg) + 1;
	reply->read_age_ms = (uint64_t)(age < 0 ? G_MAXINT32 : age);
	if (args->from < reply->next) {
		if (args->part == 0 || config->export == NULL) {
			if (config->export != NULL)
				g_ptr_array_unref(config->export);
			config->export = cfg_export(
			    daemon->cfg, daemon->session, PART_BYTES);
		}
		reply->parts = config->export->len;
		reply->first = args->part;
		if (args->part < config->export->len) {
			record.offset = args->part;
			record.data.data_val =
			    g_ptr_array_index(config->export, args->part);
			record.data.data_len =
			    (u_int)strlen(record.data.data_val);
			g_array_append_val(config->sync_records, record);
		}
	}
	reply->records.records_len = config->sync_records->len;
	reply->records.records_val =
	    (struct peer_log_record *)(void *)config->sync_records->data;
}

/* Append the withdrawals that the log does not have yet. */
static void
append_withdrawals(struct config *config)
{
	GPtrArray *ids = cfg_withdrawn_keys(config->daemon->cfg, true);

	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);
		char *text;
		json_t *record;

		if (g_hash_table_contains(config->appended, id))
			continue;
		text =
		    cfg_record_withdraw(id, config->daemon->settings->instance);
		record = json_loads(text, 0, NULL);
		g_free(text);
		if (plog_append(
			config->daemon->plog, STREAM, record, NULL, NULL) > 0)
			(void)g_hash_table_add(config->appended, g_strdup(id));
	}
	/* Once the queue is empty, append again what the log still lacks. */
	if (ids->len == 0 || plog_append_count(config->daemon->plog) == 0)
		g_hash_table_remove_all(config->appended);
	g_ptr_array_unref(ids);
}

static void
append_snapshot(struct config *config, clk_ms now)
{
	struct daemon *daemon = config->daemon;
	uint64_t since = cfg_records_since_snapshot(daemon->cfg);
	GPtrArray *parts;

	/* Without periodic snapshots the last one would expire in the log. */
	if (since < SNAPSHOT_RECORDS &&
	    now - config->snapshot_at < SNAPSHOT_INTERVAL_MS)
		return;
	config->snapshot_at = now;
	if (!config_is_ready(config))
		return;
	if (!cluster_is_snapshot_writer(daemon->cluster))
		return;
	parts = cfg_snapshot_parts(daemon->cfg, daemon->session, PART_BYTES);
	for (guint i = 0; i < parts->len; i++)
		(void)plog_append(daemon->plog, STREAM,
		    json_loads(g_ptr_array_index(parts, i), 0, NULL), NULL,
		    NULL);
	lg_event(daemon->log, LG_INFO, "config_snapshot",
	    "parts=%u frontier=%llu", parts->len,
	    (unsigned long long)cfg_frontier(daemon->cfg));
	g_ptr_array_unref(parts);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config *config = timer->data;
	clk_ms now = daemon_now(config->daemon);
	GList *changes = g_hash_table_get_values(config->changes);
	clk_ms age = config_read_age(config);

	(void)loop;
	(void)events;
	for (GList *l = changes; l != NULL; l = l->next) {
		struct change *change = l->data;
		struct vd vd = vd_make(VD_MAYBE, VD_OUTCOME_UNKNOWN,
		    "the log did not confirm the change in time");

		if (now >= change->deadline)
			change_complete(config, change, &vd, NULL);
	}
	g_list_free(changes);
	cnt_set(config->age, age);
	append_withdrawals(config);
	append_snapshot(config, now);
	if (cfg_has_gap(config->daemon->cfg) && !config->sync_pending) {
		uint64_t sessions[2];
		size_t n = member_rank(config->daemon->members,
		    config->daemon->settings->datacentre_number, 0, true,
		    sessions, 2);

		for (size_t i = 0; i < n; i++) {
			const char *address =
			    daemon_peer_address(config->daemon, sessions[i]);

			if (sessions[i] != config->daemon->session &&
			    address != NULL && !config->sync_pending)
				sync_part(config, address, 0);
		}
	} else if (cfg_frontier(config->daemon->cfg) == 0 &&
	    !config->sync_pending && age < 0 &&
	    config->daemon->settings->peers->len > 0) {
		const GPtrArray *peers = config->daemon->settings->peers;
		const struct settings_peer *peer = g_ptr_array_index(
		    peers, (guint)(now / CLK_SECOND) % peers->len);
		g_autofree char *address = g_strdup_printf(
		    "%s:%u", peer->address.ip, (unsigned)peer->address.port);

		sync_part(config, address, 0);
	}
}

void
config_key_withdraw(
    struct config *config, const char *key_id, const char *actor)
{
	struct daemon *daemon = config->daemon;
	peer_key_id id = (char *)(uintptr_t)key_id;
	struct peer_withdraw_args args = {.session = daemon->session};
	struct member_info *infos;
	size_t n;
	char buf[128];

	if (!cfg_key_withdraw(daemon->cfg, key_id))
		return;
	lg_event(daemon->log, LG_NOTICE, "key_withdrawn", "key=%s actor=%s",
	    lg_quote(buf, sizeof(buf) / 2, key_id), actor);
	args.key_ids.key_ids_len = 1;
	args.key_ids.key_ids_val = &id;
	infos = g_new(struct member_info, MEMBER_MAX_SESSIONS);
	n = member_info_list(daemon->members, infos, MEMBER_MAX_SESSIONS);
	for (size_t i = 0; i < n; i++) {
		if (!infos[i].self && infos[i].state != MEMBER_REPLACED)
			(void)rpc_call_start(daemon->peers,
			    infos[i].identity.address, PEER_WITHDRAW, &args,
			    CALL_TIMEOUT_MS, NULL, NULL);
	}
	g_free(infos);
	append_withdrawals(config);
}

void
config_withdraw_handle(struct config *config, struct rpc_request *request,
    const struct peer_withdraw_args *args)
{
	struct peer_withdraw_reply reply = {.session = config->daemon->session};

	for (u_int i = 0; i < args->key_ids.key_ids_len; i++) {
		if (cfg_key_withdraw(
			config->daemon->cfg, args->key_ids.key_ids_val[i]))
			reply.added++;
	}
	rpc_request_reply(request, &reply);
}

struct change_append {
	struct config *config;
	uint64_t number;
};

static void
on_change_appended(enum plog_outcome outcome, int64_t offset, void *arg)
{
	struct change_append *append = arg;
	struct change *change =
	    g_hash_table_lookup(append->config->changes, &append->number);
	struct vd vd = vd_make(VD_NOT_RUN, VD_CONFIG_STALE,
	    "the log refused the change or can't be reached");

	(void)offset;
	if (change != NULL && outcome == PLOG_REFUSED)
		change_complete(append->config, change, &vd, NULL);
	g_free(append);
}

void
config_object_change(struct config *config, const char *object, uint64_t base,
    const json_t *value, const char *actor, config_change_cb *on_done,
    void *arg)
{
	struct daemon *daemon = config->daemon;
	struct change_append *append = g_new0(struct change_append, 1);
	struct change *change = g_new0(struct change, 1);
	char *value_text = value == NULL || json_is_null(value)
	    ? NULL
	    : json_dumps(value, JSON_COMPACT);
	char *text = cfg_record_change(
	    object, base, value_text, actor, daemon->session, 0);
	json_t *record = json_loads(text, 0, NULL);
	int64_t number;

	free(value_text);
	g_free(text);
	append->config = config;
	number = plog_append(
	    daemon->plog, STREAM, record, on_change_appended, append);
	if (number == 0) {
		struct vd vd = vd_make(VD_NOT_RUN, VD_QUEUE_FULL,
		    "too many changes are waiting for the log");

		on_done(&vd, NULL, arg);
		g_free(append);
		g_free(change);
		return;
	}
	append->number = (uint64_t)number;
	change->config = config;
	change->number = (uint64_t)number;
	change->deadline = daemon_now(daemon) + CHANGE_TIMEOUT_MS;
	change->on_done = on_done;
	change->arg = arg;
	g_hash_table_insert(config->changes, &change->number, change);
}

bool
config_is_ready(const struct config *config)
{
	return (cfg_frontier(config->daemon->cfg) > 0 &&
	    !cfg_has_gap(config->daemon->cfg));
}

clk_ms
config_read_age(const struct config *config)
{
	return (config->read_at < 0
		? -1
		: daemon_now(config->daemon) - config->read_at);
}

bool
config_is_stale(const struct config *config)
{
	return (cfg_is_stale(daemon_now(config->daemon), config->read_at,
	    config->daemon->settings->timings.stale_after_ms));
}

struct config *
config_open(struct daemon *daemon)
{
	struct config *config = g_new0(struct config, 1);
	struct plog_follower_events events = {
	    .record = on_record, .tail = on_tail, .gap = on_gap, .arg = config};

	config->daemon = daemon;
	config->read_at = -1;
	config->changes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	config->appended =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->sync_records =
	    g_array_new(FALSE, FALSE, sizeof(struct peer_log_record));
	config->snapshot_at = daemon_now(daemon);
	config->records = cnt_counter(daemon->cnt, "config_records_total",
	    "Records of the stream config applied.", NULL, NULL);
	config->rejected = cnt_counter(daemon->cnt, "config_rejected_total",
	    "Changes of configuration that lost or were not valid.", NULL,
	    NULL);
	config->age = cnt_gauge(daemon->cnt, "config_age_ms",
	    "Age of the last read of the configuration; -1: none.", NULL, NULL);
	config->follow = plog_follow_start(daemon->plog, STREAM, 1, &events);
	ev_timer_init(&config->tick, on_tick, TICK_S, TICK_S);
	config->tick.data = config;
	ev_timer_start(daemon->loop, &config->tick);
	return (config);
}

void
config_close(struct config *config)
{
	if (config == NULL)
		return;
	ev_timer_stop(config->daemon->loop, &config->tick);
	plog_follower_stop(config->follow);
	g_hash_table_destroy(config->changes);
	g_hash_table_destroy(config->appended);
	if (config->export != NULL)
		g_ptr_array_unref(config->export);
	g_array_unref(config->sync_records);
	g_free(config);
}
