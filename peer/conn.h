/**
 * @file conn.h
 * Nonblocking connections that one thread serves: an epoll set, a listener,
 * framed messages and bounded buffers. Private to peer/.
 */
#ifndef PEER_CONN_H
#define PEER_CONN_H

#include "peer/peer.h"

typedef struct net net_t;

typedef enum conn_state {
	CONN_DIALLING,
	CONN_OPEN,
	CONN_CLOSED, /* freed at the end of net_poll() */
} conn_state_t;

/** Kind of the peer, known from its Hello. */
typedef enum conn_role {
	CONN_UNIDENTIFIED,
	CONN_NODE,
	CONN_ENTRY,
} conn_role_t;

/** What has been sent over a connection and what the peer wants. relay.c */
typedef struct relay {
	uint64_t urgent_sent;	/* urgent changes up to this one are sent */
	uint64_t stats_sent[2]; /* likewise; [0] own domain, [1] others */
	ms_t stats_due[2];
	ms_t sent_at;
	bool subscribed; /* a node wants load statistics; an entry, views */
	uint64_t peer_catalogue; /* last catalogue number the peer reported */
} relay_t;

typedef struct conn {
	net_t *net;
	struct conn *next;
	int fd;
	conn_state_t state;
	conn_role_t role;
	bool dialled;	 /* by us */
	bool probe_only; /* closed once it is established */
	bool refused;	 /* connection refused */
	bool epollout_set;
	char peer[ID_MAX];	  /* member's id, once known */
	const char *close_reason; /* goes into the log */
	ms_t opened_at;		  /* time it was dialled or accepted */
	ms_t heard_at;		  /* time of the last frame */
	ms_t arrived_after;	  /* lower bound for the bytes being handled */
	bool more;		  /* the last read may have left bytes */
	uint8_t *in, *out;
	size_t in_len, in_size;
	size_t out_pos, out_len, out_size;
	handle_t handle;     /* for net_find() when an answer comes later */
	bool nearer_root;    /* the member is nearer to the domain's roots */
	bool request_stats;  /* heartbeats request load statistics */
	bool unneeded;	     /* either side announced that it closes it */
	ms_t unneeded_since; /* 0: it is needed */
	relay_t relay;
} conn_t;

typedef struct net_opts {
	const msclock_t *clock;
	size_t frame_max;
	const char *listen;			/* "IP:port", or NULL */
	void (*on_open)(void *user, conn_t *c); /* a dialled one */
	/** @return true if the callee frees the frame later. */
	bool (*on_frame)(void *user, conn_t *c, Wire__Frame *f);
	/** The connection is closed; @p c is freed on return. */
	void (*on_close)(void *user, conn_t *c);
	void *user;
} net_opts_t;

/** @return NULL and @p e on error. */
net_t *net_new(const net_opts_t *o, err_t *e);
/** Closes everything without callbacks. */
void net_free(net_t *n);
/** Let net_poll() return when @p fd is readable; the caller drains it. */
int net_watch(net_t *n, int fd);
/** Send what is queued, wait up to @p span ms and handle events. */
void net_poll(net_t *n, ms_t span);
/** Start to connect to @p addr ("IP:port"). @return NULL on failure. */
conn_t *net_dial(net_t *n, const char *addr);
/**
 * Queue a frame. A connection whose peer doesn't read is closed.
 * @return false if it is closed.
 */
bool conn_send(conn_t *c, const Wire__Frame *f);
/**
 * Close the socket; on_close() follows in net_poll().
 * @param why constant text for the log.
 */
void conn_close(conn_t *c, const char *why);
/** Totals of all connections; any thread may read them. */
typedef struct net_stats {
	uint64_t in_frames, in_bytes, out_frames, out_bytes;
} net_stats_t;
void net_stats(const net_t *n, net_stats_t *s);
/** @return the head of the list of connections, or NULL. */
conn_t *net_first(net_t *n);
/** @return the connection, or NULL if it has been closed. */
conn_t *net_find(net_t *n, handle_t h);

#endif
