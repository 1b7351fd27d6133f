/*
 * The HTTP server and client against each other on one loop: replies at once,
 * later and in parts, a caller that leaves, and the client's statement about
 * whether a request may have run.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/hcl.h"
#include "lib/web.h"

struct fixture {
	struct ev_loop *loop;
	struct web *web;
	struct hcl *hcl;
	struct web_req *held;
	bool gone;
	bool done;
	struct hcl_result result;
	GString *body;
	int head_status;
	int parts;
	int drops; /* requests on /drop so far */
};

static void
on_gone(void *arg)
{
	struct fixture *f = arg;

	f->gone = true;
	web_reply(f->held, 200, "text/plain", "", 0);
	f->held = NULL;
	ev_break(f->loop, EVBREAK_ALL);
}

static void
on_part(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fixture *f = timer->data;

	(void)events;
	if (f->parts-- > 0) {
		web_stream_write(f->held, "part.", 5);
		return;
	}
	ev_timer_stop(loop, timer);
	g_free(timer);
	web_stream_end(f->held);
}

static void
stream_later(struct fixture *f, struct web_req *req)
{
	ev_timer *timer = g_new0(ev_timer, 1);

	f->held = req;
	f->parts = 3;
	web_stream_begin(req, 201, "text/plain");
	ev_timer_init(timer, on_part, 0.01, 0.01);
	timer->data = f;
	ev_timer_start(f->loop, timer);
}

static void
on_request(struct web_req *req, void *arg)
{
	struct fixture *f = arg;
	size_t len;
	const char *body = web_body(req, &len);

	if (strcmp(web_path(req), "/echo") == 0) {
		web_header_add(req, "X-Method", web_method(req));
		web_reply(req, 200, "text/plain", body, len);
	} else if (strcmp(web_path(req), "/stream") == 0) {
		stream_later(f, req);
	} else if (strcmp(web_path(req), "/hold") == 0) {
		f->held = req;
		web_on_gone(req, on_gone, f);
	} else if (strcmp(web_path(req), "/idle") == 0) {
		f->held = req;
		web_stream_begin(req, 200, "text/plain");
		web_stream_write(req, "half", 4);
	} else if (strcmp(web_path(req), "/cut") == 0) {
		web_stream_begin(req, 200, "text/plain");
		web_stream_write(req, "half", 4);
		web_stream_abort(req);
	} else if (strcmp(web_path(req), "/drop") == 0) {
		f->drops++;
		web_drop(req);
	}
}

static void
fixture_open(struct fixture *f, gconstpointer unused)
{
	struct web_options options = {
	    .address = "127.0.0.1", .max_body = 1000, .max_connections = 16};
	char *error = NULL;

	(void)unused;
	f->loop = ev_loop_new(0);
	f->web = web_open(f->loop, &options, on_request, f, &error);
	g_assert_nonnull(f->web);
	f->hcl = hcl_open(f->loop);
	f->body = g_string_new(NULL);
}

static void
fixture_close(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	hcl_close(f->hcl);
	web_close(f->web);
	g_string_free(f->body, TRUE);
	ev_loop_destroy(f->loop);
}

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct fixture *f = arg;

	f->done = true;
	f->result = *result;
	if (result->body_len > 0)
		g_string_append_len(
		    f->body, result->body, (gssize)result->body_len);
	ev_break(f->loop, EVBREAK_ALL);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
run_loop(struct fixture *f)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timeout, 20.0, 0.0);
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &timer);
}

/* Lets the server's side of a connection end. */
static void
run_briefly(struct fixture *f)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timeout, 0.1, 0.0);
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &timer);
}

static void
fetch(struct fixture *f, uint16_t port, const char *path, const char *body,
    clk_ms idle_timeout)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%u%s", (unsigned)port, path);
	struct hcl_request request = {.method = body != NULL ? "POST" : "GET",
	    .url = url,
	    .body = body,
	    .body_len = body != NULL ? strlen(body) : 0,
	    .idle_timeout = idle_timeout,
	    .on_done = on_done,
	    .arg = f};

	f->done = false;
	(void)hcl_start(f->hcl, &request);
	run_loop(f);
	g_assert_true(f->done);
}

static void
test_echo(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	fetch(f, web_port(f->web), "/echo", "hello", 0);
	g_assert_cmpint(f->result.sent, ==, HCL_REPLIED);
	g_assert_cmpint(f->result.status, ==, 200);
	g_assert_cmpstr(f->body->str, ==, "hello");
	g_assert_cmpuint(web_active(f->web), ==, 0);
}

static void
test_stream(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	fetch(f, web_port(f->web), "/stream", NULL, 0);
	g_assert_cmpint(f->result.status, ==, 201);
	g_assert_cmpstr(f->body->str, ==, "part.part.part.");
}

/* Guards against an answer that stops half way passing for a whole one. */
static void
test_cut_stream_is_reported(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	fetch(f, web_port(f->web), "/cut", NULL, 0);
	g_assert_cmpint(f->result.sent, ==, HCL_MAYBE_SENT);
	g_assert_true(f->result.cut);
}

/* Guards against unbounded memory for a request body. */
static void
test_large_body_is_refused(struct fixture *f, gconstpointer unused)
{
	g_autofree char *body = g_strnfill(5000, 'x');

	(void)unused;
	fetch(f, web_port(f->web), "/echo", body, 0);
	g_assert_cmpint(f->result.status, ==, 413);
	g_assert_nonnull(strstr(f->body->str, "body_too_large"));
}

/* Guards against unbounded memory for the head of a request. */
static void
test_large_header_is_refused(struct fixture *f, gconstpointer unused)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/echo", (unsigned)web_port(f->web));
	g_autofree char *value = g_strnfill(100000, 'x');
	g_autofree char *header = g_strconcat("X-Large: ", value, NULL);
	const char *const headers[] = {header, NULL};
	struct hcl_request request = {.method = "GET",
	    .url = url,
	    .headers = headers,
	    .on_done = on_done,
	    .arg = f};

	(void)unused;
	(void)hcl_start(f->hcl, &request);
	run_loop(f);
	g_assert_true(f->done);
	/* The server may close the connection before all of it is sent. */
	if (f->result.sent == HCL_REPLIED) {
		g_assert_cmpint(f->result.status, >=, 400);
		g_assert_cmpint(f->result.status, <, 500);
	}
	g_assert_cmpuint(web_active(f->web), ==, 0);
	fetch(f, web_port(f->web), "/echo", "hello", 0);
	g_assert_cmpint(f->result.status, ==, 200);
}

/* Guards against a call that goes on for a caller that has left. */
static void
test_caller_leaves(struct fixture *f, gconstpointer unused)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(web_port(f->web))};
	static const char text[] = "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n";

	(void)unused;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(write(fd, text, sizeof(text) - 1), >, 0);
	for (int i = 0; i < 1000 && f->held == NULL; i++)
		ev_run(f->loop, EVRUN_ONCE);
	g_assert_nonnull(f->held);
	(void)close(fd);
	run_loop(f);
	g_assert_true(f->gone);
	g_assert_cmpuint(web_active(f->web), ==, 0);
}

/* A refused connection is the only failure that proves nothing ran. */
static void
test_refused_is_not_sent(struct fixture *f, gconstpointer unused)
{
	uint16_t port = web_port(f->web);

	(void)unused;
	web_close(f->web);
	f->web = NULL;
	fetch(f, port, "/echo", "x", 0);
	g_assert_cmpint(f->result.sent, ==, HCL_NOT_SENT);
}

/* A server that takes a request and stays silent may have run it. */
static void
test_silence_is_maybe_sent(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	fetch(f, web_port(f->web), "/hold", "x", 300);
	g_assert_cmpint(f->result.sent, ==, HCL_MAYBE_SENT);
	g_assert_true(f->result.timed_out);
	run_loop(f);
	g_assert_true(f->gone);
}

/*
 * Guards against a second run of a request: libcurl repeats a request whose
 * reused connection closes without a reply.
 */
static void
test_dropped_request_is_sent_once(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	fetch(f, web_port(f->web), "/echo", "x", 0);
	g_assert_cmpint(f->result.sent, ==, HCL_REPLIED);
	fetch(f, web_port(f->web), "/drop", "x", 0);
	g_assert_cmpint(f->result.sent, ==, HCL_MAYBE_SENT);
	g_assert_false(f->result.timed_out);
	g_assert_cmpint(f->drops, ==, 1);
	g_assert_cmpuint(web_active(f->web), ==, 0);
}

/* A server that sends a text on each connection and breaks it off. */
struct raw_server {
	int fd;
	uint16_t port;
	const char *text;
	bool is_reset;
	struct ev_io acceptor;
	struct ev_timer later;
	int connection;
};

static void
raw_close_cb(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct raw_server *server = timer->data;
	const struct linger now = {1, 0};

	(void)loop;
	(void)events;
	if (server->is_reset)
		g_assert_cmpint(setsockopt(server->connection, SOL_SOCKET,
				    SO_LINGER, &now, sizeof(now)),
		    ==, 0);
	(void)close(server->connection);
}

static void
raw_accept_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct raw_server *server = watcher->data;
	char buf[4096];

	(void)events;
	server->connection = accept(server->fd, NULL, NULL);
	g_assert_cmpint(server->connection, >=, 0);
	g_assert_cmpint(recv(server->connection, buf, sizeof(buf), 0), >, 0);
	g_assert_cmpint(send(server->connection, server->text,
			    strlen(server->text), MSG_NOSIGNAL),
	    ==, strlen(server->text));
	ev_timer_set(&server->later, 0.05, 0.0);
	ev_timer_start(loop, &server->later);
}

static void
raw_open(struct raw_server *server, struct ev_loop *loop)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
	    bind(server->fd, (struct sockaddr *)&address, len), ==, 0);
	g_assert_cmpint(listen(server->fd, 4), ==, 0);
	g_assert_cmpint(
	    getsockname(server->fd, (struct sockaddr *)&address, &len), ==, 0);
	server->port = ntohs(address.sin_port);
	ev_io_init(&server->acceptor, raw_accept_cb, server->fd, EV_READ);
	server->acceptor.data = server;
	ev_io_start(loop, &server->acceptor);
	ev_timer_init(&server->later, raw_close_cb, 0.0, 0.0);
	server->later.data = server;
}

#define LONG_BODY ((size_t)8 << 20)

/*
 * Guards against answers that are none, or a part of one, and that count as
 * answers: a status that is none, a head that is cut, a body without a length
 * that ends with a reset, also while the request is being sent.
 */
static void
test_odd_answers(struct fixture *f, gconstpointer unused)
{
	static const char *const texts[] = {
	    "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nhello",
	    "HTTP/1.1 000 Odd\r\n\r\nhello",
	    "HTTP/1.1 042 Odd\r\nContent-Length: 5\r\n\r\nhello",
	    "HTTP/1.1 700 Odd\r\nConnection: close\r\n\r\nhello",
	    "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Ty",
	    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part",
	    /* The next one is whole if it ends with a close. */
	    "HTTP/1.1 200 OK\r\n\r\na part"};
	g_autofree char *body = g_strnfill(LONG_BODY, 'x');
	struct raw_server server = {.fd = -1};

	(void)unused;
	raw_open(&server, f->loop);
	for (size_t i = 0; i < 4 * G_N_ELEMENTS(texts); i++) {
		bool is_long = i % 2 == 0;
		bool is_last;

		server.text = texts[i / 4];
		server.is_reset = i / 2 % 2 == 0;
		is_last = i / 4 + 1 == G_N_ELEMENTS(texts);
		if (is_last && !server.is_reset && !is_long)
			continue;
		fetch(f, server.port, "/", is_long ? body : "x", 0);
		g_assert_cmpint(f->result.sent, ==, HCL_MAYBE_SENT);
		run_briefly(f);
	}
	ev_io_stop(f->loop, &server.acceptor);
	(void)close(server.fd);
}

/*
 * Guards against a planned stop that ends with SIGABRT because a request, for
 * example an operator's change that waits for the log, is still in progress.
 */
static void
test_close_with_request(struct fixture *f, gconstpointer path)
{
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u%s",
	    (unsigned)web_port(f->web), (const char *)path);
	struct hcl_request request = {
	    .method = "GET", .url = url, .on_done = on_done, .arg = f};

	(void)hcl_start(f->hcl, &request);
	while (f->held == NULL)
		ev_run(f->loop, EVRUN_ONCE);
	web_close(f->web);
	f->web = NULL;
	run_loop(f);
	g_assert_true(f->done);
	g_assert_cmpint(f->result.sent, ==, HCL_MAYBE_SENT);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) \
	g_test_add( \
	    name, struct fixture, NULL, fixture_open, test, fixture_close)
	ADD("/web/echo", test_echo);
	ADD("/web/stream", test_stream);
	ADD("/web/cut-stream-is-reported", test_cut_stream_is_reported);
	ADD("/web/large-body-is-refused", test_large_body_is_refused);
	ADD("/web/large-header-is-refused", test_large_header_is_refused);
	ADD("/web/odd-answers", test_odd_answers);
	ADD("/web/caller-leaves", test_caller_leaves);
	ADD("/web/refused-is-not-sent", test_refused_is_not_sent);
	ADD("/web/silence-is-maybe-sent", test_silence_is_maybe_sent);
	ADD("/web/dropped-request-is-sent-once",
	    test_dropped_request_is_sent_once);
	g_test_add("/web/close-with-request-held", struct fixture, "/hold",
	    fixture_open, test_close_with_request, fixture_close);
	g_test_add("/web/close-with-stream-open", struct fixture, "/idle",
	    fixture_open, test_close_with_request, fixture_close);
	return (g_test_run());
}
