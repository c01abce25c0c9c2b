#include "tests/fixture.h"
#include "standin/daemon_settings.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <glib/gstdio.h>

enum {
	READY_MS = 8000, /* for one daemon on a busy machine */
	ANSWER_MS = 3000,
	TURN_MS = 20,
};

static const char *const domains[] = { "north", "south", NULL };

static const char config_text[] =
    "{\"version\":%d,\"routes\":["
    "{\"name\":\"safe\",\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
    "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"app\",\"max_attempts\":2},"
    "{\"name\":\"once\",\"host\":\"h.example\",\"path_prefix\":\"/once/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"app\",\"max_attempts\":2},"
    "{\"name\":\"brief\",\"host\":\"h.example\",\"path_prefix\":"
    "\"/safe/brief/\",\"kind\":\"safe\",\"timeout_ms\":400,"
    "\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\","
    "\"max_attempts\":1},"
    "{\"name\":\"gen\",\"host\":\"h.example\",\"path_prefix\":\"/gen/\","
    "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1200,"
    "\"priority\":1,\"service\":\"llm\",\"max_attempts\":3,\"sticky\":true,"
    "\"resumable\":true,\"gap_aim_ms\":400},"
    "{\"name\":\"gen1\",\"host\":\"h.example\",\"path_prefix\":\"/gen1/\","
    "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1200,"
    "\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,\"sticky\":true,"
    "\"resumable\":false,\"gap_aim_ms\":400}%s],"
    "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\","
    "\"max_connections\":100},{\"name\":\"llm\",\"health_path\":\"/healthz\","
    "\"max_connections\":100,\"engine\":{\"slots\":8,"
    "\"kv_capacity_tokens\":100000,\"weights_mb\":200000,"
    "\"adapter_slots\":4,\"loads_per_s\":2,\"models\":["
    "{\"name\":\"m1\",\"weights_mb\":70000,\"load_s\":0.3,\"warm_s\":0.2,"
    "\"disk_s\":0.2,\"adapters\":8,\"adapter_mb\":60},"
    "{\"name\":\"m2\",\"weights_mb\":70000,\"load_s\":0.3,\"warm_s\":0.2,"
    "\"disk_s\":0.2,\"adapters\":0,\"adapter_mb\":60}]}}],"
    "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":%d,"
    "\"header_timeout_ms\":700,\"idle_timeout_ms\":5000}%s}";

void
fixture_run(fixture_t *st, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (clock_now(&machine_clock) < end)
		loop_turn(&st->loop, TURN_MS);
}

bool
fixture_run_until(fixture_t *st, cond_t *cond, void *arg, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (clock_now(&machine_clock) < end) {
		if (cond(arg))
			return true;
		loop_turn(&st->loop, TURN_MS);
	}
	return cond(arg);
}

void
fixture_put_config(fixture_t *st, const char *more)
{
	char *text = g_strdup_printf(config_text, ++st->config_version, more,
	    st->body_max != 0 ? st->body_max : 65536,
	    st->organisations != NULL ? st->organisations : "");

	fake_store_put(st->store, "config", "main", text);
	g_free(text);
}

fixture_t *
fixture_new(void)
{
	fixture_t *st = g_new0(fixture_t, 1);
	int port[2];

	loop_init(&st->loop);
	st->dir = g_dir_make_tmp("fixture-XXXXXX", NULL);
	ports_take(port, 2);
	st->store_addr = addr_of(port[0]);
	st->peer_port = port[1];
	st->store = fake_store_new(&st->loop, st->store_addr);
	return st;
}

int
fixture_add_endpoint(
    fixture_t *st, const fake_endpoint_opts_t *o, const char *service)
{
	fake_endpoint_opts_t own = *o;
	int i = st->nendpoint++, port;

	ports_take(&port, 1);
	st->addr[i] = addr_of(port);
	st->id[i] = g_strdup_printf("ep-%d", i);
	own.addr = st->addr[i];
	own.id = st->id[i];
	st->endpoint[i] = fake_endpoint_new(&st->loop, &own);
	st->domain[i] = domains[0];
	st->service[i] = service;
	fixture_put_entry(st, i, service, false);
	return i;
}

bool
fixture_call_ran(void *st)
{
	return fake_endpoint_executed(((fixture_t *)st)->endpoint[0])->len > 0;
}

void
fixture_put_entry(
    fixture_t *st, int endpoint, const char *service, bool leaving)
{
	char *text = fake_endpoint_entry(
	    st->endpoint[endpoint], service, st->domain[endpoint], leaving);

	fake_store_put(st->store, "servers", st->id[endpoint], text);
	g_free(text);
}

void
fixture_entry_changed(void *arg, fake_endpoint_t *ep)
{
	fixture_t *st = arg;
	int i;

	for (i = 0; i < st->nendpoint; i++)
		if (st->endpoint[i] == ep)
			fixture_put_entry(st, i, st->service[i], false);
}

typedef struct daemon_probe {
	fixture_t *st;
	int i;
} daemon_probe_t;

static bool
is_ready(void *arg)
{
	daemon_probe_t *a = arg;

	return page_status(a->st, a->st->ready[a->i], "/v1/ready", NULL) == 200;
}

void
fixture_start_daemon(fixture_t *st, int i, bool wait_ready)
{
	char name[32], instance[32], *ip, *text;
	daemon_probe_t a = { st, i };
	int port[3];

	if (st->settings[i] == NULL) {
		ip = daemon_settings_ip(st->store_addr, i);
		ports_take(port, 3);
		st->caller[i] = g_strdup_printf("%s:%d", ip, port[0]);
		st->ready[i] = g_strdup_printf("%s:%d", ip, port[1]);
		st->entries[i] = g_strdup_printf("%s:%d", ip, port[2]);
		snprintf(name, sizeof(name), "node-%d.yaml", i);
		st->settings[i] = g_build_filename(st->dir, name, NULL);
		snprintf(instance, sizeof(instance), "entry-%d", i);
		text = daemon_settings_yaml(
		    &(daemon_settings_t){ .instance = instance,
			.ip = ip,
			.domain = domains[0],
			.domains = domains,
			.caller = st->caller[i],
			.ready = st->ready[i],
			.entries = st->entries[i],
			.peer_port = st->peer_port,
			.store = st->view_addr[i] != NULL ? st->view_addr[i]
							  : st->store_addr,
			.cpu_share = 0.25,
			.memory_mb = st->memory_mb,
			.max_fds = st->max_fds,
			.bootstrap = !st->no_bootstrap });
		g_file_set_contents(st->settings[i], text, -1, NULL);
		g_free(text);
		g_free(ip);
	} else {
		daemon_settings_end_bootstrap(st->settings[i]);
	}
	st->daemon[i] =
	    proc_start(st->program[i] != NULL ? st->program[i] : "ebonypitchd",
		"--settings", st->settings[i], NULL);
	if (wait_ready)
		g_assert_true(fixture_run_until(st, is_ready, &a, READY_MS));
}

void
fixture_stop_daemons(fixture_t *st)
{
	int i;

	for (i = 0; i < FIXTURE_DAEMONS; i++) {
		proc_kill(st->daemon[i]);
		st->daemon[i] = NULL;
	}
}

void
fixture_free(fixture_t *st)
{
	int i, k;

	fixture_stop_daemons(st);
	for (i = 0; i < FIXTURE_DAEMONS; i++) {
		if (st->settings[i] != NULL)
			g_remove(st->settings[i]);
		g_free(st->settings[i]);
		g_free(st->caller[i]);
		g_free(st->ready[i]);
		g_free(st->entries[i]);
		g_free(st->view_addr[i]);
		for (k = 0; k < FIXTURE_ENDPOINTS; k++)
			g_free(st->link_addr[i][k]);
	}
	for (i = 0; i < st->nendpoint; i++) {
		fake_endpoint_free(st->endpoint[i]);
		g_free(st->addr[i]);
		g_free(st->id[i]);
	}
	fake_store_free(st->store);
	loop_turn(&st->loop, 0);
	loop_free(&st->loop);
	g_rmdir(st->dir);
	g_free(st->dir);
	g_free(st->store_addr);
	g_free(st);
}

/* Callers */

static caller_t *
open_to(fixture_t *st, const char *addr, const char *bytes)
{
	caller_t *c = client_request_open(&st->loop, addr, bytes, NULL, st);

	g_assert_nonnull(c);
	return c;
}

caller_t *
caller_send(fixture_t *st, int i, const char *bytes)
{
	return open_to(st, st->caller[i], bytes);
}

caller_t *
caller_call(fixture_t *st, int i, const char *method, const char *path,
    const char *id, const char *headers)
{
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h.example\r\n"
				     "Request-Id: %s\r\n%s%s\r\n%s",
	    method, path, id, headers,
	    strcmp(method, "POST") == 0 ? "Content-Length: 4\r\n" : "",
	    strcmp(method, "POST") == 0 ? "body" : "");
	caller_t *c = caller_send(st, i, text);

	g_free(text);
	return c;
}

static bool
is_over(void *arg)
{
	caller_t *c = arg;

	return c->done || c->closed;
}

bool
caller_wait(caller_t *c, ms_t span)
{
	return fixture_run_until(c->arg, is_over, c, span);
}

caller_t *
caller_expect(fixture_t *st, int status, const char *method, const char *path,
    const char *id, const char *headers)
{
	caller_t *c = caller_call(st, 0, method, path, id, headers);

	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_cmpint(c->status, ==, status);
	return c;
}

void
caller_close(caller_t *c)
{
	client_request_close(c);
}

void
caller_free(caller_t *c)
{
	client_request_free(c);
}

void
caller_list_free(GPtrArray *calls)
{
	guint i;

	for (i = 0; i < calls->len; i++)
		caller_free(calls->pdata[i]);
	g_ptr_array_free(calls, TRUE);
}

int
page_status(fixture_t *st, const char *addr, const char *path, char **body)
{
	char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr);
	caller_t *c = open_to(st, addr, text);
	int status;

	caller_wait(c, 1000);
	status = c->done ? c->status : 0;
	if (body != NULL)
		*body = client_request_body(c);
	caller_free(c);
	g_free(text);
	return status;
}

int64_t
fixture_counter(fixture_t *st, int daemon, const char *name)
{
	char addr[ADDR_MAX], *body, *at;
	int64_t v = 0;

	snprintf(addr, sizeof(addr), "%.*s:9464",
	    (int)strcspn(st->caller[daemon], ":"), st->caller[daemon]);
	g_assert_cmpint(page_status(st, addr, "/metrics", &body), ==, 200);
	at = strstr(body, name);
	while (at != NULL && (at[-1] != '\n' || at[strlen(name)] != ' '))
		at = strstr(at + 1, name);
	if (at != NULL)
		v = strtoll(at + strlen(name), NULL, 10);
	g_free(body);
	return v;
}

int64_t
fixture_counter_sum(fixture_t *st, const char *name)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < FIXTURE_DAEMONS; i++)
		if (st->daemon[i] != NULL)
			sum += fixture_counter(st, i, name);
	return sum;
}

int
fixture_crashes(const fixture_t *st)
{
	int i, n = 0;

	for (i = 0; i < st->nendpoint; i++)
		n += fake_endpoint_crashes(st->endpoint[i]);
	return n;
}
