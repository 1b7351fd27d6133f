/*
 * roster: which instances are alive, as heard from their gossip messages, and
 * which of them is responsible for a key.
 *
 * Every instance names the same homes for a key as long as it hears the same
 * peers.  In a partition each side has homes of its own; the share tells how
 * large a part of the fleet a side is.
 *
 * In a large fleet peers are not heard themselves: the relays of their data
 * centre name those that are alive, see relay/relay.h.
 *
 * An instance that stops as planned is alive until it exits, and one that has
 * just started knows little: both say so, and are homes only if there is
 * nobody else.  Questions to homes that had exited, or had not yet heard of
 * the buckets, were most of the refusals below the rate while instances were
 * restarted in turn.
 */
#ifndef SAMPHIRESHED_ROSTER_H
#define SAMPHIRESHED_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

struct roster;

/* roster_open(name): name is this instance's. */
struct roster *roster_open(const char *name);
void roster_close(struct roster *roster);

/* roster_hash(text): hash of a name or key, the same at all instances. */
uint32_t roster_hash(const char *text);

/*
 * roster_size_set(roster, instances, now)
 *	Set the number of instances, this one included.  Until it is known,
 *	the share of this instance and its peers is small.  Removes the peers
 *	that have not been heard for long.
 * roster_peer_heard(roster, name, now)
 *	A gossip message of a peer has arrived.
 */
void roster_size_set(struct roster *roster, unsigned instances, clk_ms now);
void roster_peer_heard(struct roster *roster, const char *name, clk_ms now);

/* Most instances of a fleet in which each tells every other one. */
#define ROSTER_MESH_MAX 24

/* The peers of a data centre that are alive, as a relay has named them. */
struct roster_members {
	const char *datacentre;
	const uint32_t *hashes; /* roster_hash() of their names */
	size_t n;
	clk_ms age;
	uint32_t relay; /* roster_hash() of its name */
};

/*
 * roster_is_relayed(roster): whether the fleet is a large one.
 * roster_peer_known(roster, name, datacentre, now)
 *	A peer is in the fleet; it is not alive before it is heard.
 * roster_members_heard(roster, members, now)
 *	A relay has named peers.  One that it named before and left out now is
 *	taken for dead soon.  Returns how many peers aren't known.
 * roster_name(roster, hash): the name of a peer, or nil.
 * roster_own_hash(roster): hash of this instance's name.
 */
bool roster_is_relayed(const struct roster *roster);
void roster_peer_known(struct roster *roster, const char *name,
    const char *datacentre, clk_ms now);
unsigned roster_members_heard(
    struct roster *roster, const struct roster_members *members, clk_ms now);
const char *roster_name(const struct roster *roster, uint32_t hash);
uint32_t roster_own_hash(const struct roster *roster);

/*
 * roster_size(roster): the number of instances.
 * roster_live_peers(roster, now): number of peers that have not timed out.
 * roster_share(roster, now)
 *	This instance and its live peers as a part of all instances.
 */
unsigned roster_size(const struct roster *roster);
unsigned roster_live_peers(const struct roster *roster, clk_ms now);
double roster_share(struct roster *roster, clk_ms now);

/* An instance has said that it is no home for now. */
struct roster_absence {
	uint32_t instance; /* roster_hash() of its name */
	uint32_t said; /* when, in ms of its clock */
};

/*
 * roster_absence_update(roster, is_stopping, started, now)
 *	Decide, before each message, whether this instance says that it is no
 *	home: while it stops, and in a large fleet from its start until the
 *	others know it and it hears most of them.  In a large fleet it is one
 *	again only when the others have forgotten what it said.
 * roster_is_absent(roster, now): whether it is no home.
 * roster_absences_collect(roster, absences, max, now)
 *	Write what is to be told of this instance and the others.  Returns
 *	their number, of which at most max are written.
 * roster_absences_merge(roster, absences, n, now)
 *	Another instance has told this.  Returns how many are absent that
 *	weren't before.
 */
void roster_absence_update(
    struct roster *roster, bool is_stopping, clk_ms started, clk_ms now);
bool roster_is_absent(const struct roster *roster, clk_ms now);
size_t roster_absences_collect(struct roster *roster,
    struct roster_absence *absences, size_t max, clk_ms now);
unsigned roster_absences_merge(struct roster *roster,
    const struct roster_absence *absences, size_t n, clk_ms now);

/*
 * Number of homes of a key, and of ranks: those from ROSTER_HOMES on are the
 * next homes.
 */
#define ROSTER_HOMES 2
#define ROSTER_RANKS 4

/*
 * roster_home(roster, key, rank, now)
 *	Return the name of a home of the key, of rank 0 to ROSTER_RANKS - 1, or
 *	nil if there is none or it is this instance.
 * roster_is_home(roster, key, rank, now)
 *	Whether this instance is the home of that rank.
 */
const char *roster_home(
    const struct roster *roster, uint32_t key, unsigned rank, clk_ms now);
bool roster_is_home(
    const struct roster *roster, uint32_t key, unsigned rank, clk_ms now);

/*
 * roster_first_since(roster, key, now)
 *	If this instance is the first home of the key, since when: the last time
 *	that it, or one that ranks before it, ceased to be alive or was told to
 *	be no home; at the earliest, since the roster was opened.
 */
clk_ms
roster_first_since(const struct roster *roster, uint32_t key, clk_ms now);

#endif
