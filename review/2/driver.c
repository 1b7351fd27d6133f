/*
 * Chains of four turns.  The third turn of each ends while the store refuses
 * calls for a moment, so that the rewriting of the first turn's record fails;
 * the third turn itself is recorded and answered whole.  All instances are
 * then stopped and started in turn.  The fourth turns come less than the
 * retention after the third ones.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define INSTANCES    3
#define CHAINS	     48
#define RETENTION_S  35
/* Start of each round of turns, after the first one. */
#define SECOND_MS    33000
#define THIRD_MS     66000
#define ROLL_MS	     71000
#define FOURTH_MS    98000
/* From one chain's turn to the next chain's. */
#define SPACING_MS 12
/* platform_down, how = "busy", for_s = 7.0 in the site file. */
#define DOWN_MS	 1300
#define BEGUN_MS 80 /* in which a turn has begun to run */
#define GAP_MS	 1000 /* roll_term, gap_s */
#define TRIES	 6 /* of a fourth turn */
#define TRY_MS	 400 /* between them */
#define LOST_MAX 0

struct chain {
	char *last; /* id of the last turn that was answered whole */
	char *id;
	struct sanswer *answer;
	unsigned tries;
	bool is_owed; /* its third turn was answered whole */
	bool is_served;
};

static struct chain chains[CHAINS];
static bool is_down;
static unsigned broken_off, fourth_runs, first_asked, first_served;
static GHashTable *runs; /* id -> id */

static bool
refuses(const char *path, const char *topic, int part)
{
	(void)path;
	(void)topic;
	(void)part;
	return (is_down);
}

static void
on_run(void *arg, const struct srun *run)
{
	fleet_note(arg, "run=%s bytes=%zu", run->id, run->body_len);
	(void)g_hash_table_add(runs, g_strdup(run->id));
}

static void
turn_send(struct fleet *fleet, struct chain *chain, unsigned n, unsigned round,
    unsigned instance)
{
	const struct sockaddr_in to = fleet_address(instance);
	g_autofree char *previous = chain->last != NULL
	    ? g_strdup_printf("X-Previous-Turn: %s\r\n", chain->last)
	    : g_strdup("");
	g_autofree char *fields = NULL;
	g_autofree char *body =
	    g_strdup_printf("input %u of chain %u|", round, n);

	chain->id = g_strdup_printf(
	    "%04x%u%u%010x", n, round, chain->tries, g_random_int());
	fields = g_strdup_printf("X-Request-Id: %s\r\nX-Program-Id: p%u\r\n"
	    "X-Session-Id: s%u\r\nX-Token-Usage: 100,60\r\n"
	    "X-Token-Budget: 6000\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Program-Deadline-Ms: 60000\r\n%s",
	    chain->id, n, n, previous);
	fleet_note(fleet, "turn=%u chain=%u request=%s previous=%s instance=%u",
	    round, n, chain->id, chain->last != NULL ? chain->last : "-",
	    instance);
	chain->answer = sclient_ask(
	    fleet->client, &to, "POST", "/chat/1", fields, body);
	chain->tries++;
}

/* Returns whether the turn was answered whole. */
static bool
turn_end(struct fleet *fleet, struct chain *chain)
{
	struct sanswer *answer = chain->answer;
	bool whole;

	for (int n = 0; n < 1500 && !answer->ended; n++)
		fleet_run(fleet, 4);
	if (!answer->ended)
		fleet_unable(fleet, "a turn has no end");
	whole = answer->end == HCP_COMPLETE && answer->status == 200;
	fleet_note(fleet, "end request=%s status=%d whole=%d", chain->id,
	    answer->status, whole);
	sanswer_free(answer);
	chain->answer = NULL;
	if (whole) {
		g_free(chain->last);
		chain->last = chain->id;
	}
	return (whole);
}

static void
run_until(struct fleet *fleet, clk_ms begun, clk_ms time)
{
	clk_ms left = begun + time - fleet_now(fleet);

	if (left > 0)
		fleet_run(fleet, left);
}

/* One turn of each chain, all through the first instance. */
static void
round_play(struct fleet *fleet, unsigned round, bool has_outage)
{
	clk_ms begun = fleet_now(fleet);

	for (unsigned n = 0; n < CHAINS; n++) {
		chains[n].tries = 0;
		turn_send(fleet, &chains[n], n, round, 0);
		run_until(fleet, begun, (n + 1) * SPACING_MS);
	}
	if (has_outage) {
		/* The last one has its budget and its upstream. */
		fleet_run(fleet, BEGUN_MS);
		is_down = true;
		fleet_note(fleet, "the store refuses all calls");
		fleet_run(fleet, DOWN_MS);
		is_down = false;
		fleet_note(fleet, "the store serves");
	}
	for (unsigned n = 0; n < CHAINS; n++) {
		chains[n].is_owed = turn_end(fleet, &chains[n]);
		broken_off += !chains[n].is_owed;
	}
}

static void
roll(struct fleet *fleet)
{
	for (unsigned i = 0; i < INSTANCES; i++) {
		GPid pid = fleet->instances[i].pid;

		if (pid == 0)
			fleet_unable(fleet, "an instance has ended");
		fleet_note(fleet, "SIGTERM instance=%u", i);
		fleet->instances[i].is_ending = true;
		(void)kill(pid, SIGTERM);
		while (fleet->instances[i].pid == pid ||
		    fleet->instances[i].pid == 0)
			fleet_run(fleet, 20);
		fleet_run(fleet, GAP_MS);
	}
}

/* A first turn of another program, as a client that knows nothing before. */
static void
first_turn(struct fleet *fleet, unsigned n, unsigned instance)
{
	struct chain chain = {0};

	first_asked++;
	turn_send(fleet, &chain, 900 + n, 1, instance);
	first_served += turn_end(fleet, &chain);
	g_free(chain.id);
}

static void
fourth_round(struct fleet *fleet)
{
	clk_ms begun = fleet_now(fleet);

	for (unsigned n = 0; n < CHAINS; n++)
		chains[n].tries = 0;
	for (unsigned try = 0; try < TRIES; try++) {
		for (unsigned n = 0; n < CHAINS; n++) {
			if (chains[n].is_owed && !chains[n].is_served)
				turn_send(fleet, &chains[n], n, 4,
				    (n + try) % INSTANCES);
		}
		for (unsigned n = 0; n < CHAINS; n++) {
			if (chains[n].answer == NULL)
				continue;
			chains[n].is_served = turn_end(fleet, &chains[n]);
			fourth_runs += chains[n].is_served;
		}
		first_turn(fleet, try, try % INSTANCES);
		run_until(fleet, begun, (try + 1) * TRY_MS);
	}
}

int
main(void)
{
	struct fleet fleet;
	struct sworker *engine, *plain;
	g_autofree char *configuration = NULL;
	unsigned lost = 0;
	clk_ms begun;

	fleet_open(&fleet, INSTANCES);
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	engine = sworker_open(fleet.loop, "i-engine");
	plain = sworker_open(fleet.loop, "i-plain");
	sworker_on_run_set(engine, on_run, &fleet);
	sworker_register(engine, fleet.store, "pool", "ready");
	sworker_register(plain, fleet.store, "orders", "ready");
	configuration = g_strdup_printf(
	    "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"h\","
	    "\"path_prefix\":\"/chat/\",\"kind\":\"stream\","
	    "\"timeout_ms\":5000,\"target_latency_ms\":200,\"priority\":1,"
	    "\"service\":\"pool\",\"max_attempts\":1,\"stateful\":true,"
	    "\"retention_s\":%d,\"public\":false,\"sticky_sessions\":true,"
	    "\"resumable\":false,\"gap_aim_ms\":250}],"
	    "\"services\":[{\"name\":\"pool\",\"max_connections\":360,"
	    "\"engine\":{\"slots\":64,\"tokens_per_event\":10}},"
	    "{\"name\":\"orders\",\"max_connections\":96}],"
	    "\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"],"
	    "\"priority\":1,\"rate_per_s\":1000,\"burst\":1000}]}",
	    RETENTION_S);
	sstore_put(fleet.store, "keyed.op", 0, "config", configuration);
	fleet.refuses = refuses;
	fleet_start(&fleet);
	fleet_run(&fleet, 1500);

	begun = fleet_now(&fleet);
	round_play(&fleet, 1, false);
	if (broken_off > 0)
		fleet_unable(&fleet, "first turns were not answered");
	run_until(&fleet, begun, SECOND_MS);
	round_play(&fleet, 2, false);
	run_until(&fleet, begun, THIRD_MS);
	/* Events come with pauses, so the turns end while the store refuses. */
	sworker_mode_set(engine, SWORKER_SLOW);
	sworker_events_set(engine, 8);
	round_play(&fleet, 3, fleet.has_trouble);
	sworker_mode_set(engine, SWORKER_SERVES);
	sworker_events_set(engine, 3);
	if (broken_off > 0)
		fleet_note(&fleet, "%u turns were broken off", broken_off);
	run_until(&fleet, begun, ROLL_MS);
	roll(&fleet);
	run_until(&fleet, begun, FOURTH_MS);
	fourth_round(&fleet);

	for (unsigned n = 0; n < CHAINS; n++) {
		if (!chains[n].is_owed || chains[n].is_served)
			continue;
		lost++;
		fleet_note(&fleet,
		    "lost chain=%u turn=%s answered whole, named in %u tries",
		    n, chains[n].last, chains[n].tries);
	}
	fleet_note(&fleet, "chains=%u lost=%u first_turns=%u served=%u", CHAINS,
	    lost, first_asked, first_served);
	printf("turns that reach no worker in %d tries: %u of %d; first turns "
	       "served at the same time: %u of %u\n",
	    TRIES, lost, CHAINS, first_served, first_asked);
	fleet_close(&fleet);
	if (broken_off > CHAINS / 4 || first_served < first_asked)
		return (2);
	return (lost > LOST_MAX ? 1 : 0);
}
