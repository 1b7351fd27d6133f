/*
 * store: interface of the persistent key-value store.
 *
 * The deployment's code implements this table of functions; tests use a store
 * in memory.  A record is found by its key within a partition, which is a
 * slot of a space.  Records of a partition are ordered: each append gets an
 * offset.  An append may state the end offset that it expects, so that a
 * change based on an outdated read is refused.
 */
#ifndef SAMPHIRESHED_STORE_H
#define SAMPHIRESHED_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

enum store_space {
	STORE_TURNS, /* histories of programs: turns, events of streams */
	STORE_BUDGETS, /* token grants, one record per program */
	STORE_MEMBERS, /* addresses of instances, one record per instance */
	STORE_STREAMS, /* software versions of streams, one record each */
	STORE_ROLLOUTS, /* plans of software versions, one record per service */
	STORE_SPACE_COUNT
};

/*
 * Slots of STORE_TURNS and of STORE_BUDGETS each: a read returns a whole slot,
 * so few records should share one.
 */
#define STORE_SLOT_COUNT 480
/* Slots of STORE_STREAMS, whose records are small and few. */
#define STORE_STREAM_SLOT_COUNT 96

struct store_partition {
	enum store_space space;
	/* less than STORE_SLOT_COUNT or STORE_STREAM_SLOT_COUNT; else 0 */
	uint32_t slot;
};

/*
 * Largest time that a record may hold, in ms since 1970.  A record with a
 * negative or a later one was not written by an instance: it isn't read, and
 * it doesn't expire.
 */
#define STORE_TIME_MAX ((uint64_t)1 << 50)

/* Longest key of a record, in bytes. */
#define STORE_KEY_MAX 255

struct store_record {
	const char *key; /* at most STORE_KEY_MAX bytes */
	const void *value; /* nil: delete the key */
	size_t len;
};

enum store_status {
	STORE_OK,
	STORE_CONFLICT, /* the partition's end differs from the expected one */
	STORE_REFUSED, /* the store did nothing */
	STORE_UNKNOWN /* no answer: it may have taken effect, or may later */
};

struct store_reply {
	enum store_status status;
	int64_t end; /* STORE_OK, STORE_CONFLICT: the partition's end offset */
	const struct store_record *records; /* of a read */
	size_t count;
	unsigned unreadable; /* records that a read left out */
};

typedef void store_done_cb(void *arg, const struct store_reply *reply);

#define STORE_ANY_END ((int64_t)-1)

/*
 * append(store, partition, end, records, count, timeout, done, arg)
 *	Append all records or none, if the partition's end offset is end, or
 *	unconditionally with STORE_ANY_END.
 * read(store, partition, timeout, done, arg)
 *	Read the newest record of each key, and the partition's end offset.
 *
 * timeout is the longest time without progress; a long answer that makes some
 * may take several times as long.
 * done is called once, asynchronously, unless the store is closed first.
 */
struct store_ops {
	void (*append)(void *impl, const struct store_partition *partition,
	    int64_t end, const struct store_record *records, size_t count,
	    clk_ms timeout, store_done_cb *done, void *arg);
	void (*read)(void *impl, const struct store_partition *partition,
	    clk_ms timeout, store_done_cb *done, void *arg);
};

struct store {
	const struct store_ops *ops;
	void *impl;
	/* Bytes of a record with its key, and of all of an append; 0: any. */
	size_t record_max;
	size_t append_max;
};

/*
 * store_slot(key), store_stream_slot(key)
 *	Return the slot of a key, the same on every instance; the latter in
 *	STORE_STREAMS.
 */
uint32_t store_slot(const char *key);
uint32_t store_stream_slot(const char *key);

/*
 * store_reply_find(reply, key)
 *	Return the record with that key, or nil.
 */
const struct store_record *
store_reply_find(const struct store_reply *reply, const char *key);

#endif
