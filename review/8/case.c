/*
 * A route is removed and put back: the turns that it had answered are gone
 * before the end of their retention.
 */
#include "rig.h"

#define TURNS 24
/* retention_s of the route that is removed, as on the sheet; of another. */
#define CHAT_S 60
#define DESK_S 10
/*
 * When the turns are answered, in ms from the start of the instances, and when
 * the route is put back and the turns go on, from the last of them.
 */
#define BEGIN_MS    28000
#define RESTORED_MS 53000
#define GO_ON_MS    56000

static void
configure(struct rig *rig, int version, bool has_chat)
{
	g_autofree char *chat = g_strdup_printf(
	    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
	    "\"kind\":\"stream\",\"timeout_ms\":5000,"
	    "\"target_latency_ms\":200,\"priority\":1,"
	    "\"service\":\"model-pool\",\"max_attempts\":1,"
	    "\"stateful\":true,\"retention_s\":%d,\"gap_aim_ms\":250},",
	    CHAT_S);
	g_autofree char *text = g_strdup_printf(
	    "{\"version\":%d,\"routes\":[%s{\"name\":\"desk\",\"host\":\"h\","
	    "\"path_prefix\":\"/desk/\",\"kind\":\"stream\","
	    "\"timeout_ms\":5000,\"target_latency_ms\":200,\"priority\":1,"
	    "\"service\":\"model-pool\",\"max_attempts\":1,"
	    "\"stateful\":true,\"retention_s\":%d,\"gap_aim_ms\":250}],"
	    "\"services\":[{\"name\":\"model-pool\",\"max_connections\":360,"
	    "\"engine\":{\"slots\":64,\"tokens_per_event\":14}}],"
	    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"ka\"],"
	    "\"rate_per_s\":201,\"burst\":201}]}",
	    version, has_chat ? chat : "", DESK_S);

	rig_configure(rig, text);
}

static int
turn(struct rig *rig, unsigned instance, const char *id, const char *previous)
{
	g_autofree char *named = previous != NULL
	    ? g_strdup_printf("X-Previous-Turn: %s\r\n", previous)
	    : g_strdup("");
	g_autofree char *fields = g_strdup_printf(
	    "X-Request-Id: %s\r\nX-Program-Id: %s\r\nX-Session-Id: s1\r\n"
	    "X-Timeout-Ms: 5000\r\nX-Token-Usage: 100,60\r\n"
	    "X-Token-Budget: 6000\r\n%s",
	    id, previous != NULL ? previous : id, named);
	struct rig_answer answer =
	    rig_ask(rig, instance, "POST", "/chat/1", fields, "input ");

	return (answer.is_whole ? answer.status : 0);
}

int
main(int argc, char **argv)
{
	struct rig rig;
	clk_ms answered[TURNS];
	clk_ms last = 0;
	unsigned found = 0, lost = 0;

	rig_open(&rig, argc, argv);
	(void)rig_worker(&rig, "i-engine", "model-pool", 64);
	configure(&rig, 1, true);
	rig_start(&rig, 3);
	rig_run(&rig, BEGIN_MS - (rig_now() - rig.began));
	for (int i = 0; i < TURNS; i++) {
		g_autofree char *id = g_strdup_printf("a%d", i);

		if (turn(&rig, 0, id, NULL) != 200)
			rig_fail(&rig, "a first turn is not served");
		answered[i] = last = rig_now();
	}
	rig_run(&rig, 1000);
	if (rig.is_troubled)
		configure(&rig, 2, false);
	rig_run(&rig, RESTORED_MS - (rig_now() - last));
	if (rig.is_troubled)
		configure(&rig, 3, true);
	/* More than config_deadline_ms, 2,000, after the acknowledgement. */
	rig_run(&rig, GO_ON_MS - (rig_now() - last));
	for (int i = 0; i < TURNS; i++) {
		g_autofree char *before = g_strdup_printf("a%d", i);
		g_autofree char *id = g_strdup_printf("b%d", i);
		int status = turn(&rig, 1, id, before);
		clk_ms age = rig_now() - answered[i];

		rig_note(&rig, "  turn %s was answered %d ms ago", before,
		    (int)age);
		if (age >= CHAT_S * CLK_SECOND)
			break;
		found += status == 200;
		lost += status == 404 || status == 410;
	}
	rig_note(&rig, "turns that went on: %u; answered 404 or 410: %u", found,
	    lost);
	if (found + lost < TURNS / 2)
		rig_fail(&rig, "too few turns were asked for in time");
	rig_close(&rig, lost > 0,
	    lost > 0 ? "turns are lost before the end of their retention"
		     : "all turns are found");
}
