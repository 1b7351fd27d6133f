/* The platform's append-only log service. */
#include <string.h>

#include "standin.h"

#define MAX_READ     1000
#define MAX_WAIT_MS  30000
#define COMPACT_SIZE 1024

struct record {
	int64_t offset;
	clk_ms time_ms; /* time of day */
	clk_ms appended; /* monotonic, for the retention */
	json_t *data;
};

struct stream {
	GArray *records; /* struct record; the first `dead` are removed */
	guint dead;
	int64_t next;
	int64_t appends;
	int64_t reads;
};

struct waiter {
	struct log *log;
	struct web_req *req;
	struct stream *stream;
	int64_t from;
	int64_t max;
	clk_ms until;
};

struct log {
	struct sti sti;
	int appends_per_second;
	int retention_records;
	int retention_seconds;
	GHashTable *streams; /* name -> struct stream */
	GQueue waiters; /* struct waiter, long polls */
	ev_timer tick;
	double tokens; /* appends allowed now */
	clk_ms refilled;
	bool outage;
	int64_t lose_append_replies;
	int64_t delay_ms;
	int64_t refused;
};

static struct stream *
find_stream(struct log *log, const char *name)
{
	struct stream *stream = g_hash_table_lookup(log->streams, name);

	if (stream == NULL) {
		stream = g_new0(struct stream, 1);
		stream->records =
		    g_array_new(FALSE, FALSE, sizeof(struct record));
		stream->next = 1;
		g_hash_table_insert(log->streams, g_strdup(name), stream);
	}
	return (stream);
}

static struct record *
record_at(const struct stream *stream, guint i)
{
	return (&g_array_index(stream->records, struct record, i));
}

static int64_t
first_offset(const struct stream *stream)
{
	return (stream->next - (stream->records->len - stream->dead));
}

static void
apply_retention(const struct log *log, struct stream *stream, clk_ms now)
{
	while (stream->dead < stream->records->len) {
		struct record *record = record_at(stream, stream->dead);
		guint live = stream->records->len - stream->dead;

		if (live <= (guint)log->retention_records &&
		    now - record->appended <=
			log->retention_seconds * CLK_SECOND)
			break;
		json_decref(record->data);
		stream->dead++;
	}
	/* Moving the array at each removal would be quadratic. */
	if (stream->dead > COMPACT_SIZE &&
	    stream->dead > stream->records->len / 2) {
		g_array_remove_range(stream->records, 0, stream->dead);
		stream->dead = 0;
	}
}

static void
reply_records(struct log *log, struct web_req *req, struct stream *stream,
    int64_t from, int64_t max)
{
	int64_t first = first_offset(stream);
	json_t *records = json_array();
	int64_t next = from;

	for (int64_t offset = from; offset < stream->next && max > 0;
	     offset++, max--) {
		const struct record *record =
		    record_at(stream, (guint)(offset - first) + stream->dead);

		(void)json_array_append_new(records,
		    json_pack("{s:I,s:I,s:O}", "offset",
			(json_int_t)record->offset, "time_ms",
			(json_int_t)record->time_ms, "data", record->data));
		next = offset + 1;
	}
	sti_reply_later(&log->sti, req, log->delay_ms, 200,
	    json_pack("{s:I,s:I,s:o}", "first", (json_int_t)first, "next",
		(json_int_t)next, "records", records));
}

static void
reply_gone(struct web_req *req, const struct stream *stream)
{
	sti_reply(req, 410,
	    json_pack("{s:I,s:I}", "first", (json_int_t)first_offset(stream),
		"next", (json_int_t)stream->next));
}

/* Answer a long poll if it has records, is too old or has waited enough. */
static bool
waiter_answer(struct waiter *waiter, clk_ms now)
{
	struct log *log = waiter->log;

	if (log->outage)
		sti_reply_error(waiter->req, 503, "outage");
	else if (waiter->from < first_offset(waiter->stream))
		reply_gone(waiter->req, waiter->stream);
	else if (waiter->from < waiter->stream->next || now >= waiter->until ||
	    web_is_gone(waiter->req))
		reply_records(log, waiter->req, waiter->stream, waiter->from,
		    waiter->max);
	else
		return (false);
	g_free(waiter);
	return (true);
}

static void
answer_waiters(struct log *log)
{
	clk_ms now = sti_now(&log->sti);

	for (GList *l = log->waiters.head, *next; l != NULL; l = next) {
		next = l->next;
		if (waiter_answer(l->data, now))
			g_queue_delete_link(&log->waiters, l);
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	answer_waiters(watcher->data);
}

/* A token bucket that holds the appends of one second. */
static bool
take_append(struct log *log, clk_ms now)
{
	double rate = log->appends_per_second;

	log->tokens += (double)(now - log->refilled) * rate / 1000.0;
	log->tokens = MIN(log->tokens, rate);
	log->refilled = now;
	if (log->tokens < 1.0)
		return (false);
	log->tokens -= 1.0;
	return (true);
}

static void
append(struct log *log, struct web_req *req, struct stream *stream)
{
	clk_ms now = sti_now(&log->sti);
	struct record record = {
	    .offset = stream->next, .time_ms = clk_wall_ms(), .appended = now};
	json_t *body, *data;

	if (!take_append(log, now)) {
		log->refused++;
		web_header_add(req, "Retry-After", "1");
		sti_reply_error(req, 429, "too_many_appends");
		return;
	}
	body = sti_body(req);
	if (body == NULL)
		return;
	data = json_object_get(body, "data");
	if (data == NULL) {
		json_decref(body);
		sti_reply_error(req, 400, "no_data");
		return;
	}
	record.data = json_incref(data);
	json_decref(body);
	g_array_append_val(stream->records, record);
	stream->next++;
	stream->appends++;
	apply_retention(log, stream, now);
	if (log->lose_append_replies > 0) {
		log->lose_append_replies--;
		web_drop(req);
	} else {
		sti_reply_later(&log->sti, req, log->delay_ms, 201,
		    json_pack("{s:I}", "offset", (json_int_t)record.offset));
	}
	answer_waiters(log);
}

static void
read_records(struct log *log, struct web_req *req, struct stream *stream)
{
	clk_ms now = sti_now(&log->sti);
	int64_t wait_ms = sti_query(req, "wait_ms", 0);
	struct waiter *waiter;

	stream->reads++;
	apply_retention(log, stream, now);
	waiter = g_new0(struct waiter, 1);
	waiter->log = log;
	waiter->req = req;
	waiter->stream = stream;
	waiter->from = sti_query(req, "from", first_offset(stream));
	waiter->max = CLAMP(sti_query(req, "max", 100), 1, MAX_READ);
	waiter->until = now + CLAMP(wait_ms, 0, MAX_WAIT_MS);
	if (!waiter_answer(waiter, now))
		g_queue_push_tail(&log->waiters, waiter);
}

static void
control(struct log *log, struct web_req *req)
{
	json_t *body = sti_body(req);

	if (body == NULL)
		return;
	sti_take_bool(body, "outage", &log->outage);
	sti_take_int(body, "lose_append_replies", &log->lose_append_replies);
	sti_take_int(body, "delay_ms", &log->delay_ms);
	json_decref(body);
	sti_reply(req, 200, json_object());
	answer_waiters(log);
}

static void
reply_stats(struct log *log, struct web_req *req)
{
	json_t *streams = json_object();
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, log->streams);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct stream *stream = value;

		(void)json_object_set_new(streams, name,
		    json_pack("{s:I,s:I,s:I,s:I}", "appends",
			(json_int_t)stream->appends, "reads",
			(json_int_t)stream->reads, "first",
			(json_int_t)first_offset(stream), "next",
			(json_int_t)stream->next));
	}
	sti_reply(req, 200,
	    json_pack("{s:o,s:I}", "streams", streams, "refused_appends",
		(json_int_t)log->refused));
}

static void
on_request(struct web_req *req, void *arg)
{
	struct log *log = arg;
	g_auto(GStrv) parts = NULL;

	if (sti_is(req, "POST", "/control")) {
		control(log, req);
		return;
	}
	if (sti_is(req, "GET", "/control/stats")) {
		reply_stats(log, req);
		return;
	}
	parts = g_strsplit(web_path(req), "/", 5);
	if (g_strv_length(parts) != 4 || strcmp(parts[1], "streams") != 0 ||
	    strcmp(parts[3], "records") != 0 || parts[2][0] == '\0')
		sti_reply_error(req, 404, "not_found");
	else if (log->outage)
		sti_reply_error(req, 503, "outage");
	else if (strcmp(web_method(req), "POST") == 0)
		append(log, req, find_stream(log, parts[2]));
	else if (strcmp(web_method(req), "GET") == 0)
		read_records(log, req, find_stream(log, parts[2]));
	else
		sti_reply_error(req, 405, "method_not_allowed");
}

int
sti_log_main(int argc, char **argv)
{
	struct log *log = g_new0(struct log, 1);
	GOptionEntry entries[] = {{"appends-per-second", 0, 0, G_OPTION_ARG_INT,
				      &log->appends_per_second,
				      "Appends over all streams (300)", "N"},
	    {"retention-records", 0, 0, G_OPTION_ARG_INT,
		&log->retention_records, "Records kept per stream (100000)",
		"N"},
	    {"retention-seconds", 0, 0, G_OPTION_ARG_INT,
		&log->retention_seconds, "Age of the oldest record (86400)",
		"S"},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

	log->appends_per_second = 300;
	log->retention_records = 100000;
	log->retention_seconds = 86400;
	sti_parse(&log->sti, "log", entries, argc, argv);
	log->tokens = log->appends_per_second;
	log->refilled = sti_now(&log->sti);
	log->streams = g_hash_table_new(g_str_hash, g_str_equal);
	ev_timer_init(&log->tick, on_tick, 0.02, 0.02);
	log->tick.data = log;
	ev_timer_start(log->sti.loop, &log->tick);
	log->sti.web =
	    sti_listen(&log->sti, log->sti.listen_port, on_request, log);
	sti_run(&log->sti, web_port(log->sti.web), 0);
}
