/*
 * bgt: token budgets of programs whose turns come through any instance.
 *
 * A program's budget lies in the store as a ledger: how much of it has been
 * granted to which session of an instance.  An instance takes a grant before
 * it runs a turn, and runs further turns from what is left of the grant
 * without the store.  What an instance that died had not used stays spent,
 * so the sum over all instances never exceeds the budget.
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

/* The outcome of reading a ledger. */
enum bgt_taken {
	BGT_TAKEN, /* the grant is in the ledger already */
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
enum bgt_verdict bgt_reserve(
    struct bgt *bgt, const char *program, int64_t turn_max, clk_ms now);

/*
 * bgt_settle(bgt, program, reserved, used, now)
 *	A turn ended after used tokens; the rest of its reservation is free.
 */
void bgt_settle(struct bgt *bgt, const char *program, int64_t reserved,
    int64_t used, clk_ms now);

/*
 * bgt_take(bgt, program, budget, turn_max, reply, value, now)
 *	Decide on a ledger that was read.  With BGT_WRITE, *value is the new
 *	record, to be freed by g_free(); call bgt_written() when the append
 *	succeeded, or read again when its outcome is not known.
 */
enum bgt_taken bgt_take(struct bgt *bgt, const char *program, int64_t budget,
    int64_t turn_max, const struct sto_record *record, char **value,
    clk_ms now);

/* bgt_written(bgt, program, value): the record is in the store. */
void bgt_written(
    struct bgt *bgt, const char *program, const char *value, clk_ms now);

/*
 * bgt_return(bgt, program, record, value, now)
 *	Give back what this session holds of an idle program's grant; see
 *	bgt_take() for *value.  bgt_returned() follows a successful append.
 * RETURN VALUES
 *	false if there is nothing to give back, or a turn is running.
 */
bool bgt_return(struct bgt *bgt, const char *program,
    const struct sto_record *record, char **value, clk_ms now);

/* bgt_programs(bgt): number of programs known here. */
guint bgt_programs(const struct bgt *bgt);

/* bgt_expire(bgt, now): forget programs that are idle for the retention. */
void bgt_expire(struct bgt *bgt, clk_ms now);

#endif
