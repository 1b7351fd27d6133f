/*
 * A crowd of callers whose bodies stop just short of their end and stay open,
 * and some ordinary callers beside it.  What the instance does not read stays
 * in the kernel, and counts toward the memory of its machine.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/rig-3/rig.h"

#define INSTANCES 2
#define SERVERS	  4
#define SLOTS	  64
#define SERVED_MS 50
#define CROWD	  3000 /* connections to an instance; it takes 6,152 */
#define ORDINARY  10 /* callers of an instance that read their answers */
/* Bytes: the sheet has up to 100,000, and the limit is 4,194,304. */
#define BODY	 60000
#define SHORT_BY 1000
/* What is sent at once, and then in pieces. */
#define AT_ONCE	  50000
#define PIECE	  1000
#define PIECE_MS  250
#define BEGIN_MS  3000 /* of the crowd */
#define RETURN_MS 2000 /* longest pause before one comes again */
/* Callers of the crowd that come to an instance in a second: 72 MB. */
#define ARRIVALS 1200
#define PAUSE_MS 500 /* between two requests of an ordinary caller */
#define RUN_MS	 60000
#define FILES	 8192
/* A machine's link has 1,000 Mbit/s. */
#define LINK_BYTES 125000000u

struct caller {
	struct state *state;
	unsigned to;
	unsigned id;
	int fd; /* -1: not connected */
	clk_ms next; /* when to connect, or to send the next piece */
	struct ev_io io;
	GString *request;
	size_t sent;
};

/* A caller that reads its answers, and asks for the next one then. */
struct ordinary {
	struct sanswer *answer; /* nil: pauses */
	clk_ms next;
};

struct state {
	struct rig rig;
	struct caller *callers;
	struct ordinary ordinary[INSTANCES * ORDINARY];
	unsigned count;
	unsigned ids, runs, served, refused, cut, closed;
	size_t bytes[INSTANCES]; /* of the crowd, in this second */
	size_t most_bytes;
	clk_ms second;
	clk_ms ticked;
	double arrivals[INSTANCES]; /* that are due */
};

static void
on_run(void *data, const struct srun *run)
{
	struct state *s = data;

	s->runs++;
	rig_say(&s->rig, "run %s", run->id);
}

/* The instance has closed the connection, or its process has ended. */
static void
caller_closed(struct caller *caller)
{
	struct state *s = caller->state;

	ev_io_stop(s->rig.loop, &caller->io);
	if (caller->fd >= 0)
		(void)close(caller->fd);
	caller->fd = -1;
	caller->next = rig_now(&s->rig) + rand() % RETURN_MS;
	s->closed++;
	rig_say(&s->rig, "closed %u after %zu bytes", caller->id, caller->sent);
}

/* Sends up to a length of its request; returns false if it is closed. */
static bool
caller_send(struct caller *caller, size_t until)
{
	ssize_t n = send(caller->fd, caller->request->str + caller->sent,
	    MIN(until, caller->request->len) - caller->sent, MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN) {
		caller_closed(caller);
		return (false);
	}
	if (n > 0) {
		caller->sent += (size_t)n;
		caller->state->bytes[caller->to] += (size_t)n;
	}
	return (true);
}

static void
caller_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct caller *caller = watcher->data;
	struct state *s = caller->state;
	char answer[4096];
	ssize_t n;

	if ((events & EV_READ) != 0) {
		n = recv(caller->fd, answer, sizeof(answer), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			caller_closed(caller);
		return;
	}
	if (!caller_send(caller, AT_ONCE) || caller->sent < AT_ONCE)
		return;
	caller->next = rig_now(&s->rig) + PIECE_MS;
	ev_io_stop(loop, watcher);
	ev_io_set(watcher, caller->fd, EV_READ);
	ev_io_start(loop, watcher);
}

static void
caller_connect(struct caller *caller)
{
	struct state *s = caller->state;
	const struct sockaddr_in to = rig_front(&s->rig, caller->to);

	caller->id = ++s->ids;
	caller->sent = 0;
	g_string_printf(caller->request,
	    "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: %u\r\n"
	    "X-Api-Key: k1\r\nContent-Length: %d\r\n\r\n",
	    caller->id, BODY);
	for (int i = 0; i < (BODY - SHORT_BY) / 10; i++)
		g_string_append_len(caller->request, "one line. ", 10);
	caller->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (caller->fd < 0 ||
	    (connect(caller->fd, (const struct sockaddr *)&to, sizeof(to)) !=
		    0 &&
		errno != EINPROGRESS)) {
		caller_closed(caller);
		return;
	}
	rig_say(&s->rig, "crowd %u to front-%u", caller->id, caller->to + 1);
	ev_io_set(&caller->io, caller->fd, EV_WRITE);
	ev_io_start(s->rig.loop, &caller->io);
}

static void
crowd_tick(struct state *s)
{
	clk_ms now = rig_now(&s->rig);

	for (unsigned i = 0; i < INSTANCES; i++)
		s->arrivals[i] = MIN(ARRIVALS / 10.0,
		    s->arrivals[i] +
			ARRIVALS * (double)(now - s->ticked) / CLK_SECOND);
	s->ticked = now;
	for (unsigned i = 0; i < s->count; i++) {
		struct caller *caller = &s->callers[i];

		if (s->rig.start_at[caller->to] > 0) {
			if (caller->fd >= 0)
				caller_closed(caller);
		} else if (caller->fd < 0 && now >= caller->next &&
		    s->arrivals[caller->to] >= 1.0) {
			s->arrivals[caller->to] -= 1.0;
			caller_connect(caller);
		} else if (caller->sent >= AT_ONCE && now >= caller->next) {
			caller->next = now + PIECE_MS;
			(void)caller_send(caller, caller->sent + PIECE);
		}
	}
	if (now - s->second < CLK_SECOND)
		return;
	s->second = now;
	for (unsigned i = 0; i < INSTANCES; i++) {
		s->most_bytes = MAX(s->most_bytes, s->bytes[i]);
		s->bytes[i] = 0;
	}
}

static void
ordinary_answered(struct state *s, struct ordinary *ordinary)
{
	const struct sanswer *answer = ordinary->answer;

	if (answer->end != HCP_COMPLETE)
		s->cut++;
	else if (answer->status == 200)
		s->served++;
	else
		s->refused++;
	rig_say(&s->rig, "ordinary %u status=%d%s",
	    (unsigned)(ordinary - s->ordinary), answer->status,
	    answer->end != HCP_COMPLETE ? " cut" : "");
	sanswer_free(ordinary->answer);
	ordinary->answer = NULL;
	ordinary->next = rig_now(&s->rig) + PAUSE_MS;
}

static void
ordinary_tick(struct state *s)
{
	for (unsigned i = 0; i < G_N_ELEMENTS(s->ordinary); i++) {
		struct ordinary *ordinary = &s->ordinary[i];
		const struct sockaddr_in to = rig_front(&s->rig, i % INSTANCES);
		g_autofree char *fields = NULL;

		if (ordinary->answer != NULL && ordinary->answer->ended)
			ordinary_answered(s, ordinary);
		if (ordinary->answer != NULL ||
		    rig_now(&s->rig) < ordinary->next)
			continue;
		fields = g_strdup_printf("X-Request-Id: o%u\r\n", ++s->ids);
		ordinary->answer = sclient_ask(
		    s->rig.client, &to, "GET", "/read/1", fields, "");
	}
}

int
main(void)
{
	struct state s = {0};
	bool is_broken = false;

	if (!rig_files_max(FILES))
		return (RIG_NOT_RUN);
	srand(50);
	rig_open(&s.rig, INSTANCES);
	sstore_configure(s.rig.store, 1, "\"k1\"");
	for (unsigned i = 0; i < SERVERS; i++) {
		g_autofree char *id = g_strdup_printf("server-%u", i + 1);
		struct sworker *server = sworker_open(s.rig.loop, id);

		sworker_slots_set(server, SLOTS);
		sworker_delay_set(server, SERVED_MS);
		sworker_on_run_set(server, on_run, &s);
		sworker_register(server, s.rig.store, "orders", "ready");
	}
	for (unsigned i = 0; i < INSTANCES; i++)
		rig_start(&s.rig, i);
	if (!rig_wait_ready(&s.rig)) {
		rig_close(&s.rig);
		return (RIG_NOT_RUN);
	}
	s.rig.begun = clk_now(&s.rig.clk);
	s.count = s.rig.has_trouble ? INSTANCES * CROWD : 0;
	s.callers = g_new0(struct caller, s.count);
	for (unsigned i = 0; i < s.count; i++) {
		struct caller *caller = &s.callers[i];

		caller->state = &s;
		caller->to = i % INSTANCES;
		caller->fd = -1;
		caller->request = g_string_new(NULL);
		caller->next = BEGIN_MS;
		ev_io_init(&caller->io, caller_cb, -1, EV_WRITE);
		caller->io.data = caller;
	}
	while (!is_broken && rig_now(&s.rig) < RUN_MS) {
		sstandin_run(s.rig.loop, 2);
		crowd_tick(&s);
		ordinary_tick(&s);
		is_broken = rig_platform_tick(&s.rig);
	}
	rig_platform_report(&s.rig);
	rig_say(&s.rig,
	    "crowd %u, closed %u, most bytes in a second %zu, runs %u; "
	    "ordinary: served %u, refused %u, cut %u",
	    s.count, s.closed, s.most_bytes, s.runs, s.served, s.refused,
	    s.cut);
	printf("crowd %u, closed %u, most bytes in a second %zu; ordinary: "
	       "served %u, refused %u, cut %u\n",
	    s.count, s.closed, s.most_bytes, s.served, s.refused, s.cut);
	rig_close(&s.rig);
	/* Nobody served in calm, or more than the link takes: no case. */
	if (s.served < INSTANCES * ORDINARY || s.most_bytes > LINK_BYTES)
		return (RIG_NOT_RUN);
	return (is_broken ? RIG_BROKEN : RIG_HELD);
}
