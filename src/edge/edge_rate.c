/*
 * Admission of requests within their organisation's rate: tokens of this
 * instance, or of the organisation's homes.
 */
#include "edge/edge_internal.h"
#include "quota/token.h"

/*
 * Timeout of a question to a home.  An answer takes 3 ms between data centres;
 * the next home is asked before the caller notices.
 */
#define HOME_TIMEOUT_MS 30
/*
 * Pause of a request that no home has answered, before it asks all again: a
 * home that ends is replaced when the next messages have arrived, which are
 * sent every 100 ms.
 */
#define ASK_AGAIN_MS 40
/*
 * Retry-After of a request that no home has answered until the end.  It has
 * waited for most of the time in which the fleet finds a new home.
 */
#define RETRY_NO_HOME_MS 300
/* Minimum Retry-After of a request above its organisation's rate. */
#define RETRY_RATE_MIN_MS 100
/* The same for a new program: by then a turn of another program has ended. */
#define RETRY_NEW_PROGRAM_MIN_MS 250

static void home_ask(struct edge_call *call);

static void
rate_refuse(struct edge_call *call, clk_ms wait)
{
	const struct quota_state *state = &call->rate;
	const struct catalogue_organisation *organisation = call->organisation;
	bool is_new_program = call->priority == QUOTA_NEW_PROGRAM;
	char name[80];

	lg_event(call->edge->deps.lg, LG_INFO, "rate",
	    "request=%s organisation=%s rate=%.0f burst=%.0f new_program=%d "
	    "level=%.1f expected=%.1f part=%.3f share=%.3f unreported=%u "
	    "asked=%u wait_ms=%" G_GINT64_FORMAT,
	    call->request.id, lg_quote(name, sizeof(name), organisation->name),
	    organisation->rate, organisation->burst, is_new_program,
	    state->level, state->expected, state->part, state->share,
	    state->unreported, call->homes_asked, wait);
	edge_refuse_not_run(call, VD_RATE_EXCEEDED,
	    MAX(wait,
		is_new_program ? RETRY_NEW_PROGRAM_MIN_MS : RETRY_RATE_MIN_MS),
	    "above the organisation's rate");
}

static bool
message_send(struct edge *edge, const struct sockaddr_in *to,
    const struct token_message *message)
{
	char buf[TOKEN_MESSAGE_MAX];
	size_t len = token_encode(buf, sizeof(buf), message);

	return (
	    len > 0 && edge->deps.instance_send(edge->deps.arg, to, buf, len));
}

static void
token_return(struct edge *edge, const struct sockaddr_in *home,
    const struct quota_limit *limit)
{
	const struct token_message message = {
	    .kind = TOKEN_RETURN, .limit = *limit};

	if (!message_send(edge, home, &message))
		lg_event(edge->deps.lg, LG_INFO, "token_not_returned",
		    "organisation_hash=%u", limit->organisation);
}

static void
asking_free(void *data)
{
	struct edge_call *call = data;

	ev_timer_stop(call->edge->deps.loop, &call->ask_timer);
	edge_call_unref(call);
}

static void
ask_record(struct edge_call *call, const char *outcome)
{
	struct edge *edge = call->edge;
	char name[80];

	lg_event(edge->deps.lg, LG_INFO, "token",
	    "request=%s organisation=%s home=%s outcome=%s "
	    "waited_ms=%" G_GINT64_FORMAT,
	    call->request.id,
	    lg_quote(name, sizeof(name), call->organisation->name), call->home,
	    outcome, edge_now(edge) - call->asked_at);
	cnt_add(cnt_counter(edge->deps.cnt, "tokens_asked_total",
		    "Tokens asked of homes, by outcome.", "outcome", outcome),
	    1);
}

static void
timeout_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct edge_call *call = edge_call_ref(watcher->data);
	struct edge *edge = call->edge;

	(void)loop;
	(void)events;
	(void)g_hash_table_remove(edge->asking, &call->ask_serial);
	if (!call->is_ask_paused) {
		silence_timed_out(
		    edge->silence, &call->home_address, edge_now(edge));
		call->homes_passed++;
		call->is_home_silent = true;
		if (call->client != NULL)
			ask_record(call, "timed_out");
	}
	call->is_ask_paused = false;
	if (call->client != NULL)
		home_ask(call);
	edge_call_unref(call);
}

static void
ask_wait(struct edge_call *call, clk_ms time)
{
	struct edge *edge = call->edge;

	call->ask_serial = ++edge->ask_serial;
	call->asked_at = edge_now(edge);
	ev_timer_init(&call->ask_timer, timeout_cb,
	    (double)time / (double)CLK_SECOND, 0.0);
	call->ask_timer.data = call;
	ev_timer_start(edge->deps.loop, &call->ask_timer);
	(void)g_hash_table_insert(
	    edge->asking, &call->ask_serial, edge_call_ref(call));
}

static void
home_refuse(struct edge_call *call)
{
	struct edge *edge = call->edge;
	char name[80];

	lg_event(edge->deps.lg, LG_INFO, "rate_undecided",
	    "request=%s organisation=%s asked=%u silent=%d "
	    "waited_ms=%" G_GINT64_FORMAT,
	    call->request.id,
	    lg_quote(name, sizeof(name), call->organisation->name),
	    call->homes_asked, call->is_home_silent,
	    edge_now(edge) - call->ask_since);
	cnt_add(cnt_counter(edge->deps.cnt, "rate_undecided_total",
		    "Requests refused because no home answered.", NULL, NULL),
	    1);
	edge_refuse_not_run(call, VD_OWNER_UNREACHABLE, RETRY_NO_HOME_MS,
	    "no home of the organisation's rate answered");
}

/*
 * All homes were asked.  The request asks again later if none of them knows
 * whether it is above the rate: they don't answer, or are no homes any more.
 */
static void
round_end(struct edge_call *call)
{
	struct edge *edge = call->edge;

	if (call->ask_wait > 0 ||
	    (!call->is_home_silent && !roster_is_relayed(edge->deps.roster))) {
		rate_refuse(call, call->ask_wait);
		return;
	}
	if (edge_now(edge) + ASK_AGAIN_MS > call->ask_until) {
		home_refuse(call);
		return;
	}
	call->home_rank = 0;
	call->homes_passed = 0;
	call->is_ask_paused = true;
	ask_wait(call, ASK_AGAIN_MS);
}

/* Whether this instance, as a home of that rank, has a token for the call. */
static bool
own_home_grant(struct edge_call *call, unsigned rank)
{
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);

	return (roster_is_relayed(edge->deps.roster) &&
	    roster_is_home(
		edge->deps.roster, call->limit.organisation, rank, now) &&
	    quota_grant(edge->deps.quota, &call->limit, call->priority, now,
		&call->ask_wait));
}

/* Asks a home; returns false if it is passed over. */
static bool
question_send(struct edge_call *call, const char *home)
{
	struct edge *edge = call->edge;
	const struct token_message message = {.kind = TOKEN_ASK,
	    .serial = edge->ask_serial + 1,
	    .limit = call->limit,
	    .priority = call->priority,
	    .instance = roster_own_hash(edge->deps.roster),
	    .program = call->program != NULL
		? active_programs_hash(call->program)
		: 0};

	if (!edge->deps.instance_address(
		edge->deps.arg, home, &call->home_address) ||
	    !silence_is_asked(
		edge->silence, &call->home_address, edge_now(edge)) ||
	    !message_send(edge, &call->home_address, &message)) {
		call->is_home_silent = true;
		return (false);
	}
	call->home = g_intern_string(home);
	call->homes_asked++;
	ask_wait(call, HOME_TIMEOUT_MS);
	return (true);
}

/*
 * Asks the next home.  For each one that was passed over, the next of the
 * ranking is asked, which would be a home without it.
 */
static void
home_ask(struct edge_call *call)
{
	struct edge *edge = call->edge;
	clk_ms now = edge_now(edge);

	if (call->ask_until == 0) {
		call->ask_since = now;
		call->ask_until = silence_give_up_at(now, call->deadline);
	}
	while (call->home_rank <
	    MIN(ROSTER_HOMES + call->homes_passed, ROSTER_RANKS)) {
		unsigned rank = call->home_rank++;
		const char *home = roster_home(
		    edge->deps.roster, call->limit.organisation, rank, now);

		if (home != NULL) {
			if (question_send(call, home))
				return;
			call->homes_passed++;
		} else if (own_home_grant(call, rank)) {
			call->is_counted = true;
			edge_call_admitted(call);
			return;
		}
		if (call->ask_wait > 0 &&
		    roster_is_relayed(edge->deps.roster)) {
			rate_refuse(call, call->ask_wait);
			return;
		}
	}
	round_end(call);
}

/* The home knows which instance the program's first request came to. */
static void
program_first_set(struct edge_call *call, uint32_t first)
{
	struct edge *edge = call->edge;
	const char *name = roster_name(edge->deps.roster, first);
	uint64_t hash;

	if (first == 0 || name == NULL || call->program == NULL)
		return;
	hash = active_programs_hash(call->program);
	active_programs_merge(
	    edge->deps.activity, name, &hash, 1, edge_now(edge));
}

static void
on_answer(struct edge *edge, const struct sockaddr_in *from,
    const struct token_message *message)
{
	struct edge_call *call =
	    g_hash_table_lookup(edge->asking, &message->serial);

	silence_answered(edge->silence, from);
	if (call == NULL) {
		/* The question timed out, or the caller has disconnected. */
		if (message->is_granted)
			token_return(edge, from, &message->limit);
		return;
	}
	call = edge_call_ref(call);
	(void)g_hash_table_remove(edge->asking, &message->serial);
	if (call->client == NULL) {
		if (message->is_granted)
			token_return(edge, from, &message->limit);
	} else if (message->is_granted) {
		ask_record(call, "granted");
		call->is_counted = true;
		call->is_from_home = true;
		program_first_set(call, message->instance);
		edge_call_admitted(call);
	} else {
		bool is_relayed = roster_is_relayed(edge->deps.roster);
		bool is_known = !is_relayed || message->wait_ms > 0;

		ask_record(call, is_known ? "refused" : "undecided");
		call->ask_wait = message->wait_ms;
		call->homes_passed += !is_known;
		if (is_relayed && is_known)
			rate_refuse(call, call->ask_wait);
		else
			home_ask(call);
	}
	edge_call_unref(call);
}

/*
 * In a large fleet the home sees all requests of the organisation, and so
 * knows its programs better than the instance that asks.
 */
static void
program_join(struct edge *edge, struct token_message *message)
{
	const char *asker = roster_name(edge->deps.roster, message->instance);
	const char *first;

	message->instance = 0;
	if (message->program == 0 || asker == NULL ||
	    !roster_is_relayed(edge->deps.roster))
		return;
	first = active_programs_join(
	    edge->deps.activity, message->program, asker, edge_now(edge));
	message->instance = first != NULL ? roster_hash(first)
					  : roster_own_hash(edge->deps.roster);
}

static void
on_ask(struct edge *edge, const struct sockaddr_in *from,
    const struct token_message *message)
{
	struct token_message answer = *message;
	enum quota_priority priority = (enum quota_priority)message->priority;
	clk_ms wait;

	if (active_programs_knows(edge->deps.activity, message->program))
		priority = QUOTA_ACTIVE_PROGRAM;
	answer.kind = TOKEN_ANSWER;
	answer.is_granted = quota_grant(
	    edge->deps.quota, &message->limit, priority, edge_now(edge), &wait);
	answer.wait_ms = (uint32_t)CLAMP(wait, 0, UINT32_MAX);
	if (answer.is_granted)
		program_join(edge, &answer);
	else
		answer.instance = 0;
	/* If the answer isn't sent, the question times out. */
	(void)message_send(edge, from, &answer);
}

void
edge_rate_receive(
    struct edge *edge, const struct sockaddr_in *from, char *data, size_t len)
{
	struct token_message message;

	if (!token_decode(data, len, &message)) {
		lg_event(edge->deps.lg, LG_WARNING, "datagram_refused",
		    "bytes=%zu", len);
		return;
	}
	switch ((enum token_kind)message.kind) {
	case TOKEN_ASK:
		on_ask(edge, from, &message);
		break;
	case TOKEN_ANSWER:
		on_answer(edge, from, &message);
		break;
	case TOKEN_RETURN:
		quota_refund(edge->deps.quota, message.limit.organisation);
		break;
	}
}

static enum quota_priority
request_priority(const struct edge_call *call)
{
	const char *program = call->program;

	if (call->route->kind != CATALOGUE_STREAM || program == NULL ||
	    call->request.previous_turn != NULL ||
	    active_programs_contains(call->edge->deps.activity, program))
		return (QUOTA_ACTIVE_PROGRAM);
	return (QUOTA_NEW_PROGRAM);
}

void
edge_rate_admit(struct edge_call *call)
{
	const struct catalogue_organisation *organisation = call->organisation;
	struct quota *quota = call->edge->deps.quota;
	enum quota_answer answer;
	clk_ms wait;

	if (organisation == NULL) {
		edge_call_admitted(call);
		return;
	}
	call->priority = request_priority(call);
	call->limit = quota_limit_make(
	    organisation->name, organisation->rate, organisation->burst);
	answer = quota_admit(
	    quota, &call->limit, call->priority, edge_now(call->edge), &wait);
	call->rate = quota_state(quota, call->limit.organisation);
	switch (answer) {
	case QUOTA_ADMITTED:
		call->is_counted = true;
		edge_call_admitted(call);
		break;
	case QUOTA_ASK:
		/* Its body isn't read, so it can't wait for an answer. */
		if (hsv_is_early(call->client))
			rate_refuse(call, wait);
		else
			home_ask(call);
		break;
	case QUOTA_REFUSED:
		rate_refuse(call, wait);
		break;
	}
}

void
edge_rate_refund(struct edge_call *call)
{
	if (!call->is_counted)
		return;
	if (call->is_from_home)
		token_return(call->edge, &call->home_address, &call->limit);
	else
		quota_refund(call->edge->deps.quota, call->limit.organisation);
}

void
edge_rate_open(struct edge *edge)
{
	edge->asking = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, asking_free);
	edge->silence = silence_open();
}

void
edge_rate_close(struct edge *edge)
{
	g_hash_table_destroy(edge->asking);
	silence_close(edge->silence);
}
