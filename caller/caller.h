/**
 * @file caller.h
 * Callers' HTTP: reads requests, hands them to a router as calls and gives
 * their answers back. docs/INTERFACES.md has the wire.
 */
#ifndef CALLER_H
#define CALLER_H

#include "base/base.h"

enum {
	KEY_MAX = 200,		  /* bytes of an Idempotency-Key */
	RESUME_MAX = 320,	  /* bytes of a resume token */
	TARGET_MAX = 256,	  /* bytes of a plain call's path and query */
	MAX_TOKENS_LIMIT = 32768, /* tokens of one answer */
	TOKENS_DEFAULT = 256,
};

typedef enum request_kind {
	REQUEST_CHAT,
	REQUEST_TEXT,
	REQUEST_RESUME,
	REQUEST_PLAIN,
} request_kind_t;

/** What a caller asked for; not changed once it is handed over. */
typedef struct request {
	request_kind_t kind;
	char model[ID_MAX]; /* a model's or an adapter's name */
	char *prompt;
	uint32_t max_tokens;
	bool stream;
	char key[KEY_MAX + 1];	     /* Idempotency-Key or empty */
	ms_t target_latency;	     /* ms, 0: the service's */
	uint32_t priority;	     /* 0 urgent .. 2 batch */
	char caller[ID_MAX];	     /* fairness key */
	char resume[RESUME_MAX + 1]; /* Last-Event-ID or empty */
	/* REQUEST_PLAIN */
	char service[ID_MAX];
	char method[16];
	char target[TARGET_MAX + 1];
	char type[ID_MAX];
	char *body;
	size_t body_len;
} request_t;

/** Whether the call ran, as the caller is told. */
typedef enum ran {
	RAN_NO,
	RAN_YES,
	RAN_UNKNOWN
} ran_t;

/** An error for a caller. */
typedef struct call_error {
	int status;
	const char *code; /* stable name */
	char message[160];
	ran_t ran;
	ms_t retry_after; /* ms, 0: coming back makes no sense */
} call_error_t;

/** One caller's request and its answer. Counted: server and router. */
typedef struct call call_t;

const request_t *call_request(const call_t *c);
/** This call's own id, unique over instances and restarts. */
const char *call_id(const call_t *c);
/** When it had been read, on the monotonic clock. */
ms_t call_received_at(const call_t *c);
/** Has the caller gone away? */
bool call_disconnected(const call_t *c);
/** The router's own handle of it. */
void call_set_tag(call_t *c, handle_t tag);
handle_t call_tag(const call_t *c);

/* Exactly one of these three ways, by one thread, answers a call. */

/** The whole answer. @p type content type. */
void call_reply(call_t *c, int status, const char *type, ran_t ran,
    const char *body, size_t len);
/** An error, as JSON. */
void call_fail(call_t *c, const call_error_t *f);
/** A stream: begin, write any number of times, end. */
void call_begin(call_t *c, const char *type);
void call_write(call_t *c, const char *text, size_t len);
void call_end(call_t *c);

call_t *call_ref(call_t *c);
void call_unref(call_t *c);
/** JSON text of an error, malloc'd; @p id may be NULL. */
char *call_error_json(const call_error_t *f);

/** What the server shows without asking the router; malloc'd JSON. */
typedef struct pages {
	void *user;
	char *(*entries)(void *user, const char *domain);
	char *(*models)(void *user);
	bool (*ready)(void *user);
	bool (*leaving)(void *user);
} pages_t;

typedef struct server server_t;
typedef struct server_opts {
	const settings_t *settings;
	uint64_t incarnation; /* makes the calls' ids unique */
	ring_t *calls;	      /* of call_t *, each with a reference */
	ring_t *disconnected; /* the same, when the caller went away */
	pages_t pages;
} server_opts_t;

/** Listens and answers on a thread of its own. */
server_t *server_new(const server_opts_t *o, err_t *e);
void server_free(server_t *s);

#endif
