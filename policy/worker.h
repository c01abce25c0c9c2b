/**
 * @file worker.h
 * What a shard's broker knows of one worker: its own grants, the worker's
 * lagging reports, and a circuit. Used by admit.c only.
 */
#ifndef WORKER_H
#define WORKER_H

#include "policy/policy.h"

enum {
	PREFIX_SLOTS = 1024,	 /* a worker's latest prefixes */
	ENDED_GRANTS_KEPT = 64,	 /* a worker's latest ended grants */
	LOST_REPORTS = 3,	 /* reports that must agree on lost grants */
	SPEED_MAX_AGE_MS = 2000, /* after this an idle worker's speed is old */
};

typedef enum circuit {
	CIRCUIT_CLOSED, /* in use */
	CIRCUIT_OPEN,	/* ejected until retry_at */
	CIRCUIT_PROBE,	/* one call at a time tries it */
} circuit_t;

typedef struct holding {
	uint64_t item; /* hash of its name */
	uint64_t version;
} holding_t;

typedef struct ended_grant {
	ms_t granted_at, ended_at;
} ended_grant_t;

typedef struct worker {
	char id[ID_MAX]; /* empty: this place is free */
	uint64_t id_hash;
	bool leaving;
	int slots;

	int own_grants;	 /* live grants */
	int other_calls; /* reported beyond ours: an earlier broker's */
	int lost_grants; /* ours that ended without a release */
	int missing_grants[LOST_REPORTS]; /* grants that the last reports lack
					   */
	int reports;
	bool refused_call; /* it refused a call: none until it reports */
	ms_t reported_at;
	ended_grant_t ended[ENDED_GRANTS_KEPT];
	unsigned nended;

	double slot_ms;	       /* ms that a call keeps a slot, 0: not known */
	double first_token_ms; /* ms to the first token, 0: not known */
	ms_t first_token_at;   /* when that was learnt last */
	int samples;

	circuit_t circuit;
	int failures;	/* in a row */
	handle_t probe; /* the grant that tries it, 0: none */
	ms_t retry_at;
	ms_t ejection_ms; /* doubles while probes fail */

	holding_t *holding; /* sorted by item */
	int nholding;
	uint64_t *prefix; /* by hash, 0: none; made with the first */
} worker_t;

/** Give back what hangs on it. */
void worker_clear(worker_t *w);
/** Calls that keep a slot there now. */
int worker_in_flight(const worker_t *w);
/** Slots that a call could take now, whatever the circuit says. */
int worker_free_slots(const worker_t *w);
/** @return NULL if it doesn't hold the item. */
const holding_t *worker_holds(const worker_t *w, uint64_t item);
/** @return true if the residents changed. */
bool worker_set_holding(worker_t *w, const admit_resident_t *r, int n);
/**
 * Correct the counts by a report.
 * @param known live grants made before the report was taken
 * @param settled those of them old enough to have reached the worker
 */
void worker_report(
    worker_t *w, const admit_report_t *r, int known, int settled);
/** Learn from a call that had its slot since @p granted_at. */
void worker_grant_ended(worker_t *w, call_outcome_t how, ms_t granted_at,
    ms_t first, uint32_t tokens, ms_t now);
/**
 * Eject it if it fails, or is far slower than the others' @p usual first
 * token; take it back if its probe went well.
 * @param may_eject enough others are left
 */
void worker_update_circuit(worker_t *w, double usual, bool probed,
    bool may_eject, rng_t *rng, ms_t now);
/** May calls be sent there now? Reports that stopped speak against it. */
bool worker_available(const worker_t *w, ms_t now);
void worker_add_prefix(worker_t *w, uint64_t prefix);
bool worker_has_prefix(const worker_t *w, uint64_t prefix);

#endif
