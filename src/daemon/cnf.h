/*
 * config: driver of the configuration and of withdrawn keys.
 */
#ifndef SAMPHIRESHED_CNF_H
#define SAMPHIRESHED_CNF_H

#include "daemon/state.h"
#include "lib/vd.h"

struct cnf *cnf_open(struct dmn *daemon);
void cnf_close(struct cnf *config);

/*
 * cnf_is_ready(config)
 *	Whether a configuration is in force.
 */
bool cnf_is_ready(const struct cnf *config);

/*
 * cnf_is_stale(config)
 *	Whether the last confirmed read of the configuration is older than
 *	stale_after_ms.
 */
bool cnf_is_stale(const struct cnf *config);

/*
 * cnf_age(config)
 *	Time in ms since the last read of the log's tail started, or -1.
 */
clk_ms cnf_age(const struct cnf *config);

/*
 * cnf_heard(config, sent_at, state)
 *	Process the configuration part of a peer's reply to a heartbeat sent at
 *	sent_at.  Applies the keys it has withdrawn.  If the peer has applied
 *	the log up to the same offset, its read counts as one of this instance;
 *	if it is ahead and this instance can't read the log, fetch its
 *	configuration.
 */
void
cnf_heard(struct cnf *config, clk_ms sent_at, const struct peer_state *state);

/*
 * cnf_withdraw(config, key_id, actor)
 *	Withdraw a key here at once, notify the peers, and append the withdrawal
 *	to the log.
 */
void cnf_withdraw(struct cnf *config, const char *key_id, const char *actor);

/*
 * cnf_change(config, object, base, value, actor, on_done, arg)
 *	Append a change of configuration.  on_done is called when it has been
 *	read back from the log: with its outcome and offset; or with a verdict
 *	other than VD_OK if it was refused or its outcome is unknown.
 */
typedef void cnf_on_done(
    const struct vd *vd, const struct cfg_history_entry *entry, void *arg);
void cnf_change(struct cnf *config, const char *object, uint64_t base,
    const json_t *value, const char *actor, cnf_on_done *on_done, void *arg);

/* Handlers of SYNC of the stream "config" and of WITHDRAW. */
void cnf_sync(struct cnf *config, const struct peer_sync_args *args,
    struct peer_sync_reply *reply);
void cnf_withdrawn(struct cnf *config, struct pr_request *request,
    const struct peer_withdraw_args *args);

#endif
