#include "lib/hcl.h"

#include <curl/curl.h>
#include <string.h>

#define CONNECT_TIMEOUT	  (2 * CLK_SECOND)
#define MAX_REPLY	  ((size_t)8 * 1024 * 1024)
#define KEEPALIVE_IDLE_S  10L
#define KEEPALIVE_PROBE_S 5L
/* Status codes outside of these are invalid (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
/* A connection idle for longer is not reused: it may have gone silent. */
#define MAX_IDLE_S 15L

struct hcl {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	GHashTable *calls; /* set of struct hcl_call */
	GQueue *finished;
	bool in_curl;
};

struct hcl_socket {
	ev_io io;
	struct hcl *hcl;
};

struct hcl_call {
	struct hcl *hcl;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	GString *reply;
	size_t max_body;
	clk_ms idle_timeout;
	clk_ms last_progress;
	curl_off_t progress;
	unsigned attempts; /* how often the request was about to be written */
	bool head_seen;
	bool head_ended; /* the line that ends the reply's head has arrived */
	bool too_large;
	bool idle_expired;
	bool cancelled;
	hcl_on_head *on_head;
	hcl_on_data *on_data;
	hcl_on_done *on_done;
	void *arg;
	char error[CURL_ERROR_SIZE];
};

static void
call_free(struct hcl_call *call)
{
	(void)curl_multi_remove_handle(call->hcl->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_free(call->body);
	g_string_free(call->reply, TRUE);
	g_free(call);
}

/*
 * Called by libcurl when the connection stands and the request is about to be
 * written.  libcurl repeats a request by itself if a reused connection closes
 * before the first byte of the reply, although the server may have run it;
 * the second attempt is aborted here.
 */
static int
on_curl_request(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct hcl_call *call = arg;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	call->attempts++;
	return (
	    call->attempts == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT);
}

/*
 * Called by libcurl for each whole line of a head.  libcurl takes a connection
 * that closes in the middle of a head for the end of the reply.
 */
static size_t
on_curl_header(char *line, size_t size, size_t count, void *arg)
{
	struct hcl_call *call = arg;
	size_t len = size * count;

	if (len >= 5 && memcmp(line, "HTTP/", 5) == 0)
		call->head_ended = false;
	else if (len > 0 && (line[0] == '\r' || line[0] == '\n'))
		call->head_ended = true;
	return (len);
}

/* Returns what is wrong with a reply without an error of libcurl, or nil. */
static const char *
reply_problem(const struct hcl_call *call, long status)
{
	if (!call->head_ended)
		return ("the reply's head is cut");
	if (status < STATUS_MIN || status > STATUS_MAX)
		return ("the reply's status is invalid");
	return (NULL);
}

static void
call_finish(struct hcl_call *call, CURLcode code)
{
	struct hcl_result result = {0};
	const char *problem = NULL;
	long status = 0;

	(void)curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK)
		problem = reply_problem(call, status);
	result.status = (int)status;
	if (code == CURLE_OK && problem == NULL)
		result.sent = HCL_REPLIED;
	else if (call->attempts == 0)
		result.sent = HCL_NOT_SENT;
	else
		result.sent = HCL_MAYBE_SENT;
	result.timed_out =
	    code == CURLE_OPERATION_TIMEDOUT || call->idle_expired;
	result.cut = result.sent != HCL_REPLIED && status != 0;
	result.error = problem != NULL ? problem : "";
	if (code != CURLE_OK)
		result.error = call->error[0] != '\0'
		    ? call->error
		    : curl_easy_strerror(code);
	if (call->attempts > 1)
		result.error = "the connection closed before the reply";
	if (call->too_large)
		result.error = "the reply is too large";
	if (call->idle_expired)
		result.error = "no data within the idle timeout";
	result.body = call->reply->str;
	result.body_len = call->reply->len;
	if (!call->cancelled && call->on_done != NULL)
		call->on_done(&result, call->arg);
	call_free(call);
}

static void
collect_finished(struct hcl *hcl)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(hcl->multi, &left)) != NULL) {
		struct hcl_call *call;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(
		    msg->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		(void)g_hash_table_remove(hcl->calls, call);
		call_finish(call, code);
	}
}

/*
 * libcurl must not be entered again from one of its callbacks, so a call that
 * is cancelled there is freed here.
 */
static void
drop_cancelled(struct hcl *hcl)
{
	struct hcl_call *call;

	while ((call = g_queue_pop_head(hcl->finished)) != NULL)
		call_free(call);
}

static void
run_socket(struct hcl *hcl, curl_socket_t fd, int events)
{
	int running;

	hcl->in_curl = true;
	(void)curl_multi_socket_action(hcl->multi, fd, events, &running);
	hcl->in_curl = false;
	drop_cancelled(hcl);
	collect_finished(hcl);
}

static void
on_socket_ready(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct hcl_socket *socket = watcher->data;
	int events = 0;

	(void)loop;
	if ((revents & EV_READ) != 0)
		events |= CURL_CSELECT_IN;
	if ((revents & EV_WRITE) != 0)
		events |= CURL_CSELECT_OUT;
	run_socket(socket->hcl, watcher->fd, events);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	(void)loop;
	(void)revents;
	run_socket(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_curl_socket(
    CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
	struct hcl *hcl = arg;
	struct hcl_socket *socket = socket_arg;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (socket != NULL) {
			ev_io_stop(hcl->loop, &socket->io);
			g_free(socket);
			(void)curl_multi_assign(hcl->multi, fd, NULL);
		}
		return (0);
	}
	if (socket == NULL) {
		socket = g_new0(struct hcl_socket, 1);
		socket->hcl = hcl;
		ev_init(&socket->io, on_socket_ready);
		socket->io.data = socket;
		(void)curl_multi_assign(hcl->multi, fd, socket);
	}
	if ((what & CURL_POLL_IN) != 0)
		events |= EV_READ;
	if ((what & CURL_POLL_OUT) != 0)
		events |= EV_WRITE;
	ev_io_stop(hcl->loop, &socket->io);
	ev_io_set(&socket->io, fd, events);
	ev_io_start(hcl->loop, &socket->io);
	return (0);
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct hcl *hcl = arg;

	(void)multi;
	ev_timer_stop(hcl->loop, &hcl->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&hcl->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(hcl->loop, &hcl->timer);
	}
	return (0);
}

static void
report_head(struct hcl_call *call)
{
	const char *content_type = NULL;
	long status = 0;

	if (call->head_seen)
		return;
	call->head_seen = true;
	(void)curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	(void)curl_easy_getinfo(
	    call->easy, CURLINFO_CONTENT_TYPE, &content_type);
	if (call->on_head != NULL && !call->cancelled)
		call->on_head((int)status,
		    content_type != NULL ? content_type : "", call->arg);
}

static size_t
on_curl_data(char *data, size_t size, size_t count, void *arg)
{
	struct hcl_call *call = arg;
	size_t len = size * count;

	report_head(call);
	if (call->cancelled)
		return (0);
	if (call->on_data != NULL) {
		call->on_data(data, len, call->arg);
		return (call->cancelled ? 0 : len);
	}
	if (call->reply->len + len > call->max_body) {
		call->too_large = true;
		return (0);
	}
	g_string_append_len(call->reply, data, (gssize)len);
	return (len);
}

static int
on_curl_progress(void *arg, curl_off_t down_total, curl_off_t down,
    curl_off_t up_total, curl_off_t up)
{
	struct hcl_call *call = arg;
	struct clk clk = clk_monotonic();
	clk_ms now = clk_now(&clk);

	(void)down_total;
	(void)up_total;
	if (call->cancelled)
		return (1);
	if (down + up != call->progress || call->last_progress == 0) {
		call->progress = down + up;
		call->last_progress = now;
	}
	if (call->idle_timeout > 0 &&
	    now - call->last_progress > call->idle_timeout) {
		call->idle_expired = true;
		return (1);
	}
	return (0);
}

struct hcl *
hcl_open(struct ev_loop *loop)
{
	struct hcl *hcl = g_new0(struct hcl, 1);

	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
	hcl->loop = loop;
	hcl->calls = g_hash_table_new(NULL, NULL);
	hcl->finished = g_queue_new();
	ev_init(&hcl->timer, on_timer);
	hcl->timer.data = hcl;
	hcl->multi = curl_multi_init();
	(void)curl_multi_setopt(
	    hcl->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	(void)curl_multi_setopt(hcl->multi, CURLMOPT_SOCKETDATA, hcl);
	(void)curl_multi_setopt(
	    hcl->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	(void)curl_multi_setopt(hcl->multi, CURLMOPT_TIMERDATA, hcl);
	return (hcl);
}

void
hcl_close(struct hcl *hcl)
{
	GHashTableIter iter;
	gpointer call;

	if (hcl == NULL)
		return;
	g_hash_table_iter_init(&iter, hcl->calls);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		call_free(call);
	drop_cancelled(hcl);
	(void)curl_multi_cleanup(hcl->multi);
	ev_timer_stop(hcl->loop, &hcl->timer);
	g_hash_table_destroy(hcl->calls);
	g_queue_free(hcl->finished);
	g_free(hcl);
}

static void
set_body(struct hcl_call *call, const struct hcl_request *request)
{
	CURL *easy = call->easy;

	if (request->body != NULL) {
		call->body = g_memdup2(request->body, request->body_len);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_len);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
		    call->body != NULL ? call->body : "");
	}
	if (strcmp(request->method, "GET") != 0 || request->body != NULL)
		(void)curl_easy_setopt(
		    easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->headers != NULL) {
		for (const char *const *h = request->headers; *h != NULL; h++)
			call->headers = curl_slist_append(call->headers, *h);
	}
	/* Without this libcurl waits for "100 Continue" on larger bodies. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	(void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
set_transport(struct hcl_call *call, const struct hcl_request *request)
{
	CURL *easy = call->easy;
	clk_ms connect_timeout = request->connect_timeout > 0
	    ? request->connect_timeout
	    : CONNECT_TIMEOUT;

	(void)curl_easy_setopt(easy, CURLOPT_URL, request->url);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_curl_header);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	(void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	(void)curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_timeout);
	(void)curl_easy_setopt(
	    easy, CURLOPT_TIMEOUT_MS, (long)request->timeout);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_PROBE_S);
	(void)curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MAX_IDLE_S);
	if (request->ca_file != NULL)
		(void)curl_easy_setopt(easy, CURLOPT_CAINFO, request->ca_file);
}

struct hcl_call *
hcl_start(struct hcl *hcl, const struct hcl_request *request)
{
	struct hcl_call *call = g_new0(struct hcl_call, 1);
	CURL *easy = curl_easy_init();

	call->hcl = hcl;
	call->easy = easy;
	call->reply = g_string_new(NULL);
	call->max_body = request->max_body > 0 ? request->max_body : MAX_REPLY;
	call->idle_timeout = request->idle_timeout;
	call->on_head = request->on_head;
	call->on_data = request->on_data;
	call->on_done = request->on_done;
	call->arg = request->arg;
	set_body(call, request);
	set_transport(call, request);
	(void)curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	(void)curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->error);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_curl_data);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_curl_request);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	(void)curl_easy_setopt(
	    easy, CURLOPT_XFERINFOFUNCTION, on_curl_progress);
	(void)curl_easy_setopt(easy, CURLOPT_XFERINFODATA, call);
	(void)curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	(void)g_hash_table_add(hcl->calls, call);
	(void)curl_multi_add_handle(hcl->multi, easy);
	return (call);
}

void
hcl_cancel(struct hcl_call *call)
{
	struct hcl *hcl = call->hcl;

	if (call->cancelled || !g_hash_table_remove(hcl->calls, call))
		return;
	call->cancelled = true;
	if (hcl->in_curl)
		g_queue_push_tail(hcl->finished, call);
	else
		call_free(call);
}
