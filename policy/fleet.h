/**
 * @file fleet.h
 * The state of the fleet during one step of placement (place.c): the copies,
 * linked by item and by worker, counts that include the moves planned so far,
 * and the predicted load.
 */
#ifndef FLEET_H
#define FLEET_H

#include "policy/policy.h"

enum {
	NONE = -1, /* no index, or the end of a list */
	/* Names that are told apart, of failure domains and of services; any
	 * further ones share the last index. */
	DOMAINS_DISTINCT = 32,
};

/** One item on one worker. */
typedef struct fleet_copy {
	int worker, item; /* indexes */
	place_state_t state;
	/*
	 * Ready or loading, on a usable worker, and for an adapter its base
	 * is ready there: it is included in the counts below.
	 */
	bool counted;
	double predicted_calls;	    /* concurrent; its part of the demand */
	int item_next, worker_next; /* next copy of the item, on the worker */
} fleet_copy_t;

typedef struct fleet_worker {
	int domain, service; /* indexes */
	int first_copy;
	int64_t free_mb;      /* less the planned loads; may be negative */
	int64_t unloading_mb; /* what unloads will add to free_mb */
	double spare_calls;   /* further concurrent calls that it could take */
	uint64_t hash;
} fleet_worker_t;

typedef struct fleet_item {
	int service, group; /* indexes */
	int next_version;   /* next item of the group */
	int first_copy;
	int ready;   /* counted copies that are ready */
	int loading; /* counted copies that are loading */
	int domain_copies[DOMAINS_DISTINCT]; /* ready or loading, by domain */
	int ndomains;			     /* with at least one of them */
	int domain_ready[DOMAINS_DISTINCT]; /* ready copies by failure domain */
	int ready_domains;		    /* with at least one of them */
	double demand;		/* calls in progress, without its adapters' */
	double predicted_calls; /* the part of demand that its copies take */
	uint64_t hash;
} fleet_item_t;

/** All versions of one model or adapter name. */
typedef struct version_group {
	int first_item;
	int ready;	  /* counted copies that are ready */
	int wanted_ready; /* counted copies of wanted versions that are ready */
	int nwanted;	  /* versions that are wanted */
	int copies_min;	  /* the largest among these */
} version_group_t;

typedef struct fleet {
	const place_input_t *in;
	fleet_copy_t *copy;
	int ncopy, copy_capacity;
	fleet_worker_t *worker; /* same indexes as in->worker */
	fleet_item_t *item;	/* same indexes as in->item */
	version_group_t *group;
	int nservice;
	int ndomain;
	int *item_order; /* scratch, one an item */
} fleet_t;

/** @return 0, or -1 (out of memory). */
int fleet_init(fleet_t *f, const place_input_t *in, err_t *e);
void fleet_free(fleet_t *f);
/** @return the index of an item's copy on a worker, or NONE */
int fleet_find_copy(const fleet_t *f, int worker, int item);
/** @return true if any version of an adapter's base is ready on the worker */
bool fleet_has_base(const fleet_t *f, int worker, int item);
/** Add a copy that is loading. @return 0, or -1 (out of memory). */
int fleet_plan_load(fleet_t *f, int worker, int item, err_t *e);
/** Mark a ready copy as unloading. Its memory isn't free in this step. */
void fleet_plan_unload(fleet_t *f, int copy);
/** @return true if @p adapter is built on some version of @p base */
bool fleet_is_adapter_of(
    const fleet_t *f, const fleet_copy_t *adapter, const fleet_copy_t *base);
/** @return true if the worker has another ready version of the copy's name */
bool fleet_has_other_version(const fleet_t *f, int copy);
/**
 * May a ready copy be unloaded, with the adapters on the worker that need it?
 * @param allow_one_domain also if its item then has ready copies in only one
 * failure domain
 */
bool fleet_may_unload(const fleet_t *f, int copy, bool allow_one_domain);
/**
 * @return how many of the copy's predicted calls, times @p margin, would have
 * no slot at another copy if it were unloaded
 */
double fleet_unserved_without(const fleet_t *f, int copy, double margin);

#endif
