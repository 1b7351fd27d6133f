#include "config/cfg.h"

#include <string.h>

#define DEFAULT_MAX_HISTORY 1024
#define DEFAULT_MAX_HELD    8192
#define MAX_PARTS	    4096 /* of one snapshot */
/* Incomplete snapshots kept at a time. */
#define MAX_ASSEMBLIES	4
#define MAX_NAME_BYTES	255
#define MAX_ACTOR_BYTES 128
/* The most strings that an object of any kind has, besides its list. */
#define MAX_STRINGS 3
/* Bounds the memory of cfg_records_since_snapshot(). */
#define MAX_RECORDS_COUNTED ((guint)1 << 20)

static const char *const kind_names[CFG_KINDS] = {
    [CFG_ORGANISATION] = "organisation",
    [CFG_KEY] = "key",
    [CFG_UPSTREAM] = "upstream",
    [CFG_ROUTE] = "route",
    [CFG_MODEL] = "model",
    [CFG_PROGRAM] = "program",
    [CFG_DATACENTRE] = "datacentre",
};

static const char *const outcome_names[] = {
    [CFG_ACCEPTED] = "accepted",
    [CFG_CONFLICT] = "lost",
    [CFG_INVALID] = "invalid",
    [CFG_DUPLICATE] = "duplicate",
    [CFG_SEEN] = "seen",
    [CFG_HELD] = "held",
    [CFG_NO_CHANGE] = "passed",
};

/* A text that several objects may share. */
struct text {
	unsigned refs;
	char text[];
};

/* One object, also after its removal. */
struct object {
	GHashTable *texts; /* the table of cfg */
	char *object; /* "organisation/acme" */
	const char *name; /* the part of object after "/" */
	enum cfg_kind kind;
	uint64_t version;
	char *value; /* JSON; nil if removed */
	const char *actor; /* shared, as many objects have the same */
	uint64_t session; /* of the change, to detect duplicates */
	uint64_t number;
	/* The rest is derived from value. */
	union {
		struct cfg_organisation organisation;
		struct cfg_key key;
		struct cfg_upstream upstream;
		struct cfg_route route;
		struct cfg_model model;
		struct cfg_program program;
		struct cfg_datacentre datacentre;
	} typed;
	const char *strings[MAX_STRINGS]; /* of typed, shared */
	const char **list; /* models or methods, shared */
};

/* A record above a gap, or a range of offsets without records. */
struct held {
	uint64_t to; /* first offset after it */
	json_t *record; /* nil: nothing to apply */
};

/* A snapshot of which some parts have arrived. */
struct assembly {
	uint64_t frontier;
	uint64_t session;
	unsigned parts;
	unsigned received; /* parts */
	json_t **records; /* nil: not received */
};

struct watcher {
	cfg_change_fn *fn;
	void *arg;
};

struct cfg {
	struct cfg_options options;
	uint64_t frontier;
	GHashTable *texts; /* text -> struct text */
	GHashTable *objects; /* "kind/name" -> struct object, removed too */
	GHashTable *live[CFG_KINDS]; /* name -> struct object */
	GHashTable *digests; /* digest -> struct object */
	GHashTable *paths; /* route's path -> struct object */
	size_t longest_path; /* of any route so far */
	GHashTable *numbers; /* data centre's number -> struct object */
	GHashTable *withdrawn; /* key id -> whether it is in the log */
	GTree *held; /* offset -> struct held */
	GQueue assemblies;
	GQueue history; /* struct cfg_history_entry, newest first */
	GArray *since_snapshot; /* offsets of records */
	GArray *watchers[CFG_KINDS];
	struct cnt_metric *outcomes[G_N_ELEMENTS(outcome_names)];
};

/* A decoded change record. */
struct change {
	uint64_t offset;
	const char *object;
	const json_t *value;
	char *actor;
	uint64_t base;
	uint64_t session;
	uint64_t number;
};

const char *
cfg_kind_name(enum cfg_kind kind)
{
	return (kind < CFG_KINDS ? kind_names[kind] : "unknown");
}

enum cfg_kind
cfg_kind_parse(const char *name)
{
	for (int i = 0; i < CFG_KINDS; i++) {
		if (strcmp(kind_names[i], name) == 0)
			return ((enum cfg_kind)i);
	}
	return (CFG_KINDS);
}

const char *
cfg_outcome_name(enum cfg_outcome outcome)
{
	return (outcome_names[outcome]);
}

bool
cfg_is_stale(clk_ms now, clk_ms last_read, clk_ms stale_after)
{
	return (now - last_read > stale_after);
}

static bool
is_name(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len > MAX_NAME_BYTES)
		return (false);
	for (const char *p = name; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ' || *p == 0x7f)
			return (false);
	}
	return (true);
}

/* Split "kind/name"; return CFG_KINDS if object is not of that form. */
static enum cfg_kind
split_object(const char *object, const char **name)
{
	const char *slash = strchr(object, '/');
	char kind[16];

	if (slash == NULL || (size_t)(slash - object) >= sizeof(kind) ||
	    !is_name(slash + 1))
		return (CFG_KINDS);
	memcpy(kind, object, (size_t)(slash - object));
	kind[slash - object] = '\0';
	*name = slash + 1;
	return (cfg_kind_parse(kind));
}

static const char *
get_string(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return (text != NULL ? text : "");
}

/* A copy of at most max bytes that does not cut a UTF-8 character in two. */
static char *
copy_text(const char *text, size_t max)
{
	size_t len = strlen(text);

	if (len > max) {
		len = max;
		/* 10xxxxxx is not the first byte of a character. */
		while (len > 0 && ((unsigned char)text[len] & 0xc0) == 0x80)
			len--;
	}
	return (g_strndup(text, len));
}

static double
get_number(const json_t *json, const char *key, double fallback)
{
	const json_t *value = json_object_get(json, key);

	return (json_is_number(value) ? json_number_value(value) : fallback);
}

static int64_t
get_integer(const json_t *json, const char *key)
{
	return (json_integer_value(json_object_get(json, key)));
}

static unsigned
get_unsigned(const json_t *json, const char *key)
{
	return ((unsigned)CLAMP(get_integer(json, key), 0, G_MAXINT));
}

static bool
is_string_equal(const json_t *json, const char *key, const char *text)
{
	return (strcmp(get_string(json, key), text) == 0);
}

static bool
get_offset(const json_t *json, const char *key, uint64_t *offset)
{
	const json_t *value = json_object_get(json, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return (false);
	*offset = (uint64_t)json_integer_value(value);
	return (true);
}

/* A session is 16 hexadecimal digits, or an integer; 0 if it is neither. */
static uint64_t
get_session(const json_t *json)
{
	const json_t *value = json_object_get(json, "session");
	guint64 session = 0;

	if (json_is_integer(value))
		return ((uint64_t)json_integer_value(value));
	if (json_is_string(value) &&
	    !g_ascii_string_to_unsigned(
		json_string_value(value), 16, 0, G_MAXUINT64, &session, NULL))
		return (0);
	return (session);
}

static const char *
text_ref(GHashTable *texts, const char *value)
{
	struct text *text = g_hash_table_lookup(texts, value);

	if (text == NULL) {
		size_t size = strlen(value) + 1;

		text = g_malloc(sizeof(*text) + size);
		text->refs = 0;
		memcpy(text->text, value, size);
		g_hash_table_insert(texts, text->text, text);
	}
	text->refs++;
	return (text->text);
}

static void
text_unref(GHashTable *texts, const char *value)
{
	struct text *text;

	if (value == NULL)
		return;
	text = g_hash_table_lookup(texts, value);
	if (--text->refs == 0)
		(void)g_hash_table_remove(texts, value);
}

static const char *
share_string(struct object *object, const json_t *json, const char *key)
{
	const char *text = get_string(json, key);
	size_t i = 0;

	if (text[0] == '\0')
		return ("");
	while (object->strings[i] != NULL)
		i++;
	object->strings[i] = text_ref(object->texts, text);
	return (object->strings[i]);
}

static const char *const *
share_list(struct object *object, const json_t *json, const char *key)
{
	static const char *const empty[] = {NULL};
	const json_t *array = json_object_get(json, key);
	size_t n = json_array_size(array);
	size_t kept = 0;

	if (n == 0)
		return (empty);
	object->list = g_new0(const char *, n + 1);
	for (size_t i = 0; i < n; i++) {
		const char *text = json_string_value(json_array_get(array, i));

		if (text != NULL)
			object->list[kept++] = text_ref(object->texts, text);
	}
	return (object->list);
}

static bool
parse_digest(const char *text, uint8_t digest[CFG_DIGEST_SIZE])
{
	if (strlen(text) != 2 * CFG_DIGEST_SIZE)
		return (false);
	for (size_t i = 0; i < CFG_DIGEST_SIZE; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return (false);
		digest[i] = (uint8_t)(high << 4 | low);
	}
	return (true);
}

static void
read_organisation(struct object *object, const json_t *value)
{
	struct cfg_organisation *organisation = &object->typed.organisation;

	organisation->name = object->name;
	organisation->rate = get_number(value, "rate", 0);
	organisation->burst = get_number(value, "burst", 0);
	organisation->weight = get_number(value, "weight", 1);
	organisation->home = share_string(object, value, "home");
	organisation->refuse_when_stale =
	    is_string_equal(value, "when_stale", "refuse");
	organisation->budget_tokens = get_integer(value, "budget_tokens");
}

static const char *
read_key(struct object *object, const json_t *value)
{
	struct cfg_key *key = &object->typed.key;

	key->id = object->name;
	key->organisation = share_string(object, value, "organisation");
	key->expires = get_integer(value, "expires_ms");
	key->withdrawn = is_string_equal(value, "state", "withdrawn");
	if (!parse_digest(get_string(value, "digest"), key->digest))
		return ("digest is not 64 hexadecimal digits");
	if (key->organisation[0] == '\0')
		return ("a key without an organisation");
	return (NULL);
}

static void
read_upstream(struct object *object, const json_t *value)
{
	struct cfg_upstream *upstream = &object->typed.upstream;

	upstream->name = object->name;
	upstream->is_service = is_string_equal(value, "kind", "service");
	upstream->url = share_string(object, value, "url");
	upstream->datacentre = share_string(object, value, "datacentre");
	upstream->service = share_string(object, value, "service");
	upstream->models = share_list(object, value, "models");
	upstream->checks_fencing =
	    json_is_true(json_object_get(value, "checks_fencing"));
	upstream->capacity = get_unsigned(value, "capacity");
	upstream->leaving = is_string_equal(value, "state", "leaving");
}

static const char *
read_route(struct object *object, const json_t *value)
{
	struct cfg_route *route = &object->typed.route;

	route->name = object->name;
	route->path = share_string(object, value, "path");
	route->service = share_string(object, value, "service");
	route->idempotent = json_is_true(json_object_get(value, "idempotent"));
	route->open = json_is_true(json_object_get(value, "open"));
	route->methods = share_list(object, value, "methods");
	route->timeout = get_integer(value, "timeout_ms");
	return (
	    route->path[0] == '/' ? NULL : "path does not begin with \"/\"");
}

static void
read_program(struct object *object, const json_t *value)
{
	struct cfg_program *program = &object->typed.program;

	program->name = object->name;
	program->urgency = CFG_NORMAL;
	if (is_string_equal(value, "urgency", "urgent"))
		program->urgency = CFG_URGENT;
	else if (is_string_equal(value, "urgency", "batch"))
		program->urgency = CFG_BATCH;
	program->budget_tokens = get_integer(value, "budget_tokens");
	program->max_turns = get_unsigned(value, "max_turns");
}

/* Fill the typed part; return why the value is not valid, or nil. */
static const char *
read_value(struct object *object, const json_t *value)
{
	switch (object->kind) {
	case CFG_ORGANISATION:
		read_organisation(object, value);
		return (NULL);
	case CFG_KEY:
		return (read_key(object, value));
	case CFG_UPSTREAM:
		read_upstream(object, value);
		return (NULL);
	case CFG_ROUTE:
		return (read_route(object, value));
	case CFG_MODEL:
		object->typed.model = (struct cfg_model){.name = object->name,
		    .context_tokens = get_integer(value, "context_tokens"),
		    .max_output_tokens =
			get_integer(value, "max_output_tokens")};
		return (NULL);
	case CFG_PROGRAM:
		read_program(object, value);
		return (NULL);
	case CFG_DATACENTRE:
		object->typed.datacentre =
		    (struct cfg_datacentre){.name = object->name,
			.number = get_unsigned(value, "number"),
			.weight = get_number(value, "weight", 1),
			.lost = is_string_equal(value, "state", "lost")};
		return (NULL);
	case CFG_KINDS:
		break;
	}
	return ("unknown kind of object");
}

static void
object_free(gpointer arg)
{
	struct object *object = arg;

	if (object == NULL)
		return;
	for (size_t i = 0; i < MAX_STRINGS; i++)
		text_unref(object->texts, object->strings[i]);
	for (const char **p = object->list; p != NULL && *p != NULL; p++)
		text_unref(object->texts, *p);
	text_unref(object->texts, object->actor);
	g_free(object->list);
	g_free(object->object);
	g_free(object->value);
	g_free(object);
}

/*
 * Make an object from a value, which is JSON null for a removal.  Returns nil
 * with *error set, to be freed by g_free(), if the value is not valid.
 */
static struct object *
object_new(struct cfg *cfg, const char *name, const json_t *value, char **error)
{
	const struct cfg_options *options = &cfg->options;
	struct object *object = g_new0(struct object, 1);
	const char *reason = NULL;
	char *text;

	*error = NULL;
	object->texts = cfg->texts;
	object->object = g_strdup(name);
	object->kind = split_object(object->object, &object->name);
	if (object->kind == CFG_KINDS)
		reason = "not an object name";
	else if (!json_is_object(value) && !json_is_null(value))
		reason = "the value is not a JSON object";
	if (reason == NULL && json_is_object(value)) {
		reason = read_value(object, value);
		if (reason == NULL && options->check != NULL &&
		    !options->check(object->kind, object->name, value, error,
			options->check_arg))
			reason = "the value is not valid";
		text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
		object->value = g_strdup(text);
		free(text);
		if (object->value == NULL)
			reason = "the value cannot be written as JSON";
	}
	if (reason == NULL)
		return (object);
	if (*error == NULL)
		*error = g_strdup(reason);
	object_free(object);
	return (NULL);
}

static guint
digest_hash(gconstpointer key)
{
	uint64_t words[CFG_DIGEST_SIZE / sizeof(uint64_t)];
	uint64_t hash = 0;

	memcpy(words, key, sizeof(words));
	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		hash = (hash ^ words[i]) * 0x9e3779b97f4a7c15U;
	return ((guint)(hash >> 32));
}

static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	return (memcmp(a, b, CFG_DIGEST_SIZE) == 0);
}

/* The table in which no two live objects may have the same key, or nil. */
static GHashTable *
unique_table(const struct cfg *cfg, struct object *object, gpointer *key)
{
	switch (object->kind) {
	case CFG_KEY:
		*key = object->typed.key.digest;
		return (cfg->digests);
	case CFG_ROUTE:
		*key = (gpointer)(uintptr_t)object->typed.route.path;
		return (cfg->paths);
	case CFG_DATACENTRE:
		*key = GUINT_TO_POINTER(object->typed.datacentre.number);
		return (cfg->numbers);
	default:
		return (NULL);
	}
}

/* Another live object with the same digest, path or number, or nil. */
static const struct object *
find_conflict(const struct cfg *cfg, struct object *object)
{
	const struct object *other;
	GHashTable *table;
	gpointer key;

	if (object->value == NULL)
		return (NULL);
	table = unique_table(cfg, object, &key);
	if (table == NULL)
		return (NULL);
	other = g_hash_table_lookup(table, key);
	if (other == NULL || strcmp(other->object, object->object) == 0)
		return (NULL);
	return (other);
}

static void
unindex_object(struct cfg *cfg, struct object *object)
{
	GHashTable *table;
	gpointer key;

	if (object->value == NULL)
		return;
	(void)g_hash_table_remove(cfg->live[object->kind], object->name);
	table = unique_table(cfg, object, &key);
	if (table != NULL)
		(void)g_hash_table_remove(table, key);
}

static void
index_object(struct cfg *cfg, struct object *object)
{
	GHashTable *table;
	gpointer key;

	if (object->value == NULL)
		return;
	g_hash_table_replace(
	    cfg->live[object->kind], (gpointer)(uintptr_t)object->name, object);
	table = unique_table(cfg, object, &key);
	if (table != NULL)
		g_hash_table_replace(table, key, object);
	if (object->kind == CFG_ROUTE)
		cfg->longest_path =
		    MAX(cfg->longest_path, strlen(object->typed.route.path));
}

static void
notify(const struct cfg *cfg, enum cfg_kind kind, const char *name,
    uint64_t version)
{
	const GArray *watchers = cfg->watchers[kind];

	for (guint i = 0; i < watchers->len; i++) {
		const struct watcher *watcher =
		    &g_array_index(watchers, struct watcher, i);

		watcher->fn(kind, name, version, watcher->arg);
	}
}

/* Add to the set of withdrawn keys; return true if the id is new in it. */
static bool
withdraw_key(struct cfg *cfg, const char *id, bool logged)
{
	gpointer was_logged;
	struct object *key;

	if (!is_name(id))
		return (false);
	if (g_hash_table_lookup_extended(
		cfg->withdrawn, id, NULL, &was_logged)) {
		if (logged && !GPOINTER_TO_INT(was_logged))
			g_hash_table_replace(cfg->withdrawn, g_strdup(id),
			    GINT_TO_POINTER(true));
		return (false);
	}
	g_hash_table_insert(
	    cfg->withdrawn, g_strdup(id), GINT_TO_POINTER(logged));
	key = g_hash_table_lookup(cfg->live[CFG_KEY], id);
	if (key != NULL)
		key->typed.key.withdrawn = true;
	notify(cfg, CFG_KEY, id, key != NULL ? key->version : 0);
	return (true);
}

/* Put an object in force in place of its earlier version, if any. */
static void
install_object(struct cfg *cfg, struct object *object)
{
	struct object *old = g_hash_table_lookup(cfg->objects, object->object);

	if (old != NULL)
		unindex_object(cfg, old);
	index_object(cfg, object);
	g_hash_table_replace(cfg->objects, object->object, object);
	if (object->kind == CFG_KEY && object->value != NULL) {
		struct cfg_key *key = &object->typed.key;

		/* A key stays withdrawn whatever a later value says. */
		if (key->withdrawn)
			(void)withdraw_key(cfg, key->id, true);
		else
			key->withdrawn = cfg_key_is_withdrawn(cfg, key->id);
	}
}

static void
history_free(struct cfg_history_entry *entry)
{
	g_free((char *)(uintptr_t)entry->object);
	g_free((char *)(uintptr_t)entry->actor);
	g_free((char *)(uintptr_t)entry->reason);
	g_free((char *)(uintptr_t)entry->current_actor);
	g_free(entry);
}

static void
history_add(struct cfg *cfg, const struct change *change,
    enum cfg_outcome outcome, const char *reason, const struct object *current)
{
	struct cfg_history_entry *entry = g_new0(struct cfg_history_entry, 1);

	entry->offset = change->offset;
	entry->object = copy_text(change->object, MAX_NAME_BYTES);
	entry->actor = g_strdup(change->actor);
	entry->session = change->session;
	entry->number = change->number;
	entry->base = change->base;
	entry->outcome = outcome;
	entry->reason = g_strdup(reason);
	entry->current_version = current != NULL ? current->version : 0;
	entry->current_actor = g_strdup(current != NULL ? current->actor : "");
	g_queue_push_head(&cfg->history, entry);
	if (g_queue_get_length(&cfg->history) > cfg->options.max_history)
		history_free(g_queue_pop_tail(&cfg->history));
}

static enum cfg_outcome
reject_record(struct cfg *cfg, uint64_t offset, const char *reason)
{
	char quoted[256];

	lg_event(cfg->options.log, LG_WARNING, "config_record_refused",
	    "offset=%llu reason=%s", (unsigned long long)offset,
	    lg_quote(quoted, sizeof(quoted), reason));
	return (CFG_INVALID);
}

static enum cfg_outcome
apply_valid_change(struct cfg *cfg, const struct change *change)
{
	struct object *object;
	const struct object *conflict;
	char *error = NULL;

	object = object_new(cfg, change->object, change->value, &error);
	if (object != NULL) {
		conflict = find_conflict(cfg, object);
		if (conflict != NULL) {
			error = g_strdup_printf(
			    "%s has the same digest, path or number",
			    conflict->object);
			object_free(object);
			object = NULL;
		}
	}
	if (object == NULL) {
		history_add(cfg, change, CFG_INVALID, error, NULL);
		(void)reject_record(cfg, change->offset, error);
		g_free(error);
		return (CFG_INVALID);
	}
	object->version = change->offset;
	object->actor = text_ref(cfg->texts, change->actor);
	object->session = change->session;
	object->number = change->number;
	install_object(cfg, object);
	history_add(cfg, change, CFG_ACCEPTED, "", NULL);
	notify(cfg, object->kind, object->name, object->version);
	return (CFG_ACCEPTED);
}

static enum cfg_outcome
apply_on_base(struct cfg *cfg, const struct change *change)
{
	const struct object *current =
	    g_hash_table_lookup(cfg->objects, change->object);

	if (change->base == (current != NULL ? current->version : 0))
		return (apply_valid_change(cfg, change));
	if (current != NULL && change->session != 0 && change->number != 0 &&
	    current->session == change->session &&
	    current->number == change->number)
		return (CFG_DUPLICATE);
	history_add(cfg, change, CFG_CONFLICT, "", current);
	return (CFG_CONFLICT);
}

static enum cfg_outcome
apply_change(struct cfg *cfg, uint64_t offset, const json_t *record)
{
	enum cfg_outcome outcome;
	struct change change = {.offset = offset,
	    .object = get_string(record, "object"),
	    .value = json_object_get(record, "value"),
	    .session = get_session(record),
	    .number = (uint64_t)get_integer(record, "number")};

	if (change.value == NULL || !get_offset(record, "base", &change.base))
		return (reject_record(
		    cfg, offset, "a change record without value or base"));
	change.actor = copy_text(get_string(record, "actor"), MAX_ACTOR_BYTES);
	outcome = apply_on_base(cfg, &change);
	g_free(change.actor);
	return (outcome);
}

static enum cfg_outcome
apply_withdraw(struct cfg *cfg, uint64_t offset, const json_t *record)
{
	const char *id = get_string(record, "key");

	if (!is_name(id))
		return (reject_record(cfg, offset, "not a key id"));
	return (withdraw_key(cfg, id, true) ? CFG_ACCEPTED : CFG_DUPLICATE);
}

static void
assembly_free(struct assembly *assembly)
{
	for (unsigned i = 0; i < assembly->parts; i++)
		json_decref(assembly->records[i]);
	g_free(assembly->records);
	g_free(assembly);
}

static struct assembly *
assembly_get(
    struct cfg *cfg, uint64_t frontier, uint64_t session, unsigned parts)
{
	struct assembly *assembly;

	for (GList *l = cfg->assemblies.head; l != NULL; l = l->next) {
		assembly = l->data;
		if (assembly->frontier == frontier &&
		    assembly->session == session && assembly->parts == parts)
			return (assembly);
	}
	if (g_queue_get_length(&cfg->assemblies) >= MAX_ASSEMBLIES)
		assembly_free(g_queue_pop_head(&cfg->assemblies));
	assembly = g_new0(struct assembly, 1);
	assembly->frontier = frontier;
	assembly->session = session;
	assembly->parts = parts;
	assembly->records = g_new0(json_t *, parts);
	g_queue_push_tail(&cfg->assemblies, assembly);
	return (assembly);
}

/*
 * Add a part of a snapshot.  Returns the snapshot, removed from the list, if it
 * is complete, else nil; *valid is false if the part does not decode.
 */
static struct assembly *
assembly_add(struct cfg *cfg, const json_t *record, bool *valid)
{
	struct assembly *assembly;
	uint64_t frontier;
	uint64_t part;
	uint64_t parts;

	*valid = get_offset(record, "frontier", &frontier) &&
	    get_offset(record, "part", &part) &&
	    get_offset(record, "parts", &parts) && part < parts &&
	    parts <= MAX_PARTS &&
	    json_is_array(json_object_get(record, "objects")) &&
	    json_is_array(json_object_get(record, "withdrawn"));
	if (!*valid)
		return (NULL);
	assembly =
	    assembly_get(cfg, frontier, get_session(record), (unsigned)parts);
	if (assembly->records[part] != NULL)
		return (NULL);
	assembly->records[part] = json_incref((json_t *)(uintptr_t)record);
	if (++assembly->received < assembly->parts)
		return (NULL);
	(void)g_queue_remove(&cfg->assemblies, assembly);
	return (assembly);
}

static struct object *
read_snapshot_object(
    struct cfg *cfg, const json_t *entry, uint64_t frontier, char **error)
{
	const json_t *value = json_object_get(entry, "value");
	struct object *object;
	uint64_t version;
	char *actor;

	*error = NULL;
	if (value == NULL || !get_offset(entry, "version", &version) ||
	    version == 0 || version > frontier) {
		*error = g_strdup("an object without a valid version");
		return (NULL);
	}
	object = object_new(cfg, get_string(entry, "object"), value, error);
	if (object == NULL)
		return (NULL);
	object->version = version;
	actor = copy_text(get_string(entry, "actor"), MAX_ACTOR_BYTES);
	object->actor = text_ref(cfg->texts, actor);
	g_free(actor);
	object->session = get_session(entry);
	object->number = (uint64_t)get_integer(entry, "number");
	return (object);
}

/*
 * Read all objects of a snapshot into a table.  Returns false with *error set
 * if one is not valid.
 */
static bool
read_snapshot_objects(struct cfg *cfg, const struct assembly *assembly,
    GHashTable *objects, char **error)
{
	for (unsigned i = 0; i < assembly->parts; i++) {
		const json_t *array =
		    json_object_get(assembly->records[i], "objects");

		for (size_t j = 0; j < json_array_size(array); j++) {
			struct object *object =
			    read_snapshot_object(cfg, json_array_get(array, j),
				assembly->frontier, error);

			if (object == NULL)
				return (false);
			if (g_hash_table_contains(objects, object->object)) {
				*error = g_strdup("duplicate object");
				object_free(object);
				return (false);
			}
			g_hash_table_insert(objects, object->object, object);
		}
	}
	return (true);
}

/* Whether two objects of the table have the same digest, path or number. */
static bool
has_conflict(GHashTable *objects)
{
	GHashTable *digests = g_hash_table_new(digest_hash, digest_equal);
	GHashTable *paths = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *numbers = g_hash_table_new(NULL, NULL);
	struct cfg tables = {
	    .digests = digests, .paths = paths, .numbers = numbers};
	GHashTableIter iter;
	gpointer value;
	bool conflict = false;

	g_hash_table_iter_init(&iter, objects);
	while (!conflict && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct object *object = value;
		GHashTable *table;
		gpointer key;

		if (object->value == NULL)
			continue;
		table = unique_table(&tables, object, &key);
		conflict = table != NULL && !g_hash_table_add(table, key);
	}
	g_hash_table_destroy(digests);
	g_hash_table_destroy(paths);
	g_hash_table_destroy(numbers);
	return (conflict);
}

/* An object of cfg that is missing or older in the table, or nil. */
static const struct object *
find_reverted(const struct cfg *cfg, GHashTable *objects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cfg->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct object *current = value;
		const struct object *other =
		    g_hash_table_lookup(objects, current->object);

		if (other == NULL || other->version < current->version)
			return (current);
	}
	return (NULL);
}

static void
withdraw_keys(
    struct cfg *cfg, const json_t *record, const char *key, bool logged)
{
	const json_t *ids = json_object_get(record, key);

	for (size_t i = 0; i < json_array_size(ids); i++) {
		const char *id = json_string_value(json_array_get(ids, i));

		if (id != NULL)
			(void)withdraw_key(cfg, id, logged);
	}
}

/* Put the objects that differ in force and notify the watchers. */
static void
install_objects(struct cfg *cfg, GHashTable *objects)
{
	GPtrArray *changed = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct object *object = value;
		struct object *current =
		    g_hash_table_lookup(cfg->objects, object->object);

		if (current != NULL && current->version == object->version)
			continue;
		/*
		 * Remove all from the index before any is installed: a digest
		 * may have moved from one key to another.
		 */
		if (current != NULL)
			unindex_object(cfg, current);
		g_hash_table_iter_steal(&iter);
		g_ptr_array_add(changed, object);
	}
	for (guint i = 0; i < changed->len; i++) {
		struct object *object = g_ptr_array_index(changed, i);
		struct object *current =
		    g_hash_table_lookup(cfg->objects, object->object);

		/* Its index entries may already belong to another object. */
		if (current != NULL)
			g_clear_pointer(&current->value, g_free);
		install_object(cfg, object);
	}
	for (guint i = 0; i < changed->len; i++) {
		const struct object *object = g_ptr_array_index(changed, i);

		notify(cfg, object->kind, object->name, object->version);
	}
	g_ptr_array_free(changed, TRUE);
}

static void apply_held(struct cfg *cfg);

/* Restore a complete snapshot; return false if it is not valid. */
static bool
restore_snapshot(struct cfg *cfg, const struct assembly *assembly)
{
	GHashTable *objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, object_free);
	const struct object *reverted;
	char *error = NULL;
	char quoted[256];
	bool ok = read_snapshot_objects(cfg, assembly, objects, &error);

	if (ok && has_conflict(objects)) {
		error = g_strdup("two objects have the same digest, path or "
				 "number");
		ok = false;
	}
	reverted = ok ? find_reverted(cfg, objects) : NULL;
	if (reverted != NULL) {
		error = g_strdup_printf(
		    "%s would revert to an older version", reverted->object);
		ok = false;
	}
	if (ok) {
		cfg->frontier = assembly->frontier;
		g_array_set_size(cfg->since_snapshot, 0);
		for (unsigned i = 0; i < assembly->parts; i++)
			withdraw_keys(
			    cfg, assembly->records[i], "withdrawn", true);
		install_objects(cfg, objects);
		apply_held(cfg);
	} else {
		lg_event(cfg->options.log, LG_WARNING,
		    "config_snapshot_refused", "frontier=%llu reason=%s",
		    (unsigned long long)assembly->frontier,
		    lg_quote(quoted, sizeof(quoted), error));
	}
	g_free(error);
	g_hash_table_destroy(objects);
	return (ok);
}

/* Stop counting the records that a snapshot up to frontier covers. */
static void
trim_since_snapshot(struct cfg *cfg, uint64_t frontier)
{
	guint n = 0;

	while (n < cfg->since_snapshot->len &&
	    g_array_index(cfg->since_snapshot, uint64_t, n) <= frontier)
		n++;
	g_array_remove_range(cfg->since_snapshot, 0, n);
}

/*
 * Apply a part of a snapshot from the log.  Once all parts have arrived, the
 * snapshot is restored if it is newer than the frontier, even if records before
 * it are missing.
 */
static enum cfg_outcome
apply_snapshot_part(struct cfg *cfg, uint64_t offset, const json_t *record)
{
	struct assembly *assembly;
	enum cfg_outcome outcome = CFG_NO_CHANGE;
	uint64_t frontier;
	bool valid;

	if (!get_offset(record, "frontier", &frontier) || frontier >= offset)
		return (reject_record(cfg, offset,
		    "a snapshot whose frontier is not below its offset"));
	assembly = assembly_add(cfg, record, &valid);
	if (!valid)
		return (
		    reject_record(cfg, offset, "malformed part of a snapshot"));
	if (assembly == NULL)
		return (CFG_NO_CHANGE);
	if (assembly->frontier > cfg->frontier)
		outcome = restore_snapshot(cfg, assembly) ? CFG_ACCEPTED
							  : CFG_INVALID;
	else
		trim_since_snapshot(cfg, assembly->frontier);
	assembly_free(assembly);
	return (outcome);
}

/* Apply the record that follows the frontier. */
static enum cfg_outcome
apply_next(struct cfg *cfg, uint64_t offset, const json_t *record)
{
	enum cfg_outcome outcome;

	if (is_string_equal(record, "kind", "change"))
		outcome = apply_change(cfg, offset, record);
	else if (is_string_equal(record, "kind", "withdraw"))
		outcome = apply_withdraw(cfg, offset, record);
	else
		outcome = reject_record(cfg, offset, "unknown kind of record");
	if (cfg->since_snapshot->len < MAX_RECORDS_COUNTED)
		g_array_append_val(cfg->since_snapshot, offset);
	cfg->frontier = offset;
	if (cfg->outcomes[outcome] != NULL)
		cnt_add(cfg->outcomes[outcome], 1);
	return (outcome);
}

static void
held_free(gpointer arg)
{
	struct held *held = arg;

	json_decref(held->record);
	g_free(held);
}

static gint
compare_offsets(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return (GPOINTER_TO_SIZE(a) < GPOINTER_TO_SIZE(b)
		? -1
		: GPOINTER_TO_SIZE(a) > GPOINTER_TO_SIZE(b));
}

/* Hold a record or range above a gap; above max_held drop the highest. */
static void
hold(struct cfg *cfg, uint64_t from, uint64_t to, const json_t *record)
{
	const struct held *old =
	    g_tree_lookup(cfg->held, GSIZE_TO_POINTER(from));
	struct held *held;

	if (old != NULL && old->to >= to)
		return;
	held = g_new0(struct held, 1);
	held->to = to;
	if (record != NULL)
		held->record = json_incref((json_t *)(uintptr_t)record);
	g_tree_replace(cfg->held, GSIZE_TO_POINTER(from), held);
	if ((guint)g_tree_nnodes(cfg->held) > cfg->options.max_held)
		(void)g_tree_remove(
		    cfg->held, g_tree_node_key(g_tree_node_last(cfg->held)));
}

/* Apply the held records that now follow the frontier. */
static void
apply_held(struct cfg *cfg)
{
	GTreeNode *node;

	while ((node = g_tree_node_first(cfg->held)) != NULL) {
		uint64_t offset = GPOINTER_TO_SIZE(g_tree_node_key(node));
		const struct held *held = g_tree_node_value(node);

		if (offset > cfg->frontier + 1)
			return;
		if (held->record != NULL && offset == cfg->frontier + 1)
			(void)apply_next(cfg, offset, held->record);
		else if (held->to > cfg->frontier + 1)
			cfg->frontier = held->to - 1;
		(void)g_tree_remove(cfg->held, GSIZE_TO_POINTER(offset));
	}
}

enum cfg_outcome
cfg_apply_json(struct cfg *cfg, uint64_t offset, const json_t *record)
{
	enum cfg_outcome outcome;

	if (offset <= cfg->frontier)
		return (CFG_SEEN);
	if (is_string_equal(record, "kind", "snapshot")) {
		/* Hold its offset as an empty range for restore_snapshot(). */
		hold(cfg, offset, offset + 1, NULL);
		outcome = apply_snapshot_part(cfg, offset, record);
		apply_held(cfg);
		return (outcome);
	}
	if (offset > cfg->frontier + 1) {
		hold(cfg, offset, offset + 1, record);
		return (CFG_HELD);
	}
	outcome = apply_next(cfg, offset, record);
	apply_held(cfg);
	return (outcome);
}

enum cfg_outcome
cfg_apply(struct cfg *cfg, uint64_t offset, const char *text, size_t len)
{
	enum cfg_outcome outcome;
	json_t *record = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);

	/* What does not decode is applied as a record of unknown kind. */
	if (record == NULL)
		record = json_null();
	outcome = cfg_apply_json(cfg, offset, record);
	json_decref(record);
	return (outcome);
}

void
cfg_skip_offsets(struct cfg *cfg, uint64_t from, uint64_t to)
{
	if (from == 0 || from >= to || to <= cfg->frontier + 1)
		return;
	hold(cfg, from, to, NULL);
	apply_held(cfg);
}

uint64_t
cfg_frontier(const struct cfg *cfg)
{
	return (cfg->frontier);
}

bool
cfg_has_gap(const struct cfg *cfg)
{
	return (g_tree_nnodes(cfg->held) > 0);
}

bool
cfg_key_withdraw(struct cfg *cfg, const char *id)
{
	return (withdraw_key(cfg, id, false));
}

bool
cfg_key_is_withdrawn(const struct cfg *cfg, const char *id)
{
	return (g_hash_table_contains(cfg->withdrawn, id));
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	const char *const *x = a;
	const char *const *y = b;

	return (strcmp(*x, *y));
}

/* The keys of a table of names, in order. */
static GPtrArray *
sorted_names(GHashTable *table)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, g_strdup(key));
	g_ptr_array_sort(names, compare_names);
	return (names);
}

static bool
is_logged(const struct cfg *cfg, const char *id)
{
	return (GPOINTER_TO_INT(g_hash_table_lookup(cfg->withdrawn, id)));
}

GPtrArray *
cfg_withdrawn_keys(const struct cfg *cfg, bool unlogged)
{
	GPtrArray *ids = sorted_names(cfg->withdrawn);

	for (guint i = ids->len; unlogged && i-- > 0;) {
		if (is_logged(cfg, g_ptr_array_index(ids, i)))
			(void)g_ptr_array_remove_index(ids, i);
	}
	return (ids);
}

/* The typed object, or nil.  All members of the union share its address. */
static const void *
find_typed(const struct cfg *cfg, enum cfg_kind kind, const char *name)
{
	const struct object *object =
	    g_hash_table_lookup(cfg->live[kind], name);

	return (object != NULL ? &object->typed : NULL);
}

const struct cfg_organisation *
cfg_organisation_find(const struct cfg *cfg, const char *name)
{
	return (find_typed(cfg, CFG_ORGANISATION, name));
}

const struct cfg_upstream *
cfg_upstream_find(const struct cfg *cfg, const char *name)
{
	return (find_typed(cfg, CFG_UPSTREAM, name));
}

const struct cfg_route *
cfg_route_find(const struct cfg *cfg, const char *name)
{
	return (find_typed(cfg, CFG_ROUTE, name));
}

const struct cfg_model *
cfg_model_find(const struct cfg *cfg, const char *name)
{
	return (find_typed(cfg, CFG_MODEL, name));
}

const struct cfg_program *
cfg_program_find(const struct cfg *cfg, const char *name)
{
	return (find_typed(cfg, CFG_PROGRAM, name));
}

const struct cfg_datacentre *
cfg_datacentre_find(const struct cfg *cfg, const char *name)
{
	return (find_typed(cfg, CFG_DATACENTRE, name));
}

const struct cfg_key *
cfg_key_get(const struct cfg *cfg, const char *id)
{
	return (find_typed(cfg, CFG_KEY, id));
}

const struct cfg_key *
cfg_key_find(const struct cfg *cfg, const uint8_t digest[CFG_DIGEST_SIZE])
{
	const struct object *object = g_hash_table_lookup(cfg->digests, digest);

	return (object != NULL ? &object->typed.key : NULL);
}

const struct cfg_route *
cfg_route_match(const struct cfg *cfg, const char *path)
{
	size_t len = MIN(strlen(path), cfg->longest_path);
	char *prefix = g_strndup(path, len);
	const struct object *route = NULL;

	/* "/a/b" is tried as "/a/b", "/a/", "/a" and "/". */
	for (; len > 0 && route == NULL; len--) {
		if (path[len] != '\0' && path[len] != '/' &&
		    path[len - 1] != '/')
			continue;
		prefix[len] = '\0';
		route = g_hash_table_lookup(cfg->paths, prefix);
	}
	g_free(prefix);
	return (route != NULL ? &route->typed.route : NULL);
}

void
cfg_each(const struct cfg *cfg, enum cfg_kind kind, cfg_each_fn *fn, void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cfg->live[kind]);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(&((const struct object *)value)->typed, arg);
}

unsigned
cfg_count(const struct cfg *cfg, enum cfg_kind kind)
{
	return (g_hash_table_size(cfg->live[kind]));
}

uint64_t
cfg_object_version(const struct cfg *cfg, const char *name)
{
	const struct object *object = g_hash_table_lookup(cfg->objects, name);

	return (object != NULL ? object->version : 0);
}

const char *
cfg_object_value(const struct cfg *cfg, const char *name)
{
	const struct object *object = g_hash_table_lookup(cfg->objects, name);

	return (object != NULL ? object->value : NULL);
}

GPtrArray *
cfg_object_names(const struct cfg *cfg, enum cfg_kind kind)
{
	return (sorted_names(cfg->live[kind]));
}

void
cfg_watch(struct cfg *cfg, enum cfg_kind kind, cfg_change_fn *fn, void *arg)
{
	struct watcher watcher = {.fn = fn, .arg = arg};

	g_array_append_val(cfg->watchers[kind], watcher);
}

/* The members of one part's arrays as text, separated by commas. */
struct part {
	GString *objects;
	GString *withdrawn;
	GString *unlogged;
};

static void
part_free(gpointer arg)
{
	struct part *part = arg;

	g_string_free(part->objects, TRUE);
	g_string_free(part->withdrawn, TRUE);
	g_string_free(part->unlogged, TRUE);
	g_free(part);
}

static struct part *
part_add(GPtrArray *parts)
{
	struct part *part = g_new0(struct part, 1);

	part->objects = g_string_new(NULL);
	part->withdrawn = g_string_new(NULL);
	part->unlogged = g_string_new(NULL);
	g_ptr_array_add(parts, part);
	return (part);
}

static size_t
part_size(const struct part *part)
{
	return (
	    part->objects->len + part->withdrawn->len + part->unlogged->len);
}

static void
append_string(GString *text, const char *value)
{
	json_t *json = json_string(value);
	char *dumped = json_dumps(json, JSON_ENCODE_ANY);

	/* Names and actors come from decoded JSON, so they are UTF-8. */
	g_string_append(text, dumped != NULL ? dumped : "\"\"");
	free(dumped);
	json_decref(json);
}

/* Write an entry of a snapshot; the value is JSON text already. */
static void
write_snapshot_object(GString *text, const struct object *object)
{
	g_string_assign(text, "{\"object\":");
	append_string(text, object->object);
	g_string_append(text, ",\"actor\":");
	append_string(text, object->actor);
	g_string_append_printf(text,
	    ",\"version\":%llu,\"session\":\"%016llx\",\"number\":%lld,"
	    "\"value\":",
	    (unsigned long long)object->version,
	    (unsigned long long)object->session, (long long)object->number);
	g_string_append(text, object->value != NULL ? object->value : "null");
	g_string_append_c(text, '}');
}

static void
append_member(GString *list, const char *text)
{
	if (list->len > 0)
		g_string_append_c(list, ',');
	g_string_append(list, text);
}

/* The last part, or a new one if it has no room for len more bytes. */
static struct part *
part_with_room(GPtrArray *parts, size_t len, size_t max_bytes)
{
	struct part *part = g_ptr_array_index(parts, parts->len - 1);

	if (part_size(part) > 0 && part_size(part) + len > max_bytes)
		return (part_add(parts));
	return (part);
}

static void
fill_parts(const struct cfg *cfg, GPtrArray *parts, size_t max_bytes,
    bool with_unlogged)
{
	GPtrArray *names = sorted_names(cfg->objects);
	GPtrArray *ids = sorted_names(cfg->withdrawn);
	GString *entry = g_string_new(NULL);

	(void)part_add(parts);
	for (guint i = 0; i < names->len; i++) {
		write_snapshot_object(entry,
		    g_hash_table_lookup(
			cfg->objects, g_ptr_array_index(names, i)));
		append_member(
		    part_with_room(parts, entry->len, max_bytes)->objects,
		    entry->str);
	}
	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);
		json_t *json = json_string(id);
		char *text = json_dumps(json, JSON_ENCODE_ANY);
		struct part *part;

		if (text != NULL && (with_unlogged || is_logged(cfg, id))) {
			part = part_with_room(parts, strlen(text), max_bytes);
			append_member(is_logged(cfg, id) ? part->withdrawn
							 : part->unlogged,
			    text);
		}
		free(text);
		json_decref(json);
	}
	g_string_free(entry, TRUE);
	g_ptr_array_unref(names);
	g_ptr_array_unref(ids);
}

static GPtrArray *
write_parts(const struct cfg *cfg, uint64_t session, size_t max_bytes,
    bool with_unlogged)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(part_free);
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);

	fill_parts(cfg, parts, max_bytes, with_unlogged);
	for (guint i = 0; i < parts->len; i++) {
		const struct part *part = g_ptr_array_index(parts, i);
		GString *text = g_string_new(NULL);

		g_string_printf(text,
		    "{\"kind\":\"snapshot\",\"part\":%u,\"parts\":%u,"
		    "\"frontier\":%llu,\"session\":\"%016llx\","
		    "\"objects\":[%s],\"withdrawn\":[%s]",
		    i, parts->len, (unsigned long long)cfg->frontier,
		    (unsigned long long)session, part->objects->str,
		    part->withdrawn->str);
		if (with_unlogged)
			g_string_append_printf(
			    text, ",\"unlogged\":[%s]", part->unlogged->str);
		g_string_append_c(text, '}');
		g_ptr_array_add(texts, g_string_free(text, FALSE));
	}
	g_ptr_array_unref(parts);
	return (texts);
}

GPtrArray *
cfg_snapshot_parts(const struct cfg *cfg, uint64_t session, size_t max_bytes)
{
	return (write_parts(cfg, session, max_bytes, false));
}

GPtrArray *
cfg_export(const struct cfg *cfg, uint64_t session, size_t max_bytes)
{
	return (write_parts(cfg, session, max_bytes, true));
}

bool
cfg_import(struct cfg *cfg, const char *text, size_t len)
{
	json_t *record = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	struct assembly *assembly;
	bool valid = false;

	if (!is_string_equal(record, "kind", "snapshot")) {
		json_decref(record);
		return (false);
	}
	assembly = assembly_add(cfg, record, &valid);
	if (valid) {
		withdraw_keys(cfg, record, "withdrawn", true);
		withdraw_keys(cfg, record, "unlogged", false);
	}
	if (assembly != NULL) {
		if (assembly->frontier > cfg->frontier)
			valid = restore_snapshot(cfg, assembly);
		assembly_free(assembly);
	}
	json_decref(record);
	return (valid);
}

uint64_t
cfg_records_since_snapshot(const struct cfg *cfg)
{
	return (cfg->since_snapshot->len);
}

unsigned
cfg_history_count(const struct cfg *cfg)
{
	return (cfg->history.length);
}

const struct cfg_history_entry *
cfg_history_get(const struct cfg *cfg, unsigned i)
{
	GQueue *history = (GQueue *)(uintptr_t)&cfg->history;

	return (g_queue_peek_nth(history, i));
}

const struct cfg_history_entry *
cfg_history_find(const struct cfg *cfg, uint64_t session, uint64_t number)
{
	for (const GList *l = cfg->history.head; l != NULL; l = l->next) {
		const struct cfg_history_entry *entry = l->data;

		if (entry->session == session && entry->number == number)
			return (entry);
	}
	return (NULL);
}

char *
cfg_record_change(const char *object, uint64_t base, const char *value,
    const char *actor, uint64_t session, uint64_t number)
{
	char session_text[17];
	json_t *json = value != NULL
	    ? json_loads(value, JSON_REJECT_DUPLICATES, NULL)
	    : json_null();
	json_t *record;
	char *dumped;
	char *text;

	if (json == NULL)
		return (NULL);
	(void)g_snprintf(session_text, sizeof(session_text), "%016llx",
	    (unsigned long long)session);
	record = json_pack("{s:s,s:s,s:I,s:o,s:s,s:s,s:I}", "kind", "change",
	    "object", object, "base", (json_int_t)base, "value", json, "actor",
	    actor, "session", session_text, "number", (json_int_t)number);
	dumped = json_dumps(record, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(record);
	return (text);
}

char *
cfg_record_withdraw(const char *id, const char *actor)
{
	json_t *record = json_pack(
	    "{s:s,s:s,s:s}", "kind", "withdraw", "key", id, "actor", actor);
	char *dumped = json_dumps(record, JSON_COMPACT);
	char *text = g_strdup(dumped);

	free(dumped);
	json_decref(record);
	return (text);
}

struct cfg *
cfg_open(const struct cfg_options *options)
{
	struct cfg *cfg = g_new0(struct cfg, 1);

	cfg->options = *options;
	if (cfg->options.max_history == 0)
		cfg->options.max_history = DEFAULT_MAX_HISTORY;
	if (cfg->options.max_held == 0)
		cfg->options.max_held = DEFAULT_MAX_HELD;
	cfg->texts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	cfg->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, object_free);
	cfg->digests = g_hash_table_new(digest_hash, digest_equal);
	cfg->paths = g_hash_table_new(g_str_hash, g_str_equal);
	cfg->numbers = g_hash_table_new(NULL, NULL);
	cfg->withdrawn =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cfg->held = g_tree_new_full(compare_offsets, NULL, NULL, held_free);
	cfg->since_snapshot = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&cfg->assemblies);
	g_queue_init(&cfg->history);
	for (int i = 0; i < CFG_KINDS; i++) {
		cfg->live[i] = g_hash_table_new(g_str_hash, g_str_equal);
		cfg->watchers[i] =
		    g_array_new(FALSE, FALSE, sizeof(struct watcher));
	}
	if (cfg->options.counters == NULL)
		return (cfg);
	for (size_t i = 0; i < G_N_ELEMENTS(outcome_names); i++)
		cfg->outcomes[i] =
		    cnt_counter(cfg->options.counters, "config_changes_total",
			"Changes and withdrawals read from the log.", "outcome",
			outcome_names[i]);
	return (cfg);
}

void
cfg_close(struct cfg *cfg)
{
	struct cfg_history_entry *entry;
	struct assembly *assembly;

	if (cfg == NULL)
		return;
	while ((entry = g_queue_pop_head(&cfg->history)) != NULL)
		history_free(entry);
	while ((assembly = g_queue_pop_head(&cfg->assemblies)) != NULL)
		assembly_free(assembly);
	for (int i = 0; i < CFG_KINDS; i++) {
		g_hash_table_destroy(cfg->live[i]);
		g_array_free(cfg->watchers[i], TRUE);
	}
	g_hash_table_destroy(cfg->digests);
	g_hash_table_destroy(cfg->paths);
	g_hash_table_destroy(cfg->numbers);
	g_hash_table_destroy(cfg->withdrawn);
	g_hash_table_destroy(cfg->objects);
	g_hash_table_destroy(cfg->texts);
	g_tree_destroy(cfg->held);
	g_array_free(cfg->since_snapshot, TRUE);
	g_free(cfg);
}
