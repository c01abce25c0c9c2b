#include "standin/fake_store.h"
#include "standin/http_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

typedef struct thing {
	char kind[ID_MAX], name[ID_MAX];
	char *spec;
	int64_t revision;
	bool gone;
} thing_t;

/** A connection, and the watch that waits on it. */
typedef struct reader {
	visit_t v;
	bool watching;
	char kind[ID_MAX];
	int64_t from;
} reader_t;

struct shelf {
	booth_t booth;
	GPtrArray *thing; /* thing_t, with those that are gone */
	int64_t revision, compacted;
	shelf_fault_t fault;
	bool deaf;
	int calls;
};

static thing_t *
find(shelf_t *s, const char *kind, const char *name)
{
	guint i;

	for (i = 0; i < s->thing->len; i++) {
		thing_t *t = s->thing->pdata[i];

		if (strcmp(t->kind, kind) == 0 && strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

static json_t *
object_json(const thing_t *t)
{
	json_t *j = json_pack("{s:{s:s,s:I,s:i,s:[],s:b},s:n}", "metadata",
	    "name", t->name, "revision", (json_int_t)t->revision, "created_at",
	    1, "finalizers", "deleting", 0, "status");

	json_object_set_new(
	    j, "spec", json_loads(t->spec, JSON_DECODE_ANY, NULL));
	return j;
}

static shelf_t *
shelf_of(const reader_t *r)
{
	return r->v.booth->owner;
}

static void
reply(reader_t *r, int status, json_t *j)
{
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : strdup("{}");

	json_decref(j);
	buf_fmt(&r->v.link->out,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, http_reason(status), strlen(text), text);
	free(text);
	link_flush(r->v.link);
	if (!r->v.link->dead)
		link_next(r->v.link);
}

/* Changes of a kind after a revision, or NULL. */
static json_t *
changes(shelf_t *s, const char *kind, int64_t from)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < s->thing->len; i++) {
		thing_t *t = s->thing->pdata[i];

		if (strcmp(t->kind, kind) == 0 && t->revision > from)
			json_array_append_new(
			    list, json_pack("{s:b,s:o}", "tombstone", t->gone,
				      "object", object_json(t)));
	}
	if (json_array_size(list) > 0)
		return list;
	json_decref(list);
	return NULL;
}

static void
watch_answer(reader_t *r, json_t *events)
{
	r->watching = false;
	alarm_stop(r->v.booth->loop, &r->v.alarm);
	reply(r, 200,
	    json_pack("{s:o,s:I}", "events",
		events != NULL ? events : json_array(), "as_of",
		(json_int_t)shelf_of(r)->revision));
}

static void
watch_due(void *arg)
{
	watch_answer(arg, NULL);
}

static void
tell(shelf_t *s)
{
	guint i;

	for (i = 0; i < s->booth.visit->len; i++) {
		reader_t *r = s->booth.visit->pdata[i];
		json_t *j;

		if (!r->watching || s->deaf)
			continue;
		j = changes(s, r->kind, r->from);
		if (j != NULL)
			watch_answer(r, j);
	}
}

int64_t
shelf_put(shelf_t *s, const char *kind, const char *name, const char *spec)
{
	thing_t *t = find(s, kind, name);

	if (t == NULL) {
		t = g_new0(thing_t, 1);
		str_copy(t->kind, ID_MAX, kind);
		str_copy(t->name, ID_MAX, name);
		g_ptr_array_add(s->thing, t);
	}
	g_free(t->spec);
	t->spec = g_strdup(spec);
	t->gone = false;
	t->revision = ++s->revision;
	tell(s);
	return t->revision;
}

void
shelf_del(shelf_t *s, const char *kind, const char *name)
{
	thing_t *t = find(s, kind, name);

	if (t == NULL || t->gone)
		return;
	t->gone = true;
	t->revision = ++s->revision;
	tell(s);
}

const char *
shelf_get(shelf_t *s, const char *kind, const char *name)
{
	thing_t *t = find(s, kind, name);

	return t != NULL && !t->gone ? t->spec : NULL;
}

void
shelf_fault(shelf_t *s, shelf_fault_t f)
{
	s->fault = f;
}

void
shelf_deaf(shelf_t *s, bool deaf)
{
	s->deaf = deaf;
}

void
shelf_compact(shelf_t *s)
{
	guint i;

	s->compacted = s->revision;
	for (i = s->booth.visit->len; i-- > 0;) {
		reader_t *r = s->booth.visit->pdata[i];

		if (!r->watching)
			continue;
		booth_hang_up(&r->v);
	}
}

int
shelf_calls(const shelf_t *s)
{
	return s->calls;
}

static int64_t
query(const char *target, const char *key, int64_t none)
{
	const char *p = strstr(target, key);

	return p != NULL ? strtoll(p + strlen(key), NULL, 10) : none;
}

static void
list(reader_t *r, const char *kind)
{
	shelf_t *s = shelf_of(r);
	json_t *items = json_array();
	guint i;

	for (i = 0; i < s->thing->len; i++) {
		thing_t *t = s->thing->pdata[i];

		if (strcmp(t->kind, kind) == 0 && !t->gone)
			json_array_append_new(items, object_json(t));
	}
	reply(r, 200,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0, "as_of",
		(json_int_t)s->revision));
}

static void
watch(reader_t *r, const char *kind, const char *target)
{
	shelf_t *s = shelf_of(r);
	int64_t from = query(target, "watch=", 0);
	json_t *j = s->deaf ? NULL : changes(s, kind, from);

	if (from < s->compacted) {
		json_decref(j);
		reply(r, 410, NULL);
		return;
	}
	str_copy(r->kind, ID_MAX, kind);
	r->from = from;
	if (j != NULL) {
		watch_answer(r, j);
		return;
	}
	r->watching = true;
	r->v.alarm = (alarm_t){ .fn = watch_due, .arg = r };
	alarm_set(s->booth.loop, &r->v.alarm,
	    s->booth.loop->now + query(target, "wait_ms=", 1000));
}

/* POST creates; PUT replaces, at the revision that it names if it does. */
static void
write_thing(reader_t *r, const char *kind, const char *name, bool create)
{
	shelf_t *s = shelf_of(r);
	json_t *j = json_loadb(
	    r->v.body.p + r->v.body.off, buf_len(&r->v.body), 0, NULL);
	json_t *meta = json_object_get(j, "metadata");
	int64_t at = json_integer_value(json_object_get(meta, "revision"));
	const char *named = json_string_value(json_object_get(meta, "name"));
	char *spec = json_dumps(json_object_get(j, "spec"), JSON_COMPACT);
	thing_t *t = find(s, kind, create && named != NULL ? named : name);
	bool there = t != NULL && !t->gone;

	if (create ? there : !there || (at > 0 && at != t->revision)) {
		reply(r, there ? 409 : 404, there ? object_json(t) : NULL);
	} else {
		shelf_put(s, kind, create ? named : name, spec);
		if (s->fault == SHELF_LOST)
			link_pause(r->v.link, true);
		else
			reply(r, 200,
			    object_json(find(s, kind, create ? named : name)));
	}
	free(spec);
	json_decref(j);
}

static void
route(reader_t *r)
{
	static const char base[] = "/v1/objects/";
	const char *target = head_target(&r->v.link->head);
	const char *p = target + sizeof(base) - 1;
	size_t n = strcspn(p, "/?"), m;
	char *kind, *name;

	if (strncmp(target, base, sizeof(base) - 1) != 0) {
		reply(r, 404, NULL);
		return;
	}
	kind = g_strndup(p, n);
	p += n + (p[n] == '/');
	m = p[-1] == '/' ? strcspn(p, "?") : 0;
	name = g_strndup(p, m);
	switch (r->v.link->parser.method) {
	case HTTP_GET:
		if (strstr(target, "watch=") != NULL) {
			watch(r, kind, target);
		} else if (*name == '\0') {
			list(r, kind);
		} else {
			thing_t *t = find(shelf_of(r), kind, name);
			bool there = t != NULL && !t->gone;

			reply(r, there ? 200 : 404,
			    there ? object_json(t) : NULL);
		}
		break;
	case HTTP_DELETE:
		shelf_del(shelf_of(r), kind, name);
		reply(r, 200, NULL);
		break;
	default:
		write_thing(
		    r, kind, name, r->v.link->parser.method == HTTP_POST);
		break;
	}
	g_free(kind);
	g_free(name);
}

static void
done(visit_t *v)
{
	reader_t *r = (reader_t *)v;
	shelf_t *s = shelf_of(r);

	s->calls++;
	switch (s->fault) {
	case SHELF_SILENT:
		return;
	case SHELF_BUSY:
		reply(r, 503, NULL);
		return;
	case SHELF_LIMIT:
		reply(r, 429, NULL);
		return;
	case SHELF_RESET:
		booth_hang_up(v);
		return;
	case SHELF_SOUND:
	case SHELF_LOST:
		break;
	}
	route(r);
}

static const booth_ops_t ops = { .size = sizeof(reader_t), .done = done };

static void
free_thing(gpointer p)
{
	thing_t *t = p;

	g_free(t->spec);
	g_free(t);
}

shelf_t *
shelf_new(loop_t *l, const char *addr)
{
	shelf_t *s = g_new0(shelf_t, 1);

	s->thing = g_ptr_array_new_with_free_func(free_thing);
	booth_open(&s->booth, l, addr, &ops, s);
	return s;
}

void
shelf_free(shelf_t *s)
{
	booth_close(&s->booth);
	g_ptr_array_free(s->thing, TRUE);
	g_free(s);
}
