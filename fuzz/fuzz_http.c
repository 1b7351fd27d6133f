/*
 * Fuzz target: bytes of a caller's or an upstream's connection.  Messages are
 * read in one piece and in small pieces; both must find the same messages.
 */
#include <stdlib.h>
#include <string.h>

#include "edge/sse.h"
#include "http/hmsg.h"
#include "platform/plt.h"

#define MAX_HEAD     1024
#define MAX_MESSAGES 64

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
check(bool ok)
{
	if (!ok)
		abort();
}

struct found {
	GString *text; /* heads and bodies of all messages */
	GString *lengths; /* of all events */
	struct sse events;
	bool is_request;
};

static enum hmsg_next
on_head(struct hmsg_reader *reader)
{
	struct found *found = reader->owner;
	const struct hmsg_head *head = &reader->head;
	struct edge_request request = {0};
	struct edge_reply reply;

	if (found->is_request) {
		(void)plt_wire.request_decode(head, &request);
		g_free(request.parts);
	} else {
		plt_wire.reply_decode(head, "r1", &reply);
		g_string_append_printf(found->text, "%d%d%d%d%d", reply.status,
		    reply.is_for_request, reply.is_not_run, reply.is_leaving,
		    head->is_undelimited);
	}
	hmsg_copy(found->text, head, NULL);
	return (HMSG_CONTINUE);
}

static void
on_event(void *arg, const char *event, size_t len)
{
	struct found *found = arg;

	g_string_append_printf(found->lengths, " %zu", len);
	(void)event;
}

static enum hmsg_next
on_data(struct hmsg_reader *reader, const char *data, size_t len)
{
	struct found *found = reader->owner;

	g_string_append_len(found->text, data, (gssize)len);
	sse_push(&found->events, data, len, on_event, found);
	return (HMSG_CONTINUE);
}

static enum hmsg_next
on_end(struct hmsg_reader *reader)
{
	struct found *found = reader->owner;

	g_string_append(found->text, "|");
	return (HMSG_CONTINUE);
}

/* Reads in pieces of the size; returns what was found. */
static char *
messages_read(const uint8_t *data, size_t len, size_t piece, bool is_request)
{
	struct found found = {
	    g_string_new(NULL), g_string_new(NULL), {0}, is_request};
	struct hmsg_reader reader;
	unsigned messages = 0;
	bool ok = true;

	sse_init(&found.events);
	hmsg_reader_init(
	    &reader, is_request ? HTTP_REQUEST : HTTP_RESPONSE, MAX_HEAD);
	reader.owner = &found;
	reader.on_head = on_head;
	reader.on_data = on_data;
	reader.on_end = on_end;
	while (ok && len > 0 && messages < MAX_MESSAGES) {
		size_t left = MIN(piece, len);
		size_t used;

		ok = hmsg_reader_execute(
		    &reader, (const char *)data, left, &used);
		check(used <= left);
		data += used;
		len -= used;
		if (ok && reader.ended) {
			hmsg_reader_next(&reader);
			messages++;
		}
	}
	if (ok)
		ok = hmsg_reader_finish(&reader);
	g_string_append_printf(
	    found.text, "%d %u%s", ok, messages, found.lengths->str);
	g_string_free(found.lengths, TRUE);
	sse_clear(&found.events);
	hmsg_reader_clear(&reader);
	return (g_string_free(found.text, FALSE));
}

/* The first byte is the size of the pieces, and whether it is a request. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	g_autofree char *whole = NULL;
	g_autofree char *pieces = NULL;
	bool is_request;
	size_t piece;

	if (len == 0)
		return (0);
	is_request = data[0] & 1;
	piece = 1 + (data[0] >> 1) % 7;
	whole = messages_read(data + 1, len - 1, len, is_request);
	pieces = messages_read(data + 1, len - 1, piece, is_request);
	check(strcmp(whole, pieces) == 0);
	return (0);
}
