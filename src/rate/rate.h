/*
 * Distributed rate limiting of organisations across all instances.
 *
 * A coordinator keeps one token bucket for each active organisation and issues
 * grants.  A holder (one on every instance) spends granted tokens only.  A
 * token is one request.  Both sides allow for a clock drift of up to
 * RATE_DRIFT_MAX_PPM and for the 1 ms clock resolution, so that the tokens
 * spent in any window of length w are at most r*w + b (rate r, burst b).
 *
 * Invariant: level + outstanding <= b, where outstanding is never less than
 * what holders can still spend.  A lost or late report leaves outstanding too
 * large until the grant expires, never too small: a report is applied once (by
 * its serial number) and is deducted from the session's grants that expire
 * first, including those that have expired.
 */
#ifndef SAMPHIRESHED_RATE_H
#define SAMPHIRESHED_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

#define RATE_DRIFT_MAX_PPM     1000 /* largest clock drift allowed for */
#define RATE_GRANT_LIFETIME_MS (2 * CLK_SECOND)
/* Longest wait for a token after the coordinator granted too few. */
#define RATE_REFUSED_WAIT_MS ((clk_ms)150)
/*
 * Longest wait for a coordinator that does not reply.  After a start or on a
 * busy machine a reply takes longer than RATE_REFUSED_WAIT_MS, and a request
 * within the rate must not be refused because of that.  The wait is below the
 * 1.1 s within which the first token is due.
 */
#define RATE_NO_REPLY_WAIT_MS ((clk_ms)1000)
#define RATE_WAITERS_MAX      1024 /* for each organisation and instance */

/* The share of a data centre in an organisation's rate and burst. */
struct rate_limit {
	int64_t rate; /* thousandths of a token per second */
	int64_t burst; /* tokens; 0: this data centre can only borrow */
};

/*
 * rate_split(total, weights, count, index)
 *	The share of entry index when total is divided by weight into integers
 *	that add up to total (largest remainder method, ties to the lower
 *	index).  Used for a rate in thousandths and for a burst in tokens.
 */
int64_t rate_split(
    int64_t total, const uint32_t *weights, unsigned count, unsigned index);

/*
 * Coordinator
 */

struct rate_coordinator;

/*
 * rate_limit_cb: looks up the limit of an organisation in this data centre.
 * Returns false if the organisation is unknown.  Called for each grant, so
 * that a configuration change applies to the next grant, and to all tokens in
 * use one grant lifetime later.
 */
typedef bool
rate_limit_cb(const char *organisation, struct rate_limit *limit, void *arg);

struct rate_coordinator *
rate_coordinator_new(rate_limit_cb *limit_of, void *arg);
void rate_coordinator_free(struct rate_coordinator *coordinator);

/* rate_grant_gone(): time after which a grant has expired, on any clock. */
clk_ms rate_grant_gone(void);

/*
 * rate_coordinator_acquire(coordinator, now, shard, handover)
 *	Start to coordinate the shard, which this instance now owns.  Buckets
 *	of its organisations start empty at now.  handover: the former owner
 *	released the shard before its horizon, so its grants may still be in
 *	use; the buckets then start to fill one grant lifetime later.
 * rate_coordinator_release(coordinator, shard)
 *	Stop coordinating the shard and free its buckets.  O(buckets in use).
 */
void rate_coordinator_acquire(struct rate_coordinator *coordinator, clk_ms now,
    uint16_t shard, bool handover);
void
rate_coordinator_release(struct rate_coordinator *coordinator, uint16_t shard);

/* A request for tokens of one organisation (one entry of message GRANT). */
struct rate_request {
	const char *organisation;
	uint16_t shard; /* that the organisation hashes to */
	uint64_t serial; /* grows with each request of the session */
	bool borrow; /* from a coordinator of another data centre */
	uint32_t wanted;
	uint32_t used; /* since the last request */
	uint32_t returned; /* unused tokens returned by this request */
};

struct rate_reply {
	uint32_t tokens;
	clk_ms lifetime; /* from the time that the request was sent */
	clk_ms retry_after; /* until the next token, if fewer than wanted */
};

/*
 * rate_coordinator_grant(coordinator, now, horizon, session, request, reply)
 *	Handle a request of a holder's session.  horizon is the end of this
 *	instance's lease of the shard, on the same clock as now.  A borrower
 *	gets at most half of the available tokens, and none while holders of
 *	this data centre are short.  Costs a hash lookup and a pass over the
 *	session's grants of that organisation (at most about 40, one per 50 ms).
 * RETURN VALUES
 *	false if the shard is not owned, its lease is not valid, the
 *	organisation is unknown or the serial number is not newer than the last
 *	one; *reply then grants no tokens and says nothing of the rate.
 */
bool rate_coordinator_grant(struct rate_coordinator *coordinator, clk_ms now,
    clk_ms horizon, uint64_t session, const struct rate_request *request,
    struct rate_reply *reply);

/*
 * rate_coordinator_poll(coordinator, now, each, arg)
 *	Call each() for every organisation whose holders got fewer tokens than
 *	they wanted since the last call, with a request to be sent to
 *	coordinators of other data centres.  O(organisations that are short).
 *	each() must not call functions of the coordinator.
 * rate_coordinator_reply(coordinator, now, sent, organisation, reply)
 *	Add the tokens that another data centre granted; sent is the time when
 *	this instance sent the request.  They are granted to holders for the
 *	rest of their lifetime only.  To be called once for each reply.
 */
typedef void rate_request_cb(const struct rate_request *request, void *arg);
void rate_coordinator_poll(struct rate_coordinator *coordinator, clk_ms now,
    rate_request_cb *each, void *arg);
void rate_coordinator_reply(struct rate_coordinator *coordinator, clk_ms now,
    clk_ms sent, const char *organisation, const struct rate_reply *reply);

/*
 * rate_coordinator_tick(coordinator, now)
 *	Free buckets that are full and have no outstanding grants; they would
 *	be created again in the same state.  To be called every few seconds.
 *	O(buckets in use), not O(organisations).
 * rate_coordinator_bucket_count(coordinator)
 *	The number of buckets in use.
 */
void rate_coordinator_tick(struct rate_coordinator *coordinator, clk_ms now);
size_t
rate_coordinator_bucket_count(const struct rate_coordinator *coordinator);

/*
 * Holder
 */

struct rate_holder;

enum rate_outcome {
	RATE_TAKEN,
	RATE_WAITING, /* on_done follows within RATE_NO_REPLY_WAIT_MS */
	RATE_REFUSED /* *retry_after is set */
};

/*
 * on_done: called when a wait ends, with RATE_TAKEN or RATE_REFUSED.  It may
 * call any function of the holder except rate_holder_free().
 */
typedef void rate_done_cb(
    void *waiter, enum rate_outcome outcome, clk_ms retry_after, void *arg);

/* shard_of: returns the shard that an organisation hashes to. */
typedef uint16_t rate_shard_cb(const char *organisation, void *arg);

struct rate_holder *
rate_holder_new(rate_shard_cb *shard_of, rate_done_cb *on_done, void *arg);
void rate_holder_free(struct rate_holder *holder);

/*
 * rate_holder_take(holder, now, organisation, waiter, retry_after)
 *	Take a token for one request.  waiter identifies the request for
 *	on_done and must not be NULL.  Costs one hash lookup.
 * rate_holder_cancel(holder, organisation, waiter)
 *	Cancel a waiting request, whose caller has disconnected.  O(waiters of
 *	the organisation).
 */
enum rate_outcome rate_holder_take(struct rate_holder *holder, clk_ms now,
    const char *organisation, void *waiter, clk_ms *retry_after);
void rate_holder_cancel(
    struct rate_holder *holder, const char *organisation, void *waiter);

/*
 * rate_holder_poll(holder, now, each, arg)
 * rate_holder_poll_one(holder, now, organisation, each, arg)
 *	Call each() with the request to the coordinator that is due now, for
 *	every organisation or for one.  A request is due if requests wait for
 *	tokens and none to the coordinator is in flight, or, at most every
 *	50 ms, if there are used or spare tokens to report.  The requests must
 *	be sent at once; now counts as the send time.  each() must not call
 *	functions of the holder.
 *	rate_holder_poll() is to be called every 25 ms.  O(organisations that
 *	were active in the last few seconds).
 *	rate_holder_poll_one() is to be called when rate_holder_take() returns
 *	RATE_WAITING.  Costs one hash lookup.
 * rate_holder_reply(holder, now, organisation, serial, reply)
 *	Handle the reply to the request with that serial number; reply is NULL
 *	if the request failed or was refused.  Waiting requests are served in
 *	order.  A late reply is used for the rest of its lifetime; a duplicate
 *	is ignored.
 * rate_holder_tick(holder, now)
 *	Refuse requests that have waited too long: RATE_REFUSED_WAIT_MS while
 *	replies grant too few tokens, or RATE_NO_REPLY_WAIT_MS in all.  Free
 *	the state of idle organisations.  To be called every 25 ms.  O(active
 *	organisations).
 * rate_holder_active_count(holder)
 *	The number of organisations for which the holder keeps state.
 */
void rate_holder_poll(
    struct rate_holder *holder, clk_ms now, rate_request_cb *each, void *arg);
void rate_holder_poll_one(struct rate_holder *holder, clk_ms now,
    const char *organisation, rate_request_cb *each, void *arg);
void rate_holder_reply(struct rate_holder *holder, clk_ms now,
    const char *organisation, uint64_t serial, const struct rate_reply *reply);
void rate_holder_tick(struct rate_holder *holder, clk_ms now);
size_t rate_holder_active_count(const struct rate_holder *holder);

#endif
