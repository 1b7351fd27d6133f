#include "fleet.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http/hsv.h"
#include "platform/plt.h"

#define FRONT_PORT 8368
#define READY_PORT 8369
/* Time after which the platform starts a process again that has ended. */
#define RESTART_MS 500
#define READY_MS   8000
/* A case may take 120 s. */
#define CASE_S 118
#define RELAY_HEAD 16384
#define RECORD_BYTES 262144
#define RELAY_BODY ((size_t)4 << 20)

clk_ms
fleet_now(const struct fleet *fleet)
{
	return (clk_now(&fleet->clk) - fleet->begun);
}

void
fleet_note(struct fleet *fleet, const char *format, ...)
{
	va_list args;
	g_autofree char *text = NULL;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	fprintf(fleet->record, "%8.3f %s\n",
	    (double)fleet_now(fleet) / (double)CLK_SECOND, text);
	(void)fflush(fleet->record);
}

void
fleet_unable(struct fleet *fleet, const char *why)
{
	fleet_note(fleet, "the case can't run: %s", why);
	fprintf(stderr, "the case can't run: %s\n", why);
	fleet_close(fleet);
	exit(2);
}

/* A network of the loopback range for each driver. */
static char *
instance_ip(unsigned instance)
{
	int pid = (int)getpid();

	return (g_strdup_printf(
	    "127.%d.%d.%u", 1 + pid / 250 % 250, pid % 250, 101 + instance));
}

static struct sockaddr_in
address_of(unsigned instance, int port)
{
	g_autofree char *ip = instance_ip(instance);
	g_autofree char *text = g_strdup_printf("%s:%d", ip, port);
	struct sockaddr_in address;

	if (!plt_address_parse(text, &address))
		abort();
	return (address);
}

struct sockaddr_in
fleet_address(unsigned instance)
{
	return (address_of(instance, FRONT_PORT));
}

/* ---- The relay before the store ---- */

struct relayed {
	struct fleet *fleet;
	struct hsv_call *call; /* nil: the instance has gone */
	struct hcp_call *upstream;
	GByteArray *body;
	int status;
};

static enum hcp_take
relayed_head(void *arg, const struct hmsg_head *head)
{
	struct relayed *relayed = arg;

	relayed->status = head->status;
	return (HCP_TAKE);
}

static void
relayed_data(void *arg, const char *data, size_t len)
{
	struct relayed *relayed = arg;

	(void)g_byte_array_append(
	    relayed->body, (const guint8 *)data, (guint)len);
}

static void
relayed_free(struct relayed *relayed)
{
	(void)g_byte_array_unref(relayed->body);
	g_free(relayed);
}

static void
relayed_end(void *arg, enum hcp_end end, bool timed_out)
{
	struct relayed *relayed = arg;

	(void)timed_out;
	if (end == HCP_COMPLETE)
		hsv_answer(relayed->call, relayed->status,
		    "Content-Type: application/json\r\n", relayed->body->data,
		    relayed->body->len);
	else
		hsv_abort(relayed->call);
	relayed_free(relayed);
}

static const struct hcp_handler relayed_handler = {
    relayed_head, relayed_data, relayed_end};

static char *
query_value(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	g_auto(GStrv) parts = NULL;
	size_t len = strlen(name);

	if (query == NULL)
		return (g_strdup(""));
	parts = g_strsplit(query + 1, "&", -1);
	for (char **part = parts; *part != NULL; part++) {
		if (strncmp(*part, name, len) == 0 && (*part)[len] == '=')
			return (g_strdup(*part + len + 1));
	}
	return (g_strdup(""));
}

/* The store takes records of at most platform.record_bytes. */
static bool
has_large_record(const GByteArray *body)
{
	guint at = 0;

	while (at + 4 <= body->len) {
		guint32 size;

		memcpy(&size, body->data + at, sizeof(size));
		size = GUINT32_FROM_BE(size);
		if (size > RECORD_BYTES)
			return (true);
		at += 4 + size;
	}
	return (false);
}

/* A write that is done later and not answered. */
struct late_write {
	struct fleet *fleet;
	GString *head;
	GByteArray *body;
	clk_ms due;
};

static enum hcp_take
late_head(void *arg, const struct hmsg_head *head)
{
	struct late_write *late = arg;

	fleet_note(late->fleet, "late write done status=%d", head->status);
	return (HCP_TAKE);
}

static void
late_data(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void
late_end(void *arg, enum hcp_end end, bool timed_out)
{
	struct late_write *late = arg;

	(void)end;
	(void)timed_out;
	(void)g_string_free(late->head, TRUE);
	(void)g_byte_array_unref(late->body);
	g_free(late);
}

static const struct hcp_handler late_handler = {
    late_head, late_data, late_end};

static void
late_add(struct fleet *fleet, const struct hsv_call *call, clk_ms delay)
{
	struct late_write *late = g_new0(struct late_write, 1);
	const GByteArray *body = hsv_body(call);

	late->fleet = fleet;
	late->due = fleet_now(fleet) + delay;
	late->head = g_string_new(NULL);
	late->body = g_byte_array_new();
	(void)g_byte_array_append(late->body, body->data, body->len);
	g_string_append_printf(late->head,
	    "POST %s HTTP/1.1\r\nHost: store\r\nContent-Length: %u\r\n\r\n",
	    hsv_head(call)->target->str, body->len);
	g_queue_push_tail(&fleet->late, late);
	fleet_note(fleet, "write is late by %d ms: %s", (int)delay,
	    hsv_head(call)->target->str);
}

static void
late_run(struct fleet *fleet)
{
	GList *next;

	for (GList *l = fleet->late.head; l != NULL; l = next) {
		struct late_write *late = l->data;
		struct hcp_request request = {
		    .address = sstore_address(fleet->store),
		    .head = late->head,
		    .body = late->body->data,
		    .body_len = late->body->len,
		    .connect_timeout = 1000,
		    .handler = &late_handler,
		    .arg = late,
		};

		next = l->next;
		if (fleet_now(fleet) < late->due)
			continue;
		g_queue_delete_link(&fleet->late, l);
		(void)hcp_start(fleet->relay_client, &request);
	}
}

static void
on_store_call(void *arg, struct hsv_call *call)
{
	struct fleet *fleet = arg;
	const struct hmsg_head *head = hsv_head(call);
	const char *target = head->target->str;
	const GByteArray *body = hsv_body(call);
	g_autofree char *path = g_strndup(target, strcspn(target, "?"));
	g_autofree char *topic = query_value(target, "topic");
	g_autofree char *part = query_value(target, "part");
	g_autoptr(GString) out = g_string_new(NULL);
	struct relayed *relayed;
	struct hcp_request request;
	clk_ms delay;

	if (strcmp(path, "/log-append") == 0 && has_large_record(body)) {
		hsv_answer(call, 413, "", "", 0);
		return;
	}
	if (fleet->refuses != NULL &&
	    fleet->refuses(path, topic, atoi(part))) {
		fleet->refused++;
		hsv_answer(call, 503, "", "", 0);
		return;
	}
	if (fleet->lateness != NULL && strcmp(path, "/log-append") == 0 &&
	    (delay = fleet->lateness(topic, atoi(part))) > 0) {
		late_add(fleet, call, delay);
		return;
	}
	relayed = g_new0(struct relayed, 1);
	relayed->fleet = fleet;
	relayed->call = call;
	relayed->body = g_byte_array_new();
	g_string_append_printf(out,
	    "%s %s HTTP/1.1\r\nHost: store\r\nContent-Length: %u\r\n\r\n",
	    head->method, target, body->len);
	request = (struct hcp_request){
	    .address = sstore_address(fleet->store),
	    .head = out,
	    .body = body->data,
	    .body_len = body->len,
	    .connect_timeout = 1000,
	    .handler = &relayed_handler,
	    .arg = relayed,
	};
	hsv_arg_set(call, relayed);
	relayed->upstream = hcp_start(fleet->relay_client, &request);
}

static void
on_store_gone(void *arg, struct hsv_call *call)
{
	struct relayed *relayed = hsv_arg(call);

	(void)arg;
	if (relayed == NULL)
		return;
	hcp_cancel(relayed->upstream);
	relayed_free(relayed);
}

static void
relay_open(struct fleet *fleet)
{
	const struct hsv_limits limits = {RELAY_HEAD, RELAY_BODY,
	    60 * CLK_SECOND, 60 * CLK_SECOND, 1000};
	const struct hsv_handler handler = {
	    on_store_call, on_store_gone, fleet};
	socklen_t len = sizeof(fleet->relay_address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	/* A free port: the kernel names one. */
	fleet->relay_address = (struct sockaddr_in){
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&fleet->relay_address, len) != 0 ||
	    getsockname(
		fd, (struct sockaddr *)&fleet->relay_address, &len) != 0)
		fleet_unable(fleet, "no port for the relay");
	(void)close(fd);
	fleet->relay_client = hcp_open(fleet->loop);
	fleet->relay =
	    hsv_open(fleet->loop, &fleet->relay_address, &limits, &handler);
	if (fleet->relay == NULL)
		fleet_unable(fleet, "the relay can't listen");
}

/* ---- Callers without a key ---- */

static enum hcp_take
public_head(void *arg, const struct hmsg_head *head)
{
	((struct sanswer *)arg)->status = head->status;
	return (HCP_TAKE);
}

static void
public_data(void *arg, const char *data, size_t len)
{
	g_string_append_len(
	    ((struct sanswer *)arg)->body, data, (gssize)len);
}

static void
public_end(void *arg, enum hcp_end end, bool timed_out)
{
	struct sanswer *answer = arg;

	(void)timed_out;
	answer->end = end;
	answer->ended = true;
}

static const struct hcp_handler public_handler = {
    public_head, public_data, public_end};

struct sanswer *
fleet_ask_public(struct fleet *fleet, const struct sockaddr_in *address,
    const char *path, const char *fields, const char *body)
{
	struct sanswer *answer = g_new0(struct sanswer, 1);
	g_autoptr(GString) head = g_string_new(NULL);
	struct hcp_request request = {
	    .address = *address,
	    .head = head,
	    .body = body,
	    .body_len = strlen(body),
	    .connect_timeout = 1000,
	    .handler = &public_handler,
	    .arg = answer,
	};

	g_string_append_printf(head,
	    "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %zu\r\n\r\n",
	    path, fields, strlen(body));
	answer->body = g_string_new(NULL);
	answer->call = hcp_start(fleet->public_client, &request);
	return (answer);
}

/* ---- Processes ---- */

static char *
settings_path(const struct fleet *fleet, unsigned i)
{
	return (g_strdup_printf("%s/settings-%u.conf", fleet->directory, i));
}

static void
settings_write(const struct fleet *fleet, unsigned i)
{
	g_autofree char *ip = instance_ip(i);
	g_autofree char *path = settings_path(fleet, i);
	g_autofree char *text = g_strdup_printf("node_name=front-a-%u\n"
	    "role=instance\nmachine_class=front\nserves=front\nip=%s\n"
	    "zone=atl-a\nregion=us-southeast\nzones.atl-a=us-southeast\n"
	    "listen.front=%s:%d\nlisten.ready_addr=%s:%d\n"
	    "internal_ports=7780,7795\nbootstrap=true\n"
	    "limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=140\n"
	    "limits.max_fds=8200\nheartbeat_ms=1200\n"
	    "bounds.stable_ms=3000\nbounds.drain_ms=2000\n"
	    "bounds.grace_s=8\nbounds.config_deadline_ms=2000\n"
	    "bounds.strict_revocation=true\nbounds.revoke_ms=5000\n"
	    "bounds.quota_window_s=5\nbounds.quota_overage=0.1\n"
	    "bounds.quota_slack=20\n"
	    "platform.address=127.0.0.1:%u\nplatform.form=log\n"
	    "platform.writes_per_s=800\nplatform.reads_per_s=2000\n"
	    "platform.parts=12\nplatform.record_bytes=%d\n"
	    "platform.call_bytes=2097152\nplatform.retention_s=20\n",
	    i, ip, ip, FRONT_PORT, ip, READY_PORT,
	    (unsigned)ntohs(fleet->relay_address.sin_port), RECORD_BYTES);

	if (!g_file_set_contents(path, text, -1, NULL))
		abort();
}

static void
instance_start(struct fleet *fleet, unsigned i)
{
	g_autofree char *path = settings_path(fleet, i);
	g_autofree char *log =
	    g_strdup_printf("%s/instance-%u.log", fleet->directory, i);
	pid_t pid;

	settings_write(fleet, i);
	pid = fork();
	if (pid == 0) {
		/* It ends with the driver, however that ends. */
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)setenv("SAMPHIRESHED_BOOT", path, 1);
		if (freopen(log, "a", stdout) == NULL ||
		    freopen(log, "a", stderr) == NULL)
			_exit(127);
		(void)execl("target/samphireshed", "target/samphireshed",
		    "serve-platform", (char *)NULL);
		_exit(127);
	}
	if (pid < 0)
		fleet_unable(fleet, "no process could be started");
	fleet->instances[i].pid = pid;
	fleet->instances[i].start_at = 0;
	fleet->instances[i].is_ending = false;
	fleet_note(fleet, "start instance=%u pid=%d", i, (int)pid);
}

static void
instances_reap(struct fleet *fleet)
{
	for (unsigned i = 0; i < fleet->count; i++) {
		int status;

		if (fleet->instances[i].pid != 0 &&
		    waitpid(fleet->instances[i].pid, &status, WNOHANG) ==
			fleet->instances[i].pid) {
			if (!fleet->instances[i].is_ending)
				fleet->instances[i].own_ends++;
			fleet_note(fleet,
			    "end instance=%u by_itself=%d signal=%d status=%d",
			    i, !fleet->instances[i].is_ending,
			    WIFSIGNALED(status) ? WTERMSIG(status) : 0,
			    WIFEXITED(status) ? WEXITSTATUS(status) : -1);
			fleet->instances[i].pid = 0;
			fleet->instances[i].start_at =
			    fleet_now(fleet) + RESTART_MS;
		}
		if (fleet->instances[i].pid == 0 &&
		    fleet->instances[i].start_at > 0 &&
		    fleet_now(fleet) >= fleet->instances[i].start_at)
			instance_start(fleet, i);
	}
}

void
fleet_run(struct fleet *fleet, clk_ms time)
{
	clk_ms until = fleet_now(fleet) + time;

	do {
		instances_reap(fleet);
		late_run(fleet);
		sstandin_run(fleet->loop, MIN(2, MAX(until - fleet_now(fleet), 0)));
	} while (fleet_now(fleet) < until);
}

static bool
is_ready(struct fleet *fleet, unsigned i)
{
	const struct sockaddr_in to = address_of(i, READY_PORT);
	struct sanswer *answer =
	    sclient_ask(fleet->client, &to, "GET", "/readyz", "", "");
	bool ready;

	for (int n = 0; n < 250 && !answer->ended; n++)
		fleet_run(fleet, 4);
	if (!answer->ended)
		fleet_unable(fleet, "an instance does not answer /readyz");
	ready = answer->status == 200;
	sanswer_free(answer);
	return (ready);
}

void
fleet_start(struct fleet *fleet)
{
	for (unsigned i = 0; i < fleet->count; i++)
		instance_start(fleet, i);
	for (unsigned i = 0; i < fleet->count; i++) {
		clk_ms until = fleet_now(fleet) + READY_MS;

		while (!is_ready(fleet, i)) {
			if (fleet_now(fleet) > until)
				fleet_unable(fleet, "an instance is not ready");
			fleet_run(fleet, 50);
		}
	}
	fleet_note(fleet, "all %u instances are ready", fleet->count);
}

static void
on_alarm(int number)
{
	(void)number;
	_exit(2);
}

void
fleet_open(struct fleet *fleet, unsigned instances)
{
	const char *trouble = g_getenv("TROUBLE");
	const char *directory = g_getenv("CASE_DIR");
	g_autofree char *path = g_strdup_printf(
	    "%s/record.txt", directory != NULL ? directory : ".");

	memset(fleet, 0, sizeof(*fleet));
	(void)signal(SIGPIPE, SIG_IGN);
	(void)signal(SIGALRM, on_alarm);
	(void)alarm(CASE_S);
	fleet->clk = clk_monotonic();
	fleet->begun = clk_now(&fleet->clk);
	fleet->has_trouble = g_strcmp0(trouble, "0") != 0;
	fleet->count = instances;
	fleet->record = fopen(path, "w");
	fleet->directory = g_dir_make_tmp("samphireshed-review-XXXXXX", NULL);
	if (fleet->record == NULL || fleet->directory == NULL) {
		fprintf(stderr, "no place for the record or the settings\n");
		exit(2);
	}
	fleet->loop = ev_loop_new(EVFLAG_AUTO);
	fleet->store = sstore_open(fleet->loop);
	fleet->client = sclient_open(fleet->loop);
	fleet->public_client = hcp_open(fleet->loop);
	relay_open(fleet);
	fleet_note(fleet, "trouble=%d", fleet->has_trouble);
}

void
fleet_close(struct fleet *fleet)
{
	for (unsigned i = 0; i < fleet->count; i++) {
		g_autofree char *path = settings_path(fleet, i);
		g_autofree char *log =
		    g_strdup_printf("%s/instance-%u.log", fleet->directory, i);

		if (fleet->instances[i].pid != 0) {
			(void)kill(fleet->instances[i].pid, SIGKILL);
			(void)waitpid(fleet->instances[i].pid, NULL, 0);
			fleet->instances[i].pid = 0;
		}
		if (g_getenv("KEEP_LOGS") == NULL) {
			(void)g_unlink(path);
			(void)g_unlink(log);
		}
	}
	(void)g_rmdir(fleet->directory);
	(void)fclose(fleet->record);
}
