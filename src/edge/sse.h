/*
 * sse: splits a stream of server-sent events into complete events.
 */
#ifndef SAMPHIRESHED_SSE_H
#define SAMPHIRESHED_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* Longest event, in bytes. */
#define SSE_EVENT_MAX ((size_t)1 << 20)

struct sse {
	GByteArray *partial; /* received part of the current event */
	bool is_too_long; /* the current event exceeds SSE_EVENT_MAX */
};

/*
 * sse_event(arg, event, len)
 *	Receives a complete event, including the empty line that ends it.
 */
typedef void sse_event(void *arg, const char *event, size_t len);

void sse_init(struct sse *sse);
void sse_clear(struct sse *sse);

/*
 * sse_push(sse, data, len, on_event, arg)
 *	Add received data; call on_event for each event that is complete.
 *	Once an event is too long, data is dropped and is_too_long is set.
 */
void sse_push(struct sse *sse, const char *data, size_t len,
    sse_event *on_event, void *arg);

/*
 * sse_data_append(out, event, len)
 *	Append the event's data lines, joined by line feeds, and a line feed.
 */
void sse_data_append(GByteArray *out, const char *event, size_t len);

/*
 * sse_id_find(event, len, id_len)
 *	Return the event's id, of *id_len bytes, or nil if it has none.
 */
const char *sse_id_find(const char *event, size_t len, size_t *id_len);

#endif
