/*
 * Membership: heartbeats that are due, suspicion on the open and on a new
 * connection, stale member lists, and the ranking of sessions.
 */
#include <glib.h>
#include <string.h>

#include "member/mem.h"

#define SELF   1ULL
#define OTHER  2ULL
#define REMOTE 3ULL

static struct mem_identity
identity_of(uint64_t session, unsigned datacentre, double weight)
{
	struct mem_identity identity = {
	    .session = session, .datacentre = datacentre, .weight = weight};

	(void)g_snprintf(
	    identity.instance, sizeof(identity.instance), "i%d", (int)session);
	(void)g_snprintf(identity.address, sizeof(identity.address),
	    "127.0.0.1:%d", (int)session);
	return (identity);
}

static void
session_add(
    struct mem *members, uint64_t session, unsigned datacentre, clk_ms now)
{
	struct mem_identity identity = identity_of(session, datacentre, 1.0);
	json_t *record = mem_record_open(&identity);

	mem_apply(members, record, now);
	json_decref(record);
}

static struct mem *
table_open(void)
{
	struct mem_settings settings = {0};
	struct mem_identity self = identity_of(SELF, 0, 1.0);
	struct mem *members = mem_open(&settings, &self);

	session_add(members, SELF, 0, 0);
	session_add(members, OTHER, 0, 0);
	return (members);
}

/* Run in steps of 50 ms; returns the number of heartbeats to session. */
static int
run_heartbeats(struct mem *members, clk_ms from, clk_ms to, uint64_t session,
    bool answered)
{
	struct mem_ping pings[16];
	struct mem_report report = {0};
	int count = 0;

	for (clk_ms now = from; now <= to; now += 50) {
		size_t n = mem_heartbeats(members, now, pings, 16);

		for (size_t i = 0; i < n; i++) {
			if (pings[i].session == session)
				count++;
			if (pings[i].session != session || answered)
				mem_heard(members, pings[i].session, true,
				    &report, now);
		}
	}
	return (count);
}

/* Heartbeats every 250 ms in the data centre and every 1 s to another. */
static void
test_heartbeats(void)
{
	struct mem *members = table_open();

	session_add(members, REMOTE, 1, 0);
	g_assert_cmpint(run_heartbeats(members, 0, 1950, OTHER, true), ==, 8);
	mem_close(members);
	members = table_open();
	session_add(members, REMOTE, 1, 0);
	g_assert_cmpint(run_heartbeats(members, 0, 1950, REMOTE, true), ==, 2);
	g_assert_cmpint(run_heartbeats(members, 2000, 3000, SELF, true), ==, 0);
	mem_close(members);
}

/* Guards against starvation of later sessions if pings has few entries. */
static void
test_short_list(void)
{
	struct mem *members = table_open();
	struct mem_ping ping;
	bool seen[10] = {false};

	for (uint64_t s = 3; s < 10; s++)
		session_add(members, s, 0, 0);
	for (int i = 0; i < 8; i++) {
		g_assert_cmpuint(mem_heartbeats(members, 0, &ping, 1), ==, 1);
		g_assert_false(seen[ping.session]);
		seen[ping.session] = true;
	}
	g_assert_cmpuint(mem_heartbeats(members, 0, &ping, 1), ==, 0);
	mem_close(members);
}

/*
 * Guards against suspecting a peer because of one broken connection: after
 * half of the timeout a new connection is tried, and the session is suspected
 * only if neither connection answers.
 */
static void
test_suspicion(void)
{
	struct mem *members = table_open();
	struct mem_ping pings[4];
	struct mem_report report = {0};

	(void)run_heartbeats(members, 0, 450, OTHER, false);
	g_assert_cmpuint(mem_heartbeats(members, 500, pings, 4), ==, 1);
	g_assert_true(pings[0].new_connection);
	(void)run_heartbeats(members, 550, 950, OTHER, false);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	mem_update(members, 1000);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_SUSPECTED);
	/* A received heartbeat proves only one direction. */
	mem_heard(members, OTHER, false, &report, 1050);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_SUSPECTED);
	/* Suspected sessions get heartbeats, so that recovery is detected. */
	g_assert_cmpint(
	    run_heartbeats(members, 1050, 2000, OTHER, true), >=, 3);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	mem_close(members);
}

/* A session that answers on the new connection is not suspected. */
static void
test_new_connection_answers(void)
{
	struct mem *members = table_open();
	struct mem_ping pings[4];
	struct mem_report report = {0};

	for (clk_ms now = 0; now <= 5000; now += 50) {
		size_t n = mem_heartbeats(members, now, pings, 4);

		if (n > 0 && pings[0].new_connection)
			mem_heard(members, OTHER, true, &report, now);
		g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	}
	mem_close(members);
}

/* Guards against suspecting all sessions after a pause of this process. */
static void
test_own_pause(void)
{
	struct mem *members = table_open();

	(void)run_heartbeats(members, 0, 700, OTHER, false);
	mem_update(members, 10000);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	(void)run_heartbeats(members, 10050, 10950, OTHER, false);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	(void)run_heartbeats(members, 11000, 11100, OTHER, false);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_SUSPECTED);
	mem_close(members);
}

/* The member list may be stale: an answer overrides it. */
static void
test_member_list(void)
{
	struct mem *members = table_open();
	struct mem_member both[] = {
	    {"i1", MEM_LISTED_LIVE}, {"i2", MEM_LISTED_LIVE}};
	struct mem_member leaving[] = {
	    {"i1", MEM_LISTED_LIVE}, {"i2", MEM_LISTED_LEAVING}};
	uint64_t ranked[4];

	/* A session that was never listed is not suspected. */
	mem_member_list(members, both, 1, 0);
	(void)run_heartbeats(members, 0, 900, OTHER, true);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	mem_member_list(members, both, 2, 900);
	/* Removed from the list, but it answers. */
	mem_member_list(members, both, 1, 950);
	(void)run_heartbeats(members, 950, 3000, OTHER, true);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	/* Removed and unresponsive: suspected before the timeout. */
	mem_member_list(members, both, 2, 3000);
	(void)run_heartbeats(members, 3050, 3100, OTHER, true);
	mem_member_list(members, both, 1, 3150);
	(void)run_heartbeats(members, 3150, 3700, OTHER, false);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_SUSPECTED);
	(void)run_heartbeats(members, 3750, 4500, OTHER, true);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	/* Leaving: live, but not ranked for shards. */
	g_assert_cmpuint(mem_rank(members, 0, 0, true, ranked, 4), ==, 2);
	mem_member_list(members, leaving, 2, 4500);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	g_assert_cmpuint(mem_rank(members, 0, 0, true, ranked, 4), ==, 1);
	mem_close(members);
}

/*
 * After a restart the former session is MEM_REPLACED at once.  Guards against
 * a late record of a former session that replaces the current one.
 */
static void
test_replaced(void)
{
	struct mem *members = table_open();
	struct mem_identity late = identity_of(9, 0, 1.0);

	(void)g_strlcpy(late.instance, "i2", sizeof(late.instance));
	mem_session_add(members, &late, 100);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_REPLACED);
	(void)run_heartbeats(members, 150, 2000, 9, false);
	g_assert_cmpint(mem_state(members, OTHER), ==, MEM_LIVE);
	g_assert_cmpint(mem_state(members, 9), ==, MEM_SUSPECTED);
	mem_session_remove(members, 9, 2000);
	g_assert_cmpint(mem_state(members, 9), ==, MEM_UNKNOWN);
	mem_close(members);
}

/* Of each other data centre, two sessions and the watched get heartbeats. */
static void
test_other_datacentres(void)
{
	struct mem *members = table_open();
	struct mem_ping pings[32];
	uint64_t watched[20];
	size_t n;

	for (uint64_t s = 10; s < 30; s++)
		session_add(members, s, s < 20 ? 1 : 2, 0);
	n = mem_heartbeats(members, 0, pings, 32);
	g_assert_cmpuint(n, ==, 1 + 2 + 2);
	for (uint64_t s = 10; s < 30; s++)
		watched[s - 10] = s;
	mem_watch(members, watched, 20);
	n += mem_heartbeats(members, 50, pings, 32);
	g_assert_cmpuint(n, ==, 1 + 20);
	mem_close(members);
}

/*
 * Guards against rankings that depend on the order of insertion, ignore the
 * weight, or move shards between sessions that both remain.
 */
static void
test_rank(void)
{
	struct mem_settings settings = {0};
	struct mem_identity self = identity_of(SELF, 0, 1.0);
	struct mem *members = mem_open(&settings, &self);
	struct mem *reverse = mem_open(&settings, &self);
	uint64_t first[4096];
	uint64_t ranked[2];
	int heavy = 0;

	for (uint64_t s = 10; s < 20; s++) {
		struct mem_identity up = identity_of(s, 0, s == 10 ? 3.0 : 1.0);
		struct mem_identity down =
		    identity_of(29 - s, 0, s == 19 ? 3.0 : 1.0);

		mem_session_add(members, &up, 0);
		mem_session_add(reverse, &down, 0);
	}
	for (unsigned i = 0; i < 4096; i++) {
		g_assert_cmpuint(
		    mem_rank(members, 0, i, true, &first[i], 1), ==, 1);
		g_assert_cmpuint(
		    mem_rank(reverse, 0, i, true, ranked, 2), ==, 2);
		g_assert_cmphex(ranked[0], ==, first[i]);
		heavy += first[i] == 10;
	}
	/* Its share is 3 of 12, within 6 standard deviations. */
	g_assert_cmpint(heavy, >, 1024 - 6 * 28);
	g_assert_cmpint(heavy, <, 1024 + 6 * 28);
	mem_session_remove(members, 15, 0);
	for (unsigned i = 0; i < 4096; i++) {
		(void)mem_rank(members, 0, i, true, ranked, 1);
		if (first[i] != 15)
			g_assert_cmphex(ranked[0], ==, first[i]);
	}
	g_assert_cmpuint(mem_rank(members, 1, 0, true, ranked, 2), ==, 0);
	g_assert_cmpuint(mem_rank(members, 1, 0, false, ranked, 2), ==, 2);
	mem_close(members);
	mem_close(reverse);
}

/* Malformed records leave the table unchanged. */
static void
test_undecodable(void)
{
	static const char *const records[] = {"{}", "[]", "1",
	    "{\"kind\":\"session_open\"}",
	    "{\"kind\":\"session_open\",\"session\":\"000000000000000g\","
	    "\"instance\":\"a\",\"datacentre\":0,\"address\":\"b\","
	    "\"weight\":1}",
	    "{\"kind\":\"session_open\",\"session\":\"000000000000000a\","
	    "\"instance\":\"\",\"datacentre\":0,\"address\":\"b\","
	    "\"weight\":1}",
	    "{\"kind\":\"session_open\",\"session\":\"000000000000000a\","
	    "\"instance\":\"a\",\"datacentre\":64,\"address\":\"b\","
	    "\"weight\":1}",
	    "{\"kind\":\"session_open\",\"session\":\"000000000000000a\","
	    "\"instance\":\"a\",\"datacentre\":0,\"address\":\"b\","
	    "\"weight\":0}",
	    "{\"kind\":\"session_close\",\"closes\":7}"};
	struct mem *members = table_open();
	struct mem_info infos[4];

	for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
		json_t *record = json_loads(records[i], JSON_DECODE_ANY, NULL);

		g_assert_nonnull(record);
		mem_apply(members, record, 0);
		json_decref(record);
	}
	g_assert_cmpuint(mem_list(members, infos, 4), ==, 2);
	mem_close(members);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mem/heartbeats", test_heartbeats);
	g_test_add_func("/mem/short-list", test_short_list);
	g_test_add_func("/mem/suspicion", test_suspicion);
	g_test_add_func(
	    "/mem/new-connection-answers", test_new_connection_answers);
	g_test_add_func("/mem/own-pause", test_own_pause);
	g_test_add_func("/mem/member-list", test_member_list);
	g_test_add_func("/mem/replaced", test_replaced);
	g_test_add_func("/mem/other-datacentres", test_other_datacentres);
	g_test_add_func("/mem/rank", test_rank);
	g_test_add_func("/mem/undecodable", test_undecodable);
	return (g_test_run());
}
