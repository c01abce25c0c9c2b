#include "base/base.h"

#include <ctype.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	LINE_MAX_BYTES = 2048
};

static struct {
	char daemon[ID_MAX];
	char instance[ID_MAX];
	char domain[ID_MAX];
	int least;
} writer = { "ebonypitch", "-", "-", LOG_INFO };

static const char *const level_name[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug" };

void
log_open(const char *daemon, const char *instance, const char *domain)
{
	str_copy(writer.daemon, sizeof(writer.daemon), daemon);
	str_copy(writer.instance, sizeof(writer.instance), instance);
	str_copy(writer.domain, sizeof(writer.domain), domain);
}

void
log_level(int priority)
{
	writer.least = priority;
}

void
log_event(int priority, const char *event, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES], stamp[32];
	struct tm tm;
	va_list ap;
	ms_t wall;
	time_t sec;
	int n;

	if (priority > writer.least)
		return;
	wall = clock_wall();
	sec = wall / 1000;
	gmtime_r(&sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line),
	    "<%d>time=%s.%03dZ level=%s daemon=%s instance=%s domain=%s "
	    "event=%s ",
	    priority, stamp, (int)(wall % 1000), level_name[priority & 7],
	    writer.daemon, writer.instance, writer.domain, event);
	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - n, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	while (n > 0 && line[n - 1] == ' ')
		n--;
	line[n++] = '\n';
	/* One write, so that lines of several threads don't mix. */
	if (write(STDERR_FILENO, line, n) == -1)
		return;
}

const char *
log_quote(char *buf, size_t size, const char *s)
{
	size_t n = 0;

	if (size < 3)
		return "\"\"";
	buf[n++] = '"';
	for (; *s != '\0' && n + 3 < size; s++) {
		if (*s == '"' || *s == '\\')
			buf[n++] = '\\';
		buf[n++] = iscntrl((unsigned char)*s) ? ' ' : *s;
	}
	buf[n++] = '"';
	buf[n] = '\0';
	return buf;
}
