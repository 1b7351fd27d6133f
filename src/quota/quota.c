#include "quota/quota.h"

#include <math.h>

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
/*
 * What is left to active programs: a part of the burst, and the tokens of the
 * time in which they make their expected requests.  A home of a large fleet
 * admits all requests, so that it has nothing to leave for those that it has
 * not heard of, and counts on half of the time that a typical program runs.
 */
#define RESERVED_PART	       0.5
#define EXPECTED_WITHIN_S      1.5
#define HOME_RESERVED_PART     0.15
#define HOME_EXPECTED_WITHIN_S 3.0
/* Initial estimate of the requests per program; its weight, in programs. */
#define PROGRAM_REQUESTS 10.0
#define PROGRAM_WEIGHT	 5.0
/* Time constant with which expected requests that are not made decay. */
#define EXPECTED_DECAY_S 8.0
/* Part of the tolerance that the instances may use in an interval. */
#define TOLERANCE_PART 0.3
/*
 * Part of the tolerance with which a first home begins that was not told the
 * level by the one before.  Two such changes in a window and one that stands in
 * take 0.6 of the tolerance.
 */
#define TAKEOVER_PART 0.15
/*
 * Time in which the home before may still say what it left: until it agrees
 * that there is a new one (docs/decisions/0015), and its next message.
 */
#define CEDE_MS 1800
/* A level that was ceded longer ago, without a successor, is not relied on. */
#define CEDED_MS 500
/*
 * Time from such a change in which the tokens that the new home may not count
 * on are probably there: what the one before could at most admit in its last
 * 100 ms is by then given anew by the rate, unless the burst is large.
 */
#define WITHHELD_MS 2000
/* Time without a report after which a process has stood still. */
#define STOOD_STILL_MS 300
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
	/* Admitted in place of the first home, since it was heard of them. */
	unsigned stood_in;
	/* In a large fleet: */
	bool is_first; /* this instance is the first home */
	bool is_adopting; /* it was not told what the one before has left */
	clk_ms taken; /* when it became the first home */
	double granted; /* since then */
	double withheld; /* tokens that it may not count on, but may be there */
	clk_ms withheld_until;
	clk_ms
	    ceded; /* when a home named this one and its level; 0: none did */
	clk_ms
	    ceding_until; /* it tells its successor the level; 0: it doesn't */
	uint32_t successor; /* of then; another one is not told */
	bool is_told; /* the level of a home, since the bucket was created */
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
	struct roster *roster;
	GQueue news; /* struct bucket with unreported requests, oldest first */
	GQueue repeats; /* struct bucket, least recently reported first */
	uint32_t interval; /* number of reports so far */
	bool is_behind; /* the last report had no room for some of the news */
	struct quota_tolerance tolerance;
	double share; /* of the limit, for this instance and its live peers */
	clk_ms start;
	clk_ms reported; /* the last report; 0: none */
};

static void
peer_free(void *data)
{
	struct peer *peer = data;

	g_hash_table_destroy(peer->counts);
	g_free(peer);
}

struct quota *
quota_open(struct roster *roster, const struct quota_tolerance *tolerance,
    clk_ms start)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	quota->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	quota->roster = roster;
	quota->tolerance = *tolerance;
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
	return (roster_hash(name));
}

/* A limit that is set is never rounded to none. */
static uint32_t
limit_units(double value)
{
	return (value > 0 ? MAX((uint32_t)(value * LIMIT_UNITS), 1U) : 0);
}

struct quota_limit
quota_limit_make(const char *name, double rate, double burst)
{
	return ((struct quota_limit){
	    quota_hash(name), limit_units(rate), limit_units(burst)});
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

/*
 * Sets the limit.  A new bucket is taken to be full, as long as this process
 * has run for long enough.
 */
static void
bucket_limit_set(const struct quota *quota, struct bucket *bucket,
    const struct quota_limit *limit)
{
	double burst = limit->burst / LIMIT_UNITS;

	if (bucket->rate <= 0) {
		bucket->level = START_PART * burst;
		bucket->updated = quota->start;
	}
	bucket->rate = limit->rate / LIMIT_UNITS;
	bucket->burst = burst;
}

/* Adds what the share of the rate has given since the last call. */
static void
bucket_refill(struct quota *quota, struct bucket *bucket, clk_ms now)
{
	double elapsed = (double)(now - bucket->updated) / (double)CLK_SECOND;

	quota->share = roster_share(quota->roster, now);
	if (bucket->rate <= 0)
		return;
	if (elapsed > 0)
		bucket->level += elapsed * bucket->rate * quota->share;
	bucket->level = fmin(bucket->level, bucket->burst * quota->share);
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
quota_expire(struct quota *quota, clk_ms now)
{
	GHashTableIter iter;
	void *value;

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
	struct bucket *bucket = bucket_ensure(quota, news->limit.organisation);

	bucket_advance(quota, bucket);
	bucket_limit_set(quota, bucket, &news->limit);
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

	/* Tokens that were given back lower the count. */
	news.admitted -= MIN(before->admitted, count->admitted);
	news.requested -= MIN(before->requested, count->requested);
	news.programs -= MIN(before->programs, count->programs);
	return (news);
}

/* The first home of an organisation, as this instance knows it. */
static uint32_t
first_home(const struct quota *quota, uint32_t organisation, clk_ms now)
{
	const char *home = roster_home(quota->roster, organisation, 0, now);

	return (
	    home != NULL ? quota_hash(home) : roster_own_hash(quota->roster));
}

/* Keeps no more than this, as the rest may have been admitted elsewhere. */
static void
bucket_withhold(struct bucket *bucket, double certain, clk_ms now)
{
	if (bucket->level <= certain)
		return;
	bucket->withheld = bucket->level - certain;
	bucket->withheld_until = now + WITHHELD_MS;
	bucket->level = certain;
}

/* Begins to be the first home, with what can't have been admitted elsewhere. */
static void
bucket_take_over(const struct quota *quota, struct bucket *bucket, clk_ms now)
{
	clk_ms since = MAX(
	    roster_first_since(quota->roster, bucket->hash, now), quota->start);
	double certain = TAKEOVER_PART * bucket_tolerance(quota, bucket) +
	    bucket->rate * quota->share * (double)(now - since) /
		(double)CLK_SECOND;

	bucket->granted = 0;
	bucket->taken = since;
	bucket->is_adopting =
	    bucket->ceded == 0 || now - bucket->ceded >= CEDED_MS;
	bucket->ceded = 0;
	/* If all are absent, all have started: see START_PART. */
	if (bucket->is_adopting)
		bucket_withhold(bucket, certain, now);
}

/* Follows a change of the first home, in a large fleet. */
static void
bucket_home_check(struct quota *quota, struct bucket *bucket, clk_ms now)
{
	bool is_first;

	if (!roster_is_relayed(quota->roster) || bucket->rate <= 0)
		return;
	is_first = roster_is_home(quota->roster, bucket->hash, 0, now);
	if (is_first && !bucket->is_first) {
		bucket_take_over(quota, bucket, now);
	} else if (!is_first && bucket->is_first) {
		bucket->ceding_until = bucket->is_adopting ? 0 : now + CEDE_MS;
		bucket->successor = first_home(quota, bucket->hash, now);
		bucket->ceded = 0;
	}
	bucket->is_first = is_first;
	if (!is_first || now - bucket->taken >= CEDE_MS)
		bucket->is_adopting = false;
}

/*
 * A home of a large fleet has told its bucket.  One that names this instance
 * has kept the bucket until it saw this one.  Else another home has a bucket of
 * its own, which may be newer and then knows less.
 */
static void
home_merge(struct quota *quota, const char *peer,
    const struct quota_count *count, clk_ms now)
{
	uint32_t organisation = count->limit.organisation;
	double told = count->level / LIMIT_UNITS;
	struct bucket *bucket;

	if (!roster_is_relayed(quota->roster))
		return;
	bucket = bucket_ensure(quota, organisation);
	bucket_limit_set(quota, bucket, &count->limit);
	bucket_refill(quota, bucket, now);
	bucket_home_check(quota, bucket, now);
	if (g_strcmp0(roster_home(quota->roster, organisation, 0, now), peer) ==
	    0)
		bucket->stood_in = 0;
	if (count->level == QUOTA_LEVEL_UNKNOWN)
		return;
	if (count->first == roster_own_hash(quota->roster)) {
		if (!bucket->is_first) {
			bucket->level = told;
			bucket->ceded = now;
		} else if (bucket->is_adopting) {
			bucket->level = told - bucket->granted;
			bucket->is_adopting = false;
		} else {
			bucket->level = fmin(bucket->level, told);
		}
	} else {
		if (count->first == quota_hash(peer))
			bucket->ceding_until = 0;
		bucket->level = !bucket->is_told && !bucket->is_first
		    ? told
		    : fmin(bucket->level, told);
	}
	bucket->is_told = true;
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
		void *key = GUINT_TO_POINTER(counts[i].limit.organisation);
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
		if (counts[i].requested > before.requested ||
		    counts[i].admitted > before.admitted) {
			news = count_since(&counts[i], &before);
			last->count = counts[i];
			last->count.admitted =
			    MAX(counts[i].admitted, before.admitted);
			/* It isn't known when a new peer admitted these. */
			if (!is_new)
				bucket_merge(quota, &news, now);
		}
		home_merge(quota, name, &counts[i], now);
	}
}

/* This instance's part of the recent requests. */
static double
request_part(const struct bucket *bucket)
{
	double total = bucket->own_average + bucket->peers_average;

	return (total > 0 ? bucket->own_average / total : 0);
}

/*
 * Requests that this instance may admit before it reports them, given level
 * tokens.  Over all instances it is at most level and a part of the tolerance:
 * each instance has its part of level and an equal number of requests of the
 * tolerance, and the homes have what remains of both.
 */
static double
report_allowance(const struct quota *quota, const struct bucket *bucket,
    double level, clk_ms now)
{
	double over = TOLERANCE_PART * bucket_tolerance(quota, bucket);
	unsigned instances = roster_size(quota->roster);
	double each = floor(over / instances);
	/*
	 * Without requests there are no parts of them.  If the reports are
	 * behind, so is what is known of the parts.
	 */
	double divided = quota->is_behind
	    ? 0
	    : fmin(1.0, bucket->own_average + bucket->peers_average);
	double allowance;

	level += bucket->unreported;
	allowance = divided * request_part(bucket) * level + each;
	if (bucket->unreported + 1.0 <= allowance)
		return (allowance);
	for (unsigned i = 0; i < ROSTER_HOMES; i++) {
		if (roster_is_home(quota->roster, bucket->hash, i, now))
			allowance += (over - each * instances) / ROSTER_HOMES;
	}
	if (roster_is_home(quota->roster, bucket->hash, 0, now))
		allowance += (1.0 - divided) * level;
	return (allowance);
}

struct quota_state
quota_state(const struct quota *quota, uint32_t organisation)
{
	const struct bucket *bucket =
	    g_hash_table_lookup(quota->buckets, GUINT_TO_POINTER(organisation));

	if (bucket == NULL)
		return ((struct quota_state){0});
	return ((struct quota_state){bucket->level, bucket->expected,
	    request_part(bucket), quota->share, bucket->unreported});
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

/* Has the bucket in the next report. */
static void
bucket_report_soon(struct quota *quota, struct bucket *bucket)
{
	if (bucket->queue == NULL) {
		bucket->period = quota->interval;
		bucket->requested = 0;
		bucket->admitted = 0;
		bucket->begun = 0;
	}
	if (bucket->queue != &quota->news)
		bucket_queue(bucket, &quota->news);
}

/*
 * Whether this instance may admit a request that has a token.  In a large
 * fleet that is the first home; the second one admits a part of the tolerance
 * between two messages of the first, and all once that is not alive.
 */
static bool
may_admit(struct quota *quota, struct bucket *bucket, double level, clk_ms now)
{
	if (!roster_is_relayed(quota->roster))
		return (bucket->unreported + 1.0 <=
		    report_allowance(quota, bucket, level, now));
	/* One that has just started takes itself for the home of all. */
	if (roster_is_absent(quota->roster, now) && quota->share <= 0.5)
		return (false);
	if (roster_is_home(quota->roster, bucket->hash, 0, now))
		return (true);
	if (!roster_is_home(quota->roster, bucket->hash, 1, now) ||
	    bucket->stood_in + 1.0 >
		TOLERANCE_PART * bucket_tolerance(quota, bucket))
		return (false);
	bucket->stood_in++;
	return (true);
}

/* What may be there and must not be used. */
static double
withheld_tokens(
    const struct quota *quota, const struct bucket *bucket, clk_ms now)
{
	if (now >= bucket->withheld_until)
		return (0);
	return (fmin(bucket->withheld,
	    fmax(bucket->burst * quota->share - bucket->level, 0)));
}

/*
 * Tokens that the first requests of programs may take.  What is withheld is
 * left to active programs like other tokens, or a new home would refuse all new
 * programs.
 */
static double
new_program_level(
    const struct quota *quota, const struct bucket *bucket, double withheld)
{
	bool is_relayed = roster_is_relayed(quota->roster);
	double reserved = is_relayed ? HOME_RESERVED_PART : RESERVED_PART;
	double within = is_relayed ? HOME_EXPECTED_WITHIN_S : EXPECTED_WITHIN_S;
	double level = bucket->level + withheld;

	level = fmin(level - reserved * bucket->burst * quota->share,
	    level + within * bucket->rate * quota->share - bucket->expected -
		program_requests(bucket));
	return (withheld > 0 ? fmin(level, bucket->level) : level);
}

static enum quota_answer
bucket_admit(struct quota *quota, struct bucket *bucket,
    enum quota_priority priority, clk_ms now, clk_ms *wait)
{
	double share = quota->share;
	double level = bucket->level;

	*wait = 0;
	if (priority == QUOTA_NEW_PROGRAM)
		level = new_program_level(
		    quota, bucket, withheld_tokens(quota, bucket, now));
	if (level < 1.0) {
		*wait = (clk_ms)ceil((1.0 - level) / (bucket->rate * share) *
		    (double)CLK_SECOND);
		return (QUOTA_REFUSED);
	}
	if (!may_admit(quota, bucket, level, now))
		return (QUOTA_ASK);
	bucket_take(bucket, 1.0, priority == QUOTA_NEW_PROGRAM ? 1.0 : 0.0);
	bucket->granted++;
	bucket_report_soon(quota, bucket);
	bucket->admitted++;
	bucket->begun += priority == QUOTA_NEW_PROGRAM;
	bucket->unreported++;
	return (QUOTA_ADMITTED);
}

/*
 * In a large fleet, before each report and after a pause of them: has those
 * buckets told whose first home is another one now.  A process that has stood
 * still doesn't know what others have admitted meanwhile.
 */
static void
homes_check(struct quota *quota, clk_ms now)
{
	bool has_stood_still =
	    quota->reported > 0 && now - quota->reported >= STOOD_STILL_MS;
	GHashTableIter iter;
	void *value;

	quota->reported = now;
	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		if (!bucket->is_first)
			continue;
		bucket_refill(quota, bucket, now);
		bucket_home_check(quota, bucket, now);
		if (!bucket->is_first)
			bucket_report_soon(quota, bucket);
		else if (has_stood_still)
			bucket_withhold(bucket,
			    TAKEOVER_PART * bucket_tolerance(quota, bucket),
			    now);
	}
}

static struct bucket *
bucket_prepare(struct quota *quota, const struct quota_limit *limit, clk_ms now)
{
	struct bucket *bucket = bucket_ensure(quota, limit->organisation);

	if (roster_is_relayed(quota->roster) &&
	    now - quota->reported >= STOOD_STILL_MS)
		homes_check(quota, now);
	bucket_advance(quota, bucket);
	bucket_limit_set(quota, bucket, limit);
	bucket_refill(quota, bucket, now);
	bucket_home_check(quota, bucket, now);
	return (bucket);
}

enum quota_answer
quota_admit(struct quota *quota, const struct quota_limit *limit,
    enum quota_priority priority, clk_ms now, clk_ms *wait)
{
	struct bucket *bucket;

	*wait = 0;
	if (limit->rate == 0)
		return (QUOTA_ADMITTED);
	if (roster_is_relayed(quota->roster) &&
	    !roster_is_home(quota->roster, limit->organisation, 0, now))
		return (QUOTA_ASK);
	bucket = bucket_prepare(quota, limit, now);
	bucket_report_soon(quota, bucket);
	bucket->requested++;
	bucket->own_requested++;
	return (bucket_admit(quota, bucket, priority, now, wait));
}

bool
quota_grant(struct quota *quota, const struct quota_limit *limit,
    enum quota_priority priority, clk_ms now, clk_ms *wait)
{
	*wait = 0;
	/* The bucket of an instance that isn't a home says nothing. */
	if (roster_is_relayed(quota->roster) &&
	    !roster_is_home(quota->roster, limit->organisation, 0, now) &&
	    !roster_is_home(quota->roster, limit->organisation, 1, now))
		return (false);
	return (limit->rate > 0 &&
	    bucket_admit(quota, bucket_prepare(quota, limit, now), priority,
		now, wait) == QUOTA_ADMITTED);
}

void
quota_refund(struct quota *quota, uint32_t organisation)
{
	struct bucket *bucket =
	    g_hash_table_lookup(quota->buckets, GUINT_TO_POINTER(organisation));

	if (bucket == NULL || bucket->queue == NULL || bucket->admitted == 0)
		return;
	bucket->level = fmin(bucket->level + 1.0, bucket->burst);
	/* Peers that got the higher count ignore the lower one. */
	bucket->admitted--;
	if (bucket->unreported > 0)
		bucket->unreported--;
}

static struct quota_count
bucket_report(struct quota *quota, struct bucket *bucket, clk_ms now)
{
	const struct quota_limit limit = {bucket->hash,
	    limit_units(bucket->rate), limit_units(bucket->burst)};
	struct quota_count count = {limit, bucket->period, bucket->requested,
	    bucket->admitted, bucket->begun, 0, 0};
	bool is_known = true;

	if (roster_is_relayed(quota->roster)) {
		bucket_refill(quota, bucket, now);
		bucket_home_check(quota, bucket, now);
		count.first = first_home(quota, bucket->hash, now);
		is_known = bucket->is_first ? !bucket->is_adopting
					    : now < bucket->ceding_until &&
			count.first == bucket->successor;
	}
	count.level = is_known
	    ? (uint32_t)(fmax(bucket->level, 0) * LIMIT_UNITS)
	    : QUOTA_LEVEL_UNKNOWN;
	return (count);
}

size_t
quota_report(
    struct quota *quota, struct quota_count *counts, size_t max, clk_ms now)
{
	guint repeats = quota->repeats.length;
	struct bucket *bucket;
	size_t n = 0;

	quota->interval++;
	if (roster_is_relayed(quota->roster))
		homes_check(quota, now);
	while (n < max && (bucket = g_queue_peek_head(&quota->news)) != NULL) {
		counts[n++] = bucket_report(quota, bucket, now);
		bucket->unreported = 0;
		bucket->repeat_until = now + quota_window(quota);
		bucket_queue(bucket, &quota->repeats);
	}
	quota->is_behind = quota->news.length > 0;
	/* What is left out stays at the head, for the next report. */
	for (; n < max && repeats > 0; repeats--) {
		bucket = g_queue_peek_head(&quota->repeats);
		if (now >= bucket->repeat_until) {
			bucket_queue(bucket, NULL);
			continue;
		}
		counts[n++] = bucket_report(quota, bucket, now);
		bucket_queue(bucket, &quota->repeats);
	}
	return (n + quota->news.length + repeats);
}
