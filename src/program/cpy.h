/*
 * cpy: replicas of programs that this instance holds for other owners.
 *
 * Records are folded into a compact state for each program, so that the
 * memory in use is history plus intents and not a log of records.
 */
#ifndef SAMPHIRESHED_CPY_H
#define SAMPHIRESHED_CPY_H

#include "program/prg.h"

struct cpy;

struct cpy *cpy_new(void);
void cpy_free(struct cpy *cpy);

enum cpy_outcome {
	CPY_ACCEPTED, /* all records up to seq are held */
	CPY_REFUSED, /* an older epoch: the sender is no longer the owner */
	/*
	 * The holder has state of an older epoch that the owner may lack, and
	 * an export would overwrite it: fetch it first.
	 */
	CPY_FETCH_FIRST,
	CPY_GAP, /* records are missing after seq: send a full export */
	/*
	 * A record is malformed or does not fit the state.  What came before
	 * it is held; drop the state and ask for a full export.
	 */
	CPY_BAD
};

struct cpy_result {
	enum cpy_outcome outcome;
	uint64_t epoch; /* of the state held; if REFUSED, the newest known */
	uint64_t seq; /* last record held */
};

/*
 * cpy_put(cpy, datacentre, shard, epoch, records)
 *	Take records (struct prg_record *) from the shard's owner, or an export.
 *	Records already held are skipped.  While an export is incomplete the
 *	result is CPY_ACCEPTED with the old seq, and the old state is kept.  A
 *	new epoch starts with its PRG_RECOVER record, which is accepted if the
 *	state held is the one it continues; otherwise the result is CPY_GAP.
 *	The owner counts records up to seq as acknowledged only if outcome is
 *	CPY_ACCEPTED and epoch is its own, and waits only for holders that the
 *	shard map names.  What is not acknowledged when a link breaks is sent
 *	again.  A holder is named in the map after it holds the whole state.
 */
struct cpy_result cpy_put(struct cpy *cpy, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, const GPtrArray *records);

/*
 * cpy_fetch(cpy, datacentre, shard, epoch, records)
 *	Return the state held, PRG_HEAD first, for the new owner at epoch, and
 *	refuse records of older epochs from now on.
 * RETURN VALUES
 *	true with *records to be freed by g_ptr_array_unref(); the list holds a
 *	PRG_HEAD with seq 0 if nothing is held.  false if a newer epoch is
 *	known here.
 */
bool cpy_fetch(struct cpy *cpy, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, GPtrArray **records);

/*
 * cpy_holds(cpy, datacentre, shard)
 *	Whether any state of the shard is held: only then does an answer to
 *	FETCH help to prove the state.  A restarted holder holds nothing.
 */
bool cpy_holds(const struct cpy *cpy, uint8_t datacentre, uint16_t shard);

/*
 * cpy_drop(cpy, datacentre, shard)
 *	Forget the state.  The newest epoch is remembered, so that a former
 *	owner is still refused.
 */
void cpy_drop(struct cpy *cpy, uint8_t datacentre, uint16_t shard);

/*
 * cpy_bytes(cpy), cpy_programs(cpy)
 *	Memory of the states held in bytes, as counted by the module, and the
 *	number of programs.  Both are kept up to date by each change.
 */
size_t cpy_bytes(const struct cpy *cpy);
size_t cpy_programs(const struct cpy *cpy);

#endif
