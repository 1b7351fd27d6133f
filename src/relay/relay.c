#include "relay/relay.h"

#include <string.h>

#include "roster/roster.h"

/* A member that sent no state for this time is not alive. */
#define MEMBER_LIVE_MS 250
/* A member that sent none for this time isn't told anything. */
#define LISTENER_MS 300
/* A relay that is told, and not heard for this time, is down. */
#define RELAY_DOWN_MS 300
/* A relay that is down is tried again after this time. */
#define RELAY_RETRY_MS 1000
/* Period at which a relay that few members tell their state tells them all. */
#define RELAY_ANNOUNCE_MS 300
/* Another relay that was not heard for this time isn't told. */
#define OTHER_RELAY_MS 1500
/* What is known of a data centre is told for this time. */
#define SUMMARY_MS 2000

struct member {
	char *name;
	const char *datacentre; /* interned */
	unsigned weight;
	uint32_t hash;
	clk_ms heard; /* as a relay; 0: never */
	clk_ms told_since; /* the first time it was told; 0: it isn't */
	clk_ms down_until;
	/* As a member of this relay: */
	clk_ms beat; /* 0: never */
	bool is_served;
	GArray *loads; /* struct place_load */
};

/* The last summary of a data centre that counts. */
struct other {
	struct relay_summary summary;
	clk_ms made;
};

struct relay {
	GHashTable *by_name; /* struct member */
	GPtrArray *ranked; /* the same, by data centre, weight and hash */
	GHashTable *others; /* interned data centre -> struct other */
	struct member *self; /* nil: not among the members */
	char *name;
	uint32_t hash; /* of the name */
	const char *datacentre; /* interned */
	struct relay_summary own; /* what it points to is below */
	GArray *members; /* uint32_t */
	GArray *loads; /* struct place_load */
	guint first_load; /* with which the next summary begins */
	bool is_ranked;
	bool is_passed_on; /* what is known of others, this time */
	bool is_own_target; /* this instance is a relay of its own */
	clk_ms looked; /* for targets, the last time */
	clk_ms announced; /* the last time that all members were told */
	unsigned tries; /* of more relays, since one was heard */
};

static void
member_free(void *data)
{
	struct member *member = data;

	g_free(member->name);
	g_array_free(member->loads, TRUE);
	g_free(member);
}

static void
other_free(void *data)
{
	struct other *other = data;

	g_free(other->summary.members);
	g_free(other->summary.loads);
	g_free(other);
}

struct relay *
relay_open(const char *name, const char *datacentre)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	relay->ranked = g_ptr_array_new();
	relay->others = g_hash_table_new_full(NULL, NULL, NULL, other_free);
	relay->name = g_strdup(name);
	relay->hash = roster_hash(name);
	relay->datacentre = g_intern_string(datacentre);
	relay->members = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	relay->loads = g_array_new(FALSE, FALSE, sizeof(struct place_load));
	return (relay);
}

void
relay_close(struct relay *relay)
{
	if (relay == NULL)
		return;
	g_ptr_array_free(relay->ranked, TRUE);
	g_hash_table_destroy(relay->by_name);
	g_hash_table_destroy(relay->others);
	g_array_free(relay->members, TRUE);
	g_array_free(relay->loads, TRUE);
	g_free(relay->name);
	g_free(relay);
}

void
relay_member_set(struct relay *relay, const char *name, const char *datacentre,
    unsigned weight)
{
	struct member *member = g_hash_table_lookup(relay->by_name, name);

	if (member == NULL) {
		member = g_new0(struct member, 1);
		member->name = g_strdup(name);
		member->hash = roster_hash(name);
		member->loads =
		    g_array_new(FALSE, FALSE, sizeof(struct place_load));
		(void)g_hash_table_insert(relay->by_name, member->name, member);
		g_ptr_array_add(relay->ranked, member);
		relay->is_ranked = false;
		if (strcmp(name, relay->name) == 0)
			relay->self = member;
	} else if (member->weight != weight) {
		relay->is_ranked = false;
	}
	/* A fleet has few data centres, so that few names are kept. */
	member->datacentre = g_intern_string(datacentre);
	member->weight = weight;
}

void
relay_member_remove(struct relay *relay, const char *name)
{
	struct member *member = g_hash_table_lookup(relay->by_name, name);

	if (member == NULL)
		return;
	if (member == relay->self)
		relay->self = NULL;
	(void)g_ptr_array_remove(relay->ranked, member);
	(void)g_hash_table_remove(relay->by_name, name);
}

static int
member_compare(const void *a, const void *b)
{
	const struct member *one = *(struct member *const *)a;
	const struct member *other = *(struct member *const *)b;
	int order = strcmp(one->datacentre, other->datacentre);

	if (order != 0)
		return (order);
	if (one->weight != other->weight)
		return (one->weight > other->weight ? -1 : 1);
	if (one->hash != other->hash)
		return (one->hash < other->hash ? -1 : 1);
	return (strcmp(one->name, other->name));
}

/* The members, those of a data centre together, its first relays first. */
static const GPtrArray *
ranked_members(struct relay *relay)
{
	if (!relay->is_ranked)
		g_ptr_array_sort(relay->ranked, member_compare);
	relay->is_ranked = true;
	return (relay->ranked);
}

void
relay_heard(struct relay *relay, const char *name, clk_ms now)
{
	struct member *member = g_hash_table_lookup(relay->by_name, name);

	if (member == NULL)
		return;
	member->heard = now;
	member->down_until = 0;
}

static bool
is_own(const struct relay *relay, const struct member *member)
{
	return (strcmp(member->datacentre, relay->datacentre) == 0);
}

bool
relay_is_heard(const struct relay *relay, clk_ms now)
{
	if (relay->is_own_target)
		return (true);
	for (guint i = 0; i < relay->ranked->len; i++) {
		const struct member *member = relay->ranked->pdata[i];

		if (member != relay->self && is_own(relay, member) &&
		    member->heard > 0 && now - member->heard < RELAY_DOWN_MS)
			return (true);
	}
	return (false);
}

/* Whether the member may be one; one that stays silent is not for a while. */
static bool
is_relay_up(struct member *member, clk_ms now)
{
	if (now < member->down_until)
		return (false);
	if (member->told_since > 0 &&
	    now - MAX(member->told_since, member->heard) >= RELAY_DOWN_MS) {
		member->told_since = 0;
		member->down_until = now + RELAY_RETRY_MS;
		return (false);
	}
	return (true);
}

/* Whether the member acts as a relay. */
static bool
is_relay_known(const struct member *member, clk_ms now)
{
	return (member->heard > 0 && now - member->heard < RELAY_DOWN_MS);
}

/* Whether one that isn't known to be a relay is to be told once more. */
static bool
is_relay_tried(struct member *member, size_t tried, size_t tries, clk_ms now)
{
	if (!is_relay_up(member, now))
		return (false);
	return (tried < tries ||
	    (member->told_since > 0 &&
		tried < RELAY_TARGETS_MAX - RELAY_COUNT));
}

/*
 * The first of those that are known to be relays, and of those that rank
 * before: one more, twice as many each time while none is known, and those
 * that were told and have time left to answer.
 */
size_t
relay_targets(
    struct relay *relay, clk_ms now, const char *targets[RELAY_TARGETS_MAX])
{
	const GPtrArray *ranked = ranked_members(relay);
	bool has_stood_still = now - relay->looked >= RELAY_DOWN_MS;
	size_t known = 0, tried = 0, tries;

	relay->looked = now;
	relay->tries = relay_is_heard(relay, now) ? 0 : relay->tries + 1;
	tries = MIN(
	    (size_t)1 << MIN(relay->tries, 8), RELAY_TARGETS_MAX - RELAY_COUNT);
	relay->is_own_target = false;
	for (guint i = 0; i < ranked->len; i++) {
		struct member *member = ranked->pdata[i];
		bool is_known;

		if (!is_own(relay, member))
			continue;
		if (has_stood_still)
			member->told_since = 0;
		/* This instance is one unless there may be a better one. */
		is_known = member == relay->self ? tried == 0
						 : is_relay_known(member, now);
		if (member == relay->self && !is_known)
			continue;
		if (known == RELAY_COUNT ||
		    (!is_known && !is_relay_tried(member, tried, tries, now))) {
			member->told_since = 0;
			continue;
		}
		if (member->told_since == 0)
			member->told_since = now;
		relay->is_own_target |= member == relay->self;
		targets[known + tried] = member->name;
		known += is_known;
		tried += !is_known;
	}
	return (known + tried);
}

void
relay_beat(struct relay *relay, const char *name, bool served,
    const struct place_load *loads, size_t n, clk_ms now)
{
	struct member *member = g_hash_table_lookup(relay->by_name, name);

	if (member == NULL)
		return;
	member->beat = now;
	member->is_served = served;
	g_array_set_size(member->loads, 0);
	(void)g_array_append_vals(member->loads, loads, (guint)n);
}

static bool
is_listening(const struct relay *relay, const struct member *member, clk_ms now)
{
	return (member != relay->self && member->beat > 0 &&
	    now - member->beat < LISTENER_MS);
}

bool
relay_is_acting(const struct relay *relay, clk_ms now)
{
	if (relay->is_own_target)
		return (true);
	for (guint i = 0; i < relay->ranked->len; i++) {
		if (is_listening(relay, relay->ranked->pdata[i], now))
			return (true);
	}
	return (false);
}

/* Whether less than half of the data centre tells this relay its state. */
static bool
is_little_known(const struct relay *relay, clk_ms now)
{
	unsigned members = 0, listening = 0;

	for (guint i = 0; i < relay->ranked->len; i++) {
		const struct member *member = relay->ranked->pdata[i];

		if (!is_own(relay, member) || member == relay->self)
			continue;
		members++;
		listening += is_listening(relay, member, now);
	}
	return (listening < members / 2);
}

GPtrArray *
relay_listeners(struct relay *relay, clk_ms now)
{
	GPtrArray *names = g_ptr_array_new();
	bool is_announced = relay->is_own_target &&
	    now - relay->announced >= RELAY_ANNOUNCE_MS &&
	    is_little_known(relay, now);

	if (is_announced)
		relay->announced = now;
	for (guint i = 0; i < relay->ranked->len; i++) {
		const struct member *member = relay->ranked->pdata[i];

		/* The relays of a data centre tell each other as well. */
		if (is_listening(relay, member, now) ||
		    (is_own(relay, member) && member != relay->self &&
			(is_announced || is_relay_known(member, now))))
			g_ptr_array_add(names, member->name);
	}
	return (names);
}

GPtrArray *
relay_others(const struct relay *relay, clk_ms now)
{
	GPtrArray *names = g_ptr_array_new();
	const char *datacentre = NULL;
	unsigned rank = 0;

	for (guint i = 0; i < relay->ranked->len; i++) {
		const struct member *member = relay->ranked->pdata[i];

		rank = g_strcmp0(datacentre, member->datacentre) == 0 ? rank + 1
								      : 0;
		datacentre = member->datacentre;
		if (!is_own(relay, member) &&
		    (rank < RELAY_COUNT ||
			(member->heard > 0 &&
			    now - member->heard < OTHER_RELAY_MS)))
			g_ptr_array_add(names, member->name);
	}
	return (names);
}

static void
load_add(GHashTable *sums, const struct place_load *load)
{
	void *key = GUINT_TO_POINTER(load->upstream);
	uint32_t sum = GPOINTER_TO_UINT(g_hash_table_lookup(sums, key));

	(void)g_hash_table_insert(
	    sums, key, GUINT_TO_POINTER(sum + load->running));
}

/* Sums the loads of the members that are alive; returns how many are served. */
static unsigned
members_sum(struct relay *relay, GHashTable *sums, clk_ms now)
{
	unsigned served = 0;

	g_array_set_size(relay->members, 0);
	for (guint i = 0; i < relay->ranked->len; i++) {
		const struct member *member = relay->ranked->pdata[i];

		if (!is_own(relay, member) || member->beat == 0 ||
		    now - member->beat >= MEMBER_LIVE_MS ||
		    relay->members->len == RELAY_MEMBERS_MAX)
			continue;
		g_array_append_val(relay->members, member->hash);
		served += member->is_served;
		for (guint k = 0; k < member->loads->len; k++)
			load_add(sums,
			    &g_array_index(
				member->loads, struct place_load, k));
	}
	return (served);
}

static int
load_compare(const void *a, const void *b)
{
	const struct place_load *one = a;
	const struct place_load *other = b;

	return ((one->upstream > other->upstream) -
	    (one->upstream < other->upstream));
}

/* Takes turns if there are more than fit. */
static void
loads_set(struct relay *relay, GHashTable *sums)
{
	GHashTableIter iter;
	void *key, *value;

	g_array_set_size(relay->loads, 0);
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct place_load load = {
		    GPOINTER_TO_UINT(key), GPOINTER_TO_UINT(value)};

		g_array_append_val(relay->loads, load);
	}
	if (relay->loads->len <= RELAY_LOADS_MAX)
		return;
	g_array_sort(relay->loads, load_compare);
	relay->first_load =
	    (relay->first_load + RELAY_LOADS_MAX) % relay->loads->len;
	for (guint i = 0; i < RELAY_LOADS_MAX; i++) {
		struct place_load load =
		    g_array_index(relay->loads, struct place_load,
			(relay->first_load + i) % relay->loads->len);

		g_array_append_val(relay->loads, load);
	}
	(void)g_array_remove_range(
	    relay->loads, 0, relay->loads->len - RELAY_LOADS_MAX);
}

const struct relay_summary *
relay_summary_make(struct relay *relay, clk_ms now)
{
	g_autoptr(GHashTable) sums = g_hash_table_new(NULL, NULL);
	unsigned served;

	(void)ranked_members(relay);
	served = members_sum(relay, sums, now);
	if (relay->members->len == 0)
		return (NULL);
	loads_set(relay, sums);
	relay->own = (struct relay_summary){
	    .datacentre = (char *)relay->datacentre,
	    .served = served,
	    .relay = relay->hash,
	    .members = (uint32_t *)(void *)relay->members->data,
	    .member_len = relay->members->len,
	    .loads = (struct place_load *)(void *)relay->loads->data,
	    .load_len = relay->loads->len,
	};
	return (&relay->own);
}

/* The interned name of a data centre; nil: it has no member. */
static const char *
datacentre_find(const struct relay *relay, const char *name)
{
	for (guint i = 0; i < relay->ranked->len; i++) {
		const struct member *member = relay->ranked->pdata[i];

		if (strcmp(member->datacentre, name) == 0)
			return (member->datacentre);
	}
	return (NULL);
}

/* Whether a summary made then replaces the one that is known. */
static bool
is_summary_better(
    const struct other *other, const struct relay_summary *summary, clk_ms made)
{
	if (made < other->made)
		return (false);
	return (summary->relay == other->summary.relay ||
	    summary->member_len >= other->summary.member_len ||
	    made - other->made >= RELAY_DOWN_MS);
}

bool
relay_summary_merge(
    struct relay *relay, const struct relay_summary *summary, clk_ms now)
{
	const char *datacentre = datacentre_find(relay, summary->datacentre);
	clk_ms made = now - (clk_ms)summary->age;
	struct other *other = g_hash_table_lookup(relay->others, datacentre);

	if (datacentre == NULL)
		return (false);
	if (other != NULL && !is_summary_better(other, summary, made))
		return (false);
	other = g_new0(struct other, 1);
	other->made = made;
	other->summary = *summary;
	other->summary.datacentre = (char *)datacentre;
	other->summary.members = g_memdup2(
	    summary->members, summary->member_len * sizeof(*summary->members));
	other->summary.loads = g_memdup2(
	    summary->loads, summary->load_len * sizeof(*summary->loads));
	(void)g_hash_table_replace(relay->others, (void *)datacentre, other);
	return (true);
}

GArray *
relay_summaries(struct relay *relay, clk_ms now)
{
	GArray *summaries =
	    g_array_new(FALSE, FALSE, sizeof(struct relay_summary));
	GHashTableIter iter;
	void *value;

	relay->is_passed_on = !relay->is_passed_on;
	if (!relay->is_passed_on)
		return (summaries);
	g_hash_table_iter_init(&iter, relay->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct other *other = value;
		struct relay_summary summary = other->summary;

		if (now - other->made >= SUMMARY_MS ||
		    other->summary.datacentre == relay->datacentre ||
		    summaries->len == RELAY_SUMMARIES_MAX)
			continue;
		summary.age = (uint32_t)(now - other->made);
		g_array_append_val(summaries, summary);
	}
	return (summaries);
}
