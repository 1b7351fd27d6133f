/*
 * A table of crashes by request fingerprint.  Requests that have crashed
 * several upstreams are blocked.
 */
#ifndef SAMPHIRESHED_CRASH_TABLE_H
#define SAMPHIRESHED_CRASH_TABLE_H

#include "sched/sched.h"

struct crash_table;

/*
 * crash_table_open(upstreams), crash_table_close(table)
 *	Create and free a table.  A request is blocked after it has crashed
 *	that many different upstreams, at most CRASH_TABLE_UPSTREAMS_MAX.
 */
#define CRASH_TABLE_UPSTREAMS_MAX 4

struct crash_table *crash_table_open(unsigned upstreams);
void crash_table_close(struct crash_table *table);

/*
 * crash_table_add(table, fingerprint, upstream, own, now)
 *	Record a crash.  own: observed by this instance, and therefore listed by
 *	crash_table_list().
 */
void
crash_table_add(struct crash_table *table, const unsigned char *fingerprint,
    const char *upstream, bool own, clk_ms now);

/*
 * crash_table_relay(table, fingerprint, upstream, now)
 *	Record a crash that a peer observed.  If it is news, it is collected
 *	for the other peers like one of this instance.
 */
void crash_table_relay(struct crash_table *table,
    const unsigned char *fingerprint, const char *upstream, clk_ms now);

/* crash_table_is_empty(table): whether the table has no crashes. */
bool crash_table_is_empty(const struct crash_table *table);

/* crash_table_is_blocked(table, fingerprint, now): whether it is blocked. */
bool crash_table_is_blocked(const struct crash_table *table,
    const unsigned char *fingerprint, clk_ms now);

/*
 * crash_table_list(table, since, crashes, max)
 *	Write up to max crashes that this instance observed at or after since,
 *	the oldest first.
 * RETURN VALUES
 *	The number of crashes written.
 */
size_t crash_table_list(const struct crash_table *table, clk_ms since,
    struct sched_crash *crashes, size_t max);

/*
 * crash_table_collect(table, crashes, max)
 *	Write crashes that this instance observed, to be sent to the peers:
 *	each is written by two calls, see lib/outbox.h.
 * RETURN VALUES
 *	The number of crashes to send, of which at most max are written.
 */
size_t crash_table_collect(
    struct crash_table *table, struct sched_crash *crashes, size_t max);

#endif
