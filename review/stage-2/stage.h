/**
 * @file stage.h
 * What the stand-ins of review/6 and later share: blocking HTTP/1.1 on loopback
 * addresses. No library but the C library is needed.
 */
#ifndef STAGE_H
#define STAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	STAGE_HEAD_MAX = 32768
};

/** A message: its head as text, and its body, which may be NULL. */
typedef struct stage_msg {
	char head[STAGE_HEAD_MAX];
	char *body;
	size_t len;
} stage_msg_t;

/** Milliseconds of a steady clock that all processes share. */
int64_t stage_now(void);
void stage_sleep(int ms);
/** Write a line to standard error, and exit with status 2. */
void stage_die(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** @param rcvbuf bytes that the kernel keeps for the reader; 0: its default */
int stage_listen(const char *addr, int rcvbuf);
/** @return a connection, or -1 */
int stage_connect(const char *addr);
/** Run @p fn in a thread for each connection; returns never. */
void stage_serve(int fd, void (*fn)(int fd));

/** @return whether all bytes were written */
bool stage_write(int fd, const void *p, size_t n);
bool stage_printf(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Read up to and with the empty line. @return false: the connection ended */
bool stage_read_head(int fd, stage_msg_t *m);
/** Read a body of n bytes into m->body. @return whether it is complete */
bool stage_read_exactly(int fd, stage_msg_t *m, size_t n);
/** Read the body that the head announces, by length or in chunks. */
bool stage_read_body(int fd, stage_msg_t *m);
void stage_msg_free(stage_msg_t *m);
/** @return the value of a header field, copied to @p to; "" if there is none */
char *stage_field(const stage_msg_t *m, const char *name, char *to, size_t size);
/** @return the number of the status line */
int stage_status(const stage_msg_t *m);

/** Send one request on a connection of its own. @return its status, 0: none */
int stage_call(const char *addr, const char *method, const char *target,
    const char *body);

#endif
