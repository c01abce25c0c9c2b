#include "store/platform.h"

#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include <jansson.h>

#include "store/json.h"

enum {
	URL_MAX = 1024,
	RESPONSE_MAX = 64 << 20, /* bytes */
	WATCH_SLACK_MS = 1000,	 /* timeout of a watch beyond its wait */
};

struct platform {
	CURL *curl;
	platform_opts_t o;
	struct curl_slist *headers; /* of every request */
	const char *to_send;	    /* rest of the request body */
	size_t to_send_len;
	char *response;
	size_t response_len, response_room;
	uint64_t etag; /* of the response; 0: none */
};

typedef struct platform_request {
	const char *method;
	const char *body; /* NULL: none */
	size_t len;
	const char *condition; /* header line or NULL */
	ms_t timeout;
	bool write; /* must not be sent twice */
} platform_request_t;

static size_t
on_body(char *data, size_t size, size_t n, void *user)
{
	platform_t *p = user;
	size_t more = size * n, room;
	char *grown;

	if (p->response_len + more > RESPONSE_MAX)
		return 0;
	if (p->response_len + more + 1 > p->response_room) {
		room = (p->response_len + more + 1) * 2;
		grown = realloc(p->response, room);
		if (grown == NULL)
			return 0;
		p->response = grown;
		p->response_room = room;
	}
	memcpy(p->response + p->response_len, data, more);
	p->response_len += more;
	p->response[p->response_len] = '\0';
	return more;
}

static size_t
on_read(char *buf, size_t size, size_t n, void *user)
{
	platform_t *p = user;
	size_t now = p->to_send_len < size * n ? p->to_send_len : size * n;

	memcpy(buf, p->to_send, now);
	p->to_send += now;
	p->to_send_len -= now;
	return now;
}

static size_t
on_header(char *line, size_t size, size_t n, void *user)
{
	static const char name[] = "etag:";
	platform_t *p = user;
	const char *quote;

	if (size * n > sizeof(name) &&
	    strncasecmp(line, name, sizeof(name) - 1) == 0) {
		quote = memchr(line, '"', size * n);
		if (quote != NULL)
			p->etag = strtoull(quote + 1, NULL, 10);
	}
	return size * n;
}

platform_t *
platform_new(const platform_opts_t *o, err_t *e)
{
	platform_t *p = calloc(1, sizeof(*p));
	char user[ID_MAX + 16];

	if (p == NULL || (p->curl = curl_easy_init()) == NULL) {
		free(p);
		err_set(e, ERR_INTERNAL, "no memory for a platform client");
		return NULL;
	}
	p->o = *o;
	snprintf(user, sizeof(user), "X-User: %s", o->user);
	p->headers = curl_slist_append(NULL, user);
	p->headers = curl_slist_append(p->headers, "Expect:");
	p->headers =
	    curl_slist_append(p->headers, "Content-Type: application/json");
	return p;
}

void
platform_free(platform_t *p)
{
	if (p == NULL)
		return;
	curl_slist_free_all(p->headers);
	curl_easy_cleanup(p->curl);
	free(p->response);
	free(p);
}

/* @return true if certainly no byte of the request's body was sent */
static bool
never_sent(const platform_t *p, const platform_request_t *c, CURLcode rc)
{
	return rc == CURLE_COULDNT_CONNECT ||
	       (c->body != NULL && p->to_send_len == c->len);
}

static void
prepare(platform_t *p, const char *url, const platform_request_t *c)
{
	CURL *h = p->curl;

	/* The reset keeps open connections. */
	curl_easy_reset(h);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, c->method);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)c->timeout);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, (long)p->o.timeout);
	curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, p);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, p);
	/*
	 * libcurl resends a request by itself if a reused connection closes
	 * before the response; the conflict of the second one would then hide
	 * that the first one succeeded. It can't resend a body that it can't
	 * rewind; a write without a body gets a new connection.
	 */
	if (c->body != NULL) {
		curl_easy_setopt(h, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(h, CURLOPT_READFUNCTION, on_read);
		curl_easy_setopt(h, CURLOPT_READDATA, p);
		curl_easy_setopt(
		    h, CURLOPT_INFILESIZE_LARGE, (curl_off_t)c->len);
	} else if (c->write) {
		curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
	}
}

/* @return the HTTP status, or -1 */
static int
perform(platform_t *p, const char *path, const platform_request_t *c, err_t *e)
{
	struct curl_slist line = { NULL, p->headers };
	char url[URL_MAX];
	long status = 0;
	CURLcode rc;

	if (snprintf(url, sizeof(url), "http://%s%s", p->o.addr, path) >=
	    (int)sizeof(url))
		return err_set(e, ERR_INVAL, "key too long: %.100s", path);
	p->response_len = 0;
	p->etag = 0;
	p->to_send = c->body;
	p->to_send_len = c->len;
	prepare(p, url, c);
	line.data = (char *)c->condition;
	curl_easy_setopt(p->curl, CURLOPT_HTTPHEADER,
	    c->condition != NULL ? &line : p->headers);
	rc = curl_easy_perform(p->curl);
	if (rc != CURLE_OK)
		return err_set(e, never_sent(p, c, rc) ? ERR_DOWN : ERR_UNKNOWN,
		    "%s: %s", url, curl_easy_strerror(rc));
	curl_easy_getinfo(p->curl, CURLINFO_RESPONSE_CODE, &status);
	switch (status) {
	case 429:
		return err_set(e, ERR_FULL, "%s: rate limit exceeded", url);
	case 503:
		return err_set(e, ERR_DOWN, "%s: status 503, unavailable", url);
	default:
		return (int)status;
	}
}

static int
status_error(int status, const char *path, err_t *e)
{
	switch (status) {
	case -1: /* e is set */
		return -1;
	case 404:
		return err_set(e, ERR_NOT_FOUND, "%s: not found", path);
	case 410:
		return err_set(
		    e, ERR_NOT_FOUND, "%s: version too old to watch", path);
	case 412:
		return err_set(
		    e, ERR_CONFLICT, "%s: version has changed", path);
	case 400:
	case 413:
		return err_set(e, ERR_INVAL, "%s: status %d, request refused",
		    path, status);
	default:
		/* After a gateway's 5xx, the write may have succeeded. */
		return err_set(e, status >= 500 ? ERR_UNKNOWN : ERR_PROTO,
		    "%s: status %d", path, status);
	}
}

static int
get(platform_t *p, const char *path, ms_t timeout, err_t *e)
{
	platform_request_t c = { .method = "GET", .timeout = timeout };
	int status = perform(p, path, &c, e);

	return status == 200 ? 0 : status_error(status, path, e);
}

/* The API path @p base and a percent-encoded key; '/' isn't encoded. */
static void
path_of(char *path, size_t size, const char *base, const char *key)
{
	static const char plain[] = "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789-._~/";
	size_t n = strlen(base);

	str_set(path, size, base);
	for (; *key != '\0' && n + 4 < size; key++) {
		if (strchr(plain, *key) != NULL)
			path[n++] = *key;
		else
			n += snprintf(
			    path + n, size - n, "%%%02X", (unsigned char)*key);
	}
	path[n] = '\0';
}

int
platform_get(platform_t *p, const char *key, object_t *out, err_t *e)
{
	char path[URL_MAX];

	memset(out, 0, sizeof(*out));
	path_of(path, sizeof(path), "/v1/objects/", key);
	if (get(p, path, p->o.timeout, e) == -1)
		return -1;
	if (p->etag == 0)
		return err_set(e, ERR_PROTO, "%s: no ETag", path);
	out->key = strdup(key);
	out->value = malloc(p->response_len + 1);
	if (out->key == NULL || out->value == NULL) {
		object_clear(out);
		return err_set(e, ERR_INTERNAL, "no memory");
	}
	memcpy(out->value, p->response_len == 0 ? "" : p->response,
	    p->response_len);
	out->value[p->response_len] = '\0';
	out->len = p->response_len;
	out->version = p->etag;
	return 0;
}

static void
condition_header(char *line, size_t size, uint64_t expect)
{
	if (expect == 0)
		str_set(line, size, "If-None-Match: *");
	else
		snprintf(line, size, "If-Match: \"%" PRIu64 "\"", expect);
}

int
platform_put(platform_t *p, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e)
{
	char path[URL_MAX], line[64];
	platform_request_t c = { .method = "PUT",
		.body = value,
		.len = len,
		.condition = line,
		.timeout = p->o.timeout,
		.write = true };
	int status;

	condition_header(line, sizeof(line), expect);
	path_of(path, sizeof(path), "/v1/objects/", key);
	status = perform(p, path, &c, e);
	if (status != 200)
		return status_error(status, path, e);
	if (p->etag == 0)
		return err_set(e, ERR_UNKNOWN, "%s: no ETag", path);
	if (version != NULL)
		*version = p->etag;
	return 0;
}

int
platform_delete(platform_t *p, const char *key, uint64_t expect, err_t *e)
{
	char path[URL_MAX], line[64];
	platform_request_t c = { .method = "DELETE",
		.condition = line,
		.timeout = p->o.timeout,
		.write = true };
	int status;

	condition_header(line, sizeof(line), expect);
	path_of(path, sizeof(path), "/v1/objects/", key);
	status = perform(p, path, &c, e);
	return status == 200 ? 0 : status_error(status, path, e);
}

static int
object_read(object_t *o, json_t *j)
{
	const char *key = json_string_value(json_object_get(j, "key"));
	json_t *value = json_object_get(j, "value");

	o->version = json_integer_value(json_object_get(j, "version"));
	o->deleted = json_is_true(json_object_get(j, "deleted"));
	o->len = json_string_length(value);
	if (key == NULL || (!o->deleted && !json_is_string(value)))
		return -1;
	o->key = strdup(key);
	o->value = calloc(1, o->len + 1);
	if (o->key == NULL || o->value == NULL)
		return -1;
	if (o->len > 0)
		memcpy(o->value, json_string_value(value), o->len);
	return 0;
}

/* Parse the response of a list or a watch. */
static int
objects_read(const platform_t *p, objects_t *out, err_t *e)
{
	json_t *j = json_loadb(p->response, p->response_len, 0, NULL);
	json_t *items = json_object_get(j, "items"), *item;
	size_t i;

	if (!json_is_array(items)) {
		json_decref(j);
		return err_set(
		    e, ERR_PROTO, "the response isn't a list of objects");
	}
	out->version = json_integer_value(json_object_get(j, "version"));
	out->item = calloc(json_array_size(items) + 1, sizeof(object_t));
	if (out->item == NULL) {
		json_decref(j);
		return err_set(e, ERR_INTERNAL, "no memory");
	}
	json_array_foreach(items, i, item)
	{
		if (object_read(&out->item[out->n++], item) == -1) {
			json_decref(j);
			objects_clear(out);
			return err_set(
			    e, ERR_PROTO, "invalid object in a list");
		}
	}
	json_decref(j);
	return 0;
}

int
platform_list(platform_t *p, const char *prefix, objects_t *out, err_t *e)
{
	char path[URL_MAX];

	memset(out, 0, sizeof(*out));
	path_of(path, sizeof(path), "/v1/list?prefix=", prefix);
	if (get(p, path, p->o.timeout, e) == -1)
		return -1;
	return objects_read(p, out, e);
}

int
platform_watch(platform_t *p, const char *prefix, uint64_t since, ms_t wait,
    objects_t *out, err_t *e)
{
	char path[URL_MAX], full[URL_MAX];

	memset(out, 0, sizeof(*out));
	path_of(path, sizeof(path), "/v1/watch?prefix=", prefix);
	snprintf(full, sizeof(full), "%s&since=%" PRIu64 "&wait_ms=%" PRId64,
	    path, since, wait);
	if (get(p, full, wait + p->o.timeout + WATCH_SLACK_MS, e) == -1)
		return -1;
	return objects_read(p, out, e);
}

void
object_clear(object_t *o)
{
	free(o->key);
	free(o->value);
	memset(o, 0, sizeof(*o));
}

void
objects_clear(objects_t *o)
{
	int i;

	for (i = 0; i < o->n; i++)
		object_clear(&o->item[i]);
	free(o->item);
	memset(o, 0, sizeof(*o));
}

json_t *
platform_json(platform_t *p, const char *path, err_t *e)
{
	json_t *j;

	if (get(p, path, p->o.timeout, e) == -1)
		return NULL;
	j = json_loadb(p->response, p->response_len, 0, NULL);
	if (j == NULL)
		err_set(e, ERR_PROTO, "%s: not JSON", path);
	return j;
}
