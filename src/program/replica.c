#include "program/replica.h"

#include "program/prog_table.h"

struct held_shard {
	uint64_t fence; /* newest epoch known; older epochs are refused */
	uint64_t fetched; /* epoch of the last owner that fetched the state */
	struct prog_table *table; /* nil: nothing is held */
};

struct replica_set {
	GHashTable *shards; /* datacentre << 16 | shard -> struct held_shard */
	size_t bytes;
	size_t programs;
};

static void
held_shard_free(void *data)
{
	struct held_shard *held = data;

	prog_table_free(held->table);
	g_free(held);
}

struct replica_set *
replica_set_new(void)
{
	struct replica_set *replicas = g_new0(struct replica_set, 1);

	replicas->shards =
	    g_hash_table_new_full(NULL, NULL, NULL, held_shard_free);
	return (replicas);
}

void
replica_set_free(struct replica_set *replicas)
{
	if (replicas == NULL)
		return;
	g_hash_table_unref(replicas->shards);
	g_free(replicas);
}

static void *
held_shard_key(uint8_t datacentre, uint16_t shard)
{
	return (GUINT_TO_POINTER((guint)datacentre << 16 | shard));
}

static struct held_shard *
held_shard_find(
    const struct replica_set *replicas, uint8_t datacentre, uint16_t shard)
{
	return (g_hash_table_lookup(
	    replicas->shards, held_shard_key(datacentre, shard)));
}

static struct held_shard *
held_shard_get(struct replica_set *replicas, uint8_t datacentre, uint16_t shard)
{
	struct held_shard *held = held_shard_find(replicas, datacentre, shard);

	if (held == NULL) {
		held = g_new0(struct held_shard, 1);
		g_hash_table_insert(
		    replicas->shards, held_shard_key(datacentre, shard), held);
	}
	return (held);
}

/* Memory of a table and of its incomplete export. */
static size_t
table_bytes(const struct prog_table *table)
{
	if (table == NULL)
		return (0);
	return (
	    table->bytes + (table->staged != NULL ? table->staged->bytes : 0));
}

static size_t
table_programs(const struct prog_table *table)
{
	return (table == NULL ? 0 : g_hash_table_size(table->programs));
}

struct replica_result
replica_apply(struct replica_set *replicas, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, const GPtrArray *records)
{
	struct held_shard *held = held_shard_get(replicas, datacentre, shard);
	struct replica_result result = {.outcome = REPLICA_ACCEPTED};

	if (epoch < held->fence) {
		result.outcome = REPLICA_REFUSED;
		result.epoch = held->fence;
		return (result);
	}
	held->fence = epoch;
	if (held->table == NULL)
		held->table = prog_table_new(datacentre, shard, NULL);
	replicas->bytes -= table_bytes(held->table);
	replicas->programs -= table_programs(held->table);
	for (guint i = 0; i < records->len; i++) {
		const struct prog_record *record =
		    g_ptr_array_index(records, i);
		enum prog_table_result applied = PROG_TABLE_INVALID;

		if (record->kind == PROG_RECORD_EXPORT_HEAD &&
		    held->table->epoch > 0 && held->table->epoch < epoch &&
		    held->fetched != epoch) {
			result.outcome = REPLICA_FETCH_FIRST;
			break;
		}
		if (record->epoch == epoch)
			applied = prog_table_apply(held->table, record);
		if (applied == PROG_TABLE_GAP) {
			result.outcome = REPLICA_GAP;
			break;
		}
		if (applied == PROG_TABLE_INVALID) {
			result.outcome = REPLICA_INVALID;
			break;
		}
	}
	replicas->bytes += table_bytes(held->table);
	replicas->programs += table_programs(held->table);
	result.epoch = held->table->epoch;
	result.seq = held->table->seq;
	if (result.outcome == REPLICA_ACCEPTED && held->table->epoch != epoch &&
	    held->table->staged == NULL)
		result.outcome = REPLICA_GAP;
	return (result);
}

bool
replica_fetch(struct replica_set *replicas, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, GPtrArray **records)
{
	struct held_shard *held = held_shard_get(replicas, datacentre, shard);
	struct prog_table *empty;

	if (epoch < held->fence)
		return (false);
	held->fence = epoch;
	held->fetched = epoch;
	if (held->table != NULL) {
		*records = prog_table_export(held->table);
		return (true);
	}
	empty = prog_table_new(datacentre, shard, NULL);
	*records = prog_table_export(empty);
	prog_table_free(empty);
	return (true);
}

bool
replica_is_held(
    const struct replica_set *replicas, uint8_t datacentre, uint16_t shard)
{
	const struct held_shard *held =
	    held_shard_find(replicas, datacentre, shard);

	return (held != NULL && held->table != NULL && held->table->epoch > 0);
}

void
replica_drop(struct replica_set *replicas, uint8_t datacentre, uint16_t shard)
{
	struct held_shard *held = held_shard_find(replicas, datacentre, shard);

	if (held == NULL || held->table == NULL)
		return;
	replicas->bytes -= table_bytes(held->table);
	replicas->programs -= table_programs(held->table);
	prog_table_free(held->table);
	held->table = NULL;
}

size_t
replica_bytes(const struct replica_set *replicas)
{
	return (replicas->bytes);
}

size_t
replica_programs(const struct replica_set *replicas)
{
	return (replicas->programs);
}
