/*
 * Tests the encoding of gossip messages, and the decoding of malformed ones.
 */
#include <glib.h>
#include <string.h>

#include "gossip/gossip.h"

static void
test_datagram(void)
{
	struct quota_count counts[] = {{{1, 7000, 8000}, 4, 15, 10, 2, 500, 7},
	    {{2, 9000, 9500}, 5, 25, 20, 3, 0, 8}};
	uint64_t programs[] = {7, 8, 9};
	struct place_load loads[] = {{5, 6}};
	struct place_cached_part cached_parts[] = {{11, 12}};
	struct sched_crash crashes[] = {{{1, 2, 3}, "u-1", 0}};
	struct throttle_limit limits[] = {
	    {13, 3500, 120, 14, 7000, 30}, {14, 0, 9, 0, 0, 0}};
	struct departure departures[] = {{1754000000000, 15, 16}};
	char *evacuated[] = {(char *)"dc-2", (char *)"dc-3"};
	struct roster_absence absences[] = {{18, 19}, {20, 21}};
	const struct gossip_message message = {.name = (char *)"i-1",
	    .incarnation = 17,
	    .datacentre = (char *)"dc-1",
	    .store_age = 350,
	    .counts = counts,
	    .count_len = 2,
	    .programs = programs,
	    .program_len = 3,
	    .loads = loads,
	    .load_len = 1,
	    .cached_parts = cached_parts,
	    .cached_part_len = 1,
	    .crashes = crashes,
	    .crash_len = 1,
	    .limits = limits,
	    .limit_len = 2,
	    .departures = departures,
	    .departure_len = 1,
	    .evacuations = {77, evacuated, 2, 1},
	    .absences = absences,
	    .absence_len = 2};
	char buf[1024];
	struct gossip_message read;
	size_t len = gossip_message_encode(buf, sizeof(buf), &message);

	g_assert_cmpuint(len, >, 0);
	g_assert_true(gossip_message_decode(buf, len, &read));
	g_assert_cmpstr(read.name, ==, "i-1");
	g_assert_cmpuint(read.incarnation, ==, 17);
	g_assert_cmpstr(read.datacentre, ==, "dc-1");
	g_assert_cmpuint(read.store_age, ==, 350);
	g_assert_cmpuint(read.count_len, ==, 2);
	g_assert_cmpuint(read.counts[1].period, ==, 5);
	g_assert_cmpuint(read.counts[1].requested, ==, 25);
	g_assert_cmpuint(read.counts[1].admitted, ==, 20);
	g_assert_cmpuint(read.counts[1].programs, ==, 3);
	g_assert_cmpuint(read.counts[0].level, ==, 500);
	g_assert_cmpuint(read.counts[1].first, ==, 8);
	g_assert_cmpuint(read.absence_len, ==, 2);
	g_assert_cmpuint(read.absences[1].instance, ==, 20);
	g_assert_cmpuint(read.absences[1].said, ==, 21);
	g_assert_cmpuint(read.counts[1].limit.rate, ==, 9000);
	g_assert_cmpuint(read.counts[1].limit.burst, ==, 9500);
	g_assert_cmpuint(read.programs[2], ==, 9);
	g_assert_cmpuint(read.loads[0].running, ==, 6);
	g_assert_cmpuint(read.cached_parts[0].upstream, ==, 12);
	g_assert_cmpstr(read.crashes[0].upstream, ==, "u-1");
	g_assert_cmpuint(read.limit_len, ==, 2);
	g_assert_cmpuint(read.limits[0].rate, ==, 3500);
	g_assert_cmpuint(read.limits[1].age, ==, 9);
	g_assert_cmpuint(read.limits[0].cold_rate, ==, 14);
	g_assert_cmpuint(read.limits[0].cold, ==, 7000);
	g_assert_cmpuint(read.limits[0].cold_age, ==, 30);
	g_assert_cmpuint(read.departure_len, ==, 1);
	g_assert_cmpuint(read.departures[0].upstream, ==, 15);
	g_assert_cmpuint(read.departures[0].started, ==, 1754000000000);
	g_assert_cmpuint(read.departures[0].age, ==, 16);
	g_assert_cmpuint(read.evacuations.end, ==, 77);
	g_assert_cmpuint(read.evacuations.name_len, ==, 2);
	g_assert_cmpstr(read.evacuations.names[1], ==, "dc-3");
	g_assert_cmpuint(read.evacuations.is_partial, ==, 1);
	g_assert_cmpmem(read.crashes[0].fingerprint, SCHED_FINGERPRINT_SIZE,
	    crashes[0].fingerprint, SCHED_FINGERPRINT_SIZE);
	gossip_message_clear(&read);
	/* Truncated datagrams, and buffers that are too small. */
	for (size_t cut = 0; cut < len; cut++)
		g_assert_false(gossip_message_decode(buf, cut, &read));
	for (size_t size = 0; size < len; size += 4)
		g_assert_cmpuint(
		    gossip_message_encode(buf, size, &message), ==, 0);
}

/*
 * Guards against an instance that falls silent under load: a message whose
 * lists are all full fits a datagram.
 */
static void
test_full_message(void)
{
	struct quota_count counts[GOSSIP_COUNTS_MAX] = {0};
	uint64_t programs[GOSSIP_PROGRAMS_MAX] = {0};
	struct place_load loads[GOSSIP_LOADS_MAX] = {0};
	struct place_cached_part parts[GOSSIP_CACHED_PARTS_MAX] = {0};
	struct sched_crash crashes[GOSSIP_CRASHES_MAX] = {0};
	struct throttle_limit limits[GOSSIP_LIMITS_MAX] = {0};
	struct departure departures[GOSSIP_DEPARTURES_MAX] = {0};
	struct roster_absence absences[GOSSIP_ABSENCES_MAX] = {0};
	char name[GOSSIP_NAME_MAX + 1] = {0};
	char datacentre[EVACUATION_NAME_MAX + 1] = {0};
	char *evacuated[EVACUATION_NAMES_MAX];
	const struct gossip_message message = {.name = name,
	    .incarnation = 17,
	    .datacentre = name,
	    .counts = counts,
	    .count_len = GOSSIP_COUNTS_MAX,
	    .programs = programs,
	    .program_len = GOSSIP_PROGRAMS_MAX,
	    .loads = loads,
	    .load_len = GOSSIP_LOADS_MAX,
	    .cached_parts = parts,
	    .cached_part_len = GOSSIP_CACHED_PARTS_MAX,
	    .crashes = crashes,
	    .crash_len = GOSSIP_CRASHES_MAX,
	    .limits = limits,
	    .limit_len = GOSSIP_LIMITS_MAX,
	    .departures = departures,
	    .departure_len = GOSSIP_DEPARTURES_MAX,
	    .evacuations = {77, evacuated, EVACUATION_NAMES_MAX, 1},
	    .absences = absences,
	    .absence_len = GOSSIP_ABSENCES_MAX};
	struct gossip_message read;
	char buf[GOSSIP_DATAGRAM_MAX];
	size_t len;

	memset(name, 'n', GOSSIP_NAME_MAX);
	memset(datacentre, 'd', EVACUATION_NAME_MAX);
	for (int i = 0; i < EVACUATION_NAMES_MAX; i++)
		evacuated[i] = datacentre;
	for (int i = 0; i < GOSSIP_CRASHES_MAX; i++)
		memset(
		    crashes[i].upstream, 'u', sizeof(crashes[i].upstream) - 1);
	len = gossip_message_encode(buf, sizeof(buf), &message);
	g_assert_cmpuint(len, >, 0);
	g_assert_true(gossip_message_decode(buf, len, &read));
	g_assert_cmpuint(read.crash_len, ==, GOSSIP_CRASHES_MAX);
	g_assert_cmpuint(read.limit_len, ==, GOSSIP_LIMITS_MAX);
	g_assert_cmpuint(read.departure_len, ==, GOSSIP_DEPARTURES_MAX);
	g_assert_cmpuint(read.absence_len, ==, GOSSIP_ABSENCES_MAX);
	gossip_message_clear(&read);
}

/* Random bytes, including huge lengths, must not crash the decoder. */
static void
test_noise(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	const struct gossip_message empty = {
	    .name = (char *)"", .datacentre = (char *)""};
	/* Room for a message without entries: 88 bytes. */
	char version[128];

	g_assert_cmpuint(
	    gossip_message_encode(version, sizeof(version), &empty), >, 4);
	for (int i = 0; i < 20000; i++) {
		char buf[256];
		struct gossip_message read;

		for (size_t k = 0; k < sizeof(buf); k++)
			buf[k] = (char)g_rand_int(rand);
		/* A valid version, so that decoding continues. */
		memcpy(buf, version, 4);
		if (gossip_message_decode(buf, sizeof(buf), &read))
			gossip_message_clear(&read);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gossip/datagram", test_datagram);
	g_test_add_func("/gossip/full-message", test_full_message);
	g_test_add_func("/gossip/noise", test_noise);
	return (g_test_run());
}
