#include "http/hcp.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/tcp.h"

#define READ_SIZE 16384
#define MAX_HEAD  65536
/* Answers to other requests, or 1xx, before the answer to a call. */
#define MAX_SKIPPED 16
/* Idle time after which a connection is closed if the server states none. */
#define DEFAULT_IDLE_MS (4 * CLK_SECOND)
/* The buffer of a request that was larger is freed at its end. */
#define KEPT_BUFFER 65536
/* A longer time than this is not believed. */
#define STATED_IDLE_MAX_S 3600.0
/* Time before the server's stated idle timeout at which ours ends. */
#define IDLE_MARGIN_MS 500
/*
 * A server that reads nothing of a request for this time is given up, like a
 * silent one: what it leaves unread stays in memory.
 */
#define SEND_STALL_S 2.0
/*
 * A silent server is given up within 3 s: before callers' timeouts, and after
 * a packet that was lost and sent again.
 */
static const struct tcp_limits server_limits = {1500, 1, 1, 2};

/* A connection; it carries at most one call. */
struct hcp_call {
	struct hcp *hcp;
	struct hcp_call *prev, *next;
	struct sockaddr_in address;
	struct hmsg_reader reader;
	const struct hcp_handler *handler;
	bool (*may_send)(void *arg); /* nil: nothing to check */
	void *arg;
	GByteArray *out;
	size_t out_done;
	size_t counted; /* bytes of out in hcp->unsent */
	struct ev_io readable;
	struct ev_io writable;
	struct ev_timer timer; /* of the call, or of the idle connection */
	struct ev_timer connect_timer;
	struct ev_timer stall_timer;
	size_t max_bytes; /* of the call; 0: no limit */
	size_t received;
	unsigned skipped; /* answers */
	clk_ms idle_limit;
	double idle_since;
	int fd;
	bool connected;
	bool sent; /* a byte of the current request has left */
	bool idle;
	bool skipping; /* the current answer belongs to another request */
	bool taken; /* the head of the answer has been handed over */
	bool reusable;
	bool is_probe; /* the call ends once the connection is established */
	bool dead;
};

struct hcp {
	struct ev_loop *loop;
	struct hcp_call *calls; /* the newest first */
	struct hcp_call *closed; /* freed by the reaper */
	struct ev_prepare reaper;
	unsigned long opened;
	size_t unsent;
};

static void
call_free(struct hcp_call *call)
{
	hmsg_reader_clear(&call->reader);
	(void)g_byte_array_unref(call->out);
	g_free(call);
}

static void
list_remove(struct hcp_call *call)
{
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		call->hcp->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	call->prev = NULL;
	call->next = NULL;
}

/* Count the bytes of the request that are held. */
static void
unsent_set(struct hcp_call *call, size_t bytes)
{
	call->hcp->unsent += bytes - call->counted;
	call->counted = bytes;
}

static void
list_push(struct hcp_call *call)
{
	call->next = call->hcp->calls;
	if (call->next != NULL)
		call->next->prev = call;
	call->hcp->calls = call;
}

/*
 * Close the connection.  Its memory is freed from the loop, when no callback
 * of it is on the stack.
 */
static void
call_close(struct hcp_call *call)
{
	struct ev_loop *loop = call->hcp->loop;

	if (call->dead)
		return;
	call->dead = true;
	ev_io_stop(loop, &call->readable);
	ev_io_stop(loop, &call->writable);
	ev_timer_stop(loop, &call->timer);
	ev_timer_stop(loop, &call->connect_timer);
	ev_timer_stop(loop, &call->stall_timer);
	if (call->fd >= 0)
		(void)close(call->fd);
	unsent_set(call, 0);
	list_remove(call);
	call->next = call->hcp->closed;
	call->hcp->closed = call;
}

static void
reap(struct hcp *hcp)
{
	while (hcp->closed != NULL) {
		struct hcp_call *call = hcp->closed;

		hcp->closed = call->next;
		call_free(call);
	}
}

static void
reaper_cb(struct ev_loop *loop, struct ev_prepare *watcher, int events)
{
	(void)loop;
	(void)events;
	reap(watcher->data);
}

/* The connection failed. */
static void
call_failed(struct hcp_call *call, bool timed_out)
{
	const struct hcp_handler *handler = call->handler;
	void *arg = call->arg;
	enum hcp_end end = HCP_NOT_SENT;

	if (call->dead)
		return;
	if (call->taken)
		end = HCP_CUT;
	else if (call->sent)
		end = HCP_NO_ANSWER;
	if (call->idle)
		handler = NULL;
	call_close(call);
	if (handler != NULL)
		handler->on_end(arg, end, timed_out);
}

static void
become_idle(struct hcp_call *call)
{
	call->idle = true;
	call->handler = NULL;
	ev_timer_stop(call->hcp->loop, &call->connect_timer);
	unsent_set(call, 0);
	if (call->out->len > KEPT_BUFFER) {
		(void)g_byte_array_unref(call->out);
		call->out = g_byte_array_new();
		call->out_done = 0;
	}
	call->idle_since = ev_now(call->hcp->loop);
	list_remove(call);
	list_push(call);
	ev_timer_stop(call->hcp->loop, &call->stall_timer);
	ev_timer_stop(call->hcp->loop, &call->timer);
	ev_timer_set(&call->timer, (double)call->idle_limit / 1000.0, 0.0);
	ev_timer_start(call->hcp->loop, &call->timer);
}

/* Read the idle timeout that the server states in Keep-Alive. */
static clk_ms
stated_idle(const struct hmsg_head *head)
{
	const char *value = hmsg_find(head, "Keep-Alive");
	const char *timeout = value == NULL ? NULL : strstr(value, "timeout=");
	double seconds;
	clk_ms limit;

	if (timeout == NULL)
		return (DEFAULT_IDLE_MS);
	seconds = g_ascii_strtod(timeout + 8, NULL);
	limit = (clk_ms)(CLAMP(seconds, 0.0, STATED_IDLE_MAX_S) *
	    (double)CLK_SECOND);
	return (
	    limit > 2 * IDLE_MARGIN_MS ? limit - IDLE_MARGIN_MS : limit / 2);
}

static enum hmsg_next
on_head(struct hmsg_reader *reader)
{
	struct hcp_call *call = reader->owner;
	const struct hmsg_head *head = &reader->head;
	enum hcp_take take = HCP_SKIP;

	call->reusable = head->keep_alive;
	call->idle_limit = stated_idle(head);
	if (head->status >= 200)
		take = call->handler->on_head(call->arg, head);
	if (call->dead)
		return (HMSG_STOP);
	call->skipping = take == HCP_SKIP;
	if (take == HCP_TAKE_LAST)
		call->reusable = false;
	call->taken = !call->skipping;
	return (HMSG_CONTINUE);
}

static enum hmsg_next
on_data(struct hmsg_reader *reader, const char *data, size_t len)
{
	struct hcp_call *call = reader->owner;

	if (!call->skipping)
		call->handler->on_data(call->arg, data, len);
	return (call->dead ? HMSG_STOP : HMSG_CONTINUE);
}

static enum hmsg_next
on_end(struct hmsg_reader *reader)
{
	(void)reader;
	return (HMSG_CONTINUE);
}

/* The answer is complete; extra says that bytes followed it. */
static void
answer_ended(struct hcp_call *call, bool extra)
{
	const struct hcp_handler *handler = call->handler;
	void *arg = call->arg;

	if (extra || !call->reusable || call->out_done < call->out->len ||
	    call->idle_limit <= 0) {
		call_close(call);
	} else {
		hmsg_reader_next(&call->reader);
		become_idle(call);
	}
	handler->on_end(arg, HCP_COMPLETE, false);
}

/* Parse data; returns after the end of an answer that was taken. */
static void
process(struct hcp_call *call, const char *data, size_t len)
{
	size_t used;

	while (len > 0) {
		if (!hmsg_reader_execute(&call->reader, data, len, &used)) {
			call_failed(call, false);
			return;
		}
		if (call->dead)
			return;
		data += used;
		len -= used;
		if (!call->reader.ended)
			continue;
		if (!call->skipping) {
			answer_ended(call, len > 0);
			return;
		}
		if (!call->reusable || ++call->skipped > MAX_SKIPPED) {
			call_failed(call, false);
			return;
		}
		hmsg_reader_next(&call->reader);
	}
}

static void
readable_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct hcp_call *call = watcher->data;
	char buf[READ_SIZE];
	ssize_t n;

	(void)loop;
	(void)events;
	n = recv(call->fd, buf, sizeof(buf), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (call->idle) {
		/* A close, or bytes that belong to no request. */
		call_close(call);
	} else if (n > 0) {
		call->received += (size_t)n;
		if (ev_is_active(&call->stall_timer))
			ev_timer_again(loop, &call->stall_timer);
		if (call->max_bytes > 0 && call->received > call->max_bytes)
			call_failed(call, false);
		else
			process(call, buf, (size_t)n);
	} else {
		call->reusable = false;
		/*
		 * While the request is being sent, the end of the connection
		 * may be a reset that the failed send has reported.
		 */
		if (n == 0 && call->out_done == call->out->len &&
		    hmsg_reader_finish(&call->reader) && !call->dead &&
		    call->taken)
			answer_ended(call, false);
		else
			call_failed(call, false);
	}
}

static void
send_out(struct hcp_call *call)
{
	while (call->out_done < call->out->len) {
		ssize_t n = send(call->fd, call->out->data + call->out_done,
		    call->out->len - call->out_done, MSG_NOSIGNAL);

		if (n > 0) {
			call->sent = true;
			call->out_done += (size_t)n;
			continue;
		}
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			ev_io_start(call->hcp->loop, &call->writable);
			ev_timer_stop(call->hcp->loop, &call->connect_timer);
			ev_timer_set(&call->connect_timer, SEND_STALL_S, 0.0);
			ev_timer_start(call->hcp->loop, &call->connect_timer);
			return;
		}
		/* An answer may have come before the connection failed. */
		ev_io_stop(call->hcp->loop, &call->writable);
		if (!call->sent)
			call_failed(call, false);
		return;
	}
	ev_io_stop(call->hcp->loop, &call->writable);
	ev_timer_stop(call->hcp->loop, &call->connect_timer);
	unsent_set(call, 0);
	if (call->out->len > KEPT_BUFFER) {
		/* The answer can be a long time coming. */
		(void)g_byte_array_unref(call->out);
		call->out = g_byte_array_new();
		call->out_done = 0;
	}
}

static void
probe_ended(struct hcp_call *call)
{
	const struct hcp_handler *handler = call->handler;
	void *arg = call->arg;

	ev_io_stop(call->hcp->loop, &call->writable);
	call->is_probe = false;
	call->idle_limit = DEFAULT_IDLE_MS;
	become_idle(call);
	handler->on_end(arg, HCP_COMPLETE, false);
}

static void
writable_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct hcp_call *call = watcher->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)events;
	if (!call->connected) {
		if (getsockopt(call->fd, SOL_SOCKET, SO_ERROR, &error, &len) !=
			0 ||
		    error != 0) {
			call_failed(call, false);
			return;
		}
		call->connected = true;
		ev_timer_stop(loop, &call->connect_timer);
		ev_io_start(loop, &call->readable);
	}
	if (call->is_probe)
		probe_ended(call);
	else if (!call->sent && call->may_send != NULL &&
	    !call->may_send(call->arg))
		call_failed(call, false);
	else
		send_out(call);
}

static void
timer_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct hcp_call *call = watcher->data;

	(void)loop;
	(void)events;
	call_failed(call, true);
}

static int
socket_connect(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (-1);
	tcp_prepare(fd, &server_limits);
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		0 &&
	    errno != EINPROGRESS) {
		(void)close(fd);
		return (-1);
	}
	return (fd);
}

static bool
is_same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return (a->sin_port == b->sin_port &&
	    a->sin_addr.s_addr == b->sin_addr.s_addr);
}

/* The most recently used idle connection to the address, if still open. */
static struct hcp_call *
find_idle(struct hcp *hcp, const struct hcp_request *request)
{
	struct hcp_call *next;
	double now = ev_now(hcp->loop);
	char byte;

	for (struct hcp_call *call = hcp->calls; call != NULL; call = next) {
		next = call->next;
		if (!call->idle ||
		    !is_same_address(&call->address, &request->address))
			continue;
		if (request->max_idle > 0 &&
		    (now - call->idle_since) * 1000.0 >
			(double)request->max_idle)
			continue;
		if (recv(call->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
		    errno == EAGAIN)
			return (call);
		call_close(call);
	}
	return (NULL);
}

static struct hcp_call *
connection_new(struct hcp *hcp, const struct hcp_request *request)
{
	struct hcp_call *call = g_new0(struct hcp_call, 1);

	call->hcp = hcp;
	call->address = request->address;
	call->fd = socket_connect(&request->address);
	call->out = g_byte_array_new();
	hmsg_reader_init(&call->reader, HTTP_RESPONSE, MAX_HEAD);
	call->reader.owner = call;
	call->reader.on_head = on_head;
	call->reader.on_data = on_data;
	call->reader.on_end = on_end;
	ev_io_init(&call->readable, readable_cb, call->fd, EV_READ);
	ev_io_init(&call->writable, writable_cb, call->fd, EV_WRITE);
	ev_timer_init(&call->timer, timer_cb, 0.0, 0.0);
	ev_timer_init(&call->connect_timer, timer_cb, 0.0, 0.0);
	ev_timer_init(&call->stall_timer, timer_cb, 0.0, 0.0);
	call->readable.data = call;
	call->writable.data = call;
	call->timer.data = call;
	call->connect_timer.data = call;
	call->stall_timer.data = call;
	list_push(call);
	hcp->opened++;
	return (call);
}

static void
connect_begin(struct hcp_call *call, clk_ms timeout)
{
	struct ev_loop *loop = call->hcp->loop;

	/* A failed connect() is reported from the loop, like any other. */
	if (call->fd < 0)
		timeout = 0;
	else
		ev_io_start(loop, &call->writable);
	ev_timer_set(&call->connect_timer, (double)timeout / 1000.0, 0.0);
	ev_timer_start(loop, &call->connect_timer);
}

struct hcp_call *
hcp_start(struct hcp *hcp, const struct hcp_request *request)
{
	struct hcp_call *call =
	    request->is_probe ? NULL : find_idle(hcp, request);

	if (call == NULL)
		call = connection_new(hcp, request);
	ev_timer_stop(hcp->loop, &call->timer);
	call->idle = false;
	call->taken = false;
	call->skipping = false;
	call->sent = false;
	call->reusable = false;
	call->is_probe = request->is_probe;
	call->reader.skip_body = request->is_head;
	call->handler = request->handler;
	call->may_send = request->may_send;
	call->arg = request->arg;
	call->max_bytes = request->max_bytes;
	call->received = 0;
	call->skipped = 0;
	call->out_done = 0;
	(void)g_byte_array_set_size(call->out, 0);
	if (request->head != NULL)
		(void)g_byte_array_append(call->out,
		    (const guint8 *)request->head->str,
		    (guint)request->head->len);
	if (request->body_len > 0)
		(void)g_byte_array_append(
		    call->out, request->body, (guint)request->body_len);
	unsent_set(call, call->out->len);
	if (request->timeout > 0) {
		ev_timer_set(
		    &call->timer, (double)request->timeout / 1000.0, 0.0);
		ev_timer_start(hcp->loop, &call->timer);
	}
	call->stall_timer.repeat = (double)request->stall / 1000.0;
	/* Starts it, or stops it if there is no limit. */
	ev_timer_again(hcp->loop, &call->stall_timer);
	if (!call->connected)
		connect_begin(call, request->connect_timeout);
	else
		/* Sent by the loop, so that no callback comes from here. */
		ev_io_start(hcp->loop, &call->writable);
	return (call);
}

void
hcp_cancel(struct hcp_call *call)
{
	call->handler = NULL;
	call_close(call);
}

struct hcp *
hcp_open(struct ev_loop *loop)
{
	struct hcp *hcp = g_new0(struct hcp, 1);

	hcp->loop = loop;
	ev_prepare_init(&hcp->reaper, reaper_cb);
	hcp->reaper.data = hcp;
	ev_prepare_start(loop, &hcp->reaper);
	return (hcp);
}

void
hcp_close(struct hcp *hcp)
{
	if (hcp == NULL)
		return;
	while (hcp->calls != NULL)
		call_close(hcp->calls);
	reap(hcp);
	ev_prepare_stop(hcp->loop, &hcp->reaper);
	g_free(hcp);
}

void
hcp_idle_close(struct hcp *hcp)
{
	struct hcp_call *next;

	for (struct hcp_call *call = hcp->calls; call != NULL; call = next) {
		next = call->next;
		if (call->idle)
			call_close(call);
	}
}

unsigned long
hcp_opened(const struct hcp *hcp)
{
	return (hcp->opened);
}

size_t
hcp_unsent(const struct hcp *hcp)
{
	return (hcp->unsent);
}
