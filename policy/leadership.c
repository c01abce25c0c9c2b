#include "policy/leadership.h"

#include <string.h>

/*
 * Parts of a lease, counted from when the last renewal was sent: orders may be
 * sent until valid_part, and the next renewal is due after renew_part.
 */
static const double valid_part = 0.35, renew_part = 0.15;
enum {
	ORDER_DELAY_MS = 250 /* until an order that was sent has arrived */
};

void
leadership_init(leadership_t *l, ms_t lease)
{
	memset(l, 0, sizeof(*l));
	l->lease = lease;
}

static ms_t
valid_ms(const leadership_t *l)
{
	return (ms_t)((double)l->lease * valid_part);
}

void
leadership_observe(leadership_t *l, int64_t revision, bool own, bool settled,
    bool released, ms_t now)
{
	if (!l->read || revision != l->revision)
		l->unchanged_since = now;
	/* A renewal was sent before it was announced. */
	if (revision == l->peer_revision &&
	    l->peer_revision_at < l->unchanged_since)
		l->unchanged_since = l->peer_revision_at;
	l->read = true;
	l->revision = revision;
	l->own_machine = own;
	l->settled = settled;
	l->released = released;
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

void
leadership_taken_over(leadership_t *l, int64_t revision, ms_t sent)
{
	if (l->revision == 0 || (l->own_machine && l->settled))
		l->orders_from = sent;
	else if (l->own_machine)
		/* The previous process may not have finished its wait. */
		l->orders_from = sent + l->lease + ORDER_DELAY_MS;
	else if (l->released)
		/* The holder sent its last order before it released. */
		l->orders_from = l->unchanged_since + l->lease + ORDER_DELAY_MS;
	else
		l->orders_from = l->unchanged_since + valid_ms(l) + l->lease +
				 ORDER_DELAY_MS;
	l->held = true;
	l->token = l->revision = revision;
	l->renewed_at = sent;
	l->own_machine = true;
	l->released = false;
}

bool
leadership_renewal_due(const leadership_t *l, ms_t now)
{
	return l->held &&
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
