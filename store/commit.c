#include "store/claims.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	TRIES_MAX = 8, /* per commit */
	/* until a claim request that meets a rate limit is rejected */
	RATE_LIMIT_WAIT_MS = 1000,
	DELAY_MIN_MS = 4,   /* what slow_down() doubles if the delay is less */
	DELAY_MAX_MS = 250, /* limit of the commit delay */
	BUCKETS_MAX = 65536,
};

/* Object with the number of buckets in use; overrides the settings. */
static const char buckets_key[] = "claims/buckets";

ms_t
claims_now(const claims_t *c)
{
	return clock_now(c->o.clock);
}

void
claims_work_free(work_t *w)
{
	if (w->kind == WORK_SETTLE)
		free(w->settle.reply);
	free(w->answer.reply);
	free(w);
}

/*
 * Answer a request. If it isn't granted, but a write of unknown outcome has its
 * claim, turn the work into a settle that removes the claim: else a retry would
 * be told of a first call that never ran. A claim taken over from another
 * request of the call is left: that request may have been granted.
 * @return true if the work can be freed
 */
static bool
answer_request(claims_t *c, work_t *w)
{
	claim_settle_t s = { .outcome = CALL_REFUSED };

	counter_add(c->outcome[w->answer.outcome], 1);
	if (w->answer.outcome == CLAIM_FRESH && !w->taken_over)
		str_set(w->answer.attempt_id, sizeof(w->answer.attempt_id),
		    w->attempt_id);
	c->o.done(c->o.user, w->tag, &w->answer);
	w->answer.reply = NULL;
	if (w->answer.outcome == CLAIM_FRESH || !w->maybe_written ||
	    w->taken_over)
		return true;
	str_set(s.key, sizeof(s.key), w->claim.key);
	str_set(s.service, sizeof(s.service), w->claim.service);
	str_set(s.request, sizeof(s.request), w->claim.request);
	w->settle = s;
	w->kind = WORK_SETTLE;
	c->nsettle++;
	counter_add(c->given_up, 1);
	return false;
}

bool
claims_reject(claims_t *c, work_t *w, ms_t retry_after)
{
	free(w->answer.reply);
	memset(&w->answer, 0, sizeof(w->answer));
	w->answer.outcome = CLAIM_DOWN;
	w->answer.retry_after = retry_after;
	return answer_request(c, w);
}

void
claims_reject_requests(
    claims_t *c, bucket_queue_t *s, ms_t upto, ms_t retry_after)
{
	guint i, kept = 0;

	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_CLAIM && w->received_at <= upto) {
			s->nrequest--;
			if (claims_reject(c, w, retry_after)) {
				claims_work_free(w);
				continue;
			}
		}
		s->waiting->pdata[kept++] = w;
	}
	g_ptr_array_set_size(s->waiting, (gint)kept);
}

ms_t
claims_retry_after(const claims_t *c)
{
	ms_t left = c->retry_at - claims_now(c);

	return left < OUTAGE_RETRY_MIN_MS ? OUTAGE_RETRY_MIN_MS : left;
}

/* One commit */

static int
load_bucket(claims_t *c, bucket_queue_t *s, err_t *e)
{
	object_t o;
	err_t why;
	ms_t read;
	int rc;

	if (s->bucket.loaded)
		return 0;
	counter_add(c->reads, 1);
	rc = c->store.get(c->store.user, s->key, &o, &why);
	/* Ages count from the reply: a claim may only seem younger. */
	read = claims_now(c);
	if (rc == -1 && why.code == ERR_NOT_FOUND)
		return bucket_decode(&s->bucket, NULL, read, e);
	if (rc == -1)
		return err_set(e, why.code, "%s", why.text);
	rc = bucket_decode(&s->bucket, &o, read, e);
	object_clear(&o);
	return rc;
}

/*
 * @return true if the object must be written. It is written even if there is
 * no such claim: the write proves that the copy in memory is current, and it
 * makes a delayed write that has the claim fail.
 */
static bool
apply_settle(claims_t *c, bucket_queue_t *s, const work_t *w, ms_t now)
{
	const char *attempt_id =
	    w->attempt_id[0] == '\0' ? NULL : w->attempt_id;

	return bucket_settle(&s->bucket, &c->limits, &w->settle, attempt_id,
		   now) != SETTLE_REPEATED;
}

/*
 * Apply all waiting work to the bucket in memory.
 * @param maybe_stale set if an answer may be wrong as the copy may be outdated
 * @return true if the object must be written
 */
static bool
apply(claims_t *c, bucket_queue_t *s, bool *maybe_stale)
{
	ms_t now = claims_now(c);
	bool changed = false;
	guint i;

	*maybe_stale = false;
	bucket_expire(&s->bucket, &c->limits, now);
	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_SETTLE) {
			changed |= apply_settle(c, s, w, now);
			continue;
		}
		free(w->answer.reply);
		switch (bucket_claim(&s->bucket, &c->limits, &w->claim,
		    w->attempt_id, now, &w->answer)) {
		case GRANT_TAKEN_OVER:
			w->taken_over = true;
			/* FALLTHROUGH */
		case GRANT_ADDED:
		case GRANT_NONE_WRITE_AGE:
			changed = true;
			break;
		case GRANT_EXISTING:
			break;
		case GRANT_NONE:
			*maybe_stale |= w->answer.outcome != CLAIM_DONE;
			break;
		}
	}
	return changed;
}

static int
write_bucket(claims_t *c, bucket_queue_t *s, err_t *e)
{
	uint64_t version;
	size_t len;
	char *value = bucket_encode(&s->bucket, claims_now(c), &len);
	guint i;
	int rc;

	counter_add(c->writes, 1);
	rc = c->store.put(
	    c->store.user, s->key, value, len, s->bucket.version, &version, e);
	g_free(value);
	if (rc == 0) {
		s->bucket.version = version;
		s->bucket.current = true;
		return 0;
	}
	/* The copy in memory has changes that may not be stored. */
	s->bucket.loaded = false;
	if (e->code == ERR_CONFLICT)
		counter_add(c->conflicts, 1);
	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_CLAIM && e->code != ERR_FULL &&
		    e->code != ERR_DOWN && w->answer.outcome == CLAIM_FRESH)
			w->maybe_written = true;
	}
	return -1;
}

/* Time after which an entry has given up waiting for a grant. */
static ms_t
max_age(const claims_t *c)
{
	return MIN(claims_wait(c->o.settings), c->limits.retention / 2);
}

/* The commit succeeded: answer the requests that waited for it. */
static void
complete_work(claims_t *c, bucket_queue_t *s)
{
	ms_t now = claims_now(c);
	guint i, kept = 0;
	bool over;

	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_SETTLE) {
			c->nsettle--;
			claims_work_free(w);
			continue;
		}
		s->nrequest--;
		/* The process was paused: the entry has given up waiting, and
		 * the claim may have changed since. */
		if (w->answer.outcome == CLAIM_FRESH &&
		    now - w->received_at > max_age(c)) {
			w->maybe_written = true;
			over = claims_reject(c, w, OUTAGE_RETRY_MIN_MS);
		} else {
			over = answer_request(c, w);
		}
		if (over)
			claims_work_free(w);
		else
			s->waiting->pdata[kept++] = w;
	}
	g_ptr_array_set_size(s->waiting, (gint)kept);
}

/* After a rate limit or conflict, batch more claims into each write. */
static void
slow_down(claims_t *c, bucket_queue_t *s)
{
	ms_t now = claims_now(c);

	c->commit_delay = 2 * MAX(c->commit_delay, DELAY_MIN_MS);
	if (c->commit_delay > DELAY_MAX_MS)
		c->commit_delay = DELAY_MAX_MS;
	s->not_before =
	    now + 1 + (ms_t)(rng_unit(&c->rng) * (double)c->commit_delay);
	claims_reject_requests(c, s, now - RATE_LIMIT_WAIT_MS, c->commit_delay);
}

static void
platform_failed(claims_t *c, const err_t *e)
{
	char why[ERR_TEXT_MAX];

	if (c->retry_at == 0)
		log_event(LOG_WARNING, "claims_down", "error=%s why=%s",
		    err_name(e->code), log_quote(why, sizeof(why), e->text));
	c->retry_at = claims_now(c) + backoff_next(&c->backoff, &c->rng);
}

static void
platform_answered(claims_t *c)
{
	if (c->retry_at != 0)
		log_event(LOG_NOTICE, "claims_up", "waiting=%d", c->nsettle);
	c->retry_at = 0;
	backoff_reset(&c->backoff);
	if (c->commit_delay > c->o.settings->claims.commit_ms)
		c->commit_delay -= 1 + (c->commit_delay / 16);
	if (c->commit_delay < c->o.settings->claims.commit_ms)
		c->commit_delay = c->o.settings->claims.commit_ms;
}

static void
commit_failed(claims_t *c, bucket_queue_t *s, const err_t *e)
{
	char why[ERR_TEXT_MAX];

	switch (e->code) {
	case ERR_FULL:
	case ERR_CONFLICT:
		slow_down(c, s);
		break;
	case ERR_DOWN:
	case ERR_UNKNOWN:
		platform_failed(c, e);
		claims_reject_requests(c, s, INT64_MAX, claims_retry_after(c));
		break;
	default:
		log_event(LOG_ERR, "bucket_failed", "bucket=%s why=%s", s->key,
		    log_quote(why, sizeof(why), e->text));
		s->not_before = claims_now(c) + BACKOFF_MAX_MS;
		claims_reject_requests(c, s, INT64_MAX, BACKOFF_MAX_MS);
	}
}

void
claims_commit(claims_t *c, bucket_queue_t *s)
{
	bool changed, maybe_stale;
	err_t e = { 0 };
	int i;

	s->bucket.current = false;
	for (i = 0; i < TRIES_MAX; i++) {
		/*
		 * Not even entered: once it has been taken over by another
		 * owner's request, a claim can't be given up any more.
		 */
		claims_reject_requests(
		    c, s, claims_now(c) - max_age(c) - 1, OUTAGE_RETRY_MIN_MS);
		if (load_bucket(c, s, &e) == -1)
			break;
		changed = apply(c, s, &maybe_stale);
		if (maybe_stale && !s->bucket.current) {
			s->bucket.loaded = false;
			continue;
		}
		if (!changed || write_bucket(c, s, &e) == 0) {
			platform_answered(c);
			complete_work(c, s);
			return;
		}
		if (e.code != ERR_CONFLICT && e.code != ERR_UNKNOWN)
			break;
	}
	commit_failed(c, s, &e);
}

/* The number of buckets */

static int
read_bucket_count(claims_t *c, err_t *e)
{
	object_t o;
	json_t *j;
	int n;

	if (c->store.get(c->store.user, buckets_key, &o, e) == -1)
		return -1;
	j = json_loadb(o.value, o.len, 0, NULL);
	n = (int)json_integer_value(json_object_get(j, "buckets"));
	json_decref(j);
	object_clear(&o);
	if (n < 1 || n > BUCKETS_MAX)
		return err_set(
		    e, ERR_PROTO, "%s: invalid number of buckets", buckets_key);
	return n;
}

/*
 * Daemons whose settings differ would look for a key in different buckets and
 * grant it twice. So the first daemon stores its number on the platform, and
 * that overrides all settings. @return the number, or -1
 */
static int
buckets_in_use(claims_t *c, err_t *e)
{
	int i, n, own = (int)c->o.settings->claims.buckets;
	uint64_t version;
	char value[32];

	snprintf(value, sizeof(value), "{\"buckets\":%d}", own);
	for (i = 0; i < TRIES_MAX; i++) {
		n = read_bucket_count(c, e);
		if (n != -1) {
			if (n != own)
				log_event(LOG_WARNING, "buckets_differ",
				    "settings=%d in_use=%d", own, n);
			return n;
		}
		if (e->code != ERR_NOT_FOUND)
			return -1;
		/* Whatever the result is, the stored number is read next. */
		if (c->store.put(c->store.user, buckets_key, value,
			strlen(value), 0, &version, e) == -1 &&
		    e->code != ERR_CONFLICT && e->code != ERR_UNKNOWN)
			return -1;
	}
	return -1;
}

int
claims_bucket_count(claims_t *c)
{
	err_t e = { 0 };
	int n = buckets_in_use(c, &e);

	if (n == -1)
		platform_failed(c, &e);
	else
		platform_answered(c);
	return n;
}
