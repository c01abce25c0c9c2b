/**
 * @file peer.h
 * Communication between controld and entryd processes: framing, membership,
 * relay of the catalogue and of views, slot and claim messages (wire.proto).
 */
#ifndef PEER_H
#define PEER_H

#include "base/base.h"
#include "policy/policy.h"
#include "store/platform.h"
#include "endpoint/endpoint.h"
#include "peer/wire.pb-c.h"

enum {
	WIRE_VERSION = 1
};

/* Framing. frame.c */

/** @return bytes of the frame with its length prefix. */
size_t frame_size(const Wire__Frame *f);
/**
 * Write the length (4 bytes, big-endian) and the body of a frame to @p out,
 * which has frame_size() bytes.
 * @return the bytes written.
 */
size_t frame_pack(const Wire__Frame *f, uint8_t *out);
/**
 * Parse the frame at the start of @p buf.
 * @param max largest body accepted, in bytes.
 * @param used bytes consumed, 0 if the frame is incomplete.
 * @return the frame, or NULL if it is incomplete or malformed; in the latter
 * case @p e has ERR_PROTO and the connection must be closed.
 */
Wire__Frame *frame_unpack(
    const uint8_t *buf, size_t len, size_t max, size_t *used, err_t *e);

/* A daemon's view of the system: soft state. view.c */

/** Workers of a service and domain that one member brokers. */
typedef struct shard {
	char service[ID_MAX];
	char domain[ID_MAX];
	uint32_t index;
	char broker[ID_MAX];	    /* by rendezvous hashing of live members */
	int first, n;		    /* its range of view->wire->worker */
	const Wire__Digest *digest; /* or NULL */
	ms_t digest_at;		    /* monotonic time of its arrival */
} shard_t;

/** An immutable, reference-counted snapshot; any thread may read it. */
typedef struct view {
	Wire__View *wire; /* members, workers (sorted), digests */
	shard_t *shard;
	int nshard;
	catalogue_t *catalogue;
	/* the messages in wire if other views share them, else NULL */
	struct msg **shared_msgs;
	int nshared_msgs;
	int refs;
} view_t;

/**
 * Create a view and divide its workers into shards. Members that are gone or
 * leaving can't be brokers.
 * @param wire owned by the view from now on.
 * @param c the view takes a reference.
 */
view_t *view_new(Wire__View *wire, catalogue_t *c, int shard_workers, ms_t now);
/** Take a reference. @return @p v */
view_t *view_ref(view_t *v);
/** Drop a reference; @p v may be NULL. Any thread. */
void view_unref(view_t *v);
/** @return the member of that id, or NULL. */
const Wire__Member *view_member(const view_t *v, const char *id);
/** @return the worker of that id, or NULL. */
const Wire__Worker *view_worker(const view_t *v, const char *id);
/**
 * @return the shard's broker of that rank (0: shard->broker), or NULL. A slot
 * request to a higher rank lists in SlotRequest.tried_brokers the brokers that
 * didn't answer.
 */
const Wire__Member *view_broker(const view_t *v, const shard_t *s, int rank);
/**
 * @return the live member that is responsible for a claims bucket, by
 * rendezvous hashing, or NULL. @p rank above 0: its substitutes.
 */
const Wire__Member *view_claim_owner(
    const view_t *v, const char *key, int rank);

/* controld's node: a thread that owns all soft state. node.c */

typedef struct node node_t;

typedef struct node_opts {
	const settings_t *settings;
	const msclock_t *clock;
	audit_t *audit;
	claims_t *claims; /* its done() must be node_claim_done */
} node_opts_t;

/** Start a node and its thread. @return NULL and @p e on error. */
node_t *node_new(const node_opts_t *o, err_t *e);
/** Stop the thread; @p n may be NULL. Peers aren't told. */
void node_free(node_t *n);
/** @return the current view, to be released by the caller. Any thread. */
view_t *node_view(node_t *n);
/** Pass what was read from the platform to the node. Any thread. */
void node_set_catalogue(node_t *n, catalogue_t *c);
void node_set_instances(node_t *n, const instances_t *l);
/**
 * Pass the release note that turned catalogue @p base into the next one, so
 * that peers get the note instead of the whole catalogue. Any thread.
 */
void node_set_note(node_t *n, uint64_t base, const char *text, size_t len);
/** Is this node a root of its domain, which watches the platform? */
bool node_is_root(node_t *n);
/**
 * Set where claim requests go, or NULL: the claims thread starts after the
 * node and stops before it.
 */
void node_set_claims(node_t *n, claims_t *c);
/** @return the number of connections from its own instance's entryd. */
int node_entry_conns(node_t *n);
/** Announce that this instance is leaving. Any thread. */
void node_leave(node_t *n);
/** Have peers or the platform confirmed the catalogue and the instances? */
bool node_ready(node_t *n);
/** Callback of the claims thread; user is the node. */
claim_done_t node_claim_done;

/* entryd's client: a thread connected to the local controld and to the
 * brokers and claim owners that it sends requests to. client.c */

typedef struct client client_t;

typedef enum answer_kind {
	ANSWER_SLOT,
	ANSWER_CLAIM,
	ANSWER_SETTLED,
	ANSWER_VIEW, /* there is a new client_view() */
} answer_kind_t;

/** What the client reports through the ring of answers. */
typedef struct answer {
	answer_kind_t kind;
	uint64_t tag;
	bool down;	    /* no answer: the peer is gone or too slow */
	Wire__Frame *frame; /* NULL if down, and for a view */
} answer_t;

typedef struct client_opts {
	const settings_t *settings;
	ring_t *answers; /* of answer_t * */
} client_opts_t;

/** Start a client and its thread. @return NULL and @p e on error. */
client_t *client_new(const client_opts_t *o, err_t *e);
void client_free(client_t *c);
/** @return the current view, to be released by the caller. Any thread. */
view_t *client_view(client_t *c);
/**
 * Request a slot from member @p to; the message is copied. Exactly one answer_t
 * with @p tag follows, at the latest after @p wait ms. A broker that can't
 * grant at once first answers SLOT_QUEUED, which isn't passed on; one that
 * sends nothing for peer.ask_ms counts as down before @p wait is over.
 * @return false: the ring is full, nothing is sent.
 */
bool client_request_slot(client_t *c, uint64_t tag, const char *to,
    const Wire__SlotRequest *req, ms_t wait);
/** Likewise, for a claim. */
bool client_request_claim(client_t *c, uint64_t tag, const char *to,
    const Wire__ClaimRequest *req, ms_t wait);
/** Likewise, for the outcome of a claimed call. */
bool client_settle_claim(client_t *c, uint64_t tag, const char *to,
    const Wire__ClaimSettle *s, ms_t wait);
/** Release a slot; there is no answer. */
void client_release_slot(
    client_t *c, const char *to, const Wire__SlotRelease *r);
/** Cancel the slot requests with that request id. */
void client_cancel_slot_request(
    client_t *c, const char *to, const char *request);
/** Report this entry's calls in progress and whether it is leaving. */
void client_report_load(client_t *c, uint32_t calls, bool leaving);
void answer_free(answer_t *a);

#endif
