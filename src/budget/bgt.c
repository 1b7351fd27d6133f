#include "budget/bgt.h"

#include <jansson.h>
#include <string.h>

/*
 * A grant is half of what is left, so that a program that moves to another
 * instance after a death finds tokens, but at least this many turns.
 */
#define GRANT_LEAST_TURNS 2

struct program {
	char *id;
	int64_t granted; /* to this session, as the ledger says */
	int64_t used; /* by turns that ended here */
	int64_t reserved; /* by turns that run here */
	bool is_spent; /* nothing is left, and no other session holds any */
	bool is_returning; /* a record that gives tokens back is on its way */
	clk_ms last; /* turn */
};

struct bgt {
	char *session;
	clk_ms retention;
	GHashTable *programs;
};

/* A ledger as it is kept in the store. */
struct ledger {
	int64_t budget;
	json_t *grants; /* session -> tokens */
};

static void
program_free(void *data)
{
	struct program *program = data;

	g_free(program->id);
	g_free(program);
}

struct bgt *
bgt_open(const char *session, clk_ms retention)
{
	struct bgt *bgt = g_new0(struct bgt, 1);

	bgt->session = g_strdup(session);
	bgt->retention = retention;
	bgt->programs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, program_free);
	return (bgt);
}

void
bgt_close(struct bgt *bgt)
{
	if (bgt == NULL)
		return;
	g_hash_table_destroy(bgt->programs);
	g_free(bgt->session);
	g_free(bgt);
}

static struct program *
ensure_program(struct bgt *bgt, const char *id, clk_ms now)
{
	struct program *program = g_hash_table_lookup(bgt->programs, id);

	if (program == NULL) {
		program = g_new0(struct program, 1);
		program->id = g_strdup(id);
		(void)g_hash_table_insert(bgt->programs, program->id, program);
	}
	program->last = now;
	return (program);
}

static int64_t
available(const struct program *program)
{
	if (program->is_returning)
		return (0);
	return (program->granted - program->used - program->reserved);
}

enum bgt_verdict
bgt_reserve(struct bgt *bgt, const char *id, int64_t turn_max, clk_ms now)
{
	struct program *program = ensure_program(bgt, id, now);

	if (available(program) >= turn_max) {
		program->reserved += turn_max;
		return (BGT_RUN);
	}
	return (program->is_spent ? BGT_SPENT : BGT_TAKE);
}

void
bgt_settle(struct bgt *bgt, const char *id, int64_t reserved, int64_t used,
    clk_ms now)
{
	struct program *program = ensure_program(bgt, id, now);

	program->reserved -= reserved;
	program->used += used;
}

static void
ledger_parse(
    struct ledger *ledger, const struct sto_record *record, int64_t budget)
{
	json_t *root = NULL;
	json_t *grants;

	ledger->budget = budget;
	if (record != NULL)
		root = json_loadb(record->value, record->len, 0, NULL);
	grants = json_object_get(root, "grants");
	ledger->grants =
	    json_is_object(grants) ? json_incref(grants) : json_object();
	/* The first turn's budget binds; a caller can't raise it later. */
	if (json_is_integer(json_object_get(root, "budget")))
		ledger->budget =
		    json_integer_value(json_object_get(root, "budget"));
	json_decref(root);
}

static char *
ledger_format(const struct ledger *ledger)
{
	json_t *root = json_pack(
	    "{s:I, s:O}", "budget", (json_int_t)ledger->budget, "grants",
	    ledger->grants);
	char *raw = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	char *text = g_strdup(raw);

	free(raw);
	json_decref(root);
	return (text);
}

static int64_t
ledger_grant(const struct ledger *ledger, const char *session)
{
	return (json_integer_value(json_object_get(ledger->grants, session)));
}

static int64_t
ledger_sum(const struct ledger *ledger)
{
	const char *session;
	json_t *value;
	int64_t sum = 0;

	json_object_foreach (ledger->grants, session, value)
		sum += json_integer_value(value);
	return (sum);
}

enum bgt_taken
bgt_take(struct bgt *bgt, const char *id, int64_t budget, int64_t turn_max,
    const struct sto_record *record, char **value, clk_ms now)
{
	struct program *program = ensure_program(bgt, id, now);
	struct ledger ledger;
	enum bgt_taken taken = BGT_WRITE;
	int64_t left, own, take;

	*value = NULL;
	ledger_parse(&ledger, record, budget);
	own = ledger_grant(&ledger, bgt->session);
	program->granted = own;
	program->is_returning = false;
	left = ledger.budget - ledger_sum(&ledger);
	if (available(program) >= turn_max) {
		taken = BGT_TAKEN;
		goto out;
	}
	take = MAX(left / 2, GRANT_LEAST_TURNS * turn_max);
	take = MIN(take, left);
	if (available(program) + take < turn_max) {
		program->is_spent = ledger_sum(&ledger) == own;
		taken = program->is_spent ? BGT_NONE : BGT_HELD;
		goto out;
	}
	(void)json_object_set_new(
	    ledger.grants, bgt->session, json_integer(own + take));
	*value = ledger_format(&ledger);
out:
	json_decref(ledger.grants);
	return (taken);
}

void
bgt_written(struct bgt *bgt, const char *id, const char *value, clk_ms now)
{
	struct sto_record record = {id, value, strlen(value)};
	struct program *program = ensure_program(bgt, id, now);
	struct ledger ledger;

	ledger_parse(&ledger, &record, 0);
	program->granted = ledger_grant(&ledger, bgt->session);
	program->is_returning = false;
	json_decref(ledger.grants);
}

bool
bgt_return(struct bgt *bgt, const char *id, const struct sto_record *record,
    char **value, clk_ms now)
{
	struct program *program = g_hash_table_lookup(bgt->programs, id);
	struct ledger ledger;

	(void)now;
	*value = NULL;
	if (program == NULL || record == NULL || program->reserved > 0)
		return (false);
	ledger_parse(&ledger, record, 0);
	program->granted = ledger_grant(&ledger, bgt->session);
	program->is_returning = program->granted > program->used;
	if (program->is_returning) {
		(void)json_object_set_new(ledger.grants, bgt->session,
		    json_integer(program->used));
		*value = ledger_format(&ledger);
	}
	json_decref(ledger.grants);
	return (program->is_returning);
}

guint
bgt_programs(const struct bgt *bgt)
{
	return (g_hash_table_size(bgt->programs));
}

void
bgt_expire(struct bgt *bgt, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, bgt->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct program *program = value;

		if (program->reserved == 0 &&
		    now - program->last >= bgt->retention)
			g_hash_table_iter_remove(&iter);
	}
}
