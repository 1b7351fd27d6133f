/*
 * Distributed rate limiting of organisations across all instances.
 *
 * A coordinator keeps one token bucket for each active organisation and issues
 * grants.  A holder (one on every instance) spends granted tokens only.  A
 * token is one request.  Both sides allow for a clock drift of up to
 * RAT_DRIFT_PPM and for the 1 ms clock resolution, so that the tokens spent in
 * any window of length w are at most r*w + b (rate r, burst b).
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

#define RAT_DRIFT_PPM	   1000 /* largest clock drift allowed for */
#define RAT_GRANT_LIFETIME (2 * CLK_SECOND)
/* Longest wait for a token after the coordinator granted too few. */
#define RAT_WAIT ((clk_ms)150)
/*
 * Longest wait for a coordinator that does not reply.  After a start or on a
 * busy machine a reply takes longer than RAT_WAIT, and a request within the
 * rate must not be refused because of that.  Below the 1.1 s within which the
 * first token is due.
 */
#define RAT_SILENT_WAIT ((clk_ms)1000)
#define RAT_WAITERS_MAX 1024 /* for each organisation and instance */

/* The share of a data centre in an organisation's rate and burst. */
struct rat_limit {
	int64_t rate; /* thousandths of a token per second */
	int64_t burst; /* tokens; 0: this data centre can only borrow */
};

/*
 * rat_split(total, weights, count, index)
 *	The share of entry index when total is divided by weight into integers
 *	that add up to total (largest remainder method, ties to the lower
 *	index).  Used for a rate in thousandths and for a burst in tokens.
 */
int64_t rat_split(
    int64_t total, const uint32_t *weights, unsigned count, unsigned index);

/*
 * Coordinator
 */

struct rat_coordinator;

/*
 * rat_limit_of: looks up the limit of an organisation in this data centre.
 * Returns false if the organisation is unknown.  Called for each grant, so
 * that a configuration change applies to the next grant, and to all tokens in
 * use one grant lifetime later.
 */
typedef bool
rat_limit_of(const char *organisation, struct rat_limit *limit, void *arg);

struct rat_coordinator *rat_coordinator_new(rat_limit_of *limit_of, void *arg);
void rat_coordinator_free(struct rat_coordinator *coordinator);

/*
 * rat_coordinator_own(coordinator, now, shard, handover)
 *	Start to coordinate the shard, which this instance now owns.  Buckets
 *	of its organisations start empty at now.  handover: the former owner
 *	released the shard before its horizon, so its grants may still be in
 *	use; the buckets then start to fill one grant lifetime later.
 * rat_coordinator_disown(coordinator, shard)
 *	Stop coordinating the shard and free its buckets.  O(buckets in use).
 */
void rat_coordinator_own(struct rat_coordinator *coordinator, clk_ms now,
    uint16_t shard, bool handover);
void
rat_coordinator_disown(struct rat_coordinator *coordinator, uint16_t shard);

/* A request for tokens of one organisation (one entry of message GRANT). */
struct rat_request {
	const char *organisation;
	uint16_t shard; /* that the organisation hashes to */
	uint64_t serial; /* grows with each request of the session */
	bool borrow; /* from a coordinator of another data centre */
	uint32_t wanted;
	uint32_t used; /* since the last request */
	uint32_t returned; /* unused tokens returned by this request */
};

struct rat_reply {
	uint32_t tokens;
	clk_ms lifetime; /* from the time that the request was sent */
	clk_ms retry_after; /* until the next token, if fewer than wanted */
};

/*
 * rat_grant(coordinator, now, horizon, session, request, reply)
 *	Handle a request of a holder's session.  horizon is the end of this
 *	instance's lease of the shard, on the same clock as now.  A borrower
 *	gets at most half of the available tokens, and none while holders of
 *	this data centre are short.  Costs a hash lookup and a pass over the
 *	session's grants of that organisation (at most about 40, one per 50 ms).
 * RETURN VALUES
 *	false if the shard is not owned, the organisation is unknown or the
 *	serial number is not newer than the last one; *reply then grants no
 *	tokens.
 */
bool rat_grant(struct rat_coordinator *coordinator, clk_ms now, clk_ms horizon,
    uint64_t session, const struct rat_request *request,
    struct rat_reply *reply);

/*
 * rat_borrow_list(coordinator, now, each, arg)
 *	Call each() for every organisation whose holders got fewer tokens than
 *	they wanted since the last call, with a request to be sent to
 *	coordinators of other data centres.  O(organisations that are short).
 *	each() must not call functions of the coordinator.
 * rat_borrowed(coordinator, now, sent, organisation, reply)
 *	Add the tokens that another data centre granted; sent is the time when
 *	this instance sent the request.  They are granted to holders for the
 *	rest of their lifetime only.  To be called once for each reply.
 */
typedef void rat_each_request(const struct rat_request *request, void *arg);
void rat_borrow_list(struct rat_coordinator *coordinator, clk_ms now,
    rat_each_request *each, void *arg);
void rat_borrowed(struct rat_coordinator *coordinator, clk_ms now, clk_ms sent,
    const char *organisation, const struct rat_reply *reply);

/*
 * rat_coordinator_tick(coordinator, now)
 *	Free buckets that are full and have no outstanding grants; they would
 *	be created again in the same state.  To be called every few seconds.
 *	O(buckets in use), not O(organisations).
 * rat_coordinator_buckets(coordinator)
 *	The number of buckets in use.
 */
void rat_coordinator_tick(struct rat_coordinator *coordinator, clk_ms now);
size_t rat_coordinator_buckets(const struct rat_coordinator *coordinator);

/*
 * Holder
 */

struct rat_holder;

enum rat_outcome {
	RAT_TAKEN,
	RAT_WAITING, /* on_done follows within RAT_SILENT_WAIT */
	RAT_REFUSED /* *retry_after is set */
};

/*
 * on_done: called when a wait ends, with RAT_TAKEN or RAT_REFUSED.  It may call
 * any function of the holder except rat_holder_free().
 */
typedef void rat_on_done(
    void *waiter, enum rat_outcome outcome, clk_ms retry_after, void *arg);

/* shard_of: returns the shard that an organisation hashes to. */
typedef uint16_t rat_shard_of(const char *organisation, void *arg);

struct rat_holder *
rat_holder_new(rat_shard_of *shard_of, rat_on_done *on_done, void *arg);
void rat_holder_free(struct rat_holder *holder);

/*
 * rat_take(holder, now, organisation, waiter, retry_after)
 *	Take a token for one request.  waiter identifies the request for
 *	on_done and must not be NULL.  Costs one hash lookup.
 * rat_take_cancel(holder, organisation, waiter)
 *	Cancel a waiting request, whose caller has disconnected.  O(waiters of
 *	the organisation).
 */
enum rat_outcome rat_take(struct rat_holder *holder, clk_ms now,
    const char *organisation, void *waiter, clk_ms *retry_after);
void rat_take_cancel(
    struct rat_holder *holder, const char *organisation, void *waiter);

/*
 * rat_request_list(holder, now, each, arg)
 * rat_request_now(holder, now, organisation, each, arg)
 *	Call each() with the request to the coordinator that is due now, for
 *	every organisation or for one.  A request is due if requests wait for
 *	tokens and none to the coordinator is in flight, or, at most every
 *	50 ms, if there are used or spare tokens to report.  The requests must
 *	be sent at once; now counts as the send time.  each() must not call
 *	functions of the holder.
 *	rat_request_list() is to be called every 25 ms.  O(organisations that
 *	were active in the last few seconds).
 *	rat_request_now() is to be called when rat_take() returns
 *	RAT_WAITING.  Costs one hash lookup.
 * rat_granted(holder, now, organisation, serial, reply)
 *	Handle the reply to the request with that serial number; reply is NULL
 *	if the request failed or was refused.  Waiting requests are served in
 *	order.  A late reply is used for the rest of its lifetime; a duplicate
 *	is ignored.
 * rat_holder_tick(holder, now)
 *	Refuse requests that have waited too long: for RAT_WAIT
 *	if the last reply granted too few tokens, else for
 *	RAT_SILENT_WAIT.  Free the state of idle organisations.
 *	To be called every 25 ms.
 *	O(active organisations).
 * rat_holder_active(holder)
 *	The number of organisations for which the holder keeps state.
 */
void rat_request_list(
    struct rat_holder *holder, clk_ms now, rat_each_request *each, void *arg);
void rat_request_now(struct rat_holder *holder, clk_ms now,
    const char *organisation, rat_each_request *each, void *arg);
void rat_granted(struct rat_holder *holder, clk_ms now,
    const char *organisation, uint64_t serial, const struct rat_reply *reply);
void rat_holder_tick(struct rat_holder *holder, clk_ms now);
size_t rat_holder_active(const struct rat_holder *holder);

#endif
