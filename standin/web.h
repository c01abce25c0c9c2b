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

/** A request whose body has come whole. */
typedef struct web_req {
	web_t *web;
	struct MHD_Connection *conn;
	char method[16];
	char *path;
	GString *body;
	bool whole;	 /* the body has come */
	ms_t held_until; /* delayed until, 0 if not */
} web_req_t;

/** Queue an answer with web_json() or the like and return its result. */
typedef enum MHD_Result web_answer_t(void *user, web_req_t *r);

web_t *web_start(const char *addr, web_answer_t *answer, void *user);
/** Stop taking connections; what is open goes on. */
void web_quiesce(web_t *w);
/** Each request other than control's waits this long. */
void web_delay(web_t *w, ms_t span);
/** A call takes this long; a load report doesn't. */
void web_work(web_t *w, ms_t span);
/** @return requests that wait now. */
int web_held(web_t *w);
/** Everything stops for @p span ms, as a paused process would. */
void web_freeze(web_t *w, ms_t span);
/** Wait while frozen; for the stand-in's other threads too. */
void web_wait_unfrozen(web_t *w);

/** Answer with @p j, which is taken over. */
enum MHD_Result web_json(web_req_t *r, int status, json_t *j);
/** Answer {"error":CODE,"ran":RAN}. */
enum MHD_Result web_error(
    web_req_t *r, int status, const char *code, const char *ran);
/** A number of the query string, or @p other. */
int64_t web_query(web_req_t *r, const char *name, int64_t other);
/** A request header, or "". */
const char *web_header(web_req_t *r, const char *name);
/** A number or boolean of an object, or @p other when it isn't there. */
int64_t json_number(const json_t *j, const char *name, int64_t other);
/** A string of an object, or "". */
const char *json_text(const json_t *j, const char *name);

/** Block SIGTERM and SIGINT in this thread and all it starts. */
void stop_block(void);
/** Wait for one of them. */
void stop_wait(void);

#endif
