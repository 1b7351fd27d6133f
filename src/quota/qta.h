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
 * rate through all instances at once.
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
};

/*
 * qta_open(start)
 *	Buckets begin empty: the processes before this one may have spent
 *	them just before they ended.
 */
struct qta *qta_open(clk_ms start);
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

/*
 * qta_admit(qta, name, rate, burst, now, wait)
 *	Take a token of an organisation.  rate 0 means no limit.
 * RETURN VALUES
 *	false if there is none; *wait is then the time until there will be.
 */
bool qta_admit(struct qta *qta, const char *name, double rate, double burst,
    clk_ms now, clk_ms *wait);

/*
 * qta_tick(qta)
 *	To be called each time the instances tell each other: what this
 *	instance may admit until the next time is its part of the bucket, by
 *	its part of the requests.
 */
void qta_tick(struct qta *qta);

/* qta_counts(qta, counts, max): what this instance has admitted. */
size_t qta_counts(const struct qta *qta, struct qta_count *counts, size_t max);

/* qta_live(qta, now): number of peers heard of late. */
unsigned qta_live(const struct qta *qta, clk_ms now);

#endif
