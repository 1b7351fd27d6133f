/* A TCP proxy that injects faults between a client and a server. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define MAX_QUEUED ((size_t)256 * 1024)
#define CHUNK_SIZE ((size_t)16 * 1024)
#define BACKLOG	   512
#define MAX_OPEN   400
#define TO_SERVER  0
#define TO_CLIENT  1
#define CLIENT	   0
#define SERVER	   1
#define BOTH	   ((1u << TO_SERVER) | (1u << TO_CLIENT))

enum mode { PASS, DROP, RESET, REFUSE };

struct chunk {
	char *data;
	size_t len;
	size_t written;
	clk_ms due;
};

/* One direction of a connection: from fd[d] to fd[!d]. */
struct flow {
	struct link *link;
	int direction;
	GQueue chunks; /* struct chunk */
	size_t queued;
	bool eof; /* the sender has closed */
	bool shut; /* and the receiver has been told */
	ev_io read;
	ev_io write;
	ev_timer due;
};

struct link {
	struct proxy *proxy;
	int fd[2]; /* CLIENT, SERVER; -1 once closed */
	bool connected; /* to the server */
	unsigned silent; /* directions that carry nothing any more */
	struct flow flow[2];
};

struct proxy {
	struct sti sti;
	char *to;
	int control_port;
	struct sockaddr_in server;
	int listen_fd; /* -1 while refusing */
	uint16_t port;
	ev_io accept;
	GHashTable *links; /* set of struct link */
	enum mode mode;
	unsigned dropping; /* directions of the mode "drop" */
	int64_t delay_ms;
	int64_t lose_replies;
	int64_t accepted;
	int64_t resets;
	int64_t lost_replies;
	int64_t bytes[2];
};

static void flow_update(struct flow *flow);

static bool
is_held(const struct flow *flow)
{
	const struct proxy *proxy = flow->link->proxy;

	return (proxy->mode == DROP &&
	    (proxy->dropping & (1u << flow->direction)) != 0);
}

static bool
is_silent(const struct flow *flow)
{
	return ((flow->link->silent & (1u << flow->direction)) != 0);
}

static void
chunk_free(void *data)
{
	struct chunk *chunk = data;

	g_free(chunk->data);
	g_free(chunk);
}

static void
link_close(struct link *link, bool reset)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	struct proxy *proxy = link->proxy;

	if (reset)
		proxy->resets++;
	for (int d = 0; d < 2; d++) {
		struct flow *flow = &link->flow[d];

		ev_io_stop(proxy->sti.loop, &flow->read);
		ev_io_stop(proxy->sti.loop, &flow->write);
		ev_timer_stop(proxy->sti.loop, &flow->due);
		g_queue_clear_full(&flow->chunks, chunk_free);
	}
	for (int end = 0; end < 2; end++) {
		if (link->fd[end] < 0)
			continue;
		/* With a linger time of 0 close() sends a reset. */
		if (reset)
			(void)setsockopt(link->fd[end], SOL_SOCKET, SO_LINGER,
			    &linger, sizeof(linger));
		(void)close(link->fd[end]);
	}
	(void)g_hash_table_remove(proxy->links, link);
	g_free(link);
}

/*
 * A connection that has gone silent still takes what arrives, so that its
 * ends see no full buffer; only the end that closes is closed.
 */
static void
discard(struct flow *flow, ssize_t n)
{
	struct link *link = flow->link;

	if (n > 0)
		return;
	ev_io_stop(link->proxy->sti.loop, &flow->read);
	ev_io_stop(link->proxy->sti.loop, &link->flow[!flow->direction].write);
	(void)close(link->fd[flow->direction]);
	link->fd[flow->direction] = -1;
	if (link->fd[!flow->direction] < 0)
		link_close(link, false);
}

static bool
lose_reply(struct flow *flow)
{
	struct proxy *proxy = flow->link->proxy;

	if (flow->direction != TO_CLIENT || proxy->lose_replies <= 0)
		return (false);
	proxy->lose_replies--;
	proxy->lost_replies++;
	link_close(flow->link, true);
	return (true);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct flow *flow = watcher->data;
	struct proxy *proxy = flow->link->proxy;
	char buf[CHUNK_SIZE];
	struct chunk *chunk;
	ssize_t n = recv(watcher->fd, buf, sizeof(buf), 0);

	(void)loop;
	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (is_silent(flow)) {
		discard(flow, n);
		return;
	}
	if (n < 0) {
		link_close(flow->link, true);
		return;
	}
	if (n == 0) {
		flow->eof = true;
		flow_update(flow);
		return;
	}
	if (lose_reply(flow))
		return;
	chunk = g_new0(struct chunk, 1);
	chunk->data = g_memdup2(buf, (gsize)n);
	chunk->len = (size_t)n;
	chunk->due = sti_now(&proxy->sti) + proxy->delay_ms;
	flow->queued += chunk->len;
	g_queue_push_tail(&flow->chunks, chunk);
	flow_update(flow);
}

/* Return false if the connection has been closed. */
static bool
flow_write(struct flow *flow, clk_ms now)
{
	struct link *link = flow->link;
	struct chunk *chunk;

	while ((chunk = g_queue_peek_head(&flow->chunks)) != NULL &&
	    chunk->due <= now) {
		ssize_t n = send(link->fd[!flow->direction],
		    chunk->data + chunk->written, chunk->len - chunk->written,
		    MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return (true);
		if (n < 0) {
			link_close(link, true);
			return (false);
		}
		chunk->written += (size_t)n;
		flow->queued -= (size_t)n;
		link->proxy->bytes[flow->direction] += n;
		if (chunk->written == chunk->len)
			chunk_free(g_queue_pop_head(&flow->chunks));
	}
	if (chunk != NULL || !flow->eof || flow->shut)
		return (true);
	flow->shut = true;
	(void)shutdown(link->fd[!flow->direction], SHUT_WR);
	if (!link->flow[!flow->direction].shut)
		return (true);
	link_close(link, false);
	return (false);
}

/* Write what is due, and watch for what the flow waits for. */
static void
flow_update(struct flow *flow)
{
	struct link *link = flow->link;
	struct ev_loop *loop = link->proxy->sti.loop;
	clk_ms now = sti_now(&link->proxy->sti);
	struct chunk *chunk;

	ev_io_stop(loop, &flow->write);
	ev_timer_stop(loop, &flow->due);
	if (is_silent(flow)) {
		g_queue_clear_full(&flow->chunks, chunk_free);
		if (link->fd[flow->direction] >= 0)
			ev_io_start(loop, &flow->read);
		return;
	}
	if (is_held(flow) || !link->connected) {
		ev_io_stop(loop, &flow->read);
		return;
	}
	if (!flow_write(flow, now))
		return;
	if (flow->eof || flow->queued >= MAX_QUEUED)
		ev_io_stop(loop, &flow->read);
	else
		ev_io_start(loop, &flow->read);
	chunk = g_queue_peek_head(&flow->chunks);
	if (chunk == NULL)
		return;
	if (chunk->due <= now) {
		ev_io_start(loop, &flow->write);
		return;
	}
	ev_now_update(loop);
	ev_timer_set(&flow->due, (double)(chunk->due - now) / 1000.0, 0.0);
	ev_timer_start(loop, &flow->due);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct flow *flow = watcher->data;
	struct link *link = flow->link;
	socklen_t len = sizeof(int);
	int error = 0;

	(void)loop;
	(void)events;
	if (!link->connected) {
		(void)getsockopt(
		    link->fd[SERVER], SOL_SOCKET, SO_ERROR, &error, &len);
		if (error != 0) {
			link_close(link, true);
			return;
		}
		link->connected = true;
		flow_update(&link->flow[TO_CLIENT]);
	}
	flow_update(flow);
}

static void
on_due(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	flow_update(watcher->data);
}

static int
connect_server(const struct proxy *proxy)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (-1);
	if (connect(fd, (const struct sockaddr *)&proxy->server,
		sizeof(proxy->server)) != 0 &&
	    errno != EINPROGRESS) {
		(void)close(fd);
		return (-1);
	}
	return (fd);
}

static void
link_open(struct proxy *proxy, int client, int server)
{
	struct link *link = g_new0(struct link, 1);
	int on = 1;

	link->proxy = proxy;
	link->fd[CLIENT] = client;
	link->fd[SERVER] = server;
	for (int d = 0; d < 2; d++) {
		struct flow *flow = &link->flow[d];

		(void)setsockopt(
		    link->fd[d], IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		flow->link = link;
		flow->direction = d;
		ev_io_init(&flow->read, on_readable, link->fd[d], EV_READ);
		ev_io_init(&flow->write, on_writable, link->fd[!d], EV_WRITE);
		ev_init(&flow->due, on_due);
		flow->read.data = flow->write.data = flow->due.data = flow;
	}
	(void)g_hash_table_add(proxy->links, link);
	ev_io_start(proxy->sti.loop, &link->flow[TO_SERVER].write);
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct proxy *proxy = watcher->data;
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	int client =
	    accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int server = -1;

	(void)loop;
	(void)events;
	if (client < 0)
		return;
	proxy->accepted++;
	if (proxy->mode != RESET && g_hash_table_size(proxy->links) < MAX_OPEN)
		server = connect_server(proxy);
	if (server >= 0) {
		link_open(proxy, client, server);
		return;
	}
	proxy->resets++;
	(void)setsockopt(
	    client, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	(void)close(client);
}

static bool
start_listening(struct proxy *proxy, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	socklen_t len = sizeof(address);
	int on = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	proxy->listen_fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	(void)setsockopt(
	    proxy->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(proxy->listen_fd, (struct sockaddr *)&address, len) != 0 ||
	    listen(proxy->listen_fd, BACKLOG) != 0 ||
	    getsockname(proxy->listen_fd, (struct sockaddr *)&address, &len) !=
		0) {
		(void)close(proxy->listen_fd);
		proxy->listen_fd = -1;
		return (false);
	}
	proxy->port = ntohs(address.sin_port);
	ev_io_init(&proxy->accept, on_accept, proxy->listen_fd, EV_READ);
	proxy->accept.data = proxy;
	ev_io_start(proxy->sti.loop, &proxy->accept);
	return (true);
}

static void
stop_listening(struct proxy *proxy)
{
	if (proxy->listen_fd < 0)
		return;
	ev_io_stop(proxy->sti.loop, &proxy->accept);
	(void)close(proxy->listen_fd);
	proxy->listen_fd = -1;
}

static unsigned
parse_direction(const json_t *body)
{
	const char *name =
	    json_string_value(json_object_get(body, "direction"));

	if (name != NULL && strcmp(name, "to_server") == 0)
		return (1u << TO_SERVER);
	if (name != NULL && strcmp(name, "to_client") == 0)
		return (1u << TO_CLIENT);
	return (BOTH);
}

static bool
set_mode(struct proxy *proxy, const char *name)
{
	static const char *const names[] = {"pass", "drop", "reset", "refuse"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) != 0)
			continue;
		proxy->mode = (enum mode)i;
		if (proxy->mode == REFUSE)
			stop_listening(proxy);
		else if (proxy->listen_fd < 0)
			return (start_listening(proxy, proxy->port));
		return (true);
	}
	return (false);
}

static void
apply_to_links(struct proxy *proxy, unsigned silent)
{
	GList *links = g_hash_table_get_keys(proxy->links);

	for (GList *l = links; l != NULL; l = l->next) {
		struct link *link = l->data;

		link->silent |= silent;
		if (proxy->mode == RESET) {
			link_close(link, true);
			continue;
		}
		flow_update(&link->flow[TO_SERVER]);
		/* Writing may have met a closed connection. */
		if (g_hash_table_contains(proxy->links, link))
			flow_update(&link->flow[TO_CLIENT]);
	}
	g_list_free(links);
}

static void
control(struct proxy *proxy, struct web_req *req)
{
	json_t *body = sti_body(req);
	const char *mode;
	bool silence = false;
	bool known = true;

	if (body == NULL)
		return;
	mode = json_string_value(json_object_get(body, "mode"));
	if (mode != NULL) {
		proxy->dropping = parse_direction(body);
		known = set_mode(proxy, mode);
	}
	sti_take_int(body, "delay_ms", &proxy->delay_ms);
	sti_take_int(body, "lose_replies", &proxy->lose_replies);
	sti_take_bool(body, "silence_existing", &silence);
	apply_to_links(proxy, silence ? parse_direction(body) : 0);
	json_decref(body);
	if (known)
		sti_reply(req, 200, json_object());
	else
		sti_reply_error(req, 400, "bad_mode");
}

static void
on_request(struct web_req *req, void *arg)
{
	struct proxy *proxy = arg;

	if (sti_is(req, "POST", "/control"))
		control(proxy, req);
	else if (sti_is(req, "GET", "/control/stats"))
		sti_reply(req, 200,
		    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "accepted",
			(json_int_t)proxy->accepted, "open",
			(json_int_t)g_hash_table_size(proxy->links), "resets",
			(json_int_t)proxy->resets, "lost_replies",
			(json_int_t)proxy->lost_replies, "bytes_to_server",
			(json_int_t)proxy->bytes[TO_SERVER], "bytes_to_client",
			(json_int_t)proxy->bytes[TO_CLIENT]));
	else
		sti_reply_error(req, 404, "not_found");
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
	g_auto(GStrv) parts = g_strsplit(text != NULL ? text : "", ":", 2);

	address->sin_family = AF_INET;
	if (g_strv_length(parts) != 2 ||
	    inet_pton(AF_INET, parts[0], &address->sin_addr) != 1)
		return (false);
	address->sin_port =
	    htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
	return (address->sin_port != 0);
}

int
sti_proxy_main(int argc, char **argv)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	GOptionEntry entries[] = {{"to", 0, 0, G_OPTION_ARG_STRING, &proxy->to,
				      "Server to connect to", "IP:PORT"},
	    {"control", 0, 0, G_OPTION_ARG_INT, &proxy->control_port,
		"Port of the control routes, 0 for any (0)", "PORT"},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

	sti_parse(&proxy->sti, "proxy", entries, argc, argv);
	if (!parse_address(proxy->to, &proxy->server)) {
		(void)fprintf(stderr, "standin proxy: --to needs IP:PORT\n");
		return (2);
	}
	proxy->links = g_hash_table_new(NULL, NULL);
	if (!start_listening(proxy, (uint16_t)proxy->sti.listen_port)) {
		(void)fprintf(stderr, "standin proxy: can't listen\n");
		return (1);
	}
	proxy->sti.web =
	    sti_listen(&proxy->sti, proxy->control_port, on_request, proxy);
	sti_run(&proxy->sti, proxy->port, web_port(proxy->sti.web));
}
