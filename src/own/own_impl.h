/*
 * own_impl: internal declarations of the ownership module.
 */
#ifndef SAMPHIRESHED_OWN_IMPL_H
#define SAMPHIRESHED_OWN_IMPL_H

#include <glib.h>

#include "own/own.h"

#define OWN_MAX_CANDIDATES (2 * OWN_HOLDERS)
/* Before every other time; sums with it do not overflow. */
#define NEVER (INT64_MIN / 4)

struct session {
	struct member_identity identity;
	int64_t opened; /* offset */
};

struct closed_session {
	uint64_t session;
	bool voluntary; /* closed by the session itself, which no longer acts */
};

/* A session that may claim after takeover_ms. */
struct candidate {
	uint64_t session;
	clk_ms confirmed_at; /* when its last proof was requested: rule 5 */
};

/* An append that was submitted and not yet read in the log. */
struct submission {
	uint64_t ref; /* 0: none */
	bool outcome_unknown; /* a copy may still appear in the log */
	bool retry; /* not known to have succeeded: submit it again */
	clk_ms submitted_at;
};

/* State of a shard that this session owns in the map. */
struct owned_shard {
	unsigned index;
	enum own_phase phase;
	struct candidate candidates[OWN_MAX_CANDIDATES];
	unsigned n_candidates;
	struct submission holders_append;
	uint64_t proposed_holders[OWN_HOLDERS];
	struct submission handover_append;
	uint64_t successor;
	bool successor_ready;
	bool copy_due; /* OWN_ACT_COPY has not been returned yet */
};

/* A claim that was submitted and not yet read in the log. */
struct pending_claim {
	unsigned index;
	uint64_t epoch;
	struct submission submitted;
};

struct shard {
	/* The map, which depends on the log alone. */
	uint64_t epoch;
	uint64_t owner;
	uint64_t holders[OWN_HOLDERS];
	uint64_t sources[OWN_SOURCES];
	uint64_t revision; /* counts the changes of epoch and holders */
	int64_t offset;
	bool holders_confirmed;
	/* Local state of this session. */
	clk_ms ready_at; /* all claims so far are effective from then on */
	clk_ms waited; /* see struct own_shard */
	clk_ms orphan_since; /* -1: has a live owner */
	struct owned_shard *owned;
	struct pending_claim *claim;
	uint64_t rank_generation;
	uint64_t rank_inside[2]; /* the best two of its data centre */
	uint64_t rank_other[2]; /* the best two of the other data centres */
	/* Position of this session in the ranking of its own side (the shard's
	 * data centre or the others); MAX_RANK: not included. */
	unsigned self_position;
	clk_ms rank_since; /* when rank_inside[0] last changed */
};

struct restore {
	int64_t through;
	unsigned parts;
	unsigned received;
	json_t **part;
};

struct own {
	struct own_settings settings;
	struct member_identity self;
	unsigned n_shards;
	struct shard *shards;
	GHashTable *sessions; /* uint64_t -> struct session */
	GHashTable *closed; /* uint64_t -> struct closed_session */
	GQueue *closed_order; /* oldest first */
	int64_t lost_offset[OWN_MAX_DATACENTRES]; /* last change; -1: none */
	bool lost[OWN_MAX_DATACENTRES];
	int64_t next_offset;
	uint64_t undecodable;
	bool incomplete;
	int64_t gap_first; /* a snapshot must reach at least this offset */
	struct restore restore;
	clk_ms log_read_at; /* start of the last read of the tail, or NEVER */
	int64_t last_claim_offset; /* of this session, valid and read; or -1 */
	clk_ms opened_at; /* when this session's open was read; or -1 */
	GPtrArray *owned; /* struct owned_shard */
	GPtrArray *claims; /* struct pending_claim */
	uint64_t last_ref;
	struct submission close_append;
	struct submission expiry_append;
	clk_ms expiry_checked_at;
	bool stopping; /* own_stop_begin() or own_release_all() was called */
	bool released; /* own_release_all() was called */
	bool stopped; /* the session is closed in the log */
	unsigned claim_cursor; /* shard at which decide_claims() starts */
};

/* A decoded entry of a claim, handover or holders record. */
struct record_entry {
	struct own_shard_id id;
	uint64_t epoch;
	uint64_t revision;
	uint64_t to;
	uint64_t holders[OWN_HOLDERS];
};

enum record_kind { KIND_CLAIM, KIND_HANDOVER, KIND_HOLDERS };

/* own.c */
clk_ms own_clock_convert(const struct own *own, clk_ms duration);
struct shard *own_shard_at(const struct own *own, struct own_shard_id id);
struct own_shard_id own_id_at(const struct own *own, unsigned index);
struct session *own_session_find(const struct own *own, uint64_t session);
bool own_is_holder(const struct shard *sh, uint64_t session);
void own_candidates_update(struct own *own, struct owned_shard *owned);
void own_shard_gain(struct own *own, unsigned index, enum own_phase phase);
void own_shard_lose(struct own *own, struct shard *sh);
void own_claim_drop(struct own *own, struct shard *sh);
void own_epoch_changed(struct own *own, struct shard *sh);
void own_submission_mark_unknown(struct submission *submitted);
bool own_number_decode(
    const json_t *object, const char *key, int64_t max, uint64_t *value);
bool
own_session_decode(const json_t *object, const char *key, uint64_t *session);
bool own_sessions_decode(const json_t *list, uint64_t *sessions, size_t max);
json_t *own_sessions_encode(const uint64_t *sessions, size_t n);
bool own_entry_decode(const struct own *own, enum record_kind kind,
    const json_t *json, struct record_entry *e);
void own_session_add(struct own *own, const struct member_identity *identity,
    int64_t offset, clk_ms now);
void own_closed_add(struct own *own, uint64_t session, bool voluntary);
void own_session_closed(struct own *own);
bool own_is_inside(
    const struct own *own, unsigned datacentre, const struct session *session);
clk_ms own_horizon_of(const struct own *own, const struct shard *sh);

/* own_snapshot.c */
void own_restore_reset(struct restore *restore);

#endif
