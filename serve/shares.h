/**
 * @file shares.h
 * What instances tell each other of what they have at endpoints.
 */
#ifndef SHARES_H
#define SHARES_H

#include "serve/serve.h"
#include "serve/digest.pb-c.h"

enum {
	DOMAIN_SUM_INTERVAL_MS =
	    250, /* between a domain's sums: as fresh as a near share */
};

/** A domain's name in a digest. */
uint32_t domain_hash(const char *domain);
/** Another instance tells its shares. */
void shares_apply(serve_t *s, peer_t *p, const Digest__Digest *d);
/** It is gone: it has nothing at endpoints. */
void shares_forget(peer_t *p);
/** The relay of another domain tells its sum. */
void domain_sum_apply(serve_t *s, const Digest__Digest *d);
/** Forget those that are no longer told. */
void domain_sums_expire(serve_t *s);
/** What this domain's instances have at an endpoint. */
void domain_sum_own(const serve_t *s, const ep_t *ep, workload_share_t *to);

#endif
