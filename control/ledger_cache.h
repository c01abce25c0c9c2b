/**
 * @file ledger_cache.h
 * The planner's copies of the workers' ledgers, each with its worker's newest
 * load report. Used by one thread.
 */
#ifndef LEDGER_CACHE_H
#define LEDGER_CACHE_H

#include "endpoint/endpoint.h"
#include "store/platform.h"
#include "policy/policy.h"

#include <glib.h>

typedef struct worker_ledger {
	char worker[ID_MAX];
	ledger_t *ledger; /* may have unwritten changes; NULL: none yet */
	uint64_t version; /* of the stored object; 0: none */
	bool stale;	  /* must be read again before use */
	bool dirty;	  /* has unwritten changes */
	/* Numbers of the orders in writes that failed, but that may have taken
	 * effect or still do. None of these orders was sent. */
	uint64_t unsent_from, unsent_to;
	ms_t read_at; /* start of the read that gave this version */
	load_report_t report;
	bool has_report;      /* report is valid */
	bool report_pending;  /* not yet applied to the ledger */
	ms_t no_orders_until; /* set if the worker is unreachable or silent */
	backoff_t backoff;    /* for no_orders_until */
	/* Order number to the time when it was first seen, ms. */
	GHashTable *orders_seen;
} worker_ledger_t;

typedef struct ledger_cache {
	GHashTable *by_worker;
	uint64_t since; /* version to watch from; 0: list first */
} ledger_cache_t;

void ledger_cache_init(ledger_cache_t *cache);
void ledger_cache_destroy(ledger_cache_t *cache);
/** Drop everything that was read. A new lease holder must do so. */
void ledger_cache_reset(ledger_cache_t *cache);
/**
 * Bring all ledgers up to date: one read, and one more for each stale ledger.
 * @param by the sender whose reservations for unsent orders are released.
 * @return 0, or -1 on error
 */
int ledger_cache_sync(ledger_cache_t *cache, platform_t *p,
    const ledger_sender_t *by, ms_t now, err_t *e);
/** @return the entry of a worker, created if it is missing. */
worker_ledger_t *ledger_cache_get(ledger_cache_t *cache, const char *worker);
/**
 * Write the ledger, unless it was changed in the store since it was read.
 * @return 0; -1: it is now stale, and none of its unsent orders may be sent.
 */
int worker_ledger_write(worker_ledger_t *wl, platform_t *p, err_t *e);
/**
 * @return ms since this function was first called for the order; counted from 0
 * again when too many orders were kept.
 */
ms_t worker_ledger_order_age(worker_ledger_t *wl, uint64_t order, ms_t now);
/** @return the newest report's record of a reserved item, or NULL. */
const resident_t *worker_ledger_resident(
    const worker_ledger_t *wl, const reservation_t *res);

#endif
