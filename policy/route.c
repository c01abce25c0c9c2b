#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>

enum {
	WORSE_MS = 150,	  /* wait that sends a call out of its own domain */
	AFFINE_MS = 60,	  /* wait that a likely prefix hit is worth */
	STALE_MS = 3000,  /* figures older than this say nothing */
	UNKNOWN_MS = 100, /* wait assumed where figures say nothing */
	ASKED_MS = 20,	  /* wait that an own ask without a free slot adds */
};

typedef struct ranked {
	uint64_t score;
	int index;
} ranked_t;

static uint64_t
mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static int
by_score(const void *a, const void *b)
{
	const ranked_t *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

uint64_t
route_score(uint64_t key_hash, uint64_t id_hash)
{
	return mix(key_hash ^ id_hash);
}

int
route_first(uint64_t key_hash, const uint64_t *id_hash, int n)
{
	uint64_t score, best = 0;
	int i, first = -1;

	for (i = 0; i < n; i++) {
		score = route_score(key_hash, id_hash[i]);
		if (first == -1 || score > best) {
			best = score;
			first = i;
		}
	}
	return first;
}

void
route_rank(const char *key, const char (*ids)[ID_MAX], int n, int *order)
{
	ranked_t *r = malloc((n + 1) * sizeof(*r));
	uint64_t k = hash_str(key, 0);
	int i;

	/* Without memory any order will do: it is only a preference. */
	for (i = 0; i < n; i++)
		order[i] = i;
	if (r == NULL)
		return;
	for (i = 0; i < n; i++)
		r[i] = (ranked_t){ route_score(k, hash_str(ids[i], 0)), i };
	qsort(r, n, sizeof(*r), by_score);
	for (i = 0; i < n; i++)
		order[i] = r[i].index;
	free(r);
}

/* Expected wait at a shard, from figures that have aged. */
static ms_t
cost(const route_shard_t *s)
{
	int left = s->free_slots - s->asks_since;

	if (s->age > STALE_MS)
		return UNKNOWN_MS + (ms_t)s->asks_since * ASKED_MS / s->copies;
	if (left > 0)
		return 0;
	return s->wait + (ms_t)(1 - left) * ASKED_MS / s->copies;
}

static bool
open_to(const route_shard_t *s)
{
	return s->copies > 0 && !s->tried;
}

/* Two choices among the shards inside (or outside) of a domain. */
static int
two_choices(
    const route_shard_t *s, int n, const char *domain, bool inside, rng_t *rng)
{
	int i, seen = 0, pick[2] = { -1, -1 };

	for (i = 0; i < n; i++) {
		if (!open_to(&s[i]) ||
		    (strcmp(s[i].domain, domain) == 0) != inside)
			continue;
		/* a reservoir of two */
		if (seen < 2)
			pick[seen] = i;
		else if (rng_unit(rng) * (seen + 1) < 2)
			pick[rng_next(rng) & 1] = i;
		seen++;
	}
	if (pick[1] == -1)
		return pick[0];
	if (cost(&s[pick[0]]) == cost(&s[pick[1]]))
		return pick[s[pick[1]].free_slots - s[pick[1]].asks_since >
			    s[pick[0]].free_slots - s[pick[0]].asks_since];
	return pick[cost(&s[pick[1]]) < cost(&s[pick[0]])];
}

/* The shard in a domain that calls with this prefix gather at. */
static int
affine(const route_shard_t *s, int n, const char *domain, uint64_t prefix)
{
	uint64_t score, best = 0;
	int i, first = -1;

	for (i = 0; i < n; i++) {
		if (!open_to(&s[i]) || strcmp(s[i].domain, domain) != 0)
			continue;
		score = route_score(prefix, s[i].id_hash);
		if (first == -1 || score > best) {
			best = score;
			first = i;
		}
	}
	return first;
}

int
route_pick(const route_shard_t *s, int n, const char *own_domain,
    uint64_t prefix, rng_t *rng)
{
	int own = two_choices(s, n, own_domain, true, rng);
	int far, home;

	if (own != -1 && prefix != 0) {
		home = affine(s, n, own_domain, prefix);
		if (cost(&s[home]) <= cost(&s[own]) + AFFINE_MS)
			own = home;
	}
	if (own != -1 && cost(&s[own]) <= WORSE_MS)
		return own;
	far = two_choices(s, n, own_domain, false, rng);
	if (own == -1)
		return far;
	if (far != -1 && cost(&s[far]) + WORSE_MS < cost(&s[own]))
		return far;
	return own;
}
