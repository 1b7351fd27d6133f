/*
 * Replicas: gaps, epochs, exports in parts and memory.  A randomised test
 * delivers the messages of an owner and its successors to one holder in any
 * order, and compares the holder's state with the owner's after each step.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lib/test_orders.h"
#include "program/program.h"
#include "program/replica.h"

#define DATACENTRE 1
#define SHARD	   9
#define PROGRAMS   6

enum variant {
	PROTECTED,
	OLD_EPOCH_RELABELLED, /* a former owner's records carry the new epoch */
	GAP_IGNORED /* a record is acknowledged although one is missing */
};

struct sim {
	GRand *rand;
	enum variant variant;
	struct prog_set *progs;
	uint64_t epoch;
	GPtrArray *log; /* records of this epoch */
	GPtrArray *old; /* records of former epochs */
	guint next;
	struct replica_set *replicas;
	char programs[PROGRAMS][PROG_ID_SIZE];
	int program_count;
	unsigned calls;
	clk_ms now;
	uint64_t checked_epoch; /* epoch and seq of the last state compared */
	uint64_t checked_seq;
	unsigned violations;
};

static void
on_record(const struct prog_record *record, void *arg)
{
	struct sim *sim = arg;

	prog_records_add(sim->log, record);
}

static void
on_start(prog_handle handle, void *arg)
{
	(void)handle;
	(void)arg;
}

static void
on_answer(prog_handle handle, const struct prog_answer *answer, void *arg)
{
	(void)handle;
	(void)answer;
	(void)arg;
}

static void
on_release(const char *program, const char *engine, void *arg)
{
	(void)program;
	(void)engine;
	(void)arg;
}

static void
on_random(void *buf, size_t len, void *arg)
{
	struct sim *sim = arg;
	uint8_t *bytes = buf;

	for (size_t i = 0; i < len; i++)
		bytes[i] = (uint8_t)g_rand_int_range(sim->rand, 0, 256);
}

static int
compare_records(gconstpointer a, gconstpointer b)
{
	return (strcmp((*(const struct prog_record *const *)a)->program,
	    (*(const struct prog_record *const *)b)->program));
}

/* Return an export as text that is equal for equal states. */
static char *
export_text(GPtrArray *records)
{
	GString *text = g_string_new(NULL);

	g_ptr_array_sort(records, compare_records);
	for (guint i = 0; i < records->len; i++) {
		const struct prog_record *record =
		    g_ptr_array_index(records, i);
		json_t *payload =
		    json_loadb(record->payload, record->payload_len, 0, NULL);
		json_t *intents = json_object_get(payload, "in");
		json_t *by_key = json_object(), *item;
		char *dump;
		size_t j;

		/* The order of the intents isn't part of the state. */
		json_array_foreach(intents, j, item) json_object_set(by_key,
		    json_string_value(json_object_get(item, "key")), item);
		json_object_set_new(payload, "in", by_key);
		dump = json_dumps(payload, JSON_SORT_KEYS);
		g_string_append_printf(text, "%d %s %" G_GUINT64_FORMAT " %s\n",
		    record->kind, record->program, record->seq, dump);
		free(dump);
		json_decref(payload);
	}
	g_ptr_array_unref(records);
	return (g_string_free(text, FALSE));
}

static void
owner_open(struct sim *sim, GPtrArray *state)
{
	struct prog_options options = {.datacentre = DATACENTRE};
	struct prog_hooks hooks = {.on_record = on_record,
	    .on_start = on_start,
	    .on_answer = on_answer,
	    .on_release = on_release,
	    .random = on_random,
	    .arg = sim};

	sim->progs = prog_set_new(&options, &hooks);
	prog_shard_open(sim->progs, SHARD, ++sim->epoch);
	for (guint i = 0; state != NULL && i < state->len; i++)
		g_assert_true(prog_recover_apply(
		    sim->progs, sim->now, g_ptr_array_index(state, i)));
	prog_recover_end(sim->progs, sim->now, SHARD, true);
	sim->next = 0;
}

static void
sim_open(struct sim *sim, uint32_t seed, enum variant variant)
{
	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->variant = variant;
	sim->log = prog_records_new();
	sim->old = prog_records_new();
	sim->replicas = replica_set_new();
	owner_open(sim, NULL);
}

static void
sim_close(struct sim *sim)
{
	prog_set_free(sim->progs);
	replica_set_free(sim->replicas);
	g_ptr_array_unref(sim->log);
	g_ptr_array_unref(sim->old);
	g_rand_free(sim->rand);
}

static int
below(struct sim *sim, int bound)
{
	return (g_rand_int_range(sim->rand, 0, bound));
}

/* Make a call, so that the owner emits a begin and mostly an end record. */
static void
owner_call(struct sim *sim)
{
	struct prog_call call = {.organisation = "peachline",
	    .kind = (enum prog_call_kind)below(sim, 3),
	    .prompt_tokens = 3,
	    .answer_tokens = 5};
	struct prog_result result = {.vd = vd_ok(),
	    .tokens = 4,
	    .engine = "e1",
	    .status = 200,
	    .content_type = "text/plain",
	    .reply = "\xff\x00\x01",
	    .reply_len = 3};
	struct prog_answer answer;
	prog_handle handle;
	char key[16];

	if (sim->program_count == 0)
		return;
	call.program = sim->programs[below(sim, sim->program_count)];
	(void)g_snprintf(key, sizeof(key), "k%u", ++sim->calls);
	if (call.kind == PROG_CALL_ONCE || below(sim, 2) == 0)
		call.key = key;
	if (call.kind == PROG_CALL_MODEL)
		call.messages =
		    json_pack("[{s:s,s:s}]", "role", "user", "content", key);
	if (prog_call_submit(sim->progs, sim->now, &call, &handle, &answer) ==
	    PROG_SUBMIT_START) {
		if (below(sim, 3) == 0)
			result.vd =
			    vd_make(VD_MAYBE, VD_UPSTREAM_FAILED, "cut");
		(void)prog_call_begun(sim->progs, sim->now, handle, true);
		/* Some calls stay in progress until their owner is lost. */
		if (below(sim, 4) > 0) {
			(void)prog_call_finish(
			    sim->progs, sim->now, handle, &result);
			prog_call_ended(sim->progs, sim->now, handle, true);
		}
	}
	json_decref(call.messages);
}

static void
owner_change(struct sim *sim)
{
	struct prog_new_program program = {
	    .organisation = "peachline", .shard = SHARD, .budget = 500};
	int number = below(sim, PROGRAMS);
	struct vd vd;

	sim->now += below(sim, 1000);
	switch (below(sim, 6)) {
	case 0:
		if (sim->program_count == PROGRAMS)
			return;
		if (sim->program_count > 0 && below(sim, 2) == 0) {
			program.parent = sim->programs[0];
			program.budget = 20;
		}
		vd = prog_create(sim->progs, sim->now, &program,
		    sim->programs[sim->program_count]);
		if (vd_is_ok(&vd))
			sim->program_count++;
		return;
	case 1:
		if (number < sim->program_count && below(sim, 4) == 0)
			(void)prog_close(
			    sim->progs, sim->now, NULL, sim->programs[number]);
		if (number < sim->program_count)
			prog_release_done(
			    sim->progs, sim->programs[number], "e1");
		return;
	default:
		owner_call(sim);
	}
}

/* The successor starts from the owner's own state, or from the holder's. */
static void
owner_replace(struct sim *sim)
{
	GPtrArray *state = NULL;

	if (below(sim, 2) == 0)
		state = prog_shard_export(sim->progs, SHARD);
	else if (!replica_is_held(sim->replicas, DATACENTRE, SHARD))
		return;
	prog_set_free(sim->progs);
	if (state == NULL)
		g_assert_true(replica_fetch(
		    sim->replicas, DATACENTRE, SHARD, sim->epoch + 1, &state));
	for (guint i = 0; i < sim->log->len; i++)
		prog_records_add(sim->old, g_ptr_array_index(sim->log, i));
	g_ptr_array_set_size(sim->log, 0);
	owner_open(sim, state);
	g_ptr_array_unref(state);
}

static struct replica_result
records_put(
    struct sim *sim, GPtrArray *all, guint from, guint to, uint64_t epoch)
{
	GPtrArray *part = g_ptr_array_new();
	struct replica_result result;

	for (guint i = from; i < to; i++)
		g_ptr_array_add(part, g_ptr_array_index(all, i));
	result = replica_apply(sim->replicas, DATACENTRE, SHARD, epoch, part);
	g_ptr_array_unref(part);
	return (result);
}

static void
send_export(struct sim *sim)
{
	GPtrArray *all = prog_shard_export(sim->progs, SHARD);
	struct replica_result result = {.outcome = REPLICA_ACCEPTED};
	guint from = 0;

	/* Sent in parts because messages are limited; may be interrupted. */
	while (from < all->len && below(sim, 12) > 0) {
		guint to = from + 1 + (guint)below(sim, 3);

		if (to > all->len)
			to = all->len;
		result = records_put(sim, all, from, to, sim->epoch);
		if (result.outcome == REPLICA_FETCH_FIRST) {
			GPtrArray *held;

			g_assert_true(replica_fetch(sim->replicas, DATACENTRE,
			    SHARD, sim->epoch, &held));
			g_ptr_array_unref(held);
			continue;
		}
		if (result.outcome != REPLICA_ACCEPTED) {
			sim->violations++;
			break;
		}
		from = to;
	}
	if (from == all->len)
		sim->next = sim->log->len;
	g_ptr_array_unref(all);
}

static void
send_records(struct sim *sim)
{
	guint from = sim->next, to;
	struct replica_result result;

	if (from > 0 && below(sim, 5) == 0)
		from -= 1 + (guint)below(sim, (gint32)from); /* duplicates */
	if (from < sim->log->len && below(sim, 8) == 0)
		from++; /* skips a record */
	to = from + (guint)below(sim, 4);
	if (to > sim->log->len)
		to = sim->log->len;
	result = records_put(sim, sim->log, from, to, sim->epoch);
	if (result.outcome == REPLICA_GAP) {
		if (sim->variant == GAP_IGNORED)
			sim->next = to;
		else
			send_export(sim);
		return;
	}
	if (result.outcome != REPLICA_ACCEPTED) {
		sim->violations++;
		return;
	}
	if (result.epoch == sim->epoch)
		sim->next = MAX(sim->next, to);
}

/* Send a record of a former owner that has not noticed its replacement. */
static void
send_old(struct sim *sim)
{
	const struct prog_record *last;
	struct prog_record record;
	struct replica_result result;
	GPtrArray *one;

	if (sim->old->len == 0)
		return;
	last = g_ptr_array_index(
	    sim->old, (guint)below(sim, (gint32)sim->old->len));
	record = *last;
	record.seq += (uint64_t)below(sim, 3);
	if (sim->variant == OLD_EPOCH_RELABELLED) {
		record.epoch = sim->epoch;
		record.seq = prog_shard_seq(sim->progs, SHARD) + 1;
	}
	one = g_ptr_array_new();
	g_ptr_array_add(one, &record);
	result =
	    replica_apply(sim->replicas, DATACENTRE, SHARD, record.epoch, one);
	g_ptr_array_unref(one);
	if (sim->variant == PROTECTED &&
	    replica_is_held(sim->replicas, DATACENTRE, SHARD) &&
	    result.epoch == sim->epoch && result.outcome != REPLICA_REFUSED)
		sim->violations++;
}

/*
 * If the holder reports all records of this epoch as held, its state must equal
 * the owner's, and its counts must match the state.
 */
static void
replica_check(struct sim *sim)
{
	GPtrArray *none = g_ptr_array_new(), *held;
	struct replica_result result;
	char *ours, *theirs;
	guint programs;

	result =
	    replica_apply(sim->replicas, DATACENTRE, SHARD, sim->epoch, none);
	g_ptr_array_unref(none);
	if (result.outcome != REPLICA_ACCEPTED || result.epoch != sim->epoch ||
	    result.seq != prog_shard_seq(sim->progs, SHARD)) {
		/* Every record was acknowledged, but not all are held. */
		if (sim->variant == GAP_IGNORED && sim->log->len > 0 &&
		    sim->next == sim->log->len)
			sim->violations++;
		return;
	}
	if (sim->checked_epoch == sim->epoch && sim->checked_seq == result.seq)
		return;
	sim->checked_epoch = sim->epoch;
	sim->checked_seq = result.seq;
	g_assert_true(
	    replica_fetch(sim->replicas, DATACENTRE, SHARD, sim->epoch, &held));
	programs = held->len - 1;
	ours = export_text(prog_shard_export(sim->progs, SHARD));
	theirs = export_text(held);
	if (strcmp(ours, theirs) != 0)
		sim->violations++;
	if (replica_programs(sim->replicas) != programs ||
	    (programs == 0) != (replica_bytes(sim->replicas) == 0))
		sim->violations++;
	g_free(ours);
	g_free(theirs);
}

struct totals {
	unsigned violations;
	unsigned orders_violated;
	uint64_t records;
};

static void
run_orders(uint32_t seed, unsigned orders, int steps, enum variant variant,
    struct totals *totals)
{
	struct sim sim;

	*totals = (struct totals){0};
	for (unsigned order = 0; order < orders; order++) {
		sim_open(&sim, seed + order, variant);
		for (int i = 0; i < steps; i++) {
			int event = below(&sim, 100);

			if (event < 45)
				owner_change(&sim);
			else if (event < 80)
				send_records(&sim);
			else if (event < 85)
				send_export(&sim);
			else if (event < 92)
				send_old(&sim);
			else if (event < 97)
				owner_replace(&sim);
			else if (event < 98)
				replica_drop(sim.replicas, DATACENTRE, SHARD);
			replica_check(&sim);
		}
		if (sim.violations > 0 && variant == PROTECTED)
			g_test_message("order with seed %u: %u violations",
			    seed + order, sim.violations);
		totals->violations += sim.violations;
		totals->orders_violated += sim.violations > 0;
		totals->records += sim.log->len + sim.old->len;
		sim_close(&sim);
	}
}

/* Guards against a replica that reports all records but differs. */
static void
test_orders(void)
{
	struct totals totals;
	uint32_t seed = orders_seed();
	unsigned orders = 20000;

	run_orders(seed, orders, 18, PROTECTED, &totals);
	g_print("# figure replicas orders=%u violations=%u seed=%u "
		"records=%" G_GUINT64_FORMAT "\n",
	    orders, totals.violations, seed, totals.records);
	g_assert_cmpuint(totals.violations, ==, 0);
	g_assert_cmpuint(totals.records, >, orders);
}

static unsigned
variant_violated(uint32_t seed, unsigned orders, int variant)
{
	struct totals totals;

	run_orders(seed, orders, 40, (enum variant)variant, &totals);
	return (totals.orders_violated);
}

/* Checks that the randomised test detects each injected fault. */
static void
test_variants(void)
{
	static const struct orders_variant variants[] = {
	    {OLD_EPOCH_RELABELLED, "epoch"},
	    {GAP_IGNORED, "gap_check"},
	};

	orders_variants_check("replicas", 1000, variants,
	    G_N_ELEMENTS(variants), variant_violated);
}

/* Guards against an export that overwrites a state not yet fetched. */
static void
test_fetch_first(void)
{
	struct sim sim;
	GPtrArray *held;

	sim_open(&sim, 1, PROTECTED);
	for (int i = 0; i < 20; i++)
		owner_change(&sim);
	g_assert_cmpint(records_put(&sim, sim.log, 0, sim.log->len, 1).outcome,
	    ==, REPLICA_ACCEPTED);
	prog_set_free(sim.progs);
	g_ptr_array_set_size(sim.log, 0);
	owner_open(&sim, NULL);
	held = prog_shard_export(sim.progs, SHARD);
	g_assert_cmpint(records_put(&sim, sim.log, 0, sim.log->len, 2).outcome,
	    ==, REPLICA_GAP);
	g_assert_cmpint(records_put(&sim, held, 0, held->len, 2).outcome, ==,
	    REPLICA_FETCH_FIRST);
	g_ptr_array_unref(held);
	g_assert_true(replica_fetch(sim.replicas, DATACENTRE, SHARD, 2, &held));
	g_assert_cmpuint(held->len, >, 1);
	g_ptr_array_unref(held);
	held = prog_shard_export(sim.progs, SHARD);
	g_assert_cmpint(records_put(&sim, held, 0, held->len, 2).outcome, ==,
	    REPLICA_ACCEPTED);
	g_ptr_array_unref(held);
	sim_close(&sim);
}

/* Guards against accepting a former owner after the state was dropped. */
static void
test_drop(void)
{
	struct sim sim;
	GPtrArray *held;

	sim_open(&sim, 2, PROTECTED);
	for (int i = 0; i < 20; i++)
		owner_change(&sim);
	g_assert_cmpint(records_put(&sim, sim.log, 0, sim.log->len, 1).outcome,
	    ==, REPLICA_ACCEPTED);
	g_assert_cmpuint(replica_bytes(sim.replicas), >, 0);
	g_assert_true(replica_fetch(sim.replicas, DATACENTRE, SHARD, 5, &held));
	g_ptr_array_unref(held);
	g_assert_false(
	    replica_fetch(sim.replicas, DATACENTRE, SHARD, 4, &held));
	replica_drop(sim.replicas, DATACENTRE, SHARD);
	g_assert_cmpuint(replica_bytes(sim.replicas), ==, 0);
	g_assert_cmpuint(replica_programs(sim.replicas), ==, 0);
	g_assert_false(replica_is_held(sim.replicas, DATACENTRE, SHARD));
	g_assert_cmpint(records_put(&sim, sim.log, 0, sim.log->len, 1).outcome,
	    ==, REPLICA_REFUSED);
	sim_close(&sim);
}

/*
 * Guards against a decoder that reads outside its input, and against a
 * malformed record that changes the state.
 */
static void
test_malformed(void)
{
	struct sim sim;
	char *before, *after;
	GPtrArray *held;

	sim_open(&sim, 3, PROTECTED);
	for (int i = 0; i < 40; i++)
		owner_change(&sim);
	g_assert_cmpint(records_put(&sim, sim.log, 0, sim.log->len, 1).outcome,
	    ==, REPLICA_ACCEPTED);
	g_assert_true(replica_fetch(sim.replicas, DATACENTRE, SHARD, 1, &held));
	before = export_text(held);
	for (unsigned i = 0; i < 20000; i++) {
		const struct prog_record *record = g_ptr_array_index(
		    sim.log, (guint)below(&sim, (gint32)sim.log->len));
		GByteArray *bytes = prog_record_encode(record);
		struct prog_record read;
		uint8_t *copy;
		guint len = bytes->len;

		for (int j = below(&sim, 4); j >= 0; j--)
			bytes->data[below(&sim, (gint32)len)] =
			    (uint8_t)below(&sim, 256);
		if (below(&sim, 3) == 0)
			len = (guint)below(&sim, (gint32)len);
		/* A copy of exact size lets ASan detect overreads. */
		copy = g_memdup2(bytes->data, len);
		if (prog_record_decode(copy, len, &read) &&
		    read.seq != prog_shard_seq(sim.progs, SHARD) + 1 &&
		    read.kind != PROG_RECORD_EXPORT_HEAD &&
		    read.kind != PROG_RECORD_RECOVER) {
			GPtrArray *one = g_ptr_array_new();

			g_ptr_array_add(one, &read);
			(void)replica_apply(
			    sim.replicas, DATACENTRE, SHARD, 1, one);
			g_ptr_array_unref(one);
		}
		g_free(copy);
		g_byte_array_unref(bytes);
	}
	g_assert_true(replica_fetch(sim.replicas, DATACENTRE, SHARD, 1, &held));
	after = export_text(held);
	g_assert_cmpstr(before, ==, after);
	g_free(before);
	g_free(after);
	sim_close(&sim);
}

/* Guards against accepting payloads that are invalid in the state. */
static void
test_payloads(void)
{
	static const struct {
		enum prog_record_kind kind;
		const char *program;
		const char *payload;
	} bad[] = {
	    {PROG_RECORD_CREATE, "p-01-0009-00000000000000000000", "{}"},
	    {PROG_RECORD_CREATE, "p-01-0009-00000000000000000000", "["},
	    {PROG_RECORD_CREATE, "p-01-0009-00000000000000000000",
		"{\"o\":\"a\",\"u\":\"\",\"b\":-1}"},
	    {PROG_RECORD_CREATE, "p-01-0008-00000000000000000000",
		"{\"o\":\"a\",\"u\":\"\",\"b\":1}"},
	    {PROG_RECORD_CREATE, "p-01-0009-00000000000000000000",
		"{\"o\":\"a\",\"u\":\"\",\"b\":1,\"p\":\"none\"}"},
	    {PROG_RECORD_BEGIN, "p-01-0009-00000000000000000000", "{\"t\":1}"},
	    {PROG_RECORD_END, "p-01-0009-00000000000000000000",
		"{\"o\":\"ran\"}"},
	    {PROG_RECORD_CLOSE, "p-01-0009-00000000000000000000", "{}"},
	    {PROG_RECORD_STATE, "p-01-0009-00000000000000000000",
		"{\"o\":\"a\",\"u\":\"\",\"m\":[1]}"},
	    {PROG_RECORD_STATE, "p-01-0009-00000000000000000000",
		"{\"o\":\"a\",\"u\":\"\",\"in\":[{\"key\":1}]}"},
	    {PROG_RECORD_EXPORT_HEAD, "", "{\"n\":\"x\"}"},
	    {PROG_RECORD_REPLY_EXPIRED, "p-01-0009-00000000000000000000",
		"{\"key\":\"k\"}"},
	    {PROG_RECORD_RELEASED, "p-01-0009-00000000000000000000",
		"{\"e\":\"e\"}"},
	};
	struct sim sim;

	sim_open(&sim, 4, PROTECTED);
	g_assert_cmpint(records_put(&sim, sim.log, 0, sim.log->len, 1).outcome,
	    ==, REPLICA_ACCEPTED);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct prog_record record = {.datacentre = DATACENTRE,
		    .shard = SHARD,
		    .epoch = 1,
		    .seq = 2,
		    .kind = bad[i].kind,
		    .payload = bad[i].payload,
		    .payload_len = strlen(bad[i].payload)};
		GPtrArray *one = g_ptr_array_new();
		struct replica_result result;

		g_strlcpy(
		    record.program, bad[i].program, sizeof(record.program));
		g_ptr_array_add(one, &record);
		result = replica_apply(sim.replicas, DATACENTRE, SHARD, 1, one);
		g_ptr_array_unref(one);
		g_assert_cmpint(result.outcome, ==, REPLICA_INVALID);
		g_assert_cmpuint(result.seq, ==, 1);
	}
	sim_close(&sim);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/replica/fetch-first", test_fetch_first);
	g_test_add_func("/replica/drop", test_drop);
	g_test_add_func("/replica/malformed", test_malformed);
	g_test_add_func("/replica/payloads", test_payloads);
	g_test_add_func("/replica/variants", test_variants);
	g_test_add_func("/replica/orders", test_orders);
	return (g_test_run());
}
