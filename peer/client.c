#include "peer/store.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum {
	RING_SLOTS = 16384,
	PENDING_MAX = 65536,
	TICK_MS = 10,
	PURGE_MS = 10000,
	OWN_RETRY_MS = 500, /* between dials of the own controld */
};

typedef enum cmd_kind {
	CMD_REQUEST, /* any message that has an answer */
	CMD_RELEASE,
	CMD_CANCEL,
	CMD_LOAD,
} cmd_kind_t;

typedef struct cmd {
	cmd_kind_t kind;
	answer_kind_t answer;
	uint64_t tag;
	char to[ID_MAX];
	char request[ID_MAX];
	ms_t wait;
	Wire__Frame__BodyCase body;
	msg_t *msg;
	uint32_t load;
	bool leaving;
} cmd_t;

/* A request without an answer yet; its handle is the frame's call. */
typedef struct pending {
	answer_kind_t kind;
	uint64_t tag;
	conn_t *conn;
	char request[ID_MAX];
	ms_t deadline;	   /* of the answer */
	ms_t ack_deadline; /* of a broker's first frame, 0: it has come */
} pending_t;

struct client {
	const settings_t *settings;
	ring_t *answers;
	GQueue *overflow; /* answers for which the ring had no room */
	pthread_t thread;
	bool started;
	ring_t *commands;
	net_t *net;
	store_t *store;
	GHashTable *conns;   /* member id -> conn_t */
	conn_t *view_source; /* the controld that sends views */
	ms_t own_dialled_at; /* last dial of the own controld */
	ms_t now, purge_at, catalogue_requested_at, publish_at;
	bool publish_pending;
	table_t *pending;
	catalogue_t *catalogue;
	uint32_t load;
	bool leaving;
	bool load_sent;
	uint64_t sent_catalogue;      /* number last reported */
	uint64_t published_catalogue; /* number in the published view */
	rng_t rng;

	pthread_mutex_t lock;
	view_t *view; /* guarded by lock */
	bool stop;    /* atomic */
};

/* Commands, from any thread */

static bool
post_cmd(client_t *c, cmd_t *cmd)
{
	if (ring_push(c->commands, cmd))
		return true;
	msg_unref(cmd->msg);
	free(cmd);
	return false;
}

static cmd_t *
cmd_new(cmd_kind_t kind, const char *to)
{
	cmd_t *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = kind;
	str_set(cmd->to, sizeof(cmd->to), to);
	return cmd;
}

bool
client_request_slot(client_t *c, uint64_t tag, const char *to,
    const Wire__SlotRequest *req, ms_t wait)
{
	cmd_t *cmd = cmd_new(CMD_REQUEST, to);

	cmd->answer = ANSWER_SLOT;
	cmd->tag = tag;
	cmd->wait = wait;
	str_set(cmd->request, sizeof(cmd->request), req->request);
	cmd->body = WIRE__FRAME__BODY_SLOT_REQUEST;
	cmd->msg = msg_copy(req);
	return post_cmd(c, cmd);
}

bool
client_request_claim(client_t *c, uint64_t tag, const char *to,
    const Wire__ClaimRequest *req, ms_t wait)
{
	cmd_t *cmd = cmd_new(CMD_REQUEST, to);

	cmd->answer = ANSWER_CLAIM;
	cmd->tag = tag;
	cmd->wait = wait;
	cmd->body = WIRE__FRAME__BODY_CLAIM_REQUEST;
	cmd->msg = msg_copy(req);
	return post_cmd(c, cmd);
}

bool
client_settle_claim(client_t *c, uint64_t tag, const char *to,
    const Wire__ClaimSettle *s, ms_t wait)
{
	cmd_t *cmd = cmd_new(CMD_REQUEST, to);

	cmd->answer = ANSWER_SETTLED;
	cmd->tag = tag;
	cmd->wait = wait;
	cmd->body = WIRE__FRAME__BODY_CLAIM_SETTLE;
	cmd->msg = msg_copy(s);
	return post_cmd(c, cmd);
}

void
client_release_slot(client_t *c, const char *to, const Wire__SlotRelease *r)
{
	cmd_t *cmd = cmd_new(CMD_RELEASE, to);

	cmd->body = WIRE__FRAME__BODY_SLOT_RELEASE;
	cmd->msg = msg_copy(r);
	/* The worker's load reports make up for a lost release. */
	post_cmd(c, cmd);
}

void
client_cancel_slot_request(client_t *c, const char *to, const char *request)
{
	cmd_t *cmd = cmd_new(CMD_CANCEL, to);

	str_set(cmd->request, sizeof(cmd->request), request);
	post_cmd(c, cmd);
}

void
client_report_load(client_t *c, uint32_t calls, bool leaving)
{
	cmd_t *cmd = cmd_new(CMD_LOAD, "");

	cmd->load = calls;
	cmd->leaving = leaving;
	post_cmd(c, cmd);
}

view_t *
client_view(client_t *c)
{
	view_t *v;

	pthread_mutex_lock(&c->lock);
	v = view_ref(c->view);
	pthread_mutex_unlock(&c->lock);
	return v;
}

void
answer_free(answer_t *a)
{
	if (a->frame != NULL)
		wire__frame__free_unpacked(a->frame, NULL);
	free(a);
}

/* Answers */

static void
deliver(
    client_t *c, answer_kind_t kind, uint64_t tag, bool down, Wire__Frame *f)
{
	answer_t *a = calloc(1, sizeof(*a));

	a->kind = kind;
	a->tag = tag;
	a->down = down;
	a->frame = f;
	if (g_queue_is_empty(c->overflow) && ring_push(c->answers, a))
		return;
	/* client_view() works without this notice. */
	if (kind == ANSWER_VIEW)
		answer_free(a);
	else
		g_queue_push_tail(c->overflow, a);
}

static void
deliver_overflow(client_t *c)
{
	answer_t *a;

	while ((a = g_queue_peek_head(c->overflow)) != NULL &&
	       ring_push(c->answers, a))
		g_queue_pop_head(c->overflow);
}

static void
deliver_down(client_t *c, handle_t h)
{
	pending_t p = *(pending_t *)table_get(c->pending, h);

	table_del(c->pending, h);
	deliver(c, p.kind, p.tag, true, NULL);
}

/* Connections */

static void
send_body(
    conn_t *conn, uint64_t call, Wire__Frame__BodyCase body, const void *msg)
{
	Wire__Frame f = WIRE__FRAME__INIT;

	f.version = WIRE_VERSION;
	f.call = call;
	f.body_case = body;
	/* All members of the union are pointers to a message. */
	f.hello = (Wire__Hello *)msg;
	conn_send(conn, &f);
}

static void
send_hello(client_t *c, conn_t *conn, bool views)
{
	Wire__Hello h = WIRE__HELLO__INIT;
	Wire__Member m = WIRE__MEMBER__INIT;

	m.id = (char *)c->settings->instance.id;
	h.member = &m;
	h.entry = true;
	h.want_views = views;
	conn->relay.subscribed = views;
	h.catalogue = c->published_catalogue;
	send_body(conn, 0, WIRE__FRAME__BODY_HELLO, &h);
}

/* The connection to a member, dialled now if there is none. */
static conn_t *
connect_to(client_t *c, const char *id, const char *addr)
{
	conn_t *conn = g_hash_table_lookup(c->conns, id);

	if (conn != NULL && conn->state != CONN_CLOSED)
		return conn;
	conn = net_dial(c->net, addr);
	if (conn == NULL)
		return NULL;
	conn->role = CONN_NODE;
	str_set(conn->peer, sizeof(conn->peer), id);
	g_hash_table_replace(c->conns, g_strdup(id), conn);
	send_hello(c, conn, false);
	return conn;
}

static conn_t *
conn_of(client_t *c, const char *id)
{
	member_t *r = store_find_member(c->store, id);

	if (r == NULL || !member_live(r) || *r->m->peer_addr == '\0')
		return NULL;
	return connect_to(c, id, r->m->peer_addr);
}

static void
on_close(void *user, conn_t *conn)
{
	client_t *c = user;
	handle_t h, after;

	if (g_hash_table_lookup(c->conns, conn->peer) == conn)
		g_hash_table_remove(c->conns, conn->peer);
	if (c->view_source == conn)
		c->view_source = NULL;
	for (h = table_next(c->pending, 0); h != 0; h = after) {
		const pending_t *p = table_get(c->pending, h);

		after = table_next(c->pending, h);
		if (p->conn == conn)
			deliver_down(c, h);
	}
}

static void
on_open(void *user, conn_t *conn)
{
	(void)user;
	(void)conn;
}

/* The source of views: the own controld, or another while that is down */

static void
set_view_source(client_t *c, conn_t *conn)
{
	if (c->view_source == conn)
		return;
	if (c->view_source != NULL && c->view_source->state != CONN_CLOSED)
		send_hello(c, c->view_source, false);
	c->view_source = conn;
	c->load_sent = false;
	c->sent_catalogue = 0;
	c->catalogue_requested_at = 0;
	send_hello(c, conn, true);
	log_event(LOG_INFO, "home", "controld=%s", conn->peer);
}

static bool
is_own_controld(const client_t *c, const conn_t *conn)
{
	return strcmp(conn->peer, c->settings->instance.id) == 0;
}

/* Dial a random live member, one of the own domain if possible. */
static conn_t *
dial_other_source(client_t *c)
{
	member_t *pick = NULL;
	GHashTableIter it;
	bool pick_is_own = false;
	void *value;
	int seen = 0;

	g_hash_table_iter_init(&it, c->store->member);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		member_t *r = value;
		bool own;

		if (!member_live(r) || member_leaving(r) ||
		    strcmp(r->m->id, c->settings->instance.id) == 0)
			continue;
		own = strcmp(r->m->domain, c->settings->instance.domain) == 0;
		if (own && !pick_is_own)
			seen = 0;
		if (own < pick_is_own || rng_next(&c->rng) % ++seen != 0)
			continue;
		pick = r;
		pick_is_own = own;
	}
	return pick == NULL ? NULL : conn_of(c, pick->m->id);
}

static void
check_view_source(client_t *c)
{
	conn_t *own, *conn;

	if (c->view_source != NULL && c->view_source->state != CONN_CLOSED &&
	    c->now - c->view_source->heard_at > c->settings->peer.dead_ms)
		conn_close(c->view_source, "silent");
	if (c->view_source != NULL && c->view_source->state == CONN_CLOSED)
		c->view_source = NULL;
	if (c->view_source != NULL && is_own_controld(c, c->view_source))
		return;
	own = g_hash_table_lookup(c->conns, c->settings->instance.id);
	if (own == NULL && c->now - c->own_dialled_at >= OWN_RETRY_MS) {
		c->own_dialled_at = c->now;
		own = connect_to(c, c->settings->instance.id,
		    c->settings->instance.peer_addr);
		/* A frozen process also accepts: wait for a frame. */
		if (own != NULL)
			send_hello(c, own, true);
	}
	if (own != NULL && own->state == CONN_OPEN &&
	    own->heard_at > own->opened_at)
		set_view_source(c, own);
	if (own != NULL && own->state == CONN_OPEN &&
	    c->now - own->heard_at > c->settings->peer.dead_ms)
		conn_close(own, "silent");
	if (c->view_source != NULL)
		return;
	conn = dial_other_source(c);
	if (conn != NULL)
		set_view_source(c, conn);
}

static void
send_load(client_t *c)
{
	Wire__Heartbeat h = WIRE__HEARTBEAT__INIT;
	Wire__Member m = WIRE__MEMBER__INIT;

	if (c->view_source == NULL ||
	    (c->load_sent && c->sent_catalogue == c->published_catalogue))
		return;
	m.id = (char *)c->settings->instance.id;
	m.load = c->load;
	m.leaving = c->leaving;
	h.member = &m;
	h.catalogue = c->published_catalogue;
	c->load_sent = true;
	c->sent_catalogue = c->published_catalogue;
	send_body(c->view_source, 0, WIRE__FRAME__BODY_HEARTBEAT, &h);
}

/* Frames */

static void
publish(client_t *c)
{
	ms_t began = clock_thread();
	view_t *v = store_make_view(c->store, c->catalogue), *old;

	c->publish_pending = false;
	c->published_catalogue = c->catalogue->number;
	pthread_mutex_lock(&c->lock);
	old = c->view;
	c->view = v;
	pthread_mutex_unlock(&c->lock);
	view_unref(old);
	deliver(c, ANSWER_VIEW, 0, false, NULL);
	c->publish_at = c->now + view_interval(clock_thread() - began);
}

static void
handle_view(client_t *c, conn_t *conn, const Wire__View *v)
{
	uint64_t before = c->store->change;
	Wire__CatalogueRequest req = WIRE__CATALOGUE_REQUEST__INIT;
	bool known = c->store->workers_known;
	size_t i;

	conn->relay.sent_at = c->now;
	for (i = 0; i < v->n_member; i++)
		store_merge_member(c->store, v->member[i]);
	for (i = 0; i < v->n_worker; i++)
		store_merge_worker(c->store, v->worker[i]);
	for (i = 0; i < v->n_digest; i++)
		store_merge_digest(c->store, v->digest[i]);
	c->store->workers_known |= v->workers_known;
	if (v->catalogue > c->catalogue->number &&
	    (c->catalogue_requested_at == 0 ||
		c->now - c->catalogue_requested_at >
		    c->settings->peer.dead_ms)) {
		req.have_number = c->catalogue->number;
		c->catalogue_requested_at = c->now;
		send_body(conn, 0, WIRE__FRAME__BODY_CATALOGUE_REQUEST, &req);
	}
	if (c->store->change != before || known != c->store->workers_known)
		c->publish_pending = true;
}

static void
handle_catalogue(client_t *c, conn_t *conn, const Wire__Catalogue *m)
{
	Wire__CatalogueRequest req = WIRE__CATALOGUE_REQUEST__INIT;
	char quoted[ERR_TEXT_MAX];
	catalogue_t *made;
	err_t e = { ERR_NONE, "" };

	c->catalogue_requested_at = 0;
	if (m->number <= c->catalogue->number)
		return;
	made = catalogue_from_message(c->catalogue, m, c->settings, &e);
	if (made != NULL && made->number == m->number) {
		catalogue_unref(c->catalogue);
		c->catalogue = made;
		log_event(
		    LOG_INFO, "catalogue", "number=%" PRIu64, made->number);
		publish(c);
		return;
	}
	if (made != NULL)
		catalogue_unref(made);
	log_event(LOG_WARNING, "catalogue_refused",
	    "peer=%s number=%" PRIu64 " error=%s", conn->peer, m->number,
	    log_quote(quoted, sizeof(quoted), e.text));
	if (m->note.len == 0)
		return;
	req.have_number = c->catalogue->number;
	req.full = true;
	c->catalogue_requested_at = c->now;
	send_body(conn, 0, WIRE__FRAME__BODY_CATALOGUE_REQUEST, &req);
}

/* An answer nobody waits for: release its slot at once. */
static void
release_unclaimed(conn_t *conn, const Wire__Frame *f)
{
	Wire__SlotRelease r = WIRE__SLOT_RELEASE__INIT;

	if (f->body_case != WIRE__FRAME__BODY_SLOT_ANSWER ||
	    f->slot_answer->outcome != SLOT_GRANTED)
		return;
	r.slot = f->slot_answer->slot;
	r.worker = f->slot_answer->worker;
	r.outcome = CALL_CANCELLED;
	send_body(conn, 0, WIRE__FRAME__BODY_SLOT_RELEASE, &r);
}

static bool
handle_answer(client_t *c, conn_t *conn, Wire__Frame *f)
{
	pending_t *p = table_get(c->pending, f->call), was;

	if (p == NULL || p->conn != conn) {
		release_unclaimed(conn, f);
		return false;
	}
	if (f->body_case == WIRE__FRAME__BODY_SLOT_ANSWER &&
	    f->slot_answer->outcome == SLOT_QUEUED) {
		p->ack_deadline = 0;
		return false;
	}
	was = *p;
	table_del(c->pending, f->call);
	deliver(c, was.kind, was.tag, false, f);
	return true;
}

static bool
on_frame(void *user, conn_t *conn, Wire__Frame *f)
{
	client_t *c = user;

	switch (f->body_case) {
	case WIRE__FRAME__BODY_VIEW:
		handle_view(c, conn, f->view);
		return false;
	case WIRE__FRAME__BODY_CATALOGUE:
		handle_catalogue(c, conn, f->catalogue);
		return false;
	case WIRE__FRAME__BODY_SLOT_ANSWER:
	case WIRE__FRAME__BODY_CLAIM_ANSWER:
	case WIRE__FRAME__BODY_CLAIM_SETTLED:
		return handle_answer(c, conn, f);
	default:
		return false;
	}
}

/* Commands */

static void
run_request(client_t *c, const cmd_t *cmd)
{
	conn_t *conn = conn_of(c, cmd->to);
	handle_t h = conn == NULL ? 0 : table_add(c->pending);
	pending_t *p;

	if (h == 0) {
		deliver(c, cmd->answer, cmd->tag, true, NULL);
		return;
	}
	p = table_get(c->pending, h);
	p->kind = cmd->answer;
	p->tag = cmd->tag;
	p->conn = conn;
	p->deadline = c->now + cmd->wait;
	if (cmd->answer == ANSWER_SLOT)
		p->ack_deadline = c->now + c->settings->peer.ask_ms;
	str_set(p->request, sizeof(p->request), cmd->request);
	send_body(conn, h, cmd->body, cmd->msg->m);
}

static void
send_cancel(conn_t *conn, const char *request)
{
	Wire__SlotCancel m = WIRE__SLOT_CANCEL__INIT;

	m.request = (char *)request;
	send_body(conn, 0, WIRE__FRAME__BODY_SLOT_CANCEL, &m);
}

static void
run_cancel(client_t *c, const cmd_t *cmd)
{
	conn_t *conn = g_hash_table_lookup(c->conns, cmd->to);
	handle_t h, after;

	for (h = table_next(c->pending, 0); h != 0; h = after) {
		const pending_t *p = table_get(c->pending, h);

		after = table_next(c->pending, h);
		if (p->kind == ANSWER_SLOT && p->conn == conn &&
		    strcmp(p->request, cmd->request) == 0)
			deliver_down(c, h);
	}
	if (conn != NULL)
		send_cancel(conn, cmd->request);
}

static void
run_cmd(client_t *c, cmd_t *cmd)
{
	conn_t *conn;

	switch (cmd->kind) {
	case CMD_REQUEST:
		run_request(c, cmd);
		break;
	case CMD_RELEASE:
		conn = g_hash_table_lookup(c->conns, cmd->to);
		if (conn != NULL)
			send_body(conn, 0, cmd->body, cmd->msg->m);
		break;
	case CMD_CANCEL:
		run_cancel(c, cmd);
		break;
	case CMD_LOAD:
		if (c->load != cmd->load || c->leaving != cmd->leaving)
			c->load_sent = false;
		c->load = cmd->load;
		c->leaving = cmd->leaving;
		break;
	}
	msg_unref(cmd->msg);
	free(cmd);
}

static void
expire_pending(client_t *c)
{
	handle_t h, after;

	for (h = table_next(c->pending, 0); h != 0; h = after) {
		const pending_t *p = table_get(c->pending, h);

		after = table_next(c->pending, h);
		if (c->now < p->deadline &&
		    (p->ack_deadline == 0 || c->now < p->ack_deadline))
			continue;
		if (p->kind == ANSWER_SLOT)
			send_cancel(p->conn, p->request);
		deliver_down(c, h);
	}
}

static void *
run(void *arg)
{
	client_t *c = arg;
	cmd_t *cmd;

	while (!__atomic_load_n(&c->stop, __ATOMIC_RELAXED)) {
		c->now = clock_now(&machine_clock);
		while ((cmd = ring_pop(c->commands)) != NULL)
			run_cmd(c, cmd);
		deliver_overflow(c);
		check_view_source(c);
		send_load(c);
		if (c->now >= c->purge_at) {
			c->purge_at = c->now + PURGE_MS;
			store_purge(c->store);
		}
		net_poll(c->net, TICK_MS);
		c->now = clock_now(&machine_clock);
		expire_pending(c);
		if (c->publish_pending && c->now >= c->publish_at)
			publish(c);
	}
	return NULL;
}

static int
open_parts(client_t *c, err_t *e)
{
	net_opts_t o = { .clock = &machine_clock,
		.frame_max = (size_t)c->settings->peer.frame_max,
		.on_open = on_open,
		.on_frame = on_frame,
		.on_close = on_close,
		.user = c };

	c->commands = ring_new(RING_SLOTS);
	c->pending = table_new(sizeof(pending_t), PENDING_MAX);
	if (c->commands == NULL || c->pending == NULL)
		return err_set(e, ERR_INTERNAL, "out of memory or descriptors");
	c->net = net_new(&o, e);
	if (c->net == NULL)
		return -1;
	if (net_watch(c->net, ring_fd(c->commands)) == -1)
		return err_set(e, ERR_INTERNAL, "epoll: %m");
	if (pthread_create(&c->thread, NULL, run, c) != 0)
		return err_set(
		    e, ERR_INTERNAL, "cannot start the client's thread");
	c->started = true;
	return 0;
}

client_t *
client_new(const client_opts_t *o, err_t *e)
{
	client_t *c = calloc(1, sizeof(*c));

	c->settings = o->settings;
	c->answers = o->answers;
	c->overflow = g_queue_new();
	c->now = clock_now(&machine_clock);
	c->own_dialled_at = c->now - OWN_RETRY_MS;
	c->rng.s = hash_str(c->settings->instance.id, (uint64_t)clock_wall());
	pthread_mutex_init(&c->lock, NULL);
	c->catalogue = catalogue_new();
	c->store =
	    store_new(&machine_clock, (int)c->settings->broker.shard_workers);
	c->conns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->view = store_make_view(c->store, c->catalogue);
	if (open_parts(c, e) == -1) {
		client_free(c);
		return NULL;
	}
	return c;
}

void
client_free(client_t *c)
{
	cmd_t *cmd;
	answer_t *a;

	if (c == NULL)
		return;
	if (c->started) {
		__atomic_store_n(&c->stop, true, __ATOMIC_RELAXED);
		pthread_join(c->thread, NULL);
	}
	while (c->commands != NULL && (cmd = ring_pop(c->commands)) != NULL) {
		msg_unref(cmd->msg);
		free(cmd);
	}
	while ((a = g_queue_pop_head(c->overflow)) != NULL)
		answer_free(a);
	g_queue_free(c->overflow);
	ring_free(c->commands);
	net_free(c->net);
	table_free(c->pending);
	g_hash_table_destroy(c->conns);
	store_free(c->store);
	view_unref(c->view);
	catalogue_unref(c->catalogue);
	pthread_mutex_destroy(&c->lock);
	free(c);
}
