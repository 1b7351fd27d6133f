#include "cache.h"

#include <glib.h>
#include <string.h>

struct node {
	uint64_t key;
	int64_t tokens;
	struct node *parent;
	unsigned children;
	char *program; /* holder; "" if none */
	GList *link; /* in cache->used */
};

struct cache {
	int64_t max_tokens;
	int64_t tokens;
	GHashTable *nodes; /* &node->key -> struct node */
	GQueue used; /* the most recently used first */
	cache_on_event *on_event;
	void *arg;
};

struct cache *
cache_open(int64_t max_tokens, cache_on_event *on_event, void *arg)
{
	struct cache *cache = g_new0(struct cache, 1);

	cache->max_tokens = max_tokens;
	cache->nodes = g_hash_table_new(g_int64_hash, g_int64_equal);
	cache->on_event = on_event;
	cache->arg = arg;
	return (cache);
}

int64_t
cache_tokens(const struct cache *cache)
{
	return (cache->tokens);
}

int64_t
cache_match(
    struct cache *cache, const struct cache_message *chain, size_t count)
{
	int64_t tokens = 0;

	for (size_t i = 0; i < count; i++) {
		if (!g_hash_table_contains(cache->nodes, &chain[i].key))
			break;
		tokens += chain[i].tokens;
	}
	return (tokens);
}

static void
evict(struct cache *cache, struct node *node)
{
	cache->on_event(
	    false, node->program, node->key, node->tokens, cache->arg);
	if (node->parent != NULL)
		node->parent->children--;
	cache->tokens -= node->tokens;
	(void)g_hash_table_remove(cache->nodes, &node->key);
	g_queue_delete_link(&cache->used, node->link);
	g_free(node->program);
	g_free(node);
}

static struct node *
insert(struct cache *cache, const struct cache_message *message,
    struct node *parent, const char *program)
{
	struct node *node = g_new0(struct node, 1);

	node->key = message->key;
	node->tokens = message->tokens;
	node->parent = parent;
	if (parent != NULL)
		parent->children++;
	node->program = g_strdup(program);
	g_queue_push_head(&cache->used, node);
	node->link = cache->used.head;
	cache->tokens += node->tokens;
	(void)g_hash_table_insert(cache->nodes, &node->key, node);
	cache->on_event(true, program, node->key, node->tokens, cache->arg);
	return (node);
}

void
cache_store(struct cache *cache, const struct cache_message *chain,
    size_t count, const char *program)
{
	struct node *node = NULL;

	for (size_t i = 0; i < count; i++) {
		struct node *parent = node;

		node = g_hash_table_lookup(cache->nodes, &chain[i].key);
		if (node == NULL)
			node = insert(cache, &chain[i], parent, program);
	}
	/* From the last to the first, so that a node outlives its children. */
	for (; node != NULL; node = node->parent) {
		g_queue_unlink(&cache->used, node->link);
		g_queue_push_head_link(&cache->used, node->link);
		g_free(node->program);
		node->program = g_strdup(program);
	}
	while (cache->tokens > cache->max_tokens)
		evict(cache, g_queue_peek_tail(&cache->used));
}

int64_t
cache_release(struct cache *cache, const char *program)
{
	int64_t before = cache->tokens;

	/* From the least recently used: children come before their parents. */
	for (GList *l = cache->used.tail, *prev; l != NULL; l = prev) {
		struct node *node = l->data;

		prev = l->prev;
		if (strcmp(node->program, program) != 0)
			continue;
		if (node->children == 0) {
			evict(cache, node);
			continue;
		}
		/* Another program continues this prefix. */
		g_free(node->program);
		node->program = g_strdup("");
	}
	return (before - cache->tokens);
}

json_t *
cache_export(struct cache *cache, const char *program)
{
	json_t *nodes = json_array();
	struct node *last = NULL;

	for (GList *l = cache->used.head; l != NULL; l = l->next) {
		struct node *node = l->data;

		/* The deepest node is the least recently used of a chain. */
		if (strcmp(node->program, program) == 0 && node->children == 0)
			last = last == NULL ? node : last;
	}
	for (; last != NULL; last = last->parent)
		(void)json_array_insert_new(nodes, 0,
		    json_pack("{s:I,s:I}", "key", (json_int_t)last->key,
			"tokens", (json_int_t)last->tokens));
	return (nodes);
}

int64_t
cache_import(struct cache *cache, const json_t *nodes, const char *program)
{
	size_t count = json_array_size(nodes);
	struct cache_message *chain = g_new0(struct cache_message, count);
	int64_t before = cache->tokens;

	for (size_t i = 0; i < count; i++) {
		const json_t *node = json_array_get(nodes, i);

		chain[i].key =
		    (uint64_t)json_integer_value(json_object_get(node, "key"));
		chain[i].tokens =
		    MAX(0, json_integer_value(json_object_get(node, "tokens")));
	}
	cache_store(cache, chain, count, program);
	g_free(chain);
	return (cache->tokens - before);
}

json_t *
cache_holders(const struct cache *cache)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *holders = json_array();

	for (GList *l = cache->used.head; l != NULL; l = l->next) {
		struct node *node = l->data;

		if (node->program[0] != '\0' &&
		    g_hash_table_add(seen, node->program))
			(void)json_array_append_new(
			    holders, json_string(node->program));
	}
	g_hash_table_destroy(seen);
	return (holders);
}
