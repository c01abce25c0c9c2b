/* Load tool: Poisson arrivals with bursts, over models by popularity. */
#include "bench/load.h"

#include "standin/token.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	BURST_EVERY_MS = 5000,
	BURST_MS = 1000,
	STREAMED_OF_10 = 9, /* of chat calls, the streamed ones */
	KEYED_OF_10 = 6,    /* of plain calls, those with a key */
};

/* Common prefix of a model's prompts, so that prefix caches are used. */
static const char shared_prefix[] =
    "You summarise friction traces and milk-texture notes for people who "
    "sign what you write. Keep to what the trace shows, name the section "
    "and the speed, and say plainly what is missing. Model ";

static double
zipf_sum(int n, double skew)
{
	double sum = 0;
	int i;

	for (i = 1; i <= n; i++)
		sum += pow(i, -skew);
	return sum;
}

static int
zipf_pick(int n, double skew, double sum, rng_t *rng)
{
	double x = rng_unit(rng) * sum;
	int i;

	for (i = 1; i < n; i++)
		if ((x -= pow(i, -skew)) < 0)
			break;
	return i - 1;
}

/* The order of popularity depends on the seed alone. */
static const char **
shuffle_models(const char *const *model, int n, rng_t *rng)
{
	const char **all = g_new0(const char *, n + 1);
	int i;

	for (i = 0; i < n; i++)
		all[i] = model[i];
	for (i = n - 1; i > 0; i--) {
		int k = (int)(rng_next(rng) % (i + 1));
		const char *t = all[i];

		all[i] = all[k];
		all[k] = t;
	}
	return all;
}

static void
fill_plain(job_t *j, const plan_opts_t *o, rng_t *rng)
{
	j->kind = rng_next(rng) % 10 < KEYED_OF_10 ? JOB_KEYED : JOB_UNKEYED;
	j->prompt =
	    g_strdup_printf("/calibrations/%" PRIu64 "-%u", o->seed, j->number);
}

static void
fill_chat(job_t *j, const plan_opts_t *o, const char *model, rng_t *rng)
{
	uint32_t half = o->tokens / 2 + 1;

	j->kind = rng_next(rng) % 10 < STREAMED_OF_10 ? JOB_STREAM : JOB_CHAT;
	j->model = model;
	j->tokens = half + rng_next(rng) % (2 * half);
	j->prompt = g_strdup_printf("%s%s, call %" PRIu64 "-%u #%u",
	    shared_prefix, model, o->seed, j->number, j->tokens);
}

job_t *
plan_make(const plan_opts_t *o, const char *const *model, int nmodel, int *n)
{
	rng_t rng = { o->seed };
	const char **all = shuffle_models(model, nmodel, &rng);
	double sum = zipf_sum(nmodel, o->skew), at = 0;
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(job_t));

	for (;;) {
		bool burst =
		    (ms_t)at % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS;
		double rate = o->rate * (burst ? o->burst_factor : 1);
		job_t j = { .number = jobs->len };

		at += -log(1 - rng_unit(&rng)) * 1000 / rate;
		if (at >= (double)o->span_ms)
			break;
		j.start_ms = (ms_t)at;
		j.caller = (int)(rng_next(&rng) % o->callers);
		if (nmodel == 0 || rng_unit(&rng) < o->plain_share)
			fill_plain(&j, o, &rng);
		else
			fill_chat(&j, o,
			    all[zipf_pick(nmodel, o->skew, sum, &rng)], &rng);
		g_array_append_val(jobs, j);
	}
	g_free(all);
	*n = (int)jobs->len;
	return (job_t *)(void *)g_array_free(jobs, FALSE);
}

void
plan_free(job_t *job, int n)
{
	int i;

	for (i = 0; i < n; i++)
		g_free(job[i].prompt);
	g_free(job);
}
