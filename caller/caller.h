/**
 * @file caller.h
 * The HTTP server for callers: parses requests, passes them to a router as
 * calls and sends the router's answers. docs/INTERFACES.md describes the
 * interface.
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

/** A caller's request; read-only once the router has it. */
typedef struct request {
	request_kind_t kind;
	char model[ID_MAX]; /* name of a model or an adapter */
	char *prompt;
	uint32_t max_tokens;
	bool stream;
	char key[KEY_MAX + 1]; /* Idempotency-Key, or empty */
	ms_t target_latency;   /* ms; 0: the service's target_latency_ms */
	uint32_t priority;     /* 0 (urgent) to 2 (batch) */
	char caller[ID_MAX];   /* key of fair queueing */
	char resume[RESUME_MAX + 1]; /* Last-Event-ID, or empty */
	/* REQUEST_PLAIN */
	char service[ID_MAX];
	char method[16];
	char target[TARGET_MAX + 1];
	char type[ID_MAX];
	char *body;
	size_t body_len;
} request_t;

/** Whether the call ran, as reported to the caller. */
typedef enum ran {
	RAN_NO,
	RAN_YES,
	RAN_UNKNOWN
} ran_t;

/** An error answer. */
typedef struct call_error {
	int status;
	const char *code; /* stable, for programs */
	char message[160];
	ran_t ran;
	ms_t retry_after; /* ms; 0: a retry is pointless */
} call_error_t;

/**
 * One request and its answer. Reference-counted: the server and the router hold
 * one reference each.
 */
typedef struct call call_t;

const request_t *call_request(const call_t *c);
/** The call's id, unique across instances and restarts. */
const char *call_id(const call_t *c);
/** When the request was complete: monotonic clock, ms. */
ms_t call_received_at(const call_t *c);
/** Whether the caller's connection is closed. Any thread. */
bool call_disconnected(const call_t *c);
/** The router's handle of the call. */
void call_set_tag(call_t *c, handle_t tag);
handle_t call_tag(const call_t *c);

/*
 * A call is answered by one thread, in one of three ways: call_reply(),
 * call_fail(), or call_begin() with call_write() and call_end().
 */

/** Sends a complete answer. @param type content type. */
void call_reply(call_t *c, int status, const char *type, ran_t ran,
    const char *body, size_t len);
/** Sends an error as JSON. */
void call_fail(call_t *c, const call_error_t *f);
/** Starts a streamed answer with status 200; call_end() completes it. */
void call_begin(call_t *c, const char *type);
void call_write(call_t *c, const char *text, size_t len);
void call_end(call_t *c);

call_t *call_ref(call_t *c);
void call_unref(call_t *c);
/** JSON text of an error, malloc'd. */
char *call_error_json(const call_error_t *f);

/**
 * Pages that the server answers without the router, on its own thread.
 * entries() and models() return malloc'd JSON.
 */
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
	uint64_t incarnation; /* makes the call ids unique */
	ring_t *calls;	      /* of call_t *, each a reference */
	ring_t *disconnected; /* likewise: the caller disconnected */
	pages_t pages;
} server_opts_t;

/**
 * Listens on instance.caller_addr and serves on a thread of its own.
 * @return NULL on error: DOWN (can't listen), INTERNAL, or an invalid address.
 */
server_t *server_new(const server_opts_t *o, err_t *e);
void server_free(server_t *s);

#endif
