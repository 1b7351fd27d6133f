/*
 * plc: which upstream runs a request.
 *
 * Holds the upstreams that registered themselves, with what this instance
 * has learned of each: its speed, its load, the parts of prompts that it has
 * read, and its failures.  The choice is the upstream at which the request
 * is expected to end first.
 *
 * Answers the load pattern of engines of unequal speed before which many
 * instances decide at the same moment, and of lines of turns that move
 * between instances: instances tell each other what they run where and which
 * prompts they sent there, and count what the others are likely to add until
 * they tell again.
 */
#ifndef SAMPHIRESHED_PLC_H
#define SAMPHIRESHED_PLC_H

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
	bool is_ready; /* false: it is leaving */
	int64_t started; /* ms since 1970; another value: it started anew */
};

/* A part of a prompt; parts are shared between requests in order. */
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
	const struct plc_handle *tried; /* not to be chosen again */
	size_t tried_count;
};

/* plc_open(datacentre): datacentre is the one of this instance. */
struct plc *plc_open(const char *datacentre);
void plc_close(struct plc *plc);

/*
 * plc_update(plc, entry, now), plc_remove(plc, id)
 *	An upstream registered itself or changed its entry, or is gone.
 */
void plc_update(struct plc *plc, const struct plc_entry *entry, clk_ms now);
void plc_remove(struct plc *plc, const char *id);

/*
 * plc_lapse(plc, id, until), plc_expire(plc, now)
 *	The entry of an upstream has lapsed while the store was away: remove
 *	it at the time until, unless plc_update() is called for it before.
 *	plc_expire() removes those whose time has come.
 */
void plc_lapse(struct plc *plc, const char *id, clk_ms until);
void plc_expire(struct plc *plc, clk_ms now);

/* plc_fleet_set(plc, instances): how many instances share the upstreams. */
void plc_fleet_set(struct plc *plc, unsigned instances);

/* What instances tell each other, with the hash of an upstream's id. */
struct plc_load {
	uint32_t upstream;
	uint32_t running;
};

struct plc_kept {
	uint64_t part; /* of a prompt */
	uint32_t upstream; /* that has read it */
};

/*
 * plc_loads(plc, loads, max)
 *	Write what this instance runs at each upstream, to be told now.
 * plc_news(plc, kept, max)
 *	Write the parts of prompts sent since the call before the last one
 *	that the others may not know of, so that each is told twice.
 * plc_heard(plc, peer, loads, n, kept, kept_n, now)
 *	Another instance told.
 */
size_t plc_loads(struct plc *plc, struct plc_load *loads, size_t max);
size_t plc_news(struct plc *plc, struct plc_kept *kept, size_t max);
void plc_heard(struct plc *plc, const char *peer, const struct plc_load *loads,
    size_t n, const struct plc_kept *kept, size_t kept_n, clk_ms now);

/* plc_count(plc): upstreams known. */
unsigned plc_count(const struct plc *plc);

/* plc_ids(plc): ids of all upstreams, to be freed by g_ptr_array_free(). */
GPtrArray *plc_ids(const struct plc *plc);

/*
 * plc_choose(plc, request, now, handle)
 *	Choose an upstream and count the request as running there.
 * RETURN VALUES
 *	false if there is none that can take it.
 */
bool plc_choose(struct plc *plc, const struct plc_request *request, clk_ms now,
    struct plc_handle *handle);

/*
 * plc_get(plc, handle)
 *	Return the upstream's entry, or nil if it is gone.
 */
const struct plc_entry *
plc_get(const struct plc *plc, struct plc_handle handle);

/* How a request ended at an upstream. */
enum plc_outcome {
	PLC_SERVED,
	PLC_REJECTED, /* it was full and did not run the request */
	PLC_MISDIRECTED, /* another upstream answers at the address */
	PLC_UNREACHABLE, /* no connection */
	PLC_FAILED, /* an answer was cut, spoiled or missing */
	PLC_CANCELLED /* by this side */
};

/* plc_done(plc, handle, outcome, now): a chosen request is over. */
void plc_done(struct plc *plc, struct plc_handle handle,
    enum plc_outcome outcome, clk_ms now);

/*
 * plc_first(plc, handle, delay), plc_gap(plc, handle, gap, tokens)
 *	The first byte of an answer came after delay ms; an event of so many
 *	tokens followed the one before after gap ms.
 */
void plc_first(struct plc *plc, struct plc_handle handle, double delay);
void
plc_gap(struct plc *plc, struct plc_handle handle, double gap, unsigned tokens);

#endif
