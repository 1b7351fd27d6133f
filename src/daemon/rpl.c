#include "daemon/rpl_impl.h"

#define TICK_S 0.02

gpointer
rpl_shard_key(struct own_shard_id id)
{
	return (GUINT_TO_POINTER(((guint)id.datacentre << 16) | id.shard));
}

static void
shard_free(void *data)
{
	struct rpl_shard *shard = data;
	struct rpl_waiter *waiter;

	while ((waiter = g_queue_pop_head(shard->waiters)) != NULL)
		rpl_waiter_end(shard->repl, waiter, false);
	g_queue_free(shard->waiters);
	g_queue_free_full(shard->backlog, rpl_record_free);
	for (int i = 0; i < MAX_TARGETS; i++)
		rpl_target_free(shard->targets[i]);
	for (unsigned i = 0; i < shard->n_sources; i++) {
		if (shard->sources[i].records != NULL)
			g_ptr_array_unref(shard->sources[i].records);
	}
	g_free(shard);
}

struct rpl_shard *
rpl_shard_find(const struct rpl *repl, struct own_shard_id id)
{
	return (g_hash_table_lookup(repl->shards, rpl_shard_key(id)));
}

/* Handover. */

void
rpl_prepare(struct rpl *repl, struct own_shard_id id, uint64_t epoch,
    uint64_t successor)
{
	struct rpl_shard *shard = rpl_shard_find(repl, id);
	struct rpl_target *target;

	if (shard == NULL || shard->epoch != epoch) {
		own_handover_prepared(repl->daemon->own, id, epoch, false);
		return;
	}
	shard->successor = successor;
	shard->prepare_deadline = dmn_now(repl->daemon) + PREPARE_TIMEOUT_MS;
	if (rpl_target_find(shard, successor) != NULL)
		return;
	target = g_new0(struct rpl_target, 1);
	target->shard = shard;
	target->session = successor;
	shard->targets[OWN_HOLDERS] = target;
	rpl_shard_flush(shard, dmn_now(repl->daemon));
}

static void
prepare_check(struct rpl_shard *shard, clk_ms now)
{
	struct dmn *daemon = shard->repl->daemon;
	struct prog_set *prg = daemon->prg[shard->id.datacentre];
	struct rpl_target *target;
	bool ready;

	if (shard->successor == 0)
		return;
	target = rpl_target_find(shard, shard->successor);
	ready = target != NULL && !target->down && target->export == NULL &&
	    prog_shard_busy(prg, shard->id.shard) == 0 &&
	    target->acked >= rpl_shard_seq(shard);
	if (!ready && now < shard->prepare_deadline)
		return;
	shard->successor = 0;
	rpl_target_free(shard->targets[OWN_HOLDERS]);
	shard->targets[OWN_HOLDERS] = NULL;
	own_handover_prepared(daemon->own, shard->id, shard->epoch, ready);
}

/*
 * Keep the state of a shard that this instance no longer owns as a replica,
 * as the new owner may fetch it from here.
 */
void
rpl_shard_release(struct rpl_shard *shard)
{
	struct dmn *daemon = shard->repl->daemon;
	struct prog_set *prg = daemon->prg[shard->id.datacentre];
	GPtrArray *records;

	if (shard->recovered) {
		records = prog_shard_export(prg, shard->id.shard);
		(void)replica_apply(daemon->cpy, (uint8_t)shard->id.datacentre,
		    shard->id.shard, shard->epoch, records);
		g_ptr_array_unref(records);
	}
	prog_shard_close(prg, shard->id.shard);
	lg_event(daemon->lg, LG_INFO, "shard_given_up",
	    "datacentre=%u shard=%u epoch=%llu", (unsigned)shard->id.datacentre,
	    (unsigned)shard->id.shard, (unsigned long long)shard->epoch);
}

static bool
shard_sweep(gpointer key, gpointer value, gpointer arg)
{
	struct rpl_shard *shard = value;
	clk_ms *now = arg;
	struct own_shard info;

	(void)key;
	if (!own_shard_get(shard->repl->daemon->own, shard->id, &info) ||
	    info.phase == OWN_NONE || info.epoch != shard->epoch) {
		rpl_shard_release(shard);
		return (true);
	}
	rpl_waiters_check(shard, *now);
	rpl_recovery_retry(shard, *now);
	prepare_check(shard, *now);
	rpl_shard_flush(shard, *now);
	return (false);
}

static gboolean
shard_sweep_entry(gpointer key, gpointer value, gpointer arg)
{
	return (shard_sweep(key, value, arg) ? TRUE : FALSE);
}

/*
 * A handover makes this session the owner at once, without an action of
 * module own: the former owner sent the whole state before the handover.
 */
static void
handovers_open(struct rpl *repl)
{
	struct dmn *daemon = repl->daemon;

	for (unsigned s = 0; s < daemon->set->shards; s++) {
		struct own_shard_id id = {
		    .datacentre = (uint16_t)daemon->set->datacentre_number,
		    .shard = (uint16_t)s};
		uint64_t sources[OWN_SOURCES] = {daemon->session};
		struct own_shard info;
		const struct rpl_shard *shard;

		if (!own_shard_get(daemon->own, id, &info) ||
		    info.phase != OWN_SERVING)
			continue;
		shard = rpl_shard_find(repl, id);
		if (shard != NULL && shard->epoch >= info.epoch)
			continue;
		if (!replica_is_held(
			daemon->cpy, (uint8_t)id.datacentre, id.shard))
			memcpy(sources, info.holders, sizeof(info.holders));
		rpl_recover(repl, id, info.epoch, sources);
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct rpl *repl = timer->data;
	clk_ms now = dmn_now(repl->daemon);

	(void)loop;
	(void)events;
	(void)g_hash_table_foreach_remove(
	    repl->shards, shard_sweep_entry, &now);
	handovers_open(repl);
	if (now - repl->swept_at < SWEEP_INTERVAL_MS)
		return;
	repl->swept_at = now;
	rpl_replicas_sweep(repl, now);
	for (unsigned d = 0; d < repl->daemon->n_datacentres; d++)
		prog_tick(repl->daemon->prg[d], now);
}

struct rpl *
rpl_open(struct dmn *daemon)
{
	struct rpl *repl = g_new0(struct rpl, 1);

	repl->daemon = daemon;
	repl->shards = g_hash_table_new_full(NULL, NULL, NULL, shard_free);
	repl->fetches =
	    g_hash_table_new_full(NULL, NULL, NULL, rpl_fetch_answer_free);
	repl->incoming = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	repl->records = cnt_counter(daemon->cnt, "replicated_records_total",
	    "Records sent to replica holders.", NULL, NULL);
	repl->bytes = cnt_counter(daemon->cnt, "replicated_bytes_total",
	    "Payload bytes sent to replica holders.", NULL, NULL);
	repl->exports = cnt_counter(daemon->cnt, "replica_exports_total",
	    "Whole shards sent to replica holders.", NULL, NULL);
	repl->unproven = cnt_counter(daemon->cnt, "shards_unproven_total",
	    "Recoveries without an answer from every source.", NULL, NULL);
	repl->recoveries = cnt_counter(daemon->cnt, "recoveries_total",
	    "Shards recovered after a claim or handover.", NULL, NULL);
	repl->recovery_time = cnt_histogram(daemon->cnt, "recovery_seconds",
	    "Time from an effective claim to serving.", NULL, NULL);
	ev_timer_init(&repl->tick, on_tick, TICK_S, TICK_S);
	repl->tick.data = repl;
	ev_timer_start(daemon->loop, &repl->tick);
	return (repl);
}

void
rpl_close(struct rpl *repl)
{
	if (repl == NULL)
		return;
	ev_timer_stop(repl->daemon->loop, &repl->tick);
	g_hash_table_destroy(repl->shards);
	g_hash_table_destroy(repl->fetches);
	g_hash_table_destroy(repl->incoming);
	g_free(repl);
}
