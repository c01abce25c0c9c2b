/**
 * @file scripted_peer.h
 * A server that answers each request with given bytes and ends the connection
 * in a given way. It runs on the event loop of the program that creates it.
 */
#ifndef SCRIPTED_PEER_H
#define SCRIPTED_PEER_H

#include "net/net.h"

typedef enum script_end {
	SCRIPT_KEEP,
	SCRIPT_FIN,
	SCRIPT_RESET
} script_end_t;

typedef struct script {
	const char *answer; /* '@' stands for the request's id */
	size_t cut;	    /* bytes of it that are sent, 0: all */
	bool early;	    /* answer a head, and read no body */
	ms_t wait_ms;	    /* until the answer */
	ms_t end_ms;	    /* from then to the end */
	script_end_t end;
} script_t;

typedef struct scripted_peer scripted_peer_t;

scripted_peer_t *scripted_peer_new(loop_t *l, const char *addr);
/** @param s of the requests from now on, copied; its answer is not */
void scripted_peer_set(scripted_peer_t *p, const script_t *s);
/**
 * @param models further members, as ",\"models\":[...]" JSON text, or ""
 * @return the spec of its entry in the store, g_malloc'd
 */
char *scripted_peer_entry(
    const char *addr, const char *service, const char *models);
/** @return connections that are open */
int scripted_peer_open(const scripted_peer_t *p);
/** @return requests that were answered or are to be */
int scripted_peer_requests(const scripted_peer_t *p);
void scripted_peer_free(scripted_peer_t *p);

#endif
