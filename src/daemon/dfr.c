#include "daemon/dfr.h"

#include <glib.h>

struct deferred_call {
	dfr_fn *fn;
	void *arg;
};

struct dfr {
	struct ev_loop *loop;
	GQueue *queue; /* struct deferred_call */
	ev_prepare prepare;
};

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	struct dfr *dfr = prepare->data;
	struct deferred_call *call;

	(void)loop;
	(void)events;
	while ((call = g_queue_pop_head(dfr->queue)) != NULL) {
		call->fn(call->arg);
		g_free(call);
	}
}

struct dfr *
dfr_open(struct ev_loop *loop)
{
	struct dfr *dfr = g_new0(struct dfr, 1);

	dfr->loop = loop;
	dfr->queue = g_queue_new();
	ev_prepare_init(&dfr->prepare, on_prepare);
	/* Run before other prepare watchers, which compute the timeout. */
	ev_set_priority(&dfr->prepare, EV_MAXPRI);
	dfr->prepare.data = dfr;
	ev_prepare_start(loop, &dfr->prepare);
	return (dfr);
}

void
dfr_close(struct dfr *dfr)
{
	if (dfr == NULL)
		return;
	ev_prepare_stop(dfr->loop, &dfr->prepare);
	g_queue_free_full(dfr->queue, g_free);
	g_free(dfr);
}

void
dfr_add(struct dfr *dfr, dfr_fn *fn, void *arg)
{
	struct deferred_call *call = g_new0(struct deferred_call, 1);

	call->fn = fn;
	call->arg = arg;
	g_queue_push_tail(dfr->queue, call);
}
