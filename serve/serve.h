/**
 * @file serve.h
 * One instance. It forwards calls to endpoints and watches the store; the
 * instance that holds the lease also orders which models and adapters the
 * endpoints load. Everything runs in the event loop of a single thread.
 */
#ifndef SERVE_H
#define SERVE_H

#include "base/hash.h"
#include "policy/buffer_account.h"
#include "policy/liveness.h"
#include "policy/retries.h"
#include "policy/software.h"
#include "policy/stream_table.h"
#include "serve/endpoints.h"
#include "serve/store_watch.h"

#include <glib.h>
#include <time.h>

typedef struct blame_feed blame_feed_t;
struct reach_feed;

/* Calls. call.c, choose.c, answer.c, stream.c */

typedef enum call_state {
	CALL_ALLOWANCE,	 /* asking whether its organisation may send it */
	CALL_LOCATING,	 /* asking which software version began the stream */
	CALL_WAITING,	 /* for a free endpoint or a model to be loaded */
	CALL_ASKING,	 /* the instances that keep endpoints' loads */
	CALL_CONNECTING, /* no byte sent yet */
	CALL_SENT,	 /* it may have run */
	CALL_RELAYING,	 /* the answer's head was sent to the caller */
} call_state_t;

/** A question to peers which software version began a call's stream. */
typedef struct stream_lookup {
	ms_t ask_again_at, until;
	int nasked;
	uint64_t answered[8]; /* hashes of the peers that know no record */
	int nanswered;
	ms_t began_at;
	uint64_t sole;	   /* by their answers, 0: none yet */
	bool contradicted; /* one of them knows several versions */
} stream_lookup_t;

enum {
	ASKED_MAX = 2, /* endpoints at which a call asks at a time */
};

/** An endpoint at which a call asks to be sent there. */
typedef struct asked {
	ep_t *ep; /* NULL: none */
	int tokens;
	ms_t sent_at;
	bool answered, granted;
	ms_t wait, backlog; /* by the last answer */
} asked_t;

struct call {
	serve_t *s;
	handle_t id;
	struct caller_conn *caller; /* the caller's connection */
	call_head_t request;
	config_t *config; /* of the route; a reference */
	route_t route;
	const char *service;		    /* of the configuration */
	const organisation_t *organisation; /* the same; NULL: none */
	const char *method;
	buf_t body;
	size_t held;		    /* by the account of buffers */
	uint64_t fingerprint;	    /* call_fingerprint() */
	ms_t received_at, deadline; /* deadline: of the whole answer */
	ms_t arrived_at; /* later, if another instance had received it */
	call_state_t state;
	alarm_t alarm;
	bool may_have_run;   /* it may have run somewhere */
	bool had_run_before; /* the same, before this attempt */
	bool resubmitted;    /* the caller was probably refused before */
	int attempts;	     /* so far, the current one included */
	int sends;	     /* of these, may have reached an endpoint */
	bool unreached;	     /* by the last choice */
	int unmade;	     /* connections to endpoints that weren't made */
	bool from_instance;  /* another instance handed it over */
	/* Endpoints that it was sent to. */
	ep_t *tried[TRIED_MAX];
	ms_t return_at[TRIED_MAX]; /* it may return there then; 0: never */
	bool reached[TRIED_MAX];   /* the call may have reached it */
	int ntried;
	bool left_silent; /* an attempt was replaced because of silence */
	int crashes;	  /* of its endpoints, before it had begun there */
	ms_t crashed_at;  /* the last one */
	bool suspected;	  /* parts of it were suspect of other crashes then */
	bool trial;	  /* may be sent in spite of a blamed part */
	const char *wait_reason;
	const char *failure; /* of the last failed attempt, NULL: none */

	/* The current attempt. */
	ep_t *ep;
	ep_conn_t *conn;
	ms_t sent_at, last_activity_at;
	bool silent;	      /* for longer than the limit */
	bool silence_counted; /* by the circuit breaker */
	ms_t look_at;	      /* for a replacement again; 0: when silent */
	workload_reservation_t reservation;
	double token_cost; /* reference tokens a token then, 0: not paced */
	struct {
		int status;
		bool authentic; /* signed for this call, not re-encoded */
		bool not_run, stream;
		bool dropped; /* its body isn't for the caller */
	} response;
	ep_t *answered_by; /* the endpoint of the head that was read */
	/* What the instance that it went through says of itself. */
	struct {
		bool own;	/* the answer is its own, not an endpoint's */
		bool elsewhere; /* it refused what another one may take */
		uint64_t software; /* version at the endpoint */
		ms_t retry;
	} through;
	/* What was read on this attempt. */
	struct {
		int events;	     /* with an id */
		int foreign;	     /* answers to other calls */
		arrival_t dropped;   /* of bodies that aren't for the caller */
		size_t event_start;  /* of the incomplete event, after whole
					ones without an id */
		size_t event_parsed; /* no event ends before this offset */
		arrival_t event;     /* of the incomplete event */
		int stray;	     /* events without a new id */
		arrival_t strays;    /* of these, since the last new id */
	} reading;

	/* The answer. */
	int status;
	bool head_sent;		 /* the answer's head was sent to the caller */
	buf_t answer_head;	 /* head, held until the answer is forwarded */
	buf_t answer_body;	 /* held body, or an incomplete event */
	int64_t last_event_id;	 /* last one sent to the caller, -1: none */
	int64_t resume_event_id; /* last one the caller had when it called */
	int nevent;
	ms_t first_at, last_event_at;
	ms_t pause; /* longest between events of one endpoint */
	bool queued;
	call_t *next_waiting;

	struct {
		uint32_t number; /* while it asks, 0: it doesn't */
		double amount;	 /* tokens or calls */
		ms_t begun_at, asked_at;
		bool silent;	 /* its giver was found silent */
		ms_t granted_at; /* 0: not, or none is needed */
		uint64_t giver;	 /* that granted it */
	} allowance;

	/* Resumable streams. */
	uint64_t stream_id; /* hash of the attempt that began it */
	uint64_t software;  /* version that it must go on at, 0: any */
	stream_lookup_t lookup;

	struct {
		uint32_t number; /* 0: it doesn't ask */
		asked_t at[ASKED_MAX];
		ms_t begun_at, round_at, granted_at;
		ep_t *granted; /* it may be sent there now */
		int further;   /* rounds after all asked were too late */
		bool skip;     /* nobody answers: go by what is known here */
	} ask;
};

/** A request was received completely: handle it. */
void call_start(struct caller_conn *cc);
/** The caller closed its connection: cancel the call. */
void call_caller_gone(call_t *c);
/** The caller has taken all that was written: read its endpoint again. */
void call_caller_drained(call_t *c);
call_t *call_get(serve_t *s, handle_t id);

/* Internal to the files that handle calls. */
/** Result of choose_endpoint(). */
typedef enum choice_kind {
	CHOICE_SEND,
	CHOICE_WAIT,   /* for a model load or a free slot */
	CHOICE_REFUSE, /* it can't be served in time */
	CHOICE_NONE,   /* no endpoint may be tried now */
} choice_kind_t;

typedef struct choice {
	choice_kind_t kind;
	ep_t *ep;
	ms_t first_ms;	     /* predicted time to the first event */
	ms_t retry_ms;	     /* suggested delay for the caller's retry */
	int uncached_tokens; /* prompt tokens not in its cache */
	const char *reason;
	/* Some, or all, that may serve it can't be connected to. */
	bool unreached, all_unreached;
} choice_t;

void call_dispatch(call_t *c);
/** Its organisation may send the call: begin to serve it. */
void call_allowed(call_t *c);
/** Has the endpoint of this attempt surely begun to write an answer? */
bool call_began(const call_t *c);
/**
 * Find another endpoint that can take the call now, or one that it left and may
 * return to; the attempt goes on.
 * @param out the choice, or why there is none
 * @return a connection to it, or NULL
 */
ep_conn_t *call_find_replacement(call_t *c, choice_t *out);
/** End the current attempt and send the call to the replacement. */
void call_replace_attempt(call_t *c, ep_conn_t *w, const choice_t *ch);
/**
 * Left because of silence, or refused since then, and not failed otherwise: is
 * there an endpoint that the call may be sent to once more?
 */
bool call_may_return(const call_t *c);
/** The call may be sent once more to the endpoint of this attempt. */
void call_allow_return(call_t *c, ms_t at);
void call_finish(call_t *c, const char *outcome);
/**
 * End the call with an error answer made by this instance.
 * @param retry ms for Retry-After, 0: none
 */
void call_answer_error(call_t *c, int status, const char *why, ms_t retry);
/** End the call with 502 if it may have run, else with 503. */
void call_give_up(call_t *c, const char *why, ms_t retry);
/** Abort an answer under way so that the caller sees that it is incomplete. */
void call_abort_answer(call_t *c, const char *why);
/**
 * The current attempt failed: retry or end the call.
 * @param not_run the endpoint surely didn't run it
 */
void call_attempt_failed(call_t *c, bool not_run, const char *why);
/** End the current attempt. @param keep its connection may be used again */
void call_end_attempt(call_t *c, bool keep);
/** Set the timer for the earliest timeout of the current state. */
void call_set_timer(call_t *c);
void call_timer_fired(call_t *c);
bool call_idempotent(const call_t *c);
/** @return whether the endpoint may have been sent the call already */
bool call_may_have_been_sent(const call_t *c, const ep_t *p);
/**
 * @param a an answer that says that it refuses what it answers; it names the
 * call, or none
 * @return whether it can only be to this send of the call: nothing was sent on
 * the connection before, or it names the call. A call that may have been sent
 * there before goes by a new connection.
 */
bool refusal_counts(
    const call_t *c, const ep_conn_t *w, const answer_head_t *a);
/** The request of the current attempt leaves, and may run from now on. */
void call_sent(call_t *c);
/** Idempotent, with an endpoint to try or return to and retry budget left? */
bool call_may_retry(const call_t *c);
extern const http_conn_ops_t answer_ops;
/** The attempt's answer exceeds a limit: it fails, and may have run. */
void answer_is_endless(call_t *c);
/** @return bytes that the call may keep now for each of its buffers */
size_t answer_memory_share(const call_t *c, size_t max);
void stream_body(call_t *c, const char *p, size_t n);
void stream_done(call_t *c, bool keep);
void answer_store_head(call_t *c, const head_t *h, int status);
/**
 * Send the endpoint's answer head to the caller.
 * @param length of the body, -1: chunked
 */
void answer_forward_head(call_t *c, int64_t length);
void answer_write_chunk(call_t *c, const char *p, size_t n);
void answer_write_last_chunk(call_t *c);

/* Admission: priorities, time limits and retry budgets. admit.c */

/** Priority at the endpoint, 0 (most urgent) to 9. */
int call_priority(const call_t *c);
/**
 * Latest acceptable time of the first event, in ms after the call's arrival.
 */
double call_first_event_limit(const call_t *c);
/**
 * Record the remaining time of a new call.
 * @return true if it is less than the longest seen on the route, so that the
 * call was probably sent before.
 */
bool remaining_is_reduced(serve_t *s, const route_t *r, ms_t remaining);
/** Update the moving average of the share of failed attempts. */
void failure_rate_update(serve_t *s, bool failed);
void retry_budget_add_call(serve_t *s, const char *service);
bool retry_budget_allows(serve_t *s, const call_t *c);
/** May the call be sent elsewhere, and then return to where it was? */
bool retry_budget_allows_return(serve_t *s, const call_t *c);
void retry_budget_spend(serve_t *s, const call_t *c);
void count_outcome(const call_t *c, const char *outcome);

/* Calls waiting for an endpoint, the most urgent first. queue.c */

void call_queue_add(call_t *c);
void call_queue_remove(call_t *c);
/** Try to dispatch waiting calls; an endpoint may be available now. */
void call_queue_dispatch(serve_t *s);
/** Try to dispatch waiting calls at the end of this loop turn. */
void call_queue_wake(serve_t *s);
/** Prompt tokens of the calls waiting here, of one model or (NULL) of all. */
double call_queue_prompt_tokens(const serve_t *s, const char *model);
/**
 * Prompt tokens of the same model that are queued ahead of the call, here and,
 * by their digests, on other instances.
 */
double call_queue_tokens_ahead(const call_t *c);
/** @return calls of the same service and model queued ahead of the call here */
int call_queue_calls_ahead(const call_t *c);
void call_queue_init(serve_t *s);

/**
 * Ask before the call is sent, if instances are many. ask.c
 * @return false: it doesn't ask
 */
bool ask_begin(call_t *c);
void ask_timer(call_t *c);
/** Time of the next step while the call asks. */
ms_t ask_next(const call_t *c);
/** The call ends, or asks no more. */
void ask_end(call_t *c);
/**
 * The endpoints that look best for the call, also full ones, the best first.
 * @param tokens set to the prompt tokens to be processed at each
 * @return their number
 */
int choose_candidates(call_t *c, ep_t **candidate, int *tokens);
/** Choose the endpoint where the call was granted, if it still may. */
void choose_granted(call_t *c, choice_t *out);
/** @return whether the endpoint is usable and holds what the call needs */
bool choose_may_serve(const call_t *c, const ep_t *p);
/** Choose an endpoint that the call wasn't sent to yet. */
void choose_endpoint(call_t *c, choice_t *out);
/** Choose one that the call may return to, or CHOICE_WAIT. */
void choose_return(call_t *c, choice_t *out);
/** @return the endpoint's index in call_t.tried, or -1. */
int call_tried_index(const call_t *c, const ep_t *p);
/** Record that the endpoint gets the call's prompt, for its prefix cache. */
void prefix_record(ep_t *p, const call_t *c, ms_t now);

/* Which software version began a stream. streams.c */

void streams_init(serve_t *s);
/**
 * Bind a call that goes on with a stream to the software version that began it.
 * @return false if the call isn't to be dispatched: peers were asked, or it was
 * refused
 */
bool stream_bind(call_t *c);
/** The first event of a stream is forwarded. */
void stream_began(call_t *c);
/** The call's timer fired while peers were asked. */
void stream_lookup_timer(call_t *c);
/** Time of the next step while peers are asked. */
ms_t stream_lookup_next(const call_t *c);
/** The call ends: its lookup, if there is one, ends too. */
void stream_lookup_end(call_t *c);
/** An endpoint runs a version that its service wasn't seen with lately. */
void streams_version_added(serve_t *s);
/** Note the versions in use; to be called every second. */
void streams_tick(serve_t *s);
/** The instance leaves: give its records to the others. */
void streams_hand_over(serve_t *s);
/** Send the records that became due in this loop turn. */
void streams_flush(serve_t *s);
/** The lease was read: the history of versions may be longer now. */
void streams_history_read(serve_t *s, ms_t sent);
/** @return whether some service has had several versions lately */
bool streams_several_versions(const serve_t *s);

/* Callers' connections. caller_conn.c */

typedef struct caller_conn {
	serve_t *s;
	http_conn_t *http;
	handle_t call;
	bool from_instance; /* its requests are calls handed over */
	buf_t body;
	size_t held; /* by the account of buffers */
	/* The next request waits until the caller has read its answers. */
	bool unread;
	hasher_t body_hash;
	alarm_t idle_alarm;
	int served;
	int index; /* in serve_t.caller */
	bool kept; /* the answer's head, sent before the instance began to
		      leave, doesn't announce a close */
} caller_conn_t;

int callers_listen(serve_t *s, err_t *e);
/** Accept calls that other instances hand over. */
int instances_listen(serve_t *s, err_t *e);
/** Send an error answer; @p extra holds further header lines. */
void caller_answer(
    caller_conn_t *cc, int status, const char *extra, const char *body);
/**
 * Refuse a request that hasn't arrived completely, and close the connection
 * once the answer is sent.
 * @param retry_after s, 0: not given
 */
void caller_refuse(
    caller_conn_t *cc, int status, int retry_after, const char *body);
/** Close the connection at once; the caller sees that its answer is cut. */
void caller_reset(caller_conn_t *cc);
/** Close the connection at once; a request that is arriving is refused. */
void caller_drop(caller_conn_t *cc);
/** The answer was sent: read the next request, or close the connection. */
void caller_answer_done(caller_conn_t *cc);
/** End an incomplete answer so that the caller sees that it is incomplete. */
void caller_cut_answer(caller_conn_t *cc);
/**
 * The instance is leaving: close idle connections soon, and others after the
 * first answer that announces it.
 */
void callers_drain(serve_t *s);
/** @return whether a request is being received or an answer being sent */
bool callers_busy(const serve_t *s);

/* HTTP pages for callers, the platform and operators. pages.c */

int pages_open(serve_t *s, err_t *e);

/* The store. store_watch.c, http_request.c */

/** A request to the store or, for orders and reports, to an endpoint. */
typedef struct http_request http_request_t;
typedef void http_request_fn(
    void *arg, int status, const char *text, size_t len);

/* The store's era. store_era.c */

/**
 * An answer of the store arrived.
 * @param sent the era known when its request was sent, 0: none
 * @param era the era that it names, 0: none
 * @return whether it counts. In another era than it was sent in, a request may
 * have taken effect on other revisions than it meant, and its answer may be
 * lost just as well.
 */
bool store_era_accept(serve_t *s, int64_t sent, int64_t era);
/**
 * @param era of another instance, 0: it names none
 * @return whether revisions that it names are comparable to this instance's
 */
bool store_era_is_ours(const serve_t *s, int64_t era);
/** @return how long ago an entry that came back would have been removed */
ms_t store_era_settled_for(const serve_t *s);

/**
 * Send @p request, which is emptied.
 * @param span timeout in ms
 * @param fn called once, never from within; status 0: no answer; may be NULL
 */
http_request_t *http_request_send(serve_t *s, const struct sockaddr_in *to,
    buf_t *request, ms_t span, http_request_fn *fn, void *arg);
/**
 * Ask may_send(arg) when the connection is made; if it returns false, nothing
 * is sent. Must directly follow http_request_send().
 */
void http_request_check(http_request_t *c, bool (*may_send)(void *arg));
/** Pass the head of the answer to fn, with its arg. The same holds. */
void http_request_read_head(
    http_request_t *c, void (*fn)(void *arg, const head_t *h, int status));
/** Close the connection without calling fn. NULL is allowed. */
void http_request_cancel(http_request_t *c);

/* Other instances. peers.c */

enum {
	ANNOUNCED_ORDERS_MAX = 48,
	/*
	 * From this many peers on, other domains are sent sums by one relay per
	 * domain, since traffic between domains costs money.
	 */
	DOMAIN_RELAY_MIN_PEERS = LIVENESS_MANY_PEERS,
};

typedef struct peer_share {
	ep_t *ep;
	workload_share_t share;
	uint32_t sent_tokens;
	bool in_full_digest; /* it was in the last full digest */
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
	bool lost_store;       /* it has lost contact with the store */
	bool several_versions; /* it knows several of some service */
	bool keeps;	       /* it can keep endpoints' loads */
	bool gives;	       /* it can give organisations' allowances */
	int queued_tokens;     /* prompt tokens of its waiting calls */
	ms_t heartbeat; /* interval that it announced for its domain, 0: none */
	ms_t last_heard_at; /* 0: never */
	ms_t known_at;
	int64_t revision; /* of its object in the store, 0: none */
	bool in_workload; /* its shares count in ep_t.workload */
	ep_t *ep;	  /* the way through it, NULL: not used yet */
	/* Tags of what it can't connect to, see reach_tags_t. */
	GArray *unreached_service, *unreached_endpoint;
	GHashTable *share; /* peer_share_t by ep_t */
	GArray *demand;	   /* peer_demand_t */
	bool asks_waits; /* it asked for missing models since the last round */
} peer_t;

/** Demand that another instance reported. */
typedef struct peer_demand {
	char service[ID_MAX];
	char model[ID_MAX];
	char adapter[ID_MAX];
	double work;
	bool unserved, all_tried;
	ms_t received_at;
} peer_demand_t;

/** When the holder expects a model to be loaded. */
typedef struct model_wait {
	ms_t ready_at, heard_at;
} model_wait_t;

/** An accepted order, announced to peers for a while. */
typedef struct announced_order {
	uint32_t endpoint_tag; /* ep_t.tag */
	known_order_t order;
	ms_t accepted_at;
	bool announced;
} announced_order_t;

typedef struct peers {
	watch_t watch;
	peer_t **peer;
	int npeer, room;
	GPtrArray *domain_sums; /* peer_t: one per other domain */
	alarm_t heartbeat_alarm, share_alarm, sum_alarm;
	int sum_count;	      /* sum digests sent */
	int64_t own_revision; /* of our stored object; 0: none, -1: outdated */
	http_request_t *own_write;
	uint64_t hash; /* of our own instance name */
	uint32_t incarnation;
	uint32_t sequence;
	ms_t shares_sent_at;
	int ndomain;	   /* peers in our own domain, at the last heartbeat */
	ms_t heartbeat_at; /* the last one to all domains */
	int heartbeat_count; /* of these */
	announced_order_t announced_orders[ANNOUNCED_ORDERS_MAX];
	int nannounced_orders;
	/* To be sent at the end of this loop turn. */
	bool orders_due, demand_due, shares_due, state_due;
	ms_t demand_sent_at;
} peers_t;

int peers_open(serve_t *s, err_t *e);
void peers_store_object(serve_t *s, const object_t *o);
/** Forget the revisions of their objects, until these are listed again. */
void peers_in_new_era(serve_t *s);
/** Forget silent peers that aren't in the store. @param names in the store */
void peers_remove_missing(serve_t *s, GHashTable *names);
void peers_forget_endpoint(serve_t *s, const ep_t *p);
/** Our own share at an endpoint changed: send it soon. */
void peers_load_changed(serve_t *s, ep_t *p);

/* Digests sent to other instances. peer_send.c */

enum {
	DATAGRAM_MAX = 8192, /* bytes */
	KV_UNIT_TOKENS = 16, /* unit of KV memory in digests */
};

void digests_init(serve_t *s);
/**
 * Send a heartbeat digest with what changed.
 * @param to_all to all domains, or only to our own
 */
void send_heartbeat(serve_t *s, bool to_all);
/** Send demand to the holder. @param all false: only what calls wait for */
void send_demand(serve_t *s, bool all);
/** Send the full state now. */
void send_full_digest(serve_t *s);
/** Tell all peers that this instance ends. */
void send_goodbye(serve_t *s);
/** An endpoint accepted an order of ours: announce it to all peers. */
void peers_order_accepted(serve_t *s, ep_t *p, const known_order_t *l);
/** Send what became due in this loop turn. */
void digests_flush(serve_t *s);
/** @return ms between heartbeats within our domain */
ms_t domain_heartbeat_ms(const serve_t *s);
/** Number of live instances, this one included. */
int peers_alive(const serve_t *s);
bool peer_alive(const serve_t *s, const peer_t *p);
/** Was it heard so lately that a stopped one would be noticed? */
bool peer_is_fresh(const serve_t *s, const peer_t *p);
/** @return whether a list of tags has one */
bool peer_lists(const GArray *tags, uint32_t tag);
/** @return the instance that has this IP, NULL: none */
const peer_t *peer_with_ip(const serve_t *s, struct in_addr ip);
/** @return the instance that has this address, NULL: none */
const peer_t *peer_at(const serve_t *s, const struct sockaddr_in *from);
/** @return the instance whose name has this hash, NULL: none */
const peer_t *peer_by_hash(const serve_t *s, uint64_t hash);
/** Is it in our failure domain? */
bool peer_same_domain(const serve_t *s, const peer_t *p);
/**
 * The instance other than this one that sends the domain's sums to other
 * domains, NULL: none.
 */
peer_t *domain_relay(const serve_t *s, const char *domain);
/** Do we send our domain's sums to other domains? */
bool is_domain_relay(const serve_t *s);
void send_datagram(
    serve_t *s, const struct sockaddr_in *to, const uint8_t *p, size_t n);
/** Send a datagram to all peers in our domain. */
void send_within_domain(serve_t *s, const uint8_t *bytes, size_t n);
/** CPU share of this instance, in thousandths of a core. */
int own_cpu_share(const serve_t *s);
/** Is an instance known that has a greater CPU share? */
bool has_stronger_peer(const serve_t *s);
/**
 * Live instances that aren't leaving and rank before this one, by CPU share and
 * then by name.
 */
int peers_ranked_before(const serve_t *s);
/**
 * Those of them that can watch the store for this one: they reach it and, in a
 * large deployment, are in the same domain.
 */
int watchers_ranked_before(const serve_t *s);
/** Has this instance lost contact with the store? */
bool store_lost(const serve_t *s);

/* Demand by model and adapter. demand.c */

typedef struct demand {
	char service[ID_MAX];
	char model[ID_MAX];
	char adapter[ID_MAX];
	double work;	 /* decaying sum of this instance's tokens */
	ms_t decayed_at; /* time that work refers to */
	ms_t last_call_at;
	ms_t unserved_at;  /* last call that no endpoint could serve, 0: none */
	ms_t all_tried_at; /* last call that had tried all copies, 0: none */
} demand_t;

/** Count a new call in the demand for its model and adapter. */
void demand_add_call(serve_t *s, const call_t *c);
/** @return the demand, made if there is none */
demand_t *demand_find(
    serve_t *s, const char *service, const char *model, const char *adapter);
/** @return tokens a second */
double demand_rate(const serve_t *s, const demand_t *d);

/* Placement and the lease. plan.c, lease.c */

typedef struct plan plan_t;
plan_t *plan_new(serve_t *s);
/**
 * A call waits for a model or an adapter to be loaded.
 * @param all_tried it has tried every endpoint that holds it; else none does
 */
void plan_request(serve_t *s, const call_t *c, bool all_tried);
/** @return ms until a model is expected to be loaded, -1: not known */
ms_t plan_model_ready_in(
    const serve_t *s, const char *service, const char *model);
/** The holder said when a model will be loaded. */
void plan_model_wait(
    serve_t *s, const char *service, const char *model, ms_t ready_in);
/** @return whether a holder is there to be asked for a model */
bool plan_has_holder(const serve_t *s);
bool plan_is_holder(const serve_t *s);
/** @return whether this instance holds a lease that is still valid */
bool plan_holder_valid(const serve_t *s);
/** The same, by reading the clock. */
bool plan_holds_now(const serve_t *s);
/** @return revision of the last renewal, 0: not the holder */
int64_t plan_lease_revision(const serve_t *s);
/** The holder announced the revision of its last renewal. */
void plan_peer_renewed(serve_t *s, int64_t revision);
/**
 * Read the lease for the versions in it, unless that is under way; then
 * streams_history_read() is called.
 */
void plan_read_versions(serve_t *s);
/** The store has lost writes, or named its era for the first time. */
void plan_in_store_era(serve_t *s);
/** Another instance knows the first era that had a holder. */
void plan_peer_first_era(serve_t *s, int64_t era);
/** @return the first era that had a holder, as far as is known; 0: none */
int64_t plan_first_era(const serve_t *s);
void plan_forget_endpoint(serve_t *s, const ep_t *p);
/** Plan at the end of this loop turn if this instance is the holder. */
void plan_run_soon(serve_t *s);
/** Run a planning round if one is pending. */
void plan_run_if_due(serve_t *s);
/** Give up the lease: the instance is leaving. */
void plan_release(serve_t *s);

/** The state of the process. */
struct serve {
	loop_t loop;
	instance_conf_t conf;
	const char *conf_path;
	config_t *config;
	ms_t config_read_at;
	bool ready, leaving;
	ms_t leaving_since;
	ms_t started_at;
	ms_t watch_broken_at; /* last failed or expired watch */
	int64_t store_era;    /* as its last answer said, 0: it has none */
	ms_t store_era_at;    /* when it rose last, 0: not in this process */
	ms_t ep_added_at;     /* last new endpoint */
	ep_table_t endpoints;
	software_t software;
	bool software_read; /* the history in the lease, or there is none */
	stream_table_t streams;
	blame_feed_t *blame;
	struct reach_feed *reach;
	GPtrArray *retired; /* ep_t of instances that are gone */
	struct limits_feed *limits;
	struct keepers *keepers;
	struct allowances *allowances;
	buffer_account_t buffers;
	GArray *unsent_streams; /* stream_record_t, to be sent to peers */
	int nlocating;		/* calls in CALL_LOCATING */
	table_t *calls;		/* of call_t * */
	uint64_t search;	/* searches for an endpoint so far */
	call_t *wait_queue;
	bool queue_woken;
	alarm_t queue_alarm;
	workload_limits_t workload_limits;
	workload_cost_weights_t cost_weights;
	caller_conn_t **caller;
	int ncaller, caller_capacity;
	store_watch_t config_watch, endpoints_watch, instances_watch;
	struct sockaddr_in store;
	peers_t peers;
	plan_t *plan;
	watch_t caller_listener, instance_listener;
	watch_t signals;
	alarm_t settings_alarm, drain_alarm, accept_alarm;
	struct timespec conf_mtime;
	rng_t rng;
	GHashTable *retries;	   /* retries_t by service */
	GHashTable *max_remaining; /* longest remaining time seen, by route */
	GHashTable *demand;	   /* demand_t by service, model, adapter */
	GHashTable *model_waits;   /* model_wait_t by service and model */
	struct prompt_costs *prompt_costs;
	workload_average_t average_speed;
	double failure_rate; /* share of failed attempts, moving average */
	histo_t first_ms, whole_ms, pause_ms;
};

serve_t *serve_new(const char *path, err_t *e);
void serve_run(serve_t *s);
/** Update what depends on configuration, endpoints and instances. */
void serve_state_changed(serve_t *s);
/** Begin shutdown: end when the calls in progress are done. */
void serve_drain(serve_t *s);
/** @return when an instance that leaves ends the calls still open */
ms_t serve_gives_up_at(const serve_t *s);
/** Read the settings file again. @param why for the log */
void serve_reload(serve_t *s, const char *why);
/** Update the gauges. */
void update_gauges(serve_t *s);
/** Append a histogram in the Prometheus text format. */
void histogram_text(
    buf_t *out, const char *name, const char *help, const histo_t *h);

/** Write a log line, rate limited for each event name. */
void log_limited(int priority, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
