#include "admission/admission.h"

#include <math.h>
#include <string.h>

/*
 * Requests that wait at one instance, and what they hold: a part of the memory
 * and the descriptors of the smallest instance (88 MB, 3,075 descriptors).
 */
#define WAITING_MAX	  512
#define WAITING_BYTES_MAX ((size_t)8 << 20)
/*
 * Longest wait.  Callers abandon a stream after 2 s without an event, of which
 * an engine needs some.
 */
#define WAIT_MAX_MS 1000
/* The same as a part of the time that the request has left. */
#define WAIT_PART 0.5
/*
 * Longest wait of a new program, and as a part of its time left.  Its
 * objective is at least 1.3 times its time on idle engines, so 0.23 is all its
 * slack, and a full engine is 20 to 40 % slower than an idle one.
 */
#define NEW_WAIT_MAX_MS 300
#define NEW_WAIT_PART	0.05
/*
 * Parts of the places that requests may take, a short queue at the upstreams
 * included.  It keeps them busy while the known loads are up to 200 ms old:
 * without it 1 to 2 points fewer programs ended in time (test_admission.c).
 * Plain requests take 20 ms, less than the age of the loads, so that their
 * upstreams fill unevenly: with 61 instances and 1.5 times the capacity, 70 %
 * were served in time at 1.5 and nearly all at 3, of 6 slots and 24 that queue.
 */
#define PLAIN_PART 3.0
#define TURN_PART  1.25
#define LATE_PART  1.0
#define NEW_PART   1.05
/*
 * Period in which an instance's part of the places is computed: loads of other
 * instances are up to 200 ms old, and a faster correction oscillates.
 */
#define LIMIT_PERIOD_MS 200
/* Part by which the instances' parts become equal in each period. */
#define LIMIT_PULL 0.3
/*
 * Time after which a request may go although the instance's part is less than
 * one place, if none of its requests run.
 */
#define ALONE_WAIT_MS 100
/*
 * Most by which the parts grow in a period while places are free: instances
 * learn of free places at the same time.
 */
#define UNUSED_MAX 1.5
/* Time constant of the average of an instance's own requests. */
#define OWN_MEMORY_MS 300.0
/* Time after which a waiting request moves up by one class. */
#define AGING_MS 250
/* Deadlines that differ by less are equal: the organisation decides. */
#define DEADLINE_STEP_MS 100
/* A request that has waited counts as one whose deadline is this far away. */
#define DEADLINE_MAX_MS 800
/* Classes of the order. */
#define CLASS_ON_TIME 0
#define CLASS_LATE    1
#define CLASS_NEW     2
/* Time constant of what organisations received, and of the requests ended. */
#define MEMORY_MS 1000.0
/* Requests ended in that time below which their rate is not known. */
#define ENDED_MIN 3.0
/* Bounds of the Retry-After, and its largest part of the time left. */
#define RETRY_MIN_MS 60
#define RETRY_MAX_MS 1000
#define RETRY_PART   0.3
/* Bounds of the Retry-After of a new program. */
#define RETRY_NEW_MIN_MS 50
#define RETRY_NEW_MAX_MS 5000
/*
 * Time without a refused new program after which an overload is over.  With
 * 500 ms, instances of a large fleet, which refuse few each, took one overload
 * for many: 45 in place of 50 % of the work in time (61 instances, load 1.0).
 */
#define OVERLOAD_GAP_MS 1500
/* A service without requests is forgotten after this time. */
#define IDLE_SERVICE_MS 30000

struct organisation {
	double received; /* requests sent, decaying */
	clk_ms updated;
};

struct admission_service {
	char *name;
	GQueue waiting; /* struct admission_ticket */
	unsigned new_programs; /* of these */
	GHashTable *organisations; /* hash -> struct organisation */
	double limit; /* own requests while the service is full */
	double dither; /* in [0, 1): rounds the limit */
	clk_ms limit_at; /* when it was computed; 0: never */
	double own_average; /* requests of this instance at the upstreams */
	double own_last; /* as of own_at */
	clk_ms own_at;
	double ended; /* requests of this instance, decaying */
	clk_ms ended_at;
	clk_ms refused_at; /* the last new program; 0: none */
	clk_ms refused_since; /* the first one of the overload */
	clk_ms used;
};

struct admission {
	GHashTable *services; /* name -> struct admission_service */
	GRand *rand;
	uint64_t serial;
	unsigned waiting;
	size_t bytes;
};

static void
service_free(void *data)
{
	struct admission_service *service = data;

	g_hash_table_destroy(service->organisations);
	g_free(service->name);
	g_free(service);
}

struct admission *
admission_open(uint32_t seed)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	admission->rand = g_rand_new_with_seed(seed);
	return (admission);
}

void
admission_close(struct admission *admission)
{
	if (admission == NULL)
		return;
	g_hash_table_destroy(admission->services);
	g_rand_free(admission->rand);
	g_free(admission);
}

static struct admission_service *
service_get(struct admission *admission, const char *name, clk_ms now)
{
	struct admission_service *service =
	    g_hash_table_lookup(admission->services, name);

	if (service == NULL) {
		service = g_new0(struct admission_service, 1);
		service->name = g_strdup(name);
		service->organisations =
		    g_hash_table_new_full(NULL, NULL, NULL, g_free);
		(void)g_hash_table_insert(
		    admission->services, service->name, service);
	}
	service->used = now;
	return (service);
}

static double
decayed(double value, clk_ms age)
{
	return (age > 0 ? value * exp(-(double)age / MEMORY_MS) : value);
}

static double
received(const struct admission_service *service, uint32_t hash, clk_ms now)
{
	const struct organisation *organisation =
	    g_hash_table_lookup(service->organisations, GUINT_TO_POINTER(hash));

	return (organisation != NULL
		? decayed(organisation->received, now - organisation->updated)
		: 0);
}

static void
sent_record(struct admission_service *service, uint32_t hash, clk_ms now)
{
	struct organisation *organisation =
	    g_hash_table_lookup(service->organisations, GUINT_TO_POINTER(hash));

	if (organisation == NULL) {
		organisation = g_new0(struct organisation, 1);
		(void)g_hash_table_insert(service->organisations,
		    GUINT_TO_POINTER(hash), organisation);
	}
	organisation->received =
	    1.0 + decayed(organisation->received, now - organisation->updated);
	organisation->updated = now;
}

/* Requests of this instance that end in a ms; 0: not known. */
static double
ended_per_ms(const struct admission_service *service, clk_ms now)
{
	double ended = decayed(service->ended, now - service->ended_at);

	return (ended >= ENDED_MIN ? ended / MEMORY_MS : 0);
}

void
admission_ended(struct admission *admission, const char *name, clk_ms now)
{
	struct admission_service *service = service_get(admission, name, now);

	service->ended = 1.0 + decayed(service->ended, now - service->ended_at);
	service->ended_at = now;
}

/*
 * Averages the requests of this instance: those of a plain service end in some
 * ms, and how many run at one moment says little.
 */
static void
own_observe(struct admission_service *service,
    const struct admission_state *state, clk_ms now)
{
	double weight = exp(-(double)(now - service->own_at) / OWN_MEMORY_MS);

	service->own_average =
	    weight * service->own_average + (1.0 - weight) * service->own_last;
	service->own_last = state->own;
	service->own_at = now;
}

/*
 * Computes the number of requests that this instance may have at the upstreams
 * while they are full: its part of the requests that run now, of all places.
 * The sum over the instances is the number of places, whatever their parts
 * are.  A pull towards equal parts gives places to one that has none.
 */
static void
limit_update(struct admission *admission, struct admission_service *service,
    const struct admission_state *state, clk_ms now)
{
	double equal = 1.0 / MAX(state->instances, 1U);
	/* Some leave a part of their places to the others. */
	double unused = state->running > 0
	    ? CLAMP(state->places / state->running, 1.0, UNUSED_MAX)
	    : 1.0;
	double part = state->running > 0
	    ? fmin(service->own_average / state->running, 1.0)
	    : equal;

	if (service->limit_at > 0 && now - service->limit_at < LIMIT_PERIOD_MS)
		return;
	service->limit = unused * state->places *
	    ((1.0 - LIMIT_PULL) * part + LIMIT_PULL * equal);
	service->dither = g_rand_double(admission->rand);
	service->limit_at = now;
}

/* Whether there is a place in this part of the places. */
static bool
has_place(struct admission *admission, struct admission_service *service,
    const struct admission_state *state, double part, bool is_waited_for,
    clk_ms now)
{
	if (!is_waited_for && state->running < part * state->places)
		return (true);
	limit_update(admission, service, state, now);
	return (state->own + service->dither < part * service->limit);
}

/* Whether the program can't end in time any more. */
static bool
is_late(const struct admission_request *request, clk_ms now)
{
	return (request->program_deadline > 0 &&
	    now + request->expected > request->program_deadline);
}

static double
places_part(const struct admission_request *request, clk_ms now)
{
	switch (request->kind) {
	case ADMISSION_PLAIN:
		return (PLAIN_PART);
	case ADMISSION_TURN:
		return (is_late(request, now) ? LATE_PART : TURN_PART);
	case ADMISSION_NEW_PROGRAM:
		break;
	}
	return (NEW_PART);
}

/* The time that the request has left, of its program's if that is less. */
static clk_ms
time_left(const struct admission_request *request, clk_ms now)
{
	clk_ms left = request->deadline - now;

	if (request->program_deadline > now)
		left = MIN(left, request->program_deadline - now);
	return (MAX(left, 0));
}

static clk_ms
wait_max(const struct admission_request *request, clk_ms now)
{
	if (request->kind == ADMISSION_NEW_PROGRAM)
		return (MIN(NEW_WAIT_MAX_MS,
		    (clk_ms)(NEW_WAIT_PART * (double)time_left(request, now))));
	return (MIN(WAIT_MAX_MS,
	    (clk_ms)(WAIT_PART * (double)MAX(request->deadline - now, 0))));
}

/* What a request is compared by; the lower one goes first. */
struct rank {
	clk_ms class;
	clk_ms deadline;
	double received;
	uint64_t serial;
};

static clk_ms
request_class(const struct admission_request *request, clk_ms now)
{
	switch (request->kind) {
	case ADMISSION_PLAIN:
		return (CLAMP(request->priority, CLASS_ON_TIME, CLASS_NEW));
	case ADMISSION_TURN:
		return (is_late(request, now) ? CLASS_LATE : CLASS_ON_TIME);
	case ADMISSION_NEW_PROGRAM:
		break;
	}
	return (CLASS_NEW);
}

static struct rank
rank_of(const struct admission_service *service,
    const struct admission_request *request, clk_ms since, uint64_t serial,
    clk_ms now)
{
	clk_ms deadline = request->program_deadline > 0
	    ? request->program_deadline
	    : request->deadline;
	struct rank rank = {
	    .class = request_class(request, now),
	    .received = received(service, request->organisation, now),
	    .serial = serial,
	};

	rank.class = MAX(rank.class - (now - since) / AGING_MS, CLASS_ON_TIME);
	if (request->kind != ADMISSION_NEW_PROGRAM)
		rank.deadline =
		    MIN(deadline, since + DEADLINE_MAX_MS) / DEADLINE_STEP_MS;
	else
		rank.serial = UINT64_MAX - serial;
	return (rank);
}

static struct rank
ticket_rank(const struct admission_ticket *ticket, clk_ms now)
{
	return (rank_of(ticket->service, &ticket->request, ticket->since,
	    ticket->serial, now));
}

static bool
is_before(const struct rank *a, const struct rank *b)
{
	if (a->class != b->class)
		return (a->class < b->class);
	if (a->deadline != b->deadline)
		return (a->deadline < b->deadline);
	if (a->received < b->received || a->received > b->received)
		return (a->received < b->received);
	return (a->serial < b->serial);
}

/* Requests that would go before this one. */
static unsigned
ahead_count(const struct admission_service *service,
    const struct admission_request *request, clk_ms now)
{
	struct rank own = rank_of(service, request, now, UINT64_MAX, now);
	unsigned n = 0;

	for (const GList *l = service->waiting.head; l != NULL; l = l->next) {
		struct rank other = ticket_rank(l->data, now);

		n += is_before(&other, &own);
	}
	return (n);
}

/* Expected wait of a request that joins the queue; 0: not known. */
static clk_ms
wait_expected(const struct admission_service *service,
    const struct admission_request *request, clk_ms now)
{
	double rate = ended_per_ms(service, now);
	unsigned ahead;

	if (rate <= 0)
		return (0);
	ahead = ahead_count(service, request, now);
	return ((clk_ms)((ahead + 1U) / rate));
}

/*
 * A new program has found no room.  It is told to come when the overload is
 * likely to be over: it is expected to last as long again as it has lasted.  A
 * program that began later than its objective allows would take the places of
 * those that can still be on time.
 */
static clk_ms
room_wait(const struct admission_service *service, clk_ms now)
{
	return (CLAMP(now - service->refused_since, RETRY_NEW_MIN_MS,
	    RETRY_NEW_MAX_MS / 2));
}

clk_ms
admission_retry_after(struct admission *admission,
    const struct admission_request *request, clk_ms now)
{
	struct admission_service *service =
	    service_get(admission, request->service, now);
	double spread = g_rand_double_range(admission->rand, 1.0, 2.0);
	double rate = ended_per_ms(service, now);
	double most = RETRY_PART * (double)time_left(request, now);
	double wait =
	    rate > 0 ? (service->waiting.length + 1U) / rate : RETRY_MIN_MS;

	if (request->kind == ADMISSION_NEW_PROGRAM)
		return ((clk_ms)(spread * (double)room_wait(service, now)));
	wait = CLAMP(wait, RETRY_MIN_MS, RETRY_MAX_MS / 2.0) * spread;
	return ((clk_ms)fmax(RETRY_MIN_MS, fmin(wait, most)));
}

static void
refused_record(struct admission_service *service,
    const struct admission_request *request, clk_ms now)
{
	if (request->kind != ADMISSION_NEW_PROGRAM)
		return;
	if (service->refused_at == 0 ||
	    now - service->refused_at >= OVERLOAD_GAP_MS)
		service->refused_since = now;
	service->refused_at = now;
}

static struct admission_verdict
refuse(struct admission *admission, const struct admission_request *request,
    enum admission_reason reason, clk_ms now)
{
	refused_record(
	    service_get(admission, request->service, now), request, now);
	return ((struct admission_verdict){ADMISSION_REFUSE, reason,
	    admission_retry_after(admission, request, now)});
}

struct admission_verdict
admission_decide(struct admission *admission,
    const struct admission_state *state,
    const struct admission_request *request, clk_ms now)
{
	struct admission_service *service =
	    service_get(admission, request->service, now);
	bool is_new = request->kind == ADMISSION_NEW_PROGRAM;
	unsigned before =
	    service->waiting.length - (is_new ? 0 : service->new_programs);
	clk_ms wait, most;

	own_observe(service, state, now);
	if (state->places <= 0 ||
	    has_place(admission, service, state, places_part(request, now),
		before > 0, now))
		return ((struct admission_verdict){.answer = ADMISSION_SEND});
	most = wait_max(request, now);
	wait = wait_expected(service, request, now);
	if (wait + request->expected > request->deadline - now)
		return (refuse(admission, request, ADMISSION_NO_TIME, now));
	if (is_new && wait > most)
		return (refuse(admission, request, ADMISSION_NO_ROOM, now));
	return ((struct admission_verdict){.answer = ADMISSION_WAIT});
}

void
admission_sent(struct admission *admission,
    const struct admission_request *request, clk_ms now)
{
	sent_record(service_get(admission, request->service, now),
	    request->organisation, now);
}

static void
ticket_unlink(struct admission *admission, struct admission_ticket *ticket)
{
	struct admission_service *service = ticket->service;

	g_queue_unlink(&service->waiting, &ticket->link);
	if (ticket->request.kind == ADMISSION_NEW_PROGRAM)
		service->new_programs--;
	admission->waiting--;
	admission->bytes -= ticket->request.bytes;
	ticket->service = NULL;
}

void
admission_cancel(struct admission *admission, struct admission_ticket *ticket)
{
	if (ticket->service != NULL)
		ticket_unlink(admission, ticket);
}

/* The request of any service that would go last. */
static struct admission_ticket *
last_ticket(const struct admission *admission, clk_ms now)
{
	struct admission_ticket *last = NULL;
	struct rank last_rank = {0};
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_service *service = value;

		for (GList *l = service->waiting.head; l; l = l->next) {
			struct rank rank = ticket_rank(l->data, now);

			if (last == NULL || is_before(&last_rank, &rank)) {
				last = l->data;
				last_rank = rank;
			}
		}
	}
	return (last);
}

struct admission_ticket *
admission_wait(struct admission *admission, struct admission_ticket *ticket,
    const struct admission_request *request, clk_ms now)
{
	struct admission_service *service =
	    service_get(admission, request->service, now);
	struct admission_ticket *last;

	ticket->request = *request;
	ticket->request.service = service->name;
	ticket->service = service;
	ticket->since = now;
	ticket->until = now + wait_max(request, now);
	ticket->serial = ++admission->serial;
	ticket->link.data = ticket;
	g_queue_push_tail_link(&service->waiting, &ticket->link);
	if (request->kind == ADMISSION_NEW_PROGRAM)
		service->new_programs++;
	admission->waiting++;
	admission->bytes += request->bytes;
	if (admission->waiting <= WAITING_MAX &&
	    admission->bytes <= WAITING_BYTES_MAX)
		return (NULL);
	last = last_ticket(admission, now);
	refused_record(last->service, &last->request, now);
	ticket_unlink(admission, last);
	return (last);
}

static struct admission_ticket *
first_ticket(struct admission_service *service, clk_ms now)
{
	struct admission_ticket *first = NULL;
	struct rank first_rank = {0};

	for (GList *l = service->waiting.head; l != NULL; l = l->next) {
		struct rank rank = ticket_rank(l->data, now);

		if (first == NULL || is_before(&rank, &first_rank)) {
			first = l->data;
			first_rank = rank;
		}
	}
	return (first);
}

struct admission_ticket *
admission_next(struct admission *admission, const struct admission_state *state,
    const char *name, clk_ms now)
{
	struct admission_service *service = service_get(admission, name, now);
	struct admission_ticket *first = first_ticket(service, now);
	bool is_due;

	if (first == NULL)
		return (NULL);
	own_observe(service, state, now);
	is_due = state->places <= 0 ||
	    (state->own <= 0 && first->request.kind != ADMISSION_NEW_PROGRAM &&
		now - first->since >= ALONE_WAIT_MS);
	if (!is_due &&
	    !has_place(admission, service, state,
		places_part(&first->request, now), true, now))
		return (NULL);
	ticket_unlink(admission, first);
	sent_record(service, first->request.organisation, now);
	return (first);
}

struct admission_ticket *
admission_expired(struct admission *admission, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_service *service = value;

		for (GList *l = service->waiting.head; l; l = l->next) {
			struct admission_ticket *ticket = l->data;

			if (now < ticket->until)
				continue;
			refused_record(service, &ticket->request, now);
			ticket_unlink(admission, ticket);
			return (ticket);
		}
	}
	return (NULL);
}

const struct admission_ticket *
admission_first(const struct admission *admission, const char *name)
{
	const struct admission_service *service =
	    g_hash_table_lookup(admission->services, name);

	return (service != NULL ? g_queue_peek_head((GQueue *)&service->waiting)
				: NULL);
}

unsigned
admission_waiting(const struct admission *admission)
{
	return (admission->waiting);
}

size_t
admission_bytes(const struct admission *admission)
{
	return (admission->bytes);
}

GPtrArray *
admission_services(const struct admission *admission)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_service *service = value;

		if (service->waiting.length > 0)
			g_ptr_array_add(names, service->name);
	}
	return (names);
}

static gboolean
organisation_is_idle(void *key, void *value, void *arg)
{
	const struct organisation *organisation = value;
	const clk_ms *now = arg;

	(void)key;
	return (*now - organisation->updated > (clk_ms)(10 * MEMORY_MS));
}

void
admission_expire(struct admission *admission, clk_ms now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_service *service = value;

		(void)g_hash_table_foreach_remove(
		    service->organisations, organisation_is_idle, &now);
		if (service->waiting.length == 0 &&
		    now - service->used > IDLE_SERVICE_MS)
			g_hash_table_iter_remove(&iter);
	}
}

const char *
admission_reason_name(enum admission_reason reason)
{
	switch (reason) {
	case ADMISSION_NO_ROOM:
		return ("no_room");
	case ADMISSION_NO_TIME:
		return ("no_time");
	case ADMISSION_TIMED_OUT:
		return ("timed_out");
	}
	return ("unknown");
}
