#include "caller/call.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>

enum {
	SPARE_CONNECTIONS = 64,	   /* to answer those over the limit with 429 */
	STREAM_BLOCK_BYTES = 4096, /* read from a stream at once */
	CONNECTION_MEMORY_BYTES = 16384, /* for headers and buffers */
};

struct server {
	server_opts_t o;
	struct MHD_Daemon *daemon;
	int connections;
	uint64_t serial;
	counter_t *requests, *refused;
};

static void
add_headers(struct MHD_Response *r, const call_t *c, bool leaving)
{
	static const char *const ran_name[] = { "no", "yes", "unknown" };
	char num[32];

	MHD_add_response_header(r, "Content-Type", c->type);
	MHD_add_response_header(r, "Ebonypitch-Ran", ran_name[c->ran]);
	if (c->id[0] != '\0')
		MHD_add_response_header(r, "X-Request-Id", c->id);
	if (c->retry_after > 0) {
		snprintf(num, sizeof(num), "%" PRId64,
		    (c->retry_after + 999) / 1000);
		MHD_add_response_header(r, "Retry-After", num);
		snprintf(num, sizeof(num), "%" PRId64, c->retry_after);
		MHD_add_response_header(r, "Ebonypitch-Retry-After-Ms", num);
	}
	/* A caller that keeps its connection wouldn't notice that this entry
	 * is leaving. */
	if (leaving)
		MHD_add_response_header(r, "Connection", "close");
}

static ssize_t
read_stream(void *user, uint64_t pos, char *buf, size_t max)
{
	ssize_t n = call_read(user, buf, max);

	(void)pos;
	return n == -1 ? MHD_CONTENT_READER_END_OF_STREAM : n;
}

static void
stream_done(void *user)
{
	call_unref(user);
}

static enum MHD_Result
queue_answer(server_t *s, call_t *c)
{
	bool leaving = s->o.pages.leaving(s->o.pages.user);
	struct MHD_Response *r;
	enum MHD_Result done;

	if (c->streaming)
		r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
		    STREAM_BLOCK_BYTES, read_stream, call_ref(c), stream_done);
	else
		r = MHD_create_response_from_buffer(
		    c->output->len, c->output->str, MHD_RESPMEM_MUST_COPY);
	if (r == NULL)
		return MHD_NO;
	add_headers(r, c, leaving);
	if (c->streaming)
		MHD_add_response_header(r, "Cache-Control", "no-store");
	c->phase = PHASE_ANSWERED;
	done = MHD_queue_response(c->connection, c->status, r);
	MHD_destroy_response(r);
	return done;
}

static enum MHD_Result
queue_error(server_t *s, call_t *c, const call_error_t *f)
{
	counter_add(s->refused, 1);
	call_fail(c, f);
	return queue_answer(s, c);
}

static enum MHD_Result
queue_page(server_t *s, call_t *c, int status, const char *type, char *text,
    const char *cache)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result done;

	if (r == NULL)
		return MHD_NO;
	MHD_add_response_header(r, "Content-Type", type);
	if (cache != NULL)
		MHD_add_response_header(r, "Cache-Control", cache);
	if (s->o.pages.leaving(s->o.pages.user))
		MHD_add_response_header(r, "Connection", "close");
	c->phase = PHASE_ANSWERED;
	pthread_mutex_lock(&c->lock);
	c->begun = c->ended = true;
	pthread_mutex_unlock(&c->lock);
	done = MHD_queue_response(c->connection, status, r);
	MHD_destroy_response(r);
	return done;
}

/* Answers pages that need no router. @return false: @p path isn't one. */
static bool
serve_page(server_t *s, call_t *c, const char *path, const char *method,
    enum MHD_Result *done)
{
	const pages_t *p = &s->o.pages;
	const char *json = "application/json";
	char age[64];
	bool is_ready;

	if (strcmp(method, "GET") != 0 && strcmp(method, "HEAD") != 0)
		return false;
	if (strcmp(path, "/v1/entries") == 0) {
		snprintf(age, sizeof(age), "max-age=%" PRId64,
		    s->o.settings->caller.entries_age_ms / 1000);
		*done = queue_page(s, c, 200, json,
		    p->entries(
			p->user, MHD_lookup_connection_value(c->connection,
				     MHD_GET_ARGUMENT_KIND, "domain")),
		    age);
	} else if (strcmp(path, "/v1/models") == 0) {
		*done = queue_page(s, c, 200, json, p->models(p->user), NULL);
	} else if (strcmp(path, "/healthz") == 0) {
		*done = queue_page(
		    s, c, 200, json, strdup("{\"healthy\":true}"), NULL);
	} else if (strcmp(path, "/readyz") == 0) {
		is_ready = p->ready(p->user) && !p->leaving(p->user);
		*done = queue_page(s, c, is_ready ? 200 : 503, json,
		    strdup(is_ready ? "{\"ready\":true}" : "{\"ready\":false}"),
		    NULL);
	} else if (strcmp(path, "/metrics") == 0) {
		*done = queue_page(s, c, 200, "text/plain; version=0.0.4",
		    counters_text(), NULL);
	} else {
		return false;
	}
	return true;
}

static enum MHD_Result
pass_to_router(server_t *s, call_t *c, const char *path, const char *method)
{
	call_error_t f;

	snprintf(c->id, sizeof(c->id), "%.30s-%" PRIx64 "-%" PRIx64,
	    s->o.settings->instance.id, s->o.incarnation, ++s->serial);
	c->received_at = clock_now(&machine_clock);
	counter_add(s->requests, 1);
	if (!request_parse(c, s->o.settings, path, method, &f))
		return queue_error(s, c, &f);
	/* The parsed request replaces the body. */
	g_string_free(c->body, TRUE);
	c->body = NULL;
	c->phase = PHASE_ROUTING;
	call_ref(c);
	if (!ring_push(s->o.calls, c)) {
		call_unref(c);
		f = (call_error_t){ 503, "overloaded",
			"this entry has no room for another call", RAN_NO,
			1000 };
		return queue_error(s, c, &f);
	}
	/* The router may have answered already. */
	return call_suspend_until_begun(c) ? MHD_YES : queue_answer(s, c);
}

static const call_error_t large_body = { 413, "body_too_large",
	"the body is larger than caller.body_max", RAN_NO, 0 };

static bool
declared_too_large(const server_t *s, call_t *c)
{
	const char *len = MHD_lookup_connection_value(
	    c->connection, MHD_HEADER_KIND, "Content-Length");

	return len != NULL &&
	       strtoll(len, NULL, 10) > s->o.settings->caller.body_max;
}

static enum MHD_Result
on_head(server_t *s, call_t *c)
{
	call_error_t f;

	if (__atomic_load_n(&s->connections, __ATOMIC_RELAXED) >
	    s->o.settings->caller.connections_max) {
		f = (call_error_t){ 429, "too_many_connections",
			"this entry has no room for another connection", RAN_NO,
			1000 };
		return queue_error(s, c, &f);
	}
	if (declared_too_large(s, c))
		return queue_error(s, c, &large_body);
	c->phase = PHASE_BODY;
	return MHD_YES;
}

static void
on_body(server_t *s, call_t *c, const char *data, size_t n)
{
	ms_t spent = clock_now(&machine_clock) - c->started;

	/* A body sent in small pieces must not hold a connection for ever. */
	if (spent > s->o.settings->caller.idle_ms)
		c->too_slow = true;
	if (c->body->len + n > s->o.settings->caller.body_max)
		c->too_large = true;
	if (!c->too_large && !c->too_slow)
		g_string_append_len(c->body, data, n);
}

static enum MHD_Result
on_body_end(server_t *s, call_t *c, const char *path, const char *method)
{
	enum MHD_Result done;
	call_error_t f;

	if (c->too_slow) {
		f = (call_error_t){ 408, "too_slow",
			"the body took longer than caller.idle_ms", RAN_NO, 0 };
		return queue_error(s, c, &f);
	}
	if (c->too_large)
		return queue_error(s, c, &large_body);
	if (serve_page(s, c, path, method, &done))
		return done;
	return pass_to_router(s, c, path, method);
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data, size_t *n,
    void **state)
{
	server_t *s = user;
	call_t *c = *state;

	(void)version;
	if (c == NULL)
		return MHD_NO;
	c->connection = connection;
	switch (c->phase) {
	case PHASE_HEAD:
		return on_head(s, c);
	case PHASE_BODY:
		if (*n > 0) {
			on_body(s, c, data, *n);
			*n = 0;
			return MHD_YES;
		}
		return on_body_end(s, c, path, method);
	case PHASE_ROUTING:
		/* The connection was resumed: the answer has begun. */
		return queue_answer(s, c);
	case PHASE_ANSWERED:
		break;
	}
	return MHD_NO;
}

static void *
on_uri(void *user, const char *uri, struct MHD_Connection *connection)
{
	(void)connection;
	return call_new(user, uri);
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode why)
{
	server_t *s = user;
	call_t *c = *state;

	(void)connection;
	(void)why;
	if (c == NULL)
		return;
	if (c->phase >= PHASE_ROUTING && call_close(c)) {
		call_ref(c);
		if (!ring_push(s->o.disconnected, c))
			call_unref(c);
	}
	call_unref(c);
	*state = NULL;
}

static void
on_connection(void *user, struct MHD_Connection *connection, void **state,
    enum MHD_ConnectionNotificationCode what)
{
	server_t *s = user;

	(void)connection;
	(void)state;
	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		__atomic_add_fetch(&s->connections, 1, __ATOMIC_RELAXED);
	else
		__atomic_sub_fetch(&s->connections, 1, __ATOMIC_RELAXED);
}

server_t *
server_new(const server_opts_t *o, err_t *e)
{
	server_t *s = calloc(1, sizeof(*s));
	struct sockaddr_in at = { .sin_family = AF_INET };
	char host[ADDR_MAX];
	uint16_t port;

	if (s == NULL) {
		err_set(e, ERR_INTERNAL, "out of memory");
		return NULL;
	}
	s->o = *o;
	s->requests =
	    counter_get("ebonypitch_caller_requests_total", "requests read");
	s->refused = counter_get("ebonypitch_caller_bad_requests_total",
	    "requests refused before routing");
	if (addr_split(o->settings->instance.caller_addr, host, sizeof(host),
		&port, e) == -1) {
		free(s);
		return NULL;
	}
	at.sin_port = htons(port);
	inet_pton(AF_INET, host, &at.sin_addr);
	s->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port,
	    NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &at,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, s, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, s, MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
	    MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)(o->settings->caller.connections_max + SPARE_CONNECTIONS),
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned)((o->settings->caller.idle_ms + 999) / 1000),
	    MHD_OPTION_END);
	if (s->daemon == NULL) {
		err_set(e, ERR_DOWN, "can't listen on %s",
		    o->settings->instance.caller_addr);
		free(s);
		return NULL;
	}
	return s;
}

void
server_free(server_t *s)
{
	if (s == NULL)
		return;
	MHD_stop_daemon(s->daemon);
	free(s);
}
