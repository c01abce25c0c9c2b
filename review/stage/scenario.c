/* The scenarios. */
#define _GNU_SOURCE
#include "review/stage/scenario.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The others are for scenarios with workers that are full. */
static const char *const models[] = { "m10", "m195a", "m195b", "m195c", NULL };
static int nmodel = 1;

/* Routes whose prefixes are longer than those of the others. */
#define LONG_PREFIX \
	"/granite-ridge/new-england/friction-survey/trailers/calibration/"
static const char *records_service; /* NULL: there are no such routes */

static void
add_long_routes(json_t *routes)
{
	json_array_append_new(
	    routes, json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name",
			"history", "host", "site.example", "path_prefix",
			LONG_PREFIX "history/", "kind", "safe", "timeout_ms",
			4000, "target_latency_ms", 300, "priority", 2,
			"service", "app", "max_attempts", 2));
	json_array_append_new(
	    routes, json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name",
			"records", "host", "site.example", "path_prefix",
			LONG_PREFIX "records/", "kind", "unsafe", "timeout_ms",
			4000, "target_latency_ms", 300, "priority", 2,
			"service", records_service, "max_attempts", 1));
}

void
config_write(int version)
{
	json_t *list = json_array(), *routes = json_array(), *services;
	int i;

	for (i = 0; i < nmodel; i++)
		json_array_append_new(
		    list, json_pack("{s:s,s:f,s:f,s:i,s:f,s:f,s:f}", "name",
			      models[i], "weights_mb", model_mb(models[i]),
			      "load_s", 1.6, "adapters", 63, "adapter_mb", 66.0,
			      "warm_s", 1.3, "disk_s", 1.7));
	json_array_append_new(routes,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,s:i}",
		"name", "gen", "host", "site.example", "path_prefix", "/gen/",
		"kind", "streaming", "timeout_ms", 6000, "target_latency_ms",
		1200, "priority", 1, "service", "llm", "max_attempts", 2,
		"sticky", 1, "resumable", 1, "gap_aim_ms", 400));
	json_array_append_new(routes,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name", "log",
		"host", "site.example", "path_prefix", "/log/", "kind",
		"unsafe", "timeout_ms", 4000, "target_latency_ms", 300,
		"priority", 2, "service", "app", "max_attempts", 1));
	if (records_service != NULL)
		add_long_routes(routes);
	services = json_pack("[{s:s,s:s,s:i,s:s,s:b,s:{s:i,s:i,s:i,s:f,s:b,s:b,"
			     "s:i,s:i,s:o,s:f,s:i,s:f}},{s:s,s:s,s:i,s:s,s:b}]",
	    "name", "llm", "health_path", "/healthz", "max_connections", 360,
	    "protocol", "h1", "tls", 0, "engine", "slots", 64,
	    "kv_capacity_tokens", 139471, "kv_token_bytes", 163840, "link_mbps",
	    550000.0, "moves", 0, "backups", 0, "stride", 2, "upper_limit", 12,
	    "models", list, "weights_mb", weights_mb, "adapter_slots",
	    adapter_slots, "loads_per_s", 2.1, "name", "app", "health_path",
	    "/healthz", "max_connections", 100, "protocol", "h1", "tls", 0,
	    "name", "ledger", "health_path", "/healthz", "max_connections", 100,
	    "protocol", "h1", "tls", 0);
	store_write("config", "main",
	    json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version", version,
		"routes", routes, "services", services, "limits",
		"max_header_bytes", 16384, "max_body_bytes", 4194304,
		"header_timeout_ms", 3000, "idle_timeout_ms", 15000));
}

static void
daemons_run(int n)
{
	int i;

	daemons_prepare(n);
	for (i = 0; i < n; i++)
		daemon_launch(i);
	daemons_wait_ready();
}

static int
holder(void)
{
	json_t *lease = store_read("ebonypitch-leases", "planner");
	const char *name = json_string_value(json_object_get(lease, "holder"));
	int i;

	for (i = 0; name != NULL && i < ndaemon; i++)
		if (strcmp(daemon_at[i].name, name) == 0)
			return i;
	return -1;
}

/* Rule ONE, of the orders that each worker got. */
static int
check_one(void)
{
	int i, broken = 0, tokens = 0, turns = 0;
	guint k;

	for (i = 0; i < nworker; i++) {
		const order_record_t *before = NULL;
		int64_t most = 0;

		for (k = 0; k < orders->len; k++) {
			const order_record_t *o =
			    &g_array_index(orders, order_record_t, k);

			if (o->worker != &worker[i])
				continue;
			if (before != NULL &&
			    strcmp(before->holder, o->holder) != 0 &&
			    o->at - before->at < LEASE_MS) {
				note("ONE: %s is ordered by %s %" PRId64
				     " ms after %s: within a lease of %d",
				    worker[i].id, o->holder, o->at - before->at,
				    before->holder, LEASE_MS);
				turns++;
			}
			if (o->token < most) {
				if (tokens++ < 5)
					note("ONE: %s gets fencing token "
					     "%" PRId64 " by %s after %" PRId64,
					    worker[i].id, o->token, o->holder,
					    most);
			}
			if (o->token > most)
				most = o->token;
			before = o;
		}
	}
	note("orders %u, turns within a lease %d, lower tokens %d", orders->len,
	    turns, tokens);
	broken = turns + tokens;
	return broken > 0;
}

/* Requests for ever other adapters, so that the holder always has to order. */
static void
adapter_traffic(void)
{
	static ms_t next;
	static int n;
	char fields[200];
	int i = n % ndaemon;

	if (loop.now < next)
		return;
	next = loop.now + 150;
	n++;
	if (daemon_at[i].pid == 0 || daemon_at[i].stopping)
		return;
	g_snprintf(fields, sizeof(fields),
	    "Model: m10/a%d\r\nToken-Usage: 100,10\r\n"
	    "Prompt-Prefix: ab:60,%x:40\r\n",
	    1 + n % 63, 4096 + n);
	client_send(i, "POST", "/gen/x", fields, "prompt", 6000);
}

static void
all_workers_hold(const char *model)
{
	int i;

	for (i = 0; i < nworker; i++)
		g_ptr_array_add(worker[i].holds, g_strdup(model));
	workers_write_again();
}

/* The store comes back from a copy; operator and workers write again. */
static void
store_drill(ms_t to)
{
	note("store: away");
	store_stop();
	pump(500);
	store_go_back(loop.now - to);
	store_start();
	config_write(1);
	workers_write_again();
}

static int
holder_after_drill(void)
{
	int old, i;
	ms_t stopped_at, until;
	guint k;
	bool next_orders = false;

	for (i = 0; i < 3; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-engine%d", i);
		worker_add(id, "llm", true);
	}
	config_write(1);
	all_workers_hold("m10");
	daemons_run(3);
	traffic = adapter_traffic;
	until = loop.now + 15000;
	while (orders->len < 10 && loop.now < until)
		pump(50);
	pump(2000);
	old = holder();
	if (old == -1 || orders->len < 10)
		cannot("nobody orders");
	note("planned restart: SIGTERM to the holder, %s", daemon_at[old].name);
	stopped_at = loop.now;
	daemon_at[old].stopping = true;
	kill(daemon_at[old].pid, SIGTERM);
	until = loop.now + 15000;
	while (!next_orders && loop.now < until) {
		pump(20);
		for (k = 0; k < orders->len; k++)
			next_orders |=
			    strcmp(
				g_array_index(orders, order_record_t, k).holder,
				daemon_at[old].name) != 0;
	}
	if (!next_orders)
		cannot("no other instance orders");
	while (!daemon_ready(old) && loop.now < until)
		pump(20);
	pump(300);
	note("%s orders, and %s is back", daemon_at[holder()].name,
	    daemon_at[old].name);
	if (trouble)
		store_drill(stopped_at - 1000);
	pump(8000);
	return check_one();
}

/* Requests that the worker got later than drain_ms after @p since. */
static int
late_runs(const worker_t *w, ms_t since)
{
	guint k;
	int n = 0;

	for (k = 0; k < runs->len; k++) {
		const run_record_t *r = &g_array_index(runs, run_record_t, k);

		if (r->worker != w || r->at <= since + DRAIN_MS)
			continue;
		note("DRAIN: %s reaches %s %" PRId64
		     " ms after its draining was acknowledged",
		    r->id, w->id, r->at - since);
		n++;
	}
	return n;
}

/* The worker that has run most. */
static worker_t *
busiest(void)
{
	worker_t *w = &worker[0];
	int i;

	for (i = 1; i < nworker; i++)
		if (worker[i].ran > w->ran)
			w = &worker[i];
	return w;
}

static void
send_entries(int n, ms_t gap)
{
	int i;

	for (i = 0; i < n; i++) {
		client_send(i % ndaemon, "POST", "/log/x", "",
		    "calibration entry", 4000);
		if (gap > 0)
			pump(gap);
	}
}

/*
 * Let a worker drain and exit; requests come 2.3 s after its report was
 * acknowledged. @return how many of them reached it
 */
static int
drain_and_exit(worker_t *w)
{
	int late, cut = 0;
	guint k, from;
	ms_t at;

	note("worker: %s leaves", w->id);
	w->leaving = w->says_leave = true;
	worker_write_entry(w);
	note("store: draining of %s acknowledged, revision %" PRId64, w->id,
	    store_revision());
	at = loop.now;
	pump(2300);
	from = sent->len;
	send_entries(18, 0);
	pump(300);
	note("worker: %s exits", w->id);
	w->listed = false;
	worker_stop(w);
	store_write("servers", w->id, NULL);
	pump(3000);
	late = late_runs(w, at);
	for (k = from; k < sent->len; k++)
		cut += ((const sent_t *)sent->pdata[k])->status != 200;
	note("requests that reached %s after the end of draining %d; of the "
	     "%u requests sent then, without a success %d",
	    w->id, late, sent->len - from, cut);
	return late;
}

static void
app_workers(int n)
{
	int i;

	for (i = 0; i < n; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-app%d", i);
		worker_add(id, "app", false)->work_ms = 400;
	}
}

/* A worker leaves a while after the store has come back. */
static int
leaving_after_drill(void)
{
	app_workers(6);
	config_write(1);
	daemons_run(3);
	pump(10000);
	send_entries(12, 100);
	pump(1000);
	if (trouble)
		store_drill(loop.now - 8000);
	pump(3200);
	return drain_and_exit(busiest()) > 0;
}

/* Another writer's entry that can't be read stands beside the workers'. */
static int
odd_entry(json_t *spec)
{
	ms_t until;
	int late;

	app_workers(6);
	config_write(1);
	daemons_run(3);
	pump(3000);
	if (trouble) {
		note("store: another writer makes servers/i-other");
		store_write("servers", "i-other", spec);
	}
	send_entries(12, 100);
	pump(4000);
	late = drain_and_exit(busiest());
	note("planned restart: SIGTERM to %s", daemon_at[2].name);
	daemon_at[2].stopping = true;
	kill(daemon_at[2].pid, SIGTERM);
	until = loop.now + 10000;
	while (daemon_at[2].stopping && loop.now < until)
		pump(50);
	until = loop.now + 15000;
	while (!daemon_ready(2) && loop.now < until)
		pump(200);
	note("%s is %s 15 s after its restart", daemon_at[2].name,
	    daemon_ready(2) ? "ready" : "NOT READY");
	return late > 0;
}

/* Bytes of no known form, shown by the store as a string. */
static int
odd_bytes(void)
{
	static const char bytes[] = { 0, 8, 'x', 0, 1, 2 };

	return odd_entry(json_stringn(bytes, sizeof(bytes)));
}

/* A number in place of an object. The stand-in's parser can't hold it, too. */
static int
odd_number(void)
{
	store_show_odd_number("i-other");
	return odd_entry(json_string("odd number"));
}

/* Rule LIMIT, of the orders that were carried out. */
static int
check_limit(void)
{
	guint k;
	int n = 0;

	for (k = 0; k < orders->len; k++)
		n += g_array_index(orders, order_record_t, k).exceeds;
	note("orders %u, of these beyond what the worker holds %d", orders->len,
	    n);
	return n > 0;
}

static void
ask_adapter(int n)
{
	char fields[200];
	static int count;

	g_snprintf(fields, sizeof(fields),
	    "Model: m10/a%d\r\nToken-Usage: 100,10\r\n"
	    "Prompt-Prefix: ab:60,%x:40\r\n",
	    n, 4096 + ++count);
	client_send(count % ndaemon, "POST", "/gen/x", fields, "prompt", 6000);
}

/* The other engines are full, and what they hold is asked for. */
static void
ask_full_engines(void)
{
	static ms_t next;
	static int n;
	char fields[200];

	if (loop.now < next)
		return;
	next = loop.now + 200;
	g_snprintf(fields, sizeof(fields),
	    "Model: %s\r\nToken-Usage: 100,10\r\nPrompt-Prefix: "
	    "cd:60,%x:40\r\n",
	    models[1 + n % 3], 65536 + n);
	client_send(n++ % ndaemon, "POST", "/gen/x", fields, "prompt", 6000);
}

/* An order is carried out late, after its worker has started again. */
static int
late_order(void)
{
	worker_t *w = worker_add("i-engine0", "llm", true);
	ms_t until;
	int i;

	nmodel = 4;
	g_ptr_array_add(w->holds, g_strdup("m10"));
	for (i = 1; i <= 3; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-engine%d", i);
		g_ptr_array_add(
		    worker_add(id, "llm", true)->holds, g_strdup(models[i]));
	}
	config_write(1);
	workers_write_again();
	daemons_run(2);
	traffic = ask_full_engines;
	pump(7000);
	for (i = 1; i <= 8; i++) {
		ask_adapter(i);
		pump(150);
	}
	pump(2500);
	note("worker: %s has accepted %d orders", w->id, w->orders);
	if (trouble) {
		w->late_orders = 1;
		w->late_ms = 11000;
	}
	ask_adapter(9);
	until = loop.now + 4000;
	while (trouble && w->late_orders > 0 && loop.now < until)
		pump(5);
	if (trouble && w->late_orders > 0)
		cannot("no further adapter is ordered");
	pump(500);
	if (trouble) {
		note("worker: %s crashes", w->id);
		worker_stop(w);
		pump(500);
		worker_start(w);
		note("worker: %s starts again under its id", w->id);
	}
	for (until = loop.now + 12000; loop.now < until;) {
		for (i = 1; i <= 8; i++) {
			ask_adapter(i);
			pump(100);
		}
	}
	return check_limit();
}

/* Clients that send a long body on a connection that they have used before. */

enum {
	LONG_CLIENTS = 72,
	LONG_BODY = 4000000, /* bytes; max_body_bytes is 4194304 */
};

typedef struct long_client {
	http_conn_t *http;
	char id[32];
	int answers, status;
	bool asked, closed;
	ms_t at;
} long_client_t;

static long_client_t long_client[LONG_CLIENTS];

static void
long_head(void *u, http_conn_t *k)
{
	((long_client_t *)u)->status = (int)k->parser.status_code;
}

static void
long_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	(void)u, (void)k, (void)p, (void)n;
}

static void
long_done(void *u, http_conn_t *k)
{
	long_client_t *c = u;

	c->answers++;
	note("client: %s answered %d", c->id, c->status);
	http_conn_next(k);
}

static void
long_end(void *u, http_conn_t *k, http_end_t why)
{
	long_client_t *c = u;

	(void)k, (void)why;
	note("client: %s closed", c->id);
	c->closed = true;
	c->http = NULL;
}

static const http_conn_ops_t long_ops = {
	.head = long_head, .body = long_body, .done = long_done, .end = long_end
};

static void
long_send(long_client_t *c, int size)
{
	static int count;
	char *body = g_strnfill((gsize)size, 'x');

	g_snprintf(c->id, sizeof(c->id), "b%06x%04x", loop.epoll_fd, ++count);
	c->at = loop.now;
	note("client: sends %s, %d bytes", c->id, size);
	buf_fmt(&c->http->out,
	    "POST /log/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Remaining: 4000\r\nContent-Length: %d\r\n\r\n",
	    c->id, size);
	buf_add(&c->http->out, body, (size_t)size);
	g_free(body);
	http_conn_flush(c->http);
}

/* Was the request passed on to a worker? */
static bool
reached(const char *id)
{
	guint k;

	for (k = 0; k < runs->len; k++)
		if (strcmp(g_array_index(runs, run_record_t, k).id, id) == 0)
			return true;
	return false;
}

static int
long_bodies(void)
{
	int i, n = trouble ? LONG_CLIENTS : 8, lost = 0, cut = 0;
	char addr[64];
	struct sockaddr_in sa;

	app_workers(6);
	for (i = 0; i < nworker; i++)
		worker[i].work_ms = 1500;
	config_write(1);
	daemons_run(1);
	pump(3000);
	g_snprintf(addr, sizeof(addr), "%s:8149", daemon_at[0].ip);
	net_addr(addr, &sa);
	for (i = 0; i < n; i++) {
		long_client_t *c = &long_client[i];

		c->http = http_conn_connect(&loop, &sa, &long_ops, c);
		long_send(c, 600);
		pump(50);
	}
	pump(2000);
	note("%d clients send %d bytes each", n, LONG_BODY);
	for (i = 0; i < n; i++) {
		if (long_client[i].http != NULL)
			long_send(&long_client[i], LONG_BODY);
		pump(15);
	}
	pump(8000);
	for (i = 0; i < n; i++) {
		const long_client_t *c = &long_client[i];

		cut += c->answers < 2;
		lost += c->answers < 2 && c->closed && reached(c->id);
	}
	note("LOST: requests passed on to a worker and closed without an "
	     "answer %d; without an answer in all %d; memory at its peak %d "
	     "MB; processes ended by themselves %d",
	    lost, cut, daemon_at[0].high_kb / 1024, daemon_at[0].ends);
	return lost > 3;
}

/* Rule TWICE, of requests that may run once. */
static int
check_twice(void)
{
	guint i, k;
	int n = 0;

	for (i = 0; i < runs->len; i++)
		for (k = i + 1; k < runs->len; k++) {
			const run_record_t *a =
			    &g_array_index(runs, run_record_t, i);
			const run_record_t *b =
			    &g_array_index(runs, run_record_t, k);

			if (strcmp(a->id, b->id) != 0)
				continue;
			note("TWICE: %s ran at %s and, %" PRId64
			     " ms later, at %s",
			    a->id, a->worker->id, b->at - a->at, b->worker->id);
			n++;
		}
	note("runs %u, of these repeats of unsafe requests %d", runs->len, n);
	return n > 0;
}

static void
send_records(int n)
{
	int i;

	for (i = 0; i < n; i++) {
		client_send(i % ndaemon, "POST", LONG_PREFIX "records/1", "",
		    "calibration entry", 4000);
		pump(100);
	}
}

/*
 * Unsafe requests on a route with a long prefix; half of the workers, those
 * used most, lose one in four of their answers.
 */
static int
long_prefix(void)
{
	int i, k;

	app_workers(4);
	for (i = 0; i < nworker; i++)
		worker[i].work_ms = 60;
	records_service = "app";
	config_write(1);
	daemons_run(2);
	pump(3000);
	send_records(16);
	for (k = 0; trouble && k < 2; k++) {
		worker_t *most = NULL;

		for (i = 0; i < nworker; i++)
			if (worker[i].lose_every == 0 &&
			    (most == NULL || worker[i].ran > most->ran))
				most = &worker[i];
		note("worker: %s loses one in four of its answers", most->id);
		most->lose_every = 4;
	}
	send_records(60);
	pump(4000);
	return check_twice();
}

/* The same route, to a service of its own, comes with a newer configuration. */
static int
long_prefix_route(void)
{
	int i, n = 0;
	guint k;

	app_workers(3);
	worker_add("i-ledger0", "ledger", false);
	worker_add("i-ledger1", "ledger", false);
	config_write(1);
	daemons_run(2);
	pump(3000);
	if (trouble) {
		records_service = "ledger";
		config_write(2);
	}
	pump(3000);
	for (i = 0; i < 20; i++) {
		client_send(i % ndaemon, "POST", LONG_PREFIX "records/1", "",
		    "calibration entry", 4000);
		pump(100);
	}
	pump(1000);
	for (k = 0; k < runs->len; k++)
		n +=
		    strcmp(g_array_index(runs, run_record_t, k).worker->service,
			"ledger") != 0;
	note("ROUTE: of %u runs, by the service of another route %d", runs->len,
	    n);
	return n > 0;
}

typedef struct scenario {
	const char *name;
	int (*run)(void);
} scenario_t;

static const scenario_t scenarios[] = {
	{ "holder-after-drill", holder_after_drill },
	{ "leaving-after-drill", leaving_after_drill },
	{ "late-order", late_order },
	{ "odd-entry", odd_bytes },
	{ "odd-number", odd_number },
	{ "long-prefix", long_prefix },
	{ "long-prefix-route", long_prefix_route },
	{ "long-bodies", long_bodies },
};

int
scenario_run(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++)
		if (strcmp(scenarios[i].name, name) == 0)
			return scenarios[i].run();
	return 2;
}
