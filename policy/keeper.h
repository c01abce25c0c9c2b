/**
 * @file keeper.h
 * The load of one endpoint, kept exactly by one instance, and which calls of
 * which instances may be sent there next. Where instances are many, what they
 * tell all others of their load is old when it arrives, and those that see the
 * same free endpoint all send there at once. So a call asks the instance that
 * keeps an endpoint: it is granted, or waits there by rank and by the time at
 * which it is late.
 */
#ifndef KEEPER_H
#define KEEPER_H

#include "policy/workload.h"

/** A call that wants to be sent to the endpoint. */
typedef struct keeper_ask {
	uint64_t asker; /* hash of the instance */
	uint32_t call;	/* its number there */
	int tokens;	/* prompt tokens to be processed */
	int kv;		/* KV cache tokens */
	int rank;	/* 0 is the most urgent */
	ms_t late_at;	/* its answer is late if it begins after that */
	ms_t heard_at;
} keeper_ask_t;

/** What one instance has at the endpoint, as it said. */
typedef struct keeper_share {
	uint64_t asker;
	workload_share_t share;
	ms_t heard_at;
} keeper_share_t;

typedef struct keeper {
	workload_t load;   /* its share others: all shares, and all grants */
	keeper_ask_t *ask; /* the next one first */
	int nask, ask_room;
	keeper_ask_t *grant; /* that no share shows yet; heard_at: granted at */
	int ngrant, grant_room;
	keeper_share_t *share;
	int nshare, share_room;
} keeper_t;

/** How fast endpoints are, and what may be sent there. */
typedef struct keeper_rules {
	const workload_average_t *average;
	const workload_limits_t *limits;
	/* Calls that a plain endpoint may queue, as a part of its slots. */
	double plain_queue;
} keeper_rules_t;

/** @param kv_capacity tokens, 0: a plain service */
void keeper_init(keeper_t *k, int slots, int kv_capacity);
void keeper_free(keeper_t *k);
/**
 * A call asks, or asks again.
 * @return false if too many do; true also if it was granted before
 */
bool keeper_put(keeper_t *k, const keeper_ask_t *a);
/** @return whether the call was granted and hasn't begun as far as is known */
bool keeper_granted(const keeper_t *k, uint64_t asker, uint32_t call);
/** The call doesn't want to be sent there any more, or has begun there. */
void keeper_remove(keeper_t *k, uint64_t asker, uint32_t call);
/** What the instance has there now. */
void keeper_report(
    keeper_t *k, uint64_t asker, const workload_share_t *share, ms_t now);
/**
 * Grant the next call.
 * @param out the call
 * @return false: none may be sent now
 */
bool keeper_next(
    keeper_t *k, const keeper_rules_t *r, ms_t now, keeper_ask_t *out);
/** @return ms until the call may be sent there, as far as is known */
double keeper_wait_ms(const keeper_t *k, const keeper_rules_t *r,
    uint64_t asker, uint32_t call, ms_t now);
/** @return ms until the next call may be sent, -1: when one ends */
double keeper_next_in(const keeper_t *k, const keeper_rules_t *r, ms_t now);
/** Drop asks, grants and shares of instances that weren't heard for long. */
void keeper_expire(keeper_t *k, ms_t now);
/** @return whether nothing is known of the endpoint's load */
bool keeper_idle(const keeper_t *k);

#endif
