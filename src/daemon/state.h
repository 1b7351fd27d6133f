/*
 * daemon: the modules and drivers of one running instance.
 *
 * A decision module (own, program, ...) is owned by exactly one driver, which
 * does its input and output; other drivers read it or call its driver.
 */
#ifndef SAMPHIRESHED_STATE_H
#define SAMPHIRESHED_STATE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/cfg.h"
#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/hcl.h"
#include "lib/lg.h"
#include "lib/trc.h"
#include "member/member.h"
#include "own/own.h"
#include "peer/rpc.h"
#include "plog/plog.h"
#include "settings/settings.h"

struct call_set;
struct config;
struct defer;
struct cluster;
struct forward;
struct gate;
struct grants;
struct ops;
struct prog_set;
struct replica_set;
struct rat;
struct repl;
struct sched;
struct upstream_table;
struct dispatch;

struct daemon {
	const struct settings *settings;
	struct ev_loop *loop;
	struct clk clock;
	struct lg *log;
	struct cnt *cnt;
	struct trc *tracer;
	struct hcl *http;
	struct plog *plog;
	struct rpc *peers;
	struct defer *defer;
	uint64_t session;
	char address[MEMBER_ADDRESS_SIZE]; /* of the peer port, "IP:port" */
	struct member_identity identity;
	/* Result of the last daemon_peer_address(). */
	char peer_address[MEMBER_ADDRESS_SIZE];

	struct cfg *cfg; /* driver config */
	struct config *config;
	struct member_table *members; /* driver cluster */
	struct own *own;
	struct cluster *cluster;
	/* One for each data centre, by its number; used by repl and gate. */
	struct prog_set *programs[OWN_MAX_DATACENTRES];
	unsigned n_datacentres;
	struct replica_set *replicas;
	struct repl *repl;
	struct rat *rat; /* driver grants */
	struct grants *grants;
	struct upstream_table *upstreams; /* driver dispatch */
	struct sched *sched;
	struct dispatch *dispatch;
	struct call_set *calls;
	struct forward *forward;
	struct gate *gate;
	struct ops *ops;

	bool stopping; /* a planned stop is in progress */
};

/* daemon_now(daemon): the daemon's clock. */
static inline clk_ms
daemon_now(const struct daemon *daemon)
{
	return (clk_now(&daemon->clock));
}

/*
 * daemon_peer_address(daemon, session)
 *	Return the peer address of a session, or nil if it is not known.  Valid
 *	until the next call.
 */
const char *daemon_peer_address(struct daemon *daemon, uint64_t session);

/* daemon_stop(daemon): begin a planned stop. */
void daemon_stop(struct daemon *daemon);

#endif
