#include "budget/budget.h"

#include <jansson.h>
#include <string.h>

/*
 * Turns that a grant covers, as far as the budget allows.  The first session
 * lends to others: with three turns, a program of four turns that generate
 * half of their maximum seldom needs a second grant.  Other sessions take
 * what one turn needs.
 */
#define GRANT_TURNS_FIRST 3
#define GRANT_TURNS_OTHER 1
/* Allowance for clock differences between instances, and a late sweep. */
#define CLOCK_MARGIN_MS (15 * CLK_SECOND)
/* Retention of ledgers that state none: those of earlier versions. */
#define UNSTATED_RETENTION_MS (1800 * CLK_SECOND)
/* Most tokens of a budget or a grant; a larger number counts as this one. */
#define BUDGET_MAX ((json_int_t)1 << 50)

struct program {
	char *id;
	int64_t granted; /* to this session, by the ledger */
	int64_t used; /* by turns that ended here */
	int64_t reserved; /* by turns that run here */
	int64_t turn_max; /* of the last turn */
	bool is_spent; /* no tokens are left, here or at other sessions */
	bool is_first; /* at the last grant no other session had one */
	bool is_returning; /* a return of tokens may be in flight */
	/*
	 * End offset that an append with an unknown outcome expects, which may
	 * still take effect at this end; -1: none.
	 */
	int64_t unsettled_end;
	clk_ms retention; /* of the ledger, as far as it is known here */
	clk_ms held_until; /* the rest is granted to other sessions */
	clk_ms last_used; /* by a turn or a change of the ledger */
	char *ledger; /* as last read or written; nil: none */
	size_t ledger_len;
	int64_t end; /* end offset of the ledger's partition then */
	bool is_current; /* false: ledger and end have to be read */
	bool is_read; /* the ledger was read since the program is known */
};

struct budgets {
	char *session;
	clk_ms retention;
	GHashTable *programs;
};

/* A ledger as stored. */
struct ledger {
	int64_t budget;
	clk_ms retention;
	json_t *grants; /* session -> tokens */
};

static void
program_free(void *data)
{
	struct program *program = data;

	g_free(program->id);
	g_free(program->ledger);
	g_free(program);
}

struct budgets *
budget_open(const char *session, clk_ms retention)
{
	struct budgets *budgets = g_new0(struct budgets, 1);

	budgets->session = g_strdup(session);
	budgets->retention = retention;
	budgets->programs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, program_free);
	return (budgets);
}

void
budget_close(struct budgets *budgets)
{
	if (budgets == NULL)
		return;
	g_hash_table_destroy(budgets->programs);
	g_free(budgets->session);
	g_free(budgets);
}

static struct program *
program_ensure(struct budgets *budgets, const char *id, clk_ms now)
{
	struct program *program = g_hash_table_lookup(budgets->programs, id);

	if (program == NULL) {
		program = g_new0(struct program, 1);
		program->id = g_strdup(id);
		program->unsettled_end = -1;
		(void)g_hash_table_insert(
		    budgets->programs, program->id, program);
	}
	program->last_used = now;
	return (program);
}

/* Unused tokens of the grant, as far as its return has not taken effect. */
static int64_t
unused(const struct program *program)
{
	return (program->granted - program->used - program->reserved);
}

static int64_t
available(const struct program *program)
{
	return (program->is_returning ? 0 : unused(program));
}

enum budget_verdict
budget_reserve(
    struct budgets *budgets, const char *id, int64_t turn_max, clk_ms now)
{
	struct program *program = program_ensure(budgets, id, now);

	program->turn_max = turn_max;
	if (available(program) >= turn_max) {
		program->reserved += turn_max;
		return (BUDGET_RESERVED);
	}
	return (program->is_spent || now < program->held_until
		? BUDGET_SPENT
		: BUDGET_GRANT_NEEDED);
}

void
budget_retention_set(
    struct budgets *budgets, const char *id, clk_ms retention, clk_ms now)
{
	struct program *program = program_ensure(budgets, id, now);

	program->retention = MAX(program->retention, retention);
}

bool
budget_is_granted(
    const struct budgets *budgets, const char *id, int64_t turn_max)
{
	const struct program *program =
	    g_hash_table_lookup(budgets->programs, id);

	return (program != NULL &&
	    (program->is_spent || available(program) >= turn_max));
}

void
budget_settle(struct budgets *budgets, const char *id, int64_t reserved,
    int64_t used, clk_ms now)
{
	struct program *program = program_ensure(budgets, id, now);

	program->reserved -= reserved;
	program->used += used;
}

/* Tokens that a ledger states; 0 for what no instance writes. */
static int64_t
tokens(const json_t *value)
{
	return (CLAMP(json_integer_value(value), 0, BUDGET_MAX));
}

/* The retention that a ledger states, or fallback. */
static clk_ms
ledger_retention(const json_t *root, clk_ms fallback)
{
	const json_t *value = json_object_get(root, "retention");

	return (json_is_integer(value)
		? (clk_ms)CLAMP(
		      json_integer_value(value), 0, (json_int_t)STORE_TIME_MAX)
		: fallback);
}

static void
ledger_parse(
    struct ledger *ledger, const struct program *program, int64_t budget)
{
	json_t *root = NULL;
	json_t *grants;

	ledger->budget = MIN(budget, BUDGET_MAX);
	if (program->ledger != NULL)
		root =
		    json_loadb(program->ledger, program->ledger_len, 0, NULL);
	grants = json_object_get(root, "grants");
	ledger->grants =
	    json_is_object(grants) ? json_incref(grants) : json_object();
	/* The first turn sets the budget; later turns can't raise it. */
	if (json_is_integer(json_object_get(root, "budget")))
		ledger->budget = tokens(json_object_get(root, "budget"));
	ledger->retention = MAX(program->retention, ledger_retention(root, 0));
	json_decref(root);
}

static char *
ledger_format(const struct ledger *ledger, clk_ms wall)
{
	json_t *root = json_pack("{s:I, s:O, s:I, s:I}", "budget",
	    (json_int_t)ledger->budget, "grants", ledger->grants, "time",
	    (json_int_t)wall, "retention", (json_int_t)ledger->retention);
	char *json = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	char *text = g_strdup(json);

	free(json);
	json_decref(root);
	return (text);
}

static int64_t
ledger_grant(const struct ledger *ledger, const char *session)
{
	return (tokens(json_object_get(ledger->grants, session)));
}

static int64_t
ledger_sum(const struct ledger *ledger)
{
	const char *session;
	json_t *value;
	int64_t sum = 0;

	json_object_foreach(ledger->grants, session, value) sum =
	    MIN(sum + tokens(value), BUDGET_MAX);
	return (sum);
}

void
budget_ledger_set(struct budgets *budgets, const char *id,
    const struct store_record *record, int64_t end, clk_ms now)
{
	struct program *program = program_ensure(budgets, id, now);
	struct ledger ledger;

	g_free(program->ledger);
	program->ledger =
	    record != NULL ? g_memdup2(record->value, record->len) : NULL;
	program->ledger_len = record != NULL ? record->len : 0;
	program->end = end;
	program->is_current = true;
	/* An append takes effect at the end that it expects, or never. */
	if (end > program->unsettled_end) {
		program->unsettled_end = -1;
		program->is_returning = false;
	}
	ledger_parse(&ledger, program, 0);
	program->granted = ledger_grant(&ledger, budgets->session);
	/* How much of an earlier grant was used has been forgotten. */
	if (!program->is_read)
		program->used = program->granted;
	program->is_read = true;
	json_decref(ledger.grants);
}

void
budget_ledger_invalidate(struct budgets *budgets, const char *id)
{
	struct program *program = g_hash_table_lookup(budgets->programs, id);

	if (program != NULL)
		program->is_current = false;
}

void
budget_append_unsettled(struct budgets *budgets, const char *id, int64_t end)
{
	struct program *program = g_hash_table_lookup(budgets->programs, id);

	if (program != NULL)
		program->unsettled_end = end;
}

enum budget_step
budget_grant_take(struct budgets *budgets, const char *id, int64_t budget,
    int64_t turn_max, int64_t overdraft, char **value, int64_t *end, clk_ms now,
    clk_ms wall)
{
	struct program *program = program_ensure(budgets, id, now);
	struct ledger ledger;
	enum budget_step step = BUDGET_WRITE_LEDGER;
	int64_t left, sum, take, turns;

	*value = NULL;
	if (available(program) >= turn_max)
		return (BUDGET_GRANT_SUFFICES);
	if (!program->is_current)
		return (BUDGET_READ_LEDGER);
	ledger_parse(&ledger, program, budget);
	sum = ledger_sum(&ledger);
	left = ledger.budget - sum;
	if (unused(program) + left < turn_max)
		left = MIN(left + overdraft, turn_max - unused(program));
	program->is_first = sum == program->granted;
	turns = program->is_first ? GRANT_TURNS_FIRST : GRANT_TURNS_OTHER;
	/*
	 * If a return may be in flight, the grant is written again even if it
	 * suffices: after that the return can't take effect.
	 */
	take = CLAMP(turns * turn_max - unused(program), 0, MAX(left, 0));
	if (unused(program) + take < turn_max) {
		program->is_spent = sum == program->granted;
		step = program->is_spent ? BUDGET_NO_TOKENS
					 : BUDGET_HELD_ELSEWHERE;
	} else {
		(void)json_object_set_new(ledger.grants, budgets->session,
		    json_integer(program->granted + take));
		*value = ledger_format(&ledger, wall);
		*end = program->end;
	}
	json_decref(ledger.grants);
	return (step);
}

enum budget_step
budget_grant_ahead(struct budgets *budgets, const char *id, char **value,
    int64_t *end, clk_ms wall)
{
	const struct program *program =
	    g_hash_table_lookup(budgets->programs, id);
	enum budget_step step = BUDGET_NO_TOKENS;
	struct ledger ledger;
	int64_t left, take;

	*value = NULL;
	if (program == NULL || !program->is_first || !program->is_current ||
	    program->ledger == NULL || program->is_returning ||
	    program->unsettled_end >= 0 ||
	    available(program) >= program->turn_max)
		return (step);
	ledger_parse(&ledger, program, 0);
	left = ledger.budget - ledger_sum(&ledger);
	take =
	    MIN(GRANT_TURNS_FIRST * program->turn_max - unused(program), left);
	if (ledger_sum(&ledger) == program->granted &&
	    unused(program) + take >= program->turn_max && take > 0) {
		(void)json_object_set_new(ledger.grants, budgets->session,
		    json_integer(program->granted + take));
		*value = ledger_format(&ledger, wall);
		*end = program->end;
		step = BUDGET_WRITE_LEDGER;
	}
	json_decref(ledger.grants);
	return (step);
}

bool
budget_is_idle(const struct budgets *budgets, const char *id, clk_ms since)
{
	const struct program *program =
	    g_hash_table_lookup(budgets->programs, id);

	return (program != NULL && program->reserved == 0 &&
	    program->granted > program->used && program->last_used <= since);
}

bool
budget_is_first_holder(const struct budgets *budgets, const char *id)
{
	const struct program *program =
	    g_hash_table_lookup(budgets->programs, id);

	return (program != NULL && program->is_first);
}

char *
budget_largest_holder(const struct budgets *budgets, const char *id)
{
	const struct program *program =
	    g_hash_table_lookup(budgets->programs, id);
	struct ledger ledger;
	const char *session, *holder = NULL;
	json_t *value;
	int64_t most = 0;
	char *copy;

	if (program == NULL || !program->is_current)
		return (NULL);
	ledger_parse(&ledger, program, 0);
	json_object_foreach(ledger.grants, session, value)
	{
		if (strcmp(session, budgets->session) != 0 &&
		    tokens(value) > most) {
			most = tokens(value);
			holder = session;
		}
	}
	copy = g_strdup(holder);
	json_decref(ledger.grants);
	return (copy);
}

enum budget_step
budget_grant_return(struct budgets *budgets, const char *id, char **value,
    int64_t *end, clk_ms wall)
{
	struct program *program = g_hash_table_lookup(budgets->programs, id);
	struct ledger ledger;

	*value = NULL;
	if (!budget_is_idle(budgets, id, INT64_MAX))
		return (BUDGET_NO_TOKENS);
	/* No turn uses the grant until the outcome of the append is known. */
	program->is_returning = true;
	if (!program->is_current)
		return (BUDGET_READ_LEDGER);
	ledger_parse(&ledger, program, 0);
	(void)json_object_set_new(
	    ledger.grants, budgets->session, json_integer(program->used));
	*value = ledger_format(&ledger, wall);
	*end = program->end;
	json_decref(ledger.grants);
	return (BUDGET_WRITE_LEDGER);
}

void
budget_refuse_until(struct budgets *budgets, const char *id, clk_ms until)
{
	struct program *program = g_hash_table_lookup(budgets->programs, id);

	if (program != NULL)
		program->held_until = until;
}

bool
budget_ledger_is_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall)
{
	json_t *root = json_loadb(record->value, record->len, 0, NULL);
	const json_t *time = json_object_get(root, "time");
	clk_ms kept =
	    MAX(retention, ledger_retention(root, UNSTATED_RETENTION_MS));
	bool expired = json_is_integer(time) && json_integer_value(time) >= 0 &&
	    (uint64_t)json_integer_value(time) <= STORE_TIME_MAX &&
	    wall - json_integer_value(time) > 2 * kept + CLOCK_MARGIN_MS;

	json_decref(root);
	return (expired);
}

guint
budget_program_count(const struct budgets *budgets)
{
	return (g_hash_table_size(budgets->programs));
}

void
budget_expire(struct budgets *budgets, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, budgets->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct program *program = value;

		if (program->reserved == 0 &&
		    now - program->last_used >= budgets->retention)
			g_hash_table_iter_remove(&iter);
	}
}
