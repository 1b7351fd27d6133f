#include "http/hsv.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/tcp.h"

#define LISTEN_BACKLOG 1024
#define READ_SIZE      16384
/* A peer that leaves this much of a stream unread is cut off. */
#define MAX_UNSENT ((size_t)4 << 20)
/*
 * Bytes of all answers that peers have left unread at a server without a
 * budget.  Beyond them the peer that has most is cut off.
 */
#define MAX_UNSENT_ALL ((size_t)24 << 20)
/* Bytes already sent are dropped from a buffer at this size. */
#define COMPACT_SIZE 65536
/* Period of the check for paused connections that may be read again. */
#define SWEEP_PERIOD_S 0.05
/* Time before new connections are accepted when there is no descriptor. */
#define ACCEPT_PAUSE_S 0.1
/* Retry-After of a request that did not fit, in s: callers have 1 s or more. */
#define RETRY_FIELDS "Retry-After: 0.300\r\n"
/* A buffer that was larger is freed between requests. */
#define KEPT_BUFFER 65536
/* Bytes of pipelined requests that are kept while one is handled. */
#define MAX_PENDING 65536
/* Time for a peer to read the last answer before its connection is closed. */
#define LINGER_MS 1000
/* The same if the body was not read: 4 MiB take 1.5 s at 22 Mbit/s. */
#define LINGER_BODY_MS 3000
/* Connections accepted in one turn of the loop. */
#define ACCEPT_BATCH 64
/*
 * A connection that was accepted just before a stop stays open for this time:
 * its first request is on its way.
 */
#define FIRST_REQUEST_S 0.5
/* A body that arrives more slowly, beside one idle time, is not waited for. */
#define BODY_BYTES_PER_S_MIN 256.0

/* A caller whose connection went silent is given up within 5 s. */
static const struct tcp_limits caller_limits = {5000, 2, 1, 3};

enum state {
	READING, /* between requests, or within one */
	HANDLING, /* waits for the handler's answer */
	STREAMING /* an answer in chunks has begun */
};

struct hsv_call {
	struct hsv *hsv;
	struct hsv_call *prev, *next;
	struct hmsg_reader reader;
	GByteArray *body;
	GByteArray *pending; /* read but not parsed */
	GByteArray *out;
	size_t out_done;
	struct ev_io readable;
	struct ev_io writable;
	struct ev_timer timer;
	struct intake_conn intake;
	void *arg;
	int fd;
	double opened; /* loop time */
	double head_read; /* of the current request, loop time */
	enum state state;
	bool processing; /* process_pending() is on the stack */
	bool close_after; /* this answer ends the connection */
	bool is_early; /* handled before its body was read */
	bool lingering; /* the last answer is sent; input is discarded */
	bool is_new; /* no byte of a request has been read */
	bool dead;
};

struct hsv {
	struct ev_loop *loop;
	struct hsv_limits limits;
	struct hsv_handler handler;
	hsv_refuses *refuses; /* nil: no early answers */
	struct intake *intake; /* nil: no budget */
	struct clk clk;
	struct ev_timer sweep;
	struct ev_timer accept_pause;
	unsigned long refused;
	struct ev_io acceptor;
	struct hsv_call *calls;
	struct hsv_call *closed; /* freed by the reaper */
	struct ev_prepare reaper;
	size_t count;
	size_t unsent; /* bytes in the out buffers of all calls */
	int fd;
	bool draining;
	bool stopped;
};

static void process_pending(struct hsv_call *call);

static void
call_free(struct hsv_call *call)
{
	hmsg_reader_clear(&call->reader);
	(void)g_byte_array_unref(call->body);
	(void)g_byte_array_unref(call->pending);
	(void)g_byte_array_unref(call->out);
	g_free(call);
}

static size_t
unsent(const struct hsv_call *call)
{
	return (call->out->len - call->out_done);
}

/* Report to the budget what the connection holds. */
static void
account(struct hsv_call *call)
{
	struct intake *intake = call->hsv->intake;
	const struct hmsg_head *head = &call->reader.head;
	size_t bytes;

	if (intake == NULL || call->dead)
		return;
	/* The array of fields has up to twice the size that is used. */
	bytes = head->text->allocated_len + head->target->allocated_len +
	    2 * sizeof(struct hmsg_field) * head->fields->len + call->body->len;
	if (call->state == READING && !call->reader.in_message)
		bytes = 0;
	bytes += call->pending->len;
	intake_set(intake, &call->intake, INTAKE_INPUT,
	    call->state == READING ? bytes : 0);
	intake_set(intake, &call->intake, INTAKE_REQUEST,
	    call->state == READING ? 0 : bytes);
	intake_set(intake, &call->intake, INTAKE_ANSWER, call->out->len);
}

/*
 * Close the connection.  Its memory is freed from the loop, when no callback
 * of it is on the stack.
 */
static void
call_close(struct hsv_call *call)
{
	struct hsv *hsv = call->hsv;

	if (call->dead)
		return;
	call->dead = true;
	ev_io_stop(hsv->loop, &call->readable);
	ev_io_stop(hsv->loop, &call->writable);
	ev_timer_stop(hsv->loop, &call->timer);
	(void)close(call->fd);
	hsv->unsent -= unsent(call);
	if (hsv->intake != NULL)
		intake_remove(hsv->intake, &call->intake);
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		hsv->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	call->next = hsv->closed;
	hsv->closed = call;
	hsv->count--;
}

static void
reap(struct hsv *hsv)
{
	while (hsv->closed != NULL) {
		struct hsv_call *call = hsv->closed;

		hsv->closed = call->next;
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

/* The peer is gone: tell the handler if it still works on the request. */
static void
call_lost(struct hsv_call *call)
{
	if (!call->dead && call->state != READING) {
		call->state = READING;
		call->hsv->handler.on_gone(call->hsv->handler.arg, call);
	}
	call_close(call);
}

static void
timer_set(struct hsv_call *call, clk_ms delay)
{
	ev_timer_stop(call->hsv->loop, &call->timer);
	if (delay <= 0)
		return;
	ev_timer_set(&call->timer, (double)delay / 1000.0, 0.0);
	ev_timer_start(call->hsv->loop, &call->timer);
}

/* Empty a buffer, and free its memory if it was large. */
static void
buffer_reset(GByteArray **buffer)
{
	if ((*buffer)->len <= KEPT_BUFFER) {
		(void)g_byte_array_set_size(*buffer, 0);
		return;
	}
	(void)g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
}

/* Cut off the peers that have most to read, until the others' answers fit. */
static void
unsent_limit(struct hsv *hsv)
{
	enum intake_reason reason;
	struct intake_conn *conn;

	while (hsv->intake != NULL && intake_is_unread(hsv->intake)) {
		conn = intake_victim(hsv->intake, 0, &reason);
		call_lost(conn->owner);
	}
	if (hsv->intake != NULL)
		return;
	while (hsv->calls != NULL && hsv->unsent > MAX_UNSENT_ALL) {
		struct hsv_call *most = hsv->calls;

		for (struct hsv_call *call = most->next; call != NULL;
		     call = call->next) {
			if (unsent(call) > unsent(most))
				most = call;
		}
		call_lost(most);
	}
}

/* Send what is due; return false if the connection is gone. */
static bool
flush_out(struct hsv_call *call)
{
	while (call->out_done < call->out->len) {
		ssize_t n = send(call->fd, call->out->data + call->out_done,
		    call->out->len - call->out_done, MSG_NOSIGNAL);

		if (n > 0) {
			call->out_done += (size_t)n;
			call->hsv->unsent -= (size_t)n;
			intake_received(&call->intake, (size_t)n);
			continue;
		}
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			ev_io_start(call->hsv->loop, &call->writable);
			account(call);
			return (true);
		}
		call_lost(call);
		return (false);
	}
	ev_io_stop(call->hsv->loop, &call->writable);
	buffer_reset(&call->out);
	call->out_done = 0;
	account(call);
	if (call->state == READING && call->close_after && !call->lingering) {
		/*
		 * A close while input is unread would reset the connection,
		 * and the peer could lose the answer.
		 */
		(void)shutdown(call->fd, SHUT_WR);
		call->lingering = true;
		timer_set(call, call->is_early ? LINGER_BODY_MS : LINGER_MS);
	}
	return (!call->lingering);
}

static void
put(struct hsv_call *call, const void *data, size_t len)
{
	/* A peer that reads slowly never empties the buffer. */
	if (call->out_done >= COMPACT_SIZE &&
	    call->out_done >= call->out->len / 2) {
		(void)g_byte_array_remove_range(
		    call->out, 0, (guint)call->out_done);
		call->out_done = 0;
	}
	(void)g_byte_array_append(call->out, data, (guint)len);
	call->hsv->unsent += len;
}

static void
put_head(struct hsv_call *call, int status, const char *fields)
{
	struct hsv *hsv = call->hsv;
	g_autofree char *line =
	    g_strdup_printf("HTTP/1.1 %d %s\r\n", status, hmsg_reason(status));
	char keep[64];

	if (hsv->draining || !call->reader.head.keep_alive)
		call->close_after = true;
	put(call, line, strlen(line));
	put(call, fields, strlen(fields));
	if (call->close_after) {
		put(call, "Connection: close\r\n", 19);
		return;
	}
	(void)snprintf(keep, sizeof(keep), "Keep-Alive: timeout=%lld\r\n",
	    (long long)(hsv->limits.idle_timeout / CLK_SECOND));
	put(call, keep, strlen(keep));
}

/* The answer is complete: wait for the next request. */
static void
answer_ended(struct hsv_call *call)
{
	call->state = READING;
	buffer_reset(&call->body);
	hmsg_reader_next(&call->reader);
	call->arg = NULL;
	account(call);
	if (flush_out(call) && !call->dead) {
		timer_set(call, call->hsv->limits.idle_timeout);
		/* It is stopped while too much of later requests waits. */
		ev_io_start(call->hsv->loop, &call->readable);
		if (call->pending->len > 0 && !call->processing)
			process_pending(call);
	}
	unsent_limit(call->hsv);
}

void
hsv_answer(struct hsv_call *call, int status, const char *fields,
    const void *body, size_t len)
{
	char length[48];
	bool is_head = g_strcmp0(call->reader.head.method, "HEAD") == 0;

	put_head(call, status, fields);
	(void)snprintf(
	    length, sizeof(length), "Content-Length: %zu\r\n\r\n", len);
	put(call, length, strlen(length));
	if (len > 0 && !is_head)
		put(call, body, len);
	answer_ended(call);
}

void
hsv_stream_begin(struct hsv_call *call, int status, const char *fields)
{
	put_head(call, status, fields);
	put(call, "Transfer-Encoding: chunked\r\n\r\n", 30);
	call->state = STREAMING;
}

void
hsv_stream_data(struct hsv_call *call, const void *data, size_t len)
{
	char size[24];

	if (len == 0)
		return;
	(void)snprintf(size, sizeof(size), "%zx\r\n", len);
	put(call, size, strlen(size));
	put(call, data, len);
	put(call, "\r\n", 2);
	if (unsent(call) > MAX_UNSENT)
		call_lost(call);
	else if (flush_out(call))
		unsent_limit(call->hsv);
}

bool
hsv_is_streaming(const struct hsv_call *call)
{
	return (call->state == STREAMING);
}

void
hsv_stream_end(struct hsv_call *call)
{
	put(call, "0\r\n\r\n", 5);
	answer_ended(call);
}

void
hsv_abort(struct hsv_call *call)
{
	call->state = READING;
	call_close(call);
}

/* Refuse a request that can't be read, and close. */
static void
refuse(struct hsv_call *call, int status)
{
	call->close_after = true;
	hsv_answer(call, status, status == 503 ? RETRY_FIELDS : "", "", 0);
}

static bool
has_body(const struct hmsg_reader *reader)
{
	const http_parser *parser = &reader->parser;

	return ((parser->flags & F_CHUNKED) != 0 ||
	    (parser->content_length != ULLONG_MAX &&
		parser->content_length > 0));
}

/* Let the handler answer a request whose body isn't needed. */
static void
answer_early(struct hsv_call *call)
{
	struct hsv *hsv = call->hsv;

	call->is_early = true;
	call->close_after = true;
	timer_set(call, 0);
	call->state = HANDLING;
	hsv->handler.on_request(hsv->handler.arg, call);
	/* It can't wait for anything: its body would be missing. */
	if (!call->dead && call->state != READING)
		call_lost(call);
}

static bool
is_too_long(const struct hsv_call *call)
{
	const http_parser *parser = &call->reader.parser;

	return ((parser->flags & F_CHUNKED) == 0 &&
	    parser->content_length != ULLONG_MAX &&
	    parser->content_length > call->hsv->limits.max_body);
}

static enum hmsg_next
on_head(struct hmsg_reader *reader)
{
	struct hsv_call *call = reader->owner;
	struct hsv *hsv = call->hsv;

	if (has_body(reader)) {
		if (is_too_long(call)) {
			call->is_early = true;
			refuse(call, 413);
			return (HMSG_STOP);
		}
		if (hsv->refuses != NULL &&
		    hsv->refuses(hsv->handler.arg, call)) {
			answer_early(call);
			return (HMSG_STOP);
		}
	}
	timer_set(call, call->hsv->limits.idle_timeout);
	call->head_read = ev_now(call->hsv->loop);
	if (reader->head.has_expect) {
		put(call, "HTTP/1.1 100 Continue\r\n\r\n", 25);
		if (!flush_out(call))
			return (HMSG_STOP);
	}
	return (HMSG_CONTINUE);
}

/* A byte now and then must not keep a connection for ever. */
static bool
is_body_too_slow(const struct hsv_call *call)
{
	double idle =
	    (double)call->hsv->limits.idle_timeout / (double)CLK_SECOND;
	double time = ev_now(call->hsv->loop) - call->head_read - idle;

	return (
	    time > 0 && (double)call->body->len < time * BODY_BYTES_PER_S_MIN);
}

static enum hmsg_next
on_data(struct hmsg_reader *reader, const char *data, size_t len)
{
	struct hsv_call *call = reader->owner;

	if (call->body->len + len > call->hsv->limits.max_body) {
		refuse(call, 413);
		return (HMSG_STOP);
	}
	(void)g_byte_array_append(call->body, (const guint8 *)data, (guint)len);
	if (is_body_too_slow(call)) {
		refuse(call, 408);
		return (HMSG_STOP);
	}
	timer_set(call, call->hsv->limits.idle_timeout);
	return (HMSG_CONTINUE);
}

static enum hmsg_next
on_end(struct hmsg_reader *reader)
{
	struct hsv_call *call = reader->owner;

	timer_set(call, 0);
	call->state = HANDLING;
	return (HMSG_CONTINUE);
}

/* Parse what is pending, up to the end of one request after the other. */
static void
process_pending(struct hsv_call *call)
{
	struct hsv *hsv = call->hsv;

	call->processing = true;
	while (!call->dead && call->state == READING &&
	    call->pending->len > 0 && !call->close_after && unsent(call) == 0) {
		bool begun = call->reader.in_message;
		size_t used;

		if (!hmsg_reader_execute(&call->reader,
			(const char *)call->pending->data, call->pending->len,
			&used)) {
			if (!call->dead && call->state == READING)
				refuse(call,
				    call->reader.head_too_large ? 431 : 400);
			break;
		}
		if (call->dead || call->reader.stopped)
			break;
		(void)g_byte_array_remove_range(call->pending, 0, (guint)used);
		if (!begun && hsv->intake != NULL)
			intake_begin(
			    hsv->intake, &call->intake, clk_now(&hsv->clk));
		if (!begun && call->reader.in_message && !call->reader.has_head)
			timer_set(call, hsv->limits.head_timeout);
		if (call->state == HANDLING)
			hsv->handler.on_request(hsv->handler.arg, call);
	}
	call->processing = false;
	/* Nothing more of it is read. */
	if (!call->dead && call->state == READING && call->close_after)
		buffer_reset(&call->pending);
	account(call);
}

static void
readable_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct hsv_call *call = watcher->data;
	struct hsv *hsv = call->hsv;
	char buf[READ_SIZE];
	ssize_t n;

	(void)events;
	if ((call->state != READING || unsent(call) > 0) &&
	    call->pending->len >= MAX_PENDING) {
		/* The kernel holds the rest until the answer is sent. */
		ev_io_stop(loop, watcher);
		return;
	}
	if (hsv->intake != NULL && !call->lingering &&
	    !intake_may_read(hsv->intake, &call->intake, clk_now(&hsv->clk))) {
		ev_io_stop(loop, watcher);
		return;
	}
	n = recv(call->fd, buf, sizeof(buf), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		call_lost(call);
		return;
	}
	intake_received(&call->intake, (size_t)n);
	if (call->lingering || (call->close_after && call->state == READING))
		return;
	call->is_new = false;
	(void)g_byte_array_append(call->pending, (const guint8 *)buf, (guint)n);
	if (call->state == READING)
		process_pending(call);
	account(call);
}

static void
writable_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct hsv_call *call = watcher->data;

	(void)loop;
	(void)events;
	if (!flush_out(call) || call->dead)
		return;
	ev_io_start(call->hsv->loop, &call->readable);
	/* Pipelined requests wait until the answer before them is read. */
	if (unsent(call) == 0 && call->state == READING && !call->processing)
		process_pending(call);
}

static void
timer_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct hsv_call *call = watcher->data;

	(void)loop;
	(void)events;
	if (call->reader.in_message && !call->lingering)
		refuse(call, 408);
	else
		call_close(call);
}

/* The oldest connection at which no whole request has arrived, or nil. */
static struct hsv_call *
oldest_unused(struct hsv *hsv)
{
	struct hsv_call *oldest = NULL;

	/* The list begins with the newest. */
	for (struct hsv_call *call = hsv->calls; call != NULL;
	     call = call->next) {
		if (call->lingering ||
		    (call->state == READING && call->out->len == 0 &&
			(call->reader.in_message || call->is_new)))
			oldest = call;
	}
	return (oldest);
}

static void
accept_one(struct hsv *hsv, int fd, const struct sockaddr_in *from)
{
	struct hsv_call *call;

	if (hsv->count >= hsv->limits.max_connections) {
		call = oldest_unused(hsv);
		if (call != NULL)
			call_close(call);
		hsv->refused++;
	}
	if (hsv->count >= hsv->limits.max_connections) {
		(void)close(fd);
		return;
	}
	tcp_prepare(fd, &caller_limits);
	call = g_new0(struct hsv_call, 1);
	call->hsv = hsv;
	call->fd = fd;
	call->opened = ev_now(hsv->loop);
	call->is_new = true;
	call->body = g_byte_array_new();
	call->pending = g_byte_array_new();
	call->out = g_byte_array_new();
	hmsg_reader_init(&call->reader, HTTP_REQUEST, hsv->limits.max_head);
	call->reader.owner = call;
	call->reader.on_head = on_head;
	call->reader.on_data = on_data;
	call->reader.on_end = on_end;
	ev_io_init(&call->readable, readable_cb, fd, EV_READ);
	ev_io_init(&call->writable, writable_cb, fd, EV_WRITE);
	ev_timer_init(&call->timer, timer_cb, 0.0, 0.0);
	call->readable.data = call;
	call->writable.data = call;
	call->timer.data = call;
	call->next = hsv->calls;
	if (call->next != NULL)
		call->next->prev = call;
	hsv->calls = call;
	hsv->count++;
	if (hsv->intake != NULL)
		intake_add(hsv->intake, &call->intake, call,
		    from->sin_addr.s_addr, clk_now(&hsv->clk));
	ev_io_start(hsv->loop, &call->readable);
	timer_set(call, hsv->limits.idle_timeout);
}

static void
accept_pause_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct hsv *hsv = watcher->data;

	(void)events;
	ev_io_start(loop, &hsv->acceptor);
}

/*
 * Without a descriptor the connection stays in the queue, and the listener
 * readable: the loop would spin.
 */
static void
accept_failed(struct hsv *hsv, int error)
{
	struct hsv_call *unused;

	if (hsv->stopped || (error != EMFILE && error != ENFILE))
		return;
	unused = oldest_unused(hsv);
	if (unused != NULL) {
		call_close(unused);
		hsv->refused++;
	}
	ev_io_stop(hsv->loop, &hsv->acceptor);
	ev_timer_set(&hsv->accept_pause, ACCEPT_PAUSE_S, 0.0);
	ev_timer_start(hsv->loop, &hsv->accept_pause);
}

/* Accepts up to ACCEPT_BATCH connections; returns how many. */
static int
accept_batch(struct hsv *hsv)
{
	int n;

	for (n = 0; n < ACCEPT_BATCH; n++) {
		struct sockaddr_in from = {0};
		socklen_t len = sizeof(from);
		int fd = accept4(hsv->fd, (struct sockaddr *)&from, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			accept_failed(hsv, errno);
			break;
		}
		accept_one(hsv, fd, &from);
	}
	return (n);
}

static void
accept_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	(void)accept_batch(watcher->data);
}

struct hsv *
hsv_open(struct ev_loop *loop, const struct sockaddr_in *address,
    const struct hsv_limits *limits, const struct hsv_handler *handler)
{
	struct hsv *hsv;
	int on = 1;
	int saved;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (NULL);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		saved = errno;
		(void)close(fd);
		errno = saved;
		return (NULL);
	}
	hsv = g_new0(struct hsv, 1);
	hsv->loop = loop;
	hsv->fd = fd;
	hsv->limits = *limits;
	hsv->handler = *handler;
	ev_io_init(&hsv->acceptor, accept_cb, fd, EV_READ);
	hsv->acceptor.data = hsv;
	ev_io_start(loop, &hsv->acceptor);
	ev_timer_init(&hsv->accept_pause, accept_pause_cb, 0.0, 0.0);
	hsv->accept_pause.data = hsv;
	ev_prepare_init(&hsv->reaper, reaper_cb);
	hsv->reaper.data = hsv;
	ev_prepare_start(loop, &hsv->reaper);
	return (hsv);
}

void
hsv_close(struct hsv *hsv)
{
	if (hsv == NULL)
		return;
	while (hsv->calls != NULL)
		call_close(hsv->calls);
	reap(hsv);
	ev_prepare_stop(hsv->loop, &hsv->reaper);
	ev_timer_stop(hsv->loop, &hsv->accept_pause);
	if (hsv->intake != NULL)
		ev_timer_stop(hsv->loop, &hsv->sweep);
	if (!hsv->stopped) {
		ev_io_stop(hsv->loop, &hsv->acceptor);
		(void)close(hsv->fd);
	}
	g_free(hsv);
}

/* Whether bytes of a request wait to be read. */
static bool
has_input(const struct hsv_call *call)
{
	char byte;

	return (recv(call->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0);
}

static void
victim_close(struct hsv_call *call, enum intake_reason reason)
{
	call->hsv->refused++;
	if (reason == INTAKE_UNREAD || call->state != READING) {
		call_lost(call);
		return;
	}
	/* The answer is sent at once; what arrives meanwhile is discarded. */
	call->is_early = true;
	buffer_reset(&call->pending);
	refuse(call, 503);
	if (!call->dead)
		ev_io_start(call->hsv->loop, &call->readable);
}

/* Relieve the budget, and read on where there is room again. */
static void
sweep_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct hsv *hsv = watcher->data;
	clk_ms now = clk_now(&hsv->clk);
	enum intake_reason reason;
	struct intake_conn *conn;
	size_t promised = 0;

	(void)events;
	while ((conn = intake_victim(hsv->intake, now, &reason)) != NULL) {
		/* A busy instance has not read what a caller has sent. */
		if (reason == INTAKE_STALLED && has_input(conn->owner))
			intake_window_restart(conn, now);
		else
			victim_close(conn->owner, reason);
	}
	while ((conn = intake_resume(hsv->intake, &promised, now)) != NULL) {
		struct hsv_call *call = conn->owner;

		ev_io_start(loop, &call->readable);
	}
}

void
hsv_early_set(struct hsv *hsv, hsv_refuses *refuses)
{
	hsv->refuses = refuses;
}

bool
hsv_is_early(const struct hsv_call *call)
{
	return (call->is_early);
}

void
hsv_intake_set(struct hsv *hsv, struct intake *intake, struct clk clk)
{
	hsv->intake = intake;
	hsv->clk = clk;
	ev_timer_init(&hsv->sweep, sweep_cb, SWEEP_PERIOD_S, SWEEP_PERIOD_S);
	hsv->sweep.data = hsv;
	ev_timer_start(hsv->loop, &hsv->sweep);
}

unsigned long
hsv_refused(const struct hsv *hsv)
{
	return (hsv->refused);
}

void
hsv_limits_set(struct hsv *hsv, const struct hsv_limits *limits)
{
	hsv->limits = *limits;
	for (struct hsv_call *call = hsv->calls; call != NULL;
	     call = call->next)
		call->reader.max_head = limits->max_head;
}

void
hsv_drain_set(struct hsv *hsv, bool drain)
{
	hsv->draining = drain;
}

/* Whether nothing of a request, nor of an answer, is under way. */
static bool
is_idle(const struct hsv_call *call)
{
	return (call->state == READING && !call->reader.in_message &&
	    call->pending->len == 0 && call->out->len == 0 && !has_input(call));
}

static bool
expects_first_request(const struct hsv_call *call)
{
	return (call->is_new &&
	    ev_now(call->hsv->loop) - call->opened < FIRST_REQUEST_S);
}

void
hsv_stop(struct hsv *hsv)
{
	struct hsv_call *next;

	if (!hsv->stopped) {
		/* Those that wait to be accepted would be reset. */
		while (accept_batch(hsv) == ACCEPT_BATCH)
			continue;
		ev_io_stop(hsv->loop, &hsv->acceptor);
		ev_timer_stop(hsv->loop, &hsv->accept_pause);
		(void)close(hsv->fd);
		hsv->stopped = true;
	}
	for (struct hsv_call *call = hsv->calls; call != NULL; call = next) {
		next = call->next;
		if (is_idle(call) && !expects_first_request(call))
			call_close(call);
	}
}

size_t
hsv_active(const struct hsv *hsv)
{
	size_t active = 0;

	for (const struct hsv_call *call = hsv->calls; call != NULL;
	     call = call->next) {
		if (call->lingering)
			continue;
		/* hsv_stop() leaves open what may bring a request. */
		if (hsv->stopped || call->state != READING ||
		    call->out->len > 0 || call->reader.in_message)
			active++;
	}
	return (active);
}

size_t
hsv_unsent(const struct hsv *hsv)
{
	return (hsv->unsent);
}

const struct hmsg_head *
hsv_head(const struct hsv_call *call)
{
	return (&call->reader.head);
}

const GByteArray *
hsv_body(const struct hsv_call *call)
{
	return (call->body);
}

void
hsv_arg_set(struct hsv_call *call, void *arg)
{
	call->arg = arg;
}

void *
hsv_arg(const struct hsv_call *call)
{
	return (call->arg);
}
