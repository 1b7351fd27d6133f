/*
 * turn: turns of programs whose history the system keeps.
 *
 * A turn is one record of the store: its new input, its output, and the ids
 * of the turns before it.  An engine gets the inputs and outputs of a whole
 * chain.  Instances cache recent turns in memory; the store is authoritative.
 */
#ifndef SAMPHIRESHED_TRN_H
#define SAMPHIRESHED_TRN_H

#include <glib.h>
#include <stdbool.h>

#include "lib/clk.h"
#include "store/sto.h"

/* A completed turn.  ancestors are ids, the oldest first. */
struct trn_turn {
	char *id;
	char *organisation;
	GPtrArray *ancestors;
	GByteArray *input;
	GByteArray *output; /* each event's data and a line feed */
	clk_ms recorded; /* time of day at which the record was written */
	clk_ms used; /* time of the last use, on the instance's clock */
};

/* trn_new(id, organisation): a turn without ancestors, input and output. */
struct trn_turn *trn_new(const char *id, const char *organisation);
void trn_free(struct trn_turn *turn);

/*
 * trn_encode(turn), trn_decode(id, record)
 *	Convert between a turn and its record.  trn_decode() returns nil for
 *	a record that can't be read.
 */
GByteArray *trn_encode(const struct trn_turn *turn);
struct trn_turn *trn_decode(const char *id, const struct sto_record *record);

/*
 * trn_is_expired(record, retention, wall)
 *	Whether the record has expired at the time of day wall.  Records are
 *	kept for twice the retention: a later turn needs the records of its
 *	ancestors for as long as it is kept, and recording it renews those
 *	that are older than the retention (trn_needs_renewal()).
 * trn_needs_renewal(turn, retention, wall)
 *	Whether the turn's record has to be written again when a later turn
 *	of its chain is recorded.
 */
bool
trn_is_expired(const struct sto_record *record, clk_ms retention, clk_ms wall);
bool
trn_needs_renewal(const struct trn_turn *turn, clk_ms retention, clk_ms wall);

/* trn_cache_renewed(cache, id, wall): the record was rewritten at wall. */
struct trn_cache;
void trn_cache_renewed(struct trn_cache *cache, const char *id, clk_ms wall);

/*
 * trn_cache_open(max_bytes, retention)
 *	A cache that evicts the least recently used turns above max_bytes, and
 *	expires turns that were not used for the time retention.
 */
struct trn_cache *trn_cache_open(size_t max_bytes, clk_ms retention);
void trn_cache_close(struct trn_cache *cache);

/* trn_cache_put(cache, turn, now): takes ownership of turn. */
void trn_cache_put(struct trn_cache *cache, struct trn_turn *turn, clk_ms now);
const struct trn_turn *
trn_cache_get(struct trn_cache *cache, const char *id, clk_ms now);
void trn_cache_expire(struct trn_cache *cache, clk_ms now);
size_t trn_cache_bytes(const struct trn_cache *cache);

#endif
