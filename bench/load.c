/*
 * load: open-loop load on a running fleet.
 *
 * Programs arrive at set times, whether or not earlier ones have ended, and
 * each latency is counted from the time that was set, so that a slow fleet
 * cannot slow its own load down.  A program makes its turns one after the
 * other with a pause in between; a refusal ends it, nothing is sent again.
 * Each arrival can be doubled by one that goes to an engine directly, to give
 * the latency that the fleet adds in the same run.
 *
 * The number of programs and the time are bounded.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/clk.h"
#include "lib/hcl.h"

#define MAX_PROGRAMS 200000
#define MAX_SECONDS  3600
#define MAX_TURNS    290
/* How long to wait for programs in progress after the last arrival. */
#define DRAIN_SECONDS 30
#define CALL_TIMEOUT  (60 * CLK_SECOND)
#define TOKEN_TIME    "data: "
#define END_MARK      "data: [DONE]"
/* Holds the last event, which names the program, and the end mark. */
#define TAIL_SIZE 1024

struct options {
	char **instances;
	char **direct;
	char *key_file;
	char *model;
	char *service; /* path, or nil */
	double service_share;
	double rate; /* programs a second */
	double seconds;
	double think_ms;
	int turns;
	int organisations; /* keys used; 0: all of the file */
	int seed;
	int max_tokens;
	int prompt_bytes;
	gboolean json;
};

/* Results of one organisation, or of the calls made directly. */
struct group {
	char *name;
	char *key; /* nil for direct calls */
	unsigned started;
	unsigned ended; /* all turns made */
	unsigned calls;
	GArray *latencies; /* double, ms, of whole programs */
	GArray *first_tokens; /* double, ms, of model calls */
	GHashTable *codes; /* text -> count */
};

struct load {
	struct options options;
	struct ev_loop *loop;
	struct hcl *hcl;
	GPtrArray *groups; /* struct group, by key */
	struct group *direct;
	GRand *random;
	ev_timer next;
	ev_timer end;
	double began;
	unsigned arrivals;
	unsigned planned;
	unsigned in_progress;
	unsigned late; /* arrivals that came more than 10 ms late */
};

struct program {
	struct load *load;
	struct group *group;
	unsigned number;
	const char *url; /* of an instance or engine */
	char id[64]; /* "" until the first answer */
	double due; /* of the program */
	double turn_due;
	int turn; /* from 1 */
	bool is_service;
	bool answered; /* the first token of this turn has come */
	int status;
	GString *head; /* start of the answer */
	char tail[TAIL_SIZE + 1];
	ev_timer think;
};

static void turn_start(struct program *program);

static struct group *
group_new(const char *name, const char *key)
{
	struct group *group = g_new0(struct group, 1);

	group->name = g_strdup(name);
	group->key = g_strdup(key);
	group->latencies = g_array_new(FALSE, FALSE, sizeof(double));
	group->first_tokens = g_array_new(FALSE, FALSE, sizeof(double));
	group->codes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return (group);
}

static void
group_free(void *data)
{
	struct group *group = data;

	if (group == NULL)
		return;
	g_free(group->name);
	g_free(group->key);
	g_array_unref(group->latencies);
	g_array_unref(group->first_tokens);
	g_hash_table_unref(group->codes);
	g_free(group);
}

static void
count_code(struct group *group, const char *code)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(group->codes, code));

	g_hash_table_replace(
	    group->codes, g_strdup(code), GUINT_TO_POINTER(n + 1));
}

static void
add_ms(GArray *values, double seconds)
{
	double ms = seconds * 1000;

	g_array_append_val(values, ms);
}

static void
program_end(struct program *program, bool whole)
{
	struct load *load = program->load;

	if (whole) {
		program->group->ended++;
		add_ms(program->group->latencies,
		    ev_now(load->loop) - program->due);
	}
	ev_timer_stop(load->loop, &program->think);
	g_string_free(program->head, TRUE);
	g_free(program);
	load->in_progress--;
	if (load->in_progress == 0 && load->arrivals == load->planned)
		ev_break(load->loop, EVBREAK_ALL);
}

/* The text of a string field near the start of an answer, if it is there. */
static void
field_copy(const char *text, const char *name, char *out, size_t size)
{
	g_autofree char *mark = g_strdup_printf("\"%s\":\"", name);
	const char *start = strstr(text, mark);
	size_t len;

	if (start == NULL)
		return;
	start += strlen(mark);
	len = strcspn(start, "\"");
	if (start[len] == '"' && len < size) {
		memcpy(out, start, len);
		out[len] = '\0';
	}
}

static void
on_head(int status, const char *content_type, void *arg)
{
	struct program *program = arg;

	(void)content_type;
	program->status = status;
}

static void
tail_add(struct program *program, const char *data, size_t len)
{
	size_t have = strlen(program->tail);
	size_t take = MIN(len, TAIL_SIZE);
	size_t keep = MIN(have, TAIL_SIZE - take);

	memmove(program->tail, program->tail + have - keep, keep);
	memcpy(program->tail + keep, data + len - take, take);
	program->tail[keep + take] = '\0';
}

static void
on_data(const void *data, size_t len, void *arg)
{
	struct program *program = arg;

	if (program->head->len < 2048)
		g_string_append_len(program->head, data, (gssize)len);
	tail_add(program, data, len);
	if (program->answered || program->is_service ||
	    program->status != 200 ||
	    strstr(program->head->str, TOKEN_TIME) == NULL)
		return;
	program->answered = true;
	add_ms(program->group->first_tokens,
	    ev_now(program->load->loop) - program->turn_due);
}

/* What the answer is counted as. */
static const char *
code_of(const struct program *program, const struct hcl_result *result,
    char *buf, size_t size)
{
	(void)g_strlcpy(buf, "", size);
	if (result->sent == HCL_NOT_SENT)
		return ("not_sent");
	if (result->timed_out)
		return ("timed_out");
	if (result->sent != HCL_REPLIED)
		return ("no_whole_answer");
	if (program->status != 200) {
		field_copy(program->head->str, "code", buf, size);
		if (buf[0] == '\0')
			(void)g_snprintf(buf, size, "http_%d", program->status);
		return (buf);
	}
	if (!program->is_service && strstr(program->tail, END_MARK) == NULL)
		return ("stream_without_end");
	return ("200");
}

static void
on_think(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct program *program = timer->data;

	(void)loop;
	(void)events;
	turn_start(program);
}

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct program *program = arg;
	struct load *load = program->load;
	char buf[64];
	const char *code = code_of(program, result, buf, sizeof(buf));

	program->group->calls++;
	count_code(program->group, code);
	if (strcmp(code, "200") != 0) {
		program_end(program, false);
		return;
	}
	if (program->id[0] == '\0')
		field_copy(program->tail, "program_id", program->id,
		    sizeof(program->id));
	if (program->turn >= load->options.turns) {
		program_end(program, true);
		return;
	}
	program->turn_due =
	    ev_now(load->loop) + load->options.think_ms / 1000.0;
	ev_timer_init(
	    &program->think, on_think, load->options.think_ms / 1000.0, 0);
	program->think.data = program;
	ev_timer_start(load->loop, &program->think);
}

static char *
chat_body(const struct program *program)
{
	const struct options *options = &program->load->options;
	g_autofree char *text =
	    g_strnfill((gsize)MAX(options->prompt_bytes, 1), 'x');
	json_t *body = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s+}]}", "model",
	    options->model, "stream", 1, "max_tokens", options->max_tokens,
	    "messages", "role", "user", "content",
	    program->turn == 1 ? "first " : "next ", text);
	char *out;

	if (program->id[0] != '\0' && program->group->key != NULL) {
		(void)json_object_set_new(
		    body, "program_id", json_string(program->id));
		(void)json_object_set_new(
		    body, "turn", json_integer(program->turn));
	}
	out = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return (out);
}

static void
turn_start(struct program *program)
{
	struct load *load = program->load;
	const char *headers[6];
	g_autofree char *authorization = NULL;
	g_autofree char *key = NULL;
	g_autofree char *owner = NULL;
	g_autofree char *url = NULL;
	char *body;
	int n = 0;
	struct hcl_request request = {.method = "POST",
	    .timeout = CALL_TIMEOUT,
	    .on_head = on_head,
	    .on_data = on_data,
	    .on_done = on_done,
	    .arg = program};

	program->turn++;
	program->answered = false;
	program->status = 0;
	program->tail[0] = '\0';
	g_string_truncate(program->head, 0);
	/* A service call belongs to a program, which a model call begins. */
	program->is_service = program->turn > 1 &&
	    program->group->key != NULL && load->options.service != NULL &&
	    g_rand_double(load->random) < load->options.service_share;
	headers[n++] = "Content-Type: application/json";
	if (program->group->key != NULL) {
		authorization = g_strdup_printf(
		    "Authorization: Bearer %s", program->group->key);
		headers[n++] = authorization;
	}
	if (program->is_service) {
		key = g_strdup_printf("Idempotency-Key: load-%d-%u-%d",
		    load->options.seed, program->number, program->turn);
		owner =
		    g_strdup_printf("Samphireshed-Program: %s", program->id);
		headers[n++] = key;
		headers[n++] = owner;
	}
	headers[n] = NULL;
	url = g_strconcat(program->url,
	    program->is_service ? load->options.service
				: "/v1/chat/completions",
	    NULL);
	body = program->is_service
	    ? g_strdup("{\"sku\":\"load\",\"quantity\":1}")
	    : chat_body(program);
	request.headers = headers;
	request.url = url;
	request.body = body;
	request.body_len = strlen(body);
	(void)hcl_start(load->hcl, &request);
	free(body);
}

static void
program_start(
    struct load *load, struct group *group, const char *url, double due)
{
	struct program *program = g_new0(struct program, 1);

	program->load = load;
	program->group = group;
	program->number = load->arrivals;
	program->url = url;
	program->due = due;
	program->turn_due = due;
	program->head = g_string_new(NULL);
	ev_init(&program->think, on_think);
	group->started++;
	load->in_progress++;
	turn_start(program);
}

static double
due_of(const struct load *load, unsigned arrival)
{
	return (load->began + arrival / load->options.rate);
}

/* Start every program that is due, then wait for the next. */
static void
on_next(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load *load = timer->data;
	const struct options *options = &load->options;
	double now = ev_now(loop);

	(void)events;
	while (load->arrivals < load->planned &&
	    due_of(load, load->arrivals) <= now) {
		double due = due_of(load, load->arrivals);
		guint instances = g_strv_length(options->instances);
		gint32 key = g_rand_int_range(
		    load->random, 0, (gint32)load->groups->len);

		if (now - due > 0.010)
			load->late++;
		program_start(load, g_ptr_array_index(load->groups, key),
		    options->instances[load->arrivals % instances], due);
		if (options->direct != NULL)
			program_start(load, load->direct,
			    options->direct[load->arrivals %
				g_strv_length(options->direct)],
			    due);
		load->arrivals++;
	}
	if (load->arrivals >= load->planned)
		return;
	ev_timer_init(
	    timer, on_next, MAX(due_of(load, load->arrivals) - now, 0), 0);
	ev_timer_start(loop, timer);
}

static void
on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Results. */

static int
compare_double(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x < y ? -1 : x > y);
}

/* The least value that so many percent do not exceed; -1 if there is none. */
static double
percentile(GArray *values, double percent)
{
	guint i;

	if (values->len == 0)
		return (-1);
	g_array_sort(values, compare_double);
	i = (guint)ceil(values->len * percent / 100.0);
	return (g_array_index(values, double, MAX(i, 1) - 1));
}

static json_t *
percentiles_json(GArray *values)
{
	return (json_pack("{s:i, s:f, s:f, s:f}", "count", (int)values->len,
	    "p50", percentile(values, 50), "p95", percentile(values, 95), "p99",
	    percentile(values, 99)));
}

static json_t *
group_json(struct group *group)
{
	json_t *codes = json_object();
	GHashTableIter iter;
	gpointer code, n;

	g_hash_table_iter_init(&iter, group->codes);
	while (g_hash_table_iter_next(&iter, &code, &n))
		(void)json_object_set_new(
		    codes, code, json_integer(GPOINTER_TO_UINT(n)));
	return (json_pack("{s:s, s:i, s:i, s:i, s:o, s:o, s:o}", "name",
	    group->name, "programs", (int)group->started, "ended",
	    (int)group->ended, "calls", (int)group->calls, "codes", codes,
	    "program_ms", percentiles_json(group->latencies), "first_token_ms",
	    percentiles_json(group->first_tokens)));
}

static void
print_group(struct group *group)
{
	GList *codes = g_list_sort(
	    g_hash_table_get_keys(group->codes), (GCompareFunc)g_strcmp0);
	GString *text = g_string_new(NULL);

	for (GList *l = codes; l != NULL; l = l->next)
		g_string_append_printf(text, "%s%s=%u",
		    text->len > 0 ? " " : "", (const char *)l->data,
		    GPOINTER_TO_UINT(
			g_hash_table_lookup(group->codes, l->data)));
	(void)printf("| %s | %u | %u | %u | %.0f / %.0f / %.0f | "
		     "%.0f / %.0f / %.0f | %s |\n",
	    group->name, group->started, group->ended, group->calls,
	    percentile(group->latencies, 50), percentile(group->latencies, 95),
	    percentile(group->latencies, 99),
	    percentile(group->first_tokens, 50),
	    percentile(group->first_tokens, 95),
	    percentile(group->first_tokens, 99), text->str);
	g_string_free(text, TRUE);
	g_list_free(codes);
}

static void
group_merge(struct group *sum, const struct group *group)
{
	GHashTableIter iter;
	gpointer code, n;

	sum->started += group->started;
	sum->ended += group->ended;
	sum->calls += group->calls;
	g_array_append_vals(
	    sum->latencies, group->latencies->data, group->latencies->len);
	g_array_append_vals(sum->first_tokens, group->first_tokens->data,
	    group->first_tokens->len);
	g_hash_table_iter_init(&iter, group->codes);
	while (g_hash_table_iter_next(&iter, &code, &n)) {
		for (guint i = 0; i < GPOINTER_TO_UINT(n); i++)
			count_code(sum, code);
	}
}

static void
print_results(struct load *load)
{
	struct group *sum = group_new("all organisations", NULL);
	GPtrArray *rows = g_ptr_array_new();

	for (guint i = 0; i < load->groups->len; i++)
		group_merge(sum, g_ptr_array_index(load->groups, i));
	g_ptr_array_add(rows, sum);
	for (guint i = 0; i < load->groups->len; i++)
		g_ptr_array_add(rows, g_ptr_array_index(load->groups, i));
	if (load->options.direct != NULL)
		g_ptr_array_add(rows, load->direct);
	if (load->options.json) {
		json_t *list = json_array();
		json_t *out;

		for (guint i = 0; i < rows->len; i++)
			(void)json_array_append_new(
			    list, group_json(g_ptr_array_index(rows, i)));
		out = json_pack("{s:i, s:f, s:f, s:i, s:i, s:o}", "seed",
		    load->options.seed, "rate", load->options.rate, "seconds",
		    load->options.seconds, "late_arrivals", (int)load->late,
		    "unfinished", (int)load->in_progress, "groups", list);
		(void)json_dumpf(out, stdout, JSON_INDENT(2));
		(void)printf("\n");
		json_decref(out);
	} else {
		(void)printf(
		    "seed %d, %g programs/s for %g s, %d turns, %u arrivals "
		    "more than 10 ms late, %u programs unfinished\n\n"
		    "| group | programs | ended | calls | program ms p50 / p95 "
		    "/ p99 | first token ms p50 / p95 / p99 | codes |\n"
		    "|---|---|---|---|---|---|---|\n",
		    load->options.seed, load->options.rate,
		    load->options.seconds, load->options.turns, load->late,
		    load->in_progress);
		for (guint i = 0; i < rows->len; i++)
			print_group(g_ptr_array_index(rows, i));
	}
	g_ptr_array_free(rows, TRUE);
	group_free(sum);
}

/* Options. */

/* Lines "KEY" or "KEY ORGANISATION". */
static bool
keys_load(struct load *load)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	g_autoptr(GError) error = NULL;

	if (!g_file_get_contents(load->options.key_file, &text, NULL, &error)) {
		(void)fprintf(stderr, "load: %s\n", error->message);
		return (false);
	}
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		char *name = strchr(g_strstrip(lines[i]), ' ');
		char number[32];

		if (lines[i][0] == '\0' ||
		    (load->options.organisations > 0 &&
			load->groups->len >=
			    (guint)load->options.organisations))
			continue;
		(void)g_snprintf(
		    number, sizeof(number), "key %u", load->groups->len + 1);
		if (name != NULL)
			*name++ = '\0';
		g_ptr_array_add(load->groups,
		    group_new(
			name != NULL ? g_strstrip(name) : number, lines[i]));
	}
	if (load->groups->len < (guint)MAX(load->options.organisations, 1)) {
		(void)fprintf(stderr, "load: %s holds %u keys, %d are needed\n",
		    load->options.key_file, load->groups->len,
		    MAX(load->options.organisations, 1));
		return (false);
	}
	return (true);
}

static bool
options_parse(struct options *options, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
	    {"instance", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->instances,
		"Callers' port of an instance; may be repeated", "URL"},
	    {"direct", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->direct,
		"Engine that gets the same arrivals; may be repeated", "URL"},
	    {"key-file", 0, 0, G_OPTION_ARG_FILENAME, &options->key_file,
		"Lines of a key and its organisation", "FILE"},
	    {"organisations", 0, 0, G_OPTION_ARG_INT, &options->organisations,
		"Use the first N keys (all)", "N"},
	    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->rate,
		"Programs a second (10)", "N"},
	    {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options->seconds,
		"Time of arrivals (10)", "S"},
	    {"turns", 0, 0, G_OPTION_ARG_INT, &options->turns,
		"Turns of a program (3)", "N"},
	    {"think-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options->think_ms,
		"Pause between turns (100)", "MS"},
	    {"service", 0, 0, G_OPTION_ARG_STRING, &options->service,
		"Path of a service call", "PATH"},
	    {"service-share", 0, 0, G_OPTION_ARG_DOUBLE,
		&options->service_share,
		"Share of the later turns that are service calls (0.2)", "F"},
	    {"model", 0, 0, G_OPTION_ARG_STRING, &options->model,
		"Model (chat-large)", "NAME"},
	    {"max-tokens", 0, 0, G_OPTION_ARG_INT, &options->max_tokens,
		"Longest answer (16)", "N"},
	    {"prompt-bytes", 0, 0, G_OPTION_ARG_INT, &options->prompt_bytes,
		"Length of a question (400)", "N"},
	    {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
		"Seed of the choices (1)", "N"},
	    {"json", 'j', 0, G_OPTION_ARG_NONE, &options->json,
		"Print JSON instead of a table", NULL},
	    G_OPTION_ENTRY_NULL};
	GOptionContext *context = g_option_context_new("- open-loop load");
	g_autoptr(GError) error = NULL;
	bool valid;

	g_option_context_add_main_entries(context, entries, NULL);
	valid = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!valid) {
		(void)fprintf(stderr, "load: %s\n", error->message);
		return (false);
	}
	if (options->instances == NULL || options->key_file == NULL) {
		(void)fprintf(
		    stderr, "load: --instance and --key-file are needed\n");
		return (false);
	}
	if (options->rate <= 0 || options->seconds <= 0 ||
	    options->seconds > MAX_SECONDS || options->turns < 1 ||
	    options->turns > MAX_TURNS || options->think_ms < 0 ||
	    options->prompt_bytes < 0 ||
	    options->rate * options->seconds > MAX_PROGRAMS) {
		(void)fprintf(stderr,
		    "load: accepted are up to %d s, %d programs and %d turns\n",
		    MAX_SECONDS, MAX_PROGRAMS, MAX_TURNS);
		return (false);
	}
	return (true);
}

int
main(int argc, char **argv)
{
	struct load load = {.options = {.rate = 10,
				.seconds = 10,
				.turns = 3,
				.think_ms = 100,
				.service_share = 0.2,
				.seed = 1,
				.max_tokens = 16,
				.prompt_bytes = 400}};
	int status = 2;

	load.groups = g_ptr_array_new_with_free_func(group_free);
	load.options.model = g_strdup("chat-large");
	if (!options_parse(&load.options, &argc, &argv) || !keys_load(&load))
		goto out;
	load.direct = group_new("direct to engines", NULL);
	load.random = g_rand_new_with_seed((guint32)load.options.seed);
	load.loop = ev_loop_new(EVFLAG_AUTO);
	load.hcl = hcl_open(load.loop);
	load.planned = (unsigned)(load.options.rate * load.options.seconds);
	load.began = ev_now(load.loop) + 0.2;
	ev_timer_init(&load.next, on_next, 0.2, 0);
	load.next.data = &load;
	ev_timer_start(load.loop, &load.next);
	ev_timer_init(
	    &load.end, on_end, load.options.seconds + DRAIN_SECONDS, 0);
	ev_timer_start(load.loop, &load.end);
	ev_run(load.loop, 0);
	print_results(&load);
	/* Drops what is unfinished; the process ends here. */
	hcl_close(load.hcl);
	ev_loop_destroy(load.loop);
	g_rand_free(load.random);
	status = 0;
out:
	group_free(load.direct);
	g_ptr_array_unref(load.groups);
	g_strfreev(load.options.instances);
	g_strfreev(load.options.direct);
	g_free(load.options.key_file);
	g_free(load.options.service);
	g_free(load.options.model);
	return (status);
}
