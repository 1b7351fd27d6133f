/*
 * Rates: the split, a grant's life, and random orders of events with clocks
 * that drift, lost, late and duplicated messages, pauses, takeovers, handovers
 * and lending.  The tokens spent are counted apart from the module and must
 * stay within r*w + b in every window.
 */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "lib/test_orders.h"
#include "rate/rat.h"

#define ORGANISATION "copiadora"
#define SHARD	     7
#define DATACENTRES  2
#define INSTANCES    3 /* in each data centre */
#define NODES	     (DATACENTRES * INSTANCES)
#define MESSAGES     256
#define HOARD	     64
#define NANO	     ((int64_t)1000000000)

/* Faults of the driver that each remove one protection. */
enum variant {
	PROTECTED,
	LIFETIME_FROM_RECEIPT, /* a grant counts from when it arrives */
	DRIFT_TOO_LARGE, /* clocks drift more than is allowed for */
	EARLY_TAKEOVER, /* a new coordinator before the old one's horizon */
	REPORTS_TWICE, /* a duplicated report is taken as a new one */
	NO_HORIZON, /* a former coordinator grants after its horizon */
	RETURNS_KEPT /* a holder spends what it has returned */
};

/*
 * An exact check of "at most r*w + b in every window": the largest of
 * n(window) - r*w over all windows that end now, kept as in the
 * largest-subarray problem.
 */
struct reference {
	int64_t rate; /* 1e-9 tokens a microsecond */
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
	reference->excess += NANO;
	reference->last = real;
	reference->spent++;
	if (reference->excess > reference->burst * NANO)
		reference->violations++;
}

/*
 * A holder that follows the protocol but keeps its tokens as long as it may
 * and spends them at once, which the module's own holder does not do.
 */
struct hoard {
	unsigned grants;
	struct {
		uint64_t serial;
		clk_ms sent;
		bool answered;
		uint32_t tokens;
		clk_ms expiry;
	} grant[HOARD];
	uint32_t used; /* not reported yet */
	uint64_t serial;
};

struct node {
	struct sim *sim;
	unsigned datacentre;
	int64_t drift; /* millionths */
	int64_t offset; /* us */
	int64_t paused_until;
	struct rat_coordinator *coordinator;
	struct rat_holder *holder;
	uint64_t session;
	clk_ms horizon; /* on its own clock; 0: never an owner */
	unsigned waiting;
	struct hoard hoard;
	uint32_t kept; /* RETURNS_KEPT: tokens to be spent once more */
};

struct message {
	bool reply;
	bool borrow;
	int64_t due;
	unsigned from;
	unsigned to;
	clk_ms sent; /* on the clock of the node that asked */
	int64_t sent_real;
	struct rat_request request;
	struct rat_reply answer;
};

struct sim {
	GRand *rand;
	enum variant variant;
	int64_t real; /* us */
	struct node nodes[NODES];
	unsigned owner[DATACENTRES];
	struct message messages[MESSAGES];
	unsigned pending; /* messages under way */
	unsigned datacentres; /* 1: the whole limit in one data centre */
	uint64_t renumbered;
	uint64_t lent; /* to the other data centre */
	bool hoarding;
	int faults; /* likelihood of pauses and takeovers */
	int64_t rate; /* of the organisation, thousandths a second */
	int64_t burst;
	struct reference reference; /* over the whole order */
	struct reference settled; /* since the last change took full effect */
	int64_t settled_at;
	clk_ms delay; /* longest time of a message */
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
limit_of(const char *organisation, struct rat_limit *limit, void *arg)
{
	static const uint32_t both[DATACENTRES] = {1, 1};
	static const uint32_t first[DATACENTRES] = {1, 0};
	const struct node *node = arg;
	const uint32_t *weights = node->sim->datacentres == 1 ? first : both;

	if (strcmp(organisation, ORGANISATION) != 0)
		return (false);
	limit->rate =
	    rat_split(node->sim->rate, weights, DATACENTRES, node->datacentre);
	limit->burst =
	    rat_split(node->sim->burst, weights, DATACENTRES, node->datacentre);
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
on_done(void *waiter, enum rat_outcome outcome, clk_ms retry_after, void *arg)
{
	struct node *node = arg;

	g_assert_true(waiter == node);
	g_assert_cmpuint(node->waiting, >, 0);
	node->waiting--;
	if (outcome == RAT_TAKEN)
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
	while (copies-- > 0 && sim->pending < MESSAGES) {
		struct message *copy = &sim->messages[sim->pending++];

		*copy = *message;
		copy->due = sim->real +
		    g_rand_int_range(
			sim->rand, 100, (gint32)(sim->delay * 1000) + 200);
	}
}

static void
send_request(const struct rat_request *request, void *arg)
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

	/* The text belongs to the module. */
	message.request.organisation = ORGANISATION;
	if (request->borrow)
		message.to = sim->owner[1 - node->datacentre];
	node->kept += request->returned;
	message_send(sim, &message);
}

/* Whether a token's time is nearly over. */
static bool
hoard_is_due(const struct node *node)
{
	const struct hoard *hoard = &node->hoard;
	clk_ms now = node_now(node);

	for (unsigned i = 0; i < hoard->grants; i++) {
		if (hoard->grant[i].tokens > 0 &&
		    hoard->grant[i].expiry > now &&
		    hoard->grant[i].expiry <= now + 40)
			return (true);
	}
	return (false);
}

static void
hoard_spend(struct node *node)
{
	struct hoard *hoard = &node->hoard;
	clk_ms now = node_now(node);

	for (unsigned i = 0; i < hoard->grants; i++) {
		if (hoard->grant[i].expiry <= now)
			hoard->grant[i].tokens = 0;
		for (; hoard->grant[i].tokens > 0; hoard->grant[i].tokens--) {
			hoard->used++;
			sim_spend(node->sim);
		}
	}
}

/* All holders spend when the first of them has to. */
static void
hoards_spend(struct sim *sim)
{
	bool due = false;

	for (unsigned i = 0; i < NODES; i++)
		due |=
		    node_runs(&sim->nodes[i]) && hoard_is_due(&sim->nodes[i]);
	for (unsigned i = 0; i < NODES && due; i++) {
		if (node_runs(&sim->nodes[i]))
			hoard_spend(&sim->nodes[i]);
	}
}

/* Ask for as much as the burst, and report what was used. */
static void
hoard_request(struct node *node)
{
	struct hoard *hoard = &node->hoard;
	struct rat_request request = {.organisation = ORGANISATION,
	    .shard = SHARD,
	    .serial = ++hoard->serial,
	    .wanted = (uint32_t)g_rand_int_range(
		node->sim->rand, 1, (gint32)node->sim->burst + 1),
	    .used = hoard->used};
	unsigned slot = hoard->grants;
	clk_ms now = node_now(node);

	if (slot > 0 && !hoard->grant[slot - 1].answered &&
	    now - hoard->grant[slot - 1].sent < CLK_SECOND)
		return;
	if (slot == HOARD)
		return;
	if (g_rand_int_range(node->sim->rand, 0, 5) == 0) {
		for (unsigned i = 0; i < slot; i++) {
			if (hoard->grant[i].expiry > now)
				request.returned += hoard->grant[i].tokens;
			hoard->grant[i].tokens = 0;
		}
	}
	hoard->grants++;
	hoard->used = 0;
	hoard->grant[slot].serial = request.serial;
	hoard->grant[slot].sent = now;
	send_request(&request, node);
}

static void
hoard_reply(struct node *node, const struct message *message)
{
	struct hoard *hoard = &node->hoard;

	for (unsigned i = 0; i < hoard->grants; i++) {
		if (hoard->grant[i].serial != message->request.serial ||
		    hoard->grant[i].answered)
			continue;
		hoard->grant[i].answered = true;
		hoard->grant[i].tokens = message->answer.tokens;
		hoard->grant[i].expiry =
		    hoard->grant[i].sent + message->answer.lifetime;
	}
}

static void
hoard_act(struct node *node)
{
	if (g_rand_int_range(node->sim->rand, 0, 20) == 0)
		hoard_spend(node);
	else
		hoard_request(node);
}

static void
deliver_request(struct sim *sim, const struct message *message)
{
	struct node *node = &sim->nodes[message->to];
	struct message reply = *message;
	struct rat_request request = message->request;
	uint64_t session = sim->nodes[message->from].session;
	clk_ms horizon = node->horizon;

	if (sim->variant == REPORTS_TWICE)
		request.serial = ++sim->renumbered + ((uint64_t)1 << 40);
	if (message->borrow)
		session += 1000;
	if (sim->variant == NO_HORIZON && horizon != 0)
		horizon = INT64_MAX;
	if (!rat_grant(node->coordinator, node_now(node), horizon, session,
		&request, &reply.answer))
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
		/* The peer link gives each reply to its caller once. */
		for (unsigned i = 0; i < sim->pending; i++) {
			struct message *other = &sim->messages[i];

			if (other->reply && other->borrow &&
			    other->to == message->to &&
			    other->request.serial == message->request.serial)
				other->answer.tokens = 0;
		}
		rat_borrowed(node->coordinator, now, message->sent,
		    ORGANISATION, &message->answer);
		return;
	}
	if (sim->hoarding) {
		hoard_reply(node, message);
		return;
	}
	rat_granted(node->holder, now, ORGANISATION, message->request.serial,
	    &message->answer);
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
		switch (rat_take(
		    node->holder, now, ORGANISATION, node, &retry_after)) {
		case RAT_TAKEN:
			sim_spend(node->sim);
			break;
		case RAT_WAITING:
			node->waiting++;
			break;
		default:
			g_assert_cmpint(retry_after, >, 0);
		}
	}
	rat_request_now(node->holder, now, ORGANISATION, send_request, node);
}

static void
own(struct sim *sim, unsigned datacentre, unsigned number, bool handover)
{
	struct node *node = &sim->nodes[number];

	sim->owner[datacentre] = number;
	node->horizon = node_now(node) + sim->lease;
	rat_coordinator_own(node->coordinator, node_now(node), SHARD, handover);
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
		rat_coordinator_disown(owner->coordinator, SHARD);
		owner->horizon = 0;
		own(sim, datacentre, next, true);
		return;
	}
	if (node_now(owner) >= owner->horizon || sim->variant == EARLY_TAKEOVER)
		own(sim, datacentre, next, false);
}

static void
sim_change(struct sim *sim)
{
	sim->rate = g_rand_int_range(sim->rand, 500, 60000);
	sim->burst = g_rand_int_range(sim->rand, 1, 60);
	sim->reference.rate = MAX(sim->reference.rate, sim->rate);
	sim->reference.burst = MAX(sim->reference.burst, sim->burst);
	sim->settled = (struct reference){.rate = sim->rate,
	    .burst = sim->burst,
	    .violations = sim->settled.violations};
	/* One grant lifetime and the drift of two clocks. */
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
		if (sim->hoarding)
			continue;
		rat_holder_tick(each->holder, node_now(each));
		rat_request_list(
		    each->holder, node_now(each), send_request, each);
	}
	if (sim->hoarding)
		hoards_spend(sim);
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
		rat_coordinator_tick(node->coordinator, node_now(node));
		break;
	case 1:
	case 2:
	case 3:
		if (sim->datacentres > 1)
			rat_borrow_list(node->coordinator, node_now(node),
			    send_request, node);
		break;
	case 4:
		if (g_rand_boolean(sim->rand) && sim->settled_at == 0 &&
		    sim->variant == PROTECTED)
			sim_change(sim);
		break;
	default:
		if (sim->hoarding) {
			hoard_act(node);
			break;
		}
		node_take(node,
		    g_rand_int_range(sim->rand, 0, (gint32)sim->burst + 3));
	}
}

static void
sim_open(struct sim *sim, uint32_t seed, enum variant variant)
{
	int drift = variant == DRIFT_TOO_LARGE ? 200000 : RAT_DRIFT_PPM;

	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->variant = variant;
	sim->rate = g_rand_int_range(sim->rand, 500, 60000);
	sim->burst = g_rand_int_range(sim->rand, 1, 60);
	/* Buckets that fill within a grant's lifetime show the most. */
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
	sim->hoarding = g_rand_boolean(sim->rand);
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
		node->coordinator = rat_coordinator_new(limit_of, node);
		node->holder = rat_holder_new(shard_of, on_done, node);
	}
	for (unsigned d = 0; d < DATACENTRES; d++)
		own(sim, d, d * INSTANCES, false);
}

static void
sim_close(struct sim *sim)
{
	for (unsigned i = 0; i < NODES; i++) {
		rat_coordinator_free(sim->nodes[i].coordinator);
		rat_holder_free(sim->nodes[i].holder);
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

/* Guards against more than r*w + b on any path of section 9. */
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

/* Guards against a check that passes whatever happens. */
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
			sum += rat_split(total, weights, 4, i);
		g_assert_cmpint(sum, ==, total);
	}
	g_assert_cmpint(rat_split(2, weights, 4, 0), ==, 1);
	g_assert_cmpint(rat_split(2, weights, 4, 2), ==, 0);
	g_assert_cmpint(rat_split(100, uneven, 2, 0), ==, 75);
	g_assert_cmpint(rat_split(5, none, 2, 0), ==, 0);
}

static bool
fixed_limit(const char *organisation, struct rat_limit *limit, void *arg)
{
	(void)organisation;
	*limit = *(const struct rat_limit *)arg;
	return (true);
}

/* Guards against grants past the horizon, from repeats and before a start. */
static void
test_grant(void)
{
	struct rat_limit limit = {.rate = 10000, .burst = 20};
	struct rat_coordinator *coordinator =
	    rat_coordinator_new(fixed_limit, &limit);
	struct rat_request request = {
	    .organisation = "a", .shard = 1, .serial = 1, .wanted = 5};
	struct rat_reply reply;

	g_assert_false(rat_grant(coordinator, 0, 10000, 1, &request, &reply));
	rat_coordinator_own(coordinator, 0, 1, false);
	g_assert_true(rat_grant(coordinator, 0, 10000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	g_assert_cmpint(reply.retry_after, >, 50);
	g_assert_cmpint(reply.retry_after, <, 150);
	g_assert_false(
	    rat_grant(coordinator, 1000, 10000, 1, &request, &reply));
	request.serial = 2;
	g_assert_true(rat_grant(coordinator, 1000, 10000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 5);
	g_assert_cmpint(reply.lifetime, ==, RAT_GRANT_LIFETIME);
	request.serial = 3;
	g_assert_true(rat_grant(coordinator, 1500, 2000, 1, &request, &reply));
	g_assert_cmpint(reply.lifetime, <, 500);
	request.serial = 4;
	g_assert_true(rat_grant(coordinator, 2000, 2000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	rat_coordinator_own(coordinator, 3000, 1, true);
	request.serial = 5;
	g_assert_true(rat_grant(coordinator, 5000, 90000, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	rat_coordinator_free(coordinator);
}

/*
 * Guards against an overflow that ended an instance: after a pause its lease
 * has a horizon as far in the past as own_horizon() goes.
 */
static void
test_grant_without_lease(void)
{
	struct rat_limit limit = {.rate = 10000, .burst = 20};
	struct rat_coordinator *coordinator =
	    rat_coordinator_new(fixed_limit, &limit);
	struct rat_request request = {
	    .organisation = "a", .shard = 1, .serial = 1, .wanted = 5};
	struct rat_reply reply;

	rat_coordinator_own(coordinator, 0, 1, false);
	g_assert_true(
	    rat_grant(coordinator, 1000, INT64_MIN / 4, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	request.serial = 2;
	g_assert_true(
	    rat_grant(coordinator, 1000, INT64_MIN, 1, &request, &reply));
	g_assert_cmpuint(reply.tokens, ==, 0);
	rat_coordinator_free(coordinator);
}

/* Guards against buckets that stay in memory for idle organisations. */
static void
test_idle(void)
{
	struct rat_limit limit = {.rate = 10000, .burst = 20};
	struct rat_coordinator *coordinator =
	    rat_coordinator_new(fixed_limit, &limit);
	struct rat_request request = {.shard = 1, .serial = 1, .wanted = 1};
	struct rat_reply reply;
	char name[16];

	rat_coordinator_own(coordinator, 0, 1, false);
	for (unsigned i = 0; i < 1000; i++) {
		(void)g_snprintf(name, sizeof(name), "o%u", i);
		request.organisation = name;
		g_assert_true(
		    rat_grant(coordinator, 9000, 100000, 1, &request, &reply));
		g_assert_cmpuint(reply.tokens, ==, 1);
	}
	g_assert_cmpuint(rat_coordinator_buckets(coordinator), ==, 1000);
	rat_coordinator_tick(coordinator, 10000);
	g_assert_cmpuint(rat_coordinator_buckets(coordinator), ==, 1000);
	rat_coordinator_tick(coordinator, 30000);
	g_assert_cmpuint(rat_coordinator_buckets(coordinator), ==, 0);
	rat_coordinator_free(coordinator);
}

struct direct {
	struct rat_coordinator *coordinator;
	struct rat_holder *holder;
	clk_ms now;
	unsigned taken;
	unsigned refused;
	uint64_t serial;
	struct rat_reply reply;
};

static void
direct_done(
    void *waiter, enum rat_outcome outcome, clk_ms retry_after, void *arg)
{
	struct direct *direct = arg;

	(void)waiter;
	(void)retry_after;
	if (outcome == RAT_TAKEN)
		direct->taken++;
	else
		direct->refused++;
}

static void
direct_send(const struct rat_request *request, void *arg)
{
	struct direct *direct = arg;

	direct->serial = request->serial;
	g_assert_true(rat_grant(direct->coordinator, direct->now,
	    direct->now + 3000, 1, request, &direct->reply));
}

static void
direct_answer(struct direct *direct)
{
	if (direct->serial == 0)
		return;
	rat_granted(direct->holder, direct->now, ORGANISATION, direct->serial,
	    &direct->reply);
	direct->serial = 0;
}

/*
 * Guards against refusals inside the rate: requests at nine tenths of the
 * rate, evenly spaced, without faults.
 */
static void
test_inside_rate(void)
{
	struct rat_limit limit = {.rate = 50000, .burst = 50};
	struct direct direct = {0};
	unsigned asked = 0;
	clk_ms retry_after;

	direct.coordinator = rat_coordinator_new(fixed_limit, &limit);
	direct.holder = rat_holder_new(shard_of, direct_done, &direct);
	rat_coordinator_own(direct.coordinator, 0, SHARD, false);
	for (direct.now = 2000; direct.now < 62000; direct.now++) {
		direct_answer(&direct);
		if (direct.now % 22 == 0) {
			asked++;
			if (rat_take(direct.holder, direct.now, ORGANISATION,
				&direct, &retry_after) == RAT_TAKEN)
				direct.taken++;
			rat_request_now(direct.holder, direct.now, ORGANISATION,
			    direct_send, &direct);
		}
		if (direct.now % 25 == 0) {
			rat_holder_tick(direct.holder, direct.now);
			rat_request_list(
			    direct.holder, direct.now, direct_send, &direct);
		}
	}
	g_print("# figure inside_rate asked=%u taken=%u refused=%u\n", asked,
	    direct.taken, direct.refused);
	g_assert_cmpuint(direct.refused, ==, 0);
	g_assert_cmpuint(asked - direct.taken, <=, 3);
	rat_holder_free(direct.holder);
	rat_coordinator_free(direct.coordinator);
}

/*
 * Guards against waits without an end, and against refusals inside the rate
 * while a coordinator is slow to begin: with no answer, a request is refused
 * after RAT_SILENT_WAIT and not before, and one whose caller has gone is not
 * served.
 */
static void
test_silent_coordinator(void)
{
	struct direct direct = {0};
	clk_ms retry_after;
	int first, second;

	direct.holder = rat_holder_new(shard_of, direct_done, &direct);
	g_assert_cmpint(
	    rat_take(direct.holder, 0, ORGANISATION, &first, &retry_after), ==,
	    RAT_WAITING);
	g_assert_cmpint(
	    rat_take(direct.holder, 0, ORGANISATION, &second, &retry_after), ==,
	    RAT_WAITING);
	rat_take_cancel(direct.holder, ORGANISATION, &first);
	rat_holder_tick(direct.holder, RAT_WAIT);
	rat_holder_tick(direct.holder, RAT_SILENT_WAIT - 1);
	g_assert_cmpuint(direct.refused, ==, 0);
	rat_holder_tick(direct.holder, RAT_SILENT_WAIT);
	g_assert_cmpuint(direct.refused, ==, 1);
	rat_holder_tick(direct.holder, 20 * CLK_SECOND);
	g_assert_cmpuint(rat_holder_active(direct.holder), ==, 0);
	rat_holder_free(direct.holder);
}

/*
 * Guards against long waits above the rate: after an answer without a token,
 * a request is refused after RAT_WAIT and not before.
 */
static void
test_refusing_coordinator(void)
{
	struct rat_limit limit = {.rate = 1000, .burst = 1};
	struct direct direct = {.now = 2000};
	clk_ms begun, retry_after;
	int first, second;

	direct.coordinator = rat_coordinator_new(fixed_limit, &limit);
	direct.holder = rat_holder_new(shard_of, direct_done, &direct);
	rat_coordinator_own(direct.coordinator, 0, SHARD, false);
	(void)rat_take(
	    direct.holder, direct.now, ORGANISATION, &first, &retry_after);
	(void)rat_take(
	    direct.holder, direct.now, ORGANISATION, &second, &retry_after);
	begun = direct.now;
	rat_request_list(direct.holder, direct.now, direct_send, &direct);
	direct_answer(&direct);
	g_assert_cmpuint(direct.taken, ==, 1);
	rat_holder_tick(direct.holder, begun + RAT_WAIT - 1);
	g_assert_cmpuint(direct.refused, ==, 0);
	rat_holder_tick(direct.holder, begun + RAT_WAIT);
	g_assert_cmpuint(direct.refused, ==, 1);
	rat_holder_free(direct.holder);
	rat_coordinator_free(direct.coordinator);
}

/* Guards against a late answer that brings tokens back to life. */
static void
test_late_grant(void)
{
	struct rat_limit limit = {.rate = 10000, .burst = 20};
	struct direct direct = {.now = 10000};
	clk_ms retry_after;
	int tag;

	direct.coordinator = rat_coordinator_new(fixed_limit, &limit);
	direct.holder = rat_holder_new(shard_of, direct_done, &direct);
	rat_coordinator_own(direct.coordinator, 0, SHARD, false);
	(void)rat_take(
	    direct.holder, direct.now, ORGANISATION, &tag, &retry_after);
	rat_request_list(direct.holder, direct.now, direct_send, &direct);
	g_assert_cmpuint(direct.reply.tokens, >, 0);
	direct.now += RAT_GRANT_LIFETIME;
	direct_answer(&direct);
	g_assert_cmpuint(direct.taken, ==, 0);
	rat_holder_free(direct.holder);
	rat_coordinator_free(direct.coordinator);
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
	g_test_add_func("/rat/late-grant", test_late_grant);
	g_test_add_func("/rat/variants", test_variants);
	g_test_add_func("/rat/orders", test_orders);
	return (g_test_run());
}
