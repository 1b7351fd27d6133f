/*
 * Token budgets of programs whose turns come through any instance.
 *
 * The store holds a ledger for each program: the part of its budget that was
 * granted to each session of an instance.  An instance takes a grant before
 * it runs a turn, runs further turns from the rest of the grant, lends to
 * other instances (loan.h), and returns the rest when the program has been
 * idle for a while.
 *
 * The store refuses a change of a ledger if another session has changed it
 * since it was read, so the sum of all grants never exceeds the budget, or the
 * budget plus an overdraft if a session has not answered.  The part of its
 * grant that an instance had not returned when it crashed counts as spent.
 *
 * The budget thus also bounds programs whose turns move between instances,
 * and programs that start sub-agents in a loop.
 *
 * The module does no input or output: the caller reads and writes ledgers.
 */
#ifndef SAMPHIRESHED_BUDGET_H
#define SAMPHIRESHED_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "store/store.h"

struct budgets;

/* Whether a turn may run. */
enum budget_verdict {
	BUDGET_RESERVED, /* tokens are reserved: budget_settle() must follow */
	BUDGET_GRANT_NEEDED, /* a grant is needed: call budget_grant_take() */
	BUDGET_SPENT /* the budget suffices for no further turn */
};

/* The next step of a change of a ledger. */
enum budget_step {
	BUDGET_GRANT_SUFFICES, /* none: the grant suffices */
	BUDGET_READ_LEDGER, /* read the ledger and try again */
	BUDGET_WRITE_LEDGER, /* append *value, expecting the end *end */
	BUDGET_NO_TOKENS, /* none: no tokens are left */
	BUDGET_HELD_ELSEWHERE /* none: the rest is granted to other sessions */
};

/*
 * budget_open(session, retention)
 *	session is the name of this instance's session.  A program expires
 *	when it had no turn for retention; a grant that its ledger still has
 *	then counts as used.
 */
struct budgets *budget_open(const char *session, clk_ms retention);
void budget_close(struct budgets *budgets);

/*
 * budget_reserve(budgets, program, turn_max, now)
 *	Reserve turn_max tokens, the most that a turn generates.
 */
enum budget_verdict budget_reserve(
    struct budgets *budgets, const char *program, int64_t turn_max, clk_ms now);

/*
 * budget_retention_set(budgets, program, retention, now)
 *	The program may come again within that time, in ms: its ledger is kept
 *	for so long at least, whatever becomes of the routes.
 */
void budget_retention_set(
    struct budgets *budgets, const char *program, clk_ms retention, clk_ms now);

/*
 * budget_is_granted(budgets, program, turn_max)
 *	Whether budget_reserve() needs no grant: it would reserve the tokens,
 *	or refuse.
 */
bool budget_is_granted(
    const struct budgets *budgets, const char *program, int64_t turn_max);

/*
 * budget_settle(budgets, program, reserved, used, now)
 *	A turn ended after it used that many tokens; release the rest of its
 *	reservation.
 */
void budget_settle(struct budgets *budgets, const char *program,
    int64_t reserved, int64_t used, clk_ms now);

/*
 * budget_ledger_set(budgets, program, record, end, now)
 *	Set the ledger as read or written.  record is nil if there is none.
 *	end is the end offset of its partition in the store.
 * budget_ledger_invalidate(budgets, program)
 *	The ledger may have changed: it has to be read again.
 * budget_append_unsettled(budgets, program, end)
 *	The outcome of an append that expects the end offset end is unknown:
 *	it may still take effect, until something else is appended there.  A
 *	grant that it returns isn't used until then.
 */
void budget_ledger_set(struct budgets *budgets, const char *program,
    const struct store_record *record, int64_t end, clk_ms now);
void budget_ledger_invalidate(struct budgets *budgets, const char *program);
void budget_append_unsettled(
    struct budgets *budgets, const char *program, int64_t end);

/*
 * budget_grant_take(budgets, program, budget, turn_max, overdraft, ...)
 *	Return the next step to get a grant for a turn.  If the rest of the
 *	budget is granted to a session that does not answer, because it
 *	crashed for example, the grants may exceed the budget by overdraft
 *	tokens in all, to make up for what that session had not used.  wall
 *	is the time of day, for the record.  With BUDGET_WRITE_LEDGER, *value
 *	is the new record, to be freed by g_free(), and *end the end to
 *	expect; call budget_ledger_set() with them when the append succeeded.
 */
enum budget_step budget_grant_take(struct budgets *budgets, const char *program,
    int64_t budget, int64_t turn_max, int64_t overdraft, char **value,
    int64_t *end, clk_ms now, clk_ms wall);

/*
 * budget_grant_ahead(budgets, program, value, end, wall)
 *	Take a further grant before a turn needs it: the rest of this one does
 *	not cover a turn as large as the last one, and no other session has a
 *	grant.  The ledger is not read for it.
 * RETURN VALUES
 *	BUDGET_WRITE_LEDGER as in budget_grant_take(); BUDGET_NO_TOKENS if no
 *	grant is needed, or the budget does not suffice for another turn.
 */
enum budget_step budget_grant_ahead(struct budgets *budgets,
    const char *program, char **value, int64_t *end, clk_ms wall);

/*
 * budget_grant_return(budgets, program, value, end, wall)
 *	Return the unused rest of an idle program's grant to the ledger.
 * RETURN VALUES
 *	BUDGET_READ_LEDGER and BUDGET_WRITE_LEDGER as in budget_grant_take();
 *	BUDGET_NO_TOKENS if there is nothing to return, or a turn is running.
 */
enum budget_step budget_grant_return(struct budgets *budgets,
    const char *program, char **value, int64_t *end, clk_ms wall);

/*
 * budget_refuse_until(budgets, program, until)
 *	The rest is granted to other sessions: budget_reserve() returns
 *	BUDGET_SPENT until then, to avoid a read of the ledger for each turn.
 */
void
budget_refuse_until(struct budgets *budgets, const char *program, clk_ms until);

/*
 * budget_is_idle(budgets, program, since)
 *	Whether the program has no turn running here, had none since that
 *	time, and has an unused part of its grant.
 * budget_is_first_holder(budgets, program)
 *	Whether this session got its last grant when no other one had any: it
 *	lends to the others, and returns its grant late.
 * budget_largest_holder(budgets, program)
 *	Return the other session with the largest grant, by the ledger as it
 *	was last read or written, to be freed by g_free(), or nil.
 */
bool budget_is_idle(
    const struct budgets *budgets, const char *program, clk_ms since);
bool budget_is_first_holder(const struct budgets *budgets, const char *program);
char *budget_largest_holder(const struct budgets *budgets, const char *program);

/*
 * budget_ledger_is_expired(record, retention, wall)
 *	Whether the last change of a ledger is so old, at the time of day
 *	wall, that its program has expired at every instance.  It is kept for
 *	twice the time that it states, or twice the longest retention of the
 *	configuration if that is longer.
 */
bool budget_ledger_is_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall);

/* budget_program_count(budgets): number of programs. */
guint budget_program_count(const struct budgets *budgets);

/* budget_expire(budgets, now): remove programs that have expired. */
void budget_expire(struct budgets *budgets, clk_ms now);

#endif
