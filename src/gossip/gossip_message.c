/*
 * The messages between instances, as datagrams.
 */
#include <stdlib.h>
#include <string.h>

#include "gossip/gossip.h"
#include "lib/dgram.h"

/* "SGO" and the version of the format. */
#define PROTOCOL_VERSION 0x53474f3dU

static bool_t
xdr_count(XDR *xdrs, struct quota_count *count)
{
	return (xdr_uint32_t(xdrs, &count->limit.organisation) &&
	    xdr_uint32_t(xdrs, &count->limit.rate) &&
	    xdr_uint32_t(xdrs, &count->limit.burst) &&
	    xdr_uint32_t(xdrs, &count->period) &&
	    xdr_uint32_t(xdrs, &count->requested) &&
	    xdr_uint32_t(xdrs, &count->admitted) &&
	    xdr_uint32_t(xdrs, &count->programs) &&
	    xdr_uint32_t(xdrs, &count->level) &&
	    xdr_uint32_t(xdrs, &count->first));
}

static bool_t
xdr_load(XDR *xdrs, struct place_load *load)
{
	return (xdr_uint32_t(xdrs, &load->upstream) &&
	    xdr_uint32_t(xdrs, &load->running));
}

static bool_t
xdr_cached_part(XDR *xdrs, struct place_cached_part *part)
{
	return (xdr_uint64_t(xdrs, &part->part) &&
	    xdr_uint32_t(xdrs, &part->upstream));
}

static bool_t
xdr_crash(XDR *xdrs, struct sched_crash *crash)
{
	char *upstream = crash->upstream;

	return (xdr_opaque(xdrs, (char *)crash->fingerprint,
		    sizeof(crash->fingerprint)) &&
	    xdr_string(xdrs, &upstream, sizeof(crash->upstream) - 1));
}

static bool_t
xdr_limit(XDR *xdrs, struct throttle_limit *limit)
{
	return (xdr_uint32_t(xdrs, &limit->upstream) &&
	    xdr_uint32_t(xdrs, &limit->rate) &&
	    xdr_uint32_t(xdrs, &limit->age) &&
	    xdr_uint32_t(xdrs, &limit->cold_rate) &&
	    xdr_uint32_t(xdrs, &limit->cold) &&
	    xdr_uint32_t(xdrs, &limit->cold_age));
}

static bool_t
xdr_departure(XDR *xdrs, struct departure *departure)
{
	return (xdr_uint32_t(xdrs, &departure->upstream) &&
	    xdr_uint64_t(xdrs, &departure->started) &&
	    xdr_uint32_t(xdrs, &departure->age));
}

static bool_t
xdr_summary(XDR *xdrs, struct relay_summary *summary)
{
	return (xdr_string(xdrs, &summary->datacentre, GOSSIP_DATACENTRE_MAX) &&
	    xdr_uint32_t(xdrs, &summary->age) &&
	    xdr_uint32_t(xdrs, &summary->served) &&
	    xdr_uint32_t(xdrs, &summary->relay) &&
	    xdr_array(xdrs, (char **)&summary->members, &summary->member_len,
		RELAY_MEMBERS_MAX, sizeof(*summary->members),
		(xdrproc_t)xdr_uint32_t) &&
	    xdr_array(xdrs, (char **)&summary->loads, &summary->load_len,
		RELAY_LOADS_MAX, sizeof(*summary->loads), (xdrproc_t)xdr_load));
}

static bool_t
xdr_datacentre(XDR *xdrs, char **name)
{
	return (xdr_string(xdrs, name, EVACUATION_NAME_MAX));
}

static bool_t
xdr_evacuations(XDR *xdrs, struct evacuation_news *news)
{
	return (xdr_uint64_t(xdrs, &news->end) &&
	    xdr_uint32_t(xdrs, &news->is_partial) &&
	    xdr_array(xdrs, (char **)&news->names, &news->name_len,
		EVACUATION_NAMES_MAX, sizeof(*news->names),
		(xdrproc_t)xdr_datacentre));
}

static bool_t
xdr_absence(XDR *xdrs, struct roster_absence *absence)
{
	return (xdr_uint32_t(xdrs, &absence->instance) &&
	    xdr_uint32_t(xdrs, &absence->said));
}

static bool_t
xdr_message(XDR *xdrs, void *data)
{
	struct gossip_message *message = data;

	return (xdr_uint32_t(xdrs, &message->kind) &&
	    message->kind < GOSSIP_KINDS &&
	    xdr_string(xdrs, &message->name, GOSSIP_NAME_MAX) &&
	    xdr_uint64_t(xdrs, &message->incarnation) &&
	    xdr_string(xdrs, &message->datacentre, GOSSIP_DATACENTRE_MAX) &&
	    xdr_uint32_t(xdrs, &message->store_age) &&
	    xdr_array(xdrs, (char **)&message->counts, &message->count_len,
		GOSSIP_COUNTS_MAX, sizeof(*message->counts),
		(xdrproc_t)xdr_count) &&
	    xdr_array(xdrs, (char **)&message->programs, &message->program_len,
		GOSSIP_PROGRAMS_MAX, sizeof(*message->programs),
		(xdrproc_t)xdr_uint64_t) &&
	    xdr_array(xdrs, (char **)&message->loads, &message->load_len,
		GOSSIP_LOADS_MAX, sizeof(*message->loads),
		(xdrproc_t)xdr_load) &&
	    xdr_array(xdrs, (char **)&message->cached_parts,
		&message->cached_part_len, GOSSIP_CACHED_PARTS_MAX,
		sizeof(*message->cached_parts), (xdrproc_t)xdr_cached_part) &&
	    xdr_array(xdrs, (char **)&message->crashes, &message->crash_len,
		GOSSIP_CRASHES_MAX, sizeof(*message->crashes),
		(xdrproc_t)xdr_crash) &&
	    xdr_array(xdrs, (char **)&message->limits, &message->limit_len,
		GOSSIP_LIMITS_MAX, sizeof(*message->limits),
		(xdrproc_t)xdr_limit) &&
	    xdr_array(xdrs, (char **)&message->departures,
		&message->departure_len, GOSSIP_DEPARTURES_MAX,
		sizeof(*message->departures), (xdrproc_t)xdr_departure) &&
	    xdr_array(xdrs, (char **)&message->summaries, &message->summary_len,
		RELAY_SUMMARIES_MAX, sizeof(*message->summaries),
		(xdrproc_t)xdr_summary) &&
	    xdr_array(xdrs, (char **)&message->absences, &message->absence_len,
		GOSSIP_ABSENCES_MAX, sizeof(*message->absences),
		(xdrproc_t)xdr_absence) &&
	    xdr_evacuations(xdrs, &message->evacuations));
}

size_t
gossip_message_encode(
    char *buf, size_t size, const struct gossip_message *message)
{
	struct gossip_message copy = *message;

	return (dgram_encode(buf, size, PROTOCOL_VERSION, xdr_message, &copy));
}

bool
gossip_message_decode(char *buf, size_t len, struct gossip_message *message)
{
	bool ok;

	memset(message, 0, sizeof(*message));
	ok = dgram_decode(buf, len, PROTOCOL_VERSION, xdr_message, message);
	if (!ok)
		gossip_message_clear(message);
	return (ok);
}

void
gossip_message_clear(struct gossip_message *message)
{
	/* The XDR library allocates with malloc(). */
	free(message->name);
	free(message->datacentre);
	free(message->counts);
	free(message->programs);
	free(message->loads);
	free(message->cached_parts);
	free(message->crashes);
	free(message->limits);
	free(message->departures);
	for (unsigned i = 0;
	     message->summaries != NULL && i < message->summary_len; i++) {
		free(message->summaries[i].datacentre);
		free(message->summaries[i].members);
		free(message->summaries[i].loads);
	}
	free(message->summaries);
	for (unsigned i = 0; message->evacuations.names != NULL &&
	     i < message->evacuations.name_len;
	     i++)
		free(message->evacuations.names[i]);
	free(message->evacuations.names);
	free(message->absences);
	memset(message, 0, sizeof(*message));
}
