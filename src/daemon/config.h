/*
 * config: driver of the configuration and of withdrawn keys.
 */
#ifndef SAMPHIRESHED_CONFIG_H
#define SAMPHIRESHED_CONFIG_H

#include "daemon/state.h"
#include "lib/vd.h"

struct config *config_open(struct daemon *daemon);
void config_close(struct config *config);

/*
 * config_is_ready(config)
 *	Whether a configuration is in force.
 */
bool config_is_ready(const struct config *config);

/*
 * config_is_stale(config)
 *	Whether the last confirmed read of the configuration is older than
 *	stale_after_ms.
 */
bool config_is_stale(const struct config *config);

/*
 * config_read_age(config)
 *	Time in ms since the last read of the log's tail started, or -1.
 */
clk_ms config_read_age(const struct config *config);

/*
 * config_heartbeat_reply(config, sent_at, state)
 *	Process the configuration part of a peer's reply to a heartbeat sent at
 *	sent_at.  Applies the keys it has withdrawn.  If the peer has applied
 *	the log up to the same offset, its read counts as one of this instance;
 *	if it is ahead and this instance can't read the log, fetch its
 *	configuration.
 */
void config_heartbeat_reply(
    struct config *config, clk_ms sent_at, const struct peer_state *state);

/*
 * config_key_withdraw(config, key_id, actor)
 *	Withdraw a key here at once, notify the peers, and append the withdrawal
 *	to the log.
 */
void config_key_withdraw(
    struct config *config, const char *key_id, const char *actor);

/*
 * config_object_change(config, object, base, value, actor, on_done, arg)
 *	Append a change of configuration.  on_done is called when it has been
 *	read back from the log: with its outcome and offset; or with a verdict
 *	other than VD_OK if it was refused or its outcome is unknown.
 */
typedef void config_change_cb(
    const struct vd *vd, const struct cfg_history_entry *entry, void *arg);
void config_object_change(struct config *config, const char *object,
    uint64_t base, const json_t *value, const char *actor,
    config_change_cb *on_done, void *arg);

/* Handlers of SYNC of the stream "config" and of WITHDRAW. */
void config_sync_handle(struct config *config,
    const struct peer_sync_args *args, struct peer_sync_reply *reply);
void config_withdraw_handle(struct config *config, struct rpc_request *request,
    const struct peer_withdraw_args *args);

#endif
