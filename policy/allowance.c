#include "policy/allowance.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	/*
	 * Members send several messages in this time. In a longer silence the
	 * giver stood still or had none, so nothing is gained.
	 */
	ACCRUE_MAX_MS = 250,
	GRANT_KNOWN_MS = 2000, /* an ask isn't repeated for longer */
	/* Longer waits aren't booked: few callers return at such a time. */
	BOOKED_MAX_MS = 5000,
	WAIT_MAX_MS = 3600000,
};
/*
 * Below this share of its peak, another giver probably serves the members that
 * are missing: saved tokens are discarded.
 */
static const double reset_part = 0.5;
/*
 * A call that is larger than what is saved up may exceed it by this share of
 * the slack; the rest is for members that change givers.
 */
static const double overdraft_part = 0.5;
/* Of that, at a giver that has just begun. */
static const double new_giver_part = 0.25;
/*
 * Of the burst. What was saved up may be used just before members change to
 * another giver, which doesn't know of it.
 */
static const double saved_part = 0.75;
/*
 * Of what may be used; the rest is for members that two givers count at the
 * same time, again and again in a window.
 */
static const double handed_out_part = 0.97;

void
allowance_pool_free(allowance_pool_t *p)
{
	free(p->member);
	p->member = NULL;
	p->nmember = p->room = 0;
}

void
allowance_pool_reset(allowance_pool_t *p)
{
	p->nmember = 0;
	p->part_ms = p->most = 0;
	p->at = 0;
	p->epoch++;
	memset(p->grant, 0, sizeof(p->grant));
}

double
allowance_part(const allowance_pool_t *p, ms_t now)
{
	int i, n = 0;

	for (i = 0; i < p->nmember; i++)
		n += now - p->member[i].heard_at <= ALLOWANCE_MEMBER_MS;
	return n < p->instances ? (double)n / p->instances : n > 0;
}

/* Empties the slots that begin up to @p now. */
static void
slots_advance(double *slot, ms_t *at, ms_t now)
{
	ms_t to = now / ALLOWANCE_SLOT_MS, i;

	if (to - *at >= ALLOWANCE_SLOTS)
		memset(slot, 0, ALLOWANCE_SLOTS * sizeof(*slot));
	else
		for (i = *at + 1; i <= to; i++)
			slot[i % ALLOWANCE_SLOTS] = 0;
	if (to > *at)
		*at = to;
}

static double
slots_sum(const double *slot, ms_t at, ms_t window)
{
	ms_t n = window / ALLOWANCE_SLOT_MS + 1, i;
	double sum = 0;

	for (i = 0; i < n && i < ALLOWANCE_SLOTS && i <= at; i++)
		sum += slot[(at - i) % ALLOWANCE_SLOTS];
	return sum;
}

/* Members that fell silent since then count no more. */
static void
advance(allowance_pool_t *p, ms_t now)
{
	double part = allowance_part(p, now);
	ms_t passed = p->at != 0 && now > p->at ? now - p->at : 0;

	if (p->at == 0)
		p->since = now;
	p->at = now;
	if (passed > ACCRUE_MAX_MS)
		passed = ACCRUE_MAX_MS;
	slots_advance(p->part_slot, &p->slot_at, now);
	p->part_slot[p->slot_at % ALLOWANCE_SLOTS] += part * (double)passed;
	if (part < reset_part * p->most) {
		p->epoch++;
		p->since = now;
		p->part_ms = 0;
		p->most = part;
		return;
	}
	if (part > p->most)
		p->most = part;
	p->part_ms += part * (double)passed;
}

static struct allowance_member *
member_find(allowance_pool_t *p, uint64_t instance)
{
	int i;

	for (i = 0; i < p->nmember; i++)
		if (p->member[i].instance == instance)
			return &p->member[i];
	return NULL;
}

/* Forget those that count no more. */
static void
members_purge(allowance_pool_t *p, ms_t now)
{
	int i;

	for (i = p->nmember - 1; i >= 0; i--)
		if (now - p->member[i].heard_at > ALLOWANCE_MEMBER_MS)
			p->member[i] = p->member[--p->nmember];
}

static void
member_add(allowance_pool_t *p, uint64_t instance, ms_t now)
{
	if (p->nmember == p->room) {
		p->room = p->room == 0 ? 16 : 2 * p->room;
		p->member =
		    realloc(p->member, (size_t)p->room * sizeof(*p->member));
		if (p->member == NULL)
			abort();
	}
	p->member[p->nmember++] = (struct allowance_member){ instance, now };
}

void
allowance_heard(allowance_pool_t *p, uint64_t instance, int instances, ms_t now)
{
	struct allowance_member *m;

	advance(p, now);
	p->instances = instances;
	m = member_find(p, instance);
	if (m != NULL) {
		m->heard_at = now;
		return;
	}
	members_purge(p, now);
	member_add(p, instance, now);
}

void
allowance_left(allowance_pool_t *p, uint64_t instance, ms_t now)
{
	struct allowance_member *m = member_find(p, instance);

	advance(p, now);
	if (m != NULL)
		*m = p->member[--p->nmember];
}

uint64_t
allowance_key(uint64_t instance, uint32_t incarnation, uint32_t call)
{
	uint64_t v[2] = { instance, (uint64_t)incarnation << 32 | call };

	return hash64(v, sizeof(v), 0);
}

bool
allowance_granted(const allowance_pool_t *p, uint64_t key, ms_t now)
{
	size_t i = key % ALLOWANCE_GRANTS;

	return p->grant[i].key == key && p->grant[i].at != 0 &&
	       now - p->grant[i].at <= GRANT_KNOWN_MS;
}

/*
 * A second's worth. The burst may be used once in each window, so a part of it
 * is added to the rate; not by a new giver, as the one before may just have
 * granted all of it.
 */
static double
lasting_rate(const allowance_pool_t *p, const allowance_limit_t *l, ms_t now)
{
	double rate = l->rate;

	if (now - p->since >= l->window)
		rate += l->burst * 1000 / (double)l->window;
	return handed_out_part * rate;
}

static void
refill(allowance_t *a, const allowance_pool_t *p, const allowance_limit_t *l,
    ms_t now)
{
	double most = saved_part * l->burst * allowance_part(p, now);

	if (a->epoch != p->epoch) {
		a->epoch = p->epoch;
		a->level = a->part_ms = 0;
		a->booked_until = 0;
	}
	/* A new limit holds for a window that begins now. */
	if (a->rate != l->rate) {
		if (l->rate < a->rate)
			memset(a->slot, 0, sizeof(a->slot));
		a->level = fmax(a->level, 0);
		a->rate = l->rate;
	}
	a->level += lasting_rate(p, l, now) * (p->part_ms - a->part_ms) / 1000;
	a->part_ms = p->part_ms;
	if (a->level > most)
		a->level = most;
	slots_advance(a->slot, &a->slot_at, now);
}

/*
 * What may be granted in the window that ends now. Beside what the pool handed
 * out in it, a call that is larger than that may exceed it by @p overdraft.
 */
static double
room_in_window(const allowance_t *a, const allowance_pool_t *p,
    const allowance_limit_t *l, double overdraft, ms_t now)
{
	double part_s = slots_sum(p->part_slot, p->slot_at, l->window) / 1000;

	return lasting_rate(p, l, now) * part_s + overdraft -
	       slots_sum(a->slot, a->slot_at, l->window);
}

/* The time at which there is room, behind those that were told one. */
static ms_t
book(allowance_t *a, double rate, double missing, double amount, ms_t now)
{
	ms_t at = now + (ms_t)ceil(fmin(missing * 1000 / rate, WAIT_MAX_MS));

	if (a->booked_until > at)
		at = a->booked_until;
	if (at - now <= BOOKED_MAX_MS)
		a->booked_until =
		    at + (ms_t)ceil(fmin(amount * 1000 / rate, WAIT_MAX_MS));
	return at <= now ? 1 : at - now < WAIT_MAX_MS ? at - now : WAIT_MAX_MS;
}

ms_t
allowance_take(allowance_t *a, allowance_pool_t *p, const allowance_limit_t *l,
    double amount, uint64_t key, ms_t now)
{
	double part = allowance_part(p, now), overdraft, room;

	if (allowance_granted(p, key, now))
		return 0;
	advance(p, now);
	refill(a, p, l, now);
	overdraft = overdraft_part * l->slack * part;
	/* Each giver of a window may grant it once. */
	if (now - p->since < l->window)
		overdraft *= new_giver_part;
	room = room_in_window(a, p, l, overdraft, now);
	if (part <= 0 || l->rate <= 0)
		return BOOKED_MAX_MS;
	if (a->level + overdraft < amount || room < amount)
		return book(a, lasting_rate(p, l, now) * part,
		    fmax(amount - overdraft - a->level, amount - room), amount,
		    now);
	a->level -= amount;
	a->slot[a->slot_at % ALLOWANCE_SLOTS] += amount;
	p->grant[key % ALLOWANCE_GRANTS].key = key;
	p->grant[key % ALLOWANCE_GRANTS].at = now;
	return 0;
}

void
allowance_give_back(allowance_t *a, const allowance_pool_t *p,
    const allowance_limit_t *l, double amount, ms_t granted_at, ms_t now)
{
	ms_t slot = granted_at / ALLOWANCE_SLOT_MS;
	double *at;

	refill(a, p, l, now);
	/* Granted by an earlier giver, or for too long. */
	if (slot > a->slot_at || a->slot_at - slot >= ALLOWANCE_SLOTS)
		return;
	at = &a->slot[slot % ALLOWANCE_SLOTS];
	amount = fmin(amount, *at);
	*at -= amount;
	a->level += amount;
	refill(a, p, l, now);
}
