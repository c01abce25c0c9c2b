/* A deployment's store and endpoints, and the settings of its daemons. */
#include "standin/environment.h"
#include "standin/daemon_settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	DOMAINS_MAX = 16,
	PROBE_INTERVAL_MS = 200, /* between readiness probes */
};
/* Of a core; the weaker machines of a deployment have no more. */
static const double daemon_cpu_share = 0.25;

static void
die(const char *what, const char *why)
{
	fprintf(stderr, "standin-deployment: %s: %s\n", what, why);
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
	{ "rate", offsetof(deployment_sizes_t, rate) },
	{ "versions", offsetof(deployment_sizes_t, versions) } };

static void
on_size(
    void *u, const char *section, const char *key, const char *value, int line)
{
	deployment_sizes_t *sizes = u;
	size_t i;

	(void)section, (void)line;
	if (strcmp(key, "domains") == 0) {
		str_set(sizes->domains, sizeof(sizes->domains), value);
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		if (strcmp(key, keys[i].key) == 0) {
			*(int *)(void *)((char *)sizes + keys[i].at) =
			    atoi(value);
			return;
		}
	die(key, "unknown key");
}

static void
read_sizes(environment_t *env, const char *path)
{
	char *text;
	gsize len;
	GError *e = NULL;
	size_t i;

	env->sizes.versions = 1;
	if (!g_file_get_contents(path, &text, &len, &e))
		die(path, e->message);
	if (ini_text(text, len, on_size, &env->sizes) != 0)
		die(path, "isn't an INI file");
	g_free(text);
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		if (*(int *)(void *)((char *)&env->sizes + keys[i].at) <= 0)
			die(keys[i].key, "must be a number above 0");
	if (env->sizes.daemons > DAEMONS_MAX)
		die("daemons", "more than are supported");
	env->domain = g_strsplit(env->sizes.domains, " ", DOMAINS_MAX);
	if (env->domain[0] == NULL)
		die("domains", "at least one is needed");
}

/* Configuration in the store */

static json_t *
route_json(const environment_t *env, const char *name, const char *kind,
    const char *service, int target, int attempts)
{
	char *prefix = g_strdup_printf("/%s/", name);
	json_t *r = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name",
	    name, "host", env->host, "path_prefix", prefix, "kind", kind,
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

/* @param tenants as in the configuration, NULL: none */
static void
put_config(environment_t *env, json_t *tenants)
{
	const deployment_sizes_t *sizes = &env->sizes;
	json_t *models = json_array(), *c;
	char *text;
	int i;

	for (i = 0; i < sizes->models; i++)
		json_array_append_new(models,
		    json_pack("{s:s,s:i,s:f,s:f,s:f,s:i,s:i}", "name",
			env->models[i].name, "weights_mb", sizes->model_mb,
			"load_s", sizes->load_ms / 1000.0, "warm_s",
			sizes->load_ms / 1000.0, "disk_s",
			sizes->load_ms / 1000.0, "adapters", sizes->adapters,
			"adapter_mb", sizes->adapter_mb));
	c = json_pack("{s:i,s:[o,o,o],s:[{s:s,s:s,s:i},"
		      "{s:s,s:s,s:i,s:{s:i,s:i,s:i,s:i,s:i,s:o}}],"
		      "s:{s:i,s:i,s:i,s:i}}",
	    "version", ++env->config, "routes",
	    route_json(env, "read", "safe", "plain", 300, 2),
	    route_json(env, "book", "unsafe", "plain", 300, 2),
	    route_json(env, "gen", "streaming", "engine", 1200, 3), "services",
	    "name", "plain", "health_path", "/healthz", "max_connections", 100,
	    "name", "engine", "health_path", "/healthz", "max_connections", 400,
	    "engine", "slots", sizes->slots, "kv_capacity_tokens", 100000,
	    "weights_mb", sizes->weights_mb, "adapter_slots",
	    sizes->adapter_slots, "loads_per_s", sizes->loads_per_s, "models",
	    models, "limits", "max_header_bytes", 8192, "max_body_bytes",
	    4 << 20, "header_timeout_ms", 2000, "idle_timeout_ms", 10000);
	if (tenants != NULL)
		json_object_set_new(c, "tenants", tenants);
	text = json_dumps(c, JSON_COMPACT);
	json_decref(c);
	fake_store_put(env->store, "config", "main", text);
	free(text);
}

void
environment_put_organisations(environment_t *env, int valid, int rate)
{
	json_t *api_keys[2] = { json_array(), json_array() };
	char key[16];
	int i;

	for (i = 0; i < valid; i++) {
		snprintf(key, sizeof(key), LOADGEN_KEY, i);
		json_array_append_new(api_keys[i % 2], json_string(key));
	}
	put_config(
	    env, json_pack("[{s:s,s:o,s:i,s:i},{s:s,s:o,s:i}]", "name", "one",
		     "api_keys", api_keys[0], "rate_per_s", rate, "burst", rate,
		     "name", "two", "api_keys", api_keys[1], "priority", 1));
}

/* Endpoints */

static char *
take_port(environment_t *env)
{
	if (env->ports[env->ports_used] == NULL)
		die("ports",
		    "one is needed for the store and for each endpoint");
	return g_strdup_printf("127.0.0.1:%s", env->ports[env->ports_used++]);
}

static void
put_entry(void *arg, fake_endpoint_t *h)
{
	environment_t *env = arg;
	bool engine = g_str_has_prefix(fake_endpoint_id(h), "engine");
	const char *domain = env->domain[0];
	char *text;
	int i;

	for (i = 0; i < env->nendpoint; i++)
		if (env->endpoint[i] == h)
			domain = env->endpoint_domain[i];
	text =
	    fake_endpoint_entry(h, engine ? "engine" : "plain", domain, false);
	fake_store_put(env->store, "servers", fake_endpoint_id(h), text);
	g_free(text);
}

static void
add_endpoint(environment_t *env, const char *kind, int n, const char *model)
{
	int ndomain = (int)g_strv_length(env->domain);
	char *id = g_strdup_printf("%s-%d", kind, n);
	char *addr = take_port(env);
	char *version = g_strdup_printf("v%d", 1 + n % env->sizes.versions);
	fake_endpoint_opts_t o = { .id = id,
		.addr = addr,
		.model = model,
		.models = env->models,
		.nmodel = model != NULL ? env->sizes.models : 0,
		.weights_mb = env->sizes.weights_mb,
		.adapter_slots = env->sizes.adapter_slots,
		.events = env->sizes.events,
		.event_gap = env->sizes.gap_ms,
		.plain_ms = env->sizes.plain_ms,
		.version = version,
		.changed = put_entry,
		.arg = env };

	env->endpoint_domain[env->nendpoint] = env->domain[n % ndomain];
	env->endpoint[env->nendpoint++] = fake_endpoint_new(&env->loop, &o);
	g_free(id);
	g_free(addr);
	g_free(version);
}

/* Engines start with as many models as fit, until each model is loaded. */
static void
add_endpoints(environment_t *env)
{
	int per = env->sizes.weights_mb /
		  (env->sizes.model_mb + env->sizes.adapter_mb);
	int i, k, next = 0;

	env->endpoint =
	    g_new0(fake_endpoint_t *, env->sizes.engines + env->sizes.plain);
	env->endpoint_domain =
	    g_new0(char *, env->sizes.engines + env->sizes.plain);
	for (i = 0; i < env->sizes.engines; i++) {
		add_endpoint(env, "engine", i,
		    env->models[next++ % env->sizes.models].name);
		for (k = 1;
		     k < per && next < env->sizes.models + env->sizes.engines;
		     k++)
			fake_endpoint_add_model(
			    env->endpoint[env->nendpoint - 1],
			    env->models[next++ % env->sizes.models].name);
	}
	for (i = 0; i < env->sizes.plain; i++)
		add_endpoint(env, "plain", i, NULL);
	for (i = 0; i < env->nendpoint; i++)
		put_entry(env, env->endpoint[i]);
}

/* Settings files of the daemons; DIR/daemons lists them for tools/demo. */

static void
put_settings(environment_t *env)
{
	int ndomain = (int)g_strv_length(env->domain), i;
	GString *all = g_string_new(NULL);
	char *list_path;

	for (i = 0; i < env->sizes.daemons; i++) {
		char *ip = daemon_settings_ip(env->store_addr, i);
		char *instance = g_strdup_printf("entry-%d", i);
		char *path = g_strdup_printf("%s/%s.yaml", env->dir, instance);
		char *text;

		env->caller[i] = g_strdup_printf("%s:8149", ip);
		env->ready[i] = g_strdup_printf("%s:8141", ip);
		env->entries[i] = g_strdup_printf("%s:8143", ip);
		text = daemon_settings_yaml(
		    &(daemon_settings_t){ .instance = instance,
			.ip = ip,
			.domain = env->domain[i % ndomain],
			.domains = (const char *const *)env->domain,
			.caller = env->caller[i],
			.ready = env->ready[i],
			.entries = env->entries[i],
			.peer_port = 7380,
			.store = env->store_addr,
			.cpu_share = daemon_cpu_share,
			.bootstrap = env->bootstrap });
		if (!g_file_set_contents(path, text, -1, NULL))
			die(path, "can't be written");
		g_string_append_printf(all, "%s %s %s %s\n", instance, path,
		    env->caller[i], env->entries[i]);
		g_free(text);
		env->settings[i] = path;
		g_free(instance);
		g_free(ip);
	}
	list_path = g_strdup_printf("%s/daemons", env->dir);
	if (!g_file_set_contents(list_path, all->str, -1, NULL))
		die(list_path, "can't be written");
	g_free(list_path);
	g_string_free(all, TRUE);
}

static void
on_probe_answer(void *arg, client_request_t *p)
{
	environment_t *env = arg;

	if (p->done && p->status == 200)
		env->is_ready[env->probed] = true;
	env->probe = NULL;
	client_request_free(p);
}

bool
environment_ready(const environment_t *env)
{
	int i;

	for (i = 0; i < env->sizes.daemons; i++)
		if (!env->is_ready[i])
			return false;
	return true;
}

/* Probe the daemons one after the other until each was ready once. */
static void
probe_next(void *arg)
{
	environment_t *env = arg;
	int i;

	alarm_set(
	    &env->loop, &env->probe_alarm, env->loop.now + PROBE_INTERVAL_MS);
	if (env->probe != NULL)
		return;
	if (environment_ready(env))
		return;
	for (i = 0; env->is_ready[i]; i++)
		;
	env->probed = i;
	env->probe = client_request_open(&env->loop, env->ready[i],
	    "GET /v1/ready HTTP/1.1\r\nHost: localhost\r\n\r\n",
	    on_probe_answer, env);
}

environment_t *
environment_new(const environment_opts_t *o)
{
	environment_t *env = g_new0(environment_t, 1);
	int i;

	env->dir = o->dir;
	env->bootstrap = o->bootstrap;
	env->ports = g_strsplit(o->ports, ",", 0);
	read_sizes(env, o->sizes);
	loop_init(&env->loop);
	env->host = g_strdup_printf("%s.example", o->name);
	env->store_addr = take_port(env);
	env->store = fake_store_new(&env->loop, env->store_addr);
	env->models = g_new0(model_spec_t, env->sizes.models);
	for (i = 0; i < env->sizes.models; i++) {
		snprintf(env->models[i].name, ID_MAX, "model-%d", i + 1);
		env->models[i].mb = env->sizes.model_mb;
		env->models[i].adapter_mb = env->sizes.adapter_mb;
		env->models[i].load_ms = env->sizes.load_ms;
	}
	put_config(env, NULL);
	add_endpoints(env);
	put_settings(env);
	env->probe_alarm = (alarm_t){ .fn = probe_next, .arg = env };
	probe_next(env);
	return env;
}

void
environment_load_opts(environment_t *env, loadgen_opts_t *o)
{
	o->loop = &env->loop;
	o->entries = env->entries;
	o->nentries = env->sizes.daemons;
	o->endpoint = env->endpoint;
	o->nendpoint = env->nendpoint;
	o->host = env->host;
	o->models = env->models;
	o->nmodel = env->sizes.models;
	o->adapters = env->sizes.adapters;
	o->events = env->sizes.events;
	if (o->rate <= 0)
		o->rate = env->sizes.rate;
}

int
environment_overcommits(const environment_t *env)
{
	int over = 0, i;

	for (i = 0; i < env->nendpoint; i++)
		over += fake_endpoint_overcommits(env->endpoint[i]);
	return over;
}

int
environment_orders(const environment_t *env)
{
	int n = 0, i;

	for (i = 0; i < env->nendpoint; i++)
		n += (int)fake_endpoint_orders(env->endpoint[i])->len;
	return n;
}

void
environment_free(environment_t *env)
{
	int i;

	alarm_stop(&env->loop, &env->probe_alarm);
	if (env->probe != NULL)
		client_request_free(env->probe);
	for (i = 0; i < env->nendpoint; i++)
		fake_endpoint_free(env->endpoint[i]);
	fake_store_free(env->store);
	for (i = 0; i < env->sizes.daemons; i++) {
		g_free(env->caller[i]);
		g_free(env->ready[i]);
		g_free(env->entries[i]);
		g_free(env->settings[i]);
	}
	loop_turn(&env->loop, 0);
	loop_free(&env->loop);
	g_strfreev(env->domain);
	g_strfreev(env->ports);
	g_free(env->models);
	g_free(env->endpoint);
	g_free(env->endpoint_domain);
	g_free(env->host);
	g_free(env->store_addr);
	g_free(env);
}
