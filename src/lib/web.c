#include "lib/web.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct web {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	web_handler *handler;
	void *arg;
	size_t max_body;
	unsigned active;
	bool closing;
	bool resumed; /* libmicrohttpd has to run without waiting */
	GHashTable *handling; /* set of requests not yet ended */
	ev_io io;
	ev_timer timer;
	ev_timer sweep;
	ev_prepare prepare;
};

#define DEFAULT_HEADER ((size_t)32 * 1024)
/* What libmicrohttpd needs for a connection beside the request's head. */
#define CONNECTION_MEMORY ((size_t)32 * 1024)
/* How often the connections of requests in progress are checked, in s. */
#define SWEEP_INTERVAL 0.25

enum phase { READING, HANDLING, REPLYING, STREAMING, DROPPING };

/*
 * Two parties refer to a request: the connection, until libmicrohttpd
 * reports its completion, and the handler, until it ends the request.
 */
struct web_req {
	struct web *web;
	struct MHD_Connection *connection; /* nil once the caller is gone */
	enum phase phase;
	char *method;
	char *path;
	char *query; /* nil if none */
	GString *body;
	bool too_large;
	bool suspended;
	bool ended;
	bool aborted;
	bool completed;
	bool hung_up; /* the caller closed the connection */
	struct MHD_Response *response;
	unsigned status;
	GPtrArray *headers; /* name, value, name, value, ... */
	GByteArray *out;
	size_t out_taken;
	web_gone *gone;
	void *gone_arg;
};

static void
req_free(struct web_req *req)
{
	if (req->response != NULL)
		MHD_destroy_response(req->response);
	g_free(req->method);
	g_free(req->path);
	g_free(req->query);
	g_string_free(req->body, TRUE);
	g_ptr_array_free(req->headers, TRUE);
	g_byte_array_free(req->out, TRUE);
	g_free(req);
}

static void
req_release(struct web_req *req)
{
	if (req->completed && req->ended)
		req_free(req);
}

static void
req_resume(struct web_req *req)
{
	if (req->connection == NULL || !req->suspended)
		return;
	req->suspended = false;
	MHD_resume_connection(req->connection);
	/* MHD_get_timeout() does not count resumed connections. */
	req->web->resumed = true;
}

static enum MHD_Result
queue_response(struct web_req *req)
{
	enum MHD_Result result;

	for (guint i = 0; i + 1 < req->headers->len; i += 2)
		(void)MHD_add_response_header(req->response,
		    g_ptr_array_index(req->headers, i),
		    g_ptr_array_index(req->headers, i + 1));
	result =
	    MHD_queue_response(req->connection, req->status, req->response);
	MHD_destroy_response(req->response);
	req->response = NULL;
	return (result);
}

static enum MHD_Result
reply_too_large(struct web_req *req)
{
	struct vd vd = vd_make(VD_NOT_RUN, VD_BODY_TOO_LARGE,
	    "the body is larger than %zu bytes", req->web->max_body);
	char *body = vd_body(&vd, "");

	req->ended = true;
	req->phase = REPLYING;
	req->status = (unsigned)vd.status;
	req->response = MHD_create_response_from_buffer(
	    strlen(body), body, MHD_RESPMEM_MUST_COPY);
	g_free(body);
	(void)MHD_add_response_header(
	    req->response, "Content-Type", "application/json");
	return (queue_response(req));
}

static struct web_req *
req_new(struct web *web, struct MHD_Connection *connection)
{
	struct web_req *req = g_new0(struct web_req, 1);

	req->web = web;
	req->connection = connection;
	req->body = g_string_new(NULL);
	req->headers = g_ptr_array_new_with_free_func(g_free);
	req->out = g_byte_array_new();
	return (req);
}

/* Called before the request line is decoded. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *connection)
{
	struct web_req *req = req_new(cls, connection);
	const char *query = strchr(uri, '?');

	if (query != NULL)
		req->query = g_strdup(query + 1);
	return (req);
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload_data,
    size_t *upload_size, void **con_cls)
{
	struct web *web = cls;
	struct web_req *req = *con_cls;

	(void)version;
	if (req->method == NULL) {
		req->method = g_strdup(method);
		req->path = g_strdup(url);
		return (MHD_YES);
	}
	if (*upload_size > 0) {
		if (req->body->len + *upload_size > web->max_body)
			req->too_large = true;
		else
			g_string_append_len(
			    req->body, upload_data, (gssize)*upload_size);
		*upload_size = 0;
		return (MHD_YES);
	}
	switch (req->phase) {
	case READING:
		if (req->too_large)
			return (reply_too_large(req));
		req->phase = HANDLING;
		web->active++;
		(void)g_hash_table_add(web->handling, req);
		/*
		 * Suspended before the handler runs: a handler that answers
		 * at once resumes it, one that answers later finds it
		 * suspended.
		 */
		req->suspended = true;
		MHD_suspend_connection(connection);
		web->handler(req, web->arg);
		return (MHD_YES);
	case REPLYING:
	case STREAMING:
		if (req->response != NULL)
			return (queue_response(req));
		return (MHD_YES);
	case DROPPING:
		/* libmicrohttpd closes the connection without a reply. */
		return (MHD_NO);
	default:
		return (MHD_YES);
	}
}

static void
report_gone(struct web_req *req)
{
	web_gone *gone = req->gone;

	req->hung_up = true;
	req->gone = NULL;
	if (gone != NULL)
		gone(req->gone_arg);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct web_req *req = *con_cls;

	(void)cls;
	(void)connection;
	(void)code;
	if (req == NULL)
		return;
	*con_cls = NULL;
	req->connection = NULL;
	req->completed = true;
	if (!req->ended && req->phase != READING && !req->web->closing) {
		report_gone(req);
		return;
	}
	if (req->phase == READING)
		req->ended = true;
	req_release(req);
}

static bool
has_hung_up(const struct web_req *req)
{
	const union MHD_ConnectionInfo *info;
	char byte;
	ssize_t n;

	info = MHD_get_connection_info(
	    req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return (false);
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return (n == 0 || (n < 0 && errno == ECONNRESET));
}

/*
 * libmicrohttpd does not watch a suspended connection, so a caller that
 * leaves while its call waits would go unnoticed.
 */
static void
on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct web *web = watcher->data;
	GList *reqs = g_hash_table_get_keys(web->handling);

	(void)loop;
	(void)events;
	for (GList *l = reqs; l != NULL; l = l->next) {
		struct web_req *req = l->data;

		/* An earlier report may have ended this one too. */
		if (!g_hash_table_contains(web->handling, req))
			continue;
		if (req->connection != NULL && req->suspended &&
		    !req->hung_up && has_hung_up(req))
			report_gone(req);
	}
	g_list_free(reqs);
}

static void
set_timer(struct web *web)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(web->loop, &web->timer);
	if (web->resumed)
		timeout_ms = 0;
	else if (MHD_get_timeout(web->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&web->timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(web->loop, &web->timer);
}

static void
web_run(struct web *web)
{
	web->resumed = false;
	(void)MHD_run(web->daemon);
}

static void
on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	web_run(watcher->data);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	web_run(watcher->data);
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	(void)loop;
	(void)events;
	set_timer(watcher->data);
}

static struct MHD_Daemon *
daemon_start(struct web *web, const struct web_options *options,
    const struct sockaddr_in *address)
{
	size_t head =
	    options->max_header > 0 ? options->max_header : DEFAULT_HEADER;
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
	struct MHD_OptionItem items[] = {
	    {MHD_OPTION_SOCK_ADDR, 0, (void *)(uintptr_t)address},
	    {MHD_OPTION_CONNECTION_LIMIT, (intptr_t)options->max_connections,
		NULL},
	    {MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t)options->idle_s, NULL},
	    {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(intptr_t)(head + CONNECTION_MEMORY), NULL},
	    {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL},
	    {MHD_OPTION_END, 0, NULL}, {MHD_OPTION_END, 0, NULL},
	    {MHD_OPTION_END, 0, NULL}};

	if (options->tls_certificate != NULL) {
		flags |= MHD_USE_TLS;
		items[5] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_CERT, 0,
		    (void *)(uintptr_t)options->tls_certificate};
		items[6] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_KEY, 0,
		    (void *)(uintptr_t)options->tls_key};
	}
	return (MHD_start_daemon(flags, options->port, NULL, NULL, on_access,
	    web, MHD_OPTION_URI_LOG_CALLBACK, on_uri, web,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, web, MHD_OPTION_ARRAY,
	    items, MHD_OPTION_END));
}

struct web *
web_open(struct ev_loop *loop, const struct web_options *options,
    web_handler *handler, void *arg, char **error)
{
	struct web *web = g_new0(struct web, 1);
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(options->port)};
	const union MHD_DaemonInfo *info;

	if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1) {
		*error =
		    g_strdup_printf("%s is no IPv4 number", options->address);
		g_free(web);
		return (NULL);
	}
	web->loop = loop;
	web->handler = handler;
	web->arg = arg;
	web->max_body = options->max_body;
	web->handling = g_hash_table_new(NULL, NULL);
	web->daemon = daemon_start(web, options, &address);
	if (web->daemon == NULL) {
		*error = g_strdup_printf("can't listen on %s port %u",
		    options->address, (unsigned)options->port);
		g_hash_table_destroy(web->handling);
		g_free(web);
		return (NULL);
	}
	info = MHD_get_daemon_info(web->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&web->io, on_io, info->listen_fd, EV_READ);
	ev_init(&web->timer, on_timer);
	ev_prepare_init(&web->prepare, on_prepare);
	ev_timer_init(&web->sweep, on_sweep, SWEEP_INTERVAL, SWEEP_INTERVAL);
	web->io.data = web->timer.data = web->prepare.data = web;
	web->sweep.data = web;
	ev_timer_start(loop, &web->sweep);
	ev_io_start(loop, &web->io);
	ev_prepare_start(loop, &web->prepare);
	return (web);
}

void
web_quiesce(struct web *web)
{
	MHD_socket fd = MHD_quiesce_daemon(web->daemon);

	if (fd != MHD_INVALID_SOCKET)
		(void)close(fd);
}

/*
 * libmicrohttpd ends the process if a connection is suspended when it stops.
 */
static void
requests_drop(struct web *web)
{
	GList *reqs = g_hash_table_get_keys(web->handling);

	for (GList *l = reqs; l != NULL; l = l->next) {
		struct web_req *req = l->data;

		if (req->phase == HANDLING)
			req->phase = DROPPING;
		req->aborted = true;
		req->ended = true;
		req->gone = NULL;
		req_resume(req);
		req_release(req);
	}
	g_list_free(reqs);
}

void
web_close(struct web *web)
{
	if (web == NULL)
		return;
	web->closing = true;
	requests_drop(web);
	ev_io_stop(web->loop, &web->io);
	ev_timer_stop(web->loop, &web->timer);
	ev_timer_stop(web->loop, &web->sweep);
	ev_prepare_stop(web->loop, &web->prepare);
	MHD_stop_daemon(web->daemon);
	g_hash_table_destroy(web->handling);
	g_free(web);
}

uint16_t
web_port(const struct web *web)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(web->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return (info->port);
}

unsigned
web_active(const struct web *web)
{
	return (web->active);
}

const char *
web_method(const struct web_req *req)
{
	return (req->method);
}

const char *
web_path(const struct web_req *req)
{
	return (req->path);
}

const char *
web_header(struct web_req *req, const char *name)
{
	if (req->connection == NULL)
		return (NULL);
	return (MHD_lookup_connection_value(
	    req->connection, MHD_HEADER_KIND, name));
}

const char *
web_query(struct web_req *req, const char *name)
{
	if (req->connection == NULL)
		return (NULL);
	return (MHD_lookup_connection_value(
	    req->connection, MHD_GET_ARGUMENT_KIND, name));
}

const char *
web_query_string(const struct web_req *req)
{
	return (req->query);
}

const char *
web_body(const struct web_req *req, size_t *len)
{
	*len = req->body->len;
	return (req->body->str);
}

void
web_on_gone(struct web_req *req, web_gone *gone, void *arg)
{
	req->gone = gone;
	req->gone_arg = arg;
}

bool
web_is_gone(const struct web_req *req)
{
	return (req->connection == NULL || req->hung_up);
}

void
web_header_add(struct web_req *req, const char *name, const char *value)
{
	g_ptr_array_add(req->headers, g_strdup(name));
	g_ptr_array_add(req->headers, g_strdup(value));
}

static void
req_end(struct web_req *req)
{
	req->ended = true;
	req->gone = NULL;
	req->web->active--;
	(void)g_hash_table_remove(req->web->handling, req);
	req_resume(req);
	req_release(req);
}

void
web_reply(struct web_req *req, int status, const char *content_type,
    const void *body, size_t len)
{
	req->phase = REPLYING;
	req->status = (unsigned)status;
	req->response = MHD_create_response_from_buffer(
	    len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	web_header_add(req, "Content-Type", content_type);
	req_end(req);
}

void
web_reply_verdict(
    struct web_req *req, const struct vd *vd, const char *request_id)
{
	g_autofree char *body = vd_body(vd, request_id);

	if (vd->retry_after > 0) {
		char seconds[24];

		/* Rounded up: earlier than this the answer is the same. */
		(void)g_snprintf(seconds, sizeof(seconds), "%lld",
		    (long long)((vd->retry_after + 999) / 1000));
		web_header_add(req, "Retry-After", seconds);
	}
	web_reply(req, vd->status, "application/json", body, strlen(body));
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct web_req *req = cls;
	size_t n = req->out->len - req->out_taken;

	(void)pos;
	if (req->aborted)
		return (MHD_CONTENT_READER_END_WITH_ERROR);
	if (n > 0) {
		n = MIN(n, max);
		memcpy(buf, req->out->data + req->out_taken, n);
		req->out_taken += n;
		if (req->out_taken == req->out->len) {
			g_byte_array_set_size(req->out, 0);
			req->out_taken = 0;
		}
		return ((ssize_t)n);
	}
	if (req->ended)
		return (MHD_CONTENT_READER_END_OF_STREAM);
	req->suspended = true;
	MHD_suspend_connection(req->connection);
	return (0);
}

void
web_stream_begin(struct web_req *req, int status, const char *content_type)
{
	req->phase = STREAMING;
	req->status = (unsigned)status;
	req->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, 16 * 1024, read_stream, req, NULL);
	web_header_add(req, "Content-Type", content_type);
	req_resume(req);
}

void
web_stream_write(struct web_req *req, const void *data, size_t len)
{
	if (req->connection == NULL)
		return;
	g_byte_array_append(req->out, data, (guint)len);
	req_resume(req);
}

void
web_stream_end(struct web_req *req)
{
	req_end(req);
}

void
web_stream_abort(struct web_req *req)
{
	req->aborted = true;
	req_end(req);
}

void
web_drop(struct web_req *req)
{
	req->phase = DROPPING;
	req_end(req);
}

size_t
web_stream_pending(const struct web_req *req)
{
	return (req->out->len - req->out_taken);
}
