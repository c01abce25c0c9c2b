/**
 * @file sse.h
 * An engine's event stream, checked as it comes: only the next token of the
 * call's own answer gets through.
 */
#ifndef SSE_H
#define SSE_H

#include "base/base.h"

/** Told of each token in order; @p text is the parser's. */
typedef void sse_token_t(
    void *user, uint32_t offset, const char *text, size_t len);

/** Reads one stream; whoever holds it may read the fields. */
typedef struct sse {
	char id[ID_MAX];
	uint32_t next; /* offset of the next token */
	bool ended;    /* the end marker has been seen */
	char finish[16];
	uint32_t duplicates; /* events dropped for that */
	char reason[128];    /* why the stream counts as broken */
	/* own */
	char *line;
	size_t line_len, line_room;
	char *data; /* of the event that is being read */
	size_t data_len, data_room;
	bool has_data;
	sse_token_t *token;
	void *user;
} sse_t;

/** @param next offset of the first token wanted. */
void sse_init(
    sse_t *s, const char *id, uint32_t next, sse_token_t *token, void *user);
void sse_clear(sse_t *s);
/**
 * Take the next bytes, split anywhere.
 * @return 0; -1 with PROTO or FULL once the stream is broken: a foreign
 * event, a gap, or what is no event. Nothing after that is passed on.
 */
int sse_feed(sse_t *s, const char *p, size_t n, err_t *e);

#endif
