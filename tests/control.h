/**
 * @file control.h
 * Test rig for controld's node, follower and planner. They run in child
 * processes forked from the test program, so that they can be suspended,
 * resumed and killed. Programs that have threads can't use it.
 */
#ifndef TESTS_CONTROL_H
#define TESTS_CONTROL_H

#include "tests/proc.h"

enum {
	RIG_CONTROLS_MAX = 3,
	RIG_ENGINES_MAX = 4
};

/** A platform, engines of the service "llm", and control processes. */
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

/** Start the platform and the engines, but no control process. */
rig_t *rig_start(int ncontrol, int nengine, int memory_mb, bool fencing);
/** (Re)start control process @p i. */
void rig_start_control(rig_t *r, int i);
/** (Re)start engine @p i, with empty memory. */
void rig_start_engine(rig_t *r, int i);
/** Kill the processes that still run, and free. */
void rig_stop(rig_t *r);
/**
 * Apply a release note with the settings of control process @p i; fails the
 * test if it is refused. @return its number.
 */
uint64_t rig_apply_note(rig_t *r, int i, const char *text);
/** Set faults of a stand-in, given as JSON. */
void rig_set_faults(const char *addr, const char *json);
/** @return an integer member of a JSON page, or -1 if it is missing. */
int64_t rig_json_int(const char *addr, const char *path, const char *name);
/** @return the number of engines that report an item as ready. */
int rig_ready_copies(rig_t *r, const char *item, uint64_t version);
/** Assert that no engine has ever exceeded its capacity. */
void rig_check_memory(rig_t *r);
/** @return the MB that the ledgers reserve for loads with unknown outcome. */
int64_t rig_unsettled_mb(rig_t *r);

#endif
