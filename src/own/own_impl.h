/*
 * own_impl: what the files of the ownership module share.  Not for others.
 */
#ifndef SAMPHIRESHED_OWN_IMPL_H
#define SAMPHIRESHED_OWN_IMPL_H

#include <glib.h>

#include "own/own.h"

#define OWN_MAX_CANDIDATES (2 * OWN_HOLDERS)
/* A time before every other, with room for sums. */
#define NEVER (INT64_MIN / 4)

struct session {
	struct mem_identity identity;
	int64_t opened; /* offset */
};

struct closed {
	uint64_t session;
	bool voluntary; /* closed by itself, after it stopped acting */
};

/* A session that may claim after takeover_ms. */
struct candidate {
	uint64_t session;
	clk_ms ping;
};

/* An append that was submitted and not yet read in the log. */
struct submitted {
	uint64_t ref; /* 0: none */
	bool unknown; /* an earlier copy may still appear */
	bool repeat; /* the last copy has ended without a result */
	clk_ms at;
};

/* What this session keeps for a shard that it owns in the map. */
struct mine {
	unsigned index;
	enum own_phase phase;
	struct candidate candidates[OWN_MAX_CANDIDATES];
	unsigned n_candidates;
	struct submitted holders;
	uint64_t proposed[OWN_HOLDERS];
	struct submitted handover;
	uint64_t successor;
	bool ready;
	bool copy_due;
};

/* A claim that was submitted and not yet read in the log. */
struct claim {
	unsigned index;
	uint64_t epoch;
	struct submitted submitted;
};

struct shard {
	/* The map: a function of the log alone. */
	uint64_t epoch;
	uint64_t owner;
	uint64_t holders[OWN_HOLDERS];
	uint64_t sources[OWN_SOURCES];
	uint64_t revision; /* counts the changes of epoch and holders */
	int64_t offset;
	bool proven;
	/* What this session knows. */
	clk_ms ready_at; /* all claims so far are effective from then on */
	clk_ms orphan_since; /* -1: has a live owner */
	struct mine *mine;
	struct claim *claim;
	uint64_t rank_generation;
	uint64_t rank[2]; /* the best two of the data centre */
	uint64_t rank_other[2]; /* the best two of the other data centres */
	/* Among those of its side; a large number: not among the first. */
	unsigned self_position;
	clk_ms rank_since; /* when the best one changed last */
};

struct restore {
	int64_t through;
	unsigned parts;
	unsigned received;
	json_t **part;
};

struct own {
	struct own_settings settings;
	struct mem_identity self;
	unsigned n_shards;
	struct shard *shards;
	GHashTable *sessions; /* uint64_t -> struct session */
	GHashTable *closed; /* uint64_t -> struct closed */
	GQueue *closed_order; /* oldest first */
	int64_t lost_offset[OWN_MAX_DATACENTRES]; /* last change; -1: none */
	bool lost[OWN_MAX_DATACENTRES];
	int64_t next;
	uint64_t undecodable;
	bool incomplete;
	int64_t gap_first;
	struct restore restore;
	clk_ms log_read;
	int64_t claimed_at; /* offset of the last own valid claim read */
	clk_ms opened_at; /* when the own session_open was read; -1 */
	GPtrArray *mine;
	GPtrArray *claims;
	uint64_t last_ref;
	struct submitted close;
	struct submitted forget;
	clk_ms forget_at;
	bool stopping;
	bool left;
	bool stopped;
	unsigned cursor;
};

/* A decoded entry of a claim, handover or holders record. */
struct entry {
	struct own_shard_id id;
	uint64_t epoch;
	uint64_t revision;
	uint64_t to;
	uint64_t holders[OWN_HOLDERS];
};

enum kind { KIND_CLAIM, KIND_HANDOVER, KIND_HOLDERS };

/* own.c */
clk_ms own_clock_convert(const struct own *own, clk_ms duration);
struct shard *own_shard_at(const struct own *own, struct own_shard_id id);
struct own_shard_id own_id_at(const struct own *own, unsigned index);
struct session *own_session_find(const struct own *own, uint64_t session);
bool own_is_holder(const struct shard *sh, uint64_t session);
void own_candidates_update(struct own *own, struct mine *mine);
void own_gain(struct own *own, unsigned index, enum own_phase phase);
void own_lose(struct own *own, struct shard *sh);
void own_claim_drop(struct own *own, struct shard *sh);
void own_epoch_changed(struct own *own, struct shard *sh);
void own_mark_unknown(struct submitted *submitted);
bool own_get_number(
    const json_t *object, const char *key, int64_t max, uint64_t *value);
bool own_get_session(const json_t *object, const char *key, uint64_t *session);
bool own_get_sessions(const json_t *list, uint64_t *sessions, size_t max);
json_t *own_put_sessions(const uint64_t *sessions, size_t n);
bool own_entry_decode(
    const struct own *own, enum kind kind, const json_t *json, struct entry *e);
void own_session_add(struct own *own, const struct mem_identity *identity,
    int64_t offset, clk_ms now);
void own_closed_add(struct own *own, uint64_t session, bool voluntary);
void own_stop_here(struct own *own);
bool own_is_inside(
    const struct own *own, unsigned datacentre, const struct session *session);
clk_ms own_horizon_of(const struct own *own, const struct shard *sh);

/* own_snapshot.c */
void own_restore_clear(struct restore *restore);

#endif
