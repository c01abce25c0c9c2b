/**
 * @file peer_call.h
 * Calls that go through another instance. An instance that has lost its way to
 * the endpoints of a service hands its calls to one that hasn't, which serves
 * them as if its own callers had sent them. It takes them on a port for
 * instances only, and hands none on: one hop.
 */
#ifndef PEER_CALL_H
#define PEER_CALL_H

#include "serve/serve.h"

/* The instance that hands calls over. */

/**
 * Choose an instance for a call.
 * @return false if there is none, and the call may be sent from here
 */
bool peer_call_choose(call_t *c, choice_t *out);
/** Append the request, with what the other instance has to know of it. */
void peer_call_encode(const call_t *c, buf_t *out);
/** The head of the other instance's answer was read. */
void peer_answer_read(call_t *c, const head_t *h, int status);
/** @return whether the answer says that the call wasn't run */
bool peer_answer_refuses(const call_t *c);
/** The call wasn't run: end it, or look for yet another instance. */
void peer_answer_refused(call_t *c, bool keep);
/** Forget an instance's connections. */
void peer_ep_retire(serve_t *s, peer_t *p);
/** Free what was forgotten long ago. To be called every second. */
void peer_eps_purge(serve_t *s);

/* The instance that takes them. */

/**
 * @return the name of the organisation whose call it is, NULL: it isn't given;
 * to be freed by g_free()
 */
char *peer_call_organisation(const head_t *h);
/**
 * Take over what the other instance knows of a call.
 * @return NULL, or why it isn't taken
 */
const char *peer_call_take(call_t *c, const head_t *h);
/**
 * Append the line of the answer's head that is for the other instance.
 * @param p the endpoint whose answer it is, NULL: this instance's own
 * @param retry ms after which to try again, 0: not given
 */
void peer_answer_encode(const call_t *c, const ep_t *p, ms_t retry, buf_t *out);

/** The same of a request that was refused before it became a call. */
void peer_refusal_encode(buf_t *out);

#endif
