/*
 * hold: requests that wait at an instance until the store answers again.
 *
 * Load: 61 to 195 instances at which requests arrive for some seconds while
 * the store is unresponsive, and which all see it return at the same moment.
 *
 * A request waits for as long as it could still run and end within the time
 * its caller waits, and begin to answer before its caller abandons it; how long
 * requests of a route run is learned from those that ended.  Programs that can
 * still be on time go first, earliest deadline first, those already late after
 * them.  The sends of an instance are spread over the first moments after the
 * store's return.
 */
#ifndef SAMPHIRESHED_HOLD_H
#define SAMPHIRESHED_HOLD_H

#include <stdbool.h>
#include <stddef.h>

#include "lib/clk.h"

struct hold;
struct hold_entry;

struct hold_request {
	const char *route; /* name */
	clk_ms deadline; /* of the attempt */
	clk_ms first_event_by; /* its caller leaves without one; 0: never */
	clk_ms timeout; /* of the attempt, from its arrival */
	clk_ms program_deadline; /* 0: none */
	size_t bytes; /* that it keeps in memory */
	void *arg;
};

/*
 * hold_open(count_max, bytes_max)
 *	At most count_max requests wait, with at most bytes_max bytes.
 */
struct hold *hold_open(unsigned count_max, size_t bytes_max);
void hold_close(struct hold *hold);

/*
 * hold_duration_record(hold, route, duration)
 *	A request of the route ran and ended after this time.
 * hold_duration(hold, route, timeout)
 *	The time that a request of the route is to be given, at most half of
 *	its timeout while nothing is known of the route.
 */
void
hold_duration_record(struct hold *hold, const char *route, clk_ms duration);
clk_ms
hold_duration(const struct hold *hold, const char *route, clk_ms timeout);

/*
 * hold_is_too_late(hold, request, now)
 *	Whether the request could not end in time if it was sent now.
 * hold_add(hold, request, now)
 *	Add a request; nil if there is no room.
 * hold_remove(hold, entry)
 *	Remove a request from the queue.
 */
bool hold_is_too_late(
    const struct hold *hold, const struct hold_request *request, clk_ms now);
struct hold_entry *
hold_add(struct hold *hold, const struct hold_request *request, clk_ms now);
void hold_remove(struct hold *hold, struct hold_entry *entry);

/*
 * hold_expired(hold, now)
 *	Return a request that has to be sent now or refused, or nil.
 * hold_next(hold, is_ready, now)
 *	Return the first request, in the order above, that is ready, or nil.
 *	is_ready() must not change the queue.
 */
struct hold_entry *hold_expired(const struct hold *hold, clk_ms now);
typedef bool hold_is_ready(void *arg);
struct hold_entry *
hold_next(struct hold *hold, hold_is_ready *is_ready, clk_ms now);

/*
 * hold_release_begin(hold, draw, now)
 *	The store answers: sends begin, spread over the first moments, or at
 *	once if all have waited for a short time only.  Returns the time until
 *	the first one; draw is between 0 and 1.
 * hold_pace(hold, draw)
 *	Return the time from a send to the next one.
 */
clk_ms hold_release_begin(struct hold *hold, double draw, clk_ms now);
clk_ms hold_pace(const struct hold *hold, double draw);

void *hold_arg(const struct hold_entry *entry);
clk_ms hold_since(const struct hold_entry *entry);
unsigned hold_count(const struct hold *hold);
size_t hold_bytes(const struct hold *hold);

#endif
