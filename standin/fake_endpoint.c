#include "standin/fake_endpoint_state.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	TORN_STEP = 7,	     /* bytes from one cut of a head to the next */
	EARLY_RESET_MS = 20, /* after half an answer */
};

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
	    "Server-Load: 1,0,8\r\n%s%s%s",
	    status, http_reason(status), c->call->id, endpoint_of(c)->id,
	    endpoint_of(c)->limit, endpoint_of(c)->headers, extra);
}

static void
reset_conn(void *arg)
{
	endpoint_conn_t *c = arg;
	struct linger hard = { 1, 0 };

	setsockopt(
	    c->conn.http->watch.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	server_conn_close(&c->conn);
}

/* An answer without a length; a reset marks it as incomplete. */
static void
answer_no_length(endpoint_conn_t *c, const char *body, bool truncated)
{
	put_head(c, 200, "Server-Signature: s1\r\nConnection: close\r\n\r\n");
	buf_add(&c->conn.http->out, body, strlen(body) / (truncated ? 2 : 1));
	http_conn_flush(c->conn.http);
	c->call->complete = !truncated;
	c->call = NULL;
	if (truncated)
		reset_conn(c);
	else
		server_conn_close(&c->conn);
}

/* Each time the head is cut at another byte, by a FIN and a reset in turn. */
static void
answer_torn_head(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);
	buf_t *out = &c->conn.http->out;

	put_head(c, 200, "Server-Signature: s1\r\nContent-Length: 0\r\n");
	ep->torn++;
	out->len = out->off + ep->torn * TORN_STEP % buf_len(out);
	http_conn_flush(c->conn.http);
	c->call->complete = false;
	c->call = NULL;
	if (ep->torn % 2 == 0)
		reset_conn(c);
	else
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
	char body[600];
	bool bad = c->fault == ENDPOINT_ERROR;

	if (hold_back(c) || !endpoint_run_goes_on(c))
		return;
	snprintf(body, sizeof(body), "answer to %s by %s", c->call->id, ep->id);
	if (c->fault == ENDPOINT_BUSY) {
		put_head(c, 503, "Content-Length: 0\r\n\r\n");
		finish_call(c, true);
		return;
	}
	if (c->fault == ENDPOINT_NO_LENGTH || c->fault == ENDPOINT_TRUNCATED) {
		answer_no_length(c, body, c->fault == ENDPOINT_TRUNCATED);
		return;
	}
	put_head(c, bad ? 500 : 200,
	    c->fault == ENDPOINT_UNSIGNED ? "" : "Server-Signature: s1\r\n");
	buf_fmt(&c->conn.http->out, "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
	if (c->fault == ENDPOINT_EXTRA_ANSWER)
		buf_str(&c->conn.http->out,
		    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
		    "Content-Length: 5\r\n\r\nextra");
	finish_call(c, true);
}

static bool
is_unframed(const endpoint_conn_t *c)
{
	return c->fault == ENDPOINT_UNFRAMED ||
	       c->fault == ENDPOINT_UNFRAMED_CUT;
}

static void
send_part(endpoint_conn_t *c, const char *p, size_t n)
{
	bool chunked = !is_unframed(c);

	if (chunked)
		buf_fmt(&c->conn.http->out, "%zx\r\n", n);
	buf_add(&c->conn.http->out, p, n);
	if (chunked)
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
end_stream(endpoint_conn_t *c)
{
	if (is_unframed(c)) {
		c->call->complete = true;
		c->call = NULL;
		server_conn_close(&c->conn);
		return;
	}
	buf_str(&c->conn.http->out, "0\r\n\r\n");
	finish_call(c, true);
}

static void
send_event(void *arg)
{
	endpoint_conn_t *c = arg;
	char *ev;
	size_t n;
	endpoint_fault_t fault = endpoint_of(c)->fault;
	bool cut =
	    (fault == ENDPOINT_CUT_STREAM || fault == ENDPOINT_UNFRAMED_CUT) &&
	    c->next_event >= 3;

	if (hold_back(c) || !endpoint_run_goes_on(c))
		return;
	/* Its caller took the stream up after its last event. */
	if (c->next_event > endpoint_of(c)->events) {
		end_stream(c);
		return;
	}
	ev = fake_endpoint_event(c->next_event, endpoint_of(c)->event_bytes);
	n = strlen(ev);
	send_part(c, ev, cut ? n / 2 : n);
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
	end_stream(c);
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
	r->id = g_strdup(v != NULL ? v : "");
	str_set(r->version, sizeof(r->version), endpoint_of(c)->version);
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

/*
 * Refuse a call for another instance or for a model that isn't loaded, and any
 * call under ENDPOINT_NOT_RUN. @return whether it was refused.
 */
static bool
refuse_call(endpoint_conn_t *c)
{
	const head_t *head = &c->conn.http->head;
	const char *expect = head_get(head, "Expect-Instance");
	const char *id = head_get(head, "Request-Id");
	const char *asked = head_get(head, "Model"), *adapter;
	bool other = expect != NULL && strcmp(expect, endpoint_of(c)->id) != 0;
	bool lacks = false;
	char model[ID_MAX], *once;
	const loaded_model_t *m;

	if (asked != NULL && endpoint_of(c)->engine) {
		snprintf(model, sizeof(model), "%.*s", (int)strcspn(asked, "/"),
		    asked);
		adapter = strchr(asked, '/');
		m = endpoint_find_model(endpoint_of(c), model);
		lacks = m == NULL || m->loading || m->unloading ||
			(adapter != NULL &&
			    endpoint_adapter_index(m, adapter + 1) == -1);
	}
	if (!other && !lacks && endpoint_of(c)->fault != ENDPOINT_NOT_RUN)
		return false;
	endpoint_of(c)->refused++;
	once = endpoint_of(c)->headers_once;
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
	    "%sContent-Length: 0\r\n\r\n",
	    other || lacks ? 421 : 503, http_reason(other || lacks ? 421 : 503),
	    id != NULL ? id : "",
	    *once != '\0' ? once : endpoint_of(c)->headers);
	*once = '\0';
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
	return true;
}

/* As a fault does on a connection that has carried a call before. */
static void
write_earlier_refusal(endpoint_conn_t *c)
{
	buf_t *out = &c->conn.http->out;

	if (!c->call->kept)
		return;
	buf_str(out, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
		     "Content-Length: 0\r\n\r\n");
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
		endpoint_take_order(c);
		return;
	}
	if (strcmp(target, "/v1/report") == 0) {
		endpoint_send_report(c);
		return;
	}
	g_array_append_val(ep->arrivals, ep->server.loop->now);
	if (refuse_call(c))
		return;
	c->call = record_call(c);
	c->call->kept = c->ncall++ > 0;
	c->began = false;
	c->next_event = 1;
	c->fault = ep->fault;
	event_sent(ep, 0);
	switch (ep->fault) {
	case ENDPOINT_RESET:
		server_conn_close(v);
		return;
	case ENDPOINT_SILENT:
		return;
	case ENDPOINT_TORN_HEAD:
		answer_torn_head(c);
		return;
	case ENDPOINT_FOREIGN_ANSWER:
		buf_str(&k->out,
		    "HTTP/1.1 200 OK\r\nRequest-Id: late\r\n"
		    "Server-Signature: s0\r\nContent-Length: 4\r\n\r\nlate");
		break;
	case ENDPOINT_UNNAMED_REFUSAL:
		write_earlier_refusal(c);
		break;
	case ENDPOINT_FOREIGN_REFUSAL:
		buf_fmt(&k->out,
		    "HTTP/1.1 503 Busy\r\nRequest-Id: late\r\n"
		    "Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
		    ep->headers_once);
		ep->headers_once[0] = '\0';
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
	    "Server-Signature: s1\r\nContent-Type: text/event-stream\r\n");
	buf_str(&k->out,
	    is_unframed(c) ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
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
	const char *id = head_get(&v->http->head, "Request-Id");

	if (endpoint_of(c)->fault == ENDPOINT_EARLY_RESET && id != NULL) {
		buf_fmt(&v->http->out,
		    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		    "Server-Signature: s1\r\n\r\nanswer to",
		    id);
		c->answered = true;
		http_conn_pause(v->http, true);
		http_conn_flush(v->http);
		v->alarm = (alarm_t){ .fn = reset_conn, .arg = c };
		alarm_set(v->server->loop, &v->alarm,
		    v->server->loop->now + EARLY_RESET_MS);
		return;
	}
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

const http_server_ops_t endpoint_server_ops = { .size = sizeof(endpoint_conn_t),
	.head = on_head,
	.done = on_request,
	.end = on_end };

static void
free_call(gpointer p)
{
	executed_call_t *r = p;

	g_free(r->id);
	g_free(r->headers);
	g_free(r->body);
	g_free(r);
}

fake_endpoint_t *
fake_endpoint_new(loop_t *l, const fake_endpoint_opts_t *o)
{
	fake_endpoint_t *ep = g_new0(fake_endpoint_t, 1);

	str_set(ep->id, ID_MAX, o->id);
	str_set(ep->addr, ADDR_MAX, o->addr);
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
	ep->arrivals = g_array_new(FALSE, FALSE, sizeof(ms_t));
	ep->models = g_ptr_array_new_with_free_func(endpoint_free_model);
	str_set(ep->version, ID_MAX, o->version != NULL ? o->version : "v1");
	str_set(ep->model, ID_MAX, o->model != NULL ? o->model : "");
	ep->born = clock_wall();
	if (o->model != NULL)
		endpoint_add_model(ep, o->model);
	http_server_open(&ep->server, l, o->addr, &endpoint_server_ops, ep);
	return ep;
}

void
fake_endpoint_set_fault(fake_endpoint_t *ep, endpoint_fault_t f)
{
	ep->fault = f;
}

void
fake_endpoint_set_limit(fake_endpoint_t *ep, const char *text)
{
	ep->limit[0] = '\0';
	if (text != NULL)
		snprintf(
		    ep->limit, sizeof(ep->limit), "Server-Limit: %s\r\n", text);
}

void
fake_endpoint_set_headers(fake_endpoint_t *ep, const char *lines)
{
	str_set(ep->headers, sizeof(ep->headers), lines != NULL ? lines : "");
}

void
fake_endpoint_set_headers_once(fake_endpoint_t *ep, const char *lines)
{
	str_set(ep->headers_once, sizeof(ep->headers_once), lines);
}

void
fake_endpoint_set_control_headers(fake_endpoint_t *ep, const char *lines)
{
	str_set(ep->control_headers, sizeof(ep->control_headers),
	    lines != NULL ? lines : "");
}

void
fake_endpoint_set_born(fake_endpoint_t *ep, int64_t born)
{
	ep->born = born;
}

int64_t
fake_endpoint_born(const fake_endpoint_t *ep)
{
	return ep->born;
}

const GArray *
fake_endpoint_arrivals(const fake_endpoint_t *ep)
{
	return ep->arrivals;
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
	endpoint_add_model(ep, model);
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
fake_endpoint_entry(
    fake_endpoint_t *ep, const char *service, const char *domain, bool leaving)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:i}",
	    "service", service, "address", ep->addr, "zone", domain, "version",
	    ep->version, "slots", 8, "state", leaving ? "draining" : "ready",
	    "cold_left_ms", 0, "born", (json_int_t)ep->born, "seq",
	    ++ep->entries);
	char *text, *out;

	if (ep->engine)
		json_object_set_new(j, "models", endpoint_models_json(ep));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	out = g_strdup(text);
	free(text);
	return out;
}

void
fake_endpoint_free(fake_endpoint_t *ep)
{
	alarm_stop(ep->server.loop, &ep->up_alarm);
	if (!ep->down)
		http_server_close(&ep->server);
	g_ptr_array_free(ep->executed, TRUE);
	g_ptr_array_free(ep->orders, TRUE);
	g_array_free(ep->arrivals, TRUE);
	g_ptr_array_free(ep->models, TRUE);
	g_free(ep);
}
