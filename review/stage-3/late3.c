/*
 * A store, four model workers and their consumers for one daemon, in one
 * program. A worker leaves one order unanswered and carries it out late; it
 * crashes soon after the order came and starts again under its id, empty and
 * with its count of orders at 0.
 *
 * late3 DIR PORT,PORT,PORT,PORT,PORT TROUBLE
 */
#include "standin/client_request.h"
#include "standin/daemon_settings.h"
#include "standin/fake_store.h"
#include "standin/http_server.h"

#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	WORKERS = 4,
	MODELS = 15,
	HELD_MAX = 8,
	LOADED_AT_FIRST = 3, /* at each worker */
	MODEL_MB = 65000,
	WEIGHTS_MB = 200000,
	LOAD_MS = 1200,
	LATE_MS = 11500, /* 2 to 12 s by our pages */
	CRASH_AFTER_MS = 300,
	DOWN_MS = 3000,
	TICK_MS = 100,
	SPAN_MS = 50000,
	/* The first rare model, the second, and the last that stays asked for */
	RARE_1 = 12,
	RARE_2 = 13,
	RARE_1_AT = 6000,
	RARE_1_FOR = 2500,
	RARE_2_AT = 16000,
	RARE_2_FOR = 9000,
	IDLE = 8,   /* held by worker 2 at first, and never asked for */
	FADING = 9, /* held by worker 3; not asked for any more after the crash */
};

typedef struct order {
	char op[16], model[64], holder[64];
	int64_t expect, token;
} order_t;

typedef struct worker {
	http_server_t server;
	int n;
	char id[32], addr[32];
	int64_t born;
	int seq, writes;
	char held[HELD_MAX][64];
	int nheld;
	order_t doing; /* being carried out, if busy */
	bool busy, down;
	alarm_t done, up, crash;
	order_t late;
	alarm_t late_alarm;
} worker_t;

typedef struct conn {
	server_conn_t conn;
} conn_t;

static loop_t loop;
static fake_store_t *store;
static worker_t worker[WORKERS];
static char *front;
static ms_t began;
static bool trouble, late_taken, fading;
static ms_t crashed_at;
static int over, late_done, answered, refused, failed, next_id;

static void
say(const char *fmt, ...)
{
	va_list ap;

	printf("%6" PRId64 " ", loop.now - began);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

static void
model_name(char *to, int m)
{
	snprintf(to, 64, "model-%d", m);
}

static int
find_held(const worker_t *w, const char *model)
{
	int i;

	for (i = 0; i < w->nheld; i++)
		if (strcmp(w->held[i], model) == 0)
			return i;
	return -1;
}

static json_t *
models_json(const worker_t *w)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < w->nheld; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:i,s:[]}", "name", w->held[i], "version",
			1, "adapters"));
	return list;
}

static void
put_entry(worker_t *w)
{
	json_t *j = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I,s:s,s:o}", "service",
	    "engine", "address", w->addr, "zone", "zone-a", "version", "v1",
	    "slots", 64, "state", "ready", "cold_left_ms", 0, "seq",
	    ++w->writes, "born", (json_int_t)w->born, "stage", "both",
	    "models", models_json(w));
	char *text = json_dumps(j, JSON_COMPACT);

	fake_store_put(store, "servers", w->id, text);
	free(text);
	json_decref(j);
}

static void
on_done_order(void *arg)
{
	worker_t *w = arg;
	int at = find_held(w, w->doing.model);

	w->busy = false;
	if (strcmp(w->doing.op, "load") == 0 && at == -1)
		snprintf(w->held[w->nheld++], 64, "%s", w->doing.model);
	else if (strcmp(w->doing.op, "unload") == 0 && at != -1)
		memmove(w->held[at], w->held[at + 1],
		    (size_t)(--w->nheld - at) * sizeof(w->held[0]));
	put_entry(w);
}

/* Carry an order out. @return the status */
static int
take_order(worker_t *w, const order_t *o)
{
	bool load = strcmp(o->op, "load") == 0;
	int mb, i;
	char all[512] = "";

	if (o->holder[0] == '\0' || o->token < 0)
		return 400;
	if (o->expect >= 0 && o->expect != w->seq)
		return 409;
	if (w->busy)
		return 409;
	if (load == (find_held(w, o->model) != -1))
		return 200;
	w->seq++;
	w->busy = true;
	w->doing = *o;
	alarm_set(&loop, &w->done, loop.now + (load ? LOAD_MS : 20));
	mb = (w->nheld + (load ? 1 : 0)) * MODEL_MB;
	if (mb > WEIGHTS_MB) {
		over++;
		for (i = 0; i < w->nheld; i++) {
			strcat(all, " ");
			strcat(all, w->held[i]);
		}
		say("LIMIT %s is ordered to load %s with %d of %d MB loaded:%s",
		    w->id, o->model, w->nheld * MODEL_MB, WEIGHTS_MB, all);
	}
	return 202;
}

static void
on_late(void *arg)
{
	worker_t *w = arg;
	int status;

	if (w->down)
		return;
	status = take_order(w, &w->late);
	late_done++;
	say("late %s carries out %s %s expect=%" PRId64 " status=%d", w->id,
	    w->late.op, w->late.model, w->late.expect, status);
}

static const http_server_ops_t ops;

static void
on_up(void *arg)
{
	worker_t *w = arg;

	w->down = false;
	w->born = clock_wall();
	w->seq = w->nheld = 0;
	w->busy = false;
	http_server_open(&w->server, &loop, w->addr, &ops, w);
	put_entry(w);
	say("worker %s has started again, empty", w->id);
}

static void
on_crash(void *arg)
{
	worker_t *w = arg;

	say("worker %s crashes", w->id);
	crashed_at = loop.now;
	fading = true;
	w->down = true;
	alarm_stop(&loop, &w->done);
	http_server_close(&w->server);
	alarm_set(&loop, &w->up, loop.now + DOWN_MS);
}

static worker_t *
worker_of(server_conn_t *c)
{
	return c->server->owner;
}

static void
answer(server_conn_t *c, const char *text)
{
	buf_str(&c->http->out, text);
	http_conn_flush(c->http);
	http_conn_next(c->http);
}

static void
on_order(server_conn_t *c)
{
	worker_t *w = worker_of(c);
	json_t *b = json_loadb(
	    c->body.p + c->body.off, buf_len(&c->body), 0, NULL);
	const json_t *expect = json_object_get(b, "expect_revision");
	const char *v;
	order_t o = { 0 };
	char text[128];
	int status;

	if ((v = json_string_value(json_object_get(b, "operation"))) != NULL)
		snprintf(o.op, sizeof(o.op), "%s", v);
	if ((v = json_string_value(json_object_get(b, "model"))) != NULL)
		snprintf(o.model, sizeof(o.model), "%s", v);
	if ((v = json_string_value(json_object_get(b, "holder"))) != NULL)
		snprintf(o.holder, sizeof(o.holder), "%s", v);
	o.expect = expect != NULL ? json_integer_value(expect) : -1;
	o.token = json_integer_value(json_object_get(b, "fencing_token"));
	json_decref(b);
	if (trouble && !late_taken && strcmp(o.op, "load") == 0 &&
	    o.expect == 3) {
		late_taken = true;
		w->late = o;
		say("order %s %s %s expect=%" PRId64 " gets no answer", w->id,
		    o.op, o.model, o.expect);
		alarm_set(&loop, &w->late_alarm, loop.now + LATE_MS);
		alarm_set(&loop, &w->crash, loop.now + CRASH_AFTER_MS);
		return;
	}
	status = take_order(w, &o);
	say("order %s %s %s expect=%" PRId64 " status=%d", w->id, o.op,
	    o.model, o.expect, status);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status,
	    http_reason(status));
	answer(c, text);
}

static void
on_report(server_conn_t *c)
{
	worker_t *w = worker_of(c);
	json_t *j = json_pack(
	    "{s:s,s:o,s:b,s:i,s:I,s:i,s:i,s:i,s:i,s:i,s:[]}", "stage", "both",
	    "models", models_json(w), "busy", w->busy, "seq", w->seq, "born",
	    (json_int_t)w->born, "waiting", 0, "running", 0, "kv_used", 0,
	    "kv_total", 100000, "handles", 0, "coming");
	char *text = json_dumps(j, JSON_COMPACT);

	buf_fmt(&c->http->out,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(text), text);
	free(text);
	json_decref(j);
	answer(c, "");
}

static void
on_call(server_conn_t *c)
{
	const char *id = head_get(&c->http->head, "Request-Id");
	const char *model = head_get(&c->http->head, "Model");
	char text[512], events[256];

	if (model == NULL || find_held(worker_of(c), model) == -1) {
		snprintf(text, sizeof(text),
		    "HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\n"
		    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		    id);
		answer(c, text);
		return;
	}
	snprintf(events, sizeof(events),
	    "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n");
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s.%s\r\n"
	    "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    id, id, strlen(events), events);
	answer(c, text);
}

static void
on_request(server_conn_t *c)
{
	const char *target = head_target(&c->http->head);
	const char *expect = head_get(&c->http->head, "Expect-Instance");

	if (expect != NULL && strcmp(expect, worker_of(c)->id) != 0)
		answer(c,
		    "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n");
	else if (strcmp(target, "/v1/order") == 0)
		on_order(c);
	else if (strcmp(target, "/v1/report") == 0)
		on_report(c);
	else
		on_call(c);
}

static const http_server_ops_t ops = { .size = sizeof(conn_t),
	.done = on_request };

/* Consumers. */

static void
on_answer(void *arg, client_request_t *p)
{
	(void)arg;
	if (p->done && p->status == 200)
		answered++;
	else if (p->done && p->status == 503)
		refused++;
	else
		failed++;
	client_request_free(p);
}

static void
ask(int m)
{
	char text[512], model[64];

	model_name(model, m);
	next_id++;
	snprintf(text, sizeof(text),
	    "POST /gen/x HTTP/1.1\r\nHost: small.example\r\n"
	    "Request-Id: c%d\r\nModel: %s\r\nToken-Usage: 600,11\r\n"
	    "Prompt-Prefix: %x:600\r\nDeadline-Remaining: 4000\r\n"
	    "Connection: close\r\nContent-Length: 0\r\n\r\n",
	    next_id, model, 0x1000 + next_id);
	client_request_open(&loop, front, text, on_answer, NULL);
}

static bool
within(ms_t at, ms_t from, ms_t span)
{
	return at >= from && at < from + span;
}

static alarm_t tick_alarm;

static void
on_tick(void *arg)
{
	ms_t at = loop.now - began;
	static int n;
	int m;

	(void)arg;
	alarm_set(&loop, &tick_alarm, loop.now + TICK_MS);
	if (n++ % 10 == 0)
		for (m = 0; m < WORKERS; m++)
			if (!worker[m].down)
				put_entry(&worker[m]);
	for (m = 0; m < WORKERS * LOADED_AT_FIRST; m++)
		if (m != IDLE && !(m == FADING && fading) && (n + m) % 2 == 0)
			ask(m);
	if (within(at, RARE_1_AT, RARE_1_FOR) && n % 3 == 0)
		ask(RARE_1);
	if (within(at, RARE_2_AT, RARE_2_FOR) && n % 3 == 0)
		ask(RARE_2);
}

static void
put_config(void)
{
	json_t *models = json_array(), *c;
	char name[64], *text;
	int m;

	for (m = 0; m < MODELS; m++) {
		model_name(name, m);
		json_array_append_new(models,
		    json_pack("{s:s,s:i,s:f,s:f,s:f,s:i,s:i}", "name", name,
			"weights_mb", MODEL_MB, "load_s", LOAD_MS / 1000.0,
			"warm_s", LOAD_MS / 1000.0, "disk_s", LOAD_MS / 1000.0,
			"adapters", 0, "adapter_mb", 66));
	}
	c = json_pack(
	    "{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,s:i}],"
	    "s:[{s:s,s:s,s:i,s:{s:i,s:i,s:i,s:i,s:i,s:o}}],"
	    "s:{s:i,s:i,s:i,s:i}}",
	    "version", 1, "routes", "name", "gen", "host", "small.example",
	    "path_prefix", "/gen/", "kind", "streaming", "timeout_ms", 6000,
	    "target_latency_ms", 4000, "priority", 1, "service", "engine",
	    "max_attempts", 2, "sticky", true, "resumable", true, "gap_aim_ms",
	    400, "services", "name", "engine", "health_path", "/healthz",
	    "max_connections", 360, "engine", "slots", 64,
	    "kv_capacity_tokens", 139471, "weights_mb", WEIGHTS_MB,
	    "adapter_slots", 8, "loads_per_s", 2, "models", models, "limits",
	    "max_header_bytes", 8192, "max_body_bytes", 1 << 20,
	    "header_timeout_ms", 2000, "idle_timeout_ms", 10000);
	text = json_dumps(c, JSON_COMPACT);
	fake_store_put(store, "config", "main", text);
	free(text);
	json_decref(c);
}

static void
put_settings(const char *dir, const char *store_addr)
{
	static const char *const domains[] = { "zone-a", NULL };
	char *ip = daemon_settings_ip(store_addr, 0);
	char *ready = g_strdup_printf("%s:8141", ip);
	char *entries = g_strdup_printf("%s:8143", ip);
	char *path = g_strdup_printf("%s/entry-0.yaml", dir), *text;

	front = g_strdup_printf("%s:8149", ip);
	text = daemon_settings_yaml(&(daemon_settings_t){ .instance = "entry-0",
	    .ip = ip,
	    .domain = "zone-a",
	    .domains = domains,
	    .caller = front,
	    .ready = ready,
	    .entries = entries,
	    .peer_port = 7380,
	    .store = store_addr,
	    .cpu_share = 0.25,
	    .bootstrap = true });
	if (!g_file_set_contents(path, text, -1, NULL))
		exit(2);
}

static void
add_worker(int n, const char *port)
{
	worker_t *w = &worker[n];
	int k;

	w->n = n;
	snprintf(w->id, sizeof(w->id), "w%d", n);
	snprintf(w->addr, sizeof(w->addr), "127.0.0.1:%s", port);
	w->born = clock_wall() - 60000;
	w->done = (alarm_t){ .fn = on_done_order, .arg = w };
	w->up = (alarm_t){ .fn = on_up, .arg = w };
	w->crash = (alarm_t){ .fn = on_crash, .arg = w };
	w->late_alarm = (alarm_t){ .fn = on_late, .arg = w };
	for (k = 0; k < LOADED_AT_FIRST; k++)
		model_name(w->held[w->nheld++], n * LOADED_AT_FIRST + k);
	http_server_open(&w->server, &loop, w->addr, &ops, w);
	put_entry(w);
}

int
main(int argc, char **argv)
{
	char **port, *store_addr;
	int i;

	if (argc != 4)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	port = g_strsplit(argv[2], ",", 0);
	if (g_strv_length(port) != WORKERS + 1)
		return 2;
	trouble = strcmp(argv[3], "0") != 0;
	loop_init(&loop);
	store_addr = g_strdup_printf("127.0.0.1:%s", port[0]);
	store = fake_store_new(&loop, store_addr);
	put_config();
	for (i = 0; i < WORKERS; i++)
		add_worker(i, port[i + 1]);
	put_settings(argv[1], store_addr);
	began = loop.now;
	/* Traffic starts some seconds after the machines do. */
	tick_alarm = (alarm_t){ .fn = on_tick };
	alarm_set(&loop, &tick_alarm, loop.now + 3000);
	while (loop.now - began < SPAN_MS)
		loop_turn(&loop, 100);
	say("answered=%d refused=%d failed=%d late=%d over=%d", answered,
	    refused, failed, late_done, over);
	return answered == 0 ? 2 : over > 0 ? 1 : 0;
}
