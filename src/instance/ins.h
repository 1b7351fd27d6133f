/*
 * instance: one instance of the daemon.
 *
 * Connects the edge, placement, quotas, gossip and sweeper on one event loop,
 * and runs a planned stop.  The caller provides the configuration and the
 * list of upstreams, and reports their changes.
 */
#ifndef SAMPHIRESHED_INS_H
#define SAMPHIRESHED_INS_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "catalogue/cat.h"
#include "edge/wire.h"
#include "lib/clk.h"
#include "lib/lg.h"
#include "place/place.h"
#include "quota/quota.h"
#include "store/sto.h"

struct ins;

struct ins_settings {
	const char *name; /* the same after a restart */
	const char *datacentre;
	struct sockaddr_in callers; /* address of the callers' server */
	struct sockaddr_in ready; /* GET /readyz, /healthz */
	struct sockaddr_in metrics; /* GET /metrics; port 0: none */
	struct sockaddr_in gossip; /* address for gossip datagrams */
	clk_ms max_catalogue_age; /* see struct edg_settings */
	clk_ms retention; /* of idle turns and budgets */
	clk_ms grace; /* from the stop signal to the forced exit */
	size_t max_connections; /* from callers */
	struct quota_tolerance rate_tolerance;
};

struct ins_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	const struct edg_wire *wire;
	struct sto sto;
};

/*
 * ins_open(deps, settings)
 *	Returns nil on failure, and logs the error.
 */
struct ins *
ins_open(const struct ins_deps *deps, const struct ins_settings *settings);
void ins_close(struct ins *instance);

/*
 * ins_catalogue(instance, catalogue)
 *	Set a published version of the catalogue.
 * ins_catalogue_confirmed(instance, when)
 *	The current version was still the newest one at the time when.
 */
void ins_catalogue(struct ins *instance, struct cat *catalogue);
void ins_catalogue_confirmed(struct ins *instance, clk_ms when);

/*
 * ins_upstream(instance, entry), ins_upstream_gone(instance, id)
 *	Handle a written or removed registration of an upstream.
 * ins_upstreams_known(instance, ids)
 *	Handle a read of the whole list: remove the upstreams that are not in
 *	ids.
 */
void ins_upstream(struct ins *instance, const struct place_entry *entry);
void ins_upstream_gone(struct ins *instance, const char *id);
void ins_upstreams_known(struct ins *instance, GHashTable *ids);

/*
 * ins_store_reached(instance, ok)
 *	Report whether a store call was answered.  During an outage and just
 *	after it, upstreams whose entries lapse are still used for a while.
 */
void ins_store_reached(struct ins *instance, bool ok);

/*
 * ins_stop(instance)
 *	Begin a planned stop.  The event loop is stopped at its end.
 */
void ins_stop(struct ins *instance);

#endif
