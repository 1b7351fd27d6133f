/*
 * ops: the operators' port.
 *
 * GET /healthz, /readyz and /metrics, and the routes under /ctl/ that
 * samphireshed ctl uses.  The port belongs on a network that only operators
 * reach; it checks no keys.
 */
#ifndef SAMPHIRESHED_OPS_H
#define SAMPHIRESHED_OPS_H

#include "daemon/state.h"

/* ops_open(daemon, error): listen; nil with *error set if that fails. */
struct ops *ops_open(struct daemon *daemon, char **error);
void ops_close(struct ops *ops);

/* ops_active(ops): requests not yet answered. */
unsigned ops_active(const struct ops *ops);

#endif
