/*
 * member: membership and failure detection.  A table of the open sessions,
 * their liveness, and their ranking for each shard.
 *
 * The module performs no I/O and reads no clock.  Its input is the
 * session_open and session_close records of the stream "fleet", the answers to
 * heartbeats and the platform's member list.  Its results may be wrong: they
 * start a claim or a handover, but only the log decides who owns a shard.
 *
 * Costs, for S sessions: a look-up is O(1); mem_heartbeats(), mem_rank() and
 * mem_update() are O(S).
 */
#ifndef SAMPHIRESHED_MEM_H
#define SAMPHIRESHED_MEM_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

#define MEM_NAME_SIZE	 64
#define MEM_ADDRESS_SIZE 64
#define MEM_MAX_SESSIONS 2048

struct mem;

struct mem_settings {
	clk_ms heartbeat_ms; /* within the data centre; 0: 250 */
	clk_ms heartbeat_other_ms; /* to other data centres; 0: 1000 */
	clk_ms suspicion_ms; /* within the data centre; 0: 1000 */
	/* Of other data centres: at least 3 heartbeats; 0: 4000. */
	clk_ms suspicion_other_ms;
	/* Sessions of each other data centre that get heartbeats; 0: 2. */
	unsigned peers_other;
};

/* The contents of a session_open record. */
struct mem_identity {
	uint64_t session;
	char instance[MEM_NAME_SIZE];
	unsigned datacentre;
	char address[MEM_ADDRESS_SIZE]; /* of its peer port, "IP:port" */
	double weight; /* size of the instance; more than 0 */
};

/* The status in a heartbeat or its answer. */
struct mem_report {
	bool draining;
	int64_t fleet_next; /* next offset of stream "fleet" that it reads */
	int64_t config_next; /* the same of stream "config" */
	clk_ms fleet_age; /* since its last read of the tail started */
	clk_ms config_age;
};

enum mem_state {
	MEM_UNKNOWN, /* no such session, or closed */
	MEM_LIVE, /* answers, or the suspicion timeout has not passed */
	MEM_SUSPECTED,
	/*
	 * A later session_open record names the same instance.  The order of
	 * the records is not always that of the sessions, so an answer makes
	 * the session live again.
	 */
	MEM_REPLACED
};

struct mem_info {
	struct mem_identity identity;
	struct mem_report report; /* the last one */
	enum mem_state state;
	bool self;
	clk_ms state_since;
	clk_ms answered_at; /* arrival of the last answer; -1: none */
	clk_ms sent_at; /* of the last heartbeat sent; -1: none */
};

struct mem_ping {
	uint64_t session;
	const char *address; /* valid until the table's next call */
	/*
	 * Nothing was received on the open connection for half of the
	 * suspicion timeout: also send this heartbeat on a new connection, and
	 * keep the connection that answers.
	 */
	bool new_connection;
};

enum mem_listed { MEM_LISTED_LIVE, MEM_LISTED_LEAVING };

struct mem_member {
	const char *instance;
	enum mem_listed listed;
};

/*
 * mem_open(settings, self)
 *	Create a table.  self is the session of this instance, which is live
 *	once its session_open record has been applied.
 */
struct mem *
mem_open(const struct mem_settings *settings, const struct mem_identity *self);
void mem_close(struct mem *members);

/*
 * mem_record_open(self)
 *	Return a new session_open record, to be appended once at the start of
 *	a session.  plg_append() adds its number.
 */
json_t *mem_record_open(const struct mem_identity *self);

/*
 * mem_identity_decode(record, identity)
 *	Decode a session_open record.  Returns false if it is malformed.
 */
bool mem_identity_decode(const json_t *record, struct mem_identity *identity);

/*
 * mem_apply(members, record, now)
 *	Apply a session_open or session_close record; other records are
 *	ignored.  Only pass records for which own_apply() returned OWN_APPLIED:
 *	a late duplicate would open a closed session again.
 */
void mem_apply(struct mem *members, const json_t *record, clk_ms now);

/*
 * mem_session_add(members, identity, now)
 * mem_session_remove(members, session, now)
 *	Add or remove a session without a record, as after a restored snapshot.
 */
void mem_session_add(
    struct mem *members, const struct mem_identity *identity, clk_ms now);
void mem_session_remove(struct mem *members, uint64_t session, clk_ms now);

/*
 * mem_heartbeats(members, now, pings, max)
 *	Write the heartbeats that are due to pings and record them as sent at
 *	the time now.  Call it at least every 50 ms.  If the caller was paused
 *	for longer than half of suspicion_ms, the suspicion timeouts start
 *	again.
 * RETURN VALUES
 *	The number of entries; the next call returns those that did not fit.
 */
size_t mem_heartbeats(
    struct mem *members, clk_ms now, struct mem_ping *pings, size_t max);

/*
 * mem_heard(members, session, answered, report, now)
 *	Process a received answer to a heartbeat (answered) or a heartbeat of
 *	the session.  Only an answer proves that both directions work.
 */
void mem_heard(struct mem *members, uint64_t session, bool answered,
    const struct mem_report *report, clk_ms now);

/*
 * mem_member_list(members, entries, n, now)
 *	Apply the platform's member list.  A session whose instance is removed
 *	from the list is suspected unless an answer to a heartbeat arrives
 *	after the list.  A leaving instance is treated as draining.
 */
void mem_member_list(struct mem *members, const struct mem_member *entries,
    size_t n, clk_ms now);

/*
 * mem_watch(members, sessions, n)
 *	Set the sessions of other data centres that get heartbeats in addition
 *	to the peers_other of each, for example replica holders.
 */
void mem_watch(struct mem *members, const uint64_t *sessions, size_t n);

/*
 * mem_update(members, now)
 *	Recompute the states.  mem_heartbeats() calls it.
 */
void mem_update(struct mem *members, clk_ms now);

/*
 * mem_generation(members)
 *	Return a number that changes whenever the result of mem_rank() may
 *	change.
 */
uint64_t mem_generation(const struct mem *members);

/* mem_state(members, session): as of the last mem_update(). */
enum mem_state mem_state(const struct mem *members, uint64_t session);

/* mem_info(members, session, info): false if it is not known. */
bool
mem_info(const struct mem *members, uint64_t session, struct mem_info *info);

/*
 * mem_list(members, infos, max)
 *	Return in infos up to max of the known sessions.
 * RETURN VALUES
 *	The number of known sessions, which may be more than max.
 */
size_t mem_list(const struct mem *members, struct mem_info *infos, size_t max);

/*
 * mem_rank(members, datacentre, shard, within, sessions, max)
 *	Rank the live sessions that are not draining for a shard (numbered by
 *	its home data centre and its number) by weighted rendezvous hashing:
 *	the sessions of the data centre if within, else those of all others.
 *	Instances with the same set of live sessions get the same ranking.
 *	Adding or removing a session moves only shards to or from it.
 * RETURN VALUES
 *	The number of sessions written, best first.
 */
size_t mem_rank(const struct mem *members, unsigned datacentre, unsigned shard,
    bool within, uint64_t *sessions, size_t max);

#endif
