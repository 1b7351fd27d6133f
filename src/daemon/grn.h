/*
 * grants: driver of the organisations' rates.
 *
 * Exchanges the requests and replies of module rat between holders and
 * coordinators, and keeps the requests that wait for a token.
 */
#ifndef SAMPHIRESHED_GRN_H
#define SAMPHIRESHED_GRN_H

#include "daemon/state.h"
#include "lib/vd.h"

struct grn *grn_open(struct dmn *daemon);
void grn_close(struct grn *grants);

/*
 * grn_take(grants, organisation, on_taken, waiter)
 *	Take a token of the organisation's rate for one request.
 * RETURN VALUES
 *	VD_OK: taken.  VD_RATE_EXCEEDED with Retry-After: refused.  Otherwise
 *	(ran == VD_MAYBE) on_taken(vd, waiter) is called later with one of them.
 */
typedef void grn_on_taken(const struct vd *vd, void *waiter);
struct vd grn_take(struct grn *grants, const char *organisation,
    grn_on_taken *on_taken, void *waiter);

/* grn_cancel(grants, organisation, waiter): remove a waiting request. */
void grn_cancel(struct grn *grants, const char *organisation, void *waiter);

/* grn_handler(grants, request, args): handler of GRANT. */
void grn_handler(struct grn *grants, struct pr_request *request,
    const struct peer_grant_args *args);

#endif
