/*
 * repl: driver of replication.
 *
 * Sends the records of the shards owned here to their replica holders, keeps
 * the replicas held for others, and recovers shards from their holders after a
 * claim or handover.
 */
#ifndef SAMPHIRESHED_RPL_H
#define SAMPHIRESHED_RPL_H

#include "daemon/state.h"
#include "program/program.h"

struct rpl *rpl_open(struct dmn *daemon);
void rpl_close(struct rpl *repl);

/*
 * rpl_recover(repl, id, epoch, sources)
 *	Fetch the state of a shard whose claim or handover has become effective
 *	from its sources, then call prog_recover_end() and own_recovery_done().
 */
void rpl_recover(struct rpl *repl, struct own_shard_id id, uint64_t epoch,
    const uint64_t sources[OWN_SOURCES]);

/*
 * rpl_prepare(repl, id, epoch, successor)
 *	Wait for the calls in progress and send the successor the whole state
 *	of the shard, then call own_handover_prepared().
 */
void rpl_prepare(struct rpl *repl, struct own_shard_id id, uint64_t epoch,
    uint64_t successor);

/*
 * rpl_copy(repl, id, epoch)
 *	Update the holders from the shard map, and send the state to new ones.
 */
void rpl_copy(struct rpl *repl, struct own_shard_id id, uint64_t epoch);

/*
 * rpl_wait(repl, id, on_acked, arg)
 *	Call on_acked once the records emitted for the shard so far are
 *	acknowledged by every connected holder and by at least copies_min; or
 *	with false after a timeout or if the shard is no longer owned here.
 *	Never called from within rpl_wait().
 */
typedef void rpl_on_acked(bool acked, void *arg);
void rpl_wait(struct rpl *repl, struct own_shard_id id, rpl_on_acked *on_acked,
    void *arg);

/* rpl_record(repl, record): the hook on_record of module prg. */
void rpl_record(struct rpl *repl, const struct prog_record *record);

/* Handlers of REPLICATE and FETCH. */
void rpl_replicate(struct rpl *repl, struct pr_request *request,
    const struct peer_replicate_args *args);
void rpl_fetch(struct rpl *repl, struct pr_request *request,
    const struct peer_fetch_args *args);

#endif
