#include "endpoint/endpoint.h"

#include "endpoint/multi.h"
#include "endpoint/outcome.h"
#include "endpoint/request.h"
#include "endpoint/sse.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	COMMANDS_MAX = 8192,
	IDLE_CONNS_MAX = 512,	   /* idle connections kept open */
	ERROR_BODY_MAX = 64 << 10, /* bytes of an engine's error response */
	CHECK_MS = 10,		   /* between checks of the deadlines */
	IDLE_MS = 1000,		   /* with no call in progress */
	CANCEL_MS = 2000,	   /* timeout of a cancel request */
	CLOSE_MS = 1000,   /* until an ended stream's connection is closed */
	RING_RETRY_MS = 1, /* between tries to push to a full command ring */
};

typedef enum command_kind {
	COMMAND_START,
	COMMAND_CANCEL,
	COMMAND_LEAVE_SILENT,
	COMMAND_STOP
} command_kind_t;

typedef struct command {
	command_kind_t kind;
	call_spec_t *spec;
	uint64_t tag;
} command_t;

typedef enum call_state {
	CALL_RUNNING,
	CALL_ENDED,	     /* its END event was emitted */
	CALL_CANCEL_REQUEST, /* no call, but a request to cancel a stream */
} call_state_t;

/* Why a call was aborted here. */
typedef enum abort_reason {
	ABORT_NONE,
	ABORT_CANCELLED,
	ABORT_TIMEOUT,
	ABORT_FIRST_TOKEN,
	ABORT_TOKEN_GAP,
	ABORT_TOO_LONG,
	ABORT_NO_REQUEST,
	ABORT_CLOSING,
} abort_reason_t;

static const char *const abort_reason_text[] = { "", "cancelled", "timeout",
	"no first token in time", "gap between tokens too long",
	"answer too long", "request can't be made", "closing" };

typedef struct call {
	endpoint_t *p;
	call_state_t state;
	call_spec_t *spec;
	request_t request;
	sse_t sse;
	GString *body;
	GQueue unsent; /* events for which the ring had no room */
	ms_t started;
	ms_t last_progress;    /* last token, end of a pause, or END event */
	ms_t silent_since;     /* last_progress, or the last SILENT event */
	uint32_t first_offset; /* offset at the start */
	bool paused;
	bool detached; /* the transfer was removed from curl */
	abort_reason_t aborted;
} call_t;

struct endpoint {
	endpoint_opts_t o;
	multi_t multi;
	ring_t *commands;
	pthread_t thread;
	GHashTable *by_tag; /* running calls */
	GHashTable *calls;  /* every call_t */
	counter_t *started, *broken, *duplicates, *cancelled;
	ms_t next_check;
	bool stop;
};

void
call_spec_free(call_spec_t *spec)
{
	if (spec == NULL)
		return;
	free(spec->prompt);
	free(spec->body);
	free(spec);
}

void
call_event_free(call_event_t *ev)
{
	if (ev == NULL)
		return;
	free(ev->text);
	free(ev);
}

static char *
copy(const char *p, size_t n)
{
	char *s = malloc(n + 1);

	if (s == NULL)
		abort();
	memcpy(s, p, n);
	s[n] = '\0';
	return s;
}

static call_event_t *
event_new(const call_t *c, event_kind_t kind, const char *text, size_t len)
{
	call_event_t *ev = calloc(1, sizeof(*ev));

	if (ev == NULL)
		abort();
	ev->kind = kind;
	ev->tag = c->spec->tag;
	if (text != NULL) {
		ev->text = copy(text, len);
		ev->len = len;
	}
	return ev;
}

/* Push unsent events to the ring. @return true if none is left */
static bool
flush(endpoint_t *p, call_t *c)
{
	call_event_t *ev;

	while ((ev = g_queue_peek_head(&c->unsent)) != NULL) {
		if (!ring_push(p->o.events, ev))
			return false;
		g_queue_pop_head(&c->unsent);
	}
	return true;
}

static void
emit(endpoint_t *p, call_t *c, call_event_t *ev)
{
	g_queue_push_tail(&c->unsent, ev);
	flush(p, c);
}

static void
on_token(void *user, uint32_t offset, const char *text, size_t len)
{
	call_t *c = user;
	call_event_t *ev = event_new(c, EVENT_TOKEN, text, len);

	ev->offset = offset;
	c->last_progress = clock_now(&machine_clock);
	emit(c->p, c, ev);
}

static int
http_status(const call_t *c)
{
	long status = 0;

	if (c->request.easy != NULL)
		curl_easy_getinfo(
		    c->request.easy, CURLINFO_RESPONSE_CODE, &status);
	return (int)status;
}

static void
emit_end(endpoint_t *p, call_t *c, CURLcode rc)
{
	bool stream = !c->spec->plain && http_status(c) == 200;
	call_facts_t f = { .plain = c->spec->plain,
		.cancelled = c->aborted == ABORT_CANCELLED,
		.sent = c->request.easy != NULL && easy_sent(c->request.easy),
		.complete = rc == CURLE_OK && c->aborted == ABORT_NONE,
		.end_marker = c->sse.ended,
		.status = http_status(c),
		.body = c->body->str,
		.len = c->body->len };
	const char *text = stream ? c->sse.finish : c->body->str;
	call_event_t *ev =
	    event_new(c, EVENT_END, text, stream ? strlen(text) : c->body->len);
	curl_off_t again = 0;
	char *type = NULL;

	ev->outcome = call_classify(&f, &ev->not_run);
	ev->sent = f.sent;
	ev->connected = f.sent || c->request.easy == NULL;
	ev->status = f.status;
	ev->offset = c->sse.next;
	if (c->request.easy != NULL) {
		curl_easy_getinfo(
		    c->request.easy, CURLINFO_CONTENT_TYPE, &type);
		curl_easy_getinfo(
		    c->request.easy, CURLINFO_RETRY_AFTER, &again);
	}
	str_set(ev->type, sizeof(ev->type), type == NULL ? "" : type);
	ev->retry_after = again * 1000;
	if (ev->outcome != CALL_DONE)
		str_set(ev->reason, sizeof(ev->reason),
		    c->sse.reason[0] != '\0'   ? c->sse.reason
		    : c->aborted != ABORT_NONE ? abort_reason_text[c->aborted]
		    : rc != CURLE_OK	       ? curl_easy_strerror(rc)
		    : stream		       ? "no end marker"
					       : "");
	if (ev->outcome == CALL_UNKNOWN)
		counter_add(p->broken, 1);
	counter_add(p->duplicates, c->sse.duplicates);
	g_hash_table_remove(p->by_tag, &c->spec->tag);
	c->state = CALL_ENDED;
	c->last_progress = clock_now(&machine_clock);
	emit(p, c, ev);
}

static size_t
append_body(call_t *c, const char *data, size_t n)
{
	size_t max =
	    c->spec->plain ? c->p->o.settings->caller.body_max : ERROR_BODY_MAX;

	if (c->body->len + n > max) {
		c->aborted = ABORT_TOO_LONG;
		return 0;
	}
	g_string_append_len(c->body, data, n);
	return n;
}

/* curl's write callback: a result other than n ends the transfer. */
static size_t
on_data(char *data, size_t size, size_t n, void *user)
{
	call_t *c = user;

	n *= size;
	if (c->state == CALL_CANCEL_REQUEST)
		return n;
	if (!flush(c->p, c)) {
		c->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (c->spec->plain || http_status(c) != 200)
		return append_body(c, data, n);
	if (sse_feed(&c->sse, data, n, NULL) == -1)
		return 0;
	if (c->sse.ended && c->state == CALL_RUNNING)
		emit_end(c->p, c, CURLE_OK);
	return n;
}

static call_t *
call_new(endpoint_t *p, call_spec_t *spec, call_state_t state)
{
	call_t *c = g_new0(call_t, 1);

	c->p = p;
	c->state = state;
	c->spec = spec;
	c->first_offset = spec->offset;
	c->started = c->last_progress = clock_now(&machine_clock);
	c->body = g_string_new(NULL);
	g_queue_init(&c->unsent);
	sse_init(&c->sse, spec->request, spec->offset, on_token, c);
	g_hash_table_add(p->calls, c);
	return c;
}

static void
call_free(call_t *c)
{
	call_event_t *ev;

	if (c->request.easy != NULL && !c->detached)
		curl_multi_remove_handle(c->p->multi.handle, c->request.easy);
	request_clear(&c->request);
	sse_clear(&c->sse);
	g_string_free(c->body, TRUE);
	while ((ev = g_queue_pop_head(&c->unsent)) != NULL)
		call_event_free(ev);
	call_spec_free(c->spec);
	g_hash_table_remove(c->p->calls, c);
	g_free(c);
}

static void
send_request(call_t *c)
{
	CURL *easy = c->request.easy;

	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, c);
	curl_multi_add_handle(c->p->multi.handle, easy);
}

static void
start(endpoint_t *p, call_spec_t *spec)
{
	call_t *c = call_new(p, spec, CALL_RUNNING);
	err_t e;

	counter_add(p->started, 1);
	g_hash_table_insert(p->by_tag, &spec->tag, c);
	if (request_init_call(&c->request, spec, &e) == -1) {
		c->aborted = ABORT_NO_REQUEST;
		request_clear(&c->request);
		c->detached = true;
		emit_end(p, c, CURLE_OK);
		return;
	}
	send_request(c);
}

/* Send a request to the engine to cancel a stream. */
static void
send_cancel(endpoint_t *p, const call_spec_t *of)
{
	call_spec_t *spec = calloc(1, sizeof(*spec));
	call_t *c;

	if (spec == NULL)
		abort();
	str_set(spec->addr, sizeof(spec->addr), of->addr);
	str_set(spec->request, sizeof(spec->request), of->request);
	spec->timeout = CANCEL_MS;
	c = call_new(p, spec, CALL_CANCEL_REQUEST);
	if (request_init_cancel(&c->request, spec, NULL) == -1)
		call_free(c);
	else
		send_request(c);
}

/*
 * Remove the transfer from curl and emit the END event. After a token timeout
 * the stream isn't cancelled at the engine, so that it can be resumed.
 */
static void
abort_call(endpoint_t *p, call_t *c, abort_reason_t why)
{
	bool sent = easy_sent(c->request.easy);

	curl_multi_remove_handle(p->multi.handle, c->request.easy);
	c->detached = true;
	if (c->state != CALL_RUNNING)
		return;
	c->aborted = why;
	emit_end(p, c, CURLE_OK);
	if (sent && !c->spec->plain && why != ABORT_TOKEN_GAP)
		send_cancel(p, c->spec);
}

static void
cancel(endpoint_t *p, uint64_t tag)
{
	call_t *c = g_hash_table_lookup(p->by_tag, &tag);

	if (c == NULL)
		return;
	counter_add(p->cancelled, 1);
	if (!c->detached)
		abort_call(p, c, ABORT_CANCELLED);
}

/* Why the call would be ended if it is silent, or ABORT_NONE. */
static abort_reason_t
silence(const call_t *c, ms_t since, ms_t now)
{
	const call_spec_t *s = c->spec;
	bool begun = c->sse.next > c->first_offset;
	ms_t limit = begun ? s->token_timeout : s->first_token_timeout;

	if (c->state != CALL_RUNNING || s->plain || c->paused || limit == 0 ||
	    now - since < limit)
		return ABORT_NONE;
	return begun ? ABORT_TOKEN_GAP : ABORT_FIRST_TOKEN;
}

static void
leave_silent(endpoint_t *p, uint64_t tag)
{
	call_t *c = g_hash_table_lookup(p->by_tag, &tag);
	abort_reason_t why;

	if (c == NULL || c->detached)
		return;
	why = silence(c, c->last_progress, clock_now(&machine_clock));
	if (why != ABORT_NONE)
		abort_call(p, c, why);
}

static void
run_commands(endpoint_t *p)
{
	command_t *cmd;

	while ((cmd = ring_pop(p->commands)) != NULL) {
		switch (cmd->kind) {
		case COMMAND_START:
			start(p, cmd->spec);
			break;
		case COMMAND_CANCEL:
			cancel(p, cmd->tag);
			break;
		case COMMAND_LEAVE_SILENT:
			leave_silent(p, cmd->tag);
			break;
		case COMMAND_STOP:
			p->stop = true;
			break;
		}
		free(cmd);
	}
}

static void
reap_done(endpoint_t *p)
{
	CURLcode rc;
	CURL *easy;

	while ((easy = multi_done(&p->multi, &rc)) != NULL) {
		call_t *c = NULL;

		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
		curl_multi_remove_handle(p->multi.handle, easy);
		c->detached = true;
		if (c->state == CALL_RUNNING)
			emit_end(p, c, rc);
		if (c->unsent.length == 0)
			call_free(c);
	}
}

static abort_reason_t
deadline_passed(const call_t *c, ms_t now)
{
	const call_spec_t *s = c->spec;

	if (c->state == CALL_ENDED)
		return now - c->last_progress > CLOSE_MS ? ABORT_CLOSING
							 : ABORT_NONE;
	if (s->timeout > 0 && now - c->started >= s->timeout)
		return ABORT_TIMEOUT;
	return s->report_silence ? ABORT_NONE
				 : silence(c, c->last_progress, now);
}

static void
report_silence(endpoint_t *p, call_t *c, ms_t now)
{
	if (c->silent_since < c->last_progress)
		c->silent_since = c->last_progress;
	if (silence(c, c->silent_since, now) == ABORT_NONE)
		return;
	c->silent_since = now;
	emit(p, c, event_new(c, EVENT_SILENT, NULL, 0));
}

/* Handle unsent events, a pause and the deadlines of one call. */
static void
check_call(endpoint_t *p, call_t *c, ms_t now)
{
	abort_reason_t why;

	if (flush(p, c) && c->paused && !c->detached) {
		c->paused = false;
		c->last_progress = now;
		curl_easy_pause(c->request.easy, CURLPAUSE_CONT);
	}
	if (!c->detached && (why = deadline_passed(c, now)) != ABORT_NONE)
		abort_call(p, c, why);
	else if (!c->detached && c->spec->report_silence)
		report_silence(p, c, now);
	if (c->detached && c->unsent.length == 0)
		call_free(c);
}

static void
check_calls(endpoint_t *p)
{
	ms_t now = clock_now(&machine_clock);
	gpointer *keys;
	guint i, n;

	if (now < p->next_check)
		return;
	p->next_check = now + CHECK_MS;
	keys = g_hash_table_get_keys_as_array(p->calls, &n);
	for (i = 0; i < n; i++)
		check_call(p, keys[i], now);
	g_free(keys);
}

static void *
run(void *user)
{
	endpoint_t *p = user;

	while (!p->stop) {
		multi_wait(&p->multi,
		    g_hash_table_size(p->calls) > 0 ? CHECK_MS : IDLE_MS);
		run_commands(p);
		reap_done(p);
		check_calls(p);
	}
	return NULL;
}

static void
free_all(endpoint_t *p)
{
	command_t *cmd;
	gpointer *keys;
	guint i, n;

	keys = g_hash_table_get_keys_as_array(p->calls, &n);
	for (i = 0; i < n; i++)
		call_free(keys[i]);
	g_free(keys);
	while (p->commands != NULL && (cmd = ring_pop(p->commands)) != NULL) {
		call_spec_free(cmd->spec);
		free(cmd);
	}
	multi_close(&p->multi);
	g_hash_table_destroy(p->by_tag);
	g_hash_table_destroy(p->calls);
	ring_free(p->commands);
	g_free(p);
}

endpoint_t *
endpoint_new(const endpoint_opts_t *o, err_t *e)
{
	endpoint_t *p = g_new0(endpoint_t, 1);

	p->o = *o;
	p->started = counter_get("ebonypitch_endpoint_calls_total",
	    "Calls sent to engines and plain services.");
	p->broken = counter_get("ebonypitch_endpoint_unknown_total",
	    "Calls whose answer broke off or never came.");
	p->duplicates = counter_get("ebonypitch_endpoint_doubled_events_total",
	    "Stream events dropped because they came twice.");
	p->cancelled = counter_get("ebonypitch_endpoint_cancelled_total",
	    "Calls cancelled by the caller.");
	p->by_tag = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->calls = g_hash_table_new(NULL, NULL);
	p->commands = ring_new(COMMANDS_MAX);
	if (multi_open(&p->multi, IDLE_CONNS_MAX, e) == -1) {
		p->multi.handle = NULL;
		p->multi.epoll_fd = -1;
	} else if (p->commands == NULL)
		err_set(e, ERR_INTERNAL, "can't make the command ring");
	else if (multi_add_fd(&p->multi, ring_fd(p->commands), e) == 0 &&
		 pthread_create(&p->thread, NULL, run, p) == 0)
		return p;
	free_all(p);
	return NULL;
}

static bool
push_command(
    endpoint_t *p, command_kind_t kind, call_spec_t *spec, uint64_t tag)
{
	command_t *cmd = calloc(1, sizeof(*cmd));

	if (cmd == NULL)
		return false;
	cmd->kind = kind;
	cmd->spec = spec;
	cmd->tag = tag;
	if (ring_push(p->commands, cmd))
		return true;
	free(cmd);
	return false;
}

bool
endpoint_start(endpoint_t *p, call_spec_t *spec)
{
	return push_command(p, COMMAND_START, spec, spec->tag);
}

/* The thread never blocks on the event ring, so the command ring drains. */
void
endpoint_cancel(endpoint_t *p, uint64_t tag)
{
	while (!push_command(p, COMMAND_CANCEL, NULL, tag))
		clock_sleep(RING_RETRY_MS);
}

void
endpoint_leave_silent(endpoint_t *p, uint64_t tag)
{
	while (!push_command(p, COMMAND_LEAVE_SILENT, NULL, tag))
		clock_sleep(RING_RETRY_MS);
}

void
endpoint_free(endpoint_t *p)
{
	if (p == NULL)
		return;
	while (!push_command(p, COMMAND_STOP, NULL, 0))
		clock_sleep(RING_RETRY_MS);
	pthread_join(p->thread, NULL);
	free_all(p);
}
