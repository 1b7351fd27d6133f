/*
 * departure: which upstreams have said that they are leaving.
 *
 * An upstream that is about to stop says so in its registration and in its
 * answers.  The word holds for one run of the upstream, which its start time
 * identifies, whatever its registration says later; it outlasts the
 * registration.  Instances tell each other, so that one that can't read the
 * registrations knows as well.
 */
#ifndef SAMPHIRESHED_DEPARTURE_H
#define SAMPHIRESHED_DEPARTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

struct departures;

/* An upstream's word, for the other instances. */
struct departure {
	uint64_t started; /* start time of the run, see struct place_entry */
	uint32_t upstream; /* roster_hash() of its id */
	uint32_t age; /* ms since the first instance learned of it */
};

/* Number of departures that are remembered; the oldest ones are forgotten. */
#define DEPARTURES_MAX 16384

struct departures *departures_open(void);
void departures_close(struct departures *departures);

/*
 * departures_add(departures, upstream, started, since, now)
 *	The run of the upstream has said at the time since that it is leaving.
 * RETURN VALUES
 *	Whether this was not known.
 */
bool departures_add(struct departures *departures, uint32_t upstream,
    uint64_t started, clk_ms since, clk_ms now);

/*
 * departures_forget(departures, upstream, started)
 *	A new run has the same start time: none was stated.
 */
void departures_forget(
    struct departures *departures, uint32_t upstream, uint64_t started);

/*
 * departures_since(departures, upstream, started)
 *	Return the time since which the run is known to be leaving, or
 *	DEPARTURE_NONE.
 */
#define DEPARTURE_NONE INT64_MAX
clk_ms departures_since(
    const struct departures *departures, uint32_t upstream, uint64_t started);

/*
 * departures_is_heard(departures, upstream, time)
 *	Whether a run of the upstream, whichever it was, is known since the
 *	time or later to be leaving.
 */
bool departures_is_heard(
    const struct departures *departures, uint32_t upstream, clk_ms time);

/*
 * departures_collect(departures, entries, max, now)
 *	Write the departures that this instance learned of lately, the latest
 *	first, for a message to the other instances that is sent now.
 * RETURN VALUES
 *	The number of them, of which at most max are written.
 */
size_t departures_collect(const struct departures *departures,
    struct departure *entries, size_t max, clk_ms now);

#endif
