#include "roster/roster.h"

#include <glib.h>
#include <string.h>

#include "lib/rdv.h"

/*
 * A peer that sent no gossip message for this time has timed out: one and a
 * half intervals.  A lost message costs the peer's share until the next one.
 */
#define PEER_TIMEOUT_MS 300
/*
 * A peer that a relay has named is alive for this time, in which the relays of
 * its data centre change: 0.3 s until one is given up, and four intervals.
 */
#define NAMED_LIVE_MS 700
/*
 * A peer that a relay has left out is alive for this time, in which the other
 * relay may name it.
 */
#define UNNAMED_LIVE_MS 150
/* A peer that sent no gossip message for this time is removed. */
#define PEER_EXPIRY_MS (30 * CLK_SECOND)
/*
 * Time for which an instance is no home after it said so: five messages and
 * the hops between relays, so that lost ones don't end it earlier at some.
 */
#define ABSENT_MS 1000
/*
 * After this time nobody repeats what an instance has said, and what it says
 * is news even if its clock has begun anew.
 */
#define ABSENCE_FORGOTTEN_MS 10000
/*
 * Time from its start in which an instance of a large fleet is no home: all
 * others know it after 0.5 s (docs/decisions/0015).
 */
#define START_ABSENT_MS 1000
/*
 * The same if it hears half of them or less: it may have started on the smaller
 * side of a partition, which needs homes as well.
 */
#define START_ABSENT_MAX_MS 3000
/* Period of counting the live peers. */
#define SHARE_PERIOD_MS 20
/* Number of instances that is assumed until one is known. */
#define UNKNOWN_FLEET 50
/* Lowest share, for an instance without live peers. */
#define SHARE_MIN 0.02

struct peer {
	const char *name; /* the key in roster->peers */
	const char *datacentre; /* interned; nil: not known */
	uint32_t hash; /* of the name */
	uint32_t relay; /* that named it last; 0: none */
	clk_ms known; /* when its record was last read; 0: never */
	clk_ms heard; /* a message, or as named by a relay */
	clk_ms live_until;
	clk_ms absent_since; /* 0: it never was */
	clk_ms absent_heard;
	uint32_t absent_said; /* by its clock */
};

struct roster {
	GHashTable *peers; /* name -> struct peer */
	GHashTable *by_hash; /* the same, by the hash of the name */
	uint32_t hash; /* of this instance's name */
	unsigned instances;
	double share;
	clk_ms share_until; /* when it is to be computed again */
	guint first_absence; /* with which the next message begins */
	bool is_counted; /* see absences_count() */
	clk_ms counted_since; /* when this changed */
	bool is_absent; /* this instance says that it is no home */
	clk_ms absent_until; /* for the others */
};

struct roster *
roster_open(const char *name)
{
	struct roster *roster = g_new0(struct roster, 1);

	roster->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	roster->by_hash = g_hash_table_new(NULL, NULL);
	roster->hash = roster_hash(name);
	roster->instances = UNKNOWN_FLEET;
	return (roster);
}

void
roster_close(struct roster *roster)
{
	if (roster == NULL)
		return;
	g_hash_table_destroy(roster->by_hash);
	g_hash_table_destroy(roster->peers);
	g_free(roster);
}

uint32_t
roster_hash(const char *text)
{
	return ((uint32_t)g_str_hash(text));
}

void
roster_size_set(struct roster *roster, unsigned instances, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	roster->instances = MAX(instances, 1U);
	roster->share_until = now;
	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (now - MAX(peer->heard, peer->known) < PEER_EXPIRY_MS)
			continue;
		if (g_hash_table_lookup(
			roster->by_hash, GUINT_TO_POINTER(peer->hash)) == peer)
			(void)g_hash_table_remove(
			    roster->by_hash, GUINT_TO_POINTER(peer->hash));
		g_hash_table_iter_remove(&iter);
	}
}

bool
roster_is_relayed(const struct roster *roster)
{
	return (roster->instances > ROSTER_MESH_MAX);
}

static struct peer *
peer_ensure(struct roster *roster, const char *name)
{
	struct peer *peer = g_hash_table_lookup(roster->peers, name);
	char *key;

	if (peer != NULL)
		return (peer);
	key = g_strdup(name);
	peer = g_new0(struct peer, 1);
	peer->name = key;
	peer->hash = roster_hash(name);
	(void)g_hash_table_insert(roster->peers, key, peer);
	(void)g_hash_table_insert(
	    roster->by_hash, GUINT_TO_POINTER(peer->hash), peer);
	return (peer);
}

void
roster_peer_known(
    struct roster *roster, const char *name, const char *datacentre, clk_ms now)
{
	struct peer *peer = peer_ensure(roster, name);

	/* A fleet has few data centres, so that few names are kept. */
	peer->datacentre = g_intern_string(datacentre);
	peer->known = now;
}

void
roster_peer_heard(struct roster *roster, const char *name, clk_ms now)
{
	struct peer *peer = peer_ensure(roster, name);

	peer->heard = now;
	peer->live_until = MAX(peer->live_until, now + PEER_TIMEOUT_MS);
}

unsigned
roster_members_heard(
    struct roster *roster, const struct roster_members *members, clk_ms now)
{
	clk_ms named = now - members->age;
	GHashTableIter iter;
	void *value;
	unsigned unknown = 0;

	for (size_t i = 0; i < members->n; i++) {
		struct peer *peer = g_hash_table_lookup(
		    roster->by_hash, GUINT_TO_POINTER(members->hashes[i]));

		if (peer == NULL) {
			unknown += members->hashes[i] != roster->hash;
			continue;
		}
		if (named < peer->heard)
			continue;
		peer->heard = named;
		peer->relay = members->relay;
		peer->live_until = MAX(peer->live_until, named + NAMED_LIVE_MS);
	}
	/* A relay that hears few members says nothing of the others. */
	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->relay == members->relay && peer->heard < named &&
		    g_strcmp0(peer->datacentre, members->datacentre) == 0)
			peer->live_until =
			    MIN(peer->live_until, now + UNNAMED_LIVE_MS);
	}
	return (unknown);
}

const char *
roster_name(const struct roster *roster, uint32_t hash)
{
	const struct peer *peer =
	    g_hash_table_lookup(roster->by_hash, GUINT_TO_POINTER(hash));

	return (peer != NULL ? peer->name : NULL);
}

uint32_t
roster_own_hash(const struct roster *roster)
{
	return (roster->hash);
}

static bool
peer_is_live(const struct peer *peer, clk_ms now)
{
	return (now < peer->live_until);
}

unsigned
roster_size(const struct roster *roster)
{
	return (roster->instances);
}

unsigned
roster_live_peers(const struct roster *roster, clk_ms now)
{
	GHashTableIter iter;
	void *value;
	unsigned live = 0;

	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		live += peer_is_live(value, now);
	return (live);
}

double
roster_share(struct roster *roster, clk_ms now)
{
	double live;

	if (now < roster->share_until)
		return (roster->share);
	live = (double)(roster_live_peers(roster, now) + 1);
	roster->share = CLAMP(live / roster->instances, SHARE_MIN, 1.0);
	roster->share_until = now + SHARE_PERIOD_MS;
	return (roster->share);
}

bool
roster_is_absent(const struct roster *roster, clk_ms now)
{
	return (roster->is_absent ||
	    (roster_is_relayed(roster) && now < roster->absent_until));
}

static bool
is_absent(const struct peer *peer, clk_ms now)
{
	return (peer->absent_heard > 0 && now - peer->absent_heard < ABSENT_MS);
}

/*
 * Decides whether absences count.  They don't if most of those that are alive
 * are absent, as after a loss of power: the homes would then change with each
 * absence that ends, which is at different times at different instances.
 */
static void
absences_count(struct roster *roster, clk_ms now)
{
	unsigned live = 1, absent = roster_is_absent(roster, now);
	GHashTableIter iter;
	void *value;
	bool counted;

	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!peer_is_live(value, now))
			continue;
		live++;
		absent += is_absent(value, now);
	}
	counted = 2 * absent <= live;
	if (counted != roster->is_counted)
		roster->counted_since = now;
	roster->is_counted = counted;
}

void
roster_absence_update(
    struct roster *roster, bool is_stopping, clk_ms started, clk_ms now)
{
	bool is_starting = roster_is_relayed(roster) &&
	    (now - started < START_ABSENT_MS ||
		(roster_share(roster, now) <= 0.5 &&
		    now - started < START_ABSENT_MAX_MS));

	/* Only once: a side of a partition needs homes. */
	if (now - started >= START_ABSENT_MS && !roster_is_absent(roster, now))
		is_starting = false;
	roster->is_absent = is_stopping || is_starting;
	if (roster->is_absent)
		roster->absent_until = now + ABSENT_MS;
	absences_count(roster, now);
}

size_t
roster_absences_collect(struct roster *roster, struct roster_absence *absences,
    size_t max, clk_ms now)
{
	g_autoptr(GArray) all =
	    g_array_new(FALSE, FALSE, sizeof(struct roster_absence));
	GHashTableIter iter;
	void *value;
	size_t n;

	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		const struct roster_absence absence = {
		    peer->hash, peer->absent_said};

		if (is_absent(peer, now))
			g_array_append_val(all, absence);
	}
	n = 0;
	if (roster->is_absent && max > 0)
		absences[n++] =
		    (struct roster_absence){roster->hash, (uint32_t)now};
	/* What is left out comes first in the next message. */
	for (guint i = 0; i < all->len && n < max; i++)
		absences[n++] = g_array_index(all, struct roster_absence,
		    (roster->first_absence + i) % all->len);
	roster->first_absence += (guint)max;
	return (all->len + roster->is_absent);
}

unsigned
roster_absences_merge(struct roster *roster,
    const struct roster_absence *absences, size_t n, clk_ms now)
{
	unsigned begun = 0;
	bool is_new = false;

	for (size_t i = 0; i < n; i++) {
		struct peer *peer = g_hash_table_lookup(
		    roster->by_hash, GUINT_TO_POINTER(absences[i].instance));

		/*
		 * Only news count, not their arrival: what is passed on in
		 * turn would else never end.
		 */
		if (peer == NULL ||
		    (peer->absent_heard > 0 &&
			now - peer->absent_heard < ABSENCE_FORGOTTEN_MS &&
			(int32_t)(absences[i].said - peer->absent_said) <= 0))
			continue;
		if (!is_absent(peer, now)) {
			peer->absent_since = now;
			begun++;
		}
		peer->absent_said = absences[i].said;
		peer->absent_heard = now;
		is_new = true;
	}
	if (is_new)
		absences_count(roster, now);
	return (begun);
}

/*
 * The place of an instance in the ranking of a key.  Those that are absent come
 * last: they are homes only if there are too few others.
 */
static uint64_t
instance_score(uint32_t key, uint32_t hash, bool absent)
{
	uint64_t score = 1 + (uint64_t)rdv_score(key, hash);

	return (absent ? score : score + ((uint64_t)1 << 33));
}

/* Finds the names of the homes; nil for this instance, and for none. */
static void
homes_find(const struct roster *roster, uint32_t key, clk_ms now,
    const char *names[ROSTER_RANKS], bool is_self[ROSTER_RANKS])
{
	bool counts = roster->is_counted;
	uint64_t scores[ROSTER_RANKS] = {instance_score(
	    key, roster->hash, counts && roster_is_absent(roster, now))};
	GHashTableIter iter;
	void *name, *value;

	for (int i = 0; i < ROSTER_RANKS; i++) {
		names[i] = NULL;
		is_self[i] = i == 0;
	}
	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct peer *peer = value;
		uint64_t score = instance_score(
		    key, peer->hash, counts && is_absent(peer, now));
		int at = ROSTER_RANKS;

		if (!peer_is_live(peer, now))
			continue;
		while (at > 0 && score > scores[at - 1])
			at--;
		for (int i = ROSTER_RANKS - 1; i > at; i--) {
			scores[i] = scores[i - 1];
			names[i] = names[i - 1];
			is_self[i] = is_self[i - 1];
		}
		if (at == ROSTER_RANKS)
			continue;
		scores[at] = score;
		names[at] = name;
		is_self[at] = false;
	}
}

const char *
roster_home(
    const struct roster *roster, uint32_t key, unsigned rank, clk_ms now)
{
	const char *names[ROSTER_RANKS];
	bool is_self[ROSTER_RANKS];

	homes_find(roster, key, now, names, is_self);
	return (names[rank]);
}

bool
roster_is_home(
    const struct roster *roster, uint32_t key, unsigned rank, clk_ms now)
{
	const char *names[ROSTER_RANKS];
	bool is_self[ROSTER_RANKS];

	homes_find(roster, key, now, names, is_self);
	return (is_self[rank]);
}

clk_ms
roster_first_since(const struct roster *roster, uint32_t key, clk_ms now)
{
	uint32_t own = rdv_score(key, roster->hash);
	clk_ms since = roster->counted_since;
	GHashTableIter iter;
	void *value;

	if (roster->is_counted && !roster_is_absent(roster, now))
		since = MAX(since, roster->absent_until);
	g_hash_table_iter_init(&iter, roster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (rdv_score(key, peer->hash) <= own)
			continue;
		if (!peer_is_live(peer, now))
			since = MAX(since, peer->live_until);
		else if (is_absent(peer, now))
			since = MAX(since, peer->absent_since);
	}
	return (MIN(since, now));
}
