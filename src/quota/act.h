/*
 * Active programs: those with a request that this instance admitted, and
 * those that a peer's gossip named.
 *
 * A program is identified by a hash of its id.
 */
#ifndef SAMPHIRESHED_ACTIVE_PROGRAMS_H
#define SAMPHIRESHED_ACTIVE_PROGRAMS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

struct act;

/*
 * act_open(retention)
 *	A program without a request or gossip for retention expires.
 */
struct act *act_open(clk_ms retention);
void act_close(struct act *programs);

/*
 * act_known(programs, program)
 *	Whether the program is active.
 */
bool act_known(const struct act *programs, const char *program);

/*
 * act_seen(programs, program, now)
 *	Add a program that has a request which was admitted here.
 */
void act_seen(struct act *programs, const char *program, clk_ms now);

/*
 * act_heard(programs, peer, hashes, n, now)
 *	Merge the programs that a gossip message of peer names.
 * act_home(programs, program)
 *	Return the name of the first instance whose gossip named the program,
 *	or nil if its first request came to this instance, or it isn't known.
 * act_home_forget(programs, program)
 *	That instance does not answer, or is stopping: return nil from now on.
 */
void act_heard(struct act *programs, const char *peer, const uint64_t *hashes,
    size_t n, clk_ms now);
const char *act_home(const struct act *programs, const char *program);
void act_home_forget(struct act *programs, const char *program);

/*
 * act_news(programs, hashes, max)
 *	Write the programs whose first request came to this instance since
 *	the call before the last one: each is sent twice, as a message may be
 *	lost.  Returns their number.
 */
size_t act_news(struct act *programs, uint64_t *hashes, size_t max);

/*
 * act_expire(programs, now)
 *	Remove programs that have expired.
 */
void act_expire(struct act *programs, clk_ms now);

#endif
