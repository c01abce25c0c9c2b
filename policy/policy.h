/**
 * @file policy.h
 * Decisions. No I/O, no threads; the time is passed in. Everything here can
 * be called from a test table.
 */
#ifndef POLICY_H
#define POLICY_H

#include "base/base.h"

/* The catalogue: what the note in force makes. catalogue.c, note.c */

typedef struct model {
	char name[ID_MAX];
	char service[ID_MAX];
	uint64_t version;
	uint32_t memory_mb; /* weights and working set, on each worker */
	uint32_t copies_min;
	bool resumable; /* may be continued from prompt + answer */
} model_t;

typedef struct adapter {
	char name[ID_MAX];
	char model[ID_MAX];
	uint64_t version;
	uint32_t memory_mb;
} adapter_t;

/** Immutable once published: made whole, shared, counted. */
typedef struct catalogue {
	uint64_t number;
	char note_id[ID_MAX];
	model_t *model; /* sorted by name */
	int nmodel;
	adapter_t *adapter; /* sorted by name */
	int nadapter;
	char (*withdrawn)[ID_MAX]; /* sorted; answered 410 */
	int nwithdrawn;
	int refs;
} catalogue_t;

/** An empty catalogue, number 0. */
catalogue_t *catalogue_new(void);
catalogue_t *catalogue_ref(catalogue_t *c);
void catalogue_unref(catalogue_t *c);
const model_t *catalogue_model(const catalogue_t *c, const char *name);
const adapter_t *catalogue_adapter(const catalogue_t *c, const char *name);
bool catalogue_withdrawn(const catalogue_t *c, const char *name);
/** JSON text, malloc'd. */
char *catalogue_encode(const catalogue_t *c);
catalogue_t *catalogue_decode(const char *json, size_t len, err_t *e);

typedef enum change_kind {
	CHANGE_ADD,
	CHANGE_CHANGE,
	CHANGE_WITHDRAW
} change_kind_t;

typedef struct change {
	change_kind_t kind;
	bool is_adapter;
	int line; /* in the note, for errors */
	char name[ID_MAX];
	uint32_t set; /* FIELD_* bits that the note gives */
	model_t model;
	adapter_t adapter;
} change_t;

enum {
	FIELD_SERVICE = 1,
	FIELD_VERSION = 2,
	FIELD_MEMORY = 4,
	FIELD_COPIES = 8,
	FIELD_RESUMABLE = 16,
	FIELD_MODEL = 32,
};

typedef struct note {
	char id[ID_MAX];
	uint64_t base; /* catalogue number it was written against */
	change_t *change;
	int nchange;
} note_t;

/** Read a note's INI text. @param report one "line: text" per error. */
note_t *note_parse(const char *text, size_t len, char **report, err_t *e);
void note_free(note_t *n);
/**
 * The catalogue that @p n makes of @p from, numbered from->number + 1.
 * @param report every reason why not, one a line. Nothing is changed.
 */
catalogue_t *note_apply(const catalogue_t *from, const note_t *n,
    const settings_t *s, char **report, err_t *e);

/* The ledger of one worker's memory. ledger.c */

/**
 * The rules, for engines that check fences and for those that don't:
 * - An order goes out only after a conditional update of the ledger made room
 *   for it. Its number comes from that update, so numbers of one worker never
 *   repeat and only go up; its fence is its number.
 * - An order reaches only the engine process whose incarnation the ledger
 *   named when it was written (order_t.incarnation), however late it lands.
 * - A load is settled once it can't land any more: the answer to that very
 *   send came; or the item shows in a report newer than the order; or, with
 *   fencing, the engine has taken a higher number; or the engine's process
 *   was replaced. Neither time nor the sender's death settles it.
 * - Memory is given back only for a settled load, on a report without the
 *   item that is newer than an order numbered after the load was settled.
 * A report is newer than order n if its last_order is at least n.
 */
typedef enum hold_state {
	HOLD_MAYBE,    /* a load was or may be sent; may become resident */
	HOLD_RESIDENT, /* the load has landed */
	HOLD_LEAVING,  /* an unload was or may be sent */
} hold_state_t;

/** Memory that is or may become taken on a worker. */
typedef struct hold {
	char model[ID_MAX];
	char adapter[ID_MAX]; /* empty: the model itself */
	uint64_t version;
	uint32_t memory_mb;
	hold_state_t state;
	uint64_t order; /* number of the last order about it */
	uint64_t fence; /* sender's fencing number */
	char sender[ID_MAX];
} hold_t;

enum {
	HOLD_MAX = 512
};

/** The ledger object of one worker, as kept on the platform. */
typedef struct ledger {
	char worker[ID_MAX];
	char incarnation[ID_MAX]; /* of the engine process */
	uint32_t memory_mb;	  /* capacity */
	bool fencing;
	uint64_t fence; /* highest that wrote here */
	uint64_t last_order;
	hold_t *hold;
	int nhold;
	int room;
} ledger_t;

/** What an order is about. */
typedef struct ledger_item {
	const char *model;
	const char *adapter; /* "": the model itself */
	uint64_t version;
	uint32_t memory_mb;
} ledger_item_t;

/** Who orders: an instance id and the fencing number of its lease. */
typedef struct ledger_sender {
	const char *id;
	uint64_t fence;
} ledger_sender_t;

/** What became of one send, by its own answer. */
typedef enum send_outcome {
	SEND_TAKEN,   /* the engine has taken it */
	SEND_NOT_RUN, /* refused, or no byte of it went out */
	SEND_LOST,    /* no answer: it may still land */
} send_outcome_t;

/** A load report, asked for after the ledger was read. */
typedef struct ledger_report {
	const char *incarnation;
	uint32_t memory_mb;
	uint64_t last_order;
	const ledger_item_t *item; /* in whatever state */
	int nitem;
} ledger_report_t;

ledger_t *ledger_new(const char *worker, bool fencing);
void ledger_free(ledger_t *l);
/** JSON text, malloc'd. */
char *ledger_encode(const ledger_t *l);
ledger_t *ledger_decode(const char *json, size_t len, err_t *e);
/** MB that are or may become taken. */
uint64_t ledger_reserved(const ledger_t *l);
/** MB of it whose load isn't settled. */
uint64_t ledger_doubtful(const ledger_t *l);
hold_t *ledger_find(const ledger_t *l, const ledger_item_t *it);
/**
 * Make room for a load and number it. Write the ledger, then send.
 * @return its number, or 0: CONFLICT (the item is held already), FULL.
 */
uint64_t ledger_load(
    ledger_t *l, const ledger_item_t *it, const ledger_sender_t *by, err_t *e);
/**
 * Number an unload, also one again. @return its number, or 0: NOT_FOUND;
 * CONFLICT (its load isn't settled and the engine doesn't check fences).
 */
uint64_t ledger_unload(
    ledger_t *l, const ledger_item_t *it, const ledger_sender_t *by, err_t *e);
/** The answer to the very send of @p number. @return true: write it. */
bool ledger_answer(ledger_t *l, uint64_t number, send_outcome_t how);
/** Settle and give back what @p r proves. @return true: write it. */
bool ledger_report(ledger_t *l, const ledger_report_t *r);

/* Placement: who holds what. place.c */

typedef struct place_worker {
	char id[ID_MAX];
	char service[ID_MAX];
	char domain[ID_MAX];
	uint32_t memory_mb;
	uint32_t slots;
	bool usable; /* neither leaving, dead nor doubtful */
} place_worker_t;

/** A model or an adapter; an adapter names its base by index. */
typedef struct place_item {
	char name[ID_MAX];
	char service[ID_MAX];
	uint64_t version;
	uint32_t memory_mb;
	uint32_t copies_min;
	int base; /* item index, or -1 for a model */
	/* Calls in progress wanted, on average; a base's with its adapters'. */
	double demand;
	bool wanted; /* false: withdrawn, to be unloaded */
} place_item_t;

typedef enum move_kind {
	MOVE_LOAD,
	MOVE_UNLOAD
} move_kind_t;

/** Why a move is made, in the order in which the store's budget goes. */
typedef enum move_reason {
	REASON_FIRST_COPY, /* a note's new model or version */
	REASON_REPAIR,	   /* too few copies are left */
	REASON_SPREAD,	   /* second failure domain */
	REASON_DEMAND,
	REASON_HEADROOM, /* free memory used against a burst */
	REASON_WITHDRAWN,
	REASON_MAKE_ROOM,
	REASON_SURPLUS, /* an adapter where its base isn't */
} move_reason_t;

typedef struct place_move {
	move_kind_t kind;
	move_reason_t reason;
	int worker;
	int item;
} place_move_t;

/** What is or may be resident. */
typedef enum place_held {
	HELD_NO,
	HELD_COMING,
	HELD_READY,
	HELD_GOING
} place_held_t;

typedef struct place_copy {
	int worker, item;
	place_held_t held;
} place_copy_t;

/**
 * One service's fleet, or all of it. Given as a matrix, or as a list where
 * workers times items is too large for one.
 */
typedef struct place_in {
	const place_worker_t *worker;
	int nworker;
	const place_item_t *item;
	int nitem;
	const uint8_t *held; /* held[worker * nitem + item], or NULL: */
	const place_copy_t *copy;
	int ncopy;
	/* A copy must win so many hundredths of a call in progress. */
	int64_t move_weight;
	int64_t hysteresis;   /* percent */
	bool quiet;	      /* only needed moves */
	int model_loads_left; /* the weight store's budget now */
	int adapter_loads_left;
} place_in_t;

typedef struct place_out {
	place_move_t *move;
	int nmove;
	int room;
} place_out_t;

/**
 * One step of placement. It never takes the last ready copy of a wanted name,
 * counts what comes and what goes as memory taken, and asks for no load that
 * doesn't fit beside all that.
 * @param out cleared and filled; unloads of adapters stand before their base's
 * @return 0, or -1 (out of memory).
 */
int place_step(const place_in_t *in, place_out_t *out, err_t *e);
void place_out_clear(place_out_t *out);
const char *move_reason_name(move_reason_t r);
/**
 * Would place_step() bring each wanted item to its least copies from what is
 * held, with all orders obeyed? @param report each that doesn't, malloc'd.
 */
bool place_fits(const place_in_t *in, char **report);

/* Admission of one shard. admit.c */

typedef struct admit admit_t; /* queue and in-flight counts of one shard */

typedef struct admit_opts {
	int queue_max;
	ms_t grant_ms;
	int64_t retry_share; /* percent */
	uint64_t seed;
} admit_opts_t;

typedef struct admit_ask {
	uint64_t tag;	   /* the asker's own, given back */
	char item[ID_MAX]; /* adapter, or model; empty: any worker will do */
	char model[ID_MAX];
	char caller[ID_MAX];
	char avoid[ID_MAX];
	uint32_t rank; /* 0 urgent .. 2 batch */
	ms_t deadline; /* on the broker's clock */
	uint64_t prefix;
	uint32_t tokens;
	bool retry;
} admit_ask_t;

typedef enum slot_outcome {
	SLOT_GRANTED,
	SLOT_LATE,	/* the promise can't be met: refused */
	SLOT_FULL,	/* the queue is full */
	SLOT_NO_COPY,	/* the model isn't resident here */
	SLOT_NOT_OWNER, /* ask the shard's broker */
	SLOT_LEAVING,
	SLOT_RETRY_BUDGET,
	SLOT_QUEUED, /* wire only: heard, the verdict follows */
} slot_outcome_t;

typedef struct admit_verdict {
	uint64_t tag;
	slot_outcome_t outcome;
	handle_t slot;
	char worker[ID_MAX];
	uint64_t version; /* of the item as that worker reports it */
	ms_t retry_after;
	ms_t wait; /* expected wait for one that came now */
} admit_verdict_t;

typedef struct admit_resident {
	char item[ID_MAX];
	uint64_t version;
} admit_resident_t;

/** A worker's report as the broker got it. */
typedef struct admit_report {
	char worker[ID_MAX];
	uint32_t slots;
	uint32_t in_flight; /* the engine's own count, lagging */
	ms_t taken_at;
	bool leaving;
	const admit_resident_t *resident; /* ready ones */
	int nresident;
} admit_report_t;

typedef enum call_outcome {
	CALL_DONE,
	CALL_REFUSED,	/* not run */
	CALL_FAILED,	/* ran; the endpoint's error */
	CALL_UNKNOWN,	/* ran or not */
	CALL_CANCELLED, /* the caller went away */
} call_outcome_t;

admit_t *admit_new(const admit_opts_t *o);
void admit_free(admit_t *a);
void admit_report(admit_t *a, const admit_report_t *r, ms_t now);
/**
 * The worker is gone from the list: its grants are dropped. What waited for it
 * alone is refused.
 */
void admit_remove_worker(admit_t *a, const char *worker);
/** A new ask: it is answered by admit_next(), at once or later. */
void admit_put(admit_t *a, const admit_ask_t *ask, ms_t now);
void admit_cancel(admit_t *a, uint64_t tag, ms_t now);
/** A slot is given back. @param first ms to the first token, -1 if none. */
void admit_release(admit_t *a, handle_t slot, call_outcome_t how, ms_t first,
    uint32_t tokens, ms_t now);
/** @return true and the next verdict that is due; false if none is. */
bool admit_next(admit_t *a, admit_verdict_t *v, ms_t now);
/** When admit_next() has to be called again at the latest. */
ms_t admit_due(const admit_t *a, ms_t now);
int admit_queue_length(const admit_t *a);
ms_t admit_expected_wait(const admit_t *a, const char *item, ms_t now);
int admit_free_slots(const admit_t *a, const char *worker);
bool admit_ejected(const admit_t *a, const char *worker, ms_t now);

/* Routing: which shard an entry asks, and who brokers it. route.c */

/** Order ids by rendezvous hash for @p key. @param ids of ID_MAX bytes. */
void route_rank(const char *key, const char (*ids)[ID_MAX], int n, int *order);
/** The score that route_rank() orders by, from hash_str(.., 0) of both. */
uint64_t route_score(uint64_t key_hash, uint64_t id_hash);
/**
 * The first in route_rank()'s order, where the ids' hashes are kept: finding
 * the brokers of all shards takes shards times members of these.
 * @return its index, or -1 if n is 0.
 */
int route_first(uint64_t key_hash, const uint64_t *id_hash, int n);

typedef struct route_shard {
	const char *domain;
	int copies;	/* ready copies of the model here */
	int free_slots; /* free slots on those */
	ms_t wait;	/* queue's expected wait */
	ms_t age;	/* of these figures */
	int asks_since; /* by this entry since they were taken */
	bool tried;	/* by this call */
	uint64_t id_hash;
} route_shard_t;

/** @return the index of the shard to ask, or -1. */
int route_pick(const route_shard_t *s, int n, const char *own_domain,
    uint64_t prefix, rng_t *rng);

/* Retries. backoff.c */

typedef struct backoff {
	ms_t initial, max;
	int tries;
} backoff_t;
/** @return the next wait: full jitter under a doubling bound. */
ms_t backoff_next(backoff_t *b, rng_t *rng);
void backoff_reset(backoff_t *b);

/** A share of successes that may be spent on retries. */
typedef struct budget {
	int64_t percent;
	double tokens;
	double max;
} budget_t;
void budget_add_success(budget_t *b);
bool budget_spend(budget_t *b);

#endif
