/*
 * For tests that drive a module through random orders of its events: the
 * seed, and the variants of the module that show that the check can fail.
 */
#ifndef SAMPHIRESHED_TEST_ORDERS_H
#define SAMPHIRESHED_TEST_ORDERS_H

#include <glib.h>
#include <stdint.h>

/* A module with one of its rules left out. */
struct orders_variant {
	int variant;
	const char *name; /* of the rule */
};

/*
 * orders_seed()
 *	Return the seed: $SAMPHIRESHED_SEED, or one that is always the same.
 */
static inline uint32_t
orders_seed(void)
{
	const char *text = g_getenv("SAMPHIRESHED_SEED");

	return (text != NULL ? (uint32_t)g_ascii_strtoull(text, NULL, 10)
			     : 20260801);
}

/*
 * orders_variants_check(what, orders, variants, n, violated)
 *	Guards against a check that passes whatever happens: each variant must
 *	break the property in some order.  violated(seed, orders, variant)
 *	plays the orders and returns the number of those that did.
 */
static inline void
orders_variants_check(const char *what, unsigned orders,
    const struct orders_variant *variants, size_t n,
    unsigned (*violated)(uint32_t seed, unsigned orders, int variant))
{
	uint32_t seed = orders_seed();

	for (size_t i = 0; i < n; i++) {
		unsigned count = violated(seed, orders, variants[i].variant);

		g_print("# figure %s_without_%s orders=%u "
			"orders_violated=%u seed=%u\n",
		    what, variants[i].name, orders, count, seed);
		g_assert_cmpuint(count, >, 0);
	}
}

#endif
