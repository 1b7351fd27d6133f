/*
 * wire: encoding of requests and responses in HTTP headers.
 *
 * The edge works on these typed messages only.  The deployment implements the
 * functions of the table and defines the names of the headers.
 */
#ifndef SAMPHIRESHED_EDGE_WIRE_H
#define SAMPHIRESHED_EDGE_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/hmsg.h"
#include "lib/clk.h"
#include "lib/vd.h"
#include "place/place.h"

#define EDGE_NO_BUDGET ((int64_t)-1)
/* Longest id of an upstream, in bytes. */
#define EDGE_UPSTREAM_ID_MAX 127

/* A caller's request.  Strings point into the head it was decoded from. */
struct edge_request {
	const char *id; /* unique for each attempt of the caller */
	const char *host;
	const char *key; /* nil: none */
	clk_ms timeout; /* how long the caller waits; 0: not stated */
	const char *program; /* nil: belongs to none */
	clk_ms program_time_left; /* until its deadline; 0: none */
	int64_t budget; /* tokens for all turns, or EDGE_NO_BUDGET */
	int64_t turn_max_tokens; /* tokens for this turn; 0: not stated */
	const char *previous_turn; /* id of the previous turn; nil: none */
	const char *object; /* that it concerns; nil: not stated */
	bool is_resumed; /* it goes on after an event that the caller has */
	const char *resume_after; /* id of that event; nil: it isn't resumed */
	const char *resumes; /* id of the request that began the stream */
	unsigned length_hint; /* expected output tokens; 0: not stated */
	struct place_part *parts; /* of the prompt; free with g_free() */
	size_t part_count;
};

/* What is added to a request that is sent to an upstream. */
struct edge_forward {
	const char *upstream_id;
	const char *organisation; /* nil: a public route */
	clk_ms timeout; /* remaining time */
	const char *resume_after; /* id of an event; nil: as the caller asked */
	size_t body_len;
};

/* The head of an upstream's response. */
struct edge_reply {
	int status;
	bool is_for_request; /* it carries the id of this request */
	bool is_foreign; /* it carries the id of another request */
	bool is_signed; /* by the upstream */
	bool is_not_run; /* it states that it did not run the request */
	bool is_misdirected; /* the address belongs to another upstream */
	bool is_leaving; /* the upstream will stop, and wants no new request */
	bool is_encoded; /* the body is not the upstream's own bytes */
	/* Requests a second that the upstream takes from all; 0: no limit. */
	double rate_limit;
};

struct edge_wire {
	/* Returns nil, or the text of an error. */
	const char *(*request_decode)(
	    const struct hmsg_head *head, struct edge_request *request);
	/* Appends the whole head, including the empty line at its end. */
	void (*request_encode)(GString *out, const struct hmsg_head *head,
	    const struct edge_forward *forward);
	void (*reply_decode)(const struct hmsg_head *head,
	    const char *request_id, struct edge_reply *reply);
	/* Appends the header fields that are passed on to the caller. */
	void (*reply_encode)(GString *fields, const struct hmsg_head *head);
	/* Appends the header fields of a refusal. */
	void (*verdict_encode)(
	    GString *fields, const struct vd *verdict, const char *request_id);
};

#endif
