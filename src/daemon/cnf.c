#include "daemon/cnf.h"

#include <glib.h>
#include <string.h>

#include "daemon/flt.h"

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
	struct cnf *cnf;
	uint64_t number; /* of the append */
	clk_ms deadline;
	cnf_on_done *on_done;
	void *arg;
};

struct cnf {
	struct dmn *dmn;
	struct plg_follow *follow;
	ev_timer tick;
	int64_t next; /* offset of the log's next record; 0: unknown */
	clk_ms read_at; /* start of the last read of the tail; -1: none */
	bool sync_pending;
	GHashTable *changes; /* number -> struct change */
	GHashTable *logged; /* key ids whose withdrawal was given to plg */
	clk_ms snapshot_at;
	GPtrArray *export; /* parts answered to peers */
	GArray *sync_records;
	struct cnt_metric *records;
	struct cnt_metric *rejected;
	struct cnt_metric *age;
};

static void
change_complete(struct cnf *cnf, struct change *change, const struct vd *vd,
    const struct cfg_history_entry *entry)
{
	(void)g_hash_table_steal(cnf->changes, &change->number);
	if (change->on_done != NULL)
		change->on_done(vd, entry, change->arg);
	g_free(change);
}

/* Complete the change that the record belongs to, if it was made here. */
static void
change_match(struct cnf *cnf, const json_t *record)
{
	struct vd vd = vd_ok();
	uint64_t session, number;
	struct change *change;

	if (!plg_session_parse(
		json_string_value(json_object_get(record, "session")),
		&session) ||
	    session != cnf->dmn->session)
		return;
	number =
	    (uint64_t)json_integer_value(json_object_get(record, "number"));
	change = g_hash_table_lookup(cnf->changes, &number);
	if (change != NULL)
		change_complete(cnf, change, &vd,
		    cfg_history_find(cnf->dmn->cfg, session, number));
}

static void
on_record(int64_t offset, int64_t time_ms, json_t *data, void *arg)
{
	struct cnf *cnf = arg;
	enum cfg_outcome outcome;

	(void)time_ms;
	/* The follower skips duplicate appends, which leaves gaps. */
	if (cnf->next > 0 && offset > cnf->next)
		cfg_pass(cnf->dmn->cfg, (uint64_t)cnf->next, (uint64_t)offset);
	cnf->next = offset + 1;
	outcome = cfg_apply_json(cnf->dmn->cfg, (uint64_t)offset, data);
	cnt_add(cnf->records, 1);
	if (outcome == CFG_LOST || outcome == CFG_INVALID) {
		cnt_add(cnf->rejected, 1);
		lg_event(cnf->dmn->lg, LG_WARNING, "config_change_rejected",
		    "offset=%lld outcome=%s", (long long)offset,
		    cfg_outcome_name(outcome));
	}
	change_match(cnf, data);
}

static void
on_tail(int64_t next, clk_ms started_at, void *arg)
{
	struct cnf *cnf = arg;

	if (cfg_frontier(cnf->dmn->cfg) + 1 >= (uint64_t)next)
		cnf->read_at = MAX(cnf->read_at, started_at);
}

static void
on_gap(int64_t from, int64_t first, int64_t next, void *arg)
{
	struct cnf *cnf = arg;

	cnf->next = first;
	lg_event(cnf->dmn->lg, LG_WARNING, "config_log_gap",
	    "from=%lld first=%lld next=%lld", (long long)from, (long long)first,
	    (long long)next);
}

/*
 * A request for the configuration of a peer, sent by a new instance and
 * after a gap in the log.
 */
struct sync {
	struct cnf *cnf;
	clk_ms requested_at;
	char *address;
};

static void sync_part(struct cnf *cnf, const char *address, unsigned part);

static void
on_sync(const struct pr_result *result, void *arg)
{
	struct sync *sync = arg;
	struct cnf *cnf = sync->cnf;
	struct cfg *cfg = cnf->dmn->cfg;
	const struct peer_sync_reply *reply = result->reply;
	uint64_t frontier;

	if (result->sent == PR_DROPPED)
		goto out;
	frontier = cfg_frontier(cfg);
	cnf->sync_pending = false;
	if (result->sent != PR_REPLIED)
		goto out;
	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct peer_log_record *record =
		    &reply->records.records_val[i];

		(void)cfg_import(
		    cfg, record->data.data_val, record->data.data_len);
	}
	if (reply->parts > 0 && reply->first + 1 < reply->parts) {
		sync_part(cnf, sync->address, (unsigned)reply->first + 1);
		goto out;
	}
	if (cfg_frontier(cfg) > frontier) {
		lg_event(cnf->dmn->lg, LG_NOTICE, "config_from_peer",
		    "frontier=%llu", (unsigned long long)cfg_frontier(cfg));
		cnf->next = 0;
		plg_follow_seek(cnf->follow, (int64_t)cfg_frontier(cfg) + 1);
	}
	if (reply->next == cfg_frontier(cfg) + 1)
		cnf->read_at = MAX(cnf->read_at,
		    sync->requested_at - (clk_ms)reply->read_age_ms);
out:
	g_free(sync->address);
	g_free(sync);
}

static void
sync_part(struct cnf *cnf, const char *address, unsigned part)
{
	struct dmn *dmn = cnf->dmn;
	struct peer_sync_args args = {.session = dmn->session,
	    .stream = (char *)(uintptr_t)STREAM,
	    .from = cfg_frontier(dmn->cfg) + 1,
	    .part = part};
	struct sync *sync = g_new0(struct sync, 1);

	sync->cnf = cnf;
	sync->requested_at = dmn_now(dmn);
	sync->address = g_strdup(address);
	cnf->sync_pending = true;
	(void)pr_call(
	    dmn->pr, address, PEER_SYNC, &args, SYNC_TIMEOUT_MS, on_sync, sync);
}

void
cnf_heard(struct cnf *cnf, clk_ms sent_at, const struct peer_state *state)
{
	struct dmn *dmn = cnf->dmn;
	uint64_t frontier = cfg_frontier(dmn->cfg);

	for (u_int i = 0; i < state->withdrawn.withdrawn_len; i++)
		(void)cfg_withdraw(dmn->cfg, state->withdrawn.withdrawn_val[i]);
	/*
	 * The peer had read up to its frontier when it answered, so that a
	 * frontier equal to this one's confirms this configuration as of the
	 * peer's last read.
	 */
	if (state->config_position == frontier && frontier > 0)
		cnf->read_at =
		    MAX(cnf->read_at, sent_at - (clk_ms)state->log_age_ms);
	if (state->config_position > frontier && !cnf->sync_pending &&
	    cnf_age(cnf) > CLK_SECOND)
		sync_part(cnf, state->address, 0);
}

void
cnf_sync(struct cnf *cnf, const struct peer_sync_args *args,
    struct peer_sync_reply *reply)
{
	struct dmn *dmn = cnf->dmn;
	struct peer_log_record record;
	clk_ms age = cnf_age(cnf);

	g_array_set_size(cnf->sync_records, 0);
	reply->session = dmn->session;
	reply->next = cfg_frontier(dmn->cfg) + 1;
	reply->read_age_ms = (uint64_t)(age < 0 ? G_MAXINT32 : age);
	if (args->from < reply->next) {
		if (args->part == 0 || cnf->export == NULL) {
			if (cnf->export != NULL)
				g_ptr_array_unref(cnf->export);
			cnf->export =
			    cfg_export(dmn->cfg, dmn->session, PART_BYTES);
		}
		reply->parts = cnf->export->len;
		reply->first = args->part;
		if (args->part < cnf->export->len) {
			record.offset = args->part;
			record.data.data_val =
			    g_ptr_array_index(cnf->export, args->part);
			record.data.data_len =
			    (u_int)strlen(record.data.data_val);
			g_array_append_val(cnf->sync_records, record);
		}
	}
	reply->records.records_len = cnf->sync_records->len;
	reply->records.records_val =
	    (struct peer_log_record *)(void *)cnf->sync_records->data;
}

/* Append the withdrawals that the log does not have yet. */
static void
log_withdrawals(struct cnf *cnf)
{
	GPtrArray *ids = cfg_withdrawn(cnf->dmn->cfg, true);

	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);
		char *text;
		json_t *record;

		if (g_hash_table_contains(cnf->logged, id))
			continue;
		text = cfg_record_withdraw(id, cnf->dmn->set->instance);
		record = json_loads(text, 0, NULL);
		g_free(text);
		if (plg_append(cnf->dmn->plg, STREAM, record, NULL, NULL) > 0)
			(void)g_hash_table_add(cnf->logged, g_strdup(id));
	}
	/* Append again what the log still lacks once the queue is empty. */
	if (ids->len == 0 || plg_queued(cnf->dmn->plg) == 0)
		g_hash_table_remove_all(cnf->logged);
	g_ptr_array_unref(ids);
}

static void
append_snapshot(struct cnf *cnf, clk_ms now)
{
	struct dmn *dmn = cnf->dmn;
	uint64_t since = cfg_records_since_snapshot(dmn->cfg);
	GPtrArray *parts;

	/* Without periodic snapshots the last one would expire in the log. */
	if (since < SNAPSHOT_RECORDS &&
	    now - cnf->snapshot_at < SNAPSHOT_INTERVAL_MS)
		return;
	cnf->snapshot_at = now;
	if (!cnf_is_ready(cnf))
		return;
	if (!flt_is_first(dmn->flt))
		return;
	parts = cfg_snapshot_parts(dmn->cfg, dmn->session, PART_BYTES);
	for (guint i = 0; i < parts->len; i++)
		(void)plg_append(dmn->plg, STREAM,
		    json_loads(g_ptr_array_index(parts, i), 0, NULL), NULL,
		    NULL);
	lg_event(dmn->lg, LG_INFO, "config_snapshot", "parts=%u frontier=%llu",
	    parts->len, (unsigned long long)cfg_frontier(dmn->cfg));
	g_ptr_array_unref(parts);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cnf *cnf = timer->data;
	clk_ms now = dmn_now(cnf->dmn);
	GList *changes = g_hash_table_get_values(cnf->changes);
	clk_ms age = cnf_age(cnf);

	(void)loop;
	(void)events;
	for (GList *l = changes; l != NULL; l = l->next) {
		struct change *change = l->data;
		struct vd vd = vd_make(VD_MAYBE, VD_OUTCOME_UNKNOWN,
		    "the log did not confirm the change in time");

		if (now >= change->deadline)
			change_complete(cnf, change, &vd, NULL);
	}
	g_list_free(changes);
	cnt_set(cnf->age, age);
	log_withdrawals(cnf);
	append_snapshot(cnf, now);
	if (cfg_has_gap(cnf->dmn->cfg) && !cnf->sync_pending) {
		uint64_t sessions[2];
		size_t n = mem_rank(cnf->dmn->mem,
		    cnf->dmn->set->datacentre_number, 0, true, sessions, 2);

		for (size_t i = 0; i < n; i++) {
			const char *address =
			    dmn_address(cnf->dmn, sessions[i]);

			if (sessions[i] != cnf->dmn->session &&
			    address != NULL && !cnf->sync_pending)
				sync_part(cnf, address, 0);
		}
	} else if (cfg_frontier(cnf->dmn->cfg) == 0 && !cnf->sync_pending &&
	    age < 0 && cnf->dmn->set->peers->len > 0) {
		const GPtrArray *peers = cnf->dmn->set->peers;
		const struct set_peer *peer = g_ptr_array_index(
		    peers, (guint)(now / CLK_SECOND) % peers->len);
		g_autofree char *address = g_strdup_printf(
		    "%s:%u", peer->address.ip, (unsigned)peer->address.port);

		sync_part(cnf, address, 0);
	}
}

void
cnf_withdraw(struct cnf *cnf, const char *key_id, const char *actor)
{
	struct dmn *dmn = cnf->dmn;
	peer_key_id id = (char *)(uintptr_t)key_id;
	struct peer_withdraw_args args = {.session = dmn->session};
	struct mem_info *infos;
	size_t n;
	char buf[128];

	if (!cfg_withdraw(dmn->cfg, key_id))
		return;
	lg_event(dmn->lg, LG_NOTICE, "key_withdrawn", "key=%s actor=%s",
	    lg_quote(buf, sizeof(buf) / 2, key_id), actor);
	args.key_ids.key_ids_len = 1;
	args.key_ids.key_ids_val = &id;
	infos = g_new(struct mem_info, MEM_MAX_SESSIONS);
	n = mem_list(dmn->mem, infos, MEM_MAX_SESSIONS);
	for (size_t i = 0; i < n; i++) {
		if (!infos[i].self && infos[i].state != MEM_REPLACED)
			(void)pr_call(dmn->pr, infos[i].identity.address,
			    PEER_WITHDRAW, &args, CALL_TIMEOUT_MS, NULL, NULL);
	}
	g_free(infos);
	log_withdrawals(cnf);
}

void
cnf_withdrawn(struct cnf *cnf, struct pr_request *request,
    const struct peer_withdraw_args *args)
{
	struct peer_withdraw_reply reply = {.session = cnf->dmn->session};

	for (u_int i = 0; i < args->key_ids.key_ids_len; i++) {
		if (cfg_withdraw(cnf->dmn->cfg, args->key_ids.key_ids_val[i]))
			reply.added++;
	}
	pr_reply(request, &reply);
}

struct change_append {
	struct cnf *cnf;
	uint64_t number;
};

static void
on_change_appended(enum plg_outcome outcome, int64_t offset, void *arg)
{
	struct change_append *append = arg;
	struct change *change =
	    g_hash_table_lookup(append->cnf->changes, &append->number);
	struct vd vd = vd_make(VD_NOT_RUN, VD_CONFIG_STALE,
	    "the log refused the change or can't be reached");

	(void)offset;
	if (change != NULL && outcome == PLG_REFUSED)
		change_complete(append->cnf, change, &vd, NULL);
	g_free(append);
}

void
cnf_change(struct cnf *cnf, const char *object, uint64_t base,
    const json_t *value, const char *actor, cnf_on_done *on_done, void *arg)
{
	struct dmn *dmn = cnf->dmn;
	struct change_append *append = g_new0(struct change_append, 1);
	struct change *change = g_new0(struct change, 1);
	char *value_text = value == NULL || json_is_null(value)
	    ? NULL
	    : json_dumps(value, JSON_COMPACT);
	char *text =
	    cfg_record_change(object, base, value_text, actor, dmn->session, 0);
	json_t *record = json_loads(text, 0, NULL);
	int64_t number;

	free(value_text);
	g_free(text);
	append->cnf = cnf;
	number =
	    plg_append(dmn->plg, STREAM, record, on_change_appended, append);
	if (number == 0) {
		struct vd vd = vd_make(VD_NOT_RUN, VD_QUEUE_FULL,
		    "too many changes are waiting for the log");

		on_done(&vd, NULL, arg);
		g_free(append);
		g_free(change);
		return;
	}
	append->number = (uint64_t)number;
	change->cnf = cnf;
	change->number = (uint64_t)number;
	change->deadline = dmn_now(dmn) + CHANGE_TIMEOUT_MS;
	change->on_done = on_done;
	change->arg = arg;
	g_hash_table_insert(cnf->changes, &change->number, change);
}

bool
cnf_is_ready(const struct cnf *cnf)
{
	return (cfg_frontier(cnf->dmn->cfg) > 0 && !cfg_has_gap(cnf->dmn->cfg));
}

clk_ms
cnf_age(const struct cnf *cnf)
{
	return (cnf->read_at < 0 ? -1 : dmn_now(cnf->dmn) - cnf->read_at);
}

bool
cnf_is_stale(const struct cnf *cnf)
{
	return (cfg_is_stale(dmn_now(cnf->dmn), cnf->read_at,
	    cnf->dmn->set->timings.stale_after_ms));
}

struct cnf *
cnf_open(struct dmn *dmn)
{
	struct cnf *cnf = g_new0(struct cnf, 1);
	struct plg_follow_events events = {
	    .record = on_record, .tail = on_tail, .gap = on_gap, .arg = cnf};

	cnf->dmn = dmn;
	cnf->read_at = -1;
	cnf->changes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	cnf->logged =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cnf->sync_records =
	    g_array_new(FALSE, FALSE, sizeof(struct peer_log_record));
	cnf->snapshot_at = dmn_now(dmn);
	cnf->records = cnt_counter(dmn->cnt, "config_records_total",
	    "Records of the stream config applied.", NULL, NULL);
	cnf->rejected = cnt_counter(dmn->cnt, "config_rejected_total",
	    "Configuration changes that lost a conflict or were not valid.",
	    NULL, NULL);
	cnf->age = cnt_gauge(dmn->cnt, "config_age_ms",
	    "Age of the last read of the configuration; -1: none.", NULL, NULL);
	cnf->follow = plg_follow(dmn->plg, STREAM, 1, &events);
	ev_timer_init(&cnf->tick, on_tick, TICK_S, TICK_S);
	cnf->tick.data = cnf;
	ev_timer_start(dmn->loop, &cnf->tick);
	return (cnf);
}

void
cnf_close(struct cnf *cnf)
{
	if (cnf == NULL)
		return;
	ev_timer_stop(cnf->dmn->loop, &cnf->tick);
	plg_follow_stop(cnf->follow);
	g_hash_table_destroy(cnf->changes);
	g_hash_table_destroy(cnf->logged);
	if (cnf->export != NULL)
		g_ptr_array_unref(cnf->export);
	g_array_unref(cnf->sync_records);
	g_free(cnf);
}
