/*
 * qta: an organisation's rate and burst, counted over all instances.
 *
 * Every instance tells the others, several times a second, how many requests
 * of each organisation it has admitted since it started.  Each keeps a token
 * bucket for the whole fleet: all of it while every instance is heard, and
 * without the shares of those that are not.  An instance that hears nobody
 * has its own share only, so that the sum holds in a partition too.
 *
 * Answers the load pattern of one organisation that sends many times its
 * rate through all instances at once.  A refused turn loses all turns before
 * it, so a new program is turned away if the requests that the programs under
 * way are expected to make already need what the rate will give.
 */
#ifndef SAMPHIRESHED_QTA_H
#define SAMPHIRESHED_QTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

struct qta;

/* What one instance admitted of an organisation since it started. */
struct qta_count {
	uint32_t organisation; /* qta_hash() of the name */
	uint32_t admitted;
	uint32_t begun; /* programs among them, at their first request */
};

/*
 * By how much the sum over all instances may exceed rate x window + burst in
 * any window: a part of it, and a number of requests.
 */
struct qta_tolerance {
	double window_s;
	double part;
	double requests;
};

/*
 * qta_open(tolerance, start)
 *	Buckets begin with a part of the burst: the processes before this one
 *	may have spent the rest just before they ended.
 */
struct qta *qta_open(const struct qta_tolerance *tolerance, clk_ms start);
void qta_close(struct qta *qta);

uint32_t qta_hash(const char *name);

/*
 * qta_fleet_set(qta, instances, now)
 *	instances is the number of instances that may admit requests, this
 *	one included.
 */
void qta_fleet_set(struct qta *qta, unsigned instances, clk_ms now);

/*
 * qta_heard(qta, peer, incarnation, counts, n, now)
 *	A peer told what it has admitted.
 */
void qta_heard(struct qta *qta, const char *peer, uint64_t incarnation,
    const struct qta_count *counts, size_t n, clk_ms now);

/* Whose request asks for a token. */
enum qta_rank {
	QTA_UNDER_WAY, /* a request of a program that has begun, or of none */
	QTA_NEW_PROGRAM /* the first turn of a program */
};

/*
 * qta_admit(qta, name, rate, burst, rank, now, wait)
 *	Take a token of an organisation.  rate 0 means no limit.
 * RETURN VALUES
 *	false if there is none; *wait is then the time until there will be.
 */
bool qta_admit(struct qta *qta, const char *name, double rate, double burst,
    enum qta_rank rank, clk_ms now, clk_ms *wait);

/*
 * qta_refund(qta, name)
 *	A request that was admitted has not run: only those that run count.
 */
void qta_refund(struct qta *qta, const char *name);

/*
 * qta_tick(qta)
 *	To be called each time the instances tell each other: what this
 *	instance may admit until the next time is its part of the bucket, by
 *	its part of the requests.
 */
void qta_tick(struct qta *qta);

/* qta_counts(qta, counts, max): what this instance has admitted. */
size_t qta_counts(const struct qta *qta, struct qta_count *counts, size_t max);

/* The state of an organisation's bucket, for log lines. */
struct qta_state {
	double level; /* tokens of the whole fleet */
	double expected; /* requests that programs under way will make */
	double part; /* of the bucket that is this instance's in a tick */
	double share; /* of the rate that the instances in touch may use */
	unsigned own_tick; /* admitted here since the last tick */
};

struct qta_state qta_state(const struct qta *qta, const char *name, clk_ms now);

/* qta_live(qta, now): number of peers heard of late. */
unsigned qta_live(const struct qta *qta, clk_ms now);

#endif
