/*
 * repl: internal declarations of the replication driver.
 *
 * repl.c	shards owned here, handover, the tick
 * repl_send.c	records to replica holders, and waits for them
 * repl_recover.c	recovery from former owners and holders
 * repl_hold.c	replicas held for other owners
 */
#ifndef SAMPHIRESHED_REPL_IMPL_H
#define SAMPHIRESHED_REPL_IMPL_H

#include <glib.h>
#include <string.h>

#include "daemon/defer.h"
#include "daemon/repl.h"
#include "program/replica.h"
#include "program/program.h"

/* A holder that takes longer counts as down; calls no longer wait for it. */
#define REPLICATE_TIMEOUT_MS ((clk_ms)800)
#define RETRY_INTERVAL_MS    ((clk_ms)200)
#define ACK_TIMEOUT_MS	     (3 * CLK_SECOND)
#define FETCH_TIMEOUT_MS     (2 * CLK_SECOND)
#define FETCH_RETRY_MS	     (1 * CLK_SECOND)
/* A new owner serves unproven if not all sources answer within this time. */
#define PROOF_TIMEOUT_MS   (1500)
#define PREPARE_TIMEOUT_MS (60 * CLK_SECOND)
#define BATCH_BYTES	   ((size_t)2 * 1024 * 1024)
#define BATCH_RECORDS	   1024
/* Payload kept for a lagging holder; beyond that it gets the whole state. */
#define BACKLOG_BYTES	  ((size_t)32 * 1024 * 1024)
#define SWEEP_INTERVAL_MS (1 * CLK_SECOND)
/*
 * Sessions that may have the state, and up to 8 holders whose state is fetched
 * before an export.
 */
#define MAX_SOURCES (OWN_SOURCES + 8)
#define MAX_TARGETS (OWN_HOLDERS + 1) /* holders and a successor */

struct repl_waiter {
	uint64_t seq;
	clk_ms deadline;
	repl_ack_cb *on_acked;
	void *arg;
};

struct repl_shard;

/* A session that gets the records of a shard. */
struct repl_target {
	struct repl_shard *shard;
	uint64_t session;
	uint64_t acked;
	bool in_flight;
	bool down; /* the last attempt failed */
	bool stale; /* it has seen a newer epoch */
	bool fetching; /* its state is fetched before the export */
	clk_ms retry_at;
	GPtrArray *export; /* whole state being sent; nil: none */
	guint export_next;
};

struct repl_source {
	uint64_t session;
	bool answered;
	bool in_flight;
	clk_ms retry_at;
	uint64_t cursor;
	bool extra; /* not needed for the proof */
	GPtrArray *records; /* parts of its answer so far */
	int status; /* of its last answer; -1: none */
};

/* A shard that this instance owns. */
struct repl_shard {
	struct repl *repl;
	struct own_shard_id id;
	uint64_t epoch;
	struct repl_target *targets[MAX_TARGETS];
	GQueue *backlog; /* struct prog_record *, ascending seq */
	size_t backlog_bytes;
	GQueue *waiters; /* struct repl_waiter *, ascending seq */
	struct repl_source sources[MAX_SOURCES];
	unsigned n_sources;
	bool recovered;
	bool proven;
	clk_ms opened_at;
	uint64_t successor; /* of a handover being prepared */
	clk_ms prepare_deadline;
};

struct repl {
	struct daemon *daemon;
	GHashTable *shards; /* id as pointer -> struct repl_shard */
	GHashTable *fetches; /* id as pointer -> struct repl_fetch_answer */
	GHashTable *incoming; /* id as pointer -> time of the last records */
	ev_timer tick;
	clk_ms swept_at;
	struct cnt_metric *records;
	struct cnt_metric *bytes;
	struct cnt_metric *exports;
	struct cnt_metric *unproven;
	struct cnt_metric *recoveries;
	struct cnt_metric *recovery_time;
};

/* A deferred call of on_acked. */
struct repl_completion {
	repl_ack_cb *on_acked;
	void *arg;
	bool acked;
};

/* A replica that is being sent to a new owner in parts. */
struct repl_fetch_answer {
	uint64_t epoch;
	uint64_t session;
	GPtrArray *records;
};

/* A call to a peer that concerns one shard. */
struct repl_request {
	struct repl *repl;
	struct own_shard_id id;
	uint64_t epoch;
	uint64_t session;
};

/* repl.c */
gpointer repl_shard_key(struct own_shard_id id);
struct repl_shard *
repl_shard_find(const struct repl *repl, struct own_shard_id id);
void repl_shard_release(struct repl_shard *shard);

/* repl_send.c */
struct prog_record *repl_record_copy(const struct prog_record *record);
void repl_record_free(void *data);
void repl_target_free(struct repl_target *target);
struct repl_target *
repl_target_find(struct repl_shard *shard, uint64_t session);
void repl_targets_update(struct repl_shard *shard);
void repl_waiter_end(struct repl *repl, struct repl_waiter *waiter, bool acked);
void repl_waiters_check(struct repl_shard *shard, clk_ms now);
uint64_t repl_shard_seq(const struct repl_shard *shard);
void repl_export_start(struct repl_target *target);
size_t repl_wire_add(GArray *wire, const struct prog_record *record);
void repl_shard_flush(struct repl_shard *shard, clk_ms now);

/* repl_recover.c */
void repl_fetch_before_export(struct repl_target *target);
void repl_recovery_retry(struct repl_shard *shard, clk_ms now);

/* repl_hold.c */
void repl_fetch_answer_free(void *data);
void repl_replicas_sweep(struct repl *repl, clk_ms now);

#endif
