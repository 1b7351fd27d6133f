#include <stdbool.h>
#include <string.h>

#include "cli/cli.h"

/* The text of one cell, to be freed by g_free(). */
static char *
cell_text(const json_t *value)
{
	char *dump, *text;

	if (value == NULL || json_is_null(value))
		return (g_strdup("-"));
	if (json_is_boolean(value))
		return (g_strdup(json_is_true(value) ? "yes" : "no"));
	if (json_is_string(value)) {
		text = g_strdup(json_string_value(value));
	} else {
		dump = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		text = g_strdup(dump != NULL ? dump : "?");
		free(dump);
	}
	for (char *p = text; *p != '\0'; p++) {
		if (g_ascii_iscntrl(*p))
			*p = '?';
	}
	if (text[0] == '\0') {
		g_free(text);
		return (g_strdup("-"));
	}
	return (text);
}

static void
print_padded(FILE *out, const char *text, size_t width, bool last)
{
	size_t len = (size_t)g_utf8_strlen(text, -1);

	(void)fputs(text, out);
	if (last) {
		(void)fputc('\n', out);
		return;
	}
	for (; len < width + 2; len++)
		(void)fputc(' ', out);
}

static bool
is_table(const json_t *value)
{
	if (!json_is_array(value) || json_array_size(value) == 0)
		return (false);
	for (size_t i = 0; i < json_array_size(value); i++) {
		if (!json_is_object(json_array_get(value, i)))
			return (false);
	}
	return (true);
}

static void
add_columns(GPtrArray *columns, const json_t *row)
{
	const char *key;
	json_t *item;

	json_object_foreach((json_t *)row, key, item)
	{
		if (!g_ptr_array_find_with_equal_func(
			columns, key, g_str_equal, NULL))
			g_ptr_array_add(columns, (gpointer)key);
	}
}

static size_t
column_width(const json_t *rows, const char *key)
{
	size_t width = (size_t)g_utf8_strlen(key, -1), len;

	for (size_t i = 0; i < json_array_size(rows); i++) {
		g_autofree char *text =
		    cell_text(json_object_get(json_array_get(rows, i), key));

		len = (size_t)g_utf8_strlen(text, -1);
		width = MAX(width, len);
	}
	return (width);
}

static void
print_table(FILE *out, const json_t *rows)
{
	g_autoptr(GPtrArray) columns = g_ptr_array_new();
	g_autoptr(GArray) widths = g_array_new(FALSE, FALSE, sizeof(size_t));

	for (size_t i = 0; i < json_array_size(rows); i++)
		add_columns(columns, json_array_get(rows, i));
	for (guint j = 0; j < columns->len; j++) {
		g_autofree char *name = g_ascii_strup(columns->pdata[j], -1);

		size_t width = column_width(rows, columns->pdata[j]);

		g_array_append_val(widths, width);
		print_padded(out, name, width, j + 1 == columns->len);
	}
	for (size_t i = 0; i < json_array_size(rows); i++) {
		for (guint j = 0; j < columns->len; j++) {
			g_autofree char *text = cell_text(json_object_get(
			    json_array_get(rows, i), columns->pdata[j]));

			print_padded(out, text,
			    g_array_index(widths, size_t, j),
			    j + 1 == columns->len);
		}
	}
}

/* Add {key: text} for each scalar below value, with dotted keys. */
static void
flatten(const json_t *value, const char *prefix, json_t *pairs)
{
	const char *key;
	json_t *item;

	json_object_foreach((json_t *)value, key, item)
	{
		g_autofree char *path = g_strconcat(
		    prefix, prefix[0] != '\0' ? "." : "", key, NULL);

		if (json_is_object(item) && json_object_size(item) > 0)
			flatten(item, path, pairs);
		else if (!is_table(item))
			(void)json_object_set(pairs, path, item);
	}
}

static void
print_pairs(FILE *out, const json_t *value)
{
	json_t *pairs = json_object();
	size_t width = 0, len;
	const char *key;
	json_t *item;

	flatten(value, "", pairs);
	json_object_foreach(pairs, key, item)
	{
		len = (size_t)g_utf8_strlen(key, -1);
		width = MAX(width, len);
	}
	json_object_foreach(pairs, key, item)
	{
		g_autofree char *text = cell_text(item);

		print_padded(out, key, width, false);
		print_padded(out, text, 0, true);
	}
	json_decref(pairs);
}

void
cli_value_print(FILE *out, const json_t *value)
{
	const char *key;
	json_t *item;

	if (is_table(value)) {
		print_table(out, value);
		return;
	}
	if (json_is_array(value)) {
		for (size_t i = 0; i < json_array_size(value); i++) {
			g_autofree char *text =
			    cell_text(json_array_get(value, i));

			print_padded(out, text, 0, true);
		}
		return;
	}
	if (!json_is_object(value)) {
		g_autofree char *text = cell_text(value);

		print_padded(out, text, 0, true);
		return;
	}
	print_pairs(out, value);
	json_object_foreach((json_t *)value, key, item)
	{
		if (!is_table(item))
			continue;
		/* A reply that is only a list needs no heading. */
		if (json_object_size(value) > 1)
			(void)fprintf(out, "\n%s:\n", key);
		print_table(out, item);
	}
}
