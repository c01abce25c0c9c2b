/**
 * @file fake_store.h
 * A store of objects that speaks the platform's protocol, on the caller's
 * event loop, with faults to be set.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "net/net.h"

#include <glib.h>

typedef enum store_fault {
	STORE_OK,
	STORE_SILENT,	   /* takes calls and says nothing */
	STORE_BUSY,	   /* 503 */
	STORE_RATE_LIMIT,  /* 429 */
	STORE_RESET,	   /* closes at each call */
	STORE_LOST_ANSWER, /* writes are done and not answered */
} store_fault_t;

typedef struct fake_store fake_store_t;

fake_store_t *fake_store_new(loop_t *l, const char *addr);
/** Create or replace; @p spec is JSON text. @return the revision. */
int64_t fake_store_put(
    fake_store_t *s, const char *kind, const char *name, const char *spec);
void fake_store_del(fake_store_t *s, const char *kind, const char *name);
/** JSON text of an object's content, or NULL. */
const char *fake_store_get(fake_store_t *s, const char *kind, const char *name);
void fake_store_set_fault(fake_store_t *s, store_fault_t f);
/** History before now is gone, and watches are cut. */
void fake_store_compact(fake_store_t *s);
/** Watches that are asked from now on hear nothing. */
void fake_store_mute_watches(fake_store_t *s, bool muted);
/** Calls since the start. */
int fake_store_requests(const fake_store_t *s);
void fake_store_free(fake_store_t *s);

#endif
