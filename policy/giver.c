#include "policy/giver.h"
#include "policy/allowance.h"

#include <math.h>

enum {
	INSTANCES_PER_GROUP = 128,
	AVOID_MS = 2000,
	/* An instance that has just come may end again. */
	BETTER_MS = 2000,
	SILENT_MAX = 2, /* then the instance gives by itself */
};

int
giver_groups(int instances)
{
	return 1 + instances / INSTANCES_PER_GROUP;
}

int
giver_strong(giver_candidate_t *c, int n)
{
	double most = 0;
	int i, kept = 0;

	for (i = 0; i < n; i++)
		most = fmax(most, c[i].weight);
	for (i = 0; i < n; i++)
		if (c[i].weight >= most / 2)
			c[kept++] = c[i];
	return kept;
}

static int
avoided(const giver_t *g, uint64_t instance, ms_t now)
{
	int i, n = 0;

	for (i = 0; i < GIVERS_AVOIDED; i++)
		n += now < g->avoided[i].until &&
		     (instance == 0 || g->avoided[i].instance == instance);
	return n;
}

/* Weighted rendezvous hashing: the greatest of -w / ln(u). */
static double
score(const giver_candidate_t *c, uint32_t group)
{
	uint64_t h = hash64(&c->instance, sizeof(c->instance), group);
	double u = ((double)(h >> 11) + 0.5) / (double)(1ULL << 53);

	return -(c->weight > 0 ? c->weight : 1) / log(u);
}

static uint64_t
best_of(const giver_t *g, uint32_t group, uint64_t own,
    const giver_candidate_t *c, int n, ms_t now)
{
	bool alone = avoided(g, 0, now) >= SILENT_MAX;
	uint64_t best = 0;
	double most = 0, v;
	int i;

	for (i = 0; i < n; i++) {
		if (c[i].instance != own &&
		    (alone || avoided(g, c[i].instance, now) > 0))
			continue;
		v = score(&c[i], group);
		if (best != 0 && v <= most)
			continue;
		best = c[i].instance;
		most = v;
	}
	return best;
}

static bool
is_candidate(const giver_t *g, const giver_candidate_t *c, int n, ms_t now)
{
	int i;

	for (i = 0; i < n; i++)
		if (c[i].instance == g->instance)
			return avoided(g, g->instance, now) == 0;
	return false;
}

/* Is another instance better by rank only, and may the change wait? */
static bool
change_can_wait(giver_t *g, uint64_t best, ms_t window, ms_t now)
{
	if (g->better != best) {
		g->better = best;
		g->better_since = now;
	}
	return now - g->better_since < BETTER_MS ||
	       (g->changed_at != 0 && now - g->changed_at < window);
}

uint64_t
giver_choose(giver_t *g, uint32_t group, uint64_t own,
    const giver_candidate_t *c, int n, ms_t window, bool ended, ms_t now)
{
	uint64_t best = best_of(g, group, own, c, n, now);

	if (best == 0 || best == g->instance) {
		g->better = 0;
		return best;
	}
	if (g->instance != 0 && is_candidate(g, c, n, now) &&
	    change_can_wait(g, best, window, now))
		return g->instance;
	/* Until it has surely been forgotten by a giver that may live. */
	if (g->instance != 0 && !ended && g->changed_at != 0 &&
	    now - g->changed_at < window &&
	    now - g->told_at < ALLOWANCE_MEMBER_MS)
		return 0;
	if (g->instance != 0)
		g->changed_at = now;
	g->instance = best;
	g->better = 0;
	return best;
}

void
giver_told(giver_t *g, ms_t now)
{
	g->told_at = now;
}

void
giver_silent(giver_t *g, ms_t now)
{
	int i, at = 0;

	for (i = 1; i < GIVERS_AVOIDED; i++)
		if (g->avoided[i].until < g->avoided[at].until)
			at = i;
	g->avoided[at].instance = g->instance;
	g->avoided[at].until = now + AVOID_MS;
}
