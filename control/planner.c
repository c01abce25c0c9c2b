#include "control/control.h"

#include "control/plan_input.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	ORDER_TIMEOUT_MS = 800,	 /* bound on sending an order */
	BUSY_DIVISOR = 8,	 /* divides the rounds' interval while busy */
	BUSY_MIN_MS = 25,	 /* shortest interval of rounds */
	LEASE_RENEW_DIVISOR = 4, /* renewal after ttl / this */
	REPORT_RING_SIZE = 4096, /* a power of two */
	SLEEP_STEP_MS = 20,	 /* interval of checks for stop */
	HOUR_S = 3600,
	DAY_H = 24,
};

/* One order of a round, numbered by its worker's ledger. */
typedef struct planned_order {
	int worker;
	order_t order;
	move_reason_t reason;
	const char *why;
} planned_order_t;

struct planner {
	planner_opts_t o;
	platform_t *platform;
	orders_t *orders;
	ring_t *reports; /* of load_report_t * */
	load_poller_t *poller;
	uint64_t targets_hash; /* of the workers asked for reports */
	pthread_t thread;
	bool started, stop;
	lease_t lease;
	uint64_t fencing_token; /* of the lease in use; 0: not held */
	ms_t renew_at;
	ledger_cache_t cache;
	demand_t demand;
	plan_input_t input;
	GArray *planned;
	uint64_t catalogue_number; /* highest one used in a plan */
	double load_tokens;	   /* model loads allowed by the rate limit */
	ms_t load_tokens_at;
	bool busy;
	counter_t *loads, *unloads, *unanswered, *unsettled, *rounds, *reserved;
};

static bool
stopping(const planner_t *p)
{
	return __atomic_load_n(&p->stop, __ATOMIC_ACQUIRE);
}

static ledger_sender_t
sender(const planner_t *p)
{
	return (
	    ledger_sender_t){ p->o.settings->instance.id, p->fencing_token };
}

static void
audit_lease(planner_t *p, const char *what)
{
	audit_record_t r = { .at = clock_wall(),
		.number = p->lease.fencing_token };

	str_set(r.who, sizeof(r.who), p->o.settings->instance.id);
	str_set(r.kind, sizeof(r.kind), "lease");
	str_set(r.subject, sizeof(r.subject), "lease/planner");
	str_set(r.what, sizeof(r.what), what);
	str_set(r.result, sizeof(r.result), "done");
	if (p->o.audit != NULL)
		audit_add(p->o.audit, &r);
	log_event(LOG_NOTICE, "planner_lease", "change=%s fence=%" PRIu64, what,
	    r.number);
}

static void
audit_order(planner_t *p, const planned_order_t *t, const char *result)
{
	const place_worker_t *w =
	    &g_array_index(p->input.worker, place_worker_t, t->worker);
	const char *op = t->order.kind == ORDER_LOAD ? "load" : "unload";
	audit_record_t r = { .at = clock_wall(), .number = t->order.number };

	str_set(r.who, sizeof(r.who), p->o.settings->instance.id);
	str_set(r.kind, sizeof(r.kind), "order");
	str_set(r.subject, sizeof(r.subject), w->id);
	str_set(r.model, sizeof(r.model),
	    t->order.adapter[0] == '\0' ? t->order.model : t->order.adapter);
	snprintf(r.what, sizeof(r.what), "%s version %" PRIu64 ", %u MB: %s",
	    op, t->order.version, t->order.memory_mb, t->why);
	str_set(r.result, sizeof(r.result), result);
	if (p->o.audit != NULL)
		audit_add(p->o.audit, &r);
	log_event(LOG_INFO, "order",
	    "worker=%s number=%" PRIu64 " op=%s model=%s adapter=%s "
	    "version=%" PRIu64 " mb=%u reason=%s result=%s",
	    w->id, t->order.number, op, t->order.model, t->order.adapter,
	    t->order.version, t->order.memory_mb, t->why, result);
}

/* Acquire or renew the lease. @return true if it is held. */
static bool
keep_lease(planner_t *p, ms_t now)
{
	bool was_held = p->fencing_token != 0;
	err_t e = { 0 };

	if (now >= p->renew_at || (was_held && !lease_held(&p->lease))) {
		lease_acquire(&p->lease, p->platform, &e);
		p->renew_at = now + p->lease.ttl / LEASE_RENEW_DIVISOR;
	}
	if (!lease_held(&p->lease)) {
		if (was_held)
			audit_lease(p, "lost");
		p->fencing_token = 0;
		return false;
	}
	if (p->lease.fencing_token != p->fencing_token) {
		/* Others may have sent orders since: read all again. */
		ledger_cache_reset(&p->cache);
		p->fencing_token = p->lease.fencing_token;
		audit_lease(p, "taken");
	}
	return true;
}

/* Renew the lease within a round. @return false: the round must stop. */
static bool
renew_in_round(planner_t *p)
{
	ms_t now = clock_now(p->o.clock);

	if (now >= p->renew_at) {
		lease_acquire(&p->lease, p->platform, NULL);
		p->renew_at = now + p->lease.ttl / LEASE_RENEW_DIVISOR;
	}
	return lease_held(&p->lease) &&
	       p->lease.fencing_token == p->fencing_token;
}

static void
apply_report(worker_ledger_t *wl, const load_report_t *r)
{
	ledger_item_t *item = g_new(ledger_item_t, r->nresident + 1);
	ledger_report_t lr = { r->incarnation, r->memory_mb, r->last_order,
		item, r->nresident };
	int i;

	for (i = 0; i < r->nresident; i++)
		item[i] = (ledger_item_t){ r->resident[i].model,
			r->resident[i].adapter, r->resident[i].version,
			r->resident[i].memory_mb };
	if (ledger_apply_report(wl->ledger, &lr))
		wl->dirty = true;
	g_free(item);
}

/* Keep the newest report of each worker. */
static void
collect_reports(planner_t *p)
{
	load_report_t *r;
	worker_ledger_t *wl;

	while ((r = ring_pop(p->reports)) != NULL) {
		wl = ledger_cache_get(&p->cache, r->worker);
		if (r->reached && r->taken_at > wl->report.taken_at) {
			free(wl->report.resident);
			wl->report = *r;
			wl->has_report = wl->report_pending = true;
			r->resident = NULL;
		}
		load_report_free(r);
	}
}

/* Apply reports to the ledgers, but none requested before the ledger's read. */
static void
apply_reports(planner_t *p, const view_t *v)
{
	const service_conf_t *conf;
	const Wire__Worker *w;
	worker_ledger_t *wl;
	size_t i;

	for (i = 0; i < v->wire->n_worker; i++) {
		w = v->wire->worker[i];
		conf = settings_service(p->o.settings, w->service);
		if (conf == NULL || conf->kind != SERVICE_ENGINE)
			continue;
		wl = ledger_cache_get(&p->cache, w->id);
		if (wl->ledger == NULL && !wl->stale)
			wl->ledger = ledger_new(w->id, conf->fencing);
		if (wl->ledger == NULL || !wl->report_pending ||
		    wl->report.taken_at < wl->read_at)
			continue;
		wl->ledger->fencing = conf->fencing;
		wl->report_pending = false;
		apply_report(wl, &wl->report);
	}
}

/* Poll all engines for reports; none (@p v is NULL) while another plans. */
static void
set_targets(planner_t *p, const view_t *v)
{
	load_target_t *t = NULL;
	const service_conf_t *conf;
	uint64_t hash = 0;
	int n = 0;
	size_t i;

	if (v != NULL)
		t = g_new0(load_target_t, v->wire->n_worker + 1);
	for (i = 0; v != NULL && i < v->wire->n_worker; i++) {
		const Wire__Worker *w = v->wire->worker[i];

		conf = settings_service(p->o.settings, w->service);
		if (conf == NULL || conf->kind != SERVICE_ENGINE)
			continue;
		str_set(t[n].worker, sizeof(t[n].worker), w->id);
		str_set(t[n].addr, sizeof(t[n].addr), w->addr);
		n++;
	}
	if (n > 0)
		hash = hash64(t, n * sizeof(*t), 0);
	if (hash != p->targets_hash)
		load_poller_set(p->poller, t, n);
	p->targets_hash = hash;
	g_free(t);
}

static const planned_order_t *
plan_order(planner_t *p, int worker, order_kind_t kind, const ledger_item_t *it,
    const char *why)
{
	worker_ledger_t *wl = p->input.ledger->pdata[worker];
	ledger_sender_t by = sender(p);
	planned_order_t t = { .worker = worker, .why = why };
	err_t e = { 0 };

	t.order.kind = kind;
	t.order.number = kind == ORDER_LOAD
			     ? ledger_order_load(wl->ledger, it, &by, &e)
			     : ledger_order_unload(wl->ledger, it, &by, &e);
	if (t.order.number == 0)
		return NULL;
	t.order.fencing_token = t.order.number;
	t.order.version = it->version;
	t.order.memory_mb = it->memory_mb;
	str_set(t.order.model, sizeof(t.order.model), it->model);
	str_set(t.order.adapter, sizeof(t.order.adapter), it->adapter);
	str_set(t.order.incarnation, sizeof(t.order.incarnation),
	    wl->ledger->incarnation);
	g_array_append_val(p->planned, t);
	wl->dirty = true;
	return &g_array_index(p->planned, planned_order_t, p->planned->len - 1);
}

/* Must an unload be sent, or sent again, to release this reservation? */
static bool
needs_unload(worker_ledger_t *wl, const reservation_t *res, ms_t now)
{
	const resident_t *r = worker_ledger_resident(wl, res);
	bool newer = wl->has_report && wl->report.last_order >= res->order;

	switch (res->state) {
	case RESERVATION_UNSETTLED:
		return wl->ledger->fencing && r == NULL &&
		       worker_ledger_order_age(wl, res->order, now) >=
			   LOAD_SETTLE_MS;
	case RESERVATION_RESIDENT:
		return r == NULL && newer;
	case RESERVATION_UNLOADING:
		/* An unload can take long while streams still use the copy. */
		if (newer && r != NULL && r->state == RESIDENT_UNLOADING)
			return false;
		return worker_ledger_order_age(wl, res->order, now) >=
		       UNLOAD_RESEND_MS;
	}
	return false;
}

static void
settle_reservations(planner_t *p, ms_t now)
{
	const place_worker_t *w;
	ledger_item_t it;
	worker_ledger_t *wl;
	reservation_t res;
	guint i;
	int j;

	for (i = 0; i < p->input.ledger->len; i++) {
		wl = p->input.ledger->pdata[i];
		w = &g_array_index(p->input.worker, place_worker_t, i);
		if (wl->ledger == NULL || wl->stale || !wl->has_report ||
		    now - wl->report.taken_at >= REPORT_MAX_AGE_MS ||
		    now < wl->no_orders_until || w->memory_mb == 0)
			continue;
		for (j = 0; j < wl->ledger->nreservation; j++) {
			res = wl->ledger->reservation[j];
			it = (ledger_item_t){ res.model, res.adapter,
				res.version, res.memory_mb };
			if (needs_unload(wl, &res, now))
				plan_order(
				    p, (int)i, ORDER_UNLOAD, &it, "settle");
		}
	}
}

static bool
in_quiet_hours(const settings_t *s)
{
	int64_t hour = clock_wall() / 1000 / HOUR_S % DAY_H;

	if (s->place.quiet_from_h <= s->place.quiet_to_h)
		return hour >= s->place.quiet_from_h &&
		       hour < s->place.quiet_to_h;
	return hour >= s->place.quiet_from_h || hour < s->place.quiet_to_h;
}

/*
 * Number of models that may be loaded now. A token bucket limits the load on
 * the model store.
 */
static int
model_load_budget(planner_t *p, ms_t now)
{
	const settings_t *s = p->o.settings;
	double per_ms = (double)s->place.loads_per_min / 60000;
	double tokens_max = (double)s->place.loads_at_once;
	int budget = (int)s->place.loads_at_once - p->input.model_loads;

	p->load_tokens += per_ms * (double)(now - p->load_tokens_at);
	p->load_tokens_at = now;
	if (p->load_tokens > tokens_max)
		p->load_tokens = tokens_max;
	if (budget > (int)p->load_tokens)
		budget = (int)p->load_tokens;
	return budget > 0 ? budget : 0;
}

static int
place(planner_t *p, ms_t now, err_t *e)
{
	const settings_t *s = p->o.settings;
	plan_input_t *input = &p->input;
	place_input_t in = { .worker = (place_worker_t *)input->worker->data,
		.nworker = (int)input->worker->len,
		.item = (place_item_t *)input->item->data,
		.nitem = (int)input->item->len,
		.copy = (place_copy_t *)input->copy->data,
		.ncopy = (int)input->copy->len,
		.move_weight = s->place.move_weight,
		.hysteresis = s->place.hysteresis,
		.quiet = in_quiet_hours(s) };
	place_output_t out = { 0 };
	const place_move_t *m;
	ledger_item_t it;
	int i, rc;

	in.model_loads_left = model_load_budget(p, now);
	in.adapter_loads_left =
	    (int)s->place.adapters_at_once - input->adapter_loads;
	if (in.adapter_loads_left < 0)
		in.adapter_loads_left = 0;
	rc = place_step(&in, &out, e);
	for (i = 0; i < out.nmove; i++) {
		m = &out.move[i];
		it = plan_input_ledger_item(input, m->item);
		if (plan_order(p, m->worker,
			m->kind == MOVE_LOAD ? ORDER_LOAD : ORDER_UNLOAD, &it,
			move_reason_name(m->reason)) != NULL &&
		    m->kind == MOVE_LOAD && *it.adapter == '\0')
			p->load_tokens -= 1;
	}
	place_output_clear(&out);
	return rc;
}

static send_outcome_t
send_outcome_of(int rc, const err_t *e)
{
	if (rc == 0)
		return SEND_ACCEPTED;
	switch (e->code) {
	case ERR_CONFLICT:
	case ERR_FULL:
	case ERR_DOWN:
		return SEND_NOT_RUN;
	default:
		return SEND_NO_ANSWER;
	}
}

/* @return false if the worker gave no answer: send it no more in this round. */
static bool
send_order(planner_t *p, worker_ledger_t *wl, const planned_order_t *t)
{
	const char *addr = p->input.addr->pdata[t->worker];
	rng_t rng = { .s = t->order.number };
	send_outcome_t outcome;
	err_t e = { 0 };
	int rc = orders_send(p->orders, addr, &t->order, &e);

	outcome = send_outcome_of(rc, &e);
	if (ledger_record_answer(wl->ledger, t->order.number, outcome))
		wl->dirty = true;
	counter_add(t->order.kind == ORDER_LOAD ? p->loads : p->unloads, 1);
	if (outcome == SEND_NO_ANSWER)
		counter_add(p->unanswered, 1);
	audit_order(p, t, rc == 0 ? "taken" : err_name(e.code));
	if (rc == 0)
		backoff_reset(&wl->backoff);
	if (outcome != SEND_NO_ANSWER && e.code != ERR_DOWN)
		return true;
	wl->no_orders_until =
	    clock_now(p->o.clock) + backoff_next(&wl->backoff, &rng);
	return false;
}

/* Send a worker's orders; release the reservations of those not sent. */
static void
send_worker_orders(planner_t *p, int worker, worker_ledger_t *wl)
{
	const planned_order_t *t;
	bool sending = true;
	guint i;

	for (i = 0; i < p->planned->len; i++) {
		t = &g_array_index(p->planned, planned_order_t, i);
		if (t->worker != worker)
			continue;
		/* Without this check a successor would have more orders to
		 * settle. Memory limits hold without the lease. */
		sending = sending && renew_in_round(p);
		if (sending)
			sending = send_order(p, wl, t);
		else if (ledger_record_answer(
			     wl->ledger, t->order.number, SEND_NOT_RUN))
			wl->dirty = true;
	}
	/* Without the lease there is no next round that would write it. */
	if (wl->dirty && !renew_in_round(p))
		worker_ledger_write(wl, p->platform, NULL);
}

static bool
has_planned_order(const planner_t *p, int worker)
{
	guint i;

	for (i = 0; i < p->planned->len; i++)
		if (g_array_index(p->planned, planned_order_t, i).worker ==
		    worker)
			return true;
	return false;
}

/*
 * Connect to the engine before the ledger is written. If the planner dies
 * between that write and the send, the orders' outcome is unknown, so this time
 * must be short. If the connection fails, drop the worker's planned orders.
 */
static void
connect_engine(planner_t *p, int worker, worker_ledger_t *wl)
{
	rng_t rng = { .s = wl->ledger->last_order };
	guint i;

	if (orders_connect(p->orders, p->input.addr->pdata[worker],
		wl->ledger->incarnation, NULL) == 0)
		return;
	wl->no_orders_until =
	    clock_now(p->o.clock) + backoff_next(&wl->backoff, &rng);
	for (i = p->planned->len; i > 0; i--) {
		const planned_order_t *t =
		    &g_array_index(p->planned, planned_order_t, i - 1);

		if (t->worker != worker)
			continue;
		ledger_record_answer(wl->ledger, t->order.number, SEND_NOT_RUN);
		g_array_remove_index(p->planned, i - 1);
	}
}

static void
mark_unsent(planner_t *p, int worker, worker_ledger_t *wl)
{
	const planned_order_t *t;
	guint i;

	for (i = 0; i < p->planned->len; i++) {
		t = &g_array_index(p->planned, planned_order_t, i);
		if (t->worker != worker)
			continue;
		if (wl->unsent_from == 0)
			wl->unsent_from = t->order.number;
		wl->unsent_to = t->order.number;
	}
}

/* Write each changed ledger, then send its orders. */
static void
write_and_send(planner_t *p)
{
	char q[ERR_TEXT_MAX];
	err_t e = { 0 };
	worker_ledger_t *wl;
	guint i;

	for (i = 0; i < p->input.ledger->len && !stopping(p); i++) {
		wl = p->input.ledger->pdata[i];
		if (wl->ledger == NULL || !wl->dirty || wl->stale ||
		    !wl->has_report)
			continue;
		if (has_planned_order(p, (int)i))
			connect_engine(p, (int)i, wl);
		if (!renew_in_round(p))
			return;
		if (worker_ledger_write(wl, p->platform, &e) == 0) {
			send_worker_orders(p, (int)i, wl);
			continue;
		}
		mark_unsent(p, (int)i, wl);
		log_event(LOG_WARNING, "ledger_not_written",
		    "worker=%s error=%s reason=%s", wl->worker,
		    err_name(e.code), log_quote(q, sizeof(q), e.text));
	}
}

/* Is a load in progress, or was any order planned in this round? */
static bool
work_in_progress(planner_t *p)
{
	const place_copy_t *c;
	guint i;

	for (i = 0; i < p->input.copy->len; i++) {
		c = &g_array_index(p->input.copy, place_copy_t, i);
		if (c->state == PLACE_LOADING)
			return true;
	}
	return p->planned->len > 0;
}

static void
update_memory_gauges(planner_t *p)
{
	int64_t unsettled_mb = 0, reserved_mb = 0;
	worker_ledger_t *wl;
	guint i;

	for (i = 0; i < p->input.ledger->len; i++) {
		wl = p->input.ledger->pdata[i];
		if (wl->ledger == NULL)
			continue;
		unsettled_mb += (int64_t)ledger_unsettled_mb(wl->ledger);
		reserved_mb += (int64_t)ledger_reserved_mb(wl->ledger);
	}
	counter_set(p->unsettled, unsettled_mb);
	counter_set(p->reserved, reserved_mb);
}

static void
plan_round(planner_t *p, const view_t *v, err_t *e)
{
	ledger_sender_t by = sender(p);
	ms_t now = clock_now(p->o.clock);

	if (ledger_cache_sync(&p->cache, p->platform, &by, now, e) == -1)
		return;
	collect_reports(p);
	apply_reports(p, v);
	now = clock_now(p->o.clock);
	demand_update(&p->demand, v, now);
	plan_input_fill(
	    &p->input, v, &p->cache, &p->demand, p->o.settings, now);
	g_array_set_size(p->planned, 0);
	settle_reservations(p, now);
	place(p, now, e);
	write_and_send(p);
	update_memory_gauges(p);
	p->busy = work_in_progress(p);
	counter_add(p->rounds, 1);
}

static void
run_round(planner_t *p)
{
	view_t *v = node_view(p->o.node);
	err_t e = { 0 };
	char q[ERR_TEXT_MAX];

	p->busy = false;
	/* Never plan with an older catalogue than in the last round. */
	if (v != NULL && v->catalogue != NULL && v->catalogue->number > 0 &&
	    v->catalogue->number >= p->catalogue_number) {
		p->catalogue_number = v->catalogue->number;
		set_targets(p, v);
		plan_round(p, v, &e);
	}
	view_unref(v);
	if (e.code != ERR_NONE)
		log_event(LOG_WARNING, "plan_failed", "error=%s reason=%s",
		    err_name(e.code), log_quote(q, sizeof(q), e.text));
}

static void
sleep_until(planner_t *p, ms_t until)
{
	ms_t now;

	while (!stopping(p) && (now = clock_now(p->o.clock)) < until)
		clock_sleep(
		    until - now < SLEEP_STEP_MS ? until - now : SLEEP_STEP_MS);
}

static void *
planner_run(void *user)
{
	planner_t *p = user;
	ms_t start, interval;

	p->load_tokens_at = clock_now(p->o.clock);
	p->load_tokens = (double)p->o.settings->place.loads_at_once;
	while (!stopping(p)) {
		start = clock_now(p->o.clock);
		interval = p->o.settings->place.plan_ms;
		if (keep_lease(p, start))
			run_round(p);
		else
			set_targets(p, NULL);
		if (p->fencing_token != 0 && p->busy)
			interval /= BUSY_DIVISOR;
		sleep_until(p,
		    start + (interval < BUSY_MIN_MS ? BUSY_MIN_MS : interval));
	}
	if (p->fencing_token != 0 &&
	    lease_drop(&p->lease, p->platform, NULL) == 0)
		audit_lease(p, "dropped");
	return NULL;
}

static void
planner_counters(planner_t *p)
{
	p->loads = counter_get("planner_loads_total", "load orders sent");
	p->unloads = counter_get("planner_unloads_total", "unload orders sent");
	p->unanswered = counter_get(
	    "planner_orders_lost_total", "orders without an answer");
	p->unsettled = counter_get("planner_doubtful_mb",
	    "memory reserved for loads that aren't settled");
	p->reserved =
	    counter_get("planner_reserved_mb", "memory in the ledgers");
	p->rounds = counter_get("planner_rounds_total", "planning rounds");
}

planner_t *
planner_new(const planner_opts_t *o, err_t *e)
{
	const settings_t *s = o->settings;
	platform_opts_t po = { .timeout = s->platform.timeout_ms };
	planner_t *p = g_new0(planner_t, 1);

	p->o = *o;
	str_set(po.addr, sizeof(po.addr), s->platform.addr);
	str_set(po.user, sizeof(po.user), s->instance.id);
	lease_init(&p->lease, "planner", s->instance.id, s->platform.lease_ms,
	    o->clock);
	ledger_cache_init(&p->cache);
	demand_init(&p->demand);
	plan_input_init(&p->input);
	p->planned = g_array_new(FALSE, TRUE, sizeof(planned_order_t));
	planner_counters(p);
	p->platform = platform_new(&po, e);
	p->reports = ring_new(REPORT_RING_SIZE);
	if (p->platform != NULL && p->reports != NULL)
		p->orders = orders_new(ORDER_TIMEOUT_MS, e);
	if (p->orders != NULL)
		p->poller = load_poller_new(s, p->reports, e);
	if (p->poller == NULL) {
		planner_free(p);
		return NULL;
	}
	if (pthread_create(&p->thread, NULL, planner_run, p) != 0) {
		err_set(e, ERR_INTERNAL, "can't start the planner's thread");
		planner_free(p);
		return NULL;
	}
	p->started = true;
	return p;
}

void
planner_free(planner_t *p)
{
	load_report_t *r;

	if (p == NULL)
		return;
	__atomic_store_n(&p->stop, true, __ATOMIC_RELEASE);
	if (p->started)
		pthread_join(p->thread, NULL);
	if (p->poller != NULL)
		load_poller_free(p->poller);
	while (p->reports != NULL && (r = ring_pop(p->reports)) != NULL)
		load_report_free(r);
	if (p->reports != NULL)
		ring_free(p->reports);
	if (p->orders != NULL)
		orders_free(p->orders);
	if (p->platform != NULL)
		platform_free(p->platform);
	ledger_cache_destroy(&p->cache);
	demand_destroy(&p->demand);
	plan_input_destroy(&p->input);
	g_array_free(p->planned, TRUE);
	g_free(p);
}
