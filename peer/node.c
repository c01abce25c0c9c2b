#include "peer/node.h"

#include <stdlib.h>
#include <string.h>

enum {
	RING_SLOTS = 4096,
	PENDING_CLAIMS_MAX = 65536,
	PURGE_MS = 10000,
	POLL_MAX_MS = 50, /* between checks of other threads' flags */
};

typedef enum cmd_kind {
	CMD_CATALOGUE,
	CMD_INSTANCES,
	CMD_NOTE,
	CMD_CLAIMED,
} cmd_kind_t;

typedef struct cmd {
	cmd_kind_t kind;
	catalogue_t *catalogue;
	instances_t instances;
	uint64_t number; /* NOTE: base, CLAIMED: tag */
	char *text;
	size_t len;
	claim_answer_t claim;
} cmd_t;

/* A claim request that the claims thread works on. */
typedef struct pending_claim {
	handle_t conn;
	uint64_t call;
	claim_request_t req;
} pending_claim_t;

static void
cmd_free(cmd_t *c)
{
	if (c->catalogue != NULL)
		catalogue_unref(c->catalogue);
	free(c->instances.item);
	free(c->text);
	free(c->claim.reply);
	free(c);
}

/* Takes ownership of @p c. */
static void
post_cmd(node_t *n, cmd_t *c)
{
	if (ring_push(n->commands, c))
		return;
	log_event(LOG_WARNING, "node_ring_full", "kind=%d", c->kind);
	cmd_free(c);
}

void
node_set_catalogue(node_t *n, catalogue_t *c)
{
	cmd_t *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = CMD_CATALOGUE;
	cmd->catalogue = catalogue_ref(c);
	post_cmd(n, cmd);
}

void
node_set_instances(node_t *n, const instances_t *l)
{
	cmd_t *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = CMD_INSTANCES;
	cmd->instances.n = l->n;
	cmd->instances.item = calloc(l->n + 1, sizeof(instance_t));
	memcpy(cmd->instances.item, l->item, l->n * sizeof(instance_t));
	post_cmd(n, cmd);
}

void
node_set_note(node_t *n, uint64_t base, const char *text, size_t len)
{
	cmd_t *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = CMD_NOTE;
	cmd->number = base;
	cmd->text = malloc(len + 1);
	memcpy(cmd->text, text, len);
	cmd->len = len;
	post_cmd(n, cmd);
}

void
node_claim_done(void *user, uint64_t tag, const claim_answer_t *a)
{
	cmd_t *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = CMD_CLAIMED;
	cmd->number = tag;
	cmd->claim = *a; /* takes over the reply */
	post_cmd(user, cmd);
}

void
node_set_claims(node_t *n, claims_t *c)
{
	pthread_mutex_lock(&n->lock);
	n->claims = c;
	pthread_mutex_unlock(&n->lock);
}

view_t *
node_view(node_t *n)
{
	view_t *v;

	pthread_mutex_lock(&n->lock);
	v = view_ref(n->view);
	pthread_mutex_unlock(&n->lock);
	return v;
}

bool
node_is_root(node_t *n)
{
	return __atomic_load_n(&n->is_root, __ATOMIC_RELAXED);
}

bool
node_ready(node_t *n)
{
	return __atomic_load_n(&n->ready, __ATOMIC_RELAXED);
}

int
node_entry_conns(node_t *n)
{
	return __atomic_load_n(&n->entry_conns, __ATOMIC_RELAXED);
}

void
node_leave(node_t *n)
{
	__atomic_store_n(&n->leave, true, __ATOMIC_RELAXED);
}

/* Answers to entryds */

static void
send_answer(conn_t *c, uint64_t call, Wire__Frame *f)
{
	f->version = WIRE_VERSION;
	f->call = call;
	conn_send(c, f);
}

static bool
on_slot_answer(
    void *user, handle_t conn, uint64_t call, const Wire__SlotAnswer *a)
{
	node_t *n = user;
	conn_t *c = net_find(n->net, conn);
	Wire__Frame f = WIRE__FRAME__INIT;

	if (c == NULL)
		return false;
	f.body_case = WIRE__FRAME__BODY_SLOT_ANSWER;
	f.slot_answer = (Wire__SlotAnswer *)a;
	send_answer(c, call, &f);
	return true;
}

static bool
send_claim_answer(
    node_t *n, handle_t conn, uint64_t call, const claim_answer_t *a)
{
	conn_t *c = net_find(n->net, conn);
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__ClaimAnswer w = WIRE__CLAIM_ANSWER__INIT;

	if (c == NULL)
		return false;
	w.outcome = a->outcome;
	w.status = (uint32_t)a->status;
	w.reply.data = (uint8_t *)a->reply;
	w.reply.len = a->reply == NULL ? 0 : a->len;
	w.retry_after_ms = (uint32_t)a->retry_after;
	w.first_request = (char *)a->first_request;
	w.type = (char *)a->type;
	f.body_case = WIRE__FRAME__BODY_CLAIM_ANSWER;
	f.claim_answer = &w;
	send_answer(c, call, &f);
	return true;
}

static claims_t *
get_claims(node_t *n)
{
	claims_t *c;

	pthread_mutex_lock(&n->lock);
	c = n->claims;
	pthread_mutex_unlock(&n->lock);
	return c;
}

/* Release a claim whose answer can't be delivered: nobody runs its call. */
static void
release_claim(node_t *n, const claim_request_t *req, const claim_answer_t *a)
{
	claim_settle_t s = { .outcome = CALL_REFUSED };
	claims_t *claims = get_claims(n);

	if (a->outcome != CLAIM_FRESH || a->attempt_id[0] == '\0' ||
	    claims == NULL)
		return;
	str_set(s.key, sizeof(s.key), req->key);
	str_set(s.service, sizeof(s.service), req->service);
	str_set(s.request, sizeof(s.request), req->request);
	str_set(s.attempt_id, sizeof(s.attempt_id), a->attempt_id);
	claims_settle(claims, 0, &s);
}

/* Whether the entry has given up waiting for a grant. */
static bool
grant_too_late(
    const node_t *n, const pending_claim_t *k, const claim_answer_t *a)
{
	return a->outcome == CLAIM_FRESH && k->req.sent_after != 0 &&
	       n->now - k->req.sent_after > claims_wait(n->settings);
}

static void
handle_claim_request(
    node_t *n, conn_t *c, uint64_t call, const Wire__ClaimRequest *w)
{
	claim_answer_t down = { .outcome = CLAIM_DOWN };
	claims_t *claims = get_claims(n);
	/* Unread for as long as this process stood still. */
	claim_request_t req = { .body_hash = w->body_hash,
		.sent_after = c->arrived_after };
	pending_claim_t *k;
	handle_t h = 0;

	/* A truncated key could be that of another call. */
	if (claims != NULL && str_copy(req.key, sizeof(req.key), w->key) &&
	    str_copy(req.service, ID_MAX, w->service) &&
	    str_copy(req.request, ID_MAX, w->request))
		h = table_add(n->pending_claims);
	if (h != 0) {
		k = table_get(n->pending_claims, h);
		k->conn = c->handle;
		k->call = call;
		k->req = req;
		if (claims_request(claims, h, &req))
			return;
		table_del(n->pending_claims, h);
	}
	send_claim_answer(n, c->handle, call, &down);
}

static void
handle_claim_settle(
    node_t *n, conn_t *c, uint64_t call, const Wire__ClaimSettle *w)
{
	claims_t *claims = get_claims(n);
	claim_settle_t s = { .outcome = w->outcome, .status = (int)w->status };
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__ClaimSettled settled = WIRE__CLAIM_SETTLED__INIT;

	if (claims != NULL && str_copy(s.key, sizeof(s.key), w->key) &&
	    str_copy(s.service, ID_MAX, w->service) &&
	    str_copy(s.request, ID_MAX, w->request)) {
		str_set(s.type, sizeof(s.type), w->type);
		s.len = w->reply.len;
		s.reply = malloc(s.len + 1);
		memcpy(s.reply, w->reply.data, s.len);
		settled.accepted = claims_settle(claims, 0, &s);
		if (!settled.accepted)
			free(s.reply);
	}
	f.body_case = WIRE__FRAME__BODY_CLAIM_SETTLED;
	f.claim_settled = &settled;
	send_answer(c, call, &f);
}

/* Frames */

static bool
on_frame(void *user, conn_t *c, Wire__Frame *f)
{
	node_t *n = user;

	n->now = clock_now(n->clock);
	n->store->from = c->handle;
	if (c->role == CONN_UNIDENTIFIED &&
	    f->body_case != WIRE__FRAME__BODY_HELLO) {
		conn_close(c, "no_hello");
		n->store->from = 0;
		return false;
	}
	switch (f->body_case) {
	case WIRE__FRAME__BODY_HELLO:
		member_handle_hello(n, c, f->hello);
		break;
	case WIRE__FRAME__BODY_HEARTBEAT:
		member_handle_heartbeat(n, c, f->heartbeat);
		break;
	case WIRE__FRAME__BODY_LEAVING:
		member_handle_leaving(n, f->leaving);
		break;
	case WIRE__FRAME__BODY_VIEW:
		if (c->role == CONN_NODE) {
			catalogue_handle_number(n, c, f->view->catalogue);
			relay_merge_view(n, f->view);
		}
		break;
	case WIRE__FRAME__BODY_CATALOGUE_REQUEST:
		catalogue_handle_request(n, c, f->catalogue_request);
		break;
	case WIRE__FRAME__BODY_CATALOGUE:
		if (c->role == CONN_NODE)
			catalogue_handle(n, c, f->catalogue);
		break;
	case WIRE__FRAME__BODY_SLOT_REQUEST:
		brokers_request(
		    n->brokers, c->handle, f->call, f->slot_request);
		break;
	case WIRE__FRAME__BODY_SLOT_RELEASE:
		brokers_release(n->brokers, f->slot_release);
		break;
	case WIRE__FRAME__BODY_SLOT_CANCEL:
		brokers_cancel(n->brokers, c->handle, f->slot_cancel->request);
		break;
	case WIRE__FRAME__BODY_CLAIM_REQUEST:
		handle_claim_request(n, c, f->call, f->claim_request);
		break;
	case WIRE__FRAME__BODY_CLAIM_SETTLE:
		handle_claim_settle(n, c, f->call, f->claim_settle);
		break;
	default:
		/* An unexpected answer, or a message of a later version. */
		break;
	}
	n->store->from = 0;
	return false;
}

static void
on_open(void *user, conn_t *c)
{
	node_t *n = user;

	n->now = clock_now(n->clock);
	member_conn_opened(n, c);
}

static void
on_close(void *user, conn_t *c)
{
	member_conn_closed(user, c);
}

/* Commands of other threads */

static void
run_cmd(node_t *n, cmd_t *c)
{
	pending_claim_t *k;

	switch (c->kind) {
	case CMD_CATALOGUE:
		n->catalogue_confirmed = true;
		catalogue_install(n, c->catalogue);
		c->catalogue = NULL;
		break;
	case CMD_INSTANCES:
		store_apply_list(n->store, &c->instances);
		break;
	case CMD_NOTE:
		catalogue_set_note(n, c->number, c->text, c->len);
		break;
	case CMD_CLAIMED:
		k = table_get(n->pending_claims, c->number);
		if (k == NULL)
			break;
		if (grant_too_late(n, k, &c->claim) ||
		    !send_claim_answer(n, k->conn, k->call, &c->claim))
			release_claim(n, &k->req, &c->claim);
		table_del(n->pending_claims, c->number);
		break;
	}
	cmd_free(c);
}

static void
audit_membership(node_t *n, const char *what)
{
	audit_record_t r = { .at = clock_wall(),
		.number = n->self.incarnation };

	if (n->audit == NULL)
		return;
	str_set(r.who, sizeof(r.who), n->self.id);
	str_set(r.kind, sizeof(r.kind), "membership");
	str_set(r.subject, sizeof(r.subject), n->self.id);
	str_set(r.what, sizeof(r.what), what);
	str_set(r.result, sizeof(r.result), "done");
	audit_add(n->audit, &r);
}

static void
start_leaving(node_t *n)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__Leaving l = WIRE__LEAVING__INIT;
	conn_t *c;

	log_event(
	    LOG_INFO, "leaving", "incarnation=%" PRIu64, n->self.incarnation);
	audit_membership(n, "leaving");
	n->self.leaving = true;
	brokers_leave(n->brokers);
	l.id = n->self.id;
	l.incarnation = n->self.incarnation;
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_LEAVING;
	f.leaving = &l;
	for (c = net_first(n->net); c != NULL; c = c->next)
		if (c->role == CONN_NODE && c->state == CONN_OPEN)
			conn_send(c, &f);
	n->announce = true;
}

static void
drain_rings(node_t *n)
{
	member_t *self = store_find_member(n->store, n->self.id);
	load_report_t *r;
	cmd_t *c;

	while ((c = ring_pop(n->commands)) != NULL)
		run_cmd(n, c);
	while ((r = ring_pop(n->reports)) != NULL)
		brokers_report(n->brokers, r);
	if (!n->self.leaving && (__atomic_load_n(&n->leave, __ATOMIC_RELAXED) ||
				    member_leaving(self)))
		start_leaving(n);
}

/* After a pause longer than peer.dead_ms the others take us for gone. */
static void
check_clock(node_t *n)
{
	ms_t now = clock_now(n->clock), pause = now - n->now;

	n->now = now;
	if (pause <= n->settings->peer.dead_ms)
		return;
	log_event(LOG_WARNING, "woken", "paused_ms=%" PRId64, pause);
	brokers_reset(n->brokers);
	member_rejoin(n);
	audit_membership(n, "rejoined after a pause");
}

static void
update_poll_targets(node_t *n)
{
	load_target_t *t;
	int nt = brokers_poll_targets(n->brokers, &t);

	if (nt == -1)
		return;
	load_poller_set(n->loads, t, nt);
	free(t);
}

static void
publish_view(node_t *n)
{
	ms_t began = clock_thread(), interval;
	view_t *v = store_make_view(n->store, n->catalogue), *old;

	n->publish_pending = false;
	n->published_change = n->store->change;
	pthread_mutex_lock(&n->lock);
	old = n->view;
	n->view = v;
	pthread_mutex_unlock(&n->lock);
	view_unref(old);
	interval = view_interval(clock_thread() - began);
	if (interval < n->settings->peer.view_ms)
		interval = n->settings->peer.view_ms;
	n->publish_at = n->now + interval;
}

static void
publish(node_t *n)
{
	bool ready = n->catalogue_confirmed && n->store->workers_known &&
		     n->catalogue->number >= n->ready_catalogue;

	if (n->now >= n->publish_at &&
	    (n->publish_pending || n->published_change != n->store->change))
		publish_view(n);
	/* Become ready only once the published view has the catalogue. */
	if (!ready || !n->publish_pending)
		__atomic_store_n(&n->ready, ready, __ATOMIC_RELAXED);
}

static ms_t
poll_timeout(node_t *n)
{
	ms_t due = n->heartbeat_at, at = relay_due(n);

	if (at < due)
		due = at;
	at = brokers_due(n->brokers);
	if (at < due)
		due = at;
	if (n->published_change != n->store->change && n->publish_at < due)
		due = n->publish_at;
	if (due > n->now + POLL_MAX_MS)
		due = n->now + POLL_MAX_MS;
	return due > n->now ? due - n->now : 0;
}

static void *
run(void *arg)
{
	node_t *n = arg;

	while (!__atomic_load_n(&n->stop, __ATOMIC_RELAXED)) {
		check_clock(n);
		drain_rings(n);
		member_tick(n);
		catalogue_tick(n);
		brokers_tick(n->brokers);
		update_poll_targets(n);
		relay_tick(n);
		publish(n);
		if (n->now >= n->purge_at) {
			n->purge_at = n->now + PURGE_MS;
			store_purge(n->store);
		}
		net_poll(n->net, poll_timeout(n));
	}
	return NULL;
}

/* Creation and release */

static void
set_self(node_t *n)
{
	const settings_t *s = n->settings;

	wire__member__init(&n->self);
	n->self.id = (char *)s->instance.id;
	n->self.domain = (char *)s->instance.domain;
	n->self.incarnation = clock_wall();
	n->self.caller_addr = (char *)s->instance.caller_addr;
	n->self.peer_addr = (char *)s->instance.peer_addr;
	n->self.operator_addr = (char *)s->instance.operator_addr;
	n->self.seq = 1;
	store_merge_member(n->store, &n->self);
}

static int
open_parts(node_t *n, err_t *e)
{
	net_opts_t no = { .clock = n->clock,
		.frame_max = (size_t)n->settings->peer.frame_max,
		.listen = n->settings->instance.peer_addr,
		.on_open = on_open,
		.on_frame = on_frame,
		.on_close = on_close,
		.user = n };
	brokers_opts_t bo = { .settings = n->settings,
		.clock = n->clock,
		.store = n->store,
		.self = n->settings->instance.id,
		.answer = on_slot_answer,
		.user = n };

	n->commands = ring_new(RING_SLOTS);
	n->reports = ring_new(RING_SLOTS);
	n->pending_claims =
	    table_new(sizeof(pending_claim_t), PENDING_CLAIMS_MAX);
	if (n->commands == NULL || n->reports == NULL ||
	    n->pending_claims == NULL)
		return err_set(e, ERR_INTERNAL, "out of memory or descriptors");
	n->net = net_new(&no, e);
	if (n->net == NULL)
		return -1;
	n->loads = load_poller_new(n->settings, n->reports, e);
	if (n->loads == NULL)
		return -1;
	n->brokers = brokers_new(&bo);
	if (net_watch(n->net, ring_fd(n->commands)) == -1 ||
	    net_watch(n->net, ring_fd(n->reports)) == -1)
		return err_set(e, ERR_INTERNAL, "epoll: %m");
	return 0;
}

node_t *
node_new(const node_opts_t *o, err_t *e)
{
	node_t *n = calloc(1, sizeof(*n));

	n->settings = o->settings;
	n->clock = o->clock;
	n->audit = o->audit;
	n->claims = o->claims;
	n->now = clock_now(n->clock);
	n->rng.s = hash_str(n->settings->instance.id, (uint64_t)clock_wall());
	pthread_mutex_init(&n->lock, NULL);
	n->catalogue = catalogue_new();
	n->store = store_new(n->clock, (int)n->settings->broker.shard_workers);
	n->domain_heard_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	set_self(n);
	n->view = store_make_view(n->store, n->catalogue);
	if (open_parts(n, e) == -1) {
		node_free(n);
		return NULL;
	}
	if (pthread_create(&n->thread, NULL, run, n) != 0) {
		err_set(e, ERR_INTERNAL, "cannot start the node's thread");
		node_free(n);
		return NULL;
	}
	n->started = true;
	return n;
}

static void
free_rings(node_t *n)
{
	load_report_t *r;
	cmd_t *c;

	while (n->commands != NULL && (c = ring_pop(n->commands)) != NULL)
		cmd_free(c);
	while (n->reports != NULL && (r = ring_pop(n->reports)) != NULL)
		load_report_free(r);
	ring_free(n->commands);
	ring_free(n->reports);
}

void
node_free(node_t *n)
{
	if (n == NULL)
		return;
	if (n->started) {
		__atomic_store_n(&n->stop, true, __ATOMIC_RELAXED);
		pthread_join(n->thread, NULL);
	}
	load_poller_free(n->loads);
	net_free(n->net);
	free_rings(n);
	brokers_free(n->brokers);
	table_free(n->pending_claims);
	store_free(n->store);
	view_unref(n->view);
	catalogue_unref(n->catalogue);
	g_hash_table_destroy(n->domain_heard_at);
	free(n->catalogue_json);
	free(n->note);
	pthread_mutex_destroy(&n->lock);
	free(n);
}
