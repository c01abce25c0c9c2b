/**
 * @file allowances.h
 * Organisations' allowances over all instances. A call asks before it is
 * dispatched: the instance that gives its organisation's allowance grants it,
 * or says when there will be room (policy/allowance.h, policy/giver.h). Nothing
 * is sent while no organisation of the configuration has a limit.
 */
#ifndef SERVE_ALLOWANCES_H
#define SERVE_ALLOWANCES_H

#include "serve/digest.pb-c.h"
#include "serve/serve.h"

void allowances_init(serve_t *s);
/** Send what is due, at the end of a loop turn. */
void allowances_flush(serve_t *s);
void allowances_receive(
    serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from);

/**
 * A new call asks for its allowance.
 * @return false: it may begin now; true: call_allowed() follows, or it ended
 */
bool allowance_ask(call_t *c);
/** The call's timer fired while it asks. */
void allowance_timer(call_t *c);
/** Time of the next step while the call asks. */
ms_t allowance_next(const call_t *c);
/** The call ends: what it didn't use is given back. */
void allowance_end(call_t *c);

#endif
