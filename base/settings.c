#include "base/base.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

typedef enum key_type {
	KEY_INT,
	KEY_NAME,
	KEY_ADDR,
	KEY_ADDRS
} key_type_t;

typedef struct key_def {
	const char *section, *key;
	key_type_t type;
	const char *unit;
	int64_t least, most;
	int64_t default_value;
	size_t offset;
	const char *help;
} key_def_t;

#define AT(f) offsetof(settings_t, f)

enum {
	DAY_MS = 24 * 3600 * 1000
};

static const key_def_t keys[] = {
	{ "deployment", "name", KEY_NAME, "", 0, 0, 0, AT(deployment),
	    "name shown in logs and reports" },
	{ "instance", "id", KEY_NAME, "", 0, 0, 0, AT(instance.id),
	    "this instance's name on the platform's list" },
	{ "instance", "domain", KEY_NAME, "", 0, 0, 0, AT(instance.domain),
	    "its failure domain" },
	{ "instance", "caller_addr", KEY_ADDR, "IP:port", 0, 0, 0,
	    AT(instance.caller_addr),
	    "address where entryd listens for callers" },
	{ "instance", "peer_addr", KEY_ADDR, "IP:port", 0, 0, 0,
	    AT(instance.peer_addr),
	    "address where controld listens for daemons" },
	{ "instance", "operator_addr", KEY_ADDR, "IP:port", 0, 0, 0,
	    AT(instance.operator_addr),
	    "address where controld listens for operators" },
	{ "instance", "secret", KEY_NAME, "", 0, 0, 0, AT(instance.secret),
	    "key of the resume tokens; the same on every instance" },
	{ "platform", "addr", KEY_ADDR, "IP:port", 0, 0, 0, AT(platform.addr),
	    "address of the platform's object API" },
	{ "platform", "timeout_ms", KEY_INT, "ms", 50, 60000, 2000,
	    AT(platform.timeout_ms), "longest wait for an answer" },
	{ "platform", "lease_ms", KEY_INT, "ms", 500, 600000, 6000,
	    AT(platform.lease_ms), "length of the planner's lease" },
	{ "caller", "body_max", KEY_INT, "bytes", 1024, 64 << 20, 1 << 20,
	    AT(caller.body_max), "largest request body" },
	{ "caller", "connections_max", KEY_INT, "connections", 1, 100000, 4000,
	    AT(caller.connections_max), "most connections of callers at once" },
	{ "caller", "calls_max", KEY_INT, "calls", 1, 100000, 2000,
	    AT(caller.calls_max), "most calls in progress at once" },
	{ "caller", "idle_ms", KEY_INT, "ms", 100, DAY_MS, 30000,
	    AT(caller.idle_ms), "silence after which a connection is closed" },
	{ "caller", "entries_age_ms", KEY_INT, "ms", 1000, 60000, 2000,
	    AT(caller.entries_age_ms), "max-age of the list of entries" },
	{ "caller", "drain_ms", KEY_INT, "ms", 0, DAY_MS, 600000,
	    AT(caller.drain_ms), "a planned stop aborts streams after this" },
	{ "peer", "heartbeat_ms", KEY_INT, "ms", 20, 60000, 250,
	    AT(peer.heartbeat_ms), "interval of heartbeats" },
	{ "peer", "dead_ms", KEY_INT, "ms", 60, 600000, 1200, AT(peer.dead_ms),
	    "silence after which a daemon counts as gone" },
	{ "peer", "frame_max", KEY_INT, "bytes", 4096, 16 << 20, 2 << 20,
	    AT(peer.frame_max), "largest message" },
	{ "peer", "ask_ms", KEY_INT, "ms", 10, 60000, 200, AT(peer.ask_ms),
	    "wait for a broker's first reply before the next is asked" },
	{ "peer", "view_ms", KEY_INT, "ms", 10, 60000, 100, AT(peer.view_ms),
	    "minimum time between two views sent to an entry" },
	{ "peer", "seeds", KEY_ADDRS, "IP:port,...", 0, 0, 0, AT(peer.seeds),
	    "daemons to ask for others when the platform gives no list" },
	{ "broker", "shard_workers", KEY_INT, "workers", 1, 64, 8,
	    AT(broker.shard_workers), "workers in a shard" },
	{ "broker", "queue_max", KEY_INT, "calls", 1, 100000, 512,
	    AT(broker.queue_max), "most calls waiting for a slot in a shard" },
	{ "broker", "grant_ms", KEY_INT, "ms", 100, DAY_MS, 120000,
	    AT(broker.grant_ms),
	    "a grant that isn't released expires after this" },
	{ "broker", "load_poll_ms", KEY_INT, "ms", 20, 60000, 250,
	    AT(broker.load_poll_ms), "interval of a worker's load reports" },
	{ "broker", "retry_share", KEY_INT, "percent", 0, 100, 10,
	    AT(broker.retry_share),
	    "retries allowed, as a share of successes" },
	{ "claims", "buckets", KEY_INT, "buckets", 1, 65536, 64,
	    AT(claims.buckets), "number of objects that hold the claims" },
	{ "claims", "keep_ms", KEY_INT, "ms", 1000, DAY_MS, DAY_MS,
	    AT(claims.keep_ms),
	    "how long an outcome is kept for repeated calls" },
	{ "claims", "bucket_max", KEY_INT, "bytes", 1024, 1 << 20, 900000,
	    AT(claims.bucket_max), "largest bucket" },
	{ "claims", "commit_ms", KEY_INT, "ms", 0, 1000, 5,
	    AT(claims.commit_ms), "how long a group commit collects claims" },
	{ "claims", "settle_ms", KEY_INT, "ms", 0, 10000, 100,
	    AT(claims.settle_ms),
	    "how long an outcome waits to share a write" },
	{ "place", "move_weight", KEY_INT, "points", 0, 1000000, 100,
	    AT(place.move_weight), "attainment that a move must gain" },
	{ "place", "hysteresis", KEY_INT, "percent", 0, 1000, 20,
	    AT(place.hysteresis), "smaller changes of demand are ignored" },
	{ "place", "plan_ms", KEY_INT, "ms", 20, DAY_MS, 1000,
	    AT(place.plan_ms), "interval of planning rounds" },
	{ "place", "quiet_from_h", KEY_INT, "hour UTC", 0, 24, 0,
	    AT(place.quiet_from_h),
	    "only necessary moves are made from this hour" },
	{ "place", "quiet_to_h", KEY_INT, "hour UTC", 0, 24, 0,
	    AT(place.quiet_to_h),
	    "only necessary moves are made until this hour" },
	{ "place", "loads_per_min", KEY_INT, "loads/min", 1, 1000000, 120,
	    AT(place.loads_per_min), "rate limit of the weight store" },
	{ "place", "loads_at_once", KEY_INT, "loads", 1, 100000, 3,
	    AT(place.loads_at_once),
	    "concurrent model loads that run at full speed" },
	{ "place", "adapters_at_once", KEY_INT, "loads", 1, 100000, 24,
	    AT(place.adapters_at_once),
	    "concurrent adapter loads that run at full speed" },
};

enum {
	NKEYS = sizeof(keys) / sizeof(keys[0]),
};

typedef struct reader {
	settings_t *s;
	const char *path;
	GString *report;
	GHashTable *seen;
	int line;
} reader_t;

static void *
field_at(const settings_t *s, const key_def_t *k)
{
	return (char *)s + k->offset;
}

void
settings_init(settings_t *s)
{
	size_t i;

	memset(s, 0, sizeof(*s));
	for (i = 0; i < NKEYS; i++)
		if (keys[i].type == KEY_INT)
			*(int64_t *)field_at(s, &keys[i]) =
			    keys[i].default_value;
}

static void __attribute__((format(printf, 2, 3)))
report_error(reader_t *r, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(r->report, "%s:%d: ", r->path, r->line);
	va_start(ap, fmt);
	g_string_append_vprintf(r->report, fmt, ap);
	va_end(ap);
	g_string_append_c(r->report, '\n');
}

static bool
is_name(const char *v)
{
	if (*v == '\0' || strlen(v) >= ID_MAX)
		return false;
	for (; *v != '\0'; v++)
		if (!isalnum((unsigned char)*v) && strchr("-_.", *v) == NULL)
			return false;
	return true;
}

static bool
parse_int(const char *v, int64_t least, int64_t most, int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(v, &end, 10);
	return errno == 0 && end != v && *end == '\0' && *out >= least &&
	       *out <= most;
}

static void
set_addrs(reader_t *r, const key_def_t *k, const char *v)
{
	char **addr = g_strsplit(v, ",", -1), host[ADDR_MAX];
	uint16_t port;
	err_t e = { ERR_NONE, "" };
	int i;

	for (i = 0; addr[i] != NULL; i++)
		if (addr_split(g_strstrip(addr[i]), host, sizeof(host), &port,
			&e) == -1)
			report_error(
			    r, "%s.%s: %s", k->section, k->key, e.text);
	g_strfreev(addr);
	if (e.code == ERR_NONE && !str_copy(field_at(r->s, k), SEEDS_MAX, v))
		report_error(r, "%s.%s: must be shorter than %d bytes",
		    k->section, k->key, SEEDS_MAX);
}

static void
set_key(reader_t *r, const key_def_t *k, const char *v)
{
	char host[ADDR_MAX];
	uint16_t port;
	err_t e;
	int64_t n;

	switch (k->type) {
	case KEY_INT:
		if (!parse_int(v, k->least, k->most, &n))
			report_error(r,
			    "%s.%s = '%s': must be a whole number of %s from "
			    "%" PRId64 " to %" PRId64,
			    k->section, k->key, v, k->unit, k->least, k->most);
		else
			*(int64_t *)field_at(r->s, k) = n;
		break;
	case KEY_NAME:
		if (!is_name(v))
			report_error(r,
			    "%s.%s = '%s': must consist of letters, digits, "
			    "'-', '_' and '.', fewer than %d",
			    k->section, k->key, v, ID_MAX);
		else
			str_set(field_at(r->s, k), ID_MAX, v);
		break;
	case KEY_ADDR:
		if (addr_split(v, host, sizeof(host), &port, &e) == -1)
			report_error(
			    r, "%s.%s = %s", k->section, k->key, e.text);
		else
			str_set(field_at(r->s, k), ADDR_MAX, v);
		break;
	case KEY_ADDRS:
		set_addrs(r, k, v);
		break;
	}
}

/* A key of [service NAME]. */
static bool
set_service_key(reader_t *r, service_conf_t *c, const char *key, const char *v)
{
	static const struct {
		const char *key;
		size_t offset;
		int64_t least, most;
	} ints[] = {
		{ "promise_ms", offsetof(service_conf_t, target_latency_ms), 1,
		    DAY_MS },
		{ "gap_ms", offsetof(service_conf_t, gap_ms), 1, DAY_MS },
		{ "timeout_ms", offsetof(service_conf_t, timeout_ms), 1,
		    DAY_MS },
		{ "slots", offsetof(service_conf_t, slots), 1, 100000 },
	};
	static const char *const repeats[] = { "safe", "keyed", "never" };
	size_t i;

	for (i = 0; i < sizeof(ints) / sizeof(ints[0]); i++) {
		if (strcmp(key, ints[i].key) != 0)
			continue;
		if (!parse_int(v, ints[i].least, ints[i].most,
			(int64_t *)((char *)c + ints[i].offset)))
			report_error(r,
			    "%s = '%s' is out of range %" PRId64 " to %" PRId64,
			    key, v, ints[i].least, ints[i].most);
		return true;
	}
	if (strcmp(key, "kind") == 0) {
		c->kind =
		    strcmp(v, "plain") == 0 ? SERVICE_PLAIN : SERVICE_ENGINE;
		if (strcmp(v, "plain") != 0 && strcmp(v, "engine") != 0)
			report_error(
			    r, "kind = '%s': must be engine or plain", v);
		return true;
	}
	if (strcmp(key, "fencing") == 0) {
		c->fencing = strcmp(v, "yes") == 0;
		if (strcmp(v, "yes") != 0 && strcmp(v, "no") != 0)
			report_error(r, "fencing = '%s': must be yes or no", v);
		return true;
	}
	if (strcmp(key, "repeat") == 0) {
		for (i = 0; i < 3; i++)
			if (strcmp(v, repeats[i]) == 0)
				break;
		if (i == 3)
			report_error(r,
			    "repeat = '%s': must be safe, keyed or never", v);
		else
			c->repeat = (repeat_t)i;
		return true;
	}
	return false;
}

static service_conf_t *
get_or_add_service(reader_t *r, const char *name)
{
	settings_t *s = r->s;
	service_conf_t *c;
	int i;

	for (i = 0; i < s->nservice; i++)
		if (strcmp(s->service[i].name, name) == 0)
			return &s->service[i];
	if (s->nservice == SERVICE_MAX || !is_name(name)) {
		report_error(
		    r, "[service %s]: too many services or invalid name", name);
		return NULL;
	}
	c = &s->service[s->nservice++];
	*c = (service_conf_t){ .repeat = REPEAT_NEVER,
		.target_latency_ms = 2000,
		.gap_ms = 42,
		.timeout_ms = 120000,
		.slots = 16 };
	str_set(c->name, sizeof(c->name), name);
	return c;
}

static domain_conf_t *
get_or_add_domain(reader_t *r, const char *name)
{
	settings_t *s = r->s;
	int i;

	for (i = 0; i < s->ndomain; i++)
		if (strcmp(s->domain[i].name, name) == 0)
			return &s->domain[i];
	if (s->ndomain == DOMAIN_MAX || !is_name(name)) {
		report_error(
		    r, "[domain %s]: too many domains or invalid name", name);
		return NULL;
	}
	str_set(s->domain[s->ndomain].name, ID_MAX, name);
	return &s->domain[s->ndomain++];
}

static bool
is_first_use(reader_t *r, const char *section, const char *key)
{
	char *full = g_strdup_printf("%s.%s", section, key);

	if (g_hash_table_add(r->seen, full))
		return true;
	report_error(r, "%s.%s is set twice in this file", section, key);
	return false;
}

static void
on_key(void *user, const char *section, const char *key, const char *value,
    int line)
{
	reader_t *r = user;
	service_conf_t *service;
	domain_conf_t *domain;
	size_t i;

	r->line = line;
	if (!is_first_use(r, section, key))
		return;
	if (g_str_has_prefix(section, "service ")) {
		service = get_or_add_service(r, section + strlen("service "));
		if (service != NULL && !set_service_key(r, service, key, value))
			report_error(
			    r, "unknown key '%s' in [%s]", key, section);
		return;
	}
	if (g_str_has_prefix(section, "domain ")) {
		domain = get_or_add_domain(r, section + strlen("domain "));
		if (domain != NULL && strcmp(key, "region") != 0)
			report_error(
			    r, "unknown key '%s' in [%s]", key, section);
		else if (domain != NULL)
			str_set(domain->region, ID_MAX, value);
		return;
	}
	for (i = 0; i < NKEYS; i++)
		if (strcmp(keys[i].section, section) == 0 &&
		    strcmp(keys[i].key, key) == 0)
			break;
	if (i == NKEYS)
		report_error(r, "unknown key '%s' in [%s]", key, section);
	else
		set_key(r, &keys[i], value);
}

static int
finish_report(GString *report, char **out, const char *what, err_t *e)
{
	bool bad = report->len > 0;

	if (out != NULL)
		*out = NULL;
	if (!bad || out == NULL)
		g_string_free(report, TRUE);
	else
		*out = g_string_free(report, FALSE);
	return bad ? err_set(e, ERR_INVAL, "%s", what) : 0;
}

int
settings_read(settings_t *s, const char *path, char **report, err_t *e)
{
	reader_t r = { .s = s, .path = path };
	GError *why = NULL;
	char *text;
	gsize len;

	r.report = g_string_new(NULL);
	if (!g_file_get_contents(path, &text, &len, &why)) {
		g_string_append_printf(r.report, "%s\n", why->message);
		g_error_free(why);
		return finish_report(
		    r.report, report, "cannot read settings", e);
	}
	r.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r.line = ini_text(text, len, on_key, &r);
	if (r.line > 0)
		report_error(&r, "not an INI line");
	g_hash_table_destroy(r.seen);
	g_free(text);
	return finish_report(r.report, report, "invalid settings", e);
}

int
settings_check(const settings_t *s, char **report, err_t *e)
{
	GString *g = g_string_new(NULL);
	int i;

	for (i = 0; i < (int)NKEYS; i++)
		if ((keys[i].type == KEY_ADDR ||
			strcmp(keys[i].section, "instance") == 0) &&
		    *(const char *)field_at(s, &keys[i]) == '\0')
			g_string_append_printf(g, "%s.%s must be set\n",
			    keys[i].section, keys[i].key);
	if (s->instance.domain[0] != '\0') {
		for (i = 0; i < s->ndomain; i++)
			if (strcmp(s->domain[i].name, s->instance.domain) == 0)
				break;
		if (i == s->ndomain)
			g_string_append_printf(g,
			    "instance.domain = %s: there is no [domain %s]\n",
			    s->instance.domain, s->instance.domain);
	}
	if (s->nservice == 0)
		g_string_append(g, "there is no [service NAME]\n");
	if (s->peer.dead_ms < 3 * s->peer.heartbeat_ms)
		g_string_append(
		    g, "peer.dead_ms must be at least 3 times heartbeat_ms\n");
	return finish_report(g, report, "invalid settings", e);
}

void
settings_print(const settings_t *s, FILE *f)
{
	static const char *const repeats[] = { "safe", "keyed", "never" };
	const char *section = "";
	size_t i;
	int j;

	for (i = 0; i < NKEYS; i++) {
		const key_def_t *k = &keys[i];

		if (strcmp(section, k->section) != 0)
			fprintf(f, "%s[%s]\n", i == 0 ? "" : "\n", k->section);
		section = k->section;
		fprintf(f, "; %s", k->help);
		if (k->type == KEY_INT)
			fprintf(f, " (%s, %" PRId64 " to %" PRId64 ")", k->unit,
			    k->least, k->most);
		fprintf(f, "\n");
		if (k->type == KEY_INT)
			fprintf(f, "%s = %" PRId64 "\n", k->key,
			    *(int64_t *)field_at(s, k));
		else if (*(char *)field_at(s, k) == '\0')
			fprintf(f, "; %s =\n", k->key);
		else
			fprintf(f, "%s = %s\n", k->key,
			    strcmp(k->key, "secret") == 0
				? "********"
				: (char *)field_at(s, k));
	}
	for (j = 0; j < s->ndomain; j++)
		fprintf(f, "\n[domain %s]\nregion = %s\n", s->domain[j].name,
		    s->domain[j].region);
	for (j = 0; j < s->nservice; j++) {
		const service_conf_t *c = &s->service[j];

		fprintf(f,
		    "\n[service %s]\nkind = %s\nrepeat = %s\nfencing = %s\n"
		    "promise_ms = %" PRId64 "\ngap_ms = %" PRId64
		    "\ntimeout_ms = %" PRId64 "\nslots = %" PRId64 "\n",
		    c->name, c->kind == SERVICE_PLAIN ? "plain" : "engine",
		    repeats[c->repeat], c->fencing ? "yes" : "no",
		    c->target_latency_ms, c->gap_ms, c->timeout_ms, c->slots);
	}
}

const service_conf_t *
settings_service(const settings_t *s, const char *name)
{
	int i;

	for (i = 0; i < s->nservice; i++)
		if (strcmp(s->service[i].name, name) == 0)
			return &s->service[i];
	return NULL;
}
