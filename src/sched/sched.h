/*
 * The scheduler: queues calls and decides which of them starts next and on
 * which upstream.
 *
 * Calls wait here and not at the upstreams.  sched_dispatch() pairs waiting
 * calls with open upstreams; the caller makes the calls and reports their
 * results.
 *
 * Order (policy "least_program_first"): calls that have waited longer than
 * overdue_ms get one start in four, in order of arrival.  Otherwise the most
 * urgent class goes first, and a call moves up one class every age_ms; within
 * a class the organisation with the least service relative to its weight;
 * within an organisation the oldest program.  Service is counted in tokens:
 * the uncached prompt and the answer.
 *
 * Costs: w is the number of waiting calls, o the number of organisations with
 * waiting calls, p the number of pools (models and services).  No operation
 * visits all upstreams or all organisations.  Memory (glibc, x86-64): 400 bytes
 * per waiting call and 245 per organisation with waiting calls.
 */
#ifndef SAMPHIRESHED_SCHED_H
#define SAMPHIRESHED_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/vd.h"
#include "upstream/upstream.h"

struct sched;

/* Identifies a call from sched_submit() until it ends; generation 0: none. */
struct sched_handle {
	uint32_t index;
	uint32_t generation;
};

enum sched_class {
	SCHED_CLASS_URGENT,
	SCHED_CLASS_NORMAL,
	SCHED_CLASS_BACKGROUND
};

#define SCHED_FINGERPRINT_SIZE 32

/* A call to be scheduled.  Strings are copied. */
struct sched_call {
	const char *organisation;
	double weight; /* of the organisation; 0: 1 */
	const char *program; /* id; "" if none */
	clk_ms program_started; /* when the program was created */
	enum upstream_kind kind;
	const char *model; /* or the name of a service */
	enum sched_class urgency;
	int64_t prompt_tokens;
	int64_t max_tokens; /* of the answer */
	/* SHA-256 of organisation and body, or NULL. */
	const unsigned char *fingerprint;
	clk_ms deadline; /* refused if not started by then; 0: none */
	void *arg; /* returned by sched_dispatch() and sched_expire() */
};

struct sched_options {
	const struct sched_policy *policy; /* NULL: least_program_first */
	unsigned max_waiting; /* 0: 4096 */
	unsigned max_waiting_per_organisation; /* 0: a quarter of it */
	clk_ms age_ms; /* time per class; 0: 2 s */
	clk_ms overdue_ms; /* wait until overdue; 0: 10 s */
	double retry_share; /* retries per started call; 0: 0.1 */
};

/* A call to be started by the caller of sched_dispatch(). */
struct sched_start {
	struct sched_handle call;
	struct upstream_handle upstream;
	unsigned attempt; /* from 1 */
	int64_t cached_tokens; /* expected in the upstream's cache */
	void *arg;
};

/* A waiting call that was dropped. */
struct sched_dropped {
	struct sched_handle call; /* no longer valid */
	struct vd vd;
	void *arg;
};

/* How an attempt ended. */
enum sched_outcome {
	SCHED_SUCCEEDED, /* a complete or otherwise final answer */
	SCHED_CANCELLED, /* caller disconnected, or program closed */
	SCHED_CONNECT_FAILED, /* no connection to the upstream; not run */
	SCHED_BUSY, /* rejected by the upstream; not run */
	SCHED_CRASHED, /* connection lost while the call ran */
	SCHED_TIMED_OUT /* no answer within the deadline */
};

struct sched_result {
	enum sched_outcome outcome;
	/*
	 * Whether a call that may have run can be retried: true for a model
	 * call of which the caller has received no token, false for a
	 * non-idempotent call.  Ignored for SCHED_CONNECT_FAILED and
	 * SCHED_BUSY.
	 */
	bool repeatable;
	struct upstream_reply reply; /* for SCHED_SUCCEEDED */
};

enum sched_disposition {
	SCHED_DONE, /* the handle is no longer valid */
	SCHED_REQUEUED /* the call is queued again */
};

/*
 * sched_open(upstreams, options), sched_close(sched)
 *	Create and free a scheduler for a table of upstreams, which must
 *	outlive it.
 */
struct sched *sched_open(
    struct upstream_table *upstreams, const struct sched_options *options);
void sched_close(struct sched *sched);

/*
 * sched_submit(sched, call, now, handle)
 *	Queue a call.  O(log w).
 * RETURN VALUES
 *	A verdict that is ok if the call was queued; *handle is then set.
 * ERRORS
 *	VD_UNKNOWN_MODEL (or VD_NO_UPSTREAM for a service): no upstream serves
 *	it.
 *	VD_QUEUE_FULL: the queue or the organisation's share of it is full; has
 *	a Retry-After estimated from the rate of starts in the last seconds.
 *	VD_REQUEST_CRASHES_UPSTREAM: its fingerprint is blocked.
 *	All of them are VD_NOT_RUN.
 */
struct vd sched_submit(struct sched *sched, const struct sched_call *call,
    clk_ms now, struct sched_handle *handle);

/*
 * sched_dispatch(sched, now, starts, max)
 *	Write up to max pairs of a call and the upstream on which it is to be
 *	started now.  To be called after each event that may have added a call
 *	or opened an upstream.  O(p) plus O(log w + log o + log n) for each
 *	pair, where n is the number of upstreams of the pool, plus O(log w) for
 *	each call that ageing moves up (at most 3 times per call).
 * RETURN VALUES
 *	The number of pairs; if it is max, there may be more.
 */
size_t sched_dispatch(
    struct sched *sched, clk_ms now, struct sched_start *starts, size_t max);

/*
 * sched_expire(sched, now, ends, max)
 *	Remove up to max waiting calls whose deadline has passed, or whose
 *	fingerprint was blocked after they were submitted.  Their verdict is
 *	VD_NOT_RUN only if no attempt may have run.  O(log w) for each.
 * RETURN VALUES
 *	The number of removed calls; if it is max, there may be more.
 */
size_t sched_expire(
    struct sched *sched, clk_ms now, struct sched_dropped *ends, size_t max);

/*
 * sched_cancel(sched, handle)
 *	Remove a waiting call, which then never starts.  O(log w).
 * RETURN VALUES
 *	true if the call was waiting; its handle is no longer valid.  false if
 *	it is running (end it with sched_finish() and SCHED_CANCELLED) or has
 *	ended.
 */
bool sched_cancel(struct sched *sched, struct sched_handle handle);

/*
 * sched_report_first_token(sched, handle)
 *	Report the first token of a running call.
 */
void sched_report_first_token(struct sched *sched, struct sched_handle handle);

/*
 * sched_finish(sched, handle, result, now, vd)
 *	Report the end of a running call's attempt.  A call that did not run,
 *	or that is repeatable, is queued again (for another upstream if there
 *	is one) while the retry budget lasts; its age still counts from the
 *	first submission.  O(log w + log n).
 * RETURN VALUES
 *	SCHED_REQUEUED, or SCHED_DONE with *vd: ok for SCHED_SUCCEEDED,
 *	otherwise the reason, and whether any attempt of the call may have
 *	run.
 */
enum sched_disposition
sched_finish(struct sched *sched, struct sched_handle handle,
    const struct sched_result *result, clk_ms now, struct vd *vd);

/* sched_waiting_count(sched), sched_running_count(sched): numbers of calls. */
unsigned sched_waiting_count(const struct sched *sched);
unsigned sched_running_count(const struct sched *sched);

/* ---- requests that crash upstreams ---- */

/*
 * A fingerprint is blocked for 10 minutes once 2 different upstreams have
 * crashed while running it.  The newest 1,024 fingerprints are kept.
 */

/*
 * sched_crash_is_blocked(sched, fingerprint, now)
 *	Whether requests with the fingerprint are refused.
 */
bool sched_crash_is_blocked(
    const struct sched *sched, const unsigned char *fingerprint, clk_ms now);

/*
 * sched_crash_add(sched, fingerprint, upstream, now)
 *	Add a crash that a peer observed.
 */
void sched_crash_add(struct sched *sched, const unsigned char *fingerprint,
    const char *upstream, clk_ms now);

struct sched_crash {
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	char upstream[64]; /* name */
	clk_ms time;
};

/*
 * sched_crash_list(sched, since, crashes, max)
 *	Write up to max crashes that this instance observed at or after since,
 *	the oldest first, for the heartbeat.  Visits at most 2,048 records.
 * RETURN VALUES
 *	The number of crashes written.
 */
size_t sched_crash_list(const struct sched *sched, clk_ms since,
    struct sched_crash *crashes, size_t max);

/* ---- policies ---- */

/* The properties of a call that a policy may use. */
struct sched_request {
	enum sched_class urgency;
	clk_ms submitted;
	clk_ms program_started;
	uint64_t sequence; /* in order of arrival */
	uint32_t pool;
	const char *program;
	int64_t prompt_tokens;
	struct upstream_handle avoid; /* upstream of the last failed attempt */
};

struct sched_policy {
	const char *name;
	/* Classes of urgency with ageing; otherwise a single class. */
	bool by_urgency;
	/* Share service by organisation; otherwise a single organisation. */
	bool by_organisation;
	/* Sort key within an organisation, the lowest first. */
	double (*call_key)(const struct sched_request *request);
	/*
	 * Choose an open member of the pool; generation 0 if there is none.
	 * start_count is the number of calls started so far.  *cached_tokens
	 * is set to the number of tokens expected in that member's cache.
	 */
	struct upstream_handle (*choose)(const struct upstream_table *upstreams,
	    const struct sched_request *request, uint64_t start_count,
	    int64_t *cached_tokens);
};

/*
 * The default policy, and the baselines of the benchmarks:
 * least_program_first	order as described above; the upstream that caches the
 *			program's prefix unless it is loaded above 1.25 times
 *			its share
 * locality_unbounded	the same order; the upstream that caches the prefix
 *			whenever it is open
 * least_outstanding	order of arrival; the upstream with the fewest calls
 * round_robin		order of arrival; the upstreams in rotation
 */
extern const struct sched_policy sched_policy_least_program_first;
extern const struct sched_policy sched_policy_locality_unbounded;
extern const struct sched_policy sched_policy_least_outstanding;
extern const struct sched_policy sched_policy_round_robin;

/* sched_policy_find(name): the policy of that name, or NULL. */
const struct sched_policy *sched_policy_find(const char *name);

#endif
