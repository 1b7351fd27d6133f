/*
 * Tests the assembly of an answer from a stream that is cut at any byte.
 */
#include <glib.h>
#include <string.h>

#include "gate/answer.h"

static const char stream[] =
    ": comment\n\n"
    "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"Hel\"}}]}\r\n\r\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"lo\"},"
    "\"finish_reason\":\"stop\"}]}\n\n"
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
    "\"completion_tokens\":2,\"prompt_tokens_details\":"
    "{\"cached_tokens\":4}}}\n\n"
    "data: [DONE]\n\n";

static void
count_chunk(const char *text, size_t len, void *arg)
{
	int *count = arg;

	g_assert_true(text[0] == '{');
	g_assert_true(text[len - 1] == '}');
	(*count)++;
}

/* Guards against lost or joined chunks when a read ends inside an event. */
static void
test_any_cut(void)
{
	for (size_t step = 1; step < sizeof(stream); step++) {
		int chunks = 0;
		struct answer_stream *answer =
		    answer_open(count_chunk, &chunks);
		struct answer_usage usage;
		json_t *message;

		for (size_t i = 0; i < sizeof(stream) - 1; i += step)
			g_assert_true(answer_feed(answer, stream + i,
			    MIN(step, sizeof(stream) - 1 - i)));
		g_assert_true(answer_is_complete(answer));
		g_assert_cmpint(chunks, ==, 3);
		answer_usage(answer, &usage);
		g_assert_cmpint(usage.completion_tokens, ==, 2);
		g_assert_cmpint(usage.cached_tokens, ==, 4);
		message = answer_message(answer);
		g_assert_cmpstr(
		    json_string_value(json_object_get(message, "content")), ==,
		    "Hello");
		json_decref(message);
		answer_close(answer);
	}
}

static void
test_tool_call_parts(void)
{
	static const char text[] =
	    "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,"
	    "\"id\":\"c1\",\"function\":{\"name\":\"order\","
	    "\"arguments\":\"{\\\"sku\"}}]}}]}\n"
	    "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,"
	    "\"function\":{\"arguments\":\"\\\":7}\"}}]}}]}\n"
	    "data: [DONE]\n";
	int chunks = 0;
	struct answer_stream *answer = answer_open(count_chunk, &chunks);
	json_t *message;
	const char *id, *name, *arguments;

	g_assert_true(answer_feed(answer, text, sizeof(text) - 1));
	message = answer_message(answer);
	g_assert_cmpint(
	    json_unpack(message, "{s:[{s:s,s:{s:s,s:s}}]}", "tool_calls", "id",
		&id, "function", "name", &name, "arguments", &arguments),
	    ==, 0);
	g_assert_cmpstr(id, ==, "c1");
	g_assert_cmpstr(name, ==, "order");
	g_assert_cmpstr(arguments, ==, "{\"sku\":7}");
	json_decref(message);
	answer_close(answer);
}

/* Guards against accepting an error page or an endless event. */
static void
test_not_a_stream(void)
{
	int chunks = 0;
	struct answer_stream *answer = answer_open(count_chunk, &chunks);
	g_autofree char *big = g_strnfill(ANSWER_MAX_EVENT_BYTES + 1, 'x');

	g_assert_false(answer_feed(answer, "data: <html>\n", 13));
	g_assert_false(answer_feed(answer, "data: [DONE]\n", 13));
	g_assert_false(answer_is_complete(answer));
	answer_close(answer);
	answer = answer_open(count_chunk, &chunks);
	g_assert_false(answer_feed(answer, big, ANSWER_MAX_EVENT_BYTES + 1));
	answer_close(answer);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ans/any-cut", test_any_cut);
	g_test_add_func("/ans/tool-call-parts", test_tool_call_parts);
	g_test_add_func("/ans/not-a-stream", test_not_a_stream);
	return (g_test_run());
}
