/**
 * @file peer.h
 * Our own processes talking to each other: framing, membership, the relay of
 * catalogue and views, slot and claim messages (wire.proto).
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

/* Framing and connections. conn.c; used by one thread. */

/** Append the frame's length (4 bytes, big-endian) and body to a buffer. */
size_t frame_size(const Wire__Frame *f);
size_t frame_pack(const Wire__Frame *f, uint8_t *out);
/**
 * Take one frame off the front of @p buf.
 * @param used bytes taken, 0 if the frame isn't whole yet.
 * @return the frame, or NULL; on error @p e has PROTO: close the connection.
 */
Wire__Frame *frame_unpack(
    const uint8_t *buf, size_t len, size_t max, size_t *used, err_t *e);

/* What a daemon knows of the system, soft. view.c */

typedef struct shard {
	char service[ID_MAX];
	char domain[ID_MAX];
	uint32_t index;
	char broker[ID_MAX];	    /* by rendezvous among live members */
	int first, n;		    /* workers in view->worker */
	const Wire__Digest *digest; /* or NULL */
	ms_t digest_at;		    /* monotonic, when it came */
} shard_t;

/** An immutable snapshot, counted; any thread may read one it holds. */
typedef struct view {
	Wire__View *wire; /* members, workers (sorted), digests */
	shard_t *shard;
	int nshard;
	catalogue_t *catalogue;
	struct msg *
	    *shared_msgs; /* messages shared with other views, or NULL */
	int nshared_msgs;
	int refs;
} view_t;

/**
 * Makes shards of the workers; takes @p wire over, refs @p c. Members that
 * are gone don't count as brokers.
 */
view_t *view_new(Wire__View *wire, catalogue_t *c, int shard_workers, ms_t now);
view_t *view_ref(view_t *v);
void view_unref(view_t *v);
const Wire__Member *view_member(const view_t *v, const char *id);
const Wire__Worker *view_worker(const view_t *v, const char *id);
/**
 * The shard's broker of that rank (0: shard->broker), or NULL. Whoever asks
 * one of a higher rank names in SlotAsk.tried those that gave no answer.
 */
const Wire__Member *view_broker(const view_t *v, const shard_t *s, int rank);
/** The member that owns a claims bucket: first live one by rendezvous. */
const Wire__Member *view_claim_owner(
    const view_t *v, const char *key, int rank);

/* controld's node: one thread that owns all soft state. node.c */

typedef struct node node_t;

typedef struct node_opts {
	const settings_t *settings;
	const msclock_t *clock;
	audit_t *audit;
	claims_t *claims; /* asks go here; its done() is node_claimed */
} node_opts_t;

node_t *node_new(const node_opts_t *o, err_t *e);
void node_free(node_t *n);
/** A snapshot of what it knows; the receiver unrefs it. Any thread. */
view_t *node_view(node_t *n);
/** Hand in what a watch or read of the platform gave. Any thread. */
void node_set_catalogue(node_t *n, catalogue_t *c);
void node_set_instances(node_t *n, const instances_t *l);
/** Hand in a catalogue's note too, so that it is relayed as a delta. */
void node_set_note(node_t *n, uint64_t base, const char *text, size_t len);
/** Is this node one that holds the platform's watch for its domain? */
bool node_is_root(node_t *n);
/** The claims thread comes after the node it answers, and goes before it. */
void node_set_claims(node_t *n, claims_t *c);
/** Connections that its own instance's entryd has to it now. */
int node_entry_conns(node_t *n);
/** Say we are leaving; entries and brokers are told. */
void node_leave(node_t *n);
/** Ready: has peers or platform confirmed catalogue and list? */
bool node_ready(node_t *n);
/** The claims thread's callback; user is the node. */
claim_done_t node_claim_done;

/* entryd's client: one thread, connected to the local controld and to the
 * brokers and claim owners it asks. client.c */

typedef struct client client_t;

typedef enum answer_kind {
	ANSWER_SLOT,
	ANSWER_CLAIM,
	ANSWER_SETTLED,
	ANSWER_VIEW, /* a new view is there: client_view() */
} answer_kind_t;

typedef struct answer {
	answer_kind_t kind;
	uint64_t tag;
	bool down;	    /* no answer came: peer gone or too slow */
	Wire__Frame *frame; /* SLOT, CLAIM; freed by answer_free() */
} answer_t;

typedef struct client_opts {
	const settings_t *settings;
	ring_t *answers; /* of answer_t * */
} client_opts_t;

client_t *client_new(const client_opts_t *o, err_t *e);
void client_free(client_t *c);
view_t *client_view(client_t *c);
/**
 * Ask member @p to; each gives exactly one answer. Frames are copied.
 * A broker that can't grant at once answers SLOT_QUEUED first: the client
 * keeps that to itself, and only a broker silent for peer.ask_ms counts as
 * down before @p wait is over.
 * @return false: ring full, nothing sent.
 */
bool client_ask_slot(client_t *c, uint64_t tag, const char *to,
    const Wire__SlotAsk *ask, ms_t wait);
bool client_ask_claim(client_t *c, uint64_t tag, const char *to,
    const Wire__ClaimAsk *ask, ms_t wait);
bool client_settle_claim(client_t *c, uint64_t tag, const char *to,
    const Wire__ClaimSettle *s, ms_t wait);
/** No answer. */
void client_release_slot(
    client_t *c, const char *to, const Wire__SlotRelease *r);
void client_cancel_ask(client_t *c, const char *to, const char *request);
/** Tell the local controld this entry's load, and that it leaves. */
void client_report_load(client_t *c, uint32_t calls, bool leaving);
void answer_free(answer_t *a);

#endif
