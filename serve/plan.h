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
	LOADS_KEPT = 256 /* more than any window allows */
};

/** Orders of this holder to one endpoint. */
typedef struct desk {
	serve_t *s;
	ep_t *ep;
	int64_t born;	/* of the process that `orders` counts for */
	int64_t orders; /* that it has taken, as far as is known */
	http_request_t *call;
	/* The order that is on its way. */
	char model[ID_MAX], adapter[16];
	bool load;
	ms_t sent;
	ms_t done; /* the last one's answer came, or was given up */
	/* Its last unload of a model makes room for this one. */
	char room_for[ID_MAX], gave[ID_MAX];
	/* A load whose fate isn't known may still land until then. */
	char doubt[ID_MAX], doubt_adapter[16];
	ms_t doubt_until;
	bool ask; /* a report is needed before the next order */
	ms_t busy_until;
	ms_t wait_until; /* after a refusal */
} desk_t;

struct plan {
	serve_t *s;
	leadership_t leadership;
	alarm_t tick;
	http_request_t *lease_call;
	ms_t lease_sent, lease_next;
	bool said_unable;
	bool taking;
	GHashTable *desk;	  /* by ep_t */
	ms_t load_at[LOADS_KEPT]; /* from the weight store, a ring */
	int nload;
	ms_t began; /* as holder */
	ms_t told_at;
	bool wanted;
};

void lease_step(plan_t *p);
/** May an order go out at this moment? Reads the clock. */
bool lease_may_order(plan_t *p);
void lease_release(plan_t *p);

desk_t *desk_of(plan_t *p, ep_t *ep);
/** Ask for a report if the entry is silent on what was ordered. */
void desk_check(desk_t *d);
/** May it be given an order now? */
bool desk_free(const desk_t *d);
/** Give an order. @param why for the log */
void desk_order(plan_t *p, desk_t *d, bool load, const char *model,
    const char *adapter, const char *why);
void desk_report(desk_t *d);
/** A report is newer than all that is known: take over what it says. */
void desk_settle(ep_t *p, const endpoint_report_t *r, ms_t now);
/** MB that are or may come to be taken at the endpoint. */
double desk_memory(const desk_t *d);
/** Adapter places that are or may come to be taken. */
int desk_adapters(const desk_t *d);
/**
 * May no further adapter be unloaded now? One has just been told to go, or
 * @p most (at least one) wait for the calls that use them.
 */
bool desk_unloads_adapter(const desk_t *d, int most);
/** Too new to give way. */
bool desk_just_loaded(const desk_t *d, const char *model, const char *adapter);
/** A load that was taken and isn't done. */
bool desk_coming(const desk_t *d, const char *model, const char *adapter);
bool desk_going(const desk_t *d, const char *model);

#endif
