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

struct active_programs;

/*
 * active_programs_open(retention)
 *	A program expires when it had no request and no gossip for retention.
 */
struct active_programs *active_programs_open(clk_ms retention);
void active_programs_close(struct active_programs *programs);

/*
 * active_programs_contains(programs, program)
 *	Whether the program is active.
 */
bool active_programs_contains(
    const struct active_programs *programs, const char *program);

/*
 * active_programs_add(programs, program, now)
 *	Add a program that has a request which was admitted here.
 */
void active_programs_add(
    struct active_programs *programs, const char *program, clk_ms now);

/*
 * active_programs_hash(program)
 *	Return the hash that identifies the program in messages.
 * active_programs_join(programs, hash, peer, now)
 *	A request of the program has come to an instance: to peer, or to this
 *	one if it is nil.  Returns the name of the instance to which the first
 *	one came, or nil if it is this one.
 * active_programs_knows(programs, hash)
 *	Whether the program is active.
 */
uint64_t active_programs_hash(const char *program);
const char *active_programs_join(struct active_programs *programs,
    uint64_t hash, const char *peer, clk_ms now);
bool
active_programs_knows(const struct active_programs *programs, uint64_t hash);

/*
 * active_programs_merge(programs, peer, hashes, n, now)
 *	Merge the programs that a gossip message of peer names.
 * active_programs_home(programs, program)
 *	Return the name of the first instance whose gossip named the program,
 *	or nil if its first request came to this instance, or it isn't known.
 * active_programs_home_clear(programs, program)
 *	Forget that instance, which does not answer or is stopping:
 *	active_programs_home() returns nil from now on.
 */
void active_programs_merge(struct active_programs *programs, const char *peer,
    const uint64_t *hashes, size_t n, clk_ms now);
const char *active_programs_home(
    const struct active_programs *programs, const char *program);
void active_programs_home_clear(
    struct active_programs *programs, const char *program);

/*
 * active_programs_collect(programs, hashes, max)
 *	Write programs whose first request came to this instance, to be sent
 *	to the peers: each is written by two calls, see lib/outbox.h.
 * RETURN VALUES
 *	The number of programs to send, of which at most max are written.
 */
size_t active_programs_collect(
    struct active_programs *programs, uint64_t *hashes, size_t max);

/*
 * active_programs_expire(programs, now)
 *	Remove programs that have expired.
 */
void active_programs_expire(struct active_programs *programs, clk_ms now);

#endif
