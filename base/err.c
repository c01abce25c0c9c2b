#include "base/base.h"

#include <stdarg.h>

int
err_set(err_t *e, err_code_t code, const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return -1;
	e->code = code;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return -1;
}

const char *
err_name(err_code_t code)
{
	switch (code) {
	case ERR_NONE:
		return "none";
	case ERR_INVAL:
		return "invalid";
	case ERR_NOT_FOUND:
		return "not_found";
	case ERR_CONFLICT:
		return "conflict";
	case ERR_FULL:
		return "full";
	case ERR_DOWN:
		return "down";
	case ERR_UNKNOWN:
		return "unknown";
	case ERR_PROTO:
		return "protocol";
	case ERR_INTERNAL:
		return "internal";
	}
	return "internal";
}
