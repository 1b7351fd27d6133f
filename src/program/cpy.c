#include "program/cpy.h"

#include "program/tbl.h"

struct replica {
	uint64_t fence; /* newest epoch known; older ones are refused */
	uint64_t fetched; /* epoch of the last owner that fetched the state */
	struct tbl *tbl; /* nil: nothing is held */
};

struct cpy {
	GHashTable *replicas; /* datacentre << 16 | shard -> struct replica */
	size_t bytes;
	size_t programs;
};

static void
replica_free(void *data)
{
	struct replica *replica = data;

	tbl_free(replica->tbl);
	g_free(replica);
}

struct cpy *
cpy_new(void)
{
	struct cpy *cpy = g_new0(struct cpy, 1);

	cpy->replicas = g_hash_table_new_full(NULL, NULL, NULL, replica_free);
	return (cpy);
}

void
cpy_free(struct cpy *cpy)
{
	if (cpy == NULL)
		return;
	g_hash_table_unref(cpy->replicas);
	g_free(cpy);
}

static void *
replica_key(uint8_t datacentre, uint16_t shard)
{
	return (GUINT_TO_POINTER((guint)datacentre << 16 | shard));
}

static struct replica *
replica_find(const struct cpy *cpy, uint8_t datacentre, uint16_t shard)
{
	return (
	    g_hash_table_lookup(cpy->replicas, replica_key(datacentre, shard)));
}

static struct replica *
replica_get(struct cpy *cpy, uint8_t datacentre, uint16_t shard)
{
	struct replica *replica = replica_find(cpy, datacentre, shard);

	if (replica == NULL) {
		replica = g_new0(struct replica, 1);
		g_hash_table_insert(
		    cpy->replicas, replica_key(datacentre, shard), replica);
	}
	return (replica);
}

/* Memory of a table, with an export that is not complete. */
static size_t
table_bytes(const struct tbl *tbl)
{
	if (tbl == NULL)
		return (0);
	return (tbl->bytes + (tbl->staged != NULL ? tbl->staged->bytes : 0));
}

static size_t
table_programs(const struct tbl *tbl)
{
	return (tbl == NULL ? 0 : g_hash_table_size(tbl->programs));
}

struct cpy_result
cpy_put(struct cpy *cpy, uint8_t datacentre, uint16_t shard, uint64_t epoch,
    const GPtrArray *records)
{
	struct replica *replica = replica_get(cpy, datacentre, shard);
	struct cpy_result result = {.outcome = CPY_ACCEPTED};

	if (epoch < replica->fence) {
		result.outcome = CPY_REFUSED;
		result.epoch = replica->fence;
		return (result);
	}
	replica->fence = epoch;
	if (replica->tbl == NULL)
		replica->tbl = tbl_new(datacentre, shard, NULL);
	cpy->bytes -= table_bytes(replica->tbl);
	cpy->programs -= table_programs(replica->tbl);
	for (guint i = 0; i < records->len; i++) {
		const struct prg_record *record = g_ptr_array_index(records, i);
		enum tbl_result applied = TBL_BAD;

		if (record->kind == PRG_HEAD && replica->tbl->epoch > 0 &&
		    replica->tbl->epoch < epoch && replica->fetched != epoch) {
			result.outcome = CPY_FETCH_FIRST;
			break;
		}
		if (record->epoch == epoch)
			applied = tbl_apply(replica->tbl, record);
		if (applied == TBL_GAP) {
			result.outcome = CPY_GAP;
			break;
		}
		if (applied == TBL_BAD) {
			result.outcome = CPY_BAD;
			break;
		}
	}
	cpy->bytes += table_bytes(replica->tbl);
	cpy->programs += table_programs(replica->tbl);
	result.epoch = replica->tbl->epoch;
	result.seq = replica->tbl->seq;
	if (result.outcome == CPY_ACCEPTED && replica->tbl->epoch != epoch &&
	    replica->tbl->staged == NULL)
		result.outcome = CPY_GAP;
	return (result);
}

bool
cpy_fetch(struct cpy *cpy, uint8_t datacentre, uint16_t shard, uint64_t epoch,
    GPtrArray **records)
{
	struct replica *replica = replica_get(cpy, datacentre, shard);
	struct tbl *empty;

	if (epoch < replica->fence)
		return (false);
	replica->fence = epoch;
	replica->fetched = epoch;
	if (replica->tbl != NULL) {
		*records = tbl_export(replica->tbl);
		return (true);
	}
	empty = tbl_new(datacentre, shard, NULL);
	*records = tbl_export(empty);
	tbl_free(empty);
	return (true);
}

bool
cpy_holds(const struct cpy *cpy, uint8_t datacentre, uint16_t shard)
{
	const struct replica *replica = replica_find(cpy, datacentre, shard);

	return (
	    replica != NULL && replica->tbl != NULL && replica->tbl->epoch > 0);
}

void
cpy_drop(struct cpy *cpy, uint8_t datacentre, uint16_t shard)
{
	struct replica *replica = replica_find(cpy, datacentre, shard);

	if (replica == NULL || replica->tbl == NULL)
		return;
	cpy->bytes -= table_bytes(replica->tbl);
	cpy->programs -= table_programs(replica->tbl);
	tbl_free(replica->tbl);
	replica->tbl = NULL;
}

size_t
cpy_bytes(const struct cpy *cpy)
{
	return (cpy->bytes);
}

size_t
cpy_programs(const struct cpy *cpy)
{
	return (cpy->programs);
}
