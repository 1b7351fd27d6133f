/*
 * Tests of the distributed rate limiter: the split of a limit, grants, and
 * random event orders with clock drift, lost, late and duplicated messages,
 * pauses, takeovers, handovers and borrowing.  The test counts the spent
 * tokens itself; they must stay within r*w + b in every window.
 */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "lib/test_orders.h"
#include "rate/rate.h"

#define ORGANISATION	  "copiadora"
#define SHARD		  7
#define DATACENTRES	  2
#define INSTANCES	  3 /* in each data centre */
#define NODES		  (DATACENTRES * INSTANCES)
#define MESSAGES_MAX	  256
#define GREEDY_GRANTS_MAX 64
#define NANOS_PER_TOKEN	  ((int64_t)1000000000)

/* Protocol faults that the test injects, each against one protection. */
enum variant {
	PROTECTED,
	LIFETIME_FROM_RECEIPT, /* a grant's lifetime starts at its receipt */
	DRIFT_TOO_LARGE, /* clocks drift by more than RATE_DRIFT_MAX_PPM */
	EARLY_TAKEOVER, /* takeover before the old coordinator's horizon */
	REPORTS_TWICE, /* a duplicated report is applied twice */
	NO_HORIZON, /* a former coordinator grants after its horizon */
	RETURNS_KEPT /* a holder spends tokens that it has returned */
};

/*
 * An exact check of "at most r*w + b in every window": excess is the maximum
 * of n(window) - r*w over all windows that end now, maintained as in the
 * maximum subarray problem.
 */
struct reference {
	int64_t rate; /* 1e-9 tokens per microsecond */
	int64_t burst;
	int64_t excess; /* 1e-9 tokens */
	int64_t last;
	unsigned spent;
	unsigned violations;
};

static void
reference_spend(struct reference *reference, int64_t real)
{
	__int128 decay = (__int128)reference->rate * (real - reference->last);

	if (decay >= reference->excess)
		reference->excess = 0;
	else
		reference->excess -= (int64_t)decay;
	reference->excess += NANOS_PER_TOKEN;
	reference->last = real;
	reference->spent++;
	if (reference->excess > reference->burst * NANOS_PER_TOKEN)
		reference->violations++;
}

/*
 * A holder that follows the protocol but keeps its tokens until shortly before
 * they expire and then spends all at once, unlike the module's own holder.
 */
struct greedy {
	unsigned grants;
	struct {
		uint64_t serial;
		clk_ms sent;
		bool answered;
		uint32_t tokens;
		clk_ms expiry;
	} grant[GREEDY_GRANTS_MAX];
	uint32_t used; /* not reported yet */
	uint64_t serial;
};

struct node {
	struct sim *sim;
	unsigned datacentre;
	int64_t drift; /* millionths */
	int64_t offset; /* us */
	int64_t paused_until;
	struct rate_coordinator *coordinator;
	struct rate_holder *holder;
	uint64_t session;
	clk_ms horizon; /* on its own clock; 0: never an owner */
	unsigned waiting;
	struct greedy greedy;
	uint32_t kept; /* RETURNS_KEPT: returned tokens to be spent */
};

struct message {
	bool reply;
	bool borrow;
	int64_t due;
	unsigned from;
	unsigned to;
	clk_ms sent; /* on the requester's clock */
	int64_t sent_real;
	struct rate_request request;
	struct rate_reply answer;
};

struct sim {
	GRand *rand;
	enum variant variant;
	int64_t real; /* us */
	struct node nodes[NODES];
	unsigned owner[DATACENTRES];
	struct message messages[MESSAGES_MAX];
	unsigned pending; /* messages in flight */
	unsigned datacentres; /* 1: the whole limit in one data centre */
	uint64_t renumbered;
	uint64_t lent; /* to the other data centre */
	bool greedy_holders;
	int faults; /* percentage of pauses and takeovers */
	int64_t rate; /* of the organisation, thousandths per second */
	int64_t burst;
	struct reference reference; /* over the whole run */
	struct reference settled; /* since the last change took full effect */
	int64_t settled_at;
	clk_ms delay; /* longest delay of a message */
	clk_ms lease;
	unsigned loss; /* percent */
	unsigned duplicates; /* percent */
};

static clk_ms
node_now(const struct node *node)
{
	int64_t us = node->offset + node->sim->real +
	    node->sim->real * node->drift / 1000000;

	return (us / 1000);
}

static bool
node_runs(const struct node *node)
{
	return (node->sim->real >= node->paused_until);
}

static void
sim_spend(struct sim *sim)
{
	reference_spend(&sim->reference, sim->real);
	if (sim->real >= sim->settled_at)
		reference_spend(&sim->settled, sim->real);
}

static bool
limit_of(const char *organisation, struct rate_limit *limit, void *arg)
{
	static const uint32_t both[DATACENTRES] = {1, 1};
	static const uint32_t first[DATACENTRES] = {1, 0};
	const struct node *node = arg;
	const uint32_t *weights = node->sim->datacentres == 1 ? first : both;

	if (strcmp(organisation, ORGANISATION) != 0)
		return (false);
	limit->rate =
	    rate_split(node->sim->rate, weights, DATACENTRES, node->datacentre);
	limit->burst = rate_split(
	    node->sim->burst, weights, DATACENTRES, node->datacentre);
	return (true);
}

static uint16_t
shard_of(const char *organisation, void *arg)
{
	(void)organisation;
	(void)arg;
	return (SHARD);
}

static void
on_done(void *waiter, enum rate_outcome outcome, clk_ms retry_after, void *arg)
{
	struct node *node = arg;

	g_assert_true(waiter == node);
	g_assert_cmpuint(node->waiting, >, 0);
	node->waiting--;
	if (outcome == RATE_TAKEN)
		sim_spend(node->sim);
	else
		g_assert_cmpint(retry_after, >, 0);
}

static void
message_send(struct sim *sim, const struct message *message)
{
	unsigned copies = 1;

	if (g_rand_int_range(sim->rand, 0, 100) < (int)sim->loss)
		copies = 0;
	else if (g_rand_int_range(sim->rand, 0, 100) < (int)sim->duplicates)
		copies = 2;
	while (copies-- > 0 && sim->pending < MESSAGES_MAX) {
		struct message *copy = &sim->messages[sim->pending++];

		*copy = *message;
		copy->due = sim->real +
		    g_rand_int_range(
			sim->rand, 100, (gint32)(sim->delay * 1000) + 200);
	}
}

static void
send_request(const struct rate_request *request, void *arg)
{
	struct node *node = arg;
	struct sim *sim = node->sim;
	struct message message = {
	    .from = (unsigned)(node - sim->nodes),
	    .to = sim->owner[node->datacentre],
	    .sent = node_now(node),
	    .sent_real = sim->real,
	    .request = *request,
	    .borrow = request->borrow,
	};

	/* The module frees its string; the message outlives it. */
	message.request.organisation = ORGANISATION;
	if (request->borrow)
		message.to = sim->owner[1 - node->datacentre];
	node->kept += request->returned;
	message_send(sim, &message);
}

/* Whether a grant expires soon. */
static bool
greedy_is_due(const struct node *node)
{
	const struct greedy *greedy = &node->greedy;
	clk_ms now = node_now(node);

	for (unsigned i = 0; i < greedy->grants; i++) {
		if (greedy->grant[i].tokens > 0 &&
		    greedy->grant[i].expiry > now &&
		    greedy->grant[i].expiry <= now + 40)
			return (true);
	}
	return (false);
}

static void
greedy_spend(struct node *node)
{
	struct greedy *greedy = &node->greedy;
	clk_ms now = node_now(node);

	for (unsigned i = 0; i < greedy->grants; i++) {
		if (greedy->grant[i].expiry <= now)
			greedy->grant[i].tokens = 0;
		for (; greedy->grant[i].tokens > 0; greedy->grant[i].tokens--) {
			greedy->used++;
			sim_spend(node->sim);
		}
	}
}

/* All holders spend as soon as a grant of one of them expires soon. */
static void
greedy_spend_all(struct sim *sim)
{
	bool due = false;

	for (unsigned i = 0; i < NODES; i++)
		due |=
		    node_runs(&sim->nodes[i]) && greedy_is_due(&sim->nodes[i]);
	for (unsigned i = 0; i < NODES && due; i++) {
		if (node_runs(&sim->nodes[i]))
			greedy_spend(&sim->nodes[i]);
	}
}

/* Requests up to the burst and reports the used tokens. */
static void
greedy_request(struct node *node)
{
	struct greedy *greedy = &node->greedy;
	struct rate_request request = {.organisation = ORGANISATION,
	    .shard = SHARD,
	    .serial = ++greedy->serial,
	    .wanted = (uint32_t)g_rand_int_range(
		node->sim->rand, 1, (gint32)node->sim->burst + 1),
	    .used = greedy->used};
	unsigned slot = greedy->grants;
	clk_ms now = node_now(node);

	if (slot > 0 && !greedy->grant[slot - 1].answered &&
	    now - greedy->grant[slot - 1].sent < CLK_SECOND)
		return;
	if (slot == GREEDY_GRANTS_MAX)
		return;
	if (g_rand_int_range(node->sim->rand, 0, 5) == 0) {
		for (unsigned i = 0; i < slot; i++) {
			if (greedy->grant[i].expiry > now)
				request.returned += greedy->grant[i].tokens;
			greedy->grant[i].tokens = 0;
		}
	}
	greedy->grants++;
	greedy->used = 0;
	greedy->grant[slot].serial = request.serial;
	greedy->grant[slot].sent = now;
	send_request(&request, node);
}

static void
greedy_reply(struct node *node, const struct message *message)
{
	struct greedy *greedy = &node->greedy;

	for (unsigned i = 0; i < greedy->grants; i++) {
		if (greedy->grant[i].serial != message->request.serial ||
		    greedy->grant[i].answered)
			continue;
		greedy->grant[i].answered = true;
		greedy->grant[i].tokens = message->answer.tokens;
		greedy->grant[i].expiry =
		    greedy->grant[i].sent + message->answer.lifetime;
	}
}

static void
greedy_act(struct node *node)
{
	if (g_rand_int_range(node->sim->rand, 0, 20) == 0)
		greedy_spend(node);
	else
		greedy_request(node);
}

static void
deliver_request(struct sim *sim, const struct message *message)
{
	struct node *node = &sim->nodes[message->to];
	struct message reply = *message;
	struct rate_request request = message->request;
	uint64_t session = sim->nodes[message->from].session;
	clk_ms horizon = node->horizon;

	if (sim->variant == REPORTS_TWICE)
		request.serial = ++sim->renumbered + ((uint64_t)1 << 40);
	if (message->borrow)
		session += 1000;
	if (sim->variant == NO_HORIZON && horizon != 0)
		horizon = INT64_MAX;
	if (!rate_coordinator_grant(node->coordinator, node_now(node), horizon,
		session, &request, &reply.answer))
		return;
	if (message->borrow)
		sim->lent += reply.answer.tokens;
	reply.reply = true;
	reply.to = message->from;
	reply.from = message->to;
	message_send(sim, &reply);
}

static void
deliver_reply(struct sim *sim, struct message *message)
{
	struct node *node = &sim->nodes[message->to];
	clk_ms now = node_now(node);

	if (sim->variant == LIFETIME_FROM_RECEIPT)
		message->answer.lifetime += now - message->sent;
	if (message->borrow) {
		/* The peer link delivers each reply once. */
		for (unsigned i = 0; i < sim->pending; i++) {
			struct message *other = &sim->messages[i];

			if (other->reply && other->borrow &&
			    other->to == message->to &&
			    other->request.serial == message->request.serial)
				other->answer.tokens = 0;
		}
		rate_coordinator_reply(node->coordinator, now, message->sent,
		    ORGANISATION, &message->answer);
		return;
	}
	if (sim->greedy_holders) {
		greedy_reply(node, message);
		return;
	}
	rate_holder_reply(node->holder, now, ORGANISATION,
	    message->request.serial, &message->answer);
}

static void
sim_deliver(struct sim *sim)
{
	for (unsigned i = 0; i < sim->pending;) {
		struct message *due = &sim->messages[i];
		struct message message;

		if (due->due > sim->real || !node_runs(&sim->nodes[due->to])) {
			i++;
			continue;
		}
		message = *due;
		*due = sim->messages[--sim->pending];
		if (message.reply)
			deliver_reply(sim, &message);
		else
			deliver_request(sim, &message);
	}
}

static void
node_take(struct node *node, int count)
{
	clk_ms now = node_now(node), retry_after;

	while (node->sim->variant == RETURNS_KEPT && node->kept > 0) {
		sim_spend(node->sim);
		node->kept--;
	}
	while (count-- > 0) {
		switch (rate_holder_take(
		    node->holder, now, ORGANISATION, node, &retry_after)) {
		case RATE_TAKEN:
			sim_spend(node->sim);
			break;
		case RATE_WAITING:
			node->waiting++;
			break;
		default:
			g_assert_cmpint(retry_after, >, 0);
		}
	}
	rate_holder_poll_one(
	    node->holder, now, ORGANISATION, send_request, node);
}

static void
node_acquire(
    struct sim *sim, unsigned datacentre, unsigned number, bool handover)
{
	struct node *node = &sim->nodes[number];

	sim->owner[datacentre] = number;
	node->horizon = node_now(node) + sim->lease;
	rate_coordinator_acquire(
	    node->coordinator, node_now(node), SHARD, handover);
}

static void
sim_takeover(struct sim *sim, unsigned datacentre)
{
	unsigned old = sim->owner[datacentre];
	struct node *owner = &sim->nodes[old];
	unsigned next = datacentre * INSTANCES +
	    (old + 1 - datacentre * INSTANCES) % INSTANCES;

	if (!node_runs(&sim->nodes[next]))
		return;
	if (node_runs(owner)) {
		/* A graceful handover. */
		rate_coordinator_release(owner->coordinator, SHARD);
		owner->horizon = 0;
		node_acquire(sim, datacentre, next, true);
		return;
	}
	if (node_now(owner) >= owner->horizon || sim->variant == EARLY_TAKEOVER)
		node_acquire(sim, datacentre, next, false);
}

static void
sim_change_limit(struct sim *sim)
{
	sim->rate = g_rand_int_range(sim->rand, 500, 60000);
	sim->burst = g_rand_int_range(sim->rand, 1, 60);
	sim->reference.rate = MAX(sim->reference.rate, sim->rate);
	sim->reference.burst = MAX(sim->reference.burst, sim->burst);
	sim->settled = (struct reference){.rate = sim->rate,
	    .burst = sim->burst,
	    .violations = sim->settled.violations};
	/* One grant lifetime plus the drift of two clocks. */
	sim->settled_at = sim->real + 2100 * 1000;
	sim->settled.last = sim->settled_at;
}

static void
sim_step(struct sim *sim, int longest)
{
	struct node *node = &sim->nodes[g_rand_int_range(
	    sim->rand, 0, (gint32)(sim->datacentres * INSTANCES))];

	sim->real += g_rand_int_range(sim->rand, 0, longest);
	for (unsigned d = 0; d < sim->datacentres; d++) {
		struct node *owner = &sim->nodes[sim->owner[d]];

		if (!node_runs(owner) && g_rand_boolean(sim->rand))
			sim_takeover(sim, d);
		else if (node_runs(owner))
			owner->horizon = node_now(owner) + sim->lease;
	}
	sim_deliver(sim);
	for (unsigned i = 0; i < sim->datacentres * INSTANCES; i++) {
		struct node *each = &sim->nodes[i];

		if (!node_runs(each))
			continue;
		if (sim->greedy_holders)
			continue;
		rate_holder_tick(each->holder, node_now(each));
		rate_holder_poll(
		    each->holder, node_now(each), send_request, each);
	}
	if (sim->greedy_holders)
		greedy_spend_all(sim);
	if (!node_runs(node))
		return;
	if (g_rand_int_range(sim->rand, 0, 100) < sim->faults) {
		if (g_rand_boolean(sim->rand))
			node = &sim->nodes[sim->owner[node->datacentre]];
		if (g_rand_int_range(sim->rand, 0, 3) > 0)
			node->paused_until = sim->real +
			    g_rand_int_range(
				sim->rand, 0, (gint32)sim->lease * 2000);
		else
			sim_takeover(sim, node->datacentre);
		return;
	}
	switch (g_rand_int_range(sim->rand, 0, 20)) {
	case 0:
		rate_coordinator_tick(node->coordinator, node_now(node));
		break;
	case 1:
	case 2:
	case 3:
		if (sim->datacentres > 1)
			rate_coordinator_poll(node->coordinator, node_now(node),
			    send_request, node);
		break;
	case 4:
		if (g_rand_boolean(sim->rand) && sim->settled_at == 0 &&
		    sim->variant == PROTECTED)
			sim_change_limit(sim);
		break;
	default:
		if (sim->greedy_holders) {
			greedy_act(node);
			break;
		}
		node_take(node,
		    g_rand_int_range(sim->rand, 0, (gint32)sim->burst + 3));
	}
}

static void
sim_open(struct sim *sim, uint32_t seed, enum variant variant)
{
	int drift = variant == DRIFT_TOO_LARGE ? 200000 : RATE_DRIFT_MAX_PPM;

	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->variant = variant;
	sim->rate = g_rand_int_range(sim->rand, 500, 60000);
	sim->burst = g_rand_int_range(sim->rand, 1, 60);
	/* Buckets that fill within a grant's lifetime find most faults. */
	if (g_rand_boolean(sim->rand))
		sim->rate = sim->burst * g_rand_int_range(sim->rand, 300, 3000);
	switch (g_rand_int_range(sim->rand, 0, 4)) {
	case 0:
		sim->delay = 2500;
		break;
	case 1:
		sim->delay = g_rand_int_range(sim->rand, 1, 200);
		break;
	default:
		sim->delay = 3;
	}
	sim->loss = g_rand_boolean(sim->rand)
	    ? 0
	    : (unsigned)g_rand_int_range(sim->rand, 0, 30);
	sim->lease = g_rand_int_range(sim->rand, 300, 3000);
	sim->duplicates = (unsigned)g_rand_int_range(sim->rand, 0, 60);
	sim->greedy_holders = g_rand_boolean(sim->rand);
	sim->datacentres = g_rand_boolean(sim->rand) ? 1 : 2;
	sim->faults =
	    g_rand_boolean(sim->rand) ? 0 : g_rand_int_range(sim->rand, 0, 8);
	sim->reference =
	    (struct reference){.rate = sim->rate, .burst = sim->burst};
	sim->settled = sim->reference;
	for (unsigned i = 0; i < NODES; i++) {
		struct node *node = &sim->nodes[i];

		node->sim = sim;
		node->datacentre = i / INSTANCES;
		node->session = i + 1;
		node->drift = g_rand_int_range(sim->rand, -drift, drift + 1);
		node->offset = g_rand_int_range(sim->rand, 0, 1000000000);
		node->coordinator = rate_coordinator_new(limit_of, node);
		node->holder = rate_holder_new(shard_of, on_done, node);
	}
	for (unsigned d = 0; d < DATACENTRES; d++)
		node_acquire(sim, d, d * INSTANCES, false);
}

static void
sim_close(struct sim *sim)
{
	for (unsigned i = 0; i < NODES; i++) {
		rate_coordinator_free(sim->nodes[i].coordinator);
		rate_holder_free(sim->nodes[i].holder);
	}
	g_rand_free(sim->rand);
}

struct totals {
	unsigned violations;
	unsigned orders_violated;
	uint64_t spent;
	uint64_t lent;
};

static void
run_orders(
    uint32_t seed, unsigned orders, enum variant variant, struct totals *totals)
{
	struct sim *sim = g_new(struct sim, 1);

	*totals = (struct totals){0};
	for (unsigned order = 0; order < orders; order++) {
		unsigned violations;
		int longest;

		sim_open(sim, seed + order, variant);
		longest =
		    g_rand_int_range(sim->rand, 0, 3) == 0 ? 150000 : 40000;
		for (unsigned i = 0; i < 200; i++)
			sim_step(sim, longest);
		violations =
		    sim->reference.violations + sim->settled.violations;
		if (violations > 0 && variant == PROTECTED)
			g_test_message("order with seed %u: %u violations",
			    seed + order, violations);
		totals->violations += violations;
		totals->orders_violated += violations > 0;
		totals->spent += sim->reference.spent;
		totals->lent += sim->lent;
		sim_close(sim);
	}
	g_free(sim);
}

/*
 * Guards against more than r*w + b tokens in a window under any order of
 * requests, faults, takeovers, borrowing and changes of the limit.
 */
static void
test_orders(void)
{
	struct totals totals;
	uint32_t seed = orders_seed();
	unsigned orders = 20000;

	run_orders(seed, orders, PROTECTED, &totals);
	g_print("# figure rate orders=%u violations=%u seed=%u "
		"spent=%" G_GUINT64_FORMAT " lent=%" G_GUINT64_FORMAT "\n",
	    orders, totals.violations, seed, totals.spent, totals.lent);
	g_assert_cmpuint(totals.lent, >, 0);
	g_assert_cmpuint(totals.violations, ==, 0);
	g_assert_cmpuint(totals.spent, >, orders);
}

static unsigned
variant_violated(uint32_t seed, unsigned orders, int variant)
{
	struct totals totals;

	run_orders(seed, orders, (enum variant)variant, &totals);
	return (totals.orders_violated);
}

/* Guards against a check that can't fail: each fault must be detected. */
static void
test_variants(void)
{
	static const struct orders_variant variants[] = {
	    {LIFETIME_FROM_RECEIPT, "lifetime_from_receipt"},
	    {DRIFT_TOO_LARGE, "drift_too_large"},
	    {EARLY_TAKEOVER, "early_takeover"},
	    {REPORTS_TWICE, "reports_twice"},
	    {NO_HORIZON, "no_horizon"},
	    {RETURNS_KEPT, "returns_kept"},
	};

	orders_variants_check(
	    "rate", 2000, variants, G_N_ELEMENTS(variants), variant_violated);
}

/* Guards against shares that do not add up to the organisation's limit. */
static void
test_split(void)
{
	static const uint32_t weights[4] = {1, 1, 1, 0};
	static const uint32_t none[2] = {0, 0};
	static const uint32_t uneven[2] = {3, 1};

	for (int64_t total = 0; total < 50; total++) {
		int64_t sum = 0;

		for (unsigned i = 0; i < 4; i++)
			sum += rate_split(total, weights, 4, i);
		g_assert_cmpint(sum, ==, total);
	}
	g_assert_cmpint(rate_split(2, weights, 4, 0), ==, 1);
	g_assert_cmpint(rate_split(2, weights, 4, 2), ==, 0);
	g_assert_cmpint(rate_split(100, uneven, 2, 0), ==, 75);
	g_assert_cmpint(rate_split(5, none, 2, 0), ==, 0);
}

static bool
fixed_limit(const char *organisation, struct rate_limit *limit, void *arg)
{
	(void)organisation;
	*limit = *(const struct rate_limit *)arg;
	return (true);
}

/*
 * Guards against grants past the horizon, for a repeated request, without
 * ownership, and within one grant lifetime after a handover.
 */
static void
test_grant(void)
{
	struct rate_limit limit = {.rate = 10000, .burst = 20};
	struct rate_coordinator *coordinator =
	    rate_coordinator_new(fixed_limit, &limit);
	struct rate_request request = {
	    .organisation = "a", .shard = 1, .serial = 1, .wanted = 5};
	struct rate_reply reply;

	g_assert_false(
	    rate_coordinator_grant(coordinator, 0, 10000, 1, &request, &reply));
	rate_coordinator_acquire(coordinator, 0, 1, false);
	g_assert_true(
	    rate_coordinator_grant(coordinator, 0, 10000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	g_assert_cmpint(reply.retry_after, >, 50);
	g_assert_cmpint(reply.retry_after, <, 150);
	g_assert_false(rate_coordinator_grant(
	    coordinator, 1000, 10000, 1, &request, &reply));
	request.serial = 2;
	g_assert_true(rate_coordinator_grant(
	    coordinator, 1000, 10000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 5);
	g_assert_cmpint(reply.lifetime, ==, RATE_GRANT_LIFETIME_MS);
	request.serial = 3;
	g_assert_true(rate_coordinator_grant(
	    coordinator, 1500, 2000, 1, &request, &reply));
	g_assert_cmpint(reply.lifetime, <, 500);
	request.serial = 4;
	g_assert_false(rate_coordinator_grant(
	    coordinator, 2000, 2000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	rate_coordinator_acquire(coordinator, 3000, 1, true);
	request.serial = 5;
	g_assert_true(rate_coordinator_grant(
	    coordinator, 5000, 90000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	rate_coordinator_free(coordinator);
}

/*
 * Guards against an integer overflow that aborted the daemon: after a pause the
 * horizon of an instance without a lease is the smallest value that
 * own_horizon() returns.
 */
static void
test_grant_without_lease(void)
{
	struct rate_limit limit = {.rate = 10000, .burst = 20};
	struct rate_coordinator *coordinator =
	    rate_coordinator_new(fixed_limit, &limit);
	struct rate_request request = {
	    .organisation = "a", .shard = 1, .serial = 1, .wanted = 5};
	struct rate_reply reply;

	rate_coordinator_acquire(coordinator, 0, 1, false);
	g_assert_false(rate_coordinator_grant(
	    coordinator, 1000, INT64_MIN / 4, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	request.serial = 2;
	g_assert_false(rate_coordinator_grant(
	    coordinator, 1000, INT64_MIN, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	rate_coordinator_free(coordinator);
}

/* Guards against buckets of idle organisations that are never freed. */
static void
test_idle(void)
{
	struct rate_limit limit = {.rate = 10000, .burst = 20};
	struct rate_coordinator *coordinator =
	    rate_coordinator_new(fixed_limit, &limit);
	struct rate_request request = {.shard = 1, .serial = 1, .wanted = 1};
	struct rate_reply reply;
	char name[16];

	rate_coordinator_acquire(coordinator, 0, 1, false);
	for (unsigned i = 0; i < 1000; i++) {
		(void)g_snprintf(name, sizeof(name), "o%u", i);
		request.organisation = name;
		g_assert_true(rate_coordinator_grant(
		    coordinator, 9000, 100000, 1, &request, &reply));
		g_assert_cmpuint(reply.tokens, ==, 1);
	}
	g_assert_cmpuint(rate_coordinator_bucket_count(coordinator), ==, 1000);
	rate_coordinator_tick(coordinator, 10000);
	g_assert_cmpuint(rate_coordinator_bucket_count(coordinator), ==, 1000);
	rate_coordinator_tick(coordinator, 30000);
	g_assert_cmpuint(rate_coordinator_bucket_count(coordinator), ==, 0);
	rate_coordinator_free(coordinator);
}

struct direct {
	struct rate_coordinator *coordinator;
	struct rate_holder *holder;
	clk_ms now;
	unsigned taken;
	unsigned refused;
	uint64_t serial;
	struct rate_reply reply;
};

static void
direct_done(
    void *waiter, enum rate_outcome outcome, clk_ms retry_after, void *arg)
{
	struct direct *direct = arg;

	(void)waiter;
	(void)retry_after;
	if (outcome == RATE_TAKEN)
		direct->taken++;
	else
		direct->refused++;
}

static void
direct_send(const struct rate_request *request, void *arg)
{
	struct direct *direct = arg;

	direct->serial = request->serial;
	g_assert_true(rate_coordinator_grant(direct->coordinator, direct->now,
	    direct->now + 3000, 1, request, &direct->reply));
}

static void
direct_answer(struct direct *direct)
{
	if (direct->serial == 0)
		return;
	rate_holder_reply(direct->holder, direct->now, ORGANISATION,
	    direct->serial, &direct->reply);
	direct->serial = 0;
}

static void
request_keep(const struct rate_request *request, void *arg)
{
	((struct direct *)arg)->serial = request->serial;
}

/*
 * Guards against refusals within the rate: requests at nine tenths of the
 * rate, evenly spaced, without faults.
 */
static void
test_inside_rate(void)
{
	struct rate_limit limit = {.rate = 50000, .burst = 50};
	struct direct direct = {0};
	unsigned requested = 0;
	clk_ms retry_after;

	direct.coordinator = rate_coordinator_new(fixed_limit, &limit);
	direct.holder = rate_holder_new(shard_of, direct_done, &direct);
	rate_coordinator_acquire(direct.coordinator, 0, SHARD, false);
	for (direct.now = 2000; direct.now < 62000; direct.now++) {
		direct_answer(&direct);
		if (direct.now % 22 == 0) {
			requested++;
			if (rate_holder_take(direct.holder, direct.now,
				ORGANISATION, &direct,
				&retry_after) == RATE_TAKEN)
				direct.taken++;
			rate_holder_poll_one(direct.holder, direct.now,
			    ORGANISATION, direct_send, &direct);
		}
		if (direct.now % 25 == 0) {
			rate_holder_tick(direct.holder, direct.now);
			rate_holder_poll(
			    direct.holder, direct.now, direct_send, &direct);
		}
	}
	g_print("# figure inside_rate asked=%u taken=%u refused=%u\n",
	    requested, direct.taken, direct.refused);
	g_assert_cmpuint(direct.refused, ==, 0);
	g_assert_cmpuint(requested - direct.taken, <=, 3);
	rate_holder_free(direct.holder);
	rate_coordinator_free(direct.coordinator);
}

/*
 * Guards against endless waits, and against refusals within the rate while a
 * coordinator is slow to start: without a reply, a request is refused after
 * RATE_NO_REPLY_WAIT_MS and not earlier, and a cancelled one is not served.
 */
static void
test_silent_coordinator(void)
{
	struct direct direct = {0};
	clk_ms retry_after;
	int first, second;

	direct.holder = rate_holder_new(shard_of, direct_done, &direct);
	g_assert_cmpint(rate_holder_take(direct.holder, 0, ORGANISATION, &first,
			    &retry_after),
	    ==, RATE_WAITING);
	g_assert_cmpint(rate_holder_take(direct.holder, 0, ORGANISATION,
			    &second, &retry_after),
	    ==, RATE_WAITING);
	rate_holder_cancel(direct.holder, ORGANISATION, &first);
	rate_holder_tick(direct.holder, RATE_REFUSED_WAIT_MS);
	rate_holder_tick(direct.holder, RATE_NO_REPLY_WAIT_MS - 1);
	g_assert_cmpuint(direct.refused, ==, 0);
	rate_holder_tick(direct.holder, RATE_NO_REPLY_WAIT_MS);
	g_assert_cmpuint(direct.refused, ==, 1);
	rate_holder_tick(direct.holder, 20 * CLK_SECOND);
	g_assert_cmpuint(rate_holder_active_count(direct.holder), ==, 0);
	rate_holder_free(direct.holder);
}

/*
 * Guards against long waits above the rate: after a reply without a token, a
 * request is refused after RATE_REFUSED_WAIT_MS and not earlier.
 */
static void
test_refusing_coordinator(void)
{
	struct rate_limit limit = {.rate = 1000, .burst = 1};
	struct direct direct = {.now = 2000};
	clk_ms begun, retry_after;
	int first, second;

	direct.coordinator = rate_coordinator_new(fixed_limit, &limit);
	direct.holder = rate_holder_new(shard_of, direct_done, &direct);
	rate_coordinator_acquire(direct.coordinator, 0, SHARD, false);
	(void)rate_holder_take(
	    direct.holder, direct.now, ORGANISATION, &first, &retry_after);
	(void)rate_holder_take(
	    direct.holder, direct.now, ORGANISATION, &second, &retry_after);
	begun = direct.now;
	rate_holder_poll(direct.holder, direct.now, direct_send, &direct);
	direct_answer(&direct);
	g_assert_cmpuint(direct.taken, ==, 1);
	rate_holder_tick(direct.holder, begun + RATE_REFUSED_WAIT_MS - 1);
	g_assert_cmpuint(direct.refused, ==, 0);
	rate_holder_tick(direct.holder, begun + RATE_REFUSED_WAIT_MS);
	g_assert_cmpuint(direct.refused, ==, 1);
	rate_holder_free(direct.holder);
	rate_coordinator_free(direct.coordinator);
}

/*
 * Guards against refusals within the rate while a coordinator takes up its
 * shard: until its lease is valid, and then until its new bucket holds a
 * token.
 */
static void
test_starting_coordinator(void)
{
	struct rate_limit limit = {.rate = 10000, .burst = 20};
	struct rate_request request = {
	    .organisation = ORGANISATION, .shard = SHARD, .wanted = 1};
	struct direct direct = {.now = 2000};
	struct rate_reply reply;
	clk_ms retry_after;
	int tag;

	direct.coordinator = rate_coordinator_new(fixed_limit, &limit);
	direct.holder = rate_holder_new(shard_of, direct_done, &direct);
	(void)rate_holder_take(
	    direct.holder, direct.now, ORGANISATION, &tag, &retry_after);
	for (; direct.now < 3000 && direct.taken + direct.refused == 0;
	     direct.now += 25) {
		direct.serial = 0;
		rate_holder_poll(
		    direct.holder, direct.now, request_keep, &direct);
		if (direct.now == 2300)
			rate_coordinator_acquire(
			    direct.coordinator, direct.now, SHARD, false);
		request.serial = direct.serial;
		if (direct.serial != 0)
			rate_holder_reply(direct.holder, direct.now,
			    ORGANISATION, direct.serial,
			    rate_coordinator_grant(direct.coordinator,
				direct.now,
				direct.now < 2500 ? INT64_MIN / 4
						  : direct.now + 3000,
				1, &request, &reply)
				? &reply
				: NULL);
		if (direct.now == 2400)
			rate_coordinator_acquire(
			    direct.coordinator, 2500, SHARD, false);
		rate_holder_tick(direct.holder, direct.now);
	}
	g_assert_cmpuint(direct.refused, ==, 0);
	g_assert_cmpuint(direct.taken, ==, 1);
	g_assert_cmpint(direct.now, <, 2750);
	rate_holder_free(direct.holder);
	rate_coordinator_free(direct.coordinator);
}

/* Guards against a late reply whose expired tokens are spent. */
static void
test_late_grant(void)
{
	struct rate_limit limit = {.rate = 10000, .burst = 20};
	struct direct direct = {.now = 10000};
	clk_ms retry_after;
	int tag;

	direct.coordinator = rate_coordinator_new(fixed_limit, &limit);
	direct.holder = rate_holder_new(shard_of, direct_done, &direct);
	rate_coordinator_acquire(direct.coordinator, 0, SHARD, false);
	(void)rate_holder_take(
	    direct.holder, direct.now, ORGANISATION, &tag, &retry_after);
	rate_holder_poll(direct.holder, direct.now, direct_send, &direct);
	g_assert_cmpuint(direct.reply.tokens, >, 0);
	direct.now += RATE_GRANT_LIFETIME_MS;
	direct_answer(&direct);
	g_assert_cmpuint(direct.taken, ==, 0);
	rate_holder_free(direct.holder);
	rate_coordinator_free(direct.coordinator);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rat/split", test_split);
	g_test_add_func("/rat/grant", test_grant);
	g_test_add_func("/rat/grant-without-lease", test_grant_without_lease);
	g_test_add_func("/rat/idle", test_idle);
	g_test_add_func("/rat/inside-rate", test_inside_rate);
	g_test_add_func("/rat/silent-coordinator", test_silent_coordinator);
	g_test_add_func("/rat/refusing-coordinator", test_refusing_coordinator);
	g_test_add_func("/rat/starting-coordinator", test_starting_coordinator);
	g_test_add_func("/rat/late-grant", test_late_grant);
	g_test_add_func("/rat/variants", test_variants);
	g_test_add_func("/rat/orders", test_orders);
	return (g_test_run());
}
