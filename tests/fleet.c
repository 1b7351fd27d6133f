#include "fleet.h"

#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sodium.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define LIFETIME     "240" /* s, --max-seconds of each stand-in */
#define MAX_CHILDREN 64
#define CALL_TIMEOUT (40 * CLK_SECOND)
#define TAIL_BYTES   8000 /* of each log that a failed test shows */

#define CALLERS_PORT   18080
#define OPERATORS_PORT 18081
#define PEERS_PORT     18082

/*
 * The children by slot, for the signal handler, which gets no argument.  A
 * slot whose process was reaped is 0, because the pid may be used again.
 */
static volatile pid_t children[MAX_CHILDREN];
static char children_logs[MAX_CHILDREN][256];
static volatile sig_atomic_t n_children;

static void
show_tail(const char *path)
{
	char buf[TAIL_BYTES];
	int fd = open(path, O_RDONLY);
	ssize_t n;

	if (fd == -1)
		return;
	if (lseek(fd, -(off_t)sizeof(buf), SEEK_END) == -1)
		(void)lseek(fd, 0, SEEK_SET);
	n = read(fd, buf, sizeof(buf));
	if (n > 0) {
		(void)!write(2, "\n# ", 3);
		(void)!write(2, path, strlen(path));
		(void)!write(2, "\n", 1);
		(void)!write(2, buf, (size_t)n);
	}
	(void)close(fd);
}

static void
on_fatal(int sig)
{
	for (int i = 0; i < n_children; i++) {
		if (children[i] != 0)
			(void)kill(children[i], SIGKILL);
	}
	for (int i = 0; i < n_children; i++)
		show_tail(children_logs[i]);
	(void)signal(sig, SIG_DFL);
	(void)raise(sig);
}

static void
catch_signals(void)
{
	static const int signals[] = {
	    SIGABRT, SIGTERM, SIGINT, SIGSEGV, SIGTRAP};

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		(void)signal(signals[i], on_fatal);
}

/* Start a program; *out is the reading end of its stdout, if not nil. */
static struct fleet_process *
spawn(struct fleet *fleet, const char *name, char **argv, FILE **out)
{
	struct fleet_process *process = g_new0(struct fleet_process, 1);
	posix_spawn_file_actions_t actions;
	int pipe_fds[2] = {-1, -1};
	int slot = (int)fleet->processes->len;
	pid_t pid;

	g_assert_cmpint(slot, <, MAX_CHILDREN);
	process->name = g_strdup(name);
	process->log = g_strdup_printf("%s/%s.log", fleet->directory, name);
	(void)posix_spawn_file_actions_init(&actions);
	(void)posix_spawn_file_actions_addopen(
	    &actions, 2, process->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	if (out != NULL) {
		g_assert_cmpint(pipe2(pipe_fds, O_CLOEXEC), ==, 0);
		(void)posix_spawn_file_actions_adddup2(
		    &actions, pipe_fds[1], 1);
	}
	g_assert_cmpint(
	    posix_spawn(&pid, argv[0], &actions, NULL, argv, environ), ==, 0);
	process->pid = pid;
	(void)g_strlcpy(
	    children_logs[slot], process->log, sizeof(children_logs[slot]));
	children[slot] = pid;
	n_children = slot + 1;
	(void)posix_spawn_file_actions_destroy(&actions);
	if (out != NULL) {
		(void)close(pipe_fds[1]);
		*out = fdopen(pipe_fds[0], "r");
	}
	g_ptr_array_add(fleet->processes, process);
	return (process);
}

static char *
program_path(const char *name)
{
	const char *build = g_getenv("SAMPHIRESHED_BUILD");

	return (g_build_filename(build != NULL ? build : "build", name, NULL));
}

static unsigned
read_port(FILE *out, const char *word)
{
	char line[80];

	g_assert_nonnull(fgets(line, sizeof(line), out));
	g_assert_true(g_str_has_prefix(line, word));
	return ((unsigned)g_ascii_strtoull(line + strlen(word), NULL, 10));
}

/* Start a stand-in; options are separated by spaces. */
static void
standin_start(struct fleet *fleet, struct fleet_standin *standin,
    const char *name, const char *kind, const char *options)
{
	g_autofree char *path = program_path("standin");
	g_autofree char *command =
	    g_strdup_printf("%s %s --listen=0 --max-seconds=" LIFETIME " %s",
		path, kind, options);
	g_auto(GStrv) argv = NULL;
	FILE *out;

	g_assert_true(g_shell_parse_argv(command, NULL, &argv, NULL));
	standin->process = spawn(fleet, name, argv, &out);
	standin->port = read_port(out, "listening ");
	if (strcmp(kind, "proxy") == 0)
		standin->control = read_port(out, "control ");
	else
		standin->control = standin->port;
	(void)fclose(out);
}

/* Running the loop. */

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

void
fleet_run(struct fleet *fleet, clk_ms ms)
{
	ev_timer timer;

	ev_now_update(fleet->loop);
	ev_timer_init(&timer, on_timer, (double)ms / 1000.0, 0.0);
	ev_timer_start(fleet->loop, &timer);
	while (ev_is_active(&timer))
		(void)ev_run(fleet->loop, EVRUN_ONCE);
	ev_timer_stop(fleet->loop, &timer);
}

static void
on_head(int status, const char *content_type, void *arg)
{
	struct fleet_call *call = arg;

	(void)content_type;
	call->status = status;
}

static void
on_data(const void *data, size_t len, void *arg)
{
	struct fleet_call *call = arg;

	g_string_append_len(call->body, data, (gssize)len);
}

static void
on_done(const struct hcl_result *result, void *arg)
{
	struct fleet_call *call = arg;

	call->handle = NULL;
	call->done = true;
	if (result->status != 0)
		call->status = result->status;
	call->sent = result->sent;
	call->timed_out = result->timed_out;
	call->cut = result->cut;
	call->json = json_loadb(call->body->str, call->body->len, 0, NULL);
	ev_break(call->fleet->loop, EVBREAK_ONE);
}

static struct fleet_call *
call_start(struct fleet *fleet, const char *method, const char *url,
    const char *const *headers, json_t *body)
{
	struct fleet_call *call = g_new0(struct fleet_call, 1);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	struct hcl_request request = {.method = method,
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .body_len = text != NULL ? strlen(text) : 0,
	    .timeout = CALL_TIMEOUT,
	    .on_head = on_head,
	    .on_data = on_data,
	    .on_done = on_done,
	    .arg = call};

	call->fleet = fleet;
	call->body = g_string_new(NULL);
	call->handle = hcl_start(fleet->hcl, &request);
	g_ptr_array_add(fleet->calls, call);
	free(text);
	json_decref(body);
	return (call);
}

struct fleet_call *
fleet_start(struct fleet *fleet, const struct fleet_request *request)
{
	const char *path =
	    request->path != NULL ? request->path : "/v1/chat/completions";
	const char *key = request->key != NULL ? request->key : FLEET_KEY_ALPHA;
	g_autofree char *url = g_strconcat(
	    fleet->instances[request->instance].callers, path, NULL);
	g_autofree char *authorization =
	    g_strconcat("Authorization: Bearer ", key, NULL);
	g_autofree char *idempotency = g_strconcat("Idempotency-Key: ",
	    request->idempotency_key != NULL ? request->idempotency_key : "",
	    NULL);
	g_autofree char *program = g_strconcat("Samphireshed-Program: ",
	    request->program != NULL ? request->program : "", NULL);
	const char *headers[5] = {"Content-Type: application/json"};
	unsigned n = 1;

	if (key[0] != '\0')
		headers[n++] = authorization;
	if (request->idempotency_key != NULL)
		headers[n++] = idempotency;
	if (request->program != NULL)
		headers[n++] = program;
	return (call_start(fleet,
	    request->method != NULL ? request->method : "POST", url, headers,
	    request->body));
}

void
fleet_wait(struct fleet_call *call)
{
	while (!call->done)
		(void)ev_run(call->fleet->loop, EVRUN_ONCE);
}

struct fleet_call *
fleet_call(struct fleet *fleet, const struct fleet_request *request)
{
	struct fleet_call *call = fleet_start(fleet, request);

	fleet_wait(call);
	return (call);
}

void
fleet_leave(struct fleet_call *call)
{
	if (call->handle != NULL)
		hcl_cancel(call->handle);
	call->handle = NULL;
	call->done = true;
}

static struct fleet_call *
plain_start(
    struct fleet *fleet, const char *method, const char *url, json_t *body)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};

	return (call_start(fleet, method, url, headers, body));
}

struct fleet_call *
fleet_http(
    struct fleet *fleet, const char *method, const char *url, json_t *body)
{
	struct fleet_call *call = plain_start(fleet, method, url, body);

	fleet_wait(call);
	return (call);
}

struct fleet_call *
fleet_ctl(struct fleet *fleet, unsigned instance, const char *method,
    const char *path, json_t *body)
{
	g_autofree char *url =
	    g_strconcat(fleet->instances[instance].operators, path, NULL);

	return (fleet_http(fleet, method, url, body));
}

struct fleet_call *
fleet_object(struct fleet *fleet, unsigned instance, const char *object,
    json_int_t base, json_t *value)
{
	g_autofree char *url = g_strconcat(
	    fleet->instances[instance].operators, "/ctl/objects", NULL);

	return (plain_start(fleet, "POST", url,
	    json_pack("{s:s,s:I,s:o,s:s}", "object", object, "base", base,
		"value", value, "by", "test")));
}

void
fleet_control(
    struct fleet *fleet, const struct fleet_standin *standin, json_t *body)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%u/control", standin->control);

	g_assert_cmpint(fleet_http(fleet, "POST", url, body)->status, ==, 200);
}

const json_t *
fleet_stats(
    struct fleet *fleet, const struct fleet_standin *standin, const char *path)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%u%s", standin->control, path);
	struct fleet_call *call = fleet_http(fleet, "GET", url, NULL);

	g_assert_cmpint(call->status, ==, 200);
	g_assert_nonnull(call->json);
	return (call->json);
}

static bool
is_running(struct fleet_process *process)
{
	if (process->pid != 0 &&
	    waitpid(process->pid, &process->status, WNOHANG) == process->pid) {
		for (int i = 0; i < n_children; i++) {
			if (children[i] == process->pid)
				children[i] = 0;
		}
		process->pid = 0;
	}
	return (process->pid != 0);
}

json_int_t
fleet_engine_total(struct fleet *fleet, const char *member)
{
	json_int_t total = 0;

	for (unsigned i = 0; i < fleet->plan.engines; i++) {
		const json_t *value;

		if (!is_running(fleet->engines[i].process))
			continue;
		value = json_object_get(
		    fleet_stats(fleet, &fleet->engines[i], "/control/stats"),
		    member);
		total += json_is_array(value)
		    ? (json_int_t)json_array_size(value)
		    : json_integer_value(value);
	}
	return (total);
}

const char *
fleet_error(const struct fleet_call *call, const char *member)
{
	const char *text = json_string_value(
	    json_object_get(json_object_get(call->json, "error"), member));

	return (text != NULL ? text : "");
}

int
fleet_owner(struct fleet *fleet, const char *program, unsigned asked)
{
	g_autofree char *path = g_strdup_printf("/ctl/programs/%s", program);
	struct fleet_call *call = fleet_ctl(fleet, asked, "GET", path, NULL);
	const char *detail;

	if (call->status == 200)
		return ((int)asked);
	detail = strstr(fleet_error(call, "message"), "owner is ");
	if (detail == NULL)
		return (-1);
	detail += strlen("owner is ");
	for (unsigned i = 0; i < fleet->n_instances; i++) {
		if (strcmp(fleet->instances[i].name, detail) == 0)
			return ((int)i);
	}
	return (-1);
}

void
fleet_signal(struct fleet *fleet, unsigned instance, int signal)
{
	pid_t pid = fleet->instances[instance].process->pid;

	g_assert_cmpint(pid, >, 0);
	g_assert_cmpint(kill(pid, signal), ==, 0);
}

bool
fleet_reap(struct fleet *fleet, struct fleet_process *process, clk_ms timeout)
{
	for (clk_ms waited = 0; is_running(process); waited += 50) {
		if (waited >= timeout)
			return (false);
		fleet_run(fleet, 50);
	}
	return (true);
}

void
fleet_kill(struct fleet *fleet, unsigned instance)
{
	fleet_signal(fleet, instance, SIGKILL);
	g_assert_true(fleet_reap(
	    fleet, fleet->instances[instance].process, FLEET_DEADLINE));
}

/* Starting a fleet. */

/*
 * Settings with short waits.  The suspicion time stays at its default of 1 s,
 * because an instance under sanitizers on a busy machine may answer late.
 */
static void
settings_write(struct fleet *fleet, struct fleet_instance *instance,
    const char *network, unsigned host)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_append_printf(text,
	    "instance: '%s'\ndatacentre:\n  name: 'dc%u'\n  number: %u\n"
	    "shards: %d\n"
	    "callers:\n  listen: '%s.%u:%d'\n"
	    "operators:\n  listen: '%s.%u:%d'\n"
	    "peering:\n  listen: '%s.%u:%d'\n  fleet_key: '%064d'\n"
	    "log:\n  url: 'http://127.0.0.1:%u'\n"
	    "members:\n  url: 'http://127.0.0.1:%u'\n"
	    "log_level: debug\n"
	    "limits:\n  max_body: 65536\n"
	    "timings:\n  heartbeat_ms: 150\n  heartbeat_across_ms: 300\n"
	    "  suspicion_ms: 1000\n  takeover_ms: 2000\n"
	    "  takeover_other_ms: 60000\n  grant_expiry_ms: 1000\n"
	    "  grant_wait_ms: 150\n"
	    "peers:\n",
	    instance->name, instance->datacentre, instance->datacentre,
	    FLEET_SHARDS, network, host, CALLERS_PORT, network, host,
	    OPERATORS_PORT, network, host, PEERS_PORT, 7,
	    fleet->log_proxies[instance->datacentre].port, fleet->members.port);
	for (unsigned i = 0; i < fleet->n_instances; i++)
		g_string_append_printf(text,
		    "  - name: '%s'\n    datacentre: 'dc%u'\n"
		    "    address: '%s.%u:%d'\n",
		    fleet->instances[i].name, fleet->instances[i].datacentre,
		    network, i + 1, PEERS_PORT);
	g_assert_true(g_file_set_contents(
	    instance->settings, text->str, (gssize)text->len, NULL));
}

static void
instance_start(struct fleet *fleet, struct fleet_instance *instance)
{
	g_autofree char *path = program_path("samphireshed");
	char *argv[] = {path, "serve", "--config", instance->settings, NULL};

	instance->process = spawn(fleet, instance->name, argv, NULL);
}

static void
instances_start(struct fleet *fleet)
{
	/* Addresses by the pid, so that test programs can run side by side. */
	unsigned pid = (unsigned)getpid();
	g_autofree char *network =
	    g_strdup_printf("127.%u.%u", 64 + pid % 128, pid / 128 % 256);

	fleet->n_instances = fleet->plan.datacentres * fleet->plan.instances;
	g_assert_cmpuint(fleet->n_instances, <=, FLEET_MAX_INSTANCES);
	for (unsigned i = 0; i < fleet->n_instances; i++) {
		struct fleet_instance *instance = &fleet->instances[i];

		instance->datacentre = i / fleet->plan.instances + 1;
		instance->name = g_strdup_printf("i%u-%u", instance->datacentre,
		    i % fleet->plan.instances + 1);
		instance->callers = g_strdup_printf(
		    "http://%s.%u:%d", network, i + 1, CALLERS_PORT);
		instance->operators = g_strdup_printf(
		    "http://%s.%u:%d", network, i + 1, OPERATORS_PORT);
		instance->settings = g_strdup_printf(
		    "%s/%s.yaml", fleet->directory, instance->name);
	}
	for (unsigned i = 0; i < fleet->n_instances; i++) {
		settings_write(fleet, &fleet->instances[i], network, i + 1);
		instance_start(fleet, &fleet->instances[i]);
	}
}

static void
standins_start(struct fleet *fleet)
{
	g_autofree char *target = NULL;

	standin_start(fleet, &fleet->log, "log", "log", "");
	standin_start(fleet, &fleet->members, "members", "members", "");
	standin_start(fleet, &fleet->service, "service", "service", "");
	target = g_strdup_printf("--to=127.0.0.1:%u", fleet->log.port);
	for (unsigned d = 1; d <= fleet->plan.datacentres; d++) {
		g_autofree char *name = g_strdup_printf("log-proxy-%u", d);

		standin_start(
		    fleet, &fleet->log_proxies[d], name, "proxy", target);
	}
	for (unsigned i = 0; i < fleet->plan.engines; i++) {
		g_autofree char *name = g_strdup_printf("engine-%u", i);

		standin_start(fleet, &fleet->engines[i], name, "engine",
		    fleet->plan.engine_options);
	}
}

static void
object_publish(struct fleet *fleet, const char *object, json_t *value)
{
	struct fleet_call *call = fleet_object(fleet, 0, object, 0, value);

	fleet_wait(call);
	if (call->status != 200)
		g_test_message("%s: %s", object, call->body->str);
	g_assert_cmpint(call->status, ==, 200);
}

static void
organisation_publish(struct fleet *fleet, const char *name, double rate,
    int burst, const char *key)
{
	g_autofree char *object = g_strdup_printf("organisation/%s", name);
	g_autofree char *key_object = g_strdup_printf("key/k-%s", name);
	unsigned char digest[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(digest) + 1];

	object_publish(fleet, object,
	    json_pack(
		"{s:f,s:i,s:s}", "rate", rate, "burst", burst, "home", "dc1"));
	(void)crypto_hash_sha256(
	    digest, (const unsigned char *)key, strlen(key));
	(void)sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	object_publish(fleet, key_object,
	    json_pack("{s:s,s:s}", "digest", hex, "organisation", name));
}

static void
upstream_publish(struct fleet *fleet, const char *name, bool engine,
    unsigned datacentre, unsigned port)
{
	g_autofree char *object = g_strdup_printf("upstream/%s", name);
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", port);
	g_autofree char *where = g_strdup_printf("dc%u", datacentre);
	json_t *value =
	    json_pack("{s:s,s:s,s:s,s:i}", "kind", engine ? "model" : "service",
		"url", url, "datacentre", where, "capacity", 32);

	if (engine)
		(void)json_object_set_new(
		    value, "models", json_pack("[s]", "model-a"));
	else
		(void)json_object_set_new(
		    value, "service", json_string("orders"));
	object_publish(fleet, object, value);
}

static void
objects_publish(struct fleet *fleet)
{
	for (unsigned d = 1; d <= fleet->plan.datacentres; d++) {
		g_autofree char *object = g_strdup_printf("datacentre/dc%u", d);

		object_publish(
		    fleet, object, json_pack("{s:i}", "number", (int)d));
	}
	object_publish(fleet, "model/model-a",
	    json_pack("{s:i,s:i}", "context_tokens", 100000,
		"max_output_tokens", 1000));
	for (unsigned i = 0; i < fleet->plan.engines; i++) {
		g_autofree char *name = g_strdup_printf("engine-%u", i);

		upstream_publish(fleet, name, true,
		    i % fleet->plan.datacentres + 1, fleet->engines[i].port);
	}
	upstream_publish(fleet, "orders-1", false, 1, fleet->service.port);
	object_publish(fleet, "route/orders",
	    json_pack("{s:s,s:s,s:b,s:[s]}", "path", "/v1/services/orders",
		"service", "orders", "idempotent", 0, "methods", "POST"));
	object_publish(fleet, "route/stock",
	    json_pack("{s:s,s:s,s:b,s:[s]}", "path",
		"/v1/services/orders/stock", "service", "orders", "idempotent",
		1, "methods", "GET"));
	organisation_publish(fleet, "alpha", 10000, 10000, FLEET_KEY_ALPHA);
	organisation_publish(fleet, "beta", fleet->plan.beta_rate,
	    fleet->plan.beta_burst, FLEET_KEY_BETA);
}

/* Whether the path answers 200 at every instance's operators' port. */
static bool
is_everywhere(struct fleet *fleet, const char *path)
{
	for (unsigned i = 0; i < fleet->n_instances; i++) {
		if (fleet_ctl(fleet, i, "GET", path, NULL)->status != 200)
			return (false);
	}
	return (true);
}

static bool
is_owned(struct fleet *fleet)
{
	json_int_t owned = 0;

	for (unsigned i = 0; i < fleet->n_instances; i++)
		owned += json_integer_value(json_object_get(
		    fleet_ctl(fleet, i, "GET", "/ctl/status", NULL)->json,
		    "shards_owned"));
	return (owned >= FLEET_SHARDS * (json_int_t)fleet->plan.datacentres);
}

static void
wait_ready(struct fleet *fleet, const char *path)
{
	for (clk_ms waited = 0; !is_everywhere(fleet, path); waited += 100) {
		g_assert_cmpint(waited, <, FLEET_DEADLINE);
		fleet_run(fleet, 100);
	}
}

struct fleet *
fleet_open(const struct fleet_plan *plan)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	struct fleet_plan *p = &fleet->plan;

	*p = *plan;
	p->datacentres = p->datacentres != 0 ? p->datacentres : 2;
	p->instances = p->instances != 0 ? p->instances : 2;
	p->engines = p->engines != 0 ? p->engines : 2;
	p->beta_rate = p->beta_rate > 0 ? p->beta_rate : 1000;
	p->beta_burst = p->beta_burst > 0 ? p->beta_burst : 1000;
	if (p->engine_options == NULL)
		p->engine_options = "--token-ms=5 --answer-max=40";
	g_assert_cmpint(sodium_init(), !=, -1);
	catch_signals();
	fleet->directory = g_dir_make_tmp("samphireshed-fleet-XXXXXX", NULL);
	g_assert_nonnull(fleet->directory);
	fleet->loop = ev_loop_new(0);
	fleet->hcl = hcl_open(fleet->loop);
	fleet->processes = g_ptr_array_new();
	fleet->calls = g_ptr_array_new();
	standins_start(fleet);
	instances_start(fleet);
	wait_ready(fleet, "/healthz");
	objects_publish(fleet);
	wait_ready(fleet, "/readyz");
	for (clk_ms waited = 0; !is_owned(fleet); waited += 100) {
		g_assert_cmpint(waited, <, FLEET_DEADLINE);
		fleet_run(fleet, 100);
	}
	return (fleet);
}

/* Ending a fleet. */

static void
check_authorizations(struct fleet *fleet)
{
	g_assert_cmpint(
	    fleet_engine_total(fleet, "authorization_headers"), ==, 0);
	g_assert_cmpint(
	    json_integer_value(json_object_get(
		fleet_stats(fleet, &fleet->service, "/control/effects"),
		"authorization_headers")),
	    ==, 0);
}

static void
check_log(const char *path)
{
	static const char *const forbidden[] = {FLEET_KEY_ALPHA, FLEET_KEY_BETA,
	    "AddressSanitizer", "LeakSanitizer", "runtime error:"};
	g_autofree char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(forbidden); i++) {
		if (strstr(text, forbidden[i]) != NULL)
			g_error("%s contains \"%s\"", path, forbidden[i]);
	}
}

static void
call_free(struct fleet_call *call)
{
	g_string_free(call->body, TRUE);
	json_decref(call->json);
	g_free(call);
}

static void
directory_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		(void)g_unlink(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)g_rmdir(path);
}

void
fleet_close(struct fleet *fleet)
{
	check_authorizations(fleet);
	hcl_close(fleet->hcl);
	for (guint i = 0; i < fleet->processes->len; i++) {
		struct fleet_process *process =
		    g_ptr_array_index(fleet->processes, i);

		if (process->pid != 0) {
			(void)kill(process->pid, SIGKILL);
			(void)waitpid(process->pid, NULL, 0);
		}
		children[i] = 0;
	}
	for (guint i = 0; i < fleet->processes->len; i++) {
		struct fleet_process *process =
		    g_ptr_array_index(fleet->processes, i);

		check_log(process->log);
		g_free(process->name);
		g_free(process->log);
		g_free(process);
	}
	n_children = 0;
	for (guint i = 0; i < fleet->calls->len; i++)
		call_free(g_ptr_array_index(fleet->calls, i));
	for (unsigned i = 0; i < fleet->n_instances; i++) {
		g_free(fleet->instances[i].name);
		g_free(fleet->instances[i].callers);
		g_free(fleet->instances[i].operators);
		g_free(fleet->instances[i].settings);
	}
	g_ptr_array_unref(fleet->calls);
	g_ptr_array_unref(fleet->processes);
	ev_loop_destroy(fleet->loop);
	directory_remove(fleet->directory);
	g_free(fleet->directory);
	g_free(fleet);
}
