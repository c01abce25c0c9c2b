/*
 * When a single software version can have begun a stream, and the table of
 * streams' versions.
 */
#include "policy/software.h"
#include "policy/stream_table.h"

#include <glib.h>

static const ms_t start = 1000000;
static const uint64_t llm = 7, app = 8, v1 = 11, v2 = 12;

/* Guards against a version that left being forgotten while streams last. */
static void
version_counts_while_its_streams_may_last(void)
{
	software_t s;

	software_init(&s, start - STREAM_LIFE_MS);
	g_assert_true(software_add(&s, llm, v1, start));
	g_assert_false(software_add(&s, llm, v1, start + 10));
	g_assert_cmpuint(software_sole(&s, llm, start + 10), ==, v1);
	g_assert_true(software_add(&s, llm, v2, start + 20));
	g_assert_cmpuint(software_sole(&s, llm, start + 20), ==, 0);
	/* v1 isn't seen any more, v2 is. */
	software_add(&s, llm, v2, start + 10 + STREAM_LIFE_MS);
	g_assert_cmpuint(
	    software_sole(&s, llm, start + 10 + STREAM_LIFE_MS), ==, 0);
	g_assert_cmpuint(
	    software_sole(&s, llm, start + 11 + STREAM_LIFE_MS), ==, v2);
}

/* Guards against a new process taking its short past for the whole one. */
static void
short_history_knows_no_sole_version(void)
{
	software_t s;

	software_init(&s, start);
	software_add(&s, llm, v1, start);
	g_assert_cmpuint(
	    software_sole(&s, llm, start + STREAM_LIFE_MS - 1), ==, 0);
	g_assert_cmpuint(
	    software_sole(&s, llm, start + STREAM_LIFE_MS), ==, v1);
}

/* Guards against the versions of one service counting for another. */
static void
services_are_apart(void)
{
	software_t s;

	software_init(&s, start - STREAM_LIFE_MS);
	software_add(&s, llm, v1, start);
	software_add(&s, app, v2, start);
	g_assert_cmpuint(software_sole(&s, llm, start), ==, v1);
	g_assert_cmpuint(software_sole(&s, app, start), ==, v2);
	g_assert_cmpuint(software_sole(&s, 9, start), ==, 0);
}

/* Guards against versions dropped for lack of room being taken for none. */
static void
overflow_knows_no_sole_version(void)
{
	software_t s;
	uint64_t i;

	software_init(&s, start - STREAM_LIFE_MS);
	for (i = 0; i <= SOFTWARE_MAX; i++)
		software_add(&s, 100 + i, v1, start);
	g_assert_cmpuint(software_sole(&s, 100, start), ==, 0);
}

/* Guards against a version that begins streams before the lease has it. */
static void
version_is_stored_by_the_write_that_has_it(void)
{
	software_t s;

	software_init(&s, start);
	g_assert_false(software_unstored(&s));
	software_add(&s, llm, v1, start);
	g_assert_true(software_unstored(&s));
	software_write_began(&s);
	software_add(&s, llm, v2, start);
	g_assert_false(software_write_ended(&s, false, 0));
	g_assert_false(software_is_stored(&s, v1));
	software_write_began(&s);
	g_assert_true(software_write_ended(&s, true, 0));
	g_assert_true(software_is_stored(&s, v1));
	g_assert_true(software_is_stored(&s, v2));
	g_assert_false(software_unstored(&s));
}

/* Guards against a version that appears while the lease is being written. */
static void
version_added_during_a_write_isn_t_stored(void)
{
	software_t s;

	software_init(&s, start);
	software_add(&s, llm, v1, start);
	software_write_began(&s);
	software_add(&s, llm, v2, start);
	g_assert_true(software_write_ended(&s, true, 0));
	g_assert_true(software_is_stored(&s, v1));
	g_assert_false(software_is_stored(&s, v2));
	g_assert_true(software_mark_stored(&s, v2, 0));
	g_assert_false(software_mark_stored(&s, v2, 0));
	g_assert_true(software_is_stored(&s, v2));
	/* It comes back after it was forgotten: the lease has it no more. */
	software_expire(&s, start + STREAM_LIFE_MS + 1);
	software_add(&s, llm, v2, start + STREAM_LIFE_MS + 2);
	g_assert_false(software_is_stored(&s, v2));
}

/* Guards against streams at a version that only a lost lease had. */
static void
version_in_a_lost_lease_isn_t_stored(void)
{
	software_t s;

	software_init(&s, start);
	software_add(&s, llm, v1, start);
	software_mark_stored(&s, v1, start);
	software_add(&s, llm, v2, start + 10);
	software_write_began(&s);
	software_forget_stored(&s, start + 5);
	g_assert_false(software_write_ended(&s, true, start + 20));
	g_assert_true(software_is_stored(&s, v1));
	g_assert_false(software_is_stored(&s, v2));
	software_mark_stored(&s, v2, start + 30);
	software_forget_stored(&s, start + 30);
	g_assert_false(software_is_stored(&s, v2));
}

/* Guards against the versions of two services counting as several of one. */
static void
several_versions_of_one_service(void)
{
	software_t s;

	software_init(&s, start);
	software_add(&s, llm, v1, start);
	software_add(&s, app, v2, start);
	g_assert_false(software_several(&s, llm));
	software_add(&s, llm, v2, start);
	g_assert_true(software_several(&s, llm));
	g_assert_false(software_several(&s, app));
}

/* Guards against records lost while the table grows and shrinks. */
static void
records_last_until_they_expire(void)
{
	enum {
		N = 5000
	};
	stream_table_t t = { 0 };
	rng_t r = { 42 };
	uint64_t id[N];
	int i;

	for (i = 0; i < N; i++) {
		id[i] = rng_next(&r);
		stream_table_put(&t, id[i], id[i] ^ 1, start + i);
	}
	for (i = 0; i < N; i++)
		g_assert_cmpuint(
		    stream_table_get(&t, id[i], start - 1), ==, id[i] ^ 1);
	stream_table_expire(&t, start + N / 2);
	g_assert_cmpint(t.nused, ==, N / 2 - 1);
	g_assert_cmpuint(stream_table_get(&t, id[0], start - 1), ==, 0);
	g_assert_cmpuint(
	    stream_table_get(&t, id[N - 1], start), ==, id[N - 1] ^ 1);
	g_assert_cmpuint(stream_table_get(&t, id[N - 1], start + N), ==, 0);
	stream_table_free(&t);
}

/* Guards against a later record changing the version that began a stream. */
static void
first_version_stays(void)
{
	stream_table_t t = { 0 };

	stream_table_put(&t, 5, v1, start);
	stream_table_put(&t, 5, v2, start + 100);
	g_assert_cmpuint(stream_table_get(&t, 5, start + 50), ==, v1);
	stream_table_free(&t);
}

/* Guards against memory without a bound when streams come without end. */
static void
full_table_drops_new_records(void)
{
	stream_table_t t = { 0 };
	uint64_t i;

	for (i = 1; i <= STREAM_TABLE_MAX + 10; i++)
		stream_table_put(&t, i, v1, start);
	g_assert_cmpint(t.nused, ==, STREAM_TABLE_MAX);
	g_assert_cmpint(t.dropped, ==, 10);
	g_assert_cmpint(t.nslot, <=, 2 * STREAM_TABLE_MAX);
	stream_table_free(&t);
}

#define T(name) g_test_add_func("/software/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(version_counts_while_its_streams_may_last);
	T(short_history_knows_no_sole_version);
	T(services_are_apart);
	T(overflow_knows_no_sole_version);
	T(version_is_stored_by_the_write_that_has_it);
	T(version_added_during_a_write_isn_t_stored);
	T(version_in_a_lost_lease_isn_t_stored);
	T(several_versions_of_one_service);
	T(records_last_until_they_expire);
	T(first_version_stays);
	T(full_table_drops_new_records);
	return g_test_run();
}
