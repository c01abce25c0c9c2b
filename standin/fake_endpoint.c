#include "standin/fake_endpoint.h"
#include "standin/http_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	UNLOAD_POLL_MS = 50,  /* between checks whether a model is still used */
	FIRST_BORN_MS = 1000, /* the time of the first start */
};

/** A model that is loaded, loading or unloading. */
typedef struct loaded_model {
	fake_endpoint_t *ep;
	char name[ID_MAX];
	bool loading, unloading;
	GPtrArray *adapter; /* names */
	alarm_t alarm;
} loaded_model_t;

typedef struct endpoint_conn {
	server_conn_t conn;
	executed_call_t *call; /* in progress, or NULL */
	bool answered;	       /* before its body was read */
	int64_t next_event;    /* id of the next event */
} endpoint_conn_t;

struct fake_endpoint {
	http_server_t server;
	char id[ID_MAX], addr[ADDR_MAX], version[ID_MAX];
	char model[ID_MAX]; /* loaded from the start, or empty */
	int64_t born;
	bool engine;
	int events, slots;
	const model_spec_t *specs;
	int nspec, weights_mb, overcommits, refused;
	void (*changed)(void *arg, fake_endpoint_t *ep);
	void *arg;
	ms_t event_gap, plain_ms;
	int event_bytes;
	int64_t silent_after; /* event, -1: none */
	ms_t silence_ms, silent_until;
	endpoint_fault_t fault;
	GPtrArray *executed, *orders;
	GPtrArray *models; /* loaded_model_t */
	int64_t seq;
};

static fake_endpoint_t *
endpoint_of(const endpoint_conn_t *c)
{
	return c->conn.server->owner;
}

static void
finish_call(endpoint_conn_t *c, bool whole)
{
	c->call->complete = whole;
	c->call = NULL;
	http_conn_flush(c->conn.http);
	if (!c->conn.http->closed)
		http_conn_next(c->conn.http);
}

static void
put_head(endpoint_conn_t *c, int status, const char *extra)
{
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n"
	    "Server-Load: 1,0,8\r\n%s",
	    status, http_reason(status), c->call->id, endpoint_of(c)->id,
	    extra);
}

/* An answer without a length; a reset marks it as incomplete. */
static void
answer_no_length(endpoint_conn_t *c, const char *body, bool truncated)
{
	struct linger hard = { 1, 0 };

	put_head(c, 200, "Server-Signature: s1\r\nConnection: close\r\n\r\n");
	buf_add(&c->conn.http->out, body, strlen(body) / (truncated ? 2 : 1));
	http_conn_flush(c->conn.http);
	if (truncated)
		setsockopt(c->conn.http->watch.fd, SOL_SOCKET, SO_LINGER, &hard,
		    sizeof(hard));
	c->call->complete = !truncated;
	c->call = NULL;
	server_conn_close(&c->conn);
}

/* A run has sent this event: fall silent if it is the chosen one. */
static void
event_sent(fake_endpoint_t *ep, int64_t event)
{
	if (ep->silent_after != event)
		return;
	ep->silent_after = -1;
	ep->silent_until = ep->server.loop->now + ep->silence_ms;
}

/* @return whether the run has to wait for the end of a silence */
static bool
hold_back(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);

	if (!fake_endpoint_is_silent(ep))
		return false;
	alarm_set(ep->server.loop, &c->conn.alarm, ep->silent_until);
	return true;
}

static void
answer_plain(void *arg)
{
	endpoint_conn_t *c = arg;
	const fake_endpoint_t *ep = endpoint_of(c);
	char body[160];
	bool bad = ep->fault == ENDPOINT_ERROR;

	if (hold_back(c))
		return;
	snprintf(body, sizeof(body), "answer to %s by %s", c->call->id, ep->id);
	if (ep->fault == ENDPOINT_BUSY) {
		put_head(c, 503, "Content-Length: 0\r\n\r\n");
		finish_call(c, true);
		return;
	}
	if (ep->fault == ENDPOINT_NO_LENGTH ||
	    ep->fault == ENDPOINT_TRUNCATED) {
		answer_no_length(c, body, ep->fault == ENDPOINT_TRUNCATED);
		return;
	}
	put_head(c, bad ? 500 : 200,
	    ep->fault == ENDPOINT_UNSIGNED ? "" : "Server-Signature: s1\r\n");
	buf_fmt(&c->conn.http->out, "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
	if (ep->fault == ENDPOINT_EXTRA_ANSWER)
		buf_str(&c->conn.http->out,
		    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
		    "Content-Length: 5\r\n\r\nextra");
	finish_call(c, true);
}

static void
send_chunk(endpoint_conn_t *c, const char *p, size_t n)
{
	buf_fmt(&c->conn.http->out, "%zx\r\n", n);
	buf_add(&c->conn.http->out, p, n);
	buf_str(&c->conn.http->out, "\r\n");
	http_conn_flush(c->conn.http);
}

char *
fake_endpoint_event(int64_t id, int bytes)
{
	GString *ev = g_string_new(NULL);

	g_string_append_printf(
	    ev, "id: %" PRId64 "\ndata: token %" PRId64, id, id);
	while (ev->len + 2 < (size_t)bytes)
		g_string_append_c(ev, '.');
	g_string_append(ev, "\n\n");
	return g_string_free(ev, FALSE);
}

static void
send_event(void *arg)
{
	endpoint_conn_t *c = arg;
	char *ev;
	size_t n;
	bool cut =
	    endpoint_of(c)->fault == ENDPOINT_CUT_STREAM && c->next_event >= 3;

	if (hold_back(c))
		return;
	ev = fake_endpoint_event(c->next_event, endpoint_of(c)->event_bytes);
	n = strlen(ev);
	send_chunk(c, ev, cut ? n / 2 : n);
	g_free(ev);
	if (cut) {
		server_conn_close(&c->conn);
		return;
	}
	if (c->conn.http->closed)
		return;
	event_sent(endpoint_of(c), c->next_event);
	if (c->next_event++ < endpoint_of(c)->events) {
		alarm_set(endpoint_of(c)->server.loop, &c->conn.alarm,
		    endpoint_of(c)->server.loop->now +
			endpoint_of(c)->event_gap);
		return;
	}
	buf_str(&c->conn.http->out, "0\r\n\r\n");
	finish_call(c, true);
}

static executed_call_t *
record_call(endpoint_conn_t *c)
{
	const head_t *head = &c->conn.http->head;
	const char *v;
	executed_call_t *r = g_new0(executed_call_t, 1);
	GString *text = g_string_new(NULL);
	int i;

	v = head_get(head, "Request-Id");
	str_copy(r->id, sizeof(r->id), v != NULL ? v : "");
	str_copy(r->version, sizeof(r->version), endpoint_of(c)->version);
	v = head_get(head, "Last-Event-Id");
	r->last_event_id = v != NULL ? strtoll(v, NULL, 10) : -1;
	v = head_get(head, "Deadline-Remaining");
	r->time_left = v != NULL ? strtoll(v, NULL, 10) : -1;
	r->at = endpoint_of(c)->server.loop->now;
	g_string_append_printf(text, "%s\n", head_target(head));
	for (i = 0; i < head->nfield; i++)
		g_string_append_printf(
		    text, "%s: %s\n", head_name(head, i), head_value(head, i));
	r->headers = g_string_free(text, FALSE);
	r->body = g_strndup(
	    c->conn.body.p != NULL ? c->conn.body.p + c->conn.body.off : "",
	    buf_len(&c->conn.body));
	g_ptr_array_add(endpoint_of(c)->executed, r);
	return r;
}

/* Loaded models and orders. */

static loaded_model_t *
find_model(const fake_endpoint_t *ep, const char *model)
{
	guint i;

	for (i = 0; i < ep->models->len; i++) {
		loaded_model_t *m = ep->models->pdata[i];

		if (strcmp(m->name, model) == 0)
			return m;
	}
	return NULL;
}

static int
adapter_index(const loaded_model_t *m, const char *adapter)
{
	guint i;

	for (i = 0; m != NULL && i < m->adapter->len; i++)
		if (strcmp(m->adapter->pdata[i], adapter) == 0)
			return (int)i;
	return -1;
}

static const model_spec_t *
spec_of(const fake_endpoint_t *ep, const char *model)
{
	int i;

	for (i = 0; i < ep->nspec; i++)
		if (strcmp(ep->specs[i].name, model) == 0)
			return &ep->specs[i];
	return NULL;
}

static void
notify_change(fake_endpoint_t *ep)
{
	if (ep->changed != NULL)
		ep->changed(ep->arg, ep);
}

/* Count an order that exceeds the memory or the adapter slots. */
static void
check_capacity(fake_endpoint_t *ep)
{
	int mb = 0, adapters = 0;
	guint i;

	for (i = 0; i < ep->models->len; i++) {
		const loaded_model_t *m = ep->models->pdata[i];
		const model_spec_t *spec = spec_of(ep, m->name);

		adapters += (int)m->adapter->len;
		if (spec != NULL)
			mb +=
			    spec->mb + (int)m->adapter->len * spec->adapter_mb;
	}
	if (ep->nspec > 0 && (mb > ep->weights_mb || adapters > ep->slots))
		ep->overcommits++;
}

static void
on_loaded(void *arg)
{
	loaded_model_t *m = arg;

	m->loading = false;
	notify_change(m->ep);
}

static bool
in_use(const loaded_model_t *m)
{
	guint i;

	for (i = 0; i < m->ep->server.conns->len; i++) {
		const endpoint_conn_t *c = m->ep->server.conns->pdata[i];
		const char *v = c->call != NULL
				    ? head_get(&c->conn.http->head, "Model")
				    : NULL;

		if (v != NULL && strncmp(v, m->name, strlen(m->name)) == 0)
			return true;
	}
	return false;
}

static void
unload_if_idle(void *arg)
{
	loaded_model_t *m = arg;
	fake_endpoint_t *ep = m->ep;

	if (in_use(m)) {
		alarm_set(ep->server.loop, &m->alarm,
		    ep->server.loop->now + UNLOAD_POLL_MS);
		return;
	}
	g_ptr_array_remove(ep->models, m);
	notify_change(ep);
}

static loaded_model_t *
add_model(fake_endpoint_t *ep, const char *model)
{
	loaded_model_t *m = g_new0(loaded_model_t, 1);

	m->ep = ep;
	str_copy(m->name, ID_MAX, model);
	m->adapter = g_ptr_array_new_with_free_func(g_free);
	m->alarm = (alarm_t){ .fn = on_loaded, .arg = m };
	g_ptr_array_add(ep->models, m);
	return m;
}

static void
free_model(gpointer p)
{
	loaded_model_t *m = p;

	alarm_stop(m->ep->server.loop, &m->alarm);
	g_ptr_array_free(m->adapter, TRUE);
	loop_free_later(m->ep->server.loop, m);
}

static bool
is_busy(const fake_endpoint_t *ep)
{
	guint i;

	for (i = 0; i < ep->models->len; i++) {
		const loaded_model_t *m = ep->models->pdata[i];

		if (m->loading || m->unloading)
			return true;
	}
	return false;
}

/* @return the answer's status, or -1: only recorded */
static int
model_order(fake_endpoint_t *ep, const received_order_t *o)
{
	const model_spec_t *spec = spec_of(ep, o->model);
	loaded_model_t *m = find_model(ep, o->model);
	bool load = strcmp(o->op, "load") == 0;

	if (spec == NULL)
		return -1;
	if (load == (m != NULL))
		return 200;
	if (is_busy(ep))
		return 409;
	if (load) {
		m = add_model(ep, o->model);
		m->loading = true;
		alarm_set(ep->server.loop, &m->alarm,
		    ep->server.loop->now + spec->load_ms);
		check_capacity(ep);
		return 202;
	}
	m->unloading = true;
	m->alarm.fn = unload_if_idle;
	alarm_set(ep->server.loop, &m->alarm, ep->server.loop->now);
	return 202;
}

static int
adapter_order(fake_endpoint_t *ep, const received_order_t *o)
{
	loaded_model_t *m = find_model(ep, o->model);
	int at = adapter_index(m, o->adapter);

	if (m == NULL || m->loading || m->unloading)
		return ep->nspec > 0 ? 409 : -1;
	if (strcmp(o->op, "load") == 0) {
		if (at != -1)
			return 200;
		g_ptr_array_add(m->adapter, g_strdup(o->adapter));
		check_capacity(ep);
		notify_change(ep);
		return 202;
	}
	if (at == -1)
		return 200;
	g_ptr_array_remove_index(m->adapter, (guint)at);
	notify_change(ep);
	return 200;
}

static void
take_order(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);
	json_t *b = json_loadb(
	    c->conn.body.p + c->conn.body.off, buf_len(&c->conn.body), 0, NULL);
	received_order_t *o = g_new0(received_order_t, 1);
	const json_t *expect = json_object_get(b, "expect_revision");
	const char *adapter = json_string_value(json_object_get(b, "adapter"));
	int status;

	str_copy(o->op, sizeof(o->op),
	    json_string_value(json_object_get(b, "operation")));
	str_copy(
	    o->model, ID_MAX, json_string_value(json_object_get(b, "model")));
	str_copy(o->adapter, ID_MAX, adapter != NULL ? adapter : "");
	str_copy(
	    o->holder, ID_MAX, json_string_value(json_object_get(b, "holder")));
	o->expect_revision = expect != NULL ? json_integer_value(expect) : -1;
	o->token = json_integer_value(json_object_get(b, "fencing_token"));
	o->status = o->expect_revision >= 0 && o->expect_revision != ep->seq
			? 409
			: 202;
	if (o->status == 202) {
		status = o->adapter[0] != '\0' ? adapter_order(ep, o)
					       : model_order(ep, o);
		if (status != -1)
			o->status = status;
		/* An order that changes nothing keeps the revision, but any
		 * unload of an adapter from a loaded model raises it. */
		if (o->status == 202 ||
		    (o->status == 200 && o->adapter[0] != '\0' &&
			strcmp(o->op, "unload") == 0))
			ep->seq++;
	}
	g_ptr_array_add(ep->orders, o);
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", o->status,
	    http_reason(o->status));
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
	json_decref(b);
}

static json_t *
models_json(const fake_endpoint_t *ep)
{
	json_t *out = json_array(), *list;
	guint i, k;

	for (i = 0; i < ep->models->len; i++) {
		const loaded_model_t *m = ep->models->pdata[i];

		if (m->loading)
			continue;
		list = json_array();
		for (k = 0; k < m->adapter->len; k++)
			json_array_append_new(
			    list, json_string(m->adapter->pdata[k]));
		json_array_append_new(
		    out, json_pack("{s:s,s:i,s:o}", "name", m->name, "version",
			     1, "adapters", list));
	}
	return out;
}

static void
send_report(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);
	json_t *r = json_pack("{s:o,s:b,s:I,s:I,s:i,s:i,s:i,s:i}", "models",
	    models_json(ep), "busy", is_busy(ep), "seq", (json_int_t)ep->seq,
	    "born", (json_int_t)ep->born, "running", 0, "waiting", 0, "kv_used",
	    0, "kv_total", 100000);
	char *text = json_dumps(r, JSON_COMPACT);

	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(text),
	    text);
	free(text);
	json_decref(r);
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
}

/*
 * Refuse a call for another instance or for a model that isn't loaded, and any
 * call under ENDPOINT_NOT_RUN. @return whether it was refused.
 */
static bool
refuse_call(endpoint_conn_t *c)
{
	const head_t *head = &c->conn.http->head;
	const char *expect = head_get(head, "Expect-Instance");
	const char *asked = head_get(head, "Model"), *adapter;
	bool other = expect != NULL && strcmp(expect, endpoint_of(c)->id) != 0;
	bool lacks = false;
	char model[ID_MAX];
	const loaded_model_t *m;

	if (asked != NULL && endpoint_of(c)->engine) {
		snprintf(model, sizeof(model), "%.*s", (int)strcspn(asked, "/"),
		    asked);
		adapter = strchr(asked, '/');
		m = find_model(endpoint_of(c), model);
		lacks =
		    m == NULL || m->loading || m->unloading ||
		    (adapter != NULL && adapter_index(m, adapter + 1) == -1);
	}
	if (!other && !lacks && endpoint_of(c)->fault != ENDPOINT_NOT_RUN)
		return false;
	endpoint_of(c)->refused++;
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	    other || lacks ? 421 : 503,
	    http_reason(other || lacks ? 421 : 503));
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
	return true;
}

static void
on_request(server_conn_t *v)
{
	endpoint_conn_t *c = (endpoint_conn_t *)v;
	fake_endpoint_t *ep = endpoint_of(c);
	http_conn_t *k = v->http;
	const char *target = head_target(&k->head);

	if (c->answered) {
		c->answered = false;
		http_conn_next(k);
		return;
	}
	if (strcmp(target, "/v1/order") == 0) {
		take_order(c);
		return;
	}
	if (strcmp(target, "/v1/report") == 0) {
		send_report(c);
		return;
	}
	if (refuse_call(c))
		return;
	c->call = record_call(c);
	event_sent(ep, 0);
	switch (ep->fault) {
	case ENDPOINT_RESET:
		server_conn_close(v);
		return;
	case ENDPOINT_SILENT:
		return;
	case ENDPOINT_FOREIGN_ANSWER:
		buf_str(&k->out,
		    "HTTP/1.1 200 OK\r\nRequest-Id: late\r\n"
		    "Server-Signature: s0\r\nContent-Length: 4\r\n\r\nlate");
		break;
	default:
		break;
	}
	if (!ep->engine || ep->fault == ENDPOINT_ERROR ||
	    ep->fault == ENDPOINT_BUSY) {
		c->conn.alarm = (alarm_t){ .fn = answer_plain, .arg = c };
		alarm_set(ep->server.loop, &c->conn.alarm,
		    ep->server.loop->now + ep->plain_ms);
		return;
	}
	put_head(c, 200,
	    "Server-Signature: s1\r\nContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n");
	c->next_event =
	    c->call->last_event_id >= 0 ? c->call->last_event_id + 1 : 1;
	c->conn.alarm = (alarm_t){ .fn = send_event, .arg = c };
	alarm_set(ep->server.loop, &c->conn.alarm,
	    ep->server.loop->now + ep->event_gap);
}

static void
on_head(server_conn_t *v)
{
	endpoint_conn_t *c = (endpoint_conn_t *)v;

	if (endpoint_of(c)->fault != ENDPOINT_EARLY_ANSWER)
		return;
	c->answered = true;
	buf_str(&v->http->out, "HTTP/1.1 503 Service Unavailable\r\n"
			       "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	http_conn_flush(v->http);
}

static void
on_end(server_conn_t *v)
{
	endpoint_conn_t *c = (endpoint_conn_t *)v;

	if (c->call != NULL)
		c->call->cancelled = true;
}

static const http_server_ops_t ops = { .size = sizeof(endpoint_conn_t),
	.head = on_head,
	.done = on_request,
	.end = on_end };

static void
free_call(gpointer p)
{
	executed_call_t *r = p;

	g_free(r->headers);
	g_free(r->body);
	g_free(r);
}

fake_endpoint_t *
fake_endpoint_new(loop_t *l, const fake_endpoint_opts_t *o)
{
	fake_endpoint_t *ep = g_new0(fake_endpoint_t, 1);

	str_copy(ep->id, ID_MAX, o->id);
	str_copy(ep->addr, ADDR_MAX, o->addr);
	ep->engine = o->model != NULL;
	ep->specs = o->models;
	ep->nspec = o->nmodel;
	ep->weights_mb = o->weights_mb;
	ep->changed = o->changed;
	ep->arg = o->arg;
	ep->events = o->events;
	ep->event_gap = o->event_gap;
	ep->plain_ms = o->plain_ms;
	ep->event_bytes = o->event_bytes;
	ep->silent_after = -1;
	ep->slots = o->adapter_slots;
	ep->executed = g_ptr_array_new_with_free_func(free_call);
	ep->orders = g_ptr_array_new_with_free_func(g_free);
	ep->models = g_ptr_array_new_with_free_func(free_model);
	str_copy(ep->version, ID_MAX, o->version != NULL ? o->version : "v1");
	str_copy(ep->model, ID_MAX, o->model != NULL ? o->model : "");
	ep->born = FIRST_BORN_MS;
	if (o->model != NULL)
		add_model(ep, o->model);
	http_server_open(&ep->server, l, o->addr, &ops, ep);
	return ep;
}

void
fake_endpoint_set_fault(fake_endpoint_t *ep, endpoint_fault_t f)
{
	ep->fault = f;
}

void
fake_endpoint_set_silence(fake_endpoint_t *ep, int64_t after, ms_t span)
{
	ep->silent_after = after;
	ep->silence_ms = span;
}

bool
fake_endpoint_is_silent(const fake_endpoint_t *ep)
{
	return ep->server.loop->now < ep->silent_until;
}

const GPtrArray *
fake_endpoint_executed(const fake_endpoint_t *ep)
{
	return ep->executed;
}

const GPtrArray *
fake_endpoint_orders(const fake_endpoint_t *ep)
{
	return ep->orders;
}

void
fake_endpoint_add_model(fake_endpoint_t *ep, const char *model)
{
	add_model(ep, model);
}

void
fake_endpoint_restart(fake_endpoint_t *ep, const char *version)
{
	loop_t *l = ep->server.loop;
	guint i;

	for (i = 0; i < ep->server.conns->len; i++)
		on_end(ep->server.conns->pdata[i]);
	http_server_close(&ep->server);
	g_ptr_array_set_size(ep->models, 0);
	if (ep->model[0] != '\0')
		add_model(ep, ep->model);
	ep->seq = 0;
	ep->born++;
	str_copy(ep->version, ID_MAX, version);
	http_server_open(&ep->server, l, ep->addr, &ops, ep);
	notify_change(ep);
}

const char *
fake_endpoint_version(const fake_endpoint_t *ep)
{
	return ep->version;
}

const char *
fake_endpoint_id(const fake_endpoint_t *ep)
{
	return ep->id;
}

int
fake_endpoint_overcommits(const fake_endpoint_t *ep)
{
	return ep->overcommits;
}

int
fake_endpoint_refused(const fake_endpoint_t *ep)
{
	return ep->refused;
}

int
fake_endpoint_connections(const fake_endpoint_t *ep)
{
	return ep->server.accepted;
}

char *
fake_endpoint_entry(const fake_endpoint_t *ep, const char *service,
    const char *domain, bool leaving)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:i}",
	    "service", service, "address", ep->addr, "zone", domain, "version",
	    ep->version, "slots", 8, "state", leaving ? "draining" : "ready",
	    "cold_left_ms", 0, "born", (json_int_t)ep->born, "seq", 1);
	char *text, *out;

	if (ep->engine)
		json_object_set_new(j, "models", models_json(ep));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	out = g_strdup(text);
	free(text);
	return out;
}

void
fake_endpoint_free(fake_endpoint_t *ep)
{
	http_server_close(&ep->server);
	g_ptr_array_free(ep->executed, TRUE);
	g_ptr_array_free(ep->orders, TRUE);
	g_ptr_array_free(ep->models, TRUE);
	g_free(ep);
}
