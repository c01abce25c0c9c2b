#include "standin/token.h"

#include "base/base.h"

#include <stdlib.h>
#include <string.h>

enum {
	TOKENS_MIN = 16, /* in the answer to a prompt without "#N" */
	TOKENS_RANGE = 32,
};

void
token_text(char *buf, size_t size, const char *prompt, uint32_t k)
{
	snprintf(buf, size, "t%u-%08x ", k, (uint32_t)hash_str(prompt, k));
}

uint32_t
token_count(const char *prompt, uint32_t max_tokens)
{
	const char *mark = strrchr(prompt, '#');
	uint32_t n = TOKENS_MIN + hash_str(prompt, 0) % TOKENS_RANGE;
	char *end;

	if (mark != NULL && mark[1] != '\0') {
		unsigned long asked = strtoul(mark + 1, &end, 10);

		if (*end == '\0')
			n = asked;
	}
	return n < max_tokens ? n : max_tokens;
}
