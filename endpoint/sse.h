/**
 * @file sse.h
 * Incremental parser of an engine's event stream. It passes on tokens of the
 * call's own answer, in order and each once.
 */
#ifndef SSE_H
#define SSE_H

#include "base/base.h"

/** Called for each token, in order; @p text is valid during the call. */
typedef void sse_token_t(
    void *user, uint32_t offset, const char *text, size_t len);

/** Parser of one stream; the owner may read the public fields. */
typedef struct sse {
	char id[ID_MAX];
	uint32_t next;	     /* offset of the next token */
	bool ended;	     /* the end marker was received */
	char finish[16];     /* finish reason of the end marker */
	uint32_t duplicates; /* repeated events, dropped */
	char reason[128];    /* why the stream is invalid, or empty */
	/* private */
	char *line;
	size_t line_len, line_room;
	char *data; /* of the current event */
	size_t data_len, data_room;
	bool has_data;
	sse_token_t *token;
	void *user;
} sse_t;

/** @param next offset of the first token wanted */
void sse_init(
    sse_t *s, const char *id, uint32_t next, sse_token_t *token, void *user);
void sse_clear(sse_t *s);
/**
 * Parse the next bytes, split anywhere.
 * @return 0, or -1 once the stream is invalid: PROTO (an event of another call,
 * a gap, a malformed event), FULL (an event too long). After that no more
 * tokens are passed on.
 */
int sse_feed(sse_t *s, const char *p, size_t n, err_t *e);

#endif
