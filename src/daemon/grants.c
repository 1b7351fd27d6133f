#include "daemon/grants.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "daemon/defer.h"
#include "rate/rate.h"

#define TICK_S		0.025
#define SWEEP_TICKS	200
#define CALL_TIMEOUT_MS ((clk_ms)1000)

struct grants {
	struct daemon *daemon;
	struct rate_coordinator *coordinator;
	struct rate_holder *holder;
	ev_timer tick;
	unsigned ticks;
	GHashTable *owned; /* shards given to rate_coordinator_acquire() */
	GHashTable *waiters; /* waiter -> grants_taken_cb */
	GHashTable *batches; /* session -> struct batch, being filled */
	struct cnt_metric *refused;
	struct cnt_metric *messages;
};

/* Requests that go to one coordinator in one message. */
struct batch {
	struct grants *grants;
	uint64_t session;
	clk_ms sent_at;
	bool borrow;
	GPtrArray *names;
	GArray *wishes; /* struct peer_grant_wish */
};

struct split {
	uint32_t weights[OWN_MAX_DATACENTRES];
	unsigned n;
};

static void
split_add(const void *object, void *arg)
{
	const struct cfg_datacentre *datacentre = object;
	struct split *split = arg;

	if (datacentre->number >= OWN_MAX_DATACENTRES)
		return;
	split->weights[datacentre->number] =
	    (uint32_t)lround(MAX(datacentre->weight, 0.0) * 1000.0);
	split->n = MAX(split->n, datacentre->number + 1);
}

/* This data centre's share of an organisation's rate and burst. */
static bool
limit_get(const char *name, struct rate_limit *limit, void *arg)
{
	struct grants *grants = arg;
	const struct cfg_organisation *organisation =
	    cfg_organisation_find(grants->daemon->cfg, name);
	unsigned index = grants->daemon->settings->datacentre_number;
	struct split split = {.n = 0};

	if (organisation == NULL)
		return (false);
	cfg_each(grants->daemon->cfg, CFG_DATACENTRE, split_add, &split);
	if (index >= split.n)
		return (false);
	limit->rate = rate_split((int64_t)floor(organisation->rate * 1000.0),
	    split.weights, split.n, index);
	limit->burst = rate_split(
	    (int64_t)floor(organisation->burst), split.weights, split.n, index);
	return (true);
}

static uint16_t
shard_for(const char *organisation, void *arg)
{
	struct grants *grants = arg;
	g_autofree char *digest =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, organisation, -1);
	char word[9];

	(void)g_strlcpy(word, digest, sizeof(word));
	return ((uint16_t)(g_ascii_strtoull(word, NULL, 16) %
	    grants->daemon->settings->shards));
}

static void
on_wait_end(
    void *waiter, enum rate_outcome outcome, clk_ms retry_after, void *arg)
{
	struct grants *grants = arg;
	grants_taken_cb *on_taken =
	    (grants_taken_cb *)g_hash_table_lookup(grants->waiters, waiter);
	struct vd vd = vd_ok();

	(void)g_hash_table_remove(grants->waiters, waiter);
	if (on_taken == NULL)
		return;
	if (outcome != RATE_TAKEN) {
		vd = vd_make(VD_NOT_RUN, VD_RATE_EXCEEDED,
		    "the organisation's rate is used up");
		vd.retry_after = MAX(retry_after, 1);
		cnt_add(grants->refused, 1);
	}
	on_taken(&vd, waiter);
}

static void
batch_free(void *data)
{
	struct batch *batch = data;

	g_ptr_array_unref(batch->names);
	g_array_unref(batch->wishes);
	g_free(batch);
}

static void
batch_add(
    struct grants *grants, uint64_t session, const struct rate_request *request)
{
	struct batch *batch = g_hash_table_lookup(grants->batches, &session);
	struct peer_grant_wish wish = {.shard = request->shard,
	    .serial = request->serial,
	    .borrow = request->borrow,
	    .wanted = request->wanted,
	    .used = request->used,
	    .returned = request->returned};

	if (batch == NULL) {
		batch = g_new0(struct batch, 1);
		batch->grants = grants;
		batch->session = session;
		batch->borrow = request->borrow;
		batch->names = g_ptr_array_new_with_free_func(g_free);
		batch->wishes = g_array_new(FALSE, FALSE, sizeof(wish));
		g_hash_table_insert(grants->batches, &batch->session, batch);
	}
	if (batch->wishes->len >= PEER_MAX_GRANTS)
		return;
	wish.organisation = g_strdup(request->organisation);
	g_ptr_array_add(batch->names, wish.organisation);
	g_array_append_val(batch->wishes, wish);
}

/* The owner of an organisation's shard in a data centre; 0: none. */
static uint64_t
coordinator_find(
    const struct grants *grants, unsigned datacentre, uint16_t shard)
{
	struct own_shard_id id = {
	    .datacentre = (uint16_t)datacentre, .shard = shard};
	struct own_shard info;

	if (!own_shard_get(grants->daemon->own, id, &info))
		return (0);
	return (info.owner);
}

static clk_ms
horizon_get(const struct grants *grants, uint16_t shard, clk_ms now)
{
	struct own_shard_id id = {
	    .datacentre = (uint16_t)grants->daemon->settings->datacentre_number,
	    .shard = shard};

	return (own_horizon(grants->daemon->own, id, now));
}

static void
request_add(const struct rate_request *request, void *arg)
{
	struct grants *grants = arg;
	uint64_t session = coordinator_find(grants,
	    grants->daemon->settings->datacentre_number, request->shard);

	batch_add(grants, session, request);
}

/*
 * Borrow an equal part of the missing tokens from each other data centre.
 * Asking one after the other took longer than a request waits for its token.
 */
static void
borrow_add(const struct rate_request *request, void *arg)
{
	struct grants *grants = arg;
	unsigned own = grants->daemon->settings->datacentre_number;
	uint64_t coordinators[OWN_MAX_DATACENTRES];
	struct rate_request part = *request;
	unsigned n = 0;

	for (unsigned d = 0; d < grants->daemon->n_datacentres; d++) {
		uint64_t session = coordinator_find(grants, d, request->shard);

		if (d != own && session != 0 &&
		    session != grants->daemon->session)
			coordinators[n++] = session;
	}
	if (n == 0)
		return;
	part.wanted = (request->wanted + n - 1) / n;
	for (unsigned i = 0; i < n; i++)
		batch_add(grants, coordinators[i], &part);
}

static void
reply_apply(struct batch *batch, const struct peer_grant_wish *wish,
    const struct peer_grant *grant)
{
	struct grants *grants = batch->grants;
	clk_ms now = daemon_now(grants->daemon);
	struct rate_reply reply = {0};

	if (grant != NULL && grant->status == PEER_GRANT_OK) {
		reply.tokens = grant->tokens;
		reply.lifetime = (clk_ms)grant->lifetime_ms;
		reply.retry_after = (clk_ms)grant->retry_after_ms;
	}
	if (batch->borrow) {
		if (reply.tokens > 0)
			rate_coordinator_reply(grants->coordinator, now,
			    batch->sent_at, wish->organisation, &reply);
		return;
	}
	rate_holder_reply(grants->holder, now, wish->organisation, wish->serial,
	    grant != NULL && grant->status == PEER_GRANT_OK ? &reply : NULL);
}

static void
on_reply(const struct rpc_result *result, void *arg)
{
	struct batch *batch = arg;
	const struct peer_grant_reply *reply = result->reply;
	bool valid = result->sent == RPC_REPLIED &&
	    reply->session == batch->session &&
	    reply->items.items_len == batch->wishes->len;

	for (guint i = 0; result->sent != RPC_CLOSED && i < batch->wishes->len;
	     i++)
		reply_apply(batch,
		    &g_array_index(batch->wishes, struct peer_grant_wish, i),
		    valid ? &reply->items.items_val[i] : NULL);
	batch_free(batch);
}

/* Grant the requests of one message as their coordinator. */
static void
grants_fill(struct grants *grants, const struct peer_grant_args *args,
    struct peer_grant_reply *reply)
{
	u_int n = args->items.items_len;
	struct peer_grant *items = g_new0(struct peer_grant, n + 1);
	clk_ms now = daemon_now(grants->daemon);

	for (u_int i = 0; i < n; i++) {
		const struct peer_grant_wish *wish = &args->items.items_val[i];
		struct rate_request request = {
		    .organisation = wish->organisation,
		    .shard = (uint16_t)wish->shard,
		    .serial = wish->serial,
		    .borrow = wish->borrow,
		    .wanted = wish->wanted,
		    .used = wish->used,
		    .returned = wish->returned};
		struct rate_reply granted = {0};

		items[i].organisation = wish->organisation;
		items[i].serial = wish->serial;
		if (!rate_coordinator_grant(grants->coordinator, now,
			horizon_get(grants, request.shard, now), args->session,
			&request, &granted)) {
			items[i].status = PEER_GRANT_NOT_COORDINATOR;
			continue;
		}
		items[i].tokens = granted.tokens;
		items[i].lifetime_ms = (u_int)MAX(granted.lifetime, 0);
		items[i].retry_after_ms = (u_int)MAX(granted.retry_after, 0);
	}
	reply->session = grants->daemon->session;
	reply->items.items_len = n;
	reply->items.items_val = items;
}

/* Handle requests of this instance to itself without a message. */
static void
batch_grant(struct batch *batch)
{
	struct peer_grant_args args = {
	    .session = batch->grants->daemon->session};
	struct peer_grant_reply reply;
	struct rpc_result result = {.sent = RPC_REPLIED, .reply = &reply};

	args.items.items_len = batch->wishes->len;
	args.items.items_val =
	    (struct peer_grant_wish *)(void *)batch->wishes->data;
	grants_fill(batch->grants, &args, &reply);
	on_reply(&result, batch);
	g_free(reply.items.items_val);
}

static void
batch_send(struct batch *batch)
{
	struct daemon *daemon = batch->grants->daemon;
	struct peer_grant_args args = {.session = daemon->session};
	const char *address = daemon_peer_address(daemon, batch->session);
	struct rpc_result failed = {.sent = RPC_NOT_SENT, .error = ""};

	if (batch->session == daemon->session) {
		batch_grant(batch);
		return;
	}
	batch->sent_at = daemon_now(daemon);
	if (address == NULL) {
		on_reply(&failed, batch);
		return;
	}
	args.items.items_len = batch->wishes->len;
	args.items.items_val =
	    (struct peer_grant_wish *)(void *)batch->wishes->data;
	cnt_add(batch->grants->messages, 1);
	(void)rpc_call_start(daemon->peers, address, PEER_GRANT, &args,
	    CALL_TIMEOUT_MS, on_reply, batch);
}

static void
batches_send(struct grants *grants)
{
	GList *batches = g_hash_table_get_values(grants->batches);

	g_hash_table_steal_all(grants->batches);
	for (GList *l = batches; l != NULL; l = l->next)
		batch_send(l->data);
	g_list_free(batches);
}

static void
batches_send_later(void *arg)
{
	batches_send(arg);
}

static void
requests_send(struct grants *grants)
{
	rate_holder_poll(
	    grants->holder, daemon_now(grants->daemon), request_add, grants);
	batches_send(grants);
}

/* Update the shards that this instance coordinates. */
static void
owned_update(struct grants *grants)
{
	struct daemon *daemon = grants->daemon;
	clk_ms now = daemon_now(daemon);

	for (unsigned s = 0; s < daemon->settings->shards; s++) {
		struct own_shard_id id = {
		    .datacentre = (uint16_t)daemon->settings->datacentre_number,
		    .shard = (uint16_t)s};
		struct own_shard info;
		gpointer key = GUINT_TO_POINTER(s + 1);
		bool owned = own_shard_get(daemon->own, id, &info) &&
		    (info.phase == OWN_SERVING ||
			info.phase == OWN_RECOVERING ||
			info.phase == OWN_PREPARING);
		bool known = g_hash_table_contains(grants->owned, key);

		if (owned && !known) {
			/*
			 * Grants of former owners may still be in use, unless
			 * the claim waited for longer than they live.
			 */
			rate_coordinator_acquire(grants->coordinator, now,
			    (uint16_t)s,
			    info.epoch > 1 && info.waited < rate_grant_gone());
			(void)g_hash_table_add(grants->owned, key);
		} else if (!owned && known) {
			rate_coordinator_release(
			    grants->coordinator, (uint16_t)s);
			(void)g_hash_table_remove(grants->owned, key);
		}
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct grants *grants = timer->data;

	(void)loop;
	(void)events;
	grants->ticks++;
	owned_update(grants);
	requests_send(grants);
	rate_holder_tick(grants->holder, daemon_now(grants->daemon));
	rate_coordinator_poll(grants->coordinator, daemon_now(grants->daemon),
	    borrow_add, grants);
	batches_send(grants);
	if (grants->ticks % SWEEP_TICKS == 0)
		rate_coordinator_tick(
		    grants->coordinator, daemon_now(grants->daemon));
}

struct vd
grants_take(struct grants *grants, const char *organisation,
    grants_taken_cb *on_taken, void *waiter)
{
	clk_ms retry_after = 0;
	struct vd vd = vd_ok();

	switch (rate_holder_take(grants->holder, daemon_now(grants->daemon),
	    organisation, waiter, &retry_after)) {
	case RATE_TAKEN:
		break;
	case RATE_WAITING:
		g_hash_table_insert(
		    grants->waiters, waiter, (gpointer)on_taken);
		vd.ran = VD_MAYBE;
		rate_holder_poll_one(grants->holder, daemon_now(grants->daemon),
		    organisation, request_add, grants);
		/* on_taken must not be called from within grants_take(). */
		defer_add(grants->daemon->defer, batches_send_later, grants);
		break;
	case RATE_REFUSED:
		vd = vd_make(VD_NOT_RUN, VD_RATE_EXCEEDED,
		    "the organisation's rate is used up");
		vd.retry_after = MAX(retry_after, 1);
		cnt_add(grants->refused, 1);
		break;
	}
	return (vd);
}

void
grants_cancel(struct grants *grants, const char *organisation, void *waiter)
{
	(void)g_hash_table_remove(grants->waiters, waiter);
	rate_holder_cancel(grants->holder, organisation, waiter);
}

void
grants_handle(struct grants *grants, struct rpc_request *request,
    const struct peer_grant_args *args)
{
	struct peer_grant_reply reply;

	grants_fill(grants, args, &reply);
	rpc_request_reply(request, &reply);
	g_free(reply.items.items_val);
}

struct grants *
grants_open(struct daemon *daemon)
{
	struct grants *grants = g_new0(struct grants, 1);

	grants->daemon = daemon;
	grants->owned = g_hash_table_new(NULL, NULL);
	grants->waiters = g_hash_table_new(NULL, NULL);
	grants->batches = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, batch_free);
	grants->coordinator = rate_coordinator_new(limit_get, grants);
	grants->holder = rate_holder_new(shard_for, on_wait_end, grants);
	grants->refused = cnt_counter(daemon->cnt, "rate_refused_total",
	    "Requests refused because the organisation's rate was used up.",
	    NULL, NULL);
	grants->messages = cnt_counter(daemon->cnt, "grant_messages_total",
	    "Requests for tokens sent to coordinators.", NULL, NULL);
	ev_timer_init(&grants->tick, on_tick, TICK_S, TICK_S);
	grants->tick.data = grants;
	ev_timer_start(daemon->loop, &grants->tick);
	return (grants);
}

void
grants_close(struct grants *grants)
{
	if (grants == NULL)
		return;
	ev_timer_stop(grants->daemon->loop, &grants->tick);
	rate_holder_free(grants->holder);
	rate_coordinator_free(grants->coordinator);
	g_hash_table_destroy(grants->owned);
	g_hash_table_destroy(grants->waiters);
	g_hash_table_destroy(grants->batches);
	g_free(grants);
}
