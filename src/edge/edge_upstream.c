/*
 * Sends a request to upstreams, with retries, and the response to the caller.
 */
#include <math.h>
#include <string.h>

#include "edge/edge_internal.h"
#include "lib/fnv.h"

#define CONNECT_TIMEOUT_MS 300
/* Retry-After when every upstream is full or unreachable. */
#define RETRY_NO_UPSTREAM_MS 300
/*
 * Part of the time in which an answer should come that a request waits for an
 * upstream's token, and part of the time that its caller has left.
 */
#define TOKEN_WAIT_PART	     0.5
#define TOKEN_WAIT_LEFT_PART 0.25
/* Lowest Retry-After when no upstream has a token. */
#define RETRY_NO_TOKEN_MIN_MS 50
/*
 * Tokens that a request asks for before it goes to an upstream without a
 * limit, and before it is refused if there is none: a question takes 3 ms.
 */
#define TOKEN_ASKS_FIRST 2
#define TOKEN_ASKS_MAX	 6
/* Retry-After of a request that crashes upstreams. */
#define RETRY_BLOCKED_MS 5000
/*
 * Bytes of a response, its head included, and of a stream.  Beyond them the
 * attempt has failed.
 */
#define ANSWER_BYTES_MAX ((size_t)4 << 20)
#define STREAM_BYTES_MAX ((size_t)16 << 20)
/* Output of a turn; the store takes less. */
#define TURN_OUTPUT_MAX ((size_t)1 << 20)
/* Expected output of a turn whose caller gives no length hint. */
#define DEFAULT_OUTPUT_TOKENS 256
/*
 * Time for which the kernel may hold what was sent into a network that is cut:
 * the timeout of an unacknowledged segment (hcp.c, 1.5 s), and its timer's.
 */
#define SEND_HELD_MS 2000
/* Lower bound of an instance's share of the connections to an upstream. */
#define MIN_CONNECTIONS 4

static enum hcp_take on_head(void *arg, const struct hmsg_head *head);
static void on_data(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum hcp_end end, bool timed_out);

static bool may_send(void *arg);

static const struct hcp_handler upstream_handler = {on_head, on_data, on_end};

/* Whether the request may be run again after an upstream may have run it. */
static bool
is_repeatable(const struct edge_call *call)
{
	return (call->route->kind == CATALOGUE_SAFE ||
	    (call->route->kind == CATALOGUE_STREAM && call->route->resumable));
}

static unsigned
connection_share(const struct edge_call *call)
{
	unsigned share;

	if (call->service == NULL || call->service->max_connections == 0)
		return (0);
	share = call->service->max_connections / call->edge->instances;
	return (MAX(share, MIN_CONNECTIONS));
}

/* The longest time that a request may wait for an upstream's token. */
static clk_ms
token_wait_max(const struct edge_call *call)
{
	clk_ms left = call->deadline - edge_now(call->edge);

	return ((clk_ms)fmax(0,
	    fmin(TOKEN_WAIT_PART * (double)call->route->target_latency,
		TOKEN_WAIT_LEFT_PART * (double)left)));
}

struct place_request
edge_place_request(const struct edge_call *call)
{
	unsigned tokens = call->request.length_hint;
	struct place_request request = {
	    .service = call->service_name,
	    .slots = call->service != NULL && call->service->has_engine
		? call->service->slots
		: 0,
	    .parts = call->request.parts,
	    .part_count = call->request.part_count,
	    .bytes = hsv_body(call->client)->len +
		(call->history != NULL ? call->history->len : 0),
	    .left = MAX(call->deadline - edge_now(call->edge), 1),
	    .max_connections = connection_share(call),
	    .tried = call->tried,
	    .tried_count = call->attempts,
	    .throttle = call->edge->deps.throttle,
	    .reach = call->edge->deps.reach,
	};

	request.route_regions = call->route->allowed_regions;
	if (call->organisation != NULL)
		request.organisation_regions =
		    call->organisation->allowed_regions;
	if (call->route->sticky && call->request.object != NULL)
		request.object = (uint32_t)fnv_hash(call->request.object);
	if (tokens == 0)
		tokens = DEFAULT_OUTPUT_TOKENS;
	if (call->request.turn_max_tokens > 0 &&
	    tokens > call->request.turn_max_tokens)
		tokens = (unsigned)call->request.turn_max_tokens;
	request.output_tokens = tokens;
	return (request);
}

/*
 * Chooses an upstream that may have a token; or one without a limit, once the
 * request was refused some tokens; or else one that will have a token soon.
 */
static bool
upstream_choose(struct edge_call *call)
{
	struct edge *edge = call->edge;
	struct place_request request = edge_place_request(call);
	clk_ms now = edge_now(edge);

	if (call->attempts == EDGE_MAX_ATTEMPTS)
		return (false);
	if (!edge_version_request(call, &request))
		return (false);
	request.is_unlimited_only = call->throttle_asks >= TOKEN_ASKS_FIRST;
	if (!place_choose(edge->deps.place, &request, now, &call->handle)) {
		request.is_unlimited_only = false;
		request.max_wait = token_wait_max(call);
		if (call->throttle_asks >= TOKEN_ASKS_MAX ||
		    !place_choose(
			edge->deps.place, &request, now, &call->handle))
			return (false);
	}
	call->tried[call->attempts++] = call->handle;
	call->is_choice_bound = request.version != NULL;
	call->throttle_max_wait = request.max_wait;
	return (true);
}

/* Time after which a request that no upstream takes now may come again. */
static clk_ms
retry_after(const struct edge_call *call)
{
	struct edge *edge = call->edge;
	struct place_request request = edge_place_request(call);
	clk_ms now = edge_now(edge);
	clk_ms until = edge_version_request(call, &request)
	    ? place_held_until(edge->deps.place, &request, now)
	    : 0;
	double spread;

	if (evacuations_is_stale(place_evacuations(edge->deps.place), now))
		return (edge_store_retry_after(edge));
	if (until == 0)
		return (RETRY_NO_UPSTREAM_MS);
	/* Callers that are refused together don't return together. */
	spread = g_rand_double_range(edge->rand, 1.0, 2.0);
	return (MAX(
	    (clk_ms)((double)(until - now) * spread), RETRY_NO_TOKEN_MIN_MS));
}

static void
body_append(GByteArray *out, const GByteArray *data)
{
	if (data != NULL && data->len > 0)
		(void)g_byte_array_append(out, data->data, data->len);
}

/* A repeated request is recognised by its caller, path and body. */
static void
fingerprint_compute(struct edge_call *call)
{
	const GByteArray *body = hsv_body(call->client);
	const GString *target = hsv_head(call->client)->target;
	const char *organisation =
	    call->organisation != NULL ? call->organisation->name : "";
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = sizeof(call->fingerprint);

	/* The terminating zero bytes separate the parts. */
	g_checksum_update(checksum, (const guchar *)organisation,
	    (gssize)strlen(organisation) + 1);
	g_checksum_update(
	    checksum, (const guchar *)target->str, (gssize)target->len + 1);
	g_checksum_update(checksum, body->data, body->len);
	g_checksum_get_digest(checksum, call->fingerprint, &size);
	g_checksum_free(checksum);
}

/* Record that the upstream failed while it may have run the request. */
static void
crash_record(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const struct place_entry *entry =
	    place_entry_get(edge->deps.place, call->handle);
	/* An upstream may restart with the same id. */
	g_autofree char *upstream = g_strdup_printf("%s/%" G_GINT64_FORMAT,
	    call->upstream_id, entry != NULL ? entry->started : 0);

	fingerprint_compute(call);
	crash_table_add(edge->deps.crashes, call->fingerprint, upstream, true,
	    edge_now(edge));
}

static bool
is_blocked(struct edge_call *call)
{
	struct edge *edge = call->edge;

	if (crash_table_is_empty(edge->deps.crashes))
		return (false);
	fingerprint_compute(call);
	return (crash_table_is_blocked(
	    edge->deps.crashes, call->fingerprint, edge_now(edge)));
}

/* Whether the request may run in some regions only. */
static bool
is_restricted(const struct edge_call *call)
{
	return (call->route->allowed_regions != NULL ||
	    (call->organisation != NULL &&
		call->organisation->allowed_regions != NULL));
}

void
edge_upstream_send(struct edge_call *call)
{
	const struct place_entry *upstream;

	if ((call->runs == 0 || call->is_lost) && is_blocked(call)) {
		edge_refuse_not_run(call, VD_QUEUE_FULL, RETRY_BLOCKED_MS,
		    "the request has crashed the upstreams that ran it");
		return;
	}
	if (!edge_admission_pass(call))
		return;
	if (!edge_intake_fits(call)) {
		edge_refuse_unless_run(call, RETRY_NO_UPSTREAM_MS,
		    "the instance has no memory for the request now");
		return;
	}
	if (!upstream_choose(call)) {
		edge_refuse_unless_run(call, retry_after(call),
		    is_restricted(call)
			? "no upstream of the allowed regions can take the "
			  "request now"
			: "no upstream can take the request now");
		return;
	}
	upstream = place_entry_get(call->edge->deps.place, call->handle);
	(void)g_strlcpy(
	    call->upstream_id, upstream->id, sizeof(call->upstream_id));
	edge_version_record(call, upstream->version);
}

void
edge_upstream_refused(struct edge_call *call)
{
	place_request_end(call->edge->deps.place, call->handle, PLACE_CANCELLED,
	    edge_now(call->edge));
	call->attempts--;
	call->is_admitted = true;
	edge_upstream_send(call);
}

static void
sent_record(struct edge *edge, const char *datacentre, size_t bytes)
{
	cnt_add(cnt_counter(edge->deps.cnt, "upstream_requests_total",
		    "Requests sent to upstreams, by data centre.", "datacentre",
		    datacentre),
	    1);
	cnt_add(cnt_counter(edge->deps.cnt, "upstream_request_bytes_total",
		    "Their bytes.", "datacentre", datacentre),
	    (int64_t)bytes);
}

/*
 * The longest time for which the connection may have been idle; 0: any.  When
 * an evacuation could take effect while the kernel holds the request, only a
 * connection that is established now shows that it will not be held.
 */
static clk_ms
idle_max(const struct edge *edge)
{
	const struct evacuations *evacuations =
	    place_evacuations(edge->deps.place);

	return (evacuations_is_stale(evacuations, edge_now(edge) + SEND_HELD_MS)
		? 1
		: 0);
}

void
edge_upstream_start(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const struct hmsg_head *head = hsv_head(call->client);
	const GByteArray *input = hsv_body(call->client);
	const struct place_entry *upstream =
	    place_entry_get(edge->deps.place, call->handle);
	struct edge_forward forward;
	struct hcp_request request;
	g_autoptr(GByteArray) body = NULL;
	g_autoptr(GString) out = g_string_sized_new(1024);

	if (!place_is_open(edge->deps.place, call->handle,
		call->is_choice_bound, edge_now(edge))) {
		/* It leaves, or has left, while the request waited. */
		edge_upstream_refused(call);
		return;
	}
	place_parts_record(edge->deps.place, call->handle, call->request.parts,
	    call->request.part_count, edge_now(edge));
	/* hcp_start() copies it; only a body with a history is joined here. */
	if (call->history == NULL || call->history->len == 0) {
		body = g_byte_array_ref((GByteArray *)input);
	} else {
		body = g_byte_array_new();
		body_append(body, call->history);
		body_append(body, input);
	}
	call->sent_at = edge_now(edge);
	call->heard = call->sent_at;
	call->last_event = 0;
	call->is_lost = false;
	call->is_withheld = false;
	call->is_overdue = false;
	forward = (struct edge_forward){
	    .upstream_id = upstream->id,
	    .organisation =
		call->organisation != NULL ? call->organisation->name : NULL,
	    .timeout = MAX(call->deadline - call->sent_at, 1),
	    .resume_after = call->last_id != NULL ? call->last_id->str : NULL,
	    .body_len = body->len,
	};
	edge->deps.wire->request_encode(out, head, &forward);
	sent_record(edge, upstream->datacentre, out->len + body->len);
	request = (struct hcp_request){
	    .address = upstream->address,
	    .head = out,
	    .body = body->data,
	    .body_len = body->len,
	    .connect_timeout = CONNECT_TIMEOUT_MS,
	    .max_bytes = call->route->kind == CATALOGUE_STREAM
		? STREAM_BYTES_MAX
		: ANSWER_BYTES_MAX,
	    .is_head = strcmp(head->method, "HEAD") == 0,
	    .max_idle = idle_max(edge),
	    .may_send = may_send,
	    .handler = &upstream_handler,
	    .arg = call,
	};
	call->has_reply = false;
	call->attempt_events = 0;
	call->upstream = hcp_start(edge->hcp, &request);
	call->attempt_link.data = call;
	g_queue_push_tail_link(&edge->attempts, &call->attempt_link);
}

/*
 * Whether the upstream may still get the request, now that a connection is
 * there: the process may have been suspended, or news have come meanwhile.
 */
static bool
may_send(void *arg)
{
	struct edge_call *call = arg;

	call->is_withheld = !place_is_open(call->edge->deps.place, call->handle,
				call->is_choice_bound, edge_now(call->edge)) ||
	    !edge_throttle_is_current(call);
	return (!call->is_withheld);
}

/* The attempt has got an answer, or has ended. */
static void
overdue_clear(struct edge_call *call)
{
	if (call->is_overdue)
		place_overdue_set(call->edge->deps.place, call->handle, false);
	call->is_overdue = false;
}

static void
attempt_unlink(struct edge_call *call)
{
	overdue_clear(call);
	if (call->upstream != NULL)
		g_queue_unlink(&call->edge->attempts, &call->attempt_link);
	call->upstream = NULL;
}

void
edge_upstream_cancel(struct edge_call *call)
{
	enum place_outcome outcome =
	    call->is_overdue ? PLACE_SILENT : PLACE_CANCELLED;

	if (call->upstream == NULL && !edge_throttle_cancel(call) &&
	    !edge_version_cancel(call))
		return;
	if (call->upstream != NULL)
		hcp_cancel(call->upstream);
	attempt_unlink(call);
	place_request_end(call->edge->deps.place, call->handle, outcome,
	    edge_now(call->edge));
	edge_admission_ended(call);
}

void
edge_reply_clear(struct edge_call *call)
{
	if (call->reply_body == NULL)
		return;
	call->edge->reply_bytes -= call->reply_body->len;
	(void)g_byte_array_set_size(call->reply_body, 0);
}

/*
 * Remember the rate that the upstream names.  Only a whole answer of its own
 * without one says that there is none.
 */
static void
limit_observe(struct edge_call *call)
{
	struct edge *edge = call->edge;
	const struct edge_reply *reply = &call->reply;
	uint32_t rate = throttle_rate(reply->rate_limit);
	uint32_t before;

	if (reply->is_misdirected || (rate == 0 && !reply->is_signed))
		return;
	before = throttle_observe(edge->deps.throttle,
	    roster_hash(call->upstream_id), rate, call->sent_at,
	    edge_now(edge));
	if (before == rate)
		return;
	lg_event(edge->deps.lg, LG_INFO, "upstream_limit",
	    "request=%s upstream=%s limit_per_s=%.1f before_per_s=%.1f "
	    "limited=%u",
	    call->request.id, call->upstream_id, reply->rate_limit,
	    before / 1000.0, throttle_limited(edge->deps.throttle));
}

/* An answer that is misdirected speaks of another upstream. */
static void
leaving_observe(struct edge_call *call)
{
	struct edge *edge = call->edge;

	if (!call->reply.is_leaving || call->reply.is_misdirected ||
	    place_leaving_record(
		edge->deps.place, call->handle, edge_now(edge)) == 0)
		return;
	lg_event(edge->deps.lg, LG_NOTICE, "upstream_leaving",
	    "request=%s upstream=%s by=answer", call->request.id,
	    call->upstream_id);
}

static enum hcp_take
on_head(void *arg, const struct hmsg_head *head)
{
	struct edge_call *call = arg;
	struct edge *edge = call->edge;
	struct edge_reply *reply = &call->reply;

	call->heard = edge_now(edge);
	edge->deps.wire->reply_decode(head, call->request.id, reply);
	leaving_observe(call);
	/* Upstreams that refuse may leave the id out. */
	if (reply->is_foreign || (!reply->is_for_request && !reply->is_not_run))
		return (HCP_SKIP);
	call->has_reply = true;
	overdue_clear(call);
	limit_observe(call);
	if (call->reply_fields == NULL)
		call->reply_fields = g_string_new(NULL);
	if (call->reply_body == NULL)
		call->reply_body = g_byte_array_new();
	(void)g_string_truncate(call->reply_fields, 0);
	edge_reply_clear(call);
	edge->deps.wire->reply_encode(call->reply_fields, head);
	place_first_byte_record(edge->deps.place, call->handle,
	    (double)(edge_now(edge) - call->sent_at));
	if (call->route->kind == CATALOGUE_STREAM && reply->status == 200 &&
	    reply->is_signed && !reply->is_encoded) {
		if (call->sse.partial == NULL)
			sse_init(&call->sse);
		call->is_streaming = true;
		call->is_undelimited = head->is_undelimited;
		call->runs++;
	}
	/* A late copy without an id could not be told from a later answer. */
	return (reply->is_for_request ? HCP_TAKE : HCP_TAKE_LAST);
}

/* Remember the id of the last event, after which the stream could go on. */
static void
event_id_record(struct edge_call *call, const char *event, size_t len)
{
	size_t id_len;
	const char *id = sse_id_find(event, len, &id_len);

	if (id == NULL)
		return;
	if (call->last_id == NULL)
		call->last_id = g_string_new(NULL);
	(void)g_string_truncate(call->last_id, 0);
	(void)g_string_append_len(call->last_id, id, (gssize)id_len);
}

static void
on_event(void *arg, const char *event, size_t len)
{
	struct edge_call *call = arg;
	struct edge *edge = call->edge;
	double now = ev_now(edge->deps.loop);

	if (call->client == NULL)
		return;
	call->attempt_events++;
	if (call->events++ == 0) {
		call->first_event_ms = edge_now(edge) - call->sent_at;
		hsv_stream_begin(call->client, 200, call->reply_fields->str);
	}
	if (call->last_event > 0 && call->service != NULL)
		place_event_gap_record(edge->deps.place, call->handle,
		    (now - call->last_event) * 1000.0,
		    call->service->tokens_per_event);
	call->last_event = now;
	if (call->turn != NULL)
		sse_data_append(call->turn->output, event, len);
	if (is_repeatable(call))
		event_id_record(call, event, len);
	/* This may end the call, if the caller has disconnected. */
	edge_event_send(call, event, len);
}

/* Give up an upstream whose response does not end. */
static void
attempt_cut(struct edge_call *call)
{
	hcp_cancel(call->upstream);
	on_end(call, HCP_CUT, false);
}

/* Counts what is kept of the stream; returns whether it is too much. */
static bool
is_held_too_much(struct edge_call *call)
{
	struct edge *edge = call->edge;
	size_t output = call->turn != NULL ? call->turn->output->len : 0;
	size_t held = output + edge_checkpoint_bytes(call) +
	    (call->sse.partial != NULL ? call->sse.partial->len : 0);

	edge->reply_bytes += held - call->held_bytes;
	call->held_bytes = held;
	return (call->sse.is_too_long || output > TURN_OUTPUT_MAX ||
	    (held > 0 && !edge_answers_fit(edge, 0)));
}

static void
on_data(void *arg, const char *data, size_t len)
{
	struct edge_call *call = arg;

	call->heard = edge_now(call->edge);
	if (call->is_streaming) {
		(void)edge_call_ref(call);
		sse_push(&call->sse, data, len, on_event, call);
		if (call->client != NULL && is_held_too_much(call))
			attempt_cut(call);
		edge_call_unref(call);
	} else if (!edge_answers_fit(call->edge, len)) {
		attempt_cut(call);
	} else {
		call->edge->reply_bytes += len;
		(void)g_byte_array_append(
		    call->reply_body, (const guint8 *)data, (guint)len);
	}
}

/* Send the upstream's complete response to the caller. */
static void
reply_forward(struct edge_call *call)
{
	struct hsv_call *client = call->client;
	int status = call->reply.status;
	GString *fields = call->reply_fields;
	GByteArray *body = call->reply_body;

	call->edge->reply_bytes -= body->len;
	call->reply_fields = NULL;
	call->reply_body = NULL;
	edge_call_end(
	    call, status < 400 ? "served" : "upstream_status", status);
	hsv_answer(client, status, fields->str, body->data, body->len);
	(void)g_string_free(fields, TRUE);
	(void)g_byte_array_unref(body);
}

/*
 * Whether the response may be forwarded to the caller.  A success must be
 * signed and unencoded.  Statuses that promise that the request has not run
 * are only accepted from an upstream that states so explicitly.
 */
static bool
is_reply_forwardable(const struct edge_call *call)
{
	const struct edge_reply *reply = &call->reply;

	if (!reply->is_for_request || reply->is_encoded)
		return (false);
	if (reply->status >= 200 && reply->status < 300)
		return (reply->is_signed);
	switch (reply->status) {
	case 408:
	case 421:
	case 429:
	case 503:
		return (false);
	case 402:
	case 404:
	case 410:
		/* On a stateful route these refer to turns and budgets. */
		return (!call->route->stateful);
	default:
		return (true);
	}
}

static void
attempt_fail(struct edge_call *call, bool may_have_run, const char *detail)
{
	struct vd verdict;

	if (may_have_run && is_repeatable(call) &&
	    call->runs - call->lost < call->route->max_attempts &&
	    edge_now(call->edge) < call->deadline) {
		edge_upstream_send(call);
		return;
	}
	verdict = vd_make(VD_MAYBE, VD_UPSTREAM_FAILED, "%s", detail);
	edge_refuse(call, &verdict);
}

/*
 * Whether the stream has ended, not broken off.  If it ends with its
 * connection, only the events tell: it has some, and the last one is whole.
 */
static bool
is_stream_complete(const struct edge_call *call, enum hcp_end end)
{
	return (end == HCP_COMPLETE && call->sse.partial->len == 0 &&
	    (!call->is_undelimited || call->attempt_events > 0));
}

/*
 * Go on with a stream whose upstream is out of reach, at another one of the
 * same software version, within the same response.  Returns false if it can't.
 */
static bool
stream_continue(struct edge_call *call)
{
	const struct place_entry *entry =
	    place_entry_get(call->edge->deps.place, call->handle);

	if (!call->is_lost || !is_repeatable(call) || call->last_id == NULL ||
	    entry == NULL || edge_now(call->edge) >= call->deadline)
		return (false);
	edge_version_bind(call, entry->version);
	call->is_streaming = false;
	sse_clear(&call->sse);
	edge_upstream_send(call);
	return (true);
}

static void
stream_finish(struct edge_call *call, enum hcp_end end)
{
	struct hsv_call *client = call->client;

	if (is_stream_complete(call, end)) {
		edge_budget_settle(call);
		if (call->events == 0)
			hsv_stream_begin(client, 200, call->reply_fields->str);
		edge_turn_record(call);
	} else if (call->events > 0 && !stream_continue(call)) {
		edge_call_end(call, "stream_cut", 0);
		hsv_abort(client);
	} else if (call->events == 0) {
		/* The caller has got nothing of it. */
		call->is_streaming = false;
		sse_clear(&call->sse);
		attempt_fail(call, true, "the upstream broke the stream off");
	}
}

static void
on_end(void *arg, enum hcp_end end, bool timed_out)
{
	struct edge_call *call = arg;
	struct edge *edge = call->edge;
	enum place_outcome outcome = PLACE_SERVED;
	bool is_rejected = end == HCP_COMPLETE && call->has_reply &&
	    (call->reply.is_not_run || call->reply.is_misdirected);

	attempt_unlink(call);
	if (call->is_withheld) {
		/* A token was used up; those that a call asks for are few. */
		call->throttle_asks++;
		edge_upstream_refused(call);
		return;
	}
	if (end == HCP_NOT_SENT || call->is_lost)
		outcome = PLACE_UNREACHABLE;
	else if (end != HCP_COMPLETE ||
	    (call->is_streaming && !is_stream_complete(call, end)))
		outcome = PLACE_FAILED;
	else if (is_rejected && call->reply.is_misdirected)
		outcome = PLACE_MISDIRECTED;
	else if (is_rejected)
		outcome = PLACE_REJECTED;
	else if (call->has_reply && call->reply.status >= 500)
		outcome = PLACE_ERROR;
	place_request_end(
	    edge->deps.place, call->handle, outcome, edge_now(edge));
	edge_admission_ended(call);
	if (outcome != PLACE_SERVED && outcome != PLACE_ERROR)
		lg_event(edge->deps.lg, LG_INFO, "attempt",
		    "request=%s upstream=%s try=%u end=%d timed_out=%d "
		    "status=%d not_run=%d misdirected=%d lost=%d",
		    call->request.id, call->upstream_id, call->attempts, end,
		    timed_out, call->has_reply ? call->reply.status : 0,
		    call->has_reply && call->reply.is_not_run,
		    call->has_reply && call->reply.is_misdirected,
		    call->is_lost);
	if (outcome == PLACE_FAILED && !timed_out)
		crash_record(call);
	if (call->is_streaming) {
		stream_finish(call, end);
	} else if (end == HCP_NOT_SENT || is_rejected) {
		edge_upstream_send(call);
	} else if (call->events > 0) {
		/* A stream that went on here got no stream. */
		attempt_fail(call, false, "the stream can't go on");
	} else if (end != HCP_COMPLETE) {
		call->runs++;
		attempt_fail(
		    call, true, "the upstream closed the connection early");
	} else if (is_reply_forwardable(call)) {
		call->runs++;
		reply_forward(call);
	} else {
		call->runs++;
		attempt_fail(call, true, "the upstream's answer can't be used");
	}
}

void
edge_upstream_lost(struct edge_call *call)
{
	enum hcp_end end = call->has_reply ? HCP_CUT : HCP_NO_ANSWER;

	call->is_lost = true;
	/* A stream's run is counted when its head arrives. */
	call->lost++;
	hcp_cancel(call->upstream);
	on_end(call, end, true);
}
