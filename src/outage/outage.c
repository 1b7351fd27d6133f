#include "outage/outage.h"

#include <glib.h>

/*
 * Without any answer for this time the state is unknown.  The readers wait up
 * to 500 ms for records, and an answer takes up to 200 ms.
 */
#define QUIET_MS 800
/* Failures of a partition are forgotten when it had no call for this time. */
#define FORGET_MS (10 * CLK_SECOND)
/* Signs of failure after which a write isn't expected to be acknowledged. */
#define SIGNS_FAILS 2
/* The number of the readers' topics, beside those of the store's spaces. */
#define READERS ((guint)STORE_SPACE_COUNT << 16)

/* A partition with calls in progress or failures since its last answer. */
struct part {
	guint number;
	clk_ms heard; /* last answer; 0: none known */
	clk_ms since; /* first failed call after that began; 0: none failed */
	clk_ms last; /* the last call began or ended */
	unsigned failures; /* since the last answer */
	GQueue calls; /* struct outage_call in progress, oldest first */
};

struct outage_call {
	struct part *part;
	clk_ms started;
	GList link;
};

struct outage {
	GHashTable *parts; /* number -> struct part */
	clk_ms heard; /* last answer of any partition */
	clk_ms space_heard[STORE_SPACE_COUNT];
};

static guint
number_of(const struct store_partition *partition)
{
	return ((guint)partition->space << 16 | partition->slot);
}

static void
part_free(void *data)
{
	struct part *part = data;
	struct outage_call *call;

	while ((call = g_queue_peek_head(&part->calls)) != NULL) {
		g_queue_unlink(&part->calls, &call->link);
		g_free(call);
	}
	g_free(part);
}

struct outage *
outage_open(clk_ms now)
{
	struct outage *outage = g_new0(struct outage, 1);

	outage->parts = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, part_free);
	outage->heard = now;
	for (size_t i = 0; i < STORE_SPACE_COUNT; i++)
		outage->space_heard[i] = now;
	return (outage);
}

void
outage_close(struct outage *outage)
{
	if (outage == NULL)
		return;
	g_hash_table_destroy(outage->parts);
	g_free(outage);
}

static struct part *
part_ensure(struct outage *outage, guint number)
{
	struct part *part =
	    g_hash_table_lookup(outage->parts, GUINT_TO_POINTER(number));

	if (part == NULL) {
		part = g_new0(struct part, 1);
		part->number = number;
		(void)g_hash_table_insert(
		    outage->parts, GUINT_TO_POINTER(number), part);
	}
	return (part);
}

static void
part_answered(struct outage *outage, struct part *part, clk_ms now)
{
	guint space = part->number >> 16;

	outage->heard = now;
	if (space < STORE_SPACE_COUNT)
		outage->space_heard[space] = now;
	part->heard = now;
	part->since = 0;
	part->failures = 0;
}

static void
part_failed(struct part *part, clk_ms began)
{
	if (part->failures++ == 0)
		part->since = began;
}

/* Forget a partition of which nothing needs to be known. */
static void
part_drop_if_clean(struct outage *outage, struct part *part)
{
	if (part->failures == 0 && g_queue_is_empty(&part->calls))
		(void)g_hash_table_remove(
		    outage->parts, GUINT_TO_POINTER(part->number));
}

struct outage_call *
outage_call_begin(
    struct outage *outage, const struct store_partition *partition, clk_ms now)
{
	struct outage_call *call = g_new0(struct outage_call, 1);

	call->part = part_ensure(outage, number_of(partition));
	call->started = now;
	call->link.data = call;
	call->part->last = now;
	g_queue_push_tail_link(&call->part->calls, &call->link);
	return (call);
}

void
outage_call_end(struct outage *outage, struct outage_call *call,
    enum store_status status, clk_ms now)
{
	struct part *part = call->part;

	g_queue_unlink(&part->calls, &call->link);
	part->last = now;
	switch (status) {
	case STORE_OK:
	case STORE_CONFLICT:
		part_answered(outage, part, now);
		break;
	case STORE_REFUSED:
		/* Known as of now, whatever was answered meanwhile. */
		part_failed(part, now);
		break;
	case STORE_UNKNOWN:
		if (call->started >= part->heard)
			part_failed(part, call->started);
		break;
	}
	g_free(call);
	part_drop_if_clean(outage, part);
}

/* Drop the partitions that failed long ago and were not used since. */
static void
parts_forget(struct outage *outage, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, outage->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct part *part = value;

		if (now - part->last > FORGET_MS &&
		    g_queue_is_empty(&part->calls))
			g_hash_table_iter_remove(&iter);
	}
}

void
outage_reader_report(struct outage *outage, bool is_answered, clk_ms now)
{
	struct part *part = part_ensure(outage, READERS);

	part->last = now;
	if (is_answered)
		part_answered(outage, part, now);
	else
		part_failed(part, now);
	part_drop_if_clean(outage, part);
	parts_forget(outage, now);
}

/*
 * Signs of failure of a partition since its last answer; *since is when the
 * first of the calls began.
 */
static unsigned
part_signs(const struct part *part, clk_ms now, clk_ms *since)
{
	unsigned signs = part->failures;

	*since = part->since;
	if (now - part->last > FORGET_MS)
		signs = 0;
	for (const GList *l = part->calls.head; l != NULL; l = l->next) {
		const struct outage_call *call = l->data;

		/* They are in the order in which they began. */
		if (now - call->started < OUTAGE_OVERDUE_MS)
			break;
		if (call->started < part->heard)
			continue;
		if (signs++ == 0 || call->started < *since)
			*since = call->started;
	}
	return (signs);
}

/* Counts the partitions that fail, of the store and of one of its spaces. */
static void
failing_count(const struct outage *outage, guint space, clk_ms now,
    unsigned *in_store, unsigned *in_space)
{
	GHashTableIter iter;
	void *value;

	*in_store = 0;
	*in_space = 0;
	g_hash_table_iter_init(&iter, outage->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct part *part = value;
		clk_ms since;

		if (part_signs(part, now, &since) == 0)
			continue;
		if (since >= outage->heard)
			(*in_store)++;
		if (space < STORE_SPACE_COUNT && part->number >> 16 == space &&
		    since >= outage->space_heard[space])
			(*in_space)++;
	}
}

static enum outage_verdict
verdict_of(const struct outage *outage, guint space, clk_ms now)
{
	unsigned in_store, in_space;

	failing_count(outage, space, now, &in_store, &in_space);
	if (in_store >= SIGNS_FAILS || in_space >= SIGNS_FAILS)
		return (OUTAGE_FAILS);
	return (in_store > 0 || now - outage->heard > QUIET_MS
		? OUTAGE_UNKNOWN
		: OUTAGE_ANSWERS);
}

enum outage_verdict
outage_verdict(const struct outage *outage,
    const struct store_partition *partition, clk_ms now)
{
	const struct part *part = g_hash_table_lookup(
	    outage->parts, GUINT_TO_POINTER(number_of(partition)));
	clk_ms since;
	unsigned signs = part != NULL ? part_signs(part, now, &since) : 0;

	if (signs >= SIGNS_FAILS)
		return (OUTAGE_FAILS);
	return (MAX(signs > 0 ? OUTAGE_UNKNOWN : OUTAGE_ANSWERS,
	    verdict_of(outage, partition->space, now)));
}

enum outage_verdict
outage_store_verdict(const struct outage *outage, clk_ms now)
{
	return (verdict_of(outage, STORE_SPACE_COUNT, now));
}
