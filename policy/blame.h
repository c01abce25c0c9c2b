/**
 * @file blame.h
 * What crashes endpoints: a part of a prompt, or a whole request that is sent
 * again under other ids. Both are suspects.
 *
 * Evidence against a suspect is a crash of an endpoint where a call with it was
 * in progress and had not passed: a part passes when its call begins to be
 * answered, a request when its call is completed. A call that passes clears its
 * suspects of all earlier crashes. A suspect is blamed after several crashes at
 * different times. A crash is no evidence against it if one that is blamed
 * explains it, or if another endpoint ended at the same moment without it.
 *
 * All instances keep the same evidence, as each sends the others what it sees
 * (docs/design/blame.md). Times are of the local clock.
 */
#ifndef BLAME_H
#define BLAME_H

#include "base/base.h"

enum {
	BLAME_SUSPECTS_MAX = 32,   /* of one crash */
	BLAME_CRASHES_MAX = 256,   /* remembered */
	BLAME_MAX = 64,		   /* blamed at a time */
	BLAME_PASSED_SLOTS = 4096, /* of each kind; a power of two */
	BLAME_NEWS_MAX = 64,	   /* passings to be sent to others */
	BLAME_GRANT_MS = 5000,	   /* a granted trial is sent by then */
};

/** What a suspect is; the rules of evidence differ, see blame.c. */
typedef enum suspect_kind {
	SUSPECT_PART,	 /* id: of the part of a prompt */
	SUSPECT_REQUEST, /* id: fingerprint of the request */
	SUSPECT_KINDS,
} suspect_kind_t;

/** What may crash endpoints. */
typedef struct suspect {
	suspect_kind_t kind;
	uint64_t id;
} suspect_t;

static inline bool
suspect_same(suspect_t a, suspect_t b)
{
	return a.id == b.id && a.kind == b.kind;
}

typedef struct blame_suspect {
	suspect_t what;
	uint32_t call; /* hash of the id of a call with it */
} blame_suspect_t;

/** A crash of an endpoint, and its suspects, if there were any. */
typedef struct blame_crash {
	uint32_t endpoint; /* hash of its id */
	ms_t at;
	blame_suspect_t suspect[BLAME_SUSPECTS_MAX];
	int nsuspect;
} blame_crash_t;

/** A suspect with which no call may be sent, except for trials. */
typedef struct blamed {
	suspect_t what;
	ms_t crash_at; /* the last crash of which it is a suspect */
	ms_t trial_at; /* one call may be sent as a trial from then on */
	int trials;    /* so far */
	/* Of this instance only. */
	bool enforced; /* calls in progress were ended */
	bool holder_knows;
	ms_t trial_asked_at, trial_granted_until; /* 0: not */
} blamed_t;

/** The last time at which a call with a suspect passed. */
typedef struct passed {
	uint64_t id; /* 0: free */
	ms_t at;
	bool told; /* other instances know that one has ever passed */
} passed_t;

/** A suspect of which other instances should know that a call passed. */
typedef struct blame_news {
	suspect_t what;
	ms_t crash_at; /* they may suspect it of a crash up to then */
} blame_news_t;

typedef struct blame {
	blame_crash_t crash[BLAME_CRASHES_MAX]; /* by time */
	int ncrash;
	blamed_t blamed[BLAME_MAX];
	int nblamed;
	passed_t passed[SUSPECT_KINDS][BLAME_PASSED_SLOTS]; /* one slot each */
	blame_news_t news[BLAME_NEWS_MAX];
	int nnews;
	bool cleared;	 /* of some crash, since the last decision */
	bool added;	 /* evidence, which may be of long ago */
	int64_t dropped; /* crashes and blamed suspects that didn't fit */
} blame_t;

void blame_init(blame_t *b);
/**
 * An endpoint crashed. Reports of one crash by several instances are joined.
 * @param c suspects; those that have passed since are left out
 */
void blame_add_crash(blame_t *b, const blame_crash_t *c);
/**
 * A call with the suspect passed.
 * @param own seen by this instance, not told by another one
 * @return whether it was blamed, and is no more
 */
bool blame_passed(blame_t *b, suspect_t what, ms_t at, bool own);
/**
 * Blame the suspects against which there is enough evidence.
 * @return whether there were any
 */
bool blame_decide(blame_t *b, ms_t now);
/** @return when blame_decide() may blame another suspect, 0: not known */
ms_t blame_decide_at(const blame_t *b, ms_t now);
/** @return the suspect if it is blamed, else NULL; until the next change */
blamed_t *blame_find(blame_t *b, suspect_t what);
/** @return the number of those of one kind that are blamed */
int blame_count(const blame_t *b, suspect_kind_t kind);
/** @return crashes that are evidence against it */
int blame_crash_count(const blame_t *b, suspect_t what);
/** Another instance, or the store, says that a suspect is blamed. */
void blame_adopt(blame_t *b, const blamed_t *p);
/** @return whether a call with it may be sent as a trial now */
bool blame_trial_due(const blamed_t *p, ms_t now);
/** A trial is granted: no other one is due while it may still be sent. */
void blame_trial_granted(blamed_t *p, ms_t now);
/**
 * A call is sent as a trial. Each makes the time to the next one longer, and
 * after the last one there is none.
 */
void blame_trial_started(blamed_t *p, ms_t now);
/** Forget old evidence, and blamed suspects without a crash for long. */
void blame_expire(blame_t *b, ms_t now);
/**
 * Take the next passing that others should know.
 * @return false: there is none
 */
bool blame_next_news(blame_t *b, suspect_t *what, ms_t *at);

#endif
