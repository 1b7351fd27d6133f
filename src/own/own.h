/*
 * own: ownership of shards by leases.  Tracks which session owns each shard and
 * until when an owner may act, and decides on claims and handovers.
 *
 * The module performs no I/O and reads no clock.  It replays the records of the
 * stream "fleet" into the shard map, computes the horizon of the shards that
 * this session owns, and returns the records to be appended.
 *
 * Rules that prevent two sessions from acting for a shard at the same time:
 *
 * 1. A claim or handover names the epoch that it is based on and is valid only
 *    if that epoch is current at its offset.  A claim needs an open session.
 * 2. A claim becomes effective W after this session *read it in the log*,
 *    never earlier, whatever the reply to the append said.  W depends on the
 *    record and the map alone.  If the previous epoch came from a claim that
 *    is not effective yet, the wait of that claim must end as well: otherwise
 *    a second claim with a short wait could become effective before the first.
 * 3. A claim of a shard that was never owned, or whose owner closed its own
 *    session, is effective at once, because no other session can be acting.
 * 4. The owner may act until its horizon.  Each session that may claim the
 *    shard sets a bound: W after the last proof that the session had not
 *    claimed it.  The horizon is the earliest of these bounds.
 * 5. An answer to a heartbeat is such a proof only if it was made after the
 *    heartbeat arrived, if it lists every claim that was submitted and not yet
 *    read in the log (own_pending_get()), and if this session has read the log
 *    beyond the last valid claim of the answering session.  Without this last
 *    condition, a session whose claim is already in the log would confirm the
 *    former owner.
 * 6. Every clock may drift by drift_permille in either direction: the owner
 *    shortens W by it and the claimant lengthens W by it.
 * 7. An owner that submitted a handover or the close of its session does not
 *    act for that shard again unless it reads the record in the log as not
 *    valid, or the append was definitely refused.
 * 8. Only the owner changes the replica holders.  A proposed holder counts as a
 *    holder from the submission on, because other sessions may read the record
 *    in the log before the owner does.
 *
 * The test case /own/broken-rules disables rules 2, 5 and 6 one at a time and
 * checks that violations are found.
 *
 * All instances must use the same takeover and drift settings.
 *
 * Records of the stream "fleet".  Sessions are 16 hex digits; plog_append()
 * adds "session" and "number" to each:
 *
 *   {"kind":"session_open", "instance", "datacentre", "address", "weight"}
 *   {"kind":"session_close", "closes":SESSION}
 *   {"kind":"claim", "ref", "shards":[ENTRY...]}
 *   {"kind":"handover", "ref", "shards":[ENTRY with "to":SESSION]}
 *   {"kind":"holders", "ref", "shards":[ENTRY with "revision"...]}
 *   {"kind":"datacentre_lost", "datacentre", "lost":bool, "base":OFFSET}
 *   {"kind":"map", "through", "part", "parts", "sessions", "closed", "lost",
 *       "shards"}
 *
 * ENTRY is {"datacentre", "shard", "epoch", "holders":[SESSION...]}; epoch and
 * revision are those that the record is based on, and each entry of a record
 * is valid or not by itself.  A session_close is voluntary if "session" is the
 * one that it closes.  "base" is the offset of the last valid datacentre_lost
 * record of the data centre, or -1.
 *
 * Costs, with D data centres, N shards in each, S sessions, and P the shards
 * that this session owns:
 *
 *   O(1)      own_may_act(), own_horizon(), own_shard_get(),
 *             own_holds_replica()
 *   O(P)      own_heartbeat_answered(), own_log_read_done()
 *   O(D * N)  own_watched_get()
 *
 * own_apply() is O(shards in the record), for a session record O(1) on average.
 * own_decide() is O(N) cheap steps and at most OWN_RANKS_PER_CALL rankings of
 * O(S).  own_snapshot() and own_restore() are O(D * N + S).
 */
#ifndef SAMPHIRESHED_OWN_H
#define SAMPHIRESHED_OWN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "member/member.h"

#define OWN_HOLDERS	    2 /* replica holders of a shard */
#define OWN_SOURCES	    6 /* sessions that may have the state of a shard */
#define OWN_PENDING_MAX	    256 /* claims listed in an answer to a heartbeat */
#define OWN_RECORD_SHARDS   32 /* shards in one claim or holders record */
#define OWN_RANKS_PER_CALL  64 /* rankings computed by one own_decide() */
#define OWN_MAX_DATACENTRES 64

struct own;

struct own_shard_id {
	uint16_t datacentre;
	uint16_t shard;
};

struct own_settings {
	unsigned datacentres; /* D; numbers are 0 to D - 1 */
	unsigned shards; /* N, in each data centre */
	/* The wait W of a claim by a replica holder; 0: 3 s. */
	clk_ms takeover_ms;
	/* W of a claim by a session that is no holder; 0: 10 min. */
	clk_ms takeover_other_ms;
	/* W of a claim from another data centre, unless the shard's data
	 * centre was declared lost; 0: never without an operator. */
	clk_ms takeover_datacentre_ms;
	int drift_permille; /* of each clock; 0: 10; negative: none */
	/* Delay after this session's session_open before shards are claimed,
	 * so that instances that start together know each other; 0: 2 s. */
	clk_ms settle_ms;
	/* Delay between the candidates for a claim, by rank; 0: 2 s. */
	clk_ms stagger_ms;
	/* Nothing is appended if the last read of the tail is older than this;
	 * 0: 4 s. */
	clk_ms log_max_age_ms;
	/* How long a ranking must be stable before a handover; 0: 5 s. */
	clk_ms handover_settle_ms;
	unsigned max_handovers; /* concurrent; 0: 4 */
	/* How long a replica holder is suspected before it is replaced, which
	 * copies the shard; 0: 2 s. */
	clk_ms holder_replace_ms;
	/* Delay before an append of unknown outcome is retried; 0: 5 s. */
	clk_ms append_retry_ms;
	/* Delay before another session closes the session of a dead instance
	 * that neither owns nor holds a shard; 0: 10 min. */
	clk_ms session_expiry_ms;
};

/*
 * own_open(settings, self)
 *	Create an empty map, complete as of offset 0.
 */
struct own *own_open(
    const struct own_settings *settings, const struct member_identity *self);
void own_close(struct own *own);

/* Replaying the log. */

enum own_applied {
	OWN_APPLIED, /* the record changed the map */
	OWN_NOT_VALID, /* well-formed, but conflicts with an earlier record */
	OWN_DUPLICATE, /* this offset has been applied before */
	OWN_IGNORED, /* a record that this module ignores */
	OWN_UNDECODABLE /* malformed; counted and skipped */
};

/*
 * own_apply(own, offset, record, now)
 *	Apply the record at an offset.  Records must be passed in the order of
 *	their offsets, from own_next_offset() on.  now must have been read
 *	after the record arrived.
 */
enum own_applied
own_apply(struct own *own, int64_t offset, const json_t *record, clk_ms now);

/* own_next_offset(own): the offset of the next record to apply. */
int64_t own_next_offset(const struct own *own);

/*
 * own_skip_dropped(own, next)
 *	Skip the records before the offset next that were not passed to
 *	own_apply() because the log client dropped them as duplicates.  Call it
 *	for each tail event before own_log_read_done(), so that
 *	own_next_offset() is the same whether or not a reader dropped such
 *	a record.
 */
void own_skip_dropped(struct own *own, int64_t next);

/*
 * own_log_read_done(own, started_at)
 *	Report that every record that was in the log at the time started_at
 *	has been applied.  started_at is the clock before the read was sent.
 */
void own_log_read_done(struct own *own, clk_ms started_at);

/*
 * own_peer_read_done(own, asked_at, age)
 *	The same for records fetched from a peer: the request was sent at
 *	asked_at, and age is what own_log_age() of the peer returned for the
 *	reply.
 */
void own_peer_read_done(struct own *own, clk_ms asked_at, clk_ms age);

/*
 * own_log_age(own, now)
 *	Return how long ago the last read of the tail started, or -1 if there
 *	was none.  A reply to a peer that fetches records must include it.
 */
clk_ms own_log_age(const struct own *own, clk_ms now);

/*
 * own_gap_set(own, first)
 *	Report that records before the offset first that were not applied can
 *	no longer be read.  The map is incomplete until own_restore() has
 *	succeeded.  An owner may act until its horizon in the meantime.
 */
void own_gap_set(struct own *own, int64_t first);

/* own_is_complete(own): whether the map includes every record so far. */
bool own_is_complete(const struct own *own);

/* own_undecodable_count(own): the number of malformed records. */
uint64_t own_undecodable_count(const struct own *own);

/*
 * own_snapshot(own, now)
 *	Return the map as a JSON array of records of kind "map", each with at
 *	most 256 shards or sessions, to be appended to the log one by one or
 *	sent to a peer; or NULL if the map is not complete.  A reader with a
 *	complete map ignores them.
 */
json_t *own_snapshot(const struct own *own, clk_ms now);

/*
 * own_restore(own, record, now)
 *	Add one record of a snapshot.  Parts may arrive in any order; a newer
 *	snapshot replaces the parts of an older one.  own_apply() passes "map"
 *	records to this function if the map is not complete.
 * RETURN VALUES
 *	true if the map is complete again.  Reading must then continue at
 *	own_next_offset(), which may be before the offset of the records.
 */
bool own_restore(struct own *own, const json_t *record, clk_ms now);

/*
 * own_sessions_foreach(own, visit, arg)
 *	Call visit for each open session, to add them to the member table after
 *	a restore.
 */
void own_sessions_foreach(const struct own *own,
    void (*visit)(const struct member_identity *identity, void *arg),
    void *arg);

/*
 * own_digest(own)
 *	Return a hash of the map.  Readers with a complete map and the same
 *	own_next_offset() have the same digest.
 */
uint64_t own_digest(const struct own *own);

/* Heartbeats. */

struct own_pending_claims {
	/* Offset of the answering session's own last valid claim that it has
	 * read in the log, or -1. */
	int64_t last_claim_offset;
	bool truncated; /* there are more claims than fit */
	unsigned n;
	struct own_shard_id shards[OWN_PENDING_MAX];
};

/*
 * own_pending_get(own, pending)
 *	Fill in the pending claims for an answer to a heartbeat.  Call it for
 *	each answer, after the heartbeat has arrived; the result must not be
 *	reused.
 */
void own_pending_get(const struct own *own, struct own_pending_claims *pending);

/*
 * own_heartbeat_answered(own, session, sent_at, pending)
 *	Process a session's answer to the heartbeat that was sent at sent_at
 *	(the clock before it was sent).  Late and duplicate answers are
 *	harmless.
 */
void own_heartbeat_answered(struct own *own, uint64_t session, clk_ms sent_at,
    const struct own_pending_claims *pending);

/* Acting. */

enum own_phase {
	OWN_NONE, /* this session is not the owner */
	OWN_WAITING, /* the claim is valid but not effective yet */
	OWN_RECOVERING, /* effective; own_recovery_done() has not been called */
	OWN_SERVING,
	OWN_PREPARING, /* handover: calls in progress finish, new ones wait */
	OWN_RELEASED /* the handover or close was submitted */
};

struct own_shard {
	uint64_t epoch; /* 0: never owned */
	uint64_t owner; /* session; 0: none */
	uint64_t holders[OWN_HOLDERS]; /* sessions; 0: none */
	/* Whether the owner confirmed that the holders have the state; if not,
	 * sources lists the sessions that may have it. */
	bool holders_confirmed;
	uint64_t sources[OWN_SOURCES];
	int64_t offset; /* of the record that set the epoch */
	/*
	 * How long the claim that set the epoch had to wait; 0: not at all, it
	 * was a handover, or it is not known.
	 */
	clk_ms waited;
	enum own_phase phase; /* of this session */
};

/* own_shard_get(own, id, shard): false if the shard does not exist. */
bool own_shard_get(
    const struct own *own, struct own_shard_id id, struct own_shard *shard);

/*
 * own_horizon(own, id, now)
 *	Return the time until which this session may act as the owner; it is
 *	not after now if the session may not act.
 */
clk_ms own_horizon(const struct own *own, struct own_shard_id id, clk_ms now);

/*
 * own_may_act(own, id, now)
 *	Whether this session may act as the owner now.  Read now from the clock
 *	for this call; do not reuse the time of the event loop's iteration,
 *	because the process may have been stopped since.
 */
bool own_may_act(const struct own *own, struct own_shard_id id, clk_ms now);

/*
 * own_may_begin_calls(own, id, now)
 *	Whether new calls may begin: own_may_act(), the state is recovered and
 *	no handover is being prepared.
 */
bool
own_may_begin_calls(const struct own *own, struct own_shard_id id, clk_ms now);

/*
 * own_holds_replica(own, id)
 *	Whether this session is a replica holder of the shard.
 */
bool own_holds_replica(const struct own *own, struct own_shard_id id);

/* own_owned_count(own): the number of shards that this session owns. */
unsigned own_owned_count(const struct own *own);

/*
 * own_recovery_done(own, id, epoch)
 *	Report that the state of the shard has been recovered.  The owner then
 *	appends a holders record, which also confirms the recovery.
 */
void own_recovery_done(struct own *own, struct own_shard_id id, uint64_t epoch);

/*
 * own_handover_prepared(own, id, epoch, ready)
 *	Report that the calls in progress have ended and the successor has the
 *	state (ready), or that the handover must be cancelled (not ready).
 */
void own_handover_prepared(
    struct own *own, struct own_shard_id id, uint64_t epoch, bool ready);

/*
 * own_stop_begin(own)
 *	Begin a planned stop: hand over every shard, claim none, then close the
 *	session.
 */
void own_stop_begin(struct own *own);

/*
 * own_release_all(own)
 *	Release every shard permanently without a record: for a planned stop
 *	during an outage of the log, after the calls in progress have ended.
 *	May be followed by an append of own_session_close_record().
 */
void own_release_all(struct own *own);

/*
 * own_session_is_closed(own)
 *	Whether the session is closed in the log, by itself or by another
 *	session.  In the latter case the instance must open a new session.
 */
bool own_session_is_closed(const struct own *own);

/* Deciding. */

enum own_action_kind {
	OWN_ACT_APPEND, /* append record to the stream "fleet" */
	OWN_ACT_RECOVER, /* fetch the state from sources, own_recovery_done() */
	OWN_ACT_PREPARE, /* prepare the handover to session,
			    own_handover_prepared() */
	OWN_ACT_COPY /* the holders have changed: send them the state */
};

struct own_action {
	enum own_action_kind kind;
	struct own_shard_id id; /* not of OWN_ACT_APPEND */
	uint64_t epoch;
	json_t *record; /* OWN_ACT_APPEND: a new reference for the caller */
	uint64_t ref; /* OWN_ACT_APPEND: for own_append_done() */
	uint64_t session; /* OWN_ACT_PREPARE: the successor */
	uint64_t sources[OWN_SOURCES]; /* OWN_ACT_RECOVER; 0: none */
	uint64_t holders[OWN_HOLDERS]; /* OWN_ACT_COPY */
};

/*
 * own_decide(own, members, now, actions, max)
 *	Write the actions to be taken now to actions.  There are none before
 *	the session_open record of this session has been applied.  An action is
 *	returned once, and an append counts as submitted from then on.  Call it
 *	at least every 250 ms, with an up-to-date member table.
 * RETURN VALUES
 *	The number of actions.
 */
size_t own_decide(struct own *own, const struct member_table *members,
    clk_ms now, struct own_action *actions, size_t max);

/*
 * own_watched_get(own, sessions, max)
 *	Return the sessions of other data centres that this session must
 *	monitor: owners of shards that it may claim, and replica holders of
 *	shards that it owns.  Pass them to member_watch_set() every second: a
 *	session that gets no heartbeats is never suspected.
 * RETURN VALUES
 *	The number of sessions.
 */
size_t own_watched_get(const struct own *own, uint64_t *sessions, size_t max);

enum own_append_outcome {
	OWN_APPENDED,
	OWN_REFUSED, /* certain: the record is not and will not be in the log */
	OWN_UNKNOWN
};

/*
 * own_append_done(own, ref, outcome)
 *	Report the outcome of an append.  A record takes effect only when it is
 *	read in the log.  OWN_REFUSED cancels the submission unless an earlier
 *	copy may still appear; then it is retried, as after OWN_UNKNOWN.
 */
void
own_append_done(struct own *own, uint64_t ref, enum own_append_outcome outcome);

/*
 * own_session_close_record(session)
 * own_datacentre_lost_record(own, datacentre, lost)
 *	Return a new record that closes a session, or by which an operator
 *	declares a data centre lost (or available again).  While it is lost,
 *	holders in other data centres may claim its shards after takeover_ms.
 *	The operator must make sure that no instance of the data centre is
 *	running: an instance that is only partitioned from the others acts until
 *	takeover_other_ms after its last read of the log.
 */
json_t *own_session_close_record(uint64_t session);
json_t *own_datacentre_lost_record(
    const struct own *own, unsigned datacentre, bool lost);

#endif
