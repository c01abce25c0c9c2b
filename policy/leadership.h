/**
 * @file leadership.h
 * Decides which instance may send orders to endpoints. The holder is named in
 * one object of a store with conditional writes. Endpoints may not check
 * fencing tokens, so two holders are kept apart by time alone:
 * - A holder sends orders only within valid_part of a lease after it sent the
 *   last renewal that succeeded.
 * - Another instance takes over only when the object hasn't changed for longer
 *   than that, and sends no order until a whole lease after the old holder's
 *   last possible order.
 * All times are on a clock that advances while the machine is suspended.
 */
#ifndef LEADERSHIP_H
#define LEADERSHIP_H

#include "base/base.h"

typedef struct leadership {
	ms_t lease; /* least ms between the orders of two holders */

	/* The object as last read. */
	int64_t revision; /* 0: no object */
	bool read, own_machine, settled, released;
	ms_t unchanged_since; /* first seen at this revision */
	/* The latest renewal that the holder announced, and when. */
	int64_t peer_revision;
	ms_t peer_revision_at;

	bool held;
	int64_t token;	  /* revision of the take-over; it only increases */
	ms_t renewed_at;  /* when the last successful renewal was sent */
	ms_t orders_from; /* no order is sent before that */
} leadership_t;

void leadership_init(leadership_t *l, ms_t lease);
/**
 * The object was read.
 * @param own the holder in it is this instance's machine
 * @param settled the holder's wait was over when it wrote the object: a
 *	process restarted on that machine may send orders at once
 * @param released the holder has given the lease up
 */
void leadership_observe(leadership_t *l, int64_t revision, bool own,
    bool settled, bool released, ms_t now);
/** @return true if held and the wait for the previous holder is over */
bool leadership_settled(const leadership_t *l, ms_t now);
/** The holder announced that its renewal produced this revision. */
void leadership_peer_renewed(leadership_t *l, int64_t revision, ms_t now);
/** May a take-over be written, conditional on the revision read? */
bool leadership_may_take_over(const leadership_t *l, ms_t now);
/** The take-over succeeded. @param sent when it was sent */
void leadership_taken_over(leadership_t *l, int64_t revision, ms_t sent);
bool leadership_renewal_due(const leadership_t *l, ms_t now);
/** A renewal succeeded. @param sent when it was sent */
void leadership_renewed(leadership_t *l, int64_t revision, ms_t sent);
/** The lease is no longer held, and the object has to be read again. */
void leadership_lost(leadership_t *l);
/** @return true if held and renewed recently enough to send orders */
bool leadership_valid(const leadership_t *l, ms_t now);
/** Must be checked immediately before each order is sent. */
bool leadership_may_order(const leadership_t *l, ms_t now);

#endif
