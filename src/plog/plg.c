#include "plog/plg.h"

#include <inttypes.h>
#include <string.h>

#define CALL_TIMEOUT	(2 * CLK_SECOND)
#define WAIT		500
#define RETRY_MIN	50
#define RETRY_MAX	(2 * CLK_SECOND)
#define APPEND_DEADLINE (30 * CLK_SECOND)
#define APPEND_RATE	20
#define APPEND_BURST	20
#define MAX_QUEUE	256
#define READ_MAX	256
/* Retry-After counts whole seconds, so this is its smallest value. */
#define LIMITED_WAIT CLK_SECOND
/* At the tail of a busy stream, reads would otherwise bring one record each.
 */
#define TAIL_PACE  20
#define MAX_RECENT 4096

struct append {
	char *stream;
	json_t *data;
	int64_t number;
	clk_ms deadline;
	bool may_be_there; /* an attempt ended without a certain result */
	bool searching; /* look for the record before the next attempt */
	int64_t search_from;
	plg_on_appended *on_appended;
	void *arg;
};

struct plg {
	struct ev_loop *loop;
	struct hcl *hcl;
	struct clk clk;
	struct plg_settings settings;
	char *url;
	struct cnt_metric *appended;
	struct cnt_metric *refused;
	struct cnt_metric *unknown;
	struct cnt_metric *read_failed;
	struct lg *lg;
	uint64_t random;
	int64_t last_number;
	GQueue *appends; /* the first one is in progress */
	struct hcl_call *call; /* of the first append */
	ev_timer timer;
	unsigned failures;
	double tokens;
	clk_ms tokens_at;
	GHashTable *tails; /* stream -> int64_t, an offset not after the tail */
	GPtrArray *follows;
};

struct recent {
	uint64_t session;
	int64_t number;
};

struct plg_follow {
	struct plg *plg;
	char *stream;
	int64_t next;
	struct plg_follow_events events;
	struct hcl_call *call;
	clk_ms started_at;
	bool at_tail;
	unsigned failures;
	unsigned seeks;
	bool in_callback;
	bool stopped;
	ev_timer timer;
	GHashTable *seen; /* set of struct recent */
	GQueue *recent; /* the same, oldest first */
};

static clk_ms
or_default(clk_ms value, clk_ms otherwise)
{
	return (value > 0 ? value : otherwise);
}

static uint64_t
random_next(struct plg *plg)
{
	uint64_t x = plg->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

/* Exponential backoff; the upper half is jitter. */
static clk_ms
backoff(struct plg *plg, unsigned failures)
{
	clk_ms wait = plg->settings.retry_min;

	for (unsigned i = 1; i < failures && wait < plg->settings.retry_max;
	     i++)
		wait *= 2;
	wait = MIN(wait, plg->settings.retry_max);
	return (
	    wait / 2 + (clk_ms)(random_next(plg) % (uint64_t)(wait / 2 + 1)));
}

static void
timer_set(struct plg *plg, ev_timer *timer, clk_ms wait)
{
	ev_timer_stop(plg->loop, timer);
	ev_timer_set(timer, (double)MAX(wait, 0) / 1000.0, 0.0);
	ev_timer_start(plg->loop, timer);
}

const char *
plg_session_format(char buf[PLG_SESSION_SIZE], uint64_t session)
{
	(void)g_snprintf(buf, PLG_SESSION_SIZE, "%016" PRIx64, session);
	return (buf);
}

bool
plg_session_parse(const char *text, uint64_t *session)
{
	uint64_t value = 0;

	if (text == NULL || strlen(text) != PLG_SESSION_SIZE - 1)
		return (false);
	for (const char *c = text; *c != '\0'; c++) {
		if (!g_ascii_isxdigit(*c) || g_ascii_isupper(*c))
			return (false);
		value = value << 4 | (uint64_t)g_ascii_xdigit_value(*c);
	}
	*session = value;
	return (value != 0);
}

/* Appending. */

static void append_step(struct plg *plg);

static void
append_free(struct append *append)
{
	json_decref(append->data);
	g_free(append->stream);
	g_free(append);
}

static void
append_finish(struct plg *plg, enum plg_outcome outcome, int64_t offset)
{
	struct append *append = g_queue_pop_head(plg->appends);
	struct cnt_metric *metric = outcome == PLG_APPENDED ? plg->appended
	    : outcome == PLG_REFUSED			    ? plg->refused
							    : plg->unknown;

	if (metric != NULL)
		cnt_add(metric, 1);
	if (outcome != PLG_APPENDED)
		lg_event(plg->lg, LG_WARNING, "log_append_failed",
		    "number=%" PRId64 " outcome=%s", append->number,
		    outcome == PLG_REFUSED ? "refused" : "unknown");
	plg->failures = 0;
	/* The callback may append again. */
	timer_set(plg, &plg->timer, 0);
	if (append->on_appended != NULL)
		append->on_appended(outcome, offset, append->arg);
	append_free(append);
}

static void
append_give_up(struct plg *plg)
{
	const struct append *append = g_queue_peek_head(plg->appends);

	append_finish(
	    plg, append->may_be_there ? PLG_UNKNOWN : PLG_REFUSED, -1);
}

static void
tail_note(struct plg *plg, const char *stream, int64_t next)
{
	int64_t *tail = g_hash_table_lookup(plg->tails, stream);

	if (tail == NULL) {
		tail = g_new0(int64_t, 1);
		(void)g_hash_table_insert(plg->tails, g_strdup(stream), tail);
	}
	*tail = MAX(*tail, next);
}

static int64_t
tail_get(const struct plg *plg, const char *stream)
{
	const int64_t *tail = g_hash_table_lookup(plg->tails, stream);

	return (tail != NULL ? *tail : 0);
}

static void
append_retry(struct plg *plg, clk_ms at_least)
{
	const struct append *append = g_queue_peek_head(plg->appends);
	clk_ms left = append->deadline - clk_now(&plg->clk);
	clk_ms wait = backoff(plg, ++plg->failures);

	timer_set(plg, &plg->timer, MIN(MAX(at_least, wait), left));
}

static bool
get_offset(const json_t *object, const char *key, int64_t *offset)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return (false);
	*offset = json_integer_value(value);
	return (true);
}

static json_t *
load_reply(const struct hcl_result *result)
{
	return (json_loadb(result->body, result->body_len, 0, NULL));
}

static void
on_append_reply(const struct hcl_result *result, void *arg)
{
	struct plg *plg = arg;
	struct append *append = g_queue_peek_head(plg->appends);
	json_t *reply;
	int64_t offset;

	plg->call = NULL;
	if (result->sent == HCL_NOT_SENT) {
		append_retry(plg, 0);
		return;
	}
	if (result->sent == HCL_REPLIED && result->status == 201) {
		reply = load_reply(result);
		if (get_offset(reply, "offset", &offset)) {
			json_decref(reply);
			append_finish(plg, PLG_APPENDED, offset);
			return;
		}
		json_decref(reply);
	} else if (result->sent == HCL_REPLIED && result->status == 429) {
		append_retry(plg, LIMITED_WAIT);
		return;
	} else if (result->sent == HCL_REPLIED && result->status >= 400 &&
	    result->status < 500) {
		append_give_up(plg);
		return;
	}
	/*
	 * Without a reply, or with one that a gateway may have made, the
	 * record may be in the log.
	 */
	append->may_be_there = true;
	append->searching = true;
	append_retry(plg, 0);
}

static bool
is_record_of(
    const struct plg *plg, const struct append *append, const json_t *data)
{
	uint64_t session;

	return (plg_session_parse(
		    json_string_value(json_object_get(data, "session")),
		    &session) &&
	    session == plg->settings.session &&
	    json_integer_value(json_object_get(data, "number")) ==
		append->number);
}

/* Returns false if the reply cannot be used. */
static bool
search_page(struct plg *plg, struct append *append, const json_t *reply)
{
	const json_t *records = json_object_get(reply, "records");
	const json_t *record;
	int64_t next;
	int64_t offset;
	size_t i;

	if (!get_offset(reply, "next", &next) || !json_is_array(records))
		return (false);
	json_array_foreach(records, i, record)
	{
		if (!get_offset(record, "offset", &offset) ||
		    offset < append->search_from)
			return (false);
		append->search_from = offset + 1;
		if (is_record_of(
			plg, append, json_object_get(record, "data"))) {
			append_finish(plg, PLG_APPENDED, offset);
			return (true);
		}
	}
	if (append->search_from >= next &&
	    json_array_size(records) < plg->settings.read_max)
		append->searching = false;
	else if (json_array_size(records) == 0)
		return (false);
	timer_set(plg, &plg->timer, 0);
	return (true);
}

static void
on_search_reply(const struct hcl_result *result, void *arg)
{
	struct plg *plg = arg;
	struct append *append = g_queue_peek_head(plg->appends);
	json_t *reply = NULL;
	bool used = false;
	int64_t first;

	plg->call = NULL;
	if (result->sent == HCL_REPLIED)
		reply = load_reply(result);
	if (result->status == 200) {
		used = search_page(plg, append, reply);
	} else if (result->status == 410 &&
	    get_offset(reply, "first", &first) && first > append->search_from) {
		append->search_from = first;
		timer_set(plg, &plg->timer, 0);
		used = true;
	}
	json_decref(reply);
	if (!used)
		append_retry(plg, 0);
}

static void
append_search(struct plg *plg, struct append *append, clk_ms timeout)
{
	char *url = g_strdup_printf(
	    "%s/streams/%s/records?from=%" PRId64 "&max=%u&wait_ms=0", plg->url,
	    append->stream, append->search_from, plg->settings.read_max);
	struct hcl_request request = {.method = "GET",
	    .url = url,
	    .timeout = timeout,
	    .on_done = on_search_reply,
	    .arg = plg};

	plg->call = hcl_start(plg->hcl, &request);
	g_free(url);
}

static void
append_send(struct plg *plg, struct append *append, clk_ms timeout)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char *url =
	    g_strdup_printf("%s/streams/%s/records", plg->url, append->stream);
	json_t *body = json_pack("{s:O}", "data", append->data);
	char *text = json_dumps(body, JSON_COMPACT);
	struct hcl_request request = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .body_len = strlen(text),
	    .timeout = timeout,
	    .on_done = on_append_reply,
	    .arg = plg};

	plg->call = hcl_start(plg->hcl, &request);
	free(text);
	json_decref(body);
	g_free(url);
}

/* Take a token of the own rate limit; returns the wait for it, 0 if taken. */
static clk_ms
take_token(struct plg *plg, clk_ms now)
{
	double rate = (double)plg->settings.appends_per_second / 1000.0;

	plg->tokens += (double)(now - plg->tokens_at) * rate;
	plg->tokens = MIN(plg->tokens, (double)plg->settings.append_burst);
	plg->tokens_at = now;
	if (plg->tokens < 1.0)
		return ((clk_ms)((1.0 - plg->tokens) / rate) + 1);
	plg->tokens -= 1.0;
	return (0);
}

static void
append_step(struct plg *plg)
{
	struct append *append = g_queue_peek_head(plg->appends);
	clk_ms now = clk_now(&plg->clk);
	clk_ms timeout;
	clk_ms wait;

	if (append == NULL || plg->call != NULL)
		return;
	if (now >= append->deadline) {
		append_give_up(plg);
		return;
	}
	timeout = MIN(plg->settings.call_timeout, append->deadline - now);
	if (append->searching) {
		append_search(plg, append, timeout);
		return;
	}
	wait = take_token(plg, now);
	if (wait > 0) {
		timer_set(plg, &plg->timer, MIN(wait, append->deadline - now));
		return;
	}
	if (!append->may_be_there)
		append->search_from = tail_get(plg, append->stream);
	append_send(plg, append, timeout);
}

static void
on_append_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	append_step(timer->data);
}

int64_t
plg_append(struct plg *plg, const char *stream, json_t *data,
    plg_on_appended *on_appended, void *arg)
{
	struct append *append;
	char session[PLG_SESSION_SIZE];

	if (!json_is_object(data) ||
	    g_queue_get_length(plg->appends) >= plg->settings.max_queue) {
		json_decref(data);
		return (0);
	}
	append = g_new0(struct append, 1);
	append->stream = g_strdup(stream);
	append->data = data;
	append->number = ++plg->last_number;
	append->deadline = clk_now(&plg->clk) + plg->settings.append_deadline;
	append->on_appended = on_appended;
	append->arg = arg;
	(void)json_object_set_new(data, "session",
	    json_string(plg_session_format(session, plg->settings.session)));
	(void)json_object_set_new(data, "number", json_integer(append->number));
	g_queue_push_tail(plg->appends, append);
	if (plg->call == NULL && !ev_is_active(&plg->timer))
		timer_set(plg, &plg->timer, 0);
	return (append->number);
}

unsigned
plg_queued(const struct plg *plg)
{
	return (g_queue_get_length(plg->appends));
}

/* Following. */

static guint
recent_hash(gconstpointer key)
{
	const struct recent *recent = key;
	uint64_t hash =
	    recent->session ^ (uint64_t)recent->number * 0x9e3779b97f4a7c15ULL;

	return ((guint)(hash ^ hash >> 32));
}

static gboolean
recent_equal(gconstpointer a, gconstpointer b)
{
	const struct recent *x = a;
	const struct recent *y = b;

	return (x->session == y->session && x->number == y->number);
}

/* Whether the record is a second copy; remembers it if not. */
static bool
is_second_copy(struct plg_follow *follow, const json_t *data)
{
	struct recent key;
	struct recent *kept;

	if (!plg_session_parse(
		json_string_value(json_object_get(data, "session")),
		&key.session) ||
	    !get_offset(data, "number", &key.number))
		return (false);
	if (g_hash_table_contains(follow->seen, &key))
		return (true);
	while (g_queue_get_length(follow->recent) >= MAX_RECENT)
		(void)g_hash_table_remove(
		    follow->seen, g_queue_pop_head(follow->recent));
	kept = g_memdup2(&key, sizeof(key));
	(void)g_hash_table_add(follow->seen, kept);
	g_queue_push_tail(follow->recent, kept);
	return (false);
}

static void
follow_free(struct plg_follow *follow)
{
	ev_timer_stop(follow->plg->loop, &follow->timer);
	if (follow->call != NULL)
		hcl_cancel(follow->call);
	g_queue_free(follow->recent);
	g_hash_table_destroy(follow->seen);
	g_free(follow->stream);
	g_free(follow);
}

static void
follow_failed(struct plg_follow *follow, const char *error)
{
	struct plg *plg = follow->plg;
	char quoted[128];

	follow->failures++;
	follow->at_tail = false;
	if (plg->read_failed != NULL)
		cnt_add(plg->read_failed, 1);
	lg_event(plg->lg, LG_WARNING, "log_read_failed", "stream=%s error=%s",
	    follow->stream, lg_quote(quoted, sizeof(quoted), error));
	timer_set(plg, &follow->timer, backoff(plg, follow->failures));
	if (follow->events.failed != NULL)
		follow->events.failed(error, follow->events.arg);
}

/*
 * Pass the records on.  Returns nil, or a text that says why the reply cannot
 * be used.  A callback may move or stop the follower.
 */
static const char *
follow_records(struct plg_follow *follow, const json_t *records)
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
		if (!get_offset(record, "offset", &offset) || data == NULL ||
		    offset < follow->next)
			return ("malformed record in the reply");
		if (!get_offset(record, "time_ms", &time_ms))
			time_ms = 0;
		follow->next = offset + 1;
		if (is_second_copy(follow, data))
			continue;
		follow->events.record(
		    offset, time_ms, data, follow->events.arg);
		if (follow->stopped || follow->seeks != seeks)
			return (NULL);
	}
	return (NULL);
}

static const char *
follow_page(struct plg_follow *follow, const json_t *reply)
{
	const json_t *records = json_object_get(reply, "records");
	unsigned seeks = follow->seeks;
	const char *error;
	int64_t next;
	size_t n;

	if (!get_offset(reply, "next", &next) || !json_is_array(records))
		return ("malformed reply");
	n = json_array_size(records);
	if (next < follow->next)
		return ("the stream ends before the offset read last");
	error = follow_records(follow, records);
	if (error != NULL || follow->stopped || follow->seeks != seeks)
		return (error);
	tail_note(follow->plg, follow->stream, follow->next);
	follow->at_tail =
	    follow->next >= next && n < follow->plg->settings.read_max;
	if (!follow->at_tail && n == 0)
		return ("no records before the end of the stream");
	follow->failures = 0;
	timer_set(follow->plg, &follow->timer, follow->at_tail ? TAIL_PACE : 0);
	if (follow->at_tail)
		follow->events.tail(
		    follow->next, follow->started_at, follow->events.arg);
	return (NULL);
}

static const char *
follow_gone(struct plg_follow *follow, const json_t *reply)
{
	int64_t from = follow->next;
	int64_t first;
	int64_t next;

	if (!get_offset(reply, "first", &first) ||
	    !get_offset(reply, "next", &next) || first <= from)
		return ("malformed reply");
	follow->next = first;
	timer_set(follow->plg, &follow->timer, 0);
	follow->events.gap(from, first, next, follow->events.arg);
	return (NULL);
}

static void
on_follow_reply(const struct hcl_result *result, void *arg)
{
	struct plg_follow *follow = arg;
	const char *error = NULL;
	json_t *reply = NULL;

	follow->call = NULL;
	follow->in_callback = true;
	if (result->sent == HCL_REPLIED)
		reply = load_reply(result);
	if (result->sent != HCL_REPLIED)
		error = result->error;
	else if (result->status == 200)
		error = follow_page(follow, reply);
	else if (result->status == 410)
		error = follow_gone(follow, reply);
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
	struct plg_follow *follow = timer->data;
	struct plg *plg = follow->plg;
	clk_ms wait = follow->at_tail ? plg->settings.wait_ms : 0;
	char *url;
	struct hcl_request request = {.method = "GET",
	    .timeout = plg->settings.call_timeout + wait,
	    .on_done = on_follow_reply,
	    .arg = follow};

	(void)loop;
	(void)events;
	if (follow->call != NULL)
		return;
	url = g_strdup_printf("%s/streams/%s/records?from=%" PRId64
			      "&max=%u&wait_ms=%" PRId64,
	    plg->url, follow->stream, follow->next, plg->settings.read_max,
	    wait);
	request.url = url;
	follow->started_at = clk_now(&plg->clk);
	follow->call = hcl_start(plg->hcl, &request);
	g_free(url);
}

struct plg_follow *
plg_follow(struct plg *plg, const char *stream, int64_t from,
    const struct plg_follow_events *events)
{
	struct plg_follow *follow = g_new0(struct plg_follow, 1);

	follow->plg = plg;
	follow->stream = g_strdup(stream);
	follow->next = from;
	follow->events = *events;
	follow->seen =
	    g_hash_table_new_full(recent_hash, recent_equal, g_free, NULL);
	follow->recent = g_queue_new();
	ev_init(&follow->timer, on_follow_timer);
	follow->timer.data = follow;
	g_ptr_array_add(plg->follows, follow);
	timer_set(plg, &follow->timer, 0);
	return (follow);
}

void
plg_follow_seek(struct plg_follow *follow, int64_t from)
{
	follow->seeks++;
	follow->next = from;
	follow->at_tail = false;
	/* What is read again from there on is not a second copy. */
	g_queue_clear(follow->recent);
	g_hash_table_remove_all(follow->seen);
	if (follow->call != NULL)
		hcl_cancel(follow->call);
	follow->call = NULL;
	timer_set(follow->plg, &follow->timer, 0);
}

void
plg_follow_stop(struct plg_follow *follow)
{
	if (follow == NULL || follow->stopped)
		return;
	(void)g_ptr_array_remove(follow->plg->follows, follow);
	follow->stopped = true;
	if (!follow->in_callback)
		follow_free(follow);
}

int64_t
plg_follow_next(const struct plg_follow *follow)
{
	return (follow->next);
}

/* The client. */

static void
settings_complete(struct plg_settings *s)
{
	s->call_timeout = or_default(s->call_timeout, CALL_TIMEOUT);
	s->wait_ms = or_default(s->wait_ms, WAIT);
	s->retry_min = or_default(s->retry_min, RETRY_MIN);
	s->retry_max = or_default(s->retry_max, RETRY_MAX);
	s->append_deadline = or_default(s->append_deadline, APPEND_DEADLINE);
	if (s->appends_per_second == 0)
		s->appends_per_second = APPEND_RATE;
	if (s->append_burst == 0)
		s->append_burst = APPEND_BURST;
	if (s->max_queue == 0)
		s->max_queue = MAX_QUEUE;
	if (s->read_max == 0)
		s->read_max = READ_MAX;
}

static void
metrics_open(struct plg *plg, struct cnt *cnt)
{
	static const char help[] = "Appends to the platform's log by outcome.";

	if (cnt == NULL)
		return;
	plg->appended =
	    cnt_counter(cnt, "log_appends_total", help, "outcome", "appended");
	plg->refused =
	    cnt_counter(cnt, "log_appends_total", help, "outcome", "refused");
	plg->unknown =
	    cnt_counter(cnt, "log_appends_total", help, "outcome", "unknown");
	plg->read_failed = cnt_counter(cnt, "log_read_failures_total",
	    "Reads of the platform's log that failed.", NULL, NULL);
}

struct plg *
plg_open(struct ev_loop *loop, struct hcl *hcl, struct clk clk,
    const struct plg_settings *settings, struct cnt *cnt, struct lg *lg)
{
	struct plg *plg = g_new0(struct plg, 1);

	plg->loop = loop;
	plg->hcl = hcl;
	plg->clk = clk;
	plg->settings = *settings;
	settings_complete(&plg->settings);
	plg->url = g_strdup(settings->url);
	plg->settings.url = plg->url;
	plg->lg = lg;
	plg->random = settings->seed;
	plg->appends = g_queue_new();
	plg->tails =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	plg->follows = g_ptr_array_new();
	plg->tokens = (double)plg->settings.append_burst;
	plg->tokens_at = clk_now(&plg->clk);
	ev_init(&plg->timer, on_append_timer);
	plg->timer.data = plg;
	metrics_open(plg, cnt);
	return (plg);
}

void
plg_close(struct plg *plg)
{
	struct append *append;

	if (plg == NULL)
		return;
	ev_timer_stop(plg->loop, &plg->timer);
	if (plg->call != NULL)
		hcl_cancel(plg->call);
	while ((append = g_queue_pop_head(plg->appends)) != NULL)
		append_free(append);
	g_queue_free(plg->appends);
	for (unsigned i = 0; i < plg->follows->len; i++)
		follow_free(g_ptr_array_index(plg->follows, i));
	g_ptr_array_free(plg->follows, TRUE);
	g_hash_table_destroy(plg->tails);
	g_free(plg->url);
	g_free(plg);
}
