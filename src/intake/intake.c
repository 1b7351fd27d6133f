#include "intake/intake.h"

#include <glib.h>

/* Memory of the smallest machines, where the settings name none. */
#define MEMORY_DEFAULT ((size_t)88 << 20)
/*
 * Parts of the memory.  The process takes 9 MB without load, the turns in
 * memory 12 MB and a copy of the largest body up to 8 MB.  Unread answers had
 * 24 MB before there was a budget, of 88 MB too.
 */
#define TOTAL_PART   0.5
#define ANSWERS_PART 0.285
#define INPUT_PART   0.25
/* With answers, which can't be paused: 66 of 88 MB. */
#define ANSWERED_PART 0.75
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
	GHashTable *sources; /* address -> struct intake_source */
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
	limits.total = (size_t)(TOTAL_PART * (double)memory);
	limits.answered = (size_t)(ANSWERED_PART * (double)memory);
	limits.input = (size_t)(INPUT_PART * (double)memory);
	limits.answers =
	    MAX((size_t)(ANSWERS_PART * (double)memory), ANSWERS_MIN);
	return (limits);
}

struct intake *
intake_open(const struct intake_limits *limits)
{
	struct intake *intake = g_new0(struct intake, 1);

	intake->limits = *limits;
	intake->sources = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return (intake);
}

void
intake_close(struct intake *intake)
{
	if (intake == NULL)
		return;
	g_hash_table_destroy(intake->sources);
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

static struct intake_source *
source_add(struct intake *intake, uint32_t address)
{
	struct intake_source *source =
	    g_hash_table_lookup(intake->sources, GUINT_TO_POINTER(address));

	if (source == NULL) {
		source = g_new0(struct intake_source, 1);
		source->address = address;
		(void)g_hash_table_insert(
		    intake->sources, GUINT_TO_POINTER(address), source);
	}
	source->connections++;
	return (source);
}

static void
source_remove(struct intake *intake, struct intake_source *source)
{
	if (--source->connections == 0)
		(void)g_hash_table_remove(
		    intake->sources, GUINT_TO_POINTER(source->address));
}

void
intake_add(struct intake *intake, struct intake_conn *conn, void *owner,
    uint32_t address, clk_ms now)
{
	conn->owner = owner;
	conn->source = source_add(intake, address);
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
	source_remove(intake, conn->source);
	conn->source = NULL;
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
	conn->source->held += bytes - conn->held[kind];
	conn->held[kind] = bytes;
}

void
intake_received(struct intake_conn *conn, size_t bytes)
{
	conn->received += bytes;
}

void
intake_window_restart(struct intake_conn *conn, clk_ms now)
{
	window_begin(conn, now);
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
intake_fits(const struct intake *intake, size_t bytes, size_t own)
{
	return (intake->other <= own ||
	    intake_total(intake) + bytes <= intake->limits.total);
}

/* Whether a is to go before b, of what they hold of a kind. */
static bool
is_worse(const struct intake_conn *a, const struct intake_conn *b,
    enum intake_kind kind)
{
	if (a->source != b->source && a->source->held != b->source->held)
		return (a->source->held > b->source->held);
	return (a->held[kind] > b->held[kind]);
}

bool
intake_is_unread(const struct intake *intake)
{
	return (intake->held[INTAKE_ANSWER] > intake->limits.answers ||
	    (intake->held[INTAKE_ANSWER] > 0 &&
		intake_total(intake) > intake->limits.answered));
}

bool
intake_answer_fits(const struct intake *intake, size_t answers, size_t bytes)
{
	return (answers + bytes <= intake->limits.answers &&
	    intake_total(intake) + bytes <= intake->limits.answered);
}

/* The connection with most unread answers, of the address that has most. */
static struct intake_conn *
most_unread(struct intake *intake)
{
	struct intake_conn *most = NULL;

	for (struct intake_conn *conn = intake->first; conn != NULL;
	     conn = conn->next) {
		if (conn->held[INTAKE_ANSWER] > 0 &&
		    (most == NULL || is_worse(conn, most, INTAKE_ANSWER)))
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
		    (worst == NULL || is_worse(conn, worst, INTAKE_INPUT)))
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
	if (intake_is_unread(intake)) {
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
