/**
 * @file cluster.h
 * A small deployment for tests: store and endpoints in this process, daemons
 * as real processes, callers at a steady rate.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "standin/environment.h"
#include "tests/proc.h"

typedef struct cluster {
	char *dir, *sizes;
	environment_t *env;
	proc_t *daemon[DAEMONS_MAX];
	loadgen_result_t result;
} cluster_t;

/** All daemons are ready. @param more sizes that differ, "key = n" lines */
cluster_t *cluster_new(const char *more);
void cluster_free(cluster_t *cluster);
/** Start a daemon; one that still runs is killed first. */
void cluster_start_daemon(cluster_t *cluster, int i);
/**
 * Callers call for @p span ms; then check what must hold whatever fails:
 * nothing mixed, doubled, said falsely not to have run, over memory.
 * @param turn called each turn with the time since the start, may be NULL
 */
void cluster_run_load(cluster_t *cluster, ms_t span,
    void (*turn)(void *arg, ms_t since), void *arg);

#endif
