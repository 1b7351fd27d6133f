#include "own/own_impl.h"

#include <limits.h>
#include <string.h>

#include "plog/plg.h"

#define MAX_RANK 16
/* A session that holds no copy has to wait for takeover_other_ms, so it lets
 * the holders go first for this many times stagger_ms. */
#define OTHER_POSITION 5

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
	action->id = own_id_at(out->own, index);
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
	struct own_shard_id id = own_id_at(own, index);

	return (json_pack("{s:i, s:i, s:I, s:o}", "datacentre",
	    (int)id.datacentre, "shard", (int)id.shard, "epoch",
	    (json_int_t)own->shards[index].epoch, "holders",
	    own_put_sessions(holders, OWN_HOLDERS)));
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
		const struct session *s =
		    own_session_find(out->own, sessions[i]);

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
	struct own_shard_id id = own_id_at(out->own, index);
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
	sh->rank_other[0] = n > 0 ? sessions[0] : 0;
	sh->rank_other[1] = n > 1 ? sessions[1] : 0;
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
	return (
	    sh->rank_other[0] != owner ? sh->rank_other[0] : sh->rank_other[1]);
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
	unsigned datacentre = own_id_at(own, index).datacentre;
	unsigned before = 0;

	if (own->self.datacentre != datacentre && !own->lost[datacentre])
		return (UINT_MAX);
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		const struct session *holder =
		    own_session_find(own, sh->holders[i]);

		if (sh->holders[i] == own->self.session)
			return (before);
		if (holder != NULL && own_is_inside(own, datacentre, holder) &&
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
	const struct session *owner = own_session_find(out->own, sh->owner);

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
	const struct session *s = own_session_find(out->own, session);
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
		    own_session_find(out->own, sh->holders[i]);

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
			    own_session_find(out->own, sh->holders[i]) != NULL)
				holders[k] = sh->holders[i];
		}
	}
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		if (holders[i] != 0 && !own_is_holder(sh, holders[i]))
			return (true);
	}
	return (false);
}

static void
decide_holders(struct out *out, struct batch *batch, struct mine *mine)
{
	struct own *own = out->own;
	struct shard *sh = &own->shards[mine->index];
	unsigned datacentre = own_id_at(own, mine->index).datacentre;
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
	own_candidates_update(own, mine);
}

/* The session that the shard should move to; 0: it stays. */
static uint64_t
successor(const struct out *out, const struct mine *mine)
{
	const struct own *own = out->own;
	const struct shard *sh = &own->shards[mine->index];
	uint64_t best = sh->rank[0];

	if (own->stopping || mine->phase == OWN_GIVEN_UP) {
		best = best_inside(sh, own->self.session);
		if (best == 0)
			best = best_other(sh, own->self.session);
	}
	if (best == own->self.session || own_session_find(own, best) == NULL)
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
	    out->now >= own_horizon_of(own, sh))
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
		if (own_session_find(own, mine->successor) == NULL)
			return;
	} else if (mine->phase != OWN_PREPARING || !mine->ready) {
		return;
	} else if (mem_state(out->mem, mine->successor) != MEM_LIVE ||
	    out->now >= own_horizon_of(own, sh)) {
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

		if (mine->phase == OWN_PREPARING ||
		    (mine->phase == OWN_GIVEN_UP && !mine->handover.repeat))
			return (true);
		if ((mine->phase == OWN_SERVING ||
			mine->phase == OWN_GIVEN_UP) &&
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

		if (sh->owner == session || own_is_holder(sh, session))
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
	const struct session *s = own_session_find(own, session);

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
			(own_is_holder(sh, own->self.session) ||
			    sh->rank_other[0] == own->self.session)))
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
			own_claim_drop(own, &own->shards[claim->index]);
	}
	for (unsigned i = 0; i < own->mine->len; i++) {
		struct mine *mine = g_ptr_array_index(own->mine, i);

		if (submitted_done(&mine->holders, ref, outcome))
			own_candidates_update(own, mine);
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
