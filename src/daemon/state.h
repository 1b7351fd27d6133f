/*
 * daemon: the modules and drivers of one running instance.
 *
 * A decision module (own, prg, ...) is owned by exactly one driver, which
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
#include "peer/pr.h"
#include "plog/plg.h"
#include "settings/set.h"

struct call_set;
struct cnf;
struct dfr;
struct flt;
struct forward;
struct gate;
struct grn;
struct ops;
struct prog_set;
struct replica_set;
struct rat;
struct rpl;
struct sched;
struct upstream_table;
struct dispatch;

struct dmn {
	const struct set *set;
	struct ev_loop *loop;
	struct clk clk;
	struct lg *lg;
	struct cnt *cnt;
	struct trc *trc;
	struct hcl *hcl;
	struct plg *plg;
	struct pr *pr;
	struct dfr *dfr;
	uint64_t session;
	char address[MEMBER_ADDRESS_SIZE]; /* of the peer port, "IP:port" */
	struct member_identity identity;
	char peer_address[MEMBER_ADDRESS_SIZE]; /* result of dmn_address() */

	struct cfg *cfg; /* driver config */
	struct cnf *cnf;
	struct member_table *mem; /* driver cluster */
	struct own *own;
	struct flt *flt;
	/* One for each data centre, by its number; used by repl and gate. */
	struct prog_set *prg[OWN_MAX_DATACENTRES];
	unsigned n_datacentres;
	struct replica_set *cpy;
	struct rpl *rpl;
	struct rat *rat; /* driver grants */
	struct grn *grn;
	struct upstream_table *ups; /* driver upd */
	struct sched *sch;
	struct dispatch *upd;
	struct call_set *calls;
	struct forward *fwd;
	struct gate *gate;
	struct ops *ops;

	bool stopping; /* a planned stop is in progress */
};

/* dmn_now(daemon): the daemon's clock. */
static inline clk_ms
dmn_now(const struct dmn *daemon)
{
	return (clk_now(&daemon->clk));
}

/*
 * dmn_address(daemon, session)
 *	Return the peer address of a session, or nil if it is not known.  Valid
 *	until the next call.
 */
const char *dmn_address(struct dmn *daemon, uint64_t session);

/* dmn_stop(daemon): begin a planned stop. */
void dmn_stop(struct dmn *daemon);

#endif
