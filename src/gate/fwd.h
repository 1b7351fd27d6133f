/*
 * forward: forwards requests from the entry instance to the owner.
 *
 * The entry instance sends FORWARD and receives the answer as STREAM messages.
 * The owner runs the call with a sink that sends these messages.
 */
#ifndef SAMPHIRESHED_FWD_H
#define SAMPHIRESHED_FWD_H

#include "daemon/state.h"
#include "gate/call.h"

struct fwd_call;

struct fwd *fwd_open(struct dmn *dmn);
void fwd_close(struct fwd *forward);

/*
 * fwd_start(forward, session, request, sink, arg)
 *	Run a request at the instance with the given session.  It ends with
 *	VD_NOT_RUN and VD_OWNER_UNREACHABLE if it did not reach the instance,
 *	with VD_NOT_RUN and VD_NOT_OWNER if the instance does not own the
 *	shard, and with VD_MAYBE and VD_OWNER_LOST if the instance was lost
 *	while the call ran.  No callback is called from within fwd_start().
 * RETURN VALUES
 *	A handle, valid until sink->end returns or fwd_cancel().
 */
struct fwd_call *fwd_start(struct fwd *forward, uint64_t session,
    const struct call_request *request, const struct call_sink *sink,
    void *arg);

/* fwd_cancel(call): cancel the call; its caller disconnected. */
void fwd_cancel(struct fwd_call *call);

/* fwd_count(forward): calls that run here for other instances. */
unsigned fwd_count(const struct fwd *forward);

/* Handlers of FORWARD, CANCEL and STREAM. */
void fwd_forward(struct fwd *forward, struct pr_request *request,
    const struct peer_forward_args *args);
void fwd_cancelled(struct fwd *forward, struct pr_request *request,
    const struct peer_cancel_args *args);
void fwd_stream(struct fwd *forward, struct pr_request *request,
    const struct peer_stream_args *args);

#endif
