/*
 * relay: who tells whom in a large fleet.
 *
 * In a small fleet each instance tells every other one.  In a large one each
 * data centre has two relays, the first of its instances by weight.  A member
 * tells its state to both several times a second; a relay tells its members
 * and the relays of the other data centres what it was told, as a summary of
 * each data centre.  So the messages of a member don't grow with the fleet,
 * and those of a relay grow with its data centre.
 *
 * Nobody elects a relay: members choose the first two that they hear, and who
 * is told by members relays.
 *
 * The module decides; it holds no socket and reads no clock.
 */
#ifndef SAMPHIRESHED_RELAY_H
#define SAMPHIRESHED_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "place/place.h"

struct relay;

/*
 * Number of relays that a member tells its state, and the most that it tries
 * at a time while it hears none.
 */
#define RELAY_COUNT	  2
#define RELAY_TARGETS_MAX 32

/* relay_open(name, datacentre): of this instance. */
struct relay *relay_open(const char *name, const char *datacentre);
void relay_close(struct relay *relay);

/*
 * relay_member_set(relay, name, datacentre, weight)
 *	An instance, this one included, is in the fleet.  Those with a larger
 *	weight are relays first.
 * relay_member_remove(relay, name)
 *	It is not in the fleet any more.
 */
void relay_member_set(struct relay *relay, const char *name,
    const char *datacentre, unsigned weight);
void relay_member_remove(struct relay *relay, const char *name);

/*
 * relay_heard(relay, name, now)
 *	A message of another instance has arrived, with summaries in it.
 * relay_is_heard(relay, now)
 *	Whether a relay was heard lately, or this instance is one.
 */
void relay_heard(struct relay *relay, const char *name, clk_ms now);
bool relay_is_heard(const struct relay *relay, clk_ms now);

/*
 * relay_targets(relay, now, targets)
 *	Choose the relays to be told this instance's state now.
 * RETURN VALUES
 *	Their number; it may be one of them.
 */
size_t relay_targets(
    struct relay *relay, clk_ms now, const char *targets[RELAY_TARGETS_MAX]);

/*
 * relay_is_acting(relay, now)
 *	Whether this instance is a relay: of its own, or of others.
 */
bool relay_is_acting(const struct relay *relay, clk_ms now);

/*
 * relay_beat(relay, name, served, loads, n, now)
 *	A member's state has arrived: whether the store answers it, and its
 *	loads.  This instance tells itself as well.
 * relay_listeners(relay, now)
 *	Return the names of the other members that told their state lately, and
 *	now and then of all while those are few, to be freed by
 *	g_ptr_array_free(); the names are the relay's.
 * relay_others(relay, now)
 *	Return the names of the relays of the other data centres: those that
 *	were heard lately, and the first two of each.
 */
void relay_beat(struct relay *relay, const char *name, bool served,
    const struct place_load *loads, size_t n, clk_ms now);
GPtrArray *relay_listeners(struct relay *relay, clk_ms now);
GPtrArray *relay_others(const struct relay *relay, clk_ms now);

/* What is told of a data centre. */
struct relay_summary {
	char *datacentre;
	uint32_t age; /* ms since its relay made it */
	uint32_t served; /* of the members, by the store */
	uint32_t relay; /* roster_hash() of its name */
	uint32_t *members; /* roster_hash() of the names */
	unsigned member_len;
	struct place_load *loads; /* of all members together */
	unsigned load_len;
};

/* Most members and loads of a summary; the others take turns. */
#define RELAY_MEMBERS_MAX 256
#define RELAY_LOADS_MAX	  100
/* Most summaries of a message. */
#define RELAY_SUMMARIES_MAX 16

/*
 * relay_summary_make(relay, now)
 *	Make the summary of this data centre from the members' states.  Returns
 *	nil if no member told one.
 * relay_summary_merge(relay, summary, now)
 *	Remember the summary of a data centre.
 * RETURN VALUES
 *	Whether it counts: a relay that has just started, or wakes, hears few
 *	members; its summary doesn't replace that of another one.  Nor does
 *	one of a data centre without members count.
 * relay_summaries(relay, now)
 *	Return what is to be told of the other data centres now, as an array of
 *	struct relay_summary, to be freed by g_array_free(); what they point to
 *	is the relay's.  It is empty every second time.
 */
const struct relay_summary *relay_summary_make(struct relay *relay, clk_ms now);
bool relay_summary_merge(
    struct relay *relay, const struct relay_summary *summary, clk_ms now);
GArray *relay_summaries(struct relay *relay, clk_ms now);

#endif
