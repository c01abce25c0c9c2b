/* Ranking of members for a key, the choice of a shard, backoff and retries. */
#include "policy/policy.h"

#include <string.h>
#include <glib.h>

enum {
	MEMBERS = 50,
	KEYS = 1000,
};

/* Removing a member moves only the keys for which it came first. */
static void
removal_moves_only_its_keys(void)
{
	static char ids[MEMBERS][ID_MAX];
	int order[MEMBERS], less[MEMBERS], first[KEYS], count[MEMBERS] = { 0 };
	uint64_t hashes[MEMBERS];
	char key[ID_MAX];
	int i, k;

	for (i = 0; i < MEMBERS; i++) {
		g_snprintf(ids[i], ID_MAX, "member-%d", i);
		hashes[i] = hash_str(ids[i], 0);
	}
	for (k = 0; k < KEYS; k++) {
		g_snprintf(key, ID_MAX, "key-%d", k);
		route_rank(key, (const char(*)[ID_MAX])ids, MEMBERS, order);
		first[k] = order[0];
		count[first[k]]++;
		g_assert_cmpint(route_first(hash_str(key, 0), hashes, MEMBERS),
		    ==, order[0]);
		/* Without the last member. */
		route_rank(key, (const char(*)[ID_MAX])ids, MEMBERS - 1, less);
		g_assert_cmpint(
		    less[0], ==, first[k] == MEMBERS - 1 ? order[1] : order[0]);
	}
	for (i = 0; i < MEMBERS; i++)
		g_assert_cmpint(count[i], >, 0);
	g_assert_cmpint(route_first(1, hashes, 0), ==, -1);
}

static void
shards_are_picked_by_expected_wait(void)
{
	static const struct {
		const char *name;
		route_shard_t s[3];
		int want; /* -1: none */
	} rows[] = {
		{ "own domain while it has free slots",
		    { { .domain = "a", .copies = 1, .free_slots = 1 },
			{ .domain = "b", .copies = 8, .free_slots = 100 },
			{ .domain = "c", .copies = 8, .free_slots = 100 } },
		    0 },
		{ "own domain despite a short wait",
		    { { .domain = "a", .copies = 8, .wait = 50 },
			{ .domain = "b", .copies = 8, .free_slots = 100 },
			{ .domain = "c" } },
		    0 },
		{ "another domain after a long wait",
		    { { .domain = "a", .copies = 8, .wait = 900 },
			{ .domain = "b", .copies = 8, .free_slots = 100 },
			{ .domain = "c" } },
		    1 },
		{ "own requests since the report are counted",
		    { { .domain = "a",
			  .copies = 1,
			  .free_slots = 2,
			  .requests_since = 20 },
			{ .domain = "b", .copies = 8, .free_slots = 100 },
			{ .domain = "c" } },
		    1 },
		{ "no shard that was tried",
		    { { .domain = "a",
			  .copies = 8,
			  .free_slots = 9,
			  .tried = true },
			{ .domain = "b" }, { .domain = "c", .copies = 1 } },
		    2 },
		{ "no shard has a copy",
		    { { .domain = "a" }, { .domain = "b" }, { .domain = "c" } },
		    -1 },
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		rng_t rng = { 1 };

		g_test_message("%s", rows[i].name);
		for (n = 0; n < 50; n++)
			g_assert_cmpint(route_pick(rows[i].s, 3, "a", n, &rng),
			    ==, rows[i].want);
	}
}

/* Calls with one prompt prefix go to one shard, unless its wait is long. */
static void
prefix_stays_at_its_shard(void)
{
	route_shard_t s[4];
	rng_t rng = { 1 };
	int i, home;

	for (i = 0; i < 4; i++)
		s[i] = (route_shard_t){ .domain = "a",
			.copies = 8,
			.free_slots = 10 + i,
			.id_hash = i };
	home = route_pick(s, 4, "a", 77, &rng);
	for (i = 0; i < 50; i++)
		g_assert_cmpint(route_pick(s, 4, "a", 77, &rng), ==, home);
	s[home].free_slots = 0;
	s[home].wait = 500;
	for (i = 0; i < 50; i++)
		g_assert_cmpint(route_pick(s, 4, "a", 77, &rng), !=, home);
}

static void
backoff_doubles_up_to_its_bound(void)
{
	static const ms_t bounds[] = { 100, 200, 400, 800, 1000, 1000 };
	backoff_t b;
	rng_t rng = { 3 };
	ms_t wait, seen[G_N_ELEMENTS(bounds)] = { 0 };
	size_t i;
	int n;

	for (n = 0; n < 200; n++) {
		b = (backoff_t){ .initial = 100, .max = 1000 };
		for (i = 0; i < G_N_ELEMENTS(bounds); i++) {
			wait = backoff_next(&b, &rng);
			g_assert_cmpint(wait, >, 0);
			g_assert_cmpint(wait, <=, bounds[i] + 1);
			if (wait > seen[i])
				seen[i] = wait;
		}
		for (i = 0; i < 100; i++)
			g_assert_cmpint(backoff_next(&b, &rng), <=, 1001);
		backoff_reset(&b);
		g_assert_cmpint(backoff_next(&b, &rng), <=, 101);
	}
	for (i = 0; i < G_N_ELEMENTS(bounds); i++)
		g_assert_cmpint(seen[i], >, bounds[i] / 2);
}

static void
retries_are_a_share_of_successes(void)
{
	budget_t b = { .percent = 10, .max = 5 };
	int i, spent = 0;

	g_assert_false(budget_spend(&b));
	for (i = 0; i < 1000; i++) {
		budget_add_success(&b);
		spent += budget_spend(&b);
	}
	g_assert_cmpint(spent, >=, 99);
	g_assert_cmpint(spent, <=, 100);
	for (i = 0; i < 1000; i++)
		budget_add_success(&b);
	for (spent = 0; budget_spend(&b);)
		spent++;
	g_assert_cmpint(spent, ==, 5);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/ranks", removal_moves_only_its_keys);
	g_test_add_func("/route/pick", shards_are_picked_by_expected_wait);
	g_test_add_func("/route/prefix", prefix_stays_at_its_shard);
	g_test_add_func("/route/backoff", backoff_doubles_up_to_its_bound);
	g_test_add_func("/route/budget", retries_are_a_share_of_successes);
	return g_test_run();
}
