/*
 * store: interface of the persistent key-value store.
 *
 * The deployment's code implements this table of functions; tests use a store
 * in memory.  A record is found by its key within a partition, which is a
 * slot of a space.  Records of a partition are ordered: each append gets an
 * offset.  An append may state the end offset that it expects, so that a
 * change based on an outdated read is refused.
 */
#ifndef SAMPHIRESHED_STO_H
#define SAMPHIRESHED_STO_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

enum sto_space {
	STO_TURNS, /* histories of programs, one record per turn */
	STO_BUDGETS, /* token grants, one record per program */
	STO_MEMBERS, /* addresses of instances, one record per instance */
	STO_SPACES
};

/*
 * Slots of STO_TURNS and of STO_BUDGETS each: a read returns a whole slot, so
 * few records should share one.
 */
#define STO_SLOTS 480

struct sto_place {
	enum sto_space space;
	uint32_t slot; /* less than STO_SLOTS; 0 in STO_MEMBERS */
};

struct sto_record {
	const char *key; /* at most 255 bytes */
	const void *value; /* nil: delete the key */
	size_t len;
};

enum sto_status {
	STO_OK,
	STO_CONFLICT, /* the partition's end differs from the expected one */
	STO_REFUSED, /* the store did nothing */
	STO_UNKNOWN /* no answer: the call may take effect, also later */
};

struct sto_reply {
	enum sto_status status;
	int64_t end; /* STO_OK, STO_CONFLICT: the partition's end offset */
	const struct sto_record *records; /* of a read */
	size_t count;
};

typedef void sto_done(void *arg, const struct sto_reply *reply);

#define STO_ANY_END ((int64_t)-1)

/*
 * append(store, partition, end, records, count, timeout, done, arg)
 *	Append all records or none, if the partition's end offset is end, or
 *	unconditionally with STO_ANY_END.
 * read(store, partition, timeout, done, arg)
 *	Read the newest record of each key, and the partition's end offset.
 *
 * done is called once, asynchronously, unless the store is closed first.
 */
struct sto_ops {
	void (*append)(void *impl, const struct sto_place *partition,
	    int64_t end, const struct sto_record *records, size_t count,
	    clk_ms timeout, sto_done *done, void *arg);
	void (*read)(void *impl, const struct sto_place *partition,
	    clk_ms timeout, sto_done *done, void *arg);
};

struct sto {
	const struct sto_ops *ops;
	void *store;
};

/* sto_slot(key): return the slot of a key, the same on every instance. */
uint32_t sto_slot(const char *key);

/*
 * sto_find(reply, key)
 *	Return the record with that key, or nil.
 */
const struct sto_record *
sto_find(const struct sto_reply *reply, const char *key);

#endif
