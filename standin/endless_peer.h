/**
 * @file endless_peer.h
 * A scripted server that answers each request with bytes without end, until
 * its peer closes the connection. It runs on the event loop of the program
 * that creates it.
 */
#ifndef ENDLESS_PEER_H
#define ENDLESS_PEER_H

#include "net/net.h"

/** What is sent without end. */
typedef enum endless_kind {
	ENDLESS_STATUS_LINE,
	ENDLESS_FIELD,	 /* one header field */
	ENDLESS_FIELDS,	 /* header fields */
	ENDLESS_INTERIM, /* complete 100 heads */
	ENDLESS_FOREIGN, /* an answer to another call, with a length */
	ENDLESS_FOREIGN_CHUNKED,
	ENDLESS_FOREIGN_ANSWERS, /* complete ones */
	ENDLESS_UNSIGNED,	 /* the body of an unsigned 200, chunked */
	ENDLESS_UNSIGNED_LENGTH, /* the same, with a length */
	ENDLESS_SIGNED,		 /* the body of a signed 200, with a length */
	ENDLESS_NOT_EXECUTED,	 /* the body of a 503 with Not-Executed */
	ENDLESS_BUSY,		 /* of a signed 503 that doesn't state that */
	ENDLESS_EVENT,		 /* one event, after the first two */
	ENDLESS_FIRST_EVENT,	 /* one event, the first */
	ENDLESS_NO_ID,		 /* events without an id */
	ENDLESS_SAME_ID,	 /* events with the same id */
	ENDLESS_CHUNK_EXTENSION, /* of a signed 200 */
	ENDLESS_TRAILERS,	 /* of a signed 200 with a complete body */
	ENDLESS_SURPLUS,	 /* after a signed 200 with a complete body */
	ENDLESS_JSON,		 /* the body of a 200 with JSON text, chunked */
	ENDLESS_KINDS
} endless_kind_t;

typedef struct endless_peer endless_peer_t;

/**
 * @param slow one byte each 100 ms once the endless part begins, else as fast
 * as the connection takes it
 */
endless_peer_t *endless_peer_new(
    loop_t *l, const char *addr, endless_kind_t kind, bool slow);
/** @return requests received since the start. */
int endless_peer_requests(const endless_peer_t *p);
/** @return connections that are open. */
int endless_peer_open(const endless_peer_t *p);
/** @return bytes sent since the start. */
uint64_t endless_peer_sent(const endless_peer_t *p);
void endless_peer_free(endless_peer_t *p);

#endif
