/*
 * Tests the splitting of a stream into events.
 */
#include <glib.h>
#include <string.h>

#include "edge/sse.h"

struct events {
	GPtrArray *texts;
	GByteArray *data;
};

static void
on_event(void *arg, const char *event, size_t len)
{
	struct events *events = arg;

	g_ptr_array_add(events->texts, g_strndup(event, len));
	sse_data_append(events->data, event, len);
}

/* The events don't depend on the sizes of the parts that are received. */
static void
test_divisions(void)
{
	static const char text[] = "id: 1\ndata: one\n\n"
				   "id: 2\r\ndata:two\r\n\r\n"
				   "data: a\ndata: b\n\n"
				   ": comment\n\n"
				   "data: partial";

	for (size_t part = 1; part < sizeof(text); part++) {
		struct events events = {
		    g_ptr_array_new_with_free_func(g_free), g_byte_array_new()};
		struct sse sse;

		sse_init(&sse);
		for (size_t at = 0; at < sizeof(text) - 1; at += part)
			sse_push(&sse, text + at,
			    MIN(part, sizeof(text) - 1 - at), on_event,
			    &events);
		g_assert_cmpuint(events.texts->len, ==, 4);
		g_assert_cmpstr(
		    events.texts->pdata[0], ==, "id: 1\ndata: one\n\n");
		g_assert_cmpmem(events.data->data, events.data->len,
		    "one\ntwo\na\nb\n\n", 13);
		g_assert_cmpuint(sse.partial->len, ==, 13);
		sse_clear(&sse);
		g_ptr_array_free(events.texts, TRUE);
		(void)g_byte_array_unref(events.data);
	}
}

/* An event without end is kept up to a bound. */
static void
test_too_long(void)
{
	struct events events = {
	    g_ptr_array_new_with_free_func(g_free), g_byte_array_new()};
	struct sse sse;
	char block[65536];

	memset(block, 'x', sizeof(block));
	sse_init(&sse);
	for (int i = 0; i < 100; i++)
		sse_push(&sse, block, sizeof(block), on_event, &events);
	g_assert_true(sse.is_too_long);
	g_assert_cmpuint(sse.partial->len, <=, SSE_EVENT_MAX + sizeof(block));
	g_assert_cmpuint(events.texts->len, ==, 0);
	sse_clear(&sse);
	g_ptr_array_free(events.texts, TRUE);
	(void)g_byte_array_unref(events.data);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sse/divisions", test_divisions);
	g_test_add_func("/sse/too-long", test_too_long);
	return (g_test_run());
}
