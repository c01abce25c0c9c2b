/**
 * @file software.h
 * Which versions of their software the endpoints of a service have run lately.
 * A stream may go on only at the version that began it, so while a service has
 * had a single version for as long as a stream can last, any endpoint may take
 * up any stream.
 *
 * The history outlives all instances in the lease. So that it names each
 * version that began a stream, a version begins streams only once it is in the
 * lease.
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
	ms_t at;     /* last time an endpoint was seen with it */
	bool stored; /* it is in the lease */
	ms_t stored_at;
	bool writing; /* it is in a lease being written */
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
/** The lease has this version. @return whether that wasn't known */
bool software_mark_stored(software_t *s, uint64_t version, ms_t now);
/** The store has lost its last writes: those stored since don't count. */
void software_forget_stored(software_t *s, ms_t since);
/** The versions known now are being written to the lease. */
void software_write_began(software_t *s);
/** @return whether versions became stored by a write that succeeded */
bool software_write_ended(software_t *s, bool written, ms_t now);
/** @return whether a version that was seen lately isn't in the lease yet */
bool software_unstored(const software_t *s);
/** @return whether it is in the lease */
bool software_is_stored(const software_t *s, uint64_t version);
/** @return whether several versions of a service were seen lately */
bool software_several(const software_t *s, uint64_t service);
/** Forget versions that weren't seen for as long as a stream can last. */
void software_expire(software_t *s, ms_t now);
/**
 * @return the only version that can have begun a stream that still lasts, 0: it
 * is one of several, or unknown
 */
uint64_t software_sole(const software_t *s, uint64_t service, ms_t now);

#endif
