#include "policy/leadership.h"

#include <string.h>

/* Parts of a lease: orders go out within valid_part of a renewal's sending. */
static const double valid_part = 0.35, renew_part = 0.15;
enum {
	WAY_MS = 250 /* an order's way to its endpoint */
};

void
leadership_init(leadership_t *t, ms_t lease)
{
	memset(t, 0, sizeof(*t));
	t->lease = lease;
}

static ms_t
valid(const leadership_t *t)
{
	return (ms_t)((double)t->lease * valid_part);
}

void
leadership_observe(leadership_t *t, int64_t revision, bool own, bool settled,
    bool released, ms_t now)
{
	if (!t->read || revision != t->revision)
		t->unchanged_since = now;
	/* A renewal that was told of had been sent by then. */
	if (revision == t->peer_revision &&
	    t->peer_revision_at < t->unchanged_since)
		t->unchanged_since = t->peer_revision_at;
	t->read = true;
	t->revision = revision;
	t->own_machine = own;
	t->settled = settled;
	t->released = released;
}

void
leadership_peer_renewed(leadership_t *t, int64_t revision, ms_t now)
{
	if (revision <= t->peer_revision)
		return;
	t->peer_revision = revision;
	t->peer_revision_at = now;
}

bool
leadership_may_take_over(const leadership_t *t, ms_t now)
{
	if (!t->read || t->held)
		return false;
	if (t->revision == 0 || t->own_machine || t->released)
		return true;
	return now - t->unchanged_since > valid(t) + WAY_MS;
}

void
leadership_taken_over(leadership_t *t, int64_t revision, ms_t sent)
{
	if (t->revision == 0 || (t->own_machine && t->settled))
		t->orders_from = sent;
	else if (t->own_machine)
		/* The process before may not have waited for its own. */
		t->orders_from = sent + t->lease + WAY_MS;
	else if (t->released)
		/* One who has given it up stopped before it wrote that. */
		t->orders_from = t->unchanged_since + t->lease + WAY_MS;
	else
		t->orders_from =
		    t->unchanged_since + valid(t) + t->lease + WAY_MS;
	t->held = true;
	t->token = t->revision = revision;
	t->renewed_at = sent;
	t->own_machine = true;
	t->released = false;
}

bool
leadership_renewal_due(const leadership_t *t, ms_t now)
{
	return t->held &&
	       now - t->renewed_at >= (ms_t)((double)t->lease * renew_part);
}

void
leadership_renewed(leadership_t *t, int64_t revision, ms_t sent)
{
	if (!t->held)
		return;
	t->revision = revision;
	t->renewed_at = sent;
}

void
leadership_lost(leadership_t *t)
{
	t->held = false;
	t->read = false;
}

bool
leadership_settled(const leadership_t *t, ms_t now)
{
	return t->held && now >= t->orders_from;
}

bool
leadership_valid(const leadership_t *t, ms_t now)
{
	return t->held && now - t->renewed_at < valid(t);
}

bool
leadership_may_order(const leadership_t *t, ms_t now)
{
	return now >= t->orders_from && leadership_valid(t, now);
}
