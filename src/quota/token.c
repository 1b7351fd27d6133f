#include "quota/token.h"

#include <string.h>

#include "lib/dgram.h"

/* "STK" and the version of the format. */
#define PROTOCOL_VERSION 0x53544b32U

static bool_t
xdr_message(XDR *xdrs, void *data)
{
	struct token_message *message = data;
	bool_t is_granted = message->is_granted;
	bool_t ok = xdr_uint32_t(xdrs, &message->kind) &&
	    xdr_uint64_t(xdrs, &message->serial) &&
	    xdr_uint32_t(xdrs, &message->limit.organisation) &&
	    xdr_uint32_t(xdrs, &message->limit.rate) &&
	    xdr_uint32_t(xdrs, &message->limit.burst) &&
	    xdr_uint32_t(xdrs, &message->priority) &&
	    xdr_uint64_t(xdrs, &message->program) &&
	    xdr_uint32_t(xdrs, &message->instance) &&
	    xdr_bool(xdrs, &is_granted) &&
	    xdr_uint32_t(xdrs, &message->wait_ms);

	message->is_granted = is_granted;
	return (ok);
}

size_t
token_encode(char *buf, size_t size, const struct token_message *message)
{
	struct token_message copy = *message;

	return (dgram_encode(buf, size, PROTOCOL_VERSION, xdr_message, &copy));
}

bool
token_decode(char *buf, size_t len, struct token_message *message)
{
	memset(message, 0, sizeof(*message));
	return (
	    dgram_decode(buf, len, PROTOCOL_VERSION, xdr_message, message) &&
	    message->kind <= TOKEN_RETURN &&
	    message->priority <= QUOTA_NEW_PROGRAM);
}

bool
token_is_message(const char *buf, size_t len)
{
	return (dgram_has_version(buf, len, PROTOCOL_VERSION));
}
