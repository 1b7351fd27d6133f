#include "daemon/repl_impl.h"

/* Recovery of a shard from the sessions that may have its state. */

static void
source_apply(struct repl_shard *shard, struct repl_source *source)
{
	struct prog_set *programs =
	    shard->repl->daemon->programs[shard->id.datacentre];
	unsigned refused = 0;

	for (guint i = 0; source->records != NULL && i < source->records->len;
	     i++) {
		if (!prog_recover_apply(programs,
			daemon_now(shard->repl->daemon),
			g_ptr_array_index(source->records, i)))
			refused++;
	}
	if (refused > 0)
		lg_event(shard->repl->daemon->log, LG_WARNING,
		    "recovery_record_refused",
		    "datacentre=%u shard=%u source=%016llx records=%u",
		    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
		    (unsigned long long)source->session, refused);
	if (source->records != NULL)
		g_ptr_array_unref(source->records);
	source->records = NULL;
	source->answered = true;
}

/*
 * Whether the state is of the epoch before this one or newer.  An owner that
 * crashes before it sends its holders any record leaves them with the state of
 * an earlier epoch, in which turns of the owners in between may be missing.
 */
static bool
is_state_recent(const struct repl_shard *shard)
{
	if (shard->n_sources == 0)
		return (true);
	return (prog_shard_proven_epoch(
		    shard->repl->daemon->programs[shard->id.datacentre],
		    shard->id.shard) +
		1 >=
	    shard->epoch);
}

/* Log the sources that have not answered. */
static void
missing_sources_log(const struct repl_shard *shard)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		const struct repl_source *source = &shard->sources[i];

		if (!source->answered)
			lg_event(shard->repl->daemon->log, LG_WARNING,
			    "recovery_source_missing",
			    "datacentre=%u shard=%u source=%016llx status=%d",
			    (unsigned)shard->id.datacentre,
			    (unsigned)shard->id.shard,
			    (unsigned long long)source->session,
			    source->status);
	}
}

static void
recovery_check(struct repl_shard *shard, clk_ms now)
{
	struct repl *repl = shard->repl;
	struct daemon *daemon = repl->daemon;
	bool all = true;

	for (unsigned i = 0; i < shard->n_sources; i++) {
		const struct repl_source *source = &shard->sources[i];

		all = all && (source->answered || source->extra);
	}
	all = all && is_state_recent(shard);
	if (shard->proven || (shard->recovered && !all) ||
	    (!all && now - shard->opened_at < PROOF_TIMEOUT_MS))
		return;
	prog_recover_end(
	    daemon->programs[shard->id.datacentre], now, shard->id.shard, all);
	shard->proven = all;
	lg_event(daemon->log, all ? LG_INFO : LG_WARNING, "shard_recovered",
	    "datacentre=%u shard=%u epoch=%llu proven=%d ms=%lld",
	    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
	    (unsigned long long)shard->epoch, (int)all,
	    (long long)(now - shard->opened_at));
	if (!all) {
		cnt_add(repl->unproven, 1);
		missing_sources_log(shard);
	}
	if (!shard->recovered) {
		shard->recovered = true;
		cnt_add(repl->recoveries, 1);
		cnt_observe(repl->recovery_time, now - shard->opened_at);
		replica_drop(daemon->replicas, (uint8_t)shard->id.datacentre,
		    shard->id.shard);
		own_recovery_done(daemon->own, shard->id, shard->epoch);
		repl_targets_update(shard);
	}
}

static void fetch_send(struct repl_shard *shard, struct repl_source *source);

static struct repl_source *
source_find(struct repl_shard *shard, uint64_t session)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		if (shard->sources[i].session == session)
			return (&shard->sources[i]);
	}
	return (NULL);
}

/*
 * Send the whole state to a holder whose own state has been merged here or
 * could not be fetched.
 */
static void
export_start(struct repl_shard *shard, uint64_t session)
{
	struct repl_target *target = repl_target_find(shard, session);

	if (target != NULL)
		repl_export_start(target);
}

static void
source_reply_apply(struct repl_shard *shard, struct repl_source *source,
    const struct peer_fetch_reply *reply)
{
	if (source->records == NULL)
		source->records = prog_records_new();
	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct peer_record *in = &reply->records.records_val[i];
		struct prog_record record = {
		    .datacentre = (uint8_t)shard->id.datacentre,
		    .shard = shard->id.shard,
		    .epoch = reply->epoch,
		    .seq = in->seq,
		    .kind = (enum prog_record_kind)in->kind,
		    .payload = in->payload.payload_val,
		    .payload_len = in->payload.payload_len};

		(void)g_strlcpy(
		    record.program, in->program_id, sizeof(record.program));
		prog_records_add(source->records, &record);
	}
	source->cursor = reply->next_cursor;
	if (reply->next_cursor != 0)
		fetch_send(shard, source);
	else
		source_apply(shard, source);
	if (source->answered && source->extra)
		export_start(shard, source->session);
}

static void
on_fetched(const struct rpc_result *result, void *arg)
{
	struct repl_request *fetch = arg;
	struct repl *repl = fetch->repl;
	struct repl_shard *shard = NULL;
	const struct peer_fetch_reply *reply = result->reply;
	struct repl_source *source;
	clk_ms now = daemon_now(repl->daemon);

	if (result->sent != RPC_CLOSED)
		shard = repl_shard_find(repl, fetch->id);
	if (shard == NULL || shard->epoch != fetch->epoch)
		goto out;
	source = source_find(shard, fetch->session);
	if (source == NULL)
		goto out;
	source->in_flight = false;
	source->retry_at = now + FETCH_RETRY_MS;
	if (result->sent == RPC_REPLIED && reply->session == source->session) {
		source->status = (int)reply->status;
		if (reply->status == PEER_FETCH_OK)
			source_reply_apply(shard, source, reply);
		else if (source->extra)
			export_start(shard, source->session);
	}
	recovery_check(shard, now);
out:
	g_free(fetch);
}

static void
fetch_send(struct repl_shard *shard, struct repl_source *source)
{
	struct daemon *daemon = shard->repl->daemon;
	struct peer_fetch_args args = {.session = daemon->session,
	    .datacentre = shard->id.datacentre,
	    .shard = shard->id.shard,
	    .epoch = shard->epoch,
	    .cursor = source->cursor};
	const char *address = daemon_peer_address(daemon, source->session);
	struct repl_request *fetch;

	source->retry_at = daemon_now(daemon) + FETCH_RETRY_MS;
	if (address == NULL)
		return;
	fetch = g_new0(struct repl_request, 1);
	fetch->repl = shard->repl;
	fetch->id = shard->id;
	fetch->epoch = shard->epoch;
	fetch->session = source->session;
	source->in_flight = true;
	(void)rpc_call_start(daemon->peers, address, PEER_FETCH, &args,
	    FETCH_TIMEOUT_MS, on_fetched, fetch);
}

static void
fetch_local(struct repl_shard *shard, struct repl_source *source)
{
	struct daemon *daemon = shard->repl->daemon;

	if (!replica_is_held(daemon->replicas, (uint8_t)shard->id.datacentre,
		shard->id.shard))
		return;
	if (replica_fetch(daemon->replicas, (uint8_t)shard->id.datacentre,
		shard->id.shard, shard->epoch, &source->records))
		source_apply(shard, source);
}

/*
 * A holder has state of an older epoch that this owner may lack.  Fetch and
 * merge that state, then send the holder the whole state.
 */
void
repl_fetch_before_export(struct repl_target *target)
{
	struct repl_shard *shard = target->shard;
	struct repl_source *source = source_find(shard, target->session);

	if (target->export != NULL)
		g_ptr_array_unref(target->export);
	target->export = NULL;
	target->fetching = true;
	if (source == NULL) {
		/* All slots are in use: reuse that of an extra source. */
		if (shard->n_sources == MAX_SOURCES)
			source = &shard->sources[OWN_SOURCES];
		else
			source = &shard->sources[shard->n_sources++];
		memset(source, 0, sizeof(*source));
		source->session = target->session;
		source->extra = true;
	}
	source->answered = false;
	if (!source->in_flight)
		fetch_send(shard, source);
}

void
repl_shard_recover(struct repl *repl, struct own_shard_id id, uint64_t epoch,
    const uint64_t sources[OWN_SOURCES])
{
	struct repl_shard *shard = repl_shard_find(repl, id);
	struct daemon *daemon = repl->daemon;

	if (shard != NULL && shard->epoch == epoch)
		return;
	shard = g_new0(struct repl_shard, 1);
	shard->repl = repl;
	shard->id = id;
	shard->epoch = epoch;
	shard->backlog = g_queue_new();
	shard->waiters = g_queue_new();
	shard->opened_at = daemon_now(daemon);
	g_hash_table_insert(repl->shards, repl_shard_key(id), shard);
	prog_shard_open(daemon->programs[id.datacentre], id.shard, epoch);
	for (int i = 0; i < OWN_SOURCES; i++) {
		struct repl_source *source;

		if (sources[i] == 0)
			continue;
		source = &shard->sources[shard->n_sources++];
		source->session = sources[i];
		source->status = -1;
		if (sources[i] == daemon->session)
			fetch_local(shard, source);
		else
			fetch_send(shard, source);
	}
	recovery_check(shard, shard->opened_at);
}

void
repl_recovery_retry(struct repl_shard *shard, clk_ms now)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		struct repl_source *source = &shard->sources[i];

		if ((shard->proven && !source->extra) || source->answered ||
		    source->in_flight || now < source->retry_at ||
		    source->session == shard->repl->daemon->session)
			continue;
		if (source->records != NULL)
			g_ptr_array_unref(source->records);
		source->records = NULL;
		source->cursor = 0;
		fetch_send(shard, source);
	}
	recovery_check(shard, now);
}
