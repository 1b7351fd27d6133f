/*
 * call: runs one caller's request at the owner of its program.
 *
 * A call is submitted to its program (program/program.h) and waits for its
 * turn.  The replica holders acknowledge its begin record, then it runs at an
 * upstream.  The sink gets the end of the answer after the replica holders have
 * acknowledged the end record.  An idempotent service call without a program
 * and without a key needs neither a turn nor records.
 */
#ifndef SAMPHIRESHED_CALL_H
#define SAMPHIRESHED_CALL_H

#include <stdbool.h>
#include <stddef.h>

#include "daemon/state.h"
#include "lib/vd.h"
#include "program/program.h"

struct call;

enum call_kind {
	CALL_CHAT, /* POST /v1/chat/completions */
	CALL_SERVICE, /* a route to a service */
	CALL_PROGRAM_CREATE, /* POST /v1/programs */
	CALL_PROGRAM_SHOW, /* GET /v1/programs/ID */
	CALL_PROGRAM_CLOSE /* DELETE /v1/programs/ID */
};

/* A request; strings and body are copied. */
struct call_request {
	enum call_kind kind;
	/* Shard of the program; valid if has_shard. */
	struct own_shard_id shard;
	bool has_shard;
	const char *organisation;
	const char *key_id;
	const char *request_id;
	const char *traceparent; /* "" if none */
	const char *method;
	const char *path; /* with the query string */
	const char *program; /* id; "": a new or implicit program */
	const char *idempotency_key; /* "" if none */
	const char *content_type;
	const void *body;
	size_t body_len;
};

/*
 * Callbacks that receive the answer.  head is called at most once and before
 * data.  end is called exactly once and last, unless the call is cancelled.
 * An end without a head is an error, to be sent as an error body.
 */
struct call_sink {
	void (*head)(int status, const char *content_type, const char *program,
	    unsigned turn, void *arg);
	void (*data)(const void *data, size_t len, void *arg);
	void (*end)(const struct vd *vd, void *arg);
};

struct call_set; /* the calls of one instance */

struct call_set *call_set_open(struct daemon *dmn);
void call_set_close(struct call_set *calls);

/* call_set_count(calls): the number of calls not yet ended. */
unsigned call_set_count(const struct call_set *calls);

/*
 * call_start(calls, request, sink, arg)
 *	Run a request.  No callback is called from within call_start().
 * RETURN VALUES
 *	A handle, valid until sink->end returns or call_cancel().
 */
struct call *
call_start(struct call_set *calls, const struct call_request *request,
    const struct call_sink *sink, void *arg);

/*
 * call_cancel(call)
 *	The caller disconnected.  A call that has not begun is dropped.  A
 *	model call in progress is cancelled at its engine.  A non-idempotent
 *	call goes on, so that its outcome is known if the caller repeats it.
 */
void call_cancel(struct call *call);

/* Callbacks of the programs, see program/program.h. */
void call_on_start(
    prog_handle handle, struct prog_set *programs, struct call_set *calls);
void call_on_answer(prog_handle handle, const struct prog_answer *answer,
    struct prog_set *programs, struct call_set *calls);

#endif
