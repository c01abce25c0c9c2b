/*
 * CPU time to read a message's head: by this project's reader, and by
 * http-parser with the callbacks that store its fields.
 */
#include "net/net.h"

#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum {
	ROUNDS = 400000, /* of each message */
	SAMPLES = 5,	 /* the least of them counts */
};

static const char request[] =
    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
    "Request-Id: 9c41d07be2a35f68\r\nModel: daka510000\r\n"
    "Token-Usage: 1460,80\r\n"
    "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    "Deadline-Remaining: 5000\r\nContent-Length: 0\r\n\r\n";
static const char answer[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\n"
    "Instance-Id: i-217e1745ed\r\nServer-Load: 12,3,64,19\r\n"
    "Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";

static double
cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* The callbacks that stored a head's strings before http_reader.c. */

static int
on_begin(http_parser *ps)
{
	head_t *h = ps->data;

	buf_consume(&h->text, buf_len(&h->text));
	h->nfield = 0;
	return 0;
}

static int
on_url(http_parser *ps, const char *p, size_t n)
{
	buf_add(&((head_t *)ps->data)->text, p, n);
	return 0;
}

static int
on_field(http_parser *ps, const char *p, size_t n)
{
	head_t *h = ps->data;

	buf_add(&h->text, "", 1);
	h->field[h->nfield].name = (uint32_t)h->text.len;
	h->field[h->nfield++].value = 0;
	buf_add(&h->text, p, n);
	return 0;
}

static int
on_value(http_parser *ps, const char *p, size_t n)
{
	head_t *h = ps->data;

	buf_add(&h->text, "", 1);
	h->field[h->nfield - 1].value = (uint32_t)h->text.len;
	buf_add(&h->text, p, n);
	return 0;
}

static const http_parser_settings callbacks = { .on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value };

static double
by_parser(http_side_t side, const char *text, size_t n)
{
	head_t head = { 0 };
	double at = cpu_seconds();
	http_parser ps;
	int i;

	http_parser_init(
	    &ps, side == HTTP_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	ps.data = &head;
	for (i = 0; i < ROUNDS; i++)
		if (http_parser_execute(&ps, &callbacks, text, n) != n)
			return -1;
	at = cpu_seconds() - at;
	buf_free(&head.text);
	return at / ROUNDS;
}

static double
by_reader(http_side_t side, const char *text, size_t n)
{
	head_t head = { 0 };
	double at = cpu_seconds();
	http_reader_t r;
	int i;

	http_reader_init(&r, side, &head);
	for (i = 0; i < ROUNDS; i++) {
		const char *p = text;

		while (http_reader_next(&r, &p, text + n) != HTTP_EVENT_DONE)
			if (r.state == HTTP_STATE_REFUSED)
				return -1;
	}
	at = cpu_seconds() - at;
	http_reader_free(&r);
	buf_free(&head.text);
	return at / ROUNDS;
}

static double
least(double (*run)(http_side_t, const char *, size_t), http_side_t side,
    const char *text)
{
	double best = run(side, text, strlen(text)), v;
	int i;

	for (i = 1; i < SAMPLES; i++) {
		v = run(side, text, strlen(text));
		best = v < best ? v : best;
	}
	return best * 1e9;
}

int
main(void)
{
	printf("request %zu bytes: http-parser %.0f ns, reader %.0f ns\n",
	    strlen(request), least(by_parser, HTTP_SERVER, request),
	    least(by_reader, HTTP_SERVER, request));
	printf("answer %zu bytes: http-parser %.0f ns, reader %.0f ns\n",
	    strlen(answer), least(by_parser, HTTP_CLIENT, answer),
	    least(by_reader, HTTP_CLIENT, answer));
	return 0;
}
