/*
 * rpc: calls between instances.
 *
 * Peer messages are ONC RPC calls and replies (RFC 5531) with record marking,
 * in the types of peer.x, over TCP inside TLS 1.3.  Both sides authenticate
 * with the fleet key, which is the pre-shared key of the handshake.  TLS
 * numbers and authenticates every record, so that a message can be neither
 * forged nor replayed without the fleet key; the layers above rely on that.
 *
 * A link is the outgoing connection to one address.  It is opened by the first
 * call and kept.  Calls on a link are sent in the order in which they were made
 * and reach the handlers in that order; replies may come in any order.
 * Heartbeats and their replies are sent before all messages of which no byte
 * was sent, so that a queue of large messages does not look like a failed peer.
 */
#ifndef SAMPHIRESHED_RPC_H
#define SAMPHIRESHED_RPC_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/lg.h"
#include "peer/peer_xdr.h"

struct rpc;
struct rpc_request;

/* Handlers are indexed by procedure number, PEER_HEARTBEAT and so on. */
#define RPC_PROCEDURES (PEER_WITHDRAW + 1)

/* How far a call got.  Only RPC_NOT_SENT proves that the peer ran nothing. */
enum rpc_sent {
	RPC_NOT_SENT, /* no byte sent, or refused before any handler */
	RPC_MAYBE_SENT, /* the call may have reached the peer */
	RPC_REPLIED, /* the reply arrived */
	RPC_CLOSED /* rpc_close(): on_reply only frees what arg holds */
};

struct rpc_result {
	enum rpc_sent sent;
	bool timed_out;
	const void *reply; /* e.g. peer_fetch_reply; nil unless RPC_REPLIED */
	const char *error; /* human-readable; "" if none */
};

/*
 * Called exactly once for each call, unless it is cancelled.
 * result and what it points to are valid until the function returns.
 */
typedef void rpc_on_reply(const struct rpc_result *result, void *arg);

/*
 * A handler gets the decoded arguments, e.g. a peer_fetch_args.  They stay
 * valid until the request is ended by exactly one call of rpc_request_reply()
 * or rpc_request_fail(), from the handler or later.
 */
typedef void
rpc_handler(struct rpc_request *request, const void *args, void *arg);

struct rpc_options {
	const char *address; /* IP number to listen on */
	uint16_t port; /* 0: any free port, see rpc_port() */
	const void *psk; /* the fleet key, at least 16 bytes; copied */
	size_t psk_len;
	struct clk clk;
	struct lg *log; /* may be nil */
	struct cnt *counters; /* may be nil */
	size_t max_message; /* bytes; 0: 8 MiB */
	size_t max_queued; /* bytes waiting on a link; 0: 32 MiB */
	unsigned max_calls; /* calls in flight on a link; 0: 4096 */
	unsigned max_connections; /* accepted; 0: 1024 */
	rpc_handler *handlers[RPC_PROCEDURES]; /* nil: PROC_UNAVAIL */
	void *arg; /* passed to the handlers */
};

/* State of the outgoing link to an address. */
struct rpc_link_info {
	bool connected; /* the TLS handshake is complete */
	clk_ms connected_at; /* of the current connection; 0 if none */
	clk_ms received_at; /* last time bytes arrived; 0 if never */
	clk_ms retry_at; /* end of the backoff; 0 if none */
	unsigned calls; /* waiting or in flight */
	size_t queued; /* bytes not yet handed to TLS */
	uint64_t reconnects; /* connections opened after the first one */
};

/*
 * rpc_open(loop, options, error)
 *	Listen on the address and accept calls.
 * RETURN VALUES
 *	The endpoint, or nil with *error set to a text to be freed by g_free().
 */
struct rpc *
rpc_open(struct ev_loop *loop, const struct rpc_options *options, char **error);

/*
 * rpc_close(rpc)
 *	Close all connections and free rpc.  Calls in flight end with
 *	RPC_CLOSED; requests not yet ended must not be used afterwards.  Must
 *	not be called from a handler or from on_reply.
 */
void rpc_close(struct rpc *rpc);

/* rpc_port(rpc): the port that rpc listens on. */
uint16_t rpc_port(const struct rpc *rpc);

/*
 * rpc_call_start(rpc, address, procedure, args, timeout, on_reply, arg)
 *	Call a procedure of the instance at address, "ip:port".  args is the
 *	procedure's argument structure, which is encoded before the function
 *	returns; no string in it may be nil.  timeout is in ms from now and
 *	must be positive.  on_reply is called later, from the event loop.  A
 *	call ends as RPC_NOT_SENT if it cannot be encoded, if a limit of the
 *	link is reached, if no connection can be made or while the link is in
 *	backoff after a failed connection.
 * RETURN VALUES
 *	The call's number, for rpc_call_cancel(); never 0.
 */
uint64_t
rpc_call_start(struct rpc *rpc, const char *address, unsigned procedure,
    const void *args, clk_ms timeout, rpc_on_reply *on_reply, void *arg);

/*
 * rpc_call_cancel(rpc, call)
 *	Cancel a call; its on_reply is not called.  The peer may still run it.
 *	The number of an unknown or ended call is ignored.
 */
void rpc_call_cancel(struct rpc *rpc, uint64_t call);

/*
 * rpc_link_reconnect(rpc, address)
 *	Drop the link's connection and its backoff and open a new connection.
 *	Calls of which any byte was sent end as RPC_MAYBE_SENT; the others go
 *	over the new connection.  A connection that is being opened already is
 *	kept.
 */
void rpc_link_reconnect(struct rpc *rpc, const char *address);

/*
 * rpc_link_close(rpc, address)
 *	Close the link to an address that is no longer in use.  Its calls end
 *	as in rpc_link_reconnect(), with RPC_NOT_SENT for those not sent.
 */
void rpc_link_close(struct rpc *rpc, const char *address);

/*
 * rpc_link_info_get(rpc, address, info)
 *	Fill *info.
 * RETURN VALUES
 *	False if there is no link to the address; *info is then all zero.
 */
bool rpc_link_info_get(
    const struct rpc *rpc, const char *address, struct rpc_link_info *info);

/*
 * rpc_request_reply(request, result)
 *	Send the procedure's reply structure, which is encoded before the
 *	function returns, and end the request.  Without effect on the network
 *	if the connection of the request has closed.
 */
void rpc_request_reply(struct rpc_request *request, const void *result);

/*
 * rpc_request_fail(request)
 *	End the request with SYSTEM_ERR.  The caller sees RPC_MAYBE_SENT.
 */
void rpc_request_fail(struct rpc_request *request);

/* rpc_request_peer(request): "ip:port" of the connection, for log lines. */
const char *rpc_request_peer(const struct rpc_request *request);

/* rpc_request_is_closed(request): whether its connection has closed. */
bool rpc_request_is_closed(const struct rpc_request *request);

/*
 * rpc_args_xdr(procedure), rpc_reply_xdr(procedure)
 * rpc_args_size(procedure), rpc_reply_size(procedure)
 *	The XDR filter and the size of the structure of a procedure; nil or 0
 *	if there is no such procedure.
 */
xdrproc_t rpc_args_xdr(unsigned procedure);
xdrproc_t rpc_reply_xdr(unsigned procedure);
size_t rpc_args_size(unsigned procedure);
size_t rpc_reply_size(unsigned procedure);

#endif
