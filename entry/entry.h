/**
 * @file entry.h
 * The router of entryd: forwards callers' calls to endpoints. One thread owns
 * all calls in progress; the HTTP server, the endpoint client and the peer
 * client pass messages to it through rings.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "base/base.h"

typedef struct entry entry_t;

typedef struct entry_opts {
	const settings_t *settings;
	uint64_t incarnation; /* wall clock at start, ms */
} entry_opts_t;

/** Starts all threads and listens. @return NULL on error. */
entry_t *entry_new(const entry_opts_t *o, err_t *e);
/** Begins a planned stop: refuses new calls, finishes those in progress. */
void entry_drain(entry_t *en);
/**
 * Whether no call is in progress and callers had caller.entries_age_ms to
 * refresh their list of entries.
 */
bool entry_drained(entry_t *en);
/** Answers the remaining calls with an error, stops and frees all. */
void entry_free(entry_t *en);

#endif
