#include "peer/rpc_message.h"

#include <limits.h>
#include <string.h>

#include "peer/rpc.h"

#define MARK_SIZE	   4
#define MARK_LAST_FRAGMENT 0x80000000U
/* xid, direction, RPC version, program, version, procedure, two auths. */
#define CALL_HEADER_SIZE 40
/* xid, direction, status, verifier, accept status, two versions. */
#define REPLY_HEADER_SIZE 32
#define RPC_VERSION	  2

struct procedure {
	xdrproc_t args;
	size_t args_size;
	xdrproc_t reply;
	size_t reply_size;
};

#define PROCEDURE(name) \
	{ \
		(xdrproc_t) xdr_peer_##name##_args, \
		    sizeof(peer_##name##_args), \
		    (xdrproc_t)xdr_peer_##name##_reply, \
		    sizeof(peer_##name##_reply) \
	}

static const struct procedure procedures[RPC_PROCEDURES] = {
    [PEER_HEARTBEAT] = PROCEDURE(heartbeat),
    [PEER_REPLICATE] = PROCEDURE(replicate),
    [PEER_FETCH] = PROCEDURE(fetch),
    [PEER_FORWARD] = PROCEDURE(forward),
    [PEER_CANCEL] = PROCEDURE(cancel),
    [PEER_STREAM] = PROCEDURE(stream),
    [PEER_GRANT] = PROCEDURE(grant),
    [PEER_SYNC] = PROCEDURE(sync),
    [PEER_WITHDRAW] = PROCEDURE(withdraw),
};

xdrproc_t
rpc_args_xdr(unsigned procedure)
{
	return (procedure < RPC_PROCEDURES ? procedures[procedure].args : NULL);
}

xdrproc_t
rpc_reply_xdr(unsigned procedure)
{
	return (
	    procedure < RPC_PROCEDURES ? procedures[procedure].reply : NULL);
}

size_t
rpc_args_size(unsigned procedure)
{
	return (
	    procedure < RPC_PROCEDURES ? procedures[procedure].args_size : 0);
}

size_t
rpc_reply_size(unsigned procedure)
{
	return (
	    procedure < RPC_PROCEDURES ? procedures[procedure].reply_size : 0);
}

void
rpc_msg_reader_init(struct rpc_msg_reader *reader, size_t max)
{
	*reader = (struct rpc_msg_reader){.max = max};
	reader->body = g_byte_array_new();
}

void
rpc_msg_reader_clear(struct rpc_msg_reader *reader)
{
	if (reader->body != NULL)
		g_byte_array_unref(reader->body);
	reader->body = NULL;
}

static uint32_t
decode_word(const uint8_t *data)
{
	return ((uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
	    (uint32_t)data[2] << 8 | data[3]);
}

static void
encode_word(uint8_t *data, uint32_t word)
{
	data[0] = (uint8_t)(word >> 24);
	data[1] = (uint8_t)(word >> 16);
	data[2] = (uint8_t)(word >> 8);
	data[3] = (uint8_t)word;
}

/* Read a fragment's record mark; returns false if the message is too large. */
static bool
read_mark(struct rpc_msg_reader *reader, const uint8_t **data, size_t *len)
{
	while (reader->head_len<MARK_SIZE && * len> 0) {
		reader->head[reader->head_len++] = **data;
		++*data;
		--*len;
	}
	if (reader->head_len < MARK_SIZE)
		return (true);
	reader->left = decode_word(reader->head) & ~MARK_LAST_FRAGMENT;
	return (reader->left <= reader->max - reader->body->len);
}

enum rpc_msg_progress
rpc_msg_reader_read(
    struct rpc_msg_reader *reader, const uint8_t **data, size_t *len)
{
	if (reader->ready) {
		/* Do not keep the buffer of a large message. */
		g_byte_array_unref(reader->body);
		reader->body = g_byte_array_new();
		reader->ready = false;
	}
	while (*len > 0) {
		size_t take;

		if (reader->head_len < MARK_SIZE) {
			if (!read_mark(reader, data, len))
				return (RPC_MSG_TOO_LARGE);
			if (reader->head_len < MARK_SIZE)
				return (RPC_MSG_MORE);
		}
		take = MIN(*len, reader->left);
		g_byte_array_append(reader->body, *data, (guint)take);
		*data += take;
		*len -= take;
		reader->left -= take;
		if (reader->left > 0)
			return (RPC_MSG_MORE);
		reader->head_len = 0;
		if ((decode_word(reader->head) & MARK_LAST_FRAGMENT) != 0) {
			reader->ready = true;
			return (RPC_MSG_READY);
		}
	}
	return (RPC_MSG_MORE);
}

/*
 * Encode msg, whose size without its body is header_size, followed by the body
 * if filter is not nil.
 */
static uint8_t *
encode(struct rpc_msg *msg, size_t header_size, xdrproc_t filter,
    const void *body, size_t max, size_t *len)
{
	size_t size = header_size;
	uint8_t *data;
	bool ok;
	XDR xdr;

	if (filter != NULL) {
		size_t body_size = xdr_sizeof(filter, (void *)(uintptr_t)body);

		if (body_size == 0)
			return (NULL);
		size += body_size;
	}
	if (size > max || size > INT_MAX)
		return (NULL);
	data = g_malloc(MARK_SIZE + size);
	xdrmem_create(&xdr, (char *)data + MARK_SIZE, (u_int)size, XDR_ENCODE);
	if (msg->rm_direction == CALL)
		ok = xdr_callmsg(&xdr, msg) &&
		    filter(&xdr, (void *)(uintptr_t)body);
	else
		ok = xdr_replymsg(&xdr, msg);
	if (!ok) {
		g_free(data);
		return (NULL);
	}
	size = xdr_getpos(&xdr);
	encode_word(data, (uint32_t)size | MARK_LAST_FRAGMENT);
	*len = MARK_SIZE + size;
	return (data);
}

uint8_t *
rpc_msg_call_encode(
    uint32_t xid, unsigned procedure, const void *args, size_t max, size_t *len)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = CALL};

	if (rpc_args_xdr(procedure) == NULL)
		return (NULL);
	msg.rm_call.cb_rpcvers = RPC_VERSION;
	msg.rm_call.cb_prog = PEER_PROGRAM;
	msg.rm_call.cb_vers = PEER_VERSION;
	msg.rm_call.cb_proc = procedure;
	return (encode(
	    &msg, CALL_HEADER_SIZE, rpc_args_xdr(procedure), args, max, len));
}

uint8_t *
rpc_msg_reply_encode(uint32_t xid, unsigned procedure, const void *reply,
    size_t max, size_t *len)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};
	xdrproc_t filter = rpc_reply_xdr(procedure);

	if (filter == NULL)
		return (NULL);
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.where = (char *)(uintptr_t)reply;
	msg.acpted_rply.ar_results.proc = filter;
	return (encode(&msg, REPLY_HEADER_SIZE, filter, reply, max, len));
}

uint8_t *
rpc_msg_refusal_encode(uint32_t xid, enum accept_stat stat, size_t *len)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};

	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = stat;
	if (stat == PROG_MISMATCH) {
		msg.acpted_rply.ar_vers.low = PEER_VERSION;
		msg.acpted_rply.ar_vers.high = PEER_VERSION;
	}
	return (encode(
	    &msg, REPLY_HEADER_SIZE, NULL, NULL, REPLY_HEADER_SIZE, len));
}

/* Decode the arguments; trailing bytes are an error. */
static void *
decode_args(XDR *xdr, size_t len, unsigned procedure)
{
	void *args = g_malloc0(rpc_args_size(procedure));

	if (rpc_args_xdr(procedure)(xdr, args) && xdr_getpos(xdr) == len)
		return (args);
	rpc_msg_args_free(procedure, args);
	return (NULL);
}

enum rpc_msg_call_status
rpc_msg_call_decode(const uint8_t *data, size_t len, struct rpc_msg_call *call)
{
	struct rpc_msg msg = {0};
	enum rpc_msg_call_status fault = RPC_MSG_OK;
	XDR xdr;

	*call = (struct rpc_msg_call){0};
	if (len > INT_MAX)
		return (RPC_MSG_UNDECODABLE);
	xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &msg))
		fault = RPC_MSG_UNDECODABLE;
	/* TLS has authenticated the peer; RPC credentials are ignored. */
	free(msg.rm_call.cb_cred.oa_base);
	free(msg.rm_call.cb_verf.oa_base);
	if (fault != RPC_MSG_OK)
		return (fault);
	call->xid = msg.rm_xid;
	if (msg.rm_call.cb_prog != PEER_PROGRAM)
		return (RPC_MSG_BAD_PROGRAM);
	if (msg.rm_call.cb_vers != PEER_VERSION)
		return (RPC_MSG_BAD_VERSION);
	if (msg.rm_call.cb_proc >= RPC_PROCEDURES ||
	    rpc_args_xdr((unsigned)msg.rm_call.cb_proc) == NULL)
		return (RPC_MSG_BAD_PROCEDURE);
	call->procedure = (unsigned)msg.rm_call.cb_proc;
	call->args = decode_args(&xdr, len, call->procedure);
	return (call->args != NULL ? RPC_MSG_OK : RPC_MSG_BAD_ARGUMENTS);
}

bool
rpc_msg_xid_decode(const uint8_t *data, size_t len, uint32_t *xid)
{
	if (len < 8)
		return (false);
	*xid = decode_word(data);
	return (true);
}

static enum rpc_msg_reply_status
reply_status(const struct rpc_msg *msg)
{
	/* RPC_MISMATCH and AUTH_ERROR: no handler saw the call. */
	if (msg->rm_reply.rp_stat != MSG_ACCEPTED)
		return (RPC_MSG_REFUSED);
	switch (msg->acpted_rply.ar_stat) {
	case SUCCESS:
		return (RPC_MSG_ANSWERED);
	case PROG_UNAVAIL:
	case PROG_MISMATCH:
	case PROC_UNAVAIL:
	case GARBAGE_ARGS:
		return (RPC_MSG_REFUSED);
	default:
		return (RPC_MSG_SYSTEM_ERROR);
	}
}

enum rpc_msg_reply_status
rpc_msg_reply_decode(
    const uint8_t *data, size_t len, unsigned procedure, void **reply)
{
	struct rpc_msg msg = {0};
	enum rpc_msg_reply_status answer = RPC_MSG_MALFORMED;
	void *result;
	XDR xdr;

	*reply = NULL;
	if (len > INT_MAX || rpc_reply_xdr(procedure) == NULL)
		return (RPC_MSG_MALFORMED);
	result = g_malloc0(rpc_reply_size(procedure));
	msg.acpted_rply.ar_results.where = result;
	msg.acpted_rply.ar_results.proc = rpc_reply_xdr(procedure);
	xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	if (xdr_replymsg(&xdr, &msg) && xdr_getpos(&xdr) == len)
		answer = reply_status(&msg);
	if (msg.rm_reply.rp_stat == MSG_ACCEPTED)
		free(msg.acpted_rply.ar_verf.oa_base);
	if (answer == RPC_MSG_ANSWERED)
		*reply = result;
	else
		rpc_msg_reply_free(procedure, result);
	return (answer);
}

void
rpc_msg_args_free(unsigned procedure, void *args)
{
	if (args == NULL)
		return;
	xdr_free(rpc_args_xdr(procedure), args);
	g_free(args);
}

void
rpc_msg_reply_free(unsigned procedure, void *reply)
{
	if (reply == NULL)
		return;
	xdr_free(rpc_reply_xdr(procedure), reply);
	g_free(reply);
}
