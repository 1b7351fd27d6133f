/*
 * Callers of chat programs answer the agent with the same few words.  For some
 * seconds a part of the engines runs requests and loses some of the answers.
 * Afterwards, in calm, do the turns with these words still reach an engine?
 */
#include <stdlib.h>
#include <string.h>

#include "review/rig-3/rig.h"

#define INSTANCES 3
#define ENGINES	  6
/* Share of the engines 0.5, 1 in 20 answers, 4 s: a trouble of the sheet. */
#define LOSING	   3
#define LOSE_EACH  20
#define LOSING_MS  4000
#define LOSE_FROM  3000
#define STABLE_MS  3000
#define WATCH_MS   14000
#define SLOTS	   64
#define EVENTS	   7
#define PAUSE_MS   50
#define PROGRAM_MS 20 /* between the starts of two programs */
#define TURNS	   8
#define THINK_MS   20
#define TURN_MS	   ((EVENTS - 1) * PAUSE_MS)
/* 2 x the time on idle workers, with 26 ms a turn for the way, + 200 ms. */
#define AIM_MS	   (2 * TURNS * (TURN_MS + THINK_MS + 26) + 200)
#define TIMEOUT_MS 5000
#define RETRIES	   1 /* of a client's request */
#define SENDS	   3 /* of a turn */

struct turn {
	unsigned tries;
	bool has_run;
	bool is_refused; /* all tries were refused: 503 */
};

struct program {
	unsigned number;
	unsigned turn; /* from 1 */
	char *previous; /* id of the last whole turn; nil: none */
	char *input;
	clk_ms begun;
	clk_ms next; /* when to send */
	clk_ms deadline; /* of the client's request */
	unsigned sends, retries;
	struct turn now;
	struct sanswer *answer;
	char *id; /* of the try */
};

struct state {
	struct rig rig;
	struct sworker *engines[ENGINES];
	unsigned seen[ENGINES]; /* requests while it loses answers */
	unsigned lost[ENGINES];
	GHashTable *ran; /* ids */
	GPtrArray *programs;
	unsigned ids, started;
	unsigned first_turns, first_ran, later_turns, later_ran, broken;
	unsigned most_running;
};

struct engine_arg {
	struct state *state;
	unsigned i;
};

static clk_ms
calm_from(void)
{
	return (LOSE_FROM + LOSING_MS + STABLE_MS);
}

static void
on_run(void *data, const struct srun *run)
{
	struct engine_arg *arg = data;
	struct state *s = arg->state;
	clk_ms now = rig_now(&s->rig);
	bool loses = s->rig.has_trouble && arg->i < LOSING &&
	    now >= LOSE_FROM && now < LOSE_FROM + LOSING_MS &&
	    ++s->seen[arg->i] % LOSE_EACH == 0;

	(void)g_hash_table_add(s->ran, g_strdup(run->id));
	sworker_mode_set(
	    s->engines[arg->i], loses ? SWORKER_CLOSES : SWORKER_SLOW);
	s->lost[arg->i] += loses;
	rig_say(&s->rig, "run %s at engine-%u%s", run->id, arg->i + 1,
	    loses ? ", the answer is lost" : "");
}

static char *
input_draw(const struct program *program)
{
	int draw = rand() % 10;

	if (program->turn > 1 && draw < 8)
		return (g_strdup("yes"));
	if (program->turn > 1 && draw < 9)
		return (g_strdup("no"));
	return (g_strdup_printf(
	    "question %u of buyer %u", program->turn, program->number));
}

static void
turn_begin(struct state *s, struct program *program, clk_ms now)
{
	(void)s;
	program->turn++;
	g_free(program->input);
	program->input = input_draw(program);
	program->sends = 0;
	program->retries = 0;
	program->now = (struct turn){.is_refused = true};
	program->next = now;
}

static void
program_add(struct state *s, clk_ms now)
{
	struct program *program = g_new0(struct program, 1);

	program->number = ++s->started;
	program->begun = now;
	g_ptr_array_add(s->programs, program);
	turn_begin(s, program, now);
}

static void
send_try(struct state *s, struct program *program, clk_ms now)
{
	unsigned to = (unsigned)rand() % INSTANCES;
	const struct sockaddr_in address = rig_front(&s->rig, to);
	g_autofree char *previous = program->previous != NULL
	    ? g_strdup_printf("X-Previous-Turn: %s\r\n", program->previous)
	    : g_strdup("");
	g_autofree char *fields = NULL;

	if (program->retries == 0) {
		program->sends++;
		program->deadline = now + TIMEOUT_MS;
	}
	program->now.tries++;
	g_free(program->id);
	program->id = g_strdup_printf("%016x", ++s->ids);
	fields = g_strdup_printf(
	    "X-Request-Id: %s\r\nX-Token-Usage: 100,70\r\n"
	    "X-Token-Budget: 1200\r\nX-Program-Id: p%u\r\n"
	    "X-Session-Id: s%u\r\nX-Program-Deadline-Ms: %d\r\n"
	    "X-Timeout-Ms: %d\r\n%s",
	    program->id, program->number, program->number,
	    (int)MAX(program->begun + AIM_MS - now, 1),
	    (int)(program->deadline - now), previous);
	rig_say(&s->rig, "send %s program=%u turn=%u try=%u to=front-%u \"%s\"",
	    program->id, program->number, program->turn, program->now.tries,
	    to + 1, program->input);
	program->answer = sclient_ask(s->rig.client, &address, "POST",
	    "/chat/x", fields, program->input);
}

/* Returns whether the program goes on. */
static bool
turn_end(struct state *s, struct program *program, bool is_whole, clk_ms now)
{
	if (program->begun >= calm_from()) {
		bool is_first = program->turn == 1;

		*(is_first ? &s->first_turns : &s->later_turns) += 1;
		*(is_first ? &s->first_ran : &s->later_ran) +=
		    program->now.has_run;
	}
	if (!is_whole || program->turn == TURNS)
		return (false);
	g_free(program->previous);
	program->previous = g_strdup(program->id);
	turn_begin(s, program, now + THINK_MS);
	return (true);
}

/* The rule: five tries in calm, before the aim, none of which reached one. */
static void
lost_check(struct state *s, const struct program *program, clk_ms now)
{
	if (program->begun < calm_from() || program->turn == 1 ||
	    program->now.has_run || !program->now.is_refused ||
	    program->now.tries != 5 || now >= program->begun + AIM_MS)
		return;
	s->broken++;
	rig_say(&s->rig,
	    "LOST program=%u turn=%u \"%s\" after %s, %u tries in %d ms",
	    program->number, program->turn, program->input, program->previous,
	    program->now.tries, (int)(now - program->begun));
}

/* Returns whether the program goes on. */
static bool
on_answer(struct state *s, struct program *program, clk_ms now)
{
	struct sanswer *answer = program->answer;
	bool is_whole = answer->end == HCP_COMPLETE && answer->status == 200;
	bool is_promise = answer->end == HCP_COMPLETE &&
	    (answer->status == 503 || answer->status == 429);
	double after = answer->retry_after != NULL
	    ? g_ascii_strtod(answer->retry_after, NULL)
	    : 0;
	clk_ms left = program->deadline - now;
	int status = answer->status;

	program->now.has_run |= g_hash_table_contains(s->ran, program->id);
	program->now.is_refused &= answer->status == 503;
	rig_say(&s->rig, "answer %s status=%d end=%d retry_after=%s",
	    program->id, answer->status, answer->end,
	    answer->retry_after != NULL ? answer->retry_after : "-");
	sanswer_free(answer);
	program->answer = NULL;
	if (is_whole)
		return (turn_end(s, program, true, now));
	lost_check(s, program, now);
	if (status == 402 || status == 404 || status == 401)
		return (turn_end(s, program, false, now));
	if (is_promise && program->retries < RETRIES) {
		program->retries++;
		program->next =
		    now + MIN((clk_ms)(after * CLK_SECOND), left / 3);
		return (true);
	}
	program->retries = 0;
	program->next = now + 100 + rand() % 300;
	return (program->sends < SENDS || turn_end(s, program, false, now));
}

static void
program_free(void *data)
{
	struct program *program = data;

	g_free(program->previous);
	g_free(program->input);
	g_free(program->id);
	g_free(program);
}

static void
programs_tick(struct state *s, clk_ms now)
{
	unsigned running = 0;

	for (guint i = 0; i < s->programs->len; i++) {
		struct program *program = s->programs->pdata[i];

		if (program->answer != NULL) {
			running++;
			if (!program->answer->ended ||
			    on_answer(s, program, now))
				continue;
			(void)g_ptr_array_remove_index_fast(s->programs, i--);
		} else if (now >= program->next) {
			send_try(s, program, now);
		}
	}
	s->most_running = MAX(s->most_running, running);
}

int
main(void)
{
	struct state s = {0};
	struct engine_arg args[ENGINES];
	clk_ms end = calm_from() + WATCH_MS;
	clk_ms next = 0;

	srand(50);
	rig_open(&s.rig, INSTANCES);
	s.ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s.programs = g_ptr_array_new_with_free_func(program_free);
	sstore_configure(s.rig.store, 1, "\"k1\"");
	for (unsigned i = 0; i < ENGINES; i++) {
		g_autofree char *id = g_strdup_printf("engine-%u", i + 1);

		args[i] = (struct engine_arg){&s, i};
		s.engines[i] = sworker_open(s.rig.loop, id);
		sworker_mode_set(s.engines[i], SWORKER_SLOW);
		sworker_pause_set(s.engines[i], PAUSE_MS);
		sworker_events_set(s.engines[i], EVENTS);
		sworker_slots_set(s.engines[i], SLOTS);
		sworker_on_run_set(s.engines[i], on_run, &args[i]);
		sworker_register(s.engines[i], s.rig.store, "pool", "ready");
	}
	for (unsigned i = 0; i < INSTANCES; i++)
		rig_start(&s.rig, i);
	if (!rig_wait_ready(&s.rig)) {
		rig_say(&s.rig, "not ready");
		rig_close(&s.rig);
		return (RIG_NOT_RUN);
	}
	s.rig.begun = clk_now(&s.rig.clk);
	while (rig_now(&s.rig) < end) {
		clk_ms now = rig_now(&s.rig);

		/* Those that begin last have time to end. */
		if (now >= next && now < end - AIM_MS) {
			program_add(&s, now);
			next += PROGRAM_MS;
		}
		programs_tick(&s, now);
		sstandin_run(s.rig.loop, 1);
	}
	for (unsigned i = 0; i < ENGINES; i++)
		rig_say(&s.rig, "engine-%u lost %u answers", i + 1, s.lost[i]);
	rig_say(&s.rig,
	    "in calm: first turns %u, at an engine %u; later turns %u, at an "
	    "engine %u; refused in five tries %u; most requests at once %u of "
	    "%d places",
	    s.first_turns, s.first_ran, s.later_turns, s.later_ran, s.broken,
	    s.most_running, ENGINES * SLOTS);
	printf("in calm: first turns %u, ran %u; later turns %u, ran %u; "
	       "refused in five tries %u; most at once %u of %d\n",
	    s.first_turns, s.first_ran, s.later_turns, s.later_ran, s.broken,
	    s.most_running, ENGINES * SLOTS);
	rig_close(&s.rig);
	if (s.first_turns < 20 || 10 * s.first_ran < 9 * s.first_turns ||
	    2 * s.most_running >= ENGINES * SLOTS)
		return (RIG_NOT_RUN);
	return (s.broken > 0 ? RIG_BROKEN : RIG_HELD);
}
