#include "own/own_impl.h"

#include <string.h>

#include "plog/plog.h"

#define MAX_PART_ITEMS 256 /* a part must fit into one record of the log */
#define MAX_PARTS      4096

void
own_restore_reset(struct restore *restore)
{
	for (unsigned i = 0; i < restore->parts; i++)
		json_decref(restore->part[i]);
	g_free(restore->part);
	memset(restore, 0, sizeof(*restore));
}

static json_t *
snapshot_shard(const struct own *own, unsigned index, clk_ms now)
{
	const struct shard *sh = &own->shards[index];
	struct own_shard_id id = own_id_at(own, index);
	char owner[PLOG_SESSION_SIZE];
	clk_ms left = MAX(0, sh->ready_at - now);

	return (json_pack("{s:i, s:i, s:I, s:s, s:o, s:o, s:b, s:I, s:I, s:I}",
	    "datacentre", (int)id.datacentre, "shard", (int)id.shard, "epoch",
	    (json_int_t)sh->epoch, "owner",
	    plog_session_format(owner, sh->owner), "holders",
	    own_sessions_encode(sh->holders, OWN_HOLDERS), "sources",
	    own_sessions_encode(sh->sources, OWN_SOURCES), "proven",
	    sh->holders_confirmed, "revision", (json_int_t)sh->revision,
	    "offset", (json_int_t)sh->offset, "wait", (json_int_t)left));
}

static json_t *
snapshot_session(const struct session *s)
{
	json_t *json = member_session_open_record(&s->identity);

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

/* Append an item to a list of the last part, or of a new part if it is full. */
static void
snapshot_add(json_t *parts, const char *list, json_t *item)
{
	size_t n = json_array_size(parts);
	json_t *part = n > 0 ? json_array_get(parts, n - 1) : NULL;

	if (part == NULL ||
	    json_array_size(json_object_get(part, list)) >= MAX_PART_ITEMS) {
		part = json_pack("{s:s, s:[], s:[], s:[], s:[]}", "kind", "map",
		    "sessions", "closed", "lost", "shards");
		(void)json_array_append_new(parts, part);
	}
	(void)json_array_append_new(json_object_get(part, list), item);
}

static void
snapshot_closed(const struct own *own, json_t *parts)
{
	char text[PLOG_SESSION_SIZE];

	for (GList *l = own->closed_order->head; l != NULL; l = l->next) {
		const struct closed_session *closed = l->data;

		snapshot_add(parts, "closed",
		    json_pack("{s:s, s:b}", "session",
			plog_session_format(text, closed->session), "voluntary",
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
		    part, "through", json_integer(own->next_offset));
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
	struct record_entry e;
	struct shard *sh;
	uint64_t owner;
	uint64_t revision;
	uint64_t offset;
	uint64_t wait;
	uint64_t sources[OWN_SOURCES];

	if (!own_entry_decode(own, KIND_CLAIM, json, &e) ||
	    !own_session_decode(json, "owner", &owner) ||
	    !own_number_decode(json, "revision", INT64_MAX - 1, &revision) ||
	    !own_number_decode(json, "offset", INT64_MAX - 1, &offset) ||
	    !own_number_decode(json, "wait", CLK_HOUR * 24, &wait) ||
	    !own_sessions_decode(
		json_object_get(json, "sources"), sources, OWN_SOURCES))
		return (false);
	sh = own_shard_at(own, e.id);
	if (sh->owned != NULL && (sh->owner != owner || sh->epoch != e.epoch))
		own_shard_lose(own, sh);
	if (sh->owned != NULL && sh->revision != revision)
		memset(&sh->owned->holders_append, 0,
		    sizeof(sh->owned->holders_append));
	if (sh->epoch != e.epoch)
		sh->waited = 0;
	sh->epoch = e.epoch;
	sh->owner = owner;
	sh->revision = revision;
	sh->offset = (int64_t)offset;
	sh->holders_confirmed = json_is_true(json_object_get(json, "proven"));
	memcpy(sh->holders, e.holders, sizeof(sh->holders));
	memcpy(sh->sources, sources, sizeof(sh->sources));
	sh->ready_at =
	    wait > 0 ? now + own_clock_convert(own, (clk_ms)wait) : NEVER;
	own_epoch_changed(own, sh);
	if (owner != own->self.session)
		return (true);
	if (sh->owned == NULL) {
		own_shard_gain(own, (unsigned)(sh - own->shards), OWN_WAITING);
	} else {
		/* A record of this session may be among the skipped ones. */
		sh->owned->n_candidates = 0;
		own_candidates_update(own, sh->owned);
	}
	return (true);
}

static bool
restore_part(struct own *own, const json_t *part, clk_ms now)
{
	struct member_identity identity;
	uint64_t session;
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(part, "sessions"), i, item)
	{
		if (!member_identity_decode(item, &identity))
			return (false);
		own_session_add(own, &identity,
		    json_integer_value(json_object_get(item, "offset")), now);
	}
	json_array_foreach(json_object_get(part, "closed"), i, item)
	{
		if (!own_session_decode(item, "session", &session))
			return (false);
		own_closed_add(own, session,
		    json_is_true(json_object_get(item, "voluntary")));
		if (session == own->self.session)
			own_session_closed(own);
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

/* Records of outstanding appends may be among the skipped ones. */
static void
outstanding_mark_unknown(struct own *own)
{
	for (unsigned i = 0; i < own->owned->len; i++) {
		struct owned_shard *owned = g_ptr_array_index(own->owned, i);

		own_submission_mark_unknown(&owned->holders_append);
		own_submission_mark_unknown(&owned->handover_append);
	}
	for (unsigned i = 0; i < own->claims->len; i++) {
		struct pending_claim *claim = g_ptr_array_index(own->claims, i);

		own_submission_mark_unknown(&claim->submitted);
	}
	own_submission_mark_unknown(&own->close_append);
	/* A claim of this session may be among them as well: see rule 5. */
	own->last_claim_offset = own->restore.through - 1;
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
	outstanding_mark_unknown(own);
	for (unsigned i = 0; i < own->n_shards; i++)
		own->shards[i].rank_generation = 0;
	own->next_offset = restore->through;
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
	if (!own_number_decode(record, "through", INT64_MAX - 1, &through) ||
	    !own_number_decode(record, "parts", MAX_PARTS, &parts) ||
	    !own_number_decode(record, "part", (int64_t)parts - 1, &part)) {
		own->undecodable++;
		return (false);
	}
	if ((int64_t)through < own->gap_first ||
	    (int64_t)through < restore->through)
		return (false);
	if ((int64_t)through > restore->through || restore->parts != parts) {
		own_restore_reset(restore);
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
	own_restore_reset(restore);
	return (done);
}

void
own_sessions_foreach(const struct own *own,
    void (*visit)(const struct member_identity *identity, void *arg), void *arg)
{
	GPtrArray *list = sessions_in_order(own);

	for (unsigned i = 0; i < list->len; i++) {
		const struct session *s = g_ptr_array_index(list, i);

		visit(&s->identity, arg);
	}
	g_ptr_array_free(list, TRUE);
}

static uint64_t
hash_mix(uint64_t hash, uint64_t value)
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
		hash =
		    hash_mix(hash_mix(hash_mix(hash, i), sh->epoch), sh->owner);
		hash = hash_mix(
		    hash_mix(hash, sh->revision), (uint64_t)sh->offset);
		hash = hash_mix(hash, sh->holders_confirmed);
		for (unsigned k = 0; k < OWN_HOLDERS; k++)
			hash = hash_mix(hash, sh->holders[k]);
		for (unsigned k = 0; k < OWN_SOURCES; k++)
			hash = hash_mix(hash, sh->sources[k]);
	}
	g_hash_table_iter_init(&iter, own->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &session))
		sessions ^=
		    hash_mix(2, ((struct session *)session)->identity.session);
	hash = hash_mix(hash, sessions);
	for (GList *l = own->closed_order->head; l != NULL; l = l->next) {
		const struct closed_session *closed = l->data;

		hash = hash_mix(
		    hash_mix(hash, closed->session), closed->voluntary);
	}
	for (unsigned d = 0; d < own->settings.datacentres; d++)
		hash = hash_mix(hash_mix(hash, own->lost[d]),
		    (uint64_t)own->lost_offset[d]);
	return (hash);
}
