/* Lists and watches of the store: configuration, endpoints and instances. */
#include "serve/serve.h"

#include "policy/watchers.h"

#include <string.h>

enum {
	/*
	 * A watch may silently miss a change. Each instance restarts its watch
	 * after about WATCH_PER_INSTANCE_MS times the number of instances, and
	 * instances announce changes to each other, so one of them notices a
	 * missed change within about WATCH_PER_INSTANCE_MS.
	 */
	WATCH_PER_INSTANCE_MS = 600,
	WATCH_MIN_MS = 1200,
	WATCH_MAX_MS = 10000,
	STARTUP_MS = 2000, /* until the other instances are known */
	/* Between answers during startup, to see leaving endpoints in time. */
	STARTUP_INTERVAL_MS = 500,
	/* The longest time from a change to its answer, with a slow store. */
	CHANGE_DELAY_MS = 300,
	STALE_COPY_MS = 6000, /* twice the oldest answer that was seen */
	REWATCH_MS = 400,     /* between restarts for peers' revisions */
	/* For so long after a broken watch, watches use the shorter timeout. */
	WATCH_BROKEN_MS = 4000,
	BROKEN_TIMEOUT_MS = 1000,
	/* After a watch's timeout, time for the network and a slow store. */
	WATCH_GRACE_MS = 1500,
	OVERDUE_MS = 300, /* a slow store answers by then */
	/* Entries may have been lost in an outage that is longer. */
	AWAY_MS = 2000,
	LIST_TIMEOUT_MS = 2000,
	/* A stale copy shows by then a change that a peer has seen. */
	COPY_LAG_MS = 400,
	/* The delay doubles with each failure; short, to see recovery soon. */
	RETRY_MIN_MS = 50,
	RETRY_MAX_MS = 800,
	/* All instances list within this time for each of them. */
	RELIST_PER_INSTANCE_MS = 1,
};

static void send_request(store_watch_t *f);

static const char *const kind_name[] = { "config", "endpoints", "instances",
	"leases" };

/* Models of a configuration that are never loaded. */
static void
log_unusable_models(const service_def_t *d)
{
	int i;

	if (d->nunnamed > 0)
		log_limited(LOG_ERR, "models-unnamed", "service=%s left_out=%d",
		    d->name, d->nunnamed);
	if (d->nduplicate > 0)
		log_limited(LOG_WARNING, "models-repeated",
		    "service=%s left_out=%d", d->name, d->nduplicate);
	for (i = 0; i < d->nmodel; i++)
		if (d->model[i].weights_mb <= 0 ||
		    d->model[i].weights_mb > d->weights_mb)
			log_limited(LOG_WARNING, "model-unusable",
			    "service=%s model=%s weights_mb=%.0f "
			    "endpoint_mb=%.0f",
			    d->name, d->model[i].name, d->model[i].weights_mb,
			    d->weights_mb);
}

static void
apply_config(serve_t *s, const object_t *o)
{
	err_t e = { 0 };
	config_t *c;
	int64_t version = config_version(o->spec);
	int i;

	if (strcmp(o->name, "main") != 0 || o->deleted)
		return;
	if (s->config != NULL && version != -1 && version <= s->config->version)
		return;
	c = config_decode(o->spec, &e);
	if (c == NULL) {
		log_limited(LOG_ERR, "config-unreadable",
		    "revision=%" PRId64 " why=\"%s\"", o->revision, e.text);
		return;
	}
	log_limited(LOG_NOTICE, "config",
	    "version=%" PRId64 " before=%" PRId64 " revision=%" PRId64
	    " routes=%d services=%d organisations=%d keys=%u",
	    c->version, s->config != NULL ? s->config->version : -1,
	    o->revision, c->nroute, c->nservice, c->norganisation,
	    g_hash_table_size(c->key));
	if (c->norganisation_unusable + c->nkey_unusable > 0)
		log_limited(LOG_ERR, "organisations-unusable",
		    "version=%" PRId64 " left_out=%d keys_left_out=%d",
		    c->version, c->norganisation_unusable, c->nkey_unusable);
	for (i = 0; i < c->nservice; i++)
		log_unusable_models(&c->service[i]);
	if (c->nunnamed > 0)
		log_limited(
		    LOG_ERR, "services-unnamed", "left_out=%d", c->nunnamed);
	config_unref(s->config);
	s->config = c;
	s->config_read_at = s->loop.now;
}

bool
store_watch_in_recovery(const store_watch_t *f, ms_t now)
{
	return is_recent(f->regained_at, now, ENTRY_RETURN_MS);
}

static void
apply_object(store_watch_t *f, const object_t *o)
{
	serve_t *s = f->s;

	switch (f->kind) {
	case KIND_CONFIG:
		apply_config(s, o);
		break;
	case KIND_ENDPOINTS:
		if (o->deleted)
			ep_entry_gone(s, o->name, o->revision,
			    store_watch_in_recovery(f, s->loop.now));
		else if (ep_update_entry(s, o, f->written_after))
			f->changed_revision = o->revision;
		else if (ep_entry_passed_over(s, o->name) && f->relist_at == 0)
			f->relist_at =
			    s->loop.now - store_era_settled_for(s) + 1;
		if (o->deleted)
			f->changed_revision = o->revision;
		break;
	case KIND_INSTANCES:
		peers_store_object(s, o);
		break;
	case KIND_LEASES:
		break;
	}
}

/*
 * A list was read completely: remove what it doesn't contain. What is missing
 * was removed by the revision that the list is of.
 */
static void
remove_unlisted(store_watch_t *f, int64_t revision)
{
	serve_t *s = f->s;
	int i;

	if (f->kind == KIND_ENDPOINTS)
		for (i = s->endpoints.nep - 1; i >= 0; i--) {
			ep_t *p = s->endpoints.ep[i];

			if (p->listed && !g_hash_table_contains(
					     f->listed_names, p->entry.id))
				ep_entry_gone(s, p->entry.id, revision,
				    store_watch_in_recovery(f, s->loop.now));
		}
	if (f->kind == KIND_INSTANCES)
		peers_remove_missing(s, f->listed_names);
	g_hash_table_remove_all(f->listed_names);
	if (f->first_listed_at == 0)
		f->first_listed_at = s->loop.now;
}

/*
 * A request failed or is cancelled. A watch that waits for a change doesn't
 * show that the store is away.
 */
static void
note_unanswered(store_watch_t *f, bool failed)
{
	ms_t now = f->s->loop.now;
	ms_t due = f->requested_at + (f->as_of != 0 ? f->watch_timeout : 0);
	bool overdue = now - due > OVERDUE_MS;

	if (f->away_since == 0 && (failed || overdue))
		f->away_since = overdue ? f->requested_at : now;
}

/* Cancel the current request and send a new one. */
static void
restart_watch(store_watch_t *f)
{
	if (f->request != NULL)
		note_unanswered(f, false);
	http_request_cancel(f->request);
	f->request = NULL;
	alarm_stop(&f->s->loop, &f->alarm);
	send_request(f);
}

/*
 * A watch failed or its history is gone. The connections of other watches may
 * be broken without an error, so restart them too.
 */
static void
restart_other_watches(store_watch_t *f)
{
	serve_t *s = f->s;
	store_watch_t *all[] = { &s->config_watch, &s->endpoints_watch };
	size_t i;

	if (s->loop.now - s->watch_broken_at < BROKEN_TIMEOUT_MS)
		return;
	s->watch_broken_at = s->loop.now;
	for (i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		if (all[i] != f && all[i]->as_of != 0 &&
		    all[i]->request != NULL)
			restart_watch(all[i]);
}

static void
schedule(store_watch_t *f, ms_t after)
{
	alarm_set(&f->s->loop, &f->alarm, f->s->loop.now + after);
}

static void
retry_later(store_watch_t *f, int status)
{
	ms_t wait = RETRY_MIN_MS << (f->failures < 5 ? f->failures : 5);

	note_unanswered(f, true);
	f->failures++;
	if (f->kind != KIND_INSTANCES)
		restart_other_watches(f);
	if (!f->lost && f->failures >= 2) {
		f->lost = true;
		log_limited(LOG_WARNING, "store-lost",
		    "kind=%s status=%d age_ms=%" PRId64, kind_name[f->kind],
		    status, f->s->loop.now - f->answered_at);
	}
	if (wait > RETRY_MAX_MS)
		wait = RETRY_MAX_MS;
	schedule(f, wait / 2 + (ms_t)(rng_unit(&f->s->rng) * (double)wait));
}

bool
store_lost(const serve_t *s)
{
	return s->config_watch.lost || s->endpoints_watch.lost;
}

static watchers_t
watchers(const serve_t *s)
{
	return (watchers_t){ s->peers.npeer, s->conf.ndomain,
		s->conf.bounds.drain };
}

static ms_t
cover_limit(const serve_t *s)
{
	watchers_t w = watchers(s);

	return watchers_cover(&w, domain_heartbeat_ms(s));
}

/* Do other instances watch the endpoints, and announce what leaves? */
static bool
is_covered(const serve_t *s)
{
	return coverage_holds(
	    &s->endpoints_watch.coverage, cover_limit(s), s->loop.now);
}

bool
store_watch_is_relayed(const store_watch_t *f)
{
	const serve_t *s = f->s;
	watchers_t w = watchers(s);
	bool many = watchers_by_domain(&w);

	switch (f->kind) {
	case KIND_INSTANCES:
		/* Instances announce themselves by datagrams. */
		return true;
	case KIND_LEASES:
		return false;
	case KIND_CONFIG:
		if (!many)
			return false;
		break;
	case KIND_ENDPOINTS:
		if (plan_is_holder(s))
			return false;
		break;
	}
	if (!is_covered(s))
		return false;
	/*
	 * After a broken watch, watch for fresh answers: for a while if
	 * instances are few, else once.
	 */
	if (many ? f->fresh_watch_at < s->watch_broken_at
		 : s->loop.now - s->watch_broken_at < WATCH_BROKEN_MS)
		return false;
	return watchers_ranked_before(s) >= watchers_count(&w);
}

ms_t
store_watch_written_after(const store_watch_t *f, ms_t now)
{
	/* The store may have answered from an old copy. */
	if (f->allow_stale)
		return now - STALE_COPY_MS;
	/*
	 * An answer that took long was triggered by a change just written. An
	 * immediate one may hold any change since the last answer.
	 */
	if (!f->listing && now - f->requested_at > CHANGE_DELAY_MS)
		return now - CHANGE_DELAY_MS;
	return f->answered_at;
}

static int64_t
max_revision(const objects_t *l)
{
	int64_t r = 0;
	int i;

	for (i = 0; i < l->nobject; i++)
		if (l->object[i].revision > r)
			r = l->object[i].revision;
	return r;
}

/* @return false: the page doesn't say after what the list goes on */
static bool
next_page(store_watch_t *f, objects_t *page)
{
	if (page->after == NULL || g_strcmp0(page->after, f->list_after) == 0) {
		log_limited(LOG_ERR, "store-unreadable",
		    "kind=%s why=\"a page of a list has no name to go on "
		    "after\"",
		    kind_name[f->kind]);
		f->listing = false;
		return false;
	}
	if (f->list_as_of == 0)
		f->list_as_of = page->as_of;
	g_free(f->list_after);
	f->list_after = g_steal_pointer(&page->after);
	return true;
}

static void
set_coverage_alarm(store_watch_t *f)
{
	alarm_set(&f->s->loop, &f->coverage_alarm,
	    f->coverage.at + cover_limit(f->s));
}

static void
note_coverage(store_watch_t *f)
{
	if (f->kind != KIND_ENDPOINTS)
		return;
	if (f->allow_stale) {
		coverage_copy(&f->coverage, f->as_of);
		return;
	}
	f->fresh_at = f->s->loop.now;
	coverage_fresh(&f->coverage, f->as_of, f->fresh_at);
	set_coverage_alarm(f);
}

/* The last page of a list, or the answer to a watch, was read. */
static void
all_read(store_watch_t *f, const objects_t *last)
{
	/* What changed since a list's first page is seen by the watch. */
	int64_t as_of =
	    f->listing && f->list_as_of != 0 ? f->list_as_of : last->as_of;

	if (f->listing) {
		remove_unlisted(f, as_of);
		f->from = as_of;
	}
	f->as_of = as_of;
	f->listing = false;
	note_coverage(f);
	if (f->kind == KIND_CONFIG && last->nobject > 0)
		f->changed_revision = max_revision(last);
	f->rewatches = 0;
}

/* The store answers: was it away? */
static void
note_regained(store_watch_t *f)
{
	const serve_t *s = f->s;

	if (f->lost ||
	    (f->away_since != 0 && s->loop.now - f->away_since > AWAY_MS))
		f->regained_at = f->first_listed_at != 0 ? s->loop.now : 0;
	f->away_since = 0;
	if (f->lost) {
		f->lost = false;
		log_limited(LOG_NOTICE, "store-regained",
		    "kind=%s away_ms=%" PRId64, kind_name[f->kind],
		    s->loop.now - f->answered_at);
	}
}

static void
on_answer(void *arg, int status, const char *text, size_t len)
{
	store_watch_t *f = arg;
	serve_t *s = f->s;
	objects_t list;
	err_t e = { 0 };
	int64_t old_revision = f->changed_revision;
	bool starting = s->loop.now - s->started_at < STARTUP_MS;
	bool relayed = store_watch_is_relayed(f);
	watchers_t w = watchers(s);
	int i;

	f->request = NULL;
	if (status == 410) {
		log_limited(LOG_NOTICE, "watch-lapsed",
		    "kind=%s as_of=%" PRId64, kind_name[f->kind], f->as_of);
		f->as_of = 0;
		f->listing = false;
		if (f->kind != KIND_INSTANCES)
			restart_other_watches(f);
		send_request(f);
		return;
	}
	if (status != 200 || objects_decode(&list, text, len, &e) == -1) {
		if (status == 200)
			log_limited(LOG_ERR, "store-unreadable",
			    "kind=%s why=\"%s\"", kind_name[f->kind], e.text);
		retry_later(f, status);
		return;
	}
	note_regained(f);
	f->written_after = store_watch_written_after(f, s->loop.now);
	f->failures = 0;
	f->answered_at = s->loop.now;
	for (i = 0; i < list.nobject; i++) {
		if (f->listing)
			g_hash_table_add(
			    f->listed_names, g_strdup(list.object[i].name));
		apply_object(f, &list.object[i]);
	}
	if (f->listing && list.more) {
		if (!next_page(f, &list)) {
			objects_free(&list);
			retry_later(f, status);
			return;
		}
	} else {
		all_read(f, &list);
	}
	objects_free(&list);
	if (f->changed_revision != old_revision)
		s->peers.state_due = true;
	serve_state_changed(s);
	if (f->listing)
		send_request(f);
	else
		schedule(f, relayed && f->kind != KIND_CONFIG
				? watchers_copy_interval(&w)
			    : starting ? STARTUP_INTERVAL_MS
				       : watchers_interval(&w));
}

static ms_t
choose_timeout(const store_watch_t *f)
{
	ms_t v = (ms_t)WATCH_PER_INSTANCE_MS * peers_alive(f->s);

	/* Shorter than the history that the store keeps. */
	if (f->kind == KIND_INSTANCES)
		return f->s->conf.history / 2;
	if (f->kind == KIND_ENDPOINTS && !f->allow_stale) {
		watchers_t w = watchers(f->s);

		return watchers_timeout(&w);
	}
	if (f->s->loop.now - f->s->watch_broken_at < WATCH_BROKEN_MS)
		return BROKEN_TIMEOUT_MS;
	v = v < WATCH_MIN_MS   ? WATCH_MIN_MS
	    : v > WATCH_MAX_MS ? WATCH_MAX_MS
			       : v;
	/* Jitter, so that instances don't send their requests together. */
	return v * 3 / 4 + (ms_t)(rng_unit(&f->s->rng) * (double)v / 2);
}

/* A watcher must notice a dead connection before what leaves may be gone. */
static ms_t
watch_grace(const store_watch_t *f)
{
	watchers_t w = watchers(f->s);

	return f->kind == KIND_ENDPOINTS && !f->allow_stale
		   ? watchers_timeout(&w)
		   : WATCH_GRACE_MS;
}

static void
count_request(const store_watch_t *f)
{
	char name[128];

	snprintf(name, sizeof(name),
	    "ebonypitch_store_asks_total{kind=\"%s\",how=\"%s\"}",
	    kind_name[f->kind],
	    f->as_of == 0    ? "list"
	    : f->allow_stale ? "cheap-watch"
			     : "watch");
	counter_add(counter_get(name, "Lists and watches asked for."), 1);
}

const char *
store_watch_source(const store_watch_t *f)
{
	return f->listing ? "list" : f->allow_stale ? "copy" : "watch";
}

static void
log_mode(store_watch_t *f)
{
	if (f->kind == KIND_INSTANCES || f->allow_stale == f->mode_logged)
		return;
	f->mode_logged = f->allow_stale;
	log_limited(LOG_NOTICE, "watch-mode",
	    "kind=%s mode=%s as_of=%" PRId64 " ranked_before=%d",
	    kind_name[f->kind], f->allow_stale ? "copies" : "fresh", f->as_of,
	    watchers_ranked_before(f->s));
}

static void
send_request(store_watch_t *f)
{
	serve_t *s = f->s;
	buf_t b = { 0 };
	ms_t span = LIST_TIMEOUT_MS;

	f->requested_at = s->loop.now;
	if (f->as_of == 0) {
		f->allow_stale = false;
		if (!f->listing) {
			f->listing = true;
			g_clear_pointer(&f->list_after, g_free);
			f->list_as_of = 0;
			g_hash_table_remove_all(f->listed_names);
		}
		objects_list(&b, f->kind, f->list_after, s->conf.store_addr);
	} else {
		f->allow_stale = store_watch_is_relayed(f) && !f->require_fresh;
		f->watch_timeout = choose_timeout(f);
		if (!f->allow_stale)
			f->fresh_watch_at = s->loop.now;
		objects_watch(&b, f->kind, f->as_of, f->watch_timeout,
		    f->allow_stale, s->conf.store_addr);
		f->require_fresh = false;
		span = f->watch_timeout + watch_grace(f);
	}
	log_mode(f);
	count_request(f);
	f->request = http_request_send(s, &s->store, &b, span, on_answer, f);
}

static void
on_timer(void *arg)
{
	store_watch_t *f = arg;

	if (f->relist_at != 0 && f->s->loop.now >= f->relist_at) {
		f->relist_at = 0;
		f->as_of = 0;
		f->listing = false;
	}
	send_request(f);
}

/* Nobody may have watched since: ask the store itself. */
static void
on_coverage_end(void *arg)
{
	store_watch_t *f = arg;
	serve_t *s = f->s;

	if (is_covered(s)) {
		set_coverage_alarm(f);
		return;
	}
	if (f->as_of == 0 || !f->allow_stale)
		return;
	log_limited(LOG_NOTICE, "watch-uncovered",
	    "upto=%" PRId64 " since_ms=%" PRId64, f->coverage.upto,
	    s->loop.now - f->coverage.at);
	counter_add(counter_get("ebonypitch_watch_uncovered_total",
			"Times that no other instance was known to watch."),
	    1);
	store_watch_require_fresh(&s->config_watch);
	store_watch_require_fresh(f);
}

bool
store_watch_claim(const serve_t *s, coverage_claim_t *claim)
{
	const store_watch_t *f = &s->endpoints_watch;

	if (f->as_of == 0 || f->listing || f->allow_stale || f->lost)
		return false;
	*claim =
	    (coverage_claim_t){ f->from, f->as_of, s->loop.now - f->fresh_at };
	return true;
}

void
store_watch_claimed(serve_t *s, const coverage_claim_t *claim)
{
	store_watch_t *f = &s->endpoints_watch;

	if (coverage_claimed(&f->coverage, claim, cover_limit(s), s->loop.now))
		set_coverage_alarm(f);
}

void
store_watch_start(store_watch_t *f, serve_t *s, object_kind_t k)
{
	*f = (store_watch_t){ .s = s, .kind = k };
	f->alarm = (alarm_t){ .fn = on_timer, .arg = f };
	f->coverage_alarm = (alarm_t){ .fn = on_coverage_end, .arg = f };
	f->listed_names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->answered_at = s->loop.now;
	send_request(f);
}

void
store_watch_in_new_era(store_watch_t *f)
{
	serve_t *s = f->s;

	http_request_cancel(f->request);
	f->request = NULL;
	f->as_of = 0;
	f->listing = false;
	f->changed_revision = 0;
	f->peer_revision = 0;
	f->coverage = (coverage_t){ 0 };
	/* Entries of the lost seconds are written again. */
	if (f->first_listed_at != 0)
		f->regained_at = s->loop.now;
	/* Spread, as all instances list at the same time. */
	schedule(f, (ms_t)(rng_unit(&s->rng) * peers_alive(s) *
			   RELIST_PER_INSTANCE_MS));
}

/*
 * Unlimited restarts would keep watches from timing out, so that a lost store
 * would go unnoticed.
 */
static bool
may_rewatch(store_watch_t *f)
{
	ms_t now = f->s->loop.now;

	if (now - f->rewatch_at < REWATCH_MS
				      << (f->rewatches < 4 ? f->rewatches : 4))
		return false;
	f->rewatches++;
	f->rewatch_at = now;
	return true;
}

void
store_watch_peer_era(store_watch_t *f)
{
	if (f->as_of == 0 || f->lost || !may_rewatch(f))
		return;
	f->require_fresh = true;
	restart_watch(f);
}

void
store_watch_peer_revision(store_watch_t *f, int64_t revision)
{
	serve_t *s = f->s;

	if (f->as_of == 0 || revision <= f->as_of || f->lost)
		return;
	if (revision > f->peer_revision) {
		f->peer_revision = revision;
		f->peer_revision_at = s->loop.now;
	}
	if (store_watch_is_relayed(f)) {
		/* Peers announce leaving endpoints: ep_peer_saw_leaving(). */
		if (f->kind == KIND_ENDPOINTS ||
		    s->loop.now - f->peer_revision_at < COPY_LAG_MS)
			return;
	}
	if (!may_rewatch(f))
		return;
	log_limited(LOG_NOTICE, "watch-behind",
	    "kind=%s as_of=%" PRId64 " news=%" PRId64, kind_name[f->kind],
	    f->as_of, revision);
	f->require_fresh = true;
	restart_watch(f);
}

void
store_watch_require_fresh(store_watch_t *f)
{
	if (f->as_of != 0 && f->allow_stale)
		restart_watch(f);
}
