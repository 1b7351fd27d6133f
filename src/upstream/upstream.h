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
#ifndef SAMPHIRESHED_UPSTREAM_H
#define SAMPHIRESHED_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

struct upstream_table;

/* A handle is valid until its upstream is removed; generation 0 is none. */
struct upstream_handle {
	uint32_t index;
	uint32_t generation;
};

/* A pool is never removed; it may become empty. */
#define UPSTREAM_NO_POOL UINT32_MAX

enum upstream_kind { UPSTREAM_MODEL, UPSTREAM_SERVICE };

enum upstream_state {
	UPSTREAM_ACTIVE,
	UPSTREAM_LEAVING, /* gets no new call; its calls in progress finish */
	UPSTREAM_DOWN /* failed; probed with one call after a delay */
};

struct upstream_options {
	const char *datacentre; /* of this instance; "" if none */
	clk_ms remote_penalty; /* added for other data centres; 0: 20 ms */
	clk_ms first_token_target; /* queueing allowed; 0: 800 ms */
	clk_ms token_gap_target; /* time between tokens; 0: 50 ms */
	unsigned window_start; /* calls; 0: 4 */
	unsigned window_max; /* without a load report; 0: 64 */
};

struct upstream_config {
	const char *name;
	enum upstream_kind kind;
	const char *url;
	const char *datacentre;
	/* Models served, or for a service its names; nil-terminated. */
	const char *const *models;
	bool checks_fencing;
	bool leaving;
	double speed; /* prefill tokens per second; 0: 10,000 until measured */
};

struct upstream_info {
	const char *name;
	const char *url;
	const char *datacentre;
	enum upstream_kind kind;
	enum upstream_state state;
	bool checks_fencing;
	bool removed; /* from the configuration, with calls in progress */
	unsigned in_flight; /* calls of this instance */
	double window; /* limit of in_flight */
	double speed; /* prefill tokens per second */
	double queue_tokens; /* prefill queued ahead of a new call */
	clk_ms load_age; /* -1: no report */
};

/* A load report of an upstream. */
struct upstream_load {
	unsigned active;
	unsigned waiting;
	unsigned capacity; /* calls that may run at once; 0: unknown */
	clk_ms age; /* of the report when it arrived */
};

/* The measurements of a call that succeeded. */
struct upstream_reply {
	clk_ms first_token; /* from the start of the call; -1: no token */
	clk_ms token_gap; /* mean time between tokens; -1: unknown */
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t answer_tokens;
};

enum upstream_failure {
	UPSTREAM_REFUSED, /* the connection could not be opened */
	UPSTREAM_CRASHED, /* the connection broke while the call ran */
	UPSTREAM_TIMED_OUT, /* no answer within the deadline */
	UPSTREAM_BUSY /* the upstream refused the call, as with 429 or 503 */
};

/*
 * upstream_open(options), upstream_close(table)
 *	Create and free a table.  The strings of options are copied.
 */
struct upstream_table *upstream_open(const struct upstream_options *options);
void upstream_close(struct upstream_table *table);

/*
 * upstream_set(table, config)
 *	Add an upstream, or change the one of that name, whose kind must stay
 *	the same.  Measured values are kept.  O(m log n).
 * RETURN VALUES
 *	Its handle.
 */
struct upstream_handle upstream_set(
    struct upstream_table *table, const struct upstream_config *config);

/*
 * upstream_remove(table, name)
 *	Remove an upstream.  One with calls in progress stays in the table as
 *	leaving until the last of them has ended.  O(m log n).
 */
void upstream_remove(struct upstream_table *table, const char *name);

/*
 * upstream_set_leaving(table, name, leaving)
 *	Set whether the member list has the upstream as leaving (or not at
 *	all).  An upstream that is leaving by the configuration stays so.
 *	Unknown names are ignored.  O(m log n).
 */
void upstream_set_leaving(
    struct upstream_table *table, const char *name, bool leaving);

/*
 * upstream_set_instances(table, instances)
 *	Set the number of instances that share the upstreams.  A window is at
 *	most the reported capacity divided by this number, and at least 1.  To
 *	be called when the membership changes: a change updates all upstreams.
 */
void upstream_set_instances(struct upstream_table *table, unsigned instances);

/*
 * upstream_set_load(table, handle, load, now)
 *	Apply a load report.  A report is valid for 5 s; older ones are
 *	ignored.  O(m log n).
 */
void
upstream_set_load(struct upstream_table *table, struct upstream_handle handle,
    const struct upstream_load *load, clk_ms now);

/*
 * upstream_tick(table, now)
 *	Reactivate upstreams whose delay after a failure has passed, and expire
 *	load reports.  To be called about every 100 ms; checks at most 64
 *	upstreams for each of the two.
 */
void upstream_tick(struct upstream_table *table, clk_ms now);

/* upstream_find(table, name): its handle; generation 0 if unknown. */
struct upstream_handle
upstream_find(const struct upstream_table *table, const char *name);

/*
 * upstream_count(table): the number of upstreams.
 * upstream_at(table, i): the upstream number i, 0 <= i < upstream_count().
 */
unsigned upstream_count(const struct upstream_table *table);
struct upstream_handle
upstream_at(const struct upstream_table *table, unsigned i);

/*
 * upstream_get_info(table, handle, now, info)
 *	Fill in *info.  Its strings are valid until the next change of the
 *	upstream's configuration.
 * RETURN VALUES
 *	false if the handle is not valid.
 */
bool upstream_get_info(const struct upstream_table *table,
    struct upstream_handle handle, clk_ms now, struct upstream_info *info);

/*
 * upstream_is_open(table, handle): whether a call may start there now.
 * upstream_is_in_pool(table, handle, pool): whether it is a member.  O(m).
 */
bool upstream_is_open(
    const struct upstream_table *table, struct upstream_handle handle);
bool upstream_is_in_pool(const struct upstream_table *table,
    struct upstream_handle handle, uint32_t pool);

/* ---- pools ---- */

/* upstream_pool_find(table, kind, model): UPSTREAM_NO_POOL if there is none. */
uint32_t upstream_pool_find(const struct upstream_table *table,
    enum upstream_kind kind, const char *model);

/* upstream_pool_count(table): pools are numbered from 0. */
uint32_t upstream_pool_count(const struct upstream_table *table);

/*
 * upstream_pool_active_count(table, pool): the number of active members.
 * upstream_pool_open_count(table, pool): the number of open members.
 */
unsigned
upstream_pool_active_count(const struct upstream_table *table, uint32_t pool);
unsigned
upstream_pool_open_count(const struct upstream_table *table, uint32_t pool);

/*
 * upstream_pool_round_robin(table, pool, turn)
 *	The open member number (turn modulo their number), in arbitrary order.
 */
struct upstream_handle upstream_pool_round_robin(
    const struct upstream_table *table, uint32_t pool, uint64_t turn);

/*
 * upstream_pool_least_outstanding(table, pool, avoid)
 *	The open member with the fewest calls of this instance.  Returns avoid
 *	only if there is no other.
 */
struct upstream_handle
upstream_pool_least_outstanding(const struct upstream_table *table,
    uint32_t pool, struct upstream_handle avoid);

/*
 * upstream_pool_least_wait(table, pool, tokens, avoid, wait)
 *	The open member with the least expected time until tokens, none of them
 *	cached, are prefilled; *wait is that time in ms.  Returns avoid only if
 *	there is no other.  Compares the first members of each speed class, at
 *	most 3 * 32.  Exact among members of equal speed; speeds in a class
 *	differ by a factor below 2.
 */
struct upstream_handle
upstream_pool_least_wait(const struct upstream_table *table, uint32_t pool,
    int64_t tokens, struct upstream_handle avoid, double *wait);

/*
 * upstream_wait_ms(table, handle, tokens)
 *	The expected time in ms until the upstream has prefilled tokens.
 */
double upstream_wait_ms(const struct upstream_table *table,
    struct upstream_handle handle, int64_t tokens);

/* upstream_queue_tokens(table, handle): prefill queued ahead of a new call. */
double upstream_queue_tokens(
    const struct upstream_table *table, struct upstream_handle handle);

/*
 * upstream_is_overloaded(table, handle, pool, factor)
 *	Whether one more call would put the upstream above factor times its
 *	share, by speed, of this instance's calls at the members of the pool.
 */
bool upstream_is_overloaded(const struct upstream_table *table,
    struct upstream_handle handle, uint32_t pool, double factor);

/* ---- calls ---- */

/*
 * upstream_call_begin(table, handle, uncached_tokens)
 *	Count a call that starts against the window.  O(m log n).
 */
void upstream_call_begin(struct upstream_table *table,
    struct upstream_handle handle, int64_t uncached_tokens);

/*
 * upstream_call_prefilled(table, handle, uncached_tokens)
 *	The first token of a call has arrived: remove its prefill from the
 *	queue.  To be called once for each call, at the latest just before it
 *	ends or fails.  O(m log n).
 */
void upstream_call_prefilled(struct upstream_table *table,
    struct upstream_handle handle, int64_t uncached_tokens);

/*
 * upstream_call_succeed(table, handle, queue_tokens, reply, now)
 *	A call succeeded.  queue_tokens is the queued prefill at its start.
 *	The window grows by 1 for each window's worth of calls within the
 *	latency targets.  It shrinks to 0.7 of itself, at most once a second,
 *	after a call that missed a target.  O(m log n).
 */
void upstream_call_succeed(struct upstream_table *table,
    struct upstream_handle handle, double queue_tokens,
    const struct upstream_reply *reply, clk_ms now);

/*
 * upstream_call_cancel(table, handle)
 *	A call was cancelled.  The window and the speed stay the same.
 */
void upstream_call_cancel(
    struct upstream_table *table, struct upstream_handle handle);

/*
 * upstream_call_fail(table, handle, failure, now)
 *	A call failed.
 *	If refused or crashed, the upstream is down for 1 s, doubled up to 30 s
 *	with each failure until a reply, then probed with a window of 1.  Its
 *	prefix cache counts as empty.
 *	If timed out or busy, the window is halved.  3 timeouts without a reply
 *	in between also mark the upstream down.
 *	O(m log n).
 */
void upstream_call_fail(struct upstream_table *table,
    struct upstream_handle handle, enum upstream_failure failure, clk_ms now);

/* ---- prefix index ---- */

/*
 * An upstream is recorded as a holder of a program's prefix from the first call
 * of the program there until upstream_prefix_remove().  The number of cached
 * tokens is an estimate; the set of upstreams that may need a release is exact.
 */

/* upstream_prefix_add(table, program, handle): record a holder. */
void upstream_prefix_add(struct upstream_table *table, const char *program,
    struct upstream_handle handle);

/*
 * upstream_prefix_update(table, program, handle, tokens)
 *	Set the number of cached tokens by a reply (its prompt and answer).
 */
void upstream_prefix_update(struct upstream_table *table, const char *program,
    struct upstream_handle handle, int64_t tokens);

struct upstream_holder {
	struct upstream_handle upstream;
	int64_t tokens; /* estimate of the prefix cached there */
};

/*
 * upstream_prefix_holders(table, program, holders, max)
 *	Write up to max holders of a program, those with the most tokens first,
 *	for equal tokens the newest.  O(holders * max).
 * RETURN VALUES
 *	The number of holders, which may be more than max.
 */
size_t upstream_prefix_holders(const struct upstream_table *table,
    const char *program, struct upstream_holder *holders, size_t max);

/* upstream_prefix_remove(table, program): remove the record of a program. */
void upstream_prefix_remove(struct upstream_table *table, const char *program);

/*
 * upstream_cache_event(table, handle, number, insert, program, tokens)
 *	Apply a cache event.  A gap in the numbers, or a lower number (the
 *	upstream was restarted), halves the estimates for that upstream until
 *	a reply confirms them.  Events of programs without a record are
 *	ignored, which bounds the index to this instance's programs.
 */
void upstream_cache_event(struct upstream_table *table,
    struct upstream_handle handle, int64_t number, bool insert,
    const char *program, int64_t tokens);

#endif
