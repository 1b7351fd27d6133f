/*
 * Tests of the ownership module through its public functions.
 *
 * The main test simulates several instances with random orders of events:
 * appends that are stored late, twice or not at all, or whose replies are
 * lost; outages of the log for one or all instances; late, lost and duplicate
 * heartbeats; pauses; clock drift within the allowance; crashes, restarts,
 * planned stops, lost data centres and readers that start from a snapshot.
 * After each event at most one session may act for a shard, and readers at the
 * same offset must have the same map.  After the last fault every shard must
 * get an owner within a time limit.
 *
 * SAMPHIRESHED_SEED and SAMPHIRESHED_ORDERS set the first seed and the number
 * of orders.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "own/own.h"
#include "plog/plog.h"

#define MAX_INSTANCES	5
#define DATACENTRES	2
#define SHARDS		2
#define ALL_SHARDS	(DATACENTRES * SHARDS)
#define MAX_PENDING	ALL_SHARDS
#define THREADS		6
#define ORDERS		20000
#define ORDERS_DISABLED 20000 /* at most: stops at the first violation */

/* Settings of the instances, in ms of their clocks. */
#define TAKEOVER       300
#define TAKEOVER_OTHER 900
#define SETTLE	       60
#define STAGGER	       60
#define SUSPICION      100
#define APPEND_RETRY   150
#define HOLDER_REPLACE 150
#define LOG_MAX_AGE    300
#define TICK_MAX       60

#define MS	   ((int64_t)1000) /* times of the test are in microseconds */
#define FAULTS_END (1500 * MS)
/*
 * From the last fault: suspicion, the stagger of the candidates, a retried
 * append, the longest wait with its drift allowance of 10%, recovery, and the
 * time for which a ranking must be stable before a handover.  Each step can
 * take an additional round of ticks, reads and messages.
 */
#define SERVED_WITHIN \
	((SUSPICION + SETTLE + (5 + MAX_INSTANCES) * STAGGER + \
	     2 * APPEND_RETRY + TAKEOVER_OTHER * 11 / 10 + HOLDER_REPLACE + \
	     12 * TICK_MAX) * \
	    MS)

/* The rule that is disabled to show that the check detects violations. */
enum disabled_rule {
	DISABLED_NONE,
	DISABLED_DRIFT, /* clocks drift, but no wait allows for it */
	DISABLED_WAIT, /* claimants do not wait */
	DISABLED_PENDING, /* answers do not list pending claims */
	DISABLED_POSITION, /* answers do not include last_claim_offset */
	DISABLED_COUNT
};

enum type {
	STEP_TICK,
	STEP_PING,
	STEP_PONG,
	STEP_READ,
	STEP_READ_SERVED,
	STEP_READ_DONE,
	STEP_RECORD_STORED,
	STEP_APPEND_DONE,
	STEP_RECOVERED,
	STEP_PREPARED,
	STEP_SYNC_ASK,
	STEP_SYNC_DONE,
	STEP_FAULT,
	STEP_RESUME,
	STEP_START,
	STEP_DATACENTRE_LOST
};

struct event {
	int64_t time;
	enum type type;
	int to;
	int from;
	uint64_t session; /* the event is dropped if to has another one */
	uint64_t sender;
	clk_ms sent_at; /* of the sender's clock */
	clk_ms age;
	int64_t upto;
	json_t *record;
	uint64_t ref;
	enum own_append_outcome outcome;
	struct own_shard_id id;
	uint64_t epoch;
	bool flag; /* by type: stopping, successor ready, log is up */
	bool extra; /* a tick or read in addition to the periodic ones */
	bool reached_tail;
	int64_t last_claim_offset;
	unsigned n_named;
	struct own_shard_id named[MAX_PENDING];
};

/* An entry of the queue of events. */
struct key {
	int64_t time;
	uint64_t order; /* events of the same time run in order of creation */
	unsigned event; /* index */
};

struct instance {
	struct member_identity identity;
	struct own *own;
	struct member_table *members;
	bool alive;
	bool stopping;
	bool open_sent;
	int64_t open_sent_at;
	bool paused;
	int64_t paused_until;
	int64_t log_down_until;
	int64_t sync_down_until; /* peers do not send records */
	double rate;
	clk_ms clock_start;
	uint64_t checked; /* own_next_offset() of the last comparison */
};

struct world {
	uint64_t random;
	uint64_t seed;
	enum disabled_rule disabled;
	int drift_permille;
	int64_t now;
	uint64_t order;
	GArray *heap; /* struct key, the earliest first */
	GArray *events; /* struct event */
	GArray *unused; /* free indices of events */
	json_t *log;
	GArray *digests; /* uint64_t by offset; 0: not known yet */
	struct instance instances[MAX_INSTANCES];
	int n;
	int64_t log_down_until;
	int64_t ping_cut[MAX_INSTANCES][MAX_INSTANCES];
	int64_t pong_cut[MAX_INSTANCES][MAX_INSTANCES];
	int64_t fault_gap; /* longest time between faults */
	bool lost;
	bool faults_ended;
	unsigned double_owners;
	unsigned different_maps;
	unsigned unserved;
	unsigned takeovers;
	unsigned steps;
	char first_violation[160];
};

static uint64_t
draw(struct world *w)
{
	uint64_t x = w->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

/* A random number from low to high, inclusive. */
static int64_t
between(struct world *w, int64_t low, int64_t high)
{
	return (low + (int64_t)(draw(w) % (uint64_t)(high - low + 1)));
}

static bool
chance(struct world *w, unsigned percent)
{
	return (draw(w) % 100 < percent);
}

static bool
is_before(const struct key *a, const struct key *b)
{
	return (
	    a->time < b->time || (a->time == b->time && a->order < b->order));
}

static struct key *
heap_at(struct world *w, unsigned i)
{
	return (&g_array_index(w->heap, struct key, i));
}

static void
heap_swap(struct world *w, unsigned i, unsigned k)
{
	struct key key = *heap_at(w, i);

	*heap_at(w, i) = *heap_at(w, k);
	*heap_at(w, k) = key;
}

static void
push(struct world *w, int64_t delay, struct event event)
{
	struct key key = {w->now + delay, w->order++, w->events->len};
	unsigned i = w->heap->len;

	event.time = key.time;
	if (w->unused->len > 0) {
		key.event =
		    g_array_index(w->unused, unsigned, w->unused->len - 1);
		g_array_set_size(w->unused, w->unused->len - 1);
		g_array_index(w->events, struct event, key.event) = event;
	} else {
		g_array_append_val(w->events, event);
	}
	g_array_append_val(w->heap, key);
	while (i > 0 && is_before(heap_at(w, i), heap_at(w, (i - 1) / 2))) {
		heap_swap(w, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event
pop(struct world *w)
{
	unsigned first = heap_at(w, 0)->event;
	unsigned i = 0;

	*heap_at(w, 0) = *heap_at(w, w->heap->len - 1);
	g_array_set_size(w->heap, w->heap->len - 1);
	g_array_append_val(w->unused, first);
	for (;;) {
		unsigned least = i;

		for (unsigned k = 2 * i + 1; k <= 2 * i + 2; k++) {
			if (k < w->heap->len &&
			    is_before(heap_at(w, k), heap_at(w, least)))
				least = k;
		}
		if (least == i)
			return (g_array_index(w->events, struct event, first));
		heap_swap(w, i, least);
		i = least;
	}
}

static clk_ms
clock_of(const struct world *w, const struct instance *in)
{
	return (
	    in->clock_start + (clk_ms)((double)w->now * in->rate / (double)MS));
}

/* Return the real time in which the clock of the instance advances by ms. */
static int64_t
real_us(const struct instance *in, clk_ms ms)
{
	return ((int64_t)((double)(ms * MS) / in->rate));
}

static void
violation_record(struct world *w, const char *what, unsigned shard)
{
	if (w->first_violation[0] == '\0')
		(void)g_snprintf(w->first_violation, sizeof(w->first_violation),
		    "order %" G_GUINT64_FORMAT " at %" G_GINT64_FORMAT
		    " us: %s, shard %u",
		    w->seed, w->now, what, shard);
}

static struct own_shard_id
id_of(unsigned shard)
{
	return ((struct own_shard_id){
	    (uint16_t)(shard / SHARDS), (uint16_t)(shard % SHARDS)});
}

/* The safety check.  It includes paused instances, which act when resumed. */
static void
check_owners(struct world *w)
{
	for (unsigned shard = 0; shard < ALL_SHARDS; shard++) {
		unsigned acting = 0;

		for (int i = 0; i < w->n; i++) {
			struct instance *in = &w->instances[i];

			if (in->alive &&
			    own_may_act(in->own, id_of(shard), clock_of(w, in)))
				acting++;
		}
		if (acting > 1) {
			w->double_owners++;
			violation_record(w, "two sessions may act", shard);
		}
	}
}

static void
check_map(struct world *w, struct instance *in)
{
	uint64_t next = (uint64_t)own_next_offset(in->own);
	uint64_t digest;
	uint64_t *expected;

	if (!own_is_complete(in->own) || next == in->checked)
		return;
	in->checked = next;
	digest = own_digest(in->own);
	if (w->digests->len <= next)
		g_array_set_size(w->digests, (guint)next + 1);
	expected = &g_array_index(w->digests, uint64_t, next);
	if (*expected == 0)
		*expected = digest;
	if (*expected != digest) {
		w->different_maps++;
		violation_record(w, "readers at one offset differ", 0);
	}
}

static bool
log_is_up(const struct world *w, const struct instance *in)
{
	return (w->now >= w->log_down_until && w->now >= in->log_down_until);
}

/*
 * Simulate the log client in the worst case: the record may be stored late or
 * twice, and the outcome may be unknown whether or not it is stored.
 */
static void
log_append(struct world *w, int from, json_t *record, uint64_t ref)
{
	struct instance *in = &w->instances[from];
	struct event store = {.type = STEP_RECORD_STORED, .to = -1};
	struct event done = {.type = STEP_APPEND_DONE,
	    .to = from,
	    .session = in->identity.session,
	    .ref = ref,
	    .outcome = OWN_APPENDED};
	bool up = log_is_up(w, in);
	bool is_stored = up || chance(w, 20);
	int64_t delay = between(w, 1 * MS, 15 * MS);

	if (!w->faults_ended && chance(w, 20)) {
		done.outcome = OWN_UNKNOWN;
		is_stored = is_stored && chance(w, 60);
		if (chance(w, 30))
			delay = between(w, 20 * MS, 600 * MS);
	} else if (!is_stored || (!w->faults_ended && chance(w, 10))) {
		done.outcome = OWN_REFUSED;
		is_stored = false;
	}
	if (is_stored) {
		store.record = json_incref(record);
		push(w, delay, store);
		if (!w->faults_ended && chance(w, 15)) {
			store.record = json_incref(record);
			push(w, delay + between(w, 0, 500 * MS), store);
		}
	}
	json_decref(record);
	if (done.outcome == OWN_APPENDED)
		delay += between(w, 0, 10 * MS);
	else
		delay = between(w, 1 * MS, 60 * MS);
	push(w, delay, done);
}

static void
instance_start(struct world *w, int slot)
{
	struct instance *in = &w->instances[slot];
	struct own_settings settings = {.datacentres = DATACENTRES,
	    .shards = SHARDS,
	    .takeover_ms = TAKEOVER,
	    .takeover_other_ms = TAKEOVER_OTHER,
	    .drift_permille =
		w->disabled == DISABLED_DRIFT ? -1 : w->drift_permille,
	    .settle_ms = SETTLE,
	    .stagger_ms = STAGGER,
	    .log_max_age_ms = LOG_MAX_AGE,
	    .handover_settle_ms = 150,
	    .holder_replace_ms = HOLDER_REPLACE,
	    .append_retry_ms = APPEND_RETRY,
	    .session_expiry_ms = 700};
	struct member_settings times = {.heartbeat_ms = 40,
	    .heartbeat_other_ms = 120,
	    .suspicion_ms = SUSPICION,
	    .suspicion_other_ms = 3 * SUSPICION};

	in->identity.session = draw(w) | 1;
	in->own = own_open(&settings, &in->identity);
	in->members = member_table_open(&times, &in->identity);
	in->alive = true;
	in->stopping = false;
	in->open_sent = false;
	in->paused = false;
	in->log_down_until = 0;
	in->sync_down_until = 0;
	in->checked = 0;
	in->rate = 1.0 +
	    (double)between(w, -w->drift_permille, w->drift_permille) / 1000.0;
	/* The ends of the range are the most likely to cause violations. */
	if (chance(w, 80))
		in->rate = 1.0 +
		    (double)(chance(w, 50) ? w->drift_permille
					   : -w->drift_permille) /
			1000.0;
	in->clock_start = between(w, 0, 1000000);
	push(w, between(w, 0, 20 * MS),
	    (struct event){.type = STEP_TICK,
		.to = slot,
		.session = in->identity.session});
	push(w, between(w, 0, 20 * MS),
	    (struct event){.type = STEP_READ,
		.to = slot,
		.session = in->identity.session});
}

static void
instance_stop(struct instance *in)
{
	own_close(in->own);
	member_table_close(in->members);
	in->own = NULL;
	in->members = NULL;
	in->alive = false;
	in->paused = false;
}

static void
session_visit(const struct member_identity *identity, void *arg)
{
	struct instance *in = arg;

	member_session_add(in->members, identity, in->clock_start);
}

/* Restore from a peer's snapshot, as after a gap in the log. */
static void
restore_from_peer(struct world *w, struct instance *in)
{
	for (int i = 0; i < w->n; i++) {
		struct instance *peer = &w->instances[i];
		json_t *parts;

		if (peer == in || !peer->alive || peer->paused ||
		    !own_is_complete(peer->own) ||
		    own_next_offset(peer->own) <= own_next_offset(in->own))
			continue;
		own_gap_set(in->own, own_next_offset(peer->own));
		parts = own_snapshot(peer->own, clock_of(w, peer));
		for (size_t k = json_array_size(parts); k-- > 0;)
			(void)own_restore(
			    in->own, json_array_get(parts, k), clock_of(w, in));
		json_decref(parts);
		g_assert_true(own_is_complete(in->own));
		own_sessions_foreach(in->own, session_visit, in);
		return;
	}
}

static void
apply_upto(struct world *w, struct instance *in, int64_t upto)
{
	for (int64_t i = own_next_offset(in->own); i < upto; i++) {
		json_t *record = json_array_get(w->log, (size_t)i);
		clk_ms read_at = clock_of(w, in);

		if (w->disabled == DISABLED_WAIT)
			read_at -= 2 * TAKEOVER_OTHER;
		if (own_apply(in->own, i, record, read_at) == OWN_APPLIED)
			member_apply(in->members, record, clock_of(w, in));
		check_map(w, in);
	}
}

static void
schedule_tick(struct world *w, int slot, int64_t delay)
{
	push(w, delay,
	    (struct event){.type = STEP_TICK,
		.to = slot,
		.extra = true,
		.session = w->instances[slot].identity.session});
}

static void
run_action(struct world *w, int slot, struct own_action *action)
{
	struct event event = {.to = slot,
	    .session = w->instances[slot].identity.session,
	    .id = action->id,
	    .epoch = action->epoch,
	    .flag = chance(w, 85)};

	switch (action->kind) {
	case OWN_ACT_APPEND:
		log_append(w, slot, action->record, action->ref);
		break;
	case OWN_ACT_RECOVER:
		w->takeovers++;
		event.type = STEP_RECOVERED;
		push(w, between(w, 1 * MS, 40 * MS), event);
		break;
	case OWN_ACT_PREPARE:
		event.type = STEP_PREPARED;
		push(w, between(w, 1 * MS, 60 * MS), event);
		break;
	case OWN_ACT_COPY:
		break;
	}
}

static void
send_pings(struct world *w, int slot)
{
	struct instance *in = &w->instances[slot];
	struct member_heartbeat pings[MAX_INSTANCES * 4];
	clk_ms now = clock_of(w, in);
	size_t n =
	    member_heartbeats_due(in->members, now, pings, G_N_ELEMENTS(pings));

	for (size_t i = 0; i < n; i++) {
		struct event ping = {.type = STEP_PING,
		    .to = -1,
		    .from = slot,
		    .session = pings[i].session,
		    .sender = in->identity.session,
		    .sent_at = now};
		unsigned copies = 1;

		for (int k = 0; k < w->n; k++) {
			if (w->instances[k].alive &&
			    w->instances[k].identity.session ==
				pings[i].session)
				ping.to = k;
		}
		if (ping.to < 0 || w->now < w->ping_cut[slot][ping.to])
			continue;
		if (!w->faults_ended && chance(w, 5))
			copies = chance(w, 50) ? 0 : 2;
		while (copies-- > 0)
			push(w,
			    !w->faults_ended && chance(w, 4)
				? between(w, 50 * MS, 400 * MS)
				: between(w, 100, 8 * MS),
			    ping);
	}
}

static void
run_tick(struct world *w, int slot, bool extra)
{
	struct instance *in = &w->instances[slot];
	struct own_action actions[16];
	uint64_t watched[MAX_INSTANCES];
	clk_ms now = clock_of(w, in);
	size_t n;

	if (own_session_is_closed(in->own)) {
		instance_stop(in);
		push(w, between(w, 10 * MS, 300 * MS),
		    (struct event){.type = STEP_START, .to = slot});
		return;
	}
	if (!in->open_sent ||
	    (member_state_get(in->members, in->identity.session) ==
		    MEMBER_UNKNOWN &&
		w->now - in->open_sent_at > APPEND_RETRY * MS)) {
		in->open_sent = true;
		in->open_sent_at = w->now;
		log_append(
		    w, slot, member_session_open_record(&in->identity), 0);
	}
	member_watch_set(in->members, watched,
	    own_watched_get(in->own, watched, G_N_ELEMENTS(watched)));
	send_pings(w, slot);
	n = own_decide(
	    in->own, in->members, now, actions, G_N_ELEMENTS(actions));
	check_owners(w);
	for (size_t i = 0; i < n; i++)
		run_action(w, slot, &actions[i]);
	if (!extra)
		push(w, between(w, TICK_MAX / 2 * MS, TICK_MAX * MS),
		    (struct event){.type = STEP_TICK,
			.to = slot,
			.session = in->identity.session});
}

static void
ping_receive(struct world *w, const struct event *ping)
{
	struct instance *in = &w->instances[ping->to];
	struct own_pending_claims pending;
	struct event pong = {.type = STEP_PONG,
	    .to = ping->from,
	    .from = ping->to,
	    .session = ping->sender,
	    .sender = in->identity.session,
	    .sent_at = ping->sent_at,
	    .flag = in->stopping};
	unsigned copies = 1;

	own_pending_get(in->own, &pending);
	pong.last_claim_offset =
	    w->disabled == DISABLED_POSITION ? -1 : pending.last_claim_offset;
	if (w->disabled != DISABLED_PENDING) {
		pong.n_named = pending.n;
		memcpy(pong.named, pending.shards,
		    pending.n * sizeof(pong.named[0]));
	}
	if (w->now < w->pong_cut[ping->to][ping->from])
		return;
	if (!w->faults_ended && chance(w, 5))
		copies = chance(w, 50) ? 0 : 2;
	while (copies-- > 0)
		push(w,
		    !w->faults_ended && chance(w, 4)
			? between(w, 50 * MS, 400 * MS)
			: between(w, 100, 8 * MS),
		    pong);
}

static void
pong_receive(struct world *w, const struct event *pong)
{
	struct instance *in = &w->instances[pong->to];
	struct own_pending_claims pending;
	struct member_report report = {.draining = pong->flag};

	pending.last_claim_offset = pong->last_claim_offset;
	pending.truncated = false;
	pending.n = pong->n_named;
	memcpy(pending.shards, pong->named,
	    pong->n_named * sizeof(pong->named[0]));
	member_heartbeat_received(
	    in->members, pong->sender, true, &report, clock_of(w, in));
	own_heartbeat_answered(in->own, pong->sender, pong->sent_at, &pending);
}

/*
 * Schedule a tick for when a claim in the records just read becomes effective.
 * Reads without a claim schedule one as well, which varies the times of the
 * other decisions.
 */
static void
schedule_claim_tick(struct world *w, int slot)
{
	int drift = w->disabled == DISABLED_DRIFT ? 0 : w->drift_permille;

	schedule_tick(w, slot,
	    real_us(
		&w->instances[slot], TAKEOVER + TAKEOVER * drift / 1000 + 2));
}

/* A read of the log in three steps: sent, served, received. */
static void
run_read(struct world *w, struct event *event)
{
	struct instance *in = &w->instances[event->to];
	int64_t end = (int64_t)json_array_size(w->log);

	switch (event->type) {
	case STEP_READ:
		event->type = STEP_READ_SERVED;
		event->sent_at = clock_of(w, in);
		push(w, between(w, 100, 10 * MS), *event);
		return;
	case STEP_READ_SERVED:
		event->type = STEP_READ_DONE;
		event->flag = log_is_up(w, in);
		/* A read returns a bounded number of records. */
		event->upto = MIN(end, own_next_offset(in->own) + 6);
		event->reached_tail = event->upto == end;
		push(w, between(w, 100, 10 * MS), *event);
		return;
	default:
		break;
	}
	if (event->flag) {
		apply_upto(w, in, event->upto);
		if (event->reached_tail)
			own_log_read_done(in->own, event->sent_at);
		schedule_claim_tick(w, event->to);
	} else if (w->now >= in->sync_down_until && chance(w, 50)) {
		int peer = (int)between(w, 0, w->n - 1);

		if (peer != event->to && w->instances[peer].alive)
			push(w, between(w, 100, 10 * MS),
			    (struct event){.type = STEP_SYNC_ASK,
				.to = peer,
				.session = w->instances[peer].identity.session,
				.from = event->to,
				.sender = in->identity.session,
				.sent_at = clock_of(w, in)});
	}
	if (event->extra)
		return;
	push(w,
	    event->flag && !event->reached_tail ? 100
						: between(w, 20 * MS, 60 * MS),
	    (struct event){.type = STEP_READ,
		.to = event->to,
		.session = in->identity.session});
}

static void
run_sync(struct world *w, const struct event *event)
{
	struct instance *in = &w->instances[event->to];

	if (event->type == STEP_SYNC_ASK) {
		if (!own_is_complete(in->own))
			return;
		push(w, between(w, 100, 10 * MS),
		    (struct event){.type = STEP_SYNC_DONE,
			.to = event->from,
			.session = event->sender,
			.sent_at = event->sent_at,
			.upto = own_next_offset(in->own),
			.age = own_log_age(in->own, clock_of(w, in))});
		return;
	}
	apply_upto(w, in, event->upto);
	if (own_next_offset(in->own) >= event->upto)
		own_peer_read_done(in->own, event->sent_at, event->age);
}

static int
alive_in(const struct world *w, unsigned datacentre)
{
	int n = 0;

	for (int i = 0; i < w->n; i++)
		n += w->instances[i].alive &&
		    w->instances[i].identity.datacentre == datacentre;
	return (n);
}

/* Stop all instances of a data centre, then declare it lost. */
static void
lose_datacentre(struct world *w)
{
	for (int i = 0; i < w->n; i++) {
		struct instance *in = &w->instances[i];

		if (in->alive && in->identity.datacentre == 1)
			instance_stop(in);
	}
	w->lost = true;
	push(w, between(w, 10 * MS, 200 * MS),
	    (struct event){.type = STEP_DATACENTRE_LOST, .to = -1});
}

static void
append_datacentre_lost(struct world *w)
{
	for (int i = 0; i < w->n; i++) {
		struct instance *in = &w->instances[i];

		if (in->alive && own_is_complete(in->own)) {
			push(w, 0,
			    (struct event){.type = STEP_RECORD_STORED,
				.to = -1,
				.record = own_datacentre_lost_record(
				    in->own, 1, true)});
			return;
		}
	}
	push(
	    w, 20 * MS, (struct event){.type = STEP_DATACENTRE_LOST, .to = -1});
}

/*
 * The instance neither reads the log nor receives its peers' heartbeats, but
 * its own heartbeats are answered: a former owner then acts for longest.
 */
static void
isolate_inbound(struct world *w, int slot, int64_t until)
{
	struct instance *in = &w->instances[slot];

	in->log_down_until = until;
	if (chance(w, 70))
		in->sync_down_until = until;
	for (int i = 0; i < w->n; i++)
		w->ping_cut[i][slot] = until;
}

/* Faults around a claim are the most likely to cause violations. */
static void
inject_claim_fault(struct world *w, const json_t *record)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	const char *by = json_string_value(json_object_get(record, "session"));
	int64_t until = w->now + between(w, 200 * MS, 900 * MS);
	uint64_t session;

	if (w->faults_ended || kind == NULL || strcmp(kind, "claim") != 0 ||
	    !plog_session_parse(by, &session) || !chance(w, 40))
		return;
	for (int i = 0; i < w->n; i++) {
		struct instance *in = &w->instances[i];

		if (in->alive && in->identity.session == session)
			isolate_inbound(w, i, until);
	}
}

static void
run_fault(struct world *w)
{
	int slot = (int)between(w, 0, w->n - 1);
	int other = (int)between(w, 0, w->n - 1);
	struct instance *in = &w->instances[slot];
	int64_t until = w->now + between(w, 20 * MS, 700 * MS);

	switch (between(w, 0, 13)) {
	case 0:
		if (!in->alive)
			break;
		instance_stop(in);
		push(w, until - w->now,
		    (struct event){.type = STEP_START, .to = slot});
		break;
	case 1:
	case 2:
		if (!in->alive || in->paused)
			break;
		in->paused = true;
		in->paused_until = until;
		push(w, until - w->now,
		    (struct event){.type = STEP_RESUME,
			.to = slot,
			.session = in->identity.session});
		break;
	case 3:
	case 4:
		in->log_down_until = until;
		break;
	case 5:
		w->log_down_until = w->now + between(w, 50 * MS, 900 * MS);
		break;
	case 6:
	case 7:
	case 8:
		/* Heartbeats fail in one direction, and perhaps their
		 * answers. */
		w->ping_cut[slot][other] = until;
		if (chance(w, 50))
			w->pong_cut[other][slot] = until;
		break;
	case 9:
		if (!in->alive)
			break;
		in->stopping = true;
		own_stop_begin(in->own);
		if (!log_is_up(w, in) && chance(w, 70))
			own_release_all(in->own);
		break;
	case 10:
		if (in->alive && !in->paused)
			restore_from_peer(w, in);
		break;
	case 11:
	case 12:
		isolate_inbound(
		    w, slot, w->now + between(w, 400 * MS, 1100 * MS));
		break;
	default:
		if (!w->lost && chance(w, 25) && alive_in(w, 0) > 0)
			lose_datacentre(w);
		break;
	}
	if (w->now < FAULTS_END)
		push(w, between(w, w->fault_gap / 10, w->fault_gap),
		    (struct event){.type = STEP_FAULT, .to = -1});
}

static void
end_faults(struct world *w)
{
	w->faults_ended = true;
	w->log_down_until = 0;
	memset(w->ping_cut, 0, sizeof(w->ping_cut));
	memset(w->pong_cut, 0, sizeof(w->pong_cut));
	for (int i = 0; i < w->n; i++) {
		struct instance *in = &w->instances[i];

		in->log_down_until = 0;
		in->sync_down_until = 0;
		if (in->paused)
			push(w, 0,
			    (struct event){.type = STEP_RESUME,
				.to = i,
				.session = in->identity.session});
		/* Restart some: each data centre that is not lost gets one. */
		if (!in->alive && !(w->lost && in->identity.datacentre == 1) &&
		    (alive_in(w, in->identity.datacentre) == 0 ||
			chance(w, 50)))
			instance_start(w, i);
	}
}

static bool
is_served(struct world *w, unsigned shard)
{
	for (int i = 0; i < w->n; i++) {
		struct instance *in = &w->instances[i];

		if (in->alive &&
		    own_may_begin_calls(in->own, id_of(shard), clock_of(w, in)))
			return (true);
	}
	return (false);
}

static bool
all_served(struct world *w)
{
	for (unsigned shard = 0; shard < ALL_SHARDS; shard++) {
		if (!is_served(w, shard))
			return (false);
	}
	return (true);
}

/* Readers with an open long poll get a record at once. */
static void
wake_readers(struct world *w)
{
	for (int i = 0; i < w->n; i++) {
		struct instance *in = &w->instances[i];

		if (in->alive && chance(w, 60))
			push(w, between(w, 10, 2 * MS),
			    (struct event){.type = STEP_READ,
				.to = i,
				.extra = true,
				.session = in->identity.session});
	}
}

static void
run_event(struct world *w, struct event *event)
{
	struct instance *in = &w->instances[MAX(event->to, 0)];

	switch (event->type) {
	case STEP_RECORD_STORED:
		if (w->now < w->log_down_until) {
			push(w, w->log_down_until - w->now, *event);
			return;
		}
		(void)json_array_append_new(w->log, event->record);
		inject_claim_fault(w, event->record);
		wake_readers(w);
		return;
	case STEP_FAULT:
		if (!w->faults_ended)
			run_fault(w);
		return;
	case STEP_DATACENTRE_LOST:
		append_datacentre_lost(w);
		return;
	case STEP_START:
		if (!in->alive && !(w->lost && in->identity.datacentre == 1)) {
			instance_start(w, event->to);
			if (chance(w, 30))
				restore_from_peer(w, in);
		}
		return;
	default:
		break;
	}
	if (!in->alive || in->identity.session != event->session)
		return;
	if (event->type == STEP_RESUME) {
		in->paused = false;
		return;
	}
	if (in->paused && event->type != STEP_READ_SERVED) {
		/* Events during a pause are processed after it. */
		push(w,
		    MAX(in->paused_until - w->now, 0) + between(w, 1, 2 * MS),
		    *event);
		return;
	}
	switch (event->type) {
	case STEP_TICK:
		run_tick(w, event->to, event->extra);
		break;
	case STEP_PING:
		ping_receive(w, event);
		break;
	case STEP_PONG:
		pong_receive(w, event);
		break;
	case STEP_READ:
	case STEP_READ_SERVED:
	case STEP_READ_DONE:
		run_read(w, event);
		break;
	case STEP_APPEND_DONE:
		own_append_done(in->own, event->ref, event->outcome);
		break;
	case STEP_RECOVERED:
		own_recovery_done(in->own, event->id, event->epoch);
		break;
	case STEP_PREPARED:
		own_handover_prepared(
		    in->own, event->id, event->epoch, event->flag);
		break;
	case STEP_SYNC_ASK:
	case STEP_SYNC_DONE:
		run_sync(w, event);
		break;
	default:
		g_assert_not_reached();
	}
}

static void
world_run(struct world *w)
{
	int64_t served_by = FAULTS_END + SERVED_WITHIN;

	while (w->now < served_by) {
		struct event event = pop(w);

		if (!w->faults_ended && event.time >= FAULTS_END) {
			w->now = FAULTS_END;
			end_faults(w);
		}
		w->now = event.time;
		run_event(w, &event);
		w->steps++;
		check_owners(w);
		if (w->faults_ended && event.type == STEP_RECOVERED &&
		    all_served(w))
			return;
		if (w->faults_ended && event.type == STEP_TICK && all_served(w))
			return;
	}
	for (unsigned shard = 0; shard < ALL_SHARDS; shard++) {
		if (!is_served(w, shard)) {
			w->unserved++;
			violation_record(w, "no owner within the bound", shard);
		}
	}
}

static void
world_open(struct world *w, uint64_t seed, enum disabled_rule disabled)
{
	int first;

	memset(w, 0, sizeof(*w));
	w->seed = seed;
	w->random = seed * 0x2545f4914f6cdd1dULL;
	w->disabled = disabled;
	/* With more drift, more orders depend on the allowance. */
	w->drift_permille = chance(w, 40) ? 10 : 100;
	w->fault_gap = between(w, 1, 8) * 80 * MS;
	w->heap = g_array_new(FALSE, FALSE, sizeof(struct key));
	w->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	w->unused = g_array_new(FALSE, FALSE, sizeof(unsigned));
	w->digests = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	w->log = json_array();
	first = (int)between(w, 2, 3);
	w->n = first + (int)between(w, 1, 2);
	for (int i = 0; i < w->n; i++) {
		struct member_identity *identity = &w->instances[i].identity;

		(void)g_snprintf(identity->instance, sizeof(identity->instance),
		    "instance-%d", i);
		(void)g_snprintf(identity->address, sizeof(identity->address),
		    "127.0.0.1:%d", 9000 + i);
		identity->datacentre = i < first ? 0 : 1;
		identity->weight = (double)between(w, 1, 3);
		instance_start(w, i);
	}
	push(w, between(w, 200 * MS, 400 * MS),
	    (struct event){.type = STEP_FAULT, .to = -1});
}

static void
world_close(struct world *w)
{
	for (unsigned i = 0; i < w->heap->len; i++) {
		struct event *event = &g_array_index(
		    w->events, struct event, heap_at(w, i)->event);

		if (event->type == STEP_RECORD_STORED)
			json_decref(event->record);
	}
	for (int i = 0; i < w->n; i++) {
		if (w->instances[i].alive)
			instance_stop(&w->instances[i]);
	}
	g_array_free(w->heap, TRUE);
	g_array_free(w->events, TRUE);
	g_array_free(w->unused, TRUE);
	g_array_free(w->digests, TRUE);
	json_decref(w->log);
}

struct total {
	GMutex mutex;
	uint64_t seed;
	unsigned orders;
	unsigned started;
	enum disabled_rule disabled;
	unsigned double_owners; /* orders in which it happened */
	unsigned different_maps;
	unsigned unserved;
	uint64_t takeovers;
	uint64_t steps;
	char first_violation[160];
};

static gpointer
run_orders(gpointer arg)
{
	struct total *total = arg;

	for (;;) {
		struct world w;
		unsigned i;

		g_mutex_lock(&total->mutex);
		if (total->started >= total->orders ||
		    (total->disabled != DISABLED_NONE &&
			total->double_owners > 0)) {
			g_mutex_unlock(&total->mutex);
			return (NULL);
		}
		i = total->started++;
		g_mutex_unlock(&total->mutex);
		world_open(&w, total->seed + i, total->disabled);
		world_run(&w);
		world_close(&w);
		g_mutex_lock(&total->mutex);
		total->double_owners += w.double_owners > 0;
		total->different_maps += w.different_maps > 0;
		total->unserved += w.unserved > 0;
		total->takeovers += w.takeovers;
		total->steps += w.steps;
		if (total->first_violation[0] == '\0' &&
		    w.first_violation[0] != '\0')
			memcpy(total->first_violation, w.first_violation,
			    sizeof(w.first_violation));
		g_mutex_unlock(&total->mutex);
	}
}

static uint64_t
env_number(const char *name, uint64_t otherwise)
{
	const char *text = g_getenv(name);

	return (text != NULL ? g_ascii_strtoull(text, NULL, 10) : otherwise);
}

static struct total
run_all(unsigned orders, enum disabled_rule disabled)
{
	struct total total = {.orders = orders,
	    .disabled = disabled,
	    .seed = env_number("SAMPHIRESHED_SEED", 1)};
	GThread *threads[THREADS];

	g_mutex_init(&total.mutex);
	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("orders", run_orders, &total);
	for (int i = 0; i < THREADS; i++)
		(void)g_thread_join(threads[i]);
	g_mutex_clear(&total.mutex);
	return (total);
}

/* Guards against two owners, diverging maps and shards without an owner. */
static void
test_orders(void)
{
	unsigned orders = (unsigned)env_number("SAMPHIRESHED_ORDERS", ORDERS);
	gint64 began = g_get_monotonic_time();
	struct total total = run_all(orders, DISABLED_NONE);
	double seconds = (double)(g_get_monotonic_time() - began) / 1e6;

	g_test_message("figure orders=%u violations=%u seed=%" G_GUINT64_FORMAT
		       " steps=%" G_GUINT64_FORMAT
		       " takeovers=%" G_GUINT64_FORMAT " seconds=%.1f",
	    orders, total.double_owners + total.different_maps + total.unserved,
	    total.seed, total.steps, total.takeovers, seconds);
	if (total.first_violation[0] != '\0')
		g_test_message("%s", total.first_violation);
	g_assert_cmpuint(total.double_owners, ==, 0);
	g_assert_cmpuint(total.different_maps, ==, 0);
	g_assert_cmpuint(total.unserved, ==, 0);
	/* Orders without takeovers would not exercise the rules. */
	g_assert_cmpuint(total.takeovers, >, 2 * orders);
}

/* Orders that failed before; the commits of their fixes describe them. */
static void
test_regression_orders(void)
{
	static const uint64_t seeds[] = {
	    33, 96, 247, 1060184, 1095986, 1110591, 5161891};

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
		struct world w;

		world_open(&w, seeds[i], DISABLED_NONE);
		world_run(&w);
		world_close(&w);
		g_assert_cmpstr(w.first_violation, ==, "");
	}
}

/* Guards against a check that cannot fail: each disabled rule is detected. */
static void
test_disabled_rules(void)
{
	static const char *const names[DISABLED_COUNT] = {
	    [DISABLED_DRIFT] = "no-drift-allowance",
	    [DISABLED_WAIT] = "no-wait",
	    [DISABLED_PENDING] = "pending-claims-not-named",
	    [DISABLED_POSITION] = "own-claim-not-told"};

	for (int disabled = DISABLED_NONE + 1; disabled < DISABLED_COUNT;
	     disabled++) {
		struct total total =
		    run_all(ORDERS_DISABLED, (enum disabled_rule)disabled);

		g_test_message("figure variant=%s orders=%u violations=%u "
			       "seed=%" G_GUINT64_FORMAT,
		    names[disabled], total.started, total.double_owners,
		    total.seed);
		g_assert_cmpuint(total.double_owners, >, 0);
	}
}

/* Unit tests, with a map of 1 data centre and mostly 4 shards. */

#define A 0xaULL
#define B 0xbULL
#define C 0xcULL

struct fixture {
	struct own *own;
	struct member_table *members;
	int64_t offset;
};

static const struct own_shard_id shard0 = {0, 0};

static struct member_identity
identity_of(uint64_t session)
{
	struct member_identity identity = {.session = session, .weight = 1.0};

	(void)g_snprintf(
	    identity.instance, sizeof(identity.instance), "i%d", (int)session);
	(void)g_snprintf(identity.address, sizeof(identity.address),
	    "127.0.0.1:%d", (int)session);
	return (identity);
}

static void
fixture_open(struct fixture *x, uint64_t self, unsigned shards)
{
	struct own_settings settings = {.datacentres = 1,
	    .shards = shards,
	    .stagger_ms = 1,
	    .settle_ms = 1};
	struct member_settings times = {0};
	struct member_identity identity = identity_of(self);

	x->own = own_open(&settings, &identity);
	x->members = member_table_open(&times, &identity);
	x->offset = 0;
}

static void
fixture_close(struct fixture *x)
{
	own_close(x->own);
	member_table_close(x->members);
}

static enum own_applied
apply(struct fixture *x, json_t *record, clk_ms now)
{
	enum own_applied applied = own_apply(x->own, x->offset++, record, now);

	if (applied == OWN_APPLIED)
		member_apply(x->members, record, now);
	json_decref(record);
	return (applied);
}

static void
open_session(struct fixture *x, uint64_t session, clk_ms now)
{
	struct member_identity identity = identity_of(session);

	g_assert_cmpint(apply(x, member_session_open_record(&identity), now),
	    ==, OWN_APPLIED);
}

static json_t *
record_of(const char *kind, uint64_t by, uint64_t epoch, const char *holder)
{
	char text[PLOG_SESSION_SIZE];
	json_t *record = json_pack("{s:s, s:s, s:[{s:i, s:i, s:I, s:[]}]}",
	    "kind", kind, "session", plog_session_format(text, by), "shards",
	    "datacentre", 0, "shard", 0, "epoch", (json_int_t)epoch, "holders");
	json_t *entry = json_array_get(json_object_get(record, "shards"), 0);

	if (holder != NULL)
		(void)json_array_append_new(
		    json_object_get(entry, "holders"), json_string(holder));
	return (record);
}

static json_t *
handover_of(uint64_t by, uint64_t epoch, uint64_t to)
{
	json_t *record = record_of("handover", by, epoch, NULL);
	char text[PLOG_SESSION_SIZE];

	(void)json_object_set_new(
	    json_array_get(json_object_get(record, "shards"), 0), "to",
	    json_string(plog_session_format(text, to)));
	return (record);
}

static struct own_shard
shard_of(const struct fixture *x)
{
	struct own_shard shard;

	g_assert_true(own_shard_get(x->own, shard0, &shard));
	return (shard);
}

/* A and B are open, A owns shard 0, and B is its replica holder. */
static void
set_up_owner_a(struct fixture *x)
{
	open_session(x, A, 0);
	open_session(x, B, 0);
	g_assert_cmpint(
	    apply(x, record_of("claim", A, 0, "000000000000000b"), 0), ==,
	    OWN_APPLIED);
}

/*
 * Guards against a rate limiter that lets grants of two owners count at once:
 * a claim that had to wait says so, and neither the first claim nor a handover
 * does.
 */
static void
test_waited(void)
{
	struct fixture x;

	fixture_open(&x, C, 4);
	set_up_owner_a(&x);
	g_assert_cmpint(shard_of(&x).waited, ==, 0);
	g_assert_cmpint(
	    apply(&x, record_of("claim", B, 1, "000000000000000a"), 0), ==,
	    OWN_APPLIED);
	g_assert_cmpint(shard_of(&x).waited, >=, TAKEOVER);
	g_assert_cmpint(apply(&x, handover_of(B, 2, A), 0), ==, OWN_APPLIED);
	g_assert_cmpint(shard_of(&x).waited, ==, 0);
	fixture_close(&x);
}

static void
decide_and_drop(struct fixture *x, clk_ms now)
{
	struct own_action actions[16];
	size_t n =
	    own_decide(x->own, x->members, now, actions, G_N_ELEMENTS(actions));

	for (size_t i = 0; i < n; i++) {
		if (actions[i].kind == OWN_ACT_RECOVER)
			own_recovery_done(
			    x->own, actions[i].id, actions[i].epoch);
		if (actions[i].kind == OWN_ACT_APPEND)
			json_decref(actions[i].record);
	}
}

/* Guards against an owner that acts after its horizon, as after a pause. */
static void
test_horizon(void)
{
	struct fixture x;
	struct own_pending_claims none = {.last_claim_offset = -1};

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	decide_and_drop(&x, 0);
	g_assert_false(own_may_act(x.own, shard0, 0));
	own_log_read_done(x.own, 1000);
	/* 3 s less 1%. */
	g_assert_cmpint(own_horizon(x.own, shard0, 1000), ==, 1000 + 2970);
	g_assert_true(own_may_act(x.own, shard0, 3969));
	g_assert_false(own_may_act(x.own, shard0, 3970));
	/* Without the log, the holder's answers extend it. */
	own_heartbeat_answered(x.own, B, 5000, &none);
	g_assert_cmpint(own_horizon(x.own, shard0, 5000), ==, 5000 + 2970);
	/* A late answer does not move it back. */
	own_heartbeat_answered(x.own, B, 2000, &none);
	g_assert_cmpint(own_horizon(x.own, shard0, 5000), ==, 5000 + 2970);
	/* It ends when a session that is no holder may have claimed. */
	own_heartbeat_answered(x.own, B, 2000000, &none);
	g_assert_cmpint(own_horizon(x.own, shard0, 5000), ==, 1000 + 594000);
	/* A stopped process has the same horizon when it resumes. */
	g_assert_false(own_may_act(x.own, shard0, 595000));
	fixture_close(&x);
}

/* Guards against an answer that extends the horizon without a proof. */
static void
test_answer_without_proof(void)
{
	struct fixture x;
	struct own_pending_claims pending = {
	    .last_claim_offset = -1, .n = 1, .shards = {{0, 0}}};

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	decide_and_drop(&x, 0);
	own_log_read_done(x.own, 1000);
	/* The holder has a pending claim of this shard. */
	own_heartbeat_answered(x.own, B, 3000, &pending);
	g_assert_cmpint(own_horizon(x.own, shard0, 3000), ==, 3970);
	/* It has a valid claim that this session has not read. */
	pending.n = 0;
	pending.last_claim_offset = own_next_offset(x.own);
	own_heartbeat_answered(x.own, B, 3000, &pending);
	g_assert_cmpint(own_horizon(x.own, shard0, 3000), ==, 3970);
	/* Its list of pending claims is truncated. */
	pending.last_claim_offset = -1;
	pending.truncated = true;
	own_heartbeat_answered(x.own, B, 3000, &pending);
	g_assert_cmpint(own_horizon(x.own, shard0, 3000), ==, 3970);
	fixture_close(&x);
}

/* A peer's read counts as older than the peer reported, due to drift. */
static void
test_peer_read(void)
{
	struct fixture x;

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	decide_and_drop(&x, 0);
	own_peer_read_done(x.own, 10000, 1000);
	g_assert_cmpint(
	    own_horizon(x.own, shard0, 10000), <=, 10000 - 1021 + 2970);
	g_assert_cmpint(
	    own_horizon(x.own, shard0, 10000), >=, 10000 - 1030 + 2970);
	fixture_close(&x);
}

/* Of a claim and a handover for one epoch, the first in the log is valid. */
static void
test_claim_and_handover_race(void)
{
	struct fixture x;

	fixture_open(&x, C, 4);
	set_up_owner_a(&x);
	open_session(&x, C, 0);
	g_assert_cmpint(apply(&x, handover_of(A, 1, C), 0), ==, OWN_APPLIED);
	g_assert_cmpint(
	    apply(&x, record_of("claim", B, 1, NULL), 0), ==, OWN_NOT_VALID);
	g_assert_cmphex(shard_of(&x).owner, ==, C);
	g_assert_cmpint(shard_of(&x).phase, ==, OWN_SERVING);
	g_assert_cmpint(
	    apply(&x, record_of("claim", B, 2, NULL), 0), ==, OWN_APPLIED);
	g_assert_cmpint(apply(&x, handover_of(C, 2, A), 0), ==, OWN_NOT_VALID);
	g_assert_cmphex(shard_of(&x).owner, ==, B);
	/* A handover by another session than the owner is not valid. */
	g_assert_cmpint(apply(&x, handover_of(A, 3, C), 0), ==, OWN_NOT_VALID);
	fixture_close(&x);
}

static uint64_t
claim_ref(struct fixture *x, clk_ms now)
{
	struct own_action actions[16];
	size_t n =
	    own_decide(x->own, x->members, now, actions, G_N_ELEMENTS(actions));
	uint64_t ref = 0;

	for (size_t i = 0; i < n; i++) {
		if (actions[i].kind != OWN_ACT_APPEND)
			continue;
		if (strcmp(json_string_value(
			       json_object_get(actions[i].record, "kind")),
			"claim") == 0)
			ref = actions[i].ref;
		json_decref(actions[i].record);
	}
	return (ref);
}

/*
 * Guards against dropping a claim of unknown outcome, which may still appear in
 * the log, and against starting its wait before it is read.
 */
static void
test_claim_with_lost_reply(void)
{
	struct fixture x;
	struct own_pending_claims pending;
	uint64_t ref;

	fixture_open(&x, B, 1);
	set_up_owner_a(&x);
	/* A has failed. */
	member_session_remove(x.members, A, 100);
	own_log_read_done(x.own, 100);
	(void)claim_ref(&x, 100);
	own_log_read_done(x.own, 200);
	own_pending_get(x.own, &pending);
	if (pending.n == 0)
		(void)claim_ref(&x, 200);
	own_pending_get(x.own, &pending);
	g_assert_cmpuint(pending.n, ==, 1);
	/* Refs count from 1; an unknown outcome keeps the claim pending. */
	own_append_done(x.own, 1, OWN_UNKNOWN);
	own_pending_get(x.own, &pending);
	g_assert_cmpuint(pending.n, ==, 1);
	/* If the second copy is refused, the first may still be stored. */
	own_log_read_done(x.own, 10000);
	ref = claim_ref(&x, 10000);
	g_assert_cmpuint(ref, ==, 2);
	own_append_done(x.own, ref, OWN_REFUSED);
	own_pending_get(x.own, &pending);
	g_assert_cmpuint(pending.n, ==, 1);
	/* It is read: the wait W, 3 s and 1%, starts. */
	g_assert_cmpint(
	    apply(&x, record_of("claim", B, 1, NULL), 20000), ==, OWN_APPLIED);
	own_pending_get(x.own, &pending);
	g_assert_cmpuint(pending.n, ==, 0);
	g_assert_cmpint(pending.last_claim_offset, ==, x.offset - 1);
	own_log_read_done(x.own, 23000);
	decide_and_drop(&x, 23030);
	g_assert_false(own_may_act(x.own, shard0, 23030));
	decide_and_drop(&x, 23031);
	g_assert_true(own_may_act(x.own, shard0, 23031));
	fixture_close(&x);
}

/* Decide until a handover is appended; returns its record. */
static json_t *
handover_record(struct fixture *x, clk_ms now)
{
	struct own_action actions[16];
	json_t *record = NULL;

	for (int round = 0; round < 4 && record == NULL; round++) {
		size_t n = own_decide(
		    x->own, x->members, now, actions, G_N_ELEMENTS(actions));

		for (size_t i = 0; i < n; i++) {
			if (actions[i].kind == OWN_ACT_PREPARE)
				own_handover_prepared(x->own, actions[i].id,
				    actions[i].epoch, true);
			if (actions[i].kind != OWN_ACT_APPEND)
				continue;
			own_append_done(x->own, actions[i].ref, OWN_APPENDED);
			g_assert_null(record);
			record = actions[i].record;
		}
	}
	g_assert_nonnull(record);
	g_assert_cmpstr(
	    json_string_value(json_object_get(record, "kind")), ==, "handover");
	return (record);
}

static uint64_t
successor_of(const json_t *record)
{
	uint64_t to = 0;

	g_assert_true(plog_session_parse(
	    json_string_value(json_object_get(
		json_array_get(json_object_get(record, "shards"), 0), "to")),
	    &to));
	return (to);
}

/*
 * Guards against an owner that acts again while its handover is in the log,
 * because it took a duplicate of an earlier handover, which is not valid, for
 * the failure of the later one.
 */
static void
test_second_copy_of_handover(void)
{
	struct fixture x;
	json_t *first;
	json_t *second;

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	open_session(&x, C, 0);
	decide_and_drop(&x, 0);
	first = record_of("holders", A, 1, "000000000000000b");
	(void)json_object_set_new(
	    json_array_get(json_object_get(first, "shards"), 0), "revision",
	    json_integer(1));
	g_assert_cmpint(apply(&x, first, 0), ==, OWN_APPLIED);
	own_stop_begin(x.own);
	own_log_read_done(x.own, 1000);
	first = handover_record(&x, 1000);
	g_assert_cmpint(shard_of(&x).phase, ==, OWN_RELEASED);
	g_assert_false(own_may_act(x.own, shard0, 1000));
	g_assert_cmpint(
	    apply(&x, own_session_close_record(successor_of(first)), 1000), ==,
	    OWN_APPLIED);
	g_assert_cmpint(apply(&x, json_incref(first), 1000), ==, OWN_NOT_VALID);
	g_assert_cmpint(shard_of(&x).phase, ==, OWN_SERVING);
	second = handover_record(&x, 1000);
	g_assert_cmphex(successor_of(second), !=, successor_of(first));
	g_assert_cmpint(apply(&x, first, 1000), ==, OWN_NOT_VALID);
	g_assert_cmpint(shard_of(&x).phase, ==, OWN_RELEASED);
	g_assert_false(own_may_act(x.own, shard0, 1000));
	g_assert_cmpint(apply(&x, second, 1000), ==, OWN_APPLIED);
	g_assert_cmpuint(own_owned_count(x.own), ==, 0);
	fixture_close(&x);
}

/* A restarted instance does not own the shards of its former session. */
static void
test_restart(void)
{
	struct fixture x;

	fixture_open(&x, C, 4);
	set_up_owner_a(&x);
	open_session(&x, C, 0);
	own_log_read_done(x.own, 1000);
	g_assert_cmphex(shard_of(&x).owner, ==, A);
	g_assert_cmpuint(own_owned_count(x.own), ==, 0);
	g_assert_false(own_may_act(x.own, shard0, 1000));
	fixture_close(&x);
}

/* A planned stop during an outage releases shards without a log record. */
static void
test_stop_during_outage(void)
{
	struct fixture x;
	struct own_pending_claims none = {.last_claim_offset = -1};

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	decide_and_drop(&x, 0);
	own_log_read_done(x.own, 1000);
	own_stop_begin(x.own);
	g_assert_true(own_may_act(x.own, shard0, 1000));
	g_assert_false(own_may_begin_calls(x.own, shard0, 1000));
	own_release_all(x.own);
	own_heartbeat_answered(x.own, B, 1100, &none);
	own_log_read_done(x.own, 1100);
	g_assert_false(own_may_act(x.own, shard0, 1100));
	fixture_close(&x);
}

/* Guards against a session that acts after another session closed it. */
static void
test_closed_by_others(void)
{
	struct fixture x;
	json_t *record = own_session_close_record(A);

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	decide_and_drop(&x, 0);
	own_log_read_done(x.own, 1000);
	(void)json_object_set_new(
	    record, "session", json_string("000000000000000b"));
	g_assert_cmpint(apply(&x, record, 1000), ==, OWN_APPLIED);
	g_assert_true(own_session_is_closed(x.own));
	g_assert_false(own_may_act(x.own, shard0, 1000));
	fixture_close(&x);
}

/* Set random fields of a record to random values. */
static json_t *
record_mutate(struct world *w, json_t *record)
{
	static const char *const keys[] = {"kind", "session", "shards",
	    "closes", "datacentre", "lost", "base", "weight", "instance",
	    "epoch", "shard", "holders", "to", "revision", "through", "parts",
	    "part", "sessions"};
	json_t *target = record;
	json_t *inner = json_array_get(json_object_get(record, "shards"), 0);

	if (inner != NULL && chance(w, 50))
		target = inner;
	for (int i = (int)between(w, 1, 3); i > 0; i--) {
		const char *key = keys[between(w, 0, G_N_ELEMENTS(keys) - 1)];
		json_t *values[] = {json_integer(between(w, -3, 3)),
		    json_integer(INT64_MAX), json_null(), json_string("x"),
		    json_pack("[{}]"), json_pack("[s]", "zz"), json_object(),
		    json_real(1e300), json_true(), json_string("map")};
		size_t chosen = (size_t)between(w, 0, G_N_ELEMENTS(values) - 1);

		(void)json_object_set(target, key, values[chosen]);
		for (size_t k = 0; k < G_N_ELEMENTS(values); k++)
			json_decref(values[k]);
	}
	return (record);
}

/* A record that the log client dropped as a duplicate counts as read. */
static void
test_skip_dropped(void)
{
	struct fixture x;
	struct own_pending_claims answer = {.last_claim_offset = 3};

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	decide_and_drop(&x, 0);
	own_log_read_done(x.own, 1000);
	own_heartbeat_answered(x.own, B, 2000, &answer);
	g_assert_cmpint(own_horizon(x.own, shard0, 2000), ==, 3970);
	own_skip_dropped(x.own, 4);
	own_heartbeat_answered(x.own, B, 2000, &answer);
	g_assert_cmpint(own_horizon(x.own, shard0, 2000), ==, 4970);
	own_skip_dropped(x.own, 2);
	g_assert_cmpint(own_next_offset(x.own), ==, 4);
	fixture_close(&x);
}

/* Guards against a malformed record that stops readers or is half applied. */
static void
test_undecodable(void)
{
	struct fixture x;
	struct world w = {.random = 7};
	struct member_identity c = identity_of(C);
	unsigned counted;

	fixture_open(&x, B, 4);
	set_up_owner_a(&x);
	g_assert_cmpint(apply(&x, json_pack("[i]", 1), 0), ==, OWN_UNDECODABLE);
	g_assert_cmpint(apply(&x, json_pack("{s:s}", "kind", "claim"), 0), ==,
	    OWN_UNDECODABLE);
	g_assert_cmpint(
	    apply(&x, json_pack("{s:s}", "kind", "other"), 0), ==, OWN_IGNORED);
	g_assert_cmpuint(own_undecodable_count(x.own), ==, 2);
	for (int i = 0; i < 50000; i++) {
		json_t *records[] = {
		    record_of("claim", B, shard_of(&x).epoch, NULL),
		    record_of("holders", A, 1, "000000000000000b"),
		    handover_of(A, shard_of(&x).epoch, B),
		    own_session_close_record(C), member_session_open_record(&c),
		    own_datacentre_lost_record(x.own, 0, true)};
		size_t chosen =
		    (size_t)between(&w, 0, G_N_ELEMENTS(records) - 1);

		(void)apply(
		    &x, record_mutate(&w, json_incref(records[chosen])), i);
		for (size_t k = 0; k < G_N_ELEMENTS(records); k++)
			json_decref(records[k]);
	}
	counted = (unsigned)own_undecodable_count(x.own);
	g_assert_cmpuint(counted, >, 1000);
	g_test_message(
	    "figure damaged_records=50000 undecodable=%u seed=7", counted);
	fixture_close(&x);
}

/* Guards against a late duplicate of session_open that reopens a session. */
static void
test_second_copy_of_open(void)
{
	struct fixture x;
	struct member_identity c = identity_of(C);

	fixture_open(&x, A, 4);
	set_up_owner_a(&x);
	open_session(&x, C, 0);
	g_assert_cmpint(
	    apply(&x, own_session_close_record(C), 0), ==, OWN_APPLIED);
	g_assert_cmpint(
	    apply(&x, member_session_open_record(&c), 0), ==, OWN_NOT_VALID);
	g_assert_cmpint(member_state_get(x.members, C), ==, MEMBER_UNKNOWN);
	fixture_close(&x);
}

/*
 * The target size: 6 data centres of 1,024 shards and 400 sessions.  Prints
 * the times of operations, and guards against parts of a snapshot that are too
 * large for a record of the log.
 */
static void
test_target_size(void)
{
	struct own_settings settings = {.datacentres = 6, .shards = 1024};
	struct member_settings times = {0};
	struct member_identity self = identity_of(1000);
	struct own_action actions[64];
	struct own *own = own_open(&settings, &self);
	struct own *copy = own_open(&settings, &self);
	struct member_table *members = member_table_open(&times, &self);
	gint64 began;
	gint64 applied;
	gint64 decided;
	gint64 copied;
	int64_t offset = 0;
	json_t *parts;
	size_t bytes = 0;

	for (unsigned i = 0; i < 400; i++) {
		struct member_identity identity = identity_of(1000 + i);
		json_t *record;

		identity.datacentre = i % 6;
		record = member_session_open_record(&identity);
		(void)own_apply(own, offset++, record, 0);
		member_apply(members, record, 0);
		json_decref(record);
	}
	began = g_get_monotonic_time();
	for (int d = 0; d < 6; d++) {
		for (int s = 0; s < 1024; s++) {
			uint64_t by =
			    1000 + (uint64_t)d + 6 * (uint64_t)(s % 66);
			json_t *record =
			    record_of("claim", by, 0, "0000000000000578");
			json_t *entry = json_array_get(
			    json_object_get(record, "shards"), 0);

			(void)json_object_set_new(
			    entry, "datacentre", json_integer(d));
			(void)json_object_set_new(
			    entry, "shard", json_integer(s));
			g_assert_cmpint(own_apply(own, offset++, record, 0), ==,
			    OWN_APPLIED);
			json_decref(record);
		}
	}
	applied = g_get_monotonic_time();
	for (int i = 0; i < 100; i++) {
		size_t n;

		own_log_read_done(own, i * 250);
		member_update(members, i * 250);
		n = own_decide(own, members, i * 250, actions, 64);
		for (size_t k = 0; k < n; k++) {
			if (actions[k].kind == OWN_ACT_APPEND)
				json_decref(actions[k].record);
		}
	}
	decided = g_get_monotonic_time();
	parts = own_snapshot(own, 100000);
	own_gap_set(copy, offset);
	for (size_t i = 0; i < json_array_size(parts); i++) {
		char *text = json_dumps(json_array_get(parts, i), JSON_COMPACT);

		bytes = MAX(bytes, strlen(text));
		free(text);
		(void)own_restore(copy, json_array_get(parts, i), 100000);
	}
	copied = g_get_monotonic_time();
	g_assert_true(own_is_complete(copy));
	g_assert_cmpint(own_next_offset(copy), ==, offset);
	g_assert_cmphex(own_digest(copy), ==, own_digest(own));
	/* A part must fit into one record of the log. */
	g_assert_cmpuint(bytes, <, 256 * 1024);
	g_test_message("figure target apply_us=%.1f decide_us=%.0f "
		       "snapshot_ms=%.1f parts=%zu largest_part=%zu",
	    (double)(applied - began) / 6144.0,
	    (double)(decided - applied) / 100.0,
	    (double)(copied - decided) / 1000.0, json_array_size(parts), bytes);
	json_decref(parts);
	own_close(copy);
	own_close(own);
	member_table_close(members);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/own/horizon", test_horizon);
	g_test_add_func("/own/answer-without-proof", test_answer_without_proof);
	g_test_add_func("/own/peer-read", test_peer_read);
	g_test_add_func(
	    "/own/claim-and-handover-race", test_claim_and_handover_race);
	g_test_add_func(
	    "/own/claim-with-lost-reply", test_claim_with_lost_reply);
	g_test_add_func(
	    "/own/second-copy-of-handover", test_second_copy_of_handover);
	g_test_add_func("/own/waited", test_waited);
	g_test_add_func("/own/restart", test_restart);
	g_test_add_func("/own/stop-during-outage", test_stop_during_outage);
	g_test_add_func("/own/closed-by-others", test_closed_by_others);
	g_test_add_func("/own/advance", test_skip_dropped);
	g_test_add_func("/own/undecodable", test_undecodable);
	g_test_add_func("/own/second-copy-of-open", test_second_copy_of_open);
	g_test_add_func("/own/target-size", test_target_size);
	g_test_add_func("/own/found-orders", test_regression_orders);
	g_test_add_func("/own/orders", test_orders);
	g_test_add_func("/own/broken-rules", test_disabled_rules);
	return (g_test_run());
}
