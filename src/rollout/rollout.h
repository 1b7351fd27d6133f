/*
 * rollout: the software version at which a stream began.
 *
 * Upstreams of several software versions may serve side by side in a service,
 * and a stream may go on only at the version that began it.  A plan in the
 * store divides the streams of a service into cohorts and gives each cohort a
 * version.  A stream of a stable cohort that begins at this version needs no
 * record: any instance finds the version in the plan.  All other streams are
 * recorded before they begin.
 *
 * A cohort changes its version in steps, so that instances whose plan is out
 * of date agree with those whose plan is not.  The proof, with the times, is
 * in docs/decisions/0013-version-of-a-stream.md.
 */
#ifndef SAMPHIRESHED_ROLLOUT_H
#define SAMPHIRESHED_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "place/place.h"
#include "store/store.h"

struct rollout;

struct rollout *rollout_open(void);
void rollout_close(struct rollout *rollout);

/*
 * rollout_stream_life_set(rollout, life)
 *	Set the longest time, in ms, between the beginning of a stream and a
 *	request that takes it up.  A longer one that was set before stays:
 *	streams may have begun by it.
 */
void rollout_stream_life_set(struct rollout *rollout, clk_ms life);

/*
 * rollout_plans_set(rollout, records, count, asked, now)
 *	Take all plans, as read from the store by a call that began at the time
 *	asked.
 */
void rollout_plans_set(struct rollout *rollout,
    const struct store_record *records, size_t count, clk_ms asked, clk_ms now);

/*
 * rollout_is_read(rollout): whether the plans were ever read.
 * rollout_age(rollout, now): ms since they were the newest ones.
 */
bool rollout_is_read(const struct rollout *rollout);
clk_ms rollout_age(const struct rollout *rollout, clk_ms now);

/*
 * rollout_unrecorded(rollout, service, key, now, is_wanted)
 *	Return the version at which a stream of the service may begin without
 *	a record, or nil.  key is the same for all requests of the stream.
 *	*is_wanted says whether the stream can be taken up only with a record.
 * rollout_began(rollout, service, key, now)
 *	Return the version of a stream that has no record, or nil if it is not
 *	known.
 * rollout_only(rollout, service, now)
 *	Return the version of all streams of the service, or nil if there may
 *	be several or it is not known.
 */
const char *rollout_unrecorded(const struct rollout *rollout,
    const char *service, const char *key, clk_ms now, bool *is_wanted);
const char *rollout_began(const struct rollout *rollout, const char *service,
    const char *key, clk_ms now);
const char *
rollout_only(const struct rollout *rollout, const char *service, clk_ms now);

/*
 * rollout_change(rollout, service, versions, count, delay, now)
 *	Decide on the next step of the service's plan, given the slots of the
 *	ready upstreams of each version (those of other services are ignored).
 *	delay is added to all waits.
 * RETURN VALUES
 *	The plan's new record, to be appended if nothing was appended since the
 *	plans were read, or nil.
 */
GByteArray *rollout_change(struct rollout *rollout, const char *service,
    const struct place_version *versions, size_t count, clk_ms delay,
    clk_ms now);

/*
 * rollout_text(rollout, service)
 *	Return the plan in words for a log line, to be freed by g_free().
 */
char *rollout_text(const struct rollout *rollout, const char *service);

/* ---- Records ---- */

/* Longest service and version that fit a record, in bytes. */
#define ROLLOUT_NAME_MAX 255

#define ROLLOUT_COHORTS 32

enum rollout_phase {
	ROLLOUT_STABLE, /* streams at the version are not recorded */
	ROLLOUT_MOVING, /* all are recorded; earlier ones may be at the version
			 */
	ROLLOUT_ADOPTING, /* all are recorded, and the version is a new one */
	/*
	 * Nobody serves the version before.  A stream without a record may be
	 * of either version; at first all are recorded.
	 */
	ROLLOUT_SUCCEEDING
};

struct rollout_cohort {
	uint8_t version; /* index in the plan's versions */
	uint8_t phase; /* enum rollout_phase */
	uint8_t lasted; /* seconds that the phase has lasted, at least */
	uint8_t change; /* number of the last change, modulo 256 */
};

struct rollout_plan {
	char **versions;
	unsigned version_count;
	struct rollout_cohort cohorts[ROLLOUT_COHORTS];
};

/* The record of one stream. */
struct rollout_stream {
	char *service;
	char *version;
	uint64_t recorded; /* time of day, ms since 1970 */
	uint64_t life; /* ms for which it may be taken up; 0: not stated */
};

/*
 * rollout_plan_encode(plan), rollout_plan_decode(record, plan)
 * rollout_stream_encode(stream), rollout_stream_decode(record, stream)
 *	Convert between a record's value and its content.  Encoding returns nil
 *	for a name that is too long, decoding false for a value that can't be
 *	read.  What was decoded is to be cleared.
 */
GByteArray *rollout_plan_encode(const struct rollout_plan *plan);
bool rollout_plan_decode(
    const struct store_record *record, struct rollout_plan *plan);
void rollout_plan_clear(struct rollout_plan *plan);
GByteArray *rollout_stream_encode(const struct rollout_stream *stream);
bool rollout_stream_decode(
    const struct store_record *record, struct rollout_stream *stream);
void rollout_stream_clear(struct rollout_stream *stream);

/*
 * rollout_stream_is_expired(record, retention, wall)
 *	Whether nobody takes the stream up any more at the time of day wall, by
 *	the time that its record states and the configuration's retention.
 */
bool rollout_stream_is_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall);

#endif
