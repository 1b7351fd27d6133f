/*
 * repl: driver of replication.
 *
 * Sends the records of the shards owned here to their replica holders, keeps
 * the replicas held for others, and recovers shards from their holders after a
 * claim or handover.
 */
#ifndef SAMPHIRESHED_REPL_H
#define SAMPHIRESHED_REPL_H

#include "daemon/state.h"
#include "program/program.h"

struct repl *repl_open(struct daemon *daemon);
void repl_close(struct repl *repl);

/*
 * repl_shard_recover(repl, id, epoch, sources)
 *	Fetch the state of a shard whose claim or handover has become effective
 *	from its sources, then call prog_recover_end() and own_recovery_done().
 */
void repl_shard_recover(struct repl *repl, struct own_shard_id id,
    uint64_t epoch, const uint64_t sources[OWN_SOURCES]);

/*
 * repl_handover_prepare(repl, id, epoch, successor)
 *	Wait for the calls in progress and send the successor the whole state
 *	of the shard, then call own_handover_prepared().
 */
void repl_handover_prepare(struct repl *repl, struct own_shard_id id,
    uint64_t epoch, uint64_t successor);

/*
 * repl_holders_update(repl, id, epoch)
 *	Update the holders from the shard map, and send the state to new ones.
 */
void
repl_holders_update(struct repl *repl, struct own_shard_id id, uint64_t epoch);

/*
 * repl_ack_wait(repl, id, on_acked, arg)
 *	Call on_acked once the records emitted for the shard so far are
 *	acknowledged by every connected holder and by at least copies_min; or
 *	with false after a timeout or if the shard is no longer owned here.
 *	Never called from within repl_ack_wait().
 */
typedef void repl_ack_cb(bool acked, void *arg);
void repl_ack_wait(struct repl *repl, struct own_shard_id id,
    repl_ack_cb *on_acked, void *arg);

/* repl_record_add(repl, record): the hook on_record of module program. */
void repl_record_add(struct repl *repl, const struct prog_record *record);

/* Handlers of REPLICATE and FETCH. */
void repl_replicate_handle(struct repl *repl, struct rpc_request *request,
    const struct peer_replicate_args *args);
void repl_fetch_handle(struct repl *repl, struct rpc_request *request,
    const struct peer_fetch_args *args);

#endif
