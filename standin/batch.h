/**
 * @file batch.h
 * The stand-in engine's continuous batch: streams, the prefix cache, and the
 * record of what ran. All of it is under the engine's one lock.
 */
#ifndef STANDIN_BATCH_H
#define STANDIN_BATCH_H

#include "standin/memory.h"

/** A call the engine took on; kept after its stream is gone. */
typedef struct call_record {
	uint64_t serial;
	char id[ID_MAX];
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	uint32_t offset; /* it began here */
	uint32_t tokens; /* made */
	bool ended, cancelled;
} call_record_t;

typedef enum phase {
	PHASE_WAITING, /* for a place in the prefill */
	PHASE_PREFILL,
	PHASE_DECODE,
	PHASE_ENDED,
	PHASE_CANCELLED,
} phase_t;

typedef struct stream {
	char id[ID_MAX];
	char *prompt;
	uint32_t from, made, total;
	bool cut_short; /* by max_tokens: finish is "length" */
	uint32_t priority;
	phase_t phase;
	ms_t due;	 /* its next step */
	ms_t prefill_ms; /* ms its prefill takes */
	ms_t idle_since; /* nobody has read since, 0 if somebody does */
	uint64_t serial;
	int refs; /* the batch's and its readers' */
	item_t *model, *adapter;
	GPtrArray *readers; /* opaque to the batch */
} stream_t;

typedef struct batch_opts {
	uint32_t slots;
	ms_t token_ms, first_ms;
	uint64_t seed;
} batch_opts_t;

typedef struct cache_event {
	uint64_t seq;
	ms_t at;
	bool stored;
	uint64_t prefix;
} cache_event_t;

typedef struct batch {
	batch_opts_t opts;
	memory_t *memory;
	GHashTable *streams; /* by id; all phases */
	uint32_t in_flight, queued, prefilling;
	double slow_factor; /* factor on all times */
	rng_t rng;
	/* blocks of prompts, most recently used last */
	GHashTable *blocks; /* hash to its link in lru */
	GQueue lru;
	GQueue events;
	uint64_t event_seq;
	call_record_t *records; /* ring of the last RAN_MAX */
	uint64_t started;
	ms_t first_at, last_at;	   /* wall clock */
	void (*wake)(stream_t *s); /* its readers have something to do */
} batch_t;

void batch_init(batch_t *b, const batch_opts_t *o, memory_t *m);
/** Take a call on; the caller has checked that there is a slot. */
stream_t *batch_add(batch_t *b, const char *id, const char *prompt,
    uint32_t from, uint32_t most, uint32_t rank, item_t *model,
    item_t *adapter);
stream_t *batch_find(batch_t *b, const char *id);
void batch_cancel(batch_t *b, stream_t *s);
void stream_unref(stream_t *s);
/** Do what is due. @return when to come again. */
ms_t batch_step(batch_t *b, ms_t now);
/** Events of the cache after @p since that are old enough to be told. */
json_t *batch_cache_json(const batch_t *b, uint64_t since, ms_t now);
/** Adds "calls", "started", "first_at_ms", "last_at_ms" to @p record. */
void batch_record(const batch_t *b, json_t *record);

#endif
