/*
 * A table of crashes by request fingerprint.  Requests that have crashed
 * several upstreams are blocked.
 */
#ifndef SAMPHIRESHED_CRASH_TABLE_H
#define SAMPHIRESHED_CRASH_TABLE_H

#include "sched/sch.h"

struct sch_crash_table;

/*
 * sch_crash_open(upstreams), sch_crash_close(table)
 *	Create and free a table.  A request is blocked after it has crashed
 *	that many different upstreams, at most SCH_CRASH_UPSTREAMS.
 */
#define SCH_CRASH_UPSTREAMS 4

struct sch_crash_table *sch_crash_open(unsigned upstreams);
void sch_crash_close(struct sch_crash_table *table);

/*
 * sch_crash_add(table, fingerprint, upstream, own, now)
 *	Record a crash.  own: observed by this instance, and therefore listed by
 *	sch_crash_list().
 */
void
sch_crash_add(struct sch_crash_table *table, const unsigned char *fingerprint,
    const char *upstream, bool own, clk_ms now);

/* sch_crash_is_empty(table): whether the table has no crashes. */
bool sch_crash_is_empty(const struct sch_crash_table *table);

/* sch_crash_is_blocked(table, fingerprint, now): whether it is blocked. */
bool sch_crash_is_blocked(const struct sch_crash_table *table,
    const unsigned char *fingerprint, clk_ms now);

/*
 * sch_crash_list(table, since, crashes, max)
 *	Write up to max crashes that this instance observed at or after since,
 *	the oldest first.
 * RETURN VALUES
 *	The number of crashes written.
 */
size_t sch_crash_list(const struct sch_crash_table *table, clk_ms since,
    struct sch_crash *crashes, size_t max);

#endif
