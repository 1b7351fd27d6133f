#include "program/cpy.h"

#include "program/tbl.h"

struct held_shard {
	uint64_t fence; /* newest epoch known; older epochs are refused */
	uint64_t fetched; /* epoch of the last owner that fetched the state */
	struct tbl *table; /* nil: nothing is held */
};

struct cpy {
	GHashTable *shards; /* datacentre << 16 | shard -> struct held_shard */
	size_t bytes;
	size_t programs;
};

static void
held_shard_free(void *data)
{
	struct held_shard *held = data;

	tbl_free(held->table);
	g_free(held);
}

struct cpy *
cpy_new(void)
{
	struct cpy *replicas = g_new0(struct cpy, 1);

	replicas->shards =
	    g_hash_table_new_full(NULL, NULL, NULL, held_shard_free);
	return (replicas);
}

void
cpy_free(struct cpy *replicas)
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
held_shard_find(const struct cpy *replicas, uint8_t datacentre, uint16_t shard)
{
	return (g_hash_table_lookup(
	    replicas->shards, held_shard_key(datacentre, shard)));
}

static struct held_shard *
held_shard_get(struct cpy *replicas, uint8_t datacentre, uint16_t shard)
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
table_bytes(const struct tbl *table)
{
	if (table == NULL)
		return (0);
	return (
	    table->bytes + (table->staged != NULL ? table->staged->bytes : 0));
}

static size_t
table_programs(const struct tbl *table)
{
	return (table == NULL ? 0 : g_hash_table_size(table->programs));
}

struct cpy_result
cpy_put(struct cpy *replicas, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, const GPtrArray *records)
{
	struct held_shard *held = held_shard_get(replicas, datacentre, shard);
	struct cpy_result result = {.outcome = CPY_ACCEPTED};

	if (epoch < held->fence) {
		result.outcome = CPY_REFUSED;
		result.epoch = held->fence;
		return (result);
	}
	held->fence = epoch;
	if (held->table == NULL)
		held->table = tbl_new(datacentre, shard, NULL);
	replicas->bytes -= table_bytes(held->table);
	replicas->programs -= table_programs(held->table);
	for (guint i = 0; i < records->len; i++) {
		const struct prg_record *record = g_ptr_array_index(records, i);
		enum tbl_result applied = TBL_BAD;

		if (record->kind == PRG_HEAD && held->table->epoch > 0 &&
		    held->table->epoch < epoch && held->fetched != epoch) {
			result.outcome = CPY_FETCH_FIRST;
			break;
		}
		if (record->epoch == epoch)
			applied = tbl_apply(held->table, record);
		if (applied == TBL_GAP) {
			result.outcome = CPY_GAP;
			break;
		}
		if (applied == TBL_BAD) {
			result.outcome = CPY_BAD;
			break;
		}
	}
	replicas->bytes += table_bytes(held->table);
	replicas->programs += table_programs(held->table);
	result.epoch = held->table->epoch;
	result.seq = held->table->seq;
	if (result.outcome == CPY_ACCEPTED && held->table->epoch != epoch &&
	    held->table->staged == NULL)
		result.outcome = CPY_GAP;
	return (result);
}

bool
cpy_fetch(struct cpy *replicas, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, GPtrArray **records)
{
	struct held_shard *held = held_shard_get(replicas, datacentre, shard);
	struct tbl *empty;

	if (epoch < held->fence)
		return (false);
	held->fence = epoch;
	held->fetched = epoch;
	if (held->table != NULL) {
		*records = tbl_export(held->table);
		return (true);
	}
	empty = tbl_new(datacentre, shard, NULL);
	*records = tbl_export(empty);
	tbl_free(empty);
	return (true);
}

bool
cpy_holds(const struct cpy *replicas, uint8_t datacentre, uint16_t shard)
{
	const struct held_shard *held =
	    held_shard_find(replicas, datacentre, shard);

	return (held != NULL && held->table != NULL && held->table->epoch > 0);
}

void
cpy_drop(struct cpy *replicas, uint8_t datacentre, uint16_t shard)
{
	struct held_shard *held = held_shard_find(replicas, datacentre, shard);

	if (held == NULL || held->table == NULL)
		return;
	replicas->bytes -= table_bytes(held->table);
	replicas->programs -= table_programs(held->table);
	tbl_free(held->table);
	held->table = NULL;
}

size_t
cpy_bytes(const struct cpy *replicas)
{
	return (replicas->bytes);
}

size_t
cpy_programs(const struct cpy *replicas)
{
	return (replicas->programs);
}
