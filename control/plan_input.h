/**
 * @file plan_input.h
 * Input of the placement, built from the catalogue, the workers and their
 * ledgers and load reports.
 */
#ifndef PLAN_INPUT_H
#define PLAN_INPUT_H

#include "control/ledger_cache.h"
#include "control/demand.h"

enum {
	LOAD_SETTLE_MS = 3000, /* a load unreported by then is taken as lost */
	UNLOAD_RESEND_MS = 1500,  /* an unload unreported by then is resent */
	REPORT_MAX_AGE_MS = 3000, /* after this its worker isn't usable */
};

typedef struct plan_input {
	GArray *worker;	   /* place_worker_t */
	GPtrArray *ledger; /* worker_ledger_t, one per worker */
	GPtrArray *addr;   /* one per worker; owned by the view */
	GArray *item;	   /* place_item_t */
	GPtrArray *model;  /* each item's model name; not owned */
	GArray *copy;	   /* place_copy_t */
	GHashTable *index; /* "model adapter version" to item + 1 */
	int model_loads, adapter_loads; /* in progress */
} plan_input_t;

void plan_input_init(plan_input_t *in);
void plan_input_destroy(plan_input_t *in);
/** Rebuild it. @p v and @p cache must outlive its use. */
void plan_input_fill(plan_input_t *in, const view_t *v, ledger_cache_t *cache,
    const demand_t *d, const settings_t *s, ms_t now);
/** @return the item at index @p item as ledgers and orders name it. */
ledger_item_t plan_input_ledger_item(const plan_input_t *in, int item);
/** @return the state of the copy for which @p res reserves memory. */
place_state_t reservation_place_state(
    worker_ledger_t *wl, const reservation_t *res, ms_t now);

#endif
