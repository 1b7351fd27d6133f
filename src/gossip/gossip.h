/*
 * gossip: exchange of state between the instances of a fleet, by datagrams.
 *
 * Each instance keeps a record with its address in the store, and finds the
 * others there.  In a small fleet it sends each of them its state several times
 * a second; in a large one it sends it to the relays of its data centre, which
 * send it on (relay/relay.h).  The state is its counts of
 * admitted requests by organisation, the programs that began at it, its load
 * and recent prompts at each upstream, the requests that crashed an upstream,
 * the rates that upstreams named, which ones said that they leave, and how long
 * ago the store answered it.  Lost datagrams are tolerated: the counts
 * are totals, and each program is sent twice.
 */
#ifndef SAMPHIRESHED_GOSSIP_H
#define SAMPHIRESHED_GOSSIP_H

#include <ev.h>
#include <netinet/in.h>

#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/lg.h"
#include "place/place.h"
#include "quota/active_programs.h"
#include "quota/quota.h"
#include "reach/reach.h"
#include "relay/relay.h"
#include "roster/roster.h"
#include "sched/crash_table.h"
#include "store/store.h"
#include "throttle/throttle.h"

struct gossip;

struct gossip_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct cnt *cnt;
	struct store store;
	struct roster *roster;
	struct quota *quota;
	struct throttle *throttle;
	struct active_programs *activity;
	struct place *place;
	struct crash_table *crashes;
	struct reach *reach;
	const char *datacentre; /* this instance's */
	unsigned weight; /* instances with a larger one are relays first */
	/* Returns the time since the store answered this instance, in ms. */
	clk_ms (*store_age)(void *arg);
	/*
	 * Called after each read of the records: the number of live instances,
	 * and the rank of this one among their sorted names, from 0.
	 */
	void (*on_fleet)(void *arg, unsigned instances, unsigned rank);
	/*
	 * Called for each datagram received.  Returns whether it is a message
	 * of another module.
	 */
	bool (*on_datagram)(
	    void *arg, const struct sockaddr_in *from, char *data, size_t len);
	void *arg;
};

/*
 * gossip_open(deps, name, incarnation, address)
 *	The name of the instance stays the same after a restart; incarnation
 *	increases with each start.  Returns nil and sets errno on failure.
 */
struct gossip *gossip_open(const struct gossip_deps *deps, const char *name,
    uint64_t incarnation, const struct sockaddr_in *address);
void gossip_close(struct gossip *gossip);

/*
 * gossip_peer_address(gossip, name, address)
 *	Look up the address of another instance.  Returns false if the
 *	instance is unknown or dead.
 * gossip_send(gossip, to, data, len)
 *	Send a datagram, which may be lost.  Returns false if it can't be sent.
 */
bool gossip_peer_address(
    const struct gossip *gossip, const char *name, struct sockaddr_in *address);
bool gossip_send(struct gossip *gossip, const struct sockaddr_in *to,
    const void *data, size_t len);

/*
 * gossip_is_told(gossip)
 *	Whether news of the other data centres can reach this instance: in a
 *	large fleet, whether it hears a relay.
 */
bool gossip_is_told(const struct gossip *gossip);

/* gossip_leave(gossip): remove this instance's record before it stops. */
void gossip_leave(struct gossip *gossip);

/* Longest datagram and longest name of an instance, in bytes. */
#define GOSSIP_DATAGRAM_MAX   32768
#define GOSSIP_NAME_MAX	      128
#define GOSSIP_DATACENTRE_MAX 128
/* Number of entries of each list of a message. */
#define GOSSIP_COUNTS_MAX	70
#define GOSSIP_PROGRAMS_MAX	60
#define GOSSIP_LOADS_MAX	60
#define GOSSIP_CACHED_PARTS_MAX 250
#define GOSSIP_CRASHES_MAX	8
#define GOSSIP_LIMITS_MAX	40
#define GOSSIP_DEPARTURES_MAX	30
#define GOSSIP_ABSENCES_MAX	64

enum gossip_kind {
	GOSSIP_STATE, /* of the sender, to every instance or to a relay */
	GOSSIP_COUNTS, /* of a home, to the other homes of its organisations */
	GOSSIP_RELAY, /* summaries and news, from a relay */
	GOSSIP_KINDS
};

/* What an instance sends.  Clear it after decoding. */
struct gossip_message {
	char *name;
	uint64_t incarnation;
	char *datacentre;
	struct quota_count *counts;
	uint64_t *programs; /* hashes, see quota/active_programs.h */
	struct place_load *loads;
	struct place_cached_part *cached_parts;
	struct sched_crash *crashes; /* without their times */
	struct throttle_limit *limits; /* that upstreams named */
	struct departure *departures; /* of upstreams */
	struct relay_summary *summaries; /* of data centres */
	struct evacuation_news evacuations; /* as the sender knows them */
	uint32_t kind; /* enum gossip_kind */
	uint32_t store_age; /* ms since the store answered the sender */
	unsigned count_len;
	unsigned program_len;
	unsigned load_len;
	unsigned cached_part_len;
	unsigned crash_len;
	unsigned limit_len;
	unsigned departure_len;
	unsigned summary_len;
	struct roster_absence *absences; /* instances that are no homes */
	unsigned absence_len;
};

/*
 * gossip_message_encode(buf, size, message)
 *	Encode a datagram.  Returns its length, or 0 if it does not fit.
 * gossip_message_decode(buf, len, message), gossip_message_clear(message)
 *	Decode a datagram.  Returns false if it is malformed or of another
 *	protocol version.
 */
size_t gossip_message_encode(
    char *buf, size_t size, const struct gossip_message *message);
bool
gossip_message_decode(char *buf, size_t len, struct gossip_message *message);
void gossip_message_clear(struct gossip_message *message);

#endif
