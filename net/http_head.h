/**
 * @file http_head.h
 * The head of an HTTP message: its start line and header fields.
 */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include "net/buf.h"

#include <stdint.h>

enum {
	HEADERS_MAX = 100 /* fields in a head */
};

typedef struct field {
	uint32_t name, value; /* offsets into text */
} field_t;

/** The strings end with NUL and are found in one buffer by their offsets. */
typedef struct head {
	buf_t text;
	uint32_t target; /* of a request, offset into text */
	field_t field[HEADERS_MAX];
	int nfield;
} head_t;

/** @return the value of the first field called @p name, or NULL. */
const char *head_get(const head_t *h, const char *name);
/** @return the number of fields called @p name. */
int head_count(const head_t *h, const char *name);
static inline const char *
head_name(const head_t *h, int i)
{
	return h->text.p + h->field[i].name;
}
static inline const char *
head_value(const head_t *h, int i)
{
	return h->text.p + h->field[i].value;
}
static inline const char *
head_target(const head_t *h)
{
	return h->text.p + h->target;
}

/** @return the reason phrase of an HTTP status. */
const char *http_reason(int status);

#endif
