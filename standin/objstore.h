/**
 * @file objstore.h
 * The platform stand-in's objects: values with versions, conditional updates,
 * the changes since a version. No I/O, no lock.
 */
#ifndef STANDIN_OBJSTORE_H
#define STANDIN_OBJSTORE_H

#include "base/base.h"

#include <glib.h>
#include <jansson.h>

typedef struct objstore objstore_t;

/** Condition of a write on the object's current state. */
typedef struct objstore_cond {
	bool absent; /* there is none */
	bool match;  /* it has this version */
	uint64_t version;
} objstore_cond_t;

typedef enum objstore_result {
	OBJSTORE_DONE,
	OBJSTORE_ABSENT,
	OBJSTORE_CONFLICT
} objstore_result_t;

objstore_t *objstore_new(void);
objstore_result_t objstore_put(objstore_t *s, const char *key,
    const GString *value, const objstore_cond_t *cond, uint64_t *version);
objstore_result_t objstore_del(
    objstore_t *s, const char *key, const objstore_cond_t *cond);
/**
 * @param stale in: give the value before the last one; out: was it given?
 * @return NULL if there is none.
 */
const GString *objstore_get(
    objstore_t *s, const char *key, bool *stale, uint64_t *version);
/** @return {"version","items"} with the objects under the prefix. */
json_t *objstore_list(objstore_t *s, const char *prefix);
/**
 * The same form, of what has changed after @p since.
 * @param n changes given. @return NULL if @p since is too old.
 */
json_t *objstore_changes(
    objstore_t *s, const char *prefix, uint64_t since, size_t *n);

#endif
