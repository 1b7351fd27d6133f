/*
 * The HTTP server and the client pool against raw sockets that misbehave.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/hcp.h"
#include "http/hsv.h"

#define RUN_MS 1500

struct fixture {
	struct ev_loop *loop;
	struct hsv *hsv;
	struct sockaddr_in address;
	struct hsv_call *held; /* answered by the test */
	unsigned requests;
	unsigned gone;
	GString *bodies;
	bool hold;
};

static struct sockaddr_in
loopback(void)
{
	return ((struct sockaddr_in){
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)});
}

static int
listen_any(struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	*address = loopback();
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)address, sizeof(*address)), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)address, &len), ==, 0);
	g_assert_cmpint(listen(fd, 16), ==, 0);
	return (fd);
}

static void
turn(struct ev_loop *loop, int ms)
{
	for (int i = 0; i < ms; i++) {
		(void)ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static void
on_request(void *arg, struct hsv_call *call)
{
	struct fixture *f = arg;
	const GByteArray *body = hsv_body(call);

	f->requests++;
	g_string_append_len(
	    f->bodies, (const char *)body->data, (gssize)body->len);
	if (f->hold)
		f->held = call;
	else
		hsv_answer(call, 200, "", "yes", 3);
}

static void
on_gone(void *arg, struct hsv_call *call)
{
	struct fixture *f = arg;

	(void)call;
	f->gone++;
	f->held = NULL;
}

static void
setup(struct fixture *f, gconstpointer data)
{
	const struct hsv_limits limits = {1024, 4096, 200, 400, 100};
	const struct hsv_handler handler = {on_request, on_gone, f};
	int fd;

	(void)data;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->bodies = g_string_new(NULL);
	/* A port that was free a moment ago. */
	fd = listen_any(&f->address);
	(void)close(fd);
	f->hsv = hsv_open(f->loop, &f->address, &limits, &handler);
	g_assert_nonnull(f->hsv);
}

static void
teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	hsv_close(f->hsv);
	g_string_free(f->bodies, TRUE);
	ev_loop_destroy(f->loop);
}

static int
dial(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)address, sizeof(*address)), ==,
	    0);
	return (fd);
}

static void
put(int fd, const char *text)
{
	g_assert_cmpint(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), ==, strlen(text));
}

/* What arrives until the peer closes or the time is over. */
static char *
take(struct fixture *f, int fd, int ms)
{
	GString *out = g_string_new(NULL);
	char buf[4096];

	for (int i = 0; i < ms; i++) {
		ssize_t n;

		turn(f->loop, 1);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		if (n > 0)
			g_string_append_len(out, buf, n);
	}
	return (g_string_free(out, FALSE));
}

static unsigned
count(const char *text, const char *part)
{
	unsigned n = 0;

	while ((text = strstr(text, part)) != NULL) {
		n++;
		text++;
	}
	return (n);
}

/* Bodies with a length, in chunks, and three requests in one packet. */
static void
test_bodies(struct fixture *f, gconstpointer data)
{
	int fd = dial(&f->address);
	g_autofree char *text = NULL;

	(void)data;
	put(fd,
	    "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	    "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
	    "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
	text = take(f, fd, 100);
	g_assert_cmpuint(count(text, "HTTP/1.1 200 OK"), ==, 3);
	g_assert_cmpstr(f->bodies->str, ==, "abcdef");
	(void)close(fd);
}

/* A body that is declared too long is refused before any of it is sent. */
static void
test_too_long(struct fixture *f, gconstpointer data)
{
	int fd = dial(&f->address);
	g_autofree char *text = NULL;

	(void)data;
	put(fd, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n");
	text = take(f, fd, 100);
	g_assert_cmpuint(count(text, "HTTP/1.1 413 "), ==, 1);
	g_assert_cmpuint(f->requests, ==, 0);
	(void)close(fd);
}

static bool
refuses_all(void *arg, struct hsv_call *call)
{
	(void)arg;
	(void)call;
	return (true);
}

/*
 * Guards against a request that is handled without its body: a handler that
 * does not answer at once is told that its caller has gone.
 */
static void
test_early(struct fixture *f, gconstpointer data)
{
	static const char request[] = "POST /1 HTTP/1.1\r\nHost: h\r\n"
				      "Content-Length: 3000\r\n\r\nabc";
	int fd = dial(&f->address);
	g_autofree char *text = NULL;
	g_autofree char *none = NULL;

	(void)data;
	hsv_early_set(f->hsv, refuses_all);
	put(fd, request);
	text = take(f, fd, 100);
	g_assert_cmpuint(count(text, "HTTP/1.1 200 OK"), ==, 1);
	g_assert_cmpuint(count(text, "Connection: close"), ==, 1);
	g_assert_cmpuint(f->gone, ==, 0);
	(void)close(fd);
	f->hold = true;
	fd = dial(&f->address);
	put(fd, request);
	none = take(f, fd, 100);
	g_assert_cmpstr(none, ==, "");
	g_assert_cmpuint(f->gone, ==, 1);
	(void)close(fd);
}

/*
 * Guards against a loop that spins while a connection waits and there is no
 * descriptor for it; it is accepted when there is one.
 */
static void
test_no_descriptor(struct fixture *f, gconstpointer data)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int next = dup(fd);
	struct rlimit before;
	struct rlimit none;
	g_autofree char *text = NULL;
	int accepts = 0;

	(void)data;
	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &before), ==, 0);
	(void)close(next);
	none = (struct rlimit){(rlim_t)next, before.rlim_max};
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &none), ==, 0);
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&f->address, sizeof(f->address)), ==,
	    0);
	/* Each turn of the loop waits for something to happen. */
	for (double until = ev_time() + 0.35; ev_time() < until; accepts++)
		(void)ev_run(f->loop, EVRUN_ONCE);
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &before), ==, 0);
	g_assert_cmpint(accepts, <, 50);
	put(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	text = take(f, fd, 300);
	g_assert_cmpuint(count(text, "HTTP/1.1 200 OK"), ==, 1);
	(void)close(fd);
}

/*
 * Guards against answers that were read and stay in memory, because their
 * reader is always a little behind.
 */
static void
test_reader_behind(struct fixture *f, gconstpointer data)
{
	const struct intake_limits limits = intake_limits_of(0);
	struct intake *intake = intake_open(&limits);
	g_autofree char *block = g_strnfill(65536, 'x');
	g_autofree char *buf = g_malloc(65536);
	size_t peak = 0;
	int size = 16384;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	(void)data;
	hsv_intake_set(f->hsv, intake, clk_monotonic());
	/* With larger buffers the kernel could take all at once. */
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&f->address, sizeof(f->address)), ==,
	    0);
	f->hold = true;
	put(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(f->loop, 20);
	g_assert_nonnull(f->held);
	hsv_stream_begin(f->held, 200, "");
	for (int i = 0; i < 600; i++) {
		hsv_stream_data(f->held, block, 65536);
		g_assert_nonnull(f->held);
		while (hsv_unsent(f->hsv) > ((size_t)3 << 20)) {
			(void)recv(fd, buf, 65536, MSG_DONTWAIT);
			turn(f->loop, 1);
		}
		peak = MAX(peak, intake_held(intake, INTAKE_ANSWER));
	}
	g_assert_cmpuint(peak, >, 3 << 20);
	/* Twice what is unread. */
	g_assert_cmpuint(peak, <, 8 << 20);
	(void)close(fd);
	hsv_close(f->hsv);
	f->hsv = NULL;
	g_assert_cmpuint(intake_total(intake), ==, 0);
	intake_close(intake);
}

/* Guards against a request that is smuggled inside another one. */
static void
test_smuggled(struct fixture *f, gconstpointer data)
{
	static const char *const requests[] = {
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n"
	    "Host: h\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Content-Length: 4\r\n\r\nabcd",
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
	    "GET / HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n",
	    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx",
	    "\x16\x03\x01",
	};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		int fd = dial(&f->address);
		g_autofree char *text = NULL;

		put(fd, requests[i]);
		text = take(f, fd, 1500);
		g_test_message("request %zu: %s", i, text);
		g_assert_true(g_str_has_prefix(text, "HTTP/1.1 400"));
		(void)close(fd);
	}
	g_assert_cmpuint(f->requests, ==, 0);
}

static void
test_limits(struct fixture *f, gconstpointer data)
{
	g_autofree char *filler = g_strnfill(5000, 'x');
	g_autofree char *long_head = g_strdup_printf(
	    "GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", filler);
	g_autofree char *long_body = g_strdup_printf(
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n%s",
	    filler);
	const struct {
		const char *request, *status;
	} cases[] = {
	    {long_head, "HTTP/1.1 431"},
	    {long_body, "HTTP/1.1 413"},
	    {"GET / HTTP/1.1\r\nHost", "HTTP/1.1 408"},
	};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int fd = dial(&f->address);
		g_autofree char *text = NULL;

		put(fd, cases[i].request);
		text = take(f, fd, 1500);
		g_assert_true(g_str_has_prefix(text, cases[i].status));
		(void)close(fd);
	}
	g_assert_cmpuint(f->requests, ==, 0);
}

/*
 * Guards against a head within its limit that is refused because it arrives
 * byte by byte.
 */
static void
test_slow_head(struct fixture *f, gconstpointer data)
{
	g_autofree char *name = g_strnfill(900, 'x');
	g_autofree char *request =
	    g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\n%s: 1\r\n\r\n", name);
	int fd = dial(&f->address);
	g_autofree char *text = NULL;

	(void)data;
	for (const char *at = request; *at != '\0'; at++) {
		g_assert_cmpint(send(fd, at, 1, MSG_NOSIGNAL), ==, 1);
		(void)ev_run(f->loop, EVRUN_NOWAIT);
	}
	text = take(f, fd, 100);
	g_assert_true(g_str_has_prefix(text, "HTTP/1.1 200"));
	(void)close(fd);
}

/* Sends a body in pieces with pauses of 50 ms; returns the answer. */
static char *
body_send(struct fixture *f, size_t piece)
{
	g_autofree char *filler = g_strnfill(piece, 'x');
	int fd = dial(&f->address);
	char *text;

	put(fd, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
	for (size_t sent = 0; sent < 1000 && sent < 40 * piece; sent += piece) {
		if (send(fd, filler, piece, MSG_NOSIGNAL) < 0)
			break;
		turn(f->loop, 50);
	}
	text = take(f, fd, 100);
	(void)close(fd);
	return (text);
}

/*
 * Guards against a body that a byte now and then keeps open for ever, and
 * against one that is cut although it comes on, slowly.
 */
static void
test_slow_body(struct fixture *f, gconstpointer data)
{
	g_autofree char *stalled = body_send(f, 1);
	g_autofree char *slow = body_send(f, 25);

	(void)data;
	g_assert_true(g_str_has_prefix(stalled, "HTTP/1.1 408"));
	g_assert_true(g_str_has_prefix(slow, "HTTP/1.1 200"));
}

#define SLOW_PEERS 24
/* Bytes that no peer reads of its answer, and in one piece of it. */
#define SLOW_ANSWER ((size_t)5 << 20)
#define SLOW_PIECE  65536
#define UNSENT_MAX  ((size_t)24 << 20)

/*
 * Guards against a server that runs out of memory because many peers leave
 * their answers unread, each less than would cut it off alone.  An answer that
 * is read goes on.
 */
static void
test_unsent(struct fixture *f, gconstpointer data)
{
	struct hsv_call *calls[SLOW_PEERS + 1];
	int fds[SLOW_PEERS + 1];
	g_autofree char *piece = g_strnfill(SLOW_PIECE, 'x');
	g_autofree char *text = NULL;
	unsigned gone;

	(void)data;
	f->hold = true;
	for (int i = 0; i <= SLOW_PEERS; i++) {
		fds[i] = dial(&f->address);
		put(fds[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		f->held = NULL;
		turn(f->loop, 20);
		g_assert_nonnull(f->held);
		calls[i] = f->held;
		hsv_stream_begin(calls[i], 200, "");
	}
	for (int i = 0; i < SLOW_PEERS; i++) {
		gone = f->gone;
		for (size_t sent = 0; sent < SLOW_ANSWER && f->gone == gone;
		     sent += SLOW_PIECE) {
			hsv_stream_data(calls[i], piece, SLOW_PIECE);
			g_assert_cmpuint(hsv_unsent(f->hsv), <=, UNSENT_MAX);
		}
	}
	g_assert_cmpuint(f->gone, >, 0);
	hsv_stream_data(calls[SLOW_PEERS], "part", 4);
	hsv_stream_end(calls[SLOW_PEERS]);
	text = take(f, fds[SLOW_PEERS], 100);
	g_assert_nonnull(strstr(text, "4\r\npart\r\n0\r\n\r\n"));
	for (int i = 0; i <= SLOW_PEERS; i++)
		(void)close(fds[i]);
}

/* Guards against work for a caller that has left. */
static void
test_caller_leaves(struct fixture *f, gconstpointer data)
{
	int fd = dial(&f->address);

	(void)data;
	f->hold = true;
	put(fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(f->loop, 20);
	g_assert_nonnull(f->held);
	(void)close(fd);
	turn(f->loop, 20);
	g_assert_cmpuint(f->gone, ==, 1);
}

/* Guards against a broken stream that looks complete. */
static void
test_abort(struct fixture *f, gconstpointer data)
{
	int fd = dial(&f->address);
	g_autofree char *text = NULL;

	(void)data;
	f->hold = true;
	put(fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(f->loop, 20);
	hsv_stream_begin(f->held, 200, "");
	hsv_stream_data(f->held, "part", 4);
	turn(f->loop, 5);
	hsv_abort(f->held);
	text = take(f, fd, 100);
	g_assert_nonnull(strstr(text, "4\r\npart\r\n"));
	g_assert_null(strstr(text, "0\r\n\r\n"));
	(void)close(fd);
}

/* While draining, an answer announces the end of its connection. */
static void
test_drain(struct fixture *f, gconstpointer data)
{
	int fd = dial(&f->address);
	g_autofree char *text = NULL;

	(void)data;
	hsv_drain_set(f->hsv, true);
	put(fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	text = take(f, fd, 1500);
	g_assert_nonnull(strstr(text, "Connection: close"));
	g_assert_true(g_str_has_suffix(text, "yes"));
	g_assert_cmpuint(hsv_active(f->hsv), ==, 0);
	(void)close(fd);
}

/* Sends a request, unless it is sent, and expects its answer and the close. */
static void
expect_last_answer(struct fixture *f, int fd, bool is_sent)
{
	g_autofree char *text = NULL;

	if (!is_sent)
		put(fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	text = take(f, fd, 1500);
	g_assert_true(g_str_has_prefix(text, "HTTP/1.1 200"));
	g_assert_nonnull(strstr(text, "Connection: close"));
	(void)close(fd);
}

/*
 * Guards against a planned stop that cuts off requests which have just
 * arrived: on a kept connection, on one that waits to be accepted, and the
 * first one of a connection that has been accepted.  Idle connections are
 * closed, and those that bring nothing after a while.
 */
static void
test_stop(struct fixture *f, gconstpointer data)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	int kept = dial(&f->address);
	int idle = dial(&f->address);
	int waiting, accepted, unused;
	char buf[4096];

	(void)data;
	put(kept, request);
	put(idle, request);
	turn(f->loop, 20);
	g_assert_cmpint(recv(kept, buf, sizeof(buf), 0), >, 0);
	g_assert_cmpint(recv(idle, buf, sizeof(buf), 0), >, 0);
	hsv_drain_set(f->hsv, true);
	accepted = dial(&f->address);
	unused = dial(&f->address);
	turn(f->loop, 20);
	waiting = dial(&f->address);
	put(waiting, request);
	put(kept, request);
	hsv_stop(f->hsv);
	g_assert_cmpuint(hsv_active(f->hsv), ==, 4);
	expect_last_answer(f, kept, true);
	expect_last_answer(f, waiting, true);
	expect_last_answer(f, accepted, false);
	g_assert_cmpint(recv(idle, buf, sizeof(buf), MSG_DONTWAIT), ==, 0);
	turn(f->loop, 600);
	hsv_stop(f->hsv);
	turn(f->loop, 20);
	g_assert_cmpuint(hsv_active(f->hsv), ==, 0);
	g_assert_cmpint(recv(unused, buf, sizeof(buf), MSG_DONTWAIT), ==, 0);
	(void)close(idle);
	(void)close(unused);
}

/* ---- The client ---- */

struct outcome {
	GString *body;
	enum hcp_end end;
	unsigned ends;
	unsigned heads;
	const char *skip; /* X-Id of answers to skip */
};

static enum hcp_take
on_head(void *arg, const struct hmsg_head *head)
{
	struct outcome *outcome = arg;
	const char *id = hmsg_find(head, "X-Id");

	if (outcome->skip != NULL && g_strcmp0(id, outcome->skip) == 0)
		return (HCP_SKIP);
	outcome->heads++;
	return (HCP_TAKE);
}

static void
on_data(void *arg, const char *data, size_t len)
{
	struct outcome *outcome = arg;

	g_string_append_len(outcome->body, data, (gssize)len);
}

static void
on_end(void *arg, enum hcp_end end, bool timed_out)
{
	struct outcome *outcome = arg;

	(void)timed_out;
	outcome->end = end;
	outcome->ends++;
}

static const struct hcp_handler client_handler = {on_head, on_data, on_end};

struct client {
	struct ev_loop *loop;
	struct hcp *hcp;
	struct sockaddr_in address;
	struct outcome outcome;
	GString *head;
	int listener;
};

static void
client_setup(struct client *c, gconstpointer data)
{
	(void)data;
	c->loop = ev_loop_new(EVFLAG_AUTO);
	c->hcp = hcp_open(c->loop);
	c->listener = listen_any(&c->address);
	c->outcome.body = g_string_new(NULL);
	c->head = g_string_new("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void
client_teardown(struct client *c, gconstpointer data)
{
	(void)data;
	hcp_close(c->hcp);
	(void)close(c->listener);
	g_string_free(c->outcome.body, TRUE);
	g_string_free(c->head, TRUE);
	ev_loop_destroy(c->loop);
}

static struct hcp_call *
start(struct client *c, const char *body, size_t len)
{
	const struct hcp_request request = {
	    .address = c->address,
	    .head = c->head,
	    .body = body,
	    .body_len = len,
	    .connect_timeout = 500,
	    .timeout = 1000,
	    .handler = &client_handler,
	    .arg = &c->outcome,
	};

	c->outcome.ends = 0;
	c->outcome.heads = 0;
	g_string_truncate(c->outcome.body, 0);
	return (hcp_start(c->hcp, &request));
}

static int
take_connection(struct client *c)
{
	int fd;

	turn(c->loop, 10);
	fd = accept4(c->listener, NULL, NULL, 0);
	g_assert_cmpint(fd, >=, 0);
	turn(c->loop, 10);
	return (fd);
}

static bool
has_connection(struct client *c)
{
	fd_set set;
	struct timeval none = {0, 0};

	turn(c->loop, 20);
	FD_ZERO(&set);
	FD_SET(c->listener, &set);
	return (select(c->listener + 1, &set, NULL, NULL, &none) == 1);
}

static void
drain_request(int fd)
{
	char buf[4096];

	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
}

#define OK_5 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

static void
test_reuse(struct client *c, gconstpointer data)
{
	int fd;

	(void)data;
	(void)start(c, NULL, 0);
	fd = take_connection(c);
	for (int i = 0; i < 2; i++) {
		drain_request(fd);
		put(fd, OK_5);
		turn(c->loop, 20);
		g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
		g_assert_cmpstr(c->outcome.body->str, ==, "hello");
		if (i == 0)
			(void)start(c, NULL, 0);
		turn(c->loop, 10);
	}
	g_assert_false(has_connection(c));
	(void)close(fd);
}

/* Guards against a silent second send on a reused connection that died. */
static void
test_reused_dies(struct client *c, gconstpointer data)
{
	int fd;

	(void)data;
	(void)start(c, NULL, 0);
	fd = take_connection(c);
	drain_request(fd);
	put(fd, OK_5);
	turn(c->loop, 20);
	(void)start(c, NULL, 0);
	turn(c->loop, 10);
	drain_request(fd);
	(void)close(fd);
	turn(c->loop, 20);
	g_assert_cmpuint(c->outcome.ends, ==, 1);
	g_assert_cmpint(c->outcome.end, ==, HCP_NO_ANSWER);
	g_assert_false(has_connection(c));
}

/* A reset in place of a close. */
static void
reset(int fd)
{
	const struct linger now = {1, 0};

	g_assert_cmpint(
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now)), ==, 0);
	(void)close(fd);
}

#define LONG_BODY ((size_t)8 << 20)

/*
 * Guards against an answer without a length that looks complete, although its
 * connection was reset or closed while the request was still being sent: the
 * failed send hides the reset from the read after it.
 */
static void
test_upload_cut(struct client *c, gconstpointer data)
{
	static const char *const answers[] = {
	    "HTTP/1.1 200 OK\r\n\r\na part of the",
	    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part of the",
	    "HTTP/1.0 200 OK\r\n\r\na part of the"};
	g_autofree char *body = g_strnfill(LONG_BODY, 'x');

	(void)data;
	for (size_t i = 0; i < 4 * G_N_ELEMENTS(answers); i++) {
		bool is_reset = i % 2 == 0;
		/* The answer is read before the end, or with it. */
		bool is_read = i / 2 % 2 == 0;
		int fd;

		(void)start(c, body, LONG_BODY);
		fd = take_connection(c);
		drain_request(fd);
		put(fd, answers[i / 4]);
		if (is_read)
			turn(c->loop, 20);
		if (is_reset)
			reset(fd);
		else
			(void)close(fd);
		turn(c->loop, 50);
		g_assert_cmpuint(c->outcome.ends, ==, 1);
		g_assert_cmpint(c->outcome.end, !=, HCP_COMPLETE);
	}
}

/* The same after the whole request was sent. */
static void
test_answer_reset(struct client *c, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < 4; i++) {
		bool is_read = i % 2 == 0;
		int fd;

		(void)start(c, NULL, 0);
		fd = take_connection(c);
		drain_request(fd);
		put(fd,
		    i < 2
			? "HTTP/1.1 200 OK\r\n\r\na part"
			: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part");
		if (is_read)
			turn(c->loop, 20);
		reset(fd);
		turn(c->loop, 50);
		g_assert_cmpuint(c->outcome.ends, ==, 1);
		g_assert_cmpint(c->outcome.end, !=, HCP_COMPLETE);
	}
}

/*
 * An answer without a length that ends with its connection is complete if the
 * server has read the request, and one with a length in any case.
 */
static void
test_upload_answered_early(struct client *c, gconstpointer data)
{
	g_autofree char *body = g_strnfill(LONG_BODY, 'x');
	int fd;

	(void)data;
	(void)start(c, body, LONG_BODY);
	fd = take_connection(c);
	drain_request(fd);
	put(fd, OK_5);
	turn(c->loop, 20);
	g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
	g_assert_cmpstr(c->outcome.body->str, ==, "hello");
	(void)close(fd);
	(void)start(c, NULL, 0);
	fd = take_connection(c);
	drain_request(fd);
	put(fd, "HTTP/1.1 200 OK\r\n\r\nhello");
	(void)close(fd);
	turn(c->loop, 20);
	g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
	g_assert_cmpstr(c->outcome.body->str, ==, "hello");
}

/*
 * Guards against an answer whose status is none and that is passed on, or
 * waited for until the request's time is over.
 */
static void
test_odd_status(struct client *c, gconstpointer data)
{
	static const char *const odd[] = {
	    "000", "001", "042", "099", "600", "999"};
	static const char *const rests[] = {"Content-Length: 5\r\n\r\nhello",
	    "Content-Length: 0\r\n\r\n", "\r\nhello",
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(odd) * G_N_ELEMENTS(rests); i++) {
		g_autofree char *answer = g_strdup_printf(
		    "HTTP/1.1 %s Odd\r\n%s", odd[i / G_N_ELEMENTS(rests)],
		    rests[i % G_N_ELEMENTS(rests)]);
		int fd;

		(void)start(c, NULL, 0);
		fd = take_connection(c);
		drain_request(fd);
		put(fd, answer);
		turn(c->loop, 20);
		g_assert_cmpuint(c->outcome.ends, ==, 1);
		g_assert_cmpint(c->outcome.end, !=, HCP_COMPLETE);
		g_assert_cmpuint(c->outcome.heads, ==, 0);
		(void)close(fd);
	}
}

/*
 * Guards against an answer whose head is cut and that is passed on: at any byte
 * of it, also behind an answer of another request or an interim one.
 */
static void
test_head_cut_anywhere(struct client *c, gconstpointer data)
{
	static const char *const before[] = {"",
	    "HTTP/1.1 100 Continue\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"};
	static const char head[] = "HTTP/1.1 200 OK\r\nX-Id: own\r\n"
				   "Content-Type: text/plain\r\n\r\n";

	(void)data;
	c->outcome.skip = "other";
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(before) * (sizeof(head) - 1);
	     i++) {
		size_t cut = i / 2 / G_N_ELEMENTS(before);
		g_autofree char *part = g_strndup(head, cut);
		int fd;

		(void)start(c, NULL, 0);
		turn(c->loop, 3);
		fd = accept4(c->listener, NULL, NULL, 0);
		g_assert_cmpint(fd, >=, 0);
		turn(c->loop, 3);
		drain_request(fd);
		put(fd, before[i / 2 % G_N_ELEMENTS(before)]);
		put(fd, part);
		if (i % 2 == 0)
			(void)close(fd);
		else
			reset(fd);
		turn(c->loop, 5);
		g_assert_cmpuint(c->outcome.ends, ==, 1);
		g_assert_cmpint(c->outcome.end, ==, HCP_NO_ANSWER);
		g_assert_cmpuint(c->outcome.heads, ==, 0);
	}
}

/* Guards against bytes after an answer that become part of the next one. */
static void
test_bytes_after(struct client *c, gconstpointer data)
{
	int fd;

	(void)data;
	(void)start(c, NULL, 0);
	fd = take_connection(c);
	drain_request(fd);
	put(fd, OK_5 OK_5);
	turn(c->loop, 20);
	g_assert_cmpstr(c->outcome.body->str, ==, "hello");
	(void)start(c, NULL, 0);
	g_assert_true(has_connection(c));
	(void)close(fd);
}

/* A late answer to another request comes before the one that is due. */
static void
test_foreign_skipped(struct client *c, gconstpointer data)
{
	int fd;

	(void)data;
	c->outcome.skip = "other";
	(void)start(c, NULL, 0);
	fd = take_connection(c);
	drain_request(fd);
	put(fd,
	    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
	    "HTTP/1.1 100 Continue\r\n\r\n" OK_5);
	turn(c->loop, 20);
	g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
	g_assert_cmpstr(c->outcome.body->str, ==, "hello");
	(void)close(fd);
}

/* An answer without a length ends with its connection, but not by a reset. */
static void
test_no_length(struct client *c, gconstpointer data)
{
	const struct linger reset = {1, 0};
	int fd;

	(void)data;
	for (int i = 0; i < 2; i++) {
		(void)start(c, NULL, 0);
		fd = take_connection(c);
		drain_request(fd);
		put(fd, "HTTP/1.1 200 OK\r\n\r\nhello");
		turn(c->loop, 10);
		if (i == 1)
			(void)setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		(void)close(fd);
		turn(c->loop, 20);
		g_assert_cmpint(
		    c->outcome.end, ==, i == 0 ? HCP_COMPLETE : HCP_CUT);
	}
}

/* Sends the answer in two parts, and ends or resets the connection. */
static void
answer_in_parts(struct client *c, const char *answer, size_t first, bool reset)
{
	const struct linger linger = {1, 0};
	size_t len = strlen(answer);
	int fd;

	(void)start(c, NULL, 0);
	turn(c->loop, 2);
	fd = accept4(c->listener, NULL, NULL, 0);
	g_assert_cmpint(fd, >=, 0);
	turn(c->loop, 2);
	drain_request(fd);
	g_assert_cmpint(send(fd, answer, first, MSG_NOSIGNAL), ==, first);
	turn(c->loop, 2);
	g_assert_cmpint(send(fd, answer + first, len - first, MSG_NOSIGNAL), ==,
	    len - first);
	turn(c->loop, 2);
	if (reset)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	(void)close(fd);
	turn(c->loop, 3);
}

/*
 * Guards against an answer without a length whose end depends on how its
 * bytes arrive: every division into two parts, then an end or a reset.
 */
static void
test_no_length_divisions(struct client *c, gconstpointer data)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
				     "id: 0\ndata: a\n\n";

	(void)data;
	for (size_t first = 1; first < strlen(answer); first++) {
		for (int reset = 0; reset <= 1; reset++) {
			answer_in_parts(c, answer, first, reset);
			g_assert_cmpuint(c->outcome.ends, ==, 1);
			g_assert_cmpint(
			    c->outcome.end, ==, reset ? HCP_CUT : HCP_COMPLETE);
			g_assert_cmpstr(
			    c->outcome.body->str, ==, "id: 0\ndata: a\n\n");
		}
	}
}

/* A head that breaks off is no answer, wherever it does. */
static void
test_head_cut(struct client *c, gconstpointer data)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";

	(void)data;
	for (size_t len = 1; len < strlen(answer); len++) {
		g_autofree char *part = g_strndup(answer, len);

		answer_in_parts(c, part, len / 2, false);
		g_assert_cmpuint(c->outcome.ends, ==, 1);
		g_assert_cmpint(c->outcome.end, ==, HCP_NO_ANSWER);
	}
}

static void
test_cut(struct client *c, gconstpointer data)
{
	static const char *const answers[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nhello\r\n",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		int fd;

		(void)start(c, NULL, 0);
		fd = take_connection(c);
		drain_request(fd);
		put(fd, answers[i]);
		turn(c->loop, 10);
		(void)close(fd);
		turn(c->loop, 20);
		g_assert_cmpuint(c->outcome.ends, ==, 1);
		g_assert_cmpint(c->outcome.end, ==, HCP_CUT);
	}
}

/*
 * Guards against a request whose bytes land in the rest of an earlier body:
 * the answer came before the body was sent.
 */
static void
test_early_answer(struct client *c, gconstpointer data)
{
	size_t len = (size_t)16 << 20;
	g_autofree char *body = g_strnfill(len, 'x');
	int fd;

	(void)data;
	g_string_printf(c->head,
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n", len);
	(void)start(c, body, len);
	fd = take_connection(c);
	drain_request(fd);
	put(fd, OK_5);
	turn(c->loop, 50);
	g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
	(void)start(c, NULL, 0);
	g_assert_true(has_connection(c));
	(void)close(fd);
}

/* A server that nobody listens at has run nothing. */
static void
test_not_sent(struct client *c, gconstpointer data)
{
	(void)data;
	(void)close(c->listener);
	(void)start(c, NULL, 0);
	turn(c->loop, 50);
	g_assert_cmpuint(c->outcome.ends, ==, 1);
	g_assert_cmpint(c->outcome.end, ==, HCP_NOT_SENT);
	c->listener = listen_any(&c->address);
}

/* A probe tells a server that is there, and leaves a connection to it. */
static void
test_probe(struct client *c, gconstpointer data)
{
	struct hcp_request probe = {
	    .address = c->address,
	    .connect_timeout = 300,
	    .is_probe = true,
	    .handler = &client_handler,
	    .arg = &c->outcome,
	};
	int fd;

	(void)data;
	(void)hcp_start(c->hcp, &probe);
	fd = take_connection(c);
	g_assert_cmpuint(c->outcome.ends, ==, 1);
	g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
	(void)start(c, NULL, 0);
	turn(c->loop, 10);
	drain_request(fd);
	put(fd, OK_5);
	turn(c->loop, 20);
	g_assert_cmpint(c->outcome.end, ==, HCP_COMPLETE);
	g_assert_cmpstr(c->outcome.body->str, ==, "hello");
	g_assert_false(has_connection(c));
	(void)close(fd);
	(void)close(c->listener);
	c->outcome.ends = 0;
	(void)hcp_start(c->hcp, &probe);
	turn(c->loop, 50);
	g_assert_cmpuint(c->outcome.ends, ==, 1);
	g_assert_cmpint(c->outcome.end, ==, HCP_NOT_SENT);
	c->listener = listen_any(&c->address);
}

struct permission {
	struct outcome outcome;
	bool is_given;
	unsigned asked;
};

static bool
may_send(void *arg)
{
	struct permission *permission = arg;

	permission->asked++;
	return (permission->is_given);
}

/*
 * Guards against a request that is sent although it may not be any more, on a
 * connection that was established, or idle, meanwhile: nothing leaves, and the
 * permission is asked for just before the first byte.
 */
static void
test_may_not_send(struct client *c, gconstpointer data)
{
	struct permission permission = {.outcome.body = g_string_new(NULL)};
	struct hcp_request request = {
	    .address = c->address,
	    .head = c->head,
	    .connect_timeout = 500,
	    .timeout = 1000,
	    .may_send = may_send,
	    .handler = &client_handler,
	    .arg = &permission,
	};
	char byte;
	int fd;

	(void)data;
	(void)hcp_start(c->hcp, &request);
	g_assert_cmpuint(permission.asked, ==, 0);
	fd = take_connection(c);
	g_assert_cmpuint(permission.asked, ==, 1);
	g_assert_cmpuint(permission.outcome.ends, ==, 1);
	g_assert_cmpint(permission.outcome.end, ==, HCP_NOT_SENT);
	g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 0);
	(void)close(fd);
	permission.is_given = true;
	(void)hcp_start(c->hcp, &request);
	fd = take_connection(c);
	drain_request(fd);
	put(fd, OK_5);
	turn(c->loop, 20);
	g_assert_cmpuint(permission.asked, ==, 2);
	g_assert_cmpint(permission.outcome.end, ==, HCP_COMPLETE);
	permission.is_given = false;
	(void)hcp_start(c->hcp, &request);
	turn(c->loop, 20);
	g_assert_cmpuint(permission.outcome.ends, ==, 3);
	g_assert_cmpint(permission.outcome.end, ==, HCP_NOT_SENT);
	g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 0);
	(void)close(fd);
	g_string_free(permission.outcome.body, TRUE);
}

/* A server that reads and never answers is given up at the call's timeout. */
static void
test_silent(struct client *c, gconstpointer data)
{
	int fd;

	(void)data;
	(void)start(c, NULL, 0);
	fd = take_connection(c);
	turn(c->loop, RUN_MS);
	g_assert_cmpuint(c->outcome.ends, ==, 1);
	g_assert_cmpint(c->outcome.end, ==, HCP_NO_ANSWER);
	(void)close(fd);
}

#define SERVER(name, function) \
	g_test_add("/http/server/" name, struct fixture, NULL, setup, \
	    function, teardown)
#define CLIENT(name, function) \
	g_test_add("/http/client/" name, struct client, NULL, client_setup, \
	    function, client_teardown)

#define NAMED_FIELDS 2000

static enum hmsg_next
go_on(struct hmsg_reader *reader)
{
	(void)reader;
	return (HMSG_CONTINUE);
}

static enum hmsg_next
ignore_data(struct hmsg_reader *reader, const char *data, size_t len)
{
	(void)reader;
	(void)data;
	(void)len;
	return (HMSG_CONTINUE);
}

/*
 * Guards against a head of legal size that names thousands of its fields in
 * Connection, which were split anew for each field: a copy took 0.13 s.
 * Fields that it names are not passed on, in whatever case and spacing.
 */
static void
test_connection_names(void)
{
	struct hmsg_reader reader;
	g_autoptr(GString) head = g_string_new("GET / HTTP/1.1\r\nHost: h\r\n");
	g_autoptr(GString) out = g_string_new(NULL);
	size_t used;

	g_string_append(head, "Connection: X-One , x-TWO");
	for (int i = 0; i < NAMED_FIELDS; i++)
		g_string_append_printf(head, ",%x", i);
	g_string_append(head, "\r\nx-one: 1\r\nX-Two: 2\r\nX-Three: 3\r\n");
	for (int i = 0; i < NAMED_FIELDS; i++)
		g_string_append_printf(head, "%X: 1\r\n", i);
	g_string_append(head, "\r\n");
	hmsg_reader_init(&reader, HTTP_REQUEST, head->len);
	reader.on_head = go_on;
	reader.on_data = ignore_data;
	reader.on_end = go_on;
	g_assert_true(
	    hmsg_reader_execute(&reader, head->str, head->len, &used));
	for (int i = 0; i < 200; i++) {
		(void)g_string_truncate(out, 0);
		hmsg_copy(out, &reader.head, NULL);
		g_assert_cmpstr(out->str, ==, "Host: h\r\nX-Three: 3\r\n");
	}
	hmsg_reader_clear(&reader);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	SERVER("bodies", test_bodies);
	SERVER("too-long", test_too_long);
	SERVER("early", test_early);
	SERVER("no-descriptor", test_no_descriptor);
	SERVER("reader-behind", test_reader_behind);
	SERVER("smuggled", test_smuggled);
	SERVER("limits", test_limits);
	SERVER("slow-head", test_slow_head);
	SERVER("slow-body", test_slow_body);
	SERVER("unsent", test_unsent);
	SERVER("caller-leaves", test_caller_leaves);
	SERVER("abort", test_abort);
	SERVER("drain", test_drain);
	SERVER("stop", test_stop);
	CLIENT("reuse", test_reuse);
	CLIENT("reused-dies", test_reused_dies);
	CLIENT("upload-cut", test_upload_cut);
	CLIENT("answer-reset", test_answer_reset);
	CLIENT("upload-answered-early", test_upload_answered_early);
	CLIENT("odd-status", test_odd_status);
	CLIENT("head-cut-anywhere", test_head_cut_anywhere);
	CLIENT("bytes-after", test_bytes_after);
	CLIENT("foreign-skipped", test_foreign_skipped);
	CLIENT("no-length", test_no_length);
	CLIENT("no-length-divisions", test_no_length_divisions);
	CLIENT("head-cut", test_head_cut);
	CLIENT("cut", test_cut);
	CLIENT("early-answer", test_early_answer);
	CLIENT("not-sent", test_not_sent);
	CLIENT("probe", test_probe);
	CLIENT("may-not-send", test_may_not_send);
	CLIENT("silent", test_silent);
	g_test_add_func("/http/connection-names", test_connection_names);
	return (g_test_run());
}
