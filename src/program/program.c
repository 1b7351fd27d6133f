#include "program/program.h"

#include <stdlib.h>
#include <string.h>

#include "program/prog_table.h"

#define TOKENS_MAX ((int64_t)1 << 40) /* sums can't overflow */
/* Delay before a program without tokens left is closed, so that repeats still
 * get the stored reply. */
#define SPENT_GRACE_MS	    CLK_MINUTE
#define RELEASE_BACKOFF_MAX 32 /* times the first interval */
#define RETRY_AFTER_MS	    CLK_SECOND /* suggested to refused callers */

enum call_state {
	CALL_QUEUED,
	CALL_BEGINNING, /* waits for prog_call_begun() */
	CALL_RUNNING, /* may be at an upstream */
	CALL_ENDING /* waits for prog_call_ended() */
};

/* A call with all callers that wait for its answer. */
struct call {
	struct run *run;
	enum call_state state;
	GArray *handles; /* the first is the daemon's own; others joined */
	enum prog_call_kind kind;
	char *key;
	uint8_t digest[PROG_DIGEST_SIZE];
	uint32_t expected_turn;
	int64_t prompt_tokens;
	int64_t answer_tokens;
	json_t *messages;
	uint32_t turn; /* that the call makes */
	int64_t reserve;
	uint64_t seq; /* of the latest record */
	struct vd vd; /* outcome, from CALL_ENDING on */
	uint32_t made_turn;
	int status;
	char *content_type;
	char *reply;
	size_t reply_len;
};

/* The owner's data of a program, which isn't replicated. */
struct run {
	struct shard *shard;
	struct prog_state *program;
	struct call *current;
	GQueue waiting; /* struct call */
	clk_ms created;
	clk_ms last_use;
	clk_ms release_at;
	clk_ms release_backoff;
	bool unproven;
	bool closing;
};

struct shard {
	struct prog_set *progs;
	uint16_t number;
	uint64_t epoch;
	bool recovered;
	bool draining;
	bool unproven;
	uint64_t proven_epoch; /* of the table and of merged exports */
	uint64_t acked; /* seq up to which the holders have all records */
	struct prog_table *table;
	struct prog_table *incoming; /* export being received */
	GPtrArray *exports; /* fetched from holders, until the recovery ends */
};

struct slot {
	struct call *call;
	uint32_t generation;
};

/* A pending callback. */
struct event {
	prog_handle handle;
	bool start;
	struct prog_answer answer;
	char *content_type;
	char *reply;
};

struct prog_set {
	struct prog_options options;
	struct prog_hooks hooks;
	GHashTable *shards;
	GArray *slots;
	GArray *free_slots;
	GQueue events;
	bool events_running;
	char *answer_type; /* of the last replay */
	char *answer_reply;
};

static struct run *
run_of(const struct prog_state *program)
{
	return (program->owner_run);
}

/* Handles. */

static prog_handle
handle_new(struct prog_set *progs, struct call *call)
{
	struct slot *slot;
	uint32_t index;

	if (progs->free_slots->len > 0) {
		index = g_array_index(
		    progs->free_slots, uint32_t, progs->free_slots->len - 1);
		g_array_set_size(progs->free_slots, progs->free_slots->len - 1);
	} else {
		index = progs->slots->len;
		g_array_set_size(progs->slots, index + 1);
	}
	slot = &g_array_index(progs->slots, struct slot, index);
	slot->call = call;
	slot->generation++;
	return ((uint64_t)slot->generation << 32 | (index + 1U));
}

static struct slot *
handle_slot(const struct prog_set *progs, prog_handle handle)
{
	uint32_t index = (uint32_t)handle;
	struct slot *slot;

	if (index == 0 || index > progs->slots->len)
		return (NULL);
	slot = &g_array_index(progs->slots, struct slot, index - 1);
	if (slot->call == NULL || slot->generation != handle >> 32)
		return (NULL);
	return (slot);
}

static void
handle_free(struct prog_set *progs, prog_handle handle)
{
	struct slot *slot = handle_slot(progs, handle);
	uint32_t index = (uint32_t)handle - 1;

	if (slot == NULL)
		return;
	slot->call = NULL;
	g_array_append_val(progs->free_slots, index);
}

static struct call *
handle_call(const struct prog_set *progs, prog_handle handle)
{
	struct slot *slot = handle_slot(progs, handle);

	return (slot != NULL ? slot->call : NULL);
}

/* The call that handle started, if it is in the given state. */
static struct call *
started_call(
    const struct prog_set *progs, prog_handle handle, enum call_state state)
{
	struct call *call = handle_call(progs, handle);

	if (call == NULL || call->state != state ||
	    g_array_index(call->handles, prog_handle, 0) != handle)
		return (NULL);
	return (call);
}

static void
call_free(struct prog_set *progs, struct call *call)
{
	for (guint i = 0; i < call->handles->len; i++)
		handle_free(
		    progs, g_array_index(call->handles, prog_handle, i));
	g_array_unref(call->handles);
	g_free(call->key);
	g_free(call->content_type);
	g_free(call->reply);
	json_decref(call->messages);
	g_free(call);
}

/* Callbacks. */

static void
event_free(struct event *event)
{
	g_free(event->content_type);
	g_free(event->reply);
	g_free(event);
}

static void
events_run(struct prog_set *progs)
{
	struct event *event;

	if (progs->events_running)
		return;
	progs->events_running = true;
	while ((event = g_queue_pop_head(&progs->events)) != NULL) {
		if (event->start) {
			/* The call may have been cancelled since. */
			if (handle_call(progs, event->handle) != NULL)
				progs->hooks.on_start(
				    event->handle, progs->hooks.arg);
		} else {
			progs->hooks.on_answer(
			    event->handle, &event->answer, progs->hooks.arg);
		}
		event_free(event);
	}
	progs->events_running = false;
}

static void
event_start(struct prog_set *progs, const struct call *call)
{
	struct event *event = g_new0(struct event, 1);

	event->start = true;
	event->handle = g_array_index(call->handles, prog_handle, 0);
	g_queue_push_tail(&progs->events, event);
}

static void
event_answer(struct prog_set *progs, prog_handle handle,
    const struct call *call, const struct vd *vd, bool with_reply)
{
	struct event *event = g_new0(struct event, 1);

	event->handle = handle;
	event->answer.vd = *vd;
	event->answer.content_type = "";
	if (with_reply) {
		event->content_type = g_strdup(call->content_type);
		event->reply = g_memdup2(call->reply, call->reply_len);
		event->answer.turn = call->made_turn;
		event->answer.status = call->status;
		event->answer.reply = event->reply;
		event->answer.reply_len = call->reply_len;
		if (event->content_type != NULL)
			event->answer.content_type = event->content_type;
	}
	g_queue_push_tail(&progs->events, event);
}

/* Answer the callers of a call from handle number first on. */
static void
call_answer(struct prog_set *progs, const struct call *call, guint first,
    const struct vd *vd, bool with_reply)
{
	for (guint i = first; i < call->handles->len; i++)
		event_answer(progs,
		    g_array_index(call->handles, prog_handle, i), call, vd,
		    with_reply);
}

/* Records. */

/* Apply a change to the shard and send it; payload is consumed. */
static uint64_t
emit(struct shard *shard, enum prog_record_kind kind, const char *program,
    json_t *payload)
{
	struct prog_record record = {.datacentre = shard->table->datacentre,
	    .shard = shard->number,
	    .epoch = shard->epoch,
	    .seq = shard->table->seq + 1,
	    .kind = kind};
	char *text = json_dumps(payload, JSON_COMPACT);

	g_strlcpy(record.program, program, sizeof(record.program));
	record.payload = text;
	record.payload_len = strlen(text);
	if (prog_table_apply_json(shard->table, &record, payload) !=
	    PROG_TABLE_OK)
		g_error("cannot apply own record of kind %d", kind);
	shard->progs->hooks.on_record(&record, shard->progs->hooks.arg);
	free(text);
	json_decref(payload);
	return (record.seq);
}

/* Runs. */

static void
run_free(void *data)
{
	struct run *run = data;
	struct call *call;

	if (run->current != NULL)
		call_free(run->shard->progs, run->current);
	while ((call = g_queue_pop_head(&run->waiting)) != NULL)
		call_free(run->shard->progs, call);
	g_free(run);
}

static struct run *
run_new(struct shard *shard, struct prog_state *program, clk_ms now)
{
	struct run *run = g_new0(struct run, 1);

	run->shard = shard;
	run->program = program;
	run->created = now;
	run->last_use = now;
	g_queue_init(&run->waiting);
	program->owner_run = run;
	return (run);
}

static struct shard *
shard_find(const struct prog_set *progs, uint16_t number)
{
	return (g_hash_table_lookup(progs->shards, GUINT_TO_POINTER(number)));
}

static struct run *
run_find(const struct prog_set *progs, const char *program)
{
	const struct shard *shard;
	struct prog_state *found;
	struct prog_id id;

	if (!prog_id_parse(program, &id) ||
	    id.datacentre != progs->options.datacentre)
		return (NULL);
	shard = shard_find(progs, id.shard);
	if (shard == NULL || !shard->recovered)
		return (NULL);
	found = prog_table_find(shard->table, program);
	return (found != NULL ? run_of(found) : NULL);
}

static void
shard_free(void *data)
{
	struct shard *shard = data;

	prog_table_free(shard->table);
	prog_table_free(shard->incoming);
	g_ptr_array_unref(shard->exports);
	g_free(shard);
}

struct prog_set *
prog_set_new(const struct prog_options *options, const struct prog_hooks *hooks)
{
	struct prog_set *progs = g_new0(struct prog_set, 1);

	progs->options = *options;
	progs->hooks = *hooks;
	if (progs->options.idle_timeout == 0)
		progs->options.idle_timeout = 30 * CLK_MINUTE;
	if (progs->options.reply_retention == 0)
		progs->options.reply_retention = 24 * CLK_HOUR;
	if (progs->options.release_retry == 0)
		progs->options.release_retry = 2 * CLK_SECOND;
	if (progs->options.turn_limit == 0)
		progs->options.turn_limit = PROG_TURN_LIMIT;
	progs->shards = g_hash_table_new_full(NULL, NULL, NULL, shard_free);
	progs->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	progs->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_queue_init(&progs->events);
	return (progs);
}

void
prog_set_free(struct prog_set *progs)
{
	struct event *event;

	if (progs == NULL)
		return;
	g_hash_table_unref(progs->shards);
	while ((event = g_queue_pop_head(&progs->events)) != NULL)
		event_free(event);
	g_array_unref(progs->slots);
	g_array_unref(progs->free_slots);
	g_free(progs->answer_type);
	g_free(progs->answer_reply);
	g_free(progs);
}

/* Recovery. */

void
prog_shard_open(struct prog_set *progs, uint16_t number, uint64_t epoch)
{
	struct shard *shard = shard_find(progs, number);

	if (shard != NULL) {
		if (epoch <= shard->epoch)
			return;
		prog_shard_close(progs, number);
	}
	shard = g_new0(struct shard, 1);
	shard->progs = progs;
	shard->number = number;
	shard->epoch = epoch;
	shard->table =
	    prog_table_new(progs->options.datacentre, number, run_free);
	shard->exports =
	    g_ptr_array_new_with_free_func((GDestroyNotify)prog_table_free);
	g_hash_table_insert(progs->shards, GUINT_TO_POINTER(number), shard);
}

static const char *
lost_call_engine(const struct prog_state *program)
{
	return (program->call_kind == PROG_CALL_MODEL ? "*" : NULL);
}

/* End a call whose owner was lost: its reserve stays spent. */
static void
end_lost_call(struct shard *shard, const struct prog_state *program)
{
	json_t *payload = json_pack("{s:s,s:b,s:I}", "o", "maybe", "lost", 1,
	    "s", (json_int_t)program->call_reserve);
	const char *engine = lost_call_engine(program);

	if (engine != NULL)
		json_object_set_new(payload, "e", json_string(engine));
	emit(shard, PROG_RECORD_END, program->id, payload);
}

/* Change a program state of an export as end_lost_call() would. */
static void
state_end_lost_call(struct prog_state *program)
{
	struct prog_intent *intent = NULL;

	if (!program->active)
		return;
	program->active = false;
	program->spent += program->call_reserve;
	if (program->call_key != NULL)
		intent =
		    g_hash_table_lookup(program->intents, program->call_key);
	if (intent != NULL && intent->kind == PROG_CALL_ONCE)
		intent->state = PROG_INTENT_MAYBE_RAN;
	else if (intent != NULL)
		g_hash_table_remove(program->intents, intent->key);
	if (program->call_kind == PROG_CALL_MODEL) {
		g_ptr_array_set_size(program->engines, 0);
		g_ptr_array_add(program->engines, g_strdup("*"));
	}
}

static void
intents_set_time(struct prog_state *program, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, program->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct prog_intent *)value)->retained_since = now;
}

/* Copy the ids of a shard's programs, because the table may change while they
 * are used. */
static GPtrArray *
shard_ids(const struct shard *shard)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(ids, g_strdup(key));
	return (ids);
}

static bool
is_changed_later(
    const struct prog_state *program, const struct prog_state *other)
{
	if (program->changed_epoch != other->changed_epoch)
		return (program->changed_epoch > other->changed_epoch);
	return (program->changed_seq > other->changed_seq);
}

/*
 * Merge two states of a program of which neither may include the other.  The
 * history is that of the later change.  Intents of the other state are added,
 * so that no call runs twice; those of calls that may be repeated are added
 * only if all is set.
 */
static json_t *
states_merge(
    const struct prog_state *later, const struct prog_state *other, bool all)
{
	json_t *state = prog_state_to_json(later),
	       *rest = prog_state_to_json(other), *item;
	json_t *intents = json_object_get(state, "in");
	json_t *engines = json_object_get(state, "en");
	size_t i;

	json_array_foreach(json_object_get(rest, "in"), i, item)
	{
		const char *key =
		    json_string_value(json_object_get(item, "key"));
		const struct prog_intent *intent =
		    g_hash_table_lookup(other->intents, key);

		if (!later->closed &&
		    !g_hash_table_contains(later->intents, key) &&
		    (all || intent->kind == PROG_CALL_ONCE))
			json_array_append(intents, item);
	}
	json_array_foreach(json_object_get(rest, "en"), i, item)
	{
		if (json_array_size(engines) < PROG_ENGINES_MAX)
			json_array_append(engines, item);
		else
			json_array_set_new(engines, 0, json_string("*"));
	}
	json_decref(rest);
	json_object_set_new(
	    state, "s", json_integer(MAX(later->spent, other->spent)));
	return (state);
}

/*
 * Emit a record that replaces a program's state.  The retention of its intents
 * starts at the program's last use.
 */
static void
state_emit(struct shard *shard, const char *id, json_t *state, clk_ms now)
{
	struct prog_state *program;
	char copy[PROG_ID_SIZE];

	/* id may lie in the state that is replaced. */
	g_strlcpy(copy, id, sizeof(copy));
	emit(shard, PROG_RECORD_STATE, copy, state);
	program = prog_table_find(shard->table, copy);
	if (program->owner_run == NULL)
		run_new(shard, program, now)->unproven = true;
	run_of(program)->program = program;
	intents_set_time(program, run_of(program)->last_use);
}

/*
 * Recount the open sub-agents of each program: after a merge, parent and
 * sub-agent may come from different exports.  If lost is set, budgets of
 * sub-agents that no export contains count as spent.
 */
static void
children_recount(struct shard *shard, bool lost, clk_ms now)
{
	GPtrArray *ids = shard_ids(shard);

	for (guint i = 0; i < ids->len; i++) {
		const struct prog_state *parent =
		    prog_table_find(shard->table, g_ptr_array_index(ids, i));
		int64_t lent = 0, children = 0;
		json_t *state;

		for (guint j = 0; j < ids->len; j++) {
			const struct prog_state *child = prog_table_find(
			    shard->table, g_ptr_array_index(ids, j));

			if (child->closed ||
			    strcmp(child->parent, parent->id) != 0)
				continue;
			lent += child->limit;
			children++;
		}
		if (parent->closed ||
		    (lent == parent->lent && children == parent->children))
			continue;
		state = prog_state_to_json(parent);
		if (lost && lent < parent->lent)
			json_object_set_new(state, "s",
			    json_integer(parent->spent + parent->lent - lent));
		json_object_set_new(state, "l", json_integer(lent));
		json_object_set_new(state, "n", json_integer(children));
		state_emit(shard, parent->id, state, now);
	}
	g_ptr_array_unref(ids);
}

static void
program_merge(struct shard *shard, struct prog_state *program, clk_ms now)
{
	struct prog_state *ours = prog_table_find(shard->table, program->id);

	state_end_lost_call(program);
	if (ours == NULL) {
		state_emit(
		    shard, program->id, prog_state_to_json(program), now);
	} else if (is_changed_later(program, ours)) {
		state_emit(shard, program->id,
		    states_merge(program, ours, false), now);
	} else if (is_changed_later(ours, program)) {
		state_emit(
		    shard, program->id, states_merge(ours, program, true), now);
	}
}

/* Merge an export into the state unless the state includes it. */
static void
export_merge(struct shard *shard, const struct prog_table *export, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	if (prog_table_includes(shard->table, export))
		return;
	g_hash_table_iter_init(&iter, export->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		program_merge(shard, value, now);
	children_recount(shard, false, now);
	shard->proven_epoch = MAX(shard->proven_epoch, export->proven_epoch);
}

bool
prog_recover_apply(
    struct prog_set *progs, clk_ms now, const struct prog_record *record)
{
	struct shard *shard = shard_find(progs, record->shard);
	enum prog_table_result result;

	if (shard == NULL || record->epoch > shard->epoch ||
	    record->datacentre != progs->options.datacentre)
		return (false);
	if (record->kind != PROG_RECORD_EXPORT_HEAD &&
	    record->kind != PROG_RECORD_STATE)
		return (false);
	/* An export of this owner's own records contains nothing new. */
	if (record->epoch == shard->epoch)
		return (true);
	if (shard->recovered && !shard->unproven)
		return (true);
	if (record->kind == PROG_RECORD_EXPORT_HEAD) {
		prog_table_free(shard->incoming);
		shard->incoming = prog_table_new(
		    progs->options.datacentre, record->shard, run_free);
	}
	if (shard->incoming == NULL)
		return (false);
	result = prog_table_apply(shard->incoming, record);
	if (result != PROG_TABLE_OK && result != PROG_TABLE_OLD)
		return (false);
	if (shard->incoming->staged != NULL)
		return (true);
	if (shard->recovered) {
		export_merge(shard, shard->incoming, now);
		prog_table_free(shard->incoming);
	} else {
		g_ptr_array_add(shard->exports, shard->incoming);
	}
	shard->incoming = NULL;
	return (true);
}

/* The newest export, or the shard's own table if there is none. */
static const struct prog_table *
exports_newest(const struct shard *shard)
{
	const struct prog_table *best = shard->table;

	for (guint i = 0; i < shard->exports->len; i++) {
		const struct prog_table *export =
		    g_ptr_array_index(shard->exports, i);

		if (export->epoch > best->epoch ||
		    (export->epoch == best->epoch && export->seq > best->seq))
			best = export;
	}
	return (best);
}

/* Start from the newest export; the others stay in shard->exports. */
static void
exports_adopt_newest(struct shard *shard)
{
	const struct prog_table *best = exports_newest(shard);
	guint index;

	if (best == shard->table)
		return;
	prog_table_free(shard->table);
	g_ptr_array_find(shard->exports, best, &index);
	shard->table = g_ptr_array_steal_index(shard->exports, index);
}

static void
shard_prove(struct shard *shard, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	children_recount(shard, true, now);
	emit(shard, PROG_RECORD_PROVEN, "", json_object());
	shard->unproven = false;
	shard->proven_epoch = shard->epoch;
	prog_table_free(shard->incoming);
	shard->incoming = NULL;
	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_of(value)->unproven = false;
}

/* End the calls of the former owner that have no end record. */
static void
end_lost_calls(struct shard *shard)
{
	GPtrArray *lost = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct prog_state *)value)->active)
			g_ptr_array_add(lost, value);
	}
	for (guint i = 0; i < lost->len; i++)
		end_lost_call(shard, g_ptr_array_index(lost, i));
	g_ptr_array_unref(lost);
}

void
prog_recover_end(
    struct prog_set *progs, clk_ms now, uint16_t number, bool proven)
{
	struct shard *shard = shard_find(progs, number);
	bool complete = true;
	GHashTableIter iter;
	void *value;

	if (shard == NULL)
		return;
	if (shard->recovered) {
		if (proven && shard->unproven)
			shard_prove(shard, now);
		return;
	}
	exports_adopt_newest(shard);
	for (guint i = 0; i < shard->exports->len; i++)
		complete &= prog_table_includes(
		    shard->table, g_ptr_array_index(shard->exports, i));
	shard->recovered = true;
	shard->unproven = !proven || !complete;
	shard->proven_epoch = shard->table->proven_epoch;
	shard->acked = shard->table->seq;
	/* The state isn't proven until the other exports are merged. */
	emit(shard, PROG_RECORD_RECOVER, "",
	    json_pack("{s:I,s:I,s:b}", "epoch", (json_int_t)shard->table->epoch,
		"seq", (json_int_t)shard->table->seq, "proven",
		!shard->unproven));
	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_new(shard, value, now)->unproven = shard->unproven;
	end_lost_calls(shard);
	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		intents_set_time(value, now);
	for (guint i = 0; i < shard->exports->len; i++)
		export_merge(shard, g_ptr_array_index(shard->exports, i), now);
	g_ptr_array_set_size(shard->exports, 0);
	if (proven && shard->unproven)
		shard_prove(shard, now);
}

uint64_t
prog_shard_proven_epoch(const struct prog_set *progs, uint16_t number)
{
	const struct shard *shard = shard_find(progs, number);

	if (shard == NULL)
		return (0);
	return (shard->recovered ? shard->proven_epoch
				 : exports_newest(shard)->proven_epoch);
}

/* Closing and draining shards. */

static void
queue_refuse(struct prog_set *progs, struct run *run, const struct vd *vd)
{
	struct call *call;

	while ((call = g_queue_pop_head(&run->waiting)) != NULL) {
		call_answer(progs, call, 0, vd, false);
		call_free(progs, call);
	}
}

static struct vd
not_owner(void)
{
	struct vd vd = vd_make(VD_NOT_RUN, VD_NOT_OWNER,
	    "this instance does not own the program's shard");

	vd.retry_after = RETRY_AFTER_MS;
	return (vd);
}

void
prog_shard_close(struct prog_set *progs, uint16_t number)
{
	struct shard *shard = shard_find(progs, number);
	struct vd not_sent = not_owner();
	struct vd sent = vd_make(VD_MAYBE, VD_OWNER_LOST,
	    "the shard passed to another instance while the call ran");
	GHashTableIter iter;
	void *value;

	if (shard == NULL)
		return;
	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = run_of(value);

		if (run == NULL)
			continue;
		if (run->current != NULL)
			call_answer(progs, run->current, 0,
			    run->current->state == CALL_BEGINNING ? &not_sent
								  : &sent,
			    false);
		queue_refuse(progs, run, &not_sent);
	}
	g_hash_table_remove(progs->shards, GUINT_TO_POINTER(number));
	events_run(progs);
}

unsigned
prog_shard_busy(const struct prog_set *progs, uint16_t number)
{
	const struct shard *shard = shard_find(progs, number);
	unsigned busy = 0;
	GHashTableIter iter;
	void *value;

	if (shard == NULL || !shard->recovered)
		return (0);
	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		busy += run_of(value)->current != NULL;
	return (busy);
}

void
prog_shard_drain(struct prog_set *progs, uint16_t number)
{
	struct shard *shard = shard_find(progs, number);
	struct vd vd = not_owner();
	GHashTableIter iter;
	void *value;

	if (shard == NULL)
		return;
	shard->draining = true;
	g_hash_table_iter_init(&iter, shard->table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (run_of(value) != NULL)
			queue_refuse(progs, run_of(value), &vd);
	}
	events_run(progs);
}

GPtrArray *
prog_shard_export(const struct prog_set *progs, uint16_t number)
{
	const struct shard *shard = shard_find(progs, number);

	return (shard != NULL ? prog_table_export(shard->table)
			      : prog_records_new());
}

uint64_t
prog_shard_seq(const struct prog_set *progs, uint16_t number)
{
	const struct shard *shard = shard_find(progs, number);

	return (shard != NULL ? shard->table->seq : 0);
}

/*
 * An unproven program isn't closed and its stored replies don't expire, so that
 * an export that arrives later finds only the changes that calls made.
 */
static struct vd
history_unproven(void)
{
	struct vd vd = vd_make(VD_NOT_RUN, VD_HISTORY_UNPROVEN,
	    "the latest turn of the program is not known for certain");

	vd.retry_after = RETRY_AFTER_MS;
	return (vd);
}

/* Closing programs. */

static void
run_try_close(struct run *run)
{
	struct shard *shard = run->shard;
	struct prog_state *program = run->program, *parent;
	char parent_id[PROG_ID_SIZE];

	if (!run->closing || run->current != NULL || program->closed ||
	    !g_queue_is_empty(&run->waiting) || program->children > 0)
		return;
	g_strlcpy(parent_id, program->parent, sizeof(parent_id));
	emit(shard, PROG_RECORD_CLOSE, program->id, json_object());
	parent = prog_table_find(shard->table, parent_id);
	if (parent == NULL)
		return;
	run_try_close(run_of(parent));
}

static void
run_close(struct run *run)
{
	struct prog_set *progs = run->shard->progs;
	struct vd vd = vd_make(
	    VD_NOT_RUN, VD_PROGRAM_CLOSED, "the program has been closed");
	GPtrArray *children = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	run->closing = true;
	queue_refuse(progs, run, &vd);
	if (run->program->children > 0) {
		g_hash_table_iter_init(&iter, run->shard->table->programs);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct prog_state *child = value;

			if (strcmp(child->parent, run->program->id) == 0 &&
			    !child->closed && !run_of(child)->closing)
				g_ptr_array_add(children, child->owner_run);
		}
	}
	if (children->len == 0)
		run_try_close(run);
	/* The last child to close also closes this program. */
	for (guint i = 0; i < children->len; i++)
		run_close(g_ptr_array_index(children, i));
	g_ptr_array_unref(children);
}

static struct vd
find_refusal(const struct prog_set *progs, const char *program)
{
	const struct shard *shard;
	struct prog_id id;
	struct vd vd;

	if (!prog_id_parse(program, &id))
		return (vd_make(
		    VD_NOT_RUN, VD_UNKNOWN_PROGRAM, "not the id of a program"));
	shard = shard_find(progs, id.shard);
	if (id.datacentre != progs->options.datacentre || shard == NULL ||
	    !shard->recovered || shard->draining)
		return (not_owner());
	if (shard->unproven) {
		vd = vd_make(VD_NOT_RUN, VD_HISTORY_UNPROVEN,
		    "the program is not in the state that was recovered");
		vd.retry_after = RETRY_AFTER_MS;
		return (vd);
	}
	return (vd_make(VD_NOT_RUN, VD_UNKNOWN_PROGRAM, "no such program"));
}

struct vd
prog_close(struct prog_set *progs, clk_ms now, const char *organisation,
    const char *program)
{
	struct run *run = run_find(progs, program);

	(void)now;
	if (run == NULL)
		return (find_refusal(progs, program));
	if (organisation != NULL &&
	    strcmp(organisation, run->program->organisation) != 0)
		return (vd_make(VD_NOT_RUN, VD_FORBIDDEN,
		    "the program belongs to another organisation"));
	if (run->unproven)
		return (history_unproven());
	if (!run->program->closed && !run->closing)
		run_close(run);
	events_run(progs);
	return (vd_ok());
}

/* Creating programs. */

static bool
name_valid(const char *name, size_t max)
{
	return (name != NULL && strlen(name) <= max &&
	    g_utf8_validate(name, -1, NULL));
}

static void
create(struct shard *shard, clk_ms now, const char *id,
    const struct prog_new_program *program, bool implicit)
{
	struct run *run;
	json_t *payload = json_pack("{s:s,s:s,s:I}", "o", program->organisation,
	    "u", program->urgency != NULL ? program->urgency : "", "b",
	    (json_int_t)program->budget);

	if (program->parent != NULL)
		json_object_set_new(payload, "p", json_string(program->parent));
	if (implicit)
		json_object_set_new(payload, "i", json_true());
	emit(shard, PROG_RECORD_CREATE, id, payload);
	run = run_new(shard, prog_table_find(shard->table, id), now);
	/* An implicit program may have existed under a former owner. */
	run->unproven = implicit && shard->unproven;
}

static struct vd
parent_check(const struct prog_set *progs,
    const struct prog_new_program *program, struct run **parent)
{
	struct vd vd;

	*parent = run_find(progs, program->parent);
	if (*parent == NULL)
		return (find_refusal(progs, program->parent));
	if (strcmp((*parent)->program->organisation, program->organisation) !=
	    0)
		return (vd_make(VD_NOT_RUN, VD_FORBIDDEN,
		    "the parent belongs to another organisation"));
	if ((*parent)->closing || (*parent)->program->closed)
		return (vd_make(VD_NOT_RUN, VD_PROGRAM_CLOSED,
		    "the parent has been closed"));
	if ((*parent)->unproven) {
		vd = vd_make(VD_NOT_RUN, VD_HISTORY_UNPROVEN,
		    "the parent's budget is not known for certain");
		vd.retry_after = RETRY_AFTER_MS;
		return (vd);
	}
	if (prog_state_tokens_left((*parent)->program) < program->budget)
		return (vd_make(VD_NOT_RUN, VD_BUDGET_EXCEEDED,
		    "the parent has %lld tokens left",
		    (long long)prog_state_tokens_left((*parent)->program)));
	return (vd_ok());
}

struct vd
prog_create(struct prog_set *progs, clk_ms now,
    const struct prog_new_program *program, char id[PROG_ID_SIZE])
{
	struct prog_id fresh = {
	    .datacentre = progs->options.datacentre, .shard = program->shard};
	struct shard *shard;
	struct run *parent = NULL;
	struct vd vd;

	if (!name_valid(program->organisation, PROG_NAME_MAX) ||
	    program->budget <= 0 || program->budget > TOKENS_MAX ||
	    (program->urgency != NULL &&
		!name_valid(program->urgency, PROG_NAME_MAX)))
		return (vd_make(VD_NOT_RUN, VD_BAD_REQUEST,
		    "a program needs a valid organisation and a budget"));
	if (program->parent != NULL) {
		vd = parent_check(progs, program, &parent);
		if (!vd_is_ok(&vd))
			return (vd);
		parent->last_use = now;
		fresh.shard = parent->shard->number;
	}
	shard = shard_find(progs, fresh.shard);
	if (shard == NULL || !shard->recovered || shard->draining)
		return (not_owner());
	do {
		progs->hooks.random(
		    fresh.random, sizeof(fresh.random), progs->hooks.arg);
		prog_id_format(&fresh, id);
	} while (prog_table_find(shard->table, id) != NULL);
	create(shard, now, id, program, false);
	return (vd_ok());
}

/* Calls. */

static int64_t
call_reserve(const struct prog_state *program, const struct call *call)
{
	if (call->kind != PROG_CALL_MODEL)
		return (call->prompt_tokens + call->answer_tokens);
	return (program->context_tokens + call->prompt_tokens +
	    call->answer_tokens);
}

/* Emit the begin record of a call, or return why it can't begin. */
static struct vd
call_begin(struct run *run, struct call *call)
{
	struct prog_state *program = run->program;
	json_t *payload;
	char text[2 * PROG_DIGEST_SIZE + 1];

	if (run->closing || program->closed)
		return (vd_make(VD_NOT_RUN, VD_PROGRAM_CLOSED,
		    "the program has been closed"));
	if (call->expected_turn != 0 &&
	    call->expected_turn != program->turn + 1)
		return (vd_make(VD_NOT_RUN, VD_TURN_MISMATCH,
		    "the next turn of the program is %u", program->turn + 1));
	if (program->turn >= run->shard->progs->options.turn_limit ||
	    g_hash_table_size(program->intents) >=
		run->shard->progs->options.turn_limit)
		return (vd_make(VD_NOT_RUN, VD_TURN_LIMIT,
		    "the program has made %u turns", program->turn));
	call->reserve = call_reserve(program, call);
	if (call->reserve > prog_state_tokens_left(program))
		return (vd_make(VD_NOT_RUN, VD_BUDGET_EXCEEDED,
		    "the call may need %lld tokens and %lld are left",
		    (long long)call->reserve,
		    (long long)prog_state_tokens_left(program)));
	call->turn = program->turn + 1;
	payload = json_pack("{s:i,s:I,s:I}", "k", call->kind, "t",
	    (json_int_t)call->turn, "r", (json_int_t)call->reserve);
	if (call->key != NULL) {
		for (size_t i = 0; i < PROG_DIGEST_SIZE; i++)
			(void)g_snprintf(
			    text + 2 * i, 3, "%02x", call->digest[i]);
		json_object_set_new(payload, "key", json_string(call->key));
		json_object_set_new(payload, "d", json_string(text));
	}
	call->seq = emit(run->shard, PROG_RECORD_BEGIN, program->id, payload);
	call->state = CALL_BEGINNING;
	run->current = call;
	return (vd_ok());
}

/* Start the next queued call that can begin. */
static void
run_start_next(struct run *run)
{
	struct prog_set *progs = run->shard->progs;
	struct call *call;
	struct vd vd;

	while (run->current == NULL &&
	    (call = g_queue_pop_head(&run->waiting)) != NULL) {
		vd = call_begin(run, call);
		if (vd_is_ok(&vd)) {
			event_start(progs, call);
			continue;
		}
		call_answer(progs, call, 0, &vd, false);
		call_free(progs, call);
	}
	run_try_close(run);
}

static enum prog_submit_outcome
refuse(struct prog_answer *answer, struct vd vd)
{
	answer->vd = vd;
	return (PROG_SUBMIT_REFUSED);
}

/*
 * Refuse a call whose key can't be looked up.  An earlier attempt of a
 * non-idempotent call may have run.
 */
static enum prog_submit_outcome
refuse_unknown_key(
    struct prog_answer *answer, const struct prog_call *call, struct vd vd)
{
	if (call->kind == PROG_CALL_ONCE)
		vd.ran = VD_MAYBE;
	return (refuse(answer, vd));
}

/* Find the program's call with the key, in progress or queued. */
static struct call *
run_call_by_key(const struct run *run, const char *key)
{
	if (run->current != NULL && run->current->key != NULL &&
	    strcmp(run->current->key, key) == 0)
		return (run->current);
	for (GList *item = run->waiting.head; item != NULL; item = item->next) {
		struct call *call = item->data;

		if (call->key != NULL && strcmp(call->key, key) == 0)
			return (call);
	}
	return (NULL);
}

static struct vd
key_reused(void)
{
	return (vd_make(VD_NOT_RUN, VD_KEY_REUSED,
	    "the Idempotency-Key was used for another request"));
}

static enum prog_submit_outcome
join(struct prog_set *progs, struct call *call, const struct prog_call *asked,
    prog_handle *handle, struct prog_answer *answer)
{
	struct vd vd;

	if (memcmp(call->digest, asked->digest, PROG_DIGEST_SIZE) != 0)
		return (refuse(answer, key_reused()));
	if (call->handles->len > PROG_JOIN_MAX) {
		vd = vd_make(call->state == CALL_QUEUED ? VD_NOT_RUN : VD_MAYBE,
		    VD_QUEUE_FULL, "%d callers wait for this call already",
		    PROG_JOIN_MAX);
		vd.retry_after = RETRY_AFTER_MS;
		return (refuse(answer, vd));
	}
	*handle = handle_new(progs, call);
	g_array_append_val(call->handles, *handle);
	return (PROG_SUBMIT_JOIN);
}

static enum prog_submit_outcome
replay(struct prog_set *progs, const struct run *run,
    const struct prog_intent *intent, const struct prog_call *asked,
    struct prog_answer *answer)
{
	struct vd vd;

	if (memcmp(intent->digest, asked->digest, PROG_DIGEST_SIZE) != 0)
		return (refuse(answer, key_reused()));
	if (intent->state != PROG_INTENT_RAN)
		return (refuse(answer,
		    vd_make(VD_MAYBE, VD_OUTCOME_UNKNOWN,
			"an earlier attempt with this key may have run")));
	if (intent->end_seq > run->shard->acked) {
		vd = vd_make(VD_MAYBE, VD_COPIES_UNAVAILABLE,
		    "the call ran; its outcome is not replicated yet");
		vd.retry_after = RETRY_AFTER_MS;
		return (refuse(answer, vd));
	}
	answer->turn = intent->turn;
	if (intent->reply == NULL)
		return (refuse(answer,
		    vd_make(VD_RAN, VD_OUTCOME_UNKNOWN,
			"the call ran; its reply is not stored")));
	g_free(progs->answer_type);
	g_free(progs->answer_reply);
	progs->answer_type = g_strdup(intent->content_type);
	progs->answer_reply = g_memdup2(intent->reply, intent->reply_len);
	answer->vd = vd_ok();
	answer->status = intent->status;
	if (progs->answer_type != NULL)
		answer->content_type = progs->answer_type;
	answer->reply = progs->answer_reply;
	answer->reply_len = intent->reply_len;
	return (PROG_SUBMIT_REPLAY);
}

static struct vd
call_check(const struct prog_call *call)
{
	bool bad = !name_valid(call->organisation, PROG_NAME_MAX) ||
	    (call->key != NULL && !name_valid(call->key, PROG_KEY_MAX)) ||
	    call->prompt_tokens < 0 || call->answer_tokens < 0 ||
	    call->prompt_tokens > TOKENS_MAX ||
	    call->answer_tokens > TOKENS_MAX || call->implicit_budget < 0 ||
	    call->implicit_budget > TOKENS_MAX ||
	    (call->messages != NULL && !json_is_array(call->messages));
	json_t *message;
	size_t i;

	if (!bad)
		json_array_foreach(call->messages, i, message) bad |=
		    !json_is_object(message);
	if (bad)
		return (vd_make(
		    VD_NOT_RUN, VD_BAD_REQUEST, "the call is malformed"));
	if (call->kind == PROG_CALL_ONCE && call->key == NULL)
		return (vd_make(VD_NOT_RUN, VD_KEY_REQUIRED,
		    "a call that may not be repeated needs a key"));
	return (vd_ok());
}

/* Find the program of a call; an implicit program is created if unknown. */
static struct run *
call_program(struct prog_set *progs, clk_ms now, const struct prog_call *call,
    struct vd *vd)
{
	struct run *run = run_find(progs, call->program);
	struct prog_new_program program = {
	    .organisation = call->organisation,
	    .budget = call->implicit_budget,
	};
	struct shard *shard;
	struct prog_id id;

	if (run != NULL && !run->shard->draining)
		return (run);
	*vd = run != NULL ? not_owner() : find_refusal(progs, call->program);
	if (vd->code == VD_HISTORY_UNPROVEN && call->implicit &&
	    call->kind != PROG_CALL_ONCE)
		vd->code = VD_UNKNOWN_PROGRAM;
	if (!call->implicit || vd->code != VD_UNKNOWN_PROGRAM ||
	    !prog_id_parse(call->program, &id))
		return (NULL);
	shard = shard_find(progs, id.shard);
	create(shard, now, call->program, &program, true);
	return (run_find(progs, call->program));
}

/*
 * Whether the call is refused because its program is unproven: non-idempotent
 * calls, calls without a stated turn, and model calls unless unproven_spend is
 * set.
 */
static bool
unproven_refuses(const struct run *run, const struct prog_call *call)
{
	if (!run->unproven)
		return (false);
	if (call->kind == PROG_CALL_MODEL &&
	    !run->shard->progs->options.unproven_spend)
		return (true);
	return (call->kind == PROG_CALL_ONCE || call->turn == 0);
}

static struct call *
call_new(struct prog_set *progs, struct run *run, const struct prog_call *asked)
{
	struct call *call = g_new0(struct call, 1);
	prog_handle handle = handle_new(progs, call);

	call->run = run;
	call->handles = g_array_new(FALSE, FALSE, sizeof(prog_handle));
	g_array_append_val(call->handles, handle);
	call->kind = asked->kind;
	call->key = g_strdup(asked->key);
	memcpy(call->digest, asked->digest, PROG_DIGEST_SIZE);
	call->expected_turn = asked->turn;
	call->prompt_tokens = asked->prompt_tokens;
	call->answer_tokens = asked->answer_tokens;
	call->messages = json_deep_copy(asked->messages);
	return (call);
}

static enum prog_submit_outcome
submit_new(struct prog_set *progs, struct run *run,
    const struct prog_call *asked, prog_handle *handle,
    struct prog_answer *answer)
{
	uint32_t next = run->program->turn + 1;
	uint32_t ahead = run->waiting.length + (run->current != NULL ? 1U : 0U);
	struct call *call;
	struct vd vd;

	if (asked->turn != 0 &&
	    (asked->turn < next || asked->turn - next > ahead))
		return (refuse(answer,
		    vd_make(VD_NOT_RUN, VD_TURN_MISMATCH,
			"the next turn of the program is %u", next + ahead)));
	if (run->waiting.length >= PROG_QUEUE_MAX) {
		vd = vd_make(VD_NOT_RUN, VD_QUEUE_FULL,
		    "%d calls of the program wait already", PROG_QUEUE_MAX);
		vd.retry_after = RETRY_AFTER_MS;
		return (refuse(answer, vd));
	}
	call = call_new(progs, run, asked);
	*handle = g_array_index(call->handles, prog_handle, 0);
	if (run->current != NULL) {
		g_queue_push_tail(&run->waiting, call);
		return (PROG_SUBMIT_QUEUED);
	}
	vd = call_begin(run, call);
	if (vd_is_ok(&vd))
		return (PROG_SUBMIT_START);
	call_free(progs, call);
	*handle = 0;
	return (refuse(answer, vd));
}

enum prog_submit_outcome
prog_call_submit(struct prog_set *progs, clk_ms now,
    const struct prog_call *asked, prog_handle *handle,
    struct prog_answer *answer)
{
	struct prog_intent *intent;
	struct call *call;
	struct run *run;
	struct vd vd;

	*handle = 0;
	*answer = (struct prog_answer){.content_type = ""};
	vd = call_check(asked);
	if (!vd_is_ok(&vd))
		return (refuse(answer, vd));
	run = call_program(progs, now, asked, &vd);
	if (run == NULL && vd.code == VD_NOT_OWNER)
		return (refuse(answer, vd));
	if (run == NULL)
		return (refuse_unknown_key(answer, asked, vd));
	if (strcmp(run->program->organisation, asked->organisation) != 0)
		return (refuse(answer,
		    vd_make(VD_NOT_RUN, VD_FORBIDDEN,
			"the program belongs to another organisation")));
	run->last_use = now;
	if (asked->key != NULL) {
		call = run_call_by_key(run, asked->key);
		if (call != NULL)
			return (join(progs, call, asked, handle, answer));
		intent = g_hash_table_lookup(run->program->intents, asked->key);
		if (intent != NULL)
			return (replay(progs, run, intent, asked, answer));
	}
	if (run->program->closed) {
		vd = vd_make(VD_NOT_RUN, VD_PROGRAM_CLOSED,
		    "the program has been closed");
		/* Only an implicit program keeps its intents. */
		if (!run->program->implicit || run->unproven)
			return (refuse_unknown_key(answer, asked, vd));
		return (refuse(answer, vd));
	}
	if (run->closing)
		return (refuse(answer,
		    vd_make(VD_NOT_RUN, VD_PROGRAM_CLOSED,
			"the program has been closed")));
	if (unproven_refuses(run, asked)) {
		return (refuse_unknown_key(answer, asked, history_unproven()));
	}
	return (submit_new(progs, run, asked, handle, answer));
}

bool
prog_call_get(const struct prog_set *progs, prog_handle handle,
    struct prog_call_info *info)
{
	const struct call *call = handle_call(progs, handle);

	if (call == NULL || call->state == CALL_QUEUED)
		return (false);
	*info = (struct prog_call_info){
	    .program = call->run->program->id,
	    .organisation = call->run->program->organisation,
	    .urgency = call->run->program->urgency,
	    .kind = call->kind,
	    .turn = call->turn,
	    .shard = call->run->shard->number,
	    .epoch = call->run->shard->epoch,
	    .seq = call->seq,
	    .reserve = call->reserve,
	    .created = call->run->created,
	};
	return (true);
}

char *
prog_call_messages_text(const struct prog_set *progs, prog_handle handle)
{
	const struct call *call = handle_call(progs, handle);
	const GString *history;
	GString *text;
	json_t *message;
	size_t i;

	if (call == NULL || call->state == CALL_QUEUED)
		return (NULL);
	history = call->run->program->history;
	text = g_string_sized_new(history->len + 256);
	g_string_append_c(text, '[');
	g_string_append_len(text, history->str, (gssize)history->len);
	json_array_foreach(call->messages, i, message)
	{
		char *dump = json_dumps(message, JSON_COMPACT);

		if (text->len > 1)
			g_string_append_c(text, ',');
		g_string_append(text, dump != NULL ? dump : "{}");
		free(dump);
	}
	g_string_append_c(text, ']');
	return (g_string_free(text, FALSE));
}

json_t *
prog_call_messages(const struct prog_set *progs, prog_handle handle)
{
	char *text = prog_call_messages_text(progs, handle);
	json_t *messages = NULL;

	if (text != NULL)
		messages = json_loads(text, JSON_ALLOW_NUL, NULL);
	g_free(text);
	return (messages);
}

struct vd
prog_call_begun(
    struct prog_set *progs, clk_ms now, prog_handle handle, bool acked)
{
	struct call *call = started_call(progs, handle, CALL_BEGINNING);
	struct run *run;
	struct vd vd;

	if (call == NULL)
		return (not_owner());
	run = call->run;
	run->last_use = now;
	if (acked) {
		run->shard->acked = MAX(run->shard->acked, call->seq);
		call->state = CALL_RUNNING;
		return (vd_ok());
	}
	vd = vd_make(VD_NOT_RUN, VD_COPIES_UNAVAILABLE,
	    "the call could not be replicated");
	vd.retry_after = RETRY_AFTER_MS;
	emit(run->shard, PROG_RECORD_END, run->program->id,
	    json_pack("{s:s}", "o", "no"));
	run->current = NULL;
	call_answer(progs, call, 1, &vd, false);
	call_free(progs, call);
	run_start_next(run);
	events_run(progs);
	return (vd);
}

static int64_t
tokens_charged(const struct call *call, const struct prog_result *result)
{
	if (result->vd.ran == VD_NOT_RUN)
		return (0);
	if (result->tokens < 0 || result->tokens > TOKENS_MAX)
		return (call->reserve);
	/* A call that may have run can't have used more than its reserve. */
	if (result->vd.ran == VD_MAYBE)
		return (MIN(result->tokens, call->reserve));
	return (result->tokens);
}

static const char *
engine_held(const struct call *call, const struct prog_result *result)
{
	if (call->kind != PROG_CALL_MODEL || result->vd.ran == VD_NOT_RUN)
		return (NULL);
	if (name_valid(result->engine, PROG_NAME_MAX) &&
	    result->engine[0] != '\0')
		return (result->engine);
	return ("*");
}

static void
end_messages(
    json_t *payload, const struct call *call, const struct prog_result *result)
{
	json_t *messages = json_array(), *message;
	size_t i;

	json_array_foreach(call->messages, i, message)
	    json_array_append(messages, message);
	json_array_foreach(result->messages, i, message)
	{
		if (json_is_object(message))
			json_array_append(messages, message);
	}
	json_object_set_new(payload, "m", messages);
}

static json_t *
end_payload(const struct call *call, const struct prog_result *result)
{
	static const char *const names[] = {"ran", "no", "maybe"};
	bool turn = result->vd.ran == VD_RAN &&
	    (call->kind != PROG_CALL_MODEL || vd_is_ok(&result->vd));
	const char *engine = engine_held(call, result);
	json_t *payload = json_pack("{s:s,s:I}", "o", names[result->vd.ran],
	    "s", (json_int_t)tokens_charged(call, result));

	if (engine != NULL)
		json_object_set_new(payload, "e", json_string(engine));
	if (!turn)
		return (payload);
	json_object_set_new(payload, "t", json_true());
	if (call->kind == PROG_CALL_MODEL) {
		end_messages(payload, call, result);
		json_object_set_new(payload, "c",
		    json_integer(result->context_tokens > 0
			    ? MIN(result->context_tokens, TOKENS_MAX)
			    : call->reserve));
	}
	if (call->key == NULL)
		return (payload);
	json_object_set_new(
	    payload, "st", json_integer(CLAMP(result->status, 0, 999)));
	if (name_valid(result->content_type, PROG_NAME_MAX))
		json_object_set_new(
		    payload, "ct", json_string(result->content_type));
	if (result->reply != NULL && result->reply_len <= PROG_REPLY_MAX)
		prog_json_set_text(
		    payload, "re", result->reply, result->reply_len);
	return (payload);
}

bool
prog_call_finish(struct prog_set *progs, clk_ms now, prog_handle handle,
    const struct prog_result *result)
{
	struct call *call = started_call(progs, handle, CALL_RUNNING);
	struct prog_state *program;
	struct prog_intent *intent;
	uint32_t before;

	if (call == NULL)
		return (false);
	program = call->run->program;
	before = program->turn;
	call->run->last_use = now;
	call->seq = emit(call->run->shard, PROG_RECORD_END, program->id,
	    end_payload(call, result));
	call->state = CALL_ENDING;
	call->vd = result->vd;
	call->made_turn = program->turn != before ? program->turn : 0;
	call->status = result->status;
	call->content_type = g_strdup(result->content_type);
	/* Other callers may join until prog_call_ended(). */
	if (call->key != NULL && result->reply != NULL) {
		call->reply = g_memdup2(result->reply, result->reply_len);
		call->reply_len = result->reply_len;
	}
	if (call->key != NULL) {
		intent = g_hash_table_lookup(program->intents, call->key);
		if (intent != NULL)
			intent->retained_since = now;
	}
	return (true);
}

void
prog_call_ended(
    struct prog_set *progs, clk_ms now, prog_handle handle, bool acked)
{
	struct call *call = started_call(progs, handle, CALL_ENDING);
	struct run *run;
	struct vd vd;

	if (call == NULL)
		return;
	run = call->run;
	run->last_use = now;
	run->current = NULL;
	vd = call->vd;
	if (acked) {
		run->shard->acked = MAX(run->shard->acked, call->seq);
	} else {
		vd = vd_make(vd.ran == VD_NOT_RUN ? VD_NOT_RUN : VD_MAYBE,
		    VD_COPIES_UNAVAILABLE,
		    "the outcome could not be replicated");
		vd.retry_after = RETRY_AFTER_MS;
	}
	call_answer(progs, call, 1, &vd, acked);
	call_free(progs, call);
	run_start_next(run);
	events_run(progs);
}

bool
prog_call_cancel(struct prog_set *progs, prog_handle handle)
{
	struct call *call = handle_call(progs, handle);
	struct run *run;

	if (call == NULL)
		return (true);
	run = call->run;
	for (guint i = 0; i < call->handles->len; i++) {
		if (g_array_index(call->handles, prog_handle, i) != handle)
			continue;
		if (i == 0 && call->state != CALL_QUEUED)
			return (false);
		g_array_remove_index(call->handles, i);
		handle_free(progs, handle);
		break;
	}
	if (call->handles->len > 0)
		return (true);
	g_queue_remove(&run->waiting, call);
	call_free(progs, call);
	return (true);
}

/* Timeouts. */

static bool
run_is_expired(const struct prog_set *progs, const struct run *run, clk_ms now)
{
	const struct prog_state *program = run->program;
	clk_ms unused = now - run->last_use;

	if (program->closed || run->closing || run->unproven ||
	    run->current != NULL || program->children > 0 ||
	    run->waiting.length > 0)
		return (false);
	if (program->limit > 0 && prog_state_tokens_left(program) <= 0)
		return (
		    unused >= MIN(SPENT_GRACE_MS, progs->options.idle_timeout));
	return (unused >= progs->options.idle_timeout);
}

static void
replies_expire(struct run *run, clk_ms now)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	struct shard *shard = run->shard;
	char id[PROG_ID_SIZE];
	clk_ms keep = run->shard->progs->options.reply_retention;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, run->program->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct prog_intent *intent = value;

		if (intent->state == PROG_INTENT_RAN &&
		    now - intent->retained_since >= keep &&
		    (intent->reply != NULL || intent->kind != PROG_CALL_ONCE ||
			run->program->closed))
			g_ptr_array_add(keys, g_strdup(intent->key));
	}
	/* The last record may remove the program and free run. */
	g_strlcpy(id, run->program->id, sizeof(id));
	for (guint i = 0; i < keys->len; i++)
		emit(shard, PROG_RECORD_REPLY_EXPIRED, id,
		    json_pack("{s:s}", "key",
			(const char *)g_ptr_array_index(keys, i)));
	g_ptr_array_unref(keys);
}

static void
release_request(struct prog_set *progs, struct run *run, clk_ms now)
{
	const struct prog_state *program = run->program;

	if (now < run->release_at)
		return;
	if (run->release_backoff == 0)
		run->release_backoff = progs->options.release_retry;
	else if (run->release_backoff <
	    RELEASE_BACKOFF_MAX * progs->options.release_retry)
		run->release_backoff *= 2;
	run->release_at = now + run->release_backoff;
	for (guint i = 0; i < program->engines->len; i++)
		progs->hooks.on_release(program->id,
		    g_ptr_array_index(program->engines, i), progs->hooks.arg);
}

static void
shard_tick(struct shard *shard, clk_ms now)
{
	GPtrArray *ids;

	if (!shard->recovered)
		return;
	ids = shard_ids(shard);
	for (guint i = 0; i < ids->len; i++) {
		struct prog_state *program =
		    prog_table_find(shard->table, g_ptr_array_index(ids, i));

		if (program == NULL)
			continue;
		if (program->closed && program->engines->len > 0)
			release_request(shard->progs, run_of(program), now);
		if (run_of(program)->unproven)
			continue;
		/* This may remove a program that has been closed. */
		replies_expire(run_of(program), now);
		program =
		    prog_table_find(shard->table, g_ptr_array_index(ids, i));
		if (program == NULL)
			continue;
		if (run_is_expired(shard->progs, run_of(program), now))
			run_close(run_of(program));
	}
	g_ptr_array_unref(ids);
}

void
prog_tick(struct prog_set *progs, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, progs->shards);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		shard_tick(value, now);
	events_run(progs);
}

void
prog_release_done(
    struct prog_set *progs, const char *program, const char *engine)
{
	struct run *run = run_find(progs, program);
	const GPtrArray *engines;

	if (run == NULL || !run->program->closed)
		return;
	engines = run->program->engines;
	for (guint i = 0; i < engines->len; i++) {
		if (strcmp(g_ptr_array_index(engines, i), engine) == 0) {
			emit(run->shard, PROG_RECORD_RELEASED, program,
			    json_pack("{s:s}", "e", engine));
			return;
		}
	}
}

/* For operators. */

static json_t *
program_summary(const struct run *run)
{
	const struct prog_state *program = run->program;
	json_t *summary = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:I,s:I,s:I,s:i,s:b,s:b}",
	    "program_id", program->id, "organisation", program->organisation,
	    "urgency", program->urgency, "parent", program->parent, "turn",
	    (int)program->turn, "budget_tokens", (json_int_t)program->limit,
	    "spent_tokens", (json_int_t)program->spent, "reserved_tokens",
	    (json_int_t)(program->active ? program->call_reserve : 0),
	    "lent_tokens", (json_int_t)program->lent, "bytes",
	    (json_int_t)program->bytes, "queued", (int)run->waiting.length,
	    "proven", !run->unproven, "closed",
	    program->closed || run->closing);

	json_object_set_new(
	    summary, "in_progress", json_boolean(run->current != NULL));
	return (summary);
}

static int
compare_ids(gconstpointer a, gconstpointer b)
{
	return (strcmp((*(const struct run *const *)a)->program->id,
	    (*(const struct run *const *)b)->program->id));
}

json_t *
prog_list(const struct prog_set *progs, const char *organisation,
    const char *after, unsigned limit)
{
	GPtrArray *runs = g_ptr_array_new();
	json_t *list = json_array();
	GHashTableIter shards, programs;
	void *shard, *value;

	g_hash_table_iter_init(&shards, progs->shards);
	while (g_hash_table_iter_next(&shards, NULL, &shard)) {
		g_hash_table_iter_init(
		    &programs, ((struct shard *)shard)->table->programs);
		while (g_hash_table_iter_next(&programs, NULL, &value)) {
			struct prog_state *program = value;

			if (program->owner_run == NULL ||
			    (organisation != NULL &&
				strcmp(organisation, program->organisation) !=
				    0) ||
			    (after != NULL && strcmp(program->id, after) <= 0))
				continue;
			g_ptr_array_add(runs, program->owner_run);
		}
	}
	g_ptr_array_sort(runs, compare_ids);
	for (guint i = 0; i < runs->len && i < limit; i++)
		json_array_append_new(
		    list, program_summary(g_ptr_array_index(runs, i)));
	g_ptr_array_unref(runs);
	return (list);
}

json_t *
prog_show(const struct prog_set *progs, const char *program)
{
	const struct run *run = run_find(progs, program);
	json_t *show, *messages;
	char *text;

	if (run == NULL)
		return (NULL);
	show = program_summary(run);
	text = g_strconcat("[", run->program->history->str, "]", NULL);
	messages = json_loads(text, JSON_ALLOW_NUL, NULL);
	g_free(text);
	json_object_set_new(
	    show, "messages", messages != NULL ? messages : json_array());
	json_object_set_new(show, "intents",
	    json_integer(g_hash_table_size(run->program->intents)));
	return (show);
}

void
prog_counts_get(const struct prog_set *progs, struct prog_counts *counts)
{
	GHashTableIter shards, programs;
	void *value, *item;

	*counts = (struct prog_counts){0};
	g_hash_table_iter_init(&shards, progs->shards);
	while (g_hash_table_iter_next(&shards, NULL, &value)) {
		const struct shard *shard = value;

		counts->bytes += shard->table->bytes;
		g_hash_table_iter_init(&programs, shard->table->programs);
		while (g_hash_table_iter_next(&programs, NULL, &item)) {
			const struct prog_state *program = item;
			const struct run *run = program->owner_run;

			counts->releases +=
			    program->closed && program->engines->len > 0;
			counts->programs += !program->closed;
			if (run == NULL)
				continue;
			counts->queued += run->waiting.length;
			counts->in_progress += run->current != NULL;
		}
	}
}
