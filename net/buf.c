#include "net/net.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum {
	FIRST_CAPACITY = 512, /* bytes */
	EMPTY_MAX = 64 << 10, /* bytes that an empty buffer keeps */
};

static void
reserve(buf_t *b, size_t n)
{
	size_t cap = b->cap ? b->cap : FIRST_CAPACITY;

	if (b->off > 0 && b->len + n > b->cap) {
		memmove(b->p, b->p + b->off, b->len - b->off);
		b->len -= b->off;
		b->off = 0;
	}
	if (b->len + n <= b->cap)
		return;
	while (cap < b->len + n)
		cap *= 2;
	b->p = realloc(b->p, cap);
	if (b->p == NULL)
		abort();
	b->cap = cap;
}

void
buf_add(buf_t *b, const void *p, size_t n)
{
	if (n == 0)
		return;
	reserve(b, n);
	memcpy(b->p + b->len, p, n);
	b->len += n;
}

void
buf_str(buf_t *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void
buf_fmt(buf_t *b, const char *fmt, ...)
{
	va_list ap, again;
	int n;

	va_start(ap, fmt);
	va_copy(again, ap);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n > 0) {
		reserve(b, (size_t)n + 1);
		vsnprintf(b->p + b->len, (size_t)n + 1, fmt, again);
		b->len += (size_t)n;
	}
	va_end(again);
}

void
buf_consume(buf_t *b, size_t n)
{
	b->off += n;
	if (b->off < b->len)
		return;
	b->off = b->len = 0;
	if (b->cap > EMPTY_MAX)
		buf_free(b);
}

void
buf_free(buf_t *b)
{
	free(b->p);
	memset(b, 0, sizeof(*b));
}
