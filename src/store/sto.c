#include "store/sto.h"

#include <string.h>

#include "lib/fnv.h"

uint32_t
sto_slot(const char *key)
{
	uint64_t hash = fnv_hash(key);

	return ((uint32_t)((hash ^ (hash >> 32)) % STO_SLOTS));
}

const struct sto_record *
sto_find(const struct sto_reply *reply, const char *key)
{
	for (size_t i = 0; i < reply->count; i++) {
		if (strcmp(reply->records[i].key, key) == 0)
			return (&reply->records[i]);
	}
	return (NULL);
}
