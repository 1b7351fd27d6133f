#include "daemon/rpl.h"

#include <glib.h>
#include <string.h>

#include "daemon/dfr.h"
#include "program/cpy.h"
#include "program/prg.h"

#define TICK_S 0.02
/* A holder that has not answered for so long no longer holds calls up. */
#define REPLICATE_TIMEOUT ((clk_ms)800)
#define RETRY_MS	  ((clk_ms)200)
#define ACK_DEADLINE	  (3 * CLK_SECOND)
#define FETCH_TIMEOUT	  (2 * CLK_SECOND)
#define FETCH_RETRY	  (1 * CLK_SECOND)
/* How long a new owner waits for all sources before it serves unproven. */
#define PROOF_WAIT	(1500)
#define PREPARE_TIMEOUT (60 * CLK_SECOND)
#define BATCH_BYTES	((size_t)2 * 1024 * 1024)
#define BATCH_RECORDS	1024
/* Records kept for a holder that lags; beyond it gets the whole state. */
#define BACKLOG_BYTES ((size_t)32 * 1024 * 1024)
#define SWEEP_MS      (1 * CLK_SECOND)
/* Those who may have the state, and holders asked before an export. */
#define MAX_SOURCES (OWN_SOURCES + 8)
#define MAX_TARGETS (OWN_HOLDERS + 1) /* holders and a successor */

struct waiter {
	uint64_t seq;
	clk_ms deadline;
	rpl_on_acked *on_acked;
	void *arg;
};

struct shard;

/* A session that gets the records of a shard. */
struct target {
	struct shard *shard;
	uint64_t session;
	uint64_t acked;
	bool in_flight;
	bool down; /* the last attempt failed */
	bool stale; /* it knows a newer epoch */
	bool fetching; /* its state is asked for before the export */
	clk_ms retry_at;
	GPtrArray *export; /* whole state being sent; nil: none */
	guint export_next;
};

struct source {
	uint64_t session;
	bool answered;
	bool in_flight;
	clk_ms retry_at;
	uint64_t cursor;
	bool extra; /* not needed for the proof */
	GPtrArray *records; /* parts of its answer so far */
	int status; /* of its last answer; -1: none */
};

/* A shard that this instance owns. */
struct shard {
	struct rpl *rpl;
	struct own_shard_id id;
	uint64_t epoch;
	struct target *targets[MAX_TARGETS];
	GQueue *backlog; /* struct prg_record *, ascending seq */
	size_t backlog_bytes;
	GQueue *waiters; /* struct waiter *, ascending seq */
	struct source sources[MAX_SOURCES];
	unsigned n_sources;
	bool recovered;
	bool proven;
	clk_ms opened_at;
	uint64_t successor; /* of a handover being prepared */
	clk_ms prepare_deadline;
};

struct rpl {
	struct dmn *dmn;
	GHashTable *shards; /* id as pointer -> struct shard */
	GHashTable *fetches; /* id as pointer -> struct fetch_answer */
	GHashTable *incoming; /* id as pointer -> time of the last records */
	ev_timer tick;
	clk_ms swept_at;
	struct cnt_metric *records;
	struct cnt_metric *bytes;
	struct cnt_metric *exports;
	struct cnt_metric *unproven;
	struct cnt_metric *recoveries;
	struct cnt_metric *recovery_time;
};

struct ready {
	rpl_on_acked *on_acked;
	void *arg;
	bool acked;
};

/* The export of a replica, sent to a new owner in parts. */
struct fetch_answer {
	uint64_t epoch;
	uint64_t session;
	GPtrArray *records;
};

static gpointer
shard_key(struct own_shard_id id)
{
	return (GUINT_TO_POINTER(((guint)id.datacentre << 16) | id.shard));
}

static struct prg_record *
record_copy(const struct prg_record *record)
{
	struct prg_record *copy = g_memdup2(record, sizeof(*record));

	copy->payload = g_memdup2(record->payload, record->payload_len);
	return (copy);
}

static void
record_free(void *data)
{
	struct prg_record *record = data;

	g_free((char *)(uintptr_t)record->payload);
	g_free(record);
}

static void
target_free(struct target *target)
{
	if (target == NULL)
		return;
	if (target->export != NULL)
		g_ptr_array_unref(target->export);
	g_free(target);
}

static void
ready_call(void *arg)
{
	struct ready *ready = arg;

	ready->on_acked(ready->acked, ready->arg);
	g_free(ready);
}

static void
waiter_end(struct rpl *rpl, struct waiter *waiter, bool acked)
{
	struct ready *ready = g_new0(struct ready, 1);

	ready->on_acked = waiter->on_acked;
	ready->arg = waiter->arg;
	ready->acked = acked;
	dfr_add(rpl->dmn->dfr, ready_call, ready);
	g_free(waiter);
}

static void
shard_free(void *data)
{
	struct shard *shard = data;
	struct waiter *waiter;

	while ((waiter = g_queue_pop_head(shard->waiters)) != NULL)
		waiter_end(shard->rpl, waiter, false);
	g_queue_free(shard->waiters);
	g_queue_free_full(shard->backlog, record_free);
	for (int i = 0; i < MAX_TARGETS; i++)
		target_free(shard->targets[i]);
	for (unsigned i = 0; i < shard->n_sources; i++) {
		if (shard->sources[i].records != NULL)
			g_ptr_array_unref(shard->sources[i].records);
	}
	g_free(shard);
}

static void
fetch_answer_free(void *data)
{
	struct fetch_answer *answer = data;

	g_ptr_array_unref(answer->records);
	g_free(answer);
}

static struct shard *
shard_find(const struct rpl *rpl, struct own_shard_id id)
{
	return (g_hash_table_lookup(rpl->shards, shard_key(id)));
}

/* Drop what every target has, or what no target will be sent any more. */
static void
backlog_trim(struct shard *shard)
{
	uint64_t least = UINT64_MAX;
	struct prg_record *record;

	for (int i = 0; i < MAX_TARGETS; i++) {
		const struct target *target = shard->targets[i];

		if (target != NULL)
			least = MIN(least, target->acked);
	}
	while ((record = g_queue_peek_head(shard->backlog)) != NULL &&
	    (record->seq <= least || shard->backlog_bytes > BACKLOG_BYTES)) {
		shard->backlog_bytes -= record->payload_len;
		record_free(g_queue_pop_head(shard->backlog));
	}
}

/*
 * The rule of acknowledgement: every holder that is connected has the record,
 * and at least copies_min of them.  The successor of a handover does not
 * count, because it is not a holder before the handover stands in the log.
 */
static bool
is_acked(const struct shard *shard, uint64_t seq)
{
	unsigned have = 0;

	for (int i = 0; i < OWN_HOLDERS; i++) {
		const struct target *target = shard->targets[i];

		if (target == NULL)
			continue;
		if (target->acked >= seq)
			have++;
		else if (!target->down)
			return (false);
	}
	return (have >= shard->rpl->dmn->set->limits.copies_min);
}

static bool
is_deposed(const struct shard *shard)
{
	for (int i = 0; i < OWN_HOLDERS; i++) {
		if (shard->targets[i] != NULL && shard->targets[i]->stale)
			return (true);
	}
	return (false);
}

/* Say which holders a call waited for in vain. */
static void
timeout_log(const struct shard *shard, const struct waiter *waiter)
{
	struct own_shard info;

	(void)own_shard_get(shard->rpl->dmn->own, shard->id, &info);
	for (int i = 0; i < OWN_HOLDERS; i++) {
		const struct target *target = shard->targets[i];

		lg_event(shard->rpl->dmn->lg, LG_WARNING, "replication_timeout",
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

static void
waiters_check(struct shard *shard, clk_ms now)
{
	struct waiter *waiter;

	while ((waiter = g_queue_peek_head(shard->waiters)) != NULL) {
		bool acked = !is_deposed(shard) && is_acked(shard, waiter->seq);

		if (!acked && !is_deposed(shard) && now < waiter->deadline)
			break;
		(void)g_queue_pop_head(shard->waiters);
		if (!acked)
			timeout_log(shard, waiter);
		waiter_end(shard->rpl, waiter, acked);
	}
}

static uint64_t
shard_seq(const struct shard *shard)
{
	return (prg_shard_seq(
	    shard->rpl->dmn->prg[shard->id.datacentre], shard->id.shard));
}

/* Start sending the whole state to a target. */
static void
export_start(struct target *target)
{
	struct shard *shard = target->shard;
	struct dmn *dmn = shard->rpl->dmn;
	struct prg *prg = dmn->prg[shard->id.datacentre];

	if (target->export != NULL)
		g_ptr_array_unref(target->export);
	target->fetching = false;
	target->export = prg_export(prg, shard->id.shard);
	target->export_next = 0;
	cnt_add(shard->rpl->exports, 1);
}

static size_t
wire_add(GArray *wire, const struct prg_record *record)
{
	struct peer_record out = {.seq = record->seq,
	    .kind = (u_int)record->kind,
	    .program_id = (char *)(uintptr_t)record->program};

	out.payload.payload_val = (char *)(uintptr_t)record->payload;
	out.payload.payload_len = (u_int)record->payload_len;
	g_array_append_val(wire, out);
	return (record->payload_len + 64);
}

/* Choose the next batch for a target; the number of records in it. */
static guint
batch_fill(struct target *target, GArray *wire)
{
	struct shard *shard = target->shard;
	size_t bytes = 0;

	if (target->export != NULL) {
		while (target->export_next < target->export->len &&
		    bytes < BATCH_BYTES && wire->len < BATCH_RECORDS)
			bytes += wire_add(wire,
			    g_ptr_array_index(
				target->export, target->export_next++));
		return (wire->len);
	}
	for (GList *l = shard->backlog->head; l != NULL; l = l->next) {
		const struct prg_record *record = l->data;

		if (record->seq <= target->acked)
			continue;
		if (bytes >= BATCH_BYTES || wire->len >= BATCH_RECORDS)
			break;
		bytes += wire_add(wire, record);
	}
	cnt_add(shard->rpl->bytes, (int64_t)bytes);
	return (wire->len);
}

struct replicate {
	struct rpl *rpl;
	struct own_shard_id id;
	uint64_t epoch;
	uint64_t session;
};

static struct target *
target_find(struct shard *shard, uint64_t session)
{
	for (int i = 0; i < MAX_TARGETS; i++) {
		if (shard->targets[i] != NULL &&
		    shard->targets[i]->session == session)
			return (shard->targets[i]);
	}
	return (NULL);
}

static void
target_failed(struct target *target, const char *why)
{
	struct dmn *dmn = target->shard->rpl->dmn;
	char buf[128];

	if (!target->down)
		lg_event(dmn->lg, LG_WARNING, "replica_holder_down",
		    "datacentre=%u shard=%u holder=%016llx error=%s",
		    (unsigned)target->shard->id.datacentre,
		    (unsigned)target->shard->id.shard,
		    (unsigned long long)target->session,
		    lg_quote(buf, sizeof(buf), why));
	target->down = true;
	target->retry_at = dmn_now(dmn) + RETRY_MS;
	/* Parts of an export may be missing at the holder. */
	if (target->export != NULL)
		export_start(target);
}

static void fetch_before_export(struct target *target);

static void
target_replied(struct target *target, const struct peer_replicate_reply *reply)
{
	struct shard *shard = target->shard;

	target->down = false;
	switch (reply->status) {
	case PEER_REPLICATE_ACCEPTED:
		/*
		 * While an export is incomplete the holder reports its state of
		 * an older epoch, which says nothing about this owner's
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
		lg_event(shard->rpl->dmn->lg, LG_NOTICE, "shard_deposed",
		    "datacentre=%u shard=%u epoch=%llu newer=%llu",
		    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
		    (unsigned long long)shard->epoch,
		    (unsigned long long)reply->epoch);
		break;
	case PEER_REPLICATE_FETCH_FIRST:
		fetch_before_export(target);
		break;
	default:
		lg_event(shard->rpl->dmn->lg, LG_INFO, "replica_gap",
		    "datacentre=%u shard=%u holder=%016llx held=%llu seq=%llu",
		    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
		    (unsigned long long)target->session,
		    (unsigned long long)reply->acked_seq,
		    (unsigned long long)shard_seq(shard));
		export_start(target);
		break;
	}
}

static void
on_replicated(const struct pr_result *result, void *arg)
{
	struct replicate *replicate = arg;
	struct rpl *rpl = replicate->rpl;
	struct shard *shard = shard_find(rpl, replicate->id);
	struct target *target;

	if (shard == NULL || shard->epoch != replicate->epoch)
		goto out;
	target = target_find(shard, replicate->session);
	if (target == NULL)
		goto out;
	target->in_flight = false;
	if (result->sent == PR_REPLIED) {
		const struct peer_replicate_reply *reply = result->reply;

		/* A new session at the address of a former holder. */
		if (reply->session != target->session)
			target_failed(target, "another session answers");
		else
			target_replied(target, reply);
	} else {
		target_failed(target, result->error);
	}
	waiters_check(shard, dmn_now(rpl->dmn));
	backlog_trim(shard);
out:
	g_free(replicate);
}

static void
target_flush(struct target *target, clk_ms now)
{
	struct shard *shard = target->shard;
	struct dmn *dmn = shard->rpl->dmn;
	const struct prg_record *head = g_queue_peek_head(shard->backlog);
	struct peer_replicate_args args = {.session = dmn->session,
	    .datacentre = shard->id.datacentre,
	    .shard = shard->id.shard,
	    .epoch = shard->epoch};
	const char *address;
	struct replicate *replicate;
	GArray *wire;

	if (target->in_flight || target->stale || target->fetching ||
	    !shard->recovered || (target->down && now < target->retry_at))
		return;
	/* Records that the target still needs were trimmed away. */
	if (target->export == NULL && target->acked < shard_seq(shard) &&
	    (head == NULL || target->acked + 1 < head->seq))
		export_start(target);
	wire = g_array_new(FALSE, FALSE, sizeof(struct peer_record));
	if (batch_fill(target, wire) == 0 && !target->down)
		goto out;
	address = dmn_address(dmn, target->session);
	if (address == NULL) {
		target_failed(target, "no address is known");
		goto out;
	}
	args.records.records_len = wire->len;
	args.records.records_val = (struct peer_record *)(void *)wire->data;
	replicate = g_new0(struct replicate, 1);
	replicate->rpl = shard->rpl;
	replicate->id = shard->id;
	replicate->epoch = shard->epoch;
	replicate->session = target->session;
	target->in_flight = true;
	cnt_add(shard->rpl->records, wire->len);
	(void)pr_call(dmn->pr, address, PEER_REPLICATE, &args,
	    REPLICATE_TIMEOUT, on_replicated, replicate);
out:
	g_array_unref(wire);
}

static void
shard_flush(struct shard *shard, clk_ms now)
{
	for (int i = 0; i < MAX_TARGETS; i++) {
		if (shard->targets[i] != NULL)
			target_flush(shard->targets[i], now);
	}
}

/* Set the holders to those of the shard map, keeping what is known. */
static void
targets_update(struct shard *shard)
{
	struct own_shard info;
	struct target *old[OWN_HOLDERS];

	if (!own_shard_get(shard->rpl->dmn->own, shard->id, &info))
		return;
	memcpy(old, shard->targets, sizeof(old));
	memset(shard->targets, 0, sizeof(old));
	for (int i = 0; i < OWN_HOLDERS; i++) {
		if (info.holders[i] == 0 ||
		    info.holders[i] == shard->rpl->dmn->session)
			continue;
		for (int j = 0; j < OWN_HOLDERS; j++) {
			if (old[j] != NULL &&
			    old[j]->session == info.holders[i]) {
				shard->targets[i] = old[j];
				old[j] = NULL;
			}
		}
		if (shard->targets[i] == NULL) {
			struct target *target = g_new0(struct target, 1);

			target->shard = shard;
			target->session = info.holders[i];
			shard->targets[i] = target;
		}
	}
	for (int j = 0; j < OWN_HOLDERS; j++)
		target_free(old[j]);
}

void
rpl_copy(struct rpl *rpl, struct own_shard_id id, uint64_t epoch)
{
	struct shard *shard = shard_find(rpl, id);

	if (shard == NULL || shard->epoch != epoch)
		return;
	targets_update(shard);
	shard_flush(shard, dmn_now(rpl->dmn));
}

/* Called by module prg for each record that it emits. */
void
rpl_record(struct rpl *rpl, const struct prg_record *record)
{
	struct own_shard_id id = {
	    .datacentre = record->datacentre, .shard = record->shard};
	struct shard *shard = shard_find(rpl, id);

	if (shard == NULL || record->epoch != shard->epoch)
		return;
	g_queue_push_tail(shard->backlog, record_copy(record));
	shard->backlog_bytes += record->payload_len;
	backlog_trim(shard);
}

void
rpl_wait(
    struct rpl *rpl, struct own_shard_id id, rpl_on_acked *on_acked, void *arg)
{
	struct shard *shard = shard_find(rpl, id);
	struct waiter *waiter = g_new0(struct waiter, 1);
	clk_ms now = dmn_now(rpl->dmn);

	waiter->on_acked = on_acked;
	waiter->arg = arg;
	if (shard == NULL) {
		waiter_end(rpl, waiter, false);
		return;
	}
	waiter->seq = prg_shard_seq(rpl->dmn->prg[id.datacentre], id.shard);
	waiter->deadline = now + ACK_DEADLINE;
	g_queue_push_tail(shard->waiters, waiter);
	shard_flush(shard, now);
	waiters_check(shard, now);
}

/* Recovery of a shard from those who may have its state. */

static void
source_apply(struct shard *shard, struct source *source)
{
	struct prg *prg = shard->rpl->dmn->prg[shard->id.datacentre];
	unsigned refused = 0;

	for (guint i = 0; source->records != NULL && i < source->records->len;
	     i++) {
		if (!prg_apply(prg, dmn_now(shard->rpl->dmn),
			g_ptr_array_index(source->records, i)))
			refused++;
	}
	if (refused > 0)
		lg_event(shard->rpl->dmn->lg, LG_WARNING,
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
 * Whether the state comes from the owner before this one.  If that owner died
 * before it sent its holders anything, they answer with what they held
 * earlier, and turns of the owners in between may be missing.
 */
static bool
is_lineage_whole(const struct shard *shard)
{
	if (shard->n_sources == 0)
		return (true);
	return (prg_state_epoch(shard->rpl->dmn->prg[shard->id.datacentre],
		    shard->id.shard) +
		1 >=
	    shard->epoch);
}

/* Say which sources have not answered. */
static void
missing_log(const struct shard *shard)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		const struct source *source = &shard->sources[i];

		if (!source->answered)
			lg_event(shard->rpl->dmn->lg, LG_WARNING,
			    "recovery_source_missing",
			    "datacentre=%u shard=%u source=%016llx status=%d",
			    (unsigned)shard->id.datacentre,
			    (unsigned)shard->id.shard,
			    (unsigned long long)source->session,
			    source->status);
	}
}

static void
recovery_check(struct shard *shard, clk_ms now)
{
	struct rpl *rpl = shard->rpl;
	struct dmn *dmn = rpl->dmn;
	bool all = true;

	for (unsigned i = 0; i < shard->n_sources; i++) {
		const struct source *source = &shard->sources[i];

		all = all && (source->answered || source->extra);
	}
	all = all && is_lineage_whole(shard);
	if (shard->proven || (shard->recovered && !all) ||
	    (!all && now - shard->opened_at < PROOF_WAIT))
		return;
	prg_recovered(
	    dmn->prg[shard->id.datacentre], now, shard->id.shard, all);
	shard->proven = all;
	lg_event(dmn->lg, all ? LG_INFO : LG_WARNING, "shard_recovered",
	    "datacentre=%u shard=%u epoch=%llu proven=%d ms=%lld",
	    (unsigned)shard->id.datacentre, (unsigned)shard->id.shard,
	    (unsigned long long)shard->epoch, (int)all,
	    (long long)(now - shard->opened_at));
	if (!all) {
		cnt_add(rpl->unproven, 1);
		missing_log(shard);
	}
	if (!shard->recovered) {
		shard->recovered = true;
		cnt_add(rpl->recoveries, 1);
		cnt_observe(rpl->recovery_time, now - shard->opened_at);
		cpy_drop(
		    dmn->cpy, (uint8_t)shard->id.datacentre, shard->id.shard);
		own_recovered(dmn->own, shard->id, shard->epoch);
		targets_update(shard);
	}
}

static void fetch_send(struct shard *shard, struct source *source);

static struct source *
source_find(struct shard *shard, uint64_t session)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		if (shard->sources[i].session == session)
			return (&shard->sources[i]);
	}
	return (NULL);
}

/* The holder's own state is known here: overwrite it. */
static void
export_to(struct shard *shard, uint64_t session)
{
	struct target *target = target_find(shard, session);

	if (target != NULL)
		export_start(target);
}

static void
source_take(struct shard *shard, struct source *source,
    const struct peer_fetch_reply *reply)
{
	if (source->records == NULL)
		source->records = prg_records_new();
	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct peer_record *in = &reply->records.records_val[i];
		struct prg_record record = {
		    .datacentre = (uint8_t)shard->id.datacentre,
		    .shard = shard->id.shard,
		    .epoch = reply->epoch,
		    .seq = in->seq,
		    .kind = (enum prg_kind)in->kind,
		    .payload = in->payload.payload_val,
		    .payload_len = in->payload.payload_len};

		(void)g_strlcpy(
		    record.program, in->program_id, sizeof(record.program));
		prg_records_add(source->records, &record);
	}
	source->cursor = reply->next_cursor;
	if (reply->next_cursor != 0)
		fetch_send(shard, source);
	else
		source_apply(shard, source);
	if (source->answered && source->extra)
		export_to(shard, source->session);
}

static void
on_fetched(const struct pr_result *result, void *arg)
{
	struct replicate *fetch = arg;
	struct rpl *rpl = fetch->rpl;
	struct shard *shard = shard_find(rpl, fetch->id);
	const struct peer_fetch_reply *reply = result->reply;
	struct source *source;
	clk_ms now = dmn_now(rpl->dmn);

	if (shard == NULL || shard->epoch != fetch->epoch)
		goto out;
	source = source_find(shard, fetch->session);
	if (source == NULL)
		goto out;
	source->in_flight = false;
	source->retry_at = now + FETCH_RETRY;
	if (result->sent == PR_REPLIED && reply->session == source->session) {
		source->status = (int)reply->status;
		if (reply->status == PEER_FETCH_OK)
			source_take(shard, source, reply);
		else if (source->extra)
			export_to(shard, source->session);
	}
	recovery_check(shard, now);
out:
	g_free(fetch);
}

static void
fetch_send(struct shard *shard, struct source *source)
{
	struct dmn *dmn = shard->rpl->dmn;
	struct peer_fetch_args args = {.session = dmn->session,
	    .datacentre = shard->id.datacentre,
	    .shard = shard->id.shard,
	    .epoch = shard->epoch,
	    .cursor = source->cursor};
	const char *address = dmn_address(dmn, source->session);
	struct replicate *fetch;

	source->retry_at = dmn_now(dmn) + FETCH_RETRY;
	if (address == NULL)
		return;
	fetch = g_new0(struct replicate, 1);
	fetch->rpl = shard->rpl;
	fetch->id = shard->id;
	fetch->epoch = shard->epoch;
	fetch->session = source->session;
	source->in_flight = true;
	(void)pr_call(dmn->pr, address, PEER_FETCH, &args, FETCH_TIMEOUT,
	    on_fetched, fetch);
}

static void
fetch_local(struct shard *shard, struct source *source)
{
	struct dmn *dmn = shard->rpl->dmn;

	if (!cpy_holds(
		dmn->cpy, (uint8_t)shard->id.datacentre, shard->id.shard))
		return;
	if (cpy_fetch(dmn->cpy, (uint8_t)shard->id.datacentre, shard->id.shard,
		shard->epoch, &source->records))
		source_apply(shard, source);
}

/*
 * A holder has state of an older epoch that this owner may lack.  Ask it
 * once; its answer is merged, and then it gets the whole state.
 */
static void
fetch_before_export(struct target *target)
{
	struct shard *shard = target->shard;
	struct source *source = source_find(shard, target->session);

	if (target->export != NULL)
		g_ptr_array_unref(target->export);
	target->export = NULL;
	target->fetching = true;
	if (source == NULL) {
		/* The oldest extra source gives way. */
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
rpl_recover(struct rpl *rpl, struct own_shard_id id, uint64_t epoch,
    const uint64_t sources[OWN_SOURCES])
{
	struct shard *shard = shard_find(rpl, id);
	struct dmn *dmn = rpl->dmn;

	if (shard != NULL && shard->epoch == epoch)
		return;
	shard = g_new0(struct shard, 1);
	shard->rpl = rpl;
	shard->id = id;
	shard->epoch = epoch;
	shard->backlog = g_queue_new();
	shard->waiters = g_queue_new();
	shard->opened_at = dmn_now(dmn);
	g_hash_table_insert(rpl->shards, shard_key(id), shard);
	prg_shard_open(dmn->prg[id.datacentre], id.shard, epoch);
	for (int i = 0; i < OWN_SOURCES; i++) {
		struct source *source;

		if (sources[i] == 0)
			continue;
		source = &shard->sources[shard->n_sources++];
		source->session = sources[i];
		source->status = -1;
		if (sources[i] == dmn->session)
			fetch_local(shard, source);
		else
			fetch_send(shard, source);
	}
	recovery_check(shard, shard->opened_at);
}

static void
recovery_retry(struct shard *shard, clk_ms now)
{
	for (unsigned i = 0; i < shard->n_sources; i++) {
		struct source *source = &shard->sources[i];

		if ((shard->proven && !source->extra) || source->answered ||
		    source->in_flight || now < source->retry_at ||
		    source->session == shard->rpl->dmn->session)
			continue;
		if (source->records != NULL)
			g_ptr_array_unref(source->records);
		source->records = NULL;
		source->cursor = 0;
		fetch_send(shard, source);
	}
	recovery_check(shard, now);
}

/* Handover. */

void
rpl_prepare(
    struct rpl *rpl, struct own_shard_id id, uint64_t epoch, uint64_t successor)
{
	struct shard *shard = shard_find(rpl, id);
	struct target *target;

	if (shard == NULL || shard->epoch != epoch) {
		own_prepared(rpl->dmn->own, id, epoch, false);
		return;
	}
	shard->successor = successor;
	shard->prepare_deadline = dmn_now(rpl->dmn) + PREPARE_TIMEOUT;
	if (target_find(shard, successor) != NULL)
		return;
	target = g_new0(struct target, 1);
	target->shard = shard;
	target->session = successor;
	shard->targets[OWN_HOLDERS] = target;
	shard_flush(shard, dmn_now(rpl->dmn));
}

static void
prepare_check(struct shard *shard, clk_ms now)
{
	struct dmn *dmn = shard->rpl->dmn;
	struct prg *prg = dmn->prg[shard->id.datacentre];
	struct target *target;
	bool ready;

	if (shard->successor == 0)
		return;
	target = target_find(shard, shard->successor);
	ready = target != NULL && !target->down && target->export == NULL &&
	    prg_shard_busy(prg, shard->id.shard) == 0 &&
	    target->acked >= shard_seq(shard);
	if (!ready && now < shard->prepare_deadline)
		return;
	shard->successor = 0;
	target_free(shard->targets[OWN_HOLDERS]);
	shard->targets[OWN_HOLDERS] = NULL;
	own_prepared(dmn->own, shard->id, shard->epoch, ready);
}

/*
 * Keep the state of a shard that this instance no longer owns as a replica:
 * the new owner may fetch it from here.
 */
static void
shard_give_up(struct shard *shard)
{
	struct dmn *dmn = shard->rpl->dmn;
	struct prg *prg = dmn->prg[shard->id.datacentre];
	GPtrArray *records;

	if (shard->recovered) {
		records = prg_export(prg, shard->id.shard);
		(void)cpy_put(dmn->cpy, (uint8_t)shard->id.datacentre,
		    shard->id.shard, shard->epoch, records);
		g_ptr_array_unref(records);
	}
	prg_shard_close(prg, shard->id.shard);
	lg_event(dmn->lg, LG_INFO, "shard_given_up",
	    "datacentre=%u shard=%u epoch=%llu", (unsigned)shard->id.datacentre,
	    (unsigned)shard->id.shard, (unsigned long long)shard->epoch);
}

static bool
shard_sweep(gpointer key, gpointer value, gpointer arg)
{
	struct shard *shard = value;
	clk_ms *now = arg;
	struct own_shard info;

	(void)key;
	if (!own_shard_get(shard->rpl->dmn->own, shard->id, &info) ||
	    info.phase == OWN_NONE || info.epoch != shard->epoch) {
		shard_give_up(shard);
		return (true);
	}
	waiters_check(shard, *now);
	recovery_retry(shard, *now);
	prepare_check(shard, *now);
	shard_flush(shard, *now);
	return (false);
}

static gboolean
shard_sweep_entry(gpointer key, gpointer value, gpointer arg)
{
	return (shard_sweep(key, value, arg) ? TRUE : FALSE);
}

/* Whether the map says that this session may be asked for the shard. */
static bool
is_wanted_replica(const struct dmn *dmn, const struct own_shard *info)
{
	for (int i = 0; i < OWN_HOLDERS; i++) {
		if (info->holders[i] == dmn->session)
			return (true);
	}
	for (int i = 0; !info->proven && i < OWN_SOURCES; i++) {
		if (info->sources[i] == dmn->session)
			return (true);
	}
	return (false);
}

/*
 * A handover makes this session the owner at once, without an action of
 * module own: the former owner sent the whole state before it gave up.
 */
static void
handovers_open(struct rpl *rpl)
{
	struct dmn *dmn = rpl->dmn;

	for (unsigned s = 0; s < dmn->set->shards; s++) {
		struct own_shard_id id = {
		    .datacentre = (uint16_t)dmn->set->datacentre_number,
		    .shard = (uint16_t)s};
		uint64_t sources[OWN_SOURCES] = {dmn->session};
		struct own_shard info;
		const struct shard *shard;

		if (!own_shard_get(dmn->own, id, &info) ||
		    info.phase != OWN_SERVING)
			continue;
		shard = shard_find(rpl, id);
		if (shard != NULL && shard->epoch >= info.epoch)
			continue;
		if (!cpy_holds(dmn->cpy, (uint8_t)id.datacentre, id.shard))
			memcpy(sources, info.holders, sizeof(info.holders));
		rpl_recover(rpl, id, info.epoch, sources);
	}
}

/*
 * Whether an owner sent records of late.  It may be preparing a handover to
 * this session, or this session may not have read yet that it is a holder.
 */
static bool
is_incoming(struct rpl *rpl, struct own_shard_id id, clk_ms now)
{
	const clk_ms *at = g_hash_table_lookup(rpl->incoming, shard_key(id));

	return (at != NULL && now - *at < 2 * PREPARE_TIMEOUT);
}

/* Free replicas that nobody will ask for any more. */
static void
replicas_sweep(struct rpl *rpl, clk_ms now)
{
	struct dmn *dmn = rpl->dmn;

	for (unsigned d = 0; d < dmn->n_datacentres; d++) {
		for (unsigned s = 0; s < dmn->set->shards; s++) {
			struct own_shard_id id = {
			    .datacentre = (uint16_t)d, .shard = (uint16_t)s};
			struct own_shard info;

			if (!cpy_holds(dmn->cpy, (uint8_t)d, (uint16_t)s) ||
			    !own_shard_get(dmn->own, id, &info))
				continue;
			/* A successor holds the state before the handover. */
			if (info.owner != dmn->session && info.proven &&
			    !is_wanted_replica(dmn, &info) &&
			    !is_incoming(rpl, id, now))
				cpy_drop(dmn->cpy, (uint8_t)d, (uint16_t)s);
		}
	}
	g_hash_table_remove_all(rpl->fetches);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct rpl *rpl = timer->data;
	clk_ms now = dmn_now(rpl->dmn);

	(void)loop;
	(void)events;
	(void)g_hash_table_foreach_remove(rpl->shards, shard_sweep_entry, &now);
	handovers_open(rpl);
	if (now - rpl->swept_at < SWEEP_MS)
		return;
	rpl->swept_at = now;
	replicas_sweep(rpl, now);
	for (unsigned d = 0; d < rpl->dmn->n_datacentres; d++)
		prg_tick(rpl->dmn->prg[d], now);
}

void
rpl_replicate(struct rpl *rpl, struct pr_request *request,
    const struct peer_replicate_args *args)
{
	static const enum peer_replicate_status statuses[] = {
	    [CPY_ACCEPTED] = PEER_REPLICATE_ACCEPTED,
	    [CPY_REFUSED] = PEER_REPLICATE_STALE_EPOCH,
	    [CPY_FETCH_FIRST] = PEER_REPLICATE_FETCH_FIRST,
	    [CPY_GAP] = PEER_REPLICATE_GAP,
	    [CPY_BAD] = PEER_REPLICATE_GAP,
	};
	struct own_shard_id id = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct peer_replicate_reply reply = {.session = rpl->dmn->session};
	GPtrArray *records = prg_records_new();
	clk_ms now = dmn_now(rpl->dmn);
	struct cpy_result result;

	for (u_int i = 0; i < args->records.records_len; i++) {
		const struct peer_record *in = &args->records.records_val[i];
		struct prg_record record = {
		    .datacentre = (uint8_t)args->datacentre,
		    .shard = (uint16_t)args->shard,
		    .epoch = args->epoch,
		    .seq = in->seq,
		    .kind = (enum prg_kind)in->kind,
		    .payload = in->payload.payload_val,
		    .payload_len = in->payload.payload_len};

		(void)g_strlcpy(
		    record.program, in->program_id, sizeof(record.program));
		prg_records_add(records, &record);
	}
	g_hash_table_insert(
	    rpl->incoming, shard_key(id), g_memdup2(&now, sizeof(now)));
	result = cpy_put(rpl->dmn->cpy, (uint8_t)args->datacentre,
	    (uint16_t)args->shard, args->epoch, records);
	if (result.outcome == CPY_BAD)
		cpy_drop(rpl->dmn->cpy, (uint8_t)args->datacentre,
		    (uint16_t)args->shard);
	g_ptr_array_unref(records);
	reply.status = statuses[result.outcome];
	reply.acked_seq = result.seq;
	reply.epoch = result.epoch;
	pr_reply(request, &reply);
}

/* Take the replica for a new owner, whole, so that its parts fit together. */
static struct fetch_answer *
fetch_answer_new(struct rpl *rpl, const struct peer_fetch_args *args,
    struct peer_fetch_reply *reply)
{
	struct own_shard_id id = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct shard *shard = shard_find(rpl, id);
	struct fetch_answer *answer;
	GPtrArray *records;
	bool holds;

	/* A former owner that has not read the claim in the log yet. */
	if (shard != NULL && shard->epoch < args->epoch) {
		shard_give_up(shard);
		(void)g_hash_table_remove(rpl->shards, shard_key(id));
	}
	/* Without any state, too, the former owner is refused from now on. */
	holds = cpy_holds(
	    rpl->dmn->cpy, (uint8_t)args->datacentre, (uint16_t)args->shard);
	if (!cpy_fetch(rpl->dmn->cpy, (uint8_t)args->datacentre,
		(uint16_t)args->shard, args->epoch, &records)) {
		reply->status = PEER_FETCH_STALE_EPOCH;
		return (NULL);
	}
	if (!holds) {
		g_ptr_array_unref(records);
		reply->status = PEER_FETCH_NONE;
		return (NULL);
	}
	answer = g_new0(struct fetch_answer, 1);
	answer->epoch = args->epoch;
	answer->session = args->session;
	answer->records = records;
	g_hash_table_insert(rpl->fetches, shard_key(id), answer);
	return (answer);
}

void
rpl_fetch(struct rpl *rpl, struct pr_request *request,
    const struct peer_fetch_args *args)
{
	struct own_shard_id id = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct peer_fetch_reply reply = {
	    .status = PEER_FETCH_OK, .session = rpl->dmn->session};
	struct fetch_answer *answer;
	GArray *wire = g_array_new(FALSE, FALSE, sizeof(struct peer_record));
	size_t bytes = 0;
	guint next = (guint)args->cursor;

	if (args->cursor == 0)
		answer = fetch_answer_new(rpl, args, &reply);
	else
		answer = g_hash_table_lookup(rpl->fetches, shard_key(id));
	if (answer == NULL || answer->epoch != args->epoch ||
	    answer->session != args->session) {
		if (reply.status == PEER_FETCH_OK)
			reply.status = PEER_FETCH_STALE_EPOCH;
		goto out;
	}
	reply.epoch =
	    ((struct prg_record *)g_ptr_array_index(answer->records, 0))->epoch;
	while (next < answer->records->len && bytes < BATCH_BYTES &&
	    wire->len < BATCH_RECORDS) {
		const struct prg_record *record =
		    g_ptr_array_index(answer->records, next++);

		bytes += wire_add(wire, record);
		reply.seq = record->seq;
	}
	reply.next_cursor = next < answer->records->len ? next : 0;
out:
	reply.records.records_len = wire->len;
	reply.records.records_val = (struct peer_record *)(void *)wire->data;
	pr_reply(request, &reply);
	g_array_unref(wire);
}

struct rpl *
rpl_open(struct dmn *dmn)
{
	struct rpl *rpl = g_new0(struct rpl, 1);

	rpl->dmn = dmn;
	rpl->shards = g_hash_table_new_full(NULL, NULL, NULL, shard_free);
	rpl->fetches =
	    g_hash_table_new_full(NULL, NULL, NULL, fetch_answer_free);
	rpl->incoming = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	rpl->records = cnt_counter(dmn->cnt, "replicated_records_total",
	    "Records sent to replica holders.", NULL, NULL);
	rpl->bytes = cnt_counter(dmn->cnt, "replicated_bytes_total",
	    "Payload bytes sent to replica holders.", NULL, NULL);
	rpl->exports = cnt_counter(dmn->cnt, "replica_exports_total",
	    "Whole shards sent to replica holders.", NULL, NULL);
	rpl->unproven = cnt_counter(dmn->cnt, "shards_unproven_total",
	    "Recoveries without an answer of every source.", NULL, NULL);
	rpl->recoveries = cnt_counter(dmn->cnt, "recoveries_total",
	    "Shards recovered after a claim or handover.", NULL, NULL);
	rpl->recovery_time = cnt_histogram(dmn->cnt, "recovery_seconds",
	    "Time from an effective claim to serving.", NULL, NULL);
	ev_timer_init(&rpl->tick, on_tick, TICK_S, TICK_S);
	rpl->tick.data = rpl;
	ev_timer_start(dmn->loop, &rpl->tick);
	return (rpl);
}

void
rpl_close(struct rpl *rpl)
{
	if (rpl == NULL)
		return;
	ev_timer_stop(rpl->dmn->loop, &rpl->tick);
	g_hash_table_destroy(rpl->shards);
	g_hash_table_destroy(rpl->fetches);
	g_hash_table_destroy(rpl->incoming);
	g_free(rpl);
}
