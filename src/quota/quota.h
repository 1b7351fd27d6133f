/*
 * Quotas: limit an organisation's rate and burst over all instances.
 *
 * Several times a second every instance reports to its peers how many requests
 * of each organisation it has admitted.  Each keeps a token bucket for the
 * whole fleet, without the shares of the peers that have timed out.  An
 * instance without peers has its own share only, so that the limit holds in a
 * partition too.
 *
 * An instance may admit only a part of the bucket before it reports what it
 * has admitted.  The limit therefore holds for any number of organisations:
 * one that a report has no room for waits for the next one.
 *
 * What the tolerance allows beyond the bucket is divided among the instances.
 * In a large fleet that is less than one request each; two instances, the
 * organisation's homes, then hold it, and the others ask them for tokens.
 *
 * In a large fleet (roster.h) reports would be too many and too late.  There
 * the organisation's first home admits all of its requests, for the others by
 * their questions, and tells the second one, which stands in while the first
 * does not answer.  A home that sees a better one says so with its level, which
 * is then the new home's; without that, as after a death, a new home begins
 * with a part of the tolerance, as it can't know what was just admitted.
 *
 * A refused turn wastes all turns before it.  A new program is therefore
 * refused if the expected requests of the active programs already need the
 * tokens that the rate will give.
 */
#ifndef SAMPHIRESHED_QUOTA_H
#define SAMPHIRESHED_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "roster/roster.h"
#include "lib/clk.h"

struct quota;

/* An organisation's limit. */
struct quota_limit {
	uint32_t organisation; /* quota_hash() of the name */
	uint32_t rate; /* thousandths of a request a second; 0: no limit */
	uint32_t burst; /* thousandths of a request */
};

/*
 * The requests of an organisation at one instance in a period, which ends
 * after a window without any.  Later periods have higher numbers.
 */
struct quota_count {
	struct quota_limit limit;
	uint32_t period;
	uint32_t requested;
	uint32_t admitted;
	uint32_t programs; /* first requests of programs among them */
	/*
	 * Thousandths of a token in the fleet's bucket, or QUOTA_LEVEL_UNKNOWN:
	 * the sender has not kept the bucket itself until now.
	 */
	uint32_t level;
	/* In a large fleet, roster_hash() of the first home for the sender. */
	uint32_t first;
};

#define QUOTA_LEVEL_UNKNOWN UINT32_MAX

/*
 * By how much all instances together may exceed rate x window + burst in any
 * window: a fraction of it, plus a number of requests.
 */
struct quota_tolerance {
	double window_s;
	double fraction;
	double requests;
};

/*
 * quota_open(roster, tolerance, start)
 *	Buckets start with a part of the burst: the processes before this one
 *	may have used the rest just before they stopped.
 */
struct quota *quota_open(struct roster *roster,
    const struct quota_tolerance *tolerance, clk_ms start);
void quota_close(struct quota *quota);

uint32_t quota_hash(const char *name);

/* quota_limit_make(name, rate, burst): requests a second, and requests. */
struct quota_limit
quota_limit_make(const char *name, double rate, double burst);

/* quota_expire(quota, now): drop what peers reported long ago. */
void quota_expire(struct quota *quota, clk_ms now);

/*
 * quota_gossip_merge(quota, peer, incarnation, counts, n, now)
 *	Merge the counts of a peer's gossip message.
 */
void
quota_gossip_merge(struct quota *quota, const char *peer, uint64_t incarnation,
    const struct quota_count *counts, size_t n, clk_ms now);

/* Priority of a request: new programs leave tokens to active ones. */
enum quota_priority {
	QUOTA_ACTIVE_PROGRAM, /* a request of an active program, or of none */
	QUOTA_NEW_PROGRAM /* the first turn of a program */
};

enum quota_answer {
	QUOTA_REFUSED,
	QUOTA_ADMITTED,
	QUOTA_ASK /* the bucket has tokens, but not for this instance */
};

/*
 * quota_admit(quota, limit, priority, now, wait)
 *	Take a token from an organisation's bucket for a request that came to
 *	this instance.  If it is refused, *wait is the time until there is a
 *	token.
 * quota_grant(quota, limit, priority, now, wait)
 *	Take a token for a request that came to another instance, which asks
 *	this one as a home, see roster_home().  Returns whether there is one.
 *	If there is none and *wait is 0, the organisation isn't known to be
 *	above its rate: this instance is no home, or may not say.
 */
enum quota_answer
quota_admit(struct quota *quota, const struct quota_limit *limit,
    enum quota_priority priority, clk_ms now, clk_ms *wait);
bool quota_grant(struct quota *quota, const struct quota_limit *limit,
    enum quota_priority priority, clk_ms now, clk_ms *wait);

/*
 * quota_refund(quota, organisation)
 *	Give back the token of a request that did not run, at the instance
 *	that admitted it or granted the token.
 */
void quota_refund(struct quota *quota, uint32_t organisation);

/*
 * quota_report(quota, counts, max, now)
 *	Write what this instance has admitted, for a gossip message that is
 *	sent now, and start an interval.  Organisations with requests that no
 *	report has yet come first, the oldest first; the instance may again
 *	admit requests of those that are written, up to the part of the bucket
 *	that corresponds to its part of the recent requests.  Then come, in
 *	turn, those with a request in the last window, as a message may be
 *	lost.
 * RETURN VALUES
 *	The number of these organisations, of which at most max are written.
 */
size_t quota_report(
    struct quota *quota, struct quota_count *counts, size_t max, clk_ms now);

/* The state of an organisation's bucket, for log lines. */
struct quota_state {
	double level; /* tokens of the whole fleet */
	double expected; /* further requests of active programs */
	double part; /* of the recent requests, at this instance */
	double share; /* of the rate, for this instance and its live peers */
	unsigned unreported; /* admitted here, in no message yet */
};

struct quota_state
quota_state(const struct quota *quota, uint32_t organisation);

#endif
