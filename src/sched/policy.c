/* Policies: the order of waiting calls and the choice of an upstream. */
#include <glib.h>
#include <string.h>

#include "sched/sched.h"

/* Locality is ignored for an upstream above this multiple of its share. */
#define LOAD_FACTOR_MAX 1.25
/* At most this many upstreams that cache a program's prefix are compared. */
#define HOLDERS_MAX 4

static double
key_by_program(const struct sched_request *request)
{
	return ((double)request->program_started);
}

static double
key_by_arrival(const struct sched_request *request)
{
	return ((double)request->sequence);
}

static bool
handle_equal(struct upstream_handle a, struct upstream_handle b)
{
	return (a.index == b.index && a.generation == b.generation);
}

static bool
is_avoided(const struct sched_request *request, struct upstream_handle handle)
{
	return (handle_equal(request->avoid, handle));
}

static int64_t
uncached_tokens(const struct sched_request *request, int64_t cached)
{
	return (MAX(0, request->prompt_tokens - cached));
}

/*
 * Writes the open upstreams that have the program's prefix in their cache;
 * returns their number.
 */
static size_t
find_open_holders(const struct upstream_table *upstreams,
    const struct sched_request *request,
    struct upstream_holder usable[HOLDERS_MAX])
{
	struct upstream_holder holders[HOLDERS_MAX];
	size_t count, n = 0;

	if (request->program[0] == '\0')
		return (0);
	count = upstream_prefix_holders(
	    upstreams, request->program, holders, HOLDERS_MAX);
	for (size_t i = 0; i < MIN(count, HOLDERS_MAX); i++) {
		struct upstream_handle handle = holders[i].upstream;

		if (holders[i].tokens > 0 && !is_avoided(request, handle) &&
		    upstream_is_open(upstreams, handle) &&
		    upstream_is_in_pool(upstreams, handle, request->pool))
			usable[n++] = holders[i];
	}
	return (n);
}

/* Sets the number of prompt tokens expected in the upstream's cache. */
static void
set_cached_tokens(const struct upstream_table *upstreams,
    const struct sched_request *request, struct upstream_handle handle,
    int64_t *cached_tokens)
{
	struct upstream_holder holders[HOLDERS_MAX];
	size_t count = 0;

	*cached_tokens = 0;
	if (request->program[0] != '\0')
		count = upstream_prefix_holders(
		    upstreams, request->program, holders, HOLDERS_MAX);
	for (size_t i = 0; i < MIN(count, HOLDERS_MAX); i++) {
		if (handle_equal(holders[i].upstream, handle))
			*cached_tokens =
			    MIN(holders[i].tokens, request->prompt_tokens);
	}
}

static struct upstream_handle
choose_bounded(const struct upstream_table *upstreams,
    const struct sched_request *request, uint64_t start_count,
    int64_t *cached_tokens)
{
	struct upstream_holder holders[HOLDERS_MAX];
	size_t count = find_open_holders(upstreams, request, holders);
	double least, wait;
	struct upstream_handle best = upstream_pool_least_wait(upstreams,
	    request->pool, request->prompt_tokens, request->avoid, &least);

	(void)start_count;
	for (size_t i = 0; i < count; i++) {
		struct upstream_handle holder = holders[i].upstream;

		if (upstream_is_overloaded(
			upstreams, holder, request->pool, LOAD_FACTOR_MAX)) {
			/*
			 * Thanks to its cache it often has the shortest
			 * queue as well, so exclude it from the search.
			 */
			if (handle_equal(best, holder))
				best = upstream_pool_least_wait(upstreams,
				    request->pool, request->prompt_tokens,
				    holder, &least);
			continue;
		}
		wait = upstream_wait_ms(upstreams, holder,
		    uncached_tokens(request, holders[i].tokens));
		if (wait > least)
			continue;
		least = wait;
		best = holder;
	}
	set_cached_tokens(upstreams, request, best, cached_tokens);
	return (best);
}

static struct upstream_handle
choose_unbounded(const struct upstream_table *upstreams,
    const struct sched_request *request, uint64_t start_count,
    int64_t *cached_tokens)
{
	struct upstream_holder holders[HOLDERS_MAX];
	size_t count = find_open_holders(upstreams, request, holders);
	size_t best = 0;
	double wait;

	(void)start_count;
	*cached_tokens = 0;
	if (count == 0)
		return (upstream_pool_least_wait(upstreams, request->pool,
		    request->prompt_tokens, request->avoid, &wait));
	for (size_t i = 1; i < count; i++) {
		if (holders[i].tokens > holders[best].tokens)
			best = i;
	}
	*cached_tokens = MIN(holders[best].tokens, request->prompt_tokens);
	return (holders[best].upstream);
}

static struct upstream_handle
choose_least_outstanding(const struct upstream_table *upstreams,
    const struct sched_request *request, uint64_t start_count,
    int64_t *cached_tokens)
{
	struct upstream_handle handle = upstream_pool_least_outstanding(
	    upstreams, request->pool, request->avoid);

	(void)start_count;
	set_cached_tokens(upstreams, request, handle, cached_tokens);
	return (handle);
}

static struct upstream_handle
choose_round_robin(const struct upstream_table *upstreams,
    const struct sched_request *request, uint64_t start_count,
    int64_t *cached_tokens)
{
	struct upstream_handle handle =
	    upstream_pool_round_robin(upstreams, request->pool, start_count);

	if (is_avoided(request, handle))
		handle = upstream_pool_round_robin(
		    upstreams, request->pool, start_count + 1);
	set_cached_tokens(upstreams, request, handle, cached_tokens);
	return (handle);
}

const struct sched_policy sched_policy_least_program_first = {
    .name = "least_program_first",
    .by_urgency = true,
    .by_organisation = true,
    .call_key = key_by_program,
    .choose = choose_bounded};

const struct sched_policy sched_policy_locality_unbounded = {
    .name = "locality_unbounded",
    .by_urgency = true,
    .by_organisation = true,
    .call_key = key_by_program,
    .choose = choose_unbounded};

const struct sched_policy sched_policy_least_outstanding = {
    .name = "least_outstanding",
    .call_key = key_by_arrival,
    .choose = choose_least_outstanding};

const struct sched_policy sched_policy_round_robin = {.name = "round_robin",
    .call_key = key_by_arrival,
    .choose = choose_round_robin};

const struct sched_policy *
sched_policy_find(const char *name)
{
	static const struct sched_policy *const policies[] = {
	    &sched_policy_least_program_first, &sched_policy_locality_unbounded,
	    &sched_policy_least_outstanding, &sched_policy_round_robin};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i]->name, name) == 0)
			return (policies[i]);
	}
	return (NULL);
}
