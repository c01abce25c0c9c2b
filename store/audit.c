#include "store/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <ck_pr.h>
#include <glib.h>
#include <jansson.h>

enum {
	RING_SLOTS = 1024,
	QUEUE_MAX = 8192,     /* records waiting to be written */
	BATCH_MAX = 400,      /* records per object, which stays below 1 MiB */
	BATCH_DELAY_MS = 200, /* records of this span share an object */
	IDLE_MS = 1000,
	BACKOFF_FIRST_MS = 200,
	BACKOFF_MAX_MS = 5000,
	DAY_MS = 24 * 3600 * 1000,
	DAYS_MAX = 62, /* a read of more days lists the whole trail */
};

struct audit {
	platform_t *platform;
	char instance[ID_MAX];
	ring_t *ring;
	GQueue queue; /* of audit_record_t, oldest first */
	int64_t started;
	uint64_t serial;    /* of the next object */
	int maybe_written;  /* records of its last write if that may have
			     * succeeded, else 0 */
	int64_t unreported; /* dropped records that no record tells of yet */
	backoff_t backoff;
	rng_t rng;
	ms_t not_before;
	bool down;
	pthread_t thread;
	bool running;
	int stop;
	counter_t *lost, *written;
};

static void
day_of(int64_t wall, char *buf, size_t size)
{
	time_t sec = wall / 1000;
	struct tm tm;

	gmtime_r(&sec, &tm);
	strftime(buf, size, "%Y-%m-%d", &tm);
}

/* A JSON string; bytes that aren't UTF-8 are replaced. */
static json_t *
utf8_string(const char *s)
{
	char *valid = g_utf8_make_valid(s, -1);
	json_t *j = json_string(valid);

	g_free(valid);
	return j;
}

static json_t *
record_json(const audit_t *a, const audit_record_t *r)
{
	json_t *j = json_object();

	json_object_set_new(j, "at", json_integer(r->at));
	json_object_set_new(j, "instance", utf8_string(a->instance));
	json_object_set_new(j, "who", utf8_string(r->who));
	json_object_set_new(j, "kind", utf8_string(r->kind));
	json_object_set_new(j, "subject", utf8_string(r->subject));
	json_object_set_new(j, "model", utf8_string(r->model));
	json_object_set_new(j, "number", json_integer((json_int_t)r->number));
	json_object_set_new(j, "what", utf8_string(r->what));
	json_object_set_new(j, "result", utf8_string(r->result));
	return j;
}

void
audit_add(audit_t *a, const audit_record_t *r)
{
	audit_record_t *copy = malloc(sizeof(*copy));

	if (copy != NULL) {
		*copy = *r;
		if (copy->at == 0)
			copy->at = clock_wall();
		if (ring_push(a->ring, copy))
			return;
		free(copy);
	}
	__atomic_add_fetch(&a->unreported, 1, __ATOMIC_RELAXED);
	counter_add(a->lost, 1);
}

static void
enqueue(audit_t *a, audit_record_t *r)
{
	if (g_queue_get_length(&a->queue) < QUEUE_MAX) {
		g_queue_push_tail(&a->queue, r);
		return;
	}
	free(r);
	__atomic_add_fetch(&a->unreported, 1, __ATOMIC_RELAXED);
	counter_add(a->lost, 1);
}

/* Queue a record of how many were dropped, once there is room for it. */
static void
record_drops(audit_t *a)
{
	int64_t n = __atomic_load_n(&a->unreported, __ATOMIC_RELAXED);
	audit_record_t *r;

	if (n == 0 || g_queue_get_length(&a->queue) >= QUEUE_MAX)
		return;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return;
	__atomic_sub_fetch(&a->unreported, n, __ATOMIC_RELAXED);
	r->at = clock_wall();
	str_set(r->who, sizeof(r->who), a->instance);
	str_set(r->kind, sizeof(r->kind), "audit");
	r->number = (uint64_t)n;
	snprintf(r->what, sizeof(r->what),
	    "%" PRId64 " records were dropped before this one", n);
	str_set(r->result, sizeof(r->result), "dropped");
	g_queue_push_tail(&a->queue, r);
}

/*
 * The object's value: the oldest records, all of one day. A write that may have
 * succeeded is repeated with the same records. @return their number
 */
static int
make_batch(audit_t *a, char *day, size_t size, char **value)
{
	const audit_record_t *first = g_queue_peek_head(&a->queue);
	json_t *all = json_array();
	int n = 0, max = a->maybe_written > 0 ? a->maybe_written : BATCH_MAX;
	GList *l = a->queue.head;

	day_of(first->at, day, size);
	for (; l != NULL && n < max; l = l->next, n++) {
		const audit_record_t *r = l->data;

		if (r->at / DAY_MS != first->at / DAY_MS)
			break;
		json_array_append_new(all, record_json(a, r));
	}
	*value = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	return n;
}

/*
 * Write one object. @return 0, or -1 if it must be retried, with the same
 * records if the write may have succeeded
 */
static int
write_batch(audit_t *a, err_t *e)
{
	char day[16], key[256], *value;
	int i, rc, n;

	n = make_batch(a, day, sizeof(day), &value);
	snprintf(key, sizeof(key), "audit/%s/%s/%013" PRId64 "-%06" PRIu64, day,
	    a->instance, a->started, a->serial);
	rc = platform_put(a->platform, key, value, strlen(value), 0, NULL, e);
	free(value);
	/* Only we write this key: our earlier write succeeded. */
	if (rc == -1 && e->code == ERR_CONFLICT)
		rc = 0;
	if (rc == -1) {
		if (e->code != ERR_DOWN && e->code != ERR_FULL)
			a->maybe_written = n;
		return -1;
	}
	a->maybe_written = 0;
	a->serial++;
	for (i = 0; i < n; i++)
		free(g_queue_pop_head(&a->queue));
	counter_add(a->written, n);
	return 0;
}

static void
write_all(audit_t *a)
{
	char why[ERR_TEXT_MAX];
	err_t e = { 0 };

	while (g_queue_get_length(&a->queue) > 0) {
		if (write_batch(a, &e) == -1) {
			if (!a->down)
				log_event(LOG_WARNING, "audit_waits",
				    "error=%s why=%s", err_name(e.code),
				    log_quote(why, sizeof(why), e.text));
			a->down = true;
			a->not_before = clock_now(&machine_clock) +
					backoff_next(&a->backoff, &a->rng);
			return;
		}
		if (a->down)
			log_event(LOG_NOTICE, "audit_writes_again",
			    "waiting=%u", g_queue_get_length(&a->queue));
		a->down = false;
		backoff_reset(&a->backoff);
	}
}

static void
receive_records(audit_t *a, ms_t wait)
{
	audit_record_t *r = ring_wait(a->ring, wait);

	for (; r != NULL; r = ring_pop(a->ring))
		enqueue(a, r);
}

static void *
run(void *user)
{
	audit_t *a = user;

	while (!ck_pr_load_int(&a->stop)) {
		receive_records(a, IDLE_MS);
		if (clock_now(&machine_clock) < a->not_before) {
			clock_sleep(BATCH_DELAY_MS);
			continue;
		}
		record_drops(a);
		if (g_queue_get_length(&a->queue) == 0)
			continue;
		clock_sleep(BATCH_DELAY_MS);
		receive_records(a, 0);
		write_all(a);
	}
	return NULL;
}

audit_t *
audit_new(const settings_t *s, err_t *e)
{
	platform_opts_t o = { .timeout = s->platform.timeout_ms };
	audit_t *a = calloc(1, sizeof(*a));

	if (a == NULL) {
		err_set(e, ERR_INTERNAL, "no memory for the audit trail");
		return NULL;
	}
	str_set(o.addr, sizeof(o.addr), s->platform.addr);
	str_set(o.user, sizeof(o.user), s->instance.id);
	str_set(a->instance, sizeof(a->instance), s->instance.id);
	a->started = clock_wall();
	a->rng.s = hash_str(a->instance, (uint64_t)a->started);
	a->backoff = (backoff_t){ BACKOFF_FIRST_MS, BACKOFF_MAX_MS, 0 };
	g_queue_init(&a->queue);
	a->lost = counter_get(
	    "ebonypitch_audit_dropped_total", "audit records dropped");
	a->written = counter_get(
	    "ebonypitch_audit_written_total", "audit records written");
	a->ring = ring_new(RING_SLOTS);
	a->platform = platform_new(&o, e);
	if (a->ring != NULL && a->platform != NULL &&
	    pthread_create(&a->thread, NULL, run, a) == 0) {
		a->running = true;
		return a;
	}
	err_set(e, ERR_INTERNAL, "can't start the audit trail");
	audit_free(a);
	return NULL;
}

void
audit_free(audit_t *a)
{
	if (a == NULL)
		return;
	ck_pr_store_int(&a->stop, 1);
	if (a->running) {
		pthread_join(a->thread, NULL);
		receive_records(a, 0);
		record_drops(a);
		write_all(a);
	}
	counter_add(a->lost, g_queue_get_length(&a->queue));
	g_queue_clear_full(&a->queue, free);
	ring_free(a->ring);
	platform_free(a->platform);
	free(a);
}

/* Reading */

static bool
field_matches(const json_t *j, const char *name, const char *want)
{
	const char *s = json_string_value(json_object_get(j, name));

	return want[0] == '\0' || (s != NULL && strcmp(s, want) == 0);
}

static bool
matches(const json_t *j, const audit_filter_t *f)
{
	int64_t at = json_integer_value(json_object_get(j, "at"));

	return at >= f->from && (f->to == 0 || at <= f->to) &&
	       field_matches(j, "subject", f->subject) &&
	       field_matches(j, "model", f->model) &&
	       field_matches(j, "kind", f->kind);
}

static int
read_prefix(platform_t *p, const char *prefix, const audit_filter_t *f,
    GPtrArray *found, err_t *e)
{
	objects_t l;
	int i;

	if (platform_list(p, prefix, &l, e) == -1)
		return -1;
	for (i = 0; i < l.n; i++) {
		json_t *all =
		    json_loadb(l.item[i].value, l.item[i].len, 0, NULL);
		json_t *r;
		size_t n;

		json_array_foreach(all, n, r) if (matches(r, f))
		    g_ptr_array_add(found, json_incref(r));
		json_decref(all);
	}
	objects_clear(&l);
	return 0;
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	int64_t x =
	    json_integer_value(json_object_get(*(json_t *const *)a, "at"));
	int64_t y =
	    json_integer_value(json_object_get(*(json_t *const *)b, "at"));

	return (x > y) - (x < y);
}

static int
read_days(platform_t *p, const audit_filter_t *f, GPtrArray *found, err_t *e)
{
	int64_t to = f->to != 0 ? f->to : clock_wall(), day;
	char prefix[64] = "audit/", name[16];

	if (f->from <= 0 || to - f->from > (int64_t)DAYS_MAX * DAY_MS)
		return read_prefix(p, prefix, f, found, e);
	for (day = f->from / DAY_MS; day <= to / DAY_MS; day++) {
		day_of(day * DAY_MS, name, sizeof(name));
		snprintf(prefix, sizeof(prefix), "audit/%s/", name);
		if (read_prefix(p, prefix, f, found, e) == -1)
			return -1;
	}
	return 0;
}

char *
audit_read(platform_t *p, const audit_filter_t *f, err_t *e)
{
	GPtrArray *found = g_ptr_array_new();
	json_t *out = json_array();
	char *json = NULL;
	guint i;

	if (read_days(p, f, found, e) == 0) {
		g_ptr_array_sort(found, by_time);
		for (i = 0; i < found->len; i++)
			json_array_append(out, found->pdata[i]);
		json = json_dumps(out, JSON_COMPACT);
	}
	for (i = 0; i < found->len; i++)
		json_decref(found->pdata[i]);
	g_ptr_array_free(found, TRUE);
	json_decref(out);
	return json;
}
