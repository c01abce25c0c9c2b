/**
 * @file worker.h
 * What a shard's broker knows about one worker: the broker's own grants, the
 * worker's reports, which lag, and a circuit breaker. Used by the admission
 * code only: admit.c and shard.c.
 */
#ifndef WORKER_H
#define WORKER_H

#include "policy/policy.h"

enum {
	PREFIX_SLOTS = 1024,	 /* the latest prompt prefixes, by hash */
	ENDED_GRANTS_KEPT = 64,	 /* the latest grants that ended */
	LOST_REPORTS = 3,	 /* a grant that so many reports lack is lost */
	SPEED_MAX_AGE_MS = 2000, /* an older first_token_ms is ignored */
};

typedef enum circuit {
	CIRCUIT_CLOSED, /* in use */
	CIRCUIT_OPEN,	/* ejected until retry_at */
	CIRCUIT_PROBE,	/* one call at a time is sent as a probe */
} circuit_t;

/** A model or adapter that is resident at a worker. */
typedef struct holding {
	uint64_t item; /* hash of its name */
	uint64_t version;
} holding_t;

typedef struct ended_grant {
	ms_t granted_at, ended_at;
} ended_grant_t;

typedef struct worker {
	char id[ID_MAX]; /* empty: this array element is unused */
	uint64_t id_hash;
	bool leaving;
	int slots;

	int own_grants;	 /* that haven't ended, as far as known */
	int other_calls; /* reported beyond these: an earlier broker's */
	int lost_grants; /* own grants whose release was lost */
	/* Own grants that each of the last reports lacks. */
	int missing_grants[LOST_REPORTS];
	int reports;
	bool refused_call; /* it gets no call until its next report */
	ms_t reported_at;
	ended_grant_t ended[ENDED_GRANTS_KEPT];
	unsigned nended;

	double slot_ms; /* mean time that a call keeps a slot, 0: not known */
	double first_token_ms; /* mean time to the first token, 0: not known */
	ms_t first_token_at;   /* the last sample */
	int samples;

	circuit_t circuit;
	int failures;	/* in a row */
	handle_t probe; /* the grant of the probe, 0: none */
	ms_t retry_at;
	ms_t ejection_ms; /* doubles while probes fail */

	holding_t *holding; /* sorted by item */
	int nholding;
	uint64_t *prefix; /* by hash, 0: none; allocated on first use */
} worker_t;

/** Free its memory and mark the element unused. */
void worker_clear(worker_t *w);
/** @return the calls that take a slot there now, as far as known */
int worker_in_flight(const worker_t *w);
/** @return the free slots, whatever the circuit's state */
int worker_free_slots(const worker_t *w);
/** @return the highest version of the item there, NULL if it has none */
const holding_t *worker_holds(const worker_t *w, uint64_t item);
/** Replace the resident items. @return true if they changed */
bool worker_set_holding(worker_t *w, const admit_resident_t *r, int n);
/**
 * Correct the counts of calls by a report.
 * @param known own grants made before the report was taken
 * @param settled those of them old enough to have reached the worker
 */
void worker_report(
    worker_t *w, const admit_report_t *r, int known, int settled);
/**
 * A grant ended: update the counts and averages.
 * @param first ms to the first token, negative if there was none
 * @param tokens of the answer
 */
void worker_grant_ended(worker_t *w, call_outcome_t outcome, ms_t granted_at,
    ms_t first, uint32_t tokens, ms_t now);
/**
 * Eject a worker that fails calls or is far slower than the others; close the
 * circuit again after a successful probe.
 * @param usual the other workers' median time to the first token, ms
 * @param probed the call that just ended was the probe
 * @param may_eject enough other workers are in use
 */
void worker_update_circuit(worker_t *w, double usual, bool probed,
    bool may_eject, rng_t *rng, ms_t now);
/** May calls be sent there now? Not if its reports have stopped. */
bool worker_available(const worker_t *w, ms_t now);
/** A call with that prompt prefix is sent there. */
void worker_add_prefix(worker_t *w, uint64_t prefix);
/** @return true if the prefix is likely still cached there */
bool worker_has_prefix(const worker_t *w, uint64_t prefix);

#endif
