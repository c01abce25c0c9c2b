/* Tables of handles, quantiles, the settings reader and addresses. */
#include "base/base.h"

#include <string.h>
#include <stdlib.h>
#include <unistd.h>
#include <glib.h>

/* A handle that was deleted must not lead to a later item in its place. */
static void
handles_are_not_reused(void)
{
	table_t *t = table_new(sizeof(int), 3);
	handle_t a = table_add(t), b = table_add(t), c = table_add(t);

	g_assert_true(a != 0 && b != 0 && c != 0);
	g_assert_true(table_add(t) == 0);
	*(int *)table_get(t, b) = 7;
	table_del(t, b);
	g_assert_null(table_get(t, b));
	table_del(t, b);
	g_assert_cmpuint(table_count(t), ==, 2);
	c = table_add(t);
	g_assert_true(c != b);
	g_assert_cmpint(*(int *)table_get(t, c), ==, 0);
	g_assert_null(table_get(t, 0));
	table_free(t);
}

static void
quantiles_are_within_a_bucket(void)
{
	static histo_t h;
	int i;

	for (i = 1; i <= 10000; i++)
		histo_add(&h, i);
	g_assert_cmpint(histo_quantile(&h, 0.5), >=, 5000);
	g_assert_cmpint(histo_quantile(&h, 0.5), <=, 5330);
	g_assert_cmpint(histo_quantile(&h, 0.99), >=, 9900);
	g_assert_cmpint(histo_quantile(&h, 1.0), ==, 10000);
}

/*
 * Read settings from a temporary file. @return the errors, without the file's
 * name at the start.
 */
static char *
read_ini(settings_t *s, const char *text)
{
	char *path, *report, *rest;
	err_t e;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);

	g_assert_cmpint(write(fd, text, strlen(text)), ==, strlen(text));
	close(fd);
	settings_read(s, path, &report, &e);
	unlink(path);
	rest = report == NULL ? g_strdup("") : g_strdup(report + strlen(path));
	free(report);
	g_free(path);
	return rest;
}

static void
settings_errors_are_reported(void)
{
	static const struct {
		const char *text, *error;
	} rows[] = {
		{ "[caller]\nbody_max = 2048\n", "" },
		{ "[caller]\nbody_max = 12\n",
		    ":2: caller.body_max = '12': must be a whole number of "
		    "bytes from 1024 to 67108864\n" },
		{ "[caller]\nbody_max = many\n",
		    ":2: caller.body_max = 'many': must be a whole number of "
		    "bytes from 1024 to 67108864\n" },
		{ "[caller]\nno = 1\nidle_ms = 500\nidle_ms = 600\n",
		    ":2: unknown key 'no' in [caller]\n:4: caller.idle_ms "
		    "is set twice in this file\n" },
		{ "[instance]\npeer_addr = here:80\n",
		    ":2: instance.peer_addr = 'here:80' is not IP:port\n" },
		{ "[peer]\nseeds = 10.0.0.1:80, 10.0.0.2:80\n", "" },
		{ "[peer]\nseeds = 10.0.0.1:80,there\n",
		    ":2: peer.seeds: 'there' is not IP:port\n" },
		{ "[service a]\nrepeat = often\n",
		    ":2: repeat = 'often': must be safe, keyed or never\n" },
		{ "[service a/b]\nrepeat = safe\n",
		    ":2: [service a/b]: too many services or invalid name\n" },
		{ "what is this\n", ":1: not an INI line\n" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		settings_t s;
		char *got;
		char **lines;
		GString *errors = g_string_new(NULL);

		settings_init(&s);
		got = read_ini(&s, rows[i].text);
		/* Remove the file's name from the other lines, too. */
		lines = g_strsplit(got, "\n", -1);
		for (int j = 0; lines[j] != NULL && *lines[j] != '\0'; j++) {
			const char *colon = strchr(lines[j], ':');

			g_assert_nonnull(colon);
			g_string_append_printf(errors, "%s\n", colon);
		}
		g_assert_cmpstr(errors->str, ==, rows[i].error);
		g_string_free(errors, TRUE);
		g_strfreev(lines);
		g_free(got);
	}
}

static void
later_files_override(void)
{
	settings_t s;

	settings_init(&s);
	g_free(read_ini(&s, "[caller]\nidle_ms = 500\n[service a]\n"
			    "kind = plain\nrepeat = keyed\n"));
	g_free(read_ini(&s, "[caller]\nidle_ms = 600\n"));
	g_assert_cmpint(s.caller.idle_ms, ==, 600);
	g_assert_cmpint(settings_service(&s, "a")->repeat, ==, REPEAT_KEYED);
	g_assert_null(settings_service(&s, "b"));
}

static void
address_splitting(void)
{
	char host[ADDR_MAX];
	uint16_t port;

	g_assert_cmpint(
	    addr_split("127.0.0.1:80", host, sizeof(host), &port, NULL), ==, 0);
	g_assert_cmpstr(host, ==, "127.0.0.1");
	g_assert_cmpint(port, ==, 80);
	g_assert_cmpint(
	    addr_split("127.0.0.1", host, sizeof(host), &port, NULL), ==, -1);
	g_assert_cmpint(
	    addr_split("127.0.0.1:0", host, sizeof(host), &port, NULL), ==, -1);
	g_assert_cmpint(
	    addr_split("127.0.0.1:9x", host, sizeof(host), &port, NULL), ==,
	    -1);
}

/* Guards against a text that is cut to another one. */
static void
texts_are_never_shortened(void)
{
	char to[4] = "old";

	g_assert_true(str_copy(to, sizeof(to), "abc"));
	g_assert_cmpstr(to, ==, "abc");
	g_assert_false(str_copy(to, sizeof(to), "abcd"));
	g_assert_cmpstr(to, ==, "");
	str_set(to, sizeof(to), "ab");
	g_assert_cmpstr(to, ==, "ab");
	str_set(to, sizeof(to), "abcd");
	g_assert_cmpstr(to, ==, "");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/handles", handles_are_not_reused);
	g_test_add_func("/base/quantiles", quantiles_are_within_a_bucket);
	g_test_add_func("/base/settings-errors", settings_errors_are_reported);
	g_test_add_func("/base/later-files-override", later_files_override);
	g_test_add_func("/base/addresses", address_splitting);
	g_test_add_func(
	    "/base/texts-are-never-shortened", texts_are_never_shortened);
	return g_test_run();
}
