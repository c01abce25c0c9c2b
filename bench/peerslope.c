/**
 * @file peerslope.c
 * Cost of a node's thread by the number of nodes: messages, bytes and CPU time,
 * for relays, which are the roots of the domains, and for other nodes. Prints
 * CSV.
 */
#include "peer/node.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

enum {
	NODES_MAX = 160,
	DOMAINS = 3,
	WORKERS_PER_NODE = 9,
	MODELS_PER_WORKER = 5,
	REPORT_MS = 250,
	FLEET_REPORT_MS = 2000,
	CONVERGE_TIMEOUT_MS = 60000,
	WARM_MS = 3000,
	FLEET_WARM_MS = 20000,
	RUN_MS = 10000,
	FLEET_NODES = 5,       /* the last is alone in its domain */
	FLEET_WORKERS = 10000, /* size of the planned fleet */
	REQUESTS = 20000,
	FIRST_PORT = 20000, /* ports are searched from here */
};

typedef struct sample {
	net_stats_t net;
	double cpu; /* s */
} sample_t;

static settings_t set[NODES_MAX];
static node_t *node[NODES_MAX];
static instances_t list;
static int port = FIRST_PORT;
/* Index of the only node of its domain, run in a child process; -1: none. */
static int lone_node = -1;
static pid_t lone_pid;

static bool
port_free(int p)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons(p),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	is_free = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return is_free;
}

static void
add_worker(int i, int domain)
{
	instance_t *w = &list.item[list.n++];

	memset(w, 0, sizeof(*w));
	w->role = ROLE_WORKER;
	w->slots = 16;
	snprintf(w->id, ID_MAX, "report-llm-worker-%05d", i);
	snprintf(w->domain, ID_MAX, "domain-%d",
	    domain == -1 ? i % DOMAINS : domain);
	str_set(w->service, ID_MAX, "report-llm");
	str_set(w->addr, ADDR_MAX, "127.0.0.1:1");
}

static void
add_entry(int i, settings_t *s)
{
	instance_t *e = &list.item[list.n++];

	memset(e, 0, sizeof(*e));
	e->role = ROLE_ENTRY;
	snprintf(e->id, ID_MAX, "entry-instance-%04d", i);
	snprintf(e->domain, ID_MAX, "domain-%d", i % DOMAINS);
	if (s == NULL) {
		str_set(e->peer_addr, ADDR_MAX, "127.0.0.1:1");
		return;
	}
	while (!port_free(++port))
		;
	snprintf(e->peer_addr, ADDR_MAX, "127.0.0.1:%d", port);
	settings_init(s);
	/* Practically off: this program pushes the reports itself. */
	s->broker.load_poll_ms = 60000;
	str_set(s->instance.id, ID_MAX, e->id);
	str_set(s->instance.domain, ID_MAX, e->domain);
	str_set(s->instance.peer_addr, ADDR_MAX, e->peer_addr);
	if (i > 0)
		str_set(s->peer.seeds, SEEDS_MAX, set[0].instance.peer_addr);
	str_set(s->instance.caller_addr, ADDR_MAX, e->peer_addr);
	str_set(s->instance.operator_addr, ADDR_MAX, e->peer_addr);
}

static void report_for(int nodes, ms_t span, rng_t *rng);

static void
run_node(int i)
{
	node_opts_t o = { .settings = &set[i], .clock = &machine_clock };
	err_t e;

	node[i] = node_new(&o, &e);
	if (node[i] == NULL) {
		fprintf(stderr, "%s\n", e.text);
		exit(EXIT_FAILURE);
	}
	node_set_instances(node[i], &list);
}

/*
 * The node that brokers all shards of the fleet runs in a child process, so
 * that it doesn't distort the figures of the others.
 */
static void
start_lone_node(void)
{
	rng_t rng = { 1 };

	lone_pid = fork();
	if (lone_pid != 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	run_node(lone_node);
	for (;;)
		report_for(lone_node + 1, RUN_MS, &rng);
}

static void
start(int nodes, int entries, int workers, int domain)
{
	int i;

	list.item = calloc(entries + workers, sizeof(*list.item));
	list.n = 0;
	for (i = 0; i < entries; i++)
		add_entry(i, i < nodes ? &set[i] : NULL);
	for (i = 0; i < workers; i++)
		add_worker(i, domain);
	if (lone_node != -1)
		start_lone_node();
	for (i = 0; i < nodes; i++)
		if (i != lone_node)
			run_node(i);
}

static void
stop(int nodes)
{
	int i;

	for (i = 0; i < nodes; i++) {
		node_free(node[i]);
		node[i] = NULL;
	}
	if (lone_node != -1) {
		kill(lone_pid, SIGKILL);
		waitpid(lone_pid, NULL, 0);
	}
	free(list.item);
}

static bool
views_complete(int nodes)
{
	int i;

	for (i = 0; i < nodes; i++) {
		view_t *v;
		bool all;

		if (i == lone_node)
			continue;
		v = node_view(node[i]);
		all = (int)v->wire->n_member == nodes;

		view_unref(v);
		if (!all)
			return false;
	}
	return true;
}

/* Push a worker's report as the poller would, with random load. */
static void
push_report(node_t *n, const char *worker, rng_t *rng)
{
	load_report_t *r = calloc(1, sizeof(*r));
	int i;

	str_set(r->worker, ID_MAX, worker);
	r->reached = true;
	r->taken_at = clock_now(&machine_clock);
	r->slots = 16;
	r->in_flight = (uint32_t)(rng_next(rng) % 17);
	r->nresident = MODELS_PER_WORKER;
	r->resident = calloc(MODELS_PER_WORKER, sizeof(*r->resident));
	for (i = 0; i < MODELS_PER_WORKER; i++) {
		snprintf(r->resident[i].model, ID_MAX, "some-model-%03d", i);
		r->resident[i].version = 1;
		r->resident[i].state = RESIDENT_READY;
	}
	while (!ring_push(n->reports, r))
		clock_sleep(1);
}

static void
report_all(int nodes, rng_t *rng)
{
	int i, j, k;

	for (i = 0; i < nodes; i++) {
		view_t *v;

		if (node[i] == NULL)
			continue;
		v = node_view(node[i]);
		for (j = 0; j < v->nshard; j++) {
			const shard_t *s = &v->shard[j];

			if (strcmp(s->broker, set[i].instance.id) != 0)
				continue;
			for (k = s->first; k < s->first + s->n; k++)
				push_report(
				    node[i], v->wire->worker[k]->id, rng);
		}
		view_unref(v);
	}
}

static void
report_for(int nodes, ms_t span, rng_t *rng)
{
	ms_t end = clock_now(&machine_clock) + span;

	while (clock_now(&machine_clock) < end) {
		report_all(nodes, rng);
		clock_sleep(
		    list.n > FLEET_WORKERS ? FLEET_REPORT_MS : REPORT_MS);
	}
}

static void
take_sample(int i, sample_t *s)
{
	struct timespec ts = { 0, 0 };
	clockid_t id;

	net_stats(node[i]->net, &s->net);
	if (pthread_getcpuclockid(node[i]->thread, &id) == 0)
		clock_gettime(id, &ts);
	s->cpu = (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static long
resident_kb(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long size = 0, resident = 0;

	if (f == NULL)
		return 0;
	if (fscanf(f, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	fclose(f);
	return resident * sysconf(_SC_PAGESIZE) / 1024;
}

static void
print(const char *what, int nodes, bool relays, const sample_t *a,
    const sample_t *b, int workers)
{
	double s = RUN_MS / 1000.0, n = 0, in = 0, out = 0, bin = 0, bout = 0;
	double cpu = 0;
	int i;

	for (i = 0; i < nodes; i++) {
		/* It brokers all shards, which no node of a deployment does. */
		if (i == lone_node)
			continue;
		if (node_is_root(node[i]) != relays)
			continue;
		n++;
		in += (double)(b[i].net.in_frames - a[i].net.in_frames);
		out += (double)(b[i].net.out_frames - a[i].net.out_frames);
		bin += (double)(b[i].net.in_bytes - a[i].net.in_bytes);
		bout += (double)(b[i].net.out_bytes - a[i].net.out_bytes);
		cpu += b[i].cpu - a[i].cpu;
	}
	if (n == 0)
		return;
	printf("%s,%d,%d,%s,%.0f,%.1f,%.1f,%.2f,%.2f,%.3f,%ld\n", what, nodes,
	    workers, relays ? "relay" : "other", n, in / n / s, out / n / s,
	    bin / n / s / 1000, bout / n / s / 1000, 100 * cpu / n / s,
	    resident_kb());
	fflush(stdout);
}

static void
measure(const char *what, int nodes, int entries, int workers, int domain)
{
	static sample_t before[NODES_MAX], after[NODES_MAX];
	ms_t end = clock_now(&machine_clock) + CONVERGE_TIMEOUT_MS;
	rng_t rng = { 1 };
	int i;

	start(nodes, entries, workers, domain);
	while (!views_complete(nodes) && clock_now(&machine_clock) < end)
		clock_sleep(REPORT_MS);
	report_for(
	    nodes, list.n > FLEET_WORKERS ? FLEET_WARM_MS : WARM_MS, &rng);
	for (i = 0; i < nodes; i++)
		if (i != lone_node)
			take_sample(i, &before[i]);
	report_for(nodes, RUN_MS, &rng);
	for (i = 0; i < nodes; i++)
		if (i != lone_node)
			take_sample(i, &after[i]);
	if (!views_complete(nodes))
		printf("# %s %d: not all views are complete\n", what, nodes);
	print(what, nodes, true, before, after, workers);
	print(what, nodes, false, before, after, workers);
	stop(nodes);
}

/* CPU time of a broker's thread for one slot request, grant and release. */
static void
measure_slot_requests(void)
{
	client_opts_t o = { .settings = &set[0] };
	Wire__SlotRequest req = WIRE__SLOT_REQUEST__INIT;
	Wire__SlotRelease r = WIRE__SLOT_RELEASE__INIT;
	sample_t before, after;
	client_t *c;
	rng_t rng = { 1 };
	answer_t *a;
	err_t e;
	int i, granted = 0;

	start(1, 1, 8, 0);
	o.answers = ring_new(1024);
	c = client_new(&o, &e);
	report_for(1, WARM_MS, &rng);
	req.request = "request-0123456789abcdef";
	req.service = "report-llm";
	req.domain = "domain-0";
	req.model = "some-model-001";
	req.remaining_ms = 2000;
	take_sample(0, &before);
	for (i = 0; i < REQUESTS; i++) {
		if (!client_request_slot(c, i, set[0].instance.id, &req, 2000))
			continue;
		while ((a = ring_wait(o.answers, 3000)) != NULL &&
		       a->kind != ANSWER_SLOT)
			answer_free(a);
		if (a != NULL && !a->down &&
		    a->frame->slot_answer->outcome == SLOT_GRANTED) {
			granted++;
			r.slot = a->frame->slot_answer->slot;
			r.worker = a->frame->slot_answer->worker;
			client_release_slot(c, set[0].instance.id, &r);
		}
		if (a != NULL)
			answer_free(a);
	}
	take_sample(0, &after);
	printf("# slot requests: %d, granted %d, %.1f us of the broker's "
	       "thread each\n",
	    REQUESTS, granted, (after.cpu - before.cpu) * 1e6 / REQUESTS);
	client_free(c);
	ring_free(o.answers);
	stop(1);
}

/*
 * peerslope [fleet | END [FIRST]]: by default, measure all numbers of nodes,
 * then the fleet and the slot requests. "fleet" leaves out the former; END and
 * FIRST measure only nodes[FIRST] to nodes[END - 1].
 */
int
main(int argc, char **argv)
{
	static const int nodes[] = { 9, 18, 36, 72, 144 };
	size_t i = 0, n = sizeof(nodes) / sizeof(nodes[0]);

	bool fleet = argc > 1 && strcmp(argv[1], "fleet") == 0;

	/* Alone in a process, the fleet's resident memory is comparable. */
	if (fleet)
		n = 0;
	else if (argc > 1)
		n = (size_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		i = (size_t)strtoul(argv[2], NULL, 10);
	log_level(LOG_ERR);
	printf("what,nodes,workers,role,count,frames_in_s,frames_out_s,"
	       "kb_in_s,kb_out_s,cpu_percent,process_rss_kb\n");
	for (; i < n && i < sizeof(nodes) / sizeof(nodes[0]); i++)
		measure("nodes", nodes[i], nodes[i],
		    nodes[i] * WORKERS_PER_NODE, -1);
	if (!fleet && argc > 1)
		return 0;
	/* All workers are in the domain of the lone node. */
	lone_node = DOMAINS - 1;
	measure("few", FLEET_NODES, FLEET_NODES, FLEET_NODES * WORKERS_PER_NODE,
	    DOMAINS - 1);
	measure("fleet", FLEET_NODES, FLEET_NODES, FLEET_WORKERS, DOMAINS - 1);
	lone_node = -1;
	measure_slot_requests();
	return 0;
}
