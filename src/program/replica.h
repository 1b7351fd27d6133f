/*
 * replica: replicas of programs that this instance holds for other owners.
 *
 * Records are applied to a compact state for each program rather than kept as
 * a log, so that memory grows with history and intents only.
 */
#ifndef SAMPHIRESHED_REPLICA_H
#define SAMPHIRESHED_REPLICA_H

#include "program/program.h"

struct replica_set;

struct replica_set *replica_set_new(void);
void replica_set_free(struct replica_set *replicas);

enum replica_outcome {
	REPLICA_ACCEPTED, /* all records up to seq are held */
	REPLICA_REFUSED, /* stale epoch: the sender is no longer the owner */
	/*
	 * The holder has state of an older epoch, which an export would
	 * overwrite and which the owner may lack: fetch it first.
	 */
	REPLICA_FETCH_FIRST,
	REPLICA_GAP, /* records are missing after seq: send a full export */
	/*
	 * A record is malformed or invalid in this state.  The records before
	 * it were applied; drop the state and request a full export.
	 */
	REPLICA_INVALID
};

struct replica_result {
	enum replica_outcome outcome;
	uint64_t epoch; /* of the state held; the newest known if refused */
	uint64_t seq; /* last record held */
};

/*
 * replica_apply(replicas, datacentre, shard, epoch, records)
 *	Apply records (struct prog_record *) or an export from the shard's
 *	owner.  Records already held are skipped.  While an export is
 *	incomplete, the result is REPLICA_ACCEPTED with the old seq, and the old
 *	state is kept.  A new epoch starts with its PROG_RECORD_RECOVER record,
 *	which is accepted if it continues the state held; otherwise the result
 *	is REPLICA_GAP.  The owner counts records up to seq as acknowledged only
 *	if outcome is REPLICA_ACCEPTED and epoch is its own, and waits only for
 *	the holders that the shard map names.  Records not acknowledged when a
 *	link breaks are sent again.  A holder is added to the map once it holds
 *	the whole state.
 */
struct replica_result
replica_apply(struct replica_set *replicas, uint8_t datacentre, uint16_t shard,
    uint64_t epoch, const GPtrArray *records);

/*
 * replica_fetch(replicas, datacentre, shard, epoch, records)
 *	Return the state held, PROG_RECORD_EXPORT_HEAD first, to the new owner
 *	at epoch, and refuse records of older epochs from now on.
 * RETURN VALUES
 *	true, with *records to be freed by g_ptr_array_unref(); if nothing is
 *	held, the list is a single PROG_RECORD_EXPORT_HEAD with seq 0.  false if
 *	a newer epoch is known here.
 */
bool replica_fetch(struct replica_set *replicas, uint8_t datacentre,
    uint16_t shard, uint64_t epoch, GPtrArray **records);

/*
 * replica_is_held(replicas, datacentre, shard)
 *	Whether any state of the shard is held.  Only then does the result of
 *	a fetch help to prove the state: a restarted holder holds nothing.
 */
bool replica_is_held(
    const struct replica_set *replicas, uint8_t datacentre, uint16_t shard);

/*
 * replica_drop(replicas, datacentre, shard)
 *	Free the state.  The newest epoch is kept, so that a former owner is
 *	still refused.
 */
void
replica_drop(struct replica_set *replicas, uint8_t datacentre, uint16_t shard);

/*
 * replica_bytes(replicas), replica_programs(replicas)
 *	The memory of the states held, in bytes as counted by the module, and
 *	the number of programs.  Both are constant-time.
 */
size_t replica_bytes(const struct replica_set *replicas);
size_t replica_programs(const struct replica_set *replicas);

#endif
