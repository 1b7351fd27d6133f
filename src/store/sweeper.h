/*
 * sweeper: deletes expired records from the store.
 *
 * The partitions are divided among the instances of a fleet by rank.  Each
 * instance sweeps its own in rounds.  A partition that has changed since it
 * was read is left for the next round.
 */
#ifndef SAMPHIRESHED_SWEEPER_H
#define SAMPHIRESHED_SWEEPER_H

#include <ev.h>
#include <stdbool.h>

#include "lib/clk.h"
#include "lib/lg.h"
#include "store/store.h"

struct sweeper;

/* The expiry rule of a space; wall is the time of day. */
struct sweeper_rule {
	enum store_space space;
	unsigned slots; /* of the space */
	bool (*is_expired)(
	    const struct store_record *record, clk_ms retention, clk_ms wall);
};

/*
 * sweeper_open(loop, lg, store, rules, count)
 *	The sweeper doesn't copy rules.  It starts when both the fleet and the
 *	retention are set.
 */
struct sweeper *sweeper_open(struct ev_loop *loop, struct lg *lg,
    const struct store *store, const struct sweeper_rule *rules, size_t count);
void sweeper_close(struct sweeper *sweeper);

/*
 * sweeper_fleet_set(sweeper, instances, rank)
 *	Set the number of instances, and the rank of this one, from 0.
 */
void
sweeper_fleet_set(struct sweeper *sweeper, unsigned instances, unsigned rank);

/*
 * sweeper_retention_set(sweeper, retention)
 *	Set the longest retention of the configuration, in ms.  Nothing is swept
 *	while it is 0.
 * sweeper_pause_set(sweeper, is_paused)
 *	Sweep nothing meanwhile: the retention may be out of date.
 */
void sweeper_retention_set(struct sweeper *sweeper, clk_ms retention);
void sweeper_pause_set(struct sweeper *sweeper, bool is_paused);

#endif
