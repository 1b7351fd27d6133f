#include "store/sto.h"

#include <string.h>

uint32_t
sto_slot(const char *key)
{
	/* FNV-1a, 64 bits: the same on every instance and version. */
	uint64_t hash = 14695981039346656037U;

	for (const char *p = key; *p != '\0'; p++)
		hash = (hash ^ (unsigned char)*p) * 1099511628211U;
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
