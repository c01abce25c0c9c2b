/**
 * @file instance_history.h
 * The platform stand-in's list of instances with its history, so that a reader
 * can be given the list as it was some time ago. No I/O, no lock.
 */
#ifndef STANDIN_INSTANCE_HISTORY_H
#define STANDIN_INSTANCE_HISTORY_H

#include "base/base.h"

#include <glib.h>
#include <jansson.h>

/** Changes of the list, oldest first. */
typedef GPtrArray instance_history_t;

instance_history_t *instance_history_new(void);
/** @param item the new value for @p id, taken over; NULL removes it. */
void instance_history_set(
    instance_history_t *l, const char *id, json_t *item, ms_t now);
/** @return {"items"} as of time @p upto. */
json_t *instance_history_read(const instance_history_t *l, ms_t upto);

#endif
