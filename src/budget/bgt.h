/*
 * bgt: token budgets of programs whose turns come through any instance.
 *
 * A program's budget lies in the store as a ledger: how much of it has been
 * granted to which session of an instance.  An instance takes a grant before
 * it runs a turn, runs further turns from what is left of the grant, lends to
 * other instances (loan.h), and gives the rest back when the program has been
 * idle for a while.
 * Each change of a ledger is refused by the store if another session has
 * changed it since it was read, so the sum over all instances never exceeds
 * the budget, or, after a session did not answer, the budget and an overdraft.
 * What an instance that died had not given back stays spent.
 *
 * Answers the load pattern of programs whose lines of turns move between
 * instances, and of programs that start sub-agents without end.
 *
 * Decisions only: the caller reads and writes the ledger.
 */
#ifndef SAMPHIRESHED_BGT_H
#define SAMPHIRESHED_BGT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "store/sto.h"

struct bgt;

/* What a turn may do. */
enum bgt_verdict {
	BGT_RUN, /* reserved: bgt_settle() must follow */
	BGT_TAKE, /* take a grant first: read the ledger, bgt_take() */
	BGT_SPENT /* the budget holds no further turn */
};

/* A decision on the ledger. */
enum bgt_taken {
	BGT_TAKEN, /* the grant suffices already */
	BGT_READ, /* the ledger has to be read first */
	BGT_WRITE, /* append the record, expecting the end that was read */
	BGT_NONE, /* the budget is spent for good */
	BGT_HELD /* what is left is granted to other sessions */
};

/*
 * bgt_open(session, retention)
 *	session names this run of the instance.  A program without a turn for
 *	retention is forgotten here.
 */
struct bgt *bgt_open(const char *session, clk_ms retention);
void bgt_close(struct bgt *bgt);

/*
 * bgt_reserve(bgt, program, turn_max, now)
 *	Reserve turn_max tokens, the most that a turn generates.
 */
enum bgt_verdict
bgt_reserve(struct bgt *bgt, const char *program, int64_t turn_max, clk_ms now);

/*
 * bgt_settle(bgt, program, reserved, used, now)
 *	A turn ended after used tokens; the rest of its reservation is free.
 */
void bgt_settle(struct bgt *bgt, const char *program, int64_t reserved,
    int64_t used, clk_ms now);

/*
 * bgt_ledger_set(bgt, program, record, end, now)
 *	The ledger was read: record is nil if there is none.  end is the end
 *	of its place in the store.
 * bgt_ledger_forget(bgt, program)
 *	The ledger has changed, or may have: it has to be read again.
 */
void bgt_ledger_set(struct bgt *bgt, const char *program,
    const struct sto_record *record, int64_t end, clk_ms now);
void bgt_ledger_forget(struct bgt *bgt, const char *program);

/*
 * bgt_take(bgt, program, budget, turn_max, overdraft, value, end, now, wall)
 *	Decide how to get a grant for a turn.  Where what is left is granted
 *	to a session that does not answer, one that died say, the grants may
 *	exceed the budget by overdraft tokens in all: what such a session had
 *	not used would be lost otherwise.  wall is the time of day, for the
 *	record.  With BGT_WRITE, *value is the new record, to be freed by
 *	g_free(), and *end the end to expect; call bgt_ledger_set() with them
 *	when the append succeeded.
 */
enum bgt_taken
bgt_take(struct bgt *bgt, const char *program, int64_t budget, int64_t turn_max,
    int64_t overdraft, char **value, int64_t *end, clk_ms now, clk_ms wall);

/*
 * bgt_return(bgt, program, value, end, wall)
 *	Give back what this session holds of an idle program's grant.
 * RETURN VALUES
 *	BGT_READ and BGT_WRITE as in bgt_take(); BGT_NONE if there is nothing
 *	to give back, or a turn is running.
 */
enum bgt_taken bgt_return(struct bgt *bgt, const char *program, char **value,
    int64_t *end, clk_ms wall);

/*
 * bgt_held(bgt, program, until)
 *	Other sessions hold what is left: bgt_reserve() answers BGT_SPENT
 *	until then, instead of having the ledger read for each turn.
 */
void bgt_held(struct bgt *bgt, const char *program, clk_ms until);

/*
 * bgt_idle(bgt, program, since)
 *	Whether no turn of it runs here, none has since that time, and a part
 *	of its grant is unused.
 * bgt_is_first(bgt, program)
 *	Whether this session got a grant when no other one had any: it lends
 *	to the others, and gives back late.
 * bgt_holder(bgt, program)
 *	Return the other session with the largest grant, as the ledger was
 *	read last, to be freed by g_free(), or nil.
 */
bool bgt_idle(const struct bgt *bgt, const char *program, clk_ms since);
bool bgt_is_first(const struct bgt *bgt, const char *program);
char *bgt_holder(const struct bgt *bgt, const char *program);

/*
 * bgt_is_expired(record, retention, wall)
 *	Whether a ledger has not changed for so long, at the time of day wall,
 *	that its program can't come back.
 */
bool
bgt_is_expired(const struct sto_record *record, clk_ms retention, clk_ms wall);

/* bgt_programs(bgt): number of programs known here. */
guint bgt_programs(const struct bgt *bgt);

/* bgt_expire(bgt, now): forget programs that are idle for the retention. */
void bgt_expire(struct bgt *bgt, clk_ms now);

#endif
