/*
 * clk: time in milliseconds.
 *
 * Decision modules take the time as an argument of type clk_ms.  Only the
 * daemon and the stand-ins read a clock, through struct clk, so that tests
 * and replays can pass a clock of their own.
 */
#ifndef SAMPHIRESHED_CLK_H
#define SAMPHIRESHED_CLK_H

#include <stdint.h>

/* A point in time or a duration, in milliseconds. */
typedef int64_t clk_ms;

#define CLK_SECOND ((clk_ms)1000)
#define CLK_MINUTE (60 * CLK_SECOND)
#define CLK_HOUR   (60 * CLK_MINUTE)

/* A clock: now() returns its time for the argument arg. */
struct clk {
	clk_ms (*now)(void *arg);
	void *arg;
};

/*
 * clk_monotonic()
 *	Return the monotonic clock that also counts time spent suspended, so
 *	that a lease runs out while its holder sleeps.
 */
struct clk clk_monotonic(void);

/*
 * clk_now(clk)
 *	Return the time of clk in ms.
 */
clk_ms clk_now(const struct clk *clk);

/*
 * clk_wall_ms()
 *	Return the time of day in ms since 1970-01-01 UTC.  For log lines,
 *	traces and key expiry only, never for leases or rates.
 */
clk_ms clk_wall_ms(void);

#endif
