#include "store/sweeper.h"

#include <glib.h>

/*
 * With a retention of 60 s, a record stays for up to twice the retention plus
 * one round.  At 0.6 MB of turns a second this takes 120 MB of the platform's
 * 400 MB.
 */
#define ROUND_PERIOD_MS	 (60 * CLK_SECOND)
#define STORE_TIMEOUT_MS 1000

struct sweeper {
	struct ev_loop *loop;
	struct lg *lg;
	struct store store;
	const struct sweeper_rule *rules;
	size_t rule_count;
	struct ev_timer timer;
	clk_ms retention;
	unsigned instances;
	unsigned rank;
	size_t next; /* index of the next partition, over all rules */
	struct store_partition current;
	bool is_busy;
	bool is_paused;
};

static void
on_dropped(void *arg, const struct store_reply *reply)
{
	struct sweeper *sweeper = arg;

	sweeper->is_busy = false;
	/* After a conflict the partition is read again in the next round. */
	if (reply->status != STORE_OK && reply->status != STORE_CONFLICT)
		lg_event(sweeper->lg, LG_WARNING, "sweep_failed",
		    "space=%d slot=%u status=%d", sweeper->current.space,
		    sweeper->current.slot, reply->status);
}

static const struct sweeper_rule *
rule_find(const struct sweeper *sweeper)
{
	for (size_t i = 0; i < sweeper->rule_count; i++) {
		if (sweeper->rules[i].space == sweeper->current.space)
			return (&sweeper->rules[i]);
	}
	return (NULL);
}

static void
on_read(void *arg, const struct store_reply *reply)
{
	struct sweeper *sweeper = arg;
	const struct sweeper_rule *rule = rule_find(sweeper);
	clk_ms wall = clk_wall_ms();
	g_autoptr(GArray) expired =
	    g_array_new(FALSE, FALSE, sizeof(struct store_record));

	for (size_t i = 0; reply->status == STORE_OK && !sweeper->is_paused &&
	     i < reply->count;
	     i++) {
		const struct store_record *record = &reply->records[i];
		const struct store_record drop = {record->key, NULL, 0};

		if (rule->is_expired(record, sweeper->retention, wall))
			g_array_append_val(expired, drop);
	}
	if (expired->len == 0) {
		sweeper->is_busy = false;
		return;
	}
	lg_event(sweeper->lg, LG_INFO, "swept", "space=%d slot=%u records=%u",
	    sweeper->current.space, sweeper->current.slot, expired->len);
	sweeper->store.ops->append(sweeper->store.impl, &sweeper->current,
	    reply->end, (const struct store_record *)(void *)expired->data,
	    expired->len, STORE_TIMEOUT_MS, on_dropped, sweeper);
}

static size_t
partition_count(const struct sweeper *sweeper)
{
	size_t count = 0;

	for (size_t i = 0; i < sweeper->rule_count; i++)
		count += sweeper->rules[i].slots;
	return (count);
}

static struct store_partition
partition_get(const struct sweeper *sweeper, size_t index)
{
	const struct sweeper_rule *rule = sweeper->rules;

	while (index >= rule->slots)
		index -= rule++->slots;
	return ((struct store_partition){rule->space, (uint32_t)index});
}

static void
timer_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct sweeper *sweeper = watcher->data;

	(void)loop;
	(void)events;
	if (sweeper->is_busy || sweeper->is_paused || sweeper->retention == 0)
		return;
	if (sweeper->next >= partition_count(sweeper))
		sweeper->next = sweeper->rank % partition_count(sweeper);
	sweeper->current = partition_get(sweeper, sweeper->next);
	sweeper->next += sweeper->instances;
	sweeper->is_busy = true;
	sweeper->store.ops->read(sweeper->store.impl, &sweeper->current,
	    STORE_TIMEOUT_MS, on_read, sweeper);
}

struct sweeper *
sweeper_open(struct ev_loop *loop, struct lg *lg, const struct store *store,
    const struct sweeper_rule *rules, size_t count)
{
	struct sweeper *sweeper = g_new0(struct sweeper, 1);

	sweeper->loop = loop;
	sweeper->lg = lg;
	sweeper->store = *store;
	sweeper->rules = rules;
	sweeper->rule_count = count;
	ev_timer_init(&sweeper->timer, timer_cb, 0.0, 0.0);
	sweeper->timer.data = sweeper;
	return (sweeper);
}

void
sweeper_close(struct sweeper *sweeper)
{
	if (sweeper == NULL)
		return;
	ev_timer_stop(sweeper->loop, &sweeper->timer);
	g_free(sweeper);
}

void
sweeper_fleet_set(struct sweeper *sweeper, unsigned instances, unsigned rank)
{
	double period;

	if (instances == sweeper->instances && rank == sweeper->rank)
		return;
	sweeper->instances = instances;
	sweeper->rank = rank;
	sweeper->next = rank;
	period = (double)ROUND_PERIOD_MS / 1000.0 * instances /
	    (double)partition_count(sweeper);
	ev_timer_stop(sweeper->loop, &sweeper->timer);
	ev_timer_set(&sweeper->timer, period, period);
	ev_timer_start(sweeper->loop, &sweeper->timer);
}

void
sweeper_retention_set(struct sweeper *sweeper, clk_ms retention)
{
	sweeper->retention = retention;
}

void
sweeper_pause_set(struct sweeper *sweeper, bool is_paused)
{
	sweeper->is_paused = is_paused;
}
