#include "serve/serve.h"

#include <stdarg.h>
#include <string.h>

enum {
	EVENTS_MAX = 128,  /* distinct event names */
	BURST_LINES = 400, /* lines of one event at once */
	LINES_PER_S = 200, /* sustained rate; a line takes a few us */
};

typedef struct event_rate {
	const char *event;
	double tokens;
	ms_t updated_at;
	int64_t dropped;
} event_rate_t;

static event_rate_t event_rates[EVENTS_MAX];

static event_rate_t *
find_rate(const char *event)
{
	unsigned i = (unsigned)hash_str(event, 0) % EVENTS_MAX, n;

	for (n = 0; n < EVENTS_MAX; n++, i = (i + 1) % EVENTS_MAX) {
		if (event_rates[i].event == NULL) {
			event_rates[i] =
			    (event_rate_t){ event, BURST_LINES, 0, 0 };
			return &event_rates[i];
		}
		if (strcmp(event_rates[i].event, event) == 0)
			return &event_rates[i];
	}
	return &event_rates[0];
}

void
log_limited(int priority, const char *event, const char *fmt, ...)
{
	ms_t now = clock_now(&machine_clock);
	event_rate_t *r = find_rate(event);
	char text[LINE_MAX_BYTES]; /* log_event() marks a line that is cut */
	va_list ap;

	r->tokens += (double)(now - r->updated_at) * LINES_PER_S / 1000;
	if (r->tokens > BURST_LINES)
		r->tokens = BURST_LINES;
	r->updated_at = now;
	if (r->tokens < 1) {
		r->dropped++;
		return;
	}
	r->tokens -= 1;
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
