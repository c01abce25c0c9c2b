#include "tests/proc.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	ARGS_MAX = 64,
	PORT_MIN = 10000, /* below the range for outgoing connections */
	PORT_MAX = 32000,
	POLL_MS = 10,
};

static int output = -1;

void
proc_output(int fd)
{
	output = fd;
}

proc_t *
proc_startv(const char *name, char *const args[])
{
	static int serial;
	proc_t *p = g_new0(proc_t, 1);
	char *bin = g_strdup_printf("build/bin/%s", name);
	char *log = g_strdup_printf(
	    "build/testlog/%d-%d-%s.err", (int)getpid(), ++serial, name);
	char *argv[ARGS_MAX] = { bin };
	int i, fd;

	for (i = 0; args[i] != NULL && i + 2 < ARGS_MAX; i++)
		argv[i + 1] = args[i];
	str_set(p->name, sizeof(p->name), name);
	g_assert_cmpint(g_mkdir_with_parents("build/testlog", 0777), ==, 0);
	fd = open(log, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0666);
	g_assert_cmpint(fd, !=, -1);
	p->pid = fork();
	g_assert_cmpint(p->pid, !=, -1);
	if (p->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(output != -1 ? output : fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(bin, argv);
		_exit(127);
	}
	close(fd);
	output = -1;
	g_free(bin);
	g_free(log);
	return p;
}

proc_t *
proc_start(const char *name, ...)
{
	char *args[ARGS_MAX];
	va_list ap;
	int n = 0;

	va_start(ap, name);
	while (n < ARGS_MAX - 1 && (args[n] = va_arg(ap, char *)) != NULL)
		n++;
	args[n] = NULL;
	va_end(ap);
	return proc_startv(name, args);
}

void
proc_signal(proc_t *p, int sig)
{
	if (p->pid > 0)
		kill(p->pid, sig);
}

bool
proc_ended(proc_t *p, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (p->pid > 0) {
		if (waitpid(p->pid, &p->status, WNOHANG) == p->pid)
			p->pid = 0;
		else if (clock_now(&machine_clock) >= end)
			return false;
		else
			clock_sleep(POLL_MS);
	}
	return true;
}

void
proc_kill(proc_t *p)
{
	if (p == NULL)
		return;
	if (p->pid > 0) {
		kill(p->pid, SIGKILL);
		waitpid(p->pid, &p->status, 0);
	}
	g_free(p);
}

static bool
can_bind(int type, int port, bool keep)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int one = 1, fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool good;

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	good = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	if (!good || !keep)
		close(fd);
	return good;
}

/*
 * The UDP port of the same number stays bound while this program runs. Test
 * programs that run at the same time see by it that the port is taken.
 */
static bool
port_free(int port)
{
	return can_bind(SOCK_DGRAM, port, true) &&
	       can_bind(SOCK_STREAM, port, false);
}

void
ports_take(int *port, int n)
{
	static int next;
	int span = PORT_MAX - PORT_MIN;

	/* Concurrent test programs start at distant ports. */
	if (next == 0)
		next = PORT_MIN + (int)(getpid() * 97L % span);
	while (n > 0) {
		if (++next >= PORT_MAX)
			next = PORT_MIN;
		if (port_free(next)) {
			*port++ = next;
			n--;
		}
	}
}

char *
addr_of(int port)
{
	return g_strdup_printf("127.0.0.1:%d", port);
}

static size_t
append_bytes(char *p, size_t size, size_t n, void *user)
{
	g_string_append_len(user, p, size * n);
	return size * n;
}

reply_t
http_call(const char *method, const char *addr, const char *path,
    const char *headers, const char *body, ms_t timeout)
{
	GString *got = g_string_new(NULL), *head = g_string_new(NULL);
	char *url = g_strdup_printf("http://%s%s", addr, path);
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	CURL *c = curl_easy_init();
	reply_t r = { 0 };
	long status = 0;
	char **line;
	int i;

	line = g_strsplit(headers == NULL ? "" : headers, "\n", -1);
	for (i = 0; line[i] != NULL; i++)
		if (line[i][0] != '\0')
			list = curl_slist_append(list, line[i]);
	g_strfreev(line);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)timeout);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_bytes);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, got);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, append_bytes);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, head);
	if (body != NULL) {
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
	}
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	curl_slist_free_all(list);
	g_free(url);
	r.status = (int)status;
	r.len = got->len;
	r.body = g_string_free(got, FALSE);
	r.head = g_string_free(head, FALSE);
	return r;
}

void
reply_clear(reply_t *r)
{
	g_free(r->body);
	g_free(r->head);
	r->body = r->head = NULL;
}

char *
reply_header(const reply_t *r, const char *name)
{
	char **line = g_strsplit(r->head, "\r\n", -1);
	size_t n = strlen(name);
	char *value = NULL;
	int i;

	for (i = 0; line[i] != NULL && value == NULL; i++)
		if (g_ascii_strncasecmp(line[i], name, n) == 0 &&
		    line[i][n] == ':')
			value = g_strstrip(g_strdup(line[i] + n + 1));
	g_strfreev(line);
	return value;
}

bool
http_until(const char *addr, const char *path, int status, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (clock_now(&machine_clock) < end) {
		reply_t r = http_call("GET", addr, path, NULL, NULL, 1000);
		bool good = r.status == status;

		reply_clear(&r);
		if (good)
			return true;
		clock_sleep(POLL_MS);
	}
	return false;
}

bool
eventually(cond_t *cond, void *user, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (!cond(user)) {
		if (clock_now(&machine_clock) >= end)
			return false;
		clock_sleep(POLL_MS);
	}
	return true;
}

long
proc_memory_kb(const proc_t *p, const char *field)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)p->pid);
	char *text = NULL, *at;
	long kb;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, field);
	g_assert_nonnull(at);
	kb = strtol(at + strlen(field), NULL, 10);
	g_free(text);
	g_free(path);
	return kb;
}
