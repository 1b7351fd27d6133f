#include "member/member.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "plog/plog.h"

#define DEFAULT_HEARTBEAT_MS	   250
#define DEFAULT_HEARTBEAT_OTHER_MS CLK_SECOND
#define DEFAULT_SUSPICION_MS	   CLK_SECOND
#define DEFAULT_SUSPICION_OTHER_MS (4 * CLK_SECOND)
#define DEFAULT_PEERS_OTHER	   2
#define MAX_DATACENTRES		   64
#define MAX_WATCHED		   4096
/* Lengthens the heartbeat interval to suspected sessions of other data centres
 * that are neither peers nor watched. */
#define SUSPECTED_INTERVAL_FACTOR 4

struct session {
	struct member_info info;
	bool is_peer; /* one of the peers_other of another data centre */
	bool watched;
	bool listed; /* has been on the member list */
	bool leaving;
	clk_ms delisted_at; /* first member list without it; -1: none */
	/* The first heartbeat sent since the last answer; -1: none. */
	clk_ms unanswered_since;
	/* The first of these also sent on a new connection; -1: none. */
	clk_ms new_connection_at;
};

struct member_table {
	struct member_settings settings;
	struct member_identity self;
	GHashTable *table; /* uint64_t -> struct session */
	GPtrArray *list; /* the same, in the order of insertion */
	uint64_t generation;
	clk_ms updated_at;
	size_t cursor; /* session at which member_heartbeats_due() starts */
	bool peers_stale; /* choose_peers() must run again */
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

struct member_table *
member_table_open(
    const struct member_settings *settings, const struct member_identity *self)
{
	struct member_table *members = g_new0(struct member_table, 1);
	struct member_settings *s = &members->settings;

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
	members->self = *self;
	members->table =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	members->list = g_ptr_array_new();
	members->generation = 1;
	members->updated_at = -1;
	return (members);
}

void
member_table_close(struct member_table *members)
{
	if (members == NULL)
		return;
	g_ptr_array_free(members->list, TRUE);
	g_hash_table_destroy(members->table);
	g_free(members);
}

json_t *
member_session_open_record(const struct member_identity *self)
{
	char session[PLOG_SESSION_SIZE];

	return (
	    json_pack("{s:s, s:s, s:s, s:i, s:s, s:f}", "kind", "session_open",
		"session", plog_session_format(session, self->session),
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
member_identity_decode(const json_t *record, struct member_identity *identity)
{
	const json_t *datacentre = json_object_get(record, "datacentre");
	const json_t *weight = json_object_get(record, "weight");

	memset(identity, 0, sizeof(*identity));
	if (!plog_session_parse(
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
session_find(const struct member_table *members, uint64_t session)
{
	return (g_hash_table_lookup(members->table, &session));
}

static bool
is_rankable(const struct session *s)
{
	return (s->info.state == MEMBER_LIVE && !s->info.report.draining &&
	    !s->leaving);
}

static void
set_state(struct member_table *members, struct session *s,
    enum member_state state, clk_ms now)
{
	if (s->info.state == state)
		return;
	s->info.state = state;
	s->info.state_since = now;
	members->generation++;
	members->peers_stale = true;
}

static void
mark_replaced(struct member_table *members,
    const struct member_identity *identity, clk_ms now)
{
	for (unsigned i = 0; i < members->list->len; i++) {
		struct session *s = g_ptr_array_index(members->list, i);

		if (s->info.self ||
		    strcmp(s->info.identity.instance, identity->instance) != 0)
			continue;
		set_state(members, s, MEMBER_REPLACED, now);
	}
}

void
member_session_add(struct member_table *members,
    const struct member_identity *identity, clk_ms now)
{
	struct session *s;

	if (session_find(members, identity->session) != NULL ||
	    members->list->len >= MEMBER_MAX_SESSIONS)
		return;
	mark_replaced(members, identity, now);
	s = g_new0(struct session, 1);
	s->info.identity = *identity;
	s->info.self = identity->session == members->self.session;
	s->info.state_since = now;
	s->info.answered_at = -1;
	s->info.sent_at = -1;
	s->delisted_at = -1;
	s->unanswered_since = -1;
	s->new_connection_at = -1;
	(void)g_hash_table_insert(members->table, &s->info.identity.session, s);
	g_ptr_array_add(members->list, s);
	set_state(members, s, MEMBER_LIVE, now);
}

void
member_session_remove(
    struct member_table *members, uint64_t session, clk_ms now)
{
	struct session *s = session_find(members, session);

	(void)now;
	if (s == NULL)
		return;
	(void)g_ptr_array_remove(members->list, s);
	(void)g_hash_table_remove(members->table, &session);
	members->generation++;
	members->peers_stale = true;
}

void
member_apply(struct member_table *members, const json_t *record, clk_ms now)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	struct member_identity identity;
	uint64_t closes;

	if (kind == NULL)
		return;
	if (strcmp(kind, "session_open") == 0) {
		if (member_identity_decode(record, &identity))
			member_session_add(members, &identity, now);
	} else if (strcmp(kind, "session_close") == 0) {
		if (plog_session_parse(
			json_string_value(json_object_get(record, "closes")),
			&closes))
			member_session_remove(members, closes, now);
	}
}

/* Smaller is better.  u is uniform in (0, 1), so by -log(u)/weight each session
 * ranks first with a probability in proportion to its weight. */
static double
rank_score(const struct session *s, uint64_t key)
{
	uint64_t h = hash_mix(s->info.identity.session ^ hash_mix(key));
	double u = ((double)(h >> 11) + 0.5) / 9007199254740992.0; /* 2^53 */

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

#define MAX_RANKED 64 /* sessions in a ranking */

/* Insert an entry into the sorted list of the best max entries, if it is one
 * of them.  Returns the new length. */
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
member_rank(const struct member_table *members, unsigned datacentre,
    unsigned shard, bool within, uint64_t *sessions, size_t max)
{
	struct ranked best[MAX_RANKED];
	uint64_t key = (uint64_t)datacentre << 32 | shard;
	size_t n = 0;

	max = MIN(max, MAX_RANKED);
	if (max == 0)
		return (0);
	for (unsigned i = 0; i < members->list->len; i++) {
		const struct session *s = g_ptr_array_index(members->list, i);

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
choose_datacentre_peers(struct member_table *members, unsigned datacentre)
{
	struct ranked best[MAX_RANKED];
	size_t n = 0;
	size_t max = MIN(members->settings.peers_other, MAX_RANKED);

	for (unsigned i = 0; i < members->list->len; i++) {
		struct session *s = g_ptr_array_index(members->list, i);

		if (s->info.identity.datacentre != datacentre)
			continue;
		s->is_peer = false;
		if (s->info.state == MEMBER_LIVE)
			n = ranked_insert(best, n, max,
			    (struct ranked){
				rank_score(s, members->self.session),
				s->info.identity.session});
	}
	for (size_t i = 0; i < n; i++)
		session_find(members, best[i].session)->is_peer = true;
}

static void
choose_peers(struct member_table *members)
{
	bool seen[MAX_DATACENTRES] = {false};

	for (unsigned i = 0; i < members->list->len; i++) {
		struct session *s = g_ptr_array_index(members->list, i);

		seen[s->info.identity.datacentre] = true;
	}
	for (unsigned d = 0; d < MAX_DATACENTRES; d++) {
		if (seen[d] && d != members->self.datacentre)
			choose_datacentre_peers(members, d);
	}
	members->peers_stale = false;
}

static bool
is_local(const struct member_table *members, const struct session *s)
{
	return (s->info.identity.datacentre == members->self.datacentre);
}

static clk_ms
suspicion_timeout(const struct member_table *members, const struct session *s)
{
	return (is_local(members, s) ? members->settings.suspicion_ms
				     : members->settings.suspicion_other_ms);
}

static clk_ms
heartbeat_interval(const struct member_table *members, const struct session *s)
{
	return (is_local(members, s) ? members->settings.heartbeat_ms
				     : members->settings.heartbeat_other_ms);
}

static bool
is_unresponsive(
    const struct member_table *members, const struct session *s, clk_ms now)
{
	clk_ms limit = suspicion_timeout(members, s);

	if (s->delisted_at > s->info.answered_at &&
	    now - s->delisted_at >= 2 * heartbeat_interval(members, s))
		return (true);
	return (s->unanswered_since >= 0 &&
	    now - s->unanswered_since >= limit && s->new_connection_at >= 0 &&
	    now - s->new_connection_at >= limit / 2);
}

void
member_update(struct member_table *members, clk_ms now)
{
	bool paused = members->updated_at >= 0 &&
	    now - members->updated_at > members->settings.suspicion_ms / 2;

	members->updated_at = now;
	for (unsigned i = 0; i < members->list->len; i++) {
		struct session *s = g_ptr_array_index(members->list, i);

		/* During a pause, answers may have arrived unread. */
		if (paused && s->unanswered_since >= 0) {
			s->unanswered_since = now;
			s->new_connection_at = -1;
		}
		if (s->info.self)
			continue;
		if (s->info.state == MEMBER_LIVE &&
		    is_unresponsive(members, s, now))
			set_state(members, s, MEMBER_SUSPECTED, now);
	}
	if (members->peers_stale)
		choose_peers(members);
}

static bool
heartbeat_is_due(
    const struct member_table *members, const struct session *s, clk_ms now)
{
	clk_ms wait = heartbeat_interval(members, s);

	if (s->info.self)
		return (false);
	if (s->info.state != MEMBER_LIVE) {
		/* Detects a session that answers again. */
		if (!is_local(members, s) && !s->is_peer && !s->watched)
			wait *= SUSPECTED_INTERVAL_FACTOR;
	} else if (!is_local(members, s) && !s->is_peer && !s->watched) {
		return (false);
	}
	return (s->info.sent_at < 0 || now - s->info.sent_at >= wait);
}

size_t
member_heartbeats_due(struct member_table *members, clk_ms now,
    struct member_heartbeat *heartbeats, size_t max)
{
	size_t n = 0;
	unsigned len = members->list->len;

	member_update(members, now);
	for (unsigned i = 0; i < len && n < max; i++) {
		struct session *s = g_ptr_array_index(
		    members->list, (members->cursor + i) % len);

		if (!heartbeat_is_due(members, s, now))
			continue;
		if (s->unanswered_since < 0)
			s->unanswered_since = now;
		heartbeats[n].session = s->info.identity.session;
		heartbeats[n].address = s->info.identity.address;
		heartbeats[n].new_connection = now - s->unanswered_since >=
		    suspicion_timeout(members, s) / 2;
		if (heartbeats[n].new_connection && s->new_connection_at < 0)
			s->new_connection_at = now;
		s->info.sent_at = now;
		n++;
		if (n == max)
			members->cursor = (members->cursor + i + 1) % len;
	}
	return (n);
}

void
member_heartbeat_received(struct member_table *members, uint64_t session,
    bool answered, const struct member_report *report, clk_ms now)
{
	struct session *s = session_find(members, session);

	if (s == NULL)
		return;
	if (report != NULL) {
		if (report->draining != s->info.report.draining)
			members->generation++;
		s->info.report = *report;
	}
	if (!answered)
		return;
	s->info.answered_at = now;
	s->unanswered_since = -1;
	s->new_connection_at = -1;
	set_state(members, s, MEMBER_LIVE, now);
}

static void
session_apply_listing(struct member_table *members, struct session *s,
    const struct member_list_entry *entry, clk_ms now)
{
	bool leaving = entry != NULL && entry->listed == MEMBER_LISTED_LEAVING;

	if (entry != NULL) {
		s->listed = true;
		s->delisted_at = -1;
	} else if (s->listed && s->delisted_at < 0) {
		s->delisted_at = now;
	}
	if (leaving != s->leaving) {
		s->leaving = leaving;
		members->generation++;
	}
}

void
member_list_apply(struct member_table *members,
    const struct member_list_entry *entries, size_t n, clk_ms now)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < n; i++)
		(void)g_hash_table_insert(by_name,
		    (gpointer)entries[i].instance, (gpointer)&entries[i]);
	for (unsigned i = 0; i < members->list->len; i++) {
		struct session *s = g_ptr_array_index(members->list, i);

		session_apply_listing(members, s,
		    g_hash_table_lookup(by_name, s->info.identity.instance),
		    now);
	}
	g_hash_table_destroy(by_name);
}

void
member_watch_set(
    struct member_table *members, const uint64_t *sessions, size_t n)
{
	for (unsigned i = 0; i < members->list->len; i++) {
		struct session *s = g_ptr_array_index(members->list, i);

		s->watched = false;
	}
	for (size_t i = 0; i < n && i < MAX_WATCHED; i++) {
		struct session *s = session_find(members, sessions[i]);

		if (s != NULL)
			s->watched = true;
	}
}

uint64_t
member_generation(const struct member_table *members)
{
	return (members->generation);
}

enum member_state
member_state_get(const struct member_table *members, uint64_t session)
{
	const struct session *s = session_find(members, session);

	return (s != NULL ? s->info.state : MEMBER_UNKNOWN);
}

bool
member_info_get(const struct member_table *members, uint64_t session,
    struct member_info *info)
{
	const struct session *s = session_find(members, session);

	if (s == NULL)
		return (false);
	*info = s->info;
	return (true);
}

size_t
member_info_list(
    const struct member_table *members, struct member_info *infos, size_t max)
{
	for (unsigned i = 0; i < members->list->len && i < max; i++)
		infos[i] =
		    ((struct session *)g_ptr_array_index(members->list, i))
			->info;
	return (members->list->len);
}
