/*
 * plog: client of the platform's append-only log over HTTP.
 *
 * The client follows streams and appends records.  The data of each append
 * carries {"session","number"}.  If the reply to an append is lost, the client
 * searches the stream for its record, from the offset that was the tail before
 * the append, and sends it again, with the same number, only if it is not
 * found.  A request delayed in the network can still append it twice; a
 * follower drops duplicates of a (session, number) among the last 4,096
 * records; beyond that, users of the stream have to expect duplicates.
 *
 * Every call has a deadline and every retry backs off with jitter.
 */
#ifndef SAMPHIRESHED_PLOG_H
#define SAMPHIRESHED_PLOG_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/hcl.h"
#include "lib/lg.h"

struct plog;
struct plog_follower;

struct plog_settings {
	const char *url; /* base, for example "http://127.0.0.1:7000"; copied */
	uint64_t session; /* this session; written as 16 hex digits */
	uint64_t seed; /* of the jitter */
	clk_ms call_timeout; /* of an append or a plain read; 0: 2 s */
	clk_ms wait_ms; /* long poll of a follower at the tail; 0: 500 ms */
	clk_ms retry_min; /* first backoff; 0: 50 ms */
	clk_ms retry_max; /* largest backoff; 0: 2 s */
	clk_ms append_deadline; /* from plog_append(); 0: 30 s */
	unsigned appends_per_second; /* of this client; 0: 20 */
	unsigned append_burst; /* 0: 20 */
	unsigned max_queue; /* appends queued or in flight; 0: 256 */
	unsigned read_max; /* records requested in one read; 0: 256 */
};

enum plog_outcome {
	PLOG_APPENDED, /* the record is at the offset */
	PLOG_REFUSED, /* the record was not and will not be appended */
	PLOG_UNKNOWN /* deadline passed; the record may appear later */
};

/* on_appended: called once for each append, never from plog_append(). */
typedef void
plog_on_appended(enum plog_outcome outcome, int64_t offset, void *arg);

struct plog_follower_events {
	/*
	 * One record, in the order of offsets.  data is borrowed.  time_ms is
	 * the record's time in the log, or 0 if the reply has none.
	 */
	void (*record)(
	    int64_t offset, int64_t time_ms, json_t *data, void *arg);
	/*
	 * Every record that was in the stream at the time started_at (the
	 * client's clock before the request was sent) has been passed to
	 * record(), except duplicates, so the offset of the last one may be
	 * less than next - 1.
	 */
	void (*tail)(int64_t next, clk_ms started_at, void *arg);
	/*
	 * The records from the offset from up to but not including first are
	 * no longer kept.  The follower continues at first.
	 */
	void (*gap)(int64_t from, int64_t first, int64_t next, void *arg);
	/* A read failed; the follower retries.  May be nil. */
	void (*failed)(const char *error, void *arg);
	void *arg;
};

/*
 * plog_open(loop, hcl, clk, settings, cnt, lg)
 *	Create a client.  hcl must outlive it.  cnt and lg may be nil.
 */
struct plog *plog_open(struct ev_loop *loop, struct hcl *hcl, struct clk clk,
    const struct plog_settings *settings, struct cnt *cnt, struct lg *lg);

/*
 * plog_close(plog)
 *	Cancel all calls and free the client with its followers.  Appends that
 *	have not completed get no callback.  Not to be called from a callback.
 */
void plog_close(struct plog *plog);

/*
 * plog_follow_start(plog, stream, from, events)
 *	Follow a stream from an offset until plog_follower_stop().  Events are
 *	never called from within plog_follow_start().
 */
struct plog_follower *plog_follow_start(struct plog *plog, const char *stream,
    int64_t from, const struct plog_follower_events *events);

/*
 * plog_follower_seek(follower, from)
 *	Continue from another offset, for example after a snapshot was
 *	restored.  The read in flight is cancelled.
 */
void plog_follower_seek(struct plog_follower *follower, int64_t from);
void plog_follower_stop(struct plog_follower *follower);

/* plog_follower_next(follower): the offset of the next record to pass on. */
int64_t plog_follower_next(const struct plog_follower *follower);

/*
 * plog_append(plog, stream, data, on_appended, arg)
 *	Queue an append of data, a JSON object, to which "session" and "number"
 *	are added.  The reference to data is taken over.  Appends of one client
 *	are sent one at a time in the order of the calls.
 * RETURN VALUES
 *	The number, from 1 on; or 0 if the queue is full or data is not an
 *	object, in which case on_appended is not called.
 */
int64_t plog_append(struct plog *plog, const char *stream, json_t *data,
    plog_on_appended *on_appended, void *arg);

/* plog_append_count(plog): the number of appends queued or in flight. */
unsigned plog_append_count(const struct plog *plog);

/*
 * plog_session_format(buf, session), plog_session_parse(text, session)
 *	Convert between a session number and its 16 hex digits in records.
 *	plog_session_parse() returns false for anything else, and for 0.
 */
#define PLOG_SESSION_SIZE 17
const char *plog_session_format(char buf[PLOG_SESSION_SIZE], uint64_t session);
bool plog_session_parse(const char *text, uint64_t *session);

#endif
