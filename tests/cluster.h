/**
 * @file cluster.h
 * A small deployment for tests: store and endpoints in this process, daemons
 * as real processes, callers at a steady rate.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "standin/environment.h"
#include "tests/proc.h"

typedef struct bed {
	char *dir, *sizes;
	ground_t *ground;
	proc_t *daemon[DAEMONS];
	loadgen_result_t r;
} bed_t;

/** All daemons are ready. @param more sizes that differ, "key = n" lines */
bed_t *bed_new(const char *more);
void bed_free(bed_t *b);
/** Start a daemon; one that still runs is killed first. */
void bed_start(bed_t *b, int i);
/**
 * Callers call for @p span ms; then check what must hold whatever fails:
 * nothing mixed, doubled, said falsely not to have run, over memory.
 * @param turn called each turn with the time since the start, may be NULL
 */
void bed_call(
    bed_t *b, ms_t span, void (*turn)(void *arg, ms_t since), void *arg);

#endif
