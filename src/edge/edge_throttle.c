/*
 * Tokens of upstreams that name a limit: from this instance's bucket, or from
 * the upstream's home, see throttle/throttle.h.
 */
#include "edge/edge_internal.h"

/*
 * Timeout of a question to a home.  An answer takes 3 ms between data centres;
 * another upstream is chosen before the caller notices.
 */
#define HOME_TIMEOUT_MS 30
/*
 * Time after which a token of a cold upstream is not used: the bound of a
 * second counts on it, see docs/design/cold-upstreams.md.
 */
#define COLD_TOKEN_MS 100
/* Time for which an upstream whose home does not answer is not used. */
#define SILENT_HOME_HOLD_MS 100

static bool
message_send(struct edge *edge, const struct sockaddr_in *to,
    const struct throttle_message *message)
{
	char buf[THROTTLE_MESSAGE_MAX];
	size_t len = throttle_message_encode(buf, sizeof(buf), message);

	return (
	    len > 0 && edge->deps.instance_send(edge->deps.arg, to, buf, len));
}

static uint32_t
upstream_hash(const struct edge_call *call)
{
	return (roster_hash(call->upstream_id));
}

static void
outcome_record(
    const struct edge_call *call, const char *outcome, const clk_ms wait)
{
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);
	struct throttle_limit limit =
	    throttle_get(edge->deps.throttle, upstream_hash(call), now);

	lg_event(edge->deps.lg, LG_INFO, "throttle",
	    "request=%s upstream=%s outcome=%s limit_per_s=%.1f "
	    "limit_age_ms=%u wait_ms=%" G_GINT64_FORMAT
	    " max_wait_ms=%" G_GINT64_FORMAT " asked_ms=%" G_GINT64_FORMAT,
	    call->request.id, call->upstream_id, outcome, limit.rate / 1000.0,
	    limit.age, wait, call->throttle_max_wait,
	    now - call->throttle_since);
	cnt_add(cnt_counter(edge->deps.cnt, "upstream_tokens_total",
		    "Tokens of upstreams with a limit, by outcome.", "outcome",
		    outcome),
	    1);
}

static void
token_refused(struct edge_call *call, const char *outcome, clk_ms wait)
{
	outcome_record(call, outcome, wait);
	throttle_hold(call->edge->deps.throttle, upstream_hash(call),
	    edge_now(call->edge) + wait);
	edge_upstream_refused(call);
}

/* Ends the wait; the caller of this function holds a reference. */
static void
wait_end(struct edge_call *call)
{
	call->throttle_serial = 0;
	call->has_throttle_token = false;
}

static void
timeout_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge_call *call = edge_call_ref(watcher->data);
	bool has_token = call->has_throttle_token;

	(void)loop;
	(void)events;
	(void)g_hash_table_remove(
	    call->edge->throttled, &call->throttle_serial);
	wait_end(call);
	if (has_token)
		edge_upstream_start(call);
	else
		token_refused(call, "timed_out", SILENT_HOME_HOLD_MS);
	edge_call_unref(call);
}

static void
wait_begin(struct edge_call *call, clk_ms time)
{
	struct edge *edge = call->edge;

	if (call->throttle_serial == 0) {
		call->throttle_serial = ++edge->throttle_serial;
		(void)g_hash_table_insert(edge->throttled,
		    &call->throttle_serial, edge_call_ref(call));
	}
	ev_timer_stop(edge->deps.loop, &call->throttle_timer);
	ev_timer_init(&call->throttle_timer, timeout_cb,
	    (double)time / (double)CLK_SECOND, 0.0);
	call->throttle_timer.data = call;
	ev_timer_start(edge->deps.loop, &call->throttle_timer);
}

static void
token_granted(struct edge_call *call, clk_ms wait)
{
	outcome_record(call, wait > 0 ? "reserved" : "granted", wait);
	call->token_at = call->throttle_since + wait;
	if (wait == 0) {
		edge_upstream_start(call);
		return;
	}
	call->has_throttle_token = true;
	wait_begin(call, wait);
}

static void
home_ask(struct edge_call *call)
{
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);
	uint32_t upstream = upstream_hash(call);
	const char *home = roster_home(edge->deps.roster, upstream, 0, now);
	struct throttle_message message = {.kind = THROTTLE_MESSAGE_ASK,
	    .limit = throttle_get(edge->deps.throttle, upstream, now),
	    .max_wait = (uint32_t)call->throttle_max_wait};
	struct sockaddr_in address;

	wait_begin(call, HOME_TIMEOUT_MS);
	message.serial = call->throttle_serial;
	/* If the question isn't sent, it times out. */
	if (home != NULL &&
	    edge->deps.instance_address(edge->deps.arg, home, &address))
		(void)message_send(edge, &address, &message);
}

void
edge_throttle_acquire(struct edge_call *call)
{
	struct edge *edge = call->edge;
	clk_ms wait;

	call->throttle_since = edge_now(edge);
	call->token_at = 0;
	switch (throttle_take(edge->deps.throttle, upstream_hash(call),
	    call->throttle_max_wait, call->throttle_since, &wait)) {
	case THROTTLE_FREE:
		edge_upstream_start(call);
		break;
	case THROTTLE_GRANTED:
		token_granted(call, wait);
		break;
	case THROTTLE_ASK:
		call->throttle_asks++;
		home_ask(call);
		break;
	case THROTTLE_REFUSED:
		call->throttle_asks++;
		token_refused(call, "refused", wait);
		break;
	}
}

bool
edge_throttle_is_current(const struct edge_call *call)
{
	const struct edge *edge = call->edge;

	if (!throttle_is_cold(edge->deps.throttle, upstream_hash(call)))
		return (true);
	return (call->token_at > 0 &&
	    edge_now(edge) - call->token_at <= COLD_TOKEN_MS);
}

bool
edge_throttle_cancel(struct edge_call *call)
{
	if (call->throttle_serial == 0)
		return (false);
	(void)g_hash_table_remove(
	    call->edge->throttled, &call->throttle_serial);
	wait_end(call);
	return (true);
}

static void
on_answer(struct edge *edge, const struct throttle_message *message)
{
	struct edge_call *call =
	    g_hash_table_lookup(edge->throttled, &message->serial);

	throttle_merge(edge->deps.throttle, &message->limit, 1, edge_now(edge));
	/* A token that comes too late is not used. */
	if (call == NULL || call->has_throttle_token ||
	    message->limit.upstream != upstream_hash(call))
		return;
	call = edge_call_ref(call);
	(void)edge_throttle_cancel(call);
	if (message->is_granted)
		token_granted(call, message->wait);
	else
		token_refused(call, "refused", message->wait);
	edge_call_unref(call);
}

static void
on_ask(struct edge *edge, const struct sockaddr_in *from,
    const struct throttle_message *message)
{
	struct throttle_message answer = *message;
	clk_ms now = edge_now(edge);
	clk_ms wait;

	answer.kind = THROTTLE_MESSAGE_ANSWER;
	answer.is_granted =
	    throttle_grant(edge->deps.throttle, &message->limit,
		message->max_wait, now, &wait) != THROTTLE_REFUSED;
	answer.limit =
	    throttle_get(edge->deps.throttle, message->limit.upstream, now);
	answer.wait = (uint32_t)CLAMP(wait, 0, UINT32_MAX);
	/* If the answer isn't sent, the question times out. */
	(void)message_send(edge, from, &answer);
}

void
edge_throttle_receive(
    struct edge *edge, const struct sockaddr_in *from, char *data, size_t len)
{
	struct throttle_message message;

	if (!throttle_message_decode(data, len, &message)) {
		lg_event(edge->deps.lg, LG_WARNING, "datagram_refused",
		    "bytes=%zu", len);
		return;
	}
	switch ((enum throttle_kind)message.kind) {
	case THROTTLE_MESSAGE_ASK:
		on_ask(edge, from, &message);
		break;
	case THROTTLE_MESSAGE_ANSWER:
		on_answer(edge, &message);
		break;
	}
}

static void
throttled_free(void *data)
{
	struct edge_call *call = data;

	ev_timer_stop(call->edge->deps.loop, &call->throttle_timer);
	edge_call_unref(call);
}

void
edge_throttle_open(struct edge *edge)
{
	edge->throttled = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, throttled_free);
}

void
edge_throttle_close(struct edge *edge)
{
	g_hash_table_destroy(edge->throttled);
}
