#include "lib/dgram.h"

#include <arpa/inet.h>
#include <string.h>

size_t
dgram_encode(
    char *buf, size_t size, uint32_t version, dgram_xdr *xdr, void *message)
{
	XDR xdrs;
	size_t len = 0;

	xdrmem_create(&xdrs, buf, (u_int)size, XDR_ENCODE);
	if (xdr_uint32_t(&xdrs, &version) && xdr(&xdrs, message))
		len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return (len);
}

bool
dgram_decode(
    char *buf, size_t len, uint32_t version, dgram_xdr *xdr, void *message)
{
	XDR xdrs;
	uint32_t found = 0;
	bool ok;

	xdrmem_create(&xdrs, buf, (u_int)len, XDR_DECODE);
	ok = xdr_uint32_t(&xdrs, &found) && found == version &&
	    xdr(&xdrs, message);
	xdr_destroy(&xdrs);
	return (ok);
}

bool
dgram_has_version(const char *buf, size_t len, uint32_t version)
{
	uint32_t found;

	if (len < sizeof(found))
		return (false);
	memcpy(&found, buf, sizeof(found));
	return (ntohl(found) == version);
}
