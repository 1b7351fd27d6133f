#include "throttle/throttle.h"

#include <glib.h>
#include <math.h>

/* A limit gives its rate in thousandths. */
#define RATE_UNITS 1000.0
/* Time of the rate that a bucket holds, beside the one token at least. */
#define BURST_S 0.25
/* The same of a cold upstream, see docs/design/cold-upstreams.md. */
#define COLD_BURST_S 0.1
/* Part of the rate for the share of a side with half of the fleet or less. */
#define SMALLER_SIDE_PART 0.25
/* Part of the rate in a large fleet, which knows of a new home later. */
#define RELAYED_PART 0.85
/*
 * Smallest part of the fleet that grants tokens of cold upstreams: at most
 * three such sides exist beside a larger one, each with a token in its bucket.
 */
#define COLD_SHARE_MIN 0.25
/*
 * What another instance has learned is newer only if it is so by this time: a
 * message is on its way for some of it.
 */
#define COLD_SAME_MS 100
/* Longest time for which an upstream is taken for cold. */
#define COLD_MAX_MS (3600 * CLK_SECOND)
/*
 * Longest time until the turn of an instance that is refused a token: the
 * tokens of instances that have nothing more to send are not kept for longer.
 */
#define TURN_MAX_MS (1 * CLK_SECOND)
/* Wait of a request whose home takes another instance for the home. */
#define NOT_HOME_WAIT_MS 100
/* Time for which the peers are told what an upstream said. */
#define TOLD_MS (5 * CLK_SECOND)
/* What an upstream said longer ago is forgotten. */
#define MEMORY_MS (3600 * CLK_SECOND)

struct ceiling {
	uint32_t upstream;
	uint32_t rate; /* thousandths of a request a second; 0: no limit */
	clk_ms said;
	uint32_t cold_rate; /* the same while it is cold; 0: it is not */
	uint32_t cold_limit; /* what it is then; 0: it is never cold */
	clk_ms cold_until; /* as an entry said at the time cold_learned */
	clk_ms cold_learned; /* 0: never */
	clk_ms doubted_until; /* it may be cold */
	clk_ms warm_told_until;
	double level; /* tokens; negative if some of the future are reserved */
	clk_ms updated;
	clk_ms turn; /* of the next instance that is refused a token */
	clk_ms held_until; /* no token is to be had before */
};

struct throttle {
	struct roster *roster;
	GHashTable *by_upstream; /* hash of the id -> struct ceiling */
	GPtrArray *ceilings; /* the same, in the order of their turns */
	unsigned limited;
	guint first; /* with which the next message begins */
};

struct throttle *
throttle_open(struct roster *roster)
{
	struct throttle *throttle = g_new0(struct throttle, 1);

	throttle->roster = roster;
	throttle->by_upstream = g_hash_table_new(NULL, NULL);
	throttle->ceilings = g_ptr_array_new_with_free_func(g_free);
	return (throttle);
}

void
throttle_close(struct throttle *throttle)
{
	if (throttle == NULL)
		return;
	g_hash_table_destroy(throttle->by_upstream);
	g_ptr_array_free(throttle->ceilings, TRUE);
	g_free(throttle);
}

uint32_t
throttle_rate(double per_s)
{
	if (!(per_s > 0))
		return (0);
	/* A limit is never rounded to none. */
	return (MAX((uint32_t)fmin(per_s * RATE_UNITS, UINT32_MAX), 1U));
}

static struct ceiling *
ceiling_find(const struct throttle *throttle, uint32_t upstream)
{
	return (g_hash_table_lookup(
	    throttle->by_upstream, GUINT_TO_POINTER(upstream)));
}

static bool
is_limited(const struct ceiling *ceiling)
{
	return (ceiling->rate > 0 || ceiling->cold_rate > 0);
}

static struct ceiling *
ceiling_ensure(struct throttle *throttle, uint32_t upstream, clk_ms now)
{
	struct ceiling *ceiling = ceiling_find(throttle, upstream);

	if (ceiling != NULL)
		return (ceiling);
	ceiling = g_new0(struct ceiling, 1);
	ceiling->upstream = upstream;
	/* It has named nothing yet: all that it says is newer. */
	ceiling->said = now - MEMORY_MS;
	(void)g_hash_table_insert(
	    throttle->by_upstream, GUINT_TO_POINTER(upstream), ceiling);
	g_ptr_array_add(throttle->ceilings, ceiling);
	return (ceiling);
}

/* Of two rates, of which 0 means none. */
static uint32_t
lower_rate(uint32_t a, uint32_t b)
{
	return (a > 0 && b > 0 ? MIN(a, b) : MAX(a, b));
}

/*
 * Sets the rates; a bucket that begins is empty.  A higher rate, or none, ends
 * the waits that the lower one gave.
 */
static void
rates_set(struct throttle *throttle, struct ceiling *ceiling, uint32_t rate,
    uint32_t cold_rate, clk_ms now)
{
	bool was_limited = is_limited(ceiling);
	uint32_t before = lower_rate(ceiling->rate, ceiling->cold_rate);
	uint32_t after = lower_rate(rate, cold_rate);

	if (!was_limited) {
		ceiling->level = 0;
		ceiling->updated = now;
	}
	if (after == 0 || after > before) {
		ceiling->held_until = 0;
		ceiling->turn = 0;
	}
	ceiling->rate = rate;
	ceiling->cold_rate = cold_rate;
	throttle->limited += is_limited(ceiling) - was_limited;
}

static void
limit_apply(struct throttle *throttle, uint32_t upstream, uint32_t rate,
    clk_ms said, clk_ms now)
{
	struct ceiling *ceiling = ceiling_find(throttle, upstream);

	if (ceiling == NULL) {
		if (rate == 0)
			return;
		ceiling = ceiling_ensure(throttle, upstream, now);
	} else if (said < ceiling->said ||
	    (said == ceiling->said && rate == 0)) {
		return;
	}
	rates_set(throttle, ceiling, rate, ceiling->cold_rate, now);
	ceiling->said = said;
}

/* Applies the cold rate while the upstream is, or may be, cold. */
static void
cold_apply(struct throttle *throttle, struct ceiling *ceiling, clk_ms now)
{
	bool is_cold = now < MAX(ceiling->cold_until, ceiling->doubted_until);

	rates_set(throttle, ceiling, ceiling->rate,
	    is_cold ? ceiling->cold_limit : 0, now);
}

/* What an entry said, as of the time learned: the latest one holds. */
static void
cold_learn(struct ceiling *ceiling, clk_ms until, clk_ms learned, clk_ms now)
{
	bool was_cold = now < ceiling->cold_until;

	ceiling->cold_until = MIN(until, now + COLD_MAX_MS);
	ceiling->cold_learned = learned;
	/* That it is warm is news only to those who were told otherwise. */
	if (was_cold && now >= ceiling->cold_until)
		ceiling->warm_told_until = now + TOLD_MS;
}

/* Another instance has learned of the upstream's state. */
static void
cold_merge(
    struct throttle *throttle, const struct throttle_limit *limit, clk_ms now)
{
	clk_ms learned = now - (clk_ms)limit->cold_age;
	struct ceiling *ceiling;

	if (limit->cold_rate == 0 || limit->cold_age == THROTTLE_COLD_DOUBTED)
		return;
	ceiling = ceiling_ensure(throttle, limit->upstream, now);
	if (ceiling->cold_learned > 0 &&
	    learned <= ceiling->cold_learned + COLD_SAME_MS)
		return;
	if (ceiling->cold_limit == 0)
		ceiling->cold_limit = limit->cold_rate;
	cold_learn(ceiling, now + (clk_ms)limit->cold, learned, now);
	cold_apply(throttle, ceiling, now);
}

/* An instance that asks takes the upstream for one that may be cold. */
static void
doubt_merge(
    struct throttle *throttle, const struct throttle_limit *limit, clk_ms now)
{
	struct ceiling *ceiling;

	if (limit->cold_rate == 0 || limit->cold_age != THROTTLE_COLD_DOUBTED)
		return;
	ceiling = ceiling_ensure(throttle, limit->upstream, now);
	if (ceiling->cold_limit == 0)
		ceiling->cold_limit = limit->cold_rate;
	ceiling->doubted_until = MAX(ceiling->doubted_until,
	    now + MIN((clk_ms)limit->cold, COLD_MAX_MS));
	cold_apply(throttle, ceiling, now);
}

void
throttle_cold_set(struct throttle *throttle, uint32_t upstream,
    const struct throttle_cold *cold, clk_ms now)
{
	struct ceiling *ceiling = ceiling_find(throttle, upstream);

	if (ceiling == NULL && cold->rate == 0)
		return;
	ceiling = ceiling_ensure(throttle, upstream, now);
	ceiling->cold_limit = cold->rate;
	if (cold->learned >= ceiling->cold_learned)
		cold_learn(ceiling, cold->until, cold->learned, now);
	ceiling->doubted_until = MIN(cold->doubted_until, now + COLD_MAX_MS);
	cold_apply(throttle, ceiling, now);
}

bool
throttle_is_cold(const struct throttle *throttle, uint32_t upstream)
{
	const struct ceiling *ceiling;

	if (throttle->limited == 0)
		return (false);
	ceiling = ceiling_find(throttle, upstream);
	return (ceiling != NULL && ceiling->cold_rate > 0);
}

uint32_t
throttle_observe(struct throttle *throttle, uint32_t upstream, uint32_t rate,
    clk_ms asked, clk_ms now)
{
	const struct ceiling *ceiling = ceiling_find(throttle, upstream);
	uint32_t before = ceiling != NULL ? ceiling->rate : 0;

	/* Whichever of two answers is the newer one: a limit holds. */
	limit_apply(throttle, upstream, rate, rate > 0 ? now : asked, now);
	return (before);
}

void
throttle_merge(struct throttle *throttle, const struct throttle_limit *limits,
    size_t n, clk_ms now)
{
	for (size_t i = 0; i < n; i++) {
		limit_apply(throttle, limits[i].upstream, limits[i].rate,
		    now - (clk_ms)limits[i].age, now);
		cold_merge(throttle, &limits[i], now);
	}
}

static struct throttle_limit
ceiling_limit(const struct ceiling *ceiling, clk_ms now)
{
	return ((struct throttle_limit){.upstream = ceiling->upstream,
	    .rate = ceiling->rate,
	    .age = (uint32_t)CLAMP(now - ceiling->said, 0, UINT32_MAX),
	    .cold_rate = ceiling->cold_learned > 0 ? ceiling->cold_limit : 0,
	    .cold = (uint32_t)CLAMP(ceiling->cold_until - now, 0, COLD_MAX_MS),
	    .cold_age = (uint32_t)CLAMP(
		now - ceiling->cold_learned, 0, THROTTLE_COLD_DOUBTED - 1)});
}

struct throttle_limit
throttle_get(const struct throttle *throttle, uint32_t upstream, clk_ms now)
{
	const struct ceiling *ceiling = ceiling_find(throttle, upstream);
	struct throttle_limit limit;

	if (ceiling == NULL)
		return ((struct throttle_limit){.upstream = upstream});
	limit = ceiling_limit(ceiling, now);
	if (ceiling->cold_limit > 0 &&
	    ceiling->doubted_until > MAX(now, ceiling->cold_until)) {
		limit.cold_rate = ceiling->cold_limit;
		limit.cold = (uint32_t)(ceiling->doubted_until - now);
		limit.cold_age = THROTTLE_COLD_DOUBTED;
	}
	return (limit);
}

unsigned
throttle_limited(const struct throttle *throttle)
{
	return (throttle->limited);
}

/*
 * Empties the buckets of which this instance is not the home, so that a new
 * home doesn't grant again what the one before has granted.  Drops what is too
 * old.
 */
static void
ceilings_refresh(struct throttle *throttle, clk_ms now)
{
	for (guint i = throttle->ceilings->len; i > 0; i--) {
		struct ceiling *ceiling = throttle->ceilings->pdata[i - 1];

		if (ceiling->cold_rate > 0)
			cold_apply(throttle, ceiling, now);
		if (is_limited(ceiling) &&
		    !roster_is_home(
			throttle->roster, ceiling->upstream, 0, now)) {
			ceiling->level = 0;
			ceiling->updated = now;
		}
		if (now - MAX(ceiling->said, ceiling->cold_learned) <
			MEMORY_MS ||
		    ceiling->cold_rate > 0)
			continue;
		throttle->limited -= is_limited(ceiling);
		(void)g_hash_table_remove(
		    throttle->by_upstream, GUINT_TO_POINTER(ceiling->upstream));
		(void)g_ptr_array_remove_index_fast(throttle->ceilings, i - 1);
	}
}

size_t
throttle_collect(struct throttle *throttle, struct throttle_limit *limits,
    size_t max, clk_ms now)
{
	guint len, start;
	size_t n = 0;

	ceilings_refresh(throttle, now);
	len = throttle->ceilings->len;
	start = len > 0 ? throttle->first % len : 0;
	for (guint k = 0; k < len; k++) {
		guint i = (start + k) % len;
		const struct ceiling *ceiling = throttle->ceilings->pdata[i];

		if (now - ceiling->said >= TOLD_MS &&
		    now >= MAX(ceiling->cold_until, ceiling->warm_told_until))
			continue;
		/* What is left out comes first in the next message. */
		if (n == max)
			throttle->first = i;
		if (n++ < max)
			limits[n - 1] = ceiling_limit(ceiling, now);
	}
	return (n);
}

/* Tokens a second that this instance may grant as the home; 0: none. */
static double
ceiling_rate(
    const struct throttle *throttle, const struct ceiling *ceiling, clk_ms now)
{
	double named = ceiling->rate / RATE_UNITS *
	    (roster_is_relayed(throttle->roster) ? RELAYED_PART : 1.0);
	double cold = ceiling->cold_rate / RATE_UNITS;
	double share = roster_share(throttle->roster, now);
	double rate = named;

	if (ceiling->cold_rate > 0) {
		if (share < COLD_SHARE_MIN)
			cold = 0;
		rate = ceiling->rate > 0 ? fmin(named, cold) : cold;
	}
	return (share > 0.5 ? rate : rate * share * SMALLER_SIDE_PART);
}

/*
 * Time until the turn of an instance that is refused, with the next token in
 * wait ms.  Each refusal has a turn of its own, so that those who are refused
 * don't ask again at once for the same token.
 */
static clk_ms
turn_take(struct ceiling *ceiling, double rate, clk_ms wait, clk_ms now)
{
	clk_ms turn = MAX(ceiling->turn, now + wait);

	if (turn - now >= TURN_MAX_MS)
		return (MAX(wait, TURN_MAX_MS));
	ceiling->turn = turn + (clk_ms)((double)CLK_SECOND / rate);
	return (turn - now);
}

static enum throttle_answer
ceiling_take(const struct throttle *throttle, struct ceiling *ceiling,
    clk_ms max_wait, clk_ms now, clk_ms *wait)
{
	double rate = ceiling_rate(throttle, ceiling, now);
	double elapsed = (double)(now - ceiling->updated) / (double)CLK_SECOND;

	if (rate <= 0) {
		ceiling->level = 0;
		ceiling->updated = now;
		*wait = TURN_MAX_MS;
		return (THROTTLE_REFUSED);
	}
	ceiling->level = fmin(ceiling->level + fmax(elapsed, 0) * rate,
	    1.0 + (ceiling->cold_rate > 0 ? COLD_BURST_S : BURST_S) * rate);
	ceiling->updated = now;
	*wait = ceiling->level >= 1.0
	    ? 0
	    : (clk_ms)ceil((1.0 - ceiling->level) / rate * (double)CLK_SECOND);
	if (*wait > max_wait) {
		*wait = turn_take(ceiling, rate, *wait, now);
		return (THROTTLE_REFUSED);
	}
	ceiling->level -= 1.0;
	return (THROTTLE_GRANTED);
}

enum throttle_answer
throttle_take(struct throttle *throttle, uint32_t upstream, clk_ms max_wait,
    clk_ms now, clk_ms *wait)
{
	struct ceiling *ceiling;

	*wait = 0;
	if (throttle->limited == 0)
		return (THROTTLE_FREE);
	ceiling = ceiling_find(throttle, upstream);
	if (ceiling == NULL || !is_limited(ceiling))
		return (THROTTLE_FREE);
	if (!roster_is_home(throttle->roster, upstream, 0, now))
		return (THROTTLE_ASK);
	return (ceiling_take(throttle, ceiling, max_wait, now, wait));
}

enum throttle_answer
throttle_grant(struct throttle *throttle, const struct throttle_limit *limit,
    clk_ms max_wait, clk_ms now, clk_ms *wait)
{
	enum throttle_answer answer;

	throttle_merge(throttle, limit, 1, now);
	doubt_merge(throttle, limit, now);
	answer = throttle_take(throttle, limit->upstream, max_wait, now, wait);
	if (answer != THROTTLE_ASK)
		return (answer);
	*wait = NOT_HOME_WAIT_MS;
	return (THROTTLE_REFUSED);
}

void
throttle_hold(struct throttle *throttle, uint32_t upstream, clk_ms until)
{
	struct ceiling *ceiling = ceiling_find(throttle, upstream);

	if (ceiling != NULL && is_limited(ceiling))
		ceiling->held_until = until;
}

bool
throttle_is_limited(const struct throttle *throttle, uint32_t upstream)
{
	const struct ceiling *ceiling;

	if (throttle->limited == 0)
		return (false);
	ceiling = ceiling_find(throttle, upstream);
	return (ceiling != NULL && is_limited(ceiling));
}

clk_ms
throttle_held_until(const struct throttle *throttle, uint32_t upstream)
{
	const struct ceiling *ceiling;

	if (throttle->limited == 0)
		return (0);
	ceiling = ceiling_find(throttle, upstream);
	return (ceiling != NULL ? ceiling->held_until : 0);
}
