/*
 * swp: drops records that nobody can need any more.
 *
 * The instances of a fleet divide the places among them by rank, and each
 * goes round its own.  A place that has changed since it was read is left
 * for the next round.
 */
#ifndef SAMPHIRESHED_SWP_H
#define SAMPHIRESHED_SWP_H

#include <ev.h>
#include <stdbool.h>

#include "lib/clk.h"
#include "lib/lg.h"
#include "store/sto.h"

struct swp;

/* Which records of a space have expired, at a time of day. */
struct swp_rule {
	enum sto_space space;
	bool (*is_expired)(
	    const struct sto_record *record, clk_ms retention, clk_ms wall);
};

/*
 * swp_open(loop, lg, sto, rules, count)
 *	rules must last as long as the sweeper, which begins when a fleet and
 *	a retention are set.
 */
struct swp *swp_open(struct ev_loop *loop, struct lg *lg, const struct sto *sto,
    const struct swp_rule *rules, size_t count);
void swp_close(struct swp *swp);

/* swp_fleet_set(swp, instances, rank): rank is this instance's, from 0. */
void swp_fleet_set(struct swp *swp, unsigned instances, unsigned rank);
void swp_retention_set(struct swp *swp, clk_ms retention);

#endif
