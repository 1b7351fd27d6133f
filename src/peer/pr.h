/*
 * rpc: calls between instances.
 *
 * Peer messages are ONC RPC calls and replies (RFC 5531) with record marking,
 * in the types of peer.x, over TCP inside TLS 1.3.  Both sides authenticate
 * with the fleet key, which is the pre-shared key of the handshake.  TLS
 * numbers and authenticates every record, so that a message can be neither
 * forged nor replayed without the fleet key; the layers above rely on that.
 *
 * A link is the outgoing connection to one address.  It is opened by the
 * first call and kept.  Calls on a link are sent in the order in which
 * they were made and reach the handlers in that order; replies may come in
 * any order.  Heartbeats and their replies are sent before all messages that
 * have not been started, so that a queue of large messages does not look like
 * a failed peer.
 */
#ifndef SAMPHIRESHED_PR_H
#define SAMPHIRESHED_PR_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/lg.h"
#include "peer/peer_xdr.h"

struct pr;
struct pr_request;

/* Handlers are indexed by procedure number, PEER_HEARTBEAT and so on. */
#define PR_PROCEDURES (PEER_WITHDRAW + 1)

/* How far a call got.  Only PR_NOT_SENT proves that the peer ran nothing. */
enum pr_sent {
	PR_NOT_SENT, /* no byte sent, or refused before any handler */
	PR_MAYBE_SENT, /* the call may have reached the peer */
	PR_REPLIED, /* the reply arrived */
	PR_DROPPED /* pr_close(): on_reply only frees what arg holds */
};

struct pr_result {
	enum pr_sent sent;
	bool timed_out;
	const void *reply; /* e.g. peer_fetch_reply; nil unless PR_REPLIED */
	const char *error; /* human-readable; "" if none */
};

/*
 * Called exactly once for each call, unless it is cancelled.
 * result and what it points to are valid until the function returns.
 */
typedef void pr_on_reply(const struct pr_result *result, void *arg);

/*
 * A handler gets the decoded arguments, e.g. a peer_fetch_args.  They stay
 * valid until the request is ended by exactly one call of pr_reply() or
 * pr_reply_error(), from the handler or later.
 */
typedef void
pr_handler(struct pr_request *request, const void *args, void *arg);

struct pr_options {
	const char *address; /* IP number to listen on */
	uint16_t port; /* 0: any free port, see pr_port() */
	const void *psk; /* the fleet key, at least 16 bytes; copied */
	size_t psk_len;
	struct clk clk;
	struct lg *log; /* may be nil */
	struct cnt *counters; /* may be nil */
	size_t max_message; /* bytes; 0: 8 MiB */
	size_t max_queued; /* bytes waiting on a link; 0: 32 MiB */
	unsigned max_calls; /* calls in flight on a link; 0: 4096 */
	unsigned max_connections; /* accepted; 0: 1024 */
	pr_handler *handlers[PR_PROCEDURES]; /* nil: PROC_UNAVAIL */
	void *arg; /* passed to the handlers */
};

/* State of the outgoing link to an address. */
struct pr_link_info {
	bool connected; /* the TLS handshake is complete */
	clk_ms connected_at; /* of the current connection; 0 if none */
	clk_ms received_at; /* last time bytes arrived; 0 if never */
	clk_ms retry_at; /* end of the backoff; 0 if none */
	unsigned calls; /* waiting or in flight */
	size_t queued; /* bytes not yet handed to TLS */
	uint64_t reconnects; /* connections opened after the first one */
};

/*
 * pr_open(loop, options, error)
 *	Listen on the address and accept calls.
 * RETURN VALUES
 *	The endpoint, or nil with *error set to a text to be freed by g_free().
 */
struct pr *
pr_open(struct ev_loop *loop, const struct pr_options *options, char **error);

/*
 * pr_close(rpc)
 *	Close all connections and free rpc.  Calls in flight end with
 *	PR_DROPPED; requests not yet ended must not be used afterwards.  Must
 *	not be called from a handler or from on_reply.
 */
void pr_close(struct pr *rpc);

/* pr_port(rpc): the port that rpc listens on. */
uint16_t pr_port(const struct pr *rpc);

/*
 * pr_call(rpc, address, procedure, args, timeout, on_reply, arg)
 *	Call a procedure of the instance at address, "ip:port".  args is the
 *	procedure's argument structure, which is encoded before the function
 *	returns; no string in it may be nil.  timeout is in ms from now and
 *	must be positive.  on_reply is called later, from the event loop.
 *	A call ends as PR_NOT_SENT if it cannot be encoded, if a limit of the
 *	link is reached, if no connection can be made or while the link is
 *	in backoff after a failed connection.
 * RETURN VALUES
 *	The call's number, for pr_cancel(); never 0.
 */
uint64_t pr_call(struct pr *rpc, const char *address, unsigned procedure,
    const void *args, clk_ms timeout, pr_on_reply *on_reply, void *arg);

/*
 * pr_cancel(rpc, call)
 *	Cancel a call; its on_reply is not called.  The peer may still run
 *	it.  A number that is unknown or has ended is ignored.
 */
void pr_cancel(struct pr *rpc, uint64_t call);

/*
 * pr_reconnect(rpc, address)
 *	Drop the link's connection and its backoff and open a new
 *	connection.  Calls of which any byte was sent end as PR_MAYBE_SENT;
 *	the others go over the new connection.  A connection that is
 *	being opened already is kept.
 */
void pr_reconnect(struct pr *rpc, const char *address);

/*
 * pr_forget(rpc, address)
 *	Close the link to an address that is no longer in use.  Its calls end
 *	as in pr_reconnect(), with PR_NOT_SENT for those not sent.
 */
void pr_forget(struct pr *rpc, const char *address);

/*
 * pr_link_state(rpc, address, info)
 *	Fill *info.
 * RETURN VALUES
 *	False if there is no link to the address; *info is then all zero.
 */
bool pr_link_state(
    const struct pr *rpc, const char *address, struct pr_link_info *info);

/*
 * pr_reply(request, result)
 *	Send the procedure's reply structure, which is encoded before the
 *	function returns, and end the request.  Without effect on the network
 *	if the connection of the request has closed.
 */
void pr_reply(struct pr_request *request, const void *result);

/*
 * pr_reply_error(request)
 *	End the request with SYSTEM_ERR.  The caller sees PR_MAYBE_SENT.
 */
void pr_reply_error(struct pr_request *request);

/* pr_request_peer(request): "ip:port" of the connection, for log lines. */
const char *pr_request_peer(const struct pr_request *request);

/* pr_request_is_gone(request): whether its connection has closed. */
bool pr_request_is_gone(const struct pr_request *request);

/*
 * pr_args_xdr(procedure), pr_reply_xdr(procedure)
 * pr_args_size(procedure), pr_reply_size(procedure)
 *	The XDR filter and the size of the structure of a procedure; nil or 0
 *	if there is no such procedure.
 */
xdrproc_t pr_args_xdr(unsigned procedure);
xdrproc_t pr_reply_xdr(unsigned procedure);
size_t pr_args_size(unsigned procedure);
size_t pr_reply_size(unsigned procedure);

#endif
