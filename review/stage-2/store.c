/*
 * store ADDR
 * The platform's store, as far as the daemons and the cases use it: lists,
 * watches, objects with revisions and conditional writes. It forgets nothing,
 * and answers after 4 ms.
 */
#define _GNU_SOURCE
#include "stage.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	OBJECTS_MAX = 200,
	CHANGES_MAX = 20000,
	ANSWER_MS = 4,
};

typedef struct object {
	char kind[64], name[128];
	char *spec;
	long revision;
	bool deleted;
} object_t;

static object_t object[OBJECTS_MAX];
static int nobject;
/* All versions of objects, in the order of their revisions. */
static object_t change[CHANGES_MAX];
static int nchange;
static long revision = 10;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* The value of a member of a JSON object, a copy; NULL: there is none. */
static char *
member(const char *text, const char *key)
{
	char quoted[64];
	const char *p, *from;
	int depth = 0;
	bool in_string = false;

	snprintf(quoted, sizeof(quoted), "\"%s\"", key);
	p = text != NULL ? strstr(text, quoted) : NULL;
	if (p == NULL)
		return NULL;
	p += strlen(quoted);
	p += strspn(p, " :");
	for (from = p; *p != '\0'; p++) {
		if (in_string) {
			if (*p == '\\')
				p++;
			else if (*p == '"')
				in_string = false;
			continue;
		}
		if (*p == '"')
			in_string = true;
		else if (*p == '{' || *p == '[')
			depth++;
		else if ((*p == '}' || *p == ']' || *p == ',') && depth == 0)
			break;
		else if (*p == '}' || *p == ']')
			depth--;
	}
	return strndup(from, (size_t)(p - from));
}

static object_t *
find(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < nobject; i++)
		if (strcmp(object[i].kind, kind) == 0 &&
		    strcmp(object[i].name, name) == 0 && !object[i].deleted)
			return &object[i];
	return NULL;
}

static object_t *
put(const char *kind, const char *name, char *spec, bool deleted)
{
	object_t *o = find(kind, name);

	if (o == NULL) {
		if (nobject == OBJECTS_MAX)
			stage_die("too many objects");
		o = &object[nobject++];
		snprintf(o->kind, sizeof(o->kind), "%s", kind);
		snprintf(o->name, sizeof(o->name), "%s", name);
	}
	o->spec = spec;
	o->deleted = deleted;
	o->revision = ++revision;
	if (nchange == CHANGES_MAX)
		stage_die("too many changes");
	change[nchange++] = *o;
	pthread_cond_broadcast(&changed);
	return o;
}

static void
write_object(FILE *f, const object_t *o)
{
	fprintf(f,
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%ld,"
	    "\"created_at\":1,\"finalizers\":[],\"deleting\":false},"
	    "\"spec\":%s,\"status\":{}}",
	    o->name, o->revision, o->spec);
}

static void
list(FILE *f, const char *kind)
{
	int i, n = 0;

	fprintf(f, "{\"items\":[");
	for (i = 0; i < nobject; i++)
		if (strcmp(object[i].kind, kind) == 0 && !object[i].deleted) {
			fprintf(f, "%s", n++ > 0 ? "," : "");
			write_object(f, &object[i]);
		}
	fprintf(f, "],\"has_more\":false,\"as_of\":%ld}", revision);
}

static bool
is_news(const object_t *o, const char *kind, long from)
{
	return o->revision > from && strcmp(o->kind, kind) == 0;
}

static void
watch(FILE *f, const char *kind, long from, long wait_ms)
{
	struct timespec until;
	int i, n = 0;
	bool late = false;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	for (;;) {
		for (i = 0; i < nchange; i++)
			n += is_news(&change[i], kind, from);
		if (n > 0 || late)
			break;
		late =
		    pthread_cond_timedwait(&changed, &lock, &until) != 0;
	}
	fprintf(f, "{\"events\":[");
	for (i = n = 0; i < nchange; i++) {
		if (!is_news(&change[i], kind, from))
			continue;
		fprintf(f, "%s{\"object\":", n++ > 0 ? "," : "");
		write_object(f, &change[i]);
		fprintf(f, ",\"tombstone\":%s}",
		    change[i].deleted ? "true" : "false");
	}
	fprintf(f, "],\"as_of\":%ld}", revision);
}

static int
write_call(FILE *f, const char *method, const char *kind, char *name,
    size_t size, const char *body)
{
	char *meta = member(body, "metadata"), *spec = member(body, "spec");
	char *given = member(meta, "revision"), *called = member(meta, "name");
	object_t *o;
	int status = 200;

	if (name[0] == '\0' && called != NULL && strlen(called) > 2)
		snprintf(name, size, "%.*s", (int)strlen(called) - 2,
		    called + 1);
	o = find(kind, name);
	if (strcmp(method, "POST") == 0 ? o != NULL
		: o != NULL && given != NULL && atol(given) != o->revision)
		status = 409;
	else if (strcmp(method, "PUT") == 0 && o == NULL)
		status = 404;
	if (status == 200) {
		o = put(kind, name, spec != NULL ? spec : strdup("{}"), false);
		spec = NULL;
	}
	if (o != NULL)
		write_object(f, o);
	else
		fprintf(f, "{}");
	free(meta);
	free(spec);
	free(given);
	free(called);
	return status;
}

/* /v1/objects/KIND/NAME?QUERY */
static int
answer(FILE *f, const char *method, char *target, const char *body)
{
	char kind[64] = "", name[128] = "";
	char *query = strchr(target, '?'), *at;
	object_t *o;
	int status = 200;

	if (query != NULL)
		*query++ = '\0';
	sscanf(target, "/v1/objects/%63[^/]/%127[^/]", kind, name);
	if (strcmp(method, "GET") == 0 && name[0] == '\0') {
		at = query != NULL ? strstr(query, "watch=") : NULL;
		if (at == NULL) {
			list(f, kind);
			return 200;
		}
		query = strstr(query, "wait_ms=");
		watch(f, kind, atol(at + 6),
		    query != NULL ? atol(query + 8) : 0);
		return 200;
	}
	if (strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0)
		return write_call(f, method, kind, name, sizeof(name), body);
	o = find(kind, name);
	if (o == NULL)
		status = 404;
	else if (strcmp(method, "DELETE") == 0)
		put(kind, name, o->spec, true);
	if (o != NULL)
		write_object(f, o);
	else
		fprintf(f, "{}");
	return status;
}

static void
serve(int fd)
{
	stage_msg_t *m = malloc(sizeof(*m));
	char method[16], target[512], *text;
	size_t len;
	int status;
	FILE *f;

	while (stage_read_head(fd, m) && stage_read_body(fd, m)) {
		if (sscanf(m->head, "%15s %511s", method, target) != 2)
			break;
		stage_sleep(ANSWER_MS);
		f = open_memstream(&text, &len);
		pthread_mutex_lock(&lock);
		status = answer(f, method, target, m->body);
		pthread_mutex_unlock(&lock);
		fclose(f);
		stage_printf(fd,
		    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, len);
		stage_write(fd, text, len);
		free(text);
		stage_msg_free(m);
	}
	stage_msg_free(m);
	free(m);
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		stage_die("usage: store ADDR");
	stage_serve(stage_listen(argv[1], 0), serve);
	return 0;
}
