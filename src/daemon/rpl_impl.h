/*
 * repl: internal declarations of the replication driver.
 *
 * repl.c	shards owned here, handover, the tick
 * repl_send.c	records to replica holders, and waits for them
 * repl_recover.c	recovery from former owners and holders
 * repl_hold.c	replicas held for other owners
 */
#ifndef SAMPHIRESHED_RPL_IMPL_H
#define SAMPHIRESHED_RPL_IMPL_H

#include <glib.h>
#include <string.h>

#include "daemon/dfr.h"
#include "daemon/rpl.h"
#include "program/replica.h"
#include "program/program.h"

/* A holder that exceeds it counts as down, and calls no longer wait for it. */
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
/* Records kept for a lagging holder; beyond that it gets the whole state. */
#define BACKLOG_BYTES	  ((size_t)32 * 1024 * 1024)
#define SWEEP_INTERVAL_MS (1 * CLK_SECOND)
/* Sessions that may have the state, and holders asked before an export. */
#define MAX_SOURCES (OWN_SOURCES + 8)
#define MAX_TARGETS (OWN_HOLDERS + 1) /* holders and a successor */

struct rpl_waiter {
	uint64_t seq;
	clk_ms deadline;
	rpl_on_acked *on_acked;
	void *arg;
};

struct rpl_shard;

/* A session that gets the records of a shard. */
struct rpl_target {
	struct rpl_shard *shard;
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

struct rpl_source {
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
struct rpl_shard {
	struct rpl *repl;
	struct own_shard_id id;
	uint64_t epoch;
	struct rpl_target *targets[MAX_TARGETS];
	GQueue *backlog; /* struct prog_record *, ascending seq */
	size_t backlog_bytes;
	GQueue *waiters; /* struct rpl_waiter *, ascending seq */
	struct rpl_source sources[MAX_SOURCES];
	unsigned n_sources;
	bool recovered;
	bool proven;
	clk_ms opened_at;
	uint64_t successor; /* of a handover being prepared */
	clk_ms prepare_deadline;
};

struct rpl {
	struct dmn *daemon;
	GHashTable *shards; /* id as pointer -> struct rpl_shard */
	GHashTable *fetches; /* id as pointer -> struct rpl_fetch_answer */
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
struct rpl_completion {
	rpl_on_acked *on_acked;
	void *arg;
	bool acked;
};

/* A replica that is being sent to a new owner in parts. */
struct rpl_fetch_answer {
	uint64_t epoch;
	uint64_t session;
	GPtrArray *records;
};

/* A call to a peer that concerns one shard. */
struct rpl_request {
	struct rpl *repl;
	struct own_shard_id id;
	uint64_t epoch;
	uint64_t session;
};

/* repl.c */
gpointer rpl_shard_key(struct own_shard_id id);
struct rpl_shard *
rpl_shard_find(const struct rpl *repl, struct own_shard_id id);
void rpl_shard_release(struct rpl_shard *shard);

/* repl_send.c */
struct prog_record *rpl_record_copy(const struct prog_record *record);
void rpl_record_free(void *data);
void rpl_target_free(struct rpl_target *target);
struct rpl_target *rpl_target_find(struct rpl_shard *shard, uint64_t session);
void rpl_targets_update(struct rpl_shard *shard);
void rpl_waiter_end(struct rpl *repl, struct rpl_waiter *waiter, bool acked);
void rpl_waiters_check(struct rpl_shard *shard, clk_ms now);
uint64_t rpl_shard_seq(const struct rpl_shard *shard);
void rpl_export_start(struct rpl_target *target);
size_t rpl_wire_add(GArray *wire, const struct prog_record *record);
void rpl_shard_flush(struct rpl_shard *shard, clk_ms now);

/* repl_recover.c */
void rpl_fetch_before_export(struct rpl_target *target);
void rpl_recovery_retry(struct rpl_shard *shard, clk_ms now);

/* repl_hold.c */
void rpl_fetch_answer_free(void *data);
void rpl_replicas_sweep(struct rpl *repl, clk_ms now);

#endif
