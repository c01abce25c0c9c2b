/*
 * Daemons' reactions to changes in the store, to faults of endpoints and of
 * each other, and to signals.
 */
#include "tests/fixture.h"

#include <signal.h>
#include <string.h>

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };
static const fake_endpoint_opts_t stream = {
	.model = "m1", .events = 8, .event_gap = 20, .adapter_slots = 4
};

static const char *const added_route =
    ",{\"name\":\"new\",\"host\":\"h.example\",\"path_prefix\":\"/new/\","
    "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"app\",\"max_attempts\":2}";

static int
status_of(fixture_t *st, int daemon, const char *path, const char *id)
{
	caller_t *c = caller_call(
	    st, daemon, "GET", path, id, "Deadline-Remaining: 1500\r\n");
	int status;

	caller_wait(c, 2500);
	status = c->done ? c->status : 0;
	caller_free(c);
	return status;
}

typedef struct expect {
	fixture_t *st;
	int daemon;
	const char *path;
	int status;
	int n;
} expect_t;

static bool
answers_as_expected(void *arg)
{
	expect_t *x = arg;
	char id[32];

	snprintf(id, sizeof(id), "try-%d-%d", x->daemon, x->n++);
	return status_of(x->st, x->daemon, x->path, id) == x->status;
}

static void
configuration_is_applied_in_time(void)
{
	fixture_t *st = fixture_new();
	expect_t x = { st, 0, "/new/a", 200, 0 };

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	g_assert_cmpint(status_of(st, 0, "/new/a", "r1"), ==, 404);
	fixture_put_config(st, added_route);
	g_assert_true(fixture_run_until(st, answers_as_expected, &x, 1500));
	fixture_free(st);
}

/*
 * A watch that is started while the store mutes watches never reports the
 * change, so the daemon must watch again by itself.
 */
static void
missed_configuration_change_is_found(void)
{
	fixture_t *st = fixture_new();
	expect_t x = { st, 0, "/new/a", 200, 0 };

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	fixture_run(st, 500);
	fake_store_mute_watches(st->store, true);
	fixture_put_config(st, added_route);
	fixture_run(st, 300);
	fake_store_mute_watches(st->store, false);
	fake_store_compact(st->store);
	g_assert_true(fixture_run_until(st, answers_as_expected, &x, 1800));
	fixture_free(st);
}

/* An older configuration in the store mustn't replace the one in effect. */
static void
configuration_version_never_decreases(void)
{
	fixture_t *st = fixture_new();
	expect_t x = { st, 0, "/new/a", 200, 0 };

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	fixture_put_config(st, added_route);
	g_assert_true(fixture_run_until(st, answers_as_expected, &x, 1500));
	st->config_version -= 2;
	fixture_put_config(st, "");
	fixture_run(st, 1000);
	g_assert_cmpint(status_of(st, 0, "/new/a", "last"), ==, 200);
	fixture_free(st);
}

static void
leaving_endpoint_gets_no_call(void)
{
	fixture_t *st = fixture_new();
	guint before;
	int i;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	for (i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "a%d", i);
		g_assert_cmpint(status_of(st, 0, "/safe/a", id), ==, 200);
	}
	fixture_put_entry(st, 0, "app", true);
	fixture_run(st, 1000);
	before = fake_endpoint_executed(st->endpoint[0])->len;
	for (i = 0; i < 10; i++) {
		char id[16];

		snprintf(id, sizeof(id), "b%d", i);
		g_assert_cmpint(status_of(st, 0, "/safe/a", id), ==, 200);
	}
	g_assert_cmpuint(
	    fake_endpoint_executed(st->endpoint[0])->len, ==, before);
	fixture_free(st);
}

/* Malformed entries name no endpoint and don't disturb the others. */
static void
malformed_entries_are_ignored(void)
{
	static const char *const bad[] = { "7", "{}", "[]", "null",
		"{\"service\":\"app\",\"address\":\"nowhere\",\"zone\":\"z\","
		"\"slots\":8,\"state\":\"ready\"}",
		"{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":7,"
		"\"slots\":8,\"state\":\"ready\"}",
		"{\"service\":\"app\",\"address\":\"127.0.0.1:9\","
		"\"zone\":\"z\",\"slots\":\"x\",\"state\":\"odd\"}" };
	fixture_t *st = fixture_new();
	size_t i;
	int n;

	fixture_put_config(st, "");
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		char name[16];

		snprintf(name, sizeof(name), "bad-%zu", i);
		fake_store_put(st->store, "servers", name, bad[i]);
	}
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	for (n = 0; n < 8; n++) {
		char id[16];

		snprintf(id, sizeof(id), "a%d", n);
		g_assert_cmpint(status_of(st, 0, "/safe/a", id), ==, 200);
	}
	fixture_free(st);
}

/* During store faults calls are served with the last known state. */
static void
calls_are_served_during_store_faults(void)
{
	static const store_fault_t faults[] = { STORE_SILENT, STORE_BUSY,
		STORE_RATE_LIMIT, STORE_RESET, STORE_LOST_ANSWER };
	fixture_t *st = fixture_new();
	expect_t x = { st, 0, "/new/a", 200, 0 };
	size_t i;
	int n;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		fake_store_set_fault(st->store, faults[i]);
		fake_store_compact(st->store);
		for (n = 0; n < 4; n++) {
			char id[24];

			snprintf(id, sizeof(id), "a%zu-%d", i, n);
			g_assert_cmpint(
			    status_of(st, 0, "/safe/a", id), ==, 200);
			fixture_run(st, 100);
		}
		fake_store_set_fault(st->store, STORE_OK);
	}
	fixture_put_config(st, added_route);
	g_assert_true(fixture_run_until(st, answers_as_expected, &x, 3500));
	fixture_free(st);
}

/*
 * Entries that expired while the store was down are written again, so the
 * daemon keeps using these endpoints meanwhile.
 */
static void
expired_entries_return_after_an_outage(void)
{
	fixture_t *st = fixture_new();
	int n;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	fake_store_set_fault(st->store, STORE_BUSY);
	fake_store_compact(st->store);
	fixture_run(st, 1200);
	fake_store_del(st->store, "servers", "ep-0");
	fake_store_compact(st->store);
	fake_store_set_fault(st->store, STORE_OK);
	for (n = 0; n < 6; n++) {
		char id[16];

		snprintf(id, sizeof(id), "a%d", n);
		g_assert_cmpint(status_of(st, 0, "/safe/a", id), ==, 200);
		fixture_run(st, 200);
	}
	fixture_put_entry(st, 0, "app", false);
	fixture_run(st, 2500);
	g_assert_cmpint(status_of(st, 0, "/safe/a", "back"), ==, 200);
	/* An entry that isn't written again is removed. */
	fake_store_del(st->store, "servers", "ep-0");
	fixture_run(st, 3500);
	g_assert_cmpint(status_of(st, 0, "/safe/a", "gone"), ==, 503);
	fixture_free(st);
}

static bool
lists_two(void *arg)
{
	fixture_t *st = arg;
	char *body = NULL;
	bool ok = page_status(st, st->entries[0],
		      "/v1/resolve?name=h&region=r&zone=north", &body) == 200 &&
		  strstr(body, st->caller[0]) != NULL &&
		  strstr(body, st->caller[1]) != NULL;

	g_free(body);
	return ok;
}

static bool
lists_first_only(void *arg)
{
	fixture_t *st = arg;
	char *body = NULL;
	bool ok = page_status(st, st->entries[0],
		      "/v1/resolve?name=h&region=r&zone=north", &body) == 200 &&
		  strstr(body, st->caller[0]) != NULL &&
		  strstr(body, st->caller[1]) == NULL;

	g_free(body);
	return ok;
}

static void
stopped_instance_finishes_its_calls(void)
{
	static const fake_endpoint_opts_t slow = {
		.model = "m1", .events = 60, .event_gap = 30
	};
	fixture_t *st = fixture_new();
	caller_t *c;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &slow, "llm");
	fixture_start_daemon(st, 0, true);
	fixture_start_daemon(st, 1, true);
	g_assert_true(fixture_run_until(st, lists_two, st, 4000));
	c = caller_call(st, 1, "POST", "/gen/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n");
	g_assert_true(fixture_run_until(st, fixture_call_ran, st, 1000));
	proc_signal(st->daemon[1], SIGTERM);
	g_assert_true(fixture_run_until(st, lists_first_only, st, 400));
	g_assert_cmpint(
	    page_status(st, st->ready[1], "/v1/ready", NULL), ==, 503);
	g_assert_true(caller_wait(c, 4000));
	g_assert_true(c->done);
	g_assert_cmpint(c->status, ==, 200);
	caller_free(c);
	fixture_run(st, 2500);
	g_assert_true(proc_ended(st->daemon[1], 3000));
	fixture_free(st);
}

/*
 * At the end of the grace period every call still open gets an error that says
 * that it may have run.
 */
static void
stopped_instance_answers_unfinished_calls(void)
{
	fixture_t *st = fixture_new();
	caller_t *c;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_SILENT);
	fixture_start_daemon(st, 0, true);
	proc_signal(st->daemon[0], SIGTERM);
	/* In the first 2000 ms calls are accepted that can't end in time. */
	fixture_run(st, 1900);
	c = caller_call(
	    st, 0, "POST", "/once/a", "r1", "Deadline-Remaining: 9000\r\n");
	g_assert_true(caller_wait(c, 4000));
	g_assert_true(c->done);
	g_assert_true(c->status == 502 || c->status == 504);
	caller_free(c);
	g_assert_true(proc_ended(st->daemon[0], 3000));
	fixture_free(st);
}

static void
killed_instance_is_removed_from_the_list(void)
{
	fixture_t *st = fixture_new();

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	fixture_start_daemon(st, 1, true);
	g_assert_true(fixture_run_until(st, lists_two, st, 4000));
	proc_signal(st->daemon[1], SIGKILL);
	g_assert_true(fixture_run_until(st, lists_first_only, st, 3500));
	proc_kill(st->daemon[1]);
	st->daemon[1] = NULL;
	fixture_start_daemon(st, 1, true);
	g_assert_true(fixture_run_until(st, lists_two, st, 3000));
	fixture_free(st);
}

static void
adapter_is_loaded_on_demand(void)
{
	fixture_t *st = fixture_new();
	const received_order_t *o;
	caller_t *c;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &stream, "llm");
	fixture_start_daemon(st, 0, true);
	fixture_run(st, 1200);
	c = caller_call(st, 0, "POST", "/gen/a", "r1",
	    "Model: m1/a3\r\nToken-Usage: 100,20\r\n"
	    "Deadline-Remaining: 5000\r\n");
	g_assert_true(caller_wait(c, 4000));
	g_assert_cmpint(c->status, ==, 200);
	caller_free(c);
	g_assert_cmpuint(fake_endpoint_orders(st->endpoint[0])->len, >=, 1);
	o = fake_endpoint_orders(st->endpoint[0])->pdata[0];
	g_assert_cmpstr(o->op, ==, "load");
	g_assert_cmpint(o->expect_revision, >=, 0);
	g_assert_cmpint(o->token, >, 0);
	fixture_free(st);
}

typedef struct holder {
	fixture_t *st;
	char name[ID_MAX];
} holder_t;

static bool
has_holder(void *arg)
{
	holder_t *h = arg;
	const char *spec =
	    fake_store_get(h->st->store, "ebonypitch-leases", "planner");
	const char *p = spec != NULL ? strstr(spec, "\"holder\":\"") : NULL;

	if (p == NULL)
		return false;
	g_strlcpy(h->name, p + 10, sizeof(h->name));
	h->name[strcspn(h->name, "\"")] = '\0';
	return true;
}

static bool
has_other_holder(void *arg)
{
	holder_t *h = arg, now = { h->st, "" };

	return has_holder(&now) && strcmp(now.name, h->name) != 0;
}

static void
killed_holder_is_replaced(void)
{
	fixture_t *st = fixture_new();
	holder_t h = { st, "" };
	const GPtrArray *orders;
	ms_t killed;
	caller_t *c;
	int i;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &stream, "llm");
	fixture_start_daemon(st, 0, true);
	fixture_start_daemon(st, 1, true);
	g_assert_true(fixture_run_until(st, has_holder, &h, 4000));
	i = strcmp(h.name, "entry-0") == 0 ? 0 : 1;
	fixture_run(st, 1500);
	c = caller_call(st, i, "POST", "/gen/a", "r1",
	    "Model: m1/a1\r\nToken-Usage: 100,20\r\n"
	    "Deadline-Remaining: 5000\r\n");
	g_assert_true(caller_wait(c, 4000));
	caller_free(c);
	killed = clock_now(&machine_clock);
	proc_kill(st->daemon[i]);
	st->daemon[i] = NULL;
	g_assert_true(fixture_run_until(st, has_other_holder, &h, 6000));
	for (;;) {
		c = caller_call(st, 1 - i, "POST", "/gen/a", "r2",
		    "Model: m1/a2\r\nToken-Usage: 100,20\r\n"
		    "Deadline-Remaining: 5000\r\n");
		g_assert_true(caller_wait(c, 5500));
		if (c->status == 200)
			break;
		caller_free(c);
		g_assert_cmpint(clock_now(&machine_clock) - killed, <, 12000);
	}
	caller_free(c);
	/*
	 * The new holder's first order comes at least a lease time after the
	 * old one's last. The bound is less than lease_ms, 3000, since that
	 * order was sent before the kill.
	 */
	g_assert_cmpint(clock_now(&machine_clock) - killed, >=, 2800);
	orders = fake_endpoint_orders(st->endpoint[0]);
	g_assert_cmpint(
	    ((received_order_t *)orders->pdata[orders->len - 1])->token, >,
	    ((received_order_t *)orders->pdata[0])->token);
	fixture_free(st);
}

static void
settings_are_reloaded(void)
{
	fixture_t *st = fixture_new();
	char *text, *other;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	g_assert_true(g_file_get_contents(st->settings[0], &text, NULL, NULL));
	/* A malformed file is ignored. */
	g_file_set_contents(st->settings[0], "node_name: [", -1, NULL);
	proc_signal(st->daemon[0], SIGHUP);
	fixture_run(st, 300);
	g_assert_cmpint(status_of(st, 0, "/safe/a", "r1"), ==, 200);
	other = g_strdup_printf("%s\n", text);
	g_file_set_contents(st->settings[0], other, -1, NULL);
	proc_signal(st->daemon[0], SIGHUP);
	fixture_run(st, 300);
	g_assert_cmpint(status_of(st, 0, "/safe/a", "r2"), ==, 200);
	g_free(text);
	g_free(other);
	fixture_free(st);
}

static void
metrics_are_served(void)
{
	fixture_t *st = fixture_new();
	char *ip, *addr, *body = NULL;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	fixture_start_daemon(st, 0, true);
	g_assert_cmpint(status_of(st, 0, "/safe/a", "r1"), ==, 200);
	ip = g_strndup(st->caller[0], strcspn(st->caller[0], ":"));
	addr = g_strdup_printf("%s:9464", ip);
	g_assert_cmpint(page_status(st, addr, "/metrics", &body), ==, 200);
	g_assert_nonnull(
	    strstr(body, "ebonypitch_calls_total{outcome=\"served\"} 1"));
	g_assert_nonnull(strstr(body, "ebonypitch_whole_ms{quantile=\"0.5\"}"));
	g_free(ip);
	g_free(addr);
	g_free(body);
	fixture_free(st);
}

#define T(name) g_test_add_func("/daemon/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(configuration_is_applied_in_time);
	T(missed_configuration_change_is_found);
	T(configuration_version_never_decreases);
	T(leaving_endpoint_gets_no_call);
	T(malformed_entries_are_ignored);
	T(calls_are_served_during_store_faults);
	T(expired_entries_return_after_an_outage);
	T(stopped_instance_finishes_its_calls);
	T(stopped_instance_answers_unfinished_calls);
	T(killed_instance_is_removed_from_the_list);
	T(adapter_is_loaded_on_demand);
	T(killed_holder_is_replaced);
	T(settings_are_reloaded);
	T(metrics_are_served);
	return g_test_run();
}
