#include "entry/route.h"

#include <stdlib.h>
#include <string.h>

enum {
	PREFIX_BYTES = 256,
	LEAVING_RETRY_MS = 100,
	BEHIND_RETRY_MS = 100,
	RESUME_TIMEOUT_MS = 3600 * 1000, /* of a resumed stream */
};

route_t *
route_get(entry_t *en, handle_t h)
{
	route_t **r = table_get(en->routes, h);

	return r == NULL ? NULL : *r;
}

handle_t
route_add_pending(
    entry_t *en, route_t *r, pending_kind_t kind, const char *peer)
{
	handle_t h = table_add(en->pending);
	pending_t *p;

	if (h == 0)
		return 0;
	p = table_get(en->pending, h);
	p->kind = kind;
	p->route = r->handle;
	str_set(p->peer, ID_MAX, peer);
	return h;
}

static void
refuse(call_t *call, int status, const char *code, ms_t retry_after,
    const char *message)
{
	call_error_t f = { .status = status,
		.code = code,
		.ran = RAN_NO,
		.retry_after = retry_after };

	str_set(f.message, sizeof(f.message), message);
	call_fail(call, &f);
	call_unref(call);
}

/* Finds model, adapter and service. @return false: the call is answered. */
static bool
resolve_request(entry_t *en, call_t *call, route_t *r)
{
	const request_t *q = call_request(call);
	const catalogue_t *c = en->view->catalogue;
	const adapter_t *a;
	const model_t *m;
	const char *service = q->service;

	if (q->kind != REQUEST_PLAIN) {
		a = catalogue_adapter(c, q->model);
		m = catalogue_model(c, a != NULL ? a->model : q->model);
		if (m == NULL && c->number < en->view->wire->catalogue) {
			refuse(call, 503, "behind", BEHIND_RETRY_MS,
			    "this entry is taking a newer catalogue");
			return false;
		}
		if (m == NULL && catalogue_withdrawn(c, q->model)) {
			refuse(call, 410, "withdrawn", 0,
			    "this model has been withdrawn");
			return false;
		}
		if (m == NULL) {
			refuse(call, 404, "unknown_model", 0,
			    "there is no model of that name");
			return false;
		}
		str_set(r->model, ID_MAX, m->name);
		str_set(r->adapter, ID_MAX, a != NULL ? a->name : "");
		r->resumable = m->resumable;
		service = m->service;
	}
	r->service = settings_service(en->settings, service);
	if (r->service == NULL) {
		refuse(call, 503, "no_service", 0,
		    "this entry's settings don't list the service");
		return false;
	}
	return true;
}

static route_t *
add_route(entry_t *en, call_t *call)
{
	handle_t h = table_add(en->routes);
	route_t *r;

	if (h == 0)
		return NULL;
	r = g_new0(route_t, 1);
	*(route_t **)table_get(en->routes, h) = r;
	r->handle = h;
	r->call = call;
	r->refusal = SLOT_NO_COPY;
	r->text = g_string_new(NULL);
	call_set_tag(call, h);
	en->ncalls++;
	__atomic_store_n(
	    &en->nroutes, (int)table_count(en->routes), __ATOMIC_RELAXED);
	return r;
}

/* Resumes a stream that this or another entry began. */
static bool
resume_stream(entry_t *en, route_t *r)
{
	const request_t *q = call_request(r->call);
	const Wire__Worker *w;
	resume_token_t t;

	if (!resume_decode(en->settings->instance.secret, q->resume, &t) ||
	    (q->kind != REQUEST_RESUME && t.prompt_hash != r->prompt_hash)) {
		route_fail(en, r, 400, "bad_token", RAN_NO, 0,
		    "Last-Event-ID isn't a token of this answer");
		return false;
	}
	r->offset = t.offset;
	r->prompt_hash = t.prompt_hash;
	str_set(r->stream, ID_MAX, t.stream);
	w = view_worker(en->view, t.worker);
	if (w != NULL) {
		str_set(r->worker, ID_MAX, w->id);
		str_set(r->addr, ADDR_MAX, w->addr);
		r->service = settings_service(en->settings, w->service);
	}
	if (w != NULL && r->service != NULL) {
		run_start(en, r, true);
	} else if (q->kind != REQUEST_RESUME && r->resumable) {
		slot_request(en, r);
	} else {
		route_fail(en, r, 410, "stream_gone", RAN_YES, 0,
		    "the worker of this answer is gone");
		return false;
	}
	return true;
}

static bool
can_accept(entry_t *en, call_t *call)
{
	if (en->leaving) {
		refuse(call, 503, "leaving", LEAVING_RETRY_MS,
		    "this entry is leaving; ask another of /v1/entries");
		return false;
	}
	/*
	 * A catalogue that was reported in force must be used at once, before
	 * the message about the new view is handled.
	 */
	entry_update_view(en);
	if (!en->ready) {
		refuse(call, 503, "not_ready", 1000,
		    "this entry doesn't know the catalogue yet");
		return false;
	}
	if (en->ncalls >= en->settings->caller.calls_max) {
		refuse(call, 503, "too_many_calls", 1000,
		    "this entry has too many calls in progress");
		return false;
	}
	return true;
}

void
route_new(entry_t *en, call_t *call)
{
	const request_t *q = call_request(call);
	route_t found = { 0 }, *r;
	size_t n;

	if (!can_accept(en, call) ||
	    (q->kind != REQUEST_RESUME && !resolve_request(en, call, &found)))
		return;
	r = add_route(en, call);
	if (r == NULL) {
		refuse(call, 503, "too_many_calls", 1000,
		    "this entry has too many calls in progress");
		return;
	}
	str_set(r->model, ID_MAX, found.model);
	str_set(r->adapter, ID_MAX, found.adapter);
	r->resumable = found.resumable;
	r->service = found.service;
	str_set(r->stream, ID_MAX, call_id(call));
	if (q->prompt != NULL) {
		n = strlen(q->prompt);
		r->prompt_hash =
		    hash64(q->prompt, n < PREFIX_BYTES ? n : PREFIX_BYTES, 0);
	}
	if (q->resume[0] != '\0' && q->kind != REQUEST_PLAIN) {
		r->deadline =
		    call_received_at(call) + en->settings->peer.ask_ms;
		r->expires_at = call_received_at(call) + RESUME_TIMEOUT_MS;
		resume_stream(en, r);
		return;
	}
	r->deadline = call_received_at(call) +
		      (q->target_latency > 0 ? q->target_latency
					     : r->service->target_latency_ms);
	r->expires_at = call_received_at(call) + r->service->timeout_ms;
	slot_request(en, r);
}

void
route_fail(entry_t *en, route_t *r, int status, const char *code, ran_t ran,
    ms_t retry_after, const char *message)
{
	call_error_t f = { .status = status,
		.code = code,
		.ran = ran,
		.retry_after = retry_after };

	str_set(f.message, sizeof(f.message), message);
	if (r->call != NULL)
		call_fail(r->call, &f);
	route_finish(en, r);
}

void
route_finish(entry_t *en, route_t *r)
{
	slot_release(en, r, CALL_DONE);
	if (r->call != NULL) {
		call_unref(r->call);
		r->call = NULL;
		en->ncalls--;
	}
	r->stage = STAGE_FINISHED;
	/* The route is needed until its claim is settled. */
	if (!r->claimed)
		route_free(en, r);
}

void
route_free(entry_t *en, route_t *r)
{
	table_del(en->routes, r->handle);
	__atomic_store_n(
	    &en->nroutes, (int)table_count(en->routes), __ATOMIC_RELAXED);
	g_string_free(r->text, TRUE);
	free(r->settle.reply);
	g_free(r);
}

void
route_caller_disconnected(entry_t *en, call_t *call)
{
	route_t *r = route_get(en, call_tag(call));

	if (r == NULL || r->call != call)
		return;
	/* A call that may run once continues: its outcome must be known. */
	if (r->claimed || (r->stage == STAGE_RUN && r->model[0] == '\0' &&
			      r->service->repeat != REPEAT_SAFE))
		return;
	switch (r->stage) {
	case STAGE_SLOT:
		client_cancel_slot_request(en->client, r->broker, r->stream);
		route_finish(en, r);
		break;
	case STAGE_RUN:
		/* The END event finishes the route. */
		endpoint_cancel(en->endpoint, r->run_tag);
		break;
	case STAGE_CLAIM:
	case STAGE_FINISHED:
		break;
	}
}
