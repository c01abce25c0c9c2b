/**
 * @file fake_link.h
 * The network between one instance and one endpoint: a listener that passes
 * bytes on, on the event loop of the program that creates it, and can be
 * partitioned in several ways.
 */
#ifndef FAKE_LINK_H
#define FAKE_LINK_H

#include "net/net.h"

typedef enum link_state {
	LINK_OPEN,
	LINK_RESET,   /* connections are reset, new ones refused */
	LINK_HANGING, /* nothing passes, new connections get no answer */
	LINK_KEPT,    /* connections go on, new ones are refused */
	LINK_ONE_WAY, /* only bytes to the endpoint pass; new connections get
			 no answer */
} link_state_t;

typedef struct fake_link fake_link_t;

/** Listen on @p addr and pass what comes on to the endpoint at @p to. */
fake_link_t *fake_link_new(loop_t *l, const char *addr, const char *to);
void fake_link_set(fake_link_t *k, link_state_t state);
/** @return connections accepted since the start. */
int fake_link_accepted(const fake_link_t *k);
void fake_link_free(fake_link_t *k);

#endif
