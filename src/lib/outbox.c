#include "lib/outbox.h"

#include <glib.h>
#include <string.h>

struct outbox {
	size_t entry_size;
	size_t max;
	GQueue unsent; /* copies of entries, the oldest first */
	GQueue resend; /* the same, sent once */
	size_t dropped; /* since the last outbox_take() */
};

struct outbox *
outbox_open(size_t entry_size, size_t max)
{
	struct outbox *outbox = g_new0(struct outbox, 1);

	outbox->entry_size = entry_size;
	outbox->max = max;
	return (outbox);
}

void
outbox_close(struct outbox *outbox)
{
	if (outbox == NULL)
		return;
	g_queue_clear_full(&outbox->unsent, g_free);
	g_queue_clear_full(&outbox->resend, g_free);
	g_free(outbox);
}

void
outbox_add(struct outbox *outbox, const void *entry)
{
	/* An entry that was sent once is the smaller loss. */
	if (outbox->unsent.length + outbox->resend.length >= outbox->max) {
		g_free(g_queue_pop_head(outbox->resend.length > 0
			? &outbox->resend
			: &outbox->unsent));
		outbox->dropped++;
	}
	g_queue_push_tail(
	    &outbox->unsent, g_memdup2(entry, outbox->entry_size));
}

size_t
outbox_take(struct outbox *outbox, void *entries, size_t max)
{
	size_t total =
	    outbox->dropped + outbox->unsent.length + outbox->resend.length;
	guint resend = outbox->resend.length;
	char *at = entries;
	size_t n = 0;

	for (; n < max && outbox->unsent.length > 0; n++) {
		void *entry = g_queue_pop_head(&outbox->unsent);

		memcpy(at, entry, outbox->entry_size);
		at += outbox->entry_size;
		g_queue_push_tail(&outbox->resend, entry);
	}
	for (; n < max && resend > 0; n++, resend--) {
		void *entry = g_queue_pop_head(&outbox->resend);

		memcpy(at, entry, outbox->entry_size);
		at += outbox->entry_size;
		g_free(entry);
	}
	outbox->dropped = 0;
	return (total);
}

size_t
outbox_take_once(struct outbox *outbox, void *entries, size_t max)
{
	size_t total = outbox_take(outbox, entries, max);

	g_queue_clear_full(&outbox->resend, g_free);
	return (total);
}
