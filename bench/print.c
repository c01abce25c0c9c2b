/* Load tool: the report, as text and as JSON. */
#include "bench/load.h"

#include <stdlib.h>

static const double quantiles[] = { 0.5, 0.9, 0.99 };

static double
attainment(const tally_t *t)
{
	return t->calls == 0 ? 0 : 100.0 * t->in_time / t->calls;
}

bool
tally_good(const tally_t *t, bool kills)
{
	const records_t *r = &t->after;

	return t->by_verdict[VERDICT_OPEN] == 0 &&
	       t->by_verdict[VERDICT_LOST] == 0 &&
	       t->by_verdict[VERDICT_CUT] == 0 &&
	       t->by_verdict[VERDICT_DOUBLED] == 0 &&
	       t->by_verdict[VERDICT_FOREIGN] == 0 &&
	       (kills || t->by_verdict[VERDICT_UNANSWERED] == 0) &&
	       r->ran_twice == 0 && r->ran_refused == 0 && r->not_ran == 0 &&
	       r->overcommits == 0 && (kills || r->asked == r->read) &&
	       t->calls > 0;
}

static double
ms_of(int64_t us)
{
	return (double)us / 1000;
}

static void
print_latency(const char *name, const histo_t *h)
{
	size_t i;

	if (h->n == 0)
		return;
	printf("  %-24s", name);
	for (i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf(" p%-2.0f %9.2f ms ", quantiles[i] * 100,
		    ms_of(histo_quantile(h, quantiles[i])));
	printf(" max %9.2f ms\n", ms_of(h->max));
}

void
tally_print(const tally_t *t, bool good)
{
	const records_t *r = &t->after;
	int v;

	printf("calls by outcome (%d in %.0f s)\n", t->calls, t->seconds);
	for (v = VERDICT_WHOLE; v < VERDICT_N; v++)
		printf("  %-24s %8d\n", verdict_name(v), t->by_verdict[v]);
	if (t->by_verdict[VERDICT_OPEN] > 0)
		printf("  %-24s %8d\n", "open", t->by_verdict[VERDICT_OPEN]);
	for (v = 0; v < t->nerror; v++)
		printf("    told %-20s %7d\n", t->error_code[v],
		    t->error_count[v]);
	printf("tries beyond the first   %8d\n", t->retries);
	printf("streams resumed          %8d\n", t->resumes);
	printf("moved to another entry   %8d\n", t->moved);
	printf("attainment               %8.2f %%\n", attainment(t));
	if (t->accelerators > 0)
		printf("attainment/accelerator   %8.2f %% (%d)\n",
		    attainment(t) / t->accelerators, t->accelerators);
	printf("tokens a second          %8.0f\n",
	    t->seconds > 0 ? t->tokens / t->seconds : 0);
	printf("records read             %5d/%d\n", r->read, r->asked);
	printf("moves                    %8" PRId64 " under load, %" PRId64
	       " loads and %" PRId64 " unloads altogether\n",
	    records_moves(&t->before, &t->after), r->loads, r->unloads);
	printf("memory                   %8" PRId64 " MB highest, %" PRId64
	       " times beyond capacity\n",
	    r->peak_mb, r->overcommits);
	printf("plain calls              %8" PRId64 " ran twice, %" PRId64
	       " ran but refused, %" PRId64 " answered but not run\n",
	    r->ran_twice, r->ran_refused, r->not_ran);
	printf("latency\n");
	print_latency("first token", &t->first);
	print_latency("between tokens", &t->gap);
	print_latency("whole answer", &t->whole);
	print_latency("plain call", &t->plain);
	printf("%s\n", good ? "GOOD" : "BAD");
}

static json_t *
latency_json(const histo_t *h)
{
	return json_pack("{s:I,s:f,s:f,s:f,s:f}", "n", (json_int_t)h->n, "p50",
	    ms_of(histo_quantile(h, quantiles[0])), "p90",
	    ms_of(histo_quantile(h, quantiles[1])), "p99",
	    ms_of(histo_quantile(h, quantiles[2])), "max", ms_of(h->max));
}

void
tally_print_json(const tally_t *t, bool good)
{
	const records_t *r = &t->after;
	json_t *by = json_object(), *j;
	char *text;
	int v;

	for (v = 0; v < VERDICT_N; v++)
		json_object_set_new(
		    by, verdict_name(v), json_integer(t->by_verdict[v]));
	j = json_pack("{s:b,s:i,s:f,s:o,s:i,s:i,s:i,s:f,s:i,s:f}", "good", good,
	    "calls", t->calls, "seconds", t->seconds, "outcomes", by, "retries",
	    t->retries, "resumes", t->resumes, "moved", t->moved, "attainment",
	    attainment(t), "accelerators", t->accelerators, "tokens_s",
	    t->seconds > 0 ? t->tokens / t->seconds : 0);
	json_object_set_new(j, "records",
	    json_pack("{s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I}", "asked", r->asked,
		"read", r->read, "moves",
		(json_int_t)records_moves(&t->before, &t->after), "overcommits",
		(json_int_t)r->overcommits, "peak_mb", (json_int_t)r->peak_mb,
		"ran_twice", (json_int_t)r->ran_twice, "ran_refused",
		(json_int_t)r->ran_refused, "not_ran", (json_int_t)r->not_ran));
	json_object_set_new(j, "first_ms", latency_json(&t->first));
	json_object_set_new(j, "gap_ms", latency_json(&t->gap));
	json_object_set_new(j, "whole_ms", latency_json(&t->whole));
	json_object_set_new(j, "plain_ms", latency_json(&t->plain));
	text = json_dumps(j, JSON_INDENT(1));
	puts(text);
	free(text);
	json_decref(j);
}
