/**
 * @file endpoints.h
 * Endpoints as an instance knows them, and the connections to them.
 */
#ifndef SERVE_ENDPOINTS_H
#define SERVE_ENDPOINTS_H

#include "net/net.h"
#include "platform/platform.h"
#include "policy/breaker.h"
#include "policy/call_limit.h"
#include "policy/leaving.h"
#include "policy/reach.h"
#include "policy/retry_after.h"
#include "policy/workload.h"

#include <glib.h>

typedef struct serve serve_t;
typedef struct call call_t;

/** @return whether @p at (0: never) is less than @p span ms ago */
static inline bool
is_recent(ms_t at, ms_t now, ms_t span)
{
	return at != 0 && now - at < span;
}

/* Endpoints. endpoints.c */

/** A connection to an endpoint. */
typedef struct ep_conn {
	serve_t *s;
	struct ep *ep;
	http_conn_t *http;
	handle_t call; /* 0: idle */
	ms_t made_at;
	int64_t started_at; /* the incarnation known when it was made */
	ms_t idle_since;
	ms_t idle_timeout;    /* ms, as the endpoint says; -1: unknown */
	bool unused;	      /* it has carried no call yet */
	bool discarding;      /* reading a response to another call */
	bool tainted;	      /* such a response was read: not reused */
	struct ep_conn *next; /* idle connection, latest first */
} ep_conn_t;

enum {
	KNOWN_ORDERS_MAX = 24,
	TRIED_MAX = 8,
	QUEUE_SCAN_MAX = 256,	 /* waiting calls tried in one pass */
	RETRY_ELSEWHERE_MS = 50, /* another instance can take the call */
	FULL_RETRY_MS = 500,	 /* the instance has no room for the call */
	ENTRY_RETURN_MS =
	    2500, /* entries lost in a store outage are rewritten by then */
};

/** Calls that a plain endpoint may queue, in multiples of its slots. */
static const double plain_queue_factor = 2;

/** An order that an endpoint accepted and its entry may not show yet. */
typedef struct known_order {
	int64_t order_count; /* the endpoint's count after it, 0: unknown */
	char model[ID_MAX];
	char adapter[16]; /* "": the model itself */
	bool load;
	bool confirmed; /* the endpoint's answer said that it was done */
	bool shown;	/* an entry written later has listed the load */
	bool reloaded;	/* unloaded just before: an entry may show the earlier
			   load */
	ms_t effective_at; /* estimated time of completion */
} known_order_t;

enum {
	PREFIX_SLOTS = 512 /* prefixes kept for an endpoint; power of two */
};

/** A prompt prefix that was sent to an endpoint. */
typedef struct sent_prefix {
	uint64_t key;
	ms_t sent_at;
} sent_prefix_t;

/** What is at the other end of connections. */
typedef enum ep_kind {
	EP_DIRECT, /* an endpoint */
	EP_PEER,   /* another instance, which sends calls on to endpoints */
} ep_kind_t;

/** An endpoint as this instance knows it. */
typedef struct ep {
	ep_kind_t kind;
	endpoint_entry_t entry;
	int64_t era, revision; /* of the store, when the entry was read */
	bool told_leaving;     /* a peer read a later entry, and it leaves */
	bool passed_over;      /* an entry of a copy was older, and not used */
	int64_t latest_start;  /* of the starts that its entries have shown */
	struct sockaddr_in sa;
	uint64_t hash;	    /* of its id */
	uint32_t tag;	    /* low half of the hash; names it in digests */
	uint64_t software;  /* software_hash() of its service and version */
	bool listed;	    /* its entry is in the store */
	ms_t entry_read_at; /* when the entry was last read */
	ms_t entry_written_after; /* earliest time it can have been written */
	ms_t missing_at; /* entry missing, may be rewritten; 0: not missing */
	int64_t missing_revision; /* of the store, when that was read */
	ms_t removed_at;
	ms_t leaving_since;	/* when the store showed it leaving or gone */
	leaving_t leaving;	/* what its answers said */
	bool says_leaving;	/* that holds for the incarnation shown */
	bool said_leaving_here; /* to this instance */
	int64_t order_count;	/* accepted by it, as far as is known */
	known_order_t known[KNOWN_ORDERS_MAX];
	int nknown;
	ep_conn_t *idle;
	int nconn, nidle;
	int ncall;	     /* calls of this instance in progress */
	uint64_t no_conn_in; /* serve_t.search in which it had no connection */
	workload_t workload;
	int pace_reported; /* to this instance, in hundredths, 0: never */
	ms_t pace_reported_at;
	ms_t keeper_wait, keeper_wait_at; /* for a call, by its keeper */
	uint32_t sent_tokens; /* prompt tokens from this instance; wraps */
	uint32_t domain_sent_tokens; /* from the rest of this domain; wraps */
	/* This domain's sum as last sent to other domains. */
	workload_share_t sent_sum;
	uint32_t sent_sum_tokens;
	reach_ep_t reach;
	double connect_ms; /* a round trip, average; 0: not measured */
	breaker_t breaker;
	retry_after_t retry_after; /* when it takes calls of this instance */
	call_limit_t limit;
	int limit_sends; /* how often it is still to be sent to others */
	struct ep_permits *permits;	 /* NULL: none needed yet */
	struct crash_check *crash_check; /* in progress, or NULL */
	ms_t crash_checked_at;		 /* the last one, 0: never */
	/* The instance that keeps its load, as of keeper_at. */
	uint64_t keeper;
	bool keeper_own; /* this one does */
	ms_t keeper_at;
	bool share_unsent;   /* to that instance */
	bool changed;	     /* own share changed since it was last sent */
	bool changed_remote; /* the same, to other domains */
	sent_prefix_t prefix[PREFIX_SLOTS];
} ep_t;

/** An endpoint that another instance saw leave before its entry was read. */
typedef struct departure {
	uint32_t tag;
	int64_t era, revision; /* of the store, as it left */
} departure_t;

enum {
	DEPARTURES_MAX = 64
};

typedef struct ep_table {
	ep_t **ep;
	int nep, capacity;
	GHashTable *by_id, *by_tag;
	leaving_memory_t said_leaving; /* of endpoints that were freed */
	departure_t departure[DEPARTURES_MAX];
	int next_departure; /* the slot to be used next, the oldest */
} ep_table_t;

void ep_table_init(ep_table_t *f);
ep_t *ep_find(const ep_table_t *f, const char *id);
ep_t *ep_find_tag(const ep_table_t *f, uint32_t tag);
/**
 * Apply an entry that was read from the store.
 * @param written_after earliest time it can have been written
 * @return whether an endpoint is new or changed its state
 */
bool ep_update_entry(serve_t *s, const object_t *o, ms_t written_after);
/**
 * An entry is no longer in the store.
 * @param may_return the store is recovering, so the entry may be rewritten
 */
void ep_entry_gone(
    serve_t *s, const char *id, int64_t revision, bool may_return);
/**
 * @return whether the store came back from a copy with an entry older than what
 * is known of the endpoint. It counts only if it is still there when the entry
 * of an endpoint that has ended would have been removed.
 */
bool ep_entry_passed_over(const serve_t *s, const char *id);
/**
 * Another instance read that an endpoint leaves or is gone.
 * @param era of the store as that instance knows it, 0: none
 * @param revision of the change
 */
void ep_peer_saw_leaving(
    serve_t *s, uint32_t tag, int64_t era, int64_t revision);
/**
 * An answer to this instance says that the endpoint leaves.
 * @param started_at the incarnation known when its connection was made
 * @param made_at when that was
 */
void ep_says_leaving(serve_t *s, ep_t *p, int64_t started_at, ms_t made_at);
/** The same of an answer to another instance. */
void ep_said_leaving_elsewhere(
    serve_t *s, ep_t *p, int64_t started_at, ms_t made_at);
/** Free endpoints that were removed long ago. To be called every second. */
void ep_table_purge(serve_t *s);
/** @return whether calls may be sent to it: it is there and doesn't leave */
bool ep_usable(const ep_t *p);
/** @return whether it is there and leaves: it completes what it runs */
bool ep_leaves(const ep_t *p);
/** @return whether the entry may be too old to show the order */
bool ep_entry_may_lag(const ep_t *p, const known_order_t *l);
/**
 * @param adapter "": the model itself
 * @return whether the order loads or unloads just this
 */
bool order_is_for(
    const known_order_t *l, const char *model, const char *adapter);
/** @return whether @p m unloads what @p l names, or its model */
bool order_undoes(const known_order_t *m, const known_order_t *l);
/**
 * @param adapter "": the model itself
 * @return whether the entry lists it as loaded
 */
bool ep_entry_lists(const ep_t *p, const char *model, const char *adapter);
/** Mark the known loads that a newly read entry lists. */
void ep_mark_shown(ep_t *p);
/** Record an accepted order. @return whether it wasn't known */
bool ep_add_order(ep_t *p, const known_order_t *l);
/**
 * @param adapter "": the model itself
 * @return whether it is loaded, by the entry and the orders since
 */
bool ep_holds(const ep_t *p, const char *model, const char *adapter, ms_t now);

/* Connections to endpoints. pool.c */

/**
 * Get a connection for a call: an idle one unless it has been idle too long,
 * else a new one.
 * @return NULL if the endpoint's connection limit is reached or the connection
 * attempt failed at once.
 */
ep_conn_t *pool_acquire(
    serve_t *s, ep_t *p, call_t *c, const http_conn_ops_t *ops);
/** The same, always a new connection. */
ep_conn_t *pool_connect(
    serve_t *s, ep_t *p, call_t *c, const http_conn_ops_t *ops);
/** Return a connection that may carry another call to the idle ones. */
void pool_release(ep_conn_t *w);
/** Close a connection; the endpoint then cancels the call that runs on it. */
void pool_close(ep_conn_t *w);
/** Remove a connection that has ended by itself. */
void pool_remove(ep_conn_t *w);
/** Close an endpoint's idle connections. */
void pool_close_idle(ep_t *p);

#endif
