/*
 * Admission: which requests go to the upstreams of a full service, and when.
 *
 * Addresses bursts of 1.6 to 2.4 times the usual load for some seconds, one
 * organisation that sends several times its usual requests, and upstreams
 * that become slow or leave.  Upstreams admit in order of arrival; while all
 * of a service are full, requests wait here instead, in an order that takes
 * account of programs' deadlines, and new programs are refused first.
 *
 * Each instance decides for itself.  While a service is full, an instance
 * holds its own requests there to its part of the places, which follows from
 * the load that it knows of the others.
 */
#ifndef SAMPHIRESHED_ADMISSION_H
#define SAMPHIRESHED_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"

struct admission;

/* Open upstreams of a service, as this instance knows them. */
struct admission_state {
	double places; /* requests that they run at once; 0: not known */
	double running; /* requests of all instances */
	double own; /* of these, of this instance */
	unsigned instances; /* that share the upstreams */
};

enum admission_kind {
	ADMISSION_PLAIN,
	ADMISSION_TURN, /* of a program under way */
	ADMISSION_NEW_PROGRAM /* its first turn */
};

struct admission_request {
	const char *service;
	enum admission_kind kind;
	int priority; /* of a plain request; 0 is the most urgent */
	uint32_t organisation; /* hash of its name */
	uint64_t program; /* hash of its id; 0: none */
	clk_ms deadline; /* until which its caller waits */
	clk_ms program_deadline; /* 0: none */
	clk_ms expected; /* time that it runs */
	size_t bytes; /* that it holds while it waits */
};

enum admission_answer { ADMISSION_SEND, ADMISSION_WAIT, ADMISSION_REFUSE };

/* Why a request was refused. */
enum admission_reason {
	ADMISSION_NO_ROOM, /* for a new program, or in the queue */
	ADMISSION_NO_TIME, /* it would not be served in its time */
	ADMISSION_TIMED_OUT /* it has waited as long as it may */
};

struct admission_verdict {
	enum admission_answer answer;
	enum admission_reason reason; /* if refused */
	clk_ms retry_after; /* the same */
};

/* A request that waits; the members are private. */
struct admission_ticket {
	struct admission_request request;
	struct admission_service *service; /* nil: it does not wait */
	clk_ms since;
	clk_ms until; /* when its wait ends at the latest */
	uint64_t serial;
	GList link;
	void *arg; /* of the caller */
};

/* admission_open(seed): seed of the random numbers that spread retries. */
struct admission *admission_open(uint32_t seed);
void admission_close(struct admission *admission);

/*
 * admission_decide(admission, state, request, now)
 *	Decide on a request that is about to be sent.
 * admission_sent(admission, request, now)
 *	The request is sent.  Those of admission_next() count as sent already.
 */
struct admission_verdict admission_decide(struct admission *admission,
    const struct admission_state *state,
    const struct admission_request *request, clk_ms now);
void admission_sent(struct admission *admission,
    const struct admission_request *request, clk_ms now);

/*
 * admission_wait(admission, ticket, request, now)
 *	Add a request to the queue.  Returns the ticket that is removed and
 *	has to be refused because the queue is full; nil: none.  It may be the
 *	same ticket.
 * admission_cancel(admission, ticket)
 *	Remove a request from the queue, if it is there.
 */
struct admission_ticket *
admission_wait(struct admission *admission, struct admission_ticket *ticket,
    const struct admission_request *request, clk_ms now);
void
admission_cancel(struct admission *admission, struct admission_ticket *ticket);

/*
 * admission_next(admission, state, service, now)
 *	Remove from the queue and return the request of the service that is to
 *	be sent now; nil: none.  It counts as sent.
 * admission_expired(admission, now)
 *	Remove and return a request that has waited as long as it may; nil:
 *	none.
 * admission_first(admission, service)
 *	Return any request that waits for the service; nil: none.
 */
struct admission_ticket *admission_next(struct admission *admission,
    const struct admission_state *state, const char *service, clk_ms now);
struct admission_ticket *
admission_expired(struct admission *admission, clk_ms now);
const struct admission_ticket *
admission_first(const struct admission *admission, const char *service);

/*
 * admission_ended(admission, service, now)
 *	A request of this instance ended at an upstream of the service.
 */
void
admission_ended(struct admission *admission, const char *service, clk_ms now);

/*
 * admission_retry_after(admission, request, now)
 *	Return the time after which a refused request may come again.  Requests
 *	that are refused together get different ones.
 */
clk_ms admission_retry_after(struct admission *admission,
    const struct admission_request *request, clk_ms now);

/*
 * admission_waiting(admission), admission_bytes(admission)
 *	Number of requests that wait, and bytes that they hold.
 * admission_services(admission)
 *	Names of the services for which requests wait; free the array, not the
 *	names, which are valid until admission_close().
 * admission_expire(admission, now)
 *	Forget services and refused programs that are not used any more.
 */
unsigned admission_waiting(const struct admission *admission);
size_t admission_bytes(const struct admission *admission);
GPtrArray *admission_services(const struct admission *admission);
void admission_expire(struct admission *admission, clk_ms now);

const char *admission_reason_name(enum admission_reason reason);

#endif
