#include "store/platform.h"

#include <string.h>
#include <stdlib.h>
#include <unistd.h>
#include <sys/random.h>
#include <jansson.h>

enum {
	TRIES_MAX = 4,
	/* the holder stops ttl / MARGIN_PARTS before the lease ends */
	MARGIN_PARTS = 8,
};

/* The lease object on the platform. */
typedef struct lease_object {
	char holder[ID_MAX]; /* empty: released */
	uint64_t fencing_token;
	uint64_t writer_id, write_seq; /* as in lease_t, of its writer */
	ms_t ttl;
	uint64_t version; /* 0: the object doesn't exist */
} lease_object_t;

void
lease_init(lease_t *l, const char *name, const char *holder, ms_t ttl,
    const msclock_t *clock)
{
	memset(l, 0, sizeof(*l));
	str_set(l->name, sizeof(l->name), name);
	str_set(l->holder, sizeof(l->holder), holder);
	l->ttl = ttl;
	l->clock = clock;
	/* JSON integers are signed, so only 63 bits are used. */
	if (getrandom(&l->writer_id, sizeof(l->writer_id), 0) !=
	    sizeof(l->writer_id))
		l->writer_id = (uint64_t)clock_wall() ^ (uint64_t)getpid()
							    << 40;
	l->writer_id >>= 1;
}

static void
lease_key(const lease_t *l, char *key, size_t size)
{
	snprintf(key, size, "lease/%s", l->name);
}

static int
read_lease(const lease_t *l, platform_t *p, lease_object_t *s, err_t *e)
{
	char key[ID_MAX + 16];
	object_t o;
	err_t why;
	json_t *j;
	const char *holder;

	memset(s, 0, sizeof(*s));
	lease_key(l, key, sizeof(key));
	if (platform_get(p, key, &o, &why) == -1) {
		if (why.code == ERR_NOT_FOUND)
			return 0;
		return err_set(e, why.code, "%s", why.text);
	}
	j = json_loadb(o.value, o.len, 0, NULL);
	holder = json_string_value(json_object_get(j, "holder"));
	s->version = o.version;
	s->fencing_token = json_integer_value(json_object_get(j, "fence"));
	s->writer_id = json_integer_value(json_object_get(j, "mark"));
	s->write_seq = json_integer_value(json_object_get(j, "beat"));
	s->ttl = json_integer_value(json_object_get(j, "ttl_ms"));
	if (holder != NULL)
		str_set(s->holder, sizeof(s->holder), holder);
	object_clear(&o);
	json_decref(j);
	if (holder == NULL)
		return err_set(e, ERR_PROTO, "%s: invalid lease object", key);
	return 0;
}

/* Write the lease with @p holder ("" releases it) over version @p expect. */
static int
write_lease(lease_t *l, platform_t *p, const char *holder,
    uint64_t fencing_token, uint64_t expect, uint64_t *version, err_t *e)
{
	char key[ID_MAX + 16], value[256];

	lease_key(l, key, sizeof(key));
	snprintf(value, sizeof(value),
	    "{\"holder\":\"%s\",\"fence\":%" PRIu64 ",\"mark\":%" PRIu64
	    ",\"beat\":%" PRIu64 ",\"ttl_ms\":%" PRId64 "}",
	    holder, fencing_token, l->writer_id, ++l->write_seq, l->ttl);
	return platform_put(p, key, value, strlen(value), expect, version, e);
}

/* Our write, sent at @p sent, succeeded as @p version. */
static void
set_held(lease_t *l, uint64_t fencing_token, uint64_t version, ms_t sent)
{
	l->fencing_token = fencing_token;
	l->version = version;
	l->held_until = sent + l->ttl - l->ttl / MARGIN_PARTS;
}

/* @return true if the lease is free, ours, or was unchanged for its ttl */
static bool
can_take(lease_t *l, const lease_object_t *s, ms_t now)
{
	if (s->version == 0 || s->holder[0] == '\0')
		return true;
	/* Our own last write, expired or delayed; none has come since. */
	if (s->writer_id == l->writer_id)
		return true;
	if (s->version != l->seen_version) {
		l->seen_version = s->version;
		l->seen_at = now;
		return false;
	}
	return now >= l->seen_at + s->ttl;
}

/*
 * Write the lease as ours with @p fencing_token over @p expect. If the reply is
 * lost, or is a conflict that a resend may have caused, the write may have
 * succeeded: read the object, and hold the lease only if it has this very
 * write, from the time it was sent.
 * @return 0 held; -1 failed; 1 the object has another write, put in @p s
 */
static int
write_and_verify(lease_t *l, platform_t *p, uint64_t fencing_token,
    uint64_t expect, lease_object_t *s, err_t *e)
{
	ms_t sent = clock_now(l->clock);
	uint64_t version;
	err_t why = { 0 };

	if (write_lease(
		l, p, l->holder, fencing_token, expect, &version, &why) == 0) {
		set_held(l, fencing_token, version, sent);
		return 0;
	}
	if (why.code != ERR_UNKNOWN && why.code != ERR_CONFLICT)
		return err_set(e, why.code, "%s", why.text);
	if (read_lease(l, p, s, e) == -1)
		return -1;
	if (s->writer_id == l->writer_id && s->write_seq == l->write_seq) {
		set_held(l, fencing_token, s->version, sent);
		return 0;
	}
	return 1;
}

/* Acquire the lease if it is free. */
static int
acquire(lease_t *l, platform_t *p, err_t *e)
{
	lease_object_t s = { 0 };
	int i, rc;

	if (read_lease(l, p, &s, e) == -1)
		return -1;
	for (i = 0; i < TRIES_MAX; i++) {
		if (!can_take(l, &s, clock_now(l->clock)))
			return err_set(
			    e, ERR_CONFLICT, "lease is held by %s", s.holder);
		rc = write_and_verify(
		    l, p, s.fencing_token + 1, s.version, &s, e);
		if (rc != 1)
			return rc;
	}
	return err_set(e, ERR_UNKNOWN, "%s: no write succeeded", l->name);
}

static int
renew(lease_t *l, platform_t *p, err_t *e)
{
	lease_object_t s = { 0 };
	int i, rc;

	for (i = 0; i < TRIES_MAX; i++) {
		rc =
		    write_and_verify(l, p, l->fencing_token, l->version, &s, e);
		if (rc != 1)
			return rc;
		if (s.writer_id != l->writer_id ||
		    s.fencing_token != l->fencing_token) {
			l->fencing_token = 0;
			return err_set(e, ERR_CONFLICT,
			    "lease was taken over by %s", s.holder);
		}
		l->version = s.version;
	}
	return err_set(e, ERR_UNKNOWN, "%s: no write succeeded", l->name);
}

int
lease_acquire(lease_t *l, platform_t *p, err_t *e)
{
	if (l->fencing_token != 0 && lease_held(l))
		return renew(l, p, e);
	l->fencing_token = 0;
	return acquire(l, p, e);
}

bool
lease_held(const lease_t *l)
{
	return l->fencing_token != 0 && clock_now(l->clock) < l->held_until;
}

int
lease_drop(lease_t *l, platform_t *p, err_t *e)
{
	uint64_t fencing_token = l->fencing_token;

	/* Not held from here on, even if the write fails. */
	l->fencing_token = 0;
	if (fencing_token == 0)
		return 0;
	return write_lease(l, p, "", fencing_token, l->version, NULL, e);
}
