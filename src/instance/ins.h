/*
 * ins: one instance in front of upstreams that register themselves.
 *
 * Joins the edge, the upstreams, the rates and the other instances on one
 * loop, and runs a planned stop.  Where the configuration and the list of
 * upstreams come from is the business of the caller, who tells of changes.
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
	struct sockaddr_in gossip; /* datagrams of other instances */
	clk_ms max_catalogue_age; /* see struct edg_settings */
	clk_ms retention; /* of turns and budgets that are idle */
	clk_ms grace; /* from a signal to stop to the forced end */
	size_t max_connections; /* of callers */
	struct quota_tolerance rate_tolerance;
};

struct ins_deps {
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	const struct edg_wire *wire;
	struct sto sto;
};

/* ins_open(deps, settings): returns nil, after a log line, on failure. */
struct ins *
ins_open(const struct ins_deps *deps, const struct ins_settings *settings);
void ins_close(struct ins *ins);

/*
 * ins_catalogue(ins, cat), ins_catalogue_confirmed(ins, when)
 *	A version of the configuration was published; it was the newest one
 *	at the time when.
 */
void ins_catalogue(struct ins *ins, struct cat *cat);
void ins_catalogue_confirmed(struct ins *ins, clk_ms when);

/*
 * ins_upstream(ins, entry), ins_upstream_gone(ins, id)
 *	The entry of an upstream was written or removed.
 * ins_upstreams_known(ins, ids)
 *	The list was read as a whole; ids are all that it holds.
 */
void ins_upstream(struct ins *ins, const struct place_entry *entry);
void ins_upstream_gone(struct ins *ins, const char *id);
void ins_upstreams_known(struct ins *ins, GHashTable *ids);

/*
 * ins_store_reached(ins, ok)
 *	A call to the store was answered or not.  Entries that lapse just
 *	after an outage may come back.
 */
void ins_store_reached(struct ins *ins, bool ok);

/*
 * ins_stop(ins): begin a planned stop; the loop ends when it is over.
 */
void ins_stop(struct ins *ins);

#endif
