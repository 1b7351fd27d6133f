/*
 * throttle: the rates that upstreams name, kept by all instances together.
 *
 * An upstream in need names in its answers the requests a second that it
 * takes from the whole fleet.  Every instance remembers what each upstream
 * said last, and learns from its peers' gossip what it said to them.
 *
 * A request for such an upstream needs a token.  All tokens of an upstream
 * come from one bucket, at the upstream's home (roster.h), so that the limit
 * holds for any number of instances and for limits below one request a second
 * for each of them.  A lost message can only leave a token unused.  A home
 * grants tokens as long as it takes itself for the home, and a side of a
 * partition that is not the larger one grants a part of the rate.  The bound
 * that this gives is in docs/decisions/0012-limits-of-upstreams.md.
 *
 * An upstream that is cold after its start takes few requests as well.  The
 * rate that it may get until it is warm (cold.h) is a second source of a limit
 * for the same bucket; the lower rate applies.  Its bound is in
 * docs/design/cold-upstreams.md.
 */
#ifndef SAMPHIRESHED_THROTTLE_H
#define SAMPHIRESHED_THROTTLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "roster/roster.h"

struct throttle;

/* The asker has no entry that says that the upstream is cold; it may be. */
#define THROTTLE_COLD_DOUBTED UINT32_MAX

/* What an upstream said of its limit. */
struct throttle_limit {
	uint32_t upstream; /* roster_hash() of its id */
	uint32_t rate; /* thousandths of a request a second; 0: no limit */
	uint32_t age; /* ms since the upstream said so */
	/* The rate of its bucket while it is cold; 0: not known to be cold. */
	uint32_t cold_rate;
	uint32_t cold; /* how much longer it is cold, in ms; 0: it is warm */
	/* ms since an entry said so, or THROTTLE_COLD_DOUBTED */
	uint32_t cold_age;
};

struct throttle *throttle_open(struct roster *roster);
void throttle_close(struct throttle *throttle);

/* throttle_rate(per_s): requests a second as the rate of a limit. */
uint32_t throttle_rate(double per_s);

/*
 * throttle_observe(throttle, upstream, rate, asked, now)
 *	An upstream has answered a request that this instance sent at the time
 *	asked.  The answer may be as old as the request, so one without a limit
 *	ends only a limit that was named before.
 * RETURN VALUES
 *	The rate before.
 */
uint32_t throttle_observe(struct throttle *throttle, uint32_t upstream,
    uint32_t rate, clk_ms asked, clk_ms now);

/*
 * throttle_merge(throttle, limits, n, now)
 *	Take what upstreams said to another instance, where it is newer.
 * throttle_collect(throttle, limits, max, now)
 *	Write the limits that upstreams named of late, or ended, for a gossip
 *	message that is sent now.  If there are more than max, they take turns.
 *	Returns the number there are.
 */
void throttle_merge(struct throttle *throttle,
    const struct throttle_limit *limits, size_t n, clk_ms now);
size_t throttle_collect(struct throttle *throttle,
    struct throttle_limit *limits, size_t max, clk_ms now);

/* What this instance knows itself of a cold upstream. */
struct throttle_cold {
	uint32_t rate; /* of its bucket while it is cold; 0: it never is */
	clk_ms until; /* as its entry says */
	clk_ms learned; /* when the entry was read */
	clk_ms doubted_until; /* it may have started again: cold until then */
};

/*
 * throttle_cold_set(throttle, upstream, cold, now)
 *	Set what this instance knows.  What another one has learned later holds
 *	against it.
 * throttle_is_cold(throttle, upstream)
 *	Whether a rate applies because it is cold.  Ends with throttle_collect()
 *	after the time.
 */
void throttle_cold_set(struct throttle *throttle, uint32_t upstream,
    const struct throttle_cold *cold, clk_ms now);
bool throttle_is_cold(const struct throttle *throttle, uint32_t upstream);

/* throttle_get(throttle, upstream, now): the limit as it is known here. */
struct throttle_limit
throttle_get(const struct throttle *throttle, uint32_t upstream, clk_ms now);

/*
 * throttle_is_limited(throttle, upstream): whether it has a limit.
 * throttle_limited(throttle): number of upstreams with a limit.
 */
bool throttle_is_limited(const struct throttle *throttle, uint32_t upstream);
unsigned throttle_limited(const struct throttle *throttle);

enum throttle_answer {
	THROTTLE_FREE, /* the upstream has no limit */
	THROTTLE_GRANTED, /* a token, to be used after *wait ms */
	THROTTLE_ASK, /* the home has the tokens */
	THROTTLE_REFUSED /* this instance's turn comes in *wait ms */
};

/*
 * throttle_take(throttle, upstream, max_wait, now, wait)
 *	Take a token for a request that this instance is about to send.  With
 *	a max_wait, a token of the near future may be reserved.
 * throttle_grant(throttle, limit, max_wait, now, wait)
 *	Take a token for another instance, which asks this one as the home
 *	and states the limit as it knows it.  Never THROTTLE_ASK.
 */
enum throttle_answer throttle_take(struct throttle *throttle, uint32_t upstream,
    clk_ms max_wait, clk_ms now, clk_ms *wait);
enum throttle_answer
throttle_grant(struct throttle *throttle, const struct throttle_limit *limit,
    clk_ms max_wait, clk_ms now, clk_ms *wait);

/*
 * throttle_hold(throttle, upstream, until)
 *	The home has refused a token until then; no further one is asked for.
 * throttle_held_until(throttle, upstream)
 *	Return that time, or 0 if there is none or the limit has ended.
 */
void throttle_hold(struct throttle *throttle, uint32_t upstream, clk_ms until);
clk_ms throttle_held_until(const struct throttle *throttle, uint32_t upstream);

/* ---- Messages between instances, in datagrams ---- */

/* Longest message, in bytes. */
#define THROTTLE_MESSAGE_MAX 80

enum throttle_kind {
	THROTTLE_MESSAGE_ASK, /* to the home */
	THROTTLE_MESSAGE_ANSWER /* from the home */
};

struct throttle_message {
	uint32_t kind; /* enum throttle_kind */
	uint64_t serial; /* assigned by the instance that asks */
	struct throttle_limit limit; /* as the sender knows it */
	uint32_t max_wait; /* ms, of a question */
	bool is_granted; /* of an answer; also if there is no limit */
	uint32_t wait; /* ms, of an answer: see enum throttle_answer */
};

/*
 * throttle_message_encode(buf, size, message)
 *	Returns the length, or 0 if the message does not fit.
 * throttle_message_decode(buf, len, message)
 *	Returns false if the bytes are not a valid message.
 * throttle_is_message(buf, len)
 *	Whether the bytes start with the protocol version of these messages.
 */
size_t throttle_message_encode(
    char *buf, size_t size, const struct throttle_message *message);
bool throttle_message_decode(
    char *buf, size_t len, struct throttle_message *message);
bool throttle_is_message(const char *buf, size_t len);

#endif
