/*
 * reach: which data centres, and whether the store, this instance reaches as
 * well as the others do.
 *
 * Load pattern: a data centre is cut off from the others and from the store
 * for some seconds.  Requests that go on into the cut, or callers that stay at
 * an instance which can't serve them, wait until their time is over.
 *
 * Fed by the messages of other instances, each of which names its data centre
 * and how long ago the store answered it.  A pause of this process doesn't
 * count as silence of the others.
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

/*
 * reach_peer_heard(reach, name, datacentre, store_age, now)
 *	A message of a peer has arrived; the store answered the peer store_age
 *	ms before.
 * reach_tick(reach, now)
 *	To be called several times a second while this process runs.
 */
void reach_peer_heard(struct reach *reach, const char *name,
    const char *datacentre, clk_ms store_age, clk_ms now);
void reach_tick(struct reach *reach, clk_ms now);

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
