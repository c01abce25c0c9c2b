/* Workers, by PROTOCOL.md: entries in the store, requests, orders, reports. */
#include "review/stage/stage.h"

#include <stdlib.h>
#include <string.h>

enum {
	ADAPTER_MS = 15, /* an adapter's load */
};

typedef struct worker_conn {
	server_conn_t conn;
	int run; /* index in runs, -1: none */
} worker_conn_t;

/** An order that is carried out later. */
typedef struct late_order {
	alarm_t alarm;
	worker_t *worker;
	json_t *order;
} late_order_t;

worker_t worker[WORKERS_MAX];
int nworker;
GArray *orders, *runs;
double weights_mb = 200000;
int adapter_slots = 8;

static worker_t *
worker_of(const worker_conn_t *c)
{
	return c->conn.server->owner;
}

static void
reply(worker_conn_t *c, int status, const char *lines, const char *body)
{
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\n%s%sContent-Length: %zu\r\n\r\n%s", status,
	    http_reason(status), lines,
	    worker_of(c)->says_leave ? "Server-Leaving: 1\r\n" : "",
	    strlen(body), body);
	http_conn_flush(c->conn.http);
	if (!c->conn.http->closed)
		http_conn_next(c->conn.http);
}

static int
find_held(const worker_t *w, const char *what)
{
	guint i;

	for (i = 0; i < w->holds->len; i++)
		if (strcmp(w->holds->pdata[i], what) == 0)
			return (int)i;
	return -1;
}

static json_t *
models_json(const worker_t *w)
{
	json_t *list = json_array();
	guint i, k;

	for (i = 0; i < w->holds->len; i++) {
		const char *m = w->holds->pdata[i];
		size_t n = strlen(m);
		json_t *adapters = json_array();

		if (strchr(m, '/') != NULL)
			continue;
		for (k = 0; k < w->holds->len; k++) {
			const char *a = w->holds->pdata[k];

			if (strncmp(a, m, n) == 0 && a[n] == '/')
				json_array_append_new(
				    adapters, json_string(a + n + 1));
		}
		json_array_append_new(
		    list, json_pack("{s:s,s:i,s:o}", "name", m, "version", 1,
			      "adapters", adapters));
	}
	return list;
}

void
worker_write_entry(worker_t *w)
{
	json_t *j;

	if (!w->listed || !store_is_up())
		return;
	j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
	    w->service, "address", w->addr, "zone", "z1", "version", "v1",
	    "slots", w->engine ? 64 : 6, "state",
	    w->leaving ? "draining" : "ready", "cold_left_ms", 0, "seq",
	    ++w->beats, "born", (json_int_t)w->born);
	if (w->engine) {
		json_object_set_new(j, "stage", json_string("both"));
		json_object_set_new(j, "models", models_json(w));
	}
	store_write("servers", w->id, j);
	w->beat_at = loop.now + BEAT_MS;
}

void
workers_write_again(void)
{
	int i;

	for (i = 0; i < nworker; i++)
		if (worker[i].up && worker[i].listed)
			worker_write_entry(&worker[i]);
}

double
model_mb(const char *model)
{
	/* "m72" has 72 GB. */
	return 1000 * atof(model + 1);
}

static double
memory_mb_of(const worker_t *w)
{
	double mb = w->coming[0] != '\0' ? model_mb(w->coming) : 0;
	guint i;

	for (i = 0; i < w->holds->len; i++)
		mb += strchr(w->holds->pdata[i], '/') != NULL
			  ? 66
			  : model_mb(w->holds->pdata[i]);
	return mb;
}

static int
adapters_of(const worker_t *w)
{
	guint i;
	int n = 0;

	for (i = 0; i < w->holds->len; i++)
		n += strchr(w->holds->pdata[i], '/') != NULL;
	return n;
}

static void
remove_model(worker_t *w, const char *model)
{
	size_t n = strlen(model);
	guint i;

	for (i = w->holds->len; i-- > 0;) {
		const char *m = w->holds->pdata[i];

		if (strncmp(m, model, n) == 0 && (m[n] == '\0' || m[n] == '/'))
			g_ptr_array_remove_index(w->holds, i);
	}
}

static order_record_t *
record_order(worker_t *w, const json_t *j, int status)
{
	order_record_t r = { .at = loop.now, .worker = w, .status = status };
	const char *adapter = json_string_value(json_object_get(j, "adapter"));

	str_copy(r.holder, sizeof(r.holder),
	    json_string_value(json_object_get(j, "holder")));
	r.token = json_integer_value(json_object_get(j, "fencing_token"));
	g_snprintf(r.text, sizeof(r.text), "%s %s%s%s expect %" PRId64,
	    json_string_value(json_object_get(j, "operation")),
	    json_string_value(json_object_get(j, "model")),
	    adapter != NULL ? "/" : "", adapter != NULL ? adapter : "",
	    (int64_t)json_integer_value(json_object_get(j, "expect_revision")));
	g_array_append_val(orders, r);
	return &g_array_index(orders, order_record_t, orders->len - 1);
}

static void
note_order(const order_record_t *r, const char *how)
{
	note("order: %s at %s by %s, fencing token %" PRId64 ": %s%d%s",
	    r->text, r->worker->id, r->holder, r->token, how, r->status,
	    r->exceeds ? ", MORE THAN IT HOLDS" : "");
}

/* @return the status that the order gets now */
static int
carry_out(worker_t *w, const json_t *j, bool *exceeds)
{
	const char *op = json_string_value(json_object_get(j, "operation"));
	const char *model = json_string_value(json_object_get(j, "model"));
	const char *adapter = json_string_value(json_object_get(j, "adapter"));
	const json_t *expect = json_object_get(j, "expect_revision");
	bool load = op != NULL && strcmp(op, "load") == 0;
	char what[160];

	*exceeds = false;
	if (op == NULL || model == NULL ||
	    json_object_get(j, "holder") == NULL ||
	    json_object_get(j, "fencing_token") == NULL)
		return 400;
	if (loop.now < w->busy_until ||
	    (expect != NULL && json_integer_value(expect) != w->orders))
		return 409;
	if (adapter == NULL) {
		if (load && find_held(w, model) != -1)
			return 200;
		if (!load && find_held(w, model) == -1)
			return 200;
		w->orders++;
		if (!load) {
			remove_model(w, model);
			w->busy_until = loop.now + 50;
			w->beat_at = loop.now;
			return 202;
		}
		str_copy(w->coming, sizeof(w->coming), model);
		w->busy_until = loop.now + 1600;
		*exceeds = memory_mb_of(w) > weights_mb;
		return 202;
	}
	g_snprintf(what, sizeof(what), "%s/%s", model, adapter);
	if (find_held(w, model) == -1)
		return 400;
	if (load && find_held(w, what) != -1)
		return 200;
	w->orders++;
	w->beat_at = loop.now;
	if (!load) {
		if (find_held(w, what) != -1)
			g_ptr_array_remove_index(w->holds, find_held(w, what));
		return 200;
	}
	g_ptr_array_add(w->holds, g_strdup(what));
	*exceeds =
	    adapters_of(w) > adapter_slots || memory_mb_of(w) > weights_mb;
	return 202;
}

static void
on_late_order(void *arg)
{
	late_order_t *l = arg;
	order_record_t *r;
	bool exceeds = false;
	int status =
	    l->worker->up ? carry_out(l->worker, l->order, &exceeds) : 0;

	r = record_order(l->worker, l->order, status);
	r->exceeds = exceeds;
	note_order(r, "carried out late, ");
	json_decref(l->order);
	g_free(l);
}

static void
take_order(worker_conn_t *c)
{
	worker_t *w = worker_of(c);
	json_t *j = json_loadb(
	    c->conn.body.p + c->conn.body.off, buf_len(&c->conn.body), 0, NULL);
	const char *op = json_string_value(json_object_get(j, "operation"));
	order_record_t *r;
	bool exceeds;
	int status;

	if (w->late_orders > 0 && op != NULL && strcmp(op, "load") == 0) {
		late_order_t *l = g_new0(late_order_t, 1);

		w->late_orders--;
		l->worker = w;
		l->order = j;
		l->alarm = (alarm_t){ .fn = on_late_order, .arg = l };
		alarm_set(&loop, &l->alarm, loop.now + w->late_ms);
		r = record_order(w, j, 0);
		note_order(r, "no answer yet, ");
		return;
	}
	status = carry_out(w, j, &exceeds);
	r = record_order(w, j, status);
	r->exceeds = exceeds;
	note_order(r, "");
	json_decref(j);
	reply(c, status, "Content-Type: application/json\r\n", "{}");
}

static void
report(worker_conn_t *c)
{
	worker_t *w = worker_of(c);
	json_t *j = json_pack("{s:s,s:o,s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:I,s:[]}",
	    "stage", "both", "models", models_json(w), "busy",
	    loop.now < w->busy_until, "seq", w->orders, "waiting", 0, "running",
	    0, "kv_used", 0, "kv_total", 100000, "handles", 0, "born",
	    (json_int_t)w->born, "coming");
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	reply(c, 200, "Content-Type: application/json\r\n", text);
	free(text);
}

static run_record_t *
run_of(const worker_conn_t *c)
{
	return c->run != -1 ? &g_array_index(runs, run_record_t, c->run) : NULL;
}

static void
on_ran(void *arg)
{
	worker_conn_t *c = arg;
	worker_t *w = worker_of(c);
	run_record_t *r = run_of(c);
	char lines[256];

	r->status = 200;
	c->run = -1;
	w->ran++;
	if (w->lose_every > 0 && ++w->since_loss % w->lose_every == 0) {
		note("worker: %s has run %s, its answer is lost", w->id, r->id);
		http_conn_reset(c->conn.http);
		server_conn_forget(&c->conn);
		return;
	}
	g_snprintf(lines, sizeof(lines),
	    "Request-Id: %s\r\nServer-Signature: s.%s\r\nContent-Type: %s\r\n",
	    r->id, r->id, w->engine ? "text/event-stream" : "text/plain");
	reply(c, 200, lines,
	    w->engine ? "id: 0\ndata: a\n\nid: 1\ndata: b\n\n" : "done");
}

static void
run(worker_conn_t *c)
{
	worker_t *w = worker_of(c);
	const head_t *h = &c->conn.http->head;
	const char *expect = head_get(h, "Expect-Instance");
	const char *model = head_get(h, "Model");
	const char *id = head_get(h, "Request-Id");
	run_record_t r = { .at = loop.now, .worker = w };
	char lines[160];

	g_snprintf(lines, sizeof(lines),
	    "Not-Executed: 1\r\nInstance-Id: %s\r\n", w->id);
	if (id == NULL) {
		reply(c, 400, lines, "");
		return;
	}
	if ((expect != NULL && strcmp(expect, w->id) != 0) ||
	    (w->engine && (model == NULL || find_held(w, model) == -1))) {
		reply(c, 421, lines, "");
		return;
	}
	str_copy(r.id, sizeof(r.id), id);
	g_array_append_val(runs, r);
	c->run = (int)runs->len - 1;
	note("worker: %s runs %s", w->id, r.id);
	c->conn.alarm = (alarm_t){ .fn = on_ran, .arg = c };
	alarm_set(&loop, &c->conn.alarm, loop.now + w->work_ms);
}

static void
on_request(server_conn_t *v)
{
	worker_conn_t *c = (worker_conn_t *)v;
	const char *target = head_target(&v->http->head);

	c->run = -1;
	if (strcmp(target, "/v1/report") == 0)
		report(c);
	else if (strcmp(target, "/v1/order") == 0)
		take_order(c);
	else
		run(c);
}

static void
on_conn_end(server_conn_t *v)
{
	worker_conn_t *c = (worker_conn_t *)v;

	if (run_of(c) != NULL && v->alarm.fn == on_ran) {
		worker_of(c)->cut++;
		note("worker: %s drops %s, its connection has ended",
		    worker_of(c)->id, run_of(c)->id);
	}
}

static const http_server_ops_t ops = {
	.size = sizeof(worker_conn_t), .done = on_request, .end = on_conn_end
};

void
worker_stop(worker_t *w)
{
	guint i;

	for (i = 0; i < w->server.conns->len; i++) {
		worker_conn_t *c = w->server.conns->pdata[i];

		w->cut += c->conn.alarm.pos != 0;
		http_conn_reset(c->conn.http);
	}
	http_server_close(&w->server);
	w->up = false;
	g_ptr_array_set_size(w->holds, 0);
	w->coming[0] = '\0';
	w->busy_until = 0;
	w->orders = 0;
}

void
worker_start(worker_t *w)
{
	http_server_open(&w->server, &loop, w->addr, &ops, w);
	w->up = true;
	w->born = clock_wall();
	w->beats = 0;
	worker_write_entry(w);
}

worker_t *
worker_add(const char *id, const char *service, bool engine)
{
	worker_t *w = &worker[nworker];

	if (orders == NULL) {
		orders = g_array_new(FALSE, TRUE, sizeof(order_record_t));
		runs = g_array_new(FALSE, TRUE, sizeof(run_record_t));
	}
	*w = (worker_t){ .engine = engine, .listed = true, .work_ms = 30 };
	str_copy(w->id, sizeof(w->id), id);
	str_copy(w->service, sizeof(w->service), service);
	str_copy(w->addr, sizeof(w->addr), address(100 + nworker, 9000));
	w->holds = g_ptr_array_new_with_free_func(g_free);
	nworker++;
	worker_start(w);
	return w;
}

void
workers_tick(void)
{
	int i;

	for (i = 0; i < nworker; i++) {
		worker_t *w = &worker[i];

		if (!w->up)
			continue;
		if (w->coming[0] != '\0' && loop.now >= w->busy_until) {
			g_ptr_array_add(w->holds, g_strdup(w->coming));
			w->coming[0] = '\0';
			w->beat_at = loop.now;
		}
		if (loop.now >= w->beat_at)
			worker_write_entry(w);
	}
}
