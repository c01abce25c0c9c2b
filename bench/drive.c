/* Load tool: the state machine of a call and the main loop. */
#include "bench/drive.h"

#include <stdlib.h>
#include <string.h>

enum {
	POLL_MAX_MS = 5,	/* longest wait of the main loop */
	RETRY_MS = 100,		/* delay of a retry without Retry-After */
	RETRY_MAX_MS = 2000,	/* upper limit of the delay */
	ENTRIES_TRIES_MAX = 50, /* then the call is lost */
};

load_t load = {
	.plan = { .rate = 50,
	    .burst_factor = 3,
	    .plain_share = 0.15,
	    .skew = 0.9,
	    .callers = 40 },
	.target_latency_ms = 2000,
	.gap_ms = 42,
	.timeout_ms = 30000,
	.retries = 5,
	.seconds = 10,
	.tokens = 24,
	.seed = 1,
};

/* Choice of the entry. */

static void
ask_entries(active_call_t *a)
{
	caller_t *c = &load.caller[a->job->caller];

	send_entries(a, c->nentry > 0
			    ? c->entry[c->next_entry % c->nentry]
			    : load.seed_entry[c->next_entry % load.nseed]);
}

static void
send_try(active_call_t *a)
{
	caller_t *c = &load.caller[a->job->caller];
	const char *addr;

	a->job->whole_us = 0;
	if (load.direct == NULL &&
	    (c->nentry == 0 || now_us() >= c->expires_us)) {
		ask_entries(a);
		return;
	}
	addr = load.direct != NULL
		   ? load.seed_entry[a->job->number % load.nseed]
		   : c->entry[c->next_entry % c->nentry];
	a->job->tries++;
	if (a->resuming)
		send_resume(a, addr);
	else if (is_chat(a->job))
		send_chat(a, addr);
	else
		send_plain(a, addr);
}

/* The entry failed or refused: use the next one of the cached list. */
static void
use_next_entry(active_call_t *a)
{
	caller_t *c = &load.caller[a->job->caller];

	load.tally.moved++;
	c->next_entry++;
	if (c->next_entry >= c->nentry) {
		/* All were tried: ask again, beginning with the seeds. */
		g_strfreev(c->entry);
		c->entry = NULL;
		c->nentry = 0;
	}
}

static bool
parse_entries(active_call_t *a)
{
	caller_t *c = &load.caller[a->job->caller];
	json_t *j = json_loadb(a->response->str, a->response->len, 0, NULL);
	json_t *list = json_object_get(j, "entries"), *item;
	GPtrArray *all = g_ptr_array_new();
	size_t i;

	json_array_foreach(list, i, item)
	{
		const char *addr =
		    json_string_value(json_object_get(item, "addr"));

		if (addr != NULL)
			g_ptr_array_add(all, g_strdup(addr));
	}
	json_decref(j);
	g_ptr_array_add(all, NULL);
	if (all->len == 1) {
		g_strfreev((char **)g_ptr_array_free(all, FALSE));
		return false;
	}
	g_strfreev(c->entry);
	c->nentry = (int)all->len - 1;
	c->entry = (char **)g_ptr_array_free(all, FALSE);
	c->next_entry = 0;
	c->expires_us = now_us() + a->max_age * 1000;
	return true;
}

/* Results of a try. */

static void
finish_call(active_call_t *a, verdict_t v)
{
	job_t *j = a->job;
	int64_t whole = now_us() - load.start - j->start_ms * 1000;
	int64_t target_us = (int64_t)load.target_latency_ms * 1000;
	int64_t stream_us = (int64_t)j->tokens * load.gap_ms * 1000;

	j->verdict = v;
	j->whole_us = whole;
	a->step = STEP_DONE;
	if (v != VERDICT_WHOLE)
		return;
	switch (j->kind) {
	case JOB_STREAM:
		j->in_time = j->first_us <= target_us &&
			     whole - j->first_us <= stream_us;
		break;
	case JOB_CHAT:
		j->in_time = whole <= target_us + stream_us;
		break;
	case JOB_KEYED:
	case JOB_UNKEYED:
		j->in_time = whole <= target_us;
		break;
	}
}

static void
schedule_retry(active_call_t *a, ms_t span)
{
	if (span <= 0)
		span = RETRY_MS;
	if (span > RETRY_MAX_MS)
		span = RETRY_MAX_MS;
	a->step = STEP_WAIT;
	a->retry_at = now_us() + span * 1000;
}

/* Schedule another try; without one left, finish with @p v. */
static void
retry_or_finish(active_call_t *a, ms_t span, verdict_t v)
{
	if (a->job->tries > load.retries) {
		finish_call(a, v);
		return;
	}
	load.tally.retries++;
	schedule_retry(a, span);
}

/* Store the code of a complete error response. */
static void
store_error_code(active_call_t *a)
{
	json_t *j = json_loadb(a->response->str, a->response->len, 0, NULL);
	const char *code = json_string_value(
	    json_object_get(json_object_get(j, "error"), "code"));

	str_set(a->job->error_code, ID_MAX, code == NULL ? "" : code);
	json_decref(j);
}

static void
handle_error_response(active_call_t *a, int status)
{
	job_t *j = a->job;

	store_error_code(a);
	if (strcmp(a->ran, "no") == 0 ||
	    (load.direct != NULL && (status == 429 || status == 503))) {
		if (status == 503)
			use_next_entry(a);
		if (status == 429 || status == 503)
			retry_or_finish(a, a->retry_after,
			    a->resuming ? VERDICT_CUT : VERDICT_REFUSED);
		else
			finish_call(
			    a, a->resuming ? VERDICT_FAILED : VERDICT_REFUSED);
	} else if (strcmp(a->ran, "unknown") == 0) {
		if (j->kind == JOB_KEYED && a->retry_after > 0)
			retry_or_finish(a, a->retry_after, VERDICT_UNKNOWN);
		else
			finish_call(a, VERDICT_UNKNOWN);
	} else
		finish_call(a, VERDICT_FAILED);
}

static void
check_plain_response(active_call_t *a)
{
	json_t *j = json_loadb(a->response->str, a->response->len, 0, NULL);
	const char *path = json_string_value(json_object_get(j, "path"));

	finish_call(a, path != NULL && strcmp(path, a->job->prompt) == 0
			   ? VERDICT_WHOLE
			   : VERDICT_FOREIGN);
	json_decref(j);
}

static void
check_chat_response(active_call_t *a, bool whole)
{
	verdict_t v;

	if (a->job->kind == JOB_CHAT && whole) {
		if (load.direct != NULL)
			answer_feed(
			    &a->check, a->response->str, a->response->len);
		else
			answer_check_json(
			    &a->check, a->response->str, a->response->len);
	}
	v = answer_verdict(&a->check);
	str_set(a->job->error_code, ID_MAX, a->check.error_code);
	if (v != VERDICT_OPEN) {
		finish_call(a, v);
		return;
	}
	/* The stream ended without end marker or error. */
	use_next_entry(a);
	if (a->check.event_id[0] != '\0') {
		a->resuming = true;
		load.tally.resumes++;
		a->job->resumes++;
		retry_or_finish(a, 0, VERDICT_CUT);
	} else if (a->check.next_token == 0)
		retry_or_finish(a, 0, VERDICT_LOST);
	else
		finish_call(a, VERDICT_CUT);
}

/* The connection was lost without a response. */
static void
handle_no_response(active_call_t *a, bool sent)
{
	use_next_entry(a);
	if (!sent)
		retry_or_finish(
		    a, 1, a->resuming ? VERDICT_CUT : VERDICT_REFUSED);
	else if (a->job->kind == JOB_UNKEYED)
		finish_call(a, VERDICT_UNANSWERED);
	else
		retry_or_finish(a, 0, a->resuming ? VERDICT_CUT : VERDICT_LOST);
}

static void
on_request_done(active_call_t *a, CURLcode rc)
{
	bool sent = easy_sent(a->easy);
	long status = 0;

	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
	close_request(a);
	if (a->step == STEP_ENTRIES) {
		if (rc == CURLE_OK && status == 200 && parse_entries(a)) {
			send_try(a);
			return;
		}
		load.caller[a->job->caller].next_entry++;
		if (++a->entry_tries > ENTRIES_TRIES_MAX)
			finish_call(a, VERDICT_LOST);
		else
			schedule_retry(a, RETRY_MS);
	} else if (status == 200 && is_chat(a->job))
		check_chat_response(a, rc == CURLE_OK);
	else if (rc != CURLE_OK)
		handle_no_response(a, sent);
	else if (status == 200)
		check_plain_response(a);
	else
		handle_error_response(a, (int)status);
}

/* Main loop. */

static void
start_job(job_t *j)
{
	active_call_t *a = g_new0(active_call_t, 1);

	a->job = j;
	a->response = g_string_new(NULL);
	a->deadline = now_us() + (int64_t)load.timeout_ms * 1000;
	answer_init(&a->check, j->prompt, j->tokens);
	g_ptr_array_add(load.active, a);
	send_try(a);
}

static void
active_free(active_call_t *a)
{
	close_request(a);
	answer_clear(&a->check);
	g_string_free(a->response, TRUE);
	g_free(a);
}

static void
check_timers(void)
{
	int64_t now = now_us();
	guint i;

	for (i = load.active->len; i > 0; i--) {
		active_call_t *a = load.active->pdata[i - 1];

		if (a->step != STEP_DONE && now >= a->deadline) {
			close_request(a);
			finish_call(a, VERDICT_LOST);
		}
		if (a->step == STEP_WAIT && now >= a->retry_at)
			send_try(a);
		if (a->step == STEP_DONE) {
			g_ptr_array_remove_index_fast(load.active, i - 1);
			active_free(a);
		}
	}
}

static void
process_completed(void)
{
	CURLcode rc;
	CURL *easy;

	while ((easy = multi_done(&load.multi, &rc)) != NULL) {
		active_call_t *a = NULL;

		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&a);
		on_request_done(a, rc);
	}
}

void
run_plan(void)
{
	int next = 0;

	load.start = now_us();
	while (next < load.njob || load.active->len > 0) {
		int64_t left = POLL_MAX_MS;

		while (next < load.njob &&
		       now_us() >= load.start + load.job[next].start_ms * 1000)
			start_job(&load.job[next++]);
		if (next < load.njob)
			left = load.job[next].start_ms -
			       (now_us() - load.start) / 1000;
		multi_wait(&load.multi, left < 0	     ? 0
					: left < POLL_MAX_MS ? left
							     : POLL_MAX_MS);
		process_completed();
		check_timers();
	}
	load.tally.seconds = (double)(now_us() - load.start) / 1e6;
}
