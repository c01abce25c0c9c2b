#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Extra wait accepted to stay in the entry's own failure domain. */
	DOMAIN_EXTRA_WAIT_MS = 150,
	/* Extra wait accepted where the prefix is likely cached. */
	PREFIX_EXTRA_WAIT_MS = 60,
	STALE_MS = 3000,	 /* older figures are ignored */
	UNKNOWN_WAIT_MS = 100,	 /* assumed instead of old figures */
	PENDING_REQUEST_MS = 20, /* added per own request without a free slot */
};

typedef struct scored {
	uint64_t score;
	int index;
} scored_t;

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
	const scored_t *x = a, *y = b;

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
	scored_t *r = malloc((n + 1) * sizeof(*r));
	uint64_t k = hash_str(key, 0);
	int i;

	/* The order is only a preference: if out of memory, any will do. */
	for (i = 0; i < n; i++)
		order[i] = i;
	if (r == NULL)
		return;
	for (i = 0; i < n; i++)
		r[i] = (scored_t){ route_score(k, hash_str(ids[i], 0)), i };
	qsort(r, n, sizeof(*r), by_score);
	for (i = 0; i < n; i++)
		order[i] = r[i].index;
	free(r);
}

/* The expected wait at a shard now, in ms. */
static ms_t
expected_wait(const route_shard_t *s)
{
	int left = s->free_slots - s->requests_since;

	if (s->age > STALE_MS)
		return UNKNOWN_WAIT_MS +
		       (ms_t)s->requests_since * PENDING_REQUEST_MS / s->copies;
	if (left > 0)
		return 0;
	return s->wait + (ms_t)(1 - left) * PENDING_REQUEST_MS / s->copies;
}

static bool
is_candidate(const route_shard_t *s)
{
	return s->copies > 0 && !s->tried;
}

/* The better of two random shards inside (or outside) a domain, or -1. */
static int
two_choices(
    const route_shard_t *s, int n, const char *domain, bool inside, rng_t *rng)
{
	int i, seen = 0, pick[2] = { -1, -1 };

	for (i = 0; i < n; i++) {
		if (!is_candidate(&s[i]) ||
		    (strcmp(s[i].domain, domain) == 0) != inside)
			continue;
		/* Reservoir sampling of two. */
		if (seen < 2)
			pick[seen] = i;
		else if (rng_unit(rng) * (seen + 1) < 2)
			pick[rng_next(rng) & 1] = i;
		seen++;
	}
	if (pick[1] == -1)
		return pick[0];
	if (expected_wait(&s[pick[0]]) == expected_wait(&s[pick[1]]))
		return pick[s[pick[1]].free_slots - s[pick[1]].requests_since >
			    s[pick[0]].free_slots - s[pick[0]].requests_since];
	return pick[expected_wait(&s[pick[1]]) < expected_wait(&s[pick[0]])];
}

/* The shard in a domain that calls with this prefix prefer, or -1. */
static int
prefix_shard(const route_shard_t *s, int n, const char *domain, uint64_t prefix)
{
	uint64_t score, best = 0;
	int i, first = -1;

	for (i = 0; i < n; i++) {
		if (!is_candidate(&s[i]) || strcmp(s[i].domain, domain) != 0)
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
	int remote, preferred;

	if (own != -1 && prefix != 0) {
		preferred = prefix_shard(s, n, own_domain, prefix);
		if (expected_wait(&s[preferred]) <=
		    expected_wait(&s[own]) + PREFIX_EXTRA_WAIT_MS)
			own = preferred;
	}
	if (own != -1 && expected_wait(&s[own]) <= DOMAIN_EXTRA_WAIT_MS)
		return own;
	remote = two_choices(s, n, own_domain, false, rng);
	if (own == -1)
		return remote;
	if (remote != -1 && expected_wait(&s[remote]) + DOMAIN_EXTRA_WAIT_MS <
				expected_wait(&s[own]))
		return remote;
	return own;
}
