/*
 * A turn whose stream is taken up by its caller after the machine was killed:
 * the next turn runs on a history without the events before that.
 */
#include <string.h>

#include "rig.h"

#define EVENTS	 6
#define PAUSE_MS 200

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"h\","
    "\"path_prefix\":\"/resume/\",\"kind\":\"stream\",\"timeout_ms\":5000,"
    "\"target_latency_ms\":200,\"priority\":1,\"service\":\"model-pool\","
    "\"max_attempts\":1,\"stateful\":true,\"retention_s\":60,"
    "\"resumable\":true,\"gap_aim_ms\":250}],"
    "\"services\":[{\"name\":\"model-pool\",\"max_connections\":360,"
    "\"engine\":{\"slots\":64,\"tokens_per_event\":14}}],"
    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"ka\"],"
    "\"rate_per_s\":201,\"burst\":201}]}";

static char *last_body;

static void
on_run(void *arg, const struct srun *run)
{
	g_free(last_body);
	last_body = g_strndup(run->body, run->body_len);
	{
		g_autofree char *text = g_strescape(last_body, NULL);

		rig_note(arg, "  worker runs %s, body \"%s\"", run->id, text);
	}
}

/* Appends the data of the whole events in an answer, a line feed after each. */
static void
data_add(GString *out, const char *text, int *last)
{
	g_auto(GStrv) events = g_strsplit(text, "\n\n", -1);

	for (char **event = events; *event != NULL && event[1] != NULL;
	     event++) {
		/* The size of a chunk may stand before it. */
		const char *id = strstr(*event, "id: ");
		const char *data = strstr(*event, "data: ");

		if (id == NULL || data == NULL || sscanf(id, "id: %d", last) != 1)
			continue;
		g_string_append_printf(out, "%s\n", data + strlen("data: "));
	}
}

int
main(int argc, char **argv)
{
	struct rig rig;
	struct sworker *worker;
	struct rig_caller *caller;
	g_autoptr(GString) expected = g_string_new("one|");
	g_autoptr(GString) begun = g_string_new(NULL);
	g_autofree char *fields = NULL;
	const char *previous = "a1";
	struct rig_answer answer;
	int last = -1;
	clk_ms until;
	static const char first[] =
	    "POST /resume/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a1\r\n"
	    "X-Api-Key: ka\r\nX-Timeout-Ms: 5000\r\n"
	    "X-Token-Usage: 100,600\r\nContent-Length: 4\r\n\r\none|";

	rig_open(&rig, argc, argv);
	worker = rig_worker(&rig, "i-engine", "model-pool", 64);
	sworker_on_run_set(worker, on_run, &rig);
	sworker_events_set(worker, EVENTS);
	sworker_mode_set(worker, SWORKER_SLOW);
	sworker_pause_set(worker, PAUSE_MS);
	rig_configure(&rig, configuration);
	rig_start(&rig, 2);
	rig_run(&rig, RIG_STABLE_MS);
	caller = rig_caller_open(&rig, 0);
	rig_note(&rig, "caller -> instance 0: turn a1, \"one|\"");
	rig_caller_send(&rig, caller, first, strlen(first));
	until = rig_now() + 4000;
	while (!caller->has_ended && rig_now() < until &&
	    strstr(caller->received->str, "\r\n0\r\n\r\n") == NULL) {
		rig_run(&rig, 5);
		rig_caller_read(caller);
		if (rig.is_troubled && rig.pids[0] != 0 &&
		    strstr(caller->received->str, "id: 2\n") != NULL)
			rig_instance_kill(&rig, 0);
	}
	/* The chunks of the stream hold an event each. */
	data_add(begun, caller->received->str, &last);
	g_string_append(expected, begun->str);
	rig_note(&rig, "  a1: events up to %d, connection %s", last,
	    caller->has_ended ? "closed" : "open");
	if (rig.is_troubled) {
		g_autofree char *taken = g_strdup_printf(
		    "X-Request-Id: a2\r\nX-Timeout-Ms: 4000\r\n"
		    "X-Token-Usage: 100,600\r\nLast-Event-Id: %d\r\n",
		    last);

		rig_run(&rig, 300);
		answer = rig_ask(&rig, 1, "POST", "/resume/1", taken, "one|");
		if (answer.status != 200 || !answer.is_whole) {
			rig_close(&rig, false, "the stream is not taken up");
		}
		data_add(expected, answer.body, &last);
		rig_note(&rig, "  a2: events up to %d", last);
		previous = "a2";
	}
	g_string_append(expected, "two|");
	fields = g_strdup_printf("X-Request-Id: a3\r\nX-Timeout-Ms: 5000\r\n"
				 "X-Token-Usage: 100,600\r\n"
				 "X-Previous-Turn: %s\r\n",
	    previous);
	g_clear_pointer(&last_body, g_free);
	answer = rig_ask(&rig, 1, "POST", "/resume/1", fields, "two|");
	{
		g_autofree char *text = g_strescape(expected->str, NULL);

		rig_note(&rig, "expected body of a3: \"%s\"", text);
	}
	/* A refusal keeps the rule: only a run with another body breaks it. */
	rig_close(&rig,
	    last_body != NULL && strcmp(last_body, expected->str) != 0,
	    last_body == NULL ? "the turn did not run"
		: strcmp(last_body, expected->str) != 0
		? "the turn ran without a part of the output before it"
		: "the turn ran with the whole history");
}
