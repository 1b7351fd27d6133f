/*
 * Sweeping of expired records, against a store in memory.
 */
#include <glib.h>
#include <string.h>

#include "store/swp.h"

#define RETENTION 1000

struct memory {
	struct ev_loop *loop;
	GHashTable *records; /* key -> place, as struct sto_place */
	unsigned reads;
	unsigned drops;
	bool conflict; /* the place changes between a read and an append */
	bool refuses;
};

static void
append(void *arg, const struct sto_place *place, int64_t end,
    const struct sto_record *records, size_t count, clk_ms timeout,
    sto_done *done, void *done_arg)
{
	struct memory *memory = arg;
	struct sto_reply reply = {.status = STO_OK};

	(void)place;
	(void)timeout;
	/* A record may have been written again since it was read. */
	g_assert_cmpint(end, ==, 7);
	if (memory->conflict)
		reply.status = STO_CONFLICT;
	for (size_t i = 0; i < count && reply.status == STO_OK; i++) {
		g_assert_null(records[i].value);
		(void)g_hash_table_remove(memory->records, records[i].key);
		memory->drops++;
	}
	done(done_arg, &reply);
}

static void
read_place(void *arg, const struct sto_place *place, clk_ms timeout,
    sto_done *done, void *done_arg)
{
	struct memory *memory = arg;
	struct sto_record records[16];
	struct sto_reply reply = {
	    .status = STO_OK, .end = 7, .records = records};
	GHashTableIter iter;
	void *key, *value;

	(void)timeout;
	memory->reads++;
	if (memory->refuses)
		reply.status = STO_REFUSED;
	g_hash_table_iter_init(&iter, memory->records);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct sto_place *at = value;

		if (at->space == place->space && at->slot == place->slot)
			records[reply.count++] =
			    (struct sto_record){key, key, strlen(key)};
	}
	done(done_arg, &reply);
}

static const struct sto_ops memory_ops = {append, read_place};

static bool
is_old(const struct sto_record *record, clk_ms retention, clk_ms wall)
{
	(void)wall;
	g_assert_cmpint(retention, ==, RETENTION);
	return (strncmp(record->key, "old", 3) == 0);
}

static const struct swp_rule rules[] = {
    {STO_TURNS, is_old}, {STO_BUDGETS, is_old}};

static void
put(struct memory *memory, const char *key, enum sto_space space, uint32_t slot)
{
	const struct sto_place place = {space, slot};

	(void)g_hash_table_insert(
	    memory->records, g_strdup(key), g_memdup2(&place, sizeof(place)));
}

static void
memory_open(struct memory *memory)
{
	memset(memory, 0, sizeof(*memory));
	memory->loop = ev_loop_new(EVFLAG_AUTO);
	memory->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	put(memory, "old-turn", STO_TURNS, 0);
	put(memory, "new-turn", STO_TURNS, 0);
	put(memory, "old-budget", STO_BUDGETS, 1);
	put(memory, "old-last", STO_BUDGETS, STO_SLOTS - 1);
}

static void
memory_close(struct memory *memory)
{
	g_hash_table_destroy(memory->records);
	ev_loop_destroy(memory->loop);
}

static struct swp *
sweeper(struct memory *memory, unsigned instances, unsigned rank)
{
	const struct sto sto = {&memory_ops, memory};
	struct swp *swp =
	    swp_open(memory->loop, NULL, &sto, rules, G_N_ELEMENTS(rules));

	swp_retention_set(swp, RETENTION);
	swp_fleet_set(swp, instances, rank);
	return (swp);
}

/* Run the loop until it has looked at so many places. */
static void
run(struct memory *memory, unsigned reads)
{
	/* A place takes 62 ms with one instance, under the period below. */
	for (int i = 0; i < 200000 && memory->reads < reads; i++) {
		(void)ev_run(memory->loop, EVRUN_NOWAIT);
		g_usleep(100);
	}
	g_assert_cmpuint(memory->reads, >=, reads);
}

/* Expired records go, others stay. */
static void
test_drops(void)
{
	struct memory memory;
	struct swp *swp;

	memory_open(&memory);
	swp = sweeper(&memory, 1, 0);
	run(&memory, 2);
	g_assert_false(g_hash_table_contains(memory.records, "old-turn"));
	g_assert_true(g_hash_table_contains(memory.records, "new-turn"));
	swp_close(swp);
	memory_close(&memory);
}

/* An instance begins with the place of its rank and leaves the others. */
static void
test_ranks(void)
{
	struct memory memory;
	struct swp *swp;

	memory_open(&memory);
	put(&memory, "old-second", STO_TURNS, 1);
	swp = sweeper(&memory, 4, 1);
	run(&memory, 2);
	g_assert_false(g_hash_table_contains(memory.records, "old-second"));
	g_assert_true(g_hash_table_contains(memory.records, "old-turn"));
	swp_close(swp);
	memory_close(&memory);
}

/* Guards against a record that was written again while it was swept. */
static void
test_conflict(void)
{
	struct memory memory;
	struct swp *swp;

	memory_open(&memory);
	memory.conflict = true;
	swp = sweeper(&memory, 1, 0);
	run(&memory, 3);
	g_assert_cmpuint(memory.drops, ==, 0);
	swp_close(swp);
	memory_close(&memory);
}

/* A store that refuses does not end the round. */
static void
test_refused(void)
{
	struct memory memory;
	struct swp *swp;

	memory_open(&memory);
	memory.refuses = true;
	swp = sweeper(&memory, 1, 0);
	run(&memory, 3);
	g_assert_cmpuint(memory.drops, ==, 0);
	swp_close(swp);
	memory_close(&memory);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/swp/drops", test_drops);
	g_test_add_func("/swp/ranks", test_ranks);
	g_test_add_func("/swp/conflict", test_conflict);
	g_test_add_func("/swp/refused", test_refused);
	return (g_test_run());
}
