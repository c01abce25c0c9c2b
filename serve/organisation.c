#include "serve/organisation.h"
#include "serve/peer_call.h"

enum {
	PRIORITY_RANKS = 16, /* a greater priority counts as the last one */
};

static const char *
find_by_key(const config_t *c, const route_t *r, const head_t *h,
    const organisation_t **out)
{
	api_key_field_t k = api_key_decode(h);

	switch (k.kind) {
	case API_KEY_NONE:
		return r->anonymous ? NULL : "a key is needed";
	case API_KEY_MALFORMED:
		return "the key is malformed";
	case API_KEY_GIVEN:
		break;
	}
	*out = config_organisation_of_key(c, k.text, k.length);
	return *out != NULL ? NULL : "no organisation has this key";
}

const char *
organisation_find(const config_t *c, const route_t *r, const head_t *h,
    bool from_instance, const organisation_t **out)
{
	char *name;

	*out = NULL;
	if (!c->has_organisations)
		return NULL;
	/* An instance of an earlier version sends the key on. */
	name = from_instance ? peer_call_organisation(h) : NULL;
	if (name == NULL)
		return find_by_key(c, r, h, out);
	*out = config_organisation(c, name);
	g_free(name);
	return *out != NULL ? NULL : "the organisation isn't there any more";
}

void
organisation_count_refused(void)
{
	counter_add(counter_get("ebonypitch_unauthorised_requests_total",
			"Requests refused as no organisation has their key."),
	    1);
}

static int
limited(int priority)
{
	if (priority < 0)
		return 0;
	return priority < PRIORITY_RANKS ? priority : PRIORITY_RANKS - 1;
}

int
call_rank(const call_t *c)
{
	int route = c->route.priority;

	if (!c->config->has_organisations)
		return route;
	/* Anonymous calls come after those of all organisations. */
	return (c->organisation != NULL ? limited(c->organisation->priority)
					: PRIORITY_RANKS - 1) *
		   PRIORITY_RANKS +
	       limited(route);
}
