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
	DOMAINS_KEPT = 32, /* failure domains told apart */
};

typedef struct copy {
	int worker, item;
	place_state_t held;
	bool counts; /* usable worker, and for an adapter its base is there */
	double load; /* calls in progress that it is predicted to take */
	int item_next, worker_next;
} copy_t;

typedef struct host {
	int domain, service;
	int copies;    /* first in the list */
	int64_t free;  /* MB, less what is planned to come */
	int64_t going; /* MB that will be free, not yet spoken for */
	double spare;  /* calls in progress that it could still take */
	uint64_t hash;
} host_t;

typedef struct thing {
	int service, family;
	int family_next;	  /* item of the same name */
	int copies;		  /* first in the list */
	int ready;		  /* copies that count and are ready */
	int coming;		  /* that count and are coming */
	int domain[DOMAINS_KEPT]; /* of both, by failure domain */
	int domains;		  /* of those, not zero */
	int ready_in[DOMAINS_KEPT];
	int ready_domains;
	double demand; /* calls in progress, without its adapters' */
	double load;   /* of those, what the copies take */
	uint64_t hash;
} thing_t;

/** All versions of one name. */
typedef struct family {
	int first;	  /* item */
	int ready;	  /* copies that count */
	int wanted_ready; /* of versions that are wanted */
	int wanted;	  /* such versions */
	int copies_min;
} family_t;

typedef struct fleet {
	const place_input_t *in;
	copy_t *copy;
	int ncopy, room;
	host_t *host;
	thing_t *thing;
	family_t *family;
	int nservice;
	int ndomain;
	int *order; /* scratch, one an item */
} fleet_t;

int fleet_init(fleet_t *f, const place_input_t *in, err_t *e);
void fleet_free(fleet_t *f);
/** The copy of an item on a worker, or NONE. */
int fleet_copy(const fleet_t *f, int worker, int item);
/** Is a version of the base ready on the worker? */
bool fleet_has_base(const fleet_t *f, int worker, int item);
/** A copy will come. @return 0, or -1 (out of memory). */
int fleet_load(fleet_t *f, int worker, int item, err_t *e);
/** A ready copy will go; its memory is free only later. */
void fleet_unload(fleet_t *f, int copy);
/** Is one an adapter of a version of the other? */
bool fleet_on_base(const fleet_t *f, const copy_t *adapter, const copy_t *base);
/** Does another version of this base stay on the worker? */
bool fleet_base_stays(const fleet_t *f, int copy);
/**
 * May a ready copy go, with the adapters that stand on it?
 * @param spread then too if its item is left in one failure domain
 */
bool fleet_may_go(const fleet_t *f, int copy, bool spread);
/** Calls, times @p margin, that would find no other copy if this one went. */
double fleet_loss(const fleet_t *f, int copy, double margin);

#endif
