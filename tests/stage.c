#include "tests/stage.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <glib/gstdio.h>

enum {
	READY_MS = 8000, /* a start on a busy machine */
	TURN_MS = 20,
};

static const char settings_text[] =
    "node_name: \"entry-%d\"\nip: \"%s\"\nzone: \"north\"\n"
    "region: \"r\"\nzones:\n  north: \"r\"\n  south: \"r\"\n"
    "listen:\n  front: \"%s\"\n  ready: \"%s\"\n  directory: \"%s\"\n"
    "internal_ports:\n  - %d\n  - %d\n"
    "limits:\n  cpu_share: 0.25\n  memory_mb: 260\n  max_fds: 4100\n"
    "heartbeat_ms: 1200\nbounds:\n  drain_ms: 2000\n  grace_s: 4\n"
    "  config_apply_ms: 2000\n  stability_window_ms: 3000\n"
    "  lease_ms: 3000\n  ceiling_window_s: 5\n  ceiling_over: 1.1\n"
    "  budget_ratio: 0.2\n  budget_extra_tries: 54\n"
    "  budget_window_s: 10\n  ttl_max_s: 5\n  require_fencing: false\n"
    "platform:\n  address: \"%s\"\n  history_s: 20\n"
    "a_field_of_tomorrow: 1\n";

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
    "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":65536,"
    "\"header_timeout_ms\":700,\"idle_timeout_ms\":5000}}";

void
stage_run(stage_t *st, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (clock_now(&machine_clock) < end)
		loop_turn(&st->loop, TURN_MS);
}

bool
stage_until(stage_t *st, cond_t *cond, void *arg, ms_t span)
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
stage_config(stage_t *st, const char *more)
{
	char *text = g_strdup_printf(config_text, ++st->version, more);

	shelf_put(st->shelf, "config", "main", text);
	g_free(text);
}

stage_t *
stage_new(void)
{
	stage_t *st = g_new0(stage_t, 1);
	int port[2];

	loop_init(&st->loop);
	st->dir = g_dir_make_tmp("stage-XXXXXX", NULL);
	ports_take(port, 2);
	st->store = addr_of(port[0]);
	st->peer_port = port[1];
	st->shelf = shelf_new(&st->loop, st->store);
	return st;
}

int
stage_hand(stage_t *st, const hand_opts_t *o, const char *service)
{
	hand_opts_t own = *o;
	int i = st->nhand++, port;

	ports_take(&port, 1);
	st->addr[i] = addr_of(port);
	st->id[i] = g_strdup_printf("ep-%d", i);
	own.addr = st->addr[i];
	own.id = st->id[i];
	st->hand[i] = hand_new(&st->loop, &own);
	stage_entry(st, i, service, false);
	return i;
}

void
stage_entry(stage_t *st, int hand, const char *service, bool leaving)
{
	char *text = hand_entry(st->hand[hand], service, "north", leaving);

	shelf_put(st->shelf, "servers", st->id[hand], text);
	g_free(text);
}

typedef struct asked {
	stage_t *st;
	int i;
} asked_t;

static bool
is_ready(void *arg)
{
	asked_t *a = arg;

	return page_status(a->st, a->st->ready[a->i], "/v1/ready", NULL) == 200;
}

/* Daemons have an address each, since their metrics' port is one. */
void
stage_daemon(stage_t *st, int i, bool wait_ready)
{
	char ip[32], name[32], *text;
	asked_t a = { st, i };
	int port[3];

	if (st->settings[i] == NULL) {
		snprintf(
		    ip, sizeof(ip), "127.0.%d.%d", 10 + getpid() % 200, i + 1);
		ports_take(port, 3);
		st->caller[i] = g_strdup_printf("%s:%d", ip, port[0]);
		st->ready[i] = g_strdup_printf("%s:%d", ip, port[1]);
		st->entries[i] = g_strdup_printf("%s:%d", ip, port[2]);
		snprintf(name, sizeof(name), "node-%d.yaml", i);
		st->settings[i] = g_build_filename(st->dir, name, NULL);
		text = g_strdup_printf(settings_text, i, ip, st->caller[i],
		    st->ready[i], st->entries[i], st->peer_port,
		    st->peer_port + 1, st->store);
		g_file_set_contents(st->settings[i], text, -1, NULL);
		g_free(text);
	}
	st->daemon[i] =
	    proc_start("ebonypitchd", "--settings", st->settings[i], NULL);
	if (wait_ready)
		g_assert_true(stage_until(st, is_ready, &a, READY_MS));
}

void
stage_free(stage_t *st)
{
	int i;

	for (i = 0; i < STAGE_DAEMONS; i++) {
		proc_kill(st->daemon[i]);
		if (st->settings[i] != NULL)
			g_remove(st->settings[i]);
		g_free(st->settings[i]);
		g_free(st->caller[i]);
		g_free(st->ready[i]);
		g_free(st->entries[i]);
	}
	for (i = 0; i < st->nhand; i++) {
		hand_free(st->hand[i]);
		g_free(st->addr[i]);
		g_free(st->id[i]);
	}
	shelf_free(st->shelf);
	loop_turn(&st->loop, 0);
	loop_free(&st->loop);
	g_rmdir(st->dir);
	g_free(st->dir);
	g_free(st->store);
	g_free(st);
}

/* Callers */

static void
on_head(void *u, link_t *k)
{
	caller_t *c = u;
	GString *t = g_string_new(NULL);
	int i;

	c->status = (int)k->parser.status_code;
	for (i = 0; i < k->head.nfield; i++)
		g_string_append_printf(t, "%s: %s\n", head_name(&k->head, i),
		    head_value(&k->head, i));
	g_free(c->head);
	c->head = g_string_free(t, FALSE);
}

static void
on_body(void *u, link_t *k, const char *p, size_t n)
{
	caller_t *c = u;

	(void)k;
	if (c->first == 0)
		c->first = clock_now(&machine_clock);
	buf_add(&c->body, p, n);
}

static void
on_done(void *u, link_t *k)
{
	caller_t *c = u;

	(void)k;
	c->done = true;
	c->over = clock_now(&machine_clock);
}

static void
on_end(void *u, link_t *k, link_end_t why)
{
	caller_t *c = u;

	(void)k, (void)why;
	c->ended = true;
	c->link = NULL;
	if (c->over == 0)
		c->over = clock_now(&machine_clock);
}

static const link_ops_t ops = {
	.head = on_head, .body = on_body, .done = on_done, .end = on_end
};

static caller_t *
open_to(stage_t *st, const char *addr, const char *bytes)
{
	caller_t *c = g_new0(caller_t, 1);
	struct sockaddr_in sa;

	c->st = st;
	c->began = clock_now(&machine_clock);
	g_assert_cmpint(net_addr(addr, &sa), ==, 0);
	c->link = link_connect(&st->loop, &sa, &ops, c);
	g_assert_nonnull(c->link);
	buf_str(&c->link->out, bytes);
	return c;
}

caller_t *
caller_send(stage_t *st, int i, const char *bytes)
{
	return open_to(st, st->caller[i], bytes);
}

caller_t *
caller_call(stage_t *st, int i, const char *method, const char *path,
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

	return c->done || c->ended;
}

bool
caller_wait(caller_t *c, ms_t span)
{
	return stage_until(c->st, is_over, c, span);
}

void
caller_leave(caller_t *c)
{
	if (c->link != NULL)
		link_close(c->link);
	c->link = NULL;
}

void
caller_free(caller_t *c)
{
	caller_leave(c);
	buf_free(&c->body);
	g_free(c->head);
	g_free(c);
}

int
page_status(stage_t *st, const char *addr, const char *path, char **body)
{
	char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr);
	caller_t *c = open_to(st, addr, text);
	int status;

	caller_wait(c, 1000);
	status = c->done ? c->status : 0;
	if (body != NULL)
		*body = g_strndup(
		    c->body.p != NULL ? c->body.p : "", buf_len(&c->body));
	caller_free(c);
	g_free(text);
	return status;
}
