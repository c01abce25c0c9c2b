/* The platform's client against the stand-in: faults, leases, audit trail. */
#include "store/platform.h"
#include "tests/proc.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

enum {
	START_MS = 5000,
	SHORT_MS = 300, /* the client's timeout */
};

typedef struct fixture {
	proc_t *proc;
	char *addr;
	platform_t *p;
	err_t e;
} fixture_t;

static platform_t *
new_client(const char *addr, ms_t timeout)
{
	platform_opts_t o = { .timeout = timeout, .user = "test" };
	err_t e;

	str_set(o.addr, sizeof(o.addr), addr);
	return platform_new(&o, &e);
}

static void
setup(fixture_t *b, const void *arg)
{
	int port;

	ports_take(&port, 1);
	b->addr = addr_of(port);
	b->proc = arg == NULL ? proc_start("standin-platform", "--listen",
				    b->addr, NULL)
			      : proc_start("standin-platform", "--listen",
				    b->addr, arg, NULL);
	g_assert_true(http_until(b->addr, "/control/stats", 200, START_MS));
	b->p = new_client(b->addr, SHORT_MS);
}

static void
teardown(fixture_t *b, const void *arg)
{
	(void)arg;
	platform_free(b->p);
	proc_kill(b->proc);
	g_free(b->addr);
}

static void
post_control(fixture_t *b, const char *path, const char *json)
{
	reply_t r = http_call("POST", b->addr, path, NULL, json, START_MS);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
}

static void
set_faults(fixture_t *b, const char *json)
{
	post_control(b, "/control/faults", json);
}

static uint64_t
put(fixture_t *b, const char *key, const char *value, uint64_t expect)
{
	uint64_t v = 0;

	b->e.code = ERR_NONE;
	if (platform_put(b->p, key, value, strlen(value), expect, &v, &b->e) ==
	    -1)
		return 0;
	return v;
}

static void
conditional_writes(fixture_t *b, const void *arg)
{
	uint64_t v1, v2;
	object_t o;

	(void)arg;
	g_assert_cmpint(platform_get(b->p, "a/b c", &o, &b->e), ==, -1);
	g_assert_cmpint(b->e.code, ==, ERR_NOT_FOUND);
	v1 = put(b, "a/b c", "1", 0);
	g_assert_cmpuint(v1, !=, 0);
	g_assert_cmpuint(put(b, "a/b c", "2", 0), ==, 0);
	g_assert_cmpint(b->e.code, ==, ERR_CONFLICT);
	v2 = put(b, "a/b c", "2", v1);
	g_assert_cmpuint(v2, >, v1);
	g_assert_cmpuint(put(b, "a/b c", "3", v1), ==, 0);
	g_assert_cmpint(b->e.code, ==, ERR_CONFLICT);
	g_assert_cmpint(platform_get(b->p, "a/b c", &o, &b->e), ==, 0);
	g_assert_cmpstr(o.value, ==, "2");
	g_assert_cmpuint(o.version, ==, v2);
	object_clear(&o);
	g_assert_cmpint(platform_delete(b->p, "a/b c", v1, &b->e), ==, -1);
	g_assert_cmpint(b->e.code, ==, ERR_CONFLICT);
	g_assert_cmpint(platform_delete(b->p, "a/b c", v2, &b->e), ==, 0);
	g_assert_cmpint(platform_delete(b->p, "a/b c", v2, &b->e), ==, -1);
	g_assert_cmpint(b->e.code, ==, ERR_NOT_FOUND);
}

static void
watch_returns_changes(fixture_t *b, const void *arg)
{
	objects_t l;
	uint64_t since;
	int i;

	(void)arg;
	put(b, "note/1", "one", 0);
	put(b, "other/1", "x", 0);
	g_assert_cmpint(platform_list(b->p, "note/", &l, &b->e), ==, 0);
	g_assert_cmpint(l.n, ==, 1);
	since = l.version;
	objects_clear(&l);
	/* Without a change the answer is empty and gives the next version. */
	g_assert_cmpint(
	    platform_watch(b->p, "note/", since, 20, &l, &b->e), ==, 0);
	g_assert_cmpint(l.n, ==, 0);
	g_assert_cmpuint(l.version, >=, since);
	objects_clear(&l);
	put(b, "note/2", "two", 0);
	put(b, "other/2", "x", 0);
	put(b, "note/2", "two again", since + 1);
	g_assert_cmpint(
	    platform_watch(b->p, "note/", since, 1000, &l, &b->e), ==, 0);
	g_assert_cmpint(l.n, ==, 1);
	g_assert_cmpstr(l.item[0].value, ==, "two again");
	since = l.version;
	objects_clear(&l);
	g_assert_cmpint(platform_delete(b->p, "note/1", 0, &b->e), ==, -1);
	g_assert_cmpint(platform_delete(b->p, "note/1", 1, &b->e), ==, 0);
	g_assert_cmpint(
	    platform_watch(b->p, "note/", since, 1000, &l, &b->e), ==, 0);
	g_assert_cmpint(l.n, ==, 1);
	g_assert_true(l.item[0].deleted);
	objects_clear(&l);
	/* More changes than the platform keeps for watches. */
	for (i = 0; i < 9000; i++)
		g_assert_cmpuint(
		    put(b, "many", "x", i == 0 ? 0 : since + 1 + i), !=, 0);
	g_assert_cmpint(
	    platform_watch(b->p, "note/", since, 0, &l, &b->e), ==, -1);
	g_assert_cmpint(b->e.code, ==, ERR_NOT_FOUND);
}

typedef struct expected_key {
	platform_t *p;
	const char *key;
	bool exists;
} expected_key_t;

static bool
key_is_as_expected(void *user)
{
	expected_key_t *l = user;
	object_t o;
	err_t e;
	bool there = platform_get(l->p, l->key, &o, &e) == 0;

	if (there)
		object_clear(&o);
	return there == l->exists;
}

/* The error for each fault, and whether the write took effect. */
static void
faults_give_exact_errors(fixture_t *b, const void *arg)
{
	static const struct {
		const char *fault, *repair;
		err_code_t write, read;
		bool written;
	} rows[] = {
		{ "{}", "{}", ERR_NONE, ERR_NONE, true },
		{ "{\"drop_replies\":1}", "{}", ERR_UNKNOWN, ERR_NONE, true },
		{ "{\"outage_ms\":-1}", "{\"outage_ms\":0}", ERR_DOWN, ERR_DOWN,
		    false },
		{ "{\"delay_ms\":1000}", "{\"delay_ms\":0}", ERR_UNKNOWN,
		    ERR_UNKNOWN, true },
		{ "{\"hang_ms\":-1}", "{\"hang_ms\":0}", ERR_UNKNOWN,
		    ERR_UNKNOWN, true },
	};
	size_t i;

	(void)arg;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *key = g_strdup_printf("row/%zu", i);
		expected_key_t look;
		object_t o;
		int got;

		/* Makes the next request reuse a connection. */
		put(b, "warm", "x", 0);
		set_faults(b, rows[i].fault);
		put(b, key, "x", 0);
		g_assert_cmpint(b->e.code, ==, rows[i].write);
		b->e.code = ERR_NONE;
		got = platform_get(b->p, "warm", &o, &b->e);
		g_assert_cmpint(b->e.code, ==, rows[i].read);
		if (got == 0)
			object_clear(&o);
		set_faults(b, rows[i].repair);
		look = (expected_key_t){ b->p, key, rows[i].written };
		g_assert_true(eventually(key_is_as_expected, &look, START_MS));
		g_free(key);
	}
	proc_kill(b->proc);
	b->proc = NULL;
	put(b, "gone", "x", 0);
	g_assert_cmpint(b->e.code, ==, ERR_DOWN);
}

static void
rate_limit_gives_full(fixture_t *b, const void *arg)
{
	int i, full = 0;

	(void)arg;
	for (i = 0; i < 200; i++)
		if (put(b, "key", "x", 0) == 0 && b->e.code == ERR_FULL)
			full++;
	g_assert_cmpint(full, >, 0);
	g_assert_cmpint(full, <, 200);
}

static void
instance_list_lags(fixture_t *b, const void *arg)
{
	instances_t l;

	(void)arg;
	post_control(b, "/control/instances",
	    "{\"id\":\"w1\",\"role\":\"worker\",\"domain\":\"d\",\"state\":"
	    "\"live\",\"service\":\"s\",\"addr\":\"127.0.0.1:1\","
	    "\"memory_mb\":100,\"slots\":4}");
	post_control(b, "/control/instances", "{\"id\":\"bad\"}");
	g_assert_cmpint(platform_instances(b->p, &l, &b->e), ==, 0);
	g_assert_cmpint(l.n, ==, 1);
	g_assert_cmpint(l.item[0].memory_mb, ==, 100);
	g_assert_cmpint(l.item[0].role, ==, ROLE_WORKER);
	instances_clear(&l);
	set_faults(b, "{\"list_lag_ms\":60000}");
	g_assert_cmpint(platform_instances(b->p, &l, &b->e), ==, 0);
	g_assert_cmpint(l.n, ==, 0);
	instances_clear(&l);
}

enum {
	TTL_MS = 4000
};

/* Two contenders for a lease, each with a clock that the test sets. */
typedef struct contenders {
	msclock_t clock[2];
	lease_t l[2];
	err_t e;
} contenders_t;

static void
contenders_init(contenders_t *r)
{
	int i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < 2; i++) {
		r->clock[i].kind = CLOCK_FAKE;
		/* The clocks are unrelated. */
		r->clock[i].fake_now = 1000000 + 777777 * i;
		lease_init(&r->l[i], "planner", i == 0 ? "a" : "b", TTL_MS,
		    &r->clock[i]);
	}
}

static err_code_t
keep_lease(fixture_t *b, contenders_t *r, int i)
{
	r->e.code = ERR_NONE;
	lease_acquire(&r->l[i], b->p, &r->e);
	return r->e.code;
}

static void
advance_clocks(contenders_t *r, ms_t span)
{
	r->clock[0].fake_now += span;
	r->clock[1].fake_now += span;
}

static void
lease_changes_holder(fixture_t *b, const void *arg)
{
	contenders_t r;

	(void)arg;
	contenders_init(&r);
	g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_NONE);
	g_assert_cmpuint(r.l[0].fencing_token, ==, 1);
	g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_CONFLICT);
	/* Renewed in time: the contender's wait starts again. */
	advance_clocks(&r, TTL_MS / 2);
	g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_NONE);
	advance_clocks(&r, TTL_MS / 2);
	g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_CONFLICT);
	g_assert_cmpuint(r.l[0].fencing_token, ==, 1);
	/*
	 * Not renewed: the holder's own clock shows that it has expired
	 * before the contender can take it.
	 */
	advance_clocks(&r, TTL_MS - 1);
	g_assert_false(lease_held(&r.l[0]));
	g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_CONFLICT);
	advance_clocks(&r, 1);
	g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_NONE);
	g_assert_cmpuint(r.l[1].fencing_token, ==, 2);
	g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_CONFLICT);
	g_assert_cmpuint(r.l[0].fencing_token, ==, 0);
	/* Dropped: free at once, and the fencing token still increases. */
	g_assert_cmpint(lease_drop(&r.l[1], b->p, &r.e), ==, 0);
	g_assert_false(lease_held(&r.l[1]));
	g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_NONE);
	g_assert_cmpuint(r.l[0].fencing_token, ==, 3);
}

/* A holder whose clock stopped learns of the takeover at its next write. */
static void
stopped_clock_is_detected(fixture_t *b, const void *arg)
{
	contenders_t r;

	(void)arg;
	contenders_init(&r);
	g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_NONE);
	g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_CONFLICT);
	r.clock[1].fake_now += TTL_MS;
	g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_NONE);
	g_assert_true(lease_held(&r.l[0]));
	g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_CONFLICT);
	g_assert_false(lease_held(&r.l[0]));
	g_assert_cmpuint(r.l[1].fencing_token, ==, 2);
}

/* Faults while the lease is acquired or renewed. */
static void
lost_replies_are_resolved(fixture_t *b, const void *arg)
{
	static const struct {
		const char *fault, *repair;
		bool renewing;
		err_code_t code;
		/* After the next successful renewal. */
		uint64_t fencing_token_after;
	} rows[] = {
		{ "{\"drop_replies\":1}", "{}", false, ERR_NONE, 1 },
		{ "{\"drop_replies\":1}", "{}", true, ERR_NONE, 1 },
		{ "{\"drop_replies\":2}", "{}", false, ERR_NONE, 1 },
		{ "{\"outage_ms\":-1}", "{\"outage_ms\":0}", false, ERR_DOWN,
		    1 },
		{ "{\"outage_ms\":-1}", "{\"outage_ms\":0}", true, ERR_DOWN,
		    1 },
		{ "{\"hang_ms\":-1}", "{\"hang_ms\":0}", true, ERR_UNKNOWN, 1 },
		{ "{\"stale_reads\":1}", "{\"stale_reads\":0}", true, ERR_NONE,
		    1 },
	};
	size_t i;

	(void)arg;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		contenders_t r;
		char *name = g_strdup_printf("row%zu", i);

		contenders_init(&r);
		str_set(r.l[0].name, sizeof(r.l[0].name), name);
		str_set(r.l[1].name, sizeof(r.l[1].name), name);
		if (rows[i].renewing)
			g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_NONE);
		set_faults(b, rows[i].fault);
		g_assert_cmpint(keep_lease(b, &r, 0), ==, rows[i].code);
		set_faults(b, rows[i].repair);
		g_assert_cmpint(keep_lease(b, &r, 0), ==, ERR_NONE);
		g_assert_cmpuint(
		    r.l[0].fencing_token, ==, rows[i].fencing_token_after);
		g_assert_true(lease_held(&r.l[0]));
		g_assert_cmpint(keep_lease(b, &r, 1), ==, ERR_CONFLICT);
		g_free(name);
	}
}

/* The weight store limits the rate of model loads; each takes some time. */
static void
weight_loads_are_rate_limited(fixture_t *b, const void *arg)
{
	static const struct {
		const char *load;
		ms_t least, most;
	} rows[] = {
		{ "{\"worker\":\"w\",\"kind\":\"adapter\",\"mb\":1}", 6,
		    START_MS },
		{ "{\"worker\":\"w\",\"kind\":\"model\",\"mb\":1}", 500,
		    START_MS },
		/* 60 a minute: the next load waits. */
		{ "{\"worker\":\"w\",\"kind\":\"model\",\"mb\":1}", 900,
		    START_MS },
	};
	size_t i;

	(void)arg;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		ms_t start = clock_now(&machine_clock), took;

		post_control(b, "/v1/store/loads", rows[i].load);
		took = clock_now(&machine_clock) - start;
		g_assert_cmpint(took, >=, rows[i].least);
		g_assert_cmpint(took, <, rows[i].most);
	}
}

static void
add_record(audit_t *a, const char *subject, const char *kind, int64_t at)
{
	audit_record_t r = { .at = at, .who = "op", .what = "changed \xff" };

	str_set(r.subject, sizeof(r.subject), subject);
	str_set(r.kind, sizeof(r.kind), kind);
	audit_add(a, &r);
}

typedef struct expected_trail {
	fixture_t *b;
	audit_filter_t f;
	size_t n;      /* records expected */
	json_t *found; /* last answer, or NULL */
} expected_trail_t;

static bool
trail_is_complete(void *user)
{
	expected_trail_t *t = user;
	char *text = audit_read(t->b->p, &t->f, &t->b->e);

	json_decref(t->found);
	t->found = text == NULL ? NULL : json_loads(text, 0, NULL);
	free(text);
	return t->found != NULL && json_array_size(t->found) >= t->n;
}

static audit_t *
open_audit(fixture_t *b, settings_t *s)
{
	audit_t *a;

	settings_init(s);
	s->platform.timeout_ms = SHORT_MS;
	str_set(s->platform.addr, ADDR_MAX, b->addr);
	str_set(s->instance.id, ID_MAX, "e1");
	g_assert_nonnull(a = audit_new(s, &b->e));
	return a;
}

static void
audit_filter_selects_records(fixture_t *b, const void *arg)
{
	static const int64_t day = 24 * 3600 * 1000, noon = 1000 * 86400000LL;
	static const struct {
		audit_filter_t f;
		size_t n;
	} rows[] = {
		{ { 0 }, 4 },
		{ { .subject = "n1" }, 2 },
		{ { .kind = "lease" }, 1 },
		{ { .from = noon + 1 }, 3 },
		{ { .from = noon, .to = noon + day }, 2 },
		{ { .to = noon }, 1 },
		{ { .model = "none" }, 0 },
	};
	settings_t s;
	audit_t *a = open_audit(b, &s);
	size_t i;

	(void)arg;
	add_record(a, "n1", "note", noon);
	add_record(a, "n2", "note", noon + day);
	add_record(a, "n1", "lease", noon + 2 * day);
	add_record(a, "n3", "note", 0);
	audit_free(a);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		expected_trail_t t = { b, rows[i].f, rows[i].n, NULL };

		g_assert_true(trail_is_complete(&t));
		g_assert_cmpuint(json_array_size(t.found), ==, rows[i].n);
		json_decref(t.found);
	}
}

/* Each record appears once and in order despite faults of the platform. */
static void
audit_survives_faults(fixture_t *b, const void *arg)
{
	static const char *const fault[] = { "{}", "{\"drop_replies\":3}",
		"{\"outage_ms\":1500}", "{\"hang_ms\":1500}",
		"{\"delay_ms\":1000}", "{\"delay_ms\":0}" };
	settings_t s;
	audit_t *a = open_audit(b, &s);
	expected_trail_t t = { .b = b };
	char name[ID_MAX];
	int n = 0;
	size_t i;

	(void)arg;
	for (i = 0; i < G_N_ELEMENTS(fault); i++) {
		int more;

		set_faults(b, fault[i]);
		for (more = 0; more < 300; more++) {
			snprintf(name, sizeof(name), "r%d", n++);
			add_record(a, name, "note", 0);
			if (more % 100 == 0)
				clock_sleep(SHORT_MS);
		}
	}
	t.n = (size_t)n;
	g_assert_true(eventually(trail_is_complete, &t, 4 * START_MS));
	g_assert_cmpuint(json_array_size(t.found), ==, t.n);
	for (i = 0; i < t.n; i++) {
		snprintf(name, sizeof(name), "r%zu", i);
		g_assert_cmpstr(name, ==,
		    json_string_value(json_object_get(
			json_array_get(t.found, i), "subject")));
	}
	json_decref(t.found);
	audit_free(a);
}

static bool
trail_sum_matches(void *user)
{
	expected_trail_t *t = user;
	size_t i, sum = 0;
	json_t *r;

	trail_is_complete(t);
	json_array_foreach(t->found, i, r)
	{
		if (strcmp(json_string_value(json_object_get(r, "kind")),
			"audit") == 0)
			sum += json_integer_value(json_object_get(r, "number"));
		else
			sum++;
	}
	return sum == t->n;
}

/* Records that don't fit in memory are counted in a record of their own. */
static void
dropped_records_are_counted(fixture_t *b, const void *arg)
{
	settings_t s;
	audit_t *a = open_audit(b, &s);
	expected_trail_t t = { .b = b, .n = 30000 };
	size_t i;

	(void)arg;
	set_faults(b, "{\"outage_ms\":-1}");
	for (i = 0; i < t.n; i++) {
		add_record(a, "r", "note", 0);
		if (i % 1000 == 0)
			clock_sleep(10);
	}
	set_faults(b, "{\"outage_ms\":0}");
	g_assert_true(eventually(trail_sum_matches, &t, 4 * START_MS));
	g_assert_cmpuint(json_array_size(t.found), <, t.n);
	json_decref(t.found);
	audit_free(a);
}

static void
add(const char *name, const char *option,
    void (*run)(fixture_t *, const void *))
{
	g_test_add(name, fixture_t, option, setup, run, teardown);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/platform/conditions", NULL, conditional_writes);
	add("/platform/watch", NULL, watch_returns_changes);
	add("/platform/outcomes", NULL, faults_give_exact_errors);
	add("/platform/rates", "--writes-per-s=50", rate_limit_gives_full);
	add("/platform/list", NULL, instance_list_lags);
	add("/platform/weights", "--loads-per-min=60",
	    weight_loads_are_rate_limited);
	add("/lease/passes", NULL, lease_changes_holder);
	add("/lease/stopped-clock", NULL, stopped_clock_is_detected);
	add("/lease/lost-replies", NULL, lost_replies_are_resolved);
	add("/audit/filter", NULL, audit_filter_selects_records);
	add("/audit/faults", NULL, audit_survives_faults);
	add("/audit/dropped", NULL, dropped_records_are_counted);
	return g_test_run();
}
