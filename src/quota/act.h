/*
 * act: programs under way, as far as this instance has seen or been told.
 *
 * A program is known by a hash of its id.  What an instance sees first it
 * tells the others with the next datagrams.
 */
#ifndef SAMPHIRESHED_ACT_H
#define SAMPHIRESHED_ACT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

struct act;

/* act_open(retention): a program not seen for retention is forgotten. */
struct act *act_open(clk_ms retention);
void act_close(struct act *act);

/* act_known(act, program): whether the program has begun. */
bool act_known(const struct act *act, const char *program);

/* act_seen(act, program, now): a request of it was admitted here. */
void act_seen(struct act *act, const char *program, clk_ms now);

/*
 * act_heard(act, peer, hashes, n, now)
 *	Another instance, named peer, has seen programs first.
 * act_home(act, program)
 *	Return the name of the instance that told of the program first, or
 *	nil if it was seen here before, or is not known.
 * act_home_forget(act, program)
 *	That instance does not answer, or is leaving.
 */
void act_heard(struct act *act, const char *peer, const uint64_t *hashes,
    size_t n, clk_ms now);
const char *act_home(const struct act *act, const char *program);
void act_home_forget(struct act *act, const char *program);

/*
 * act_news(act, hashes, max)
 *	Write the programs that were seen here first since the call before
 *	the last one, so that each is told twice.  Returns their number.
 */
size_t act_news(struct act *act, uint64_t *hashes, size_t max);

void act_expire(struct act *act, clk_ms now);

#endif
