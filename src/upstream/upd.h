/*
 * upd: driver of the upstreams.
 *
 * Submits calls to module sch, runs them over HTTP at the upstream that it
 * chooses, retries what did not run, and feeds module ups with load reports,
 * cache events and outcomes.
 */
#ifndef SAMPHIRESHED_UPD_H
#define SAMPHIRESHED_UPD_H

#include <stdbool.h>
#include <stddef.h>

#include "daemon/state.h"
#include "lib/vd.h"

struct upd_call;

struct upd_request {
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
	bool repeatable; /* may run again if it may have run */
	clk_ms timeout; /* 0: default */
};

/* Strings are borrowed.  done comes exactly once, unless cancelled. */
struct upd_events {
	void (*head)(int status, const char *content_type, void *arg);
	void (*data)(const void *data, size_t len, void *arg);
	/*
	 * vd is VD_OK if the whole reply arrived, whatever its status.
	 * upstream is the name of the last one that may have got the call, or
	 * nil.
	 */
	void (*done)(const struct vd *vd, const char *upstream, void *arg);
};

struct upd *upd_open(struct dmn *dmn);
void upd_close(struct upd *upd);

/*
 * upd_start(upd, request, events, arg)
 *	Queue a call.  No event is called from within upd_start().
 */
struct upd_call *upd_start(struct upd *upd, const struct upd_request *request,
    const struct upd_events *events, void *arg);

/*
 * upd_cancel(call)
 *	Drop the call.
 * RETURN VALUES
 *	VD_NOT_RUN if no upstream can have got any of it, else VD_MAYBE.
 */
enum vd_ran upd_cancel(struct upd_call *call);

/* upd_upstream(call): the one that may have got the call last, or nil. */
const char *upd_upstream(const struct upd_call *call);

/*
 * upd_used(upd, call, prompt, cached, completion)
 *	The usage that the engine reported at the end of the call's answer.
 */
void upd_used(struct upd *upd, struct upd_call *call, int64_t prompt,
    int64_t cached, int64_t completion);

/*
 * upd_release(upd, prg, program, engine)
 *	Ask the engine ("*": every engine that may hold it) to release the
 *	program's prefix, and tell prg_released() when it has.
 */
struct prg;
void upd_release(
    struct upd *upd, struct prg *prg, const char *program, const char *engine);

/* upd_hint(upd, name, leaving): what the member list says of an upstream. */
void upd_hint(struct upd *upd, const char *name, bool leaving);

/*
 * upd_crashes(upd, crashes, max)
 *	The crashes of the last minute that this instance saw, for heartbeats.
 */
struct sched_crash;
size_t upd_crashes(struct upd *upd, struct sched_crash *crashes, size_t max);

/* upd_list(upd): the upstreams and what is known of them, for operators. */
json_t *upd_list(const struct upd *upd);

/* upd_queued(upd): the number of calls waiting for an upstream. */
size_t upd_queued(const struct upd *upd);

#endif
