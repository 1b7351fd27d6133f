/*
 * Records of turns, and the cache of turns.
 */
#include <glib.h>
#include <string.h>

#include "turn/turn.h"

/* Bytes of a record that earlier versions did not write. */
#define LATER_SIZE 16

static struct turn *
turn_with_text(const char *id, const char *input, const char *output)
{
	struct turn *turn = turn_new(id, "o");

	(void)g_byte_array_append(
	    turn->input, (const guint8 *)input, (guint)strlen(input));
	(void)g_byte_array_append(
	    turn->output, (const guint8 *)output, (guint)strlen(output));
	return (turn);
}

static void
test_record(void)
{
	struct turn *turn = turn_with_text("t3", "in\n", "out\n");
	g_autoptr(GByteArray) bytes = NULL;
	struct turn *read;
	struct store_record record;

	g_ptr_array_add(turn->ancestors, g_strdup("t1"));
	g_ptr_array_add(turn->ancestors, g_strdup("t2"));
	turn->recorded = 1234567890123;
	turn->retention = 60000;
	bytes = turn_encode(turn);
	record = (struct store_record){"t3", bytes->data, bytes->len};
	read = turn_decode("t3", &record);
	g_assert_cmpstr(read->organisation, ==, "o");
	g_assert_cmpint(read->recorded, ==, 1234567890123);
	g_assert_cmpint(read->retention, ==, 60000);
	g_assert_cmpuint(read->ancestors->len, ==, 2);
	g_assert_cmpstr(read->ancestors->pdata[1], ==, "t2");
	g_assert_cmpmem(read->input->data, read->input->len, "in\n", 3);
	g_assert_cmpmem(read->output->data, read->output->len, "out\n", 4);
	turn_unref(read);
	turn_unref(turn);
	/*
	 * A truncated record is rejected, except where it is the whole record
	 * of an earlier version.
	 */
	for (guint len = 0; len < bytes->len; len++) {
		g_autofree guint8 *cut = g_memdup2(bytes->data, len);

		record = (struct store_record){"t3", cut, len};
		read = turn_decode("t3", &record);
		if (len != bytes->len - LATER_SIZE) {
			g_assert_null(read);
			continue;
		}
		g_assert_cmpuint(read->ancestors->len, ==, 2);
		g_assert_cmpmem(
		    read->output->data, read->output->len, "out\n", 4);
		g_assert_cmpint(read->retention, ==, 0);
		turn_unref(read);
	}
}

/* Names and ids that a caller or an operator may choose. */
static const char *const odd_texts[] = {"a", "a b", " ", "a  b ", "7/a b/c",
    "1/a/1 1/a/2", "a,b;c=d", "\"a\\", "\xc3\xa9t\xc3\xa9", "a\tb", "/", ""};

static void
assert_same_ancestors(const struct turn *read, const struct turn *turn)
{
	g_assert_cmpuint(read->ancestors->len, ==, turn->ancestors->len);
	for (guint i = 0; i < turn->ancestors->len; i++)
		g_assert_cmpstr(
		    read->ancestors->pdata[i], ==, turn->ancestors->pdata[i]);
}

/*
 * Guards against a program whose history can't be found any more: any id of any
 * organisation comes back from a turn's record, at any length of the chain.
 */
static void
test_ids(void)
{
	const size_t count = G_N_ELEMENTS(odd_texts);

	for (size_t i = 0; i < count * count * count; i++) {
		const char *organisation = odd_texts[i % count];
		struct turn *turn = turn_new("t", organisation);
		g_autoptr(GByteArray) bytes = NULL;
		struct store_record record;
		struct turn *read;

		for (size_t k = 0; k < 4; k++)
			g_ptr_array_add(turn->ancestors,
			    g_strdup_printf("%zu/%s/%s", strlen(organisation),
				organisation,
				odd_texts[(k % 2 == 0 ? i / count
						      : i / count / count) %
				    count]));
		bytes = turn_encode(turn);
		record = (struct store_record){"t", bytes->data, bytes->len};
		read = turn_decode("t", &record);
		g_assert_nonnull(read);
		g_assert_cmpstr(read->organisation, ==, organisation);
		assert_same_ancestors(read, turn);
		turn_unref(read);
		turn_unref(turn);
	}
}

/*
 * The same for records of earlier versions, where spaces separate the ids: as
 * long as only the organisation's name has spaces.
 */
static void
test_ids_earlier(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_texts); i++) {
		const char *organisation = odd_texts[i];
		struct turn *turn = turn_new("t", organisation);
		g_autoptr(GByteArray) bytes = NULL;
		struct store_record record;
		struct turn *read;

		for (int k = 0; k < 3; k++)
			g_ptr_array_add(turn->ancestors,
			    g_strdup_printf("%zu/%s/a%d", strlen(organisation),
				organisation, k));
		turn->recorded = 1000000;
		bytes = turn_encode(turn);
		/* Without what earlier versions did not write. */
		record = (struct store_record){
		    "t", bytes->data, 4 + 9 + 4 + strlen(organisation) + 4 + 4};
		for (guint k = 0; k < 3; k++)
			record.len += strlen(turn->ancestors->pdata[k]);
		record.len += 2;
		read = turn_decode("t", &record);
		g_assert_nonnull(read);
		g_assert_cmpint(read->retention, ==, 0);
		assert_same_ancestors(read, turn);
		turn_unref(read);
		turn_unref(turn);
	}
}

/* The records of a turn as a read of the store returns them, but one. */
static struct turn *
join_without(const GPtrArray *records, guint left_out)
{
	g_autoptr(GArray) found =
	    g_array_new(FALSE, FALSE, sizeof(struct store_record));
	struct store_reply reply = {.status = STORE_OK};

	for (guint i = 0; i < records->len; i++) {
		const struct turn_record *record = records->pdata[i];
		const struct store_record one = {
		    record->key, record->value->data, record->value->len};

		if (i != left_out)
			g_array_append_val(found, one);
	}
	reply.records = (const struct store_record *)(void *)found->data;
	reply.count = found->len;
	return (turn_join("t", &reply));
}

/*
 * A turn of any size comes back from its records, of which none is too large,
 * and doesn't if one of them is missing.
 */
static void
test_split(void)
{
	const size_t record_max = 600;

	for (size_t size = 0; size < 4 * record_max; size += 7) {
		g_autofree char *input = g_strnfill(size, 'x');
		struct turn *turn = turn_with_text("t", input, "out");
		g_autoptr(GPtrArray) records = NULL;
		struct turn *whole;

		turn->recorded = 5000;
		records = turn_split(turn, record_max);
		for (guint i = 0; i < records->len; i++) {
			const struct turn_record *record = records->pdata[i];
			const struct store_record one = {record->key,
			    record->value->data, record->value->len};

			g_assert_cmpuint(
			    1 + strlen(record->key) + record->value->len, <=,
			    record_max);
			g_assert_null(join_without(records, i));
			g_assert_true(turn_is_expired(&one, 1000, 50000));
			g_assert_false(turn_is_expired(&one, 1000, 6000));
		}
		whole = join_without(records, records->len);
		g_assert_nonnull(whole);
		g_assert_cmpmem(
		    whole->input->data, whole->input->len, input, size);
		g_assert_cmpint(whole->recorded, ==, 5000);
		turn_unref(whole);
		turn_unref(turn);
	}
}

/*
 * Guards against a large turn of an earlier version that can't be read while it
 * is written again: its parts and the new ones are of the same sizes.
 */
static void
test_split_earlier(void)
{
	const size_t record_max = 600;
	g_autofree char *input = g_strnfill(3 * record_max, 'x');
	struct turn *turn = turn_with_text("t", input, "out");
	g_autoptr(GPtrArray) records = turn_split(turn, record_max);

	g_assert_cmpuint(records->len, >, 3);
	for (guint mixed = 0; mixed < 1U << records->len; mixed++) {
		g_autoptr(GPtrArray) some =
		    g_ptr_array_new_with_free_func(turn_record_free);
		struct turn *whole;

		for (guint i = 0; i < records->len; i++) {
			const struct turn_record *record = records->pdata[i];
			struct turn_record *copy =
			    g_new0(struct turn_record, 1);

			copy->key = g_strdup(record->key);
			copy->value = g_byte_array_new();
			(void)g_byte_array_append(copy->value,
			    record->value->data, record->value->len);
			if ((mixed & 1U << i) != 0) {
				copy->value->data[0] = 3;
				(void)g_byte_array_remove_range(
				    copy->value, 9, sizeof(guint64));
			}
			g_ptr_array_add(some, copy);
		}
		whole = join_without(some, some->len);
		g_assert_nonnull(whole);
		g_assert_cmpmem(whole->input->data, whole->input->len, input,
		    3 * record_max);
		turn_unref(whole);
	}
	turn_unref(turn);
}

/*
 * Guards against a turn that is dropped within its retention, and a chain whose
 * first turns expire while its last one is kept, whatever the configuration
 * was when each was recorded and is when the record is looked at: at any age a
 * record either is renewed when the next turn is recorded, or doesn't expire
 * within that turn's retention.
 */
static void
test_expiry(void)
{
	static const clk_ms retentions[] = {0, 1000, 10000, 60000, 300000};
	const size_t count = G_N_ELEMENTS(retentions);

	for (size_t i = 0; i < count * count * count; i++) {
		clk_ms own = retentions[i % count];
		clk_ms later = retentions[i / count % count];
		clk_ms configured = retentions[i / count / count];

		for (clk_ms age = 0; age < 4 * MAX(own, later); age += 499) {
			struct turn *turn = turn_with_text("t", "in", "out");
			g_autoptr(GByteArray) bytes = NULL;
			struct store_record record;
			clk_ms wall;

			turn->recorded = 1000000;
			turn->retention = own;
			wall = turn->recorded + age;
			bytes = turn_encode(turn);
			record =
			    (struct store_record){"t", bytes->data, bytes->len};
			g_assert_true(turn_needs_renewal(turn, later, wall) ||
			    !turn_is_expired(
				&record, configured, wall + later));
			g_assert_true(age >= MAX(own, configured) ||
			    !turn_is_expired(&record, configured, wall));
			g_assert_true(turn_is_expired(&record, configured,
			    wall + 2 * MAX(own, configured) + 16000));
			turn_unref(turn);
		}
	}
	g_assert_false(
	    turn_is_expired(&(struct store_record){"t", "other", 5}, 60000, 0));
}

/*
 * Guards against turns of earlier versions, whose records don't state their
 * retention, that are dropped when their route has gone, and against chains of
 * them that are not renewed.
 */
static void
test_expiry_earlier(void)
{
	/* Version, time, organisation, ancestors, input, output; a part. */
	static const guint8 whole[] = {2, 0, 0, 0, 0, 0, 15, 66, 64, 0, 0, 0, 1,
	    'o', 0, 0, 0, 5, 'a', ' ', 'b', ' ', 'c', 0, 0, 0, 2, 'i', 'n', 0,
	    0, 0, 1, 'x'};
	static const guint8 part[] = {
	    3, 0, 0, 0, 0, 0, 15, 66, 64, 0, 0, 0, 1, 0, 0, 0, 2, 'x'};
	const struct store_record records[] = {
	    {"t", whole, sizeof(whole)}, {"t\n1", part, sizeof(part)}};
	struct turn *turn = turn_decode("t", &records[0]);

	g_assert_nonnull(turn);
	g_assert_cmpuint(turn->ancestors->len, ==, 3);
	g_assert_cmpmem(turn->input->data, turn->input->len, "in", 2);
	g_assert_true(turn_needs_renewal(turn, 1000, turn->recorded));
	for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
		g_assert_false(turn_is_expired(
		    &records[i], 1000, turn->recorded + 600000));
		g_assert_true(turn_is_expired(
		    &records[i], 1000, turn->recorded + 86400000));
	}
	turn_unref(turn);
}

/* A record whose time no instance writes is no turn and doesn't expire. */
static void
test_odd_time(void)
{
	const clk_ms odd[] = {INT64_MIN, INT64_MIN + 408, -1, INT64_MAX};

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		struct turn *turn = turn_with_text("t", "in", "out");
		g_autoptr(GByteArray) bytes = NULL;
		struct store_record record;

		turn->recorded = odd[i];
		bytes = turn_encode(turn);
		record = (struct store_record){"t", bytes->data, bytes->len};
		g_assert_false(turn_is_expired(&record, 1000, 5000));
		g_assert_null(turn_decode("t", &record));
		turn_unref(turn);
	}
}

static void
test_cache(void)
{
	struct turn_cache *cache = turn_cache_open(2000, 1000);
	g_autofree char *large = g_strnfill(700, 'x');

	turn_cache_put(cache, turn_with_text("a", large, ""), 0);
	turn_cache_put(cache, turn_with_text("b", large, ""), 1);
	g_assert_nonnull(turn_cache_get(cache, "a", 2));
	/* The least recently used turn is evicted. */
	turn_cache_put(cache, turn_with_text("c", large, ""), 3);
	g_assert_nonnull(turn_cache_get(cache, "a", 4));
	g_assert_null(turn_cache_get(cache, "b", 4));
	g_assert_cmpuint(turn_cache_bytes(cache), <=, 2000);
	turn_cache_expire(cache, 1003);
	g_assert_null(turn_cache_get(cache, "c", 1003));
	g_assert_nonnull(turn_cache_get(cache, "a", 1003));
	/* A turn with the same id replaces the old one. */
	turn_cache_put(cache, turn_with_text("a", "new", ""), 1003);
	g_assert_cmpuint(turn_cache_get(cache, "a", 1003)->input->len, ==, 3);
	turn_cache_close(cache);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/turn/record", test_record);
	g_test_add_func("/turn/ids", test_ids);
	g_test_add_func("/turn/ids-earlier", test_ids_earlier);
	g_test_add_func("/turn/split", test_split);
	g_test_add_func("/turn/split-earlier", test_split_earlier);
	g_test_add_func("/turn/expiry", test_expiry);
	g_test_add_func("/turn/expiry-earlier", test_expiry_earlier);
	g_test_add_func("/turn/odd-time", test_odd_time);
	g_test_add_func("/turn/cache", test_cache);
	return (g_test_run());
}
