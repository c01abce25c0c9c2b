/**
 * @file multi.h
 * libcurl's multi interface driven by epoll, so that a round costs what
 * happened in it and not what is open.
 */
#ifndef MULTI_H
#define MULTI_H

#include "base/base.h"

#include <curl/curl.h>

typedef struct multi {
	CURLM *handle;
	int epoll_fd;
	ms_t timer_due; /* when curl wants to be called, -1 for never */
} multi_t;

/** @param kept connections kept open for the next transfers. */
int multi_open(multi_t *m, int max_kept, err_t *e);
/** All transfers must have been removed. */
void multi_close(multi_t *m);
/** Also wake up when @p fd is readable. */
int multi_add_fd(multi_t *m, int fd, err_t *e);
/** Wait up to @p most ms for something and let curl work on it. */
void multi_wait(multi_t *m, ms_t max_wait);
/** @return the next transfer that has ended, or NULL. */
CURL *multi_done(multi_t *m, CURLcode *rc);
/** May a byte of the transfer's request have gone out? */
bool easy_sent(CURL *c);
/**
 * A transfer with the settings all of ours share. libcurl sends a request
 * again by itself when a kept connection turns out to be dead; this one
 * doesn't once a byte has gone out.
 */
CURL *easy_new(const char *addr, const char *path);

#endif
