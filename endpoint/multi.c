#include "endpoint/multi.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum {
	EVENTS_PER_WAIT = 64, /* handled per wait */
	BUFFER_BYTES = 4096,  /* read at once from a connection */
	IDLE_CONN_MAX_S = 30, /* an older idle connection isn't reused */
	URL_MAX = 1024,
};

static int
on_socket(CURL *c, curl_socket_t fd, int what, void *user, void *socket_data)
{
	multi_t *m = user;
	struct epoll_event ev = { .data.fd = fd };

	(void)c;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(m->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(m->epoll_fd,
		socket_data == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
		&ev) == -1 &&
	    errno == EEXIST)
		epoll_ctl(m->epoll_fd, EPOLL_CTL_MOD, fd, &ev);
	curl_multi_assign(m->handle, fd, m);
	return 0;
}

static int
on_timer(CURLM *cm, long timeout, void *user)
{
	multi_t *m = user;

	(void)cm;
	m->timer_due = timeout < 0 ? -1 : clock_now(&machine_clock) + timeout;
	return 0;
}

int
multi_open(multi_t *m, int max_kept, err_t *e)
{
	memset(m, 0, sizeof(*m));
	m->timer_due = -1;
	m->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	m->handle = curl_multi_init();
	if (m->epoll_fd == -1 || m->handle == NULL) {
		multi_close(m);
		return err_set(e, ERR_INTERNAL, "can't make a multi handle");
	}
	curl_multi_setopt(m->handle, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(m->handle, CURLMOPT_SOCKETDATA, m);
	curl_multi_setopt(m->handle, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(m->handle, CURLMOPT_TIMERDATA, m);
	curl_multi_setopt(m->handle, CURLMOPT_MAXCONNECTS, (long)max_kept);
	curl_multi_setopt(
	    m->handle, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	return 0;
}

void
multi_close(multi_t *m)
{
	/* Closing idle connections calls on_socket(): close epoll last. */
	if (m->handle != NULL)
		curl_multi_cleanup(m->handle);
	if (m->epoll_fd != -1)
		close(m->epoll_fd);
}

int
multi_add_fd(multi_t *m, int fd, err_t *e)
{
	struct epoll_event ev = { .events = EPOLLIN, .data.fd = -1 };

	if (epoll_ctl(m->epoll_fd, EPOLL_CTL_ADD, fd, &ev) == -1)
		return err_set(
		    e, ERR_INTERNAL, "epoll_ctl: %s", strerror(errno));
	return 0;
}

static void
handle_event(multi_t *m, const struct epoll_event *ev)
{
	int what = 0, running;

	if (ev->data.fd == -1)
		return;
	if (ev->events & EPOLLIN)
		what |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		what |= CURL_CSELECT_OUT;
	if (ev->events & (EPOLLERR | EPOLLHUP))
		what |= CURL_CSELECT_ERR;
	curl_multi_socket_action(m->handle, ev->data.fd, what, &running);
}

void
multi_wait(multi_t *m, ms_t max_wait)
{
	struct epoll_event ev[EVENTS_PER_WAIT];
	int i, n, running;

	if (m->timer_due != -1) {
		ms_t left = m->timer_due - clock_now(&machine_clock);

		if (left < max_wait)
			max_wait = left > 0 ? left : 0;
	}
	n = epoll_wait(m->epoll_fd, ev, EVENTS_PER_WAIT, (int)max_wait);
	for (i = 0; i < n; i++)
		handle_event(m, &ev[i]);
	if (m->timer_due != -1 && clock_now(&machine_clock) >= m->timer_due) {
		m->timer_due = -1;
		curl_multi_socket_action(
		    m->handle, CURL_SOCKET_TIMEOUT, 0, &running);
	}
}

CURL *
multi_done(multi_t *m, CURLcode *rc)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(m->handle, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		*rc = msg->data.result;
		return msg->easy_handle;
	}
	return NULL;
}

bool
easy_sent(CURL *c)
{
	long n = 0;

	return curl_easy_getinfo(c, CURLINFO_REQUEST_SIZE, &n) != CURLE_OK ||
	       n > 0;
}

/* Called once connected, before the request is sent: refuse a resend. */
static int
before_request(void *user, char *to, char *from, int to_port, int from_port)
{
	(void)to;
	(void)from;
	(void)to_port;
	(void)from_port;
	return easy_sent(user) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

CURL *
easy_new(const char *addr, const char *path)
{
	CURL *c = curl_easy_init();
	char url[URL_MAX];

	if (c == NULL)
		return NULL;
	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(c, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(c, CURLOPT_BUFFERSIZE, (long)BUFFER_BYTES);
	curl_easy_setopt(c, CURLOPT_MAXAGE_CONN, (long)IDLE_CONN_MAX_S);
	curl_easy_setopt(c, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(c, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(c, CURLOPT_PREREQDATA, c);
	return c;
}
