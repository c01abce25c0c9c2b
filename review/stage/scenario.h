#ifndef SCENARIO_H
#define SCENARIO_H

#include "review/stage/stage.h"

/** @return 0: the rule held, 1: it was broken, 2: the case couldn't run */
int scenario_run(const char *name);

#endif
