/*
 * Fuzz target: bytes of a peer's connection.  The stream is cut into pieces,
 * collected into messages, and each message is decoded as a call and as the
 * reply to every procedure.  What decodes must encode and decode again.
 */
#include <stdlib.h>

#include "peer/pr.h"
#include "peer/pr_msg.h"

#define MAX_MESSAGE ((size_t)64 * 1024)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
check(bool ok)
{
	if (!ok)
		abort();
}

static void
try_call(const uint8_t *data, size_t len)
{
	struct pr_msg_call call;
	struct pr_msg_call again;
	uint8_t *text;
	size_t size;

	if (pr_msg_call_decode(data, len, &call) != PR_MSG_OK)
		return;
	text = pr_msg_call_encode(
	    call.xid, call.procedure, call.args, MAX_MESSAGE, &size);
	check(text != NULL);
	check(pr_msg_call_decode(text + 4, size - 4, &again) == PR_MSG_OK);
	check(again.xid == call.xid && again.procedure == call.procedure);
	pr_msg_args_free(again.procedure, again.args);
	pr_msg_args_free(call.procedure, call.args);
	g_free(text);
}

static void
try_reply(const uint8_t *data, size_t len, unsigned procedure)
{
	uint8_t *text;
	uint32_t xid;
	void *reply;
	void *again;
	size_t size;

	if (!pr_msg_xid(data, len, &xid) ||
	    pr_msg_reply_decode(data, len, procedure, &reply) !=
		PR_MSG_ANSWERED)
		return;
	text = pr_msg_reply_encode(xid, procedure, reply, MAX_MESSAGE, &size);
	check(text != NULL);
	check(pr_msg_reply_decode(text + 4, size - 4, procedure, &again) ==
	    PR_MSG_ANSWERED);
	pr_msg_reply_free(procedure, again);
	pr_msg_reply_free(procedure, reply);
	g_free(text);
}

/* The first byte is the size of the pieces, 0 for a single one. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct pr_msg_reader reader;
	size_t piece;

	if (len == 0)
		return (0);
	piece = data[0] > 0 ? data[0] : len;
	data++;
	len--;
	pr_msg_reader_init(&reader, MAX_MESSAGE);
	while (len > 0) {
		size_t left = MIN(piece, len);
		enum pr_msg_progress progress;

		len -= left;
		do {
			progress = pr_msg_read(&reader, &data, &left);
			if (progress != PR_MSG_READY)
				continue;
			try_call(reader.body->data, reader.body->len);
			for (unsigned i = 0; i <= PR_PROCEDURES; i++)
				try_reply(
				    reader.body->data, reader.body->len, i);
		} while (left > 0 && progress != PR_MSG_TOO_LARGE);
		if (progress == PR_MSG_TOO_LARGE)
			break;
		check(left == 0);
	}
	pr_msg_reader_clear(&reader);
	return (0);
}
