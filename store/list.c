#include "store/platform.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "store/json.h"

/* Copy a field, "" if it is missing. @return false if it is too long */
static bool
copy_field(json_t *j, const char *name, char *dst, size_t size)
{
	const char *s = json_string_value(json_object_get(j, name));

	return str_copy(dst, size, s == NULL ? "" : s);
}

static int
parse_instance(json_t *j, instance_t *i)
{
	char role[ID_MAX], state[ID_MAX];

	if (!copy_field(j, "id", i->id, sizeof(i->id)) || i->id[0] == '\0' ||
	    !copy_field(j, "role", role, sizeof(role)) ||
	    !copy_field(j, "state", state, sizeof(state)) ||
	    !copy_field(j, "domain", i->domain, sizeof(i->domain)) ||
	    !copy_field(j, "service", i->service, sizeof(i->service)) ||
	    !copy_field(j, "addr", i->addr, sizeof(i->addr)) ||
	    !copy_field(j, "peer_addr", i->peer_addr, sizeof(i->peer_addr)) ||
	    !copy_field(
		j, "operator_addr", i->operator_addr, sizeof(i->operator_addr)))
		return -1;
	if (strcmp(role, "worker") != 0 && strcmp(role, "entry") != 0)
		return -1;
	i->role = strcmp(role, "worker") == 0 ? ROLE_WORKER : ROLE_ENTRY;
	i->leaving = strcmp(state, "leaving") == 0;
	i->memory_mb = json_integer_value(json_object_get(j, "memory_mb"));
	i->slots = json_integer_value(json_object_get(j, "slots"));
	return 0;
}

int
platform_instances(platform_t *p, instances_t *out, err_t *e)
{
	json_t *j = platform_json(p, "/v1/instances", e), *items, *item;
	size_t n;

	memset(out, 0, sizeof(*out));
	if (j == NULL)
		return -1;
	items = json_object_get(j, "items");
	if (!json_is_array(items)) {
		json_decref(j);
		return err_set(e, ERR_PROTO, "not a list of instances");
	}
	out->item = calloc(json_array_size(items) + 1, sizeof(instance_t));
	if (out->item == NULL) {
		json_decref(j);
		return err_set(e, ERR_INTERNAL, "no memory");
	}
	/* Skip an invalid item, but keep the others. */
	json_array_foreach(items, n, item)
	{
		if (parse_instance(item, &out->item[out->n]) == 0)
			out->n++;
		else
			log_event(LOG_WARNING, "bad_instance", "index=%zu", n);
	}
	json_decref(j);
	return 0;
}

void
instances_clear(instances_t *l)
{
	free(l->item);
	memset(l, 0, sizeof(*l));
}
