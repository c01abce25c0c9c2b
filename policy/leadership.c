#include "policy/leadership.h"

#include <string.h>

/* Parts of a lease: orders go out within valid_part of a renewal's sending. */
static const double valid_part = 0.35, renew_part = 0.15;
enum {
	WAY_MS = 250 /* an order's way to its endpoint */
};

void
tenure_init(tenure_t *t, ms_t lease)
{
	memset(t, 0, sizeof(*t));
	t->lease = lease;
}

static ms_t
valid(const tenure_t *t)
{
	return (ms_t)((double)t->lease * valid_part);
}

void
tenure_seen(tenure_t *t, int64_t revision, bool own, bool settled,
    bool released, ms_t now)
{
	if (!t->read || revision != t->revision)
		t->still_since = now;
	/* A renewal that was told of had been sent by then. */
	if (revision == t->told && t->told_at < t->still_since)
		t->still_since = t->told_at;
	t->read = true;
	t->revision = revision;
	t->own = own;
	t->settled = settled;
	t->released = released;
}

void
tenure_told(tenure_t *t, int64_t revision, ms_t now)
{
	if (revision <= t->told)
		return;
	t->told = revision;
	t->told_at = now;
}

bool
tenure_may_take(const tenure_t *t, ms_t now)
{
	if (!t->read || t->held)
		return false;
	if (t->revision == 0 || t->own || t->released)
		return true;
	return now - t->still_since > valid(t) + WAY_MS;
}

void
tenure_took(tenure_t *t, int64_t revision, ms_t sent)
{
	if (t->revision == 0 || (t->own && t->settled))
		t->from = sent;
	else if (t->own)
		/* The process before may not have waited for its own. */
		t->from = sent + t->lease + WAY_MS;
	else if (t->released)
		/* One who has given it up stopped before it wrote that. */
		t->from = t->still_since + t->lease + WAY_MS;
	else
		t->from = t->still_since + valid(t) + t->lease + WAY_MS;
	t->held = true;
	t->token = t->revision = revision;
	t->renewed = sent;
	t->own = true;
	t->released = false;
}

bool
tenure_due(const tenure_t *t, ms_t now)
{
	return t->held &&
	       now - t->renewed >= (ms_t)((double)t->lease * renew_part);
}

void
tenure_renewed(tenure_t *t, int64_t revision, ms_t sent)
{
	if (!t->held)
		return;
	t->revision = revision;
	t->renewed = sent;
}

void
tenure_lost(tenure_t *t)
{
	t->held = false;
	t->read = false;
}

bool
tenure_settled(const tenure_t *t, ms_t now)
{
	return t->held && now >= t->from;
}

bool
tenure_valid(const tenure_t *t, ms_t now)
{
	return t->held && now - t->renewed < valid(t);
}

bool
tenure_may_order(const tenure_t *t, ms_t now)
{
	return now >= t->from && tenure_valid(t, now);
}
