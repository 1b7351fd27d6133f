#include <string.h>

#include "lib/dgram.h"
#include "throttle/throttle.h"

/* "STH" and the version of the format. */
#define PROTOCOL_VERSION 0x53544832U

static bool_t
xdr_message(XDR *xdrs, void *data)
{
	struct throttle_message *message = data;
	bool_t is_granted = message->is_granted;
	bool_t ok = xdr_uint32_t(xdrs, &message->kind) &&
	    xdr_uint64_t(xdrs, &message->serial) &&
	    xdr_uint32_t(xdrs, &message->limit.upstream) &&
	    xdr_uint32_t(xdrs, &message->limit.rate) &&
	    xdr_uint32_t(xdrs, &message->limit.age) &&
	    xdr_uint32_t(xdrs, &message->limit.cold_rate) &&
	    xdr_uint32_t(xdrs, &message->limit.cold) &&
	    xdr_uint32_t(xdrs, &message->limit.cold_age) &&
	    xdr_uint32_t(xdrs, &message->max_wait) &&
	    xdr_bool(xdrs, &is_granted) && xdr_uint32_t(xdrs, &message->wait);

	message->is_granted = is_granted;
	return (ok);
}

size_t
throttle_message_encode(
    char *buf, size_t size, const struct throttle_message *message)
{
	struct throttle_message copy = *message;

	return (dgram_encode(buf, size, PROTOCOL_VERSION, xdr_message, &copy));
}

bool
throttle_message_decode(char *buf, size_t len, struct throttle_message *message)
{
	memset(message, 0, sizeof(*message));
	return (
	    dgram_decode(buf, len, PROTOCOL_VERSION, xdr_message, message) &&
	    message->kind <= THROTTLE_MESSAGE_ANSWER);
}

bool
throttle_is_message(const char *buf, size_t len)
{
	return (dgram_has_version(buf, len, PROTOCOL_VERSION));
}
