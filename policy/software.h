/**
 * @file software.h
 * Which versions of their software the endpoints of a service have run lately.
 * A stream may go on only at the version that began it, so while a service has
 * had a single version for as long as a stream can last, any endpoint may take
 * up any stream.
 */
#ifndef SOFTWARE_H
#define SOFTWARE_H

#include "base/base.h"

enum {
	/* Longer than any stream, and than clocks differ. */
	STREAM_LIFE_MS = 60000,
	SOFTWARE_MAX = 256, /* versions of all services */
};

/** A version of a service's software; both are hashes of names. */
typedef struct software_seen {
	uint64_t service, version;
	ms_t at; /* last time an endpoint was seen with it */
} software_seen_t;

typedef struct software {
	software_seen_t seen[SOFTWARE_MAX];
	int nseen;
	ms_t complete_since; /* every version seen from then on is known */
	bool overflowed;     /* some were dropped: never complete */
} software_t;

/** @return the hash that names a version of a service, never 0 */
uint64_t software_hash(const char *service, const char *version);
/** @param since from when on all versions in use will be added */
void software_init(software_t *s, ms_t since);
/** An endpoint of the service runs this version. @return whether it's new. */
bool software_add(software_t *s, uint64_t service, uint64_t version, ms_t now);
/** Forget versions that weren't seen for as long as a stream can last. */
void software_expire(software_t *s, ms_t now);
/**
 * @return the only version that can have begun a stream that still lasts, 0: it
 * is one of several, or unknown
 */
uint64_t software_sole(const software_t *s, uint64_t service, ms_t now);

#endif
