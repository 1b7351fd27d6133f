#include "lib/fnv.h"

#define OFFSET_BASIS 14695981039346656037U
#define PRIME	     1099511628211U

uint64_t
fnv_hash(const char *text)
{
	uint64_t hash = OFFSET_BASIS;

	for (; *text != '\0'; text++)
		hash = (hash ^ (unsigned char)*text) * PRIME;
	return (hash);
}
