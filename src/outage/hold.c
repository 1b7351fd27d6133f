#include "outage/hold.h"

#include <glib.h>

#include "outage/outage.h"

/* Duration of a route of which nothing is known: turns take 300 to 1,000 ms. */
#define FIRST_DURATION_MS 600.0
/*
 * Weight of the newest duration.  A request is given the mean: with two mean
 * deviations more, 5 % fewer turns end in time after an outage of 4.6 s, and
 * with one less 0.2 % fewer, at 17 % more time of engines in vain.
 */
#define DURATION_WEIGHT 0.125
/* The record of a turn is acknowledged in this time, and its end is sent. */
#define ACKNOWLEDGE_MS 50
/*
 * Time in which a stream's first event reaches its caller: an engine that is
 * not full needs 50 to 150 ms for it.
 */
#define FIRST_EVENT_MS 300
/*
 * The waiting requests of an instance are sent within this time: that of one
 * turn, so that upstreams that end turns at their usual rate take them.
 */
#define SPREAD_MS 500
/*
 * Longest mean time between two sends: a single request is delayed by up to
 * twice this time, in which 195 instances send one each.
 */
#define PACE_MAX_MS 50
/* Routes whose durations are kept; configurations have 4 to 30. */
#define ROUTES_MAX 256

struct hold_entry {
	struct hold_request request;
	clk_ms since;
	clk_ms duration; /* that it is given */
	GList link;
};

struct hold {
	unsigned count_max;
	size_t bytes_max;
	size_t bytes;
	double pace; /* mean time between two sends, in ms */
	GQueue entries; /* in order of arrival */
	GHashTable *durations; /* route -> mean in ms, double */
};

struct hold *
hold_open(unsigned count_max, size_t bytes_max)
{
	struct hold *hold = g_new0(struct hold, 1);

	hold->count_max = count_max;
	hold->bytes_max = bytes_max;
	hold->durations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return (hold);
}

void
hold_close(struct hold *hold)
{
	struct hold_entry *entry;

	if (hold == NULL)
		return;
	while ((entry = g_queue_peek_head(&hold->entries)) != NULL)
		hold_remove(hold, entry);
	g_hash_table_destroy(hold->durations);
	g_free(hold);
}

void
hold_duration_record(struct hold *hold, const char *route, clk_ms duration)
{
	double *known = g_hash_table_lookup(hold->durations, route);

	if (duration < 0)
		return;
	if (known == NULL) {
		if (g_hash_table_size(hold->durations) >= ROUTES_MAX)
			g_hash_table_remove_all(hold->durations);
		known = g_new(double, 1);
		*known = (double)duration;
		(void)g_hash_table_insert(
		    hold->durations, g_strdup(route), known);
		return;
	}
	*known += DURATION_WEIGHT * ((double)duration - *known);
}

clk_ms
hold_duration(const struct hold *hold, const char *route, clk_ms timeout)
{
	const double *known = g_hash_table_lookup(hold->durations, route);

	if (known == NULL)
		return (MIN((clk_ms)FIRST_DURATION_MS, timeout / 2));
	return ((clk_ms)*known);
}

static clk_ms
latest_start(const struct hold_request *request, clk_ms duration)
{
	clk_ms latest = request->deadline - duration - ACKNOWLEDGE_MS;

	if (request->first_event_by > 0)
		latest = MIN(latest, request->first_event_by - FIRST_EVENT_MS);
	return (latest);
}

bool
hold_is_too_late(
    const struct hold *hold, const struct hold_request *request, clk_ms now)
{
	return (
	    now >= latest_start(request,
		       hold_duration(hold, request->route, request->timeout)));
}

struct hold_entry *
hold_add(struct hold *hold, const struct hold_request *request, clk_ms now)
{
	struct hold_entry *entry;

	if (hold->entries.length >= hold->count_max ||
	    request->bytes > hold->bytes_max - hold->bytes)
		return (NULL);
	entry = g_new0(struct hold_entry, 1);
	entry->request = *request;
	entry->request.route = NULL;
	entry->since = now;
	entry->duration = hold_duration(hold, request->route, request->timeout);
	entry->link.data = entry;
	hold->bytes += request->bytes;
	g_queue_push_tail_link(&hold->entries, &entry->link);
	return (entry);
}

void
hold_remove(struct hold *hold, struct hold_entry *entry)
{
	hold->bytes -= entry->request.bytes;
	g_queue_unlink(&hold->entries, &entry->link);
	g_free(entry);
}

struct hold_entry *
hold_expired(const struct hold *hold, clk_ms now)
{
	for (const GList *l = hold->entries.head; l != NULL; l = l->next) {
		struct hold_entry *entry = l->data;

		if (now >= latest_start(&entry->request, entry->duration))
			return (entry);
	}
	return (NULL);
}

static clk_ms
program_deadline(const struct hold_entry *entry)
{
	const struct hold_request *request = &entry->request;

	return (request->program_deadline > 0 ? request->program_deadline
					      : request->deadline);
}

static bool
goes_before(const struct hold_entry *a, const struct hold_entry *b, clk_ms now)
{
	bool a_is_late = now + a->duration > program_deadline(a);
	bool b_is_late = now + b->duration > program_deadline(b);

	if (a_is_late != b_is_late)
		return (b_is_late);
	return (program_deadline(a) < program_deadline(b));
}

struct hold_entry *
hold_next(struct hold *hold, hold_is_ready *is_ready, clk_ms now)
{
	struct hold_entry *first = NULL;

	for (const GList *l = hold->entries.head; l != NULL; l = l->next) {
		struct hold_entry *entry = l->data;

		if ((first == NULL || goes_before(entry, first, now)) &&
		    is_ready(entry->request.arg))
			first = entry;
	}
	return (first);
}

clk_ms
hold_release_begin(struct hold *hold, double draw, clk_ms now)
{
	const struct hold_entry *oldest = g_queue_peek_head(&hold->entries);

	hold->pace = 0;
	if (oldest != NULL && now - oldest->since > OUTAGE_OVERDUE_MS)
		hold->pace =
		    MIN(SPREAD_MS / (double)hold->entries.length, PACE_MAX_MS);
	return ((clk_ms)(2 * draw * hold->pace));
}

clk_ms
hold_pace(const struct hold *hold, double draw)
{
	return ((clk_ms)((0.5 + draw) * hold->pace));
}

void *
hold_arg(const struct hold_entry *entry)
{
	return (entry->request.arg);
}

clk_ms
hold_since(const struct hold_entry *entry)
{
	return (entry->since);
}

unsigned
hold_count(const struct hold *hold)
{
	return (hold->entries.length);
}

size_t
hold_bytes(const struct hold *hold)
{
	return (hold->bytes);
}
