/*
 * hcl: HTTP client on libcurl's multi interface, driven by the libev loop.
 *
 * Connections are reused.  A reused connection that has been idle is probed
 * by TCP keepalive; a call that finds its connection dead before any byte of
 * the reply reports HCL_MAYBE_SENT, because the server may have run it.
 */
#ifndef SAMPHIRESHED_HCL_H
#define SAMPHIRESHED_HCL_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "lib/clk.h"

struct hcl;
struct hcl_call;

/* How far a call came.  Only HCL_NOT_SENT proves that the server ran nothing.
 */
enum hcl_sent {
	HCL_NOT_SENT, /* no byte of the request left this process */
	HCL_MAYBE_SENT, /* the request may have reached the server */
	HCL_REPLIED /* the whole reply arrived */
};

struct hcl_result {
	enum hcl_sent sent;
	int status; /* HTTP status; 0 if no status line arrived */
	bool timed_out;
	bool cut; /* the reply began but did not end */
	const char *error; /* text for people; "" if none */
	const char *body; /* the reply; empty if on_data was given */
	size_t body_len;
};

/* on_head: the status line and headers have arrived. */
typedef void hcl_on_head(int status, const char *content_type, void *arg);
/* on_data: a part of the body has arrived. */
typedef void hcl_on_data(const void *data, size_t len, void *arg);
/* on_done: called exactly once, unless the call was cancelled. */
typedef void hcl_on_done(const struct hcl_result *result, void *arg);

struct hcl_request {
	const char *method; /* "GET", "POST", ... */
	const char *url;
	const char *const *headers; /* "Name: value", nil-terminated; or nil */
	const void *body; /* copied; nil for none */
	size_t body_len;
	clk_ms connect_timeout; /* 0: 2 s */
	clk_ms timeout; /* for the whole call; 0: none */
	clk_ms idle_timeout; /* longest silence once connected; 0: none */
	size_t max_body; /* of a collected reply; 0: 8 MiB */
	const char *ca_file; /* trust anchors of an https URL, or nil */
	hcl_on_head *on_head; /* may be nil */
	hcl_on_data *on_data; /* nil: collect the body for on_done */
	hcl_on_done *on_done;
	void *arg;
};

/*
 * hcl_open(loop), hcl_close(hcl)
 *	Create and free a client.  hcl_close() drops the calls in progress
 *	without calling on_done.
 */
struct hcl *hcl_open(struct ev_loop *loop);
void hcl_close(struct hcl *hcl);

/*
 * hcl_start(hcl, request)
 *	Start a call.  on_done is never called from within hcl_start().
 * RETURN VALUES
 *	A handle that is valid until on_done returns or hcl_cancel() is called.
 */
struct hcl_call *hcl_start(struct hcl *hcl, const struct hcl_request *request);

/* hcl_cancel(call): close the call's connection; on_done is not called. */
void hcl_cancel(struct hcl_call *call);

#endif
