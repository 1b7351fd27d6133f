/*
 * outbox: entries to be sent in messages with a bounded number of them, each
 * in two messages, as one may be lost.
 */
#ifndef SAMPHIRESHED_OUTBOX_H
#define SAMPHIRESHED_OUTBOX_H

#include <stddef.h>

struct outbox;

/*
 * outbox_open(entry_size, max)
 *	Create an outbox for up to max entries of entry_size bytes.
 */
struct outbox *outbox_open(size_t entry_size, size_t max);
void outbox_close(struct outbox *outbox);

/*
 * outbox_add(outbox, entry)
 *	Add a copy of an entry.  If the outbox is full, the oldest entry is
 *	dropped.
 */
void outbox_add(struct outbox *outbox, const void *entry);

/*
 * outbox_take(outbox, entries, max)
 *	Write up to max entries: those that were not sent yet, the oldest
 *	first, then those that were sent once.  The others stay.
 * RETURN VALUES
 *	The number of entries there were to send, with those that were dropped
 *	since the last call; at most max of them are written.
 */
size_t outbox_take(struct outbox *outbox, void *entries, size_t max);

/*
 * outbox_take_once(outbox, entries, max)
 *	The same for entries that are sent in one message only.
 */
size_t outbox_take_once(struct outbox *outbox, void *entries, size_t max);

#endif
