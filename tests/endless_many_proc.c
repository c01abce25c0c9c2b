/*
 * One daemon and many endpoints that send bytes without end, each of its kind,
 * at the same time.
 */
#include "standin/endless_peer.h"
#include "tests/fixture.h"

enum {
	FAULTY = 50,
	CALLS = 300, /* at faulty endpoints, by callers that read nothing */
	OTHER_CALLS = 60,
	KNOWN_MS = 2000, /* until the daemon has read the entries */
	ANSWER_MS = 4000,
	MEMORY_LIMIT_KB = 260 << 10, /* limits.memory_mb of the settings */
};

static const char routes[] =
    ",{\"name\":\"long\",\"host\":\"h.example\",\"path_prefix\":\"/long/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":8000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"faulty\",\"max_attempts\":2},"
    "{\"name\":\"gen2\",\"host\":\"h.example\",\"path_prefix\":\"/gen2/\","
    "\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":3000,"
    "\"priority\":1,\"service\":\"llm\",\"max_attempts\":3,\"sticky\":true,"
    "\"resumable\":true,\"gap_aim_ms\":400}";
static const char plain[] = "Deadline-Remaining: 8000\r\n";
static const char stream[] =
    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 8000\r\n";

static endless_peer_t *
add_faulty(fixture_t *st, int i)
{
	endless_peer_t *peer;
	char *addr, *text, id[16];
	int port;

	ports_take(&port, 1);
	addr = addr_of(port);
	snprintf(id, sizeof(id), "faulty-%d", i);
	/* Half of each kind are engines. */
	peer = endless_peer_new(
	    &st->loop, addr, (endless_kind_t)(i / 2 % ENDLESS_SURPLUS), false);
	text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"born\":1000,\"seq\":1%s}",
	    i % 2 == 0 ? "faulty" : "llm", addr,
	    i % 2 == 0 ? ""
		       : ",\"models\":[{\"name\":\"m1\",\"version\":1,"
			 "\"adapters\":[]}]");
	fake_store_put(st->store, "servers", id, text);
	g_free(text);
	g_free(addr);
	return peer;
}

/* @return how many of the calls were served */
static int
call_sound(fixture_t *st)
{
	char id[16];
	int i, served = 0;

	for (i = 0; i < OTHER_CALLS; i++) {
		caller_t *c;

		snprintf(id, sizeof(id), "other%d", i);
		c = caller_call(st, 0, "POST", "/once/a", id, plain);
		g_assert_true(caller_wait(c, ANSWER_MS));
		served += c->status == 200;
		caller_free(c);
	}
	return served;
}

/*
 * Guards against a daemon that keeps what faulty endpoints send until it is out
 * of memory, with the requests of all other callers.
 */
static void
memory_stays_bounded_and_others_are_served(void)
{
	fixture_t *st = fixture_new();
	endless_peer_t *peer[FAULTY];
	caller_t *c[CALLS];
	char id[16];
	long idle, peak;
	int i, asked = 0, served;

	fixture_put_config(st, routes);
	fixture_add_endpoint(
	    st, &(fake_endpoint_opts_t){ .plain_ms = 5 }, "app");
	for (i = 0; i < FAULTY; i++)
		peer[i] = add_faulty(st, i);
	fixture_start_daemon(st, 0, true);
	fixture_run(st, KNOWN_MS);
	idle = proc_memory_kb(st->daemon[0], "VmRSS:");
	for (i = 0; i < CALLS; i++) {
		snprintf(id, sizeof(id), "faulty%d", i);
		c[i] = caller_call(st, 0, "POST",
		    i % 2 == 0 ? "/long/a" : "/gen2/a", id,
		    i % 2 == 0 ? plain : stream);
		http_conn_pause(c[i]->http, true);
	}
	served = call_sound(st);
	for (i = 0; i < FAULTY; i++)
		asked += endless_peer_requests(peer[i]) > 0;
	g_assert_false(proc_ended(st->daemon[0], 0));
	peak = proc_memory_kb(st->daemon[0], "VmHWM:");
	g_test_message("%d endpoints asked, idle %ld KB, peak %ld KB, %d of "
		       "%d other calls served",
	    asked, idle, peak, served, OTHER_CALLS);
	g_assert_cmpint(asked, ==, FAULTY);
	g_assert_cmpint(served, ==, OTHER_CALLS);
	/* A quarter for what is held, and as much for what isn't sent. */
	g_assert_cmpint(peak, <, idle + MEMORY_LIMIT_KB / 2);
	for (i = 0; i < CALLS; i++)
		caller_free(c[i]);
	for (i = 0; i < FAULTY; i++)
		endless_peer_free(peer[i]);
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/endless-many/memory_stays_bounded_and_others_are_served",
	    memory_stays_bounded_and_others_are_served);
	return g_test_run();
}
