#ifndef ROUTE_H
#define ROUTE_H

#include "caller/caller.h"
#include "endpoint/endpoint.h"
#include "entry/entry.h"
#include "peer/peer.h"

#include <pthread.h>
#include <glib.h>

enum {
	SHARDS_TRIED_MAX = 8, /* shards that one call asks */
	BROKER_RANKS = 3,     /* brokers asked for one shard */
	RUNS_MAX = 4,	      /* runs in a row without progress */
	SETTLE_TRIES = 5,
};

/** Where a call stands. */
typedef enum stage {
	STAGE_SLOT,	/* a broker has been asked */
	STAGE_CLAIM,	/* a claims' owner has been asked */
	STAGE_RUN,	/* an endpoint has it */
	STAGE_FINISHED, /* answered; a settle may still be out */
} stage_t;

/** One call being routed. */
typedef struct route {
	handle_t handle;
	call_t *call;
	const service_conf_t *service;
	stage_t stage;
	char model[ID_MAX]; /* empty for a plain call */
	char adapter[ID_MAX];
	bool resumable;
	ms_t deadline;	 /* of the promise */
	ms_t expires_at; /* of the call altogether */

	/* The slot. */
	uint64_t tried[SHARDS_TRIED_MAX];
	int ntried;
	uint64_t deferred_shard; /* hash of a shard that just failed it, asked
				    last */
	int broker_rank;	 /* of the broker being asked */
	uint64_t shard;		 /* hash of the shard being asked */
	char broker[ID_MAX];
	uint64_t slot; /* 0: none held */
	char worker[ID_MAX];
	char addr[ADDR_MAX];
	uint64_t version;
	char avoid[ID_MAX];
	ms_t retry_after; /* the soonest that a broker told */
	slot_outcome_t refusal;

	/* The run. */
	handle_t run_tag;
	char stream[ID_MAX]; /* the endpoint's id of it */
	int runs;
	int runs_without_token; /* runs in a row that brought nothing */
	bool resuming;		/* the run took up a stream again */
	bool maybe_sent;	/* some run may have reached an endpoint */
	uint32_t offset;	/* next token wanted */
	bool begun;		/* a stream to the caller */
	ms_t run_started_at,
	    first_token_at; /* of this run and its first token */
	uint32_t tokens;
	uint64_t prompt_hash;
	GString *text; /* an answer that isn't streamed */

	/* The claim. */
	int owner_rank;
	bool claimed;
	claim_settle_t settle; /* what is being settled */
	int settle_tries;
} route_t;

/** A question to a peer or a run at an endpoint, by its tag. */
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

/** Who holds an item: made anew for each view. holders.c */
typedef struct holders holders_t;
holders_t *holders_new(const view_t *v);
void holders_free(holders_t *h);
/** Shards of the item's holders; @p item is empty for a plain service. */
int holders_shards(const holders_t *h, const char *service, const char *item,
    route_shard_t *out, int *shard, int max);
/** What a shard is told apart by, whatever the view. */
uint64_t shard_hash(const shard_t *s);
/** A grant was asked of that shard: count it until the next view. */
void holders_count_ask(holders_t *h, int shard);

struct entry {
	entry_opts_t o;
	const settings_t *settings;
	ring_t *calls;	      /* call_t *, from callers */
	ring_t *disconnected; /* call_t * */
	ring_t *events;	      /* call_event_t *, from endpoints */
	ring_t *answers;      /* answer_t *, from peers */
	server_t *server;
	endpoint_t *endpoint;
	client_t *client;
	pthread_t thread;
	bool stop;
	bool leaving;
	ms_t leaving_since;

	/* The router thread's. */
	table_t *routes;  /* of route_t * */
	table_t *pending; /* of pending_t */
	view_t *view;
	bool ready; /* had a whole view once */
	holders_t *holders;
	rng_t rng;
	budget_t retry_budget;
	GHashTable *own_calls; /* worker -> calls of ours on it */
	int ncalls;	       /* routes not STAGE_FINISHED */
	int nroutes;	       /* atomic copy of the routes' number */
};

/** Go on with the client's latest view. entry.c */
void entry_update_view(entry_t *en);

/* route.c: the life of a route. */
void route_new(entry_t *en, call_t *call);
route_t *route_get(entry_t *en, handle_t h);
/** Answer with an error and end. */
void route_fail(entry_t *en, route_t *r, int status, const char *code,
    ran_t ran, ms_t retry_after, const char *message);
/** The caller has its answer: give back what is held. */
void route_finish(entry_t *en, route_t *r);
/** Free it; nothing of it is pending. */
void route_free(entry_t *en, route_t *r);
void route_caller_disconnected(entry_t *en, call_t *call);
handle_t route_add_pending(
    entry_t *en, route_t *r, pending_kind_t kind, const char *peer);

/* slot.c: asking brokers. */
void slot_ask(entry_t *en, route_t *r);
void slot_answer(
    entry_t *en, route_t *r, const pending_t *p, const answer_t *a);
void slot_release(entry_t *en, route_t *r, call_outcome_t how);
/** A grant that nobody waits for any more. */
void slot_return_grant(entry_t *en, const char *broker, const answer_t *a);

/* run.c: at an endpoint. */
void run_start(entry_t *en, route_t *r, bool resume);
void run_token(entry_t *en, route_t *r, call_event_t *ev);
void run_end(entry_t *en, route_t *r, call_event_t *ev);

/* model.c: what callers of models get. */
void model_begin(entry_t *en, route_t *r);
void model_token(entry_t *en, route_t *r, const char *text);
/** @param finish why the engine ended it: stop or length. */
void model_done(entry_t *en, route_t *r, const char *finish);
void model_fail(entry_t *en, route_t *r, ran_t ran, const char *why);

/* claim.c: claims of calls that may run once. */
bool route_needs_claim(const route_t *r);
void route_claim(entry_t *en, route_t *r);
void route_claim_answer(entry_t *en, route_t *r, const answer_t *a);
void route_settle_claim(entry_t *en, route_t *r, const call_event_t *ev);
void route_claim_settled(entry_t *en, route_t *r, const answer_t *a);

/* resume.c: tokens that let any entry go on with a stream. */
typedef struct resume_token {
	char worker[ID_MAX];
	char stream[ID_MAX];
	uint32_t offset; /* next token wanted */
	uint64_t catalogue;
	uint64_t prompt_hash; /* hash */
} resume_token_t;
void resume_encode(
    const char *secret, const resume_token_t *t, char *out, size_t size);
bool resume_decode(const char *secret, const char *text, resume_token_t *t);

/* pages.c: what callers may read without a call. */
/** Does the view come from a controld, whole and with its catalogue? */
bool entry_view_ready(const view_t *v);
pages_t entry_pages(entry_t *en);

#endif
