/**
 * @file conn.h
 * Nonblocking connections of one thread: an epoll set, a listener, framed
 * messages in and out, bounded buffers. Inside peer/ only.
 */
#ifndef PEER_CONN_H
#define PEER_CONN_H

#include "peer/peer.h"

typedef struct net net_t;

typedef enum conn_state {
	CONN_DIALLING,
	CONN_OPEN,
	CONN_CLOSED, /* freed when the round ends */
} conn_state_t;

/** Whose connection it is; known from its Hello. */
typedef enum conn_role {
	CONN_UNIDENTIFIED,
	CONN_NODE,
	CONN_ENTRY,
} conn_role_t;

/** What has been sent over a connection and what the peer wants; relay.c */
typedef struct relay {
	uint64_t urgent_sent;	/* changes up to this have been sent */
	uint64_t stats_sent[2]; /* likewise; own domain's, others' */
	ms_t stats_due[2];
	ms_t sent_at;
	bool subscribed; /* the peer asked for figures; an entry, for views */
	uint64_t peer_catalogue; /* highest catalogue the peer told of */
} relay_t;

typedef struct conn {
	net_t *net;
	struct conn *next;
	int fd;
	conn_state_t state;
	conn_role_t role;
	bool dialled;		  /* by us */
	bool probe_only;	  /* closed as soon as it is up */
	bool refused;		  /* nobody listens there */
	bool epollout_set;	  /* EPOLLOUT is set */
	char peer[ID_MAX];	  /* member's id, once known */
	const char *close_reason; /* it was closed */
	ms_t opened_at;		  /* dialled or accepted */
	ms_t heard_at;		  /* last frame */
	uint8_t *in, *out;
	size_t in_len, in_size;
	size_t out_pos, out_len, out_size;
	handle_t handle;     /* finds it after a callback of another thread */
	bool nearer_root;    /* its member is nearer to the domain's roots */
	bool request_stats;  /* wanted from its member */
	bool unneeded;	     /* the peer said that it closes and lives on */
	ms_t unneeded_since; /* since when nobody needs it, 0: needed */
	relay_t relay;
} conn_t;

typedef struct net_opts {
	const msclock_t *clock;
	size_t frame_max;
	const char *listen;			/* "IP:port", or NULL */
	void (*on_open)(void *user, conn_t *c); /* a dialled one is up */
	/** @return true to keep the frame, which is to be freed then. */
	bool (*on_frame)(void *user, conn_t *c, Wire__Frame *f);
	/** It is gone; @p c is freed on return. */
	void (*on_close)(void *user, conn_t *c);
	void *user;
} net_opts_t;

net_t *net_new(const net_opts_t *o, err_t *e);
/** Closes everything without callbacks. */
void net_free(net_t *n);
/** Wake up for @p fd too; whoever owns it empties it. */
int net_watch(net_t *n, int fd);
/** Send what is queued, then wait up to @p span ms and handle what came. */
void net_poll(net_t *n, ms_t span);
/** @return NULL if it can't even be begun. */
conn_t *net_dial(net_t *n, const char *addr);
/** Queue a frame. @return false: closed, or closed now for being slow. */
bool conn_send(conn_t *c, const Wire__Frame *f);
/** Close at the end of the round; @p why goes into the log. */
void conn_close(conn_t *c, const char *why);
/** What went over all connections so far; any thread may look. */
typedef struct net_stats {
	uint64_t in_frames, in_bytes, out_frames, out_bytes;
} net_stats_t;
void net_stats(const net_t *n, net_stats_t *s);
conn_t *net_first(net_t *n);
/** @return the connection, or NULL if it is closed by now. */
conn_t *net_find(net_t *n, handle_t h);

#endif
