/*
 * Homes that don't answer: who is asked, and for how long.
 */
#include <glib.h>

#include "quota/silence.h"

static struct sockaddr_in
home_make(unsigned port)
{
	struct sockaddr_in home = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	return (home);
}

/* Guards against requests that each wait for a home that has died. */
static void
test_passed_over(void)
{
	struct silence *silence = silence_open();
	const struct sockaddr_in dead = home_make(1);
	const struct sockaddr_in other = home_make(2);
	unsigned asked = 0;

	g_assert_true(silence_is_asked(silence, &dead, 1000));
	silence_timed_out(silence, &dead, 1030);
	/* The others that had asked it at the same time. */
	silence_timed_out(silence, &dead, 1031);
	for (clk_ms now = 1031; now < 3030; now++) {
		if (silence_is_asked(silence, &dead, now)) {
			asked++;
			silence_timed_out(silence, &dead, now + 30);
		}
		g_assert_true(silence_is_asked(silence, &other, now));
	}
	g_assert_cmpuint(asked, >=, 4);
	g_assert_cmpuint(asked, <=, 6);
	silence_close(silence);
}

/* Guards against a home that stays passed over once it answers, even late. */
static void
test_answers_again(void)
{
	struct silence *silence = silence_open();
	const struct sockaddr_in home = home_make(1);

	silence_timed_out(silence, &home, 1000);
	g_assert_false(silence_is_asked(silence, &home, 1010));
	silence_answered(silence, &home);
	g_assert_true(silence_is_asked(silence, &home, 1011));
	g_assert_true(silence_is_asked(silence, &home, 1011));
	silence_close(silence);
}

/* Guards against requests that wait without end, or use up their time. */
static void
test_give_up(void)
{
	g_assert_cmpint(silence_give_up_at(1000, 1900), ==, 1300);
	g_assert_cmpint(silence_give_up_at(1000, 4000), ==, 2000);
	g_assert_cmpint(silence_give_up_at(1000, 100000), ==, 2200);
	g_assert_cmpint(silence_give_up_at(1000, 500), ==, 1000);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silence/passed_over", test_passed_over);
	g_test_add_func("/silence/answers_again", test_answers_again);
	g_test_add_func("/silence/give_up", test_give_up);
	return (g_test_run());
}
