/**
 * @file memory.h
 * The stand-in engine's memory: resident models and adapters, and orders. Loads
 * beyond the capacity are carried out and counted, so that tests see them.
 */
#ifndef STANDIN_MEMORY_H
#define STANDIN_MEMORY_H

#include "endpoint/endpoint.h"

#include <glib.h>
#include <jansson.h>

/** A model or adapter; it takes memory from its order until it is freed. */
typedef struct item {
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	uint32_t mb;
	resident_state_t state;
	bool fetching; /* its bytes are being loaded */
	int users;     /* streams that use it */
} item_t;

typedef struct memory {
	GPtrArray *items;
	uint32_t capacity_mb, used_mb, peak_mb;
	uint64_t overcommits; /* loads beyond the capacity */
	bool fencing;
	uint64_t max_fencing_token, last_order;
	uint64_t max_token_order; /* number of the order with that token */
	uint64_t orders, refused;
	uint64_t loads, unloads; /* started by these orders */
	char role[ID_MAX];	 /* set by the last role order */
} memory_t;

void memory_init(memory_t *m, uint32_t capacity_mb, bool fencing);
/**
 * Carry out an order.
 * @param to_load set to the item whose bytes have to be fetched now, or NULL.
 * @return the HTTP status.
 */
int memory_order(memory_t *m, const order_t *o, item_t **to_load);
/** An item's bytes have been loaded. */
void memory_fetched(memory_t *m, item_t *it);
/** @return the item if it is ready, or NULL; version 0 matches any. */
item_t *memory_ready(
    memory_t *m, const char *model, const char *adapter, uint64_t version);
/** Count a user of the item, which may be NULL. */
void item_use(item_t *it);
/** Release it; an item that is being unloaded is freed with its last user. */
void item_release(memory_t *m, item_t *it);
/** @return the items as a JSON array. */
json_t *memory_json(const memory_t *m);
/** Decode an order. @return 0, or -1 if @p j isn't one. */
int order_read(const json_t *j, order_t *o);

#endif
