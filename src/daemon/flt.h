/*
 * flt: driver of the fleet's membership and of shard ownership.
 *
 * Follows the stream "fleet", sends and answers heartbeats, reads the
 * platform's member list, and executes the actions that module own decides.
 */
#ifndef SAMPHIRESHED_FLT_H
#define SAMPHIRESHED_FLT_H

#include "daemon/state.h"

struct flt *flt_open(struct dmn *dmn);
void flt_close(struct flt *flt);

/*
 * flt_is_ready(flt)
 *	Whether the shard map is complete and this session is live in it.
 */
bool flt_is_ready(const struct flt *flt);

/*
 * flt_is_first(flt)
 *	Whether this is the live session with the lowest number, which appends
 *	the snapshots.  It may be true of two sessions for a while; a second
 *	snapshot is harmless.
 */
bool flt_is_first(const struct flt *flt);

/* flt_stop(flt): begin handing over every shard. */
void flt_stop(struct flt *flt);

/*
 * flt_is_stopped(flt)
 *	Whether this session has no shard left, or cannot hand over what is
 *	left: the log is unreachable, or no other session of the data centre is
 *	live.
 */
bool flt_is_stopped(const struct flt *flt);

/*
 * flt_leave(flt)
 *	Release the remaining shards and close the session in the log.  Call it
 *	after flt_is_stopped() and the end of all calls, until it returns true.
 */
bool flt_leave(struct flt *flt);

/*
 * flt_state(flt, state)
 *	Fill in the state that a heartbeat carries.  The strings and arrays are
 *	valid until the next call.
 */
void flt_state(struct flt *flt, struct peer_state *state);

/*
 * flt_sync(flt, args, reply)
 *	Answer a SYNC of the stream "fleet".  What the reply points to is valid
 *	until the next call.
 */
void flt_sync(struct flt *flt, const struct peer_sync_args *args,
    struct peer_sync_reply *reply);

/* flt_heartbeat(flt, request, args): handler of HEARTBEAT. */
void flt_heartbeat(struct flt *flt, struct pr_request *request,
    const struct peer_heartbeat_args *args);

#endif
