/*
 * Placement: chooses the upstream that runs a request.
 *
 * Tracks the registered upstreams with their speed, load, cached prompt
 * parts and failures, and chooses the one at which the request is expected
 * to end first.
 *
 * Instances exchange their loads and the prompt parts that they sent to each
 * upstream by gossip, so that a program whose turns move between instances
 * stays where its prompt is cached.  Between two gossip messages an instance
 * estimates what the others add, so that instances which decide at the same
 * time don't all choose the fastest upstream.
 */
#ifndef SAMPHIRESHED_PLACE_H
#define SAMPHIRESHED_PLACE_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

struct plc;

/* A reference to an upstream: index and generation in a table. */
struct plc_handle {
	uint32_t index;
	uint32_t generation;
};

/* An upstream as it registered itself. */
struct plc_entry {
	const char *id;
	const char *service;
	const char *datacentre;
	struct sockaddr_in address;
	unsigned slots; /* requests that it runs at once */
	bool is_ready; /* false: it is stopping */
	int64_t started; /* ms since 1970; changes with a restart */
};

/* A part of a prompt; requests share leading parts. */
struct plc_part {
	uint64_t id;
	unsigned tokens;
};

/* What is known of a request when its upstream is chosen. */
struct plc_request {
	const char *service;
	const struct plc_part *parts;
	size_t part_count;
	unsigned output_tokens; /* expected */
	unsigned max_connections; /* to one upstream from this instance */
	const struct plc_handle *tried; /* excluded from the choice */
	size_t tried_count;
};

/* plc_open(datacentre): datacentre is this instance's. */
struct plc *plc_open(const char *datacentre);
void plc_close(struct plc *place);

/*
 * plc_update(place, entry, now), plc_remove(place, id)
 *	Add an upstream or update its entry; remove an upstream.
 */
void plc_update(struct plc *place, const struct plc_entry *entry, clk_ms now);
void plc_remove(struct plc *place, const char *id);

/*
 * plc_lapse(place, id, until), plc_expire(place, now)
 *	The entry of an upstream expired while the store was unavailable:
 *	remove it at the time until, unless plc_update()
 *	is called for it before.  plc_expire() removes the upstreams
 *	that are due, and the loads of peers that have timed out.
 */
void plc_lapse(struct plc *place, const char *id, clk_ms until);
void plc_expire(struct plc *place, clk_ms now);

/*
 * plc_fleet_set(place, instances)
 *	Set the number of instances that share the upstreams.
 */
void plc_fleet_set(struct plc *place, unsigned instances);

/* Requests of one instance that run at an upstream. */
struct plc_load {
	uint32_t upstream; /* hash of its id */
	uint32_t running;
};

/* A prompt part that an upstream has cached. */
struct plc_kept {
	uint64_t part; /* id */
	uint32_t upstream; /* hash of its id */
};

/*
 * plc_loads(place, loads, max)
 *	Write the number of requests that this instance runs at each
 *	upstream, for a gossip message that is sent now.
 * plc_news(place, cached, max)
 *	Write the prompt parts that became cached since the call before the
 *	last one: each is sent twice, as a message may be lost.
 * plc_heard(place, peer, loads, n, cached, cached_n, now)
 *	Merge a gossip message of another instance.
 */
size_t plc_loads(struct plc *place, struct plc_load *loads, size_t max);
size_t plc_news(struct plc *place, struct plc_kept *cached, size_t max);
void
plc_heard(struct plc *place, const char *peer, const struct plc_load *loads,
    size_t n, const struct plc_kept *cached, size_t cached_n, clk_ms now);

/* plc_count(place): number of upstreams. */
unsigned plc_count(const struct plc *place);

/*
 * plc_ids(place)
 *	Return the ids of all upstreams, to be freed by g_ptr_array_free().
 */
GPtrArray *plc_ids(const struct plc *place);

/*
 * plc_choose(place, request, now, handle)
 *	Choose an upstream and count the request as running there.
 * RETURN VALUES
 *	false if no upstream can take it.
 */
bool plc_choose(struct plc *place, const struct plc_request *request,
    clk_ms now, struct plc_handle *handle);

/*
 * plc_get(place, handle)
 *	Return the upstream's entry, or nil if it was removed.
 */
const struct plc_entry *
plc_get(const struct plc *place, struct plc_handle handle);

/* How a request ended at an upstream. */
enum plc_outcome {
	PLC_SERVED,
	PLC_REJECTED, /* it was full and did not run the request */
	PLC_MISDIRECTED, /* another upstream answers at the address */
	PLC_UNREACHABLE, /* no connection */
	PLC_FAILED, /* the answer was incomplete, invalid or missing */
	PLC_CANCELLED /* by this instance */
};

/* plc_done(place, handle, outcome, now): a request ended. */
void plc_done(struct plc *place, struct plc_handle handle,
    enum plc_outcome outcome, clk_ms now);

/*
 * plc_first(place, handle, delay)
 *	Add a sample: the first byte of an answer came after delay ms.
 * plc_gap(place, handle, gap, tokens)
 *	Add a sample: an event with that number of tokens followed the
 *	previous one after gap ms.
 */
void plc_first(struct plc *place, struct plc_handle handle, double delay);
void plc_gap(
    struct plc *place, struct plc_handle handle, double gap, unsigned tokens);

#endif
