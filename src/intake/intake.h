/*
 * intake: the budget of the memory that callers make an instance hold.
 *
 * Addresses callers that send bodies or heads and stop short of their end,
 * and callers that read no answers: many of them at once exceed the memory of
 * a small machine.  The module has no socket and reads no clock.  A driver
 * reports what each connection holds, asks before it reads more, and closes
 * the connections that intake_victim() returns.
 */
#ifndef SAMPHIRESHED_INTAKE_H
#define SAMPHIRESHED_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

/* What the bytes that a connection holds are part of. */
enum intake_kind {
	INTAKE_INPUT, /* heads and bodies that are not complete */
	INTAKE_REQUEST, /* requests that are handled, and pipelined ones */
	INTAKE_ANSWER, /* answers that the caller has not read */
	INTAKE_KINDS
};

struct intake_limits {
	size_t input; /* bytes of INTAKE_INPUT, the oldest request aside */
	size_t answers; /* bytes of INTAKE_ANSWER */
	size_t total; /* bytes of all kinds, when more is to be read */
	size_t answered; /* the same, when an answer grows */
};

/*
 * intake_limits_of(memory)
 *	Return the limits for a machine with so many bytes of memory; 0: not
 *	known, those of the smallest machine.
 */
struct intake_limits intake_limits_of(size_t memory);

/* What the connections of one address hold together. */
struct intake_source {
	uint32_t address;
	unsigned connections;
	size_t held;
};

/* A connection; the driver keeps it, zeroed before intake_add(). */
struct intake_conn {
	struct intake_conn *prev, *next; /* in order of the requests' begin */
	void *owner;
	struct intake_source *source; /* the caller's address */
	size_t held[INTAKE_KINDS];
	size_t received; /* bytes since window */
	clk_ms window; /* begin of the measurement of its progress */
	clk_ms paused; /* when reading was stopped; 0: it isn't */
	bool is_listed;
};

struct intake;

struct intake *intake_open(const struct intake_limits *limits);
void intake_close(struct intake *intake);

/*
 * intake_add(intake, conn, owner, address, now), intake_remove(intake, conn)
 *	A connection was opened or closed.
 * intake_begin(intake, conn, now)
 *	Its next request begins: it is the newest.
 * intake_set(intake, conn, kind, bytes)
 *	It holds so many bytes of a kind from now on.
 * intake_received(conn, bytes)
 *	The caller has sent or read so many bytes.
 * intake_window_restart(conn, now)
 *	Its progress could not be measured: what it sent is not read yet.
 */
void intake_add(struct intake *intake, struct intake_conn *conn, void *owner,
    uint32_t address, clk_ms now);
void intake_remove(struct intake *intake, struct intake_conn *conn);
void intake_begin(struct intake *intake, struct intake_conn *conn, clk_ms now);
void intake_set(struct intake *intake, struct intake_conn *conn,
    enum intake_kind kind, size_t bytes);
void intake_received(struct intake_conn *conn, size_t bytes);
void intake_window_restart(struct intake_conn *conn, clk_ms now);

/*
 * intake_other_set(intake, bytes)
 *	Set the bytes that are held for requests elsewhere in the process, and
 *	not counted with a connection: copies on their way to upstreams.
 */
void intake_other_set(struct intake *intake, size_t bytes);

/*
 * intake_may_read(intake, conn, now)
 *	Whether more input of the connection may be read.  If not, reading is
 *	paused until a later call returns true.
 *	Connections that hold much may use half of the input's limit, so that
 *	those with little are read meanwhile; the oldest request is always read.
 * intake_resume(intake, promised, now)
 *	Return a paused connection, the oldest first, for which there is room
 *	again, and count it in *promised, at first 0; nil: there is none.
 * intake_fits(intake, bytes, own)
 *	Whether so many bytes more fit into the total, for a request that has
 *	own bytes of those of intake_other_set().  One request always fits
 *	where there is no other.
 */
bool
intake_may_read(struct intake *intake, struct intake_conn *conn, clk_ms now);
struct intake_conn *
intake_resume(struct intake *intake, size_t *promised, clk_ms now);
bool intake_fits(const struct intake *intake, size_t bytes, size_t own);

/*
 * intake_answer_fits(intake, answers, bytes)
 *	Whether so many bytes more of answers of upstreams fit, of which there
 *	are answers bytes now.
 * intake_is_unread(intake)
 *	Whether callers leave too much unread: see intake_victim().
 */
bool
intake_answer_fits(const struct intake *intake, size_t answers, size_t bytes);
bool intake_is_unread(const struct intake *intake);

/* Why a connection is to be closed. */
enum intake_reason {
	INTAKE_NONE,
	INTAKE_STALLED, /* least progress for what it holds */
	INTAKE_WAITED, /* its input did not fit for too long: refuse it */
	INTAKE_UNREAD /* most of the unread answers */
};

/*
 * intake_victim(intake, now, reason)
 *	Return the connection to refuse or close next, or nil.  To be called
 *	again after it was removed.  Without pressure there is none.  Those of
 *	the address that holds most go first.
 */
struct intake_conn *
intake_victim(struct intake *intake, clk_ms now, enum intake_reason *reason);

/* intake_held(intake, kind), intake_limits(intake): fill level and limits. */
size_t intake_held(const struct intake *intake, enum intake_kind kind);
size_t intake_total(const struct intake *intake);
const struct intake_limits *intake_limits(const struct intake *intake);

#endif
