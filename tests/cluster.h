/**
 * @file cluster.h
 * Test fixture for a small deployment: the store, the endpoints and the load
 * generator run in the test program, the daemons as real processes.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "standin/environment.h"
#include "tests/proc.h"

enum {
	CLUSTER_SEED = 1, /* of the load that is drawn */
};

typedef struct cluster {
	char *dir, *sizes;
	environment_t *env;
	proc_t *daemon[DAEMONS_MAX];
	/* Under build/bin; NULL: "ebonypitchd". For daemons started later. */
	const char *program[DAEMONS_MAX];
	loadgen_result_t result;
} cluster_t;

/**
 * Start a deployment and wait until all daemons are ready.
 * @param more sizes that differ from the defaults, as "key = n" lines
 */
cluster_t *cluster_new(const char *more);
/** The same with daemons of another program. */
cluster_t *cluster_new_of(const char *more, const char *program);
void cluster_free(cluster_t *cluster);
/** Start daemon @p i; if it still runs, it is killed first. */
void cluster_start_daemon(cluster_t *cluster, int i);
/**
 * Run the load for @p span ms, then check what must hold under any fault: no
 * mismatched answer, no stream with events of several versions, no call run
 * twice that may run once, no call that ran reported as not run, no endpoint
 * over its memory.
 * @param turn called each turn with the ms since the start, may be NULL
 */
void cluster_run_load(cluster_t *cluster, ms_t span,
    void (*turn)(void *arg, ms_t since), void *arg);

#endif
