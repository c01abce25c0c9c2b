#include "tests/control.h"

#include "control/control.h"
#include "operator/operator.h"
#include "tests/system.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

enum {
	RIG_CALL_MS = 5000,
	RIG_PLAN_MS = 100,
	RIG_LEASE_MS = 1000,
	RIG_PLATFORM_MS = 600,
	RIG_SLOTS = 8,
	NOTE_TRY_MS = 5000,
};

static void
fill_settings(rig_t *r, int i, int peer, int operator)
{
	settings_t *s = &r->settings[i];

	settings_init(s);
	s->ndomain = 1;
	str_set(s->domain[0].name, ID_MAX, "d0");
	s->nservice = 1;
	str_set(s->service[0].name, ID_MAX, "llm");
	s->service[0].kind = SERVICE_ENGINE;
	s->service[0].fencing = r->fencing;
	s->service[0].slots = RIG_SLOTS;
	snprintf(s->instance.id, ID_MAX, "e%d", i);
	str_set(s->instance.domain, ID_MAX, "d0");
	snprintf(s->instance.peer_addr, ADDR_MAX, "127.0.0.1:%d", peer);
	snprintf(s->instance.operator_addr, ADDR_MAX, "127.0.0.1:%d", operator);
	str_set(s->platform.addr, ADDR_MAX, r->platform_addr);
	s->platform.timeout_ms = RIG_PLATFORM_MS;
	s->platform.lease_ms = RIG_LEASE_MS;
	s->place.plan_ms = RIG_PLAN_MS;
	s->place.loads_per_min = 6000;
	s->broker.load_poll_ms = 50;
	s->peer.heartbeat_ms = 100;
	s->peer.dead_ms = 600;
}

static void
post_ok(const char *addr, const char *path, const char *json)
{
	reply_t a = http_call("POST", addr, path, NULL, json, RIG_CALL_MS);

	if (a.status / 100 != 2)
		g_error("POST %s%s: %d %s", addr, path, a.status, a.body);
	reply_clear(&a);
}

static void
list_instances(rig_t *r)
{
	char *json;
	int i;

	for (i = 0; i < r->nengine; i++) {
		json = g_strdup_printf(
		    "{\"id\":\"w%d\",\"role\":\"worker\",\"domain\":\"d%d\","
		    "\"state\":\"live\",\"service\":\"llm\",\"addr\":\"%s\","
		    "\"memory_mb\":%d,\"slots\":%d}",
		    i, i, r->engine_addr[i], r->memory_mb, RIG_SLOTS);
		post_ok(r->platform_addr, "/control/instances", json);
		g_free(json);
	}
	for (i = 0; i < r->ncontrol; i++) {
		json = g_strdup_printf(
		    "{\"id\":\"e%d\",\"role\":\"entry\",\"domain\":\"d0\","
		    "\"state\":\"live\",\"addr\":\"127.0.0.1:1\","
		    "\"peer_addr\":\"%s\",\"operator_addr\":\"%s\"}",
		    i, r->settings[i].instance.peer_addr,
		    r->settings[i].instance.operator_addr);
		post_ok(r->platform_addr, "/control/instances", json);
		g_free(json);
	}
}

void
rig_start_engine(rig_t *r, int i)
{
	char *memory = g_strdup_printf("%d", r->memory_mb);
	char *id = g_strdup_printf("w%d", i);

	proc_kill(r->engine[i]);
	r->engine[i] = proc_start("standin-engine", "--listen",
	    r->engine_addr[i], "--id", id, "--service", "llm", "--memory-mb",
	    memory, "--load-ms", "30", "--load-lag-ms", "50", "--fencing",
	    r->fencing ? "yes" : "no", NULL);
	g_assert_true(http_until(r->engine_addr[i], "/v1/load", 200, START_MS));
	g_free(memory);
	g_free(id);
}

rig_t *
rig_start(int ncontrol, int nengine, int memory_mb, bool fencing)
{
	int port[1 + RIG_ENGINES_MAX + 2 * RIG_CONTROLS_MAX], i;
	rig_t *r = g_new0(rig_t, 1);

	ports_take(port, 1 + nengine + 2 * ncontrol);
	r->fencing = fencing;
	r->memory_mb = memory_mb;
	r->ncontrol = ncontrol;
	r->nengine = nengine;
	r->platform_addr = addr_of(port[0]);
	r->platform =
	    proc_start("standin-platform", "--listen", r->platform_addr, NULL);
	g_assert_true(
	    http_until(r->platform_addr, "/control/stats", 200, START_MS));
	for (i = 0; i < nengine; i++) {
		r->engine_addr[i] = addr_of(port[1 + i]);
		rig_start_engine(r, i);
	}
	for (i = 0; i < ncontrol; i++)
		fill_settings(
		    r, i, port[1 + nengine + 2 * i], port[2 + nengine + 2 * i]);
	list_instances(r);
	return r;
}

static volatile sig_atomic_t ended;

static void
on_term(int sig)
{
	(void)sig;
	ended = 1;
}

/* Body of a control process: controld's node, follower and planner. */
static void
run_control(const settings_t *s)
{
	node_opts_t no = { .settings = s, .clock = &machine_clock };
	follower_opts_t fo = { .settings = s };
	planner_opts_t po = { .settings = s, .clock = &machine_clock };
	planner_t *p;
	follower_t *f;
	err_t e;

	signal(SIGTERM, on_term);
	log_open("control", s->instance.id, "d0");
	fo.node = po.node = node_new(&no, &e);
	f = follower_new(&fo, &e);
	p = planner_new(&po, &e);
	if (fo.node == NULL || f == NULL || p == NULL)
		_exit(1);
	while (!ended)
		clock_sleep(10);
	planner_free(p);
	follower_free(f);
	node_free(fo.node);
	_exit(0);
}

void
rig_start_control(rig_t *r, int i)
{
	char *log = g_strdup_printf(
	    "build/testlog/%d-e%d-control.err", (int)getpid(), i);
	int fd;

	proc_kill(r->control[i]);
	r->control[i] = g_new0(proc_t, 1);
	r->control[i]->pid = fork();
	g_assert_cmpint(r->control[i]->pid, !=, -1);
	if (r->control[i]->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0666);
		dup2(fd, STDERR_FILENO);
		dup2(fd, STDOUT_FILENO);
		run_control(&r->settings[i]);
	}
	g_free(log);
}

void
rig_stop(rig_t *r)
{
	int i;

	for (i = 0; i < r->ncontrol; i++)
		proc_kill(r->control[i]);
	for (i = 0; i < r->nengine; i++) {
		proc_kill(r->engine[i]);
		g_free(r->engine_addr[i]);
	}
	proc_kill(r->platform);
	g_free(r->platform_addr);
	g_free(r);
}

uint64_t
rig_apply_note(rig_t *r, int i, const char *text)
{
	platform_opts_t po = { .timeout = RIG_PLATFORM_MS };
	platform_t *p;
	char *report = NULL;
	err_t e = { 0 };
	uint64_t n;

	str_set(po.addr, sizeof(po.addr), r->platform_addr);
	p = platform_new(&po, &e);
	n = note_accept(
	    p, &r->settings[i], text, strlen(text), "tester", &report, &e);
	if (n == 0)
		g_error("note refused: %s\n%s", e.text, report);
	free(report);
	platform_free(p);
	return n;
}

void
rig_set_faults(const char *addr, const char *json)
{
	post_ok(addr, "/control/faults", json);
}

int64_t
rig_json_int(const char *addr, const char *path, const char *name)
{
	return system_json_int(addr, path, name);
}

static int
ready_at(const char *addr, const char *item, uint64_t version)
{
	reply_t a = http_call("GET", addr, "/v1/load", NULL, NULL, RIG_CALL_MS);
	json_t *j = json_loads(a.body, 0, NULL), *one;
	int n = 0;
	size_t i;

	json_array_foreach(json_object_get(j, "resident"), i, one)
	{
		const char *name =
		    json_string_value(json_object_get(one, "adapter"));

		if (name == NULL || *name == '\0')
			name = json_string_value(json_object_get(one, "model"));
		n += g_strcmp0(name, item) == 0 &&
		     json_integer_value(json_object_get(one, "version")) ==
			 (json_int_t)version &&
		     g_strcmp0(json_string_value(json_object_get(one, "state")),
			 "ready") == 0;
	}
	json_decref(j);
	reply_clear(&a);
	return n;
}

int
rig_ready_copies(rig_t *r, const char *item, uint64_t version)
{
	int i, n = 0;

	for (i = 0; i < r->nengine; i++)
		if (r->engine[i] != NULL)
			n += ready_at(r->engine_addr[i], item, version);
	return n;
}

void
rig_check_memory(rig_t *r)
{
	int i;

	for (i = 0; i < r->nengine; i++) {
		if (r->engine[i] == NULL)
			continue;
		g_assert_cmpint(rig_json_int(r->engine_addr[i],
				    "/control/record", "overcommits"),
		    ==, 0);
		g_assert_cmpint(rig_json_int(r->engine_addr[i],
				    "/control/record", "peak_mb"),
		    <=, r->memory_mb);
	}
}

int64_t
rig_unsettled_mb(rig_t *r)
{
	platform_opts_t po = { .timeout = RIG_PLATFORM_MS };
	objects_t all = { 0 };
	platform_t *p;
	ledger_t *l;
	int64_t mb = 0;
	err_t e;
	int i;

	str_set(po.addr, sizeof(po.addr), r->platform_addr);
	p = platform_new(&po, &e);
	g_assert_cmpint(platform_list(p, "ledger/", &all, &e), ==, 0);
	for (i = 0; i < all.n; i++) {
		l = ledger_decode(all.item[i].value, all.item[i].len, &e);
		mb += (int64_t)ledger_unsettled_mb(l);
		ledger_free(l);
	}
	objects_clear(&all);
	platform_free(p);
	return mb;
}
