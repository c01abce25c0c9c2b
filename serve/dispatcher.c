/*
 * Orders to endpoints. The holder sends one at a time to each endpoint, on the
 * condition that the endpoint's count of orders is as expected, and keeps track
 * of what is or may become loaded until an entry or a report shows it.
 */
#include "serve/plan.h"
#include "serve/reach.h"

#include <stdlib.h>
#include <string.h>

enum {
	ORDER_TIMEOUT_MS = 1000, /* endpoints answer within a few ms */
	REPORT_TIMEOUT_MS = 1000,
	/* An order without an answer may be carried out until then. */
	LATE_ORDER_MS = 13000,
	ADAPTER_LOAD_MS = 30, /* after the order was accepted */
	/* A new adapter stays long enough to serve the calls that waited. */
	ADAPTER_MIN_STAY_MS = 1500,
	RETRY_DELAY_MS = 150, /* after a refused order */
	/* An unload that isn't done by then waits for calls in progress. */
	UNLOAD_IN_USE_MS = 300,
	/* A report with a lower count is old until then, and right later. */
	COUNT_STALE_MS = 2500,
	BUSY_RETRY_MS = 400, /* before a busy endpoint is asked again */
	REPORT_LAG_MS = 600, /* a report's content may be this old */
	/* If no entry shows a load by then, a report is needed. */
	ENTRY_LAG_MAX_MS = 4000,
	/* With more, a report is needed before the oldest are dropped. */
	UNSHOWN_ORDERS_MAX = KNOWN_ORDERS_MAX / 2,
};

/* Is the last order for a model, not an adapter, a load that is done? */
static bool
last_load_done(const dispatcher_t *d)
{
	const ep_t *p = d->ep;
	int i;

	for (i = p->nknown - 1; i >= 0; i--)
		if (p->known[i].adapter[0] == '\0')
			return p->known[i].load &&
			       d->s->loop.now >= p->known[i].effective_at;
	return false;
}

dispatcher_t *
dispatcher_get(plan_t *p, ep_t *ep)
{
	dispatcher_t *d = g_hash_table_lookup(p->dispatchers, ep);

	if (d == NULL) {
		d = g_new0(dispatcher_t, 1);
		d->s = p->s;
		d->ep = ep;
		d->started_at = ep->entry.started_at;
		d->order_count = ep->order_count;
		/*
		 * The entry and the orders that peers announced may both be
		 * out of date.
		 */
		d->need_report = true;
		g_hash_table_insert(p->dispatchers, ep, d);
	}
	if (d->started_at != ep->entry.started_at) {
		/* A restarted process counts its orders from 0. */
		d->started_at = ep->entry.started_at;
		d->order_count = 0;
		d->busy_until = 0;
	}
	if (ep->order_count > d->order_count)
		d->order_count = ep->order_count;
	if (last_load_done(d))
		d->busy_until = 0;
	return d;
}

bool
dispatcher_idle(const dispatcher_t *d)
{
	ms_t now = d->s->loop.now;

	return d->request == NULL && !d->need_report && now >= d->retry_at &&
	       now >= d->busy_until && ep_usable(d->ep) &&
	       !d->ep->entry.holds.partial && d->ep->missing_at == 0;
}

/* Was an unload recorded after l? @param confirmed only one that is done */
static bool
unloaded_since(const ep_t *p, const known_order_t *l, bool confirmed)
{
	const known_order_t *m;

	for (m = l + 1; m < p->known + p->nknown; m++)
		if (order_undoes(m, l) && (m->confirmed || !confirmed))
			return true;
	return false;
}

/*
 * An accepted load occupies memory in addition to what the entry lists until
 * an entry has shown it. The time when an entry was written is an estimate, so
 * an entry without the load may be older than the load. A report settles loads
 * that no entry shows.
 */
static bool
load_unconfirmed(const ep_t *p, const known_order_t *l)
{
	return l->load && !l->shown &&
	       !ep_entry_lists(p, l->model, l->adapter) &&
	       !unloaded_since(p, l, true);
}

/* Accepted, not shown, and with no unload ordered since. */
static bool
load_pending(const ep_t *p, const known_order_t *l)
{
	return load_unconfirmed(p, l) && !unloaded_since(p, l, false);
}

void
dispatcher_check_entry(dispatcher_t *d)
{
	const ep_t *p = d->ep;
	int i, n = 0;

	for (i = 0; i < p->nknown; i++) {
		if (!ep_entry_may_lag(p, &p->known[i]) &&
		    !load_unconfirmed(p, &p->known[i]))
			continue;
		n++;
		d->need_report |= d->s->loop.now >
				  p->known[i].effective_at + ENTRY_LAG_MAX_MS;
	}
	d->need_report |= n > UNSHOWN_ORDERS_MAX;
}

/* Does it occupy memory that no earlier load of the same accounts for? */
static bool
load_counts(const ep_t *p, const known_order_t *l)
{
	const known_order_t *m;

	if (!load_unconfirmed(p, l))
		return false;
	for (m = p->known; m < l; m++)
		if (order_is_for(m, l->model, l->adapter) &&
		    load_unconfirmed(p, m))
			return false;
	return true;
}

static bool
load_uncertain(const dispatcher_t *d)
{
	return d->uncertain_until != 0 && d->s->loop.now < d->uncertain_until;
}

bool
dispatcher_loading(
    const dispatcher_t *d, const char *model, const char *adapter)
{
	const ep_t *p = d->ep;
	int i;

	for (i = 0; i < p->nknown; i++)
		if (order_is_for(&p->known[i], model, adapter) &&
		    load_pending(p, &p->known[i]))
			return true;
	return d->request != NULL && d->load && strcmp(d->model, model) == 0 &&
	       strcmp(d->adapter, adapter) == 0;
}

bool
dispatcher_unloading(const dispatcher_t *d, const char *model)
{
	const ep_t *p = d->ep;
	int i;

	for (i = 0; i < p->nknown; i++)
		if (!p->known[i].load &&
		    order_is_for(&p->known[i], model, "") &&
		    ep_entry_may_lag(p, &p->known[i]))
			return true;
	return d->request != NULL && !d->load && d->adapter[0] == '\0' &&
	       strcmp(d->model, model) == 0;
}

static double
size_mb(const dispatcher_t *d, const char *model, const char *adapter)
{
	const service_def_t *def =
	    config_service(d->s->config, d->ep->entry.service);
	const model_conf_t *m = service_model(def, model);

	if (m == NULL)
		/* Unknown model: all the memory, so that nothing is loaded. */
		return def != NULL ? def->weights_mb : 0;
	return *adapter != '\0' ? m->adapter_mb : m->weights_mb;
}

/* Does the entry list it although an unload was confirmed since? */
static bool
unload_confirmed(const dispatcher_t *d, const char *model, const char *adapter)
{
	const ep_t *p = d->ep;
	bool unloaded = false;
	int i;

	for (i = 0; i < p->nknown; i++) {
		const known_order_t *l = &p->known[i];

		if (ep_entry_may_lag(p, l) && order_is_for(l, model, adapter))
			unloaded = !l->load && l->confirmed;
	}
	return unloaded;
}

bool
dispatcher_adapter_unload_pending(const dispatcher_t *d, int max_pending)
{
	const ep_t *p = d->ep;
	int i, n = 0;

	for (i = 0; i < p->nknown; i++) {
		const known_order_t *l = &p->known[i];

		if (l->load || l->adapter[0] == '\0' || l->confirmed ||
		    !ep_entry_may_lag(p, l))
			continue;
		if (d->s->loop.now < l->effective_at + UNLOAD_IN_USE_MS)
			return true;
		n++;
	}
	return n > 0 && n >= max_pending;
}

bool
dispatcher_recently_loaded(
    const dispatcher_t *d, const char *model, const char *adapter)
{
	const ep_t *p = d->ep;
	int i;

	for (i = 0; i < p->nknown; i++)
		if (p->known[i].load &&
		    d->s->loop.now <
			p->known[i].effective_at + ADAPTER_MIN_STAY_MS &&
		    order_is_for(&p->known[i], model, adapter))
			return true;
	return false;
}

ms_t
dispatcher_stay(const dispatcher_t *d, const char *model, ms_t stay)
{
	ms_t now = d->s->loop.now;
	int i;

	for (i = 0; i < LOADS_KEPT; i++)
		if (strcmp(d->loaded[i].model, model) == 0 &&
		    now < d->loaded[i].at + stay)
			return d->loaded[i].at + stay - now;
	return 0;
}

static void
keep_load(dispatcher_t *d, ms_t at)
{
	int i = d->nloaded++ % LOADS_KEPT;

	str_set(d->loaded[i].model, ID_MAX, d->model);
	d->loaded[i].at = at;
}

double
dispatcher_memory_mb(const dispatcher_t *d)
{
	const ep_t *p = d->ep;
	const holding_set_t *h = &p->entry.holds;
	double mb = 0;
	int i;

	for (i = 0; i < h->nmodel; i++)
		mb += size_mb(d, h->model[i], "");
	for (i = 0; i < h->nadapter; i++)
		if (!unload_confirmed(
			d, h->model[h->adapter[i].model], h->adapter[i].name))
			mb += size_mb(d, h->model[h->adapter[i].model],
			    h->adapter[i].name);
	for (i = 0; i < p->nknown; i++)
		if (load_counts(p, &p->known[i]))
			mb +=
			    size_mb(d, p->known[i].model, p->known[i].adapter);
	if (load_uncertain(d) &&
	    !ep_entry_lists(p, d->uncertain_model, d->uncertain_adapter))
		mb += size_mb(d, d->uncertain_model, d->uncertain_adapter);
	if (d->request != NULL && d->load)
		mb += size_mb(d, d->model, d->adapter);
	return mb;
}

int
dispatcher_adapter_count(const dispatcher_t *d)
{
	const ep_t *p = d->ep;
	const holding_set_t *h = &p->entry.holds;
	int i, n = 0;

	for (i = 0; i < h->nadapter; i++)
		n += !unload_confirmed(
		    d, h->model[h->adapter[i].model], h->adapter[i].name);

	for (i = 0; i < p->nknown; i++)
		n += p->known[i].adapter[0] != '\0' &&
		     load_counts(p, &p->known[i]);
	if (load_uncertain(d) && d->uncertain_adapter[0] != '\0' &&
	    !ep_entry_lists(p, d->uncertain_model, d->uncertain_adapter))
		n++;
	return n + (d->request != NULL && d->load && d->adapter[0] != '\0');
}

/* Record the order's effect and announce it to the other instances. */
static void
record_order(
    dispatcher_t *d, bool load, bool confirmed, int64_t order_count, ms_t at)
{
	known_order_t l = { .order_count = order_count,
		.load = load,
		.confirmed = confirmed,
		.effective_at = at };

	str_set(l.model, ID_MAX, d->model);
	str_set(l.adapter, sizeof(l.adapter), d->adapter);
	ep_add_order(d->ep, &l);
	peers_order_accepted(d->s, d->ep, &l);
}

static bool
is_model_unload(const dispatcher_t *d)
{
	return !d->load && d->adapter[0] == '\0' && d->model[0] != '\0';
}

static void
order_accepted(dispatcher_t *d, bool done)
{
	serve_t *s = d->s;
	const service_def_t *def =
	    config_service(s->config, d->ep->entry.service);
	const model_conf_t *m = service_model(def, d->model);
	ms_t at = s->loop.now;

	d->order_count++;
	/*
	 * An earlier order without an answer expected a lower count, so the
	 * endpoint refuses it from now on.
	 */
	d->uncertain_until = 0;
	if (d->adapter[0] != '\0')
		at += done ? 0 : ADAPTER_LOAD_MS;
	else if (m != NULL && d->load)
		at += m->load * 11 / 10;
	if (d->adapter[0] == '\0')
		d->busy_until = at;
	if (d->adapter[0] == '\0' && d->load)
		keep_load(d, at);
	record_order(d, d->load, done, d->order_count, at);
	s->plan->run_pending = true;
	call_queue_dispatch(s);
}

static void
order_uncertain(dispatcher_t *d)
{
	if (d->load) {
		str_set(d->uncertain_model, ID_MAX, d->model);
		str_set(d->uncertain_adapter, sizeof(d->uncertain_adapter),
		    d->adapter);
		d->uncertain_until = d->s->loop.now + LATE_ORDER_MS;
	}
	d->need_report = true;
}

static void
on_order_answer(void *arg, int status, const char *text, size_t len)
{
	dispatcher_t *d = arg;
	order_result_t r = status == 0 ? ORDER_UNKNOWN : order_result(status);

	(void)text, (void)len;
	d->request = NULL;
	d->done_at = d->s->loop.now;
	log_limited(LOG_NOTICE, "order-answered",
	    "endpoint=%s op=%s model=%s adapter=%s status=%d expect=%" PRId64
	    " after_ms=%" PRId64,
	    d->ep->entry.id, d->load ? "load" : "unload", d->model, d->adapter,
	    status, d->order_count, d->s->loop.now - d->sent_at);
	switch (r) {
	case ORDER_ACCEPTED:
		order_accepted(d, false);
		return;
	case ORDER_NO_CHANGE:
		/* An adapter's unload is done at once, and is counted. */
		if (!d->load && d->adapter[0] != '\0')
			order_accepted(d, true);
		else
			record_order(d, d->load, true, 0, d->s->loop.now);
		return;
	case ORDER_CONFLICT:
		d->need_report = true;
		break;
	case ORDER_STALE:
	case ORDER_REFUSED:
		break;
	case ORDER_UNKNOWN:
		order_uncertain(d);
		break;
	}
	/* The unload was recorded when it was sent: undo that. */
	if (is_model_unload(d) && r != ORDER_UNKNOWN)
		record_order(d, true, false, 0, d->s->loop.now);
	d->retry_at = d->s->loop.now + RETRY_DELAY_MS;
}

/* An answer to an order or a report request may say that its endpoint leaves.
 */
static void
on_answer_head(void *arg, const head_t *h, int status)
{
	dispatcher_t *d = arg;
	answer_head_t a;

	answer_head_decode(&a, h, status);
	if (a.leaving)
		ep_says_leaving(d->s, d->ep, d->asked_started_at, d->asked_at);
}

/* Send an order or a report request on a connection of its own. */
static void
send_request(dispatcher_t *d, buf_t *b, ms_t span, http_request_fn *fn)
{
	d->asked_at = d->s->loop.now;
	d->asked_started_at = d->ep->entry.started_at;
	d->request = http_request_send(d->s, &d->ep->sa, b, span, fn, d);
	http_request_read_head(d->request, on_answer_head);
}

static bool
may_order(void *arg)
{
	return lease_may_order(((dispatcher_t *)arg)->s->plan);
}

void
dispatcher_send_order(plan_t *p, dispatcher_t *d, bool load, const char *model,
    const char *adapter, const char *why)
{
	serve_t *s = p->s;
	buf_t b = { 0 };
	order_t o = { .load = load,
		.model = model,
		.adapter = adapter,
		.endpoint = d->ep->entry.id,
		.expect = d->order_count,
		.holder = s->conf.instance,
		.token = leadership_token(&p->leadership) };

	order_encode(&b, &o, d->ep->entry.addr);
	/* Check the clock last, after everything that takes time. */
	if (d->request != NULL || !lease_may_order(p)) {
		buf_free(&b);
		return;
	}
	str_set(d->model, ID_MAX, model);
	str_set(d->adapter, sizeof(d->adapter), adapter);
	d->load = load;
	d->sent_at = s->loop.now;
	log_limited(LOG_NOTICE, "order",
	    "endpoint=%s op=%s model=%s adapter=%s why=%s expect=%" PRId64
	    " token=%" PRId64 " memory_mb=%.0f entry_age_ms=%" PRId64,
	    d->ep->entry.id, load ? "load" : "unload", model, adapter, why,
	    d->order_count, leadership_token(&p->leadership),
	    dispatcher_memory_mb(d), s->loop.now - d->ep->entry_read_at);
	/* From now on, calls go to other endpoints. */
	if (is_model_unload(d))
		record_order(d, false, false, 0, s->loop.now);
	send_request(d, &b, ORDER_TIMEOUT_MS, on_order_answer);
	/* It leaves when the connection is made, which may be later. */
	http_request_check(d->request, may_order);
}

/* Keep a reported load, since entries read later may be older than it. */
static void
add_known_load(ep_t *p, const char *model, const char *adapter, ms_t at)
{
	known_order_t l = { .load = true, .effective_at = at };

	if (ep_entry_lists(p, model, adapter))
		return;
	str_set(l.model, ID_MAX, model);
	str_set(l.adapter, sizeof(l.adapter), adapter);
	ep_add_order(p, &l);
}

void
ep_apply_report(ep_t *p, const endpoint_report_t *r, ms_t now)
{
	const holding_set_t *h = &r->holds;
	int i;

	p->nknown = 0;
	for (i = 0; i < h->nmodel; i++)
		add_known_load(p, h->model[i], "", now);
	for (i = 0; i < h->nadapter; i++)
		add_known_load(
		    p, h->model[h->adapter[i].model], h->adapter[i].name, now);
	p->entry.holds = *h;
	for (i = 0; i < r->nloading; i++)
		add_known_load(p, r->loading[i].model, r->loading[i].adapter,
		    now + ADAPTER_LOAD_MS);
	p->entry_read_at = p->entry_written_after = now;
}

static void
on_report(void *arg, int status, const char *text, size_t len)
{
	dispatcher_t *d = arg;
	endpoint_report_t r;
	err_t e = { 0 };

	d->request = NULL;
	if (status == 0)
		reach_check(d->s, d->ep);
	if (status != 200 || report_decode(&r, text, len, &e) == -1) {
		log_limited(LOG_WARNING, "report",
		    "endpoint=%s status=%d why=\"%s\"", d->ep->entry.id, status,
		    e.text);
		d->retry_at = d->s->loop.now + RETRY_DELAY_MS;
		return;
	}
	d->need_report = false;
	if (r.started_at != d->started_at && r.started_at != 0) {
		/* The endpoint restarted; its entry will show that soon. */
		d->need_report = true;
		d->retry_at = d->s->loop.now + RETRY_DELAY_MS;
		return;
	}
	log_limited(LOG_NOTICE, "report",
	    "endpoint=%s orders=%" PRId64 " known=%" PRId64
	    " busy=%d models=%d",
	    d->ep->entry.id, r.orders, d->order_count, r.busy, r.holds.nmodel);
	if (r.orders < d->order_count &&
	    d->s->loop.now - d->done_at < COUNT_STALE_MS) {
		/* It is from before the last order that was accepted. */
		d->need_report = true;
		d->retry_at = d->s->loop.now + RETRY_DELAY_MS;
		return;
	}
	/* It is newer than all orders sent, so its count is right. */
	d->order_count = d->ep->order_count = r.orders;
	if (r.busy) {
		/*
		 * A model that is being loaded isn't reported yet, and an
		 * earlier holder may have ordered it: ask until it is done.
		 */
		d->need_report = true;
		d->retry_at = d->s->loop.now + BUSY_RETRY_MS;
		return;
	}
	ep_apply_report(d->ep, &r, d->s->loop.now);
}

void
dispatcher_request_report(dispatcher_t *d)
{
	buf_t b = { 0 };
	ms_t now = d->s->loop.now;

	/* Its content must be newer than the last order's answer. */
	if (d->request != NULL || now < d->retry_at ||
	    now < d->done_at + REPORT_LAG_MS)
		return;
	report_request_encode(&b, d->ep->entry.addr);
	d->load = false;
	d->model[0] = d->adapter[0] = '\0';
	send_request(d, &b, REPORT_TIMEOUT_MS, on_report);
}
