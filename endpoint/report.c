#include "endpoint/report.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

static uint64_t
read_number(const json_t *j, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(j, name));

	return n > 0 ? (uint64_t)n : 0;
}

static void
read_id(const json_t *j, const char *name, char *dst)
{
	const char *s = json_string_value(json_object_get(j, name));

	if (s != NULL)
		str_set(dst, ID_MAX, s);
}

static int
read_resident(resident_t *r, const json_t *j, err_t *e)
{
	const char *state = json_string_value(json_object_get(j, "state"));

	read_id(j, "model", r->model);
	read_id(j, "adapter", r->adapter);
	r->version = read_number(j, "version");
	r->memory_mb = read_number(j, "memory_mb");
	if (state != NULL && strcmp(state, "loading") == 0)
		r->state = RESIDENT_LOADING;
	else if (state != NULL && strcmp(state, "ready") == 0)
		r->state = RESIDENT_READY;
	else if (state != NULL && strcmp(state, "unloading") == 0)
		r->state = RESIDENT_UNLOADING;
	else
		return err_set(e, ERR_PROTO, "resident without a state");
	if (r->model[0] == '\0')
		return err_set(e, ERR_PROTO, "resident without a model");
	return 0;
}

static int
read_all(load_report_t *r, const json_t *j, err_t *e)
{
	const json_t *list = json_object_get(j, "resident");
	size_t i, n = json_array_size(list);

	if (!json_is_object(j) || !json_is_string(json_object_get(j, "worker")))
		return err_set(e, ERR_PROTO, "not a load report");
	read_id(j, "worker", r->worker);
	read_id(j, "incarnation", r->incarnation);
	r->in_flight = read_number(j, "in_flight");
	r->queued = read_number(j, "queued");
	r->slots = read_number(j, "slots");
	r->memory_mb = read_number(j, "memory_mb");
	r->used_mb = read_number(j, "used_mb");
	r->last_order = read_number(j, "last_order");
	r->leaving = json_is_true(json_object_get(j, "leaving"));
	r->resident = calloc(n + 1, sizeof(*r->resident));
	if (r->resident == NULL)
		return err_set(e, ERR_INTERNAL, "out of memory");
	for (i = 0; i < n; i++)
		if (read_resident(
			&r->resident[i], json_array_get(list, i), e) == -1)
			return -1;
	r->nresident = (int)n;
	return 0;
}

int
load_report_parse(load_report_t *r, const char *text, size_t len, err_t *e)
{
	json_t *j = json_loadb(text, len, 0, NULL);
	int rc = read_all(r, j, e);

	json_decref(j);
	if (rc == -1) {
		free(r->resident);
		r->resident = NULL;
		r->nresident = 0;
	}
	return rc;
}

void
load_report_free(load_report_t *r)
{
	if (r == NULL)
		return;
	free(r->resident);
	free(r);
}
