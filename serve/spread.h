/**
 * @file spread.h
 * Datagrams to all instances. Where these are many, one instance of each other
 * failure domain passes a datagram on within its own.
 */
#ifndef SPREAD_H
#define SPREAD_H

#include "serve/digest.pb-c.h"
#include "serve/serve.h"

/**
 * Send a datagram to all instances.
 * @param pass_on the field of @p d that asks its receiver to pass it on
 */
void spread(serve_t *s, Digest__Digest *d, protobuf_c_boolean *pass_on);
/** Pass a datagram on that was received, if it asks for that. */
void spread_on(serve_t *s, Digest__Digest *d, protobuf_c_boolean *pass_on);
/** Send a datagram to one instance. */
void spread_to(serve_t *s, Digest__Digest *d, const struct sockaddr_in *to);
/** @return another instance that holds the lease, NULL: none is known */
const peer_t *live_holder(const serve_t *s);

#endif
