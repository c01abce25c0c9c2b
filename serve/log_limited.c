#include "serve/serve.h"

#include <stdarg.h>
#include <string.h>

enum {
	KINDS = 128, /* events told apart */
	BURST = 400, /* lines of one kind at once ... */
	PER_S = 200, /* ... and in a second, at a few us each */
};

typedef struct kind_rate {
	const char *event;
	double left;
	ms_t at;
	int64_t dropped;
} kind_rate_t;

static kind_rate_t rates[KINDS];

static kind_rate_t *
rate_of(const char *event)
{
	unsigned i = (unsigned)hash_str(event, 0) % KINDS, n;

	for (n = 0; n < KINDS; n++, i = (i + 1) % KINDS) {
		if (rates[i].event == NULL) {
			rates[i] = (kind_rate_t){ event, BURST, 0, 0 };
			return &rates[i];
		}
		if (strcmp(rates[i].event, event) == 0)
			return &rates[i];
	}
	return &rates[0];
}

void
log_limited(int priority, const char *event, const char *fmt, ...)
{
	ms_t now = clock_now(&machine_clock);
	kind_rate_t *r = rate_of(event);
	char text[1024];
	va_list ap;

	r->left += (double)(now - r->at) * PER_S / 1000;
	if (r->left > BURST)
		r->left = BURST;
	r->at = now;
	if (r->left < 1) {
		r->dropped++;
		return;
	}
	r->left -= 1;
	if (r->dropped > 0) {
		log_event(LOG_WARNING, "log-dropped",
		    "kind=%s lines=%" PRId64 " why=rate", event, r->dropped);
		r->dropped = 0;
	}
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	log_event(priority, event, "%s", text);
}
