#include "upstream/heap.h"

void
ups_heap_init(struct ups_heap *heap)
{
	heap->items = g_ptr_array_new();
}

void
ups_heap_clear(struct ups_heap *heap)
{
	g_ptr_array_free(heap->items, TRUE);
	heap->items = NULL;
}

unsigned
ups_heap_count(const struct ups_heap *heap)
{
	return (heap->items->len);
}

static struct ups_heap_item *
item_at(const struct ups_heap *heap, unsigned i)
{
	return (g_ptr_array_index(heap->items, i));
}

struct ups_heap_item *
ups_heap_top(const struct ups_heap *heap)
{
	return (heap->items->len > 0 ? item_at(heap, 0) : NULL);
}

static bool
is_less(const struct ups_heap_item *a, const struct ups_heap_item *b)
{
	if (a->key < b->key || a->key > b->key)
		return (a->key < b->key);
	return (a->tie < b->tie);
}

struct ups_heap_item *
ups_heap_second(const struct ups_heap *heap)
{
	if (heap->items->len < 2)
		return (NULL);
	if (heap->items->len == 2 ||
	    is_less(item_at(heap, 1), item_at(heap, 2)))
		return (item_at(heap, 1));
	return (item_at(heap, 2));
}

static void
item_put(struct ups_heap *heap, unsigned i, struct ups_heap_item *item)
{
	g_ptr_array_index(heap->items, i) = item;
	item->place = i + 1;
}

static void
sift_up(struct ups_heap *heap, unsigned i)
{
	struct ups_heap_item *item = item_at(heap, i);

	while (i > 0 && is_less(item, item_at(heap, (i - 1) / 2))) {
		item_put(heap, i, item_at(heap, (i - 1) / 2));
		i = (i - 1) / 2;
	}
	item_put(heap, i, item);
}

static void
sift_down(struct ups_heap *heap, unsigned i)
{
	struct ups_heap_item *item = item_at(heap, i);
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
ups_heap_push(struct ups_heap *heap, struct ups_heap_item *item, double key)
{
	item->key = key;
	g_ptr_array_add(heap->items, item);
	sift_up(heap, heap->items->len - 1);
}

void
ups_heap_rekey(struct ups_heap *heap, struct ups_heap_item *item, double key)
{
	item->key = key;
	sift_up(heap, item->place - 1);
	sift_down(heap, item->place - 1);
}

void
ups_heap_remove(struct ups_heap *heap, struct ups_heap_item *item)
{
	unsigned i;
	struct ups_heap_item *last;

	if (item->place == 0)
		return;
	i = item->place - 1;
	item->place = 0;
	last = item_at(heap, heap->items->len - 1);
	g_ptr_array_set_size(heap->items, (gint)heap->items->len - 1);
	if (last == item)
		return;
	item_put(heap, i, last);
	sift_up(heap, i);
	sift_down(heap, last->place - 1);
}
