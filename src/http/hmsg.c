#include "http/hmsg.h"

#include <limits.h>
#include <string.h>

/* Bytes of a field beside its name and value: ": " and the end of the line. */
#define FIELD_EXTRA 4
/* Status codes outside of these are invalid (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
/* Longer buffers, and more fields, are freed between messages. */
#define KEPT_TEXT   4096
#define KEPT_FIELDS 64

static const char *const connection_fields[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
    "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
    NULL};

static struct hmsg_reader *
reader_of(http_parser *parser)
{
	return (parser->data);
}

static bool
count_head_bytes(struct hmsg_reader *reader, size_t len)
{
	reader->head_bytes += len;
	reader->head_too_large = reader->head_bytes > reader->max_head;
	return (!reader->head_too_large);
}

static int
on_begin(http_parser *parser)
{
	reader_of(parser)->in_message = true;
	return (0);
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct hmsg_reader *reader = reader_of(parser);

	if (!count_head_bytes(reader, len))
		return (1);
	(void)g_string_append_len(reader->head.target, at, (gssize)len);
	return (0);
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct hmsg_reader *reader = reader_of(parser);
	struct hmsg_head *head = &reader->head;
	bool is_new = reader->value_open || head->fields->len == 0;

	if (!count_head_bytes(reader, len + (is_new ? FIELD_EXTRA : 0)))
		return (1);
	if (is_new) {
		struct hmsg_field field = {(guint)head->text->len + 1, 0};

		/* Ends the value before it. */
		(void)g_string_append_c(head->text, '\0');
		g_array_append_val(head->fields, field);
		reader->value_open = false;
	}
	(void)g_string_append_len(head->text, at, (gssize)len);
	return (0);
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct hmsg_reader *reader = reader_of(parser);
	struct hmsg_head *head = &reader->head;
	struct hmsg_field *field;

	if (!count_head_bytes(reader, len) || head->fields->len == 0)
		return (1);
	if (!reader->value_open) {
		field = &g_array_index(
		    head->fields, struct hmsg_field, head->fields->len - 1);
		(void)g_string_append_c(head->text, '\0');
		field->value = (guint)head->text->len;
		reader->value_open = true;
	}
	(void)g_string_append_len(head->text, at, (gssize)len);
	return (0);
}

/*
 * Whether all names are tokens (RFC 9110, 5.6.2).  The library takes a space
 * for a part of a name, and the next reader might not.
 */
static bool
has_proper_names(const struct hmsg_head *head)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const char *name = hmsg_name(head, i);

		if (name[0] == '\0')
			return (false);
		for (; *name != '\0'; name++) {
			if (!g_ascii_isalnum(*name) &&
			    strchr("!#$%&'*+-.^_`|~", *name) == NULL)
				return (false);
		}
	}
	return (true);
}

static int
on_headers(http_parser *parser)
{
	struct hmsg_reader *reader = reader_of(parser);
	struct hmsg_head *head = &reader->head;
	const char *expect;

	(void)g_string_append_c(head->text, '\0');
	if (!has_proper_names(head))
		return (-1);
	head->keep_alive = http_should_keep_alive(parser) != 0;
	if (parser->type == HTTP_REQUEST) {
		head->method = http_method_str(parser->method);
		expect = hmsg_find(head, "Expect");
		head->has_expect = expect != NULL;
	} else {
		head->status = (int)parser->status_code;
		if (head->status < STATUS_MIN || head->status > STATUS_MAX)
			return (-1);
		head->is_undelimited = (parser->flags & F_CHUNKED) == 0 &&
		    parser->content_length == ULLONG_MAX;
	}
	reader->has_head = true;
	if (reader->on_head(reader) == HMSG_STOP) {
		reader->stopped = true;
		return (-1);
	}
	return (reader->skip_body ? 1 : 0);
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct hmsg_reader *reader = reader_of(parser);

	if (reader->on_data(reader, at, len) == HMSG_STOP) {
		reader->stopped = true;
		return (1);
	}
	return (0);
}

static int
on_complete(http_parser *parser)
{
	reader_of(parser)->ended = true;
	/* The rest of the input belongs to the next message. */
	http_parser_pause(parser, 1);
	return (0);
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
hmsg_reader_init(
    struct hmsg_reader *reader, enum http_parser_type type, size_t max_head)
{
	memset(reader, 0, sizeof(*reader));
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->max_head = max_head;
	reader->head.text = g_string_new(NULL);
	reader->head.target = g_string_new(NULL);
	reader->head.fields =
	    g_array_new(FALSE, FALSE, sizeof(struct hmsg_field));
}

void
hmsg_reader_clear(struct hmsg_reader *reader)
{
	if (reader->head.text == NULL)
		return;
	g_string_free(reader->head.text, TRUE);
	g_string_free(reader->head.target, TRUE);
	g_array_free(reader->head.fields, TRUE);
	reader->head.text = NULL;
}

static void
text_reset(GString **text)
{
	if ((*text)->allocated_len > KEPT_TEXT) {
		g_string_free(*text, TRUE);
		*text = g_string_new(NULL);
	}
	g_string_truncate(*text, 0);
}

void
hmsg_reader_next(struct hmsg_reader *reader)
{
	/* The library ends the process if a failed parser is resumed. */
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED)
		http_parser_pause(&reader->parser, 0);
	text_reset(&reader->head.text);
	text_reset(&reader->head.target);
	if (reader->head.fields->len > KEPT_FIELDS) {
		g_array_free(reader->head.fields, TRUE);
		reader->head.fields =
		    g_array_new(FALSE, FALSE, sizeof(struct hmsg_field));
	}
	g_array_set_size(reader->head.fields, 0);
	reader->head.status = 0;
	reader->head_bytes = 0;
	reader->in_message = false;
	reader->has_head = false;
	reader->ended = false;
	reader->value_open = false;
}

bool
hmsg_reader_execute(
    struct hmsg_reader *reader, const char *data, size_t len, size_t *used)
{
	enum http_errno error;

	*used =
	    http_parser_execute(&reader->parser, &parser_settings, data, len);
	if (reader->stopped)
		return (true);
	error = HTTP_PARSER_ERRNO(&reader->parser);
	if (error == HPE_PAUSED && reader->ended) {
		http_parser_pause(&reader->parser, 0);
		return (reader->on_end(reader) == HMSG_STOP ||
		    HTTP_PARSER_ERRNO(&reader->parser) == HPE_OK);
	}
	return (error == HPE_OK && reader->parser.upgrade == 0);
}

bool
hmsg_reader_finish(struct hmsg_reader *reader)
{
	if (!reader->has_head || reader->ended)
		return (false);
	(void)http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	if (!reader->ended)
		return (false);
	(void)reader->on_end(reader);
	return (true);
}

const char *
hmsg_name(const struct hmsg_head *head, guint i)
{
	return (head->text->str +
	    g_array_index(head->fields, struct hmsg_field, i).name);
}

const char *
hmsg_value(const struct hmsg_head *head, guint i)
{
	guint value = g_array_index(head->fields, struct hmsg_field, i).value;

	return (value == 0 ? "" : head->text->str + value);
}

const char *
hmsg_find_next(const struct hmsg_head *head, const char *name, guint *index)
{
	while (*index < head->fields->len) {
		guint i = (*index)++;

		if (g_ascii_strcasecmp(hmsg_name(head, i), name) == 0)
			return (hmsg_value(head, i));
	}
	return (NULL);
}

const char *
hmsg_find(const struct hmsg_head *head, const char *name)
{
	guint index = 0;

	return (hmsg_find_next(head, name, &index));
}

static bool
is_listed(const char *const *list, const char *name)
{
	for (; list != NULL && *list != NULL; list++) {
		if (g_ascii_strcasecmp(*list, name) == 0)
			return (true);
	}
	return (false);
}

/*
 * The fields that Connection names as ones of the connection, in lower case;
 * nil: none.  A head may name thousands and have as many fields, so they are
 * split once.
 */
static GHashTable *
connection_named(const struct hmsg_head *head)
{
	GHashTable *named = NULL;
	guint index = 0;
	const char *value;

	while ((value = hmsg_find_next(head, "Connection", &index)) != NULL) {
		g_auto(GStrv) parts = g_strsplit(value, ",", -1);

		if (named == NULL)
			named = g_hash_table_new_full(
			    g_str_hash, g_str_equal, g_free, NULL);
		for (char **part = parts; *part != NULL; part++)
			(void)g_hash_table_add(
			    named, g_ascii_strdown(g_strstrip(*part), -1));
	}
	return (named);
}

static bool
is_named(GHashTable *named, const char *name)
{
	g_autofree char *lower = NULL;

	if (named == NULL)
		return (false);
	lower = g_ascii_strdown(name, -1);
	return (g_hash_table_contains(named, lower));
}

void
hmsg_copy(GString *out, const struct hmsg_head *head, const char *const *skip)
{
	g_autoptr(GHashTable) named = connection_named(head);

	for (guint i = 0; i < head->fields->len; i++) {
		const char *name = hmsg_name(head, i);

		if (is_listed(connection_fields, name) ||
		    is_listed(skip, name) || is_named(named, name))
			continue;
		(void)g_string_append(out, name);
		(void)g_string_append(out, ": ");
		(void)g_string_append(out, hmsg_value(head, i));
		(void)g_string_append(out, "\r\n");
	}
}

const char *
hmsg_reason(int status)
{
	switch (status) {
#define HMSG_REASON(number, name, string) \
	case number: \
		return (#string);
		HTTP_STATUS_MAP(HMSG_REASON)
#undef HMSG_REASON
	default:
		return ("Unknown");
	}
}
