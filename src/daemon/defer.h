/*
 * defer: deferred calls, which run before the event loop blocks again.
 *
 * A module whose callback must not be called from within its own functions
 * defers the call.  Deferred functions may defer others; all of them run
 * before the loop blocks.
 */
#ifndef SAMPHIRESHED_DEFER_H
#define SAMPHIRESHED_DEFER_H

#include <ev.h>

struct defer;

typedef void defer_cb(void *arg);

struct defer *defer_open(struct ev_loop *loop);

/* defer_close(defer): free the queue; pending calls are not made. */
void defer_close(struct defer *defer);

/* defer_add(defer, fn, arg): queue the call fn(arg); calls run in order. */
void defer_add(struct defer *defer, defer_cb *fn, void *arg);

#endif
