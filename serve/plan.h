/**
 * @file plan.h
 * Placement of models and adapters by the instance that holds the lease: the
 * lease (lease.c), what to order (plan.c), and sending orders to endpoints and
 * tracking their results (dispatcher.c).
 */
#ifndef PLAN_H
#define PLAN_H

#include "serve/serve.h"
#include "policy/assign.h"
#include "policy/leadership.h"

enum {
	LOAD_HISTORY_SIZE = 256, /* loads of weights that are remembered */
	LOADS_KEPT = 8,
};

/** What is kept of a model from round to round. */
typedef struct plan_model {
	double interest; /* tokens per second, moving average */
	ms_t interest_at;
	ms_t missing_since; /* asked for, without a copy; 0: it isn't */
	ms_t ready_at;	    /* expected then; 0: not known */
} plan_model_t;

/** Sends orders to one endpoint, one at a time, and tracks their results. */
typedef struct dispatcher {
	serve_t *s;
	ep_t *ep;
	int64_t started_at;  /* of the process to which order_count belongs */
	int64_t order_count; /* accepted by it, as far as is known */
	http_request_t *request;
	/* The order in progress. */
	char model[ID_MAX], adapter[16];
	bool load;
	ms_t sent_at;
	ms_t asked_at;		  /* the request in progress, or the last one */
	int64_t asked_started_at; /* the incarnation known then */
	ms_t done_at;		  /* last answer or timeout */
	/* The model for which room is being made here, and since when. */
	char room_for[ID_MAX];
	ms_t room_since;
	struct {
		char model[ID_MAX];
		ms_t at;
	} loaded[LOADS_KEPT]; /* the last loads of models that we ordered */
	int nloaded;
	/* A load without an answer may still be carried out until then. */
	char uncertain_model[ID_MAX], uncertain_adapter[16];
	ms_t uncertain_until;
	bool need_report; /* before the next order */
	ms_t busy_until;
	ms_t retry_at; /* after a refusal */
} dispatcher_t;

struct plan {
	serve_t *s;
	leadership_t leadership;
	alarm_t timer;
	http_request_t *lease_request;
	ms_t lease_sent_at, lease_check_at;
	http_request_t *versions_request;
	ms_t versions_sent_at;
	ms_t unstored_since; /* a software version isn't stored; 0: all are */
	bool said_unable;
	bool acquiring;
	GHashTable *dispatchers; /* by ep_t */
	GHashTable *models;	 /* plan_model_t by name, by service */
	ms_t round_at;		 /* the last round */
	/* Ring of the times of loads from the weight store. */
	ms_t load_at[LOAD_HISTORY_SIZE];
	int nload;
	ms_t holder_since;
	ms_t logged_at;
	bool run_pending;
};

/** Read the lease, and with it the history of versions. */
void lease_read(plan_t *p);
/** Renew the lease, try to acquire it, or read who holds it. */
void lease_update(plan_t *p);
/** @return whether an order may be sent now; reads the clock */
bool lease_may_order(plan_t *p);
/** Tell instances that asked for missing models when these will be loaded. */
void plan_send_waits(plan_t *p);
/** Give up the lease if it is held. */
void lease_release(plan_t *p);

/** @return the endpoint's dispatcher, made if it has none */
dispatcher_t *dispatcher_get(plan_t *p, ep_t *ep);
/** Require a report if the entry doesn't show earlier orders in time. */
void dispatcher_check_entry(dispatcher_t *d);
/** @return whether an order may be sent to the endpoint now */
bool dispatcher_idle(const dispatcher_t *d);
/**
 * Send an order unless the lease doesn't allow it.
 * @param adapter "": the model itself
 * @param why for the log
 */
void dispatcher_send_order(plan_t *p, dispatcher_t *d, bool load,
    const char *model, const char *adapter, const char *why);
/** Ask the endpoint what it holds, unless it is too early. */
void dispatcher_request_report(dispatcher_t *d);
/** Replace what is known of the endpoint by a report newer than that. */
void ep_apply_report(ep_t *p, const endpoint_report_t *r, ms_t now);
/** @return MB of weights that are or may become loaded at the endpoint */
double dispatcher_memory_mb(const dispatcher_t *d);
/** @return adapter slots that are or may become used */
int dispatcher_adapter_count(const dispatcher_t *d);
/**
 * @return whether another adapter must not be unloaded now: an unload was just
 * ordered, or @p max_pending (at least one) unloads wait for calls that use the
 * adapter
 */
bool dispatcher_adapter_unload_pending(const dispatcher_t *d, int max_pending);
/** @return whether it was loaded too recently to be unloaded */
bool dispatcher_recently_loaded(
    const dispatcher_t *d, const char *model, const char *adapter);
/** @return ms until a model has stayed for @p stay since it was loaded */
ms_t dispatcher_stay(const dispatcher_t *d, const char *model, ms_t stay);
/** @return whether an accepted load of it isn't done */
bool dispatcher_loading(
    const dispatcher_t *d, const char *model, const char *adapter);
/** @return whether an ordered unload of the model may not be done */
bool dispatcher_unloading(const dispatcher_t *d, const char *model);

#endif
