/*
 * checkpoint: the events of a stream that its caller may have, kept in the
 * store until the stream can't be taken up any more.  The turn that a caller
 * takes up is recorded with the events before that.
 *
 * Each request that runs a stream is a run and writes records of its own, also
 * of the events before it if it takes the stream up.  It sends no event before
 * its first record is acknowledged.  So of the runs that go back to the same
 * beginning, the caller has the events of the one with the highest generation,
 * and of those before it only what that one has taken over.  All runs of a
 * stream are in one slot.
 */
#ifndef SAMPHIRESHED_CHECKPOINT_H
#define SAMPHIRESHED_CHECKPOINT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "store/store.h"

struct checkpoint_event {
	char *id;
	char *data; /* as a later turn has it: with a line feed at its end */
	unsigned len; /* of data */
};

struct checkpoint_event *checkpoint_event_new(
    const char *id, size_t id_len, const void *data, size_t len);
void checkpoint_event_free(void *event);

/*
 * checkpoint_stream_key(parts, count)
 *	Return the key of a stream, to be freed by g_free(): a digest of what
 *	all requests for it have in common.
 */
char *checkpoint_stream_key(const GBytes *const *parts, size_t count);

/* What the records of a run say of it. */
struct checkpoint_run {
	char *id; /* of the request */
	char *began; /* id of the request that began the stream */
	uint32_t generation; /* runs before it, from that one on */
	uint64_t recorded; /* time of day, ms since 1970 */
	uint64_t life; /* ms for which the records are kept */
};

/*
 * checkpoint_split(stream, run, number, first, events, record_max)
 *	Return records (struct turn_record) of at most record_max bytes (0: any)
 *	with the events (struct checkpoint_event) of a run, to be freed by
 *	g_ptr_array_unref().  first is the place of the first of them in the
 *	stream, from 0; number that of the first record, which no other append
 *	of the run has.  Without events there is one record.
 * RETURN VALUES
 *	nil if an event is too large for a record.
 */
GPtrArray *checkpoint_split(const char *stream,
    const struct checkpoint_run *run, unsigned number, unsigned first,
    const GPtrArray *events, size_t record_max);

/*
 * checkpoint_find(reply, stream, resumes, last, run)
 *	Return the events of the stream up to the one with the id last, as a
 *	read of its slot shows them, to be freed by g_ptr_array_unref().
 *	resumes is the id of a request for the stream, or nil if it is not
 *	known.  In run, began is set to the id of the request that began the
 *	stream, to be freed by g_free(), or to nil if there may be several, and
 *	generation to that of a run that goes on.
 * RETURN VALUES
 *	nil if it isn't certain which events the caller has: they are not all
 *	there, or two runs that may be its own differ in them.
 */
GPtrArray *checkpoint_find(const struct store_reply *reply, const char *stream,
    const char *resumes, const char *last, struct checkpoint_run *run);

/*
 * checkpoint_is_expired(record, wall)
 *	Whether nobody takes the stream up any more at the time of day wall.
 */
bool checkpoint_is_expired(const struct store_record *record, clk_ms wall);

#endif
