#include "reach/reach.h"

#include <glib.h>
#include <string.h>

/* A source that sent nothing for this time isn't expected to. */
#define FORGET_MS (30 * CLK_SECOND)
/* Time between two ticks above which this process stood still. */
#define PAUSE_MS 300
/*
 * Age of the store's last answer that is long: it answers calls that wait for
 * news after 500 ms.
 */
#define STORE_LONG_MS 900

struct source {
	const char *datacentre; /* interned */
	clk_ms heard;
	clk_ms patience;
	unsigned members;
	unsigned served;
};

struct reach {
	GHashTable *sources; /* name -> struct source */
	const char *datacentre; /* interned */
	clk_ms ticked;
	clk_ms awake_since; /* end of the last pause of this process */
};

struct reach *
reach_open(const char *datacentre)
{
	struct reach *reach = g_new0(struct reach, 1);

	reach->sources =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reach->datacentre = g_intern_string(datacentre);
	return (reach);
}

void
reach_close(struct reach *reach)
{
	if (reach == NULL)
		return;
	g_hash_table_destroy(reach->sources);
	g_free(reach);
}

void
reach_heard(struct reach *reach, const struct reach_news *news, clk_ms when)
{
	struct source *source =
	    g_hash_table_lookup(reach->sources, news->source);

	if (source == NULL) {
		source = g_new0(struct source, 1);
		(void)g_hash_table_insert(
		    reach->sources, g_strdup(news->source), source);
	} else if (when < source->heard) {
		return;
	}
	/* A fleet has few data centres, so that few names are kept. */
	*source = (struct source){g_intern_string(news->datacentre), when,
	    news->patience, news->members, news->served};
}

void
reach_tick(struct reach *reach, bool is_told, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	if (!is_told || now - reach->ticked > PAUSE_MS)
		reach->awake_since = now;
	reach->ticked = now;
	g_hash_table_iter_init(&iter, reach->sources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((const struct source *)value)->heard >= FORGET_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Whether the source was silent for long while this process could hear it. */
static bool
is_silent(const struct reach *reach, const struct source *source, clk_ms now)
{
	return (
	    now - MAX(source->heard, reach->awake_since) >= source->patience);
}

bool
reach_is_cut(const struct reach *reach, const char *datacentre, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	bool has_sources = false;

	if (strcmp(datacentre, reach->datacentre) == 0)
		return (false);
	g_hash_table_iter_init(&iter, reach->sources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct source *source = value;

		if (strcmp(source->datacentre, datacentre) != 0)
			continue;
		if (!is_silent(reach, source, now))
			return (false);
		has_sources = true;
	}
	return (has_sources);
}

bool
reach_is_worse_off(const struct reach *reach, clk_ms store_age, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	unsigned live = 0, served = 0, abroad = 0, abroad_silent = 0;

	if (store_age < STORE_LONG_MS)
		return (false);
	g_hash_table_iter_init(&iter, reach->sources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct source *source = value;

		if (strcmp(source->datacentre, reach->datacentre) != 0) {
			abroad++;
			abroad_silent += is_silent(reach, source, now);
		}
		if (now - source->heard >= source->patience)
			continue;
		live += source->members;
		served += source->served;
	}
	return ((live > 0 && 2 * served > live) ||
	    (abroad > 0 && abroad_silent == abroad));
}
