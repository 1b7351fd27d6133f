/*
 * gate: the callers' HTTP routes.
 *
 * Authenticates the caller, applies the organisation's rate limit and finds the
 * owner of the program.  Runs the request here or forwards it to the owner, and
 * sends the answer.  A request that did not run because its shard was moving is
 * retried until a deadline.
 */
#ifndef SAMPHIRESHED_GATE_H
#define SAMPHIRESHED_GATE_H

#include "daemon/state.h"

/*
 * gate_open(dmn, error)
 *	Listen for callers.
 * RETURN VALUES
 *	nil if the address can't be used; *error is then a message to be freed
 *	by g_free().
 */
struct gate *gate_open(struct daemon *dmn, char **error);
void gate_close(struct gate *gate);

/*
 * gate_stop(gate)
 *	Accept no more connections, and ask callers to close the open ones.
 *	Requests in progress go on.
 */
void gate_stop(struct gate *gate);

/* gate_request_count(gate): requests in progress. */
unsigned gate_request_count(const struct gate *gate);

#endif
