/*
 * Random faults of all kinds, alone and overlapping, under load from callers.
 * A seed determines the faults. SOAK_SEEDS is a list of seeds ("7 21") or a
 * range ("1-50"); without it, FIXED_SEEDS fixed ones and a new one are run.
 */
#include "tests/cluster.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	RUN_MS = 8000,
	FAULTS_PER_RUN = 13,
	FAULTS_LATER = 2,      /* of these, of the kinds from F_LATER on */
	FAULTS_LAST = 2,       /* of the kinds from F_LAST on */
	FAULTS_WIRE = 2,       /* of the kinds from F_WIRE on */
	SILENCE_MS = 1200,     /* before an answer that is reset */
	START_MIN_MS = 800,    /* earliest start of a fault */
	START_MAX_MS = 6000,   /* latest start */
	FAULT_MIN_MS = 300,    /* shortest fault */
	FAULT_MAX_MS = 3000,   /* longest fault */
	CRASH_MS = 700,	       /* until an endpoint is back */
	FIXED_SEEDS = 2,       /* seeds 1 to this, without SOAK_SEEDS */
	SEED_RANGE_MAX = 1000, /* seeds of a range */
	QUOTA_MAX = 20,	       /* calls a second */
	UNREAD_CALLERS = 8,
	UNREAD_REQUESTS = 4000, /* of each */
	TORN_REQUESTS = 40,
	UPLOADS = 8,
	UPLOAD = 4000000, /* bytes: more than the sockets take */
};

typedef enum fault_kind {
	F_KILL,
	F_STOP, /* planned, by SIGTERM */
	F_FREEZE,
	F_HUP,
	F_STORE,
	F_COMPACT,
	F_MUTE_WATCHES,
	F_ENDPOINT,
	/* Drawn after the others, so that old seeds keep their faults. */
	F_LATER,
	F_CRASH = F_LATER, /* of an endpoint */
	F_CRASH_PART,	   /* a part of prompts that crashes endpoints */
	F_LIMIT,	   /* that an endpoint names */
	F_LAST,
	F_KEYS = F_LAST, /* withdrawn */
	F_QUOTA,	 /* an organisation's allowance falls */
	F_UNREAD,	 /* callers that don't read their answers */
	F_WIRE,
	F_TORN_ANSWERS = F_WIRE, /* of an endpoint, cut in their heads */
	/* Of answers of all plain endpoints. */
	F_EARLY_RESET,	 /* before requests were read */
	F_SILENT_RESET,	 /* after a silence */
	F_TORN_REQUESTS, /* that end at any byte */
	F_COUNT
} fault_kind_t;

static const char *const kind_name[] = { "kill", "stop", "freeze", "hup",
	"store", "compact", "mute-watches", "endpoint", "crash", "crash-part",
	"limit", "keys", "quota", "unread", "torn-answers", "early-reset",
	"silent-reset", "torn-requests" };
/* The kinds from F_WIRE on have endpoint faults of their own. */
static const endpoint_fault_t endpoint_faults[] = { ENDPOINT_RESET,
	ENDPOINT_NOT_RUN, ENDPOINT_ERROR, ENDPOINT_BUSY, ENDPOINT_SILENT,
	ENDPOINT_CUT_STREAM, ENDPOINT_EXTRA_ANSWER, ENDPOINT_FOREIGN_ANSWER,
	ENDPOINT_UNSIGNED, ENDPOINT_NO_LENGTH, ENDPOINT_TRUNCATED,
	ENDPOINT_EARLY_ANSWER };
static const char *const limits[] = { "0", "0.5", "2", "30", "-1", "NaN" };
static const store_fault_t store_faults[] = { STORE_SILENT, STORE_BUSY,
	STORE_RATE_LIMIT, STORE_RESET, STORE_LOST_ANSWER };

typedef struct fault {
	fault_kind_t kind;
	int which, how; /* daemon or endpoint; variant */
	ms_t at, until;
	bool begun, ended;
} fault_t;

typedef struct soak_run {
	cluster_t *cluster;
	int unread[UNREAD_CALLERS]; /* sockets; 0: none */
	client_request_t *upload[UPLOADS];
	fault_t fault[FAULTS_PER_RUN];
} soak_run_t;

static fault_kind_t
draw_kind(rng_t *g, int i)
{
	fault_kind_t from = F_COUNT, to = F_COUNT;

	if (i >= FAULTS_PER_RUN - FAULTS_WIRE)
		from = F_WIRE;
	else if (i >= FAULTS_PER_RUN - FAULTS_WIRE - FAULTS_LAST)
		from = F_LAST, to = F_WIRE;
	else if (i >= FAULTS_PER_RUN - FAULTS_WIRE - FAULTS_LAST - FAULTS_LATER)
		from = F_LATER, to = F_LAST;
	else
		from = 0, to = F_LATER;
	return from + (fault_kind_t)(rng_next(g) % (to - from));
}

static void
plan_faults(soak_run_t *r, uint64_t seed)
{
	rng_t g = { seed * 2654435761u + 1 };
	int i;

	for (i = 0; i < FAULTS_PER_RUN; i++) {
		fault_t *f = &r->fault[i];

		f->kind = draw_kind(&g, i);
		f->which = (int)(rng_next(&g) % 1000);
		f->how = (int)(rng_next(&g) % 1000);
		f->at = START_MIN_MS +
			(ms_t)(rng_unit(&g) * (START_MAX_MS - START_MIN_MS));
		f->until = f->at + FAULT_MIN_MS +
			   (ms_t)(rng_unit(&g) * (FAULT_MAX_MS - FAULT_MIN_MS));
		g_test_message("seed %" PRIu64
			       ": %s which=%d how=%d at=%" PRId64
			       " for=%" PRId64,
		    seed, kind_name[f->kind], f->which, f->how, f->at,
		    f->until - f->at);
	}
}

/* Is another fault of this kind active? */
static bool
same_kind_active(const soak_run_t *r, const fault_t *f)
{
	int i;

	for (i = 0; i < FAULTS_PER_RUN; i++) {
		const fault_t *o = &r->fault[i];

		if (o != f && o->kind == f->kind && o->begun && !o->ended)
			return true;
	}
	return false;
}

static void
set_crash_part(const environment_t *g, uint64_t part)
{
	int i;

	for (i = 0; i < g->nendpoint; i++)
		fake_endpoint_set_crash_part(g->endpoint[i], part, CRASH_MS);
}

/* Requests without a route, on connections that nobody reads. */
static void
open_unread(soak_run_t *r, const fault_t *f)
{
	static const char request[] =
	    "GET / HTTP/1.1\r\nHost: none\r\nRequest-Id: u\r\n\r\n";
	const environment_t *g = r->cluster->env;
	GString *all = g_string_new(NULL);
	struct sockaddr_in to;
	int i;

	for (i = 0; i < UNREAD_REQUESTS; i++)
		g_string_append(all, request);
	net_addr(g->caller[f->which % g->sizes.daemons], &to);
	for (i = 0; i < UNREAD_CALLERS; i++) {
		if (r->unread[i] != 0)
			continue;
		r->unread[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(r->unread[i], (struct sockaddr *)&to, sizeof(to)) ==
		    0)
			(void)!send(r->unread[i], all->str, all->len,
			    MSG_DONTWAIT | MSG_NOSIGNAL);
	}
	g_string_free(all, TRUE);
}

static void
set_plain_fault(
    const environment_t *g, endpoint_fault_t fault, int64_t after, ms_t span)
{
	int i;

	for (i = g->sizes.engines; i < g->nendpoint; i++) {
		fake_endpoint_set_fault(g->endpoint[i], fault);
		fake_endpoint_set_silence(g->endpoint[i], after, span);
	}
}

static void
send_uploads(soak_run_t *r, const fault_t *f)
{
	const environment_t *g = r->cluster->env;
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < UPLOADS; i++) {
		if (r->upload[i] != NULL)
			continue;
		g_string_printf(text,
		    "POST /book/a HTTP/1.1\r\nHost: %s\r\n"
		    "Request-Id: upload-%d\r\n"
		    "Authorization: Token " LOADGEN_KEY "\r\n"
		    "Deadline-Remaining: 2000\r\nContent-Length: %d\r\n\r\n",
		    g->host, i, i % LOADGEN_KEYS, UPLOAD);
		g_string_append_printf(text, "%0*d", UPLOAD, i);
		r->upload[i] = client_request_open(&r->cluster->env->loop,
		    g->caller[(f->which + i) % g->sizes.daemons], text->str,
		    NULL, NULL);
	}
	g_string_free(text, TRUE);
}

/* A success has the whole answer. */
static void
check_uploads(soak_run_t *r)
{
	int i;

	for (i = 0; i < UPLOADS; i++) {
		char *body, *want;

		if (r->upload[i] == NULL)
			continue;
		body = client_request_body(r->upload[i]);
		want = g_strdup_printf("answer to upload-%d by ", i);
		if (r->upload[i]->done && r->upload[i]->status == 200)
			g_assert_true(g_str_has_prefix(body, want));
		g_free(body);
		g_free(want);
		client_request_free(r->upload[i]);
	}
}

/* Requests of which only a part arrives. */
static void
send_torn(const soak_run_t *r, const fault_t *f)
{
	static const char request[] =
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: torn\r\nContent-Length: 4\r\n\r\nbody";
	const environment_t *g = r->cluster->env;
	struct linger hard = { 1, 0 };
	struct sockaddr_in to;
	int i, fd;

	net_addr(g->caller[f->which % g->sizes.daemons], &to);
	for (i = 0; i < TORN_REQUESTS; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
			(void)!send(fd, request,
			    (size_t)(f->how + i) % (sizeof(request) - 1),
			    MSG_NOSIGNAL);
		if (i % 2 == 0)
			setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
		close(fd);
	}
}

static void
close_unread(soak_run_t *r)
{
	int i;

	for (i = 0; i < UNREAD_CALLERS; i++)
		if (r->unread[i] != 0)
			close(r->unread[i]);
	memset(r->unread, 0, sizeof(r->unread));
}

static void
apply_fault(soak_run_t *r, const fault_t *f)
{
	environment_t *g = r->cluster->env;
	fake_endpoint_t *ep = g->endpoint[f->which % g->nendpoint];
	proc_t *d = r->cluster->daemon[f->which % g->sizes.daemons];

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
	case F_MUTE_WATCHES:
		fake_store_mute_watches(g->store, true);
		break;
	case F_ENDPOINT:
		fake_endpoint_set_fault(ep,
		    endpoint_faults[f->how % G_N_ELEMENTS(endpoint_faults)]);
		break;
	case F_CRASH:
		fake_endpoint_crash(ep, f->until - f->at);
		break;
	case F_CRASH_PART:
		set_crash_part(
		    g, LOADGEN_SUBJECT + (uint64_t)f->how % LOADGEN_SUBJECTS);
		break;
	case F_LIMIT:
		fake_endpoint_set_limit(
		    ep, limits[f->how % G_N_ELEMENTS(limits)]);
		break;
	case F_KEYS:
		environment_put_organisations(
		    g, f->how % (LOADGEN_KEYS + 1), 0);
		break;
	case F_QUOTA:
		environment_put_organisations(
		    g, LOADGEN_KEYS, 1 + f->how % QUOTA_MAX);
		break;
	case F_UNREAD:
		open_unread(r, f);
		break;
	case F_TORN_ANSWERS:
		fake_endpoint_set_fault(ep, ENDPOINT_TORN_HEAD);
		break;
	case F_EARLY_RESET:
		set_plain_fault(g, ENDPOINT_EARLY_RESET, -1, 0);
		send_uploads(r, f);
		break;
	case F_SILENT_RESET:
		set_plain_fault(g, ENDPOINT_TRUNCATED, 0, SILENCE_MS);
		break;
	case F_TORN_REQUESTS:
		send_torn(r, f);
		break;
	case F_COUNT:
		break;
	}
}

static void
lift_fault(soak_run_t *r, const fault_t *f)
{
	environment_t *g = r->cluster->env;
	int i = f->which % g->sizes.daemons;

	switch (f->kind) {
	case F_KILL:
	case F_STOP:
		/* Kills a daemon that is still shutting down, a harder case. */
		cluster_start_daemon(r->cluster, i);
		break;
	case F_FREEZE:
		proc_signal(r->cluster->daemon[i], SIGCONT);
		break;
	case F_STORE:
		if (!same_kind_active(r, f))
			fake_store_set_fault(g->store, STORE_OK);
		break;
	case F_MUTE_WATCHES:
		fake_store_mute_watches(g->store, false);
		break;
	case F_EARLY_RESET:
	case F_SILENT_RESET:
		set_plain_fault(g, ENDPOINT_OK, -1, 0);
		break;
	case F_ENDPOINT:
	case F_TORN_ANSWERS:
		fake_endpoint_set_fault(
		    g->endpoint[f->which % g->nendpoint], ENDPOINT_OK);
		break;
	case F_CRASH_PART:
		set_crash_part(g, 0);
		break;
	case F_LIMIT:
		fake_endpoint_set_limit(
		    g->endpoint[f->which % g->nendpoint], NULL);
		break;
	case F_KEYS:
	case F_QUOTA:
		environment_put_organisations(g, LOADGEN_KEYS, 0);
		break;
	case F_UNREAD:
		close_unread(r);
		break;
	case F_HUP:
	case F_COMPACT:
	case F_CRASH:
	case F_TORN_REQUESTS:
	case F_COUNT:
		break;
	}
}

/* No torn request was run. */
static void
check_torn(const environment_t *g)
{
	int i;
	guint k;

	for (i = 0; i < g->nendpoint; i++) {
		const GPtrArray *ran = fake_endpoint_executed(g->endpoint[i]);

		for (k = 0; k < ran->len; k++)
			g_assert_cmpstr(
			    ((const executed_call_t *)ran->pdata[k])->id, !=,
			    "torn");
	}
}

static void
on_turn(void *arg, ms_t since)
{
	soak_run_t *r = arg;
	int i;

	for (i = 0; i < FAULTS_PER_RUN; i++) {
		fault_t *f = &r->fault[i];

		if (!f->begun && since >= f->at) {
			f->begun = true;
			apply_fault(r, f);
		}
		if (!f->ended && since >= f->until) {
			f->ended = true;
			lift_fault(r, f);
		}
	}
}

static void
soak(gconstpointer arg)
{
	uint64_t seed = GPOINTER_TO_SIZE(arg);
	soak_run_t r = { .cluster = cluster_new("") };

	plan_faults(&r, seed);
	cluster_run_load(r.cluster, RUN_MS, on_turn, &r);
	close_unread(&r);
	check_torn(r.cluster->env);
	check_uploads(&r);
	cluster_free(r.cluster);
}

static void
add_seed(uint64_t seed)
{
	char *name = g_strdup_printf("/soak/%" PRIu64, seed);

	g_test_add_data_func(name, GSIZE_TO_POINTER(seed), soak);
	g_free(name);
}

static void
add_seeds(const char *list)
{
	char **part = g_strsplit(list, " ", 0);
	uint64_t from, to, s;
	char *rest;
	int i;

	for (i = 0; part[i] != NULL; i++) {
		from = to = g_ascii_strtoull(part[i], &rest, 10);
		if (*rest == '-')
			to = g_ascii_strtoull(rest + 1, NULL, 10);
		for (s = from; s <= to && s < from + SEED_RANGE_MAX; s++)
			add_seed(s);
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
		add_seeds(given);
		return g_test_run();
	}
	for (i = 1; i <= FIXED_SEEDS; i++)
		add_seed((uint64_t)i);
	/* The name of the case holds the seed, so that it can be repeated. */
	add_seed((uint64_t)(clock_wall() % 1000000000));
	return g_test_run();
}
