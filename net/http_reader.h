/**
 * @file http_reader.h
 * Reads HTTP/1.1 messages (RFC 9112, sections 2 to 7) from bytes that arrive
 * in any pieces. It has no socket.
 *
 * What the RFC doesn't allow is refused, not repaired; docs/INTERFACES.md lists
 * it. The verdict on a message doesn't depend on how its bytes were cut: a line
 * is judged when it is whole, or when what has arrived of it can't become a
 * sound one.
 */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include "net/http_head.h"

#include <http_parser.h> /* numbers of methods */
#include <stdbool.h>
#include <stdint.h>

typedef enum http_side {
	HTTP_SERVER, /* reads requests */
	HTTP_CLIENT  /* reads answers */
} http_side_t;

/** Why a message was refused. */
typedef enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_LINE_END,   /* a CR or LF by itself */
	HTTP_FAULT_CONTROL,    /* another control byte in a line */
	HTTP_FAULT_START_LINE, /* neither a request's nor a status line */
	HTTP_FAULT_VERSION,    /* not HTTP/1 */
	HTTP_FAULT_METHOD,     /* unknown, or CONNECT */
	HTTP_FAULT_TARGET,
	HTTP_FAULT_STATUS, /* not 100 to 599, or 101 */
	HTTP_FAULT_NAME,   /* of a field */
	HTTP_FAULT_FOLDED, /* a line that begins with a blank */
	HTTP_FAULT_HOST,
	HTTP_FAULT_LENGTH,
	HTTP_FAULT_CODING,  /* other than chunked */
	HTTP_FAULT_FRAMING, /* two at once, or one that isn't allowed here */
	HTTP_FAULT_CHUNK,
	HTTP_FAULT_INTERIM,   /* too many interim answers */
	HTTP_FAULT_TOO_LARGE, /* a head, a chunk's line, or trailers */
} http_fault_t;

/** @return e.g. "status": a word for log lines */
const char *http_fault_text(http_fault_t f);

typedef enum http_event {
	HTTP_EVENT_MORE,    /* all bytes were read; more are needed */
	HTTP_EVENT_BEGIN,   /* a message begins */
	HTTP_EVENT_INTERIM, /* an interim answer (1xx) was read */
	HTTP_EVENT_HEAD,    /* a head was read */
	HTTP_EVENT_BODY,    /* a part of the body: part, part_len */
	HTTP_EVENT_CHUNK,   /* a chunk's line was read */
	HTTP_EVENT_DONE,    /* the message is complete */
	HTTP_EVENT_FAULT,   /* it is refused, and nothing after it is read */
} http_event_t;

typedef enum http_state {
	HTTP_STATE_START,
	HTTP_STATE_EMPTY_LINE, /* before a request; its CR was read */
	HTTP_STATE_START_LINE,
	HTTP_STATE_FIELDS,
	HTTP_STATE_NO_BODY,
	HTTP_STATE_LENGTH,
	HTTP_STATE_UNTIL_END, /* of the connection */
	HTTP_STATE_CHUNK_LINE,
	HTTP_STATE_CHUNK_DATA,
	HTTP_STATE_CHUNK_CR,
	HTTP_STATE_CHUNK_LF,
	HTTP_STATE_TRAILERS,
	HTTP_STATE_REFUSED
} http_state_t;

/** What is known of the message that is being read, or was read last. */
typedef struct http_reader {
	http_side_t side;
	http_state_t state;
	http_fault_t fault;
	head_t *head;
	size_t section_max; /* bytes of a head, of a chunk's line, of trailers;
			       0: a default */
	bool no_body;	    /* set by its user: the answer is to HEAD */
	unsigned method;    /* HTTP_GET etc. */
	int status_code, http_major, http_minor;
	int64_t content_length; /* -1: not stated */
	bool keep_alive;	/* the connection may carry another message */
	const char *part;	/* of a body, with HTTP_EVENT_BODY */
	size_t part_len;

	buf_t line;	/* the start of a line whose end hasn't arrived */
	bool has_cr;	/* all of it has, and its CR */
	size_t section; /* bytes of the section's lines that were read */
	uint64_t left;	/* of the body or chunk */
	int empty_lines, interim, hosts;
	bool chunked;
	bool close, keep;   /* options of Connection fields */
	uint32_t authority; /* of a target in absolute-form, as an offset */
	bool has_authority;
} http_reader_t;

/** @param head filled by the reader, which doesn't own it */
void http_reader_init(http_reader_t *r, http_side_t side, head_t *head);
/** Free what is kept of a line. */
void http_reader_free(http_reader_t *r);
/** Read from @p p, which is moved, up to @p end. @return what was found */
http_event_t http_reader_next(
    http_reader_t *r, const char **p, const char *end);
/**
 * The connection came to an orderly end.
 * @return whether that completes an answer without a length
 */
bool http_reader_end(const http_reader_t *r);

#endif
