/*
 * rdv: rendezvous hashing.
 *
 * Processes that know the same nodes find the same one for a key without a
 * message.  A node that comes or goes moves only the keys that it gets or had.
 */
#ifndef SAMPHIRESHED_RDV_H
#define SAMPHIRESHED_RDV_H

#include <stdint.h>

/*
 * rdv_score(key, node)
 *	Return the score of a node for a key, both by their hashes.  The node
 *	with the highest score is the key's.
 */
uint32_t rdv_score(uint32_t key, uint32_t node);

#endif
