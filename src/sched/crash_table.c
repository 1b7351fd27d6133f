#include "sched/crash_table.h"

#include <glib.h>
#include <string.h>

#include "lib/outbox.h"

#define BLOCK_TIME_MS	 (10 * CLK_MINUTE)
#define FINGERPRINTS_MAX 1024
#define OWN_CRASHES_MAX	 2048

struct entry {
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	char *upstreams[CRASH_TABLE_UPSTREAMS_MAX];
	unsigned count; /* of different upstreams */
	clk_ms last_crash;
	GList *link; /* in table->order */
};

struct crash_table {
	GHashTable *entries; /* fingerprint -> struct entry */
	GQueue order; /* struct entry, the oldest first */
	GQueue own; /* struct sched_crash of this instance, oldest first */
	struct outbox *outbox; /* the same, to be sent */
	unsigned upstreams; /* crashed ones that block a request */
};

static guint
fingerprint_hash(gconstpointer key)
{
	guint hash;

	/* Any part of a SHA-256 is uniformly distributed. */
	memcpy(&hash, key, sizeof(hash));
	return (hash);
}

static gboolean
fingerprint_equal(gconstpointer a, gconstpointer b)
{
	return (memcmp(a, b, SCHED_FINGERPRINT_SIZE) == 0);
}

static void
entry_free(void *data)
{
	struct entry *entry = data;

	for (unsigned i = 0; i < entry->count; i++)
		g_free(entry->upstreams[i]);
	g_free(entry);
}

struct crash_table *
crash_table_open(unsigned upstreams)
{
	struct crash_table *table = g_new0(struct crash_table, 1);

	table->upstreams = MIN(upstreams, CRASH_TABLE_UPSTREAMS_MAX);
	table->outbox =
	    outbox_open(sizeof(struct sched_crash), OWN_CRASHES_MAX);
	table->entries = g_hash_table_new_full(
	    fingerprint_hash, fingerprint_equal, NULL, entry_free);
	return (table);
}

void
crash_table_close(struct crash_table *table)
{
	g_hash_table_destroy(table->entries);
	g_queue_clear(&table->order);
	g_queue_clear_full(&table->own, g_free);
	outbox_close(table->outbox);
	g_free(table);
}

static void
entry_drop(struct crash_table *table, struct entry *entry)
{
	g_queue_delete_link(&table->order, entry->link);
	(void)g_hash_table_remove(table->entries, entry->fingerprint);
}

static struct entry *
entry_ensure(
    struct crash_table *table, const unsigned char *fingerprint, clk_ms now)
{
	struct entry *entry = g_hash_table_lookup(table->entries, fingerprint);

	if (entry != NULL && now - entry->last_crash >= BLOCK_TIME_MS) {
		entry_drop(table, entry);
		entry = NULL;
	}
	if (entry != NULL)
		return (entry);
	if (table->order.length >= FINGERPRINTS_MAX)
		entry_drop(table, g_queue_peek_head(&table->order));
	entry = g_new0(struct entry, 1);
	memcpy(entry->fingerprint, fingerprint, SCHED_FINGERPRINT_SIZE);
	g_queue_push_tail(&table->order, entry);
	entry->link = table->order.tail;
	(void)g_hash_table_insert(table->entries, entry->fingerprint, entry);
	return (entry);
}

static void
own_crash_add(struct crash_table *table, const unsigned char *fingerprint,
    const char *upstream, clk_ms now)
{
	struct sched_crash *crash = g_new0(struct sched_crash, 1);

	memcpy(crash->fingerprint, fingerprint, SCHED_FINGERPRINT_SIZE);
	(void)g_strlcpy(crash->upstream, upstream, sizeof(crash->upstream));
	crash->time = now;
	g_queue_push_tail(&table->own, crash);
	outbox_add(table->outbox, crash);
	if (table->own.length > OWN_CRASHES_MAX)
		g_free(g_queue_pop_head(&table->own));
}

static bool
is_known(const struct entry *entry, const char *name)
{
	for (unsigned i = 0; i < entry->count; i++) {
		if (strcmp(entry->upstreams[i], name) == 0)
			return (true);
	}
	return (false);
}

void
crash_table_add(struct crash_table *table, const unsigned char *fingerprint,
    const char *upstream, bool own, clk_ms now)
{
	struct entry *entry = entry_ensure(table, fingerprint, now);
	char name[sizeof(((struct sched_crash *)NULL)->upstream)];
	bool known;

	/* Peers send truncated names, so truncate before comparing. */
	(void)g_strlcpy(name, upstream, sizeof(name));
	known = is_known(entry, name);
	/* Peers repeat crashes in heartbeats; a repetition is ignored. */
	if (known && !own)
		return;
	if (!known && entry->count < table->upstreams)
		entry->upstreams[entry->count++] = g_strdup(name);
	entry->last_crash = now;
	if (own)
		own_crash_add(table, fingerprint, name, now);
}

void
crash_table_relay(struct crash_table *table, const unsigned char *fingerprint,
    const char *upstream, clk_ms now)
{
	const struct entry *entry = entry_ensure(table, fingerprint, now);

	/* An entry that is full blocks the request already. */
	if (!is_known(entry, upstream) && entry->count < table->upstreams)
		crash_table_add(table, fingerprint, upstream, true, now);
}

bool
crash_table_is_empty(const struct crash_table *table)
{
	return (g_queue_is_empty((GQueue *)&table->order));
}

bool
crash_table_is_blocked(const struct crash_table *table,
    const unsigned char *fingerprint, clk_ms now)
{
	const struct entry *entry =
	    g_hash_table_lookup(table->entries, fingerprint);

	return (entry != NULL && entry->count >= table->upstreams &&
	    now - entry->last_crash < BLOCK_TIME_MS);
}

size_t
crash_table_list(const struct crash_table *table, clk_ms since,
    struct sched_crash *crashes, size_t max)
{
	size_t n = 0;

	for (GList *l = table->own.head; l != NULL && n < max; l = l->next) {
		const struct sched_crash *crash = l->data;

		if (crash->time >= since)
			crashes[n++] = *crash;
	}
	return (n);
}

size_t
crash_table_collect(
    struct crash_table *table, struct sched_crash *crashes, size_t max)
{
	return (outbox_take(table->outbox, crashes, max));
}
