#include "quota/act.h"

#include <string.h>

#include "lib/fnv.h"

struct program {
	clk_ms used; /* last request or gossip */
	const char *home; /* interned name of the first instance; nil: here */
};

struct act {
	GHashTable *by_hash; /* hash -> struct program */
	GArray *unsent; /* hashes */
	GArray *resend; /* hashes, sent once */
	clk_ms retention;
};

struct act *
act_open(clk_ms retention)
{
	struct act *programs = g_new0(struct act, 1);

	programs->by_hash =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	programs->unsent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	programs->resend = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	programs->retention = retention;
	return (programs);
}

void
act_close(struct act *programs)
{
	if (programs == NULL)
		return;
	g_hash_table_destroy(programs->by_hash);
	g_array_free(programs->unsent, TRUE);
	g_array_free(programs->resend, TRUE);
	g_free(programs);
}

bool
act_known(const struct act *programs, const char *program)
{
	uint64_t hash = fnv_hash(program);

	return (g_hash_table_contains(programs->by_hash, &hash));
}

/* Returns whether the program is new. */
static bool
program_update(
    struct act *programs, const char *peer, uint64_t hash, clk_ms now)
{
	struct program *program = g_hash_table_lookup(programs->by_hash, &hash);

	if (program != NULL) {
		program->used = now;
		return (false);
	}
	program = g_new0(struct program, 1);
	/* Interned strings are never freed, but a fleet has few instances. */
	*program = (struct program){now, g_intern_string(peer)};
	(void)g_hash_table_insert(
	    programs->by_hash, g_memdup2(&hash, sizeof(hash)), program);
	return (true);
}

void
act_seen(struct act *programs, const char *program, clk_ms now)
{
	uint64_t hash = fnv_hash(program);

	if (program_update(programs, NULL, hash, now))
		g_array_append_val(programs->unsent, hash);
}

void
act_heard(struct act *programs, const char *peer, const uint64_t *hashes,
    size_t n, clk_ms now)
{
	for (size_t i = 0; i < n; i++)
		(void)program_update(programs, peer, hashes[i], now);
}

static struct program *
program_find(const struct act *programs, const char *program)
{
	uint64_t hash = fnv_hash(program);

	return (g_hash_table_lookup(programs->by_hash, &hash));
}

const char *
act_home(const struct act *programs, const char *program)
{
	const struct program *known = program_find(programs, program);

	return (known != NULL ? known->home : NULL);
}

void
act_home_forget(struct act *programs, const char *program)
{
	struct program *known = program_find(programs, program);

	if (known != NULL)
		known->home = NULL;
}

size_t
act_news(struct act *programs, uint64_t *hashes, size_t max)
{
	GArray *resent = programs->resend;
	size_t n = 0;

	for (guint i = 0; i < programs->unsent->len && n < max; i++)
		hashes[n++] = g_array_index(programs->unsent, uint64_t, i);
	for (guint i = 0; i < resent->len && n < max; i++)
		hashes[n++] = g_array_index(resent, uint64_t, i);
	g_array_set_size(resent, 0);
	programs->resend = programs->unsent;
	programs->unsent = resent;
	return (n);
}

void
act_expire(struct act *programs, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, programs->by_hash);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((const struct program *)value)->used >=
		    programs->retention)
			g_hash_table_iter_remove(&iter);
	}
}
