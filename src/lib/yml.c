#include "lib/yml.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <yaml.h>

const struct yml_limits yml_limits_default = {
    .max_bytes = 1 << 20, .max_depth = 16, .max_nodes = 100000};

struct reader {
	yaml_parser_t parser;
	const char *file;
	const struct yml_limits *limits;
	GPtrArray *errors;
	GHashTable *anchors; /* name -> struct yml_node in the tree */
	unsigned nodes;
};

struct check {
	const char *file;
	const struct yml_rule *rules;
	size_t n;
	GPtrArray *errors;
};

static void check_node(
    struct check *check, struct yml_node *node, const struct yml_rule *rule);
static bool read_node(struct reader *reader, const yaml_event_t *event,
    unsigned depth, struct yml_node **out);

void
yml_error(
    GPtrArray *errors, const char *file, unsigned line, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, format);
	text = g_strdup_vprintf(format, ap);
	va_end(ap);
	g_ptr_array_add(errors, g_strdup_printf("%s:%u: %s", file, line, text));
}

void
yml_free(struct yml_node *node)
{
	if (node == NULL)
		return;
	if (node->children != NULL)
		g_ptr_array_free(node->children, TRUE);
	g_free(node->key);
	g_free(node->text);
	g_free(node);
}

static void
free_child(gpointer node)
{
	yml_free(node);
}

static struct yml_node *
make_node(enum yml_kind kind, unsigned line)
{
	struct yml_node *node = g_new0(struct yml_node, 1);

	node->kind = kind;
	node->line = line;
	if (kind != YML_SCALAR)
		node->children = g_ptr_array_new_with_free_func(free_child);
	return (node);
}

static struct yml_node *
make_scalar(const char *text, bool plain, unsigned line)
{
	struct yml_node *node = make_node(YML_SCALAR, line);

	node->text = g_strdup(text);
	node->plain = plain;
	return (node);
}

static struct yml_node *
child_at(const struct yml_node *node, size_t i)
{
	return (g_ptr_array_index(node->children, i));
}

static unsigned
event_line(const yaml_event_t *event)
{
	return ((unsigned)event->start_mark.line + 1);
}

/* Read the next event; the caller deletes it if true is returned. */
static bool
next_event(struct reader *reader, yaml_event_t *event)
{
	yaml_parser_t *parser = &reader->parser;

	if (yaml_parser_parse(parser, event) != 0)
		return (true);
	yml_error(reader->errors, reader->file,
	    (unsigned)parser->problem_mark.line + 1, "%s%s%s",
	    parser->problem != NULL ? parser->problem : "not readable as YAML",
	    parser->context != NULL ? " " : "",
	    parser->context != NULL ? parser->context : "");
	return (false);
}

/* Count a node against the limits. */
static bool
count_node(struct reader *reader, unsigned line, unsigned depth)
{
	if (depth > reader->limits->max_depth) {
		yml_error(reader->errors, reader->file, line,
		    "nested deeper than the limit of %u levels",
		    reader->limits->max_depth);
		return (false);
	}
	if (++reader->nodes > reader->limits->max_nodes) {
		yml_error(reader->errors, reader->file, line,
		    "more values than the limit of %u",
		    reader->limits->max_nodes);
		return (false);
	}
	return (true);
}

static struct yml_node *
copy_node(struct reader *reader, const struct yml_node *from, unsigned line,
    unsigned depth)
{
	struct yml_node *node, *child;

	if (!count_node(reader, line, depth))
		return (NULL);
	if (from->kind == YML_SCALAR)
		return (make_scalar(from->text, from->plain, line));
	node = make_node(from->kind, line);
	for (size_t i = 0; i < from->children->len; i++) {
		child = copy_node(reader, child_at(from, i), line, depth + 1);
		if (child == NULL) {
			yml_free(node);
			return (NULL);
		}
		child->key = g_strdup(child_at(from, i)->key);
		g_ptr_array_add(node->children, child);
	}
	return (node);
}

static bool
read_alias(struct reader *reader, const yaml_event_t *event, unsigned depth,
    struct yml_node **out)
{
	const char *name = (const char *)event->data.alias.anchor;
	const struct yml_node *from =
	    g_hash_table_lookup(reader->anchors, name);

	if (from == NULL) {
		yml_error(reader->errors, reader->file, event_line(event),
		    "alias \"*%s\" names no anchor that ends above it", name);
		return (false);
	}
	*out = copy_node(reader, from, event_line(event), depth);
	return (*out != NULL);
}

static bool
read_sequence(struct reader *reader, struct yml_node *node, unsigned depth)
{
	yaml_event_t event;
	struct yml_node *child;
	bool ok;

	for (;;) {
		if (!next_event(reader, &event))
			return (false);
		if (event.type == YAML_SEQUENCE_END_EVENT) {
			yaml_event_delete(&event);
			return (true);
		}
		ok = read_node(reader, &event, depth + 1, &child);
		yaml_event_delete(&event);
		if (!ok)
			return (false);
		g_ptr_array_add(node->children, child);
	}
}

/* Take the key out of event, or report why it is none. */
static char *
read_key(struct reader *reader, const yaml_event_t *event, GHashTable *keys)
{
	const char *text;
	char *key;

	if (event->type != YAML_SCALAR_EVENT) {
		yml_error(reader->errors, reader->file, event_line(event),
		    "a key must be a plain text");
		return (NULL);
	}
	text = (const char *)event->data.scalar.value;
	if (strlen(text) != event->data.scalar.length) {
		yml_error(reader->errors, reader->file, event_line(event),
		    "a key holds a zero byte");
		return (NULL);
	}
	key = g_strdup(text);
	if (!g_hash_table_add(keys, g_strdup(text)))
		yml_error(reader->errors, reader->file, event_line(event),
		    "%s: the key stands twice in this mapping", key);
	return (key);
}

static bool
read_mapping(struct reader *reader, struct yml_node *node, unsigned depth)
{
	GHashTable *keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	yaml_event_t event;
	struct yml_node *child;
	bool ok = false;
	char *key;

	for (;;) {
		if (!next_event(reader, &event))
			break;
		if (event.type == YAML_MAPPING_END_EVENT) {
			yaml_event_delete(&event);
			ok = true;
			break;
		}
		key = read_key(reader, &event, keys);
		yaml_event_delete(&event);
		if (key == NULL)
			break;
		if (!next_event(reader, &event)) {
			g_free(key);
			break;
		}
		if (!read_node(reader, &event, depth + 1, &child)) {
			yaml_event_delete(&event);
			g_free(key);
			break;
		}
		yaml_event_delete(&event);
		child->key = key;
		g_ptr_array_add(node->children, child);
	}
	g_hash_table_destroy(keys);
	return (ok);
}

static bool
read_scalar(
    struct reader *reader, const yaml_event_t *event, struct yml_node **out)
{
	const char *text = (const char *)event->data.scalar.value;

	if (strlen(text) != event->data.scalar.length) {
		yml_error(reader->errors, reader->file, event_line(event),
		    "a value holds a zero byte");
		return (false);
	}
	*out = make_scalar(text,
	    event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE,
	    event_line(event));
	return (true);
}

/* Read the node that begins with event. */
static bool
read_node(struct reader *reader, const yaml_event_t *event, unsigned depth,
    struct yml_node **out)
{
	const yaml_char_t *anchor = NULL, *tag = NULL;
	struct yml_node *node = NULL;
	bool ok;

	if (event->type == YAML_ALIAS_EVENT)
		return (read_alias(reader, event, depth, out));
	if (!count_node(reader, event_line(event), depth))
		return (false);
	switch (event->type) {
	case YAML_SCALAR_EVENT:
		anchor = event->data.scalar.anchor;
		tag = event->data.scalar.tag;
		ok = read_scalar(reader, event, &node);
		break;
	case YAML_SEQUENCE_START_EVENT:
		anchor = event->data.sequence_start.anchor;
		tag = event->data.sequence_start.tag;
		node = make_node(YML_SEQUENCE, event_line(event));
		ok = read_sequence(reader, node, depth);
		break;
	case YAML_MAPPING_START_EVENT:
		anchor = event->data.mapping_start.anchor;
		tag = event->data.mapping_start.tag;
		node = make_node(YML_MAPPING, event_line(event));
		ok = read_mapping(reader, node, depth);
		break;
	default:
		yml_error(reader->errors, reader->file, event_line(event),
		    "a value is missing");
		return (false);
	}
	if (ok && tag != NULL) {
		yml_error(reader->errors, reader->file, event_line(event),
		    "tags such as \"%s\" are not accepted", (const char *)tag);
		ok = false;
	}
	if (!ok) {
		yml_free(node);
		return (false);
	}
	if (anchor != NULL)
		(void)g_hash_table_insert(
		    reader->anchors, g_strdup((const char *)anchor), node);
	*out = node;
	return (true);
}

/* Skip the events before the first node, which is left in *event. */
static bool
read_start(struct reader *reader, yaml_event_t *event)
{
	for (;;) {
		if (!next_event(reader, event))
			return (false);
		if (event->type == YAML_STREAM_END_EVENT) {
			yaml_event_delete(event);
			yml_error(reader->errors, reader->file, 1,
			    "the file is empty");
			return (false);
		}
		if (event->type != YAML_STREAM_START_EVENT &&
		    event->type != YAML_DOCUMENT_START_EVENT)
			return (true);
		yaml_event_delete(event);
	}
}

/* Read what follows the root; a second document is an error. */
static bool
read_end(struct reader *reader)
{
	yaml_event_t event;
	yaml_event_type_t type;
	unsigned line;

	for (;;) {
		if (!next_event(reader, &event))
			return (false);
		type = event.type;
		line = event_line(&event);
		yaml_event_delete(&event);
		if (type == YAML_STREAM_END_EVENT)
			return (true);
		if (type == YAML_DOCUMENT_START_EVENT) {
			yml_error(reader->errors, reader->file, line,
			    "a second document begins; one is accepted");
			return (false);
		}
	}
}

struct yml_node *
yml_parse(const char *file, const char *text, size_t len,
    const struct yml_limits *limits, GPtrArray *errors)
{
	struct reader reader = {.file = file, .errors = errors};
	struct yml_node *root = NULL;
	unsigned errors_before = errors->len;
	yaml_event_t event;

	reader.limits = limits != NULL ? limits : &yml_limits_default;
	if (len > reader.limits->max_bytes) {
		yml_error(errors, file, 1, "%zu bytes; the limit is %zu", len,
		    reader.limits->max_bytes);
		return (NULL);
	}
	if (yaml_parser_initialize(&reader.parser) == 0) {
		yml_error(errors, file, 1, "out of memory");
		return (NULL);
	}
	reader.anchors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	yaml_parser_set_input_string(
	    &reader.parser, (const unsigned char *)text, len);
	if (read_start(&reader, &event)) {
		if (!read_node(&reader, &event, 1, &root))
			root = NULL;
		yaml_event_delete(&event);
		if (root != NULL)
			(void)read_end(&reader);
	}
	if (errors->len > errors_before) {
		yml_free(root);
		root = NULL;
	}
	g_hash_table_destroy(reader.anchors);
	yaml_parser_delete(&reader.parser);
	return (root);
}

struct yml_node *
yml_load(const char *path, const struct yml_limits *limits, GPtrArray *errors)
{
	const struct yml_limits *used =
	    limits != NULL ? limits : &yml_limits_default;
	g_autofree char *text = NULL;
	struct stat st;
	GError *error = NULL;
	size_t len;

	if (stat(path, &st) != 0) {
		yml_error(errors, path, 1, "%s", g_strerror(errno));
		return (NULL);
	}
	if (!S_ISREG(st.st_mode)) {
		yml_error(errors, path, 1, "not a regular file");
		return (NULL);
	}
	if ((uint64_t)st.st_size > used->max_bytes) {
		yml_error(errors, path, 1, "%lld bytes; the limit is %zu",
		    (long long)st.st_size, used->max_bytes);
		return (NULL);
	}
	if (!g_file_get_contents(path, &text, &len, &error)) {
		yml_error(errors, path, 1, "%s", error->message);
		g_error_free(error);
		return (NULL);
	}
	return (yml_parse(path, text, len, used, errors));
}

static struct yml_node *
find_child(const struct yml_node *node, const char *key, size_t len)
{
	struct yml_node *child;

	if (node->kind != YML_MAPPING)
		return (NULL);
	for (size_t i = 0; i < node->children->len; i++) {
		child = child_at(node, i);
		if (strncmp(child->key, key, len) == 0 &&
		    child->key[len] == '\0')
			return (child);
	}
	return (NULL);
}

const struct yml_node *
yml_get(const struct yml_node *node, const char *path)
{
	while (node != NULL && *path != '\0') {
		size_t len = strcspn(path, ".");

		node = find_child(node, path, len);
		path += len;
		if (*path == '.')
			path++;
	}
	return (node);
}

const char *
yml_string(const struct yml_node *node, const char *path)
{
	const struct yml_node *found = yml_get(node, path);

	return (found != NULL ? found->text : NULL);
}

int64_t
yml_integer(const struct yml_node *node, const char *path)
{
	const struct yml_node *found = yml_get(node, path);

	return (found != NULL ? found->integer : 0);
}

double
yml_number(const struct yml_node *node, const char *path)
{
	const struct yml_node *found = yml_get(node, path);

	return (found != NULL ? found->number : 0);
}

size_t
yml_length(const struct yml_node *node, const char *path)
{
	const struct yml_node *found = yml_get(node, path);

	if (found == NULL || found->kind != YML_SEQUENCE)
		return (0);
	return (found->children->len);
}

const struct yml_node *
yml_item(const struct yml_node *node, const char *path, size_t i)
{
	return (child_at(yml_get(node, path), i));
}

static bool
is_word(const char *text, const char *const *words)
{
	return (g_strv_contains(words, text));
}

/* Convert a plain scalar by the YAML 1.2 core schema. */
static json_t *
scalar_json(const struct yml_node *node)
{
	static const char *const nulls[] = {
	    "", "~", "null", "Null", "NULL", NULL};
	static const char *const trues[] = {"true", "True", "TRUE", NULL};
	static const char *const falses[] = {"false", "False", "FALSE", NULL};
	const char *text = node->text;
	gint64 integer;
	double real;
	char *end;

	if (!node->plain)
		return (json_string(text));
	if (is_word(text, nulls))
		return (json_null());
	if (is_word(text, trues))
		return (json_true());
	if (is_word(text, falses))
		return (json_false());
	if (g_ascii_string_to_signed(
		text, 10, G_MININT64, G_MAXINT64, &integer, NULL))
		return (json_integer(integer));
	/* strtod also reads hexadecimal, inf and nan, which stay texts. */
	if (strspn(text, "+-.0123456789eE") == strlen(text) &&
	    strpbrk(text, ".eE") != NULL) {
		real = g_ascii_strtod(text, &end);
		if (end != text && *end == '\0' && isfinite(real))
			return (json_real(real));
	}
	return (json_string(text));
}

json_t *
yml_json(const struct yml_node *node)
{
	json_t *json, *value;
	struct yml_node *child;
	int failed;

	if (node->kind == YML_SCALAR)
		return (scalar_json(node));
	json = node->kind == YML_MAPPING ? json_object() : json_array();
	for (size_t i = 0; i < node->children->len; i++) {
		child = child_at(node, i);
		value = yml_json(child);
		if (node->kind == YML_MAPPING)
			failed = json_object_set_new(json, child->key, value);
		else
			failed = json_array_append_new(json, value);
		if (failed != 0) {
			json_decref(json);
			return (NULL);
		}
	}
	return (json);
}

bool
yml_duration_parse(const char *text, clk_ms *ms)
{
	static const struct {
		const char *name;
		clk_ms factor;
	} units[] = {{"", 1}, {"ms", 1}, {"s", CLK_SECOND}, {"min", CLK_MINUTE},
	    {"h", CLK_HOUR}};
	const char *unit = text;
	clk_ms value = 0;

	while (g_ascii_isdigit(*unit)) {
		if (value > (INT64_MAX - 9) / 10)
			return (false);
		value = value * 10 + (*unit++ - '0');
	}
	if (unit == text)
		return (false);
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (strcmp(unit, units[i].name) != 0)
			continue;
		if (value > INT64_MAX / units[i].factor)
			return (false);
		*ms = value * units[i].factor;
		return (true);
	}
	return (false);
}

bool
yml_address_parse(const char *text, char *ip, size_t size, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	unsigned char number[sizeof(struct in6_addr)];
	size_t len;
	gint64 value;
	int family = AF_INET;

	if (colon == NULL ||
	    !g_ascii_string_to_signed(
		colon + 1, 10, 1, UINT16_MAX, &value, NULL))
		return (false);
	len = (size_t)(colon - text);
	if (text[0] == '[' && len > 2 && text[len - 1] == ']') {
		family = AF_INET6;
		text++;
		len -= 2;
	}
	if (len >= size)
		return (false);
	memcpy(ip, text, len);
	ip[len] = '\0';
	if (inet_pton(family, ip, number) != 1)
		return (false);
	*port = (uint16_t)value;
	return (true);
}

/*
 * The number of inserted, removed, changed or swapped letters that lead from
 * one word to another, both of up to 63 bytes.
 */
static unsigned
edit_distance(const char *a, const char *b)
{
	unsigned d[64][64];
	size_t la = strlen(a), lb = strlen(b);

	if (la > 63 || lb > 63)
		return (64);
	for (size_t i = 0; i <= la; i++)
		d[i][0] = (unsigned)i;
	for (size_t j = 0; j <= lb; j++)
		d[0][j] = (unsigned)j;
	for (size_t i = 1; i <= la; i++) {
		for (size_t j = 1; j <= lb; j++) {
			d[i][j] = MIN(MIN(d[i - 1][j], d[i][j - 1]) + 1,
			    d[i - 1][j - 1] + (a[i - 1] != b[j - 1]));
			if (i > 1 && j > 1 && a[i - 1] == b[j - 2] &&
			    a[i - 2] == b[j - 1])
				d[i][j] = MIN(d[i][j], d[i - 2][j - 2] + 1);
		}
	}
	return (d[la][lb]);
}

const char *
yml_nearest(const char *word, const char *const *words, size_t n)
{
	unsigned best = MAX((unsigned)strlen(word) / 3, 1) + 1;
	const char *nearest = NULL;
	unsigned distance;

	for (size_t i = 0; i < n; i++) {
		distance = edit_distance(word, words[i]);
		if (distance < best) {
			best = distance;
			nearest = words[i];
		}
	}
	return (nearest);
}

/* The largest unit that divides a duration makes the shortest text. */
static char *
duration_text(clk_ms ms)
{
	long long value = (long long)ms;

	if (ms != 0 && ms % CLK_HOUR == 0)
		return (g_strdup_printf("%lldh", value / CLK_HOUR));
	if (ms != 0 && ms % CLK_MINUTE == 0)
		return (g_strdup_printf("%lldmin", value / CLK_MINUTE));
	if (ms != 0 && ms % CLK_SECOND == 0)
		return (g_strdup_printf("%llds", value / CLK_SECOND));
	return (g_strdup_printf("%lldms", value));
}

static char *
accepts_words(const char *words)
{
	g_auto(GStrv) list = g_strsplit(words, "|", -1);
	g_autofree char *joined = g_strjoinv(", ", list);

	return (g_strdup_printf("one of %s", joined));
}

static char *
accepts_duration(const struct yml_rule *rule)
{
	g_autofree char *min = duration_text(rule->min);
	g_autofree char *max = duration_text(rule->max);

	return (g_strdup_printf("a duration from %s to %s, such as 250ms, 3s "
				"or 10min",
	    min, max));
}

char *
yml_accepts(const struct yml_rule *rule)
{
	long long min = (long long)rule->min, max = (long long)rule->max;

	switch (rule->type) {
	case YML_STRING:
		if (max == 0)
			return (g_strdup("a text on one line"));
		return (g_strdup_printf(
		    "a text on one line of %lld to %lld bytes", min, max));
	case YML_NAME:
		return (g_strdup("a name of 1 to 63 lower-case letters, digits "
				 "and hyphens that begins with a letter or "
				 "digit"));
	case YML_INTEGER:
		return (
		    g_strdup_printf("an integer from %lld to %lld", min, max));
	case YML_NUMBER:
		return (g_strdup_printf("a number from %g to %g",
		    (double)min / 1000, (double)max / 1000));
	case YML_DURATION:
		return (accepts_duration(rule));
	case YML_BOOLEAN:
		return (g_strdup("true or false"));
	case YML_ENUM:
		return (accepts_words(rule->words));
	case YML_ADDRESS:
		return (g_strdup("an IP number and port, such as "
				 "10.0.0.1:8080 or [fd00::1]:8080"));
	case YML_URL:
		return (g_strdup("a URL that begins with http:// or https://"));
	case YML_LIST:
		if (max == 0)
			return (g_strdup("a list"));
		return (
		    g_strdup_printf("a list of %lld to %lld items", min, max));
	default:
		return (g_strdup("a mapping of keys to values"));
	}
}

static bool
is_name(const char *text)
{
	size_t len = strlen(text);

	return (len >= 1 && len <= 63 && text[0] != '-' &&
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == len);
}

static bool
is_url(const char *text)
{
	g_autoptr(GUri) uri = g_uri_parse(text, G_URI_FLAGS_NONE, NULL);
	const char *scheme;

	if (uri == NULL || g_uri_get_host(uri) == NULL ||
	    g_uri_get_host(uri)[0] == '\0' || g_uri_get_userinfo(uri) != NULL)
		return (false);
	scheme = g_uri_get_scheme(uri);
	return (strcmp(scheme, "http") == 0 || strcmp(scheme, "https") == 0);
}

static bool
parse_word(const char *text, const char *words, int64_t *index)
{
	g_auto(GStrv) list = g_strsplit(words, "|", -1);

	for (int64_t i = 0; list[i] != NULL; i++) {
		if (strcmp(list[i], text) == 0) {
			*index = i;
			return (true);
		}
	}
	return (false);
}

static bool
parse_number(const char *text, const struct yml_rule *rule, double *number)
{
	char *end;

	*number = g_ascii_strtod(text, &end);
	return (end != text && *end == '\0' && isfinite(*number) &&
	    *number >= (double)rule->min / 1000 &&
	    *number <= (double)rule->max / 1000);
}

static bool
parse_integer(const char *text, const struct yml_rule *rule, int64_t *integer)
{
	gint64 value;

	if (!g_ascii_string_to_signed(
		text, 10, rule->min, rule->max, &value, NULL))
		return (false);
	*integer = value;
	return (true);
}

static bool
is_scalar_accepted(struct yml_node *node, const struct yml_rule *rule)
{
	char ip[INET6_ADDRSTRLEN];
	size_t len = strlen(node->text);
	uint16_t port;

	switch (rule->type) {
	case YML_STRING:
		for (const char *p = node->text; *p != '\0'; p++) {
			if (g_ascii_iscntrl(*p))
				return (false);
		}
		return (rule->max == 0 ||
		    (len >= (size_t)rule->min && len <= (size_t)rule->max));
	case YML_NAME:
		return (is_name(node->text));
	case YML_INTEGER:
		return (parse_integer(node->text, rule, &node->integer));
	case YML_NUMBER:
		return (parse_number(node->text, rule, &node->number));
	case YML_DURATION:
		return (yml_duration_parse(node->text, &node->integer) &&
		    node->integer >= rule->min && node->integer <= rule->max);
	case YML_BOOLEAN:
		return (node->plain &&
		    parse_word(node->text, "false|true", &node->integer));
	case YML_ENUM:
		return (parse_word(node->text, rule->words, &node->integer));
	case YML_ADDRESS:
		return (yml_address_parse(node->text, ip, sizeof(ip), &port));
	case YML_URL:
		return (is_url(node->text));
	default:
		return (false);
	}
}

/* Whether rule is a key of the group with the given path. */
static bool
is_key_of(const struct yml_rule *rule, const char *group)
{
	size_t len = strlen(group);
	const char *rest = rule->path;

	if (len > 0) {
		if (strncmp(rule->path, group, len) != 0 ||
		    rule->path[len] != '.')
			return (false);
		rest += len + 1;
	}
	return (rest[0] != '\0' && strpbrk(rest, ".[") == NULL);
}

static const char *
rule_key(const struct yml_rule *rule)
{
	const char *dot = strrchr(rule->path, '.');

	return (dot != NULL ? dot + 1 : rule->path);
}

static const struct yml_rule *
find_rule(const struct check *check, const char *path)
{
	for (size_t i = 0; i < check->n; i++) {
		if (strcmp(check->rules[i].path, path) == 0)
			return (&check->rules[i]);
	}
	return (NULL);
}

static void
report_unknown(
    struct check *check, const struct yml_node *node, const char *group)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	const char *nearest;

	for (size_t i = 0; i < check->n; i++) {
		if (is_key_of(&check->rules[i], group))
			g_ptr_array_add(
			    keys, (gpointer)rule_key(&check->rules[i]));
	}
	nearest =
	    yml_nearest(node->key, (const char *const *)keys->pdata, keys->len);
	if (nearest == NULL) {
		g_ptr_array_add(keys, NULL);
		{
			g_autofree char *all =
			    g_strjoinv(", ", (char **)keys->pdata);

			yml_error(check->errors, check->file, node->line,
			    "%s%s%s: unknown key; the keys here are %s", group,
			    group[0] != '\0' ? "." : "", node->key, all);
		}
		return;
	}
	yml_error(check->errors, check->file, node->line,
	    "%s%s%s: unknown key; the nearest known key is \"%s\"", group,
	    group[0] != '\0' ? "." : "", node->key, nearest);
}

/* A key without a value, or with null, counts as absent. */
static bool
is_empty(const struct yml_node *node)
{
	return (node->kind == YML_SCALAR && node->plain &&
	    (node->text[0] == '\0' || strcmp(node->text, "~") == 0 ||
		strcmp(node->text, "null") == 0));
}

/* A group in which every key is without a value. */
static bool
is_blank_group(const struct yml_node *node)
{
	if (node->kind != YML_MAPPING || node->children->len == 0)
		return (false);
	for (size_t i = 0; i < node->children->len; i++) {
		if (!is_empty(child_at(node, i)))
			return (false);
	}
	return (true);
}

static bool
has_required(const struct check *check, const char *group)
{
	for (size_t i = 0; i < check->n; i++) {
		if (is_key_of(&check->rules[i], group) &&
		    check->rules[i].required)
			return (true);
	}
	return (false);
}

static const char *
help_separator(const struct yml_rule *rule)
{
	return (rule->help != NULL ? ". " : "");
}

static const char *
help_text(const struct yml_rule *rule)
{
	return (rule->help != NULL ? rule->help : "");
}

static void
add_absent(struct check *check, struct yml_node *group,
    const struct yml_rule *rule, unsigned line)
{
	g_autofree char *accepts = NULL;
	struct yml_node *node = NULL;

	if (rule->required) {
		accepts = yml_accepts(rule);
		yml_error(check->errors, check->file, line,
		    "%s: required and missing; accepted is %s%s%s", rule->path,
		    accepts, help_separator(rule), help_text(rule));
		return;
	}
	if (rule->type == YML_GROUP && !has_required(check, rule->path))
		node = make_node(YML_MAPPING, line);
	else if (rule->value != NULL)
		node = make_scalar(rule->value, true, line);
	if (node == NULL)
		return;
	node->key = g_strdup(rule_key(rule));
	g_ptr_array_add(group->children, node);
	check_node(check, node, rule);
}

/* Check the keys of a mapping; path names the mapping. */
static void
check_keys(struct check *check, struct yml_node *group, const char *path)
{
	g_autoptr(GHashTable) empty = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL); /* key -> line */
	const struct yml_rule *rule;
	struct yml_node *child;
	unsigned line;

	for (size_t i = 0; i < group->children->len;) {
		g_autofree char *child_path = NULL;

		child = child_at(group, i);
		child_path = path[0] != '\0'
		    ? g_strdup_printf("%s.%s", path, child->key)
		    : g_strdup(child->key);
		rule = strpbrk(child->key, ".[") == NULL
		    ? find_rule(check, child_path)
		    : NULL;
		if (rule == NULL) {
			report_unknown(check, child, path);
		} else if (is_empty(child) ||
		    (!rule->required && is_blank_group(child))) {
			(void)g_hash_table_insert(empty, g_strdup(child->key),
			    GUINT_TO_POINTER(child->line));
			(void)g_ptr_array_remove_index(
			    group->children, (guint)i);
			continue;
		} else {
			check_node(check, child, rule);
		}
		i++;
	}
	for (size_t i = 0; i < check->n; i++) {
		const char *key = rule_key(&check->rules[i]);

		if (!is_key_of(&check->rules[i], path) ||
		    find_child(group, key, strlen(key)) != NULL)
			continue;
		line = GPOINTER_TO_UINT(g_hash_table_lookup(empty, key));
		add_absent(check, group, &check->rules[i],
		    line != 0 ? line : group->line);
	}
}

static void
check_items(
    struct check *check, struct yml_node *list, const struct yml_rule *rule)
{
	g_autofree char *path = g_strdup_printf("%s[]", rule->path);
	const struct yml_rule *item_rule = find_rule(check, path);

	g_assert(item_rule != NULL);
	for (size_t i = 0; i < list->children->len; i++)
		check_node(check, child_at(list, i), item_rule);
}

static void
report_refused(struct check *check, const struct yml_node *node,
    const struct yml_rule *rule)
{
	g_autofree char *accepts = yml_accepts(rule);
	g_autofree char *found = NULL;

	if (node->kind == YML_SCALAR)
		found =
		    g_strdup_printf("\"%.100s\" is not accepted", node->text);
	else if (rule->type == YML_LIST && node->kind == YML_SEQUENCE)
		found = g_strdup_printf("%u items", node->children->len);
	else
		found = g_strdup_printf("a %s is not accepted",
		    node->kind == YML_MAPPING ? "mapping" : "list");
	yml_error(check->errors, check->file, node->line,
	    "%s: %s; accepted is %s%s%s", rule->path, found, accepts,
	    help_separator(rule), help_text(rule));
}

static void
check_node(
    struct check *check, struct yml_node *node, const struct yml_rule *rule)
{
	if (rule->type == YML_GROUP && node->kind == YML_MAPPING) {
		check_keys(check, node, rule->path);
	} else if (rule->type == YML_LIST && node->kind == YML_SEQUENCE) {
		if (rule->max != 0 &&
		    (node->children->len < rule->min ||
			node->children->len > rule->max))
			report_refused(check, node, rule);
		check_items(check, node, rule);
	} else if (node->kind != YML_SCALAR ||
	    !is_scalar_accepted(node, rule)) {
		report_refused(check, node, rule);
	}
}

bool
yml_check(const char *file, struct yml_node *root, const struct yml_rule *rules,
    size_t n, GPtrArray *errors)
{
	struct check check = {
	    .file = file, .rules = rules, .n = n, .errors = errors};
	unsigned errors_before = errors->len;

	if (root->kind != YML_MAPPING) {
		yml_error(errors, file, root->line,
		    "the file must hold a mapping of keys to values");
		return (false);
	}
	check_keys(&check, root, "");
	return (errors->len == errors_before);
}
