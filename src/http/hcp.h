/*
 * hcp: pool of HTTP/1.1 client connections on the libev loop.
 *
 * It stands in for libcurl where that does not fit: a request is never sent
 * a second time on its own, bytes after a complete answer end the
 * connection, and answers to requests of an earlier time can be told apart.
 */
#ifndef SAMPHIRESHED_HCP_H
#define SAMPHIRESHED_HCP_H

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

#include "http/hmsg.h"
#include "lib/clk.h"

struct hcp;
struct hcp_call;

/* How a call ended.  Only HCP_NOT_SENT proves that the server ran nothing. */
enum hcp_end {
	HCP_COMPLETE, /* the whole answer arrived */
	HCP_NOT_SENT, /* no byte of the request left this process */
	HCP_NO_ANSWER, /* sent; the connection ended without an answer */
	HCP_CUT /* the answer began but did not end */
};

enum hcp_take {
	HCP_TAKE,
	HCP_TAKE_LAST, /* the same; the connection carries no further call */
	HCP_SKIP /* the answer to another request; wait for the next one */
};

/*
 * on_head: a head other than 1xx has arrived.
 * on_data: part of the body of an answer that was taken.
 * on_end: the call is over; it is called once, unless hcp_cancel() was.
 *	timed_out says that the call's time or its connection's ran out.
 */
struct hcp_handler {
	enum hcp_take (*on_head)(void *arg, const struct hmsg_head *head);
	void (*on_data)(void *arg, const char *data, size_t len);
	void (*on_end)(void *arg, enum hcp_end end, bool timed_out);
};

struct hcp_request {
	struct sockaddr_in address;
	/* Request line, fields, empty line; nil for a probe. */
	const GString *head;
	const void *body; /* copied; nil for none */
	size_t body_len;
	clk_ms connect_timeout;
	clk_ms timeout; /* of the whole call; 0: none */
	clk_ms stall; /* longest time without a byte of the answer; 0: none */
	/*
	 * The call fails if more bytes arrive, those of heads and of skipped
	 * answers included; 0: no limit.
	 */
	size_t max_bytes;
	/* A longer idle connection isn't reused for this call; 0: no limit. */
	clk_ms max_idle;
	bool is_head; /* a HEAD request, whose answer has no body */
	/*
	 * Only a new connection is established, and kept for a later call:
	 * HCP_COMPLETE, or HCP_NOT_SENT if the server can't be reached.
	 */
	bool is_probe;
	/*
	 * Called immediately before the first byte is sent, which may be long
	 * after hcp_start(): false ends the call as HCP_NOT_SENT.  nil: sent.
	 */
	bool (*may_send)(void *arg);
	const struct hcp_handler *handler;
	void *arg;
};

struct hcp *hcp_open(struct ev_loop *loop);

/* hcp_close(hcp): drop all connections; on_end is not called. */
void hcp_close(struct hcp *hcp);

/*
 * hcp_start(hcp, request)
 *	Start a call on an idle connection to the address or on a new one.
 *	No callback is called from within hcp_start().
 */
struct hcp_call *hcp_start(struct hcp *hcp, const struct hcp_request *request);

/* hcp_cancel(call): close the call's connection; on_end is not called. */
void hcp_cancel(struct hcp_call *call);

/*
 * hcp_idle_close(hcp)
 *	Close all idle connections: what has arrived on one can't be trusted.
 */
void hcp_idle_close(struct hcp *hcp);

/* hcp_unsent(hcp): bytes of requests that are not sent yet. */
size_t hcp_unsent(const struct hcp *hcp);

/* hcp_opened(hcp): how many connections have been opened so far. */
unsigned long hcp_opened(const struct hcp *hcp);

#endif
