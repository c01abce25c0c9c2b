/*
 * A token of another call or one after a gap must not reach the caller, however
 * the network splits the stream; and a call may be reported as not run only if
 * nothing was sent or the endpoint said so.
 */
#include "endpoint/outcome.h"
#include "endpoint/report.h"
#include "endpoint/sse.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	SPLITS = 400, /* random ways to split one stream */
};

#define EV(id, k, t) \
	"data: {\"id\":\"" id "\",\"offset\":" #k ",\"token\":\"" t "\"}\n\n"
#define END(k) "data: {\"id\":\"r\",\"offset\":" #k ",\"end\":true}\n\n"

static void
on_token(void *user, uint32_t offset, const char *text, size_t len)
{
	g_string_append_printf(user, "%u:%.*s|", offset, (int)len, text);
}

/* Expected results, independent of how the stream is split into reads. */
static const struct {
	const char *name, *stream, *tokens, *reason;
	uint32_t from, doubled;
	bool ended;
} streams[] = {
	{ "whole", EV("r", 0, "a") EV("r", 1, "b") END(2), "0:a|1:b|", "", 0, 0,
	    true },
	{ "empty", "", "", "", 0, 0, false },
	{ "no tokens", END(0), "", "", 0, 0, true },
	{ "resumed", EV("r", 7, "a") END(8), "7:a|", "", 7, 0, true },
	{ "crlf and comments",
	    ": hi\r\nretry: 3\r\ndata: {\"id\":\"r\",\"offset\":0,\r\n"
	    "data:\"token\":\"a\"}\r\n\r\n" END(1),
	    "0:a|", "", 0, 0, true },
	{ "no end marker", EV("r", 0, "a"), "0:a|", "", 0, 0, false },
	{ "end without its blank line",
	    EV("r", 0, "a") "data: {\"id\":\"r\",\"offset\":1,\"end\":true}\n",
	    "0:a|", "", 0, 0, false },
	{ "doubled", EV("r", 0, "a") EV("r", 0, "a") EV("r", 1, "b") END(2),
	    "0:a|1:b|", "", 0, 1, true },
	{ "older than asked for", EV("r", 3, "a") EV("r", 4, "b") END(5),
	    "4:b|", "", 4, 1, true },
	{ "foreign", EV("r", 0, "a") EV("x", 1, "b") EV("r", 1, "b") END(2),
	    "0:a|", "event of another call", 0, 0, false },
	{ "foreign with a longer id", EV("rr", 0, "a") END(1), "",
	    "event of another call", 0, 0, false },
	{ "foreign end", "data: {\"id\":\"x\",\"offset\":0,\"end\":true}\n\n",
	    "", "event of another call", 0, 0, false },
	{ "gap", EV("r", 0, "a") EV("r", 2, "c") END(3), "0:a|",
	    "gap in the offsets", 0, 0, false },
	{ "end after a gap", EV("r", 0, "a") END(2), "0:a|",
	    "end marker after a gap", 0, 0, false },
	{ "early end", EV("r", 0, "a") EV("r", 1, "b") END(1), "0:a|1:b|",
	    "end marker after a gap", 0, 0, false },
	{ "after the end", EV("r", 0, "a") END(1) EV("x", 1, "b"), "0:a|", "",
	    0, 0, true },
	{ "no JSON", "data: what\n\n", "", "event isn't a JSON object", 0, 0,
	    false },
	{ "negative offset",
	    "data: {\"id\":\"r\",\"offset\":-1,\"token\":\"a\"}\n\n", "",
	    "event without an offset", 0, 0, false },
	{ "no token", "data: {\"id\":\"r\",\"offset\":0}\n\n", "",
	    "event without a token", 0, 0, false },
};

static void
check_random_pieces(size_t row, rng_t *rng)
{
	const char *p = streams[row].stream;
	size_t left = strlen(p);
	GString *got = g_string_new(NULL);
	bool good = true;
	sse_t s;

	sse_init(&s, "r", streams[row].from, on_token, got);
	while (left > 0 && good) {
		size_t n = 1 + rng_next(rng) % left;
		char *part = g_memdup2(p, n); /* lets ASan find an overread */

		good = sse_feed(&s, part, n, NULL) == 0;
		g_free(part);
		p += n;
		left -= n;
	}
	g_assert_cmpstr(got->str, ==, streams[row].tokens);
	g_assert_cmpstr(s.reason, ==, streams[row].reason);
	g_assert_cmpint(good, ==, streams[row].reason[0] == '\0');
	g_assert_cmpuint(s.duplicates, ==, streams[row].doubled);
	g_assert_cmpint(s.ended, ==, streams[row].ended);
	sse_clear(&s);
	g_string_free(got, TRUE);
}

static void
streams_in_random_pieces(void)
{
	rng_t rng = { 20 };
	size_t row;
	int i;

	for (row = 0; row < G_N_ELEMENTS(streams); row++) {
		g_test_message("%s", streams[row].name);
		for (i = 0; i < SPLITS; i++)
			check_random_pieces(row, &rng);
	}
}

static void
endless_line_is_refused(void)
{
	char *part = g_strnfill(64 << 10, 'x');
	err_t e = { 0 };
	sse_t s;
	int i;

	sse_init(&s, "r", 0, on_token, NULL);
	for (i = 0; i < 64 && e.code == ERR_NONE; i++)
		sse_feed(&s, part, 64 << 10, &e);
	g_assert_cmpint(e.code, ==, ERR_FULL);
	g_assert_cmpint(sse_feed(&s, "\n\n", 2, &e), ==, -1);
	sse_clear(&s);
	g_free(part);
}

/* Columns: plain, cancelled, sent, complete, end_marker, status, body. */
static void
outcomes(void)
{
	static const char no[] = "{\"error\":\"busy\",\"ran\":\"no\"}";
	static const char yes[] = "{\"error\":\"failed\",\"ran\":\"yes\"}";
	static const struct {
		call_facts_t f;
		const char *body;
		call_outcome_t want;
		bool not_run;
	} rows[] = {
		{ { 0, 0, 0, 0, 0, 0, NULL, 0 }, "", CALL_REFUSED, true },
		{ { 1, 0, 0, 0, 0, 0, NULL, 0 }, "", CALL_REFUSED, true },
		{ { 0, 0, 1, 0, 0, 0, NULL, 0 }, "", CALL_UNKNOWN, false },
		{ { 1, 0, 1, 0, 0, 0, NULL, 0 }, "", CALL_UNKNOWN, false },
		/* the body of an incomplete answer isn't evidence */
		{ { 1, 0, 1, 0, 0, 503, NULL, 0 }, no, CALL_UNKNOWN, false },
		{ { 1, 0, 1, 1, 0, 503, NULL, 0 }, no, CALL_REFUSED, true },
		{ { 0, 0, 1, 1, 0, 429, NULL, 0 }, no, CALL_REFUSED, true },
		{ { 0, 0, 1, 1, 0, 500, NULL, 0 }, yes, CALL_FAILED, false },
		{ { 1, 0, 1, 1, 0, 404, NULL, 0 }, "", CALL_FAILED, false },
		{ { 1, 0, 1, 1, 0, 503, NULL, 0 }, "no", CALL_FAILED, false },
		/* the body of a successful answer isn't interpreted */
		{ { 1, 0, 1, 1, 0, 200, NULL, 0 }, no, CALL_DONE, false },
		{ { 1, 0, 1, 0, 0, 200, NULL, 0 }, "", CALL_UNKNOWN, false },
		{ { 0, 0, 1, 1, 0, 200, NULL, 0 }, "", CALL_UNKNOWN, false },
		{ { 0, 0, 1, 1, 1, 200, NULL, 0 }, "", CALL_DONE, false },
		{ { 0, 1, 1, 0, 0, 200, NULL, 0 }, "", CALL_CANCELLED, false },
		{ { 0, 1, 0, 0, 0, 0, NULL, 0 }, "", CALL_CANCELLED, true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		call_facts_t f = rows[i].f;
		bool not_run;

		f.body = rows[i].body;
		f.len = strlen(f.body);
		g_test_message("row %zu", i);
		g_assert_cmpint(call_classify(&f, &not_run), ==, rows[i].want);
		g_assert_cmpint(not_run, ==, rows[i].not_run);
	}
}

static void
reports(void)
{
	static const struct {
		const char *text;
		int resident; /* -1: refused */
	} rows[] = {
		{ "{\"worker\":\"w\",\"resident\":[]}", 0 },
		{ "{\"worker\":\"w\",\"resident\":[{\"model\":\"m\",\"adapter"
		  "\":\"\",\"version\":3,\"state\":\"ready\",\"memory_mb\":9}"
		  "]}",
		    1 },
		{ "{\"worker\":\"w\",\"resident\":[{\"model\":\"m\",\"state\":"
		  "\"odd\"}]}",
		    -1 },
		{ "{\"worker\":\"w\",\"resident\":[{\"state\":\"ready\"}]}",
		    -1 },
		{ "{\"resident\":[]}", -1 },
		{ "[]", -1 },
		{ "", -1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		load_report_t *r = calloc(1, sizeof(*r));
		int rc = load_report_parse(
		    r, rows[i].text, strlen(rows[i].text), NULL);

		g_test_message("row %zu", i);
		g_assert_cmpint(rc, ==, rows[i].resident < 0 ? -1 : 0);
		g_assert_cmpint(r->nresident, ==, MAX(rows[i].resident, 0));
		load_report_free(r);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/endpoint/streams-random-pieces", streams_in_random_pieces);
	g_test_add_func("/endpoint/endless-line", endless_line_is_refused);
	g_test_add_func("/endpoint/outcomes", outcomes);
	g_test_add_func("/endpoint/reports", reports);
	return g_test_run();
}
