/**
 * @file multi.h
 * libcurl's multi interface driven by epoll: the cost of a wait depends on the
 * events, not on the number of open connections.
 */
#ifndef MULTI_H
#define MULTI_H

#include "base/base.h"

#include <curl/curl.h>

typedef struct multi {
	CURLM *handle;
	int epoll_fd;
	ms_t timer_due; /* when curl's timer expires, -1: none */
} multi_t;

/** @param max_kept idle connections kept for later transfers */
int multi_open(multi_t *m, int max_kept, err_t *e);
/** All transfers must have been removed before. */
void multi_close(multi_t *m);
/** Make multi_wait() return when @p fd is readable. */
int multi_add_fd(multi_t *m, int fd, err_t *e);
/** Wait up to @p max_wait ms for events and let curl handle them. */
void multi_wait(multi_t *m, ms_t max_wait);
/** @return the next transfer that has ended, or NULL */
CURL *multi_done(multi_t *m, CURLcode *rc);
/** @return true if a byte of the transfer's request may have been sent */
bool easy_sent(CURL *c);
/**
 * Create a transfer with the common settings. libcurl by itself resends a
 * request if a reused connection turns out to be closed; with these settings it
 * doesn't once a byte has been sent.
 */
CURL *easy_new(const char *addr, const char *path);

#endif
