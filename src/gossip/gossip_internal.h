/*
 * Internal interface of gossip: its state, and the records of the instances in
 * the store.
 */
#ifndef SAMPHIRESHED_GOSSIP_INTERNAL_H
#define SAMPHIRESHED_GOSSIP_INTERNAL_H

#include "gossip/gossip.h"
#include "lib/outbox.h"

/* The lists of a message. */
enum gossip_list {
	GOSSIP_LIST_COUNTS,
	GOSSIP_LIST_PROGRAMS,
	GOSSIP_LIST_LOADS,
	GOSSIP_LIST_CACHED_PARTS,
	GOSSIP_LIST_CRASHES,
	GOSSIP_LIST_LIMITS,
	GOSSIP_LIST_DEPARTURES,
	GOSSIP_LISTS
};

struct gossip_peer {
	struct sockaddr_in address;
	char *record;
	clk_ms changed; /* when the record was last seen to change */
	bool is_dead; /* its record has not changed for long */
};

struct gossip {
	struct gossip_deps deps;
	char *name;
	uint64_t incarnation;
	struct sockaddr_in address;
	GHashTable *peers; /* name -> struct gossip_peer, without this one */
	struct relay *relay;
	/* Of a relay, prompt parts that were cached: */
	struct outbox *member_parts; /* for the relays of other data centres */
	struct outbox *relayed_parts; /* for the members */
	struct ev_io readable;
	struct ev_timer send_timer;
	struct ev_timer renew_timer;
	struct ev_timer read_timer;
	uint64_t renewals;
	struct cnt_metric *left_out[GOSSIP_LISTS];
	struct cnt_metric *sent_bytes;
	struct cnt_metric *sent_datagrams;
	clk_ms last_read; /* last successful read of the records; 0: none */
	clk_ms unknown_heard; /* when an instance without a record was named */
	struct roster_absence absences[GOSSIP_ABSENCES_MAX];
	unsigned absence_len; /* of the messages that are sent now */
	clk_ms opened;
	int fd;
	bool leaving;
};

/* gossip_send_now(gossip): send this instance's state now. */
void gossip_send_now(struct gossip *gossip);

/*
 * gossip_records_open(gossip), gossip_records_close(gossip)
 *	Begin and end to renew this instance's record and to read the others'.
 * gossip_records_read_soon(gossip, now)
 *	An instance is alive whose record is not known.
 * gossip_peer_ensure(gossip, name, by)
 *	Return the peer of that name, which becomes known by the means by.
 */
void gossip_records_open(struct gossip *gossip);
void gossip_records_close(struct gossip *gossip);
void gossip_records_read_soon(struct gossip *gossip, clk_ms now);
struct gossip_peer *gossip_peer_ensure(
    struct gossip *gossip, const char *name, const char *by, clk_ms now);

#endif
