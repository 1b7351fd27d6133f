/*
 * ups: table of upstreams.
 *
 * Holds what the configuration, the member list, load reports, cache events
 * and replies say about each upstream, and derives from it whether the
 * upstream may get a call now and how long that call would wait there.
 *
 * A pool is the set of upstreams that serve one model (or one service).  The
 * members of a pool that are active and have room in their window are open.
 * Open members are kept in heaps by waiting time, one for each power of two
 * of speed and for local and remote members, so that the best member is found
 * without looking at all of them.
 *
 * Costs: n is the number of members of a pool, m the number of pools of an
 * upstream (its models).  Each function says its cost if it is not O(1).
 * Memory, as measured with glibc on x86-64: 520 bytes for an upstream with one
 * model, 135 for each further model, 160 for a program with one holder.
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
	double window; /* how many there may be */
	double speed; /* prefill tokens per second */
	double queue_tokens; /* prefill ahead of a new call */
	clk_ms load_age; /* -1: no report */
};

/* A load report of an upstream. */
struct ups_load {
	unsigned active;
	unsigned waiting;
	unsigned capacity; /* calls that may run at once; 0: unknown */
	clk_ms age; /* of the report when it arrived */
};

/* What is known of a call when it ends well. */
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
	UPS_BUSY /* it answered that it takes no more, as with 429 or 503 */
};

/*
 * ups_open(options), ups_close(ups)
 *	Create and free a table.  The strings of options are copied.
 */
struct ups *ups_open(const struct ups_options *options);
void ups_close(struct ups *ups);

/*
 * ups_set(ups, config)
 *	Add an upstream, or change the one of that name.  The name and kind of
 *	an upstream don't change; what was measured is kept.  O(m log n).
 * RETURN VALUES
 *	Its handle.
 */
struct ups_handle ups_set(struct ups *ups, const struct ups_config *config);

/*
 * ups_remove(ups, name)
 *	Remove an upstream.  One with calls in progress is left as leaving
 *	until the last of them has ended.  O(m log n).
 */
void ups_remove(struct ups *ups, const char *name);

/*
 * ups_hint(ups, name, leaving)
 *	The member list says that the upstream is leaving (or missing there),
 *	or is live.  A hint never brings back one that the configuration says
 *	is leaving.  Unknown names are ignored.  O(m log n).
 */
void ups_hint(struct ups *ups, const char *name, bool leaving);

/*
 * ups_share_set(ups, instances)
 *	The number of instances that share the upstreams: a window is at most
 *	the reported capacity divided by it, and at least 1.  A change looks at
 *	all upstreams; to be called when the membership changes.
 */
void ups_share_set(struct ups *ups, unsigned instances);

/*
 * ups_load_set(ups, handle, load, now)
 *	Take a load report.  Reports older than 5 s are ignored, and a report
 *	counts for 5 s.  O(m log n).
 */
void ups_load_set(struct ups *ups, struct ups_handle handle,
    const struct ups_load *load, clk_ms now);

/*
 * ups_tick(ups, now)
 *	Bring back upstreams whose delay after a failure has passed, and drop
 *	load reports that are too old.  To be called about every 100 ms; looks
 *	at no more than 64 upstreams for each of the two.
 */
void ups_tick(struct ups *ups, clk_ms now);

/* ups_find(ups, name): the handle of a name; generation 0 if unknown. */
struct ups_handle ups_find(const struct ups *ups, const char *name);

/* ups_count(ups), ups_at(ups, i): all upstreams, 0 <= i < ups_count(). */
unsigned ups_count(const struct ups *ups);
struct ups_handle ups_at(const struct ups *ups, unsigned i);

/*
 * ups_view(ups, handle, now, view)
 *	Fill in *view.  Its strings are valid until the next change of the
 *	upstream's configuration.
 * RETURN VALUES
 *	false if the handle is not valid.
 */
bool ups_view(const struct ups *ups, struct ups_handle handle, clk_ms now,
    struct ups_view *view);

/*
 * ups_is_open(ups, handle): whether a call may start there now.
 * ups_in_pool(ups, handle, pool): whether it serves the pool's model.  O(m).
 */
bool ups_is_open(const struct ups *ups, struct ups_handle handle);
bool
ups_in_pool(const struct ups *ups, struct ups_handle handle, uint32_t pool);

/* ---- pools ---- */

/* ups_pool_find(ups, kind, model): UPS_NO_POOL if nothing ever served it. */
uint32_t
ups_pool_find(const struct ups *ups, enum ups_kind kind, const char *model);

/* ups_pool_count(ups): pools are numbered from 0. */
uint32_t ups_pool_count(const struct ups *ups);

/*
 * ups_pool_members(ups, pool), ups_pool_open(ups, pool)
 *	The number of members that are active, and of those that have room.
 */
unsigned ups_pool_members(const struct ups *ups, uint32_t pool);
unsigned ups_pool_open(const struct ups *ups, uint32_t pool);

/*
 * ups_pool_rotate(ups, pool, turn)
 *	The open member number (turn modulo their number), in no set order.
 */
struct ups_handle
ups_pool_rotate(const struct ups *ups, uint32_t pool, uint64_t turn);

/*
 * ups_pool_least_outstanding(ups, pool, avoid)
 *	The open member with the fewest calls of this instance, other than
 *	avoid if there is another.
 */
struct ups_handle ups_pool_least_outstanding(
    const struct ups *ups, uint32_t pool, struct ups_handle avoid);

/*
 * ups_pool_least_wait(ups, pool, tokens, avoid, wait)
 *	The open member with the least expected time to prefill tokens, none of
 *	them cached, other than avoid if there is another; *wait is that time
 *	in ms.  Compares the best of each speed class: at most 3 * 32 members.
 *	Exact among members of equal speed; within a class, speeds differ by a
 *	factor below 2.
 */
struct ups_handle ups_pool_least_wait(const struct ups *ups, uint32_t pool,
    int64_t tokens, struct ups_handle avoid, double *wait);

/*
 * ups_wait(ups, handle, tokens)
 *	The expected time in ms until the upstream has prefilled tokens.
 */
double
ups_wait(const struct ups *ups, struct ups_handle handle, int64_t tokens);

/* ups_queue_tokens(ups, handle): the prefill ahead of a new call, in tokens. */
double ups_queue_tokens(const struct ups *ups, struct ups_handle handle);

/*
 * ups_is_overloaded(ups, handle, pool, factor)
 *	Whether one more call would put the upstream above factor times its
 *	part, by speed, of the calls that this instance has with the members
 *	of the pool.
 */
bool ups_is_overloaded(const struct ups *ups, struct ups_handle handle,
    uint32_t pool, double factor);

/* ---- calls ---- */

/*
 * ups_begin(ups, handle, uncached_tokens)
 *	A call starts: it takes a place in the window.  O(m log n).
 */
void
ups_begin(struct ups *ups, struct ups_handle handle, int64_t uncached_tokens);

/*
 * ups_prefilled(ups, handle, uncached_tokens)
 *	The first token of a call has arrived, so its prefill is no longer
 *	ahead of others.  To be called once for each call, at the latest just
 *	before ups_end() or ups_fail().  O(m log n).
 */
void ups_prefilled(
    struct ups *ups, struct ups_handle handle, int64_t uncached_tokens);

/*
 * ups_end(ups, handle, queue_tokens, reply, now)
 *	A call ended well.  queue_tokens is what was ahead of it at its start.
 *	The window grows by 1 for each window's worth of calls within the
 *	targets, and shrinks to 0.7 of itself, at most once a second, after a
 *	call that missed one.  O(m log n).
 */
void ups_end(struct ups *ups, struct ups_handle handle, double queue_tokens,
    const struct ups_reply *reply, clk_ms now);

/*
 * ups_cancelled(ups, handle)
 *	A call ended because its caller left: nothing is learned from it.
 */
void ups_cancelled(struct ups *ups, struct ups_handle handle);

/*
 * ups_fail(ups, handle, failure, now)
 *	A call failed.  After UPS_REFUSED and UPS_CRASHED the upstream is down
 *	for 1 s, doubled with each failure after it came back up to 30 s, and
 *	is then probed with a window of 1.  After UPS_TIMED_OUT and UPS_BUSY the
 *window is halved; 3 timeouts without a reply in between put it down too. After
 *UPS_REFUSED and UPS_CRASHED its prefix cache counts as empty. O(m log n).
 */
void ups_fail(struct ups *ups, struct ups_handle handle,
    enum ups_failure failure, clk_ms now);

/* ---- prefix index ---- */

/*
 * An upstream is recorded as a holder of a program as soon as a call of the
 * program starts there, and until ups_program_forget(): the number of cached
 * tokens is an estimate, but whether anything must be released is not.
 */

/* ups_program_hold(ups, program, handle): a call of program starts there. */
void ups_program_hold(
    struct ups *ups, const char *program, struct ups_handle handle);

/*
 * ups_program_cached(ups, program, handle, tokens)
 *	A reply showed that the upstream holds this many tokens of the program
 *	now (its prompt and answer).
 */
void ups_program_cached(struct ups *ups, const char *program,
    struct ups_handle handle, int64_t tokens);

struct ups_holder {
	struct ups_handle upstream;
	int64_t tokens; /* estimate of the prefix cached there */
};

/*
 * ups_program_holders(ups, program, holders, max)
 *	Write up to max holders of a program, those with the most tokens first,
 *	among equals the newest.  O(holders * max).
 * RETURN VALUES
 *	How many there are, which may be more than max.
 */
size_t ups_program_holders(const struct ups *ups, const char *program,
    struct ups_holder *holders, size_t max);

/* ups_program_forget(ups, program): the program's prefixes are released. */
void ups_program_forget(struct ups *ups, const char *program);

/*
 * ups_cache_event(ups, handle, number, insert, program, tokens)
 *	Take a cache event.  A gap in the numbers, or a number that is lower
 *	than the last (the upstream was restarted), halves the estimates for
 *	that upstream until a reply confirms them.  Events of programs without
 *	a record are ignored, which bounds the index to this instance's
 *	programs.
 */
void ups_cache_event(struct ups *ups, struct ups_handle handle, int64_t number,
    bool insert, const char *program, int64_t tokens);

#endif
