/**
 * @file buf.h
 * A byte buffer that grows at its end and is read from its front.
 */
#ifndef BUF_H
#define BUF_H

#include <stddef.h>

/** A growing byte buffer that is read from the front. */
typedef struct buf {
	char *p;
	size_t off, len, cap; /* content: p[off .. len) */
} buf_t;

/* Appending never fails: the process aborts when out of memory. */
void buf_add(buf_t *b, const void *p, size_t n);
void buf_str(buf_t *b, const char *s);
void buf_fmt(buf_t *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Drop @p n bytes from the front. */
void buf_consume(buf_t *b, size_t n);
/** Free the memory; the buffer is empty afterwards and may be used again. */
void buf_free(buf_t *b);
static inline size_t
buf_len(const buf_t *b)
{
	return b->len - b->off;
}

#endif
