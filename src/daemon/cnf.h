/*
 * cnf: driver of the configuration and of withdrawn keys.
 */
#ifndef SAMPHIRESHED_CNF_H
#define SAMPHIRESHED_CNF_H

#include "daemon/state.h"
#include "lib/vd.h"

struct cnf *cnf_open(struct dmn *dmn);
void cnf_close(struct cnf *cnf);

/* cnf_is_ready(cnf): whether a configuration is in force. */
bool cnf_is_ready(const struct cnf *cnf);

/*
 * cnf_is_stale(cnf)
 *	Whether this instance has been without news of the configuration for
 *	longer than stale_after_ms.
 */
bool cnf_is_stale(const struct cnf *cnf);

/* cnf_age(cnf): ms since the last read of the log's tail started, or -1. */
clk_ms cnf_age(const struct cnf *cnf);

/*
 * cnf_heard(cnf, sent_at, state)
 *	A peer answered a heartbeat sent at sent_at.  Takes its withdrawn keys
 *	and, if the peer has read as far as this instance, its read of the log
 *	as this one's.
 */
void cnf_heard(struct cnf *cnf, clk_ms sent_at, const struct peer_state *state);

/*
 * cnf_withdraw(cnf, key_id, actor)
 *	Withdraw a key here at once, tell the peers, and append it to the log.
 */
void cnf_withdraw(struct cnf *cnf, const char *key_id, const char *actor);

/*
 * cnf_change(cnf, object, base, value, actor, on_done, arg)
 *	Append a change of configuration.  on_done is called when it has been
 *	read back from the log: with its outcome and offset; or with a verdict
 *	other than VD_OK if it was refused or its fate is not known.
 */
typedef void cnf_on_done(
    const struct vd *vd, const struct cfg_history_entry *entry, void *arg);
void cnf_change(struct cnf *cnf, const char *object, uint64_t base,
    const json_t *value, const char *actor, cnf_on_done *on_done, void *arg);

/* Handlers of SYNC of the stream "config" and of WITHDRAW. */
void cnf_sync(struct cnf *cnf, const struct peer_sync_args *args,
    struct peer_sync_reply *reply);
void cnf_withdrawn(struct cnf *cnf, struct pr_request *request,
    const struct peer_withdraw_args *args);

#endif
