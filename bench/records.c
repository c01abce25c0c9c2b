/* Load tool: what the stand-in endpoints recorded, compared with the answers.
 */
#include "bench/load.h"

#include "endpoint/multi.h"

#include <stdlib.h>
#include <string.h>

enum {
	RECORD_TIMEOUT_MS = 5000 /* timeout of GET /control/record */
};

static size_t
append_body(char *p, size_t size, size_t n, void *user)
{
	g_string_append_len(user, p, size * n);
	return size * n;
}

static json_t *
read_record(const char *addr)
{
	CURL *c = easy_new(addr, "/control/record");
	GString *body = g_string_new(NULL);
	json_t *j = NULL;

	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)RECORD_TIMEOUT_MS);
	if (curl_easy_perform(c) == CURLE_OK)
		j = json_loadb(body->str, body->len, 0, NULL);
	curl_easy_cleanup(c);
	g_string_free(body, TRUE);
	return j;
}

static int64_t
get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static void
read_moves(engine_moves_t *m, const json_t *j)
{
	const char *id = json_string_value(json_object_get(j, "incarnation"));

	str_set(m->incarnation, sizeof(m->incarnation), id == NULL ? "" : id);
	m->moves = get_int(j, "loads") + get_int(j, "unloads");
}

int64_t
records_moves(const records_t *before, const records_t *after)
{
	int64_t n = 0;
	int i;

	for (i = 0; i < ENGINES_MAX; i++) {
		const engine_moves_t *a = &before->engine[i];
		const engine_moves_t *b = &after->engine[i];

		n += b->moves;
		if (strcmp(a->incarnation, b->incarnation) == 0)
			n -= a->moves;
	}
	return n;
}

void
records_engines(records_t *r, const char *const *addr)
{
	for (; addr != NULL && *addr != NULL; addr++) {
		json_t *j = read_record(*addr);

		if (j != NULL && r->asked < ENGINES_MAX)
			read_moves(&r->engine[r->asked], j);

		r->asked++;
		r->read += j != NULL;
		r->loads += get_int(j, "loads");
		r->unloads += get_int(j, "unloads");
		r->overcommits += get_int(j, "overcommits");
		if (get_int(j, "peak_mb") > r->peak_mb)
			r->peak_mb = get_int(j, "peak_mb");
		json_decref(j);
	}
}

/* Add up the runs of each path, which is unique to a call of the plan. */
static void
add_runs(GHashTable *runs, const json_t *j)
{
	json_t *list = json_object_get(j, "runs"), *run;
	size_t i;

	json_array_foreach(list, i, run)
	{
		const char *path =
		    json_string_value(json_object_get(run, "path"));
		int n = (int)get_int(run, "count");

		if (path == NULL)
			continue;
		n += GPOINTER_TO_INT(g_hash_table_lookup(runs, path));
		g_hash_table_insert(runs, g_strdup(path), GINT_TO_POINTER(n));
	}
}

static void
check_runs(records_t *r, const job_t *j, int runs)
{
	if (runs > 1)
		r->ran_twice++;
	if (runs > 0 && j->verdict == VERDICT_REFUSED)
		r->ran_refused++;
	if (runs == 0 && j->verdict == VERDICT_WHOLE)
		r->not_ran++;
}

void
records_services(records_t *r, const char *const *addr, const job_t *job, int n)
{
	GHashTable *runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool all = addr != NULL && *addr != NULL;
	int i;

	for (; addr != NULL && *addr != NULL; addr++) {
		json_t *j = read_record(*addr);

		r->asked++;
		r->read += j != NULL;
		all = all && j != NULL;
		add_runs(runs, j);
		json_decref(j);
	}
	for (i = 0; i < n && all; i++)
		if (job[i].kind == JOB_KEYED || job[i].kind == JOB_UNKEYED)
			check_runs(r, &job[i],
			    GPOINTER_TO_INT(
				g_hash_table_lookup(runs, job[i].prompt)));
	g_hash_table_destroy(runs);
}
