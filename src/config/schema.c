#include "config/schema.h"

#include <stdarg.h>
#include <string.h>

const struct yml_limits schema_file_limits = {
    .max_bytes = 64 << 20, .max_depth = 8, .max_nodes = 2000000};

enum field_type {
	FIELD_NAME,
	FIELD_URL,
	FIELD_DIGEST,
	FIELD_ROUTE_PATH,
	FIELD_INTEGER, /* from min to max */
	FIELD_NUMBER, /* from min to max, which are in thousandths */
	FIELD_BOOLEAN,
	FIELD_ENUM, /* one of words */
	FIELD_NAMES, /* list of names */
	FIELD_ENUMS /* list of words, not empty */
};

struct field {
	const char *key;
	json_int_t min;
	json_int_t max;
	const char *words; /* separated by "|" */
	const char *value; /* default as JSON, or nil */
	enum field_type type;
	bool required;
};

struct schema {
	const char *name;
	const struct field *fields; /* ends with a nil key */
};

struct check {
	schema_report_fn *fn;
	void *arg;
	bool failed;
};

#define TOKENS_MAX   1000000000000LL
#define MAX_LIST_LEN 1000
#define DAY_MS	     86400000LL

static const struct field organisation_fields[] = {{.key = "rate",
						       .type = FIELD_NUMBER,
						       .min = 1,
						       .max = 1000000000,
						       .required = true},
    {.key = "burst",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = 1000000,
	.required = true},
    {.key = "weight",
	.type = FIELD_NUMBER,
	.min = 1,
	.max = 1000000,
	.value = "1"},
    {.key = "home", .type = FIELD_NAME},
    {.key = "when_stale",
	.type = FIELD_ENUM,
	.words = "serve|refuse",
	.value = "\"serve\""},
    {.key = "budget_tokens",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = TOKENS_MAX,
	.value = "1000000"},
    {.key = NULL}};

static const struct field key_fields[] = {
    {.key = "digest", .type = FIELD_DIGEST, .required = true},
    {.key = "organisation", .type = FIELD_NAME, .required = true},
    {.key = "expires_ms",
	.type = FIELD_INTEGER,
	.max = G_MAXINT64 / 2,
	.value = "0"},
    {.key = "state",
	.type = FIELD_ENUM,
	.words = "active|withdrawn",
	.value = "\"active\""},
    {.key = NULL}};

static const struct field upstream_fields[] = {{.key = "kind",
						   .type = FIELD_ENUM,
						   .words = "model|service",
						   .required = true},
    {.key = "url", .type = FIELD_URL, .required = true},
    {.key = "datacentre", .type = FIELD_NAME, .required = true},
    {.key = "models", .type = FIELD_NAMES, .value = "[]"},
    {.key = "service", .type = FIELD_NAME},
    {.key = "checks_fencing", .type = FIELD_BOOLEAN, .value = "false"},
    {.key = "capacity",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = 100000,
	.required = true},
    {.key = "state",
	.type = FIELD_ENUM,
	.words = "active|leaving",
	.value = "\"active\""},
    {.key = NULL}};

/* A route defaults to non-idempotent, the safe assumption. */
static const struct field route_fields[] = {
    {.key = "path", .type = FIELD_ROUTE_PATH, .required = true},
    {.key = "service", .type = FIELD_NAME, .required = true},
    {.key = "idempotent", .type = FIELD_BOOLEAN, .value = "false"},
    {.key = "open", .type = FIELD_BOOLEAN, .value = "false"},
    {.key = "methods",
	.type = FIELD_ENUMS,
	.words = "GET|HEAD|POST|PUT|PATCH|DELETE",
	.required = true},
    {.key = "timeout_ms",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = DAY_MS,
	.value = "60000"},
    {.key = NULL}};

static const struct field model_fields[] = {{.key = "context_tokens",
						.type = FIELD_INTEGER,
						.min = 1,
						.max = 100000000,
						.required = true},
    {.key = "max_output_tokens",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = 100000000,
	.required = true},
    {.key = NULL}};

static const struct field program_fields[] = {
    {.key = "urgency",
	.type = FIELD_ENUM,
	.words = "urgent|normal|batch",
	.value = "\"normal\""},
    {.key = "budget_tokens",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = TOKENS_MAX},
    {.key = "max_turns",
	.type = FIELD_INTEGER,
	.min = 1,
	.max = 100000,
	.value = "290"},
    {.key = NULL}};

static const struct field datacentre_fields[] = {
    {.key = "number", .type = FIELD_INTEGER, .max = 255, .required = true},
    {.key = "weight",
	.type = FIELD_NUMBER,
	.min = 1,
	.max = 1000000,
	.value = "1"},
    {.key = "state",
	.type = FIELD_ENUM,
	.words = "active|lost",
	.value = "\"active\""},
    {.key = NULL}};

static const struct schema schemas[] = {
    [SCHEMA_ORGANISATION] = {"organisation", organisation_fields},
    [SCHEMA_KEY] = {"key", key_fields},
    [SCHEMA_UPSTREAM] = {"upstream", upstream_fields},
    [SCHEMA_ROUTE] = {"route", route_fields},
    [SCHEMA_MODEL] = {"model", model_fields},
    [SCHEMA_PROGRAM] = {"program", program_fields},
    [SCHEMA_DATACENTRE] = {"datacentre", datacentre_fields},
};

static const char name_accepts[] =
    "a name of 1 to 63 letters, digits, dots, underscores and hyphens that "
    "begins with a letter or digit";

static const char route_prefix[] = "/v1/services/";

static void report_error(struct check *check, const char *key,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

static void
report_error(struct check *check, const char *key, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, format);
	text = g_strdup_vprintf(format, ap);
	va_end(ap);
	check->failed = true;
	check->fn(key, text, check->arg);
}

bool
schema_name_is_valid(const char *name)
{
	size_t len = strlen(name);

	if (len < 1 || len > SCHEMA_NAME_MAX || !g_ascii_isalnum(name[0]))
		return (false);
	for (size_t i = 1; i < len; i++) {
		if (!g_ascii_isalnum(name[i]) && strchr("._-", name[i]) == NULL)
			return (false);
	}
	return (true);
}

bool
schema_name_parse(const char *object, enum schema_kind *kind, const char **name)
{
	const char *slash = strchr(object, '/');
	size_t len;

	if (slash == NULL || !schema_name_is_valid(slash + 1))
		return (false);
	len = (size_t)(slash - object);
	for (size_t i = 0; i < G_N_ELEMENTS(schemas); i++) {
		if (strlen(schemas[i].name) == len &&
		    strncmp(schemas[i].name, object, len) == 0) {
			*kind = (enum schema_kind)i;
			*name = slash + 1;
			return (true);
		}
	}
	return (false);
}

const char *
schema_kind_name(enum schema_kind kind)
{
	return (schemas[kind].name);
}

static bool
is_one_of(const char *text, const char *words)
{
	g_auto(GStrv) list = g_strsplit(words, "|", -1);

	return (g_strv_contains((const char *const *)list, text));
}

static bool
is_url(const char *text)
{
	g_autoptr(GUri) uri = g_uri_parse(text, G_URI_FLAGS_NONE, NULL);

	if (uri == NULL || g_uri_get_host(uri) == NULL ||
	    g_uri_get_host(uri)[0] == '\0' || g_uri_get_userinfo(uri) != NULL ||
	    g_uri_get_query(uri) != NULL || g_uri_get_fragment(uri) != NULL)
		return (false);
	return (is_one_of(g_uri_get_scheme(uri), "http|https"));
}

static bool
is_digest(const char *text)
{
	return (strlen(text) == 64 && strspn(text, "0123456789abcdef") == 64);
}

static bool
is_route_path(const char *text)
{
	size_t len = strlen(route_prefix);

	/* Without NAME the route would match the paths of all services. */
	return (strncmp(text, route_prefix, len) == 0 &&
	    g_ascii_isalnum(text[len]) && strlen(text) <= 255 &&
	    strspn(text,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789._-/") == strlen(text) &&
	    strstr(text, "//") == NULL && strstr(text, "/.") == NULL);
}

static bool
is_list_accepted(const json_t *value, const struct field *field)
{
	const char *text;

	if (!json_is_array(value) || json_array_size(value) > MAX_LIST_LEN)
		return (false);
	if (field->type == FIELD_ENUMS && json_array_size(value) == 0)
		return (false);
	for (size_t i = 0; i < json_array_size(value); i++) {
		text = json_string_value(json_array_get(value, i));
		if (text == NULL)
			return (false);
		if (field->type == FIELD_ENUMS ? !is_one_of(text, field->words)
					       : !schema_name_is_valid(text))
			return (false);
	}
	return (true);
}

static bool
is_number_accepted(const json_t *value, const struct field *field)
{
	double number;

	if (!json_is_number(value))
		return (false);
	number = json_number_value(value);
	return (number >= (double)field->min / 1000 &&
	    number <= (double)field->max / 1000);
}

static bool
is_accepted(const json_t *value, const struct field *field)
{
	const char *text = json_string_value(value);

	switch (field->type) {
	case FIELD_NAME:
		return (text != NULL && schema_name_is_valid(text));
	case FIELD_URL:
		return (text != NULL && is_url(text));
	case FIELD_DIGEST:
		return (text != NULL && is_digest(text));
	case FIELD_ROUTE_PATH:
		return (text != NULL && is_route_path(text));
	case FIELD_ENUM:
		return (text != NULL && is_one_of(text, field->words));
	case FIELD_BOOLEAN:
		return (json_is_boolean(value));
	case FIELD_INTEGER:
		return (json_is_integer(value) &&
		    json_integer_value(value) >= field->min &&
		    json_integer_value(value) <= field->max);
	case FIELD_NUMBER:
		return (is_number_accepted(value, field));
	default:
		return (is_list_accepted(value, field));
	}
}

static char *
join_words(const char *words)
{
	g_auto(GStrv) list = g_strsplit(words, "|", -1);

	return (g_strjoinv(", ", list));
}

static char *
describe_accepted(const struct field *field)
{
	g_autofree char *words = NULL;

	switch (field->type) {
	case FIELD_NAME:
		return (g_strdup(name_accepts));
	case FIELD_URL:
		return (g_strdup("a URL that begins with http:// or https:// "
				 "and has no query"));
	case FIELD_DIGEST:
		return (g_strdup("a SHA-256 digest as 64 lower-case "
				 "hexadecimal digits"));
	case FIELD_ROUTE_PATH:
		return (g_strdup("a path that begins with /v1/services/NAME"));
	case FIELD_BOOLEAN:
		return (g_strdup("true or false"));
	case FIELD_INTEGER:
		return (g_strdup_printf("an integer from %lld to %lld",
		    (long long)field->min, (long long)field->max));
	case FIELD_NUMBER:
		return (g_strdup_printf("a number from %g to %g",
		    (double)field->min / 1000, (double)field->max / 1000));
	case FIELD_NAMES:
		return (g_strdup("a list of names"));
	case FIELD_ENUM:
		words = join_words(field->words);
		return (g_strdup_printf("one of %s", words));
	default:
		words = join_words(field->words);
		return (g_strdup_printf("a list of at least one of %s", words));
	}
}

static const struct field *
find_field(const struct schema *schema, const char *key)
{
	for (const struct field *f = schema->fields; f->key != NULL; f++) {
		if (strcmp(f->key, key) == 0)
			return (f);
	}
	return (NULL);
}

static void
report_unknown(
    struct check *check, const struct schema *schema, const char *key)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	g_autofree char *all = NULL;
	const char *nearest;

	for (const struct field *f = schema->fields; f->key != NULL; f++)
		g_ptr_array_add(keys, (gpointer)f->key);
	nearest = yml_nearest(key, (const char *const *)keys->pdata, keys->len);
	if (nearest != NULL) {
		report_error(check, key,
		    "unknown key; the nearest known key is \"%s\"", nearest);
		return;
	}
	g_ptr_array_add(keys, NULL);
	all = g_strjoinv(", ", (char **)keys->pdata);
	report_error(check, key, "unknown key; the keys of %s are %s",
	    schema->name, all);
}

static void
report_rejected(
    struct check *check, const struct field *field, const json_t *value)
{
	g_autofree char *accepted = describe_accepted(field);
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	report_error(check, field->key, "%.64s is not accepted; accepted is %s",
	    text != NULL ? text : "the value", accepted);
	free(text);
}

static void
check_fields(
    struct check *check, const struct schema *schema, const json_t *value)
{
	const json_t *found;
	const char *key;
	json_t *item;

	json_object_foreach((json_t *)value, key, item)
	{
		if (find_field(schema, key) == NULL)
			report_unknown(check, schema, key);
	}
	for (const struct field *f = schema->fields; f->key != NULL; f++) {
		found = json_object_get(value, f->key);
		if (found != NULL && !is_accepted(found, f)) {
			report_rejected(check, f, found);
		} else if (found == NULL && f->required) {
			g_autofree char *accepted = describe_accepted(f);

			report_error(check, f->key,
			    "required and missing; accepted is %s", accepted);
		}
	}
}

/* Kind model requires models and no service, kind service the reverse. */
static void
check_upstream(struct check *check, const json_t *value)
{
	const char *kind = json_string_value(json_object_get(value, "kind"));
	size_t models = json_array_size(json_object_get(value, "models"));
	bool service = json_object_get(value, "service") != NULL;

	if (strcmp(kind, "model") == 0) {
		if (models == 0)
			report_error(check, "models",
			    "accepted for kind model is a list of at least "
			    "one model");
		if (service)
			report_error(
			    check, "service", "accepted for kind service only");
		return;
	}
	if (models != 0)
		report_error(check, "models", "accepted for kind model only");
	if (!service)
		report_error(check, "service",
		    "required for kind service; accepted is %s", name_accepts);
}

static void
check_model(struct check *check, const json_t *value)
{
	json_int_t context =
	    json_integer_value(json_object_get(value, "context_tokens"));

	if (json_integer_value(json_object_get(value, "max_output_tokens")) >
	    context)
		report_error(check, "max_output_tokens",
		    "accepted is a value up to context_tokens (%lld)",
		    (long long)context);
}

bool
schema_check_each(
    const char *object, const json_t *value, schema_report_fn *fn, void *arg)
{
	struct check check = {.fn = fn, .arg = arg};
	enum schema_kind kind;
	const char *name;

	if (!schema_name_parse(object, &kind, &name)) {
		report_error(&check, NULL,
		    "\"%.100s\" is not an object name; accepted is KIND/NAME with "
		    "KIND one of organisation, key, upstream, route, model, "
		    "program, datacentre and NAME %s",
		    object, name_accepts);
		return (false);
	}
	if (!json_is_object(value)) {
		report_error(
		    &check, NULL, "accepted is a mapping of keys to values");
		return (false);
	}
	check_fields(&check, &schemas[kind], value);
	if (!check.failed && kind == SCHEMA_UPSTREAM)
		check_upstream(&check, value);
	if (!check.failed && kind == SCHEMA_MODEL)
		check_model(&check, value);
	return (!check.failed);
}

static void
append_error(const char *key, const char *text, void *arg)
{
	GString *errors = arg;

	g_string_append_printf(errors, "%s%s%s%s", errors->len > 0 ? "; " : "",
	    key != NULL ? key : "", key != NULL ? ": " : "", text);
}

bool
schema_check(const char *object, const json_t *value, char **error)
{
	GString *errors = g_string_new(NULL);

	if (schema_check_each(object, value, append_error, errors)) {
		g_string_free(errors, TRUE);
		return (true);
	}
	*error = g_string_free(errors, FALSE);
	return (false);
}

json_t *
schema_complete(const char *object, const json_t *value)
{
	json_t *complete = json_deep_copy(value);
	enum schema_kind kind;
	const char *name;

	if (!schema_name_parse(object, &kind, &name))
		return (complete);
	for (const struct field *f = schemas[kind].fields; f->key != NULL;
	     f++) {
		if (f->value == NULL || json_object_get(value, f->key) != NULL)
			continue;
		(void)json_object_set_new(complete, f->key,
		    json_loads(f->value, JSON_DECODE_ANY, NULL));
	}
	return (complete);
}

struct file_check {
	const char *path;
	const char *object;
	const struct yml_node *item;
	GPtrArray *errors;
};

static void
add_file_error(const char *key, const char *text, void *arg)
{
	const struct file_check *check = arg;
	const struct yml_node *value = yml_get(check->item, "value");
	const struct yml_node *node =
	    key != NULL && value != NULL ? yml_get(value, key) : NULL;

	yml_error(check->errors, check->path,
	    node != NULL ? node->line : check->item->line, "%s%s%s: %s",
	    check->object, key != NULL ? ": " : "", key != NULL ? key : "",
	    text);
}

/* Check one item of the file; return {"object", "value"}, or nil. */
static json_t *
read_item(const char *path, const struct yml_node *item, GHashTable *names,
    GPtrArray *errors)
{
	struct file_check check = {
	    .path = path, .item = item, .errors = errors};
	const struct yml_node *value = yml_get(item, "value");
	json_t *json;

	check.object = yml_string(item, "object");
	if (item->kind != YML_MAPPING || item->children->len != 2 ||
	    check.object == NULL || value == NULL) {
		yml_error(errors, path, item->line,
		    "accepted is {object: KIND/NAME, value: {...}}");
		return (NULL);
	}
	if (!g_hash_table_add(names, (gpointer)check.object)) {
		yml_error(errors, path, item->line,
		    "%s: duplicate object in this file", check.object);
		return (NULL);
	}
	json = yml_json(value);
	if (json == NULL) {
		yml_error(errors, path, item->line, "%s: not valid UTF-8",
		    check.object);
		return (NULL);
	}
	if (!schema_check_each(check.object, json, add_file_error, &check)) {
		json_decref(json);
		return (NULL);
	}
	return (json_pack("{s:s,s:o}", "object", check.object, "value", json));
}

json_t *
schema_file_load(const char *path, GPtrArray *errors)
{
	struct yml_node *root = yml_load(path, &schema_file_limits, errors);
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned errors_before = errors->len;
	json_t *objects, *object;

	if (root == NULL)
		return (NULL);
	objects = json_array();
	if (root->kind != YML_SEQUENCE)
		yml_error(errors, path, root->line,
		    "the file must hold a list of {object: KIND/NAME, value: "
		    "{...}}");
	for (size_t i = 0; i < yml_length(root, ""); i++) {
		object = read_item(path, yml_item(root, "", i), names, errors);
		if (object != NULL)
			(void)json_array_append_new(objects, object);
	}
	yml_free(root);
	if (errors->len == errors_before)
		return (objects);
	json_decref(objects);
	return (NULL);
}
