#include "store/swp.h"

#include <glib.h>

/*
 * Time of a round.  With a retention of 60 s, a record stays for twice the
 * retention and a round; at 0.6 MB of turns a second that is 120 MB of the
 * platform's 400 MB.
 */
#define ROUND_MS	 (60 * CLK_SECOND)
#define STORE_TIMEOUT_MS 1000

struct swp {
	struct ev_loop *loop;
	struct lg *lg;
	struct sto sto;
	const struct swp_rule *rules;
	size_t rule_count;
	struct ev_timer timer;
	clk_ms retention;
	unsigned instances;
	unsigned rank;
	size_t next; /* place, over all rules */
	struct sto_place reading;
	bool is_busy;
};

static void
on_dropped(void *arg, const struct sto_reply *reply)
{
	struct swp *swp = arg;

	swp->is_busy = false;
	/* A conflict: the place has changed and is read in the next round. */
	if (reply->status != STO_OK && reply->status != STO_CONFLICT)
		lg_event(swp->lg, LG_WARNING, "sweep_failed",
		    "space=%d slot=%u status=%d", swp->reading.space,
		    swp->reading.slot, reply->status);
}

static const struct swp_rule *
rule_of(const struct swp *swp)
{
	for (size_t i = 0; i < swp->rule_count; i++) {
		if (swp->rules[i].space == swp->reading.space)
			return (&swp->rules[i]);
	}
	return (NULL);
}

static void
on_read(void *arg, const struct sto_reply *reply)
{
	struct swp *swp = arg;
	const struct swp_rule *rule = rule_of(swp);
	clk_ms wall = clk_wall_ms();
	g_autoptr(GArray) expired =
	    g_array_new(FALSE, FALSE, sizeof(struct sto_record));

	for (size_t i = 0; reply->status == STO_OK && i < reply->count; i++) {
		const struct sto_record *record = &reply->records[i];
		const struct sto_record drop = {record->key, NULL, 0};

		if (rule->is_expired(record, swp->retention, wall))
			g_array_append_val(expired, drop);
	}
	if (expired->len == 0) {
		swp->is_busy = false;
		return;
	}
	lg_event(swp->lg, LG_INFO, "swept", "space=%d slot=%u records=%u",
	    swp->reading.space, swp->reading.slot, expired->len);
	swp->sto.ops->append(swp->sto.store, &swp->reading, reply->end,
	    (const struct sto_record *)(void *)expired->data, expired->len,
	    STORE_TIMEOUT_MS, on_dropped, swp);
}

static void
timer_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct swp *swp = watcher->data;
	size_t places = swp->rule_count * STO_SLOTS;

	(void)loop;
	(void)events;
	if (swp->is_busy || swp->retention == 0)
		return;
	if (swp->next >= places)
		swp->next = swp->rank;
	swp->reading =
	    (struct sto_place){swp->rules[swp->next / STO_SLOTS].space,
		(uint32_t)(swp->next % STO_SLOTS)};
	swp->next += swp->instances;
	swp->is_busy = true;
	swp->sto.ops->read(
	    swp->sto.store, &swp->reading, STORE_TIMEOUT_MS, on_read, swp);
}

struct swp *
swp_open(struct ev_loop *loop, struct lg *lg, const struct sto *sto,
    const struct swp_rule *rules, size_t count)
{
	struct swp *swp = g_new0(struct swp, 1);

	swp->loop = loop;
	swp->lg = lg;
	swp->sto = *sto;
	swp->rules = rules;
	swp->rule_count = count;
	ev_timer_init(&swp->timer, timer_cb, 0.0, 0.0);
	swp->timer.data = swp;
	return (swp);
}

void
swp_close(struct swp *swp)
{
	if (swp == NULL)
		return;
	ev_timer_stop(swp->loop, &swp->timer);
	g_free(swp);
}

void
swp_fleet_set(struct swp *swp, unsigned instances, unsigned rank)
{
	size_t places = swp->rule_count * STO_SLOTS;
	double period;

	if (instances == swp->instances && rank == swp->rank)
		return;
	swp->instances = instances;
	swp->rank = rank;
	swp->next = rank;
	period = (double)ROUND_MS / 1000.0 * instances / (double)places;
	ev_timer_stop(swp->loop, &swp->timer);
	ev_timer_set(&swp->timer, period, period);
	ev_timer_start(swp->loop, &swp->timer);
}

void
swp_retention_set(struct swp *swp, clk_ms retention)
{
	swp->retention = retention;
}
