/*
 * Checkpoints of streams: what a read of their records shows.
 */
#include <glib.h>
#include <string.h>

#include "turn/checkpoint.h"
#include "turn/turn.h"

#define STREAM	   "0123456789abcdef0123456789abcdef"
#define RECORD_MAX 600
#define EVENTS	   7

/* Records as a read of the store returns them. */
struct slot {
	GPtrArray *records; /* struct turn_record */
	GPtrArray *owners; /* GPtrArray of these */
};

static void
slot_open(struct slot *slot)
{
	slot->records = g_ptr_array_new();
	slot->owners =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);
}

static void
slot_close(struct slot *slot)
{
	g_ptr_array_unref(slot->records);
	g_ptr_array_unref(slot->owners);
}

/* Events from the place first on; their data name the run that made them. */
static GPtrArray *
events_make(const char *made_by, unsigned first, unsigned end, size_t size)
{
	GPtrArray *events =
	    g_ptr_array_new_with_free_func(checkpoint_event_free);
	g_autofree char *filler = g_strnfill(size, 'x');

	for (unsigned i = first; i < end; i++) {
		g_autofree char *id = g_strdup_printf("%u", i);
		g_autofree char *data =
		    g_strdup_printf("%s %u %s\n", made_by, i, filler);

		g_ptr_array_add(events,
		    checkpoint_event_new(id, strlen(id), data, strlen(data)));
	}
	return (events);
}

/* Adds the records of events from the place first on; returns their number. */
static guint
slot_add(struct slot *slot, const char *run, const char *began,
    uint32_t generation, unsigned number, unsigned first, GPtrArray *events)
{
	const struct checkpoint_run of = {
	    (char *)run, (char *)began, generation, 1000000, 5000};
	GPtrArray *records =
	    checkpoint_split(STREAM, &of, number, first, events, RECORD_MAX);

	g_assert_nonnull(records);
	for (guint i = 0; i < records->len; i++) {
		const struct turn_record *record = records->pdata[i];

		g_assert_cmpuint(1 + strlen(record->key) + record->value->len,
		    <=, RECORD_MAX);
		g_ptr_array_add(slot->records, records->pdata[i]);
	}
	g_ptr_array_add(slot->owners, records);
	g_ptr_array_unref(events);
	return (records->len);
}

/* The data up to the event with the id last, or nil; without one record. */
static char *
find_without(const struct slot *slot, const char *resumes, const char *last,
    guint left_out, struct checkpoint_run *run)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, FALSE, sizeof(struct store_record));
	g_autoptr(GPtrArray) events = NULL;
	struct store_reply reply = {.status = STORE_OK};
	GString *text;

	for (guint i = 0; i < slot->records->len; i++) {
		const struct turn_record *record = slot->records->pdata[i];
		const struct store_record one = {
		    record->key, record->value->data, record->value->len};

		if (i != left_out)
			g_array_append_val(records, one);
	}
	reply.records = (const struct store_record *)(void *)records->data;
	reply.count = records->len;
	events = checkpoint_find(&reply, STREAM, resumes, last, run);
	if (events == NULL)
		return (NULL);
	text = g_string_new(NULL);
	for (guint i = 0; i < events->len; i++) {
		const struct checkpoint_event *event = events->pdata[i];

		g_string_append_len(text, event->data, event->len);
	}
	return (g_string_free(text, FALSE));
}

static char *
find(const struct slot *slot, const char *resumes, const char *last)
{
	struct checkpoint_run run;
	char *text = find_without(slot, resumes, last, G_MAXUINT, &run);

	g_free(run.began);
	return (text);
}

static char *
text_of(GPtrArray *events)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < events->len; i++) {
		const struct checkpoint_event *event = events->pdata[i];

		g_string_append_len(text, event->data, event->len);
	}
	g_ptr_array_unref(events);
	return (g_string_free(text, FALSE));
}

/*
 * Guards against a turn with a part of its output: whatever the events' sizes
 * and the appends that they were recorded in, all events up to the last one
 * that the caller has come back, or none.
 */
static void
test_sizes(void)
{
	for (size_t size = 0; size < RECORD_MAX / 2; size += 9) {
		for (unsigned step = 1; step <= EVENTS; step++) {
			struct slot slot;
			guint number = 0;

			slot_open(&slot);
			for (unsigned i = 0; i < EVENTS; i += step)
				number +=
				    slot_add(&slot, "a", "a", 0, number, i,
					events_make("a", i,
					    MIN(i + step, EVENTS), size));
			for (unsigned i = 0; i < EVENTS; i++) {
				g_autofree char *last =
				    g_strdup_printf("%u", i);
				g_autofree char *found =
				    find(&slot, NULL, last);
				g_autofree char *all =
				    text_of(events_make("a", 0, i + 1, size));

				g_assert_cmpstr(found, ==, all);
			}
			for (guint i = 0; i < slot.records->len; i++) {
				struct checkpoint_run run;

				g_assert_null(
				    find_without(&slot, NULL, "6", i, &run));
			}
			g_assert_null(find(&slot, NULL, "7"));
			g_assert_null(find(&slot, NULL, ""));
			slot_close(&slot);
		}
	}
}

/*
 * Guards against the events of a run that its caller never got: a stream that
 * is taken up after any event of any run has those of the newest run.
 */
static void
test_taken_up(void)
{
	struct slot slot;
	struct checkpoint_run run;
	g_autofree char *found = NULL;

	slot_open(&slot);
	(void)slot_add(&slot, "a", "a", 0, 0, 0, events_make("a", 0, 4, 1));
	/* b goes on after event 1, the last one that a's caller has. */
	(void)slot_add(&slot, "b", "a", 1, 0, 0, events_make("a", 0, 2, 1));
	(void)slot_add(&slot, "b", "a", 1, 9, 2, events_make("b", 2, 5, 1));
	found = find_without(&slot, NULL, "3", G_MAXUINT, &run);
	g_assert_cmpstr(found, ==, "a 0 x\na 1 x\nb 2 x\nb 3 x\n");
	g_assert_cmpstr(run.began, ==, "a");
	g_assert_cmpuint(run.generation, ==, 2);
	g_free(run.began);
	for (const char *resumes = "ab"; *resumes != '\0'; resumes++) {
		const char name[] = {*resumes, '\0'};

		g_clear_pointer(&found, g_free);
		found = find(&slot, name, "1");
		g_assert_cmpstr(found, ==, "a 0 x\na 1 x\n");
	}
	g_assert_null(find(&slot, "c", "1"));
	/* c has begun, and what it sent after event 2 is not recorded. */
	(void)slot_add(&slot, "c", "a", 2, 0, 0, events_make("c", 0, 3, 1));
	g_assert_null(find(&slot, NULL, "3"));
	g_assert_null(find(&slot, "a", "3"));
	g_clear_pointer(&found, g_free);
	found = find(&slot, "a", "2");
	g_assert_cmpstr(found, ==, "c 0 x\nc 1 x\nc 2 x\n");
	/* Another one took b up at the same moment. */
	(void)slot_add(&slot, "d", "a", 2, 0, 0, events_make("d", 0, 3, 1));
	g_assert_null(find(&slot, NULL, "2"));
	slot_close(&slot);
}

/* The same request twice: two streams, each with events of its own. */
static void
test_two_streams(void)
{
	struct slot slot;
	struct checkpoint_run run;
	g_autofree char *found = NULL;

	slot_open(&slot);
	(void)slot_add(&slot, "a", "a", 0, 0, 0, events_make("x", 0, 3, 1));
	(void)slot_add(&slot, "b", "b", 0, 0, 0, events_make("x", 0, 2, 1));
	found = find_without(&slot, NULL, "1", G_MAXUINT, &run);
	g_assert_cmpstr(found, ==, "x 0 x\nx 1 x\n");
	g_assert_null(run.began);
	/* b's caller may have event 2, unrecorded. */
	g_assert_null(find(&slot, NULL, "2"));
	g_clear_pointer(&found, g_free);
	found = find_without(&slot, "b", "1", G_MAXUINT, &run);
	g_assert_nonnull(found);
	g_assert_cmpstr(run.began, ==, "b");
	g_free(run.began);
	(void)slot_add(&slot, "c", "c", 0, 0, 0, events_make("y", 0, 2, 1));
	g_assert_null(find(&slot, NULL, "1"));
	g_clear_pointer(&found, g_free);
	found = find(&slot, "c", "1");
	g_assert_cmpstr(found, ==, "y 0 x\ny 1 x\n");
	slot_close(&slot);
}

/* An append that had no answer, and takes effect after a later one. */
static void
test_late_append(void)
{
	struct slot slot;
	g_autofree char *found = NULL;
	g_autofree char *all = text_of(events_make("a", 0, 5, 1));

	slot_open(&slot);
	(void)slot_add(&slot, "a", "a", 0, 0, 0, events_make("a", 0, 1, 1));
	(void)slot_add(&slot, "a", "a", 0, 2, 1, events_make("a", 1, 5, 1));
	(void)slot_add(&slot, "a", "a", 0, 1, 1, events_make("a", 1, 3, 1));
	found = find(&slot, NULL, "4");
	g_assert_cmpstr(found, ==, all);
	slot_close(&slot);
}

/* Two events with the same id: it isn't known which one the caller has. */
static void
test_same_ids(void)
{
	struct slot slot;

	slot_open(&slot);
	(void)slot_add(&slot, "a", "a", 0, 0, 0, events_make("a", 0, 2, 1));
	(void)slot_add(&slot, "a", "a", 0, 1, 2, events_make("a", 1, 3, 1));
	g_assert_null(find(&slot, NULL, "1"));
	slot_close(&slot);
}

/* An event that fits no record is told from one that does. */
static void
test_too_large(void)
{
	const struct checkpoint_run run = {"a", "a", 0, 1000000, 5000};
	g_autoptr(GPtrArray) events = events_make("a", 0, 2, RECORD_MAX);
	g_autoptr(GPtrArray) records = NULL;

	g_assert_null(checkpoint_split(STREAM, &run, 0, 0, events, RECORD_MAX));
	records = checkpoint_split(STREAM, &run, 0, 0, events, 0);
	g_assert_nonnull(records);
}

/* Records of other kinds, and broken ones, are no events and don't expire. */
static void
test_odd_records(void)
{
	struct slot slot;
	const struct turn_record *record;

	slot_open(&slot);
	(void)slot_add(&slot, "a", "a", 0, 0, 0, events_make("a", 0, 2, 1));
	record = slot.records->pdata[0];
	for (guint len = 0; len < record->value->len; len++) {
		g_autofree guint8 *cut = g_memdup2(record->value->data, len);
		const struct store_record one = {record->key, cut, len};
		const struct store_reply reply = {
		    .status = STORE_OK, .records = &one, .count = 1};
		struct checkpoint_run run;

		g_assert_null(checkpoint_find(&reply, STREAM, NULL, "1", &run));
		g_assert_false(checkpoint_is_expired(&one, G_MAXINT64 / 2));
		g_assert_false(turn_is_expired(&one, 1, G_MAXINT64 / 2));
	}
	{
		const struct store_record one = {
		    record->key, record->value->data, record->value->len};

		g_assert_false(checkpoint_is_expired(&one, 1005000));
		g_assert_true(checkpoint_is_expired(&one, 1030000));
		g_assert_false(turn_is_expired(&one, 1, G_MAXINT64 / 2));
	}
	slot_close(&slot);
}

/* What the requests of a stream have in common decides on its key. */
static void
test_key(void)
{
	g_autoptr(GBytes) a = g_bytes_new_static("ab", 2);
	g_autoptr(GBytes) b = g_bytes_new_static("c", 1);
	g_autoptr(GBytes) c = g_bytes_new_static("a", 1);
	g_autoptr(GBytes) d = g_bytes_new_static("bc", 2);
	const GBytes *first[] = {a, b};
	const GBytes *second[] = {c, d};
	g_autofree char *one = checkpoint_stream_key(first, 2);
	g_autofree char *other = checkpoint_stream_key(second, 2);

	g_assert_cmpuint(strlen(one), ==, strlen(STREAM));
	g_assert_cmpstr(one, !=, other);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/checkpoint/sizes", test_sizes);
	g_test_add_func("/checkpoint/taken-up", test_taken_up);
	g_test_add_func("/checkpoint/two-streams", test_two_streams);
	g_test_add_func("/checkpoint/late-append", test_late_append);
	g_test_add_func("/checkpoint/same-ids", test_same_ids);
	g_test_add_func("/checkpoint/too-large", test_too_large);
	g_test_add_func("/checkpoint/odd-records", test_odd_records);
	g_test_add_func("/checkpoint/key", test_key);
	return (g_test_run());
}
