/*
 * Tests the sweeping of expired records with a store in memory.
 */
#include <glib.h>
#include <string.h>

#include "store/sweeper.h"

#define RETENTION 1000

struct memory {
	struct ev_loop *loop;
	GHashTable *records; /* key -> struct store_partition */
	unsigned reads;
	unsigned drops;
	bool conflict; /* the partition changes between read and append */
	bool refuses;
};

static void
append(void *arg, const struct store_partition *partition, int64_t end,
    const struct store_record *records, size_t count, clk_ms timeout,
    store_done_cb *done, void *done_arg)
{
	struct memory *memory = arg;
	struct store_reply reply = {.status = STORE_OK};

	(void)partition;
	(void)timeout;
	/* The sweeper must state the end offset that it has read. */
	g_assert_cmpint(end, ==, 7);
	if (memory->conflict)
		reply.status = STORE_CONFLICT;
	for (size_t i = 0; i < count && reply.status == STORE_OK; i++) {
		g_assert_null(records[i].value);
		(void)g_hash_table_remove(memory->records, records[i].key);
		memory->drops++;
	}
	done(done_arg, &reply);
}

static void
read_partition(void *arg, const struct store_partition *partition,
    clk_ms timeout, store_done_cb *done, void *done_arg)
{
	struct memory *memory = arg;
	struct store_record records[16];
	struct store_reply reply = {
	    .status = STORE_OK, .end = 7, .records = records};
	GHashTableIter iter;
	void *key, *value;

	(void)timeout;
	memory->reads++;
	if (memory->refuses)
		reply.status = STORE_REFUSED;
	g_hash_table_iter_init(&iter, memory->records);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct store_partition *at = value;

		if (at->space == partition->space &&
		    at->slot == partition->slot)
			records[reply.count++] =
			    (struct store_record){key, key, strlen(key)};
	}
	done(done_arg, &reply);
}

static const struct store_ops memory_ops = {append, read_partition};

static bool
is_old(const struct store_record *record, clk_ms retention, clk_ms wall)
{
	(void)wall;
	g_assert_cmpint(retention, ==, RETENTION);
	return (strncmp(record->key, "old", 3) == 0);
}

static const struct sweeper_rule rules[] = {
    {STORE_TURNS, STORE_SLOT_COUNT, is_old},
    {STORE_BUDGETS, STORE_SLOT_COUNT, is_old}};

static void
put(struct memory *memory, const char *key, enum store_space space,
    uint32_t slot)
{
	const struct store_partition partition = {space, slot};

	(void)g_hash_table_insert(memory->records, g_strdup(key),
	    g_memdup2(&partition, sizeof(partition)));
}

static void
memory_open(struct memory *memory)
{
	memset(memory, 0, sizeof(*memory));
	memory->loop = ev_loop_new(EVFLAG_AUTO);
	memory->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	put(memory, "old-turn", STORE_TURNS, 0);
	put(memory, "new-turn", STORE_TURNS, 0);
	put(memory, "old-budget", STORE_BUDGETS, 1);
	put(memory, "old-last", STORE_BUDGETS, STORE_SLOT_COUNT - 1);
}

static void
memory_close(struct memory *memory)
{
	g_hash_table_destroy(memory->records);
	ev_loop_destroy(memory->loop);
}

static struct sweeper *
sweeper_start(struct memory *memory, unsigned instances, unsigned rank)
{
	const struct store store = {.ops = &memory_ops, .impl = memory};
	struct sweeper *sweeper = sweeper_open(
	    memory->loop, NULL, &store, rules, G_N_ELEMENTS(rules));

	sweeper_retention_set(sweeper, RETENTION);
	sweeper_fleet_set(sweeper, instances, rank);
	return (sweeper);
}

/* Run the loop until the sweeper has read that many partitions. */
static void
run(struct memory *memory, unsigned reads)
{
	/* With one instance the sweeper reads a partition every 62 ms. */
	for (int i = 0; i < 200000 && memory->reads < reads; i++) {
		(void)ev_run(memory->loop, EVRUN_NOWAIT);
		g_usleep(100);
	}
	g_assert_cmpuint(memory->reads, >=, reads);
}

/* Expired records are deleted, others stay. */
static void
test_drops(void)
{
	struct memory memory;
	struct sweeper *sweeper;

	memory_open(&memory);
	sweeper = sweeper_start(&memory, 1, 0);
	run(&memory, 2);
	g_assert_false(g_hash_table_contains(memory.records, "old-turn"));
	g_assert_true(g_hash_table_contains(memory.records, "new-turn"));
	sweeper_close(sweeper);
	memory_close(&memory);
}

/* An instance sweeps only the partitions of its rank. */
static void
test_ranks(void)
{
	struct memory memory;
	struct sweeper *sweeper;

	memory_open(&memory);
	put(&memory, "old-second", STORE_TURNS, 1);
	sweeper = sweeper_start(&memory, 4, 1);
	run(&memory, 2);
	g_assert_false(g_hash_table_contains(memory.records, "old-second"));
	g_assert_true(g_hash_table_contains(memory.records, "old-turn"));
	sweeper_close(sweeper);
	memory_close(&memory);
}

/* A record that is rewritten between read and append isn't deleted. */
static void
test_conflict(void)
{
	struct memory memory;
	struct sweeper *sweeper;

	memory_open(&memory);
	memory.conflict = true;
	sweeper = sweeper_start(&memory, 1, 0);
	run(&memory, 3);
	g_assert_cmpuint(memory.drops, ==, 0);
	sweeper_close(sweeper);
	memory_close(&memory);
}

/*
 * Guards against records that are dropped by a configuration that may be out
 * of date: nothing is swept meanwhile, and the sweeper goes on afterwards.
 */
static void
test_paused(void)
{
	struct memory memory;
	struct sweeper *sweeper;

	memory_open(&memory);
	sweeper = sweeper_start(&memory, 1, 0);
	sweeper_pause_set(sweeper, true);
	for (int i = 0; i < 2000; i++) {
		(void)ev_run(memory.loop, EVRUN_NOWAIT);
		g_usleep(100);
	}
	g_assert_cmpuint(memory.reads, ==, 0);
	sweeper_pause_set(sweeper, false);
	run(&memory, 2);
	g_assert_false(g_hash_table_contains(memory.records, "old-turn"));
	sweeper_close(sweeper);
	memory_close(&memory);
}

/* The round continues after a read that the store refuses. */
static void
test_refused(void)
{
	struct memory memory;
	struct sweeper *sweeper;

	memory_open(&memory);
	memory.refuses = true;
	sweeper = sweeper_start(&memory, 1, 0);
	run(&memory, 3);
	g_assert_cmpuint(memory.drops, ==, 0);
	sweeper_close(sweeper);
	memory_close(&memory);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sweeper/drops", test_drops);
	g_test_add_func("/sweeper/ranks", test_ranks);
	g_test_add_func("/sweeper/conflict", test_conflict);
	g_test_add_func("/sweeper/refused", test_refused);
	g_test_add_func("/sweeper/paused", test_paused);
	return (g_test_run());
}
