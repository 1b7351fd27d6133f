/*
 * upstream: table of upstreams.
 *
 * Holds the state of each upstream from the configuration, the member list,
 * load reports, cache events and replies.  Decides whether an upstream may get
 * a call now, and estimates how long the call would wait there.
 *
 * A pool is the set of upstreams that serve one model (or one service).  A
 * member of a pool is open if it is active and its concurrency window is not
 * full.  Open members are kept in heaps by waiting time, one heap for each
 * power of two of speed, separately for local and remote members, so that the
 * best member is found without a scan of all.
 *
 * Costs: n is the number of members of a pool, m the number of pools of an
 * upstream (its models).  Functions are O(1) unless stated otherwise.  Memory
 * (glibc, x86-64): 520 bytes for an upstream with one model, 135 for each
 * further model, 160 for a program with one holder.
 */
#ifndef SAMPHIRESHED_UPS_H
#define SAMPHIRESHED_UPS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

struct ups;

/* A handle is valid until its upstream is removed; generation 0 is none. */
struct ups_handle {
	uint32_t index;
	uint32_t generation;
};

/* A pool is never removed; it may become empty. */
#define UPS_NO_POOL UINT32_MAX

enum ups_kind { UPS_MODEL, UPS_SERVICE };

enum ups_state {
	UPS_ACTIVE,
	UPS_LEAVING, /* gets no new call; its calls in progress finish */
	UPS_DOWN /* failed; probed with one call after a delay */
};

struct ups_options {
	const char *datacentre; /* of this instance; "" if none */
	clk_ms remote_penalty; /* added for other data centres; 0: 20 ms */
	clk_ms first_token_target; /* queueing allowed; 0: 800 ms */
	clk_ms token_gap_target; /* time between tokens; 0: 50 ms */
	unsigned window_start; /* calls; 0: 4 */
	unsigned window_max; /* without a load report; 0: 64 */
};

struct ups_config {
	const char *name;
	enum ups_kind kind;
	const char *url;
	const char *datacentre;
	/* Models served, or for a service its names; nil-terminated. */
	const char *const *models;
	bool checks_fencing;
	bool leaving;
	double speed; /* prefill tokens per second; 0: 10,000 until measured */
};

struct ups_view {
	const char *name;
	const char *url;
	const char *datacentre;
	enum ups_kind kind;
	enum ups_state state;
	bool checks_fencing;
	bool removed; /* from the configuration, with calls in progress */
	unsigned in_flight; /* calls of this instance */
	double window; /* limit of in_flight */
	double speed; /* prefill tokens per second */
	double queue_tokens; /* prefill queued ahead of a new call */
	clk_ms load_age; /* -1: no report */
};

/* A load report of an upstream. */
struct ups_load {
	unsigned active;
	unsigned waiting;
	unsigned capacity; /* calls that may run at once; 0: unknown */
	clk_ms age; /* of the report when it arrived */
};

/* The measurements of a call that succeeded. */
struct ups_reply {
	clk_ms first_token; /* from the start of the call; -1: no token */
	clk_ms token_gap; /* mean time between tokens; -1: unknown */
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t answer_tokens;
};

enum ups_failure {
	UPS_REFUSED, /* the connection could not be opened */
	UPS_CRASHED, /* the connection broke while the call ran */
	UPS_TIMED_OUT, /* no answer within the deadline */
	UPS_BUSY /* the upstream refused the call, as with 429 or 503 */
};

/*
 * ups_open(options), ups_close(table)
 *	Create and free a table.  The strings of options are copied.
 */
struct ups *ups_open(const struct ups_options *options);
void ups_close(struct ups *table);

/*
 * ups_set(table, config)
 *	Add an upstream, or change the one of that name, whose kind must stay
 *	the same.  Measured values are kept.  O(m log n).
 * RETURN VALUES
 *	Its handle.
 */
struct ups_handle ups_set(struct ups *table, const struct ups_config *config);

/*
 * ups_remove(table, name)
 *	Remove an upstream.  One with calls in progress stays in the table as
 *	leaving until the last of them has ended.  O(m log n).
 */
void ups_remove(struct ups *table, const char *name);

/*
 * ups_hint(table, name, leaving)
 *	Set whether the member list has the upstream as leaving (or not at
 *	all).  An upstream that is leaving by the configuration stays so.
 *	Unknown names are ignored.  O(m log n).
 */
void ups_hint(struct ups *table, const char *name, bool leaving);

/*
 * ups_share_set(table, instances)
 *	Set the number of instances that share the upstreams.  A window is at
 *	most the reported capacity divided by it, and at least 1.  A change
 *	updates all upstreams.
 */
void ups_share_set(struct ups *table, unsigned instances);

/*
 * ups_load_set(table, handle, load, now)
 *	Apply a load report.  A report is valid for 5 s; older ones are
 *	ignored.  O(m log n).
 */
void ups_load_set(struct ups *table, struct ups_handle handle,
    const struct ups_load *load, clk_ms now);

/*
 * ups_tick(table, now)
 *	Reactivate upstreams whose delay after a failure has passed, and expire
 *	load reports.  To be called about every 100 ms; checks at most 64
 *	upstreams for each of the two.
 */
void ups_tick(struct ups *table, clk_ms now);

/* ups_find(table, name): its handle; generation 0 if unknown. */
struct ups_handle ups_find(const struct ups *table, const char *name);

/*
 * ups_count(table): the number of upstreams.
 * ups_at(table, i): the upstream number i, 0 <= i < ups_count().
 */
unsigned ups_count(const struct ups *table);
struct ups_handle ups_at(const struct ups *table, unsigned i);

/*
 * ups_view(table, handle, now, info)
 *	Fill in *info.  Its strings are valid until the next change of the
 *	upstream's configuration.
 * RETURN VALUES
 *	false if the handle is not valid.
 */
bool ups_view(const struct ups *table, struct ups_handle handle, clk_ms now,
    struct ups_view *info);

/*
 * ups_is_open(table, handle): whether a call may start there now.
 * ups_in_pool(table, handle, pool): whether it is a member.  O(m).
 */
bool ups_is_open(const struct ups *table, struct ups_handle handle);
bool
ups_in_pool(const struct ups *table, struct ups_handle handle, uint32_t pool);

/* ---- pools ---- */

/* ups_pool_find(table, kind, model): UPS_NO_POOL if there is none. */
uint32_t
ups_pool_find(const struct ups *table, enum ups_kind kind, const char *model);

/* ups_pool_count(table): pools are numbered from 0. */
uint32_t ups_pool_count(const struct ups *table);

/*
 * ups_pool_members(table, pool): the number of active members.
 * ups_pool_open(table, pool): the number of open members.
 */
unsigned ups_pool_members(const struct ups *table, uint32_t pool);
unsigned ups_pool_open(const struct ups *table, uint32_t pool);

/*
 * ups_pool_rotate(table, pool, turn)
 *	The open member number (turn modulo their number), in arbitrary order.
 */
struct ups_handle
ups_pool_rotate(const struct ups *table, uint32_t pool, uint64_t turn);

/*
 * ups_pool_least_outstanding(table, pool, avoid)
 *	The open member with the fewest calls of this instance.  Returns avoid
 *	only if there is no other.
 */
struct ups_handle ups_pool_least_outstanding(
    const struct ups *table, uint32_t pool, struct ups_handle avoid);

/*
 * ups_pool_least_wait(table, pool, tokens, avoid, wait)
 *	The open member with the least expected time until tokens, none of them
 *	cached, are prefilled; *wait is that time in ms.  Returns avoid only if
 *	there is no other.  Compares the first members of each speed class, at
 *	most 3 * 32.  Exact among members of equal speed; speeds in a class
 *	differ by a factor below 2.
 */
struct ups_handle ups_pool_least_wait(const struct ups *table, uint32_t pool,
    int64_t tokens, struct ups_handle avoid, double *wait);

/*
 * ups_wait(table, handle, tokens)
 *	The expected time in ms until the upstream has prefilled tokens.
 */
double
ups_wait(const struct ups *table, struct ups_handle handle, int64_t tokens);

/* ups_queue_tokens(table, handle): prefill queued ahead of a new call. */
double ups_queue_tokens(const struct ups *table, struct ups_handle handle);

/*
 * ups_is_overloaded(table, handle, pool, factor)
 *	Whether one more call would put the upstream above factor times its
 *	share, by speed, of this instance's calls at the members of the pool.
 */
bool ups_is_overloaded(const struct ups *table, struct ups_handle handle,
    uint32_t pool, double factor);

/* ---- calls ---- */

/*
 * ups_begin(table, handle, uncached_tokens)
 *	Count a call that starts against the window.  O(m log n).
 */
void
ups_begin(struct ups *table, struct ups_handle handle, int64_t uncached_tokens);

/*
 * ups_prefilled(table, handle, uncached_tokens)
 *	The first token of a call has arrived: remove its prefill from the
 *	queue.  To be called once for each call, at the latest just before it
 *	ends or fails.  O(m log n).
 */
void ups_prefilled(
    struct ups *table, struct ups_handle handle, int64_t uncached_tokens);

/*
 * ups_end(table, handle, queue_tokens, reply, now)
 *	A call succeeded.  queue_tokens is the queued prefill at its start.
 *	The window grows by 1 for each window's worth of calls within the
 *	latency targets.  It shrinks to 0.7 of itself, at most once a second,
 *	after a call that missed a target.  O(m log n).
 */
void ups_end(struct ups *table, struct ups_handle handle, double queue_tokens,
    const struct ups_reply *reply, clk_ms now);

/*
 * ups_cancelled(table, handle)
 *	A call was cancelled.  The window and the speed stay the same.
 */
void ups_cancelled(struct ups *table, struct ups_handle handle);

/*
 * ups_fail(table, handle, failure, now)
 *	A call failed.
 *	If refused or crashed, the upstream is down for 1 s, doubled up to 30 s
 *	with each failure until a reply, then probed with a window of 1.  Its
 *	prefix cache counts as empty.
 *	If timed out or busy, the window is halved.  3 timeouts without a reply
 *	in between also mark the upstream down.
 *	O(m log n).
 */
void ups_fail(struct ups *table, struct ups_handle handle,
    enum ups_failure failure, clk_ms now);

/* ---- prefix index ---- */

/*
 * An upstream is recorded as a holder of a program's prefix from the first call
 * of the program there until ups_program_forget().  The number of cached
 * tokens is an estimate; the set of upstreams that may need a release is exact.
 */

/* ups_program_hold(table, program, handle): record a holder. */
void ups_program_hold(
    struct ups *table, const char *program, struct ups_handle handle);

/*
 * ups_program_cached(table, program, handle, tokens)
 *	Set the number of cached tokens by a reply (its prompt and answer).
 */
void ups_program_cached(struct ups *table, const char *program,
    struct ups_handle handle, int64_t tokens);

struct ups_holder {
	struct ups_handle upstream;
	int64_t tokens; /* estimate of the prefix cached there */
};

/*
 * ups_program_holders(table, program, holders, max)
 *	Write up to max holders of a program, those with the most tokens first,
 *	for equal tokens the newest.  O(holders * max).
 * RETURN VALUES
 *	The number of holders, which may be more than max.
 */
size_t ups_program_holders(const struct ups *table, const char *program,
    struct ups_holder *holders, size_t max);

/* ups_program_forget(table, program): remove the record of a program. */
void ups_program_forget(struct ups *table, const char *program);

/*
 * ups_cache_event(table, handle, number, insert, program, tokens)
 *	Apply a cache event.  A gap in the numbers, or a lower number (the
 *	upstream was restarted), halves the estimates for that upstream until
 *	a reply confirms them.  Events of programs without a record are
 *	ignored, which bounds the index to this instance's programs.
 */
void ups_cache_event(struct ups *table, struct ups_handle handle,
    int64_t number, bool insert, const char *program, int64_t tokens);

#endif
