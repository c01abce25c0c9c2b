#include "endpoint/sse.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	EVENT_MAX = 256 << 10, /* bytes of a line, and of an event */
	BUFFER_MIN = 256,
};

void
sse_init(
    sse_t *s, const char *id, uint32_t next, sse_token_t *token, void *user)
{
	memset(s, 0, sizeof(*s));
	str_set(s->id, sizeof(s->id), id);
	s->next = next;
	s->token = token;
	s->user = user;
}

void
sse_clear(sse_t *s)
{
	free(s->line);
	free(s->data);
	s->line = s->data = NULL;
	s->line_len = s->line_room = s->data_len = s->data_room = 0;
}

static int
fail_stream(sse_t *s, err_t *e, err_code_t code, const char *why)
{
	str_set(s->reason, sizeof(s->reason), why);
	return err_set(e, code, "%s", why);
}

/* Append to a growing buffer. @return -1 over EVENT_MAX, or out of memory */
static int
append(char **buf, size_t *len, size_t *room, const char *p, size_t n)
{
	size_t want = *room == 0 ? BUFFER_MIN : *room;
	char *more;

	if (*len + n > EVENT_MAX)
		return -1;
	while (want < *len + n)
		want *= 2;
	if (want != *room) {
		if ((more = realloc(*buf, want)) == NULL)
			return -1;
		*buf = more;
		*room = want;
	}
	memcpy(*buf + *len, p, n);
	*len += n;
	return 0;
}

static int
handle_end(sse_t *s, const json_t *j, json_int_t offset, err_t *e)
{
	const char *finish = json_string_value(json_object_get(j, "finish"));

	if (offset != s->next)
		return fail_stream(s, e, ERR_PROTO, "end marker after a gap");
	s->ended = true;
	str_set(s->finish, sizeof(s->finish), finish == NULL ? "" : finish);
	return 0;
}

static int
handle_token(sse_t *s, const json_t *j, json_int_t offset, err_t *e)
{
	const json_t *token = json_object_get(j, "token");

	if (!json_is_string(token))
		return fail_stream(s, e, ERR_PROTO, "event without a token");
	if (offset < s->next) {
		s->duplicates++;
		return 0;
	}
	if (offset > s->next)
		return fail_stream(s, e, ERR_PROTO, "gap in the offsets");
	s->token(s->user, s->next, json_string_value(token),
	    json_string_length(token));
	s->next++;
	return 0;
}

static int
handle_json(sse_t *s, const json_t *j, err_t *e)
{
	const char *id = json_string_value(json_object_get(j, "id"));
	const json_t *offset = json_object_get(j, "offset");

	if (id == NULL || strcmp(id, s->id) != 0)
		return fail_stream(s, e, ERR_PROTO, "event of another call");
	if (!json_is_integer(offset) || json_integer_value(offset) < 0 ||
	    json_integer_value(offset) > UINT32_MAX - 1)
		return fail_stream(s, e, ERR_PROTO, "event without an offset");
	if (json_is_true(json_object_get(j, "end")))
		return handle_end(s, j, json_integer_value(offset), e);
	return handle_token(s, j, json_integer_value(offset), e);
}

static int
handle_event(sse_t *s, err_t *e)
{
	json_t *j;
	int rc;

	if (!s->has_data)
		return 0;
	j = json_loadb(s->data, s->data_len, 0, NULL);
	s->data_len = 0;
	s->has_data = false;
	if (!json_is_object(j)) {
		json_decref(j);
		return fail_stream(
		    s, e, ERR_PROTO, "event isn't a JSON object");
	}
	rc = handle_json(s, j, e);
	json_decref(j);
	return rc;
}

static int
handle_line(sse_t *s, const char *p, size_t n, err_t *e)
{
	static const char field[] = "data:";
	size_t skip = sizeof(field) - 1;

	if (n > 0 && p[n - 1] == '\r')
		n--;
	if (n == 0)
		return handle_event(s, e);
	if (n < skip || memcmp(p, field, skip) != 0)
		return 0; /* a comment or an unused field */
	if (skip < n && p[skip] == ' ')
		skip++;
	if ((s->has_data &&
		append(&s->data, &s->data_len, &s->data_room, "\n", 1) == -1) ||
	    append(&s->data, &s->data_len, &s->data_room, p + skip, n - skip) ==
		-1)
		return fail_stream(s, e, ERR_FULL, "event too long");
	s->has_data = true;
	return 0;
}

int
sse_feed(sse_t *s, const char *p, size_t n, err_t *e)
{
	if (s->reason[0] != '\0')
		return err_set(e, ERR_PROTO, "%s", s->reason);
	while (n > 0 && !s->ended) {
		const char *nl = memchr(p, '\n', n);
		size_t part = nl == NULL ? n : (size_t)(nl - p);
		int rc;

		if (append(&s->line, &s->line_len, &s->line_room, p, part) ==
		    -1)
			return fail_stream(s, e, ERR_FULL, "line too long");
		if (nl == NULL)
			return 0;
		rc = handle_line(s, s->line, s->line_len, e);
		s->line_len = 0;
		if (rc == -1)
			return -1;
		p += part + 1;
		n -= part + 1;
	}
	return 0;
}
