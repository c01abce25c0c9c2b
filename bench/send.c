/* Load tool: HTTP requests of a call and their responses. */
#include "bench/drive.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	ENTRIES_TIMEOUT_MS = 1000, /* of connecting and GET /v1/entries */
	DEFAULT_MAX_AGE_MS = 2000, /* of an answer without max-age */
	HEADER_MAX = 1280,	   /* bytes of a header line */
};

int64_t
now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

bool
is_chat(const job_t *j)
{
	return j->kind == JOB_STREAM || j->kind == JOB_CHAT;
}

static size_t
on_data(char *p, size_t size, size_t n, void *user)
{
	active_call_t *a = user;
	long status = 0;
	int64_t now;
	int tokens;

	n *= size;
	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
	if (a->step != STEP_CALL || a->job->kind != JOB_STREAM ||
	    status != 200) {
		g_string_append_len(a->response, p, n);
		return n;
	}
	tokens = answer_feed(&a->check, p, n);
	if (tokens == 0)
		return n;
	now = now_us();
	if (a->last_token == 0)
		a->job->first_us = now - load.start - a->job->start_ms * 1000;
	else
		histo_add(&load.tally.gap, (now - a->last_token) / tokens);
	a->last_token = now;
	load.tally.tokens += tokens;
	return n;
}

static bool
header_is(const char *line, size_t n, const char *name, const char **value)
{
	size_t len = strlen(name);

	if (n <= len || g_ascii_strncasecmp(line, name, len) != 0)
		return false;
	*value = line + len;
	while (**value == ' ')
		++*value;
	return true;
}

static size_t
on_header(char *p, size_t size, size_t n, void *user)
{
	active_call_t *a = user;
	const char *v;
	char line[HEADER_MAX];

	n *= size;
	snprintf(line, sizeof(line), "%.*s", (int)n, p);
	g_strchomp(line);
	if (header_is(line, n, "Ebonypitch-Ran:", &v))
		str_set(a->ran, sizeof(a->ran), v);
	else if (header_is(line, n, "Ebonypitch-Retry-After-Ms:", &v))
		a->retry_after = strtoll(v, NULL, 10);
	else if (header_is(line, n, "Cache-Control:", &v) &&
		 (v = strstr(v, "max-age=")) != NULL)
		a->max_age = strtoll(v + 8, NULL, 10) * 1000;
	return n;
}

static void
add_header(active_call_t *a, const char *fmt, const char *value)
{
	char line[HEADER_MAX];

	snprintf(line, sizeof(line), fmt, value);
	a->headers = curl_slist_append(a->headers, line);
}

static void
open_request(active_call_t *a, const char *addr, const char *path)
{
	a->easy = easy_new(addr, path);
	a->headers = NULL;
	a->ran[0] = '\0';
	a->retry_after = 0;
	a->max_age = DEFAULT_MAX_AGE_MS;
	g_string_truncate(a->response, 0);
	add_header(a, "Expect:%s", "");
	curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_PRIVATE, a);
	curl_easy_setopt(
	    a->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)ENTRIES_TIMEOUT_MS);
}

static void
send_request(active_call_t *a, step_t step)
{
	ms_t left = (a->deadline - now_us()) / 1000;

	if (step == STEP_ENTRIES && left > ENTRIES_TIMEOUT_MS)
		left = ENTRIES_TIMEOUT_MS;
	a->step = step;
	curl_easy_setopt(
	    a->easy, CURLOPT_TIMEOUT_MS, (long)(left > 1 ? left : 1));
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
	curl_multi_add_handle(load.multi.handle, a->easy);
}

void
close_request(active_call_t *a)
{
	if (a->easy != NULL) {
		curl_multi_remove_handle(load.multi.handle, a->easy);
		curl_easy_cleanup(a->easy);
	}
	curl_slist_free_all(a->headers);
	free(a->request_body);
	a->easy = NULL;
	a->headers = NULL;
	a->request_body = NULL;
}

static json_t *
direct_body(const job_t *j)
{
	char id[ID_MAX];

	snprintf(id, sizeof(id), "d%d-%u-%d", load.seed, j->number, j->tries);
	return json_pack("{s:s,s:s,s:s,s:i}", "id", id, "model", j->model,
	    "prompt", j->prompt, "max_tokens", (int)j->tokens);
}

static char *
chat_body(const job_t *j)
{
	json_t *body = load.direct != NULL
			   ? direct_body(j)
			   : json_pack("{s:s,s:b,s:i,s:[{s:s,s:s}]}", "model",
				 j->model, "stream", j->kind == JOB_STREAM,
				 "max_tokens", (int)j->tokens, "messages",
				 "role", "user", "content", j->prompt);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text;
}

void
send_chat(active_call_t *a, const char *addr)
{
	open_request(a, addr,
	    load.direct != NULL ? "/v1/completions" : "/v1/chat/completions");
	a->request_body = chat_body(a->job);
	add_header(a, "Content-Type: %s", "application/json");
	curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS, a->request_body);
	send_request(a, STEP_CALL);
}

void
send_resume(active_call_t *a, const char *addr)
{
	open_request(a, addr, "/v1/resume");
	add_header(a, "Last-Event-ID: %s", a->check.event_id);
	answer_resume(&a->check);
	send_request(a, STEP_CALL);
}

void
send_plain(active_call_t *a, const char *addr)
{
	char path[256];

	snprintf(path, sizeof(path), "/v1/services/%s%s", load.service,
	    a->job->prompt);
	open_request(a, addr, path);
	if (a->job->kind == JOB_KEYED)
		add_header(a, "Idempotency-Key: %s", a->job->prompt + 1);
	else /* if a stale connection is lost, the call may have run */
		curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT, 1L);
	add_header(a, "Content-Type: %s", "application/json");
	curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS, "{\"trailer\":4}");
	send_request(a, STEP_CALL);
}

void
send_entries(active_call_t *a, const char *addr)
{
	char path[128] = "/v1/entries";

	if (load.domain != NULL)
		snprintf(
		    path, sizeof(path), "/v1/entries?domain=%s", load.domain);
	open_request(a, addr, path);
	send_request(a, STEP_ENTRIES);
}
