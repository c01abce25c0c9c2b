#include "store/claims.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	TRIES_MAX = 8,	      /* of one commit */
	ASK_WAIT_MS = 1000,   /* an ask waits out a rate limit this long */
	GATHER_LEAST_MS = 4,  /* first widening at the rate limit */
	GATHER_MOST_MS = 250, /* widest gathering */
	BUCKETS_MAX = 65536,
};

/* The number of buckets in use, whatever the settings say. */
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
 * Answer an ask. If it isn't granted but a write that may yet take effect has
 * its claim, the work becomes one of giving that claim up, so that a retry
 * isn't told of a first call that never was. A claim taken from another ask
 * of the request isn't ours to give up: that one may have been granted.
 * @return true if it is over.
 */
static bool
answer(claims_t *c, work_t *w)
{
	claim_settle_t s = { .outcome = CALL_REFUSED };

	counter_add(c->outcome[w->answer.outcome], 1);
	if (w->answer.outcome == CLAIM_FRESH && !w->taken)
		str_copy(w->answer.mark, sizeof(w->answer.mark), w->mark);
	c->o.done(c->o.user, w->tag, &w->answer);
	w->answer.reply = NULL;
	if (w->answer.outcome == CLAIM_FRESH || !w->doubt || w->taken)
		return true;
	str_copy(s.key, sizeof(s.key), w->ask.key);
	str_copy(s.service, sizeof(s.service), w->ask.service);
	str_copy(s.request, sizeof(s.request), w->ask.request);
	w->settle = s;
	w->kind = WORK_SETTLE;
	c->nsettle++;
	counter_add(c->given_up, 1);
	return false;
}

bool
claims_turn_down(claims_t *c, work_t *w, ms_t retry_after)
{
	free(w->answer.reply);
	memset(&w->answer, 0, sizeof(w->answer));
	w->answer.outcome = CLAIM_DOWN;
	w->answer.retry_after = retry_after;
	return answer(c, w);
}

void
claims_turn_asks_down(claims_t *c, slot_t *s, ms_t upto, ms_t retry_after)
{
	guint i, kept = 0;

	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_ASK && w->came <= upto) {
			s->asks--;
			if (claims_turn_down(c, w, retry_after)) {
				claims_work_free(w);
				continue;
			}
		}
		s->waiting->pdata[kept++] = w;
	}
	g_ptr_array_set_size(s->waiting, (gint)kept);
}

ms_t
claims_come_back(const claims_t *c)
{
	ms_t left = c->down_until - claims_now(c);

	return left < DOWN_LEAST_MS ? DOWN_LEAST_MS : left;
}

/* One commit */

static int
load(claims_t *c, slot_t *s, err_t *e)
{
	object_t o;
	err_t why;
	ms_t read;
	int rc;

	if (s->b.loaded)
		return 0;
	counter_add(c->reads, 1);
	rc = c->store.get(c->store.user, s->key, &o, &why);
	/* From the answer on: a claim may only seem younger than it is. */
	read = claims_now(c);
	if (rc == -1 && why.code == ERR_NOT_FOUND)
		return bucket_decode(&s->b, NULL, read, e);
	if (rc == -1)
		return err_set(e, why.code, "%s", why.text);
	rc = bucket_decode(&s->b, &o, read, e);
	object_clear(&o);
	return rc;
}

/*
 * @return true if the object is to be written. If there is no such claim, a
 * write shows that this isn't an old state, and keeps a late write that has
 * the claim from taking effect.
 */
static bool
apply_settle(claims_t *c, slot_t *s, const work_t *w, ms_t now)
{
	const char *mark = w->mark[0] == '\0' ? NULL : w->mark;

	return bucket_settle(&s->b, &c->limits, &w->settle, mark, now) !=
	       SETTLED_BEFORE;
}

/*
 * Do all waiting work on the bucket in memory. @return true if the object is
 * to be written. @param unsure an answer rests on what may be out of date.
 */
static bool
apply(claims_t *c, slot_t *s, bool *unsure)
{
	ms_t now = claims_now(c);
	bool changed = false;
	guint i;

	*unsure = false;
	bucket_expire(&s->b, &c->limits, now);
	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_SETTLE) {
			changed |= apply_settle(c, s, w, now);
			continue;
		}
		free(w->answer.reply);
		switch (bucket_claim(
		    &s->b, &c->limits, &w->ask, w->mark, now, &w->answer)) {
		case GRANT_TAKEN:
			w->taken = true;
			/* FALLTHROUGH */
		case GRANT_ENTERED:
		case GRANT_LAPSED:
			changed = true;
			break;
		case GRANT_STANDING:
			break;
		case GRANT_NONE:
			*unsure |= w->answer.outcome != CLAIM_DONE;
			break;
		}
	}
	return changed;
}

static int
write_out(claims_t *c, slot_t *s, err_t *e)
{
	uint64_t version;
	size_t len;
	char *value = bucket_encode(&s->b, claims_now(c), &len);
	guint i;
	int rc;

	counter_add(c->writes, 1);
	rc = c->store.put(
	    c->store.user, s->key, value, len, s->b.version, &version, e);
	g_free(value);
	if (rc == 0) {
		s->b.version = version;
		s->b.current = true;
		return 0;
	}
	/* Memory is ahead of the object now. */
	s->b.loaded = false;
	if (e->code == ERR_CONFLICT)
		counter_add(c->conflicts, 1);
	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_ASK && e->code != ERR_FULL &&
		    e->code != ERR_DOWN && w->answer.outcome == CLAIM_FRESH)
			w->doubt = true;
	}
	return -1;
}

/* The commit stands: answer what waited for it. */
static void
finish(claims_t *c, slot_t *s)
{
	ms_t now = claims_now(c);
	ms_t late = 2 * c->o.settings->platform.timeout_ms;
	guint i, kept = 0;
	bool over;

	if (late > c->limits.keep / 2)
		late = c->limits.keep / 2;
	for (i = 0; i < s->waiting->len; i++) {
		work_t *w = s->waiting->pdata[i];

		if (w->kind == WORK_SETTLE) {
			c->nsettle--;
			claims_work_free(w);
			continue;
		}
		s->asks--;
		/* Paused meanwhile: nobody waits any more, and who knows. */
		if (w->answer.outcome == CLAIM_FRESH && now - w->came > late) {
			w->doubt = true;
			over = claims_turn_down(c, w, DOWN_LEAST_MS);
		} else {
			over = answer(c, w);
		}
		if (over)
			claims_work_free(w);
		else
			s->waiting->pdata[kept++] = w;
	}
	g_ptr_array_set_size(s->waiting, (gint)kept);
}

/* The rate limit: gather more claims into each write. */
static void
slow_down(claims_t *c, slot_t *s)
{
	ms_t now = claims_now(c);

	c->gather = 2 * MAX(c->gather, GATHER_LEAST_MS);
	if (c->gather > GATHER_MOST_MS)
		c->gather = GATHER_MOST_MS;
	s->not_before = now + 1 + (ms_t)(rng_unit(&c->rng) * (double)c->gather);
	claims_turn_asks_down(c, s, now - ASK_WAIT_MS, c->gather);
}

static void
went_down(claims_t *c, const err_t *e)
{
	char why[ERR_TEXT_MAX];

	if (c->down_until == 0)
		log_event(LOG_WARNING, "claims_down", "error=%s why=%s",
		    err_name(e->code), log_quote(why, sizeof(why), e->text));
	c->down_until = claims_now(c) + backoff_next(&c->backoff, &c->rng);
}

static void
came_up(claims_t *c)
{
	if (c->down_until != 0)
		log_event(LOG_NOTICE, "claims_up", "waiting=%d", c->nsettle);
	c->down_until = 0;
	backoff_reset(&c->backoff);
	if (c->gather > c->o.settings->claims.commit_ms)
		c->gather -= 1 + (c->gather / 16);
	if (c->gather < c->o.settings->claims.commit_ms)
		c->gather = c->o.settings->claims.commit_ms;
}

static void
failed(claims_t *c, slot_t *s, const err_t *e)
{
	char why[ERR_TEXT_MAX];

	switch (e->code) {
	case ERR_FULL:
	case ERR_CONFLICT:
		slow_down(c, s);
		break;
	case ERR_DOWN:
	case ERR_UNKNOWN:
		went_down(c, e);
		claims_turn_asks_down(c, s, INT64_MAX, claims_come_back(c));
		break;
	default:
		log_event(LOG_ERR, "bucket_failed", "bucket=%s why=%s", s->key,
		    log_quote(why, sizeof(why), e->text));
		s->not_before = claims_now(c) + BACKOFF_MOST_MS;
		claims_turn_asks_down(c, s, INT64_MAX, BACKOFF_MOST_MS);
	}
}

void
claims_commit(claims_t *c, slot_t *s)
{
	bool changed, unsure;
	err_t e = { 0 };
	int i;

	s->b.current = false;
	for (i = 0; i < TRIES_MAX; i++) {
		if (load(c, s, &e) == -1)
			break;
		changed = apply(c, s, &unsure);
		if (unsure && !s->b.current) {
			s->b.loaded = false;
			continue;
		}
		if (!changed || write_out(c, s, &e) == 0) {
			came_up(c);
			finish(c, s);
			return;
		}
		if (e.code != ERR_CONFLICT && e.code != ERR_UNKNOWN)
			break;
	}
	failed(c, s, &e);
}

/* The number of buckets */

static int
read_buckets(claims_t *c, err_t *e)
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
		return err_set(e, ERR_PROTO, "%s isn't one", buckets_key);
	return n;
}

/*
 * Daemons whose settings differ would look for a key in different buckets and
 * grant it twice. The first one's number is kept on the platform and goes
 * before everybody's settings. @return it, or -1.
 */
static int
buckets_in_use(claims_t *c, err_t *e)
{
	int i, n, own = (int)c->o.settings->claims.buckets;
	uint64_t version;
	char value[32];

	snprintf(value, sizeof(value), "{\"buckets\":%d}", own);
	for (i = 0; i < TRIES_MAX; i++) {
		n = read_buckets(c, e);
		if (n != -1) {
			if (n != own)
				log_event(LOG_WARNING, "buckets_differ",
				    "settings=%d in_use=%d", own, n);
			return n;
		}
		if (e->code != ERR_NOT_FOUND)
			return -1;
		/* Whatever comes of it, what stands is read. */
		if (c->store.put(c->store.user, buckets_key, value,
			strlen(value), 0, &version, e) == -1 &&
		    e->code != ERR_CONFLICT && e->code != ERR_UNKNOWN)
			return -1;
	}
	return -1;
}

int
claims_learn(claims_t *c)
{
	err_t e = { 0 };
	int n = buckets_in_use(c, &e);

	if (n == -1)
		went_down(c, &e);
	else
		came_up(c);
	return n;
}
