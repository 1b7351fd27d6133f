#include "turn/checkpoint.h"

#include <stdlib.h>
#include <string.h>

#include "lib/dgram.h"
#include "turn/turn.h"

/* "SCP", and the version of the format. */
#define FORMAT 0x53435031U
/* Hexadecimal digits of the digests in a key. */
#define STREAM_DIGITS 32
#define RUN_DIGITS    16
/* Bounds of what a record holds. */
#define EVENTS_MAX 4096
#define BYTES_MAX  ((u_int)1 << 20)
/* Allows for clock skew between instances. */
#define EXPIRY_MARGIN_MS (15 * CLK_SECOND)
/* Bytes of an event in a record beside its id and data, and of their padding */
#define EVENT_OVERHEAD 16
/* Bytes of a record beside its strings and events, and its key. */
#define RECORD_OVERHEAD 160

struct record {
	struct checkpoint_run run;
	uint32_t first;
	struct checkpoint_event *events;
	u_int count;
};

struct checkpoint_event *
checkpoint_event_new(
    const char *id, size_t id_len, const void *data, size_t len)
{
	struct checkpoint_event *event = g_new0(struct checkpoint_event, 1);

	event->id = g_strndup(id, id_len);
	event->data = g_memdup2(data, len);
	event->len = (unsigned)len;
	return (event);
}

void
checkpoint_event_free(void *data)
{
	struct checkpoint_event *event = data;

	g_free(event->id);
	g_free(event->data);
	g_free(event);
}

char *
checkpoint_stream_key(const GBytes *const *parts, size_t count)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *key;

	for (size_t i = 0; i < count; i++) {
		gsize len;
		const guchar *data = g_bytes_get_data((GBytes *)parts[i], &len);
		guint64 size = GUINT64_TO_BE((guint64)len);

		g_checksum_update(
		    checksum, (const guchar *)&size, sizeof(size));
		g_checksum_update(checksum, data, (gssize)len);
	}
	key = g_strndup(g_checksum_get_string(checksum), STREAM_DIGITS);
	g_checksum_free(checksum);
	return (key);
}

static char *
record_key(const char *stream, const char *run, unsigned number)
{
	g_autofree char *digest =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, run, -1);

	return (
	    g_strdup_printf("%s%.*s/%u", stream, RUN_DIGITS, digest, number));
}

static bool_t
xdr_event(XDR *xdrs, struct checkpoint_event *event)
{
	return (xdr_string(xdrs, &event->id, BYTES_MAX) &&
	    xdr_bytes(xdrs, &event->data, &event->len, BYTES_MAX));
}

static bool_t
xdr_record(XDR *xdrs, void *data)
{
	struct record *record = data;

	return (xdr_uint64_t(xdrs, &record->run.recorded) &&
	    xdr_uint64_t(xdrs, &record->run.life) &&
	    xdr_string(xdrs, &record->run.id, BYTES_MAX) &&
	    xdr_string(xdrs, &record->run.began, BYTES_MAX) &&
	    xdr_uint32_t(xdrs, &record->run.generation) &&
	    xdr_uint32_t(xdrs, &record->first) &&
	    xdr_array(xdrs, (char **)&record->events, &record->count,
		EVENTS_MAX, sizeof(*record->events), (xdrproc_t)xdr_event));
}

static void
record_clear(struct record *record)
{
	/* The XDR library allocates with malloc(). */
	for (u_int i = 0; record->events != NULL && i < record->count; i++) {
		free(record->events[i].id);
		free(record->events[i].data);
	}
	free(record->events);
	free(record->run.id);
	free(record->run.began);
	memset(record, 0, sizeof(*record));
}

static bool
record_decode(const struct store_record *from, struct record *record)
{
	g_autofree char *copy = NULL;

	memset(record, 0, sizeof(*record));
	if (from->value == NULL ||
	    !dgram_has_version(from->value, from->len, FORMAT))
		return (false);
	copy = g_memdup2(from->value, from->len);
	if (dgram_decode(copy, from->len, FORMAT, xdr_record, record) &&
	    record->run.recorded <= STORE_TIME_MAX &&
	    record->run.life <= STORE_TIME_MAX)
		return (true);
	record_clear(record);
	return (false);
}

/* Upper bound of an event's size in a record. */
static size_t
event_size(const struct checkpoint_event *event)
{
	return (EVENT_OVERHEAD + strlen(event->id) + event->len);
}

static size_t
record_overhead(const struct checkpoint_run *run)
{
	return (RECORD_OVERHEAD + strlen(run->id) + strlen(run->began));
}

static struct turn_record *
record_encode(
    const char *stream, unsigned number, struct record *record, size_t size)
{
	struct turn_record *out = g_new0(struct turn_record, 1);

	out->key = record_key(stream, record->run.id, number);
	out->value = g_byte_array_sized_new((guint)size);
	(void)g_byte_array_set_size(out->value, (guint)size);
	(void)g_byte_array_set_size(out->value,
	    (guint)dgram_encode(
		(char *)out->value->data, size, FORMAT, xdr_record, record));
	return (out);
}

GPtrArray *
checkpoint_split(const char *stream, const struct checkpoint_run *run,
    unsigned number, unsigned first, const GPtrArray *events, size_t record_max)
{
	g_autoptr(GPtrArray) records =
	    g_ptr_array_new_with_free_func(turn_record_free);
	g_autoptr(GArray) part =
	    g_array_new(FALSE, FALSE, sizeof(struct checkpoint_event));
	guint i = 0;

	do {
		size_t size = record_overhead(run);
		struct record record;

		g_array_set_size(part, 0);
		for (; i < events->len && part->len < EVENTS_MAX; i++) {
			const struct checkpoint_event *event = events->pdata[i];
			size_t more = event_size(event);

			if (record_max > 0 && size + more > record_max)
				break;
			size += more;
			g_array_append_vals(part, event, 1);
		}
		if (part->len == 0 && i < events->len)
			return (NULL);
		record = (struct record){*run, first,
		    (struct checkpoint_event *)(void *)part->data, part->len};
		g_ptr_array_add(
		    records, record_encode(stream, number++, &record, size));
		first += part->len;
	} while (i < events->len);
	return (g_steal_pointer(&records));
}

/* The events of one run, by their place; some may be missing. */
struct run {
	char *id;
	char *began;
	uint32_t generation;
	GHashTable *events; /* place -> struct checkpoint_event */
};

static void
run_free(void *data)
{
	struct run *run = data;

	g_free(run->id);
	g_free(run->began);
	g_hash_table_destroy(run->events);
	g_free(run);
}

static void
run_add(GHashTable *runs, const struct record *record)
{
	struct run *run = g_hash_table_lookup(runs, record->run.id);

	if (run == NULL) {
		run = g_new0(struct run, 1);
		run->id = g_strdup(record->run.id);
		run->began = g_strdup(record->run.began);
		run->generation = record->run.generation;
		run->events = g_hash_table_new_full(
		    NULL, NULL, NULL, checkpoint_event_free);
		(void)g_hash_table_insert(runs, run->id, run);
	}
	for (u_int i = 0; i < record->count; i++) {
		const struct checkpoint_event *event = &record->events[i];

		(void)g_hash_table_insert(run->events,
		    GUINT_TO_POINTER(record->first + i),
		    checkpoint_event_new(
			event->id, strlen(event->id), event->data, event->len));
	}
}

/* The run's events up to the only one with the id last, or nil. */
static GPtrArray *
run_events(const struct run *run, const char *last)
{
	g_autoptr(GPtrArray) events =
	    g_ptr_array_new_with_free_func(checkpoint_event_free);
	const struct checkpoint_event *event;
	guint count = 0;

	for (guint i = 0; (event = g_hash_table_lookup(
			       run->events, GUINT_TO_POINTER(i))) != NULL;
	     i++) {
		g_ptr_array_add(events,
		    checkpoint_event_new(
			event->id, strlen(event->id), event->data, event->len));
		if (strcmp(event->id, last) != 0)
			continue;
		if (count > 0)
			return (NULL);
		count = events->len;
	}
	if (count == 0)
		return (NULL);
	g_ptr_array_set_size(events, (gint)count);
	return (g_steal_pointer(&events));
}

static bool
is_same(const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return (false);
	for (guint i = 0; i < a->len; i++) {
		const struct checkpoint_event *x = a->pdata[i];
		const struct checkpoint_event *y = b->pdata[i];

		if (strcmp(x->id, y->id) != 0 || x->len != y->len ||
		    memcmp(x->data, y->data, x->len) != 0)
			return (false);
	}
	return (true);
}

/* The runs of the stream that a read shows, by their ids. */
static GHashTable *
runs_read(const struct store_reply *reply, const char *stream)
{
	GHashTable *runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);

	for (size_t i = 0; i < reply->count; i++) {
		struct record record;

		if (!g_str_has_prefix(reply->records[i].key, stream) ||
		    !record_decode(&reply->records[i], &record))
			continue;
		run_add(runs, &record);
		record_clear(&record);
	}
	return (runs);
}

/*
 * The runs of which the caller may have the last event: of those with the same
 * beginning, the ones of the highest generation.
 */
static GPtrArray *
runs_current(GHashTable *runs, const char *resumes)
{
	GPtrArray *current = g_ptr_array_new();
	const struct run *named =
	    resumes != NULL ? g_hash_table_lookup(runs, resumes) : NULL;
	const char *began = named != NULL ? named->began : resumes;
	GHashTableIter iter, others;
	void *value, *other;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;
		bool is_last = began == NULL || strcmp(run->began, began) == 0;

		g_hash_table_iter_init(&others, runs);
		while (
		    is_last && g_hash_table_iter_next(&others, NULL, &other)) {
			const struct run *next = other;

			is_last = next->generation <= run->generation ||
			    strcmp(next->began, run->began) != 0;
		}
		if (is_last)
			g_ptr_array_add(current, value);
	}
	return (current);
}

GPtrArray *
checkpoint_find(const struct store_reply *reply, const char *stream,
    const char *resumes, const char *last, struct checkpoint_run *run)
{
	g_autoptr(GHashTable) runs = runs_read(reply, stream);
	g_autoptr(GPtrArray) current = runs_current(runs, resumes);
	g_autoptr(GPtrArray) found = NULL;
	const char *began = NULL;
	uint32_t generation = 0;

	run->began = NULL;
	run->generation = 0;
	for (guint i = 0; i < current->len; i++) {
		const struct run *one = current->pdata[i];
		g_autoptr(GPtrArray) events = run_events(one, last);

		if (events == NULL ||
		    (found != NULL && !is_same(found, events)))
			return (NULL);
		if (found == NULL) {
			found = g_steal_pointer(&events);
			began = one->began;
			generation = one->generation + 1;
		} else if (g_strcmp0(began, one->began) != 0) {
			began = NULL;
			generation = 0;
		}
	}
	run->began = g_strdup(began);
	run->generation = generation;
	return (g_steal_pointer(&found));
}

bool
checkpoint_is_expired(const struct store_record *record, clk_ms wall)
{
	struct record decoded;
	bool is_expired;

	if (!record_decode(record, &decoded))
		return (false);
	is_expired = wall - (clk_ms)decoded.run.recorded >
	    (clk_ms)decoded.run.life + EXPIRY_MARGIN_MS;
	record_clear(&decoded);
	return (is_expired);
}
