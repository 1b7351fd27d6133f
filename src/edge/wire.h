/*
 * wire: how callers and upstreams spell requests and answers.
 *
 * The edge decides on these typed messages only.  The deployment's header
 * names live behind this table of functions.
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

#define EDG_NO_BUDGET ((int64_t)-1)

/* A caller's request.  Strings point into the head it was decoded from. */
struct edg_request {
	const char *id; /* one for each attempt of the caller */
	const char *host;
	const char *key; /* nil: none */
	clk_ms timeout; /* how long the caller waits; 0: not stated */
	const char *program; /* nil: belongs to none */
	clk_ms program_left; /* until the program should be finished; 0 */
	int64_t budget; /* tokens all turns may generate; EDG_NO_BUDGET */
	int64_t turn_max; /* tokens that this turn may generate; 0 */
	const char *previous; /* turn that this one continues; nil: none */
	unsigned length_hint; /* expected output tokens; 0: not stated */
	struct place_part *parts; /* of the prompt; g_free() */
	size_t part_count;
};

/* What the system adds to a request for an upstream. */
struct edg_forward {
	const char *upstream_id;
	const char *organisation; /* nil: a public route */
	clk_ms timeout; /* what is left */
	size_t body_len;
};

/* The head of an upstream's answer. */
struct edg_reply {
	int status;
	bool is_ours; /* it answers this request */
	bool is_signed; /* by the upstream */
	bool is_not_run; /* it states that it did not run the request */
	bool is_misdirected; /* another upstream has the address */
	bool is_encoded; /* the body is not the upstream's own bytes */
};

struct edg_wire {
	/* Returns nil, or what is wrong with the request. */
	const char *(*request_decode)(
	    const struct hmsg_head *head, struct edg_request *request);
	/* Appends the whole head, ending with the empty line. */
	void (*request_encode)(GString *out, const struct hmsg_head *head,
	    const struct edg_forward *forward);
	void (*reply_decode)(const struct hmsg_head *head,
	    const char *request_id, struct edg_reply *reply);
	/* Appends the fields that go back to the caller. */
	void (*reply_encode)(GString *fields, const struct hmsg_head *head);
	/* Appends the fields of a refusal. */
	void (*verdict_encode)(
	    GString *fields, const struct vd *verdict, const char *request_id);
};

#endif
