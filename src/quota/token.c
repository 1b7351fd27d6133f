#include "quota/token.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

/* "STK" and the version of the format. */
#define PROTOCOL_VERSION 0x53544b31U

static bool_t
xdr_message(XDR *xdrs, uint32_t *version, struct token_message *message)
{
	bool_t is_granted = message->is_granted;
	bool_t ok = xdr_uint32_t(xdrs, version) &&
	    xdr_uint32_t(xdrs, &message->kind) &&
	    xdr_uint64_t(xdrs, &message->serial) &&
	    xdr_uint32_t(xdrs, &message->limit.organisation) &&
	    xdr_uint32_t(xdrs, &message->limit.rate) &&
	    xdr_uint32_t(xdrs, &message->limit.burst) &&
	    xdr_uint32_t(xdrs, &message->priority) &&
	    xdr_bool(xdrs, &is_granted) &&
	    xdr_uint32_t(xdrs, &message->wait_ms);

	message->is_granted = is_granted;
	return (ok);
}

size_t
token_encode(char *buf, size_t size, const struct token_message *message)
{
	XDR xdrs;
	uint32_t version = PROTOCOL_VERSION;
	struct token_message copy = *message;
	size_t len = 0;

	xdrmem_create(&xdrs, buf, (u_int)size, XDR_ENCODE);
	if (xdr_message(&xdrs, &version, &copy))
		len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return (len);
}

bool
token_decode(char *buf, size_t len, struct token_message *message)
{
	XDR xdrs;
	uint32_t version = 0;
	bool ok;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdrs, buf, (u_int)len, XDR_DECODE);
	ok = xdr_message(&xdrs, &version, message) &&
	    version == PROTOCOL_VERSION && message->kind <= TOKEN_RETURN &&
	    message->priority <= QUOTA_NEW_PROGRAM && xdr_getpos(&xdrs) == len;
	xdr_destroy(&xdrs);
	return (ok);
}

bool
token_is_message(const char *buf, size_t len)
{
	guint32 version;

	if (len < sizeof(version))
		return (false);
	memcpy(&version, buf, sizeof(version));
	return (GUINT32_FROM_BE(version) == PROTOCOL_VERSION);
}
