/*
 * gate: the callers' HTTP routes.
 *
 * Checks the key, takes a token of the organisation's rate, finds the owner
 * of the program, runs the request there (call.h) or forwards it (fwd.h), and
 * shows the answer.  A request that did not run because its shard was moving
 * is tried again until a deadline.
 */
#ifndef SAMPHIRESHED_GATE_H
#define SAMPHIRESHED_GATE_H

#include "daemon/state.h"

/*
 * gate_open(dmn, error)
 *	Listen for callers.  Returns nil with *error set to a text to be freed
 *	by g_free() if the address can't be used.
 */
struct gate *gate_open(struct dmn *dmn, char **error);
void gate_close(struct gate *gate);

/*
 * gate_stop(gate)
 *	Accept no more connections, and ask callers to close those that are
 *	open.  Requests in progress go on.
 */
void gate_stop(struct gate *gate);

/* gate_active(gate): requests not yet answered. */
unsigned gate_active(const struct gate *gate);

#endif
