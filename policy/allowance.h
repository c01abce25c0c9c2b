/**
 * @file allowance.h
 * What an organisation may use, over all instances together. One instance, the
 * giver, grants calls before they are sent. It hands out the part of the
 * allowance that the instances which ask it, its members, are of all instances:
 * givers that don't know of each other hand out no more than the whole
 * together.
 */
#ifndef ALLOWANCE_H
#define ALLOWANCE_H

#include "base/base.h"

enum {
	/* An instance counts as a member for so long after its last message. */
	ALLOWANCE_MEMBER_MS = 700,
	ALLOWANCE_SLOT_MS = 100, /* grants are kept by slots of this length */
	ALLOWANCE_SLOTS = 160,	 /* the longest window is 16 s */
	ALLOWANCE_GRANTS = 4096, /* remembered, so that one counts once */
};

/** An organisation's allowance, in tokens or in calls. */
typedef struct allowance_limit {
	double rate;  /* a second */
	double burst; /* beyond it */
	double slack; /* by which it may be exceeded in a window */
	ms_t window;  /* over which it is judged, at most 16 s */
} allowance_limit_t;

/** The instances that ask a giver for one group of organisations. */
typedef struct allowance_pool {
	struct allowance_member {
		uint64_t instance; /* hash of its name */
		ms_t heard_at;
	} * member;
	int nmember, room;
	int instances;	/* all there are */
	double part_ms; /* the part handed out, summed over time */
	double part_slot[ALLOWANCE_SLOTS]; /* the same of each slot */
	ms_t slot_at;			   /* number of the newest slot */
	double most;	/* greatest part since the last reset */
	uint32_t epoch; /* rises when grants begin anew */
	ms_t since;	/* when it did last */
	ms_t at;	/* time that part_ms refers to, 0: not begun */
	/* Calls that were granted lately, by allowance_key(). */
	struct {
		uint64_t key;
		ms_t at;
	} grant[ALLOWANCE_GRANTS];
} allowance_pool_t;

void allowance_pool_free(allowance_pool_t *p);
/** Begin anew: without members, and with nothing to hand out. */
void allowance_pool_reset(allowance_pool_t *p);
/** A message of a member came. @param instances all there are */
void allowance_heard(
    allowance_pool_t *p, uint64_t instance, int instances, ms_t now);
/** The instance asks another giver from now on, or ends. */
void allowance_left(allowance_pool_t *p, uint64_t instance, ms_t now);
/** @return the part of each allowance that is handed out, 0 to 1 */
double allowance_part(const allowance_pool_t *p, ms_t now);
/**
 * @param incarnation of the asking process
 * @param call its number there
 */
uint64_t allowance_key(uint64_t instance, uint32_t incarnation, uint32_t call);
/** @return whether the call was granted in the last two seconds */
bool allowance_granted(const allowance_pool_t *p, uint64_t key, ms_t now);

/** One organisation's allowance at its giver; zero at first. */
typedef struct allowance {
	double level;	   /* saved up; below 0 after a large call */
	double part_ms;	   /* of the pool, that level refers to */
	uint32_t epoch;	   /* the same */
	ms_t booked_until; /* by calls that were told to come back */
	double rate;	   /* that slots refer to */
	double slot[ALLOWANCE_SLOTS];
	ms_t slot_at; /* number of the newest slot */
} allowance_t;

/**
 * A call asks for its allowance.
 * @param key of the call, remembered if it is granted
 * @return 0: granted, else ms until there is room for it
 */
ms_t allowance_take(allowance_t *a, allowance_pool_t *p,
    const allowance_limit_t *l, double amount, uint64_t key, ms_t now);
/** A granted call surely didn't run. @param granted_at when it was granted */
void allowance_give_back(allowance_t *a, const allowance_pool_t *p,
    const allowance_limit_t *l, double amount, ms_t granted_at, ms_t now);

#endif
