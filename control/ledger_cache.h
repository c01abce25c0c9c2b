/**
 * @file ledger_cache.h
 * The ledgers as the planner last read them, each with its worker's newest
 * load report. One thread's.
 */
#ifndef LEDGER_CACHE_H
#define LEDGER_CACHE_H

#include "endpoint/endpoint.h"
#include "store/platform.h"
#include "policy/policy.h"

#include <glib.h>

typedef struct book {
	char worker[ID_MAX];
	ledger_t *l;	  /* with changes not yet written; NULL: none yet */
	uint64_t version; /* of the object, 0: there is none */
	bool stale;	  /* a write failed: read it again before use */
	bool dirty;	  /* changed since it was read or written */
	/* Orders that a write of unknown fate numbered; they never went out. */
	uint64_t unsent_from, unsent_to;
	ms_t read_at; /* the read that gave this version began then */
	load_report_t report;
	bool reported;	   /* report holds one */
	bool fresh;	   /* and it hasn't been put to the ledger */
	ms_t quiet_until;  /* after an order without an answer */
	backoff_t backoff; /* between those */
	GHashTable *seen;  /* order number to when we first saw it, ms */
} book_t;

typedef struct books {
	GHashTable *by_worker;
	uint64_t since; /* the watch goes on here, 0: list first */
} books_t;

void books_open(books_t *b);
void books_close(books_t *b);
/** Forget all that was read, as a new holder of the lease must. */
void books_forget(books_t *b);
/**
 * Bring all ledgers up to date: one read, and one more for each stale one.
 * @param by holds of its own that were never sent are given back.
 */
int books_sync(
    books_t *b, platform_t *p, const ledger_sender_t *by, ms_t now, err_t *e);
/** The book of a worker, made when there is none. */
book_t *books_get(books_t *b, const char *worker);
/**
 * Write it, if nobody else has since it was read.
 * @return 0; -1: it is stale now and no order of it may go out.
 */
int book_put(book_t *k, platform_t *p, err_t *e);
/** Ms since an order was first seen here. */
ms_t book_age(book_t *k, uint64_t order, ms_t now);
/** What the newest report says of a hold, or NULL. */
const resident_t *book_resident(const book_t *k, const reservation_t *h);

#endif
