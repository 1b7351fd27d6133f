/*
 * An outbox: each entry is sent twice, in messages that have room for few.
 */
#include <glib.h>

#include "lib/outbox.h"

#define ENTRIES 100

/* Guards against entries that are never sent, as a message had no room. */
static void
test_each_twice(void)
{
	struct outbox *outbox = outbox_open(sizeof(unsigned), ENTRIES);
	unsigned sent[ENTRIES] = {0};
	unsigned out[7];
	size_t total;
	unsigned next = 0;

	for (unsigned i = 0; i < ENTRIES; i++)
		outbox_add(outbox, &i);
	do {
		total = outbox_take(outbox, out, G_N_ELEMENTS(out));
		for (size_t i = 0; i < MIN(total, G_N_ELEMENTS(out)); i++) {
			/* The first time in the order of their addition. */
			if (sent[out[i]]++ == 0)
				g_assert_cmpuint(out[i], ==, next++);
		}
	} while (total > 0);
	for (unsigned i = 0; i < ENTRIES; i++)
		g_assert_cmpuint(sent[i], ==, 2);
	outbox_close(outbox);
}

/* A full outbox drops the oldest entries and says how many. */
static void
test_full(void)
{
	struct outbox *outbox = outbox_open(sizeof(unsigned), 10);
	unsigned out[20];

	for (unsigned i = 0; i < 15; i++)
		outbox_add(outbox, &i);
	g_assert_cmpuint(outbox_take(outbox, out, 20), ==, 15);
	g_assert_cmpuint(out[0], ==, 5);
	g_assert_cmpuint(out[9], ==, 14);
	/* What was sent once goes first. */
	for (unsigned i = 20; i < 23; i++)
		outbox_add(outbox, &i);
	g_assert_cmpuint(outbox_take(outbox, out, 20), ==, 13);
	g_assert_cmpuint(out[0], ==, 20);
	g_assert_cmpuint(out[3], ==, 8);
	outbox_close(outbox);
}

/* What is taken once is gone; what did not fit stays. */
static void
test_once(void)
{
	struct outbox *outbox = outbox_open(sizeof(unsigned), 10);
	unsigned out[4];

	for (unsigned i = 0; i < 5; i++)
		outbox_add(outbox, &i);
	g_assert_cmpuint(outbox_take_once(outbox, out, 4), ==, 5);
	g_assert_cmpuint(outbox_take_once(outbox, out, 4), ==, 1);
	g_assert_cmpuint(out[0], ==, 4);
	g_assert_cmpuint(outbox_take_once(outbox, out, 4), ==, 0);
	outbox_close(outbox);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outbox/each-twice", test_each_twice);
	g_test_add_func("/outbox/full", test_full);
	g_test_add_func("/outbox/once", test_once);
	return (g_test_run());
}
