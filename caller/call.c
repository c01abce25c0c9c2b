#include "caller/call.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

call_t *
call_new(server_t *s, const char *uri)
{
	call_t *c = calloc(1, sizeof(*c));

	if (c == NULL)
		return NULL;
	c->refs = 1;
	c->server = s;
	c->uri = g_strdup(uri);
	c->body = g_string_new(NULL);
	c->output = g_string_new(NULL);
	c->started = clock_now(&machine_clock);
	pthread_mutex_init(&c->lock, NULL);
	return c;
}

call_t *
call_ref(call_t *c)
{
	__atomic_add_fetch(&c->refs, 1, __ATOMIC_RELAXED);
	return c;
}

void
call_unref(call_t *c)
{
	if (c == NULL || __atomic_sub_fetch(&c->refs, 1, __ATOMIC_ACQ_REL) != 0)
		return;
	g_free(c->uri);
	if (c->body != NULL)
		g_string_free(c->body, TRUE);
	g_string_free(c->output, TRUE);
	free(c->request.prompt);
	free(c->request.body);
	pthread_mutex_destroy(&c->lock);
	free(c);
}

const request_t *
call_request(const call_t *c)
{
	return &c->request;
}

const char *
call_id(const call_t *c)
{
	return c->id;
}

ms_t
call_received_at(const call_t *c)
{
	return c->received_at;
}

void
call_set_tag(call_t *c, handle_t tag)
{
	c->tag = tag;
}

handle_t
call_tag(const call_t *c)
{
	return c->tag;
}

bool
call_disconnected(const call_t *c)
{
	call_t *mutable_call = (call_t *)c;
	bool disconnected;

	pthread_mutex_lock(&mutable_call->lock);
	disconnected = mutable_call->disconnected;
	pthread_mutex_unlock(&mutable_call->lock);
	return disconnected;
}

/* There is output to send. Called with the lock held. */
static void
resume_connection(call_t *c)
{
	if (!c->suspended)
		return;
	c->suspended = false;
	MHD_resume_connection(c->connection);
}

void
call_reply(call_t *c, int status, const char *type, ran_t ran, const char *body,
    size_t len)
{
	pthread_mutex_lock(&c->lock);
	if (!c->begun) {
		c->begun = c->ended = true;
		c->status = status;
		c->ran = ran;
		str_set(c->type, sizeof(c->type), type);
		g_string_append_len(c->output, body, len);
		resume_connection(c);
	}
	pthread_mutex_unlock(&c->lock);
}

static const char *const ran_name[] = { "no", "yes", "unknown" };

char *
call_error_json(const call_error_t *f)
{
	json_t *j = json_pack("{s:{s:s, s:s, s:s, s:I}}", "error", "code",
	    f->code, "message", f->message, "ran", ran_name[f->ran],
	    "retry_after_ms", (json_int_t)f->retry_after);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return text;
}

void
call_fail(call_t *c, const call_error_t *f)
{
	char *text = call_error_json(f);

	pthread_mutex_lock(&c->lock);
	c->retry_after = f->retry_after;
	pthread_mutex_unlock(&c->lock);
	call_reply(
	    c, f->status, "application/json", f->ran, text, strlen(text));
	free(text);
}

void
call_begin(call_t *c, const char *type)
{
	pthread_mutex_lock(&c->lock);
	c->begun = c->streaming = true;
	c->status = MHD_HTTP_OK;
	c->ran = RAN_YES;
	str_set(c->type, sizeof(c->type), type);
	resume_connection(c);
	pthread_mutex_unlock(&c->lock);
}

void
call_write(call_t *c, const char *text, size_t len)
{
	pthread_mutex_lock(&c->lock);
	if (!c->disconnected) {
		g_string_append_len(c->output, text, len);
		resume_connection(c);
	}
	pthread_mutex_unlock(&c->lock);
}

void
call_end(call_t *c)
{
	pthread_mutex_lock(&c->lock);
	c->ended = true;
	resume_connection(c);
	pthread_mutex_unlock(&c->lock);
}

/* Called with the lock held. */
static void
suspend_connection(call_t *c)
{
	c->suspended = true;
	MHD_suspend_connection(c->connection);
}

bool
call_suspend_until_begun(call_t *c)
{
	bool wait;

	pthread_mutex_lock(&c->lock);
	wait = !c->begun;
	if (wait)
		suspend_connection(c);
	pthread_mutex_unlock(&c->lock);
	return wait;
}

ssize_t
call_read(call_t *c, char *buf, size_t max)
{
	ssize_t n;

	pthread_mutex_lock(&c->lock);
	n = (ssize_t)(c->output->len - c->sent_len);
	if (n > (ssize_t)max)
		n = (ssize_t)max;
	memcpy(buf, c->output->str + c->sent_len, n);
	c->sent_len += n;
	if (c->sent_len == c->output->len) {
		/* Drops the text that was sent. */
		g_string_truncate(c->output, 0);
		c->sent_len = 0;
	}
	if (n == 0 && c->ended)
		n = -1;
	else if (n == 0)
		suspend_connection(c);
	pthread_mutex_unlock(&c->lock);
	return n;
}

bool
call_close(call_t *c)
{
	bool unfinished;

	pthread_mutex_lock(&c->lock);
	unfinished = !c->ended;
	c->disconnected = true;
	pthread_mutex_unlock(&c->lock);
	return unfinished;
}
