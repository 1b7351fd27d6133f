#include "spill/spill.h"

#include <glib.h>
#include <math.h>

/*
 * Round trip to another data centre, in ms: the sheets of the deployments give
 * 0.5 to 1.4 ms one way.
 */
#define ROUND_TRIP_MS 2.0
#define GB	      1e9
/* Difference at which all requests leave: a tenth of a short turn's time. */
#define FULL_PART_MS 25.0
/*
 * Time in which the part covers most of the way to its target: two periods of
 * the gossip that shows the load which the last change has moved.
 */
#define FOLLOW_MS 400.0
/*
 * A difference above this isn't load: the upstreams at home are in backoff,
 * without a token, or in a data centre that is cut off.
 */
#define UNAVAILABLE_MS 10000.0
/*
 * Step of the sequence that spreads the requests that leave evenly over all:
 * the golden ratio's fraction.
 */
#define SPREAD_STEP 0.6180339887498949

struct service {
	double part; /* of the requests that leave */
	double spread; /* compared with part, from 0 to 1 */
	clk_ms updated;
};

struct spill {
	struct spill_settings settings;
	GHashTable *services; /* name -> struct service */
	uint64_t counts[SPILL_REASONS];
};

struct spill *
spill_open(const struct spill_settings *settings)
{
	struct spill *spill = g_new0(struct spill, 1);

	spill->settings = *settings;
	spill->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return (spill);
}

void
spill_close(struct spill *spill)
{
	if (spill == NULL)
		return;
	g_hash_table_destroy(spill->services);
	g_free(spill);
}

double
spill_charge_ms(const struct spill *spill, size_t bytes)
{
	return (ROUND_TRIP_MS +
	    (double)bytes / GB * spill->settings.gb_price_s *
		(double)CLK_SECOND);
}

const char *
spill_reason_name(enum spill_reason reason)
{
	static const char *const names[SPILL_REASONS] = {
	    "stays", "parts", "load", "deadline", "unavailable"};

	return (names[reason]);
}

static struct service *
service_ensure(struct spill *spill, const char *name, clk_ms now)
{
	struct service *service = g_hash_table_lookup(spill->services, name);

	if (service != NULL)
		return (service);
	service = g_new0(struct service, 1);
	service->updated = now;
	(void)g_hash_table_insert(spill->services, g_strdup(name), service);
	return (service);
}

/* Moves the part towards what the difference asks for. */
static void
part_follow(struct service *service, double difference_ms, clk_ms now)
{
	double target = CLAMP(difference_ms / FULL_PART_MS, 0.0, 1.0);
	double elapsed = (double)MAX(now - service->updated, 0);

	service->updated = now;
	service->part +=
	    (target - service->part) * (1.0 - exp(-elapsed / FOLLOW_MS));
}

/* Whether the next request is among the part that leaves. */
static bool
is_drawn(struct service *service)
{
	service->spread += SPREAD_STEP;
	if (service->spread >= 1.0)
		service->spread -= 1.0;
	return (service->spread < service->part);
}

static enum spill_reason
reason_of(
    struct service *service, const struct spill_choice *choice, clk_ms now)
{
	double difference = choice->home_ms - choice->away_ms;

	if (difference > UNAVAILABLE_MS)
		return (SPILL_UNAVAILABLE);
	if (difference < -UNAVAILABLE_MS)
		return (SPILL_STAYS);
	part_follow(service, difference - choice->parts_ms, now);
	if (difference <= 0)
		return (SPILL_STAYS);
	if (choice->left_ms > 0 && choice->home_ms > choice->left_ms &&
	    choice->away_ms <= choice->left_ms)
		return (SPILL_DEADLINE);
	if (choice->parts_ms > choice->charge_ms)
		return (SPILL_PARTS);
	return (is_drawn(service) ? SPILL_LOAD : SPILL_STAYS);
}

enum spill_reason
spill_decide(struct spill *spill, const struct spill_choice *choice, clk_ms now)
{
	enum spill_reason reason =
	    reason_of(service_ensure(spill, choice->service, now), choice, now);

	spill->counts[reason]++;
	return (reason);
}

double
spill_part(const struct spill *spill, const char *service)
{
	const struct service *known =
	    g_hash_table_lookup(spill->services, service);

	return (known != NULL ? known->part : 0);
}

void
spill_each(const struct spill *spill, spill_visit *visit, void *arg)
{
	GHashTableIter iter;
	void *name, *service;

	g_hash_table_iter_init(&iter, spill->services);
	while (g_hash_table_iter_next(&iter, &name, &service))
		visit(arg, name, ((const struct service *)service)->part);
}

uint64_t
spill_count(const struct spill *spill, enum spill_reason reason)
{
	return (spill->counts[reason]);
}
