/**
 * @file coverage.h
 * Whether an instance that reads old copies of the store may rely on others for
 * what leaves.
 *
 * An instance that watches the store sees each change after the list that it
 * began with, and announces what leaves. It claims in its heartbeats between
 * which revisions it has watched, and how long ago the store last answered it.
 * A reader is covered while such claims follow each other without a gap: a
 * watcher that began later than what the reader knows may have missed
 * something. Once the claims have stopped, only a fresh answer of the store to
 * the reader itself makes up for it.
 */
#ifndef COVERAGE_H
#define COVERAGE_H

#include "base/base.h"

/** What a watching instance has seen. */
typedef struct coverage_claim {
	int64_t from; /* revision of the list that its watch began with */
	int64_t upto; /* revision of its last answer */
	ms_t ago;     /* since that answer */
} coverage_claim_t;

/** What one instance knows. All zero: nothing. */
typedef struct coverage {
	int64_t upto; /* it has missed nothing up to this revision ... */
	ms_t at;      /* ... which was the latest at this time, 0: never */
} coverage_t;

/** The store gave a fresh answer, of this revision. */
void coverage_fresh(coverage_t *c, int64_t revision, ms_t now);
/** It answered from a copy that had this revision. */
void coverage_copy(coverage_t *c, int64_t revision);
/**
 * Another instance claims to have watched.
 * @param limit ms for which an answer covers
 * @return whether that covers this instance
 */
bool coverage_claimed(
    coverage_t *c, const coverage_claim_t *claim, ms_t limit, ms_t now);
/** @return whether it is covered now */
bool coverage_holds(const coverage_t *c, ms_t limit, ms_t now);

#endif
