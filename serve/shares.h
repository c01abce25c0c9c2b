/**
 * @file shares.h
 * Shares of endpoints' workload that other instances report.
 */
#ifndef SHARES_H
#define SHARES_H

#include "serve/serve.h"
#include "serve/digest.pb-c.h"

enum {
	DOMAIN_SUM_INTERVAL_MS =
	    250, /* as recent as shares within the domain */
};

/** @return the domain's name as digests give it, never 0 */
uint32_t domain_hash(const char *domain);
/** Apply the shares of another instance. */
void shares_apply(serve_t *s, peer_t *p, const Digest__Digest *d);
/** Remove the shares of an instance that is gone. */
void shares_forget(peer_t *p);
/** Apply the sum of another domain, which its relay sent. */
void domain_sum_apply(serve_t *s, const Digest__Digest *d);
/** Remove the sums of domains that no longer send any. */
void domain_sums_expire(serve_t *s);
/** Add up the shares of this domain's instances at an endpoint. */
void domain_sum_own(const serve_t *s, const ep_t *ep, workload_share_t *to);

/** Tell an instance when models will be loaded. peer_send.c */
void send_model_waits(
    serve_t *s, const peer_t *p, Digest__ModelWait **wait, size_t n);

/** Handle records, questions and answers about streams. streams.c */
void streams_receive(serve_t *s, const Digest__StreamVersions *m,
    const struct sockaddr_in *from);

#endif
