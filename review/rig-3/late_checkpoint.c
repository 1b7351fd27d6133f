/*
 * A trial for a build with AddressSanitizer, no case.  A caller leaves while
 * neither the first checkpoint of its stream nor its turn can be recorded.  Is
 * the checkpoint tried again after the request has been freed?
 */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "review/rig-3/rig.h"

#define ROUNDS	 10
#define EVENTS	 3
#define PAUSE_MS 50
/* The stream takes 100 ms; its turn is tried again for 1.8 s. */
#define LEAVE_MS 600
#define LOOK_MS	 500

int
main(void)
{
	struct rig rig;
	struct sworker *engine;
	int status = 0;
	bool has_ended = false;

	rig_open(&rig, 1);
	sstore_configure(rig.store, 1, "\"k1\"");
	engine = sworker_open(rig.loop, "engine-1");
	sworker_pause_set(engine, PAUSE_MS);
	sworker_mode_set(engine, SWORKER_SLOW);
	sworker_events_set(engine, EVENTS);
	sworker_register(engine, rig.store, "pool", "ready");
	rig_start(&rig, 0);
	if (!rig_wait_ready(&rig)) {
		rig_close(&rig);
		return (RIG_NOT_RUN);
	}
	sstandin_run(rig.loop, 1000);
	for (unsigned i = 0; i < ROUNDS && !has_ended; i++) {
		const struct sockaddr_in to = rig_front(&rig, 0);
		struct sclient *client = sclient_open(rig.loop);
		g_autofree char *fields = g_strdup_printf(
		    "X-Request-Id: stream-%u\r\nX-Token-Usage: 100,60\r\n"
		    "X-Program-Id: p%u\r\nX-Token-Budget: 600\r\n",
		    i, i);
		struct sanswer *answer;

		if (rig.has_trouble)
			sstore_topics_refuse(rig.store, "keyed.turns");
		answer = sclient_ask(
		    client, &to, "POST", "/talk/x", fields, "input");
		rig_say(&rig, "send stream-%u", i);
		for (unsigned n = 0; n < 200 && sworker_runs(engine) == i; n++)
			sstandin_run(rig.loop, 5);
		sstandin_run(rig.loop, LEAVE_MS);
		rig_say(&rig, "the caller leaves, answer ended=%d status=%d",
		    answer->ended, answer->status);
		sclient_close(client);
		sstandin_run(rig.loop, LOOK_MS);
		sstore_topics_refuse(rig.store, NULL);
		sstandin_run(rig.loop, LOOK_MS);
		has_ended = rig_has_ended(&rig, 0, &status);
	}
	rig_close(&rig);
	printf("%s\n", has_ended ? "the process has ended" : "it goes on");
	return (has_ended ? RIG_BROKEN : RIG_HELD);
}
