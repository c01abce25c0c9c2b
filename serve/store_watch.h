/**
 * @file store_watch.h
 * Lists and watches of the store: one for each kind of object.
 */
#ifndef SERVE_STORE_WATCH_H
#define SERVE_STORE_WATCH_H

#include "net/net.h"
#include "platform/platform.h"
#include "policy/coverage.h"

#include <glib.h>

typedef struct serve serve_t;
typedef struct http_request http_request_t;

/** A list and watch of one kind of object in the store. */
typedef struct store_watch {
	serve_t *s;
	object_kind_t kind;
	http_request_t *request;
	alarm_t alarm;
	int64_t as_of;		  /* revision to watch from, 0: list first */
	int64_t changed_revision; /* revision of the last change seen */
	ms_t rewatch_at;	  /* last restart for a peer's revision */
	int64_t peer_revision;	  /* highest change that a peer reported */
	ms_t peer_revision_at;	  /* when it was first reported */
	ms_t fresh_watch_at; /* last watch that didn't allow stale answers */
	int rewatches;	     /* restarts since the last answer */
	bool allow_stale;    /* the store may answer from an old copy */
	bool mode_logged;    /* whether allow_stale, as last logged, was set */
	bool require_fresh;  /* the next watch must not allow stale answers */
	bool listing;
	int64_t list_as_of; /* of the list's first page, 0: none was read */
	char *list_after;   /* the last page's last name, NULL: none was read */
	GHashTable *listed_names; /* in the pages of the list read so far */
	int failures;
	ms_t answered_at;   /* last answer */
	ms_t watch_timeout; /* of the current watch, ms */
	ms_t requested_at;
	ms_t written_after; /* earliest write time of the answer's content */
	bool lost; /* repeated requests failed: the store is out of reach */
	ms_t first_listed_at; /* first complete list, 0: never */
	ms_t away_since;      /* a request failed or is overdue, 0: none did */
	ms_t regained_at;     /* end of the last outage, 0: never */
	ms_t relist_at; /* to read entries that were passed over, 0: none */
	int64_t from;	/* revision of the list that the watch began with */
	ms_t fresh_at;	/* last answer that was not from a copy, 0: never */
	coverage_t coverage;	/* of the endpoints, while copies are read */
	alarm_t coverage_alarm; /* when it ends */
} store_watch_t;

/** Begin to list and watch. */
void store_watch_start(store_watch_t *f, serve_t *s, object_kind_t k);
/** @return whether other instances watch this kind for this one */
bool store_watch_is_relayed(const store_watch_t *f);
/**
 * @return whether an outage ended so recently that missing objects may be
 * rewritten
 */
bool store_watch_in_recovery(const store_watch_t *f, ms_t now);
/** Restart the watch, for fresh answers, when this instance becomes holder. */
void store_watch_require_fresh(store_watch_t *f);
/** @return the earliest write time of content received at @p now */
ms_t store_watch_written_after(const store_watch_t *f, ms_t now);
/** The store lost writes: list all again. */
void store_watch_in_new_era(store_watch_t *f);
/** Another instance has answers of a later era: ask for a fresh one. */
void store_watch_peer_era(store_watch_t *f);
/** Another instance saw a change that this watch may have missed. */
void store_watch_peer_revision(store_watch_t *f, int64_t revision);
/**
 * What this instance has seen of the endpoints.
 * @return false: it doesn't watch them for fresh answers
 */
bool store_watch_claim(const serve_t *s, coverage_claim_t *claim);
/** Another instance claims to have watched the endpoints, in this era. */
void store_watch_claimed(serve_t *s, const coverage_claim_t *claim);
/** @return how its last answer was got, for logs */
const char *store_watch_source(const store_watch_t *f);

#endif
