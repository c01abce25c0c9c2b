#include "net/http_head.h"

#include <http_parser.h>
#include <string.h>
#include <strings.h>

const char *
head_get(const head_t *h, const char *name)
{
	int i;

	for (i = 0; i < h->nfield; i++)
		if (strcasecmp(head_name(h, i), name) == 0)
			return head_value(h, i);
	return NULL;
}

int
head_count(const head_t *h, const char *name)
{
	int i, n = 0;

	for (i = 0; i < h->nfield; i++)
		n += strcasecmp(head_name(h, i), name) == 0;
	return n;
}

const char *
http_reason(int status)
{
	switch (status) {
#define XX(num, name, string) \
	case num:             \
		return #string;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Status";
	}
}
