/*
 * The store may come back from an older copy, in a new era. What it had
 * acknowledged in the last seconds before is gone, and its revisions are given
 * out again.
 */
#include "serve/serve.h"

enum {
	SILENT_HEARTBEATS = 3, /* after them an endpoint's entry is removed */
	/* Longer than the seconds that the store loses. */
	COPY_AGE_MAX_MS = 60000,
};

static void
era_changed(serve_t *s)
{
	s->store_era_at = s->loop.now;
	counter_add(counter_get("ebonypitch_store_eras_total",
			"Times that the store came back from an older copy."),
	    1);
	software_forget_stored(&s->software, s->loop.now - COPY_AGE_MAX_MS);
	plan_in_store_era(s);
	peers_in_new_era(s);
	store_watch_in_new_era(&s->config_watch);
	store_watch_in_new_era(&s->endpoints_watch);
	store_watch_in_new_era(&s->instances_watch);
}

bool
store_era_accept(serve_t *s, int64_t sent, int64_t era)
{
	int64_t before = s->store_era;

	if (era == 0)
		return true;
	if (era > before) {
		log_limited(LOG_NOTICE, "store-era",
		    "era=%" PRId64 " before=%" PRId64, era, before);
		s->store_era = era;
		if (before != 0)
			era_changed(s);
		else
			plan_in_store_era(s);
	}
	return era == s->store_era && (sent == 0 || sent == era);
}

bool
store_era_is_ours(const serve_t *s, int64_t era)
{
	/* An instance that names none may not know of a change. */
	return era == s->store_era || (era == 0 && s->store_era_at == 0);
}

ms_t
store_era_settled_for(const serve_t *s)
{
	return s->loop.now - s->store_era_at -
	       (SILENT_HEARTBEATS * s->conf.heartbeat + ENTRY_RETURN_MS);
}
