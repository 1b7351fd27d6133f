#include "intake/intake.h"

#include <glib.h>

/* Memory of the smallest machines, where the settings name none. */
#define MEMORY_DEFAULT ((size_t)88 << 20)
/*
 * Parts of the memory.  The process takes 9 MB without load, the turns in
 * memory 12 MB and a copy of the largest body up to 8 MB; with half of the
 * memory for callers, 96 MB hold all of it.  Answers had 24 MB of 96 before.
 */
#define TOTAL_PART   2
#define ANSWERS_PART 4
#define INPUT_PART   8
/* The unread answers of an ordinary deployment stay below. */
#define ANSWERS_MIN ((size_t)8 << 20)
/*
 * Progress is measured over this time: longer than a retransmission of TCP
 * takes, and well below the second that callers give a request at least.
 */
#define WINDOW_MS 300
/*
 * A caller is stalled if it sends less than this part of what it holds in a
 * window: 32 KB for a body of 4 MiB, or 0.9 Mbit/s of a link of 22 Mbit/s.
 */
#define PROGRESS_PART 128
/* Ordinary bodies are smaller: 17 to 100 KB. */
#define MUCH ((size_t)128 << 10)
/* What a connection is expected to send once it is read again. */
#define RESUME_BYTES ((size_t)64 << 10)
/* Input that waits longer is refused: a caller's time is 1 s at least. */
#define WAIT_MAX_MS 1000

struct intake {
	struct intake_limits limits;
	struct intake_conn *first, *last; /* the oldest request first */
	size_t held[INTAKE_KINDS];
	size_t other;
	unsigned paused;
};

struct intake_limits
intake_limits_of(size_t memory)
{
	struct intake_limits limits;

	if (memory == 0)
		memory = MEMORY_DEFAULT;
	limits.total = memory / TOTAL_PART;
	limits.answers = MAX(memory / ANSWERS_PART, ANSWERS_MIN);
	limits.input = memory / INPUT_PART;
	return (limits);
}

struct intake *
intake_open(const struct intake_limits *limits)
{
	struct intake *intake = g_new0(struct intake, 1);

	intake->limits = *limits;
	return (intake);
}

void
intake_close(struct intake *intake)
{
	g_free(intake);
}

static void
list_append(struct intake *intake, struct intake_conn *conn)
{
	conn->prev = intake->last;
	conn->next = NULL;
	if (conn->prev != NULL)
		conn->prev->next = conn;
	else
		intake->first = conn;
	intake->last = conn;
	conn->is_listed = true;
}

static void
list_remove(struct intake *intake, struct intake_conn *conn)
{
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		intake->first = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	else
		intake->last = conn->prev;
	conn->is_listed = false;
}

static void
resume(struct intake *intake, struct intake_conn *conn)
{
	if (conn->paused == 0)
		return;
	conn->paused = 0;
	intake->paused--;
}

static void
window_begin(struct intake_conn *conn, clk_ms now)
{
	conn->window = now;
	conn->received = 0;
}

void
intake_add(struct intake *intake, struct intake_conn *conn, void *owner,
    uint32_t address, clk_ms now)
{
	conn->owner = owner;
	conn->address = address;
	window_begin(conn, now);
	list_append(intake, conn);
}

void
intake_remove(struct intake *intake, struct intake_conn *conn)
{
	if (!conn->is_listed)
		return;
	for (int kind = 0; kind < INTAKE_KINDS; kind++)
		intake_set(intake, conn, (enum intake_kind)kind, 0);
	resume(intake, conn);
	list_remove(intake, conn);
}

void
intake_begin(struct intake *intake, struct intake_conn *conn, clk_ms now)
{
	list_remove(intake, conn);
	list_append(intake, conn);
	window_begin(conn, now);
}

void
intake_set(struct intake *intake, struct intake_conn *conn,
    enum intake_kind kind, size_t bytes)
{
	intake->held[kind] += bytes - conn->held[kind];
	conn->held[kind] = bytes;
}

void
intake_received(struct intake_conn *conn, size_t bytes)
{
	conn->received += bytes;
}

void
intake_other_set(struct intake *intake, size_t bytes)
{
	intake->other = bytes;
}

size_t
intake_total(const struct intake *intake)
{
	size_t total = intake->other;

	for (int kind = 0; kind < INTAKE_KINDS; kind++)
		total += intake->held[kind];
	return (total);
}

/* The request that began first among those that are not complete. */
static const struct intake_conn *
oldest_input(const struct intake *intake)
{
	for (const struct intake_conn *conn = intake->first; conn != NULL;
	     conn = conn->next) {
		if (conn->held[INTAKE_INPUT] > 0 &&
		    conn->held[INTAKE_REQUEST] == 0)
			return (conn);
	}
	return (NULL);
}

static bool
has_room(const struct intake *intake, const struct intake_conn *conn,
    size_t promised)
{
	size_t limit = conn->held[INTAKE_INPUT] >= MUCH
	    ? intake->limits.input / 2
	    : intake->limits.input;

	/* Pipelined requests leave half of the total to others. */
	if (conn->held[INTAKE_REQUEST] > 0)
		return (
		    intake_total(intake) + promised < intake->limits.total / 2);
	return ((intake->held[INTAKE_INPUT] + promised < limit &&
		    intake_total(intake) + promised < intake->limits.total) ||
	    oldest_input(intake) == conn);
}

bool
intake_may_read(struct intake *intake, struct intake_conn *conn, clk_ms now)
{
	if (has_room(intake, conn, 0)) {
		if (conn->paused > 0)
			window_begin(conn, now);
		resume(intake, conn);
		return (true);
	}
	if (conn->paused == 0) {
		conn->paused = MAX(now, 1);
		intake->paused++;
	}
	return (false);
}

struct intake_conn *
intake_resume(struct intake *intake, size_t *promised, clk_ms now)
{
	if (intake->paused == 0)
		return (NULL);
	for (struct intake_conn *conn = intake->first; conn != NULL;
	     conn = conn->next) {
		if (conn->paused == 0 || !has_room(intake, conn, *promised))
			continue;
		*promised += RESUME_BYTES;
		window_begin(conn, now);
		resume(intake, conn);
		return (conn);
	}
	return (NULL);
}

bool
intake_fits(const struct intake *intake, size_t bytes)
{
	return (intake->other == 0 ||
	    intake_total(intake) + bytes <= intake->limits.total);
}

/* The connection with most unread answers. */
static struct intake_conn *
most_unread(struct intake *intake)
{
	struct intake_conn *most = NULL;

	for (struct intake_conn *conn = intake->first; conn != NULL;
	     conn = conn->next) {
		if (conn->held[INTAKE_ANSWER] > 0 &&
		    (most == NULL ||
			conn->held[INTAKE_ANSWER] > most->held[INTAKE_ANSWER]))
			most = conn;
	}
	return (most);
}

/*
 * Whether the caller sends too little for what it holds, over a window in
 * which it could have sent.
 */
static bool
is_stalled(struct intake_conn *conn, clk_ms now)
{
	if (conn->held[INTAKE_INPUT] == 0 || conn->held[INTAKE_REQUEST] > 0 ||
	    conn->paused > 0 || now - conn->window < WINDOW_MS)
		return (false);
	if (conn->received > conn->held[INTAKE_INPUT] / PROGRESS_PART) {
		window_begin(conn, now);
		return (false);
	}
	return (true);
}

static struct intake_conn *
most_stalled(struct intake *intake, clk_ms now)
{
	struct intake_conn *worst = NULL;

	for (struct intake_conn *conn = intake->first; conn != NULL;
	     conn = conn->next) {
		if (is_stalled(conn, now) &&
		    (worst == NULL ||
			conn->held[INTAKE_INPUT] > worst->held[INTAKE_INPUT]))
			worst = conn;
	}
	return (worst);
}

static struct intake_conn *
longest_paused(struct intake *intake, clk_ms now)
{
	for (struct intake_conn *conn = intake->first; conn != NULL;
	     conn = conn->next) {
		if (conn->paused > 0 && conn->held[INTAKE_REQUEST] == 0 &&
		    conn->held[INTAKE_INPUT] > 0 &&
		    now - conn->paused >= WAIT_MAX_MS)
			return (conn);
	}
	return (NULL);
}

struct intake_conn *
intake_victim(struct intake *intake, clk_ms now, enum intake_reason *reason)
{
	struct intake_conn *conn;

	*reason = INTAKE_NONE;
	if (intake->held[INTAKE_ANSWER] > intake->limits.answers) {
		*reason = INTAKE_UNREAD;
		return (most_unread(intake));
	}
	if (intake->paused == 0)
		return (NULL);
	conn = most_stalled(intake, now);
	if (conn != NULL) {
		*reason = INTAKE_STALLED;
		return (conn);
	}
	conn = longest_paused(intake, now);
	if (conn != NULL)
		*reason = INTAKE_WAITED;
	return (conn);
}

size_t
intake_held(const struct intake *intake, enum intake_kind kind)
{
	return (intake->held[kind]);
}

const struct intake_limits *
intake_limits(const struct intake *intake)
{
	return (&intake->limits);
}
