/*
 * spill: when a request leaves its data centre, and how much of the load does.
 *
 * Load pattern: demand or upstreams that are uneven over data centres, a burst
 * in one of them, or upstreams of one that turn slow.  Sending everything to
 * the cheapest upstream wherever it is moves most of the traffic between data
 * centres for gains below a millisecond; keeping everything at home lets
 * callers wait while upstreams elsewhere are idle.
 *
 * An upstream elsewhere is charged the delay of the way and the price of the
 * bytes that cross, as time of a caller.  Beyond that charge a request leaves
 * at once if the difference doesn't depend on load, for example because the
 * upstream elsewhere holds its prompt.  If it does, the part of the service's
 * requests that leave follows the difference with a delay, so that instances
 * that decide alike at the same moment don't all move, and don't move back
 * together when they see what they did.
 */
#ifndef SAMPHIRESHED_SPILL_H
#define SAMPHIRESHED_SPILL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

struct spill;

struct spill_settings {
	/* Time of a caller that a GB between data centres is worth, in s. */
	double gb_price_s;
};

/* Default of gb_price_s: 3 ms for a request of 60 KB with its history. */
#define SPILL_GB_PRICE_S 50.0

struct spill *spill_open(const struct spill_settings *settings);
void spill_close(struct spill *spill);

/*
 * spill_charge_ms(spill, bytes)
 *	Return what an upstream in another data centre costs in addition, for a
 *	request of so many bytes.
 */
double spill_charge_ms(const struct spill *spill, size_t bytes);

/* The best upstream on each side, as the choice of an upstream sees them. */
struct spill_choice {
	const char *service;
	double home_ms; /* expected cost in this data centre */
	double away_ms; /* in another one, with the charge */
	/*
	 * The part of the difference that the prompt parts held on either side
	 * cause; above 0 if more of them are held elsewhere.
	 */
	double parts_ms;
	double charge_ms; /* contained in away_ms */
	double left_ms; /* until the request's deadline; 0: not known */
};

enum spill_reason {
	SPILL_STAYS,
	SPILL_PARTS, /* leaves: an upstream elsewhere holds its prompt */
	SPILL_LOAD, /* leaves: it would wait longer at home */
	SPILL_DEADLINE, /* leaves: it would miss its deadline at home */
	SPILL_UNAVAILABLE, /* leaves: no upstream at home is usable */
	SPILL_REASONS
};

/* spill_reason_name(reason): the name for logs and metrics. */
const char *spill_reason_name(enum spill_reason reason);

/*
 * spill_decide(spill, choice, now)
 *	Decide whether a request leaves, and why.
 */
enum spill_reason spill_decide(
    struct spill *spill, const struct spill_choice *choice, clk_ms now);

/*
 * spill_part(spill, service)
 *	Return the part of the service's requests that leave for its load now,
 *	from 0 to 1.
 * spill_each(spill, visit, arg)
 *	Call visit() for each service and that part.
 * spill_count(spill, reason)
 *	Return the number of decisions with that reason so far.
 */
typedef void spill_visit(void *arg, const char *service, double part);

double spill_part(const struct spill *spill, const char *service);
void spill_each(const struct spill *spill, spill_visit *visit, void *arg);
uint64_t spill_count(const struct spill *spill, enum spill_reason reason);

#endif
