/**
 * @file json.h
 * Within the package: a read of the platform whose answer is JSON.
 */
#ifndef PLATFORM_JSON_H
#define PLATFORM_JSON_H

#include "store/platform.h"

#include <jansson.h>

/** @return a new reference, or NULL with @p e set. */
json_t *platform_json(platform_t *p, const char *path, err_t *e);

#endif
