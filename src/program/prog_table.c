#include "program/prog_table.h"

#include <stdlib.h>
#include <string.h>

/* Estimated memory in bytes, including the node of the hash table. */
#define INTENT_BYTES  (sizeof(struct prog_intent) + 48)
#define PROGRAM_BYTES (sizeof(struct prog_state) + 96)
#define TOKEN_SUM_MAX ((json_int_t)1 << 50) /* sums can't overflow */

static void
intent_free(void *data)
{
	struct prog_intent *intent = data;

	g_free(intent->key);
	g_free(intent->content_type);
	g_free(intent->reply);
	g_free(intent);
}

static size_t
intent_bytes(const struct prog_intent *intent)
{
	size_t bytes = INTENT_BYTES + strlen(intent->key) + 1;

	if (intent->content_type != NULL)
		bytes += strlen(intent->content_type) + 1;
	return (bytes + intent->reply_len);
}

static void
program_free(struct prog_state *program)
{
	g_free(program->organisation);
	g_free(program->urgency);
	g_free(program->call_key);
	if (program->history != NULL)
		g_string_free(program->history, TRUE);
	g_hash_table_unref(program->intents);
	g_ptr_array_unref(program->engines);
	g_free(program);
}

static struct prog_state *
program_new(const char *id)
{
	struct prog_state *program = g_new0(struct prog_state, 1);

	g_strlcpy(program->id, id, sizeof(program->id));
	program->history = g_string_new(NULL);
	program->intents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, intent_free);
	program->engines = g_ptr_array_new_with_free_func(g_free);
	return (program);
}

static void
program_recount_bytes(struct prog_table *table, struct prog_state *program)
{
	size_t bytes = PROGRAM_BYTES + strlen(program->organisation) +
	    strlen(program->urgency);
	GHashTableIter iter;
	void *value;

	if (program->history != NULL)
		bytes += program->history->allocated_len;
	g_hash_table_iter_init(&iter, program->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bytes += intent_bytes(value);
	for (guint i = 0; i < program->engines->len; i++)
		/* With its NUL and the pointer to it. */
		bytes += strlen(g_ptr_array_index(program->engines, i)) + 9;
	table->bytes += bytes;
	table->bytes -= program->bytes;
	program->bytes = bytes;
}

static void
program_set_changed(
    struct prog_state *program, const struct prog_record *record)
{
	program->changed_epoch = record->epoch;
	program->changed_seq = record->seq;
}

static void
program_remove(struct prog_table *table, struct prog_state *program)
{
	table->bytes -= program->bytes;
	g_hash_table_remove(table->programs, program->id);
	if (program->owner_run != NULL && table->run_free != NULL)
		table->run_free(program->owner_run);
	program_free(program);
}

struct prog_table *
prog_table_new(uint8_t datacentre, uint16_t shard, GDestroyNotify run_free)
{
	struct prog_table *table = g_new0(struct prog_table, 1);

	table->datacentre = datacentre;
	table->shard = shard;
	table->run_free = run_free;
	table->programs = g_hash_table_new(g_str_hash, g_str_equal);
	return (table);
}

static void
programs_free(struct prog_table *table)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct prog_state *program = value;

		if (program->owner_run != NULL && table->run_free != NULL)
			table->run_free(program->owner_run);
		program_free(program);
	}
	g_hash_table_unref(table->programs);
}

void
prog_table_free(struct prog_table *table)
{
	if (table == NULL)
		return;
	prog_table_free(table->staged);
	programs_free(table);
	g_free(table);
}

bool
prog_table_includes(
    const struct prog_table *table, const struct prog_table *other)
{
	if (other->epoch == table->epoch)
		return (other->seq <= table->seq);
	if (other->epoch == table->proven_epoch)
		return (other->seq <= table->proven_seq);
	return (other->epoch < table->proven_epoch);
}

struct prog_state *
prog_table_find(const struct prog_table *table, const char *id)
{
	return (g_hash_table_lookup(table->programs, id));
}

int64_t
prog_state_tokens_left(const struct prog_state *program)
{
	return (program->limit - program->spent - program->lent -
	    (program->active ? program->call_reserve : 0));
}

/*
 * Readers of payload members.  Each returns false if the member is present
 * but invalid, or if it is required and missing.
 */
static bool
get_int(const json_t *object, const char *name, json_int_t max, int64_t *value)
{
	const json_t *member = json_object_get(object, name);

	*value = 0;
	if (member == NULL)
		return (true);
	*value = json_integer_value(member);
	return (json_is_integer(member) && *value >= 0 && *value <= max);
}

static bool
get_text(const json_t *object, const char *name, size_t max, const char **value)
{
	const json_t *member = json_object_get(object, name);

	*value = json_string_value(member);
	if (member == NULL)
		return (true);
	return (*value != NULL && json_string_length(member) <= max &&
	    strlen(*value) == json_string_length(member));
}

static bool
get_name(const json_t *object, const char *name, const char **value)
{
	return (get_text(object, name, PROG_NAME_MAX, value) && *value != NULL);
}

static int
hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return (c - '0');
	if (c >= 'a' && c <= 'f')
		return (c - 'a' + 10);
	return (-1);
}

static bool
get_digest(const json_t *object, uint8_t digest[PROG_DIGEST_SIZE])
{
	const char *text;

	if (!get_text(object, "d", 2 * PROG_DIGEST_SIZE, &text) ||
	    text == NULL || strlen(text) != (size_t)2 * PROG_DIGEST_SIZE)
		return (false);
	for (size_t i = 0; i < PROG_DIGEST_SIZE; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return (false);
		digest[i] = (uint8_t)(high * 16 + low);
	}
	return (true);
}

static void
digest_set(json_t *object, const uint8_t digest[PROG_DIGEST_SIZE])
{
	char text[2 * PROG_DIGEST_SIZE + 1];

	for (size_t i = 0; i < PROG_DIGEST_SIZE; i++) {
		text[2 * i] = "0123456789abcdef"[digest[i] >> 4];
		text[2 * i + 1] = "0123456789abcdef"[digest[i] & 15];
	}
	text[sizeof(text) - 1] = '\0';
	json_object_set_new(object, "d", json_string(text));
}

void
prog_json_set_text(
    json_t *object, const char *name, const char *data, size_t len)
{
	char *other, *encoded;

	if (memchr(data, '\0', len) == NULL &&
	    g_utf8_validate(data, (gssize)len, NULL)) {
		json_object_set_new(object, name, json_stringn(data, len));
		return;
	}
	other = g_strconcat(name, "64", NULL);
	encoded = g_base64_encode((const guchar *)data, len);
	json_object_set_new(object, other, json_string(encoded));
	g_free(encoded);
	g_free(other);
}

/* Read an optional reply; *reply is to be freed by g_free(). */
static bool
get_reply(const json_t *object, char **reply, size_t *len)
{
	const json_t *text = json_object_get(object, "re");
	const json_t *encoded = json_object_get(object, "re64");
	gsize size;

	*reply = NULL;
	*len = 0;
	if (text != NULL) {
		if (!json_is_string(text) ||
		    json_string_length(text) > PROG_REPLY_MAX)
			return (false);
		*len = json_string_length(text);
		*reply = g_malloc(*len + 1);
		memcpy(*reply, json_string_value(text), *len + 1);
		return (true);
	}
	if (encoded == NULL)
		return (true);
	if (!json_is_string(encoded) ||
	    json_string_length(encoded) > (size_t)PROG_REPLY_MAX * 4 / 3 + 4)
		return (false);
	*reply = (char *)g_base64_decode(json_string_value(encoded), &size);
	*len = size;
	return (true);
}

static bool
messages_valid(const json_t *messages)
{
	size_t i;
	json_t *message;

	if (messages == NULL)
		return (true);
	if (!json_is_array(messages))
		return (false);
	json_array_foreach(messages, i, message)
	{
		if (!json_is_object(message))
			return (false);
	}
	return (true);
}

static void
messages_append(GString *history, const json_t *messages)
{
	size_t i;
	json_t *message;

	json_array_foreach(messages, i, message)
	{
		char *text = json_dumps(message, JSON_COMPACT);

		if (text == NULL)
			continue;
		if (history->len > 0)
			g_string_append_c(history, ',');
		g_string_append(history, text);
		free(text);
	}
}

static void
engine_add(struct prog_state *program, const char *engine)
{
	GPtrArray *engines = program->engines;

	for (guint i = 0; i < engines->len; i++) {
		if (strcmp(g_ptr_array_index(engines, i), engine) == 0 ||
		    strcmp(g_ptr_array_index(engines, i), "*") == 0)
			return;
	}
	if (engines->len == PROG_ENGINES_MAX || strcmp(engine, "*") == 0) {
		g_ptr_array_set_size(engines, 0);
		engine = "*";
	}
	g_ptr_array_add(engines, g_strdup(engine));
}

static bool
id_valid(const struct prog_table *table, const char *text)
{
	struct prog_id id;

	return (prog_id_parse(text, &id) &&
	    id.datacentre == table->datacentre && id.shard == table->shard);
}

static enum prog_table_result
apply_create(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program, *parent = NULL;
	const char *organisation, *urgency, *parent_id;
	int64_t budget;

	if (!id_valid(table, record->program) ||
	    prog_table_find(table, record->program) != NULL ||
	    !get_name(payload, "o", &organisation) ||
	    !get_name(payload, "u", &urgency) ||
	    !get_text(payload, "p", PROG_ID_SIZE, &parent_id) ||
	    !get_int(payload, "b", TOKEN_SUM_MAX, &budget))
		return (PROG_TABLE_INVALID);
	if (parent_id != NULL) {
		parent = prog_table_find(table, parent_id);
		if (parent == NULL || parent->closed ||
		    prog_state_tokens_left(parent) < budget)
			return (PROG_TABLE_INVALID);
		parent->lent += budget;
		parent->children++;
		program_set_changed(parent, record);
	}
	program = program_new(record->program);
	program->organisation = g_strdup(organisation);
	program->urgency = g_strdup(urgency);
	if (parent_id != NULL)
		g_strlcpy(program->parent, parent_id, sizeof(program->parent));
	program->limit = budget;
	program->implicit = json_is_true(json_object_get(payload, "i"));
	program_set_changed(program, record);
	g_hash_table_insert(table->programs, program->id, program);
	program_recount_bytes(table, program);
	return (PROG_TABLE_OK);
}

static bool
get_kind(const json_t *object, enum prog_call_kind *kind)
{
	int64_t value;

	if (!get_int(object, "k", PROG_CALL_ONCE, &value))
		return (false);
	*kind = (enum prog_call_kind)value;
	return (true);
}

static enum prog_table_result
apply_begin(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program = prog_table_find(table, record->program);
	struct prog_intent *intent;
	uint8_t digest[PROG_DIGEST_SIZE];
	enum prog_call_kind kind;
	int64_t turn, reserve;
	const char *key;

	if (program == NULL || program->closed || program->active ||
	    !get_kind(payload, &kind) ||
	    !get_int(payload, "t", UINT32_MAX, &turn) ||
	    !get_int(payload, "r", TOKEN_SUM_MAX, &reserve) ||
	    !get_text(payload, "key", PROG_KEY_MAX, &key) ||
	    turn != (int64_t)program->turn + 1 ||
	    reserve > prog_state_tokens_left(program))
		return (PROG_TABLE_INVALID);
	if (kind == PROG_CALL_ONCE && key == NULL)
		return (PROG_TABLE_INVALID);
	if (key != NULL) {
		if (g_hash_table_contains(program->intents, key) ||
		    !get_digest(payload, digest))
			return (PROG_TABLE_INVALID);
		intent = g_new0(struct prog_intent, 1);
		intent->key = g_strdup(key);
		memcpy(intent->digest, digest, sizeof(digest));
		intent->state = PROG_INTENT_BEGUN;
		intent->kind = kind;
		g_hash_table_insert(program->intents, intent->key, intent);
	}
	program->active = true;
	program->call_kind = kind;
	program->call_turn = (uint32_t)turn;
	program->call_reserve = reserve;
	program->call_key = g_strdup(key);
	program_set_changed(program, record);
	program_recount_bytes(table, program);
	return (PROG_TABLE_OK);
}

static void
reply_drop(struct prog_state *program, struct prog_intent *intent)
{
	program->reply_bytes -= intent->reply_len;
	g_clear_pointer(&intent->reply, g_free);
	intent->reply_len = 0;
}

/* Evict the oldest replies until len more bytes fit. */
static void
replies_evict(struct prog_state *program, size_t len)
{
	while (program->reply_bytes + len > PROG_REPLIES_MAX) {
		struct prog_intent *oldest = NULL;
		GHashTableIter iter;
		void *value;

		g_hash_table_iter_init(&iter, program->intents);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct prog_intent *intent = value;

			if (intent->reply_len > 0 &&
			    (oldest == NULL ||
				intent->end_seq < oldest->end_seq))
				oldest = intent;
		}
		if (oldest == NULL)
			return;
		reply_drop(program, oldest);
	}
}

static void
end_intent(struct prog_state *program, const struct prog_record *record,
    const char *outcome, const json_t *payload, char **reply, size_t len)
{
	struct prog_intent *intent;
	const char *type = json_string_value(json_object_get(payload, "ct"));

	intent = g_hash_table_lookup(program->intents, program->call_key);
	if (intent == NULL)
		return;
	intent->end_seq = record->seq;
	if (strcmp(outcome, "ran") == 0 &&
	    (json_is_true(json_object_get(payload, "t")) ||
		intent->kind != PROG_CALL_MODEL)) {
		intent->state = PROG_INTENT_RAN;
		intent->turn = program->turn;
		intent->status =
		    (int)json_integer_value(json_object_get(payload, "st"));
		intent->content_type = g_strdup(type);
		if (*reply != NULL) {
			replies_evict(program, len);
			intent->reply = g_steal_pointer(reply);
			intent->reply_len = len;
			program->reply_bytes += len;
		}
	} else if (strcmp(outcome, "no") != 0 &&
	    intent->kind == PROG_CALL_ONCE) {
		intent->state = PROG_INTENT_MAYBE_RAN;
	} else {
		g_hash_table_remove(program->intents, intent->key);
	}
}

static enum prog_table_result
apply_end(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program = prog_table_find(table, record->program);
	const json_t *messages = json_object_get(payload, "m");
	const char *outcome, *engine, *type;
	int64_t spent, context, status;
	char *reply;
	size_t len;

	if (program == NULL || !program->active ||
	    !get_name(payload, "o", &outcome) ||
	    !get_text(payload, "e", PROG_NAME_MAX, &engine) ||
	    !get_text(payload, "ct", PROG_NAME_MAX, &type) ||
	    !get_int(payload, "s", TOKEN_SUM_MAX, &spent) ||
	    !get_int(payload, "c", TOKEN_SUM_MAX, &context) ||
	    !get_int(payload, "st", 999, &status) || !messages_valid(messages))
		return (PROG_TABLE_INVALID);
	if (strcmp(outcome, "ran") != 0 && strcmp(outcome, "no") != 0 &&
	    strcmp(outcome, "maybe") != 0)
		return (PROG_TABLE_INVALID);
	if (!get_reply(payload, &reply, &len))
		return (PROG_TABLE_INVALID);
	if (json_is_true(json_object_get(payload, "t"))) {
		program->turn = program->call_turn;
		messages_append(program->history, messages);
		if (context > 0)
			program->context_tokens = context;
	}
	program->spent += spent;
	if (engine != NULL)
		engine_add(program, engine);
	if (program->call_key != NULL)
		end_intent(program, record, outcome, payload, &reply, len);
	g_free(reply);
	program->active = false;
	program->call_reserve = 0;
	g_clear_pointer(&program->call_key, g_free);
	if (!json_is_true(json_object_get(payload, "lost")))
		program_set_changed(program, record);
	program_recount_bytes(table, program);
	return (PROG_TABLE_OK);
}

/* Remove a closed program that has no engines to release and no intents. */
static void
program_remove_if_unused(struct prog_table *table, struct prog_state *program)
{
	if (program->closed && program->engines->len == 0 &&
	    g_hash_table_size(program->intents) == 0)
		program_remove(table, program);
	else
		program_recount_bytes(table, program);
}

static enum prog_table_result
apply_close(struct prog_table *table, const struct prog_record *record)
{
	struct prog_state *program = prog_table_find(table, record->program);
	struct prog_state *parent;

	if (program == NULL || program->closed || program->active ||
	    program->children > 0)
		return (PROG_TABLE_INVALID);
	parent = prog_table_find(table, program->parent);
	if (parent != NULL && parent->children > 0) {
		parent->children--;
		parent->lent -= program->limit;
		parent->spent += program->spent;
		program_set_changed(parent, record);
	}
	program->closed = true;
	g_string_free(program->history, TRUE);
	program->history = g_string_new(NULL);
	/* Repeats of an implicit program's key must still be detected. */
	if (!program->implicit) {
		g_hash_table_remove_all(program->intents);
		program->reply_bytes = 0;
	}
	program_set_changed(program, record);
	program_remove_if_unused(table, program);
	return (PROG_TABLE_OK);
}

static enum prog_table_result
apply_reply_expired(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program = prog_table_find(table, record->program);
	struct prog_intent *intent;
	const char *key;

	if (program == NULL || !get_text(payload, "key", PROG_KEY_MAX, &key) ||
	    key == NULL)
		return (PROG_TABLE_INVALID);
	intent = g_hash_table_lookup(program->intents, key);
	if (intent == NULL || intent->state != PROG_INTENT_RAN)
		return (PROG_TABLE_INVALID);
	reply_drop(program, intent);
	if (intent->kind != PROG_CALL_ONCE || program->closed)
		g_hash_table_remove(program->intents, key);
	program_remove_if_unused(table, program);
	return (PROG_TABLE_OK);
}

static enum prog_table_result
apply_released(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program = prog_table_find(table, record->program);
	const char *engine;

	if (program == NULL || !program->closed ||
	    !get_name(payload, "e", &engine))
		return (PROG_TABLE_INVALID);
	for (guint i = 0; i < program->engines->len; i++) {
		if (strcmp(g_ptr_array_index(program->engines, i), engine) != 0)
			continue;
		g_ptr_array_remove_index(program->engines, i);
		program_remove_if_unused(table, program);
		return (PROG_TABLE_OK);
	}
	return (PROG_TABLE_INVALID);
}

static bool
read_intent(struct prog_state *program, const json_t *item)
{
	struct prog_intent *intent;
	uint8_t digest[PROG_DIGEST_SIZE];
	enum prog_call_kind kind;
	const char *key, *type;
	int64_t state, turn, end_seq, status;
	char *reply;
	size_t len;

	if (!json_is_object(item) ||
	    !get_text(item, "key", PROG_KEY_MAX, &key) || key == NULL ||
	    !get_digest(item, digest) || !get_kind(item, &kind) ||
	    !get_int(item, "s", PROG_INTENT_MAYBE_RAN, &state) ||
	    !get_int(item, "t", UINT32_MAX, &turn) ||
	    !get_int(item, "q", INT64_MAX, &end_seq) ||
	    !get_int(item, "st", 999, &status) ||
	    !get_text(item, "ct", PROG_NAME_MAX, &type) ||
	    g_hash_table_contains(program->intents, key) ||
	    !get_reply(item, &reply, &len))
		return (false);
	intent = g_new0(struct prog_intent, 1);
	intent->key = g_strdup(key);
	memcpy(intent->digest, digest, sizeof(digest));
	intent->state = (enum prog_intent_state)state;
	intent->kind = kind;
	intent->turn = (uint32_t)turn;
	intent->end_seq = (uint64_t)end_seq;
	intent->status = (int)status;
	intent->content_type = g_strdup(type);
	intent->reply = reply;
	intent->reply_len = len;
	program->reply_bytes += len;
	g_hash_table_insert(program->intents, intent->key, intent);
	return (true);
}

static bool
read_call(struct prog_state *program, const json_t *call)
{
	int64_t turn, reserve;
	const char *key;

	if (call == NULL)
		return (true);
	if (!json_is_object(call) || !get_kind(call, &program->call_kind) ||
	    !get_int(call, "t", UINT32_MAX, &turn) ||
	    !get_int(call, "r", TOKEN_SUM_MAX, &reserve) ||
	    !get_text(call, "key", PROG_KEY_MAX, &key))
		return (false);
	if (key != NULL && !g_hash_table_contains(program->intents, key))
		return (false);
	program->active = true;
	program->call_turn = (uint32_t)turn;
	program->call_reserve = reserve;
	program->call_key = g_strdup(key);
	return (true);
}

static bool
read_lists(struct prog_state *program, const json_t *payload)
{
	const json_t *intents = json_object_get(payload, "in");
	const json_t *engines = json_object_get(payload, "en");
	json_t *item;
	size_t i;

	if ((intents != NULL && !json_is_array(intents)) ||
	    (engines != NULL && !json_is_array(engines)) ||
	    json_array_size(engines) > PROG_ENGINES_MAX)
		return (false);
	json_array_foreach(intents, i, item)
	{
		if (!read_intent(program, item))
			return (false);
	}
	json_array_foreach(engines, i, item)
	{
		if (!json_is_string(item) ||
		    json_string_length(item) > PROG_NAME_MAX)
			return (false);
		engine_add(program, json_string_value(item));
	}
	return (true);
}

static struct prog_state *
read_state(
    const struct prog_table *table, const char *id, const json_t *payload)
{
	struct prog_state *program;
	const json_t *messages = json_object_get(payload, "m");
	const char *organisation, *urgency, *parent;
	int64_t children, turn, changed, epoch;

	if (!id_valid(table, id))
		return (NULL);
	program = program_new(id);
	if (!get_name(payload, "o", &organisation) ||
	    !get_name(payload, "u", &urgency) ||
	    !get_text(payload, "p", PROG_ID_SIZE - 1, &parent) ||
	    !get_int(payload, "b", TOKEN_SUM_MAX, &program->limit) ||
	    !get_int(payload, "s", TOKEN_SUM_MAX, &program->spent) ||
	    !get_int(payload, "l", TOKEN_SUM_MAX, &program->lent) ||
	    !get_int(payload, "c", TOKEN_SUM_MAX, &program->context_tokens) ||
	    !get_int(payload, "n", UINT32_MAX, &children) ||
	    !get_int(payload, "t", UINT32_MAX, &turn) ||
	    !get_int(payload, "q", INT64_MAX, &changed) ||
	    !get_int(payload, "qe", INT64_MAX, &epoch) ||
	    !messages_valid(messages) || !read_lists(program, payload) ||
	    !read_call(program, json_object_get(payload, "call"))) {
		program_free(program);
		return (NULL);
	}
	program->organisation = g_strdup(organisation);
	program->urgency = g_strdup(urgency);
	if (parent != NULL)
		g_strlcpy(program->parent, parent, sizeof(program->parent));
	program->children = (uint32_t)children;
	program->turn = (uint32_t)turn;
	program->changed_seq = (uint64_t)changed;
	program->changed_epoch = (uint64_t)epoch;
	program->implicit = json_is_true(json_object_get(payload, "i"));
	program->closed = json_is_true(json_object_get(payload, "x"));
	messages_append(program->history, messages);
	return (program);
}

static void
program_insert(struct prog_table *table, struct prog_state *program)
{
	g_hash_table_insert(table->programs, program->id, program);
	program_recount_bytes(table, program);
}

/* Replace a program's state by a record outside an export. */
static enum prog_table_result
apply_state(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program, *old;

	program = read_state(table, record->program, payload);
	if (program == NULL)
		return (PROG_TABLE_INVALID);
	old = prog_table_find(table, program->id);
	if (old != NULL) {
		program->owner_run = g_steal_pointer(&old->owner_run);
		program_remove(table, old);
	}
	program_insert(table, program);
	return (PROG_TABLE_OK);
}

static void
staged_commit(struct prog_table *table)
{
	struct prog_table *staged = g_steal_pointer(&table->staged);

	programs_free(table);
	table->programs = staged->programs;
	table->bytes = staged->bytes;
	table->epoch = staged->epoch;
	table->seq = staged->seq;
	table->proven_epoch = staged->proven_epoch;
	table->proven_seq = staged->proven_seq;
	g_free(staged);
}

static bool
is_newer(const struct prog_table *table, uint64_t epoch, uint64_t seq)
{
	return (epoch > table->epoch ||
	    (epoch == table->epoch && seq > table->seq));
}

/* Drop an incomplete export once the applied records include it. */
static void
staged_drop_stale(struct prog_table *table)
{
	if (table->staged == NULL ||
	    is_newer(table, table->staged->epoch, table->staged->seq))
		return;
	prog_table_free(table->staged);
	table->staged = NULL;
}

static enum prog_table_result
apply_head(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	int64_t count, proven_epoch, proven_seq;

	if (json_object_get(payload, "n") == NULL ||
	    !get_int(payload, "n", INT32_MAX, &count) ||
	    !get_int(payload, "p", INT64_MAX, &proven_epoch) ||
	    !get_int(payload, "ps", INT64_MAX, &proven_seq))
		return (PROG_TABLE_INVALID);
	if (!is_newer(table, record->epoch, record->seq))
		return (PROG_TABLE_OLD);
	prog_table_free(table->staged);
	table->staged = prog_table_new(table->datacentre, table->shard, NULL);
	table->staged->epoch = record->epoch;
	table->staged->seq = record->seq;
	table->staged->proven_epoch = (uint64_t)proven_epoch;
	table->staged->proven_seq = (uint64_t)proven_seq;
	table->staged_missing = (uint64_t)count;
	if (table->staged_missing == 0)
		staged_commit(table);
	return (PROG_TABLE_OK);
}

static enum prog_table_result
apply_staged(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	struct prog_state *program;

	if (prog_table_find(table->staged, record->program) != NULL)
		return (PROG_TABLE_OLD);
	program = read_state(table, record->program, payload);
	if (program == NULL)
		return (PROG_TABLE_INVALID);
	program_insert(table->staged, program);
	if (--table->staged_missing == 0)
		staged_commit(table);
	return (PROG_TABLE_OK);
}

static enum prog_table_result
apply_recover(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	int64_t epoch, seq;

	if (!get_int(payload, "epoch", INT64_MAX, &epoch) ||
	    !get_int(payload, "seq", INT64_MAX, &seq))
		return (PROG_TABLE_INVALID);
	if (!is_newer(table, record->epoch, record->seq))
		return (PROG_TABLE_OLD);
	if (record->epoch <= table->epoch || table->epoch != (uint64_t)epoch ||
	    table->seq != (uint64_t)seq || record->seq != table->seq + 1)
		return (PROG_TABLE_GAP);
	if (table->proven_epoch == table->epoch)
		table->proven_seq = table->seq;
	table->epoch = record->epoch;
	table->seq = record->seq;
	if (json_is_true(json_object_get(payload, "proven")))
		table->proven_epoch = table->epoch;
	staged_drop_stale(table);
	return (PROG_TABLE_OK);
}

static enum prog_table_result
apply_change(struct prog_table *table, const struct prog_record *record,
    const json_t *payload)
{
	switch (record->kind) {
	case PROG_RECORD_CREATE:
		return (apply_create(table, record, payload));
	case PROG_RECORD_BEGIN:
		return (apply_begin(table, record, payload));
	case PROG_RECORD_END:
		return (apply_end(table, record, payload));
	case PROG_RECORD_CLOSE:
		return (apply_close(table, record));
	case PROG_RECORD_REPLY_EXPIRED:
		return (apply_reply_expired(table, record, payload));
	case PROG_RECORD_RELEASED:
		return (apply_released(table, record, payload));
	case PROG_RECORD_STATE:
		return (apply_state(table, record, payload));
	case PROG_RECORD_PROVEN:
		table->proven_epoch = table->epoch;
		return (PROG_TABLE_OK);
	default:
		return (PROG_TABLE_INVALID);
	}
}

enum prog_table_result
prog_table_apply_json(struct prog_table *table,
    const struct prog_record *record, const json_t *payload)
{
	enum prog_table_result result;

	if (record->datacentre != table->datacentre ||
	    record->shard != table->shard || !json_is_object(payload))
		return (PROG_TABLE_INVALID);
	if (record->kind == PROG_RECORD_EXPORT_HEAD)
		return (apply_head(table, record, payload));
	if (record->kind == PROG_RECORD_RECOVER)
		return (apply_recover(table, record, payload));
	if (record->kind == PROG_RECORD_STATE && table->staged != NULL &&
	    record->epoch == table->staged->epoch &&
	    record->seq == table->staged->seq)
		return (apply_staged(table, record, payload));
	if (!is_newer(table, record->epoch, record->seq))
		return (PROG_TABLE_OLD);
	if (record->epoch != table->epoch || record->seq != table->seq + 1)
		return (PROG_TABLE_GAP);
	result = apply_change(table, record, payload);
	if (result != PROG_TABLE_OK)
		return (result);
	table->seq = record->seq;
	staged_drop_stale(table);
	return (result);
}

enum prog_table_result
prog_table_apply(struct prog_table *table, const struct prog_record *record)
{
	enum prog_table_result result;
	json_t *payload;

	if (record->payload_len > PROG_PAYLOAD_MAX)
		return (PROG_TABLE_INVALID);
	payload = json_loadb(record->payload, record->payload_len,
	    JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, NULL);
	if (payload == NULL)
		return (PROG_TABLE_INVALID);
	result = prog_table_apply_json(table, record, payload);
	json_decref(payload);
	return (result);
}

static void
int_set(json_t *object, const char *name, int64_t value)
{
	if (value != 0)
		json_object_set_new(object, name, json_integer(value));
}

static json_t *
intent_state(const struct prog_intent *intent)
{
	json_t *item = json_object();

	json_object_set_new(item, "key", json_string(intent->key));
	digest_set(item, intent->digest);
	int_set(item, "s", intent->state);
	int_set(item, "k", intent->kind);
	int_set(item, "t", intent->turn);
	int_set(item, "q", (int64_t)intent->end_seq);
	int_set(item, "st", intent->status);
	if (intent->content_type != NULL)
		json_object_set_new(
		    item, "ct", json_string(intent->content_type));
	if (intent->reply != NULL)
		prog_json_set_text(
		    item, "re", intent->reply, intent->reply_len);
	return (item);
}

static json_t *
messages_array(const struct prog_state *program)
{
	char *text = g_strconcat("[", program->history->str, "]", NULL);
	json_t *array = json_loads(text, JSON_ALLOW_NUL, NULL);

	g_free(text);
	return (array != NULL ? array : json_array());
}

json_t *
prog_state_to_json(const struct prog_state *program)
{
	json_t *state = json_object();
	json_t *intents = json_array(), *engines = json_array(), *call;
	GHashTableIter iter;
	void *value;

	json_object_set_new(state, "o", json_string(program->organisation));
	json_object_set_new(state, "u", json_string(program->urgency));
	if (program->parent[0] != '\0')
		json_object_set_new(state, "p", json_string(program->parent));
	if (program->implicit)
		json_object_set_new(state, "i", json_true());
	if (program->closed)
		json_object_set_new(state, "x", json_true());
	int_set(state, "b", program->limit);
	int_set(state, "s", program->spent);
	int_set(state, "l", program->lent);
	int_set(state, "n", program->children);
	int_set(state, "t", program->turn);
	int_set(state, "c", program->context_tokens);
	int_set(state, "q", (int64_t)program->changed_seq);
	int_set(state, "qe", (int64_t)program->changed_epoch);
	json_object_set_new(state, "m", messages_array(program));
	g_hash_table_iter_init(&iter, program->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(intents, intent_state(value));
	json_object_set_new(state, "in", intents);
	for (guint i = 0; i < program->engines->len; i++)
		json_array_append_new(engines,
		    json_string(g_ptr_array_index(program->engines, i)));
	json_object_set_new(state, "en", engines);
	if (program->active) {
		call = json_object();
		int_set(call, "k", program->call_kind);
		int_set(call, "t", program->call_turn);
		int_set(call, "r", program->call_reserve);
		if (program->call_key != NULL)
			json_object_set_new(
			    call, "key", json_string(program->call_key));
		json_object_set_new(state, "call", call);
	}
	return (state);
}

static void
export_add(const struct prog_table *table, GPtrArray *records,
    enum prog_record_kind kind, const char *id, json_t *payload)
{
	struct prog_record record = {.datacentre = table->datacentre,
	    .shard = table->shard,
	    .epoch = table->epoch,
	    .seq = table->seq,
	    .kind = kind};
	char *text = json_dumps(payload, JSON_COMPACT);

	g_strlcpy(record.program, id, sizeof(record.program));
	record.payload = text;
	record.payload_len = strlen(text);
	prog_records_add(records, &record);
	free(text);
	json_decref(payload);
}

GPtrArray *
prog_table_export(const struct prog_table *table)
{
	GPtrArray *records = prog_records_new();
	GHashTableIter iter;
	void *value;

	export_add(table, records, PROG_RECORD_EXPORT_HEAD, "",
	    json_pack("{s:I,s:I,s:I}", "p", (json_int_t)table->proven_epoch,
		"ps", (json_int_t)table->proven_seq, "n",
		(json_int_t)g_hash_table_size(table->programs)));
	g_hash_table_iter_init(&iter, table->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct prog_state *program = value;

		export_add(table, records, PROG_RECORD_STATE, program->id,
		    prog_state_to_json(program));
	}
	return (records);
}
