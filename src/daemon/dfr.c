#include "daemon/dfr.h"

#include <glib.h>

struct entry {
	dfr_fn *fn;
	void *arg;
};

struct dfr {
	struct ev_loop *loop;
	GQueue *queue; /* struct entry */
	ev_prepare prepare;
};

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	struct dfr *dfr = prepare->data;
	struct entry *entry;

	(void)loop;
	(void)events;
	while ((entry = g_queue_pop_head(dfr->queue)) != NULL) {
		entry->fn(entry->arg);
		g_free(entry);
	}
}

struct dfr *
dfr_open(struct ev_loop *loop)
{
	struct dfr *dfr = g_new0(struct dfr, 1);

	dfr->loop = loop;
	dfr->queue = g_queue_new();
	ev_prepare_init(&dfr->prepare, on_prepare);
	/* Before other prepare watchers, which compute the time to wait. */
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
	struct entry *entry = g_new0(struct entry, 1);

	entry->fn = fn;
	entry->arg = arg;
	g_queue_push_tail(dfr->queue, entry);
}
