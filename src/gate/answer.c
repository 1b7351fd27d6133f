#include "gate/answer.h"

#include <glib.h>
#include <string.h>

struct answer_stream {
	answer_on_chunk *on_chunk;
	void *arg;
	GString *buffer; /* an incomplete line */
	GString *content;
	json_t *tool_calls; /* array, merged by index */
	char *finish_reason;
	int64_t chunks;
	struct answer_usage usage;
	bool complete;
	bool failed;
};

struct answer_stream *
answer_open(answer_on_chunk *on_chunk, void *arg)
{
	struct answer_stream *answer = g_new0(struct answer_stream, 1);

	answer->on_chunk = on_chunk;
	answer->arg = arg;
	answer->buffer = g_string_new(NULL);
	answer->content = g_string_new(NULL);
	answer->tool_calls = json_array();
	return (answer);
}

void
answer_close(struct answer_stream *answer)
{
	if (answer == NULL)
		return;
	g_string_free(answer->buffer, TRUE);
	g_string_free(answer->content, TRUE);
	json_decref(answer->tool_calls);
	g_free(answer->finish_reason);
	g_free(answer);
}

static void
append_string(json_t *object, const char *key, const json_t *part)
{
	const char *old = json_string_value(json_object_get(object, key));
	const char *text = json_string_value(part);
	g_autofree char *joined = NULL;

	if (text == NULL)
		return;
	joined = g_strconcat(old != NULL ? old : "", text, NULL);
	(void)json_object_set_new(object, key, json_string(joined));
}

/* Merge a part of a tool call, whose arguments arrive in pieces. */
static void
merge_tool_call(struct answer_stream *answer, const json_t *part)
{
	size_t index =
	    (size_t)json_integer_value(json_object_get(part, "index"));
	const json_t *function = json_object_get(part, "function");
	json_t *call, *merged;

	if (index > json_array_size(answer->tool_calls))
		return;
	if (index == json_array_size(answer->tool_calls))
		(void)json_array_append_new(answer->tool_calls,
		    json_pack("{s:s,s:s,s:{s:s,s:s}}", "id", "", "type",
			"function", "function", "name", "", "arguments", ""));
	call = json_array_get(answer->tool_calls, index);
	merged = json_object_get(call, "function");
	append_string(call, "id", json_object_get(part, "id"));
	append_string(merged, "name", json_object_get(function, "name"));
	append_string(
	    merged, "arguments", json_object_get(function, "arguments"));
}

static void
parse_usage(struct answer_stream *answer, const json_t *usage)
{
	const json_t *details = json_object_get(usage, "prompt_tokens_details");

	if (!json_is_object(usage))
		return;
	answer->usage.reported = true;
	answer->usage.prompt_tokens =
	    json_integer_value(json_object_get(usage, "prompt_tokens"));
	answer->usage.completion_tokens =
	    json_integer_value(json_object_get(usage, "completion_tokens"));
	answer->usage.cached_tokens =
	    json_integer_value(json_object_get(details, "cached_tokens"));
}

static bool
parse_chunk(struct answer_stream *answer, const char *text, size_t len)
{
	json_t *chunk = json_loadb(text, len, 0, NULL);
	const json_t *choice, *delta, *calls, *part;
	const char *content, *reason;
	size_t i;

	if (!json_is_object(chunk)) {
		json_decref(chunk);
		return (false);
	}
	parse_usage(answer, json_object_get(chunk, "usage"));
	choice = json_array_get(json_object_get(chunk, "choices"), 0);
	delta = json_object_get(choice, "delta");
	content = json_string_value(json_object_get(delta, "content"));
	calls = json_object_get(delta, "tool_calls");
	reason = json_string_value(json_object_get(choice, "finish_reason"));
	if (content != NULL)
		g_string_append(answer->content, content);
	json_array_foreach(calls, i, part) merge_tool_call(answer, part);
	if (reason != NULL) {
		g_free(answer->finish_reason);
		answer->finish_reason = g_strdup(reason);
	}
	if (content != NULL || calls != NULL)
		answer->chunks++;
	if (choice != NULL)
		answer->on_chunk(text, len, answer->arg);
	json_decref(chunk);
	return (true);
}

static bool
parse_line(struct answer_stream *answer, const char *line, size_t len)
{
	static const char prefix[] = "data:";

	while (len > 0 && line[len - 1] == '\r')
		len--;
	if (len < sizeof(prefix) - 1 ||
	    strncmp(line, prefix, sizeof(prefix) - 1) != 0)
		return (true); /* a comment, an event name or a blank line */
	line += sizeof(prefix) - 1;
	len -= sizeof(prefix) - 1;
	while (len > 0 && *line == ' ') {
		line++;
		len--;
	}
	if (len == 6 && strncmp(line, "[DONE]", 6) == 0) {
		answer->complete = true;
		return (true);
	}
	return (parse_chunk(answer, line, len));
}

bool
answer_feed(struct answer_stream *answer, const void *data, size_t len)
{
	const char *newline;
	size_t start = 0;

	if (answer->failed)
		return (false);
	g_string_append_len(answer->buffer, data, (gssize)len);
	while ((newline = memchr(answer->buffer->str + start, '\n',
		    answer->buffer->len - start)) != NULL) {
		size_t end = (size_t)(newline - answer->buffer->str);

		if (!parse_line(
			answer, answer->buffer->str + start, end - start)) {
			answer->failed = true;
			return (false);
		}
		start = end + 1;
	}
	(void)g_string_erase(answer->buffer, 0, (gssize)start);
	answer->failed = answer->buffer->len > ANSWER_MAX_EVENT_BYTES;
	return (!answer->failed);
}

bool
answer_is_complete(const struct answer_stream *answer)
{
	return (answer->complete);
}

bool
answer_has_content(const struct answer_stream *answer)
{
	return (answer->chunks > 0);
}

void
answer_usage(const struct answer_stream *answer, struct answer_usage *usage)
{
	*usage = answer->usage;
	if (!usage->reported)
		usage->completion_tokens = answer->chunks;
}

json_t *
answer_message(const struct answer_stream *answer)
{
	json_t *message = json_pack("{s:s,s:s%}", "role", "assistant",
	    "content", answer->content->str, answer->content->len);

	if (json_array_size(answer->tool_calls) > 0)
		(void)json_object_set_new(
		    message, "tool_calls", json_deep_copy(answer->tool_calls));
	return (message);
}

json_t *
answer_completion(const struct answer_stream *answer, const char *id,
    const char *model, const char *program, unsigned turn)
{
	struct answer_usage usage;

	answer_usage(answer, &usage);
	return (json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:[{s:i,s:o,s:s}],s:{s:I,s:I,s:I,s:{s:I}}}",
	    "id", id, "object", "chat.completion", "model", model, "program_id",
	    program, "turn", (int)turn, "choices", "index", 0, "message",
	    answer_message(answer), "finish_reason",
	    answer->finish_reason != NULL ? answer->finish_reason : "stop",
	    "usage", "prompt_tokens", (json_int_t)usage.prompt_tokens,
	    "completion_tokens", (json_int_t)usage.completion_tokens,
	    "total_tokens",
	    (json_int_t)usage.prompt_tokens +
		(json_int_t)usage.completion_tokens,
	    "prompt_tokens_details", "cached_tokens",
	    (json_int_t)usage.cached_tokens));
}
