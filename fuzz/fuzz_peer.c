/*
 * Fuzz target: bytes of a peer's connection.  The stream is cut into pieces,
 * collected into messages, and each message is decoded as a call and as the
 * reply to every procedure.  What decodes must encode and decode again.
 */
#include <stdlib.h>

#include "peer/rpc.h"
#include "peer/rpc_message.h"

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
	struct rpc_msg_call call;
	struct rpc_msg_call again;
	uint8_t *text;
	size_t size;

	if (rpc_msg_call_decode(data, len, &call) != RPC_MSG_OK)
		return;
	text = rpc_msg_call_encode(
	    call.xid, call.procedure, call.args, MAX_MESSAGE, &size);
	check(text != NULL);
	check(rpc_msg_call_decode(text + 4, size - 4, &again) == RPC_MSG_OK);
	check(again.xid == call.xid && again.procedure == call.procedure);
	rpc_msg_args_free(again.procedure, again.args);
	rpc_msg_args_free(call.procedure, call.args);
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

	if (!rpc_msg_xid_decode(data, len, &xid) ||
	    rpc_msg_reply_decode(data, len, procedure, &reply) !=
		RPC_MSG_ANSWERED)
		return;
	text = rpc_msg_reply_encode(xid, procedure, reply, MAX_MESSAGE, &size);
	check(text != NULL);
	check(rpc_msg_reply_decode(text + 4, size - 4, procedure, &again) ==
	    RPC_MSG_ANSWERED);
	rpc_msg_reply_free(procedure, again);
	rpc_msg_reply_free(procedure, reply);
	g_free(text);
}

/* The first byte is the size of the pieces, 0 for a single one. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct rpc_msg_reader reader;
	size_t piece;

	if (len == 0)
		return (0);
	piece = data[0] > 0 ? data[0] : len;
	data++;
	len--;
	rpc_msg_reader_init(&reader, MAX_MESSAGE);
	while (len > 0) {
		size_t left = MIN(piece, len);
		enum rpc_msg_progress progress;

		len -= left;
		do {
			progress = rpc_msg_reader_read(&reader, &data, &left);
			if (progress != RPC_MSG_READY)
				continue;
			try_call(reader.body->data, reader.body->len);
			for (unsigned i = 0; i <= RPC_PROCEDURES; i++)
				try_reply(
				    reader.body->data, reader.body->len, i);
		} while (left > 0 && progress != RPC_MSG_TOO_LARGE);
		if (progress == RPC_MSG_TOO_LARGE)
			break;
		check(left == 0);
	}
	rpc_msg_reader_clear(&reader);
	return (0);
}
