#include "caller/call.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	PRIORITY_MAX = 2,
	TARGET_LATENCY_MAX_MS = 3600 * 1000
};

static bool __attribute__((format(printf, 4, 5)))
set_error(call_error_t *f, int status, const char *code, const char *fmt, ...)
{
	va_list ap;

	f->status = status;
	f->code = code;
	f->ran = RAN_NO;
	f->retry_after = 0;
	va_start(ap, fmt);
	vsnprintf(f->message, sizeof(f->message), fmt, ap);
	va_end(ap);
	return false;
}

static const char *
header(call_t *c, const char *name)
{
	return MHD_lookup_connection_value(
	    c->connection, MHD_HEADER_KIND, name);
}

/* Copies a printable header that fits @p size; empty if it is missing. */
static bool
text_header(
    call_t *c, const char *name, char *dst, size_t size, call_error_t *f)
{
	const char *v = header(c, name), *p;

	dst[0] = '\0';
	if (v == NULL)
		return true;
	for (p = v; *p != '\0'; p++)
		if (!isprint((unsigned char)*p))
			break;
	if (*p != '\0' || *v == '\0' || !str_copy(dst, size, v))
		return set_error(f, 400, "bad_header",
		    "%s must be 1 to %zu printable characters", name, size - 1);
	return true;
}

static bool
int_header(call_t *c, const char *name, int64_t min, int64_t max, int64_t def,
    int64_t *out, call_error_t *f)
{
	const char *v = header(c, name);
	char *end;

	*out = def;
	if (v == NULL)
		return true;
	*out = strtoll(v, &end, 10);
	if (end == v || *end != '\0' || *out < min || *out > max)
		return set_error(f, 400, "bad_header",
		    "%s must be a whole number from %" PRId64 " to %" PRId64,
		    name, min, max);
	return true;
}

static bool
parse_headers(call_t *c, call_error_t *f)
{
	request_t *r = &c->request;
	int64_t priority = 0;

	if (!text_header(c, "Idempotency-Key", r->key, sizeof(r->key), f) ||
	    !text_header(c, "X-Caller", r->caller, sizeof(r->caller), f) ||
	    !text_header(c, "Last-Event-ID", r->resume, sizeof(r->resume), f) ||
	    !int_header(c, "X-Promise-Ms", 1, TARGET_LATENCY_MAX_MS, 0,
		&r->target_latency, f) ||
	    !int_header(c, "X-Priority", 0, PRIORITY_MAX, 1, &priority, f))
		return false;
	r->priority = (uint32_t)priority;
	return true;
}

/* Appends a message's content: a string, or an array of text parts. */
static bool
add_content(GString *prompt, json_t *content)
{
	json_t *part, *text;
	size_t i;

	if (json_is_string(content)) {
		g_string_append(prompt, json_string_value(content));
		return true;
	}
	if (!json_is_array(content))
		return false;
	json_array_foreach(content, i, part)
	{
		text = json_object_get(part, "text");
		if (!json_is_string(text))
			return false;
		g_string_append(prompt, json_string_value(text));
	}
	return true;
}

static bool
chat_prompt(json_t *body, GString *prompt, call_error_t *f)
{
	json_t *messages = json_object_get(body, "messages"), *m;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return set_error(f, 400, "no_messages",
		    "messages must be an array that isn't empty");
	json_array_foreach(messages, i, m)
	{
		if (i > 0)
			g_string_append_c(prompt, '\n');
		if (!json_is_string(json_object_get(m, "role")) ||
		    !add_content(prompt, json_object_get(m, "content")))
			return set_error(f, 400, "bad_message",
			    "messages[%zu] must have a role and content as "
			    "text",
			    i);
	}
	return true;
}

static bool
read_prompt(request_t *r, json_t *body, call_error_t *f)
{
	GString *prompt = g_string_new(NULL);
	json_t *p = json_object_get(body, "prompt");
	bool ok = true;

	if (r->kind == REQUEST_CHAT)
		ok = chat_prompt(body, prompt, f);
	else if (json_is_string(p))
		g_string_append(prompt, json_string_value(p));
	else
		ok = set_error(f, 400, "no_prompt", "prompt must be a string");
	if (ok)
		r->prompt = strdup(prompt->str);
	g_string_free(prompt, TRUE);
	return ok;
}

static bool
read_fields(request_t *r, json_t *body, call_error_t *f)
{
	json_t *model = json_object_get(body, "model");
	json_t *stream = json_object_get(body, "stream");
	json_t *max_tokens = json_object_get(body, "max_tokens");

	if (!json_is_object(body))
		return set_error(
		    f, 400, "bad_json", "the body must be a JSON object");
	if (!json_is_string(model) || *json_string_value(model) == '\0')
		return set_error(f, 400, "no_model", "model must be given");
	if (!str_copy(r->model, sizeof(r->model), json_string_value(model)))
		return set_error(
		    f, 404, "unknown_model", "there is no model of that name");
	if (stream != NULL && !json_is_boolean(stream))
		return set_error(
		    f, 400, "bad_stream", "stream must be true or false");
	r->stream = json_is_true(stream);
	if (max_tokens == NULL)
		max_tokens = json_object_get(body, "max_completion_tokens");
	r->max_tokens = TOKENS_DEFAULT;
	if (max_tokens != NULL) {
		if (!json_is_integer(max_tokens) ||
		    json_integer_value(max_tokens) < 1 ||
		    json_integer_value(max_tokens) > MAX_TOKENS_LIMIT)
			return set_error(f, 400, "bad_max_tokens",
			    "max_tokens must be from 1 to %d",
			    MAX_TOKENS_LIMIT);
		r->max_tokens = (uint32_t)json_integer_value(max_tokens);
	}
	return read_prompt(r, body, f);
}

static bool
parse_model_call(call_t *c, call_error_t *f)
{
	json_error_t why;
	json_t *body = json_loadb(c->body->str, c->body->len, 0, &why);
	bool ok;

	if (body == NULL)
		return set_error(f, 400, "bad_json",
		    "the body isn't JSON: %.100s", why.text);
	ok = read_fields(&c->request, body, f);
	json_decref(body);
	return ok;
}

/* "/v1/services/NAME/PATH?QUERY" of the request line, not decoded. */
static bool
parse_plain_call(
    call_t *c, const settings_t *s, const char *method, call_error_t *f)
{
	const char *name = c->uri + strlen("/v1/services/");
	size_t n = strcspn(name, "/?");
	const service_conf_t *conf;
	request_t *r = &c->request;
	const char *type = header(c, "Content-Type");
	char service[ID_MAX];

	if (n == 0 || n >= sizeof(service))
		return set_error(f, 404, "unknown_service",
		    "there is no service of that name");
	memcpy(service, name, n);
	service[n] = '\0';
	conf = settings_service(s, service);
	if (conf == NULL || conf->kind != SERVICE_PLAIN)
		return set_error(f, 404, "unknown_service",
		    "there is no plain service '%.60s'", service);
	str_set(r->service, sizeof(r->service), service);
	str_set(r->method, sizeof(r->method), method);
	if (!str_copy(
		r->target, sizeof(r->target), name[n] == '\0' ? "/" : name + n))
		return set_error(f, 414, "path_too_long",
		    "path and query may have %d bytes", TARGET_MAX);
	if (type != NULL && !str_copy(r->type, sizeof(r->type), type))
		return set_error(
		    f, 400, "bad_header", "Content-Type is too long");
	r->body_len = c->body->len;
	r->body = malloc(c->body->len + 1);
	if (r->body == NULL)
		return set_error(f, 503, "no_memory", "out of memory");
	memcpy(r->body, c->body->str, c->body->len + 1);
	return true;
}

bool
request_parse(call_t *c, const settings_t *s, const char *path,
    const char *method, call_error_t *f)
{
	bool post = strcmp(method, "POST") == 0;

	if (!parse_headers(c, f))
		return false;
	if (g_str_has_prefix(path, "/v1/services/"))
		return c->request.kind = REQUEST_PLAIN,
		       parse_plain_call(c, s, method, f);
	if (strcmp(path, "/v1/resume") == 0) {
		c->request.kind = REQUEST_RESUME;
		c->request.stream = true;
		if (strcmp(method, "GET") != 0)
			return set_error(f, 405, "bad_method", "GET is wanted");
		if (c->request.resume[0] == '\0')
			return set_error(f, 400, "no_token",
			    "Last-Event-ID must hold the last event's id");
		return true;
	}
	if (strcmp(path, "/v1/chat/completions") == 0)
		c->request.kind = REQUEST_CHAT;
	else if (strcmp(path, "/v1/completions") == 0)
		c->request.kind = REQUEST_TEXT;
	else
		return set_error(
		    f, 404, "unknown_path", "there is no such path");
	if (!post)
		return set_error(f, 405, "bad_method", "POST is wanted");
	return parse_model_call(c, f);
}
