/*
 * Crashes by fingerprint, and their way to the other instances.
 */
#include <glib.h>
#include <string.h>

#include "sched/crash_table.h"

#define CRASHES 20

/*
 * Guards against crashes that the peers never hear of, because more happened
 * at once than a message has room for: the peers would go on sending requests
 * that crash upstreams.
 */
static void
test_more_crashes_than_message(void)
{
	struct crash_table *own = crash_table_open(1);
	struct crash_table *peer = crash_table_open(1);
	unsigned char fingerprint[SCHED_FINGERPRINT_SIZE] = {0};
	struct sched_crash crashes[8];

	for (unsigned char i = 0; i < CRASHES; i++) {
		fingerprint[0] = i;
		crash_table_add(own, fingerprint, "u", true, 0);
	}
	for (int message = 0; message < CRASHES; message++) {
		size_t n = crash_table_collect(own, crashes, 8);

		for (size_t i = 0; i < MIN(n, 8); i++)
			crash_table_add(peer, crashes[i].fingerprint,
			    crashes[i].upstream, false, 0);
	}
	for (unsigned char i = 0; i < CRASHES; i++) {
		fingerprint[0] = i;
		g_assert_true(crash_table_is_blocked(peer, fingerprint, 0));
	}
	/* What a peer observed is not sent on. */
	g_assert_cmpuint(crash_table_collect(peer, crashes, 8), ==, 0);
	crash_table_close(own);
	crash_table_close(peer);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-table/more-crashes-than-message",
	    test_more_crashes_than_message);
	return (g_test_run());
}
