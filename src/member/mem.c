#include "member/mem.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "plog/plg.h"

#define HEARTBEAT	      250
#define HEARTBEAT_OTHER	      CLK_SECOND
#define SUSPICION	      CLK_SECOND
#define SUSPICION_OTHER	      (4 * CLK_SECOND)
#define PEERS_OTHER	      2
#define MAX_DATACENTRES	      64
#define MAX_WATCHED	      4096
#define SUSPECTED_PING_FACTOR 4

struct session {
	struct mem_info info;
	bool peer; /* of another data centre, one of peers_other */
	bool watched;
	bool listed; /* was on the member list once */
	bool leaving;
	clk_ms gone_at; /* when the member list had lost it; -1: it has not */
	clk_ms
	    unanswered_since; /* first heartbeat sent since the last answer */
	clk_ms new_sent_at; /* first of them on a new connection */
};

struct mem {
	struct mem_settings settings;
	struct mem_identity self;
	GHashTable *table; /* uint64_t -> struct session */
	GPtrArray *list; /* the same, in the order of their opening */
	uint64_t generation;
	clk_ms called_at;
	size_t cursor;
	bool peers_stale;
};

static uint64_t
mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

static clk_ms
or_default(clk_ms value, clk_ms otherwise)
{
	return (value > 0 ? value : otherwise);
}

struct mem *
mem_open(const struct mem_settings *settings, const struct mem_identity *self)
{
	struct mem *mem = g_new0(struct mem, 1);
	struct mem_settings *s = &mem->settings;

	*s = *settings;
	s->heartbeat_ms = or_default(s->heartbeat_ms, HEARTBEAT);
	s->heartbeat_other_ms =
	    or_default(s->heartbeat_other_ms, HEARTBEAT_OTHER);
	s->suspicion_ms = or_default(s->suspicion_ms, SUSPICION);
	s->suspicion_other_ms =
	    or_default(s->suspicion_other_ms, SUSPICION_OTHER);
	if (s->peers_other == 0)
		s->peers_other = PEERS_OTHER;
	mem->self = *self;
	mem->table =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	mem->list = g_ptr_array_new();
	mem->generation = 1;
	mem->called_at = -1;
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
copy_text(char *to, size_t size, const json_t *value)
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
	    !copy_text(identity->instance, sizeof(identity->instance),
		json_object_get(record, "instance")) ||
	    !copy_text(identity->address, sizeof(identity->address),
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
find(const struct mem *mem, uint64_t session)
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
replace_older(struct mem *mem, const struct mem_identity *identity, clk_ms now)
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

	if (find(mem, identity->session) != NULL ||
	    mem->list->len >= MEM_MAX_SESSIONS)
		return;
	replace_older(mem, identity, now);
	s = g_new0(struct session, 1);
	s->info.identity = *identity;
	s->info.self = identity->session == mem->self.session;
	s->info.state_since = now;
	s->info.answered_at = -1;
	s->info.sent_at = -1;
	s->gone_at = -1;
	s->unanswered_since = -1;
	s->new_sent_at = -1;
	(void)g_hash_table_insert(mem->table, &s->info.identity.session, s);
	g_ptr_array_add(mem->list, s);
	set_state(mem, s, MEM_LIVE, now);
}

void
mem_session_remove(struct mem *mem, uint64_t session, clk_ms now)
{
	struct session *s = find(mem, session);

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

/* Smaller is better.  u is uniform in (0, 1), so -log(u)/weight draws each
 * session in proportion to its weight. */
static double
score(const struct session *s, uint64_t key)
{
	uint64_t h = mix(s->info.identity.session ^ mix(key));
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

#define RANK_MAX 64

/* Insert into the best max entries; max is small. */
static size_t
insert(struct ranked *best, size_t n, size_t max, struct ranked entry)
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
	struct ranked best[RANK_MAX];
	uint64_t key = (uint64_t)datacentre << 32 | shard;
	size_t n = 0;

	max = MIN(max, RANK_MAX);
	if (max == 0)
		return (0);
	for (unsigned i = 0; i < mem->list->len; i++) {
		const struct session *s = g_ptr_array_index(mem->list, i);

		if (!is_rankable(s) ||
		    (s->info.identity.datacentre == datacentre) != within)
			continue;
		n = insert(best, n, max,
		    (struct ranked){score(s, key), s->info.identity.session});
	}
	for (size_t i = 0; i < n; i++)
		sessions[i] = best[i].session;
	return (n);
}

/*
 * Choose the sessions of one other data centre that get heartbeats, by a
 * ranking that differs between instances, so that the load spreads.
 */
static void
choose_peers_of(struct mem *mem, unsigned datacentre)
{
	struct ranked best[RANK_MAX];
	size_t n = 0;
	size_t max = MIN(mem->settings.peers_other, RANK_MAX);

	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		if (s->info.identity.datacentre != datacentre)
			continue;
		s->peer = false;
		if (s->info.state == MEM_LIVE)
			n = insert(best, n, max,
			    (struct ranked){score(s, mem->self.session),
				s->info.identity.session});
	}
	for (size_t i = 0; i < n; i++)
		find(mem, best[i].session)->peer = true;
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
			choose_peers_of(mem, d);
	}
	mem->peers_stale = false;
}

static bool
is_near(const struct mem *mem, const struct session *s)
{
	return (s->info.identity.datacentre == mem->self.datacentre);
}

static clk_ms
suspicion(const struct mem *mem, const struct session *s)
{
	return (is_near(mem, s) ? mem->settings.suspicion_ms
				: mem->settings.suspicion_other_ms);
}

static clk_ms
interval(const struct mem *mem, const struct session *s)
{
	return (is_near(mem, s) ? mem->settings.heartbeat_ms
				: mem->settings.heartbeat_other_ms);
}

static bool
is_silent(const struct mem *mem, const struct session *s, clk_ms now)
{
	clk_ms limit = suspicion(mem, s);

	if (s->gone_at > s->info.answered_at &&
	    now - s->gone_at >= 2 * interval(mem, s))
		return (true);
	return (s->unanswered_since >= 0 &&
	    now - s->unanswered_since >= limit && s->new_sent_at >= 0 &&
	    now - s->new_sent_at >= limit / 2);
}

void
mem_update(struct mem *mem, clk_ms now)
{
	bool paused = mem->called_at >= 0 &&
	    now - mem->called_at > mem->settings.suspicion_ms / 2;

	mem->called_at = now;
	for (unsigned i = 0; i < mem->list->len; i++) {
		struct session *s = g_ptr_array_index(mem->list, i);

		/* Answers may be waiting unread after a pause. */
		if (paused && s->unanswered_since >= 0) {
			s->unanswered_since = now;
			s->new_sent_at = -1;
		}
		if (s->info.self)
			continue;
		if (s->info.state == MEM_LIVE && is_silent(mem, s, now))
			set_state(mem, s, MEM_SUSPECTED, now);
	}
	if (mem->peers_stale)
		choose_peers(mem);
}

static bool
is_due(const struct mem *mem, const struct session *s, clk_ms now)
{
	clk_ms wait = interval(mem, s);

	if (s->info.self)
		return (false);
	if (s->info.state != MEM_LIVE) {
		/* So that a session that comes back is noticed. */
		if (!is_near(mem, s) && !s->peer && !s->watched)
			wait *= SUSPECTED_PING_FACTOR;
	} else if (!is_near(mem, s) && !s->peer && !s->watched) {
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

		if (!is_due(mem, s, now))
			continue;
		if (s->unanswered_since < 0)
			s->unanswered_since = now;
		pings[n].session = s->info.identity.session;
		pings[n].address = s->info.identity.address;
		pings[n].new_connection =
		    now - s->unanswered_since >= suspicion(mem, s) / 2;
		if (pings[n].new_connection && s->new_sent_at < 0)
			s->new_sent_at = now;
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
	struct session *s = find(mem, session);

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
	s->new_sent_at = -1;
	set_state(mem, s, MEM_LIVE, now);
}

static void
apply_listed(struct mem *mem, struct session *s,
    const struct mem_member *member, clk_ms now)
{
	bool leaving = member != NULL && member->listed == MEM_LISTED_LEAVING;

	if (member != NULL) {
		s->listed = true;
		s->gone_at = -1;
	} else if (s->listed && s->gone_at < 0) {
		s->gone_at = now;
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

		apply_listed(mem, s,
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
		struct session *s = find(mem, sessions[i]);

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
	const struct session *s = find(mem, session);

	return (s != NULL ? s->info.state : MEM_UNKNOWN);
}

bool
mem_info(const struct mem *mem, uint64_t session, struct mem_info *info)
{
	const struct session *s = find(mem, session);

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
