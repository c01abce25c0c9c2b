/*
 * Stand-ins of the review's scripts: the platform's store, workers, clients and
 * the platform's care of the daemons' processes, in one program on the event
 * loop. Each script is a scenario of it. All addresses are of the loopback
 * block 127.A.B.0/24, with A and B taken from the process id.
 */
#ifndef STAGE_H
#define STAGE_H

#include "net/net.h"
#include "standin/client_request.h"
#include "standin/http_server.h"

#include <glib.h>
#include <jansson.h>

enum {
	DAEMONS_MAX = 8,
	WORKERS_MAX = 16,
	LEASE_MS = 3000,
	DRAIN_MS = 2000,
	BEAT_MS = 1200,
};

extern loop_t loop;
extern bool trouble; /* false: TROUBLE=0 */

/** Write a line with the time since the start to record.txt. */
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** The case can't run: end with status 2. */
void cannot(const char *why) __attribute__((noreturn));

/* The store. store.c */

void store_open(void);
/** Away: connections are closed, and new ones refused. */
void store_stop(void);
/** Back with what it has. */
void store_start(void);
/**
 * While it is away: drop all that was written in the last @p age ms. Its
 * revisions go back, and Store-Era rises by one.
 */
void store_go_back(ms_t age);
bool store_is_up(void);
/** Show that object's spec as a number of 20 digits. */
void store_show_odd_number(const char *name);
/** Write or, with @p spec NULL, remove. Takes @p spec. @return the revision */
int64_t store_write(const char *kind, const char *name, json_t *spec);
/** @return the present spec, not to be freed, or NULL */
json_t *store_read(const char *kind, const char *name);
int64_t store_revision(void);

/* Workers. worker.c */

typedef struct worker {
	http_server_t server;
	char id[64], addr[64], service[64];
	bool engine;
	bool up;	  /* its process runs */
	bool listed;	  /* it writes its entry */
	bool leaving;	  /* its entry says draining */
	bool says_leave;  /* its answers say Server-Leaving */
	GPtrArray *holds; /* "model" or "model/adapter" */
	int64_t born;
	int orders; /* accepted in this lifetime: seq */
	int beats;
	ms_t beat_at, busy_until, work_ms;
	char coming[64]; /* model being loaded, "" none */
	/* Leave so many orders unanswered, and carry them out later. */
	int late_orders;
	ms_t late_ms;
	/* Every so many runs it loses the answer: a reset; 0: none. */
	int lose_every, since_loss;
	int ran, cut; /* requests that it ran, and that ended unanswered */
} worker_t;

typedef struct order_record {
	ms_t at;
	worker_t *worker;
	char holder[64], text[128];
	int64_t token;
	int status;
	bool exceeds; /* accepted beyond its memory */
} order_record_t;

/** A request as a worker received it. */
typedef struct run_record {
	ms_t at;
	worker_t *worker;
	char id[64];
	int status; /* 0: broken off */
} run_record_t;

extern worker_t worker[WORKERS_MAX];
extern int nworker;
extern GArray *orders, *runs; /* order_record_t, run_record_t */
extern double weights_mb;
extern int adapter_slots;

worker_t *worker_add(const char *id, const char *service, bool engine);
void worker_write_entry(worker_t *w);
/** All write their entries again, as after a loss of the store's data. */
void workers_write_again(void);
void workers_tick(void);
/** Its process ends: connections are reset. */
void worker_stop(worker_t *w);
/** It starts again under its id, and holds nothing. */
void worker_start(worker_t *w);
double model_mb(const char *model);

/* Daemons. daemon.c */

typedef struct daemon {
	char name[32], ip[32], settings[256];
	pid_t pid; /* 0: none */
	ms_t restart_at;
	bool stopping;
	int ends; /* by itself */
	int high_kb;
} daemon_t;

extern daemon_t daemon_at[DAEMONS_MAX];
extern int ndaemon, memory_mb;

void daemons_prepare(int n);
void daemon_launch(int i);
void daemons_tick(void);
void daemons_kill(void);
/** Wait until all are ready. */
void daemons_wait_ready(void);
bool daemon_ready(int i);

/* Clients. client.c */

typedef struct sent {
	char id[64], path[160];
	int daemon, status; /* status 0: no answer */
	ms_t at, ended_at;
	bool complete;
	client_request_t *request;
	bool expired;
} sent_t;

extern GPtrArray *sent; /* sent_t */
/** Send a request on a connection of its own. */
sent_t *client_send(int daemon, const char *method, const char *path,
    const char *fields, const char *body, int remaining);

/* Configuration. */
void config_write(int version);
/** @return addr, "127.A.B.host:port" */
const char *address(int host, int port);
const char *directory(void);

/** Run the event loop for @p span ms. */
void pump(ms_t span);
extern void (*traffic)(void);

#endif
