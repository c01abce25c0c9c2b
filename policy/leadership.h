/**
 * @file leadership.h
 * Who may order endpoints, over one object of a store that replaces an object
 * only at a revision. Endpoints may not check tokens, so two holders are kept
 * apart by time alone:
 * - A holder orders only within a part of a lease (VALID) of having sent the
 *   last renewal that was taken.
 * - Another one takes over only when the object has stood still for longer
 *   than that, and orders nothing for a whole lease after the old holder may
 *   last have done so.
 * All times are on a clock that runs on while the machine is suspended.
 */
#ifndef LEADERSHIP_H
#define LEADERSHIP_H

#include "base/base.h"

typedef struct tenure {
	ms_t lease; /* least time between orders of two holders */

	/* The object as it was read last. */
	int64_t revision; /* 0: there is none */
	bool read, own, settled, released;
	ms_t still_since; /* it was first seen at this revision */
	int64_t told;	  /* revision that the holder itself told of ... */
	ms_t told_at;	  /* ... first at that time */

	bool held;
	int64_t token; /* revision of the take-over: only goes up */
	ms_t renewed;  /* when the last renewal that was taken was sent */
	ms_t from;     /* orders may go out from then on */
} tenure_t;

void tenure_init(tenure_t *t, ms_t lease);
/**
 * The object was read.
 * @param own this instance's machine stands in it
 * @param settled its holder had begun to order when it wrote it: a process
 *	started anew on that machine may go on at once
 * @param released its holder has given it up
 */
void tenure_seen(tenure_t *t, int64_t revision, bool own, bool settled,
    bool released, ms_t now);
/** Has this holder's wait for the one before ended? */
bool tenure_settled(const tenure_t *t, ms_t now);
/** The holder says that its renewal made this revision. */
void tenure_told(tenure_t *t, int64_t revision, ms_t now);
/** May a take-over be written, on condition of t->revision? */
bool tenure_may_take(const tenure_t *t, ms_t now);
/** The take-over was taken. @param sent when it was sent */
void tenure_took(tenure_t *t, int64_t revision, ms_t sent);
bool tenure_due(const tenure_t *t, ms_t now);
void tenure_renewed(tenure_t *t, int64_t revision, ms_t sent);
void tenure_lost(tenure_t *t);
/** Held, with a renewal young enough to order by. */
bool tenure_valid(const tenure_t *t, ms_t now);
/** To be asked right before each order. */
bool tenure_may_order(const tenure_t *t, ms_t now);

#endif
