#include "policy/leadership.h"

#include <string.h>

/*
 * Parts of a lease, counted from when the last renewal was sent: orders may be
 * sent until valid_part, and the next renewal is due after renew_part.
 */
static const double valid_part = 0.35, renew_part = 0.15;
enum {
	ORDER_DELAY_MS = 250, /* until an order that was sent has arrived */
	ERA_SHIFT = 40,	      /* of eras in tokens; revisions take less */
};

void
leadership_init(leadership_t *l, ms_t lease, bool first_start)
{
	memset(l, 0, sizeof(*l));
	l->lease = lease;
	l->first_start = first_start;
}

static ms_t
valid_ms(const leadership_t *l)
{
	return (ms_t)((double)l->lease * valid_part);
}

void
leadership_earlier_era(leadership_t *l, int64_t era)
{
	if (era > 0 && (l->first_era == 0 || era < l->first_era))
		l->first_era = era;
}

void
leadership_in_era(leadership_t *l, int64_t era)
{
	if (era == l->era)
		return;
	l->era = era;
	leadership_earlier_era(l, era);
	l->read = false;
	l->peer_revision = 0;
	l->peer_revision_at = 0;
}

void
leadership_observe(leadership_t *l, const lease_view_t *v, ms_t now)
{
	if (!l->read || v->revision != l->revision)
		l->unchanged_since = now;
	/* A renewal was sent before it was announced. */
	if (v->revision != 0 && v->revision == l->peer_revision &&
	    l->peer_revision_at < l->unchanged_since)
		l->unchanged_since = l->peer_revision_at;
	leadership_earlier_era(l, v->first_era);
	/*
	 * A write of an earlier era may take effect only now, and in a later
	 * era than the first the store may have lost the object.
	 */
	l->of_this_era =
	    l->era == 0 || v->era == l->era ||
	    (v->revision == 0 && l->first_start && l->first_era == l->era);
	l->read = true;
	l->revision = v->revision;
	l->own_machine = v->own;
	l->settled = v->settled;
	l->released = v->released;
}

void
leadership_peer_renewed(leadership_t *l, int64_t revision, ms_t now)
{
	if (revision <= l->peer_revision)
		return;
	l->peer_revision = revision;
	l->peer_revision_at = now;
}

bool
leadership_may_take_over(const leadership_t *l, ms_t now)
{
	if (!l->read || l->held)
		return false;
	if (l->revision == 0 || l->own_machine || l->released)
		return true;
	return now - l->unchanged_since > valid_ms(l) + ORDER_DELAY_MS;
}

/* When orders may be sent after a take-over. */
static ms_t
first_order_at(const leadership_t *l, ms_t sent)
{
	bool known = l->of_this_era;

	/* Nobody else can have ordered since the last renewal. */
	if (l->held && leadership_valid(l, sent))
		return l->orders_from;
	if (known && (l->revision == 0 || (l->own_machine && l->settled)))
		return sent;
	/* The previous process may not have finished its wait. */
	if (known && l->own_machine)
		return sent + l->lease + ORDER_DELAY_MS;
	/* The holder sent its last order before it released. */
	if (known && l->released)
		return l->unchanged_since + l->lease + ORDER_DELAY_MS;
	/* The holder, whoever it is, may have renewed it just before. */
	return l->unchanged_since + valid_ms(l) + l->lease + ORDER_DELAY_MS;
}

void
leadership_taken_over(leadership_t *l, int64_t revision, ms_t sent)
{
	l->orders_from = first_order_at(l, sent);
	l->held = true;
	l->taken_at = l->revision = revision;
	l->taken_in = l->era;
	l->renewed_at = sent;
	l->of_this_era = true;
	l->own_machine = true;
	l->released = false;
}

bool
leadership_must_restore(const leadership_t *l)
{
	return l->held && l->read && !l->of_this_era;
}

int64_t
leadership_token(const leadership_t *l)
{
	int64_t eras =
	    l->taken_in > l->first_era ? l->taken_in - l->first_era : 0;

	return (eras << ERA_SHIFT) + l->taken_at;
}

bool
leadership_renewal_due(const leadership_t *l, ms_t now)
{
	return l->held && l->read && l->of_this_era &&
	       now - l->renewed_at >= (ms_t)((double)l->lease * renew_part);
}

void
leadership_renewed(leadership_t *l, int64_t revision, ms_t sent)
{
	if (!l->held)
		return;
	l->revision = revision;
	l->renewed_at = sent;
}

void
leadership_lost(leadership_t *l)
{
	l->held = false;
	l->read = false;
}

bool
leadership_settled(const leadership_t *l, ms_t now)
{
	return l->held && now >= l->orders_from;
}

bool
leadership_valid(const leadership_t *l, ms_t now)
{
	return l->held && now - l->renewed_at < valid_ms(l);
}

bool
leadership_may_order(const leadership_t *l, ms_t now)
{
	return now >= l->orders_from && leadership_valid(l, now);
}
