/*
 * Nodes and clients on loopback: members, brokers and catalogues stay known
 * when nodes leave, are killed or are frozen, and when peers send garbage or
 * don't read.
 */
#include "tests/peers.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <glib.h>

enum {
	CONVERGE_MS = 10000,
	LEAVING_MS = 2000,  /* until every entry has seen it */
	TAKEOVER_MS = 500,  /* until another broker grants a slot */
	IN_FORCE_MS = 4000, /* until a catalogue is used everywhere */
};

static void
start_all(peers_t *p)
{
	int i;

	for (i = 0; i < p->n; i++)
		peers_start(p, i, true);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
}

static void
members_discover_each_other(void)
{
	peers_t *p = peers_new(8, 3, NULL);

	start_all(p);
	peers_stop(p, 0);
	g_assert_true(peers_wait_all_see(p, LEAVING_MS));
	peers_start(p, 0, true);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
	peers_free(p);
}

static int
root_count(peers_t *p, int domain)
{
	int i, n = 0;

	for (i = domain; i < p->n; i += p->ndomain)
		n += p->node[i] != NULL && node_is_root(p->node[i]);
	return n;
}

/* Both roots of a domain are killed at once; others take their place. */
static void
roots_are_killed(void)
{
	peers_t *p = peers_new(12, 2, NULL);
	int i, killed = 0;

	start_all(p);
	g_assert_cmpint(root_count(p, 0), ==, 2);
	g_assert_cmpint(root_count(p, 1), ==, 2);
	for (i = 0; i < p->n; i += p->ndomain) {
		if (!node_is_root(p->node[i]))
			continue;
		peers_stop(p, i);
		killed++;
	}
	g_assert_cmpint(killed, ==, 2);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
	g_assert_cmpint(root_count(p, 0), ==, 2);
	for (i = 0; i < p->n; i++)
		if (p->node[i] == NULL)
			peers_start(p, i, true);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
	peers_free(p);
}

/* Slots */

static proc_t *
start_worker(int *port)
{
	char *addr;
	proc_t *w;

	ports_take(port, 1);
	addr = addr_of(*port);
	w = proc_start("standin-service", "--listen", addr, "--id", "w0",
	    "--service", "web", "--domain", "d0", "--slots", "2", NULL);
	g_assert_true(http_until(addr, "/v1/load", 200, CONVERGE_MS));
	g_free(addr);
	return w;
}

static int
node_index(const char *id)
{
	return atoi(id + 1);
}

static void
broker_is_killed(void)
{
	peers_t *p = peers_new(6, 3, NULL);
	int port;
	proc_t *w = start_worker(&port);
	test_client_t *a;
	ms_t took;

	peers_add_worker(p, "w0", "web", 0, port);
	start_all(p);
	a = test_client_new(p, 1);
	g_assert_true(test_client_wait_sees(a, 6, CONVERGE_MS));
	g_assert_cmpint(test_client_get_slot(a, CONVERGE_MS), >=, 0);
	g_assert_cmpint(test_client_get_slot(a, CONVERGE_MS), <, TAKEOVER_MS);
	peers_stop(p, node_index(a->broker));
	took = test_client_get_slot(a, CONVERGE_MS);
	g_test_message("%d ms without a broker", (int)took);
	g_assert_cmpint(took, >=, 0);
	g_assert_cmpint(took, <, TAKEOVER_MS);
	test_client_free(a);
	peers_free(p);
	proc_kill(w);
}

/* Start a node in a process of its own, so that it can be stopped. */
static pid_t
start_child(peers_t *p, int i, int worker_port)
{
	char *argv[PEERS_MAX + 8] = { "/proc/self/exe", "--child" };
	int n = 2, j;
	pid_t pid;

	argv[n++] = g_strdup_printf("%d", i);
	argv[n++] = g_strdup_printf("%d", p->ndomain);
	argv[n++] = g_strdup_printf("%d", worker_port);
	for (j = 0; j < p->n; j++)
		argv[n++] = g_strdup_printf("%d", p->port[j]);
	g_assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
	    NULL, NULL, &pid, NULL));
	for (j = 2; j < n; j++)
		g_free(argv[j]);
	return pid;
}

static int
run_child(int argc, char **argv)
{
	int port[PEERS_MAX], n = 0, i, me = atoi(argv[2]);
	sigset_t set;
	peers_t *p;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	log_level(LOG_ERR);
	for (i = 5; i < argc; i++)
		port[n++] = atoi(argv[i]);
	p = peers_new(n, atoi(argv[3]), port);
	peers_add_worker(p, "w0", "web", 0, atoi(argv[4]));
	peers_start(p, me, true);
	sigemptyset(&set);
	for (;;)
		sigsuspend(&set);
	return 0;
}

static void
kill_child(pid_t pid)
{
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

/*
 * The broker of w0 is stopped by SIGSTOP: clients get slots from the broker of
 * the next rank. After SIGCONT it is a member and broker again.
 */
static void
broker_is_frozen(void)
{
	peers_t *p = peers_new(4, 2, NULL);
	int port, i;
	proc_t *w = start_worker(&port);
	pid_t pid[4];
	test_client_t *a;
	ms_t took;

	peers_add_worker(p, "w0", "web", 0, port);
	for (i = 0; i < 4; i++)
		pid[i] = start_child(p, i, port);
	a = test_client_new(p, 1);
	g_assert_true(test_client_wait_sees(a, 4, CONVERGE_MS));
	g_assert_cmpint(test_client_get_slot(a, CONVERGE_MS), >=, 0);
	i = node_index(a->broker);
	kill(pid[i], SIGSTOP);
	g_assert_cmpint(waitpid(pid[i], NULL, WUNTRACED), ==, pid[i]);
	took = test_client_get_slot(a, CONVERGE_MS);
	g_test_message("%d ms without a broker", (int)took);
	g_assert_cmpint(took, >=, 0);
	g_assert_cmpint(took, <, TAKEOVER_MS);
	g_assert_true(test_client_wait_sees(a, 3, CONVERGE_MS));
	g_assert_cmpint(test_client_get_slot(a, CONVERGE_MS), <, TAKEOVER_MS);
	kill(pid[i], SIGCONT);
	g_assert_true(test_client_wait_sees(a, 4, CONVERGE_MS));
	g_assert_cmpint(test_client_get_slot(a, CONVERGE_MS), <, TAKEOVER_MS);
	test_client_free(a);
	for (i = 0; i < 4; i++)
		kill_child(pid[i]);
	peers_free(p);
	proc_kill(w);
}

static void
leaving_is_seen(void)
{
	peers_t *p = peers_new(7, 3, NULL);
	test_client_t *a[7];
	int i;

	start_all(p);
	for (i = 0; i < 7; i++)
		a[i] = test_client_new(p, i);
	for (i = 0; i < 7; i++)
		g_assert_true(test_client_wait_sees(a[i], 7, CONVERGE_MS));
	node_leave(p->node[3]);
	for (i = 0; i < 7; i++)
		g_assert_true(test_client_wait_sees(a[i], 6, LEAVING_MS));
	for (i = 0; i < 7; i++)
		test_client_free(a[i]);
	peers_free(p);
}

/* A client whose own controld is down gets views from another one. */
static void
own_controld_is_lost(void)
{
	peers_t *p = peers_new(4, 2, NULL);
	test_client_t *a;

	start_all(p);
	a = test_client_new(p, 0);
	g_assert_true(test_client_wait_sees(a, 4, CONVERGE_MS));
	peers_stop(p, 0);
	g_assert_true(test_client_wait_sees(a, 3, CONVERGE_MS));
	peers_stop(p, 1);
	g_assert_true(test_client_wait_sees(a, 2, CONVERGE_MS));
	peers_start(p, 0, true);
	g_assert_true(test_client_wait_sees(a, 3, CONVERGE_MS));
	test_client_free(a);
	peers_free(p);
}

/* Catalogues */

static catalogue_t *
make_catalogue(uint64_t number)
{
	catalogue_t *c = catalogue_new();

	c->number = number;
	return c;
}

static void
set_catalogue(node_t *n, uint64_t number)
{
	catalogue_t *c = make_catalogue(number);

	node_set_catalogue(n, c);
	catalogue_unref(c);
}

static uint64_t
catalogue_number(node_t *n)
{
	view_t *v = node_view(n);
	uint64_t number = v->catalogue->number;

	view_unref(v);
	return number;
}

typedef struct expected {
	peers_t *p;
	uint64_t number;
} expected_t;

static bool
all_have(void *user)
{
	expected_t *w = user;
	int i;

	for (i = 0; i < w->p->n; i++)
		if (w->p->node[i] != NULL &&
		    catalogue_number(w->p->node[i]) != w->number)
			return false;
	return true;
}

/* Every node knows that the catalogue is in force at all members. */
static bool
all_in_force(void *user)
{
	expected_t *w = user;
	size_t j;
	int i;

	for (i = 0; i < w->p->n; i++) {
		view_t *v = node_view(w->p->node[i]);
		bool yes = v->wire->n_member == (size_t)w->p->n;

		for (j = 0; j < v->wire->n_member; j++)
			yes &= v->wire->member[j]->in_force == w->number;
		view_unref(v);
		if (!yes)
			return false;
	}
	return true;
}

static bool
is_ready(void *user)
{
	return node_ready(user);
}

/*
 * A lower number doesn't replace a catalogue. A node restarted without the
 * platform gets the catalogue from its seed.
 */
static void
catalogues_never_revert(void)
{
	peers_t *p = peers_new(7, 3, NULL);
	expected_t w = { p, 3 };
	int i;

	start_all(p);
	set_catalogue(p->node[2], 3);
	g_assert_true(eventually(all_have, &w, IN_FORCE_MS));
	g_assert_true(eventually(all_in_force, &w, IN_FORCE_MS));
	set_catalogue(p->node[4], 2);
	peers_stop(p, 2);
	g_snprintf(p->settings[2].peer.seeds, SEEDS_MAX,
	    "127.0.0.1:%d,127.0.0.1:%d", p->port[2], p->port[5]);
	peers_start(p, 2, false);
	g_assert_false(node_ready(p->node[2]));
	g_assert_true(eventually(is_ready, p->node[2], CONVERGE_MS));
	g_assert_cmpuint(catalogue_number(p->node[2]), ==, 3);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
	for (i = 0; i < p->n; i++)
		g_assert_cmpuint(catalogue_number(p->node[i]), ==, 3);
	peers_free(p);
}

/* Invalid and slow peers */

static int
connect_raw(int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), small = 4096;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
	return fd;
}

static int64_t
counter_value(const char *name)
{
	return counter_read(counter_get(name, ""));
}

static bool
bad_frame_counted(void *user)
{
	return counter_value("peer_bad_frames_total") > *(int64_t *)user;
}

static void
garbage_closes_only_its_connection(void)
{
	peers_t *p = peers_new(2, 1, NULL);
	int64_t bad = counter_value("peer_bad_frames_total");
	char buf[16];
	int fd;

	start_all(p);
	fd = connect_raw(p->port[0]);
	g_assert_cmpint(send(fd, "GET / HTTP/1.1\r\n\r\n", 18, 0), ==, 18);
	g_assert_true(eventually(bad_frame_counted, &bad, CONVERGE_MS));
	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), <=, 0);
	close(fd);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
	peers_free(p);
}

static void
send_frame(int fd, Wire__Frame__BodyCase body, const void *msg)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	uint8_t buf[256];
	size_t n;

	f.version = WIRE_VERSION;
	f.body_case = body;
	f.hello = (Wire__Hello *)msg;
	n = frame_pack(&f, buf);
	g_assert_cmpint(send(fd, buf, n, MSG_NOSIGNAL), ==, n);
}

static bool
slow_reader_counted(void *user)
{
	return counter_value("peer_slow_readers_total") > *(int64_t *)user;
}

/*
 * A peer asks for the whole catalogue repeatedly and reads nothing. Its
 * connection must be closed, or the queued output would grow without limit.
 */
static void
slow_reader_is_closed(void)
{
	enum {
		MODELS = 2000,
		REQUESTS = 200
	};
	peers_t *p = peers_new(2, 1, NULL);
	int64_t slow = counter_value("peer_slow_readers_total");
	Wire__Hello h = WIRE__HELLO__INIT;
	Wire__Member m = WIRE__MEMBER__INIT;
	Wire__CatalogueRequest req = WIRE__CATALOGUE_REQUEST__INIT;
	catalogue_t *c = make_catalogue(1);
	expected_t w = { p, 1 };
	int fd, i;

	c->nmodel = MODELS;
	c->model = calloc(MODELS, sizeof(*c->model));
	for (i = 0; i < MODELS; i++) {
		g_snprintf(c->model[i].name, ID_MAX, "model-%05d", i);
		str_set(c->model[i].service, ID_MAX, "web");
	}
	start_all(p);
	node_set_catalogue(p->node[0], c);
	catalogue_unref(c);
	g_assert_true(eventually(all_have, &w, CONVERGE_MS));
	fd = connect_raw(p->port[0]);
	m.id = "slow";
	h.member = &m;
	h.entry = true;
	send_frame(fd, WIRE__FRAME__BODY_HELLO, &h);
	req.full = true;
	for (i = 0; i < REQUESTS; i++)
		send_frame(fd, WIRE__FRAME__BODY_CATALOGUE_REQUEST, &req);
	g_assert_true(eventually(slow_reader_counted, &slow, CONVERGE_MS));
	close(fd);
	g_assert_true(peers_wait_all_see(p, CONVERGE_MS));
	peers_free(p);
}

int
main(int argc, char **argv)
{
	if (argc > 5 && strcmp(argv[1], "--child") == 0)
		return run_child(argc, argv);
	g_test_init(&argc, &argv, NULL);
	log_level(LOG_WARNING);
	g_test_add_func(
	    "/peer/members-discover-each-other", members_discover_each_other);
	g_test_add_func("/peer/roots-are-killed", roots_are_killed);
	g_test_add_func("/peer/broker-is-killed", broker_is_killed);
	g_test_add_func("/peer/broker-is-frozen", broker_is_frozen);
	g_test_add_func("/peer/leaving-is-seen", leaving_is_seen);
	g_test_add_func("/peer/own-controld-is-lost", own_controld_is_lost);
	g_test_add_func("/peer/catalogues", catalogues_never_revert);
	g_test_add_func("/peer/garbage", garbage_closes_only_its_connection);
	g_test_add_func("/peer/slow-reader", slow_reader_is_closed);
	return g_test_run();
}
