#include "store/claims.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sys/random.h>
#include <ck_pr.h>

enum {
	RING_SLOTS = 4096,
	SETTLES_MAX = 4096,	/* outcomes waiting to be written */
	BACKOFF_FIRST_MS = 100, /* between tries in an outage */
	IDLE_MS = 1000,
};

ms_t
claims_wait(const settings_t *s)
{
	return 2 * s->platform.timeout_ms;
}

int
claims_bucket(const settings_t *s, const char *service, const char *key)
{
	return (int)(hash_str(key, hash_str(service, 0)) %
		     (uint64_t)s->claims.buckets);
}

/* Queues of the buckets */

static bucket_queue_t *
queue_of(claims_t *c, const work_t *w)
{
	bool is_claim = w->kind == WORK_CLAIM;
	const char *service = is_claim ? w->claim.service : w->settle.service;
	const char *key = is_claim ? w->claim.key : w->settle.key;

	return &c->queue[hash_str(key, hash_str(service, 0)) %
			 (uint64_t)c->nqueue];
}

static void
enqueue(claims_t *c, work_t *w)
{
	bucket_queue_t *s = queue_of(c, w);

	s->nrequest += w->kind == WORK_CLAIM;
	g_ptr_array_add(s->waiting, w);
	if (!s->pending)
		g_ptr_array_add(c->pending, s);
	s->pending = true;
}

static void
accept_work(claims_t *c, work_t *w)
{
	if (w->kind == WORK_SETTLE && c->nsettle >= SETTLES_MAX) {
		/* The claim stays unsettled; repeats get CLAIM_UNKNOWN. */
		counter_add(c->lost, 1);
		claims_work_free(w);
		return;
	}
	if (w->kind == WORK_SETTLE)
		c->nsettle++;
	else
		snprintf(w->attempt_id, sizeof(w->attempt_id),
		    "%016" PRIx64 ".%" PRIu64, c->incarnation, ++c->serial);
	if (c->queue != NULL) {
		enqueue(c, w);
	} else if (w->kind == WORK_SETTLE) {
		g_ptr_array_add(c->early_settles, w);
	} else {
		claims_reject(c, w, claims_retry_after(c));
		claims_work_free(w);
	}
}

/* When the bucket's work is due; 0, at once, for requests in an outage. */
static ms_t
commit_time(const claims_t *c, const bucket_queue_t *s)
{
	const work_t *w = s->waiting->pdata[0];
	ms_t span =
	    s->nrequest > 0 ? c->commit_delay : c->o.settings->claims.settle_ms;
	ms_t at = w->received_at + span;

	if (s->nrequest > 0 && c->retry_at != 0)
		return 0;
	if (at < s->not_before)
		at = s->not_before;
	return at < c->retry_at ? c->retry_at : at;
}

static void
open_queues(claims_t *c, int n)
{
	guint i;
	int k;

	c->queue = g_new0(bucket_queue_t, n);
	c->nqueue = n;
	for (k = 0; k < n; k++) {
		snprintf(
		    c->queue[k].key, sizeof(c->queue[k].key), "claims/%d", k);
		c->queue[k].waiting = g_ptr_array_new();
	}
	for (i = 0; i < c->early_settles->len; i++)
		enqueue(c, c->early_settles->pdata[i]);
	g_ptr_array_set_size(c->early_settles, 0);
}

/* The thread */

static void
receive_work(claims_t *c, ms_t wait)
{
	ms_t now = claims_now(c), at = now + wait;
	work_t *w;
	guint i;

	for (i = 0; i < c->pending->len; i++)
		at = MIN(at, commit_time(c, c->pending->pdata[i]));
	if (c->queue == NULL)
		at = MIN(at, c->retry_at);
	w = at > now ? ring_wait(c->ring, at - now) : ring_pop(c->ring);
	for (i = 0; w != NULL; i++) {
		accept_work(c, w);
		w = i < RING_SLOTS ? ring_pop(c->ring) : NULL;
	}
}

static void
commit_due(claims_t *c)
{
	guint i;

	for (i = c->pending->len; i-- > 0;) {
		bucket_queue_t *s = c->pending->pdata[i];

		if (commit_time(c, s) > claims_now(c))
			continue;
		if (s->nrequest > 0 && claims_now(c) < c->retry_at)
			claims_reject_requests(
			    c, s, INT64_MAX, claims_retry_after(c));
		else
			claims_commit(c, s);
		if (s->waiting->len == 0) {
			s->pending = false;
			g_ptr_array_remove_index_fast(c->pending, i);
		}
	}
}

void
claims_step(claims_t *c, ms_t wait)
{
	int n;

	if (c->queue == NULL && claims_now(c) >= c->retry_at &&
	    (n = claims_bucket_count(c)) != -1)
		open_queues(c, n);
	receive_work(c, wait);
	commit_due(c);
}

static void *
run(void *user)
{
	claims_t *c = user;

	while (!ck_pr_load_int(&c->stop))
		claims_step(c, IDLE_MS);
	return NULL;
}

/* At shutdown: write the waiting outcomes and reject the requests. */
static void
flush(claims_t *c)
{
	guint i;

	receive_work(c, 0);
	counter_add(c->lost, c->early_settles->len);
	for (i = 0; i < c->pending->len; i++) {
		bucket_queue_t *s = c->pending->pdata[i];

		claims_reject_requests(c, s, INT64_MAX, OUTAGE_RETRY_MIN_MS);
		if (s->waiting->len > 0 && c->retry_at == 0)
			claims_commit(c, s);
		counter_add(c->lost, s->waiting->len);
	}
}

static int
store_get(void *user, const char *key, object_t *out, err_t *e)
{
	return platform_get(user, key, out, e);
}

static int
store_put(void *user, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e)
{
	return platform_put(user, key, value, len, expect, version, e);
}

static int
open_store(claims_t *c, err_t *e)
{
	const settings_t *s = c->o.settings;
	platform_opts_t o = { .timeout = s->platform.timeout_ms };

	if (c->o.store != NULL) {
		c->store = *c->o.store;
		return 0;
	}
	str_set(o.addr, sizeof(o.addr), s->platform.addr);
	str_set(o.user, sizeof(o.user), s->instance.id);
	c->platform = platform_new(&o, e);
	c->store = (claims_store_t){ store_get, store_put, c->platform };
	return c->platform == NULL ? -1 : 0;
}

static void
open_counters(claims_t *c)
{
	static const char *const name[] = { "fresh", "done", "running",
		"unknown", "mismatch", "down", "not_owner" };
	char label[96];
	size_t i;

	for (i = 0; i < sizeof(name) / sizeof(name[0]); i++) {
		snprintf(label, sizeof(label),
		    "ebonypitch_claims_total{outcome=\"%s\"}", name[i]);
		c->outcome[i] = counter_get(label, "claims asked for");
	}
	c->writes = counter_get(
	    "ebonypitch_claims_writes_total", "writes of claims' buckets");
	c->reads = counter_get(
	    "ebonypitch_claims_reads_total", "reads of claims' buckets");
	c->conflicts = counter_get("ebonypitch_claims_conflicts_total",
	    "writes of buckets that another owner's had come before");
	c->lost = counter_get("ebonypitch_claims_settles_lost_total",
	    "outcomes that were never written");
	c->given_up = counter_get("ebonypitch_claims_given_up_total",
	    "claims given up after a write of unknown outcome");
}

claims_t *
claims_new(const claims_opts_t *o, err_t *e)
{
	claims_t *c = calloc(1, sizeof(*c));
	const settings_t *s = o->settings;

	if (c == NULL) {
		err_set(e, ERR_INTERNAL, "no memory for claims");
		return NULL;
	}
	c->o = *o;
	c->limits = (bucket_limits_t){ s, s->claims.keep_ms,
		(size_t)s->claims.bucket_max };
	c->backoff = (backoff_t){ BACKOFF_FIRST_MS, BACKOFF_MAX_MS, 0 };
	c->commit_delay = s->claims.commit_ms;
	c->stop = o->stepped;
	c->pending = g_ptr_array_new();
	c->early_settles = g_ptr_array_new();
	c->ring = ring_new(RING_SLOTS);
	open_counters(c);
	c->incarnation = o->seed;
	if (o->seed == 0 && getrandom(&c->incarnation, sizeof(c->incarnation),
				0) != sizeof(c->incarnation))
		c->incarnation = clock_wall() ^ (uint64_t)getpid() << 48;
	c->rng.s = c->incarnation;
	if (c->ring == NULL) {
		err_set(e, ERR_INTERNAL, "no memory for claims");
	} else if (open_store(c, e) == 0) {
		if (o->stepped || pthread_create(&c->thread, NULL, run, c) == 0)
			return c;
		err_set(e, ERR_INTERNAL, "no thread for claims");
	}
	c->o.stepped = true;
	claims_free(c);
	return NULL;
}

static void
free_early(gpointer w, gpointer user)
{
	(void)user;
	claims_work_free(w);
}

void
claims_free(claims_t *c)
{
	work_t *w;
	guint i;
	int n;

	if (c == NULL)
		return;
	ck_pr_store_int(&c->stop, 1);
	if (!c->o.stepped) {
		pthread_join(c->thread, NULL);
		flush(c);
	}
	while (c->ring != NULL && (w = ring_pop(c->ring)) != NULL)
		claims_work_free(w);
	for (n = 0; c->queue != NULL && n < c->nqueue; n++) {
		for (i = 0; i < c->queue[n].waiting->len; i++)
			claims_work_free(c->queue[n].waiting->pdata[i]);
		g_ptr_array_free(c->queue[n].waiting, TRUE);
		bucket_clear(&c->queue[n].bucket);
	}
	g_free(c->queue);
	g_ptr_array_foreach(c->early_settles, free_early, NULL);
	g_ptr_array_free(c->early_settles, TRUE);
	g_ptr_array_free(c->pending, TRUE);
	ring_free(c->ring);
	platform_free(c->platform);
	free(c);
}

static bool
push_work(claims_t *c, work_t *w)
{
	if (w == NULL)
		return false;
	w->received_at = w->kind == WORK_CLAIM && w->claim.sent_after != 0
			     ? w->claim.sent_after
			     : claims_now(c);
	if (ring_push(c->ring, w))
		return true;
	/* On failure, the reply of a settle still belongs to the caller. */
	w->settle.reply = NULL;
	claims_work_free(w);
	return false;
}

bool
claims_request(claims_t *c, uint64_t tag, const claim_request_t *req)
{
	work_t *w = calloc(1, sizeof(*w));

	if (w == NULL)
		return false;
	w->kind = WORK_CLAIM;
	w->tag = tag;
	w->claim = *req;
	return push_work(c, w);
}

bool
claims_settle(claims_t *c, uint64_t tag, const claim_settle_t *s)
{
	work_t *w = calloc(1, sizeof(*w));

	if (w != NULL) {
		w->kind = WORK_SETTLE;
		w->tag = tag;
		w->settle = *s;
		str_set(w->attempt_id, sizeof(w->attempt_id), s->attempt_id);
	}
	return push_work(c, w);
}
