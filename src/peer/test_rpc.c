/*
 * Tests of calls between two endpoints on one loop, with a relay that can stop
 * forwarding and a raw TLS client that violates the protocol.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/rpc.h"
#include "peer/rpc_message.h"

#define KEY	    "0123456789abcdef0123456789abcdef"
#define OTHER_KEY   "fedcba9876543210fedcba9876543210"
#define TIMEOUT	    (5 * CLK_SECOND)
#define MAX_HELD    1024
#define MAX_RELAYED 8
#define N_QUEUED    40

struct fixture {
	struct ev_loop *loop;
	struct cnt *cnt;
	struct rpc *server;
	struct rpc *client;
	char *address; /* of the server */
	struct rpc_request *held[MAX_HELD];
	uint64_t held_id[MAX_HELD];
	unsigned n_held;
	bool hold;
	unsigned runs[N_QUEUED]; /* of FORWARD, by the number in its path */
	size_t fetched; /* size of the payload that FETCH returns */
};

/* The result of one call. */
struct outcome {
	struct fixture *f;
	uint64_t number; /* the session of a CANCEL reply */
	size_t payload;
	enum rpc_sent sent;
	bool done;
	bool timed_out;
	char error[128];
};

static void
answer(struct rpc_request *request, uint64_t number)
{
	peer_cancel_reply reply = {.session = number, .known = TRUE};

	rpc_request_reply(request, &reply);
}

/* Replies with the call id, at once, or later if f->hold is set. */
static void
on_cancel(struct rpc_request *request, const void *args, void *arg)
{
	const peer_cancel_args *cancel = args;
	struct fixture *f = arg;

	if (!f->hold) {
		answer(request, cancel->call_id);
		return;
	}
	g_assert_cmpuint(f->n_held, <, MAX_HELD);
	f->held_id[f->n_held] = cancel->call_id;
	f->held[f->n_held++] = request;
}

static void
on_forward(struct rpc_request *request, const void *args, void *arg)
{
	const peer_forward_args *forward = args;
	struct fixture *f = arg;
	char detail[64];
	peer_forward_reply reply = {.session = forward->body.body_len,
	    .accepted = FALSE,
	    .verdict = {.code = (char[]){""}, .detail = detail}};

	f->runs[strtoul(forward->path, NULL, 10) % N_QUEUED]++;
	(void)g_snprintf(detail, sizeof(detail), "%.40s", forward->path);
	rpc_request_reply(request, &reply);
}

static void
on_fetch(struct rpc_request *request, const void *args, void *arg)
{
	struct fixture *f = arg;
	peer_record record = {.program_id = (char[]){""}};
	peer_fetch_reply reply = {0};

	(void)args;
	record.payload.payload_val = g_malloc0(f->fetched);
	record.payload.payload_len = (u_int)f->fetched;
	reply.records.records_val = &record;
	reply.records.records_len = 1;
	rpc_request_reply(request, &reply);
	g_free(record.payload.payload_val);
}

static void
on_heartbeat(struct rpc_request *request, const void *args, void *arg)
{
	const peer_heartbeat_args *beat = args;
	peer_heartbeat_reply reply = {
	    .state = beat->state, .sent_at = beat->sent_at};

	(void)arg;
	rpc_request_reply(request, &reply);
}

static struct rpc *
rpc_new(struct fixture *f, const char *key, size_t max_message,
    unsigned max_calls, uint16_t port)
{
	struct rpc_options options = {.address = "127.0.0.1",
	    .port = port,
	    .psk = key,
	    .psk_len = strlen(key),
	    .clk = clk_monotonic(),
	    .counters = f->cnt,
	    .max_message = max_message,
	    .max_calls = max_calls,
	    .handlers = {[PEER_CANCEL] = on_cancel,
		[PEER_FORWARD] = on_forward,
		[PEER_HEARTBEAT] = on_heartbeat,
		[PEER_FETCH] = on_fetch},
	    .arg = f};
	char *error = NULL;
	struct rpc *rpc = rpc_open(f->loop, &options, &error);

	g_assert_cmpstr(error, ==, NULL);
	return (rpc);
}

static void
fixture_open(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->loop = ev_loop_new(0);
	f->cnt = cnt_open();
	f->server = rpc_new(f, KEY, 0, 0, 0);
	f->client = rpc_new(f, KEY, 0, 0, 0);
	f->address = g_strdup_printf("127.0.0.1:%u", rpc_port(f->server));
}

static void
fixture_close(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	rpc_close(f->client);
	rpc_close(f->server);
	cnt_close(f->cnt);
	g_free(f->address);
	ev_loop_destroy(f->loop);
}

static int64_t
refused(struct fixture *f, const char *reason)
{
	return (cnt_value(
	    cnt_counter(f->cnt, "peer_refused_total", "", "reason", reason)));
}

static void
on_reply(const struct rpc_result *result, void *arg)
{
	struct outcome *o = arg;

	g_assert_false(o->done);
	o->done = true;
	o->sent = result->sent;
	o->timed_out = result->timed_out;
	(void)g_strlcpy(o->error, result->error, sizeof(o->error));
	g_assert_true((result->sent == RPC_REPLIED) == (result->reply != NULL));
	if (result->reply != NULL)
		o->number = ((const peer_cancel_reply *)result->reply)->session;
}

static void
on_fetched(const struct rpc_result *result, void *arg)
{
	const peer_fetch_reply *reply = result->reply;
	struct outcome *o = arg;

	on_reply(result, arg);
	if (reply != NULL)
		o->payload = reply->records.records_val[0].payload.payload_len;
}

static uint64_t
start(struct fixture *f, struct outcome *o, const char *address, uint64_t id,
    clk_ms timeout)
{
	peer_cancel_args args = {.session = 1, .call_id = id};

	*o = (struct outcome){.f = f};
	return (rpc_call_start(
	    f->client, address, PEER_CANCEL, &args, timeout, on_reply, o));
}

static void
start_forward(struct fixture *f, struct outcome *o, size_t body, char *path)
{
	char none[] = "";
	peer_forward_args args = {.address = none,
	    .organisation = none,
	    .key_id = none,
	    .request_id = none,
	    .traceparent = none,
	    .method = none,
	    .path = path,
	    .program_id = none,
	    .idempotency_key = none,
	    .content_type = none};

	*o = (struct outcome){.f = f};
	/* Zeros would be read as record marks of empty fragments. */
	args.body.body_val = g_strnfill(body, 'x');
	args.body.body_len = (u_int)body;
	(void)rpc_call_start(
	    f->client, f->address, PEER_FORWARD, &args, TIMEOUT, on_reply, o);
	g_free(args.body.body_val);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Run the loop for a time in ms. */
static void
run_for(struct fixture *f, clk_ms duration)
{
	ev_timer timer;

	ev_now_update(f->loop);
	ev_timer_init(&timer, on_tick, (double)duration / 1000.0, 0.0);
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &timer);
}

static void
wait_done(struct outcome *o)
{
	for (int i = 0; i < 2000 && !o->done; i++)
		run_for(o->f, 5);
	g_assert_true(o->done);
}

static void
wait_held(struct fixture *f, unsigned n)
{
	for (int i = 0; i < 2000 && f->n_held < n; i++)
		run_for(f, 5);
	g_assert_cmpuint(f->n_held, ==, n);
}

static void
assert_replied(struct outcome *o, uint64_t number)
{
	wait_done(o);
	g_assert_cmpstr(o->error, ==, "");
	g_assert_cmpint(o->sent, ==, RPC_REPLIED);
	g_assert_cmpuint(o->number, ==, number);
}

/* Guards against replies, at once or later, to the wrong call. */
static void
test_calls_at_once_and_later(struct fixture *f, gconstpointer unused)
{
	struct outcome at_once;
	struct outcome later;

	(void)unused;
	f->hold = true;
	(void)start(f, &later, f->address, 7, TIMEOUT);
	g_assert_false(later.done);
	wait_held(f, 1);
	f->hold = false;
	(void)start(f, &at_once, f->address, 8, TIMEOUT);
	assert_replied(&at_once, 8);
	g_assert_false(later.done);
	answer(f->held[0], 7);
	assert_replied(&later, 7);
}

/* Guards against reordering on a link and against mixed-up replies. */
static void
test_many_calls_in_order(struct fixture *f, gconstpointer unused)
{
	static struct outcome o[500];
	struct rpc_link_info info;

	(void)unused;
	f->hold = true;
	for (unsigned i = 0; i < G_N_ELEMENTS(o); i++)
		(void)start(f, &o[i], f->address, i, TIMEOUT);
	wait_held(f, G_N_ELEMENTS(o));
	g_assert_true(rpc_link_info_get(f->client, f->address, &info));
	g_assert_true(info.connected);
	g_assert_cmpuint(info.calls, ==, G_N_ELEMENTS(o));
	for (unsigned i = 0; i < G_N_ELEMENTS(o); i++)
		g_assert_cmpuint(f->held_id[i], ==, i);
	for (unsigned i = G_N_ELEMENTS(o); i-- > 0;)
		answer(f->held[i], i);
	for (unsigned i = 0; i < G_N_ELEMENTS(o); i++)
		assert_replied(&o[i], i);
}

/* Guards against truncated or mixed messages of several TLS records. */
static void
test_large_messages(struct fixture *f, gconstpointer unused)
{
	peer_fetch_args args = {0};
	struct outcome forward;
	struct outcome fetch = {.f = f};
	struct outcome small;
	char path[] = "/large";

	(void)unused;
	f->fetched = (size_t)6 * 1024 * 1024;
	(void)rpc_call_start(f->client, f->address, PEER_FETCH, &args, TIMEOUT,
	    on_fetched, &fetch);
	start_forward(f, &forward, (size_t)7 * 1024 * 1024, path);
	(void)start(f, &small, f->address, 3, TIMEOUT);
	assert_replied(&forward, (size_t)7 * 1024 * 1024);
	assert_replied(&small, 3);
	wait_done(&fetch);
	g_assert_cmpuint(fetch.payload, ==, f->fetched);
}

/* Guards against unbounded memory for a message from a peer. */
static void
test_oversized_message_is_refused(struct fixture *f, gconstpointer unused)
{
	struct outcome large;
	struct outcome next;
	char path[] = "/large";

	(void)unused;
	rpc_close(f->server);
	f->server = rpc_new(f, KEY, 4096, 0, 0);
	g_free(f->address);
	f->address = g_strdup_printf("127.0.0.1:%u", rpc_port(f->server));
	start_forward(f, &large, 100000, path);
	wait_done(&large);
	g_assert_cmpint(large.sent, ==, RPC_MAYBE_SENT);
	g_assert_cmpint(refused(f, "oversized"), ==, 1);
	run_for(f, 200);
	(void)start(f, &next, f->address, 1, TIMEOUT);
	assert_replied(&next, 1);
}

/* A call above the caller's own size limit ends as not sent. */
static void
test_own_limit_is_not_sent(struct fixture *f, gconstpointer unused)
{
	struct outcome large;
	char path[] = "/large";

	(void)unused;
	start_forward(f, &large, (size_t)9 * 1024 * 1024, path);
	wait_done(&large);
	g_assert_cmpint(large.sent, ==, RPC_NOT_SENT);
}

/* Guards against an instance of another fleet, or none, making calls. */
static void
test_wrong_key_is_refused(struct fixture *f, gconstpointer unused)
{
	struct rpc *own = f->client;
	struct outcome o;

	(void)unused;
	f->client = rpc_new(f, OTHER_KEY, 0, 0, 0);
	(void)start(f, &o, f->address, 1, TIMEOUT);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_NOT_SENT);
	g_assert_cmpint(refused(f, "handshake_failed"), >=, 1);
	rpc_close(own);
}

/* Guards against a caller that waits for a reply that is too large. */
static void
test_oversized_reply_is_an_error(struct fixture *f, gconstpointer unused)
{
	peer_fetch_args args = {0};
	struct outcome o = {.f = f};

	(void)unused;
	f->fetched = (size_t)8 * 1024 * 1024;
	(void)rpc_call_start(
	    f->client, f->address, PEER_FETCH, &args, TIMEOUT, on_fetched, &o);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_MAYBE_SENT);
	g_assert_false(o.timed_out);
	g_assert_cmpint(refused(f, "reply_not_encodable"), ==, 1);
}

static void
test_short_key_is_an_error(struct fixture *f, gconstpointer unused)
{
	struct rpc_options options = {
	    .address = "127.0.0.1", .psk = "short", .psk_len = 5};
	g_autofree char *error = NULL;

	(void)unused;
	g_assert_null(rpc_open(f->loop, &options, &error));
	g_assert_nonnull(strstr(error, "16 bytes"));
}

/* A raw TLS client that sends any bytes, run in its own thread. */
struct raw {
	uint16_t port;
	const uint8_t *data;
	size_t len;
	size_t wanted; /* bytes of the reply to wait for */
	uint8_t reply[256];
	size_t reply_len;
	bool closed;
};

static gpointer
run_raw(gpointer arg)
{
	static const gnutls_datum_t key = {
	    (unsigned char *)(uintptr_t)KEY, sizeof(KEY) - 1};
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct timeval wait = {.tv_sec = 5};
	gnutls_psk_client_credentials_t cred;
	gnutls_session_t tls;
	struct raw *raw = arg;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(raw->port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	(void)gnutls_psk_allocate_client_credentials(&cred);
	(void)gnutls_psk_set_client_credentials(
	    cred, "fleet", &key, GNUTLS_PSK_KEY_RAW);
	(void)gnutls_init(&tls, GNUTLS_CLIENT);
	(void)gnutls_priority_set_direct(
	    tls, "NORMAL:-KX-ALL:+ECDHE-PSK", NULL);
	(void)gnutls_credentials_set(tls, GNUTLS_CRD_PSK, cred);
	gnutls_transport_set_int(tls, fd);
	g_assert_cmpint(gnutls_handshake(tls), ==, 0);
	g_assert_cmpint(
	    gnutls_record_send(tls, raw->data, raw->len), ==, raw->len);
	while (raw->reply_len < raw->wanted) {
		ssize_t n = gnutls_record_recv(tls, raw->reply + raw->reply_len,
		    sizeof(raw->reply) - raw->reply_len);

		if (n <= 0) {
			/* Both kinds of close; not the receive timeout. */
			raw->closed = n != GNUTLS_E_AGAIN;
			break;
		}
		raw->reply_len += (size_t)n;
	}
	gnutls_deinit(tls);
	gnutls_psk_free_client_credentials(cred);
	(void)close(fd);
	return (raw);
}

static void
send_raw(struct fixture *f, struct raw *raw, const uint8_t *data, size_t len,
    size_t wanted)
{
	GThread *thread;
	struct outcome o;

	*raw = (struct raw){.port = rpc_port(f->server),
	    .data = data,
	    .len = len,
	    .wanted = wanted};
	thread = g_thread_new("raw", run_raw, raw);
	for (int i = 0; i < 1000 && raw->reply_len < wanted && !raw->closed;
	     i++)
		run_for(f, 2);
	(void)g_thread_join(thread);
	/* The server still answers other callers. */
	(void)start(f, &o, f->address, 5, TIMEOUT);
	assert_replied(&o, 5);
}

static uint32_t
word_at(const uint8_t *data, size_t index)
{
	return ((uint32_t)data[index * 4 + 2] << 8 | data[index * 4 + 3]);
}

/* Words of a call behind its record mark. */
enum { WORD_PROGRAM = 4, WORD_VERSION = 5, WORD_PROCEDURE = 6 };
/* Word of a reply, behind its record mark, with its accept status. */
enum { WORD_ACCEPT_STATUS = 6 };

static void
send_modified_call(struct fixture *f, size_t word, uint8_t value,
    size_t reply_size, uint32_t status)
{
	peer_cancel_args args = {0};
	struct raw raw;
	size_t len;
	uint8_t *data = rpc_msg_call_encode(9, PEER_CANCEL, &args, 4096, &len);

	data[word * 4 + 3] = value;
	send_raw(f, &raw, data, len, reply_size);
	g_assert_cmpuint(raw.reply_len, ==, reply_size);
	g_assert_cmpuint(word_at(raw.reply, 1), ==, 9);
	g_assert_cmpuint(word_at(raw.reply, WORD_ACCEPT_STATUS), ==, status);
	g_free(data);
}

/* Guards against a message of another version being read as this one. */
static void
test_wrong_version_is_refused(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_modified_call(f, WORD_VERSION, 2, 36, PROG_MISMATCH);
	g_assert_cmpint(refused(f, "bad_version"), ==, 1);
	send_modified_call(f, WORD_PROGRAM, 1, 28, PROG_UNAVAIL);
	g_assert_cmpint(refused(f, "bad_program"), ==, 1);
	send_modified_call(f, WORD_PROCEDURE, 99, 28, PROC_UNAVAIL);
	g_assert_cmpint(refused(f, "bad_procedure"), ==, 1);
	send_modified_call(f, WORD_PROCEDURE, PEER_FORWARD, 28, GARBAGE_ARGS);
	g_assert_cmpint(refused(f, "bad_arguments"), ==, 1);
}

/* A call of a procedure without a handler ends as not sent. */
static void
test_refused_call_is_not_sent(struct fixture *f, gconstpointer unused)
{
	peer_sync_args args = {.stream = (char[]){""}};
	struct outcome o = {.f = f};

	(void)unused;
	(void)rpc_call_start(
	    f->client, f->address, PEER_SYNC, &args, TIMEOUT, on_reply, &o);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_NOT_SENT);
}

/* Guards against malformed bytes that keep a connection open. */
static void
test_garbage_closes_connection(struct fixture *f, gconstpointer unused)
{
	static const uint8_t huge[] = {0xff, 0xff, 0xff, 0xff, 1, 2, 3};
	static const uint8_t small[] = {0x80, 0, 0, 4, 1, 2, 3, 4};
	struct raw raw;

	(void)unused;
	send_raw(f, &raw, huge, sizeof(huge), 1);
	g_assert_true(raw.closed);
	g_assert_cmpint(refused(f, "oversized"), ==, 1);
	send_raw(f, &raw, small, sizeof(small), 1);
	g_assert_true(raw.closed);
	g_assert_cmpint(refused(f, "undecodable"), ==, 1);
}

/* Guards against RPC_NOT_SENT for a call that may have run. */
static void
test_closed_in_call_is_maybe_sent(struct fixture *f, gconstpointer unused)
{
	struct outcome o;
	uint16_t port = rpc_port(f->server);

	(void)unused;
	f->hold = true;
	(void)start(f, &o, f->address, 1, TIMEOUT);
	wait_held(f, 1);
	rpc_close(f->server);
	f->server = NULL;
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_MAYBE_SENT);
	g_assert_false(o.timed_out);
	/* The link reconnects to a restarted peer. */
	f->server = rpc_new(f, KEY, 0, 0, port);
	f->hold = false;
	run_for(f, 200);
	(void)start(f, &o, f->address, 2, TIMEOUT);
	assert_replied(&o, 2);
}

/* Calls end as not sent if the connection is refused, and in backoff. */
static void
test_refused_connection_is_not_sent(struct fixture *f, gconstpointer unused)
{
	struct rpc_link_info info;
	struct outcome o;

	(void)unused;
	rpc_close(f->server);
	f->server = NULL;
	(void)start(f, &o, f->address, 1, TIMEOUT);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_NOT_SENT);
	g_assert_true(rpc_link_info_get(f->client, f->address, &info));
	g_assert_false(info.connected);
	g_assert_cmpint(info.retry_at, >, 0);
	(void)start(f, &o, f->address, 2, TIMEOUT);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_NOT_SENT);
	(void)start(f, &o, "not an address", 3, TIMEOUT);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_NOT_SENT);
}

/* A reply to a connection that has closed is dropped. */
static void
test_late_answer_is_dropped(struct fixture *f, gconstpointer unused)
{
	struct outcome o;

	(void)unused;
	f->hold = true;
	(void)start(f, &o, f->address, 1, TIMEOUT);
	wait_held(f, 1);
	rpc_link_close(f->client, f->address);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_MAYBE_SENT);
	run_for(f, 50);
	g_assert_true(rpc_request_is_closed(f->held[0]));
	answer(f->held[0], 1);
}

/* Guards against a reply to a cancelled or timed-out call being delivered. */
static void
test_ended_calls_get_no_reply(struct fixture *f, gconstpointer unused)
{
	struct outcome cancelled;
	struct outcome timed_out;
	struct outcome next;
	uint64_t id;

	(void)unused;
	f->hold = true;
	id = start(f, &cancelled, f->address, 1, TIMEOUT);
	(void)start(f, &timed_out, f->address, 2, 100);
	wait_held(f, 2);
	rpc_call_cancel(f->client, id);
	wait_done(&timed_out);
	g_assert_cmpint(timed_out.sent, ==, RPC_MAYBE_SENT);
	g_assert_true(timed_out.timed_out);
	answer(f->held[0], 1);
	answer(f->held[1], 2);
	f->hold = false;
	(void)start(f, &next, f->address, 3, TIMEOUT);
	assert_replied(&next, 3);
	g_assert_false(cancelled.done);
	g_assert_cmpint(cnt_value(cnt_counter(
			    f->cnt, "peer_late_replies_total", "", NULL, NULL)),
	    ==, 2);
}

/* Guards against an unbounded number of calls to a slow peer. */
static void
test_calls_in_flight_are_bounded(struct fixture *f, gconstpointer unused)
{
	struct outcome o[5];

	(void)unused;
	rpc_close(f->client);
	f->client = rpc_new(f, KEY, 0, 4, 0);
	f->hold = true;
	for (unsigned i = 0; i < G_N_ELEMENTS(o); i++)
		(void)start(f, &o[i], f->address, i, TIMEOUT);
	wait_done(&o[4]);
	g_assert_cmpint(o[4].sent, ==, RPC_NOT_SENT);
	wait_held(f, 4);
	for (unsigned i = 0; i < 4; i++) {
		answer(f->held[i], i);
		assert_replied(&o[i], i);
	}
}

/* Guards against a caller that floods a peer with unanswered requests. */
static void
test_unanswered_requests_are_bounded(struct fixture *f, gconstpointer unused)
{
	struct outcome o[40];
	unsigned held;

	(void)unused;
	rpc_close(f->server);
	f->server = rpc_new(f, KEY, 0, 4, 0);
	g_free(f->address);
	f->address = g_strdup_printf("127.0.0.1:%u", rpc_port(f->server));
	f->hold = true;
	for (unsigned i = 0; i < G_N_ELEMENTS(o); i++)
		(void)start(f, &o[i], f->address, i, TIMEOUT);
	run_for(f, 300);
	/* Each call is its own TLS record, so reading stops at the limit. */
	g_assert_cmpuint(f->n_held, ==, 4);
	for (held = 0; held < G_N_ELEMENTS(o); held++) {
		wait_held(f, MIN(held + 4, (unsigned)G_N_ELEMENTS(o)));
		answer(f->held[held], held);
		assert_replied(&o[held], held);
	}
}

/* Pace of a slow relay. */
#define RELAY_BYTES_PER_MS 4096

/* A relay between client and server whose connections can go silent. */
struct relay {
	struct fixture *f;
	int fd;
	ev_io io;
	char address[32];
	uint16_t target;
	unsigned n;
	struct relayed {
		struct relay *relay;
		bool stopped;
		int fds[2];
		ev_io ios[2];
	} conns[MAX_RELAYED];
	bool stop_new; /* new connections are silent from the start */
	/* From the client RELAY_BYTES_PER_MS are forwarded; 0: at once. */
	clk_ms slow_since;
	size_t forwarded; /* since then */
};

static int
loopback_socket(uint16_t port, bool listening)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (listening) {
		g_assert_cmpint(
		    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		    0);
		g_assert_cmpint(listen(fd, 8), ==, 0);
	} else {
		g_assert_cmpint(
		    connect(fd, (struct sockaddr *)&address, sizeof(address)),
		    ==, 0);
	}
	return (fd);
}

/*
 * Bytes that a slow relay may forward now: by the clock, so that it is as slow
 * on a busy machine as on an idle one.
 */
static size_t
relay_allowance(const struct relay *relay)
{
	struct clk clk = clk_monotonic();
	size_t total =
	    (size_t)(clk_now(&clk) - relay->slow_since) * RELAY_BYTES_PER_MS;

	return (total > relay->forwarded ? total - relay->forwarded : 0);
}

static void
on_relay_data(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct relayed *conn = watcher->data;
	int side = watcher == &conn->ios[1];
	char data[65536];
	size_t max = sizeof(data);
	ssize_t n;

	(void)events;
	if (conn->stopped) {
		ev_io_stop(loop, watcher);
		return;
	}
	if (conn->relay->slow_since > 0 && side == 0) {
		max = MIN(max, relay_allowance(conn->relay));
		if (max == 0) {
			g_usleep(500);
			return;
		}
	}
	n = read(watcher->fd, data, max);
	if (n <= 0) {
		ev_io_stop(loop, watcher);
		(void)shutdown(conn->fds[!side], SHUT_WR);
		return;
	}
	g_assert_cmpint(write(conn->fds[!side], data, (size_t)n), ==, n);
	if (side == 0)
		conn->relay->forwarded += (size_t)n;
}

static void
on_relay_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct relay *relay = watcher->data;
	struct relayed *conn = &relay->conns[relay->n];

	(void)events;
	g_assert_cmpuint(relay->n++, <, MAX_RELAYED);
	conn->relay = relay;
	conn->stopped = relay->stop_new;
	conn->fds[0] = accept(relay->fd, NULL, NULL);
	conn->fds[1] = loopback_socket(relay->target, false);
	for (int i = 0; i < 2; i++) {
		ev_io_init(&conn->ios[i], on_relay_data, conn->fds[i], EV_READ);
		conn->ios[i].data = conn;
		ev_io_start(loop, &conn->ios[i]);
	}
}

static void
relay_open(struct relay *relay, struct fixture *f)
{
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	*relay = (struct relay){.f = f, .target = rpc_port(f->server)};
	relay->fd = loopback_socket(0, true);
	/* A large receive buffer would hide that the relay is slow. */
	(void)setsockopt(
	    relay->fd, SOL_SOCKET, SO_RCVBUF, &(int){64 * 1024}, sizeof(int));
	(void)getsockname(relay->fd, (struct sockaddr *)&address, &len);
	(void)g_snprintf(relay->address, sizeof(relay->address), "127.0.0.1:%u",
	    (unsigned)ntohs(address.sin_port));
	ev_io_init(&relay->io, on_relay_accept, relay->fd, EV_READ);
	relay->io.data = relay;
	ev_io_start(f->loop, &relay->io);
}

static void
relay_close(struct relay *relay)
{
	for (unsigned i = 0; i < relay->n; i++) {
		for (int side = 0; side < 2; side++) {
			ev_io_stop(relay->f->loop, &relay->conns[i].ios[side]);
			(void)close(relay->conns[i].fds[side]);
		}
	}
	ev_io_stop(relay->f->loop, &relay->io);
	(void)close(relay->fd);
}

/* Guards against a link that keeps a connection that has gone silent. */
static void
test_silent_connection_is_replaced(struct fixture *f, gconstpointer unused)
{
	static struct outcome o[100];
	struct clk clk = clk_monotonic();
	struct rpc_link_info info = {0};
	struct outcome next;
	struct relay relay;
	clk_ms before;
	unsigned n = 0;

	(void)unused;
	relay_open(&relay, f);
	(void)start(f, &next, relay.address, 1, TIMEOUT);
	assert_replied(&next, 1);
	relay.conns[0].stopped = true;
	before = clk_now(&clk);
	/* Calls every 100 ms that time out after 300 ms, as heartbeats do. */
	while (info.reconnects == 0 && n < G_N_ELEMENTS(o)) {
		(void)start(f, &o[n], relay.address, n, 300);
		n++;
		run_for(f, 100);
		g_assert_true(
		    rpc_link_info_get(f->client, relay.address, &info));
	}
	/* 1 s of silence, then the next timeout; the rest is tolerance. */
	g_assert_cmpint(clk_now(&clk) - before, >=, CLK_SECOND);
	g_assert_cmpint(clk_now(&clk) - before, <, 2 * CLK_SECOND);
	(void)start(f, &next, relay.address, 2, TIMEOUT);
	assert_replied(&next, 2);
	g_assert_cmpint(o[0].sent, ==, RPC_MAYBE_SENT);
	g_assert_true(o[0].timed_out);
	g_assert_true(rpc_link_info_get(f->client, relay.address, &info));
	g_assert_true(info.connected);
	g_assert_cmpuint(info.reconnects, ==, 1);
	run_for(f, 400);
	relay_close(&relay);
}

/*
 * Guards against replacing a connection that is busy with a large message,
 * and against heartbeats that wait behind all queued messages.
 */
static void
test_busy_connection_is_kept(struct fixture *f, gconstpointer unused)
{
	char none[] = "";
	peer_heartbeat_args beat = {
	    .state = {.name = none, .datacentre = none, .address = none}};
	struct outcome large[2];
	struct outcome small = {.f = f};
	struct outcome heartbeat = {.f = f};
	struct outcome unanswered;
	struct rpc_link_info info;
	struct relay relay;
	struct clk clk = clk_monotonic();
	char *direct = f->address;
	char path[] = "0";

	(void)unused;
	relay_open(&relay, f);
	relay.slow_since = clk_now(&clk);
	f->address = relay.address;
	(void)start(f, &small, relay.address, 1, TIMEOUT);
	assert_replied(&small, 1);
	/* Times out while the large message is in flight. */
	f->hold = true;
	(void)start(f, &unanswered, relay.address, 3, 1200);
	wait_held(f, 1);
	f->hold = false;
	start_forward(f, &large[0], (size_t)7 * 1024 * 1024, path);
	start_forward(f, &large[1], (size_t)7 * 1024 * 1024, path);
	f->address = direct;
	run_for(f, 100);
	(void)rpc_call_start(f->client, relay.address, PEER_HEARTBEAT, &beat,
	    4 * TIMEOUT, on_reply, &heartbeat);
	while (!large[0].done && !heartbeat.done) {
		(void)start(f, &small, relay.address, 2, 200);
		wait_done(&small);
		g_assert_cmpint(small.sent, ==, RPC_NOT_SENT);
	}
	wait_done(&heartbeat);
	g_assert_true(unanswered.timed_out);
	g_assert_false(large[1].done);
	wait_done(&large[0]);
	wait_done(&large[1]);
	g_assert_cmpstr(large[0].error, ==, "");
	g_assert_cmpstr(large[1].error, ==, "");
	g_assert_true(rpc_link_info_get(f->client, relay.address, &info));
	g_assert_cmpuint(info.reconnects, ==, 0);
	answer(f->held[0], 3);
	relay_close(&relay);
}

/* Guards against waiting forever for a peer that accepts and stays silent. */
static void
test_silent_handshake_is_not_sent(struct fixture *f, gconstpointer unused)
{
	struct outcome o;
	struct relay relay;
	struct clk clk = clk_monotonic();
	clk_ms before = clk_now(&clk);

	(void)unused;
	relay_open(&relay, f);
	relay.stop_new = true;
	(void)start(f, &o, relay.address, 1, 2 * TIMEOUT);
	wait_done(&o);
	g_assert_cmpint(o.sent, ==, RPC_NOT_SENT);
	g_assert_cmpint(clk_now(&clk) - before, <, TIMEOUT);
	relay_close(&relay);
}

/* A forced reconnect ends only the calls that were sent. */
static void
test_reconnect(struct fixture *f, gconstpointer unused)
{
	struct outcome sent;
	struct outcome next;
	struct rpc_link_info info;

	(void)unused;
	f->hold = true;
	(void)start(f, &sent, f->address, 1, TIMEOUT);
	wait_held(f, 1);
	f->hold = false;
	rpc_link_reconnect(f->client, f->address);
	g_assert_false(sent.done);
	(void)start(f, &next, f->address, 2, TIMEOUT);
	assert_replied(&next, 2);
	wait_done(&sent);
	g_assert_cmpint(sent.sent, ==, RPC_MAYBE_SENT);
	g_assert_true(rpc_link_info_get(f->client, f->address, &info));
	g_assert_cmpuint(info.reconnects, ==, 1);
	answer(f->held[0], 1);
}

/*
 * Guards against a call that runs twice, or runs although it was reported as
 * not sent, when the connection closes while calls are queued.
 */
static void
test_queued_calls_run_at_most_once(struct fixture *f, gconstpointer unused)
{
	static struct outcome o[N_QUEUED];
	unsigned replied = 0;
	unsigned maybe = 0;

	(void)unused;
	(void)start(f, &o[0], f->address, 1, TIMEOUT);
	assert_replied(&o[0], 1);
	/* More than fits into the socket buffer: the last ones are queued. */
	for (unsigned i = 0; i < N_QUEUED; i++) {
		char path[16];

		(void)g_snprintf(path, sizeof(path), "%u", i);
		start_forward(f, &o[i], (size_t)700 * 1024, path);
	}
	rpc_link_reconnect(f->client, f->address);
	for (unsigned i = 0; i < N_QUEUED; i++) {
		wait_done(&o[i]);
		g_assert_cmpuint(f->runs[i], <=, 1);
		if (o[i].sent == RPC_REPLIED) {
			g_assert_cmpuint(f->runs[i], ==, 1);
			replied++;
		} else {
			g_assert_cmpint(o[i].sent, ==, RPC_MAYBE_SENT);
			maybe++;
		}
	}
	g_assert_cmpuint(replied, >, 0);
	g_assert_cmpuint(maybe, >, 0);
	/* No part of an old message was sent over the new connection. */
	g_assert_cmpint(refused(f, "oversized"), ==, 0);
	g_assert_cmpint(refused(f, "undecodable"), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) \
	g_test_add("/peer/" name, struct fixture, NULL, fixture_open, test, \
	    fixture_close)
	ADD("calls-at-once-and-later", test_calls_at_once_and_later);
	ADD("many-calls-in-order", test_many_calls_in_order);
	ADD("large-messages", test_large_messages);
	ADD("oversized-message-is-refused", test_oversized_message_is_refused);
	ADD("own-limit-is-not-sent", test_own_limit_is_not_sent);
	ADD("wrong-key-is-refused", test_wrong_key_is_refused);
	ADD("oversized-reply-is-an-error", test_oversized_reply_is_an_error);
	ADD("short-key-is-an-error", test_short_key_is_an_error);
	ADD("wrong-version-is-refused", test_wrong_version_is_refused);
	ADD("refused-call-is-not-sent", test_refused_call_is_not_sent);
	ADD("garbage-closes-connection", test_garbage_closes_connection);
	ADD("closed-in-call-is-maybe-sent", test_closed_in_call_is_maybe_sent);
	ADD("refused-connection-is-not-sent",
	    test_refused_connection_is_not_sent);
	ADD("late-answer-is-dropped", test_late_answer_is_dropped);
	ADD("ended-calls-get-no-reply", test_ended_calls_get_no_reply);
	ADD("calls-in-flight-are-bounded", test_calls_in_flight_are_bounded);
	ADD("unanswered-requests-are-bounded",
	    test_unanswered_requests_are_bounded);
	ADD("silent-connection-is-replaced",
	    test_silent_connection_is_replaced);
	ADD("busy-connection-is-kept", test_busy_connection_is_kept);
	ADD("silent-handshake-is-not-sent", test_silent_handshake_is_not_sent);
	ADD("reconnect", test_reconnect);
	ADD("queued-calls-run-at-most-once",
	    test_queued_calls_run_at_most_once);
	return (g_test_run());
}
