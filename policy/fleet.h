/**
 * @file fleet.h
 * The fleet as place.c sees it during one step: copies linked by item and by
 * worker, counts that planned moves keep up to date, and the predicted load.
 */
#ifndef FLEET_H
#define FLEET_H

#include "policy/policy.h"

enum {
	NONE = -1,
	DOMAINS_MAX = 32, /* failure domains told apart */
};

typedef struct fleet_copy {
	int worker, item;
	place_state_t state;
	bool counted; /* usable worker, and for an adapter its base is there */
	double predicted_calls; /* calls in progress that it is predicted to
				   take */
	int item_next, worker_next;
} fleet_copy_t;

typedef struct fleet_worker {
	int domain, service;
	int first_copy;	      /* first in the list */
	int64_t free_mb;      /* MB, less what is planned to come */
	int64_t unloading_mb; /* MB that will be free, not yet spoken for */
	double spare_calls;   /* calls in progress that it could still take */
	uint64_t hash;
} fleet_worker_t;

typedef struct fleet_item {
	int service, group;
	int next_version;		/* item of the same name */
	int first_copy;			/* first in the list */
	int ready;			/* copies that count and are ready */
	int loading;			/* that count and are coming */
	int domain_copies[DOMAINS_MAX]; /* of both, by failure domain */
	int ndomains;			/* of those, not zero */
	int domain_ready[DOMAINS_MAX];
	int ready_domains;
	double demand;		/* calls in progress, without its adapters' */
	double predicted_calls; /* of those, what the copies take */
	uint64_t hash;
} fleet_item_t;

/** All versions of one name. */
typedef struct version_group {
	int first_item;	  /* item */
	int ready;	  /* copies that count */
	int wanted_ready; /* of versions that are wanted */
	int nwanted;	  /* such versions */
	int copies_min;
} version_group_t;

typedef struct fleet {
	const place_input_t *in;
	fleet_copy_t *copy;
	int ncopy, copy_capacity;
	fleet_worker_t *worker;
	fleet_item_t *item;
	version_group_t *group;
	int nservice;
	int ndomain;
	int *item_order; /* scratch, one an item */
} fleet_t;

int fleet_init(fleet_t *f, const place_input_t *in, err_t *e);
void fleet_free(fleet_t *f);
/** The copy of an item on a worker, or NONE. */
int fleet_find_copy(const fleet_t *f, int worker, int item);
/** Is a version of the base ready on the worker? */
bool fleet_has_base(const fleet_t *f, int worker, int item);
/** A copy will come. @return 0, or -1 (out of memory). */
int fleet_plan_load(fleet_t *f, int worker, int item, err_t *e);
/** A ready copy will go; its memory is free only later. */
void fleet_plan_unload(fleet_t *f, int copy);
/** Is one an adapter of a version of the other? */
bool fleet_is_adapter_of(
    const fleet_t *f, const fleet_copy_t *adapter, const fleet_copy_t *base);
/** Does another version of this base stay on the worker? */
bool fleet_has_other_version(const fleet_t *f, int copy);
/**
 * May a ready copy go, with the adapters that stand on it?
 * @param spread then too if its item is left in one failure domain
 */
bool fleet_may_unload(const fleet_t *f, int copy, bool allow_one_domain);
/** Calls, times @p margin, that would find no other copy if this one went. */
double fleet_unserved_without(const fleet_t *f, int copy, double margin);

#endif
