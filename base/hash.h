/**
 * @file hash.h
 * A hash of bytes that arrive in pieces. How they are cut doesn't change it.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#define XXH_STATIC_LINKING_ONLY /* for the size of the state */
#include <xxhash.h>

#include <stddef.h>
#include <stdint.h>

typedef struct hasher {
	XXH64_state_t state;
} hasher_t;

void hasher_init(hasher_t *h);
void hasher_add(hasher_t *h, const void *p, size_t n);
/** Add a string with its end, so that two strings differ from one. */
void hasher_add_str(hasher_t *h, const char *s);
/** @return the hash of what was added so far */
uint64_t hasher_sum(const hasher_t *h);

#endif
