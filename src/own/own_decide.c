#include "own/own_impl.h"

#include <limits.h>
#include <string.h>

#include "plog/plog.h"

#define MAX_RANK 16 /* sessions in a ranking */
/* Added to the position of a session that holds no replica if there are live
 * holders: its claim waits for takeover_other_ms, theirs for takeover_ms. */
#define NON_HOLDER_POSITION 5

struct decide_ctx {
	struct own *own;
	const struct member_table *members;
	clk_ms now;
	struct own_action *actions;
	size_t max;
	size_t n;
	unsigned rankings_left; /* in this call */
};

/* A record that collects the entries of several shards. */
struct batch {
	const char *kind;
	json_t *list;
	uint64_t ref;
};

static struct own_action *
action_add(struct decide_ctx *ctx, enum own_action_kind kind)
{
	struct own_action *action;

	if (ctx->n >= ctx->max)
		return (NULL);
	action = &ctx->actions[ctx->n++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return (action);
}

static struct own_action *
action_add_shard(
    struct decide_ctx *ctx, enum own_action_kind kind, unsigned index)
{
	struct own_action *action = action_add(ctx, kind);

	if (action == NULL)
		return (NULL);
	action->id = own_id_at(ctx->own, index);
	action->epoch = ctx->own->shards[index].epoch;
	return (action);
}

static bool
action_add_append(
    struct decide_ctx *ctx, json_t *record, struct submission *submitted)
{
	struct own_action *action = action_add(ctx, OWN_ACT_APPEND);

	if (action == NULL) {
		json_decref(record);
		return (false);
	}
	action->record = record;
	action->ref = ++ctx->own->last_ref;
	(void)json_object_set_new(
	    record, "ref", json_integer((json_int_t)action->ref));
	submitted->ref = action->ref;
	submitted->retry = false;
	submitted->submitted_at = ctx->now;
	return (true);
}

static bool
batch_add(struct decide_ctx *ctx, struct batch *batch, json_t *entry,
    struct submission *submitted)
{
	char session[PLOG_SESSION_SIZE];

	if (batch->list == NULL ||
	    json_array_size(batch->list) >= OWN_RECORD_SHARDS) {
		json_t *record = json_pack("{s:s, s:s, s:[]}", "kind",
		    batch->kind, "session",
		    plog_session_format(session, ctx->own->self.session),
		    "shards");

		batch->list = json_object_get(record, "shards");
		if (!action_add_append(ctx, record, submitted)) {
			batch->list = NULL;
			json_decref(entry);
			return (false);
		}
		batch->ref = submitted->ref;
	}
	(void)json_array_append_new(batch->list, entry);
	submitted->ref = batch->ref;
	submitted->retry = false;
	submitted->submitted_at = ctx->now;
	return (true);
}

static json_t *
entry_encode(const struct own *own, unsigned index, const uint64_t *holders)
{
	struct own_shard_id id = own_id_at(own, index);

	return (json_pack("{s:i, s:i, s:I, s:o}", "datacentre",
	    (int)id.datacentre, "shard", (int)id.shard, "epoch",
	    (json_int_t)own->shards[index].epoch, "holders",
	    own_sessions_encode(holders, OWN_HOLDERS)));
}

/* Whether a record may be submitted, or submitted again. */
static bool
is_due(const struct decide_ctx *ctx, const struct submission *submitted)
{
	return (submitted->ref == 0 ||
	    (submitted->retry &&
		ctx->now - submitted->submitted_at >=
		    ctx->own->settings.append_retry_ms));
}

/* A datacentre_lost record applies to the sessions that were open before it,
 * not to later ones. */
static bool
is_declared_lost(const struct own *own, const struct session *s)
{
	unsigned datacentre = s->identity.datacentre;

	return (
	    own->lost[datacentre] && s->opened < own->lost_offset[datacentre]);
}

/* Rank without the sessions that were declared lost.  They may get no
 * heartbeats, and the member table then reports them as live. */
static size_t
rank_live(const struct decide_ctx *ctx, struct own_shard_id id, bool within,
    uint64_t *sessions)
{
	size_t n = member_rank(
	    ctx->members, id.datacentre, id.shard, within, sessions, MAX_RANK);
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		const struct session *s =
		    own_session_find(ctx->own, sessions[i]);

		if (s != NULL && !is_declared_lost(ctx->own, s))
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

/* Update the shard's ranking.  Returns false if that has to wait for the next
 * call because rankings_left is 0. */
static bool
refresh_rank(struct decide_ctx *ctx, unsigned index)
{
	struct shard *sh = &ctx->own->shards[index];
	struct own_shard_id id = own_id_at(ctx->own, index);
	uint64_t sessions[MAX_RANK];
	uint64_t first = sh->rank_inside[0];
	size_t n;

	if (sh->rank_generation == member_generation(ctx->members))
		return (true);
	if (ctx->rankings_left == 0)
		return (false);
	ctx->rankings_left--;
	n = rank_live(ctx, id, true, sessions);
	sh->rank_inside[0] = n > 0 ? sessions[0] : 0;
	sh->rank_inside[1] = n > 1 ? sessions[1] : 0;
	sh->self_position = position_of(ctx->own->self.session, sessions, n);
	n = rank_live(ctx, id, false, sessions);
	sh->rank_other[0] = n > 0 ? sessions[0] : 0;
	sh->rank_other[1] = n > 1 ? sessions[1] : 0;
	if (ctx->own->self.datacentre != id.datacentre)
		sh->self_position =
		    position_of(ctx->own->self.session, sessions, n);
	if (sh->rank_inside[0] != first)
		sh->rank_since = ctx->now;
	sh->rank_generation = member_generation(ctx->members);
	return (true);
}

/* Return the best session of the data centre other than the owner. */
static uint64_t
best_inside(const struct shard *sh, uint64_t owner)
{
	return (sh->rank_inside[0] != owner ? sh->rank_inside[0]
					    : sh->rank_inside[1]);
}

static uint64_t
best_other(const struct shard *sh, uint64_t owner)
{
	return (
	    sh->rank_other[0] != owner ? sh->rank_other[0] : sh->rank_other[1]);
}

static void
claim_add(struct decide_ctx *ctx, struct batch *batch, unsigned index)
{
	struct own *own = ctx->own;
	struct shard *sh = &own->shards[index];
	uint64_t holders[OWN_HOLDERS] = {best_inside(sh, own->self.session),
	    best_other(sh, own->self.session)};
	struct pending_claim *claim;
	struct submission submitted = {0};

	if (sh->claim != NULL)
		submitted = sh->claim->submitted;
	else if (own->claims->len >= OWN_PENDING_MAX)
		return;
	if (!batch_add(
		ctx, batch, entry_encode(own, index, holders), &submitted))
		return;
	claim = sh->claim;
	if (claim == NULL) {
		claim = g_new0(struct pending_claim, 1);
		claim->index = index;
		claim->epoch = sh->epoch;
		sh->claim = claim;
		g_ptr_array_add(own->claims, claim);
	}
	claim->submitted = submitted;
}

/*
 * Return the position of this session among the candidates for a shard without
 * a live owner, which delays its claim by that many times stagger_ms; UINT_MAX
 * if it may not claim.
 */
static unsigned
claim_position(const struct decide_ctx *ctx, unsigned index)
{
	const struct own *own = ctx->own;
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
		    member_state_get(ctx->members, sh->holders[i]) ==
			MEMBER_LIVE)
			before++;
	}
	if (sh->self_position >= MAX_RANK)
		return (UINT_MAX);
	return (sh->self_position + (before > 0 ? NON_HOLDER_POSITION : 0));
}

static bool
has_live_owner(const struct decide_ctx *ctx, const struct shard *sh)
{
	const struct session *owner = own_session_find(ctx->own, sh->owner);

	return (owner != NULL && !is_declared_lost(ctx->own, owner) &&
	    member_state_get(ctx->members, sh->owner) == MEMBER_LIVE);
}

static void
decide_claim(struct decide_ctx *ctx, struct batch *batch, unsigned index)
{
	struct own *own = ctx->own;
	struct shard *sh = &own->shards[index];
	unsigned position;

	if (sh->claim != NULL) {
		if (is_due(ctx, &sh->claim->submitted) &&
		    claim_position(ctx, index) != UINT_MAX &&
		    refresh_rank(ctx, index))
			claim_add(ctx, batch, index);
		return;
	}
	if (sh->owner == own->self.session || has_live_owner(ctx, sh)) {
		sh->orphan_since = -1;
		return;
	}
	if (sh->orphan_since < 0)
		sh->orphan_since = ctx->now;
	if (ctx->now - own->opened_at < own->settings.settle_ms ||
	    !refresh_rank(ctx, index))
		return;
	position = claim_position(ctx, index);
	if (position != UINT_MAX &&
	    ctx->now - sh->orphan_since >=
		(clk_ms)position * own->settings.stagger_ms)
		claim_add(ctx, batch, index);
}

static void
decide_claims(struct decide_ctx *ctx)
{
	struct own *own = ctx->own;
	struct batch batch = {.kind = "claim"};
	unsigned start = own->claim_cursor;
	unsigned limit_index = own->n_shards;

	for (unsigned i = 0; i < own->n_shards; i++) {
		unsigned index = (start + i) % own->n_shards;
		unsigned datacentre = index / own->settings.shards;

		if (datacentre != own->self.datacentre &&
		    !own->lost[datacentre] && own->shards[index].claim == NULL)
			continue;
		if (ctx->rankings_left == 0 && limit_index == own->n_shards)
			limit_index = index;
		decide_claim(ctx, &batch, index);
	}
	/* The next call starts with the first shard that was not ranked. */
	if (limit_index < own->n_shards)
		own->claim_cursor = limit_index;
}

/* Whether to keep a holder: it is live, or has been suspected for less than
 * holder_replace_ms. */
static bool
holder_is_usable(const struct decide_ctx *ctx, uint64_t session)
{
	const struct session *s = own_session_find(ctx->own, session);
	struct member_info info;

	if (s == NULL || session == ctx->own->self.session ||
	    is_declared_lost(ctx->own, s) ||
	    !member_info_get(ctx->members, session, &info))
		return (false);
	return (info.state == MEMBER_LIVE ||
	    ctx->now - info.state_since < ctx->own->settings.holder_replace_ms);
}

/*
 * Choose the replica holders, one of the data centre and one of the others.
 * Usable holders are kept.  Any other place gets the best live session, or
 * keeps a dead holder if there is none.  Returns whether a chosen holder is
 * not one in the map.
 */
static bool
choose_holders(const struct decide_ctx *ctx, const struct shard *sh,
    unsigned datacentre, uint64_t *holders)
{
	uint64_t self = ctx->own->self.session;
	uint64_t inside = 0;
	uint64_t other = 0;

	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		const struct session *s =
		    own_session_find(ctx->own, sh->holders[i]);

		if (!holder_is_usable(ctx, sh->holders[i]))
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
			/* There is no other session for this place. */
			if (holders[k] == 0 && sh->holders[i] != 0 &&
			    sh->holders[i] != self &&
			    holders[0] != sh->holders[i] &&
			    holders[1] != sh->holders[i] &&
			    own_session_find(ctx->own, sh->holders[i]) != NULL)
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
decide_holders(
    struct decide_ctx *ctx, struct batch *batch, struct owned_shard *owned)
{
	struct own *own = ctx->own;
	struct shard *sh = &own->shards[owned->index];
	unsigned datacentre = own_id_at(own, owned->index).datacentre;
	uint64_t holders[OWN_HOLDERS];
	json_t *entry;

	if (owned->phase != OWN_SERVING ||
	    !is_due(ctx, &owned->holders_append) ||
	    !refresh_rank(ctx, owned->index))
		return;
	if (owned->holders_append.ref != 0)
		/* An earlier copy may still appear, so propose the same. */
		memcpy(holders, owned->proposed_holders, sizeof(holders));
	else if (!choose_holders(ctx, sh, datacentre, holders) &&
	    sh->holders_confirmed)
		return;
	entry = entry_encode(own, owned->index, holders);
	(void)json_object_set_new(
	    entry, "revision", json_integer((json_int_t)sh->revision));
	if (!batch_add(ctx, batch, entry, &owned->holders_append))
		return;
	memcpy(owned->proposed_holders, holders, sizeof(holders));
	own_candidates_update(own, owned);
}

/* Return the session to hand the shard over to; 0: none. */
static uint64_t
successor_choose(const struct decide_ctx *ctx, const struct owned_shard *owned)
{
	const struct own *own = ctx->own;
	const struct shard *sh = &own->shards[owned->index];
	uint64_t best = sh->rank_inside[0];

	if (own->stopping || owned->phase == OWN_RELEASED) {
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

	for (unsigned i = 0; i < own->owned->len; i++) {
		const struct owned_shard *owned =
		    g_ptr_array_index(own->owned, i);

		n += owned->phase == OWN_PREPARING ||
		    owned->phase == OWN_RELEASED;
	}
	return (n);
}

static void
decide_prepare(struct decide_ctx *ctx, struct owned_shard *owned)
{
	struct own *own = ctx->own;
	struct shard *sh = &own->shards[owned->index];
	struct own_action *action;
	uint64_t to;

	if (owned->phase != OWN_SERVING || !sh->holders_confirmed ||
	    owned->holders_append.ref != 0 || !refresh_rank(ctx, owned->index))
		return;
	to = successor_choose(ctx, owned);
	if (to == 0 ||
	    (!own->stopping &&
		ctx->now - sh->rank_since < own->settings.handover_settle_ms))
		return;
	if (count_handovers(own) >= own->settings.max_handovers ||
	    ctx->now >= own_horizon_of(own, sh))
		return;
	action = action_add_shard(ctx, OWN_ACT_PREPARE, owned->index);
	if (action == NULL)
		return;
	action->session = to;
	owned->successor = to;
	owned->successor_ready = false;
	owned->phase = OWN_PREPARING;
}

static void
decide_handover(struct decide_ctx *ctx, struct owned_shard *owned)
{
	struct own *own = ctx->own;
	struct shard *sh = &own->shards[owned->index];
	uint64_t holders[OWN_HOLDERS];
	char session[PLOG_SESSION_SIZE];
	char to[PLOG_SESSION_SIZE];
	json_t *entry;
	unsigned keep = 0;

	if (owned->phase == OWN_RELEASED) {
		/* This session does not act again, so any live successor is
		 * accepted. */
		if (!owned->handover_append.retry ||
		    !is_due(ctx, &owned->handover_append) ||
		    !refresh_rank(ctx, owned->index))
			return;
		if (successor_choose(ctx, owned) != 0)
			owned->successor = successor_choose(ctx, owned);
		if (own_session_find(own, owned->successor) == NULL)
			return;
	} else if (owned->phase != OWN_PREPARING || !owned->successor_ready) {
		return;
	} else if (member_state_get(ctx->members, owned->successor) !=
		MEMBER_LIVE ||
	    ctx->now >= own_horizon_of(own, sh)) {
		owned->phase = OWN_SERVING;
		return;
	}
	/* This session has the state, so it becomes a holder in place of the
	 * successor. */
	for (unsigned i = 0; i < OWN_HOLDERS; i++) {
		holders[i] = sh->holders[i];
		if (holders[i] == owned->successor || holders[i] == 0)
			holders[i] =
			    own->stopping || keep++ > 0 ? 0 : own->self.session;
	}
	entry = entry_encode(own, owned->index, holders);
	(void)json_object_set_new(entry, "to",
	    json_string(plog_session_format(to, owned->successor)));
	if (action_add_append(ctx,
		json_pack("{s:s, s:s, s:[o]}", "kind", "handover", "session",
		    plog_session_format(session, own->self.session), "shards",
		    entry),
		&owned->handover_append))
		owned->phase = OWN_RELEASED;
}

static void
decide_phase(struct decide_ctx *ctx, struct owned_shard *owned)
{
	struct own *own = ctx->own;
	struct shard *sh = &own->shards[owned->index];
	struct own_action *action;

	if (owned->phase == OWN_WAITING && ctx->now >= sh->ready_at) {
		action = action_add_shard(ctx, OWN_ACT_RECOVER, owned->index);
		if (action == NULL)
			return;
		memcpy(action->sources, sh->sources, sizeof(sh->sources));
		owned->phase = OWN_RECOVERING;
	}
	if (owned->copy_due && owned->phase == OWN_SERVING) {
		action = action_add_shard(ctx, OWN_ACT_COPY, owned->index);
		if (action == NULL)
			return;
		memcpy(action->holders, sh->holders, sizeof(sh->holders));
		owned->copy_due = false;
	}
}

/* Whether the session still has a shard that it can hand over. */
static bool
has_shards_to_hand_over(struct decide_ctx *ctx)
{
	struct own *own = ctx->own;

	if (own->released)
		return (false);
	for (unsigned i = 0; i < own->owned->len; i++) {
		struct owned_shard *owned = g_ptr_array_index(own->owned, i);

		if (owned->phase == OWN_PREPARING ||
		    (owned->phase == OWN_RELEASED &&
			!owned->handover_append.retry))
			return (true);
		if ((owned->phase == OWN_SERVING ||
			owned->phase == OWN_RELEASED) &&
		    (!refresh_rank(ctx, owned->index) ||
			successor_choose(ctx, owned) != 0))
			return (true);
	}
	return (false);
}

static void
decide_close(struct decide_ctx *ctx)
{
	struct own *own = ctx->own;

	if (!own->stopping || !is_due(ctx, &own->close_append))
		return;
	if (own->close_append.ref == 0 && has_shards_to_hand_over(ctx))
		return;
	(void)action_add_append(ctx,
	    own_session_close_record(own->self.session), &own->close_append);
}

static bool
owns_or_holds_shard(const struct own *own, uint64_t session)
{
	for (unsigned i = 0; i < own->n_shards; i++) {
		const struct shard *sh = &own->shards[i];

		if (sh->owner == session || own_is_holder(sh, session))
			return (true);
	}
	return (false);
}

/*
 * Close the session of an instance that died long ago, to limit the table's
 * size.  Only the session that ranks first does so, one at a time.
 */
static void
decide_session_expiry(struct decide_ctx *ctx)
{
	struct own *own = ctx->own;
	struct own_settings *s = &own->settings;
	uint64_t first = 0;
	GHashTableIter iter;
	gpointer value;

	if (ctx->now - own->expiry_checked_at < s->append_retry_ms)
		return;
	own->expiry_checked_at = ctx->now;
	(void)member_rank(
	    ctx->members, own->self.datacentre, 0, true, &first, 1);
	if (first != own->self.session)
		return;
	g_hash_table_iter_init(&iter, own->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;
		uint64_t number = session->identity.session;
		struct member_info info;
		json_t *record;

		if (session->identity.datacentre != own->self.datacentre ||
		    !member_info_get(ctx->members, number, &info) ||
		    info.state == MEMBER_LIVE ||
		    ctx->now - info.state_since < s->session_expiry_ms ||
		    owns_or_holds_shard(own, number))
			continue;
		record = own_session_close_record(number);
		(void)json_object_set_new(record, "session",
		    json_string(plog_session_format(
			(char[PLOG_SESSION_SIZE]){0}, own->self.session)));
		(void)action_add_append(ctx, record, &own->expiry_append);
		return;
	}
}

size_t
own_decide(struct own *own, const struct member_table *members, clk_ms now,
    struct own_action *actions, size_t max)
{
	struct decide_ctx ctx = {.own = own,
	    .members = members,
	    .now = now,
	    .actions = actions,
	    .max = max,
	    .rankings_left = OWN_RANKS_PER_CALL};
	struct batch holders = {.kind = "holders"};

	if (own->incomplete || own->stopped || own->opened_at < 0)
		return (0);
	for (unsigned i = 0; i < own->owned->len; i++)
		decide_phase(&ctx, g_ptr_array_index(own->owned, i));
	/* While the log is unavailable, an append would only be queued. */
	if (own->log_read_at == NEVER ||
	    now - own->log_read_at > own->settings.log_max_age_ms)
		return (ctx.n);
	if (!own->released) {
		for (unsigned i = 0; i < own->owned->len; i++) {
			struct owned_shard *owned =
			    g_ptr_array_index(own->owned, i);

			decide_handover(&ctx, owned);
			decide_holders(&ctx, &holders, owned);
			decide_prepare(&ctx, owned);
		}
	}
	if (!own->stopping) {
		decide_claims(&ctx);
		decide_session_expiry(&ctx);
	}
	decide_close(&ctx);
	return (ctx.n);
}

static size_t
watched_add(const struct own *own, uint64_t session, uint64_t *sessions,
    size_t n, size_t max)
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
own_watched_get(const struct own *own, uint64_t *sessions, size_t max)
{
	size_t n = 0;

	for (unsigned i = 0; i < own->owned->len; i++) {
		const struct owned_shard *owned =
		    g_ptr_array_index(own->owned, i);

		for (unsigned k = 0; k < owned->n_candidates; k++)
			n = watched_add(own, owned->candidates[k].session,
			    sessions, n, max);
	}
	for (unsigned i = 0; i < own->n_shards; i++) {
		const struct shard *sh = &own->shards[i];
		unsigned datacentre = i / own->settings.shards;

		/* Of a lost data centre, only likely claimants watch the
		 * owner. */
		if (datacentre == own->self.datacentre ||
		    (own->lost[datacentre] &&
			(own_is_holder(sh, own->self.session) ||
			    sh->rank_other[0] == own->self.session)))
			n = watched_add(own, sh->owner, sessions, n, max);
	}
	return (n);
}

/* Returns whether the record is definitely not in the log. */
static bool
submission_done(
    struct submission *submitted, uint64_t ref, enum own_append_outcome outcome)
{
	if (submitted->ref != ref)
		return (false);
	if (outcome == OWN_REFUSED && !submitted->outcome_unknown) {
		memset(submitted, 0, sizeof(*submitted));
		return (true);
	}
	if (outcome == OWN_UNKNOWN)
		submitted->outcome_unknown = true;
	if (outcome != OWN_APPENDED)
		submitted->retry = true;
	return (false);
}

void
own_append_done(struct own *own, uint64_t ref, enum own_append_outcome outcome)
{
	for (unsigned i = own->claims->len; i-- > 0;) {
		struct pending_claim *claim = g_ptr_array_index(own->claims, i);

		if (submission_done(&claim->submitted, ref, outcome))
			own_claim_drop(own, &own->shards[claim->index]);
	}
	for (unsigned i = 0; i < own->owned->len; i++) {
		struct owned_shard *owned = g_ptr_array_index(own->owned, i);

		if (submission_done(&owned->holders_append, ref, outcome))
			own_candidates_update(own, owned);
		if (submission_done(&owned->handover_append, ref, outcome) &&
		    !own->released)
			owned->phase = OWN_SERVING;
	}
	(void)submission_done(&own->close_append, ref, outcome);
}

json_t *
own_session_close_record(uint64_t session)
{
	char text[PLOG_SESSION_SIZE];

	(void)plog_session_format(text, session);
	return (json_pack("{s:s, s:s, s:s}", "kind", "session_close", "session",
	    text, "closes", text));
}

json_t *
own_datacentre_lost_record(
    const struct own *own, unsigned datacentre, bool lost)
{
	return (json_pack("{s:s, s:i, s:b, s:I}", "kind", "datacentre_lost",
	    "datacentre", (int)datacentre, "lost", lost, "base",
	    (json_int_t)own->lost_offset[datacentre]));
}
