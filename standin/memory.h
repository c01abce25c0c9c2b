/**
 * @file memory.h
 * The stand-in engine's memory: what is resident, and orders. It prevents no
 * over-commitment: it records it, so that tests see a broken promise.
 */
#ifndef STANDIN_MEMORY_H
#define STANDIN_MEMORY_H

#include "endpoint/endpoint.h"

#include <glib.h>
#include <jansson.h>

/** A model or adapter that takes memory, from its order until it is gone. */
typedef struct item {
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	uint32_t mb;
	resident_state_t state;
	bool fetching; /* its bytes are on their way */
	int users;     /* streams that need it */
} item_t;

typedef struct memory {
	GPtrArray *items;
	uint32_t capacity_mb, used_mb, peak_mb;
	uint64_t overcommits; /* loads that went beyond the capacity */
	bool fencing;
	uint64_t fence, last_order;
	uint64_t fence_number; /* of the order that brought the fence */
	uint64_t orders, refused;
	uint64_t loads, unloads; /* of them, begun */
	char role[ID_MAX];
} memory_t;

void memory_init(memory_t *m, uint32_t capacity_mb, bool fencing);
/**
 * Carry out an order.
 * @param load the item whose bytes have to be fetched now, or NULL.
 * @return the HTTP status.
 */
int memory_order(memory_t *m, const order_t *o, item_t **load);
/** An item's bytes are there. */
void memory_fetched(memory_t *m, item_t *it);
/** @return the ready item; version 0 is any. */
item_t *memory_ready(
    memory_t *m, const char *model, const char *adapter, uint64_t version);
void item_use(item_t *it);
void item_release(memory_t *m, item_t *it);
json_t *memory_json(const memory_t *m);
/** @return 0, or -1 if @p j is no order. */
int order_read(const json_t *j, order_t *o);

#endif
