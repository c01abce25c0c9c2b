/**
 * @file batch.h
 * The stand-in engine's continuous batch: streams, prefix cache and the record
 * of what ran. The engine's one lock protects all of it.
 */
#ifndef STANDIN_BATCH_H
#define STANDIN_BATCH_H

#include "standin/memory.h"

/** A call that the engine accepted; kept after its stream is freed. */
typedef struct call_record {
	uint64_t serial;
	char id[ID_MAX];
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	uint32_t offset; /* first token, above 0 when resumed */
	uint32_t tokens; /* generated */
	bool ended, cancelled;
} call_record_t;

typedef enum phase {
	PHASE_WAITING, /* for a prefill slot */
	PHASE_PREFILL,
	PHASE_DECODE,
	PHASE_ENDED,
	PHASE_CANCELLED,
} phase_t;

typedef struct stream {
	char id[ID_MAX];
	char *prompt;
	uint32_t from, made, total; /* token counts */
	bool cut_short;		    /* by max_tokens: finish is "length" */
	uint32_t priority;	    /* lowest number first */
	phase_t phase;
	ms_t due;	 /* time of its next step */
	ms_t prefill_ms; /* duration of its prefill */
	ms_t idle_since; /* without a reader since then, 0: has one */
	uint64_t serial;
	int refs; /* of the batch and the readers */
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
	double slow_factor; /* multiplies all durations */
	rng_t rng;
	/* Cached blocks of prompts, most recently used last. */
	GHashTable *blocks; /* hash to link in lru */
	GQueue lru;
	GQueue events;
	uint64_t event_seq;
	call_record_t *records;	   /* ring of the last RECORD_MAX */
	uint64_t started;	   /* calls accepted */
	ms_t first_at, last_at;	   /* first and last one, wall clock */
	void (*wake)(stream_t *s); /* resume the readers of a stream */
} batch_t;

void batch_init(batch_t *b, const batch_opts_t *o, memory_t *m);
/** Add a stream; the caller has checked that there is a free slot. */
stream_t *batch_add(batch_t *b, const char *id, const char *prompt,
    uint32_t from, uint32_t max_tokens, uint32_t priority, item_t *model,
    item_t *adapter);
stream_t *batch_find(batch_t *b, const char *id);
void batch_cancel(batch_t *b, stream_t *s);
void stream_unref(stream_t *s);
/** Do the steps that are due. @return the time of the next one. */
ms_t batch_step(batch_t *b, ms_t now);
/** @return the cache events after @p since that are past the report delay. */
json_t *batch_cache_json(const batch_t *b, uint64_t since, ms_t now);
/** Add "calls", "started", "first_at_ms" and "last_at_ms" to @p record. */
void batch_record(const batch_t *b, json_t *record);

#endif
