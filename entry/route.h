/**
 * @file route.h
 * Internals of the router. All functions run on the router's thread unless they
 * say otherwise.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "caller/caller.h"
#include "endpoint/endpoint.h"
#include "entry/entry.h"
#include "peer/peer.h"

#include <pthread.h>
#include <glib.h>

enum {
	SHARDS_TRIED_MAX = 8, /* shards tried for one call */
	BROKER_RANKS = 3,     /* brokers tried for one shard */
	RUNS_MAX = 4,	      /* runs in a row without a token */
	SETTLE_TRIES = 5,
};

/** The state of a call. */
typedef enum stage {
	STAGE_SLOT,	/* waiting for a broker's answer */
	STAGE_CLAIM,	/* waiting for the claim's owner */
	STAGE_RUN,	/* running at an endpoint */
	STAGE_FINISHED, /* answered; its claim may not be settled yet */
} stage_t;

/** A call being routed. */
typedef struct route {
	handle_t handle;
	call_t *call;
	const service_conf_t *service;
	stage_t stage;
	char model[ID_MAX]; /* empty: a plain call */
	char adapter[ID_MAX];
	bool resumable;
	ms_t deadline;	 /* for the slot, by target_latency */
	ms_t expires_at; /* end of the call's timeout */

	/* Slot. */
	uint64_t tried[SHARDS_TRIED_MAX];
	int ntried;
	uint64_t deferred_shard; /* hash of the shard of the failed run,
				    tried last */
	int broker_rank;	 /* rank of the broker being tried */
	uint64_t shard;		 /* hash of the shard being tried */
	char broker[ID_MAX];
	uint64_t slot; /* 0: none */
	char worker[ID_MAX];
	char addr[ADDR_MAX];
	uint64_t version;
	char avoid[ID_MAX];	/* worker of the failed run, or empty */
	ms_t retry_after;	/* shortest that a broker gave, ms */
	slot_outcome_t refusal; /* the last one */

	/* Run at an endpoint. */
	handle_t run_tag;
	char stream[ID_MAX]; /* id of the run at the endpoint */
	int runs;
	int runs_without_token; /* runs in a row without a token */
	bool resuming;		/* this run resumes a stream */
	bool maybe_sent;	/* a run may have reached an endpoint */
	uint32_t offset;	/* next token wanted */
	bool begun;		/* the answer has begun */
	ms_t run_started_at, first_token_at; /* of this run; 0: no token yet */
	uint32_t tokens;
	uint64_t prompt_hash;
	GString *text; /* of an answer that isn't streamed */

	/* Claim of the idempotency key. */
	int owner_rank;
	bool claimed;
	claim_settle_t settle; /* the outcome to record */
	int settle_tries;
} route_t;

/** A request to a peer or a run at an endpoint; its handle is the tag. */
typedef enum pending_kind {
	PENDING_SLOT,
	PENDING_CLAIM,
	PENDING_SETTLE,
	PENDING_RUN,
} pending_kind_t;

typedef struct pending {
	pending_kind_t kind;
	handle_t route;
	char peer[ID_MAX];
} pending_t;

/* holders.c: which shards hold an item. */

/** Index of the items that the shards hold; rebuilt for each view. */
typedef struct holders holders_t;
holders_t *holders_new(const view_t *v);
void holders_free(holders_t *h);
/**
 * Shards that hold or may hold an item.
 * @param item adapter or model; empty: a plain service.
 * @param shard filled with the shards' indexes in the view.
 * @return number of elements in @p out and @p shard, at most @p max.
 */
int holders_shards(const holders_t *h, const char *service, const char *item,
    route_shard_t *out, int *shard, int max);
/** Identifies a shard across views. */
uint64_t shard_hash(const shard_t *s);
/** Counts a request for a slot of that shard, until the next view. */
void holders_count_request(holders_t *h, int shard);

struct entry {
	entry_opts_t o;
	const settings_t *settings;
	ring_t *calls;	      /* of call_t *, from the server */
	ring_t *disconnected; /* of call_t *, from the server */
	ring_t *events;	      /* of call_event_t *, from endpoints */
	ring_t *answers;      /* of answer_t *, from peers */
	server_t *server;
	endpoint_t *endpoint;
	client_t *client;
	pthread_t thread;
	bool stop;
	bool leaving;
	ms_t leaving_since;

	/* Used by the router's thread. */
	table_t *routes;  /* of route_t * */
	table_t *pending; /* of pending_t */
	view_t *view;
	bool ready; /* has had a complete view; atomic */
	holders_t *holders;
	rng_t rng;
	budget_t retry_budget;
	GHashTable *own_calls; /* worker id -> own calls there */
	int ncalls;	       /* routes before STAGE_FINISHED */
	int nroutes;	       /* number of routes; atomic */
};

/** Switches to the client's latest view. entry.c */
void entry_update_view(entry_t *en);

/* route.c: creates and ends routes. */
void route_new(entry_t *en, call_t *call);
route_t *route_get(entry_t *en, handle_t h);
/** Answers with an error and finishes the route. */
void route_fail(entry_t *en, route_t *r, int status, const char *code,
    ran_t ran, ms_t retry_after, const char *message);
/**
 * The call is answered: releases its slot and call. The route is freed, unless
 * its claim has to be settled first.
 */
void route_finish(entry_t *en, route_t *r);
/** Frees a route that has nothing pending. */
void route_free(entry_t *en, route_t *r);
void route_caller_disconnected(entry_t *en, call_t *call);
handle_t route_add_pending(
    entry_t *en, route_t *r, pending_kind_t kind, const char *peer);

/* slot.c: requests slots from brokers. */
void slot_request(entry_t *en, route_t *r);
void slot_answer(
    entry_t *en, route_t *r, const pending_t *p, const answer_t *a);
void slot_release(entry_t *en, route_t *r, call_outcome_t how);
/** Whether another worker than the route's holds what its call needs. */
bool slot_other_worker(const entry_t *en, const route_t *r);
/** Returns a grant that arrived too late to be used. */
void slot_return_grant(entry_t *en, const char *broker, const answer_t *a);

/* run.c: runs calls at endpoints. */
void run_start(entry_t *en, route_t *r, bool resume);
void run_token(entry_t *en, route_t *r, call_event_t *ev);
/** The run is silent: leaves it if another worker is known. */
void run_silent(entry_t *en, route_t *r);
void run_end(entry_t *en, route_t *r, call_event_t *ev);

/* model.c: answers to calls of models. */
void model_begin(entry_t *en, route_t *r);
void model_token(entry_t *en, route_t *r, const char *text);
/** @param finish the engine's finish reason: stop or length. */
void model_done(entry_t *en, route_t *r, const char *finish);
void model_fail(entry_t *en, route_t *r, ran_t ran, const char *why);

/* claim.c: claims for calls that run at most once. */

bool route_needs_claim(const route_t *r);
void route_claim(entry_t *en, route_t *r);
void route_claim_answer(entry_t *en, route_t *r, const answer_t *a);
void route_settle_claim(entry_t *en, route_t *r, const call_event_t *ev);
void route_claim_settled(entry_t *en, route_t *r, const answer_t *a);

/* resume.c: tokens with which any entry can resume a stream. */

typedef struct resume_token {
	char worker[ID_MAX];
	char stream[ID_MAX];
	uint32_t offset; /* next token wanted */
	uint64_t catalogue;
	uint64_t prompt_hash;
} resume_token_t;
void resume_encode(
    const char *secret, const resume_token_t *t, char *out, size_t size);
bool resume_decode(const char *secret, const char *text, resume_token_t *t);

/* pages.c: pages that need no routing; served on the server's thread. */

/** Whether a controld sent the view, complete and with its catalogue. */
bool entry_view_ready(const view_t *v);
pages_t entry_pages(entry_t *en);

#endif
