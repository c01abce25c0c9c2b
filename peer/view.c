#include "peer/store.h"

#include <stdlib.h>
#include <string.h>

const char *
shard_key(char buf[SHARD_KEY_MAX], const char *service, const char *domain,
    uint32_t index)
{
	snprintf(buf, SHARD_KEY_MAX, "%s/%s/%u", service, domain, index);
	return buf;
}

/* Jump consistent hash (Lamping, Veach): n to n + 1 moves 1/(n + 1) of keys. */
static uint32_t
jump_hash(uint64_t key, uint32_t n)
{
	int64_t b = -1, j = 0;

	while (j < n) {
		b = j;
		key = key * 2862933555777941757u + 1;
		j = (int64_t)((double)(b + 1) * ((double)(1LL << 31) /
						    (double)((key >> 33) + 1)));
	}
	return (uint32_t)b;
}

static int
group_cmp(const Wire__Worker *x, const Wire__Worker *y)
{
	int c = strcmp(x->service, y->service);

	return c != 0 ? c : strcmp(x->domain, y->domain);
}

static int
worker_cmp(const void *a, const void *b)
{
	const Wire__Worker *x = *(Wire__Worker *const *)a;
	const Wire__Worker *y = *(Wire__Worker *const *)b;
	int c = group_cmp(x, y);

	return c != 0 ? c : strcmp(x->id, y->id);
}

/*
 * Place the workers of one group in k shards of at most cap. Each goes to the
 * first shard with room in its own sequence of hashes, so that a new worker
 * moves few others. For that a quarter of the capacity is left free.
 * @return k
 */
static int
place_workers(Wire__Worker **w, int n, int cap, uint32_t *shard)
{
	int k = n <= cap ? 1 : (4 * n + 3 * cap - 1) / (3 * cap);
	int *load = calloc(k, sizeof(*load));
	uint64_t seed;
	int i;

	for (i = 0; i < n; i++) {
		for (seed = 0;; seed++) {
			shard[i] = jump_hash(hash_str(w[i]->id, seed), k);
			if (load[shard[i]] < cap)
				break;
		}
		load[shard[i]]++;
	}
	free(load);
	return k;
}

/* Sort one group's workers by shard and write its shards. @return how many */
static int
order_by_shard(Wire__Worker **w, int n, int at, int cap, shard_t *out)
{
	uint32_t *shard = calloc(n, sizeof(*shard));
	Wire__Worker **copy = calloc(n, sizeof(void *));
	int i, j, k, count = 0, next = 0;

	k = place_workers(w, n, cap, shard);
	memcpy(copy, w, n * sizeof(void *));
	for (i = 0; i < k; i++) {
		shard_t *s = &out[count];

		memset(s, 0, sizeof(*s));
		s->first = at + next;
		for (j = 0; j < n; j++)
			if (shard[j] == (uint32_t)i)
				w[next++] = copy[j];
		s->n = at + next - s->first;
		if (s->n == 0)
			continue;
		str_set(s->service, sizeof(s->service), copy[0]->service);
		str_set(s->domain, sizeof(s->domain), copy[0]->domain);
		s->index = i;
		count++;
	}
	free(shard);
	free(copy);
	return count;
}

shard_t *
shards_make(Wire__Worker **w, int n, int cap, int *nshard)
{
	shard_t *s = calloc(n + 1, sizeof(*s));
	int from, to;

	*nshard = 0;
	if (n > 0)
		qsort(w, n, sizeof(void *), worker_cmp);
	for (from = 0; from < n; from = to) {
		to = from + 1;
		while (to < n && group_cmp(w[from], w[to]) == 0)
			to++;
		*nshard +=
		    order_by_shard(w + from, to - from, from, cap, s + *nshard);
	}
	return s;
}

static bool
can_broker(const Wire__Member *m)
{
	return !m->gone && !m->leaving;
}

/* A member to be ranked: the shard's domain first, then by score. */
typedef struct candidate {
	bool foreign;
	uint64_t score;
	int index;
} candidate_t;

static int
candidate_cmp(const void *a, const void *b)
{
	const candidate_t *x = a, *y = b;

	if (x->foreign != y->foreign)
		return x->foreign ? 1 : -1;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->index - y->index;
}

int
members_rank(const char *key, const char *domain, Wire__Member *const *m,
    int nm, int rank)
{
	candidate_t *c = calloc(nm + 1, sizeof(*c));
	uint64_t hash = hash_str(key, 0);
	int i, n = 0, index = -1;

	for (i = 0; i < nm; i++) {
		if (!can_broker(m[i]))
			continue;
		c[n].foreign =
		    domain != NULL && strcmp(m[i]->domain, domain) != 0;
		c[n].score = route_score(hash, hash_str(m[i]->id, 0));
		c[n++].index = i;
	}
	if (rank >= 0 && rank < n) {
		qsort(c, n, sizeof(*c), candidate_cmp);
		index = c[rank].index;
	}
	free(c);
	return index;
}

/* A member and the hash of its id; sorted by domain. */
typedef struct member_hash {
	char domain[ID_MAX];
	const Wire__Member *m;
	uint64_t hash;
} member_hash_t;

static int
by_domain(const void *a, const void *b)
{
	const member_hash_t *x = a, *y = b;

	return strcmp(x->domain, y->domain);
}

static const Wire__Member *
highest_score(const member_hash_t *r, int n, uint64_t key)
{
	const Wire__Member *best = NULL;
	uint64_t score, best_score = 0;
	int i;

	for (i = 0; i < n; i++) {
		score = route_score(key, r[i].hash);
		if (best == NULL || score > best_score) {
			best = r[i].m;
			best_score = score;
		}
	}
	return best;
}

void
shards_assign_brokers(shard_t *s, int n, Wire__Member *const *m, int nm)
{
	member_hash_t *r = calloc(nm + 1, sizeof(*r));
	const Wire__Member *best;
	char key[SHARD_KEY_MAX];
	int i, from, to, live = 0;

	for (i = 0; i < nm; i++) {
		if (!can_broker(m[i]))
			continue;
		str_set(r[live].domain, ID_MAX, m[i]->domain);
		r[live].m = m[i];
		r[live++].hash = hash_str(m[i]->id, 0);
	}
	qsort(r, live, sizeof(*r), by_domain);
	for (i = 0; i < n; i++) {
		shard_key(key, s[i].service, s[i].domain, s[i].index);
		for (from = 0; from < live; from++)
			if (strcmp(r[from].domain, s[i].domain) == 0)
				break;
		for (to = from; to < live; to++)
			if (strcmp(r[to].domain, s[i].domain) != 0)
				break;
		best = highest_score(r + from, to - from, hash_str(key, 0));
		if (best == NULL)
			best = highest_score(r, live, hash_str(key, 0));
		str_set(s[i].broker, sizeof(s[i].broker),
		    best == NULL ? "" : best->id);
	}
	free(r);
}

/* Set each shard's digest. */
static void
attach_digests(view_t *v, ms_t now)
{
	GHashTable *t =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const Wire__View *w = v->wire;
	char key[SHARD_KEY_MAX];
	size_t i;
	int j;

	for (i = 0; i < w->n_digest; i++) {
		shard_key(key, w->digest[i]->service, w->digest[i]->domain,
		    w->digest[i]->index);
		g_hash_table_replace(t, g_strdup(key), GSIZE_TO_POINTER(i + 1));
	}
	for (j = 0; j < v->nshard; j++) {
		shard_t *s = &v->shard[j];

		shard_key(key, s->service, s->domain, s->index);
		i = GPOINTER_TO_SIZE(g_hash_table_lookup(t, key));
		if (i == 0)
			continue;
		s->digest = w->digest[i - 1];
		s->digest_at = now;
	}
	g_hash_table_destroy(t);
}

view_t *
view_new(Wire__View *wire, catalogue_t *c, int shard_workers, ms_t now)
{
	view_t *v = calloc(1, sizeof(*v));

	v->wire = wire;
	v->catalogue = catalogue_ref(c);
	v->refs = 1;
	v->shard = shards_make(
	    wire->worker, (int)wire->n_worker, shard_workers, &v->nshard);
	shards_assign_brokers(
	    v->shard, v->nshard, wire->member, (int)wire->n_member);
	attach_digests(v, now);
	return v;
}

view_t *
view_ref(view_t *v)
{
	__atomic_add_fetch(&v->refs, 1, __ATOMIC_RELAXED);
	return v;
}

void
view_unref(view_t *v)
{
	int i;

	if (v == NULL || __atomic_sub_fetch(&v->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	if (v->shared_msgs == NULL) {
		wire__view__free_unpacked(v->wire, NULL);
	} else {
		for (i = 0; i < v->nshared_msgs; i++)
			msg_unref(v->shared_msgs[i]);
		free(v->shared_msgs);
		free(v->wire->member);
		free(v->wire->worker);
		free(v->wire->digest);
		free(v->wire);
	}
	catalogue_unref(v->catalogue);
	free(v->shard);
	free(v);
}

const Wire__Member *
view_member(const view_t *v, const char *id)
{
	size_t i;

	for (i = 0; i < v->wire->n_member; i++)
		if (strcmp(v->wire->member[i]->id, id) == 0)
			return v->wire->member[i];
	return NULL;
}

const Wire__Worker *
view_worker(const view_t *v, const char *id)
{
	size_t i;

	for (i = 0; i < v->wire->n_worker; i++)
		if (strcmp(v->wire->worker[i]->id, id) == 0)
			return v->wire->worker[i];
	return NULL;
}

const Wire__Member *
view_broker(const view_t *v, const shard_t *s, int rank)
{
	char key[SHARD_KEY_MAX];
	int i;

	shard_key(key, s->service, s->domain, s->index);
	i = members_rank(
	    key, s->domain, v->wire->member, (int)v->wire->n_member, rank);
	return i == -1 ? NULL : v->wire->member[i];
}

const Wire__Member *
view_claim_owner(const view_t *v, const char *key, int rank)
{
	int i = members_rank(
	    key, NULL, v->wire->member, (int)v->wire->n_member, rank);

	return i == -1 ? NULL : v->wire->member[i];
}
