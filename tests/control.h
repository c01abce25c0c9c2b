/**
 * @file control.h
 * For tests: what controld runs, in a child of the test program, so that it
 * can be stopped, woken and killed. Not for programs that have threads.
 */
#ifndef TESTS_CONTROL_H
#define TESTS_CONTROL_H

#include "tests/proc.h"

/** A platform, workers of "llm" and entries that run controld's duties. */
enum {
	RIG_CONTROLS_MAX = 3,
	RIG_ENGINES_MAX = 4
};

typedef struct rig {
	bool fencing;
	char *platform_addr;
	proc_t *platform;
	settings_t settings[RIG_CONTROLS_MAX];
	proc_t *control[RIG_CONTROLS_MAX];
	int ncontrol;
	char *engine_addr[RIG_ENGINES_MAX];
	proc_t *engine[RIG_ENGINES_MAX];
	int nengine;
	int memory_mb;
} rig_t;

/** Start the platform and engines of @p memory_mb; no control yet. */
rig_t *rig_start(int ncontrol, int nengine, int memory_mb, bool fencing);
/** (Re)start the duties of entry @p i. */
void rig_start_control(rig_t *r, int i);
/** (Re)start an engine's process with empty memory. */
void rig_start_engine(rig_t *r, int i);
/** Kill all that is left and free. */
void rig_stop(rig_t *r);
/** Apply a note over HTTP at entry @p i; fails the test if refused. */
uint64_t rig_apply_note(rig_t *r, int i, const char *text);
/** Set faults of a stand-in; several are given as JSON. */
void rig_set_faults(const char *addr, const char *json);
/** A number of a JSON answer, "a.b" for one within; -1: not there. */
int64_t rig_json_int(const char *addr, const char *path, const char *name);
/** Copies of an item that the engines say are ready. */
int rig_ready_copies(rig_t *r, const char *item, uint64_t version);
/** No engine was ever over its capacity. */
void rig_check_memory(rig_t *r);
/** MB that the ledgers reserve for loads that aren't settled. */
int64_t rig_doubtful_mb(rig_t *r);

#endif
