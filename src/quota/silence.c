#include "quota/silence.h"

#include <glib.h>

/*
 * Time for which a silent home is passed over, and the longest such time: it
 * doubles with each further question that times out.  A datagram that is lost
 * (3 % are, at worst) costs little; a home that has died is given up by all
 * within 1.6 s, in which it is tried four times.
 */
#define HOLD_MIN_MS 100
#define HOLD_MAX_MS 400
/* A silent home that was not asked for this time is forgotten. */
#define FORGET_MS (10 * CLK_SECOND)
/*
 * Part of the caller's time in which its request asks again, and the longest
 * such time.  All agree on new homes 1.6 s after a death at the latest and
 * within 1 s as measured (docs/decisions/0015); the rest of the caller's time
 * is left to the request itself.
 */
#define ASK_PART   3
#define ASK_MAX_MS 1200

struct entry {
	clk_ms hold;
	clk_ms held_until;
};

struct silence {
	GHashTable *entries; /* address -> struct entry */
};

struct silence *
silence_open(void)
{
	struct silence *silence = g_new0(struct silence, 1);

	silence->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return (silence);
}

void
silence_close(struct silence *silence)
{
	if (silence == NULL)
		return;
	g_hash_table_destroy(silence->entries);
	g_free(silence);
}

static gint64
address_key(const struct sockaddr_in *address)
{
	return ((gint64)address->sin_addr.s_addr << 16 | address->sin_port);
}

static void
entries_expire(struct silence *silence, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, silence->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *entry = value;

		if (now - entry->held_until >= FORGET_MS)
			g_hash_table_iter_remove(&iter);
	}
}

void
silence_timed_out(
    struct silence *silence, const struct sockaddr_in *home, clk_ms now)
{
	gint64 key = address_key(home);
	struct entry *entry = g_hash_table_lookup(silence->entries, &key);

	if (entry == NULL) {
		entries_expire(silence, now);
		entry = g_new0(struct entry, 1);
		entry->hold = HOLD_MIN_MS / 2;
		(void)g_hash_table_insert(
		    silence->entries, g_memdup2(&key, sizeof(key)), entry);
	} else if (now < entry->held_until) {
		/* One of the questions that were under way already. */
		return;
	}
	entry->hold = MIN(2 * entry->hold, HOLD_MAX_MS);
	entry->held_until = now + entry->hold;
}

void
silence_answered(struct silence *silence, const struct sockaddr_in *home)
{
	gint64 key = address_key(home);

	(void)g_hash_table_remove(silence->entries, &key);
}

bool
silence_is_asked(
    struct silence *silence, const struct sockaddr_in *home, clk_ms now)
{
	gint64 key = address_key(home);
	struct entry *entry = g_hash_table_lookup(silence->entries, &key);

	if (entry == NULL)
		return (true);
	if (now < entry->held_until)
		return (false);
	entry->hold = MIN(2 * entry->hold, HOLD_MAX_MS);
	entry->held_until = now + entry->hold;
	return (true);
}

clk_ms
silence_give_up_at(clk_ms first, clk_ms deadline)
{
	return (first +
	    CLAMP((deadline - first) / ASK_PART, 0, (clk_ms)ASK_MAX_MS));
}
