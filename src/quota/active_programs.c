#include "quota/active_programs.h"

#include <string.h>

#include "lib/fnv.h"
#include "lib/outbox.h"

/* Programs that wait to be sent, some seconds of the busiest instance. */
#define UNSENT_MAX 4096

struct program {
	clk_ms used; /* last request or gossip */
	const char *home; /* interned name of the first instance; nil: here */
};

struct active_programs {
	GHashTable *by_hash; /* hash -> struct program */
	struct outbox *outbox; /* hashes */
	clk_ms retention;
};

struct active_programs *
active_programs_open(clk_ms retention)
{
	struct active_programs *programs = g_new0(struct active_programs, 1);

	programs->by_hash =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	programs->outbox = outbox_open(sizeof(uint64_t), UNSENT_MAX);
	programs->retention = retention;
	return (programs);
}

void
active_programs_close(struct active_programs *programs)
{
	if (programs == NULL)
		return;
	g_hash_table_destroy(programs->by_hash);
	outbox_close(programs->outbox);
	g_free(programs);
}

uint64_t
active_programs_hash(const char *program)
{
	return (fnv_hash(program));
}

bool
active_programs_knows(const struct active_programs *programs, uint64_t hash)
{
	return (g_hash_table_contains(programs->by_hash, &hash));
}

bool
active_programs_contains(
    const struct active_programs *programs, const char *program)
{
	return (active_programs_knows(programs, fnv_hash(program)));
}

/* Returns whether the program is new. */
static bool
program_update(struct active_programs *programs, const char *peer,
    uint64_t hash, clk_ms now)
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
active_programs_add(
    struct active_programs *programs, const char *program, clk_ms now)
{
	uint64_t hash = fnv_hash(program);

	if (program_update(programs, NULL, hash, now))
		outbox_add(programs->outbox, &hash);
}

const char *
active_programs_join(struct active_programs *programs, uint64_t hash,
    const char *peer, clk_ms now)
{
	(void)program_update(programs, peer, hash, now);
	return (
	    ((struct program *)g_hash_table_lookup(programs->by_hash, &hash))
		->home);
}

void
active_programs_merge(struct active_programs *programs, const char *peer,
    const uint64_t *hashes, size_t n, clk_ms now)
{
	for (size_t i = 0; i < n; i++)
		(void)program_update(programs, peer, hashes[i], now);
}

static struct program *
program_find(const struct active_programs *programs, const char *program)
{
	uint64_t hash = fnv_hash(program);

	return (g_hash_table_lookup(programs->by_hash, &hash));
}

const char *
active_programs_home(
    const struct active_programs *programs, const char *program)
{
	const struct program *known = program_find(programs, program);

	return (known != NULL ? known->home : NULL);
}

void
active_programs_home_clear(
    struct active_programs *programs, const char *program)
{
	struct program *known = program_find(programs, program);

	if (known != NULL)
		known->home = NULL;
}

size_t
active_programs_collect(
    struct active_programs *programs, uint64_t *hashes, size_t max)
{
	return (outbox_take(programs->outbox, hashes, max));
}

void
active_programs_expire(struct active_programs *programs, clk_ms now)
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
