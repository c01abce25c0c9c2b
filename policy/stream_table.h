/**
 * @file stream_table.h
 * The software version that began each stream, until the stream's deadline.
 * Streams are named by the hash of the Request-Id of the attempt that brought
 * the first event.
 */
#ifndef STREAM_TABLE_H
#define STREAM_TABLE_H

#include "base/base.h"

enum {
	STREAM_TABLE_MAX =
	    65536, /* 24 bytes each, in at most twice as many slots */
};

typedef struct stream_record {
	uint64_t id; /* 0: free */
	uint64_t software;
	ms_t expires_at;
} stream_record_t;

typedef struct stream_table {
	stream_record_t *slot; /* open addressing, linear probing */
	int nslot, nused;      /* nslot: a power of two, or 0 */
	int64_t dropped;       /* records that didn't fit */
} stream_table_t;

/** Record a stream; the version of a known one stays, its expiry may move. */
void stream_table_put(
    stream_table_t *t, uint64_t id, uint64_t software, ms_t expires_at);
/** @return the version, 0: the stream isn't known */
uint64_t stream_table_get(const stream_table_t *t, uint64_t id, ms_t now);
/** Remove what has expired. */
void stream_table_expire(stream_table_t *t, ms_t now);
void stream_table_free(stream_table_t *t);

#endif
