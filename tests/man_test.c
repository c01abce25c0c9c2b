#include "base/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* The manual lists each key in its section and with its default. */
static void
every_key_is_in_the_manual(void)
{
	char *man, *text = NULL, **line, *key, *want, *last = g_strdup("");
	settings_t s;
	size_t size;
	FILE *f = open_memstream(&text, &size);
	int i;

	g_assert_true(
	    g_file_get_contents("man/ebonypitch.conf.5", &man, NULL, NULL));
	settings_init(&s);
	settings_print(&s, f);
	fclose(f);
	line = g_strsplit(text, "\n", -1);
	for (i = 0; line[i] != NULL; i++) {
		char *equals = strstr(line[i], " =");

		if (line[i][0] == '[') {
			g_free(last);
			last = g_strdup_printf(".Ss %s\n", line[i]);
			g_assert_nonnull(strstr(man, last));
			continue;
		}
		if (equals == NULL)
			continue;
		key = g_strndup(line[i], equals - line[i]);
		want = g_strdup_printf(
		    ".It Ic %s\n", key + (key[0] == ';' ? 2 : 0));
		if (strstr(strstr(man, last), want) == NULL)
			g_error("%s is missing from the manual", line[i]);
		if (key[0] != ';') {
			char *set = g_strdup_printf(
			    "; %s unless set.", equals + strlen(" = "));

			if (strstr(strstr(strstr(man, last), want), set) ==
			    NULL)
				g_error("%s: the manual has another default",
				    line[i]);
			g_free(set);
		}
		g_free(key);
		g_free(want);
	}
	g_strfreev(line);
	g_free(last);
	g_free(man);
	free(text);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/man/settings", every_key_is_in_the_manual);
	return g_test_run();
}
