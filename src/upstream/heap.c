#include "upstream/heap.h"

void
heap_init(struct heap *heap)
{
	heap->items = g_ptr_array_new();
}

void
heap_clear(struct heap *heap)
{
	g_ptr_array_free(heap->items, TRUE);
	heap->items = NULL;
}

unsigned
heap_count(const struct heap *heap)
{
	return (heap->items->len);
}

static struct heap_item *
item_at(const struct heap *heap, unsigned i)
{
	return (g_ptr_array_index(heap->items, i));
}

struct heap_item *
heap_top(const struct heap *heap)
{
	return (heap->items->len > 0 ? item_at(heap, 0) : NULL);
}

static bool
is_less(const struct heap_item *a, const struct heap_item *b)
{
	if (a->key < b->key || a->key > b->key)
		return (a->key < b->key);
	return (a->tie < b->tie);
}

struct heap_item *
heap_second(const struct heap *heap)
{
	if (heap->items->len < 2)
		return (NULL);
	if (heap->items->len == 2 ||
	    is_less(item_at(heap, 1), item_at(heap, 2)))
		return (item_at(heap, 1));
	return (item_at(heap, 2));
}

static void
item_put(struct heap *heap, unsigned i, struct heap_item *item)
{
	g_ptr_array_index(heap->items, i) = item;
	item->position = i + 1;
}

static void
sift_up(struct heap *heap, unsigned i)
{
	struct heap_item *item = item_at(heap, i);

	while (i > 0 && is_less(item, item_at(heap, (i - 1) / 2))) {
		item_put(heap, i, item_at(heap, (i - 1) / 2));
		i = (i - 1) / 2;
	}
	item_put(heap, i, item);
}

static void
sift_down(struct heap *heap, unsigned i)
{
	struct heap_item *item = item_at(heap, i);
	unsigned count = heap->items->len;

	for (;;) {
		unsigned child = 2 * i + 1;

		if (child + 1 < count &&
		    is_less(item_at(heap, child + 1), item_at(heap, child)))
			child++;
		if (child >= count || !is_less(item_at(heap, child), item))
			break;
		item_put(heap, i, item_at(heap, child));
		i = child;
	}
	item_put(heap, i, item);
}

void
heap_push(struct heap *heap, struct heap_item *item, double key)
{
	item->key = key;
	g_ptr_array_add(heap->items, item);
	sift_up(heap, heap->items->len - 1);
}

void
heap_rekey(struct heap *heap, struct heap_item *item, double key)
{
	item->key = key;
	sift_up(heap, item->position - 1);
	sift_down(heap, item->position - 1);
}

void
heap_remove(struct heap *heap, struct heap_item *item)
{
	unsigned i;
	struct heap_item *last;

	if (item->position == 0)
		return;
	i = item->position - 1;
	item->position = 0;
	last = item_at(heap, heap->items->len - 1);
	g_ptr_array_set_size(heap->items, (gint)heap->items->len - 1);
	if (last == item)
		return;
	item_put(heap, i, last);
	sift_up(heap, i);
	sift_down(heap, last->position - 1);
}
