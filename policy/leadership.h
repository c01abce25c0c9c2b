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

typedef struct leadership {
	ms_t lease; /* least time between orders of two holders */

	/* The object as it was read last. */
	int64_t revision; /* 0: there is none */
	bool read, own_machine, settled, released;
	ms_t unchanged_since;  /* it was first seen at this revision */
	int64_t peer_revision; /* revision that the holder itself told of ... */
	ms_t peer_revision_at; /* ... first at that time */

	bool held;
	int64_t token;	  /* revision of the take-over: only goes up */
	ms_t renewed_at;  /* when the last renewal that was taken was sent */
	ms_t orders_from; /* orders may go out from then on */
} leadership_t;

void leadership_init(leadership_t *t, ms_t lease);
/**
 * The object was read.
 * @param own this instance's machine stands in it
 * @param settled its holder had begun to order when it wrote it: a process
 *	started anew on that machine may go on at once
 * @param released its holder has given it up
 */
void leadership_observe(leadership_t *t, int64_t revision, bool own,
    bool settled, bool released, ms_t now);
/** Has this holder's wait for the one before ended? */
bool leadership_settled(const leadership_t *t, ms_t now);
/** The holder says that its renewal made this revision. */
void leadership_peer_renewed(leadership_t *t, int64_t revision, ms_t now);
/** May a take-over be written, on condition of t->revision? */
bool leadership_may_take_over(const leadership_t *t, ms_t now);
/** The take-over was taken. @param sent when it was sent */
void leadership_taken_over(leadership_t *t, int64_t revision, ms_t sent);
bool leadership_renewal_due(const leadership_t *t, ms_t now);
void leadership_renewed(leadership_t *t, int64_t revision, ms_t sent);
void leadership_lost(leadership_t *t);
/** Held, with a renewal young enough to order by. */
bool leadership_valid(const leadership_t *t, ms_t now);
/** To be asked right before each order. */
bool leadership_may_order(const leadership_t *t, ms_t now);

#endif
