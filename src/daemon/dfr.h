/*
 * dfr: functions to be called before the loop waits for events again.
 *
 * A module whose callback must not be called from within its own functions
 * defers it.  Deferred functions may defer others; all run before the loop
 * blocks, so that a deferral costs no time.
 */
#ifndef SAMPHIRESHED_DFR_H
#define SAMPHIRESHED_DFR_H

#include <ev.h>

struct dfr;

typedef void dfr_fn(void *arg);

struct dfr *dfr_open(struct ev_loop *loop);

/* dfr_close(dfr): free the queue; what is left in it is not called. */
void dfr_close(struct dfr *dfr);

/* dfr_add(dfr, fn, arg): call fn(arg) soon, in the order of the calls. */
void dfr_add(struct dfr *dfr, dfr_fn *fn, void *arg);

#endif
