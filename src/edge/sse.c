#include "edge/sse.h"

#include <string.h>

void
sse_init(struct sse *sse)
{
	sse->partial = g_byte_array_new();
	sse->is_too_long = false;
}

void
sse_clear(struct sse *sse)
{
	if (sse->partial != NULL)
		(void)g_byte_array_unref(sse->partial);
	sse->partial = NULL;
}

/* Return the length of the first complete event in data, or 0. */
static size_t
event_length(const char *data, size_t len, size_t from)
{
	for (size_t i = from; i + 1 < len; i++) {
		if (data[i] != '\n')
			continue;
		if (data[i + 1] == '\n')
			return (i + 2);
		if (i + 2 < len && data[i + 1] == '\r' && data[i + 2] == '\n')
			return (i + 3);
	}
	return (0);
}

void
sse_push(struct sse *sse, const char *data, size_t len, sse_event *on_event,
    void *arg)
{
	GByteArray *partial = g_byte_array_ref(sse->partial);
	size_t done = 0;
	size_t from = partial->len > 2 ? partial->len - 2 : 0;
	size_t n;

	if (sse->is_too_long)
		goto done;
	(void)g_byte_array_append(partial, (const guint8 *)data, (guint)len);
	/* The callback may clear sse: hold a reference to the buffer. */
	while ((n = event_length((const char *)partial->data + done,
		    partial->len - done, from)) > 0) {
		on_event(arg, (const char *)partial->data + done, n);
		done += n;
		from = 0;
		if (sse->partial == NULL)
			break;
	}
	if (done > 0)
		(void)g_byte_array_remove_range(partial, 0, (guint)done);
	sse->is_too_long = partial->len > SSE_EVENT_MAX;
done:
	g_byte_array_unref(partial);
}

void
sse_data_append(GByteArray *out, const char *event, size_t len)
{
	const char *end = event + len;
	bool has_data = false;

	while (event < end) {
		const char *stop = memchr(event, '\n', (size_t)(end - event));
		const char *line_end = stop != NULL ? stop : end;
		const char *value = event + 5;
		size_t n;

		if (line_end - event >= 5 && memcmp(event, "data:", 5) == 0) {
			if (value < line_end && *value == ' ')
				value++;
			n = (size_t)(line_end - value);
			if (n > 0 && value[n - 1] == '\r')
				n--;
			if (has_data)
				(void)g_byte_array_append(
				    out, (const guint8 *)"\n", 1);
			(void)g_byte_array_append(
			    out, (const guint8 *)value, (guint)n);
			has_data = true;
		}
		event = line_end + 1;
	}
	(void)g_byte_array_append(out, (const guint8 *)"\n", 1);
}

const char *
sse_id_find(const char *event, size_t len, size_t *id_len)
{
	const char *end = event + len;

	while (event < end) {
		const char *stop = memchr(event, '\n', (size_t)(end - event));
		const char *line_end = stop != NULL ? stop : end;
		const char *value = event + 3;

		if (line_end - event > 3 && memcmp(event, "id:", 3) == 0) {
			while (value < line_end && *value == ' ')
				value++;
			while (line_end > value && line_end[-1] == '\r')
				line_end--;
			*id_len = (size_t)(line_end - value);
			return (value);
		}
		event = line_end + 1;
	}
	return (NULL);
}
