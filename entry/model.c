#include "entry/route.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	BROKEN_RETRY_MS = 500
};

static const char *
object_type(const route_t *r)
{
	return call_request(r->call)->kind == REQUEST_TEXT
		   ? "text_completion"
		   : "chat.completion.chunk";
}

/* One choice of a chunk: text, or the finish reason. */
static json_t *
choice(const route_t *r, const char *text, const char *finish)
{
	json_t *delta;

	if (call_request(r->call)->kind == REQUEST_TEXT)
		return json_pack("{s:i, s:s, s:s?}", "index", 0, "text",
		    text == NULL ? "" : text, "finish_reason", finish);
	delta =
	    text == NULL ? json_object() : json_pack("{s:s}", "content", text);
	return json_pack("{s:i, s:o, s:s?}", "index", 0, "delta", delta,
	    "finish_reason", finish);
}

static void
write_chunk(entry_t *en, route_t *r, const char *text, const char *finish)
{
	char token[RESUME_MAX];
	resume_token_t t = { .offset = r->offset,
		.prompt_hash = r->prompt_hash };
	json_t *j = json_pack("{s:s, s:s, s:s, s:[o]}", "id", call_id(r->call),
	    "object", object_type(r), "model",
	    r->adapter[0] != '\0' ? r->adapter : r->model, "choices",
	    choice(r, text, finish));
	char *data = json_dumps(j, JSON_COMPACT);
	GString *out = g_string_sized_new(512);

	str_set(t.worker, ID_MAX, r->worker);
	str_set(t.stream, ID_MAX, r->stream);
	t.catalogue = en->view == NULL || en->view->catalogue == NULL
			  ? 0
			  : en->view->catalogue->number;
	resume_encode(en->settings->instance.secret, &t, token, sizeof(token));
	g_string_printf(out, "id: %s\ndata: %s\n\n", token, data);
	call_write(r->call, out->str, out->len);
	g_string_free(out, TRUE);
	free(data);
	json_decref(j);
}

void
model_begin(entry_t *en, route_t *r)
{
	(void)en;
	r->begun = true;
	if (call_request(r->call)->stream)
		call_begin(r->call, "text/event-stream");
}

void
model_token(entry_t *en, route_t *r, const char *text)
{
	if (call_request(r->call)->stream)
		write_chunk(en, r, text, NULL);
	else
		g_string_append(r->text, text);
}

static void
reply_complete(route_t *r, const char *finish)
{
	const request_t *q = call_request(r->call);
	bool chat = q->kind != REQUEST_TEXT;
	json_t *c, *j;
	char *text;

	c = chat ? json_pack("{s:i, s:{s:s, s:s}, s:s}", "index", 0, "message",
		       "role", "assistant", "content", r->text->str,
		       "finish_reason", finish)
		 : json_pack("{s:i, s:s, s:s}", "index", 0, "text",
		       r->text->str, "finish_reason", finish);
	j = json_pack("{s:s, s:s, s:s, s:[o], s:{s:i}}", "id", call_id(r->call),
	    "object", chat ? "chat.completion" : "text_completion", "model",
	    q->model, "choices", c, "usage", "completion_tokens",
	    (int)r->offset);
	text = json_dumps(j, JSON_COMPACT);
	call_reply(
	    r->call, 200, "application/json", RAN_YES, text, strlen(text));
	free(text);
	json_decref(j);
}

void
model_done(entry_t *en, route_t *r, const char *finish)
{
	static const char done_marker[] = "data: [DONE]\n\n";

	if (call_request(r->call)->stream) {
		if (!r->begun)
			model_begin(en, r);
		write_chunk(en, r, NULL, finish);
		call_write(r->call, done_marker, strlen(done_marker));
		call_end(r->call);
	} else {
		reply_complete(r, finish);
	}
	route_finish(en, r);
}

void
model_fail(entry_t *en, route_t *r, ran_t ran, const char *why)
{
	call_error_t f = { .status = 502,
		.code = "stream_broken",
		.ran = ran,
		.retry_after = BROKEN_RETRY_MS };
	GString *out;
	char *text;

	log_event(LOG_NOTICE, "stream_broken",
	    "request=%s worker=%s runs=%d refusal=%d", r->stream, r->worker,
	    r->runs, r->refusal);
	str_set(f.message, sizeof(f.message),
	    why[0] == '\0' ? "the endpoint's answer broke off" : why);
	if (!r->begun || !call_request(r->call)->stream) {
		bool not_run = ran == RAN_NO;

		route_fail(en, r, not_run ? 503 : 502,
		    not_run ? "unavailable" : "endpoint_failed", ran,
		    BROKEN_RETRY_MS, f.message);
		return;
	}
	/* A broken stream ends with an error event, never silently. */
	text = call_error_json(&f);
	out = g_string_new(NULL);
	g_string_printf(out, "event: error\ndata: %s\n\n", text);
	call_write(r->call, out->str, out->len);
	call_end(r->call);
	g_string_free(out, TRUE);
	free(text);
	route_finish(en, r);
}
