/*
 * cnt: counters, gauges and latency histograms, in Prometheus text format.
 *
 * A metric is found by name and one optional label pair once, and then
 * updated through its handle.  Handles stay valid until cnt_close().
 */
#ifndef SAMPHIRESHED_CNT_H
#define SAMPHIRESHED_CNT_H

#include <stdint.h>

#include "lib/clk.h"

struct cnt;
struct cnt_metric;

struct cnt *cnt_open(void);
void cnt_close(struct cnt *cnt);

/*
 * cnt_counter(cnt, name, help, label, value)
 * cnt_gauge(cnt, name, help, label, value)
 * cnt_histogram(cnt, name, help, label, value)
 *	Find or create the metric samphireshed_NAME{label="value"}.  label may
 *	be nil.  help is used at the first creation of the name.  Histograms
 *	count durations in ms in buckets of doubling width from 1 ms to 65 s
 *	and are exported in seconds.  Label values must come from a bounded
 *	set: names of the configuration, never ids of requests or programs.
 */
struct cnt_metric *cnt_counter(struct cnt *cnt, const char *name,
    const char *help, const char *label, const char *value);
struct cnt_metric *cnt_gauge(struct cnt *cnt, const char *name,
    const char *help, const char *label, const char *value);
struct cnt_metric *cnt_histogram(struct cnt *cnt, const char *name,
    const char *help, const char *label, const char *value);

/*
 * cnt_add(metric, n), cnt_set(metric, n), cnt_observe(metric, duration)
 *	Add to a counter or gauge, set a gauge, count a duration in ms.
 */
void cnt_add(struct cnt_metric *metric, int64_t n);
void cnt_set(struct cnt_metric *metric, int64_t n);
void cnt_observe(struct cnt_metric *metric, clk_ms duration);

/*
 * cnt_value(metric)
 *	Return the value of a counter or gauge, or a histogram's count.
 */
int64_t cnt_value(const struct cnt_metric *metric);

/*
 * cnt_text(cnt)
 *	Return all metrics in Prometheus text format, to be freed by g_free().
 */
char *cnt_text(const struct cnt *cnt);

#endif
