#include "rate/rate.h"

#include <glib.h>
#include <string.h>

/* Bucket levels are in millionths of a token. */
#define MICROS_PER_TOKEN   ((int64_t)1000000)
#define PPM		   ((int64_t)1000000)
#define LIMIT_BURST_MAX	   ((int64_t)1000000000) /* tokens */
#define LIMIT_RATE_MAX	   ((int64_t)1000000000000) /* thousandths per second */
#define IDLE_EXPIRY_MS	   (10 * CLK_SECOND)
#define GRANT_RETENTION_MS (2 * RATE_GRANT_LIFETIME_MS) /* after expiry */
#define REPORT_INTERVAL_MS ((clk_ms)50)
#define DEMAND_PERIOD_MS   ((clk_ms)100)
#define REPLY_TIMEOUT_MS   CLK_SECOND /* after it a request counts as lost */
#define RETRY_AFTER_MAX_MS CLK_MINUTE

int64_t
rate_split(
    int64_t total, const uint32_t *weights, unsigned count, unsigned index)
{
	int64_t sum = 0, given = 0, share, rest;
	unsigned before = 0;

	for (unsigned i = 0; i < count; i++)
		sum += weights[i];
	if (sum == 0 || index >= count || total < 0)
		return (0);
	for (unsigned i = 0; i < count; i++)
		given += (int64_t)((__int128)total * weights[i] / sum);
	share = (int64_t)((__int128)total * weights[index] / sum);
	rest = (int64_t)((__int128)total * weights[index] % sum);
	/* The entries with the largest remainders get one more each. */
	for (unsigned i = 0; i < count; i++) {
		int64_t other = (int64_t)((__int128)total * weights[i] % sum);

		if (other > rest || (other == rest && i < index))
			before++;
	}
	if (before < total - given)
		share++;
	return (share);
}

/*
 * Upper bound of the time on one clock while d ms pass on another.  Two clocks
 * that drift apart differ by slightly more than twice RATE_DRIFT_MAX_PPM, hence
 * the factor 3; 2 ms cover the resolution of both.
 */
static clk_ms
drift_upper_bound(clk_ms d)
{
	return (d + d * 3 * RATE_DRIFT_MAX_PPM / PPM + 2);
}

clk_ms
rate_grant_gone(void)
{
	return (drift_upper_bound(RATE_GRANT_LIFETIME_MS));
}

/* A time on another clock during which at most d ms pass on this one. */
static clk_ms
drift_lower_bound(clk_ms d)
{
	return (d - d * 3 * RATE_DRIFT_MAX_PPM / PPM - 2);
}

/*
 * Coordinator
 */

/* Tokens that a session may still spend or has not reported. */
struct grant {
	uint32_t tokens; /* neither reported nor returned */
	bool borrowed; /* from another data centre's bucket */
	bool expired; /* counted as spent */
	clk_ms expiry; /* on this coordinator's clock */
};

struct session {
	uint64_t number;
	uint64_t serial; /* of the last request accepted */
	clk_ms last_use;
	GArray *grants; /* in order of expiry */
};

struct bucket {
	char *organisation;
	uint16_t shard;
	struct rate_limit limit;
	int64_t level; /* in millionths of a token */
	int64_t outstanding; /* tokens granted and possibly not spent */
	clk_ms filled; /* time to which level is refilled */
	clk_ms next_expiry; /* of all grants; INT64_MAX: none */
	GPtrArray *sessions;
	uint32_t pool; /* borrowed tokens not granted yet */
	clk_ms pool_expiry;
	uint32_t shortfall; /* tokens not granted since the last poll */
	clk_ms last_short; /* when a holder last got too few tokens */
};

struct rate_coordinator {
	rate_limit_cb *limit_of;
	void *arg;
	GHashTable *owned; /* shard -> clk_ms *, start of its refill */
	GHashTable *buckets; /* organisation -> struct bucket */
	GHashTable *short_buckets; /* struct bucket with a shortfall */
	uint64_t serial; /* of requests to other data centres */
};

static void
session_free(void *data)
{
	struct session *session = data;

	g_array_unref(session->grants);
	g_free(session);
}

static void
bucket_free(void *data)
{
	struct bucket *bucket = data;

	g_ptr_array_unref(bucket->sessions);
	g_free(bucket->organisation);
	g_free(bucket);
}

struct rate_coordinator *
rate_coordinator_new(rate_limit_cb *limit_of, void *arg)
{
	struct rate_coordinator *coordinator =
	    g_new0(struct rate_coordinator, 1);

	coordinator->limit_of = limit_of;
	coordinator->arg = arg;
	coordinator->owned = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	coordinator->buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, bucket_free);
	coordinator->short_buckets = g_hash_table_new(NULL, NULL);
	return (coordinator);
}

void
rate_coordinator_free(struct rate_coordinator *coordinator)
{
	if (coordinator == NULL)
		return;
	g_hash_table_unref(coordinator->short_buckets);
	g_hash_table_unref(coordinator->buckets);
	g_hash_table_unref(coordinator->owned);
	g_free(coordinator);
}

void
rate_coordinator_acquire(struct rate_coordinator *coordinator, clk_ms now,
    uint16_t shard, bool handover)
{
	clk_ms *start = g_new(clk_ms, 1);

	rate_coordinator_release(coordinator, shard);
	*start = handover ? now + rate_grant_gone() : now;
	g_hash_table_insert(coordinator->owned, GUINT_TO_POINTER(shard), start);
}

static gboolean
bucket_is_of_shard(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return (((struct bucket *)value)->shard == GPOINTER_TO_UINT(data));
}

static gboolean
short_is_of_shard(gpointer key, gpointer value, gpointer data)
{
	(void)value;
	return (((struct bucket *)key)->shard == GPOINTER_TO_UINT(data));
}

void
rate_coordinator_release(struct rate_coordinator *coordinator, uint16_t shard)
{
	void *key = GUINT_TO_POINTER(shard);

	if (!g_hash_table_remove(coordinator->owned, key))
		return;
	g_hash_table_foreach_remove(
	    coordinator->short_buckets, short_is_of_shard, key);
	g_hash_table_foreach_remove(
	    coordinator->buckets, bucket_is_of_shard, key);
}

/*
 * The largest level + outstanding, in millionths of a token.  One ms of refill
 * is subtracted from the burst because a window of w ms of real time may span
 * w + 1 ticks of this clock.  A bucket of one token needs no such correction:
 * it always refills from the full state, and bucket_refill() starts the refill
 * of a full bucket one tick late.
 */
static int64_t
bucket_capacity(const struct rate_limit *limit)
{
	int64_t cap = limit->burst * MICROS_PER_TOKEN - limit->rate;

	if (limit->burst == 0)
		return (0);
	return (MAX(cap, MICROS_PER_TOKEN));
}

/* Counts the tokens of expired grants as spent. */
static void
bucket_expire(struct bucket *bucket, clk_ms now)
{
	if (now < bucket->next_expiry)
		return;
	bucket->next_expiry = INT64_MAX;
	for (guint i = 0; i < bucket->sessions->len; i++) {
		struct session *session =
		    g_ptr_array_index(bucket->sessions, i);

		for (guint j = 0; j < session->grants->len; j++) {
			struct grant *grant =
			    &g_array_index(session->grants, struct grant, j);

			if (grant->expired)
				continue;
			if (grant->expiry > now) {
				bucket->next_expiry =
				    MIN(bucket->next_expiry, grant->expiry);
				continue;
			}
			grant->expired = true;
			if (!grant->borrowed)
				bucket->outstanding -= grant->tokens;
		}
	}
}

/*
 * Refills up to now.  The outstanding tokens must not have changed since the
 * last refill.
 */
static void
bucket_refill(struct bucket *bucket, clk_ms now)
{
	int64_t cap = bucket_capacity(&bucket->limit);
	int64_t room;
	__int128 gain;

	room = cap - bucket->outstanding * MICROS_PER_TOKEN;
	if (now > bucket->filled) {
		/* A rate of n is n millionths of a token per ms. */
		gain = (__int128)bucket->limit.rate * (now - bucket->filled);
		gain -= (gain * RATE_DRIFT_MAX_PPM + PPM - 1) / PPM;
		bucket->level += (int64_t)MIN(gain, (__int128)cap);
		bucket->filled = now;
	}
	if (bucket->level >= room) {
		bucket->level = MAX(room, 0);
		bucket->filled = MAX(bucket->filled, now + 1);
	}
}

/*
 * Applies expiries and refills up to now.  A full bucket must not refill before
 * a grant expires, so each interval between two expiries is refilled with the
 * tokens that were outstanding in it.
 */
static void
bucket_update(struct bucket *bucket, clk_ms now)
{
	while (bucket->next_expiry <= now) {
		clk_ms expiry = bucket->next_expiry;

		bucket_refill(bucket, expiry);
		bucket_expire(bucket, expiry);
	}
	bucket_refill(bucket, now);
	if (bucket->pool > 0 && now >= bucket->pool_expiry)
		bucket->pool = 0;
}

/* Applies a change of the configured limit. */
static void
bucket_set_limit(
    struct bucket *bucket, clk_ms now, const struct rate_limit *limit)
{
	struct rate_limit slower = *limit;

	if (bucket->limit.rate == limit->rate &&
	    bucket->limit.burst == limit->burst)
		return;
	/* The time of the change is unknown: refill at the lower rate. */
	slower.rate = MIN(limit->rate, bucket->limit.rate);
	slower.burst = MIN(limit->burst, bucket->limit.burst);
	bucket->limit = slower;
	bucket_update(bucket, now);
	bucket->limit = *limit;
}

static bool
limit_read(const struct rate_coordinator *coordinator, const char *organisation,
    struct rate_limit *limit)
{
	if (!coordinator->limit_of(organisation, limit, coordinator->arg))
		return (false);
	limit->rate = CLAMP(limit->rate, 0, LIMIT_RATE_MAX);
	limit->burst = CLAMP(limit->burst, 0, LIMIT_BURST_MAX);
	return (true);
}

/*
 * Returns the organisation's bucket, created if needed and updated to now, or
 * NULL if the shard is not owned or the organisation is unknown.
 */
static struct bucket *
bucket_ensure(struct rate_coordinator *coordinator, clk_ms now,
    const char *organisation, uint16_t shard)
{
	struct bucket *bucket =
	    g_hash_table_lookup(coordinator->buckets, organisation);
	const clk_ms *start =
	    g_hash_table_lookup(coordinator->owned, GUINT_TO_POINTER(shard));
	struct rate_limit limit;

	if (start == NULL || !limit_read(coordinator, organisation, &limit))
		return (NULL);
	if (bucket == NULL) {
		bucket = g_new0(struct bucket, 1);
		bucket->organisation = g_strdup(organisation);
		bucket->shard = shard;
		bucket->limit = limit;
		bucket->filled = *start;
		bucket->next_expiry = INT64_MAX;
		bucket->last_short = INT64_MIN / 2;
		bucket->sessions = g_ptr_array_new_with_free_func(session_free);
		g_hash_table_insert(
		    coordinator->buckets, bucket->organisation, bucket);
	}
	bucket_set_limit(bucket, now, &limit);
	bucket_update(bucket, now);
	return (bucket);
}

static struct session *
session_ensure(struct bucket *bucket, uint64_t number)
{
	struct session *session;

	for (guint i = 0; i < bucket->sessions->len; i++) {
		session = g_ptr_array_index(bucket->sessions, i);
		if (session->number == number)
			return (session);
	}
	session = g_new0(struct session, 1);
	session->number = number;
	session->grants = g_array_new(FALSE, FALSE, sizeof(struct grant));
	g_ptr_array_add(bucket->sessions, session);
	return (session);
}

/*
 * Deducts reported tokens from the session's grants, the earliest expiry first.
 * Tokens of an expired grant are counted as spent already, so a late report
 * does not reduce the outstanding tokens of a newer grant.
 */
static void
session_report(struct bucket *bucket, struct session *session, uint32_t count,
    bool returned)
{
	for (guint i = 0; i < session->grants->len && count > 0; i++) {
		struct grant *grant =
		    &g_array_index(session->grants, struct grant, i);
		uint32_t part = MIN(count, grant->tokens);

		grant->tokens -= part;
		count -= part;
		if (grant->expired)
			continue;
		if (!grant->borrowed) {
			bucket->outstanding -= part;
			if (returned)
				bucket->level += part * MICROS_PER_TOKEN;
		} else if (returned && bucket->pool > 0) {
			bucket->pool += part;
			bucket->pool_expiry =
			    MIN(bucket->pool_expiry, grant->expiry);
		}
	}
}

static void
session_prune(struct session *session, clk_ms now)
{
	guint keep = 0;

	for (guint i = 0; i < session->grants->len; i++) {
		struct grant grant =
		    g_array_index(session->grants, struct grant, i);

		/*
		 * A report of tokens of an expired grant may still be in
		 * flight.  More than one lifetime after the expiry, every grant
		 * that the holder could have received before it sent that
		 * report has expired too, so the report has no effect.
		 */
		if (grant.tokens == 0 ||
		    (grant.expired && now - grant.expiry > GRANT_RETENTION_MS))
			continue;
		g_array_index(session->grants, struct grant, keep) = grant;
		keep++;
	}
	g_array_set_size(session->grants, keep);
}

static void
grant_add(struct bucket *bucket, struct session *session, uint32_t tokens,
    bool borrowed, clk_ms expiry)
{
	struct grant grant = {
	    .tokens = tokens, .borrowed = borrowed, .expiry = expiry};
	guint at = session->grants->len;

	if (tokens == 0)
		return;
	while (at > 0 &&
	    g_array_index(session->grants, struct grant, at - 1).expiry >
		expiry)
		at--;
	g_array_insert_val(session->grants, at, grant);
	bucket->next_expiry = MIN(bucket->next_expiry, expiry);
	if (!borrowed)
		bucket->outstanding += tokens;
}

static clk_ms
next_token_delay(const struct bucket *bucket, clk_ms now)
{
	int64_t missing = MICROS_PER_TOKEN - bucket->level;
	clk_ms wait;

	if (bucket->limit.rate <= 0 || bucket->limit.burst == 0)
		return (CLK_SECOND);
	if (bucket->outstanding >= bucket->limit.burst &&
	    bucket->next_expiry != INT64_MAX)
		missing = MICROS_PER_TOKEN;
	wait = missing / bucket->limit.rate + 1 + MAX(bucket->filled - now, 0);
	return (CLAMP(wait, 1, RETRY_AFTER_MAX_MS));
}

bool
rate_coordinator_grant(struct rate_coordinator *coordinator, clk_ms now,
    clk_ms horizon, uint64_t number, const struct rate_request *request,
    struct rate_reply *reply)
{
	struct bucket *bucket;
	struct session *session;
	clk_ms lifetime;
	uint32_t own, borrowed = 0;

	*reply = (struct rate_reply){.retry_after = CLK_SECOND};
	bucket = bucket_ensure(
	    coordinator, now, request->organisation, request->shard);
	if (bucket == NULL)
		return (false);
	session = session_ensure(bucket, number);
	if (request->serial <= session->serial)
		return (false);
	session->serial = request->serial;
	session->last_use = now;
	session_report(bucket, session, request->used, false);
	session_report(bucket, session, request->returned, true);
	session_prune(session, now);
	bucket_update(bucket, now);
	lifetime = RATE_GRANT_LIFETIME_MS;
	/* Without a valid lease the horizon is far in the past. */
	if (horizon <= now)
		return (false);
	if (horizon < now + 2 * RATE_GRANT_LIFETIME_MS)
		lifetime = MIN(lifetime, drift_lower_bound(horizon - now));
	if (lifetime <= 0)
		return (false);
	own = (uint32_t)MIN(
	    bucket->level / MICROS_PER_TOKEN, (int64_t)UINT32_MAX);
	if (request->borrow)
		own = now - bucket->last_short < CLK_SECOND ? 0 : own / 2;
	own = MIN(own, request->wanted);
	if (!request->borrow && own < request->wanted && bucket->pool > 0 &&
	    drift_lower_bound(bucket->pool_expiry - now) > 0) {
		borrowed = MIN(bucket->pool, request->wanted - own);
		lifetime =
		    MIN(lifetime, drift_lower_bound(bucket->pool_expiry - now));
	}
	bucket->level -= own * MICROS_PER_TOKEN;
	bucket->pool -= borrowed;
	grant_add(
	    bucket, session, own, false, now + drift_upper_bound(lifetime));
	grant_add(
	    bucket, session, borrowed, true, now + drift_upper_bound(lifetime));
	reply->tokens = own + borrowed;
	reply->lifetime = lifetime;
	reply->retry_after = 0;
	if (reply->tokens == request->wanted)
		return (true);
	reply->retry_after = next_token_delay(bucket, now);
	if (!request->borrow) {
		bucket->last_short = now;
		bucket->shortfall += request->wanted - reply->tokens;
		g_hash_table_add(coordinator->short_buckets, bucket);
	}
	return (true);
}

void
rate_coordinator_poll(struct rate_coordinator *coordinator, clk_ms now,
    rate_request_cb *each, void *arg)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, coordinator->short_buckets);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct bucket *bucket = key;
		struct rate_request request = {
		    .organisation = bucket->organisation,
		    .shard = bucket->shard,
		    .serial = ++coordinator->serial,
		    .borrow = true,
		    .wanted = bucket->shortfall,
		};

		bucket->shortfall = 0;
		g_hash_table_iter_remove(&iter);
		if (now - bucket->last_short < CLK_SECOND)
			each(&request, arg);
	}
}

void
rate_coordinator_reply(struct rate_coordinator *coordinator, clk_ms now,
    clk_ms sent, const char *organisation, const struct rate_reply *reply)
{
	struct bucket *bucket =
	    g_hash_table_lookup(coordinator->buckets, organisation);
	clk_ms expiry = sent + reply->lifetime;

	if (bucket == NULL || reply->tokens == 0 || expiry <= now)
		return;
	if (bucket->pool == 0 || now >= bucket->pool_expiry) {
		bucket->pool = 0;
		bucket->pool_expiry = expiry;
	}
	bucket->pool += reply->tokens;
	bucket->pool_expiry = MIN(bucket->pool_expiry, expiry);
}

static bool
bucket_is_idle(struct bucket *bucket, clk_ms now)
{
	for (guint i = bucket->sessions->len; i-- > 0;) {
		struct session *session =
		    g_ptr_array_index(bucket->sessions, i);

		session_prune(session, now);
		if (session->grants->len == 0 &&
		    now - session->last_use > IDLE_EXPIRY_MS)
			g_ptr_array_remove_index_fast(bucket->sessions, i);
	}
	return (bucket->sessions->len == 0 && bucket->pool == 0 &&
	    bucket->shortfall == 0 &&
	    (bucket->level >= bucket_capacity(&bucket->limit) ||
		bucket->limit.rate == 0));
}

void
rate_coordinator_tick(struct rate_coordinator *coordinator, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, coordinator->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;
		struct rate_limit limit = {0};

		/* The rate may have been reduced since the last grant. */
		(void)limit_read(coordinator, bucket->organisation, &limit);
		bucket_set_limit(bucket, now, &limit);
		bucket_update(bucket, now);
		if (bucket_is_idle(bucket, now))
			g_hash_table_iter_remove(&iter);
	}
}

size_t
rate_coordinator_bucket_count(const struct rate_coordinator *coordinator)
{
	return (g_hash_table_size(coordinator->buckets));
}

/*
 * Holder
 */

struct tokens {
	uint32_t count;
	clk_ms expiry;
};

struct waiter {
	void *tag;
	clk_ms since;
};

struct account {
	char *organisation;
	uint16_t shard;
	GArray *tokens; /* struct tokens in order of expiry */
	GQueue waiting; /* struct waiter, oldest first */
	uint32_t used; /* since the last request */
	uint32_t demand; /* tokens taken in this period */
	uint32_t last_demand; /* in the period before */
	clk_ms period; /* start of this period */
	clk_ms last_use;
	clk_ms last_request;
	uint64_t serial; /* of the request in flight; 0: none */
	clk_ms sent; /* when it was sent */
	uint64_t late_serial; /* of the request that timed out before it */
	clk_ms late_sent;
	clk_ms retry_at; /* no tokens are requested before */
	clk_ms retry_after; /* of the last reply */
	bool refused; /* the last reply granted too few tokens */
	clk_ms refused_since; /* first of such replies in a row */
};

struct rate_holder {
	rate_shard_cb *shard_of;
	rate_done_cb *on_done;
	void *arg;
	GHashTable *accounts; /* organisation -> struct account */
	uint64_t serial;
	GQueue refusals; /* struct refusal, to be passed to on_done */
};

/* A wait that ended without a token. */
struct refusal {
	void *tag;
	clk_ms retry_after;
};

static void
account_free(void *data)
{
	struct account *account = data;

	g_queue_clear_full(&account->waiting, g_free);
	g_array_unref(account->tokens);
	g_free(account->organisation);
	g_free(account);
}

struct rate_holder *
rate_holder_new(rate_shard_cb *shard_of, rate_done_cb *on_done, void *arg)
{
	struct rate_holder *holder = g_new0(struct rate_holder, 1);

	g_queue_init(&holder->refusals);
	holder->shard_of = shard_of;
	holder->on_done = on_done;
	holder->arg = arg;
	holder->accounts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
	return (holder);
}

void
rate_holder_free(struct rate_holder *holder)
{
	if (holder == NULL)
		return;
	g_queue_clear_full(&holder->refusals, g_free);
	g_hash_table_unref(holder->accounts);
	g_free(holder);
}

static struct account *
account_ensure(struct rate_holder *holder, clk_ms now, const char *organisation)
{
	struct account *account =
	    g_hash_table_lookup(holder->accounts, organisation);

	if (account != NULL)
		return (account);
	account = g_new0(struct account, 1);
	account->organisation = g_strdup(organisation);
	account->shard = holder->shard_of(organisation, holder->arg);
	account->tokens = g_array_new(FALSE, FALSE, sizeof(struct tokens));
	g_queue_init(&account->waiting);
	account->period = now;
	account->last_request = now - REPORT_INTERVAL_MS;
	g_hash_table_insert(holder->accounts, account->organisation, account);
	return (account);
}

static void
account_roll_period(struct account *account, clk_ms now)
{
	if (now - account->period < DEMAND_PERIOD_MS)
		return;
	account->last_demand =
	    now - account->period < 2 * DEMAND_PERIOD_MS ? account->demand : 0;
	account->demand = 0;
	account->period = now;
}

static void
account_expire(struct account *account, clk_ms now)
{
	guint expired = 0;

	while (expired < account->tokens->len &&
	    g_array_index(account->tokens, struct tokens, expired).expiry <=
		now)
		expired++;
	if (expired > 0)
		g_array_remove_range(account->tokens, 0, expired);
}

static uint32_t
account_held(const struct account *account)
{
	uint32_t sum = 0;

	for (guint i = 0; i < account->tokens->len; i++)
		sum += g_array_index(account->tokens, struct tokens, i).count;
	return (sum);
}

/* Spends one token of those that expire first. */
static bool
account_spend(struct account *account, clk_ms now)
{
	struct tokens *first;

	account_expire(account, now);
	if (account->tokens->len == 0)
		return (false);
	first = &g_array_index(account->tokens, struct tokens, 0);
	account->used++;
	account->demand++;
	if (--first->count == 0)
		g_array_remove_index(account->tokens, 0);
	return (true);
}

static clk_ms
account_retry_delay(const struct account *account)
{
	return (account->retry_after > 0 ? account->retry_after : CLK_SECOND);
}

enum rate_outcome
rate_holder_take(struct rate_holder *holder, clk_ms now,
    const char *organisation, void *tag, clk_ms *retry_after)
{
	struct account *account = account_ensure(holder, now, organisation);
	struct waiter *waiter;

	*retry_after = 0;
	account->last_use = now;
	account_roll_period(account, now);
	if (account->waiting.length == 0 && account_spend(account, now))
		return (RATE_TAKEN);
	/* The coordinator expects no token within the wait. */
	if (account->waiting.length >= RATE_WAITERS_MAX ||
	    (account->refused &&
		account->retry_at > now + RATE_REFUSED_WAIT_MS)) {
		*retry_after =
		    MAX(account_retry_delay(account), account->retry_at - now);
		return (RATE_REFUSED);
	}
	waiter = g_new(struct waiter, 1);
	waiter->tag = tag;
	waiter->since = now;
	g_queue_push_tail(&account->waiting, waiter);
	return (RATE_WAITING);
}

void
rate_holder_cancel(
    struct rate_holder *holder, const char *organisation, void *tag)
{
	struct account *account =
	    g_hash_table_lookup(holder->accounts, organisation);

	for (GList *item = holder->refusals.head; item != NULL;
	     item = item->next) {
		if (((struct refusal *)item->data)->tag != tag)
			continue;
		g_free(item->data);
		g_queue_delete_link(&holder->refusals, item);
		return;
	}
	if (account == NULL)
		return;
	for (GList *item = account->waiting.head; item != NULL;
	     item = item->next) {
		if (((struct waiter *)item->data)->tag != tag)
			continue;
		g_free(item->data);
		g_queue_delete_link(&account->waiting, item);
		return;
	}
}

/* Held tokens in excess of twice the recent demand. */
static uint32_t
account_spare(const struct account *account, clk_ms now)
{
	uint32_t held = account_held(account);
	uint32_t need = MAX(account->demand, account->last_demand);

	if (account->waiting.length > 0)
		return (0);
	if (now - account->last_use >= 2 * DEMAND_PERIOD_MS)
		return (held);
	need = MAX(need, 1);
	return (held > 2 * need ? held - 2 * need : 0);
}

static void
account_return(struct account *account, uint32_t count)
{
	while (count > 0 && account->tokens->len > 0) {
		struct tokens *first =
		    &g_array_index(account->tokens, struct tokens, 0);
		uint32_t part = MIN(count, first->count);

		first->count -= part;
		count -= part;
		if (first->count == 0)
			g_array_remove_index(account->tokens, 0);
	}
}

static bool
account_prepare_request(
    struct account *account, clk_ms now, struct rate_request *request)
{
	uint32_t held, target;
	bool waiting = account->waiting.length > 0;

	if (account->serial != 0) {
		if (now - account->sent < REPLY_TIMEOUT_MS)
			return (false);
		account->late_serial = account->serial;
		account->late_sent = account->sent;
		account->serial = 0;
	}
	account_expire(account, now);
	held = account_held(account);
	target = MAX(account->demand, account->last_demand);
	if (now - account->last_use >= 2 * DEMAND_PERIOD_MS)
		target = 0;
	else
		target = MAX(target, 1);
	target += account->waiting.length;
	request->returned = account_spare(account, now);
	request->used = account->used;
	request->wanted = 0;
	if (now >= account->retry_at && target > held)
		request->wanted = target - held;
	if (waiting && request->wanted > 0 && held == 0)
		return (true);
	return (now - account->last_request >= REPORT_INTERVAL_MS &&
	    (request->used > 0 || request->returned > 0 ||
		request->wanted > 0));
}

/* Calls each() with the account's request, if one is due. */
static void
account_poll(struct rate_holder *holder, struct account *account, clk_ms now,
    rate_request_cb *each, void *arg)
{
	struct rate_request request = {
	    .organisation = account->organisation,
	    .shard = account->shard,
	};

	account_roll_period(account, now);
	if (!account_prepare_request(account, now, &request))
		return;
	request.serial = ++holder->serial;
	/* A lost report is not repeated: the grant's expiry covers it. */
	account_return(account, request.returned);
	account->used = 0;
	account->serial = request.serial;
	account->sent = now;
	account->last_request = now;
	each(&request, arg);
}

void
rate_holder_poll_one(struct rate_holder *holder, clk_ms now,
    const char *organisation, rate_request_cb *each, void *arg)
{
	struct account *account =
	    g_hash_table_lookup(holder->accounts, organisation);

	if (account != NULL)
		account_poll(holder, account, now, each, arg);
}

void
rate_holder_poll(
    struct rate_holder *holder, clk_ms now, rate_request_cb *each, void *arg)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, holder->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		account_poll(holder, value, now, each, arg);
}

static void
account_add(struct account *account, uint32_t count, clk_ms expiry)
{
	struct tokens tokens = {.count = count, .expiry = expiry};
	guint at = account->tokens->len;

	while (at > 0 &&
	    g_array_index(account->tokens, struct tokens, at - 1).expiry >
		expiry)
		at--;
	g_array_insert_val(account->tokens, at, tokens);
}

/* Serves waiting requests in order of arrival. */
static void
account_serve(struct rate_holder *holder, struct account *account, clk_ms now)
{
	while (account->waiting.length > 0 && account_spend(account, now)) {
		struct waiter *waiter = g_queue_pop_head(&account->waiting);
		void *tag = waiter->tag;

		g_free(waiter);
		holder->on_done(tag, RATE_TAKEN, 0, holder->arg);
	}
}

void
rate_holder_reply(struct rate_holder *holder, clk_ms now,
    const char *organisation, uint64_t serial, const struct rate_reply *reply)
{
	struct account *account =
	    g_hash_table_lookup(holder->accounts, organisation);
	clk_ms sent;

	if (account == NULL || serial == 0)
		return;
	if (serial == account->serial) {
		sent = account->sent;
		account->serial = 0;
	} else if (serial == account->late_serial) {
		sent = account->late_sent;
		account->late_serial = 0;
	} else {
		return;
	}
	if (reply == NULL) {
		account->retry_at = now + REPORT_INTERVAL_MS;
		account->refused = false;
		return;
	}
	if (reply->retry_after > 0 && !account->refused)
		account->refused_since = now;
	account->refused = reply->retry_after > 0;
	account->retry_after = reply->retry_after;
	account->retry_at = now + MIN(reply->retry_after, CLK_SECOND);
	/* The lifetime starts when the request was sent. */
	if (reply->tokens > 0 && sent + reply->lifetime > now)
		account_add(account, reply->tokens, sent + reply->lifetime);
	account_serve(holder, account, now);
}

/* Whether the oldest waiting request has waited as long as it may. */
static bool
account_waited(const struct account *account, clk_ms now)
{
	const struct waiter *waiter = account->waiting.head->data;

	if (account->refused &&
	    now - MAX(waiter->since, account->refused_since) >=
		RATE_REFUSED_WAIT_MS)
		return (true);
	return (now - waiter->since >= RATE_NO_REPLY_WAIT_MS);
}

void
rate_holder_tick(struct rate_holder *holder, clk_ms now)
{
	struct refusal *refusal;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, holder->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *account = value;

		account_expire(account, now);
		while (account->waiting.length > 0 &&
		    account_waited(account, now)) {
			struct waiter *waiter =
			    g_queue_pop_head(&account->waiting);

			refusal = g_new(struct refusal, 1);
			refusal->tag = waiter->tag;
			refusal->retry_after = account_retry_delay(account);
			g_queue_push_tail(&holder->refusals, refusal);
			g_free(waiter);
		}
		if (now - account->last_use >= IDLE_EXPIRY_MS &&
		    account->tokens->len == 0 && account->used == 0 &&
		    account->waiting.length == 0 && account->serial == 0)
			g_hash_table_iter_remove(&iter);
	}
	/* on_done may cancel waits that are still in this list. */
	while ((refusal = g_queue_pop_head(&holder->refusals)) != NULL) {
		holder->on_done(refusal->tag, RATE_REFUSED,
		    refusal->retry_after, holder->arg);
		g_free(refusal);
	}
}

size_t
rate_holder_active_count(const struct rate_holder *holder)
{
	return (g_hash_table_size(holder->accounts));
}
