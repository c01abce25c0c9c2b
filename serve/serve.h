/**
 * @file serve.h
 * One instance: callers' calls go to endpoints, what the store says is
 * followed, and one instance at a time orders what endpoints hold. All of it
 * runs on one thread's event loop.
 */
#ifndef SERVE_H
#define SERVE_H

#include "net/net.h"
#include "platform/platform.h"
#include "policy/breaker.h"
#include "policy/retries.h"
#include "policy/workload.h"

#include <glib.h>
#include <time.h>

typedef struct serve serve_t;
typedef struct call call_t;

/** Did it happen (0: never) less than @p span ms ago? */
static inline bool
is_recent(ms_t at, ms_t now, ms_t span)
{
	return at != 0 && now - at < span;
}

/* Endpoints. fleet.c */

/** A connection to an endpoint. */
typedef struct ep_conn {
	serve_t *s;
	struct ep *ep;
	link_t *link;
	handle_t call; /* 0: idle */
	ms_t idle_since;
	ms_t idle_timeout;    /* the endpoint closes it after, -1: unknown */
	bool unused;	      /* carried nothing yet */
	bool discarding;      /* an answer to another call goes by */
	bool tainted;	      /* one went by: not kept */
	struct ep_conn *next; /* of the idle ones, latest first */
} ep_conn_t;

enum {
	KNOWN_ORDERS_MAX = 24,
	TRIED_MAX = 8,
	QUEUE_LOOKS = 256,	 /* waiting calls tried in one go */
	RETRY_ELSEWHERE_MS = 50, /* another instance can take it at once */
	FULL_RETRY_MS = 500,	 /* to come back when the instance is full */
	ENTRY_RETURN_MS =
	    2500, /* an entry lost in an outage may come back so late */
};

/** A plain endpoint queues a few calls, so many times its slots. */
static const double plain_queue_factor = 2;

/** An order that an endpoint took and its entry may not show yet. */
typedef struct known_order {
	int64_t order_count; /* the endpoint's count with it, 0: not known */
	char model[ID_MAX];
	char adapter[16]; /* "": the model itself */
	bool load;
	bool confirmed; /* it was done with the endpoint's answer */
	bool shown;	/* an entry from after it has shown the load */
	bool reloaded; /* unloaded shortly before: entries may show that time */
	ms_t effective_at; /* when it is carried out, by estimate */
} known_order_t;

enum {
	PREFIX_SLOTS = 512 /* power of two; prompts' parts remembered */
};

/** A prompt's part that was sent to an endpoint. */
typedef struct sent_prefix {
	uint64_t key;
	ms_t sent_at;
} sent_prefix_t;

/** An endpoint as this instance knows it. */
typedef struct ep {
	endpoint_entry_t entry;
	int64_t revision; /* of the entry */
	struct sockaddr_in sa;
	uint64_t hash;
	uint32_t tag;		  /* of its hash, as instances name it */
	bool listed;		  /* its entry stands in the store */
	ms_t entry_read_at;	  /* when the entry was read last */
	ms_t entry_written_after; /* and was written at the earliest */
	ms_t missing_at; /* not in the store since, may come back; 0: no */
	ms_t removed_at;
	ms_t leaving_since;  /* the store said that it leaves or is gone */
	int64_t order_count; /* that it has taken, as far as is known */
	known_order_t known[KNOWN_ORDERS_MAX];
	int nknown;
	ep_conn_t *idle;
	int nconn, nidle;
	int ncall; /* of ours on their way */
	workload_t workload;
	uint32_t sent_tokens; /* prompt tokens, by this instance, wraps */
	uint32_t domain_sent_tokens; /* by the others of its domain, wraps */
	/* Last told to other domains. */
	workload_share_t told_sum;
	uint32_t told_sum_tokens;
	breaker_t breaker;
	bool changed;	     /* its burden changed since it was told */
	bool changed_remote; /* and since other domains were told */
	sent_prefix_t prefix[PREFIX_SLOTS];
} ep_t;

typedef struct ep_table {
	ep_t **ep;
	int nep, room;
	GHashTable *by_id, *by_tag;
} ep_table_t;

void ep_table_init(ep_table_t *f);
ep_t *ep_find(const ep_table_t *f, const char *id);
ep_t *ep_find_tag(const ep_table_t *f, uint32_t tag);
/**
 * An entry was read.
 * @param written it was written then at the earliest
 * @return whether an endpoint came or changed its state
 */
bool ep_update_entry(serve_t *s, const object_t *o, ms_t written);
/** Its entry is gone. @param may_return the store was away just now */
void ep_entry_gone(
    serve_t *s, const char *id, int64_t revision, bool may_return);
/** Another instance read at @p revision that it leaves or is gone. */
void ep_peer_saw_leaving(serve_t *s, uint32_t tag, int64_t revision);
/** Forget endpoints that are long gone. */
void ep_table_purge(serve_t *s);
/** May a call be sent there, as far as its entry says? */
bool ep_usable(const ep_t *p);
/** May the entry not show it yet? */
bool ep_entry_may_lag(const ep_t *p, const known_order_t *l);
/** Is the order about just this? @param adapter "": the model itself */
bool order_is_for(
    const known_order_t *l, const char *model, const char *adapter);
/** Is @p m an unload of what @p l is about, or of its model? */
bool order_undoes(const known_order_t *m, const known_order_t *l);
/** Does the entry list it? @param adapter "": the model itself */
bool ep_entry_lists(const ep_t *p, const char *model, const char *adapter);
/** The entry was read anew: note which loads it shows. */
void ep_mark_shown(ep_t *p);
/** An order was taken. @return true if that is news */
bool ep_add_order(ep_t *p, const known_order_t *l);
/** @param adapter "": the model itself */
bool ep_holds(const ep_t *p, const char *model, const char *adapter, ms_t now);

/* Connections to endpoints. pool.c */

/**
 * Take a connection for a call. A kept one that was idle for long isn't used.
 * @return NULL if none may be had now.
 */
ep_conn_t *pool_acquire(serve_t *s, ep_t *p, call_t *c, const link_ops_t *ops);
/** Give back one that may carry another call. */
void pool_release(ep_conn_t *w);
/** Close it; what runs there is cancelled by that. */
void pool_close(ep_conn_t *w);
/** Its connection has ended by itself. */
void pool_remove(ep_conn_t *w);
/** Close the idle ones of an endpoint. */
void pool_close_idle(ep_t *p);

/* Calls. call.c, choose.c, answer.c, stream.c */

typedef enum call_state {
	CALL_WAITING,	 /* for an endpoint or for what it must hold */
	CALL_CONNECTING, /* no byte was sent */
	CALL_SENT,	 /* it may have run */
	CALL_RELAYING,	 /* the caller has part of the answer */
} call_state_t;

struct call {
	serve_t *s;
	handle_t id;
	struct caller_conn *caller; /* the caller's connection */
	call_head_t request;
	route_t route;
	char service[ID_MAX];
	const char *method;
	buf_t body;
	ms_t received_at, deadline; /* due: final answer at the latest */
	call_state_t state;
	alarm_t alarm;
	bool may_have_run;   /* it may have run somewhere */
	bool had_run_before; /* and did before this attempt */
	bool resubmitted;    /* the caller was refused before */
	int attempts;	     /* endpoints that got it */
	ep_t *tried[TRIED_MAX], *pool_full[TRIED_MAX];
	int npool_full;
	const char *wait_reason;

	/* The attempt that is on. */
	ep_t *ep;
	ep_conn_t *wire;
	ms_t sent_at, last_activity_at;
	workload_reservation_t reservation;
	struct {
		int status;
		bool authentic; /* signed, for this call, as the endpoint made
				   it */
		bool not_run, stream;
	} response;

	/* The answer. */
	int status;
	bool head_sent;		 /* its head went to the caller */
	buf_t answer_head;	 /* head, kept until it is known what to do */
	buf_t answer_body;	 /* body, or a piece of an event */
	int64_t last_event_id;	 /* that the caller has, -1: none */
	int64_t resume_event_id; /* that it had when it called */
	int nevent;
	ms_t first_at, last_event_at;
	bool queued;
	call_t *next_waiting;
};

/** A request is whole. */
void call_start(struct caller_conn *g);
/** The caller left. */
void call_caller_gone(call_t *c);
call_t *call_get(serve_t *s, handle_t id);

/* The same, for the parts of a call. */
void call_dispatch(call_t *c);
void call_finish(call_t *c, const char *outcome);
/** End with an answer of our own. @param retry ms, 0: none. */
void call_answer_error(call_t *c, int status, const char *why, ms_t retry);
/** End with what is true: failed if it may have run, else refused. */
void call_give_up(call_t *c, const char *why, ms_t retry);
/** End an answer that is under way so that it doesn't look whole. */
void call_abort_answer(call_t *c, const char *why);
/** The attempt failed. @param not_run surely */
void call_attempt_failed(call_t *c, bool not_run, const char *why);
/** Let go of the attempt's connection. */
void call_end_attempt(call_t *c, bool keep);
/** Set the alarm for what bounds its state. */
void call_set_timer(call_t *c);
void call_timer_fired(call_t *c);
bool call_idempotent(const call_t *c);
/** Idempotent, with an attempt and budget left. */
bool call_may_retry(const call_t *c);
extern const link_ops_t answer_ops;
void stream_body(call_t *c, const char *p, size_t n);
void stream_done(call_t *c, bool keep);
void answer_store_head(call_t *c, const head_t *h, int status);
/** The caller gets the endpoint's head. @param length -1: in chunks */
void answer_forward_head(call_t *c, int64_t length);
void answer_write_chunk(call_t *c, const char *p, size_t n);
void answer_write_last_chunk(call_t *c);

/* Who is served when not all can be. admit.c */

/** Urgency at the endpoint, 0 (first) to 9. */
int call_priority(const call_t *c);
/** ms after it came by which its first event must be expected. */
double call_first_event_limit(const call_t *c);
/** @return true if the caller has less patience than it began with. */
bool patience_is_reduced(serve_t *s, const route_t *r, ms_t patience);
/** Keep the usual share of failed calls. */
void failure_rate_update(serve_t *s, bool failed);
void retry_budget_add_call(serve_t *s, const char *service);
bool retry_budget_allows(serve_t *s, const call_t *c);
void retry_budget_spend(serve_t *s, const call_t *c);
void count_outcome(const call_t *c, const char *outcome);

/* Calls that wait, the most urgent first. queue.c */

void call_queue_add(call_t *c);
void call_queue_remove(call_t *c);
/** Try to send calls that wait; what they wait for may be there. */
void call_queue_dispatch(serve_t *s);
/** Look again at the end of this turn. */
void call_queue_wake(serve_t *s);
/** Prompt tokens that wait here, of one model or (NULL) of all. */
double call_queue_prompt_tokens(const serve_t *s, const char *model);
/**
 * Prompt tokens of the same model that wait before a call like this, here and,
 * by what they tell, on other instances.
 */
double call_queue_tokens_ahead(const call_t *c);
void call_queue_init(serve_t *s);

/** What choose_endpoint() found. */
typedef enum choice_kind {
	CHOICE_SEND,
	CHOICE_WAIT,   /* for a load or a free connection */
	CHOICE_REFUSE, /* can't be served in time */
	CHOICE_NONE,   /* no endpoint of the service is left to try */
} choice_kind_t;

typedef struct choice {
	choice_kind_t kind;
	ep_t *ep;
	ms_t first_ms;	     /* predicted ms to the first event */
	ms_t retry_ms;	     /* when to come back */
	int uncached_tokens; /* prompt tokens to be read */
	const char *reason;
} choice_t;

void choose_endpoint(call_t *c, choice_t *out);
/** The endpoint gets the call's prompt. */
void prefix_record(ep_t *p, const call_t *c, ms_t now);

/* Callers' connections. door.c */

typedef struct caller_conn {
	serve_t *s;
	link_t *link;
	handle_t call;
	buf_t body;
	alarm_t idle_alarm;
	int served;
	int index; /* in the list of guests */
} caller_conn_t;

int callers_listen(serve_t *s, err_t *e);
/** Answer a guest; @p extra are further header lines. */
void caller_answer(
    caller_conn_t *g, int status, const char *extra, const char *body);
/** The answer is whole: next request, or close. */
void caller_answer_done(caller_conn_t *g);
/** Close what is idle: the instance leaves. */
void callers_drain(serve_t *s);

/* Pages for callers, the platform and operators. pages.c */

int pages_open(serve_t *s, err_t *e);

/* The store. follow.c and webcall.c */

/** One request to the store or, for orders and reports, to an endpoint. */
typedef struct http_request http_request_t;
typedef void http_request_fn(
    void *arg, int status, const char *text, size_t len);

/** One kind that is listed, then watched. */
typedef struct store_watch {
	serve_t *s;
	kind_t kind;
	http_request_t *call;
	alarm_t alarm;
	int64_t as_of;		  /* 0: to be listed */
	int64_t changed_revision; /* store's revision at the last change seen */
	ms_t rewatch_at;	  /* when it was asked anew for that */
	int64_t
	    peer_revision; /* others have seen a change at this revision, ... */
	ms_t peer_revision_at; /* ... first heard then */
	ms_t fresh_watch_at;   /* last watch that no old copy may answer */
	int rewatches;	       /* since the last answer */
	bool allow_stale;   /* the watch that is on may be answered from an old
			       copy */
	bool require_fresh; /* others have seen more: no old answer will do */
	bool listing;
	char list_after[ID_MAX];
	GHashTable *listed_names; /* names in the list that is being read */
	int failures;
	ms_t answered_at;   /* last answer */
	ms_t watch_timeout; /* of the watch that is on */
	ms_t requested_at;
	ms_t written_after; /* what it tells was written then at the earliest */
	bool lost;
	ms_t first_listed_at; /* first whole list, 0: never */
	ms_t regained_at;     /* answers came again after an outage, 0: never */
} store_watch_t;

void store_watch_start(store_watch_t *f, serve_t *s, kind_t k);
/** Do others watch this kind more closely for us? */
bool store_watch_is_relayed(const store_watch_t *f);
/** The store was away just now: what it lacks may be written again. */
bool store_watch_in_recovery(const store_watch_t *f, ms_t now);
/** We order endpoints now: no old answer will do. */
void store_watch_require_fresh(store_watch_t *f);
/** What an answer tells at @p now was written then at the earliest. */
ms_t store_watch_written_after(const store_watch_t *f, ms_t now);
/** Another instance saw a change at @p news: a watch may have missed it. */
void store_watch_peer_revision(store_watch_t *f, int64_t news);
/**
 * Send @p request, which is emptied.
 * @param fn told once, later: status 0 means that no answer came
 */
http_request_t *http_request_send(serve_t *s, const struct sockaddr_in *to,
    buf_t *request, ms_t span, http_request_fn *fn, void *arg);
/** Let go: fn isn't called. */
void http_request_cancel(http_request_t *c);

/* Other instances. peers.c */

enum {
	ANNOUNCED_ORDERS_MAX = 48,
	/* So many know each other by domain: bytes between these cost. */
	DOMAIN_RELAY_MIN_PEERS = 16,
};

typedef struct peer_share {
	ep_t *ep;
	workload_share_t share;
	uint32_t sent_tokens;
	bool in_full_digest; /* in the last whole digest */
} peer_share_t;

typedef struct peer {
	char instance[ID_MAX];
	char ip[ADDR_MAX];
	char domain[ID_MAX];
	char caller_addr[ADDR_MAX];
	int cpu_millis; /* thousandths of a core, 0: not known */
	struct sockaddr_in sa;
	uint64_t hash; /* of its name */
	uint32_t incarnation;
	uint32_t sequence; /* of its last datagram */
	bool ready, leaving, holder, goodbye;
	bool lost_store;    /* has lost the store */
	int queued_tokens;  /* prompt tokens of calls that wait there */
	ms_t last_heard_at; /* 0: never */
	ms_t known_at;
	int64_t revision;  /* of its object, 0: none */
	bool in_workload;  /* its shares are in the burdens */
	GHashTable *share; /* peer_share_t by ep_t */
	GArray *demand;	   /* demand_told_t */
} peer_t;

/** Work that another instance's callers ask for. */
typedef struct peer_demand {
	char service[ID_MAX];
	char model[ID_MAX];
	char adapter[ID_MAX];
	double work;
	bool waiting, all_tried;
	ms_t received_at;
} peer_demand_t;

/** An order that was taken, to be told for a while. */
typedef struct announced_order {
	uint32_t endpoint_tag; /* its tag */
	known_order_t order;
	ms_t accepted_at;
	bool announced; /* at least once */
} announced_order_t;

typedef struct peers {
	watch_t watch;
	peer_t **peer;
	int npeer, room;
	GPtrArray *domain_sums; /* peer_t: other domains as one each */
	alarm_t heartbeat_alarm, share_alarm, sum_alarm;
	int sum_count;	      /* sums told */
	int64_t own_revision; /* revision of our own, 0: not written */
	http_request_t *own_write;
	uint64_t hash; /* of our own name */
	uint32_t incarnation;
	uint32_t sequence;
	ms_t shares_sent_at; /* shares went out last */
	int heartbeat_count;
	announced_order_t announced_orders[ANNOUNCED_ORDERS_MAX];
	int nannounced_orders;
	/* To be told at the end of this turn. */
	bool orders_due, demand_due, shares_due, state_due;
	ms_t demand_sent_at;
} peers_t;

int peers_open(serve_t *s, err_t *e);
void peers_store_object(serve_t *s, const object_t *o);
/** Those not among the names in the store are forgotten when silent. */
void peers_remove_missing(serve_t *s, GHashTable *names);
void peers_forget(serve_t *s, const ep_t *p);
/** What we have at an endpoint changed. */
void peers_load_changed(serve_t *s, ep_t *p);
/* What is told to them. tell.c */

enum {
	DATAGRAM_MAX = 8192, /* bytes */
	KV_UNIT_TOKENS = 16, /* tokens; shares of memory are told in it */
};

void digests_init(serve_t *s);
/** A sign of life, with what changed. */
void send_heartbeat(serve_t *s);
/** Demand, to the holder. @param all or only what calls wait for */
void send_demand(serve_t *s, bool all);
/** Tell all at once: our state has changed. */
void send_full_digest(serve_t *s);
/** We end. */
void send_goodbye(serve_t *s);
/** An endpoint took an order of ours: let all know. */
void peers_order_accepted(serve_t *s, ep_t *p, const known_order_t *l);
/** What was gathered in this turn goes out. */
void digests_flush(serve_t *s);
/** Instances that live, this one included. */
int peers_alive(const serve_t *s);
bool peer_alive(const serve_t *s, const peer_t *p);
/** Is it of our failure domain? */
bool peer_same_domain(const serve_t *s, const peer_t *p);
/** Another instance that tells other domains of its own, NULL: none. */
peer_t *domain_relay(const serve_t *s, const char *domain);
/** Do we tell other domains of ours? */
bool is_domain_relay(const serve_t *s);
/** Pass a datagram on to our domain. */
void send_within_domain(serve_t *s, const uint8_t *bytes, size_t n);
/** Thousandths of a core that this instance may use. */
int own_cpu_share(const serve_t *s);
/** Is an instance known that may use more? */
bool has_stronger_peer(const serve_t *s);
/** Instances that live, don't leave and come before this one. */
int peers_ranked_before(const serve_t *s);
/**
 * Those of them that can watch the store for this one: they reach it and,
 * where instances are many, are of its domain.
 */
int watchers_ranked_before(const serve_t *s);
/** Has this instance lost the store? */
bool store_lost(const serve_t *s);

/* Demand by model and adapter. demand.c */

typedef struct demand {
	char service[ID_MAX];
	char model[ID_MAX];
	char adapter[ID_MAX];
	double work;	   /* tokens a second, this instance's, decayed */
	ms_t decayed_at;   /* of the last decay */
	ms_t last_call_at; /* last call */
	ms_t waiting_at;   /* last call that found none, 0: none */
	ms_t all_tried_at; /* last call that had tried all, 0: none */
} demand_t;

void demand_add_call(serve_t *s, const call_t *c);
demand_t *demand_find(
    serve_t *s, const char *service, const char *model, const char *adapter);
double demand_rate(const serve_t *s, const demand_t *d);

/* Orders to endpoints. plan.c, lease.c */

typedef struct plan plan_t;
plan_t *plan_new(serve_t *s);
/**
 * A call waits for something that no endpoint holds.
 * @param further it has tried all that hold it
 */
void plan_request(serve_t *s, const call_t *c, bool all_tried);
bool plan_is_holder(const serve_t *s);
/** May others rely on this holder? */
bool plan_holder_valid(const serve_t *s);
/** Revision of our last renewal, 0: none. */
int64_t plan_lease_revision(const serve_t *s);
/** Another instance, the holder, tells its own. */
void plan_peer_renewed(serve_t *s, int64_t revision);
void plan_forget_endpoint(serve_t *s, const ep_t *p);
/** Others wait for something: look at once. */
void plan_run_soon(serve_t *s);
void plan_run_if_due(serve_t *s);
void plan_release(serve_t *s);

struct serve {
	loop_t loop;
	site_t site;
	const char *site_path;
	config_t *config;
	ms_t config_read_at;
	bool ready, leaving;
	ms_t leaving_since;
	ms_t started_at;      /* start of the process */
	ms_t watch_broken_at; /* when a watch was cut last */
	ms_t ep_added_at;     /* when an endpoint came last */
	ep_table_t endpoints;
	table_t *calls; /* of call_t * */
	call_t *wait_queue;
	bool queue_woken;
	alarm_t queue_alarm;
	workload_limits_t bounds;
	workload_cost_weights_t weights;
	caller_conn_t **caller;
	int ncaller, caller_room;
	store_watch_t config_watch, endpoints_watch, instances_watch;
	struct sockaddr_in store;
	peers_t peers;
	plan_t *plan;
	watch_t caller_listener;
	watch_t signals;
	alarm_t settings_alarm, drain_alarm;
	struct timespec site_mtime;
	rng_t rng;
	GHashTable *retries;	  /* retries_t by service */
	GHashTable *max_patience; /* longest patience seen, by route */
	GHashTable *demand;	  /* demand_t by service, model, adapter */
	workload_average_t average_speed;
	double failure_rate; /* share of calls */
	histo_t first_ms, whole_ms;
};

serve_t *serve_new(const char *path, err_t *e);
void serve_run(serve_t *s);
/** Configuration, endpoints or instances changed. */
void serve_state_changed(serve_t *s);
/** Stop as soon as the calls in progress are done. */
void serve_drain(serve_t *s);
void serve_reload(serve_t *s, const char *why);
/** Bring gauges up to date. */
void update_gauges(serve_t *s);
/** Print a histogram in Prometheus's text form. */
void histogram_text(
    buf_t *out, const char *name, const char *help, const histo_t *h);

/** One line about a call or a belief, bounded in number by kind. */
void log_limited(int priority, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
