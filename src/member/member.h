/*
 * member: membership and failure detection.  A table of the open sessions,
 * their liveness, and their ranking for each shard.
 *
 * The module performs no I/O and reads no clock.  Its input is the
 * session_open and session_close records of the stream "fleet", the answers to
 * heartbeats and the platform's member list.  Its results may be wrong: they
 * start a claim or a handover, but only the log decides who owns a shard.
 *
 * Costs, for S sessions: a look-up is O(1); member_heartbeats_due(),
 * member_rank() and member_update() are O(S).
 */
#ifndef SAMPHIRESHED_MEMBER_H
#define SAMPHIRESHED_MEMBER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

#define MEMBER_NAME_SIZE    64
#define MEMBER_ADDRESS_SIZE 64
#define MEMBER_MAX_SESSIONS 2048

struct member_table;

struct member_settings {
	clk_ms heartbeat_ms; /* within the data centre; 0: 250 */
	clk_ms heartbeat_other_ms; /* to other data centres; 0: 1000 */
	clk_ms suspicion_ms; /* within the data centre; 0: 1000 */
	/* For other data centres: at least 3 heartbeats; 0: 4000. */
	clk_ms suspicion_other_ms;
	/* Sessions of each other data centre that get heartbeats; 0: 2. */
	unsigned peers_other;
};

/* The contents of a session_open record. */
struct member_identity {
	uint64_t session;
	char instance[MEMBER_NAME_SIZE];
	unsigned datacentre;
	char address[MEMBER_ADDRESS_SIZE]; /* of its peer port, "IP:port" */
	double weight; /* size of the instance; more than 0 */
};

/* The status in a heartbeat or its answer. */
struct member_report {
	bool draining;
	int64_t fleet_next; /* next offset of stream "fleet" that it reads */
	int64_t config_next; /* the same of stream "config" */
	clk_ms fleet_age; /* since its last read of the tail started */
	clk_ms config_age;
};

enum member_state {
	MEMBER_UNKNOWN, /* no such session, or closed */
	MEMBER_LIVE, /* answers, or the suspicion timeout has not passed */
	MEMBER_SUSPECTED,
	/*
	 * A later session_open record names the same instance.  The order of
	 * the records is not always that of the sessions, so an answer makes
	 * the session live again.
	 */
	MEMBER_REPLACED
};

struct member_info {
	struct member_identity identity;
	struct member_report report; /* the last one */
	enum member_state state;
	bool self;
	clk_ms state_since;
	clk_ms answered_at; /* arrival of the last answer; -1: none */
	clk_ms sent_at; /* of the last heartbeat sent; -1: none */
};

struct member_heartbeat {
	uint64_t session;
	const char *address; /* valid until the table's next call */
	/*
	 * Nothing was received on the open connection for half of the
	 * suspicion timeout: also send this heartbeat on a new connection, and
	 * keep the connection that answers.
	 */
	bool new_connection;
};

enum member_listed { MEMBER_LISTED_LIVE, MEMBER_LISTED_LEAVING };

struct member_list_entry {
	const char *instance;
	enum member_listed listed;
};

/*
 * member_table_open(settings, self)
 *	Create a table.  self is the session of this instance, which is live
 *	once its session_open record has been applied.
 */
struct member_table *member_table_open(
    const struct member_settings *settings, const struct member_identity *self);
void member_table_close(struct member_table *members);

/*
 * member_session_open_record(self)
 *	Return a new session_open record, to be appended once at the start of
 *	a session.  plog_append() adds its number.
 */
json_t *member_session_open_record(const struct member_identity *self);

/*
 * member_identity_decode(record, identity)
 *	Decode a session_open record.  Returns false if it is malformed.
 */
bool
member_identity_decode(const json_t *record, struct member_identity *identity);

/*
 * member_apply(members, record, now)
 *	Apply a session_open or session_close record; other records are
 *	ignored.  Only pass records for which own_apply() returned OWN_APPLIED:
 *	a late duplicate would open a closed session again.
 */
void
member_apply(struct member_table *members, const json_t *record, clk_ms now);

/*
 * member_session_add(members, identity, now)
 * member_session_remove(members, session, now)
 *	Add or remove a session without a record, as after a restored snapshot.
 */
void member_session_add(struct member_table *members,
    const struct member_identity *identity, clk_ms now);
void member_session_remove(
    struct member_table *members, uint64_t session, clk_ms now);

/*
 * member_heartbeats_due(members, now, heartbeats, max)
 *	Fill heartbeats with those that must be sent now, and record them as
 *	sent at the time now.  Call it at least every 50 ms.  If the caller was
 *	paused for longer than half of suspicion_ms, the suspicion timeouts
 *	start again.
 * RETURN VALUES
 *	The number of entries; the next call returns those that did not fit.
 */
size_t member_heartbeats_due(struct member_table *members, clk_ms now,
    struct member_heartbeat *heartbeats, size_t max);

/*
 * member_heartbeat_received(members, session, answered, report, now)
 *	Process a received answer to a heartbeat (answered) or a heartbeat of
 *	the session.  Only an answer proves that both directions work.
 */
void member_heartbeat_received(struct member_table *members, uint64_t session,
    bool answered, const struct member_report *report, clk_ms now);

/*
 * member_list_apply(members, entries, n, now)
 *	Apply the platform's member list.  A session whose instance is removed
 *	from the list is suspected unless an answer to a heartbeat arrives
 *	after the list.  A leaving instance is treated as draining.
 */
void member_list_apply(struct member_table *members,
    const struct member_list_entry *entries, size_t n, clk_ms now);

/*
 * member_watch_set(members, sessions, n)
 *	Set the sessions of other data centres that get heartbeats in addition
 *	to the peers_other of each, for example replica holders.
 */
void member_watch_set(
    struct member_table *members, const uint64_t *sessions, size_t n);

/*
 * member_update(members, now)
 *	Recompute the states.  member_heartbeats_due() calls it.
 */
void member_update(struct member_table *members, clk_ms now);

/*
 * member_generation(members)
 *	Return a number that changes whenever the result of member_rank() may
 *	change.
 */
uint64_t member_generation(const struct member_table *members);

/* member_state_get(members, session): as of the last member_update(). */
enum member_state
member_state_get(const struct member_table *members, uint64_t session);

/* member_info_get(members, session, info): false if it is not known. */
bool member_info_get(const struct member_table *members, uint64_t session,
    struct member_info *info);

/*
 * member_info_list(members, infos, max)
 *	Return in infos up to max of the known sessions.
 * RETURN VALUES
 *	The number of known sessions, which may be more than max.
 */
size_t member_info_list(
    const struct member_table *members, struct member_info *infos, size_t max);

/*
 * member_rank(members, datacentre, shard, within, sessions, max)
 *	Rank the live sessions that are not draining for a shard (numbered by
 *	its home data centre and its number) by weighted rendezvous hashing:
 *	the sessions of the data centre if within, else those of all others.
 *	Instances with the same set of live sessions get the same ranking.
 *	Adding or removing a session moves only shards to or from it.
 * RETURN VALUES
 *	The number of sessions written, best first.
 */
size_t member_rank(const struct member_table *members, unsigned datacentre,
    unsigned shard, bool within, uint64_t *sessions, size_t max);

#endif
