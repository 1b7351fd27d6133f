/*
 * evacuation: the data centres to whose upstreams nothing new may be sent.
 *
 * Addresses operators who empty a data centre while instances are frozen, cut
 * off or turned away by the store.  The operator's topic is the source; an
 * instance that can't read it learns the same from the others.  What is known
 * is a snapshot: the names as of an offset of the topic, up to which all
 * records are taken into account.  Of two snapshots the one with the larger
 * offset holds, so that older news doesn't undo newer.
 *
 * An instance that has not heard from the store for long can't exclude that a
 * data centre has been evacuated: with a limit set, all of them count as
 * evacuated then.
 */
#ifndef SAMPHIRESHED_EVACUATION_H
#define SAMPHIRESHED_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

/* Longest name of a data centre: that of a record's key. */
#define EVACUATION_NAME_MAX 255
/*
 * Names in a message to the other instances: more than the 3 to 5 data centres
 * of a deployment, and at most 4 KB.
 */
#define EVACUATION_NAMES_MAX 16

struct evacuations;

/* evacuations_open(max_age): see evacuations_is_stale(); 0: no limit. */
struct evacuations *evacuations_open(clk_ms max_age);
void evacuations_close(struct evacuations *evacuations);
void evacuations_max_age_set(struct evacuations *evacuations, clk_ms max_age);

/*
 * evacuations_set(evacuations, datacentre, is_evacuated)
 *	A record of the operator's topic says so.  Takes effect at once.
 * evacuations_retain(evacuations, datacentres)
 *	All records were read anew: the evacuations of all data centres that
 *	are not in the set have ended.
 *	Both return whether this was news.
 * evacuations_confirm(evacuations, end, when)
 *	All records before the offset end, and all that were written before the
 *	time when, have been handed over.
 */
bool evacuations_set(
    struct evacuations *evacuations, const char *datacentre, bool is_evacuated);
bool
evacuations_retain(struct evacuations *evacuations, GHashTable *datacentres);
void
evacuations_confirm(struct evacuations *evacuations, uint64_t end, clk_ms when);

/* What an instance knows, for the others. */
struct evacuation_news {
	uint64_t end; /* offset of the operator's topic; 0: nothing is known */
	char **names;
	unsigned name_len;
	uint32_t is_partial; /* there are more names than fit */
};

/*
 * evacuations_collect(evacuations, news, names)
 *	Write what is known, for a message that is sent now.  The strings are
 *	valid until the next change.
 * evacuations_merge(evacuations, news, now)
 *	Take what another instance knows, if it is newer.  Returns whether the
 *	set of evacuated data centres has changed.
 */
void evacuations_collect(const struct evacuations *evacuations,
    struct evacuation_news *news, char *names[EVACUATION_NAMES_MAX]);
bool evacuations_merge(struct evacuations *evacuations,
    const struct evacuation_news *news, clk_ms now);

/*
 * evacuations_has(evacuations, datacentre): whether it is evacuated.
 * evacuations_count(evacuations): the number of such data centres.
 * evacuations_end(evacuations): offset of the topic as of which this is known.
 * evacuations_is_stale(evacuations, now)
 *	Whether the last confirmation by the store is older than max_age.
 * evacuations_text(evacuations)
 *	Return the sorted names, for a log line; free with g_free().
 */
bool
evacuations_has(const struct evacuations *evacuations, const char *datacentre);
unsigned evacuations_count(const struct evacuations *evacuations);
uint64_t evacuations_end(const struct evacuations *evacuations);
bool evacuations_is_stale(const struct evacuations *evacuations, clk_ms now);
char *evacuations_text(const struct evacuations *evacuations);

#endif
