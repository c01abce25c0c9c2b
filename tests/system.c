#include "tests/system.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	CALL_MS = 5000,
	MODEL_MB = 8000,
	ADAPTER_MB = 200
};

static void
write_settings(system_t *s)
{
	GString *g = g_string_new("[deployment]\nname = test\n");
	char *path = g_strdup_printf("%s/system.ini", s->dir);
	int i;

	for (i = 0; i < s->o.ndomain; i++)
		g_string_append_printf(g, "[domain d%d]\nregion = r\n", i);
	g_string_append_printf(g,
	    "[service llm]\nkind = engine\nfencing = %s\nslots = %d\n"
	    "[service web]\nkind = plain\nrepeat = never\n"
	    "timeout_ms = 5000\n"
	    "[platform]\naddr = %s\ntimeout_ms = 1000\nlease_ms = 2000\n"
	    "[peer]\nheartbeat_ms = 100\ndead_ms = 600\n"
	    "[broker]\nload_poll_ms = 100\n[place]\nplan_ms = 100\n",
	    s->o.no_fencing ? "no" : "yes", s->o.slots, s->platform_addr);
	g_assert_true(g_file_set_contents(path, g->str, -1, NULL));
	g_string_free(g, TRUE);
	g_free(path);
}

static void
write_entry(system_t *s, entry_proc_t *e, int n)
{
	char *text = g_strdup_printf("[instance]\nid = %s\ndomain = d%d\n"
				     "caller_addr = %s\npeer_addr = %s\n"
				     "operator_addr = %s\nsecret = shared\n",
	    e->id, n % s->o.ndomain, e->caller, e->peer, e->operator);

	e->file = g_strdup_printf("%s/%s.ini", s->dir, e->id);
	g_assert_true(g_file_set_contents(e->file, text, -1, NULL));
	g_free(text);
}

static void
post(const char *addr, const char *path, const char *json)
{
	reply_t r = http_call("POST", addr, path, NULL, json, CALL_MS);

	if (r.status / 100 != 2)
		g_error(
		    "POST %s%s %s: %d %s", addr, path, json, r.status, r.body);
	reply_clear(&r);
}

static void
list_entry(system_t *s, int n, bool leaving)
{
	entry_proc_t *e = &s->entry[n];
	char *json = g_strdup_printf(
	    "{\"id\":\"%s\",\"role\":\"entry\",\"domain\":\"d%d\","
	    "\"state\":\"%s\",\"addr\":\"%s\",\"peer_addr\":\"%s\","
	    "\"operator_addr\":\"%s\"}",
	    e->id, n % s->o.ndomain, leaving ? "leaving" : "live", e->caller,
	    e->peer, e->operator);

	post(s->platform_addr, "/control/instances", json);
	g_free(json);
}

static void
list_worker(system_t *s, int n, bool leaving)
{
	worker_proc_t *w = &s->worker[n];
	char *json = g_strdup_printf(
	    "{\"id\":\"%s\",\"role\":\"worker\",\"domain\":\"%s\","
	    "\"state\":\"%s\",\"service\":\"%s\",\"addr\":\"%s\","
	    "\"memory_mb\":%d,\"slots\":%d}",
	    w->id, w->domain, leaving ? "leaving" : "live",
	    w->engine ? "llm" : "web", w->addr, w->engine ? s->o.memory_mb : 0,
	    s->o.slots);

	post(s->platform_addr, "/control/instances", json);
	g_free(json);
}

void
system_set_listed(system_t *s, const char *id, bool on, bool leaving)
{
	char *path;
	reply_t r;
	int i;

	if (!on) {
		path = g_strdup_printf("/control/instances/%s", id);
		r = http_call(
		    "DELETE", s->platform_addr, path, NULL, NULL, CALL_MS);
		g_assert_cmpint(r.status, ==, 200);
		reply_clear(&r);
		g_free(path);
		return;
	}
	for (i = 0; i < s->nentry; i++)
		if (strcmp(s->entry[i].id, id) == 0)
			list_entry(s, i, leaving);
	for (i = 0; i < s->nworker; i++)
		if (strcmp(s->worker[i].id, id) == 0)
			list_worker(s, i, leaving);
}

static proc_t *
start_daemon(system_t *s, const char *name, int entry)
{
	char *first = g_strdup_printf("%s/system.ini", s->dir);
	char *last = g_strdup_printf("%s/more.ini", s->dir);
	char *args[] = { "--settings", first, "--settings",
		s->entry[entry].file, "--settings", last, NULL };
	proc_t *p;

	if (s->o.settings == NULL)
		args[4] = NULL;
	p = proc_startv(name, args);
	g_free(first);
	g_free(last);
	return p;
}

void
system_start_controld(system_t *s, int entry)
{
	proc_kill(s->entry[entry].controld);
	s->entry[entry].controld = start_daemon(s, "controld", entry);
}

void
system_start_entryd(system_t *s, int entry)
{
	proc_kill(s->entry[entry].entryd);
	s->entry[entry].entryd = start_daemon(s, "entryd", entry);
}

void
system_start_worker(system_t *s, int n)
{
	worker_proc_t *w = &s->worker[n];
	char *slots = g_strdup_printf("%d", s->o.slots);
	char *memory = g_strdup_printf("%d", s->o.memory_mb);
	char *token = g_strdup_printf("%d", s->o.token_ms);
	char *first = g_strdup_printf("%d", s->o.first_ms);
	char *work = g_strdup_printf("%d", s->o.work_ms);

	proc_kill(w->proc);
	if (w->engine)
		w->proc = proc_start("standin-engine", "--listen", w->addr,
		    "--id", w->id, "--service", "llm", "--domain", w->domain,
		    "--slots", slots, "--memory-mb", memory, "--token-ms",
		    token, "--first-ms", first, "--load-ms", "50", "--fencing",
		    s->o.no_fencing ? "no" : "yes", NULL);
	else
		w->proc = proc_start("standin-service", "--listen", w->addr,
		    "--id", w->id, "--service", "web", "--domain", w->domain,
		    "--work-ms", work, NULL);
	g_free(slots);
	g_free(memory);
	g_free(token);
	g_free(first);
	g_free(work);
}

static void
set_defaults(system_opts_t *o)
{
	if (o->nentry == 0)
		o->nentry = 2;
	if (o->ndomain == 0)
		o->ndomain = 2;
	if (o->memory_mb == 0)
		o->memory_mb = 80000;
	if (o->slots == 0)
		o->slots = 8;
	if (o->token_ms == 0)
		o->token_ms = 5;
	if (o->first_ms == 0)
		o->first_ms = 20;
	if (o->work_ms == 0)
		o->work_ms = 20;
}

static void
start_platform(system_t *s, int port)
{
	char *lag = g_strdup_printf("%d", s->o.list_lag_ms);

	s->platform_addr = addr_of(port);
	s->platform = proc_start("standin-platform", "--listen",
	    s->platform_addr, "--list-lag-ms", lag, NULL);
	g_free(lag);
	g_assert_true(
	    http_until(s->platform_addr, "/control/stats", 200, START_MS));
}

static void
start_workers(system_t *s, const int *port)
{
	int i;

	s->nworker = s->o.nengine + s->o.nservice;
	for (i = 0; i < s->nworker; i++) {
		worker_proc_t *w = &s->worker[i];

		w->engine = i < s->o.nengine;
		snprintf(w->id, ID_MAX, "%s%d", w->engine ? "w" : "s",
		    w->engine ? i : i - s->o.nengine);
		snprintf(w->domain, ID_MAX, "d%d",
		    (w->engine ? i : i - s->o.nengine) % s->o.ndomain);
		w->addr = addr_of(port[i]);
		system_start_worker(s, i);
		list_worker(s, i, false);
	}
	for (i = 0; i < s->nworker; i++)
		g_assert_true(
		    http_until(s->worker[i].addr, "/v1/load", 200, START_MS));
}

static void
start_entries(system_t *s, const int *port)
{
	int i;

	s->nentry = s->o.nentry;
	for (i = 0; i < s->nentry; i++) {
		entry_proc_t *e = &s->entry[i];

		snprintf(e->id, ID_MAX, "e%d", i);
		e->caller = addr_of(port[3 * i]);
		e->peer = addr_of(port[3 * i + 1]);
		e->operator= addr_of(port[3 * i + 2]);
		write_entry(s, e, i);
		list_entry(s, i, false);
	}
	for (i = 0; i < s->nentry; i++) {
		system_start_controld(s, i);
		system_start_entryd(s, i);
	}
	for (i = 0; i < s->nentry; i++)
		g_assert_true(
		    http_until(s->entry[i].caller, "/readyz", 200, START_MS) &&
		    http_until(s->entry[i].operator, "/readyz", 200, START_MS));
}

system_t *
system_start(const system_opts_t *o)
{
	static int serial;
	system_t *s = g_new0(system_t, 1);
	int port[1 + WORKERS_MAX + 3 * ENTRIES_MAX];
	char *more;

	s->o = *o;
	set_defaults(&s->o);
	g_assert_cmpint(s->o.nentry, <=, ENTRIES_MAX);
	g_assert_cmpint(s->o.nengine + s->o.nservice, <=, WORKERS_MAX);
	ports_take(port, 1 + s->o.nengine + s->o.nservice + 3 * s->o.nentry);
	s->dir = g_strdup_printf(
	    "build/testlog/system-%d-%d", (int)getpid(), ++serial);
	g_assert_cmpint(g_mkdir_with_parents(s->dir, 0777), ==, 0);
	start_platform(s, port[0]);
	write_settings(s);
	if (s->o.settings != NULL) {
		more = g_strdup_printf("%s/more.ini", s->dir);
		g_assert_true(
		    g_file_set_contents(more, s->o.settings, -1, NULL));
		g_free(more);
	}
	start_workers(s, port + 1);
	start_entries(s, port + 1 + s->nworker);
	return s;
}

void
system_stop(system_t *s)
{
	int i;

	for (i = 0; i < s->nentry; i++) {
		proc_kill(s->entry[i].entryd);
		proc_kill(s->entry[i].controld);
		g_free(s->entry[i].caller);
		g_free(s->entry[i].peer);
		g_free(s->entry[i].operator);
		g_free(s->entry[i].file);
	}
	for (i = 0; i < s->nworker; i++) {
		proc_kill(s->worker[i].proc);
		g_free(s->worker[i].addr);
	}
	proc_kill(s->platform);
	g_free(s->platform_addr);
	g_free(s->dir);
	g_free(s);
}

static int64_t
json_int(const char *text, const char *name)
{
	json_t *j = json_loads(text, 0, NULL);
	json_t *v = json_object_get(j, name);
	int64_t n = json_is_integer(v) ? json_integer_value(v) : -1;

	json_decref(j);
	return n;
}

uint64_t
system_apply_note(system_t *s, int entry, const char *text)
{
	reply_t r = http_call("POST", s->entry[entry].operator, "/v1/notes",
	    "X-User: tester", text, 2 * CALL_MS);
	int64_t n = r.status == 200 ? json_int(r.body, "number") : 0;

	if (r.status != 200)
		g_test_message("note refused: %d %s", r.status, r.body);
	reply_clear(&r);
	return n < 0 ? 0 : (uint64_t)n;
}

bool
system_in_force(system_t *s, int entry, uint64_t n, ms_t span)
{
	char *path = g_strdup_printf("/v1/notes/%" PRIu64 "/status", n);
	ms_t end = clock_now(&machine_clock) + span;
	bool good = false;

	while (!good && clock_now(&machine_clock) < end) {
		reply_t r = http_call(
		    "GET", s->entry[entry].operator, path, NULL, NULL, CALL_MS);

		good = r.status == 200 &&
		       strstr(r.body, "\"state\":\"in force\"") != NULL;
		if (!good)
			clock_sleep(20);
		if (!good && clock_now(&machine_clock) >= end)
			g_test_message(
			    "note %" PRIu64 ": %d %s", n, r.status, r.body);
		reply_clear(&r);
	}
	g_free(path);
	return good;
}

uint64_t
system_apply_first_note(system_t *s, int nmodel, int nadapter)
{
	GString *g = g_string_new("[note]\nid = first\nbase = 0\n");
	uint64_t n;
	int i;

	for (i = 0; i < nmodel; i++)
		g_string_append_printf(g,
		    "[add model m%d]\nservice = llm\nversion = 1\n"
		    "memory_mb = %d\ncopies = 2\nresumable = yes\n",
		    i, MODEL_MB);
	for (i = 0; i < nadapter; i++)
		g_string_append_printf(g,
		    "[add adapter a%d]\nmodel = m0\nversion = 1\n"
		    "memory_mb = %d\n",
		    i, ADAPTER_MB);
	n = system_apply_note(s, 0, g->str);
	g_string_free(g, TRUE);
	g_assert_cmpuint(n, ==, 1);
	g_assert_true(system_in_force(s, 0, n, START_MS));
	return n;
}

void
system_set_faults(const char *addr, const char *json)
{
	post(addr, "/control/faults", json);
}

int64_t
system_json_int(const char *addr, const char *path, const char *name)
{
	reply_t r = http_call("GET", addr, path, NULL, NULL, CALL_MS);
	int64_t n = r.status == 200 ? json_int(r.body, name) : -1;

	reply_clear(&r);
	return n;
}

/* Token k of the stand-in engine's answer to a prompt. */
static char *
expected_token(const char *prompt, int k)
{
	return g_strdup_printf("t%d-%08x ", k,
	    (unsigned)(hash_str(prompt, (uint64_t)k) & 0xffffffffu));
}

static char *
error_code(const char *json)
{
	json_t *j = json_loads(json, 0, NULL);
	const char *code = json_string_value(
	    json_object_get(json_object_get(j, "error"), "code"));
	char *copy = g_strdup(code == NULL ? "" : code);

	json_decref(j);
	return copy;
}

static void
check_event(outcome_t *o, const char *data, const char *prompt, int from)
{
	json_t *j = json_loads(data, 0, NULL), *delta;
	const char *text;
	char *want;

	delta = json_object_get(
	    json_array_get(json_object_get(j, "choices"), 0), "delta");
	text = json_string_value(json_object_get(delta, "content"));
	if (text != NULL) {
		want = expected_token(prompt, from + o->tokens);
		if (strcmp(text, want) != 0)
			o->foreign = true;
		o->tokens++;
		g_free(want);
	}
	json_decref(j);
}

void
outcome_check(
    outcome_t *o, const char *body, const char *prompt, int from, int tokens)
{
	char **line = g_strsplit(body, "\n", 0), *code;
	bool done = false;
	int i;

	for (i = 0; line[i] != NULL; i++) {
		if (g_str_has_prefix(line[i], "id: ")) {
			str_set(o->last_id, sizeof(o->last_id), line[i] + 4);
		} else if (strcmp(line[i], "event: error") == 0) {
			o->error_event = true;
		} else if (strcmp(line[i], "data: [DONE]") == 0) {
			done = true;
		} else if (g_str_has_prefix(line[i], "data: ")) {
			if (o->error_event) {
				code = error_code(line[i] + 6);
				str_set(o->code, sizeof(o->code), code);
				g_free(code);
			} else {
				check_event(o, line[i] + 6, prompt, from);
			}
		}
	}
	o->whole = done && !o->foreign && !o->error_event &&
		   from + o->tokens == tokens;
	g_strfreev(line);
}

static void
fill_outcome(outcome_t *o, const reply_t *r)
{
	char *value = reply_header(r, "Ebonypitch-Ran"), *code;

	o->status = r->status;
	str_set(o->ran, sizeof(o->ran), value == NULL ? "" : value);
	g_free(value);
	value = reply_header(r, "Ebonypitch-Retry-After-Ms");
	o->retry_after = value == NULL ? 0 : strtoll(value, NULL, 10);
	g_free(value);
	if (r->status != 200) {
		code = error_code(r->body);
		str_set(o->code, sizeof(o->code), code);
		g_free(code);
	}
}

outcome_t
system_chat_with(const char *caller_addr, const char *model, const char *prompt,
    int tokens, const char *headers, ms_t timeout)
{
	ms_t from = clock_now(&machine_clock);
	char *full = g_strdup_printf("%s#%d", prompt, tokens);
	char *body = g_strdup_printf(
	    "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,"
	    "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
	    model, tokens, full);
	reply_t r = http_call("POST", caller_addr, "/v1/chat/completions",
	    headers, body, timeout);
	outcome_t o = { 0 };

	fill_outcome(&o, &r);
	if (r.status == 200 || r.status == 0)
		outcome_check(&o, r.body, full, 0, tokens);
	o.took = clock_now(&machine_clock) - from;
	reply_clear(&r);
	g_free(body);
	g_free(full);
	return o;
}

outcome_t
system_chat(const char *caller_addr, const char *model, const char *prompt,
    int tokens, ms_t timeout)
{
	return system_chat_with(
	    caller_addr, model, prompt, tokens, NULL, timeout);
}

outcome_t
system_chat_retry(const char *caller_addr, const char *model,
    const char *prompt, int tokens, ms_t timeout)
{
	ms_t end = clock_now(&machine_clock) + timeout;
	outcome_t o;

	for (;;) {
		o = system_chat(caller_addr, model, prompt, tokens, timeout);
		if ((o.status != 429 && o.status != 503) ||
		    strcmp(o.ran, "no") != 0 || o.retry_after == 0 ||
		    clock_now(&machine_clock) >= end)
			return o;
		clock_sleep(o.retry_after);
	}
}

outcome_t
system_plain_call(
    const char *caller_addr, const char *path, const char *key, ms_t timeout)
{
	ms_t from = clock_now(&machine_clock);
	char *full = g_strdup_printf("/v1/services/web%s", path);
	char *headers =
	    key == NULL ? NULL : g_strdup_printf("Idempotency-Key: %s", key);
	reply_t r = http_call(
	    "POST", caller_addr, full, headers, "{\"calibration\":1}", timeout);
	outcome_t o = { 0 };

	fill_outcome(&o, &r);
	o.whole = r.status == 200;
	o.took = clock_now(&machine_clock) - from;
	reply_clear(&r);
	g_free(headers);
	g_free(full);
	return o;
}

static gpointer
run_background(gpointer arg)
{
	background_t *b = arg;

	if (b->path != NULL)
		b->outcome = system_plain_call(b->addr, b->path,
		    b->prompt[0] == '\0' ? NULL : b->prompt, b->timeout);
	else if (b->retry)
		b->outcome = system_chat_retry(
		    b->addr, "m0", b->prompt, b->tokens, b->timeout);
	else
		b->outcome = system_chat(
		    b->addr, "m0", b->prompt, b->tokens, b->timeout);
	return NULL;
}

void
background_start(background_t *b)
{
	b->thread = g_thread_new("call", run_background, b);
}

void
background_join(background_t *b, int n)
{
	int i;

	for (i = 0; i < n; i++)
		g_thread_join(b[i].thread);
}

int
system_run_count(system_t *s, const char *key)
{
	int i, n = 0;
	size_t k;

	for (i = 0; i < s->nworker; i++) {
		json_t *j, *run;
		reply_t r;

		if (s->worker[i].engine || s->worker[i].proc == NULL)
			continue;
		r = http_call("GET", s->worker[i].addr, "/control/record", NULL,
		    NULL, CALL_MS);
		if (r.status != 200) {
			reply_clear(&r);
			return -1;
		}
		j = json_loads(r.body, 0, NULL);
		json_array_foreach(json_object_get(j, "runs"), k, run)
		{
			const char *at =
			    json_string_value(json_object_get(run, "key"));

			if (at != NULL && strcmp(at, key) == 0)
				n += (int)json_integer_value(
				    json_object_get(run, "count"));
		}
		json_decref(j);
		reply_clear(&r);
	}
	return n;
}
