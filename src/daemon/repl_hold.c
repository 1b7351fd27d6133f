#include "daemon/repl_impl.h"

void
repl_fetch_answer_free(void *data)
{
	struct repl_fetch_answer *answer = data;

	g_ptr_array_unref(answer->records);
	g_free(answer);
}

/* Whether the shard map lists this session as a holder or a source. */
static bool
is_listed(const struct daemon *daemon, const struct own_shard *info)
{
	for (int i = 0; i < OWN_HOLDERS; i++) {
		if (info->holders[i] == daemon->session)
			return (true);
	}
	for (int i = 0; !info->holders_confirmed && i < OWN_SOURCES; i++) {
		if (info->sources[i] == daemon->session)
			return (true);
	}
	return (false);
}

/*
 * Whether an owner sent records recently.  It may be preparing a handover to
 * this session, or this session may not have read yet that it is a holder.
 */
static bool
is_incoming(struct repl *repl, struct own_shard_id id, clk_ms now)
{
	const clk_ms *at =
	    g_hash_table_lookup(repl->incoming, repl_shard_key(id));

	return (at != NULL && now - *at < 2 * PREPARE_TIMEOUT_MS);
}

/* Free replicas that no owner will fetch any more. */
void
repl_replicas_sweep(struct repl *repl, clk_ms now)
{
	struct daemon *daemon = repl->daemon;

	for (unsigned d = 0; d < daemon->n_datacentres; d++) {
		for (unsigned s = 0; s < daemon->settings->shards; s++) {
			struct own_shard_id id = {
			    .datacentre = (uint16_t)d, .shard = (uint16_t)s};
			struct own_shard info;

			if (!replica_is_held(
				daemon->replicas, (uint8_t)d, (uint16_t)s) ||
			    !own_shard_get(daemon->own, id, &info))
				continue;
			/* A successor gets the state before the handover. */
			if (info.owner != daemon->session &&
			    info.holders_confirmed &&
			    !is_listed(daemon, &info) &&
			    !is_incoming(repl, id, now))
				replica_drop(
				    daemon->replicas, (uint8_t)d, (uint16_t)s);
		}
	}
	g_hash_table_remove_all(repl->fetches);
}

void
repl_replicate_handle(struct repl *repl, struct rpc_request *request,
    const struct peer_replicate_args *args)
{
	static const enum peer_replicate_status statuses[] = {
	    [REPLICA_ACCEPTED] = PEER_REPLICATE_ACCEPTED,
	    [REPLICA_REFUSED] = PEER_REPLICATE_STALE_EPOCH,
	    [REPLICA_FETCH_FIRST] = PEER_REPLICATE_FETCH_FIRST,
	    [REPLICA_GAP] = PEER_REPLICATE_GAP,
	    [REPLICA_INVALID] = PEER_REPLICATE_GAP,
	};
	struct own_shard_id id = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct peer_replicate_reply reply = {.session = repl->daemon->session};
	GPtrArray *records = prog_records_new();
	clk_ms now = daemon_now(repl->daemon);
	struct replica_result result;

	for (u_int i = 0; i < args->records.records_len; i++) {
		const struct peer_record *in = &args->records.records_val[i];
		struct prog_record record = {
		    .datacentre = (uint8_t)args->datacentre,
		    .shard = (uint16_t)args->shard,
		    .epoch = args->epoch,
		    .seq = in->seq,
		    .kind = (enum prog_record_kind)in->kind,
		    .payload = in->payload.payload_val,
		    .payload_len = in->payload.payload_len};

		(void)g_strlcpy(
		    record.program, in->program_id, sizeof(record.program));
		prog_records_add(records, &record);
	}
	g_hash_table_insert(
	    repl->incoming, repl_shard_key(id), g_memdup2(&now, sizeof(now)));
	result =
	    replica_apply(repl->daemon->replicas, (uint8_t)args->datacentre,
		(uint16_t)args->shard, args->epoch, records);
	if (result.outcome == REPLICA_INVALID)
		replica_drop(repl->daemon->replicas, (uint8_t)args->datacentre,
		    (uint16_t)args->shard);
	g_ptr_array_unref(records);
	reply.status = statuses[result.outcome];
	reply.acked_seq = result.seq;
	reply.epoch = result.epoch;
	rpc_request_reply(request, &reply);
}

/* Copy the whole replica for a new owner, so that its parts are consistent. */
static struct repl_fetch_answer *
fetch_answer_new(struct repl *repl, const struct peer_fetch_args *args,
    struct peer_fetch_reply *reply)
{
	struct own_shard_id id = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct repl_shard *shard = repl_shard_find(repl, id);
	struct repl_fetch_answer *answer;
	GPtrArray *records;
	bool holds;

	/* This session is the former owner and has not read the claim yet. */
	if (shard != NULL && shard->epoch < args->epoch) {
		repl_shard_release(shard);
		(void)g_hash_table_remove(repl->shards, repl_shard_key(id));
	}
	/* From now on the former owner is refused, even if no state is held. */
	holds = replica_is_held(repl->daemon->replicas,
	    (uint8_t)args->datacentre, (uint16_t)args->shard);
	if (!replica_fetch(repl->daemon->replicas, (uint8_t)args->datacentre,
		(uint16_t)args->shard, args->epoch, &records)) {
		reply->status = PEER_FETCH_STALE_EPOCH;
		return (NULL);
	}
	if (!holds) {
		g_ptr_array_unref(records);
		reply->status = PEER_FETCH_NONE;
		return (NULL);
	}
	answer = g_new0(struct repl_fetch_answer, 1);
	answer->epoch = args->epoch;
	answer->session = args->session;
	answer->records = records;
	g_hash_table_insert(repl->fetches, repl_shard_key(id), answer);
	return (answer);
}

void
repl_fetch_handle(struct repl *repl, struct rpc_request *request,
    const struct peer_fetch_args *args)
{
	struct own_shard_id id = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct peer_fetch_reply reply = {
	    .status = PEER_FETCH_OK, .session = repl->daemon->session};
	struct repl_fetch_answer *answer;
	GArray *wire = g_array_new(FALSE, FALSE, sizeof(struct peer_record));
	size_t bytes = 0;
	guint next = (guint)args->cursor;

	if (args->cursor == 0)
		answer = fetch_answer_new(repl, args, &reply);
	else
		answer = g_hash_table_lookup(repl->fetches, repl_shard_key(id));
	if (answer == NULL || answer->epoch != args->epoch ||
	    answer->session != args->session) {
		if (reply.status == PEER_FETCH_OK)
			reply.status = PEER_FETCH_STALE_EPOCH;
		goto out;
	}
	reply.epoch =
	    ((struct prog_record *)g_ptr_array_index(answer->records, 0))
		->epoch;
	while (next < answer->records->len && bytes < BATCH_BYTES &&
	    wire->len < BATCH_RECORDS) {
		const struct prog_record *record =
		    g_ptr_array_index(answer->records, next++);

		bytes += repl_wire_add(wire, record);
		reply.seq = record->seq;
	}
	reply.next_cursor = next < answer->records->len ? next : 0;
out:
	reply.records.records_len = wire->len;
	reply.records.records_val = (struct peer_record *)(void *)wire->data;
	rpc_request_reply(request, &reply);
	g_array_unref(wire);
}
