/* A fake endpoint's loaded models, and the orders that change them. */
#include "standin/fake_endpoint_state.h"

#include <stdlib.h>
#include <string.h>

enum {
	UNLOAD_POLL_MS = 50, /* between checks whether a model is still used */
};

loaded_model_t *
endpoint_find_model(const fake_endpoint_t *ep, const char *model)
{
	guint i;

	for (i = 0; i < ep->models->len; i++) {
		loaded_model_t *m = ep->models->pdata[i];

		if (strcmp(m->name, model) == 0)
			return m;
	}
	return NULL;
}

int
endpoint_adapter_index(const loaded_model_t *m, const char *adapter)
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

void
endpoint_notify_change(fake_endpoint_t *ep)
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
	endpoint_notify_change(m->ep);
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
	endpoint_notify_change(ep);
}

loaded_model_t *
endpoint_add_model(fake_endpoint_t *ep, const char *model)
{
	loaded_model_t *m = g_new0(loaded_model_t, 1);

	m->ep = ep;
	str_set(m->name, ID_MAX, model);
	m->adapter = g_ptr_array_new_with_free_func(g_free);
	m->alarm = (alarm_t){ .fn = on_loaded, .arg = m };
	g_ptr_array_add(ep->models, m);
	return m;
}

void
endpoint_free_model(gpointer p)
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
	loaded_model_t *m = endpoint_find_model(ep, o->model);
	bool load = strcmp(o->op, "load") == 0;

	if (spec == NULL)
		return -1;
	if (load == (m != NULL))
		return 200;
	if (is_busy(ep))
		return 409;
	if (load) {
		m = endpoint_add_model(ep, o->model);
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
	loaded_model_t *m = endpoint_find_model(ep, o->model);
	int at = endpoint_adapter_index(m, o->adapter);

	if (m == NULL || m->loading || m->unloading)
		return ep->nspec > 0 ? 409 : -1;
	if (strcmp(o->op, "load") == 0) {
		if (at != -1)
			return 200;
		g_ptr_array_add(m->adapter, g_strdup(o->adapter));
		check_capacity(ep);
		endpoint_notify_change(ep);
		return 202;
	}
	if (at == -1)
		return 200;
	g_ptr_array_remove_index(m->adapter, (guint)at);
	endpoint_notify_change(ep);
	return 200;
}

void
endpoint_take_order(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);
	json_t *b = json_loadb(
	    c->conn.body.p + c->conn.body.off, buf_len(&c->conn.body), 0, NULL);
	received_order_t *o = g_new0(received_order_t, 1);
	const json_t *expect = json_object_get(b, "expect_revision");
	const char *adapter = json_string_value(json_object_get(b, "adapter"));
	int status;

	str_set(o->op, sizeof(o->op),
	    json_string_value(json_object_get(b, "operation")));
	str_set(
	    o->model, ID_MAX, json_string_value(json_object_get(b, "model")));
	str_set(o->adapter, ID_MAX, adapter != NULL ? adapter : "");
	str_set(
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
	o->at = ep->server.loop->now;
	g_ptr_array_add(ep->orders, o);
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", o->status,
	    http_reason(o->status), ep->control_headers);
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
	json_decref(b);
}

json_t *
endpoint_models_json(const fake_endpoint_t *ep)
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

void
endpoint_send_report(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);
	json_t *r = json_pack("{s:o,s:b,s:I,s:I,s:i,s:i,s:i,s:i}", "models",
	    endpoint_models_json(ep), "busy", is_busy(ep), "seq",
	    (json_int_t)ep->seq, "born", (json_int_t)ep->born, "running", 0,
	    "waiting", 0, "kv_used", 0, "kv_total", 100000);
	char *text = json_dumps(r, JSON_COMPACT);

	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s",
	    ep->control_headers, strlen(text), text);
	free(text);
	json_decref(r);
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
}
