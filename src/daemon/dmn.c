#include "daemon/dmn.h"

#include "lib/lg.h"
#include "settings/set.h"

int
dmn_run(const struct set *set)
{
	struct lg *lg = lg_open(clk_monotonic(), set->log_level);

	lg_field_set(lg, "instance", set->instance);
	lg_event(lg, LG_ERR, "daemon_not_built", "%s", "");
	lg_close(lg);
	return (1);
}
