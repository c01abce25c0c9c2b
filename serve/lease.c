/* The lease in the store: its holder alone sends orders to endpoints. */
#include "serve/blame.h"
#include "serve/plan.h"
#include "serve/reach.h"
#include "serve/spread.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	LEASE_TIMEOUT_MS =
	    700, /* a renewal without an answer by then is late */
	CHECK_INTERVAL_MS = 250, /* between reads while no holder is known */
	RANK_DELAY_MS = 300,	 /* added for each instance ranked before */
	RANK_MAX = 8,		 /* no more is added beyond this rank */
	STORE_VERSION_MS = 100,	 /* between writes for new software versions */
	VERSIONS_INTERVAL_MS = 40, /* between reads for streams taken up */
	READ_VERSIONS_MS = 4000, /* until it is read whether they are stored */
	/* A history of versions with a longer gap isn't complete. */
	SOFTWARE_GAP_MS = 10000,
	/*
	 * After the start, instances with a greater CPU share go first: time
	 * for them to start and to read the lease once.
	 */
	STRONG_HEAD_START_MS = 3000,
};
static const char *const lease_name = "planner";

bool
plan_is_holder(const serve_t *s)
{
	return s->plan != NULL && s->plan->leadership.held;
}

bool
plan_holder_valid(const serve_t *s)
{
	const leadership_t *t = s->plan != NULL ? &s->plan->leadership : NULL;

	return t != NULL && t->held && leadership_valid(t, s->loop.now);
}

bool
plan_holds_now(const serve_t *s)
{
	/* The loop's clock is out of date if the process was suspended. */
	return plan_is_holder(s) && leadership_valid(&s->plan->leadership,
					clock_now(&machine_clock));
}

int64_t
plan_lease_revision(const serve_t *s)
{
	return plan_is_holder(s) ? s->plan->leadership.revision : 0;
}

void
plan_in_store_era(serve_t *s)
{
	plan_t *p = s->plan;

	if (p == NULL)
		return;
	leadership_in_era(&p->leadership, s->store_era);
	/* Versions that aren't in the lease any more get no new streams. */
	if (software_unstored(&s->software))
		p->unstored_since = s->loop.now - READ_VERSIONS_MS;
}

void
plan_peer_first_era(serve_t *s, int64_t era)
{
	if (s->plan != NULL)
		leadership_earlier_era(&s->plan->leadership, era);
}

int64_t
plan_first_era(const serve_t *s)
{
	return s->plan != NULL ? s->plan->leadership.first_era : 0;
}

void
plan_peer_renewed(serve_t *s, int64_t revision)
{
	if (s->plan != NULL)
		leadership_peer_renewed(
		    &s->plan->leadership, revision, s->loop.now);
}

bool
lease_may_order(plan_t *p)
{
	/* The loop's clock is out of date if the process was suspended. */
	return !p->s->leaving &&
	       leadership_may_order(&p->leadership, clock_now(&machine_clock));
}

static void
lose_lease(plan_t *p, const char *why)
{
	if (!p->leadership.held)
		return;
	log_limited(LOG_NOTICE, "holder-lost", "why=\"%s\" token=%" PRId64, why,
	    leadership_token(&p->leadership));
	leadership_lost(&p->leadership);
	send_full_digest(p->s);
}

/*
 * The versions seen lately stand in the lease, so that they outlive all
 * instances without a write of their own. Times are of the wall clock.
 */
static json_t *
software_json(const serve_t *s)
{
	const software_t *v = &s->software;
	json_int_t offset = clock_wall() - s->loop.now;
	json_t *list = json_array();
	char service[17], version[17];
	int i;

	for (i = 0; i < v->nseen; i++) {
		snprintf(service, sizeof(service), "%016" PRIx64,
		    v->seen[i].service);
		snprintf(version, sizeof(version), "%016" PRIx64,
		    v->seen[i].version);
		json_array_append_new(
		    list, json_pack("[s,s,I]", service, version,
			      v->seen[i].at + offset));
	}
	return json_pack(
	    "{s:I,s:o}", "since", v->complete_since + offset, "seen", list);
}

static void
software_merge(serve_t *s, const json_t *lease, bool of_this_era)
{
	const json_t *o = json_object_get(lease, "software"), *item;
	ms_t wall = clock_wall(), now = s->loop.now, since;
	ms_t beat = json_integer_value(json_object_get(lease, "beat"));
	size_t i;

	json_array_foreach(json_object_get(o, "seen"), i, item)
	{
		const char *service =
		    json_string_value(json_array_get(item, 0));
		const char *version =
		    json_string_value(json_array_get(item, 1));
		ms_t age = wall - json_integer_value(json_array_get(item, 2));

		uint64_t hash;

		if (service == NULL || version == NULL || age >= STREAM_LIFE_MS)
			continue;
		hash = strtoull(version, NULL, 16);
		software_add(&s->software, strtoull(service, NULL, 16), hash,
		    age > 0 ? now - age : now);
		software_mark_stored(&s->software, hash, now);
	}
	since = now - (wall - json_integer_value(json_object_get(o, "since")));
	/* What was added to a lease that the store has lost isn't known. */
	if (o != NULL && of_this_era && since < s->software.complete_since &&
	    wall - beat < SOFTWARE_GAP_MS + now - s->started_at)
		s->software.complete_since = since;
}

static char *
lease_spec(const plan_t *p, bool released)
{
	json_t *j = json_pack("{s:s,s:s,s:I,s:I,s:I,s:b,s:b,s:o,s:o}", "holder",
	    p->s->conf.instance, "ip", p->s->conf.ip, "beat",
	    (json_int_t)clock_wall(), "era", (json_int_t)p->leadership.era,
	    "first_era", (json_int_t)p->leadership.first_era, "settled",
	    leadership_settled(&p->leadership, clock_now(&machine_clock)),
	    "released", released, "software", software_json(p->s), "blamed",
	    blame_json(p->s));
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return text;
}

static void
apply_lease(plan_t *p, const object_t *o)
{
	const json_t *j = o->spec;
	const char *ip = json_string_value(json_object_get(j, "ip"));
	lease_view_t v = {
		.revision = o->revision,
		.era = json_integer_value(json_object_get(j, "era")),
		.first_era =
		    json_integer_value(json_object_get(j, "first_era")),
		.own = ip != NULL && strcmp(ip, p->s->conf.ip) == 0,
		.settled = json_is_true(json_object_get(j, "settled")),
		.released = json_is_true(json_object_get(j, "released")),
	};

	leadership_observe(&p->leadership, &v, p->s->loop.now);
	software_merge(p->s, j, p->leadership.of_this_era);
	blame_merge_json(p->s, json_object_get(j, "blamed"));
}

/* The lease was read: does a holder still hold it? */
static void
check_held(plan_t *p)
{
	leadership_t *t = &p->leadership;

	if (!t->held)
		return;
	if (!t->of_this_era)
		log_limited(LOG_NOTICE, "holder-restores",
		    "era=%" PRId64 " revision=%" PRId64 " valid=%d", t->era,
		    t->revision, leadership_valid(t, p->s->loop.now));
	else if (t->own_machine)
		/* Its own write, of which the answer was lost. */
		leadership_renewed(t, t->revision, t->renewed_at);
	else
		lose_lease(p, "another instance wrote the lease");
}

/*
 * @param o set to the lease, empty if there is none; json_decref() its spec
 * @return whether the store said
 */
static bool
lease_answered(int status, const char *text, size_t len, object_t *o)
{
	err_t e = { 0 };

	memset(o, 0, sizeof(*o));
	return status == 404 ||
	       (status == 200 && object_decode(o, text, len, &e) == 0);
}

static void
on_lease_read(void *arg, int status, const char *text, size_t len)
{
	plan_t *p = arg;
	object_t o;

	p->lease_request = NULL;
	if (lease_answered(status, text, len, &o)) {
		p->s->software_read = true;
		apply_lease(p, &o);
		check_held(p);
		json_decref(o.spec);
		streams_history_read(p->s, p->lease_sent_at);
	}
}

/* Only for the versions: what else it says is read by on_lease_read(). */
static void
on_versions_read(void *arg, int status, const char *text, size_t len)
{
	plan_t *p = arg;
	object_t o;

	p->versions_request = NULL;
	if (!lease_answered(status, text, len, &o))
		return;
	p->s->software_read = true;
	software_merge(p->s, o.spec,
	    json_integer_value(json_object_get(o.spec, "era")) ==
		p->leadership.era);
	json_decref(o.spec);
	streams_history_read(p->s, p->versions_sent_at);
}

void
plan_read_versions(serve_t *s)
{
	plan_t *p = s->plan;
	buf_t b = { 0 };

	if (p == NULL || p->versions_request != NULL ||
	    s->loop.now - p->versions_sent_at < VERSIONS_INTERVAL_MS)
		return;
	objects_get(&b, KIND_LEASES, lease_name, s->conf.store_addr);
	p->versions_sent_at = s->loop.now;
	p->versions_request = http_request_send(
	    s, &s->store, &b, LEASE_TIMEOUT_MS, on_versions_read, p);
}

/* Another holder may have sent orders: ask each endpoint what it holds. */
static void
require_reports(plan_t *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->dispatchers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((dispatcher_t *)v)->need_report = true;
}

static void
on_lease_written(void *arg, int status, const char *text, size_t len)
{
	plan_t *p = arg;
	serve_t *s = p->s;
	object_t o = { 0 };
	err_t e = { 0 };
	bool acquiring = p->acquiring, written = status == 200 || status == 201;
	bool decoded,
	    stored = software_write_ended(&s->software, written, s->loop.now);

	p->lease_request = NULL;
	p->acquiring = false;
	decoded =
	    (written || status == 409) && object_decode(&o, text, len, &e) == 0;
	if (status == 409 && decoded) {
		apply_lease(p, &o);
		check_held(p);
	} else if (written && decoded && acquiring) {
		if (!p->leadership.held)
			p->holder_since = s->loop.now;
		leadership_taken_over(
		    &p->leadership, o.revision, p->lease_sent_at);
		require_reports(p);
		store_watch_require_fresh(&s->endpoints_watch);
		log_limited(LOG_NOTICE, "holder",
		    "token=%" PRId64 " orders_in_ms=%" PRId64,
		    leadership_token(&p->leadership),
		    p->leadership.orders_from - s->loop.now);
		send_full_digest(s);
	} else if (written && decoded) {
		leadership_renewed(
		    &p->leadership, o.revision, p->lease_sent_at);
		if (stored)
			send_full_digest(s);
	} else if (status == 404) {
		lose_lease(p, "the lease was deleted");
	} else if (acquiring) {
		/* Unknown whether it was written: read the lease again. */
		p->leadership.read = false;
	}
	json_decref(o.spec);
}

static void
write_lease(plan_t *p, bool acquiring)
{
	buf_t b = { 0 };
	char *text = lease_spec(p, false);

	objects_put(&b, KIND_LEASES, lease_name, p->leadership.revision, text,
	    p->s->conf.store_addr);
	free(text);
	software_write_began(&p->s->software);
	p->acquiring = acquiring;
	p->lease_sent_at = clock_now(&machine_clock);
	p->lease_request = http_request_send(
	    p->s, &p->s->store, &b, LEASE_TIMEOUT_MS, on_lease_written, p);
}

void
lease_read(plan_t *p)
{
	buf_t b = { 0 };

	objects_get(&b, KIND_LEASES, lease_name, p->s->conf.store_addr);
	p->lease_sent_at = clock_now(&machine_clock);
	p->lease_request = http_request_send(
	    p->s, &p->s->store, &b, LEASE_TIMEOUT_MS, on_lease_read, p);
}

/* Reads are charged, so instances that rank lower read less often. */
static ms_t
check_delay(const serve_t *s)
{
	int n = peers_ranked_before(s);

	return CHECK_INTERVAL_MS +
	       RANK_DELAY_MS * (n < RANK_MAX ? n : RANK_MAX);
}

static void
release(plan_t *p, const char *why)
{
	buf_t b = { 0 };
	char *text;

	http_request_cancel(p->lease_request);
	p->lease_request = NULL;
	if (!p->leadership.read || !p->leadership.of_this_era) {
		/* The revision known may be that of another holder's lease. */
		lose_lease(p, why);
		return;
	}
	text = lease_spec(p, true);
	objects_put(&b, KIND_LEASES, lease_name, p->leadership.revision, text,
	    p->s->conf.store_addr);
	free(text);
	lose_lease(p, why);
	http_request_send(p->s, &p->s->store, &b, LEASE_TIMEOUT_MS, NULL, NULL);
}

/* The holder's digest that names a stored version may have been lost. */
static bool
versions_read_due(plan_t *p)
{
	ms_t now = p->s->loop.now;

	if (!software_unstored(&p->s->software)) {
		p->unstored_since = 0;
		return false;
	}
	if (p->unstored_since == 0)
		p->unstored_since = now;
	if (now - p->unstored_since < READ_VERSIONS_MS ||
	    live_holder(p->s) == NULL)
		return false;
	p->unstored_since = now;
	return true;
}

void
lease_update(plan_t *p)
{
	serve_t *s = p->s;
	ms_t now = s->loop.now;

	if (p->lease_request != NULL)
		return;
	if (p->leadership.held && reach_unfit_to_order(s)) {
		release(p, "no way to the endpoints");
		return;
	}
	if (leadership_must_restore(&p->leadership)) {
		if (leadership_valid(&p->leadership, clock_now(&machine_clock)))
			write_lease(p, true);
		else
			lose_lease(p, "the store has lost it");
		return;
	}
	if (p->leadership.held) {
		if (now - p->leadership.renewed_at > p->leadership.lease * 2)
			lose_lease(p, "no renewal succeeded in time");
		else if (!p->leadership.read)
			lease_read(p);
		else if (leadership_renewal_due(&p->leadership, now) ||
			 (software_unstored(&s->software) &&
			     now - p->lease_sent_at >= STORE_VERSION_MS))
			write_lease(p, false);
		return;
	}
	if (versions_read_due(p)) {
		lease_read(p);
		return;
	}
	if (s->leaving || !s->ready || now < p->lease_check_at ||
	    reach_unfit_to_order(s))
		return;
	/* When all start together, the strongest acquire the lease first. */
	if (now - s->started_at < STRONG_HEAD_START_MS && has_stronger_peer(s))
		return;
	if (live_holder(s) != NULL) {
		p->leadership.read = false;
		p->lease_check_at = now + check_delay(s);
		return;
	}
	if (leadership_may_take_over(&p->leadership, now)) {
		write_lease(p, true);
		return;
	}
	p->lease_check_at =
	    now + check_delay(s) +
	    (p->leadership.read
		    ? 0
		    : (ms_t)(rng_unit(&s->rng) * CHECK_INTERVAL_MS));
	lease_read(p);
}

void
lease_release(plan_t *p)
{
	if (!p->leadership.held)
		return;
	release(p, "leaving");
	p->lease_check_at = INT64_MAX;
}
