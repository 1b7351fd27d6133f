#include "lib/clk.h"

#include <time.h>

static clk_ms
read_clock(clockid_t id)
{
	struct timespec ts;

	(void)clock_gettime(id, &ts);
	return ((clk_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000);
}

static clk_ms
monotonic_now(void *arg)
{
	(void)arg;
	return (read_clock(CLOCK_BOOTTIME));
}

struct clk
clk_monotonic(void)
{
	return ((struct clk){.now = monotonic_now, .arg = NULL});
}

clk_ms
clk_now(const struct clk *clk)
{
	return (clk->now(clk->arg));
}

clk_ms
clk_wall_ms(void)
{
	return (read_clock(CLOCK_REALTIME));
}
