/*
 * Tests of the log client against a small log server in the same process:
 * order, long polls, retention, lost replies, rate limits, outages, timeouts
 * and malformed replies.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "lib/web.h"
#include "plog/plog.h"

#define MAX_POLLS 16
#define SESSION	  0x5eULL

enum fault {
	FAULT_NONE,
	FAULT_LIMIT, /* 429 */
	FAULT_OUTAGE, /* 503, without effect */
	FAULT_OUTAGE_AFTER, /* 503 although the record was appended */
	FAULT_CUT_BEFORE, /* the connection breaks, without effect */
	FAULT_CUT_AFTER, /* the connection breaks after the append */
	FAULT_SILENT_AFTER, /* the record is appended, but no reply sent */
	FAULT_MALFORMED /* a reply that is not JSON */
};

struct poll {
	struct fixture *f;
	struct web_req *req;
	int64_t from;
	size_t max;
	ev_timer timer;
};

struct fixture {
	struct ev_loop *loop;
	struct web *web;
	struct hcl *hcl;
	struct plog *plog;
	struct plog_settings settings;
	char *url;
	/* The server. */
	json_t *records;
	int64_t first;
	enum fault post_fault;
	int post_faults; /* number of requests still to fail */
	enum fault get_fault;
	int get_faults;
	int posts;
	int gets;
	struct web_req *silent; /* a request that gets no reply */
	struct poll *polls[MAX_POLLS];
	/* What the client reported. */
	struct plog_follower *follow;
	GArray *offsets;
	GString *values;
	int64_t tail;
	clk_ms tail_started;
	int tails;
	int64_t gap_from;
	int64_t gap_first;
	int failures;
	int done;
	enum plog_outcome outcome;
	int64_t offset;
	GArray *appended; /* offsets in the order of the callbacks */
	enum plog_outcome outcomes[32]; /* the same order */
	bool seek_once;
	bool stop_once;
};

static clk_ms
monotonic(void)
{
	struct clk clk = clk_monotonic();

	return (clk_now(&clk));
}

static int64_t
next_of(const struct fixture *f)
{
	return ((int64_t)json_array_size(f->records));
}

static void
reply_json(struct web_req *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	web_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static void
reply_records(struct fixture *f, struct web_req *req, int64_t from, size_t max)
{
	json_t *list = json_array();

	for (int64_t i = from; i < next_of(f) && json_array_size(list) < max;
	     i++)
		(void)json_array_append_new(list,
		    json_pack("{s:I, s:I, s:O}", "offset", (json_int_t)i,
			"time_ms", (json_int_t)1000, "data",
			json_array_get(f->records, (size_t)i)));
	reply_json(req, 200,
	    json_pack("{s:I, s:I, s:o}", "first", (json_int_t)f->first, "next",
		(json_int_t)next_of(f), "records", list));
}

static void
poll_end(struct poll *poll, bool with_reply)
{
	struct fixture *f = poll->f;

	for (int i = 0; i < MAX_POLLS; i++) {
		if (f->polls[i] == poll)
			f->polls[i] = NULL;
	}
	ev_timer_stop(f->loop, &poll->timer);
	if (with_reply)
		reply_records(f, poll->req, poll->from, poll->max);
	else
		web_reply(poll->req, 200, "text/plain", "", 0);
	g_free(poll);
}

static void
on_poll_gone(void *arg)
{
	poll_end(arg, false);
}

static void
on_poll_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	poll_end(timer->data, true);
}

static void
poll_begin(struct fixture *f, struct web_req *req, int64_t from, size_t max,
    clk_ms wait)
{
	struct poll *poll = g_new0(struct poll, 1);

	poll->f = f;
	poll->req = req;
	poll->from = from;
	poll->max = max;
	ev_timer_init(&poll->timer, on_poll_timer, (double)wait / 1000.0, 0.0);
	poll->timer.data = poll;
	ev_timer_start(f->loop, &poll->timer);
	for (int i = 0; i < MAX_POLLS; i++) {
		if (f->polls[i] == NULL) {
			f->polls[i] = poll;
			web_on_gone(req, on_poll_gone, poll);
			return;
		}
	}
	g_assert_not_reached();
}

static void
server_append(struct fixture *f, json_t *data)
{
	(void)json_array_append_new(f->records, data);
	for (int i = 0; i < MAX_POLLS; i++) {
		if (f->polls[i] != NULL && f->polls[i]->from < next_of(f))
			poll_end(f->polls[i], true);
	}
}

static void
server_add_values(struct fixture *f, int from, int count)
{
	for (int i = from; i < from + count; i++)
		server_append(f, json_pack("{s:i}", "value", i));
}

static void
connection_abort(struct web_req *req)
{
	web_stream_begin(req, 201, "application/json");
	web_stream_abort(req);
}

/* Returns whether the fault has ended the request. */
static bool
inject_fault(struct web_req *req, enum fault fault)
{
	switch (fault) {
	case FAULT_LIMIT:
		web_header_add(req, "Retry-After", "1");
		web_reply(req, 429, "text/plain", "", 0);
		return (true);
	case FAULT_OUTAGE:
	case FAULT_OUTAGE_AFTER:
		web_reply(req, 503, "text/plain", "", 0);
		return (true);
	case FAULT_CUT_BEFORE:
	case FAULT_CUT_AFTER:
		connection_abort(req);
		return (true);
	case FAULT_MALFORMED:
		web_reply(req, 200, "application/json", "{\"next\":", 8);
		return (true);
	default:
		return (false);
	}
}

static void
on_silent_gone(void *arg)
{
	struct fixture *f = arg;

	web_reply(f->silent, 200, "text/plain", "", 0);
	f->silent = NULL;
}

static void
serve_post(struct fixture *f, struct web_req *req)
{
	enum fault fault = f->post_faults > 0 ? f->post_fault : FAULT_NONE;
	size_t len;
	const char *body = web_body(req, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	json_t *data = json_object_get(json, "data");

	f->posts++;
	if (f->post_faults > 0)
		f->post_faults--;
	g_assert_nonnull(data);
	if (fault == FAULT_NONE || fault == FAULT_CUT_AFTER ||
	    fault == FAULT_OUTAGE_AFTER || fault == FAULT_SILENT_AFTER)
		server_append(f, json_incref(data));
	json_decref(json);
	if (inject_fault(req, fault))
		return;
	if (fault == FAULT_SILENT_AFTER) {
		f->silent = req;
		web_on_gone(req, on_silent_gone, f);
		return;
	}
	reply_json(req, 201,
	    json_pack("{s:I}", "offset", (json_int_t)(next_of(f) - 1)));
}

static int64_t
query_number(struct web_req *req, const char *name)
{
	const char *text = web_query(req, name);

	g_assert_nonnull(text);
	return (g_ascii_strtoll(text, NULL, 10));
}

static void
serve_get(struct fixture *f, struct web_req *req)
{
	int64_t from = query_number(req, "from");
	size_t max = (size_t)query_number(req, "max");
	clk_ms wait = query_number(req, "wait_ms");

	f->gets++;
	if (f->get_faults > 0) {
		f->get_faults--;
		if (inject_fault(req, f->get_fault))
			return;
	}
	if (from < f->first)
		reply_json(req, 410,
		    json_pack("{s:I, s:I}", "first", (json_int_t)f->first,
			"next", (json_int_t)next_of(f)));
	else if (from < next_of(f) || wait == 0)
		reply_records(f, req, from, max);
	else
		poll_begin(f, req, from, max, wait);
}

static void
on_request(struct web_req *req, void *arg)
{
	struct fixture *f = arg;

	g_assert_cmpstr(web_path(req), ==, "/streams/fleet/records");
	if (strcmp(web_method(req), "POST") == 0)
		serve_post(f, req);
	else
		serve_get(f, req);
}

static void
server_open(struct fixture *f)
{
	struct web_options options = {
	    .address = "127.0.0.1", .max_body = 1 << 20, .max_connections = 32};
	char *error = NULL;

	f->web = web_open(f->loop, &options, on_request, f, &error);
	g_assert_nonnull(f->web);
}

static void
fixture_open(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->loop = ev_loop_new(0);
	server_open(f);
	f->hcl = hcl_open(f->loop);
	f->records = json_array();
	f->offsets = g_array_new(FALSE, FALSE, sizeof(int64_t));
	f->appended = g_array_new(FALSE, FALSE, sizeof(int64_t));
	f->values = g_string_new(NULL);
	f->tail = -1;
	f->gap_from = -1;
	f->url =
	    g_strdup_printf("http://127.0.0.1:%u", (unsigned)web_port(f->web));
	f->settings = (struct plog_settings){.url = f->url,
	    .session = SESSION,
	    .seed = 1,
	    .call_timeout = 300,
	    .wait_ms = 200,
	    .retry_min = 20,
	    .retry_max = 100,
	    .append_deadline = 5000,
	    .appends_per_second = 1000,
	    .append_burst = 100,
	    .read_max = 100};
}

static void
fixture_close(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	plog_close(f->plog);
	hcl_close(f->hcl);
	for (int i = 0; i < MAX_POLLS; i++) {
		if (f->polls[i] != NULL)
			poll_end(f->polls[i], false);
	}
	if (f->silent != NULL)
		on_silent_gone(f);
	web_close(f->web);
	json_decref(f->records);
	(void)g_array_free(f->offsets, TRUE);
	(void)g_array_free(f->appended, TRUE);
	g_string_free(f->values, TRUE);
	g_free(f->url);
	ev_loop_destroy(f->loop);
}

static void
client_open(struct fixture *f)
{
	f->plog = plog_open(
	    f->loop, f->hcl, clk_monotonic(), &f->settings, NULL, NULL);
}

static void
on_record(int64_t offset, int64_t time_ms, json_t *data, void *arg)
{
	struct fixture *f = arg;

	g_assert_cmpint(time_ms, ==, 1000);
	g_array_append_val(f->offsets, offset);
	g_string_append_printf(f->values, "%d ",
	    (int)json_integer_value(json_object_get(data, "value")));
	if (f->seek_once && offset == 2) {
		f->seek_once = false;
		plog_follower_seek(f->follow, 0);
	}
	if (f->stop_once && offset == 2)
		plog_follower_stop(f->follow);
}

static void
on_tail(int64_t next, clk_ms started_at, void *arg)
{
	struct fixture *f = arg;

	f->tail = next;
	f->tail_started = started_at;
	f->tails++;
}

static void
on_gap(int64_t from, int64_t first, int64_t next, void *arg)
{
	struct fixture *f = arg;

	g_assert_cmpint(next, ==, next_of(f));
	f->gap_from = from;
	f->gap_first = first;
}

static void
on_failed(const char *error, void *arg)
{
	struct fixture *f = arg;

	g_assert_cmpuint(strlen(error), >, 0);
	f->failures++;
}

static void
follow(struct fixture *f, int64_t from)
{
	struct plog_follower_events events = {
	    on_record, on_tail, on_gap, on_failed, f};

	f->follow = plog_follow_start(f->plog, "fleet", from, &events);
}

static void
on_appended(enum plog_outcome outcome, int64_t offset, void *arg)
{
	struct fixture *f = arg;

	g_assert_cmpuint((unsigned)f->done, <, G_N_ELEMENTS(f->outcomes));
	f->outcomes[f->done++] = outcome;
	f->outcome = outcome;
	f->offset = offset;
	g_array_append_val(f->appended, offset);
}

static int64_t
append_value(struct fixture *f, int value)
{
	return (plog_append(f->plog, "fleet",
	    json_pack("{s:i}", "value", value), on_appended, f));
}

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
run_for(struct fixture *f, clk_ms time)
{
	ev_timer timer;

	ev_timer_init(&timer, on_step, (double)time / 1000.0, 0.0);
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &timer);
}

/* Run until *counter reaches value; fails after 20 s. */
static void
run_until(struct fixture *f, const int *counter, int value)
{
	for (int i = 0; i < 4000 && *counter < value; i++)
		run_for(f, 5);
	g_assert_cmpint(*counter, >=, value);
}

static int
count_own(const struct fixture *f, int64_t number)
{
	const json_t *record;
	size_t i;
	int n = 0;

	json_array_foreach(f->records, i, record)
	{
		n += json_integer_value(json_object_get(record, "number")) ==
		    number;
	}
	return (n);
}

/* Guards against records out of order, duplicated or missing between pages. */
static void
test_follow_order(struct fixture *f, gconstpointer unused)
{
	clk_ms began = monotonic();

	(void)unused;
	server_add_values(f, 0, 350);
	client_open(f);
	follow(f, 0);
	run_until(f, &f->tails, 1);
	g_assert_cmpint(f->tail, ==, 350);
	g_assert_cmpint(f->tail_started, >=, began);
	g_assert_cmpint(f->tail_started, <=, monotonic());
	g_assert_cmpuint(f->offsets->len, ==, 350);
	for (int i = 0; i < 350; i++)
		g_assert_cmpint(g_array_index(f->offsets, int64_t, i), ==, i);
	g_assert_cmpint(plog_follower_next(f->follow), ==, 350);
}

/* Guards against a tail that is reported as read later than it was. */
static void
test_long_poll(struct fixture *f, gconstpointer unused)
{
	clk_ms sent;

	(void)unused;
	f->settings.wait_ms = 2000;
	client_open(f);
	follow(f, 0);
	run_until(f, &f->tails, 1);
	run_for(f, 300);
	sent = monotonic();
	server_add_values(f, 7, 1);
	run_until(f, &f->tails, 2);
	g_assert_cmpstr(f->values->str, ==, "7 ");
	/* The poll waited for the record; its read began before. */
	g_assert_cmpint(f->tail_started, <, sent - 200);
	g_assert_cmpint(monotonic() - sent, <, 1000);
}

/* Guards against a truncated log that is read as complete. */
static void
test_gap(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	server_add_values(f, 0, 10);
	f->first = 6;
	client_open(f);
	follow(f, 2);
	run_until(f, &f->tails, 1);
	g_assert_cmpint(f->gap_from, ==, 2);
	g_assert_cmpint(f->gap_first, ==, 6);
	g_assert_cmpstr(f->values->str, ==, "6 7 8 9 ");
}

/* Guards against accepting a log that has lost its last records. */
static void
test_log_ends_early(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	server_add_values(f, 0, 5);
	client_open(f);
	follow(f, 9);
	run_until(f, &f->failures, 3);
	g_assert_cmpint(f->tails, ==, 0);
	g_assert_cmpuint(f->offsets->len, ==, 0);
}

/* Outages, broken connections and malformed replies only delay a follower. */
static void
test_follow_through_faults(struct fixture *f, gconstpointer unused)
{
	static const enum fault faults[] = {
	    FAULT_OUTAGE, FAULT_CUT_BEFORE, FAULT_MALFORMED};
	int before;

	(void)unused;
	client_open(f);
	follow(f, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		f->get_fault = faults[i];
		f->get_faults = 4;
		before = f->gets;
		server_add_values(f, (int)i, 1);
		run_until(f, &f->failures, 4 * (int)i + 4);
		/* Backoff limits the number of requests. */
		g_assert_cmpint(f->gets - before, <=, 8);
		run_for(f, 300);
	}
	g_assert_cmpstr(f->values->str, ==, "0 1 2 ");
}

/* A callback may seek or stop its follower. */
static void
test_seek_and_stop(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	server_add_values(f, 0, 5);
	f->seek_once = true;
	client_open(f);
	follow(f, 0);
	run_until(f, &f->tails, 1);
	g_assert_cmpstr(f->values->str, ==, "0 1 2 0 1 2 3 4 ");
	plog_follower_stop(f->follow);
	g_string_truncate(f->values, 0);
	f->stop_once = true;
	follow(f, 0);
	run_for(f, 300);
	g_assert_cmpstr(f->values->str, ==, "0 1 2 ");
}

/* Duplicates of records that were delayed in the network are dropped. */
static void
test_duplicates(struct fixture *f, gconstpointer unused)
{
	static const char *const session = "00000000000000aa";

	(void)unused;
	for (int i = 0; i < 6; i++)
		server_append(f,
		    json_pack("{s:s, s:i, s:i}", "session", session, "number",
			i % 3, "value", i));
	client_open(f);
	follow(f, 0);
	run_until(f, &f->tails, 1);
	g_assert_cmpstr(f->values->str, ==, "0 1 2 ");
	g_assert_cmpint(f->tail, ==, 6);
}

/* Guards against appends that overtake each other. */
static void
test_append_order(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	client_open(f);
	for (int i = 0; i < 20; i++)
		g_assert_cmpint(append_value(f, i), ==, i + 1);
	g_assert_cmpint(f->done, ==, 0);
	run_until(f, &f->done, 20);
	for (int i = 0; i < 20; i++)
		g_assert_cmpint(g_array_index(f->appended, int64_t, i), ==, i);
	g_assert_cmpuint(plog_append_count(f->plog), ==, 0);
	g_assert_cmpstr(json_string_value(json_object_get(
			    json_array_get(f->records, 0), "session")),
	    ==, "000000000000005e");
}

static void
check_appended_once(struct fixture *f, enum fault fault, int faults)
{
	int64_t number;

	server_add_values(f, 100, 3);
	client_open(f);
	f->post_fault = fault;
	f->post_faults = faults;
	number = append_value(f, 1);
	run_until(f, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, PLOG_APPENDED);
	g_assert_cmpint(count_own(f, number), ==, 1);
	g_assert_cmpint(f->offset, ==, 3);
}

/* Appended, but the reply is lost: the record is found, not sent again. */
static void
test_lost_reply(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	check_appended_once(f, FAULT_CUT_AFTER, 1);
	g_assert_cmpint(f->posts, ==, 1);
}

static void
test_silent_reply(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	check_appended_once(f, FAULT_SILENT_AFTER, 1);
	g_assert_cmpint(f->posts, ==, 1);
}

static void
test_outage_after_effect(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	check_appended_once(f, FAULT_OUTAGE_AFTER, 1);
	g_assert_cmpint(f->posts, ==, 1);
}

/* The search fails at first, and the records span several pages. */
static void
test_lost_reply_and_failed_search(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->settings.read_max = 2;
	f->get_fault = FAULT_OUTAGE;
	f->get_faults = 3;
	check_appended_once(f, FAULT_CUT_AFTER, 1);
	g_assert_cmpint(f->posts, ==, 1);
}

/* The request is lost: it is sent again after a search. */
static void
test_lost_request(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	check_appended_once(f, FAULT_CUT_BEFORE, 3);
	g_assert_cmpint(f->posts, ==, 4);
	g_assert_cmpint(f->gets, >=, 3);
}

/* The search starts at a record that retention has removed. */
static void
test_search_after_retention(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->first = 2;
	check_appended_once(f, FAULT_CUT_AFTER, 1);
}

/* After a 429 the client waits; the record was not appended. */
static void
test_limit(struct fixture *f, gconstpointer unused)
{
	clk_ms began = monotonic();

	(void)unused;
	check_appended_once(f, FAULT_LIMIT, 2);
	/* Retry-After: 1, twice. */
	g_assert_cmpint(monotonic() - began, >=, 2000);
	g_assert_cmpint(f->posts, ==, 3);
}

/* Guards against PLOG_REFUSED for a record that may be in the log. */
static void
test_deadline(struct fixture *f, gconstpointer unused)
{
	clk_ms began = monotonic();

	(void)unused;
	f->settings.append_deadline = 600;
	client_open(f);
	f->post_fault = FAULT_OUTAGE;
	f->post_faults = 1000;
	(void)append_value(f, 1);
	(void)append_value(f, 2);
	run_until(f, &f->done, 1);
	g_assert_cmpint(f->outcomes[0], ==, PLOG_UNKNOWN);
	g_assert_cmpint(monotonic() - began, >=, 600);
	run_until(f, &f->done, 2);
	/* The second one was never sent. */
	g_assert_cmpint(f->outcomes[1], ==, PLOG_REFUSED);
	g_assert_cmpint(monotonic() - began, <, 2000);
	g_assert_cmpint(f->posts, <, 30);
	/* The client works again afterwards. */
	f->post_faults = 0;
	(void)append_value(f, 3);
	run_until(f, &f->done, 3);
	g_assert_cmpint(f->outcome, ==, PLOG_APPENDED);
}

/* Without a connection the record is certainly not in the log. */
static void
test_unreachable(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->settings.append_deadline = 400;
	client_open(f);
	web_close(f->web);
	f->web = NULL;
	(void)append_value(f, 1);
	run_until(f, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, PLOG_REFUSED);
	server_open(f);
}

/* Guards against a queue that grows during an outage. */
static void
test_queue_bound(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->settings.max_queue = 4;
	client_open(f);
	for (int i = 0; i < 4; i++)
		g_assert_cmpint(append_value(f, i), >, 0);
	g_assert_cmpint(append_value(f, 4), ==, 0);
	g_assert_cmpint(
	    plog_append(f->plog, "fleet", json_array(), on_appended, f), ==, 0);
	run_until(f, &f->done, 4);
	g_assert_cmpint(append_value(f, 5), ==, 5);
	run_until(f, &f->done, 5);
	g_assert_cmpint(f->posts, ==, 5);
}

/* Guards against one client using up the shared rate limit. */
static void
test_rate(struct fixture *f, gconstpointer unused)
{
	clk_ms began = monotonic();

	(void)unused;
	f->settings.appends_per_second = 10;
	f->settings.append_burst = 2;
	client_open(f);
	for (int i = 0; i < 7; i++)
		(void)append_value(f, i);
	run_until(f, &f->done, 7);
	/* 2 at once, then 5 at 100 ms each. */
	g_assert_cmpint(monotonic() - began, >=, 490);
	g_assert_cmpint(f->outcome, ==, PLOG_APPENDED);
}

static void
test_session_text(struct fixture *f, gconstpointer unused)
{
	static const char *const bad[] = {"", "0", "0000000000000000",
	    "000000000000000G", "00000000000000AB", "0000000000000000a"};
	char text[PLOG_SESSION_SIZE];
	uint64_t session = 0;

	(void)f;
	(void)unused;
	g_assert_true(plog_session_parse(
	    plog_session_format(text, UINT64_MAX), &session));
	g_assert_cmphex(session, ==, UINT64_MAX);
	g_assert_false(plog_session_parse(NULL, &session));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(plog_session_parse(bad[i], &session));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) \
	g_test_add( \
	    name, struct fixture, NULL, fixture_open, test, fixture_close)
	ADD("/plg/follow-order", test_follow_order);
	ADD("/plg/long-poll", test_long_poll);
	ADD("/plg/gap", test_gap);
	ADD("/plg/log-ends-early", test_log_ends_early);
	ADD("/plg/follow-through-faults", test_follow_through_faults);
	ADD("/plg/seek-and-stop", test_seek_and_stop);
	ADD("/plg/second-copy", test_duplicates);
	ADD("/plg/append-order", test_append_order);
	ADD("/plg/lost-reply", test_lost_reply);
	ADD("/plg/silent-reply", test_silent_reply);
	ADD("/plg/outage-after-effect", test_outage_after_effect);
	ADD("/plg/lost-reply-and-failed-search",
	    test_lost_reply_and_failed_search);
	ADD("/plg/lost-request", test_lost_request);
	ADD("/plg/search-after-retention", test_search_after_retention);
	ADD("/plg/limit", test_limit);
	ADD("/plg/deadline", test_deadline);
	ADD("/plg/unreachable", test_unreachable);
	ADD("/plg/queue-bound", test_queue_bound);
	ADD("/plg/rate", test_rate);
	ADD("/plg/session-text", test_session_text);
	return (g_test_run());
}
