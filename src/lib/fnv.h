/*
 * fnv: 64-bit FNV-1a hash, the same on every instance and version.
 */
#ifndef SAMPHIRESHED_FNV_H
#define SAMPHIRESHED_FNV_H

#include <stdint.h>

uint64_t fnv_hash(const char *text);

#endif
