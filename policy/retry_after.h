/**
 * @file retry_after.h
 * The time for which an endpoint wants no call of this instance, as its answers
 * with Retry-After say. Each of them holds until its own end: a shorter time
 * that is read later, maybe of a call that was sent earlier, doesn't end a
 * longer one.
 */
#ifndef RETRY_AFTER_H
#define RETRY_AFTER_H

#include "base/base.h"

/** What an endpoint has asked for. All zero: nothing. */
typedef struct retry_after {
	ms_t until; /* on the local clock */
} retry_after_t;

/** An answer asks for @p span ms from now on. */
void retry_after_asked(retry_after_t *r, ms_t span, ms_t now);
/** @return ms until calls may be sent again, 0: now */
ms_t retry_after_left(const retry_after_t *r, ms_t now);

#endif
