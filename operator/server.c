#include "operator/operator.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

/*
 * A handler may block until the platform's timeout, so requests run on several
 * threads. Each request has its own platform handle.
 */
enum {
	SERVER_THREADS = 4,
	CONNECTIONS_MAX = 64,
	IDLE_S = 30,
};

struct operator_server {
	operator_server_opts_t o;
	struct MHD_Daemon *daemon;
	counter_t *calls;
};

/* A request while its body is received. */
typedef struct request {
	GString *body;
} request_t;

typedef struct http_answer {
	int status;
	const char *type;
	char *text; /* malloc'd */
} http_answer_t;

typedef struct context {
	operator_server_t *s;
	struct MHD_Connection *conn;
	platform_t *p;
	const char *body;
	size_t len;
	const char *who;
	uint64_t number; /* of the note named in the path */
} context_t;

static http_answer_t
json_answer(int status, json_t *j)
{
	http_answer_t a = { status, "application/json",
		json_dumps(j, JSON_COMPACT) };

	json_decref(j);
	return a;
}

static int
http_status(err_code_t c)
{
	switch (c) {
	case ERR_INVAL:
		return MHD_HTTP_BAD_REQUEST;
	case ERR_NOT_FOUND:
		return MHD_HTTP_NOT_FOUND;
	case ERR_CONFLICT:
		return MHD_HTTP_CONFLICT;
	case ERR_FULL:
	case ERR_DOWN:
	case ERR_UNKNOWN:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	default:
		return MHD_HTTP_INTERNAL_SERVER_ERROR;
	}
}

static http_answer_t
error_answer(const err_t *e, const char *report)
{
	return json_answer(http_status(e->code),
	    json_pack("{s:{s:s,s:s,s:s}}", "error", "code", err_name(e->code),
		"message", e->text, "report", report == NULL ? "" : report));
}

static void
audit_note(context_t *c, const char *report, uint64_t number, const err_t *e)
{
	audit_record_t r = { .at = clock_wall(), .number = number };
	char q[256];

	str_set(r.who, sizeof(r.who), c->who);
	str_set(r.kind, sizeof(r.kind), "note");
	str_set(r.what, sizeof(r.what), number > 0 ? "accepted" : "refused");
	str_set(r.result, sizeof(r.result),
	    number > 0 ? "accepted" : err_name(e->code));
	if (number > 0)
		snprintf(r.subject, sizeof(r.subject), "note/%" PRIu64, number);
	else if (report != NULL)
		str_set(r.what, sizeof(r.what), report);
	if (c->s->o.audit != NULL)
		audit_add(c->s->o.audit, &r);
	log_event(LOG_NOTICE, "note_apply",
	    "note=%" PRIu64 " by=%s result=%s reason=%s", number, c->who,
	    r.result, log_quote(q, sizeof(q), number > 0 ? "" : e->text));
}

static http_answer_t
note_apply_call(context_t *c)
{
	err_t e = { 0 };
	char *report = NULL;
	uint64_t number = note_accept(
	    c->p, c->s->o.settings, c->body, c->len, c->who, &report, &e);
	note_t *n = number == 0 ? NULL : note_parse(c->body, c->len, NULL, &e);
	http_answer_t a;

	audit_note(c, report, number, &e);
	if (number == 0)
		a = error_answer(&e, report);
	else
		a = json_answer(MHD_HTTP_OK,
		    json_pack("{s:I,s:s}", "number", (json_int_t)number, "id",
			n == NULL ? "" : n->id));
	if (n != NULL)
		note_free(n);
	free(report);
	return a;
}

static http_answer_t
note_check_call(context_t *c)
{
	err_t e = { 0 };
	char *report = NULL;
	http_answer_t a;

	if (note_check(c->p, c->s->o.settings, c->body, c->len, &report, &e) ==
	    -1)
		a = error_answer(&e, report);
	else
		a = json_answer(MHD_HTTP_OK, json_pack("{s:b}", "fits", true));
	free(report);
	return a;
}

static http_answer_t
note_list_call(context_t *c)
{
	note_list_t l;
	err_t e = { 0 };
	json_t *all;
	int i;

	if (note_list_read(c->p, &l, &e) == -1)
		return error_answer(&e, NULL);
	all = json_array();
	for (i = 0; i < l.n; i++)
		json_array_append_new(all,
		    json_pack("{s:I,s:s,s:s,s:I}", "number",
			(json_int_t)l.note[i].number, "id", l.note[i].id, "who",
			l.note[i].who, "at", (json_int_t)l.note[i].at));
	all = json_pack("{s:I,s:o}", "head", (json_int_t)l.head, "notes", all);
	note_list_clear(&l);
	return json_answer(MHD_HTTP_OK, all);
}

static http_answer_t
note_text_call(context_t *c)
{
	note_list_t l;
	err_t e = { 0 };
	http_answer_t a;
	int i;

	if (note_list_read(c->p, &l, &e) == -1)
		return error_answer(&e, NULL);
	for (i = 0; i < l.n; i++)
		if (l.note[i].number == c->number)
			break;
	if (i == l.n) {
		err_set(
		    &e, ERR_NOT_FOUND, "there is no note %" PRIu64, c->number);
		a = error_answer(&e, NULL);
	} else {
		a = (http_answer_t){ MHD_HTTP_OK, "text/plain; charset=utf-8",
			strdup(l.note[i].text) };
	}
	note_list_clear(&l);
	return a;
}

static http_answer_t
note_status_call(context_t *c)
{
	view_t *v = node_view(c->s->o.node);
	note_status_t st;
	err_t e = { 0 };
	int rc = note_status(c->p, v, c->number, &st, &e);

	view_unref(v);
	if (rc == -1)
		return error_answer(&e, NULL);
	return json_answer(
	    MHD_HTTP_OK, json_pack("{s:I,s:s,s:s,s:i,s:i,s:i,s:i}", "number",
			     (json_int_t)st.number, "id", st.id, "state",
			     note_state_name(st.state), "ready", st.ready,
			     "wanted", st.wanted, "on", st.on, "of", st.of));
}

static json_t *
members_json(const view_t *v)
{
	json_t *all = json_array();
	size_t i;

	for (i = 0; i < v->wire->n_member; i++) {
		const Wire__Member *m = v->wire->member[i];

		json_array_append_new(all,
		    json_pack("{s:s,s:s,s:b,s:I,s:I,s:I}", "id", m->id,
			"domain", m->domain, "leaving", m->leaving, "in_force",
			(json_int_t)m->in_force, "calls", (json_int_t)m->load,
			"incarnation", (json_int_t)m->incarnation));
	}
	return all;
}

static const Wire__WorkerLoad *
worker_load(const view_t *v, const char *worker)
{
	size_t d, i;

	for (d = 0; d < v->wire->n_digest; d++)
		for (i = 0; i < v->wire->digest[d]->n_worker; i++)
			if (strcmp(v->wire->digest[d]->worker[i]->worker,
				worker) == 0)
				return v->wire->digest[d]->worker[i];
	return NULL;
}

static json_t *
residents_json(const Wire__WorkerLoad *l)
{
	static const char *const states[] = { "loading", "ready", "unloading" };
	json_t *all = json_array();
	size_t i;

	for (i = 0; l != NULL && i < l->n_resident; i++) {
		const Wire__Resident *r = l->resident[i];

		json_array_append_new(all,
		    json_pack("{s:s,s:s,s:I,s:s}", "model", r->model, "adapter",
			r->adapter, "version", (json_int_t)r->version, "state",
			states[r->state > RESIDENT_UNLOADING ? RESIDENT_LOADING
							     : r->state]));
	}
	return all;
}

/* Reserved and unsettled memory of each worker's ledger. */
static json_t *
ledgers_json(platform_t *p)
{
	objects_t all = { 0 };
	json_t *out = json_object();
	ledger_t *l;
	err_t e;
	int i;

	if (platform_list(p, "ledger/", &all, &e) == -1)
		return out;
	for (i = 0; i < all.n; i++) {
		l = ledger_decode(all.item[i].value, all.item[i].len, &e);
		if (l == NULL)
			continue;
		json_object_set_new(out, l->worker,
		    json_pack("{s:I,s:I}", "reserved_mb",
			(json_int_t)ledger_reserved_mb(l), "doubtful_mb",
			(json_int_t)ledger_unsettled_mb(l)));
		ledger_free(l);
	}
	objects_clear(&all);
	return out;
}

static json_t *
workers_json(context_t *c, const view_t *v)
{
	json_t *all = json_array(), *ledgers = ledgers_json(c->p), *one;
	size_t i;

	for (i = 0; i < v->wire->n_worker; i++) {
		const Wire__Worker *w = v->wire->worker[i];
		const Wire__WorkerLoad *l = worker_load(v, w->id);

		one = json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:o}", "id",
		    w->id, "service", w->service, "domain", w->domain, "addr",
		    w->addr, "leaving", w->leaving, "memory_mb",
		    (json_int_t)w->memory_mb, "used_mb",
		    (json_int_t)(l == NULL ? 0 : l->used_mb), "resident",
		    residents_json(l));
		if (json_object_get(ledgers, w->id) != NULL)
			json_object_update(
			    one, json_object_get(ledgers, w->id));
		json_array_append_new(all, one);
	}
	json_decref(ledgers);
	return all;
}

static json_t *
shards_json(const view_t *v)
{
	json_t *all = json_array();
	int i;

	for (i = 0; i < v->nshard; i++)
		json_array_append_new(all,
		    json_pack("{s:s,s:s,s:I,s:s,s:i,s:I,s:I}", "service",
			v->shard[i].service, "domain", v->shard[i].domain,
			"index", (json_int_t)v->shard[i].index, "broker",
			v->shard[i].broker, "workers", v->shard[i].n, "waiting",
			(json_int_t)(v->shard[i].digest == NULL
					 ? 0
					 : v->shard[i].digest->waiting),
			"wait_ms",
			(json_int_t)(v->shard[i].digest == NULL
					 ? 0
					 : v->shard[i].digest->wait_ms)));
	return all;
}

static json_t *
lease_json(platform_t *p)
{
	object_t o = { 0 };
	json_error_t je;
	json_t *j = NULL;
	err_t e = { 0 };

	if (platform_get(p, "lease/planner", &o, &e) == 0)
		j = json_loadb(o.value, o.len, 0, &je);
	object_clear(&o);
	return j != NULL ? j : json_pack("{s:s}", "error", err_name(e.code));
}

static http_answer_t
status_call(context_t *c)
{
	view_t *v = node_view(c->s->o.node);
	json_t *j = json_pack("{s:s,s:I,s:s,s:o,s:o,s:o,s:o}", "instance",
	    c->s->o.settings->instance.id, "catalogue",
	    (json_int_t)(v->catalogue == NULL ? 0 : v->catalogue->number),
	    "note", v->catalogue == NULL ? "" : v->catalogue->note_id,
	    "members", members_json(v), "workers", workers_json(c, v), "shards",
	    shards_json(v), "lease", lease_json(c->p));

	view_unref(v);
	return json_answer(MHD_HTTP_OK, j);
}

static const char *
query(context_t *c, const char *key)
{
	const char *v =
	    MHD_lookup_connection_value(c->conn, MHD_GET_ARGUMENT_KIND, key);

	return v == NULL ? "" : v;
}

static http_answer_t
audit_call(context_t *c)
{
	audit_filter_t f = { 0 };
	err_t e = { 0 };
	char *text;

	f.from = strtoll(query(c, "from"), NULL, 10);
	f.to = strtoll(query(c, "to"), NULL, 10);
	if (f.to == 0)
		f.to = INT64_MAX;
	str_set(f.subject, sizeof(f.subject), query(c, "subject"));
	str_set(f.model, sizeof(f.model), query(c, "model"));
	str_set(f.kind, sizeof(f.kind), query(c, "kind"));
	if ((text = audit_read(c->p, &f, &e)) == NULL)
		return error_answer(&e, NULL);
	return (http_answer_t){ MHD_HTTP_OK, "application/json", text };
}

static http_answer_t
plain_text(int status, const char *text)
{
	return (http_answer_t){ status, "text/plain", strdup(text) };
}

static http_answer_t
ready_call(operator_server_t *s)
{
	if (node_ready(s->o.node))
		return plain_text(MHD_HTTP_OK, "ready\n");
	return plain_text(MHD_HTTP_SERVICE_UNAVAILABLE, "not ready\n");
}

/* Parse "/v1/notes/N". @return what follows N, or NULL if it has no number. */
static const char *
note_path(const char *url, uint64_t *number)
{
	char *end;

	if (strncmp(url, "/v1/notes/", strlen("/v1/notes/")) != 0)
		return NULL;
	url += strlen("/v1/notes/");
	if (*url < '0' || *url > '9')
		return NULL;
	*number = strtoull(url, &end, 10);
	return end;
}

static http_answer_t
platform_call(context_t *c, const char *method, const char *url)
{
	const char *tail = note_path(url, &c->number);
	bool get = strcmp(method, "GET") == 0;
	bool post = strcmp(method, "POST") == 0;

	if (post && strcmp(url, "/v1/notes") == 0)
		return note_apply_call(c);
	if (post && strcmp(url, "/v1/notes/check") == 0)
		return note_check_call(c);
	if (get && strcmp(url, "/v1/notes") == 0)
		return note_list_call(c);
	if (get && tail != NULL && *tail == '\0')
		return note_text_call(c);
	if (get && tail != NULL && strcmp(tail, "/status") == 0)
		return note_status_call(c);
	if (get && strcmp(url, "/v1/status") == 0)
		return status_call(c);
	if (get && strcmp(url, "/v1/audit") == 0)
		return audit_call(c);
	return json_answer(
	    MHD_HTTP_NOT_FOUND, json_pack("{s:{s:s,s:s}}", "error", "code",
				    "not_found", "message", "no such call"));
}

static http_answer_t
call_with_platform(context_t *c, const char *method, const char *url)
{
	const settings_t *st = c->s->o.settings;
	platform_opts_t po = { .timeout = st->platform.timeout_ms };
	http_answer_t a;
	err_t e = { 0 };

	c->who =
	    MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, "X-User");
	if (c->who == NULL || *c->who == '\0')
		c->who = "anonymous";
	str_set(po.addr, sizeof(po.addr), st->platform.addr);
	str_set(po.user, sizeof(po.user), c->who);
	if ((c->p = platform_new(&po, &e)) == NULL)
		return error_answer(&e, NULL);
	a = platform_call(c, method, url);
	platform_free(c->p);
	return a;
}

static http_answer_t
dispatch(context_t *c, const char *method, const char *url)
{
	http_answer_t a;

	counter_add(c->s->calls, 1);
	if (strcmp(url, "/healthz") == 0)
		return plain_text(MHD_HTTP_OK, "ok\n");
	if (strcmp(url, "/readyz") == 0)
		return ready_call(c->s);
	if (strcmp(url, "/metrics") == 0) {
		a = (http_answer_t){ MHD_HTTP_OK, "text/plain; version=0.0.4",
			counters_text() };
		return a;
	}
	return call_with_platform(c, method, url);
}

static enum MHD_Result
reply(struct MHD_Connection *conn, const http_answer_t *a)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(a->text), a->text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", a->type);
	rc = MHD_queue_response(conn, a->status, r);
	MHD_destroy_response(r);
	return rc;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *conn, const char *url,
    const char *method, const char *http, const char *data, size_t *size,
    void **state)
{
	context_t c = { .s = user, .conn = conn };
	request_t *r = *state;
	http_answer_t a;

	(void)http;
	if (r == NULL) {
		*state = r = g_new0(request_t, 1);
		r->body = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		/* Drop data after the limit; a body over it is refused. */
		if (r->body->len <= NOTE_MAX)
			g_string_append_len(r->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	c.body = r->body->str;
	c.len = r->body->len;
	a = dispatch(&c, method, url);
	return reply(conn, &a);
}

static void
on_completed(void *user, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	request_t *r = *state;

	(void)user;
	(void)conn;
	(void)why;
	if (r == NULL)
		return;
	g_string_free(r->body, TRUE);
	g_free(r);
}

operator_server_t *
operator_server_new(const operator_server_opts_t *o, err_t *e)
{
	operator_server_t *s = calloc(1, sizeof(*s));
	struct sockaddr_in at = { .sin_family = AF_INET };
	char host[ADDR_MAX];
	uint16_t port;

	s->o = *o;
	s->calls = counter_get(
	    "ebonypitch_operator_calls_total", "HTTP calls by operators");
	if (addr_split(o->settings->instance.operator_addr, host, sizeof(host),
		&port, e) == -1) {
		free(s);
		return NULL;
	}
	at.sin_port = htons(port);
	inet_pton(AF_INET, host, &at.sin_addr);
	s->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, port, NULL,
	    NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &at,
	    MHD_OPTION_THREAD_POOL_SIZE, (unsigned)SERVER_THREADS,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_S,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (s->daemon == NULL) {
		err_set(e, ERR_INTERNAL, "can't listen on %s",
		    o->settings->instance.operator_addr);
		free(s);
		return NULL;
	}
	return s;
}

void
operator_server_free(operator_server_t *s)
{
	if (s == NULL)
		return;
	MHD_stop_daemon(s->daemon);
	free(s);
}
