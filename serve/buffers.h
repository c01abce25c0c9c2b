/**
 * @file buffers.h
 * Bounds what callers make an instance hold: the memory of their requests
 * (policy/buffer_account.h) and their connections' descriptors. Where either
 * runs out, incomplete requests, answers that their callers don't read, and
 * idle connections make room.
 */
#ifndef SERVE_BUFFERS_H
#define SERVE_BUFFERS_H

#include "serve/serve.h"

void buffers_init(serve_t *s);
/**
 * More of a request has arrived.
 * @return false: its connection was ended, as it has to make room
 */
bool buffers_request_grew(caller_conn_t *cc);
/**
 * The connection has no request and no call: what is held is what its caller
 * hasn't read yet.
 */
void buffers_request_ended(caller_conn_t *cc);
/** The connection is freed. */
void buffers_conn_freed(caller_conn_t *cc);
/** The request became a call, which holds its body and the copy to be sent. */
void buffers_call_began(call_t *c, caller_conn_t *cc);
void buffers_call_ended(call_t *c);
/**
 * All descriptors for callers are in use.
 * @return whether a connection was closed
 */
bool buffers_free_descriptor(serve_t *s);

#endif
