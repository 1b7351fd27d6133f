/*
 * cluster: driver of the fleet's membership and of shard ownership.
 *
 * Follows the stream "fleet", sends and answers heartbeats, reads the
 * platform's member list, and executes the actions that module own decides.
 */
#ifndef SAMPHIRESHED_FLT_H
#define SAMPHIRESHED_FLT_H

#include "daemon/state.h"

struct flt *flt_open(struct dmn *daemon);
void flt_close(struct flt *cluster);

/*
 * flt_is_ready(cluster)
 *	Whether the shard map is complete and this session is live in it.
 */
bool flt_is_ready(const struct flt *cluster);

/*
 * flt_is_first(cluster)
 *	Whether this is the live session with the lowest number, which appends
 *	the snapshots.  It may be true of two sessions for a while; a second
 *	snapshot is harmless.
 */
bool flt_is_first(const struct flt *cluster);

/* flt_stop(cluster): begin handing over every shard. */
void flt_stop(struct flt *cluster);

/*
 * flt_is_stopped(cluster)
 *	Whether this session has no shard left, or cannot hand over what is
 *	left: the log is unreachable, or no other session of the data centre is
 *	live.
 */
bool flt_is_stopped(const struct flt *cluster);

/*
 * flt_leave(cluster)
 *	Release the remaining shards and close the session in the log.  Call
 *	it after flt_is_stopped() and the end of all calls, until it returns
 *	true.
 */
bool flt_leave(struct flt *cluster);

/*
 * flt_state(cluster, state)
 *	Fill in the state that a heartbeat carries.  The strings and arrays are
 *	valid until the next call.
 */
void flt_state(struct flt *cluster, struct peer_state *state);

/*
 * flt_sync(cluster, args, reply)
 *	Answer a SYNC of the stream "fleet".  What the reply points to is valid
 *	until the next call.
 */
void flt_sync(struct flt *cluster, const struct peer_sync_args *args,
    struct peer_sync_reply *reply);

/*
 * flt_heartbeat(cluster, request, args)
 *	Handler of HEARTBEAT.
 */
void flt_heartbeat(struct flt *cluster, struct pr_request *request,
    const struct peer_heartbeat_args *args);

#endif
