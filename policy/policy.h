/**
 * @file policy.h
 * Placement, admission, routing and release notes. No I/O and no threads; the
 * time is passed in, so that tests can give any input and any time.
 */
#ifndef POLICY_H
#define POLICY_H

#include "base/base.h"

/* The catalogue: all models and adapters on offer. catalogue.c, note.c */

typedef struct model {
	char name[ID_MAX];
	char service[ID_MAX];
	uint64_t version;
	uint32_t memory_mb; /* weights and working set, on each worker */
	uint32_t copies_min;
	bool resumable; /* an answer can be continued from prompt + answer */
} model_t;

typedef struct adapter {
	char name[ID_MAX];
	char model[ID_MAX];
	uint64_t version;
	uint32_t memory_mb;
} adapter_t;

/**
 * Reference-counted; not changed once it is shared. Each release note makes a
 * new one.
 */
typedef struct catalogue {
	uint64_t number; /* counts up with each note */
	char note_id[ID_MAX];
	model_t *model; /* sorted by name */
	int nmodel;
	adapter_t *adapter; /* sorted by name */
	int nadapter;
	char (*withdrawn)[ID_MAX]; /* sorted names; answered 410 */
	int nwithdrawn;
	int refs;
} catalogue_t;

/** @return an empty catalogue, number 0, or NULL (out of memory) */
catalogue_t *catalogue_new(void);
catalogue_t *catalogue_ref(catalogue_t *c);
void catalogue_unref(catalogue_t *c);
const model_t *catalogue_model(const catalogue_t *c, const char *name);
const adapter_t *catalogue_adapter(const catalogue_t *c, const char *name);
bool catalogue_withdrawn(const catalogue_t *c, const char *name);
/** @return JSON text, malloc'd */
char *catalogue_encode(const catalogue_t *c);
/** @return NULL: PROTO, not a catalogue's JSON; or out of memory */
catalogue_t *catalogue_decode(const char *json, size_t len, err_t *e);

typedef enum change_kind {
	CHANGE_ADD,
	CHANGE_CHANGE,
	CHANGE_WITHDRAW
} change_kind_t;

/** One section of a release note. */
typedef struct change {
	change_kind_t kind;
	bool is_adapter;
	int line; /* in the note's text, for errors */
	char name[ID_MAX];
	uint32_t fields; /* FIELD_* bits of the keys that the section gives */
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
	uint64_t base; /* number of the catalogue that it was written for */
	change_t *change;
	int nchange;
} note_t;

/**
 * Parse a note's INI text.
 * @param report if not NULL, set to one line "number: error" per error
 * (malloc'd), or to NULL
 * @return NULL: INVAL
 */
note_t *note_parse(const char *text, size_t len, char **report, err_t *e);
void note_free(note_t *n);
/**
 * Apply a note to a catalogue, which stays as it is.
 * @param report as for note_parse(): every reason why the note doesn't apply
 * @return the new catalogue, numbered from->number + 1, or NULL: INVAL,
 * INTERNAL (out of memory)
 */
catalogue_t *note_apply(const catalogue_t *from, const note_t *n,
    const settings_t *s, char **report, err_t *e);

/* The ledger: the reserved memory of one worker. ledger.c */

/**
 * The rules, for engines that check fencing tokens and for those that don't:
 * - An order is sent only after a conditional update of the ledger reserved the
 *   memory for it. Its number comes from that update, so the numbers of one
 *   worker never repeat and only go up. The engine is given it as the order's
 *   fencing token.
 * - However late an order arrives, it reaches only the engine process that the
 *   ledger named when the order was written (order_t.incarnation).
 * - A load is settled once it can't take effect any more: the answer to that
 *   very send was received; or a report newer than the order lists the item;
 *   or, with fencing, the engine has accepted a higher number; or the engine's
 *   process was replaced. Neither time nor the sender's death settles it.
 * - Memory is released only for a settled load, on a report without the item
 *   that is newer than an order numbered after the load was settled.
 * A report is newer than order n if its last_order is at least n.
 */
typedef enum reservation_state {
	RESERVATION_UNSETTLED, /* a load was or may have been sent */
	RESERVATION_RESIDENT,  /* the load has taken effect */
	RESERVATION_UNLOADING, /* an unload was or may have been sent */
} reservation_state_t;

/** Memory of a worker that an item uses or may come to use. */
typedef struct reservation {
	char model[ID_MAX];
	char adapter[ID_MAX]; /* empty: the model itself */
	uint64_t version;
	uint32_t memory_mb;
	reservation_state_t state;
	uint64_t order;		/* number of the last order for it */
	uint64_t fencing_token; /* of the sender's lease */
	char sender[ID_MAX];
} reservation_t;

enum {
	RESERVATIONS_MAX = 512
};

/** The ledger of one worker, an object in the platform's store. */
typedef struct ledger {
	char worker[ID_MAX];
	char incarnation[ID_MAX]; /* of the engine process */
	uint32_t memory_mb;	  /* of the worker */
	bool fencing;
	uint64_t max_fencing_token; /* highest of the senders */
	uint64_t last_order;
	reservation_t *reservation;
	int nreservation;
	int capacity; /* of reservation */
} ledger_t;

/** The model or adapter that an order is for. */
typedef struct ledger_item {
	const char *model;
	const char *adapter; /* "": the model itself */
	uint64_t version;
	uint32_t memory_mb;
} ledger_item_t;

/** The sender of orders: instance id and fencing token of its lease. */
typedef struct ledger_sender {
	const char *id;
	uint64_t fencing_token;
} ledger_sender_t;

/** The result of one send. */
typedef enum send_outcome {
	SEND_ACCEPTED,	/* accepted by the engine */
	SEND_NOT_RUN,	/* refused, or nothing was sent */
	SEND_NO_ANSWER, /* it may still take effect */
} send_outcome_t;

/** An engine's load report, requested after the ledger was read. */
typedef struct ledger_report {
	const char *incarnation;
	uint32_t memory_mb;
	uint64_t last_order;
	const ledger_item_t *item; /* in any state */
	int nitem;
} ledger_report_t;

ledger_t *ledger_new(const char *worker, bool fencing);
void ledger_free(ledger_t *l);
/** @return JSON text, malloc'd */
char *ledger_encode(const ledger_t *l);
/** @return NULL: PROTO, INTERNAL (out of memory) */
ledger_t *ledger_decode(const char *json, size_t len, err_t *e);
/** @return MB of all reservations */
uint64_t ledger_reserved_mb(const ledger_t *l);
/** @return MB of the reservations whose load isn't settled */
uint64_t ledger_unsettled_mb(const ledger_t *l);
/** @return the reservation of an item, or NULL */
reservation_t *ledger_find(const ledger_t *l, const ledger_item_t *it);
/**
 * Reserve memory for a load and number the order. The caller must write the
 * ledger before it sends the order.
 * @return the number, or 0: CONFLICT (the item has a reservation), FULL
 */
uint64_t ledger_order_load(
    ledger_t *l, const ledger_item_t *it, const ledger_sender_t *by, err_t *e);
/**
 * Number an unload, which may be a repeated one.
 * @return the number, or 0: NOT_FOUND; CONFLICT (the load isn't settled and the
 * engine doesn't check fencing tokens)
 */
uint64_t ledger_order_unload(
    ledger_t *l, const ledger_item_t *it, const ledger_sender_t *by, err_t *e);
/**
 * Record the answer to order @p number, as this send of it received it.
 * @return true if the ledger changed and must be written
 */
bool ledger_record_answer(ledger_t *l, uint64_t number, send_outcome_t outcome);
/**
 * Settle loads and release memory as far as @p r proves it.
 * @return true if the ledger changed and must be written
 */
bool ledger_apply_report(ledger_t *l, const ledger_report_t *r);

/* Placement: which worker holds which model or adapter. place.c */

typedef struct place_worker {
	char id[ID_MAX];
	char service[ID_MAX];
	char domain[ID_MAX];
	uint32_t memory_mb;
	uint32_t slots;
	bool usable; /* neither leaving, dead nor of unknown state */
} place_worker_t;

/** One version of a model or an adapter. */
typedef struct place_item {
	char name[ID_MAX];
	char service[ID_MAX];
	uint64_t version;
	uint32_t memory_mb;
	uint32_t copies_min;
	int base; /* index of an adapter's model; -1 for a model */
	/* Average calls in progress; a model's include its adapters'. */
	double demand;
	bool wanted; /* false: withdrawn or replaced, to be unloaded */
} place_item_t;

typedef enum move_kind {
	MOVE_LOAD,
	MOVE_UNLOAD
} move_kind_t;

/**
 * The reason for a move, the most urgent first. Loads are planned in this
 * order, but spread and demand together, while the weight store's budget lasts.
 */
typedef enum move_reason {
	REASON_FIRST_COPY, /* none yet, as of a new model or version */
	REASON_REPAIR,	   /* fewer copies than copies_min */
	REASON_SPREAD,	   /* copies in only one failure domain */
	REASON_DEMAND,
	REASON_HEADROOM, /* free memory, for a burst */
	REASON_WITHDRAWN,
	REASON_MAKE_ROOM,
	REASON_SURPLUS, /* an adapter without its base */
} move_reason_t;

typedef struct place_move {
	move_kind_t kind;
	move_reason_t reason;
	int worker;
	int item;
} place_move_t;

/** The state of one item on one worker. */
typedef enum place_state {
	PLACE_NONE,
	PLACE_LOADING,
	PLACE_READY,
	PLACE_UNLOADING
} place_state_t;

typedef struct place_copy {
	int worker, item;
	place_state_t state;
} place_copy_t;

/**
 * The fleet of one service, or of all. The copies are given as a matrix, or as
 * a list if workers times items is too large for a matrix.
 */
typedef struct place_input {
	const place_worker_t *worker;
	int nworker;
	const place_item_t *item;
	int nitem;
	/* place_state_t, at [worker * nitem + item]; NULL: the list is used */
	const uint8_t *state;
	const place_copy_t *copy; /* the list */
	int ncopy;
	/* Hundredths of a call in progress that each move must gain. */
	int64_t move_weight;
	int64_t hysteresis; /* percent */
	/* Only first copies, repair, and unloads of what isn't needed. */
	bool quiet;
	int model_loads_left; /* budget of the weight store */
	int adapter_loads_left;
} place_input_t;

typedef struct place_output {
	place_move_t *move;
	int nmove;
	int capacity; /* of move */
} place_output_t;

/**
 * One step of placement. It never unloads the last ready copy of a wanted name.
 * Copies that are loading or unloading count as memory in use, and no load is
 * ordered that doesn't fit beside them.
 * @param out replaced; the unloads of adapters come before that of their base
 * @return 0, or -1 (out of memory)
 */
int place_step(const place_input_t *in, place_output_t *out, err_t *e);
void place_output_clear(place_output_t *out);
const char *move_reason_name(move_reason_t r);
/**
 * Would repeated place_step() give each wanted item its minimum of copies, if
 * all orders are carried out?
 * @param report set to one line per item that falls short (malloc'd), or NULL
 */
bool place_fits(const place_input_t *in, char **report);

/* Admission of one shard. admit.c */

/** The queue and the in-flight counts of one shard. */
typedef struct admit admit_t;

typedef struct admit_opts {
	int queue_max;
	ms_t grant_ms;	     /* a grant expires after this time */
	int64_t retry_share; /* percent of the successful calls */
	uint64_t seed;
} admit_opts_t;

/** A request for a slot. */
typedef struct admit_request {
	uint64_t tag;	   /* chosen by the sender, returned in the verdict */
	char item[ID_MAX]; /* adapter, or model; empty: any worker will do */
	char model[ID_MAX];
	char caller[ID_MAX];
	char avoid[ID_MAX]; /* a worker, used only if no other has the item */
	uint32_t priority;  /* 0 urgent .. 2 batch */
	ms_t deadline;	    /* on the broker's clock */
	uint64_t prefix;    /* hash of the prompt's prefix, 0: none */
	uint32_t tokens;    /* limit of the answer's length; unused */
	bool retry;	    /* counts against the retry budget */
} admit_request_t;

typedef enum slot_outcome {
	SLOT_GRANTED,
	SLOT_LATE,	/* the deadline can't be met */
	SLOT_FULL,	/* the queue is full */
	SLOT_NO_COPY,	/* the item isn't resident in this shard */
	SLOT_NOT_OWNER, /* another instance is the shard's broker */
	SLOT_LEAVING,
	SLOT_RETRY_BUDGET,
	SLOT_QUEUED, /* wire only: received, the verdict follows */
} slot_outcome_t;

/** The answer to a slot request. */
typedef struct admit_verdict {
	uint64_t tag;
	slot_outcome_t outcome;
	handle_t slot;
	char worker[ID_MAX];
	uint64_t version; /* of the item, as the worker reported it */
	ms_t retry_after;
	ms_t wait; /* expected for another request at this time */
} admit_verdict_t;

typedef struct admit_resident {
	char item[ID_MAX];
	uint64_t version;
} admit_resident_t;

/** A worker's report as the broker received it. */
typedef struct admit_report {
	char worker[ID_MAX];
	uint32_t slots;
	uint32_t in_flight; /* the engine's count; it lags */
	ms_t taken_at;
	bool leaving;
	const admit_resident_t *resident; /* items that are ready */
	int nresident;
} admit_report_t;

typedef enum call_outcome {
	CALL_DONE,
	CALL_REFUSED,	/* not run, perhaps not sent */
	CALL_FAILED,	/* run; the endpoint returned an error */
	CALL_UNKNOWN,	/* it may or may not have run */
	CALL_CANCELLED, /* by the caller */
} call_outcome_t;

/** @return NULL if out of memory */
admit_t *admit_new(const admit_opts_t *o);
void admit_free(admit_t *a);
/** Take in a worker's report; a new worker is added. */
void admit_report(admit_t *a, const admit_report_t *r, ms_t now);
/**
 * The worker is no longer in the shard: drop its grants, and refuse the
 * requests that no other worker can take.
 */
void admit_remove_worker(admit_t *a, const char *worker);
/** Add a slot request; admit_next() returns its verdict, now or later. */
void admit_put(admit_t *a, const admit_request_t *req, ms_t now);
/** Remove a queued request; there will be no verdict. */
void admit_cancel(admit_t *a, uint64_t tag, ms_t now);
/**
 * End a grant; an unknown or expired one is ignored.
 * @param first ms to the first token, -1 if there was none
 * @param tokens of the answer
 */
void admit_release(admit_t *a, handle_t slot, call_outcome_t outcome,
    ms_t first, uint32_t tokens, ms_t now);
/** @return true with the next verdict, or false if none is due */
bool admit_next(admit_t *a, admit_verdict_t *v, ms_t now);
/** @return the latest time for the next call of admit_next() */
ms_t admit_due(const admit_t *a, ms_t now);
int admit_queue_length(const admit_t *a);
/** @return the expected ms that a new request of priority 1 waits for a slot */
ms_t admit_expected_wait(const admit_t *a, const char *item, ms_t now);
int admit_free_slots(const admit_t *a, const char *worker);
/** @return true if calls aren't sent to the worker, or only as probes */
bool admit_ejected(const admit_t *a, const char *worker, ms_t now);

/* Routing: the shard that an entry sends a request to, its broker. route.c */

/** Order ids by rendezvous hash for @p key. @param order n indexes of ids */
void route_rank(const char *key, const char (*ids)[ID_MAX], int n, int *order);
/** The score that route_rank() orders by, from hash_str(.., 0) of both. */
uint64_t route_score(uint64_t key_hash, uint64_t id_hash);
/**
 * The first in route_rank()'s order, from the ids' hashes: finding the brokers
 * of all shards compares every shard with every member, so hashes are kept.
 * @return its index, or -1 if n is 0
 */
int route_first(uint64_t key_hash, const uint64_t *id_hash, int n);

/** What an entry knows about a shard. */
typedef struct route_shard {
	const char *domain;
	int copies;	    /* ready copies of the model here */
	int free_slots;	    /* at those workers */
	ms_t wait;	    /* expected in its queue */
	ms_t age;	    /* of these figures */
	int requests_since; /* slot requests of this entry since then */
	bool tried;	    /* by this call already */
	uint64_t id_hash;
} route_shard_t;

/** @return the index of the shard to request a slot from, or -1. */
int route_pick(const route_shard_t *s, int n, const char *own_domain,
    uint64_t prefix, rng_t *rng);

/* Retries: delays and budgets. backoff.c */

/** Exponential backoff with full jitter. */
typedef struct backoff {
	ms_t initial, max; /* bounds of the delay, before jitter */
	int tries;
} backoff_t;
/** @return the next delay: random, up to a bound that doubles */
ms_t backoff_next(backoff_t *b, rng_t *rng);
void backoff_reset(backoff_t *b);

/** A token bucket of retries, filled by successes. */
typedef struct budget {
	int64_t percent; /* of the successes */
	double tokens;	 /* retries left */
	double max;
} budget_t;
void budget_add_success(budget_t *b);
/** Take one retry. @return false if none is left */
bool budget_spend(budget_t *b);

#endif
