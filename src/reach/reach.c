#include "reach/reach.h"

#include <glib.h>
#include <string.h>

/*
 * Silence after which a data centre counts as cut off: one and a half
 * intervals of messages, each of its instances.
 */
#define CUT_MS 300
/* A peer that sent nothing for this time isn't expected to. */
#define FORGET_MS (30 * CLK_SECOND)
/* Time between two ticks above which this process stood still. */
#define PAUSE_MS 300
/*
 * Age of the store's last answer that is long: it answers calls that wait for
 * news after 500 ms.
 */
#define STORE_LONG_MS 900
/* Age of the last answer up to which the store answers a peer. */
#define STORE_FRESH_MS 700
/* A peer that was not heard for this time isn't counted. */
#define PEER_LIVE_MS 500

struct peer {
	const char *datacentre; /* interned */
	clk_ms heard;
	clk_ms store_answered;
};

struct reach {
	GHashTable *peers; /* name -> struct peer */
	const char *datacentre; /* interned */
	clk_ms ticked;
	clk_ms awake_since; /* end of the last pause of this process */
};

struct reach *
reach_open(const char *datacentre)
{
	struct reach *reach = g_new0(struct reach, 1);

	reach->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reach->datacentre = g_intern_string(datacentre);
	return (reach);
}

void
reach_close(struct reach *reach)
{
	if (reach == NULL)
		return;
	g_hash_table_destroy(reach->peers);
	g_free(reach);
}

void
reach_peer_heard(struct reach *reach, const char *name, const char *datacentre,
    clk_ms store_age, clk_ms now)
{
	struct peer *peer = g_hash_table_lookup(reach->peers, name);

	if (peer == NULL) {
		peer = g_new0(struct peer, 1);
		(void)g_hash_table_insert(reach->peers, g_strdup(name), peer);
	}
	/* A fleet has few data centres, so that few names are kept. */
	peer->datacentre = g_intern_string(datacentre);
	peer->heard = now;
	peer->store_answered = now - store_age;
}

void
reach_tick(struct reach *reach, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	if (now - reach->ticked > PAUSE_MS)
		reach->awake_since = now;
	reach->ticked = now;
	g_hash_table_iter_init(&iter, reach->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((const struct peer *)value)->heard >= FORGET_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Time for which the peer has been silent while this process ran. */
static clk_ms
silence(const struct reach *reach, const struct peer *peer, clk_ms now)
{
	return (now - MAX(peer->heard, reach->awake_since));
}

bool
reach_is_cut(const struct reach *reach, const char *datacentre, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	bool has_peers = false;

	if (strcmp(datacentre, reach->datacentre) == 0)
		return (false);
	g_hash_table_iter_init(&iter, reach->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (strcmp(peer->datacentre, datacentre) != 0)
			continue;
		if (silence(reach, peer, now) < CUT_MS)
			return (false);
		has_peers = true;
	}
	return (has_peers);
}

bool
reach_is_worse_off(const struct reach *reach, clk_ms store_age, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	unsigned live = 0, served = 0, abroad = 0, abroad_silent = 0;

	if (store_age < STORE_LONG_MS)
		return (false);
	g_hash_table_iter_init(&iter, reach->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (strcmp(peer->datacentre, reach->datacentre) != 0) {
			abroad++;
			abroad_silent += silence(reach, peer, now) >= CUT_MS;
		}
		if (now - peer->heard >= PEER_LIVE_MS)
			continue;
		live++;
		served += peer->heard - peer->store_answered < STORE_FRESH_MS;
	}
	return ((live > 0 && 2 * served > live) ||
	    (abroad > 0 && abroad_silent == abroad));
}
