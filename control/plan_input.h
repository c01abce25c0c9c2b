/**
 * @file plan_input.h
 * What placement decides on, made of the catalogue, the workers and the
 * ledgers with their reports.
 */
#ifndef PLAN_INPUT_H
#define PLAN_INPUT_H

#include "control/ledger_cache.h"
#include "control/demand.h"

enum {
	LOAD_SETTLE_MS = 3000,	  /* a load not reported after this is lost */
	UNLOAD_RESEND_MS = 1500,  /* an unload not reported by then is resent */
	REPORT_MAX_AGE_MS = 3000, /* then its worker is taken as unreachable */
};

typedef struct plan_input {
	GArray *worker;	   /* place_worker_t */
	GPtrArray *ledger; /* each worker's */
	GPtrArray *addr;   /* each worker's, the view's string */
	GArray *item;	   /* place_item_t */
	GPtrArray *model;  /* each item's model name; not owned */
	GArray *copy;	   /* place_copy_t */
	GHashTable *index; /* "model adapter version" to item + 1 */
	int model_loads, adapter_loads; /* under way */
} plan_input_t;

void plan_input_init(plan_input_t *in);
void plan_input_destroy(plan_input_t *in);
/** Fill it in anew. @p v and the books must outlive its use. */
void plan_input_fill(plan_input_t *in, const view_t *v, ledger_cache_t *cache,
    const demand_t *d, const settings_t *s, ms_t now);
/** The order's item for an item of the picture. */
ledger_item_t plan_input_ledger_item(const plan_input_t *in, int item);
/** Where a hold stands. */
place_state_t reservation_place_state(
    worker_ledger_t *wl, const reservation_t *h, ms_t now);

#endif
