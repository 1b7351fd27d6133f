/*
 * sweeper: deletes expired records from the store.
 *
 * The partitions are divided among the instances of a fleet by rank.  Each
 * instance sweeps its own in rounds.  A partition that has changed since it
 * was read is left for the next round.
 */
#ifndef SAMPHIRESHED_SWP_H
#define SAMPHIRESHED_SWP_H

#include <ev.h>
#include <stdbool.h>

#include "lib/clk.h"
#include "lib/lg.h"
#include "store/sto.h"

struct swp;

/* The expiry rule of a space; wall is the time of day. */
struct swp_rule {
	enum sto_space space;
	bool (*is_expired)(
	    const struct sto_record *record, clk_ms retention, clk_ms wall);
};

/*
 * swp_open(loop, lg, store, rules, count)
 *	The sweeper doesn't copy rules.  It starts when both the fleet and the
 *	retention are set.
 */
struct swp *swp_open(struct ev_loop *loop, struct lg *lg,
    const struct sto *store, const struct swp_rule *rules, size_t count);
void swp_close(struct swp *sweeper);

/*
 * swp_fleet_set(sweeper, instances, rank)
 *	Set the number of instances, and the rank of this one, from 0.
 */
void swp_fleet_set(struct swp *sweeper, unsigned instances, unsigned rank);
void swp_retention_set(struct swp *sweeper, clk_ms retention);

#endif
