/*
 * sto: keyed records that outlive every process.
 *
 * The product meets its store behind this table of functions; the folder
 * that knows the deployment's store implements it, and tests use one in
 * memory.  A record is found by its key within a place: a space and a slot
 * of it.  Records of one place are ordered: each append gets an offset, and
 * an append may name the end that it expects, so that a change based on an
 * older reading is refused.
 */
#ifndef SAMPHIRESHED_STO_H
#define SAMPHIRESHED_STO_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

enum sto_space {
	STO_TURNS, /* histories of programs, a record a turn */
	STO_BUDGETS, /* token grants, a record a program */
	STO_MEMBERS, /* addresses of instances, a record an instance */
	STO_SPACES
};

/* Number of slots of STO_TURNS and of STO_BUDGETS: few records share one. */
#define STO_SLOTS 480

struct sto_place {
	enum sto_space space;
	uint32_t slot; /* under STO_SLOTS; 0 in STO_MEMBERS */
};

struct sto_record {
	const char *key; /* at most 255 bytes */
	const void *value; /* nil: drop the key */
	size_t len;
};

enum sto_status {
	STO_OK,
	STO_CONFLICT, /* the place has another end than expected */
	STO_REFUSED, /* nothing was done */
	STO_UNKNOWN /* no answer: it may have been done, or be done later */
};

struct sto_reply {
	enum sto_status status;
	int64_t end; /* STO_OK, STO_CONFLICT: the place's end */
	const struct sto_record *records; /* of a read */
	size_t count;
};

typedef void sto_done(void *arg, const struct sto_reply *reply);

#define STO_ANY_END ((int64_t)-1)

/*
 * append(store, place, end, records, count, timeout, done, arg)
 *	Append records, all or none, if the place ends at end, or anyhow with
 *	STO_ANY_END.
 * read(store, place, timeout, done, arg)
 *	Read the newest record of each key, and the place's end.
 *
 * done is called once, later, unless the store is closed first.
 */
struct sto_ops {
	void (*append)(void *store, const struct sto_place *place, int64_t end,
	    const struct sto_record *records, size_t count, clk_ms timeout,
	    sto_done *done, void *arg);
	void (*read)(void *store, const struct sto_place *place, clk_ms timeout,
	    sto_done *done, void *arg);
};

struct sto {
	const struct sto_ops *ops;
	void *store;
};

/* sto_slot(key): the slot of a key, the same at every instance. */
uint32_t sto_slot(const char *key);

/*
 * sto_find(reply, key)
 *	Return the record with that key, or nil.
 */
const struct sto_record *
sto_find(const struct sto_reply *reply, const char *key);

#endif
