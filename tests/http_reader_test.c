/*
 * The verdict on HTTP messages: sound ones are read, others refused, however
 * their bytes are cut.
 */
#include "net/http_reader.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

enum {
	MUTATIONS = 20000, /* of the short run in CI */
	CUTS = 4,	   /* of each mutated message */
	CHANGES_MAX = 3,
	LIMIT = 200, /* bytes of a head */
};

typedef struct message {
	const char *bytes;
	const char *verdict; /* "ok", or the reason of the refusal */
} message_t;

#define GET "GET /a HTTP/1.1\r\n"
#define POST "POST /a HTTP/1.1\r\nHost: h\r\n"
#define HOST "Host: h.example\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

static const message_t request[] = {
	{ GET HOST "\r\n", "ok" },
	{ "\r\n" GET HOST "\r\n", "ok" },
	{ "GET /a?b=%20 HTTP/1.0\r\n\r\n", "ok" },
	{ "GET /a HTTP/1.9\r\n" HOST "\r\n", "ok" },
	{ "GET http://h.example:80/a HTTP/1.1\r\n" HOST "\r\n", "ok" },
	{ "OPTIONS * HTTP/1.1\r\n" HOST "\r\n", "ok" },
	{ GET HOST "Connection: Upgrade\r\nUpgrade: x\r\n\r\n", "ok" },
	{ GET HOST "A:\r\nB: \t c d \xe9 \t\r\n\r\n", "ok" },
	{ GET "Host: [::1]:80\r\n\r\n", "ok" },
	{ GET "Host:\r\n\r\n", "ok" },
	{ POST "Content-Length: 4\r\n\r\nbody", "ok" },
	{ POST CHUNKED "\r\n4\r\nbody\r\n0\r\n\r\n", "ok" },
	/* Guards against a body read with the empty line as a part of a head.
	 */
	{ POST "Content-Length: 9\r\n\r\n {\n\"a\":\n}", "ok" },
	{ POST CHUNKED "\r\n2;a=\"b;\\\"\"; c\r\n\n \r\n00;x\r\nT: v\r\n\r\n",
	    "ok" },
	{ "\n" GET HOST "\r\n", "line-end" },
	{ "\r\n\r\n\r\n\r\n\r\n" GET HOST "\r\n", "start-line" },
	{ "GET /a HTTP/1.1\n" HOST "\r\n", "line-end" },
	{ "GET /a HTTP/1.1\r\r\n" HOST "\r\n", "line-end" },
	{ GET "Host: h\n\r\n", "line-end" },
	{ GET "Host: h\rx\r\n\r\n", "line-end" },
	{ GET HOST "\n", "line-end" },
	{ GET HOST "A: b\x01\r\n\r\n", "control-byte" },
	{ GET HOST "A: b\x7f\r\n\r\n", "control-byte" },
	{ "GET\t/a HTTP/1.1\r\n" HOST "\r\n", "start-line" },
	{ " GET /a HTTP/1.1\r\n" HOST "\r\n", "start-line" },
	{ "GET  /a HTTP/1.1\r\n" HOST "\r\n", "start-line" },
	{ "GET /a b HTTP/1.1\r\n" HOST "\r\n", "start-line" },
	{ "GET /a\r\n\r\n", "start-line" },
	{ "GET /a HTTP/1.1 \r\n" HOST "\r\n", "start-line" },
	{ "GET /a http/1.1\r\n" HOST "\r\n", "start-line" },
	{ "GET /a HTTP/2.0\r\n" HOST "\r\n", "version" },
	{ "GET /a HTTP/01.1\r\n" HOST "\r\n", "start-line" },
	{ "get /a HTTP/1.1\r\n" HOST "\r\n", "method" },
	{ "CONNECT h:1 HTTP/1.1\r\n" HOST "\r\n", "method" },
	{ "GET a HTTP/1.1\r\n" HOST "\r\n", "target" },
	{ "GET * HTTP/1.1\r\n" HOST "\r\n", "target" },
	{ "GET /a%2 HTTP/1.1\r\n" HOST "\r\n", "target" },
	{ "GET /\xe9 HTTP/1.1\r\n" HOST "\r\n", "target" },
	{ "GET /a#b HTTP/1.1\r\n" HOST "\r\n", "target" },
	{ "GET http://u@h/a HTTP/1.1\r\n" HOST "\r\n", "target" },
	{ GET "\r\n", "host" },
	{ GET HOST HOST "\r\n", "host" },
	{ GET "Host: a/b\r\n\r\n", "host" },
	{ GET " " HOST "\r\n", "folded-line" },
	{ GET HOST "A: b\r\n c\r\n\r\n", "folded-line" },
	{ GET HOST "A b: c\r\n\r\n", "field-name" },
	{ GET HOST "A : c\r\n\r\n", "field-name" },
	{ GET HOST ": c\r\n\r\n", "field-name" },
	{ GET HOST "A\r\n\r\n", "field-name" },
	{ POST "Content-Length: \r\n\r\n", "length" },
	{ POST "Content-Length: -1\r\n\r\n", "length" },
	{ POST "Content-Length: +1\r\n\r\na", "length" },
	{ POST "Content-Length: 1 1\r\n\r\na", "length" },
	{ POST "Content-Length: 1, 1\r\n\r\na", "length" },
	{ POST "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "length" },
	{ POST "Content-Length: 99999999999999999999\r\n\r\n", "length" },
	{ POST "Transfer-Encoding: gzip\r\n\r\n", "transfer-coding" },
	{ POST "Transfer-Encoding: gzip, chunked\r\n\r\n", "transfer-coding" },
	{ POST "Transfer-Encoding: chunked;a\r\n\r\n", "transfer-coding" },
	{ POST CHUNKED CHUNKED "\r\n", "transfer-coding" },
	{ POST CHUNKED "Content-Length: 4\r\n\r\n", "framing" },
	{ "POST /a HTTP/1.0\r\n" CHUNKED "\r\n", "framing" },
	{ POST CHUNKED "\r\n4\r\nbodyX", "chunk" },
	{ POST CHUNKED "\r\n4\r\nbody\n", "chunk" },
	{ POST CHUNKED "\r\n\r\n", "chunk" },
	{ POST CHUNKED "\r\n4 \r\nbody\r\n", "chunk" },
	{ POST CHUNKED "\r\n 4\r\nbody\r\n", "chunk" },
	{ POST CHUNKED "\r\n0x4\r\nbody\r\n", "chunk" },
	{ POST CHUNKED "\r\n4;\r\nbody\r\n", "chunk" },
	{ POST CHUNKED "\r\n4;a=\"b\r\nbody\r\n", "chunk" },
	{ POST CHUNKED "\r\n1000000000000000\r\n", "chunk" },
	{ POST CHUNKED "\r\n4\nbody\r\n", "line-end" },
	{ POST CHUNKED "\r\n0\r\nA b: c\r\n\r\n", "field-name" },
	{ POST CHUNKED "\r\n0\r\n a: c\r\n\r\n", "folded-line" },
};

static const message_t answer[] = {
	{ OK "Content-Length: 4\r\n\r\nbody", "ok" },
	{ OK "\r\nuntil the end", "ok" },
	{ "HTTP/1.0 200 OK\r\n\r\nbody", "ok" },
	{ "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", "ok" },
	{ "HTTP/1.1 599 \xe9t\xe9\r\nContent-Length: 0\r\n\r\n", "ok" },
	{ "HTTP/1.1 204 No Content\r\n\r\n", "ok" },
	{ "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "ok" },
	{ "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 1\r\n\r\na",
	    "ok" },
	{ OK CHUNKED "\r\n4\r\nbody\r\n0\r\n\r\n", "ok" },
	{ OK "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n", "ok" },
	{ "\r\n" OK "\r\n", "start-line" },
	{ "HTTQ", "start-line" },
	{ "nonsense", "start-line" },
	{ "HTTP/2", "version" },
	{ "HTTP/11.1 200 OK\r\n\r\n", "version" },
	{ "HTTP/1.1 200\r\n\r\n", "start-line" },
	{ "HTTP/1.1  200 OK\r\n\r\n", "start-line" },
	{ "HTTP/1.1 20 OK\r\n\r\n", "start-line" },
	{ "HTTP/1.1 2000 OK\r\n\r\n", "start-line" },
	{ "HTTP/1.1\r\n\r\n", "start-line" },
	{ "HTTP/1.1 000 OK\r\n\r\n", "status" },
	{ "HTTP/1.1 099 OK\r\n\r\n", "status" },
	{ "HTTP/1.1 600 OK\r\n\r\n", "status" },
	{ "HTTP/1.1 999 OK\r\n\r\n", "status" },
	{ "HTTP/1.1 2x0 OK\r\n\r\n", "status" },
	{ "HTTP/1.1 -20 OK\r\n\r\n", "status" },
	{ "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", "status" },
	{ "HTTP/1.1 200 O\x01K\r\n\r\n", "control-byte" },
	{ OK "A b: c\r\n\r\n", "field-name" },
	{ OK "A\x01: c\r\n\r\n", "control-byte" },
	{ OK "A: c\r\n d\r\n\r\n", "folded-line" },
	{ OK "Transfer-Encoding: gzip\r\n\r\n", "transfer-coding" },
	{ OK "Transfer-Encoding: identity\r\n\r\n", "transfer-coding" },
	{ OK "Transfer-Encoding: chunked, gzip\r\n\r\n", "transfer-coding" },
	{ OK CHUNKED "Content-Length: 4\r\n\r\n", "framing" },
	{ "HTTP/1.0 200 OK\r\n" CHUNKED "\r\n", "framing" },
	{ "HTTP/1.1 204 No Content\r\n" CHUNKED "\r\n", "framing" },
	{ "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", "framing" },
	{ "HTTP/1.1 100 Continue\r\n" CHUNKED "\r\n", "framing" },
	{ OK "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", "length" },
};

/* What was read of a message, as text. */
static void
read_some(http_reader_t *r, GString *out, const char *p, size_t n)
{
	const char *end = p + n;
	http_event_t ev;
	int i;

	while ((ev = http_reader_next(r, &p, end)) != HTTP_EVENT_MORE) {
		switch (ev) {
		case HTTP_EVENT_HEAD:
			g_string_append_printf(out, "head %d.%d %d %d ",
			    r->http_major, r->http_minor, r->status_code,
			    r->keep_alive);
			if (r->side == HTTP_SERVER)
				g_string_append(out, head_target(r->head));
			for (i = 0; i < r->head->nfield; i++)
				g_string_append_printf(out, " %s=%s",
				    head_name(r->head, i),
				    head_value(r->head, i));
			g_string_append(out, " body ");
			break;
		case HTTP_EVENT_BODY:
			g_string_append_len(out, r->part, (gssize)r->part_len);
			break;
		case HTTP_EVENT_DONE:
			g_string_append(out, " done");
			break;
		case HTTP_EVENT_FAULT:
			g_string_append_printf(
			    out, " refused: %s", http_fault_text(r->fault));
			return;
		default:
			break;
		}
	}
}

/* Read @p bytes that come in pieces, whose sizes @p next tells. */
static char *
read_pieces(http_side_t side, const GString *bytes,
    size_t (*next)(size_t at, void *arg), void *arg)
{
	GString *out = g_string_new(NULL);
	head_t head = { 0 };
	http_reader_t r;
	size_t at, n;

	http_reader_init(&r, side, &head);
	r.section_max = LIMIT;
	for (at = 0; at < bytes->len; at += n) {
		char *piece;

		n = next(at, arg);
		if (n > bytes->len - at)
			n = bytes->len - at;
		/* A copy of its own, so that reads beyond it are found. */
		piece = g_memdup2(bytes->str + at, n);
		read_some(&r, out, piece, n);
		g_free(piece);
		if (r.state == HTTP_STATE_REFUSED)
			break;
	}
	if (r.state == HTTP_STATE_UNTIL_END)
		g_string_append(out, " done");
	http_reader_free(&r);
	buf_free(&head.text);
	return g_string_free(out, FALSE);
}

static size_t
whole(size_t at, void *arg)
{
	(void)at, (void)arg;
	return SIZE_MAX;
}

static size_t
one_byte(size_t at, void *arg)
{
	(void)at, (void)arg;
	return 1;
}

static size_t
cut_at(size_t at, void *arg)
{
	size_t cut = *(const size_t *)arg;

	return at < cut ? cut - at : SIZE_MAX;
}

static size_t
by_chance(size_t at, void *arg)
{
	(void)at;
	return (size_t)g_rand_int_range(arg, 1, 24);
}

static void
show(const GString *bytes)
{
	char *text = g_strescape(bytes->str, NULL);

	g_test_message("%s", text);
	g_free(text);
}

static void
assert_same(const char *want, char *got, const GString *bytes)
{
	if (strcmp(want, got) != 0)
		show(bytes);
	g_assert_cmpstr(want, ==, got);
	g_free(got);
}

static void
check_message(http_side_t side, const message_t *m)
{
	GString *bytes = g_string_new(m->bytes);
	char *want = read_pieces(side, bytes, whole, NULL), *reason;
	size_t cut;

	show(bytes);
	reason = strstr(want, " refused: ");
	if (strcmp(m->verdict, "ok") == 0)
		g_assert_true(g_str_has_suffix(want, " done"));
	else
		g_assert_cmpstr(
		    reason != NULL ? reason + 10 : "none", ==, m->verdict);
	assert_same(want, read_pieces(side, bytes, one_byte, NULL), bytes);
	for (cut = 1; cut < bytes->len; cut++)
		assert_same(
		    want, read_pieces(side, bytes, cut_at, &cut), bytes);
	g_free(want);
	g_string_free(bytes, TRUE);
}

/* Guards against a verdict that depends on how TCP cut a request. */
static void
requests_have_one_verdict_at_every_cut(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request); i++)
		check_message(HTTP_SERVER, &request[i]);
}

/* Guards against answers that HTTP/1.1 doesn't allow and that are passed on. */
static void
answers_have_one_verdict_at_every_cut(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answer); i++)
		check_message(HTTP_CLIENT, &answer[i]);
}

/* The limit of a head: its target and its lines of fields. */
static void
limit_is_the_same_at_every_cut(void)
{
	int n;

	for (n = LIMIT - 40; n < LIMIT + 10; n++) {
		char *text =
		    g_strdup_printf(GET "Host: h\r\nA: %0*d\r\n\r\n", n, 0);
		size_t size =
		    strlen("/a") + strlen("Host: h\r\nA: \r\n") + (size_t)n;
		message_t m = { text, size <= LIMIT ? "ok" : "too-large" };

		check_message(HTTP_SERVER, &m);
		g_free(text);
	}
}

/* Change a few bytes, mostly to those that separate the parts of a message. */
static void
mutate(GString *s, GRand *rng)
{
	static const char special[] = "\r\n \t:;,\"%/.\0\x7f"
				      "01aHT-\xff";
	int n = g_rand_int_range(rng, 1, CHANGES_MAX + 1);

	while (n-- > 0 && s->len > 1) {
		gssize at = g_rand_int_range(rng, 0, (gint32)s->len);
		char c = special[g_rand_int_range(
		    rng, 0, (gint32)sizeof(special) - 1)];

		switch (g_rand_int_range(rng, 0, 4)) {
		case 0:
			s->str[at] = c;
			break;
		case 1:
			g_string_insert_c(s, at, c);
			break;
		case 2:
			g_string_erase(s, at, 1);
			break;
		default:
			s->str[at] =
			    s->str[g_rand_int_range(rng, 0, (gint32)s->len)];
			break;
		}
	}
}

static void
check_mutated(http_side_t side, const message_t *m, GRand *rng)
{
	GString *bytes = g_string_new(m->bytes);
	char *want;
	int i;

	mutate(bytes, rng);
	want = read_pieces(side, bytes, whole, NULL);
	assert_same(want, read_pieces(side, bytes, one_byte, NULL), bytes);
	for (i = 0; i < CUTS; i++)
		assert_same(
		    want, read_pieces(side, bytes, by_chance, rng), bytes);
	g_free(want);
	g_string_free(bytes, TRUE);
}

/* The same for messages that are changed by chance; --seed repeats a run. */
static void
mutated_messages_have_one_verdict(void)
{
	GRand *rng = g_rand_new_with_seed((guint32)g_test_rand_int());
	int i;

	for (i = 0; i < MUTATIONS; i++) {
		check_mutated(
		    HTTP_SERVER, &request[i % G_N_ELEMENTS(request)], rng);
		check_mutated(
		    HTTP_CLIENT, &answer[i % G_N_ELEMENTS(answer)], rng);
	}
	g_rand_free(rng);
}

/* Guards against a request that is sent on to another host than it names. */
static void
absolute_form_replaces_the_host(void)
{
	GString *bytes = g_string_new(
	    "GET http://real.example?q HTTP/1.1\r\nHost: other\r\n\r\n");
	char *text = read_pieces(HTTP_SERVER, bytes, whole, NULL);

	g_assert_cmpstr(
	    text, ==, "head 1.1 0 1 /?q Host=real.example body  done");
	g_free(text);
	g_string_free(bytes, TRUE);
}

#define T(name) g_test_add_func("/http-reader/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(requests_have_one_verdict_at_every_cut);
	T(answers_have_one_verdict_at_every_cut);
	T(limit_is_the_same_at_every_cut);
	T(mutated_messages_have_one_verdict);
	T(absolute_form_replaces_the_host);
	return g_test_run();
}
