/**
 * @file claimsrate.c
 * Load of claims on the store: open-loop claims at a fixed rate, each settled
 * after its work time, with all owners of the buckets in one process. Prints a
 * line of CSV: writes and reads per second, bytes per write, latency of a
 * claim in ms.
 */
#include "store/json.h"

#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	OWNERS_MAX = 64,
	CALLS_MAX = 200000,
	WARM_MS = 200,
	DRAIN_MS = 3000,
};

typedef struct call {
	ms_t requested_at;
	ms_t settle_at; /* 0: not granted */
	ms_t latency;
	claim_outcome_t outcome;
	bool answered;
} call_t;

static struct {
	char *platform;
	double rate;
	int seconds, owners, buckets, commit_ms, settle_ms, work_ms, seed;
	gboolean header;
} opt = { NULL, 50, 10, 8, 64, 5, 100, 50, 1, FALSE };

static const GOptionEntry options[] = {
	{ "platform", 0, 0, G_OPTION_ARG_STRING, &opt.platform,
	    "Address of the object API", "IP:PORT" },
	{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rate, "Claims per second",
	    "N" },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt.seconds, "Length of the run",
	    "S" },
	{ "owners", 0, 0, G_OPTION_ARG_INT, &opt.owners, "Owners of buckets",
	    "N" },
	{ "buckets", 0, 0, G_OPTION_ARG_INT, &opt.buckets,
	    "Setting claims.buckets", "N" },
	{ "commit-ms", 0, 0, G_OPTION_ARG_INT, &opt.commit_ms,
	    "Setting claims.commit_ms", "MS" },
	{ "settle-ms", 0, 0, G_OPTION_ARG_INT, &opt.settle_ms,
	    "Setting claims.settle_ms", "MS" },
	{ "work-ms", 0, 0, G_OPTION_ARG_INT, &opt.work_ms,
	    "Time from grant to settling", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "Seed of the arrivals",
	    "N" },
	{ "header", 0, 0, G_OPTION_ARG_NONE, &opt.header,
	    "Print the names of the columns", NULL },
	{ 0 },
};

static call_t call[CALLS_MAX];
static int ncall;
static claims_t *owner[OWNERS_MAX];
static settings_t set;

static ms_t
now_ms(void)
{
	return clock_now(&machine_clock);
}

static void
on_answer(void *user, uint64_t tag, const claim_answer_t *a)
{
	call_t *c = &call[tag];

	(void)user;
	c->latency = now_ms() - c->requested_at;
	c->outcome = a->outcome;
	if (a->outcome == CLAIM_FRESH)
		c->settle_at = now_ms() + opt.work_ms;
	free(a->reply);
	__atomic_store_n(&c->answered, true, __ATOMIC_RELEASE);
}

static claims_t *
owner_of(const char *key)
{
	return owner[claims_bucket(&set, "app", key) % opt.owners];
}

static void
send_claim(int n)
{
	claim_request_t q = { .service = "app", .body_hash = 1 };

	snprintf(q.key, sizeof(q.key), "key-%d-%d", opt.seed, n);
	snprintf(q.request, sizeof(q.request), "entry-1f2e3d4c-%x", n);
	call[n].requested_at = now_ms();
	if (!claims_request(owner_of(q.key), (uint64_t)n, &q)) {
		call[n].outcome = CLAIM_DOWN;
		call[n].answered = true;
	}
}

/* Settle the claims that are due. Those before @p from need no settling. */
static void
settle_finished(int *from)
{
	int i;

	for (i = *from; i < ncall; i++) {
		claim_settle_t s = { .service = "app", .status = 200 };
		call_t *c = &call[i];

		if (!__atomic_load_n(&c->answered, __ATOMIC_ACQUIRE) ||
		    c->settle_at == 0 || now_ms() < c->settle_at) {
			if (i == *from && c->answered && c->settle_at == 0)
				++*from;
			continue;
		}
		snprintf(s.key, sizeof(s.key), "key-%d-%d", opt.seed, i);
		snprintf(s.request, sizeof(s.request), "entry-1f2e3d4c-%x", i);
		str_set(s.type, sizeof(s.type), "application/json");
		s.reply = strdup("{\"id\":\"0123456789\",\"status\":\"ok\"}");
		s.len = strlen(s.reply);
		c->settle_at = 0;
		if (!claims_settle(owner_of(s.key), 0, &s))
			free(s.reply);
	}
}

/* Send claims at Poisson arrivals and settle those whose work is over. */
static void
run(void)
{
	rng_t rng = { (uint64_t)opt.seed };
	ms_t start = now_ms(), end = start + opt.seconds * 1000;
	double next = 0;
	int from = 0;

	while (now_ms() < end + DRAIN_MS) {
		while (now_ms() < end && ncall < CALLS_MAX &&
		       (double)(now_ms() - start) >= next) {
			send_claim(ncall);
			ncall++;
			next += -log(1 - rng_unit(&rng)) * 1000 / opt.rate;
		}
		settle_finished(&from);
		clock_sleep(1);
	}
}

static int64_t
get_stat(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static void
print_csv(const json_t *before, const json_t *after)
{
	static histo_t took;
	int i, fresh = 0, down = 0;
	double span = opt.seconds;
	int64_t writes, bytes;

	for (i = 0; i < ncall; i++) {
		histo_add(&took, call[i].latency);
		fresh += call[i].outcome == CLAIM_FRESH;
		down += call[i].outcome == CLAIM_DOWN;
	}
	writes = get_stat(after, "writes") - get_stat(before, "writes");
	bytes =
	    get_stat(after, "write_bytes") - get_stat(before, "write_bytes");
	if (opt.header)
		printf("rate,buckets,commit_ms,settle_ms,claims,fresh,down,"
		       "writes_per_s,writes_per_call,reads_per_s,refused,"
		       "bytes_per_write,p50_ms,p99_ms\n");
	printf("%.0f,%d,%d,%d,%d,%d,%d,%.1f,%.2f,%.1f,%" PRId64 ",%" PRId64
	       ",%" PRId64 ",%" PRId64 "\n",
	    opt.rate, opt.buckets, opt.commit_ms, opt.settle_ms, ncall, fresh,
	    down, (double)writes / span, (double)writes / (double)MAX(fresh, 1),
	    (double)(get_stat(after, "reads") - get_stat(before, "reads")) /
		span,
	    get_stat(after, "refused") - get_stat(before, "refused"),
	    bytes / MAX(writes, 1), histo_quantile(&took, 0.5),
	    histo_quantile(&took, 0.99));
}

int
main(int argc, char **argv)
{
	GOptionContext *ctx =
	    g_option_context_new("- load of claims on the store");
	claims_opts_t o = {
		.settings = &set, .clock = &machine_clock, .done = on_answer
	};
	platform_opts_t po = { .timeout = 2000 };
	json_t *before, *after;
	platform_t *p;
	int i;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL) ||
	    opt.platform == NULL || opt.owners < 1 || opt.owners > OWNERS_MAX) {
		fprintf(stderr,
		    "claimsrate: --platform IP:PORT is required, and "
		    "--owners from 1 to 64\n");
		return 2;
	}
	settings_init(&set);
	set.claims.buckets = opt.buckets;
	set.claims.commit_ms = opt.commit_ms;
	set.claims.settle_ms = opt.settle_ms;
	str_set(set.platform.addr, ADDR_MAX, opt.platform);
	str_set(po.addr, ADDR_MAX, opt.platform);
	p = platform_new(&po, NULL);
	for (i = 0; i < opt.owners; i++)
		owner[i] = claims_new(&o, NULL);
	clock_sleep(WARM_MS);
	before = platform_json(p, "/control/stats", NULL);
	run();
	after = platform_json(p, "/control/stats", NULL);
	print_csv(before, after);
	for (i = 0; i < opt.owners; i++)
		claims_free(owner[i]);
	platform_free(p);
	return 0;
}
