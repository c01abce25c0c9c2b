/**
 * @file fake_store.h
 * An object store that speaks the platform's protocol on the event loop of the
 * program that creates it, with injected faults.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "net/net.h"

#include <glib.h>

typedef enum store_fault {
	STORE_OK,
	STORE_SILENT,	   /* reads requests and never answers */
	STORE_BUSY,	   /* 503 */
	STORE_RATE_LIMIT,  /* 429 */
	STORE_RESET,	   /* closes the connection at each request */
	STORE_LOST_ANSWER, /* applies writes and doesn't answer them */
} store_fault_t;

typedef struct fake_store fake_store_t;

fake_store_t *fake_store_new(loop_t *l, const char *addr);
/** @return the spec to show instead of @p spec, g_malloc'd, or NULL: the same
 */
typedef char *store_view_fn(
    void *arg, const char *kind, const char *name, const char *spec);
/**
 * Listen on a further address, where objects are shown as @p view returns them.
 */
void fake_store_add_view(
    fake_store_t *s, const char *addr, store_view_fn *view, void *arg);
/** Read requests on such an address and don't answer them. */
void fake_store_silence_view(fake_store_t *s, const char *addr, bool silent);
/**
 * Nothing comes on the connections made to an address so far, and they aren't
 * closed; new ones work.
 */
void fake_store_hang_connections(fake_store_t *s, const char *addr);
/** Answer requests on such an address with 503. */
void fake_store_refuse_view(fake_store_t *s, const char *addr, bool refuses);
/** Create or replace an object. @p spec is JSON text. @return the revision. */
int64_t fake_store_put(
    fake_store_t *s, const char *kind, const char *name, const char *spec);
/** Delete an object; watches are told of it. */
void fake_store_del(fake_store_t *s, const char *kind, const char *name);
/** @return the JSON text of an object's spec, or NULL if there is none. */
const char *fake_store_get(fake_store_t *s, const char *kind, const char *name);
/**
 * Create or replace an object whose spec is shown as this text, which need not
 * be readable JSON.
 */
void fake_store_put_text(
    fake_store_t *s, const char *kind, const char *name, const char *text);
/** Answer lists in pages of so many objects, ordered by name. */
void fake_store_set_page(fake_store_t *s, int n);
/** Call @p fn before each page but the first. */
void fake_store_set_page_fn(fake_store_t *s, void (*fn)(void *arg), void *arg);
void fake_store_set_fault(fake_store_t *s, store_fault_t f);
/** Answer 503 to requests for one kind of objects; NULL: to none. */
void fake_store_refuse_kind(fake_store_t *s, const char *kind);
/** Drop the change history up to now and close the watches. */
void fake_store_compact(fake_store_t *s);
/** The same for one kind of objects. */
void fake_store_compact_kind(fake_store_t *s, const char *kind);
/** While set, watches aren't told of changes. */
void fake_store_mute_watches(fake_store_t *s, bool muted);
/**
 * Answer watches that allow copies ("serializable") from a copy this old, whose
 * history is never dropped. 0: from the objects themselves.
 */
void fake_store_set_copy_age(fake_store_t *s, ms_t age);
/**
 * Name the store's era in all answers from now on, and keep a copy of it now.
 */
void fake_store_begin_eras(fake_store_t *s);
/** Keep another copy, instead of the last one. */
void fake_store_keep_copy(fake_store_t *s);
/**
 * Come back from that copy, in the next era: what was written since is gone,
 * its revisions are given out again, and all connections are closed.
 */
void fake_store_return_to_copy(fake_store_t *s);
/** @return requests since the start. */
int fake_store_requests(const fake_store_t *s);
void fake_store_free(fake_store_t *s);

#endif
