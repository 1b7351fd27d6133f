#include "own/own_impl.h"

#include <string.h>

#include "plog/plog.h"

#define DEFAULT_TAKEOVER_MS	   (3 * CLK_SECOND)
#define DEFAULT_TAKEOVER_OTHER_MS  (10 * CLK_MINUTE)
#define DEFAULT_DRIFT_PERMILLE	   10
#define DEFAULT_SETTLE_MS	   (2 * CLK_SECOND)
#define DEFAULT_STAGGER_MS	   (2 * CLK_SECOND)
#define DEFAULT_LOG_MAX_AGE_MS	   (4 * CLK_SECOND)
#define DEFAULT_HANDOVER_SETTLE_MS (5 * CLK_SECOND)
#define DEFAULT_MAX_HANDOVERS	   4
#define DEFAULT_HOLDER_REPLACE_MS  (2 * CLK_SECOND)
#define DEFAULT_APPEND_RETRY_MS	   (5 * CLK_SECOND)
#define DEFAULT_SESSION_EXPIRY_MS  (10 * CLK_MINUTE)
#define MAX_SHARDS		   65536
/* Closed sessions that are kept, so that a late duplicate of a session_open
 * record does not open the session again. */
#define MAX_CLOSED_SESSIONS 1024
#define MAX_SESSIONS	    MEMBER_MAX_SESSIONS

/* Allowance for clock drift (rule 6): the owner's wait is shortened, the
 * claimant's lengthened. */
static clk_ms
wait_shorten(const struct own *own, clk_ms wait)
{
	return (wait * (1000 - own->settings.drift_permille) / 1000);
}

static clk_ms
wait_lengthen(const struct own *own, clk_ms wait)
{
	if (wait == 0)
		return (0);
	/* The additional ms allows for clocks that are read in whole ms. */
	return (
	    (wait * (1000 + own->settings.drift_permille) + 999) / 1000 + 1);
}

/* Convert a duration of another clock to the longest possible by this one. */
clk_ms
own_clock_convert(const struct own *own, clk_ms duration)
{
	clk_ms slow = 1000 - own->settings.drift_permille;
	clk_ms fast = 1000 + own->settings.drift_permille;

	return ((duration * fast + slow - 1) / slow + 1);
}

static clk_ms
value_or_default(clk_ms value, clk_ms otherwise)
{
	return (value > 0 ? value : otherwise);
}

static void
settings_set_defaults(struct own_settings *s)
{
	s->datacentres = CLAMP(s->datacentres, 1, OWN_MAX_DATACENTRES);
	s->shards = CLAMP(s->shards, 1, MAX_SHARDS);
	s->takeover_ms = value_or_default(s->takeover_ms, DEFAULT_TAKEOVER_MS);
	s->takeover_other_ms =
	    value_or_default(s->takeover_other_ms, DEFAULT_TAKEOVER_OTHER_MS);
	/* A session that holds no replica must not wait less than a holder. */
	s->takeover_other_ms = MAX(s->takeover_other_ms, s->takeover_ms);
	if (s->takeover_datacentre_ms > 0)
		s->takeover_datacentre_ms =
		    MAX(s->takeover_datacentre_ms, s->takeover_ms);
	if (s->drift_permille == 0)
		s->drift_permille = DEFAULT_DRIFT_PERMILLE;
	s->drift_permille = CLAMP(s->drift_permille, 0, 500);
	s->settle_ms = value_or_default(s->settle_ms, DEFAULT_SETTLE_MS);
	s->stagger_ms = value_or_default(s->stagger_ms, DEFAULT_STAGGER_MS);
	s->log_max_age_ms =
	    value_or_default(s->log_max_age_ms, DEFAULT_LOG_MAX_AGE_MS);
	s->handover_settle_ms =
	    value_or_default(s->handover_settle_ms, DEFAULT_HANDOVER_SETTLE_MS);
	if (s->max_handovers == 0)
		s->max_handovers = DEFAULT_MAX_HANDOVERS;
	s->holder_replace_ms =
	    value_or_default(s->holder_replace_ms, DEFAULT_HOLDER_REPLACE_MS);
	s->append_retry_ms =
	    value_or_default(s->append_retry_ms, DEFAULT_APPEND_RETRY_MS);
	s->session_expiry_ms =
	    value_or_default(s->session_expiry_ms, DEFAULT_SESSION_EXPIRY_MS);
}

struct own *
own_open(
    const struct own_settings *settings, const struct member_identity *self)
{
	struct own *own = g_new0(struct own, 1);

	own->settings = *settings;
	settings_set_defaults(&own->settings);
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
	own->log_read_at = NEVER;
	own->last_claim_offset = -1;
	own->opened_at = -1;
	own->expiry_checked_at = NEVER;
	own->owned = g_ptr_array_new_with_free_func(g_free);
	own->claims = g_ptr_array_new_with_free_func(g_free);
	return (own);
}

void
own_close(struct own *own)
{
	if (own == NULL)
		return;
	own_restore_reset(&own->restore);
	g_ptr_array_free(own->owned, TRUE);
	g_ptr_array_free(own->claims, TRUE);
	g_queue_free(own->closed_order);
	g_hash_table_destroy(own->closed);
	g_hash_table_destroy(own->sessions);
	g_free(own->shards);
	g_free(own);
}

/* Return the shard of an id, which must be in range. */
struct shard *
own_shard_at(const struct own *own, struct own_shard_id id)
{
	return (&own->shards[id.datacentre * own->settings.shards + id.shard]);
}

static struct shard *
find_shard(const struct own *own, struct own_shard_id id)
{
	if (id.datacentre >= own->settings.datacentres ||
	    id.shard >= own->settings.shards)
		return (NULL);
	return (own_shard_at(own, id));
}

struct own_shard_id
own_id_at(const struct own *own, unsigned index)
{
	return ((struct own_shard_id){(uint16_t)(index / own->settings.shards),
	    (uint16_t)(index % own->settings.shards)});
}

struct session *
own_session_find(const struct own *own, uint64_t session)
{
	return (g_hash_table_lookup(own->sessions, &session));
}

bool
own_is_holder(const struct shard *sh, uint64_t session)
{
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		if (sh->holders[i] == session && session != 0)
			return (true);
	}
	return (false);
}

/* Ownership of this session. */

void
own_submission_mark_unknown(struct submission *submitted)
{
	if (submitted->ref != 0) {
		submitted->outcome_unknown = true;
		submitted->retry = true;
	}
}

static void
candidate_add(struct owned_shard *owned, const struct candidate *old,
    unsigned n_old, uint64_t session)
{
	struct candidate *added = &owned->candidates[owned->n_candidates];

	if (session == 0)
		return;
	for (unsigned i = 0; i < owned->n_candidates; i++) {
		if (owned->candidates[i].session == session)
			return;
	}
	added->session = session;
	added->confirmed_at = NEVER;
	for (unsigned i = 0; i < n_old; i++) {
		if (old[i].session == session)
			added->confirmed_at = old[i].confirmed_at;
	}
	owned->n_candidates++;
}

/* Rule 8: the candidates are the holders in the map and the proposed ones. */
void
own_candidates_update(struct own *own, struct owned_shard *owned)
{
	const struct shard *sh = &own->shards[owned->index];
	struct candidate old[OWN_MAX_CANDIDATES];
	unsigned n_old = owned->n_candidates;

	memcpy(old, owned->candidates, sizeof(old));
	owned->n_candidates = 0;
	for (unsigned i = 0; i < OWN_HOLDERS; i++)
		candidate_add(owned, old, n_old, sh->holders[i]);
	if (owned->holders_append.ref == 0)
		return;
	for (unsigned i = 0; i < OWN_HOLDERS; i++)
		candidate_add(owned, old, n_old, owned->proposed_holders[i]);
}

void
own_shard_gain(struct own *own, unsigned index, enum own_phase phase)
{
	struct owned_shard *owned = g_new0(struct owned_shard, 1);

	owned->index = index;
	owned->phase = phase;
	owned->copy_due = phase == OWN_SERVING;
	own->shards[index].owned = owned;
	g_ptr_array_add(own->owned, owned);
	own_candidates_update(own, owned);
}

void
own_shard_lose(struct own *own, struct shard *sh)
{
	if (sh->owned == NULL)
		return;
	(void)g_ptr_array_remove_fast(own->owned, sh->owned);
	sh->owned = NULL;
}

static void
shards_lose_all(struct own *own)
{
	for (unsigned i = 0; i < own->owned->len; i++) {
		struct owned_shard *owned = g_ptr_array_index(own->owned, i);

		own->shards[owned->index].owned = NULL;
	}
	g_ptr_array_set_size(own->owned, 0);
}

void
own_claim_drop(struct own *own, struct shard *sh)
{
	if (sh->claim == NULL)
		return;
	(void)g_ptr_array_remove_fast(own->claims, sh->claim);
	sh->claim = NULL;
}

/* After a change of the epoch, drop a pending claim based on another one. */
void
own_epoch_changed(struct own *own, struct shard *sh)
{
	if (sh->claim != NULL && sh->claim->epoch != sh->epoch)
		own_claim_drop(own, sh);
	if (sh->owner != own->self.session)
		own_shard_lose(own, sh);
	sh->orphan_since = -1;
}

/* Decoding. */

bool
own_number_decode(
    const json_t *object, const char *key, int64_t max, uint64_t *value)
{
	const json_t *number = json_object_get(object, key);

	if (!json_is_integer(number) || json_integer_value(number) < 0 ||
	    json_integer_value(number) > max)
		return (false);
	*value = (uint64_t)json_integer_value(number);
	return (true);
}

bool
own_session_decode(const json_t *object, const char *key, uint64_t *session)
{
	return (plog_session_parse(
	    json_string_value(json_object_get(object, key)), session));
}

bool
own_sessions_decode(const json_t *list, uint64_t *sessions, size_t max)
{
	memset(sessions, 0, max * sizeof(*sessions));
	if (!json_is_array(list) || json_array_size(list) > max)
		return (false);
	for (size_t i = 0; i < json_array_size(list); i++) {
		if (!plog_session_parse(
			json_string_value(json_array_get(list, i)),
			&sessions[i]))
			return (false);
	}
	return (true);
}

json_t *
own_sessions_encode(const uint64_t *sessions, size_t n)
{
	json_t *list = json_array();
	char text[PLOG_SESSION_SIZE];

	for (size_t i = 0; i < n; i++) {
		if (sessions[i] != 0)
			(void)json_array_append_new(list,
			    json_string(
				plog_session_format(text, sessions[i])));
	}
	return (list);
}

bool
own_entry_decode(const struct own *own, enum record_kind kind,
    const json_t *json, struct record_entry *e)
{
	uint64_t datacentre;
	uint64_t shard;

	memset(e, 0, sizeof(*e));
	if (!own_number_decode(json, "datacentre",
		(int64_t)own->settings.datacentres - 1, &datacentre) ||
	    !own_number_decode(
		json, "shard", (int64_t)own->settings.shards - 1, &shard) ||
	    !own_number_decode(json, "epoch", INT64_MAX - 1, &e->epoch) ||
	    !own_sessions_decode(
		json_object_get(json, "holders"), e->holders, OWN_HOLDERS))
		return (false);
	e->id = (struct own_shard_id){(uint16_t)datacentre, (uint16_t)shard};
	if (kind == KIND_HANDOVER)
		return (own_session_decode(json, "to", &e->to));
	if (kind == KIND_HOLDERS)
		return (own_number_decode(
		    json, "revision", INT64_MAX - 1, &e->revision));
	return (true);
}

/* Applying. */

static bool
is_voluntarily_closed(const struct own *own, uint64_t session)
{
	const struct closed_session *closed =
	    g_hash_table_lookup(own->closed, &session);

	return (closed != NULL && closed->voluntary);
}

/* Whether a session may act as one of the shard's data centre. */
bool
own_is_inside(
    const struct own *own, unsigned datacentre, const struct session *session)
{
	return (session->identity.datacentre == datacentre ||
	    own->lost[datacentre]);
}

/* Return the wait W of a valid claim (rules 2 and 3). */
static clk_ms
claim_wait(const struct own *own, const struct shard *sh, unsigned datacentre,
    const struct session *by)
{
	if (sh->epoch == 0 || is_voluntarily_closed(own, sh->owner))
		return (0);
	if (!own_is_inside(own, datacentre, by))
		return (own->settings.takeover_datacentre_ms);
	if (own_is_holder(sh, by->identity.session))
		return (own->settings.takeover_ms);
	return (own->settings.takeover_other_ms);
}

static void
source_add(struct shard *sh, uint64_t session)
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
    const struct record_entry *e, clk_ms now)
{
	struct shard *sh = own_shard_at(own, e->id);
	clk_ms base = claim_wait(own, sh, e->id.datacentre, by);
	clk_ms wait = wait_lengthen(own, base);

	sh->waited = base > 0 ? wait : 0;
	/* Rule 2: the wait of an earlier claim must end as well. */
	sh->ready_at = MAX(sh->ready_at, now + wait);
	if (sh->holders_confirmed || sh->epoch == 0)
		memset(sh->sources, 0, sizeof(sh->sources));
	for (unsigned i = 0; i < OWN_HOLDERS; i++)
		source_add(sh, sh->holders[i]);
	sh->holders_confirmed = false;
	memcpy(sh->holders, e->holders, sizeof(sh->holders));
	sh->owner = by->identity.session;
	sh->epoch++;
	sh->revision++;
	sh->offset = offset;
	own_shard_lose(own, sh);
	own_epoch_changed(own, sh);
	if (sh->owner == own->self.session) {
		own->last_claim_offset = offset;
		own_shard_gain(own, (unsigned)(sh - own->shards), OWN_WAITING);
	}
}

static void
apply_handover(struct own *own, int64_t offset, const struct record_entry *e)
{
	struct shard *sh = own_shard_at(own, e->id);

	memcpy(sh->holders, e->holders, sizeof(sh->holders));
	memset(sh->sources, 0, sizeof(sh->sources));
	sh->holders_confirmed = true;
	sh->owner = e->to;
	sh->epoch++;
	sh->revision++;
	sh->offset = offset;
	/* The owner was acting, so every earlier wait has ended. */
	sh->ready_at = NEVER;
	sh->waited = 0;
	own_shard_lose(own, sh);
	own_epoch_changed(own, sh);
	if (sh->owner == own->self.session)
		own_shard_gain(own, (unsigned)(sh - own->shards), OWN_SERVING);
}

static void
apply_holders(struct own *own, const struct record_entry *e)
{
	struct shard *sh = own_shard_at(own, e->id);

	memcpy(sh->holders, e->holders, sizeof(sh->holders));
	memset(sh->sources, 0, sizeof(sh->sources));
	sh->holders_confirmed = true;
	sh->revision++;
	sh->ready_at = NEVER;
	if (sh->owned != NULL) {
		memset(&sh->owned->holders_append, 0,
		    sizeof(sh->owned->holders_append));
		sh->owned->copy_due = true;
		own_candidates_update(own, sh->owned);
	}
}

static bool
entry_is_valid(const struct own *own, enum record_kind kind,
    const struct session *by, const struct record_entry *e)
{
	const struct shard *sh = own_shard_at(own, e->id);
	uint64_t session = by->identity.session;

	if (e->epoch != sh->epoch)
		return (false);
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		if (e->holders[i] == (kind == KIND_HANDOVER ? e->to : session))
			return (false);
	}
	if (kind == KIND_CLAIM)
		return (session != sh->owner &&
		    (own_is_inside(own, e->id.datacentre, by) ||
			own->settings.takeover_datacentre_ms > 0));
	if (session != sh->owner)
		return (false);
	if (kind == KIND_HANDOVER)
		return (
		    e->to != session && own_session_find(own, e->to) != NULL);
	return (e->revision == sh->revision);
}

/*
 * Handle an entry of this session that was read and is not valid.  Only the
 * record of the last submission counts: a duplicate of an earlier record does
 * not show that the last one failed.
 */
static void
own_entry_rejected(struct own *own, enum record_kind kind, uint64_t ref,
    const struct record_entry *e)
{
	struct shard *sh = own_shard_at(own, e->id);

	if (e->epoch != sh->epoch)
		return;
	/* A later copy of the record may be valid, if the data centre has been
	 * declared lost, so the claim stays pending until the epoch changes. */
	if (kind == KIND_CLAIM && sh->claim != NULL)
		own_submission_mark_unknown(&sh->claim->submitted);
	if (kind == KIND_HANDOVER && sh->owned != NULL &&
	    sh->owned->handover_append.ref == ref) {
		if (sh->owned->handover_append.outcome_unknown) {
			sh->owned->handover_append.retry = true;
			return;
		}
		memset(&sh->owned->handover_append, 0,
		    sizeof(sh->owned->handover_append));
		sh->owned->phase = OWN_SERVING;
	}
}

static enum own_applied
apply_shards(struct own *own, int64_t offset, enum record_kind kind,
    const json_t *record, clk_ms now)
{
	const json_t *list = json_object_get(record, "shards");
	struct record_entry entries[OWN_RECORD_SHARDS];
	size_t n = json_array_size(list);
	enum own_applied applied = OWN_NOT_VALID;
	const struct session *by;
	uint64_t session;
	uint64_t ref;

	if (!own_number_decode(record, "ref", INT64_MAX - 1, &ref))
		ref = 0;
	if (!own_session_decode(record, "session", &session) ||
	    !json_is_array(list) || n > OWN_RECORD_SHARDS)
		return (OWN_UNDECODABLE);
	for (size_t i = 0; i < n; i++) {
		if (!own_entry_decode(
			own, kind, json_array_get(list, i), &entries[i]))
			return (OWN_UNDECODABLE);
	}
	by = own_session_find(own, session);
	if (by == NULL)
		return (OWN_NOT_VALID);
	for (size_t i = 0; i < n; i++) {
		if (!entry_is_valid(own, kind, by, &entries[i])) {
			if (session == own->self.session)
				own_entry_rejected(own, kind, ref, &entries[i]);
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

void
own_session_add(struct own *own, const struct member_identity *identity,
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
	struct member_identity identity;

	if (!member_identity_decode(record, &identity) ||
	    identity.datacentre >= own->settings.datacentres)
		return (OWN_UNDECODABLE);
	if (own_session_find(own, identity.session) != NULL ||
	    g_hash_table_contains(own->closed, &identity.session) ||
	    g_hash_table_size(own->sessions) >= MAX_SESSIONS)
		return (OWN_NOT_VALID);
	own_session_add(own, &identity, offset, now);
	return (OWN_APPLIED);
}

void
own_closed_add(struct own *own, uint64_t session, bool voluntary)
{
	struct closed_session *closed = g_new0(struct closed_session, 1);

	while (g_queue_get_length(own->closed_order) >= MAX_CLOSED_SESSIONS) {
		struct closed_session *oldest =
		    g_queue_pop_head(own->closed_order);

		(void)g_hash_table_remove(own->closed, &oldest->session);
	}
	closed->session = session;
	closed->voluntary = voluntary;
	(void)g_hash_table_insert(own->closed, &closed->session, closed);
	g_queue_push_tail(own->closed_order, closed);
}

void
own_session_closed(struct own *own)
{
	own->stopped = true;
	shards_lose_all(own);
}

static enum own_applied
apply_session_close(struct own *own, const json_t *record)
{
	uint64_t by;
	uint64_t closes;

	if (!own_session_decode(record, "session", &by) ||
	    !own_session_decode(record, "closes", &closes))
		return (OWN_UNDECODABLE);
	if (own_session_find(own, closes) == NULL)
		return (OWN_NOT_VALID);
	(void)g_hash_table_remove(own->sessions, &closes);
	own_closed_add(own, closes, by == closes);
	if (closes == own->self.session)
		own_session_closed(own);
	return (OWN_APPLIED);
}

static enum own_applied
apply_datacentre_lost(struct own *own, int64_t offset, const json_t *record)
{
	const json_t *lost = json_object_get(record, "lost");
	const json_t *base = json_object_get(record, "base");
	uint64_t datacentre;

	if (!own_number_decode(record, "datacentre",
		(int64_t)own->settings.datacentres - 1, &datacentre) ||
	    !json_is_boolean(lost) || !json_is_integer(base))
		return (OWN_UNDECODABLE);
	if (json_integer_value(base) != own->lost_offset[datacentre])
		return (OWN_NOT_VALID);
	own->lost[datacentre] = json_is_true(lost);
	own->lost_offset[datacentre] = offset;
	/* Rankings exclude lost sessions, so compute them again. */
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
	return (OWN_IGNORED);
}

enum own_applied
own_apply(struct own *own, int64_t offset, const json_t *record, clk_ms now)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	enum own_applied applied;

	if (own->incomplete) {
		if (kind != NULL && strcmp(kind, "map") == 0)
			(void)own_restore(own, record, now);
		return (OWN_IGNORED);
	}
	if (offset < own->next_offset)
		return (OWN_DUPLICATE);
	own->next_offset = offset + 1;
	if (kind == NULL)
		applied = OWN_UNDECODABLE;
	else
		applied = apply_kind(own, offset, kind, record, now);
	if (applied == OWN_UNDECODABLE)
		own->undecodable++;
	return (applied);
}

int64_t
own_next_offset(const struct own *own)
{
	return (own->next_offset);
}

void
own_skip_dropped(struct own *own, int64_t next)
{
	if (!own->incomplete)
		own->next_offset = MAX(own->next_offset, next);
}

void
own_log_read_done(struct own *own, clk_ms started_at)
{
	if (!own->incomplete)
		own->log_read_at = MAX(own->log_read_at, started_at);
}

void
own_peer_read_done(struct own *own, clk_ms asked_at, clk_ms age)
{
	if (age >= 0)
		own_log_read_done(own, asked_at - own_clock_convert(own, age));
}

clk_ms
own_log_age(const struct own *own, clk_ms now)
{
	return (
	    own->log_read_at == NEVER ? -1 : MAX(0, now - own->log_read_at));
}

void
own_gap_set(struct own *own, int64_t first)
{
	if (first <= own->next_offset)
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
own_undecodable_count(const struct own *own)
{
	return (own->undecodable);
}

/* Heartbeats. */

void
own_pending_get(const struct own *own, struct own_pending_claims *pending)
{
	pending->last_claim_offset = own->last_claim_offset;
	pending->truncated = own->claims->len > OWN_PENDING_MAX;
	pending->n = MIN(own->claims->len, OWN_PENDING_MAX);
	for (unsigned i = 0; i < pending->n; i++) {
		const struct pending_claim *claim =
		    g_ptr_array_index(own->claims, i);

		pending->shards[i] = own_id_at(own, claim->index);
	}
}

static bool
pending_contains(
    const struct own_pending_claims *pending, struct own_shard_id id)
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
    const struct own_pending_claims *pending)
{
	/* Rule 5. */
	if (pending->truncated ||
	    own->next_offset <= pending->last_claim_offset)
		return;
	for (unsigned i = 0; i < own->owned->len; i++) {
		struct owned_shard *owned = g_ptr_array_index(own->owned, i);

		for (unsigned k = 0; k < owned->n_candidates; k++) {
			struct candidate *c = &owned->candidates[k];

			if (c->session == session &&
			    sent_at > c->confirmed_at &&
			    !pending_contains(
				pending, own_id_at(own, owned->index)))
				c->confirmed_at = sent_at;
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
	shard->holders_confirmed = sh->holders_confirmed;
	shard->offset = sh->offset;
	shard->waited = sh->waited;
	shard->phase = sh->owned != NULL ? sh->owned->phase : OWN_NONE;
	return (true);
}

/* Whether a candidate for the shard may claim it after takeover_ms. */
static bool
may_take_over(const struct own *own, unsigned datacentre, uint64_t session)
{
	const struct session *s = own_session_find(own, session);

	/* A closed session cannot claim; one that is not open yet can. */
	if (s == NULL)
		return (!g_hash_table_contains(own->closed, &session));
	/*
	 * An owner outside of the shard's data centre mostly owns the shard
	 * because the data centre was declared lost.  That may happen again
	 * before the owner reads the record, so every candidate counts.
	 */
	return (own_is_inside(own, datacentre, s) ||
	    own->self.datacentre != datacentre);
}

clk_ms
own_horizon_of(const struct own *own, const struct shard *sh)
{
	const struct own_settings *s = &own->settings;
	const struct owned_shard *owned = sh->owned;
	unsigned datacentre;
	clk_ms until;

	if (owned == NULL || own->released || own->stopped ||
	    own->close_append.ref != 0 || owned->phase == OWN_WAITING ||
	    owned->phase == OWN_RELEASED || own->log_read_at == NEVER)
		return (NEVER);
	datacentre = own_id_at(own, owned->index).datacentre;
	until = own->log_read_at + wait_shorten(own, s->takeover_other_ms);
	if (s->takeover_datacentre_ms > 0)
		until = MIN(until,
		    own->log_read_at +
			wait_shorten(own, s->takeover_datacentre_ms));
	for (unsigned i = 0; i < owned->n_candidates; i++) {
		const struct candidate *c = &owned->candidates[i];

		if (may_take_over(own, datacentre, c->session))
			until = MIN(until,
			    MAX(own->log_read_at, c->confirmed_at) +
				wait_shorten(own, s->takeover_ms));
	}
	return (until);
}

clk_ms
own_horizon(const struct own *own, struct own_shard_id id, clk_ms now)
{
	const struct shard *sh = find_shard(own, id);

	(void)now;
	return (sh != NULL ? own_horizon_of(own, sh) : NEVER);
}

bool
own_may_act(const struct own *own, struct own_shard_id id, clk_ms now)
{
	return (now < own_horizon(own, id, now));
}

bool
own_may_begin_calls(const struct own *own, struct own_shard_id id, clk_ms now)
{
	const struct shard *sh = find_shard(own, id);

	return (sh != NULL && sh->owned != NULL &&
	    sh->owned->phase == OWN_SERVING && !own->stopping &&
	    own_may_act(own, id, now));
}

bool
own_holds_replica(const struct own *own, struct own_shard_id id)
{
	const struct shard *sh = find_shard(own, id);

	return (sh != NULL && own_is_holder(sh, own->self.session));
}

unsigned
own_owned_count(const struct own *own)
{
	return (own->owned->len);
}

static struct owned_shard *
find_owned(struct own *own, struct own_shard_id id, uint64_t epoch)
{
	struct shard *sh = find_shard(own, id);

	return (sh != NULL && sh->epoch == epoch ? sh->owned : NULL);
}

void
own_recovery_done(struct own *own, struct own_shard_id id, uint64_t epoch)
{
	struct owned_shard *owned = find_owned(own, id, epoch);

	if (owned != NULL && owned->phase == OWN_RECOVERING)
		owned->phase = OWN_SERVING;
}

void
own_handover_prepared(
    struct own *own, struct own_shard_id id, uint64_t epoch, bool ready)
{
	struct owned_shard *owned = find_owned(own, id, epoch);

	if (owned == NULL || owned->phase != OWN_PREPARING)
		return;
	owned->successor_ready = ready;
	if (!ready)
		owned->phase = OWN_SERVING;
}

void
own_stop_begin(struct own *own)
{
	own->stopping = true;
}

void
own_release_all(struct own *own)
{
	own->stopping = true;
	own->released = true;
	for (unsigned i = 0; i < own->owned->len; i++) {
		struct owned_shard *owned = g_ptr_array_index(own->owned, i);

		owned->phase = OWN_RELEASED;
	}
}

bool
own_session_is_closed(const struct own *own)
{
	return (own->stopped);
}
