/* The platform's object store, by PROTOCOL.md and the fourth letter. */
#include "review/stage/stage.h"

#include <stdlib.h>
#include <string.h>

typedef struct written {
	ms_t at;
	char kind[48], name[80];
	json_t *spec; /* NULL: removed */
	int64_t revision, created;
} written_t;

typedef struct store_conn {
	server_conn_t conn;
	bool watching;
	char kind[48];
	int64_t from;
} store_conn_t;

static GPtrArray *history; /* written_t, in order */
static int64_t revision = 100;
static int era = 1;
static http_server_t server;
static bool up;

static void
free_written(gpointer p)
{
	written_t *w = p;

	json_decref(w->spec);
	g_free(w);
}

/* The last write of an object, NULL: none. */
static written_t *
last_of(const char *kind, const char *name)
{
	guint i;

	for (i = history->len; i-- > 0;) {
		written_t *w = history->pdata[i];

		if (strcmp(w->kind, kind) == 0 && strcmp(w->name, name) == 0)
			return w;
	}
	return NULL;
}

static json_t *
object_json(const written_t *w)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:{}}", "metadata",
	    "name", w->name, "revision", (json_int_t)w->revision, "created_at",
	    (json_int_t)w->created, "finalizers", "deleting", 0, "spec",
	    w->spec != NULL ? w->spec : json_object(), "status");
}

static bool odd_number;

void
store_show_odd_number(const char *name)
{
	(void)name;
	odd_number = true;
}

static void
reply(store_conn_t *c, int status, json_t *j)
{
	static const char shown[] = "\"odd number\"";
	static const char number[] = "99999999999999999999";
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : strdup("{}");
	char *at;

	if (odd_number && (at = strstr(text, shown)) != NULL) {
		char *longer = g_strdup_printf("%.*s%s%s", (int)(at - text),
		    text, number, at + sizeof(shown) - 1);

		free(text);
		text = longer;
	}
	json_decref(j);
	buf_fmt(&c->conn.http->out,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n%s",
	    status, http_reason(status), era, strlen(text), text);
	free(text);
	http_conn_flush(c->conn.http);
	if (!c->conn.http->closed)
		http_conn_next(c->conn.http);
}

static json_t *
events_since(const char *kind, int64_t from)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < history->len; i++) {
		written_t *w = history->pdata[i];

		if (w->revision <= from || strcmp(w->kind, kind) != 0 ||
		    last_of(w->kind, w->name) != w)
			continue;
		json_array_append_new(
		    list, json_pack("{s:o,s:b}", "object", object_json(w),
			      "tombstone", w->spec == NULL));
	}
	return list;
}

static void
answer_watch(store_conn_t *c)
{
	json_t *list = events_since(c->kind, c->from);

	c->watching = false;
	alarm_stop(&loop, &c->conn.alarm);
	reply(c, 200,
	    json_pack(
		"{s:o,s:I}", "events", list, "as_of", (json_int_t)revision));
}

static void
on_watch_end(void *arg)
{
	answer_watch(arg);
}

static void
notify(const char *kind)
{
	guint i;

	for (i = 0; up && i < server.conns->len; i++) {
		store_conn_t *c = server.conns->pdata[i];

		if (c->watching && strcmp(c->kind, kind) == 0)
			answer_watch(c);
	}
}

int64_t
store_write(const char *kind, const char *name, json_t *spec)
{
	written_t *before = last_of(kind, name), *w;

	if (before != NULL && json_equal(before->spec, spec)) {
		json_decref(spec);
		return before->revision;
	}
	if (before == NULL && spec == NULL)
		return 0;
	w = g_new0(written_t, 1);
	w->at = loop.now;
	str_copy(w->kind, sizeof(w->kind), kind);
	str_copy(w->name, sizeof(w->name), name);
	w->spec = spec;
	w->revision = ++revision;
	w->created =
	    before != NULL && before->spec != NULL ? before->created : revision;
	g_ptr_array_add(history, w);
	notify(kind);
	return w->revision;
}

json_t *
store_read(const char *kind, const char *name)
{
	written_t *w = last_of(kind, name);

	return w != NULL ? w->spec : NULL;
}

int64_t
store_revision(void)
{
	return revision;
}

static int64_t
query(const char *target, const char *key, int64_t none)
{
	const char *p = strstr(target, key);

	return p != NULL ? strtoll(p + strlen(key), NULL, 10) : none;
}

static void
list(store_conn_t *c, const char *kind)
{
	json_t *items = json_array();
	guint i;

	for (i = 0; i < history->len; i++) {
		written_t *w = history->pdata[i];

		if (strcmp(w->kind, kind) == 0 && w->spec != NULL &&
		    last_of(w->kind, w->name) == w)
			json_array_append_new(items, object_json(w));
	}
	reply(c, 200,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0, "as_of",
		(json_int_t)revision));
}

static void
watch(store_conn_t *c, const char *kind, const char *target)
{
	c->from = query(target, "watch=", 0);
	str_copy(c->kind, sizeof(c->kind), kind);
	if (c->from > revision) {
		reply(c, 410, NULL);
		return;
	}
	if (json_array_size(events_since(kind, c->from)) > 0) {
		answer_watch(c);
		return;
	}
	c->watching = true;
	c->conn.alarm = (alarm_t){ .fn = on_watch_end, .arg = c };
	alarm_set(
	    &loop, &c->conn.alarm, loop.now + query(target, "wait_ms=", 1000));
}

static void
write_object(store_conn_t *c, const char *kind, const char *named, bool create)
{
	json_t *j = json_loadb(
	    c->conn.body.p + c->conn.body.off, buf_len(&c->conn.body), 0, NULL);
	json_t *meta = json_object_get(j, "metadata");
	json_t *at = json_object_get(meta, "revision");
	const char *name =
	    create ? json_string_value(json_object_get(meta, "name")) : named;
	written_t *w = name != NULL ? last_of(kind, name) : NULL;
	bool there = w != NULL && w->spec != NULL;

	if (name == NULL || json_object_get(j, "spec") == NULL) {
		reply(c, 400, NULL);
	} else if (create && there) {
		reply(c, 409, object_json(w));
	} else if (!create && !there) {
		reply(c, 404, NULL);
	} else if (at != NULL &&
		   (!there || json_integer_value(at) != w->revision)) {
		reply(c, 409, there ? object_json(w) : NULL);
	} else {
		store_write(
		    kind, name, json_incref(json_object_get(j, "spec")));
		if (strcmp(kind, "ebonypitch-leases") == 0)
			note("store: lease written, revision %" PRId64
			     " holder %s released %d",
			    revision,
			    json_string_value(json_object_get(
				json_object_get(j, "spec"), "holder")),
			    json_is_true(json_object_get(
				json_object_get(j, "spec"), "released")));
		reply(c, create ? 201 : 200, object_json(last_of(kind, name)));
	}
	json_decref(j);
}

static void
on_request(server_conn_t *v)
{
	static const char base[] = "/v1/objects/";
	store_conn_t *c = (store_conn_t *)v;
	const char *target = head_target(&v->http->head);
	char kind[48] = "", name[80] = "";
	const char *p;
	size_t n;

	if (strncmp(target, base, sizeof(base) - 1) != 0) {
		reply(c, 404, NULL);
		return;
	}
	p = target + sizeof(base) - 1;
	n = strcspn(p, "/?");
	g_snprintf(kind, sizeof(kind), "%.*s", (int)n, p);
	p += n;
	if (*p == '/')
		g_snprintf(name, sizeof(name), "%.*s",
		    (int)strcspn(p + 1, "/?"), p + 1);
	switch (v->http->parser.method) {
	case HTTP_GET:
		if (strstr(target, "watch=") != NULL) {
			watch(c, kind, target);
		} else if (name[0] == '\0') {
			list(c, kind);
		} else {
			written_t *w = last_of(kind, name);
			bool there = w != NULL && w->spec != NULL;

			reply(c, there ? 200 : 404,
			    there ? object_json(w) : NULL);
		}
		break;
	case HTTP_DELETE: {
		written_t *w = last_of(kind, name);
		int64_t at = query(target, "revision=", 0);

		if (w == NULL || w->spec == NULL) {
			reply(c, 404, NULL);
		} else if (at != 0 && at != w->revision) {
			reply(c, 409, object_json(w));
		} else {
			store_write(kind, name, NULL);
			reply(c, 200, NULL);
		}
		break;
	}
	default:
		write_object(
		    c, kind, name, v->http->parser.method == HTTP_POST);
		break;
	}
}

static const http_server_ops_t ops = { .size = sizeof(store_conn_t),
	.done = on_request };

void
store_start(void)
{
	http_server_open(&server, &loop, address(200, 8142), &ops, NULL);
	up = true;
}

void
store_open(void)
{
	history = g_ptr_array_new_with_free_func(free_written);
	store_start();
}

void
store_stop(void)
{
	up = false;
	http_server_close(&server);
}

bool
store_is_up(void)
{
	return up;
}

void
store_go_back(ms_t age)
{
	ms_t to = loop.now - age;
	int64_t was = revision;

	while (history->len > 0) {
		written_t *w = history->pdata[history->len - 1];

		if (w->at <= to)
			break;
		revision = w->revision - 1;
		g_ptr_array_remove_index(history, history->len - 1);
	}
	era++;
	note("store: back from a copy %" PRId64 " ms old, revision %" PRId64
	     " after %" PRId64 ", era %d",
	    age, revision, was, era);
}
