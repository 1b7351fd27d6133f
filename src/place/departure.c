#include "place/departure.h"

#include <glib.h>

/*
 * Time for which the other instances are told: several messages, as some are
 * lost, and longer than a data centre that is cut off takes to be heard again
 * after it was reconnected.
 */
#define TOLD_MS (5 * CLK_SECOND)
/* Time after which a run that has said that it leaves is gone. */
#define MEMORY_MS (600 * CLK_SECOND)

struct known {
	GList link;
	uint64_t started;
	uint32_t upstream;
	clk_ms since;
	clk_ms learned;
};

struct departures {
	GHashTable *runs; /* set of struct known */
	GQueue order; /* struct known, the latest learned first */
};

static guint
known_hash(const void *data)
{
	const struct known *known = data;

	return (known->upstream ^ (guint)known->started ^
	    (guint)(known->started >> 32));
}

static gboolean
known_equal(const void *a, const void *b)
{
	const struct known *one = a;
	const struct known *other = b;

	return (
	    one->upstream == other->upstream && one->started == other->started);
}

struct departures *
departures_open(void)
{
	struct departures *departures = g_new0(struct departures, 1);

	departures->runs =
	    g_hash_table_new_full(known_hash, known_equal, g_free, NULL);
	return (departures);
}

void
departures_close(struct departures *departures)
{
	if (departures == NULL)
		return;
	g_hash_table_destroy(departures->runs);
	g_free(departures);
}

static struct known *
known_find(
    const struct departures *departures, uint32_t upstream, uint64_t started)
{
	const struct known key = {.upstream = upstream, .started = started};

	return (g_hash_table_lookup(departures->runs, &key));
}

static void
known_remove(struct departures *departures, struct known *known)
{
	g_queue_unlink(&departures->order, &known->link);
	(void)g_hash_table_remove(departures->runs, known);
}

/* Forgets the oldest entries: those that are too old, or too many. */
static void
oldest_remove(struct departures *departures, clk_ms now)
{
	struct known *oldest;

	while ((oldest = g_queue_peek_tail(&departures->order)) != NULL &&
	    (now - oldest->learned >= MEMORY_MS ||
		departures->order.length > DEPARTURES_MAX))
		known_remove(departures, oldest);
}

bool
departures_add(struct departures *departures, uint32_t upstream,
    uint64_t started, clk_ms since, clk_ms now)
{
	struct known *known = known_find(departures, upstream, started);

	if (known != NULL) {
		known->since = MIN(known->since, since);
		return (false);
	}
	known = g_new0(struct known, 1);
	*known = (struct known){.link = {.data = known},
	    .started = started,
	    .upstream = upstream,
	    .since = since,
	    .learned = now};
	(void)g_hash_table_add(departures->runs, known);
	g_queue_push_head_link(&departures->order, &known->link);
	oldest_remove(departures, now);
	return (true);
}

void
departures_forget(
    struct departures *departures, uint32_t upstream, uint64_t started)
{
	struct known *known = known_find(departures, upstream, started);

	if (known != NULL)
		known_remove(departures, known);
}

clk_ms
departures_since(
    const struct departures *departures, uint32_t upstream, uint64_t started)
{
	const struct known *known = known_find(departures, upstream, started);

	return (known != NULL ? known->since : DEPARTURE_NONE);
}

bool
departures_is_heard(
    const struct departures *departures, uint32_t upstream, clk_ms time)
{
	for (const GList *link = departures->order.head; link != NULL;
	     link = link->next) {
		const struct known *known = link->data;

		if (known->learned < time)
			break;
		if (known->upstream == upstream && known->since >= time)
			return (true);
	}
	return (false);
}

size_t
departures_collect(const struct departures *departures,
    struct departure *entries, size_t max, clk_ms now)
{
	size_t n = 0;

	for (const GList *link = departures->order.head; link != NULL;
	     link = link->next) {
		const struct known *known = link->data;

		if (now - known->learned >= TOLD_MS)
			break;
		if (n++ < max)
			entries[n - 1] = (struct departure){known->started,
			    known->upstream,
			    (uint32_t)CLAMP(now - known->since, 0, UINT32_MAX)};
	}
	return (n);
}
