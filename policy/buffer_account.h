/**
 * @file buffer_account.h
 * The memory that an instance may use for requests: those that arrive, and the
 * bodies of those in progress. Large ones may use a part of it only, so that
 * small ones always find room. Until it is used up nothing is limited; then
 * the incomplete request that has held most for longest makes room.
 */
#ifndef BUFFER_ACCOUNT_H
#define BUFFER_ACCOUNT_H

#include "base/base.h"

enum {
	BUFFER_SMALL_MAX = 64 << 10, /* bytes of a small request */
};

typedef struct buffer_account {
	size_t bound;	    /* bytes, of all requests */
	size_t large_bound; /* of the large ones */
	size_t small, large;
} buffer_account_t;

/** @param memory bytes that the process may use for everything */
void buffer_account_init(buffer_account_t *a, size_t memory);
/**
 * What a request holds has changed.
 * @param held what it held before; set to @p bytes
 */
void buffer_account_change(buffer_account_t *a, size_t *held, size_t bytes);
/** @return bytes that have to be released now */
size_t buffer_account_over(const buffer_account_t *a);
/**
 * How much an incomplete request weighs; the one that weighs most makes room.
 * @param relevant whether releasing it helps: small ones give no room to large
 * ones
 */
double buffer_account_weight(
    const buffer_account_t *a, size_t held, ms_t age, bool *relevant);

#endif
