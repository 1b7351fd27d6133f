/*
 * sch_crash: fingerprints of requests that crash upstreams.
 */
#ifndef SAMPHIRESHED_SCH_CRASH_H
#define SAMPHIRESHED_SCH_CRASH_H

#include "sched/sch.h"

struct sch_crash_table;

/*
 * sch_crash_open(upstreams)
 *	A request is blocked after it has crashed so many different upstreams,
 *	SCH_CRASH_UPSTREAMS at most.
 */
#define SCH_CRASH_UPSTREAMS 4

struct sch_crash_table *sch_crash_open(unsigned upstreams);
void sch_crash_close(struct sch_crash_table *table);

/* Note a crash; own: seen by this instance, to be told to the others. */
void
sch_crash_add(struct sch_crash_table *table, const unsigned char *fingerprint,
    const char *upstream, bool own, clk_ms now);

/* Whether no crash is known. */
bool sch_crash_is_empty(const struct sch_crash_table *table);

bool sch_crash_is_blocked(const struct sch_crash_table *table,
    const unsigned char *fingerprint, clk_ms now);

size_t sch_crash_list(const struct sch_crash_table *table, clk_ms since,
    struct sch_crash *crashes, size_t max);

#endif
