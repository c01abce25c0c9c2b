#include "standin/batch.h"
#include "standin/memory.h"
#include "standin/token.h"
#include "standin/web.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	EVENT_MAX = 512,	  /* bytes of an event */
	DEFAULT_MAX_TOKENS = 256, /* of a call without a limit */
	STORE_RETRY_MS = 100,	  /* after a failed load request */
	STORE_TIMEOUT_MS = 60000, /* of a load request */
	SNAPSHOT_MS = 25, /* between snapshots of delayed load reports */
	DRAIN_MS = 10000, /* longest drain on SIGTERM */
};

/* Faults set by POST /control/faults; each use of a count reduces it. */
typedef struct faults {
	int64_t cut_after; /* tokens until an answer is cut off; -1: never */
	int64_t cross_events, double_events, lose_orders, drop_replies, refuse;
	ms_t order_delay;
	bool no_end;
} faults_t;

typedef struct snapshot {
	ms_t at;
	char *text;
} snapshot_t;

typedef struct engine {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	web_t *web;
	batch_t batch;
	memory_t memory;
	faults_t faults;
	GQueue snapshots; /* of snapshot_t *, oldest first */
	char incarnation[ID_MAX];
	bool leaving;
	/* options */
	char *listen, *id, *service, *domain, *platform, *fencing;
	int memory_mb, slots, token_ms, first_ms, load_lag_ms, load_ms, seed;
} engine_t;

/* A connection that reads a stream. */
typedef struct reader {
	engine_t *e;
	stream_t *s;
	struct MHD_Connection *conn;
	uint32_t pos, sent;
	bool suspended, end_sent;
	char out[EVENT_MAX];
	size_t len, off;
} reader_t;

static engine_t engine = {
	.memory_mb = 81920,
	.slots = 16,
	.token_ms = 20,
	.first_ms = 80,
	.load_ms = 200,
	.faults = { .cut_after = -1 },
};

static bool
use_one(int64_t *count)
{
	if (*count <= 0)
		return false;
	--*count;
	return true;
}

static void
wake_readers(stream_t *s)
{
	guint i;

	for (i = 0; i < s->readers->len; i++) {
		reader_t *r = s->readers->pdata[i];

		if (r->suspended) {
			r->suspended = false;
			MHD_resume_connection(r->conn);
		}
	}
}

static void *
batch_thread(void *user)
{
	engine_t *e = user;
	struct timespec until;
	ms_t now, next;

	for (;;) {
		web_wait_unfrozen(e->web);
		pthread_mutex_lock(&e->lock);
		now = clock_now(&machine_clock);
		next = batch_step(&e->batch, now);
		if (next > now) {
			clock_gettime(CLOCK_MONOTONIC, &until);
			until.tv_nsec += (next - now) * 1000000;
			until.tv_sec += until.tv_nsec / 1000000000;
			until.tv_nsec %= 1000000000;
			pthread_cond_timedwait(&e->changed, &e->lock, &until);
		}
		pthread_mutex_unlock(&e->lock);
	}
	return NULL;
}

/* Streams */

static size_t
put_token(reader_t *r, const char *id)
{
	char token[TOKEN_MAX];

	token_text(token, sizeof(token), r->s->prompt, r->pos);
	return snprintf(r->out + r->len, sizeof(r->out) - r->len,
	    "data: {\"id\":\"%s\",\"offset\":%u,\"token\":\"%s\"}\n\n", id,
	    r->pos, token);
}

/* Put the next event into out. @return 0, or the code that ends the body. */
static ssize_t
next_event(reader_t *r)
{
	faults_t *f = &r->e->faults;
	stream_t *s = r->s;

	r->len = r->off = 0;
	if (f->cut_after >= 0 && r->sent >= f->cut_after)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (r->pos < s->made) {
		if (use_one(&f->cross_events)) {
			r->len = put_token(r, "another-call");
			return 0;
		}
		r->len = put_token(r, s->id);
		if (use_one(&f->double_events))
			r->len += put_token(r, s->id);
		r->pos++;
		r->sent++;
		return 0;
	}
	if (s->phase == PHASE_CANCELLED)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (s->phase != PHASE_ENDED)
		return 0;
	if (r->end_sent || f->no_end)
		return MHD_CONTENT_READER_END_OF_STREAM;
	r->end_sent = true;
	r->len = snprintf(r->out, sizeof(r->out),
	    "data: {\"id\":\"%s\",\"offset\":%u,\"end\":true,"
	    "\"finish\":\"%s\"}\n\n",
	    s->id, r->pos, s->cut_short ? "length" : "stop");
	return 0;
}

static ssize_t
on_read(void *user, uint64_t pos, char *buf, size_t max)
{
	reader_t *r = user;
	engine_t *e = r->e;
	ssize_t n = 0;

	(void)pos;
	web_wait_unfrozen(e->web);
	pthread_mutex_lock(&e->lock);
	if (r->off == r->len)
		n = next_event(r);
	if (n == 0 && r->off < r->len) {
		n = r->len - r->off < max ? r->len - r->off : max;
		memcpy(buf, r->out + r->off, n);
		r->off += n;
	} else if (n == 0) {
		r->suspended = true;
		MHD_suspend_connection(r->conn);
	}
	pthread_mutex_unlock(&e->lock);
	return n;
}

static void
on_read_end(void *user)
{
	reader_t *r = user;
	engine_t *e = r->e;

	pthread_mutex_lock(&e->lock);
	g_ptr_array_remove_fast(r->s->readers, r);
	if (r->s->readers->len == 0)
		r->s->idle_since = clock_now(&machine_clock);
	stream_unref(r->s);
	pthread_mutex_unlock(&e->lock);
	g_free(r);
}

/* Called with the lock held. */
static enum MHD_Result
answer_stream(engine_t *e, web_req_t *req, stream_t *s, uint32_t offset)
{
	reader_t *r = g_new0(reader_t, 1);
	struct MHD_Response *m;
	enum MHD_Result ok;

	r->e = e;
	r->s = s;
	r->conn = req->conn;
	r->pos = offset;
	s->refs++;
	s->idle_since = 0;
	g_ptr_array_add(s->readers, r);
	m = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, EVENT_MAX * 4, on_read, r, on_read_end);
	MHD_add_response_header(m, "Content-Type", "text/event-stream");
	ok = MHD_queue_response(req->conn, 200, m);
	pthread_cond_signal(&e->changed);
	/* Destroying a response that wasn't queued calls on_read_end(). */
	pthread_mutex_unlock(&e->lock);
	MHD_destroy_response(m);
	pthread_mutex_lock(&e->lock);
	return ok;
}

static enum MHD_Result
on_completion(engine_t *e, web_req_t *r)
{
	json_t *j = json_loadb(r->body->str, r->body->len, 0, NULL);
	const char *id = json_text(j, "id"), *adapter = json_text(j, "adapter");
	const char *model = json_text(j, "model");
	uint64_t version = json_number(j, "version", 0);
	item_t *base = memory_ready(&e->memory, model, "", version);
	item_t *extra = adapter[0] == '\0'
			    ? NULL
			    : memory_ready(&e->memory, model, adapter, 0);
	enum MHD_Result ok;
	stream_t *s;

	if (id[0] == '\0' || strlen(id) >= ID_MAX)
		ok = web_error(r, 400, "bad_request", "no");
	else if (e->leaving || use_one(&e->faults.refuse))
		ok = web_error(r, 503, "leaving", "no");
	else if (base == NULL || (adapter[0] != '\0' && extra == NULL))
		ok = web_error(r, 404, "not_resident", "no");
	else if (e->batch.in_flight >= e->slots)
		ok = web_error(r, 429, "busy", "no");
	else {
		s = batch_add(&e->batch, id, json_text(j, "prompt"),
		    json_number(j, "offset", 0),
		    json_number(j, "max_tokens", DEFAULT_MAX_TOKENS),
		    json_number(j, "priority", 1), base, extra);
		if (use_one(&e->faults.drop_replies)) {
			pthread_cond_signal(&e->changed);
			ok = MHD_NO;
		} else
			ok = answer_stream(e, r, s, s->from);
	}
	json_decref(j);
	return ok;
}

static enum MHD_Result
resume_stream(engine_t *e, web_req_t *r, const char *id)
{
	stream_t *s = batch_find(&e->batch, id);
	int64_t offset = web_query(r, "offset", 0);

	if (s == NULL || s->phase == PHASE_CANCELLED || offset < s->from ||
	    offset > s->total)
		return web_error(r, 404, "no_stream", "no");
	return answer_stream(e, r, s, offset);
}

static enum MHD_Result
cancel_stream(engine_t *e, web_req_t *r, const char *id)
{
	stream_t *s = batch_find(&e->batch, id);

	if (s == NULL)
		return web_error(r, 404, "no_stream", "no");
	batch_cancel(&e->batch, s);
	return web_json(r, 200, json_object());
}

/* Load reports */

static json_t *
load_json(engine_t *e)
{
	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:I,s:I,s:b,s:s,s:o}",
	    "worker", e->id, "incarnation", e->incarnation, "service",
	    e->service, "in_flight", (int)e->batch.in_flight, "queued",
	    (int)e->batch.queued, "slots", e->slots, "memory_mb",
	    (json_int_t)e->memory.capacity_mb, "used_mb",
	    (json_int_t)e->memory.used_mb, "last_order",
	    (json_int_t)e->memory.last_order, "leaving", e->leaving, "role",
	    e->memory.role, "resident", memory_json(&e->memory));
}

static void *
snapshot_thread(void *user)
{
	engine_t *e = user;

	for (;;) {
		snapshot_t *s = g_new0(snapshot_t, 1), *second;
		json_t *j;

		web_wait_unfrozen(e->web);
		pthread_mutex_lock(&e->lock);
		j = load_json(e);
		s->at = clock_now(&machine_clock);
		s->text = json_dumps(j, JSON_COMPACT);
		json_decref(j);
		g_queue_push_tail(&e->snapshots, s);
		while ((second = g_queue_peek_nth(&e->snapshots, 1)) != NULL &&
		       s->at - second->at >= e->load_lag_ms) {
			s = g_queue_pop_head(&e->snapshots);
			free(s->text);
			g_free(s);
			s = g_queue_peek_tail(&e->snapshots);
		}
		pthread_mutex_unlock(&e->lock);
		clock_sleep(SNAPSHOT_MS);
	}
	return NULL;
}

static enum MHD_Result
answer_load(engine_t *e, web_req_t *r)
{
	snapshot_t *s = g_queue_peek_head(&e->snapshots);

	if (e->load_lag_ms == 0 || s == NULL)
		return web_json(r, 200, load_json(e));
	return web_json(r, 200, json_loads(s->text, 0, NULL));
}

/* Orders */

typedef struct loading {
	engine_t *e;
	item_t *item;
	uint32_t mb;
	bool adapter;
} loading_t;

static size_t
discard(char *p, size_t size, size_t n, void *user)
{
	(void)p;
	(void)user;
	return size * n;
}

/* Load from the weight store. @return true once that has succeeded. */
static bool
fetch(const loading_t *l)
{
	CURL *c = curl_easy_init();
	char url[128], body[256];
	long status = 0;

	snprintf(url, sizeof(url), "http://%s/v1/store/loads", l->e->platform);
	snprintf(body, sizeof(body),
	    "{\"worker\":\"%s\",\"kind\":\"%s\",\"mb\":%u}", l->e->id,
	    l->adapter ? "adapter" : "model", l->mb);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)STORE_TIMEOUT_MS);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	return status == 200;
}

static void *
load_thread(void *user)
{
	loading_t *l = user;
	engine_t *e = l->e;

	if (e->platform == NULL)
		clock_sleep(l->adapter ? e->load_ms / 10 : e->load_ms);
	else
		while (!fetch(l))
			clock_sleep(STORE_RETRY_MS);
	web_wait_unfrozen(e->web);
	pthread_mutex_lock(&e->lock);
	memory_fetched(&e->memory, l->item);
	pthread_mutex_unlock(&e->lock);
	g_free(l);
	return NULL;
}

static void
spawn(void *(*run)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, run, arg) != 0)
		abort();
	pthread_detach(t);
}

/* Called with the lock held. */
static int
run_order(engine_t *e, const order_t *o)
{
	item_t *item;
	int status = memory_order(&e->memory, o, &item);

	if (item != NULL) {
		loading_t *l = g_new0(loading_t, 1);

		l->e = e;
		l->item = item;
		l->mb = item->mb;
		l->adapter = item->adapter[0] != '\0';
		spawn(load_thread, l);
	}
	return status;
}

typedef struct delayed_order {
	engine_t *e;
	order_t order;
	ms_t span;
} delayed_order_t;

static void *
delayed_order_thread(void *user)
{
	delayed_order_t *l = user;

	clock_sleep(l->span);
	pthread_mutex_lock(&l->e->lock);
	run_order(l->e, &l->order);
	pthread_mutex_unlock(&l->e->lock);
	g_free(l);
	return NULL;
}

static enum MHD_Result
on_order(engine_t *e, web_req_t *r)
{
	json_t *j = json_loadb(r->body->str, r->body->len, 0, NULL);
	order_t o;
	int ok = order_read(j, &o), status;

	json_decref(j);
	if (ok == -1)
		return web_error(r, 400, "bad_order", "no");
	if (use_one(&e->faults.lose_orders))
		return MHD_NO;
	if (e->faults.order_delay > 0) {
		delayed_order_t *l = g_new0(delayed_order_t, 1);

		l->e = e;
		l->order = o;
		l->span = e->faults.order_delay;
		spawn(delayed_order_thread, l);
		return MHD_NO;
	}
	status = run_order(e, &o);
	if (status == 409)
		return web_error(r, 409, "stale_fence", "no");
	return web_json(
	    r, status, json_pack("{s:I}", "number", (json_int_t)o.number));
}

/* Control calls */

static enum MHD_Result
set_faults(engine_t *e, web_req_t *r)
{
	json_t *j = json_loadb(r->body->str, r->body->len, 0, NULL);
	faults_t *f = &e->faults;
	json_t *slow = json_object_get(j, "slow_factor");

	if (json_object_get(j, "delay_ms") != NULL)
		web_delay(e->web, json_number(j, "delay_ms", 0));
	f->cut_after = json_number(j, "cut_after", f->cut_after);
	f->cross_events = json_number(j, "cross_events", f->cross_events);
	f->double_events = json_number(j, "double_events", f->double_events);
	f->lose_orders = json_number(j, "lose_orders", f->lose_orders);
	f->drop_replies = json_number(j, "drop_replies", f->drop_replies);
	f->refuse = json_number(j, "refuse", f->refuse);
	f->order_delay = json_number(j, "late_orders_ms", f->order_delay);
	f->no_end = json_number(j, "no_end", f->no_end);
	if (json_is_number(slow))
		e->batch.slow_factor = json_number_value(slow);
	web_freeze(e->web, json_number(j, "freeze_ms", 0));
	json_decref(j);
	return web_json(r, 200, json_object());
}

static enum MHD_Result
answer_record(engine_t *e, web_req_t *r)
{
	json_t *j = json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "worker",
	    e->id, "incarnation", e->incarnation, "peak_mb",
	    (json_int_t)e->memory.peak_mb, "capacity_mb",
	    (json_int_t)e->memory.capacity_mb, "overcommits",
	    (json_int_t)e->memory.overcommits, "orders",
	    (json_int_t)e->memory.orders, "refused_orders",
	    (json_int_t)e->memory.refused, "loads",
	    (json_int_t)e->memory.loads);

	json_object_set_new(
	    j, "unloads", json_integer((json_int_t)e->memory.unloads));
	batch_record(&e->batch, j);
	return web_json(r, 200, j);
}

static enum MHD_Result
route(engine_t *e, web_req_t *r)
{
	static const char streams[] = "/v1/streams/";
	bool get = strcmp(r->method, "GET") == 0;
	bool post = strcmp(r->method, "POST") == 0;
	const char *path = r->path;

	if (post && strcmp(path, "/v1/completions") == 0)
		return on_completion(e, r);
	if (g_str_has_prefix(path, streams) && get)
		return resume_stream(e, r, path + strlen(streams));
	if (g_str_has_prefix(path, streams) && strcmp(r->method, "DELETE") == 0)
		return cancel_stream(e, r, path + strlen(streams));
	if (get && strcmp(path, "/v1/load") == 0)
		return answer_load(e, r);
	if (post && strcmp(path, "/v1/orders") == 0)
		return on_order(e, r);
	if (get && strcmp(path, "/v1/cache-events") == 0)
		return web_json(r, 200,
		    batch_cache_json(&e->batch, web_query(r, "since", 0),
			clock_now(&machine_clock)));
	if (post && strcmp(path, "/control/faults") == 0)
		return set_faults(e, r);
	if (get && strcmp(path, "/control/record") == 0)
		return answer_record(e, r);
	if (post && strcmp(path, "/control/leave") == 0) {
		e->leaving = true;
		return web_json(r, 200, json_object());
	}
	return web_error(r, 404, "no_such_path", "no");
}

static enum MHD_Result
on_request(void *user, web_req_t *r)
{
	engine_t *e = user;
	enum MHD_Result ok;

	pthread_mutex_lock(&e->lock);
	ok = route(e, r);
	pthread_mutex_unlock(&e->lock);
	return ok;
}

static void
options(engine_t *e, int argc, char **argv)
{
	GOptionEntry entry[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &e->listen,
		    "address to serve on", "IP:PORT" },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &e->id, "worker's id",
		    "ID" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &e->service,
		    "service it belongs to", "NAME" },
		{ "domain", 0, 0, G_OPTION_ARG_STRING, &e->domain,
		    "failure domain", "NAME" },
		{ "memory-mb", 0, 0, G_OPTION_ARG_INT, &e->memory_mb,
		    "memory capacity", "MB" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &e->slots,
		    "concurrent calls", "N" },
		{ "token-ms", 0, 0, G_OPTION_ARG_INT, &e->token_ms,
		    "time between tokens of an otherwise idle engine", "MS" },
		{ "first-ms", 0, 0, G_OPTION_ARG_INT, &e->first_ms,
		    "time to the first token with nothing cached", "MS" },
		{ "fencing", 0, 0, G_OPTION_ARG_STRING, &e->fencing,
		    "refuse orders with a stale fencing token", "yes|no" },
		{ "platform", 0, 0, G_OPTION_ARG_STRING, &e->platform,
		    "platform whose weight store to load from", "IP:PORT" },
		{ "load-ms", 0, 0, G_OPTION_ARG_INT, &e->load_ms,
		    "duration of a model load without a store", "MS" },
		{ "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &e->load_lag_ms,
		    "age of load reports", "MS" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &e->seed,
		    "seed of lost cache events", "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *c = g_option_context_new("- stand-in for an engine");
	GError *err = NULL;

	g_option_context_add_main_entries(c, entry, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &err) ||
	    e->listen == NULL) {
		fprintf(stderr, "standin-engine: %s\n",
		    err == NULL ? "--listen is required" : err->message);
		exit(2);
	}
	g_option_context_free(c);
	if (e->id == NULL)
		e->id = g_strdup(e->listen);
	if (e->service == NULL)
		e->service = g_strdup("");
}

/* Planned stop: refuse new calls and let the running ones end. */
static void
drain(engine_t *e)
{
	ms_t end = clock_now(&machine_clock) + DRAIN_MS;
	bool idle;

	do {
		pthread_mutex_lock(&e->lock);
		e->leaving = true;
		idle = e->batch.in_flight == 0;
		pthread_mutex_unlock(&e->lock);
		clock_sleep(SNAPSHOT_MS);
	} while (!idle && clock_now(&machine_clock) < end);
}

int
main(int argc, char **argv)
{
	engine_t *e = &engine;
	pthread_condattr_t attr;
	batch_opts_t o;

	options(e, argc, argv);
	stop_block();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	snprintf(e->incarnation, sizeof(e->incarnation), "%" PRId64 "-%d",
	    clock_wall(), (int)getpid());
	pthread_mutex_init(&e->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&e->changed, &attr);
	memory_init(&e->memory, e->memory_mb,
	    e->fencing != NULL && strcmp(e->fencing, "yes") == 0);
	o = (batch_opts_t){ .slots = e->slots,
		.token_ms = e->token_ms,
		.first_ms = e->first_ms,
		.seed = e->seed };
	batch_init(&e->batch, &o, &e->memory);
	e->batch.wake = wake_readers;
	g_queue_init(&e->snapshots);
	e->web = web_start(e->listen, on_request, e);
	spawn(batch_thread, e);
	if (e->load_lag_ms > 0)
		spawn(snapshot_thread, e);
	log_open("standin-engine", e->id, e->domain == NULL ? "" : e->domain);
	log_event(LOG_INFO, "started", "addr=%s", e->listen);
	stop_wait();
	drain(e);
	log_event(LOG_INFO, "stopped", "started=%" PRIu64, e->batch.started);
	return 0;
}
