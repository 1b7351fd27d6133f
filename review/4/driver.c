/*
 * Programs pause longer than the time after which their instance gives the
 * unused part of a grant back.  Answers of the store are lost meanwhile, and
 * some writes are done late.  The instance is then stopped as planned, and the
 * programs go on at another one until their budget is said to be spent.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define INSTANCES 3
#define PROGRAMS  40
#define BUDGET	  600
#define TURN_MAX  60 /* the most that a turn generates */
#define EVENT_TOKENS 10
#define SPACING_MS 10 /* from one program's turn to the next one's */
/* From a program's first turn to its second one. */
#define PAUSE_LEAST_MS 4000
#define PAUSE_MOST_MS  4600
/* platform_lost, x = 0.35, how = "late" (1 to 6 s), for_s = 4.5. */
#define LOST_PERCENT 35
#define LOST_FOR_MS  2500
#define LATE_MS	     2000
#define TURNS_MAX    20 /* of a program that is told to stop */

struct program {
	unsigned turns;
	unsigned tokens;
	unsigned instance;
	struct sanswer *answer;
	clk_ms next; /* when its next turn is due */
	bool is_stopped; /* 402 */
	unsigned more; /* turns to run at its first instance */
	char id[24];
};

static struct program programs[PROGRAMS];
static bool is_losing;
static unsigned writes, lost_writes;

static clk_ms
lateness(const char *topic, int part)
{
	(void)topic;
	(void)part;
	if (!is_losing)
		return (0);
	writes++;
	/* Never more than the share of the writes so far. */
	if ((lost_writes + 1) * 100 > writes * LOST_PERCENT)
		return (0);
	lost_writes++;
	return (LATE_MS);
}

static unsigned
events_of(const char *body)
{
	unsigned events = 0;

	while ((body = strstr(body, "\n\n")) != NULL) {
		events++;
		body += 2;
	}
	return (events);
}

static void
turn_send(struct fleet *fleet, unsigned n)
{
	struct program *program = &programs[n];
	const struct sockaddr_in to = fleet_address(program->instance);
	g_autofree char *fields = NULL;

	(void)g_snprintf(program->id, sizeof(program->id), "%04x%04x%08x", n,
	    program->turns++, g_random_int());
	fields = g_strdup_printf("X-Request-Id: %s\r\nX-Program-Id: p%u\r\n"
	    "X-Session-Id: s%u\r\nX-Token-Usage: 100,%d\r\n"
	    "X-Token-Budget: %d\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Program-Deadline-Ms: 60000\r\n",
	    program->id, n, n, TURN_MAX, BUDGET);
	program->answer = sclient_ask(
	    fleet->client, &to, "POST", "/plan/1", fields, "in|");
}

/* Takes the answer, if it has ended; returns whether it has. */
static bool
turn_take(struct fleet *fleet, unsigned n)
{
	struct program *program = &programs[n];
	struct sanswer *answer = program->answer;

	if (!answer->ended)
		return (false);
	if (answer->status == 200)
		program->tokens +=
		    events_of(answer->body->str) * EVENT_TOKENS;
	program->is_stopped = answer->status == 402;
	fleet_note(fleet,
	    "program=%u request=%s instance=%u status=%d tokens=%u", n,
	    program->id, program->instance, answer->status, program->tokens);
	sanswer_free(answer);
	program->answer = NULL;
	return (true);
}

static void
turns_finish(struct fleet *fleet)
{
	for (unsigned n = 0; n < PROGRAMS; n++) {
		for (int k = 0; programs[n].answer != NULL && k < 1500; k++)
			if (!turn_take(fleet, n))
				fleet_run(fleet, 4);
		if (programs[n].answer != NULL)
			fleet_unable(fleet, "a turn has no end");
	}
}

int
main(void)
{
	struct fleet fleet;
	struct sworker *engine, *plain;
	unsigned over = 0, served = 0;
	clk_ms until;
	GPid pid;

	fleet_open(&fleet, INSTANCES);
	engine = sworker_open(fleet.loop, "i-engine");
	plain = sworker_open(fleet.loop, "i-plain");
	sworker_register(engine, fleet.store, "pool", "ready");
	sworker_register(plain, fleet.store, "orders", "ready");
	sstore_configure(fleet.store, 1, "\"k1\"");
	fleet.lateness = lateness;
	fleet_start(&fleet);
	fleet_run(&fleet, 1500);

	/* The first turn of each ends after one event. */
	sworker_events_set(engine, 1);
	for (unsigned n = 0; n < PROGRAMS; n++) {
		turn_send(&fleet, n);
		programs[n].next = fleet_now(&fleet) +
		    g_random_int_range(PAUSE_LEAST_MS, PAUSE_MOST_MS);
		programs[n].more = 2;
		fleet_run(&fleet, SPACING_MS);
	}
	turns_finish(&fleet);
	sworker_events_set(engine, TURN_MAX / EVENT_TOKENS);
	until = programs[0].next - 500;
	fleet_run(&fleet, until - fleet_now(&fleet));
	is_losing = fleet.has_trouble;
	fleet_note(&fleet, "the store loses %d in 100 answers to writes: %d",
	    LOST_PERCENT, is_losing);
	until = fleet_now(&fleet) + LOST_FOR_MS;
	while (fleet_now(&fleet) < until) {
		for (unsigned n = 0; n < PROGRAMS; n++) {
			struct program *program = &programs[n];

			if (program->answer != NULL) {
				if (turn_take(&fleet, n))
					program->next = fleet_now(&fleet) + 20;
			} else if (program->more > 0 &&
			    fleet_now(&fleet) >= program->next) {
				program->more--;
				turn_send(&fleet, n);
			}
		}
		fleet_run(&fleet, 2);
	}
	is_losing = false;
	fleet_note(&fleet, "the store loses no answers");
	turns_finish(&fleet);
	fleet_run(&fleet, LATE_MS + 200);

	pid = fleet.instances[0].pid;
	if (pid == 0)
		fleet_unable(&fleet, "the instance has ended");
	fleet_note(&fleet, "SIGTERM instance=0");
	fleet.instances[0].is_ending = true;
	(void)kill(pid, SIGTERM);
	while (fleet.instances[0].pid == pid)
		fleet_run(&fleet, 20);
	fleet_run(&fleet, 2500);
	fleet_note(&fleet, "the programs go on at another instance");
	for (int k = 0; k < TURNS_MAX; k++) {
		for (unsigned n = 0; n < PROGRAMS; n++) {
			programs[n].instance = 1;
			if (!programs[n].is_stopped)
				turn_send(&fleet, n);
			fleet_run(&fleet, 4);
		}
		turns_finish(&fleet);
	}
	for (unsigned n = 0; n < PROGRAMS; n++) {
		over += programs[n].tokens > BUDGET + TURN_MAX;
		served += programs[n].tokens > 0;
		fleet_note(&fleet, "program=%u tokens=%u budget=%d turn_max=%d",
		    n, programs[n].tokens, BUDGET, TURN_MAX);
	}
	fleet_note(&fleet, "writes=%u lost=%u over=%u", writes, lost_writes,
	    over);
	printf("programs with more tokens than the budget and one turn: %u of "
	       "%d; %u of %u writes were not answered\n",
	    over, PROGRAMS, lost_writes, writes);
	fleet_close(&fleet);
	if (served < PROGRAMS)
		return (2);
	return (over > 0 ? 1 : 0);
}
