#include "net/http_reader.h"
#include "net/http_syntax.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

enum {
	SECTION_MAX = 64 << 10, /* bytes, where the user sets no limit */
	/* Of a start line, beside its target or reason. */
	START_LINE_EXTRA = 32, /* bytes */
	METHOD_MAX = 16,       /* bytes */
	/* RFC 9112, 2.2: some clients send one after a body. */
	EMPTY_LINES_MAX = 4,
	INTERIM_MAX = 8, /* before an answer */
	VERSION_LEN = 8, /* bytes of "HTTP/1.1" */
	CHUNK_SIZE_BITS = 60,
	STATUS_MIN = 100,
	STATUS_SWITCHING = 101, /* never asked for */
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_MAX = 599,
};

static const char version_1[] = "HTTP/1.";

/* A line without its end. */
typedef struct line {
	const char *p;
	size_t len;
} line_t;

typedef enum line_result {
	LINE_WHOLE,
	LINE_MORE,
	LINE_REFUSED
} line_result_t;

const char *
http_fault_text(http_fault_t f)
{
	static const char *const text[] = {
		[HTTP_FAULT_NONE] = "none",
		[HTTP_FAULT_LINE_END] = "line-end",
		[HTTP_FAULT_CONTROL] = "control-byte",
		[HTTP_FAULT_START_LINE] = "start-line",
		[HTTP_FAULT_VERSION] = "version",
		[HTTP_FAULT_METHOD] = "method",
		[HTTP_FAULT_TARGET] = "target",
		[HTTP_FAULT_STATUS] = "status",
		[HTTP_FAULT_NAME] = "field-name",
		[HTTP_FAULT_FOLDED] = "folded-line",
		[HTTP_FAULT_HOST] = "host",
		[HTTP_FAULT_LENGTH] = "length",
		[HTTP_FAULT_CODING] = "transfer-coding",
		[HTTP_FAULT_FRAMING] = "framing",
		[HTTP_FAULT_CHUNK] = "chunk",
		[HTTP_FAULT_INTERIM] = "interim-answers",
		[HTTP_FAULT_TOO_LARGE] = "too-large",
	};

	return text[f];
}

void
http_reader_init(http_reader_t *r, http_side_t side, head_t *head)
{
	memset(r, 0, sizeof(*r));
	r->side = side;
	r->head = head;
	r->content_length = -1;
}

void
http_reader_free(http_reader_t *r)
{
	buf_free(&r->line);
}

static http_event_t
refuse(http_reader_t *r, http_fault_t f)
{
	r->state = HTTP_STATE_REFUSED;
	r->fault = f;
	return HTTP_EVENT_FAULT;
}

static size_t
section_max(const http_reader_t *r)
{
	size_t max = r->section_max != 0 ? r->section_max : SECTION_MAX;

	return r->state == HTTP_STATE_START_LINE ? max + START_LINE_EXTRA : max;
}

/*
 * Judge the start of a start line, so that bytes that are no HTTP are refused
 * though their line doesn't end.
 */
static http_fault_t
judge_start(const http_reader_t *r, const line_t *l)
{
	size_t i;

	if (r->side == HTTP_CLIENT) {
		for (i = 0; i < l->len && version_1[i] != '\0'; i++)
			if (l->p[i] != version_1[i])
				return i < strlen("HTTP/")
					   ? HTTP_FAULT_START_LINE
					   : HTTP_FAULT_VERSION;
		return HTTP_FAULT_NONE;
	}
	for (i = 0; i < l->len && l->p[i] != ' '; i++)
		if (i == METHOD_MAX || !http_is_token(&l->p[i], 1))
			return HTTP_FAULT_START_LINE;
	return i == 0 && l->len > 0 ? HTTP_FAULT_START_LINE : HTTP_FAULT_NONE;
}

/* Judge a line, or its start if @p whole is false. Its end has two bytes. */
static http_fault_t
judge_line(const http_reader_t *r, const line_t *l, bool whole)
{
	http_fault_t f = HTTP_FAULT_NONE;
	size_t n = r->section + l->len + (whole && l->len > 0 ? 2 : 0);

	if (r->state == HTTP_STATE_START_LINE)
		f = judge_start(r, l);
	/* The empty line isn't counted: its end may still follow. */
	if (f == HTTP_FAULT_NONE && n > section_max(r) + (whole ? 0 : 2))
		f = HTTP_FAULT_TOO_LARGE;
	return f;
}

/* Take a line whose start was kept, or that doesn't end within the bytes. */
static line_result_t
take_kept_line(
    http_reader_t *r, const char **p, const char *end, size_t text, line_t *l)
{
	http_fault_t f;

	buf_add(&r->line, *p, text);
	*p += text;
	*l = (line_t){ buf_len(&r->line) > 0 ? r->line.p + r->line.off : "",
		buf_len(&r->line) };
	f = judge_line(r, l, false);
	if (f == HTTP_FAULT_NONE && *p < end && !r->has_cr) {
		if (**p == '\r')
			r->has_cr = true;
		else
			f = **p == '\n' ? HTTP_FAULT_LINE_END
					: HTTP_FAULT_CONTROL;
		(*p)++;
	}
	if (f == HTTP_FAULT_NONE && *p < end && **p != '\n')
		f = HTTP_FAULT_LINE_END;
	if (f == HTTP_FAULT_NONE && *p == end)
		return LINE_MORE;
	if (f == HTTP_FAULT_NONE)
		f = judge_line(r, l, true);
	if (f != HTTP_FAULT_NONE) {
		refuse(r, f);
		return LINE_REFUSED;
	}
	(*p)++;
	r->has_cr = false;
	return LINE_WHOLE;
}

/*
 * Take a line. If it was taken, it is valid until the next bytes are, or until
 * release_line().
 */
static line_result_t
take_line(http_reader_t *r, const char **p, const char *end, line_t *l)
{
	const char *at = *p;
	size_t n = (size_t)(end - at);
	size_t text = r->has_cr ? 0 : http_text_length(at, n);
	http_fault_t f;

	if (buf_len(&r->line) > 0 || r->has_cr || n - text < 2 ||
	    at[text] != '\r' || at[text + 1] != '\n')
		return take_kept_line(r, p, end, text, l);
	*l = (line_t){ at, text };
	*p = at + text + 2;
	f = judge_line(r, l, false);
	if (f == HTTP_FAULT_NONE)
		f = judge_line(r, l, true);
	if (f == HTTP_FAULT_NONE)
		return LINE_WHOLE;
	refuse(r, f);
	return LINE_REFUSED;
}

static void
release_line(http_reader_t *r)
{
	buf_consume(&r->line, buf_len(&r->line));
}

/* Append a string to the head. @return its offset */
static uint32_t
store(http_reader_t *r, const char *p, size_t n)
{
	uint32_t at = (uint32_t)r->head->text.len;

	buf_add(&r->head->text, p, n);
	buf_add(&r->head->text, "", 1);
	return at;
}

static bool
read_version(http_reader_t *r, const char *p, size_t n, http_fault_t *f)
{
	*f = HTTP_FAULT_START_LINE;
	if (n != VERSION_LEN || memcmp(p, "HTTP/", 5) != 0 ||
	    !isdigit((unsigned char)p[5]) || p[6] != '.' ||
	    !isdigit((unsigned char)p[7]))
		return false;
	*f = HTTP_FAULT_VERSION;
	r->http_major = p[5] - '0';
	r->http_minor = p[7] - '0';
	return r->http_major == 1;
}

static bool
read_method(http_reader_t *r, const char *p, size_t n)
{
	static const struct {
		unsigned number;
		const char *name;
	} known[] = {
#define XX(num, name, string) { num, #string },
		HTTP_METHOD_MAP(XX)
#undef XX
	};
	size_t i;

	for (i = 0; i < sizeof(known) / sizeof(known[0]); i++)
		if (strlen(known[i].name) == n &&
		    memcmp(known[i].name, p, n) == 0) {
			r->method = known[i].number;
			return r->method != HTTP_CONNECT;
		}
	return false;
}

/* http://HOST/PATH: the host replaces that of the Host field. */
static bool
read_absolute_form(http_reader_t *r, const char *p, size_t n)
{
	static const char scheme[] = "http://";
	size_t k = sizeof(scheme) - 1, host = 0;

	if (n < k || strncasecmp(p, scheme, k) != 0)
		return false;
	p += k;
	n -= k;
	while (host < n && p[host] != '/' && p[host] != '?')
		host++;
	if (host == 0 || !http_is_host(p, host))
		return false;
	r->authority = store(r, p, host);
	r->has_authority = true;
	r->head->target = (uint32_t)r->head->text.len;
	if (host == n || p[host] == '?')
		buf_add(&r->head->text, "/", 1);
	store(r, p + host, n - host);
	return http_is_path(head_target(r->head), strlen(head_target(r->head)));
}

static bool
read_target(http_reader_t *r, const char *p, size_t n)
{
	if (http_is_path(p, n) ||
	    (r->method == HTTP_OPTIONS && n == 1 && p[0] == '*')) {
		r->head->target = store(r, p, n);
		return true;
	}
	return read_absolute_form(r, p, n);
}

static http_fault_t
read_request_line(http_reader_t *r, const line_t *l)
{
	const char *end = l->p + l->len, *target, *version;
	http_fault_t f;

	target = memchr(l->p, ' ', l->len);
	version = target != NULL
		      ? memchr(target + 1, ' ', (size_t)(end - target - 1))
		      : NULL;
	if (version == NULL)
		return HTTP_FAULT_START_LINE;
	if (!read_version(r, version + 1, (size_t)(end - version - 1), &f))
		return f;
	if (!read_method(r, l->p, (size_t)(target - l->p)))
		return HTTP_FAULT_METHOD;
	target++;
	if (!read_target(r, target, (size_t)(version - target)))
		return HTTP_FAULT_TARGET;
	r->section = (size_t)(version - target);
	return HTTP_FAULT_NONE;
}

static http_fault_t
read_status_line(http_reader_t *r, const line_t *l)
{
	const char *p = l->p + VERSION_LEN;
	http_fault_t f;
	int64_t status;

	if (l->len < VERSION_LEN || !read_version(r, l->p, VERSION_LEN, &f))
		return l->len < VERSION_LEN ? HTTP_FAULT_START_LINE : f;
	/* The reason may be empty, but not the blank before it. */
	if (l->len < VERSION_LEN + 5 || p[0] != ' ' || p[4] != ' ')
		return HTTP_FAULT_START_LINE;
	if (!http_decimal(p + 1, 3, &status) || status < STATUS_MIN ||
	    status > STATUS_MAX || status == STATUS_SWITCHING)
		return HTTP_FAULT_STATUS;
	r->status_code = (int)status;
	r->section = l->len + 2;
	return HTTP_FAULT_NONE;
}

static bool
is_interim(const http_reader_t *r)
{
	return r->side == HTTP_CLIENT && r->status_code < 200;
}

static http_fault_t
read_coding(http_reader_t *r, const line_t *value)
{
	if (r->chunked || !http_is_word(value->p, value->len, "chunked"))
		return HTTP_FAULT_CODING;
	r->chunked = true;
	return HTTP_FAULT_NONE;
}

/* Note a field that the reader itself goes by. */
static http_fault_t
note_field(http_reader_t *r, const line_t *name, const line_t *value)
{
	switch (name->len) {
	case sizeof("Host") - 1:
		if (r->side == HTTP_SERVER &&
		    http_is_word(name->p, name->len, "Host") &&
		    (++r->hosts > 1 || !http_is_host(value->p, value->len)))
			return HTTP_FAULT_HOST;
		break;
	case sizeof("Connection") - 1:
		if (!http_is_word(name->p, name->len, "Connection"))
			break;
		r->close |= http_list_has(value->p, value->len, "close");
		r->keep |= http_list_has(value->p, value->len, "keep-alive");
		break;
	case sizeof("Content-Length") - 1:
		if (http_is_word(name->p, name->len, "Content-Length") &&
		    (r->content_length != -1 ||
			!http_decimal(
			    value->p, value->len, &r->content_length)))
			return HTTP_FAULT_LENGTH;
		break;
	case sizeof("Transfer-Encoding") - 1:
		if (http_is_word(name->p, name->len, "Transfer-Encoding"))
			return read_coding(r, value);
		break;
	default:
		break;
	}
	return HTTP_FAULT_NONE;
}

static http_fault_t
read_field(http_reader_t *r, const line_t *l)
{
	const char *colon = memchr(l->p, ':', l->len);
	line_t name, value;
	head_t *h = r->head;

	if (l->p[0] == ' ' || l->p[0] == '\t')
		return HTTP_FAULT_FOLDED;
	if (colon == NULL)
		return HTTP_FAULT_NAME;
	name = (line_t){ l->p, (size_t)(colon - l->p) };
	value = (line_t){ colon + 1, l->len - name.len - 1 };
	if (!http_is_token(name.p, name.len))
		return HTTP_FAULT_NAME;
	r->section += l->len + 2;
	/* Trailers are dropped. */
	if (r->state == HTTP_STATE_TRAILERS)
		return HTTP_FAULT_NONE;
	if (h->nfield == HEADERS_MAX)
		return HTTP_FAULT_TOO_LARGE;
	http_trim(&value.p, &value.len);
	h->field[h->nfield].name = store(r, name.p, name.len);
	h->field[h->nfield++].value = store(r, value.p, value.len);
	return note_field(r, &name, &value);
}

/* RFC 9112, 6.1 to 6.3. */
static http_fault_t
choose_framing(http_reader_t *r)
{
	bool answer = r->side == HTTP_CLIENT;
	bool bare =
	    answer && (is_interim(r) || r->status_code == STATUS_NO_CONTENT);

	if (r->chunked && (r->content_length != -1 || r->http_minor == 0))
		return HTTP_FAULT_FRAMING;
	if (bare && (r->chunked || r->content_length > 0))
		return HTTP_FAULT_FRAMING;
	r->left = r->content_length > 0 ? (uint64_t)r->content_length : 0;
	if (bare ||
	    (answer && (r->no_body || r->status_code == STATUS_NOT_MODIFIED)))
		r->state = HTTP_STATE_NO_BODY;
	else if (r->chunked)
		r->state = HTTP_STATE_CHUNK_LINE;
	else if (answer && r->content_length == -1)
		r->state = HTTP_STATE_UNTIL_END;
	else
		r->state = r->left > 0 ? HTTP_STATE_LENGTH : HTTP_STATE_NO_BODY;
	return HTTP_FAULT_NONE;
}

static http_fault_t
check_host(http_reader_t *r)
{
	int i;

	if (r->side == HTTP_CLIENT)
		return HTTP_FAULT_NONE;
	if (r->hosts == 0 && r->http_minor > 0)
		return HTTP_FAULT_HOST;
	for (i = 0; i < r->head->nfield && r->has_authority; i++)
		if (strcasecmp(head_name(r->head, i), "Host") == 0)
			r->head->field[i].value = r->authority;
	return HTTP_FAULT_NONE;
}

/* The empty line after the fields was read. */
static http_event_t
end_head(http_reader_t *r)
{
	http_fault_t f = check_host(r);

	if (f == HTTP_FAULT_NONE)
		f = choose_framing(r);
	if (f != HTTP_FAULT_NONE)
		return refuse(r, f);
	r->section = 0;
	if (is_interim(r)) {
		if (++r->interim > INTERIM_MAX)
			return refuse(r, HTTP_FAULT_INTERIM);
		r->state = HTTP_STATE_START;
		return HTTP_EVENT_INTERIM;
	}
	r->interim = 0;
	r->keep_alive = !r->close && (r->http_minor > 0 || r->keep) &&
			r->state != HTTP_STATE_UNTIL_END;
	return HTTP_EVENT_HEAD;
}

static http_event_t
begin(http_reader_t *r)
{
	head_t *h = r->head;

	buf_consume(&h->text, buf_len(&h->text));
	h->target = 0;
	h->nfield = 0;
	r->section = 0;
	r->content_length = -1;
	r->status_code = 0;
	r->chunked = r->has_authority = r->close = r->keep = false;
	r->hosts = r->empty_lines = 0;
	r->state = HTTP_STATE_START_LINE;
	return HTTP_EVENT_BEGIN;
}

/* Handle a line of a head or of trailers. @return HTTP_EVENT_MORE: go on */
static http_event_t
head_line(http_reader_t *r, const line_t *l)
{
	http_fault_t f;

	if (r->state == HTTP_STATE_START_LINE) {
		f = r->side == HTTP_SERVER ? read_request_line(r, l)
					   : read_status_line(r, l);
		if (f == HTTP_FAULT_NONE)
			r->state = HTTP_STATE_FIELDS;
	} else if (l->len > 0) {
		f = read_field(r, l);
	} else if (r->state == HTTP_STATE_FIELDS) {
		return end_head(r);
	} else {
		r->state = HTTP_STATE_START;
		return HTTP_EVENT_DONE;
	}
	return f != HTTP_FAULT_NONE ? refuse(r, f) : HTTP_EVENT_MORE;
}

/* The size of a chunk, in hexadecimal digits, and perhaps extensions. */
static http_event_t
chunk_line(http_reader_t *r, const line_t *l)
{
	size_t i;

	r->left = 0;
	for (i = 0; i < l->len && isxdigit((unsigned char)l->p[i]); i++) {
		int c = tolower((unsigned char)l->p[i]);

		if (r->left >> (CHUNK_SIZE_BITS - 4) != 0)
			return refuse(r, HTTP_FAULT_CHUNK);
		r->left = r->left << 4 |
			  (uint64_t)(isdigit(c) ? c - '0' : c - 'a' + 10);
	}
	if (i == 0 || !http_is_chunk_extension(l->p + i, l->len - i))
		return refuse(r, HTTP_FAULT_CHUNK);
	r->section = 0;
	r->state = r->left > 0 ? HTTP_STATE_CHUNK_DATA : HTTP_STATE_TRAILERS;
	return HTTP_EVENT_CHUNK;
}

static http_event_t
read_line(http_reader_t *r, const char **p, const char *end)
{
	bool chunk = r->state == HTTP_STATE_CHUNK_LINE;
	http_event_t ev;
	line_t l;

	switch (take_line(r, p, end, &l)) {
	case LINE_WHOLE:
		break;
	case LINE_MORE:
		return HTTP_EVENT_MORE;
	case LINE_REFUSED:
		return HTTP_EVENT_FAULT;
	}
	ev = chunk ? chunk_line(r, &l) : head_line(r, &l);
	release_line(r);
	return ev;
}

/* Take a part of the body, up to what is left of it or of its chunk. */
static http_event_t
read_body(http_reader_t *r, const char **p, const char *end)
{
	size_t n = (size_t)(end - *p);

	if (r->state != HTTP_STATE_UNTIL_END && n > r->left)
		n = (size_t)r->left;
	r->part = *p;
	r->part_len = n;
	*p += n;
	if (r->state == HTTP_STATE_UNTIL_END)
		return HTTP_EVENT_BODY;
	r->left -= n;
	if (r->left == 0)
		r->state = r->state == HTTP_STATE_CHUNK_DATA
			       ? HTTP_STATE_CHUNK_CR
			       : HTTP_STATE_NO_BODY;
	return HTTP_EVENT_BODY;
}

/* @return HTTP_EVENT_MORE: go on */
static http_event_t
read_start(http_reader_t *r, const char **p)
{
	if (r->side == HTTP_CLIENT || **p != '\r')
		return begin(r);
	if (++r->empty_lines > EMPTY_LINES_MAX)
		return refuse(r, HTTP_FAULT_START_LINE);
	(*p)++;
	r->state = HTTP_STATE_EMPTY_LINE;
	return HTTP_EVENT_MORE;
}

/* Take one byte that has to be @p c. @return HTTP_EVENT_MORE: go on */
static http_event_t
expect(
    http_reader_t *r, const char **p, char c, http_state_t next, http_fault_t f)
{
	if (**p != c)
		return refuse(r, f);
	(*p)++;
	r->state = next;
	return HTTP_EVENT_MORE;
}

http_event_t
http_reader_next(http_reader_t *r, const char **p, const char *end)
{
	http_event_t ev = HTTP_EVENT_MORE;

	while (ev == HTTP_EVENT_MORE) {
		if (r->state == HTTP_STATE_REFUSED)
			return HTTP_EVENT_FAULT;
		if (r->state == HTTP_STATE_NO_BODY) {
			r->state = HTTP_STATE_START;
			return HTTP_EVENT_DONE;
		}
		if (*p == end)
			return HTTP_EVENT_MORE;
		switch (r->state) {
		case HTTP_STATE_START:
			ev = read_start(r, p);
			break;
		case HTTP_STATE_EMPTY_LINE:
			ev = expect(
			    r, p, '\n', HTTP_STATE_START, HTTP_FAULT_LINE_END);
			break;
		case HTTP_STATE_START_LINE:
		case HTTP_STATE_FIELDS:
		case HTTP_STATE_CHUNK_LINE:
		case HTTP_STATE_TRAILERS:
			ev = read_line(r, p, end);
			break;
		case HTTP_STATE_LENGTH:
		case HTTP_STATE_UNTIL_END:
		case HTTP_STATE_CHUNK_DATA:
			return read_body(r, p, end);
		case HTTP_STATE_CHUNK_CR:
			ev = expect(
			    r, p, '\r', HTTP_STATE_CHUNK_LF, HTTP_FAULT_CHUNK);
			break;
		case HTTP_STATE_CHUNK_LF:
			ev = expect(r, p, '\n', HTTP_STATE_CHUNK_LINE,
			    HTTP_FAULT_CHUNK);
			break;
		case HTTP_STATE_NO_BODY:
		case HTTP_STATE_REFUSED:
			break;
		}
	}
	return ev;
}

bool
http_reader_end(const http_reader_t *r)
{
	return r->state == HTTP_STATE_UNTIL_END;
}
