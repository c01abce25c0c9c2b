/**
 * @file fake_instance.h
 * An instance that other daemons take for one of theirs, on the event loop of
 * the program that creates it. It says that it is ready and reaches all
 * endpoints, and answers the calls that are handed to it as it is told.
 */
#ifndef FAKE_INSTANCE_H
#define FAKE_INSTANCE_H

#include "net/net.h"

#include <glib.h>

typedef struct fake_instance fake_instance_t;

enum {
	FAKE_INSTANCE_TELLS = 2
};

typedef struct fake_instance_opts {
	const char *name, *ip, *domain;
	int peer_port; /* of all instances */
	/* IPs of the daemons that are to know it, up to NULL. */
	const char *tell[FAKE_INSTANCE_TELLS + 1];
} fake_instance_opts_t;

fake_instance_t *fake_instance_new(loop_t *l, const fake_instance_opts_t *o);
/**
 * What it answers from now on: the bytes of a whole answer, in which %s is the
 * Request-Id. @param close close the connection after them; NULL: no answer
 */
void fake_instance_set_answer(
    fake_instance_t *f, const char *answer, bool close);
/** @return the calls that it got: target, then a "Name: value" line each. */
const GPtrArray *fake_instance_calls(const fake_instance_t *f);
void fake_instance_free(fake_instance_t *f);

#endif
