/*
 * rpc_message: encoding and decoding of peer messages.
 *
 * RFC 5531 calls and replies with record marking.  No socket is involved, so
 * that tests and fuzz targets can pass any bytes to every decoder.
 */
#ifndef SAMPHIRESHED_RPC_MESSAGE_H
#define SAMPHIRESHED_RPC_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/peer_xdr.h"

/* Collects one message from the fragments of a byte stream. */
struct rpc_msg_reader {
	size_t max; /* largest message, bytes */
	uint8_t head[4]; /* record mark of the current fragment */
	unsigned head_len;
	size_t left; /* bytes of the fragment still to read */
	bool ready; /* body is a whole message */
	GByteArray *body;
};

enum rpc_msg_progress {
	RPC_MSG_MORE, /* all bytes consumed, message incomplete */
	RPC_MSG_READY, /* reader->body holds a whole message */
	RPC_MSG_TOO_LARGE /* the stream cannot be read further */
};

/* Why a call was not passed to a handler. */
enum rpc_msg_call_status {
	RPC_MSG_OK,
	RPC_MSG_UNDECODABLE, /* not an RPC message of the expected direction */
	RPC_MSG_BAD_PROGRAM,
	RPC_MSG_BAD_VERSION,
	RPC_MSG_BAD_PROCEDURE,
	RPC_MSG_BAD_ARGUMENTS
};

struct rpc_msg_call {
	uint32_t xid;
	unsigned procedure;
	void *args; /* freed by rpc_msg_args_free() */
};

enum rpc_msg_reply_status {
	RPC_MSG_ANSWERED, /* the procedure's reply */
	RPC_MSG_REFUSED, /* refused before any handler saw the call */
	RPC_MSG_SYSTEM_ERROR, /* SYSTEM_ERR: a handler may have run */
	RPC_MSG_MALFORMED /* undecodable */
};

void rpc_msg_reader_init(struct rpc_msg_reader *reader, size_t max);
void rpc_msg_reader_clear(struct rpc_msg_reader *reader);

/*
 * rpc_msg_reader_read(reader, data, len)
 *	Consume bytes from *data until a message is complete, and advance
 *	*data and *len past them.  The next call discards the message.
 */
enum rpc_msg_progress rpc_msg_reader_read(
    struct rpc_msg_reader *reader, const uint8_t **data, size_t *len);

/*
 * rpc_msg_call_encode(xid, procedure, args, max, len)
 * rpc_msg_reply_encode(xid, procedure, reply, max, len)
 * rpc_msg_refusal_encode(xid, stat, len)
 *	Return a message with its record mark, to be freed by g_free(), or nil
 *	if it cannot be encoded or is larger than max.
 */
uint8_t *rpc_msg_call_encode(uint32_t xid, unsigned procedure, const void *args,
    size_t max, size_t *len);
uint8_t *rpc_msg_reply_encode(uint32_t xid, unsigned procedure,
    const void *reply, size_t max, size_t *len);
uint8_t *
rpc_msg_refusal_encode(uint32_t xid, enum accept_stat stat, size_t *len);

/*
 * rpc_msg_call_decode(data, len, call)
 *	Decode a call.  call->xid is set unless it is RPC_MSG_UNDECODABLE,
 *	call->args only if it is RPC_MSG_OK.
 */
enum rpc_msg_call_status
rpc_msg_call_decode(const uint8_t *data, size_t len, struct rpc_msg_call *call);

/*
 * rpc_msg_xid_decode(data, len, xid)
 *	Decode the xid of a message; returns false if it has none.
 */
bool rpc_msg_xid_decode(const uint8_t *data, size_t len, uint32_t *xid);

/*
 * rpc_msg_reply_decode(data, len, procedure, reply)
 *	Decode the reply to a call of a procedure.  *reply is set, to be freed
 *	by rpc_msg_reply_free(), only if it is RPC_MSG_ANSWERED.
 */
enum rpc_msg_reply_status rpc_msg_reply_decode(
    const uint8_t *data, size_t len, unsigned procedure, void **reply);

void rpc_msg_args_free(unsigned procedure, void *args);
void rpc_msg_reply_free(unsigned procedure, void *reply);

#endif
