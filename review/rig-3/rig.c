#include "review/rig-3/rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM	   "target/samphireshed"
#define FRONT_PORT 8368
#define READY_PORT 8369
#define CHECK_MS   200
#define RESTART_MS 500
/* The rule: on two machines at least, three times in the day. */
#define ENDS_MAX     3
#define MACHINES_MAX 2
/* State of a socket that listens, in /proc/net/tcp. */
#define TCP_LISTEN 0x0a

/* Each run has a network of the loopback range of its own. */
static char *
host(unsigned i)
{
	int pid = (int)getpid();

	return (g_strdup_printf(
	    "127.%d.%d.%u", 1 + pid / 250 % 250, pid % 250, 101 + i));
}

static struct sockaddr_in
address(unsigned i, unsigned port)
{
	g_autofree char *ip = host(i);
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	(void)inet_pton(AF_INET, ip, &address.sin_addr);
	return (address);
}

struct sockaddr_in
rig_front(const struct rig *rig, unsigned i)
{
	(void)rig;
	return (address(i, FRONT_PORT));
}

clk_ms
rig_now(const struct rig *rig)
{
	return (clk_now(&rig->clk) - rig->begun);
}

void
rig_say(struct rig *rig, const char *format, ...)
{
	va_list args;

	(void)fprintf(rig->record, "%7.3f ", (double)rig_now(rig) / 1000.0);
	va_start(args, format);
	(void)vfprintf(rig->record, format, args);
	va_end(args);
	(void)fputc('\n', rig->record);
}

void
rig_open(struct rig *rig, unsigned instances)
{
	const char *trouble = g_getenv("TROUBLE");
	const char *record = g_getenv("RECORD");

	*rig = (struct rig){.loop = ev_loop_new(EVFLAG_AUTO),
	    .clk = clk_monotonic(),
	    .instances = instances};
	rig->begun = clk_now(&rig->clk);
	rig->has_trouble = trouble == NULL || g_strcmp0(trouble, "0") != 0;
	rig->record = fopen(record != NULL ? record : "record.txt", "w");
	rig->directory = g_dir_make_tmp("review-XXXXXX", NULL);
	if (rig->record == NULL || rig->directory == NULL)
		exit(RIG_NOT_RUN);
	(void)signal(SIGPIPE, SIG_IGN);
	rig->store = sstore_open(rig->loop);
	rig->client = sclient_open(rig->loop);
	rig_say(rig, "trouble=%d", rig->has_trouble);
}

static char *
settings_path(const struct rig *rig, unsigned i)
{
	return (g_strdup_printf("%s/settings-%u.conf", rig->directory, i));
}

static void
settings_write(const struct rig *rig, unsigned i)
{
	g_autofree char *ip = host(i);
	g_autofree char *path = settings_path(rig, i);
	const struct sockaddr_in store = sstore_address(rig->store);
	g_autofree char *text = g_strdup_printf(
	    "node_name=front-%u\nrole=instance\nmachine_class=front\n"
	    "serves=front\nip=%s\nzone=z1\nregion=r1\nzones.z1=r1\n"
	    "listen.front=%s:%d\nlisten.ready_addr=%s:%d\n"
	    "internal_ports=7780,7795\nbootstrap=true\nlimits.cpu_share=0.5\n"
	    "limits.cores=1\nlimits.memory_mb=%d\nlimits.max_fds=8200\n"
	    "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
	    "bounds.stable_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
	    "bounds.config_deadline_ms=2000\nbounds.strict_revocation=true\n"
	    "bounds.revoke_ms=5000\nbounds.quota_window_s=5\n"
	    "bounds.quota_overage=0.1\nbounds.quota_slack=20\n"
	    "bounds.recover_s=12\nplatform.address=127.0.0.1:%u\n"
	    "platform.form=log\nplatform.parts=12\n"
	    "platform.record_bytes=262144\nplatform.call_bytes=2097152\n%s",
	    i + 1, ip, ip, FRONT_PORT, ip, READY_PORT, RIG_MEMORY_MB,
	    (unsigned)ntohs(store.sin_port),
	    rig->more_settings != NULL ? rig->more_settings : "");

	if (!g_file_set_contents(path, text, -1, NULL))
		exit(RIG_NOT_RUN);
}

static void
log_open(void *data)
{
	int fd = open(data, O_WRONLY | O_CREAT | O_APPEND, 0600);

	if (fd >= 0)
		(void)dup2(fd, STDOUT_FILENO);
}

void
rig_start(struct rig *rig, unsigned i)
{
	g_autofree char *path = settings_path(rig, i);
	g_autofree char *boot = g_strconcat("SAMPHIRESHED_BOOT=", path, NULL);
	g_autofree char *log = g_strdup_printf("%s/log-%u", rig->directory, i);
	const char *other = g_getenv("PROGRAM");
	char *argv[] = {(char *)(other != NULL ? other : PROGRAM),
	    (char *)"serve-platform", NULL};
	char *envp[] = {(char *)"PATH=/usr/bin:/bin", boot, NULL};
	g_autoptr(GError) error = NULL;

	settings_write(rig, i);
	if (!g_spawn_async(NULL, argv, envp, G_SPAWN_DO_NOT_REAP_CHILD,
		log_open, log, &rig->pids[i], &error)) {
		rig_say(rig, "can't start: %s", error->message);
		exit(RIG_NOT_RUN);
	}
	rig_say(rig, "start front-%u pid=%d", i + 1, (int)rig->pids[i]);
}

void
rig_signal(struct rig *rig, unsigned i, int number)
{
	if (rig->pids[i] == 0)
		return;
	rig_say(rig, "signal %d to front-%u", number, i + 1);
	(void)kill(rig->pids[i], number);
}

bool
rig_has_ended(struct rig *rig, unsigned i, int *status)
{
	if (rig->pids[i] == 0 ||
	    waitpid(rig->pids[i], status, WNOHANG) != rig->pids[i])
		return (false);
	rig->pids[i] = 0;
	rig_say(
	    rig, "front-%u has ended, status=%#x", i + 1, (unsigned)*status);
	return (true);
}

bool
rig_wait_ready(struct rig *rig)
{
	for (unsigned i = 0; i < rig->instances; i++) {
		const struct sockaddr_in to = address(i, READY_PORT);
		clk_ms until = rig_now(rig) + 10 * CLK_SECOND;
		bool is_ready = false;

		while (!is_ready && rig_now(rig) < until) {
			struct sanswer *answer = sclient_wait(rig->client,
			    sclient_ask(
				rig->client, &to, "GET", "/readyz", "", ""));

			is_ready = answer->status == 200;
			sanswer_free(answer);
			sstandin_run(rig->loop, 20);
		}
		if (!is_ready)
			return (false);
	}
	rig_say(rig, "all ready");
	return (true);
}

static long
resident_kb(GPid pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
	FILE *file = fopen(path, "r");
	long size, resident = 0;

	if (file == NULL)
		return (0);
	if (fscanf(file, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	(void)fclose(file);
	return (resident * (sysconf(_SC_PAGESIZE) / 1024));
}

/* Adds what the callers' connections of each instance hold unread. */
static void
unread_add(const struct rig *rig, long *kb)
{
	FILE *file = fopen("/proc/net/tcp", "r");
	unsigned long unread[RIG_INSTANCES_MAX] = {0};
	char line[256];

	if (file == NULL)
		return;
	while (fgets(line, sizeof(line), file) != NULL) {
		unsigned ip, port, state, received;

		if (sscanf(line, " %*d: %x:%x %*x:%*x %x %*x:%x", &ip, &port,
			&state, &received) != 4 ||
		    port != FRONT_PORT || state == TCP_LISTEN)
			continue;
		for (unsigned i = 0; i < rig->instances; i++) {
			if (address(i, FRONT_PORT).sin_addr.s_addr == ip)
				unread[i] += received;
		}
	}
	(void)fclose(file);
	for (unsigned i = 0; i < rig->instances; i++)
		kb[i] += (long)(unread[i] / 1024);
}

bool
rig_platform_tick(struct rig *rig)
{
	long kb[RIG_INSTANCES_MAX] = {0};
	unsigned machines = 0;

	if (rig_now(rig) - rig->checked < CHECK_MS)
		return (false);
	rig->checked = rig_now(rig);
	unread_add(rig, kb);
	for (unsigned i = 0; i < rig->instances; i++) {
		clk_ms now = rig_now(rig);
		long resident;
		int status;

		if (rig->start_at[i] > 0 && now >= rig->start_at[i]) {
			rig->start_at[i] = 0;
			rig_start(rig, i);
			continue;
		}
		if (rig->pids[i] == 0)
			continue;
		resident = resident_kb(rig->pids[i]);
		rig_say(rig, "front-%u holds %ld kB and %ld kB unread", i + 1,
		    resident, kb[i]);
		kb[i] += resident;
		rig->most_kb[i] = MAX(rig->most_kb[i], kb[i]);
		if (kb[i] > RIG_MEMORY_MB * 1024L) {
			rig_signal(rig, i, SIGKILL);
			while (!rig_has_ended(rig, i, &status))
				g_usleep(1000);
		}
		if (rig->pids[i] == 0 || rig_has_ended(rig, i, &status)) {
			rig->ends[i]++;
			rig->start_at[i] = now + RESTART_MS;
		}
	}
	for (unsigned i = 0; i < rig->instances; i++)
		machines += rig->ends[i] >= ENDS_MAX;
	return (machines >= MACHINES_MAX);
}

void
rig_platform_report(struct rig *rig)
{
	for (unsigned i = 0; i < rig->instances; i++) {
		rig_say(rig, "front-%u ended %u times, most %ld kB", i + 1,
		    rig->ends[i], rig->most_kb[i]);
		printf("front-%u ended %u times, most %ld kB of %d\n", i + 1,
		    rig->ends[i], rig->most_kb[i], RIG_MEMORY_MB * 1024);
	}
}

bool
rig_files_max(unsigned files)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_max < files)
		return (false);
	limit.rlim_cur = files;
	return (setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

void
rig_close(struct rig *rig)
{
	for (unsigned i = 0; i < rig->instances; i++) {
		g_autofree char *path = settings_path(rig, i);
		g_autofree char *log =
		    g_strdup_printf("%s/log-%u", rig->directory, i);
		int status;

		if (rig->pids[i] != 0) {
			(void)kill(rig->pids[i], SIGCONT);
			(void)kill(rig->pids[i], SIGKILL);
			(void)waitpid(rig->pids[i], &status, 0);
		}
		(void)g_unlink(path);
		if (g_getenv("KEEP_LOGS") == NULL)
			(void)g_unlink(log);
	}
	(void)g_rmdir(rig->directory);
	(void)fclose(rig->record);
}
