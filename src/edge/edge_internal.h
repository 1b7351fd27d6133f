/*
 * Internal interface of the edge: the state of a request and the functions
 * of its stages.
 */
#ifndef SAMPHIRESHED_EDGE_INTERNAL_H
#define SAMPHIRESHED_EDGE_INTERNAL_H

#include "budget/budget.h"
#include "budget/loan.h"
#include "edge/edge.h"
#include "edge/sse.h"
#include "http/hcp.h"
#include "http/hsv.h"
#include "outage/hold.h"
#include "quota/silence.h"
#include "rollout/rollout.h"
#include "turn/turn.h"

/* Maximum number of upstreams that one request is sent to. */
#define EDGE_MAX_ATTEMPTS 4

struct edge {
	struct edge_deps deps;
	struct edge_settings settings;
	char *session; /* owned copy; settings.session points to it */
	struct hsv *hsv;
	struct hcp *hcp;
	struct catalogue *catalogue; /* nil: none received yet */
	clk_ms confirmed; /* when catalogue was last known to be the newest */
	struct budgets *budgets;
	struct turn_cache *turns;
	/* Of answers, events and turns that are not complete yet. */
	size_t reply_bytes;
	size_t copy_bytes; /* of histories and inputs that calls hold */
	GHashTable *ledgers; /* program -> struct edge_ledger in progress */
	GQueue idle; /* programs whose grants may be returned */
	GQueue idle_first; /* the same, if their first session is this one */
	struct loan_book *loans; /* to other instances */
	GHashTable *borrowing; /* serial -> struct edge_call that waits */
	uint64_t loan_serial; /* of the last loan requested */
	GHashTable *asking; /* serial -> struct edge_call that waits */
	uint64_t ask_serial; /* of the last token asked for */
	struct silence *silence; /* homes that don't answer */
	/* serial -> struct edge_call that waits for an upstream's token */
	GHashTable *throttled;
	uint64_t throttle_serial; /* of the last such wait */
	GQueue attempts; /* struct edge_call with a request at an upstream */
	GHashTable *probes; /* struct edge_probe in progress, or of late */
	clk_ms store_answered; /* last answer of the store */
	struct edge_outage *outage;
	clk_ms worse_since; /* see edge_is_worse_off(); 0: it is not */
	struct edge_admission *admission;
	struct rollout *rollout;
	struct ev_timer rollout_timer; /* until the plans are read again */
	clk_ms rollout_asked; /* when the last read of them began */
	GHashTable *version_ops; /* struct edge_version_op in progress */
	GHashTable *history_ops; /* store calls for histories, in progress */
	GHashTable *checkpoint_ops; /* the same, for checkpoints */
	clk_ms record_failed; /* when one could not be recorded; 0: never */
	struct ev_timer idle_timer;
	GRand *rand;
	struct ev_timer housekeeping;
	unsigned instances;
	GQueue calls; /* struct edge_call that is not answered */
	bool draining;
	bool is_stopped; /* accepts no connections */
	clk_ms stop_at; /* when calls are ended at the latest; 0: no stop */
	struct cnt_metric *latency;
};

struct edge_call;

/* A stage of a request. */
typedef void edge_stage(struct edge_call *call);

/* How a request waits for the store, see edge_outage_hold(). */
struct edge_wait {
	struct hold_entry *entry; /* nil: it doesn't wait */
	edge_stage *next; /* continues it */
	struct store_partition needed; /* for its next stage */
	bool is_needed; /* needed is set */
	unsigned round; /* reads of the history of earlier rounds are void */
};

struct edge_call {
	struct edge *edge;
	unsigned refs; /* the caller's connection and each store call */
	struct hsv_call *client; /* nil: answered or disconnected */
	GList link; /* in edge->calls, while client is set */
	struct edge_request request;
	/*
	 * The caller's ids of the program, the turn and the turn before it,
	 * made unique among organisations; nil: none.
	 */
	char *program;
	char *turn_id;
	char *previous_turn;
	struct catalogue *catalogue; /* version at its admission */
	const struct catalogue_route *route;
	const struct catalogue_organisation *organisation; /* nil: public */
	const struct catalogue_service *service; /* nil: not in the catalogue */
	const char *service_name;
	clk_ms arrived;
	clk_ms deadline;
	struct ev_timer timer;
	struct edge_wait wait; /* for the store */
	/* Rate. */
	struct quota_limit limit; /* of the organisation */
	enum quota_priority priority;
	bool is_counted; /* against the limit */
	bool is_from_home; /* the token is from home_address */
	bool is_home_silent; /* one of them did not answer */
	bool is_ask_paused; /* until the next round */
	const char *home; /* interned name of the last home asked */
	struct sockaddr_in home_address;
	unsigned homes_asked;
	unsigned home_rank; /* of the next one to be asked */
	unsigned homes_passed; /* in this round: silent, or not a home */
	uint64_t ask_serial;
	clk_ms asked_at;
	clk_ms ask_wait; /* stated by the last home */
	clk_ms ask_since; /* the first question */
	clk_ms ask_until; /* when it gives up; 0: no home was asked */
	struct ev_timer ask_timer;
	struct quota_state rate; /* after its admission or refusal */
	/* History. */
	struct turn *turn; /* nil: not recorded */
	GByteArray *history; /* inputs and outputs of the previous turns */
	GPtrArray *turns_read; /* struct turn, until history is assembled */
	unsigned turns_missing; /* store reads in progress */
	unsigned renewals; /* ancestors whose records are being rewritten */
	struct edge_checkpoint *checkpoint; /* nil: events aren't recorded */
	/* Time of the first attempt to record the turn; 0: it has not ended. */
	clk_ms record_since;
	/* Budget. */
	int64_t reserved;
	char *lender; /* name of the last instance asked for a loan */
	struct sockaddr_in lender_address;
	uint64_t loan_serial; /* 0: reserved from this instance's grant */
	clk_ms loan_asked_at;
	unsigned loan_requests; /* for this turn */
	bool is_lender_silent; /* a lender did not answer */
	struct ev_timer loan_timer;
	/* Token of an upstream that names a limit. */
	uint64_t throttle_serial; /* 0: not waiting */
	clk_ms throttle_max_wait;
	clk_ms throttle_since;
	unsigned throttle_asks;
	bool has_throttle_token; /* it waits until it may use it */
	clk_ms token_at; /* when the token was for; 0: none was needed */
	struct ev_timer throttle_timer;
	/* Software version of a stream that may be taken up. */
	char *version; /* the only one at which it may run; nil: any */
	char *recorded; /* version in the stream's record; nil: none */
	struct edge_version_op *version_op; /* store call in progress */
	/* Admission to a service whose upstreams may be full. */
	struct edge_waiting *waiting; /* nil: it does not wait */
	bool is_new_program; /* as of its arrival */
	bool is_admitted; /* the next choice of an upstream is free */
	clk_ms waited; /* in all */
	/* Upstream. */
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE];
	struct hcp_call *upstream;
	struct place_handle handle;
	struct place_handle tried[EDGE_MAX_ATTEMPTS];
	char upstream_id[EDGE_UPSTREAM_ID_MAX + 1];
	unsigned attempts;
	unsigned runs; /* attempts that an upstream may have run */
	unsigned lost; /* of these, at upstreams that went out of reach */
	bool is_lost; /* the last attempt is one of them */
	GList attempt_link; /* in edge->attempts, while upstream is set */
	clk_ms heard; /* when the upstream last sent something */
	clk_ms sent_at;
	double last_event; /* loop time */
	clk_ms first_event_ms; /* from sending; 0: no event */
	struct edge_reply reply;
	bool is_choice_bound; /* handle was chosen for its software version */
	bool is_withheld; /* not sent, though a connection was there */
	bool is_overdue; /* no byte of the answer for long */
	bool has_reply;
	bool is_streaming;
	bool is_undelimited; /* the response ends with its connection */
	bool is_unrecordable; /* the store has refused the stream's record */
	bool is_record_unknown; /* an append had no answer: it may be done */
	GString *reply_fields;
	GByteArray *reply_body;
	struct sse sse;
	size_t copied; /* bytes counted in copy_bytes */
	size_t held_bytes; /* of the stream, as counted in reply_bytes */
	int64_t events;
	int64_t attempt_events; /* of the last attempt */
	GString *last_id; /* of the events sent to the caller; nil: none */
};

struct edge_call *edge_call_ref(struct edge_call *call);
void edge_call_unref(struct edge_call *call);

clk_ms edge_now(const struct edge *edge);

/*
 * edge_scoped_id(call, id, max)
 *	Return an id of the caller's, made unique among organisations, to be
 *	freed by g_free(), or nil if id is nil.  Public routes have a scope of
 *	their own.  The result has max bytes at most, at least 65, and is UTF-8:
 *	the store's answers are JSON.
 */
char *edge_scoped_id(const struct edge_call *call, const char *id, size_t max);

/*
 * edge_refuse(call, verdict)
 *	Answer the request with a verdict of the edge.
 * edge_refuse_not_run(call, code, retry_after, detail)
 *	The same for a request that has not run.  No Retry-After is sent if
 *	retry_after is 0.
 * edge_refuse_unless_run(call, retry_after, detail)
 *	Refuse a request that no upstream can take; not as one that has not run
 *	if an earlier attempt may have run.
 * edge_call_end(call, outcome, status)
 *	End the request: stop its timer, cancel its attempt, settle its budget
 *	and log it.
 */
void edge_refuse(struct edge_call *call, const struct vd *verdict);
void edge_refuse_not_run(struct edge_call *call, enum vd_code code,
    clk_ms retry_after, const char *detail);
void edge_refuse_unless_run(
    struct edge_call *call, clk_ms retry_after, const char *detail);
void edge_call_end(struct edge_call *call, const char *outcome, int status);

/*
 * edge_caller_gap(route)
 *	Return the time without an event, also before the first one, after which
 *	callers abandon a stream.
 */
clk_ms edge_caller_gap(const struct catalogue_route *route);

/*
 * edge_store_retry_after(edge)
 *	Return the Retry-After of requests that fail because the store is
 *	unreachable: as long as it has been unreachable, within bounds; or until
 *	callers are sent to other instances.
 * edge_is_worse_off(edge)
 *	Whether the store answers other instances and not this one: a request
 *	that needs it is refused at once, so that its caller goes to another.
 */
clk_ms edge_store_retry_after(const struct edge *edge);
bool edge_is_worse_off(const struct edge *edge);

/*
 * The stages of a request, in order; each calls the next one, or ends the
 * call.  edge_call_admitted() follows on edge_rate_admit().
 */
void edge_rate_admit(struct edge_call *call);
void edge_call_admitted(struct edge_call *call);
void edge_history_load(struct edge_call *call);
void edge_budget_acquire(struct edge_call *call);
void edge_version_find(struct edge_call *call);
void edge_upstream_send(struct edge_call *call);
void edge_turn_record(struct edge_call *call);

/*
 * edge_turn_finish(call)
 *	Send the end of the response, once the caller has all events, and the
 *	turn and its ancestors are recorded for as long as the turn is kept.
 * edge_history_open(edge), edge_history_close(edge)
 *	Create and free the table of store calls for histories.
 */
void edge_turn_finish(struct edge_call *call);
void edge_history_open(struct edge *edge);
void edge_history_close(struct edge *edge);

/*
 * edge_records_append(edge, id, records, from, timeout, done, arg)
 *	Append records (struct turn_record) from the index from on to the slot
 *	of id, as many as one append takes.  Returns their number.
 */
guint
edge_records_append(struct edge *edge, const char *id, const GPtrArray *records,
    guint from, clk_ms timeout, store_done_cb *done, void *arg);

/*
 * edge_checkpoint_begin(call)
 *	From now on record the events of the turn's stream, if it may be taken
 *	up.
 * edge_checkpoint_slot(call)
 *	Return the id of the slot that has to be read before the turn can run,
 *	because it goes on after an event, or nil if none has.
 * edge_checkpoint_take(call, reply)
 *	Take the events before that from a read of the slot: they are a part of
 *	the turn's output.  Returns false if they are not known for certain.
 * edge_checkpoint_began(call)
 *	Return the id of the request that began the stream, or nil if it is not
 *	known.
 * edge_event_send(call, event, len)
 *	Send an event to the caller, once it is recorded if it has to be.  This
 *	may end the call.
 * edge_checkpoint_bytes(call)
 *	Return the bytes of the events that wait to be recorded.
 * edge_checkpoint_free(call)
 *	Free what the call keeps of its stream.
 * edge_checkpoint_open(edge), edge_checkpoint_close(edge)
 *	Create and free the table of store calls for checkpoints.
 */
void edge_checkpoint_begin(struct edge_call *call);
const char *edge_checkpoint_slot(const struct edge_call *call);
bool
edge_checkpoint_take(struct edge_call *call, const struct store_reply *reply);
const char *edge_checkpoint_began(const struct edge_call *call);
void edge_event_send(struct edge_call *call, const char *event, size_t len);
size_t edge_checkpoint_bytes(const struct edge_call *call);
void edge_checkpoint_free(struct edge_call *call);
void edge_checkpoint_open(struct edge *edge);
void edge_checkpoint_close(struct edge *edge);

/*
 * edge_outage_hold(call, needed, next)
 *	If a write of the call's turn, or a call of the partition needed (nil:
 *	none), can't be expected to be acknowledged now, or if the configuration
 *	is too old, let the call wait, and continue with next() when the store
 *	answers; or refuse it, if it could not end in time.  Returns false if
 *	the call may go on.
 * edge_outage_is_expected(edge, partition)
 *	Whether a call of the partition can be expected to be answered.
 * edge_outage_store_answers(edge)
 *	Whether the store as a whole can be expected to answer.
 * edge_outage_cancel(call)
 *	The call ends: remove it from the queue.
 * edge_outage_ran(call)
 *	The call ended after it ran: learn how long its route takes.
 * edge_outage_tick(edge)
 *	Send, refuse or keep the requests that wait.
 * edge_outage_open(edge), edge_outage_close(edge)
 *	Begin and end to observe the store.
 */
bool edge_outage_hold(struct edge_call *call,
    const struct store_partition *needed, edge_stage *next);
bool edge_outage_is_expected(
    const struct edge *edge, const struct store_partition *partition);
bool edge_outage_store_answers(const struct edge *edge);
void edge_outage_cancel(struct edge_call *call);
void edge_outage_ran(const struct edge_call *call);
void edge_outage_tick(struct edge *edge);
void edge_outage_open(struct edge *edge);
void edge_outage_close(struct edge *edge);

/*
 * edge_throttle_acquire(call)
 *	Take a token for the upstream that was chosen, if it names a limit.
 *	Continues with edge_upstream_start(), or with edge_upstream_refused()
 *	if there is none.
 * edge_throttle_is_current(call)
 *	Whether the call may be sent now: not to a cold upstream without a
 *	token, or with one that was granted too long ago.
 * edge_throttle_cancel(call)
 *	Stop waiting for a token.  Returns whether the call did wait.
 * edge_throttle_open(edge), edge_throttle_close(edge)
 *	Create and free the table of calls that wait.
 */
void edge_throttle_acquire(struct edge_call *call);
bool edge_throttle_is_current(const struct edge_call *call);
bool edge_throttle_cancel(struct edge_call *call);
void edge_throttle_open(struct edge *edge);
void edge_throttle_close(struct edge *edge);

/*
 * edge_version_admit(call)
 *	Refuse a stream that can't begin without a record while the store takes
 *	none, before it costs other calls of the store.  Returns false if so.
 * edge_version_request(call, request)
 *	Restrict the choice of an upstream to those whose software version the
 *	stream may have.  Returns false if there is no such version.
 * edge_version_record(call, version)
 *	Record the version of the upstream that was chosen, if a stream that
 *	begins there needs a record.  Continues with edge_throttle_acquire(),
 *	or with edge_upstream_refused() if another version is needed.
 * edge_version_bind(call, version)
 *	From now on the request may only run at this version.
 * edge_version_cancel(call)
 *	Stop waiting for the store.  Returns whether an upstream was chosen.
 * edge_version_draw(call)
 *	Draw a number for the choice of the service: the same one for all
 *	requests of a stream that may be taken up.
 * edge_rollout_open(edge), edge_rollout_close(edge)
 *	Begin and end to follow the plans of software versions.
 * edge_rollout_timeout_set(edge, timeout)
 *	Set the longest timeout of the routes whose streams may be taken up.
 */
bool edge_version_admit(struct edge_call *call);
bool edge_version_request(
    const struct edge_call *call, struct place_request *request);
void edge_version_record(struct edge_call *call, const char *version);
void edge_version_bind(struct edge_call *call, const char *version);
bool edge_version_cancel(struct edge_call *call);
uint32_t edge_version_draw(const struct edge_call *call);
void edge_rollout_open(struct edge *edge);
void edge_rollout_close(struct edge *edge);
void edge_rollout_timeout_set(struct edge *edge, clk_ms timeout);

/*
 * edge_upstream_start(call)
 *	Send the request to the upstream that was chosen.
 * edge_upstream_refused(call)
 *	The upstream that was chosen has no token: choose another one.
 */
void edge_upstream_start(struct edge_call *call);
void edge_upstream_refused(struct edge_call *call);

/*
 * edge_upstream_lost(call)
 *	The upstream that runs the request is out of reach: end the attempt.  A
 *	request that may be repeated goes on at another upstream, a stream after
 *	the last event that its caller has.
 * edge_probes_tick(edge)
 *	Probe the upstreams that may be out of reach.
 * edge_reach_open(edge), edge_reach_close(edge)
 *	Create and free the table of probes.
 */
void edge_upstream_lost(struct edge_call *call);
void edge_probes_tick(struct edge *edge);
void edge_reach_open(struct edge *edge);
void edge_reach_close(struct edge *edge);

/*
 * edge_rate_refund(call)
 *	Give back the token of a request that has not run.
 * edge_rate_open(edge), edge_rate_close(edge)
 *	Create and free the table of questions to homes.
 */
void edge_rate_refund(struct edge_call *call);
void edge_rate_open(struct edge *edge);
void edge_rate_close(struct edge *edge);

/*
 * edge_admission_begin(call)
 *	The request's rate was admitted.  Refuses a new program at once if there
 *	is no room for it, and returns false then.
 * edge_admission_pass(call)
 *	Whether an upstream may be chosen for the request now.  If not, the
 *	request waits and edge_upstream_send() is called later, or it has been
 *	refused.
 * edge_admission_cancel(call)
 *	Stop waiting.  Returns whether the request did wait.
 * edge_admission_ended(call)
 *	The request's attempt at an upstream has ended, or was cancelled.
 * edge_admission_tick(edge)
 *	The loads of other instances may have changed.
 * edge_admission_catalogue(edge)
 *	The configuration has changed: refuse what may not run any more.
 * edge_admission_stop(edge)
 *	The instance stops: refuse what would wait beyond its end.
 * edge_admission_open(edge), edge_admission_close(edge)
 *	Create and free the queue.
 */
bool edge_admission_begin(struct edge_call *call);
bool edge_admission_pass(struct edge_call *call);
bool edge_admission_cancel(struct edge_call *call);
void edge_admission_ended(struct edge_call *call);
void edge_admission_tick(struct edge *edge);
void edge_admission_catalogue(struct edge *edge);
void edge_admission_stop(struct edge *edge);
void edge_admission_open(struct edge *edge);
void edge_admission_close(struct edge *edge);

/*
 * edge_place_request(call)
 *	Return what the choice of an upstream rests on.
 */
struct place_request edge_place_request(const struct edge_call *call);

/* edge_reply_clear(call): drop what has arrived of the response's body. */
void edge_reply_clear(struct edge_call *call);

/*
 * edge_budget_settle(call)
 *	Release the unused part of the reservation.
 */
void edge_budget_settle(struct edge_call *call);

/* A loan of tokens to another instance. */
struct edge_loan {
	char *borrower; /* session */
	struct sockaddr_in address; /* of the borrower */
	uint64_t serial;
};

/*
 * edge_budget_reserve_own(call)
 *	Reserve tokens for the turn from this instance's grant.  If there is
 *	no sufficient grant, take one from the program's ledger first.
 * edge_budget_lend(edge, loan, program, tokens, budget)
 *	Reserve tokens for another instance.  Calls edge_loan_grant() or
 *	edge_loan_refuse().
 * edge_budget_release(edge, program, reserved, used)
 *	End a reservation, of which used tokens are spent.
 * edge_budget_drain(edge)
 *	Return all grants, because this instance is about to stop.
 * edge_budget_is_settled(edge)
 *	Whether all grants are returned and all loans are repaid.
 */
void edge_budget_reserve_own(struct edge_call *call);
void edge_budget_lend(struct edge *edge, const struct edge_loan *loan,
    const char *program, int64_t tokens, int64_t budget);
void edge_budget_release(
    struct edge *edge, const char *program, int64_t reserved, int64_t used);
void edge_budget_drain(struct edge *edge);
bool edge_budget_is_settled(const struct edge *edge);

/*
 * edge_loan_request(call, lender)
 *	Ask another instance, by name or session, for a loan of the tokens
 *	that the turn may generate.  The call continues when the lender
 *	answers or the request times out.  Returns false if that instance was
 *	the last one asked for this turn, the limit of lenders is reached, or
 *	the instance can't be reached.
 * edge_loan_repay(call, tokens)
 *	Return the unused tokens of the loan that the turn ran on.
 * edge_loan_grant(edge, loan, program, tokens)
 * edge_loan_refuse(edge, loan, program, outcome)
 *	Answer a borrower.
 * edge_loan_expire(edge)
 *	Count overdue loans as spent.
 */
bool edge_loan_request(struct edge_call *call, const char *lender);
void edge_loan_repay(struct edge_call *call, int64_t tokens);
void edge_loan_grant(struct edge *edge, const struct edge_loan *loan,
    const char *program, int64_t tokens);
void edge_loan_refuse(struct edge *edge, const struct edge_loan *loan,
    const char *program, enum loan_outcome outcome);
void edge_loan_expire(struct edge *edge);
void edge_loan_open(struct edge *edge);
void edge_loan_close(struct edge *edge);

/*
 * edge_intake_open(edge)
 *	Charge what callers and requests hold to the instance's budget.
 * edge_intake_tick(edge)
 *	Export the fill level.
 * edge_intake_fits(call)
 *	Whether the copy of the request that is sent to an upstream fits.
 * edge_copies_count(call), edge_copies_release(call)
 *	Count the history and the input that the call has copied, or no more.
 * edge_answers_fit(edge, bytes)
 *	Whether so many bytes more of incomplete answers fit.
 */
void edge_intake_open(struct edge *edge);
void edge_intake_tick(struct edge *edge);
bool edge_intake_fits(struct edge_call *call);
void edge_copies_count(struct edge_call *call);
void edge_copies_release(struct edge_call *call);
bool edge_answers_fit(const struct edge *edge, size_t bytes);

/* edge_upstream_cancel(call): cancel the attempt in progress, if any. */
void edge_upstream_cancel(struct edge_call *call);

void edge_budget_open(struct edge *edge);
void edge_budget_close(struct edge *edge);

#endif
