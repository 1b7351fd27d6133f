/*
 * grants: driver of the organisations' rates.
 *
 * Exchanges the requests and replies of module rate between holders and
 * coordinators, and keeps the requests that wait for a token.
 */
#ifndef SAMPHIRESHED_GRANTS_H
#define SAMPHIRESHED_GRANTS_H

#include "daemon/state.h"
#include "lib/vd.h"

struct grants *grants_open(struct daemon *daemon);
void grants_close(struct grants *grants);

/*
 * grants_take(grants, organisation, on_taken, waiter)
 *	Take a token of the organisation's rate for one request.
 * RETURN VALUES
 *	VD_OK: taken.  VD_RATE_EXCEEDED with Retry-After: refused.  Otherwise
 *	(ran == VD_MAYBE) on_taken(vd, waiter) is called later with one of these
 *	two verdicts.
 */
typedef void grants_taken_cb(const struct vd *vd, void *waiter);
struct vd grants_take(struct grants *grants, const char *organisation,
    grants_taken_cb *on_taken, void *waiter);

/* grants_cancel(grants, organisation, waiter): remove a waiting request. */
void
grants_cancel(struct grants *grants, const char *organisation, void *waiter);

/* grants_handle(grants, request, args): handler of GRANT. */
void grants_handle(struct grants *grants, struct rpc_request *request,
    const struct peer_grant_args *args);

#endif
