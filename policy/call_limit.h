/**
 * @file call_limit.h
 * The rate of calls that an endpoint takes from all instances together, and how
 * these share it. One instance, the giver, gives permits for single calls at
 * that rate to whoever asks; who gets no answer from a giver keeps to a small
 * part of the rate by itself. A call without a permit isn't sent.
 */
#ifndef CALL_LIMIT_H
#define CALL_LIMIT_H

#include "base/base.h"

enum {
	PERMITS_MAX = 8,	/* in one answer of the giver */
	PERMIT_LIFE_MS = 500,	/* a permit that isn't used by then is lost */
	PERMIT_ASKERS_MAX = 64, /* counted by a giver */
};

/** What is known of an endpoint's limit. */
typedef struct call_limit {
	bool active;
	double rate; /* calls a second */
	ms_t at;     /* of the answer that said so last, 0: none */
} call_limit_t;

/**
 * An answer named a rate.
 * @param sent_at when the call that it answers was sent
 * @return whether the limit changed
 */
bool call_limit_named(call_limit_t *l, double rate, ms_t sent_at, ms_t now);
/** An answer named none; the rest as for call_limit_named(). */
bool call_limit_absent(call_limit_t *l, ms_t sent_at, ms_t now);
/** Another instance knows @p from. @return whether the limit changed */
bool call_limit_adopt(call_limit_t *l, const call_limit_t *from);

/** The permits for one endpoint that its giver hands out. */
typedef struct permit_giver {
	double permits; /* available */
	ms_t at;	/* time that permits refers to, 0: none given yet */
	struct {
		uint64_t instance; /* hash of its name */
		ms_t at;
	} asker[PERMIT_ASKERS_MAX]; /* lately */
	int nasker;
} permit_giver_t;

/** The answer of a giver. */
typedef struct permit_answer {
	int permits;
	ms_t next_ms;  /* until it is worth asking again */
	ms_t turn_ms;  /* for which others who ask may go first */
	ms_t share_ms; /* between permits to one of those who ask */
} permit_answer_t;

/** Hand out permits. @param from hash of the instance that asks for @p want */
permit_answer_t permit_give(permit_giver_t *g, const call_limit_t *l,
    uint64_t from, int want, ms_t now);

/** The permits for one endpoint that an instance holds. */
typedef struct permits {
	int held;
	ms_t expire_at;		/* those held */
	ms_t ask_at;		/* not before */
	ms_t asked_at;		/* without an answer yet, 0: not */
	ms_t turn_ms, share_ms; /* by the last answer, 0: unknown */
	/* Without a giver. */
	bool alone;
	double own; /* permits, of this instance's part of the rate */
	ms_t own_at;
	ms_t own_since; /* one is available */
} permits_t;

/** @return whether a call may be sent now */
bool permits_available(permits_t *p, ms_t now);
/** A call is sent. */
void permits_spend(permits_t *p);
/** The instances that may have to share a limit without a giver. */
typedef struct permit_sharers {
	int instances;
	double phase; /* of this one, 0..1, so that they don't send at once */
} permit_sharers_t;

/** Calls want permits. @return whether to ask the giver now */
bool permits_want(permits_t *p, const call_limit_t *l,
    const permit_sharers_t *sharers, ms_t now);
/** The giver answered. */
void permits_answered(permits_t *p, const permit_answer_t *a, ms_t now);
/**
 * @param ahead calls that get permits before this one
 * @return ms until a call gets one, as far as is known
 */
ms_t permits_wait_ms(const permits_t *p, int ahead, ms_t now);

#endif
