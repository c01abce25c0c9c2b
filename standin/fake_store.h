/**
 * @file fake_store.h
 * A store of objects that speaks the platform's protocol, on the caller's
 * event loop, with faults to be set.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "net/net.h"

#include <glib.h>

typedef enum shelf_fault {
	SHELF_SOUND,
	SHELF_SILENT, /* takes calls and says nothing */
	SHELF_BUSY,   /* 503 */
	SHELF_LIMIT,  /* 429 */
	SHELF_RESET,  /* closes at each call */
	SHELF_LOST,   /* writes are done and not answered */
} shelf_fault_t;

typedef struct shelf shelf_t;

shelf_t *shelf_new(loop_t *l, const char *addr);
/** Create or replace; @p spec is JSON text. @return the revision. */
int64_t shelf_put(
    shelf_t *s, const char *kind, const char *name, const char *spec);
void shelf_del(shelf_t *s, const char *kind, const char *name);
/** JSON text of an object's content, or NULL. */
const char *shelf_get(shelf_t *s, const char *kind, const char *name);
void shelf_fault(shelf_t *s, shelf_fault_t f);
/** History before now is gone, and watches are cut. */
void shelf_compact(shelf_t *s);
/** Watches that are asked from now on hear nothing. */
void shelf_deaf(shelf_t *s, bool deaf);
/** Calls since the start. */
int shelf_calls(const shelf_t *s);
void shelf_free(shelf_t *s);

#endif
