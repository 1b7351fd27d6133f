/*
 * rat: rates of organisations over the whole fleet.
 *
 * A rate coordinator keeps one token bucket for each organisation that is in
 * use and hands out grants; a holder (every instance) spends only grants.  A
 * token is one request.  Both sides allow for clocks that are off by at most
 * RAT_DRIFT_PPM and that tick in ms, so that the tokens spent in any window of
 * length w are at most r*w + b.
 *
 * The bound holds because at every moment level + outstanding <= b, where
 * outstanding is never less than what holders can still spend.  Reports that
 * are lost or late leave outstanding too large until the grant expires, never
 * too small: a report is taken once (by its serial number) and counts against
 * the session's grants that expire first, including those that have expired.
 */
#ifndef SAMPHIRESHED_RAT_H
#define SAMPHIRESHED_RAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

#define RAT_DRIFT_PPM	   1000 /* largest error of a clock's rate */
#define RAT_GRANT_LIFETIME (2 * CLK_SECOND)
/* Longest wait for a token after the coordinator said that it has none. */
#define RAT_WAIT ((clk_ms)150)
/*
 * Longest wait for a coordinator that does not answer: after a start, or on
 * a busy machine, its answer takes longer than RAT_WAIT, and a request inside
 * the rate must not be refused for that.  Bounded by the 1.1 s in which the
 * first token is due.
 */
#define RAT_SILENT_WAIT ((clk_ms)1000)
#define RAT_WAITERS_MAX 1024 /* for each organisation and instance */

/* The share of a data centre in an organisation's rate and burst. */
struct rat_limit {
	int64_t rate; /* thousandths of a token a second */
	int64_t burst; /* tokens; 0: this data centre can only borrow */
};

/*
 * rat_split(total, weights, count, index)
 *	The share of entry index when total is divided by weight into whole
 *	parts whose sum is total (largest remainder, ties to the lower index).
 *	Use it with a rate in thousandths and with a burst in tokens.
 */
int64_t rat_split(
    int64_t total, const uint32_t *weights, unsigned count, unsigned index);

/*
 * Coordinator
 */

struct rat_coordinator;

/*
 * rat_limit_of: the limit of an organisation in this data centre.  Returns
 * false if the organisation is unknown.  Called for each grant, so that a
 * change of configuration takes effect at the next one; it is in force for
 * all tokens one grant lifetime later.
 */
typedef bool
rat_limit_of(const char *organisation, struct rat_limit *limit, void *arg);

struct rat_coordinator *rat_coordinator_new(rat_limit_of *limit_of, void *arg);
void rat_coordinator_free(struct rat_coordinator *coordinator);

/*
 * rat_coordinator_own(coordinator, now, shard, handover)
 *	This instance now owns the shard: buckets of its organisations start
 *	empty at now.  handover: the former owner gave the shard up before its
 *	horizon, so that its grants may still be in use; the buckets then start
 *	to fill one grant lifetime later.
 * rat_coordinator_disown(coordinator, shard)
 *	Forget the shard's buckets.  Costs a pass over the buckets in use.
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
	uint32_t returned; /* given back by this request */
};

struct rat_reply {
	uint32_t tokens;
	clk_ms lifetime; /* from when the holder sent the request */
	clk_ms
	    retry_after; /* when the next token is due, if fewer than wanted */
};

/*
 * rat_grant(coordinator, now, horizon, session, request, reply)
 *	Answer a request of a holder's session.  horizon is the end of this
 *	instance's own lease of the shard, on the clock of now.  A borrower gets
 *	at most half of what is left, and nothing while this data centre's own
 *	holders wait.  Costs a hash look-up and a pass over the grants of the
 *	session for that organisation (at most about 40, one for each 50 ms).
 * RETURN VALUES
 *	false if the shard is not owned, the organisation is unknown or the
 *	serial number is not newer than the last one; *reply then grants none.
 */
bool rat_grant(struct rat_coordinator *coordinator, clk_ms now, clk_ms horizon,
    uint64_t session, const struct rat_request *request,
    struct rat_reply *reply);

/*
 * rat_borrow_list(coordinator, now, each, arg)
 *	Call each() for every organisation whose holders got less than they
 *	wanted since the last call, with a request to be sent to coordinators of
 *	other data centres.  Costs O(organisations that are short).  each must
 *	not call functions of the coordinator.
 * rat_borrowed(coordinator, now, sent, organisation, reply)
 *	Add a grant from another data centre; sent is when this instance sent
 *	the request.  It is handed on with the rest of its lifetime only.  To be
 *	called once for each reply.
 */
typedef void rat_each_request(const struct rat_request *request, void *arg);
void rat_borrow_list(struct rat_coordinator *coordinator, clk_ms now,
    rat_each_request *each, void *arg);
void rat_borrowed(struct rat_coordinator *coordinator, clk_ms now, clk_ms sent,
    const char *organisation, const struct rat_reply *reply);

/*
 * rat_coordinator_tick(coordinator, now)
 *	To be called every few seconds: free buckets that are full and have no
 *	grants outstanding; they would be created again in the same state.
 *	Costs one pass over the buckets in use, not over all organisations.
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
 * on_done: the end of a wait, RAT_TAKEN or RAT_REFUSED.  It may call any
 * function of the holder except rat_holder_free().
 */
typedef void rat_on_done(
    void *waiter, enum rat_outcome outcome, clk_ms retry_after, void *arg);

/* shard_of: the shard that an organisation hashes to. */
typedef uint16_t rat_shard_of(const char *organisation, void *arg);

struct rat_holder *
rat_holder_new(rat_shard_of *shard_of, rat_on_done *on_done, void *arg);
void rat_holder_free(struct rat_holder *holder);

/*
 * rat_take(holder, now, organisation, waiter, retry_after)
 *	Take a token for one request.  waiter identifies the request for
 *	on_done and must not be nil.  Costs one hash look-up.
 * rat_take_cancel(holder, organisation, waiter)
 *	The caller of a waiting request has gone.  Costs a pass over the
 *	organisation's waiters.
 */
enum rat_outcome rat_take(struct rat_holder *holder, clk_ms now,
    const char *organisation, void *waiter, clk_ms *retry_after);
void rat_take_cancel(
    struct rat_holder *holder, const char *organisation, void *waiter);

/*
 * rat_request_list(holder, now, each, arg)
 * rat_request_now(holder, now, organisation, each, arg)
 *	Call each() for every organisation, or for one, for which a request is
 *	due now: one that waits for tokens and has no request under way, or one
 *	that has used or has spare tokens to report, at most every 50 ms.  The
 *	daemon sends the requests at once; now counts as the send time.  each
 *	must not call functions of the holder.
 *	rat_request_list() is to be called every 25 ms and costs
 *	O(organisations that were active in the last few seconds).
 *	rat_request_now() is to be called after a rat_take() that returned
 *	RAT_WAITING and costs one hash look-up.
 * rat_granted(holder, now, organisation, serial, reply)
 *	The answer to the request with that serial number; reply nil if it
 *	failed or was refused.  Waiting requests are served in order.  A late
 *	answer is used for the rest of its lifetime; a duplicate is ignored.
 * rat_holder_tick(holder, now)
 *	End waits that are over: after RAT_WAIT if the coordinator's last answer
 *	was a refusal, else after RAT_SILENT_WAIT.  To be called every 25 ms.
 *Costs O(active organisations).  Organisations without activity are forgotten.
 * rat_holder_active(holder)
 *	The number of organisations in memory.
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
