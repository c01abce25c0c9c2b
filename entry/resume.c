#include "entry/route.h"

#include <stdlib.h>
#include <string.h>
#include <sodium.h>

enum {
	MAC_BYTES = 16
};

static void
mac(const char *secret, const char *text, size_t n, char *hex)
{
	unsigned char out[MAC_BYTES];

	crypto_generichash(out, sizeof(out), (const unsigned char *)text, n,
	    (const unsigned char *)secret, strlen(secret));
	sodium_bin2hex(hex, MAC_BYTES * 2 + 1, out, sizeof(out));
}

void
resume_encode(
    const char *secret, const resume_token_t *t, char *out, size_t size)
{
	int n = snprintf(out, size - MAC_BYTES * 2 - 1,
	    "%s/%s/%" PRIu32 "/%" PRIu64 "/%" PRIx64 "/", t->worker, t->stream,
	    t->offset, t->catalogue, t->prompt_hash);

	mac(secret, out, n, out + n);
}

bool
resume_decode(const char *secret, const char *text, resume_token_t *t)
{
	const char *last = strrchr(text, '/');
	char expected[MAC_BYTES * 2 + 1], **field;
	bool ok = false;

	if (last == NULL || strlen(last + 1) != MAC_BYTES * 2)
		return false;
	mac(secret, text, last + 1 - text, expected);
	if (sodium_memcmp(expected, last + 1, MAC_BYTES * 2) != 0)
		return false;
	field = g_strsplit(text, "/", 0);
	if (g_strv_length(field) == 6) {
		ok = str_copy(t->worker, ID_MAX, field[0]) &&
		     str_copy(t->stream, ID_MAX, field[1]);
		t->offset = strtoul(field[2], NULL, 10);
		t->catalogue = strtoull(field[3], NULL, 10);
		t->prompt_hash = strtoull(field[4], NULL, 16);
	}
	g_strfreev(field);
	return ok;
}
