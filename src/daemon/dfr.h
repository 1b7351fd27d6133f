/*
 * defer: deferred calls, which run before the event loop blocks again.
 *
 * A module whose callback must not be called from within its own functions
 * defers the call.  Deferred functions may defer others; all of them run
 * before the loop blocks.
 */
#ifndef SAMPHIRESHED_DFR_H
#define SAMPHIRESHED_DFR_H

#include <ev.h>

struct dfr;

typedef void dfr_fn(void *arg);

struct dfr *dfr_open(struct ev_loop *loop);

/* dfr_close(defer): free the queue; pending calls are not made. */
void dfr_close(struct dfr *defer);

/* dfr_add(defer, fn, arg): queue the call fn(arg); calls run in order. */
void dfr_add(struct dfr *defer, dfr_fn *fn, void *arg);

#endif
