#include "daemon/repl_impl.h"

struct prog_record *
repl_record_copy(const struct prog_record *record)
{
	struct prog_record *copy = g_memdup2(record, sizeof(*record));

	copy->payload = g_memdup2(record->payload, record->payload_len);
	return (copy);
}

void
repl_record_free(void *data)
{
	struct prog_record *record = data;

	g_free((char *)(uintptr_t)record->payload);
	g_free(record);
}

void
repl_target_free(struct repl_target *target)
{
	if (target == NULL)
		return;
	if (target->export != NULL)
		g_ptr_array_unref(target->export);
	g_free(target);
}

static void
completion_call(void *arg)
{
	struct repl_completion *completion = arg;

	completion->on_acked(completion->acked, completion->arg);
	g_free(completion);
}

void
repl_waiter_end(struct repl *repl, struct repl_waiter *waiter, bool acked)
{
	struct repl_completion *completion = g_new0(struct repl_completion, 1);

	completion->on_acked = waiter->on_acked;
	completion->arg = waiter->arg;
	completion->acked = acked;
	defer_add(repl->daemon->defer, completion_call, completion);
	g_free(waiter);
}

/* Drop records that every target has, and the oldest above the limit. */
static void
backlog_trim(struct repl_shard *shard)
{
	uint64_t least = UINT64_MAX;
	struct prog_record *record;

	for (int i = 0; i < MAX_TARGETS; i++) {
		const struct repl_target *target = shard->targets[i];

		if (target != NULL)
			least = MIN(least, target->acked);
	}
	while ((record = g_queue_peek_head(shard->backlog)) != NULL &&
	    (record->seq <= least || shard->backlog_bytes > BACKLOG_BYTES)) {
		shard->backlog_bytes -= record->payload_len;
		repl_record_free(g_queue_pop_head(shard->backlog));
	}
}

/*
 * Whether a record is acknowledged: every holder that is connected has the
 * record, and at least copies_min of them.  The successor of a handover does
 * not count, because it is not a holder until the handover is in the log.
 */
static bool
is_acked(const struct repl_shard *shard, uint64_t seq)
{
	unsigned have = 0;

	for (int i = 0; i < OWN_HOLDERS; i++) {
		const struct repl_target *target = shard->targets[i];

		if (target == NULL)
			continue;
		if (target->acked >= seq)
			have++;
		else if (!target->down)
			return (false);
	}
	return (have >= shard->repl->daemon->settings->limits.copies_min);
}

static bool
has_newer_epoch(const struct repl_shard *shard)
{
	for (int i = 0; i < OWN_HOLDERS; i++) {
		if (shard->targets[i] != NULL && shard->targets[i]->stale)
			return (true);
	}
	return (false);
}

/* Log the state of the holders when a wait fails. */
static void
timeout_log(const struct repl_shard *shard, const struct repl_waiter *waiter)
{
	struct own_shard info;

	(void)own_shard_get(shard->repl->daemon->own, shard->id, &info);
	for (int i = 0; i < OWN_HOLDERS; i++) {
		const struct repl_target *target = shard->targets[i];

		lg_event(shard->repl->daemon->log, LG_WARNING,
		    "replication_timeout",
		    "datacentre=%u shard=%u epoch=%llu seq=%llu "
		    "map_holder=%016llx holder=%016llx held=%lld down=%d "
		    "in_flight=%d exporting=%d",
		    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
		    (unsigned long long)shard->epoch,
		    (unsigned long long)waiter->seq,
		    (unsigned long long)info.holders[i],
		    (unsigned long long)(target != NULL ? target->session : 0),
		    (long long)(target != NULL ? (int64_t)target->acked : -1),
		    target != NULL && target->down,
		    target != NULL && target->in_flight,
		    target != NULL && target->export != NULL);
	}
}

void
repl_waiters_check(struct repl_shard *shard, clk_ms now)
{
	struct repl_waiter *waiter;

	while ((waiter = g_queue_peek_head(shard->waiters)) != NULL) {
		bool acked =
		    !has_newer_epoch(shard) && is_acked(shard, waiter->seq);

		if (!acked && !has_newer_epoch(shard) && now < waiter->deadline)
			break;
		(void)g_queue_pop_head(shard->waiters);
		if (!acked)
			timeout_log(shard, waiter);
		repl_waiter_end(shard->repl, waiter, acked);
	}
}

uint64_t
repl_shard_seq(const struct repl_shard *shard)
{
	return (
	    prog_shard_seq(shard->repl->daemon->programs[shard->id.datacentre],
		shard->id.shard));
}

/* Start sending the whole state to a target. */
void
repl_export_start(struct repl_target *target)
{
	struct repl_shard *shard = target->shard;
	struct daemon *daemon = shard->repl->daemon;
	struct prog_set *programs = daemon->programs[shard->id.datacentre];

	if (target->export != NULL)
		g_ptr_array_unref(target->export);
	target->fetching = false;
	target->export = prog_shard_export(programs, shard->id.shard);
	target->export_next = 0;
	cnt_add(shard->repl->exports, 1);
}

size_t
repl_wire_add(GArray *wire, const struct prog_record *record)
{
	struct peer_record out = {.seq = record->seq,
	    .kind = (u_int)record->kind,
	    .program_id = (char *)(uintptr_t)record->program};

	out.payload.payload_val = (char *)(uintptr_t)record->payload;
	out.payload.payload_len = (u_int)record->payload_len;
	g_array_append_val(wire, out);
	return (record->payload_len + 64);
}

/* Add the next batch for a target to wire; returns the number of records. */
static guint
batch_fill(struct repl_target *target, GArray *wire)
{
	struct repl_shard *shard = target->shard;
	size_t bytes = 0;

	if (target->export != NULL) {
		while (target->export_next < target->export->len &&
		    bytes < BATCH_BYTES && wire->len < BATCH_RECORDS)
			bytes += repl_wire_add(wire,
			    g_ptr_array_index(
				target->export, target->export_next++));
		return (wire->len);
	}
	for (GList *l = shard->backlog->head; l != NULL; l = l->next) {
		const struct prog_record *record = l->data;

		if (record->seq <= target->acked)
			continue;
		if (bytes >= BATCH_BYTES || wire->len >= BATCH_RECORDS)
			break;
		bytes += repl_wire_add(wire, record);
	}
	cnt_add(shard->repl->bytes, (int64_t)bytes);
	return (wire->len);
}

struct repl_target *
repl_target_find(struct repl_shard *shard, uint64_t session)
{
	for (int i = 0; i < MAX_TARGETS; i++) {
		if (shard->targets[i] != NULL &&
		    shard->targets[i]->session == session)
			return (shard->targets[i]);
	}
	return (NULL);
}

static void
target_failed(struct repl_target *target, const char *reason)
{
	struct daemon *daemon = target->shard->repl->daemon;
	char buf[128];

	if (!target->down)
		lg_event(daemon->log, LG_WARNING, "replica_holder_down",
		    "datacentre=%u shard=%u holder=%016llx error=%s",
		    (unsigned)target->shard->id.datacentre,
		    (unsigned)target->shard->id.shard,
		    (unsigned long long)target->session,
		    lg_quote(buf, sizeof(buf), reason));
	target->down = true;
	target->retry_at = daemon_now(daemon) + RETRY_INTERVAL_MS;
	/* Parts of an export may be missing at the holder. */
	if (target->export != NULL)
		repl_export_start(target);
}

static void
target_replied(
    struct repl_target *target, const struct peer_replicate_reply *reply)
{
	struct repl_shard *shard = target->shard;

	target->down = false;
	switch (reply->status) {
	case PEER_REPLICATE_ACCEPTED:
		/*
		 * While an export is incomplete the holder reports its state of
		 * an older epoch, which doesn't acknowledge this owner's
		 * records.
		 */
		if (reply->epoch == shard->epoch)
			target->acked = MAX(target->acked, reply->acked_seq);
		if (target->export != NULL &&
		    target->export_next >= target->export->len) {
			g_ptr_array_unref(target->export);
			target->export = NULL;
		}
		break;
	case PEER_REPLICATE_STALE_EPOCH:
		target->stale = true;
		lg_event(shard->repl->daemon->log, LG_NOTICE, "shard_deposed",
		    "datacentre=%u shard=%u epoch=%llu newer=%llu",
		    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
		    (unsigned long long)shard->epoch,
		    (unsigned long long)reply->epoch);
		break;
	case PEER_REPLICATE_FETCH_FIRST:
		repl_fetch_before_export(target);
		break;
	default:
		lg_event(shard->repl->daemon->log, LG_INFO, "replica_gap",
		    "datacentre=%u shard=%u holder=%016llx held=%llu seq=%llu",
		    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
		    (unsigned long long)target->session,
		    (unsigned long long)reply->acked_seq,
		    (unsigned long long)repl_shard_seq(shard));
		repl_export_start(target);
		break;
	}
}

static void
on_replicated(const struct rpc_result *result, void *arg)
{
	struct repl_request *replicate = arg;
	struct repl *repl = replicate->repl;
	struct repl_shard *shard = NULL;
	struct repl_target *target;

	if (result->sent != RPC_CLOSED)
		shard = repl_shard_find(repl, replicate->id);
	if (shard == NULL || shard->epoch != replicate->epoch)
		goto out;
	target = repl_target_find(shard, replicate->session);
	if (target == NULL)
		goto out;
	target->in_flight = false;
	if (result->sent == RPC_REPLIED) {
		const struct peer_replicate_reply *reply = result->reply;

		/* A new session at the address of a former holder. */
		if (reply->session != target->session)
			target_failed(
			    target, "another session uses the address");
		else
			target_replied(target, reply);
	} else {
		target_failed(target, result->error);
	}
	repl_waiters_check(shard, daemon_now(repl->daemon));
	backlog_trim(shard);
out:
	g_free(replicate);
}

static void
target_flush(struct repl_target *target, clk_ms now)
{
	struct repl_shard *shard = target->shard;
	struct daemon *daemon = shard->repl->daemon;
	const struct prog_record *head = g_queue_peek_head(shard->backlog);
	struct peer_replicate_args args = {.session = daemon->session,
	    .datacentre = shard->id.datacentre,
	    .shard = shard->id.shard,
	    .epoch = shard->epoch};
	const char *address;
	struct repl_request *replicate;
	GArray *wire;

	if (target->in_flight || target->stale || target->fetching ||
	    !shard->recovered || (target->down && now < target->retry_at))
		return;
	/* The backlog no longer has records that the target needs. */
	if (target->export == NULL && target->acked < repl_shard_seq(shard) &&
	    (head == NULL || target->acked + 1 < head->seq))
		repl_export_start(target);
	wire = g_array_new(FALSE, FALSE, sizeof(struct peer_record));
	if (batch_fill(target, wire) == 0 && !target->down)
		goto out;
	address = daemon_peer_address(daemon, target->session);
	if (address == NULL) {
		target_failed(target, "the address is unknown");
		goto out;
	}
	args.records.records_len = wire->len;
	args.records.records_val = (struct peer_record *)(void *)wire->data;
	replicate = g_new0(struct repl_request, 1);
	replicate->repl = shard->repl;
	replicate->id = shard->id;
	replicate->epoch = shard->epoch;
	replicate->session = target->session;
	target->in_flight = true;
	cnt_add(shard->repl->records, wire->len);
	(void)rpc_call_start(daemon->peers, address, PEER_REPLICATE, &args,
	    REPLICATE_TIMEOUT_MS, on_replicated, replicate);
out:
	g_array_unref(wire);
}

void
repl_shard_flush(struct repl_shard *shard, clk_ms now)
{
	for (int i = 0; i < MAX_TARGETS; i++) {
		if (shard->targets[i] != NULL)
			target_flush(shard->targets[i], now);
	}
}

/* Set the holders to those of the shard map; keep the state of known ones. */
void
repl_targets_update(struct repl_shard *shard)
{
	struct own_shard info;
	struct repl_target *old[OWN_HOLDERS];

	if (!own_shard_get(shard->repl->daemon->own, shard->id, &info))
		return;
	memcpy(old, shard->targets, sizeof(old));
	memset(shard->targets, 0, sizeof(old));
	for (int i = 0; i < OWN_HOLDERS; i++) {
		if (info.holders[i] == 0 ||
		    info.holders[i] == shard->repl->daemon->session)
			continue;
		for (int j = 0; j < OWN_HOLDERS; j++) {
			if (old[j] != NULL &&
			    old[j]->session == info.holders[i]) {
				shard->targets[i] = old[j];
				old[j] = NULL;
			}
		}
		if (shard->targets[i] == NULL) {
			struct repl_target *target =
			    g_new0(struct repl_target, 1);

			target->shard = shard;
			target->session = info.holders[i];
			shard->targets[i] = target;
		}
	}
	for (int j = 0; j < OWN_HOLDERS; j++)
		repl_target_free(old[j]);
}

void
repl_holders_update(struct repl *repl, struct own_shard_id id, uint64_t epoch)
{
	struct repl_shard *shard = repl_shard_find(repl, id);

	if (shard == NULL || shard->epoch != epoch)
		return;
	repl_targets_update(shard);
	repl_shard_flush(shard, daemon_now(repl->daemon));
}

/* Called by module program for each record that it emits. */
void
repl_record_add(struct repl *repl, const struct prog_record *record)
{
	struct own_shard_id id = {
	    .datacentre = record->datacentre, .shard = record->shard};
	struct repl_shard *shard = repl_shard_find(repl, id);

	if (shard == NULL || record->epoch != shard->epoch)
		return;
	g_queue_push_tail(shard->backlog, repl_record_copy(record));
	shard->backlog_bytes += record->payload_len;
	backlog_trim(shard);
}

void
repl_ack_wait(
    struct repl *repl, struct own_shard_id id, repl_ack_cb *on_acked, void *arg)
{
	struct repl_shard *shard = repl_shard_find(repl, id);
	struct repl_waiter *waiter = g_new0(struct repl_waiter, 1);
	clk_ms now = daemon_now(repl->daemon);

	waiter->on_acked = on_acked;
	waiter->arg = arg;
	if (shard == NULL) {
		repl_waiter_end(repl, waiter, false);
		return;
	}
	waiter->seq =
	    prog_shard_seq(repl->daemon->programs[id.datacentre], id.shard);
	waiter->deadline = now + ACK_TIMEOUT_MS;
	g_queue_push_tail(shard->waiters, waiter);
	repl_shard_flush(shard, now);
	repl_waiters_check(shard, now);
}
