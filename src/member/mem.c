#include "member/mem.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "plog/plg.h"

#define DEFAULT_HEARTBEAT_MS	   250
#define DEFAULT_HEARTBEAT_OTHER_MS CLK_SECOND
#define DEFAULT_SUSPICION_MS	   CLK_SECOND
#define DEFAULT_SUSPICION_OTHER_MS (4 * CLK_SECOND)
#define DEFAULT_PEERS_OTHER	   2
#define MAX_DATACENTRES		   64
#define MAX_WATCHED		   4096
#define SUSPECTED_INTERVAL_FACTOR  4

struct session {
	struct mem_info info;
	bool is_peer; /* one of the peers_other of another data centre */
	bool watched;
	bool listed; /* has been on the member list */
	bool leaving;
	clk_ms delisted_at; /* first member list without it; -1: none */
	/* The first heartbeat sent since the last answer; -1: none. */
	clk_ms unanswered_since;
	/* The first of those on a new connection; -1: none. */
	clk_ms new_connection_at;
};

struct mem {
	struct mem_settings settings;
	struct mem_identity self;
	GHashTable *table; /* uint64_t -> struct session */
	GPtrArray *list; /* the same, in the order of insertion */
	uint64_t generation;
	clk_ms updated_at;
	size_t cursor;
	bool peers_stale;
};

static uint64_t
hash_mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

static clk_ms
value_or_default(clk_ms value, clk_ms otherwise)
{
	return (value > 0 ? value : otherwise);
}

struct mem *
mem_open(const struct mem_settings *settings, const struct mem_identity *self)
{
	struct mem *mem = g_new0(struct mem, 1);
	struct mem_settings *s = &mem->settings;

	*s = *settings;
	s->heartbeat_ms =
	    value_or_default(s->heartbeat_ms, DEFAULT_HEARTBEAT_MS);
	s->heartbeat_other_ms =
	    value_or_default(s->heartbeat_other_ms, DEFAULT_HEARTBEAT_OTHER_MS);
	s->suspicion_ms =
	    value_or_default(s->suspicion_ms, DEFAULT_SUSPICION_MS);
	s->suspicion_other_ms =
	    value_or_default(s->suspicion_other_ms, DEFAULT_SUSPICION_OTHER_MS);
	if (s->peers_other == 0)
		s->peers_other = DEFAULT_PEERS_OTHER;
	mem->self = *self;
	mem->table =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	mem->list = g_ptr_array_new();
	mem->generation = 1;
	mem->updated_at = -1;
	return (mem);
}

void
mem_close(struct mem *mem)
{
	if (mem == NULL)
		return;
	g_ptr_array_free(mem->list, TRUE);
	g_hash_table_destroy(mem->table);
	g_free(mem);
}

json_t *
mem_record_open(const struct mem_identity *self)
{
	char session[PLG_SESSION_SIZE];

	return (
	    json_pack("{s:s, s:s, s:s, s:i, s:s, s:f}", "kind", "session_open",
		"session", plg_session_format(session, self->session),
		"instance", self->instance, "datacentre", (int)self->datacentre,
		"address", self->address, "weight", self->weight));
}

static bool
string_copy(char *to, size_t size, const json_t *value)
{
	const char *text = json_string_value(value);

	if (text == NULL || text[0] == '\0' || strlen(text) >= size)
		return (false);
	(void)g_strlcpy(to, text, size);
	return (true);
}

bool
mem_identity_decode(const json_t *record, struct mem_identity *identity)
{
	const json_t *datacentre = json_object_get(record, "datacentre");
	const json_t *weight = json_object_get(record, "weight");

	memset(identity, 0, sizeof(*identity));
	if (!plg_session_parse(
		json_string_value(json_object_get(record, "session")),
		&identity->session) ||
	    !string_copy(identity->instance, sizeof(identity->instance),
		json_object_get(record, "instance")) ||
	    !string_copy(identity->address, sizeof(identity->address),
		json_object_get(record, "address")))
		return (false);
	if (!json_is_integer(datacentre) || !json_is_number(weight))
		return (false);
	if (json_integer_value(datacentre) < 0 ||
	    json_integer_value(datacentre) >= MAX_DATACENTRES)
		return (false);
	identity->datacentre = (unsigned)json_integer_value(datacentre);
	identity->weight = json_number_value(weight);
	return (identity->weight > 0.0 && identity->weight <= 1e6);
}

static struct session *
session_find(const struct mem *mem, uint64_t session)
{
	return (g_hash_table_lookup(mem->table, &session));
}

static bool
is_rankable(const struct session *s)
{
	return (s->info.state == MEM_LIVE && !s->info.report.draining &&
	    !s->leaving);
}

static void
set_state(struct mem *mem, struct session *s, enum mem_state state, clk_ms now)
{
	if (s->info.state == state)
		return;
	s->info.state = state;
	s->info.state_since = now;
	mem->generation++;
	mem->peers_stale = true;
}

static void
mark_replaced(struct mem *mem, const struct mem_identity *identity, clk_ms now)
{
	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		if (s->info.self ||
		    strcmp(s->info.identity.instance, identity->instance) != 0)
			continue;
		set_state(mem, s, MEM_REPLACED, now);
	}
}

void
mem_session_add(
    struct mem *mem, const struct mem_identity *identity, clk_ms now)
{
	struct session *s;

	if (session_find(mem, identity->session) != NULL ||
	    mem->list->len >= MEM_MAX_SESSIONS)
		return;
	mark_replaced(mem, identity, now);
	s = g_new0(struct session, 1);
	s->info.identity = *identity;
	s->info.self = identity->session == mem->self.session;
	s->info.state_since = now;
	s->info.answered_at = -1;
	s->info.sent_at = -1;
	s->delisted_at = -1;
	s->unanswered_since = -1;
	s->new_connection_at = -1;
	(void)g_hash_table_insert(mem->table, &s->info.identity.session, s);
	g_ptr_array_add(mem->list, s);
	set_state(mem, s, MEM_LIVE, now);
}

void
mem_session_remove(struct mem *mem, uint64_t session, clk_ms now)
{
	struct session *s = session_find(mem, session);

	(void)now;
	if (s == NULL)
		return;
	(void)g_ptr_array_remove(mem->list, s);
	(void)g_hash_table_remove(mem->table, &session);
	mem->generation++;
	mem->peers_stale = true;
}

void
mem_apply(struct mem *mem, const json_t *record, clk_ms now)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	struct mem_identity identity;
	uint64_t closes;

	if (kind == NULL)
		return;
	if (strcmp(kind, "session_open") == 0) {
		if (mem_identity_decode(record, &identity))
			mem_session_add(mem, &identity, now);
	} else if (strcmp(kind, "session_close") == 0) {
		if (plg_session_parse(
			json_string_value(json_object_get(record, "closes")),
			&closes))
			mem_session_remove(mem, closes, now);
	}
}

/* Smaller is better.  u is uniform in (0, 1), so by -log(u)/weight each session
 * ranks first with a probability in proportion to its weight. */
static double
rank_score(const struct session *s, uint64_t key)
{
	uint64_t h = hash_mix(s->info.identity.session ^ hash_mix(key));
	double u = ((double)(h >> 11) + 0.5) / 9007199254740992.0;

	return (-log(u) / s->info.identity.weight);
}

struct ranked {
	double score;
	uint64_t session;
};

static bool
is_better(const struct ranked *a, const struct ranked *b)
{
	return (a->score < b->score ||
	    (a->score == b->score && a->session < b->session));
}

#define MAX_RANKED 64

/* Insert an entry into the sorted list of the best max. */
static size_t
ranked_insert(struct ranked *best, size_t n, size_t max, struct ranked entry)
{
	size_t at = n;

	while (at > 0 && is_better(&entry, &best[at - 1]))
		at--;
	if (at >= max)
		return (n);
	if (n < max)
		n++;
	memmove(&best[at + 1], &best[at], (n - at - 1) * sizeof(*best));
	best[at] = entry;
	return (n);
}

size_t
mem_rank(const struct mem *mem, unsigned datacentre, unsigned shard,
    bool within, uint64_t *sessions, size_t max)
{
	struct ranked best[MAX_RANKED];
	uint64_t key = (uint64_t)datacentre << 32 | shard;
	size_t n = 0;

	max = MIN(max, MAX_RANKED);
	if (max == 0)
		return (0);
	for (unsigned i = 0; i < mem->list->len; i++) {
		const struct session *s = g_ptr_array_index(mem->list, i);

		if (!is_rankable(s) ||
		    (s->info.identity.datacentre == datacentre) != within)
			continue;
		n = ranked_insert(best, n, max,
		    (struct ranked){
			rank_score(s, key), s->info.identity.session});
	}
	for (size_t i = 0; i < n; i++)
		sessions[i] = best[i].session;
	return (n);
}

/*
 * Choose the sessions of one other data centre that get heartbeats.  The key
 * is this session, so that instances choose different peers.
 */
static void
choose_datacentre_peers(struct mem *mem, unsigned datacentre)
{
	struct ranked best[MAX_RANKED];
	size_t n = 0;
	size_t max = MIN(mem->settings.peers_other, MAX_RANKED);

	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		if (s->info.identity.datacentre != datacentre)
			continue;
		s->is_peer = false;
		if (s->info.state == MEM_LIVE)
			n = ranked_insert(best, n, max,
			    (struct ranked){rank_score(s, mem->self.session),
				s->info.identity.session});
	}
	for (size_t i = 0; i < n; i++)
		session_find(mem, best[i].session)->is_peer = true;
}

static void
choose_peers(struct mem *mem)
{
	bool seen[MAX_DATACENTRES] = {false};

	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		seen[s->info.identity.datacentre] = true;
	}
	for (unsigned d = 0; d < MAX_DATACENTRES; d++) {
		if (seen[d] && d != mem->self.datacentre)
			choose_datacentre_peers(mem, d);
	}
	mem->peers_stale = false;
}

static bool
is_local(const struct mem *mem, const struct session *s)
{
	return (s->info.identity.datacentre == mem->self.datacentre);
}

static clk_ms
suspicion_timeout(const struct mem *mem, const struct session *s)
{
	return (is_local(mem, s) ? mem->settings.suspicion_ms
				 : mem->settings.suspicion_other_ms);
}

static clk_ms
heartbeat_interval(const struct mem *mem, const struct session *s)
{
	return (is_local(mem, s) ? mem->settings.heartbeat_ms
				 : mem->settings.heartbeat_other_ms);
}

static bool
is_unresponsive(const struct mem *mem, const struct session *s, clk_ms now)
{
	clk_ms limit = suspicion_timeout(mem, s);

	if (s->delisted_at > s->info.answered_at &&
	    now - s->delisted_at >= 2 * heartbeat_interval(mem, s))
		return (true);
	return (s->unanswered_since >= 0 &&
	    now - s->unanswered_since >= limit && s->new_connection_at >= 0 &&
	    now - s->new_connection_at >= limit / 2);
}

void
mem_update(struct mem *mem, clk_ms now)
{
	bool paused = mem->updated_at >= 0 &&
	    now - mem->updated_at > mem->settings.suspicion_ms / 2;

	mem->updated_at = now;
	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		/* After a pause, answers may not have been read yet. */
		if (paused && s->unanswered_since >= 0) {
			s->unanswered_since = now;
			s->new_connection_at = -1;
		}
		if (s->info.self)
			continue;
		if (s->info.state == MEM_LIVE && is_unresponsive(mem, s, now))
			set_state(mem, s, MEM_SUSPECTED, now);
	}
	if (mem->peers_stale)
		choose_peers(mem);
}

static bool
heartbeat_is_due(const struct mem *mem, const struct session *s, clk_ms now)
{
	clk_ms wait = heartbeat_interval(mem, s);

	if (s->info.self)
		return (false);
	if (s->info.state != MEM_LIVE) {
		/* Detects a session that answers again. */
		if (!is_local(mem, s) && !s->is_peer && !s->watched)
			wait *= SUSPECTED_INTERVAL_FACTOR;
	} else if (!is_local(mem, s) && !s->is_peer && !s->watched) {
		return (false);
	}
	return (s->info.sent_at < 0 || now - s->info.sent_at >= wait);
}

size_t
mem_heartbeats(struct mem *mem, clk_ms now, struct mem_ping *pings, size_t max)
{
	size_t n = 0;
	unsigned len = mem->list->len;

	mem_update(mem, now);
	for (unsigned i = 0; i < len && n < max; i++) {
		struct session *s =
		    g_ptr_array_index(mem->list, (mem->cursor + i) % len);

		if (!heartbeat_is_due(mem, s, now))
			continue;
		if (s->unanswered_since < 0)
			s->unanswered_since = now;
		pings[n].session = s->info.identity.session;
		pings[n].address = s->info.identity.address;
		pings[n].new_connection =
		    now - s->unanswered_since >= suspicion_timeout(mem, s) / 2;
		if (pings[n].new_connection && s->new_connection_at < 0)
			s->new_connection_at = now;
		s->info.sent_at = now;
		n++;
		if (n == max)
			mem->cursor = (mem->cursor + i + 1) % len;
	}
	return (n);
}

void
mem_heard(struct mem *mem, uint64_t session, bool answered,
    const struct mem_report *report, clk_ms now)
{
	struct session *s = session_find(mem, session);

	if (s == NULL)
		return;
	if (report != NULL) {
		if (report->draining != s->info.report.draining)
			mem->generation++;
		s->info.report = *report;
	}
	if (!answered)
		return;
	s->info.answered_at = now;
	s->unanswered_since = -1;
	s->new_connection_at = -1;
	set_state(mem, s, MEM_LIVE, now);
}

static void
session_apply_listing(struct mem *mem, struct session *s,
    const struct mem_member *member, clk_ms now)
{
	bool leaving = member != NULL && member->listed == MEM_LISTED_LEAVING;

	if (member != NULL) {
		s->listed = true;
		s->delisted_at = -1;
	} else if (s->listed && s->delisted_at < 0) {
		s->delisted_at = now;
	}
	if (leaving != s->leaving) {
		s->leaving = leaving;
		mem->generation++;
	}
}

void
mem_member_list(
    struct mem *mem, const struct mem_member *members, size_t n, clk_ms now)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < n; i++)
		(void)g_hash_table_insert(by_name,
		    (gpointer)members[i].instance, (gpointer)&members[i]);
	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		session_apply_listing(mem, s,
		    g_hash_table_lookup(by_name, s->info.identity.instance),
		    now);
	}
	g_hash_table_destroy(by_name);
}

void
mem_watch(struct mem *mem, const uint64_t *sessions, size_t n)
{
	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		s->watched = false;
	}
	for (size_t i = 0; i < n && i < MAX_WATCHED; i++) {
		struct session *s = session_find(mem, sessions[i]);

		if (s != NULL)
			s->watched = true;
	}
}

uint64_t
mem_generation(const struct mem *mem)
{
	return (mem->generation);
}

enum mem_state
mem_state(const struct mem *mem, uint64_t session)
{
	const struct session *s = session_find(mem, session);

	return (s != NULL ? s->info.state : MEM_UNKNOWN);
}

bool
mem_info(const struct mem *mem, uint64_t session, struct mem_info *info)
{
	const struct session *s = session_find(mem, session);

	if (s == NULL)
		return (false);
	*info = s->info;
	return (true);
}

size_t
mem_list(const struct mem *mem, struct mem_info *infos, size_t max)
{
	for (unsigned i = 0; i < mem->list->len && i < max; i++)
		infos[i] =
		    ((struct session *)g_ptr_array_index(mem->list, i))->info;
	return (mem->list->len);
}
