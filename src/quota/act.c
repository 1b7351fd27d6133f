#include "quota/act.h"

#include <string.h>

#include "lib/fnv.h"

struct program {
	clk_ms last; /* request */
	const char *home; /* interned name of the first instance; nil: here */
};

struct act {
	GHashTable *programs; /* hash -> struct program */
	GArray *news; /* hashes not told yet */
	GArray *told; /* hashes told once */
	clk_ms retention;
};

struct act *
act_open(clk_ms retention)
{
	struct act *act = g_new0(struct act, 1);

	act->programs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	act->news = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	act->told = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	act->retention = retention;
	return (act);
}

void
act_close(struct act *act)
{
	if (act == NULL)
		return;
	g_hash_table_destroy(act->programs);
	g_array_free(act->news, TRUE);
	g_array_free(act->told, TRUE);
	g_free(act);
}

bool
act_known(const struct act *act, const char *program)
{
	uint64_t hash = fnv_hash(program);

	return (g_hash_table_contains(act->programs, &hash));
}

/* Returns whether the program was not known. */
static bool
note(struct act *act, const char *peer, uint64_t hash, clk_ms now)
{
	struct program *program = g_hash_table_lookup(act->programs, &hash);

	if (program != NULL) {
		program->last = now;
		return (false);
	}
	program = g_new0(struct program, 1);
	/* The names of a fleet's instances are few. */
	*program = (struct program){now, g_intern_string(peer)};
	(void)g_hash_table_insert(
	    act->programs, g_memdup2(&hash, sizeof(hash)), program);
	return (true);
}

void
act_seen(struct act *act, const char *program, clk_ms now)
{
	uint64_t hash = fnv_hash(program);

	if (note(act, NULL, hash, now))
		g_array_append_val(act->news, hash);
}

void
act_heard(struct act *act, const char *peer, const uint64_t *hashes, size_t n,
    clk_ms now)
{
	for (size_t i = 0; i < n; i++)
		(void)note(act, peer, hashes[i], now);
}

static struct program *
find(const struct act *act, const char *program)
{
	uint64_t hash = fnv_hash(program);

	return (g_hash_table_lookup(act->programs, &hash));
}

const char *
act_home(const struct act *act, const char *program)
{
	const struct program *known = find(act, program);

	return (known != NULL ? known->home : NULL);
}

void
act_home_forget(struct act *act, const char *program)
{
	struct program *known = find(act, program);

	if (known != NULL)
		known->home = NULL;
}

size_t
act_news(struct act *act, uint64_t *hashes, size_t max)
{
	GArray *told = act->told;
	size_t n = 0;

	for (guint i = 0; i < act->news->len && n < max; i++)
		hashes[n++] = g_array_index(act->news, uint64_t, i);
	for (guint i = 0; i < told->len && n < max; i++)
		hashes[n++] = g_array_index(told, uint64_t, i);
	g_array_set_size(told, 0);
	act->told = act->news;
	act->news = told;
	return (n);
}

void
act_expire(struct act *act, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, act->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((const struct program *)value)->last >=
		    act->retention)
			g_hash_table_iter_remove(&iter);
	}
}
