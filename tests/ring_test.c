/*
 * Several threads add items to a ring: each must arrive exactly once. A full
 * ring must refuse items.
 */
#include "base/base.h"

#include <pthread.h>
#include <glib.h>

enum {
	WRITERS = 3,
	ITEMS_PER_WRITER = 2000
};

static void *
writer(void *arg)
{
	ring_t *r = arg;
	intptr_t i;

	for (i = 1; i <= ITEMS_PER_WRITER; i++)
		while (!ring_push(r, (void *)i))
			clock_sleep(1);
	return NULL;
}

static void
all_items_arrive(void)
{
	ring_t *r = ring_new(64);
	pthread_t t[WRITERS];
	int64_t sum = 0;
	int i;

	for (i = 0; i < WRITERS; i++)
		pthread_create(&t[i], NULL, writer, r);
	for (i = 0; i < WRITERS * ITEMS_PER_WRITER; i++) {
		void *item = ring_wait(r, 10000);

		g_assert_nonnull(item);
		sum += (intptr_t)item;
	}
	for (i = 0; i < WRITERS; i++)
		pthread_join(t[i], NULL);
	g_assert_null(ring_pop(r));
	g_assert_cmpint(sum, ==,
	    (int64_t)WRITERS * ITEMS_PER_WRITER * (ITEMS_PER_WRITER + 1) / 2);
	ring_free(r);
}

/* A ring takes one item less than its size, which must be a power of two. */
static void
full_ring_rejects_items(void)
{
	ring_t *r = ring_new(4);
	int n = 0;

	while (ring_push(r, r))
		n++;
	g_assert_cmpint(n, ==, 3);
	g_assert_true(ring_pop(r) == r);
	g_assert_true(ring_push(r, r));
	ring_free(r);
	g_assert_null(ring_new(5));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ring/all-items-arrive", all_items_arrive);
	g_test_add_func("/ring/full-rejects-items", full_ring_rejects_items);
	return g_test_run();
}
