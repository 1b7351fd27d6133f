/*
 * mem: the table of sessions: who exists, who answers, who is suspected, and
 * how sessions rank for a shard.
 *
 * A decision module: it holds no socket and reads no clock.  It is fed with
 * the session_open and session_close records of the stream "fleet", answered
 * heartbeats and the platform's member list.  Its answers are opinions that
 * start a claim or a handover; the log alone decides who owns a shard.
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
	/* Across: at least 3 heartbeats; 0: 4000. */
	clk_ms suspicion_other_ms;
	/* Sessions of each other data centre that get heartbeats; 0: 2. */
	unsigned peers_other;
};

/* What an instance says of itself in its session_open record. */
struct mem_identity {
	uint64_t session;
	char instance[MEM_NAME_SIZE];
	unsigned datacentre;
	char address[MEM_ADDRESS_SIZE]; /* of its peer port, "IP:port" */
	double weight; /* size of the instance; more than 0 */
};

/* What a session says in a heartbeat or its reply. */
struct mem_report {
	bool draining;
	int64_t fleet_next; /* next offset of stream "fleet" that it reads */
	int64_t config_next; /* the same of stream "config" */
	clk_ms fleet_age; /* since it started its last read of the tail */
	clk_ms config_age;
};

enum mem_state {
	MEM_UNKNOWN, /* no such session, or closed */
	MEM_LIVE, /* answers, or has not been silent for long enough */
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
	const char *address; /* valid until the next call with mem */
	/*
	 * The open connection has been silent: also send this heartbeat on a
	 * new connection, and keep whichever answers.
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
 *	Create a table.  self is the session of this instance, which counts as
 *	live once its session_open record has been applied.
 */
struct mem *
mem_open(const struct mem_settings *settings, const struct mem_identity *self);
void mem_close(struct mem *mem);

/*
 * mem_record_open(self)
 *	Return a new session_open record, to be appended once at the start of
 *	a session.  plg_append() adds the number.
 */
json_t *mem_record_open(const struct mem_identity *self);

/*
 * mem_identity_decode(record, identity)
 *	Decode a session_open record.  Returns false if it is malformed.
 */
bool mem_identity_decode(const json_t *record, struct mem_identity *identity);

/*
 * mem_apply(mem, record, now)
 *	Apply a session_open or session_close record; other records are
 *	ignored.  Only records that own_apply() found to be OWN_APPLIED may be
 *	passed: a late second copy would open a closed session again.
 */
void mem_apply(struct mem *mem, const json_t *record, clk_ms now);

/*
 * mem_session_add(mem, identity, now), mem_session_remove(mem, session, now)
 *	The same from a restored snapshot of the map.
 */
void mem_session_add(
    struct mem *mem, const struct mem_identity *identity, clk_ms now);
void mem_session_remove(struct mem *mem, uint64_t session, clk_ms now);

/*
 * mem_heartbeats(mem, now, pings, max)
 *	Return in pings to whom a heartbeat must be sent now, and count these
 *	as sent at the time now.  To be called at least every 50 ms.  A caller
 *	that was itself paused for longer than half of suspicion_ms suspects
 *	nobody for that time.
 * RETURN VALUES
 *	The number of entries; those that do not fit come in the next call.
 */
size_t
mem_heartbeats(struct mem *mem, clk_ms now, struct mem_ping *pings, size_t max);

/*
 * mem_heard(mem, session, answered, report, now)
 *	An answer to a heartbeat (answered) or a heartbeat of the session has
 *	arrived.  Only an answer proves that both directions work.
 */
void mem_heard(struct mem *mem, uint64_t session, bool answered,
    const struct mem_report *report, clk_ms now);

/*
 * mem_member_list(mem, members, n, now)
 *	Apply the platform's member list.  A session whose instance was listed
 *	before and is listed no more is suspected unless it answers a heartbeat
 *	that arrives later than the list.  A leaving instance counts as
 *	draining.
 */
void mem_member_list(
    struct mem *mem, const struct mem_member *members, size_t n, clk_ms now);

/*
 * mem_watch(mem, sessions, n)
 *	Set which sessions of other data centres get heartbeats beyond
 *	peers_other, for example replica holders.
 */
void mem_watch(struct mem *mem, const uint64_t *sessions, size_t n);

/*
 * mem_update(mem, now)
 *	Recompute the states.  mem_heartbeats() does it as well.
 */
void mem_update(struct mem *mem, clk_ms now);

/*
 * mem_generation(mem)
 *	Return a number that changes whenever the result of mem_rank() may.
 */
uint64_t mem_generation(const struct mem *mem);

/* mem_state(mem, session): as of the last mem_update(). */
enum mem_state mem_state(const struct mem *mem, uint64_t session);

/* mem_info(mem, session, info): false if the session is not known. */
bool mem_info(const struct mem *mem, uint64_t session, struct mem_info *info);

/* mem_list(mem, infos, max): all known sessions; returns their number. */
size_t mem_list(const struct mem *mem, struct mem_info *infos, size_t max);

/*
 * mem_rank(mem, datacentre, shard, within, sessions, max)
 *	Rank the live sessions that are not draining for a shard (numbered by
 *	its home data centre and its number) by weighted rendezvous hashing:
 *	the sessions of the data centre if within, else those of all others.
 *	All instances that see the same sessions live get the same ranking,
 *	and a session that comes or goes moves only shards to or from itself.
 * RETURN VALUES
 *	The number of sessions written, best first.
 */
size_t mem_rank(const struct mem *mem, unsigned datacentre, unsigned shard,
    bool within, uint64_t *sessions, size_t max);

#endif
