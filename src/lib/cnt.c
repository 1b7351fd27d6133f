#include "lib/cnt.h"

#include <glib.h>
#include <string.h>

#define BUCKETS 17 /* 1 ms, 2 ms, ... 65,536 ms */

enum kind { COUNTER, GAUGE, HISTOGRAM };

struct cnt_metric {
	char *name;
	char *labels; /* label="value" or an empty string */
	enum kind kind;
	int64_t value;
	int64_t sum_ms;
	int64_t buckets[BUCKETS];
};

struct cnt {
	GHashTable *metrics; /* name{labels} -> metric */
	GHashTable *help; /* name -> help text */
};

static void
metric_free(void *data)
{
	struct cnt_metric *metric = data;

	g_free(metric->name);
	g_free(metric->labels);
	g_free(metric);
}

struct cnt *
cnt_open(void)
{
	struct cnt *cnt = g_new0(struct cnt, 1);

	cnt->metrics =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, metric_free);
	cnt->help =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return (cnt);
}

void
cnt_close(struct cnt *cnt)
{
	if (cnt == NULL)
		return;
	g_hash_table_destroy(cnt->metrics);
	g_hash_table_destroy(cnt->help);
	g_free(cnt);
}

static struct cnt_metric *
metric_find(struct cnt *cnt, enum kind kind, const char *name, const char *help,
    const char *label, const char *value)
{
	struct cnt_metric *metric;
	g_autofree char *escaped =
	    g_strescape(value != NULL ? value : "", NULL);
	g_autofree char *labels = label == NULL
	    ? g_strdup("")
	    : g_strdup_printf("%s=\"%s\"", label, escaped);
	char *key = g_strdup_printf("%s{%s}", name, labels);

	metric = g_hash_table_lookup(cnt->metrics, key);
	if (metric != NULL) {
		g_free(key);
		return (metric);
	}
	metric = g_new0(struct cnt_metric, 1);
	metric->name = g_strdup(name);
	metric->labels = g_strdup(labels);
	metric->kind = kind;
	g_hash_table_insert(cnt->metrics, key, metric);
	if (!g_hash_table_contains(cnt->help, name))
		g_hash_table_insert(cnt->help, g_strdup(name), g_strdup(help));
	return (metric);
}

struct cnt_metric *
cnt_counter(struct cnt *cnt, const char *name, const char *help,
    const char *label, const char *value)
{
	return (metric_find(cnt, COUNTER, name, help, label, value));
}

struct cnt_metric *
cnt_gauge(struct cnt *cnt, const char *name, const char *help,
    const char *label, const char *value)
{
	return (metric_find(cnt, GAUGE, name, help, label, value));
}

struct cnt_metric *
cnt_histogram(struct cnt *cnt, const char *name, const char *help,
    const char *label, const char *value)
{
	return (metric_find(cnt, HISTOGRAM, name, help, label, value));
}

void
cnt_add(struct cnt_metric *metric, int64_t n)
{
	metric->value += n;
}

void
cnt_set(struct cnt_metric *metric, int64_t n)
{
	metric->value = n;
}

void
cnt_observe(struct cnt_metric *metric, clk_ms duration)
{
	int bucket = 0;

	while (bucket < BUCKETS && duration > ((clk_ms)1 << bucket))
		bucket++;
	if (bucket < BUCKETS)
		metric->buckets[bucket]++;
	metric->value++;
	metric->sum_ms += duration;
}

int64_t
cnt_value(const struct cnt_metric *metric)
{
	return (metric->value);
}

static void
append_histogram(GString *text, const struct cnt_metric *metric)
{
	const char *comma = metric->labels[0] != '\0' ? "," : "";
	int64_t total = 0;

	for (int i = 0; i < BUCKETS; i++) {
		total += metric->buckets[i];
		g_string_append_printf(text,
		    "samphireshed_%s_bucket{%s%sle=\"%.3f\"} %" G_GINT64_FORMAT
		    "\n",
		    metric->name, metric->labels, comma,
		    (double)((clk_ms)1 << i) / 1000.0, total);
	}
	g_string_append_printf(text,
	    "samphireshed_%s_bucket{%s%sle=\"+Inf\"} %" G_GINT64_FORMAT "\n",
	    metric->name, metric->labels, comma, metric->value);
	g_string_append_printf(text, "samphireshed_%s_sum{%s} %.3f\n",
	    metric->name, metric->labels, (double)metric->sum_ms / 1000.0);
	g_string_append_printf(text,
	    "samphireshed_%s_count{%s} %" G_GINT64_FORMAT "\n", metric->name,
	    metric->labels, metric->value);
}

char *
cnt_text(const struct cnt *cnt)
{
	static const char *const kind_names[] = {
	    "counter", "gauge", "histogram"};
	GString *text = g_string_new(NULL);
	GList *keys = g_list_sort(
	    g_hash_table_get_keys(cnt->metrics), (GCompareFunc)strcmp);
	const char *last = "";

	for (GList *l = keys; l != NULL; l = l->next) {
		const struct cnt_metric *metric =
		    g_hash_table_lookup(cnt->metrics, l->data);

		if (strcmp(last, metric->name) != 0) {
			g_string_append_printf(text,
			    "# HELP samphireshed_%s %s\n"
			    "# TYPE samphireshed_%s %s\n",
			    metric->name,
			    (const char *)g_hash_table_lookup(
				cnt->help, metric->name),
			    metric->name, kind_names[metric->kind]);
			last = metric->name;
		}
		if (metric->kind == HISTOGRAM) {
			append_histogram(text, metric);
			continue;
		}
		if (metric->labels[0] == '\0')
			g_string_append_printf(
			    text, "samphireshed_%s", metric->name);
		else
			g_string_append_printf(text, "samphireshed_%s{%s}",
			    metric->name, metric->labels);
		g_string_append_printf(
		    text, " %" G_GINT64_FORMAT "\n", metric->value);
	}
	g_list_free(keys);
	return (g_string_free(text, FALSE));
}
