/*
 * Internal interface of the edge: the state of a request and the functions
 * of its stages.
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

/* Upstreams that one request is sent to, at most. */
#define EDG_MAX_TRIES 4

struct edg {
	struct edg_deps deps;
	struct edg_settings settings;
	char *session; /* owned copy; settings.session points to it */
	struct hsv *hsv;
	struct hcp *hcp;
	struct cat *catalogue; /* nil: none received yet */
	clk_ms confirmed; /* when catalogue was last known to be the newest */
	struct budgets *budgets;
	struct turn_cache *turns;
	GHashTable *ledgers; /* program -> struct edg_ledger in progress */
	GQueue idle; /* programs whose grants may be returned */
	GQueue idle_first; /* the same, for grants that this instance lends */
	struct loan_book *loans; /* to other instances */
	GHashTable *borrowing; /* serial -> struct edg_call */
	uint64_t loan_serial; /* of the last loan requested */
	struct ev_timer idle_timer;
	GRand *rand;
	struct ev_timer housekeeping;
	unsigned instances;
	bool draining;
	struct cnt_metric *latency;
};

struct edg_call {
	struct edg *edge;
	unsigned refs; /* the caller's connection and each store call */
	struct hsv_call *client; /* nil: answered or disconnected */
	struct edg_request request;
	struct cat *catalogue; /* version at its admission */
	const struct cat_route *route;
	const struct cat_organisation *organisation; /* nil: public */
	const struct cat_service *service; /* nil: not in the catalogue */
	const char *service_name;
	clk_ms arrived;
	clk_ms deadline;
	struct ev_timer timer;
	bool is_counted; /* against the organisation's rate */
	/* History. */
	struct turn *turn; /* nil: not recorded */
	GByteArray *history; /* inputs and outputs of the previous turns */
	unsigned turns_missing; /* store reads in progress */
	clk_ms record_since; /* time of the first attempt to record the turn */
	/* Budget. */
	int64_t reserved;
	char *lender; /* name of the last instance asked for a loan */
	struct sockaddr_in lender_address;
	uint64_t loan_serial; /* 0: reserved from this instance's grant */
	clk_ms loan_asked;
	unsigned loans_asked; /* for this turn */
	bool is_lender_silent; /* a lender did not answer */
	struct ev_timer loan_timer;
	/* Upstream. */
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	struct hcp_call *upstream;
	struct place_handle handle;
	struct place_handle tried[EDG_MAX_TRIES];
	char upstream_id[64];
	unsigned tries;
	unsigned runs; /* attempts that an upstream may have run */
	clk_ms sent;
	double last_event; /* loop time */
	clk_ms first; /* from sending; 0: no event */
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

clk_ms edg_now(const struct edg *edge);

/*
 * edg_refuse(call, verdict)
 *	Answer the request with a verdict of the edge.
 * edg_refuse_not_run(call, code, retry_after, detail)
 *	The same for a request that has not run.  No Retry-After is sent if
 *	retry_after is 0.
 * edg_end(call, outcome, status)
 *	End the request: stop its timer, cancel its attempt, settle its budget
 *	and log it.
 */
void edg_refuse(struct edg_call *call, const struct vd *verdict);
void edg_refuse_not_run(struct edg_call *call, enum vd_code code,
    clk_ms retry_after, const char *detail);
void edg_end(struct edg_call *call, const char *outcome, int status);

/*
 * edg_store_retry(edge)
 *	Return the Retry-After of requests that fail because the store is
 *	unreachable: as long as it has been unreachable, within bounds.
 */
clk_ms edg_store_retry(const struct edg *edge);

/* The stages of a request, in order; each calls the next one. */
void edg_history_load(struct edg_call *call);
void edg_budget_take(struct edg_call *call);
void edg_send(struct edg_call *call);
void edg_turn_record(struct edg_call *call);

/*
 * edg_budget_settle(call)
 *	Release the unused part of the reservation.
 */
void edg_budget_settle(struct edg_call *call);

/* A loan of tokens to another instance. */
struct edg_loan {
	char *borrower; /* session */
	struct sockaddr_in address; /* of the borrower */
	uint64_t serial;
};

/*
 * edg_budget_take_own(call)
 *	Reserve tokens for the turn from this instance's grant.  If there is
 *	no sufficient grant, take one from the program's ledger first.
 * edg_budget_lend(edge, loan, program, tokens, budget)
 *	Reserve tokens for another instance.  Calls edg_loan_give() or
 *	edg_loan_refuse().
 * edg_budget_free(edge, program, reserved, used)
 *	End a reservation, of which used tokens are spent.
 * edg_budget_drain(edge)
 *	Return all grants, because this instance is about to stop.
 * edg_budget_is_settled(edge)
 *	Whether all grants are returned and all loans are repaid.
 */
void edg_budget_take_own(struct edg_call *call);
void edg_budget_lend(struct edg *edge, const struct edg_loan *loan,
    const char *program, int64_t tokens, int64_t budget);
void edg_budget_free(
    struct edg *edge, const char *program, int64_t reserved, int64_t used);
void edg_budget_drain(struct edg *edge);
bool edg_budget_is_settled(const struct edg *edge);

/*
 * edg_loan_ask(call, lender)
 *	Ask another instance, by name or session, for a loan of the tokens
 *	that the turn may generate.  The call continues when the lender
 *	answers or the request times out.  Returns false if that instance was
 *	the last one asked for this turn, the limit of lenders is reached, or
 *	the instance can't be reached.
 * edg_loan_repay(call, tokens)
 *	Return the unused tokens of the loan that the turn ran on.
 * edg_loan_give(edge, loan, program, tokens)
 * edg_loan_refuse(edge, loan, program, outcome)
 *	Answer a borrower.
 * edg_loan_expire(edge)
 *	Count overdue loans as spent.
 */
bool edg_loan_ask(struct edg_call *call, const char *lender);
void edg_loan_repay(struct edg_call *call, int64_t tokens);
void edg_loan_give(struct edg *edge, const struct edg_loan *loan,
    const char *program, int64_t tokens);
void edg_loan_refuse(struct edg *edge, const struct edg_loan *loan,
    const char *program, enum loan_outcome outcome);
void edg_loan_expire(struct edg *edge);
void edg_loan_open(struct edg *edge);
void edg_loan_close(struct edg *edge);

/* edg_send_cancel(call): cancel the attempt in progress, if any. */
void edg_send_cancel(struct edg_call *call);

void edg_budget_open(struct edg *edge);
void edg_budget_close(struct edg *edge);

#endif
