/*
 * Private to the edge: the state of one request.
 */
#ifndef SAMPHIRESHED_EDG_IMPL_H
#define SAMPHIRESHED_EDG_IMPL_H

#include "budget/budget.h"
#include "budget/loan.h"
#include "edge/edg.h"
#include "edge/sse.h"
#include "http/hcp.h"
#include "http/hsv.h"
#include "turn/turn.h"

/* Upstreams tried for one request that none of them ran. */
#define EDG_MAX_TRIES 4

struct edg {
	struct edg_deps deps;
	struct edg_settings settings;
	char *session; /* that settings point to */
	struct hsv *hsv;
	struct hcp *hcp;
	struct cat *cat; /* nil: none known yet */
	clk_ms confirmed; /* time at which cat was the newest version */
	struct budgets *bgt;
	struct turn_cache *turns;
	GHashTable *ledgers; /* program -> struct edg_ledger in progress */
	GQueue idle; /* programs that may give their grants back */
	GQueue idle_first; /* the same, of grants from which this one lends */
	struct loan_book *loans; /* given */
	GHashTable *borrowing; /* serial -> struct edg_call, with a reference */
	uint64_t loan_serial; /* of the last loan asked for */
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
	struct turn *turn; /* nil: not kept */
	GByteArray *history; /* inputs and outputs before this turn */
	unsigned turns_missing; /* store reads in progress */
	clk_ms record_since; /* first attempt to record the turn */
	/* Budget. */
	int64_t reserved;
	char *lender; /* name of the instance asked last */
	struct sockaddr_in lender_address;
	uint64_t loan_serial; /* 0: reserved from this instance's grant */
	clk_ms loan_asked;
	unsigned loans_asked; /* for this turn */
	bool is_lender_silent; /* one of them did not answer */
	struct ev_timer loan_timer;
	/* Upstream. */
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	struct hcp_call *upstream;
	struct place_handle handle;
	struct place_handle tried[EDG_MAX_TRIES];
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

/* A loan to another instance. */
struct edg_loan {
	char *borrower; /* session */
	struct sockaddr_in address; /* of the borrower */
	uint64_t serial;
};

/*
 * edg_budget_take_own(call)
 *	Reserve for the turn from this instance's grant, and take one if need
 *	be.
 * edg_budget_lend(edg, loan, program, tokens, budget)
 *	Reserve for another instance: edg_loan_give() or edg_loan_refuse()
 *	follows.
 * edg_budget_free(edg, program, reserved, used)
 *	A reservation ended: used tokens of it are spent.
 * edg_budget_drain(edg)
 *	Give back all grants: this instance is about to stop.
 * edg_budget_is_settled(edg)
 *	Whether no grant is to be given back and no loan to be repaid.
 */
void edg_budget_take_own(struct edg_call *call);
void edg_budget_lend(struct edg *edg, const struct edg_loan *loan,
    const char *program, int64_t tokens, int64_t budget);
void edg_budget_free(
    struct edg *edg, const char *program, int64_t reserved, int64_t used);
void edg_budget_drain(struct edg *edg);
bool edg_budget_is_settled(const struct edg *edg);

/*
 * edg_loan_ask(call, lender)
 *	Ask another instance, by name or session, for what the turn may
 *	generate; the next stage follows.  Returns false if that one was asked
 *	for this turn just before, too many were, or it can't be reached.
 * edg_loan_repay(call, tokens)
 *	The turn that ran from a loan ended with so many tokens unused.
 * edg_loan_give(edg, loan, program, tokens), edg_loan_refuse(...)
 *	Answer a borrower.
 * edg_loan_expire(edg)
 *	Count loans that are not repaid for too long as spent.
 */
bool edg_loan_ask(struct edg_call *call, const char *lender);
void edg_loan_repay(struct edg_call *call, int64_t tokens);
void edg_loan_give(struct edg *edg, const struct edg_loan *loan,
    const char *program, int64_t tokens);
void edg_loan_refuse(struct edg *edg, const struct edg_loan *loan,
    const char *program, enum loan_outcome outcome);
void edg_loan_expire(struct edg *edg);
void edg_loan_open(struct edg *edg);
void edg_loan_close(struct edg *edg);

/* edg_send_cancel(call): close the upstream's connection, if any. */
void edg_send_cancel(struct edg_call *call);

void edg_budget_open(struct edg *edg);
void edg_budget_close(struct edg *edg);

#endif
