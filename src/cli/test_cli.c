/*
 * The command line: exit statuses, the questionnaire and its generated files,
 * and ctl against a small operators' port on a thread of its own.
 */
#include <ev.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "config/schema.h"
#include "lib/web.h"

struct fixture {
	char *directory;
	char *out; /* of the last command */
	char *err;
	struct ev_loop *loop;
	ev_async stop;
	GThread *thread;
	struct web *web;
	char *instance; /* URL */
	/* Written by the server's thread while a command runs. */
	GString *requests; /* "METHOD PATH BODY\n" */
	bool lose_race;
	bool drop_reply;
	json_t *stored; /* object name -> {"object", "version", "value"} */
	int version;
};

static void
reply_json(struct web_req *req, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	web_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

static void
serve_change(struct fixture *f, struct web_req *req, const char *body)
{
	json_t *change = json_loads(body, 0, NULL);
	const char *object =
	    json_string_value(json_object_get(change, "object"));

	if (f->drop_reply) {
		web_stream_begin(req, 200, "application/json");
		web_stream_abort(req);
	} else if (f->lose_race) {
		reply_json(req, 409,
		    json_pack("{s:{s:s,s:s,s:s},s:{s:s,s:i}}", "error", "code",
			"conflict", "message", "another change was first",
			"ran", "no", "winner", "by", "maria", "version", 7));
	} else {
		f->version++;
		(void)json_object_set_new(f->stored, object,
		    json_pack("{s:s,s:i,s:O}", "object", object, "version",
			f->version, "value", json_object_get(change, "value")));
		reply_json(req, 200, json_pack("{s:i}", "version", f->version));
	}
	json_decref(change);
}

static void
serve_object(struct fixture *f, struct web_req *req, const char *object)
{
	json_t *found = json_object_get(f->stored, object);

	if (found != NULL) {
		reply_json(req, 200, json_incref(found));
		return;
	}
	reply_json(req, 404,
	    json_pack("{s:{s:s,s:s}}", "error", "code", "not_found", "message",
		"no such object"));
}

static void
serve_objects(struct fixture *f, struct web_req *req)
{
	json_t *list = json_array();
	const char *key;
	json_t *item;

	json_object_foreach(f->stored, key, item)
	{
		(void)json_array_append(list, item);
	}
	reply_json(req, 200, json_pack("{s:o}", "objects", list));
}

static void
on_request(struct web_req *req, void *arg)
{
	struct fixture *f = arg;
	const char *path = web_path(req);
	size_t len;
	const char *body = web_body(req, &len);

	g_string_append_printf(
	    f->requests, "%s %s %s\n", web_method(req), path, body);
	if (strcmp(path, "/ctl/objects") == 0 &&
	    strcmp(web_method(req), "POST") == 0)
		serve_change(f, req, body);
	else if (strcmp(path, "/ctl/objects") == 0)
		serve_objects(f, req);
	else if (g_str_has_prefix(path, "/ctl/objects/"))
		serve_object(f, req, path + strlen("/ctl/objects/"));
	else if (strcmp(path, "/ctl/instances") == 0)
		reply_json(req, 200,
		    json_pack("{s:[{s:s,s:b},{s:s,s:b,s:s}]}", "instances",
			"name", "a", "ready", 1, "name", "longer-name", "ready",
			0, "note", "\x1b[2J"));
	else if (strcmp(path, "/ctl/where") == 0)
		reply_json(req, 200,
		    json_pack("{s:s}", "offset", web_query(req, "offset")));
	else if (strcmp(path, "/explain") == 0)
		reply_json(req, 200,
		    json_pack("{s:s,s:[{s:s,s:s}]}", "route",
			web_query(req, "path"), "candidates", "upstream", "u-1",
			"excluded", web_query(req, "organisation")));
	else if (strcmp(path, "/ctl/programs/p-gone") == 0)
		serve_object(f, req, "p-gone");
	else if (strcmp(path, "/ctl/status") == 0)
		reply_json(req, 200,
		    json_pack(
			"{s:s,s:{s:i}}", "instance", "a", "log", "offset", 5));
	else
		reply_json(req, 200, json_pack("{s:b}", "done", 1));
}

static void
on_stop(struct ev_loop *loop, ev_async *stop, int events)
{
	(void)stop;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static gpointer
serve(gpointer arg)
{
	struct fixture *f = arg;

	ev_run(f->loop, 0);
	return (NULL);
}

static void
fixture_open(struct fixture *f, gconstpointer unused)
{
	struct web_options options = {
	    .address = "127.0.0.1", .max_body = 100000, .max_connections = 16};
	char *error = NULL;

	(void)unused;
	f->directory = g_dir_make_tmp("cli-XXXXXX", NULL);
	f->requests = g_string_new(NULL);
	f->stored = json_object();
	f->version = 100;
	f->loop = ev_loop_new(0);
	f->web = web_open(f->loop, &options, on_request, f, &error);
	g_assert_nonnull(f->web);
	f->instance =
	    g_strdup_printf("http://127.0.0.1:%u", (unsigned)web_port(f->web));
	ev_async_init(&f->stop, on_stop);
	ev_async_start(f->loop, &f->stop);
	f->thread = g_thread_new("server", serve, f);
}

static void
remove_tree(const char *path)
{
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *child = g_build_filename(path, name, NULL);

		remove_tree(child);
	}
	(void)g_remove(path);
}

static void
fixture_close(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	ev_async_send(f->loop, &f->stop);
	(void)g_thread_join(f->thread);
	web_close(f->web);
	ev_loop_destroy(f->loop);
	json_decref(f->stored);
	g_string_free(f->requests, TRUE);
	remove_tree(f->directory);
	g_free(f->directory);
	g_free(f->instance);
	free(f->out);
	free(f->err);
}

/* Run a command line whose arguments hold no spaces. */
static int run_line(struct fixture *f, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static int
run_line(struct fixture *f, const char *format, ...)
{
	g_auto(GStrv) words = NULL;
	g_autofree char *line = NULL;
	struct cli_io io;
	size_t out_len, err_len;
	va_list ap;
	int status;

	va_start(ap, format);
	line = g_strdup_vprintf(format, ap);
	va_end(ap);
	words = g_strsplit(line, " ", -1);
	free(f->out);
	free(f->err);
	io.out = open_memstream(&f->out, &out_len);
	io.err = open_memstream(&f->err, &err_len);
	status = cli_run(&io, (int)g_strv_length(words), words);
	(void)fclose(io.out);
	(void)fclose(io.err);
	return (status);
}

static int
run_ctl(struct fixture *f, const char *command)
{
	return (run_line(f, "samphireshed ctl --operator test --instance %s %s",
	    f->instance, command));
}

static void
assert_holds(const char *text, const char *expected)
{
	if (strstr(text, expected) == NULL)
		g_error("expected \"%s\" in \"%s\"", expected, text);
}

static char *
write_text(struct fixture *f, const char *name, const char *text)
{
	char *path = g_build_filename(f->directory, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return (path);
}

/* Guards against scripts that can't tell bad usage from a failure. */
static void
test_usage(struct fixture *f, gconstpointer unused)
{
	static const char *const bad[] = {"", " nonsense", " serve",
	    " serve --config", " check", " check --no-such", " init",
	    " init --answers x", " init --print-questions --output x", " ctl",
	    " ctl status", " ctl --instance http://127.0.0.1:1 nonsense",
	    " ctl --instance http://127.0.0.1:1 config",
	    " ctl --instance http://127.0.0.1:1 config apply",
	    " ctl --instance http://127.0.0.1:1 status more",
	    " ctl --instance http://host:1 status",
	    " ctl --instance http://127.0.0.1:1/x status",
	    " ctl --instance http:// status",
	    " ctl --instance http://127.0.0.1:1 config where x",
	    " ctl --instance http://127.0.0.1:1 --expires-in 1d key create a"};
	static const char *const good[] = {"--help", "--version",
	    "serve --help", "check -h", "init --help", "ctl --help"};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_cmpint(
		    run_line(f, "samphireshed%s", bad[i]), ==, CLI_USAGE);
		g_assert_cmpstr(f->out, ==, "");
		g_assert_cmpstr(f->err, !=, "");
	}
	for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
		g_auto(GStrv) lines = NULL;

		g_assert_cmpint(
		    run_line(f, "samphireshed %s", good[i]), ==, CLI_OK);
		g_assert_cmpstr(f->err, ==, "");
		lines = g_strsplit(f->out, "\n", -1);
		g_assert_cmpuint(g_strv_length(lines), <=, 30);
	}
	g_assert_cmpint(
	    run_line(f, "samphireshed serve --config %s/none", f->directory),
	    ==, CLI_FAILURE);
}

static void
test_check(struct fixture *f, gconstpointer unused)
{
	g_autofree char *bad = write_text(f, "bad.yaml", "instance: A\n");

	(void)unused;
	g_assert_cmpint(run_line(f,
			    "samphireshed check "
			    "examples/pinhao/generated/instances/cwb-1-1.yaml"),
	    ==, CLI_OK);
	g_assert_cmpint(
	    run_line(f, "samphireshed check %s", bad), ==, CLI_FAILURE);
	assert_holds(f->err, "bad.yaml:1: instance: \"A\" is not accepted");
	assert_holds(f->err, "bad.yaml:1: callers: required and missing");
	g_assert_cmpint(run_line(f, "samphireshed check --objects %s", bad), ==,
	    CLI_FAILURE);
}

static void
assert_same_files(const char *expected, const char *actual)
{
	g_autoptr(GDir) dir = g_dir_open(expected, 0, NULL);
	g_autoptr(GDir) other = g_dir_open(actual, 0, NULL);
	unsigned files = 0, others = 0;
	const char *name;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *a = g_build_filename(expected, name, NULL);
		g_autofree char *b = g_build_filename(actual, name, NULL);
		g_autofree char *a_text = NULL;
		g_autofree char *b_text = NULL;

		files++;
		if (g_file_test(a, G_FILE_TEST_IS_DIR)) {
			assert_same_files(a, b);
			continue;
		}
		g_assert_true(g_file_get_contents(a, &a_text, NULL, NULL));
		g_assert_true(g_file_get_contents(b, &b_text, NULL, NULL));
		g_assert_cmpstr(a_text, ==, b_text);
	}
	while (g_dir_read_name(other) != NULL)
		others++;
	g_assert_cmpuint(files, ==, others);
}

/* Guards against examples that no longer match what init generates. */
static void
test_examples_are_reproduced(struct fixture *f, gconstpointer unused)
{
	static const char *const names[] = {"peachline", "pinhao"};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *expected =
		    g_strdup_printf("examples/%s/generated", names[i]);
		g_autofree char *actual =
		    g_build_filename(f->directory, names[i], NULL);

		g_assert_cmpint(
		    run_line(f,
			"samphireshed init --answers examples/%s/answers.yaml "
			"--output %s",
			names[i], actual),
		    ==, CLI_OK);
		assert_same_files(expected, actual);
		g_assert_cmpint(run_line(f,
				    "samphireshed check --objects "
				    "%s/objects.yaml",
				    actual),
		    ==, CLI_OK);
	}
}

static void
refuse_answer(
    struct fixture *f, const char *from, const char *to, const char *expected)
{
	g_autofree char *text = NULL;
	g_autofree char *path = NULL;
	g_auto(GStrv) parts = NULL;
	g_autofree char *changed = NULL;

	g_assert_true(g_file_get_contents(
	    "examples/peachline/answers.yaml", &text, NULL, NULL));
	parts = g_strsplit(text, from, 2);
	g_assert_cmpuint(g_strv_length(parts), ==, 2);
	changed = g_strjoinv(to, parts);
	path = write_text(f, "answers.yaml", changed);
	g_assert_cmpint(
	    run_line(f, "samphireshed init --answers %s --output %s/out", path,
		f->directory),
	    ==, CLI_FAILURE);
	assert_holds(f->err, expected);
	assert_holds(f->err, "answers.yaml:");
}

/* Guards against answers that are accepted and fail later, in the fleet. */
static void
test_answers_out_of_range(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	refuse_answer(f, "requests_at_once: 9\n", "requests_at_once: 2\n",
	    "less than the number of data centres, and a data centre whose "
	    "part is less than 1 lets no request through; answer at least 3");
	refuse_answer(f, "operators: 8081", "operators: 8080",
	    "two of the three ports are the same; give each its own");
	refuse_answer(f, "home: clt-1", "home: clt-2",
	    "\"clt-2\" is none of the datacentres above; did you mean "
	    "\"clt-1\"?");
	refuse_answer(f, "models: [chat-small]", "models: [chat-tiny]",
	    "\"chat-tiny\" is none of the models above");
	refuse_answer(f, "10.11.1.1", "atl-1-1.example",
	    "write it like 10.0.0.1 or fd00::1, without a port");
	refuse_answer(f, "number: 2", "number: 1",
	    "1 was given before; give each data centre its own");
	refuse_answer(f, "longest_answer_tokens: 8192",
	    "longest_answer_tokens: 300000", "answer at most 220000");
	refuse_answer(f, "turns: 290", "turns: 500",
	    "accepted is an integer from 1 to 290. After how many calls");
	refuse_answer(f, "path: /stock", "path: stock",
	    "does not begin with \"/\"; write \"/stock\"");
	refuse_answer(f, "engine-atl-1-2", "engine-atl-1-1",
	    "\"engine-atl-1-1\" was given before");
	refuse_answer(f, "may_be_repeated", "may_be_repeatd",
	    "the nearest known key is \"may_be_repeated\"");
}

/* The empty questionnaire is YAML whose only faults are missing answers. */
static void
test_print_questions(struct fixture *f, gconstpointer unused)
{
	g_autofree char *path = NULL;
	g_auto(GStrv) lines = NULL;

	(void)unused;
	g_assert_cmpint(
	    run_line(f, "samphireshed init --print-questions"), ==, CLI_OK);
	lines = g_strsplit(f->out, "\n", -1);
	for (size_t i = 0; lines[i] != NULL; i++)
		g_assert_cmpuint(strlen(lines[i]), <=, 80);
	path = write_text(f, "answers.yaml", f->out);
	g_assert_cmpint(
	    run_line(f, "samphireshed init --answers %s --output %s/out", path,
		f->directory),
	    ==, CLI_FAILURE);
	assert_holds(f->err, "datacentres[].name: required and missing");
	g_assert_null(strstr(f->err, "unknown key"));
	g_assert_null(strstr(f->err, "tls"));
}

static void
test_tables(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpint(run_ctl(f, "instance list"), ==, CLI_OK);
	/* Control characters could give orders to the terminal. */
	g_assert_cmpstr(f->out, ==,
	    "NAME         READY  NOTE\n"
	    "a            yes    -\n"
	    "longer-name  no     ?[2J\n");
	g_assert_cmpint(run_ctl(f, "status"), ==, CLI_OK);
	g_assert_cmpstr(f->out, ==, "instance    a\nlog.offset  5\n");
	g_assert_cmpint(run_ctl(f, "--json status"), ==, CLI_OK);
	g_assert_cmpstr(
	    f->out, ==, "{\"instance\":\"a\",\"log\":{\"offset\":5}}\n");
}

static void
test_routes(struct fixture *f, gconstpointer unused)
{
	static const char *const cases[][2] = {
	    {"config history", "GET /ctl/history \n"},
	    {"config where 12", "GET /ctl/where \n"},
	    {"config show", "GET /ctl/objects \n"},
	    {"key withdraw k-1", "POST /ctl/keys/k-1/withdraw \n"},
	    {"program list", "GET /ctl/programs \n"},
	    {"program show p-1", "GET /ctl/programs/p-1 \n"},
	    {"program cancel p-1", "DELETE /ctl/programs/p-1 \n"},
	    {"upstream list", "GET /ctl/upstreams \n"},
	    {"instance drain", "POST /ctl/drain \n"},
	    {"trace 0af7", "GET /ctl/traces/0af7 \n"},
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_string_truncate(f->requests, 0);
		g_assert_cmpint(run_ctl(f, cases[i][0]), ==, CLI_OK);
		g_assert_cmpstr(f->requests->str, ==, cases[i][1]);
	}
	g_assert_cmpint(run_ctl(f, "config where 12"), ==, CLI_OK);
	assert_holds(f->out, "offset  12");
}

static void
test_refusal(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpint(run_ctl(f, "program show p-gone"), ==, CLI_FAILURE);
	assert_holds(f->err, "no such object (not_found, HTTP status 404)");
	g_assert_cmpint(
	    run_line(f, "samphireshed ctl -i http://127.0.0.1:1 status"), ==,
	    CLI_FAILURE);
	assert_holds(f->err, "nothing was sent to http://127.0.0.1:1");
}

static const char two_objects[] =
    "- object: organisation/a\n  value: {rate: 1, burst: 3}\n"
    "- object: datacentre/d\n  value: {number: 1}\n";

static void
test_config_apply(struct fixture *f, gconstpointer unused)
{
	g_autofree char *path = write_text(f, "o.yaml", two_objects);
	g_autofree char *command = g_strconcat("config apply ", path, NULL);

	(void)unused;
	g_assert_cmpint(run_ctl(f, command), ==, CLI_OK);
	g_assert_cmpstr(f->out, ==,
	    "OBJECT          RESULT    VERSION\n"
	    "organisation/a  accepted  101\n"
	    "datacentre/d    accepted  102\n");
	assert_holds(f->requests->str,
	    "POST /ctl/objects {\"object\":\"organisation/a\",\"base\":0,"
	    "\"value\":{\"rate\":1,\"burst\":3},\"by\":\"test\"}\n");
	/* A second run changes nothing, so it may follow a lost reply. */
	g_string_truncate(f->requests, 0);
	g_assert_cmpint(run_ctl(f, command), ==, CLI_OK);
	assert_holds(f->out, "organisation/a  unchanged  101");
	g_assert_null(strstr(f->requests->str, "POST"));
}

/* Guards against an operator who believes a change that lost the race. */
static void
test_lost_race(struct fixture *f, gconstpointer unused)
{
	g_autofree char *path = write_text(f, "o.yaml", two_objects);
	g_autofree char *command = g_strconcat("config apply ", path, NULL);

	(void)unused;
	f->lose_race = true;
	g_assert_cmpint(run_ctl(f, command), ==, CLI_FAILURE);
	assert_holds(f->out, "organisation/a  lost the race");
	assert_holds(f->out, "maria");
	assert_holds(f->out, "another change was first");
}

/* Guards against a change reported as refused that may have been made. */
static void
test_lost_reply(struct fixture *f, gconstpointer unused)
{
	g_autofree char *path = write_text(f, "o.yaml", two_objects);
	g_autofree char *command = g_strconcat("config apply ", path, NULL);

	(void)unused;
	f->drop_reply = true;
	g_assert_cmpint(run_ctl(f, command), ==, CLI_FAILURE);
	assert_holds(f->out, "organisation/a  unknown");
	g_assert_cmpint(run_ctl(f, "key create a"), ==, CLI_FAILURE);
	g_assert_null(strstr(f->out, "sk-"));
	assert_holds(f->err, "The key may exist but is not shown; withdraw it");
}

/* Guards against an apply that sends a part of a file with errors. */
static void
test_apply_of_bad_file(struct fixture *f, gconstpointer unused)
{
	g_autofree char *text =
	    g_strconcat(two_objects, "- object: x/y\n  value: {}\n", NULL);
	g_autofree char *path = write_text(f, "o.yaml", text);
	g_autofree char *command = g_strconcat("config apply ", path, NULL);

	(void)unused;
	g_assert_cmpint(run_ctl(f, command), ==, CLI_FAILURE);
	assert_holds(f->err, "o.yaml:5: x/y");
	assert_holds(f->err, "nothing was sent");
	g_assert_cmpstr(f->requests->str, ==, "");
}

/* The key goes to the terminal only; the server receives its digest. */
static void
test_key_create(struct fixture *f, gconstpointer unused)
{
	unsigned char digest[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(digest) + 1];
	json_t *made;
	const char *key, *id;

	(void)unused;
	g_assert_cmpint(
	    run_ctl(f, "--json --expires-in 24h key create acme"), ==, CLI_OK);
	made = json_loads(f->out, 0, NULL);
	key = json_string_value(json_object_get(made, "key"));
	id = json_string_value(json_object_get(made, "id"));
	g_assert_cmpuint(strlen(key), ==, strlen("sk-") + 64);
	g_assert_null(strstr(f->requests->str, key));
	g_assert_null(strstr(f->requests->str, key + strlen("sk-")));
	(void)crypto_hash_sha256(
	    digest, (const unsigned char *)key, strlen(key));
	(void)sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	assert_holds(f->requests->str, hex);
	assert_holds(f->requests->str, id);
	json_decref(made);
	g_assert_cmpint(run_ctl(f, "key list"), ==, CLI_OK);
	assert_holds(f->out, "acme          active");
	g_assert_null(strstr(f->out, hex));
}

static void
test_states(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpint(run_ctl(f, "datacentre lost d"), ==, CLI_FAILURE);
	assert_holds(f->err, "datacentre/d: there is no such object");
	(void)json_object_set_new(f->stored, "datacentre/d",
	    json_pack("{s:s,s:i,s:{s:i}}", "object", "datacentre/d", "version",
		9, "value", "number", 1));
	(void)json_object_set_new(f->stored, "upstream/u",
	    json_pack("{s:s,s:i,s:{s:i}}", "object", "upstream/u", "version",
		10, "value", "capacity", 1));
	g_assert_cmpint(run_ctl(f, "datacentre lost d"), ==, CLI_OK);
	assert_holds(f->requests->str,
	    "\"base\":9,\"value\":{\"number\":1,\"state\":\"lost\"}");
	g_assert_cmpint(run_ctl(f, "upstream drain u"), ==, CLI_OK);
	assert_holds(f->requests->str,
	    "\"base\":10,\"value\":{\"capacity\":1,\"state\":\"leaving\"}");
}

/* Guards against an error code that operators can't look up. */
static void
test_errors_page(struct fixture *f, gconstpointer unused)
{
	g_autofree char *page = NULL;

	(void)f;
	(void)unused;
	g_assert_true(
	    g_file_get_contents("docs/operators/errors.md", &page, NULL, NULL));
	for (int code = VD_OK; code <= VD_INTERNAL; code++) {
		struct vd vd =
		    vd_make(VD_NOT_RUN, (enum vd_code)code, "%s", "");
		g_autofree char *row = g_strdup_printf("\n| `%s` | %d |",
		    vd_code_name((enum vd_code)code), vd.status);

		assert_holds(page, row);
	}
}

/* Guards against arguments that change the query, and a lost table. */
static void
test_explain(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpint(run_ctl(f, "explain h /chat/1&x=2 o%20x"), ==, CLI_OK);
	assert_holds(f->out, "/chat/1&x=2");
	assert_holds(f->out, "u-1");
	assert_holds(f->out, "o%20x");
	g_assert_cmpint(run_ctl(f, "explain h"), ==, CLI_USAGE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) \
	g_test_add( \
	    name, struct fixture, NULL, fixture_open, test, fixture_close)
	ADD("/cli/usage", test_usage);
	ADD("/cli/check", test_check);
	ADD("/cli/examples-are-reproduced", test_examples_are_reproduced);
	ADD("/cli/answers-out-of-range", test_answers_out_of_range);
	ADD("/cli/print-questions", test_print_questions);
	ADD("/cli/tables", test_tables);
	ADD("/cli/routes", test_routes);
	ADD("/cli/explain", test_explain);
	ADD("/cli/refusal", test_refusal);
	ADD("/cli/config-apply", test_config_apply);
	ADD("/cli/lost-race", test_lost_race);
	ADD("/cli/lost-reply", test_lost_reply);
	ADD("/cli/apply-of-bad-file", test_apply_of_bad_file);
	ADD("/cli/key-create", test_key_create);
	ADD("/cli/states", test_states);
	ADD("/cli/errors-page", test_errors_page);
	return (g_test_run());
}
