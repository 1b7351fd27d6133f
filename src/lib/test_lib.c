/*
 * Clock, verdict, log quoting, counters and trace spans.
 */
#include <glib.h>
#include <string.h>

#include "lib/cnt.h"
#include "lib/lg.h"
#include "lib/trc.h"
#include "lib/vd.h"

/* Guards against an error code whose spelling does not read back. */
static void
test_verdict_names(void)
{
	for (int code = VD_OK; code <= VD_INTERNAL; code++) {
		const char *name = vd_code_name((enum vd_code)code);

		g_assert_nonnull(name);
		g_assert_cmpint(vd_code_parse(name), ==, code);
	}
	g_assert_cmpint(vd_code_parse("no_such_code"), ==, VD_INTERNAL);
}

static void
test_verdict_body(void)
{
	struct vd vd = vd_make(VD_NOT_RUN, VD_RATE_EXCEEDED, "slow \"down\"");
	g_autofree char *body = vd_body(&vd, "r-1");

	g_assert_cmpint(vd.status, ==, 429);
	g_assert_cmpstr(body, ==,
	    "{\"error\":{\"code\":\"rate_exceeded\",\"message\":\"slow "
	    "\\\"down\\\"\",\"ran\":\"no\",\"request_id\":\"r-1\"}}");
}

/* Guards against an empty body, which doesn't say whether the request ran. */
static void
test_verdict_id(void)
{
	const char *const ids[] = {"\xe9t\xe9", "\xff", NULL, "", "a b"};
	struct vd vd = vd_make(VD_NOT_RUN, VD_RATE_EXCEEDED, "slow");

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		g_autofree char *body = vd_body(&vd, ids[i]);

		g_assert_nonnull(strstr(body, "\"ran\":\"no\""));
	}
}

/* Guards against log lines that a value from outside can split or forge. */
static void
test_log_quote(void)
{
	char buf[64];

	g_assert_cmpstr(lg_quote(buf, sizeof(buf), "plain"), ==, "plain");
	g_assert_cmpstr(lg_quote(buf, sizeof(buf), "a b"), ==, "\"a b\"");
	g_assert_cmpstr(
	    lg_quote(buf, sizeof(buf), "x\nevent=y"), ==, "\"x\\x0aevent=y\"");
	g_assert_cmpstr(lg_quote(buf, sizeof(buf), ""), ==, "\"\"");
	g_assert_cmpuint(
	    strlen(lg_quote(buf, 10, "aaaa bbbb cccc dddd")), <, 10);
}

static void
test_counter_text(void)
{
	struct cnt *cnt = cnt_open();
	struct cnt_metric *calls =
	    cnt_counter(cnt, "calls_total", "Calls.", "result", "ok");
	struct cnt_metric *latency =
	    cnt_histogram(cnt, "latency_seconds", "Latency.", NULL, NULL);
	g_autofree char *text = NULL;

	cnt_add(calls, 2);
	g_assert_true(
	    calls == cnt_counter(cnt, "calls_total", "Calls.", "result", "ok"));
	cnt_observe(latency, 3);
	cnt_observe(latency, 100000);
	text = cnt_text(cnt);
	g_assert_nonnull(strstr(text,
	    "# TYPE samphireshed_calls_total counter\n"
	    "samphireshed_calls_total{result=\"ok\"} 2\n"));
	g_assert_nonnull(strstr(
	    text, "samphireshed_latency_seconds_bucket{le=\"0.004\"} 1\n"));
	g_assert_nonnull(strstr(
	    text, "samphireshed_latency_seconds_bucket{le=\"+Inf\"} 2\n"));
	g_assert_nonnull(
	    strstr(text, "samphireshed_latency_seconds_sum{} 100.003\n"));
	cnt_close(cnt);
}

static void
test_trace_context(void)
{
	static const char parent[] =
	    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	struct trc *trc = trc_open("samphireshed", "test", 8);
	struct trc_span *span = trc_start(trc, "entry", parent);
	struct trc_span *child = trc_child(span, "upstream");
	char header[TRC_PARENT_SIZE];
	json_t *found;

	g_assert_true(g_str_has_prefix(
	    trc_parent(child, header), "00-0af7651916cd43dd8448eb211c80319c-"));
	trc_set(child, "program", "p-1");
	trc_end(child, true);
	trc_end(span, false);
	found = trc_find(trc, "0af7651916cd43dd8448eb211c80319c");
	g_assert_cmpuint(json_array_size(found), ==, 2);
	json_decref(found);
	found = trc_find(trc, "p-1");
	g_assert_cmpuint(json_array_size(found), ==, 1);
	json_decref(found);
	trc_close(trc);
}

/* Guards against a caller's malformed header being passed on. */
static void
test_trace_bad_parent(void)
{
	static const char *const bad[] = {"", "00-xyz",
	    "00-00000000000000000000000000000000-b7ad6b7169203331-01",
	    "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01"};
	struct trc *trc = trc_open("samphireshed", "test", 8);
	char header[TRC_PARENT_SIZE];

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct trc_span *span = trc_start(trc, "entry", bad[i]);

		g_assert_cmpuint(strlen(trc_parent(span, header)), ==, 55);
		g_assert_null(strstr(header, "0000000000000000000000"));
		g_assert_null(strstr(header, "0AF765"));
		trc_end(span, true);
	}
	trc_close(trc);
}

/* Guards against spans that are exported twice or never. */
static void
test_trace_export(void)
{
	struct trc *trc = trc_open("samphireshed", "test", 4);
	json_t *body, *spans;

	for (int i = 0; i < 6; i++)
		trc_end(trc_start(trc, "entry", NULL), true);
	body = trc_take(trc, 3);
	g_assert_cmpint(json_unpack(body, "{s:[{s:[{s:o}]}]}", "resourceSpans",
			    "scopeSpans", "spans", &spans),
	    ==, 0);
	g_assert_cmpuint(json_array_size(spans), ==, 3);
	json_decref(body);
	body = trc_take(trc, 3);
	g_assert_cmpint(json_unpack(body, "{s:[{s:[{s:o}]}]}", "resourceSpans",
			    "scopeSpans", "spans", &spans),
	    ==, 0);
	g_assert_cmpuint(json_array_size(spans), ==, 1);
	json_decref(body);
	g_assert_null(trc_take(trc, 3));
	trc_close(trc);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/vd/names", test_verdict_names);
	g_test_add_func("/vd/body", test_verdict_body);
	g_test_add_func("/vd/id", test_verdict_id);
	g_test_add_func("/lg/quote", test_log_quote);
	g_test_add_func("/cnt/text", test_counter_text);
	g_test_add_func("/trc/context", test_trace_context);
	g_test_add_func("/trc/bad-parent", test_trace_bad_parent);
	g_test_add_func("/trc/export", test_trace_export);
	return (g_test_run());
}
