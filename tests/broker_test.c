/*
 * Which slot requests a broker grants, queues or refuses, as load reports
 * arrive and brokers, connections and grants change. It must not grant more
 * slots than the workers have.
 */
#include "peer/broker.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	ANSWERS = 64,
	CONN = 7,
	TARGET_LATENCY_MS = 60000 /* nothing is refused for being late */
};

/* The broker "e1" of the only shard, and its answers. */
typedef struct fixture {
	msclock_t clock;
	settings_t settings;
	store_t *store;
	brokers_t *brokers;
	struct {
		handle_t conn;
		uint64_t call;
		slot_outcome_t outcome;
		uint64_t slot;
		char worker[ID_MAX];
	} answers[ANSWERS];
	int nanswer;
	bool conn_gone; /* answers can't be delivered */
	char self[ID_MAX];
} fixture_t;

static bool
record_answer(
    void *user, handle_t conn, uint64_t call, const Wire__SlotAnswer *a)
{
	fixture_t *r = user;

	if (r->conn_gone)
		return false;
	g_assert_cmpint(r->nanswer, <, ANSWERS);
	r->answers[r->nanswer].conn = conn;
	r->answers[r->nanswer].call = call;
	r->answers[r->nanswer].outcome = a->outcome;
	r->answers[r->nanswer].slot = a->slot;
	str_set(r->answers[r->nanswer++].worker, ID_MAX, a->worker);
	return true;
}

static void
merge_member(fixture_t *r, const char *id, uint64_t seq, bool gone)
{
	Wire__Member m = WIRE__MEMBER__INIT;

	m.id = (char *)id;
	m.domain = "d0";
	m.incarnation = 1;
	m.seq = seq;
	m.gone = gone;
	store_merge_member(r->store, &m);
}

static fixture_t *
fixture_new(int nworker)
{
	fixture_t *r = g_new0(fixture_t, 1);
	brokers_opts_t o = { .settings = &r->settings,
		.clock = &r->clock,
		.answer = record_answer,
		.user = r };
	instance_t w[8] = { 0 };
	instances_t l = { w, nworker };
	int i;

	r->clock = (msclock_t){ CLOCK_FAKE, 100000 };
	settings_init(&r->settings);
	r->store = store_new(&r->clock, 8);
	str_set(r->self, ID_MAX, "e1");
	for (i = 0; i < nworker; i++) {
		w[i].role = ROLE_WORKER;
		g_snprintf(w[i].id, ID_MAX, "w%d", i);
		str_set(w[i].service, ID_MAX, "llm");
		str_set(w[i].domain, ID_MAX, "d0");
		g_snprintf(w[i].addr, ADDR_MAX, "10.0.0.%d:80", i + 1);
	}
	store_apply_list(r->store, &l);
	merge_member(r, "e1", 1, false);
	o.store = r->store;
	o.self = r->self;
	r->brokers = brokers_new(&o);
	brokers_tick(r->brokers);
	return r;
}

static void
fixture_free(fixture_t *r)
{
	brokers_free(r->brokers);
	store_free(r->store);
	g_free(r);
}

static void
request_by(fixture_t *r, handle_t conn, uint64_t call, char *tried)
{
	Wire__SlotRequest a = WIRE__SLOT_REQUEST__INIT;
	char request[32];

	g_snprintf(request, sizeof(request), "r%d", (int)call);
	a.request = request;
	a.service = "llm";
	a.domain = "d0";
	a.model = "m";
	a.remaining_ms = TARGET_LATENCY_MS;
	a.tried_brokers = &tried;
	a.n_tried_brokers = tried != NULL;
	brokers_request(r->brokers, conn, call, &a);
}

static void
report_load(fixture_t *r, const char *worker, bool reached, int slots, int busy)
{
	load_report_t *l = calloc(1, sizeof(*l));

	str_set(l->worker, ID_MAX, worker);
	l->reached = reached;
	l->taken_at = r->clock.fake_now;
	l->slots = slots;
	l->in_flight = busy;
	if (reached) {
		l->resident = calloc(1, sizeof(*l->resident));
		l->nresident = 1;
		str_set(l->resident->model, ID_MAX, "m");
		l->resident->version = 3;
		l->resident->state = RESIDENT_READY;
	}
	brokers_report(r->brokers, l);
}

static void
advance(fixture_t *r, ms_t span)
{
	r->clock.fake_now += span;
	brokers_tick(r->brokers);
}

/* Outcome of the last answer to a call, or -1. */
static int
last_outcome(const fixture_t *r, uint64_t call)
{
	int i, found = -1;

	for (i = 0; i < r->nanswer; i++)
		if (r->answers[i].call == call)
			found = (int)r->answers[i].outcome;
	return found;
}

static void
release_slot(fixture_t *r, uint64_t call)
{
	Wire__SlotRelease rel = WIRE__SLOT_RELEASE__INIT;
	int i;

	for (i = 0; i < r->nanswer; i++)
		if (r->answers[i].call == call &&
		    r->answers[i].outcome == SLOT_GRANTED) {
			rel.slot = r->answers[i].slot;
			rel.worker = r->answers[i].worker;
		}
	brokers_release(r->brokers, &rel);
}

/*
 * A new broker doesn't know which slots its predecessor granted: it grants
 * none before the workers have reported their load.
 */
static void
no_grant_before_a_report(void)
{
	fixture_t *r = fixture_new(2);

	request_by(r, CONN, 1, NULL);
	request_by(r, CONN, 2, NULL);
	g_assert_cmpint(last_outcome(r, 1), ==, SLOT_QUEUED);
	report_load(r, "w0", true, 1, 1);
	g_assert_cmpint(last_outcome(r, 1), ==, SLOT_QUEUED);
	/* w0 is full of calls that this broker didn't grant */
	report_load(r, "w1", true, 1, 0);
	g_assert_cmpint(last_outcome(r, 1), ==, SLOT_GRANTED);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_QUEUED);
	release_slot(r, 1);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_GRANTED);
	fixture_free(r);
}

/* A worker that doesn't report delays requests for 400 ms only. */
static void
silent_worker_delays_briefly(void)
{
	fixture_t *r = fixture_new(2);

	report_load(r, "w1", true, 1, 0);
	request_by(r, CONN, 1, NULL);
	g_assert_cmpint(last_outcome(r, 1), ==, SLOT_QUEUED);
	g_assert_cmpint(brokers_due(r->brokers), <=, r->clock.fake_now + 400);
	advance(r, 400);
	g_assert_cmpint(last_outcome(r, 1), ==, SLOT_GRANTED);
	fixture_free(r);
}

static void
closed_connection_cancels_requests(void)
{
	fixture_t *r = fixture_new(1);

	report_load(r, "w0", true, 1, 0);
	request_by(r, CONN, 1, NULL);
	request_by(r, CONN + 1, 2, NULL);
	request_by(r, CONN, 3, NULL);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_QUEUED);
	brokers_conn_closed(r->brokers, CONN + 1);
	release_slot(r, 1);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_QUEUED);
	g_assert_cmpint(last_outcome(r, 3), ==, SLOT_GRANTED);
	/* a grant that can't be delivered is released */
	request_by(r, CONN, 4, NULL);
	r->conn_gone = true;
	release_slot(r, 3);
	r->conn_gone = false;
	request_by(r, CONN, 5, NULL);
	g_assert_cmpint(last_outcome(r, 5), ==, SLOT_GRANTED);
	fixture_free(r);
}

static void
cancelled_requests_get_no_slot(void)
{
	fixture_t *r = fixture_new(1);

	report_load(r, "w0", true, 1, 0);
	request_by(r, CONN, 1, NULL);
	request_by(r, CONN, 2, NULL);
	brokers_cancel(r->brokers, CONN + 1, "r2"); /* another connection's */
	brokers_cancel(r->brokers, CONN, "r9");
	release_slot(r, 1);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_GRANTED);
	request_by(r, CONN, 3, NULL);
	brokers_cancel(r->brokers, CONN, "r3");
	release_slot(r, 2);
	g_assert_cmpint(last_outcome(r, 3), ==, SLOT_QUEUED);
	fixture_free(r);
}

static void
grants_expire(void)
{
	fixture_t *r = fixture_new(1);

	r->settings.broker.grant_ms = 120000;
	report_load(r, "w0", true, 1, 0);
	request_by(r, CONN, 1, NULL);
	advance(r, 120000);
	report_load(r, "w0", true, 1, 0);
	request_by(r, CONN, 2, NULL);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_GRANTED);
	/* the first grant has expired: releasing it frees nothing */
	release_slot(r, 1);
	request_by(r, CONN, 3, NULL);
	g_assert_cmpint(last_outcome(r, 3), ==, SLOT_QUEUED);
	fixture_free(r);
}

static void
broker_changes(void)
{
	fixture_t *r = fixture_new(1);
	const char *other = NULL;
	char id[8];
	int i;

	report_load(r, "w0", true, 1, 0);
	request_by(r, CONN, 1, NULL);
	request_by(r, CONN, 2, NULL);
	/* add members until one ranks before e1 */
	for (i = 2; i < 20; i++) {
		g_snprintf(id, sizeof(id), "e%d", i);
		merge_member(r, id, 1, false);
		brokers_tick(r->brokers);
		if (strcmp(r->store->shard[0].broker, "e1") != 0)
			break;
	}
	other = r->store->shard[0].broker;
	g_assert_cmpstr(other, ==, id);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_NOT_OWNER);
	request_by(r, CONN, 3, NULL);
	g_assert_cmpint(last_outcome(r, 3), ==, SLOT_NOT_OWNER);
	/* that one didn't answer: e1 stands in, once it has a load report */
	request_by(r, CONN, 4, id);
	if (last_outcome(r, 4) == SLOT_QUEUED)
		report_load(r, "w0", true, 1, 0);
	g_assert_cmpint(last_outcome(r, 4), ==, SLOT_GRANTED);
	/* it closes the shard when there are no more requests */
	advance(r, 6000);
	advance(r, 1000);
	request_by(r, CONN, 5, NULL);
	g_assert_cmpint(last_outcome(r, 5), ==, SLOT_NOT_OWNER);
	fixture_free(r);
}

static void
leaving_rejects_requests(void)
{
	fixture_t *r = fixture_new(1);

	report_load(r, "w0", true, 1, 0);
	request_by(r, CONN, 1, NULL);
	request_by(r, CONN, 2, NULL);
	brokers_leave(r->brokers);
	g_assert_cmpint(last_outcome(r, 2), ==, SLOT_LEAVING);
	request_by(r, CONN, 3, NULL);
	g_assert_cmpint(last_outcome(r, 3), ==, SLOT_LEAVING);
	release_slot(r, 1);
	fixture_free(r);
}

/*
 * A broker's digest replaces its predecessor's, even if the predecessor's
 * clock, from which the term comes, is an hour ahead.
 */
static void
term_exceeds_predecessor(void)
{
	fixture_t *r = fixture_new(1);
	Wire__Digest d = WIRE__DIGEST__INIT;
	const digest_t *k;

	d.service = "llm";
	d.domain = "d0";
	d.broker = "e9";
	d.term = (uint64_t)clock_wall() + 3600000;
	d.seq = 50;
	store_merge_digest(r->store, &d);
	report_load(r, "w0", true, 4, 1);
	request_by(r, CONN, 1, NULL);
	advance(r, 200);
	k = store_find_digest(r->store, &r->store->shard[0]);
	g_assert_cmpstr(k->d->broker, ==, "e1");
	g_assert_cmpuint(k->d->worker[0]->free, ==, 2);
	g_assert_cmpstr(k->d->worker[0]->resident[0]->model, ==, "m");
	g_assert_cmpuint(k->d->demand[0]->requests, ==, 1);
	fixture_free(r);
}

static void
partial_digests_keep_residents(void)
{
	fixture_t *r = fixture_new(1);
	Wire__Digest d = WIRE__DIGEST__INIT;
	Wire__WorkerLoad load = WIRE__WORKER_LOAD__INIT, *row = &load;
	const digest_t *k;
	msg_t *held;

	report_load(r, "w0", true, 4, 0);
	advance(r, 200);
	k = store_find_digest(r->store, &r->store->shard[0]);
	held = msg_ref(k->msg);
	d = *k->d;
	load.free = 1;
	d.worker = &row;
	d.partial = true;
	d.seq++;
	store_merge_digest(r->store, &d);
	k = store_find_digest(r->store, &r->store->shard[0]);
	g_assert_cmpuint(k->d->worker[0]->free, ==, 1);
	g_assert_cmpuint(k->d->worker[0]->n_resident, ==, 1);
	g_assert_cmpstr(k->d->worker[0]->worker, ==, "w0");
	/* a different hash of residents: ignored */
	d.seq++;
	d.residents_hash++;
	load.free = 3;
	store_merge_digest(r->store, &d);
	k = store_find_digest(r->store, &r->store->shard[0]);
	g_assert_cmpuint(k->d->worker[0]->free, ==, 1);
	/* a different term, whose residents aren't known: ignored */
	d.term++;
	load.free = 3;
	store_merge_digest(r->store, &d);
	k = store_find_digest(r->store, &r->store->shard[0]);
	g_assert_cmpuint(k->d->worker[0]->free, ==, 1);
	msg_unref(held);
	fixture_free(r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_level(LOG_WARNING);
	g_test_add_func(
	    "/broker/no-grant-before-a-report", no_grant_before_a_report);
	g_test_add_func("/broker/silent-worker", silent_worker_delays_briefly);
	g_test_add_func(
	    "/broker/closed-connection", closed_connection_cancels_requests);
	g_test_add_func("/broker/cancel", cancelled_requests_get_no_slot);
	g_test_add_func("/broker/grants-expire", grants_expire);
	g_test_add_func("/broker/broker-changes", broker_changes);
	g_test_add_func("/broker/leaving", leaving_rejects_requests);
	g_test_add_func("/broker/term", term_exceeds_predecessor);
	g_test_add_func(
	    "/broker/partial-digests", partial_digests_keep_residents);
	return g_test_run();
}
