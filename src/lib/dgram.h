/*
 * dgram: messages in datagrams, in XDR after the version of their protocol.
 */
#ifndef SAMPHIRESHED_DGRAM_H
#define SAMPHIRESHED_DGRAM_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Encodes or decodes the members of a message. */
typedef bool_t dgram_xdr(XDR *xdrs, void *message);

/*
 * dgram_encode(buf, size, version, xdr, message)
 *	Encode a message.  Returns its length, or 0 if it does not fit.
 * dgram_decode(buf, len, version, xdr, message)
 *	Decode a message.  Returns false if it is malformed or of another
 *	version; what was allocated until then is in message.
 * dgram_has_version(buf, len, version)
 *	Whether the bytes start with the version.
 */
size_t dgram_encode(
    char *buf, size_t size, uint32_t version, dgram_xdr *xdr, void *message);
bool dgram_decode(
    char *buf, size_t len, uint32_t version, dgram_xdr *xdr, void *message);
bool dgram_has_version(const char *buf, size_t len, uint32_t version);

#endif
