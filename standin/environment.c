/* A deployment's surroundings: store, endpoints, settings of its daemons. */
#include "standin/environment.h"
#include "standin/daemon_settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	DOMAINS = 16,
	ASK_MS = 200, /* between questions whether a daemon is ready */
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
} keys[] = { { "daemons", offsetof(sizes_t, daemons) },
	{ "engines", offsetof(sizes_t, engines) },
	{ "plain", offsetof(sizes_t, plain) },
	{ "models", offsetof(sizes_t, models) },
	{ "adapters", offsetof(sizes_t, adapters) },
	{ "weights_mb", offsetof(sizes_t, weights_mb) },
	{ "adapter_slots", offsetof(sizes_t, adapter_slots) },
	{ "model_mb", offsetof(sizes_t, model_mb) },
	{ "adapter_mb", offsetof(sizes_t, adapter_mb) },
	{ "load_ms", offsetof(sizes_t, load_ms) },
	{ "loads_per_s", offsetof(sizes_t, loads_per_s) },
	{ "slots", offsetof(sizes_t, slots) },
	{ "events", offsetof(sizes_t, events) },
	{ "gap_ms", offsetof(sizes_t, gap_ms) },
	{ "plain_ms", offsetof(sizes_t, plain_ms) },
	{ "rate", offsetof(sizes_t, rate) } };

static void
on_key(
    void *u, const char *section, const char *key, const char *value, int line)
{
	sizes_t *z = u;
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
sizes_read(ground_t *y, const char *path)
{
	char *text;
	gsize len;
	GError *e = NULL;
	size_t i;

	if (!g_file_get_contents(path, &text, &len, &e))
		die(path, e->message);
	if (ini_text(text, len, on_key, &y->z) != 0)
		die(path, "not INI");
	g_free(text);
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		if (*(int *)(void *)((char *)&y->z + keys[i].at) <= 0)
			die(keys[i].key, "a number above 0 is wanted");
	if (y->z.daemons > DAEMONS)
		die("daemons", "too many");
	y->domain = g_strsplit(y->z.domains, " ", DOMAINS);
	if (y->domain[0] == NULL)
		die("domains", "none");
}

/* The configuration */

static json_t *
route(const ground_t *y, const char *name, const char *kind,
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
put_config(ground_t *y)
{
	const sizes_t *z = &y->z;
	json_t *models = json_array(), *c;
	char *text;
	int i;

	for (i = 0; i < z->models; i++)
		json_array_append_new(models,
		    json_pack("{s:s,s:i,s:f,s:f,s:f,s:i,s:i}", "name",
			y->ware[i].name, "weights_mb", z->model_mb, "load_s",
			z->load_ms / 1000.0, "warm_s", z->load_ms / 1000.0,
			"disk_s", z->load_ms / 1000.0, "adapters", z->adapters,
			"adapter_mb", z->adapter_mb));
	c = json_pack("{s:i,s:[o,o,o],s:[{s:s,s:s,s:i},"
		      "{s:s,s:s,s:i,s:{s:i,s:i,s:i,s:i,s:i,s:o}}],"
		      "s:{s:i,s:i,s:i,s:i}}",
	    "version", 1, "routes", route(y, "read", "safe", "plain", 300, 2),
	    route(y, "book", "unsafe", "plain", 300, 2),
	    route(y, "gen", "streaming", "engine", 1200, 3), "services", "name",
	    "plain", "health_path", "/healthz", "max_connections", 100, "name",
	    "engine", "health_path", "/healthz", "max_connections", 400,
	    "engine", "slots", z->slots, "kv_capacity_tokens", 100000,
	    "weights_mb", z->weights_mb, "adapter_slots", z->adapter_slots,
	    "loads_per_s", z->loads_per_s, "models", models, "limits",
	    "max_header_bytes", 8192, "max_body_bytes", 65536,
	    "header_timeout_ms", 2000, "idle_timeout_ms", 10000);
	text = json_dumps(c, JSON_COMPACT);
	json_decref(c);
	fake_store_put(y->shelf, "config", "main", text);
	free(text);
}

/* Endpoints */

static char *
take_port(ground_t *y)
{
	if (y->given[y->ngiven] == NULL)
		die("ports", "one for the store and each endpoint is wanted");
	return g_strdup_printf("127.0.0.1:%s", y->given[y->ngiven++]);
}

static void
list(void *arg, fake_endpoint_t *h)
{
	ground_t *y = arg;
	bool engine = g_str_has_prefix(fake_endpoint_id(h), "engine");
	const char *domain = y->domain[0];
	char *text;
	int i;

	for (i = 0; i < y->nhand; i++)
		if (y->hand[i] == h)
			domain = y->place[i];
	text =
	    fake_endpoint_entry(h, engine ? "engine" : "plain", domain, false);
	fake_store_put(y->shelf, "servers", fake_endpoint_id(h), text);
	g_free(text);
}

static void
add_hand(ground_t *y, const char *kind, int n, const char *model)
{
	int ndomain = (int)g_strv_length(y->domain);
	char *id = g_strdup_printf("%s-%d", kind, n);
	char *addr = take_port(y);
	fake_endpoint_opts_t o = { .id = id,
		.addr = addr,
		.model = model,
		.models = y->ware,
		.nmodel = model != NULL ? y->z.models : 0,
		.weights_mb = y->z.weights_mb,
		.adapter_slots = y->z.adapter_slots,
		.events = y->z.events,
		.event_gap = y->z.gap_ms,
		.plain_ms = y->z.plain_ms,
		.changed = list,
		.arg = y };

	y->place[y->nhand] = y->domain[n % ndomain];
	y->hand[y->nhand++] = fake_endpoint_new(&y->loop, &o);
	g_free(id);
	g_free(addr);
}

/* Each endpoint holds as many models as it can, all are held somewhere. */
static void
add_hands(ground_t *y)
{
	int per = y->z.weights_mb / (y->z.model_mb + y->z.adapter_mb);
	int i, k, next = 0;

	y->hand = g_new0(fake_endpoint_t *, y->z.engines + y->z.plain);
	y->place = g_new0(char *, y->z.engines + y->z.plain);
	for (i = 0; i < y->z.engines; i++) {
		add_hand(y, "engine", i, y->ware[next++ % y->z.models].name);
		for (k = 1; k < per && next < y->z.models + y->z.engines; k++)
			fake_endpoint_add_model(y->hand[y->nhand - 1],
			    y->ware[next++ % y->z.models].name);
	}
	for (i = 0; i < y->z.plain; i++)
		add_hand(y, "plain", i, NULL);
	for (i = 0; i < y->nhand; i++)
		list(y, y->hand[i]);
}

/* Daemons: their settings files; who starts them reads DIR/daemons. */

static void
put_settings(ground_t *y)
{
	int ndomain = (int)g_strv_length(y->domain), i, net = getpid() % 200;
	GString *all = g_string_new(NULL);
	char *list_path;

	for (i = 0; i < y->z.daemons; i++) {
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
told(void *arg, http_request_t *p)
{
	ground_t *y = arg;

	if (p->done && p->status == 200)
		y->is_ready[y->asked] = true;
	y->asking = NULL;
	http_request_free(p);
}

bool
ground_ready(const ground_t *y)
{
	int i;

	for (i = 0; i < y->z.daemons; i++)
		if (!y->is_ready[i])
			return false;
	return true;
}

/* Ask one after the other. */
static void
ask(void *arg)
{
	ground_t *y = arg;
	int i;

	alarm_set(&y->loop, &y->ask, y->loop.now + ASK_MS);
	if (y->asking != NULL)
		return;
	if (ground_ready(y))
		return;
	for (i = 0; y->is_ready[i]; i++)
		;
	y->asked = i;
	y->asking = http_request_open(&y->loop, y->ready[i],
	    "GET /v1/ready HTTP/1.1\r\nHost: ground\r\n\r\n", told, y);
}

ground_t *
ground_new(const ground_opts_t *o)
{
	ground_t *y = g_new0(ground_t, 1);
	int i;

	y->dir = o->dir;
	y->given = g_strsplit(o->ports, ",", 0);
	sizes_read(y, o->sizes);
	loop_init(&y->loop);
	y->host = g_strdup_printf("%s.example", o->name);
	y->store = take_port(y);
	y->shelf = fake_store_new(&y->loop, y->store);
	y->ware = g_new0(model_spec_t, y->z.models);
	for (i = 0; i < y->z.models; i++) {
		snprintf(y->ware[i].name, ID_MAX, "model-%d", i + 1);
		y->ware[i].mb = y->z.model_mb;
		y->ware[i].adapter_mb = y->z.adapter_mb;
		y->ware[i].load_ms = y->z.load_ms;
	}
	put_config(y);
	add_hands(y);
	put_settings(y);
	y->ask = (alarm_t){ .fn = ask, .arg = y };
	ask(y);
	return y;
}

void
ground_load(ground_t *y, loadgen_opts_t *o)
{
	o->loop = &y->loop;
	o->entries = y->entries;
	o->nentries = y->z.daemons;
	o->endpoint = y->hand;
	o->nendpoint = y->nhand;
	o->host = y->host;
	o->models = y->ware;
	o->nmodel = y->z.models;
	o->adapters = y->z.adapters;
	o->events = y->z.events;
	if (o->rate <= 0)
		o->rate = y->z.rate;
}

int
ground_over(const ground_t *y)
{
	int over = 0, i;

	for (i = 0; i < y->nhand; i++)
		over += fake_endpoint_overcommits(y->hand[i]);
	return over;
}

int
ground_orders(const ground_t *y)
{
	int n = 0, i;

	for (i = 0; i < y->nhand; i++)
		n += (int)fake_endpoint_orders(y->hand[i])->len;
	return n;
}

void
ground_free(ground_t *y)
{
	int i;

	alarm_stop(&y->loop, &y->ask);
	if (y->asking != NULL)
		http_request_free(y->asking);
	for (i = 0; i < y->nhand; i++)
		fake_endpoint_free(y->hand[i]);
	fake_store_free(y->shelf);
	for (i = 0; i < y->z.daemons; i++) {
		g_free(y->caller[i]);
		g_free(y->ready[i]);
		g_free(y->entries[i]);
		g_free(y->settings[i]);
	}
	loop_turn(&y->loop, 0);
	loop_free(&y->loop);
	g_strfreev(y->domain);
	g_strfreev(y->given);
	g_free(y->ware);
	g_free(y->hand);
	g_free(y->place);
	g_free(y->host);
	g_free(y->store);
	g_free(y);
}
