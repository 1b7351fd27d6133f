#include "place/evacuation.h"

#include <string.h>

/* A state of the operator's topic. */
struct snapshot {
	GHashTable *names; /* set */
	uint64_t end; /* all records before this offset are in it */
};

struct evacuations {
	struct snapshot own; /* as read from the store */
	struct snapshot heard; /* the newest one of other instances */
	clk_ms heard_at;
	clk_ms confirmed; /* by the store; 0: never */
	clk_ms max_age;
};

static GHashTable *
names_new(void)
{
	return (g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL));
}

struct evacuations *
evacuations_open(clk_ms max_age)
{
	struct evacuations *evacuations = g_new0(struct evacuations, 1);

	evacuations->own.names = names_new();
	evacuations->heard.names = names_new();
	evacuations->max_age = max_age;
	return (evacuations);
}

void
evacuations_close(struct evacuations *evacuations)
{
	if (evacuations == NULL)
		return;
	g_hash_table_destroy(evacuations->own.names);
	g_hash_table_destroy(evacuations->heard.names);
	g_free(evacuations);
}

void
evacuations_max_age_set(struct evacuations *evacuations, clk_ms max_age)
{
	evacuations->max_age = max_age;
}

/* The newer of the two; the own one if they are of the same age. */
static const struct snapshot *
current(const struct evacuations *evacuations)
{
	return (evacuations->heard.end > evacuations->own.end
		? &evacuations->heard
		: &evacuations->own);
}

bool
evacuations_set(
    struct evacuations *evacuations, const char *datacentre, bool is_evacuated)
{
	GHashTable *names = evacuations->own.names;

	if (is_evacuated)
		return (g_hash_table_add(names, g_strdup(datacentre)));
	return (g_hash_table_remove(names, datacentre));
}

static gboolean
is_absent(void *key, void *value, void *arg)
{
	(void)value;
	return (!g_hash_table_contains(arg, key));
}

bool
evacuations_retain(struct evacuations *evacuations, GHashTable *datacentres)
{
	return (g_hash_table_foreach_remove(
		    evacuations->own.names, is_absent, datacentres) > 0);
}

void
evacuations_confirm(struct evacuations *evacuations, uint64_t end, clk_ms when)
{
	evacuations->own.end = end;
	evacuations->confirmed = MAX(evacuations->confirmed, when);
	/*
	 * The topic can't end before what another instance had read earlier,
	 * unless it was made anew: offsets of the one before don't count.
	 */
	if (end < evacuations->heard.end && when > evacuations->heard_at) {
		g_hash_table_remove_all(evacuations->heard.names);
		evacuations->heard.end = 0;
	}
}

void
evacuations_collect(const struct evacuations *evacuations,
    struct evacuation_news *news, char *names[EVACUATION_NAMES_MAX])
{
	const struct snapshot *snapshot = current(evacuations);
	GHashTableIter iter;
	void *key;

	*news = (struct evacuation_news){.end = snapshot->end, .names = names};
	g_hash_table_iter_init(&iter, snapshot->names);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (news->name_len == EVACUATION_NAMES_MAX) {
			news->is_partial = 1;
			break;
		}
		names[news->name_len++] = key;
	}
}

static bool
is_same_set(GHashTable *a, GHashTable *b)
{
	GHashTableIter iter;
	void *key;

	if (g_hash_table_size(a) != g_hash_table_size(b))
		return (false);
	g_hash_table_iter_init(&iter, a);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(b, key))
			return (false);
	}
	return (true);
}

static void
names_copy(GHashTable *to, GHashTable *from)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		(void)g_hash_table_add(to, g_strdup(key));
}

bool
evacuations_merge(struct evacuations *evacuations,
    const struct evacuation_news *news, clk_ms now)
{
	const struct snapshot *before = current(evacuations);
	GHashTable *names;
	bool is_changed;

	if (news->end <= before->end)
		return (false);
	names = names_new();
	for (unsigned i = 0; i < news->name_len; i++)
		(void)g_hash_table_add(names, g_strdup(news->names[i]));
	/* A message that has no room for all names ends no evacuation. */
	if (news->is_partial)
		names_copy(names, before->names);
	is_changed = !is_same_set(names, before->names);
	g_hash_table_destroy(evacuations->heard.names);
	evacuations->heard = (struct snapshot){names, news->end};
	evacuations->heard_at = now;
	return (is_changed);
}

bool
evacuations_has(const struct evacuations *evacuations, const char *datacentre)
{
	GHashTable *names = current(evacuations)->names;

	return (g_hash_table_size(names) > 0 &&
	    g_hash_table_contains(names, datacentre));
}

unsigned
evacuations_count(const struct evacuations *evacuations)
{
	return (g_hash_table_size(current(evacuations)->names));
}

uint64_t
evacuations_end(const struct evacuations *evacuations)
{
	return (current(evacuations)->end);
}

bool
evacuations_is_stale(const struct evacuations *evacuations, clk_ms now)
{
	return (evacuations->max_age > 0 &&
	    now - evacuations->confirmed >= evacuations->max_age);
}

static int
compare_names(const void *a, const void *b)
{
	return (strcmp(*(const char *const *)a, *(const char *const *)b));
}

char *
evacuations_text(const struct evacuations *evacuations)
{
	GHashTable *names = current(evacuations)->names;
	g_autoptr(GPtrArray) sorted = g_ptr_array_new();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, names);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(sorted, key);
	g_ptr_array_sort(sorted, compare_names);
	g_ptr_array_add(sorted, NULL);
	return (g_strjoinv(",", (char **)sorted->pdata));
}
