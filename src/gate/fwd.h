/*
 * fwd: forwards requests between the entry instance and the owner.
 *
 * The entry instance sends FORWARD and gets the answer as STREAM messages;
 * the owner runs the call with a sink that sends them.
 */
#ifndef SAMPHIRESHED_FWD_H
#define SAMPHIRESHED_FWD_H

#include "daemon/state.h"
#include "gate/call.h"

struct fwd_call;

struct fwd *fwd_open(struct dmn *dmn);
void fwd_close(struct fwd *fwd);

/*
 * fwd_start(fwd, session, request, sink, arg)
 *	Run a request at the instance with the given session.  A request that
 *	did not reach the owner, or that the owner does not own, ends with
 *	VD_NOT_RUN and VD_OWNER_UNREACHABLE or VD_NOT_OWNER; one whose owner was
 *	lost in progress with VD_MAYBE and VD_OWNER_LOST.  The sink is never
 *	called from within fwd_start().
 * RETURN VALUES
 *	A handle, valid until sink->end returns or fwd_cancel().
 */
struct fwd_call *
fwd_start(struct fwd *fwd, uint64_t session, const struct call_request *request,
    const struct call_sink *sink, void *arg);

/* fwd_cancel(call): the caller has gone. */
void fwd_cancel(struct fwd_call *call);

/* fwd_count(fwd): calls run here for other instances. */
unsigned fwd_count(const struct fwd *fwd);

/* Handlers of FORWARD, CANCEL and STREAM. */
void fwd_forward(struct fwd *fwd, struct pr_request *request,
    const struct peer_forward_args *args);
void fwd_cancelled(struct fwd *fwd, struct pr_request *request,
    const struct peer_cancel_args *args);
void fwd_stream(struct fwd *fwd, struct pr_request *request,
    const struct peer_stream_args *args);

#endif
