#include "control/control.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

enum {
	/* Interval at which a root lists instances, and its longest watch. */
	LIST_MS = 500,
	POLL_MIN_MS = 5000,  /* shortest interval of other nodes' reads */
	POLL_MAX_MS = 10000, /* longest one; each is drawn at random */
	SLEEP_STEP_MS = 50,  /* interval of checks for stop */
	BACKOFF_FIRST_MS = 100,
	BACKOFF_MAX_MS = 3000,
};

struct follower {
	follower_opts_t o;
	platform_t *platform;
	pthread_t thread;
	bool started, stop;
	rng_t rng;
	backoff_t backoff;
	bool head_read;		   /* note/head has been read once */
	uint64_t catalogue_number; /* highest catalogue passed to the node */
	uint64_t watch_from;	   /* version to watch from; 0: no watch */
	ms_t listed_at;
	ms_t next_poll;
};

static bool
stopping(const follower_t *f)
{
	return __atomic_load_n(&f->stop, __ATOMIC_ACQUIRE);
}

/* The number in note/head's value; 0 if it can't be read. */
static uint64_t
head_number(const object_t *o)
{
	json_t *j = json_loadb(o->value, o->len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(j, "number"));

	json_decref(j);
	return n < 0 ? 0 : (uint64_t)n;
}

/* With the note, the node can send peers the change instead of a catalogue. */
static void
publish_note(follower_t *f, uint64_t number)
{
	char key[ID_MAX];
	object_t o;
	json_t *j, *text;

	snprintf(key, sizeof(key), "note/%" PRIu64, number);
	if (platform_get(f->platform, key, &o, NULL) == -1)
		return;
	j = json_loadb(o.value, o.len, 0, NULL);
	text = json_object_get(j, "text");
	if (json_is_string(text))
		node_set_note(f->o.node, number - 1, json_string_value(text),
		    json_string_length(text));
	json_decref(j);
	object_clear(&o);
}

static int
publish_catalogue(follower_t *f, uint64_t number, err_t *e)
{
	char key[ID_MAX];
	catalogue_t *c;
	object_t o;

	if (number <= f->catalogue_number)
		return 0;
	snprintf(key, sizeof(key), "catalogue/%" PRIu64, number);
	if (platform_get(f->platform, key, &o, e) == -1)
		return -1;
	c = catalogue_decode(o.value, o.len, e);
	object_clear(&o);
	if (c == NULL)
		return -1;
	publish_note(f, number);
	node_set_catalogue(f->o.node, c);
	f->catalogue_number = number;
	log_event(LOG_INFO, "catalogue_followed", "number=%" PRIu64 " note=%s",
	    number, c->note_id);
	catalogue_unref(c);
	return 0;
}

static int
read_head(follower_t *f, err_t *e)
{
	catalogue_t *none;
	uint64_t number;
	object_t o;

	if (platform_get(f->platform, "note/head", &o, e) == -1) {
		if (e->code != ERR_NOT_FOUND)
			return -1;
		/* No note has been accepted yet. */
		if (!f->head_read && f->catalogue_number == 0) {
			none = catalogue_new();
			node_set_catalogue(f->o.node, none);
			catalogue_unref(none);
		}
		f->head_read = true;
		return 0;
	}
	number = head_number(&o);
	object_clear(&o);
	if (publish_catalogue(f, number, e) == -1)
		return -1;
	f->head_read = true;
	return 0;
}

static int
read_list(follower_t *f, err_t *e)
{
	instances_t l;

	if (platform_instances(f->platform, &l, e) == -1)
		return -1;
	node_set_instances(f->o.node, &l);
	instances_clear(&l);
	f->listed_at = clock_now(&machine_clock);
	return 0;
}

/* Get the version to watch from before the read, so that no change is lost. */
static int
begin_watch(follower_t *f, err_t *e)
{
	objects_t all;

	if (platform_list(f->platform, "note/head", &all, e) == -1)
		return -1;
	f->watch_from = all.version;
	objects_clear(&all);
	return read_head(f, e);
}

static int
watch_head(follower_t *f, err_t *e)
{
	objects_t changes;
	int i, rc = 0;

	if (f->watch_from == 0)
		return begin_watch(f, e);
	if (platform_watch(f->platform, "note/head", f->watch_from, LIST_MS,
		&changes, e) == -1) {
		f->watch_from = 0;
		return -1;
	}
	f->watch_from = changes.version;
	for (i = 0; i < changes.n && rc == 0; i++)
		if (!changes.item[i].deleted)
			rc = publish_catalogue(
			    f, head_number(&changes.item[i]), e);
	objects_clear(&changes);
	if (rc == -1)
		f->watch_from = 0;
	return rc;
}

static int
read_all(follower_t *f, err_t *e)
{
	if (read_head(f, e) == -1 || read_list(f, e) == -1)
		return -1;
	f->next_poll = clock_now(&machine_clock) + POLL_MIN_MS +
		       (ms_t)(rng_unit(&f->rng) * (POLL_MAX_MS - POLL_MIN_MS));
	return 0;
}

/*
 * The node's ring may have been full when a catalogue was passed to it. Read
 * again what the node didn't take.
 */
static void
recheck_catalogue(follower_t *f)
{
	view_t *v = node_view(f->o.node);

	if (v != NULL && v->catalogue != NULL &&
	    v->catalogue->number < f->catalogue_number) {
		f->catalogue_number = v->catalogue->number;
		f->watch_from = 0;
	}
	view_unref(v);
}

/* One step: a root watches note/head; other nodes read all when it is due. */
static int
follower_step(follower_t *f, err_t *e)
{
	ms_t now = clock_now(&machine_clock);

	if (!f->head_read || f->listed_at == 0)
		return read_all(f, e);
	if (!node_is_root(f->o.node)) {
		f->watch_from = 0;
		if (now < f->next_poll) {
			clock_sleep(SLEEP_STEP_MS);
			return 0;
		}
		return read_all(f, e);
	}
	if (now - f->listed_at >= LIST_MS) {
		recheck_catalogue(f);
		if (read_list(f, e) == -1)
			return -1;
	}
	return watch_head(f, e);
}

static void *
follow(void *arg)
{
	follower_t *f = arg;
	char text[ERR_TEXT_MAX];
	bool down = false;

	while (!stopping(f)) {
		err_t e = { 0 };
		ms_t until;

		if (follower_step(f, &e) == 0) {
			if (down)
				log_event(LOG_NOTICE, "platform_back", " ");
			down = false;
			backoff_reset(&f->backoff);
			continue;
		}
		if (!down)
			log_event(LOG_WARNING, "platform_away",
			    "code=%s why=%s", err_name(e.code),
			    log_quote(text, sizeof(text), e.text));
		down = true;
		until = clock_now(&machine_clock) +
			backoff_next(&f->backoff, &f->rng);
		while (!stopping(f) && clock_now(&machine_clock) < until)
			clock_sleep(SLEEP_STEP_MS);
	}
	return NULL;
}

follower_t *
follower_new(const follower_opts_t *o, err_t *e)
{
	follower_t *f = g_new0(follower_t, 1);
	platform_opts_t po = { .timeout = o->settings->platform.timeout_ms };

	f->o = *o;
	f->rng.s = hash_str(o->settings->instance.id, clock_wall());
	f->backoff.initial = BACKOFF_FIRST_MS;
	f->backoff.max = BACKOFF_MAX_MS;
	str_set(po.addr, sizeof(po.addr), o->settings->platform.addr);
	str_set(po.user, sizeof(po.user), o->settings->instance.id);
	f->platform = platform_new(&po, e);
	if (f->platform == NULL) {
		follower_free(f);
		return NULL;
	}
	if (pthread_create(&f->thread, NULL, follow, f) != 0) {
		err_set(e, ERR_INTERNAL, "can't start the follower's thread");
		follower_free(f);
		return NULL;
	}
	f->started = true;
	return f;
}

void
follower_free(follower_t *f)
{
	if (f == NULL)
		return;
	if (f->started) {
		__atomic_store_n(&f->stop, true, __ATOMIC_RELEASE);
		pthread_join(f->thread, NULL);
	}
	if (f->platform != NULL)
		platform_free(f->platform);
	g_free(f);
}
