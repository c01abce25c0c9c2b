#include "endpoint/endpoint.h"

#include "endpoint/multi.h"
#include "endpoint/report.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <glib.h>

enum {
	POLLS_MAX = 64,			/* in progress at a time */
	IDLE_CONNS_MAX = 2 * POLLS_MAX, /* idle connections kept open */
	REPORT_MAX = 1 << 20,		/* bytes of a load report */
	TIMEOUT_MIN_MS = 1000,		/* least timeout of a poll */
	TIMEOUT_INTERVALS = 2, /* timeout of a poll, in poll intervals */
	CHECK_MS = 5,
	IDLE_MS = 1000,
};

typedef struct poll {
	load_target_t target;
	ms_t due;
	ms_t sent_at;
	CURL *easy; /* NULL: not in progress */
	GString *body;
	bool wanted; /* still in the set of targets */
} poll_t;

struct load_poller {
	ms_t interval; /* between polls of a worker */
	ring_t *reports;
	multi_t multi;
	pthread_t thread;
	pthread_mutex_t lock;	    /* protects the next three */
	load_target_t *new_targets; /* not yet taken over, or NULL */
	int nnew;
	bool stop;
	int wake; /* eventfd */
	GPtrArray *polls;
	int in_progress;
	rng_t rng;
	counter_t *dropped;
};

static size_t
on_data(char *p, size_t size, size_t n, void *user)
{
	poll_t *q = user;

	if (q->body->len + size * n > REPORT_MAX)
		return 0;
	g_string_append_len(q->body, p, size * n);
	return size * n;
}

static void
poll_free(load_poller_t *l, poll_t *q)
{
	if (q->easy != NULL) {
		curl_multi_remove_handle(l->multi.handle, q->easy);
		curl_easy_cleanup(q->easy);
		l->in_progress--;
	}
	g_string_free(q->body, TRUE);
	g_free(q);
}

static poll_t *
find_poll(load_poller_t *l, const load_target_t *t)
{
	guint i;

	for (i = 0; i < l->polls->len; i++) {
		poll_t *q = l->polls->pdata[i];

		if (strcmp(q->target.worker, t->worker) == 0 &&
		    strcmp(q->target.addr, t->addr) == 0)
			return q;
	}
	return NULL;
}

static void
set_targets(load_poller_t *l, load_target_t *t, int n)
{
	ms_t now = clock_now(&machine_clock);
	guint i;
	int k;

	for (i = 0; i < l->polls->len; i++)
		((poll_t *)l->polls->pdata[i])->wanted = false;
	for (k = 0; k < n; k++) {
		poll_t *q = find_poll(l, &t[k]);

		if (q == NULL) {
			q = g_new0(poll_t, 1);
			q->target = t[k];
			q->body = g_string_new(NULL);
			q->due = now;
			g_ptr_array_add(l->polls, q);
		}
		q->wanted = true;
	}
	for (i = l->polls->len; i > 0; i--) {
		poll_t *q = l->polls->pdata[i - 1];

		if (!q->wanted) {
			g_ptr_array_remove_index_fast(l->polls, i - 1);
			poll_free(l, q);
		}
	}
	free(t);
}

static bool
receive_targets(load_poller_t *l)
{
	load_target_t *t;
	uint64_t count;
	bool stop;
	int n;

	if (read(l->wake, &count, sizeof(count)) == -1)
		count = 0;
	pthread_mutex_lock(&l->lock);
	t = l->new_targets;
	n = l->nnew;
	l->new_targets = NULL;
	stop = l->stop;
	pthread_mutex_unlock(&l->lock);
	if (t != NULL)
		set_targets(l, t, n);
	return !stop;
}

static void
start_poll(load_poller_t *l, poll_t *q, ms_t now)
{
	ms_t timeout = l->interval * TIMEOUT_INTERVALS > TIMEOUT_MIN_MS
			   ? l->interval * TIMEOUT_INTERVALS
			   : TIMEOUT_MIN_MS;

	q->easy = easy_new(q->target.addr, "/v1/load");
	if (q->easy == NULL)
		return;
	q->sent_at = now;
	g_string_truncate(q->body, 0);
	curl_easy_setopt(q->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(q->easy, CURLOPT_WRITEDATA, q);
	curl_easy_setopt(q->easy, CURLOPT_PRIVATE, q);
	curl_easy_setopt(q->easy, CURLOPT_TIMEOUT_MS, (long)timeout);
	curl_multi_add_handle(l->multi.handle, q->easy);
	l->in_progress++;
}

/* A random interval, 3/4 to 5/4 of the set one, keeps polls out of step. */
static void
start_due_polls(load_poller_t *l)
{
	ms_t now = clock_now(&machine_clock);
	guint i;

	for (i = 0; i < l->polls->len && l->in_progress < POLLS_MAX; i++) {
		poll_t *q = l->polls->pdata[i];

		if (q->easy != NULL || q->due > now)
			continue;
		q->due = now + l->interval * 3 / 4 +
			 (ms_t)(rng_unit(&l->rng) * (double)l->interval / 2);
		start_poll(l, q, now);
	}
}

static void
push_report(load_poller_t *l, const poll_t *q, bool answered)
{
	load_report_t *r = calloc(1, sizeof(*r));

	if (r == NULL)
		return;
	r->taken_at = q->sent_at;
	r->reached = answered && load_report_parse(
				     r, q->body->str, q->body->len, NULL) == 0;
	/* The report is stored under the target's name; another worker
	 * that answers at its address counts as not reached. */
	if (strcmp(r->worker, q->target.worker) != 0) {
		r->reached = r->reached && r->worker[0] == '\0';
		str_set(r->worker, sizeof(r->worker), q->target.worker);
	}
	if (!ring_push(l->reports, r)) {
		counter_add(l->dropped, 1);
		load_report_free(r);
	}
}

static void
reap_done(load_poller_t *l)
{
	CURLcode rc;
	CURL *easy;

	while ((easy = multi_done(&l->multi, &rc)) != NULL) {
		poll_t *q = NULL;
		long status = 0;

		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&q);
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		curl_multi_remove_handle(l->multi.handle, easy);
		curl_easy_cleanup(easy);
		q->easy = NULL;
		l->in_progress--;
		push_report(l, q, rc == CURLE_OK && status == 200);
	}
}

static void *
run(void *user)
{
	load_poller_t *l = user;

	while (receive_targets(l)) {
		start_due_polls(l);
		multi_wait(&l->multi, l->polls->len > 0 ? CHECK_MS : IDLE_MS);
		reap_done(l);
	}
	return NULL;
}

static void
free_all(load_poller_t *l)
{
	guint i;

	for (i = 0; i < l->polls->len; i++)
		poll_free(l, l->polls->pdata[i]);
	g_ptr_array_free(l->polls, TRUE);
	if (l->multi.handle != NULL)
		multi_close(&l->multi);
	if (l->wake != -1)
		close(l->wake);
	free(l->new_targets);
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}

load_poller_t *
load_poller_new(const settings_t *s, ring_t *reports, err_t *e)
{
	load_poller_t *l = g_new0(load_poller_t, 1);

	l->interval = s->broker.load_poll_ms;
	l->reports = reports;
	l->polls = g_ptr_array_new();
	l->rng.s = hash_str(s->instance.id, clock_wall());
	l->dropped = counter_get("ebonypitch_endpoint_reports_dropped_total",
	    "Load reports dropped because their ring was full.");
	l->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	pthread_mutex_init(&l->lock, NULL);
	if (multi_open(&l->multi, IDLE_CONNS_MAX, e) == -1)
		l->multi.handle = NULL;
	else if (l->wake != -1 && multi_add_fd(&l->multi, l->wake, e) == 0 &&
		 pthread_create(&l->thread, NULL, run, l) == 0)
		return l;
	err_set(e, ERR_INTERNAL, "can't start the load poller");
	free_all(l);
	return NULL;
}

static void
notify(load_poller_t *l, load_target_t *t, int n, bool stop)
{
	uint64_t one = 1;

	pthread_mutex_lock(&l->lock);
	if (t != NULL) {
		free(l->new_targets);
		l->new_targets = t;
		l->nnew = n;
	}
	l->stop = l->stop || stop;
	pthread_mutex_unlock(&l->lock);
	if (write(l->wake, &one, sizeof(one)) == -1)
		return; /* the counter is full, so it is readable */
}

void
load_poller_set(load_poller_t *l, const load_target_t *t, int n)
{
	load_target_t *copy = calloc(n + 1, sizeof(*copy));

	if (copy == NULL)
		abort();
	memcpy(copy, t, n * sizeof(*t));
	notify(l, copy, n, false);
}

void
load_poller_free(load_poller_t *l)
{
	if (l == NULL)
		return;
	notify(l, NULL, 0, true);
	pthread_join(l->thread, NULL);
	free_all(l);
}
