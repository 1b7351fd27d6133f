/*
 * reach: which data centres, and whether the store, this instance reaches as
 * well as the others do.
 *
 * Load pattern: a data centre is cut off from the others and from the store
 * for some seconds.  Requests that go on into the cut, or callers that stay at
 * an instance which can't serve them, wait until their time is over.
 *
 * Fed by the messages of other instances, or of the relays of a large fleet,
 * which name their data centres and say whether the store answers.  A pause of
 * this process, or the loss of its own relays, doesn't count as silence of the
 * others.
 */
#ifndef SAMPHIRESHED_REACH_H
#define SAMPHIRESHED_REACH_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

struct reach;

/* reach_open(datacentre): datacentre is this instance's. */
struct reach *reach_open(const char *datacentre);
void reach_close(struct reach *reach);

/* What was heard of some instances of a data centre. */
struct reach_news {
	const char *source; /* a peer's name, or the data centre's */
	const char *datacentre;
	unsigned members; /* instances that are alive, one if it is a peer */
	unsigned served; /* of these, by the store */
	clk_ms patience; /* time after which silence of the source counts */
};

/*
 * reach_heard(reach, news, when)
 *	News of a data centre, of the time when.
 * reach_tick(reach, is_told, now)
 *	To be called several times a second while this process runs; is_told:
 *	news of all data centres could arrive.
 */
void
reach_heard(struct reach *reach, const struct reach_news *news, clk_ms when);
void reach_tick(struct reach *reach, bool is_told, clk_ms now);

/*
 * reach_is_cut(reach, datacentre, now)
 *	Whether none of the instances of another data centre, of which some
 *	were heard not long ago, is heard any more.
 */
bool
reach_is_cut(const struct reach *reach, const char *datacentre, clk_ms now);

/*
 * reach_is_worse_off(reach, store_age, now)
 *	Whether callers are better served by other instances: the store answered
 *	this one store_age ms ago, which is long, and either it answers most of
 *	the peers or all other data centres are cut off.
 */
bool
reach_is_worse_off(const struct reach *reach, clk_ms store_age, clk_ms now);

#endif
