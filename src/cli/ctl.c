#include <ev.h>
#include <sodium.h>
#include <stdbool.h>
#include <string.h>

#include "cli/cli.h"
#include "config/schema.h"
#include "lib/hcl.h"

#define CTL_TIMEOUT (15 * CLK_SECOND)

#define KEY_SIZE    32
#define KEY_ID_SIZE 8
#define KEY_PREFIX  "sk-"

struct ctl {
	const struct cli_io *io;
	struct ev_loop *loop;
	struct hcl *hcl;
	const char *instance; /* base URL */
	const char *operator; /* who makes a change */
	clk_ms expires_in; /* of a new key; 0: never */
	bool json;
	bool unreachable; /* a request could not be sent */
};

struct reply {
	struct ev_loop *loop;
	enum hcl_sent sent;
	int status;
	json_t *json; /* nil if the body is no JSON */
	char *error; /* transport error, "" if none */
};

struct command {
	const char *words[2];
	int args_min;
	int args_max;
	int (*run)(struct ctl *ctl, char **args);
	const char *synopsis;
	const char *help; /* nil: the entry before has it */
};

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct reply *reply = arg;

	reply->sent = result->sent;
	reply->status = result->status;
	reply->error = g_strdup(result->error);
	reply->json = json_loadb(result->body != NULL ? result->body : "",
	    result->body_len, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
	ev_break(reply->loop, EVBREAK_ALL);
}

static void
reply_free(struct reply *reply)
{
	json_decref(reply->json);
	g_free(reply->error);
}

/* Send a request and wait for the reply; body is borrowed and may be nil. */
static void
fetch(struct ctl *ctl, const char *method, const char *path, const json_t *body,
    struct reply *reply)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	g_autofree char *url = g_strconcat(ctl->instance, path, NULL);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	struct hcl_request request = {.method = method,
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .body_len = text != NULL ? strlen(text) : 0,
	    .timeout = CTL_TIMEOUT,
	    .max_body = 64 << 20,
	    .on_done = on_done,
	    .arg = reply};

	*reply = (struct reply){.loop = ctl->loop};
	(void)hcl_start(ctl->hcl, &request);
	ev_run(ctl->loop, 0);
	if (reply->sent == HCL_NOT_SENT)
		ctl->unreachable = true;
	free(text);
}

static bool
is_success(const struct reply *reply)
{
	return (reply->sent == HCL_REPLIED && reply->status >= 200 &&
	    reply->status < 300 && reply->json != NULL);
}

static const char *
text_at(const json_t *json, const char *key, const char *otherwise)
{
	const char *text = json_string_value(json_object_get(json, key));

	return (text != NULL ? text : otherwise);
}

/* Say why a request failed, and whether it may have had an effect. */
static int
report_failure(
    struct ctl *ctl, const char *what, bool changes, const struct reply *reply)
{
	const json_t *error = json_object_get(reply->json, "error");

	if (reply->sent == HCL_NOT_SENT)
		(void)fprintf(ctl->io->err, "%s: nothing was sent to %s: %s\n",
		    what, ctl->instance, reply->error);
	else if (reply->sent == HCL_MAYBE_SENT)
		(void)fprintf(ctl->io->err,
		    "%s: no whole reply from %s: %s%s\n", what, ctl->instance,
		    reply->error,
		    changes ? "; the change may have been made" : "");
	else if (json_is_object(error))
		(void)fprintf(ctl->io->err, "%s: %s (%s, HTTP status %d)\n",
		    what, text_at(error, "message", "no message"),
		    text_at(error, "code", "no code"), reply->status);
	else
		(void)fprintf(ctl->io->err,
		    "%s: HTTP status %d without an error text that samphireshed "
		    "sends\n",
		    what, reply->status);
	return (CLI_FAILURE);
}

static void
print_json(struct ctl *ctl, const json_t *value)
{
	(void)json_dumpf(value, ctl->io->out, JSON_COMPACT | JSON_ENCODE_ANY);
	(void)fputc('\n', ctl->io->out);
}

static void
print_value(struct ctl *ctl, const json_t *value)
{
	if (ctl->json)
		print_json(ctl, value);
	else
		cli_value_print(ctl->io->out, value);
}

/* Send one request and print its reply. */
static int
run_request(struct ctl *ctl, const char *what, const char *method,
    const char *path, const json_t *body)
{
	struct reply reply;
	int status = CLI_OK;

	fetch(ctl, method, path, body, &reply);
	if (is_success(&reply))
		print_value(ctl, reply.json);
	else
		status = report_failure(
		    ctl, what, strcmp(method, "GET") != 0, &reply);
	reply_free(&reply);
	return (status);
}

/* Append a path segment that an argument gives. */
static char *
path_with(const char *prefix, const char *segment, const char *suffix)
{
	g_autofree char *escaped = g_uri_escape_string(segment, NULL, FALSE);

	return (g_strconcat(prefix, escaped, suffix, NULL));
}

/*
 * Fetch the current version of an object.  *base is 0 and *value nil if there
 * is none.  A failure has been reported if false is returned.
 */
static bool
fetch_object(
    struct ctl *ctl, const char *object, json_int_t *base, json_t **value)
{
	g_autofree char *path = g_strconcat("/ctl/objects/", object, NULL);
	struct reply reply;
	bool ok = true;

	*base = 0;
	*value = NULL;
	fetch(ctl, "GET", path, NULL, &reply);
	if (is_success(&reply) &&
	    json_is_integer(json_object_get(reply.json, "version"))) {
		*base =
		    json_integer_value(json_object_get(reply.json, "version"));
		*value = json_incref(json_object_get(reply.json, "value"));
	} else if (reply.sent != HCL_REPLIED || reply.status != 404) {
		(void)report_failure(ctl, object, false, &reply);
		ok = false;
	}
	reply_free(&reply);
	return (ok);
}

/* The outcome of a change, for people and as JSON. */
static json_t *
change_result(const char *object, const char *result, const struct reply *reply)
{
	const json_t *error = json_object_get(reply->json, "error");
	json_t *winner = json_object_get(reply->json, "winner");
	json_t *version = json_object_get(reply->json, "version");
	json_t *row =
	    json_pack("{s:s,s:s}", "object", object, "result", result);

	if (version != NULL)
		(void)json_object_set(row, "version", version);
	if (winner != NULL)
		(void)json_object_set(row, "winner", winner);
	if (error != NULL)
		(void)json_object_set_new(
		    row, "message", json_string(text_at(error, "message", "")));
	else if (reply->sent != HCL_REPLIED)
		(void)json_object_set_new(
		    row, "message", json_string(reply->error));
	return (row);
}

/* Post a change of one object; value is borrowed. */
static json_t *
post_change(struct ctl *ctl, const char *object, json_int_t base, json_t *value,
    bool *ok)
{
	json_t *body = json_pack("{s:s,s:I,s:O,s:s}", "object", object, "base",
	    base, "value", value, "by", ctl->operator);
	const char *result = "refused";
	struct reply reply;
	json_t *row;

	fetch(ctl, "POST", "/ctl/objects", body, &reply);
	*ok = is_success(&reply);
	if (*ok)
		result = "accepted";
	else if (reply.sent == HCL_NOT_SENT)
		result = "not sent";
	else if (reply.sent == HCL_MAYBE_SENT)
		result = "unknown";
	else if (reply.status == 409)
		result = "lost the race";
	row = change_result(object, result, &reply);
	reply_free(&reply);
	json_decref(body);
	return (row);
}

static json_t *
apply_object(struct ctl *ctl, const char *object, json_t *value, bool *ok)
{
	json_t *current, *complete_current, *complete_value, *row;
	json_int_t base;
	bool equal = false;

	*ok = false;
	if (!fetch_object(ctl, object, &base, &current))
		return (json_pack(
		    "{s:s,s:s}", "object", object, "result", "not sent"));
	if (current != NULL) {
		complete_current = schema_complete(object, current);
		complete_value = schema_complete(object, value);
		equal = json_equal(complete_current, complete_value) != 0;
		json_decref(complete_current);
		json_decref(complete_value);
		json_decref(current);
	}
	if (equal) {
		*ok = true;
		return (json_pack("{s:s,s:s,s:I}", "object", object, "result",
		    "unchanged", "version", base));
	}
	row = post_change(ctl, object, base, value, ok);
	return (row);
}

static int
run_status(struct ctl *ctl, char **args)
{
	(void)args;
	return (run_request(ctl, "status", "GET", "/ctl/status", NULL));
}

static int
run_config_apply(struct ctl *ctl, char **args)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	json_t *objects = schema_file_load(args[0], errors);
	json_t *rows, *item;
	bool all_ok = true, ok;

	if (objects == NULL) {
		cli_errors_print(ctl->io, errors);
		(void)fprintf(ctl->io->err, "%s: nothing was sent\n", args[0]);
		return (CLI_FAILURE);
	}
	rows = json_array();
	for (size_t i = 0; i < json_array_size(objects) && !ctl->unreachable;
	     i++) {
		item = json_array_get(objects, i);
		(void)json_array_append_new(rows,
		    apply_object(ctl, text_at(item, "object", ""),
			json_object_get(item, "value"), &ok));
		all_ok = all_ok && ok;
	}
	print_value(ctl, rows);
	if (json_array_size(rows) < json_array_size(objects))
		(void)fprintf(ctl->io->err,
		    "%zu of %zu objects were not tried\n",
		    json_array_size(objects) - json_array_size(rows),
		    json_array_size(objects));
	json_decref(rows);
	json_decref(objects);
	return (all_ok ? CLI_OK : CLI_FAILURE);
}

/* Check an object name that an argument gives. */
static bool
is_object_name(struct ctl *ctl, const char *object)
{
	enum schema_kind kind;
	const char *name;

	if (schema_name_parse(object, &kind, &name))
		return (true);
	(void)fprintf(ctl->io->err,
	    "\"%s\" is no object name; accepted is KIND/NAME\n", object);
	return (false);
}

static int
run_config_show(struct ctl *ctl, char **args)
{
	g_autofree char *path = NULL;

	if (args[0] == NULL)
		return (run_request(
		    ctl, "config show", "GET", "/ctl/objects", NULL));
	if (!is_object_name(ctl, args[0]))
		return (CLI_FAILURE);
	path = g_strconcat("/ctl/objects/", args[0], NULL);
	return (run_request(ctl, args[0], "GET", path, NULL));
}

static int
run_config_history(struct ctl *ctl, char **args)
{
	(void)args;
	return (
	    run_request(ctl, "config history", "GET", "/ctl/history", NULL));
}

static int
run_config_where(struct ctl *ctl, char **args)
{
	g_autofree char *path = NULL;
	gint64 offset;

	if (!g_ascii_string_to_signed(
		args[0], 10, 0, G_MAXINT64, &offset, NULL))
		return (cli_usage_error(ctl->io, "ctl",
		    "OFFSET \"%s\" is not accepted; accepted is the version "
		    "that \"config apply\" printed",
		    args[0]));
	path = g_strdup_printf("/ctl/where?offset=%lld", (long long)offset);
	return (run_request(ctl, "config where", "GET", path, NULL));
}

static char *
random_hex(size_t size)
{
	unsigned char bytes[KEY_SIZE];
	char *hex = g_malloc0(2 * size + 1);

	g_assert(size <= sizeof(bytes));
	randombytes_buf(bytes, size);
	(void)sodium_bin2hex(hex, 2 * size + 1, bytes, size);
	sodium_memzero(bytes, sizeof(bytes));
	return (hex);
}

/* SHA-256 of the key as callers present it. */
static char *
key_digest(const char *key)
{
	unsigned char digest[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(digest) + 1];

	(void)crypto_hash_sha256(
	    digest, (const unsigned char *)key, strlen(key));
	(void)sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	return (g_strdup(hex));
}

static void
print_new_key(struct ctl *ctl, const char *id, const char *key, json_t *row)
{
	json_t *value = json_pack("{s:s,s:s,s:O?}", "id", id, "key", key,
	    "version", json_object_get(row, "version"));

	print_value(ctl, value);
	if (!ctl->json)
		(void)fputs("The key is shown this once; the fleet keeps only "
			    "its digest.\n",
		    ctl->io->out);
	json_decref(value);
}

static int
create_key(struct ctl *ctl, const char *organisation)
{
	g_autofree char *hex = random_hex(KEY_SIZE);
	g_autofree char *key = g_strconcat(KEY_PREFIX, hex, NULL);
	g_autofree char *digest = key_digest(key);
	g_autofree char *id_hex = random_hex(KEY_ID_SIZE);
	g_autofree char *id = g_strconcat("k-", id_hex, NULL);
	g_autofree char *object = g_strconcat("key/", id, NULL);
	json_t *value, *row;
	bool ok;

	value = json_pack("{s:s,s:s,s:I,s:s}", "digest", digest, "organisation",
	    organisation, "expires_ms",
	    (json_int_t)(ctl->expires_in > 0 ? clk_wall_ms() + ctl->expires_in
					     : 0),
	    "state", "active");
	row = post_change(ctl, object, 0, value, &ok);
	if (ok)
		print_new_key(ctl, id, key, row);
	else
		(void)fprintf(ctl->io->err, "%s: %s: %s\n", object,
		    text_at(row, "result", ""), text_at(row, "message", ""));
	if (!ok && strcmp(text_at(row, "result", ""), "unknown") == 0)
		(void)fprintf(ctl->io->err,
		    "The key may exist but is not shown; withdraw it with "
		    "\"key withdraw %s\".\n",
		    id);
	sodium_memzero(hex, strlen(hex));
	sodium_memzero(key, strlen(key));
	json_decref(row);
	json_decref(value);
	return (ok ? CLI_OK : CLI_FAILURE);
}

static int
run_key_create(struct ctl *ctl, char **args)
{
	if (!schema_name_is_valid(args[0]))
		return (cli_usage_error(ctl->io, "ctl",
		    "\"%s\" is no name of an organisation", args[0]));
	return (create_key(ctl, args[0]));
}

static json_t *
key_row(const char *id, const json_t *value)
{
	json_int_t expires =
	    json_integer_value(json_object_get(value, "expires_ms"));
	g_autofree char *text = NULL;

	if (expires > 0) {
		g_autoptr(GDateTime) date =
		    g_date_time_new_from_unix_utc(expires / 1000);

		if (date != NULL)
			text = g_date_time_format_iso8601(date);
	}
	return (json_pack("{s:s,s:s,s:s,s:s}", "id", id, "organisation",
	    text_at(value, "organisation", "-"), "state",
	    text_at(value, "state", "active"), "expires",
	    text != NULL ? text : "never"));
}

static int
run_key_list(struct ctl *ctl, char **args)
{
	struct reply reply;
	const json_t *list;
	json_t *rows, *item;
	const char *object;

	(void)args;
	fetch(ctl, "GET", "/ctl/objects?kind=key", NULL, &reply);
	list = json_object_get(reply.json, "objects");
	if (!is_success(&reply) || !json_is_array(list)) {
		(void)report_failure(ctl, "key list", false, &reply);
		reply_free(&reply);
		return (CLI_FAILURE);
	}
	rows = json_array();
	for (size_t i = 0; i < json_array_size(list); i++) {
		item = json_array_get(list, i);
		object = text_at(item, "object", "");
		if (strncmp(object, "key/", 4) == 0)
			(void)json_array_append_new(rows,
			    key_row(
				object + 4, json_object_get(item, "value")));
	}
	print_value(ctl, rows);
	json_decref(rows);
	reply_free(&reply);
	return (CLI_OK);
}

static int
run_key_withdraw(struct ctl *ctl, char **args)
{
	g_autofree char *path = path_with("/ctl/keys/", args[0], "/withdraw");

	return (run_request(ctl, "key withdraw", "POST", path, NULL));
}

static int
run_program_list(struct ctl *ctl, char **args)
{
	(void)args;
	return (run_request(ctl, "program list", "GET", "/ctl/programs", NULL));
}

static int
run_program_show(struct ctl *ctl, char **args)
{
	g_autofree char *path = path_with("/ctl/programs/", args[0], "");

	return (run_request(ctl, "program show", "GET", path, NULL));
}

static int
run_program_cancel(struct ctl *ctl, char **args)
{
	g_autofree char *path = path_with("/ctl/programs/", args[0], "");

	return (run_request(ctl, "program cancel", "DELETE", path, NULL));
}

static int
run_upstream_list(struct ctl *ctl, char **args)
{
	(void)args;
	return (
	    run_request(ctl, "upstream list", "GET", "/ctl/upstreams", NULL));
}

/* Set the state of an existing object and print the outcome. */
static int
change_state(
    struct ctl *ctl, const char *kind, const char *name, const char *state)
{
	g_autofree char *object = g_strconcat(kind, "/", name, NULL);
	json_t *value, *row;
	json_int_t base;
	bool ok = false;

	if (!is_object_name(ctl, object) ||
	    !fetch_object(ctl, object, &base, &value))
		return (CLI_FAILURE);
	if (!json_is_object(value)) {
		(void)fprintf(
		    ctl->io->err, "%s: there is no such object\n", object);
		json_decref(value);
		return (CLI_FAILURE);
	}
	(void)json_object_set_new(value, "state", json_string(state));
	row = post_change(ctl, object, base, value, &ok);
	print_value(ctl, row);
	json_decref(row);
	json_decref(value);
	return (ok ? CLI_OK : CLI_FAILURE);
}

static int
run_upstream_drain(struct ctl *ctl, char **args)
{
	return (change_state(ctl, "upstream", args[0], "leaving"));
}

static int
run_instance_list(struct ctl *ctl, char **args)
{
	(void)args;
	return (
	    run_request(ctl, "instance list", "GET", "/ctl/instances", NULL));
}

static int
run_instance_drain(struct ctl *ctl, char **args)
{
	(void)args;
	return (run_request(ctl, "instance drain", "POST", "/ctl/drain", NULL));
}

static int
run_datacentre_lost(struct ctl *ctl, char **args)
{
	return (change_state(ctl, "datacentre", args[0], "lost"));
}

static int
run_trace(struct ctl *ctl, char **args)
{
	g_autofree char *path = path_with("/ctl/traces/", args[0], "");

	return (run_request(ctl, "trace", "GET", path, NULL));
}

/* Print the summary of an explanation, and its candidates as a table. */
static void
print_explanation(struct ctl *ctl, json_t *explanation)
{
	json_t *candidates =
	    json_incref(json_object_get(explanation, "candidates"));

	if (ctl->json) {
		print_json(ctl, explanation);
	} else {
		(void)json_object_del(explanation, "candidates");
		cli_value_print(ctl->io->out, explanation);
		(void)fputc('\n', ctl->io->out);
		cli_value_print(ctl->io->out, candidates);
	}
	json_decref(candidates);
}

static int
run_explain(struct ctl *ctl, char **args)
{
	g_autofree char *host = g_uri_escape_string(args[0], NULL, FALSE);
	g_autofree char *route = g_uri_escape_string(args[1], NULL, FALSE);
	g_autoptr(GString) path = g_string_new(NULL);
	struct reply reply;
	int status = CLI_OK;

	g_string_printf(path, "/explain?host=%s&path=%s", host, route);
	if (args[2] != NULL) {
		g_string_append(path, "&organisation=");
		g_string_append_uri_escaped(path, args[2], NULL, FALSE);
	}
	fetch(ctl, "GET", path->str, NULL, &reply);
	if (is_success(&reply))
		print_explanation(ctl, reply.json);
	else
		status = report_failure(ctl, "explain", false, &reply);
	reply_free(&reply);
	return (status);
}

static const struct command commands[] = {
    {{"status", NULL}, 0, 0, run_status, "status", "state of the instance"},
    {{"config", "apply"}, 1, 1, run_config_apply, "config apply FILE",
	"publish a file of objects"},
    {{"config", "show"}, 0, 1, run_config_show, "config show [OBJECT]",
	"objects in force"},
    {{"config", "history"}, 0, 0, run_config_history, "config history",
	"changes, newest last"},
    {{"config", "where"}, 1, 1, run_config_where, "config where OFFSET",
	"instances that have a change in force"},
    {{"key", "create"}, 1, 1, run_key_create, "key create ORGANISATION",
	"make a key and print it once"},
    {{"key", "list"}, 0, 0, run_key_list, "key list", "keys, by id"},
    {{"key", "withdraw"}, 1, 1, run_key_withdraw, "key withdraw ID",
	"withdraw a key"},
    {{"program", "list"}, 0, 0, run_program_list, "program list",
	"programs that the instance owns; show ID: one"},
    {{"program", "show"}, 1, 1, run_program_show, "program show ID", NULL},
    {{"program", "cancel"}, 1, 1, run_program_cancel, "program cancel ID",
	"end a program"},
    {{"upstream", "list"}, 0, 0, run_upstream_list, "upstream list",
	"upstreams and what is known of them"},
    {{"upstream", "drain"}, 1, 1, run_upstream_drain, "upstream drain NAME",
	"give an upstream no new work"},
    {{"instance", "list"}, 0, 0, run_instance_list, "instance list",
	"instances and their state"},
    {{"instance", "drain"}, 0, 0, run_instance_drain, "instance drain",
	"stop the instance gracefully"},
    {{"datacentre", "lost"}, 1, 1, run_datacentre_lost, "datacentre lost NAME",
	"let others claim its shards"},
    {{"trace", NULL}, 1, 1, run_trace, "trace ID", "spans of one trace"},
    {{"explain", NULL}, 2, 3, run_explain, "explain HOST PATH [ORG]",
	"where a request would go now, and why (metrics port)"},
};

static char *
describe_commands(void)
{
	GString *text = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (commands[i].help != NULL)
			g_string_append_printf(text, "  %-25s%s\n",
			    commands[i].synopsis, commands[i].help);
	}
	return (g_string_free(text, FALSE));
}

static const struct command *
find_command(char **args)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(args[0], commands[i].words[0]) != 0)
			continue;
		if (commands[i].words[1] == NULL ||
		    (args[1] != NULL &&
			strcmp(args[1], commands[i].words[1]) == 0))
			return (&commands[i]);
	}
	return (NULL);
}

/* Accept http://IP:PORT, with or without a closing slash, and nothing more. */
static char *
instance_url(const char *text)
{
	size_t prefix = strlen("http://");
	char ip[46];
	uint16_t port;
	size_t len = strlen(text);

	if (strncmp(text, "http://", prefix) != 0)
		return (NULL);
	if (text[len - 1] == '/')
		len--;
	if (len <= prefix)
		return (NULL);
	{
		g_autofree char *address =
		    g_strndup(text + prefix, len - prefix);

		if (!yml_address_parse(address, ip, sizeof(ip), &port))
			return (NULL);
	}
	return (g_strndup(text, len));
}

static int
run_command(struct ctl *ctl, const struct command *command, char **args)
{
	int status;

	if (sodium_init() < 0) {
		(void)fprintf(ctl->io->err,
		    "samphireshed: no source of random numbers\n");
		return (CLI_FAILURE);
	}
	ctl->loop = ev_loop_new(EVFLAG_AUTO);
	if (ctl->loop == NULL) {
		(void)fprintf(ctl->io->err, "samphireshed: no event loop\n");
		return (CLI_FAILURE);
	}
	ctl->hcl = hcl_open(ctl->loop);
	status = command->run(ctl, args);
	hcl_close(ctl->hcl);
	ev_loop_destroy(ctl->loop);
	return (status);
}

int
cli_ctl(const struct cli_io *io, int argc, char **argv)
{
	g_autofree char *instance = NULL;
	g_autofree char *operator= NULL;
	g_autofree char *expires = NULL;
	g_autofree char *commands_text = describe_commands();
	g_autofree char *url = NULL;
	gboolean json = FALSE;
	const GOptionEntry entries[] = {
	    {"instance", 'i', 0, G_OPTION_ARG_STRING, &instance,
		"Operators' port of an instance", "http://IP:PORT"},
	    {"json", 'j', 0, G_OPTION_ARG_NONE, &json,
		"Print JSON instead of tables", NULL},
	    {"operator", 0, 0, G_OPTION_ARG_STRING, &operator,
		"Who makes a change (default: the user's name)", "NAME"},
	    {"expires-in", 0, 0, G_OPTION_ARG_STRING, &expires,
		"Life of a new key, such as 720h (default: no end)",
		"DURATION"},
	    {0}};
	struct ctl ctl = {.io = io};
	const struct command *command;
	g_auto(GStrv) args = NULL;
	int status, words, n;

	status = cli_options_parse(
	    io, argc, argv, entries, "COMMAND", commands_text, &args);
	if (status >= 0)
		return (status);
	if (args[0] == NULL)
		return (cli_usage_error(io, "ctl", "a command is missing"));
	command = find_command(args);
	if (command == NULL)
		return (cli_usage_error(io, "ctl", "\"%s%s%s\" is no command",
		    args[0], args[1] != NULL ? " " : "",
		    args[1] != NULL ? args[1] : ""));
	words = command->words[1] != NULL ? 2 : 1;
	n = (int)g_strv_length(args) - words;
	if (n < command->args_min || n > command->args_max)
		return (cli_usage_error(
		    io, "ctl", "accepted is %s", command->synopsis));
	url = instance != NULL ? instance_url(instance) : NULL;
	if (url == NULL)
		return (cli_usage_error(
		    io, "ctl", "accepted is --instance http://IP:PORT"));
	if (expires != NULL &&
	    (!yml_duration_parse(expires, &ctl.expires_in) ||
		ctl.expires_in <= 0 || ctl.expires_in > G_MAXINT64 / 4))
		return (cli_usage_error(io, "ctl",
		    "--expires-in \"%s\" is not accepted; accepted is a "
		    "duration such as 30min or 720h",
		    expires));
	ctl.instance = url;
	ctl.operator= operator!= NULL ? operator: g_get_user_name();
	ctl.json = json;
	return (run_command(&ctl, command, args + words));
}
