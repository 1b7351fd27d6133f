/*
 * A crowd of ordinary callers: each sends a request of legal size, gets its
 * answer and keeps the connection for its next request, 10 s later.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/rig-3/rig.h"

#define INSTANCES 2
#define SERVERS	  4
#define SLOTS	  64
#define CROWD	  2400 /* connections to an instance; it takes 6,152 */
#define CALM	  200 /* without trouble */
/* Bytes: the sheet has up to 100,000, and the limit is 4,194,304. */
#define BODY 60000
/* Less than four fifths of the idle timeout, 15 s. */
#define PERIOD_MS 10000
#define RUN_MS	  70000
#define FILES	  8192

enum step { AWAY, CONNECTING, SENDING, WAITING, IDLE };

struct caller {
	struct state *state;
	unsigned to;
	int fd;
	enum step step;
	clk_ms next; /* when to connect, or to send again */
	struct ev_io io;
	GString *request;
	size_t sent;
	char answer[4096];
	size_t got;
	unsigned id;
};

struct state {
	struct rig rig;
	struct caller *callers;
	unsigned count;
	unsigned ids, asked, served, refused, cut, runs;
};

static void
on_run(void *data, const struct srun *run)
{
	struct state *s = data;

	s->runs++;
	rig_say(&s->rig, "run %s", run->id);
}

static void
caller_leave(struct caller *caller, clk_ms pause)
{
	ev_io_stop(caller->state->rig.loop, &caller->io);
	if (caller->fd >= 0)
		(void)close(caller->fd);
	caller->fd = -1;
	caller->step = AWAY;
	caller->next = rig_now(&caller->state->rig) + pause;
}

static void
caller_broken(struct caller *caller)
{
	struct state *s = caller->state;

	if (caller->step == WAITING || caller->step == SENDING) {
		s->cut++;
		rig_say(&s->rig, "cut %u", caller->id);
	}
	/* The next request of this caller, on a new connection. */
	caller_leave(caller, 1000 + rand() % 8000);
}

static void
caller_watch(struct caller *caller, int events)
{
	ev_io_stop(caller->state->rig.loop, &caller->io);
	ev_io_set(&caller->io, caller->fd, events);
	ev_io_start(caller->state->rig.loop, &caller->io);
}

static void
caller_ask(struct caller *caller)
{
	struct state *s = caller->state;

	caller->id = ++s->ids;
	s->asked++;
	g_string_printf(caller->request,
	    "POST /plan/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %u\r\n"
	    "X-Api-Key: k1\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Token-Usage: 12600,60\r\n"
	    "Content-Length: %d\r\n\r\n",
	    caller->id, BODY);
	for (int i = 0; i < BODY / 10; i++)
		g_string_append_len(caller->request, "one line. ", 10);
	caller->sent = 0;
	caller->got = 0;
	caller->step = SENDING;
	rig_say(&s->rig, "send %u to front-%u", caller->id, caller->to + 1);
	caller_watch(caller, EV_WRITE);
}

static void
caller_answered(struct caller *caller)
{
	struct state *s = caller->state;
	int status = atoi(caller->answer + 9);
	bool closes = strstr(caller->answer, "Connection: close") != NULL;

	rig_say(&s->rig, "answer %u status=%d", caller->id, status);
	*(status == 200 ? &s->served : &s->refused) += 1;
	if (closes) {
		caller_leave(caller, PERIOD_MS);
		return;
	}
	caller->step = IDLE;
	caller->next = rig_now(&s->rig) + PERIOD_MS;
}

static void
caller_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct caller *caller = watcher->data;
	const GString *request = caller->request;
	const char *end;
	ssize_t n;

	(void)loop;
	(void)events;
	if (caller->step == CONNECTING) {
		int error = 0;
		socklen_t len = sizeof(error);

		(void)getsockopt(
		    caller->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		if (error != 0)
			caller_broken(caller);
		else
			caller_ask(caller);
		return;
	}
	if (caller->step == SENDING) {
		n = send(caller->fd, request->str + caller->sent,
		    request->len - caller->sent, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN) {
			caller_broken(caller);
			return;
		}
		caller->sent += n > 0 ? (size_t)n : 0;
		if (caller->sent < request->len)
			return;
		g_string_truncate(caller->request, 0);
		caller->step = WAITING;
		caller_watch(caller, EV_READ);
		return;
	}
	n = recv(caller->fd, caller->answer + caller->got,
	    sizeof(caller->answer) - 1 - caller->got, 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0 || caller->step == IDLE) {
		caller_broken(caller);
		return;
	}
	caller->got += (size_t)n;
	caller->answer[caller->got] = '\0';
	/* A refusal is short: its body comes with its head. */
	end = strstr(caller->answer, "\r\n\r\n");
	if (end != NULL &&
	    (atoi(caller->answer + 9) != 200 ||
		strstr(end, "\r\n0\r\n\r\n") != NULL))
		caller_answered(caller);
}

static void
caller_connect(struct caller *caller)
{
	const struct sockaddr_in to =
	    rig_front(&caller->state->rig, caller->to);

	caller->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (caller->fd < 0 ||
	    (connect(caller->fd, (const struct sockaddr *)&to, sizeof(to)) !=
		    0 &&
		errno != EINPROGRESS)) {
		caller_broken(caller);
		return;
	}
	caller->step = CONNECTING;
	caller_watch(caller, EV_WRITE);
}

static void
callers_tick(struct state *s)
{
	clk_ms now = rig_now(&s->rig);

	for (unsigned i = 0; i < s->count; i++) {
		struct caller *caller = &s->callers[i];

		if (now < caller->next)
			continue;
		if (caller->step == AWAY && s->rig.start_at[caller->to] == 0)
			caller_connect(caller);
		else if (caller->step == IDLE)
			caller_ask(caller);
	}
}

int
main(void)
{
	struct state s = {0};
	struct sworker *servers[SERVERS];
	bool is_broken = false;

	if (!rig_files_max(FILES))
		return (RIG_NOT_RUN);
	srand(50);
	rig_open(&s.rig, INSTANCES);
	sstore_configure(s.rig.store, 1, "\"k1\"");
	for (unsigned i = 0; i < SERVERS; i++) {
		g_autofree char *id = g_strdup_printf("engine-%u", i + 1);

		servers[i] = sworker_open(s.rig.loop, id);
		sworker_slots_set(servers[i], SLOTS);
		sworker_on_run_set(servers[i], on_run, &s);
		sworker_register(servers[i], s.rig.store, "pool", "ready");
	}
	for (unsigned i = 0; i < INSTANCES; i++)
		rig_start(&s.rig, i);
	if (!rig_wait_ready(&s.rig)) {
		rig_close(&s.rig);
		return (RIG_NOT_RUN);
	}
	s.count = INSTANCES * (s.rig.has_trouble ? CROWD : CALM);
	s.callers = g_new0(struct caller, s.count);
	for (unsigned i = 0; i < s.count; i++) {
		struct caller *caller = &s.callers[i];

		caller->state = &s;
		caller->to = i % INSTANCES;
		caller->fd = -1;
		caller->request = g_string_new(NULL);
		caller->next = rig_now(&s.rig) + rand() % PERIOD_MS;
		ev_io_init(&caller->io, caller_cb, -1, EV_READ);
		caller->io.data = caller;
	}
	s.rig.begun = clk_now(&s.rig.clk);
	while (!is_broken && rig_now(&s.rig) < RUN_MS) {
		sstandin_run(s.rig.loop, 2);
		callers_tick(&s);
		is_broken = rig_platform_tick(&s.rig);
	}
	rig_platform_report(&s.rig);
	rig_say(&s.rig,
	    "callers %u, asked %u, run %u, served %u, refused %u, cut %u",
	    s.count, s.asked, s.runs, s.served, s.refused, s.cut);
	printf("callers %u, asked %u, served %u, refused %u, cut %u\n", s.count,
	    s.asked, s.served, s.refused, s.cut);
	rig_close(&s.rig);
	if (s.served < s.count / 2)
		return (RIG_NOT_RUN);
	return (is_broken ? RIG_BROKEN : RIG_HELD);
}
