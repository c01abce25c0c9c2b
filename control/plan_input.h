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
	COMING_MS = 3000, /* a load not seen after this is taken for lost */
	RESEND_MS = 1500, /* an unload not seen after this is sent again */
	LOST_MS = 3000,	  /* a worker unreached for this has no copies */
};

typedef struct picture {
	GArray *worker;	   /* place_worker_t */
	GPtrArray *book;   /* each worker's */
	GPtrArray *addr;   /* each worker's, the view's string */
	GArray *item;	   /* place_item_t */
	GPtrArray *model;  /* each item's model name; not owned */
	GArray *copy;	   /* place_copy_t */
	GHashTable *index; /* "model adapter version" to item + 1 */
	int model_loads, adapter_loads; /* under way */
} picture_t;

void picture_open(picture_t *pic);
void picture_close(picture_t *pic);
/** Fill it in anew. @p v and the books must outlive its use. */
void picture_draw(picture_t *pic, const view_t *v, books_t *b,
    const demand_t *d, const settings_t *s, ms_t now);
/** The order's item for an item of the picture. */
ledger_item_t picture_item(const picture_t *pic, int item);
/** Where a hold stands. */
place_state_t hold_held(book_t *k, const reservation_t *h, ms_t now);

#endif
