/*
 * cluster: driver of the fleet's membership and of shard ownership.
 *
 * Follows the stream "fleet", sends and answers heartbeats, reads the
 * platform's member list, and executes the actions that module own decides.
 */
#ifndef SAMPHIRESHED_CLUSTER_H
#define SAMPHIRESHED_CLUSTER_H

#include "daemon/state.h"

struct cluster *cluster_open(struct daemon *daemon);
void cluster_close(struct cluster *cluster);

/*
 * cluster_is_ready(cluster)
 *	Whether the shard map is complete and this session is live in it.
 */
bool cluster_is_ready(const struct cluster *cluster);

/*
 * cluster_is_snapshot_writer(cluster)
 *	Whether this is the live session with the lowest number, which appends
 *	the snapshots.  It may be true of two sessions for a while; a second
 *	snapshot is harmless.
 */
bool cluster_is_snapshot_writer(const struct cluster *cluster);

/* cluster_stop(cluster): begin handing over every shard. */
void cluster_stop(struct cluster *cluster);

/*
 * cluster_is_stopped(cluster)
 *	Whether this session has no shard left, or cannot hand over what is
 *	left: the log is unreachable, or no other session of the data centre is
 *	live.
 */
bool cluster_is_stopped(const struct cluster *cluster);

/*
 * cluster_leave(cluster)
 *	Release the remaining shards and close the session in the log.  Call
 *	it after cluster_is_stopped() and the end of all calls, until it returns
 *	true.
 */
bool cluster_leave(struct cluster *cluster);

/*
 * cluster_state_fill(cluster, state)
 *	Fill in the state that a heartbeat carries.  The strings and arrays are
 *	valid until the next call.
 */
void cluster_state_fill(struct cluster *cluster, struct peer_state *state);

/*
 * cluster_sync_handle(cluster, args, reply)
 *	Answer a SYNC of the stream "fleet".  What the reply points to is valid
 *	until the next call.
 */
void cluster_sync_handle(struct cluster *cluster,
    const struct peer_sync_args *args, struct peer_sync_reply *reply);

/*
 * cluster_heartbeat_handle(cluster, request, args)
 *	Handler of HEARTBEAT.
 */
void cluster_heartbeat_handle(struct cluster *cluster,
    struct rpc_request *request, const struct peer_heartbeat_args *args);

#endif
