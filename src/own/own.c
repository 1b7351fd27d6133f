#include "own/own.h"

#include <glib.h>
#include <limits.h>
#include <string.h>

#include "plog/plg.h"

#define TAKEOVER	(3 * CLK_SECOND)
#define TAKEOVER_OTHER	(10 * CLK_MINUTE)
#define DRIFT_PERMILLE	10
#define SETTLE		(2 * CLK_SECOND)
#define STAGGER		(2 * CLK_SECOND)
#define LOG_FRESH	(4 * CLK_SECOND)
#define HANDOVER_SETTLE (5 * CLK_SECOND)
#define MAX_HANDOVERS	4
#define REPLACE		(2 * CLK_SECOND)
#define REPEAT		(5 * CLK_SECOND)
#define FORGET		(10 * CLK_MINUTE)
#define MAX_SHARDS	65536
/* Closed sessions that are remembered, so that a late second copy of a
 * session_open record opens nothing. */
#define MAX_CLOSED    1024
#define MAX_SESSIONS  MEM_MAX_SESSIONS
#define SNAPSHOT_PART 256
#define MAX_PARTS     4096
#define MAX_RANK      16
/* A session that holds no copy has to wait for takeover_other_ms, so it lets
 * the holders go first for this many times stagger_ms. */
#define OTHER_POSITION 5
#define MAX_CANDIDATES (2 * OWN_HOLDERS)
#define NEVER	       (INT64_MIN / 4)

struct session {
	struct mem_identity identity;
	int64_t opened; /* offset */
};

struct closed {
	uint64_t session;
	bool voluntary; /* closed by itself, after it stopped acting */
};

/* A session that may claim after takeover_ms. */
struct candidate {
	uint64_t session;
	clk_ms ping;
};

/* An append that was submitted and not yet read in the log. */
struct submitted {
	uint64_t ref; /* 0: none */
	bool unknown; /* an earlier copy may still appear */
	bool repeat; /* the last copy has ended without a result */
	clk_ms at;
};

/* What this session keeps for a shard that it owns in the map. */
struct mine {
	unsigned index;
	enum own_phase phase;
	struct candidate candidates[MAX_CANDIDATES];
	unsigned n_candidates;
	struct submitted holders;
	uint64_t proposed[OWN_HOLDERS];
	struct submitted handover;
	uint64_t successor;
	bool ready;
	bool copy_due;
};

/* A claim that was submitted and not yet read in the log. */
struct claim {
	unsigned index;
	uint64_t epoch;
	struct submitted submitted;
};

struct shard {
	/* The map: a function of the log alone. */
	uint64_t epoch;
	uint64_t owner;
	uint64_t holders[OWN_HOLDERS];
	uint64_t sources[OWN_SOURCES];
	uint64_t revision; /* counts the changes of epoch and holders */
	int64_t offset;
	bool proven;
	/* What this session knows. */
	clk_ms ready_at; /* all claims so far are effective from then on */
	clk_ms orphan_since; /* -1: has a live owner */
	struct mine *mine;
	struct claim *claim;
	uint64_t rank_generation;
	uint64_t rank[2]; /* the best two of the data centre */
	uint64_t rank_other; /* the best of the other data centres */
	/* Among those of its side; MAX_RANK: not among the first. */
	unsigned self_position;
	clk_ms rank_since; /* when the best one changed last */
};

struct restore {
	int64_t through;
	unsigned parts;
	unsigned received;
	json_t **part;
};

struct own {
	struct own_settings settings;
	struct mem_identity self;
	unsigned n_shards;
	struct shard *shards;
	GHashTable *sessions; /* uint64_t -> struct session */
	GHashTable *closed; /* uint64_t -> struct closed */
	GQueue *closed_order; /* oldest first */
	int64_t lost_offset[OWN_MAX_DATACENTRES]; /* last change; -1: none */
	bool lost[OWN_MAX_DATACENTRES];
	int64_t next;
	uint64_t undecodable;
	bool incomplete;
	int64_t gap_first;
	struct restore restore;
	clk_ms log_read;
	int64_t claimed_at; /* offset of the last own valid claim read */
	clk_ms opened_at; /* when the own session_open was read; -1 */
	GPtrArray *mine;
	GPtrArray *claims;
	uint64_t last_ref;
	struct submitted close;
	struct submitted forget;
	clk_ms forget_at;
	bool stopping;
	bool left;
	bool stopped;
	unsigned cursor;
};

/* Owners shorten a wait and claimants lengthen it: see rule 6. */
static clk_ms
shorten(const struct own *own, clk_ms wait)
{
	return (wait * (1000 - own->settings.drift_permille) / 1000);
}

static clk_ms
lengthen(const struct own *own, clk_ms wait)
{
	if (wait == 0)
		return (0);
	/* The last ms covers a clock that is read in whole ms. */
	return (
	    (wait * (1000 + own->settings.drift_permille) + 999) / 1000 + 1);
}

/* A duration measured by another clock, as the longest by this clock. */
static clk_ms
convert(const struct own *own, clk_ms duration)
{
	clk_ms slow = 1000 - own->settings.drift_permille;
	clk_ms fast = 1000 + own->settings.drift_permille;

	return ((duration * fast + slow - 1) / slow + 1);
}

static clk_ms
or_default(clk_ms value, clk_ms otherwise)
{
	return (value > 0 ? value : otherwise);
}

static void
settings_complete(struct own_settings *s)
{
	s->datacentres = CLAMP(s->datacentres, 1, OWN_MAX_DATACENTRES);
	s->shards = CLAMP(s->shards, 1, MAX_SHARDS);
	s->takeover_ms = or_default(s->takeover_ms, TAKEOVER);
	s->takeover_other_ms = or_default(s->takeover_other_ms, TAKEOVER_OTHER);
	/* A session without a copy must never be faster than a holder. */
	s->takeover_other_ms = MAX(s->takeover_other_ms, s->takeover_ms);
	if (s->takeover_datacentre_ms > 0)
		s->takeover_datacentre_ms =
		    MAX(s->takeover_datacentre_ms, s->takeover_ms);
	if (s->drift_permille == 0)
		s->drift_permille = DRIFT_PERMILLE;
	s->drift_permille = CLAMP(s->drift_permille, 0, 500);
	s->settle_ms = or_default(s->settle_ms, SETTLE);
	s->stagger_ms = or_default(s->stagger_ms, STAGGER);
	s->log_fresh_ms = or_default(s->log_fresh_ms, LOG_FRESH);
	s->handover_settle_ms =
	    or_default(s->handover_settle_ms, HANDOVER_SETTLE);
	if (s->max_handovers == 0)
		s->max_handovers = MAX_HANDOVERS;
	s->replace_ms = or_default(s->replace_ms, REPLACE);
	s->repeat_ms = or_default(s->repeat_ms, REPEAT);
	s->forget_ms = or_default(s->forget_ms, FORGET);
}

struct own *
own_open(const struct own_settings *settings, const struct mem_identity *self)
{
	struct own *own = g_new0(struct own, 1);

	own->settings = *settings;
	settings_complete(&own->settings);
	own->self = *self;
	own->n_shards = own->settings.datacentres * own->settings.shards;
	own->shards = g_new0(struct shard, own->n_shards);
	for (unsigned i = 0; i < own->n_shards; i++) {
		own->shards[i].ready_at = NEVER;
		own->shards[i].orphan_since = -1;
		own->shards[i].offset = -1;
	}
	own->sessions =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	own->closed =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	own->closed_order = g_queue_new();
	for (unsigned d = 0; d < OWN_MAX_DATACENTRES; d++)
		own->lost_offset[d] = -1;
	own->log_read = NEVER;
	own->claimed_at = -1;
	own->opened_at = -1;
	own->forget_at = NEVER;
	own->mine = g_ptr_array_new_with_free_func(g_free);
	own->claims = g_ptr_array_new_with_free_func(g_free);
	return (own);
}

static void
restore_clear(struct restore *restore)
{
	for (unsigned i = 0; i < restore->parts; i++)
		json_decref(restore->part[i]);
	g_free(restore->part);
	memset(restore, 0, sizeof(*restore));
}

void
own_close(struct own *own)
{
	if (own == NULL)
		return;
	restore_clear(&own->restore);
	g_ptr_array_free(own->mine, TRUE);
	g_ptr_array_free(own->claims, TRUE);
	g_queue_free(own->closed_order);
	g_hash_table_destroy(own->closed);
	g_hash_table_destroy(own->sessions);
	g_free(own->shards);
	g_free(own);
}

/* The shard of an id that is known to be in range. */
static struct shard *
shard_at(const struct own *own, struct own_shard_id id)
{
	return (&own->shards[id.datacentre * own->settings.shards + id.shard]);
}

static struct shard *
find_shard(const struct own *own, struct own_shard_id id)
{
	if (id.datacentre >= own->settings.datacentres ||
	    id.shard >= own->settings.shards)
		return (NULL);
	return (shard_at(own, id));
}

static struct own_shard_id
shard_id(const struct own *own, unsigned index)
{
	return ((struct own_shard_id){(uint16_t)(index / own->settings.shards),
	    (uint16_t)(index % own->settings.shards)});
}

static struct session *
find_session(const struct own *own, uint64_t session)
{
	return (g_hash_table_lookup(own->sessions, &session));
}

static bool
is_holder(const struct shard *sh, uint64_t session)
{
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		if (sh->holders[i] == session && session != 0)
			return (true);
	}
	return (false);
}

/* Ownership of this session. */

static void
mark_unknown(struct submitted *submitted)
{
	if (submitted->ref != 0) {
		submitted->unknown = true;
		submitted->repeat = true;
	}
}

static void
add_candidate(struct mine *mine, const struct candidate *old, unsigned n_old,
    uint64_t session)
{
	struct candidate *added = &mine->candidates[mine->n_candidates];

	if (session == 0)
		return;
	for (unsigned i = 0; i < mine->n_candidates; i++) {
		if (mine->candidates[i].session == session)
			return;
	}
	added->session = session;
	added->ping = NEVER;
	for (unsigned i = 0; i < n_old; i++) {
		if (old[i].session == session)
			added->ping = old[i].ping;
	}
	mine->n_candidates++;
}

/* Rule 8: holders in the map and proposed ones. */
static void
update_candidates(struct own *own, struct mine *mine)
{
	const struct shard *sh = &own->shards[mine->index];
	struct candidate old[MAX_CANDIDATES];
	unsigned n_old = mine->n_candidates;

	memcpy(old, mine->candidates, sizeof(old));
	mine->n_candidates = 0;
	for (unsigned i = 0; i < OWN_HOLDERS; i++)
		add_candidate(mine, old, n_old, sh->holders[i]);
	if (mine->holders.ref == 0)
		return;
	for (unsigned i = 0; i < OWN_HOLDERS; i++)
		add_candidate(mine, old, n_old, mine->proposed[i]);
}

static void
gain(struct own *own, unsigned index, enum own_phase phase)
{
	struct mine *mine = g_new0(struct mine, 1);

	mine->index = index;
	mine->phase = phase;
	mine->copy_due = phase == OWN_SERVING;
	own->shards[index].mine = mine;
	g_ptr_array_add(own->mine, mine);
	update_candidates(own, mine);
}

static void
lose(struct own *own, struct shard *sh)
{
	if (sh->mine == NULL)
		return;
	(void)g_ptr_array_remove_fast(own->mine, sh->mine);
	sh->mine = NULL;
}

static void
lose_all(struct own *own)
{
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		own->shards[mine->index].mine = NULL;
	}
	g_ptr_array_set_size(own->mine, 0);
}

static void
drop_claim(struct own *own, struct shard *sh)
{
	if (sh->claim == NULL)
		return;
	(void)g_ptr_array_remove_fast(own->claims, sh->claim);
	sh->claim = NULL;
}

/* The epoch has changed: a claim that is based on another is void for good. */
static void
epoch_changed(struct own *own, struct shard *sh)
{
	if (sh->claim != NULL && sh->claim->epoch != sh->epoch)
		drop_claim(own, sh);
	if (sh->owner != own->self.session)
		lose(own, sh);
	sh->orphan_since = -1;
}

/* Decoding. */

struct entry {
	struct own_shard_id id;
	uint64_t epoch;
	uint64_t revision;
	uint64_t to;
	uint64_t holders[OWN_HOLDERS];
};

static bool
get_number(const json_t *object, const char *key, int64_t max, uint64_t *value)
{
	const json_t *number = json_object_get(object, key);

	if (!json_is_integer(number) || json_integer_value(number) < 0 ||
	    json_integer_value(number) > max)
		return (false);
	*value = (uint64_t)json_integer_value(number);
	return (true);
}

static bool
get_session(const json_t *object, const char *key, uint64_t *session)
{
	return (plg_session_parse(
	    json_string_value(json_object_get(object, key)), session));
}

static bool
get_sessions(const json_t *list, uint64_t *sessions, size_t max)
{
	memset(sessions, 0, max * sizeof(*sessions));
	if (!json_is_array(list) || json_array_size(list) > max)
		return (false);
	for (size_t i = 0; i < json_array_size(list); i++) {
		if (!plg_session_parse(
			json_string_value(json_array_get(list, i)),
			&sessions[i]))
			return (false);
	}
	return (true);
}

static json_t *
put_sessions(const uint64_t *sessions, size_t n)
{
	json_t *list = json_array();
	char text[PLG_SESSION_SIZE];

	for (size_t i = 0; i < n; i++) {
		if (sessions[i] != 0)
			(void)json_array_append_new(list,
			    json_string(plg_session_format(text, sessions[i])));
	}
	return (list);
}

enum kind { KIND_CLAIM, KIND_HANDOVER, KIND_HOLDERS };

static bool
entry_decode(
    const struct own *own, enum kind kind, const json_t *json, struct entry *e)
{
	uint64_t datacentre;
	uint64_t shard;

	memset(e, 0, sizeof(*e));
	if (!get_number(json, "datacentre",
		(int64_t)own->settings.datacentres - 1, &datacentre) ||
	    !get_number(
		json, "shard", (int64_t)own->settings.shards - 1, &shard) ||
	    !get_number(json, "epoch", INT64_MAX - 1, &e->epoch) ||
	    !get_sessions(
		json_object_get(json, "holders"), e->holders, OWN_HOLDERS))
		return (false);
	e->id = (struct own_shard_id){(uint16_t)datacentre, (uint16_t)shard};
	if (kind == KIND_HANDOVER)
		return (get_session(json, "to", &e->to));
	if (kind == KIND_HOLDERS)
		return (
		    get_number(json, "revision", INT64_MAX - 1, &e->revision));
	return (true);
}

/* Applying. */

static bool
is_voluntarily_closed(const struct own *own, uint64_t session)
{
	const struct closed *closed =
	    g_hash_table_lookup(own->closed, &session);

	return (closed != NULL && closed->voluntary);
}

/* Whether a session counts as one of the shard's data centre. */
static bool
is_inside(
    const struct own *own, unsigned datacentre, const struct session *session)
{
	return (session->identity.datacentre == datacentre ||
	    own->lost[datacentre]);
}

/* The wait W of a valid claim. */
static clk_ms
claim_wait(const struct own *own, const struct shard *sh, unsigned datacentre,
    const struct session *by)
{
	if (sh->epoch == 0 || is_voluntarily_closed(own, sh->owner))
		return (0);
	if (!is_inside(own, datacentre, by))
		return (own->settings.takeover_datacentre_ms);
	if (is_holder(sh, by->identity.session))
		return (own->settings.takeover_ms);
	return (own->settings.takeover_other_ms);
}

static void
add_source(struct shard *sh, uint64_t session)
{
	if (session == 0)
		return;
	for (unsigned i = 0; i < OWN_SOURCES; i++) {
		if (sh->sources[i] == session)
			return;
		if (sh->sources[i] == 0) {
			sh->sources[i] = session;
			return;
		}
	}
}

static void
apply_claim(struct own *own, int64_t offset, const struct session *by,
    const struct entry *e, clk_ms now)
{
	struct shard *sh = shard_at(own, e->id);
	clk_ms wait = lengthen(own, claim_wait(own, sh, e->id.datacentre, by));

	/* Rule 2: an earlier claim's wait must end as well. */
	sh->ready_at = MAX(sh->ready_at, now + wait);
	if (sh->proven || sh->epoch == 0)
		memset(sh->sources, 0, sizeof(sh->sources));
	for (unsigned i = 0; i < OWN_HOLDERS; i++)
		add_source(sh, sh->holders[i]);
	sh->proven = false;
	memcpy(sh->holders, e->holders, sizeof(sh->holders));
	sh->owner = by->identity.session;
	sh->epoch++;
	sh->revision++;
	sh->offset = offset;
	lose(own, sh);
	epoch_changed(own, sh);
	if (sh->owner == own->self.session) {
		own->claimed_at = offset;
		gain(own, (unsigned)(sh - own->shards), OWN_WAITING);
	}
}

static void
apply_handover(struct own *own, int64_t offset, const struct entry *e)
{
	struct shard *sh = shard_at(own, e->id);

	memcpy(sh->holders, e->holders, sizeof(sh->holders));
	memset(sh->sources, 0, sizeof(sh->sources));
	sh->proven = true;
	sh->owner = e->to;
	sh->epoch++;
	sh->revision++;
	sh->offset = offset;
	/* The owner was acting, so every earlier wait has ended. */
	sh->ready_at = NEVER;
	lose(own, sh);
	epoch_changed(own, sh);
	if (sh->owner == own->self.session)
		gain(own, (unsigned)(sh - own->shards), OWN_SERVING);
}

static void
apply_holders(struct own *own, const struct entry *e)
{
	struct shard *sh = shard_at(own, e->id);

	memcpy(sh->holders, e->holders, sizeof(sh->holders));
	memset(sh->sources, 0, sizeof(sh->sources));
	sh->proven = true;
	sh->revision++;
	sh->ready_at = NEVER;
	if (sh->mine != NULL) {
		memset(&sh->mine->holders, 0, sizeof(sh->mine->holders));
		sh->mine->copy_due = true;
		update_candidates(own, sh->mine);
	}
}

static bool
entry_is_valid(const struct own *own, enum kind kind, const struct session *by,
    const struct entry *e)
{
	const struct shard *sh = shard_at(own, e->id);
	uint64_t session = by->identity.session;

	if (e->epoch != sh->epoch)
		return (false);
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		if (e->holders[i] == (kind == KIND_HANDOVER ? e->to : session))
			return (false);
	}
	if (kind == KIND_CLAIM)
		return (session != sh->owner &&
		    (is_inside(own, e->id.datacentre, by) ||
			own->settings.takeover_datacentre_ms > 0));
	if (session != sh->owner)
		return (false);
	if (kind == KIND_HANDOVER)
		return (e->to != session && find_session(own, e->to) != NULL);
	return (e->revision == sh->revision);
}

/*
 * An own record was read that is not valid.  Only the record of the last
 * submission counts: a second copy of an earlier one says nothing about it.
 */
static void
own_entry_failed(
    struct own *own, enum kind kind, uint64_t ref, const struct entry *e)
{
	struct shard *sh = shard_at(own, e->id);

	if (e->epoch != sh->epoch)
		return;
	/* Another copy may be valid once the data centre is declared lost, so
	 * the claim stays pending until the epoch changes. */
	if (kind == KIND_CLAIM && sh->claim != NULL)
		mark_unknown(&sh->claim->submitted);
	if (kind == KIND_HANDOVER && sh->mine != NULL &&
	    sh->mine->handover.ref == ref) {
		if (sh->mine->handover.unknown) {
			sh->mine->handover.repeat = true;
			return;
		}
		memset(&sh->mine->handover, 0, sizeof(sh->mine->handover));
		sh->mine->phase = OWN_SERVING;
	}
}

static enum own_applied
apply_shards(struct own *own, int64_t offset, enum kind kind,
    const json_t *record, clk_ms now)
{
	const json_t *list = json_object_get(record, "shards");
	struct entry entries[OWN_RECORD_SHARDS];
	size_t n = json_array_size(list);
	enum own_applied applied = OWN_NOT_VALID;
	const struct session *by;
	uint64_t session;
	uint64_t ref;

	if (!get_number(record, "ref", INT64_MAX - 1, &ref))
		ref = 0;
	if (!get_session(record, "session", &session) || !json_is_array(list) ||
	    n > OWN_RECORD_SHARDS)
		return (OWN_UNDECODABLE);
	for (size_t i = 0; i < n; i++) {
		if (!entry_decode(
			own, kind, json_array_get(list, i), &entries[i]))
			return (OWN_UNDECODABLE);
	}
	by = find_session(own, session);
	if (by == NULL)
		return (OWN_NOT_VALID);
	for (size_t i = 0; i < n; i++) {
		if (!entry_is_valid(own, kind, by, &entries[i])) {
			if (session == own->self.session)
				own_entry_failed(own, kind, ref, &entries[i]);
			continue;
		}
		applied = OWN_APPLIED;
		if (kind == KIND_CLAIM)
			apply_claim(own, offset, by, &entries[i], now);
		else if (kind == KIND_HANDOVER)
			apply_handover(own, offset, &entries[i]);
		else
			apply_holders(own, &entries[i]);
	}
	return (applied);
}

static void
add_session(struct own *own, const struct mem_identity *identity,
    int64_t offset, clk_ms now)
{
	struct session *s = g_new0(struct session, 1);

	s->identity = *identity;
	s->opened = offset;
	(void)g_hash_table_insert(own->sessions, &s->identity.session, s);
	if (identity->session == own->self.session)
		own->opened_at = now;
}

static enum own_applied
apply_session_open(
    struct own *own, int64_t offset, const json_t *record, clk_ms now)
{
	struct mem_identity identity;

	if (!mem_identity_decode(record, &identity) ||
	    identity.datacentre >= own->settings.datacentres)
		return (OWN_UNDECODABLE);
	if (find_session(own, identity.session) != NULL ||
	    g_hash_table_contains(own->closed, &identity.session) ||
	    g_hash_table_size(own->sessions) >= MAX_SESSIONS)
		return (OWN_NOT_VALID);
	add_session(own, &identity, offset, now);
	return (OWN_APPLIED);
}

static void
add_closed(struct own *own, uint64_t session, bool voluntary)
{
	struct closed *closed = g_new0(struct closed, 1);

	while (g_queue_get_length(own->closed_order) >= MAX_CLOSED) {
		struct closed *oldest = g_queue_pop_head(own->closed_order);

		(void)g_hash_table_remove(own->closed, &oldest->session);
	}
	closed->session = session;
	closed->voluntary = voluntary;
	(void)g_hash_table_insert(own->closed, &closed->session, closed);
	g_queue_push_tail(own->closed_order, closed);
}

static void
stop_here(struct own *own)
{
	own->stopped = true;
	lose_all(own);
}

static enum own_applied
apply_session_close(struct own *own, const json_t *record)
{
	uint64_t by;
	uint64_t closes;

	if (!get_session(record, "session", &by) ||
	    !get_session(record, "closes", &closes))
		return (OWN_UNDECODABLE);
	if (find_session(own, closes) == NULL)
		return (OWN_NOT_VALID);
	(void)g_hash_table_remove(own->sessions, &closes);
	add_closed(own, closes, by == closes);
	if (closes == own->self.session)
		stop_here(own);
	return (OWN_APPLIED);
}

static enum own_applied
apply_datacentre_lost(struct own *own, int64_t offset, const json_t *record)
{
	const json_t *lost = json_object_get(record, "lost");
	const json_t *base = json_object_get(record, "base");
	uint64_t datacentre;

	if (!get_number(record, "datacentre",
		(int64_t)own->settings.datacentres - 1, &datacentre) ||
	    !json_is_boolean(lost) || !json_is_integer(base))
		return (OWN_UNDECODABLE);
	if (json_integer_value(base) != own->lost_offset[datacentre])
		return (OWN_NOT_VALID);
	own->lost[datacentre] = json_is_true(lost);
	own->lost_offset[datacentre] = offset;
	/* The rankings leave out lost sessions. */
	for (unsigned i = 0; i < own->n_shards; i++)
		own->shards[i].rank_generation = 0;
	return (OWN_APPLIED);
}

static enum own_applied
apply_kind(struct own *own, int64_t offset, const char *kind,
    const json_t *record, clk_ms now)
{
	if (strcmp(kind, "claim") == 0)
		return (apply_shards(own, offset, KIND_CLAIM, record, now));
	if (strcmp(kind, "handover") == 0)
		return (apply_shards(own, offset, KIND_HANDOVER, record, now));
	if (strcmp(kind, "holders") == 0)
		return (apply_shards(own, offset, KIND_HOLDERS, record, now));
	if (strcmp(kind, "session_open") == 0)
		return (apply_session_open(own, offset, record, now));
	if (strcmp(kind, "session_close") == 0)
		return (apply_session_close(own, record));
	if (strcmp(kind, "datacentre_lost") == 0)
		return (apply_datacentre_lost(own, offset, record));
	return (OWN_OTHER);
}

enum own_applied
own_apply(struct own *own, int64_t offset, const json_t *record, clk_ms now)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	enum own_applied applied;

	if (own->incomplete) {
		if (kind != NULL && strcmp(kind, "map") == 0)
			(void)own_restore(own, record, now);
		return (OWN_OTHER);
	}
	if (offset < own->next)
		return (OWN_DUPLICATE);
	own->next = offset + 1;
	if (kind == NULL)
		applied = OWN_UNDECODABLE;
	else
		applied = apply_kind(own, offset, kind, record, now);
	if (applied == OWN_UNDECODABLE)
		own->undecodable++;
	return (applied);
}

int64_t
own_next(const struct own *own)
{
	return (own->next);
}

void
own_log_read(struct own *own, clk_ms started_at)
{
	if (!own->incomplete)
		own->log_read = MAX(own->log_read, started_at);
}

void
own_peer_read(struct own *own, clk_ms asked_at, clk_ms age)
{
	if (age >= 0)
		own_log_read(own, asked_at - convert(own, age));
}

clk_ms
own_log_age(const struct own *own, clk_ms now)
{
	return (own->log_read == NEVER ? -1 : MAX(0, now - own->log_read));
}

void
own_gap(struct own *own, int64_t first)
{
	if (first <= own->next)
		return;
	own->incomplete = true;
	own->gap_first = MAX(own->gap_first, first);
}

bool
own_is_complete(const struct own *own)
{
	return (!own->incomplete);
}

uint64_t
own_undecodable(const struct own *own)
{
	return (own->undecodable);
}

/* Snapshots. */

static json_t *
snapshot_shard(const struct own *own, unsigned index, clk_ms now)
{
	const struct shard *sh = &own->shards[index];
	struct own_shard_id id = shard_id(own, index);
	char owner[PLG_SESSION_SIZE];
	clk_ms left = MAX(0, sh->ready_at - now);

	return (json_pack("{s:i, s:i, s:I, s:s, s:o, s:o, s:b, s:I, s:I, s:I}",
	    "datacentre", (int)id.datacentre, "shard", (int)id.shard, "epoch",
	    (json_int_t)sh->epoch, "owner",
	    plg_session_format(owner, sh->owner), "holders",
	    put_sessions(sh->holders, OWN_HOLDERS), "sources",
	    put_sessions(sh->sources, OWN_SOURCES), "proven", sh->proven,
	    "revision", (json_int_t)sh->revision, "offset",
	    (json_int_t)sh->offset, "wait", (json_int_t)left));
}

static json_t *
snapshot_session(const struct session *s)
{
	json_t *json = mem_record_open(&s->identity);

	(void)json_object_set_new(json, "offset", json_integer(s->opened));
	return (json);
}

static int
compare_opened(gconstpointer a, gconstpointer b)
{
	const struct session *x = *(const struct session *const *)a;
	const struct session *y = *(const struct session *const *)b;

	return (x->opened < y->opened ? -1 : x->opened > y->opened);
}

static GPtrArray *
sessions_in_order(const struct own *own)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer session;

	g_hash_table_iter_init(&iter, own->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &session))
		g_ptr_array_add(list, session);
	g_ptr_array_sort(list, compare_opened);
	return (list);
}

/* Add an item to a list of the last part, or to one of a new part. */
static void
snapshot_add(json_t *parts, const char *list, json_t *item)
{
	size_t n = json_array_size(parts);
	json_t *part = n > 0 ? json_array_get(parts, n - 1) : NULL;

	if (part == NULL ||
	    json_array_size(json_object_get(part, list)) >= SNAPSHOT_PART) {
		part = json_pack("{s:s, s:[], s:[], s:[], s:[]}", "kind", "map",
		    "sessions", "closed", "lost", "shards");
		(void)json_array_append_new(parts, part);
	}
	(void)json_array_append_new(json_object_get(part, list), item);
}

static void
snapshot_closed(const struct own *own, json_t *parts)
{
	char text[PLG_SESSION_SIZE];

	for (GList *l = own->closed_order->head; l != NULL; l = l->next) {
		const struct closed *closed = l->data;

		snapshot_add(parts, "closed",
		    json_pack("{s:s, s:b}", "session",
			plg_session_format(text, closed->session), "voluntary",
			closed->voluntary));
	}
}

json_t *
own_snapshot(const struct own *own, clk_ms now)
{
	json_t *parts = json_array();
	GPtrArray *sessions;
	json_t *part;
	size_t i;

	if (own->incomplete) {
		json_decref(parts);
		return (NULL);
	}
	for (unsigned d = 0; d < own->settings.datacentres; d++)
		snapshot_add(parts, "lost",
		    json_pack("{s:b, s:I}", "lost", own->lost[d], "offset",
			(json_int_t)own->lost_offset[d]));
	sessions = sessions_in_order(own);
	for (unsigned k = 0; k < sessions->len; k++)
		snapshot_add(parts, "sessions",
		    snapshot_session(g_ptr_array_index(sessions, k)));
	g_ptr_array_free(sessions, TRUE);
	snapshot_closed(own, parts);
	for (unsigned k = 0; k < own->n_shards; k++) {
		if (own->shards[k].epoch > 0)
			snapshot_add(
			    parts, "shards", snapshot_shard(own, k, now));
	}
	json_array_foreach(parts, i, part)
	{
		(void)json_object_set_new(
		    part, "through", json_integer(own->next));
		(void)json_object_set_new(
		    part, "part", json_integer((json_int_t)i));
		(void)json_object_set_new(part, "parts",
		    json_integer((json_int_t)json_array_size(parts)));
	}
	return (parts);
}

static bool
restore_shard(struct own *own, const json_t *json, clk_ms now)
{
	struct entry e;
	struct shard *sh;
	uint64_t owner;
	uint64_t revision;
	uint64_t offset;
	uint64_t wait;
	uint64_t sources[OWN_SOURCES];

	if (!entry_decode(own, KIND_CLAIM, json, &e) ||
	    !get_session(json, "owner", &owner) ||
	    !get_number(json, "revision", INT64_MAX - 1, &revision) ||
	    !get_number(json, "offset", INT64_MAX - 1, &offset) ||
	    !get_number(json, "wait", CLK_HOUR * 24, &wait) ||
	    !get_sessions(
		json_object_get(json, "sources"), sources, OWN_SOURCES))
		return (false);
	sh = shard_at(own, e.id);
	if (sh->mine != NULL && (sh->owner != owner || sh->epoch != e.epoch))
		lose(own, sh);
	if (sh->mine != NULL && sh->revision != revision)
		memset(&sh->mine->holders, 0, sizeof(sh->mine->holders));
	sh->epoch = e.epoch;
	sh->owner = owner;
	sh->revision = revision;
	sh->offset = (int64_t)offset;
	sh->proven = json_is_true(json_object_get(json, "proven"));
	memcpy(sh->holders, e.holders, sizeof(sh->holders));
	memcpy(sh->sources, sources, sizeof(sh->sources));
	sh->ready_at = wait > 0 ? now + convert(own, (clk_ms)wait) : NEVER;
	epoch_changed(own, sh);
	if (owner != own->self.session)
		return (true);
	if (sh->mine == NULL) {
		gain(own, (unsigned)(sh - own->shards), OWN_WAITING);
	} else {
		/* A record of this session may be among those not read. */
		sh->mine->n_candidates = 0;
		update_candidates(own, sh->mine);
	}
	return (true);
}

static bool
restore_part(struct own *own, const json_t *part, clk_ms now)
{
	struct mem_identity identity;
	uint64_t session;
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(part, "sessions"), i, item)
	{
		if (!mem_identity_decode(item, &identity))
			return (false);
		add_session(own, &identity,
		    json_integer_value(json_object_get(item, "offset")), now);
	}
	json_array_foreach(json_object_get(part, "closed"), i, item)
	{
		if (!get_session(item, "session", &session))
			return (false);
		add_closed(own, session,
		    json_is_true(json_object_get(item, "voluntary")));
		if (session == own->self.session)
			stop_here(own);
	}
	json_array_foreach(json_object_get(part, "lost"), i, item)
	{
		if (i >= OWN_MAX_DATACENTRES)
			return (false);
		own->lost[i] = json_is_true(json_object_get(item, "lost"));
		own->lost_offset[i] =
		    json_integer_value(json_object_get(item, "offset"));
	}
	json_array_foreach(json_object_get(part, "shards"), i, item)
	{
		if (!restore_shard(own, item, now))
			return (false);
	}
	return (true);
}

/* The results of outstanding appends may be among the records not read. */
static void
restore_outstanding(struct own *own)
{
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		mark_unknown(&mine->holders);
		mark_unknown(&mine->handover);
	}
	for (unsigned i = 0; i < own->claims->len; i++) {
		struct claim *claim = g_ptr_array_index(own->claims, i);

		mark_unknown(&claim->submitted);
	}
	mark_unknown(&own->close);
	/* A claim of this session may be among them, too: see rule 5. */
	own->claimed_at = own->restore.through - 1;
}

static bool
restore_all(struct own *own, clk_ms now)
{
	struct restore *restore = &own->restore;
	clk_ms opened_at = own->opened_at;

	g_hash_table_remove_all(own->sessions);
	g_queue_clear(own->closed_order);
	g_hash_table_remove_all(own->closed);
	for (unsigned i = 0; i < restore->parts; i++) {
		if (!restore_part(own, restore->part[i], now))
			return (false);
	}
	if (opened_at >= 0)
		own->opened_at = opened_at;
	restore_outstanding(own);
	for (unsigned i = 0; i < own->n_shards; i++)
		own->shards[i].rank_generation = 0;
	own->next = restore->through;
	own->incomplete = false;
	return (true);
}

bool
own_restore(struct own *own, const json_t *record, clk_ms now)
{
	struct restore *restore = &own->restore;
	uint64_t through;
	uint64_t part;
	uint64_t parts;
	bool done;

	if (!own->incomplete)
		return (true);
	if (!get_number(record, "through", INT64_MAX - 1, &through) ||
	    !get_number(record, "parts", MAX_PARTS, &parts) ||
	    !get_number(record, "part", (int64_t)parts - 1, &part)) {
		own->undecodable++;
		return (false);
	}
	if ((int64_t)through < own->gap_first ||
	    (int64_t)through < restore->through)
		return (false);
	if ((int64_t)through > restore->through || restore->parts != parts) {
		restore_clear(restore);
		restore->through = (int64_t)through;
		restore->parts = (unsigned)parts;
		restore->part = g_new0(json_t *, parts);
	}
	if (restore->part[part] != NULL)
		return (false);
	restore->part[part] = json_deep_copy(record);
	if (++restore->received < restore->parts)
		return (false);
	done = restore_all(own, now);
	if (!done)
		own->undecodable++;
	restore_clear(restore);
	return (done);
}

void
own_sessions(const struct own *own,
    void (*visit)(const struct mem_identity *identity, void *arg), void *arg)
{
	GPtrArray *list = sessions_in_order(own);

	for (unsigned i = 0; i < list->len; i++) {
		const struct session *s = g_ptr_array_index(list, i);

		visit(&s->identity, arg);
	}
	g_ptr_array_free(list, TRUE);
}

static uint64_t
mix(uint64_t hash, uint64_t value)
{
	uint64_t x = hash ^ (value + 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

uint64_t
own_digest(const struct own *own)
{
	uint64_t hash = 1;
	uint64_t sessions = 0;
	GHashTableIter iter;
	gpointer session;

	for (unsigned i = 0; i < own->n_shards; i++) {
		const struct shard *sh = &own->shards[i];

		if (sh->epoch == 0)
			continue;
		hash = mix(mix(mix(hash, i), sh->epoch), sh->owner);
		hash = mix(mix(hash, sh->revision), (uint64_t)sh->offset);
		hash = mix(hash, sh->proven);
		for (unsigned k = 0; k < OWN_HOLDERS; k++)
			hash = mix(hash, sh->holders[k]);
		for (unsigned k = 0; k < OWN_SOURCES; k++)
			hash = mix(hash, sh->sources[k]);
	}
	g_hash_table_iter_init(&iter, own->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &session))
		sessions ^=
		    mix(2, ((struct session *)session)->identity.session);
	hash = mix(hash, sessions);
	for (GList *l = own->closed_order->head; l != NULL; l = l->next) {
		const struct closed *closed = l->data;

		hash = mix(mix(hash, closed->session), closed->voluntary);
	}
	for (unsigned d = 0; d < own->settings.datacentres; d++)
		hash =
		    mix(mix(hash, own->lost[d]), (uint64_t)own->lost_offset[d]);
	return (hash);
}

/* Heartbeats. */

void
own_pending_get(const struct own *own, struct own_pending *pending)
{
	pending->claimed_at = own->claimed_at;
	pending->more = own->claims->len > OWN_PENDING_MAX;
	pending->n = MIN(own->claims->len, OWN_PENDING_MAX);
	for (unsigned i = 0; i < pending->n; i++) {
		const struct claim *claim = g_ptr_array_index(own->claims, i);

		pending->shards[i] = shard_id(own, claim->index);
	}
}

static bool
is_named(const struct own_pending *pending, struct own_shard_id id)
{
	for (unsigned i = 0; i < pending->n; i++) {
		if (pending->shards[i].datacentre == id.datacentre &&
		    pending->shards[i].shard == id.shard)
			return (true);
	}
	return (false);
}

void
own_heartbeat_answered(struct own *own, uint64_t session, clk_ms sent_at,
    const struct own_pending *pending)
{
	/* Rule 5. */
	if (pending->more || own->next <= pending->claimed_at)
		return;
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		for (unsigned k = 0; k < mine->n_candidates; k++) {
			struct candidate *c = &mine->candidates[k];

			if (c->session == session && sent_at > c->ping &&
			    !is_named(pending, shard_id(own, mine->index)))
				c->ping = sent_at;
		}
	}
}

/* Acting. */

bool
own_shard_get(
    const struct own *own, struct own_shard_id id, struct own_shard *shard)
{
	const struct shard *sh = find_shard(own, id);

	if (sh == NULL)
		return (false);
	shard->epoch = sh->epoch;
	shard->owner = sh->owner;
	memcpy(shard->holders, sh->holders, sizeof(sh->holders));
	memcpy(shard->sources, sh->sources, sizeof(sh->sources));
	shard->proven = sh->proven;
	shard->offset = sh->offset;
	shard->phase = sh->mine != NULL ? sh->mine->phase : OWN_NONE;
	return (true);
}

/* Whether a candidate may claim after takeover_ms. */
static bool
may_take_over(const struct own *own, unsigned datacentre, uint64_t session)
{
	const struct session *s = find_session(own, session);

	/* A closed session cannot claim; one that is not open yet might. */
	if (s == NULL)
		return (!g_hash_table_contains(own->closed, &session));
	/*
	 * An owner outside of the shard's data centre owns it because that was
	 * lost once.  It may be declared lost again without the owner knowing.
	 */
	return (is_inside(own, datacentre, s) ||
	    own->self.datacentre != datacentre);
}

static clk_ms
horizon(const struct own *own, const struct shard *sh)
{
	const struct own_settings *s = &own->settings;
	const struct mine *mine = sh->mine;
	unsigned datacentre;
	clk_ms until;

	if (mine == NULL || own->left || own->stopped || own->close.ref != 0 ||
	    mine->phase == OWN_WAITING || mine->phase == OWN_GIVEN_UP ||
	    own->log_read == NEVER)
		return (NEVER);
	datacentre = shard_id(own, mine->index).datacentre;
	until = own->log_read + shorten(own, s->takeover_other_ms);
	if (s->takeover_datacentre_ms > 0)
		until = MIN(until,
		    own->log_read + shorten(own, s->takeover_datacentre_ms));
	for (unsigned i = 0; i < mine->n_candidates; i++) {
		const struct candidate *c = &mine->candidates[i];

		if (may_take_over(own, datacentre, c->session))
			until = MIN(until,
			    MAX(own->log_read, c->ping) +
				shorten(own, s->takeover_ms));
	}
	return (until);
}

clk_ms
own_horizon(const struct own *own, struct own_shard_id id, clk_ms now)
{
	const struct shard *sh = find_shard(own, id);

	(void)now;
	return (sh != NULL ? horizon(own, sh) : NEVER);
}

bool
own_may_act(const struct own *own, struct own_shard_id id, clk_ms now)
{
	return (now < own_horizon(own, id, now));
}

bool
own_may_begin(const struct own *own, struct own_shard_id id, clk_ms now)
{
	const struct shard *sh = find_shard(own, id);

	return (sh != NULL && sh->mine != NULL &&
	    sh->mine->phase == OWN_SERVING && !own->stopping &&
	    own_may_act(own, id, now));
}

bool
own_holds(const struct own *own, struct own_shard_id id)
{
	const struct shard *sh = find_shard(own, id);

	return (sh != NULL && is_holder(sh, own->self.session));
}

unsigned
own_owned(const struct own *own)
{
	return (own->mine->len);
}

static struct mine *
find_mine(struct own *own, struct own_shard_id id, uint64_t epoch)
{
	struct shard *sh = find_shard(own, id);

	return (sh != NULL && sh->epoch == epoch ? sh->mine : NULL);
}

void
own_recovered(struct own *own, struct own_shard_id id, uint64_t epoch)
{
	struct mine *mine = find_mine(own, id, epoch);

	if (mine != NULL && mine->phase == OWN_RECOVERING)
		mine->phase = OWN_SERVING;
}

void
own_prepared(
    struct own *own, struct own_shard_id id, uint64_t epoch, bool ready)
{
	struct mine *mine = find_mine(own, id, epoch);

	if (mine == NULL || mine->phase != OWN_PREPARING)
		return;
	mine->ready = ready;
	if (!ready)
		mine->phase = OWN_SERVING;
}

void
own_stop(struct own *own)
{
	own->stopping = true;
}

void
own_leave(struct own *own)
{
	own->stopping = true;
	own->left = true;
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		mine->phase = OWN_GIVEN_UP;
	}
}

bool
own_is_stopped(const struct own *own)
{
	return (own->stopped);
}

/* Deciding. */

struct out {
	struct own *own;
	const struct mem *mem;
	clk_ms now;
	struct own_action *actions;
	size_t max;
	size_t n;
	unsigned ranks; /* rankings that may still be made in this call */
};

/* A record that collects the entries of several shards. */
struct batch {
	const char *kind;
	json_t *list;
	uint64_t ref;
};

static struct own_action *
out_add(struct out *out, enum own_act act)
{
	struct own_action *action;

	if (out->n >= out->max)
		return (NULL);
	action = &out->actions[out->n++];
	memset(action, 0, sizeof(*action));
	action->act = act;
	return (action);
}

static struct own_action *
out_shard(struct out *out, enum own_act act, unsigned index)
{
	struct own_action *action = out_add(out, act);

	if (action == NULL)
		return (NULL);
	action->id = shard_id(out->own, index);
	action->epoch = out->own->shards[index].epoch;
	return (action);
}

static bool
out_record(struct out *out, json_t *record, struct submitted *submitted)
{
	struct own_action *action = out_add(out, OWN_ACT_APPEND);

	if (action == NULL) {
		json_decref(record);
		return (false);
	}
	action->record = record;
	action->ref = ++out->own->last_ref;
	(void)json_object_set_new(
	    record, "ref", json_integer((json_int_t)action->ref));
	submitted->ref = action->ref;
	submitted->repeat = false;
	submitted->at = out->now;
	return (true);
}

static bool
batch_add(struct out *out, struct batch *batch, json_t *entry,
    struct submitted *submitted)
{
	char session[PLG_SESSION_SIZE];

	if (batch->list == NULL ||
	    json_array_size(batch->list) >= OWN_RECORD_SHARDS) {
		json_t *record = json_pack("{s:s, s:s, s:[]}", "kind",
		    batch->kind, "session",
		    plg_session_format(session, out->own->self.session),
		    "shards");

		batch->list = json_object_get(record, "shards");
		if (!out_record(out, record, submitted)) {
			batch->list = NULL;
			json_decref(entry);
			return (false);
		}
		batch->ref = submitted->ref;
	}
	(void)json_array_append_new(batch->list, entry);
	submitted->ref = batch->ref;
	submitted->repeat = false;
	submitted->at = out->now;
	return (true);
}

static json_t *
entry_encode(const struct own *own, unsigned index, const uint64_t *holders)
{
	struct own_shard_id id = shard_id(own, index);

	return (json_pack("{s:i, s:i, s:I, s:o}", "datacentre",
	    (int)id.datacentre, "shard", (int)id.shard, "epoch",
	    (json_int_t)own->shards[index].epoch, "holders",
	    put_sessions(holders, OWN_HOLDERS)));
}

/* Whether a submission may be sent (again). */
static bool
is_due(const struct out *out, const struct submitted *submitted)
{
	return (submitted->ref == 0 ||
	    (submitted->repeat &&
		out->now - submitted->at >= out->own->settings.repeat_ms));
}

/* The operator vouches for the sessions that were open then, not for later
 * ones. */
static bool
is_declared_lost(const struct own *own, const struct session *s)
{
	unsigned datacentre = s->identity.datacentre;

	return (
	    own->lost[datacentre] && s->opened < own->lost_offset[datacentre]);
}

/* The ranking without sessions that the operator declared lost, to which the
 * member table may send no heartbeats. */
static size_t
rank(const struct out *out, struct own_shard_id id, bool within,
    uint64_t *sessions)
{
	size_t n = mem_rank(
	    out->mem, id.datacentre, id.shard, within, sessions, MAX_RANK);
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		const struct session *s = find_session(out->own, sessions[i]);

		if (s != NULL && !is_declared_lost(out->own, s))
			sessions[kept++] = sessions[i];
	}
	return (kept);
}

static unsigned
position_of(uint64_t session, const uint64_t *sessions, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (sessions[i] == session)
			return ((unsigned)i);
	}
	return (MAX_RANK);
}

/* Bring the shard's ranking up to date; false if that has to wait. */
static bool
refresh_rank(struct out *out, unsigned index)
{
	struct shard *sh = &out->own->shards[index];
	struct own_shard_id id = shard_id(out->own, index);
	uint64_t sessions[MAX_RANK];
	uint64_t first = sh->rank[0];
	size_t n;

	if (sh->rank_generation == mem_generation(out->mem))
		return (true);
	if (out->ranks == 0)
		return (false);
	out->ranks--;
	n = rank(out, id, true, sessions);
	sh->rank[0] = n > 0 ? sessions[0] : 0;
	sh->rank[1] = n > 1 ? sessions[1] : 0;
	sh->self_position = position_of(out->own->self.session, sessions, n);
	n = rank(out, id, false, sessions);
	sh->rank_other = n > 0 ? sessions[0] : 0;
	if (out->own->self.datacentre != id.datacentre)
		sh->self_position =
		    position_of(out->own->self.session, sessions, n);
	if (sh->rank[0] != first)
		sh->rank_since = out->now;
	sh->rank_generation = mem_generation(out->mem);
	return (true);
}

/* The best session of the data centre for a replica of a given owner. */
static uint64_t
best_inside(const struct shard *sh, uint64_t owner)
{
	return (sh->rank[0] != owner ? sh->rank[0] : sh->rank[1]);
}

static uint64_t
best_other(const struct shard *sh, uint64_t owner)
{
	return (sh->rank_other != owner ? sh->rank_other : 0);
}

static void
claim_add(struct out *out, struct batch *batch, unsigned index)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[index];
	uint64_t holders[OWN_HOLDERS] = {best_inside(sh, own->self.session),
	    best_other(sh, own->self.session)};
	struct claim *claim;
	struct submitted submitted = {0};

	if (sh->claim != NULL)
		submitted = sh->claim->submitted;
	else if (own->claims->len >= OWN_PENDING_MAX)
		return;
	if (!batch_add(
		out, batch, entry_encode(own, index, holders), &submitted))
		return;
	claim = sh->claim;
	if (claim == NULL) {
		claim = g_new0(struct claim, 1);
		claim->index = index;
		claim->epoch = sh->epoch;
		sh->claim = claim;
		g_ptr_array_add(own->claims, claim);
	}
	claim->submitted = submitted;
}

/*
 * After how many times stagger_ms this session may claim a shard without a
 * live owner; UINT_MAX if never.
 */
static unsigned
claim_position(const struct out *out, unsigned index)
{
	const struct own *own = out->own;
	const struct shard *sh = &own->shards[index];
	unsigned datacentre = shard_id(own, index).datacentre;
	unsigned before = 0;

	if (own->self.datacentre != datacentre && !own->lost[datacentre])
		return (UINT_MAX);
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		const struct session *holder =
		    find_session(own, sh->holders[i]);

		if (sh->holders[i] == own->self.session)
			return (before);
		if (holder != NULL && is_inside(own, datacentre, holder) &&
		    mem_state(out->mem, sh->holders[i]) == MEM_LIVE)
			before++;
	}
	if (sh->self_position >= MAX_RANK)
		return (UINT_MAX);
	return (sh->self_position + (before > 0 ? OTHER_POSITION : 0));
}

static bool
has_live_owner(const struct out *out, const struct shard *sh)
{
	const struct session *owner = find_session(out->own, sh->owner);

	return (owner != NULL && !is_declared_lost(out->own, owner) &&
	    mem_state(out->mem, sh->owner) == MEM_LIVE);
}

static void
decide_claim(struct out *out, struct batch *batch, unsigned index)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[index];
	unsigned position;

	if (sh->claim != NULL) {
		if (is_due(out, &sh->claim->submitted) &&
		    claim_position(out, index) != UINT_MAX &&
		    refresh_rank(out, index))
			claim_add(out, batch, index);
		return;
	}
	if (sh->owner == own->self.session || has_live_owner(out, sh)) {
		sh->orphan_since = -1;
		return;
	}
	if (sh->orphan_since < 0)
		sh->orphan_since = out->now;
	if (out->now - own->opened_at < own->settings.settle_ms ||
	    !refresh_rank(out, index))
		return;
	position = claim_position(out, index);
	if (position != UINT_MAX &&
	    out->now - sh->orphan_since >=
		(clk_ms)position * own->settings.stagger_ms)
		claim_add(out, batch, index);
}

static void
decide_claims(struct out *out)
{
	struct own *own = out->own;
	struct batch batch = {.kind = "claim"};
	unsigned start = own->cursor;
	unsigned limited = own->n_shards;

	for (unsigned i = 0; i < own->n_shards; i++) {
		unsigned index = (start + i) % own->n_shards;
		unsigned datacentre = index / own->settings.shards;

		if (datacentre != own->self.datacentre &&
		    !own->lost[datacentre] && own->shards[index].claim == NULL)
			continue;
		if (out->ranks == 0 && limited == own->n_shards)
			limited = index;
		decide_claim(out, &batch, index);
	}
	/* The next call begins where the rankings of this one ran out. */
	if (limited < own->n_shards)
		own->cursor = limited;
}

/* Whether a replica holder can be kept: alive, or not dead for long. */
static bool
is_usable(const struct out *out, uint64_t session)
{
	const struct session *s = find_session(out->own, session);
	struct mem_info info;

	if (s == NULL || session == out->own->self.session ||
	    is_declared_lost(out->own, s) ||
	    !mem_info(out->mem, session, &info))
		return (false);
	return (info.state == MEM_LIVE ||
	    out->now - info.state_since < out->own->settings.replace_ms);
}

/*
 * Choose the replica holders: a usable one stays, a place without one gets
 * the best live session, and a dead one stays if there is nobody else.
 * Returns whether that differs from the map.
 */
static bool
choose_holders(const struct out *out, const struct shard *sh,
    unsigned datacentre, uint64_t *holders)
{
	uint64_t self = out->own->self.session;
	uint64_t inside = 0;
	uint64_t other = 0;

	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		const struct session *s =
		    find_session(out->own, sh->holders[i]);

		if (!is_usable(out, sh->holders[i]))
			continue;
		if (s->identity.datacentre == datacentre && inside == 0)
			inside = sh->holders[i];
		else if (s->identity.datacentre != datacentre && other == 0)
			other = sh->holders[i];
	}
	if (inside == 0)
		inside = best_inside(sh, self);
	if (other == 0)
		other = best_other(sh, self);
	holders[0] = inside;
	holders[1] = other;
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		for (unsigned k = 0; k < OWN_HOLDERS; k++) {
			/* Nobody else for this place. */
			if (holders[k] == 0 && sh->holders[i] != 0 &&
			    sh->holders[i] != self &&
			    holders[0] != sh->holders[i] &&
			    holders[1] != sh->holders[i] &&
			    find_session(out->own, sh->holders[i]) != NULL)
				holders[k] = sh->holders[i];
		}
	}
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		if (holders[i] != 0 && !is_holder(sh, holders[i]))
			return (true);
	}
	return (false);
}

static void
decide_holders(struct out *out, struct batch *batch, struct mine *mine)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[mine->index];
	unsigned datacentre = shard_id(own, mine->index).datacentre;
	uint64_t holders[OWN_HOLDERS];
	json_t *entry;

	if (mine->phase != OWN_SERVING || !is_due(out, &mine->holders) ||
	    !refresh_rank(out, mine->index))
		return;
	if (mine->holders.ref != 0)
		/* The copy that may still appear must be the same. */
		memcpy(holders, mine->proposed, sizeof(holders));
	else if (!choose_holders(out, sh, datacentre, holders) && sh->proven)
		return;
	entry = entry_encode(own, mine->index, holders);
	(void)json_object_set_new(
	    entry, "revision", json_integer((json_int_t)sh->revision));
	if (!batch_add(out, batch, entry, &mine->holders))
		return;
	memcpy(mine->proposed, holders, sizeof(holders));
	update_candidates(own, mine);
}

/* The session that the shard should move to; 0: it stays. */
static uint64_t
successor(const struct out *out, const struct mine *mine)
{
	const struct own *own = out->own;
	const struct shard *sh = &own->shards[mine->index];
	uint64_t best = sh->rank[0];

	if (own->stopping || mine->phase == OWN_GIVEN_UP)
		best = best_inside(sh, own->self.session);
	if (best == 0 && own->stopping)
		best = best_other(sh, own->self.session);
	if (best == own->self.session || find_session(own, best) == NULL)
		return (0);
	return (best);
}

static unsigned
count_handovers(const struct own *own)
{
	unsigned n = 0;

	for (unsigned i = 0; i < own->mine->len; i++) {
		const struct mine *mine = g_ptr_array_index(own->mine, i);

		n +=
		    mine->phase == OWN_PREPARING || mine->phase == OWN_GIVEN_UP;
	}
	return (n);
}

static void
decide_prepare(struct out *out, struct mine *mine)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[mine->index];
	struct own_action *action;
	uint64_t to;

	if (mine->phase != OWN_SERVING || !sh->proven ||
	    mine->holders.ref != 0 || !refresh_rank(out, mine->index))
		return;
	to = successor(out, mine);
	if (to == 0 ||
	    (!own->stopping &&
		out->now - sh->rank_since < own->settings.handover_settle_ms))
		return;
	if (count_handovers(own) >= own->settings.max_handovers ||
	    out->now >= horizon(own, sh))
		return;
	action = out_shard(out, OWN_ACT_PREPARE, mine->index);
	if (action == NULL)
		return;
	action->session = to;
	mine->successor = to;
	mine->ready = false;
	mine->phase = OWN_PREPARING;
}

static void
decide_handover(struct out *out, struct mine *mine)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[mine->index];
	uint64_t holders[OWN_HOLDERS];
	char session[PLG_SESSION_SIZE];
	char to[PLG_SESSION_SIZE];
	json_t *entry;
	unsigned keep = 0;

	if (mine->phase == OWN_GIVEN_UP) {
		/* Given up for good, so any live successor will do. */
		if (!mine->handover.repeat || !is_due(out, &mine->handover) ||
		    !refresh_rank(out, mine->index))
			return;
		if (successor(out, mine) != 0)
			mine->successor = successor(out, mine);
	} else if (mine->phase != OWN_PREPARING || !mine->ready) {
		return;
	} else if (mem_state(out->mem, mine->successor) != MEM_LIVE ||
	    out->now >= horizon(own, sh)) {
		mine->phase = OWN_SERVING;
		return;
	}
	/* This session has the state, so it takes the successor's place. */
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		holders[i] = sh->holders[i];
		if (holders[i] == mine->successor || holders[i] == 0)
			holders[i] =
			    own->stopping || keep++ > 0 ? 0 : own->self.session;
	}
	entry = entry_encode(own, mine->index, holders);
	(void)json_object_set_new(
	    entry, "to", json_string(plg_session_format(to, mine->successor)));
	if (out_record(out,
		json_pack("{s:s, s:s, s:[o]}", "kind", "handover", "session",
		    plg_session_format(session, own->self.session), "shards",
		    entry),
		&mine->handover))
		mine->phase = OWN_GIVEN_UP;
}

static void
decide_phase(struct out *out, struct mine *mine)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[mine->index];
	struct own_action *action;

	if (mine->phase == OWN_WAITING && out->now >= sh->ready_at) {
		action = out_shard(out, OWN_ACT_RECOVER, mine->index);
		if (action == NULL)
			return;
		memcpy(action->sources, sh->sources, sizeof(sh->sources));
		mine->phase = OWN_RECOVERING;
	}
	if (mine->copy_due && mine->phase == OWN_SERVING) {
		action = out_shard(out, OWN_ACT_COPY, mine->index);
		if (action == NULL)
			return;
		memcpy(action->holders, sh->holders, sizeof(sh->holders));
		mine->copy_due = false;
	}
}

/* Whether the session still has a shard that it can hand over. */
static bool
has_work_left(struct out *out)
{
	struct own *own = out->own;

	if (own->left)
		return (false);
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		if (mine->phase == OWN_PREPARING || mine->phase == OWN_GIVEN_UP)
			return (true);
		if (mine->phase == OWN_SERVING &&
		    (!refresh_rank(out, mine->index) ||
			successor(out, mine) != 0))
			return (true);
	}
	return (false);
}

static void
decide_close(struct out *out)
{
	struct own *own = out->own;

	if (!own->stopping || !is_due(out, &own->close))
		return;
	if (own->close.ref == 0 && has_work_left(out))
		return;
	(void)out_record(out, own_record_close(own->self.session), &own->close);
}

static bool
is_in_use(const struct own *own, uint64_t session)
{
	for (unsigned i = 0; i < own->n_shards; i++) {
		const struct shard *sh = &own->shards[i];

		if (sh->owner == session || is_holder(sh, session))
			return (true);
	}
	return (false);
}

/*
 * Close the session of an instance that died long ago, so that the table does
 * not fill up.  One at a time, by the session that ranks first.
 */
static void
decide_forget(struct out *out)
{
	struct own *own = out->own;
	struct own_settings *s = &own->settings;
	uint64_t first = 0;
	GHashTableIter iter;
	gpointer value;

	if (out->now - own->forget_at < s->repeat_ms)
		return;
	own->forget_at = out->now;
	(void)mem_rank(out->mem, own->self.datacentre, 0, true, &first, 1);
	if (first != own->self.session)
		return;
	g_hash_table_iter_init(&iter, own->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;
		uint64_t number = session->identity.session;
		struct mem_info info;
		json_t *record;

		if (session->identity.datacentre != own->self.datacentre ||
		    !mem_info(out->mem, number, &info) ||
		    info.state == MEM_LIVE ||
		    out->now - info.state_since < s->forget_ms ||
		    is_in_use(own, number))
			continue;
		record = own_record_close(number);
		(void)json_object_set_new(record, "session",
		    json_string(plg_session_format(
			(char[PLG_SESSION_SIZE]){0}, own->self.session)));
		(void)out_record(out, record, &own->forget);
		return;
	}
}

size_t
own_decide(struct own *own, const struct mem *mem, clk_ms now,
    struct own_action *actions, size_t max)
{
	struct out out = {.own = own,
	    .mem = mem,
	    .now = now,
	    .actions = actions,
	    .max = max,
	    .ranks = OWN_RANKS_PER_CALL};
	struct batch holders = {.kind = "holders"};

	if (own->incomplete || own->stopped || own->opened_at < 0)
		return (0);
	for (unsigned i = 0; i < own->mine->len; i++)
		decide_phase(&out, g_ptr_array_index(own->mine, i));
	/* Without the log an append would only wait in the queue. */
	if (own->log_read == NEVER ||
	    now - own->log_read > own->settings.log_fresh_ms)
		return (out.n);
	if (!own->left) {
		for (unsigned i = 0; i < own->mine->len; i++) {
			struct mine *mine = g_ptr_array_index(own->mine, i);

			decide_handover(&out, mine);
			decide_holders(&out, &holders, mine);
			decide_prepare(&out, mine);
		}
	}
	if (!own->stopping) {
		decide_claims(&out);
		decide_forget(&out);
	}
	decide_close(&out);
	return (out.n);
}

static size_t
watch(const struct own *own, uint64_t session, uint64_t *sessions, size_t n,
    size_t max)
{
	const struct session *s = find_session(own, session);

	if (s == NULL || s->identity.datacentre == own->self.datacentre ||
	    n >= max)
		return (n);
	for (size_t i = 0; i < n; i++) {
		if (sessions[i] == session)
			return (n);
	}
	sessions[n] = session;
	return (n + 1);
}

size_t
own_watched(const struct own *own, uint64_t *sessions, size_t max)
{
	size_t n = 0;

	for (unsigned i = 0; i < own->mine->len; i++) {
		const struct mine *mine = g_ptr_array_index(own->mine, i);

		for (unsigned k = 0; k < mine->n_candidates; k++)
			n = watch(
			    own, mine->candidates[k].session, sessions, n, max);
	}
	for (unsigned i = 0; i < own->n_shards; i++) {
		const struct shard *sh = &own->shards[i];
		unsigned datacentre = i / own->settings.shards;

		/* For a lost data centre, those who would claim it. */
		if (datacentre == own->self.datacentre ||
		    (own->lost[datacentre] &&
			(is_holder(sh, own->self.session) ||
			    sh->rank_other == own->self.session)))
			n = watch(own, sh->owner, sessions, n, max);
	}
	return (n);
}

/* Returns whether the submission is certain to have had no effect. */
static bool
submitted_done(
    struct submitted *submitted, uint64_t ref, enum own_append outcome)
{
	if (submitted->ref != ref)
		return (false);
	if (outcome == OWN_REFUSED && !submitted->unknown) {
		memset(submitted, 0, sizeof(*submitted));
		return (true);
	}
	if (outcome == OWN_UNKNOWN)
		submitted->unknown = true;
	if (outcome != OWN_APPENDED)
		submitted->repeat = true;
	return (false);
}

void
own_append_done(struct own *own, uint64_t ref, enum own_append outcome)
{
	for (unsigned i = own->claims->len; i-- > 0;) {
		struct claim *claim = g_ptr_array_index(own->claims, i);

		if (submitted_done(&claim->submitted, ref, outcome))
			drop_claim(own, &own->shards[claim->index]);
	}
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		if (submitted_done(&mine->holders, ref, outcome))
			update_candidates(own, mine);
		if (submitted_done(&mine->handover, ref, outcome) && !own->left)
			mine->phase = OWN_SERVING;
	}
	(void)submitted_done(&own->close, ref, outcome);
}

json_t *
own_record_close(uint64_t session)
{
	char text[PLG_SESSION_SIZE];

	(void)plg_session_format(text, session);
	return (json_pack("{s:s, s:s, s:s}", "kind", "session_close", "session",
	    text, "closes", text));
}

json_t *
own_record_datacentre_lost(
    const struct own *own, unsigned datacentre, bool lost)
{
	return (json_pack("{s:s, s:i, s:b, s:I}", "kind", "datacentre_lost",
	    "datacentre", (int)datacentre, "lost", lost, "base",
	    (json_int_t)own->lost_offset[datacentre]));
}
