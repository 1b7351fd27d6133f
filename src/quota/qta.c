#include "quota/qta.h"

#include <math.h>

/*
 * A peer that was not heard for this time counts as cut off.  Twice the
 * period at which instances tell each other, and a lost datagram.
 */
#define PEER_SILENT_MS 600
/*
 * Part of the burst in a new process's bucket.  The processes before it may
 * have spent it all, but not while they started again: with a burst of one
 * second's rate, two starts in a window stay within a tolerance of a tenth.
 */
#define START_PART 0.5
/* A peer that was not heard for this time is forgotten. */
#define PEER_FORGET_MS (30 * CLK_SECOND)
/* Part of the burst that one instance may spend while it hears nobody. */
#define LOWEST_SHARE 0.02
/* Part of the burst that is kept for programs under way. */
#define RESERVED_PART 0.5
/*
 * Time in which programs under way make the requests that they are expected
 * to make, in s: half of a program's time in the users' sheets.
 */
#define HORIZON_S 1.5
/* Requests of a program until more is known, and the weight of that. */
#define PROGRAM_REQUESTS 10.0
#define PROGRAM_WEIGHT	 5.0
/* An expected request that is not made is forgotten with this time, in s. */
#define EXPECTED_DECAY_S 8.0
/* Part of the tolerance that instances may use up between two ticks. */
#define TOLERANCE_PART 0.6
/* Weight of the last tick in the moving averages of requests. */
#define TICK_WEIGHT 0.3

struct bucket {
	uint32_t hash;
	double level; /* tokens; below 0 after more was admitted than there was
		       */
	double rate; /* limit last seen */
	double burst;
	clk_ms updated;
	uint32_t admitted; /* by this instance */
	uint32_t begun; /* programs, here */
	double fleet_admitted; /* requests of programs, everywhere */
	double fleet_begun;
	bool has_begun; /* the level at the start has been set */
	double expected; /* requests that programs under way will make */
	double own; /* requests a tick here: moving average */
	double others; /* and at the other instances */
	unsigned own_tick; /* admitted here since the last tick */
	unsigned asked_tick; /* asked for here since the last tick */
	unsigned others_tick;
};

struct peer {
	uint64_t incarnation;
	clk_ms heard;
	GHashTable *seen; /* organisation -> struct qta_count */
};

struct qta {
	GHashTable *buckets; /* hash -> struct bucket */
	GHashTable *peers; /* name -> struct peer */
	struct qta_tolerance tolerance;
	unsigned instances;
	clk_ms start;
};

static void
peer_free(void *data)
{
	struct peer *peer = data;

	g_hash_table_destroy(peer->seen);
	g_free(peer);
}

struct qta *
qta_open(const struct qta_tolerance *tolerance, clk_ms start)
{
	struct qta *qta = g_new0(struct qta, 1);

	qta->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	qta->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	qta->tolerance = *tolerance;
	qta->instances = 1;
	qta->start = start;
	return (qta);
}

void
qta_close(struct qta *qta)
{
	if (qta == NULL)
		return;
	g_hash_table_destroy(qta->buckets);
	g_hash_table_destroy(qta->peers);
	g_free(qta);
}

uint32_t
qta_hash(const char *name)
{
	return ((uint32_t)g_str_hash(name));
}

static struct bucket *
ensure_bucket(struct qta *qta, uint32_t hash)
{
	struct bucket *bucket =
	    g_hash_table_lookup(qta->buckets, GUINT_TO_POINTER(hash));

	if (bucket == NULL) {
		bucket = g_new0(struct bucket, 1);
		bucket->hash = hash;
		bucket->updated = qta->start;
		(void)g_hash_table_insert(
		    qta->buckets, GUINT_TO_POINTER(hash), bucket);
	}
	return (bucket);
}

unsigned
qta_live(const struct qta *qta, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	unsigned live = 0;

	g_hash_table_iter_init(&iter, qta->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (now - peer->heard < PEER_SILENT_MS)
			live++;
	}
	return (live);
}

/* The part of the limit that the instances that hear each other may use. */
static double
group_share(const struct qta *qta, clk_ms now)
{
	unsigned group = qta_live(qta, now) + 1;

	if (group >= qta->instances)
		return (1.0);
	return (fmax((double)group / qta->instances, LOWEST_SHARE));
}

static void
refill(struct bucket *bucket, double rate, double burst, clk_ms now)
{
	double elapsed = (double)(now - bucket->updated) / (double)CLK_SECOND;

	if (rate <= 0)
		return;
	if (elapsed > 0)
		bucket->level += elapsed * rate;
	bucket->level = fmin(bucket->level, burst);
	bucket->expected *= exp(-fmax(elapsed, 0) / EXPECTED_DECAY_S);
	bucket->updated = now;
}

/* Requests that a program makes, as measured so far. */
static double
program_requests(const struct bucket *bucket)
{
	return ((bucket->fleet_admitted + PROGRAM_REQUESTS * PROGRAM_WEIGHT) /
	    (bucket->fleet_begun + PROGRAM_WEIGHT));
}

/* Requests were admitted somewhere, of which some began programs. */
static void
spend(struct bucket *bucket, double admitted, double begun)
{
	double requests = program_requests(bucket);

	bucket->level -= admitted;
	bucket->expected += begun * requests - admitted;
	bucket->expected = fmax(bucket->expected, 0);
	bucket->fleet_admitted += admitted;
	bucket->fleet_begun += begun;
}

void
qta_fleet_set(struct qta *qta, unsigned instances, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	qta->instances = MAX(instances, 1U);
	g_hash_table_iter_init(&iter, qta->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (now - peer->heard >= PEER_FORGET_MS)
			g_hash_table_iter_remove(&iter);
	}
}

void
qta_heard(struct qta *qta, const char *name, uint64_t incarnation,
    const struct qta_count *counts, size_t n, clk_ms now)
{
	struct peer *peer = g_hash_table_lookup(qta->peers, name);
	bool is_new = peer == NULL;
	struct bucket *bucket;

	if (is_new) {
		peer = g_new0(struct peer, 1);
		peer->seen = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		(void)g_hash_table_insert(qta->peers, g_strdup(name), peer);
	} else if (peer->incarnation != incarnation) {
		/* It started again, and counts from zero. */
		g_hash_table_remove_all(peer->seen);
	}
	peer->incarnation = incarnation;
	peer->heard = now;
	for (size_t i = 0; i < n; i++) {
		void *key = GUINT_TO_POINTER(counts[i].organisation);
		struct qta_count *seen = g_hash_table_lookup(peer->seen, key);
		struct qta_count before =
		    seen != NULL ? *seen : (struct qta_count){0};

		if (seen == NULL) {
			seen = g_new0(struct qta_count, 1);
			(void)g_hash_table_insert(peer->seen, key, seen);
		}
		/* Datagrams may overtake each other. */
		if (counts[i].admitted <= before.admitted)
			continue;
		*seen = counts[i];
		/* What a new peer admitted earlier can't be dated. */
		if (is_new)
			continue;
		bucket = ensure_bucket(qta, counts[i].organisation);
		refill(bucket, bucket->rate, bucket->burst, now);
		spend(bucket, (double)(counts[i].admitted - before.admitted),
		    (double)(counts[i].begun - before.begun));
		bucket->others_tick += counts[i].admitted - before.admitted;
	}
}

void
qta_tick(struct qta *qta)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, qta->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		bucket->own += TICK_WEIGHT * (bucket->asked_tick - bucket->own);
		bucket->others +=
		    TICK_WEIGHT * (bucket->others_tick - bucket->others);
		bucket->own_tick = 0;
		bucket->asked_tick = 0;
		bucket->others_tick = 0;
	}
}

/* The part of the bucket that is this instance's between two ticks. */
static double
tick_part(const struct qta *qta, const struct bucket *bucket)
{
	double total = bucket->own + bucket->others;
	double part = total > 0 ? bucket->own / total : 0;

	return (fmax(part, 1.0 / qta->instances));
}

/* What this instance may admit between two ticks, of level tokens. */
static double
tick_allowance(const struct qta *qta, const struct bucket *bucket, double level)
{
	const struct qta_tolerance *tolerance = &qta->tolerance;
	double over = tolerance->part *
		(bucket->rate * tolerance->window_s + bucket->burst) +
	    tolerance->requests;

	/* What all instances admit too much at once is in the tolerance. */
	return (fmax(tick_part(qta, bucket) * (level + bucket->own_tick),
	    fmax(1.0, TOLERANCE_PART * over / qta->instances)));
}

struct qta_state
qta_state(const struct qta *qta, const char *name, clk_ms now)
{
	const struct bucket *bucket =
	    g_hash_table_lookup(qta->buckets, GUINT_TO_POINTER(qta_hash(name)));

	if (bucket == NULL)
		return ((struct qta_state){0});
	return ((struct qta_state){bucket->level, bucket->expected,
	    tick_part(qta, bucket), group_share(qta, now), bucket->own_tick});
}

bool
qta_admit(struct qta *qta, const char *name, double rate, double burst,
    enum qta_rank rank, clk_ms now, clk_ms *wait)
{
	struct bucket *bucket;
	double share, level;

	*wait = 0;
	bucket = ensure_bucket(qta, qta_hash(name));
	if (rate <= 0) {
		bucket->admitted++;
		return (true);
	}
	bucket->rate = rate;
	bucket->burst = burst;
	share = group_share(qta, now);
	refill(bucket, rate * share, burst * share, now);
	if (!bucket->has_begun) {
		bucket->level = fmin(bucket->level + START_PART * burst, burst);
		bucket->has_begun = true;
	}
	bucket->asked_tick++;
	level = bucket->level;
	if (rank == QTA_NEW_PROGRAM)
		level = fmin(level - RESERVED_PART * burst * share,
		    level + HORIZON_S * rate * share - bucket->expected -
			program_requests(bucket));
	if (level < 1.0 ||
	    bucket->own_tick >= tick_allowance(qta, bucket, level)) {
		*wait = (clk_ms)ceil(
		    fmax(1.0 - level, 0) / (rate * share) * (double)CLK_SECOND);
		return (false);
	}
	spend(bucket, 1.0, rank == QTA_NEW_PROGRAM ? 1.0 : 0.0);
	bucket->own_tick++;
	bucket->admitted++;
	bucket->begun += rank == QTA_NEW_PROGRAM;
	return (true);
}

void
qta_refund(struct qta *qta, const char *name)
{
	struct bucket *bucket = ensure_bucket(qta, qta_hash(name));

	if (bucket->admitted == 0)
		return;
	bucket->level = fmin(bucket->level + 1.0, bucket->burst);
	/* A peer that has heard the higher total waits for the next one. */
	bucket->admitted--;
	if (bucket->own_tick > 0)
		bucket->own_tick--;
}

size_t
qta_counts(const struct qta *qta, struct qta_count *counts, size_t max)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, qta->buckets);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bucket *bucket = value;

		counts[n++] = (struct qta_count){
		    bucket->hash, bucket->admitted, bucket->begun};
	}
	return (n);
}
