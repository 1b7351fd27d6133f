/*
 * dispatch: runs calls at upstreams.
 *
 * Submits calls to the scheduler, runs them over HTTP at the upstream that it
 * chooses, and retries calls that did not run.  Updates the table of upstreams
 * with load reports, cache events and outcomes.
 */
#ifndef SAMPHIRESHED_DISPATCH_H
#define SAMPHIRESHED_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>

#include "daemon/state.h"
#include "lib/vd.h"

struct dispatch_call;

struct dispatch_request {
	bool is_service;
	const char *target; /* model, or name of the service */
	const char *organisation;
	const char *program; /* id, or "" */
	const char *urgency; /* "urgent", "normal", "batch" or "" */
	clk_ms program_created;
	const char *request_id;
	const char *traceparent;
	const char *method;
	const char *path; /* at the upstream, with query string */
	const char *content_type;
	const char *idempotency_key; /* passed on; "" if none */
	const void *body;
	size_t body_len;
	int64_t prompt_tokens;
	int64_t answer_tokens;
	bool repeatable; /* may be retried even if it may have run */
	clk_ms timeout; /* 0: default */
};

/*
 * Strings are valid only during the callback.  done is called exactly once,
 * unless the call is cancelled.
 */
struct dispatch_callbacks {
	void (*head)(int status, const char *content_type, void *arg);
	void (*data)(const void *data, size_t len, void *arg);
	/*
	 * vd is VD_OK if the whole reply arrived, whatever its status.
	 * upstream is the name of the last one that the call was sent to, or
	 * nil.
	 */
	void (*done)(const struct vd *vd, const char *upstream, void *arg);
};

struct dispatch *dispatch_open(struct daemon *dmn);
void dispatch_close(struct dispatch *dispatch);

/*
 * dispatch_start(dispatch, request, callbacks, arg)
 *	Queue a call.  No callback is called from within dispatch_start().
 */
struct dispatch_call *dispatch_start(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_callbacks *callbacks, void *arg);

/*
 * dispatch_cancel(call)
 *	Cancel the call.
 * RETURN VALUES
 *	VD_NOT_RUN if no upstream can have received any of it, else VD_MAYBE.
 */
enum vd_ran dispatch_cancel(struct dispatch_call *call);

/* dispatch_call_upstream(call): the last upstream it was sent to, or nil. */
const char *dispatch_call_upstream(const struct dispatch_call *call);

/*
 * dispatch_set_usage(dispatch, call, prompt, cached, completion)
 *	Set the usage that the engine reported at the end of the answer.
 */
void dispatch_set_usage(struct dispatch *dispatch, struct dispatch_call *call,
    int64_t prompt, int64_t cached, int64_t completion);

/*
 * dispatch_release_prefix(dispatch, programs, program, engine)
 *	Ask the engine ("*": every engine) to release the program's prefix.
 *	Engines that are recorded as holders are asked too.  Calls
 *	prog_release_done() after all of them have confirmed.
 */
struct prog_set;
void dispatch_release_prefix(struct dispatch *dispatch,
    struct prog_set *programs, const char *program, const char *engine);

/*
 * dispatch_set_leaving(dispatch, name, leaving)
 *	Set whether the member list has the upstream as leaving.
 */
void
dispatch_set_leaving(struct dispatch *dispatch, const char *name, bool leaving);

/*
 * dispatch_crashes(dispatch, crashes, max)
 *	The crashes that this instance saw in the last minute, for heartbeats.
 */
struct sched_crash;
size_t dispatch_crashes(
    struct dispatch *dispatch, struct sched_crash *crashes, size_t max);

/* dispatch_list_upstreams(dispatch): the state of all upstreams. */
json_t *dispatch_list_upstreams(const struct dispatch *dispatch);

/* dispatch_queued(dispatch): the number of calls waiting for an upstream. */
size_t dispatch_queued(const struct dispatch *dispatch);

#endif
