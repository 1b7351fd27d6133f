#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define MAX_BODY	((size_t)64 * 1024 * 1024)
#define MAX_CONNECTIONS 1000

struct timeout {
	ev_timer timer;
	void (*fire)(void *arg);
	void *arg;
};

struct late_reply {
	struct web_req *req;
	int status;
	json_t *json;
};

void
sti_parse(struct sti *sti, const char *name, const GOptionEntry *entries,
    int argc, char **argv)
{
	GOptionEntry common[] = {
	    {"listen", 0, 0, G_OPTION_ARG_INT, &sti->listen_port,
		"Port on 127.0.0.1, 0 for any (0)", "PORT"},
	    {"max-seconds", 0, 0, G_OPTION_ARG_INT, &sti->max_seconds,
		"Stop after this time (600)", "S"},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &sti->seed,
		"Seed of pseudo-random choices (1)", "N"},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
	GOptionContext *context;
	GError *error = NULL;
	g_autofree char *summary =
	    g_strdup_printf("Stand-in \"%s\"; see docs/standins.md.", name);

	sti->max_seconds = 600;
	sti->seed = 1;
	sti->clk = clk_monotonic();
	context = g_option_context_new(NULL);
	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, common, NULL);
	if (entries != NULL)
		g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    argc > 1) {
		(void)fprintf(stderr, "standin %s: %s\n", name,
		    error != NULL ? error->message : "too many arguments");
		exit(2);
	}
	g_option_context_free(context);
	sti->loop = ev_default_loop(0);
}

struct web *
sti_listen(struct sti *sti, int port, web_handler *handler, void *arg)
{
	struct web_options options = {.address = "127.0.0.1",
	    .port = (uint16_t)port,
	    .max_body = MAX_BODY,
	    .max_connections = MAX_CONNECTIONS};
	char *error = NULL;
	struct web *web = web_open(sti->loop, &options, handler, arg, &error);

	if (web == NULL) {
		(void)fprintf(stderr, "standin: %s\n", error);
		exit(1);
	}
	return (web);
}

static void
on_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

void
sti_run(struct sti *sti, unsigned port, unsigned control_port)
{
	ev_timer_init(&sti->end, on_end, (double)sti->max_seconds, 0.0);
	ev_timer_start(sti->loop, &sti->end);
	ev_signal_init(&sti->term, on_signal, SIGTERM);
	ev_signal_start(sti->loop, &sti->term);
	ev_signal_init(&sti->interrupt, on_signal, SIGINT);
	ev_signal_start(sti->loop, &sti->interrupt);
	/* Whoever reads this may send a signal at once. */
	(void)printf("listening %u\n", port);
	if (control_port != 0)
		(void)printf("control %u\n", control_port);
	(void)fflush(stdout);
	ev_run(sti->loop, 0);
	/* Nothing is kept, so the requests in progress need no ending. */
	_exit(0);
}

clk_ms
sti_now(const struct sti *sti)
{
	return (clk_now(&sti->clk));
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct timeout *timeout = watcher->data;

	(void)events;
	ev_timer_stop(loop, watcher);
	timeout->fire(timeout->arg);
	g_free(timeout);
}

void
sti_after(struct sti *sti, clk_ms delay, void (*fire)(void *arg), void *arg)
{
	struct timeout *timeout = g_new0(struct timeout, 1);

	timeout->fire = fire;
	timeout->arg = arg;
	ev_now_update(sti->loop);
	ev_timer_init(&timeout->timer, on_timeout, (double)delay / 1000.0, 0.0);
	timeout->timer.data = timeout;
	ev_timer_start(sti->loop, &timeout->timer);
}

bool
sti_is(const struct web_req *req, const char *method, const char *path)
{
	return (strcmp(web_method(req), method) == 0 &&
	    strcmp(web_path(req), path) == 0);
}

void
sti_reply(struct web_req *req, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	web_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

static void
send_late_reply(void *arg)
{
	struct late_reply *late = arg;

	sti_reply(late->req, late->status, late->json);
	g_free(late);
}

void
sti_reply_later(struct sti *sti, struct web_req *req, clk_ms delay, int status,
    json_t *json)
{
	struct late_reply *late;

	if (delay <= 0) {
		sti_reply(req, status, json);
		return;
	}
	late = g_new0(struct late_reply, 1);
	late->req = req;
	late->status = status;
	late->json = json;
	sti_after(sti, delay, send_late_reply, late);
}

void
sti_reply_error(struct web_req *req, int status, const char *code)
{
	sti_reply(req, status, json_pack("{s:{s:s}}", "error", "code", code));
}

json_t *
sti_body(struct web_req *req)
{
	size_t len;
	const char *body = web_body(req, &len);
	json_t *json = json_loadb(body, len, JSON_DECODE_ANY, NULL);

	if (json == NULL)
		sti_reply_error(req, 400, "bad_json");
	return (json);
}

int64_t
sti_query(struct web_req *req, const char *name, int64_t preset)
{
	const char *text = web_query(req, name);

	return (text != NULL ? g_ascii_strtoll(text, NULL, 10) : preset);
}

void
sti_take_bool(const json_t *control, const char *name, bool *value)
{
	const json_t *member = json_object_get(control, name);

	if (json_is_boolean(member))
		*value = json_is_true(member);
}

void
sti_take_int(const json_t *control, const char *name, int64_t *value)
{
	const json_t *member = json_object_get(control, name);

	if (json_is_integer(member))
		*value = json_integer_value(member);
}

uint64_t
sti_hash(uint64_t seed, const void *data, size_t len)
{
	const unsigned char *bytes = data;
	uint64_t h = seed ^ 0xcbf29ce484222325u;

	for (size_t i = 0; i < len; i++)
		h = (h ^ bytes[i]) * 0x100000001b3u;
	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdu;
	h ^= h >> 33;
	return (h);
}
