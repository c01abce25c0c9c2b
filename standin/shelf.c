#include "standin/shelf.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct thing {
	char kind[ID_MAX], name[ID_MAX];
	char *spec;
	int64_t revision;
	bool gone;
} thing_t;

typedef struct visit {
	shelf_t *s;
	link_t *link;
	buf_t body;
	/* A watch that waits. */
	bool watching;
	char kind[ID_MAX];
	int64_t from;
	alarm_t due;
} visit_t;

struct shelf {
	loop_t *loop;
	watch_t door;
	GPtrArray *thing; /* thing_t, with those that are gone */
	GPtrArray *visit;
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

static void
reply(visit_t *v, int status, json_t *j)
{
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : strdup("{}");

	json_decref(j);
	buf_fmt(&v->link->out,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, http_reason(status), strlen(text), text);
	free(text);
	link_flush(v->link);
	if (!v->link->dead)
		link_next(v->link);
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
watch_answer(visit_t *v, json_t *events)
{
	v->watching = false;
	alarm_stop(v->s->loop, &v->due);
	reply(v, 200,
	    json_pack("{s:o,s:I}", "events",
		events != NULL ? events : json_array(), "as_of",
		(json_int_t)v->s->revision));
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

	for (i = 0; i < s->visit->len; i++) {
		visit_t *v = s->visit->pdata[i];
		json_t *j;

		if (!v->watching || s->deaf)
			continue;
		j = changes(s, v->kind, v->from);
		if (j != NULL)
			watch_answer(v, j);
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
	for (i = s->visit->len; i-- > 0;) {
		visit_t *v = s->visit->pdata[i];

		if (!v->watching)
			continue;
		alarm_stop(s->loop, &v->due);
		link_close(v->link);
		g_ptr_array_remove_index(s->visit, i);
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
list(visit_t *v, const char *kind)
{
	shelf_t *s = v->s;
	json_t *items = json_array();
	guint i;

	for (i = 0; i < s->thing->len; i++) {
		thing_t *t = s->thing->pdata[i];

		if (strcmp(t->kind, kind) == 0 && !t->gone)
			json_array_append_new(items, object_json(t));
	}
	reply(v, 200,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0, "as_of",
		(json_int_t)s->revision));
}

static void
watch(visit_t *v, const char *kind, const char *target)
{
	shelf_t *s = v->s;
	int64_t from = query(target, "watch=", 0);
	json_t *j = s->deaf ? NULL : changes(s, kind, from);

	if (from < s->compacted) {
		json_decref(j);
		reply(v, 410, NULL);
		return;
	}
	str_copy(v->kind, ID_MAX, kind);
	v->from = from;
	if (j != NULL) {
		watch_answer(v, j);
		return;
	}
	v->watching = true;
	v->due = (alarm_t){ .fn = watch_due, .arg = v };
	alarm_set(
	    s->loop, &v->due, s->loop->now + query(target, "wait_ms=", 1000));
}

/* POST creates; PUT replaces, at the revision that it names if it does. */
static void
write_thing(visit_t *v, const char *kind, const char *name, bool create)
{
	shelf_t *s = v->s;
	json_t *j =
	    json_loadb(v->body.p + v->body.off, buf_len(&v->body), 0, NULL);
	json_t *meta = json_object_get(j, "metadata");
	int64_t at = json_integer_value(json_object_get(meta, "revision"));
	const char *named = json_string_value(json_object_get(meta, "name"));
	char *spec = json_dumps(json_object_get(j, "spec"), JSON_COMPACT);
	thing_t *t = find(s, kind, create && named != NULL ? named : name);
	bool there = t != NULL && !t->gone;

	if (create ? there : !there || (at > 0 && at != t->revision)) {
		reply(v, there ? 409 : 404, there ? object_json(t) : NULL);
	} else {
		shelf_put(s, kind, create ? named : name, spec);
		if (s->fault == SHELF_LOST)
			link_pause(v->link, true);
		else
			reply(v, 200,
			    object_json(find(s, kind, create ? named : name)));
	}
	free(spec);
	json_decref(j);
}

static void
route(visit_t *v)
{
	static const char base[] = "/v1/objects/";
	const char *target = head_target(&v->link->head);
	const char *p = target + sizeof(base) - 1;
	size_t n = strcspn(p, "/?"), m;
	char *kind, *name;

	if (strncmp(target, base, sizeof(base) - 1) != 0) {
		reply(v, 404, NULL);
		return;
	}
	kind = g_strndup(p, n);
	p += n + (p[n] == '/');
	m = p[-1] == '/' ? strcspn(p, "?") : 0;
	name = g_strndup(p, m);
	switch (v->link->parser.method) {
	case HTTP_GET:
		if (strstr(target, "watch=") != NULL) {
			watch(v, kind, target);
		} else if (*name == '\0') {
			list(v, kind);
		} else {
			thing_t *t = find(v->s, kind, name);
			bool there = t != NULL && !t->gone;

			reply(v, there ? 200 : 404,
			    there ? object_json(t) : NULL);
		}
		break;
	case HTTP_DELETE:
		shelf_del(v->s, kind, name);
		reply(v, 200, NULL);
		break;
	default:
		write_thing(v, kind, name, v->link->parser.method == HTTP_POST);
		break;
	}
	g_free(kind);
	g_free(name);
}

static void
on_head(void *u, link_t *k)
{
	visit_t *v = u;

	(void)k;
	v->body.off = v->body.len = 0;
}

static void
on_body(void *u, link_t *k, const char *p, size_t n)
{
	visit_t *v = u;

	(void)k;
	buf_add(&v->body, p, n);
}

static void
on_end(void *u, link_t *k, link_end_t why)
{
	visit_t *v = u;

	(void)k, (void)why;
	alarm_stop(v->s->loop, &v->due);
	g_ptr_array_remove(v->s->visit, v);
}

static void
on_done(void *u, link_t *k)
{
	visit_t *v = u;

	v->s->calls++;
	switch (v->s->fault) {
	case SHELF_SILENT:
		return;
	case SHELF_BUSY:
		reply(v, 503, NULL);
		return;
	case SHELF_LIMIT:
		reply(v, 429, NULL);
		return;
	case SHELF_RESET:
		on_end(v, k, LINK_RESET);
		link_close(k);
		return;
	case SHELF_SOUND:
	case SHELF_LOST:
		break;
	}
	route(v);
}

static void
on_bad(void *u, link_t *k, int status)
{
	(void)status;
	on_end(u, k, LINK_BAD);
	link_close(k);
}

static const link_ops_t ops = { .head = on_head,
	.body = on_body,
	.done = on_done,
	.bad = on_bad,
	.end = on_end };

static void
free_visit(gpointer p)
{
	visit_t *v = p;

	buf_free(&v->body);
	loop_bury(v->s->loop, v);
}

static void
knock(void *arg, uint32_t ev)
{
	shelf_t *s = arg;
	int fd;

	(void)ev;
	while ((fd = accept(s->door.fd, NULL, NULL)) != -1) {
		visit_t *v = calloc(1, sizeof(*v));

		v->s = s;
		v->link = link_accept(s->loop, fd, &ops, v);
		g_ptr_array_add(s->visit, v);
	}
}

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
	err_t e = { 0 };

	s->loop = l;
	s->thing = g_ptr_array_new_with_free_func(free_thing);
	s->visit = g_ptr_array_new_with_free_func(free_visit);
	s->door = (watch_t){ net_listen(addr, &e), 0, knock, s };
	if (s->door.fd == -1)
		g_error("%s", e.text);
	watch_add(l, &s->door, EPOLLIN);
	return s;
}

void
shelf_free(shelf_t *s)
{
	guint i;

	watch_del(s->loop, &s->door);
	for (i = 0; i < s->visit->len; i++) {
		visit_t *v = s->visit->pdata[i];

		alarm_stop(s->loop, &v->due);
		link_close(v->link);
	}
	g_ptr_array_free(s->visit, TRUE);
	g_ptr_array_free(s->thing, TRUE);
	g_free(s);
}
