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
#include "place/departure.h"
#include "place/evacuation.h"
#include "reach/reach.h"
#include "spill/spill.h"
#include "throttle/throttle.h"

struct place;

/* A reference to an upstream: index and generation in a table. */
struct place_handle {
	uint32_t index;
	uint32_t generation;
};

/* An upstream as it registered itself. */
struct place_entry {
	const char *id;
	const char *service;
	const char *datacentre;
	const char *version; /* of its software */
	struct sockaddr_in address;
	unsigned slots; /* requests that it runs at once */
	bool is_ready; /* false: it says that it is leaving */
	int64_t started; /* ms since 1970; changes with a restart; 0: unknown */
	int64_t sequence; /* of the entry; begins anew with a restart */
	/* How much longer it is cold, see throttle/cold.h. */
	clk_ms cold_remaining;
	bool is_cold_stated; /* false: the entry doesn't say */
	bool is_cold_odd; /* what it says is no time */
};

/* A part of a prompt; different requests may share their first parts. */
struct place_part {
	uint64_t id;
	unsigned tokens;
};

/* What is known of a request when its upstream is chosen. */
struct place_request {
	const char *service;
	const struct place_part *parts;
	size_t part_count;
	/* Hash of the object that a request without parts concerns; 0: none. */
	uint32_t object;
	unsigned output_tokens; /* expected */
	unsigned
	    slots; /* of the service's engines, as configured; 0: unknown */
	size_t bytes; /* of the request, with its history */
	clk_ms left; /* until its deadline; 0: not known */
	unsigned max_connections; /* to one upstream from this instance */
	const struct place_handle *tried; /* excluded from the choice */
	size_t tried_count;
	/* Upstreams with no token for a while are excluded; nil: none are. */
	const struct throttle *throttle;
	/* Upstreams of data centres that are cut off come last; nil: none. */
	const struct reach *reach;
	clk_ms max_wait; /* for a token */
	bool is_unlimited_only; /* upstreams with a limit are excluded */
	/*
	 * Regions outside of which upstreams are excluded, interned strings;
	 * both lists apply; nil: none are.
	 */
	const GPtrArray *route_regions;
	const GPtrArray *organisation_regions;
	const char *version; /* all others are excluded; nil: none are */
	/* All others cost other_version_ms more; nil: none do. */
	const char *preferred_version;
	double other_version_ms;
};

/* place_open(datacentre): datacentre is this instance's. */
struct place *place_open(const char *datacentre);
void place_close(struct place *place);

/*
 * place_upstream_update(place, entry, now), place_upstream_remove(place, id)
 *	Add an upstream or update its entry; remove an upstream.  An update
 *	returns whether the upstream is new, or has started again.
 */
bool place_upstream_update(
    struct place *place, const struct place_entry *entry, clk_ms now);
void place_upstream_remove(struct place *place, const char *id);

/*
 * place_entries_confirm(place, when)
 *	All entries that were written before the time when are known.
 */
void place_entries_confirm(struct place *place, clk_ms when);

/*
 * place_upstream_remove_at(place, id, until), place_expire(place, now)
 *	The entry of an upstream expired while the store was unavailable.
 *	The upstream stays in use and is removed at the time until, unless
 *	place_upstream_update() is called for it before.  place_expire()
 *	removes the upstreams that are due, and the loads of peers that have
 *	timed out.
 */
void
place_upstream_remove_at(struct place *place, const char *id, clk_ms until);
void place_expire(struct place *place, clk_ms now);

/*
 * place_leaving_record(place, handle, now)
 *	The upstream has said in an answer that it is leaving.  It gets no
 *	request from now on, until it has started again.
 * place_leaving_merge(place, departures, n, now)
 *	Merge what upstreams said to another instance.
 * place_departures(place): what is known of them.
 *	The first two return the number of upstreams that were not known to be
 *	leaving.
 */
unsigned place_leaving_record(
    struct place *place, struct place_handle handle, clk_ms now);
unsigned place_leaving_merge(struct place *place,
    const struct departure *departures, size_t n, clk_ms now);
const struct departures *place_departures(const struct place *place);

/*
 * place_evacuations(place)
 *	Return the evacuated data centres, whose upstreams get nothing new.  The
 *	caller may change them.
 */
struct evacuations *place_evacuations(struct place *place);

/*
 * place_evacuations_apply(place)
 *	Apply what place_evacuations() says now.  Returns whether the evacuated
 *	data centres are other ones than before.
 */
bool place_evacuations_apply(struct place *place);

/*
 * place_region_set(place, datacentre, region)
 *	Set the region of a data centre, before any upstream is added.  One
 *	without a region is in none that a request may be restricted to.
 * place_has_region(place, region): whether a data centre is there.
 */
void place_region_set(
    struct place *place, const char *datacentre, const char *region);
bool place_has_region(const struct place *place, const char *region);

/*
 * place_doubt_set(place, on_doubt, arg)
 *	Call on_doubt() with the hash of the id of an upstream that may have
 *	started again without its entry being read: it has failed (is_failure),
 *	or its data centre is not evacuated any more.
 * place_throttle_set(place, throttle)
 *	Samples of upstreams that are cold there don't count once they are warm.
 */
typedef void place_on_doubt(void *arg, uint32_t upstream, bool is_failure);

void place_doubt_set(struct place *place, place_on_doubt *on_doubt, void *arg);
void place_throttle_set(struct place *place, const struct throttle *throttle);

/*
 * place_last_resort_set(place, time)
 *	Set the time after its word for which a leaving upstream still gets
 *	requests that are bound to a software version which no other upstream
 *	has.  0, as at first: none.
 */
void place_last_resort_set(struct place *place, clk_ms time);

/*
 * place_spill_set(place, spill)
 *	Let spill decide which requests leave this data centre; nil, as at
 *	first: each goes to the cheapest upstream.  The caller keeps spill.
 */
void place_spill_set(struct place *place, struct spill *spill);

/* place_spill_part(place, service): see spill_part(); 1 without spill. */
double place_spill_part(const struct place *place, const char *service);

/*
 * place_instances_set(place, instances)
 *	Set the number of instances that share the upstreams.
 */
void place_instances_set(struct place *place, unsigned instances);

/* Requests of one instance that run at an upstream. */
struct place_load {
	uint32_t upstream; /* hash of its id */
	uint32_t running;
};

/* A prompt part that an upstream has cached. */
struct place_cached_part {
	uint64_t part; /* id */
	uint32_t upstream; /* hash of its id */
};

/*
 * place_loads_collect(place, loads, max)
 *	Write the number of requests that this instance runs at each
 *	upstream, for a gossip message that is sent now.  If there are more
 *	than max, the upstreams take turns.
 * place_cached_parts_collect(place, cached, max)
 *	Write prompt parts that became cached, to be sent to the peers: each
 *	is written by two calls, see lib/outbox.h.
 *	Both return the number of entries, of which at most max are written.
 * place_gossip_merge(place, peer, loads, n, now)
 *	Merge the loads of another instance.
 */
/*
 * place_sum_merge(place, datacentre, loads, n, now)
 *	Merge the loads of all instances of a data centre together.  Those of
 *	this one's are with what it collected last.
 */
size_t
place_loads_collect(struct place *place, struct place_load *loads, size_t max);
size_t place_cached_parts_collect(
    struct place *place, struct place_cached_part *cached, size_t max);
void place_gossip_merge(struct place *place, const char *peer,
    const struct place_load *loads, size_t n, clk_ms now);
/*
 * place_cached_parts_merge(place, cached, n, now)
 *	Merge cached parts of a message.  Those that are news are moved to the
 *	front; returns how many.
 */
size_t place_cached_parts_merge(struct place *place,
    struct place_cached_part *cached, size_t n, clk_ms now);
void place_sum_merge(struct place *place, const char *datacentre,
    const struct place_load *loads, size_t n, clk_ms now);

/* Slots of the ready upstreams of a service with one software version. */
struct place_version {
	const char *service;
	const char *version;
	unsigned slots;
};

/*
 * place_versions_collect(place)
 *	Return the versions of upstreams that don't leave, as an array of struct
 *place_version, to be freed by g_array_free().  The strings are valid until the
 *next change of an upstream.
 */
GArray *place_versions_collect(const struct place *place);

/*
 * place_is_served(place, service, version)
 *	Whether an upstream of the service that does not leave has the software
 *	version.
 */
bool place_is_served(
    const struct place *place, const char *service, const char *version);

/* place_upstream_count(place): number of upstreams. */
unsigned place_upstream_count(const struct place *place);

/*
 * place_upstream_ids(place)
 *	Return the ids of all upstreams, to be freed by g_ptr_array_free().
 */
GPtrArray *place_upstream_ids(const struct place *place);

/*
 * place_choose(place, request, now, handle)
 *	Choose an upstream and count the request as running there.  Requests
 *	for one object go to the same upstream from all instances that know
 *	the same upstreams, unless its share of running requests is larger
 *	than others' by half of its slots.
 * RETURN VALUES
 *	false if no upstream can take it.
 */
bool place_choose(struct place *place, const struct place_request *request,
    clk_ms now, struct place_handle *handle);

/*
 * The open upstreams that could run a request, together.  Those of engines
 * count by their speed, the fastest as 1 a slot.
 */
struct place_service_load {
	unsigned upstreams;
	double places; /* requests that they run at once */
	double running; /* of all instances, as far as known */
	double own; /* of these, of this instance */
};

/*
 * place_service_load(place, request, now)
 *	Return the load of the upstreams that could run the request now: those
 *	that don't fail, don't leave, have a token and are within reach.  In
 *	place of estimated requests of the other instances it has those that
 *	they have reported: an estimate for each upstream is too high in sum.
 */
struct place_service_load place_service_load(
    struct place *place, const struct place_request *request, clk_ms now);

/* An upstream of a request's service, as its choice sees it. */
struct place_candidate {
	const struct place_entry *entry;
	const char *excluded; /* why it can't be chosen; nil: it can */
	bool is_home; /* in this data centre */
	bool is_in_backoff; /* after a failure */
	unsigned running; /* requests of this instance */
	unsigned peers_running; /* and of the others, as they told */
	double cost_ms; /* all terms of the choice together */
	double cross_ms; /* of these: it is in another data centre */
	double read_ms; /* to read the parts of the prompt it doesn't hold */
	double errors; /* its own, of late */
};

/*
 * place_explain(place, request, now, visit, arg)
 *	Call visit() for each upstream of the service.  Nothing is chosen, and
 *	nothing changes.
 */
typedef void place_visit(void *arg, const struct place_candidate *candidate);
void place_explain(struct place *place, const struct place_request *request,
    clk_ms now, place_visit *visit, void *arg);

/*
 * place_parts_record(place, handle, parts, count, now)
 *	A request with these parts is sent to the upstream.
 */
void place_parts_record(struct place *place, struct place_handle handle,
    const struct place_part *parts, size_t count, clk_ms now);

/*
 * place_held_until(place, request, now)
 *	Return the earliest time at which an upstream that could run the
 *	request, but has no token, may have one; 0 if there is no such
 *	upstream.
 */
clk_ms place_held_until(
    const struct place *place, const struct place_request *request, clk_ms now);

/*
 * place_entry_get(place, handle)
 *	Return the upstream's entry, or nil if it was removed.
 * place_is_open(place, handle, is_bound, now)
 *	Whether the upstream may still get the request that it was chosen for.
 *	is_bound says whether that choice was restricted to a version.
 */
const struct place_entry *
place_entry_get(const struct place *place, struct place_handle handle);
bool place_is_open(const struct place *place, struct place_handle handle,
    bool is_bound, clk_ms now);

/* How a request ended at an upstream. */
enum place_outcome {
	PLACE_SERVED,
	PLACE_ERROR, /* it ran the request and answered with its own error */
	PLACE_REJECTED, /* it was full and did not run the request */
	PLACE_MISDIRECTED, /* another upstream answers at the address */
	PLACE_UNREACHABLE, /* no connection */
	PLACE_FAILED, /* the answer was incomplete, invalid or missing */
	PLACE_SILENT, /* given up while it was overdue */
	PLACE_CANCELLED /* by this instance */
};

/*
 * place_overdue_after(place, handle)
 *	Return the time after which a request that has got no byte of an answer
 *	is overdue: several times what the upstream needs.
 * place_overdue_set(place, handle, is_overdue)
 *	A request that runs there has become overdue, or isn't any more.  While
 *	there is one, the upstream counts as full, here and at the other
 *	instances: it may have stopped to serve while its health checks pass.
 */
clk_ms
place_overdue_after(const struct place *place, struct place_handle handle);
void place_overdue_set(
    struct place *place, struct place_handle handle, bool is_overdue);

/* place_request_end(place, handle, outcome, now): a request ended. */
void place_request_end(struct place *place, struct place_handle handle,
    enum place_outcome outcome, clk_ms now);

/*
 * place_first_byte_record(place, handle, delay)
 *	Add a sample: the first byte of an answer came after delay ms.
 * place_event_gap_record(place, handle, gap, tokens)
 *	Add a sample: an event with that number of tokens followed the
 *	previous one after gap ms.
 */
void place_first_byte_record(
    struct place *place, struct place_handle handle, double delay);
void place_event_gap_record(struct place *place, struct place_handle handle,
    double gap, unsigned tokens);

#endif
