/*
 * Which software version began a stream. The instance that forwards a stream's
 * first event keeps a record and, while versions are mixed, sends it to a few
 * others, which the stream's id selects. An instance that has no record asks
 * these.
 */
#include "serve/shares.h"

#include <arpa/inet.h>
#include <string.h>

enum {
	HOMES = 3,	      /* instances that get a record */
	ASKED = 5,	      /* more, as instances come and go meanwhile */
	ASK_INTERVAL_MS = 40, /* datagrams may be lost */
	ASK_TIMEOUT_MS = 160,
	HISTORY_TIMEOUT_MS = 600, /* for the lease, while it wasn't read */
	RECORD_SLACK_MS = 1000,	  /* kept beyond the caller's deadline */
	RECORDS_PER_DATAGRAM = 256,
	/* A caller may ask another instance, which may know more. */
	UNKNOWN_RETRY_MS = 100,
};

static void
count_resume(const char *how)
{
	char name[96];

	snprintf(name, sizeof(name),
	    "ebonypitch_stream_resumes_total{how=\"%s\"}", how);
	counter_add(
	    counter_get(name, "Streams taken up, by what was known."), 1);
}

static void
log_resume(const call_t *c, const char *how)
{
	count_resume(how);
	log_limited(LOG_NOTICE, "stream-bound",
	    "request=%s resumes=%s after=%" PRId64
	    " how=%s software=%016" PRIx64 " after_ms=%" PRId64,
	    c->request.id,
	    c->request.resumes[0] != '\0' ? c->request.resumes : "-",
	    c->resume_event_id, how, c->software,
	    c->s->loop.now - c->received_at);
}

/*
 * The only version that can have begun a stream, 0: unknown. An instance that
 * has lost the store and all peers may not know of a new version.
 */
static uint64_t
sole_version(const serve_t *s, uint64_t service)
{
	if (store_lost(s) && peers_alive(s) == 1)
		return 0;
	return software_sole(&s->software, service, s->loop.now);
}

static bool
peer_knows_several(const serve_t *s)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->several_versions &&
		    peer_alive(s, s->peers.peer[i]))
			return true;
	return false;
}

bool
streams_several_versions(const serve_t *s)
{
	const software_t *v = &s->software;
	int i;

	for (i = 0; i < v->nseen; i++)
		if (software_several(v, v->seen[i].service))
			return true;
	return false;
}

typedef enum peer_use {
	PEERS_TO_KEEP, /* those that a record is sent to */
	PEERS_TO_ASK,
} peer_use_t;

static bool
peer_usable(const serve_t *s, const peer_t *p, peer_use_t use)
{
	switch (use) {
	case PEERS_TO_KEEP:
		return peer_alive(s, p) && !p->leaving;
	case PEERS_TO_ASK:
		/* After a start, peers that weren't heard yet may know it. */
		return !p->goodbye &&
		       (p->last_heard_at == 0 || peer_alive(s, p));
	}
	return false;
}

/* Selects peers by rendezvous hashing of the stream's id. */
static int
select_peers(
    const serve_t *s, uint64_t id, peer_use_t use, peer_t **to, int most)
{
	uint64_t weight[ASKED], w;
	int i, k, n = 0;

	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];

		if (!peer_usable(s, p, use))
			continue;
		w = hash64(&id, sizeof(id), p->hash);
		if (n == most && w <= weight[n - 1])
			continue;
		if (n < most)
			n++;
		for (k = n - 1; k > 0 && weight[k - 1] < w; k--) {
			weight[k] = weight[k - 1];
			to[k] = to[k - 1];
		}
		weight[k] = w;
		to[k] = p;
	}
	return n;
}

/* Messages. */

typedef struct message {
	Digest__StreamVersions m;
	uint64_t began[RECORDS_PER_DATAGRAM], software[RECORDS_PER_DATAGRAM];
	uint32_t left[RECORDS_PER_DATAGRAM];
	uint64_t unknown[RECORDS_PER_DATAGRAM], sole[RECORDS_PER_DATAGRAM];
	protobuf_c_boolean several[RECORDS_PER_DATAGRAM];
} message_t;

static void
message_init(message_t *t)
{
	digest__stream_versions__init(&t->m);
	t->m.began = t->began;
	t->m.software = t->software;
	t->m.left_ms = t->left;
	t->m.unknown = t->unknown;
	t->m.sole = t->sole;
	t->m.several = t->several;
}

static void
message_add_record(message_t *t, uint64_t id, uint64_t software, ms_t left)
{
	size_t n = t->m.n_began;

	if (n == RECORDS_PER_DATAGRAM)
		return;
	t->began[n] = id;
	t->software[n] = software;
	t->left[n] = left > 0 ? (uint32_t)left : 0;
	t->m.n_began = t->m.n_software = t->m.n_left_ms = n + 1;
}

static void
message_add_unknown(message_t *t, uint64_t id, uint64_t sole, bool several)
{
	size_t n = t->m.n_unknown;

	if (n == RECORDS_PER_DATAGRAM)
		return;
	t->unknown[n] = id;
	t->sole[n] = sole;
	t->several[n] = several;
	t->m.n_unknown = t->m.n_sole = t->m.n_several = n + 1;
}

static void
message_send(
    serve_t *s, Digest__StreamVersions *m, const struct sockaddr_in *to)
{
	static uint8_t bytes[DATAGRAM_MAX];
	Digest__Digest d = DIGEST__DIGEST__INIT;

	d.streams = m;
	if (digest__digest__get_packed_size(&d) <= sizeof(bytes))
		send_datagram(s, to, bytes, digest__digest__pack(&d, bytes));
}

/* Records. */

static void
queue_record(serve_t *s, uint64_t id, uint64_t software, ms_t expires_at)
{
	stream_record_t r = { id, software, expires_at };

	g_array_append_val(s->unsent_streams, r);
}

static ms_t
record_expiry(const call_t *c)
{
	ms_t life = c->request.remaining >= 0 ? c->request.remaining
					      : c->deadline - c->received_at;

	if (life > STREAM_LIFE_MS)
		life = STREAM_LIFE_MS;
	return c->received_at + life + RECORD_SLACK_MS;
}

void
stream_began(call_t *c)
{
	serve_t *s = c->s;
	uint64_t service = hash_str(c->service, 0);

	if (!c->route.resumable)
		return;
	if (c->software == 0)
		c->software = c->ep->kind == EP_DIRECT ? c->ep->software
						       : c->through.software;
	if (c->software == 0)
		return;
	stream_table_put(
	    &s->streams, c->stream_id, c->software, record_expiry(c));
	if (sole_version(s, service) != 0 && !peer_knows_several(s))
		return;
	/* Sent before the event, so that no caller knows more than the homes.
	 */
	queue_record(s, c->stream_id, c->software, record_expiry(c));
	streams_flush(s);
}

/* Sends to one peer all queued records that it is to keep. */
static void
send_records(serve_t *s, const peer_t *to, peer_t *const (*homes)[HOMES],
    const int *nhome, int n)
{
	static message_t t;
	int i, k;

	message_init(&t);
	for (i = 0; i < n; i++)
		for (k = 0; k < nhome[i]; k++) {
			const stream_record_t *r = &g_array_index(
			    s->unsent_streams, stream_record_t, i);

			if (homes[i][k] == to)
				message_add_record(&t, r->id, r->software,
				    r->expires_at - s->loop.now);
		}
	message_send(s, &t.m, &to->sa);
}

static bool
is_in(peer_t *const *list, int n, const peer_t *p)
{
	while (n > 0)
		if (list[--n] == p)
			return true;
	return false;
}

static void
flush_some(serve_t *s, int n)
{
	peer_t *homes[RECORDS_PER_DATAGRAM][HOMES];
	peer_t *done[RECORDS_PER_DATAGRAM * HOMES];
	int nhome[RECORDS_PER_DATAGRAM], ndone = 0, i, k;

	for (i = 0; i < n; i++)
		nhome[i] = select_peers(s,
		    g_array_index(s->unsent_streams, stream_record_t, i).id,
		    PEERS_TO_KEEP, homes[i], HOMES);
	for (i = 0; i < n; i++)
		for (k = 0; k < nhome[i]; k++) {
			if (is_in(done, ndone, homes[i][k]))
				continue;
			done[ndone++] = homes[i][k];
			send_records(s, homes[i][k],
			    (peer_t *const(*)[HOMES])homes, nhome, n);
		}
	g_array_remove_range(s->unsent_streams, 0, (guint)n);
}

void
streams_flush(serve_t *s)
{
	while (s->unsent_streams->len > 0)
		flush_some(s, s->unsent_streams->len < RECORDS_PER_DATAGRAM
				  ? (int)s->unsent_streams->len
				  : RECORDS_PER_DATAGRAM);
}

void
streams_version_added(serve_t *s)
{
	handle_t h;

	/* Until now no records were sent of the streams in progress. */
	for (h = table_next(s->calls, 0); h != 0; h = table_next(s->calls, h)) {
		const call_t *c = call_get(s, h);

		if (c->software != 0 && c->nevent > 0)
			queue_record(
			    s, c->stream_id, c->software, record_expiry(c));
	}
}

void
streams_hand_over(serve_t *s)
{
	int i;

	if (!streams_several_versions(s))
		return;
	for (i = 0; i < s->streams.nslot; i++) {
		const stream_record_t *r = &s->streams.slot[i];

		if (r->id != 0 && r->expires_at > s->loop.now)
			queue_record(s, r->id, r->software, r->expires_at);
	}
}

void
streams_tick(serve_t *s)
{
	ms_t now = s->loop.now;
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		const ep_t *p = s->endpoints.ep[i];

		if (p->listed)
			software_add(&s->software,
			    hash_str(p->entry.service, 0), p->software, now);
	}
	software_expire(&s->software, now);
	stream_table_expire(&s->streams, now);
}

void
streams_init(serve_t *s)
{
	s->software_read = s->conf.first_start;
	software_init(&s->software,
	    s->conf.first_start ? s->loop.now - STREAM_LIFE_MS : s->loop.now);
	s->unsent_streams = g_array_new(FALSE, FALSE, sizeof(stream_record_t));
}

/* Lookups. */

static void
lookup_done(call_t *c, uint64_t software, const char *how)
{
	stream_lookup_end(c);
	c->software = software;
	log_resume(c, how);
	if (software != 0)
		call_dispatch(c);
	else
		call_answer_error(c, 503,
		    "the software that began the stream isn't known",
		    UNKNOWN_RETRY_MS);
}

static void
lookup_ask(call_t *c)
{
	serve_t *s = c->s;
	uint64_t id = c->stream_id, service = hash_str(c->service, 0);
	peer_t *to[ASKED];
	Digest__StreamVersions m = DIGEST__STREAM_VERSIONS__INIT;
	int i;

	m.asked = &id;
	m.service = &service;
	m.n_asked = m.n_service = 1;
	c->lookup.nasked = select_peers(s, id, PEERS_TO_ASK, to, ASKED);
	for (i = 0; i < c->lookup.nasked; i++)
		message_send(s, &m, &to[i]->sa);
	c->lookup.ask_again_at = s->loop.now + ASK_INTERVAL_MS;
}

/*
 * The result when no peer has a record. This instance may be out of step, and
 * so may a few of those asked: most of them have to answer.
 */
static uint64_t
lookup_sole(const call_t *c)
{
	const stream_lookup_t *k = &c->lookup;
	const serve_t *s = c->s;

	if (k->nasked == 0)
		return sole_version(s, hash_str(c->service, 0));
	if (k->contradicted || 2 * k->nanswered <= k->nasked ||
	    software_several(&s->software, hash_str(c->service, 0)))
		return 0;
	return k->sole;
}

/* No peer knows it, but a process that has just started may learn more soon. */
static void
lookup_unknown(call_t *c)
{
	const serve_t *s = c->s;

	if (lookup_sole(c) == 0 && !s->software_read &&
	    s->loop.now < c->lookup.until)
		return;
	lookup_done(
	    c, lookup_sole(c), lookup_sole(c) != 0 ? "peers-sole" : "unknown");
}

bool
stream_bind(call_t *c)
{
	serve_t *s = c->s;
	const char *how = "record";

	if (!c->route.resumable ||
	    (c->resume_event_id < 0 && c->request.resumes[0] == '\0'))
		return true;
	c->software = stream_table_get(&s->streams, c->stream_id, s->loop.now);
	/* The holder knows all versions: it lets them begin streams. */
	if (c->software == 0 && plan_holds_now(s) && !peer_knows_several(s)) {
		c->software = sole_version(s, hash_str(c->service, 0));
		how = "sole";
	}
	if (c->software != 0) {
		log_resume(c, how);
		return true;
	}
	c->state = CALL_LOCATING;
	s->nlocating++;
	c->lookup.until = s->loop.now + (s->software_read ? ASK_TIMEOUT_MS
							  : HISTORY_TIMEOUT_MS);
	c->lookup.began_at = s->loop.now;
	lookup_ask(c);
	/* The store isn't asked where all peers answer at once. */
	if (c->lookup.nasked == 0)
		plan_read_versions(s);
	call_set_timer(c);
	return false;
}

void
streams_history_read(serve_t *s, ms_t sent)
{
	bool again = false;
	handle_t h, next;

	if (s->nlocating == 0)
		return;
	for (h = table_next(s->calls, 0); h != 0; h = next) {
		call_t *c = call_get(s, h);
		uint64_t sole = 0;

		next = table_next(s->calls, h);
		if (c->state != CALL_LOCATING)
			continue;
		/* What has begun since may be in a later lease. */
		if (sent < c->lookup.began_at) {
			again = true;
			continue;
		}
		if (!peer_knows_several(s))
			sole = sole_version(s, hash_str(c->service, 0));
		if (sole != 0)
			lookup_done(c, sole, "sole");
		else if (c->lookup.nanswered >= c->lookup.nasked)
			lookup_unknown(c);
	}
	if (again)
		plan_read_versions(s);
}

ms_t
stream_lookup_next(const call_t *c)
{
	const stream_lookup_t *k = &c->lookup;

	return k->ask_again_at < k->until ? k->ask_again_at : k->until;
}

void
stream_lookup_timer(call_t *c)
{
	if (c->s->loop.now >= c->lookup.until) {
		lookup_unknown(c);
		return;
	}
	lookup_ask(c);
	plan_read_versions(c->s);
	call_set_timer(c);
}

void
stream_lookup_end(call_t *c)
{
	if (c->state != CALL_LOCATING)
		return;
	c->state = CALL_WAITING;
	c->s->nlocating--;
}

/* What other instances send. */

/* The next call after @p h that asks for the stream, NULL: none. */
static call_t *
next_locating(serve_t *s, handle_t *h, uint64_t id)
{
	call_t *c;

	if (s->nlocating == 0)
		return NULL;
	while ((*h = table_next(s->calls, *h)) != 0) {
		c = call_get(s, *h);
		if (c->state == CALL_LOCATING && c->stream_id == id)
			return c;
	}
	return NULL;
}

static void
receive_record(serve_t *s, uint64_t id, uint64_t software, ms_t left)
{
	handle_t h = 0;
	call_t *c;

	if (left > STREAM_LIFE_MS + RECORD_SLACK_MS)
		left = STREAM_LIFE_MS + RECORD_SLACK_MS;
	stream_table_put(&s->streams, id, software, s->loop.now + left);
	while ((c = next_locating(s, &h, id)) != NULL)
		lookup_done(c, software, "peer-record");
}

static void
receive_unknown(
    serve_t *s, const peer_t *p, uint64_t id, uint64_t sole, bool several)
{
	handle_t h = 0;
	call_t *c;
	int i;

	while ((c = next_locating(s, &h, id)) != NULL) {
		stream_lookup_t *k = &c->lookup;

		for (i = 0; i < k->nanswered; i++)
			if (k->answered[i] == p->hash)
				break;
		if (i < k->nanswered || i == ASKED)
			continue;
		k->answered[k->nanswered++] = p->hash;
		if (p->several_versions || several ||
		    (k->sole != 0 && sole != 0 && sole != k->sole))
			k->contradicted = true;
		if (sole != 0)
			k->sole = sole;
		if (k->nanswered >= k->nasked)
			lookup_unknown(c);
	}
}

static void
answer_questions(
    serve_t *s, const Digest__StreamVersions *m, const struct sockaddr_in *from)
{
	static message_t t;
	size_t i;

	message_init(&t);
	for (i = 0; i < m->n_asked && i < m->n_service; i++) {
		uint64_t software =
		    stream_table_get(&s->streams, m->asked[i], s->loop.now);

		if (software != 0)
			message_add_record(
			    &t, m->asked[i], software, STREAM_LIFE_MS);
		else
			message_add_unknown(&t, m->asked[i],
			    sole_version(s, m->service[i]),
			    software_several(&s->software, m->service[i]));
	}
	if (t.m.n_began + t.m.n_unknown > 0)
		message_send(s, &t.m, from);
}

void
streams_receive(
    serve_t *s, const Digest__StreamVersions *m, const struct sockaddr_in *from)
{
	const peer_t *p = peer_at(s, from);
	size_t i;

	answer_questions(s, m, from);
	if (p == NULL)
		return;
	for (i = 0; i < m->n_began && i < m->n_software && i < m->n_left_ms;
	     i++)
		receive_record(s, m->began[i], m->software[i], m->left_ms[i]);
	for (i = 0; i < m->n_unknown && i < m->n_sole; i++)
		receive_unknown(s, p, m->unknown[i], m->sole[i],
		    i < m->n_several && m->several[i]);
}
