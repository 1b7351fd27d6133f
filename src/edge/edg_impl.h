/*
 * Private to the edge: the state of one request.
 */
#ifndef SAMPHIRESHED_EDG_IMPL_H
#define SAMPHIRESHED_EDG_IMPL_H

#include "budget/bgt.h"
#include "edge/edg.h"
#include "edge/sse.h"
#include "http/hcp.h"
#include "http/hsv.h"
#include "turn/trn.h"

/* Upstreams tried for one request that none of them ran. */
#define EDG_MAX_TRIES 4

struct edg {
	struct edg_deps deps;
	struct edg_settings settings;
	struct hsv *hsv;
	struct hcp *hcp;
	struct cat *cat; /* nil: none known yet */
	clk_ms confirmed; /* time at which cat was the newest version */
	struct bgt *bgt;
	struct trn_cache *turns;
	GHashTable *ledgers; /* program -> struct edg_ledger in progress */
	GQueue idle; /* programs that may give their grants back */
	struct ev_timer idle_timer;
	GRand *rand;
	struct ev_timer housekeeping;
	unsigned instances;
	bool draining;
	struct cnt_metric *latency;
};

struct edg_call {
	struct edg *edg;
	unsigned refs; /* the caller's connection, and each store call */
	struct hsv_call *client; /* nil: answered, or the caller has left */
	struct edg_request request;
	struct cat *cat; /* the version under which it was admitted */
	const struct cat_route *route;
	const struct cat_organisation *organisation; /* nil: public */
	const struct cat_service *service; /* nil: not described */
	const char *service_name;
	clk_ms arrived;
	clk_ms deadline;
	struct ev_timer timer;
	bool is_counted; /* against the organisation's rate */
	/* History. */
	struct trn_turn *turn; /* nil: not kept */
	GByteArray *history; /* inputs and outputs before this turn */
	unsigned turns_missing; /* store reads in progress */
	clk_ms record_since; /* first attempt to record the turn */
	/* Budget. */
	int64_t reserved;
	/* Upstream. */
	unsigned char fingerprint[SCH_FINGERPRINT_SIZE];
	struct hcp_call *upstream;
	struct plc_handle handle;
	struct plc_handle tried[EDG_MAX_TRIES];
	char upstream_id[64];
	unsigned tries;
	unsigned runs; /* tries that an upstream may have run */
	clk_ms sent;
	double last_event; /* loop time */
	clk_ms first; /* from sending to the first event; 0: none */
	struct edg_reply reply;
	bool has_reply;
	bool is_streaming;
	GString *reply_fields;
	GByteArray *reply_body;
	struct sse sse;
	int64_t events;
};

struct edg_call *edg_call_ref(struct edg_call *call);
void edg_call_unref(struct edg_call *call);

clk_ms edg_now(const struct edg *edg);

/*
 * edg_refuse(call, verdict): answer with a verdict of this side.
 * edg_refuse_not_run(call, code, retry_after, detail): the same for a request
 *	that has not run; retry_after 0: none is stated.
 * edg_end(call, outcome): the request is over; write its log line.
 */
void edg_refuse(struct edg_call *call, const struct vd *verdict);
void edg_refuse_not_run(struct edg_call *call, enum vd_code code,
    clk_ms retry_after, const char *detail);
void edg_end(struct edg_call *call, const char *outcome, int status);

/*
 * edg_store_retry(edg)
 *	Return the Retry-After of requests that need the store while it is
 *	away: as long as it has been away, within bounds.
 */
clk_ms edg_store_retry(const struct edg *edg);

/* Stages, in the order of a request's way. */
void edg_history_load(struct edg_call *call);
void edg_budget_take(struct edg_call *call);
void edg_send(struct edg_call *call);
void edg_turn_record(struct edg_call *call);

/* edg_budget_settle(call): give the unused part of the reservation back. */
void edg_budget_settle(struct edg_call *call);

/* edg_send_cancel(call): close the upstream's connection, if any. */
void edg_send_cancel(struct edg_call *call);

void edg_budget_open(struct edg *edg);
void edg_budget_close(struct edg *edg);

#endif
