/*
 * A tenant whose name has a space, and a machine that is killed: the program's
 * next turn reaches no worker any more.
 */
#include <string.h>

#include "rig.h"

#define TRIES	    5
#define FIRST_TURNS 10

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"h\","
    "\"path_prefix\":\"/chat/\",\"kind\":\"stream\",\"timeout_ms\":5000,"
    "\"target_latency_ms\":200,\"priority\":1,\"service\":\"model-pool\","
    "\"max_attempts\":1,\"stateful\":true,\"retention_s\":60,"
    "\"gap_aim_ms\":250}],"
    "\"services\":[{\"name\":\"model-pool\",\"max_connections\":360,"
    "\"engine\":{\"slots\":64,\"tokens_per_event\":14}}],"
    "\"tenants\":[{\"name\":\"Peachline Mailers\",\"api_keys\":[\"ka\"],"
    "\"rate_per_s\":201,\"burst\":201}]}";

static unsigned runs;

static void
on_run(void *arg, const struct srun *run)
{
	runs++;
	rig_note(arg, "  worker runs %s for \"%s\", %zu bytes", run->id,
	    run->organisation != NULL ? run->organisation : "-",
	    run->body_len);
}

/* A turn; returns whether it has reached a worker. */
static bool
turn(struct rig *rig, const char *id, const char *program,
    const char *previous)
{
	g_autofree char *named = previous != NULL
	    ? g_strdup_printf("X-Previous-Turn: %s\r\n", previous)
	    : g_strdup("");
	g_autofree char *fields = g_strdup_printf(
	    "X-Request-Id: %s\r\nX-Program-Id: %s\r\nX-Session-Id: s1\r\n"
	    "X-Program-Deadline-Ms: 60000\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Token-Usage: 100,60\r\nX-Token-Budget: 6000\r\n%s",
	    id, program, named);
	unsigned before = runs;

	(void)rig_ask(rig, 0, "POST", "/chat/1", fields, "input ");
	return (runs > before);
}

int
main(int argc, char **argv)
{
	struct rig rig;
	struct sworker *worker;
	unsigned first = 0, reached = 0, tries = 0;

	rig_open(&rig, argc, argv);
	worker = rig_worker(&rig, "i-engine", "model-pool", 64);
	sworker_on_run_set(worker, on_run, &rig);
	rig_configure(&rig, configuration);
	rig_start(&rig, 3);
	rig_run(&rig, RIG_STABLE_MS);
	if (!turn(&rig, "a1", "pa", NULL) || !turn(&rig, "a2", "pa", "a1") ||
	    !turn(&rig, "a3", "pa", "a2"))
		rig_fail(&rig, "the first turns are not served");
	if (rig.is_troubled) {
		rig_instance_kill(&rig, 0);
		rig_instance_start(&rig, 0);
		rig_instance_wait_ready(&rig, 0);
	}
	/* Longer than stable_ms, so that the machine is in touch. */
	rig_run(&rig, RIG_STABLE_MS + 1000);
	while (tries < TRIES && reached == 0) {
		g_autofree char *id = g_strdup_printf("a4-%u", ++tries);

		reached += turn(&rig, id, "pa", "a3");
		rig_run(&rig, 300);
	}
	for (int i = 0; i < FIRST_TURNS; i++) {
		g_autofree char *id = g_strdup_printf("b%d", i);

		first += turn(&rig, id, id, NULL);
	}
	rig_note(&rig, "tries of the turn after a3: %u, at a worker: %u; first "
		       "turns at a worker: %u of %d",
	    tries, reached, first, FIRST_TURNS);
	if (10 * first < 9 * FIRST_TURNS)
		rig_fail(&rig, "first turns reach no worker either");
	rig_close(&rig, reached == 0,
	    reached == 0 ? "the program's history can't be used any more"
			 : "the program goes on");
}
