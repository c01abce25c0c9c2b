#include "base/base.h"

#include <string.h>
#include <ini.h>

/*
 * Debian's inih is built without line numbers for handlers, so next_line()
 * counts the lines.
 */
typedef struct ini_source {
	const char *pos, *end;
	int line;
	bool line_ended;
	ini_key_t *on_key;
	void *user;
} ini_source_t;

static char *
next_line(char *buf, int size, void *stream)
{
	ini_source_t *t = stream;
	int n = 0;

	if (t->pos >= t->end || size < 2)
		return NULL;
	if (t->line_ended)
		t->line++;
	t->line_ended = false;
	while (n + 1 < size && t->pos < t->end && !t->line_ended) {
		t->line_ended = *t->pos == '\n';
		buf[n++] = *t->pos++;
	}
	buf[n] = '\0';
	return buf;
}

static int
on_pair(void *user, const char *section, const char *key, const char *value)
{
	ini_source_t *t = user;

	t->on_key(t->user, section, key, value, t->line);
	return 1;
}

int
ini_text(const char *text, size_t len, ini_key_t *on_key, void *user)
{
	ini_source_t t = { text, text + len, 0, true, on_key, user };

	return ini_parse_stream(next_line, &t, on_pair, &t);
}
