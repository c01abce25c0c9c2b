/* A deployment's surroundings: store, endpoints, settings of its daemons. */
#include "standin/environment.h"
#include "standin/daemon_settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	DOMAINS_MAX = 16,
	PROBE_INTERVAL_MS =
	    200, /* between questions whether a daemon is ready */
};
/* Of a core, as the weaker machines of a deployment have. */
static const double cpu_share = 0.25;

static void
die(const char *what, const char *why)
{
	fprintf(stderr, "ground: %s: %s\n", what, why);
	exit(2);
}

/* Sizes */

static const struct {
	const char *key;
	size_t at;
} keys[] = { { "daemons", offsetof(deployment_sizes_t, daemons) },
	{ "engines", offsetof(deployment_sizes_t, engines) },
	{ "plain", offsetof(deployment_sizes_t, plain) },
	{ "models", offsetof(deployment_sizes_t, models) },
	{ "adapters", offsetof(deployment_sizes_t, adapters) },
	{ "weights_mb", offsetof(deployment_sizes_t, weights_mb) },
	{ "adapter_slots", offsetof(deployment_sizes_t, adapter_slots) },
	{ "model_mb", offsetof(deployment_sizes_t, model_mb) },
	{ "adapter_mb", offsetof(deployment_sizes_t, adapter_mb) },
	{ "load_ms", offsetof(deployment_sizes_t, load_ms) },
	{ "loads_per_s", offsetof(deployment_sizes_t, loads_per_s) },
	{ "slots", offsetof(deployment_sizes_t, slots) },
	{ "events", offsetof(deployment_sizes_t, events) },
	{ "gap_ms", offsetof(deployment_sizes_t, gap_ms) },
	{ "plain_ms", offsetof(deployment_sizes_t, plain_ms) },
	{ "rate", offsetof(deployment_sizes_t, rate) } };

static void
on_size(
    void *u, const char *section, const char *key, const char *value, int line)
{
	deployment_sizes_t *z = u;
	size_t i;

	(void)section, (void)line;
	if (strcmp(key, "domains") == 0) {
		str_copy(z->domains, sizeof(z->domains), value);
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		if (strcmp(key, keys[i].key) == 0) {
			*(int *)(void *)((char *)z + keys[i].at) = atoi(value);
			return;
		}
	die(key, "no such key");
}

static void
read_sizes(environment_t *y, const char *path)
{
	char *text;
	gsize len;
	GError *e = NULL;
	size_t i;

	if (!g_file_get_contents(path, &text, &len, &e))
		die(path, e->message);
	if (ini_text(text, len, on_size, &y->sizes) != 0)
		die(path, "not INI");
	g_free(text);
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		if (*(int *)(void *)((char *)&y->sizes + keys[i].at) <= 0)
			die(keys[i].key, "a number above 0 is wanted");
	if (y->sizes.daemons > DAEMONS_MAX)
		die("daemons", "too many");
	y->domain = g_strsplit(y->sizes.domains, " ", DOMAINS_MAX);
	if (y->domain[0] == NULL)
		die("domains", "none");
}

/* The configuration */

static json_t *
route_json(const environment_t *y, const char *name, const char *kind,
    const char *service, int target, int attempts)
{
	char *prefix = g_strdup_printf("/%s/", name);
	json_t *r = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name",
	    name, "host", y->host, "path_prefix", prefix, "kind", kind,
	    "timeout_ms", 6000, "target_latency_ms", target, "priority", 2,
	    "service", service, "max_attempts", attempts);

	g_free(prefix);
	if (strcmp(kind, "streaming") == 0) {
		json_object_set_new(r, "sticky", json_true());
		json_object_set_new(r, "resumable", json_true());
		json_object_set_new(r, "gap_aim_ms", json_integer(400));
	}
	return r;
}

static void
put_config(environment_t *y)
{
	const deployment_sizes_t *z = &y->sizes;
	json_t *models = json_array(), *c;
	char *text;
	int i;

	for (i = 0; i < z->models; i++)
		json_array_append_new(models,
		    json_pack("{s:s,s:i,s:f,s:f,s:f,s:i,s:i}", "name",
			y->models[i].name, "weights_mb", z->model_mb, "load_s",
			z->load_ms / 1000.0, "warm_s", z->load_ms / 1000.0,
			"disk_s", z->load_ms / 1000.0, "adapters", z->adapters,
			"adapter_mb", z->adapter_mb));
	c = json_pack("{s:i,s:[o,o,o],s:[{s:s,s:s,s:i},"
		      "{s:s,s:s,s:i,s:{s:i,s:i,s:i,s:i,s:i,s:o}}],"
		      "s:{s:i,s:i,s:i,s:i}}",
	    "version", 1, "routes",
	    route_json(y, "read", "safe", "plain", 300, 2),
	    route_json(y, "book", "unsafe", "plain", 300, 2),
	    route_json(y, "gen", "streaming", "engine", 1200, 3), "services",
	    "name", "plain", "health_path", "/healthz", "max_connections", 100,
	    "name", "engine", "health_path", "/healthz", "max_connections", 400,
	    "engine", "slots", z->slots, "kv_capacity_tokens", 100000,
	    "weights_mb", z->weights_mb, "adapter_slots", z->adapter_slots,
	    "loads_per_s", z->loads_per_s, "models", models, "limits",
	    "max_header_bytes", 8192, "max_body_bytes", 65536,
	    "header_timeout_ms", 2000, "idle_timeout_ms", 10000);
	text = json_dumps(c, JSON_COMPACT);
	json_decref(c);
	fake_store_put(y->fake_store, "config", "main", text);
	free(text);
}

/* Endpoints */

static char *
take_port(environment_t *y)
{
	if (y->ports[y->ports_used] == NULL)
		die("ports", "one for the store and each endpoint is wanted");
	return g_strdup_printf("127.0.0.1:%s", y->ports[y->ports_used++]);
}

static void
put_entry(void *arg, fake_endpoint_t *h)
{
	environment_t *y = arg;
	bool engine = g_str_has_prefix(fake_endpoint_id(h), "engine");
	const char *domain = y->domain[0];
	char *text;
	int i;

	for (i = 0; i < y->nendpoint; i++)
		if (y->endpoint[i] == h)
			domain = y->endpoint_domain[i];
	text =
	    fake_endpoint_entry(h, engine ? "engine" : "plain", domain, false);
	fake_store_put(y->fake_store, "servers", fake_endpoint_id(h), text);
	g_free(text);
}

static void
add_endpoint(environment_t *y, const char *kind, int n, const char *model)
{
	int ndomain = (int)g_strv_length(y->domain);
	char *id = g_strdup_printf("%s-%d", kind, n);
	char *addr = take_port(y);
	fake_endpoint_opts_t o = { .id = id,
		.addr = addr,
		.model = model,
		.models = y->models,
		.nmodel = model != NULL ? y->sizes.models : 0,
		.weights_mb = y->sizes.weights_mb,
		.adapter_slots = y->sizes.adapter_slots,
		.events = y->sizes.events,
		.event_gap = y->sizes.gap_ms,
		.plain_ms = y->sizes.plain_ms,
		.changed = put_entry,
		.arg = y };

	y->endpoint_domain[y->nendpoint] = y->domain[n % ndomain];
	y->endpoint[y->nendpoint++] = fake_endpoint_new(&y->loop, &o);
	g_free(id);
	g_free(addr);
}

/* Each endpoint holds as many models as it can, all are held somewhere. */
static void
add_endpoints(environment_t *y)
{
	int per =
	    y->sizes.weights_mb / (y->sizes.model_mb + y->sizes.adapter_mb);
	int i, k, next = 0;

	y->endpoint =
	    g_new0(fake_endpoint_t *, y->sizes.engines + y->sizes.plain);
	y->endpoint_domain = g_new0(char *, y->sizes.engines + y->sizes.plain);
	for (i = 0; i < y->sizes.engines; i++) {
		add_endpoint(
		    y, "engine", i, y->models[next++ % y->sizes.models].name);
		for (k = 1;
		     k < per && next < y->sizes.models + y->sizes.engines; k++)
			fake_endpoint_add_model(y->endpoint[y->nendpoint - 1],
			    y->models[next++ % y->sizes.models].name);
	}
	for (i = 0; i < y->sizes.plain; i++)
		add_endpoint(y, "plain", i, NULL);
	for (i = 0; i < y->nendpoint; i++)
		put_entry(y, y->endpoint[i]);
}

/* Daemons: their settings files; who starts them reads DIR/daemons. */

static void
put_settings(environment_t *y)
{
	int ndomain = (int)g_strv_length(y->domain), i, net = getpid() % 200;
	GString *all = g_string_new(NULL);
	char *list_path;

	for (i = 0; i < y->sizes.daemons; i++) {
		char *ip = g_strdup_printf("127.%d.%d.1", 10 + net, i + 1);
		char *instance = g_strdup_printf("entry-%d", i);
		char *path = g_strdup_printf("%s/%s.yaml", y->dir, instance);
		char *text;

		y->caller[i] = g_strdup_printf("%s:8149", ip);
		y->ready[i] = g_strdup_printf("%s:8141", ip);
		y->entries[i] = g_strdup_printf("%s:8143", ip);
		text = daemon_settings_yaml(
		    &(daemon_settings_t){ .instance = instance,
			.ip = ip,
			.domain = y->domain[i % ndomain],
			.domains = (const char *const *)y->domain,
			.caller = y->caller[i],
			.ready = y->ready[i],
			.entries = y->entries[i],
			.peer_port = 7380,
			.store = y->store,
			.cpu_share = cpu_share });
		if (!g_file_set_contents(path, text, -1, NULL))
			die(path, "can't be written");
		g_string_append_printf(all, "%s %s %s %s\n", instance, path,
		    y->caller[i], y->entries[i]);
		g_free(text);
		y->settings[i] = path;
		g_free(instance);
		g_free(ip);
	}
	list_path = g_strdup_printf("%s/daemons", y->dir);
	if (!g_file_set_contents(list_path, all->str, -1, NULL))
		die(list_path, "can't be written");
	g_free(list_path);
	g_string_free(all, TRUE);
}

static void
on_probe_answer(void *arg, client_request_t *p)
{
	environment_t *y = arg;

	if (p->done && p->status == 200)
		y->is_ready[y->probed] = true;
	y->probe = NULL;
	client_request_free(p);
}

bool
environment_ready(const environment_t *y)
{
	int i;

	for (i = 0; i < y->sizes.daemons; i++)
		if (!y->is_ready[i])
			return false;
	return true;
}

/* Ask one after the other. */
static void
probe_next(void *arg)
{
	environment_t *y = arg;
	int i;

	alarm_set(&y->loop, &y->probe_alarm, y->loop.now + PROBE_INTERVAL_MS);
	if (y->probe != NULL)
		return;
	if (environment_ready(y))
		return;
	for (i = 0; y->is_ready[i]; i++)
		;
	y->probed = i;
	y->probe = client_request_open(&y->loop, y->ready[i],
	    "GET /v1/ready HTTP/1.1\r\nHost: ground\r\n\r\n", on_probe_answer,
	    y);
}

environment_t *
environment_new(const environment_opts_t *o)
{
	environment_t *y = g_new0(environment_t, 1);
	int i;

	y->dir = o->dir;
	y->ports = g_strsplit(o->ports, ",", 0);
	read_sizes(y, o->sizes);
	loop_init(&y->loop);
	y->host = g_strdup_printf("%s.example", o->name);
	y->store = take_port(y);
	y->fake_store = fake_store_new(&y->loop, y->store);
	y->models = g_new0(model_spec_t, y->sizes.models);
	for (i = 0; i < y->sizes.models; i++) {
		snprintf(y->models[i].name, ID_MAX, "model-%d", i + 1);
		y->models[i].mb = y->sizes.model_mb;
		y->models[i].adapter_mb = y->sizes.adapter_mb;
		y->models[i].load_ms = y->sizes.load_ms;
	}
	put_config(y);
	add_endpoints(y);
	put_settings(y);
	y->probe_alarm = (alarm_t){ .fn = probe_next, .arg = y };
	probe_next(y);
	return y;
}

void
environment_load_opts(environment_t *y, loadgen_opts_t *o)
{
	o->loop = &y->loop;
	o->entries = y->entries;
	o->nentries = y->sizes.daemons;
	o->endpoint = y->endpoint;
	o->nendpoint = y->nendpoint;
	o->host = y->host;
	o->models = y->models;
	o->nmodel = y->sizes.models;
	o->adapters = y->sizes.adapters;
	o->events = y->sizes.events;
	if (o->rate <= 0)
		o->rate = y->sizes.rate;
}

int
environment_overcommits(const environment_t *y)
{
	int over = 0, i;

	for (i = 0; i < y->nendpoint; i++)
		over += fake_endpoint_overcommits(y->endpoint[i]);
	return over;
}

int
environment_orders(const environment_t *y)
{
	int n = 0, i;

	for (i = 0; i < y->nendpoint; i++)
		n += (int)fake_endpoint_orders(y->endpoint[i])->len;
	return n;
}

void
environment_free(environment_t *y)
{
	int i;

	alarm_stop(&y->loop, &y->probe_alarm);
	if (y->probe != NULL)
		client_request_free(y->probe);
	for (i = 0; i < y->nendpoint; i++)
		fake_endpoint_free(y->endpoint[i]);
	fake_store_free(y->fake_store);
	for (i = 0; i < y->sizes.daemons; i++) {
		g_free(y->caller[i]);
		g_free(y->ready[i]);
		g_free(y->entries[i]);
		g_free(y->settings[i]);
	}
	loop_turn(&y->loop, 0);
	loop_free(&y->loop);
	g_strfreev(y->domain);
	g_strfreev(y->ports);
	g_free(y->models);
	g_free(y->endpoint);
	g_free(y->endpoint_domain);
	g_free(y->host);
	g_free(y->store);
	g_free(y);
}
