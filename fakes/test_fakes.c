/*
 * The stand-ins as processes: what other tests rely on, so that a fault of a
 * stand-in does not pass for a fault (or a virtue) of the daemon.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/hcl.h"

#define MAX_CHILDREN 4
#define LIFETIME     "60" /* s, --max-seconds of each stand-in */

struct child {
	GPid pid;
	FILE *out;
	unsigned port;
};

struct fixture {
	struct ev_loop *loop;
	struct hcl *hcl;
	struct child children[MAX_CHILDREN];
	unsigned count;
};

/* The result of one call, with the reply parsed if it is JSON. */
struct answer {
	struct ev_loop *loop;
	bool done;
	struct hcl_result result;
	char *text;
	json_t *json;
};

static void
fixture_open(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->loop = ev_loop_new(0);
	f->hcl = hcl_open(f->loop);
}

static void
fixture_close(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	hcl_close(f->hcl);
	ev_loop_destroy(f->loop);
	for (unsigned i = 0; i < f->count; i++) {
		struct child *child = &f->children[i];

		if (child->pid != 0) {
			(void)kill(child->pid, SIGTERM);
			(void)waitpid(child->pid, NULL, 0);
		}
		(void)fclose(child->out);
	}
}

static unsigned
read_port(FILE *out, const char *name)
{
	char line[80];
	g_autofree char *format = g_strdup_printf("%s ", name);

	g_assert_nonnull(fgets(line, sizeof(line), out));
	g_assert_true(g_str_has_prefix(line, format));
	return ((unsigned)g_ascii_strtoull(line + strlen(format), NULL, 10));
}

/* Start a stand-in; options are separated by spaces. */
static struct child *
start(struct fixture *f, const char *name, const char *options)
{
	const char *build = g_getenv("SAMPHIRESHED_BUILD");
	g_autofree char *command =
	    g_strdup_printf("%s/standin %s --max-seconds " LIFETIME " %s",
		build != NULL ? build : "build", name, options);
	g_auto(GStrv) argv = NULL;
	struct child *child = &f->children[f->count];
	int fd;

	g_assert_cmpuint(f->count, <, MAX_CHILDREN);
	g_assert_true(g_shell_parse_argv(command, NULL, &argv, NULL));
	g_assert_true(g_spawn_async_with_pipes(NULL, argv, NULL,
	    G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &child->pid, NULL, &fd, NULL,
	    NULL));
	child->out = fdopen(fd, "r");
	child->port = read_port(child->out, "listening");
	f->count++;
	return (child);
}

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct answer *answer = arg;

	answer->done = true;
	answer->result = *result;
	answer->text = g_strndup(result->body, result->body_len);
	answer->json = json_loads(answer->text, 0, NULL);
	ev_break(answer->loop, EVBREAK_ALL);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
run_loop(struct fixture *f, double seconds)
{
	ev_timer timer;

	ev_now_update(f->loop);
	ev_timer_init(&timer, on_timeout, seconds, 0.0);
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &timer);
}

static void
call_start(struct fixture *f, struct answer *answer, unsigned port,
    const char *path, const char *body, const char *header)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	const char *headers[] = {header, NULL};
	struct hcl_request request = {.method = body != NULL ? "POST" : "GET",
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .body_len = body != NULL ? strlen(body) : 0,
	    .timeout = 5 * CLK_SECOND,
	    .on_done = on_done,
	    .arg = answer};

	memset(answer, 0, sizeof(*answer));
	answer->loop = f->loop;
	(void)hcl_start(f->hcl, &request);
}

static void
answer_clear(struct answer *answer)
{
	g_free(answer->text);
	json_decref(answer->json);
	answer->text = NULL;
	answer->json = NULL;
}

/* A call with a header; body nil: GET.  The answer must be cleared. */
static struct answer
call_with(struct fixture *f, unsigned port, const char *path, const char *body,
    const char *header)
{
	struct answer answer;

	call_start(f, &answer, port, path, body, header);
	while (!answer.done)
		run_loop(f, 10.0);
	return (answer);
}

/* Make a call and return its status; 0 if there was no reply. */
static int
status_of(struct fixture *f, unsigned port, const char *path, const char *body)
{
	struct answer answer = call_with(f, port, path, body, NULL);
	int status =
	    answer.result.sent == HCL_REPLIED ? answer.result.status : 0;

	answer_clear(&answer);
	return (status);
}

static int64_t
number_at(const json_t *json, const char *path)
{
	g_auto(GStrv) names = g_strsplit(path, ".", -1);

	for (char **name = names; *name != NULL; name++) {
		if (json_is_array(json))
			json = json_array_get(
			    json, (size_t)g_ascii_strtoull(*name, NULL, 10));
		else
			json = json_object_get(json, *name);
	}
	g_assert_true(json_is_integer(json));
	return (json_integer_value(json));
}

/* Make a call that has to succeed and return one number of the reply. */
static int64_t
number_of(struct fixture *f, unsigned port, const char *path, const char *body,
    const char *member)
{
	struct answer answer = call_with(f, port, path, body, NULL);
	int64_t number;

	g_assert_cmpint(answer.result.sent, ==, HCL_REPLIED);
	g_assert_cmpint(answer.result.status / 100, ==, 2);
	number = number_at(answer.json, member);
	answer_clear(&answer);
	return (number);
}

static void
control(struct fixture *f, unsigned port, const char *body)
{
	g_assert_cmpint(status_of(f, port, "/control", body), ==, 200);
}

#define RECORDS "/streams/s/records"
#define RECORD	"{\"data\":{\"x\":1}}"

/* Guards against tests that pass because the log takes any load. */
static void
test_log_append_limit(struct fixture *f, gconstpointer unused)
{
	const struct child *log = start(f, "log", "--appends-per-second 20");
	int appended = 0, refused = 0;
	gint64 start_us = g_get_monotonic_time();
	gint64 elapsed_us;

	(void)unused;
	for (int i = 0; i < 60; i++) {
		int status = status_of(f, log->port, RECORDS, RECORD);

		appended += status == 201;
		refused += status == 429;
	}
	elapsed_us = g_get_monotonic_time() - start_us;
	g_assert_cmpint(appended + refused, ==, 60);
	g_assert_cmpint(appended, >=, 20);
	/* The bucket holds one second's appends; 1 ms for rounding. */
	g_assert_cmpint(
	    appended, <=, 20 + (elapsed_us + 1000) * 20 / G_USEC_PER_SEC);
	g_assert_cmpint(refused, >, 0);
	g_assert_cmpint(number_of(f, log->port, "/control/stats", NULL,
			    "streams.s.appends"),
	    ==, appended);
	/* The limit is one over time, not a quota. */
	run_loop(f, 0.2);
	g_assert_cmpint(status_of(f, log->port, RECORDS, RECORD), ==, 201);
}

/* Guards against a reader that never sees its records removed. */
static void
test_log_retention(struct fixture *f, gconstpointer unused)
{
	const struct child *log = start(f, "log", "--retention-records 3");
	struct answer answer;

	(void)unused;
	for (int i = 1; i <= 5; i++)
		g_assert_cmpint(
		    number_of(f, log->port, RECORDS, RECORD, "offset"), ==, i);
	answer = call_with(f, log->port, RECORDS "?from=2", NULL, NULL);
	g_assert_cmpint(answer.result.status, ==, 410);
	g_assert_cmpint(number_at(answer.json, "first"), ==, 3);
	g_assert_cmpint(number_at(answer.json, "next"), ==, 6);
	answer_clear(&answer);
	answer = call_with(f, log->port, RECORDS "?from=3&max=2", NULL, NULL);
	g_assert_cmpint(answer.result.status, ==, 200);
	g_assert_cmpint(number_at(answer.json, "next"), ==, 5);
	g_assert_cmpint(number_at(answer.json, "records.1.offset"), ==, 4);
	g_assert_cmpint(number_at(answer.json, "records.1.data.x"), ==, 1);
	answer_clear(&answer);
}

static void
test_log_retention_by_age(struct fixture *f, gconstpointer unused)
{
	const struct child *log = start(f, "log", "--retention-seconds 1");

	(void)unused;
	g_assert_cmpint(status_of(f, log->port, RECORDS, RECORD), ==, 201);
	run_loop(f, 1.3);
	g_assert_cmpint(
	    status_of(f, log->port, RECORDS "?from=1", NULL), ==, 410);
}

/* Guards against an outage that still takes appends or answers readers. */
static void
test_log_outage(struct fixture *f, gconstpointer unused)
{
	const struct child *log = start(f, "log", "");
	struct answer poll;

	(void)unused;
	call_start(
	    f, &poll, log->port, RECORDS "?from=1&wait_ms=4000", NULL, NULL);
	run_loop(f, 0.1);
	g_assert_false(poll.done);
	control(f, log->port, "{\"outage\":true}");
	while (!poll.done)
		run_loop(f, 10.0);
	g_assert_cmpint(poll.result.status, ==, 503);
	answer_clear(&poll);
	g_assert_cmpint(status_of(f, log->port, RECORDS, RECORD), ==, 503);
	g_assert_cmpint(status_of(f, log->port, RECORDS, NULL), ==, 503);
	control(f, log->port, "{\"outage\":false}");
	g_assert_cmpint(
	    number_of(f, log->port, RECORDS, RECORD, "offset"), ==, 1);
}

/* Guards against a lost reply that also loses the record. */
static void
test_log_lost_append_reply(struct fixture *f, gconstpointer unused)
{
	const struct child *log = start(f, "log", "");
	struct answer answer;

	(void)unused;
	control(f, log->port, "{\"lose_append_replies\":1}");
	answer = call_with(f, log->port, RECORDS, RECORD, NULL);
	g_assert_cmpint(answer.result.sent, ==, HCL_MAYBE_SENT);
	g_assert_false(answer.result.timed_out);
	answer_clear(&answer);
	g_assert_cmpint(
	    number_of(f, log->port, RECORDS "?from=1", NULL, "next"), ==, 2);
	g_assert_cmpint(
	    number_of(f, log->port, RECORDS, RECORD, "offset"), ==, 2);
}

/* Guards against readers that have to poll for a new record. */
static void
test_log_long_poll(struct fixture *f, gconstpointer unused)
{
	const struct child *log = start(f, "log", "");
	struct answer poll;

	(void)unused;
	call_start(
	    f, &poll, log->port, RECORDS "?from=1&wait_ms=4000", NULL, NULL);
	run_loop(f, 0.1);
	g_assert_false(poll.done);
	g_assert_cmpint(status_of(f, log->port, RECORDS, RECORD), ==, 201);
	while (!poll.done)
		run_loop(f, 10.0);
	g_assert_cmpint(number_at(poll.json, "next"), ==, 2);
	answer_clear(&poll);
	/* With nothing new the poll ends empty. */
	g_assert_cmpint(number_of(f, log->port, RECORDS "?from=2&wait_ms=100",
			    NULL, "next"),
	    ==, 2);
}

static size_t
count_instances(struct fixture *f, unsigned port)
{
	struct answer answer = call_with(f, port, "/instances", NULL, NULL);
	size_t count =
	    json_array_size(json_object_get(answer.json, "instances"));

	answer_clear(&answer);
	return (count);
}

/* Guards against a member list that is ahead of its stated lag. */
static void
test_members_lag(struct fixture *f, gconstpointer unused)
{
	const struct child *members = start(f, "members", "--lag-ms 1000");

	(void)unused;
	control(f, members->port,
	    "{\"instance\":{\"name\":\"a\",\"datacentre\":\"d\","
	    "\"state\":\"live\"}}");
	g_assert_cmpuint(count_instances(f, members->port), ==, 0);
	run_loop(f, 1.3);
	g_assert_cmpuint(count_instances(f, members->port), ==, 1);
	control(f, members->port,
	    "{\"instance\":{\"name\":\"a\",\"state\":\"gone\"}}");
	run_loop(f, 1.3);
	g_assert_cmpuint(count_instances(f, members->port), ==, 0);
}

/* Guards against a store whose bandwidth grows with the requests. */
static void
test_weights_share_bandwidth(struct fixture *f, gconstpointer unused)
{
	const struct child *weights =
	    start(f, "weights", "--bytes 30000 --bytes-per-second 100000");
	struct answer first, second;

	(void)unused;
	call_start(f, &first, weights->port, "/weights/m", NULL, NULL);
	call_start(f, &second, weights->port, "/weights/m", NULL, NULL);
	while (!first.done || !second.done)
		run_loop(f, 10.0);
	/* Together 60,000 bytes at 100,000 bytes a second. */
	g_assert_cmpint(MAX(number_at(first.json, "took_ms"),
			    number_at(second.json, "took_ms")),
	    >=, 550);
	answer_clear(&first);
	answer_clear(&second);
}

static char *
chat_body(const char *content, int max_tokens, bool stream)
{
	return (g_strdup_printf(
	    "{\"model\":\"model-a\",\"max_tokens\":%d,\"stream\":%s,"
	    "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
	    max_tokens, stream ? "true" : "false", content));
}

#define CHAT   "/v1/chat/completions"
#define CACHED "usage.prompt_tokens_details.cached_tokens"

static struct answer
chat(struct fixture *f, unsigned port, const char *content, const char *header)
{
	g_autofree char *body = chat_body(content, 8, false);

	return (call_with(f, port, CHAT, body, header));
}

static int64_t
chat_cached(struct fixture *f, unsigned port, const char *content)
{
	struct answer answer = chat(f, port, content, NULL);
	int64_t cached;

	g_assert_cmpint(answer.result.status, ==, 200);
	cached = number_at(answer.json, CACHED);
	answer_clear(&answer);
	return (cached);
}

/*
 * Guards against a cache without a limit: locality would cost nothing.  The
 * prompts have 100 tokens, the answers 8, and the cache holds 250.
 */
static void
test_engine_prefix_cache(struct fixture *f, gconstpointer unused)
{
	const struct child *engine =
	    start(f, "engine", "--cache-tokens 250 --token-ms 1");
	g_autofree char *a = g_strnfill(400, 'a');
	g_autofree char *b = g_strnfill(400, 'b');
	g_autofree char *c = g_strnfill(400, 'c');
	struct answer events;

	(void)unused;
	g_assert_cmpint(chat_cached(f, engine->port, a), ==, 0);
	g_assert_cmpint(chat_cached(f, engine->port, b), ==, 0);
	g_assert_cmpint(chat_cached(f, engine->port, a), ==, 100);
	/* a is used later than b, so c evicts b. */
	g_assert_cmpint(chat_cached(f, engine->port, c), ==, 0);
	g_assert_cmpint(chat_cached(f, engine->port, a), ==, 100);
	g_assert_cmpint(chat_cached(f, engine->port, b), ==, 0);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "cache_tokens"), <=, 250);
	events = call_with(f, engine->port, "/cache/events?from=1", NULL, NULL);
	g_assert_nonnull(strstr(events.text, "\"evict\""));
	answer_clear(&events);
}

/* The answer of a turn is a part of the next turn's prefix. */
static void
test_engine_caches_answer(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine", "--token-ms 1");
	struct answer answer = chat(f, engine->port, "hello123", NULL);
	g_autofree char *body = NULL;
	const json_t *message = json_object_get(
	    json_array_get(json_object_get(answer.json, "choices"), 0),
	    "message");

	(void)unused;
	g_assert_cmpint(number_at(answer.json, "usage.prompt_tokens"), ==, 2);
	g_assert_cmpint(
	    number_at(answer.json, "usage.completion_tokens"), ==, 8);
	body = g_strdup_printf(
	    "{\"model\":\"model-a\",\"max_tokens\":4,\"messages\":["
	    "{\"role\":\"user\",\"content\":\"hello123\"},"
	    "{\"role\":\"assistant\",\"content\":\"%s\"},"
	    "{\"role\":\"user\",\"content\":\"more\"}]}",
	    json_string_value(json_object_get(message, "content")));
	answer_clear(&answer);
	answer = call_with(f, engine->port, CHAT, body, NULL);
	g_assert_cmpint(number_at(answer.json, CACHED), ==, 10);
	g_assert_cmpint(number_at(answer.json, "usage.prompt_tokens"), ==, 11);
	answer_clear(&answer);
}

static size_t
held_programs(struct fixture *f, unsigned port)
{
	struct answer answer = call_with(f, port, "/control/stats", NULL, NULL);
	size_t count =
	    json_array_size(json_object_get(answer.json, "held_programs"));

	answer_clear(&answer);
	return (count);
}

/* Guards against memory that looks released but is still held (P4). */
static void
test_engine_release(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine", "--token-ms 1");
	struct answer answer;

	(void)unused;
	answer = chat(f, engine->port, "one", "Samphireshed-Program: p-1");
	answer_clear(&answer);
	answer = chat(f, engine->port, "two", "Samphireshed-Program: p-2");
	answer_clear(&answer);
	g_assert_cmpuint(held_programs(f, engine->port), ==, 2);
	g_assert_cmpint(number_of(f, engine->port, "/cache/release",
			    "{\"program\":\"p-1\"}", "released_tokens"),
	    ==, 9);
	g_assert_cmpuint(held_programs(f, engine->port), ==, 1);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "cache_tokens"), ==, 9);
}

/* An exported prefix is a hit at the engine that imports it. */
static void
test_engine_export_import(struct fixture *f, gconstpointer unused)
{
	const struct child *from = start(f, "engine", "--token-ms 1");
	const struct child *to = start(f, "engine", "--token-ms 1");
	struct answer answer;

	(void)unused;
	answer = chat(f, from->port, "12345678", "Samphireshed-Program: p-1");
	answer_clear(&answer);
	answer = call_with(
	    f, from->port, "/cache/export", "{\"program\":\"p-1\"}", NULL);
	g_assert_cmpint(answer.result.status, ==, 200);
	g_assert_cmpint(number_of(f, to->port, "/cache/import", answer.text,
			    "imported_tokens"),
	    ==, 10);
	answer_clear(&answer);
	g_assert_cmpint(chat_cached(f, to->port, "12345678"), ==, 2);
}

/* The text of all chunks of a stream. */
static char *
stream_text(const char *stream)
{
	g_auto(GStrv) lines = g_strsplit(stream, "\n\n", -1);
	GString *text = g_string_new(NULL);

	for (char **line = lines; *line != NULL; line++) {
		json_t *chunk;
		const json_t *delta;
		const char *content;

		if (!g_str_has_prefix(*line, "data: {"))
			continue;
		chunk = json_loads(*line + strlen("data: "), 0, NULL);
		g_assert_nonnull(chunk);
		delta = json_object_get(
		    json_array_get(json_object_get(chunk, "choices"), 0),
		    "delta");
		content = json_string_value(json_object_get(delta, "content"));
		if (content != NULL)
			g_string_append(text, content);
		json_decref(chunk);
	}
	return (g_string_free(text, FALSE));
}

/* Streaming and resuming give the text that one whole answer has. */
static void
test_engine_stream_and_resume(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine", "--token-ms 1");
	g_autofree char *body = chat_body("same", 8, true);
	struct answer whole = chat(f, engine->port, "same", NULL);
	const char *content = json_string_value(json_object_get(
	    json_object_get(
		json_array_get(json_object_get(whole.json, "choices"), 0),
		"message"),
	    "content"));
	struct answer answer =
	    call_with(f, engine->port, CHAT, body, "X-Request-Id: q-1");
	g_autofree char *streamed = stream_text(answer.text);
	g_autofree char *resumed = NULL;

	(void)unused;
	g_assert_cmpuint(strlen(content), ==, 32);
	g_assert_cmpstr(streamed, ==, content);
	g_assert_nonnull(strstr(answer.text, "\"completion_tokens\":8"));
	g_assert_true(g_str_has_suffix(answer.text, "data: [DONE]\n\n"));
	answer_clear(&answer);
	answer = call_with(f, engine->port, "/resume",
	    "{\"request_id\":\"q-1\",\"after_tokens\":3}", NULL);
	resumed = stream_text(answer.text);
	g_assert_cmpstr(resumed, ==, content + 12);
	answer_clear(&answer);
	answer_clear(&whole);
}

/* A cancelled call ends at once and makes room for a waiting one. */
static void
test_engine_cancel(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine",
	    "--token-ms 2000 --answer-min 1000 --answer-max 1000 "
	    "--max-active 1");
	g_autofree char *body = chat_body("slow", 1000, false);
	struct answer running, waiting;

	(void)unused;
	call_start(f, &running, engine->port, CHAT, body, "X-Request-Id: r1");
	run_loop(f, 0.1);
	call_start(f, &waiting, engine->port, CHAT, body, "X-Request-Id: r2");
	run_loop(f, 0.1);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "waiting"), ==, 1);
	g_assert_cmpint(
	    status_of(f, engine->port, "/cancel", "{\"request_id\":\"r1\"}"),
	    ==, 200);
	while (!running.done)
		run_loop(f, 10.0);
	g_assert_nonnull(strstr(running.text, "cancelled"));
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "waiting"), ==, 0);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "active"), ==, 1);
	g_assert_cmpint(
	    status_of(f, engine->port, "/cancel", "{\"request_id\":\"r2\"}"),
	    ==, 200);
	while (!waiting.done)
		run_loop(f, 10.0);
	answer_clear(&running);
	answer_clear(&waiting);
}

/* Guards against an engine that serves any number of calls at full speed. */
static void
test_engine_batch(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine",
	    "--token-ms 10 --batch 1 --answer-min 20 --answer-max 20");
	g_autofree char *body = chat_body("x", 20, false);
	struct answer answers[4];
	gint64 start_us = g_get_monotonic_time();

	(void)unused;
	for (int i = 0; i < 4; i++)
		call_start(f, &answers[i], engine->port, CHAT, body, NULL);
	for (int i = 0; i < 4; i++) {
		while (!answers[i].done)
			run_loop(f, 10.0);
		g_assert_cmpint(answers[i].result.status, ==, 200);
		answer_clear(&answers[i]);
	}
	/*
	 * 20 steps of 40 ms; the first steps may run before all calls have
	 * arrived.
	 */
	g_assert_cmpint(g_get_monotonic_time() - start_us, >=, 600000);
}

/* Guards against an engine that goes on for callers that have left. */
static void
test_engine_disconnect(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(
	    f, "engine", "--token-ms 10 --answer-min 3000 --answer-max 3000");
	g_autofree char *body = chat_body("x", 3000, true);
	struct hcl *other = hcl_open(f->loop);
	struct hcl *first = f->hcl;
	struct answer answer;

	(void)unused;
	f->hcl = other;
	call_start(f, &answer, engine->port, CHAT, body, "X-Request-Id: d1");
	run_loop(f, 0.3);
	f->hcl = first;
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "active"), ==, 1);
	hcl_close(other);
	run_loop(f, 0.6);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "active"), ==, 0);
	g_assert_cmpint(
	    number_of(f, engine->port, "/control/stats", NULL, "disconnected"),
	    ==, 1);
}

/* Guards against a poisoned request that does no harm in tests. */
static void
test_engine_crash_marker(struct fixture *f, gconstpointer unused)
{
	struct child *engine = start(f, "engine", "--token-ms 1");
	struct answer answer;
	int status;

	(void)unused;
	control(f, engine->port, "{\"crash_on\":\"poison\"}");
	g_assert_cmpint(chat_cached(f, engine->port, "harmless"), ==, 0);
	answer = chat(f, engine->port, "some poison here", NULL);
	g_assert_cmpint(answer.result.sent, ==, HCL_MAYBE_SENT);
	answer_clear(&answer);
	g_assert_cmpint(waitpid(engine->pid, &status, 0), ==, engine->pid);
	engine->pid = 0;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 134);
}

/* An engine that hangs answers nothing but /control. */
static void
test_engine_hang(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine", "--token-ms 1");
	g_autofree char *body = chat_body("x", 4, false);
	struct answer answer;

	(void)unused;
	control(f, engine->port, "{\"hang\":true}");
	call_start(f, &answer, engine->port, CHAT, body, NULL);
	run_loop(f, 0.3);
	g_assert_false(answer.done);
	control(f, engine->port, "{\"hang\":false}");
	while (!answer.done)
		run_loop(f, 10.0);
	g_assert_cmpint(answer.result.status, ==, 200);
	answer_clear(&answer);
}

#define ORDER(number) \
	"{\"kind\":\"load\",\"model\":\"m2\",\"fencing\":" #number "}"

/* Guards against tests of fencing that no engine enforces. */
static void
test_engine_fencing(struct fixture *f, gconstpointer unused)
{
	const struct child *checks = start(f, "engine", "--check-fencing");
	const struct child *ignores = start(f, "engine", "");

	(void)unused;
	g_assert_cmpint(
	    status_of(f, checks->port, "/orders", ORDER(5)), ==, 200);
	g_assert_cmpint(
	    status_of(f, checks->port, "/orders", ORDER(4)), ==, 409);
	g_assert_cmpint(
	    status_of(f, checks->port, "/orders", ORDER(5)), ==, 200);
	g_assert_cmpint(
	    status_of(f, ignores->port, "/orders", ORDER(5)), ==, 200);
	g_assert_cmpint(
	    status_of(f, ignores->port, "/orders", ORDER(4)), ==, 200);
	g_assert_cmpint(status_of(f, checks->port, CHAT,
			    "{\"model\":\"m3\",\"messages\":[]}"),
	    ==, 404);
}

/* Guards against late reports that are in fact current. */
static void
test_engine_load_lag(struct fixture *f, gconstpointer unused)
{
	const struct child *engine = start(f, "engine",
	    "--token-ms 2000 --load-lag-ms 1500 --event-lag-ms 1500 "
	    "--event-gap 2");
	g_autofree char *body = chat_body("slow", 4, false);
	struct answer answer, events;

	(void)unused;
	run_loop(f, 0.1);
	call_start(f, &answer, engine->port, CHAT, body, "X-Request-Id: r1");
	run_loop(f, 0.1);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "active"), ==, 0);
	g_assert_cmpint(
	    number_of(f, engine->port, "/cache/events", NULL, "next"), ==, 1);
	run_loop(f, 2.0);
	g_assert_cmpint(
	    number_of(f, engine->port, "/load", NULL, "active"), ==, 1);
	events = call_with(f, engine->port, "/cache/events", NULL, NULL);
	g_assert_cmpint(number_at(events.json, "events.0.number"), ==, 1);
	answer_clear(&events);
	g_assert_cmpint(
	    status_of(f, engine->port, "/cancel", "{\"request_id\":\"r1\"}"),
	    ==, 200);
	while (!answer.done)
		run_loop(f, 10.0);
	answer_clear(&answer);
}

/*
 * Guards against a lost reply without the effect, and against a client that
 * sends the request again by itself.
 */
static void
test_service_effect_without_reply(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "");
	struct answer answer;

	(void)unused;
	answer =
	    call_with(f, service->port, "/orders", "{}", "Idempotency-Key: k1");
	g_assert_cmpint(answer.result.status, ==, 200);
	answer_clear(&answer);
	control(f, service->port, "{\"lose_replies\":1}");
	answer =
	    call_with(f, service->port, "/orders", "{}", "Idempotency-Key: k1");
	g_assert_cmpint(answer.result.sent, ==, HCL_MAYBE_SENT);
	answer_clear(&answer);
	g_assert_cmpint(number_of(f, service->port, "/control/effects", NULL,
			    "effects.0.count"),
	    ==, 2);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 2);
}

/* fail_before refuses without an effect; --dedup performs a key once. */
static void
test_service_fail_before_and_dedup(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "--dedup");
	struct answer answer;

	(void)unused;
	control(f, service->port, "{\"fail_before\":1}");
	g_assert_cmpint(status_of(f, service->port, "/orders", "{}"), ==, 503);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 0);
	for (int i = 0; i < 3; i++) {
		answer = call_with(
		    f, service->port, "/orders", "{}", "Idempotency-Key: k");
		answer_clear(&answer);
	}
	answer =
	    call_with(f, service->port, "/orders", NULL, "Authorization: x");
	answer_clear(&answer);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 2);
	g_assert_cmpint(number_of(f, service->port, "/control/effects", NULL,
			    "authorization_headers"),
	    ==, 1);
}

/* A service behind a proxy; returns the proxy and its control port. */
static const struct child *
start_proxy(struct fixture *f, const struct child *service, unsigned *port)
{
	g_autofree char *options =
	    g_strdup_printf("--to 127.0.0.1:%u", service->port);
	const struct child *proxy = start(f, "proxy", options);

	*port = read_port(proxy->out, "control");
	return (proxy);
}

/* Guards against a partition that lets requests through. */
static void
test_proxy_drop(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "");
	unsigned port;
	const struct child *proxy = start_proxy(f, service, &port);
	struct answer answer;

	(void)unused;
	g_assert_cmpint(status_of(f, proxy->port, "/a", "{}"), ==, 200);
	control(f, port, "{\"mode\":\"drop\"}");
	call_start(f, &answer, proxy->port, "/b", "{}", NULL);
	run_loop(f, 0.3);
	g_assert_false(answer.done);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 1);
	/* As with TCP, what was sent arrives once the network is back. */
	control(f, port, "{\"mode\":\"pass\"}");
	while (!answer.done)
		run_loop(f, 10.0);
	g_assert_cmpint(answer.result.status, ==, 200);
	answer_clear(&answer);
}

/* In one direction the request has its effect and the reply is missing. */
static void
test_proxy_drop_one_way(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "");
	unsigned port;
	const struct child *proxy = start_proxy(f, service, &port);
	struct answer answer;

	(void)unused;
	control(f, port, "{\"mode\":\"drop\",\"direction\":\"to_client\"}");
	call_start(f, &answer, proxy->port, "/a", "{}", NULL);
	run_loop(f, 0.3);
	g_assert_false(answer.done);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 1);
	control(f, port, "{\"mode\":\"reset\"}");
	while (!answer.done)
		run_loop(f, 10.0);
	g_assert_cmpint(answer.result.sent, ==, HCL_MAYBE_SENT);
	answer_clear(&answer);
}

/* Open connections go silent for good while new ones work. */
static void
test_proxy_silence(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "");
	unsigned port;
	const struct child *proxy = start_proxy(f, service, &port);
	struct answer answer;
	struct hcl *other = hcl_open(f->loop);
	struct hcl *first = f->hcl;

	(void)unused;
	g_assert_cmpint(status_of(f, proxy->port, "/a", "{}"), ==, 200);
	control(f, port, "{\"silence_existing\":true}");
	/* This client reuses its connection, which is silent. */
	call_start(f, &answer, proxy->port, "/b", "{}", NULL);
	run_loop(f, 0.3);
	g_assert_false(answer.done);
	f->hcl = other;
	g_assert_cmpint(status_of(f, proxy->port, "/c", "{}"), ==, 200);
	f->hcl = first;
	hcl_close(other);
	g_assert_false(answer.done);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 2);
	while (!answer.done)
		run_loop(f, 10.0);
	g_assert_true(answer.result.timed_out);
	answer_clear(&answer);
}

/* The reply is lost after the effect, once. */
static void
test_proxy_lose_reply(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "");
	unsigned port;
	const struct child *proxy = start_proxy(f, service, &port);
	struct answer answer;

	(void)unused;
	control(f, port, "{\"lose_replies\":1}");
	answer = call_with(f, proxy->port, "/a", "{}", NULL);
	g_assert_cmpint(answer.result.sent, ==, HCL_MAYBE_SENT);
	answer_clear(&answer);
	g_assert_cmpint(status_of(f, proxy->port, "/b", "{}"), ==, 200);
	g_assert_cmpint(
	    number_of(f, service->port, "/control/effects", NULL, "performed"),
	    ==, 2);
	g_assert_cmpint(
	    number_of(f, port, "/control/stats", NULL, "lost_replies"), ==, 1);
}

/* Refused connections are told apart from broken ones; delay is applied. */
static void
test_proxy_refuse_and_delay(struct fixture *f, gconstpointer unused)
{
	const struct child *service = start(f, "service", "");
	unsigned port;
	const struct child *proxy = start_proxy(f, service, &port);
	struct answer answer;
	gint64 before;

	(void)unused;
	control(f, port, "{\"mode\":\"refuse\"}");
	answer = call_with(f, proxy->port, "/a", "{}", NULL);
	g_assert_cmpint(answer.result.sent, ==, HCL_NOT_SENT);
	answer_clear(&answer);
	control(f, port, "{\"mode\":\"pass\",\"delay_ms\":150}");
	before = g_get_monotonic_time();
	g_assert_cmpint(status_of(f, proxy->port, "/b", "{}"), ==, 200);
	g_assert_cmpint(g_get_monotonic_time() - before, >=, 290000);
}

/* Guards against stand-ins that outlive the test that started them. */
static void
test_stops_by_itself(struct fixture *f, gconstpointer unused)
{
	struct child *log = start(f, "log", "--max-seconds 1");
	struct child *proxy = start(f, "proxy", "--to 127.0.0.1:1");
	int status;

	(void)unused;
	(void)kill(proxy->pid, SIGTERM);
	g_assert_cmpint(waitpid(proxy->pid, &status, 0), ==, proxy->pid);
	g_assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	g_assert_cmpint(waitpid(log->pid, &status, 0), ==, log->pid);
	g_assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	log->pid = proxy->pid = 0;
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) \
	g_test_add( \
	    name, struct fixture, NULL, fixture_open, test, fixture_close)
	ADD("/log/append-limit", test_log_append_limit);
	ADD("/log/retention", test_log_retention);
	ADD("/log/retention-by-age", test_log_retention_by_age);
	ADD("/log/outage", test_log_outage);
	ADD("/log/lost-append-reply", test_log_lost_append_reply);
	ADD("/log/long-poll", test_log_long_poll);
	ADD("/members/lag", test_members_lag);
	ADD("/weights/share-bandwidth", test_weights_share_bandwidth);
	ADD("/engine/prefix-cache", test_engine_prefix_cache);
	ADD("/engine/caches-answer", test_engine_caches_answer);
	ADD("/engine/release", test_engine_release);
	ADD("/engine/export-import", test_engine_export_import);
	ADD("/engine/stream-and-resume", test_engine_stream_and_resume);
	ADD("/engine/cancel", test_engine_cancel);
	ADD("/engine/batch", test_engine_batch);
	ADD("/engine/disconnect", test_engine_disconnect);
	ADD("/engine/crash-marker", test_engine_crash_marker);
	ADD("/engine/hang", test_engine_hang);
	ADD("/engine/fencing", test_engine_fencing);
	ADD("/engine/load-lag", test_engine_load_lag);
	ADD("/service/effect-without-reply", test_service_effect_without_reply);
	ADD("/service/fail-before-and-dedup",
	    test_service_fail_before_and_dedup);
	ADD("/proxy/drop", test_proxy_drop);
	ADD("/proxy/drop-one-way", test_proxy_drop_one_way);
	ADD("/proxy/silence", test_proxy_silence);
	ADD("/proxy/lose-reply", test_proxy_lose_reply);
	ADD("/proxy/refuse-and-delay", test_proxy_refuse_and_delay);
	ADD("/stops-by-itself", test_stops_by_itself);
	return (g_test_run());
}
