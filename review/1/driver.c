/*
 * A pool of two workers is released to a new software version, four times.
 * Each time the store refuses the calls to a part of its partitions while the
 * second worker of the old version drains.  Counts the processes that end by
 * themselves.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define INSTANCES 9
#define FIRST_MS  2500
#define RELEASES  4
/* From the start of a release to that of the next one. */
#define RELEASE_MS 30500
/* release, share = 0.5, x = 1, gap_s = 1.0 */
#define GAP_MS 1000
/* The new worker is ready, the one that it replaces drains so much later. */
#define OVERLAP_MS 500
/* platform_down, how = "busy", share = 0.31, for_s = 4.8 in the site file. */
#define DOWN_MS	     4700
#define DOWN_PERCENT 30
/* The store refuses so long before the second worker drains. */
#define DOWN_BEFORE_MS 20
/* A worker that drains stays for drain_ms, 2 s, and a little longer. */
#define LINGER_MS     3000
#define CALL_EVERY_MS 5
#define OWN_ENDS_MAX  3 /* of a process in the day */

static bool is_down;
static unsigned asked, served, refused, broken;

struct pending {
	struct sanswer *answer;
	char *id;
	unsigned instance;
	clk_ms sent;
};

static bool
refuses(const char *path, const char *topic, int part)
{
	g_autofree char *name = g_strdup_printf("%s/%d", topic, part);

	(void)path;
	/* Those of the operator and of the workers are among the rest. */
	if (!is_down || !g_str_has_prefix(topic, "keyed.") ||
	    strchr(topic, '-') == NULL)
		return (false);
	return (g_str_hash(name) % 100 < DOWN_PERCENT);
}

static struct pending *
call_begin(struct fleet *fleet, unsigned n)
{
	struct pending *pending = g_new0(struct pending, 1);
	g_autofree char *fields = NULL;
	struct sockaddr_in to;

	pending->instance = n % INSTANCES;
	pending->id = g_strdup_printf("%08x%08x", 0x5eed0000u + n, g_random_int());
	pending->sent = fleet_now(fleet);
	to = fleet_address(pending->instance);
	fields = g_strdup_printf("X-Request-Id: %s\r\nX-Program-Id: p%u\r\n"
	    "X-Session-Id: s%u\r\nX-Token-Usage: 100,60\r\n"
	    "X-Token-Budget: 6000\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Program-Deadline-Ms: 60000\r\n",
	    pending->id, n, n);
	pending->answer = sclient_ask(
	    fleet->client, &to, "POST", "/resume/1", fields, "in|");
	asked++;
	return (pending);
}

static void
pending_end(struct fleet *fleet, struct pending *pending)
{
	struct sanswer *answer = pending->answer;
	const char *outcome = "broken";

	if (!answer->ended) {
		outcome = "open";
	} else if (answer->end == HCP_COMPLETE && answer->status == 200) {
		served++;
		outcome = "served";
	} else if (answer->end == HCP_COMPLETE) {
		refused++;
		outcome = "refused";
	} else {
		broken++;
	}
	fleet_note(fleet, "request=%s instance=%u sent=%.3f %s status=%d",
	    pending->id, pending->instance,
	    (double)pending->sent / (double)CLK_SECOND, outcome,
	    answer->status);
	if (answer->ended)
		sanswer_free(answer);
	g_free(pending->id);
	g_free(pending);
}

static void
traffic(struct fleet *fleet, GPtrArray *calls, clk_ms time)
{
	static unsigned n;
	clk_ms until = fleet_now(fleet) + time;

	while (fleet_now(fleet) < until) {
		g_ptr_array_add(calls, call_begin(fleet, n++));
		fleet_run(fleet, CALL_EVERY_MS);
		for (guint i = 0; i < calls->len; i++) {
			struct pending *pending = calls->pdata[i];

			if (!pending->answer->ended)
				continue;
			pending_end(fleet, pending);
			g_ptr_array_remove_index_fast(calls, i--);
		}
	}
}

static void
on_run(void *arg, const struct srun *run)
{
	fleet_note(arg, "run=%s version=%s", run->id, run->version);
}

static struct sworker *
worker_start(struct fleet *fleet, unsigned release, unsigned n)
{
	g_autofree char *id = g_strdup_printf("i-%u-%u", release, n);
	struct sworker *worker = sworker_open(fleet->loop, id);

	sworker_version_set(worker,
	    g_intern_string(g_strdup_printf("v%u", release + 1)));
	sworker_pause_set(worker, 20);
	sworker_on_run_set(worker, on_run, fleet);
	sworker_register(worker, fleet->store, "pool", "ready");
	fleet_note(fleet, "worker=%s is ready", id);
	return (worker);
}

static void
worker_drain(struct fleet *fleet, struct sworker *worker, const char *name)
{
	sworker_leaving_set(worker, true);
	sworker_register(worker, fleet->store, "pool", "draining");
	fleet_note(fleet, "worker=%s is draining", name);
}

/* Replaces both workers of the pool by ones of the next version. */
static void
release(struct fleet *fleet, GPtrArray *calls, struct sworker *pool[2],
    unsigned number)
{
	clk_ms begun = fleet_now(fleet);
	struct sworker *old[2] = {pool[0], pool[1]};

	for (unsigned n = 0; n < 2; n++) {
		g_autofree char *name =
		    g_strdup_printf("i-%u-%u", number - 1, n);

		pool[n] = worker_start(fleet, number, n);
		traffic(fleet, calls, OVERLAP_MS - DOWN_BEFORE_MS);
		if (n == 1) {
			is_down = fleet->has_trouble;
			fleet_note(fleet,
			    "%d in 100 partitions of the store refuse: %d",
			    DOWN_PERCENT, is_down);
		}
		traffic(fleet, calls, DOWN_BEFORE_MS);
		worker_drain(fleet, old[n], name);
		if (n == 0)
			traffic(fleet, calls, GAP_MS - OVERLAP_MS);
	}
	traffic(fleet, calls, LINGER_MS);
	for (unsigned n = 0; n < 2; n++) {
		g_autofree char *name =
		    g_strdup_printf("i-%u-%u", number - 1, n);

		sstore_put(fleet->store, "keyed.servers", 0, name, NULL);
	}
	traffic(fleet, calls, DOWN_MS - DOWN_BEFORE_MS - LINGER_MS);
	is_down = false;
	fleet_note(fleet, "the store serves all partitions");
	if (number < RELEASES)
		traffic(fleet, calls, RELEASE_MS - (fleet_now(fleet) - begun));
}

int
main(void)
{
	struct fleet fleet;
	g_autoptr(GPtrArray) calls = g_ptr_array_new();
	struct sworker *pool[2], *plain;
	unsigned machines = 0;

	fleet_open(&fleet, INSTANCES);
	pool[0] = worker_start(&fleet, 0, 0);
	pool[1] = worker_start(&fleet, 0, 1);
	plain = sworker_open(fleet.loop, "i-plain");
	sworker_register(plain, fleet.store, "orders", "ready");
	sstore_configure(fleet.store, 1, "\"k1\"");
	fleet.refuses = refuses;
	fleet_start(&fleet);
	traffic(&fleet, calls, FIRST_MS);
	for (unsigned number = 1; number <= RELEASES; number++)
		release(&fleet, calls, pool, number);
	for (guint i = 0; i < calls->len; i++)
		pending_end(&fleet, calls->pdata[i]);

	for (unsigned i = 0; i < INSTANCES; i++) {
		fleet_note(&fleet, "instance=%u own_ends=%u", i,
		    fleet.instances[i].own_ends);
		machines += fleet.instances[i].own_ends >= OWN_ENDS_MAX;
	}
	fleet_note(&fleet,
	    "asked=%u served=%u refused=%u broken=%u store_refused=%u "
	    "machines_with_3_own_ends=%u",
	    asked, served, refused, broken, fleet.refused, machines);
	printf("machines with 3 own ends or more: %u of %u; served %u of %u, "
	       "broken off %u\n",
	    machines, INSTANCES, served, asked, broken);
	fleet_close(&fleet);
	if (served == 0)
		return (2);
	return (machines >= 2 ? 1 : 0);
}
