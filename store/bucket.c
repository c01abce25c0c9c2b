#include "store/bucket.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	AGE_BYTES = 24,		     /* of the age and its punctuation */
	SETTLE_BYTES = 160,	     /* of an outcome without a reply */
	DEFAULT_TIMEOUT_MS = 120000, /* of a service missing in the settings */
	FULL_RETRY_MIN_MS = 1000,    /* retry_after for a full bucket */
	FULL_RETRY_MAX_MS = 60000,
	RUNNING_RETRY_MIN_MS = 100, /* retry_after while the first call runs */
	RUNNING_RETRY_MAX_MS = 2000,
};

static void
claim_free(void *p)
{
	claim_t *c = p;

	free(c->reply);
	free(c->json);
	free(c);
}

void
bucket_clear(bucket_t *b)
{
	if (b->claims != NULL)
		g_hash_table_destroy(b->claims);
	memset(b, 0, sizeof(*b));
}

/* Unique: a service's name contains no space. */
static char *
index_key(const char *service, const char *key)
{
	return g_strdup_printf("%s %s", service, key);
}

static claim_t *
find_claim(const bucket_t *b, const char *service, const char *key)
{
	char *k = index_key(service, key);
	claim_t *c = g_hash_table_lookup(b->claims, k);

	g_free(k);
	return c;
}

static void
add_claim(bucket_t *b, claim_t *c)
{
	g_hash_table_replace(b->claims, index_key(c->service, c->key), c);
	b->reserved += c->reserved;
}

static void
remove_claim(bucket_t *b, const claim_t *c)
{
	char *k = index_key(c->service, c->key);

	b->reserved -= c->reserved;
	g_hash_table_remove(b->claims, k);
	g_free(k);
}

/* Encode the claim as JSON, without the age and the closing brace. */
static void
claim_encode(claim_t *c)
{
	/* A caller's key may be any bytes; JSON needs UTF-8. */
	char *key = g_strescape(c->key, NULL);
	char *request = g_strescape(c->request, NULL), *reply;
	char body[24];
	json_t *j;

	snprintf(body, sizeof(body), "%016" PRIx64, c->body_hash);
	j = json_pack("{s:s, s:s, s:s, s:s, s:s}", "key", key, "service",
	    c->service, "request", request, "mark", c->attempt_id, "body",
	    body);
	g_free(key);
	g_free(request);
	if (c->settled) {
		json_object_set_new(j, "outcome", json_integer(c->outcome));
		json_object_set_new(j, "status", json_integer(c->status));
		json_object_set_new(j, "type", json_string(c->type));
	}
	if (c->reply != NULL) {
		reply = g_base64_encode((const guchar *)c->reply, c->len);
		json_object_set_new(j, "reply", json_string(reply));
		g_free(reply);
	}
	free(c->json);
	c->json = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	c->reserved = strlen(c->json) - 1;
	c->json[c->reserved] = '\0';
	c->reserved += AGE_BYTES + (c->settled ? 0 : SETTLE_BYTES);
}

static const char *
string_field(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

static claim_t *
claim_decode(const json_t *j, ms_t now)
{
	const char *reply = json_string_value(json_object_get(j, "reply"));
	claim_t *c = calloc(1, sizeof(*c));
	char *key = g_strcompress(string_field(j, "key"));
	char *request = g_strcompress(string_field(j, "request"));
	guchar *bytes;
	gsize len;

	str_set(c->key, sizeof(c->key), key);
	str_set(c->request, sizeof(c->request), request);
	g_free(key);
	g_free(request);
	str_set(c->service, sizeof(c->service), string_field(j, "service"));
	str_set(c->attempt_id, sizeof(c->attempt_id), string_field(j, "mark"));
	str_set(c->type, sizeof(c->type), string_field(j, "type"));
	c->body_hash = strtoull(string_field(j, "body"), NULL, 16);
	c->age = json_integer_value(json_object_get(j, "age"));
	c->since = now - c->age;
	c->settled = json_object_get(j, "outcome") != NULL;
	c->outcome = json_integer_value(json_object_get(j, "outcome"));
	c->status = json_integer_value(json_object_get(j, "status"));
	if (reply != NULL) {
		bytes = g_base64_decode(reply, &len);
		c->reply = malloc(len + 1);
		memcpy(c->reply, bytes, len);
		c->len = len;
		g_free(bytes);
	}
	claim_encode(c);
	return c;
}

/* A claim that was in memory before keeps its age if that is older. */
static void
add_decoded(bucket_t *b, const bucket_t *before, claim_t *c)
{
	const claim_t *seen;

	if (before->claims != NULL) {
		seen = find_claim(before, c->service, c->key);
		if (seen != NULL && seen->settled == c->settled &&
		    strcmp(seen->request, c->request) == 0 &&
		    seen->since < c->since)
			c->since = seen->since;
	}
	add_claim(b, c);
}

int
bucket_decode(bucket_t *b, const object_t *o, ms_t now, err_t *e)
{
	json_t *j = NULL, *claims = NULL, *item;
	bucket_t before = *b;
	size_t i;

	if (o != NULL) {
		j = json_loadb(o->value, o->len, 0, NULL);
		claims = json_object_get(j, "claims");
		if (!json_is_array(claims)) {
			json_decref(j);
			return err_set(
			    e, ERR_PROTO, "%s: no array of claims", o->key);
		}
	}
	b->claims =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, claim_free);
	b->reserved = sizeof("{\"claims\":[]}");
	b->version = o == NULL ? 0 : o->version;
	b->loaded = b->current = true;
	json_array_foreach(claims, i, item)
	    add_decoded(b, &before, claim_decode(item, now));
	json_decref(j);
	bucket_clear(&before);
	return 0;
}

char *
bucket_encode(bucket_t *b, ms_t now, size_t *len)
{
	GString *g = g_string_sized_new(b->reserved + 1);
	GHashTableIter it;
	gpointer value;
	bool first = true;

	g_string_append(g, "{\"claims\":[");
	g_hash_table_iter_init(&it, b->claims);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		claim_t *c = value;

		c->age = now - c->since;
		g_string_append_printf(g, "%s%s,\"age\":%" PRId64 "}",
		    first ? "" : ",", c->json, c->age);
		first = false;
	}
	g_string_append(g, "]}");
	*len = g->len;
	return g_string_free(g, FALSE);
}

static ms_t
service_timeout(const bucket_limits_t *l, const char *service)
{
	const service_conf_t *s = settings_service(l->settings, service);

	return s == NULL ? DEFAULT_TIMEOUT_MS : s->timeout_ms;
}

bool
bucket_expire(bucket_t *b, const bucket_limits_t *l, ms_t now)
{
	GHashTableIter it;
	gpointer value;
	bool any = false;

	g_hash_table_iter_init(&it, b->claims);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const claim_t *c = value;
		ms_t keep = l->retention;

		/* A call that wasn't settled may have run until its timeout. */
		if (!c->settled)
			keep += service_timeout(l, c->service);
		if (now - c->since <= keep)
			continue;
		b->reserved -= c->reserved;
		g_hash_table_iter_remove(&it);
		any = true;
	}
	return any;
}

static void
answer_repeat(
    const bucket_limits_t *l, const claim_t *c, ms_t now, claim_answer_t *a)
{
	ms_t left = service_timeout(l, c->service) - (now - c->since);

	if (!c->settled && left > 0) {
		a->outcome = CLAIM_RUNNING;
		a->retry_after =
		    CLAMP(left, RUNNING_RETRY_MIN_MS, RUNNING_RETRY_MAX_MS);
		return;
	}
	if (!c->settled || c->outcome == CALL_UNKNOWN ||
	    c->outcome == CALL_CANCELLED) {
		a->outcome = CLAIM_UNKNOWN;
		return;
	}
	a->outcome = CLAIM_DONE;
	a->status = c->status;
	str_set(a->type, sizeof(a->type), c->type);
	if (c->reply != NULL) {
		a->reply = malloc(c->len + 1);
		memcpy(a->reply, c->reply, c->len);
		a->len = c->len;
	}
}

/* Time until the first outcome in a full bucket expires. */
static ms_t
full_retry_after(const bucket_t *b, const bucket_limits_t *l, ms_t now)
{
	ms_t min = FULL_RETRY_MAX_MS;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->claims);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const claim_t *c = value;

		if (c->settled && c->since + l->retention - now < min)
			min = c->since + l->retention - now;
	}
	return min < FULL_RETRY_MIN_MS ? FULL_RETRY_MIN_MS : min;
}

/* Encode the claim again and update the reserved bytes. */
static void
reencode_claim(bucket_t *b, claim_t *c)
{
	b->reserved -= c->reserved;
	claim_encode(c);
	b->reserved += c->reserved;
}

grant_t
bucket_claim(bucket_t *b, const bucket_limits_t *l, const claim_request_t *req,
    const char *attempt_id, ms_t now, claim_answer_t *a)
{
	claim_t *c = find_claim(b, req->service, req->key);

	memset(a, 0, sizeof(*a));
	if (c != NULL && !c->settled && strcmp(c->request, req->request) == 0) {
		a->outcome = CLAIM_FRESH;
		if (strcmp(c->attempt_id, attempt_id) == 0)
			return GRANT_EXISTING;
		/* The request that held it can no longer remove it. */
		str_set(c->attempt_id, sizeof(c->attempt_id), attempt_id);
		reencode_claim(b, c);
		return GRANT_TAKEN_OVER;
	}
	if (c != NULL) {
		str_set(a->first_request, sizeof(a->first_request), c->request);
		if (c->body_hash != req->body_hash)
			a->outcome = CLAIM_MISMATCH;
		else
			answer_repeat(l, c, now, a);
		/*
		 * The stored age is below the timeout: others that read it
		 * would take the call for still running.
		 */
		if (a->outcome == CLAIM_UNKNOWN && !c->settled &&
		    c->age < service_timeout(l, c->service))
			return GRANT_NONE_WRITE_AGE;
		return GRANT_NONE;
	}
	c = calloc(1, sizeof(*c));
	str_set(c->key, sizeof(c->key), req->key);
	str_set(c->service, sizeof(c->service), req->service);
	str_set(c->request, sizeof(c->request), req->request);
	str_set(c->attempt_id, sizeof(c->attempt_id), attempt_id);
	c->body_hash = req->body_hash;
	c->since = now;
	claim_encode(c);
	if (b->reserved + c->reserved > l->size_max) {
		claim_free(c);
		a->outcome = CLAIM_DOWN;
		a->retry_after = full_retry_after(b, l, now);
		return GRANT_NONE;
	}
	add_claim(b, c);
	a->outcome = CLAIM_FRESH;
	return GRANT_ADDED;
}

settle_result_t
bucket_settle(bucket_t *b, const bucket_limits_t *l, const claim_settle_t *s,
    const char *attempt_id, ms_t now)
{
	claim_t *c = find_claim(b, s->service, s->key);

	if (c == NULL || strcmp(c->request, s->request) != 0 ||
	    (attempt_id != NULL && strcmp(c->attempt_id, attempt_id) != 0))
		return SETTLE_NO_CLAIM;
	if (c->settled)
		return SETTLE_REPEATED;
	if (s->outcome == CALL_REFUSED) {
		remove_claim(b, c);
		return SETTLE_DONE;
	}
	c->settled = true;
	c->since = now;
	c->outcome = s->outcome;
	c->status = s->status;
	str_set(c->type, sizeof(c->type), s->type);
	if (s->reply != NULL && s->len <= STORED_REPLY_MAX) {
		c->reply = malloc(s->len + 1);
		memcpy(c->reply, s->reply, s->len);
		c->len = s->len;
	}
	reencode_claim(b, c);
	/* Room for the outcome is reserved; the reply needs free room. */
	if (b->reserved > l->size_max && c->reply != NULL) {
		free(c->reply);
		c->reply = NULL;
		c->len = 0;
		reencode_claim(b, c);
	}
	return SETTLE_DONE;
}
