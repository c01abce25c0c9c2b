/**
 * @file fake_endpoint_state.h
 * The state of a fake_endpoint_t, for the files that implement it.
 */
#ifndef FAKE_ENDPOINT_STATE_H
#define FAKE_ENDPOINT_STATE_H

#include "standin/fake_endpoint.h"
#include "standin/http_server.h"

#include <jansson.h>

/** A model that is loaded, loading or unloading. */
typedef struct loaded_model {
	fake_endpoint_t *ep;
	char name[ID_MAX];
	bool loading, unloading;
	GPtrArray *adapter; /* names */
	alarm_t alarm;
} loaded_model_t;

typedef struct endpoint_conn {
	server_conn_t conn;
	executed_call_t *call;	/* in progress, or NULL */
	bool answered;		/* before its body was read */
	int ncall;		/* calls that it has carried */
	int64_t next_event;	/* id of the next event */
	bool began;		/* the run has begun to write */
	endpoint_fault_t fault; /* when the call arrived */
} endpoint_conn_t;

struct fake_endpoint {
	http_server_t server;
	char id[ID_MAX], addr[ADDR_MAX], version[ID_MAX];
	char model[ID_MAX]; /* loaded from the start, or empty */
	int64_t born;
	int entries; /* made so far */
	bool engine;
	int events, slots;
	const model_spec_t *specs;
	int nspec, weights_mb, overcommits, refused;
	void (*changed)(void *arg, fake_endpoint_t *ep);
	void *arg;
	ms_t event_gap, plain_ms;
	int event_bytes;
	int64_t silent_after; /* event, -1: none */
	ms_t silence_ms, silent_until;
	endpoint_fault_t fault;
	unsigned torn; /* heads, by ENDPOINT_TORN_HEAD */
	GPtrArray *executed, *orders;
	GPtrArray *models; /* loaded_model_t */
	int64_t seq;
	char limit[64];		   /* the header line, or empty */
	char headers[128];	   /* further header lines, or empty */
	char headers_once[128];	   /* of the next refusal, or empty */
	char control_headers[128]; /* the same, of reports and orders */
	GArray *arrivals;	   /* ms_t */
	uint64_t crash_part;	   /* 0: none */
	char crash_target[128], crash_body[128]; /* of a request, or empty */
	int64_t crash_event; /* a stream crashes it before this event */
	ms_t crash_down_ms;
	int crashes;
	bool down;
	alarm_t up_alarm;
};

static inline fake_endpoint_t *
endpoint_of(const endpoint_conn_t *c)
{
	return c->conn.server->owner;
}

extern const http_server_ops_t endpoint_server_ops;

/* Crashes. fake_crash.c */

/** The run begins or goes on. @return false: the endpoint crashed */
bool endpoint_run_goes_on(endpoint_conn_t *c);

/* Loaded models and orders. fake_orders.c */

loaded_model_t *endpoint_find_model(
    const fake_endpoint_t *ep, const char *model);
/** @return the adapter's index, -1: it isn't loaded */
int endpoint_adapter_index(const loaded_model_t *m, const char *adapter);
/** Add a model as loaded. */
loaded_model_t *endpoint_add_model(fake_endpoint_t *ep, const char *model);
/** Free a loaded_model_t; for GPtrArray. */
void endpoint_free_model(gpointer p);
/** Report a change of the set of loaded models. */
void endpoint_notify_change(fake_endpoint_t *ep);
json_t *endpoint_models_json(const fake_endpoint_t *ep);
/** Handle the order that was received on the connection. */
void endpoint_take_order(endpoint_conn_t *c);
void endpoint_send_report(endpoint_conn_t *c);

#endif
