/*
 * Homes that don't answer questions for tokens, as this instance has seen.
 *
 * A home that has died, or is cut off from this instance only, stays a home
 * until all agree that it isn't alive, which takes up to 1.6 s in a large
 * fleet.  Without this module each request in that time waits for the timeout
 * of a question to it (with 30 instances, 1,241 questions in 7 s).  Once one
 * question has timed out the home is passed over for a while, after which one
 * request at a time tries it again.
 *
 * This says nothing of who is a home, on which the rates rest: it only saves
 * the wait.  The module holds no socket and reads no clock.
 */
#ifndef SAMPHIRESHED_SILENCE_H
#define SAMPHIRESHED_SILENCE_H

#include <netinet/in.h>
#include <stdbool.h>

#include "lib/clk.h"

struct silence;

struct silence *silence_open(void);
void silence_close(struct silence *silence);

/*
 * silence_timed_out(silence, home, now)
 *	A question to the home at this address had no answer in time.
 * silence_answered(silence, home)
 *	An answer has come, in time or late.
 * silence_is_asked(silence, home, now)
 *	Whether a question is to be sent to the home now.  Of a home that did
 *	not answer this is true once when its time is over, so that the result
 *	must be followed by a question.
 */
void silence_timed_out(
    struct silence *silence, const struct sockaddr_in *home, clk_ms now);
void silence_answered(struct silence *silence, const struct sockaddr_in *home);
bool silence_is_asked(
    struct silence *silence, const struct sockaddr_in *home, clk_ms now);

/*
 * silence_give_up_at(first, deadline)
 *	When a request that no home answers is refused, given when it first
 *	asked one and when its caller's time ends.
 */
clk_ms silence_give_up_at(clk_ms first, clk_ms deadline);

#endif
