/*
 * vd: verdict on a request.
 *
 * Every reply, refusal and failure of a call carries a verdict that says
 * whether the request ran, did not run, or may have run.  Only VD_NOT_RUN
 * allows a retry of a non-idempotent request.
 */
#ifndef SAMPHIRESHED_VD_H
#define SAMPHIRESHED_VD_H

#include <stdbool.h>

#include "lib/clk.h"

enum vd_ran {
	VD_RAN, /* the request ran to its end */
	VD_NOT_RUN, /* no upstream received any part of the request */
	VD_MAYBE /* an upstream may have run all or part of it */
};

/* Stable error codes; vd_code_name() gives the spelling in error bodies. */
enum vd_code {
	VD_OK,
	VD_BAD_REQUEST,
	VD_BODY_TOO_LARGE,
	VD_UNAUTHORIZED,
	VD_FORBIDDEN,
	VD_KEY_WITHDRAWN,
	VD_NOT_FOUND,
	VD_METHOD_NOT_ALLOWED,
	VD_UNKNOWN_MODEL,
	VD_UNKNOWN_PROGRAM,
	VD_PROGRAM_CLOSED,
	VD_KEY_REQUIRED, /* non-idempotent without Idempotency-Key */
	VD_KEY_REUSED, /* Idempotency-Key repeated with another body */
	VD_TURN_MISMATCH,
	VD_TURN_LIMIT,
	VD_BUDGET_EXCEEDED,
	VD_RATE_EXCEEDED,
	VD_QUEUE_FULL,
	VD_NO_UPSTREAM,
	VD_UPSTREAM_FAILED,
	VD_UPSTREAM_TIMEOUT,
	VD_REQUEST_CRASHES_UPSTREAM,
	VD_OWNER_UNREACHABLE, /* the owner of the shard can't be reached */
	VD_OWNER_LOST, /* the owner was lost while the call ran */
	VD_NOT_OWNER, /* this instance does not own the shard now */
	VD_COPIES_UNAVAILABLE, /* too few copy holders can be reached */
	VD_HISTORY_UNPROVEN, /* the latest turn is not known for certain */
	VD_OUTCOME_UNKNOWN, /* an earlier attempt may have run */
	VD_CONFIG_STALE,
	VD_STOPPING,
	VD_CANCELLED,
	VD_INTERNAL
};

#define VD_DETAIL_SIZE 192

struct vd {
	enum vd_ran ran;
	enum vd_code code;
	int status; /* HTTP status */
	clk_ms retry_after; /* 0: no Retry-After */
	char detail[VD_DETAIL_SIZE];
};

/*
 * vd_ok()
 *	Return the verdict of a request that ran: VD_RAN, VD_OK, 200.
 */
struct vd vd_ok(void);

/*
 * vd_make(ran, code, format, ...)
 *	Return a verdict with the code's usual HTTP status and a detail text
 *	for people.  The detail must hold no key and no message content.
 */
struct vd vd_make(enum vd_ran ran, enum vd_code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * vd_is_ok(vd)
 *	Return true if the request ran and succeeded.
 */
bool vd_is_ok(const struct vd *vd);

/*
 * vd_code_name(code), vd_code_parse(name)
 *	Convert between a code and its spelling in error bodies, for example
 *	"rate_exceeded".  vd_code_parse() returns VD_INTERNAL for a name that
 *	it does not know.
 */
const char *vd_code_name(enum vd_code code);
enum vd_code vd_code_parse(const char *name);

/*
 * vd_ran_name(ran)
 *	Return "yes", "no" or "maybe".
 */
const char *vd_ran_name(enum vd_ran ran);

/*
 * vd_body(vd, request_id)
 *	Return the JSON error body {"error":{"code","message","ran",
 *	"request_id"}} as a string to be freed with g_free().
 */
char *vd_body(const struct vd *vd, const char *request_id);

#endif
