#include "tests/peers.h"

#include <string.h>
#include <glib.h>

enum {
	SETTLE_MS = 10000,
	LEAVING_MS = 2000
};

static void
all_find_each_other(void)
{
	peers_t *p = peers_new(8, 3);
	int i;

	for (i = 0; i < p->n; i++)
		peers_start(p, i, true);
	g_assert_true(peers_settle(p, SETTLE_MS));
	peers_stop(p, 0);
	g_assert_true(peers_settle(p, LEAVING_MS));
	peers_start(p, 0, true);
	g_assert_true(peers_settle(p, SETTLE_MS));
	peers_free(p);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/all-find-each-other", all_find_each_other);
	return g_test_run();
}
