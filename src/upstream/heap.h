/*
 * heap: intrusive binary min-heap, ordered by key and, for equal keys, by tie.
 *
 * An item holds its position in the heap, so that it can be removed or given
 * another key in O(log n).  It is in at most one heap.
 */
#ifndef SAMPHIRESHED_UPS_HEAP_H
#define SAMPHIRESHED_UPS_HEAP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ups_heap_item {
	double key;
	uint64_t tie;
	uint32_t place; /* index + 1; 0: in no heap */
};

struct ups_heap {
	GPtrArray *items; /* struct ups_heap_item */
};

/* The structure of the given type that contains item as its member. */
#define UPS_HEAP_OWNER(item, type, member) \
	((type *)(void *)((char *)(item)-offsetof(type, member)))

void ups_heap_init(struct ups_heap *heap);
void ups_heap_clear(struct ups_heap *heap);

/* ups_heap_count(heap), ups_heap_top(heap): O(1); nil if empty. */
unsigned ups_heap_count(const struct ups_heap *heap);
struct ups_heap_item *ups_heap_top(const struct ups_heap *heap);

/* ups_heap_second(heap): the second item; nil if there is none.  O(1). */
struct ups_heap_item *ups_heap_second(const struct ups_heap *heap);

/* ups_heap_push(heap, item, key): O(log n). */
void
ups_heap_push(struct ups_heap *heap, struct ups_heap_item *item, double key);

/* ups_heap_rekey(heap, item, key): change the key of an item.  O(log n). */
void
ups_heap_rekey(struct ups_heap *heap, struct ups_heap_item *item, double key);

/* ups_heap_remove(heap, item): O(log n); no effect if it is in no heap. */
void ups_heap_remove(struct ups_heap *heap, struct ups_heap_item *item);

#endif
