/*
 * Fuzz target: records of the store that other instances wrote: turns,
 * checkpoints, ledgers of budgets, plans and streams of software versions.
 */
#include <stdlib.h>
#include <string.h>

#include "budget/budget.h"
#include "rollout/rollout.h"
#include "turn/checkpoint.h"
#include "turn/turn.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
check(bool ok)
{
	if (!ok)
		abort();
}

static void
try_turn(const struct store_record *record)
{
	const struct store_reply reply = {
	    .status = STORE_OK, .records = record, .count = 1};
	struct turn *turn = turn_join(record->key, &reply);

	(void)turn_is_expired(record, 1000, 5000);
	if (turn != NULL) {
		g_autoptr(GByteArray) value = turn_encode(turn);

		check(value->len > 0);
	}
	turn_unref(turn);
}

static void
try_ledger(const struct store_record *record)
{
	struct budgets *budgets = budget_open("a/1", 1000);
	g_autofree char *value = NULL;
	int64_t end;

	(void)budget_ledger_is_expired(record, 1000, 5000);
	budget_ledger_set(budgets, "p1", record, 5, 0);
	(void)budget_grant_take(
	    budgets, "p1", 1000, 100, 100, &value, &end, 0, 5000);
	(void)budget_reserve(budgets, "p1", 100, 0);
	g_free(budget_largest_holder(budgets, "p1"));
	budget_close(budgets);
}

static void
try_plan(const struct store_record *record)
{
	const struct place_version versions[] = {
	    {"s", "v1", 4}, {"s", "v2", 4}};
	struct rollout *rollout = rollout_open();
	struct rollout_plan plan;
	GByteArray *next;

	if (rollout_plan_decode(record, &plan)) {
		g_autoptr(GByteArray) value = rollout_plan_encode(&plan);

		check(value != NULL);
		rollout_plan_clear(&plan);
	}
	rollout_plans_set(rollout, record, 1, 0, 0);
	next = rollout_change(rollout, "s", versions, 2, 0, 100000);
	if (next != NULL)
		(void)g_byte_array_unref(next);
	g_free(rollout_text(rollout, "s"));
	rollout_close(rollout);
}

static void
try_stream(const struct store_record *record)
{
	struct rollout_stream stream;

	(void)rollout_stream_is_expired(record, 1000, 5000);
	if (!rollout_stream_decode(record, &stream))
		return;
	check(stream.service != NULL && stream.version != NULL);
	rollout_stream_clear(&stream);
}

static void
try_checkpoint(const struct store_record *record)
{
	const struct store_reply reply = {
	    .status = STORE_OK, .records = record, .count = 1};
	struct checkpoint_run run;
	GPtrArray *events =
	    checkpoint_find(&reply, record->key, NULL, "1", &run);

	(void)checkpoint_is_expired(record, 5000);
	if (events != NULL) {
		check(events->len > 0);
		g_ptr_array_unref(events);
	}
	g_free(run.began);
}

/* The first byte says what the others are. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static void (*const tries[])(const struct store_record *) = {
	    try_turn, try_ledger, try_plan, try_stream, try_checkpoint};

	if (len > 0) {
		const struct store_record record = {
		    "s", len > 1 ? data + 1 : NULL, len - 1};

		tries[data[0] % G_N_ELEMENTS(tries)](&record);
	}
	return (0);
}
