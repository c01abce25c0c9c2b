#include "standin/web.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	BODY_MAX = 8 << 20, /* bytes */
	CONNECTIONS_MAX = 8192,
	IDLE_S = 120, /* timeout of an idle connection */
	POLL_MS = 1,
};

struct web {
	struct MHD_Daemon *daemon;
	web_answer_t *answer;
	void *user;
	pthread_t thread; /* resumes delayed requests */
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GPtrArray *held; /* of delayed web_req_t * */
	ms_t delay, work;
	ms_t frozen_end;
};

static void *
resume_thread(void *user)
{
	web_t *w = user;

	pthread_mutex_lock(&w->lock);
	for (;;) {
		ms_t now = clock_now(&machine_clock);
		guint i;

		while (w->held->len == 0)
			pthread_cond_wait(&w->changed, &w->lock);
		for (i = w->held->len; i > 0; i--) {
			web_req_t *r = w->held->pdata[i - 1];

			if (r->held_until > now)
				continue;
			g_ptr_array_remove_index_fast(w->held, i - 1);
			MHD_resume_connection(r->conn);
		}
		pthread_mutex_unlock(&w->lock);
		clock_sleep(POLL_MS);
		pthread_mutex_lock(&w->lock);
	}
	return NULL;
}

/* Suspend a request that is to be delayed. @return whether it was. */
static bool
hold_request(web_t *w, web_req_t *r)
{
	bool held = false;
	ms_t span;

	if (r->held_until != 0 || g_str_has_prefix(r->path, "/control/"))
		return false;
	pthread_mutex_lock(&w->lock);
	span = w->delay;
	if (strcmp(r->path, "/v1/load") != 0)
		span += w->work;
	if (span > 0) {
		held = true;
		r->held_until = clock_now(&machine_clock) + span;
		MHD_suspend_connection(r->conn);
		g_ptr_array_add(w->held, r);
		pthread_cond_signal(&w->changed);
	}
	pthread_mutex_unlock(&w->lock);
	return held;
}

static web_req_t *
req_new(web_t *w, struct MHD_Connection *c, const char *url, const char *method)
{
	web_req_t *r = g_new0(web_req_t, 1);

	r->web = w;
	r->conn = c;
	r->path = g_strdup(url);
	str_set(r->method, sizeof(r->method), method);
	r->body = g_string_new(NULL);
	return r;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	web_t *w = user;
	web_req_t *r = *state;

	(void)version;
	web_wait_unfrozen(w);
	if (r == NULL) {
		*state = req_new(w, c, url, method);
		return MHD_YES;
	}
	if (*len > 0) {
		if (r->body->len + *len > BODY_MAX)
			return MHD_NO;
		g_string_append_len(r->body, data, *len);
		*len = 0;
		return MHD_YES;
	}
	r->whole = true;
	if (hold_request(w, r))
		return MHD_YES;
	return w->answer(w->user, r);
}

static void
on_end(void *user, struct MHD_Connection *c, void **state,
    enum MHD_RequestTerminationCode how)
{
	web_req_t *r = *state;

	(void)user;
	(void)c;
	(void)how;
	if (r == NULL)
		return;
	g_free(r->path);
	g_string_free(r->body, TRUE);
	g_free(r);
	*state = NULL;
}

web_t *
web_start(const char *addr, web_answer_t *answer, void *user)
{
	web_t *w = g_new0(web_t, 1);
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char host[ADDR_MAX];
	uint16_t port;
	err_t e;

	if (addr_split(addr, host, sizeof(host), &port, &e) == -1) {
		fprintf(stderr, "%s\n", e.text);
		exit(2);
	}
	inet_pton(AF_INET, host, &sin.sin_addr);
	sin.sin_port = htons(port);
	w->answer = answer;
	w->user = user;
	w->held = g_ptr_array_new();
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->changed, NULL);
	w->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port,
	    NULL, NULL, on_request, w, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_end, w, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned)IDLE_S, MHD_OPTION_END);
	if (w->daemon == NULL) {
		fprintf(stderr, "cannot listen on %s\n", addr);
		exit(1);
	}
	pthread_create(&w->thread, NULL, resume_thread, w);
	return w;
}

void
web_quiesce(web_t *w)
{
	MHD_quiesce_daemon(w->daemon);
}

void
web_delay(web_t *w, ms_t span)
{
	pthread_mutex_lock(&w->lock);
	w->delay = span;
	pthread_mutex_unlock(&w->lock);
}

void
web_work(web_t *w, ms_t span)
{
	pthread_mutex_lock(&w->lock);
	w->work = span;
	pthread_mutex_unlock(&w->lock);
}

int
web_held(web_t *w)
{
	int n;

	pthread_mutex_lock(&w->lock);
	n = (int)w->held->len;
	pthread_mutex_unlock(&w->lock);
	return n;
}

void
web_freeze(web_t *w, ms_t span)
{
	pthread_mutex_lock(&w->lock);
	w->frozen_end = clock_now(&machine_clock) + span;
	pthread_mutex_unlock(&w->lock);
}

void
web_wait_unfrozen(web_t *w)
{
	ms_t left;

	do {
		pthread_mutex_lock(&w->lock);
		left = w->frozen_end - clock_now(&machine_clock);
		pthread_mutex_unlock(&w->lock);
		if (left > 0)
			clock_sleep(left);
	} while (left > 0);
}

enum MHD_Result
web_json(web_req_t *r, int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	struct MHD_Response *m;
	enum MHD_Result ok;

	json_decref(j);
	if (text == NULL) /* not UTF-8 */
		text = strdup("{}");
	m = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(m, "Content-Type", "application/json");
	ok = MHD_queue_response(r->conn, status, m);
	MHD_destroy_response(m);
	return ok;
}

enum MHD_Result
web_error(web_req_t *r, int status, const char *code, const char *ran)
{
	return web_json(
	    r, status, json_pack("{s:s,s:s}", "error", code, "ran", ran));
}

int64_t
web_query(web_req_t *r, const char *name, int64_t other)
{
	const char *v =
	    MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND, name);

	return v == NULL ? other : g_ascii_strtoll(v, NULL, 10);
}

const char *
web_header(web_req_t *r, const char *name)
{
	const char *v =
	    MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);

	return v == NULL ? "" : v;
}

int64_t
json_number(const json_t *j, const char *name, int64_t other)
{
	const json_t *v = json_object_get(j, name);

	if (json_is_boolean(v))
		return json_is_true(v);
	return json_is_number(v) ? (int64_t)json_number_value(v) : other;
}

const char *
json_text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

static void
stop_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void
stop_block(void)
{
	sigset_t set;

	stop_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void
stop_wait(void)
{
	sigset_t set;
	int sig;

	stop_set(&set);
	sigwait(&set, &sig);
}
