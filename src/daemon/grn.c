#include "daemon/grn.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "daemon/dfr.h"
#include "rate/rat.h"

#define TICK_S		0.025
#define SWEEP_TICKS	200
#define CALL_TIMEOUT_MS ((clk_ms)1000)

struct grn {
	struct dmn *dmn;
	struct rat_coordinator *coordinator;
	struct rat_holder *holder;
	ev_timer tick;
	unsigned ticks;
	GHashTable *owned; /* shards given to rat_coordinator_own() */
	GHashTable *waiters; /* waiter -> grn_on_taken */
	GHashTable *batches; /* session -> struct batch, being filled */
	struct cnt_metric *refused;
	struct cnt_metric *messages;
};

/* Requests that go to one coordinator in one message. */
struct batch {
	struct grn *grn;
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
limit_get(const char *name, struct rat_limit *limit, void *arg)
{
	struct grn *grn = arg;
	const struct cfg_organisation *organisation =
	    cfg_organisation_find(grn->dmn->cfg, name);
	unsigned index = grn->dmn->set->datacentre_number;
	struct split split = {.n = 0};

	if (organisation == NULL)
		return (false);
	cfg_each(grn->dmn->cfg, CFG_DATACENTRE, split_add, &split);
	if (index >= split.n)
		return (false);
	limit->rate = rat_split((int64_t)floor(organisation->rate * 1000.0),
	    split.weights, split.n, index);
	limit->burst = rat_split(
	    (int64_t)floor(organisation->burst), split.weights, split.n, index);
	return (true);
}

static uint16_t
shard_for(const char *organisation, void *arg)
{
	struct grn *grn = arg;
	g_autofree char *digest =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, organisation, -1);
	char word[9];

	(void)g_strlcpy(word, digest, sizeof(word));
	return ((uint16_t)(g_ascii_strtoull(word, NULL, 16) %
	    grn->dmn->set->shards));
}

static void
on_wait_end(
    void *waiter, enum rat_outcome outcome, clk_ms retry_after, void *arg)
{
	struct grn *grn = arg;
	grn_on_taken *on_taken =
	    (grn_on_taken *)g_hash_table_lookup(grn->waiters, waiter);
	struct vd vd = vd_ok();

	(void)g_hash_table_remove(grn->waiters, waiter);
	if (on_taken == NULL)
		return;
	if (outcome != RAT_TAKEN) {
		vd = vd_make(VD_NOT_RUN, VD_RATE_EXCEEDED,
		    "the organisation's rate is used up");
		vd.retry_after = MAX(retry_after, 1);
		cnt_add(grn->refused, 1);
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
batch_add(struct grn *grn, uint64_t session, const struct rat_request *request)
{
	struct batch *batch = g_hash_table_lookup(grn->batches, &session);
	struct peer_grant_wish wish = {.shard = request->shard,
	    .serial = request->serial,
	    .borrow = request->borrow,
	    .wanted = request->wanted,
	    .used = request->used,
	    .returned = request->returned};

	if (batch == NULL) {
		batch = g_new0(struct batch, 1);
		batch->grn = grn;
		batch->session = session;
		batch->borrow = request->borrow;
		batch->names = g_ptr_array_new_with_free_func(g_free);
		batch->wishes = g_array_new(FALSE, FALSE, sizeof(wish));
		g_hash_table_insert(grn->batches, &batch->session, batch);
	}
	if (batch->wishes->len >= PEER_MAX_GRANTS)
		return;
	wish.organisation = g_strdup(request->organisation);
	g_ptr_array_add(batch->names, wish.organisation);
	g_array_append_val(batch->wishes, wish);
}

/* The owner of an organisation's shard in a data centre; 0: none. */
static uint64_t
coordinator_find(const struct grn *grn, unsigned datacentre, uint16_t shard)
{
	struct own_shard_id id = {
	    .datacentre = (uint16_t)datacentre, .shard = shard};
	struct own_shard info;

	if (!own_shard_get(grn->dmn->own, id, &info))
		return (0);
	return (info.owner);
}

static clk_ms
horizon_get(const struct grn *grn, uint16_t shard, clk_ms now)
{
	struct own_shard_id id = {
	    .datacentre = (uint16_t)grn->dmn->set->datacentre_number,
	    .shard = shard};

	return (own_horizon(grn->dmn->own, id, now));
}

static void
request_add(const struct rat_request *request, void *arg)
{
	struct grn *grn = arg;
	uint64_t session = coordinator_find(
	    grn, grn->dmn->set->datacentre_number, request->shard);

	batch_add(grn, session, request);
}

/*
 * Borrow an equal part of the missing tokens from each other data centre.
 * Asking one after the other took longer than a request waits for its token.
 */
static void
borrow_add(const struct rat_request *request, void *arg)
{
	struct grn *grn = arg;
	unsigned own = grn->dmn->set->datacentre_number;
	uint64_t coordinators[OWN_MAX_DATACENTRES];
	struct rat_request part = *request;
	unsigned n = 0;

	for (unsigned d = 0; d < grn->dmn->n_datacentres; d++) {
		uint64_t session = coordinator_find(grn, d, request->shard);

		if (d != own && session != 0 && session != grn->dmn->session)
			coordinators[n++] = session;
	}
	if (n == 0)
		return;
	part.wanted = (request->wanted + n - 1) / n;
	for (unsigned i = 0; i < n; i++)
		batch_add(grn, coordinators[i], &part);
}

static void
reply_apply(struct batch *batch, const struct peer_grant_wish *wish,
    const struct peer_grant *grant)
{
	struct grn *grn = batch->grn;
	clk_ms now = dmn_now(grn->dmn);
	struct rat_reply reply = {0};

	if (grant != NULL && grant->status == PEER_GRANT_OK) {
		reply.tokens = grant->tokens;
		reply.lifetime = (clk_ms)grant->lifetime_ms;
		reply.retry_after = (clk_ms)grant->retry_after_ms;
	}
	if (batch->borrow) {
		if (reply.tokens > 0)
			rat_borrowed(grn->coordinator, now, batch->sent_at,
			    wish->organisation, &reply);
		return;
	}
	rat_granted(grn->holder, now, wish->organisation, wish->serial,
	    grant != NULL && grant->status == PEER_GRANT_OK ? &reply : NULL);
}

static void
on_reply(const struct pr_result *result, void *arg)
{
	struct batch *batch = arg;
	const struct peer_grant_reply *reply = result->reply;
	bool valid = result->sent == PR_REPLIED &&
	    reply->session == batch->session &&
	    reply->items.items_len == batch->wishes->len;

	for (guint i = 0; result->sent != PR_DROPPED && i < batch->wishes->len;
	     i++)
		reply_apply(batch,
		    &g_array_index(batch->wishes, struct peer_grant_wish, i),
		    valid ? &reply->items.items_val[i] : NULL);
	batch_free(batch);
}

/* Grant the requests of one message as their coordinator. */
static void
grants_fill(struct grn *grn, const struct peer_grant_args *args,
    struct peer_grant_reply *reply)
{
	u_int n = args->items.items_len;
	struct peer_grant *grants = g_new0(struct peer_grant, n + 1);
	clk_ms now = dmn_now(grn->dmn);

	for (u_int i = 0; i < n; i++) {
		const struct peer_grant_wish *wish = &args->items.items_val[i];
		struct rat_request want = {.organisation = wish->organisation,
		    .shard = (uint16_t)wish->shard,
		    .serial = wish->serial,
		    .borrow = wish->borrow,
		    .wanted = wish->wanted,
		    .used = wish->used,
		    .returned = wish->returned};
		struct rat_reply granted = {0};

		grants[i].organisation = wish->organisation;
		grants[i].serial = wish->serial;
		if (!rat_grant(grn->coordinator, now,
			horizon_get(grn, want.shard, now), args->session, &want,
			&granted)) {
			grants[i].status = PEER_GRANT_NOT_COORDINATOR;
			continue;
		}
		grants[i].tokens = granted.tokens;
		grants[i].lifetime_ms = (u_int)MAX(granted.lifetime, 0);
		grants[i].retry_after_ms = (u_int)MAX(granted.retry_after, 0);
	}
	reply->session = grn->dmn->session;
	reply->items.items_len = n;
	reply->items.items_val = grants;
}

/* Handle requests of this instance to itself without a message. */
static void
batch_grant(struct batch *batch)
{
	struct peer_grant_args args = {.session = batch->grn->dmn->session};
	struct peer_grant_reply reply;
	struct pr_result result = {.sent = PR_REPLIED, .reply = &reply};

	args.items.items_len = batch->wishes->len;
	args.items.items_val =
	    (struct peer_grant_wish *)(void *)batch->wishes->data;
	grants_fill(batch->grn, &args, &reply);
	on_reply(&result, batch);
	g_free(reply.items.items_val);
}

static void
batch_send(struct batch *batch)
{
	struct dmn *dmn = batch->grn->dmn;
	struct peer_grant_args args = {.session = dmn->session};
	const char *address = dmn_address(dmn, batch->session);
	struct pr_result failed = {.sent = PR_NOT_SENT, .error = ""};

	if (batch->session == dmn->session) {
		batch_grant(batch);
		return;
	}
	batch->sent_at = dmn_now(dmn);
	if (address == NULL) {
		on_reply(&failed, batch);
		return;
	}
	args.items.items_len = batch->wishes->len;
	args.items.items_val =
	    (struct peer_grant_wish *)(void *)batch->wishes->data;
	cnt_add(batch->grn->messages, 1);
	(void)pr_call(dmn->pr, address, PEER_GRANT, &args, CALL_TIMEOUT_MS,
	    on_reply, batch);
}

static void
batches_send(struct grn *grn)
{
	GList *batches = g_hash_table_get_values(grn->batches);

	g_hash_table_steal_all(grn->batches);
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
requests_send(struct grn *grn)
{
	rat_request_list(grn->holder, dmn_now(grn->dmn), request_add, grn);
	batches_send(grn);
}

/* Update the shards that this instance coordinates. */
static void
owned_update(struct grn *grn)
{
	struct dmn *dmn = grn->dmn;
	clk_ms now = dmn_now(dmn);

	for (unsigned s = 0; s < dmn->set->shards; s++) {
		struct own_shard_id id = {
		    .datacentre = (uint16_t)dmn->set->datacentre_number,
		    .shard = (uint16_t)s};
		struct own_shard info;
		gpointer key = GUINT_TO_POINTER(s + 1);
		bool owned = own_shard_get(dmn->own, id, &info) &&
		    (info.phase == OWN_SERVING ||
			info.phase == OWN_RECOVERING ||
			info.phase == OWN_PREPARING);
		bool known = g_hash_table_contains(grn->owned, key);

		if (owned && !known) {
			/*
			 * After a claim the former owner's grants must expire
			 * with its horizon first; after a handover they need
			 * not.  The shard map does not tell the two apart, so
			 * every new coordinator waits.
			 */
			rat_coordinator_own(
			    grn->coordinator, now, (uint16_t)s, info.epoch > 1);
			(void)g_hash_table_add(grn->owned, key);
		} else if (!owned && known) {
			rat_coordinator_disown(grn->coordinator, (uint16_t)s);
			(void)g_hash_table_remove(grn->owned, key);
		}
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct grn *grn = timer->data;

	(void)loop;
	(void)events;
	grn->ticks++;
	owned_update(grn);
	requests_send(grn);
	rat_holder_tick(grn->holder, dmn_now(grn->dmn));
	rat_borrow_list(grn->coordinator, dmn_now(grn->dmn), borrow_add, grn);
	batches_send(grn);
	if (grn->ticks % SWEEP_TICKS == 0)
		rat_coordinator_tick(grn->coordinator, dmn_now(grn->dmn));
}

struct vd
grn_take(struct grn *grn, const char *organisation, grn_on_taken *on_taken,
    void *waiter)
{
	clk_ms retry_after = 0;
	struct vd vd = vd_ok();

	switch (rat_take(grn->holder, dmn_now(grn->dmn), organisation, waiter,
	    &retry_after)) {
	case RAT_TAKEN:
		break;
	case RAT_WAITING:
		g_hash_table_insert(grn->waiters, waiter, (gpointer)on_taken);
		vd.ran = VD_MAYBE;
		rat_request_now(grn->holder, dmn_now(grn->dmn), organisation,
		    request_add, grn);
		/* on_taken must not be called from within grn_take(). */
		dfr_add(grn->dmn->dfr, batches_send_later, grn);
		break;
	case RAT_REFUSED:
		vd = vd_make(VD_NOT_RUN, VD_RATE_EXCEEDED,
		    "the organisation's rate is used up");
		vd.retry_after = MAX(retry_after, 1);
		cnt_add(grn->refused, 1);
		break;
	}
	return (vd);
}

void
grn_cancel(struct grn *grn, const char *organisation, void *waiter)
{
	(void)g_hash_table_remove(grn->waiters, waiter);
	rat_take_cancel(grn->holder, organisation, waiter);
}

void
grn_handler(struct grn *grn, struct pr_request *request,
    const struct peer_grant_args *args)
{
	struct peer_grant_reply reply;

	grants_fill(grn, args, &reply);
	pr_reply(request, &reply);
	g_free(reply.items.items_val);
}

struct grn *
grn_open(struct dmn *dmn)
{
	struct grn *grn = g_new0(struct grn, 1);

	grn->dmn = dmn;
	grn->owned = g_hash_table_new(NULL, NULL);
	grn->waiters = g_hash_table_new(NULL, NULL);
	grn->batches = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, batch_free);
	grn->coordinator = rat_coordinator_new(limit_get, grn);
	grn->holder = rat_holder_new(shard_for, on_wait_end, grn);
	grn->refused = cnt_counter(dmn->cnt, "rate_refused_total",
	    "Requests refused because the organisation's rate was used up.",
	    NULL, NULL);
	grn->messages = cnt_counter(dmn->cnt, "grant_messages_total",
	    "Requests for tokens sent to coordinators.", NULL, NULL);
	ev_timer_init(&grn->tick, on_tick, TICK_S, TICK_S);
	grn->tick.data = grn;
	ev_timer_start(dmn->loop, &grn->tick);
	return (grn);
}

void
grn_close(struct grn *grn)
{
	if (grn == NULL)
		return;
	ev_timer_stop(grn->dmn->loop, &grn->tick);
	rat_holder_free(grn->holder);
	rat_coordinator_free(grn->coordinator);
	g_hash_table_destroy(grn->owned);
	g_hash_table_destroy(grn->waiters);
	g_hash_table_destroy(grn->batches);
	g_free(grn);
}
