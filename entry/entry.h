/**
 * @file entry.h
 * entryd's duty: route callers' calls to endpoints. One thread owns all
 * calls in progress; callers' HTTP, endpoints and peers are joined to it by
 * rings.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "base/base.h"

typedef struct entry entry_t;

typedef struct entry_opts {
	const settings_t *settings;
	uint64_t incarnation; /* wall clock at the start, ms */
} entry_opts_t;

/** Starts all threads and listens. */
entry_t *entry_new(const entry_opts_t *o, err_t *e);
/** A planned stop begins: no new calls, those in progress go on. */
void entry_drain(entry_t *en);
/** Left for long enough and nothing is in progress any more. */
bool entry_drained(entry_t *en);
/** Ends what is left with an error and frees all. */
void entry_free(entry_t *en);

#endif
