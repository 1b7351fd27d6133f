#include "lib/rdv.h"

uint32_t
rdv_score(uint32_t key, uint32_t node)
{
	uint32_t hash = key ^ (node * 0x9e3779b1U);

	hash = (hash ^ (hash >> 16)) * 0x7feb352dU;
	hash = (hash ^ (hash >> 15)) * 0x846ca68bU;
	return (hash ^ (hash >> 16));
}
