/*
 * cache: the engine's prefix cache.
 *
 * A node is one message with everything before it; its key is a hash chain
 * over the messages.  Nodes are evicted in order of last use, a node always
 * before the one it continues.
 */
#ifndef SAMPHIRESHED_FAKES_CACHE_H
#define SAMPHIRESHED_FAKES_CACHE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct cache;

struct cache_message {
	uint64_t key; /* of this message and all before it */
	int64_t tokens; /* of this message */
};

/* Called for each node that is inserted or evicted. */
typedef void cache_on_event(
    bool insert, const char *program, uint64_t key, int64_t tokens, void *arg);

struct cache *
cache_open(int64_t max_tokens, cache_on_event *on_event, void *arg);

int64_t cache_tokens(const struct cache *cache);

/* cache_match(cache, chain, count): how many tokens of chain are cached. */
int64_t cache_match(
    struct cache *cache, const struct cache_message *chain, size_t count);

/*
 * cache_store(cache, chain, count, program)
 *	Insert what is missing of chain and mark all of it as used last by
 *	program, which becomes its holder ("" for none).
 */
void cache_store(struct cache *cache, const struct cache_message *chain,
    size_t count, const char *program);

/*
 * cache_release(cache, program)
 *	Evict what only program holds; returns the number of tokens freed.
 */
int64_t cache_release(struct cache *cache, const char *program);

/*
 * cache_export(cache, program), cache_import(cache, nodes, program)
 *	The chain that ends in program's newest node, as JSON, and the reverse,
 *	which returns the number of tokens imported.
 */
json_t *cache_export(struct cache *cache, const char *program);
int64_t
cache_import(struct cache *cache, const json_t *nodes, const char *program);

/* cache_holders(cache): a JSON array of the programs that hold nodes. */
json_t *cache_holders(const struct cache *cache);

#endif
