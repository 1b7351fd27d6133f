/* The schema of the configuration objects: accepted and rejected values. */
#include "config/schema.h"

#include <glib/gstdio.h>
#include <string.h>

#define DIGEST \
	"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

static void
assert_value(const char *object, const char *text, const char *expected)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);
	g_autofree char *error = NULL;
	bool ok = schema_check(object, value, &error);

	json_decref(value);
	if (expected == NULL && !ok)
		g_error("%s %s: %s", object, text, error);
	if (expected != NULL && (ok || strstr(error, expected) == NULL))
		g_error("%s %s: expected \"%s\" in \"%s\"", object, text,
		    expected, ok ? "" : error);
}

static void
test_accepted(void)
{
	assert_value("organisation/acme", "{\"rate\":2.5,\"burst\":10}", NULL);
	assert_value("organisation/acme",
	    "{\"rate\":2,\"burst\":10,\"weight\":1,\"home\":\"atl-a\","
	    "\"when_stale\":\"refuse\",\"budget_tokens\":5}",
	    NULL);
	assert_value("key/k1",
	    "{\"digest\":\"" DIGEST "\",\"organisation\":\"acme\"}", NULL);
	assert_value("upstream/m1",
	    "{\"kind\":\"model\",\"url\":\"http://127.0.0.1:1\","
	    "\"datacentre\":\"a\",\"models\":[\"m-1.5\"],\"capacity\":8}",
	    NULL);
	assert_value("upstream/s1",
	    "{\"kind\":\"service\",\"url\":\"http://127.0.0.1:1\","
	    "\"datacentre\":\"a\",\"service\":\"orders\",\"capacity\":8}",
	    NULL);
	assert_value("route/orders",
	    "{\"path\":\"/v1/services/orders\",\"service\":\"orders\","
	    "\"methods\":[\"GET\",\"POST\"]}",
	    NULL);
	assert_value("model/m",
	    "{\"context_tokens\":10,\"max_output_tokens\":10}", NULL);
	assert_value("program/p", "{}", NULL);
	assert_value("datacentre/a", "{\"number\":0}", NULL);
}

/* Guards against a record that some readers accept and others do not. */
static void
test_refused(void)
{
	assert_value("organisations/a", "{}", "is not an object name");
	assert_value("organisation/", "{}", "is not an object name");
	assert_value("organisation/a/b", "{}", "is not an object name");
	assert_value("organisation/-a", "{}", "is not an object name");
	assert_value("organisation/a", "[]", "accepted is a mapping");
	assert_value("organisation/a", "{\"burst\":1}",
	    "rate: required and missing; accepted is a number from 0.001");
	assert_value("organisation/a", "{\"rate\":0,\"burst\":1}", "rate: 0");
	assert_value(
	    "organisation/a", "{\"rate\":\"1\",\"burst\":1}", "rate: ");
	assert_value(
	    "organisation/a", "{\"rate\":1,\"burst\":1.5}", "burst: 1.5");
	assert_value("organisation/a", "{\"rate\":1,\"brust\":1}",
	    "brust: unknown key; the nearest known key is \"burst\"");
	assert_value("organisation/a",
	    "{\"rate\":1,\"burst\":1,\"when_stale\":\"x\"}",
	    "accepted is one of serve, refuse");
	assert_value("key/k", "{\"digest\":\"AB\",\"organisation\":\"a\"}",
	    "digest: \"AB\" is not accepted");
	assert_value("upstream/m",
	    "{\"kind\":\"model\",\"url\":\"http://127.0.0.1:1\","
	    "\"datacentre\":\"a\",\"capacity\":8}",
	    "models: accepted for kind model is a list");
	assert_value("upstream/s",
	    "{\"kind\":\"service\",\"url\":\"http://127.0.0.1:1\","
	    "\"datacentre\":\"a\",\"models\":[\"m\"],\"capacity\":8}",
	    "models: accepted for kind model only; service: required");
	assert_value("upstream/s",
	    "{\"kind\":\"service\",\"url\":\"http://u:p@127.0.0.1\","
	    "\"datacentre\":\"a\",\"service\":\"s\",\"capacity\":0}",
	    "capacity: 0 is not accepted");
	assert_value("model/m",
	    "{\"context_tokens\":10,\"max_output_tokens\":11}",
	    "up to context_tokens (10)");
	assert_value("program/p", "{\"max_turns\":0}", "max_turns: 0");
	assert_value("datacentre/a", "{\"number\":256}", "from 0 to 255");
}

/* Guards against a route that matches the paths of other services. */
static void
test_route_paths(void)
{
	static const char *const refused[] = {"/v1/services/", "/v1/services",
	    "/v1/chat/completions", "/v1/services//x", "/v1/services/../x",
	    "/v1/services/a/../b", "/v1/services/a?b"};

	for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
		g_autofree char *text = g_strdup_printf(
		    "{\"path\":\"%s\",\"service\":\"a\",\"methods\":[\"GET\"]}",
		    refused[i]);

		assert_value("route/a", text, "path: ");
	}
}

static void
test_complete(void)
{
	json_t *value = json_pack(
	    "{s:i,s:i,s:i}", "rate", 1, "burst", 2, "budget_tokens", 7);
	json_t *complete = schema_complete("organisation/a", value);
	char *text = json_dumps(complete, JSON_COMPACT | JSON_SORT_KEYS);

	g_assert_cmpstr(text, ==,
	    "{\"budget_tokens\":7,\"burst\":2,\"rate\":1,\"weight\":1,"
	    "\"when_stale\":\"serve\"}");
	free(text);
	json_decref(complete);
	json_decref(value);
}

static void
test_file(void)
{
	static const char good[] =
	    "- object: organisation/a\n  value: {rate: 1, burst: 2}\n"
	    "- object: datacentre/d\n  value: {number: 1}\n";
	static const char bad[] =
	    "- object: organisation/a\n  value:\n    rate: 1\n    burst: 0\n"
	    "- object: organisation/a\n  value: {rate: 1, burst: 2}\n"
	    "- object: oops/a\n  value: {}\n"
	    "- name: x\n";
	g_autofree char *directory = g_dir_make_tmp("schema-XXXXXX", NULL);
	g_autofree char *path = g_build_filename(directory, "o.yaml", NULL);
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	static const char *const expected[] = {
	    "o.yaml:4: organisation/a: burst: 0 is not accepted",
	    "o.yaml:5: organisation/a: duplicate object in this file",
	    "o.yaml:7: oops/a: \"oops/a\" is not an object name",
	    "o.yaml:9: accepted is {object:"};
	json_t *objects;

	g_assert_true(g_file_set_contents(path, good, -1, NULL));
	objects = schema_file_load(path, errors);
	g_assert_cmpuint(json_array_size(objects), ==, 2);
	json_decref(objects);
	g_assert_true(g_file_set_contents(path, bad, -1, NULL));
	g_assert_null(schema_file_load(path, errors));
	g_assert_cmpuint(errors->len, ==, G_N_ELEMENTS(expected));
	for (size_t i = 0; i < errors->len; i++) {
		if (strstr(errors->pdata[i], expected[i]) == NULL)
			g_error("expected \"%s\" in \"%s\"", expected[i],
			    (char *)errors->pdata[i]);
	}
	(void)g_unlink(path);
	(void)g_rmdir(directory);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/obj/accepted", test_accepted);
	g_test_add_func("/obj/refused", test_refused);
	g_test_add_func("/obj/route-paths", test_route_paths);
	g_test_add_func("/obj/complete", test_complete);
	g_test_add_func("/obj/file", test_file);
	return (g_test_run());
}
