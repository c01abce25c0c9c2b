#include "tests/answered.h"

#include <signal.h>
#include <string.h>

enum {
	/* loss_slack_ms: a request sent that shortly before the end crosses it.
	 */
	CROSS_MS = 200,
	APPLY_MS = 3000,
	READY_MS = 8000,
	RUNNING = 24, /* calls that the endpoint takes, with its queue */
	WAITING = 4,
	HALF = 3,
	IDLE = 2,
	STREAMS = 2,
	LOST_SHOWN = 5,
};

static const char route_text[] =
    "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\","
    "\"kind\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":5000,"
    "\"priority\":2,\"max_attempts\":%d,\"resumable\":%s,"
    "\"gap_aim_ms\":400,%s}";

static void
put_route(GString *t, const char *name, const char *kind, int timeout,
    int attempts, bool resumable, const char *target)
{
	if (t->str[t->len - 1] == '}')
		g_string_append_c(t, ',');
	g_string_append_printf(t, route_text, name, name, kind, timeout,
	    attempts, resumable ? "true" : "false", target);
}

static int
value_or(int v, int usual)
{
	return v != 0 ? v : usual;
}

void
conf_put(fixture_t *st, const conf_t *o)
{
	GString *t = g_string_new(NULL);
	int timeout = value_or(o->timeout, 9000), i;
	char *target = o->split != NULL
			   ? g_strdup_printf("\"traffic_split\":%s", o->split)
			   : g_strdup_printf("\"service\":\"%s\"",
				 o->service != NULL ? o->service : "app");

	g_string_append_printf(
	    t, "{\"version\":%d,\"routes\":[", ++st->config_version);
	if (!o->without_plain) {
		put_route(t, "plain", "safe", timeout, 2, false, target);
		put_route(t, "once", "unsafe", timeout, 2, false, target);
	}
	put_route(
	    t, "gen", "streaming", timeout, 3, true, "\"service\":\"llm\"");
	put_route(
	    t, "gen1", "streaming", timeout, 1, false, "\"service\":\"llm\"");
	for (i = 0; i < o->more; i++) {
		char name[16];

		snprintf(name, sizeof(name), "more%d", i);
		put_route(t, name, "safe", timeout, 2, false, target);
	}
	g_string_append(t, "],\"services\":[");
	if (!o->without_service)
		g_string_append(t,
		    "{\"name\":\"app\",\"health_path\":\"/healthz\","
		    "\"max_connections\":100},");
	g_string_append_printf(t,
	    "{\"name\":\"app2\",\"health_path\":\"/healthz\","
	    "\"max_connections\":100},{\"name\":\"llm\",\"health_path\":"
	    "\"/healthz\",\"max_connections\":100,\"engine\":{\"slots\":8,"
	    "\"kv_capacity_tokens\":100000,\"weights_mb\":200000,"
	    "\"adapter_slots\":4,\"loads_per_s\":2,\"models\":[{\"name\":"
	    "\"m1\",\"weights_mb\":70000,\"load_s\":0.3,\"adapters\":8,"
	    "\"adapter_mb\":60}]}}],\"limits\":{\"max_header_bytes\":%d,"
	    "\"max_body_bytes\":%d,\"header_timeout_ms\":%d,"
	    "\"idle_timeout_ms\":%d}}",
	    value_or(o->head_max, 4096), value_or(o->body_max, 65536),
	    value_or(o->head_timeout, 700), value_or(o->idle_timeout, 5000));
	fake_store_put(st->store, "config", "main", t->str);
	g_string_free(t, TRUE);
	g_free(target);
}

double
daemon_metric(fixture_t *st, const char *name)
{
	char addr[64], *body = NULL, *line = g_strdup_printf("\n%s ", name);
	const char *at = NULL;
	double v = 0;

	snprintf(addr, sizeof(addr), "%.*s:9464",
	    (int)strcspn(st->caller[0], ":"), st->caller[0]);
	if (page_status(st, addr, "/metrics", &body) == 200)
		at = strstr(body, line);
	if (at != NULL)
		v = g_ascii_strtod(at + strlen(line), NULL);
	g_free(line);
	g_free(body);
	return v;
}

static bool
config_is_used(void *arg)
{
	fixture_t *st = arg;

	return (int)daemon_metric(st, "ebonypitch_config_version") ==
	       st->config_version;
}

void
conf_wait(fixture_t *st)
{
	g_assert_true(fixture_run_until(st, config_is_used, st, APPLY_MS));
}

typedef struct usable {
	fixture_t *st;
	int n;
} usable_t;

static bool
endpoints_are_known(void *arg)
{
	const usable_t *u = arg;

	return (int)daemon_metric(u->st, "ebonypitch_endpoints") == u->n;
}

void
endpoints_wait(fixture_t *st, int n)
{
	usable_t u = { st, n };

	g_assert_true(fixture_run_until(st, endpoints_are_known, &u, APPLY_MS));
}

void
settings_edit(fixture_t *st, const char *from, const char *to)
{
	char *text, **part, *edited;

	g_assert_true(g_file_get_contents(st->settings[0], &text, NULL, NULL));
	part = g_strsplit(text, from, -1);
	g_assert_nonnull(part[1]);
	edited = g_strjoinv(to, part);
	g_file_set_contents(st->settings[0], edited, -1, NULL);
	g_strfreev(part);
	g_free(edited);
	g_free(text);
}

callers_t *
callers_new(int grace, ms_t plain_ms, int events, ms_t gap)
{
	fake_endpoint_opts_t plain = { .plain_ms = plain_ms };
	fake_endpoint_opts_t stream = { .model = "m1",
		.events = events,
		.event_gap = gap,
		.adapter_slots = 4 };
	callers_t *s = g_new0(callers_t, 1);
	char to[24];

	s->st = fixture_new();
	s->kept = g_ptr_array_new();
	conf_put(s->st, &(conf_t){ 0 });
	fixture_add_endpoint(s->st, &plain, "app");
	fixture_add_endpoint(s->st, &plain, "app2");
	fixture_add_endpoint(s->st, &stream, "llm");
	fixture_start_daemon(s->st, 0, true);
	snprintf(to, sizeof(to), "grace_s: %d", grace);
	if (grace != 4) {
		settings_edit(s->st, "grace_s: 4", to);
		proc_signal(s->st->daemon[0], SIGHUP);
	}
	return s;
}

void
callers_free(callers_t *s)
{
	guint i;

	for (i = 0; i < s->kept->len; i++) {
		kept_t *k = s->kept->pdata[i];

		if (k->http != NULL)
			http_conn_close(k->http);
		loop_free_later(&s->st->loop, k);
	}
	g_ptr_array_free(s->kept, TRUE);
	fixture_free(s->st);
	g_free(s);
}

/* A caller's connection. */

static void
on_head(void *u, http_conn_t *c)
{
	kept_t *k = u;

	if (k->nanswered < k->nask)
		k->ask[k->nanswered].status = (int)c->parser.status_code;
}

static void
on_body(void *u, http_conn_t *c, const char *p, size_t n)
{
	kept_t *k = u;
	size_t i;

	(void)c;
	for (i = 0; i + 3 < n; i++)
		k->events += memcmp(p + i, "id: ", 4) == 0;
}

static void
on_done(void *u, http_conn_t *c)
{
	kept_t *k = u;
	int i;

	k->last_answer_at = clock_now(&machine_clock);
	g_assert_cmpint(k->nanswered, <, k->nask);
	k->ask[k->nanswered++].answered = true;
	if (!c->keep_alive) {
		/* RFC 9112, 9.6: later requests aren't processed. */
		k->closes = true;
		for (i = k->nanswered; i < k->nask; i++)
			k->ask[i].after_end = true;
	}
	if (k->nanswered < k->nask)
		http_conn_next(c);
}

static void
on_end(void *u, http_conn_t *c, http_end_t why)
{
	kept_t *k = u;

	(void)c;
	k->http = NULL;
	k->why = why;
	k->ended_at = clock_now(&machine_clock);
}

static const http_conn_ops_t ops = {
	.head = on_head, .body = on_body, .done = on_done, .end = on_end
};

kept_t *
kept_open(callers_t *s)
{
	kept_t *k = g_new0(kept_t, 1);
	struct sockaddr_in sa;

	k->of = s;
	g_assert_cmpint(net_addr(s->st->caller[0], &sa), ==, 0);
	k->http = http_conn_connect(&s->st->loop, &sa, &ops, k);
	g_assert_nonnull(k->http);
	k->http->parse_stopped = true;
	g_ptr_array_add(s->kept, k);
	return k;
}

ask_t *
kept_send(kept_t *k, const char *bytes, bool whole)
{
	ask_t *a;

	if (k->http != NULL) {
		if (k->http->parse_stopped && k->nask == k->nanswered)
			k->http->parse_stopped = false;
		buf_str(&k->http->out, bytes);
		http_conn_flush(k->http);
	}
	if (!whole)
		return NULL;
	g_assert_cmpint(k->nask, <, ASKS_MAX);
	a = &k->ask[k->nask++];
	a->sent_at = clock_now(&machine_clock);
	a->after_end = k->http == NULL || k->closes;
	return a;
}

static char *
ask_id(kept_t *k)
{
	ask_t *a = &k->ask[k->nask];

	snprintf(a->id, sizeof(a->id), "q%d", ++k->of->serial);
	return a->id;
}

ask_t *
kept_ask_raw(kept_t *k, const char *head, const char *body, bool whole)
{
	char *text = g_strdup_printf(
	    "%sRequest-Id: %s\r\n\r\n%s", head, ask_id(k), body);
	ask_t *a;

	if (k->http != NULL)
		k->http->parser.no_body = g_str_has_prefix(head, "HEAD ");
	a = kept_send(k, text, whole);
	g_free(text);
	return a;
}

ask_t *
kept_ask(kept_t *k, const char *method, const char *path, const char *headers)
{
	bool post = strcmp(method, "POST") == 0;
	char *head =
	    g_strdup_printf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s%s", method,
		path, headers, post ? "Content-Length: 4\r\n" : "");
	ask_t *a = kept_ask_raw(k, head, post ? "body" : "", true);

	g_free(head);
	return a;
}

void
kept_ask_half(kept_t *k, const char *path)
{
	char *head = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n",
	    path);

	kept_ask_raw(k, head, "bo", false);
	g_free(head);
}

ask_t *
kept_ask_rest(kept_t *k)
{
	return kept_send(k, "dy", true);
}

bool
kept_is_answered(void *arg)
{
	const kept_t *k = arg;

	return k->http == NULL || k->nanswered == k->nask;
}

bool
kept_has_ended(void *arg)
{
	return ((kept_t *)arg)->http == NULL;
}

bool
callers_are_answered(void *arg)
{
	const callers_t *s = arg;
	guint i;

	for (i = 0; i < s->kept->len; i++)
		if (!kept_is_answered(s->kept->pdata[i]))
			return false;
	return true;
}

static int
run_count(const fixture_t *st)
{
	int i, n = 0;

	for (i = 0; i < st->nendpoint; i++)
		n += (int)fake_endpoint_executed(st->endpoint[i])->len;
	return n;
}

static bool
load_runs(void *arg)
{
	callers_t *s = arg;

	return run_count(s->st) >= RUNNING + STREAMS &&
	       (int)daemon_metric(s->st, "ebonypitch_calls") >=
		   RUNNING + WAITING + STREAMS;
}

void
callers_start_load(callers_t *s)
{
	int i;

	for (i = 0; i < STREAMS; i++)
		kept_ask(kept_open(s), "POST", i % 2 ? "/gen1/a" : "/gen/a",
		    "Model: m1\r\nToken-Usage: 100,20\r\n");
	for (i = 0; i < RUNNING + WAITING; i++)
		kept_ask(kept_open(s), i % 2 ? "POST" : "GET",
		    i % 2 ? "/once/a" : "/plain/a", "");
	g_assert_true(fixture_run_until(s->st, load_runs, s, READY_MS));
	for (i = 0; i < HALF; i++)
		kept_ask_half(kept_open(s), "/once/half");
	for (i = 0; i < IDLE; i++)
		kept_open(s);
	fixture_run(s->st, 30);
}

void
callers_complete_load(callers_t *s)
{
	guint i, from = s->kept->len - HALF - IDLE;

	for (i = from; i < s->kept->len; i++)
		if (i < from + HALF)
			kept_ask_rest(s->kept->pdata[i]);
		else
			kept_ask(s->kept->pdata[i], "GET", "/plain/idle", "");
	g_assert_true(fixture_run_until(s->st, callers_are_answered, s, 12000));
}

static bool
was_run(const fixture_t *st, const char *id)
{
	int i;
	guint n;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *r = fake_endpoint_executed(st->endpoint[i]);

		for (n = 0; n < r->len; n++)
			if (strcmp(((executed_call_t *)r->pdata[n])->id, id) ==
			    0)
				return true;
	}
	return false;
}

bool
ask_crossed(const kept_t *k, const ask_t *a)
{
	return !a->answered && !was_run(k->of->st, a->id) &&
	       (a->after_end ||
		   (k->http == NULL && k->ended_at - a->sent_at <= CROSS_MS));
}

static void
count_ask(const kept_t *k, const ask_t *a, outcomes_t *o)
{
	bool run = was_run(k->of->st, a->id);

	o->asked++;
	if (a->answered) {
		o->served += a->status == 200;
		o->refused +=
		    a->status >= 400 && a->status != 502 && a->status != 504;
		o->failed += a->status == 502 || a->status == 504;
		/* These say that it hasn't run and never will. */
		if (a->status == 503 || a->status == 429 || a->status == 408)
			g_assert_false(run);
		return;
	}
	if (ask_crossed(k, a)) {
		o->crossed++;
		return;
	}
	if (a->may_be_cut)
		return;
	if (o->lost++ >= LOST_SHOWN)
		return;
	g_test_message("lost: request %s run=%d status=%d after_end=%d "
		       "ended_after=%" PRId64 " why=%d",
	    a->id, run, a->status, a->after_end,
	    k->http == NULL ? k->ended_at - a->sent_at : -1, k->why);
}

outcomes_t
callers_check(callers_t *s)
{
	outcomes_t o = { 0 };
	guint i;
	int n;

	for (i = 0; i < s->kept->len; i++) {
		const kept_t *k = s->kept->pdata[i];

		for (n = 0; n < k->nask; n++)
			count_ask(k, &k->ask[n], &o);
	}
	g_test_message("asked=%d served=%d refused=%d failed=%d crossed=%d "
		       "lost=%d",
	    o.asked, o.served, o.refused, o.failed, o.crossed, o.lost);
	g_assert_cmpint(o.lost, ==, 0);
	return o;
}
