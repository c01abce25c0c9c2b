#include "base/base.h"

#include <ctype.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Ends a line that was cut. */
static const char cut[] = " cut=1";

enum {
	CUT_BYTES = sizeof(cut) - 1,
	BUFFER_BYTES = 65536, /* for lines until the reader takes them */
	WRITE_BYTES = 4096, /* PIPE_BUF: fits into a pipe that polls writable */
};

static struct {
	bool enabled;
	char text[BUFFER_BYTES];
	size_t len;
	int64_t dropped, reported_dropped;
} buffered;

static struct {
	char daemon[ID_MAX];
	char instance[ID_MAX];
	char domain[ID_MAX];
	int threshold;
} writer = { "ebonypitch", "-", "-", LOG_INFO };

static const char *const level_name[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug" };

void
log_open(const char *daemon, const char *instance, const char *domain)
{
	str_set(writer.daemon, sizeof(writer.daemon), daemon);
	str_set(writer.instance, sizeof(writer.instance), instance);
	str_set(writer.domain, sizeof(writer.domain), domain);
}

void
log_level(int priority)
{
	writer.threshold = priority;
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

	if (priority > writer.threshold)
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
	if (n > (int)sizeof(line) - 2) {
		n = sizeof(line) - 2;
		memcpy(line + n - CUT_BYTES, cut, CUT_BYTES);
	}
	while (n > 0 && line[n - 1] == ' ')
		n--;
	line[n++] = '\n';
	if (buffered.enabled) {
		if (buffered.len + (size_t)n > sizeof(buffered.text)) {
			buffered.dropped++;
			return;
		}
		memcpy(buffered.text + buffered.len, line, (size_t)n);
		buffered.len += (size_t)n;
		return;
	}
	/* A single write keeps lines of several threads apart. */
	if (write(STDERR_FILENO, line, n) == -1)
		return;
}

void
log_set_buffered(void)
{
	buffered.enabled = true;
}

int64_t
log_dropped(void)
{
	return buffered.dropped;
}

/* Length of the complete lines within the first WRITE_BYTES of the buffer. */
static size_t
whole_lines(void)
{
	size_t n = buffered.len;

	if (n <= WRITE_BYTES)
		return n;
	for (n = WRITE_BYTES; n > 0 && buffered.text[n - 1] != '\n'; n--)
		;
	return n;
}

void
log_flush(void)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t written = 0, n;

	while (buffered.len > 0) {
		if (poll(&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0)
			break;
		n = whole_lines();
		if (n == 0 || write(STDOUT_FILENO, buffered.text, n) == -1)
			break;
		written += n;
		buffered.len -= n;
		memmove(buffered.text, buffered.text + n, buffered.len);
	}
	if (written > 0 && buffered.dropped > buffered.reported_dropped) {
		log_event(LOG_WARNING, "log-dropped",
		    "lines=%" PRId64 " why=slow_reader",
		    buffered.dropped - buffered.reported_dropped);
		buffered.reported_dropped = buffered.dropped;
	}
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
