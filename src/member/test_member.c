/*
 * Membership: heartbeats that are due, suspicion on the open and on a new
 * connection, stale member lists, and the ranking of sessions.
 */
#include <glib.h>
#include <string.h>

#include "member/member.h"

#define SELF   1ULL
#define OTHER  2ULL
#define REMOTE 3ULL

static struct member_identity
identity_of(uint64_t session, unsigned datacentre, double weight)
{
	struct member_identity identity = {
	    .session = session, .datacentre = datacentre, .weight = weight};

	(void)g_snprintf(
	    identity.instance, sizeof(identity.instance), "i%d", (int)session);
	(void)g_snprintf(identity.address, sizeof(identity.address),
	    "127.0.0.1:%d", (int)session);
	return (identity);
}

static void
session_add(struct member_table *members, uint64_t session, unsigned datacentre,
    clk_ms now)
{
	struct member_identity identity = identity_of(session, datacentre, 1.0);
	json_t *record = member_session_open_record(&identity);

	member_apply(members, record, now);
	json_decref(record);
}

static struct member_table *
table_open(void)
{
	struct member_settings settings = {0};
	struct member_identity self = identity_of(SELF, 0, 1.0);
	struct member_table *members = member_table_open(&settings, &self);

	session_add(members, SELF, 0, 0);
	session_add(members, OTHER, 0, 0);
	return (members);
}

/* Run in steps of 50 ms; returns the number of heartbeats to session. */
static int
run_heartbeats(struct member_table *members, clk_ms from, clk_ms to,
    uint64_t session, bool answered)
{
	struct member_heartbeat heartbeats[16];
	struct member_report report = {0};
	int count = 0;

	for (clk_ms now = from; now <= to; now += 50) {
		size_t n = member_heartbeats_due(members, now, heartbeats, 16);

		for (size_t i = 0; i < n; i++) {
			if (heartbeats[i].session == session)
				count++;
			if (heartbeats[i].session != session || answered)
				member_heartbeat_received(members,
				    heartbeats[i].session, true, &report, now);
		}
	}
	return (count);
}

/* Heartbeats every 250 ms in the data centre and every 1 s to another. */
static void
test_heartbeats(void)
{
	struct member_table *members = table_open();

	session_add(members, REMOTE, 1, 0);
	g_assert_cmpint(run_heartbeats(members, 0, 1950, OTHER, true), ==, 8);
	member_table_close(members);
	members = table_open();
	session_add(members, REMOTE, 1, 0);
	g_assert_cmpint(run_heartbeats(members, 0, 1950, REMOTE, true), ==, 2);
	g_assert_cmpint(run_heartbeats(members, 2000, 3000, SELF, true), ==, 0);
	member_table_close(members);
}

/* Guards against starvation of later sessions if the array is short. */
static void
test_short_list(void)
{
	struct member_table *members = table_open();
	struct member_heartbeat ping;
	bool seen[10] = {false};

	for (uint64_t s = 3; s < 10; s++)
		session_add(members, s, 0, 0);
	for (int i = 0; i < 8; i++) {
		g_assert_cmpuint(
		    member_heartbeats_due(members, 0, &ping, 1), ==, 1);
		g_assert_false(seen[ping.session]);
		seen[ping.session] = true;
	}
	g_assert_cmpuint(member_heartbeats_due(members, 0, &ping, 1), ==, 0);
	member_table_close(members);
}

/*
 * Guards against suspecting a peer because of one broken connection: after
 * half of the timeout a new connection is tried, and the session is suspected
 * only if neither connection answers.
 */
static void
test_suspicion(void)
{
	struct member_table *members = table_open();
	struct member_heartbeat heartbeats[4];
	struct member_report report = {0};

	(void)run_heartbeats(members, 0, 450, OTHER, false);
	g_assert_cmpuint(
	    member_heartbeats_due(members, 500, heartbeats, 4), ==, 1);
	g_assert_true(heartbeats[0].new_connection);
	(void)run_heartbeats(members, 550, 950, OTHER, false);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	member_update(members, 1000);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_SUSPECTED);
	/* A received heartbeat proves only one direction. */
	member_heartbeat_received(members, OTHER, false, &report, 1050);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_SUSPECTED);
	/* Suspected sessions get heartbeats, so that recovery is detected. */
	g_assert_cmpint(
	    run_heartbeats(members, 1050, 2000, OTHER, true), >=, 3);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	member_table_close(members);
}

/* A session that answers on the new connection is not suspected. */
static void
test_new_connection_answers(void)
{
	struct member_table *members = table_open();
	struct member_heartbeat heartbeats[4];
	struct member_report report = {0};

	for (clk_ms now = 0; now <= 5000; now += 50) {
		size_t n = member_heartbeats_due(members, now, heartbeats, 4);

		if (n > 0 && heartbeats[0].new_connection)
			member_heartbeat_received(
			    members, OTHER, true, &report, now);
		g_assert_cmpint(
		    member_state_get(members, OTHER), ==, MEMBER_LIVE);
	}
	member_table_close(members);
}

/* Guards against suspecting all sessions after a pause of this process. */
static void
test_own_pause(void)
{
	struct member_table *members = table_open();

	(void)run_heartbeats(members, 0, 700, OTHER, false);
	member_update(members, 10000);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	(void)run_heartbeats(members, 10050, 10950, OTHER, false);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	(void)run_heartbeats(members, 11000, 11100, OTHER, false);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_SUSPECTED);
	member_table_close(members);
}

/* The member list may be stale: an answer overrides it. */
static void
test_member_list(void)
{
	struct member_table *members = table_open();
	struct member_list_entry both[] = {
	    {"i1", MEMBER_LISTED_LIVE}, {"i2", MEMBER_LISTED_LIVE}};
	struct member_list_entry leaving[] = {
	    {"i1", MEMBER_LISTED_LIVE}, {"i2", MEMBER_LISTED_LEAVING}};
	uint64_t ranked[4];

	/* A session that was never listed is not suspected. */
	member_list_apply(members, both, 1, 0);
	(void)run_heartbeats(members, 0, 900, OTHER, true);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	member_list_apply(members, both, 2, 900);
	/* Removed from the list, but it answers. */
	member_list_apply(members, both, 1, 950);
	(void)run_heartbeats(members, 950, 3000, OTHER, true);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	/* Removed and unresponsive: suspected before the timeout. */
	member_list_apply(members, both, 2, 3000);
	(void)run_heartbeats(members, 3050, 3100, OTHER, true);
	member_list_apply(members, both, 1, 3150);
	(void)run_heartbeats(members, 3150, 3700, OTHER, false);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_SUSPECTED);
	(void)run_heartbeats(members, 3750, 4500, OTHER, true);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	/* Leaving: live, but not ranked for shards. */
	g_assert_cmpuint(member_rank(members, 0, 0, true, ranked, 4), ==, 2);
	member_list_apply(members, leaving, 2, 4500);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	g_assert_cmpuint(member_rank(members, 0, 0, true, ranked, 4), ==, 1);
	member_table_close(members);
}

/*
 * After a restart the former session is MEMBER_REPLACED at once.  Guards
 * against a late record of a former session that replaces the current one.
 */
static void
test_replaced(void)
{
	struct member_table *members = table_open();
	struct member_identity late = identity_of(9, 0, 1.0);

	(void)g_strlcpy(late.instance, "i2", sizeof(late.instance));
	member_session_add(members, &late, 100);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_REPLACED);
	(void)run_heartbeats(members, 150, 2000, 9, false);
	g_assert_cmpint(member_state_get(members, OTHER), ==, MEMBER_LIVE);
	g_assert_cmpint(member_state_get(members, 9), ==, MEMBER_SUSPECTED);
	member_session_remove(members, 9, 2000);
	g_assert_cmpint(member_state_get(members, 9), ==, MEMBER_UNKNOWN);
	member_table_close(members);
}

/* In another data centre only two sessions and the watched get heartbeats. */
static void
test_other_datacentres(void)
{
	struct member_table *members = table_open();
	struct member_heartbeat heartbeats[32];
	uint64_t watched[20];
	size_t n;

	for (uint64_t s = 10; s < 30; s++)
		session_add(members, s, s < 20 ? 1 : 2, 0);
	n = member_heartbeats_due(members, 0, heartbeats, 32);
	g_assert_cmpuint(n, ==, 1 + 2 + 2);
	for (uint64_t s = 10; s < 30; s++)
		watched[s - 10] = s;
	member_watch_set(members, watched, 20);
	n += member_heartbeats_due(members, 50, heartbeats, 32);
	g_assert_cmpuint(n, ==, 1 + 20);
	member_table_close(members);
}

/*
 * Guards against rankings that depend on the order of insertion, ignore the
 * weight, or move shards between sessions that both remain.
 */
static void
test_rank(void)
{
	struct member_settings settings = {0};
	struct member_identity self = identity_of(SELF, 0, 1.0);
	struct member_table *members = member_table_open(&settings, &self);
	struct member_table *reverse = member_table_open(&settings, &self);
	uint64_t first[4096];
	uint64_t ranked[2];
	int heavy = 0;

	for (uint64_t s = 10; s < 20; s++) {
		struct member_identity up =
		    identity_of(s, 0, s == 10 ? 3.0 : 1.0);
		struct member_identity down =
		    identity_of(29 - s, 0, s == 19 ? 3.0 : 1.0);

		member_session_add(members, &up, 0);
		member_session_add(reverse, &down, 0);
	}
	for (unsigned i = 0; i < 4096; i++) {
		g_assert_cmpuint(
		    member_rank(members, 0, i, true, &first[i], 1), ==, 1);
		g_assert_cmpuint(
		    member_rank(reverse, 0, i, true, ranked, 2), ==, 2);
		g_assert_cmphex(ranked[0], ==, first[i]);
		heavy += first[i] == 10;
	}
	/* Its share is 3 of 12, within 6 standard deviations. */
	g_assert_cmpint(heavy, >, 1024 - 6 * 28);
	g_assert_cmpint(heavy, <, 1024 + 6 * 28);
	member_session_remove(members, 15, 0);
	for (unsigned i = 0; i < 4096; i++) {
		(void)member_rank(members, 0, i, true, ranked, 1);
		if (first[i] != 15)
			g_assert_cmphex(ranked[0], ==, first[i]);
	}
	g_assert_cmpuint(member_rank(members, 1, 0, true, ranked, 2), ==, 0);
	g_assert_cmpuint(member_rank(members, 1, 0, false, ranked, 2), ==, 2);
	member_table_close(members);
	member_table_close(reverse);
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
	struct member_table *members = table_open();
	struct member_info infos[4];

	for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
		json_t *record = json_loads(records[i], JSON_DECODE_ANY, NULL);

		g_assert_nonnull(record);
		member_apply(members, record, 0);
		json_decref(record);
	}
	g_assert_cmpuint(member_info_list(members, infos, 4), ==, 2);
	member_table_close(members);
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
