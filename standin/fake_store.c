#include "standin/fake_store.h"
#include "standin/http_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	COPY_TICK_MS = 20, /* between looks for what a copy shows by now */
};

typedef struct stored_object {
	char kind[ID_MAX], name[256];
	char *spec;
	char *text; /* shown instead of the spec; NULL: the spec */
	int64_t revision;
	ms_t changed_at;
	bool deleted;
} stored_object_t;

/** A connection, with its pending watch. */
typedef struct store_conn {
	server_conn_t conn;
	bool watching;
	bool hangs;   /* nothing comes on it any more */
	bool of_copy; /* the watch allows an old copy */
	char kind[ID_MAX];
	int64_t from;
} store_conn_t;

/** An address of the store, and how objects are shown there. */
typedef struct store_view {
	http_server_t server;
	fake_store_t *store;
	char *addr;
	bool silent, refuses;
	store_view_fn *show; /* NULL: as they are */
	void *arg;
} store_view_t;

struct fake_store {
	loop_t *loop;
	GPtrArray *views;   /* store_view_t */
	GPtrArray *objects; /* stored_object_t, deleted ones included */
	int64_t revision, compacted;
	char compacted_kind[ID_MAX]; /* "": all */
	store_fault_t fault;
	bool watches_muted;
	char refused_kind[ID_MAX]; /* "": none */
	int era;		   /* named in answers, 0: none */
	int page;		   /* objects of a list, 0: all */
	void (*page_fn)(void *arg);
	void *page_arg;
	GPtrArray *copy; /* stored_object_t */
	int64_t copy_revision;
	ms_t copy_age; /* of the copies that watches may allow */
	alarm_t copy_alarm;
	int requests;
};

static stored_object_t *
find_object(fake_store_t *s, const char *kind, const char *name)
{
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		stored_object_t *t = s->objects->pdata[i];

		if (strcmp(t->kind, kind) == 0 && strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

static store_view_t *
view_of(const store_conn_t *c)
{
	return c->conn.server->owner;
}

static fake_store_t *
store_of(const store_conn_t *c)
{
	return view_of(c)->store;
}

static guint
index_of(const fake_store_t *s, const stored_object_t *t)
{
	guint i = 0;

	g_assert_true(g_ptr_array_find(s->objects, t, &i));
	return i;
}

static json_t *
object_json(const store_conn_t *c, const stored_object_t *t)
{
	const store_view_t *v = view_of(c);
	char mark[64];
	char *shown = v->show != NULL && !t->deleted
			  ? v->show(v->arg, t->kind, t->name, t->spec)
			  : NULL;
	json_t *j = json_pack("{s:{s:s,s:I,s:i,s:[],s:b},s:n}", "metadata",
	    "name", t->name, "revision", (json_int_t)t->revision, "created_at",
	    1, "finalizers", "deleting", 0, "status");

	if (t->text != NULL) {
		snprintf(mark, sizeof(mark), "text of object %u",
		    index_of(store_of(c), t));
		json_object_set_new(j, "spec", json_string(mark));
		g_free(shown);
		return j;
	}
	json_object_set_new(j, "spec",
	    json_loads(shown != NULL ? shown : t->spec, JSON_DECODE_ANY, NULL));
	g_free(shown);
	return j;
}

/* Shows objects as the texts that were set for them. */
static char *
show_texts(const fake_store_t *s, char *json)
{
	GString *t = g_string_new(json);
	char mark[64];
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		const stored_object_t *o = s->objects->pdata[i];

		if (o->text == NULL)
			continue;
		snprintf(mark, sizeof(mark), "\"text of object %u\"", i);
		g_string_replace(t, mark, o->text, 0);
	}
	free(json);
	return g_string_free(t, FALSE);
}

static void
reply(store_conn_t *c, int status, json_t *j)
{
	char *text = show_texts(store_of(c),
	    j != NULL ? json_dumps(j, JSON_COMPACT) : strdup("{}"));
	int era = store_of(c)->era;

	json_decref(j);
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status,
	    http_reason(status));
	if (era > 0)
		buf_fmt(&c->conn.http->out, "Store-Era: %d\r\n", era);
	buf_fmt(&c->conn.http->out, "Content-Length: %zu\r\n\r\n%s",
	    strlen(text), text);
	free(text);
	http_conn_flush(c->conn.http);
	if (!c->conn.http->closed)
		http_conn_next(c->conn.http);
}

/* Does the connection's watch see the object's last change yet? */
static bool
is_shown(const store_conn_t *c, const stored_object_t *t)
{
	const fake_store_t *s = store_of(c);

	return !c->of_copy || t->changed_at + s->copy_age <= s->loop->now;
}

/* The revision of what the connection's watch sees. */
static int64_t
shown_revision(const store_conn_t *c)
{
	const fake_store_t *s = store_of(c);
	int64_t revision = s->revision;
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		const stored_object_t *t = s->objects->pdata[i];

		if (!is_shown(c, t) && t->revision <= revision)
			revision = t->revision - 1;
	}
	return revision > c->from ? revision : c->from;
}

/* Changes of a kind after a revision, or NULL if there are none. */
static json_t *
changes_since(const store_conn_t *c, const char *kind, int64_t from)
{
	const fake_store_t *s = store_of(c);
	json_t *list = json_array();
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		stored_object_t *t = s->objects->pdata[i];

		if (strcmp(t->kind, kind) == 0 && t->revision > from &&
		    is_shown(c, t))
			json_array_append_new(
			    list, json_pack("{s:b,s:o}", "tombstone",
				      t->deleted, "object", object_json(c, t)));
	}
	if (json_array_size(list) > 0)
		return list;
	json_decref(list);
	return NULL;
}

static void
watch_answer(store_conn_t *c, json_t *events)
{
	c->watching = false;
	alarm_stop(c->conn.server->loop, &c->conn.alarm);
	reply(c, 200,
	    json_pack("{s:o,s:I}", "events",
		events != NULL ? events : json_array(), "as_of",
		(json_int_t)shown_revision(c)));
}

static void
on_watch_timeout(void *arg)
{
	store_conn_t *c = arg;

	if (!view_of(c)->silent && !c->hangs)
		watch_answer(c, NULL);
}

static void
notify_view(store_view_t *v)
{
	guint i;

	for (i = 0; i < v->server.conns->len; i++) {
		store_conn_t *c = v->server.conns->pdata[i];
		json_t *j;

		if (!c->watching || v->store->watches_muted || v->silent ||
		    c->hangs)
			continue;
		j = changes_since(c, c->kind, c->from);
		if (j != NULL)
			watch_answer(c, j);
	}
}

static void
notify_watches(fake_store_t *s)
{
	guint i;

	for (i = 0; i < s->views->len; i++)
		notify_view(s->views->pdata[i]);
}

int64_t
fake_store_put(
    fake_store_t *s, const char *kind, const char *name, const char *spec)
{
	stored_object_t *t = find_object(s, kind, name);

	if (t == NULL) {
		t = g_new0(stored_object_t, 1);
		str_set(t->kind, ID_MAX, kind);
		str_set(t->name, sizeof(t->name), name);
		g_ptr_array_add(s->objects, t);
	}
	g_clear_pointer(&t->text, g_free);
	g_free(t->spec);
	t->spec = g_strdup(spec);
	t->deleted = false;
	t->revision = ++s->revision;
	t->changed_at = s->loop->now;
	notify_watches(s);
	return t->revision;
}

void
fake_store_put_text(
    fake_store_t *s, const char *kind, const char *name, const char *text)
{
	fake_store_mute_watches(s, true);
	fake_store_put(s, kind, name, "{}");
	find_object(s, kind, name)->text = g_strdup(text);
	fake_store_mute_watches(s, false);
	notify_watches(s);
}

void
fake_store_set_page(fake_store_t *s, int n)
{
	s->page = n;
}

void
fake_store_set_page_fn(fake_store_t *s, void (*fn)(void *arg), void *arg)
{
	s->page_fn = fn;
	s->page_arg = arg;
}

void
fake_store_del(fake_store_t *s, const char *kind, const char *name)
{
	stored_object_t *t = find_object(s, kind, name);

	if (t == NULL || t->deleted)
		return;
	t->deleted = true;
	t->revision = ++s->revision;
	t->changed_at = s->loop->now;
	notify_watches(s);
}

const char *
fake_store_get(fake_store_t *s, const char *kind, const char *name)
{
	stored_object_t *t = find_object(s, kind, name);

	return t != NULL && !t->deleted ? t->spec : NULL;
}

void
fake_store_set_fault(fake_store_t *s, store_fault_t f)
{
	s->fault = f;
}

void
fake_store_refuse_kind(fake_store_t *s, const char *kind)
{
	str_set(s->refused_kind, ID_MAX, kind != NULL ? kind : "");
}

void
fake_store_mute_watches(fake_store_t *s, bool muted)
{
	s->watches_muted = muted;
}

static void
free_object(gpointer p)
{
	stored_object_t *t = p;

	g_free(t->spec);
	g_free(t->text);
	g_free(t);
}

static gpointer
copy_object(gconstpointer p, gpointer arg)
{
	const stored_object_t *t = p;
	stored_object_t *to = g_memdup2(t, sizeof(*t));

	(void)arg;
	to->spec = g_strdup(t->spec);
	to->text = g_strdup(t->text);
	return to;
}

static GPtrArray *
copy_objects(GPtrArray *from)
{
	GPtrArray *to = g_ptr_array_copy(from, copy_object, NULL);

	g_ptr_array_set_free_func(to, free_object);
	return to;
}

void
fake_store_begin_eras(fake_store_t *s)
{
	s->era = 7;
	fake_store_keep_copy(s);
}

void
fake_store_keep_copy(fake_store_t *s)
{
	if (s->copy != NULL)
		g_ptr_array_free(s->copy, TRUE);
	s->copy = copy_objects(s->objects);
	s->copy_revision = s->revision;
}

void
fake_store_return_to_copy(fake_store_t *s)
{
	guint i;

	g_ptr_array_free(s->objects, TRUE);
	s->objects = copy_objects(s->copy);
	s->revision = s->copy_revision;
	s->era++;
	for (i = 0; i < s->views->len; i++) {
		store_view_t *v = s->views->pdata[i];

		while (v->server.conns->len > 0)
			server_conn_close(
			    v->server.conns->pdata[v->server.conns->len - 1]);
	}
}

static bool
is_compacted(const fake_store_t *s, const char *kind)
{
	return s->compacted_kind[0] == '\0' ||
	       strcmp(s->compacted_kind, kind) == 0;
}

static void
close_watches(store_view_t *v)
{
	guint i;

	for (i = v->server.conns->len; i-- > 0;) {
		store_conn_t *c = v->server.conns->pdata[i];

		if (!c->watching)
			continue;
		server_conn_close(&c->conn);
	}
}

static void
close_compacted(store_view_t *v)
{
	guint i;

	for (i = v->server.conns->len; i-- > 0;) {
		store_conn_t *c = v->server.conns->pdata[i];

		if (c->watching && !c->of_copy &&
		    is_compacted(v->store, c->kind))
			server_conn_close(&c->conn);
	}
}

void
fake_store_compact_kind(fake_store_t *s, const char *kind)
{
	guint i;

	str_set(s->compacted_kind, ID_MAX, kind);
	s->compacted = s->revision;
	for (i = 0; i < s->views->len; i++)
		close_compacted(s->views->pdata[i]);
}

void
fake_store_compact(fake_store_t *s)
{
	fake_store_compact_kind(s, "");
}

static void
on_copy_tick(void *arg)
{
	fake_store_t *s = arg;

	notify_watches(s);
	alarm_set(s->loop, &s->copy_alarm, s->loop->now + COPY_TICK_MS);
}

void
fake_store_set_copy_age(fake_store_t *s, ms_t age)
{
	s->copy_age = age;
	s->copy_alarm = (alarm_t){ .fn = on_copy_tick, .arg = s };
	alarm_set(s->loop, &s->copy_alarm, s->loop->now + COPY_TICK_MS);
}

int
fake_store_requests(const fake_store_t *s)
{
	return s->requests;
}

static int64_t
query(const char *target, const char *key, int64_t none)
{
	const char *p = strstr(target, key);

	return p != NULL ? strtoll(p + strlen(key), NULL, 10) : none;
}

static int
by_name(gconstpointer a, gconstpointer b)
{
	const stored_object_t *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* @return the name after which a list goes on, "": none, g_malloc'd */
static char *
list_after(const char *target)
{
	const char *p = strstr(target, "after=");

	return p != NULL ? g_uri_unescape_segment(
			       p + strlen("after="), p + strcspn(p, "&"), NULL)
			 : g_strdup("");
}

static void
list_objects(store_conn_t *c, const char *kind, const char *target)
{
	fake_store_t *s = store_of(c);
	GPtrArray *sorted = g_ptr_array_new();
	char *after = list_after(target);
	json_t *items = json_array();
	bool more = false;
	guint i;

	if (*after != '\0' && s->page_fn != NULL)
		s->page_fn(s->page_arg);
	g_ptr_array_extend(sorted, s->objects, NULL, NULL);
	g_ptr_array_sort(sorted, by_name);
	for (i = 0; i < sorted->len && !more; i++) {
		stored_object_t *t = sorted->pdata[i];

		if (strcmp(t->kind, kind) != 0 || t->deleted ||
		    (*after != '\0' && strcmp(t->name, after) <= 0))
			continue;
		more = s->page > 0 && json_array_size(items) == (size_t)s->page;
		if (!more)
			json_array_append_new(items, object_json(c, t));
	}
	reply(c, 200,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
		"as_of", (json_int_t)s->revision));
	g_ptr_array_free(sorted, TRUE);
	g_free(after);
}

static void
start_watch(store_conn_t *c, const char *kind, const char *target)
{
	fake_store_t *s = store_of(c);
	int64_t from = query(target, "watch=", 0);
	json_t *j;

	c->of_copy =
	    s->copy_age > 0 && strstr(target, "serializable=1") != NULL;
	c->from = from;
	j = s->watches_muted ? NULL : changes_since(c, kind, from);
	if (!c->of_copy && ((from < s->compacted && is_compacted(s, kind)) ||
			       from > s->revision)) {
		json_decref(j);
		reply(c, 410, NULL);
		return;
	}
	str_set(c->kind, ID_MAX, kind);
	if (j != NULL) {
		watch_answer(c, j);
		return;
	}
	c->watching = true;
	c->conn.alarm = (alarm_t){ .fn = on_watch_timeout, .arg = c };
	alarm_set(s->loop, &c->conn.alarm,
	    s->loop->now + query(target, "wait_ms=", 1000));
}

/* POST creates; PUT replaces, if the revision that it names is current. */
static void
write_object(store_conn_t *c, const char *kind, const char *name, bool create)
{
	fake_store_t *s = store_of(c);
	json_t *j = json_loadb(
	    c->conn.body.p + c->conn.body.off, buf_len(&c->conn.body), 0, NULL);
	json_t *meta = json_object_get(j, "metadata");
	int64_t at = json_integer_value(json_object_get(meta, "revision"));
	const char *named = json_string_value(json_object_get(meta, "name"));
	char *spec = json_dumps(json_object_get(j, "spec"), JSON_COMPACT);
	stored_object_t *t =
	    find_object(s, kind, create && named != NULL ? named : name);
	bool there = t != NULL && !t->deleted;

	if (create ? there : !there || (at > 0 && at != t->revision)) {
		reply(c, there ? 409 : 404, there ? object_json(c, t) : NULL);
	} else {
		fake_store_put(s, kind, create ? named : name, spec);
		if (s->fault == STORE_LOST_ANSWER)
			http_conn_pause(c->conn.http, true);
		else
			reply(c, 200,
			    object_json(c,
				find_object(s, kind, create ? named : name)));
	}
	free(spec);
	json_decref(j);
}

static void
route(store_conn_t *c)
{
	static const char base[] = "/v1/objects/";
	const char *target = head_target(&c->conn.http->head);
	const char *p = target + sizeof(base) - 1;
	size_t n = strcspn(p, "/?"), m;
	char *kind, *name;

	if (strncmp(target, base, sizeof(base) - 1) != 0) {
		reply(c, 404, NULL);
		return;
	}
	kind = g_strndup(p, n);
	p += n + (p[n] == '/');
	m = p[-1] == '/' ? strcspn(p, "?") : 0;
	name = g_strndup(p, m);
	if (strcmp(kind, store_of(c)->refused_kind) == 0) {
		reply(c, 503, NULL);
		g_free(kind);
		g_free(name);
		return;
	}
	switch (c->conn.http->parser.method) {
	case HTTP_GET:
		if (strstr(target, "watch=") != NULL) {
			start_watch(c, kind, target);
		} else if (*name == '\0') {
			list_objects(c, kind, target);
		} else {
			stored_object_t *t =
			    find_object(store_of(c), kind, name);
			bool there = t != NULL && !t->deleted;

			reply(c, there ? 200 : 404,
			    there ? object_json(c, t) : NULL);
		}
		break;
	case HTTP_DELETE:
		fake_store_del(store_of(c), kind, name);
		reply(c, 200, NULL);
		break;
	default:
		write_object(
		    c, kind, name, c->conn.http->parser.method == HTTP_POST);
		break;
	}
	g_free(kind);
	g_free(name);
}

static void
on_request(server_conn_t *v)
{
	store_conn_t *c = (store_conn_t *)v;
	fake_store_t *s = store_of(c);

	s->requests++;
	if (view_of(c)->silent || c->hangs)
		return;
	if (view_of(c)->refuses) {
		reply(c, 503, NULL);
		return;
	}
	switch (s->fault) {
	case STORE_SILENT:
		return;
	case STORE_BUSY:
		reply(c, 503, NULL);
		return;
	case STORE_RATE_LIMIT:
		reply(c, 429, NULL);
		return;
	case STORE_RESET:
		server_conn_close(v);
		return;
	case STORE_OK:
	case STORE_LOST_ANSWER:
		break;
	}
	route(c);
}

static const http_server_ops_t ops = { .size = sizeof(store_conn_t),
	.done = on_request };

void
fake_store_add_view(
    fake_store_t *s, const char *addr, store_view_fn *show, void *arg)
{
	store_view_t *v = g_new0(store_view_t, 1);

	*v = (store_view_t){
		.store = s, .addr = g_strdup(addr), .show = show, .arg = arg
	};
	g_ptr_array_add(s->views, v);
	http_server_open(&v->server, s->loop, addr, &ops, v);
}

static store_view_t *
view_at(fake_store_t *s, const char *addr)
{
	guint i;

	for (i = 0; i < s->views->len; i++) {
		store_view_t *v = s->views->pdata[i];

		if (strcmp(v->addr, addr) == 0)
			return v;
	}
	g_assert_not_reached();
}

void
fake_store_silence_view(fake_store_t *s, const char *addr, bool silent)
{
	view_at(s, addr)->silent = silent;
}

void
fake_store_hang_connections(fake_store_t *s, const char *addr)
{
	store_view_t *v = view_at(s, addr);
	guint i;

	for (i = 0; i < v->server.conns->len; i++)
		((store_conn_t *)v->server.conns->pdata[i])->hangs = true;
}

void
fake_store_refuse_view(fake_store_t *s, const char *addr, bool refuses)
{
	view_at(s, addr)->refuses = refuses;
	if (refuses)
		close_watches(view_at(s, addr));
}

fake_store_t *
fake_store_new(loop_t *l, const char *addr)
{
	fake_store_t *s = g_new0(fake_store_t, 1);

	s->loop = l;
	s->objects = g_ptr_array_new_with_free_func(free_object);
	s->views = g_ptr_array_new_with_free_func(g_free);
	fake_store_add_view(s, addr, NULL, NULL);
	return s;
}

void
fake_store_free(fake_store_t *s)
{
	guint i;

	alarm_stop(s->loop, &s->copy_alarm);
	for (i = 0; i < s->views->len; i++) {
		store_view_t *v = s->views->pdata[i];

		http_server_close(&v->server);
		g_free(v->addr);
	}
	g_ptr_array_free(s->views, TRUE);
	g_ptr_array_free(s->objects, TRUE);
	if (s->copy != NULL)
		g_ptr_array_free(s->copy, TRUE);
	g_free(s);
}
