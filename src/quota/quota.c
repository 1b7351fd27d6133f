#include "quota/quota.h"

#include <math.h>

/*
 * A peer that sent no gossip message for this time has timed out: twice the
 * gossip interval, plus one interval for a lost datagram.
 */
#define PEER_TIMEOUT_MS 600
/*
 * Part of the burst in a new process's bucket.  The processes before it may
 * have used all of it, but admit nothing while they restart: with a burst of
 * one second's rate, two restarts in a window stay within a tolerance of 10%.
 */
#define START_PART 0.5
/* A peer that sent no gossip message for this time is removed. */
#define PEER_EXPIRY_MS (30 * CLK_SECOND)
/* A report gives rate and burst in thousandths. */
#define LIMIT_UNITS 1000.0
/* Period of counting the live peers. */
#define SHARE_PERIOD_MS 50
/* Lowest share of rate and burst, for an instance without live peers. */
#define SHARE_MIN 0.02
/* Part of the burst that is reserved for active programs. */
#define RESERVED_PART 0.5
/*
 * Time in which active programs make their expected requests: half of the
 * time that a typical program runs.
 */
#define EXPECTED_WITHIN_S 1.5
/* Initial estimate of the requests per program; its weight, in programs. */
#define PROGRAM_REQUESTS 10.0
#define PROGRAM_WEIGHT	 5.0
/* Time constant with which expected requests that are not made decay. */
#define EXPECTED_DECAY_S 8.0
/* Part of the tolerance that the instances may use in an interval. */
#define TOLERANCE_PART 0.6
/* Weight of the last interval in the moving averages of requests. */
#define INTERVAL_WEIGHT 0.3

struct bucket {
	uint32_t hash;
	double level; /* tokens; negative if peers admitted more */
	double rate; /* of the last request or report; 0: none */
	double burst;
	clk_ms updated;
	/* Reports of this instance's admissions: */
	GList link;
	GQueue *queue; /* quota->news, quota->repeats, or nil: no period */
	uint32_t period; /* interval in which the counts began */
	uint32_t requested; /* in the period */
	uint32_t admitted;
	uint32_t begun; /* programs */
	unsigned unreported; /* admitted and in no report yet */
	clk_ms repeat_until;
	double fleet_admitted; /* by all instances */
	double fleet_begun;
	double expected; /* further requests of active programs */
	double own_average; /* requests an interval at this instance */
	double peers_average; /* requests an interval at the peers */
	/* In the interval: */
	uint32_t interval;
	unsigned own_requested;
	unsigned peers_requested;
};

/* What a peer last reported of an organisation. */
struct peer_count {
	struct quota_count count;
	clk_ms received;
};

struct peer {
	uint64_t incarnation;
	clk_ms received;
	GHashTable *counts; /* organisation -> struct peer_count */
};

struct quota {
	GHashTable *buckets; /* hash -> struct bucket */
	GHashTable *peers; /* name -> struct peer */
	GQueue news; /* struct bucket with unreported requests, oldest first */
	GQueue repeats; /* struct bucket, least recently reported first */
	uint32_t interval; /* number of reports so far */
	struct quota_tolerance tolerance;
	unsigned instances;
	double share;
	clk_ms share_until; /* when it is to be computed again */
	clk_ms start;
};

static void
peer_free(void *data)
{
	struct peer *peer = data;

	g_hash_table_destroy(peer->counts);
	g_free(peer);
}

struct quota *
quota_open(const struct quota_tolerance *tolerance, clk_ms start)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	quota->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	quota->tolerance = *tolerance;
	quota->instances = 1;
	quota->start = start;
	return (quota);
}

void
quota_close(struct quota *quota)
{
	if (quota == NULL)
		return;
	g_hash_table_destroy(quota->buckets);
	g_hash_table_destroy(quota->peers);
	g_free(quota);
}

uint32_t
quota_hash(const char *name)
{
	return ((uint32_t)g_str_hash(name));
}

static struct bucket *
bucket_ensure(struct quota *quota, uint32_t hash)
{
	struct bucket *bucket =
	    g_hash_table_lookup(quota->buckets, GUINT_TO_POINTER(hash));

	if (bucket == NULL) {
		bucket = g_new0(struct bucket, 1);
		bucket->hash = hash;
		bucket->link.data = bucket;
		bucket->interval = quota->interval;
		(void)g_hash_table_insert(
		    quota->buckets, GUINT_TO_POINTER(hash), bucket);
	}
	return (bucket);
}

unsigned
quota_live_peers(const struct quota *quota, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	unsigned live = 0;

	g_hash_table_iter_init(&iter, quota->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (now - peer->received < PEER_TIMEOUT_MS)
			live++;
	}
	return (live);
}

static double
live_share(const struct quota *quota, clk_ms now)
{
	unsigned group = quota_live_peers(quota, now) + 1;

	if (group >= quota->instances)
		return (1.0);
	return (fmax((double)group / quota->instances, SHARE_MIN));
}

/* Share of the limit for this instance and its live peers. */
static double
quota_share(struct quota *quota, clk_ms now)
{
	if (now >= quota->share_until) {
		quota->share = live_share(quota, now);
		quota->share_until = now + SHARE_PERIOD_MS;
	}
	return (quota->share);
}

/*
 * Sets the limit.  A new bucket is taken to be full, as long as this process
 * has run for long enough.
 */
static void
bucket_limit_set(
    const struct quota *quota, struct bucket *bucket, double rate, double burst)
{
	if (bucket->rate <= 0) {
		bucket->level = START_PART * burst;
		bucket->updated = quota->start;
	}
	bucket->rate = rate;
	bucket->burst = burst;
}

/* Adds what the share of the rate has given since the last call. */
static void
bucket_refill(struct quota *quota, struct bucket *bucket, clk_ms now)
{
	double share = quota_share(quota, now);
	double elapsed = (double)(now - bucket->updated) / (double)CLK_SECOND;

	if (bucket->rate <= 0)
		return;
	if (elapsed > 0)
		bucket->level += elapsed * bucket->rate * share;
	bucket->level = fmin(bucket->level, bucket->burst * share);
	bucket->expected *= exp(-fmax(elapsed, 0) / EXPECTED_DECAY_S);
	bucket->updated = now;
}

/* Average number of requests of a program. */
static double
program_requests(const struct bucket *bucket)
{
	return ((bucket->fleet_admitted + PROGRAM_REQUESTS * PROGRAM_WEIGHT) /
	    (bucket->fleet_begun + PROGRAM_WEIGHT));
}

/* Takes tokens for requests, some of which are the first of a program. */
static void
bucket_take(struct bucket *bucket, double admitted, double begun)
{
	double requests = program_requests(bucket);

	bucket->level -= admitted;
	bucket->expected += begun * requests - admitted;
	bucket->expected = fmax(bucket->expected, 0);
	bucket->fleet_admitted += admitted;
	bucket->fleet_begun += begun;
}

/* Time in which an admission counts against the limit. */
static clk_ms
quota_window(const struct quota *quota)
{
	return ((clk_ms)(quota->tolerance.window_s * (double)CLK_SECOND));
}

/* Removes counts whose period has ended at the peer. */
static void
peer_counts_expire(const struct quota *quota, struct peer *peer, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peer->counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_count *last = value;

		if (now - last->received >= 2 * quota_window(quota))
			g_hash_table_iter_remove(&iter);
	}
}

void
quota_instances_set(struct quota *quota, unsigned instances, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	quota->instances = MAX(instances, 1U);
	quota->share_until = now;
	g_hash_table_iter_init(&iter, quota->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (now - peer->received >= PEER_EXPIRY_MS)
			g_hash_table_iter_remove(&iter);
		else
			peer_counts_expire(quota, peer, now);
	}
}

/* Brings the averages up to the interval that has begun. */
static void
bucket_advance(const struct quota *quota, struct bucket *bucket)
{
	uint32_t intervals = quota->interval - bucket->interval;
	double decay;

	if (intervals == 0)
		return;
	/* Nothing was counted in the intervals after the first. */
	decay = pow(1.0 - INTERVAL_WEIGHT, intervals - 1);
	bucket->own_average +=
	    INTERVAL_WEIGHT * (bucket->own_requested - bucket->own_average);
	bucket->own_average *= decay;
	bucket->peers_average +=
	    INTERVAL_WEIGHT * (bucket->peers_requested - bucket->peers_average);
	bucket->peers_average *= decay;
	bucket->own_requested = 0;
	bucket->peers_requested = 0;
	bucket->interval = quota->interval;
}

/* By how much the fleet may exceed the organisation's limit in a window. */
static double
bucket_tolerance(const struct quota *quota, const struct bucket *bucket)
{
	const struct quota_tolerance *tolerance = &quota->tolerance;

	return (tolerance->fraction *
		(bucket->rate * tolerance->window_s + bucket->burst) +
	    tolerance->requests);
}

/* Takes what a peer has counted since its last report. */
static void
bucket_merge(struct quota *quota, const struct quota_count *news, clk_ms now)
{
	struct bucket *bucket = bucket_ensure(quota, news->organisation);

	bucket_advance(quota, bucket);
	bucket_limit_set(quota, bucket, (double)news->rate / LIMIT_UNITS,
	    (double)news->burst / LIMIT_UNITS);
	bucket_refill(quota, bucket, now);
	bucket_take(bucket, news->admitted, news->programs);
	/*
	 * After a partition a report also has what its sender admitted out of
	 * the share of the rate that this instance did not use.
	 */
	bucket->level = fmax(bucket->level, -bucket_tolerance(quota, bucket));
	bucket->peers_requested += news->requested;
}

/* Returns what was counted since before, in the same period. */
static struct quota_count
count_since(const struct quota_count *count, const struct quota_count *before)
{
	struct quota_count news = *count;

	news.requested -= before->requested;
	/* Tokens that were given back lower the count. */
	news.admitted -= MIN(before->admitted, count->admitted);
	news.programs -= before->programs;
	return (news);
}

void
quota_gossip_merge(struct quota *quota, const char *name, uint64_t incarnation,
    const struct quota_count *counts, size_t n, clk_ms now)
{
	struct peer *peer = g_hash_table_lookup(quota->peers, name);
	bool is_new = peer == NULL;

	if (is_new) {
		peer = g_new0(struct peer, 1);
		peer->counts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		(void)g_hash_table_insert(quota->peers, g_strdup(name), peer);
	} else if (peer->incarnation != incarnation) {
		/* It restarted, and its counts with it. */
		g_hash_table_remove_all(peer->counts);
	}
	peer->incarnation = incarnation;
	peer->received = now;
	for (size_t i = 0; i < n; i++) {
		void *key = GUINT_TO_POINTER(counts[i].organisation);
		struct peer_count *last =
		    g_hash_table_lookup(peer->counts, key);
		struct quota_count before = {0};
		struct quota_count news;

		if (last == NULL) {
			last = g_new0(struct peer_count, 1);
			(void)g_hash_table_insert(peer->counts, key, last);
		} else if (last->count.period == counts[i].period) {
			before = last->count;
		} else if ((int32_t)(counts[i].period - last->count.period) <
		    0) {
			continue;
		}
		last->received = now;
		/* Datagrams may be reordered. */
		if (counts[i].requested <= before.requested)
			continue;
		news = count_since(&counts[i], &before);
		last->count = counts[i];
		last->count.admitted = MAX(counts[i].admitted, before.admitted);
		/* It isn't known when a new peer admitted these. */
		if (!is_new)
			bucket_merge(quota, &news, now);
	}
}

/* Part of the bucket for this instance until its next report. */
static double
report_part(const struct quota *quota, const struct bucket *bucket)
{
	double total = bucket->own_average + bucket->peers_average;

	double part = total > 0 ? bucket->own_average / total : 0;

	return (fmax(part, 1.0 / quota->instances));
}

/*
 * Requests that this instance may admit before it reports them, given level
 * tokens.
 */
static double
report_allowance(
    const struct quota *quota, const struct bucket *bucket, double level)
{
	double over = bucket_tolerance(quota, bucket);

	/* The tolerance covers what the instances admit at the same time. */
	return (fmax(report_part(quota, bucket) * (level + bucket->unreported),
	    fmax(1.0, TOLERANCE_PART * over / quota->instances)));
}

struct quota_state
quota_state(const struct quota *quota, const char *name)
{
	const struct bucket *bucket = g_hash_table_lookup(
	    quota->buckets, GUINT_TO_POINTER(quota_hash(name)));

	if (bucket == NULL)
		return ((struct quota_state){0});
	return ((struct quota_state){bucket->level, bucket->expected,
	    report_part(quota, bucket), quota->share, bucket->unreported});
}

static void
bucket_queue(struct bucket *bucket, GQueue *queue)
{
	if (bucket->queue != NULL)
		g_queue_unlink(bucket->queue, &bucket->link);
	bucket->queue = queue;
	if (queue != NULL)
		g_queue_push_tail_link(queue, &bucket->link);
}

/* Counts a request from this instance, to be reported. */
static void
bucket_request_count(struct quota *quota, struct bucket *bucket)
{
	if (bucket->queue == NULL) {
		bucket->period = quota->interval;
		bucket->requested = 0;
		bucket->admitted = 0;
		bucket->begun = 0;
	}
	bucket->requested++;
	bucket->own_requested++;
	if (bucket->queue != &quota->news)
		bucket_queue(bucket, &quota->news);
}

bool
quota_admit(struct quota *quota, const char *name, double rate, double burst,
    enum quota_priority priority, clk_ms now, clk_ms *wait)
{
	struct bucket *bucket;
	double share, level;

	*wait = 0;
	if (rate <= 0)
		return (true);
	bucket = bucket_ensure(quota, quota_hash(name));
	bucket_advance(quota, bucket);
	bucket_limit_set(quota, bucket, rate, burst);
	share = quota_share(quota, now);
	bucket_refill(quota, bucket, now);
	bucket_request_count(quota, bucket);
	level = bucket->level;
	if (priority == QUOTA_NEW_PROGRAM)
		level = fmin(level - RESERVED_PART * burst * share,
		    level + EXPECTED_WITHIN_S * rate * share -
			bucket->expected - program_requests(bucket));
	if (level < 1.0 ||
	    bucket->unreported >= report_allowance(quota, bucket, level)) {
		*wait = (clk_ms)ceil(
		    fmax(1.0 - level, 0) / (rate * share) * (double)CLK_SECOND);
		return (false);
	}
	bucket_take(bucket, 1.0, priority == QUOTA_NEW_PROGRAM ? 1.0 : 0.0);
	bucket->admitted++;
	bucket->begun += priority == QUOTA_NEW_PROGRAM;
	bucket->unreported++;
	return (true);
}

void
quota_refund(struct quota *quota, const char *name)
{
	struct bucket *bucket = g_hash_table_lookup(
	    quota->buckets, GUINT_TO_POINTER(quota_hash(name)));

	if (bucket == NULL || bucket->queue == NULL || bucket->admitted == 0)
		return;
	bucket->level = fmin(bucket->level + 1.0, bucket->burst);
	/* Peers that got the higher count ignore the lower one. */
	bucket->admitted--;
	if (bucket->unreported > 0)
		bucket->unreported--;
}

static struct quota_count
bucket_report(const struct bucket *bucket)
{
	return ((struct quota_count){bucket->hash, bucket->period,
	    bucket->requested, bucket->admitted, bucket->begun,
	    (uint32_t)(bucket->rate * LIMIT_UNITS),
	    (uint32_t)(bucket->burst * LIMIT_UNITS)});
}

size_t
quota_report(
    struct quota *quota, struct quota_count *counts, size_t max, clk_ms now)
{
	guint repeats = quota->repeats.length;
	struct bucket *bucket;
	size_t n = 0;

	quota->interval++;
	while (n < max && (bucket = g_queue_peek_head(&quota->news)) != NULL) {
		counts[n++] = bucket_report(bucket);
		bucket->unreported = 0;
		bucket->repeat_until = now + quota_window(quota);
		bucket_queue(bucket, &quota->repeats);
	}
	/* What is left out stays at the head, for the next report. */
	for (; n < max && repeats > 0; repeats--) {
		bucket = g_queue_peek_head(&quota->repeats);
		if (now >= bucket->repeat_until) {
			bucket_queue(bucket, NULL);
			continue;
		}
		counts[n++] = bucket_report(bucket);
		bucket_queue(bucket, &quota->repeats);
	}
	return (n + quota->news.length + repeats);
}
