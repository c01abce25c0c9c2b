#include "entry/route.h"

#include <stdlib.h>
#include <string.h>

enum {
	OWNER_RANKS = 2,	      /* instances tried for one bucket */
	CLAIM_RETRY_MS = 1000,	      /* retry_after if the owner gave none */
	SETTLE_REPLY_MAX = 64 * 1024, /* bytes sent to the owner */
};

bool
route_needs_claim(const route_t *r)
{
	return r->model[0] == '\0' && r->service->repeat == REPEAT_NEVER &&
	       call_request(r->call)->key[0] != '\0';
}

/* The member of that rank that owns the bucket of a key. */
static const Wire__Member *
claim_owner(entry_t *en, const char *service, const char *key, int rank)
{
	char bucket[32];

	snprintf(bucket, sizeof(bucket), "claims/%d",
	    claims_bucket(en->settings, service, key));
	return view_claim_owner(en->view, bucket, rank);
}

/*
 * Refuses a call that was not run. Its claim may exist, granted or requested
 * without an answer: it is settled as refused, so that a retry can run.
 */
static void
refuse_not_run(entry_t *en, route_t *r, ms_t retry_after)
{
	call_event_t ev = { .outcome = CALL_REFUSED, .not_run = true };

	slot_release(en, r, CALL_CANCELLED);
	if (r->claimed || r->owner_rank > 0) {
		r->claimed = true;
		route_settle_claim(en, r, &ev);
	}
	route_fail(en, r, 503, "claims_down", RAN_NO, retry_after,
	    "the call's key can't be claimed now; it was not run");
}

void
route_claim(entry_t *en, route_t *r)
{
	const request_t *q = call_request(r->call);
	Wire__ClaimRequest req = WIRE__CLAIM_REQUEST__INIT;
	const Wire__Member *m;
	handle_t tag = 0;

	r->stage = STAGE_CLAIM;
	req.key = (char *)q->key;
	req.service = (char *)r->service->name;
	req.request = (char *)call_id(r->call);
	req.body_hash = hash64(q->body, q->body_len, hash_str(q->target, 0));
	for (; r->owner_rank < OWNER_RANKS; r->owner_rank++) {
		m = claim_owner(en, r->service->name, q->key, r->owner_rank);
		if (m == NULL)
			continue;
		tag = route_add_pending(en, r, PENDING_CLAIM, m->id);
		if (tag != 0 && client_request_claim(en->client, tag, m->id,
				    &req, claims_wait(en->settings)))
			return;
		table_del(en->pending, tag);
	}
	refuse_not_run(en, r, CLAIM_RETRY_MS);
}

static void
reply_stored(entry_t *en, route_t *r, const Wire__ClaimAnswer *a)
{
	slot_release(en, r, CALL_CANCELLED);
	if (a->reply.len == 0 && a->status == 200) {
		route_fail(en, r, 409, "done_before", RAN_YES, 0,
		    "a call with this key was answered 200; its answer "
		    "wasn't kept");
		return;
	}
	call_reply(r->call, a->status, a->type, RAN_YES,
	    (const char *)a->reply.data, a->reply.len);
	route_finish(en, r);
}

void
route_claim_answer(entry_t *en, route_t *r, const answer_t *a)
{
	const Wire__ClaimAnswer *c;

	if (a->down || a->frame == NULL ||
	    a->frame->body_case != WIRE__FRAME__BODY_CLAIM_ANSWER) {
		/*
		 * The claim may have been granted; a claim request to the next
		 * owner with the same request id finds it.
		 */
		r->owner_rank++;
		route_claim(en, r);
		return;
	}
	c = a->frame->claim_answer;
	switch ((claim_outcome_t)c->outcome) {
	case CLAIM_FRESH:
		r->claimed = true;
		if (r->call != NULL &&
		    r->expires_at > clock_now(&machine_clock)) {
			run_start(en, r, false);
			return;
		}
		break;
	case CLAIM_DONE:
		reply_stored(en, r, c);
		return;
	case CLAIM_RUNNING:
		slot_release(en, r, CALL_CANCELLED);
		route_fail(en, r, 409, "running", RAN_UNKNOWN,
		    c->retry_after_ms > 0 ? c->retry_after_ms : CLAIM_RETRY_MS,
		    "a call with this key is still running");
		return;
	case CLAIM_UNKNOWN:
		slot_release(en, r, CALL_CANCELLED);
		route_fail(en, r, 409, "outcome_unknown", RAN_UNKNOWN, 0,
		    "a call with this key was begun; whether it ran can't "
		    "be known");
		return;
	case CLAIM_MISMATCH:
		slot_release(en, r, CALL_CANCELLED);
		route_fail(en, r, 422, "key_reused", RAN_NO, 0,
		    "this key was used for another request");
		return;
	case CLAIM_NOT_OWNER:
		r->owner_rank++;
		route_claim(en, r);
		return;
	case CLAIM_DOWN:
		break;
	}
	refuse_not_run(
	    en, r, c->retry_after_ms > 0 ? c->retry_after_ms : CLAIM_RETRY_MS);
}

static void
send_settle(entry_t *en, route_t *r)
{
	Wire__ClaimSettle s = WIRE__CLAIM_SETTLE__INIT;
	const Wire__Member *m;
	handle_t tag;

	s.key = r->settle.key;
	s.service = r->settle.service;
	s.request = r->settle.request;
	s.outcome = r->settle.outcome;
	s.status = r->settle.status;
	s.type = r->settle.type;
	s.reply.data = (uint8_t *)r->settle.reply;
	s.reply.len = r->settle.len;
	while (r->settle_tries < SETTLE_TRIES) {
		m = claim_owner(
		    en, s.service, s.key, r->settle_tries++ % OWNER_RANKS);
		if (m == NULL)
			continue;
		tag = route_add_pending(en, r, PENDING_SETTLE, m->id);
		if (tag != 0 && client_settle_claim(en->client, tag, m->id, &s,
				    claims_wait(en->settings)))
			return;
		table_del(en->pending, tag);
	}
	/* The claim stays unsettled: a retry gets "outcome_unknown". */
	log_event(LOG_WARNING, "claim_unsettled", "request=%s service=%s",
	    s.request, s.service);
	counter_add(counter_get("ebonypitch_claims_unsettled_total",
			"claims whose outcome couldn't be kept"),
	    1);
	r->claimed = false;
	if (r->stage == STAGE_FINISHED)
		route_free(en, r);
}

void
route_settle_claim(entry_t *en, route_t *r, const call_event_t *ev)
{
	const request_t *q = call_request(r->call);

	str_set(r->settle.key, sizeof(r->settle.key), q->key);
	str_set(r->settle.service, ID_MAX, r->service->name);
	str_set(r->settle.request, ID_MAX, call_id(r->call));
	str_set(r->settle.type, ID_MAX, ev->type);
	r->settle.status = ev->status;
	r->settle.outcome = ev->outcome;
	/* An earlier run may have reached an endpoint. */
	if (ev->not_run)
		r->settle.outcome = r->maybe_sent ? CALL_UNKNOWN : CALL_REFUSED;
	if (ev->len > 0 && ev->len <= SETTLE_REPLY_MAX) {
		r->settle.reply = malloc(ev->len);
		if (r->settle.reply != NULL) {
			memcpy(r->settle.reply, ev->text, ev->len);
			r->settle.len = ev->len;
		}
	}
	send_settle(en, r);
}

void
route_claim_settled(entry_t *en, route_t *r, const answer_t *a)
{
	bool recorded =
	    !a->down && a->frame != NULL &&
	    a->frame->body_case == WIRE__FRAME__BODY_CLAIM_SETTLED &&
	    a->frame->claim_settled->accepted;

	if (!recorded) {
		send_settle(en, r);
		return;
	}
	r->claimed = false;
	if (r->stage == STAGE_FINISHED)
		route_free(en, r);
}
