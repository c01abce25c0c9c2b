/**
 * @file web.h
 * The HTTP side that the engine's and the service's stand-in share: one
 * thread of libmicrohttpd, JSON answers, and the faults delay and freeze.
 */
#ifndef STANDIN_WEB_H
#define STANDIN_WEB_H

#include "base/base.h"

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

typedef struct web web_t;

/** A request with its complete body. */
typedef struct web_req {
	web_t *web;
	struct MHD_Connection *conn;
	char method[16];
	char *path;
	GString *body;
	bool whole;	 /* the body is complete */
	ms_t held_until; /* delayed until, 0 if not */
} web_req_t;

/** Queue an answer with web_json() or the like and return its result. */
typedef enum MHD_Result web_answer_t(void *user, web_req_t *r);

web_t *web_start(const char *addr, web_answer_t *answer, void *user);
/** Stop accepting connections; open ones go on. */
void web_quiesce(web_t *w);
/** Delay each request except those under /control/ by @p span ms. */
void web_delay(web_t *w, ms_t span);
/** Delay each call by a further @p span ms; load reports aren't delayed. */
void web_work(web_t *w, ms_t span);
/** @return the number of requests that are being delayed. */
int web_held(web_t *w);
/** Stop answering for @p span ms, like a paused process. */
void web_freeze(web_t *w, ms_t span);
/** Wait while frozen; to be called by the stand-in's other threads, too. */
void web_wait_unfrozen(web_t *w);

/** Answer with @p j, which is taken over. */
enum MHD_Result web_json(web_req_t *r, int status, json_t *j);
/** Answer {"error":CODE,"ran":RAN}. */
enum MHD_Result web_error(
    web_req_t *r, int status, const char *code, const char *ran);
/** @return a number from the query string, or @p other. */
int64_t web_query(web_req_t *r, const char *name, int64_t other);
/** @return a request header's value, or "". */
const char *web_header(web_req_t *r, const char *name);
/** @return a member that is a number or a boolean, or @p other. */
int64_t json_number(const json_t *j, const char *name, int64_t other);
/** @return a member that is a string, or "". */
const char *json_text(const json_t *j, const char *name);

/**
 * Block SIGTERM and SIGINT in this thread and those that it starts, and ignore
 * SIGPIPE.
 */
void stop_block(void);
/** Wait for SIGTERM or SIGINT. */
void stop_wait(void);

#endif
