#include "serve/peer_call.h"
#include "serve/reach.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fields between instances. Their values are "key=value" words separated by
 * blanks; a word that isn't known is ignored.
 */
#define CALL_FIELD INSTANCE_FIELD_PREFIX "Call"
#define ANSWER_FIELD INSTANCE_FIELD_PREFIX "Answer"

enum {
	WEIGHED_MAX = 32,	   /* instances compared for one call */
	INSTANCES_TRIED_MAX = 2,   /* by one call */
	RETIRED_KEEP_MS = 20000,   /* calls may still name it as tried */
	QUEUED_TOKENS_UNIT = 2000, /* count as much as a call under way */
	REFUSED_RETRY_MS = 500,
};
/* Traffic to another failure domain costs the operators money. */
static const double remote_factor = 1.25;
/* All that can't reach the others share the endpoints that it still reaches. */
static const double partly_cut_factor = 4;

/* @return the value of a word, or NULL; ended by a blank or NUL */
static const char *
word(const char *text, const char *key)
{
	size_t n = strlen(key);

	while (*text != '\0') {
		text += strspn(text, " ");
		if (strncmp(text, key, n) == 0 && text[n] == '=')
			return text + n + 1;
		text += strcspn(text, " ");
	}
	return NULL;
}

static int64_t
word_number(const char *text, const char *key, int base)
{
	const char *v = word(text, key);

	return v != NULL ? (int64_t)strtoull(v, NULL, base) : 0;
}

static void
word_copy(const char *text, const char *key, char *to, size_t size)
{
	const char *v = word(text, key);
	size_t n = v != NULL ? strcspn(v, " ") : 0;

	if (n >= size)
		n = size - 1;
	memcpy(to, v != NULL ? v : "", n);
	to[n] = '\0';
}

/* The instance that hands calls over. */

/* The endpoint that stands for the way through another instance. */
static ep_t *
peer_ep(peer_t *peer)
{
	ep_t *p = peer->ep;

	if (p != NULL)
		return p;
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	p->kind = EP_PEER;
	str_set(p->entry.id, ID_MAX, peer->instance);
	str_set(p->entry.domain, ID_MAX, peer->domain);
	p->listed = true;
	p->sa = peer->sa;
	p->hash = peer->hash;
	workload_init(&p->workload, 1, 0);
	peer->ep = p;
	return p;
}

void
peer_ep_retire(serve_t *s, peer_t *peer)
{
	ep_t *p = peer->ep;

	if (p == NULL)
		return;
	pool_close_idle(p);
	p->listed = false;
	p->removed_at = s->loop.now;
	peer->ep = NULL;
	g_ptr_array_add(s->retired, p);
}

void
peer_eps_purge(serve_t *s)
{
	guint i;

	for (i = s->retired->len; i-- > 0;) {
		ep_t *p = s->retired->pdata[i];

		if (p->ncall > 0 || p->nconn > 0 ||
		    s->loop.now - p->removed_at < RETIRED_KEEP_MS)
			continue;
		g_ptr_array_remove_index_fast(s->retired, i);
		loop_free_later(&s->loop, p);
	}
}

/* Can it connect to an endpoint that may serve the call, by what it says? */
static bool
has_way(const call_t *c, const peer_t *peer)
{
	const ep_table_t *f = &c->s->endpoints;
	int i;

	if (peer->unreached_endpoint->len == 0)
		return true;
	for (i = 0; i < f->nep; i++)
		if (choose_may_serve(c, f->ep[i]) &&
		    !peer_lists(peer->unreached_endpoint, f->ep[i]->tag))
			return true;
	return false;
}

/* Does it take calls, and hasn't lost its way to the service? */
static bool
is_there(const serve_t *s, const call_t *c, const peer_t *peer)
{
	const ep_t *p = peer->ep;

	if (!peer_alive(s, peer) || !peer->ready || peer->leaving ||
	    peer_lists(peer->unreached_service, reach_tag(c->service)))
		return false;
	return p == NULL ||
	       (breaker_allows(&p->breaker, s->loop.now) &&
		   p->no_conn_in != s->search && call_tried_index(c, p) == -1);
}

/* Calls of ours there, for its share of a processor; the least is best. */
static double
load(const serve_t *s, const call_t *c, const peer_t *peer)
{
	double calls = peer->ep != NULL ? peer->ep->ncall : 0, v;
	uint64_t key = hash_str(c->request.id, peer->hash);

	calls += 1 + (double)peer->queued_tokens / QUEUED_TOKENS_UNIT;
	/* Several instances that choose at once don't all choose the same. */
	calls += (double)(key % 1000) / 1000;
	v = calls / (peer->cpu_millis > 0 ? peer->cpu_millis : 1);
	if (!peer_same_domain(s, peer))
		v *= remote_factor;
	return peer->unreached_endpoint->len > 0 ? v * partly_cut_factor : v;
}

static int
instances_tried(const call_t *c)
{
	int i, n = 0;

	for (i = 0; i < c->ntried && i < TRIED_MAX; i++)
		n += c->tried[i]->kind == EP_PEER;
	return n;
}

/* The least loaded instance that can take the call, NULL: none. */
static peer_t *
best_peer(const call_t *c, bool fresh)
{
	const serve_t *s = c->s;
	int i, n = s->peers.npeer, weighed = 0;
	uint64_t from = hash_str(c->request.id, 0);
	peer_t *best = NULL;
	double least = 0, v;

	for (i = 0; i < n && weighed < WEIGHED_MAX; i++) {
		peer_t *p = s->peers.peer[(from + (uint64_t)i) % (uint64_t)n];

		if (!is_there(s, c, p) || (fresh && !peer_is_fresh(s, p)))
			continue;
		weighed++;
		if (!has_way(c, p))
			continue;
		v = load(s, c, p);
		if (best != NULL && v >= least)
			continue;
		best = p;
		least = v;
	}
	return best;
}

static peer_t *
find_peer(const call_t *c)
{
	peer_t *p;

	if (instances_tried(c) >= INSTANCES_TRIED_MAX ||
	    c->sends >= c->route.attempts)
		return NULL;
	p = best_peer(c, true);
	return p != NULL ? p : best_peer(c, false);
}

bool
peer_call_choose(call_t *c, choice_t *out)
{
	serve_t *s = c->s;
	peer_t *peer;

	if (c->from_instance || peers_alive(s) == 1)
		return false;
	peer = find_peer(c);
	if (peer == NULL) {
		*out = (choice_t){ .kind = CHOICE_NONE,
			.reason = c->failure != NULL
				      ? c->failure
				      : "no instance reaches the endpoints",
			.retry_ms = s->conf.heartbeat };
		return true;
	}
	*out = (choice_t){ .kind = CHOICE_SEND,
		.ep = peer_ep(peer),
		.uncached_tokens = c->request.prompt };
	return true;
}

void
peer_call_encode(const call_t *c, buf_t *out)
{
	const head_t *h = &c->caller->http->head;
	int64_t resume_after =
	    c->last_event_id > c->resume_event_id ? c->last_event_id : -1;
	const char *between = " tried=";
	char *name;
	int i;

	buf_fmt(out, "%s %s HTTP/1.1\r\n", c->method, head_target(h));
	call_fields_encode(out, h, resume_after, c->config->has_organisations);
	if (c->request.remaining >= 0)
		buf_fmt(out, "Deadline-Remaining: %" PRId64 "\r\n",
		    c->request.remaining);
	buf_fmt(out,
	    CALL_FIELD ": elapsed=%" PRId64 " config=%" PRId64
		       " sends=%d software=%" PRIx64,
	    c->s->loop.now - c->received_at, c->s->config->version, c->sends,
	    c->software);
	for (i = 0; i < c->ntried && i < TRIED_MAX; i++) {
		if (!c->reached[i])
			continue;
		buf_fmt(out, "%s%s", between, c->tried[i]->entry.id);
		between = ",";
	}
	if (c->organisation != NULL) {
		/* A name may contain blanks, which end a word. */
		name = g_uri_escape_string(c->organisation->name, NULL, FALSE);
		buf_fmt(out, " organisation=%s", name);
		g_free(name);
	}
	buf_fmt(out, "\r\nContent-Length: %zu\r\n\r\n", buf_len(&c->body));
}

void
peer_answer_read(call_t *c, const head_t *h, int status)
{
	const char *v = head_get(h, ANSWER_FIELD);
	const char *text = v != NULL ? v : "";
	char id[ID_MAX];
	ep_t *p;
	int sends;

	sends = (int)word_number(text, "sends", 10);
	if (sends > c->sends)
		c->sends = sends;
	c->through.software = (uint64_t)word_number(text, "software", 16);
	c->through.elsewhere = word_number(text, "elsewhere", 10) != 0;
	c->through.own =
	    v != NULL && word_number(text, "own", 10) != 0 && status >= 400;
	c->through.retry = word_number(text, "retry", 10);
	/* What its endpoint said of leaving binds this instance, too. */
	word_copy(text, "endpoint", id, sizeof(id));
	p = ep_find(&c->s->endpoints, id);
	if (p != NULL && word_number(text, "leaving", 10) != 0)
		ep_said_leaving_elsewhere(c->s, p,
		    word_number(text, "started", 10),
		    c->s->loop.now - word_number(text, "connected", 10));
}

bool
peer_answer_refuses(const call_t *c)
{
	return c->through.own && c->response.status != 502 &&
	       c->response.status != 504;
}

void
peer_answer_refused(call_t *c, bool keep)
{
	ms_t retry = c->through.retry;

	c->may_have_run = c->had_run_before;
	if (c->through.elsewhere) {
		call_attempt_failed(
		    c, true, "the other instance has no way either");
		return;
	}
	call_end_attempt(c, keep);
	call_give_up(c, "another instance refused it",
	    retry > 0 ? retry : REFUSED_RETRY_MS);
}

/* The instance that takes them. */

/* Endpoints that the call was sent to aren't chosen again. */
static void
take_tried(call_t *c, const char *list)
{
	char id[ID_MAX];
	size_t n;

	while (list != NULL && *list != '\0' && *list != ' ') {
		ep_t *p;

		n = strcspn(list, ", ");
		if (n < sizeof(id)) {
			memcpy(id, list, n);
			id[n] = '\0';
			p = ep_find(&c->s->endpoints, id);
			if (p != NULL && c->ntried < TRIED_MAX) {
				c->reached[c->ntried] = true;
				c->tried[c->ntried++] = p;
			}
		}
		list += n;
		list += *list == ',';
	}
}

char *
peer_call_organisation(const head_t *h)
{
	const char *text = head_get(h, CALL_FIELD);
	const char *v = text != NULL ? word(text, "organisation") : NULL;

	return v != NULL ? g_uri_unescape_segment(v, v + strcspn(v, " "), NULL)
			 : NULL;
}

const char *
peer_call_take(call_t *c, const head_t *h)
{
	const char *text = head_get(h, CALL_FIELD);
	ms_t elapsed;

	c->from_instance = true;
	/* Another instance may take what this one refuses now. */
	c->unreached = true;
	if (text == NULL || head_count(h, CALL_FIELD) != 1)
		return "not a call of an instance";
	elapsed = word_number(text, "elapsed", 10);
	if (elapsed < 0)
		return "not a call of an instance";
	if (c->s->config->version < word_number(text, "config", 10))
		return "the configuration here is older";
	c->unreached = false;
	c->received_at -= elapsed;
	c->deadline -= elapsed;
	c->sends = c->attempts = (int)word_number(text, "sends", 10);
	c->software = (uint64_t)word_number(text, "software", 16);
	take_tried(c, word(text, "tried"));
	counter_add(counter_get("ebonypitch_calls_taken_over_total",
			"Calls that other instances handed over."),
	    1);
	return NULL;
}

void
peer_answer_encode(const call_t *c, const ep_t *p, ms_t retry, buf_t *out)
{
	buf_fmt(out, ANSWER_FIELD ": sends=%d", c->sends);
	if (p == NULL) {
		buf_fmt(out, " own=1 elsewhere=%d retry=%" PRId64 "\r\n",
		    c->s->leaving || c->unreached, retry);
		return;
	}
	buf_fmt(out, " software=%" PRIx64, p->software);
	if (p->says_leaving)
		buf_fmt(out,
		    " leaving=1 started=%" PRId64 " connected=%" PRId64,
		    p->leaving.said.started_at,
		    (int64_t)(clock_wall() - p->leaving.said.connected_at));
	buf_fmt(out, " endpoint=%s\r\n", p->entry.id);
}

void
peer_refusal_encode(buf_t *out)
{
	buf_str(out, ANSWER_FIELD ": own=1 elsewhere=1\r\n");
}
