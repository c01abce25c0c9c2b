/**
 * @file json.h
 * Internal to store/: GET requests to the platform that return JSON.
 */
#ifndef STORE_JSON_H
#define STORE_JSON_H

#include "store/platform.h"

#include <jansson.h>

/** @return a new reference, or NULL with @p e set */
json_t *platform_json(platform_t *p, const char *path, err_t *e);

#endif
