#include "standin/web.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	RECORD_MAX = 20000,  /* runs kept in the record */
	BODY_RECORDED = 256, /* bytes of a body kept in the record */
	DRAIN_MS = 10000,    /* longest drain on SIGTERM */
	POLL_MS = 10,
};

typedef struct run {
	char id[ID_MAX];
	char *key, *path, *body;
	int count; /* runs with this key; 1 without a key */
	uint64_t number;
} run_t;

typedef struct service {
	pthread_mutex_t lock;
	web_t *web;
	GQueue runs;	    /* of run_t *, oldest first */
	GHashTable *by_key; /* idempotency key -> run_t * */
	uint64_t started;
	ms_t last_at;
	bool leaving, dedupe;
	int64_t drop_replies, fail;
	char incarnation[ID_MAX];
	char *listen, *id, *service, *domain;
	int slots, work_ms;
} service_t;

static service_t service = { .slots = 32 };

static bool
use_one(int64_t *count)
{
	if (*count <= 0)
		return false;
	--*count;
	return true;
}

static void
drop_oldest(service_t *s)
{
	run_t *r = g_queue_pop_head(&s->runs);

	if (r->key[0] != '\0' && g_hash_table_lookup(s->by_key, r->key) == r)
		g_hash_table_remove(s->by_key, r->key);
	g_free(r->key);
	g_free(r->path);
	g_free(r->body);
	g_free(r);
}

/* Run the call; a second run with the same key raises its count. */
static run_t *
run_call(service_t *s, web_req_t *q, const char *id, const char *key)
{
	run_t *r = key[0] == '\0' ? NULL : g_hash_table_lookup(s->by_key, key);

	if (r != NULL && s->dedupe)
		return r;
	s->started++;
	s->last_at = clock_wall();
	if (r != NULL) {
		r->count++;
		return r;
	}
	r = g_new0(run_t, 1);
	str_set(r->id, sizeof(r->id), id);
	r->key = g_strdup(key);
	r->path = g_strdup(q->path);
	r->body = g_utf8_make_valid(q->body->str,
	    q->body->len < BODY_RECORDED ? q->body->len : BODY_RECORDED);
	r->count = 1;
	r->number = s->started;
	g_queue_push_tail(&s->runs, r);
	if (key[0] != '\0')
		g_hash_table_insert(s->by_key, r->key, r);
	if (s->runs.length > RECORD_MAX)
		drop_oldest(s);
	return r;
}

static enum MHD_Result
on_call(service_t *s, web_req_t *q)
{
	const char *id = web_header(q, "X-Request-Id");
	const char *key = web_header(q, "Idempotency-Key");
	run_t *r;

	if (s->leaving)
		return web_error(q, 503, "leaving", "no");
	r = run_call(s, q, id, key);
	if (use_one(&s->drop_replies))
		return MHD_NO;
	if (use_one(&s->fail))
		return web_error(q, 500, "failed", "yes");
	return web_json(q, 200,
	    json_pack("{s:s,s:s,s:s,s:I}", "id", id, "key", key, "path",
		q->path, "run", (json_int_t)r->number));
}

static enum MHD_Result
set_faults(service_t *s, web_req_t *q)
{
	json_t *j = json_loadb(q->body->str, q->body->len, 0, NULL);

	if (json_object_get(j, "delay_ms") != NULL)
		web_delay(s->web, json_number(j, "delay_ms", 0));
	s->drop_replies = json_number(j, "drop_replies", s->drop_replies);
	s->fail = json_number(j, "fail", s->fail);
	s->dedupe = json_number(j, "dedupe", s->dedupe);
	web_freeze(s->web, json_number(j, "freeze_ms", 0));
	json_decref(j);
	return web_json(q, 200, json_object());
}

static enum MHD_Result
answer_record(service_t *s, web_req_t *q)
{
	json_t *list = json_array();
	GList *l;

	for (l = s->runs.head; l != NULL; l = l->next) {
		const run_t *r = l->data;

		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:i,s:s}", "id", r->id, "key",
			      r->key, "path", r->path, "count", r->count,
			      "body", r->body));
	}
	return web_json(q, 200,
	    json_pack("{s:s,s:o,s:I,s:I}", "worker", s->id, "runs", list,
		"started", (json_int_t)s->started, "last_at_ms",
		(json_int_t)s->last_at));
}

static enum MHD_Result
answer_load(service_t *s, web_req_t *q)
{
	return web_json(q, 200,
	    json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:b,s:[]}",
		"worker", s->id, "incarnation", s->incarnation, "service",
		s->service, "in_flight", web_held(s->web), "queued", 0, "slots",
		s->slots, "memory_mb", 0, "used_mb", 0, "last_order", 0,
		"leaving", s->leaving, "resident"));
}

static enum MHD_Result
route(service_t *s, web_req_t *q)
{
	bool get = strcmp(q->method, "GET") == 0;

	if (get && strcmp(q->path, "/v1/load") == 0)
		return answer_load(s, q);
	if (get && strcmp(q->path, "/control/record") == 0)
		return answer_record(s, q);
	if (strcmp(q->path, "/control/faults") == 0)
		return set_faults(s, q);
	if (strcmp(q->path, "/control/leave") == 0) {
		s->leaving = true;
		return web_json(q, 200, json_object());
	}
	return on_call(s, q);
}

static enum MHD_Result
on_request(void *user, web_req_t *q)
{
	service_t *s = user;
	enum MHD_Result ok;

	pthread_mutex_lock(&s->lock);
	ok = route(s, q);
	pthread_mutex_unlock(&s->lock);
	return ok;
}

static void
options(service_t *s, int argc, char **argv)
{
	GOptionEntry entry[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &s->listen,
		    "address to serve on", "IP:PORT" },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &s->id, "worker's id",
		    "ID" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &s->service,
		    "service it belongs to", "NAME" },
		{ "domain", 0, 0, G_OPTION_ARG_STRING, &s->domain,
		    "failure domain", "NAME" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &s->slots,
		    "concurrent calls", "N" },
		{ "work-ms", 0, 0, G_OPTION_ARG_INT, &s->work_ms,
		    "duration of a call", "MS" },
		{ "dedupe", 0, 0, G_OPTION_ARG_NONE, &s->dedupe,
		    "run each idempotency key once", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *c = g_option_context_new("- stand-in for a service");
	GError *err = NULL;

	g_option_context_add_main_entries(c, entry, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &err) ||
	    s->listen == NULL) {
		fprintf(stderr, "standin-service: %s\n",
		    err == NULL ? "--listen is required" : err->message);
		exit(2);
	}
	g_option_context_free(c);
	if (s->id == NULL)
		s->id = g_strdup(s->listen);
	if (s->service == NULL)
		s->service = g_strdup("");
}

int
main(int argc, char **argv)
{
	service_t *s = &service;
	ms_t end;

	options(s, argc, argv);
	stop_block();
	snprintf(s->incarnation, sizeof(s->incarnation), "%" PRId64 "-%d",
	    clock_wall(), (int)getpid());
	pthread_mutex_init(&s->lock, NULL);
	g_queue_init(&s->runs);
	s->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	/* Requests that arrive before s->web is set wait for the lock. */
	pthread_mutex_lock(&s->lock);
	s->web = web_start(s->listen, on_request, s);
	web_work(s->web, s->work_ms);
	pthread_mutex_unlock(&s->lock);
	log_open("standin-service", s->id, s->domain == NULL ? "" : s->domain);
	log_event(LOG_INFO, "started", "addr=%s", s->listen);
	stop_wait();
	s->leaving = true;
	end = clock_now(&machine_clock) + DRAIN_MS;
	do
		clock_sleep(POLL_MS);
	while (web_held(s->web) > 0 && clock_now(&machine_clock) < end);
	log_event(LOG_INFO, "stopped", "started=%" PRIu64, s->started);
	return 0;
}
