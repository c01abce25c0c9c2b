#include "entry/route.h"

#include <stdlib.h>
#include <string.h>

enum {
	SHARDS_MAX = 256, /* considered for one call */
	NOT_RESIDENT_RETRY_MS = 1000,
	DOWN_RETRY_MS = 500,
};

static bool
was_tried(const route_t *r, uint64_t shard)
{
	int i;

	for (i = 0; i < r->ntried; i++)
		if (r->tried[i] == shard)
			return true;
	return false;
}

static const char *
item_name(const route_t *r)
{
	return r->adapter[0] != '\0' ? r->adapter : r->model;
}

/* The shard to try next, or -1. */
static int
pick_shard(entry_t *en, route_t *r)
{
	route_shard_t candidate[SHARDS_MAX];
	int shard[SHARDS_MAX], n, i, chosen;

	if (r->ntried == SHARDS_TRIED_MAX)
		return -1;
	n = holders_shards(en->holders, r->service->name, item_name(r),
	    candidate, shard, SHARDS_MAX);
	for (i = 0; i < n; i++)
		candidate[i].tried = was_tried(r, candidate[i].id_hash) ||
				     candidate[i].id_hash == r->deferred_shard;
	chosen = route_pick(candidate, n, en->settings->instance.domain,
	    r->prompt_hash, &en->rng);
	if (chosen == -1 && r->deferred_shard != 0) {
		r->deferred_shard = 0;
		return pick_shard(en, r);
	}
	if (chosen == -1)
		return -1;
	r->shard = candidate[chosen].id_hash;
	r->broker_rank = 0;
	holders_count_request(en->holders, shard[chosen]);
	return shard[chosen];
}

static void
fill_request(route_t *r, const shard_t *s, Wire__SlotRequest *req)
{
	const request_t *q = call_request(r->call);
	ms_t remaining = r->deadline - clock_now(&machine_clock);

	req->request = (char *)r->stream;
	req->service = (char *)s->service;
	req->domain = (char *)s->domain;
	req->index = s->index;
	req->model = r->model;
	req->adapter = r->adapter;
	req->caller = (char *)q->caller;
	req->priority = q->priority;
	req->remaining_ms = remaining > 0 ? (uint32_t)remaining : 0;
	req->prefix = r->prompt_hash;
	req->tokens = q->max_tokens;
	req->avoid = r->avoid;
	req->retry = r->runs > 0;
}

static int
shard_index(const entry_t *en, uint64_t hash)
{
	int i;

	for (i = 0; i < en->view->nshard; i++)
		if (shard_hash(&en->view->shard[i]) == hash)
			return i;
	return -1;
}

/*
 * Sends a slot request to the broker of rank r->broker_rank.
 * @return false: not sent.
 */
static bool
request_from_broker(entry_t *en, route_t *r, int shard)
{
	const shard_t *s = &en->view->shard[shard];
	const Wire__Member *m = view_broker(en->view, s, r->broker_rank);
	Wire__SlotRequest req = WIRE__SLOT_REQUEST__INIT;
	ms_t remaining = r->deadline - clock_now(&machine_clock), wait;
	char *tried[BROKER_RANKS];
	handle_t tag;
	int i;

	if (m == NULL)
		return false;
	fill_request(r, s, &req);
	/* Lists the brokers that gave no answer; this one acts for them. */
	for (i = 0; i < r->broker_rank; i++)
		tried[i] = (char *)view_broker(en->view, s, i)->id;
	req.tried_brokers = tried;
	req.n_tried_brokers = r->broker_rank;
	/* Waits as long as the target latency can be met. */
	wait = (remaining > 0 ? remaining : 0) + en->settings->peer.ask_ms;
	str_set(r->broker, ID_MAX, m->id);
	r->stage = STAGE_SLOT;
	tag = route_add_pending(en, r, PENDING_SLOT, m->id);
	if (tag != 0 && client_request_slot(en->client, tag, m->id, &req, wait))
		return true;
	table_del(en->pending, tag);
	return false;
}

/* Whether the worker's last report has the call's model and adapter ready. */
static bool
holds(const Wire__WorkerLoad *l, const route_t *r)
{
	size_t i;

	if (r->model[0] == '\0')
		return true;
	for (i = 0; i < l->n_resident; i++)
		if (l->resident[i]->state == RESIDENT_READY &&
		    strcmp(l->resident[i]->model, r->model) == 0 &&
		    strcmp(l->resident[i]->adapter, r->adapter) == 0)
			return true;
	return false;
}

/* The worker of a shard, but for one, with the fewest calls of this entry. */
static const Wire__Worker *
least_own_calls(const entry_t *en, const route_t *r, const Wire__Digest *d,
    const char *but, int *least)
{
	const Wire__Worker *w, *best = NULL;
	size_t i;
	int own;

	for (i = 0; i < d->n_worker; i++) {
		w = view_worker(en->view, d->worker[i]->worker);
		if (w == NULL || w->leaving || strcmp(w->id, but) == 0 ||
		    !holds(d->worker[i], r))
			continue;
		own =
		    GPOINTER_TO_INT(g_hash_table_lookup(en->own_calls, w->id));
		if (own < *least) {
			*least = own;
			best = w;
		}
	}
	return best;
}

/* The worker of all shards, but for one, with the fewest calls. */
static const Wire__Worker *
pick_worker(const entry_t *en, const route_t *r, const char *but)
{
	const view_t *v = en->view;
	const Wire__Worker *best = NULL, *w;
	int least = INT32_MAX, i;

	for (i = 0; i < v->nshard; i++) {
		if (v->shard[i].digest == NULL ||
		    strcmp(v->shard[i].service, r->service->name) != 0)
			continue;
		w = least_own_calls(en, r, v->shard[i].digest, but, &least);
		if (w != NULL)
			best = w;
	}
	return best;
}

bool
slot_other_worker(const entry_t *en, const route_t *r)
{
	return en->view != NULL && pick_worker(en, r, r->worker) != NULL;
}

/*
 * No broker answers: takes the worker with the fewest calls of this entry. The
 * engine itself refuses what it can't take.
 */
static bool
pick_without_broker(entry_t *en, route_t *r)
{
	const Wire__Worker *best = pick_worker(en, r, r->avoid);

	if (best == NULL)
		return false;
	str_set(r->worker, ID_MAX, best->id);
	str_set(r->addr, ADDR_MAX, best->addr);
	r->slot = 0;
	r->version = 0;
	r->broker[0] = '\0';
	return true;
}

static void
claim_or_run(entry_t *en, route_t *r)
{
	if (route_needs_claim(r) && !r->claimed)
		route_claim(en, r);
	else
		run_start(en, r, false);
}

/* Every shard refused, or there is none. */
static void
fail_without_slot(entry_t *en, route_t *r)
{
	ran_t ran = r->maybe_sent && r->runs > 0 ? RAN_UNKNOWN : RAN_NO;

	if (r->begun) {
		model_fail(en, r, RAN_YES, "no worker can go on with it");
		return;
	}
	switch (r->refusal) {
	case SLOT_LATE:
	case SLOT_FULL:
	case SLOT_RETRY_BUDGET:
		route_fail(en, r, 429, "overloaded", ran, r->retry_after,
		    "the promised time can't be kept now");
		return;
	case SLOT_GRANTED:
	case SLOT_NO_COPY:
	case SLOT_NOT_OWNER:
	case SLOT_LEAVING:
	case SLOT_QUEUED:
		break;
	}
	route_fail(en, r, 503, "not_resident", ran, NOT_RESIDENT_RETRY_MS,
	    "no worker is ready for it");
}

void
slot_request(entry_t *en, route_t *r)
{
	bool tried_any = false;
	int shard;

	while ((shard = pick_shard(en, r)) != -1) {
		for (; r->broker_rank < BROKER_RANKS; r->broker_rank++)
			if (request_from_broker(en, r, shard))
				return;
		r->tried[r->ntried++] = r->shard;
		tried_any = true;
	}
	if ((tried_any || r->refusal == SLOT_NOT_OWNER) &&
	    pick_without_broker(en, r))
		claim_or_run(en, r);
	else
		fail_without_slot(en, r);
}

/* Requests a slot from the shard's next broker, else from another shard. */
static void
try_next_broker(entry_t *en, route_t *r)
{
	int shard = shard_index(en, r->shard);

	while (shard != -1 && ++r->broker_rank < BROKER_RANKS)
		if (request_from_broker(en, r, shard))
			return;
	if (r->ntried < SHARDS_TRIED_MAX)
		r->tried[r->ntried++] = r->shard;
	r->refusal = SLOT_NOT_OWNER;
	slot_request(en, r);
}

static void
on_refusal(entry_t *en, route_t *r, const Wire__SlotAnswer *a)
{
	r->refusal = (slot_outcome_t)a->outcome;
	if (a->retry_after_ms > 0 &&
	    (r->retry_after == 0 || a->retry_after_ms < r->retry_after))
		r->retry_after = a->retry_after_ms;
	if (r->ntried < SHARDS_TRIED_MAX)
		r->tried[r->ntried++] = r->shard;
	slot_request(en, r);
}

void
slot_answer(entry_t *en, route_t *r, const pending_t *p, const answer_t *a)
{
	const Wire__SlotAnswer *s;

	if (a->down || a->frame == NULL ||
	    a->frame->body_case != WIRE__FRAME__BODY_SLOT_ANSWER) {
		/* The broker may still queue or grant the request. */
		client_cancel_slot_request(en->client, p->peer, r->stream);
		try_next_broker(en, r);
		return;
	}
	s = a->frame->slot_answer;
	switch ((slot_outcome_t)s->outcome) {
	case SLOT_GRANTED:
		r->slot = s->slot;
		r->version = s->version;
		str_set(r->worker, ID_MAX, s->worker);
		str_set(r->addr, ADDR_MAX, s->addr);
		claim_or_run(en, r);
		return;
	case SLOT_NOT_OWNER:
	case SLOT_LEAVING:
	case SLOT_QUEUED:
		try_next_broker(en, r);
		return;
	case SLOT_LATE:
	case SLOT_FULL:
	case SLOT_NO_COPY:
	case SLOT_RETRY_BUDGET:
		on_refusal(en, r, s);
		return;
	}
	try_next_broker(en, r);
}

void
slot_release(entry_t *en, route_t *r, call_outcome_t how)
{
	Wire__SlotRelease rel = WIRE__SLOT_RELEASE__INIT;

	if (r->slot == 0)
		return;
	rel.slot = r->slot;
	rel.worker = r->worker;
	rel.outcome = how;
	rel.first_ms = r->first_token_at > 0
			   ? (uint32_t)(r->first_token_at - r->run_started_at)
			   : 0;
	rel.tokens = r->tokens;
	client_release_slot(en->client, r->broker, &rel);
	r->slot = 0;
}

void
slot_return_grant(entry_t *en, const char *broker, const answer_t *a)
{
	Wire__SlotRelease rel = WIRE__SLOT_RELEASE__INIT;

	if (a->frame == NULL ||
	    a->frame->body_case != WIRE__FRAME__BODY_SLOT_ANSWER ||
	    a->frame->slot_answer->outcome != SLOT_GRANTED)
		return;
	rel.slot = a->frame->slot_answer->slot;
	rel.worker = a->frame->slot_answer->worker;
	rel.outcome = CALL_CANCELLED;
	client_release_slot(en->client, broker, &rel);
}
