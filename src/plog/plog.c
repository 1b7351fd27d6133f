#include "plog/plog.h"

#include <inttypes.h>
#include <string.h>

#define CALL_TIMEOUT_MS	   (2 * CLK_SECOND)
#define LONG_POLL_MS	   500
#define RETRY_MIN_MS	   50
#define RETRY_MAX_MS	   (2 * CLK_SECOND)
#define APPEND_DEADLINE_MS (30 * CLK_SECOND)
#define APPENDS_PER_SECOND 20
#define APPEND_BURST	   20
#define MAX_QUEUE	   256
#define READ_MAX	   256
/* The smallest Retry-After, which counts whole seconds. */
#define RATE_LIMITED_WAIT_MS CLK_SECOND
/* Without a pause, reads at the tail of a busy stream return one record. */
#define TAIL_PAUSE_MS	   20
#define MAX_RECENT_RECORDS 4096

struct append {
	char *stream;
	json_t *data;
	int64_t number;
	clk_ms deadline;
	bool maybe_appended; /* the result of an attempt is unknown */
	bool searching; /* search the log before the next attempt */
	int64_t search_from;
	plog_on_appended *on_appended;
	void *arg;
};

struct plog {
	struct ev_loop *loop;
	struct hcl *hcl;
	struct clk clk;
	struct plog_settings settings;
	char *url;
	struct cnt_metric *appended;
	struct cnt_metric *refused;
	struct cnt_metric *unknown;
	struct cnt_metric *read_failed;
	struct lg *lg;
	uint64_t random;
	int64_t last_number;
	GQueue *appends; /* the first one is in flight */
	struct hcl_call *call; /* of the first append */
	ev_timer timer;
	unsigned failures;
	double tokens;
	clk_ms tokens_at;
	GHashTable *tails; /* stream -> int64_t, an offset not after the tail */
	GPtrArray *follows;
};

struct record_id {
	uint64_t session;
	int64_t number;
};

struct plog_follower {
	struct plog *plog;
	char *stream;
	int64_t next;
	struct plog_follower_events events;
	struct hcl_call *call;
	clk_ms started_at;
	bool at_tail;
	unsigned failures;
	unsigned seeks;
	bool in_callback;
	bool stopped;
	ev_timer timer;
	GHashTable *seen; /* set of struct record_id */
	GQueue *recent; /* the same, oldest first */
};

static clk_ms
or_default(clk_ms value, clk_ms fallback)
{
	return (value > 0 ? value : fallback);
}

static uint64_t
random_next(struct plog *plog)
{
	uint64_t x = plog->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

/* Exponential backoff; the upper half is jitter. */
static clk_ms
backoff(struct plog *plog, unsigned failures)
{
	clk_ms wait = plog->settings.retry_min;

	for (unsigned i = 1; i < failures && wait < plog->settings.retry_max;
	     i++)
		wait *= 2;
	wait = MIN(wait, plog->settings.retry_max);
	return (
	    wait / 2 + (clk_ms)(random_next(plog) % (uint64_t)(wait / 2 + 1)));
}

static void
timer_set(struct plog *plog, ev_timer *timer, clk_ms wait)
{
	ev_timer_stop(plog->loop, timer);
	ev_timer_set(timer, (double)MAX(wait, 0) / 1000.0, 0.0);
	ev_timer_start(plog->loop, timer);
}

const char *
plog_session_format(char buf[PLOG_SESSION_SIZE], uint64_t session)
{
	(void)g_snprintf(buf, PLOG_SESSION_SIZE, "%016" PRIx64, session);
	return (buf);
}

bool
plog_session_parse(const char *text, uint64_t *session)
{
	uint64_t value = 0;

	if (text == NULL || strlen(text) != PLOG_SESSION_SIZE - 1)
		return (false);
	for (const char *c = text; *c != '\0'; c++) {
		if (!g_ascii_isxdigit(*c) || g_ascii_isupper(*c))
			return (false);
		value = value << 4 | (uint64_t)g_ascii_xdigit_value(*c);
	}
	*session = value;
	return (value != 0);
}

/* Appends. */

static void append_step(struct plog *plog);

static void
append_free(struct append *append)
{
	json_decref(append->data);
	g_free(append->stream);
	g_free(append);
}

static void
append_finish(struct plog *plog, enum plog_outcome outcome, int64_t offset)
{
	struct append *append = g_queue_pop_head(plog->appends);
	struct cnt_metric *metric = outcome == PLOG_APPENDED ? plog->appended
	    : outcome == PLOG_REFUSED			     ? plog->refused
							     : plog->unknown;

	if (metric != NULL)
		cnt_add(metric, 1);
	if (outcome != PLOG_APPENDED)
		lg_event(plog->lg, LG_WARNING, "log_append_failed",
		    "number=%" PRId64 " outcome=%s", append->number,
		    outcome == PLOG_REFUSED ? "refused" : "unknown");
	plog->failures = 0;
	/* The callback may append again. */
	timer_set(plog, &plog->timer, 0);
	if (append->on_appended != NULL)
		append->on_appended(outcome, offset, append->arg);
	append_free(append);
}

static void
append_fail(struct plog *plog)
{
	const struct append *append = g_queue_peek_head(plog->appends);

	append_finish(
	    plog, append->maybe_appended ? PLOG_UNKNOWN : PLOG_REFUSED, -1);
}

static void
tail_update(struct plog *plog, const char *stream, int64_t next)
{
	int64_t *tail = g_hash_table_lookup(plog->tails, stream);

	if (tail == NULL) {
		tail = g_new0(int64_t, 1);
		(void)g_hash_table_insert(plog->tails, g_strdup(stream), tail);
	}
	*tail = MAX(*tail, next);
}

static int64_t
tail_get(const struct plog *plog, const char *stream)
{
	const int64_t *tail = g_hash_table_lookup(plog->tails, stream);

	return (tail != NULL ? *tail : 0);
}

static void
append_retry(struct plog *plog, clk_ms at_least)
{
	const struct append *append = g_queue_peek_head(plog->appends);
	clk_ms left = append->deadline - clk_now(&plog->clk);
	clk_ms wait = backoff(plog, ++plog->failures);

	timer_set(plog, &plog->timer, MIN(MAX(at_least, wait), left));
}

static bool
get_non_negative(const json_t *object, const char *key, int64_t *offset)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return (false);
	*offset = json_integer_value(value);
	return (true);
}

static json_t *
parse_reply(const struct hcl_result *result)
{
	return (json_loadb(result->body, result->body_len, 0, NULL));
}

static void
on_append_reply(const struct hcl_result *result, void *arg)
{
	struct plog *plog = arg;
	struct append *append = g_queue_peek_head(plog->appends);
	json_t *reply;
	int64_t offset;

	plog->call = NULL;
	if (result->sent == HCL_NOT_SENT) {
		append_retry(plog, 0);
		return;
	}
	if (result->sent == HCL_REPLIED && result->status == 201) {
		reply = parse_reply(result);
		if (get_non_negative(reply, "offset", &offset)) {
			json_decref(reply);
			append_finish(plog, PLOG_APPENDED, offset);
			return;
		}
		json_decref(reply);
	} else if (result->sent == HCL_REPLIED && result->status == 429) {
		append_retry(plog, RATE_LIMITED_WAIT_MS);
		return;
	} else if (result->sent == HCL_REPLIED && result->status >= 400 &&
	    result->status < 500) {
		append_fail(plog);
		return;
	}
	/*
	 * Without a reply, or with one that may come from a gateway, the
	 * record may be in the log.
	 */
	append->maybe_appended = true;
	append->searching = true;
	append_retry(plog, 0);
}

static bool
is_record_of(
    const struct plog *plog, const struct append *append, const json_t *data)
{
	uint64_t session;

	return (plog_session_parse(
		    json_string_value(json_object_get(data, "session")),
		    &session) &&
	    session == plog->settings.session &&
	    json_integer_value(json_object_get(data, "number")) ==
		append->number);
}

/* Returns false if the reply is invalid. */
static bool
search_page(struct plog *plog, struct append *append, const json_t *reply)
{
	const json_t *records = json_object_get(reply, "records");
	const json_t *record;
	int64_t next;
	int64_t offset;
	size_t i;

	if (!get_non_negative(reply, "next", &next) || !json_is_array(records))
		return (false);
	json_array_foreach(records, i, record)
	{
		if (!get_non_negative(record, "offset", &offset) ||
		    offset < append->search_from)
			return (false);
		append->search_from = offset + 1;
		if (is_record_of(
			plog, append, json_object_get(record, "data"))) {
			append_finish(plog, PLOG_APPENDED, offset);
			return (true);
		}
	}
	if (append->search_from >= next &&
	    json_array_size(records) < plog->settings.read_max)
		append->searching = false;
	else if (json_array_size(records) == 0)
		return (false);
	timer_set(plog, &plog->timer, 0);
	return (true);
}

static void
on_search_reply(const struct hcl_result *result, void *arg)
{
	struct plog *plog = arg;
	struct append *append = g_queue_peek_head(plog->appends);
	json_t *reply = NULL;
	bool used = false;
	int64_t first;

	plog->call = NULL;
	if (result->sent == HCL_REPLIED)
		reply = parse_reply(result);
	if (result->status == 200) {
		used = search_page(plog, append, reply);
	} else if (result->status == 410 &&
	    get_non_negative(reply, "first", &first) &&
	    first > append->search_from) {
		append->search_from = first;
		timer_set(plog, &plog->timer, 0);
		used = true;
	}
	json_decref(reply);
	if (!used)
		append_retry(plog, 0);
}

static void
append_search(struct plog *plog, struct append *append, clk_ms timeout)
{
	char *url = g_strdup_printf("%s/streams/%s/records?from=%" PRId64
				    "&max=%u&wait_ms=0",
	    plog->url, append->stream, append->search_from,
	    plog->settings.read_max);
	struct hcl_request request = {.method = "GET",
	    .url = url,
	    .timeout = timeout,
	    .on_done = on_search_reply,
	    .arg = plog};

	plog->call = hcl_start(plog->hcl, &request);
	g_free(url);
}

static void
append_send(struct plog *plog, struct append *append, clk_ms timeout)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char *url =
	    g_strdup_printf("%s/streams/%s/records", plog->url, append->stream);
	json_t *body = json_pack("{s:O}", "data", append->data);
	char *text = json_dumps(body, JSON_COMPACT);
	struct hcl_request request = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .body_len = strlen(text),
	    .timeout = timeout,
	    .on_done = on_append_reply,
	    .arg = plog};

	plog->call = hcl_start(plog->hcl, &request);
	free(text);
	json_decref(body);
	g_free(url);
}

/* Take a token of the client's rate limit; returns the wait, 0 if taken. */
static clk_ms
take_token(struct plog *plog, clk_ms now)
{
	double rate = (double)plog->settings.appends_per_second / 1000.0;

	plog->tokens += (double)(now - plog->tokens_at) * rate;
	plog->tokens = MIN(plog->tokens, (double)plog->settings.append_burst);
	plog->tokens_at = now;
	if (plog->tokens < 1.0)
		return ((clk_ms)((1.0 - plog->tokens) / rate) + 1);
	plog->tokens -= 1.0;
	return (0);
}

static void
append_step(struct plog *plog)
{
	struct append *append = g_queue_peek_head(plog->appends);
	clk_ms now = clk_now(&plog->clk);
	clk_ms timeout;
	clk_ms wait;

	if (append == NULL || plog->call != NULL)
		return;
	if (now >= append->deadline) {
		append_fail(plog);
		return;
	}
	timeout = MIN(plog->settings.call_timeout, append->deadline - now);
	if (append->searching) {
		append_search(plog, append, timeout);
		return;
	}
	wait = take_token(plog, now);
	if (wait > 0) {
		timer_set(
		    plog, &plog->timer, MIN(wait, append->deadline - now));
		return;
	}
	if (!append->maybe_appended)
		append->search_from = tail_get(plog, append->stream);
	append_send(plog, append, timeout);
}

static void
on_append_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	append_step(timer->data);
}

int64_t
plog_append(struct plog *plog, const char *stream, json_t *data,
    plog_on_appended *on_appended, void *arg)
{
	struct append *append;
	char session[PLOG_SESSION_SIZE];

	if (!json_is_object(data) ||
	    g_queue_get_length(plog->appends) >= plog->settings.max_queue) {
		json_decref(data);
		return (0);
	}
	append = g_new0(struct append, 1);
	append->stream = g_strdup(stream);
	append->data = data;
	append->number = ++plog->last_number;
	append->deadline = clk_now(&plog->clk) + plog->settings.append_deadline;
	append->on_appended = on_appended;
	append->arg = arg;
	(void)json_object_set_new(data, "session",
	    json_string(plog_session_format(session, plog->settings.session)));
	(void)json_object_set_new(data, "number", json_integer(append->number));
	g_queue_push_tail(plog->appends, append);
	if (plog->call == NULL && !ev_is_active(&plog->timer))
		timer_set(plog, &plog->timer, 0);
	return (append->number);
}

unsigned
plog_append_count(const struct plog *plog)
{
	return (g_queue_get_length(plog->appends));
}

/* Followers. */

static guint
record_id_hash(gconstpointer key)
{
	const struct record_id *id = key;
	uint64_t hash =
	    id->session ^ (uint64_t)id->number * 0x9e3779b97f4a7c15ULL;

	return ((guint)(hash ^ hash >> 32));
}

static gboolean
record_id_equal(gconstpointer a, gconstpointer b)
{
	const struct record_id *x = a;
	const struct record_id *y = b;

	return (x->session == y->session && x->number == y->number);
}

/* Returns whether the record is a duplicate; if not, remembers its id. */
static bool
is_duplicate(struct plog_follower *follow, const json_t *data)
{
	struct record_id key;
	struct record_id *kept;

	if (!plog_session_parse(
		json_string_value(json_object_get(data, "session")),
		&key.session) ||
	    !get_non_negative(data, "number", &key.number))
		return (false);
	if (g_hash_table_contains(follow->seen, &key))
		return (true);
	while (g_queue_get_length(follow->recent) >= MAX_RECENT_RECORDS)
		(void)g_hash_table_remove(
		    follow->seen, g_queue_pop_head(follow->recent));
	kept = g_memdup2(&key, sizeof(key));
	(void)g_hash_table_add(follow->seen, kept);
	g_queue_push_tail(follow->recent, kept);
	return (false);
}

static void
follow_free(struct plog_follower *follow)
{
	ev_timer_stop(follow->plog->loop, &follow->timer);
	if (follow->call != NULL)
		hcl_cancel(follow->call);
	g_queue_free(follow->recent);
	g_hash_table_destroy(follow->seen);
	g_free(follow->stream);
	g_free(follow);
}

static void
follow_failed(struct plog_follower *follow, const char *error)
{
	struct plog *plog = follow->plog;
	char quoted[128];

	follow->failures++;
	follow->at_tail = false;
	if (plog->read_failed != NULL)
		cnt_add(plog->read_failed, 1);
	lg_event(plog->lg, LG_WARNING, "log_read_failed", "stream=%s error=%s",
	    follow->stream, lg_quote(quoted, sizeof(quoted), error));
	timer_set(plog, &follow->timer, backoff(plog, follow->failures));
	if (follow->events.failed != NULL)
		follow->events.failed(error, follow->events.arg);
}

/*
 * Pass the records to the callback.  Returns nil, or an error if the reply is
 * invalid.  The callback may seek or stop the follower.
 */
static const char *
follow_records(struct plog_follower *follow, const json_t *records)
{
	unsigned seeks = follow->seeks;
	const json_t *record;
	int64_t offset;
	int64_t time_ms;
	json_t *data;
	size_t i;

	json_array_foreach(records, i, record)
	{
		data = json_object_get(record, "data");
		if (!get_non_negative(record, "offset", &offset) ||
		    data == NULL || offset < follow->next)
			return ("malformed record in the reply");
		if (!get_non_negative(record, "time_ms", &time_ms))
			time_ms = 0;
		follow->next = offset + 1;
		if (is_duplicate(follow, data))
			continue;
		follow->events.record(
		    offset, time_ms, data, follow->events.arg);
		if (follow->stopped || follow->seeks != seeks)
			return (NULL);
	}
	return (NULL);
}

static const char *
follow_page(struct plog_follower *follow, const json_t *reply)
{
	const json_t *records = json_object_get(reply, "records");
	unsigned seeks = follow->seeks;
	const char *error;
	int64_t next;
	size_t n;

	if (!get_non_negative(reply, "next", &next) || !json_is_array(records))
		return ("malformed reply");
	n = json_array_size(records);
	if (next < follow->next)
		return ("the stream ends before the offset read last");
	error = follow_records(follow, records);
	if (error != NULL || follow->stopped || follow->seeks != seeks)
		return (error);
	tail_update(follow->plog, follow->stream, follow->next);
	follow->at_tail =
	    follow->next >= next && n < follow->plog->settings.read_max;
	if (!follow->at_tail && n == 0)
		return ("no records before the end of the stream");
	follow->failures = 0;
	timer_set(
	    follow->plog, &follow->timer, follow->at_tail ? TAIL_PAUSE_MS : 0);
	if (follow->at_tail)
		follow->events.tail(
		    follow->next, follow->started_at, follow->events.arg);
	return (NULL);
}

static const char *
follow_gap(struct plog_follower *follow, const json_t *reply)
{
	int64_t from = follow->next;
	int64_t first;
	int64_t next;

	if (!get_non_negative(reply, "first", &first) ||
	    !get_non_negative(reply, "next", &next) || first <= from)
		return ("malformed reply");
	follow->next = first;
	timer_set(follow->plog, &follow->timer, 0);
	follow->events.gap(from, first, next, follow->events.arg);
	return (NULL);
}

static void
on_follow_reply(const struct hcl_result *result, void *arg)
{
	struct plog_follower *follow = arg;
	const char *error = NULL;
	json_t *reply = NULL;

	follow->call = NULL;
	follow->in_callback = true;
	if (result->sent == HCL_REPLIED)
		reply = parse_reply(result);
	if (result->sent != HCL_REPLIED)
		error = result->error;
	else if (result->status == 200)
		error = follow_page(follow, reply);
	else if (result->status == 410)
		error = follow_gap(follow, reply);
	else
		error = "unexpected status";
	if (error != NULL && !follow->stopped)
		follow_failed(follow, error);
	json_decref(reply);
	follow->in_callback = false;
	if (follow->stopped)
		follow_free(follow);
}

static void
on_follow_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct plog_follower *follow = timer->data;
	struct plog *plog = follow->plog;
	clk_ms wait = follow->at_tail ? plog->settings.wait_ms : 0;
	char *url;
	struct hcl_request request = {.method = "GET",
	    .timeout = plog->settings.call_timeout + wait,
	    .on_done = on_follow_reply,
	    .arg = follow};

	(void)loop;
	(void)events;
	if (follow->call != NULL)
		return;
	url = g_strdup_printf("%s/streams/%s/records?from=%" PRId64
			      "&max=%u&wait_ms=%" PRId64,
	    plog->url, follow->stream, follow->next, plog->settings.read_max,
	    wait);
	request.url = url;
	follow->started_at = clk_now(&plog->clk);
	follow->call = hcl_start(plog->hcl, &request);
	g_free(url);
}

struct plog_follower *
plog_follow_start(struct plog *plog, const char *stream, int64_t from,
    const struct plog_follower_events *events)
{
	struct plog_follower *follow = g_new0(struct plog_follower, 1);

	follow->plog = plog;
	follow->stream = g_strdup(stream);
	follow->next = from;
	follow->events = *events;
	follow->seen = g_hash_table_new_full(
	    record_id_hash, record_id_equal, g_free, NULL);
	follow->recent = g_queue_new();
	ev_init(&follow->timer, on_follow_timer);
	follow->timer.data = follow;
	g_ptr_array_add(plog->follows, follow);
	timer_set(plog, &follow->timer, 0);
	return (follow);
}

void
plog_follower_seek(struct plog_follower *follow, int64_t from)
{
	follow->seeks++;
	follow->next = from;
	follow->at_tail = false;
	/* Records that are read again after a seek are not duplicates. */
	g_queue_clear(follow->recent);
	g_hash_table_remove_all(follow->seen);
	if (follow->call != NULL)
		hcl_cancel(follow->call);
	follow->call = NULL;
	timer_set(follow->plog, &follow->timer, 0);
}

void
plog_follower_stop(struct plog_follower *follow)
{
	if (follow == NULL || follow->stopped)
		return;
	(void)g_ptr_array_remove(follow->plog->follows, follow);
	follow->stopped = true;
	if (!follow->in_callback)
		follow_free(follow);
}

int64_t
plog_follower_next(const struct plog_follower *follow)
{
	return (follow->next);
}

/* The client. */

static void
settings_set_defaults(struct plog_settings *s)
{
	s->call_timeout = or_default(s->call_timeout, CALL_TIMEOUT_MS);
	s->wait_ms = or_default(s->wait_ms, LONG_POLL_MS);
	s->retry_min = or_default(s->retry_min, RETRY_MIN_MS);
	s->retry_max = or_default(s->retry_max, RETRY_MAX_MS);
	s->append_deadline = or_default(s->append_deadline, APPEND_DEADLINE_MS);
	if (s->appends_per_second == 0)
		s->appends_per_second = APPENDS_PER_SECOND;
	if (s->append_burst == 0)
		s->append_burst = APPEND_BURST;
	if (s->max_queue == 0)
		s->max_queue = MAX_QUEUE;
	if (s->read_max == 0)
		s->read_max = READ_MAX;
}

static void
metrics_open(struct plog *plog, struct cnt *cnt)
{
	static const char help[] = "Appends to the platform's log by outcome.";

	if (cnt == NULL)
		return;
	plog->appended =
	    cnt_counter(cnt, "log_appends_total", help, "outcome", "appended");
	plog->refused =
	    cnt_counter(cnt, "log_appends_total", help, "outcome", "refused");
	plog->unknown =
	    cnt_counter(cnt, "log_appends_total", help, "outcome", "unknown");
	plog->read_failed = cnt_counter(cnt, "log_read_failures_total",
	    "Reads of the platform's log that failed.", NULL, NULL);
}

struct plog *
plog_open(struct ev_loop *loop, struct hcl *hcl, struct clk clk,
    const struct plog_settings *settings, struct cnt *cnt, struct lg *lg)
{
	struct plog *plog = g_new0(struct plog, 1);

	plog->loop = loop;
	plog->hcl = hcl;
	plog->clk = clk;
	plog->settings = *settings;
	settings_set_defaults(&plog->settings);
	plog->url = g_strdup(settings->url);
	plog->settings.url = plog->url;
	plog->lg = lg;
	plog->random = settings->seed;
	plog->appends = g_queue_new();
	plog->tails =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	plog->follows = g_ptr_array_new();
	plog->tokens = (double)plog->settings.append_burst;
	plog->tokens_at = clk_now(&plog->clk);
	ev_init(&plog->timer, on_append_timer);
	plog->timer.data = plog;
	metrics_open(plog, cnt);
	return (plog);
}

void
plog_close(struct plog *plog)
{
	struct append *append;

	if (plog == NULL)
		return;
	ev_timer_stop(plog->loop, &plog->timer);
	if (plog->call != NULL)
		hcl_cancel(plog->call);
	while ((append = g_queue_pop_head(plog->appends)) != NULL)
		append_free(append);
	g_queue_free(plog->appends);
	for (unsigned i = 0; i < plog->follows->len; i++)
		follow_free(g_ptr_array_index(plog->follows, i));
	g_ptr_array_free(plog->follows, TRUE);
	g_hash_table_destroy(plog->tails);
	g_free(plog->url);
	g_free(plog);
}
