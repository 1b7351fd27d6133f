/*
 * forward: forwards requests from the entry instance to the owner.
 *
 * The entry instance sends FORWARD and receives the answer as STREAM messages.
 * The owner runs the call with a sink that sends these messages.
 */
#ifndef SAMPHIRESHED_FORWARD_H
#define SAMPHIRESHED_FORWARD_H

#include "daemon/state.h"
#include "gate/call.h"

struct forward_call;

struct forward *forward_open(struct daemon *dmn);
void forward_close(struct forward *forward);

/*
 * forward_start(forward, session, request, sink, arg)
 *	Run a request at the instance with the given session.  It ends with
 *	VD_NOT_RUN and VD_OWNER_UNREACHABLE if it did not reach the instance,
 *	with VD_NOT_RUN and VD_NOT_OWNER if the instance does not own the
 *	shard, and with VD_MAYBE and VD_OWNER_LOST if the instance was lost
 *	while the call ran.  No callback is called from within forward_start().
 * RETURN VALUES
 *	A handle, valid until sink->end returns or forward_cancel().
 */
struct forward_call *forward_start(struct forward *forward, uint64_t session,
    const struct call_request *request, const struct call_sink *sink,
    void *arg);

/* forward_cancel(call): cancel the call; its caller disconnected. */
void forward_cancel(struct forward_call *call);

/* forward_count(forward): calls that run here for other instances. */
unsigned forward_count(const struct forward *forward);

/* Handlers of FORWARD, CANCEL and STREAM. */
void forward_on_forward(struct forward *forward, struct rpc_request *request,
    const struct peer_forward_args *args);
void forward_on_cancel(struct forward *forward, struct rpc_request *request,
    const struct peer_cancel_args *args);
void forward_on_stream(struct forward *forward, struct rpc_request *request,
    const struct peer_stream_args *args);

#endif
