#include "peer/rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gnutls/gnutls.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/rpc_message.h"

#define MAX_MESSAGE_BYTES ((size_t)8 * 1024 * 1024)
#define MAX_QUEUED_BYTES  ((size_t)32 * 1024 * 1024)
#define MAX_CALLS	  4096
#define MAX_CONNECTIONS	  1024
#define MIN_PSK_BYTES	  16
/* TCP connect and TLS handshake together. */
#define CONNECT_TIMEOUT	  (1 * CLK_SECOND)
#define HANDSHAKE_TIMEOUT (2 * CLK_SECOND)
#define BACKOFF_MIN	  ((clk_ms)50)
#define BACKOFF_MAX	  (2 * CLK_SECOND)
/* A connection with calls in flight is replaced after so long without data. */
#define SILENCE_TIMEOUT	    (1 * CLK_SECOND)
#define KEEPALIVE_IDLE_S    10
#define KEEPALIVE_PROBE_S   5
#define KEEPALIVE_PROBES    3
#define TCP_USER_TIMEOUT_MS 20000
/*
 * Limits the unsent bytes in the socket buffer.  Heartbeats can overtake
 * messages in the queues of this module, but not bytes in the socket buffer.
 */
#define NOTSENT_LOWAT_BYTES (128 * 1024)
#define ACCEPT_PAUSE_S	    0.1
#define LISTEN_BACKLOG	    512
/* The largest plain text of a TLS record. */
#define TLS_RECORD_SIZE 16384
/* Bounds the time that one busy connection blocks the loop. */
#define MAX_READS_PER_EVENT 16
/* Bounds the set of refusals that have been logged. */
#define MAX_LOGGED_REFUSALS 1024
#define ADDRESS_SIZE	    (INET6_ADDRSTRLEN + 8)
#define PSK_IDENTITY	    "fleet"
/*
 * A pre-shared key together with a key exchange, so that a fleet key that
 * leaks later does not decrypt recorded traffic.
 */
#define TLS_PRIORITY "NORMAL:-VERS-ALL:+VERS-TLS1.3:-KX-ALL:+ECDHE-PSK"

/* A message waiting to be handed to TLS. */
struct message {
	uint8_t *data;
	size_t len;
	size_t off;
	bool started; /* passed to TLS, in part or whole */
	struct call *call; /* nil: a reply, or a call that has ended */
};

struct send_queue {
	GQueue messages;
	size_t bytes;
};

enum conn_state { CONN_CONNECTING, CONN_HANDSHAKE, CONN_OPEN, CONN_CLOSED };

struct conn {
	struct rpc *rpc;
	struct link *link; /* nil: accepted */
	enum conn_state state;
	int fd;
	gnutls_session_t tls;
	ev_io io;
	ev_timer deadline; /* of the handshake */
	bool resend; /* gnutls_record_send() must be repeated */
	bool got_reply; /* a reply has arrived */
	clk_ms opened_at;
	clk_ms received_at;
	clk_ms quiet_since; /* 0: no call is in flight */
	struct send_queue *queue; /* the link's, or own_queue */
	struct send_queue own_queue;
	GHashTable *requests; /* set; nil for outgoing connections */
	struct rpc_msg_reader reader;
	char peer[ADDRESS_SIZE];
	char host[ADDRESS_SIZE]; /* peer without its port */
};

struct link {
	struct rpc *rpc;
	char *address;
	struct conn *conn;
	struct send_queue queue;
	GHashTable *calls; /* xid -> struct call */
	unsigned in_flight; /* calls of which any byte was sent */
	clk_ms backoff;
	clk_ms retry_at;
	clk_ms received_at;
	uint64_t connections;
};

struct call {
	uint64_t id;
	struct rpc *rpc;
	struct link *link; /* nil once the call has ended */
	unsigned procedure;
	struct message *message; /* nil once it is sent completely */
	bool started; /* any byte may have been sent */
	ev_timer timer;
	rpc_on_reply *on_reply;
	void *arg;
	struct rpc_result result;
	char error[128];
};

struct rpc_request {
	struct rpc *rpc;
	struct conn *conn; /* nil: closed */
	uint32_t xid;
	unsigned procedure;
	void *args;
	char peer[ADDRESS_SIZE];
};

/* Handles of the counters; nil without counters. */
struct metrics {
	struct cnt_metric *calls[RPC_REPLIED + 1];
	struct cnt_metric *bytes_in;
	struct cnt_metric *bytes_out;
	struct cnt_metric *late_replies;
	struct cnt_metric *reconnects;
	struct cnt_metric *silent;
};

struct rpc {
	struct ev_loop *loop;
	struct rpc_options options;
	struct metrics metrics;
	gnutls_datum_t psk;
	gnutls_psk_client_credentials_t client_cred;
	gnutls_psk_server_credentials_t server_cred;
	gnutls_priority_t priority;
	int fd;
	uint16_t port;
	ev_io accept_io;
	ev_timer accept_pause;
	ev_timer deferred;
	GHashTable *links; /* address -> struct link */
	GHashTable *accepted; /* set of struct conn */
	GHashTable *orphans; /* set of struct rpc_request with a nil conn */
	GHashTable *calls; /* id -> struct call */
	GQueue ended; /* calls whose on_reply is due */
	GQueue closed; /* connections to free */
	GHashTable *logged_refusals; /* set of "host reason" */
	GRand *rand; /* jitter */
	uint64_t next_id;
};

static void link_open(struct link *link);

static clk_ms
rpc_now(const struct rpc *rpc)
{
	return (clk_now(&rpc->options.clk));
}

static void
count(struct cnt_metric *metric, int64_t n)
{
	if (metric != NULL)
		cnt_add(metric, n);
}

static void
count_refused(struct rpc *rpc, const char *reason)
{
	if (rpc->options.counters != NULL)
		cnt_add(cnt_counter(rpc->options.counters, "peer_refused_total",
			    "Peer messages and connections refused.", "reason",
			    reason),
		    1);
}

/* Count a refused message or connection; log it once for each host. */
static void
report_refusal(struct rpc *rpc, const char *host, const char *reason)
{
	char quoted[ADDRESS_SIZE + 8];
	char *key = g_strdup_printf("%s %s", host, reason);

	count_refused(rpc, reason);
	if (g_hash_table_contains(rpc->logged_refusals, key)) {
		g_free(key);
		return;
	}
	if (g_hash_table_size(rpc->logged_refusals) >= MAX_LOGGED_REFUSALS)
		g_hash_table_remove_all(rpc->logged_refusals);
	(void)g_hash_table_add(rpc->logged_refusals, key);
	lg_event(rpc->options.log, LG_WARNING, "peer_refused",
	    "peer=%s reason=%s", lg_quote(quoted, sizeof(quoted), host),
	    reason);
}

static void
message_free(struct message *message)
{
	if (message->call != NULL)
		message->call->message = NULL;
	g_free(message->data);
	g_free(message);
}

/* Queue a message; an urgent one goes before all that are not started. */
static struct message *
queue_push(struct send_queue *queue, uint8_t *data, size_t len, bool urgent)
{
	struct message *message = g_new0(struct message, 1);
	const struct message *head = g_queue_peek_head(&queue->messages);

	message->data = data;
	message->len = len;
	queue->bytes += len;
	if (urgent)
		g_queue_push_nth(&queue->messages, message,
		    head != NULL && head->started ? 1 : 0);
	else
		g_queue_push_tail(&queue->messages, message);
	return (message);
}

static void
queue_drop(struct send_queue *queue, struct message *message)
{
	(void)g_queue_remove(&queue->messages, message);
	queue->bytes -= message->len - message->off;
	message_free(message);
}

static void
queue_clear(struct send_queue *queue)
{
	struct message *message;

	while ((message = g_queue_pop_head(&queue->messages)) != NULL)
		message_free(message);
	queue->bytes = 0;
}

/* Schedule the deferred work for the next iteration of the loop. */
static void
defer_work(struct rpc *rpc)
{
	if (!ev_is_active(&rpc->deferred)) {
		ev_timer_set(&rpc->deferred, 0.0, 0.0);
		ev_timer_start(rpc->loop, &rpc->deferred);
	}
}

/* Remove the call from its link; a message already started is still sent. */
static void
call_detach(struct call *call)
{
	struct link *link = call->link;

	ev_timer_stop(call->rpc->loop, &call->timer);
	if (link == NULL)
		return;
	if (call->message != NULL && !call->started)
		queue_drop(&link->queue, call->message);
	else if (call->message != NULL)
		call->message->call = NULL;
	call->message = NULL;
	if (call->started)
		link->in_flight--;
	(void)g_hash_table_remove(
	    link->calls, GUINT_TO_POINTER((uint32_t)call->id));
	call->link = NULL;
}

static void
call_deliver(struct call *call)
{
	struct rpc *rpc = call->rpc;

	(void)g_hash_table_remove(rpc->calls, &call->id);
	count(rpc->metrics.calls[call->result.sent], 1);
	if (call->on_reply != NULL)
		call->on_reply(&call->result, call->arg);
	g_free(call);
}

/* End a call without a reply; on_reply is called from the event loop. */
static void
call_end(struct call *call, bool timed_out, const char *error)
{
	call->result.sent = call->started ? RPC_MAYBE_SENT : RPC_NOT_SENT;
	call->result.timed_out = timed_out;
	(void)g_strlcpy(call->error, error, sizeof(call->error));
	call->result.error = call->error;
	call_detach(call);
	g_queue_push_tail(&call->rpc->ended, call);
	defer_work(call->rpc);
}

static gint
compare_calls(gconstpointer a, gconstpointer b)
{
	const struct call *x = a;
	const struct call *y = b;

	return (x->id < y->id ? -1 : x->id > y->id);
}

/*
 * End the calls of a link of which bytes were sent, or those not sent, in the
 * order in which they were made.
 */
static void
link_end_calls(struct link *link, bool started, const char *error)
{
	GList *calls =
	    g_list_sort(g_hash_table_get_values(link->calls), compare_calls);

	for (GList *l = calls; l != NULL; l = l->next) {
		struct call *call = l->data;

		if (call->started == started)
			call_end(call, false, error);
	}
	g_list_free(calls);
}

static void
link_back_off(struct link *link, const char *error)
{
	struct rpc *rpc = link->rpc;

	link->backoff = CLAMP(link->backoff * 2, BACKOFF_MIN, BACKOFF_MAX);
	/* Jitter keeps instances from reconnecting at the same time. */
	link->retry_at = rpc_now(rpc) +
	    (clk_ms)((double)link->backoff *
		g_rand_double_range(rpc->rand, 0.5, 1.0));
	link_end_calls(link, false, error);
}

static void
requests_orphan(struct conn *conn)
{
	GHashTableIter iter;
	gpointer key;

	if (conn->requests == NULL)
		return;
	g_hash_table_iter_init(&iter, conn->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct rpc_request *request = key;

		request->conn = NULL;
		(void)g_hash_table_add(conn->rpc->orphans, request);
	}
	g_hash_table_remove_all(conn->requests);
}

/*
 * Close a connection and end its calls and requests.  The structure itself is
 * freed later, because callers up the stack may still read its state.
 */
static void
conn_drop(struct conn *conn, const char *error)
{
	struct rpc *rpc = conn->rpc;
	struct link *link = conn->link;
	struct message *message;

	ev_io_stop(rpc->loop, &conn->io);
	ev_timer_stop(rpc->loop, &conn->deadline);
	(void)close(conn->fd);
	conn->state = CONN_CLOSED;
	requests_orphan(conn);
	g_queue_push_tail(&rpc->closed, conn);
	defer_work(rpc);
	if (link == NULL) {
		(void)g_hash_table_remove(rpc->accepted, conn);
		queue_clear(&conn->own_queue);
		return;
	}
	link->conn = NULL;
	message = g_queue_peek_head(&link->queue.messages);
	if (message != NULL && message->started)
		queue_drop(&link->queue, message);
	link_end_calls(link, true, error);
}

/* Close a connection after an error and decide when to open the next. */
static void
conn_fail(struct conn *conn, const char *error)
{
	struct link *link = conn->link;
	char quoted[160];

	if (conn->state == CONN_CLOSED)
		return;
	if (link != NULL)
		lg_event(conn->rpc->options.log, LG_INFO, "peer_link_closed",
		    "peer=%s reason=%s", conn->peer,
		    lg_quote(quoted, sizeof(quoted), error));
	conn_drop(conn, error);
	if (link == NULL)
		return;
	if (!conn->got_reply)
		link_back_off(link, error);
	else if (!g_queue_is_empty(&link->queue.messages))
		link_open(link);
}

static void
conn_free(struct conn *conn)
{
	if (conn->tls != NULL)
		gnutls_deinit(conn->tls);
	if (conn->requests != NULL)
		g_hash_table_destroy(conn->requests);
	queue_clear(&conn->own_queue);
	rpc_msg_reader_clear(&conn->reader);
	g_free(conn);
}

/*
 * An accepted connection is not read while too many of its requests are
 * unanswered or too many bytes of replies are queued.
 */
static bool
conn_is_paused(const struct conn *conn)
{
	const struct rpc_options *options = &conn->rpc->options;

	return (conn->requests != NULL &&
	    (g_hash_table_size(conn->requests) >= options->max_calls ||
		conn->queue->bytes > options->max_queued));
}

static void
conn_watch(struct conn *conn)
{
	int events = 0;

	switch (conn->state) {
	case CONN_CONNECTING:
		events = EV_WRITE;
		break;
	case CONN_HANDSHAKE:
		events = gnutls_record_get_direction(conn->tls) == 0 ? EV_READ
								     : EV_WRITE;
		break;
	case CONN_OPEN:
		events = conn_is_paused(conn) ? 0 : EV_READ;
		if (!g_queue_is_empty(&conn->queue->messages))
			events |= EV_WRITE;
		break;
	case CONN_CLOSED:
		return;
	}
	if (ev_is_active(&conn->io) &&
	    (conn->io.events & (EV_READ | EV_WRITE)) == events)
		return;
	ev_io_stop(conn->rpc->loop, &conn->io);
	ev_io_set(&conn->io, conn->fd, events);
	if (events != 0)
		ev_io_start(conn->rpc->loop, &conn->io);
}

static void
call_start(struct conn *conn, struct call *call)
{
	if (call == NULL || call->started)
		return;
	call->started = true;
	call->link->in_flight++;
	if (conn->quiet_since == 0)
		conn->quiet_since = rpc_now(conn->rpc);
}

static ssize_t
send_part(struct conn *conn, struct message *message)
{
	if (conn->resend)
		return (gnutls_record_send(conn->tls, NULL, 0));
	message->started = true;
	call_start(conn, message->call);
	return (gnutls_record_send(conn->tls, message->data + message->off,
	    MIN(message->len - message->off, TLS_RECORD_SIZE)));
}

static void
conn_flush(struct conn *conn)
{
	struct send_queue *queue = conn->queue;
	struct message *message;

	while (conn->state == CONN_OPEN &&
	    (message = g_queue_peek_head(&queue->messages)) != NULL) {
		ssize_t n = send_part(conn, message);
		bool was_blocked;

		was_blocked = conn->resend;
		conn->resend = n == GNUTLS_E_AGAIN || n == GNUTLS_E_INTERRUPTED;
		if (conn->resend)
			break;
		if (n < 0) {
			conn_fail(conn, gnutls_strerror((int)n));
			return;
		}
		/*
		 * A blocked connection that accepts bytes again is not silent:
		 * the peer is still receiving a large message.
		 */
		if (was_blocked && conn->quiet_since != 0)
			conn->quiet_since = rpc_now(conn->rpc);
		message->off += (size_t)n;
		queue->bytes -= (size_t)n;
		count(conn->rpc->metrics.bytes_out, n);
		if (message->off == message->len) {
			(void)g_queue_pop_head(&queue->messages);
			message_free(message);
		}
	}
	conn_watch(conn);
}

static void
request_free(struct rpc_request *request)
{
	if (request->conn != NULL)
		(void)g_hash_table_remove(request->conn->requests, request);
	else
		(void)g_hash_table_remove(request->rpc->orphans, request);
	rpc_msg_args_free(request->procedure, request->args);
	g_free(request);
}

/* Send a message on an accepted connection, which then owns data. */
static void
conn_send(struct conn *conn, uint8_t *data, size_t len, bool urgent)
{
	(void)queue_push(conn->queue, data, len, urgent);
	conn_flush(conn);
}

static void
conn_refuse(struct conn *conn, uint32_t xid, enum accept_stat stat)
{
	size_t len;
	uint8_t *data = rpc_msg_refusal_encode(xid, stat, &len);

	if (data != NULL)
		conn_send(conn, data, len, false);
}

static void
conn_handle_request(struct conn *conn)
{
	struct rpc *rpc = conn->rpc;
	struct rpc_msg_call call;
	struct rpc_request *request;

	switch (rpc_msg_call_decode(
	    conn->reader.body->data, conn->reader.body->len, &call)) {
	case RPC_MSG_OK:
		break;
	case RPC_MSG_BAD_PROGRAM:
		report_refusal(rpc, conn->host, "bad_program");
		conn_refuse(conn, call.xid, PROG_UNAVAIL);
		return;
	case RPC_MSG_BAD_VERSION:
		report_refusal(rpc, conn->host, "bad_version");
		conn_refuse(conn, call.xid, PROG_MISMATCH);
		return;
	case RPC_MSG_BAD_PROCEDURE:
		report_refusal(rpc, conn->host, "bad_procedure");
		conn_refuse(conn, call.xid, PROC_UNAVAIL);
		return;
	case RPC_MSG_BAD_ARGUMENTS:
		report_refusal(rpc, conn->host, "bad_arguments");
		conn_refuse(conn, call.xid, GARBAGE_ARGS);
		return;
	case RPC_MSG_UNDECODABLE:
		report_refusal(rpc, conn->host, "undecodable");
		conn_fail(conn, "undecodable message");
		return;
	}
	if (rpc->options.handlers[call.procedure] == NULL) {
		rpc_msg_args_free(call.procedure, call.args);
		conn_refuse(conn, call.xid, PROC_UNAVAIL);
		return;
	}
	request = g_new0(struct rpc_request, 1);
	request->rpc = rpc;
	request->conn = conn;
	request->xid = call.xid;
	request->procedure = call.procedure;
	request->args = call.args;
	(void)g_strlcpy(request->peer, conn->peer, sizeof(request->peer));
	(void)g_hash_table_add(conn->requests, request);
	rpc->options.handlers[call.procedure](
	    request, request->args, rpc->options.arg);
}

static void
conn_handle_reply(struct conn *conn)
{
	const GByteArray *body = conn->reader.body;
	struct rpc *rpc = conn->rpc;
	struct call *call = NULL;
	void *reply;
	unsigned procedure;
	uint32_t xid;

	if (!rpc_msg_xid_decode(body->data, body->len, &xid)) {
		report_refusal(rpc, conn->host, "undecodable");
		conn_fail(conn, "undecodable message");
		return;
	}
	call = g_hash_table_lookup(conn->link->calls, GUINT_TO_POINTER(xid));
	if (call == NULL || !call->started) {
		count(rpc->metrics.late_replies, 1);
		return;
	}
	procedure = call->procedure;
	switch (
	    rpc_msg_reply_decode(body->data, body->len, procedure, &reply)) {
	case RPC_MSG_ANSWERED:
		conn->got_reply = true;
		conn->link->backoff = 0;
		call_detach(call);
		call->result.sent = RPC_REPLIED;
		call->result.reply = reply;
		call->result.error = "";
		call_deliver(call);
		rpc_msg_reply_free(procedure, reply);
		return;
	case RPC_MSG_REFUSED:
		report_refusal(rpc, conn->host, "call_refused");
		call_end(call, false, "the peer refused the call");
		/* A refused call has not reached a handler. */
		call->result.sent = RPC_NOT_SENT;
		return;
	case RPC_MSG_SYSTEM_ERROR:
		call_end(call, false, "the peer reports a system error");
		return;
	case RPC_MSG_MALFORMED:
		report_refusal(rpc, conn->host, "undecodable");
		conn_fail(conn, "undecodable message");
		return;
	}
}

static void
conn_receive(struct conn *conn, const uint8_t *data, size_t len)
{
	while (len > 0 && conn->state == CONN_OPEN) {
		switch (rpc_msg_reader_read(&conn->reader, &data, &len)) {
		case RPC_MSG_MORE:
			break;
		case RPC_MSG_READY:
			if (conn->link != NULL)
				conn_handle_reply(conn);
			else
				conn_handle_request(conn);
			break;
		case RPC_MSG_TOO_LARGE:
			report_refusal(conn->rpc, conn->host, "oversized");
			conn_fail(conn, "oversized message");
			break;
		}
	}
}

static void
conn_read(struct conn *conn)
{
	uint8_t data[TLS_RECORD_SIZE];

	for (int i = 0; i < MAX_READS_PER_EVENT && !conn_is_paused(conn); i++) {
		ssize_t n = gnutls_record_recv(conn->tls, data, sizeof(data));

		if (n == GNUTLS_E_AGAIN)
			break;
		if (n < 0 && gnutls_error_is_fatal((int)n) == 0)
			continue;
		if (n <= 0) {
			conn_fail(conn,
			    n == 0 ? "closed by the peer"
				   : gnutls_strerror((int)n));
			return;
		}
		count(conn->rpc->metrics.bytes_in, n);
		conn->received_at = rpc_now(conn->rpc);
		if (conn->link != NULL)
			conn->link->received_at = conn->received_at;
		conn_receive(conn, data, (size_t)n);
		if (conn->state != CONN_OPEN)
			return;
		conn->quiet_since =
		    conn->link != NULL && conn->link->in_flight > 0
		    ? conn->received_at
		    : 0;
	}
	conn_watch(conn);
}

static void
conn_handshake(struct conn *conn)
{
	int rc;

	do {
		rc = gnutls_handshake(conn->tls);
	} while (
	    rc < 0 && rc != GNUTLS_E_AGAIN && gnutls_error_is_fatal(rc) == 0);
	if (rc == GNUTLS_E_AGAIN) {
		conn_watch(conn);
		return;
	}
	if (rc < 0) {
		report_refusal(conn->rpc, conn->host, "handshake_failed");
		conn_fail(conn, gnutls_strerror(rc));
		return;
	}
	ev_timer_stop(conn->rpc->loop, &conn->deadline);
	conn->state = CONN_OPEN;
	conn->opened_at = rpc_now(conn->rpc);
	if (conn->link != NULL)
		lg_event(conn->rpc->options.log, LG_INFO, "peer_link_open",
		    "peer=%s", conn->peer);
	conn_flush(conn);
}

static void
conn_connected(struct conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	if (error != 0) {
		conn_fail(conn, g_strerror(error));
		return;
	}
	conn->state = CONN_HANDSHAKE;
	conn_handshake(conn);
}

static void
on_conn_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct conn *conn = watcher->data;

	(void)loop;
	switch (conn->state) {
	case CONN_CONNECTING:
		conn_connected(conn);
		return;
	case CONN_HANDSHAKE:
		conn_handshake(conn);
		return;
	case CONN_OPEN:
		if ((events & EV_READ) != 0)
			conn_read(conn);
		if ((events & EV_WRITE) != 0 && conn->state == CONN_OPEN)
			conn_flush(conn);
		return;
	case CONN_CLOSED:
		return;
	}
}

static void
on_conn_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct conn *conn = timer->data;

	(void)loop;
	(void)events;
	conn_fail(conn,
	    conn->state == CONN_CONNECTING ? "connect timeout"
					   : "handshake timeout");
}

static void
set_socket_options(int fd)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {
	    {IPPROTO_TCP, TCP_NODELAY, 1},
	    {SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_PROBE_S},
	    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES},
	    {IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS},
	    {IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_LOWAT_BYTES},
	};

	/* A socket without one of these still works. */
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		(void)setsockopt(fd, options[i].level, options[i].name,
		    &options[i].value, sizeof(options[i].value));
}

static bool
conn_start_tls(struct conn *conn, unsigned side)
{
	struct rpc *rpc = conn->rpc;
	void *cred = side == GNUTLS_CLIENT ? (void *)rpc->client_cred
					   : (void *)rpc->server_cred;

	if (gnutls_init(&conn->tls,
		side | GNUTLS_NONBLOCK | GNUTLS_NO_SIGNAL |
		    GNUTLS_NO_TICKETS) != 0)
		return (false);
	gnutls_session_set_ptr(conn->tls, rpc);
	gnutls_transport_set_int(conn->tls, conn->fd);
	return (gnutls_priority_set(conn->tls, rpc->priority) == 0 &&
	    gnutls_credentials_set(conn->tls, GNUTLS_CRD_PSK, cred) == 0);
}

static struct conn *
conn_new(struct rpc *rpc, int fd, struct link *link)
{
	struct conn *conn = g_new0(struct conn, 1);
	clk_ms timeout = link != NULL ? CONNECT_TIMEOUT : HANDSHAKE_TIMEOUT;

	conn->rpc = rpc;
	conn->fd = fd;
	conn->link = link;
	conn->state = link != NULL ? CONN_CONNECTING : CONN_HANDSHAKE;
	conn->queue = link != NULL ? &link->queue : &conn->own_queue;
	g_queue_init(&conn->own_queue.messages);
	if (link == NULL)
		conn->requests = g_hash_table_new(NULL, NULL);
	rpc_msg_reader_init(&conn->reader, rpc->options.max_message);
	ev_init(&conn->io, on_conn_io);
	conn->io.data = conn;
	/*
	 * After the process was suspended, messages that have arrived are
	 * read before expired timers run.
	 */
	ev_set_priority(&conn->io, 1);
	ev_timer_init(
	    &conn->deadline, on_conn_deadline, (double)timeout / 1000.0, 0.0);
	conn->deadline.data = conn;
	set_socket_options(fd);
	if (!conn_start_tls(
		conn, link != NULL ? GNUTLS_CLIENT : GNUTLS_SERVER)) {
		conn_free(conn);
		return (NULL);
	}
	ev_timer_start(rpc->loop, &conn->deadline);
	return (conn);
}

static bool
parse_address(const char *text, uint16_t port, struct sockaddr_storage *storage,
    socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, text, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		*len = sizeof(*v4);
		return (true);
	}
	if (inet_pton(AF_INET6, text, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		*len = sizeof(*v6);
		return (true);
	}
	return (false);
}

/* Split "ip:port" or "[ip]:port". */
static bool
parse_peer(const char *peer, char *host, size_t size, uint16_t *port)
{
	const char *colon = strrchr(peer, ':');
	const char *start = peer;
	const char *end = colon;
	guint64 number;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &number, NULL))
		return (false);
	if (*start == '[' && end > start + 1 && end[-1] == ']') {
		start++;
		end--;
	}
	if ((size_t)(end - start) >= size)
		return (false);
	memcpy(host, start, (size_t)(end - start));
	host[end - start] = '\0';
	*port = (uint16_t)number;
	return (true);
}

static int
connect_peer(const char *peer, char *host, size_t size)
{
	struct sockaddr_storage storage;
	socklen_t len;
	uint16_t port;
	int fd;

	if (!parse_peer(peer, host, size, &port) ||
	    !parse_address(host, port, &storage, &len)) {
		errno = EINVAL;
		return (-1);
	}
	fd = socket(
	    storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	if (connect(fd, (struct sockaddr *)&storage, len) != 0 &&
	    errno != EINPROGRESS) {
		int saved = errno;

		(void)close(fd);
		errno = saved;
		return (-1);
	}
	return (fd);
}

static void
link_open(struct link *link)
{
	struct rpc *rpc = link->rpc;
	char host[ADDRESS_SIZE];
	int fd = connect_peer(link->address, host, sizeof(host));

	if (fd < 0) {
		link_back_off(link, g_strerror(errno));
		return;
	}
	link->conn = conn_new(rpc, fd, link);
	if (link->conn == NULL) {
		(void)close(fd);
		link_back_off(link, "no TLS session");
		return;
	}
	if (link->connections++ > 0)
		count(rpc->metrics.reconnects, 1);
	(void)g_strlcpy(
	    link->conn->peer, link->address, sizeof(link->conn->peer));
	(void)g_strlcpy(link->conn->host, host, sizeof(link->conn->host));
	conn_watch(link->conn);
}

/* Replace the connection; calls not sent move to the new one. */
static void
link_replace(struct link *link, const char *error)
{
	if (link->conn != NULL)
		conn_drop(link->conn, error);
	link->retry_at = 0;
	link->backoff = 0;
	link_open(link);
}

static struct link *
link_get(struct rpc *rpc, const char *address)
{
	struct link *link = g_hash_table_lookup(rpc->links, address);

	if (link != NULL)
		return (link);
	link = g_new0(struct link, 1);
	link->rpc = rpc;
	link->address = g_strdup(address);
	link->calls = g_hash_table_new(NULL, NULL);
	g_queue_init(&link->queue.messages);
	g_hash_table_insert(rpc->links, link->address, link);
	return (link);
}

static void
link_free(gpointer arg)
{
	struct link *link = arg;

	queue_clear(&link->queue);
	g_hash_table_destroy(link->calls);
	g_free(link->address);
	g_free(link);
}

static void
on_call_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;
	struct rpc *rpc = call->rpc;
	struct link *link = call->link;
	struct conn *conn = link->conn;
	bool silent = call->started && conn != NULL &&
	    conn->state == CONN_OPEN && conn->quiet_since != 0 &&
	    rpc_now(rpc) - conn->quiet_since >= SILENCE_TIMEOUT;

	(void)loop;
	(void)events;
	call_end(call, true, "no reply within the timeout");
	if (!silent)
		return;
	count(rpc->metrics.silent, 1);
	lg_event(rpc->options.log, LG_NOTICE, "peer_link_silent", "peer=%s",
	    link->address);
	link_replace(link, "the connection was silent");
}

static void
on_deferred(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct rpc *rpc = timer->data;
	guint ended = g_queue_get_length(&rpc->ended);
	struct conn *conn;

	(void)loop;
	(void)events;
	/* Calls that end in a callback are delivered in the next run. */
	while (ended-- > 0) {
		struct call *call = g_queue_pop_head(&rpc->ended);

		if (call == NULL)
			break;
		call_deliver(call);
	}
	while ((conn = g_queue_pop_head(&rpc->closed)) != NULL)
		conn_free(conn);
	if (!g_queue_is_empty(&rpc->ended))
		defer_work(rpc);
}

static void
conn_set_names(struct conn *conn, const struct sockaddr_storage *storage)
{
	socklen_t size = sizeof(conn->host);

	if (storage->ss_family == AF_INET) {
		struct sockaddr_in v4;

		memcpy(&v4, storage, sizeof(v4));
		(void)inet_ntop(AF_INET, &v4.sin_addr, conn->host, size);
		(void)g_snprintf(conn->peer, sizeof(conn->peer), "%.45s:%u",
		    conn->host, (unsigned)ntohs(v4.sin_port));
	} else if (storage->ss_family == AF_INET6) {
		struct sockaddr_in6 v6;

		memcpy(&v6, storage, sizeof(v6));
		(void)inet_ntop(AF_INET6, &v6.sin6_addr, conn->host, size);
		(void)g_snprintf(conn->peer, sizeof(conn->peer), "[%.45s]:%u",
		    conn->host, (unsigned)ntohs(v6.sin6_port));
	}
}

static void
accept_one(struct rpc *rpc, int fd, const struct sockaddr_storage *storage)
{
	struct conn *conn;

	if (g_hash_table_size(rpc->accepted) >= rpc->options.max_connections) {
		count_refused(rpc, "too_many_connections");
		(void)close(fd);
		return;
	}
	conn = conn_new(rpc, fd, NULL);
	if (conn == NULL) {
		(void)close(fd);
		return;
	}
	conn_set_names(conn, storage);
	(void)g_hash_table_add(rpc->accepted, conn);
	conn_watch(conn);
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct rpc *rpc = watcher->data;

	(void)events;
	for (;;) {
		struct sockaddr_storage storage = {0};
		socklen_t len = sizeof(storage);
		int fd = accept4(rpc->fd, (struct sockaddr *)&storage, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0) {
			accept_one(rpc, fd, &storage);
			continue;
		}
		if (errno == EINTR || errno == ECONNABORTED)
			continue;
		if (errno != EAGAIN && errno != EWOULDBLOCK) {
			/*
			 * Out of descriptors or memory: the socket stays
			 * readable, so without a pause the loop would spin.
			 */
			ev_io_stop(loop, &rpc->accept_io);
			ev_timer_set(&rpc->accept_pause, ACCEPT_PAUSE_S, 0.0);
			ev_timer_start(loop, &rpc->accept_pause);
		}
		return;
	}
}

static void
on_accept_pause(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct rpc *rpc = timer->data;

	(void)events;
	ev_io_start(loop, &rpc->accept_io);
}

static int
find_psk(gnutls_session_t tls, const char *identity, gnutls_datum_t *key)
{
	const struct rpc *rpc = gnutls_session_get_ptr(tls);

	if (strcmp(identity, PSK_IDENTITY) != 0)
		return (-1);
	key->data = gnutls_malloc(rpc->psk.size);
	if (key->data == NULL)
		return (-1);
	memcpy(key->data, rpc->psk.data, rpc->psk.size);
	key->size = rpc->psk.size;
	return (0);
}

static bool
open_tls(struct rpc *rpc, char **error)
{
	int rc;

	if (rpc->options.psk_len < MIN_PSK_BYTES) {
		*error = g_strdup_printf(
		    "the fleet key is shorter than %d bytes", MIN_PSK_BYTES);
		return (false);
	}
	rpc->psk.data = g_memdup2(rpc->options.psk, rpc->options.psk_len);
	rpc->psk.size = (unsigned)rpc->options.psk_len;
	rpc->options.psk = NULL;
	rc = gnutls_psk_allocate_client_credentials(&rpc->client_cred);
	if (rc == 0)
		rc = gnutls_psk_allocate_server_credentials(&rpc->server_cred);
	if (rc == 0)
		rc = gnutls_psk_set_client_credentials(rpc->client_cred,
		    PSK_IDENTITY, &rpc->psk, GNUTLS_PSK_KEY_RAW);
	if (rc == 0)
		rc = gnutls_priority_init(&rpc->priority, TLS_PRIORITY, NULL);
	if (rc != 0) {
		*error = g_strdup_printf("TLS: %s", gnutls_strerror(rc));
		return (false);
	}
	gnutls_psk_set_server_credentials_function(rpc->server_cred, find_psk);
	return (true);
}

static bool
open_socket(struct rpc *rpc, char **error)
{
	struct sockaddr_storage storage;
	socklen_t len;
	int on = 1;

	if (!parse_address(
		rpc->options.address, rpc->options.port, &storage, &len)) {
		*error = g_strdup_printf(
		    "\"%s\" is not an IP address", rpc->options.address);
		return (false);
	}
	rpc->fd = socket(
	    storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (rpc->fd < 0 ||
	    setsockopt(rpc->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) !=
		0 ||
	    bind(rpc->fd, (struct sockaddr *)&storage, len) != 0 ||
	    listen(rpc->fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(rpc->fd, (struct sockaddr *)&storage, &len) != 0) {
		*error = g_strdup_printf("cannot listen on %s port %u: %s",
		    rpc->options.address, (unsigned)rpc->options.port,
		    g_strerror(errno));
		return (false);
	}
	/* sin6_port is at the same offset as sin_port. */
	rpc->port = ntohs(((struct sockaddr_in *)&storage)->sin_port);
	return (true);
}

static void
set_defaults(struct rpc_options *options)
{
	if (options->max_message == 0)
		options->max_message = MAX_MESSAGE_BYTES;
	if (options->max_queued == 0)
		options->max_queued = MAX_QUEUED_BYTES;
	if (options->max_calls == 0)
		options->max_calls = MAX_CALLS;
	if (options->max_connections == 0)
		options->max_connections = MAX_CONNECTIONS;
}

static void
open_metrics(struct metrics *metrics, struct cnt *cnt)
{
	static const char *const results[] = {
	    "not_sent", "maybe_sent", "replied"};

	if (cnt == NULL)
		return;
	for (int i = 0; i <= RPC_REPLIED; i++)
		metrics->calls[i] = cnt_counter(cnt, "peer_calls_total",
		    "Calls to peers by result.", "result", results[i]);
	metrics->bytes_in = cnt_counter(cnt, "peer_bytes_total",
	    "Bytes of peer messages.", "direction", "in");
	metrics->bytes_out = cnt_counter(cnt, "peer_bytes_total",
	    "Bytes of peer messages.", "direction", "out");
	metrics->late_replies = cnt_counter(cnt, "peer_late_replies_total",
	    "Replies to calls that had ended.", NULL, NULL);
	metrics->reconnects = cnt_counter(cnt, "peer_reconnects_total",
	    "Connections to peers after the first one.", NULL, NULL);
	metrics->silent = cnt_counter(cnt, "peer_silent_total",
	    "Connections to peers replaced after silence.", NULL, NULL);
}

struct rpc *
rpc_open(struct ev_loop *loop, const struct rpc_options *options, char **error)
{
	struct rpc *rpc = g_new0(struct rpc, 1);

	rpc->loop = loop;
	rpc->options = *options;
	set_defaults(&rpc->options);
	open_metrics(&rpc->metrics, options->counters);
	rpc->fd = -1;
	rpc->rand = g_rand_new();
	/* A restarted process does not reuse the numbers of the last one. */
	rpc->next_id = g_rand_int(rpc->rand);
	rpc->links =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	rpc->accepted = g_hash_table_new(NULL, NULL);
	rpc->orphans = g_hash_table_new(NULL, NULL);
	rpc->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	rpc->logged_refusals =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&rpc->ended);
	g_queue_init(&rpc->closed);
	ev_init(&rpc->accept_io, on_accept);
	ev_init(&rpc->accept_pause, on_accept_pause);
	ev_init(&rpc->deferred, on_deferred);
	rpc->accept_io.data = rpc;
	rpc->accept_pause.data = rpc;
	rpc->deferred.data = rpc;
	if (!open_tls(rpc, error) || !open_socket(rpc, error)) {
		rpc_close(rpc);
		return (NULL);
	}
	rpc->options.address = NULL;
	ev_io_set(&rpc->accept_io, rpc->fd, EV_READ);
	ev_io_start(loop, &rpc->accept_io);
	return (rpc);
}

static void
close_conns(struct rpc *rpc)
{
	GList *conns = g_hash_table_get_keys(rpc->accepted);
	GHashTableIter iter;
	struct conn *conn;
	gpointer value;

	for (GList *l = conns; l != NULL; l = l->next)
		conn_drop(l->data, "closed");
	g_list_free(conns);
	g_hash_table_iter_init(&iter, rpc->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct link *link = value;

		if (link->conn != NULL)
			conn_drop(link->conn, "closed");
		link_end_calls(link, false, "closed");
	}
	while ((conn = g_queue_pop_head(&rpc->closed)) != NULL)
		conn_free(conn);
}

void
rpc_close(struct rpc *rpc)
{
	struct call *call;
	GList *orphans;

	if (rpc == NULL)
		return;
	ev_io_stop(rpc->loop, &rpc->accept_io);
	ev_timer_stop(rpc->loop, &rpc->accept_pause);
	if (rpc->fd >= 0)
		(void)close(rpc->fd);
	close_conns(rpc);
	ev_timer_stop(rpc->loop, &rpc->deferred);
	while ((call = g_queue_pop_head(&rpc->ended)) != NULL) {
		call->result.sent = RPC_CLOSED;
		if (call->on_reply != NULL)
			call->on_reply(&call->result, call->arg);
		g_free(call);
	}
	orphans = g_hash_table_get_keys(rpc->orphans);
	for (GList *l = orphans; l != NULL; l = l->next)
		request_free(l->data);
	g_list_free(orphans);
	g_hash_table_destroy(rpc->links);
	g_hash_table_destroy(rpc->accepted);
	g_hash_table_destroy(rpc->orphans);
	g_hash_table_destroy(rpc->calls);
	g_hash_table_destroy(rpc->logged_refusals);
	g_rand_free(rpc->rand);
	if (rpc->priority != NULL)
		gnutls_priority_deinit(rpc->priority);
	if (rpc->client_cred != NULL)
		gnutls_psk_free_client_credentials(rpc->client_cred);
	if (rpc->server_cred != NULL)
		gnutls_psk_free_server_credentials(rpc->server_cred);
	if (rpc->psk.data != NULL)
		gnutls_memset(rpc->psk.data, 0, rpc->psk.size);
	g_free(rpc->psk.data);
	g_free(rpc);
}

uint16_t
rpc_port(const struct rpc *rpc)
{
	return (rpc->port);
}

/* Queue the call on its link; returns nil or why this is not possible. */
static const char *
call_enqueue(struct call *call, struct link *link, const void *args)
{
	struct rpc *rpc = call->rpc;
	uint8_t *data;
	size_t len;

	if (link->conn == NULL && rpc_now(rpc) < link->retry_at)
		return ("the link backs off after a failure");
	if (g_hash_table_size(link->calls) >= rpc->options.max_calls)
		return ("too many calls on the link");
	data = rpc_msg_call_encode((uint32_t)call->id, call->procedure, args,
	    rpc->options.max_message, &len);
	if (data == NULL)
		return ("the call cannot be encoded or is too large");
	if (link->queue.bytes + len > rpc->options.max_queued) {
		g_free(data);
		return ("too many bytes queued on the link");
	}
	call->link = link;
	call->message = queue_push(
	    &link->queue, data, len, call->procedure == PEER_HEARTBEAT);
	call->message->call = call;
	g_hash_table_insert(
	    link->calls, GUINT_TO_POINTER((uint32_t)call->id), call);
	return (NULL);
}

uint64_t
rpc_call_start(struct rpc *rpc, const char *address, unsigned procedure,
    const void *args, clk_ms timeout, rpc_on_reply *on_reply, void *arg)
{
	struct call *call = g_new0(struct call, 1);
	struct link *link = link_get(rpc, address);
	const char *refusal;
	uint64_t id;

	/* The low 32 bits are the xid, which is never 0. */
	do {
		id = ++rpc->next_id;
	} while ((uint32_t)id == 0);
	call->id = id;
	call->rpc = rpc;
	call->procedure = procedure;
	call->on_reply = on_reply;
	call->arg = arg;
	ev_timer_init(
	    &call->timer, on_call_timeout, (double)timeout / 1000.0, 0.0);
	call->timer.data = call;
	g_hash_table_insert(rpc->calls, &call->id, call);
	refusal = call_enqueue(call, link, args);
	if (refusal != NULL) {
		call_end(call, false, refusal);
		return (id);
	}
	/* The loop's cached time may be stale after a long callback. */
	ev_now_update(rpc->loop);
	ev_timer_start(rpc->loop, &call->timer);
	if (link->conn == NULL)
		link_open(link);
	else if (link->conn->state == CONN_OPEN && !link->conn->resend)
		conn_flush(link->conn);
	return (id);
}

void
rpc_call_cancel(struct rpc *rpc, uint64_t id)
{
	struct call *call = g_hash_table_lookup(rpc->calls, &id);

	if (call == NULL)
		return;
	call_detach(call);
	(void)g_queue_remove(&rpc->ended, call);
	(void)g_hash_table_remove(rpc->calls, &call->id);
	g_free(call);
}

void
rpc_link_reconnect(struct rpc *rpc, const char *address)
{
	struct link *link = link_get(rpc, address);

	if (link->conn != NULL && link->conn->state != CONN_OPEN)
		return;
	link_replace(link, "replaced by a new connection");
}

void
rpc_link_close(struct rpc *rpc, const char *address)
{
	struct link *link = g_hash_table_lookup(rpc->links, address);

	if (link == NULL)
		return;
	if (link->conn != NULL)
		conn_drop(link->conn, "the address is no longer in use");
	link_end_calls(link, false, "the address is no longer in use");
	(void)g_hash_table_remove(rpc->links, address);
}

bool
rpc_link_info_get(
    const struct rpc *rpc, const char *address, struct rpc_link_info *info)
{
	const struct link *link = g_hash_table_lookup(rpc->links, address);

	*info = (struct rpc_link_info){0};
	if (link == NULL)
		return (false);
	if (link->conn != NULL && link->conn->state == CONN_OPEN) {
		info->connected = true;
		info->connected_at = link->conn->opened_at;
	}
	info->received_at = link->received_at;
	info->retry_at = link->conn == NULL ? link->retry_at : 0;
	info->calls = g_hash_table_size(link->calls);
	info->queued = link->queue.bytes;
	info->reconnects = link->connections > 0 ? link->connections - 1 : 0;
	return (true);
}

void
rpc_request_reply(struct rpc_request *request, const void *result)
{
	struct rpc *rpc = request->rpc;
	struct conn *conn = request->conn;
	uint8_t *data = NULL;
	size_t len;
	bool urgent;

	if (conn == NULL) {
		request_free(request);
		return;
	}
	data = rpc_msg_reply_encode(request->xid, request->procedure, result,
	    rpc->options.max_message, &len);
	if (data == NULL) {
		report_refusal(rpc, conn->host, "reply_not_encodable");
		rpc_request_fail(request);
		return;
	}
	urgent = request->procedure == PEER_HEARTBEAT;
	request_free(request);
	conn_send(conn, data, len, urgent);
}

void
rpc_request_fail(struct rpc_request *request)
{
	struct conn *conn = request->conn;
	uint32_t xid = request->xid;

	request_free(request);
	if (conn != NULL)
		conn_refuse(conn, xid, SYSTEM_ERR);
}

const char *
rpc_request_peer(const struct rpc_request *request)
{
	return (request->peer);
}

bool
rpc_request_is_closed(const struct rpc_request *request)
{
	return (request->conn == NULL);
}
