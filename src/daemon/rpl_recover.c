#include "daemon/rpl_impl.h"

/* Recovery of a shard from the sessions that may have its state. */

static void
source_apply(struct rpl_shard *shard, struct rpl_source *source)
{
	struct prog_set *prg = shard->repl->daemon->prg[shard->id.datacentre];
	unsigned refused = 0;

	for (guint i = 0; source->records != NULL && i < source->records->len;
	     i++) {
		if (!prog_recover_apply(prg, dmn_now(shard->repl->daemon),
			g_ptr_array_index(source->records, i)))
			refused++;
	}
	if (refused > 0)
		lg_event(shard->repl->daemon->lg, LG_WARNING,
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
is_state_recent(const struct rpl_shard *shard)
{
	if (shard->n_sources == 0)
		return (true);
	return (prog_shard_proven_epoch(
		    shard->repl->daemon->prg[shard->id.datacentre],
		    shard->id.shard) +
		1 >=
	    shard->epoch);
}

/* Log the sources that have not answered. */
static void
missing_sources_log(const struct rpl_shard *shard)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		const struct rpl_source *source = &shard->sources[i];

		if (!source->answered)
			lg_event(shard->repl->daemon->lg, LG_WARNING,
			    "recovery_source_missing",
			    "datacentre=%u shard=%u source=%016llx status=%d",
			    (unsigned)shard->id.datacentre,
			    (unsigned)shard->id.shard,
			    (unsigned long long)source->session,
			    source->status);
	}
}

static void
recovery_check(struct rpl_shard *shard, clk_ms now)
{
	struct rpl *repl = shard->repl;
	struct dmn *daemon = repl->daemon;
	bool all = true;

	for (unsigned i = 0; i < shard->n_sources; i++) {
		const struct rpl_source *source = &shard->sources[i];

		all = all && (source->answered || source->extra);
	}
	all = all && is_state_recent(shard);
	if (shard->proven || (shard->recovered && !all) ||
	    (!all && now - shard->opened_at < PROOF_TIMEOUT_MS))
		return;
	prog_recover_end(
	    daemon->prg[shard->id.datacentre], now, shard->id.shard, all);
	shard->proven = all;
	lg_event(daemon->lg, all ? LG_INFO : LG_WARNING, "shard_recovered",
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
		replica_drop(daemon->cpy, (uint8_t)shard->id.datacentre,
		    shard->id.shard);
		own_recovery_done(daemon->own, shard->id, shard->epoch);
		rpl_targets_update(shard);
	}
}

static void fetch_send(struct rpl_shard *shard, struct rpl_source *source);

static struct rpl_source *
source_find(struct rpl_shard *shard, uint64_t session)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		if (shard->sources[i].session == session)
			return (&shard->sources[i]);
	}
	return (NULL);
}

/* The holder's state has been merged here: send it the whole state. */
static void
export_start(struct rpl_shard *shard, uint64_t session)
{
	struct rpl_target *target = rpl_target_find(shard, session);

	if (target != NULL)
		rpl_export_start(target);
}

static void
source_reply_apply(struct rpl_shard *shard, struct rpl_source *source,
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
on_fetched(const struct pr_result *result, void *arg)
{
	struct rpl_request *fetch = arg;
	struct rpl *repl = fetch->repl;
	struct rpl_shard *shard = NULL;
	const struct peer_fetch_reply *reply = result->reply;
	struct rpl_source *source;
	clk_ms now = dmn_now(repl->daemon);

	if (result->sent != PR_DROPPED)
		shard = rpl_shard_find(repl, fetch->id);
	if (shard == NULL || shard->epoch != fetch->epoch)
		goto out;
	source = source_find(shard, fetch->session);
	if (source == NULL)
		goto out;
	source->in_flight = false;
	source->retry_at = now + FETCH_RETRY_MS;
	if (result->sent == PR_REPLIED && reply->session == source->session) {
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
fetch_send(struct rpl_shard *shard, struct rpl_source *source)
{
	struct dmn *daemon = shard->repl->daemon;
	struct peer_fetch_args args = {.session = daemon->session,
	    .datacentre = shard->id.datacentre,
	    .shard = shard->id.shard,
	    .epoch = shard->epoch,
	    .cursor = source->cursor};
	const char *address = dmn_address(daemon, source->session);
	struct rpl_request *fetch;

	source->retry_at = dmn_now(daemon) + FETCH_RETRY_MS;
	if (address == NULL)
		return;
	fetch = g_new0(struct rpl_request, 1);
	fetch->repl = shard->repl;
	fetch->id = shard->id;
	fetch->epoch = shard->epoch;
	fetch->session = source->session;
	source->in_flight = true;
	(void)pr_call(daemon->pr, address, PEER_FETCH, &args, FETCH_TIMEOUT_MS,
	    on_fetched, fetch);
}

static void
fetch_local(struct rpl_shard *shard, struct rpl_source *source)
{
	struct dmn *daemon = shard->repl->daemon;

	if (!replica_is_held(
		daemon->cpy, (uint8_t)shard->id.datacentre, shard->id.shard))
		return;
	if (replica_fetch(daemon->cpy, (uint8_t)shard->id.datacentre,
		shard->id.shard, shard->epoch, &source->records))
		source_apply(shard, source);
}

/*
 * A holder has state of an older epoch that this owner may lack.  Ask it
 * once; its answer is merged, and then it gets the whole state.
 */
void
rpl_fetch_before_export(struct rpl_target *target)
{
	struct rpl_shard *shard = target->shard;
	struct rpl_source *source = source_find(shard, target->session);

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
rpl_recover(struct rpl *repl, struct own_shard_id id, uint64_t epoch,
    const uint64_t sources[OWN_SOURCES])
{
	struct rpl_shard *shard = rpl_shard_find(repl, id);
	struct dmn *daemon = repl->daemon;

	if (shard != NULL && shard->epoch == epoch)
		return;
	shard = g_new0(struct rpl_shard, 1);
	shard->repl = repl;
	shard->id = id;
	shard->epoch = epoch;
	shard->backlog = g_queue_new();
	shard->waiters = g_queue_new();
	shard->opened_at = dmn_now(daemon);
	g_hash_table_insert(repl->shards, rpl_shard_key(id), shard);
	prog_shard_open(daemon->prg[id.datacentre], id.shard, epoch);
	for (int i = 0; i < OWN_SOURCES; i++) {
		struct rpl_source *source;

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
rpl_recovery_retry(struct rpl_shard *shard, clk_ms now)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		struct rpl_source *source = &shard->sources[i];

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
