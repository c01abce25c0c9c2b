#include "net/http_syntax.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

/* Where a byte may stand. */
enum {
	TEXT = 1,  /* in a line */
	TOKEN = 2, /* in a token */
	PATH = 4,  /* in a path or query */
	HOST = 8,  /* in a host's name */
	ALL = TEXT | TOKEN | PATH | HOST,
	DELIMITER = TEXT | PATH | HOST,
};

static const unsigned char class_of[256] = {
	['\t'] = TEXT,
	[' '] = TEXT,
	['!'] = ALL,
	['"'] = TEXT,
	['#'] = TEXT | TOKEN,
	['$'] = ALL,
	['%'] = ALL,
	['&'] = ALL,
	['\''] = ALL,
	['('] = DELIMITER,
	[')'] = DELIMITER,
	['*'] = ALL,
	['+'] = ALL,
	[','] = DELIMITER,
	['-'] = ALL,
	['.'] = ALL,
	['/'] = TEXT | PATH,
	['0' ... '9'] = ALL,
	[':'] = TEXT | PATH,
	[';'] = DELIMITER,
	['<'] = TEXT,
	['='] = DELIMITER,
	['>'] = TEXT,
	['?'] = TEXT | PATH,
	['@'] = TEXT | PATH,
	['A' ... 'Z'] = ALL,
	['['] = TEXT,
	['\\'] = TEXT,
	[']'] = TEXT,
	['^'] = TEXT | TOKEN,
	['_'] = ALL,
	['`'] = TEXT | TOKEN,
	['a' ... 'z'] = ALL,
	['{'] = TEXT,
	['|'] = TEXT | TOKEN,
	['}'] = TEXT,
	['~'] = ALL,
	[0x80 ... 0xff] = TEXT,
};

static size_t
span(const char *p, size_t n, int class)
{
	size_t i = 0;

	while (i < n && (class_of[(unsigned char)p[i]] & class) != 0)
		i++;
	return i;
}

static size_t
blanks(const char *p, size_t n)
{
	size_t i = 0;

	while (i < n && (p[i] == ' ' || p[i] == '\t'))
		i++;
	return i;
}

size_t
http_text_length(const char *p, size_t n)
{
	return span(p, n, TEXT);
}

bool
http_is_token(const char *p, size_t n)
{
	return n > 0 && span(p, n, TOKEN) == n;
}

/* Each % begins the two hexadecimal digits of a byte. */
static bool
has_sound_escapes(const char *p, size_t n)
{
	const char *end = p + n;

	while ((p = memchr(p, '%', (size_t)(end - p))) != NULL) {
		if (end - p < 3 || !isxdigit((unsigned char)p[1]) ||
		    !isxdigit((unsigned char)p[2]))
			return false;
		p += 3;
	}
	return true;
}

bool
http_is_path(const char *p, size_t n)
{
	return n > 0 && p[0] == '/' && span(p, n, PATH) == n &&
	       has_sound_escapes(p, n);
}

/* "[", an IPv6 address and "]". @return its length, 0: it isn't one */
static size_t
ip_literal(const char *p, size_t n)
{
	size_t i = 1;

	while (i < n &&
	       (isxdigit((unsigned char)p[i]) || p[i] == ':' || p[i] == '.'))
		i++;
	return i > 1 && i < n && p[i] == ']' ? i + 1 : 0;
}

bool
http_is_host(const char *p, size_t n)
{
	bool literal = n > 0 && p[0] == '[';
	size_t i = literal ? ip_literal(p, n) : span(p, n, HOST);

	if ((literal && i == 0) || !has_sound_escapes(p, i))
		return false;
	if (i == n)
		return true;
	if (p[i] != ':')
		return false;
	while (++i < n && isdigit((unsigned char)p[i]))
		;
	return i == n;
}

/* @return the length of a quoted string at the start, 0: there is none */
static size_t
quoted(const char *p, size_t n)
{
	size_t i;

	if (n == 0 || p[0] != '"')
		return 0;
	for (i = 1; i < n && p[i] != '"'; i++)
		if (p[i] == '\\')
			i++;
	return i < n ? i + 1 : 0;
}

/* ";" name, or ";" name "=" value, with blanks between. */
bool
http_is_chunk_extension(const char *p, size_t n)
{
	size_t i = 0, k;

	while (i < n) {
		i += blanks(p + i, n - i);
		if (i == n || p[i] != ';')
			return false;
		i++;
		i += blanks(p + i, n - i);
		k = span(p + i, n - i, TOKEN);
		if (k == 0)
			return false;
		i += k;
		k = blanks(p + i, n - i);
		if (i + k == n || p[i + k] != '=')
			continue;
		i += k + 1;
		i += blanks(p + i, n - i);
		k = span(p + i, n - i, TOKEN);
		if (k == 0)
			k = quoted(p + i, n - i);
		if (k == 0)
			return false;
		i += k;
	}
	return true;
}

bool
http_decimal(const char *p, size_t n, int64_t *to)
{
	int64_t v = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		int digit = p[i] - '0';

		if (digit < 0 || digit > 9 || v > (INT64_MAX - digit) / 10)
			return false;
		v = v * 10 + digit;
	}
	*to = v;
	return n > 0;
}

void
http_trim(const char **p, size_t *n)
{
	size_t k = blanks(*p, *n);

	*p += k;
	*n -= k;
	while (*n > 0 && blanks(*p + *n - 1, 1) == 1)
		(*n)--;
}

bool
http_is_word(const char *p, size_t n, const char *word)
{
	return strlen(word) == n && strncasecmp(p, word, n) == 0;
}

bool
http_list_has(const char *p, size_t n, const char *word)
{
	const char *end = p + n, *comma, *at;
	size_t len;

	for (; p < end; p = comma + 1) {
		comma = memchr(p, ',', (size_t)(end - p));
		if (comma == NULL)
			comma = end;
		at = p;
		len = (size_t)(comma - p);
		http_trim(&at, &len);
		if (http_is_word(at, len, word))
			return true;
	}
	return false;
}
