/**
 * @file plan.h
 * The holder's orders to endpoints: who holds the lease (lease.c), what is
 * sent and what came of it (orders.c), and what to order (plan.c).
 */
#ifndef PLAN_H
#define PLAN_H

#include "serve/serve.h"
#include "policy/assign.h"
#include "policy/leadership.h"

enum {
	LOAD_HISTORY_SIZE = 256 /* more than any window allows */
};

/** Orders of this holder to one endpoint. */
typedef struct dispatcher {
	serve_t *s;
	ep_t *ep;
	int64_t born;	     /* of the process that `orders` counts for */
	int64_t order_count; /* that it has taken, as far as is known */
	http_request_t *request;
	/* The order that is on its way. */
	char model[ID_MAX], adapter[16];
	bool load;
	ms_t sent_at;
	ms_t done_at; /* the last one's answer came, or was given up */
	/* Its last unload of a model makes room for this one. */
	char room_for[ID_MAX], evicted[ID_MAX];
	/* A load whose fate isn't known may still land until then. */
	char uncertain_model[ID_MAX], uncertain_adapter[16];
	ms_t uncertain_until;
	bool need_report; /* a report is needed before the next order */
	ms_t busy_until;
	ms_t retry_at; /* after a refusal */
} dispatcher_t;

struct plan {
	serve_t *s;
	leadership_t leadership;
	alarm_t timer;
	http_request_t *lease_request;
	ms_t lease_sent_at, lease_check_at;
	bool said_unable;
	bool acquiring;
	GHashTable *dispatchers;	 /* by ep_t */
	ms_t load_at[LOAD_HISTORY_SIZE]; /* from the weight store, a ring */
	int nload;
	ms_t holder_since; /* as holder */
	ms_t logged_at;
	bool run_pending;
};

void lease_update(plan_t *p);
/** May an order go out at this moment? Reads the clock. */
bool lease_may_order(plan_t *p);
void lease_release(plan_t *p);

dispatcher_t *dispatcher_get(plan_t *p, ep_t *ep);
/** Ask for a report if the entry is silent on what was ordered. */
void dispatcher_check_entry(dispatcher_t *d);
/** May it be given an order now? */
bool dispatcher_idle(const dispatcher_t *d);
/** Give an order. @param why for the log */
void dispatcher_send_order(plan_t *p, dispatcher_t *d, bool load,
    const char *model, const char *adapter, const char *why);
void dispatcher_request_report(dispatcher_t *d);
/** A report is newer than all that is known: take over what it says. */
void ep_apply_report(ep_t *p, const endpoint_report_t *r, ms_t now);
/** MB that are or may come to be taken at the endpoint. */
double dispatcher_memory_mb(const dispatcher_t *d);
/** Adapter places that are or may come to be taken. */
int dispatcher_adapter_count(const dispatcher_t *d);
/**
 * May no further adapter be unloaded now? One has just been told to go, or
 * @p most (at least one) wait for the calls that use them.
 */
bool dispatcher_adapter_unload_pending(const dispatcher_t *d, int most);
/** Too new to give way. */
bool dispatcher_recently_loaded(
    const dispatcher_t *d, const char *model, const char *adapter);
/** A load that was taken and isn't done. */
bool dispatcher_loading(
    const dispatcher_t *d, const char *model, const char *adapter);
bool dispatcher_unloading(const dispatcher_t *d, const char *model);

#endif
