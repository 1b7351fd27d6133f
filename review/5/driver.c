/*
 * Turns on a stateful route whose input is larger than a record of the store,
 * and smaller than the largest body of the configuration.  Each one is sent on
 * a connection that has served a turn before.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define INSTANCES 3
#define TURNS	  12
/* Less than max_body_bytes, 4194304; a record takes 262144. */
#define LARGE_BYTES 300000
/* Mean of the site file. */
#define USUAL_BYTES 17000
#define CLOSED_MAX  3

static unsigned worker_runs;

static void
on_run(void *arg, const struct srun *run)
{
	worker_runs++;
	fleet_note(arg, "run=%s bytes=%zu", run->id, run->body_len);
}

/* Returns whether the turn was answered whole. */
static bool
turn(struct fleet *fleet, unsigned n, const char *kind, size_t bytes)
{
	const struct sockaddr_in to = fleet_address(n % INSTANCES);
	g_autofree char *id =
	    g_strdup_printf("%08x%08x", 0x7u + n, g_random_int());
	g_autofree char *body = g_strnfill(bytes, 'x');
	g_autofree char *fields = g_strdup_printf(
	    "X-Request-Id: %s\r\nX-Program-Id: p%s%u\r\n"
	    "X-Session-Id: s%u\r\nX-Token-Usage: %zu,60\r\n"
	    "X-Token-Budget: 6000\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Program-Deadline-Ms: 60000\r\n",
	    id, kind, n, n, bytes);
	unsigned before = worker_runs;
	struct sanswer *answer;
	clk_ms sent = fleet_now(fleet);
	bool whole;

	fleet_note(fleet, "turn %s request=%s instance=%u bytes=%zu", kind, id,
	    n % INSTANCES, bytes);
	answer = sclient_ask(
	    fleet->client, &to, "POST", "/chat/1", fields, body);
	for (int k = 0; k < 2000 && !answer->ended; k++)
		fleet_run(fleet, 4);
	if (!answer->ended)
		fleet_unable(fleet, "a turn has no end");
	whole = answer->end == HCP_COMPLETE && answer->status == 200;
	fleet_note(fleet,
	    "end request=%s status=%d whole=%d took=%.3f runs=%u", id,
	    answer->status, whole,
	    (double)(fleet_now(fleet) - sent) / (double)CLK_SECOND,
	    worker_runs - before);
	/* A refusal would be an answer. */
	if (answer->end == HCP_COMPLETE && answer->status != 200)
		whole = true;
	sanswer_free(answer);
	return (whole);
}

int
main(void)
{
	struct fleet fleet;
	struct sworker *engine, *plain;
	size_t bytes;
	unsigned closed = 0;

	fleet_open(&fleet, INSTANCES);
	bytes = fleet.has_trouble ? LARGE_BYTES : USUAL_BYTES;
	engine = sworker_open(fleet.loop, "i-engine");
	plain = sworker_open(fleet.loop, "i-plain");
	sworker_on_run_set(engine, on_run, &fleet);
	sworker_register(engine, fleet.store, "pool", "ready");
	sworker_register(plain, fleet.store, "orders", "ready");
	sstore_configure(fleet.store, 1, "\"k1\"");
	fleet_start(&fleet);
	fleet_run(&fleet, 1500);
	for (unsigned n = 0; n < TURNS; n++) {
		if (!turn(&fleet, n, "first", USUAL_BYTES))
			fleet_unable(&fleet, "a usual turn is not answered");
		closed += !turn(&fleet, n, "second", bytes);
	}
	fleet_note(&fleet, "turns=%u bytes=%zu closed_without_end=%u", TURNS,
	    bytes, closed);
	printf("turns of %zu bytes that a worker ran and whose connection was "
	       "closed without the end: %u of %u\n",
	    bytes, closed, TURNS);
	fleet_close(&fleet);
	return (closed > CLOSED_MAX ? 1 : 0);
}
