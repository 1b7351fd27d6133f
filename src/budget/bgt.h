/*
 * Token budgets of programs whose turns come through any instance.
 *
 * The store holds a ledger for each program: the part of its budget that was
 * granted to each session of an instance.  An instance takes a grant before
 * it runs a turn, runs further turns from the rest of the grant, lends to
 * other instances (loan.h), and returns the rest when the program has been
 * idle for a while.
 * The store refuses a change of a ledger if another session has changed it
 * since it was read, so the sum over all instances never exceeds the budget,
 * or the budget and an overdraft after a session did not answer.  What an
 * instance had not returned when it crashed stays spent.
 *
 * This bounds programs whose turns move between instances, and programs that
 * start sub-agents in a loop.
 *
 * The module does no input or output: the caller reads and writes ledgers.
 */
#ifndef SAMPHIRESHED_BUDGET_H
#define SAMPHIRESHED_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "store/sto.h"

struct bgt;

/* Whether a turn may run. */
enum bgt_verdict {
	BGT_RUN, /* tokens are reserved: bgt_settle() must follow */
	BGT_TAKE, /* a grant is needed: call bgt_take() */
	BGT_SPENT /* the budget suffices for no further turn */
};

/* The next step of a change of a ledger. */
enum bgt_taken {
	BGT_TAKEN, /* none: the grant suffices */
	BGT_READ, /* read the ledger and try again */
	BGT_WRITE, /* append the record, expecting the end that was read */
	BGT_NONE, /* none: no tokens are left */
	BGT_HELD /* none: the rest is granted to other sessions */
};

/*
 * bgt_open(session, retention)
 *	session is the name of this instance's session.  A program without a
 *	turn for retention expires.
 */
struct bgt *bgt_open(const char *session, clk_ms retention);
void bgt_close(struct bgt *budgets);

/*
 * bgt_reserve(budgets, program, turn_max, now)
 *	Reserve turn_max tokens, the most that a turn generates.
 */
enum bgt_verdict bgt_reserve(
    struct bgt *budgets, const char *program, int64_t turn_max, clk_ms now);

/*
 * bgt_settle(budgets, program, reserved, used, now)
 *	A turn ended after it used that many tokens; release the rest of its
 *	reservation.
 */
void bgt_settle(struct bgt *budgets, const char *program, int64_t reserved,
    int64_t used, clk_ms now);

/*
 * bgt_ledger_set(budgets, program, record, end, now)
 *	Set the ledger as read or written.  record is nil if there is none.
 *	end is the end of its place in the store.
 * bgt_ledger_forget(budgets, program)
 *	The ledger may have changed: it has to be read again.
 */
void bgt_ledger_set(struct bgt *budgets, const char *program,
    const struct sto_record *record, int64_t end, clk_ms now);
void bgt_ledger_forget(struct bgt *budgets, const char *program);

/*
 * bgt_take(budgets, program, budget, turn_max, overdraft, ...)
 *	Return the next step to get a grant for a turn.  If the rest of the
 *	budget is granted to a session that does not answer, because it
 *	crashed for example, the grants may exceed the budget by overdraft
 *	tokens in all, to make up for what that session had not used.  wall
 *	is the time of day, for the record.  With BGT_WRITE, *value
 *	is the new record, to be freed by g_free(), and *end the end to
 *	expect; call bgt_ledger_set() with them when the append succeeded.
 */
enum bgt_taken bgt_take(struct bgt *budgets, const char *program,
    int64_t budget, int64_t turn_max, int64_t overdraft, char **value,
    int64_t *end, clk_ms now, clk_ms wall);

/*
 * bgt_return(budgets, program, value, end, wall)
 *	Return the unused rest of an idle program's grant to the ledger.
 * RETURN VALUES
 *	BGT_READ and BGT_WRITE as in bgt_take();
 *	BGT_NONE if there is nothing to return, or a turn is running.
 */
enum bgt_taken bgt_return(struct bgt *budgets, const char *program,
    char **value, int64_t *end, clk_ms wall);

/*
 * bgt_held(budgets, program, until)
 *	The rest is granted to other sessions: bgt_reserve() returns
 *	BGT_SPENT until then, so that not each turn reads the ledger.
 */
void bgt_held(struct bgt *budgets, const char *program, clk_ms until);

/*
 * bgt_idle(budgets, program, since)
 *	Whether the program has no turn running here, had none since that
 *	time, and has an unused part of its grant.
 * bgt_is_first(budgets, program)
 *	Whether this session got its last grant when no other one had any: it
 *	lends to the others, and returns its grant late.
 * bgt_holder(budgets, program)
 *	Return the other session with the largest grant, by the ledger as it
 *	was last read or written, to be freed by g_free(), or nil.
 */
bool bgt_idle(const struct bgt *budgets, const char *program, clk_ms since);
bool bgt_is_first(const struct bgt *budgets, const char *program);
char *bgt_holder(const struct bgt *budgets, const char *program);

/*
 * bgt_is_expired(record, retention, wall)
 *	Whether the last change of a ledger is so old, at the time of day
 *	wall, that its program has expired at every instance.
 */
bool
bgt_is_expired(const struct sto_record *record, clk_ms retention, clk_ms wall);

/* bgt_programs(budgets): number of programs. */
guint bgt_programs(const struct bgt *budgets);

/* bgt_expire(budgets, now): remove programs that have expired. */
void bgt_expire(struct bgt *budgets, clk_ms now);

#endif
