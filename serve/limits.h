/**
 * @file limits.h
 * Endpoints that name a rate of calls which they take from all instances
 * together. The holder of the lease gives permits for single calls there
 * (policy/call_limit.c); a call without one isn't sent.
 */
#ifndef SERVE_LIMITS_H
#define SERVE_LIMITS_H

#include "serve/digest.pb-c.h"
#include "serve/serve.h"

void limits_init(serve_t *s);
/** To be called every second. */
void limits_tick(serve_t *s);
/** The head of an answer to the call was read. */
void limits_observe(call_t *c, const named_limit_t *l);
/** @return whether the endpoint takes a call of this instance now */
bool limits_allow(const serve_t *s, ep_t *p);
/** The call would go there if there was a permit: get one. */
void limits_want(const call_t *c, ep_t *p);
/** @return ms until the call may go there, as far as is known, at least 1 */
ms_t limits_wait_ms(const call_t *c, const ep_t *p);
/** A call is sent there. */
void limits_spend(ep_t *p);
/** Another process runs there, or the endpoint is freed. */
void limits_forget(ep_t *p);
void limits_receive(
    serve_t *s, Digest__CallLimits *m, const struct sockaddr_in *from);

#endif
