/*
 * hsv: HTTP/1.1 server on the libev loop.
 *
 * It stands in for libmicrohttpd where that does not fit: a peer that closes
 * its connection is noticed while its answer is still pending, and an answer
 * can be broken off so that it does not look complete.  One request of a
 * connection is handled at a time; pipelined ones wait.
 */
#ifndef SAMPHIRESHED_HSV_H
#define SAMPHIRESHED_HSV_H

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

#include "http/hmsg.h"
#include "intake/intake.h"
#include "lib/clk.h"

struct hsv;
struct hsv_call;

struct hsv_limits {
	size_t max_head; /* bytes; more is answered with 431 */
	size_t max_body; /* bytes; more is answered with 413 */
	clk_ms head_timeout; /* from the first byte of a head to its end */
	clk_ms idle_timeout; /* between requests, and between parts of a body */
	size_t max_connections; /* more are closed at once */
};

/*
 * on_request: a whole request has arrived.  The call is valid until it is
 *	answered or on_gone is called.
 * on_gone: the peer has closed the connection, or it failed, before the
 *	answer was complete.  The call is invalid afterwards.
 */
struct hsv_handler {
	void (*on_request)(void *arg, struct hsv_call *call);
	void (*on_gone)(void *arg, struct hsv_call *call);
	void *arg;
};

/*
 * hsv_open(loop, address, limits, handler)
 *	Listen at address.  Returns nil and sets errno on failure.
 */
struct hsv *hsv_open(struct ev_loop *loop, const struct sockaddr_in *address,
    const struct hsv_limits *limits, const struct hsv_handler *handler);

/* hsv_close(hsv): close all connections; on_gone is not called. */
void hsv_close(struct hsv *hsv);

/* hsv_limits_set(hsv, limits): for requests that begin from now on. */
void hsv_limits_set(struct hsv *hsv, const struct hsv_limits *limits);

/*
 * hsv_early_set(hsv, refuses)
 *	Ask refuses() about each request that has a body, when its head has been
 *	read.  If it returns true, on_request() is called at once, and has to
 *	answer; the body isn't read.
 * hsv_is_early(call)
 *	Whether on_request() was called before the body was read.
 */
typedef bool hsv_refuses(void *arg, struct hsv_call *call);
void hsv_early_set(struct hsv *hsv, hsv_refuses *refuses);
bool hsv_is_early(const struct hsv_call *call);

/*
 * hsv_intake_set(hsv, intake, clk)
 *	Charge what callers make this server hold to the budget, which several
 *	servers can share.  To be called before the loop runs.
 */
void hsv_intake_set(struct hsv *hsv, struct intake *intake, struct clk clk);

/* hsv_refused(hsv): connections refused or closed for the budget so far. */
unsigned long hsv_refused(const struct hsv *hsv);

/* hsv_drain_set(hsv, drain): whether answers carry Connection: close. */
void hsv_drain_set(struct hsv *hsv, bool drain);

/*
 * hsv_stop(hsv)
 *	Accept the connections that wait, stop listening, and close those at
 *	which no request is under way and, if they are new, none has come for a
 *	while.  Call it again for those that are left.
 */
void hsv_stop(struct hsv *hsv);

/*
 * hsv_active(hsv)
 *	Return the number of requests that are read or handled; after hsv_stop()
 *	that of the connections that are left.
 */
size_t hsv_active(const struct hsv *hsv);

/*
 * hsv_unsent(hsv)
 *	Return the bytes of answers that peers have not read yet.  They are
 *	bounded: a peer that leaves too much unread is cut off.
 */
size_t hsv_unsent(const struct hsv *hsv);

/* The request, valid as long as the call. */
const struct hmsg_head *hsv_head(const struct hsv_call *call);
const GByteArray *hsv_body(const struct hsv_call *call);

/* hsv_arg_set(call, arg), hsv_arg(call): a pointer of the handler's. */
void hsv_arg_set(struct hsv_call *call, void *arg);
void *hsv_arg(const struct hsv_call *call);

/*
 * hsv_answer(call, status, fields, body, len)
 *	Send a whole answer and end the call.  fields are lines
 *	"Name: value\r\n" without Content-Length.
 */
void hsv_answer(struct hsv_call *call, int status, const char *fields,
    const void *body, size_t len);

/*
 * hsv_stream_begin(call, status, fields), hsv_stream_data(call, data, len),
 * hsv_stream_end(call)
 *	Send an answer in chunks.
 * hsv_is_streaming(call)
 *	Whether an answer in chunks has begun: no other can be sent.
 * hsv_abort(call)
 *	Close the connection, so that the answer does not look complete.
 */
void hsv_stream_begin(struct hsv_call *call, int status, const char *fields);
void hsv_stream_data(struct hsv_call *call, const void *data, size_t len);
void hsv_stream_end(struct hsv_call *call);
bool hsv_is_streaming(const struct hsv_call *call);
void hsv_abort(struct hsv_call *call);

#endif
