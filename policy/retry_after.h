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
	ms_t until;	  /* on the local clock */
	int64_t asked_at; /* the last time, in ms since 1970 */
} retry_after_t;

/**
 * An answer asks for @p span ms from now on.
 * @param wall now, in ms since 1970
 */
void retry_after_asked(retry_after_t *r, ms_t span, ms_t now, int64_t wall);
/**
 * The endpoint's entry shows another process. What was asked for ends if that
 * surely began afterwards: an entry may be read later than an answer.
 * @param started_at start of the process, in ms since 1970
 */
void retry_after_restarted(retry_after_t *r, int64_t started_at);
/** @return ms until calls may be sent again, 0: now */
ms_t retry_after_left(const retry_after_t *r, ms_t now);

#endif
