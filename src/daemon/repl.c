#include "daemon/repl_impl.h"

#define TICK_S 0.02

gpointer
repl_shard_key(struct own_shard_id id)
{
	return (GUINT_TO_POINTER(((guint)id.datacentre << 16) | id.shard));
}

static void
shard_free(void *data)
{
	struct repl_shard *shard = data;
	struct repl_waiter *waiter;

	while ((waiter = g_queue_pop_head(shard->waiters)) != NULL)
		repl_waiter_end(shard->repl, waiter, false);
	g_queue_free(shard->waiters);
	g_queue_free_full(shard->backlog, repl_record_free);
	for (int i = 0; i < MAX_TARGETS; i++)
		repl_target_free(shard->targets[i]);
	for (unsigned i = 0; i < shard->n_sources; i++) {
		if (shard->sources[i].records != NULL)
			g_ptr_array_unref(shard->sources[i].records);
	}
	g_free(shard);
}

struct repl_shard *
repl_shard_find(const struct repl *repl, struct own_shard_id id)
{
	return (g_hash_table_lookup(repl->shards, repl_shard_key(id)));
}

/* Handover. */

void
repl_handover_prepare(struct repl *repl, struct own_shard_id id, uint64_t epoch,
    uint64_t successor)
{
	struct repl_shard *shard = repl_shard_find(repl, id);
	struct repl_target *target;

	if (shard == NULL || shard->epoch != epoch) {
		own_handover_prepared(repl->daemon->own, id, epoch, false);
		return;
	}
	shard->successor = successor;
	shard->prepare_deadline = daemon_now(repl->daemon) + PREPARE_TIMEOUT_MS;
	if (repl_target_find(shard, successor) != NULL)
		return;
	target = g_new0(struct repl_target, 1);
	target->shard = shard;
	target->session = successor;
	shard->targets[OWN_HOLDERS] = target;
	repl_shard_flush(shard, daemon_now(repl->daemon));
}

static void
prepare_check(struct repl_shard *shard, clk_ms now)
{
	struct daemon *daemon = shard->repl->daemon;
	struct prog_set *programs = daemon->programs[shard->id.datacentre];
	struct repl_target *target;
	bool ready;

	if (shard->successor == 0)
		return;
	target = repl_target_find(shard, shard->successor);
	ready = target != NULL && !target->down && target->export == NULL &&
	    prog_shard_busy(programs, shard->id.shard) == 0 &&
	    target->acked >= repl_shard_seq(shard);
	if (!ready && now < shard->prepare_deadline)
		return;
	shard->successor = 0;
	repl_target_free(shard->targets[OWN_HOLDERS]);
	shard->targets[OWN_HOLDERS] = NULL;
	own_handover_prepared(daemon->own, shard->id, shard->epoch, ready);
}

/*
 * Keep the state of a shard that this instance no longer owns as a replica,
 * as the new owner may fetch it from here.
 */
void
repl_shard_release(struct repl_shard *shard)
{
	struct daemon *daemon = shard->repl->daemon;
	struct prog_set *programs = daemon->programs[shard->id.datacentre];
	GPtrArray *records;

	if (shard->recovered) {
		records = prog_shard_export(programs, shard->id.shard);
		(void)replica_apply(daemon->replicas,
		    (uint8_t)shard->id.datacentre, shard->id.shard,
		    shard->epoch, records);
		g_ptr_array_unref(records);
	}
	prog_shard_close(programs, shard->id.shard);
	lg_event(daemon->log, LG_INFO, "shard_given_up",
	    "datacentre=%u shard=%u epoch=%llu", (unsigned)shard->id.datacentre,
	    (unsigned)shard->id.shard, (unsigned long long)shard->epoch);
}

static bool
shard_sweep(gpointer key, gpointer value, gpointer arg)
{
	struct repl_shard *shard = value;
	clk_ms *now = arg;
	struct own_shard info;

	(void)key;
	if (!own_shard_get(shard->repl->daemon->own, shard->id, &info) ||
	    info.phase == OWN_NONE || info.epoch != shard->epoch) {
		repl_shard_release(shard);
		return (true);
	}
	repl_waiters_check(shard, *now);
	repl_recovery_retry(shard, *now);
	prepare_check(shard, *now);
	repl_shard_flush(shard, *now);
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
handovers_open(struct repl *repl)
{
	struct daemon *daemon = repl->daemon;

	for (unsigned s = 0; s < daemon->settings->shards; s++) {
		struct own_shard_id id = {
		    .datacentre = (uint16_t)daemon->settings->datacentre_number,
		    .shard = (uint16_t)s};
		uint64_t sources[OWN_SOURCES] = {daemon->session};
		struct own_shard info;
		const struct repl_shard *shard;

		if (!own_shard_get(daemon->own, id, &info) ||
		    info.phase != OWN_SERVING)
			continue;
		shard = repl_shard_find(repl, id);
		if (shard != NULL && shard->epoch >= info.epoch)
			continue;
		if (!replica_is_held(
			daemon->replicas, (uint8_t)id.datacentre, id.shard))
			memcpy(sources, info.holders, sizeof(info.holders));
		repl_shard_recover(repl, id, info.epoch, sources);
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct repl *repl = timer->data;
	clk_ms now = daemon_now(repl->daemon);

	(void)loop;
	(void)events;
	(void)g_hash_table_foreach_remove(
	    repl->shards, shard_sweep_entry, &now);
	handovers_open(repl);
	if (now - repl->swept_at < SWEEP_INTERVAL_MS)
		return;
	repl->swept_at = now;
	repl_replicas_sweep(repl, now);
	for (unsigned d = 0; d < repl->daemon->n_datacentres; d++)
		prog_tick(repl->daemon->programs[d], now);
}

struct repl *
repl_open(struct daemon *daemon)
{
	struct repl *repl = g_new0(struct repl, 1);

	repl->daemon = daemon;
	repl->shards = g_hash_table_new_full(NULL, NULL, NULL, shard_free);
	repl->fetches =
	    g_hash_table_new_full(NULL, NULL, NULL, repl_fetch_answer_free);
	repl->incoming = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	repl->records = cnt_counter(daemon->cnt, "replicated_records_total",
	    "Records sent to replica holders.", NULL, NULL);
	repl->bytes = cnt_counter(daemon->cnt, "replicated_bytes_total",
	    "Payload bytes sent to replica holders.", NULL, NULL);
	repl->exports = cnt_counter(daemon->cnt, "replica_exports_total",
	    "Whole shards sent to replica holders.", NULL, NULL);
	repl->unproven = cnt_counter(daemon->cnt, "shards_unproven_total",
	    "Recoveries without an answer of every source.", NULL, NULL);
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
repl_close(struct repl *repl)
{
	if (repl == NULL)
		return;
	ev_timer_stop(repl->daemon->loop, &repl->tick);
	g_hash_table_destroy(repl->shards);
	g_hash_table_destroy(repl->fetches);
	g_hash_table_destroy(repl->incoming);
	g_free(repl);
}
