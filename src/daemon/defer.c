#include "daemon/defer.h"

#include <glib.h>

struct deferred_call {
	defer_cb *fn;
	void *arg;
};

struct defer {
	struct ev_loop *loop;
	GQueue *queue; /* struct deferred_call */
	ev_prepare prepare;
};

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	struct defer *defer = prepare->data;
	struct deferred_call *call;

	(void)loop;
	(void)events;
	while ((call = g_queue_pop_head(defer->queue)) != NULL) {
		call->fn(call->arg);
		g_free(call);
	}
}

struct defer *
defer_open(struct ev_loop *loop)
{
	struct defer *defer = g_new0(struct defer, 1);

	defer->loop = loop;
	defer->queue = g_queue_new();
	ev_prepare_init(&defer->prepare, on_prepare);
	/* Run before other prepare watchers, which compute the timeout. */
	ev_set_priority(&defer->prepare, EV_MAXPRI);
	defer->prepare.data = defer;
	ev_prepare_start(loop, &defer->prepare);
	return (defer);
}

void
defer_close(struct defer *defer)
{
	if (defer == NULL)
		return;
	ev_prepare_stop(defer->loop, &defer->prepare);
	g_queue_free_full(defer->queue, g_free);
	g_free(defer);
}

void
defer_add(struct defer *defer, defer_cb *fn, void *arg)
{
	struct deferred_call *call = g_new0(struct deferred_call, 1);

	call->fn = fn;
	call->arg = arg;
	g_queue_push_tail(defer->queue, call);
}
