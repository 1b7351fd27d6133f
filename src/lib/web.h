/*
 * web: HTTP/1.1 server on libmicrohttpd, driven by the libev loop.
 *
 * The handler is called once for each request, after its whole body has
 * arrived.  It may answer at once or later, and may stream the answer.  Every
 * request must end in exactly one web_reply() or web_stream_end(); a request
 * whose caller has gone must still be ended, which is then without effect on
 * the network.  After that call the struct web_req is no longer valid.
 */
#ifndef SAMPHIRESHED_WEB_H
#define SAMPHIRESHED_WEB_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/vd.h"

struct web;
struct web_req;

typedef void web_handler(struct web_req *req, void *arg);
typedef void web_gone(void *arg);

struct web_options {
	const char *address; /* IP number to listen on */
	uint16_t port; /* 0: any free port, see web_port() */
	size_t max_body; /* bytes; larger bodies get 413 */
	size_t max_header; /* bytes of a request's head; 0: 32 KiB */
	unsigned max_connections;
	unsigned idle_s; /* close a connection idle for so long; 0: never */
	const char *tls_certificate; /* PEM text; nil: no TLS */
	const char *tls_key; /* PEM text */
};

/*
 * web_open(loop, options, handler, arg, error)
 *	Start a server.
 * RETURN VALUES
 *	The server, or nil with *error set to a text to be freed by g_free().
 */
struct web *web_open(struct ev_loop *loop, const struct web_options *options,
    web_handler *handler, void *arg, char **error);

/*
 * web_quiesce(web)
 *	Stop accepting connections; those open are answered with
 *	"Connection: close".
 */
void web_quiesce(struct web *web);

/*
 * web_close(web)
 *	Close all connections and free the server.  Requests not yet ended must
 *	not be used afterwards.
 */
void web_close(struct web *web);

/* web_port(web): the port that the server listens on. */
uint16_t web_port(const struct web *web);

/* web_active(web): the number of requests not yet ended. */
unsigned web_active(const struct web *web);

/*
 * web_method(req), web_path(req), web_header(req, name), web_query(req, name)
 *	The request line and headers.  web_header() and web_query() return nil
 *	if the name is absent.  Strings are valid until the request ends.
 */
const char *web_method(const struct web_req *req);
const char *web_path(const struct web_req *req);
const char *web_header(struct web_req *req, const char *name);
const char *web_query(struct web_req *req, const char *name);

/* web_query_string(req): what follows the "?", undecoded; nil if none. */
const char *web_query_string(const struct web_req *req);

/* web_body(req, len): the body, followed by a zero byte that len leaves out. */
const char *web_body(const struct web_req *req, size_t *len);

/*
 * web_on_gone(req, gone, arg)
 *	Call gone(arg) once if the caller closes the connection before the
 *	request has been ended.  The request must still be ended.
 */
void web_on_gone(struct web_req *req, web_gone *gone, void *arg);

/* web_is_gone(req): whether the caller has closed the connection. */
bool web_is_gone(const struct web_req *req);

/* web_header_add(req, name, value): add a header to the reply to come. */
void web_header_add(struct web_req *req, const char *name, const char *value);

/*
 * web_reply(req, status, content_type, body, len)
 *	Send a whole reply and end the request.
 */
void web_reply(struct web_req *req, int status, const char *content_type,
    const void *body, size_t len);

/*
 * web_reply_verdict(req, vd, request_id)
 *	Send an error body for vd, with Retry-After if it has one, and end the
 *	request.
 */
void web_reply_verdict(
    struct web_req *req, const struct vd *vd, const char *request_id);

/*
 * web_stream_begin(req, status, content_type)
 * web_stream_write(req, data, len)
 * web_stream_end(req)
 *	Send a reply of unknown length in parts.  web_stream_pending() returns
 *	the number of bytes written but not yet taken by the connection, for
 *	flow control.
 */
void
web_stream_begin(struct web_req *req, int status, const char *content_type);
void web_stream_write(struct web_req *req, const void *data, size_t len);
void web_stream_end(struct web_req *req);
size_t web_stream_pending(const struct web_req *req);

/*
 * web_stream_abort(req)
 *	End a stream by closing the connection without the closing chunk, so
 *	that the caller sees that the answer is incomplete.
 */
void web_stream_abort(struct web_req *req);

/*
 * web_drop(req)
 *	End a request that has no reply yet by closing its connection without
 *	sending one.
 */
void web_drop(struct web_req *req);

#endif
