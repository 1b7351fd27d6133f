/*
 * The YAML reader and the check against rules: what is refused, and that each
 * error names file, line and key.
 */
#include "lib/yml.h"

#include <string.h>

static const struct yml_rule rules[] = {
    {.path = "name", .type = YML_NAME, .required = true},
    {.path = "count", .type = YML_INTEGER, .min = 1, .max = 5, .value = "2"},
    {.path = "share", .type = YML_NUMBER, .min = 500, .max = 2000},
    {.path = "wait", .type = YML_DURATION, .min = 10, .max = 600000},
    {.path = "on", .type = YML_BOOLEAN},
    {.path = "kind", .type = YML_ENUM, .words = "model|service"},
    {.path = "listen", .type = YML_ADDRESS},
    {.path = "url", .type = YML_URL},
    {.path = "group", .type = YML_GROUP},
    {.path = "group.depth", .type = YML_INTEGER, .max = 9, .value = "7"},
    {.path = "tls", .type = YML_GROUP},
    {.path = "tls.key", .type = YML_STRING, .required = true},
    {.path = "items", .type = YML_LIST, .max = 3},
    {.path = "items[]", .type = YML_GROUP},
    {.path = "items[].id", .type = YML_NAME, .required = true},
    {.path = "items[].size", .type = YML_INTEGER, .max = 9, .value = "4"},
};

static GPtrArray *
errors_new(void)
{
	return (g_ptr_array_new_with_free_func(g_free));
}

static struct yml_node *
parse(const char *text, GPtrArray *errors)
{
	return (yml_parse("f.yaml", text, strlen(text), NULL, errors));
}

/* Parse and check text; return the errors, one per line. */
static char *
check_text(const char *text)
{
	g_autoptr(GPtrArray) errors = errors_new();
	struct yml_node *root = parse(text, errors);

	if (root != NULL) {
		bool ok = yml_check(
		    "f.yaml", root, rules, G_N_ELEMENTS(rules), errors);

		g_assert_cmpint(ok, ==, errors->len == 0);
		yml_free(root);
	}
	g_ptr_array_add(errors, NULL);
	return (g_strjoinv("\n", (char **)errors->pdata));
}

static void
assert_error(const char *text, const char *expected)
{
	g_autofree char *errors = check_text(text);

	if (strstr(errors, expected) == NULL)
		g_error("expected \"%s\" in \"%s\"", expected, errors);
}

static void
test_tree(void)
{
	g_autoptr(GPtrArray) errors = errors_new();
	struct yml_node *root = parse("a: 1\nb:\n  - x\n  - c: 'y'\n", errors);
	const struct yml_node *item;

	g_assert_nonnull(root);
	g_assert_cmpstr(yml_string(root, "a"), ==, "1");
	g_assert_cmpuint(yml_length(root, "b"), ==, 2);
	item = yml_item(root, "b", 1);
	g_assert_cmpuint(item->line, ==, 4);
	g_assert_cmpstr(yml_string(item, "c"), ==, "y");
	g_assert_null(yml_get(root, "b.c"));
	g_assert_null(yml_get(root, "z"));
	yml_free(root);
}

/* Guards against input that the reader accepts only in part. */
static void
test_refused_documents(void)
{
	assert_error("a: 1\nb: 2\na: 3\n", "f.yaml:3: a: the key stands twice");
	assert_error("a: *x\n", "f.yaml:1: alias \"*x\" names no anchor");
	assert_error("a: &x [*x]\n", "alias \"*x\" names no anchor");
	assert_error("a: !!int 1\n", "f.yaml:1: tags such as");
	assert_error("a: 1\n---\nb: 1\n", "f.yaml:2: a second document");
	assert_error("", "f.yaml:1: the file is empty");
	assert_error("a: [1\nb: 2\n", "f.yaml:2: ");
	assert_error("a: \"\\0\"\n", "f.yaml:1: a value holds a zero byte");
	assert_error("[a]: 1\n", "f.yaml:1: a key must be a plain text");
	assert_error("- a\n", "f.yaml:1: the file must hold a mapping");
}

/* Guards against a file that takes memory or stack without bound. */
static void
test_limits(void)
{
	g_autoptr(GString) deep = g_string_new("a: ");
	g_autoptr(GString) wide = g_string_new("a0: &a0 [x, x]\n");
	g_autofree char *large = g_strnfill((1 << 20) + 1, ' ');

	for (int i = 0; i < 20; i++)
		g_string_append_c(deep, '[');
	for (int i = 0; i < 20; i++)
		g_string_append_c(deep, ']');
	assert_error(deep->str, "nested deeper than the limit of 16");
	/* Each line holds 8 times the nodes of the line before. */
	for (int i = 1; i < 10; i++) {
		g_string_append_printf(wide, "a%d: &a%d [", i, i);
		for (int j = 0; j < 8; j++)
			g_string_append_printf(wide, "*a%d, ", i - 1);
		g_string_append(wide, "]\n");
	}
	assert_error(wide->str, "more values than the limit of 100000");
	assert_error(large, "1048577 bytes; the limit is 1048576");
}

static void
test_alias_is_copied(void)
{
	g_autoptr(GPtrArray) errors = errors_new();
	struct yml_node *root = parse("a: &x\n  b: [1, 2]\nc: *x\n", errors);

	g_assert_nonnull(root);
	g_assert_cmpuint(yml_length(root, "c.b"), ==, 2);
	g_assert_cmpuint(yml_get(root, "c")->line, ==, 3);
	yml_free(root);
}

static void
test_accepted(void)
{
	g_autoptr(GPtrArray) errors = errors_new();
	struct yml_node *root = parse("name: a-1\nshare: 1.5\nwait: 10min\n"
				      "on: true\nkind: service\n"
				      "listen: '[::1]:80'\n"
				      "url: http://127.0.0.1:1/x\n"
				      "items:\n- id: b\n- {id: c, size: 1}\n",
	    errors);

	g_assert_nonnull(root);
	g_assert_true(
	    yml_check("f.yaml", root, rules, G_N_ELEMENTS(rules), errors));
	g_assert_cmpint(yml_integer(root, "count"), ==, 2);
	g_assert_cmpfloat(yml_number(root, "share"), ==, 1.5);
	g_assert_cmpint(yml_integer(root, "wait"), ==, 600000);
	g_assert_cmpint(yml_integer(root, "on"), ==, 1);
	g_assert_cmpint(yml_integer(root, "kind"), ==, 1);
	g_assert_cmpint(yml_integer(root, "group.depth"), ==, 7);
	g_assert_null(yml_get(root, "tls"));
	g_assert_cmpint(yml_integer(yml_item(root, "items", 0), "size"), ==, 4);
	g_assert_cmpint(yml_integer(yml_item(root, "items", 1), "size"), ==, 1);
	yml_free(root);
}

/* Guards against an error that people can't act on. */
static void
test_errors_say_what_is_accepted(void)
{
	assert_error("count: 6\nname: a\n",
	    "f.yaml:1: count: \"6\" is not accepted; accepted is an integer "
	    "from 1 to 5");
	assert_error("name: a\nshare: 3\n", "a number from 0.5 to 2");
	assert_error("name: a\nshare: nan\n", "a number from 0.5 to 2");
	assert_error("name: a\nwait: 1ms\n", "a duration from 10ms to 10min");
	assert_error("name: a\nwait: 3 s\n", "a duration from 10ms to 10min");
	assert_error("name: a\non: 'true'\n", "true or false");
	assert_error("name: a\nkind: tool\n", "one of model, service");
	assert_error("name: a\nlisten: host:80\n", "an IP number and port");
	assert_error("name: a\nlisten: 1.2.3.4:0\n", "an IP number and port");
	assert_error("name: a\nurl: ftp://x\n", "a URL that begins with");
	assert_error("name: A\n", "lower-case letters");
	assert_error("name: [a]\n", "f.yaml:1: name: a list is not accepted");
	assert_error("name: a\nitems: 3\n", "f.yaml:2: items: \"3\"");
	assert_error("name: a\nitems:\n- id: x\n- size: 1\n",
	    "f.yaml:4: items[].id: required and missing");
	assert_error("name: a\ntls:\n  ke: x\n",
	    "f.yaml:3: tls.ke: unknown key; the nearest known key is \"key\"");
	assert_error("nmae: a\n", "the nearest known key is \"name\"");
	assert_error("name: a\nzzzzzz: a\n", "the keys here are name, count");
	assert_error("count: 1\nname:\n", "f.yaml:2: name: required");
	assert_error("count: 1\n", "f.yaml:1: name: required");
}

/* Guards against a reader that stops at the first error. */
static void
test_all_errors_are_reported(void)
{
	g_autofree char *errors =
	    check_text("count: 9\nwait: x\nitems:\n- size: 99\n  id: Z\n");
	g_auto(GStrv) lines = g_strsplit(errors, "\n", -1);

	g_assert_cmpuint(g_strv_length(lines), ==, 5);
	assert_error("a: 1\na: 2\na: 3\n", "f.yaml:3: a: the key");
}

static void
test_json(void)
{
	g_autoptr(GPtrArray) errors = errors_new();
	struct yml_node *root =
	    parse("a: [1, -2, 1.5, 1e3, true, ~, x, '1', 0x1f, inf, 1e999, "
		  "99999999999999999999]\nb: {}\n",
		errors);
	json_t *json = yml_json(root);
	char *text = json_dumps(json, JSON_COMPACT);

	g_assert_cmpstr(text, ==,
	    "{\"a\":[1,-2,1.5,1000.0,true,null,\"x\",\"1\",\"0x1f\",\"inf\","
	    "\"1e999\",\"99999999999999999999\"],\"b\":{}}");
	free(text);
	json_decref(json);
	yml_free(root);
}

static void
test_durations(void)
{
	clk_ms ms = 0;

	g_assert_true(yml_duration_parse("250", &ms) && ms == 250);
	g_assert_true(yml_duration_parse("250ms", &ms) && ms == 250);
	g_assert_true(yml_duration_parse("3s", &ms) && ms == 3000);
	g_assert_true(yml_duration_parse("24h", &ms) && ms == 86400000);
	g_assert_false(yml_duration_parse("", &ms));
	g_assert_false(yml_duration_parse("ms", &ms));
	g_assert_false(yml_duration_parse("-1", &ms));
	g_assert_false(yml_duration_parse("1d", &ms));
	g_assert_false(yml_duration_parse("9223372036854775807h", &ms));
	g_assert_false(yml_duration_parse("92233720368547758070", &ms));
}

/* Random bytes and cut documents; guards against a crash or leak on them. */
static void
test_random_bytes(void)
{
	static const char sample[] =
	    "a: &x [1, {b: 'c', \"d\": *x}]\n? - e\n: |\n  f\n--- !t\n%Y";
	guint32 seed = (guint32)g_test_rand_int();
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	char text[sizeof(sample)];

	g_test_message("seed %u", seed);
	for (int i = 0; i < 20000; i++) {
		g_autoptr(GPtrArray) errors = errors_new();
		size_t len = (size_t)g_rand_int_range(rand, 0, sizeof(sample));
		struct yml_node *root;

		memcpy(text, sample, sizeof(sample));
		for (int j = g_rand_int_range(rand, 0, 5); j > 0; j--)
			text[g_rand_int_range(rand, 0, sizeof(sample))] =
			    (char)g_rand_int_range(rand, 0, 256);
		root = yml_parse("f.yaml", text, len, NULL, errors);
		g_assert_cmpint(root == NULL, ==, errors->len > 0);
		if (root != NULL)
			(void)yml_check(
			    "f.yaml", root, rules, G_N_ELEMENTS(rules), errors);
		yml_free(root);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/yml/tree", test_tree);
	g_test_add_func("/yml/refused-documents", test_refused_documents);
	g_test_add_func("/yml/limits", test_limits);
	g_test_add_func("/yml/alias-is-copied", test_alias_is_copied);
	g_test_add_func("/yml/accepted", test_accepted);
	g_test_add_func("/yml/errors-say-what-is-accepted",
	    test_errors_say_what_is_accepted);
	g_test_add_func(
	    "/yml/all-errors-are-reported", test_all_errors_are_reported);
	g_test_add_func("/yml/json", test_json);
	g_test_add_func("/yml/durations", test_durations);
	g_test_add_func("/yml/random-bytes", test_random_bytes);
	return (g_test_run());
}
