/*
 * Each caller gets its own complete answer when engines send faulty streams and
 * when a worker or an entry is killed or frozen.
 */
#include "tests/system.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum {
	CALL_MS = 20000,
	CALLS = 12,
	TOKENS = 120
};

static void
start_chats(system_t *s, background_t *c, int n, int nentry, const char *name)
{
	int i;

	for (i = 0; i < n; i++) {
		c[i] = (background_t){ .addr = s->entry[i % nentry].caller,
			.tokens = TOKENS,
			.retry = true,
			.timeout = CALL_MS };
		snprintf(c[i].prompt, sizeof(c[i].prompt), "%s-%d", name, i);
		background_start(&c[i]);
	}
}

static system_t *
start_system(void)
{
	system_opts_t o = { .nengine = 4, .token_ms = 10 };
	system_t *s = system_start(&o);

	system_apply_first_note(s, 1, 0);
	return s;
}

/* Each stream must be complete in spite of the engine's fault. */
static void
broken_streams_are_resumed(void)
{
	static const char *const faults[] = {
		"{\"cut_after\":40}",
		"{\"cross_events\":5}",
		"{\"double_events\":5}",
		"{\"no_end\":1}",
	};
	system_t *s = start_system();
	background_t c[CALLS];
	size_t f;
	int i;

	for (f = 0; f < G_N_ELEMENTS(faults); f++) {
		memset(c, 0, sizeof(c));
		system_set_faults(s->worker[0].addr, faults[f]);
		start_chats(s, c, CALLS, 2, "broken");
		background_join(c, CALLS);
		for (i = 0; i < CALLS; i++) {
			g_test_message("%s %d: %d tokens=%d %s", faults[f], i,
			    c[i].outcome.status, c[i].outcome.tokens,
			    c[i].outcome.code);
			g_assert_false(c[i].outcome.foreign);
			g_assert_true(c[i].outcome.whole);
		}
		system_set_faults(s->worker[0].addr,
		    "{\"cut_after\":0,\"cross_events\":0,"
		    "\"double_events\":0,\"no_end\":0}");
	}
	system_stop(s);
}

static int
busiest(system_t *s)
{
	int64_t max = -1, n;
	int i, worker = 0;

	for (i = 0; i < s->o.nengine; i++) {
		n = system_json_int(s->worker[i].addr, "/v1/load", "in_flight");
		if (n > max) {
			max = n;
			worker = i;
		}
	}
	return worker;
}

static void
worker_lost(int sig)
{
	system_t *s = start_system();
	background_t c[CALLS] = { 0 };
	int i, worker;

	start_chats(s, c, CALLS, 2, sig == SIGKILL ? "killed" : "frozen");
	clock_sleep(400);
	worker = busiest(s);
	proc_signal(s->worker[worker].proc, sig);
	background_join(c, CALLS);
	for (i = 0; i < CALLS; i++) {
		g_test_message("%d: %d tokens=%d %s", i, c[i].outcome.status,
		    c[i].outcome.tokens, c[i].outcome.code);
		g_assert_true(c[i].outcome.whole);
	}
	proc_signal(s->worker[worker].proc, SIGCONT);
	system_stop(s);
}

static void
killed_worker(void)
{
	worker_lost(SIGKILL);
}

static void
frozen_worker(void)
{
	worker_lost(SIGSTOP);
}

/* Streams of a killed entry can be resumed at another entry. */
static void
killed_entry(void)
{
	system_t *s = start_system();
	background_t c[CALLS] = { 0 };
	int i, cut = 0;

	start_chats(s, c, CALLS, 1, "entry");
	clock_sleep(400);
	proc_signal(s->entry[0].entryd, SIGKILL);
	background_join(c, CALLS);
	for (i = 0; i < CALLS; i++) {
		outcome_t rest = { 0 };
		char *full, *id, *body;
		reply_t r;

		g_assert_false(c[i].outcome.foreign);
		if (c[i].outcome.whole || c[i].outcome.tokens == 0)
			continue;
		cut++;
		full = g_strdup_printf("%s#%d", c[i].prompt, TOKENS);
		id = g_strdup_printf("Last-Event-ID: %s", c[i].outcome.last_id);
		body = g_strdup_printf(
		    "{\"model\":\"m0\",\"stream\":true,\"max_tokens\":%d,"
		    "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
		    TOKENS, full);
		/* Both ways to resume give the rest of the answer. */
		if (i % 2 == 0)
			r = http_call("GET", s->entry[1].caller, "/v1/resume",
			    id, NULL, CALL_MS);
		else
			r = http_call("POST", s->entry[1].caller,
			    "/v1/chat/completions", id, body, CALL_MS);
		g_test_message("%d: cut after %d, resumed %d", i,
		    c[i].outcome.tokens, r.status);
		g_assert_cmpint(r.status, ==, 200);
		outcome_check(&rest, r.body, full, c[i].outcome.tokens, TOKENS);
		g_assert_true(rest.whole);
		reply_clear(&r);
		g_free(full);
		g_free(id);
		g_free(body);
	}
	g_assert_cmpint(cut, >, 0);
	system_stop(s);
}

static void
foreign_tokens_are_refused(void)
{
	system_t *s = start_system();
	outcome_t a =
	    system_chat(s->entry[0].caller, "m0", "mine", 20, CALL_MS);
	char *id;
	reply_t r;

	g_assert_true(a.whole);
	/* The token of another caller with one's own prompt. */
	id = g_strdup_printf("Last-Event-ID: %s", a.last_id);
	r = http_call("POST", s->entry[1].caller, "/v1/chat/completions", id,
	    "{\"model\":\"m0\",\"stream\":true,\"messages\":[{\"role\":"
	    "\"user\",\"content\":\"yours\"}]}",
	    CALL_MS);
	g_assert_cmpint(r.status, ==, 400);
	g_assert_nonnull(strstr(r.body, "bad_token"));
	reply_clear(&r);
	g_free(id);
	/* A forged token. */
	a.last_id[0] ^= 1;
	id = g_strdup_printf("Last-Event-ID: %s", a.last_id);
	r = http_call(
	    "GET", s->entry[1].caller, "/v1/resume", id, NULL, CALL_MS);
	g_assert_cmpint(r.status, ==, 400);
	reply_clear(&r);
	g_free(id);
	system_stop(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/streams/broken-streams", broken_streams_are_resumed);
	g_test_add_func("/streams/killed-worker", killed_worker);
	g_test_add_func("/streams/frozen-worker", frozen_worker);
	g_test_add_func("/streams/killed-entry", killed_entry);
	g_test_add_func("/streams/foreign-tokens", foreign_tokens_are_refused);
	return g_test_run();
}
