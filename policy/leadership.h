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
 *
 * The store may come back from an older copy. It then loses writes that it has
 * acknowledged, gives their revisions out again, and says so by a higher era:
 * - Revisions are compared only within an era.
 * - A lease written in an earlier era doesn't tell who ordered last. Whoever
 *   takes it over waits as after an unknown holder that has just renewed. Only
 *   a holder whose renewal is still valid goes on without a wait.
 * - Fencing tokens contain the era, so that they never fall or repeat.
 */
#ifndef LEADERSHIP_H
#define LEADERSHIP_H

#include "base/base.h"

/** The object as it was read. */
typedef struct lease_view {
	int64_t revision; /* 0: no object */
	int64_t era; /* of the store, as its writer knew it; 0: not given */
	int64_t first_era; /* as its writer knew it; 0: not given */
	bool own;	   /* the holder in it is this instance's machine */
	/* The holder's wait was over: a process restarted there may order. */
	bool settled;
	bool released; /* the holder has given the lease up */
} lease_view_t;

typedef struct leadership {
	ms_t lease; /* least ms between the orders of two holders */

	int64_t era;	   /* of the store, 0: it has none */
	int64_t first_era; /* the first in which there were holders; 0: none */
	bool first_start;  /* without an object there has been no holder */

	/* The object as last read. */
	int64_t revision; /* 0: no object */
	bool read, own_machine, settled, released;
	bool of_this_era;     /* it was written in the store's era */
	ms_t unchanged_since; /* first seen at this revision */
	/* The latest renewal that the holder announced, and when. */
	int64_t peer_revision;
	ms_t peer_revision_at;

	bool held;
	int64_t taken_at; /* revision of the take-over */
	int64_t taken_in; /* its era */
	ms_t renewed_at;  /* when the last successful renewal was sent */
	ms_t orders_from; /* no order is sent before that */
} leadership_t;

/** @param first_start the whole deployment starts for the first time */
void leadership_init(leadership_t *l, ms_t lease, bool first_start);
/**
 * The store answered in this era. In a new one, the lease has to be read again;
 * a holder keeps it for as long as its last renewal is valid.
 */
void leadership_in_era(leadership_t *l, int64_t era);
/** There were holders in this era already. */
void leadership_earlier_era(leadership_t *l, int64_t era);
/** The object was read in the store's present era. */
void leadership_observe(leadership_t *l, const lease_view_t *v, ms_t now);
/**
 * Must a holder write the lease again, as in leadership_taken_over(), since the
 * store has lost it?
 */
bool leadership_must_restore(const leadership_t *l);
/** @return the fencing token of its orders; it only increases */
int64_t leadership_token(const leadership_t *l);
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
