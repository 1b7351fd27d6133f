#include "store/store.h"

#include <string.h>

#include "lib/fnv.h"

uint32_t
store_slot(const char *key)
{
	uint64_t hash = fnv_hash(key);

	return ((uint32_t)((hash ^ (hash >> 32)) % STORE_SLOT_COUNT));
}

uint32_t
store_stream_slot(const char *key)
{
	return (store_slot(key) % STORE_STREAM_SLOT_COUNT);
}

const struct store_record *
store_reply_find(const struct store_reply *reply, const char *key)
{
	for (size_t i = 0; i < reply->count; i++) {
		if (strcmp(reply->records[i].key, key) == 0)
			return (&reply->records[i]);
	}
	return (NULL);
}
