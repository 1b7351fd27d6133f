/*
 * heap: intrusive binary min-heap, ordered by key and, for equal keys, by tie.
 *
 * An item holds its position in the heap, so that it can be removed or given
 * another key in O(log n).  It is in at most one heap.
 */
#ifndef SAMPHIRESHED_HEAP_H
#define SAMPHIRESHED_HEAP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct heap_item {
	double key;
	uint64_t tie;
	uint32_t position; /* index + 1; 0: in no heap */
};

struct heap {
	GPtrArray *items; /* struct heap_item */
};

/* The structure of the given type that contains item as its member. */
#define HEAP_CONTAINER(item, type, member) \
	((type *)(void *)((char *)(item)-offsetof(type, member)))

void heap_init(struct heap *heap);
void heap_clear(struct heap *heap);

/* heap_count(heap), heap_top(heap): O(1); nil if empty. */
unsigned heap_count(const struct heap *heap);
struct heap_item *heap_top(const struct heap *heap);

/* heap_second(heap): the second item; nil if there is none.  O(1). */
struct heap_item *heap_second(const struct heap *heap);

/* heap_push(heap, item, key): O(log n). */
void heap_push(struct heap *heap, struct heap_item *item, double key);

/* heap_rekey(heap, item, key): change the key of an item.  O(log n). */
void heap_rekey(struct heap *heap, struct heap_item *item, double key);

/* heap_remove(heap, item): O(log n); no effect if it is in no heap. */
void heap_remove(struct heap *heap, struct heap_item *item);

#endif
