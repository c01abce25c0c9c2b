/**
 * @file leaving.h
 * What an endpoint has said of leaving, and which of its incarnations said it.
 *
 * An answer doesn't name the incarnation that sent it, and the store may show
 * another one: an entry may be read late, or be an old copy. So a statement
 * names the incarnation that was known when the answer's connection was made,
 * and the time at which it was made. An incarnation that began after that
 * can't have made it. Where clocks can't decide, the endpoint counts as leaving
 * for a while.
 */
#ifndef LEAVING_H
#define LEAVING_H

#include "base/base.h"

enum {
	LEAVING_REMEMBERED_MAX = 1024, /* removed endpoints */
};

/** A statement of an endpoint that it leaves. */
typedef struct leaving_statement {
	/** Start of the incarnation that was known, in ms since 1970. */
	int64_t started_at;
	/** When the connection that carried it was made, in ms since 1970. */
	int64_t connected_at;
} leaving_statement_t;

/** What is known of one endpoint. All zero: it has said nothing. */
typedef struct leaving {
	leaving_statement_t said; /* of the latest incarnation that said it */
	ms_t said_at;		  /* when it said it first, 0: never */
	int64_t shown;		  /* start of another incarnation, 0: none */
	ms_t shown_at; /* when it was first shown, or a newer statement came */
} leaving_t;

/** The endpoint has said that it leaves. */
void leaving_say(leaving_t *l, const leaving_statement_t *said, ms_t now);
/** Its entry was read; @p started_at is the start that the entry shows. */
void leaving_show(leaving_t *l, int64_t started_at, ms_t now);
/** @return whether the incarnation that its entry shows counts as leaving */
bool leaving_holds(const leaving_t *l, int64_t started_at, ms_t now);

/** Statements of removed endpoints, which may come back. */
typedef struct leaving_memory {
	struct {
		uint64_t endpoint; /* hash of its id, 0: free */
		leaving_t leaving;
	} slot[LEAVING_REMEMBERED_MAX];
	int next; /* slot to be used next; it has the oldest record */
} leaving_memory_t;

/** Remember an endpoint that is removed, if it has said that it leaves. */
void leaving_remember(
    leaving_memory_t *m, uint64_t endpoint, const leaving_t *l);
/** @return what it had said when it was removed, or nothing */
leaving_t leaving_recall(const leaving_memory_t *m, uint64_t endpoint);

#endif
