/*
 * outage: whether the store can be expected to acknowledge a write that
 * starts now.
 *
 * Failure: the store is unresponsive for some seconds, as a whole or in some
 * of its partitions.  Turns that run meanwhile waste an upstream's time and
 * their caller's only retry, because their end waits for a record that nobody
 * acknowledges.
 *
 * Fed with the start and the outcome of each store call, by partition, and
 * with the reports of the reader of the operator's topic.  Evidence is a call
 * that was refused or timed out, or that has been outstanding for longer than
 * a store call takes, if it began after the last answer.  Evidence of a
 * partition that began to fail while others answered says nothing about the
 * others.
 */
#ifndef SAMPHIRESHED_OUTAGE_H
#define SAMPHIRESHED_OUTAGE_H

#include <stdbool.h>

#include "lib/clk.h"
#include "store/store.h"

/*
 * A call that has been outstanding for this time counts as unanswered: the
 * store's answers take 4 to 200 ms when it is slow.
 */
#define OUTAGE_OVERDUE_MS 250

struct outage;
struct outage_call;

enum outage_verdict {
	OUTAGE_ANSWERS, /* a write can be expected to be acknowledged */
	OUTAGE_UNKNOWN, /* one sign of failure: a probe will tell */
	OUTAGE_FAILS /* several signs, and no answer since */
};

struct outage *outage_open(clk_ms now);
void outage_close(struct outage *outage);

/*
 * outage_call_begin(outage, partition, now)
 *	A store call begins.  outage_call_end() must follow.
 * outage_call_end(outage, call, status, now)
 *	Its outcome.  STORE_OK and STORE_CONFLICT are answers.
 */
struct outage_call *outage_call_begin(
    struct outage *outage, const struct store_partition *partition, clk_ms now);
void outage_call_end(struct outage *outage, struct outage_call *call,
    enum store_status status, clk_ms now);

/*
 * outage_reader_report(outage, is_answered, now)
 *	A call of the reader of the operator's topic or of the list of
 *	upstreams ended.  They have an answer at least every 500 ms.
 */
void outage_reader_report(struct outage *outage, bool is_answered, clk_ms now);

/*
 * outage_verdict(outage, partition, now)
 *	What can be expected of a write to the partition that starts now.
 * outage_store_verdict(outage, now)
 *	The same for a partition of which nothing particular is known.
 */
enum outage_verdict outage_verdict(const struct outage *outage,
    const struct store_partition *partition, clk_ms now);
enum outage_verdict
outage_store_verdict(const struct outage *outage, clk_ms now);

#endif
