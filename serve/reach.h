/**
 * @file reach.h
 * The way of this instance to the endpoints of each service: what its
 * connections show, and probes that find out. Decisions are made by
 * policy/reach.c.
 */
#ifndef SERVE_REACH_H
#define SERVE_REACH_H

#include "policy/reach.h"
#include "serve/serve.h"

void reach_init(serve_t *s);
/**
 * A connection to an endpoint was made.
 * @param begun when it was begun
 */
void reach_note_connected(serve_t *s, ep_t *p, ms_t begun);
/** One was refused, or wasn't made in time. */
void reach_note_failed(serve_t *s, ep_t *p);
/** A call was sent on a connection that was there. */
void reach_note_asked(serve_t *s, const ep_t *p);
/** Bytes of an answer came. */
void reach_note_heard(serve_t *s, const ep_t *p);
/** An endpoint gave no answer: find out whether it can be reached. */
void reach_check(serve_t *s, ep_t *p);
/** An endpoint is gone, or another process of it began. */
void reach_forget(serve_t *s, ep_t *p);
/** @return whether this instance has lost its way to the whole service */
bool reach_lost(const serve_t *s, const char *service);
/** @return endpoints that may not be reached */
int reach_unreached(const serve_t *s);
/** What this instance has no way to, for its digests: tags, uint32_t. */
typedef struct reach_tags {
	GArray *service;  /* wholly lost; see reach_tag() */
	GArray *endpoint; /* failed, of other services; ep_t.tag */
} reach_tags_t;
const reach_tags_t *reach_tags(const serve_t *s);
/** @return tag of a service in digests */
uint32_t reach_tag(const char *service);
/** Probe an endpoint of another service than that of @p p, if there is one. */
void reach_probe_other_service(serve_t *s, const ep_t *p);
/** @return whether there is another endpoint that could be probed */
bool reach_has_other(const serve_t *s, const ep_t *p);

/**
 * Should this instance leave orders to another one? It can't connect to most
 * engines, and another instance can.
 */
bool reach_unfit_to_order(const serve_t *s);

#endif
