/*
 * Seeded faults of all kinds, alone and overlapping, beside callers. SOAK_SEEDS
 * is a list ("7 21") or a span ("1-50"); without it a fixed few and a fresh
 * one are run.
 */
#include "tests/cluster.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	SPAN_MS = 8000,
	FAULTS = 7,	   /* in a run */
	FIRST_MS = 800,	   /* the earliest begins */
	LAST_MS = 6000,	   /* the latest begins */
	LEAST_MS = 300,	   /* a fault lasts at least ... */
	MOST_MS = 3000,	   /* ... and at most so long */
	FIXED = 2,	   /* seeds 1 to this in a run of all tests */
	SEEDS_MOST = 1000, /* of a span */
};

typedef enum fault_kind {
	F_KILL,
	F_STOP, /* as planned */
	F_FREEZE,
	F_HUP,
	F_STORE,
	F_COMPACT,
	F_DEAF,
	F_HAND,
	KINDS
} fault_kind_t;

static const char *const kind_name[] = { "kill", "stop", "freeze", "hup",
	"store", "compact", "deaf", "hand" };
/* Of endpoints: each may answer anything but its own, whole answer. */
static const endpoint_fault_t hand_faults[] = { ENDPOINT_RESET,
	ENDPOINT_NOT_RUN, ENDPOINT_ERROR, ENDPOINT_BUSY, ENDPOINT_SILENT,
	ENDPOINT_CUT_STREAM, ENDPOINT_EXTRA_ANSWER, ENDPOINT_FOREIGN_ANSWER,
	ENDPOINT_UNSIGNED, ENDPOINT_NO_LENGTH, ENDPOINT_TRUNCATED,
	ENDPOINT_EARLY_ANSWER };
static const store_fault_t store_faults[] = { STORE_SILENT, STORE_BUSY,
	STORE_RATE_LIMIT, STORE_RESET, STORE_LOST_ANSWER };

typedef struct fault {
	fault_kind_t kind;
	int which, how; /* daemon or endpoint; variant */
	ms_t at, until;
	bool begun, ended;
} fault_t;

typedef struct run_ {
	cluster_t *b;
	fault_t fault[FAULTS];
} run_of_t;

static void
plan(run_of_t *r, uint64_t seed)
{
	rng_t g = { seed * 2654435761u + 1 };
	int i;

	for (i = 0; i < FAULTS; i++) {
		fault_t *f = &r->fault[i];

		f->kind = (fault_kind_t)(rng_next(&g) % KINDS);
		f->which = (int)(rng_next(&g) % 1000);
		f->how = (int)(rng_next(&g) % 1000);
		f->at = FIRST_MS + (ms_t)(rng_unit(&g) * (LAST_MS - FIRST_MS));
		f->until = f->at + LEAST_MS +
			   (ms_t)(rng_unit(&g) * (MOST_MS - LEAST_MS));
		g_test_message("seed %" PRIu64
			       ": %s which=%d how=%d at=%" PRId64
			       " for=%" PRId64,
		    seed, kind_name[f->kind], f->which, f->how, f->at,
		    f->until - f->at);
	}
}

/* Is another fault of this kind on at the same place? */
static bool
still(const run_of_t *r, const fault_t *f)
{
	int i;

	for (i = 0; i < FAULTS; i++) {
		const fault_t *o = &r->fault[i];

		if (o != f && o->kind == f->kind && o->begun && !o->ended)
			return true;
	}
	return false;
}

static void
begin(run_of_t *r, const fault_t *f)
{
	environment_t *g = r->b->env;
	proc_t *d = r->b->daemon[f->which % g->sizes.daemons];

	switch (f->kind) {
	case F_KILL:
		proc_signal(d, SIGKILL);
		break;
	case F_STOP:
		proc_signal(d, SIGTERM);
		break;
	case F_FREEZE:
		proc_signal(d, SIGSTOP);
		break;
	case F_HUP:
		proc_signal(d, SIGHUP);
		break;
	case F_STORE:
		fake_store_set_fault(g->store,
		    store_faults[f->how % G_N_ELEMENTS(store_faults)]);
		break;
	case F_COMPACT:
		fake_store_compact(g->store);
		break;
	case F_DEAF:
		fake_store_mute_watches(g->store, true);
		break;
	case F_HAND:
		fake_endpoint_set_fault(g->endpoint[f->which % g->nendpoint],
		    hand_faults[f->how % G_N_ELEMENTS(hand_faults)]);
		break;
	case KINDS:
		break;
	}
}

static void
end(run_of_t *r, const fault_t *f)
{
	environment_t *g = r->b->env;
	int i = f->which % g->sizes.daemons;

	switch (f->kind) {
	case F_KILL:
	case F_STOP:
		/* One that is still leaving is killed: worse comes. */
		cluster_start_daemon(r->b, i);
		break;
	case F_FREEZE:
		proc_signal(r->b->daemon[i], SIGCONT);
		break;
	case F_STORE:
		if (!still(r, f))
			fake_store_set_fault(g->store, STORE_OK);
		break;
	case F_DEAF:
		fake_store_mute_watches(g->store, false);
		break;
	case F_HAND:
		fake_endpoint_set_fault(
		    g->endpoint[f->which % g->nendpoint], ENDPOINT_OK);
		break;
	case F_HUP:
	case F_COMPACT:
	case KINDS:
		break;
	}
}

static void
turn(void *arg, ms_t since)
{
	run_of_t *r = arg;
	int i;

	for (i = 0; i < FAULTS; i++) {
		fault_t *f = &r->fault[i];

		if (!f->begun && since >= f->at) {
			f->begun = true;
			begin(r, f);
		}
		if (!f->ended && since >= f->until) {
			f->ended = true;
			end(r, f);
		}
	}
}

static void
soak(gconstpointer arg)
{
	uint64_t seed = GPOINTER_TO_SIZE(arg);
	run_of_t r = { .b = cluster_new("") };

	plan(&r, seed);
	cluster_run_load(r.b, SPAN_MS, turn, &r);
	cluster_free(r.b);
}

static void
add(uint64_t seed)
{
	char *name = g_strdup_printf("/soak/%" PRIu64, seed);

	g_test_add_data_func(name, GSIZE_TO_POINTER(seed), soak);
	g_free(name);
}

static void
add_given(const char *list)
{
	char **part = g_strsplit(list, " ", 0);
	uint64_t from, to, s;
	char *rest;
	int i;

	for (i = 0; part[i] != NULL; i++) {
		from = to = g_ascii_strtoull(part[i], &rest, 10);
		if (*rest == '-')
			to = g_ascii_strtoull(rest + 1, NULL, 10);
		for (s = from; s <= to && s < from + SEEDS_MOST; s++)
			add(s);
	}
	g_strfreev(part);
}

int
main(int argc, char **argv)
{
	const char *given = g_getenv("SOAK_SEEDS");
	int i;

	g_test_init(&argc, &argv, NULL);
	if (given != NULL) {
		add_given(given);
		return g_test_run();
	}
	for (i = 1; i <= FIXED; i++)
		add((uint64_t)i);
	/* Its name tells it, so that it can be run again. */
	add((uint64_t)(clock_wall() % 1000000000));
	return g_test_run();
}
