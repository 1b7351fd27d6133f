/*
 * instance: one instance of the daemon.
 *
 * Connects the edge, placement, quotas, gossip and sweeper on one event loop,
 * and runs a planned stop.  The caller provides the configuration and the
 * list of upstreams, and reports their changes.
 */
#ifndef SAMPHIRESHED_INSTANCE_H
#define SAMPHIRESHED_INSTANCE_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "catalogue/catalogue.h"
#include "edge/wire.h"
#include "lib/clk.h"
#include "lib/lg.h"
#include "place/place.h"
#include "quota/quota.h"
#include "spill/spill.h"
#include "store/store.h"
#include "throttle/cold.h"

struct inst;

struct inst_settings {
	const char *name; /* the same after a restart */
	const char *datacentre;
	struct sockaddr_in callers; /* address of the callers' server */
	struct sockaddr_in ready; /* GET /readyz, /healthz */
	struct sockaddr_in metrics; /* GET /metrics; port 0: none */
	struct sockaddr_in gossip; /* address for gossip datagrams */
	clk_ms max_catalogue_age; /* see struct edge_settings */
	/*
	 * Time after which an evacuation may have begun unnoticed, see
	 * place/evacuation.h; 0: none is kept.
	 */
	clk_ms max_evacuation_age;
	struct cold_tolerance cold_tolerance;
	GHashTable *regions; /* data centre -> name of its region; nil: none */
	clk_ms retention; /* of idle turns and budgets */
	size_t turn_cache; /* bytes of turns that are kept in memory */
	clk_ms grace; /* from the stop signal to the forced exit */
	/* How long a leaving upstream may still get requests. */
	clk_ms upstream_drain;
	size_t max_connections; /* from callers */
	size_t memory; /* bytes of the machine's; 0: not known */
	unsigned weight; /* processor share, see relay/relay.h */
	struct quota_tolerance rate_tolerance;
	struct spill_settings spill;
};

struct inst_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	const struct edge_wire *wire;
	struct store store;
};

/*
 * inst_open(deps, settings)
 *	Returns nil on failure, and logs the error.
 */
struct inst *
inst_open(const struct inst_deps *deps, const struct inst_settings *settings);
void inst_close(struct inst *instance);

/*
 * inst_catalogue_set(instance, catalogue)
 *	Set a published version of the catalogue.
 * inst_catalogue_confirm(instance, when)
 *	The current version was still the newest one at the time when.
 */
void inst_catalogue_set(struct inst *instance, struct catalogue *catalogue);
void inst_catalogue_confirm(struct inst *instance, clk_ms when);

/*
 * inst_upstream_update(instance, entry), inst_upstream_remove(instance, id)
 *	Handle a written or removed registration of an upstream.
 * inst_upstreams_retain(instance, ids)
 *	Handle a read of the whole list: remove the upstreams that are not in
 *	ids.
 * inst_upstreams_confirm(instance, when)
 *	All registrations that were written before the time when are known.
 */
void
inst_upstream_update(struct inst *instance, const struct place_entry *entry);
void inst_upstream_remove(struct inst *instance, const char *id);
void inst_upstreams_retain(struct inst *instance, GHashTable *ids);
void inst_upstreams_confirm(struct inst *instance, clk_ms when);

/*
 * inst_evacuation_set(instance, datacentre, is_evacuated)
 * inst_evacuations_retain(instance, datacentres)
 * inst_evacuations_confirm(instance, end, when)
 *	Handle the operator's records of evacuations, see place/evacuation.h.
 *	A record that names no data centre is skipped and counted.
 */
void inst_evacuation_set(
    struct inst *instance, const char *datacentre, bool is_evacuated);
void inst_evacuations_retain(struct inst *instance, GHashTable *datacentres);
void inst_evacuations_confirm(struct inst *instance, uint64_t end, clk_ms when);

/*
 * inst_store_report(instance, ok)
 *	Report whether a store call was answered.  During an outage and just
 *	after it, upstreams whose entries lapse are still used for a while.
 */
void inst_store_report(struct inst *instance, bool ok);

/*
 * inst_stop(instance)
 *	Begin a planned stop.  The event loop is stopped at its end.
 */
void inst_stop(struct inst *instance);

#endif
