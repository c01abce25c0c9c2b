#include "endpoint/request.h"

#include "endpoint/multi.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	HEADER_MAX_BYTES = 512, /* of a header line */
	PATH_MAX_BYTES = 512,
	CONNECT_TIMEOUT_MS = 1000, /* then the worker is unreachable */
};

/* A line break in a value would start another header. */
static bool
has_no_control(const char *s)
{
	for (; *s != '\0'; s++)
		if ((unsigned char)*s < ' ' || *s == 0x7f)
			return false;
	return true;
}

static void
add_header(request_t *r, const char *name, const char *value)
{
	char line[HEADER_MAX_BYTES];

	/* curl drops a header without a value; so leave it out here. */
	if (value[0] == '\0')
		return;
	snprintf(line, sizeof(line), "%s: %s", name, value);
	r->headers = curl_slist_append(r->headers, line);
}

static int
init_request(request_t *r, const call_spec_t *spec, const char *path, err_t *e)
{
	memset(r, 0, sizeof(*r));
	if ((r->easy = easy_new(spec->addr, path)) == NULL)
		return err_set(e, ERR_INTERNAL, "can't make a transfer");
	/* Disable "Expect: 100-continue", which costs a round trip. */
	r->headers = curl_slist_append(NULL, "Expect:");
	curl_easy_setopt(r->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)(spec->timeout > 0 && spec->timeout < CONNECT_TIMEOUT_MS
		       ? spec->timeout
		       : CONNECT_TIMEOUT_MS));
	return 0;
}

static void
set_body(request_t *r, const char *body, size_t len)
{
	curl_easy_setopt(r->easy, CURLOPT_POSTFIELDSIZE, (long)len);
	curl_easy_setopt(r->easy, CURLOPT_POSTFIELDS, body);
}

static int
init_engine_call(request_t *r, const call_spec_t *spec, err_t *e)
{
	json_t *j;

	if (init_request(r, spec, "/v1/completions", e) == -1)
		return -1;
	j = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "id", spec->request,
	    "model", spec->model, "adapter", spec->adapter, "prompt",
	    spec->prompt == NULL ? "" : spec->prompt, "max_tokens",
	    (json_int_t)spec->max_tokens, "version", (json_int_t)spec->version,
	    "priority", (json_int_t)spec->priority, "offset",
	    (json_int_t)spec->offset);
	r->json = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	if (r->json == NULL)
		return err_set(e, ERR_INVAL, "prompt isn't UTF-8");
	add_header(r, "Content-Type", "application/json");
	set_body(r, r->json, strlen(r->json));
	return 0;
}

static int
init_stream_resume(request_t *r, const call_spec_t *spec, err_t *e)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/streams/%s?offset=%u", spec->request,
	    spec->offset);
	return init_request(r, spec, path, e);
}

static int
init_plain_call(request_t *r, const call_spec_t *spec, err_t *e)
{
	if (!has_no_control(spec->key) || !has_no_control(spec->type) ||
	    !has_no_control(spec->method) || !has_no_control(spec->path))
		return err_set(e, ERR_INVAL, "control character in a header");
	if (init_request(r, spec, spec->path, e) == -1)
		return -1;
	add_header(r, "X-Request-Id", spec->request);
	add_header(r, "Idempotency-Key", spec->key);
	add_header(r, "Content-Type", spec->type);
	if (spec->body_len > 0)
		set_body(r, spec->body, spec->body_len);
	else if (strcmp(spec->method, "POST") == 0)
		set_body(r, "", 0);
	if (strcmp(spec->method, "HEAD") == 0)
		curl_easy_setopt(r->easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(r->easy, CURLOPT_CUSTOMREQUEST, spec->method);
	if (!spec->reuse)
		curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
	return 0;
}

int
request_init_call(request_t *r, const call_spec_t *spec, err_t *e)
{
	int rc;

	memset(r, 0, sizeof(*r));
	if (!has_no_control(spec->request))
		return err_set(e, ERR_INVAL, "control character in the id");
	if (spec->plain)
		rc = init_plain_call(r, spec, e);
	else if (spec->resume)
		rc = init_stream_resume(r, spec, e);
	else
		rc = init_engine_call(r, spec, e);
	if (rc == 0)
		curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, r->headers);
	return rc;
}

int
request_init_cancel(request_t *r, const call_spec_t *spec, err_t *e)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/streams/%s", spec->request);
	if (init_request(r, spec, path, e) == -1)
		return -1;
	curl_easy_setopt(r->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
	curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, r->headers);
	return 0;
}

void
request_clear(request_t *r)
{
	if (r->easy != NULL)
		curl_easy_cleanup(r->easy);
	curl_slist_free_all(r->headers);
	free(r->json);
	memset(r, 0, sizeof(*r));
}
