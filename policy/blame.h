/**
 * @file blame.h
 * Which part of a prompt crashes the endpoints that begin to answer on it.
 *
 * Evidence for a part is a crash of an endpoint where a call with it had not
 * begun; such a part is a suspect of the crash. A call with the part that
 * begins clears it of all earlier crashes. A part is blamed when it is a
 * suspect of several crashes at different times, under different calls. A crash
 * is no evidence against it if a blamed part explains it, or if another
 * endpoint ended at the same moment without the part.
 *
 * All instances keep the same evidence, as each sends the others what it sees
 * (docs/design/blame.md). Times are of the local clock.
 */
#ifndef BLAME_H
#define BLAME_H

#include "base/base.h"

enum {
	BLAME_SUSPECTS_MAX = 24,  /* of one crash */
	BLAME_CRASHES_MAX = 256,  /* remembered */
	BLAME_PARTS_MAX = 64,	  /* blamed at a time */
	BLAME_BEGUN_SLOTS = 4096, /* a power of two */
	BLAME_NEWS_MAX = 64,	  /* beginnings to be sent to others */
	BLAME_GRANT_MS = 5000,	  /* a granted trial is sent by then */
};

typedef struct blame_suspect {
	uint64_t part;
	uint32_t call; /* hash of the id of a call with it */
} blame_suspect_t;

/**
 * A crash of an endpoint, and the parts of calls that had not begun there, if
 * there were any.
 */
typedef struct blame_crash {
	uint32_t endpoint; /* hash of its id */
	ms_t at;
	blame_suspect_t suspect[BLAME_SUSPECTS_MAX];
	int nsuspect;
} blame_crash_t;

/** A part on which no call may begin, except for trials. */
typedef struct blamed_part {
	uint64_t part;
	ms_t crash_at; /* the last crash of which it is a suspect */
	ms_t trial_at; /* one call may be sent as a trial from then on */
	int trials;    /* so far */
	/* Of this instance only. */
	bool enforced; /* calls in progress were ended */
	ms_t trial_asked_at, trial_granted_until; /* 0: not */
} blamed_part_t;

/** The last time at which a call with a part began. */
typedef struct begun_part {
	uint64_t part; /* 0: free */
	ms_t at;
	bool told; /* other instances know that it has ever begun */
} begun_part_t;

/** A part of which other instances should know that it began. */
typedef struct blame_news {
	uint64_t part;
	ms_t crash_at; /* they may suspect it of a crash up to then */
} blame_news_t;

typedef struct blame {
	blame_crash_t crash[BLAME_CRASHES_MAX]; /* by time */
	int ncrash;
	blamed_part_t blamed[BLAME_PARTS_MAX];
	int nblamed;
	begun_part_t begun[BLAME_BEGUN_SLOTS]; /* a part has one slot */
	blame_news_t news[BLAME_NEWS_MAX];
	int nnews;
	int64_t dropped; /* crashes and blamed parts that didn't fit */
} blame_t;

void blame_init(blame_t *b);
/**
 * An endpoint crashed. Reports of one crash by several instances are joined.
 * @param c suspects; those that have begun since are left out
 */
void blame_add_crash(blame_t *b, const blame_crash_t *c);
/**
 * A call with the part began.
 * @param own seen by this instance, not told by another one
 * @return whether it was blamed, and is no more
 */
bool blame_part_began(blame_t *b, uint64_t part, ms_t at, bool own);
/**
 * Blame the parts against which there is enough evidence.
 * @return whether there were any
 */
bool blame_decide(blame_t *b, ms_t now);
/** @return when blame_decide() may blame another part, 0: not known */
ms_t blame_decide_at(const blame_t *b, ms_t now);
/** @return the part if it is blamed, else NULL; valid until the next change */
blamed_part_t *blame_find(blame_t *b, uint64_t part);
/** @return crashes that are evidence against it */
int blame_crash_count(const blame_t *b, uint64_t part);
/** Another instance, or the store, says that a part is blamed. */
void blame_adopt(blame_t *b, const blamed_part_t *p);
/** @return whether a call with the part may be sent as a trial now */
bool blame_trial_due(const blamed_part_t *p, ms_t now);
/** A trial is granted: no other one is due while it may still be sent. */
void blame_trial_granted(blamed_part_t *p, ms_t now);
/** A call is sent as a trial; each makes the time to the next one longer. */
void blame_trial_started(blamed_part_t *p, ms_t now);
/** Forget old evidence, and blamed parts without a crash for long. */
void blame_expire(blame_t *b, ms_t now);
/**
 * Take the next beginning that others should know.
 * @return false: there is none
 */
bool blame_next_news(blame_t *b, uint64_t *part, ms_t *at);

#endif
