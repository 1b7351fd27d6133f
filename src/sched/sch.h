/*
 * sch: waiting calls, and which of them starts next on which upstream.
 *
 * Calls wait here and not at the upstreams.  sch_next() pairs waiting calls
 * with open upstreams; the caller makes the calls and reports their end.
 *
 * Order (policy "least_program_first"): calls that have waited longer than
 * overdue_ms get one start in four, in order of arrival.  Otherwise the most
 * urgent class goes first, where a call moves up one class each age_ms;
 * within a class the organisation with the least service for its weight;
 * within an organisation the oldest program.  Service is counted in tokens:
 * the uncached prompt and the answer.
 *
 * Costs: w is the number of waiting calls, o the number of organisations that
 * have calls waiting, p the number of pools (models and services).  Neither
 * all upstreams nor all organisations are ever looked at.  Memory, as measured
 * with glibc on x86-64: 400 bytes for a waiting call, and 245 for an
 * organisation that has calls waiting.
 */
#ifndef SAMPHIRESHED_SCH_H
#define SAMPHIRESHED_SCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/vd.h"
#include "upstream/ups.h"

struct sch;

/* A call, from sch_submit() until it ends; generation 0 is none. */
struct sch_handle {
	uint32_t index;
	uint32_t generation;
};

enum sch_urgency { SCH_URGENT, SCH_NORMAL, SCH_BACKGROUND };

#define SCH_FINGERPRINT_SIZE 32

/* A call to be scheduled.  Strings are copied. */
struct sch_call {
	const char *organisation;
	double weight; /* of the organisation; 0: 1 */
	const char *program; /* id; "" if none */
	clk_ms program_started; /* creation of the program */
	enum ups_kind kind;
	const char *model; /* or the name of a service */
	enum sch_urgency urgency;
	int64_t prompt_tokens;
	int64_t max_tokens; /* of the answer */
	/* SHA-256 of organisation and body, or nil. */
	const unsigned char *fingerprint;
	clk_ms deadline; /* refused if not started by then; 0: none */
	void *arg; /* given back by sch_next() and sch_expire() */
};

struct sch_options {
	const struct sch_policy *policy; /* nil: least_program_first */
	unsigned max_waiting; /* 0: 4096 */
	unsigned max_waiting_per_organisation; /* 0: a quarter of the above */
	clk_ms age_ms; /* 0: 2 s */
	clk_ms overdue_ms; /* 0: 10 s */
	double retry_share; /* retries per started call; 0: 0.1 */
};

/* A call that starts. */
struct sch_start {
	struct sch_handle call;
	struct ups_handle upstream;
	unsigned attempt; /* from 1 */
	int64_t cached_tokens; /* expected to be cached there */
	void *arg;
};

/* A call that ends without a start. */
struct sch_end {
	struct sch_handle call; /* no longer valid */
	struct vd vd;
	void *arg;
};

/* How an attempt ended. */
enum sch_outcome {
	SCH_SUCCEEDED, /* the whole answer arrived, or an answer that is final
			*/
	SCH_CANCELLED, /* the caller left, or the program was closed */
	SCH_REFUSED, /* the connection could not be opened: not run */
	SCH_BUSY, /* the upstream said that it did not run it */
	SCH_CRASHED, /* the connection broke while it ran */
	SCH_TIMED_OUT /* no answer within the deadline */
};

struct sch_result {
	enum sch_outcome outcome;
	/*
	 * Whether the call may run again although it may have run: true for
	 * a model call of which the caller has seen no token, false for a
	 * non-idempotent call.  SCH_REFUSED and SCH_BUSY need no permission.
	 */
	bool repeatable;
	struct ups_reply reply; /* for SCH_SUCCEEDED */
};

enum sch_next_step {
	SCH_DONE, /* the handle is no longer valid */
	SCH_WAITS_AGAIN /* the call will be started again */
};

/*
 * sch_open(ups, options), sch_close(sch)
 *	Create and free a scheduler over a table of upstreams, which must
 *	outlive it.
 */
struct sch *sch_open(struct ups *ups, const struct sch_options *options);
void sch_close(struct sch *sch);

/*
 * sch_submit(sch, call, now, handle)
 *	Queue a call.  O(log w).
 * RETURN VALUES
 *	A verdict that is ok if the call waits now; *handle is set then.
 * ERRORS
 *	VD_UNKNOWN_MODEL (or VD_NO_UPSTREAM for a service): nothing serves it.
 *	VD_QUEUE_FULL: the queue or the organisation's part of it is full; has
 *	a Retry-After from the rate of starts in the last seconds.
 *	VD_REQUEST_CRASHES_UPSTREAM: its fingerprint is blocked.
 *	All of them are VD_NOT_RUN.
 */
struct vd sch_submit(struct sch *sch, const struct sch_call *call, clk_ms now,
    struct sch_handle *handle);

/*
 * sch_next(sch, now, starts, max)
 *	Write up to max pairs of a call and the upstream it is to start on
 *	now.  To be called after each event that may have made room or added a
 *	call.  O(p) plus O(log w + log o + log n) for each pair, where n is the
 *	number of upstreams of the pool, plus what ageing moves (each call moves
 *	up at most 3 times).
 * RETURN VALUES
 *	The number of pairs; max means that there may be more.
 */
size_t
sch_next(struct sch *sch, clk_ms now, struct sch_start *starts, size_t max);

/*
 * sch_expire(sch, now, ends, max)
 *	Take out up to max waiting calls whose deadline has passed, or whose
 *	fingerprint has been blocked since.  Their verdict is VD_NOT_RUN only
 *	if no attempt may have run.  O(log w) for each.
 */
size_t
sch_expire(struct sch *sch, clk_ms now, struct sch_end *ends, size_t max);

/*
 * sch_cancel(sch, handle)
 *	Take out a waiting call, which then never starts.  O(log w).
 * RETURN VALUES
 *	true if the call was waiting; its handle is no longer valid.  false if
 *	it runs (end it with sch_finished() and SCH_CANCELLED) or has ended.
 */
bool sch_cancel(struct sch *sch, struct sch_handle handle);

/* sch_first_token(sch, handle): the first token of a running call arrived. */
void sch_first_token(struct sch *sch, struct sch_handle handle);

/*
 * sch_finished(sch, handle, result, now, vd)
 *	The attempt of a running call ended.  A call that did not run, or that
 *	is repeatable, waits again (at another upstream if there is one) while
 *	the retry budget lasts; it keeps its place by age.  O(log w + log n).
 * RETURN VALUES
 *	SCH_WAITS_AGAIN, or SCH_DONE with *vd: ok for SCH_SUCCEEDED, otherwise
 *	the reason, and whether the call may have run at any attempt.
 */
enum sch_next_step sch_finished(struct sch *sch, struct sch_handle handle,
    const struct sch_result *result, clk_ms now, struct vd *vd);

/* sch_waiting(sch), sch_running(sch): numbers of calls. */
unsigned sch_waiting(const struct sch *sch);
unsigned sch_running(const struct sch *sch);

/* ---- requests that crash upstreams ---- */

/*
 * A fingerprint is blocked for 10 minutes once 2 different upstreams crashed
 * while running it.  At most 1,024 fingerprints are kept, the newest.
 */

/* sch_is_blocked(sch, fingerprint, now): whether it is refused. */
bool sch_is_blocked(
    const struct sch *sch, const unsigned char *fingerprint, clk_ms now);

/* sch_crash_note(sch, fingerprint, upstream, now): a crash seen by a peer. */
void sch_crash_note(struct sch *sch, const unsigned char *fingerprint,
    const char *upstream, clk_ms now);

struct sch_crash {
	unsigned char fingerprint[SCH_FINGERPRINT_SIZE];
	char upstream[64]; /* name */
	clk_ms time;
};

/*
 * sch_crashes(sch, since, crashes, max)
 *	Write up to max crashes noted by this instance at or after since, the
 *	oldest first, for the heartbeat.  Returns their number.  Looks at no
 *	more than 2,048 records.
 */
size_t sch_crashes(
    const struct sch *sch, clk_ms since, struct sch_crash *crashes, size_t max);

/* ---- policies ---- */

/* What a policy sees of a call. */
struct sch_request {
	enum sch_urgency urgency;
	clk_ms submitted;
	clk_ms program_started;
	uint64_t number; /* in order of arrival */
	uint32_t pool;
	const char *program;
	int64_t prompt_tokens;
	struct ups_handle avoid; /* upstream of the last failed attempt */
};

struct sch_policy {
	const char *name;
	/* Separate classes with ageing; otherwise all calls are of one. */
	bool by_urgency;
	/* Separate organisations by service; otherwise all calls are of one. */
	bool by_organisation;
	/* The order within an organisation, the least first. */
	double (*call_key)(const struct sch_request *request);
	/*
	 * Choose an open member of the pool; generation 0 if there is none.
	 * turn counts the starts.  *cached_tokens is what it expects to be
	 * cached there.
	 */
	struct ups_handle (*choose)(const struct ups *ups,
	    const struct sch_request *request, uint64_t turn,
	    int64_t *cached_tokens);
};

/*
 * The candidate, and the baselines it is measured against:
 * least_program_first	as described above; the holder of the program's prefix
 *			unless that would load it above 1.25 times its part
 * locality_unbounded	the same order; the holder whenever it is open
 * least_outstanding	order of arrival; the upstream with the fewest calls
 * round_robin		order of arrival; the upstreams in turn
 */
extern const struct sch_policy sch_policy_least_program_first;
extern const struct sch_policy sch_policy_locality_unbounded;
extern const struct sch_policy sch_policy_least_outstanding;
extern const struct sch_policy sch_policy_round_robin;

/* sch_policy_find(name): nil if there is none of that name. */
const struct sch_policy *sch_policy_find(const char *name);

#endif
