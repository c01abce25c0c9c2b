/*
 * Stand-in for the platform's service: versioned objects with conditional
 * updates and watches, the list of instances, and a weight store with limited
 * throughput. One libmicrohttpd thread answers; a timer thread resumes the
 * suspended calls.
 */
#include "base/base.h"
#include "standin/instance_history.h"
#include "standin/objstore.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

enum {
	VALUE_MAX = 1 << 20, /* bytes */
	WATCH_MAX_MS = 60000,
	CONNECTIONS_MAX = 4000,
	TICK_MS = 1,
	BURST_MS = 100, /* a burst may use what accrues in this time */
	ADAPTER_LOAD_MIN_MS = 6,
	ADAPTER_LOAD_RANGE_MS = 13,
};

typedef enum call_state {
	CALL_READING,
	CALL_WATCHING,
	CALL_LOADING,
	CALL_HANGING,
	CALL_ANSWERED, /* status and answer are set; may be delayed */
} call_state_t;

typedef struct call {
	struct MHD_Connection *conn;
	char *method, *url;
	GString *body;
	call_state_t state;
	bool suspended;
	ms_t wake_at;	  /* latest time of resumption */
	uint64_t since;	  /* watch */
	char *prefix;	  /* watch */
	bool adapter;	  /* load */
	ms_t starts;	  /* load */
	double work_left; /* load: ms at full speed */
	int status;	  /* 0: close the connection */
	char *answer;	  /* malloc'd */
	size_t len;
	uint64_t etag;
} call_t;

typedef struct rate {
	int per_s; /* 0: no limit */
	double tokens;
	ms_t at;
} rate_t;

static struct {
	pthread_mutex_t lock;
	objstore_t *store;
	instance_history_t *list; /* of instances */
	GPtrArray *waiting;	  /* suspended calls */
	rng_t rng;
	ms_t next_load_start;
	ms_t ticked;
	rate_t writes, reads;
	struct {
		ms_t outage_until; /* INT64_MAX: until cleared */
		ms_t hang_until;
		int64_t delay_ms;
		int64_t list_lag_ms;
		int64_t drop_replies;
		int64_t stale_reads;
	} fault;
	struct {
		int64_t reads, writes, watches, conflicts, refused;
		int64_t write_bytes, loads;
	} stats;
} st = { .lock = PTHREAD_MUTEX_INITIALIZER };

static struct {
	char *listen;
	int loads_per_min, loads_at_once, adapters_at_once, load_ms;
	int writes_per_s, reads_per_s, list_lag_ms, seed;
} opt = { NULL, 120, 3, 24, 500, 0, 0, 0, 1 };

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen,
	    "address to serve on", "IP:PORT" },
	{ "loads-per-min", 0, 0, G_OPTION_ARG_INT, &opt.loads_per_min,
	    "model loads started per minute", "N" },
	{ "loads-at-once", 0, 0, G_OPTION_ARG_INT, &opt.loads_at_once,
	    "model loads at once at full speed", "N" },
	{ "adapters-at-once", 0, 0, G_OPTION_ARG_INT, &opt.adapters_at_once,
	    "adapter loads at once at full speed", "N" },
	{ "load-ms", 0, 0, G_OPTION_ARG_INT, &opt.load_ms,
	    "duration of a model load at full speed", "MS" },
	{ "writes-per-s", 0, 0, G_OPTION_ARG_INT, &opt.writes_per_s,
	    "writes allowed per second, 0: no limit", "N" },
	{ "reads-per-s", 0, 0, G_OPTION_ARG_INT, &opt.reads_per_s,
	    "reads allowed per second, 0: no limit", "N" },
	{ "list-lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.list_lag_ms,
	    "age of the instance list", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "seed of the load times",
	    "N" },
	{ 0 },
};

static ms_t
now_ms(void)
{
	return clock_now(&machine_clock);
}

static bool
rate_allows(rate_t *r, ms_t now)
{
	double most = (double)r->per_s * BURST_MS / 1000.0 + 1.0;

	if (r->per_s == 0)
		return true;
	r->tokens += (double)(now - r->at) * r->per_s / 1000.0;
	r->at = now;
	if (r->tokens > most)
		r->tokens = most;
	if (r->tokens < 1.0)
		return false;
	r->tokens -= 1.0;
	return true;
}

/* Answers */

static void
answer_json(call_t *c, int status, json_t *j)
{
	c->state = CALL_ANSWERED;
	c->status = status;
	c->answer = json_dumps(j, JSON_COMPACT);
	c->len = strlen(c->answer);
	json_decref(j);
}

static void
answer_error(call_t *c, int status, const char *code)
{
	if (status == 429 || status == 503)
		st.stats.refused++;
	answer_json(c, status, json_pack("{s:s}", "error", code));
}

/* Suspended calls. From here to wake_due(), the lock is held. */

static void
wait_until(call_t *c, ms_t due)
{
	c->wake_at = due;
	c->suspended = true;
	g_ptr_array_add(st.waiting, c);
	MHD_suspend_connection(c->conn);
}

static void
wake(call_t *c)
{
	g_ptr_array_remove_fast(st.waiting, c);
	c->suspended = false;
	MHD_resume_connection(c->conn);
}

static void
wake_watches(const char *key)
{
	guint i;

	for (i = st.waiting->len; i-- > 0;) {
		call_t *c = st.waiting->pdata[i];

		if (c->state == CALL_WATCHING &&
		    (key == NULL || g_str_has_prefix(key, c->prefix)))
			wake(c);
	}
}

/* Objects */

static const char *
header(call_t *c, const char *name)
{
	return MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, name);
}

/* The condition that the call's headers state. */
static objstore_cond_t
write_condition(call_t *c)
{
	const char *match = header(c, "If-Match");
	objstore_cond_t cond = { .absent = header(c, "If-None-Match") != NULL };

	if (match == NULL)
		return cond;
	cond.match = true;
	cond.version = strtoull(match + (*match == '"'), NULL, 10);
	return cond;
}

static bool
is_write(const call_t *c)
{
	return strcmp(c->method, "PUT") == 0 ||
	       strcmp(c->method, "DELETE") == 0;
}

static void
answer_write(call_t *c, objstore_result_t how, const char *key)
{
	switch (how) {
	case OBJSTORE_DONE:
		wake_watches(key);
		answer_json(
		    c, 200, json_pack("{s:I}", "version", (json_int_t)c->etag));
		break;
	case OBJSTORE_ABSENT:
		answer_error(c, 404, "not_found");
		break;
	case OBJSTORE_CONFLICT:
		st.stats.conflicts++;
		answer_error(c, 412, "conflict");
		break;
	}
}

static void
put_object(call_t *c, const char *key)
{
	objstore_cond_t cond = write_condition(c);

	if (c->body->len > VALUE_MAX) {
		answer_error(c, 413, "too_large");
		return;
	}
	if (!g_utf8_validate(c->body->str, (gssize)c->body->len, NULL)) {
		answer_error(c, 400, "not_utf8");
		return;
	}
	st.stats.write_bytes += (int64_t)c->body->len;
	answer_write(
	    c, objstore_put(st.store, key, c->body, &cond, &c->etag), key);
}

static void
delete_object(call_t *c, const char *key)
{
	objstore_cond_t cond = write_condition(c);

	answer_write(c, objstore_del(st.store, key, &cond), key);
}

static void
get_object(call_t *c, const char *key)
{
	bool stale = st.fault.stale_reads > 0;
	const GString *value = objstore_get(st.store, key, &stale, &c->etag);

	if (value == NULL) {
		answer_error(c, 404, "not_found");
		return;
	}
	st.fault.stale_reads -= stale;
	c->state = CALL_ANSWERED;
	c->status = 200;
	c->answer = g_memdup2(value->str, value->len + 1);
	c->len = value->len;
}

/* Answer a watch that has changes or has timed out; else keep it waiting. */
static void
step_watch(call_t *c, ms_t now)
{
	size_t n = 0;
	json_t *j = objstore_changes(st.store, c->prefix, c->since, &n);

	if (j == NULL) {
		answer_error(c, 410, "too_old");
	} else if (n == 0 && now < c->wake_at) {
		json_decref(j);
		wait_until(c, c->wake_at);
	} else {
		answer_json(c, 200, j);
	}
}

static int64_t
query_int(call_t *c, const char *name, int64_t def)
{
	const char *v =
	    MHD_lookup_connection_value(c->conn, MHD_GET_ARGUMENT_KIND, name);

	return v == NULL ? def : strtoll(v, NULL, 10);
}

static const char *
query_text(call_t *c, const char *name)
{
	const char *v =
	    MHD_lookup_connection_value(c->conn, MHD_GET_ARGUMENT_KIND, name);

	return v == NULL ? "" : v;
}

static void
start_watch(call_t *c, ms_t now)
{
	int64_t wait = query_int(c, "wait_ms", 0);

	c->state = CALL_WATCHING;
	c->prefix = g_strdup(query_text(c, "prefix"));
	c->since = (uint64_t)query_int(c, "since", 0);
	c->wake_at = now + (wait > WATCH_MAX_MS ? WATCH_MAX_MS : wait);
	step_watch(c, now);
}

/* The weight store */

static void
start_load(call_t *c, ms_t now)
{
	json_t *j = json_loadb(c->body->str, c->body->len, 0, NULL);
	const char *kind = json_string_value(json_object_get(j, "kind"));

	if (kind == NULL) {
		answer_error(c, 400, "kind");
		json_decref(j);
		return;
	}
	st.stats.loads++;
	c->state = CALL_LOADING;
	c->adapter = strcmp(kind, "adapter") == 0;
	c->starts = now;
	c->work_left = opt.load_ms;
	if (c->adapter) {
		c->work_left = ADAPTER_LOAD_MIN_MS +
			       rng_unit(&st.rng) * ADAPTER_LOAD_RANGE_MS;
	} else {
		if (st.next_load_start > now)
			c->starts = st.next_load_start;
		st.next_load_start = c->starts + 60000 / opt.loads_per_min;
	}
	json_decref(j);
	wait_until(c, INT64_MAX);
}

/* Advance all loads by span ms; they share the store's throughput. */
static void
advance_loads(ms_t now, double span)
{
	int n[2] = { 0, 0 };
	int most[2] = { opt.loads_at_once, opt.adapters_at_once };
	guint i;

	for (i = 0; i < st.waiting->len; i++) {
		const call_t *c = st.waiting->pdata[i];

		if (c->state == CALL_LOADING && c->starts <= now)
			n[c->adapter]++;
	}
	for (i = st.waiting->len; i-- > 0;) {
		call_t *c = st.waiting->pdata[i];
		double speed, had;

		if (c->state != CALL_LOADING || c->starts > now)
			continue;
		speed = n[c->adapter] <= most[c->adapter]
			    ? 1.0
			    : (double)most[c->adapter] / n[c->adapter];
		/* A load that began within the span had only part of it. */
		had = (double)(now - c->starts);
		c->work_left -= (had < span ? had : span) * speed;
		if (c->work_left <= 0) {
			answer_json(c, 200, json_object());
			wake(c);
		}
	}
}

/* Control */

static void
set_fault(json_t *j, const char *name, int64_t *value)
{
	json_t *v = json_object_get(j, name);

	if (v != NULL)
		*value = json_is_boolean(v) ? json_is_true(v)
					    : json_integer_value(v);
}

static void
set_until(json_t *j, const char *name, ms_t *until)
{
	int64_t span = 0;

	if (json_object_get(j, name) == NULL)
		return;
	set_fault(j, name, &span);
	*until = span < 0 ? INT64_MAX : now_ms() + span;
}

static void wake_due(call_t *c, ms_t now);

static void
control_faults(call_t *c)
{
	json_t *j = json_loadb(c->body->str, c->body->len, 0, NULL);
	guint i;

	if (j == NULL) {
		answer_error(c, 400, "json");
		return;
	}
	set_until(j, "outage_ms", &st.fault.outage_until);
	set_until(j, "hang_ms", &st.fault.hang_until);
	set_fault(j, "delay_ms", &st.fault.delay_ms);
	set_fault(j, "drop_replies", &st.fault.drop_replies);
	set_fault(j, "list_lag_ms", &st.fault.list_lag_ms);
	set_fault(j, "stale_reads", &st.fault.stale_reads);
	json_decref(j);
	/* An outage ends the watches; the end of a hang resumes its calls. */
	if (st.fault.outage_until > now_ms())
		wake_watches(NULL);
	for (i = st.waiting->len; i-- > 0;) {
		call_t *w = st.waiting->pdata[i];

		if (w->state == CALL_HANGING && st.fault.hang_until <= now_ms())
			wake_due(w, now_ms());
	}
	answer_json(c, 200, json_object());
}

static void
control_instance(call_t *c)
{
	json_t *j = json_loadb(c->body->str, c->body->len, 0, NULL);
	const char *id = json_string_value(json_object_get(j, "id"));

	if (id == NULL) {
		answer_error(c, 400, "id");
		json_decref(j);
		return;
	}
	instance_history_set(st.list, id, j, now_ms());
	answer_json(c, 200, json_object());
}

static void
control_stats(call_t *c)
{
	answer_json(c, 200,
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
		(json_int_t)st.stats.reads, "writes",
		(json_int_t)st.stats.writes, "watches",
		(json_int_t)st.stats.watches, "conflicts",
		(json_int_t)st.stats.conflicts, "refused",
		(json_int_t)st.stats.refused, "write_bytes",
		(json_int_t)st.stats.write_bytes, "loads",
		(json_int_t)st.stats.loads));
}

static const char *
without_prefix(const char *url, const char *prefix)
{
	return g_str_has_prefix(url, prefix) ? url + strlen(prefix) : NULL;
}

static bool
control(call_t *c)
{
	const char *id = without_prefix(c->url, "/control/instances/");

	if (!g_str_has_prefix(c->url, "/control/"))
		return false;
	if (strcmp(c->url, "/control/faults") == 0) {
		control_faults(c);
	} else if (strcmp(c->url, "/control/instances") == 0) {
		control_instance(c);
	} else if (id != NULL && strcmp(c->method, "DELETE") == 0) {
		instance_history_set(st.list, id, NULL, now_ms());
		answer_json(c, 200, json_object());
	} else if (strcmp(c->url, "/control/stats") == 0) {
		control_stats(c);
	} else {
		answer_error(c, 404, "no_such_call");
	}
	return true;
}

/* Count the call; refuse it during an outage or beyond the rate limit. */
static bool
admit(call_t *c, ms_t now)
{
	bool is_watch = strcmp(c->url, "/v1/watch") == 0;
	rate_t *r = is_write(c) ? &st.writes : &st.reads;

	if (st.fault.outage_until > now) {
		answer_error(c, 503, "outage");
		return false;
	}
	if (strcmp(c->url, "/v1/store/loads") == 0)
		return true;
	if (!rate_allows(r, now)) {
		answer_error(c, 429, "rate");
		return false;
	}
	if (is_write(c))
		st.stats.writes++;
	else if (is_watch)
		st.stats.watches++;
	else
		st.stats.reads++;
	return true;
}

static void
run_call(call_t *c, ms_t now)
{
	const char *key = without_prefix(c->url, "/v1/objects/");

	if (!admit(c, now))
		return;
	if (key != NULL && strcmp(c->method, "GET") == 0)
		get_object(c, key);
	else if (key != NULL && strcmp(c->method, "PUT") == 0)
		put_object(c, key);
	else if (key != NULL && strcmp(c->method, "DELETE") == 0)
		delete_object(c, key);
	else if (strcmp(c->url, "/v1/list") == 0)
		answer_json(
		    c, 200, objstore_list(st.store, query_text(c, "prefix")));
	else if (strcmp(c->url, "/v1/watch") == 0)
		start_watch(c, now);
	else if (strcmp(c->url, "/v1/instances") == 0)
		answer_json(c, 200,
		    instance_history_read(st.list, now - st.fault.list_lag_ms));
	else if (strcmp(c->url, "/v1/store/loads") == 0)
		start_load(c, now);
	else
		answer_error(c, 404, "no_such_call");
	if (is_write(c) && c->status == 200 && st.fault.drop_replies > 0) {
		st.fault.drop_replies--;
		c->status = 0;
	}
}

/* Advance the call until it is answered or suspended. */
static void
step_call(call_t *c)
{
	ms_t now = now_ms();

	if (c->state == CALL_ANSWERED)
		return;
	if (c->state == CALL_WATCHING) {
		if (st.fault.outage_until > now)
			answer_error(c, 503, "outage");
		else
			step_watch(c, now);
		return;
	}
	if (control(c))
		return;
	if (st.fault.hang_until > now) {
		c->state = CALL_HANGING;
		wait_until(c, st.fault.hang_until);
		return;
	}
	run_call(c, now);
	if (c->state == CALL_ANSWERED && st.fault.delay_ms > 0)
		wait_until(c, now + st.fault.delay_ms);
}

/*
 * Resume a call that is due. A write that hung takes effect now, even if its
 * caller has disconnected in the meantime.
 */
static void
wake_due(call_t *c, ms_t now)
{
	if (c->state == CALL_HANGING && is_write(c))
		run_call(c, now);
	wake(c);
}

static void *
timer(void *user)
{
	(void)user;
	for (;;) {
		ms_t now;
		guint i;

		clock_sleep(TICK_MS);
		pthread_mutex_lock(&st.lock);
		now = now_ms();
		advance_loads(now, (double)(now - st.ticked));
		st.ticked = now;
		for (i = st.waiting->len; i-- > 0;) {
			call_t *c = st.waiting->pdata[i];

			if (c->wake_at <= now)
				wake_due(c, now);
		}
		pthread_mutex_unlock(&st.lock);
	}
	return NULL;
}

static enum MHD_Result
answer(call_t *c)
{
	struct MHD_Response *r;
	enum MHD_Result ok;
	char etag[32];

	if (c->status == 0)
		return MHD_NO;
	r = MHD_create_response_from_buffer(
	    c->len, c->answer, MHD_RESPMEM_MUST_COPY);
	if (c->etag != 0) {
		snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", c->etag);
		MHD_add_response_header(r, "ETag", etag);
	}
	ok = MHD_queue_response(c->conn, c->status, r);
	MHD_destroy_response(r);
	return ok;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	call_t *c = *state;
	bool waits;

	(void)user;
	(void)version;
	if (c == NULL) {
		c = calloc(1, sizeof(*c));
		c->conn = conn;
		c->url = g_strdup(url);
		c->method = g_strdup(method);
		c->body = g_string_new(NULL);
		*state = c;
		return MHD_YES;
	}
	if (*len > 0) {
		if (c->body->len <= VALUE_MAX)
			g_string_append_len(c->body, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&st.lock);
	step_call(c);
	waits = c->suspended;
	pthread_mutex_unlock(&st.lock);
	return waits ? MHD_YES : answer(c);
}

static void
on_completed(void *user, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode how)
{
	call_t *c = *state;

	(void)user;
	(void)conn;
	(void)how;
	if (c == NULL)
		return;
	pthread_mutex_lock(&st.lock);
	g_ptr_array_remove_fast(st.waiting, c);
	pthread_mutex_unlock(&st.lock);
	g_string_free(c->body, TRUE);
	g_free(c->url);
	g_free(c->method);
	g_free(c->prefix);
	free(c->answer);
	free(c);
	*state = NULL;
}

static void
state_init(void)
{
	st.store = objstore_new();
	st.list = instance_history_new();
	st.waiting = g_ptr_array_new();
	st.rng.s = (uint64_t)opt.seed;
	st.fault.list_lag_ms = opt.list_lag_ms;
	st.ticked = now_ms();
	st.writes = (rate_t){ opt.writes_per_s, 1.0, st.ticked };
	st.reads = (rate_t){ opt.reads_per_s, 1.0, st.ticked };
}

static struct MHD_Daemon *
listen_on(const char *host, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_port = htons(port);
	inet_pton(AF_INET, host, &sin.sin_addr);
	return MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port,
	    NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, MHD_OPTION_END);
}

int
main(int argc, char **argv)
{
	GOptionContext *ctx =
	    g_option_context_new("- stand-in for the platform");
	char host[ADDR_MAX];
	GError *why = NULL;
	pthread_t thread;
	uint16_t port;
	sigset_t stop;
	int sig;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &why) ||
	    opt.listen == NULL || opt.loads_per_min < 1 ||
	    addr_split(opt.listen, host, sizeof(host), &port, NULL) == -1) {
		fprintf(stderr, "standin-platform: %s\n",
		    why != NULL ? why->message
				: "--listen IP:PORT is required, and "
				  "--loads-per-min above 0");
		return 2;
	}
	log_open("platform", "-", "-");
	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	signal(SIGPIPE, SIG_IGN);
	state_init();
	if (listen_on(host, port) == NULL ||
	    pthread_create(&thread, NULL, timer, NULL) != 0) {
		log_event(LOG_ERR, "start_failed", "addr=%s", opt.listen);
		return 1;
	}
	log_event(LOG_INFO, "started", "addr=%s", opt.listen);
	sigwait(&stop, &sig);
	/* Suspended calls are cut off, as by a platform that stops. */
	_exit(0);
}
