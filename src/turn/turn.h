/*
 * turn: turns of programs whose history the system keeps.
 *
 * A turn is one record of the store, or several if it is large: its new input,
 * its output, and the ids of the turns before it.  An engine gets the inputs
 * and outputs of a whole chain.  Instances cache recent turns in memory; the
 * store is authoritative.
 */
#ifndef SAMPHIRESHED_TURN_H
#define SAMPHIRESHED_TURN_H

#include <glib.h>
#include <stdbool.h>

#include "lib/clk.h"
#include "store/store.h"

/* A completed turn.  ancestors are ids, the oldest first. */
struct turn {
	char *id;
	char *organisation;
	GPtrArray *ancestors;
	GByteArray *input;
	GByteArray *output; /* each event's data and a line feed */
	clk_ms recorded; /* time of day at which the record was written */
	clk_ms retention; /* that the record states; 0: an earlier one */
	clk_ms used; /* time of the last use, on the instance's clock */
	unsigned refs;
};

/*
 * turn_new(id, organisation): a turn without ancestors, input and output.
 * turn_ref(turn), turn_unref(turn): add and drop a reference.
 */
struct turn *turn_new(const char *id, const char *organisation);
struct turn *turn_ref(struct turn *turn);
void turn_unref(struct turn *turn);

/*
 * turn_encode(turn), turn_decode(id, record)
 *	Convert between a turn and its record.  turn_decode() returns nil for
 *	a record that can't be read.
 */
GByteArray *turn_encode(const struct turn *turn);
struct turn *turn_decode(const char *id, const struct store_record *record);

/* Longest id of a turn, in bytes. */
#define TURN_ID_MAX 200

/* One of the records of a turn. */
struct turn_record {
	char *key;
	GByteArray *value;
};

void turn_record_free(void *record);

/*
 * turn_split(turn, record_max)
 *	Return the records of a turn (struct turn_record), each with its key of
 *	at most record_max bytes (0: any), in the order in which they are to be
 *	appended, to be freed by g_ptr_array_unref().
 * turn_join(id, reply)
 *	Return the turn whose records a read has returned, or nil if it is not
 *	there as a whole.
 */
GPtrArray *turn_split(const struct turn *turn, size_t record_max);
struct turn *turn_join(const char *id, const struct store_reply *reply);

/*
 * turn_is_expired(record, retention, wall)
 *	Whether the record has expired at the time of day wall.  It is kept for
 *	twice the time that it states, or twice the longest retention of the
 *	configuration if that is longer: a route may change or go before its
 *	turns expire, and a later turn needs the records of its ancestors for as
 *	long as it is kept itself.
 * turn_needs_renewal(turn, retention, wall)
 *	Whether the record could expire before a later turn of its chain that is
 *	recorded at the time of day wall and kept for the time retention: it has
 *	to be written again.
 */
bool turn_is_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall);
bool turn_needs_renewal(const struct turn *turn, clk_ms retention, clk_ms wall);

/*
 * turn_cache_renewed(cache, id, wall, retention)
 *	The record was written again at wall, and states that retention.
 */
struct turn_cache;
void turn_cache_renewed(
    struct turn_cache *cache, const char *id, clk_ms wall, clk_ms retention);

/*
 * turn_cache_open(max_bytes, retention)
 *	A cache that evicts the least recently used turns above max_bytes, and
 *	expires turns that were not used for the time retention.
 */
struct turn_cache *turn_cache_open(size_t max_bytes, clk_ms retention);
void turn_cache_close(struct turn_cache *cache);

/* turn_cache_put(cache, turn, now): takes ownership of turn. */
void turn_cache_put(struct turn_cache *cache, struct turn *turn, clk_ms now);
const struct turn *
turn_cache_get(struct turn_cache *cache, const char *id, clk_ms now);
void turn_cache_expire(struct turn_cache *cache, clk_ms now);
size_t turn_cache_bytes(const struct turn_cache *cache);

#endif
