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

typedef struct worker_ledger {
	char worker[ID_MAX];
	ledger_t *ledger; /* with changes not yet written; NULL: none yet */
	uint64_t version; /* of the object, 0: there is none */
	bool stale;	  /* a write failed: read it again before use */
	bool dirty;	  /* changed since it was read or written */
	/* Orders that a write of unknown fate numbered; they never went out. */
	uint64_t unsent_from, unsent_to;
	ms_t read_at; /* the read that gave this version began then */
	load_report_t report;
	bool has_report;	 /* report holds one */
	bool report_pending;	 /* and it hasn't been put to the ledger */
	ms_t no_orders_until;	 /* after an order without an answer */
	backoff_t backoff;	 /* between those */
	GHashTable *orders_seen; /* order number to when we first saw it, ms */
} worker_ledger_t;

typedef struct ledger_cache {
	GHashTable *by_worker;
	uint64_t since; /* the watch goes on here, 0: list first */
} ledger_cache_t;

void ledger_cache_init(ledger_cache_t *cache);
void ledger_cache_destroy(ledger_cache_t *cache);
/** Forget all that was read, as a new holder of the lease must. */
void ledger_cache_reset(ledger_cache_t *cache);
/**
 * Bring all ledgers up to date: one read, and one more for each stale one.
 * @param by holds of its own that were never sent are given back.
 */
int ledger_cache_sync(ledger_cache_t *cache, platform_t *p,
    const ledger_sender_t *by, ms_t now, err_t *e);
/** The book of a worker, made when there is none. */
worker_ledger_t *ledger_cache_get(ledger_cache_t *cache, const char *worker);
/**
 * Write it, if nobody else has since it was read.
 * @return 0; -1: it is stale now and no order of it may go out.
 */
int worker_ledger_write(worker_ledger_t *wl, platform_t *p, err_t *e);
/** Ms since an order was first seen here. */
ms_t worker_ledger_order_age(worker_ledger_t *wl, uint64_t order, ms_t now);
/** What the newest report says of a hold, or NULL. */
const resident_t *worker_ledger_resident(
    const worker_ledger_t *wl, const reservation_t *h);

#endif
