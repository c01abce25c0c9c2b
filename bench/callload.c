/* Load tool: options, setup and the totals at the end. */
#include "bench/drive.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

enum {
	MODELS_TIMEOUT_MS = 1000,    /* timeout of GET /v1/models */
	IDLE_CONNECTIONS_MAX = 4096, /* kept for reuse */
	OPEN_FILES_WANTED = 16384,
};

static void
count_error_code(tally_t *t, const char *code)
{
	int i;

	for (i = 0; i < t->nerror; i++)
		if (strcmp(t->error_code[i], code) == 0)
			break;
	if (i == CODES_MAX)
		return;
	if (i == t->nerror)
		str_set(t->error_code[t->nerror++], ID_MAX, code);
	t->error_count[i]++;
}

static void
fill_tally(void)
{
	tally_t *t = &load.tally;
	int i;

	t->calls = load.njob;
	t->accelerators = load.accelerators;
	for (i = 0; i < load.njob; i++) {
		const job_t *j = &load.job[i];

		t->by_verdict[j->verdict]++;
		t->in_time += j->in_time;
		if (j->verdict != VERDICT_WHOLE && j->error_code[0] != '\0')
			count_error_code(t, j->error_code);
		if (j->verdict != VERDICT_WHOLE)
			continue;
		if (j->kind == JOB_STREAM)
			histo_add(&t->first, j->first_us);
		histo_add(is_chat(j) ? &t->whole : &t->plain, j->whole_us);
	}
}

static char **
split_list(const char *list, int *n)
{
	char **all = g_strsplit(list == NULL ? "" : list, ",", -1);

	*n = (int)g_strv_length(all);
	return all;
}

static size_t
append_body(char *p, size_t size, size_t n, void *user)
{
	g_string_append_len(user, p, size * n);
	return size * n;
}

static void
fetch_models(void)
{
	CURL *c = easy_new(load.seed_entry[0], "/v1/models");
	GString *body = g_string_new(NULL), *names = g_string_new(NULL);
	json_t *j, *item;
	size_t i;

	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)MODELS_TIMEOUT_MS);
	curl_easy_perform(c);
	curl_easy_cleanup(c);
	j = json_loadb(body->str, body->len, 0, NULL);
	json_array_foreach(json_object_get(j, "data"), i, item)
	    g_string_append_printf(names, "%s%s", i > 0 ? "," : "",
		json_string_value(json_object_get(item, "id")));
	json_decref(j);
	g_string_free(body, TRUE);
	load.models = g_string_free(names, FALSE);
}

static void
parse_options(int argc, char **argv)
{
	plan_opts_t *p = &load.plan;
	GOptionEntry entry[] = {
		{ "entries", 0, 0, G_OPTION_ARG_STRING, &load.entries,
		    "entries to ask for the list of entries", "IP:PORT,..." },
		{ "direct", 0, 0, G_OPTION_ARG_STRING, &load.direct,
		    "engines to call without an entry, for comparison",
		    "IP:PORT,..." },
		{ "domain", 0, 0, G_OPTION_ARG_STRING, &load.domain,
		    "the callers' failure domain", "NAME" },
		{ "models", 0, 0, G_OPTION_ARG_STRING, &load.models,
		    "models and adapters to call; default: all", "NAME,..." },
		{ "engines", 0, 0, G_OPTION_ARG_STRING, &load.engines,
		    "stand-in engines whose records are read", "IP:PORT,..." },
		{ "services", 0, 0, G_OPTION_ARG_STRING, &load.services,
		    "stand-in services whose records are read", "IP:PORT,..." },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &load.service,
		    "plain service to call; default: none", "NAME" },
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &p->rate, "calls a second",
		    "N" },
		{ "burst", 0, 0, G_OPTION_ARG_DOUBLE, &p->burst_factor,
		    "factor on the rate for one second in five", "F" },
		{ "plain", 0, 0, G_OPTION_ARG_DOUBLE, &p->plain_share,
		    "share of plain calls", "0..1" },
		{ "skew", 0, 0, G_OPTION_ARG_DOUBLE, &p->skew,
		    "exponent of the models' popularity", "X" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &p->callers,
		    "callers, each with its own list of entries", "N" },
		{ "tokens", 0, 0, G_OPTION_ARG_INT, &load.tokens,
		    "mean tokens of an answer", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds,
		    "length of the arrivals", "S" },
		{ "promise-ms", 0, 0, G_OPTION_ARG_INT, &load.target_latency_ms,
		    "target time to the first token or plain answer", "MS" },
		{ "gap-ms", 0, 0, G_OPTION_ARG_INT, &load.gap_ms,
		    "target mean time between tokens", "MS" },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &load.timeout_ms,
		    "after this a call counts as lost", "MS" },
		{ "retries", 0, 0, G_OPTION_ARG_INT, &load.retries,
		    "retries of a call", "N" },
		{ "accelerators", 0, 0, G_OPTION_ARG_INT, &load.accelerators,
		    "accelerators in use, for the report", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &load.seed,
		    "seed of the plan", "N" },
		{ "kills", 0, 0, G_OPTION_ARG_NONE, &load.kills,
		    "entries are killed: calls without a key may be unanswered",
		    NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &load.json, "print JSON",
		    NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *c = g_option_context_new("- load and check answers");
	GError *err = NULL;

	g_option_context_add_main_entries(c, entry, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &err) ||
	    (load.entries == NULL && load.direct == NULL) || p->rate <= 0 ||
	    p->callers < 1 || load.tokens < 1) {
		fprintf(stderr, "callload: %s\n",
		    err != NULL ? err->message
				: "--entries or --direct is required; rate, "
				  "callers and tokens must be positive");
		exit(2);
	}
	g_option_context_free(c);
	p->span_ms = (ms_t)load.seconds * 1000;
	p->tokens = load.tokens;
	p->seed = load.seed;
	if (load.service == NULL)
		p->plain_share = 0;
}

static void
raise_fd_limit(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) == 0 &&
	    r.rlim_cur < OPEN_FILES_WANTED) {
		r.rlim_cur = r.rlim_max < OPEN_FILES_WANTED ? r.rlim_max
							    : OPEN_FILES_WANTED;
		setrlimit(RLIMIT_NOFILE, &r);
	}
}

int
main(int argc, char **argv)
{
	char **engine, **service;
	bool good;
	int n;

	parse_options(argc, argv);
	raise_fd_limit();
	load.seed_entry = split_list(
	    load.direct != NULL ? load.direct : load.entries, &load.nseed);
	if (load.models == NULL)
		fetch_models();
	load.model = split_list(load.models, &load.nmodel);
	engine = split_list(load.engines, &n);
	service = split_list(load.services, &n);
	load.caller = g_new0(caller_t, load.plan.callers);
	for (n = 0; n < load.plan.callers; n++)
		load.caller[n].next_entry = n; /* spread over the seeds */
	load.job = plan_make(&load.plan, (const char *const *)load.model,
	    load.nmodel, &load.njob);
	load.active = g_ptr_array_new();
	if (multi_open(&load.multi, IDLE_CONNECTIONS_MAX, NULL) == -1)
		return 2;
	records_engines(&load.tally.before, (const char *const *)engine);
	run_plan();
	records_engines(&load.tally.after, (const char *const *)engine);
	records_services(&load.tally.after, (const char *const *)service,
	    load.job, load.njob);
	fill_tally();
	good = tally_good(&load.tally, load.kills);
	if (load.json)
		tally_print_json(&load.tally, good);
	else
		tally_print(&load.tally, good);
	return good ? 0 : 1;
}
