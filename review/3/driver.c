/*
 * A public stateful route beside one with keys.  Callers without a key name a
 * turn of an organisation as the one that they continue from.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define INSTANCES 3
#define TURNS	  6
#define SECRET	  "order book of t1"

static char last_id[24];
static GString *last_body;
static bool last_has_tenant;

static void
on_run(void *arg, const struct srun *run)
{
	(void)g_strlcpy(last_id, run->id, sizeof(last_id));
	(void)g_string_truncate(last_body, 0);
	(void)g_string_append_len(
	    last_body, run->body, (gssize)run->body_len);
	last_has_tenant = run->organisation != NULL;
	fleet_note(arg, "run=%s tenant=%s body=%s", run->id,
	    run->organisation != NULL ? run->organisation : "-",
	    g_strescape(last_body->str, NULL));
}

/* Returns the status of a turn; its id goes to id. */
static int
turn(struct fleet *fleet, unsigned n, const char *path, bool has_key,
    const char *previous, const char *input, char id[24])
{
	const struct sockaddr_in to = fleet_address(n % INSTANCES);
	g_autofree char *from = previous != NULL
	    ? g_strdup_printf("X-Previous-Turn: %s\r\n", previous)
	    : g_strdup("");
	g_autofree char *fields = NULL;
	struct sanswer *answer;
	int status;

	(void)g_snprintf(id, 24, "%08x%08x", g_random_int(), g_random_int());
	fields = g_strdup_printf("X-Request-Id: %s\r\nX-Program-Id: p%s\r\n"
	    "X-Session-Id: s%u\r\nX-Token-Usage: 100,60\r\n"
	    "X-Token-Budget: 6000\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Program-Deadline-Ms: 60000\r\n%s",
	    id, id, n, from);
	fleet_note(fleet, "turn request=%s path=%s previous=%s key=%s", id,
	    path, previous != NULL ? previous : "-",
	    has_key ? "t1's" : "none");
	answer = has_key
	    ? sclient_ask(fleet->client, &to, "POST", path, fields, input)
	    : fleet_ask_public(fleet, &to, path, fields, input);
	for (int k = 0; k < 2000 && !answer->ended; k++)
		fleet_run(fleet, 4);
	if (!answer->ended)
		fleet_unable(fleet, "a turn has no end");
	status = answer->end == HCP_COMPLETE ? answer->status : 0;
	fleet_note(fleet, "end request=%s status=%d", id, status);
	sanswer_free(answer);
	return (status);
}

int
main(void)
{
	struct fleet fleet;
	struct sworker *engine, *plain;
	unsigned foreign = 0;

	fleet_open(&fleet, INSTANCES);
	last_body = g_string_new(NULL);
	engine = sworker_open(fleet.loop, "i-engine");
	plain = sworker_open(fleet.loop, "i-plain");
	sworker_on_run_set(engine, on_run, &fleet);
	sworker_register(engine, fleet.store, "pool", "ready");
	sworker_register(plain, fleet.store, "orders", "ready");
	sstore_put(fleet.store, "keyed.op", 0, "config",
	    "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"h\","
	    "\"path_prefix\":\"/chat/\",\"kind\":\"stream\","
	    "\"timeout_ms\":5000,\"target_latency_ms\":200,\"priority\":1,"
	    "\"service\":\"pool\",\"max_attempts\":1,\"stateful\":true,"
	    "\"retention_s\":60,\"public\":false,\"sticky_sessions\":true,"
	    "\"resumable\":false,\"gap_aim_ms\":250},"
	    "{\"name\":\"open\",\"host\":\"h\","
	    "\"path_prefix\":\"/open/\",\"kind\":\"stream\","
	    "\"timeout_ms\":5000,\"target_latency_ms\":200,\"priority\":1,"
	    "\"service\":\"pool\",\"max_attempts\":1,\"stateful\":true,"
	    "\"retention_s\":60,\"public\":true,\"sticky_sessions\":true,"
	    "\"resumable\":false,\"gap_aim_ms\":250}],"
	    "\"services\":[{\"name\":\"pool\",\"max_connections\":360,"
	    "\"engine\":{\"slots\":64,\"tokens_per_event\":10}},"
	    "{\"name\":\"orders\",\"max_connections\":96}],"
	    "\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"],"
	    "\"priority\":1,\"rate_per_s\":1000,\"burst\":1000}]}");
	fleet_start(&fleet);
	fleet_run(&fleet, 1500);
	for (unsigned n = 0; n < TURNS; n++) {
		char secret[24], own[24], next[24];
		int status;

		if (turn(&fleet, n, "/chat/1", true, NULL,
			SECRET "|", secret) != 200 ||
		    turn(&fleet, n + 1, "/open/1", false, NULL,
			"hello|", own) != 200)
			fleet_unable(&fleet, "a first turn is not served");
		status = turn(&fleet, n + 2, "/open/1", false,
		    fleet.has_trouble ? secret : own, "go on|", next);
		if (strcmp(last_id, next) == 0 &&
		    strstr(last_body->str, SECRET) != NULL) {
			foreign++;
			fleet_note(&fleet,
			    "request=%s ran with a turn of t1, status=%d",
			    next, status);
		} else if (!fleet.has_trouble && status != 200) {
			fleet_unable(&fleet, "a public turn can't go on");
		}
	}
	fleet_note(&fleet, "turns=%d foreign=%u", TURNS, foreign);
	printf("turns of callers without a key that ran with an "
	       "organisation's history: %u of %d\n",
	    foreign, TURNS);
	fleet_close(&fleet);
	return (foreign > 0 ? 1 : 0);
}
