#include "turn/turn.h"

#include <string.h>

/*
 * Record: version, time of day in ms (8 bytes), then strings, each with a
 * length of 4 bytes, the most significant first: organisation, ancestors
 * (separated by spaces), input, output, the retention in ms (8 bytes), and the
 * ancestors once more as strings, if one has a space.  Earlier versions wrote
 * the first four and ignore the others.
 */
#define RECORD_VERSION 2

enum string {
	STRING_ORGANISATION,
	STRING_JOINED,
	STRING_INPUT,
	STRING_OUTPUT,
	STRING_RETENTION,
	STRING_ANCESTORS,
	STRING_COUNT
};

#define EARLIER_STRINGS STRING_RETENTION
/*
 * Record of a part: version, time of day in ms and retention (8 bytes each),
 * number of the part and number of parts (4 bytes each), then the part of such
 * a record.  Part 0 has the turn's id as its key, the others the id and their
 * number.  Earlier versions wrote no retention.
 */
#define PART_VERSION	   4
#define PART_HEAD	   25
#define OLDER_PART_VERSION 3
#define OLDER_PART_HEAD	   17
#define RETENTION_AT	   9 /* in the head of a part */
/* Retention of records that state none. */
#define UNSTATED_RETENTION_MS (1800 * CLK_SECOND)
/* Parts of a turn that are read. */
#define PARTS_MAX 256
/* Allows for clock skew between instances and for a delayed expiry pass. */
#define EXPIRY_MARGIN_MS (15 * CLK_SECOND)

struct turn_cache {
	size_t max_bytes;
	size_t bytes;
	clk_ms retention;
	GHashTable *turns; /* id -> GList node in order */
	GQueue order; /* least recently used first */
};

struct turn *
turn_new(const char *id, const char *organisation)
{
	struct turn *turn = g_new0(struct turn, 1);

	turn->id = g_strdup(id);
	turn->organisation = g_strdup(organisation);
	turn->ancestors = g_ptr_array_new_with_free_func(g_free);
	turn->input = g_byte_array_new();
	turn->output = g_byte_array_new();
	turn->refs = 1;
	return (turn);
}

struct turn *
turn_ref(struct turn *turn)
{
	turn->refs++;
	return (turn);
}

void
turn_unref(struct turn *turn)
{
	if (turn == NULL || --turn->refs > 0)
		return;
	g_free(turn->id);
	g_free(turn->organisation);
	g_ptr_array_free(turn->ancestors, TRUE);
	(void)g_byte_array_unref(turn->input);
	(void)g_byte_array_unref(turn->output);
	g_free(turn);
}

static void
put_string(GByteArray *out, const void *data, size_t len)
{
	guint32 size = GUINT32_TO_BE((guint32)len);

	(void)g_byte_array_append(out, (const guint8 *)&size, sizeof(size));
	(void)g_byte_array_append(out, data, (guint)len);
}

/* The ancestors as strings; none if they can be told apart when joined. */
static GByteArray *
ancestors_encode(const GPtrArray *ancestors)
{
	GByteArray *out = g_byte_array_new();
	bool has_space = false;

	for (guint i = 0; i < ancestors->len; i++)
		has_space |= strchr(ancestors->pdata[i], ' ') != NULL;
	for (guint i = 0; has_space && i < ancestors->len; i++)
		put_string(
		    out, ancestors->pdata[i], strlen(ancestors->pdata[i]));
	return (out);
}

GByteArray *
turn_encode(const struct turn *turn)
{
	GByteArray *out =
	    g_byte_array_sized_new(turn->input->len + turn->output->len + 256);
	g_autoptr(GString) joined = g_string_new(NULL);
	g_autoptr(GByteArray) ancestors = ancestors_encode(turn->ancestors);
	guint8 version = RECORD_VERSION;
	guint64 recorded = GUINT64_TO_BE((guint64)turn->recorded);
	guint64 retention = GUINT64_TO_BE((guint64)turn->retention);

	for (guint i = 0; i < turn->ancestors->len; i++)
		g_string_append_printf(joined, "%s%s", i == 0 ? "" : " ",
		    (const char *)turn->ancestors->pdata[i]);
	(void)g_byte_array_append(out, &version, 1);
	(void)g_byte_array_append(
	    out, (const guint8 *)&recorded, sizeof(recorded));
	put_string(out, turn->organisation, strlen(turn->organisation));
	put_string(out, joined->str, joined->len);
	put_string(out, turn->input->data, turn->input->len);
	put_string(out, turn->output->data, turn->output->len);
	put_string(out, &retention, sizeof(retention));
	put_string(out, ancestors->data, ancestors->len);
	return (out);
}

static bool
get_string(
    const guint8 **at, const guint8 *end, const guint8 **data, size_t *len)
{
	guint32 size;

	if ((size_t)(end - *at) < sizeof(size))
		return (false);
	memcpy(&size, *at, sizeof(size));
	*at += sizeof(size);
	*len = GUINT32_FROM_BE(size);
	if ((size_t)(end - *at) < *len)
		return (false);
	*data = *at;
	*at += *len;
	return (true);
}

static guint64
get_number(const guint8 *bytes)
{
	guint64 value;

	memcpy(&value, bytes, sizeof(value));
	return (GUINT64_FROM_BE(value));
}

/* Read the time of a record; returns false if it isn't a turn's record. */
static bool
get_recorded(const struct store_record *record, clk_ms *recorded)
{
	const guint8 *bytes = record->value;
	guint64 value;

	if (record->len < 1 + sizeof(value) ||
	    (bytes[0] != RECORD_VERSION && bytes[0] != PART_VERSION &&
		bytes[0] != OLDER_PART_VERSION))
		return (false);
	value = get_number(bytes + 1);
	*recorded = (clk_ms)value;
	return (value <= STORE_TIME_MAX);
}

/* The strings of a whole turn's record. */
struct strings {
	const guint8 *data[STRING_COUNT];
	size_t len[STRING_COUNT];
};

/* Returns false if the record is malformed; earlier ones have fewer strings. */
static bool
get_strings(const struct store_record *record, struct strings *strings,
    bool *is_earlier)
{
	const guint8 *at = record->value;
	const guint8 *end = at + record->len;

	*is_earlier = false;
	at += 1 + sizeof(guint64);
	for (int i = 0; i < STRING_COUNT; i++) {
		*is_earlier = i == EARLIER_STRINGS && at == end;
		if (*is_earlier)
			return (true);
		if (!get_string(&at, end, &strings->data[i], &strings->len[i]))
			return (false);
	}
	return (strings->len[STRING_RETENTION] == sizeof(guint64));
}

/* The retention that a turn's record states, or that of those which don't. */
static clk_ms
get_retention(const struct store_record *record)
{
	const guint8 *bytes = record->value;
	struct strings strings;
	bool is_earlier;
	guint64 value = UNSTATED_RETENTION_MS;

	if (bytes[0] == PART_VERSION && record->len >= PART_HEAD)
		value = get_number(bytes + RETENTION_AT);
	else if (bytes[0] == RECORD_VERSION &&
	    get_strings(record, &strings, &is_earlier) && !is_earlier)
		value = get_number(strings.data[STRING_RETENTION]);
	return ((clk_ms)MIN(value, STORE_TIME_MAX));
}

bool
turn_is_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall)
{
	clk_ms recorded;

	return (get_recorded(record, &recorded) &&
	    wall - recorded >
		2 * MAX(retention, get_retention(record)) + EXPIRY_MARGIN_MS);
}

bool
turn_needs_renewal(const struct turn *turn, clk_ms retention, clk_ms wall)
{
	return (wall + retention > turn->recorded + 2 * turn->retention);
}

/*
 * Split ids that are joined by spaces.  All have the organisation's scope, by
 * which ids that have spaces themselves are told apart.
 */
static void
ids_split(GPtrArray *ids, const char *joined, const char *organisation)
{
	g_autofree char *scope =
	    g_strdup_printf("%zu/%s/", strlen(organisation), organisation);
	g_autofree char *separator = g_strconcat(" ", scope, NULL);
	bool is_scoped = g_str_has_prefix(joined, scope);
	g_auto(GStrv) parts = is_scoped
	    ? g_strsplit(joined + strlen(scope), separator, -1)
	    : g_strsplit(joined, " ", -1);

	for (char **part = parts; *part != NULL; part++)
		g_ptr_array_add(
		    ids, g_strconcat(is_scoped ? scope : "", *part, NULL));
}

/* Returns false if the list of ancestors is malformed. */
static bool
ancestors_decode(
    struct turn *turn, const struct strings *strings, bool is_earlier)
{
	const guint8 *at, *end, *data;
	size_t len;

	if (is_earlier || strings->len[STRING_ANCESTORS] == 0) {
		g_autofree char *joined =
		    g_strndup((const char *)strings->data[STRING_JOINED],
			strings->len[STRING_JOINED]);

		if (joined[0] != '\0')
			ids_split(turn->ancestors, joined, turn->organisation);
		return (true);
	}
	at = strings->data[STRING_ANCESTORS];
	end = at + strings->len[STRING_ANCESTORS];
	while (at < end) {
		if (!get_string(&at, end, &data, &len))
			return (false);
		g_ptr_array_add(
		    turn->ancestors, g_strndup((const char *)data, len));
	}
	return (true);
}

struct turn *
turn_decode(const char *id, const struct store_record *record)
{
	const guint8 *bytes = record->value;
	g_autofree char *organisation = NULL;
	struct strings strings;
	struct turn *turn;
	clk_ms recorded;
	bool is_earlier;

	if (!get_recorded(record, &recorded) || bytes[0] != RECORD_VERSION ||
	    !get_strings(record, &strings, &is_earlier))
		return (NULL);
	organisation =
	    g_strndup((const char *)strings.data[STRING_ORGANISATION],
		strings.len[STRING_ORGANISATION]);
	turn = turn_new(id, organisation);
	turn->recorded = recorded;
	if (!is_earlier)
		turn->retention = (clk_ms)MIN(
		    get_number(strings.data[STRING_RETENTION]), STORE_TIME_MAX);
	(void)g_byte_array_append(turn->input, strings.data[STRING_INPUT],
	    (guint)strings.len[STRING_INPUT]);
	(void)g_byte_array_append(turn->output, strings.data[STRING_OUTPUT],
	    (guint)strings.len[STRING_OUTPUT]);
	if (!ancestors_decode(turn, &strings, is_earlier)) {
		turn_unref(turn);
		return (NULL);
	}
	return (turn);
}

void
turn_record_free(void *data)
{
	struct turn_record *record = data;

	g_free(record->key);
	(void)g_byte_array_unref(record->value);
	g_free(record);
}

/* No id has a line feed: ids are values of header fields. */
static char *
part_key(const char *id, guint32 part)
{
	return (part == 0 ? g_strdup(id) : g_strdup_printf("%s\n%u", id, part));
}

static void
record_add(GPtrArray *records, char *key, GByteArray *value)
{
	struct turn_record *record = g_new0(struct turn_record, 1);

	record->key = key;
	record->value = value;
	g_ptr_array_add(records, record);
}

/* The length of the key counts as a byte, too. */
static size_t
record_size(size_t key_len, size_t value_len)
{
	return (1 + key_len + value_len);
}

GPtrArray *
turn_split(const struct turn *turn, size_t record_max)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(turn_record_free);
	g_autoptr(GByteArray) whole = turn_encode(turn);
	/*
	 * Parts are as large as those of earlier versions, so that a turn that
	 * is being written again can be read.  Keys are shorter than the
	 * longest one by more than the heads differ.
	 */
	size_t overhead = record_size(STORE_KEY_MAX, OLDER_PART_HEAD);
	size_t room = record_max > overhead ? record_max - overhead : 1;
	guint64 retention = GUINT64_TO_BE((guint64)turn->retention);
	guint32 count;

	if (record_max == 0 ||
	    record_size(strlen(turn->id), whole->len) <= record_max) {
		record_add(
		    records, g_strdup(turn->id), g_steal_pointer(&whole));
		return (records);
	}
	count = (guint32)((whole->len + room - 1) / room);
	/* Part 0 comes last: a reader that finds it finds the others. */
	for (guint32 part = count; part-- > 0;) {
		size_t from = part * room;
		guint32 numbers[2] = {
		    GUINT32_TO_BE(part), GUINT32_TO_BE(count)};
		GByteArray *value = g_byte_array_new();
		guint8 version = PART_VERSION;

		(void)g_byte_array_append(value, &version, 1);
		(void)g_byte_array_append(
		    value, whole->data + 1, sizeof(guint64));
		(void)g_byte_array_append(
		    value, (const guint8 *)&retention, sizeof(retention));
		(void)g_byte_array_append(
		    value, (const guint8 *)numbers, sizeof(numbers));
		(void)g_byte_array_append(value, whole->data + from,
		    (guint)MIN(room, whole->len - from));
		record_add(records, part_key(turn->id, part), value);
	}
	return (records);
}

/* Append part number part to whole; returns the number of parts, or 0. */
static guint32
part_append(GByteArray *whole, const struct store_record *record, guint32 part)
{
	const guint8 *bytes;
	guint32 numbers[2];
	size_t head;

	if (record == NULL || record->len < OLDER_PART_HEAD)
		return (0);
	bytes = record->value;
	head = bytes[0] == PART_VERSION ? PART_HEAD : OLDER_PART_HEAD;
	if ((bytes[0] != PART_VERSION && bytes[0] != OLDER_PART_VERSION) ||
	    record->len < head)
		return (0);
	memcpy(numbers, bytes + head - sizeof(numbers), sizeof(numbers));
	if (GUINT32_FROM_BE(numbers[0]) != part)
		return (0);
	(void)g_byte_array_append(
	    whole, bytes + head, (guint)(record->len - head));
	return (GUINT32_FROM_BE(numbers[1]));
}

struct turn *
turn_join(const char *id, const struct store_reply *reply)
{
	const struct store_record *first = store_reply_find(reply, id);
	g_autoptr(GByteArray) whole = g_byte_array_new();
	struct store_record record = {.key = id};
	guint32 count;

	if (first == NULL || first->len == 0)
		return (NULL);
	if (((const guint8 *)first->value)[0] == RECORD_VERSION)
		return (turn_decode(id, first));
	count = part_append(whole, first, 0);
	if (count == 0 || count > PARTS_MAX)
		return (NULL);
	for (guint32 part = 1; part < count; part++) {
		g_autofree char *key = part_key(id, part);

		if (part_append(whole, store_reply_find(reply, key), part) !=
		    count)
			return (NULL);
	}
	record.value = whole->data;
	record.len = whole->len;
	return (turn_decode(id, &record));
}

struct turn_cache *
turn_cache_open(size_t max_bytes, clk_ms retention)
{
	struct turn_cache *cache = g_new0(struct turn_cache, 1);

	cache->max_bytes = max_bytes;
	cache->retention = retention;
	cache->turns = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&cache->order);
	return (cache);
}

/* Estimated memory; 32 bytes for each ancestor's id. */
static size_t
turn_bytes(const struct turn *turn)
{
	return (sizeof(*turn) + turn->input->len + turn->output->len +
	    turn->ancestors->len * 32);
}

static void
cache_evict(struct turn_cache *cache, GList *node)
{
	struct turn *turn = node->data;

	cache->bytes -= turn_bytes(turn);
	(void)g_hash_table_remove(cache->turns, turn->id);
	g_queue_delete_link(&cache->order, node);
	turn_unref(turn);
}

void
turn_cache_close(struct turn_cache *cache)
{
	if (cache == NULL)
		return;
	while (cache->order.head != NULL)
		cache_evict(cache, cache->order.head);
	g_hash_table_destroy(cache->turns);
	g_free(cache);
}

void
turn_cache_put(struct turn_cache *cache, struct turn *turn, clk_ms now)
{
	GList *old = g_hash_table_lookup(cache->turns, turn->id);

	if (old != NULL)
		cache_evict(cache, old);
	turn->used = now;
	g_queue_push_tail(&cache->order, turn);
	(void)g_hash_table_insert(cache->turns, turn->id, cache->order.tail);
	cache->bytes += turn_bytes(turn);
	while (cache->bytes > cache->max_bytes && cache->order.length > 1)
		cache_evict(cache, cache->order.head);
}

const struct turn *
turn_cache_get(struct turn_cache *cache, const char *id, clk_ms now)
{
	GList *node = g_hash_table_lookup(cache->turns, id);
	struct turn *turn;

	if (node == NULL)
		return (NULL);
	turn = node->data;
	turn->used = now;
	g_queue_unlink(&cache->order, node);
	g_queue_push_tail_link(&cache->order, node);
	return (turn);
}

void
turn_cache_renewed(
    struct turn_cache *cache, const char *id, clk_ms wall, clk_ms retention)
{
	GList *node = g_hash_table_lookup(cache->turns, id);
	struct turn *turn = node != NULL ? node->data : NULL;

	if (turn == NULL)
		return;
	turn->recorded = wall;
	turn->retention = retention;
}

void
turn_cache_expire(struct turn_cache *cache, clk_ms now)
{
	while (cache->order.head != NULL) {
		const struct turn *turn = cache->order.head->data;

		if (now - turn->used < cache->retention)
			return;
		cache_evict(cache, cache->order.head);
	}
}

size_t
turn_cache_bytes(const struct turn_cache *cache)
{
	return (cache->bytes);
}
