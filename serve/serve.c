/* Startup, settings, the event loop's hooks and shutdown. */
#include "serve/allowances.h"
#include "serve/keepers.h"
#include "serve/blame.h"
#include "serve/buffers.h"
#include "serve/limits.h"
#include "serve/peer_call.h"
#include "serve/prompt_cost.h"
#include "serve/reach.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

enum {
	CALLS_MAX = 4000,	 /* calls in progress; each takes some KB */
	SETTINGS_POLL_MS = 1000, /* between checks of the settings file */
	DRAIN_MIN_MS = 3000,	 /* callers may keep an old address list */
	DRAIN_MARGIN_MS = 500,	 /* before SIGKILL, for the last answers */
	/* The rules let calls be cut in the last sixth of grace_s only. */
	DRAIN_LAST_PART = 6,
	FINAL_SEND_MS = 150, /* for the last answers to reach callers */
	FIRST_POLL_MS = 1000,
	LATE_TURN_MS = 200, /* logged from then on */
};

/* Before exit, answer every call; the status says whether it may have run. */
static void
give_up_all_calls(serve_t *s)
{
	handle_t h, next;

	for (h = table_next(s->calls, 0); h != 0; h = next) {
		next = table_next(s->calls, h);
		call_give_up(
		    call_get(s, h), "the instance ends", RETRY_ELSEWHERE_MS);
	}
}

/*
 * Share of an endpoint's prefill speed to use. Streams continue while prompts
 * are read; at a higher share, long streams don't end in time.
 */
static const double prefill_share = 0.8;
/* ms, near the shortest gap between events that routes ask for */
static const double min_stream_gap = 200;

/*
 * The end of a stream, and gaps in other streams, matter less than a first
 * event.
 */
static const double stream_output_weight = 1.0, other_streams_weight = 0.2;

ms_t
serve_gives_up_at(const serve_t *s)
{
	ms_t grace = s->conf.bounds.grace;
	ms_t last_part = grace / DRAIN_LAST_PART;

	return s->leaving_since + grace -
	       (last_part < DRAIN_MARGIN_MS ? last_part : DRAIN_MARGIN_MS);
}

static void
on_drain_timer(void *arg)
{
	serve_t *s = arg;
	ms_t elapsed = s->loop.now - s->leaving_since;
	ms_t last = serve_gives_up_at(s) - s->leaving_since;
	bool done = table_count(s->calls) == 0 && !callers_busy(s) &&
		    elapsed >= DRAIN_MIN_MS + FINAL_SEND_MS;

	if (elapsed >= DRAIN_MIN_MS && s->caller_listener.fd != -1)
		watch_del(&s->loop, &s->caller_listener);
	if (elapsed >= DRAIN_MIN_MS && s->instance_listener.fd != -1)
		watch_del(&s->loop, &s->instance_listener);
	if (elapsed >= last)
		give_up_all_calls(s);
	if (done || elapsed >= last + FINAL_SEND_MS) {
		s->loop.stop = true;
		return;
	}
	alarm_set(&s->loop, &s->drain_alarm, s->loop.now + 50);
}

void
serve_drain(serve_t *s)
{
	if (s->leaving)
		return;
	log_limited(LOG_NOTICE, "leaving", "calls=%u guests=%d",
	    table_count(s->calls), s->ncaller);
	s->leaving = true;
	s->leaving_since = s->loop.now;
	plan_release(s);
	send_full_digest(s);
	streams_hand_over(s);
	callers_drain(s);
	s->drain_alarm = (alarm_t){ .fn = on_drain_timer, .arg = s };
	alarm_set(&s->loop, &s->drain_alarm, s->loop.now + 50);
}

/* Apply the settings that may change at run time; others need a restart. */
void
serve_reload(serve_t *s, const char *why)
{
	instance_conf_t fresh;
	err_t e = { 0 };

	if (instance_conf_read(&fresh, s->conf_path, &e) == -1) {
		log_limited(LOG_ERR, "reload",
		    "why=%s outcome=kept error=\"%s\"", why, e.text);
		return;
	}
	s->conf.bounds = fresh.bounds;
	s->conf.heartbeat = fresh.heartbeat;
	s->conf.history = fresh.history;
	if (strcmp(s->conf.store_addr, fresh.store_addr) != 0) {
		str_set(s->conf.store_addr, ADDR_MAX, fresh.store_addr);
		net_addr(s->conf.store_addr, &s->store);
	}
	log_limited(LOG_NOTICE, "reload", "why=%s outcome=taken", why);
}

static void
on_signal(void *arg, uint32_t ev)
{
	serve_t *s = arg;
	struct signalfd_siginfo si;

	(void)ev;
	while (read(s->signals.fd, &si, sizeof(si)) == (ssize_t)sizeof(si)) {
		if (si.ssi_signo == SIGHUP)
			serve_reload(s, "signal");
		else
			serve_drain(s);
	}
}

static int
watch_signals(serve_t *s, err_t *e)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	s->signals = (watch_t){ signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
		0, on_signal, s };
	if (s->signals.fd == -1)
		return err_set(
		    e, ERR_INTERNAL, "signalfd: %s", strerror(errno));
	return watch_add(&s->loop, &s->signals, EPOLLIN);
}

/* The settings file may be replaced without a signal. */
static void
poll_settings(void *arg)
{
	serve_t *s = arg;
	struct stat st;

	alarm_set(&s->loop, &s->settings_alarm, s->loop.now + SETTINGS_POLL_MS);
	ep_table_purge(s);
	peer_eps_purge(s);
	streams_tick(s);
	blame_tick(s);
	limits_tick(s);
	if (stat(s->conf_path, &st) == -1)
		return;
	if (s->conf_mtime.tv_sec != 0 &&
	    (st.st_mtim.tv_sec != s->conf_mtime.tv_sec ||
		st.st_mtim.tv_nsec != s->conf_mtime.tv_nsec))
		serve_reload(s, "file");
	s->conf_mtime = st.st_mtim;
}

void
serve_state_changed(serve_t *s)
{
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		ep_t *p = s->endpoints.ep[i];
		const service_def_t *d =
		    config_service(s->config, p->entry.service);

		p->workload.kv_capacity =
		    d != NULL && d->engine ? d->kv_tokens : 0;
		if (d != NULL)
			p->workload.stream =
			    (pace_stream_t){ d->gap, d->event_steps };
		p->workload.paced = p->workload.kv_capacity > 0 &&
				    service_is_paced(s, p->entry.service);
	}
	if (!s->ready && s->config != NULL &&
	    s->endpoints_watch.first_listed_at != 0) {
		s->ready = true;
		log_limited(LOG_NOTICE, "ready",
		    "config=%" PRId64 " endpoints=%d", s->config->version,
		    s->endpoints.nep);
		send_full_digest(s);
	}
	call_queue_dispatch(s);
}

static void
on_loop_turn(void *arg)
{
	serve_t *s = arg;

	if (s->loop.late >= LATE_TURN_MS)
		log_limited(LOG_NOTICE, "loop-late",
		    "late_ms=%" PRId64 " calls=%u", s->loop.late,
		    table_count(s->calls));
	if (s->queue_woken) {
		s->queue_woken = false;
		call_queue_dispatch(s);
	}
	plan_run_if_due(s);
	streams_flush(s);
	keepers_flush(s);
	allowances_flush(s);
	digests_flush(s);
	log_flush();
}

serve_t *
serve_new(const char *path, err_t *e)
{
	serve_t *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->conf_path = path;
	if (instance_conf_read(&s->conf, path, e) == -1)
		return NULL;
	log_open("ebonypitchd", s->conf.instance, s->conf.domain);
	if (loop_init(&s->loop) == -1) {
		err_set(e, ERR_INTERNAL, "epoll: %s", strerror(errno));
		return NULL;
	}
	s->started_at = s->loop.now;
	s->rng.s = hash_str(s->conf.instance, (uint64_t)clock_wall());
	s->calls = table_new(sizeof(call_t *), CALLS_MAX);
	streams_init(s);
	blame_feed_init(s);
	limits_init(s);
	keepers_init(s);
	allowances_init(s);
	buffers_init(s);
	reach_init(s);
	s->retired = g_ptr_array_new();
	ep_table_init(&s->endpoints);
	s->retries = g_hash_table_new(g_str_hash, g_str_equal);
	s->max_remaining = g_hash_table_new(g_str_hash, g_str_equal);
	s->demand = g_hash_table_new(g_str_hash, g_str_equal);
	s->model_waits = g_hash_table_new(g_str_hash, g_str_equal);
	prompt_costs_init(s);
	s->workload_limits =
	    (workload_limits_t){ prefill_share, min_stream_gap };
	s->cost_weights = (workload_cost_weights_t){ stream_output_weight,
		other_streams_weight };
	s->loop.turn = on_loop_turn;
	s->loop.turn_arg = s;
	if (net_addr(s->conf.store_addr, &s->store) == -1) {
		err_set(e, ERR_INVAL, "platform.address isn't an address");
		return NULL;
	}
	if (watch_signals(s, e) == -1 || callers_listen(s, e) == -1 ||
	    instances_listen(s, e) == -1 || pages_open(s, e) == -1 ||
	    peers_open(s, e) == -1)
		return NULL;
	s->settings_alarm = (alarm_t){ .fn = poll_settings, .arg = s };
	alarm_set(&s->loop, &s->settings_alarm, s->loop.now + FIRST_POLL_MS);
	store_watch_start(&s->config_watch, s, KIND_CONFIG);
	store_watch_start(&s->endpoints_watch, s, KIND_ENDPOINTS);
	store_watch_start(&s->instances_watch, s, KIND_INSTANCES);
	call_queue_init(s);
	s->plan = plan_new(s);
	return s;
}

void
serve_run(serve_t *s)
{
	log_limited(LOG_NOTICE, "started",
	    "caller_addr=%s store=%s peer_port=%d memory_mb=%d",
	    s->conf.caller_addr, s->conf.store_addr, s->conf.peer_port,
	    s->conf.memory_mb);
	loop_run(&s->loop);
	send_goodbye(s);
	log_limited(LOG_NOTICE, "stopped", "calls=%u", table_count(s->calls));
	log_flush();
}
